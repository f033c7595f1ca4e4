/* The groups of targets that this entry owns: queue, bind, dispatch. */
#ifndef OWNER_H
#define OWNER_H

#include "entry/entry.h"

/* `key` is the same for one binding whoever tells it; target may be "". */
typedef void (*binding_cb)(const char *key, const char *target,
			   int64_t remaining_ms, void *priv);

struct owner *owner_start(struct entry *e);

/* The view changed: take on and hand over groups. */
void owner_view_changed(struct owner *o, const struct view *old_view);

/* A request that came over the inbound link `link`; 0 is this process. */
void owner_handle_request(struct owner *o, uint64_t link_id,
			  const struct msg *m);

/* An answer to this owner's question what is bound in a group. */
void owner_handle_report(struct owner *o, const char *from,
			 const struct msg *m);

/* What runs here in `group`, told one by one. */
void owner_list_bindings(struct owner *o, const char *group, binding_cb report,
			 void *priv);

/* JSON of group key to [load, slots], for heartbeats; new reference. */
json_t *owner_loads(const struct owner *o);

/* Load of an owned group in thousandths of its slots; -1 if not ours. */
int64_t owner_load_milli(const struct owner *o, const char *group);

/* Requests queued or running here. */
unsigned int owner_pending(const struct owner *o);

#endif
