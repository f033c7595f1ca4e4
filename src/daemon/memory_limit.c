/* Memory that a daemon may use, by its settings or the machine. */
#include "daemon/memory_limit.h"

#include <sys/sysinfo.h>

/* If the machine's memory can't be read: half of the smallest VM. */
#define FALLBACK_BYTES (130LL << 20)

int64_t memory_limit_bytes(const struct settings *s)
{
	struct sysinfo info;

	if (s->memory_mib)
		return s->memory_mib << 20;
	if (sysinfo(&info) < 0)
		return FALLBACK_BYTES;
	return (int64_t)info.totalram * info.mem_unit / 2;
}
