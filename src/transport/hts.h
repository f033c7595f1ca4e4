/* HTTP server on a tevent loop, based on libmicrohttpd. */
#ifndef HTS_H
#define HTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

#include "base/err.h"

struct hts;

/* A request with its complete body. Valid until hts_reply is called. */
struct hts_req {
	const char *method;
	const char *path;
	const char *body; /* NUL-terminated */
	size_t body_len;
};

/* Called on the event loop's thread. The handler must call hts_reply once, now
 * or later. */
typedef void (*hts_handler)(struct hts_req *req, void *priv);

struct hts_options {
	const char *ip;
	uint16_t port;
	size_t body_max; /* bytes; a longer body is answered with status 413 */
	uint32_t idle_timeout_s; /* inactive connections are closed */
	uint32_t connections_max; /* 0: 8192 */
	bool share_port; /* lets other servers listen on the port too */
};

/* Returns a talloc child of `ctx`, or NULL with `e` filled in. */
struct hts *hts_start(void *ctx, struct tevent_context *ev,
		      const struct hts_options *opt, hts_handler handler,
		      void *priv, struct err *e);

/* Sends the reply; `req` must not be used afterwards. `body` is copied, `type`
 * (the Content-Type, may be NULL) is not. */
void hts_reply(struct hts_req *req, unsigned int status, const char *type,
	       const void *body, size_t len);

/* Adds a header to the reply; call before hts_reply. At most 4 per reply: more
 * are ignored. Copies both strings, truncated to 31 and 95 bytes. */
void hts_reply_header(struct hts_req *req, const char *name, const char *value);

/* Return a request header or a query argument; NULL if absent. */
const char *hts_header(struct hts_req *req, const char *name);
const char *hts_query(struct hts_req *req, const char *name);

/* Value of a request header; may contain NULs. */
struct hts_value {
	const char *text;
	size_t len;
};

/* Returns how many request headers have this name; `value` is set to that of
 * the last one, if any. */
int hts_count_headers(struct hts_req *req, const char *name,
		      struct hts_value *value);

/* Stops accepting connections; open ones continue. */
void hts_quiesce(struct hts *s);

/* Returns the number of requests that are not completely answered yet. */
uint32_t hts_active(const struct hts *s);

#endif
