/* TCP links with message framing between the daemons. Each link belongs to one
 * event loop. */
#ifndef LNK_H
#define LNK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tevent.h>

#include "base/err.h"

/* Most bytes of payload in a frame, sent or received. */
#define LNK_FRAME_MAX (4u << 20)
/* Bytes of a frame beside its payload. */
#define LNK_HEADER_BYTES 4
/* A link with more unsent bytes than this is closed. */
#define LNK_BACKLOG_MAX (32u << 20)

struct lnk;
struct lnk_srv;

/* Callbacks of a link. */
struct lnk_ops {
	void (*opened)(struct lnk *l, void *priv); /* may be NULL */
	/* `data` is valid during the call only. */
	void (*frame)(struct lnk *l, const uint8_t *data, size_t len,
		      void *priv);
	/* The last callback; `l` is freed when it returns. */
	void (*closed)(struct lnk *l, void *priv);
};

/* Accepts links on a port. Returns a talloc child of `ctx`, which also owns the
 * accepted links, or NULL with `e` filled in. */
struct lnk_srv *lnk_listen(void *ctx, struct tevent_context *ev, const char *ip,
			   uint16_t port, const struct lnk_ops *ops, void *priv,
			   struct err *e);

/* Limits of accepted links. A link is unproven until a frame has arrived. */
struct lnk_limits {
	uint32_t links_max;
	uint32_t unproven_max; /* the oldest one is closed for a new one */
	uint32_t unproven_frame_max; /* bytes */
	uint32_t frame_max; /* bytes, at most LNK_FRAME_MAX */
	/* Bytes of buffers of all links, for incomplete frames and for what
	 * their peers have not read. */
	int64_t buffers_max;
	int64_t unproven_max_ms; /* closed after this time */
	int64_t silent_ms; /* without a byte for this long, a proven link may be
			    * closed for a new one */
};

/* Sets limits; without, there are none but LNK_FRAME_MAX. Call it before links
 * are accepted. */
void lnk_srv_limit(struct lnk_srv *s, const struct lnk_limits *limits);
/* Returns how many links were refused or closed for the limits. */
int64_t lnk_srv_refused(const struct lnk_srv *s);

/*
 * Starts to connect from the local address `source`; `opened` or `closed` is
 * called later. Returns a talloc child of `ctx`, or NULL if no socket can be
 * opened.
 */
struct lnk *lnk_connect(void *ctx, struct tevent_context *ev,
			const char *source, const char *ip, uint16_t port,
			const struct lnk_ops *ops, void *priv);

/* Queues a frame, also before `opened`; it is sent with others in the next turn
 * of the loop. Returns false if `len` exceeds LNK_FRAME_MAX or the link is
 * closing: this call closes it if the backlog is too large. */
bool lnk_send(struct lnk *l, const void *data, size_t len);

/* Closes the link; `closed` is called in the next iteration of the loop. */
void lnk_close(struct lnk *l);

/* A pointer for the user of the link; NULL at first. */
void lnk_set_user(struct lnk *l, void *user);
void *lnk_user(const struct lnk *l);

#endif
