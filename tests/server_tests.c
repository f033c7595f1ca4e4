/* The HTTP server's limits, over loopback in one process. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "tests/harness.h"
#include "tests/http_tests.h"
#include "transport/hts.h"

#define BODY_MAX 5000
#define HEADER_BYTES 16384
#define RECEIVE_TIMEOUT_S 30
#define LARGE_BODY 20000
#define LARGE_BODIES 6
#define LARGE_MS 100

struct fixture {
	struct tevent_context *ev;
	struct hts *srv;
	int port;
	int handled;
	size_t body_len;
	int turns; /* of a timer that fires in each turn of the loop */
	int large; /* handled requests for /large */
	int large_turns; /* turns when the last one was handled */
	int large_in_turn; /* handled without a turn since the one before */
	int small_after; /* requests for /large handled before /small */
	void (*client)(struct fixture *f);
	atomic_bool done;
};

static void reply_late(struct tevent_context *ev, struct tevent_timer *timer,
		       struct timeval now, void *priv)
{
	(void)ev;
	(void)timer;
	(void)now;
	hts_reply(priv, 200, "text/plain", "late", 4);
}

static void on_request(struct hts_req *req, void *priv)
{
	struct fixture *f = priv;

	f->handled++;
	f->body_len = req->body_len;
	if (!strcmp(req->path, "/large")) {
		f->large_in_turn += f->large && f->turns == f->large_turns;
		f->large++;
		/* The other requests arrive meanwhile. */
		hx_sleep_ms(LARGE_MS);
		f->large_turns = f->turns;
	} else if (!strcmp(req->path, "/small")) {
		f->small_after = f->large;
	}
	if (!strcmp(req->path, "/late")) {
		tevent_add_timer(f->ev, f->ev, tevent_timeval_current_ofs(3, 0),
				 reply_late, req);
		return;
	}
	hts_reply(req, 200, "text/plain", "ok", 2);
}

static void *run_client(void *priv)
{
	struct fixture *f = priv;

	f->client(f);
	f->done = true;
	return NULL;
}

/* Ends the loop's wait for events from time to time. */
static void on_tick(struct tevent_context *ev, struct tevent_timer *timer,
		    struct timeval now, void *priv)
{
	(void)timer;
	(void)now;
	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, 20000), on_tick,
			 priv);
}

static void on_turn(struct tevent_context *ev, struct tevent_timer *timer,
		    struct timeval now, void *priv)
{
	struct fixture *f = priv;

	(void)timer;
	(void)now;
	f->turns++;
	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, 1000), on_turn,
			 f);
}

/* Serves until the client's function has returned. */
static void play(const struct hts_options *options,
		 void (*client)(struct fixture *f), struct fixture *f)
{
	struct hts_options opt = *options;
	struct err e = { 0 };
	pthread_t thread;

	memset(f, 0, sizeof(*f));
	f->ev = tevent_context_init(NULL);
	f->port = hx_free_ports(1);
	f->client = client;
	opt.ip = "127.0.0.1";
	opt.port = (uint16_t)f->port;
	opt.body_max = opt.body_max ? opt.body_max : BODY_MAX;
	opt.idle_timeout_s = 60;
	f->srv = hts_start(f->ev, f->ev, &opt, on_request, f, &e);
	g_assert_nonnull(f->srv);
	pthread_create(&thread, NULL, run_client, f);
	on_tick(f->ev, NULL, tevent_timeval_zero(), f);
	on_turn(f->ev, NULL, tevent_timeval_zero(), f);
	while (!f->done)
		tevent_loop_once(f->ev);
	pthread_join(thread, NULL);
}

/* Serves until no request is open. The client may see the end of its connection
 * before the server has done with it. */
static void wait_idle(struct fixture *f)
{
	int64_t end = hx_now_ms() + RECEIVE_TIMEOUT_S * 1000;

	while (hts_active(f->srv) && hx_now_ms() < end)
		tevent_loop_once(f->ev);
	g_assert_cmpuint(hts_active(f->srv), ==, 0);
}

static void finish(struct fixture *f)
{
	talloc_free(f->ev);
}

static int dial(const struct fixture *f)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)f->port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct timeval limit = { .tv_sec = RECEIVE_TIMEOUT_S };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	g_assert_cmpint(connect(fd, (struct sockaddr *)&a, sizeof(a)), ==, 0);
	return fd;
}

static void say(int fd, const char *text)
{
	size_t len = strlen(text);

	g_assert_cmpint(send(fd, text, len, MSG_NOSIGNAL), ==, (ssize_t)len);
}

static void say_filler(int fd, size_t n)
{
	g_autofree char *text = g_strnfill(n, 'x');

	say(fd, text);
}

/* Checks the beginning of the next answer. Returns all that came with it. */
static char *expect(int fd, const char *status)
{
	char text[1024];
	ssize_t n = recv(fd, text, sizeof(text) - 1, 0);

	g_assert_cmpint(n, >, 0);
	text[n] = '\0';
	g_assert_true(g_str_has_prefix(text, status));
	return g_strdup(text);
}

/* Returns whether the server has closed the connection, after its answers. */
static bool is_closed(int fd)
{
	char text[1024];
	ssize_t n;

	while ((n = recv(fd, text, sizeof(text), 0)) > 0)
		;
	close(fd);
	return !n || (n < 0 && errno == ECONNRESET);
}

/* A body of the limit's size, announced, in chunks and in chunks of one byte,
 * and a header of 16 KiB, on one connection. */
static void at_limit(struct fixture *f)
{
	int fd = dial(f);
	g_autofree char *one = NULL;
	g_autofree char *two = NULL;
	g_autofree char *three = NULL;
	g_autofree char *four = NULL;
	size_t n;

	say(fd, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
	say_filler(fd, BODY_MAX);
	one = expect(fd, "HTTP/1.1 200");
	g_assert_cmpuint(f->body_len, ==, BODY_MAX);
	say(fd, "POST /b HTTP/1.1\r\nHost: h\r\n"
		"Transfer-Encoding: chunked\r\n\r\n1388\r\n");
	say_filler(fd, BODY_MAX);
	say(fd, "\r\n0\r\n\r\n");
	two = expect(fd, "HTTP/1.1 200");
	g_assert_cmpuint(f->body_len, ==, BODY_MAX);
	say(fd, "POST /c HTTP/1.1\r\nHost: h\r\n"
		"Transfer-Encoding: chunked\r\n\r\n");
	for (int i = 0; i < BODY_MAX; i++)
		say(fd, "1\r\nx\r\n");
	say(fd, "0\r\n\r\n");
	three = expect(fd, "HTTP/1.1 200");
	g_assert_cmpuint(f->body_len, ==, BODY_MAX);
	say(fd, "GET /d HTTP/1.1\r\nHost: h\r\nPad: ");
	n = HEADER_BYTES -
	    strlen("GET /d HTTP/1.1\r\nHost: h\r\nPad: \r\n\r\n");
	say_filler(fd, n);
	say(fd, "\r\n\r\n");
	four = expect(fd, "HTTP/1.1 200");
	close(fd);
}

static void test_at_limit(void)
{
	struct fixture f;

	play(&(struct hts_options){ 0 }, at_limit, &f);
	g_assert_cmpint(f.handled, ==, 4);
	g_assert_cmpint(hts_counts(f.srv)->long_bodies, ==, 0);
	finish(&f);
}

/* One byte too many: refused by the announced length before the body is sent,
 * and without announcement at the byte that exceeds the limit. */
static void over_limit(struct fixture *f)
{
	int fd = dial(f);
	g_autofree char *one = NULL;
	g_autofree char *two = NULL;

	say(fd, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5001\r\n\r\n");
	one = expect(fd, "HTTP/1.1 413");
	g_assert_true(is_closed(fd));
	fd = dial(f);
	say(fd, "POST /b HTTP/1.1\r\nHost: h\r\n"
		"Transfer-Encoding: chunked\r\n\r\n1388\r\n");
	say_filler(fd, BODY_MAX);
	say(fd, "\r\n1\r\nx");
	two = expect(fd, "HTTP/1.1 413");
	g_assert_true(is_closed(fd));
}

static void test_over_limit(void)
{
	struct fixture f;

	play(&(struct hts_options){ 0 }, over_limit, &f);
	g_assert_cmpint(f.handled, ==, 0);
	g_assert_cmpint(hts_counts(f.srv)->long_bodies, ==, 2);
	finish(&f);
}

/* Guards against a refused body that is handled when its rest arrives. */
static void no_memory(struct fixture *f)
{
	int fd = dial(f);
	g_autofree char *answer = NULL;

	say(fd, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
	say_filler(fd, BODY_MAX - 1);
	answer = expect(fd, "HTTP/1.1 503");
	g_assert_nonnull(strstr(answer, "\r\nRetry-After: "));
	say(fd, "x");
	g_assert_true(is_closed(fd));
}

static void test_no_memory(void)
{
	struct fixture f;

	play(&(struct hts_options){ .bodies_bytes = 4000 }, no_memory, &f);
	g_assert_cmpint(f.handled, ==, 0);
	g_assert_cmpint(hts_counts(f.srv)->no_memory, ==, 1);
	wait_idle(&f);
	finish(&f);
}

/* Connections that send nothing: one more is refused, until they are inactive
 * for long enough to be closed for a new one. */
static void silent(struct fixture *f)
{
	int one = dial(f);
	int two = dial(f);
	int fd;
	g_autofree char *answer = NULL;

	g_assert_true(is_closed(dial(f)));
	hx_sleep_ms(1500);
	fd = dial(f);
	say(fd, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	answer = expect(fd, "HTTP/1.1 200");
	close(fd);
	close(one);
	close(two);
}

static void test_silent(void)
{
	struct fixture f;

	play(&(struct hts_options){ .connections_max = 8, .address_max = 2 },
	     silent, &f);
	g_assert_cmpint(f.handled, ==, 1);
	g_assert_cmpint(hts_counts(f.srv)->address_refused, ==, 1);
	g_assert_cmpint(hts_counts(f.srv)->evicted, ==, 1);
	finish(&f);
}

/* Sends a byte every 100 ms until the server closes the connection. */
static void drip(int fd)
{
	do {
		hx_sleep_ms(100);
	} while (send(fd, "x", 1, MSG_NOSIGNAL) == 1);
	close(fd);
}

/* Clients that are never inactive, but never finish either, while a connection
 * between two requests stays open. */
static void slow(struct fixture *f)
{
	int ordinary = dial(f);
	int header = dial(f);
	int body;
	g_autofree char *one = NULL;
	g_autofree char *two = NULL;
	g_autofree char *three = NULL;

	say(ordinary, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	one = expect(ordinary, "HTTP/1.1 200");
	say(header, "GET /b HTTP/1.1\r\nPad: ");
	drip(header);
	body = dial(f);
	say(body, "POST /c HTTP/1.1\r\nHost: h\r\n"
		  "Content-Length: 4000\r\n\r\n");
	two = expect(body, "HTTP/1.1 408");
	drip(body);
	say(ordinary, "GET /d HTTP/1.1\r\nHost: h\r\n\r\n");
	three = expect(ordinary, "HTTP/1.1 200");
	close(ordinary);
}

static void test_slow(void)
{
	struct fixture f;

	play(&(struct hts_options){ .header_ms = 600, .body_ms = 600 }, slow,
	     &f);
	g_assert_cmpint(f.handled, ==, 2);
	g_assert_cmpint(hts_counts(f.srv)->late_headers, ==, 1);
	g_assert_cmpint(hts_counts(f.srv)->late_bodies, ==, 1);
	finish(&f);
}

/* Guards against limits that close a connection while its request is served. */
static void served(struct fixture *f)
{
	int fd = dial(f);
	g_autofree char *answer = NULL;

	say(fd, "POST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
	hx_sleep_ms(1500);
	/* The only connection is being served, so there is no room. */
	g_assert_true(is_closed(dial(f)));
	answer = expect(fd, "HTTP/1.1 200");
	close(fd);
}

static void test_served(void)
{
	struct fixture f;

	play(&(struct hts_options){ .connections_max = 1,
				    .header_ms = 100,
				    .body_ms = 100 },
	     served, &f);
	g_assert_cmpint(f.handled, ==, 1);
	g_assert_cmpint(hts_counts(f.srv)->address_refused, ==, 1);
	finish(&f);
}

/* Several large requests and a small one that are complete at the same time. */
static void large(struct fixture *f)
{
	int fds[LARGE_BODIES];
	int fd = dial(f);
	g_autofree char *answer = NULL;

	for (int i = 0; i < LARGE_BODIES; i++) {
		fds[i] = dial(f);
		say(fds[i], "POST /large HTTP/1.1\r\nHost: h\r\n"
			    "Content-Length: 20000\r\n\r\n");
		say_filler(fds[i], LARGE_BODY - 1);
	}
	hx_sleep_ms(100);
	for (int i = 0; i < LARGE_BODIES; i++)
		say(fds[i], "x");
	say(fd, "GET /small HTTP/1.1\r\nHost: h\r\n\r\n");
	answer = expect(fd, "HTTP/1.1 200");
	for (int i = 0; i < LARGE_BODIES; i++) {
		g_autofree char *other = expect(fds[i], "HTTP/1.1 200");

		close(fds[i]);
	}
	close(fd);
}

/* Guards against a server that handles all large requests at once: nothing else
 * was done, for seconds, until the last one was handled. */
static void test_large(void)
{
	struct fixture f;

	play(&(struct hts_options){ .body_max = LARGE_BODY }, large, &f);
	g_assert_cmpint(f.large, ==, LARGE_BODIES);
	g_assert_cmpint(f.large_in_turn, ==, 0);
	g_assert_cmpint(f.small_after, <, LARGE_BODIES);
	finish(&f);
}

void server_tests_add(void)
{
	g_test_add_func("/server/at-limit", test_at_limit);
	g_test_add_func("/server/over-limit", test_over_limit);
	g_test_add_func("/server/no-memory", test_no_memory);
	g_test_add_func("/server/silent", test_silent);
	g_test_add_func("/server/slow", test_slow);
	g_test_add_func("/server/served", test_served);
	g_test_add_func("/server/large", test_large);
}
