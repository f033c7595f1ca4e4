/* Second copies of slow tasks. The load: short jobs of which one task takes
 * many times as long as the others, beside free room. */
#include <glib.h>
#include <string.h>

#include "coordination/copies.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

#define TASKS 5

/* A job of TASKS tasks at worker w; all but task 0 are done at 300 ms. Workers
 * v and w have room for all. */
static void open_with_straggler(struct sched_fixture *p, bool speculative,
				int32_t percent)
{
	struct jobspec *spec = fixture_spec("a", "short", 1, TASKS);
	struct sched_active a;
	struct sched_end ends[TASKS - 1];

	fixture_open(p, 1, NULL);
	fixture_add_worker(p, "w", "r");
	fixture_poll(p, "w", NULL, 0, NULL, 0, 10);
	spec->steps[0].speculative = speculative;
	spec->steps[0].cpu_milli = 1000;
	fixture_add_job(p, spec);
	sched_place(&p->s, 20);
	g_assert_cmpuint(p->starts->len, ==, TASKS);
	for (guint i = 0; i < TASKS; i++)
		fixture_started(p, fixture_start(p, i), 25);
	fixture_add_worker(p, "v", "r");
	fixture_poll(p, "v", NULL, 0, NULL, 0, 30);
	a = fixture_active(fixture_start(p, 0), percent);
	for (int i = 1; i < TASKS; i++)
		ends[i - 1] = fixture_end(fixture_start(p, (guint)i), i,
					  SCHED_END_DONE);
	fixture_poll(p, "w", &a, 1, ends, TASKS - 1, 300);
}

/* Guards against jobs that wait for one slow run beside free room: the task
 * gets one copy, elsewhere, and the slower run is stopped at once. */
static void test_copy_wins(void)
{
	struct sched_fixture p;
	struct sched_end e;

	open_with_straggler(&p, true, 10);
	sched_place(&p.s, 400);
	g_assert_cmpuint(p.starts->len, ==, TASKS);
	sched_place(&p.s, 600);
	g_assert_cmpuint(p.starts->len, ==, TASKS + 1);
	g_assert_cmpstr(fixture_start(&p, TASKS)->worker, ==, "v");
	g_assert_cmpint(fixture_start(&p, TASKS)->ref.index, ==, 0);
	g_assert_cmpint(fixture_start(&p, TASKS)->ref.run, ==, 2);
	fixture_started(&p, fixture_start(&p, TASKS), 605);
	sched_place(&p.s, 3000);
	g_assert_cmpuint(p.starts->len, ==, TASKS + 1);
	e = fixture_end(fixture_start(&p, TASKS), 1, SCHED_END_DONE);
	fixture_poll(&p, "v", NULL, 0, &e, 1, 3010);
	g_assert_cmpuint(p.stops->len, ==, 1);
	g_assert_cmpstr(
		g_array_index(p.stops, struct recorded_command, 0).worker, ==,
		"w");
	fixture_close(&p);
}

/* A copy that fails leaves the first run alone, and the job goes on. */
static void test_copy_fails(void)
{
	struct sched_fixture p;
	struct sched_job *job;
	struct sched_end e;

	open_with_straggler(&p, true, 10);
	job = g_hash_table_lookup(p.s.jobs, "a");
	sched_place(&p.s, 600);
	g_assert_cmpuint(p.starts->len, ==, TASKS + 1);
	fixture_started(&p, fixture_start(&p, TASKS), 605);
	e = fixture_end(fixture_start(&p, TASKS), 1, SCHED_END_FAILED);
	fixture_poll(&p, "v", NULL, 0, &e, 1, 700);
	g_assert_cmpint(job->state, ==, SCHED_JOB_RUNNING);
	g_assert_cmpuint(p.stops->len, ==, 0);
	e = fixture_end(fixture_start(&p, 0), TASKS, SCHED_END_DONE);
	fixture_poll(&p, "w", NULL, 0, &e, 1, 800);
	g_assert_cmpint(job->state, ==, SCHED_JOB_DONE);
	fixture_close(&p);
}

/* Guards against tasks that run twice though their step doesn't allow it, and
 * against copies of runs that are nearly done. */
static void test_no_copy(void)
{
	struct sched_fixture p;

	open_with_straggler(&p, false, 10);
	sched_place(&p.s, 600);
	sched_place(&p.s, 5000);
	g_assert_cmpuint(p.starts->len, ==, TASKS);
	fixture_close(&p);
	open_with_straggler(&p, true, 60);
	sched_place(&p.s, 600);
	g_assert_cmpuint(p.starts->len, ==, TASKS);
	fixture_close(&p);
}

/* No copy while another task waits for room. */
static void test_waiting_goes_first(void)
{
	struct jobspec *wide = fixture_spec("b", "short", 1, 1);
	struct sched_fixture p;

	open_with_straggler(&p, true, 10);
	wide->steps[0].cpu_milli = 1000000;
	fixture_add_job(&p, wide);
	sched_place(&p.s, 600);
	g_assert_cmpuint(p.starts->len, ==, TASKS);
	fixture_close(&p);
}

/* A successor finds both runs: it keeps them, and starts no third one. */
static void test_lost_owner(void)
{
	struct jobspec *spec = fixture_spec("a", "short", 1, 1);
	struct sched_ref ref = { .job = "a", .run = 1 };
	struct sched_fixture p;
	struct sched_active a = { .ref = ref, .percent = 10 };
	struct sched_active copy = { .ref = ref, .percent = 10 };

	copy.ref.run = 2;
	fixture_open(&p, 2, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_add_worker(&p, "v", "r");
	fixture_add_worker(&p, "u", "r");
	spec->steps[0].speculative = true;
	sched_job_add(&p.s, spec, NULL, 1, true, 0, 0);
	fixture_poll(&p, "w", &a, 1, NULL, 0, 10);
	fixture_poll(&p, "v", &copy, 1, NULL, 0, 20);
	fixture_poll(&p, "u", NULL, 0, NULL, 0, 30);
	for (int64_t t = 100; t < 9000; t += 100) {
		sched_tick(&p.s, t, 0);
		sched_place(&p.s, t);
	}
	g_assert_cmpuint(p.starts->len, ==, 0);
	fixture_close(&p);
}

/* The decision by itself: attempts, progress, budget. */
static void test_decision(void)
{
	struct copy_facts f = { .elapsed_ms = 1000,
				.percent = 20,
				.percent_ms = 1000,
				.typical_ms = 500,
				.long_ms = 900,
				.attempts = 2 };

	g_assert_true(copies_pay(&f));
	f.failures = 1;
	g_assert_false(copies_pay(&f));
	f.attempts = 3;
	g_assert_true(copies_pay(&f));
	f.elapsed_ms = 899;
	g_assert_false(copies_pay(&f));
	f.elapsed_ms = 1000;
	f.percent = 60;
	g_assert_false(copies_pay(&f));
	f.percent = 0;
	g_assert_true(copies_pay(&f));
	g_assert_cmpint(copies_max(10), ==, 2);
	g_assert_cmpint(copies_max(1000), ==, 20);
}

void unit_add_copies(void)
{
	g_test_add_func("/copies/wins", test_copy_wins);
	g_test_add_func("/copies/fails", test_copy_fails);
	g_test_add_func("/copies/none", test_no_copy);
	g_test_add_func("/copies/waiting-goes-first", test_waiting_goes_first);
	g_test_add_func("/copies/lost-owner", test_lost_owner);
	g_test_add_func("/copies/decision", test_decision);
}
