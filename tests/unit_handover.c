/* What a successor does about workers that it has not heard, on paper. */
#include <glib.h>
#include <talloc.h>

#include "tests/sched_fixture.h"
#include "tests/unit.h"

/* The platform's longest lease and an owner's doubt, as on a real site, ms. */
#define LEASE_MAX_MS 10000
#define DOUBT_MS 3000
/* A worker's clock may be slow by 2%; delays of timers and answers, ms. */
#define LEASE_SLOW_MS (FIXTURE_LEASE_MS * 1000 / 980)
#define SLACK_MS 300

/* It may renew leases for as long as it is in doubt. */
static const struct sched_prev_owner lost_owner = { DOUBT_MS,
						    FIXTURE_LEASE_MS };

/* A successor that knows worker w from the roster, and looked at v. */
static void open_successor(struct sched_fixture *p,
			   const struct sched_prev_owner *former)
{
	json_t *roster = json_pack("[[s,s,i],[s,s,i]]", "w", "1.2.3.4:5", 1,
				   "v", "1.2.3.4:6", 1);

	fixture_open(p, 2, NULL);
	p->s.lim.lease_max_ms = LEASE_MAX_MS;
	p->s.lim.in_doubt_max_ms = DOUBT_MS;
	sched_set_prev_owner(&p->s, former);
	sched_roster_restore(&p->s, roster, 0);
	json_decref(roster);
	sched_job_add(&p->s, fixture_spec("a", "short", 1, 1), NULL, 5, true, 0,
		      1000000);
	fixture_add_worker(p, "v", "r");
	fixture_poll(p, "v", NULL, 0, NULL, 0, 10);
	sched_worker_unanswered(&p->s, fixture_worker(p, "w"), 700);
}

static guint starts_at(struct sched_fixture *p, int64_t now_ms)
{
	sched_tick(&p->s, now_ms, 1000000 + now_ms);
	sched_place(&p->s, now_ms);
	return p->starts->len;
}

/*
 * Pattern: the owner is lost and a worker is gone (LOST 33 to 36 on
 * dhl-pettycash, loss-before-handover). Its tasks start elsewhere once a lease
 * of the length that owners grant has ended, not the longest of the platform.
 */
static void test_lease_that_owners_grant(void)
{
	struct sched_fixture p;

	open_successor(&p, &lost_owner);
	g_assert_cmpuint(starts_at(&p, DOUBT_MS + FIXTURE_LEASE_MS), ==, 0);
	g_assert_cmpuint(starts_at(&p, DOUBT_MS + LEASE_SLOW_MS + SLACK_MS), ==,
			 1);
	fixture_close(&p);
}

/*
 * An owner that stops as planned, with w silent since 1,000 ms while it ran
 * task 0 of job a; what it tells its successor at 1,500 ms.
 */
static json_t *hand_over_silent(void)
{
	struct sched_fixture p;
	struct sched_worker *w;
	json_t *handed;

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
	handed = sched_handover_pack(&p.s, INT32_MAX, 1500);
	fixture_close(&p);
	return handed;
}

/* Of the lease that w was granted at 900 ms, this much is left at 1,500 ms. */
#define LEFT_MS (LEASE_SLOW_MS + 200 - 600)

static const struct sched_prev_owner planned = { 0, FIXTURE_LEASE_MS };

static void open_handed(struct sched_fixture *p, json_t *handed)
{
	open_successor(p, &planned);
	g_assert_cmpint(sched_handover_apply(&p->s, handed, 0, 1000000), ==, 1);
	json_decref(handed);
}

/*
 * Pattern: a worker is gone, then the owner stops as planned (LOST 33 to 36 on
 * dhl-pettycash). The successor starts its task when the lease ends that the
 * former owner granted last, no sooner, and no later.
 */
static void test_handover_keeps_the_wait(void)
{
	struct sched_fixture p;

	open_handed(&p, hand_over_silent());
	g_assert_cmpuint(starts_at(&p, LEFT_MS - 200), ==, 0);
	g_assert_cmpuint(starts_at(&p, LEFT_MS + SLACK_MS), ==, 1);
	g_assert_cmpstr(fixture_start(&p, 0)->worker, ==, "v");
	fixture_close(&p);
}

/*
 * Pattern: planned stops in series within one wait (six in the day above). The
 * wait goes on from owner to owner, loaded or not, and doesn't begin anew.
 */
static void test_handovers_in_series(void)
{
	struct sched_fixture p;
	json_t *handed = hand_over_silent();
	json_t *next = sched_handover_forward(handed, 400);

	json_decref(handed);
	for (int32_t i = 0; i < 2; i++) {
		open_handed(&p, next);
		g_assert_cmpuint(starts_at(&p, 1000), ==, 0);
		next = sched_handover_pack(&p.s, INT32_MAX, 1000);
		fixture_close(&p);
	}
	open_handed(&p, next);
	g_assert_cmpuint(starts_at(&p, LEFT_MS - 2400 - 200), ==, 0);
	g_assert_cmpuint(starts_at(&p, LEFT_MS - 2400 + SLACK_MS), ==, 1);
	fixture_close(&p);
}

/*
 * Pattern: one silent worker at a planned stop. What may run there was handed
 * over, so nothing else waits for its lease.
 */
static void test_handover_holds_only_what_may_run(void)
{
	struct sched_fixture p;

	open_handed(&p, hand_over_silent());
	sched_job_add(&p.s, fixture_spec("b", "short", 1, 1), NULL, 6, true, 0,
		      1000000);
	g_assert_cmpuint(starts_at(&p, 50), ==, 1);
	g_assert_cmpstr(fixture_start(&p, 0)->ref.job, ==, "b");
	fixture_close(&p);
}

/* Without the list of what may run there, all that is old waits. */
static void test_handover_without_runs(void)
{
	struct sched_fixture p;
	json_t *handed = hand_over_silent();

	json_array_set_new(json_array_get(handed, 0), 2, json_null());
	open_handed(&p, handed);
	g_assert_cmpuint(starts_at(&p, LEFT_MS - 200), ==, 0);
	g_assert_cmpuint(starts_at(&p, LEFT_MS + SLACK_MS), ==, 1);
	fixture_close(&p);
}

/*
 * Pattern: a worker is cut off, runs on, and is back before the wait ends. Its
 * task is adopted, whatever the list of workers says meanwhile.
 */
static void test_cut_off_worker_is_back(void)
{
	struct sched_fixture p;
	struct sched_active a = { .ref = { "a", 0, 0, 0, 1 }, .percent = 40 };

	open_handed(&p, hand_over_silent());
	g_assert_cmpuint(starts_at(&p, LEFT_MS - 200), ==, 0);
	fixture_poll(&p, "w", &a, 1, NULL, 0, LEFT_MS - 100);
	g_assert_cmpuint(starts_at(&p, LEFT_MS + SLACK_MS), ==, 0);
	g_assert_cmpuint(p.stops->len, ==, 0);
	g_assert_cmpuint(fixture_worker(&p, "w")->runs.length, ==, 1);
	fixture_close(&p);
}

/* The same, and the order was never carried out there. */
static void test_cut_off_worker_lacks_the_task(void)
{
	struct sched_fixture p;

	open_handed(&p, hand_over_silent());
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 300);
	g_assert_cmpuint(starts_at(&p, 310), ==, 1);
	g_assert_cmpint(fixture_start(&p, 0)->ref.run, >, 1);
	fixture_close(&p);
}

/*
 * Pattern: the worker is back just as the wait has ended, with the end of the
 * run whose lease lapsed there. Its task has started once, elsewhere.
 */
static void test_worker_back_after_the_wait(void)
{
	struct sched_fixture p;
	struct sched_end e = { .seq = 1,
			       .ref = { "a", 0, 0, 0, 1 },
			       .reason = SCHED_END_LEASE_EXPIRED };

	open_handed(&p, hand_over_silent());
	g_assert_cmpuint(starts_at(&p, LEFT_MS + SLACK_MS), ==, 1);
	fixture_started(&p, fixture_start(&p, 0), LEFT_MS + SLACK_MS + 10);
	sched_worker_listed(&p.s,
			    &(struct sched_worker_row){ .id = "w",
							.address = "1.2.3.4:5",
							.pool = "p",
							.born_ms = 1 },
			    LEFT_MS + 400);
	fixture_poll(&p, "w", NULL, 0, &e, 1, LEFT_MS + 410);
	g_assert_cmpuint(starts_at(&p, LEFT_MS + 500), ==, 1);
	g_assert_cmpuint(p.stops->len, ==, 0);
	fixture_close(&p);
}

/*
 * Pattern: all owners are killed, and the worker's entry lapses while the store
 * is away (TWICE on dhl-pettycash, lapsed-entries-and-kill-all). A roster that
 * can't be read whole is no proof that nothing runs elsewhere.
 */
static void test_torn_roster_holds(void)
{
	struct sched_fixture p;

	open_successor(&p, &planned);
	g_assert_false(sched_roster_restore(&p.s, NULL, 0));
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 20);
	g_assert_cmpuint(starts_at(&p, 30), ==, 0);
	g_assert_cmpuint(starts_at(&p, LEASE_SLOW_MS + SLACK_MS), ==, 1);
	fixture_close(&p);
}

/*
 * Pattern: a worker idle for a minute whose clock is slow. The lease that goes
 * out with its next start ends no later, by its own clock, than a lease after
 * the order; successors reckon with that.
 */
static void test_lease_at_an_idle_worker(void)
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
 * Guards against a torn roster that is whole again for the next owner, which
 * then starts what runs on workers that nobody has listed (TWICE).
 */
static void test_torn_roster_is_handed_over(void)
{
	struct sched_fixture p;
	json_t *handed;

	open_successor(&p, &planned);
	sched_roster_restore(&p.s, NULL, 0);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 20);
	handed = sched_handover_pack(&p.s, INT32_MAX, 1000);
	fixture_close(&p);
	open_handed(&p, handed);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 20);
	g_assert_cmpuint(starts_at(&p, LEASE_SLOW_MS - 1000), ==, 0);
	g_assert_cmpuint(starts_at(&p, LEASE_SLOW_MS + SLACK_MS - 1000), ==, 1);
	fixture_close(&p);
}

/* Without room for all runs, workers are named without theirs. */
static void test_handover_with_little_room(void)
{
	struct sched_fixture p;
	json_t *handed;

	open_handed(&p, hand_over_silent());
	handed = sched_handover_pack(&p.s, 0, 1000);
	g_assert_cmpuint(json_array_size(handed), ==, 1);
	g_assert_true(
		json_is_null(json_array_get(json_array_get(handed, 0), 2)));
	fixture_close(&p);
	json_decref(handed);
}

/*
 * Guards against a silent worker that was handed over and that the roster lacks
 * (TWICE): what may run there is unknown, so all that is old waits.
 */
static void test_handed_worker_off_the_roster(void)
{
	struct sched_fixture p;
	json_t *handed = json_pack("[[s,i,[]]]", "x", 2000);

	open_handed(&p, handed);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 20);
	g_assert_cmpuint(starts_at(&p, 1900), ==, 0);
	g_assert_cmpuint(starts_at(&p, 2000), ==, 1);
	fixture_close(&p);
}

void unit_add_handover(void)
{
	g_test_add_func("/sched/handed-worker-off-the-roster",
			test_handed_worker_off_the_roster);
	g_test_add_func("/sched/torn-roster-is-handed-over",
			test_torn_roster_is_handed_over);
	g_test_add_func("/sched/handover-with-little-room",
			test_handover_with_little_room);
	g_test_add_func("/sched/lease-at-an-idle-worker",
			test_lease_at_an_idle_worker);
	g_test_add_func("/sched/torn-roster-holds", test_torn_roster_holds);
	g_test_add_func("/sched/worker-back-after-the-wait",
			test_worker_back_after_the_wait);
	g_test_add_func("/sched/cut-off-worker-lacks-the-task",
			test_cut_off_worker_lacks_the_task);
	g_test_add_func("/sched/cut-off-worker-is-back",
			test_cut_off_worker_is_back);
	g_test_add_func("/sched/handover-without-runs",
			test_handover_without_runs);
	g_test_add_func("/sched/handover-holds-only-what-may-run",
			test_handover_holds_only_what_may_run);
	g_test_add_func("/sched/handovers-in-series", test_handovers_in_series);
	g_test_add_func("/sched/handover-keeps-the-wait",
			test_handover_keeps_the_wait);
	g_test_add_func("/sched/lease-that-owners-grant",
			test_lease_that_owners_grant);
}
