/* The soak's checks of what workers may be told to run: rules BUDGET, for tasks
 * that crash them, and LIMIT. */
#include "tests/soak.h"

/* Capacity of gd-site's workers unless they have shrunk. */
#define FULL_CPU_MILLI 16000
#define FULL_MEM_MIB 64000

void sk_set_crashed(struct sk *k, struct sk_run *run)
{
	run->crashed_worker = true;
	k->crash_ms = hx_now_ms();
	sk_disruption_end(k, sk_disruption_begin(k, SK_OTHER));
}

static int32_t count_crashes(GArray *runs)
{
	int32_t n = 0;

	for (guint i = 0; i < runs->len; i++)
		n += g_array_index(runs, struct sk_run, i).crashed_worker;
	return n;
}

bool sk_may_give_up(const struct sk_job *j)
{
	return j->kind == SK_DEADLY &&
	       count_crashes(j->task_runs[0]) >= SK_CRASHES_GIVE_UP;
}

void sk_check_crashes(struct sk *k, GArray *runs, const char *task)
{
	int32_t crashes = 0;
	int32_t starts = 0;

	/* A task has one run at a time, see check_overlap(). */
	for (guint i = 0; i < runs->len; i++) {
		const struct sk_run *r = &g_array_index(runs, struct sk_run, i);

		starts += crashes >= SK_CRASHES_MAX && sk_is_timely(k, r);
		crashes += r->crashed_worker;
	}
	if (starts > SK_STARTS_AFTER_CRASHES)
		sk_report_violation(k, "BUDGET", task,
				    "started %d times after %d crashes", starts,
				    SK_CRASHES_MAX);
}

static int32_t tasks_in(int64_t cpu_milli, int64_t mem_mib)
{
	return (int32_t)MIN(cpu_milli / SK_TASK_CPU_MILLI,
			    mem_mib / SK_TASK_MEM_MIB);
}

void sk_set_capacity(struct sk *k, const char *worker, int64_t cpu_milli,
		     int64_t mem_mib, int64_t at_ms)
{
	struct sk_capacity c = { sk_worker_number(worker),
				 tasks_in(cpu_milli, mem_mib), at_ms };

	g_array_append_val(k->capacities, c);
}

/* Returns the largest number of tasks that the worker had room for in the
 * `for_ms` before `at_ms`. */
static int32_t room_at(const struct sk *k, int32_t worker, int64_t at_ms,
		       int64_t for_ms)
{
	int32_t tasks = tasks_in(FULL_CPU_MILLI, FULL_MEM_MIB);

	for (guint i = 0; i < k->capacities->len; i++) {
		const struct sk_capacity *c =
			&g_array_index(k->capacities, struct sk_capacity, i);

		if (c->worker != worker || c->at_ms > at_ms)
			continue;
		if (c->at_ms <= at_ms - for_ms)
			tasks = c->tasks;
		else
			tasks = MAX(tasks, c->tasks);
	}
	return tasks;
}

static int32_t count_running(const struct sk_job *j, const char *worker)
{
	int32_t n = 0;

	for (int i = 0; i < j->steps * j->count; i++) {
		for (guint r = 0; r < j->task_runs[i]->len; r++) {
			const struct sk_run *run = &g_array_index(
				j->task_runs[i], struct sk_run, r);

			n += !run->end_ms && !g_strcmp0(run->worker, worker);
		}
	}
	return n;
}

void sk_check_capacity(struct sk *k, const struct sk_run *started,
		       const char *task)
{
	int32_t worker = sk_worker_number(started->worker);
	int32_t room = room_at(k, worker, started->start_ms, SK_SHRUNK_MS);
	int32_t running = 0;

	if (!k->fleet.opt.overcommits)
		return;
	for (guint i = 0; i < k->jobs->len; i++)
		running += count_running(g_ptr_array_index(k->jobs, i),
					 started->worker);
	/* A shrunk capacity has a time limit, the full one has none. */
	if (running > room &&
	    (running > tasks_in(FULL_CPU_MILLI, FULL_MEM_MIB) ||
	     sk_is_timely(k, started)))
		sk_report_violation(k, "LIMIT", task,
				    "%d tasks run at %s, it has room for %d",
				    running, started->worker, room);
}
