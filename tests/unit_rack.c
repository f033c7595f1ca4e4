/* Tests which rack a step waits for or starts in, and for how long it waits. */
#include <glib.h>
#include <string.h>

#include "tests/sched_fixture.h"
#include "tests/unit.h"

/* The users' bound on the time in which a job has nothing running while there
 * is room for it. */
#define WAIT_MAX_MS 3000
#define CORE 1000
#define WORKER_MILLI (8 * CORE)

/* Adds `n` workers of the rack, named by its name and a letter, of whose CPU
 * other work takes a part for good. */
static void add_rack(struct sched_fixture *p, const char *rack, int n,
		     int64_t used_milli)
{
	char id[16];

	for (int i = 0; i < n; i++) {
		g_snprintf(id, sizeof(id), "%s%c", rack, 'a' + i);
		fixture_add_worker(p, id, rack);
		fixture_poll(p, id, NULL, 0, NULL, 0, 10);
		fixture_worker(p, id)->used.cpu_milli = used_milli;
	}
}

static struct jobspec *colocated(const char *queue, int64_t cpu_milli,
				 int32_t tasks)
{
	struct jobspec *spec = fixture_spec("a", queue, 1, tasks);

	spec->steps[0].one_rack = true;
	spec->steps[0].cpu_milli = cpu_milli;
	return spec;
}

static const char *rack_of(struct sched_fixture *p, guint start)
{
	return fixture_worker(p, fixture_start(p, start)->worker)->row.rack;
}

/* Review, case 4: a step waited for ever for the rack with most free CPU in
 * all, though no task fits at any worker there. */
static void test_room_for_a_task(void)
{
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	add_rack(&p, "r1", 2, 0);
	add_rack(&p, "r2", 8, 5 * CORE);
	fixture_add_job(&p, colocated("short", 4 * CORE, 2));
	sched_place(&p.s, 100);
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_cmpstr(rack_of(&p, 0), ==, "r1");
	g_assert_cmpstr(rack_of(&p, 1), ==, "r1");
	fixture_close(&p);
}

/* The same where memory is missing, and where fewer tasks fit. */
static void test_rack_that_holds_most(void)
{
	struct sched_fixture p;
	struct jobspec *spec = colocated("short", CORE, 4);

	fixture_open(&p, 1, NULL);
	add_rack(&p, "r1", 2, 4 * CORE);
	add_rack(&p, "r2", 3, 0);
	add_rack(&p, "r3", 3, 0);
	fixture_worker(&p, "r2a")->used.mem_mib = 8000;
	fixture_worker(&p, "r2b")->used.mem_mib = 8000;
	fixture_worker(&p, "r2c")->used.mem_mib = 8000;
	fixture_worker(&p, "r3b")->used.mem_mib = 8000;
	fixture_worker(&p, "r3c")->used.mem_mib = 8000;
	spec->steps[0].mem_mib = 3000;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 100);
	g_assert_cmpuint(p.starts->len, ==, 4);
	for (guint i = 0; i < 4; i++)
		g_assert_cmpstr(rack_of(&p, i), ==, "r1");
	fixture_close(&p);
}

/* A gang that no rack holds starts in several, after a while. */
static void test_gang_in_several_racks(void)
{
	struct sched_fixture p;
	struct jobspec *spec = colocated("short", 8 * CORE, 3);

	fixture_open(&p, 1, NULL);
	add_rack(&p, "r1", 2, 0);
	add_rack(&p, "r2", 2, 0);
	add_rack(&p, "r3", 2, 0);
	spec->steps[0].gang = true;
	spec->steps[0].expected_ms = 30000;
	fixture_add_job(&p, spec);
	fixture_pass_time(&p, 100, 1000);
	g_assert_cmpuint(p.starts->len, ==, 0);
	fixture_pass_time(&p, 1100, WAIT_MAX_MS);
	g_assert_cmpuint(p.starts->len, ==, 3);
	fixture_close(&p);
}

/* A rack that no worker is in, or none that could hold a task, is not waited
 * for. */
static void test_impossible_data_rack(void)
{
	static const char *const racks[] = { "nowhere", "r2" };
	struct sched_fixture p;

	for (guint i = 0; i < G_N_ELEMENTS(racks); i++) {
		struct jobspec *spec = fixture_spec("a", "short", 1, 1);

		fixture_open(&p, 1, NULL);
		add_rack(&p, "r1", 1, 0);
		add_rack(&p, "r2", 1, 0);
		fixture_worker(&p, "r2a")->row.total.cpu_milli = CORE;
		spec->steps[0].expected_ms = 30000;
		g_strlcpy(spec->steps[0].data_rack, racks[i],
			  sizeof(spec->steps[0].data_rack));
		fixture_add_job(&p, spec);
		sched_place(&p.s, 100);
		g_assert_cmpuint(p.starts->len, ==, 1);
		fixture_close(&p);
	}
}

static struct jobspec *with_data(const char *rack, int32_t tasks)
{
	struct jobspec *spec = fixture_spec("a", "short", 1, tasks);

	spec->steps[0].expected_ms = 30000;
	g_strlcpy(spec->steps[0].data_rack, rack,
		  sizeof(spec->steps[0].data_rack));
	return spec;
}

/* A job of which nothing runs doesn't wait for a full rack beside idle ones. */
static void test_full_data_rack(void)
{
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	add_rack(&p, "r1", 1, WORKER_MILLI);
	add_rack(&p, "r2", 3, 0);
	fixture_add_job(&p, with_data("r1", 1));
	fixture_pass_time(&p, 100, 1000);
	g_assert_cmpuint(p.starts->len, ==, 0);
	fixture_pass_time(&p, 1100, WAIT_MAX_MS);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
}

/* It does while workers are in use: a task takes their room for longer then. */
static void test_full_data_rack_under_load(void)
{
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	add_rack(&p, "r1", 1, WORKER_MILLI);
	add_rack(&p, "r2", 3, 4 * CORE);
	fixture_add_job(&p, with_data("r1", 1));
	fixture_pass_time(&p, 100, 30000);
	g_assert_cmpuint(p.starts->len, ==, 0);
	/* Twice the estimate, the time that it takes longer elsewhere. */
	fixture_pass_time(&p, 30100, 61000);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
}

/* A rack all of whose workers are denied by the policy is left for others. */
static bool allows_r1(const struct sched_incarnation *worker, void *priv)
{
	(void)priv;
	return g_str_has_prefix(worker->id, "r1");
}

static void test_denied_rack(void)
{
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	add_rack(&p, "r1", 1, 0);
	add_rack(&p, "r2", 8, 0);
	fixture_add_job(&p, colocated("ruled", 4 * CORE, 2));
	for (guint i = 0; i < 4; i++) {
		int64_t now = 100 + 100 * (int64_t)i;

		sched_place(&p.s, now);
		if (i < p.questions->len)
			fixture_answer(&p,
				       &g_array_index(p.questions,
						      struct recorded_question,
						      i),
				       allows_r1, NULL, 30000, now + 50);
	}
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_cmpstr(rack_of(&p, 0), ==, "r1");
	fixture_close(&p);
}

/* A long-running task doesn't wait for the rack of the others, however long it
 * would be slower elsewhere. */
static void test_overdue_leaves_rack(void)
{
	struct sched_fixture p;
	struct jobspec *spec = colocated("short", 8 * CORE, 2);

	fixture_open(&p, 1, NULL);
	add_rack(&p, "r1", 1, 0);
	add_rack(&p, "r2", 1, 0);
	spec->steps[0].is_long_running = true;
	spec->steps[0].expected_ms = 30000;
	fixture_add_job(&p, spec);
	fixture_pass_time(&p, 100, 300);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_pass_time(&p, 400, WAIT_MAX_MS);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_close(&p);
}

/* Other steps wait where they run for as long as a task is slower elsewhere,
 * and the log says so. */
static void test_waits_where_it_runs(void)
{
	struct sched_fixture p;
	struct jobspec *spec = colocated("short", 8 * CORE, 2);
	struct sched_active running;

	fixture_open(&p, 1, NULL);
	add_rack(&p, "r1", 1, 0);
	add_rack(&p, "r2", 1, 0);
	spec->steps[0].expected_ms = 3000;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 100);
	fixture_started(&p, fixture_start(&p, 0), 110);
	for (int64_t now = 200; now <= 7000; now += 100) {
		running = fixture_active(fixture_start(&p, 0),
					 (int32_t)(now / 200));
		fixture_poll(&p, fixture_start(&p, 0)->worker, &running, 1,
			     NULL, 0, now);
		fixture_pass_time(&p, now + 10, now + 10);
		g_assert_cmpuint(p.starts->len, ==, now < 6100 ? 1 : 2);
	}
	g_assert_nonnull(strstr(p.waits->str, "other_rack=1"));
	fixture_close(&p);
}

void unit_add_rack(void)
{
	g_test_add_func("/rack/room-for-a-task", test_room_for_a_task);
	g_test_add_func("/rack/holds-most-tasks", test_rack_that_holds_most);
	g_test_add_func("/rack/gang-in-several", test_gang_in_several_racks);
	g_test_add_func("/rack/impossible-data-rack",
			test_impossible_data_rack);
	g_test_add_func("/rack/full-data-rack", test_full_data_rack);
	g_test_add_func("/rack/full-data-rack-under-load",
			test_full_data_rack_under_load);
	g_test_add_func("/rack/denied", test_denied_rack);
	g_test_add_func("/rack/overdue-leaves", test_overdue_leaves_rack);
	g_test_add_func("/rack/waits-where-it-runs", test_waits_where_it_runs);
}
