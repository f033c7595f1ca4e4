/* HTTP for callers and operators; one thread each. */
#ifndef FRONTEND_H
#define FRONTEND_H

#include "entry/entry.h"

/* Starts one door thread; all share the port. NULL on failure. */
struct frontend *frontend_start(struct entry *e, struct err *err);

/* From the core thread: the request has its answer now. */
void frontend_reply(struct client_request *creq);

/* From the core thread: no new connections; open requests go on. */
void frontend_stop_accepting(struct frontend *f);

/* Requests not wholly answered; any thread. */
uint32_t frontend_open_requests(const struct frontend *f);

/* Ends and joins the thread; frees the door. */
void frontend_stop(struct frontend *f);

#endif
