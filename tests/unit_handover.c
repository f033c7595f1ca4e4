/* Handover of a shard: how a successor treats workers that don't answer.
 * Without workers or network. */
#include <glib.h>
#include <talloc.h>

#include "tests/sched_fixture.h"
#include "tests/unit.h"

/* The platform's longest lease, and how long an owner renews leases while its
 * ownership is in doubt, as on a real site, in ms. */
#define LEASE_MAX_MS 10000
#define IN_DOUBT_MAX_MS 3000
/* A worker's clock may be slow by 2%. MARGIN_MS covers delays of timers and
 * answers. */
#define LEASE_BOUND_MS (FIXTURE_LEASE_MS * 1000 / 980)
#define MARGIN_MS 300

/* A failed owner may renew leases for as long as its ownership is in doubt. */
static const struct sched_prev_owner failed_owner = {
	.renews_until_ms = IN_DOUBT_MAX_MS,
	.lease_ms = FIXTURE_LEASE_MS,
};

/* Opens a successor that knows worker w from the roster, has a report of worker
 * v, and got no answer from w. */
static void open_successor(struct sched_fixture *p,
			   const struct sched_prev_owner *prev)
{
	json_t *roster = json_pack("[[s,s,i],[s,s,i]]", "w", "1.2.3.4:5", 1,
				   "v", "1.2.3.4:6", 1);

	fixture_open(p, 2, NULL);
	p->s.lim.lease_max_ms = LEASE_MAX_MS;
	p->s.lim.in_doubt_max_ms = IN_DOUBT_MAX_MS;
	sched_set_prev_owner(&p->s, prev);
	sched_roster_restore(&p->s, roster, 0);
	json_decref(roster);
	sched_job_add(&p->s, fixture_spec("a", "short", 1, 1), NULL, 5, true, 0,
		      1000000);
	fixture_add_worker(p, "v", "r");
	fixture_poll(p, "v", NULL, 0, NULL, 0, 10);
	sched_worker_unanswered(&p->s, fixture_worker(p, "w"), 700);
}

static guint count_starts_at(struct sched_fixture *p, int64_t now_ms)
{
	sched_tick(&p->s, now_ms, 1000000 + now_ms);
	sched_place(&p->s, now_ms);
	return p->starts->len;
}

/*
 * Guards against a needless wait (LOST 33 to 36, dhl-pettycash,
 * loss-before-handover): an owner and a worker fail. The worker's tasks start
 * elsewhere once a lease of the length that owners grant has expired, not the
 * longest one that the platform allows.
 */
static void test_expiry_of_granted_lease(void)
{
	struct sched_fixture p;

	open_successor(&p, &failed_owner);
	g_assert_cmpuint(
		count_starts_at(&p, IN_DOUBT_MAX_MS + FIXTURE_LEASE_MS), ==, 0);
	g_assert_cmpuint(count_starts_at(&p, IN_DOUBT_MAX_MS + LEASE_BOUND_MS +
						     MARGIN_MS),
			 ==, 1);
	fixture_close(&p);
}

/*
 * Returns the handover, made at 1,500 ms, of an owner that stops as planned.
 * Worker w ran task 0 of job a and has not answered since 1,000 ms.
 */
static json_t *handover_with_silent_worker(void)
{
	struct sched_fixture p;
	struct sched_worker *w;
	json_t *handover;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	w = fixture_worker(&p, "w");
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 20);
	fixture_started(&p, fixture_start(&p, 0), 30);
	sched_lease_end(&p.s, w, 900);
	fixture_add_worker(&p, "v", "r");
	fixture_poll(&p, "v", NULL, 0, NULL, 0, 40);
	sched_worker_unanswered(&p.s, w, 1000);
	handover = sched_handover_pack(&p.s, INT32_MAX, 1500);
	fixture_close(&p);
	return handover;
}

/* Remaining time at 1,500 ms of the lease that w was granted at 900 ms. */
#define LEASE_LEFT_MS (LEASE_BOUND_MS + 200 - 600)

static const struct sched_prev_owner stopped_owner = {
	.lease_ms = FIXTURE_LEASE_MS,
};

static void open_with_handover(struct sched_fixture *p, json_t *handover)
{
	open_successor(p, &stopped_owner);
	g_assert_cmpint(sched_handover_apply(&p->s, handover, 0, 1000000), ==,
			1);
	json_decref(handover);
}

/*
 * A worker fails, then the owner stops as planned (LOST 33 to 36,
 * dhl-pettycash). The successor starts the worker's task when the lease that
 * the previous owner granted last expires, no sooner and no later.
 */
static void test_handover_keeps_lease_expiry(void)
{
	struct sched_fixture p;

	open_with_handover(&p, handover_with_silent_worker());
	g_assert_cmpuint(count_starts_at(&p, LEASE_LEFT_MS - 200), ==, 0);
	g_assert_cmpuint(count_starts_at(&p, LEASE_LEFT_MS + MARGIN_MS), ==, 1);
	g_assert_cmpstr(fixture_start(&p, 0)->worker, ==, "v");
	fixture_close(&p);
}

/*
 * Several owners stop as planned while one lease runs (six times in the run
 * above). Each continues the wait of the one before, whether it had loaded the
 * shard or not, and doesn't restart it.
 */
static void test_handovers_in_series(void)
{
	struct sched_fixture p;
	json_t *handover = handover_with_silent_worker();
	json_t *next = sched_handover_forward(handover, 400);

	json_decref(handover);
	for (int32_t i = 0; i < 2; i++) {
		open_with_handover(&p, next);
		g_assert_cmpuint(count_starts_at(&p, 1000), ==, 0);
		next = sched_handover_pack(&p.s, INT32_MAX, 1000);
		fixture_close(&p);
	}
	open_with_handover(&p, next);
	g_assert_cmpuint(count_starts_at(&p, LEASE_LEFT_MS - 2400 - 200), ==,
			 0);
	g_assert_cmpuint(count_starts_at(&p, LEASE_LEFT_MS - 2400 + MARGIN_MS),
			 ==, 1);
	fixture_close(&p);
}

/*
 * One worker is silent at a planned stop. The handover lists the runs that may
 * be active there, so no other task waits for its lease.
 */
static void test_handover_holds_only_what_may_run(void)
{
	struct sched_fixture p;

	open_with_handover(&p, handover_with_silent_worker());
	sched_job_add(&p.s, fixture_spec("b", "short", 1, 1), NULL, 6, true, 0,
		      1000000);
	g_assert_cmpuint(count_starts_at(&p, 50), ==, 1);
	g_assert_cmpstr(fixture_start(&p, 0)->ref.job, ==, "b");
	fixture_close(&p);
}

/* Without the list of runs that may be active there, all inherited jobs wait.
 */
static void test_handover_without_runs(void)
{
	struct sched_fixture p;
	json_t *handover = handover_with_silent_worker();

	json_array_set_new(json_array_get(handover, 0), 2, json_null());
	open_with_handover(&p, handover);
	g_assert_cmpuint(count_starts_at(&p, LEASE_LEFT_MS - 200), ==, 0);
	g_assert_cmpuint(count_starts_at(&p, LEASE_LEFT_MS + MARGIN_MS), ==, 1);
	fixture_close(&p);
}

/*
 * A worker is cut off, keeps running, and answers again before its lease
 * expires. Its run is adopted, whatever the list of workers says meanwhile.
 */
static void test_cut_off_worker_answers_again(void)
{
	struct sched_fixture p;
	struct sched_active a = { .ref = { "a", 0, 0, 0, 1 }, .percent = 40 };

	open_with_handover(&p, handover_with_silent_worker());
	g_assert_cmpuint(count_starts_at(&p, LEASE_LEFT_MS - 200), ==, 0);
	fixture_poll(&p, "w", &a, 1, NULL, 0, LEASE_LEFT_MS - 100);
	g_assert_cmpuint(count_starts_at(&p, LEASE_LEFT_MS + MARGIN_MS), ==, 0);
	g_assert_cmpuint(p.stops->len, ==, 0);
	g_assert_cmpuint(fixture_worker(&p, "w")->runs.length, ==, 1);
	fixture_close(&p);
}

/* The same, but the start command never took effect there. */
static void test_cut_off_worker_lacks_the_task(void)
{
	struct sched_fixture p;

	open_with_handover(&p, handover_with_silent_worker());
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 300);
	g_assert_cmpuint(count_starts_at(&p, 310), ==, 1);
	g_assert_cmpint(fixture_start(&p, 0)->ref.run, >, 1);
	fixture_close(&p);
}

/*
 * The worker answers again just after its lease has expired, and reports that
 * its run ended by that. The task has started once elsewhere and is not started
 * again.
 */
static void test_worker_answers_after_expiry(void)
{
	struct sched_fixture p;
	struct sched_end e = { .seq = 1,
			       .ref = { "a", 0, 0, 0, 1 },
			       .reason = SCHED_END_LEASE_EXPIRED };

	open_with_handover(&p, handover_with_silent_worker());
	g_assert_cmpuint(count_starts_at(&p, LEASE_LEFT_MS + MARGIN_MS), ==, 1);
	fixture_started(&p, fixture_start(&p, 0),
			LEASE_LEFT_MS + MARGIN_MS + 10);
	sched_worker_listed(&p.s,
			    &(struct sched_worker_row){ .id = "w",
							.address = "1.2.3.4:5",
							.pool = "p",
							.born_ms = 1 },
			    LEASE_LEFT_MS + 400);
	fixture_poll(&p, "w", NULL, 0, &e, 1, LEASE_LEFT_MS + 410);
	g_assert_cmpuint(count_starts_at(&p, LEASE_LEFT_MS + 500), ==, 1);
	g_assert_cmpuint(p.stops->len, ==, 0);
	fixture_close(&p);
}

/*
 * Guards against a second run (TWICE, dhl-pettycash,
 * lapsed-entries-and-kill-all): all owners are killed, and the worker's entry
 * expires while the store is unavailable. An incomplete roster does not prove
 * that nothing runs elsewhere.
 */
static void test_incomplete_roster_holds_jobs(void)
{
	struct sched_fixture p;

	open_successor(&p, &stopped_owner);
	g_assert_false(sched_roster_restore(&p.s, NULL, 0));
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 20);
	g_assert_cmpuint(count_starts_at(&p, 30), ==, 0);
	g_assert_cmpuint(count_starts_at(&p, LEASE_BOUND_MS + MARGIN_MS), ==,
			 1);
	fixture_close(&p);
}

/*
 * A worker with a slow clock is idle for a minute. By its own clock, the lease
 * sent with its next start ends no later than one lease length after the
 * command; successors rely on that.
 */
static void test_lease_of_idle_worker(void)
{
	struct sched_fixture p;
	struct sched_worker *w;
	int64_t clock_ms = 100010 + 60000 * 98 / 100;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	w = fixture_worker(&p, "w");
	g_assert_cmpint(sched_lease_end(&p.s, w, 60010), <=,
			clock_ms + FIXTURE_LEASE_MS);
	fixture_close(&p);
}

/*
 * Guards against second runs (TWICE): a successor found the roster incomplete,
 * but did not hand that on, so the next owner started tasks that were running
 * on workers missing from it.
 */
static void test_incomplete_roster_is_handed_over(void)
{
	struct sched_fixture p;
	json_t *handover;

	open_successor(&p, &stopped_owner);
	sched_roster_restore(&p.s, NULL, 0);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 20);
	handover = sched_handover_pack(&p.s, INT32_MAX, 1000);
	fixture_close(&p);
	open_with_handover(&p, handover);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 20);
	g_assert_cmpuint(count_starts_at(&p, LEASE_BOUND_MS - 1000), ==, 0);
	g_assert_cmpuint(count_starts_at(&p, LEASE_BOUND_MS + MARGIN_MS - 1000),
			 ==, 1);
	fixture_close(&p);
}

/* If the handover has no room for all runs, it lists workers without them. */
static void test_handover_with_little_room(void)
{
	struct sched_fixture p;
	json_t *handover;

	open_with_handover(&p, handover_with_silent_worker());
	handover = sched_handover_pack(&p.s, 0, 1000);
	g_assert_cmpuint(json_array_size(handover), ==, 1);
	g_assert_true(
		json_is_null(json_array_get(json_array_get(handover, 0), 2)));
	fixture_close(&p);
	json_decref(handover);
}

/*
 * Guards against second runs (TWICE) at a silent worker that is in the handover
 * but not on the roster. What runs there is unknown, so all inherited jobs
 * wait.
 */
static void test_handover_worker_not_on_roster(void)
{
	struct sched_fixture p;
	json_t *handover = json_pack("[[s,i,[]]]", "x", 2000);

	open_with_handover(&p, handover);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 20);
	g_assert_cmpuint(count_starts_at(&p, 1900), ==, 0);
	g_assert_cmpuint(count_starts_at(&p, 2000), ==, 1);
	fixture_close(&p);
}

void unit_add_handover(void)
{
	g_test_add_func("/sched/handed-worker-off-the-roster",
			test_handover_worker_not_on_roster);
	g_test_add_func("/sched/torn-roster-is-handed-over",
			test_incomplete_roster_is_handed_over);
	g_test_add_func("/sched/handover-with-little-room",
			test_handover_with_little_room);
	g_test_add_func("/sched/lease-at-an-idle-worker",
			test_lease_of_idle_worker);
	g_test_add_func("/sched/torn-roster-holds",
			test_incomplete_roster_holds_jobs);
	g_test_add_func("/sched/worker-back-after-the-wait",
			test_worker_answers_after_expiry);
	g_test_add_func("/sched/cut-off-worker-lacks-the-task",
			test_cut_off_worker_lacks_the_task);
	g_test_add_func("/sched/cut-off-worker-is-back",
			test_cut_off_worker_answers_again);
	g_test_add_func("/sched/handover-without-runs",
			test_handover_without_runs);
	g_test_add_func("/sched/handover-holds-only-what-may-run",
			test_handover_holds_only_what_may_run);
	g_test_add_func("/sched/handovers-in-series", test_handovers_in_series);
	g_test_add_func("/sched/handover-keeps-the-wait",
			test_handover_keeps_lease_expiry);
	g_test_add_func("/sched/lease-that-owners-grant",
			test_expiry_of_granted_lease);
}
