/* Workers whose capacity shrinks and grows again while they run tasks. */
#include <glib.h>
#include <string.h>

#include "tests/sched_fixture.h"
#include "tests/unit.h"

/* The worker's entry shows another capacity. */
static void resize(struct sched_fixture *p, const char *id, int64_t cpu_milli,
		   int64_t mem_mib, int64_t now_ms)
{
	struct sched_worker_row row = fixture_worker(p, id)->row;

	row.total.cpu_milli = cpu_milli;
	row.total.mem_mib = mem_mib;
	sched_worker_listed(&p->s, &row, now_ms);
}

static void open_with_worker(struct sched_fixture *p)
{
	fixture_open(p, 1, NULL);
	fixture_add_worker(p, "w", "r");
	fixture_poll(p, "w", NULL, 0, NULL, 0, 10);
}

/* Nothing starts beyond the capacity, and what runs beyond it may end. */
static void test_runs_stay(void)
{
	struct sched_fixture p;
	struct sched_active a[2];
	struct sched_end e;

	open_with_worker(&p);
	fixture_add_job(&p, fixture_spec("a", "short", 1, 4));
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 2);
	for (guint i = 0; i < 2; i++) {
		a[i] = fixture_active(fixture_start(&p, i), 10);
		fixture_started(&p, fixture_start(&p, i), 25);
	}
	resize(&p, "w", 4000, 8000, 30);
	fixture_poll(&p, "w", a, 2, NULL, 0, 40);
	sched_tick(&p.s, 50, 1000050);
	sched_place(&p.s, 50);
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_cmpuint(p.stops->len, ==, 0);
	e = fixture_end(fixture_start(&p, 0), 1, SCHED_END_DONE);
	fixture_poll(&p, "w", &a[1], 1, &e, 1, 60);
	sched_place(&p.s, 70);
	g_assert_cmpuint(p.starts->len, ==, 2);
	e = fixture_end(fixture_start(&p, 1), 2, SCHED_END_DONE);
	fixture_poll(&p, "w", NULL, 0, &e, 1, 80);
	sched_place(&p.s, 90);
	g_assert_cmpuint(p.starts->len, ==, 3);
	fixture_close(&p);
}

/* The capacity that is back is used by the next pass. */
static void test_growth_used(void)
{
	struct sched_fixture p;

	open_with_worker(&p);
	resize(&p, "w", 0, 8000, 15);
	fixture_add_job(&p, fixture_spec("a", "short", 1, 2));
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 0);
	resize(&p, "w", 8000, 50, 30);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 0);
	resize(&p, "w", 8000, 8000, 50);
	sched_place(&p.s, 60);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_close(&p);
}

/* A start that was sent counts until it is known to have failed. */
static void test_start_under_way(void)
{
	struct sched_fixture p;

	open_with_worker(&p);
	fixture_add_job(&p, fixture_spec("a", "short", 1, 3));
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 2);
	resize(&p, "w", 4000, 8000, 30);
	sched_start_answered(&p.s, &fixture_start(&p, 0)->ref, "w",
			     SCHED_START_UNKNOWN, 40);
	sched_start_answered(&p.s, &fixture_start(&p, 1)->ref, "w",
			     SCHED_START_NO_ROOM, 40);
	sched_place(&p.s, 500);
	g_assert_cmpuint(p.starts->len, ==, 2);
	/* A report under the next fence token doesn't list the run. */
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 600);
	sched_place(&p.s, 610);
	g_assert_cmpuint(p.starts->len, ==, 3);
	fixture_close(&p);
}

/* Best-effort tasks use what others leave: nothing, where more is taken than
 * there is. */
static void test_best_effort_waits(void)
{
	struct sched_fixture p;
	struct jobspec *batch = fixture_spec("b", "long", 1, 1);
	struct sched_end e[2];

	open_with_worker(&p);
	fixture_add_job(&p, fixture_spec("a", "short", 1, 2));
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 2);
	for (guint i = 0; i < 2; i++) {
		fixture_started(&p, fixture_start(&p, i), 25);
		e[i] = fixture_end(fixture_start(&p, i), i + 1, SCHED_END_DONE);
	}
	resize(&p, "w", 7000, 8000, 30);
	batch->steps[0].best_effort = true;
	batch->steps[0].cpu_milli = 500;
	fixture_add_job(&p, batch);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_poll(&p, "w", NULL, 0, e, 2, 50);
	sched_place(&p.s, 60);
	g_assert_cmpuint(p.starts->len, ==, 3);
	fixture_close(&p);
}

/* Best-effort tasks that run beside serving ones pause, and go on once the
 * capacity is back. */
static void test_best_effort_pauses(void)
{
	struct sched_fixture p;
	struct jobspec *serving = fixture_spec("a", "short", 1, 1);
	struct jobspec *batch = fixture_spec("b", "long", 1, 1);
	struct sched_active a[2];

	open_with_worker(&p);
	serving->steps[0].tail_goal_ms = 100;
	serving->steps[0].is_long_running = true;
	g_strlcpy(serving->steps[0].image, "s", JOBSPEC_NAME_MAX);
	batch->steps[0].best_effort = true;
	batch->steps[0].cpu_milli = 500;
	fixture_add_job(&p, serving);
	fixture_add_job(&p, batch);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 2);
	for (guint i = 0; i < 2; i++) {
		a[i] = fixture_active(fixture_start(&p, i), 10);
		a[i].gauge = 20;
		fixture_started(&p, fixture_start(&p, i), 25);
	}
	fixture_poll(&p, "w", a, 2, NULL, 0, 1040);
	g_assert_cmpint(fixture_worker(&p, "w")->best_effort_milli, ==, 500);
	resize(&p, "w", 1000, 8000, 1050);
	fixture_poll(&p, "w", a, 2, NULL, 0, 2040);
	g_assert_cmpint(fixture_worker(&p, "w")->best_effort_milli, ==, 0);
	g_assert_cmpuint(p.stops->len, ==, 0);
	resize(&p, "w", 8000, 8000, 2050);
	fixture_poll(&p, "w", a, 2, NULL, 0, 3040);
	g_assert_cmpint(fixture_worker(&p, "w")->best_effort_milli, ==, 500);
	fixture_close(&p);
}

/* Room for a long-running task isn't reserved where it won't fit. */
static void test_not_reserved(void)
{
	struct sched_fixture p;
	struct jobspec *lasting = fixture_spec("b", "short", 1, 1);
	struct jobspec *fill = fixture_spec("a", "long", 1, 4);

	open_with_worker(&p);
	fixture_add_worker(&p, "v", "r");
	fixture_poll(&p, "v", NULL, 0, NULL, 0, 10);
	fill->steps[0].checkpoints = true;
	fixture_add_job(&p, fill);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 4);
	for (guint i = 0; i < 4; i++)
		fixture_started(&p, fixture_start(&p, i), 25);
	resize(&p, "w", 3000, 8000, 30);
	lasting->steps[0].is_long_running = true;
	fixture_add_job(&p, lasting);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 4);
	g_assert_cmpuint(p.stops->len, ==, 1);
	g_assert_cmpstr(
		g_array_index(p.stops, struct recorded_command, 0).worker, ==,
		"v");
	fixture_close(&p);
}

/* Tasks that belong in one rack stay in one, also when each rack has a worker
 * that runs more than its capacity. */
static void test_one_rack(void)
{
	static const char *const racks[] = { "r", "s" };
	struct sched_fixture p;
	struct jobspec *spec = fixture_spec("b", "short", 1, 2);
	char id[8];

	fixture_open(&p, 1, NULL);
	for (int i = 0; i < 4; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		fixture_add_worker(&p, id, racks[i % 2]);
		fixture_poll(&p, id, NULL, 0, NULL, 0, 10);
	}
	resize(&p, "w2", 0, 0, 15);
	resize(&p, "w3", 0, 0, 15);
	fixture_add_job(&p, fixture_spec("a", "short", 1, 4));
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 4);
	resize(&p, "w0", 0, 8000, 30);
	resize(&p, "w1", 0, 8000, 30);
	resize(&p, "w2", 4000, 8000, 30);
	resize(&p, "w3", 4000, 8000, 30);
	spec->steps[0].one_rack = true;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 5);
	fixture_close(&p);
}

/* An urgent task is made room for, though most free CPU is at a worker that has
 * no memory for it. */
static void test_evicts_elsewhere(void)
{
	struct sched_fixture p;
	struct jobspec *low = fixture_spec("a", "long", 1, 2);

	open_with_worker(&p);
	low->steps[0].checkpoints = true;
	fixture_add_job(&p, low);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 2);
	for (guint i = 0; i < 2; i++)
		fixture_started(&p, fixture_start(&p, i), 25);
	fixture_add_worker(&p, "v", "r");
	fixture_poll(&p, "v", NULL, 0, NULL, 0, 30);
	resize(&p, "v", 8000, 50, 35);
	fixture_add_job(&p, fixture_spec("b", "short", 1, 1));
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.stops->len, ==, 1);
	fixture_close(&p);
}

/* Nothing is evicted where the task won't fit in any case. */
static void test_evicts_not_in_vain(void)
{
	struct sched_fixture p;
	struct jobspec *low = fixture_spec("a", "long", 1, 2);

	open_with_worker(&p);
	low->steps[0].checkpoints = true;
	fixture_add_job(&p, low);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 2);
	for (guint i = 0; i < 2; i++)
		fixture_started(&p, fixture_start(&p, i), 25);
	resize(&p, "w", 8000, 50, 30);
	fixture_add_job(&p, fixture_spec("b", "short", 1, 1));
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.stops->len, ==, 0);
	fixture_close(&p);
}

void unit_add_shrink(void)
{
	g_test_add_func("/sched/shrunk-runs-stay", test_runs_stay);
	g_test_add_func("/sched/grown-is-used", test_growth_used);
	g_test_add_func("/sched/shrunk-start-under-way", test_start_under_way);
	g_test_add_func("/sched/shrunk-best-effort-waits",
			test_best_effort_waits);
	g_test_add_func("/sched/shrunk-best-effort-pauses",
			test_best_effort_pauses);
	g_test_add_func("/sched/shrunk-not-reserved", test_not_reserved);
	g_test_add_func("/sched/shrunk-one-rack", test_one_rack);
	g_test_add_func("/sched/shrunk-evicts-elsewhere",
			test_evicts_elsewhere);
	g_test_add_func("/sched/shrunk-evicts-not-in-vain",
			test_evicts_not_in_vain);
}
