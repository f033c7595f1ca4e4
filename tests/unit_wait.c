/* Tests how long tasks wait while there is room, and what the log says. */
#include <glib.h>
#include <string.h>

#include "tests/sched_fixture.h"
#include "tests/unit.h"

/* The log says what keeps a waiting task from how many workers. */
static void test_wait_is_logged(void)
{
	struct sched_fixture p;
	char **lines;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "full", "r");
	fixture_add_worker(&p, "bad", "r");
	fixture_add_worker(&p, "never-heard", "r");
	fixture_poll(&p, "full", NULL, 0, NULL, 0, 10);
	fixture_poll(&p, "bad", NULL, 0, NULL, 0, 10);
	fixture_worker(&p, "full")->used.cpu_milli = 8000;
	fixture_worker(&p, "bad")->quarantine_until_ms = 60000;
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	for (int64_t now = 100; now <= 4000; now += 100) {
		sched_place(&p.s, now);
		sched_tick(&p.s, now, 1000000 + now);
	}
	g_assert_nonnull(strstr(p.waits->str, "a.0 waited_ms="));
	g_assert_nonnull(strstr(
		p.waits->str, "workers: unreconciled=1 quarantined=1 cpu=1\n"));
	/* One line a second, after the first two seconds. */
	lines = g_strsplit(p.waits->str, "\n", -1);
	g_assert_cmpuint(g_strv_length(lines), <=, 4);
	g_strfreev(lines);
	fixture_worker(&p, "full")->used.cpu_milli = 0;
	fixture_close(&p);
}

#define REPORTED_AT_ONCE 12

/* Runs tasks of several jobs at worker w, which then falls silent. Fills in
 * their failures, which it has not reported yet. */
static void cut_off_failing_worker(struct sched_fixture *p,
				   struct sched_end *ends)
{
	char id[8];

	fixture_open(p, 1, NULL);
	fixture_add_worker(p, "w", "r");
	fixture_poll(p, "w", NULL, 0, NULL, 0, 10);
	for (int i = 0; i < REPORTED_AT_ONCE; i++) {
		struct jobspec *spec;

		g_snprintf(id, sizeof(id), "j%d", i);
		spec = fixture_spec(id, "short", 1, 1);
		spec->steps[0].cpu_milli = 100;
		fixture_add_job(p, spec);
	}
	sched_place(&p->s, 20);
	g_assert_cmpuint(p->starts->len, ==, REPORTED_AT_ONCE);
	for (guint i = 0; i < REPORTED_AT_ONCE; i++)
		ends[i] = fixture_end(fixture_start(p, i), i + 1,
				      SCHED_END_FAILED);
	sched_worker_unanswered(&p->s, fixture_worker(p, "w"), 1000);
}

/* Incident LOST: a worker that was cut off reports many failures at once, which
 * must not lengthen its quarantine as if it had failed again since. */
static void test_failures_reported_at_once(void)
{
	struct sched_end ends[REPORTED_AT_ONCE];
	struct sched_fixture p;

	cut_off_failing_worker(&p, ends);
	fixture_poll(&p, "w", NULL, 0, ends, REPORTED_AT_ONCE / 2, 5000);
	fixture_poll(&p, "w", NULL, 0, ends, REPORTED_AT_ONCE, 6000);
	g_assert_cmpint(fixture_worker(&p, "w")->quarantine_until_ms, ==,
			5000 + 4000);
	fixture_close(&p);
}

/* The same if the leases had expired by then, so that the runs are unknown. */
static void test_failures_after_expiry(void)
{
	struct sched_end ends[REPORTED_AT_ONCE];
	struct sched_fixture p;

	cut_off_failing_worker(&p, ends);
	sched_tick(&p.s, 20000, 1020000);
	fixture_poll(&p, "w", NULL, 0, ends, REPORTED_AT_ONCE, 21000);
	g_assert_cmpint(fixture_worker(&p, "w")->quarantine_until_ms, ==, 0);
	fixture_close(&p);
}

/* Incident LOST: of long-running tasks that wait for room, those of the jobs
 * with the lowest ids went first again and again. */
static void test_longest_idle_first(void)
{
	struct sched_fixture p;
	struct sched_end e;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(&p, fixture_long_running("a", 8000, 1));
	fixture_add_job(&p, fixture_long_running("z", 8000, 1));
	fixture_pass_time(&p, 100, 300);
	g_assert_cmpuint(p.starts->len, ==, 1);
	g_assert_cmpstr(fixture_start(&p, 0)->ref.job, ==, "a");
	fixture_started(&p, fixture_start(&p, 0), 310);
	e = fixture_end(fixture_start(&p, 0), 1, SCHED_END_FAILED);
	fixture_poll(&p, "w", NULL, 0, &e, 1, 3000);
	fixture_pass_time(&p, 3100, 3300);
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_cmpstr(fixture_start(&p, 1)->ref.job, ==, "z");
	fixture_close(&p);
}

/* Incident LOST: a long-running task that needs a whole worker waited while
 * short tasks took each gap that others had left. */
static void test_short_tasks_leave_room(void)
{
	struct sched_fixture p;
	struct sched_active still;
	struct jobspec *spec;
	struct sched_end e;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	spec = fixture_spec("s", "short", 1, 40);
	fixture_add_job(&p, spec);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_started(&p, fixture_start(&p, 0), 30);
	fixture_started(&p, fixture_start(&p, 1), 30);
	fixture_add_job(&p, fixture_long_running("a", 8000, 1));
	e = fixture_end(fixture_start(&p, 0), 1, SCHED_END_DONE);
	still = fixture_active(fixture_start(&p, 1), 50);
	fixture_pass_time(&p, 100, 2400);
	fixture_poll(&p, "w", &still, 1, &e, 1, 2500);
	fixture_pass_time(&p, 2500, 2900);
	g_assert_cmpuint(p.starts->len, ==, 2);
	e = fixture_end(fixture_start(&p, 1), 2, SCHED_END_DONE);
	fixture_poll(&p, "w", NULL, 0, &e, 1, 3000);
	fixture_pass_time(&p, 3000, 3400);
	g_assert_cmpuint(p.starts->len, ==, 3);
	g_assert_cmpstr(fixture_start(&p, 2)->ref.job, ==, "a");
	fixture_close(&p);
}

/* Room that is reserved for a large long-running task is of use to a smaller
 * one that is idle for long, too. */
static void test_reserved_room_is_used(void)
{
	struct sched_fixture p;
	struct sched_active still;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(&p, fixture_spec("s", "short", 1, 1));
	sched_place(&p.s, 20);
	fixture_started(&p, fixture_start(&p, 0), 30);
	fixture_add_job(&p, fixture_long_running("a", 8000, 1));
	fixture_pass_time(&p, 100, 300);
	fixture_add_job(&p, fixture_long_running("z", 4000, 1));
	still = fixture_active(fixture_start(&p, 0), 50);
	for (int64_t now = 500; now < 3500; now += 500) {
		fixture_poll(&p, "w", &still, 1, NULL, 0, now);
		fixture_pass_time(&p, now, now + 400);
	}
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_cmpstr(fixture_start(&p, 1)->ref.job, ==, "z");
	fixture_close(&p);
}

/* Best-effort work uses processors that others leave, but its memory is its
 * own: it must not keep a long-running task out. */
static void test_best_effort_leaves_memory(void)
{
	struct sched_fixture p;
	struct jobspec *spec;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	spec = fixture_spec("f", "long", 1, 1);
	spec->steps[0].best_effort = true;
	spec->steps[0].checkpoints = true;
	spec->steps[0].mem_mib = 6000;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_started(&p, fixture_start(&p, 0), 30);
	spec = fixture_long_running("a", 4000, 1);
	spec->steps[0].mem_mib = 4000;
	fixture_add_job(&p, spec);
	fixture_pass_time(&p, 100, 2400);
	g_assert_cmpuint(p.stops->len, ==, 1);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
}

/* Incident LOST: a long-running task without room elsewhere runs better at a
 * quarantined worker than nowhere. Other tasks would use up their attempts. */
static void test_suspect_worker_is_used(void)
{
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "full", "r");
	fixture_add_worker(&p, "suspect", "r");
	fixture_poll(&p, "full", NULL, 0, NULL, 0, 10);
	fixture_poll(&p, "suspect", NULL, 0, NULL, 0, 10);
	fixture_worker(&p, "full")->used.cpu_milli = 8000;
	fixture_worker(&p, "full")->long_lived.cpu_milli = 8000;
	fixture_worker(&p, "suspect")->quarantine_until_ms = 60000;
	fixture_add_job(&p, fixture_spec("s", "short", 1, 1));
	fixture_add_job(&p, fixture_long_running("a", 8000, 1));
	fixture_pass_time(&p, 100, 3000);
	g_assert_cmpuint(p.starts->len, ==, 1);
	g_assert_cmpstr(fixture_start(&p, 0)->ref.job, ==, "a");
	g_assert_cmpstr(fixture_start(&p, 0)->worker, ==, "suspect");
	fixture_worker(&p, "full")->used.cpu_milli = 0;
	fixture_worker(&p, "full")->long_lived.cpu_milli = 0;
	fixture_close(&p);
}

/* A worker that refuses starts is left alone for a while by them, too. */
static void test_refusing_worker_rests(void)
{
	struct sched_fixture p;
	guint before;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(&p, fixture_long_running("a", 8000, 1));
	fixture_pass_time(&p, 100, 100);
	g_assert_cmpuint(p.starts->len, ==, 1);
	for (int64_t now = 200; now < 10000; now += 100) {
		before = p.starts->len;
		sched_start_answered(&p.s, &fixture_start(&p, before - 1)->ref,
				     "w", SCHED_START_UNHEALTHY, now);
		fixture_pass_time(&p, now, now);
	}
	g_assert_cmpuint(p.starts->len, <=, 8);
	fixture_close(&p);
}

/* Tasks of a long-running step don't fit: the second one can't find what the
 * first one didn't. */
static void test_cost_of_many_idle(void)
{
	struct sched_fixture p;
	char id[16];

	fixture_open(&p, 1, NULL);
	for (int i = 0; i < 350; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		fixture_add_worker(&p, id, "r");
		fixture_poll(&p, id, NULL, 0, NULL, 0, 10);
		fixture_worker(&p, id)->used.cpu_milli = 8000;
		fixture_worker(&p, id)->long_lived.cpu_milli = 8000;
	}
	fixture_add_job(&p, fixture_long_running("a", 4000, 5000));
	sched_place(&p.s, 100);
	for (int i = 0; i < 350; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		fixture_worker(&p, id)->used.cpu_milli = 0;
		fixture_worker(&p, id)->long_lived.cpu_milli = 0;
	}
	g_test_message("work %" G_GINT64_FORMAT, p.s.pass_work);
	g_assert_cmpint(p.s.pass_work, <, 10000);
	fixture_close(&p);
}

void unit_add_wait(void)
{
	g_test_add_func("/sched/cost-of-many-idle", test_cost_of_many_idle);
	g_test_add_func("/sched/suspect-worker-is-used",
			test_suspect_worker_is_used);
	g_test_add_func("/sched/refusing-worker-rests",
			test_refusing_worker_rests);
	g_test_add_func("/sched/short-tasks-leave-room",
			test_short_tasks_leave_room);
	g_test_add_func("/sched/reserved-room-is-used",
			test_reserved_room_is_used);
	g_test_add_func("/sched/best-effort-leaves-memory",
			test_best_effort_leaves_memory);
	g_test_add_func("/sched/longest-idle-first", test_longest_idle_first);
	g_test_add_func("/sched/failures-reported-at-once",
			test_failures_reported_at_once);
	g_test_add_func("/sched/failures-after-expiry",
			test_failures_after_expiry);
	g_test_add_func("/sched/wait-is-logged", test_wait_is_logged);
}
