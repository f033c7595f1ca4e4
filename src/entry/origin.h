/* The request path at the entry that received a request. */
#ifndef ORIGIN_H
#define ORIGIN_H

#include "entry/entry.h"
#include "entry/owner.h"

struct origin *origin_start(struct entry *e);

/* Takes over the item; it goes back to its door with the answer. */
void origin_handle_request(struct origin *o, struct client_request *creq);

/* From the owner of the request's group (this process or a peer). */
void origin_handle_binding(struct origin *o, const struct msg *m);
void origin_handle_answer(struct origin *o, const struct msg *m);

/* The link to a member broke: what it was asked to run is unknown. */
void origin_handle_link_loss(struct origin *o, const char *member);

/*
 * What this entry knows bound in `group`, told one by one; not what it
 * asked of `asker`, who knows that itself.
 */
void origin_list_bindings(struct origin *o, const char *group,
			  const char *asking_member, binding_cb report,
			  void *priv);

/* A binding of another origin, kept in case both it and the owner die. */
void origin_store_copy(struct origin *o, const struct msg *m);

/* Requests not answered yet. */
unsigned int origin_pending(const struct origin *o);

#endif
