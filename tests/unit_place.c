/* Bounds on what the scheduler starts at one worker and in one pass. Without
 * workers or network. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/sched_fixture.h"
#include "tests/unit.h"

/* Upper bounds; the scheduler's own limits are lower. */
#define RUNS_AT_WORKER_MAX 250
#define STARTS_IN_PASS_MAX 2500

static void add_workers(struct sched_fixture *p, int n)
{
	char id[16];

	for (int i = 0; i < n; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		fixture_add_worker(p, id, "r");
		fixture_poll(p, id, NULL, 0, NULL, 0, 10);
	}
}

/* Returns a job of one step of `tasks` tasks that ask for `milli` thousandths
 * of a core and no memory. */
static struct jobspec *cpu_spec(const char *id, int32_t tasks, int64_t milli)
{
	struct jobspec *spec = fixture_spec(id, "short", 1, tasks);

	spec->steps[0].cpu_milli = milli;
	spec->steps[0].mem_mib = 0;
	return spec;
}

static struct jobspec *best_effort_spec(const char *id, int32_t tasks,
					int64_t milli)
{
	struct jobspec *spec = cpu_spec(id, tasks, milli);

	spec->steps[0].best_effort = true;
	return spec;
}

/* Makes 64 rounds of the job due at once. */
static struct jobspec *repeated(struct jobspec *spec)
{
	spec->rounds = 64;
	return spec;
}

/* Ends all runs at worker `id` that commands from number `from` on started. */
static void end_runs(struct sched_fixture *p, const char *id, guint from,
		     int64_t now_ms)
{
	int64_t seq = fixture_worker(p, id)->seen_seq;
	GArray *ends = g_array_new(FALSE, FALSE, sizeof(struct sched_end));

	for (guint i = from; i < p->starts->len; i++) {
		struct sched_end e =
			fixture_end(fixture_start(p, i), ++seq, SCHED_END_DONE);

		g_array_append_val(ends, e);
	}
	fixture_poll(p, id, NULL, 0, (struct sched_end *)ends->data,
		     (int32_t)ends->len, now_ms);
	g_array_free(ends, TRUE);
}

static guint count_starts(const struct sched_fixture *p, const char *job)
{
	guint n = 0;

	for (guint i = 0; i < p->starts->len; i++)
		n += !strcmp(fixture_start(p, i)->ref.job, job);
	return n;
}

/*
 * Guards against one job of very many best-effort tasks that ask for no
 * processors: all 128,000 were started at one worker in one pass, which took
 * 41 s, during which the owner renewed no lease.
 */
static void test_many_best_effort_tasks(void)
{
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	add_workers(&p, 1);
	fixture_add_job(&p, repeated(best_effort_spec("a", 2000, 0)));
	sched_place(&p.s, 20);
	sched_place(&p.s, 30);
	g_assert_cmpuint(p.starts->len, >, 0);
	g_assert_cmpuint(p.starts->len, <=, RUNS_AT_WORKER_MAX);
	fixture_close(&p);
}

/* Guards against the same of tasks that ask for almost no processors, or that
 * are not best-effort. */
static void test_many_small_tasks(void)
{
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	add_workers(&p, 2);
	fixture_add_job(&p, repeated(cpu_spec("a", 2000, 0)));
	fixture_add_job(&p, repeated(best_effort_spec("b", 2000, 1)));
	fixture_add_job(&p, cpu_spec("c", 2000, 1));
	sched_place(&p.s, 20);
	sched_place(&p.s, 30);
	for (int i = 0; i < 2; i++) {
		const struct sched_worker *w =
			fixture_worker(&p, i ? "w1" : "w0");

		g_assert_cmpuint(w->runs.length, >, 0);
		g_assert_cmpuint(w->runs.length, <=, RUNS_AT_WORKER_MAX);
	}
	fixture_close(&p);
}

/* Guards against small tasks that wait for good at a worker that had as many
 * as it may have. */
static void test_small_tasks_follow_ends(void)
{
	struct sched_fixture p;
	guint from = 0;

	fixture_open(&p, 1, NULL);
	add_workers(&p, 1);
	fixture_add_job(&p, best_effort_spec("a", 1000, 0));
	for (int64_t t = 20; t < 2000 && from < 1000; t += 20) {
		sched_place(&p.s, t);
		g_assert_cmpuint(p.starts->len, >, from);
		end_runs(&p, "w0", from, t + 10);
		from = p.starts->len;
	}
	g_assert_cmpuint(from, ==, 1000);
	g_assert_cmpint(p.s.counts.jobs_done, ==, 1);
	fixture_close(&p);
}

/* Guards against small tasks that keep others from the room that they leave. */
static void test_small_tasks_leave_room(void)
{
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	add_workers(&p, 1);
	fixture_add_job(&p, repeated(best_effort_spec("a", 2000, 0)));
	fixture_add_job(&p, repeated(cpu_spec("b", 2000, 0)));
	sched_place(&p.s, 20);
	fixture_add_job(&p, cpu_spec("c", 2, 4000));
	fixture_add_job(&p, best_effort_spec("d", 800, 10));
	sched_place(&p.s, 30);
	g_assert_cmpuint(count_starts(&p, "c"), ==, 2);
	fixture_close(&p);
}

/* Guards against a limit on tasks that ask for no processors although the
 * memory of the worker bounds them. */
static void test_memory_bounds_tasks(void)
{
	enum { MIB = 20 };
	struct sched_fixture p;
	struct jobspec *spec = cpu_spec("a", 2000, 0);
	int64_t room;

	spec->steps[0].mem_mib = MIB;
	fixture_open(&p, 1, NULL);
	add_workers(&p, 1);
	room = fixture_worker(&p, "w0")->row.total.mem_mib / MIB;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 20);
	sched_place(&p.s, 30);
	g_assert_cmpint(p.starts->len, ==, room);
	fixture_close(&p);
}

/* Guards against a pass that starts all tasks that there are: the owner renews
 * no lease meanwhile. The next passes start the rest. */
static void test_pass_is_bounded(void)
{
	struct sched_fixture p;
	guint before = 0;

	fixture_open(&p, 1, NULL);
	add_workers(&p, 100);
	fixture_add_job(&p, cpu_spec("a", 5000, 100));
	fixture_add_job(&p, cpu_spec("b", 1000, 100));
	for (int64_t t = 20; before < 6000; t += 10) {
		sched_place(&p.s, t);
		g_assert_cmpuint(p.starts->len, >, before);
		g_assert_cmpuint(p.starts->len, <=,
				 before + STARTS_IN_PASS_MAX);
		before = p.starts->len;
	}
	g_assert_cmpuint(count_starts(&p, "a"), ==, 5000);
	g_assert_cmpuint(count_starts(&p, "b"), ==, 1000);
	fixture_close(&p);
}

/* Teaches the model that image "f" does not disturb image "s". */
static void teach_harmless(struct sched_fixture *p)
{
	int32_t serving = interfere_image(&p->s.interfere, "s");
	int32_t other = interfere_image(&p->s.interfere, "f");

	for (int i = 0; i < 50; i++) {
		struct interfere_load load = { other, i % 2 ? -0.2 : 0.2 };
		struct interfere_change c = { 0, 0.4, &load, 1 };

		interfere_observe(&p->s.interfere, serving, &c);
	}
}

/*
 * Guards against a long pass of few starts: each start of a best-effort task
 * beside serving tasks looks at all runs for each of them.
 */
static void test_pass_beside_serving(void)
{
	struct sched_fixture p;
	struct jobspec *serving = cpu_spec("a", 10, 10000);
	struct jobspec *batch = best_effort_spec("b", 5000, 10);
	guint starts;

	fixture_open(&p, 1, NULL);
	add_workers(&p, 1);
	fixture_worker(&p, "w0")->row.total.cpu_milli = 200000;
	teach_harmless(&p);
	serving->steps[0].is_long_running = true;
	serving->steps[0].tail_goal_ms = 100;
	g_strlcpy(serving->steps[0].image, "s", JOBSPEC_NAME_MAX);
	g_strlcpy(batch->steps[0].image, "f", JOBSPEC_NAME_MAX);
	fixture_add_job(&p, serving);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 10);
	fixture_add_job(&p, batch);
	sched_place(&p.s, 30);
	starts = count_starts(&p, "b");
	g_assert_cmpuint(starts, >, 0);
	/* Runs looked at, for 10 serving tasks. */
	g_assert_cmpuint(starts * starts / 2 * 10, <=, 3000000);
	sched_place(&p.s, 40);
	g_assert_cmpuint(count_starts(&p, "b"), >, starts);
	fixture_close(&p);
}

static void refuse_all(struct sched_fixture *p, const char *job, guint from,
		       int64_t now_ms)
{
	for (guint i = from, n = p->starts->len; i < n; i++) {
		struct recorded_command command = *fixture_start(p, i);

		if (!strcmp(command.ref.job, job))
			sched_start_answered(&p->s, &command.ref,
					     command.worker, SCHED_START_FENCED,
					     now_ms);
	}
}

/* Guards against steps that starve: those before them use up each pass, since
 * workers refuse their tasks and they are started again. */
static void test_refused_tasks_starve_none(void)
{
	struct sched_fixture p;
	struct jobspec *last = cpu_spec("c", 1, 4000);
	guint from = 0;

	fixture_open(&p, 1, NULL);
	add_workers(&p, 100);
	g_strlcpy(last->queue, "long", sizeof(last->queue));
	fixture_add_job(&p, cpu_spec("a", 5000, 10));
	fixture_add_job(&p, cpu_spec("b", 5000, 10));
	fixture_add_job(&p, last);
	for (int64_t t = 20; t < 100; t += 20) {
		sched_place(&p.s, t);
		refuse_all(&p, "a", from, t + 10);
		refuse_all(&p, "b", from, t + 10);
		from = p.starts->len;
	}
	g_assert_cmpuint(count_starts(&p, "c"), ==, 1);
	fixture_close(&p);
}

/* Guards against a cut pass that starts part of a gang. */
static void test_gang_is_not_cut(void)
{
	struct sched_fixture p;
	struct jobspec *gang = cpu_spec("b", 2000, 10);
	struct jobspec *last = cpu_spec("c", 1, 4000);
	guint first;

	fixture_open(&p, 1, NULL);
	add_workers(&p, 100);
	gang->steps[0].gang = true;
	g_strlcpy(last->queue, "long", sizeof(last->queue));
	fixture_add_job(&p, cpu_spec("a", 1500, 10));
	fixture_add_job(&p, gang);
	fixture_add_job(&p, last);
	sched_place(&p.s, 20);
	first = count_starts(&p, "b");
	g_assert_true(first == 0 || first == 2000);
	sched_place(&p.s, 30);
	sched_place(&p.s, 40);
	g_assert_cmpuint(count_starts(&p, "b"), ==, 2000);
	g_assert_cmpuint(count_starts(&p, "c"), ==, 1);
	fixture_close(&p);
}

void unit_add_place(void)
{
	g_test_add_func("/sched/many-best-effort-tasks",
			test_many_best_effort_tasks);
	g_test_add_func("/sched/many-small-tasks", test_many_small_tasks);
	g_test_add_func("/sched/small-tasks-follow-ends",
			test_small_tasks_follow_ends);
	g_test_add_func("/sched/memory-bounds-tasks", test_memory_bounds_tasks);
	g_test_add_func("/sched/small-tasks-leave-room",
			test_small_tasks_leave_room);
	g_test_add_func("/sched/pass-is-bounded", test_pass_is_bounded);
	g_test_add_func("/sched/pass-beside-serving", test_pass_beside_serving);
	g_test_add_func("/sched/refused-starve-none",
			test_refused_tasks_starve_none);
	g_test_add_func("/sched/gang-not-cut", test_gang_is_not_cut);
}
