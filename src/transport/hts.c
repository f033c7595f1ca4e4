/* HTTP server: runs libmicrohttpd on a tevent loop. A connection is suspended
 * from the call of the handler until the reply. */
#include "transport/hts_int.h"

#include <errno.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <talloc.h>

/* Buffer of libmicrohttpd for a connection: half of it is for reading, so a
 * header of 16 KiB fits. Beyond 32 KiB it is mapped, not allocated, and is
 * returned to the system when the connection closes. */
#define POOL_BYTES (48 * 1024)
#define DEFAULT_CONNECTIONS_MAX 8192
#define DEFAULT_BODIES_BYTES (64LL << 20)
/* Callers wait 3 s for an answer. */
#define DEFAULT_HEADER_MS 10000
#define DEFAULT_BODY_MS 20000
/* Part of the budget for bodies that only small and nearly complete ones use.
 */
#define RESERVED_SHARE 4
/* Time in ms without a byte: more than a retransmission takes. */
#define STALL_MS 1000
/* Buffers grow by a quarter, in steps of at least so many bytes. */
#define BODY_STEP_BYTES 2048
/* A refused client may send so much more; it is read and discarded. */
#define DISCARD_MAX_BYTES (256 * 1024)
/* Seconds after which a refused client may try again. */
#define RETRY_AFTER_S "1"

static void on_timer(void *priv)
{
	struct hts *s = priv;

	s->timer = NULL;
	hts_run(s);
}

void hts_run(struct hts *s)
{
	MHD_UNSIGNED_LONG_LONG wait_ms;

	MHD_run(s->daemon);
	TALLOC_FREE(s->timer);
	if (MHD_get_timeout(s->daemon, &wait_ms) != MHD_YES)
		return;
	s->timer = tmr_after(s->timers, (int64_t)wait_ms, on_timer, s);
}

static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *priv)
{
	(void)ev;
	(void)fde;
	(void)flags;
	hts_run(priv);
}

static void on_immediate(struct tevent_context *ev, struct tevent_immediate *im,
			 void *priv)
{
	struct hts *s = priv;

	(void)ev;
	(void)im;
	s->run_scheduled = false;
	hts_run(s);
}

static void schedule_run(struct hts *s)
{
	if (s->run_scheduled)
		return;
	s->run_scheduled = true;
	tevent_schedule_immediate(s->im, s->ev, on_immediate, s);
}

static enum MHD_Result queue_reply(struct hts_exchange *x)
{
	enum MHD_Result res;
	struct MHD_Response *r = MHD_create_response_from_buffer(
		x->reply_len, x->reply, MHD_RESPMEM_MUST_COPY);

	if (!r)
		return MHD_NO;
	if (x->type)
		MHD_add_response_header(r, "Content-Type", x->type);
	for (int i = 0; i < x->n_headers; i++)
		MHD_add_response_header(r, x->headers[i].name,
					x->headers[i].value);
	res = MHD_queue_response(x->conn->con, x->status, r);
	MHD_destroy_response(r);
	return res;
}

static void store_reply(struct hts_exchange *x, unsigned int status,
			const char *type, const void *body, size_t len)
{
	x->replied = true;
	x->status = status;
	x->type = type;
	x->reply = malloc(len + 1);
	if (!x->reply) {
		/* The outcome is unknown to the client, as after a loss of the
		 * connection. */
		x->srv->counts.no_memory++;
		hts_conn_shut_down(x->conn);
		return;
	}
	memcpy(x->reply, body, len);
	x->reply_len = len;
}

static void free_body(struct hts_exchange *x)
{
	bdg_close(&x->srv->budget, &x->budget);
	free(x->body);
	x->body = NULL;
	x->body_size = 0;
	x->pub.body_len = 0;
}

static const char *reason(unsigned int status)
{
	if (status == MHD_HTTP_CONTENT_TOO_LARGE)
		return "Content Too Large";
	return status == MHD_HTTP_REQUEST_TIMEOUT ? "Request Timeout"
						  : "Service Unavailable";
}

/* libmicrohttpd queues no reply between the first byte and the last one of a
 * body, so the answer is written to the socket. Nothing else is written there
 * until the request is complete. */
void hts_refuse(struct hts_exchange *x, unsigned int status)
{
	static const char body[] =
		"{\"error\":\"record\",\"text\":\"body too long\"}\n";
	bool too_long = status == MHD_HTTP_CONTENT_TOO_LARGE;
	const char *text = too_long ? body : "{}";
	char answer[320];
	int n = snprintf(answer, sizeof(answer),
			 "HTTP/1.1 %u %s\r\n%sConnection: close\r\n"
			 "Content-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n%s",
			 status, reason(status),
			 status == MHD_HTTP_SERVICE_UNAVAILABLE
				 ? "Retry-After: " RETRY_AFTER_S "\r\n"
				 : "",
			 strlen(text), text);

	free_body(x);
	hts_conn_set_state(x->conn, HTS_REFUSED);
	if (send(x->conn->fd, answer, (size_t)n, MSG_DONTWAIT | MSG_NOSIGNAL) <
	    0)
		hts_conn_shut_down(x->conn);
	else
		shutdown(x->conn->fd, SHUT_WR);
}

/* Drops other bodies, or this one, until the budget has `bytes` for it. Returns
 * false if it is dropped. */
static bool charge(struct hts_exchange *x, int64_t bytes)
{
	struct hts *s = x->srv;
	struct bdg_body *drop;

	while ((drop = bdg_charge(&s->budget, &x->budget, bytes,
				  hts_now_ms()))) {
		struct hts_exchange *o =
			(void *)((char *)drop -
				 offsetof(struct hts_exchange, budget));

		s->counts.no_memory++;
		hts_refuse(o, MHD_HTTP_SERVICE_UNAVAILABLE);
		if (o == x)
			return false;
	}
	return true;
}

/* Returns false if the body was refused instead. */
static bool body_reserve(struct hts_exchange *x, size_t need)
{
	int64_t announced = x->budget.announced_bytes;
	size_t size = need + need / 4 + BODY_STEP_BYTES;
	char *body;

	if (need <= x->body_size)
		return true;
	if (announced >= 0 && size > (size_t)announced + 1)
		size = (size_t)announced + 1;
	if (size > x->body_max + 1)
		size = x->body_max + 1;
	if (!charge(x, (int64_t)(size - x->body_size)))
		return false;
	body = realloc(x->body, size);
	if (!body) {
		x->srv->counts.no_memory++;
		hts_refuse(x, MHD_HTTP_SERVICE_UNAVAILABLE);
		return false;
	}
	x->body = body;
	x->body_size = size;
	return true;
}

static void body_append(struct hts_exchange *x, const char *data, size_t len)
{
	if (len > x->body_max - x->pub.body_len) {
		x->srv->counts.long_bodies++;
		hts_refuse(x, MHD_HTTP_CONTENT_TOO_LARGE);
		return;
	}
	bdg_received(&x->budget, (int64_t)len, hts_now_ms());
	if (!body_reserve(x, x->pub.body_len + len + 1))
		return;
	memcpy(x->body + x->pub.body_len, data, len);
	x->pub.body_len += len;
	x->body[x->pub.body_len] = '\0';
}

static void call_handler(struct hts_exchange *x)
{
	x->handler_called = true;
	x->pub.body = x->body ? x->body : "";
	bdg_complete(&x->budget);
	hts_conn_set_state(x->conn, HTS_SERVING);
	MHD_suspend_connection(x->conn->con);
	x->pub.received_ms = hts_now_ms();
	hts_serve(x);
}

/* Returns the announced length of the body, or -1. libmicrohttpd has checked
 * that it is a number. */
static int64_t announced_bytes(struct MHD_Connection *con)
{
	const char *text = MHD_lookup_connection_value(
		con, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);

	if (MHD_lookup_connection_value(con, MHD_HEADER_KIND,
					MHD_HTTP_HEADER_TRANSFER_ENCODING) ||
	    !text)
		return -1;
	return strtoll(text, NULL, 10);
}

static enum MHD_Result begin_exchange(struct hts *s, struct hts_conn *conn,
				      const char *url, const char *method,
				      void **con_data)
{
	struct hts_exchange *x = calloc(1, sizeof(*x));
	int64_t announced;

	if (!x) {
		s->counts.no_memory++;
		return MHD_NO;
	}
	x->srv = s;
	x->conn = conn;
	x->pub.method = method;
	x->pub.path = url;
	x->body_max = s->body_max_now ? s->body_max_now(s->priv) : s->body_max;
	conn->x = x;
	s->active++;
	*con_data = x;
	announced = announced_bytes(conn->con);
	bdg_open(&s->budget, &x->budget, announced, hts_now_ms());
	hts_conn_set_state(conn, HTS_BODY);
	if (announced > (int64_t)x->body_max) {
		s->counts.long_bodies++;
		hts_refuse(x, MHD_HTTP_CONTENT_TOO_LARGE);
	}
	return MHD_YES;
}

static enum MHD_Result on_access(void *priv, struct MHD_Connection *con,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *len, void **con_data)
{
	struct hts_conn *conn = hts_conn_of(con);
	struct hts_exchange *x = *con_data;

	(void)version;
	if (!conn || conn->closing)
		return MHD_NO;
	if (!x)
		return begin_exchange(priv, conn, url, method, con_data);
	if (conn->state == HTS_REFUSED) {
		x->discarded_bytes += *len;
		if (!*len || x->discarded_bytes > DISCARD_MAX_BYTES)
			return MHD_NO;
		*len = 0;
		return MHD_YES;
	}
	if (*len) {
		body_append(x, data, *len);
		*len = 0;
		return MHD_YES;
	}
	if (!x->handler_called) {
		call_handler(x);
		return MHD_YES;
	}
	return x->replied ? queue_reply(x) : MHD_YES;
}

static void on_completed(void *priv, struct MHD_Connection *con,
			 void **con_data, enum MHD_RequestTerminationCode code)
{
	struct hts *s = priv;
	struct hts_exchange *x = *con_data;

	(void)con;
	(void)code;
	if (!x)
		return;
	s->active--;
	x->conn->x = NULL;
	hts_conn_set_state(x->conn, HTS_WAITING);
	free_body(x);
	free(x->reply);
	free(x);
	*con_data = NULL;
}

static int hts_destructor(struct hts *s)
{
	TALLOC_FREE(s->fde);
	TALLOC_FREE(s->timer);
	TALLOC_FREE(s->check_timer);
	hts_serve_finish(s);
	hts_conn_stop_listening(s);
	if (s->daemon)
		MHD_stop_daemon(s->daemon);
	cnl_finish(&s->limits);
	return 0;
}

struct hts *hts_start(void *ctx, struct tevent_context *ev,
		      const struct hts_options *opt, hts_handler handler,
		      void *priv, struct err *e)
{
	struct hts *s = talloc_zero(ctx, struct hts);
	uint32_t connections = opt->connections_max ? opt->connections_max
						    : DEFAULT_CONNECTIONS_MAX;
	int64_t bodies =
		opt->bodies_bytes ? opt->bodies_bytes : DEFAULT_BODIES_BYTES;
	const union MHD_DaemonInfo *info;

	s->ev = ev;
	s->timers = tmr_set_start(s, ev);
	s->handler = handler;
	s->priv = priv;
	s->body_max = opt->body_max;
	s->im = tevent_create_immediate(s);
	s->body_max_now = opt->body_max_now;
	s->header_ms = opt->header_ms ? opt->header_ms : DEFAULT_HEADER_MS;
	s->body_ms = opt->body_ms ? opt->body_ms : DEFAULT_BODY_MS;
	s->listen_fd = -1;
	hts_serve_init(s);
	cnl_init(&s->limits, connections,
		 opt->address_max ? opt->address_max : connections);
	bdg_init(&s->budget, &(struct bdg_limits){
				     .total_bytes = bodies,
				     .reserved_bytes = bodies / RESERVED_SHARE,
				     .small_bytes = HTS_SMALL_BODY_BYTES,
				     .stall_ms = STALL_MS });
	talloc_set_destructor(s, hts_destructor);
	if (hts_conn_listen(s, opt))
		s->daemon = MHD_start_daemon(
			MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
				MHD_USE_NO_LISTEN_SOCKET,
			0, NULL, NULL, on_access, s,
			MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
			MHD_OPTION_NOTIFY_CONNECTION, hts_conn_notify, s,
			MHD_OPTION_CONNECTION_TIMEOUT, opt->idle_timeout_s,
			MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)POOL_BYTES,
			MHD_OPTION_CONNECTION_LIMIT, connections,
			MHD_OPTION_END);
	if (!s->daemon) {
		err_set(e, ERR_SYSTEM,
			"cannot serve HTTP on %s:%u (%s): free the port or "
			"change the setting",
			opt->ip, opt->port, strerror(errno));
		talloc_free(s);
		return NULL;
	}
	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	s->fde = tevent_add_fd(ev, s, info->epoll_fd, TEVENT_FD_READ, on_fd, s);
	hts_run(s);
	return s;
}

void hts_reply(struct hts_req *req, unsigned int status, const char *type,
	       const void *body, size_t len)
{
	struct hts_exchange *x = (struct hts_exchange *)req;

	store_reply(x, status, type, body, len);
	hts_conn_set_state(x->conn, HTS_SENDING);
	MHD_resume_connection(x->conn->con);
	schedule_run(x->srv);
}

void hts_reply_header(struct hts_req *req, const char *name, const char *value)
{
	struct hts_exchange *x = (struct hts_exchange *)req;
	struct hts_reply_header *h;

	if (x->n_headers == HTS_HEADERS_MAX)
		return;
	h = &x->headers[x->n_headers++];
	strncpy(h->name, name, sizeof(h->name) - 1);
	strncpy(h->value, value, sizeof(h->value) - 1);
}

const char *hts_header(struct hts_req *req, const char *name)
{
	struct hts_exchange *x = (struct hts_exchange *)req;

	return MHD_lookup_connection_value(x->conn->con, MHD_HEADER_KIND, name);
}

const char *hts_query(struct hts_req *req, const char *name)
{
	struct hts_exchange *x = (struct hts_exchange *)req;

	return MHD_lookup_connection_value(x->conn->con, MHD_GET_ARGUMENT_KIND,
					   name);
}

struct header_count {
	const char *name;
	struct hts_value *value;
	int n;
};

static enum MHD_Result count_header(void *priv, enum MHD_ValueKind kind,
				    const char *name, size_t name_len,
				    const char *value, size_t value_len)
{
	struct header_count *c = priv;

	(void)kind;
	if (name_len != strlen(c->name) ||
	    strncasecmp(name, c->name, name_len) != 0)
		return MHD_YES;
	c->value->text = value ? value : "";
	c->value->len = value ? value_len : 0;
	c->n++;
	return MHD_YES;
}

int hts_count_headers(struct hts_req *req, const char *name,
		      struct hts_value *value)
{
	struct hts_exchange *x = (struct hts_exchange *)req;
	struct header_count c = { .name = name, .value = value };

	MHD_get_connection_values_n(x->conn->con, MHD_HEADER_KIND, count_header,
				    &c);
	return c.n;
}

void hts_quiesce(struct hts *s)
{
	hts_conn_stop_listening(s);
}

const struct hts_counts *hts_counts(const struct hts *s)
{
	return &s->counts;
}

uint32_t hts_active(const struct hts *s)
{
	return s->active;
}
