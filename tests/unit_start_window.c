/* The window of starts in flight, over simulated links with drawn delays. */
#include <glib.h>

#include "fleet/start_window.h"
#include "tests/unit.h"

#define START_BYTES 600
#define PENDING_MAX 20000
#define TIMEOUT_MS 700
/* Of a simulated link: 2 Mbit/s, and a quarter of a core. */
#define LINK_BYTES_MS 250
#define COMMANDS 250
#define LINKS 20

struct pending {
	struct start_window_sent sent;
	int64_t due_ms;
	int path;
	bool lost;
};

/* A sender that always has more to start, and what is between it and workers of
 * two regions. */
struct link {
	struct start_window w;
	double bytes_ms; /* what the link really carries */
	int64_t rtt_ms[2]; /* of the paths "0" and "1" */
	int64_t work_ms; /* a worker answers after up to so long */
	double loss;
	double free_ms; /* when the link has sent all that is queued */
	int64_t now_ms;
	struct pending pending[PENDING_MAX];
	int n;
	int64_t answered;
	int64_t queue_sum_ms;
	int64_t rounds;
};

static void send_one(struct link *l)
{
	struct pending *p = &l->pending[l->n++];
	int path = g_test_rand_int_range(0, 2);

	g_assert_cmpint(l->n, <, PENDING_MAX);
	start_window_add(&l->w, START_BYTES);
	l->free_ms =
		MAX(l->free_ms, (double)l->now_ms) + START_BYTES / l->bytes_ms;
	*p = (struct pending){
		.sent = start_window_send(&l->w, l->now_ms),
		.due_ms = (int64_t)l->free_ms + l->rtt_ms[path] +
			  g_test_rand_int_range(0, (int)l->work_ms + 1),
		.path = path,
		.lost = g_test_rand_double() < l->loss,
	};
	if (p->lost || p->due_ms > l->now_ms + TIMEOUT_MS) {
		p->lost = true;
		p->due_ms = l->now_ms + TIMEOUT_MS;
	}
}

static void answer_due(struct link *l)
{
	for (int i = 0; i < l->n; i++) {
		struct pending p = l->pending[i];

		if (p.due_ms > l->now_ms)
			continue;
		l->pending[i--] = l->pending[--l->n];
		start_window_remove(&l->w, START_BYTES);
		start_window_answered(&l->w, &p.sent, p.path ? "1" : "0",
				      p.lost, l->now_ms);
		l->answered += !p.lost;
		g_assert_cmpint(l->w.scale_milli, >=, START_WINDOW_SCALE_MIN);
		g_assert_cmpint(l->w.scale_milli, <=, START_WINDOW_SCALE_MAX);
	}
}

static bool has_room(struct link *l)
{
	struct sched_start_room room = start_window_room(&l->w, l->now_ms);

	return room.bytes > 0 && room.commands > 0;
}

/* Plays `ms`; `per_ms` starts are wanted in each, or as many as there is room
 * for. Restarts the sums. */
static void play(struct link *l, int64_t ms, int per_ms)
{
	int64_t end = l->now_ms + ms;

	l->answered = l->queue_sum_ms = l->rounds = 0;
	for (; l->now_ms < end; l->now_ms++) {
		answer_due(l);
		for (int i = 0; i < per_ms && has_room(l); i++)
			send_one(l);
		l->queue_sum_ms +=
			(int64_t)MAX(l->free_ms - (double)l->now_ms, 0);
		l->rounds++;
	}
}

static void drain(struct link *l)
{
	for (; l->n; l->now_ms++)
		answer_due(l);
	g_assert_cmpint(l->w.used.bytes, ==, 0);
	g_assert_cmpint(l->w.used.commands, ==, 0);
	start_window_finish(&l->w);
	g_free(l);
}

/* `speed` is what the link carries relative to what it is said to. */
static struct link *new_link(double speed, int64_t rtt_ms, int64_t far_rtt_ms,
			     int64_t work_ms)
{
	struct sched_start_room initial = { LINK_BYTES_MS * 100, COMMANDS };
	struct link *l = g_new0(struct link, 1);

	start_window_init(&l->w, &initial);
	l->bytes_ms = LINK_BYTES_MS * speed;
	l->rtt_ms[0] = rtt_ms;
	l->rtt_ms[1] = far_rtt_ms;
	l->work_ms = work_ms;
	l->now_ms = 100000;
	return l;
}

/*
 * Guards against starts that wait in the link until they time out, with leases
 * behind them: the link carries less than it is said to, since reports take a
 * part of it.
 */
static void test_slower_link(void)
{
	for (int i = 0; i < LINKS; i++) {
		double speed = g_test_rand_double_range(0.3, 1);
		struct link *l =
			new_link(speed, 1, g_test_rand_int_range(1, 60),
				 g_test_rand_int_range(0, 20));

		play(l, 3000, INT_MAX);
		play(l, 60000, INT_MAX);
		g_assert_cmpint(l->queue_sum_ms / l->rounds, <=, 200);
		g_assert_cmpint(
			l->answered, >=,
			(int64_t)(0.9 * 60000 * l->bytes_ms / START_BYTES));
		drain(l);
	}
}

/*
 * Guards against starts that wait while the link, the owner and the workers are
 * idle (observed: tasks waited up to 20 s beside 2,500 free cores): answers
 * take their time, but none of it in a queue. The second region's delay is no
 * queue.
 */
static void test_idle_link(void)
{
	for (int i = 0; i < LINKS; i++) {
		int64_t rtt_ms = g_test_rand_int_range(30, 61);
		struct link *l = new_link(20, rtt_ms, 60, 10);

		play(l, 3000, INT_MAX);
		play(l, 3000, INT_MAX);
		g_assert_cmpint(l->w.scale_milli, >=, 2000);
		g_assert_cmpint(l->queue_sum_ms / l->rounds, <=, 30);
		drain(l);
	}
}

/* Lost starts shrink the window, as if the link were overloaded, and it grows
 * again once they are answered. */
static void test_losses(void)
{
	struct link *l = new_link(20, 1, 60, 10);

	play(l, 1000, INT_MAX);
	l->loss = 1;
	play(l, 6000, INT_MAX);
	g_assert_cmpint(l->w.scale_milli, ==, START_WINDOW_SCALE_MIN);
	l->loss = 0;
	play(l, 5000, INT_MAX);
	g_assert_cmpint(l->w.scale_milli, >=, 1000);
	drain(l);
}

/* One worker of fifty that is dead doesn't slow down the others. */
static void test_dead_worker(void)
{
	struct link *l = new_link(20, 1, 60, 10);

	l->loss = 0.02;
	play(l, 5000, INT_MAX);
	g_assert_cmpint(l->w.scale_milli, >=, 1000);
	drain(l);
}

/* A deployment with few starts has the window that it always had, however its
 * workers answer, and a window that was changed is that again after a pause. */
static void test_quiet(void)
{
	for (int i = 0; i < LINKS; i++) {
		struct link *l = new_link(1, 1, 60, 200);

		l->rtt_ms[0] = g_test_rand_int_range(0, 60);
		for (int k = 0; k < 100; k++) {
			play(l, 99, 0);
			play(l, 1, 5);
			g_assert_cmpint(l->w.scale_milli, ==, 1000);
		}
		l->bytes_ms *= 20;
		l->work_ms = 10;
		play(l, 2000, INT_MAX);
		g_assert_cmpint(l->w.scale_milli, >, 1000);
		play(l, 20000, 0);
		g_assert_cmpint(start_window_room(&l->w, l->now_ms).commands,
				==, COMMANDS);
		drain(l);
	}
}

/* Without known capacity there is no limit. */
static void test_unlimited(void)
{
	struct sched_start_room initial = { INT64_MAX, INT64_MAX };
	struct start_window w;
	struct start_window_sent sent;

	start_window_init(&w, &initial);
	for (int i = 0; i < 1000; i++) {
		start_window_add(&w, START_BYTES);
		sent = start_window_send(&w, i);
		start_window_answered(&w, &sent, "0", i % 2, i + TIMEOUT_MS);
	}
	g_assert_cmpint(start_window_room(&w, 1000).commands, >, 1000000000);
	g_assert_cmpint(start_window_room(&w, 1000).bytes, >, 1000000000);
	start_window_finish(&w);
}

void unit_add_start_window(void)
{
	g_test_add_func("/start-window/slower-link", test_slower_link);
	g_test_add_func("/start-window/idle-link", test_idle_link);
	g_test_add_func("/start-window/losses", test_losses);
	g_test_add_func("/start-window/dead-worker", test_dead_worker);
	g_test_add_func("/start-window/quiet", test_quiet);
	g_test_add_func("/start-window/unlimited", test_unlimited);
}
