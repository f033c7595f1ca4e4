/*
 * Requests that this entry has accepted: it is their origin. Claims the request
 * id, chooses a group, sends the request to the group's owner (this process or
 * a peer), retries, and replies through the frontend. Also stores copies of
 * other origins' bindings as a backup.
 */
#ifndef ORIGIN_H
#define ORIGIN_H

#include "entry/entry.h"
#include "entry/owner.h"

/* Returns a talloc child of the event context of `e`. */
struct origin *origin_start(struct entry *e);

/* Takes ownership of `creq` and returns it by frontend_reply. */
void origin_handle_request(struct origin *o, struct client_request *creq);

/* Handle the binding and the answer sent by the owner of a group. */
void origin_handle_binding(struct origin *o, const struct msg *m);
void origin_handle_answer(struct origin *o, const struct msg *m);

/* Handles a lost link: the outcome of requests sent to `member` is unknown. */
void origin_handle_link_loss(struct origin *o, const char *member);

/*
 * Calls `report` for each binding in `group` that this entry knows of, except
 * requests sent to `querying_member`, which knows those itself.
 */
void origin_list_bindings(struct origin *o, const char *group,
			  const char *querying_member, binding_cb report,
			  void *priv);

/*
 * Stores a copy of the binding of another origin, in case both the origin and
 * the owner fail. A remaining time of 0 removes it.
 */
void origin_store_copy(struct origin *o, const struct msg *m);

/* Returns the number of requests not answered yet. */
unsigned int origin_pending(const struct origin *o);

#endif
