/*
 * HTTP API for callers and operators. Each frontend is a thread with its own
 * HTTP server; it validates requests, posts them to the core thread as client
 * requests, and sends the replies.
 */
#ifndef FRONTEND_H
#define FRONTEND_H

#include "entry/entry.h"

/*
 * Starts one frontend thread; all of them listen on the same port. Returns
 * NULL and sets `err` on failure.
 */
struct frontend *frontend_start(struct entry *e, struct err *err);

/* Called on the core thread when the reply in `creq` is complete. */
void frontend_reply(struct client_request *creq);

/* Called on the core thread: accepts no new connections; open ones go on. */
void frontend_stop_accepting(struct frontend *f);

/* Returns the number of requests posted and not yet replied to. Any thread. */
uint32_t frontend_open_requests(const struct frontend *f);

/* Stops and joins the thread, then frees the frontend. */
void frontend_stop(struct frontend *f);

#endif
