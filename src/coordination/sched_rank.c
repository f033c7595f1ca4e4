/* Ranks steps: decides whose tasks start first when there is too little room.
 */
#include <stdlib.h>
#include <string.h>

#include "coordination/sched_int.h"

/* A result has some value up to this many times the response-time target. */
#define LATE_TARGETS_MAX 3
/* Weight of a job: a part for each caller who waits for one, and a part for its
 * work relative to the mean of its queue, up to a maximum. With the first part
 * alone, wide jobs would wait for all short ones; with the second alone, short
 * ones would have no advantage. */
#define WEIGHT_PER_JOB 0.5
#define RELATIVE_WORK_MAX 5.0
/* Part of its weight that a late job keeps: it goes before a job that can still
 * be in time if it needs a fifth of the work. */
#define LATE_FACTOR 0.2
/* Lower bound on the remaining work, in thousandths of a core x ms: that of one
 * short task. */
#define WORK_LEFT_MIN 100000.0
/* A long-running task that is idle for this long, in ms, goes before tasks of
 * any priority: it has to run however full the workers are. */
#define OVERDUE_MS 2000
/* Weight of the newest job in the mean work of its queue. */
#define MEAN_WORK_WEIGHT 0.02

double sched_estimate_work(const struct jobspec *spec)
{
	double sum = 0;

	for (int32_t i = 0; i < spec->n_steps; i++)
		sum += (double)spec->steps[i].tasks *
		       (double)spec->steps[i].cpu_milli *
		       (double)spec->steps[i].expected_ms;
	return sum;
}

void sched_update_mean_work(struct sched *s, const struct jobspec *spec)
{
	double *mean = g_hash_table_lookup(s->mean_work, spec->queue);
	double work = sched_estimate_work(spec);

	if (mean) {
		*mean += MEAN_WORK_WEIGHT * (work - *mean);
		return;
	}
	mean = g_new(double, 1);
	*mean = work;
	g_hash_table_insert(s->mean_work, g_strdup(spec->queue), mean);
}

/* Time within which half of the runs are done; the rest is far apart. */
#define RUN_TIME_QUANTILE 0.5

void sched_record_run_time(struct sched *s, const struct sched_run *run,
			   int64_t now_ms)
{
	struct sched_step *step = run->task->step;
	int64_t ran_ms = now_ms - run->created_ms;

	/* Members of a gang wait for each other. */
	if (run->was_slowed || run->resumed || step->def->gang)
		return;
	step->timed_runs++;
	step->timed_ms += ran_ms;
	run_times_record(&s->run_times, step->round->job->spec->queue,
			 step->def->expected_ms, ran_ms);
}

int64_t sched_expected_run_ms(const struct sched *s,
			      const struct sched_step *step)
{
	return run_times_quantile_ms(&s->run_times,
				     step->round->job->spec->queue,
				     step->def->expected_ms, RUN_TIME_QUANTILE);
}

static double job_weight(const struct sched *s, const struct sched_job *job)
{
	const double *mean =
		g_hash_table_lookup(s->mean_work, job->spec->queue);
	double relative_work = mean && *mean > 0 ? job->work / *mean : 1;

	return WEIGHT_PER_JOB + MIN(relative_work, RELATIVE_WORK_MAX);
}

static double work_left(const struct sched_round *round)
{
	const struct jobspec *spec = round->job->spec;
	double sum = WORK_LEFT_MIN;

	for (int32_t i = 0; i < spec->n_steps; i++)
		sum += (double)round->steps[i].tasks_left *
		       (double)spec->steps[i].cpu_milli *
		       (double)spec->steps[i].expected_ms;
	return sum;
}

static int64_t response_target_ms(const struct sched_job *job)
{
	const struct catalog_queue *q = job->queue;
	int64_t factor_milli = q ? q->target_factor_milli : 1000;
	int64_t offset_ms = q ? q->target_offset_ms : 0;

	return job->critical_path_ms * factor_milli / 1000 + offset_ms;
}

/* Returns since when a task of the step is idle; `now_ms` if none is. */
static int64_t idle_since_ms(const struct sched *s,
			     const struct sched_step *step, int64_t now_ms)
{
	int64_t since_ms = now_ms;

	for (int32_t k = 0; k < step->def->tasks; k++) {
		const struct sched_task *t = &step->tasks[k];

		if (t->idle_since_ms && t->idle_since_ms < since_ms &&
		    sched_task_is_ready(s, t, now_ms))
			since_ms = t->idle_since_ms;
	}
	return since_ms;
}

struct sched_rank sched_rank_step(const struct sched *s,
				  struct sched_step *step, int64_t now_ms)
{
	const struct sched_job *job = step->round->job;
	int64_t target = response_target_ms(job);
	struct sched_rank r = {
		.step = step,
		.priority = job->queue ? job->queue->priority : 0,
		.started = job->state == SCHED_JOB_RUNNING,
		.latest_ms = step->round->due_ms + target - step->remaining_ms,
		.weight = job_weight(s, job),
		.standing = org_share_standing(&s->shares, job->org),
		.excess = s->shares.on && job->excess,
	};

	if (step->def->is_long_running) {
		r.idle_since_ms = idle_since_ms(s, step, now_ms);
		/* Nothing is guaranteed to a job in excess until it has begun.
		 */
		r.overdue = now_ms - r.idle_since_ms >= OVERDUE_MS &&
			    (r.started || !r.excess);
		return r;
	}
	r.work_left = work_left(step->round);
	if (now_ms > r.latest_ms + (LATE_TARGETS_MAX - 1) * target)
		r.tier = SCHED_TIER_VERY_LATE;
	else if (now_ms > r.latest_ms)
		r.tier = SCHED_TIER_LATE;
	return r;
}

static int compare_job_ids(const struct sched_rank *x,
			   const struct sched_rank *y)
{
	return strcmp(x->step->round->job->spec->id,
		      y->step->round->job->spec->id);
}

/* Returns the weight per unit of remaining work. */
static double weight_density(const struct sched_rank *r)
{
	double factor = r->tier == SCHED_TIER_IN_TIME ? 1 : LATE_FACTOR;

	return r->weight * factor / r->work_left;
}

/*
 * Overdue long-running tasks go first and very late jobs last, the rest goes by
 * priority. Within a priority, long-running tasks go first, since every moment
 * without them counts, in the order in which they became idle. Then the highest
 * weight per remaining work: with too little room for all, this gets most jobs
 * done in time and finishes those that are nearly done.
 */
static int compare_by_weight(const void *a, const void *b)
{
	const struct sched_rank *x = a;
	const struct sched_rank *y = b;
	bool x_very_late = x->tier == SCHED_TIER_VERY_LATE;
	bool y_very_late = y->tier == SCHED_TIER_VERY_LATE;

	if (x->overdue != y->overdue)
		return x->overdue ? -1 : 1;
	if (x_very_late != y_very_late)
		return x_very_late ? 1 : -1;
	if (!x->overdue && x->priority != y->priority)
		return x->priority - y->priority;
	if (x->step->def->is_long_running != y->step->def->is_long_running)
		return x->step->def->is_long_running ? -1 : 1;
	if (x->idle_since_ms != y->idle_since_ms)
		return x->idle_since_ms < y->idle_since_ms ? -1 : 1;
	if (!x->step->def->is_long_running &&
	    weight_density(x) != weight_density(y))
		return weight_density(x) > weight_density(y) ? -1 : 1;
	return compare_job_ids(x, y);
}

/* Returns what comes before shares in the order; lower goes first. Jobs in
 * excess have no guarantee, and very late jobs have no value any more. */
static int service_class(const struct sched_rank *r)
{
	if (r->overdue)
		return 0;
	return 1 + r->excess + 2 * (r->tier == SCHED_TIER_VERY_LATE);
}

bool sched_rank_same_service(const struct sched_rank *x,
			     const struct sched_rank *y)
{
	return service_class(x) == service_class(y);
}

/*
 * Shares come before priorities: callers choose the priority by the queue, so
 * that an organisation which uses the first queue alone could take all workers
 * otherwise. Without organisations this is the order by weight.
 */
static int compare_by_share(const void *a, const void *b)
{
	const struct sched_rank *x = a;
	const struct sched_rank *y = b;

	if (!sched_rank_same_service(x, y))
		return service_class(x) - service_class(y);
	if (!x->overdue && x->standing != y->standing)
		return x->standing < y->standing ? -1 : 1;
	return compare_by_weight(a, b);
}

/* Orders started jobs first, then by the latest start that is in time. */
static int compare_by_latest_start(const void *a, const void *b)
{
	const struct sched_rank *x = a;
	const struct sched_rank *y = b;
	int x_tier =
		x->tier == SCHED_TIER_LATE && x->started ? 0 : (int)x->tier;
	int y_tier =
		y->tier == SCHED_TIER_LATE && y->started ? 0 : (int)y->tier;

	if (x_tier != y_tier)
		return x_tier - y_tier;
	if (x->priority != y->priority)
		return x->priority - y->priority;
	if (x->started != y->started)
		return x->started ? -1 : 1;
	if (x->latest_ms != y->latest_ms)
		return x->latest_ms < y->latest_ms ? -1 : 1;
	return compare_job_ids(x, y);
}

const struct sched_rank_policy sched_rank_by_share = { "share",
						       compare_by_share, true };
const struct sched_rank_policy sched_rank_by_weight = { "weight",
							compare_by_weight,
							false };
const struct sched_rank_policy sched_rank_by_latest_start = {
	"latest-start", compare_by_latest_start, false
};

int sched_compare_starts(struct sched *s, const struct sched_ref *a,
			 const struct sched_ref *b, int64_t now_ms)
{
	const struct sched_task *x = sched_find_task(s, a);
	const struct sched_task *y = sched_find_task(s, b);
	struct sched_rank x_rank;
	struct sched_rank y_rank;

	/* One that is not wanted any more takes no time. */
	if (!x || !y)
		return (x ? 1 : 0) - (y ? 1 : 0);
	if (x->step == y->step)
		return 0;
	x_rank = sched_rank_step(s, x->step, now_ms);
	y_rank = sched_rank_step(s, y->step, now_ms);
	return s->rank_policy->compare(&x_rank, &y_rank);
}
