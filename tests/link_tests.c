/* Limits of accepted links, over loopback in one process: crowds of peers whose
 * first frame is valid, beside an ordinary one. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <malloc.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "tests/harness.h"
#include "tests/http_tests.h"
#include "transport/lnk.h"

#define LINKS_MAX 16
#define BUFFERS_MAX (4 << 20)
#define FRAME_MAX (1u << 20)
#define SILENT_MS 300
#define STALL_MS 1500 /* more than a link may stall when memory is short */
#define ANSWER_BYTES 300000
#define PART_BYTES 400000
#define ORDINARY_FRAMES 20
/* Frames that a peer sends without reading the answers. */
#define UNREAD_FRAMES 200

struct link_fixture {
	struct tevent_context *ev;
	struct lnk_srv *srv;
	int port;
	int received; /* frames, by the server */
	int answers; /* that the ordinary peer got */
	bool lost; /* its link was closed */
	struct lnk *ordinary;
	uint8_t *answer;
};

static void on_frame(struct lnk *l, const uint8_t *data, size_t len, void *priv)
{
	struct link_fixture *f = priv;

	f->received++;
	lnk_send(l, f->answer, len && *data == 'x' ? 1 : ANSWER_BYTES);
}

static void on_closed(struct lnk *l, void *priv)
{
	(void)l;
	(void)priv;
}

static const struct lnk_ops server_ops = { NULL, on_frame, on_closed };

static void on_answer(struct lnk *l, const uint8_t *data, size_t len,
		      void *priv)
{
	struct link_fixture *f = priv;

	(void)data;
	if (len == 1) {
		lnk_send(l, f->answer, ANSWER_BYTES);
		return;
	}
	g_assert_cmpuint(len, ==, ANSWER_BYTES);
	if (++f->answers < ORDINARY_FRAMES)
		lnk_send(l, f->answer, ANSWER_BYTES);
}

static void on_lost(struct lnk *l, void *priv)
{
	struct link_fixture *f = priv;

	(void)l;
	f->lost = true;
}

static const struct lnk_ops ordinary_ops = { NULL, on_answer, on_lost };

static void open_fixture(struct link_fixture *f)
{
	struct err e = { 0 };

	memset(f, 0, sizeof(*f));
	f->ev = tevent_context_init(NULL);
	f->port = hx_free_ports(1);
	f->answer = talloc_zero_size(f->ev, ANSWER_BYTES);
	f->srv = lnk_listen(f->ev, f->ev, "127.0.0.1", (uint16_t)f->port,
			    &server_ops, f, &e);
	g_assert_nonnull(f->srv);
	lnk_srv_limit(f->srv,
		      &(struct lnk_limits){ .links_max = LINKS_MAX,
					    .unproven_max = LINKS_MAX,
					    .unproven_frame_max = FRAME_MAX,
					    .frame_max = FRAME_MAX,
					    .buffers_max = BUFFERS_MAX,
					    .unproven_max_ms = 60000,
					    .silent_ms = SILENT_MS });
}

static void on_wake(struct tevent_context *ev, struct tevent_timer *timer,
		    struct timeval now, void *priv)
{
	(void)ev;
	(void)timer;
	(void)now;
	*(bool *)priv = true;
}

static void run_for(struct link_fixture *f, int ms)
{
	bool over = false;

	tevent_add_timer(f->ev, f->ev,
			 tevent_timeval_current_ofs(0, (uint32_t)ms * 1000),
			 on_wake, &over);
	while (!over)
		tevent_loop_once(f->ev);
}

static int dial(const struct link_fixture *f)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)f->port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) < 0)
		g_assert_cmpint(errno, ==, EINPROGRESS);
	return fd;
}

/* Opens links that send a frame with a short answer, and `more` bytes of a long
 * one. */
static void open_crowd(struct link_fixture *f, int *fds, int n, size_t more)
{
	g_autofree char *part = g_malloc0(4 + more);
	uint32_t len = htonl(FRAME_MAX);

	memcpy(part, &len, 4);
	for (int i = 0; i < n; i++)
		fds[i] = dial(f);
	run_for(f, 100);
	for (int i = 0; i < n; i++)
		g_assert_cmpint(send(fds[i], "\0\0\0\1x", 5, MSG_NOSIGNAL), ==,
				5);
	run_for(f, 100);
	for (size_t at = 0; more && at < 4 + more;) {
		size_t piece = MIN(4 + more - at, 20000);

		for (int i = 0; i < n; i++)
			send(fds[i], part + at, piece, MSG_NOSIGNAL);
		at += piece;
		run_for(f, 20);
	}
}

/* Checks that a peer that begins with a short frame exchanges others over a new
 * link. */
static void check_ordinary(struct link_fixture *f)
{
	int64_t end = hx_now_ms() + 30000;

	f->ordinary = lnk_connect(f->ev, f->ev, "127.0.0.1", "127.0.0.1",
				  (uint16_t)f->port, &ordinary_ops, f);
	g_assert_nonnull(f->ordinary);
	lnk_send(f->ordinary, "x", 1);
	while (f->answers < ORDINARY_FRAMES && !f->lost && hx_now_ms() < end)
		run_for(f, 20);
	g_assert_false(f->lost);
	g_assert_cmpint(f->answers, ==, ORDINARY_FRAMES);
}

static void close_fixture(struct link_fixture *f, const int *fds, int n)
{
	for (int i = 0; i < n; i++)
		close(fds[i]);
	talloc_free(f->ev);
}

/* Guards against silent links that keep all others out. */
static void test_silent_links(void)
{
	struct link_fixture f;
	int fds[LINKS_MAX];

	open_fixture(&f);
	open_crowd(&f, fds, LINKS_MAX, 0);
	g_assert_cmpint(f.received, ==, LINKS_MAX);
	run_for(&f, 2 * SILENT_MS);
	check_ordinary(&f);
	close_fixture(&f, fds, LINKS_MAX);
}

/* Guards against links that use up the memory for incomplete frames: each other
 * link was closed as soon as it received anything. */
static void test_partial_frames(void)
{
	struct link_fixture f;
	int fds[LINKS_MAX - 1];

	open_fixture(&f);
	open_crowd(&f, fds, LINKS_MAX - 1, PART_BYTES);
	run_for(&f, STALL_MS);
	check_ordinary(&f);
	close_fixture(&f, fds, LINKS_MAX - 1);
}

/* Guards against answers that peers don't read: 32 MiB of them were kept for
 * each link. */
static void test_unread_answers(void)
{
	struct link_fixture f;
	struct mallinfo2 before;
	int fds[LINKS_MAX / 2];
	int small = 4096;

	open_fixture(&f);
	before = mallinfo2();
	for (int i = 0; i < LINKS_MAX / 2; i++) {
		fds[i] = dial(&f);
		setsockopt(fds[i], SOL_SOCKET, SO_RCVBUF, &small,
			   sizeof(small));
	}
	run_for(&f, 100);
	for (int k = 0; k < UNREAD_FRAMES; k++) {
		struct mallinfo2 now;

		for (int i = 0; i < LINKS_MAX / 2; i++)
			send(fds[i], "\0\0\0\1l", 5, MSG_NOSIGNAL);
		run_for(&f, 2);
		now = mallinfo2();
		g_assert_cmpuint(now.uordblks + now.hblkhd, <,
				 before.uordblks + before.hblkhd +
					 2 * BUFFERS_MAX);
	}
	check_ordinary(&f);
	close_fixture(&f, fds, LINKS_MAX / 2);
}

void link_tests_add(void)
{
	g_test_add_func("/limits/silent-links", test_silent_links);
	g_test_add_func("/limits/partial-frames", test_partial_frames);
	g_test_add_func("/limits/unread-answers", test_unread_answers);
}
