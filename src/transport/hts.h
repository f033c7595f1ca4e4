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
	/* When it was complete, on the monotonic clock. Requests with bodies of
	 * more than 16 KiB are handled one by one, so this may be long ago. */
	int64_t received_ms;
};

/* Called on the event loop's thread. The handler must call hts_reply once, now
 * or later. */
typedef void (*hts_handler)(struct hts_req *req, void *priv);

/* Returns the longest body in bytes now; called at the start of a request. */
typedef size_t (*hts_body_max)(void *priv);

/* Numbers are 0 for the default. */
struct hts_options {
	const char *ip;
	uint16_t port;
	size_t body_max; /* bytes; a longer body is answered with status 413 */
	hts_body_max body_max_now; /* NULL: body_max */
	uint32_t idle_timeout_s; /* inactive connections are closed */
	uint32_t connections_max; /* 8192 */
	uint32_t address_max; /* connections of one address: all */
	int64_t bodies_bytes; /* memory for all bodies: 64 MiB */
	int64_t header_ms; /* time for a header, from its first byte: 10 s */
	int64_t body_ms; /* time for a body: 20 s */
	uint32_t send_buffer; /* bytes, doubled by the kernel */
	bool share_port; /* lets other servers listen on the port too */
};

/* Clients that did not keep to the limits. */
struct hts_counts {
	int64_t connections_refused; /* too many in total */
	int64_t address_refused; /* too many of one address */
	int64_t evicted; /* inactive ones closed for new ones */
	int64_t late_headers; /* closed */
	int64_t late_bodies; /* status 408 */
	int64_t unread; /* closed, as they don't read the answer */
	int64_t long_bodies; /* status 413 */
	int64_t no_memory; /* status 503: the budget for bodies is used up */
};

/* Memory that a connection takes at most, without its body and send buffer,
 * in bytes: buffers for headers, and the kernel's receive buffer. */
#define HTS_CONNECTION_BYTES ((48 + 64 + 4) * 1024)
/* Default of the send buffer, which the kernel doubles. */
#define HTS_SEND_BUFFER_BYTES (16 * 1024)

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

const struct hts_counts *hts_counts(const struct hts *s);

/* Returns the number of requests that are not completely answered yet. */
uint32_t hts_active(const struct hts *s);

#endif
