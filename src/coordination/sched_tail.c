/* What tails tell: the slack of serving tasks, and what takes it from them. */
#include <math.h>
#include <string.h>

#include "coordination/sched_int.h"

/* Weight of the newest measurement in a task's slack alone. */
#define NEWEST_WEIGHT 0.9
/* A tail covers half a second: after something that took more than this much
 * slack has left or slowed, the tail shows it for so long, in ms. */
#define BLUR_LEAST 0.3
#define BLUR_MS 700
/* A slack that couldn't be measured for this long, in ms, is taken as the tail
 * shows it. */
#define BLUR_MAX_MS 1500
/* Two measurements closer than this, in ms, show the same tail; further apart
 * than the second, the tasks' own load has changed too much. */
#define MEASURE_GAP_MS 150
#define MEASURE_AGE_MAX_MS 2500
/* Below this slack a tail hardly grows with what disturbs it. */
#define SATURATED 0.6
/* Measured tails are rough: one below this part of the target, in percent,
 * shows that a task is within it again. */
#define WITHIN_PERCENT 85

/* Slack of a task that does nothing: the sites' targets are six times the tail
 * of an idle service. Where they are less, less is taken for idle than is;
 * where they are more, tails that grow too far correct it. */
#define IDLE_SLACK 6.0
/* Slack that is kept: the tasks' load grows by this much until the next look
 * is answered and the new pace works. */
#define KEPT_SLACK 0.6
/* Kept of a task's least slack alone, which can't fall any further. */
#define KEPT_FLOOR 0.15

/* Slack alone once `kept` of it is gone, but never below the image's floor. */
static double least_slack(const struct sched *s, const struct sched_run *run,
			  double kept)
{
	double floor =
		interfere_min_slack(&s->interfere, run->task->step->image);

	return fmax(run->slack - kept, floor - KEPT_FLOOR);
}

double sched_sure_slack(const struct sched *s, const struct sched_run *run)
{
	return least_slack(s, run, KEPT_SLACK);
}

int64_t sched_idle_of(const struct sched *s, const struct sched_run *run)
{
	const struct jobspec_step *def = run->task->step->def;
	/* Nothing is kept: orders and ends on their way leave some of what is
	 * given out unused. */
	double part = least_slack(s, run, 0) / IDLE_SLACK;

	if (!def->tail_goal_ms)
		return 0;
	return (int64_t)((double)def->cpu_milli * fmin(part, 1));
}

double sched_share(const struct sched_worker *w, int64_t milli)
{
	return w->row.total.cpu_milli > 0
		       ? (double)milli / (double)w->row.total.cpu_milli
		       : 0;
}

/* Slack that all best-effort work at the worker takes from a serving task. */
static double taken(const struct sched *s, const struct sched_worker *w,
		    const struct sched_step *serving)
{
	double sum = 0;

	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;

		if (run->task->step->def->best_effort)
			sum += interfere_weight(&s->interfere, serving->image,
						run->task->step->image) *
			       sched_share(w, run->gauge);
	}
	return sum;
}

/* Adds a share of an image to the list; what has no room in it is left out. */
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
				     sched_share(w, run->gauge));
	}
	return n;
}

/* What changed at the task since its last measurement, if that can be told. */
static void learn(struct sched *s, const struct sched_worker *w,
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
	if (fmax(slack, run->measured_slack) < SATURATED ||
	    fmax(slack, run->measured_slack) >= INTERFERE_SLACK_MAX)
		return;
	interfere_observe(&s->interfere, run->task->step->image, &change);
}

static void note_target(struct sched_run *run, int64_t now_ms)
{
	const struct jobspec_step *def = run->task->step->def;

	if (run->gauge * 100 < def->tail_goal_ms * WITHIN_PERCENT)
		run->over_since_ms = 0;
	else if (!run->over_since_ms && run->gauge >= def->tail_goal_ms)
		run->over_since_ms = now_ms;
}

static void measure_alone(struct sched *s, const struct sched_worker *w,
			  struct sched_run *run, double slack, bool blurred,
			  int64_t now_ms)
{
	const struct sched_step *step = run->task->step;
	double alone = slack + taken(s, w, step);

	if (blurred && alone < run->slack &&
	    now_ms - run->slack_ms < BLUR_MAX_MS)
		return;
	run->slack += NEWEST_WEIGHT * (alone - run->slack);
	run->slack_ms = now_ms;
	sched_set_idle(run, sched_idle_of(s, run));
	if (!blurred && slack > SATURATED)
		interfere_note_base_slack(&s->interfere, step->image, alone);
}

void sched_measure(struct sched *s, struct sched_worker *w, int64_t now_ms)
{
	struct interfere_load loads[SCHED_LOADS_MAX];
	struct interfere_load changes[SCHED_LOADS_MAX];
	bool blurred = now_ms < w->blurred_until_ms;
	int32_t n = gather_loads(w, loads);
	int32_t n_changes = n;
	bool again = now_ms - w->measured_ms < MEASURE_GAP_MS;

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
		note_target(run, now_ms);
		if (again || run->gauge <= 0 || run->percent < 100)
			continue;
		slack = interfere_slack(run->gauge, def->tail_goal_ms);
		if (!blurred) {
			learn(s, w, run, slack, changes, n_changes, now_ms);
			run->measured_slack = slack;
			run->measured_ms = now_ms;
		}
		measure_alone(s, w, run, slack, blurred, now_ms);
	}
	if (blurred || again)
		return;
	memcpy(w->measured, loads, (size_t)n * sizeof(*loads));
	w->n_measured = n;
	w->measured_ms = now_ms;
}

void sched_blur(struct sched *s, struct sched_worker *w,
		const struct sched_step *step, int64_t milli, int64_t now_ms)
{
	double share = sched_share(w, milli);

	for (const GList *i = w->runs.head; i && w->serving; i = i->next) {
		const struct sched_step *serving =
			((const struct sched_run *)i->data)->task->step;

		if (!serving->def->tail_goal_ms)
			continue;
		if (interfere_weight(&s->interfere, serving->image,
				     step->image) *
			    share <
		    BLUR_LEAST)
			continue;
		w->blurred_until_ms = now_ms + BLUR_MS;
		return;
	}
}
