/* Connections of the HTTP server: accepts them within limits, and closes those
 * that keep the server waiting. */
#include "transport/hts_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "base/clk.h"
#include "base/log.h"

/* Connections that the kernel holds until they are accepted; each may have
 * received as much as the receive buffer holds. */
#define BACKLOG 128
/* The kernel doubles it. Larger bodies are read as they arrive; callers' jobs
 * of 6 KB fit. */
#define RECEIVE_BUFFER_BYTES (32 * 1024)
/* Accepted in one turn of the loop. */
#define ACCEPTS_MAX 16
/* Pause after a lack of descriptors or memory, in ms: the event would be
 * reported again at once. */
#define ACCEPT_PAUSE_MS 100
#define CHECK_INTERVAL_MS 500
/* A client has so long in ms for the next bytes of its answer, and for all. */
#define UNREAD_MAX_MS 10000
#define SENDING_MAX_MS 60000
/* Time in ms in which a refused client can read the answer: closing a socket
 * with unread bytes resets the connection, and the answer may be lost. */
#define REFUSED_MAX_MS 1000
/* A connection inactive for this long, in ms, may be closed for a new one. It
 * covers the retransmissions of an ordinary caller. */
#define EVICT_AFTER_MS 1000
/* Least interval between two summaries in the log, in ms. */
#define SUMMARY_INTERVAL_MS 10000

int64_t hts_now_ms(void)
{
	return clk_mono_ms(&clk_system);
}

static struct tcp_info read_info(const struct hts_conn *c)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	getsockopt(c->fd, IPPROTO_TCP, TCP_INFO, &info, &len);
	return info;
}

static uint64_t received_bytes(const struct hts_conn *c)
{
	return read_info(c).tcpi_bytes_received;
}

void hts_conn_set_state(struct hts_conn *c, enum hts_conn_state state)
{
	c->state = state;
	c->since_ms = hts_now_ms();
	c->header_ms = 0;
	c->acked_ms = c->since_ms;
	if (state == HTS_WAITING)
		c->received_bytes = received_bytes(c);
}

void hts_conn_shut_down(struct hts_conn *c)
{
	if (c->closing)
		return;
	c->closing = true;
	shutdown(c->fd, SHUT_RDWR);
}

struct hts_conn *hts_conn_of(struct MHD_Connection *con)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		con, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

static void check_all(void *priv);

static void arm_check(struct hts *s)
{
	if (!s->check_timer)
		s->check_timer =
			tmr_after(s->timers, CHECK_INTERVAL_MS, check_all, s);
}

static void conn_opened(struct hts *s, struct MHD_Connection *con, void **user)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(con, MHD_CONNECTION_INFO_CONNECTION_FD);
	int fd = info->connect_fd;
	struct hts_conn *c = calloc(1, sizeof(*c));
	struct sockaddr_in peer = { 0 };
	socklen_t len = sizeof(peer);

	if (!c) {
		s->counts.no_memory++;
		shutdown(fd, SHUT_RDWR);
		return;
	}
	getpeername(fd, (struct sockaddr *)&peer, &len);
	c->srv = s;
	c->con = con;
	c->fd = fd;
	c->address = peer.sin_addr.s_addr;
	c->since_ms = hts_now_ms();
	c->next = s->conns;
	if (c->next)
		c->next->prev = c;
	s->conns = c;
	cnl_opened(&s->limits, c->address);
	*user = c;
	arm_check(s);
}

static void conn_closed(struct hts *s, struct hts_conn *c)
{
	if (!c)
		return;
	if (c->prev)
		c->prev->next = c->next;
	else
		s->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	cnl_closed(&s->limits, c->address);
	free(c);
}

void hts_conn_notify(void *priv, struct MHD_Connection *con, void **user,
		     enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		conn_opened(priv, con, user);
		return;
	}
	conn_closed(priv, *user);
	*user = NULL;
}

/* Returns since when the client has sent nothing that completes a request, or
 * read nothing of its answer; -1 if the request is being served. */
static int64_t inactive_since_ms(const struct hts_conn *c)
{
	if (c->closing || c->state == HTS_SERVING)
		return -1;
	if (c->state == HTS_BODY)
		return c->x->budget.progress_ms;
	if (c->state == HTS_SENDING)
		return c->acked_ms;
	return c->since_ms;
}

/* Closes the connection that is inactive for the longest time: of this address,
 * or of all addresses. Returns false if none is inactive for long enough. */
static bool evict(struct hts *s, const uint32_t *address)
{
	int64_t oldest_ms = hts_now_ms() - EVICT_AFTER_MS;
	struct hts_conn *worst = NULL;

	for (struct hts_conn *c = s->conns; c; c = c->next) {
		int64_t since_ms = inactive_since_ms(c);

		if ((address && c->address != *address) || since_ms < 0 ||
		    since_ms > oldest_ms)
			continue;
		oldest_ms = since_ms;
		worst = c;
	}
	if (!worst)
		return false;
	s->counts.evicted++;
	hts_conn_shut_down(worst);
	hts_run(s);
	return true;
}

static bool has_room(struct hts *s, uint32_t address)
{
	enum cnl_result res = cnl_check(&s->limits, address);

	if (res == CNL_OK)
		return true;
	if (evict(s, res == CNL_ADDRESS_FULL ? &address : NULL) &&
	    cnl_check(&s->limits, address) == CNL_OK)
		return true;
	if (res == CNL_ADDRESS_FULL)
		s->counts.address_refused++;
	else
		s->counts.connections_refused++;
	return false;
}

static void resume_accepting(void *priv)
{
	struct hts *s = priv;

	s->accept_timer = NULL;
	if (s->listen_fde)
		TEVENT_FD_READABLE(s->listen_fde);
}

static void pause_accepting(struct hts *s)
{
	s->counts.connections_refused++;
	TEVENT_FD_NOT_READABLE(s->listen_fde);
	s->accept_timer =
		tmr_after(s->timers, ACCEPT_PAUSE_MS, resume_accepting, s);
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *priv)
{
	struct hts *s = priv;

	(void)ev;
	(void)fde;
	(void)flags;
	arm_check(s);
	for (int i = 0; i < ACCEPTS_MAX; i++) {
		struct sockaddr_in peer = { 0 };
		socklen_t len = sizeof(peer);
		int fd = accept4(s->listen_fd, (struct sockaddr *)&peer, &len,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0) {
			if (errno == EMFILE || errno == ENFILE ||
			    errno == ENOBUFS || errno == ENOMEM)
				pause_accepting(s);
			return;
		}
		if (!has_room(s, peer.sin_addr.s_addr)) {
			close(fd);
			continue;
		}
		/* On failure, libmicrohttpd closes the socket. */
		MHD_add_connection(s->daemon, fd, (struct sockaddr *)&peer,
				   len);
		/* Reports the connection as opened, so that it counts. */
		hts_run(s);
	}
}

static void check_sending(struct hts *s, struct hts_conn *c, int64_t now_ms)
{
	uint64_t acked = read_info(c).tcpi_bytes_acked;

	if (acked != c->acked_bytes)
		c->acked_ms = now_ms;
	c->acked_bytes = acked;
	if (now_ms - c->acked_ms < UNREAD_MAX_MS &&
	    now_ms - c->since_ms < SENDING_MAX_MS)
		return;
	s->counts.unread++;
	hts_conn_shut_down(c);
}

static void check_conn(struct hts *s, struct hts_conn *c, int64_t now_ms)
{
	if (c->closing)
		return;
	switch (c->state) {
	case HTS_WAITING:
		if (!c->header_ms && received_bytes(c) > c->received_bytes)
			c->header_ms = now_ms;
		if (c->header_ms && now_ms - c->header_ms >= s->header_ms) {
			s->counts.late_headers++;
			hts_conn_shut_down(c);
		}
		break;
	case HTS_BODY:
		if (now_ms - c->since_ms >= s->body_ms) {
			s->counts.late_bodies++;
			hts_refuse(c->x, MHD_HTTP_REQUEST_TIMEOUT);
		}
		break;
	case HTS_REFUSED:
		if (now_ms - c->since_ms >= REFUSED_MAX_MS)
			hts_conn_shut_down(c);
		break;
	case HTS_SENDING:
		check_sending(s, c, now_ms);
		break;
	case HTS_SERVING:
		break;
	}
}

static void log_summary(struct hts *s, int64_t now_ms)
{
	const struct hts_counts *c = &s->counts;
	const struct hts_counts *l = &s->logged;

	if (now_ms < s->log_ms || !memcmp(c, l, sizeof(*c)))
		return;
	log_event(LOG_CLIENTS_LIMITED,
		  "port=%u full=%lld address_full=%lld evicted=%lld "
		  "late_headers=%lld late_bodies=%lld unread=%lld "
		  "long_bodies=%lld "
		  "no_memory=%lld connections=%u bodies_bytes=%lld",
		  s->port,
		  (long long)(c->connections_refused - l->connections_refused),
		  (long long)(c->address_refused - l->address_refused),
		  (long long)(c->evicted - l->evicted),
		  (long long)(c->late_headers - l->late_headers),
		  (long long)(c->late_bodies - l->late_bodies),
		  (long long)(c->unread - l->unread),
		  (long long)(c->long_bodies - l->long_bodies),
		  (long long)(c->no_memory - l->no_memory), s->limits.total,
		  (long long)s->budget.used_bytes);
	s->logged = *c;
	s->log_ms = now_ms + SUMMARY_INTERVAL_MS;
}

static void check_all(void *priv)
{
	struct hts *s = priv;
	int64_t now_ms = hts_now_ms();

	s->check_timer = NULL;
	for (struct hts_conn *c = s->conns; c; c = c->next)
		check_conn(s, c, now_ms);
	log_summary(s, now_ms);
	/* Goes on until the last summary is out. */
	if (s->conns || memcmp(&s->counts, &s->logged, sizeof(s->counts)))
		arm_check(s);
	hts_run(s);
}

bool hts_conn_listen(struct hts *s, const struct hts_options *opt)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(opt->port) };
	int size = RECEIVE_BUFFER_BYTES;
	int send_size = (int)(opt->send_buffer ? opt->send_buffer
					       : HTS_SEND_BUFFER_BYTES);
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return false;
	inet_pton(AF_INET, opt->ip, &sa.sin_addr);
	/* Connections left by the previous process would block the port for a
	 * minute. */
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (opt->share_port)
		setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
	/* Accepted sockets inherit it. */
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_size, sizeof(send_size));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(fd, BACKLOG) < 0) {
		int error = errno;

		close(fd);
		errno = error;
		return false;
	}
	s->listen_fd = fd;
	s->port = opt->port;
	s->listen_fde =
		tevent_add_fd(s->ev, s, fd, TEVENT_FD_READ, on_accept, s);
	return true;
}

void hts_conn_stop_listening(struct hts *s)
{
	TALLOC_FREE(s->listen_fde);
	TALLOC_FREE(s->accept_timer);
	if (s->listen_fd >= 0)
		close(s->listen_fd);
	s->listen_fd = -1;
}
