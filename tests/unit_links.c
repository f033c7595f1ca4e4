/* The owner's links to workers over a slow link: late answers, and start
 * commands that fill it. Workers are played by the test. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "fleet/wkr_links.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

#define TIMEOUT_MS 6000
#define SLOW_LINK_KBIT_S 2000
#define PAYLOAD_BYTES 2000

/* A scheduler whose commands go through links to workers that take `delay_ms`
 * to answer. */
struct links_fixture {
	struct sched_fixture p;
	struct tevent_context *ev;
	struct tmr_set *timers;
	struct wkr_links *links;
	int64_t delay_ms;
	struct clk clk; /* of the links: the system's, and `ahead_ms` */
	int64_t ahead_ms;
	int polls;
	int n_stops;
	wkr_ack_cb stopped; /* of the last one */
	void *stopped_priv;
	int polls_open;
	int polls_open_max;
	GQueue starts; /* struct call, unanswered */
	int64_t start_bytes; /* of these */
	int n_starts;
	char started[SCHED_ID_MAX]; /* the job of the last one */
	char changed[SCHED_ID_MAX]; /* the worker whose report came last */
	/* Reports list a run that the owner doesn't need, until it has sent so
	 * many stops; 0: they list nothing. */
	guint stops_needed;
	/* Reports list one end until it is acknowledged. */
	bool has_end;
	int64_t acked_seq; /* by the last poll */
	bool lease_renewed;
};

/* A call in flight. */
struct call {
	struct links_fixture *fx;
	wkr_poll_cb polled;
	wkr_start_cb started;
	void *priv;
	bool times_out;
	int64_t bytes;
};

static bool lists_unneeded_run(const struct links_fixture *fx)
{
	return fx->p.stops->len < fx->stops_needed;
}

static void answer_poll(void *priv)
{
	static struct sched_active unneeded = { .ref = { "gone", 0, 0, 0, 1 } };
	static struct sched_end end = { .seq = 1,
					.ref = { "gone", 0, 0, 0, 1 },
					.reason = SCHED_END_STOPPED };
	struct call *c = priv;
	struct sched_report report = {
		.clock_ms = 100000 + clk_mono_ms(&clk_system),
		.born_ms = 1,
		.n_active = lists_unneeded_run(c->fx) ? 1 : 0,
		.active = &unneeded,
		.n_ends = c->fx->has_end ? 1 : 0,
		.ends = &end,
	};

	c->fx->polls_open--;
	c->polled(c->times_out ? NULL : &report, c->priv);
	g_free(c);
}

static void take_poll(void *self, const struct wkr_target *to, int64_t seq,
		      int64_t wait_ms, wkr_poll_cb done, void *priv)
{
	struct links_fixture *fx = self;
	struct call *c = g_new0(struct call, 1);
	int64_t after_ms = fx->delay_ms + wait_ms;

	if (seq)
		fx->has_end = false;
	fx->acked_seq = seq;
	c->fx = fx;
	c->polled = done;
	c->priv = priv;
	c->times_out = after_ms > to->timeout_ms;
	fx->lease_renewed |= to->lease_end_clock_ms != 0;
	fx->polls++;
	fx->polls_open++;
	fx->polls_open_max = MAX(fx->polls_open_max, fx->polls_open);
	tmr_after(fx->timers, MIN(after_ms, to->timeout_ms), answer_poll, c);
}

static void take_start(void *self, const struct wkr_target *to,
		       const struct wkr_start_cmd *cmd, wkr_start_cb done,
		       void *priv)
{
	struct links_fixture *fx = self;
	struct call *c = g_new0(struct call, 1);

	(void)to;
	c->fx = fx;
	c->started = done;
	c->priv = priv;
	c->bytes = (int64_t)strlen(cmd->payload);
	fx->start_bytes += c->bytes;
	fx->n_starts++;
	g_strlcpy(fx->started, cmd->ref->job, sizeof(fx->started));
	g_queue_push_tail(&fx->starts, c);
}

static void take_stop(void *self, const struct wkr_target *to,
		      const struct sched_ref *ref, wkr_ack_cb done, void *priv)
{
	struct links_fixture *fx = self;

	(void)to;
	(void)ref;
	fx->n_stops++;
	fx->stopped = done;
	fx->stopped_priv = priv;
}

static struct timespec links_mono(void *priv)
{
	const struct links_fixture *fx = priv;
	struct timespec t = clk_system.mono(clk_system.priv);

	t.tv_sec += fx->ahead_ms / 1000;
	t.tv_nsec += fx->ahead_ms % 1000 * 1000000;
	if (t.tv_nsec >= 1000000000) {
		t.tv_sec++;
		t.tv_nsec -= 1000000000;
	}
	return t;
}

static struct timespec links_wall(void *priv)
{
	(void)priv;
	return clk_system.wall(clk_system.priv);
}

static void answer_start(struct links_fixture *fx)
{
	struct call *c = g_queue_pop_head(&fx->starts);

	fx->start_bytes -= c->bytes;
	c->started(SCHED_START_OK, c->priv);
	g_free(c);
}

static void on_changed(const struct sched_worker *w, void *priv)
{
	struct links_fixture *fx = priv;

	if (w)
		g_strlcpy(fx->changed, w->row.id, sizeof(fx->changed));
}

static void do_nothing(void *priv)
{
	(void)priv;
}

static void links_fixture_open(struct links_fixture *fx, int64_t delay_ms)
{
	static const struct wkr_ops wkr_ops = { .poll = take_poll,
						.start = take_start,
						.stop = take_stop };
	static const struct wkr_links_ops links_ops = { .changed = on_changed };
	static const struct wkr_capacity capacity = { .link_kbit_s =
							      SLOW_LINK_KBIT_S,
						      .cpu_milli = 1000 };
	struct wkr wkr = { &wkr_ops, fx };

	memset(fx, 0, sizeof(*fx));
	fixture_open(&fx->p, 1, NULL);
	fx->delay_ms = delay_ms;
	fx->clk = (struct clk){ links_mono, links_wall, fx };
	fx->ev = tevent_context_init(NULL);
	fx->timers = tmr_set_start(fx->ev, fx->ev);
	fx->links = wkr_links_start(fx->ev, &fx->p.s, &wkr, fx->timers,
				    &fx->clk, &capacity, &links_ops, fx);
	wkr_links_enable(fx->links);
}

static void links_fixture_close(struct links_fixture *fx)
{
	while (fx->starts.length)
		answer_start(fx);
	if (fx->stopped)
		fx->stopped(true, fx->stopped_priv);
	talloc_free(fx->links);
	while (fx->polls_open)
		tevent_loop_once(fx->ev);
	talloc_free(fx->ev);
	fixture_close(&fx->p);
}

static void run_for(struct links_fixture *fx, int64_t ms)
{
	int64_t until_ms = clk_mono_ms(&clk_system) + ms;

	tmr_after(fx->timers, ms, do_nothing, NULL);
	while (clk_mono_ms(&clk_system) < until_ms)
		tevent_loop_once(fx->ev);
}

/*
 * Guards against a worker behind a slow link whose tasks are given up and start
 * again elsewhere: each of its answers came, but none before the poll's
 * timeout.
 */
static void test_late_answer_is_used(void)
{
	struct links_fixture fx;
	struct sched_worker *w;
	int64_t deadline_ms;

	links_fixture_open(&fx, 1500);
	fixture_add_worker(&fx.p, "w", "r");
	w = fixture_worker(&fx.p, "w");
	wkr_links_poll(fx.links, w);
	deadline_ms = clk_mono_ms(&clk_system) + TIMEOUT_MS;
	while (!w->reconciled && clk_mono_ms(&clk_system) < deadline_ms)
		tevent_loop_once(fx.ev);
	g_assert_true(w->reconciled);
	g_assert_cmpstr(fx.changed, ==, "w");
	g_assert_cmpint(fx.polls_open_max, <=, 3);
	links_fixture_close(&fx);
}

/* A worker that doesn't answer counts as silent before its poll is given up,
 * and polls of it don't pile up. */
static void test_silent_worker(void)
{
	struct links_fixture fx;

	links_fixture_open(&fx, 60000);
	fixture_add_worker(&fx.p, "w", "r");
	wkr_links_poll(fx.links, fixture_worker(&fx.p, "w"));
	run_for(&fx, 1000);
	g_assert_true(fixture_worker(&fx.p, "w")->unreachable);
	run_for(&fx, 3000);
	g_assert_cmpint(fx.polls, >=, 3);
	g_assert_cmpint(fx.polls_open_max, <=, 3);
	links_fixture_close(&fx);
}

/* The links are freed while polls are late. */
static void test_freed_while_late(void)
{
	struct links_fixture fx;

	links_fixture_open(&fx, 1500);
	fixture_add_worker(&fx.p, "w", "r");
	wkr_links_poll(fx.links, fixture_worker(&fx.p, "w"));
	run_for(&fx, 1000);
	links_fixture_close(&fx);
}

static void send_starts(struct links_fixture *fx)
{
	for (guint i = 0; i < fx->p.starts->len; i++) {
		const struct recorded_command *start = fixture_start(&fx->p, i);

		wkr_links_start_task(fx->links, start->worker, &start->ref,
				     500 + PAYLOAD_BYTES);
	}
	g_array_set_size(fx->p.starts, 0);
}

/*
 * A burst of wide jobs over a link of 2 Mbit/s: start commands that would wait
 * there until they time out stay with the scheduler, and follow as others are
 * answered.
 */
static void test_starts_fit_the_link(void)
{
	struct links_fixture fx;
	struct jobspec *spec = fixture_spec("a", "short", 1, 100);
	char id[16];

	links_fixture_open(&fx, 1);
	for (int i = 0; i < 60; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		fixture_add_worker(&fx.p, id, "r");
		fixture_poll(&fx.p, id, NULL, 0, NULL, 0, 10);
	}
	talloc_free(spec->payload);
	spec->payload = talloc_zero_array(spec, char, PAYLOAD_BYTES + 1);
	memset(spec->payload, 'x', PAYLOAD_BYTES);
	spec->steps[0].cpu_milli = 1000;
	fixture_add_job(&fx.p, spec);
	for (int64_t now = 100; fx.n_starts < 100 && now < 100000; now += 10) {
		fx.p.s.start_room = wkr_links_start_room(fx.links);
		sched_place(&fx.p.s, now);
		send_starts(&fx);
		/* 2 Mbit/s are 25,000 bytes in 100 ms, and one start in 10: the
		 * answers come as fast as the link lets them. */
		g_assert_cmpint(fx.start_bytes, <=, 25000 + PAYLOAD_BYTES);
		fx.ahead_ms += 10;
		if (fx.starts.length)
			answer_start(&fx);
	}
	g_assert_cmpint(fx.n_starts, ==, 100);
	links_fixture_close(&fx);
}

/*
 * Guards against stops that wait behind starts, and urgent starts that wait
 * behind others of earlier passes, at a worker that takes some time to answer.
 */
static void test_order_at_worker(void)
{
	struct links_fixture fx;
	struct sched_ref stopped = { .job = "gone", .run = 1 };

	links_fixture_open(&fx, 1);
	fixture_add_worker(&fx.p, "w", "r");
	fixture_poll(&fx.p, "w", NULL, 0, NULL, 0, 10);
	fixture_worker(&fx.p, "w")->row.total.cpu_milli = 1000000;
	fixture_worker(&fx.p, "w")->row.total.mem_mib = 1000000;
	fixture_add_job(&fx.p, fixture_spec("slow", "long", 1, 6));
	sched_place(&fx.p.s, 100);
	g_assert_cmpuint(fx.p.starts->len, ==, 6);
	send_starts(&fx);
	fixture_add_job(&fx.p, fixture_spec("urgent", "short", 1, 1));
	sched_place(&fx.p.s, 110);
	g_assert_cmpuint(fx.p.starts->len, ==, 1);
	send_starts(&fx);
	g_assert_cmpint(fx.n_starts, ==, 3);
	wkr_links_stop_task(fx.links, "w", &stopped);
	g_assert_cmpint(fx.n_stops, ==, 1);
	g_assert_cmpstr(fx.started, ==, "slow");
	answer_start(&fx);
	g_assert_cmpint(fx.n_starts, ==, 4);
	g_assert_cmpstr(fx.started, ==, "urgent");
	links_fixture_close(&fx);
}

/* While the link is full, an urgent job goes before what waits already, and the
 * job whose turn was cut short goes on before those behind it. */
static void test_order_while_full(void)
{
	struct sched_fixture p;
	char id[16];

	fixture_open(&p, 1, NULL);
	for (int i = 0; i < 20; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		fixture_add_worker(&p, id, "r");
		fixture_poll(&p, id, NULL, 0, NULL, 0, 10);
	}
	fixture_add_job(&p, fixture_spec("b", "long", 1, 3));
	fixture_add_job(&p, fixture_spec("c", "long", 1, 3));
	p.s.start_room.commands = 2;
	sched_place(&p.s, 100);
	g_assert_true(p.s.starts_held);
	p.s.start_room.commands = 2;
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 110);
	p.s.start_room.commands = 10;
	sched_place(&p.s, 120);
	g_assert_false(p.s.starts_held);
	sched_place(&p.s, 130);
	g_assert_cmpuint(p.starts->len, ==, 7);
	g_assert_cmpstr(fixture_start(&p, 0)->ref.job, ==, "b");
	g_assert_cmpstr(fixture_start(&p, 1)->ref.job, ==, "b");
	g_assert_cmpstr(fixture_start(&p, 2)->ref.job, ==, "a");
	g_assert_cmpstr(fixture_start(&p, 3)->ref.job, ==, "b");
	g_assert_cmpstr(fixture_start(&p, 4)->ref.job, ==, "c");
	fixture_close(&p);
}

/*
 * Guards against a task that is never placed: nothing could start when its turn
 * came, as after an outage, and from then on the link is always full of others'
 * starts.
 */
static void test_full_link_keeps_turns(void)
{
	struct sched_fixture p;
	char id[16];
	bool started = false;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_worker(&p, "w")->row.total.cpu_milli = 1000000;
	fixture_worker(&p, "w")->row.total.mem_mib = 1000000;
	fixture_worker(&p, "w")->unreachable = true;
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	for (int i = 0; i < 50; i++) {
		g_snprintf(id, sizeof(id), "b%d", i);
		fixture_add_job(&p, fixture_spec(id, "long", 1, 4));
	}
	p.s.start_room.commands = 2;
	for (GList *i = p.s.ready_steps.head; i; i = i->next)
		((struct sched_step *)i->data)->sweep =
			i == p.s.ready_steps.head ? p.s.sweep : 0;
	fixture_worker(&p, "w")->unreachable = false;
	for (int64_t now = 100; now < 1000; now += 20) {
		p.s.start_room.commands = 2;
		sched_place(&p.s, now);
	}
	for (guint i = 0; i < p.starts->len; i++)
		started |= !strcmp(fixture_start(&p, i)->ref.job, "a");
	g_assert_true(started);
	g_assert_cmpuint(p.starts->len, ==, 90);
	fixture_close(&p);
}

/*
 * Guards against workers that are never used again (LOST, review/8): an owner
 * stopped a run of a cancelled job, and nothing asked for the report that shows
 * its end. Here the first stop is lost, too.
 */
static void test_unneeded_run_is_polled(void)
{
	struct links_fixture fx;
	struct sched_worker *w;

	links_fixture_open(&fx, 10);
	fx.stops_needed = 2;
	fixture_add_worker(&fx.p, "w", "r");
	w = fixture_worker(&fx.p, "w");
	wkr_links_poll(fx.links, w);
	run_for(&fx, 100);
	g_assert_cmpint(w->foreign_runs, ==, 1);
	run_for(&fx, 3500);
	g_assert_cmpuint(fx.p.stops->len, ==, 2);
	g_assert_cmpint(w->foreign_runs, ==, 0);
	/* The second and third one wait for an end. */
	g_assert_cmpint(fx.polls, ==, 3);
	g_assert_false(fx.lease_renewed);
	links_fixture_close(&fx);
}

/*
 * Guards against ends that a worker lists for good (review/8): it became idle
 * with the last of them, and only polls acknowledge ends.
 */
static void test_idle_worker_is_acknowledged(void)
{
	struct links_fixture fx;
	struct sched_worker *w;
	int polls;

	links_fixture_open(&fx, 10);
	fx.has_end = true;
	fixture_add_worker(&fx.p, "w", "r");
	w = fixture_worker(&fx.p, "w");
	wkr_links_poll(fx.links, w);
	run_for(&fx, 100);
	g_assert_cmpint(w->seen_seq, ==, 1);
	w->durable_seq = 1;
	wkr_links_committed(fx.links);
	run_for(&fx, 3000);
	g_assert_false(fx.has_end);
	g_assert_cmpint(w->acked_seq, ==, 1);
	/* Once is enough. */
	polls = fx.polls;
	wkr_links_committed(fx.links);
	run_for(&fx, 2500);
	g_assert_cmpint(fx.polls, ==, polls);
	links_fixture_close(&fx);
}

/*
 * Guards against polls that make a restarted worker forget ends which this
 * owner hasn't read: its numbers begin at 1 again, and an end that was
 * acknowledged in the incarnation before was acknowledged with each later poll,
 * too.
 */
static void test_ends_are_acknowledged_once(void)
{
	struct links_fixture fx;
	struct sched_worker *w;

	links_fixture_open(&fx, 10);
	fx.has_end = true;
	fixture_add_worker(&fx.p, "w", "r");
	w = fixture_worker(&fx.p, "w");
	wkr_links_poll(fx.links, w);
	run_for(&fx, 100);
	w->durable_seq = 1;
	wkr_links_committed(fx.links);
	run_for(&fx, 3000);
	g_assert_false(fx.has_end);
	g_assert_cmpint(w->acked_seq, ==, 1);
	wkr_links_poll(fx.links, w);
	run_for(&fx, 100);
	g_assert_cmpint(fx.acked_seq, ==, 0);
	/* The worker fell silent: the first answer shows its incarnation. */
	w->seen_seq = w->durable_seq = 2;
	sched_worker_unanswered(&fx.p.s, w, clk_mono_ms(&fx.clk));
	g_assert_cmpint(sched_seq_to_ack(w), ==, 0);
	wkr_links_poll(fx.links, w);
	run_for(&fx, 5);
	g_assert_cmpint(fx.acked_seq, ==, 0);
	run_for(&fx, 100);
	g_assert_cmpint(sched_seq_to_ack(w), ==, 2);
	links_fixture_close(&fx);
}

/* A worker with such a run isn't forgotten when its entry expires from the
 * list, or taken off the roster as idle: the run goes on until it is stopped.
 */
static void test_unneeded_run_keeps_its_worker(void)
{
	struct sched_fixture p;
	struct sched_active unneeded = { .ref = { "gone", 0, 0, 0, 1 } };
	struct sched_worker_row row;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", &unneeded, 1, NULL, 0, 10);
	row = fixture_worker(&p, "w")->row;
	row.draining = true;
	sched_worker_listed(&p.s, &row, 20);
	sched_tick(&p.s, 30, 1000030);
	g_assert_true(fixture_worker(&p, "w")->on_roster);
	sched_worker_unlisted(&p.s, "w", 40);
	sched_tick(&p.s, 50, 1000050);
	g_assert_nonnull(fixture_worker(&p, "w"));
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 60);
	sched_tick(&p.s, 70, 1000070);
	g_assert_null(fixture_worker(&p, "w"));
	fixture_close(&p);
}

void unit_add_links(void)
{
	g_test_add_func("/links/unneeded-run-is-polled",
			test_unneeded_run_is_polled);
	g_test_add_func("/links/idle-worker-is-acknowledged",
			test_idle_worker_is_acknowledged);
	g_test_add_func("/links/ends-are-acknowledged-once",
			test_ends_are_acknowledged_once);
	g_test_add_func("/links/unneeded-run-keeps-its-worker",
			test_unneeded_run_keeps_its_worker);
	g_test_add_func("/links/late-answer-is-used", test_late_answer_is_used);
	g_test_add_func("/links/silent-worker", test_silent_worker);
	g_test_add_func("/links/freed-while-late", test_freed_while_late);
	g_test_add_func("/links/starts-fit-the-link", test_starts_fit_the_link);
	g_test_add_func("/links/order-while-full", test_order_while_full);
	g_test_add_func("/links/order-at-worker", test_order_at_worker);
	g_test_add_func("/links/full-link-keeps-turns",
			test_full_link_keeps_turns);
}
