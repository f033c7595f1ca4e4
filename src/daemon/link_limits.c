/* Limits of accepted links, by the settings. */
#include "daemon/link_limits.h"

#include <glib.h>

#include "daemon/memory_limit.h"

/* Every process sends a short message first, once its link is open. */
#define UNPROVEN_FRAME_MAX (256u << 10)
#define UNPROVEN_MAX_MS 10000
/* Members ping each other several times a second. */
#define SILENT_MS 10000
/* Part of the links that may be unproven: after a restart all members connect
 * at once. */
#define UNPROVEN_SHARE 4
#define MEMORY_SHARE 8

void link_limits_set(struct lnk_srv *s, const struct settings *set)
{
	lnk_srv_limit(s, &(struct lnk_limits){
				 .links_max = (uint32_t)set->links_max,
				 .unproven_max = (uint32_t)set->links_max /
						 UNPROVEN_SHARE,
				 .unproven_frame_max = UNPROVEN_FRAME_MAX,
				 .frame_max = LNK_FRAME_MAX,
				 .buffers_max = MIN(set->links_mib << 20,
						    memory_limit_bytes(set) /
							    MEMORY_SHARE),
				 .unproven_max_ms = UNPROVEN_MAX_MS,
				 .silent_ms = SILENT_MS });
}
