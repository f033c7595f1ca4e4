/* Cost of placement passes over many workers and waiting steps, and that what
 * saves it leaves no room unused. */
#include <string.h>

#include "coordination/sched_int.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

#define WORKERS 540
#define WAITING_JOBS 400
/* Sizes that no earlier one rules out are rare: some twenty of 400. */
#define LOOKS_MAX 50
#define ROUNDS 30

static void add_workers(struct sched_fixture *p, int n)
{
	char id[16];

	for (int i = 0; i < n; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		fixture_add_worker(p, id, i % 3 ? "r" : "s");
		fixture_poll(p, id, NULL, 0, NULL, 0, 10);
	}
}

static void use_all_cpu(struct sched_fixture *p, int64_t milli)
{
	for (guint i = 0; i < p->s.worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(p->s.worker_list, i);

		w->used.cpu_milli += milli;
	}
}

static struct jobspec *waiting_job(int i, bool best_effort)
{
	struct jobspec *spec;
	char id[16];

	g_snprintf(id, sizeof(id), "j%d", i);
	spec = fixture_spec(id, i % 2 ? "short" : "long", 1, 20);
	spec->steps[0].cpu_milli = g_test_rand_int_range(1000, 8000);
	spec->steps[0].mem_mib = g_test_rand_int_range(100, 2000);
	spec->steps[0].best_effort = best_effort;
	if (best_effort)
		g_snprintf(spec->steps[0].image, sizeof(spec->steps[0].image),
			   "i%d", i % 10);
	return spec;
}

/* Many jobs wait for workers that are all taken, as in a burst: a pass looks at
 * each worker a few times, not once for each job. */
static void check_full_pool(bool best_effort)
{
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	add_workers(&p, WORKERS);
	use_all_cpu(&p, 7500);
	for (int i = 0; i < WAITING_JOBS; i++)
		fixture_add_job(&p, waiting_job(i, best_effort));
	sched_place(&p.s, 100);
	use_all_cpu(&p, -7500);
	g_test_message("work %" G_GINT64_FORMAT, p.s.pass_work);
	g_assert_cmpuint(p.starts->len, ==, 0);
	g_assert_cmpint(p.s.pass_work, <, LOOKS_MAX * WORKERS);
	fixture_close(&p);
}

static void test_burst_at_full_pool(void)
{
	check_full_pool(false);
}

static void test_best_effort_at_full_pool(void)
{
	check_full_pool(true);
}

static struct jobspec *random_job(int i)
{
	struct jobspec *spec = waiting_job(i, false);
	struct jobspec_step *step = &spec->steps[0];

	step->tasks = g_test_rand_int_range(1, 6);
	switch (g_test_rand_int_range(0, 8)) {
	case 0:
		step->spread_max = 1;
		break;
	case 1:
		g_strlcpy(step->label, "r", sizeof(step->label));
		break;
	case 2:
		g_strlcpy(step->data_rack, "s", sizeof(step->data_rack));
		break;
	case 3:
		step->cpu_milli = 0;
		step->mem_mib = 0;
		break;
	case 4:
		step->gang = true;
		break;
	case 5:
		step->is_long_running = true;
		break;
	default:
		break;
	}
	return spec;
}

/* Returns whether a task of the step could start at a worker now. */
static bool fits_somewhere(const struct sched *s, const struct sched_step *step)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);

		if (sched_is_eligible(s, step, step->round->job->queue, w,
				      100) &&
		    sched_fits(step, w))
			return true;
	}
	return false;
}

/* After a pass, no task waits that fits on a worker. */
static void test_no_room_is_overlooked(void)
{
	for (int round = 0; round < ROUNDS; round++) {
		struct sched_fixture p;

		fixture_open(&p, 1, NULL);
		add_workers(&p, 12);
		for (int i = 0; i < 40; i++)
			fixture_add_job(&p, random_job(i));
		sched_place(&p.s, 100);
		for (GList *i = p.s.ready_steps.head; i; i = i->next) {
			struct sched_step *step = i->data;
			struct sched_task *t = &step->tasks[0];

			/* Gangs wait for room for all members, the others for
			 * the rack of their data. */
			if (step->def->gang || *step->def->data_rack)
				continue;
			for (int k = 0; k < step->def->tasks; k++, t++)
				if (sched_task_is_ready(&p.s, t, 100))
					g_assert_false(
						fits_somewhere(&p.s, step));
		}
		fixture_close(&p);
	}
}

/* Room for a small task is found after a larger one was not placed, and after
 * one that may run on few workers only. */
static void test_smaller_one_starts(void)
{
	struct sched_fixture p;
	struct jobspec *spec;

	fixture_open(&p, 1, NULL);
	add_workers(&p, 3);
	spec = fixture_spec("a", "short", 1, 4);
	spec->steps[0].cpu_milli = 5000;
	fixture_add_job(&p, spec);
	spec = fixture_spec("b", "long", 1, 2);
	spec->steps[0].cpu_milli = 3000;
	spec->steps[0].spread_max = 1;
	g_strlcpy(spec->steps[0].label, "s", sizeof(spec->steps[0].label));
	fixture_add_job(&p, spec);
	spec = fixture_spec("c", "long", 1, 2);
	spec->steps[0].cpu_milli = 3000;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 100);
	g_assert_cmpuint(p.starts->len, ==, 6);
	fixture_close(&p);
}

/* Best-effort tasks that passes leave out for their cost start soon after. */
static void test_best_effort_follows(void)
{
	struct sched_fixture p;
	struct jobspec *spec;

	fixture_open(&p, 1, NULL);
	add_workers(&p, WORKERS);
	use_all_cpu(&p, 7500);
	for (int i = 0; i < WAITING_JOBS; i++)
		fixture_add_job(&p, waiting_job(i, true));
	sched_place(&p.s, 100);
	use_all_cpu(&p, -7500);
	/* The work of the first pass, and so its rest, depends on the sizes. */
	p.s.best_effort_due_ms = 130;
	spec = fixture_spec("a", "short", 1, 1);
	fixture_add_job(&p, spec);
	sched_place(&p.s, 101);
	g_assert_cmpuint(p.starts->len, ==, 1);
	sched_place(&p.s, 150);
	g_assert_cmpuint(p.starts->len, >, 1);
	fixture_close(&p);
}

void unit_add_pass(void)
{
	g_test_add_func("/pass/burst-at-full-pool", test_burst_at_full_pool);
	g_test_add_func("/pass/best-effort-at-full-pool",
			test_best_effort_at_full_pool);
	g_test_add_func("/pass/no-room-is-overlooked",
			test_no_room_is_overlooked);
	g_test_add_func("/pass/smaller-one-starts", test_smaller_one_starts);
	g_test_add_func("/pass/best-effort-follows", test_best_effort_follows);
}
