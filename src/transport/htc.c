/* HTTP client: runs libcurl's multi interface on a tevent loop. */
#include "transport/htc.h"

#include <curl/curl.h>
#include <string.h>
#include <strings.h>
#include <stdlib.h>
#include <talloc.h>

#include "transport/tmr.h"

#define CONNECT_TIMEOUT_MS 1000L
/* Connections idle for longer are not reused. */
#define IDLE_AGE_MAX_S 10L
/* Most idle connections kept. */
#define CONNECTION_CACHE_MAX 1024L
#define KEEPALIVE_IDLE_S 2L
#define KEEPALIVE_INTERVAL_S 1L
#define REQUEST_ID_MAX 128
/* Versions of libcurl before this one count a body that goes out with the
 * headers, which are those of less than 64 KiB, in CURLINFO_REQUEST_SIZE. */
#define VERSION_SIZE_WITHOUT_BODY 0x080700
#define BODY_WITH_HEADERS_MAX (64 << 10)

struct htc {
	struct tevent_context *ev;
	struct tmr_set *timers;
	struct tmr *timer; /* libcurl's timeout; NULL: none */
	CURLM *multi;
	struct traffic traffic;
	const char *source; /* local address; "": any */
	CURL *spare_easy[64]; /* handles kept for reuse */
	int n_spare_easy;
};

/* A socket that libcurl asked to be watched. */
struct socket_watch {
	struct htc *client;
	struct tevent_fd *fde;
	curl_socket_t fd;
};

/* One request and its response; freed after `done`. */
struct transfer {
	struct htc *client;
	CURL *easy;
	struct curl_slist *headers;
	htc_done done;
	enum traffic_purpose purpose;
	bool (*may_send)(void *priv);
	bool sent; /* the first byte may have been sent */
	void *priv;
	int64_t idle_ms; /* as in struct htc_request */
	struct tmr *idle_timer;
	char *body;
	size_t body_len;
	size_t body_size;
	bool not_started;
	char request_id[REQUEST_ID_MAX];
};

static void on_idle(void *priv);

/* Something of the response has arrived, or the request begins. */
static void restart_idle_timer(struct transfer *t)
{
	TALLOC_FREE(t->idle_timer);
	if (t->idle_ms > 0)
		t->idle_timer =
			tmr_after(t->client->timers, t->idle_ms, on_idle, t);
}

static size_t on_body(char *data, size_t size, size_t n, void *priv)
{
	struct transfer *t = priv;
	size_t len = size * n;

	restart_idle_timer(t);
	if (t->body_len + len + 1 > t->body_size) {
		t->body_size = (t->body_len + len + 1) * 2;
		t->body = realloc(t->body, t->body_size);
	}
	memcpy(t->body + t->body_len, data, len);
	t->body_len += len;
	t->body[t->body_len] = '\0';
	return len;
}

static bool header_is(const char *data, size_t len, const char *name)
{
	size_t n = strlen(name);

	return len > n && data[n] == ':' && !strncasecmp(data, name, n);
}

/* Copies a header value without leading blanks, truncated to `size`. */
static void copy_value(char *dest, size_t size, const char *data, size_t len)
{
	size_t n = 0;

	while (len && (*data == ' ' || *data == '\t')) {
		data++;
		len--;
	}
	while (n < len && n + 1 < size && data[n] != '\r' && data[n] != '\n') {
		dest[n] = data[n];
		n++;
	}
	dest[n] = '\0';
}

static size_t on_header(char *data, size_t size, size_t n, void *priv)
{
	struct transfer *t = priv;
	size_t len = size * n;
	static const char id[] = "Request-Id";

	if (header_is(data, len, "X-Not-Started"))
		t->not_started = true;
	if (header_is(data, len, id))
		copy_value(t->request_id, sizeof(t->request_id),
			   data + sizeof(id), len - sizeof(id));
	return len;
}

/*
 * Called by libcurl when a connection is established, before the first byte is
 * sent. Aborts a second call for one request: libcurl would resend a request
 * whose connection was lost before the response.
 */
static int on_before_send(void *priv, char *remote_ip, char *local_ip,
			  int remote_port, int local_port)
{
	struct transfer *t = priv;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	if (t->sent || (t->may_send && !t->may_send(t->priv)))
		return CURL_PREREQFUNC_ABORT;
	t->sent = true;
	return CURL_PREREQFUNC_OK;
}

static enum htc_result classify(const struct transfer *t, CURLcode code)
{
	if (code == CURLE_OK)
		return HTC_COMPLETE;
	return t->sent ? HTC_UNKNOWN : HTC_NOT_SENT;
}

/* Keeps the handle for a later request, or frees it if enough are kept. */
static void release_easy(struct htc *c, CURL *easy)
{
	int max = (int)(sizeof(c->spare_easy) / sizeof(c->spare_easy[0]));

	if (c->n_spare_easy == max) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	c->spare_easy[c->n_spare_easy++] = easy;
}

static int64_t bytes_sent(CURL *easy)
{
	curl_off_t body = 0;
	long request = 0;

	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request);
	curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &body);
	if (curl_version_info(CURLVERSION_NOW)->version_num <
		    VERSION_SIZE_WITHOUT_BODY &&
	    body < BODY_WITH_HEADERS_MAX)
		return request;
	return request + body;
}

static void count_traffic(const struct transfer *t, CURLcode code)
{
	struct traffic *traffic = &t->client->traffic;
	curl_off_t body = 0;
	long headers = 0;

	if (!t->sent)
		return;
	traffic_sent(traffic, t->purpose, bytes_sent(t->easy));
	curl_easy_getinfo(t->easy, CURLINFO_HEADER_SIZE, &headers);
	curl_easy_getinfo(t->easy, CURLINFO_SIZE_DOWNLOAD_T, &body);
	if (code == CURLE_OK)
		traffic_received(traffic, t->purpose, headers + body);
	else
		traffic_received_part(traffic, t->purpose, headers + body);
}

const struct traffic *htc_traffic(const struct htc *c)
{
	return &c->traffic;
}

static void finish_transfer(struct transfer *t, CURLcode code)
{
	struct htc_response resp = {
		.result = classify(t, code),
		.body = t->body ? t->body : "",
		.body_len = t->body_len,
		.not_started = t->not_started,
		.timed_out = code == CURLE_OPERATION_TIMEDOUT,
		.request_id = t->request_id,
	};

	TALLOC_FREE(t->idle_timer);
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &resp.status);
	count_traffic(t, code);
	curl_multi_remove_handle(t->client->multi, t->easy);
	curl_slist_free_all(t->headers);
	release_easy(t->client, t->easy);
	t->done(&resp, t->priv);
	free(t->body);
	free(t);
}

static void on_idle(void *priv)
{
	struct transfer *t = priv;

	t->idle_timer = NULL;
	finish_transfer(t, CURLE_OPERATION_TIMEDOUT);
}

static void finish_transfers(struct htc *c)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(c->multi, &left))) {
		struct transfer *t;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &t);
		finish_transfer(t, msg->data.result);
	}
}

static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *priv)
{
	struct socket_watch *s = priv;
	struct htc *c = s->client;
	int running;
	int mask = 0;

	(void)ev;
	(void)fde;
	if (flags & TEVENT_FD_READ)
		mask |= CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		mask |= CURL_CSELECT_OUT;
	curl_multi_socket_action(c->multi, s->fd, mask, &running);
	finish_transfers(c);
}

/* Called by libcurl to change the events that it waits for on a socket. */
static int on_socket(CURL *easy, curl_socket_t fd, int what, void *priv,
		     void *sockp)
{
	struct htc *c = priv;
	struct socket_watch *s = sockp;
	uint16_t flags = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		curl_multi_assign(c->multi, fd, NULL);
		talloc_free(s);
		return 0;
	}
	if (what & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	if (!s) {
		s = talloc_zero(c, struct socket_watch);
		s->client = c;
		s->fd = fd;
		s->fde = tevent_add_fd(c->ev, s, fd, flags, on_fd, s);
		curl_multi_assign(c->multi, fd, s);
		return 0;
	}
	tevent_fd_set_flags(s->fde, flags);
	return 0;
}

static void on_timer(void *priv)
{
	struct htc *c = priv;
	int running;

	c->timer = NULL;
	curl_multi_socket_action(c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_transfers(c);
}

/* Called by libcurl to change its timeout; a negative one clears it. */
static int on_timeout_change(CURLM *multi, long ms, void *priv)
{
	struct htc *c = priv;

	(void)multi;
	TALLOC_FREE(c->timer);
	if (ms < 0)
		return 0;
	c->timer = tmr_after(c->timers, ms, on_timer, c);
	return 0;
}

static int htc_destructor(struct htc *c)
{
	TALLOC_FREE(c->timer);
	while (c->n_spare_easy)
		curl_easy_cleanup(c->spare_easy[--c->n_spare_easy]);
	curl_multi_cleanup(c->multi);
	return 0;
}

struct htc *htc_start(void *ctx, struct tevent_context *ev, const char *source)
{
	struct htc *c = talloc_zero(ctx, struct htc);

	c->ev = ev;
	c->timers = tmr_set_start(c, ev);
	c->source = talloc_strdup(c, source ? source : "");
	c->multi = curl_multi_init();
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, on_timeout_change);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS, CONNECTION_CACHE_MAX);
	talloc_set_destructor(c, htc_destructor);
	return c;
}

static void set_connection_options(CURL *easy, const struct htc_request *req)
{
	bool fresh = req->exclusive_connection || req->new_connection;

	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh ? 1L : 0L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE,
			 req->exclusive_connection ? 1L : 0L);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, IDLE_AGE_MAX_S);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
}

static void set_body(CURL *easy, const struct htc_request *req)
{
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, req->method);
	if (!strcmp(req->method, "GET"))
		return;
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)req->body_len);
	curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS,
			 req->body_len ? req->body : "");
}

static struct curl_slist *build_headers(const struct htc_request *req)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");

	list = curl_slist_append(list, "Content-Type: application/json");
	for (int i = 0; i < 4 && req->headers[i]; i++)
		list = curl_slist_append(list, req->headers[i]);
	return list;
}

void htc_send(struct htc *c, const struct htc_request *req, htc_done done,
	      void *priv)
{
	struct transfer *t = calloc(1, sizeof(*t));
	CURL *easy = c->n_spare_easy ? c->spare_easy[--c->n_spare_easy]
				     : curl_easy_init();

	t->client = c;
	t->easy = easy;
	t->done = done;
	t->purpose = req->purpose;
	t->priv = priv;
	t->headers = build_headers(req);
	curl_easy_setopt(easy, CURLOPT_URL, req->url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, t->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)(req->timeout_ms > 0 ? req->timeout_ms : 1));
	t->idle_ms = req->idle_ms;
	restart_idle_timer(t);
	t->may_send = req->may_send;
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, t);
	if (*c->source)
		curl_easy_setopt(easy, CURLOPT_INTERFACE, c->source);
	set_body(easy, req);
	set_connection_options(easy, req);
	curl_multi_add_handle(c->multi, easy);
}
