/*
 * Pacing: limits the speed of best-effort tasks so that serving tasks at the
 * same worker stay within their response-time targets. Slack is target / tail
 * latency. Each serving task has a slack budget that best-effort tasks may use
 * up; interfere.h estimates how much each of them uses.
 */
#include <math.h>

#include "coordination/sched_int.h"

/* Slack budget that is always granted: measurements can't resolve so little. */
#define SLACK_LOSS_TOLERATED 0.1
/* A best-effort task that costs more slack than this is harmful. At the sites,
 * harmless pairs of images cost at most a third of it, harmful ones at least
 * twice as much. */
#define SLACK_LOSS_HARMFUL 0.5

/* Lowest speed; a slower task is paused, since it would occupy memory for
 * almost no progress. */
#define SPEED_MIN 0.1
/* Most best-effort tasks paced at one worker; no site has half as many. */
#define PACED_MAX 128
/* If a serving task is over its target for this percentage of impact_ms, all
 * best-effort tasks beside it are paused, even those that the model considers
 * harmless: the model may be wrong. */
#define PAUSE_ALL_PERCENT 40
/* Paces are rounded down to a multiple of this many percent, to send fewer
 * commands. */
#define PACE_STEP_PERCENT 10

static bool is_best_effort(const struct sched_run *run)
{
	return run->task->step->def->best_effort && !run->stopping;
}

/* Returns the slack that a best-effort task of `other` using `milli` costs a
 * serving task. */
static double slack_cost_of(const struct sched *s, const struct sched_worker *w,
			    const struct sched_step *serving,
			    const struct sched_step *other, int64_t milli)
{
	return interfere_weight(&s->interfere, serving->image, other->image) *
	       sched_cpu_share(w, milli);
}

/* Returns the slack that best-effort tasks may cost a serving task. */
static double slack_budget(const struct sched *s, const struct sched_run *run)
{
	return fmax(sched_guaranteed_slack(s, run) - 1, SLACK_LOSS_TOLERATED);
}

/* Returns the slack budget left for `step` beside a serving task, after all
 * best-effort tasks that disturb it no more than `step` does. */
static double remaining_budget(const struct sched *s,
			       const struct sched_worker *w,
			       const struct sched_run *serving,
			       const struct sched_step *step)
{
	const struct sched_step *serving_step = serving->task->step;
	double own_weight = interfere_weight(&s->interfere, serving_step->image,
					     step->image);
	double budget = slack_budget(s, serving);

	for (const GList *i = w->runs.head; i && budget > 0; i = i->next) {
		const struct sched_run *run = i->data;
		const struct sched_step *other = run->task->step;
		double weight;

		if (!is_best_effort(run))
			continue;
		weight = interfere_weight(&s->interfere, serving_step->image,
					  other->image);
		if (weight <= own_weight)
			budget -= weight *
				  sched_cpu_share(w, other->def->cpu_milli);
	}
	return fmax(budget, 0);
}

/*
 * Returns the slack budget that a serving task has even at the peak of its
 * load. A harmful best-effort task must fit into that: load varies within a few
 * times the task's length, so a low load now doesn't last. Pairs of images that
 * are not measured yet are not limited by it.
 */
static double min_slack_budget(const struct sched *s,
			       const struct sched_step *serving)
{
	return fmax(interfere_min_slack(&s->interfere, serving->image) - 1, 0);
}

double sched_colocated_speed(const struct sched *s,
			     const struct sched_worker *w,
			     const struct sched_step *step)
{
	double speed = 1;

	for (const GList *i = w->runs.head; w->n_serving && i; i = i->next) {
		const struct sched_run *run = i->data;
		const struct sched_step *serving = run->task->step;
		double cost;

		if (!serving->def->tail_goal_ms)
			continue;
		cost = slack_cost_of(s, w, serving, step, step->def->cpu_milli);
		if (!interfere_may_explore(&s->interfere, serving->image,
					   step->image, s->placement_ms))
			return 0;
		if (cost > SLACK_LOSS_HARMFUL &&
		    interfere_is_known(&s->interfere, serving->image,
				       step->image))
			speed = fmin(speed,
				     min_slack_budget(s, serving) / cost);
		if (cost > 0)
			speed = fmin(speed,
				     remaining_budget(s, w, run, step) / cost);
	}
	return speed;
}

void sched_record_exploration(struct sched *s, const struct sched_run *run,
			      int64_t now_ms)
{
	const struct sched_worker *w = run->worker;

	for (const GList *i = w->runs.head; w->n_serving && i; i = i->next) {
		const struct sched_step *serving =
			((const struct sched_run *)i->data)->task->step;

		if (serving->def->tail_goal_ms)
			interfere_note_exploring(&s->interfere, serving->image,
						 run->task->step->image,
						 now_ms);
	}
}

/* A best-effort run whose pace is being computed. */
struct paced_run {
	struct sched_run *run;
	double speed;
	/* Both for the serving task under consideration: */
	double weight; /* slack cost per CPU share */
	double slack_cost; /* at full speed */
};

static struct paced_run *most_harmful(struct paced_run *list, int32_t n)
{
	struct paced_run *worst = NULL;

	for (int32_t i = 0; i < n; i++) {
		if (list[i].speed <= 0 || list[i].slack_cost <= 0)
			continue;
		if (!worst || list[i].weight > worst->weight)
			worst = &list[i];
	}
	return worst;
}

/* Slows down the runs that disturb this serving task most, until the rest fits
 * its slack budget. */
static void throttle_for(const struct sched *s, const struct sched_worker *w,
			 const struct sched_run *serving,
			 struct paced_run *list, int32_t n)
{
	double excess = -slack_budget(s, serving);

	for (int32_t i = 0; i < n; i++) {
		const struct sched_step *step = list[i].run->task->step;

		list[i].weight = interfere_weight(
			&s->interfere, serving->task->step->image, step->image);
		list[i].slack_cost = list[i].weight *
				     sched_cpu_share(w, step->def->cpu_milli);
		excess += list[i].slack_cost * list[i].speed;
	}
	/* Each pass either reaches the budget or pauses one run. */
	for (int32_t pass = 0; pass < n && excess > 0; pass++) {
		struct paced_run *worst = most_harmful(list, n);
		double cut;

		if (!worst)
			return;
		cut = fmin(worst->speed, excess / worst->slack_cost);
		excess -= cut * worst->slack_cost;
		worst->speed -= cut;
		if (worst->speed < SPEED_MIN)
			worst->speed = 0;
	}
}

/* Limits the best-effort runs to the idle CPU, since more would be taken from
 * the serving tasks. Slows down the newest runs, so that older ones finish. */
static void fit_into_idle_cpu(const struct sched_worker *w,
			      struct paced_run *list, int32_t n)
{
	double excess = -(double)sched_best_effort_capacity(w);

	for (int32_t i = 0; i < n; i++)
		excess += list[i].speed *
			  (double)list[i].run->task->step->def->cpu_milli;
	for (int32_t i = n - 1; i >= 0 && excess > 0; i--) {
		double milli = (double)list[i].run->task->step->def->cpu_milli;
		double cut = fmin(list[i].speed, excess / fmax(milli, 1));

		list[i].speed -= cut;
		excess -= cut * milli;
		if (list[i].speed < SPEED_MIN)
			list[i].speed = 0;
	}
}

static void set_pace(struct sched *s, struct sched_run *run, double speed,
		     int64_t now_ms)
{
	int32_t pace =
		(int32_t)(speed * 100) / PACE_STEP_PERCENT * PACE_STEP_PERCENT;
	struct sched_ref ref;

	if (pace == run->pace && !run->pace_uncertain)
		return;
	run->pace_uncertain = false;
	/* Restarts stall detection: progress was limited by the old pace. */
	run->progressed_ms = now_ms;
	if (pace < run->pace)
		sched_mark_tails_stale(s, run->worker, run->task->step,
				       run->task->step->def->cpu_milli *
					       (run->pace - pace) / 100,
				       now_ms);
	if (pace)
		run->paused_since_ms = 0;
	else if (!run->paused_since_ms)
		run->paused_since_ms = now_ms;
	sched_set_pace(run, pace);
	sched_run_ref(run, &ref);
	s->ops->pace(s->priv, run, &ref, pace);
}

static bool must_pause_all(const struct sched *s, const struct sched_worker *w,
			   int64_t now_ms)
{
	int64_t limit = s->lim.impact_ms * PAUSE_ALL_PERCENT / 100;

	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;

		if (run->over_target_since_ms &&
		    now_ms - run->over_target_since_ms >= limit)
			return true;
	}
	return false;
}

/* Sets the paces of all best-effort runs at the worker, or of `only` that run
 * if it is not NULL. */
static void set_paces(struct sched *s, struct sched_worker *w,
		      const struct sched_run *only, int64_t now_ms)
{
	struct paced_run list[PACED_MAX];
	bool pause_all = must_pause_all(s, w, now_ms);
	int32_t n = 0;

	for (GList *i = w->runs.head; i && n < PACED_MAX; i = i->next) {
		struct sched_run *run = i->data;

		if (is_best_effort(run) && run->state == SCHED_RUN_ACTIVE)
			list[n++] = (struct paced_run){
				.run = run, .speed = pause_all ? 0 : 1
			};
	}
	for (GList *i = w->runs.head; i && !pause_all; i = i->next) {
		struct sched_run *run = i->data;

		if (run->task->step->def->tail_goal_ms)
			throttle_for(s, w, run, list, n);
	}
	if (w->n_serving)
		fit_into_idle_cpu(w, list, n);
	for (int32_t i = 0; i < n; i++) {
		if (!only || list[i].run == only)
			set_pace(s, list[i].run, list[i].speed, now_ms);
	}
}

void sched_pace_new_run(struct sched *s, struct sched_run *run, int64_t now_ms)
{
	if (run->worker->n_serving && is_best_effort(run))
		set_paces(s, run->worker, run, now_ms);
}

void sched_adjust_paces(struct sched *s, struct sched_worker *w, int64_t now_ms)
{
	sched_measure_slack(s, w, now_ms);
	set_paces(s, w, NULL, now_ms);
}
