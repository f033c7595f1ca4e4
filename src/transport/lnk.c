/* TCP links that carry frames: a length of four bytes in network byte order,
 * then the payload. */
#include "transport/lnk_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "base/clk.h"

/* Makes room for `more` bytes after `end`. */
static void buf_reserve(void *ctx, struct lnk_buf *b, size_t more)
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

/* Frees the memory that a long frame needed, once nothing is pending. Returns
 * whether it did. */
static bool buf_trim(struct lnk_buf *b)
{
	if (b->start < b->end || b->size <= 2 * LNK_READ_CHUNK_BYTES)
		return false;
	TALLOC_FREE(b->data);
	*b = (struct lnk_buf){ 0 };
	return true;
}

static int lnk_destructor(struct lnk *l)
{
	lnk_srv_leave(l);
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
	lnk_srv_leave(l);
	l->closing = true;
	l->flushing = false;
	TALLOC_FREE(l->fde);
	close(l->fd);
	l->fd = -1;
	tevent_schedule_immediate(l->im, l->ev, finish_close, l);
}

static void deliver_frames(struct lnk *l)
{
	while (!l->closing && l->in.end - l->in.start >= LNK_HEADER_BYTES) {
		uint32_t len;
		const uint8_t *at = l->in.data + l->in.start;

		memcpy(&len, at, LNK_HEADER_BYTES);
		len = ntohl(len);
		if (len > lnk_srv_frame_max(l)) {
			lnk_srv_count_too_long(l);
			lnk_close(l);
			return;
		}
		if (l->in.end - l->in.start < LNK_HEADER_BYTES + len)
			return;
		l->in.start += LNK_HEADER_BYTES + len;
		lnk_srv_set_proven(l);
		l->ops->frame(l, at + LNK_HEADER_BYTES, len, l->priv);
	}
}

static void on_readable(struct lnk *l)
{
	ssize_t n;

	buf_reserve(l, &l->in, LNK_READ_CHUNK_BYTES);
	if (!lnk_srv_charge(l))
		return;
	n = recv(l->fd, l->in.data + l->in.end, l->in.size - l->in.end, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		lnk_close(l);
		return;
	}
	l->in.end += n;
	l->received_ms = clk_mono_ms(&clk_system);
	deliver_frames(l);
	if (!l->closing && buf_trim(&l->in))
		lnk_srv_charge(l);
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
		l->sent_ms = clk_mono_ms(&clk_system);
	}
	if (l->out.start == l->out.end) {
		l->out.start = l->out.end = 0;
		if (buf_trim(&l->out))
			lnk_srv_charge(l);
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

void lnk_on_fd(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
	       void *priv)
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

struct lnk *lnk_new(void *ctx, struct tevent_context *ev, int fd,
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

bool lnk_parse_addr(const char *ip, uint16_t port, struct sockaddr_in *sa)
{
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons(port);
	return inet_pton(AF_INET, ip, &sa->sin_addr) == 1;
}

static bool bind_source(int fd, const char *source)
{
	struct sockaddr_in sa;

	return lnk_parse_addr(source, 0, &sa) &&
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
	l->fde = tevent_add_fd(ev, l, fd, TEVENT_FD_WRITE, lnk_on_fd, l);
	if (!bind_source(fd, source) || !lnk_parse_addr(ip, port, &sa) ||
	    (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 &&
	     errno != EINPROGRESS))
		lnk_close(l);
	return l;
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
	if (l->out.start == l->out.end)
		l->sent_ms = clk_mono_ms(&clk_system);
	buf_reserve(l, &l->out, LNK_HEADER_BYTES + len);
	if (!lnk_srv_charge(l))
		return false;
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
