/*
 * Calls workers for the owners of shards, which send them over a link: the
 * calls of several hundred workers take more processor time than one VM has. A
 * relay decides nothing: it neither repeats a call nor keeps one that is late.
 */
#ifndef RELAY_SERVER_H
#define RELAY_SERVER_H

#include <tevent.h>

#include "base/clk.h"
#include "base/err.h"
#include "fleet/list_share.h"
#include "fleet/wkr.h"
#include "transport/lnk.h"
#include "transport/traffic.h"

struct relay_server;

/* Listens at IP and port. Returns a talloc child of `ctx`, or NULL with `e`
 * filled in. */
struct relay_server *relay_server_start(void *ctx, struct tevent_context *ev,
					const struct wkr *wkr,
					const struct clk *clk, const char *ip,
					uint16_t port, struct err *e);

/* Answers owners who ask for changes of the list of workers; the server keeps
 * the pointer. Without this they are told to ask the store. */
void relay_server_share_list(struct relay_server *s, struct list_share *list);
/* Bounds the links of others, and the memory of their incomplete frames. */
void relay_server_limit(struct relay_server *s, int64_t memory_bytes);
/* Returns how many links were refused or closed for these bounds. */
int64_t relay_server_links_refused(const struct relay_server *s);

/* Returns the number of calls that were dropped since they were late. */
int64_t relay_server_dropped(const struct relay_server *s);
/* What was exchanged with owners; valid as long as the server. */
const struct traffic *relay_server_traffic(const struct relay_server *s);

#endif
