/* HTTP server: runs libmicrohttpd on a tevent loop. A connection is suspended
 * from the call of the handler until the reply. */
#include "transport/hts.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <string.h>
#include <strings.h>
#include <stdlib.h>
#include <talloc.h>
#include <unistd.h>

#include "transport/tmr.h"

#define BODY_INITIAL_BYTES 1024
#define HEADERS_MAX 4
#define DEFAULT_CONNECTIONS_MAX 8192

struct hts {
	struct tevent_context *ev;
	struct tevent_fd *fde;
	struct tmr_set *timers;
	struct tmr *timer;
	struct tevent_immediate *im;
	struct MHD_Daemon *daemon;
	hts_handler handler;
	void *priv;
	size_t body_max;
	uint32_t active;
	bool run_scheduled;
};

struct reply_header {
	char name[32];
	char value[96];
};

/* `pub` must be the first member: a pointer to it is cast to the exchange. */
struct exchange {
	struct hts_req pub;
	struct hts *srv;
	struct MHD_Connection *con;
	char *body;
	size_t body_size; /* bytes allocated */
	bool body_too_long;
	bool handler_called;
	bool replied; /* status to reply_len are set */
	unsigned int status;
	const char *type;
	void *reply;
	size_t reply_len;
	struct reply_header headers[HEADERS_MAX];
	int n_headers;
};

static void run_daemon(struct hts *s);

static void on_timer(void *priv)
{
	struct hts *s = priv;

	s->timer = NULL;
	run_daemon(s);
}

static void run_daemon(struct hts *s)
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
	run_daemon(priv);
}

static void on_immediate(struct tevent_context *ev, struct tevent_immediate *im,
			 void *priv)
{
	struct hts *s = priv;

	(void)ev;
	(void)im;
	s->run_scheduled = false;
	run_daemon(s);
}

static void schedule_run(struct hts *s)
{
	if (s->run_scheduled)
		return;
	s->run_scheduled = true;
	tevent_schedule_immediate(s->im, s->ev, on_immediate, s);
}

static enum MHD_Result queue_reply(struct exchange *x)
{
	enum MHD_Result res;
	struct MHD_Response *r = MHD_create_response_from_buffer(
		x->reply_len, x->reply, MHD_RESPMEM_MUST_COPY);

	if (x->type)
		MHD_add_response_header(r, "Content-Type", x->type);
	for (int i = 0; i < x->n_headers; i++)
		MHD_add_response_header(r, x->headers[i].name,
					x->headers[i].value);
	res = MHD_queue_response(x->con, x->status, r);
	MHD_destroy_response(r);
	return res;
}

static void store_reply(struct exchange *x, unsigned int status,
			const char *type, const void *body, size_t len)
{
	x->replied = true;
	x->status = status;
	x->type = type;
	x->reply = malloc(len + 1);
	memcpy(x->reply, body, len);
	x->reply_len = len;
}

static void body_append(struct exchange *x, const char *data, size_t len)
{
	size_t need = x->pub.body_len + len + 1;

	if (need > x->srv->body_max + 1) {
		x->body_too_long = true;
		return;
	}
	if (need > x->body_size) {
		x->body_size = need > BODY_INITIAL_BYTES ? need * 2
							 : BODY_INITIAL_BYTES;
		x->body = realloc(x->body, x->body_size);
	}
	memcpy(x->body + x->pub.body_len, data, len);
	x->pub.body_len += len;
	x->body[x->pub.body_len] = '\0';
}

static void call_handler(struct exchange *x)
{
	static const char too_long[] =
		"{\"error\":\"record\",\"text\":\"body too long\"}\n";

	x->handler_called = true;
	if (x->body_too_long) {
		store_reply(x, 413, "application/json", too_long,
			    sizeof(too_long) - 1);
		return;
	}
	x->pub.body = x->body ? x->body : "";
	MHD_suspend_connection(x->con);
	x->srv->handler(&x->pub, x->srv->priv);
}

static enum MHD_Result on_access(void *priv, struct MHD_Connection *con,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *len, void **con_data)
{
	struct hts *s = priv;
	struct exchange *x = *con_data;

	(void)version;
	if (!x) {
		x = calloc(1, sizeof(*x));
		x->srv = s;
		x->con = con;
		x->pub.method = method;
		x->pub.path = url;
		s->active++;
		*con_data = x;
		return MHD_YES;
	}
	if (*len) {
		body_append(x, data, *len);
		*len = 0;
		return MHD_YES;
	}
	if (!x->handler_called) {
		call_handler(x);
		return x->body_too_long ? queue_reply(x) : MHD_YES;
	}
	return x->replied ? queue_reply(x) : MHD_YES;
}

static void on_completed(void *priv, struct MHD_Connection *con,
			 void **con_data, enum MHD_RequestTerminationCode code)
{
	struct hts *s = priv;
	struct exchange *x = *con_data;

	(void)con;
	(void)code;
	if (!x)
		return;
	s->active--;
	free(x->body);
	free(x->reply);
	free(x);
	*con_data = NULL;
}

static int hts_destructor(struct hts *s)
{
	TALLOC_FREE(s->fde);
	TALLOC_FREE(s->timer);
	if (s->daemon)
		MHD_stop_daemon(s->daemon);
	return 0;
}

struct hts *hts_start(void *ctx, struct tevent_context *ev,
		      const struct hts_options *opt, hts_handler handler,
		      void *priv, struct err *e)
{
	struct hts *s = talloc_zero(ctx, struct hts);
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(opt->port) };
	const union MHD_DaemonInfo *info;

	s->ev = ev;
	s->timers = tmr_set_start(s, ev);
	s->handler = handler;
	s->priv = priv;
	s->body_max = opt->body_max;
	s->im = tevent_create_immediate(s);
	inet_pton(AF_INET, opt->ip, &sa.sin_addr);
	s->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, opt->port, NULL, NULL,
		on_access, s, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
		MHD_OPTION_CONNECTION_TIMEOUT, opt->idle_timeout_s,
		MHD_OPTION_CONNECTION_LIMIT,
		opt->connections_max ? opt->connections_max
				     : DEFAULT_CONNECTIONS_MAX,
		/* The option is left out instead of set to 0, because 0 turns
		 * SO_REUSEADDR off too: connections left by the previous
		 * process would then block the port for a minute. */
		opt->share_port ? MHD_OPTION_LISTENING_ADDRESS_REUSE
				: MHD_OPTION_END,
		1U, MHD_OPTION_END);
	if (!s->daemon) {
		err_set(e, ERR_SYSTEM,
			"cannot serve HTTP on %s:%u (%s): free the port or "
			"change the setting",
			opt->ip, opt->port, strerror(errno));
		talloc_free(s);
		return NULL;
	}
	talloc_set_destructor(s, hts_destructor);
	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	s->fde = tevent_add_fd(ev, s, info->epoll_fd, TEVENT_FD_READ, on_fd, s);
	run_daemon(s);
	return s;
}

void hts_reply(struct hts_req *req, unsigned int status, const char *type,
	       const void *body, size_t len)
{
	struct exchange *x = (struct exchange *)req;

	store_reply(x, status, type, body, len);
	MHD_resume_connection(x->con);
	schedule_run(x->srv);
}

void hts_reply_header(struct hts_req *req, const char *name, const char *value)
{
	struct exchange *x = (struct exchange *)req;
	struct reply_header *h;

	if (x->n_headers == HEADERS_MAX)
		return;
	h = &x->headers[x->n_headers++];
	strncpy(h->name, name, sizeof(h->name) - 1);
	strncpy(h->value, value, sizeof(h->value) - 1);
}

const char *hts_header(struct hts_req *req, const char *name)
{
	struct exchange *x = (struct exchange *)req;

	return MHD_lookup_connection_value(x->con, MHD_HEADER_KIND, name);
}

const char *hts_query(struct hts_req *req, const char *name)
{
	struct exchange *x = (struct exchange *)req;

	return MHD_lookup_connection_value(x->con, MHD_GET_ARGUMENT_KIND, name);
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
	struct exchange *x = (struct exchange *)req;
	struct header_count c = { .name = name, .value = value };

	MHD_get_connection_values_n(x->con, MHD_HEADER_KIND, count_header, &c);
	return c.n;
}

void hts_quiesce(struct hts *s)
{
	MHD_socket fd = MHD_quiesce_daemon(s->daemon);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

uint32_t hts_active(const struct hts *s)
{
	return s->active;
}
