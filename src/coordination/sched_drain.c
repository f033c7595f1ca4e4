/* Taking work off VMs that are to go away, within what steps can spare. */
#include <string.h>

#include "coordination/sched_int.h"

static bool is_at_work(const struct sched_run *run)
{
	return run->state == SCHED_RUN_ACTIVE && run->percent == 100 &&
	       !run->stopping && !run->worker->unreachable;
}

/* Tasks of the step that are not at work anywhere. */
static int32_t count_away(const struct sched_step *step)
{
	int32_t away = 0;

	for (int32_t k = 0; k < step->def->tasks; k++) {
		const struct sched_run *run = step->tasks[k].runs;

		while (run && !is_at_work(run))
			run = run->next_of_task;
		away += !run;
	}
	return away;
}

static bool has_budget(const struct sched_step *step)
{
	return step->def->lasts && step->def->unavailable_max >= 0;
}

/* May `n` more tasks of the step be taken away? */
static bool can_spare(const struct sched_step *step, int32_t n)
{
	return !has_budget(step) ||
	       count_away(step) + n <= step->def->unavailable_max;
}

static bool has_place(const struct sched *s, const struct sched_step *step,
		      int64_t now_ms)
{
	const struct catalog_queue *q = step->round->job->queue;

	for (guint i = 0; q && i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);

		if (sched_is_eligible(s, step, q, w, now_ms) &&
		    sched_fits(step, w))
			return true;
	}
	return false;
}

/* Can it go on elsewhere without loss? */
static bool is_movable(const struct sched_run *run)
{
	const struct jobspec_step *def = run->task->step->def;

	return run->state == SCHED_RUN_ACTIVE && !run->stopping && !def->gang &&
	       (def->lasts || def->checkpoints);
}

/*
 * What can go on elsewhere leaves a draining worker while it still answers: an
 * end is listed at once, while a lease has to run out. The worker goes whatever
 * its tasks can spare.
 */
static void leave_draining(struct sched *s, struct sched_worker *w,
			   int64_t now_ms)
{
	for (GList *i = w->runs.head; i; i = i->next) {
		if (is_movable(i->data))
			sched_run_stop(s, i->data, now_ms, "worker leaves");
	}
}

/* The worker goes when its tasks can spare it. */
static void leave_emptied(struct sched *s, struct sched_worker *w,
			  int64_t now_ms)
{
	for (GList *i = w->runs.head; i; i = i->next) {
		struct sched_run *run = i->data;
		const struct sched_step *step = run->task->step;

		if (!is_movable(run))
			continue;
		if (step->def->lasts &&
		    (!can_spare(step, 1) || !has_place(s, step, now_ms)))
			continue;
		sched_run_stop(s, run, now_ms, "VM is emptied");
	}
}

void sched_drain_worker(struct sched *s, struct sched_worker *w, int64_t now_ms)
{
	if (s->ownership != SCHED_OWNER_CERTAIN)
		return;
	if (w->row.draining)
		leave_draining(s, w, now_ms);
	else if (w->evacuating)
		leave_emptied(s, w, now_ms);
}

static bool is_on(const struct sched_worker *w, const char *vm)
{
	return !strcmp(w->row.vm, vm);
}

void sched_vm_evacuate(struct sched *s, const char *vm, bool on)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);

		if (is_on(w, vm))
			w->evacuating = on;
	}
}

/* Tasks of the run's step at its worker. */
static int32_t mates_here(const struct sched_run *run)
{
	return sched_count_tasks_at(run->task->step, run->worker);
}

static bool may_end(const struct sched *s, const struct sched_worker *w,
		    bool late, int64_t now_ms)
{
	if (!w->reconciled || w->unreachable)
		return false;
	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;
		const struct sched_step *step = run->task->step;
		/* Those that are away are counted already. */
		int32_t more = is_at_work(run) ? mates_here(run) : 0;

		if (!can_spare(step, more))
			return false;
		if (!late && (!step->def->lasts || run->stopping ||
			      has_place(s, step, now_ms)))
			return false;
	}
	return true;
}

bool sched_vm_may_terminate(const struct sched *s, const char *vm, bool late,
			    int64_t now_ms)
{
	/* An unlisted one may run on: its entry lapses with the store. */
	for (guint i = 0; i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);

		if (is_on(w, vm) && !may_end(s, w, late, now_ms))
			return false;
	}
	return true;
}
