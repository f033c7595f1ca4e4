/* Shared by the parts of links. */
#ifndef LNK_INT_H
#define LNK_INT_H

#include <netinet/in.h>

#include "transport/lnk.h"
#include "transport/tmr.h"

#define LNK_READ_CHUNK_BYTES (64u << 10)

/* Byte queue: `size` bytes are allocated, those from `start` up to `end` are
 * pending. */
struct lnk_buf {
	uint8_t *data;
	size_t start;
	size_t end;
	size_t size;
};

struct lnk {
	struct tevent_context *ev;
	struct tevent_fd *fde;
	struct tevent_immediate *im;
	const struct lnk_ops *ops;
	void *priv;
	void *user;
	int fd;
	bool connected;
	bool closing; /* `closed` is scheduled */
	bool flushing; /* a flush is scheduled */
	struct lnk_buf in;
	struct lnk_buf out;
	struct lnk_srv *srv; /* NULL: not accepted, or without limits */
	struct lnk *prev; /* accepted links, newest first */
	struct lnk *next;
	bool proven;
	int64_t accepted_ms;
	int64_t received_ms; /* when bytes arrived last */
	int64_t sent_ms; /* when bytes were sent last, or `out` was empty */
	int64_t charged_bytes; /* part of the server's buffer_bytes */
};

struct lnk_counts {
	int64_t refused; /* links beyond the limits */
	int64_t evicted; /* links closed for new ones */
	int64_t late; /* unproven links closed after their time */
	int64_t too_long; /* links closed for their frame's length */
	int64_t no_memory; /* links closed for buffers_max */
};

struct lnk_srv {
	struct tevent_context *ev;
	struct tevent_fd *fde;
	const struct lnk_ops *ops;
	void *priv;
	int fd;
	uint16_t port;
	bool limited; /* the members below are used */
	struct lnk_limits limits;
	struct lnk_counts counts;
	struct lnk_counts logged;
	int64_t log_ms; /* no summary before */
	struct tmr_set *timers;
	struct lnk *links;
	uint32_t n_links;
	uint32_t n_unproven;
	int64_t buffer_bytes; /* size of all buffers */
};

struct lnk *lnk_new(void *ctx, struct tevent_context *ev, int fd,
		    const struct lnk_ops *ops, void *priv);
/* Handles events of an open link. */
void lnk_on_fd(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
	       void *priv);
bool lnk_parse_addr(const char *ip, uint16_t port, struct sockaddr_in *sa);

/* Takes the link from its server's accounts. The following, too, do nothing for
 * links without limits. */
void lnk_srv_leave(struct lnk *l);
/* Returns the longest frame that the link may receive now. */
uint32_t lnk_srv_frame_max(const struct lnk *l);
void lnk_srv_count_too_long(struct lnk *l);
/* A frame has arrived. */
void lnk_srv_set_proven(struct lnk *l);
/* Accounts for the size of the link's buffers, and closes links until all
 * buffers are within the limit. Returns false if this one was closed. */
bool lnk_srv_charge(struct lnk *l);

#endif
