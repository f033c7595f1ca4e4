/* Waiting tasks: since when each long-running task is idle, and what keeps the
 * tasks that wait longest from starting. */
#include <stdio.h>
#include <string.h>

#include "coordination/sched_int.h"

/* A task that waits for this long, in ms, is logged. */
#define LOG_WAIT_MIN_MS 2000
/* Interval between these lines in ms, and the number of tasks at a time. */
#define LOG_WAIT_INTERVAL_MS 1000
#define LOG_WAIT_TASKS 4

struct waiting {
	const struct sched_task *task;
	int64_t since_ms;
};

static const char *const obstacle_names[] = {
	[SCHED_OBSTACLE_NONE] = "usable",
	[SCHED_OBSTACLE_OTHER_POOL] = "other_pool",
	[SCHED_OBSTACLE_UNLISTED] = "unlisted",
	[SCHED_OBSTACLE_UNRECONCILED] = "unreconciled",
	[SCHED_OBSTACLE_SILENT] = "silent",
	[SCHED_OBSTACLE_DRAINING] = "draining",
	[SCHED_OBSTACLE_EVACUATING] = "evacuating",
	[SCHED_OBSTACLE_NOT_STORED] = "not_on_roster",
	[SCHED_OBSTACLE_ROW_OUTDATED] = "row_outdated",
	[SCHED_OBSTACLE_FOREIGN_RUNS] = "foreign_runs",
	[SCHED_OBSTACLE_QUARANTINED] = "quarantined",
	[SCHED_OBSTACLE_REFUSED] = "refused",
	[SCHED_OBSTACLE_DOMAIN_OUT] = "domain_out",
	[SCHED_OBSTACLE_LABEL] = "label",
	[SCHED_OBSTACLE_SMALL_TASKS] = "small_tasks",
	[SCHED_OBSTACLE_CPU] = "cpu",
	[SCHED_OBSTACLE_MEMORY] = "memory",
	[SCHED_OBSTACLE_ACCELERATORS] = "accelerators",
	[SCHED_OBSTACLE_ISOLATED] = "isolated",
	[SCHED_OBSTACLE_RESERVED] = "reserved",
	[SCHED_OBSTACLE_SPREAD] = "spread",
	[SCHED_OBSTACLE_SLOW] = "slow",
	[SCHED_OBSTACLE_RACK] = "other_rack",
	[SCHED_OBSTACLE_TICKET] = "ticket",
	[SCHED_OBSTACLE_DENIED] = "denied",
	[SCHED_OBSTACLE_CAP] = "cap",
};

static enum sched_obstacle find_any_obstacle(const struct sched *s,
					     const struct sched_step *step,
					     const struct sched_worker *w,
					     bool is_capped, int64_t now_ms)
{
	const struct catalog_queue *q = step->round->job->queue;
	enum sched_obstacle o = sched_find_obstacle(s, step, q, w, now_ms);

	if (is_capped)
		return SCHED_OBSTACLE_CAP;
	if (o == SCHED_OBSTACLE_NONE)
		o = sched_find_shortage(step, w);
	if (o == SCHED_OBSTACLE_NONE && !sched_is_fast_enough(s, w, step))
		o = SCHED_OBSTACLE_SLOW;
	if (o == SCHED_OBSTACLE_NONE && *step->rack &&
	    strcmp(step->rack, w->row.rack))
		o = SCHED_OBSTACLE_RACK;
	if (o == SCHED_OBSTACLE_NONE && q->uses_policy &&
	    !sched_has_ticket(step, w, now_ms))
		o = sched_is_denied(step, w) ? SCHED_OBSTACLE_DENIED
					     : SCHED_OBSTACLE_TICKET;
	return o;
}

/* Appends the number of workers for each obstacle that occurs. */
static void describe_workers(const struct sched *s,
			     const struct sched_step *step, bool is_capped,
			     char *text, size_t size, int64_t now_ms)
{
	int32_t n[SCHED_OBSTACLES] = { 0 };
	size_t len = 0;

	for (guint i = 0; i < s->worker_list->len; i++)
		n[find_any_obstacle(s, step,
				    g_ptr_array_index(s->worker_list, i),
				    is_capped, now_ms)]++;
	for (int o = 0; o < SCHED_OBSTACLES && len < size; o++) {
		if (n[o])
			len += (size_t)snprintf(text + len, size - len,
						" %s=%d", obstacle_names[o],
						n[o]);
	}
}

/* Returns the workers' CPU that no task has reserved, and in `most` that of the
 * worker with most of it; both in thousandths of a core. */
static int64_t free_milli(const struct sched *s, int64_t *most)
{
	int64_t sum = 0;

	*most = 0;
	for (guint i = 0; i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);
		int64_t milli = w->row.total.cpu_milli - w->used.cpu_milli;

		if (!w->listed || w->unreachable || milli < 0)
			continue;
		sum += milli;
		*most = MAX(*most, milli);
	}
	return sum;
}

static void log_wait(struct sched *s, const struct waiting *wait,
		     int64_t now_ms)
{
	const struct sched_step *step = wait->task->step;
	const struct sched_job *job = step->round->job;
	const struct sched_run run = {
		.task = (struct sched_task *)wait->task,
		.number = wait->task->last_run,
	};
	struct sched_ref ref;
	char workers[240] = "";
	char org[ORG_NAME_MAX + 32] = "";
	char text[520];
	enum org_wait cap =
		sched_org_wait(s, step, sched_org_tasks(step), now_ms);
	int64_t most;
	int64_t sum = free_milli(s, &most);

	if (job->queue)
		describe_workers(s, step, cap != ORG_WAIT_NONE, workers,
				 sizeof(workers), now_ms);
	if (job->org)
		snprintf(org, sizeof(org), " org=%s cap=%s", job->org->name,
			 org_wait_name(cap));
	snprintf(text, sizeof(text),
		 "waited_ms=%lld cpu_milli=%lld mem_mib=%lld configured=%d "
		 "trust=%d held=%d free_milli=%lld most_free_milli=%lld%s "
		 "workers:%s",
		 (long long)(now_ms - wait->since_ms),
		 (long long)step->def->cpu_milli, (long long)step->def->mem_mib,
		 job->queue != NULL, s->ownership,
		 job->inherited && sched_may_miss_runs(s, now_ms),
		 (long long)sum, (long long)most, org, workers);
	sched_run_ref(&run, &ref);
	s->ops->log_decision(s->priv, "waits", &ref, NULL, text);
}

/* Returns whether `a` is the more urgent one to explain. */
static bool comes_before(const struct waiting *a, const struct waiting *b)
{
	bool a_lasts = a->task->step->def->is_long_running;
	bool b_lasts = b->task->step->def->is_long_running;

	if (a_lasts != b_lasts)
		return a_lasts;
	return a->since_ms < b->since_ms;
}

static int32_t insert_waiting(struct waiting *top, int32_t n,
			      const struct waiting *wait)
{
	int32_t at = n;

	while (at > 0 && comes_before(wait, &top[at - 1]))
		at--;
	if (at == LOG_WAIT_TASKS)
		return n;
	n = n < LOG_WAIT_TASKS ? n + 1 : n;
	for (int32_t i = n - 1; i > at; i--)
		top[i] = top[i - 1];
	top[at] = *wait;
	return n;
}

/* Returns the task of the step that waits longest; its `task` is NULL if none
 * does. */
static struct waiting longest_wait(struct sched_step *step, int64_t now_ms)
{
	struct waiting longest = { 0 };

	for (int32_t k = 0; k < step->def->tasks; k++) {
		struct sched_task *t = &step->tasks[k];
		int64_t since_ms;

		if (t->runs || t->done)
			continue;
		if (!t->idle_since_ms)
			t->idle_since_ms = now_ms;
		since_ms = MAX(t->idle_since_ms, step->ready_ms);
		if (longest.task && since_ms >= longest.since_ms)
			continue;
		longest.task = t;
		longest.since_ms = since_ms;
	}
	return longest;
}

void sched_check_waits(struct sched *s, int64_t now_ms)
{
	struct waiting top[LOG_WAIT_TASKS];
	int32_t n = 0;

	for (GList *i = s->ready_steps.head; i; i = i->next) {
		struct waiting wait = longest_wait(i->data, now_ms);

		if (wait.task && now_ms - wait.since_ms >= LOG_WAIT_MIN_MS)
			n = insert_waiting(top, n, &wait);
	}
	if (now_ms < s->waits_logged_ms + LOG_WAIT_INTERVAL_MS)
		return;
	s->waits_logged_ms = now_ms;
	for (int32_t i = 0; i < n; i++)
		log_wait(s, &top[i], now_ms);
}
