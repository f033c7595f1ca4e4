/* Asynchronous HTTP client on a tevent loop, based on libcurl. */
#ifndef HTC_H
#define HTC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

#include "transport/traffic.h"

struct htc;

enum htc_result {
	HTC_COMPLETE, /* received the whole response */
	HTC_NOT_SENT, /* no byte of the request was sent */
	HTC_UNKNOWN, /* may have been sent; no complete response */
};

struct htc_response {
	enum htc_result result;
	long status; /* HTTP status if HTC_COMPLETE */
	const char *body; /* NUL-terminated; valid during the callback only */
	size_t body_len;
	bool not_started; /* the response has an X-Not-Started header */
	bool timed_out;
	const char *request_id; /* Request-Id header; "" if absent */
};

typedef void (*htc_done)(const struct htc_response *resp, void *priv);

struct htc_request {
	const char *method;
	const char *url;
	const void *body;
	size_t body_len;
	const char *headers[4]; /* "Name: value"; a NULL ends the list */
	enum traffic_purpose purpose; /* as which its bytes are counted */
	int64_t timeout_ms;
	/* > 0: the request is also given up if nothing of the response arrives
	 * for this long, as by `timeout_ms`. */
	int64_t idle_ms;
	/*
	 * Opens a connection for this request alone and closes it afterwards.
	 * A reused connection may be broken without the client's knowledge, and
	 * no request is ever sent twice, so this is for requests that are
	 * costly to lose.
	 */
	bool exclusive_connection;
	/* Opens a connection for this request and keeps it for later ones. */
	bool new_connection;
	/*
	 * Called once the connection is established, right before the first
	 * byte is sent, with the `priv` of htc_send; returning false ends the
	 * request as HTC_NOT_SENT. May be NULL.
	 */
	bool (*may_send)(void *priv);
};

/* A talloc child of `ctx`. `source` is the local address to connect from; NULL
 * for any. */
struct htc *htc_start(void *ctx, struct tevent_context *ev, const char *source);

/*
 * Sends a request. Calls `done` exactly once, never from within this call,
 * unless the client is freed before. Copies all that `req` points to.
 */
void htc_send(struct htc *c, const struct htc_request *req, htc_done done,
	      void *priv);

/*
 * What requests that ended have sent and received: headers and bodies, without
 * the framing of chunks, TCP and IP. Valid as long as the client.
 */
const struct traffic *htc_traffic(const struct htc *c);

#endif
