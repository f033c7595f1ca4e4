/*
 * Measures the slack of serving tasks from their tail latencies, and feeds
 * changes of it to interfere.h, which learns what best-effort load costs. Slack
 * is target / tail latency; base slack is that without best-effort load.
 */
#include <math.h>
#include <string.h>

#include "coordination/sched_int.h"

/* Weight of the newest measurement in a task's base slack. */
#define BASE_SLACK_WEIGHT 0.9
/* Tail latencies cover half a second. After best-effort load that cost more
 * slack than STALE_SLACK_MIN has ended or slowed down, they are stale for
 * TAIL_STALE_MS. */
#define STALE_SLACK_MIN 0.3
#define TAIL_STALE_MS 700
/* A base slack that wasn't updated for this long, in ms, is updated from a
 * stale tail latency, too. */
#define TAIL_STALE_MAX_MS 1500
/* Two measurements closer than MEASURE_INTERVAL_MIN_MS show the same tail
 * latency. If they are further apart than MEASURE_AGE_MAX_MS, the tasks' own
 * load has changed too much to compare them. */
#define MEASURE_INTERVAL_MIN_MS 150
#define MEASURE_AGE_MAX_MS 2500
/* Below this slack, tail latency hardly grows with more interference. */
#define SLACK_SATURATED 0.6
/* Measured tail latencies are noisy: a task counts as within its target again
 * below this percentage of it. */
#define WITHIN_TARGET_PERCENT 85

/* Slack of an idle serving task: the sites' targets are six times the tail
 * latency of an idle service. With lower targets, less CPU counts as unused
 * than is; with higher ones, too much does, and rising tail latencies correct
 * it. */
#define IDLE_SLACK 6.0
/* Slack kept in reserve: load can cost this much more until the next report
 * arrives and new paces take effect. */
#define SLACK_RESERVE 0.6
/* Reserve below an image's minimum base slack, which hardly falls further. */
#define MIN_SLACK_RESERVE 0.15

/* Returns the base slack less `reserve`, but at least the image's minimum base
 * slack less MIN_SLACK_RESERVE. */
static double slack_less_reserve(const struct sched *s,
				 const struct sched_run *run, double reserve)
{
	double min_slack =
		interfere_min_slack(&s->interfere, run->task->step->image);

	return fmax(run->base_slack - reserve, min_slack - MIN_SLACK_RESERVE);
}

double sched_guaranteed_slack(const struct sched *s,
			      const struct sched_run *run)
{
	return slack_less_reserve(s, run, SLACK_RESERVE);
}

int64_t sched_unused_milli(const struct sched *s, const struct sched_run *run)
{
	const struct jobspec_step *def = run->task->step->def;
	/* No reserve: commands and ends in transit leave part of the granted
	 * CPU unused anyway. */
	double part = slack_less_reserve(s, run, 0) / IDLE_SLACK;

	if (!def->tail_goal_ms)
		return 0;
	return (int64_t)((double)def->cpu_milli * fmin(part, 1));
}

double sched_cpu_share(const struct sched_worker *w, int64_t milli)
{
	return w->row.total.cpu_milli > 0
		       ? (double)milli / (double)w->row.total.cpu_milli
		       : 0;
}

/* Returns the slack that all best-effort load at the worker costs a serving
 * task. */
static double slack_taken(const struct sched *s, const struct sched_worker *w,
			  const struct sched_step *serving)
{
	double total = 0;

	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;

		if (run->task->step->def->best_effort)
			total += interfere_weight(&s->interfere, serving->image,
						  run->task->step->image) *
				 sched_cpu_share(w, run->gauge);
	}
	return total;
}

/* Adds a share to the image's load. Images beyond SCHED_LOADS_MAX are ignored.
 * Returns the new length. */
static int32_t add_load(struct interfere_load *loads, int32_t n, int32_t image,
			double share)
{
	int32_t i = 0;

	while (i < n && loads[i].image != image)
		i++;
	if (i == SCHED_LOADS_MAX)
		return n;
	if (i == n)
		loads[n++] = (struct interfere_load){ .image = image };
	loads[i].share += share;
	return n;
}

static int32_t gather_loads(const struct sched_worker *w,
			    struct interfere_load *loads)
{
	int32_t n = 0;

	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;

		if (run->task->step->def->best_effort)
			n = add_load(loads, n, run->task->step->image,
				     sched_cpu_share(w, run->gauge));
	}
	return n;
}

/* Reports the change of slack since the last measurement to the model, unless
 * the two measurements can't be compared. */
static void learn_change(struct sched *s, const struct sched_worker *w,
			 const struct sched_run *run, double slack,
			 const struct interfere_load *changes, int32_t n,
			 int64_t now_ms)
{
	int64_t age = now_ms - w->measured_ms;
	struct interfere_change change = {
		.slack = slack - run->measured_slack,
		.seconds = (double)age / 1000,
		.loads = changes,
		.n = n,
	};

	if (!n || !run->measured_ms || run->measured_ms != w->measured_ms ||
	    age > MEASURE_AGE_MAX_MS)
		return;
	if (fmax(slack, run->measured_slack) < SLACK_SATURATED ||
	    fmax(slack, run->measured_slack) >= INTERFERE_SLACK_MAX)
		return;
	interfere_observe(&s->interfere, run->task->step->image, &change);
}

static void update_over_target(struct sched_run *run, int64_t now_ms)
{
	const struct jobspec_step *def = run->task->step->def;

	if (run->gauge * 100 < def->tail_goal_ms * WITHIN_TARGET_PERCENT)
		run->over_target_since_ms = 0;
	else if (!run->over_target_since_ms && run->gauge >= def->tail_goal_ms)
		run->over_target_since_ms = now_ms;
}

static void update_base_slack(struct sched *s, const struct sched_worker *w,
			      struct sched_run *run, double slack, bool stale,
			      int64_t now_ms)
{
	const struct sched_step *step = run->task->step;
	double base = slack + slack_taken(s, w, step);

	if (stale && base < run->base_slack &&
	    now_ms - run->base_slack_ms < TAIL_STALE_MAX_MS)
		return;
	run->base_slack += BASE_SLACK_WEIGHT * (base - run->base_slack);
	run->base_slack_ms = now_ms;
	sched_set_unused_milli(run, sched_unused_milli(s, run));
	if (!stale && slack > SLACK_SATURATED)
		interfere_note_base_slack(&s->interfere, step->image, base);
}

void sched_measure_slack(struct sched *s, struct sched_worker *w,
			 int64_t now_ms)
{
	struct interfere_load loads[SCHED_LOADS_MAX];
	struct interfere_load changes[SCHED_LOADS_MAX];
	bool stale = now_ms < w->tails_stale_until_ms;
	int32_t n = gather_loads(w, loads);
	int32_t n_changes = n;
	bool too_soon = now_ms - w->measured_ms < MEASURE_INTERVAL_MIN_MS;

	memcpy(changes, loads, (size_t)n * sizeof(*loads));
	for (int32_t i = 0; i < w->n_measured; i++)
		n_changes = add_load(changes, n_changes, w->measured[i].image,
				     -w->measured[i].share);
	for (GList *i = w->runs.head; i; i = i->next) {
		struct sched_run *run = i->data;
		const struct jobspec_step *def = run->task->step->def;
		double slack;

		if (!def->tail_goal_ms)
			continue;
		update_over_target(run, now_ms);
		if (too_soon || run->gauge <= 0 || run->percent < 100)
			continue;
		slack = interfere_slack(run->gauge, def->tail_goal_ms);
		if (!stale) {
			learn_change(s, w, run, slack, changes, n_changes,
				     now_ms);
			run->measured_slack = slack;
			run->measured_ms = now_ms;
		}
		update_base_slack(s, w, run, slack, stale, now_ms);
	}
	if (stale || too_soon)
		return;
	memcpy(w->measured, loads, (size_t)n * sizeof(*loads));
	w->n_measured = n;
	w->measured_ms = now_ms;
}

void sched_mark_tails_stale(struct sched *s, struct sched_worker *w,
			    const struct sched_step *step, int64_t milli,
			    int64_t now_ms)
{
	double share = sched_cpu_share(w, milli);

	for (const GList *i = w->runs.head; i && w->n_serving; i = i->next) {
		const struct sched_step *serving =
			((const struct sched_run *)i->data)->task->step;

		if (!serving->def->tail_goal_ms)
			continue;
		if (interfere_weight(&s->interfere, serving->image,
				     step->image) *
			    share <
		    STALE_SLACK_MIN)
			continue;
		w->tails_stale_until_ms = now_ms + TAIL_STALE_MS;
		return;
	}
}
