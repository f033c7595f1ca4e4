/* The request path at the entry that received a request. */
#ifndef ORIGIN_H
#define ORIGIN_H

#include "entry/entry.h"
#include "entry/owner.h"

struct origin *origin_start(struct entry *e);

/* Takes over the item; it goes back to its door with the answer. */
void origin_request(struct origin *o, struct client_request *creq);

/* From the owner of the request's group (this process or a peer). */
void origin_bound(struct origin *o, const struct msg *m);
void origin_answer(struct origin *o, const struct msg *m);

/* The link to a member broke: what it was asked to run is unknown. */
void origin_peer_lost(struct origin *o, const char *member);

/*
 * What this entry knows bound in `group`, told one by one; not what it
 * asked of `asker`, who knows that itself.
 */
void origin_tell_held(struct origin *o, const char *group, const char *asker,
		      owner_tell tell, void *priv);

/* A binding of another origin, kept in case both it and the owner die. */
void origin_witness(struct origin *o, const struct msg *m);

/* Requests not answered yet. */
unsigned int origin_pending(const struct origin *o);

#endif
