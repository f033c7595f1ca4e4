/* Makes room for tasks that fit nowhere: evicts tasks of lower priority, and
 * reserves what becomes free for long-running tasks. */
#include "coordination/sched_int.h"

/* Pause between evictions for one step, in ms, in addition to the time that a
 * stop takes: the next report shows the freed room. */
#define EVICT_PAUSE_MS 300

/* Returns whether stopping the run for a task of this priority loses at most
 * the work since its last checkpoint. */
static bool is_evictable(const struct sched_run *run, int32_t priority)
{
	const struct catalog_queue *q = run->task->step->round->job->queue;
	const struct jobspec_step *def = run->task->step->def;

	return q && q->priority > priority && def->checkpoints && !def->gang &&
	       !def->is_long_running && run->state == SCHED_RUN_ACTIVE;
}

/* Returns whether the run's end is under way or can be brought about, and frees
 * CPU: best-effort tasks have none of their own. */
static bool can_free_cpu(const struct sched_run *run, int32_t priority)
{
	return run->stopping || (is_evictable(run, priority) &&
				 !run->task->step->def->best_effort);
}

/* What a task of a step lacks at a worker. */
struct shortage {
	int64_t cpu_milli;
	int64_t mem_mib;
};

/* Returns whether stops under way and evictions free CPU for the task, and the
 * memory that it lacks besides. */
static bool can_make_room(const struct sched_worker *w, int32_t priority,
			  struct shortage lacks)
{
	if (lacks.cpu_milli <= 0)
		return lacks.mem_mib <= 0;
	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;

		if (!can_free_cpu(run, priority))
			continue;
		lacks.cpu_milli -= run->task->step->def->cpu_milli;
		lacks.mem_mib -= run->task->step->def->mem_mib;
	}
	return lacks.cpu_milli <= 0 && lacks.mem_mib <= 0;
}

/* Returns whether evictions for the step have had time to take effect. */
static bool may_evict(const struct sched *s, const struct sched_step *step,
		      int64_t now_ms)
{
	return !step->evicted_ms || step->evicted_ms == now_ms ||
	       now_ms >= step->evicted_ms + s->lim.stop_ms + EVICT_PAUSE_MS;
}

/* Returns what the task lacks, reserved room aside; negative: what is left. */
static struct shortage balance_at(const struct jobspec_step *def,
				  const struct sched_worker *w)
{
	return (struct shortage){
		.cpu_milli = def->cpu_milli + w->used.cpu_milli -
			     w->row.total.cpu_milli,
		.mem_mib =
			def->mem_mib + w->used.mem_mib - w->row.total.mem_mib,
	};
}

static void evict_for_cpu(struct sched *s, const struct sched_rank *r,
			  struct sched_worker *w, struct shortage lacks,
			  int64_t now_ms)
{
	for (GList *i = w->runs.tail;
	     i && (lacks.cpu_milli > 0 || lacks.mem_mib > 0); i = i->prev) {
		struct sched_run *run = i->data;

		if (!can_free_cpu(run, r->priority))
			continue;
		lacks.cpu_milli -= run->task->step->def->cpu_milli;
		lacks.mem_mib -= run->task->step->def->mem_mib;
		if (run->stopping)
			continue;
		s->counts.evicted++;
		sched_run_stop(s, run, now_ms,
			       "evicted for a task of higher priority");
	}
}

void sched_evict_for_step(struct sched *s, const struct sched_rank *r,
			  struct sched_worker **list, int32_t n, int64_t now_ms)
{
	const struct jobspec_step *def = r->step->def;
	struct sched_worker *best = NULL;
	struct shortage least = { 0 };

	if (def->best_effort || !may_evict(s, r->step, now_ms))
		return;
	for (int32_t i = 0; i < n; i++) {
		struct shortage lacks = balance_at(def, list[i]);

		if (!can_make_room(list[i], r->priority, lacks))
			continue;
		if (best && lacks.cpu_milli >= least.cpu_milli)
			continue;
		best = list[i];
		least = lacks;
	}
	if (!best)
		return;
	r->step->evicted_ms = now_ms;
	evict_for_cpu(s, r, best, least, now_ms);
}

static struct shortage shortage_at(const struct jobspec_step *def,
				   const struct sched_worker *w)
{
	return (struct shortage){
		.cpu_milli = MAX(0, def->cpu_milli + w->used.cpu_milli +
					    w->reserved.cpu_milli -
					    w->row.total.cpu_milli),
		.mem_mib = MAX(0, def->mem_mib + w->used.mem_mib +
					  w->reserved.mem_mib -
					  w->row.total.mem_mib),
	};
}

/* Returns whether the task fits once all but long-running tasks have ended. */
static bool will_fit(const struct sched_step *step,
		     const struct sched_worker *w)
{
	const struct jobspec_step *def = step->def;

	return def->cpu_milli + w->long_lived.cpu_milli +
			       w->reserved.cpu_milli <=
		       w->row.total.cpu_milli &&
	       def->mem_mib + w->long_lived.mem_mib + w->reserved.mem_mib <=
		       w->row.total.mem_mib &&
	       def->accelerators + w->long_lived.accelerators +
			       w->reserved.accelerators <=
		       w->row.total.accelerators &&
	       (!def->spread_max ||
		sched_count_tasks_at(step, w) < def->spread_max);
}

/* Returns the worker where the task will fit soonest: that with the smallest
 * shortage of CPU, then of memory. */
static struct sched_worker *choose_reserved(struct sched *s,
					    const struct sched_step *step,
					    struct sched_worker **list,
					    int32_t n)
{
	struct sched_worker *best = NULL;
	struct shortage least = { 0 };

	s->pass_work += n;
	for (int32_t i = 0; i < n; i++) {
		struct shortage lacks = shortage_at(step->def, list[i]);

		if (best && (lacks.cpu_milli > least.cpu_milli ||
			     (lacks.cpu_milli == least.cpu_milli &&
			      lacks.mem_mib >= least.mem_mib)))
			continue;
		if (!will_fit(step, list[i]))
			continue;
		best = list[i];
		least = lacks;
	}
	return best;
}

static void free_reserved(struct sched *s, const struct sched_rank *r,
			  struct sched_worker *w, struct shortage lacks,
			  int64_t now_ms)
{
	for (GList *i = w->runs.tail;
	     i && (lacks.cpu_milli > 0 || lacks.mem_mib > 0); i = i->prev) {
		struct sched_run *run = i->data;
		const struct jobspec_step *def = run->task->step->def;
		bool helps = lacks.mem_mib > 0 || !def->best_effort;

		if (!run->stopping &&
		    (!helps || !is_evictable(run, r->priority)))
			continue;
		lacks.mem_mib -= def->mem_mib;
		lacks.cpu_milli -= def->best_effort ? 0 : def->cpu_milli;
		if (run->stopping)
			continue;
		s->counts.evicted++;
		r->step->evicted_ms = now_ms;
		sched_run_stop(s, run, now_ms,
			       "makes way for a long-running task");
	}
}

void sched_reserve_room(struct sched *s, const struct sched_rank *r,
			struct sched_worker **list, int32_t n, int64_t now_ms)
{
	const struct jobspec_step *def = r->step->def;
	struct sched_worker *w = choose_reserved(s, r->step, list, n);
	struct shortage lacks;

	if (!w)
		return;
	lacks = shortage_at(def, w);
	w->reserved.cpu_milli += def->cpu_milli;
	w->reserved.mem_mib += def->mem_mib;
	w->reserved.accelerators += def->accelerators;
	if (may_evict(s, r->step, now_ms))
		free_reserved(s, r, w, lacks, now_ms);
}

void sched_clear_reservations(struct sched *s)
{
	s->reservations_old = false;
	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);

		w->reserved = (struct place_resources){ 0 };
	}
}
