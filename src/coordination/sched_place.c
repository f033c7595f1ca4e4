/* The placement pass: starts ready tasks in order of rank. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "coordination/sched_candidates.h"

/* A pass ends early once it has done this much work, so that it doesn't hold up
 * the owner's ticks. The unit is one worker or run that was looked at. */
#define PASS_WORK_MAX 2000000
/* The same for one start. */
#define START_WORK 1000
/* Bytes of a start command, and of the call that carries it, beside the
 * payload. */
#define START_OVERHEAD_BYTES 500
/* The same of a message to a relay. */
#define RELAYED_OVERHEAD_BYTES 200
/* A best-effort job that waits for this long, in ms, while nothing of it runs,
 * starts one task where serving tasks slow it down or pause it. */
#define STARVED_MS 5000
/* Choosing workers for best-effort tasks costs most, since their speed beside
 * serving tasks has to be computed. After so much work on them, passes leave
 * them out for 1 ms, so that they take a few percent of the processor. */
#define BEST_EFFORT_WORK_PER_MS 2000
/* Length of a sweep while start commands are held back, in ms. */
#define HELD_SWEEP_MS 300
/* A suspect that waits for this long, in ms, runs apart beside others. */
#define JOIN_AFTER_MS 2000

bool sched_task_is_ready(const struct sched *s, const struct sched_task *t,
			 int64_t now_ms)
{
	if (t->ever_started && s->ownership != SCHED_OWNER_CERTAIN)
		return false;
	if (sched_is_exhausted(t))
		return false;
	return !t->done && !t->runs && now_ms >= t->not_before_ms;
}

int64_t sched_start_bytes(const struct sched *s, const struct sched_step *step)
{
	int64_t payload = (int64_t)strlen(step->round->job->spec->payload);
	int64_t tasks = step->def->tasks;

	if (!s->relays)
		return START_OVERHEAD_BYTES + payload;
	/* Each relay gets the payload once. */
	if (tasks > s->relays)
		payload = payload * s->relays / tasks;
	return RELAYED_OVERHEAD_BYTES + payload;
}

static void start_task(struct sched *s, struct sched_task *t,
		       struct sched_worker *w, int32_t number, int64_t now_ms)
{
	struct sched_run *run = sched_run_new(s, t, w, number, now_ms);
	struct sched_ref ref;

	if (sched_is_suspect(t))
		sched_isolate_run(run, true);
	if (t->step->def->best_effort)
		sched_record_exploration(s, run, now_ms);

	t->step->placed_ms = now_ms;
	s->counts.starts++;
	s->counts.resumes += t->checkpoint != NULL;
	sched_run_ref(run, &ref);
	s->ops->log_decision(s->priv, "start", &ref, w,
			     t->checkpoint ? "resumes" : "afresh");
	s->start_room.bytes -= sched_start_bytes(s, t->step);
	s->start_room.commands--;
	s->ops->start(s->priv, run, &ref);
}

static bool has_start_room(const struct sched *s)
{
	return s->start_room.bytes > 0 && s->start_room.commands > 0;
}

static bool pass_is_over(const struct sched *s)
{
	return s->pass_work >= PASS_WORK_MAX || !has_start_room(s);
}

/* Suspects may close half of the workers to other tasks at a time, unless a
 * long-running one is overdue. */
static bool may_isolate(struct sched *s, struct sched_worker **list, int32_t n)
{
	int32_t closed = 0;

	s->pass_work += n;
	for (int32_t i = 0; i < n; i++)
		closed += list[i]->n_isolated > 0;
	return !closed || 2 * (closed + 1) <= n;
}

/* Chooses a worker for a suspect. Returns NULL if it has to wait for its turn
 * to run apart. */
static struct sched_worker *
choose_for_suspect(struct sched *s, const struct sched_rank *r,
		   const struct sched_task *t,
		   const struct sched_candidate_list *l, int64_t now_ms)
{
	struct sched_step *step = r->step;
	bool must_join = !may_isolate(s, l->workers, l->n);
	bool may_join = t->crashes == 1 && t->idle_since_ms &&
			now_ms - t->idle_since_ms >= JOIN_AFTER_MS;
	struct sched_worker *w = NULL;

	step->places_suspect = true;
	step->joins_suspects = true;
	if (must_join && may_join)
		w = sched_choose_worker(s, l->workers, l->n, step, NULL);
	step->joins_suspects = false;
	if (!w && (!must_join || r->overdue))
		w = sched_choose_worker(s, l->workers, l->n, step, NULL);
	step->places_suspect = false;
	return w;
}

/* Chooses a worker for a task that need not run apart. */
static struct sched_worker *choose(struct sched_candidates *c,
				   const struct sched_candidate_list *l,
				   struct sched_step *step)
{
	struct sched_worker *w;
	bool fits;

	if (sched_candidates_fits_none(c, l, step))
		return NULL;
	w = sched_choose_worker(c->sched, l->workers, l->n, step, &fits);
	/* In doubt, fewer workers are open to tasks with a cap than to others
	 * of their size. */
	if (!w && (c->sched->ownership == SCHED_OWNER_CERTAIN ||
		   !sched_org_has_cap(step)))
		sched_candidates_note_misfit(c, l, step, fits);
	return w;
}

/* Starts the step's tasks as far as they fit. Returns whether one is left for
 * which there is no room. */
static bool start_fitting(struct sched_candidates *c,
			  const struct sched_rank *r,
			  const struct sched_candidate_list *l)
{
	struct sched *s = c->sched;
	struct sched_step *step = r->step;
	bool is_full = false;

	for (int32_t k = 0; k < step->def->tasks && !pass_is_over(s); k++) {
		struct sched_task *t = &step->tasks[k];
		bool suspect = sched_is_suspect(t);
		struct sched_worker *w;

		/* Suspects may fit where others run apart already. */
		if (!sched_task_is_ready(s, t, c->now_ms) ||
		    (is_full && !suspect))
			continue;
		/* Room at workers would not help. */
		if (sched_org_wait(s, step, 1, c->now_ms))
			return false;
		w = suspect ? choose_for_suspect(s, r, t, l, c->now_ms)
			    : choose(c, l, step);
		if (!w) {
			is_full |= !suspect || r->overdue;
			continue;
		}
		s->pass_work += START_WORK;
		start_task(s, t, w, t->last_run + 1, c->now_ms);
	}
	return is_full;
}

/* Reserves room for the step's tasks that are ready. */
static void reserve_for_step(struct sched_candidates *c,
			     const struct sched_rank *r,
			     const struct sched_candidate_list *l)
{
	struct sched *s = c->sched;
	const struct sched_step *step = r->step;
	int32_t n = 0;

	for (int32_t k = 0; k < step->def->tasks && !pass_is_over(s); k++) {
		if (!sched_task_is_ready(s, &step->tasks[k], c->now_ms))
			continue;
		if (sched_org_wait(s, step, ++n, c->now_ms) ||
		    !sched_reserve_room(s, r, l->workers, l->n, c->now_ms))
			return;
	}
}

static void place_tasks(struct sched_candidates *c, const struct sched_rank *r,
			const struct sched_candidate_list *l)
{
	if (!start_fitting(c, r, l))
		return;
	if (r->overdue)
		reserve_for_step(c, r, l);
	else if (r->tier == SCHED_TIER_IN_TIME)
		sched_evict_for_step(c->sched, r, l->workers, l->n, c->now_ms);
}

/* Starts all members of a gang or none: a member that waits for others would
 * occupy room to no use. */
static void place_gang(struct sched_candidates *c, const struct sched_rank *r,
		       const struct sched_candidate_list *l)
{
	struct sched *s = c->sched;
	int64_t now_ms = c->now_ms;
	struct sched_step *step = r->step;
	int32_t count = step->def->tasks;
	struct sched_worker **chosen =
		talloc_array(NULL, struct sched_worker *, count);
	int32_t number = step->gang_run + 1;
	int32_t placed = 0;

	for (int32_t k = 0; k < count; k++) {
		if (!sched_task_is_ready(s, &step->tasks[k], now_ms))
			goto out;
	}
	/* Runs without start commands reserve the room until all members are
	 * placed. */
	while (placed < count) {
		struct sched_worker *w =
			placed ? sched_choose_worker(s, l->workers, l->n, step,
						     NULL)
			       : choose(c, l, step);

		if (!w)
			break;
		s->pass_work += START_WORK;
		chosen[placed] = w;
		sched_run_new(s, &step->tasks[placed++], w, number, now_ms);
	}
	for (int32_t k = 0; k < placed; k++)
		sched_run_free(s, step->tasks[k].runs);
	if (placed < count) {
		/* Room that never becomes enough would be lost to others. */
		if (r->overdue &&
		    sched_gang_will_fit(s, step, l->workers, l->n))
			reserve_for_step(c, r, l);
		goto out;
	}
	step->gang_run = number;
	for (int32_t k = 0; k < count; k++)
		start_task(s, &step->tasks[k], chosen[k], number, now_ms);
out:
	talloc_free(chosen);
}

static bool has_ready_task(const struct sched *s, const struct sched_step *step,
			   int64_t now_ms)
{
	for (int32_t k = 0; k < step->def->tasks; k++) {
		if (sched_task_is_ready(s, &step->tasks[k], now_ms))
			return true;
	}
	return false;
}

/* Fills `ranks` with the steps that the pass should place, in order. Returns
 * their number. */
static int32_t rank_steps(struct sched *s, struct sched_rank *ranks,
			  int64_t now_ms)
{
	bool hold_inherited = sched_may_miss_runs(s, now_ms);
	bool skip_best_effort = now_ms < s->best_effort_due_ms;
	int32_t n = 0;

	for (GList *i = s->ready_steps.head; i; i = i->next) {
		struct sched_step *step = i->data;

		const struct sched_job *job = step->round->job;

		if (step->sweep == s->sweep)
			continue;
		if (skip_best_effort && step->def->best_effort)
			continue;
		if (hold_inherited && job->inherited)
			continue;
		/* The round was created before it is due; see
		 * sched_find_reported_task(). */
		if (job->spec->rounds && step->round->due_ms > now_ms)
			continue;
		if (s->ownership != SCHED_OWNER_CERTAIN &&
		    job->version >= s->start_before_version)
			continue;
		if (has_ready_task(s, step, now_ms))
			ranks[n++] = sched_rank_step(s, step, now_ms);
	}
	qsort(ranks, (size_t)n, sizeof(*ranks), s->rank_policy->compare);
	return n;
}

static void place_step(struct sched_candidates *c, const struct sched_rank *r)
{
	bool gang = r->step->def->gang;
	struct sched_candidate_list l;

	if (sched_org_wait(c->sched, r->step, sched_org_tasks(r->step),
			   c->now_ms))
		return;
	/* If reservations held among overdue tasks, too, room could stay unused
	 * while one of them waits that fits. */
	r->step->uses_reserved = r->overdue;
	/* The members of a gang start at sound and quarantined workers, or not
	 * at all. */
	l = sched_candidates_find(c, r, gang && r->overdue);
	if (l.n && gang)
		place_gang(c, r, &l);
	else if (l.n)
		place_tasks(c, r, &l);
	/* At quarantined workers, too, if need be: long-running tasks have no
	 * attempts to lose there. */
	if (r->overdue && !gang &&
	    has_ready_task(c->sched, r->step, c->now_ms)) {
		l = sched_candidates_find(c, r, true);
		if (l.n)
			start_fitting(c, r, &l);
	}
	r->step->uses_reserved = false;
}

static bool is_starved(const struct sched *s, const struct sched_step *step,
		       int64_t now_ms)
{
	return step->def->best_effort && !step->def->gang &&
	       !step->round->job->n_runs &&
	       now_ms - step->ready_ms >= STARVED_MS &&
	       has_ready_task(s, step, now_ms);
}

static bool goes_before(const struct sched_step *a, const struct sched_step *b)
{
	if (a->starved_turn_ms != b->starved_turn_ms)
		return a->starved_turn_ms < b->starved_turn_ms;
	return a->ready_ms < b->ready_ms;
}

/* Starts one task of a starved job in each pass: the jobs take turns, first the
 * one that waits longest. */
static void place_starved(struct sched_candidates *c,
			  const struct sched_rank *ranks, int32_t n_ranks)
{
	struct sched *s = c->sched;
	int64_t now_ms = c->now_ms;
	const struct sched_rank *next = NULL;
	struct sched_candidate_list l;
	struct sched_step *step;
	struct sched_worker *w;

	for (int32_t i = 0; i < n_ranks; i++) {
		if (is_starved(s, ranks[i].step, now_ms) &&
		    !sched_org_wait(s, ranks[i].step, 1, now_ms) &&
		    (!next || goes_before(ranks[i].step, next->step)))
			next = &ranks[i];
	}
	if (!next)
		return;
	step = next->step;
	step->starved_turn_ms = now_ms;
	l = sched_candidates_find(c, next, false);
	w = sched_choose_starved(s, l.workers, l.n, step);
	for (int32_t k = 0; w && k < step->def->tasks; k++) {
		struct sched_task *t = &step->tasks[k];

		if (!sched_task_is_ready(s, t, now_ms))
			continue;
		start_task(s, t, w, t->last_run + 1, now_ms);
		return;
	}
}

/* Returns the work of the pass without its starts, up to a constant. */
static int64_t search_work(const struct sched *s)
{
	return s->pass_work - s->counts.starts * START_WORK;
}

/*
 * Begins the next sweep once all steps were reached. A sweep reaches each step
 * once: tasks that workers refuse again and again can't use up the passes of
 * other steps. While commands are held back, passes may never reach all, so
 * that those whose turn came to nothing get another one after a while.
 */
static void end_sweep(struct sched *s, bool reached_all, int64_t now_ms)
{
	if (s->starts_held ? now_ms - s->sweep_began_ms < HELD_SWEEP_MS
			   : !reached_all)
		return;
	s->sweep++;
	s->sweep_began_ms = now_ms;
	s->reservations_old = true;
}

void sched_place(struct sched *s, int64_t now_ms)
{
	struct sched_candidates c;
	struct sched_rank *ranks;
	int64_t best_effort_work = 0;
	int32_t reached = 0;
	int32_t n;

	s->placement_ms = now_ms;
	s->pass_work = 0;
	if (!s->ready_steps.length || !s->catalog || !s->worker_list->len ||
	    s->ownership == SCHED_OWNER_LOST)
		return;
	if (s->reservations_old)
		sched_clear_reservations(s);
	ranks = talloc_array(NULL, struct sched_rank, s->ready_steps.length);
	sched_candidates_init(&c, s, now_ms);
	n = rank_steps(s, ranks, now_ms);
	while (reached < n && !pass_is_over(s)) {
		const struct sched_rank *r = &ranks[reached++];
		int64_t work_before = search_work(s);

		r->step->sweep = s->sweep;
		place_step(&c, r);
		if (r->step->def->best_effort)
			best_effort_work += search_work(s) - work_before;
	}
	if (!pass_is_over(s))
		s->best_effort_due_ms =
			now_ms + best_effort_work / BEST_EFFORT_WORK_PER_MS;
	s->starts_held = !has_start_room(s);
	/* The step that ran out of room goes on in its turn. */
	if (s->starts_held && reached)
		ranks[reached - 1].step->sweep = 0;
	if (!s->starts_held)
		place_starved(&c, ranks, n);
	end_sweep(s, reached == n, now_ms);
	sched_candidates_finish(&c);
	talloc_free(ranks);
}
