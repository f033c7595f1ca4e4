/* Best-effort work beside serving tasks: as fast as their targets allow. */
#include <math.h>

#include "coordination/sched_int.h"

/* Slack that may be taken in any case; measurements can't tell so little. */
#define TOLERATED 0.1
/* Work that takes more slack than this disturbs; the sites' harmless pairs take
 * a third of it at most, harmful ones twice as much and more. */
#define DISTURBING 0.5

/* Slower than this is standing still, and holds memory for nothing. */
#define SPEED_LEAST 0.1
/* Best-effort tasks at one worker that are paced; no site has half as many. */
#define PACED_MAX 128
/* A task that stays over its target for this part of the time in which harm is
 * done, in percent, silences all best-effort work beside it, also what
 * seems harmless: the model may be wrong. */
#define SILENCE_PERCENT 40
/* Paces are told in steps of this many percent, to spare orders. */
#define PACE_STEP 10

static bool is_best_effort(const struct sched_run *run)
{
	return run->task->step->def->best_effort && !run->stopping;
}

/* Slack that work of an image takes from a serving task at full speed. */
static double cost(const struct sched *s, const struct sched_worker *w,
		   const struct sched_step *serving,
		   const struct sched_step *other, int64_t milli)
{
	return interfere_weight(&s->interfere, serving->image, other->image) *
	       sched_share(w, milli);
}

/* Slack that best-effort work may take from a serving task. */
static double room_of(const struct sched *s, const struct sched_run *run)
{
	return fmax(sched_sure_slack(s, run) - 1, TOLERATED);
}

/* What is left for `step` once all that disturbs no more than it has run. */
static double room_left(const struct sched *s, const struct sched_worker *w,
			const struct sched_run *serving,
			const struct sched_step *step)
{
	const struct sched_step *victim = serving->task->step;
	double own =
		interfere_weight(&s->interfere, victim->image, step->image);
	double room = room_of(s, serving);

	for (const GList *i = w->runs.head; i && room > 0; i = i->next) {
		const struct sched_run *run = i->data;
		const struct sched_step *other = run->task->step;
		double weight;

		if (!is_best_effort(run))
			continue;
		weight = interfere_weight(&s->interfere, victim->image,
					  other->image);
		if (weight <= own)
			room -= weight * sched_share(w, other->def->cpu_milli);
	}
	return fmax(room, 0);
}

/*
 * A task at the peak of its load has hardly any room, and loads swing within a
 * few of the work's lengths. So what is known to disturb is not begun in the
 * hope that the load stays low; what is not known yet is tried.
 */
static double lasting_room(const struct sched *s,
			   const struct sched_step *serving)
{
	return fmax(interfere_min_slack(&s->interfere, serving->image) - 1, 0);
}

double sched_speed_beside(const struct sched *s, const struct sched_worker *w,
			  const struct sched_step *step)
{
	double speed = 1;

	for (const GList *i = w->runs.head; w->serving && i; i = i->next) {
		const struct sched_run *run = i->data;
		const struct sched_step *serving = run->task->step;
		double wanted;

		if (!serving->def->tail_goal_ms)
			continue;
		wanted = cost(s, w, serving, step, step->def->cpu_milli);
		if (!interfere_may_explore(&s->interfere, serving->image,
					   step->image, s->placing_ms))
			return 0;
		if (wanted > DISTURBING &&
		    interfere_is_known(&s->interfere, serving->image,
				       step->image))
			speed = fmin(speed, lasting_room(s, serving) / wanted);
		if (wanted > 0)
			speed = fmin(speed,
				     room_left(s, w, run, step) / wanted);
	}
	return speed;
}

void sched_note_try(struct sched *s, const struct sched_run *run,
		    int64_t now_ms)
{
	for (const GList *i = run->worker->runs.head; i; i = i->next) {
		const struct sched_step *serving =
			((const struct sched_run *)i->data)->task->step;

		if (serving->def->tail_goal_ms)
			interfere_note_exploring(&s->interfere, serving->image,
						 run->task->step->image,
						 now_ms);
	}
}

/* One best-effort run while paces are worked out. */
struct paced {
	struct sched_run *run;
	double speed;
	double weight; /* for the serving task that is looked at */
	double price; /* slack that it takes from that one at full speed */
};

static struct paced *most_harmful(struct paced *list, int32_t n)
{
	struct paced *worst = NULL;

	for (int32_t i = 0; i < n; i++) {
		if (list[i].speed <= 0 || list[i].price <= 0)
			continue;
		if (!worst || list[i].weight > worst->weight)
			worst = &list[i];
	}
	return worst;
}

/* Slows what disturbs this serving task most until it is within its room. */
static void make_room(const struct sched *s, const struct sched_worker *w,
		      const struct sched_run *serving, struct paced *list,
		      int32_t n)
{
	double excess = -room_of(s, serving);

	for (int32_t i = 0; i < n; i++) {
		const struct sched_step *step = list[i].run->task->step;

		list[i].weight = interfere_weight(
			&s->interfere, serving->task->step->image, step->image);
		list[i].price =
			list[i].weight * sched_share(w, step->def->cpu_milli);
		excess += list[i].price * list[i].speed;
	}
	/* Each turn either makes the room or stops one run. */
	for (int32_t turn = 0; turn < n && excess > 0; turn++) {
		struct paced *worst = most_harmful(list, n);
		double cut;

		if (!worst)
			return;
		cut = fmin(worst->speed, excess / worst->price);
		excess -= cut * worst->price;
		worst->speed -= cut;
		if (worst->speed < SPEED_LEAST)
			worst->speed = 0;
	}
}

/* More than is idle would be taken from the serving tasks; the newest runs
 * wait, so that the others come to their end. */
static void keep_within_idle(const struct sched_worker *w, struct paced *list,
			     int32_t n)
{
	double excess = -(double)sched_idle_milli(w);

	for (int32_t i = 0; i < n; i++)
		excess += list[i].speed *
			  (double)list[i].run->task->step->def->cpu_milli;
	for (int32_t i = n - 1; i >= 0 && excess > 0; i--) {
		double milli = (double)list[i].run->task->step->def->cpu_milli;
		double cut = fmin(list[i].speed, excess / fmax(milli, 1));

		list[i].speed -= cut;
		excess -= cut * milli;
		if (list[i].speed < SPEED_LEAST)
			list[i].speed = 0;
	}
}

static void set_pace(struct sched *s, struct sched_run *run, double speed,
		     int64_t now_ms)
{
	int32_t pace = (int32_t)(speed * 100) / PACE_STEP * PACE_STEP;
	struct sched_ref ref;

	if (pace == run->pace && !run->pace_unsure)
		return;
	run->pace_unsure = false;
	/* It couldn't move as it should until now. */
	run->moved_ms = now_ms;
	if (pace < run->pace)
		sched_blur(s, run->worker, run->task->step,
			   run->task->step->def->cpu_milli *
				   (run->pace - pace) / 100,
			   now_ms);
	if (pace)
		run->paused_ms = 0;
	else if (!run->paused_ms)
		run->paused_ms = now_ms;
	sched_set_pace(run, pace);
	sched_ref_of(run, &ref);
	s->ops->pace(s->priv, run, &ref, pace);
}

static bool must_be_silent(const struct sched *s, const struct sched_worker *w,
			   int64_t now_ms)
{
	int64_t limit = s->lim.impact_ms * SILENCE_PERCENT / 100;

	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;

		if (run->over_since_ms && now_ms - run->over_since_ms >= limit)
			return true;
	}
	return false;
}

/* Paces of all best-effort work there, or of `only` one run. */
static void set_paces(struct sched *s, struct sched_worker *w,
		      const struct sched_run *only, int64_t now_ms)
{
	struct paced list[PACED_MAX];
	bool silent = must_be_silent(s, w, now_ms);
	int32_t n = 0;

	for (GList *i = w->runs.head; i && n < PACED_MAX; i = i->next) {
		struct sched_run *run = i->data;

		if (is_best_effort(run) && run->state == SCHED_RUN_ACTIVE)
			list[n++] = (struct paced){ .run = run,
						    .speed = silent ? 0 : 1 };
	}
	for (GList *i = w->runs.head; i && !silent; i = i->next) {
		struct sched_run *run = i->data;

		if (run->task->step->def->tail_goal_ms)
			make_room(s, w, run, list, n);
	}
	if (w->serving)
		keep_within_idle(w, list, n);
	for (int32_t i = 0; i < n; i++) {
		if (!only || list[i].run == only)
			set_pace(s, list[i].run, list[i].speed, now_ms);
	}
}

void sched_pace_new(struct sched *s, struct sched_run *run, int64_t now_ms)
{
	if (run->worker->serving && is_best_effort(run))
		set_paces(s, run->worker, run, now_ms);
}

void sched_pace(struct sched *s, struct sched_worker *w, int64_t now_ms)
{
	sched_measure(s, w, now_ms);
	set_paces(s, w, NULL, now_ms);
}
