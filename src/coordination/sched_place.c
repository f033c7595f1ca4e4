/* The placement pass: starts ready tasks in order of rank. */
#include <stdlib.h>
#include <talloc.h>

#include "coordination/sched_candidates.h"
#include "coordination/sched_copies.h"

/* A pass ends early once it has done this much work, so that it doesn't hold up
 * the owner's ticks. The unit is one worker or run that was looked at. */
#define PASS_WORK_MAX 2000000
/* The same for one start. */
#define START_WORK 1000
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
		if (sched_org_has_reached_share(s, r))
			break;
		w = suspect ? choose_for_suspect(s, r, t, l, c->now_ms)
			    : choose(c, l, step);
		if (!w) {
			is_full |= !suspect || r->overdue;
			continue;
		}
		s->pass_work += START_WORK;
		sched_start_task(s, t, w, t->last_run + 1, c->now_ms);
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
	/* A step that waits for a rack or a ticket may have room elsewhere. */
	if (!l->is_filtered)
		sched_org_note_shortage(c->sched, r->step, l->workers, l->n,
					c->now_ms);
	if (r->overdue)
		reserve_for_step(c, r, l);
	else if (r->tier == SCHED_TIER_IN_TIME && !r->excess)
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
		sched_start_task(s, &step->tasks[k], chosen[k], number, now_ms);
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

/* The steps that a pass places. Those before `reached` had their turn, except
 * that the last `n_deferred` of them get another one: their organisations have
 * reached their entitlements, and others go first that have not. */
struct pass_order {
	const struct sched *s;
	struct sched_rank *ranks;
	int32_t n;
	int32_t reached;
	int32_t n_deferred;
};

/* Returns whether the turn of the deferred steps has come: none is left whose
 * organisation was below its entitlement. */
static bool deferred_are_due(const struct pass_order *o)
{
	const struct sched_rank *next = &o->ranks[o->reached];

	return o->n_deferred &&
	       (o->reached == o->n || next->standing != ORG_BELOW ||
		!sched_rank_same_service(next, next - 1));
}

/* Returns the next step, or NULL if all had their turns. Valid until the next
 * call. */
static struct sched_rank *next_rank(struct pass_order *o)
{
	struct sched_rank *r;
	struct sched_rank tmp;

	if (deferred_are_due(o)) {
		o->reached -= o->n_deferred;
		o->n_deferred = 0;
		qsort(&o->ranks[o->reached], (size_t)(o->n - o->reached),
		      sizeof(*o->ranks), o->s->rank_policy->compare);
	}
	if (o->reached == o->n)
		return NULL;
	/* Keeps the deferred steps next to those that were not reached. */
	r = &o->ranks[o->reached - o->n_deferred];
	tmp = *r;
	*r = o->ranks[o->reached];
	o->ranks[o->reached++] = tmp;
	return r;
}

/* Gives the step that next_rank() returned another turn in this pass. */
static void defer(struct pass_order *o, struct sched_rank *r)
{
	r->standing = ORG_AT_SHARE;
	r->step->sweep = 0;
	o->n_deferred++;
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

/* Sets the lowest speed at which best-effort tasks of the step start. */
static void set_speed_min(struct sched *s, const struct sched_rank *r,
			  int64_t now_ms)
{
	struct sched_step *step = r->step;
	int64_t run_ms = sched_expected_run_ms(s, step);
	struct wait_facts facts = {
		.run_ms = run_ms,
		.waited_ms = now_ms - step->ready_ms,
		.expected_wait_ms = wait_rate_time_ms(
			&s->full_speed_starts, s->best_effort_waiting, now_ms),
		.left_ms = r->latest_ms + run_ms - now_ms,
	};

	step->speed_min = wait_value_speed_min(&facts);
}

static int32_t count_ready_tasks(const struct sched *s,
				 const struct sched_step *step, int64_t now_ms)
{
	int32_t n = 0;

	for (int32_t k = 0; k < step->def->tasks; k++)
		n += sched_task_is_ready(s, &step->tasks[k], now_ms);
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

/* Starts best-effort tasks that found no place with full speed. All have looked
 * for one before: a place that is slow for one image is often fast for
 * another. */
static void place_slow(struct sched_candidates *c,
		       const struct sched_rank *ranks, int32_t n)
{
	struct sched *s = c->sched;

	for (int32_t i = 0; i < n && !pass_is_over(s); i++) {
		const struct sched_rank *r = &ranks[i];

		if (!r->step->def->best_effort ||
		    !has_ready_task(s, r->step, c->now_ms) ||
		    sched_org_has_reached_share(s, r))
			continue;
		set_speed_min(s, r, c->now_ms);
		if (sched_speed_min(r->step) < WAIT_VALUE_FULL_SPEED)
			place_step(c, r);
		r->step->speed_min = 0;
		s->best_effort_waiting +=
			count_ready_tasks(s, r->step, c->now_ms);
	}
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
		if (!ranks[i].excess && is_starved(s, ranks[i].step, now_ms) &&
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
		sched_start_task(s, t, w, t->last_run + 1, now_ms);
		return;
	}
}

/* Starts second copies of tasks that take unusually long. Called when no other
 * task waits, so that copies take no room from others. */
static void place_copies(struct sched_candidates *c)
{
	struct sched *s = c->sched;
	struct sched_copy_search search;
	struct sched_task *t;
	struct sched_worker *w;

	sched_copies_begin(s, &search);
	while (!pass_is_over(s) && sched_copies_next(c, &search, &t, &w)) {
		s->counts.copies++;
		sched_start_task(s, t, w, t->last_run + 1, c->now_ms);
	}
}

/* Returns whether a task other than a best-effort one waits. */
static bool has_waiting_task(const struct sched *s,
			     const struct sched_rank *ranks, int32_t n,
			     int64_t now_ms)
{
	for (int32_t i = 0; i < n; i++) {
		if (!ranks[i].step->def->best_effort &&
		    has_ready_task(s, ranks[i].step, now_ms))
			return true;
	}
	return false;
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

/* Marks those new jobs that are in excess; the marks are stored, so that
 * successors know them. */
static void rate_new_jobs(struct sched *s, int64_t now_ms)
{
	struct sched_job *job;

	while ((job = sched_org_rate_next(s, now_ms))) {
		if (job->excess)
			sched_mark_dirty(s, job);
	}
}

void sched_place(struct sched *s, int64_t now_ms)
{
	struct sched_candidates c;
	struct pass_order o = { .s = s };
	struct sched_rank *last = NULL;
	int64_t best_effort_work = 0;

	s->placement_ms = now_ms;
	s->pass_work = 0;
	s->best_effort_waiting = 0;
	if (!s->ready_steps.length || !s->catalog || !s->worker_list->len ||
	    s->ownership == SCHED_OWNER_LOST)
		return;
	if (s->reservations_old)
		sched_clear_reservations(s);
	rate_new_jobs(s, now_ms);
	sched_org_begin_pass(s);
	o.ranks = talloc_array(NULL, struct sched_rank, s->ready_steps.length);
	sched_candidates_init(&c, s, now_ms);
	o.n = rank_steps(s, o.ranks, now_ms);
	while (!pass_is_over(s) && (last = next_rank(&o))) {
		int64_t work_before = search_work(s);

		last->step->sweep = s->sweep;
		if (!sched_org_has_reached_share(s, last))
			place_step(&c, last);
		if (last->step->def->best_effort)
			best_effort_work += search_work(s) - work_before;
		if (sched_org_has_reached_share(s, last) &&
		    has_ready_task(s, last->step, now_ms))
			defer(&o, last);
	}
	if (!s->starts_held && !pass_is_over(s)) {
		int64_t work_before = search_work(s);

		place_slow(&c, o.ranks, o.n);
		best_effort_work += search_work(s) - work_before;
	}
	if (!pass_is_over(s))
		s->best_effort_due_ms =
			now_ms + best_effort_work / BEST_EFFORT_WORK_PER_MS;
	s->starts_held = !has_start_room(s);
	/* The step that ran out of room goes on in its turn. */
	if (s->starts_held && last)
		last->step->sweep = 0;
	if (!s->starts_held)
		place_starved(&c, o.ranks, o.n);
	if (!pass_is_over(s) && !has_waiting_task(s, o.ranks, o.n, now_ms))
		place_copies(&c);
	end_sweep(s, o.reached == o.n && !o.n_deferred, now_ms);
	sched_candidates_finish(&c);
	talloc_free(o.ranks);
}
