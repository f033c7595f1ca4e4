/* Finds the tasks that get second copies, and workers for these. */
#include "coordination/sched_copies.h"

#include <talloc.h>

#include "coordination/copies.h"

/* Fills in how long the task's runs usually take. */
static void describe_usual_runs(const struct sched *s,
				const struct sched_step *step,
				struct copy_facts *f)
{
	const char *kind = step->round->job->spec->queue;
	int64_t expected_ms = step->def->expected_ms;

	if (step->timed_runs >= COPIES_SIBLINGS_MIN) {
		f->typical_ms = step->timed_ms / step->timed_runs;
		f->long_ms = f->typical_ms * COPIES_LONG_PERCENT / 100;
		return;
	}
	/* The others will tell. */
	if (step->def->tasks > COPIES_SIBLINGS_MIN) {
		f->long_ms = INT64_MAX;
		return;
	}
	f->typical_ms =
		run_times_quantile_ms(&s->run_times, kind, expected_ms, 0.5);
	f->long_ms = run_times_quantile_ms(&s->run_times, kind, expected_ms,
					   COPIES_LONG_QUANTILE);
}

/* Returns whether a second copy of the task, of which one run is active, pays.
 */
static bool needs_copy(const struct sched *s, const struct sched_task *t,
		       int64_t now_ms)
{
	const struct sched_run *run = t->runs;
	struct copy_facts f = { .failures = t->failures };

	if (!run || run->next_of_task || run->state != SCHED_RUN_ACTIVE ||
	    run->stopping || run->pace < 100 || t->done || t->crashes)
		return false;
	f.attempts = t->step->round->job->queue->attempts;
	f.elapsed_ms = now_ms - run->created_ms;
	f.percent = run->percent;
	f.percent_ms = run->progressed_ms - run->created_ms;
	describe_usual_runs(s, t->step, &f);
	return copies_pay(&f);
}

static bool may_have_copies(const struct sched_step *step)
{
	const struct jobspec_step *def = step->def;

	return def->speculative && !def->gang && !def->is_long_running &&
	       !def->best_effort && step->round->job->queue;
}

/* Returns the worker for a copy of the task: any but that of its run. */
static struct sched_worker *choose_for_copy(struct sched_candidates *c,
					    const struct sched_rank *r,
					    const struct sched_task *t)
{
	struct sched_candidate_list l = sched_candidates_find(c, r, false);
	struct sched_worker **list =
		talloc_array(c->ctx, struct sched_worker *, l.n);
	struct sched_worker *w;
	int32_t n = 0;

	for (int32_t i = 0; i < l.n; i++) {
		if (l.workers[i] != t->runs->worker)
			list[n++] = l.workers[i];
	}
	c->sched->pass_work += l.n;
	w = sched_choose_worker(c->sched, list, n, r->step, NULL);
	talloc_free(list);
	return w;
}

/* Returns the number of runs, and in `copies` that of second copies. */
static int32_t count_runs(const struct sched *s, int32_t *copies)
{
	int32_t runs = 0;

	*copies = 0;
	for (guint i = 0; i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);

		runs += (int32_t)w->runs.length;
	}
	for (GList *i = s->ready_steps.head; i; i = i->next) {
		const struct sched_step *step = i->data;

		for (int32_t k = 0;
		     may_have_copies(step) && k < step->def->tasks; k++) {
			const struct sched_run *run = step->tasks[k].runs;

			*copies += run && run->next_of_task;
		}
	}
	return runs;
}

void sched_copies_begin(const struct sched *s, struct sched_copy_search *search)
{
	int32_t copies;
	int32_t runs = count_runs(s, &copies);

	*search = (struct sched_copy_search){
		.next_step = s->ready_steps.head,
		.left = copies_max(runs) - copies,
	};
}

/* Returns the next task of the search, whether it needs a copy or not; NULL:
 * there are no more. */
static struct sched_task *next_task(struct sched_copy_search *search)
{
	while (search->next_step) {
		struct sched_step *step = search->next_step->data;

		if (may_have_copies(step) &&
		    search->next_index < step->def->tasks)
			return &step->tasks[search->next_index++];
		search->next_step = search->next_step->next;
		search->next_index = 0;
	}
	return NULL;
}

bool sched_copies_next(struct sched_candidates *c,
		       struct sched_copy_search *search,
		       struct sched_task **task, struct sched_worker **worker)
{
	struct sched *s = c->sched;
	struct sched_task *t;

	if (search->left <= 0 || s->ownership != SCHED_OWNER_CERTAIN ||
	    sched_may_miss_runs(s, c->now_ms))
		return false;
	while ((t = next_task(search))) {
		struct sched_rank r;

		s->pass_work++;
		if (!needs_copy(s, t, c->now_ms) ||
		    sched_org_wait(s, t->step, 1, c->now_ms))
			continue;
		r = sched_rank_step(s, t->step, c->now_ms);
		if (r.tier == SCHED_TIER_VERY_LATE)
			continue;
		*task = t;
		*worker = choose_for_copy(c, &r, t);
		if (!*worker)
			continue;
		search->left--;
		return true;
	}
	return false;
}
