/* Accepts links, within limits. */
#include "transport/lnk_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "base/clk.h"
#include "base/log.h"

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
/* Without progress for this long, in ms, a link is stalled: longer than a
 * retransmission takes. */
#define STALL_MS 1000

void lnk_srv_leave(struct lnk *l)
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
	s->buffer_bytes -= l->charged_bytes;
}

uint32_t lnk_srv_frame_max(const struct lnk *l)
{
	if (!l->srv)
		return LNK_FRAME_MAX;
	return l->proven ? l->srv->limits.frame_max
			 : l->srv->limits.unproven_frame_max;
}

void lnk_srv_set_proven(struct lnk *l)
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

void lnk_srv_count_too_long(struct lnk *l)
{
	if (l->srv)
		l->srv->counts.too_long++;
}

/* Returns for how long the peer has neither sent the rest of a frame nor read
 * what waits for it; 0 if nothing is pending. */
static int64_t stalled_ms(const struct lnk *l, int64_t now_ms)
{
	int64_t in = l->in.start < l->in.end ? now_ms - l->received_ms : 0;
	int64_t out = l->out.start < l->out.end ? now_ms - l->sent_ms : 0;

	return in > out ? in : out;
}

/* Returns the link to close when memory is short: the oldest unproven one, else
 * the one that is stalled for longest, else the one with the largest buffers.
 */
static struct lnk *choose_victim(const struct lnk_srv *s)
{
	int64_t now_ms = clk_mono_ms(&clk_system);
	int64_t longest_ms = STALL_MS;
	struct lnk *stalled = NULL;
	struct lnk *largest = s->links;
	struct lnk *unproven = oldest_unproven(s);

	for (struct lnk *l = s->links; l; l = l->next) {
		int64_t ms = stalled_ms(l, now_ms);

		if (ms >= longest_ms) {
			longest_ms = ms;
			stalled = l;
		}
		if (l->charged_bytes > largest->charged_bytes)
			largest = l;
	}
	if (unproven)
		return unproven;
	return stalled ? stalled : largest;
}

bool lnk_srv_charge(struct lnk *l)
{
	struct lnk_srv *s = l->srv;
	int64_t bytes = (int64_t)(l->in.size + l->out.size);

	if (!s)
		return !l->closing;
	s->buffer_bytes += bytes - l->charged_bytes;
	l->charged_bytes = bytes;
	while (s->buffer_bytes > s->limits.buffers_max) {
		s->counts.no_memory++;
		lnk_close(choose_victim(s));
	}
	return !l->closing;
}

static void join_server(struct lnk *l, struct lnk_srv *s)
{
	if (!s->limited)
		return;
	l->srv = s;
	l->accepted_ms = clk_mono_ms(&clk_system);
	l->received_ms = l->accepted_ms;
	l->next = s->links;
	if (l->next)
		l->next->prev = l;
	s->links = l;
	s->n_links++;
	s->n_unproven++;
}

/* Returns the link that has sent nothing for longest, or NULL if none has been
 * silent for long enough. */
static struct lnk *most_silent(const struct lnk_srv *s)
{
	int64_t oldest_ms = clk_mono_ms(&clk_system) - s->limits.silent_ms;
	struct lnk *silent = NULL;

	for (struct lnk *l = s->links; l; l = l->next) {
		if (l->received_ms > oldest_ms)
			continue;
		oldest_ms = l->received_ms;
		silent = l;
	}
	return silent;
}

/* Returns whether one more link fits, after the oldest unproven or a silent one
 * was closed if need be. */
static bool has_room(struct lnk_srv *s)
{
	struct lnk *l;

	if (!s->limited || (s->n_links < s->limits.links_max &&
			    s->n_unproven < s->limits.unproven_max))
		return true;
	l = oldest_unproven(s);
	if (!l)
		l = most_silent(s);
	if (!l) {
		s->counts.refused++;
		return false;
	}
	s->counts.evicted++;
	lnk_close(l);
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
	l->fde = tevent_add_fd(ev, l, fd, TEVENT_FD_READ, lnk_on_fd, l);
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
		  (long long)s->buffer_bytes);
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
		lnk_srv_leave(s->links);
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

	if (fd < 0 || !lnk_parse_addr(ip, port, &sa))
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
