/* The order of work: which step's tasks start first. */
#include <stdlib.h>
#include <string.h>

#include "coordination/sched_int.h"

/* Late answers earn something up to this many times the target. */
#define LATE_TARGETS 3
/* A job's worth: a part that each has, and one in proportion to its work, as a
 * multiple of the mean of its queue, up to a most; as the users count it. */
#define WORTH_OF_EACH 0.3
#define WORTH_OF_WORK 0.7
#define WORTH_MOST 4.0
/* Part of its worth that a late job still has, and a hopeless one: the users'
 * sheets give 0.15 for late ones. */
#define WORTH_LATE 0.15
#define WORTH_HOPELESS 0.01
/* Least work left, in thousandths of a core x ms: one short task. */
#define WORK_LEAST 100000.0
/* Weight of the newest job in the mean work of its queue. */
#define MEAN_NEWEST 0.02

double sched_work_of(const struct jobspec *spec)
{
	double sum = 0;

	for (int32_t i = 0; i < spec->n_steps; i++)
		sum += (double)spec->steps[i].tasks *
		       (double)spec->steps[i].cpu_milli *
		       (double)spec->steps[i].expected_ms;
	return sum;
}

void sched_note_work(struct sched *s, const struct jobspec *spec)
{
	double *mean = g_hash_table_lookup(s->mean_work, spec->queue);
	double work = sched_work_of(spec);

	if (mean) {
		*mean += MEAN_NEWEST * (work - *mean);
		return;
	}
	mean = g_new(double, 1);
	*mean = work;
	g_hash_table_insert(s->mean_work, g_strdup(spec->queue), mean);
}

static double worth_of(const struct sched *s, const struct sched_job *job)
{
	const double *mean =
		g_hash_table_lookup(s->mean_work, job->spec->queue);
	double times = mean && *mean > 0 ? job->work / *mean : 1;
	double worth = WORTH_OF_EACH + WORTH_OF_WORK * times;

	return worth < WORTH_MOST ? worth : WORTH_MOST;
}

static double work_left(const struct sched_round *round)
{
	const struct jobspec *spec = round->job->spec;
	double sum = WORK_LEAST;

	for (int32_t i = 0; i < spec->n_steps; i++)
		sum += (double)round->steps[i].left *
		       (double)spec->steps[i].cpu_milli *
		       (double)spec->steps[i].expected_ms;
	return sum;
}

static int64_t target_ms(const struct sched_job *job)
{
	const struct catalog_queue *q = job->queue;
	int64_t slack = q ? q->target_factor_milli : 1000;
	int64_t aim = q ? q->target_offset_ms : 0;

	return job->chain_ms * slack / 1000 + aim;
}

struct sched_rank sched_rank_step(const struct sched *s,
				  struct sched_step *step, int64_t now_ms)
{
	const struct sched_job *job = step->round->job;
	int64_t target = target_ms(job);
	struct sched_rank r = {
		.step = step,
		.priority = job->queue ? job->queue->priority : 0,
		.begun = job->state == SCHED_JOB_RUNNING,
		.latest_ms = step->round->due_ms + target - step->rest_ms,
		.worth = worth_of(s, job),
	};

	if (step->def->lasts)
		return r;
	r.left = work_left(step->round);
	if (now_ms > r.latest_ms + (LATE_TARGETS - 1) * target)
		r.tier = SCHED_HOPELESS;
	else if (now_ms > r.latest_ms)
		r.tier = SCHED_LATE;
	return r;
}

static int by_id(const struct sched_rank *x, const struct sched_rank *y)
{
	return strcmp(x->step->round->job->spec->id,
		      y->step->round->job->spec->id);
}

/* What a unit of work on the job still brings. */
static double value(const struct sched_rank *r)
{
	static const double parts[] = { 1, WORTH_LATE, WORTH_HOPELESS };

	return r->worth * parts[r->tier] / r->left;
}

/*
 * With too little room for all, worth for work: most jobs are in time then, and
 * what is nearly done is finished. Lasting tasks come before, since each moment
 * without them counts.
 */
static int by_value(const void *a, const void *b)
{
	const struct sched_rank *x = a;
	const struct sched_rank *y = b;
	bool x_hopeless = x->tier == SCHED_HOPELESS;
	bool y_hopeless = y->tier == SCHED_HOPELESS;

	if (x_hopeless != y_hopeless)
		return x_hopeless ? 1 : -1;
	if (x->priority != y->priority)
		return x->priority - y->priority;
	if (x->step->def->lasts != y->step->def->lasts)
		return x->step->def->lasts ? -1 : 1;
	if (!x->step->def->lasts && value(x) != value(y))
		return value(x) > value(y) ? -1 : 1;
	return by_id(x, y);
}

/* What is begun is finished first, then what has to start soonest. */
static int by_latest_start(const void *a, const void *b)
{
	const struct sched_rank *x = a;
	const struct sched_rank *y = b;
	int x_tier = x->tier == SCHED_LATE && x->begun ? 0 : (int)x->tier;
	int y_tier = y->tier == SCHED_LATE && y->begun ? 0 : (int)y->tier;

	if (x_tier != y_tier)
		return x_tier - y_tier;
	if (x->priority != y->priority)
		return x->priority - y->priority;
	if (x->begun != y->begun)
		return x->begun ? -1 : 1;
	if (x->latest_ms != y->latest_ms)
		return x->latest_ms < y->latest_ms ? -1 : 1;
	return by_id(x, y);
}

const struct sched_order sched_order_value = { "value", by_value };
const struct sched_order sched_order_latest_start = { "latest-start",
						      by_latest_start };
