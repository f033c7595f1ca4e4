/* Makes room for tasks that fit nowhere: evicts tasks of lower priority, and
 * reserves what becomes free for long-running tasks. */
#include "coordination/sched_int.h"

/* Pause between evictions for one step, in ms, in addition to the time that a
 * stop takes: the next report shows the freed room. */
#define EVICT_PAUSE_MS 300

bool sched_is_evictable(const struct jobspec_step *def)
{
	return def->checkpoints && !def->gang && !def->is_long_running;
}

/* Returns whether the run may be stopped for a task of the ranked step. */
static bool is_evictable(const struct sched *s, const struct sched_run *run,
			 const struct sched_rank *r)
{
	const struct catalog_queue *q = run->task->step->round->job->queue;
	const struct jobspec_step *def = run->task->step->def;

	return q && q->priority > r->priority && sched_is_evictable(def) &&
	       run->state == SCHED_RUN_ACTIVE &&
	       sched_org_may_evict(s, r->step, run);
}

static bool has_evictable_cpu(const struct sched *s,
			      const struct sched_run *run,
			      const struct sched_rank *r)
{
	return !run->task->step->def->best_effort && is_evictable(s, run, r);
}

/* Returns whether evictions for the step have had time to take effect. */
static bool may_evict(const struct sched *s, const struct sched_step *step,
		      int64_t now_ms)
{
	return !step->evicted_ms || step->evicted_ms == now_ms ||
	       now_ms >= step->evicted_ms + s->lim.stop_ms + EVICT_PAUSE_MS;
}

/* Subtracts what the run's end frees: best-effort tasks have no CPU of their
 * own. */
static void subtract(struct place_resources *lacks, const struct sched_run *run)
{
	const struct jobspec_step *def = run->task->step->def;

	lacks->cpu_milli -= def->best_effort ? 0 : def->cpu_milli;
	lacks->mem_mib -= def->mem_mib;
	lacks->accelerators -= def->accelerators;
}

static bool is_lacking(const struct place_resources *lacks)
{
	return lacks->cpu_milli > 0 || lacks->mem_mib > 0 ||
	       lacks->accelerators > 0;
}

/* Returns what a task of the step lacks at the worker; no more than 0 where it
 * lacks nothing. */
static struct place_resources shortage_at(const struct jobspec_step *def,
					  const struct sched_worker *w)
{
	const struct place_resources *used = &w->used;
	const struct place_resources *kept = &w->reserved;
	const struct place_resources *total = &w->row.total;

	return (struct place_resources){
		def->cpu_milli + used->cpu_milli + kept->cpu_milli -
			total->cpu_milli,
		def->mem_mib + used->mem_mib + kept->mem_mib - total->mem_mib,
		def->accelerators + used->accelerators + kept->accelerators -
			total->accelerators,
	};
}

/* Returns what is lacking once stops under way have taken effect. */
static struct place_resources lacking_after_stops(struct place_resources lacks,
						  const struct sched_worker *w)
{
	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;

		if (run->stopping)
			subtract(&lacks, run);
	}
	return lacks;
}

/* Returns whether evicting runs that have CPU of their own makes room for the
 * task. Where no CPU is lacking, nothing is evicted. */
static bool can_make_room(const struct sched *s, const struct sched_worker *w,
			  const struct sched_rank *r,
			  struct place_resources lacks)
{
	if (lacks.cpu_milli <= 0 || w->n_isolated)
		return false;
	lacks = lacking_after_stops(lacks, w);
	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;

		if (!run->stopping && has_evictable_cpu(s, run, r))
			subtract(&lacks, run);
	}
	return !is_lacking(&lacks);
}

void sched_evict_for_step(struct sched *s, const struct sched_rank *r,
			  struct sched_worker **list, int32_t n, int64_t now_ms)
{
	const struct jobspec_step *def = r->step->def;
	struct place_resources lacks = { 0 };
	struct sched_worker *best = NULL;

	if (def->best_effort || !s->n_evictable ||
	    !may_evict(s, r->step, now_ms))
		return;
	for (int32_t i = 0; i < n; i++) {
		struct place_resources here = shortage_at(def, list[i]);

		if ((best && here.cpu_milli >= lacks.cpu_milli) ||
		    !can_make_room(s, list[i], r, here))
			continue;
		best = list[i];
		lacks = here;
	}
	if (!best)
		return;
	r->step->evicted_ms = now_ms;
	lacks = lacking_after_stops(lacks, best);
	for (GList *i = best->runs.tail; i && is_lacking(&lacks); i = i->prev) {
		struct sched_run *run = i->data;

		if (run->stopping || !has_evictable_cpu(s, run, r))
			continue;
		subtract(&lacks, run);
		s->counts.evicted++;
		sched_run_stop(s, run, now_ms,
			       "evicted for a task of higher priority");
	}
}

/* Returns whether the task fits once all but long-running tasks have ended. */
static bool will_fit(const struct sched_step *step,
		     const struct sched_worker *w)
{
	const struct jobspec_step *def = step->def;
	int32_t kept = w->reserved_for == step ? w->n_reserved : 0;

	return def->cpu_milli + w->long_lived.cpu_milli +
			       w->reserved.cpu_milli <=
		       w->row.total.cpu_milli &&
	       def->mem_mib + w->long_lived.mem_mib + w->reserved.mem_mib <=
		       w->row.total.mem_mib &&
	       def->accelerators + w->long_lived.accelerators +
			       w->reserved.accelerators <=
		       w->row.total.accelerators &&
	       (!def->spread_max ||
		sched_count_tasks_at(step, w) + kept < def->spread_max);
}

/* Returns how many of `wanted` tasks of the step, beside the reservations, will
 * fit once all but long-running tasks have ended. */
static int32_t count_future_room(const struct sched_step *step,
				 const struct sched_worker *w, int32_t wanted)
{
	const struct jobspec_step *def = step->def;
	struct sched_worker later = *w;
	int32_t n = 0;

	later.reserved_for = step;
	later.n_reserved = w->reserved_for == step ? w->n_reserved : 0;
	while (n < wanted && will_fit(step, &later)) {
		later.reserved.cpu_milli += def->cpu_milli;
		later.reserved.mem_mib += def->mem_mib;
		later.reserved.accelerators += def->accelerators;
		later.n_reserved++;
		n++;
	}
	return n;
}

bool sched_gang_will_fit(struct sched *s, const struct sched_step *step,
			 struct sched_worker **list, int32_t n)
{
	int32_t wanted = step->def->tasks;

	for (int32_t i = 0; i < n && wanted > 0; i++) {
		int32_t here = count_future_room(step, list[i], wanted);

		s->pass_work += 1 + here;
		wanted -= here;
	}
	return wanted <= 0;
}

/*
 * Returns how long the run is likely to go on if a task of the ranked step
 * needs its room. Estimates are rough: a run past its estimate is taken to need
 * a part of the time that it has had.
 */
static int64_t time_left_ms(const struct sched *s, const struct sched_run *run,
			    const struct sched_rank *r, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - run->started_ms;

	if (run->stopping || is_evictable(s, run, r))
		return s->lim.stop_ms;
	if (!run->pace)
		return INT64_MAX;
	return MAX(run->task->step->def->expected_ms - elapsed_ms,
		   elapsed_ms / 4);
}

/* Waiting times that make a difference to a task without room, in ms. */
static const int64_t wait_classes_ms[] = { 500, 1000, 2000, 4000, 8000, 16000 };
#define WAIT_CLASSES G_N_ELEMENTS(wait_classes_ms)

/* Returns the class of the time after which the task is likely to fit at the
 * worker; WAIT_CLASSES if that is longer still. */
static size_t wait_class(const struct sched *s, const struct sched_rank *r,
			 const struct sched_worker *w, int64_t now_ms)
{
	struct place_resources lacks = shortage_at(r->step->def, w);
	struct place_resources after[WAIT_CLASSES];
	size_t class = 0;

	for (size_t k = 0; k < WAIT_CLASSES; k++)
		after[k] = lacks;
	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;
		int64_t left_ms;

		if (run->task->step->def->is_long_running && !run->stopping)
			continue;
		left_ms = time_left_ms(s, run, r, now_ms);
		for (size_t k = 0; k < WAIT_CLASSES; k++) {
			if (left_ms <= wait_classes_ms[k])
				subtract(&after[k], run);
		}
	}
	while (class < WAIT_CLASSES && is_lacking(&after[class]))
		class ++;
	return class;
}

/* Returns the worker where the task will fit soonest. */
static struct sched_worker *choose_reserved(struct sched *s,
					    const struct sched_rank *r,
					    struct sched_worker **list,
					    int32_t n, int64_t now_ms)
{
	struct sched_worker *best = NULL;
	size_t best_class = 0;
	int64_t least = 0;

	for (int32_t i = 0; i < n; i++) {
		int64_t lacks = shortage_at(r->step->def, list[i]).cpu_milli;
		size_t class;

		s->pass_work++;
		if (!will_fit(r->step, list[i]))
			continue;
		s->pass_work += list[i]->runs.length;
		class = wait_class(s, r, list[i], now_ms);
		if (best && (class > best_class ||
			     (class == best_class && lacks >= least)))
			continue;
		best = list[i];
		best_class = class;
		least = lacks;
	}
	return best;
}

/* Evicts work at the worker if that, with the stops under way, makes room for
 * the task. */
static void free_reserved(struct sched *s, const struct sched_rank *r,
			  struct sched_worker *w, struct place_resources lacks,
			  int64_t now_ms)
{
	struct place_resources after;

	lacks = lacking_after_stops(lacks, w);
	after = lacks;
	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;

		if (!run->stopping && is_evictable(s, run, r))
			subtract(&after, run);
	}
	if (is_lacking(&after))
		return;
	for (GList *i = w->runs.tail; i && is_lacking(&lacks); i = i->prev) {
		struct sched_run *run = i->data;
		bool helps =
			!run->task->step->def->best_effort || lacks.mem_mib > 0;

		if (run->stopping || !helps || !is_evictable(s, run, r))
			continue;
		subtract(&lacks, run);
		s->counts.evicted++;
		r->step->evicted_ms = now_ms;
		sched_run_stop(s, run, now_ms,
			       "makes way for a long-running task");
	}
}

bool sched_reserve_room(struct sched *s, const struct sched_rank *r,
			struct sched_worker **list, int32_t n, int64_t now_ms)
{
	const struct jobspec_step *def = r->step->def;
	struct place_resources lacks;
	struct sched_worker *w;

	/* It has no room of its own but memory, which others leave in time. */
	if (def->best_effort)
		return false;
	w = choose_reserved(s, r, list, n, now_ms);
	if (!w)
		return false;
	lacks = shortage_at(def, w);
	w->reserved.cpu_milli += def->cpu_milli;
	w->reserved.mem_mib += def->mem_mib;
	w->reserved.accelerators += def->accelerators;
	w->n_reserved = w->reserved_for == r->step ? w->n_reserved + 1 : 1;
	w->reserved_for = r->step;
	if (!w->n_isolated && may_evict(s, r->step, now_ms))
		free_reserved(s, r, w, lacks, now_ms);
	return true;
}

void sched_clear_reservations(struct sched *s)
{
	s->reservations_old = false;
	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);

		w->reserved = (struct place_resources){ 0 };
		w->reserved_for = NULL;
	}
}
