/* TCP links that carry frames: a length of four bytes in network byte order,
 * then the payload. */
#include "transport/lnk.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "base/clk.h"
#include "base/log.h"
#include "transport/tmr.h"

#define READ_CHUNK_BYTES (64u << 10)
/* Links that the kernel holds until they are accepted; each may have received
 * as much as the receive buffer holds. */
#define LISTEN_BACKLOG 64
/* The kernel doubles it: 4 MB/s to another region, 60 ms there and back. */
#define RECEIVE_BUFFER_BYTES (256 * 1024)
#define CHECK_INTERVAL_MS 1000
/* Least interval between two summaries in the log, in ms. */
#define SUMMARY_INTERVAL_MS 10000
/* Pause after a lack of descriptors, in ms: the event would be reported again
 * at once. */
#define ACCEPT_PAUSE_MS 100

/* Byte queue: `size` bytes are allocated, those from `start` up to `end` are
 * pending. */
struct buf {
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
	struct buf in;
	struct buf out;
	struct lnk_srv *srv; /* NULL: not accepted, or without limits */
	struct lnk *prev; /* accepted links, newest first */
	struct lnk *next;
	bool proven;
	int64_t accepted_ms;
};

struct lnk_counts {
	int64_t refused; /* links beyond the limits */
	int64_t evicted; /* unproven links closed for new ones */
	int64_t late; /* unproven links closed after their time */
	int64_t too_long; /* links closed for their frame's length */
	int64_t no_memory; /* links closed for received_max */
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
	int64_t received_bytes; /* size of all buffers */
};

/* Makes room for `more` bytes after `end`. */
static void buf_reserve(void *ctx, struct buf *b, size_t more)
{
	if (b->end + more <= b->size)
		return;
	if (b->start)
		memmove(b->data, b->data + b->start, b->end - b->start);
	b->end -= b->start;
	b->start = 0;
	if (b->end + more <= b->size)
		return;
	b->size = b->end + more + b->end / 2;
	b->data = talloc_realloc(ctx, b->data, uint8_t, b->size);
}

/* Takes the link from its server's accounts. */
static void leave_server(struct lnk *l)
{
	struct lnk_srv *s = l->srv;

	if (!s)
		return;
	l->srv = NULL;
	if (l->prev)
		l->prev->next = l->next;
	else
		s->links = l->next;
	if (l->next)
		l->next->prev = l->prev;
	s->n_links--;
	s->n_unproven -= !l->proven;
	s->received_bytes -= (int64_t)l->in.size;
}

static int lnk_destructor(struct lnk *l)
{
	leave_server(l);
	TALLOC_FREE(l->fde);
	if (l->fd >= 0)
		close(l->fd);
	l->fd = -1;
	return 0;
}

static void finish_close(struct tevent_context *ev, struct tevent_immediate *im,
			 void *priv)
{
	struct lnk *l = priv;

	(void)ev;
	(void)im;
	l->ops->closed(l, l->priv);
	talloc_free(l);
}

void lnk_close(struct lnk *l)
{
	if (l->closing)
		return;
	leave_server(l);
	l->closing = true;
	l->flushing = false;
	TALLOC_FREE(l->fde);
	close(l->fd);
	l->fd = -1;
	tevent_schedule_immediate(l->im, l->ev, finish_close, l);
}

static uint32_t frame_max(const struct lnk *l)
{
	if (!l->srv)
		return LNK_FRAME_MAX;
	return l->proven ? l->srv->limits.frame_max
			 : l->srv->limits.unproven_frame_max;
}

static void set_proven(struct lnk *l)
{
	if (l->srv && !l->proven)
		l->srv->n_unproven--;
	l->proven = true;
}

static struct lnk *oldest_unproven(const struct lnk_srv *s)
{
	struct lnk *oldest = NULL;

	for (struct lnk *l = s->links; l; l = l->next)
		oldest = l->proven ? oldest : l;
	return oldest;
}

/* Makes room for a chunk. Returns false if that closed the link. */
static bool reserve_input(struct lnk *l)
{
	size_t before = l->in.size;
	struct lnk_srv *s = l->srv;

	buf_reserve(l, &l->in, READ_CHUNK_BYTES);
	if (!s)
		return true;
	s->received_bytes += (int64_t)l->in.size - (int64_t)before;
	while (s->received_bytes > s->limits.received_max) {
		struct lnk *worst = oldest_unproven(s);

		worst = worst ? worst : l;
		s->counts.no_memory++;
		lnk_close(worst);
		if (worst == l)
			return false;
	}
	return true;
}

static void deliver_frames(struct lnk *l)
{
	while (!l->closing && l->in.end - l->in.start >= LNK_HEADER_BYTES) {
		uint32_t len;
		const uint8_t *at = l->in.data + l->in.start;

		memcpy(&len, at, LNK_HEADER_BYTES);
		len = ntohl(len);
		if (len > frame_max(l)) {
			if (l->srv)
				l->srv->counts.too_long++;
			lnk_close(l);
			return;
		}
		if (l->in.end - l->in.start < LNK_HEADER_BYTES + len)
			return;
		l->in.start += LNK_HEADER_BYTES + len;
		set_proven(l);
		l->ops->frame(l, at + LNK_HEADER_BYTES, len, l->priv);
	}
}

static void on_readable(struct lnk *l)
{
	ssize_t n;

	if (!reserve_input(l))
		return;
	n = recv(l->fd, l->in.data + l->in.end, l->in.size - l->in.end, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		lnk_close(l);
		return;
	}
	l->in.end += n;
	deliver_frames(l);
}

static void send_buffered(struct lnk *l)
{
	while (l->out.end > l->out.start) {
		ssize_t n = send(l->fd, l->out.data + l->out.start,
				 l->out.end - l->out.start, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n < 0) {
			lnk_close(l);
			return;
		}
		l->out.start += n;
	}
	if (l->out.start == l->out.end) {
		l->out.start = l->out.end = 0;
		TEVENT_FD_NOT_WRITEABLE(l->fde);
	} else {
		TEVENT_FD_WRITEABLE(l->fde);
	}
}

static void on_connected(struct lnk *l)
{
	int error = 0;
	socklen_t len = sizeof(error);

	getsockopt(l->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error) {
		lnk_close(l);
		return;
	}
	l->connected = true;
	TEVENT_FD_READABLE(l->fde);
	if (l->ops->opened)
		l->ops->opened(l, l->priv);
}

static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *priv)
{
	struct lnk *l = priv;

	(void)ev;
	(void)fde;
	if (!l->connected) {
		on_connected(l);
		if (!l->closing)
			send_buffered(l);
		return;
	}
	if (flags & TEVENT_FD_READ)
		on_readable(l);
	if (!l->closing && (flags & TEVENT_FD_WRITE))
		send_buffered(l);
}

static struct lnk *lnk_new(void *ctx, struct tevent_context *ev, int fd,
			   const struct lnk_ops *ops, void *priv)
{
	struct lnk *l = talloc_zero(ctx, struct lnk);
	int on = 1;

	l->ev = ev;
	l->ops = ops;
	l->priv = priv;
	l->fd = fd;
	l->im = tevent_create_immediate(l);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	talloc_set_destructor(l, lnk_destructor);
	return l;
}

static bool parse_addr(const char *ip, uint16_t port, struct sockaddr_in *sa)
{
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons(port);
	return inet_pton(AF_INET, ip, &sa->sin_addr) == 1;
}

static bool bind_source(int fd, const char *source)
{
	struct sockaddr_in sa;

	return parse_addr(source, 0, &sa) &&
	       bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0;
}

struct lnk *lnk_connect(void *ctx, struct tevent_context *ev,
			const char *source, const char *ip, uint16_t port,
			const struct lnk_ops *ops, void *priv)
{
	struct sockaddr_in sa;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct lnk *l;

	if (fd < 0)
		return NULL;
	l = lnk_new(ctx, ev, fd, ops, priv);
	l->fde = tevent_add_fd(ev, l, fd, TEVENT_FD_WRITE, on_fd, l);
	if (!bind_source(fd, source) || !parse_addr(ip, port, &sa) ||
	    (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 &&
	     errno != EINPROGRESS))
		lnk_close(l);
	return l;
}

static void join_server(struct lnk *l, struct lnk_srv *s)
{
	if (!s->limited)
		return;
	l->srv = s;
	l->accepted_ms = clk_mono_ms(&clk_system);
	l->next = s->links;
	if (l->next)
		l->next->prev = l;
	s->links = l;
	s->n_links++;
	s->n_unproven++;
}

/* Returns whether one more link fits, after the oldest unproven one was closed
 * if need be. */
static bool has_room(struct lnk_srv *s)
{
	struct lnk *oldest;

	if (!s->limited || (s->n_links < s->limits.links_max &&
			    s->n_unproven < s->limits.unproven_max))
		return true;
	oldest = oldest_unproven(s);
	if (!oldest) {
		s->counts.refused++;
		return false;
	}
	s->counts.evicted++;
	lnk_close(oldest);
	return true;
}

static void resume_accepting(struct tevent_context *ev,
			     struct tevent_timer *timer, struct timeval now,
			     void *priv)
{
	struct lnk_srv *s = priv;

	(void)ev;
	(void)timer;
	(void)now;
	TEVENT_FD_READABLE(s->fde);
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *priv)
{
	struct lnk_srv *s = priv;
	int fd = accept4(s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct lnk *l;

	(void)flags;
	if (fd < 0 && (errno == EMFILE || errno == ENFILE)) {
		TEVENT_FD_NOT_READABLE(fde);
		tevent_add_timer(
			ev, s,
			tevent_timeval_current_ofs(0, ACCEPT_PAUSE_MS * 1000),
			resume_accepting, s);
	}
	if (fd < 0)
		return;
	if (!has_room(s)) {
		close(fd);
		return;
	}
	l = lnk_new(s, ev, fd, s->ops, s->priv);
	l->connected = true;
	join_server(l, s);
	l->fde = tevent_add_fd(ev, l, fd, TEVENT_FD_READ, on_fd, l);
	if (l->ops->opened)
		l->ops->opened(l, l->priv);
}

static void log_summary(struct lnk_srv *s, int64_t now_ms)
{
	const struct lnk_counts *c = &s->counts;
	const struct lnk_counts *l = &s->logged;

	if (now_ms < s->log_ms || !memcmp(c, l, sizeof(*c)))
		return;
	log_event(LOG_CLIENTS_LIMITED,
		  "port=%u full=%lld evicted=%lld late_frames=%lld "
		  "long_frames=%lld no_memory=%lld connections=%u "
		  "buffers_bytes=%lld",
		  s->port, (long long)(c->refused - l->refused),
		  (long long)(c->evicted - l->evicted),
		  (long long)(c->late - l->late),
		  (long long)(c->too_long - l->too_long),
		  (long long)(c->no_memory - l->no_memory), s->n_links,
		  (long long)s->received_bytes);
	s->logged = *c;
	s->log_ms = now_ms + SUMMARY_INTERVAL_MS;
}

static void check_links(void *priv)
{
	struct lnk_srv *s = priv;
	int64_t now_ms = clk_mono_ms(&clk_system);
	struct lnk *next;

	for (struct lnk *l = s->links; l; l = next) {
		next = l->next;
		if (l->proven ||
		    now_ms - l->accepted_ms < s->limits.unproven_max_ms)
			continue;
		s->counts.late++;
		lnk_close(l);
	}
	log_summary(s, now_ms);
	tmr_after(s->timers, CHECK_INTERVAL_MS, check_links, s);
}

void lnk_srv_limit(struct lnk_srv *s, const struct lnk_limits *limits)
{
	int size = RECEIVE_BUFFER_BYTES;

	s->limited = true;
	s->limits = *limits;
	/* Accepted sockets inherit it. */
	setsockopt(s->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	s->timers = tmr_set_start(s, s->ev);
	tmr_after(s->timers, CHECK_INTERVAL_MS, check_links, s);
}

int64_t lnk_srv_refused(const struct lnk_srv *s)
{
	const struct lnk_counts *c = &s->counts;

	return c->refused + c->evicted + c->late + c->too_long + c->no_memory;
}

static int srv_destructor(struct lnk_srv *s)
{
	/* The links are freed after this, with nothing to leave. */
	while (s->links)
		leave_server(s->links);
	TALLOC_FREE(s->fde);
	close(s->fd);
	return 0;
}

struct lnk_srv *lnk_listen(void *ctx, struct tevent_context *ev, const char *ip,
			   uint16_t port, const struct lnk_ops *ops, void *priv,
			   struct err *e)
{
	struct sockaddr_in sa;
	struct lnk_srv *s;
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0 || !parse_addr(ip, port, &sa))
		goto fail;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(fd, LISTEN_BACKLOG) < 0)
		goto fail;
	s = talloc_zero(ctx, struct lnk_srv);
	s->ev = ev;
	s->fd = fd;
	s->port = port;
	s->ops = ops;
	s->priv = priv;
	s->fde = tevent_add_fd(ev, s, fd, TEVENT_FD_READ, on_accept, s);
	talloc_set_destructor(s, srv_destructor);
	return s;
fail:
	err_set(e, ERR_SYSTEM,
		"cannot listen on %s:%u (%s): free the port "
		"or change the setting",
		ip, port, strerror(errno));
	if (fd >= 0)
		close(fd);
	return NULL;
}

/* Sends what was queued since the event loop began its turn, at once. */
static void flush(struct tevent_context *ev, struct tevent_immediate *im,
		  void *priv)
{
	struct lnk *l = priv;

	(void)ev;
	(void)im;
	l->flushing = false;
	send_buffered(l);
}

bool lnk_send(struct lnk *l, const void *data, size_t len)
{
	uint32_t header = htonl((uint32_t)len);

	if (l->closing || len > LNK_FRAME_MAX)
		return false;
	if (l->out.end - l->out.start > LNK_BACKLOG_MAX) {
		lnk_close(l);
		return false;
	}
	buf_reserve(l, &l->out, LNK_HEADER_BYTES + len);
	memcpy(l->out.data + l->out.end, &header, LNK_HEADER_BYTES);
	memcpy(l->out.data + l->out.end + LNK_HEADER_BYTES, data, len);
	l->out.end += LNK_HEADER_BYTES + len;
	if (l->connected && !l->flushing) {
		l->flushing = true;
		tevent_schedule_immediate(l->im, l->ev, flush, l);
	}
	return true;
}

void lnk_set_user(struct lnk *l, void *user)
{
	l->user = user;
}

void *lnk_user(const struct lnk *l)
{
	return l->user;
}
