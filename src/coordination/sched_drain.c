/* Moves tasks off draining workers and off VMs that are due for upkeep, within
 * each step's limit on unavailable tasks. */
#include <string.h>

#include "coordination/sched_int.h"

/* Returns whether the run is active, started up and not about to end. */
static bool is_available(const struct sched_run *run)
{
	return run->state == SCHED_RUN_ACTIVE && run->percent == 100 &&
	       !run->stopping && !run->worker->unreachable &&
	       !run->worker->terminating;
}

/* Returns the number of tasks of the step without an available run. */
static int32_t count_unavailable(const struct sched_step *step)
{
	int32_t unavailable = 0;

	for (int32_t k = 0; k < step->def->tasks; k++) {
		const struct sched_run *run = step->tasks[k].runs;

		while (run && !is_available(run))
			run = run->next_of_task;
		unavailable += !run;
	}
	return unavailable;
}

static bool has_disruption_budget(const struct sched_step *step)
{
	return step->def->is_long_running && step->def->unavailable_max >= 0;
}

/* Returns whether `n` more tasks of the step may become unavailable. */
static bool within_disruption_budget(const struct sched_step *step, int32_t n)
{
	return !has_disruption_budget(step) ||
	       count_unavailable(step) + n <= step->def->unavailable_max;
}

/* Returns the number of tasks of the step that will look for a place: those
 * without a run, and those that are being stopped. */
static int32_t count_displaced(const struct sched_step *step)
{
	int32_t n = 0;

	for (int32_t k = 0; k < step->def->tasks; k++) {
		const struct sched_task *t = &step->tasks[k];

		n += !t->done && (!t->runs || t->runs->stopping);
	}
	return n;
}

/* Returns whether one more task of the step, beside those that look for a place
 * already, fits on other workers. */
static bool fits_elsewhere(const struct sched *s, const struct sched_step *step,
			   int64_t now_ms)
{
	const struct catalog_queue *q = step->round->job->queue;
	int64_t wanted = 1 + (int64_t)count_displaced(step);

	for (guint i = 0; q && wanted > 0 && i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);

		if (sched_is_eligible(s, step, q, w, now_ms))
			wanted -= sched_count_fitting(step, w);
	}
	return q && wanted <= 0;
}

/* Returns whether the run can be stopped and continue elsewhere without loss.
 */
static bool is_movable(const struct sched_run *run)
{
	const struct jobspec_step *def = run->task->step->def;

	return run->state == SCHED_RUN_ACTIVE && !run->stopping && !def->gang &&
	       (def->is_long_running || def->checkpoints);
}

/*
 * Stops movable runs while the draining worker still answers: the end of a run
 * is reported at once, while a lease would have to expire first. Ignores the
 * limits on unavailable tasks, since the worker stops in any case.
 */
static void stop_on_draining(struct sched *s, struct sched_worker *w,
			     int64_t now_ms)
{
	for (GList *i = w->runs.head; i; i = i->next) {
		if (is_movable(i->data))
			sched_run_stop(s, i->data, now_ms,
				       "worker is draining");
	}
}

/* Stops movable runs as far as the limits on unavailable tasks allow. */
static void stop_on_evacuating(struct sched *s, struct sched_worker *w,
			       int64_t now_ms)
{
	for (GList *i = w->runs.head; i; i = i->next) {
		struct sched_run *run = i->data;
		const struct sched_step *step = run->task->step;

		if (!is_movable(run))
			continue;
		if (step->def->is_long_running &&
		    (!within_disruption_budget(step, 1) ||
		     !fits_elsewhere(s, step, now_ms)))
			continue;
		sched_run_stop(s, run, now_ms, "VM is being evacuated");
	}
}

void sched_drain_worker(struct sched *s, struct sched_worker *w, int64_t now_ms)
{
	if (s->ownership != SCHED_OWNER_CERTAIN)
		return;
	if (w->row.draining)
		stop_on_draining(s, w, now_ms);
	else if (w->evacuating)
		stop_on_evacuating(s, w, now_ms);
}

static bool runs_on_vm(const struct sched_worker *w, const char *vm)
{
	return !strcmp(w->row.vm, vm);
}

/* Returns whether the worker may run on the VM: the roster doesn't name the VM
 * of a worker, so it is unknown until the worker is listed. */
static bool may_run_on_vm(const struct sched_worker *w, const char *vm)
{
	return runs_on_vm(w, vm) || (!w->listed && !*w->row.vm);
}

void sched_vm_evacuate(struct sched *s, const char *vm, bool on)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);

		if (!runs_on_vm(w, vm))
			continue;
		w->evacuating = on;
		w->terminating &= on;
	}
}

void sched_vm_set_terminating(struct sched *s, const char *vm, bool on)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);

		if (runs_on_vm(w, vm))
			w->terminating = on;
	}
}

/* Returns the number of runs of this run's step at its worker. */
static int32_t count_step_tasks_here(const struct sched_run *run)
{
	return sched_count_tasks_at(run->task->step, run->worker);
}

static bool worker_may_terminate(const struct sched *s,
				 const struct sched_worker *w, bool late,
				 int64_t now_ms)
{
	if (!w->reconciled || w->unreachable)
		return false;
	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;
		const struct sched_step *step = run->task->step;
		/* Unavailable tasks are counted already. */
		int32_t more =
			is_available(run) ? count_step_tasks_here(run) : 0;

		if (!within_disruption_budget(step, more))
			return false;
		if (!late && (!step->def->is_long_running || run->stopping ||
			      fits_elsewhere(s, step, now_ms)))
			return false;
	}
	return true;
}

bool sched_vm_may_terminate(const struct sched *s, const char *vm, bool late,
			    int64_t now_ms)
{
	/* Includes workers that are not listed: they may still run while their
	 * entries have expired because the store is unavailable. */
	for (guint i = 0; i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);

		if (may_run_on_vm(w, vm) &&
		    !worker_may_terminate(s, w, late, now_ms))
			return false;
	}
	return true;
}
