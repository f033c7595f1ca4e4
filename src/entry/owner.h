/*
 * Groups of targets owned by this entry. Queues requests, binds them to free
 * slots and sends them to the targets. When a group changes its owner, the
 * new owner queries the members for bindings, so that no slot is used twice.
 */
#ifndef OWNER_H
#define OWNER_H

#include "entry/entry.h"

/*
 * Receives one binding. `key` identifies it, whichever member reports it;
 * `target` is "" if not known.
 */
typedef void (*binding_cb)(const char *key, const char *target,
			   int64_t remaining_ms, void *priv);

/* Returns a talloc child of the event context of `e`. */
struct owner *owner_start(struct entry *e);

/* Takes over and releases groups after the view of the entry changed. */
void owner_view_changed(struct owner *o, const struct view *old_view);

/* Queues a request received on inbound link `link_id`; 0: this process. */
void owner_handle_request(struct owner *o, uint64_t link_id,
			  const struct msg *m);

/* Handles a member's report of one binding or, if `m->key` is empty, the end of
 * its reports. */
void owner_handle_report(struct owner *o, const char *from,
			 const struct msg *m);

/* Calls `report` for each slot of `group` that may be in use here. */
void owner_list_bindings(struct owner *o, const char *group, binding_cb report,
			 void *priv);

/*
 * Returns a new JSON object of group key to [load, slots], sent in heartbeats.
 * Load is in thousandths of the slots.
 */
json_t *owner_loads(const struct owner *o);

/* Returns the load of a group in thousandths of its slots; -1 if not owned
 * here. */
int64_t owner_load_milli(const struct owner *o, const char *group);

/* Returns the number of requests queued or running here. */
unsigned int owner_pending(const struct owner *o);

#endif
