/* Tests how room is made for tasks that fit nowhere, so that none is passed
 * over for ever. */
#include <glib.h>
#include <string.h>

#include "tests/sched_sim.h"
#include "tests/unit.h"

/* Returns the number of starts of the job's tasks. */
static int count_starts(const struct sched_fixture *p, const char *job)
{
	int n = 0;

	for (guint i = 0; i < p->starts->len; i++)
		n += !strcmp(fixture_start(p, i)->ref.job, job);
	return n;
}

/* Adds a job of one step whose tasks are idle for long, so that they may
 * reserve room. */
static void add_overdue(struct sched_fixture *p, struct jobspec *spec)
{
	struct sched_step *step = fixture_add_job(p, spec)->rounds->steps;

	for (int32_t k = 0; k < step->def->tasks; k++)
		step->tasks[k].idle_since_ms = -3000;
}

/* Adds a worker that is full of short tasks, and a long-running one that needs
 * a whole worker. Checks that it starts, and closes the simulation. */
static void check_waits_at_quick(struct sim *m)
{
	struct jobspec *spec;

	sim_add(m, "quick");
	/* Makes the others end by turns. */
	spec = fixture_spec("t", "short", 1, 1);
	spec->steps[0].expected_ms = 500;
	g_strlcpy(spec->steps[0].label, "quick", sizeof(spec->steps[0].label));
	fixture_add_job(&m->p, spec);
	spec = fixture_spec("s", "short", 1, 200);
	g_strlcpy(spec->steps[0].label, "quick", sizeof(spec->steps[0].label));
	fixture_add_job(&m->p, spec);
	sim_run(m, 400, 3000);
	fixture_add_job(&m->p, fixture_long_running("a", 8000, 1));
	sim_run(m, 3100, 30000);
	g_assert_cmpint(count_starts(&m->p, "a"), ==, 1);
	fixture_close(&m->p);
	g_free(m);
}

/* Room is reserved where little is missing, though it is held by a task that
 * runs for an hour; elsewhere room would be free within a second. */
static void test_reserved_beside_hour_long(void)
{
	struct sim *m = g_new0(struct sim, 1);
	struct jobspec *spec;

	fixture_open(&m->p, 1, NULL);
	sim_add(m, "hour");
	spec = fixture_spec("hour", "short", 1, 1);
	spec->steps[0].cpu_milli = 1000;
	spec->steps[0].expected_ms = 3600000;
	fixture_add_job(&m->p, spec);
	sim_run(m, 100, 300);
	check_waits_at_quick(m);
}

/* The same where memory is missing at a worker with idle processors. */
static void test_reserved_beside_memory_hog(void)
{
	struct sim *m = g_new0(struct sim, 1);
	struct jobspec *spec;

	fixture_open(&m->p, 1, NULL);
	sim_add(m, "hog");
	spec = fixture_spec("hog", "long", 1, 1);
	spec->steps[0].best_effort = true;
	spec->steps[0].mem_mib = 7950;
	spec->steps[0].expected_ms = 3600000;
	fixture_add_job(&m->p, spec);
	sim_run(m, 100, 300);
	check_waits_at_quick(m);
}

/* A step that needs tickets asks only for workers with room, and room is
 * reserved only at workers with tickets. */
static void test_policy_step_reserves(void)
{
	struct sim *m = g_new0(struct sim, 1);
	struct jobspec *spec;

	fixture_open(&m->p, 1, NULL);
	sim_add(m, "w");
	spec = fixture_spec("s", "short", 1, 200);
	fixture_add_job(&m->p, spec);
	spec = fixture_spec("t", "short", 1, 1);
	spec->steps[0].expected_ms = 500;
	spec->steps[0].cpu_milli = 4000;
	fixture_add_job(&m->p, spec);
	sim_run(m, 100, 3000);
	spec = fixture_long_running("a", 8000, 1);
	g_strlcpy(spec->queue, "ruled", sizeof(spec->queue));
	fixture_add_job(&m->p, spec);
	sim_run(m, 3100, 12000);
	g_assert_cmpint(m->p.advised, >, 0);
	fixture_close(&m->p);
	g_free(m);
}

/* An overdue step whose only room is reserved asks for tickets there. */
static void test_overdue_policy_step_asks(void)
{
	struct sched_fixture p;
	struct sched_active still;
	struct jobspec *spec;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(&p, fixture_spec("s", "short", 1, 1));
	sched_place(&p.s, 20);
	fixture_started(&p, fixture_start(&p, 0), 30);
	fixture_add_job(&p, fixture_long_running("a", 8000, 1));
	fixture_pass_time(&p, 100, 300);
	spec = fixture_long_running("z", 4000, 1);
	g_strlcpy(spec->queue, "ruled", sizeof(spec->queue));
	fixture_add_job(&p, spec);
	still = fixture_active(fixture_start(&p, 0), 50);
	for (int64_t now = 500; now < 9000; now += 500) {
		still.percent++;
		fixture_poll(&p, "w", &still, 1, NULL, 0, now);
		fixture_pass_time(&p, now, now + 400);
	}
	g_assert_cmpint(p.advised, >, 0);
	fixture_close(&p);
}

/* A gang that lasts waits for two whole gaps at the same time. */
static void test_gang_finds_room(void)
{
	struct sim *m = g_new0(struct sim, 1);
	struct jobspec *spec;

	fixture_open(&m->p, 1, NULL);
	sim_add(m, "w");
	spec = fixture_spec("t", "short", 1, 1);
	spec->steps[0].expected_ms = 500;
	fixture_add_job(&m->p, spec);
	fixture_add_job(&m->p, fixture_spec("s", "short", 1, 200));
	sim_run(m, 100, 3000);
	spec = fixture_long_running("a", 4000, 2);
	spec->steps[0].gang = true;
	fixture_add_job(&m->p, spec);
	sim_run(m, 3100, 30000);
	g_assert_cmpint(count_starts(&m->p, "a"), ==, 2);
	fixture_close(&m->p);
	g_free(m);
}

/* One worker of two is quarantined: the gang fits only if both are used. */
static void test_gang_with_suspect(void)
{
	struct sched_fixture p;
	struct jobspec *spec;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "sound", "r");
	fixture_add_worker(&p, "suspect", "r");
	fixture_poll(&p, "sound", NULL, 0, NULL, 0, 10);
	fixture_poll(&p, "suspect", NULL, 0, NULL, 0, 10);
	fixture_worker(&p, "suspect")->quarantine_until_ms = 60000;
	spec = fixture_long_running("a", 8000, 2);
	spec->steps[0].gang = true;
	fixture_add_job(&p, spec);
	fixture_pass_time(&p, 100, 4000);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_close(&p);
}

/* The tasks of a step reserve room at one worker that takes but one of them. */
static void test_spread_tasks_reserve_apart(void)
{
	struct sched_fixture p;
	struct jobspec *spec;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "v", "r");
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "v", NULL, 0, NULL, 0, 10);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	/* v lacks memory, w processors. */
	fixture_worker(&p, "v")->used.mem_mib = 7950;
	fixture_worker(&p, "w")->used.cpu_milli = 8000;
	spec = fixture_long_running("a", 3000, 2);
	spec->steps[0].spread_max = 1;
	add_overdue(&p, spec);
	fixture_pass_time(&p, 100, 200);
	g_assert_cmpint(fixture_worker(&p, "v")->reserved.cpu_milli, ==, 3000);
	g_assert_cmpint(fixture_worker(&p, "w")->reserved.cpu_milli, ==, 3000);
	fixture_worker(&p, "v")->used.mem_mib = 0;
	fixture_worker(&p, "w")->used.cpu_milli = 0;
	fixture_close(&p);
}

/* Best-effort work that lasts takes no processors of its own: it must not keep
 * any free, nor evict others for them. */
static void test_best_effort_reserves_no_cpu(void)
{
	struct sched_fixture p;
	struct jobspec *spec;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	spec = fixture_spec("s", "long", 1, 2);
	spec->steps[0].checkpoints = true;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_started(&p, fixture_start(&p, 0), 30);
	fixture_started(&p, fixture_start(&p, 1), 30);
	spec = fixture_long_running("f", 4000, 1);
	spec->steps[0].best_effort = true;
	add_overdue(&p, spec);
	fixture_pass_time(&p, 100, 300);
	g_assert_cmpuint(p.stops->len, ==, 0);
	g_assert_cmpint(fixture_worker(&p, "w")->reserved.cpu_milli, ==, 0);
	fixture_close(&p);
}

/* Room that is reserved is no room for others: to make some for an urgent
 * task, work of lower priority has to go elsewhere. */
static void test_eviction_ignores_reserved_room(void)
{
	struct sched_fixture p;
	struct jobspec *spec;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "half", "r");
	fixture_add_worker(&p, "low", "r");
	fixture_poll(&p, "half", NULL, 0, NULL, 0, 10);
	fixture_poll(&p, "low", NULL, 0, NULL, 0, 10);
	spec = fixture_spec("l", "long", 1, 3);
	spec->steps[0].checkpoints = true;
	spec->steps[0].cpu_milli = 3900;
	fixture_worker(&p, "half")->used.cpu_milli = 4050;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 20);
	/* Two at `low`, one at `half`; the one at `half` makes way. */
	g_assert_cmpuint(p.starts->len, ==, 3);
	for (guint i = 0; i < 3; i++)
		fixture_started(&p, fixture_start(&p, i), 30);
	fixture_worker(&p, "half")->used.cpu_milli = 4000;
	for (guint i = 0; i < 3; i++) {
		if (!strcmp(fixture_start(&p, i)->worker, "half")) {
			struct sched_end e = fixture_end(fixture_start(&p, i),
							 1, SCHED_END_DONE);

			fixture_worker(&p, "half")->used.cpu_milli += 3900;
			fixture_poll(&p, "half", NULL, 0, &e, 1, 40);
		}
	}
	/* Half of `half` is free now and kept for this one. */
	g_assert_cmpint(fixture_worker(&p, "half")->used.cpu_milli, ==, 4000);
	fixture_worker(&p, "low")->long_lived.cpu_milli = 1000;
	add_overdue(&p, fixture_long_running("a", 8000, 1));
	fixture_add_job(&p, fixture_spec("u", "short", 1, 1));
	fixture_pass_time(&p, 100, 1500);
	g_assert_cmpint(fixture_worker(&p, "half")->reserved.cpu_milli, ==,
			8000);
	g_assert_cmpuint(p.starts->len, ==, 3);
	g_assert_cmpuint(p.stops->len, >, 0);
	fixture_worker(&p, "half")->used.cpu_milli = 0;
	fixture_worker(&p, "low")->long_lived.cpu_milli = 0;
	fixture_close(&p);
}

/* A stop under way frees enough: nothing else is evicted for the same room. */
static void test_stop_under_way_counts(void)
{
	struct sched_fixture p;
	struct jobspec *spec;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	spec = fixture_spec("b", "long", 1, 1);
	spec->steps[0].checkpoints = true;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 20);
	spec = fixture_spec("c", "long", 1, 1);
	spec->steps[0].checkpoints = true;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 21);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_started(&p, fixture_start(&p, 0), 30);
	fixture_started(&p, fixture_start(&p, 1), 30);
	/* Job b, the older run, is being stopped. */
	sched_job_cancel(&p.s, "b", 40, 1000040);
	g_assert_cmpuint(p.stops->len, ==, 1);
	add_overdue(&p, fixture_long_running("a", 4000, 1));
	fixture_pass_time(&p, 100, 200);
	g_assert_cmpuint(p.stops->len, ==, 1);
	fixture_close(&p);
}

/* Work is not stopped for room that a task without checkpoints keeps out of
 * use, anyway. */
static void test_no_eviction_in_vain(void)
{
	struct sched_fixture p;
	struct jobspec *spec;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	spec = fixture_spec("h", "long", 1, 1);
	spec->steps[0].expected_ms = 3600000;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 20);
	spec = fixture_spec("l", "long", 1, 1);
	spec->steps[0].checkpoints = true;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 21);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_started(&p, fixture_start(&p, 0), 30);
	fixture_started(&p, fixture_start(&p, 1), 30);
	add_overdue(&p, fixture_long_running("a", 8000, 1));
	fixture_pass_time(&p, 100, 200);
	g_assert_cmpuint(p.stops->len, ==, 0);
	fixture_close(&p);
}

/* Accelerators are freed like processors. */
static void test_accelerators_are_freed(void)
{
	struct sched_fixture p;
	struct jobspec *spec;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_worker(&p, "w")->row.total.accelerators = 4;
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	spec = fixture_spec("l", "long", 1, 4);
	spec->steps[0].checkpoints = true;
	spec->steps[0].cpu_milli = 100;
	spec->steps[0].accelerators = 1;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 4);
	for (guint i = 0; i < 4; i++)
		fixture_started(&p, fixture_start(&p, i), 30);
	spec = fixture_long_running("a", 100, 1);
	spec->steps[0].accelerators = 4;
	add_overdue(&p, spec);
	fixture_pass_time(&p, 100, 200);
	g_assert_cmpuint(p.stops->len, ==, 4);
	fixture_close(&p);
}

/* Evacuation ends only as many tasks as find room elsewhere. */
static void test_evacuation_counts_room_once(void)
{
	struct sched_fixture p;
	struct sched_active a[2];

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "from", "r");
	fixture_poll(&p, "from", NULL, 0, NULL, 0, 10);
	fixture_add_job(&p, fixture_long_running("a", 4000, 2));
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 2);
	for (guint i = 0; i < 2; i++) {
		fixture_started(&p, fixture_start(&p, i), 30);
		a[i] = fixture_active(fixture_start(&p, i), 100);
	}
	fixture_poll(&p, "from", a, 2, NULL, 0, 50);
	fixture_add_worker(&p, "to", "r");
	fixture_poll(&p, "to", NULL, 0, NULL, 0, 60);
	fixture_worker(&p, "to")->used.cpu_milli = 4000;
	fixture_worker(&p, "from")->evacuating = true;
	sched_tick(&p.s, 100, 1000100);
	g_assert_cmpuint(p.stops->len, ==, 1);
	fixture_worker(&p, "to")->used.cpu_milli = 0;
	fixture_close(&p);
}

/* A long-running task with data in a rack that is full or gone. */
static void test_data_rack_is_left(void)
{
	struct sched_fixture p;
	struct jobspec *spec;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	spec = fixture_long_running("a", 4000, 1);
	spec->steps[0].expected_ms = 60000;
	g_strlcpy(spec->steps[0].data_rack, "other",
		  sizeof(spec->steps[0].data_rack));
	fixture_add_job(&p, spec);
	fixture_pass_time(&p, 100, 10000);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
}

/* An overdue task is started at a reserved place, then its VM is evacuated: the
 * room that is reserved elsewhere is none for it. */
static void test_reserved_right_ends_with_start(void)
{
	struct sched_fixture p;
	struct sched_active a;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_worker(&p, "w")->used.cpu_milli = 8000;
	fixture_add_job(&p, fixture_long_running("z", 4000, 1));
	fixture_pass_time(&p, 100, 2900);
	fixture_worker(&p, "w")->used.cpu_milli = 0;
	fixture_pass_time(&p, 3000, 3000);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_started(&p, fixture_start(&p, 0), 3010);
	a = fixture_active(fixture_start(&p, 0), 100);
	fixture_poll(&p, "w", &a, 1, NULL, 0, 3050);
	fixture_add_worker(&p, "v", "r");
	fixture_poll(&p, "v", NULL, 0, NULL, 0, 3060);
	fixture_worker(&p, "v")->reserved.cpu_milli = 8000;
	fixture_worker(&p, "w")->evacuating = true;
	sched_tick(&p.s, 3100, 1003100);
	g_assert_cmpuint(p.stops->len, ==, 0);
	fixture_close(&p);
}

/* A gang that can't be complete keeps no room from others. */
static void test_hopeless_gang(void)
{
	struct sim *m = g_new0(struct sim, 1);
	struct jobspec *spec = fixture_long_running("a", 8000, 3);

	fixture_open(&m->p, 1, NULL);
	sim_add(m, "w");
	sim_add(m, "v");
	spec->steps[0].gang = true;
	fixture_add_job(&m->p, spec);
	sim_run(m, 100, 4000);
	fixture_add_job(&m->p, fixture_spec("s", "short", 1, 1));
	sim_run(m, 4100, 7000);
	g_assert_cmpint(count_starts(&m->p, "a"), ==, 0);
	g_assert_cmpint(count_starts(&m->p, "s"), ==, 1);
	fixture_close(&m->p);
	g_free(m);
}

void unit_add_reserve(void)
{
	g_test_add_func("/sched/hopeless-gang", test_hopeless_gang);
	g_test_add_func("/sched/reserved-beside-hour-long",
			test_reserved_beside_hour_long);
	g_test_add_func("/sched/reserved-beside-memory-hog",
			test_reserved_beside_memory_hog);
	g_test_add_func("/sched/policy-step-reserves",
			test_policy_step_reserves);
	g_test_add_func("/sched/overdue-policy-step-asks",
			test_overdue_policy_step_asks);
	g_test_add_func("/sched/gang-finds-room", test_gang_finds_room);
	g_test_add_func("/sched/gang-with-suspect", test_gang_with_suspect);
	g_test_add_func("/sched/spread-tasks-reserve-apart",
			test_spread_tasks_reserve_apart);
	g_test_add_func("/sched/best-effort-reserves-no-cpu",
			test_best_effort_reserves_no_cpu);
	g_test_add_func("/sched/eviction-ignores-reserved-room",
			test_eviction_ignores_reserved_room);
	g_test_add_func("/sched/stop-under-way-counts",
			test_stop_under_way_counts);
	g_test_add_func("/sched/no-eviction-in-vain", test_no_eviction_in_vain);
	g_test_add_func("/sched/accelerators-are-freed",
			test_accelerators_are_freed);
	g_test_add_func("/sched/evacuation-counts-room-once",
			test_evacuation_counts_room_once);
	g_test_add_func("/sched/data-rack-is-left", test_data_rack_is_left);
	g_test_add_func("/sched/reserved-right-ends-with-start",
			test_reserved_right_ends_with_start);
}
