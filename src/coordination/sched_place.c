/* The placement pass: starts ready tasks in order of rank, and gets tickets
 * from the policy service. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "coordination/sched_int.h"

/* Most workers in one call to the policy service, which charges for each. */
#define ADVICE_WORKERS_MAX 30
/* A call to the policy service without answer is repeated after this, in ms. */
#define ADVICE_RETRY_MS 2500
/* A pass ends early once it has done this much work, so that it doesn't hold up
 * the owner's ticks. The unit is one worker or run that was looked at. */
#define PASS_WORK_MAX 2000000
/* The same for one start. */
#define START_WORK 1000
/* A best-effort job that waits for this long, in ms, while nothing of it runs,
 * starts one task where serving tasks slow it down or pause it. */
#define STARVED_MS 5000
/* A suspect that waits for this long, in ms, runs apart beside others. */
#define JOIN_AFTER_MS 2000

bool sched_task_is_ready(const struct sched *s, const struct sched_task *t,
			 int64_t now_ms)
{
	if (t->ever_started && s->ownership != SCHED_OWNER_CERTAIN)
		return false;
	return !t->done && !t->runs && now_ms >= t->not_before_ms;
}

static bool has_label(const struct sched_worker *w, const char *label)
{
	for (int32_t i = 0; i < w->row.n_labels; i++) {
		if (!strcmp(w->row.labels[i], label))
			return true;
	}
	return false;
}

bool sched_has_ticket(const struct sched_step *step,
		      const struct sched_worker *w, int64_t now_ms)
{
	const struct sched_ticket *ticket =
		step->tickets ? g_hash_table_lookup(step->tickets, w->row.id)
			      : NULL;

	return ticket && now_ms < ticket->valid_until_ms &&
	       ticket->born_ms == w->row.born_ms;
}

/* Returns whether a start could exceed the worker's capacity: it has runs that
 * this owner doesn't track, of unknown size, and does not itself refuse tasks
 * that don't fit. */
static bool may_overcommit(const struct sched *s, const struct sched_worker *w)
{
	const struct catalog_pool *p;

	if (!w->foreign_runs)
		return false;
	p = catalog_find_pool(s->catalog, w->row.pool);
	return p && !p->enforces_capacity;
}

enum sched_obstacle sched_find_obstacle(const struct sched *s,
					const struct sched_step *step,
					const struct catalog_queue *q,
					const struct sched_worker *w,
					int64_t now_ms)
{
	const struct jobspec_step *def = step->def;

	if (!w->listed)
		return SCHED_OBSTACLE_UNLISTED;
	if (strcmp(w->row.pool, q->pool))
		return SCHED_OBSTACLE_OTHER_POOL;
	if (!w->reconciled)
		return SCHED_OBSTACLE_UNRECONCILED;
	if (w->unreachable)
		return SCHED_OBSTACLE_SILENT;
	if (w->row.draining)
		return SCHED_OBSTACLE_DRAINING;
	if (w->evacuating)
		return SCHED_OBSTACLE_EVACUATING;
	if (!w->roster_stored)
		return SCHED_OBSTACLE_NOT_STORED;
	if (w->row_outdated)
		return SCHED_OBSTACLE_ROW_OUTDATED;
	if (may_overcommit(s, w))
		return SCHED_OBSTACLE_FOREIGN_RUNS;
	if (now_ms < w->refused_until_ms)
		return SCHED_OBSTACLE_REFUSED;
	if (s->domains_out &&
	    g_hash_table_contains(s->domains_out, w->row.domain))
		return SCHED_OBSTACLE_DOMAIN_OUT;
	if (*def->label && !has_label(w, def->label))
		return SCHED_OBSTACLE_LABEL;
	/* The last one: it means that nothing else is in the way. */
	if (now_ms < w->quarantine_until_ms)
		return SCHED_OBSTACLE_QUARANTINED;
	return SCHED_OBSTACLE_NONE;
}

bool sched_is_eligible(const struct sched *s, const struct sched_step *step,
		       const struct catalog_queue *q,
		       const struct sched_worker *w, int64_t now_ms)
{
	return sched_find_obstacle(s, step, q, w, now_ms) ==
	       SCHED_OBSTACLE_NONE;
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

	s->counts.starts++;
	s->counts.resumes += t->checkpoint != NULL;
	sched_run_ref(run, &ref);
	s->ops->log_decision(s->priv, "start", &ref, w,
			     t->checkpoint ? "resumes" : "afresh");
	s->ops->start(s->priv, run, &ref);
}

/* Collects workers without a valid ticket that fit the step, or else any, from
 * where the last call ended: room is reserved only where the step may run. */
static int32_t find_unasked(struct sched_step *step, struct sched_worker **list,
			    int32_t n, bool any, const char **ids,
			    int64_t now_ms)
{
	int32_t n_ids = 0;

	for (int32_t i = 0; i < n && n_ids < ADVICE_WORKERS_MAX; i++) {
		const struct sched_worker *w =
			any ? list[step->advice_next++ % n] : list[i];

		if ((any || sched_fits(step, w)) &&
		    !sched_has_ticket(step, w, now_ms))
			ids[n_ids++] = w->row.id;
	}
	return n_ids;
}

static bool request_tickets(struct sched *s, struct sched_step *step,
			    struct sched_worker **list, int32_t n,
			    int64_t now_ms)
{
	const char *ids[ADVICE_WORKERS_MAX];
	int32_t n_ids;

	if (step->advice_sent_ms &&
	    now_ms < step->advice_sent_ms + ADVICE_RETRY_MS)
		return false;
	n_ids = find_unasked(step, list, n, false, ids, now_ms);
	if (!n_ids && step->def->is_long_running)
		n_ids = find_unasked(step, list, n, true, ids, now_ms);
	if (!n_ids)
		return false;
	step->advice_sent_ms = now_ms;
	s->ops->advise(s->priv, step, ids, n_ids);
	return true;
}

/* Returns the rack where the step already runs, else the one with most room. */
static const char *choose_rack(struct sched *s, const struct sched_step *step,
			       struct sched_worker **list, int32_t n)
{
	GHashTable *rooms =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	const char *best = NULL;
	int64_t best_room = -1;

	for (int32_t i = 0; i < n; i++) {
		const struct place_resources *total = &list[i]->row.total;
		int64_t *room = g_hash_table_lookup(rooms, list[i]->row.rack);

		s->pass_work += 1 + (int64_t)list[i]->runs.length;
		if (sched_count_tasks_at(step, list[i])) {
			best = list[i]->row.rack;
			break;
		}
		if (!room) {
			room = g_new0(int64_t, 1);
			g_hash_table_insert(rooms, list[i]->row.rack, room);
		}
		*room += MAX(0, total->cpu_milli - list[i]->used.cpu_milli);
		if (*room <= best_room)
			continue;
		best = list[i]->row.rack;
		best_room = *room;
	}
	g_hash_table_destroy(rooms);
	return best;
}

/* Keeps only the workers in `rack`. Returns their number. */
static int32_t filter_rack(struct sched_worker **list, int32_t n,
			   const char *rack)
{
	int32_t kept = 0;

	for (int32_t i = 0; i < n; i++) {
		if (!strcmp(list[i]->row.rack, rack))
			list[kept++] = list[i];
	}
	return kept;
}

/*
 * Tasks run longer outside the rack of their data. They start there only if
 * they can still be in time, or if they have waited for the rack for as long as
 * the extra run time. Returns whether the step should wait for the rack.
 */
static bool prefers_data_rack(const struct sched *s, const struct sched_rank *r,
			      int64_t now_ms)
{
	int64_t extra = r->step->def->expected_ms *
			(s->lim.off_rack_factor_milli - 1000) / 1000;

	return !r->overdue && now_ms - r->step->ready_ms < extra &&
	       now_ms + extra > r->latest_ms;
}

/* Fills `list` with the workers that may run the step, quarantined ones too if
 * `quarantined` is set. Returns their number. */
static int32_t find_candidates(struct sched *s, const struct sched_rank *r,
			       bool quarantined, struct sched_worker **list,
			       int64_t now_ms)
{
	const struct catalog_queue *q = r->step->round->job->queue;
	int32_t n = 0;

	if (!q)
		return 0;
	s->pass_work += s->worker_list->len;
	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);

		enum sched_obstacle o =
			sched_find_obstacle(s, r->step, q, w, now_ms);

		if (o == SCHED_OBSTACLE_NONE ||
		    (quarantined && o == SCHED_OBSTACLE_QUARANTINED))
			list[n++] = w;
	}
	if (*r->step->def->data_rack && prefers_data_rack(s, r, now_ms))
		n = filter_rack(list, n, r->step->def->data_rack);
	if (r->step->def->one_rack && n) {
		const char *rack = choose_rack(s, r->step, list, n);

		if (rack)
			n = filter_rack(list, n, rack);
	}
	if (q->uses_policy) {
		int32_t kept = 0;

		request_tickets(s, r->step, list, n, now_ms);
		for (int32_t i = 0; i < n; i++) {
			if (sched_has_ticket(r->step, list[i], now_ms))
				list[kept++] = list[i];
		}
		n = kept;
	}
	return n;
}

static bool pass_is_over(const struct sched *s)
{
	return s->pass_work >= PASS_WORK_MAX;
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
static struct sched_worker *choose_for_suspect(struct sched *s,
					       const struct sched_rank *r,
					       const struct sched_task *t,
					       struct sched_worker **list,
					       int32_t n, int64_t now_ms)
{
	struct sched_step *step = r->step;
	bool must_join = !may_isolate(s, list, n);
	bool may_join = t->crashes == 1 && t->idle_since_ms &&
			now_ms - t->idle_since_ms >= JOIN_AFTER_MS;
	struct sched_worker *w = NULL;

	step->places_suspect = true;
	step->joins_suspects = true;
	if (must_join && may_join)
		w = sched_choose_worker(s, list, n, step);
	step->joins_suspects = false;
	if (!w && (!must_join || r->overdue))
		w = sched_choose_worker(s, list, n, step);
	step->places_suspect = false;
	return w;
}

/* Starts the step's tasks as far as they fit. Returns whether one is left for
 * which there is no room. */
static bool start_fitting(struct sched *s, const struct sched_rank *r,
			  struct sched_worker **list, int32_t n, int64_t now_ms)
{
	struct sched_step *step = r->step;

	for (int32_t k = 0; k < step->def->tasks && !pass_is_over(s); k++) {
		struct sched_task *t = &step->tasks[k];
		bool suspect = sched_is_suspect(t);
		struct sched_worker *w;

		if (!sched_task_is_ready(s, t, now_ms))
			continue;
		w = suspect ? choose_for_suspect(s, r, t, list, n, now_ms)
			    : sched_choose_worker(s, list, n, step);
		if (!w && suspect && !r->overdue)
			continue;
		if (!w)
			return true;
		s->pass_work += START_WORK;
		start_task(s, t, w, t->last_run + 1, now_ms);
	}
	return false;
}

/* Reserves room for the step's tasks that are ready. */
static void reserve_for_step(struct sched *s, const struct sched_rank *r,
			     struct sched_worker **list, int32_t n,
			     int64_t now_ms)
{
	const struct sched_step *step = r->step;

	for (int32_t k = 0; k < step->def->tasks && !pass_is_over(s); k++) {
		if (sched_task_is_ready(s, &step->tasks[k], now_ms) &&
		    !sched_reserve_room(s, r, list, n, now_ms))
			return;
	}
}

static void place_tasks(struct sched *s, const struct sched_rank *r,
			struct sched_worker **list, int32_t n, int64_t now_ms)
{
	if (!start_fitting(s, r, list, n, now_ms))
		return;
	if (r->overdue)
		reserve_for_step(s, r, list, n, now_ms);
	else if (r->tier == SCHED_TIER_IN_TIME)
		sched_evict_for_step(s, r, list, n, now_ms);
}

/* Starts all members of a gang or none: a member that waits for others would
 * occupy room to no use. */
static void place_gang(struct sched *s, const struct sched_rank *r,
		       struct sched_worker **list, int32_t n, int64_t now_ms)
{
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
		struct sched_worker *w = sched_choose_worker(s, list, n, step);

		if (!w)
			break;
		s->pass_work += START_WORK;
		chosen[placed] = w;
		sched_run_new(s, &step->tasks[placed++], w, number, now_ms);
	}
	for (int32_t k = 0; k < placed; k++)
		sched_run_free(s, step->tasks[k].runs);
	if (placed < count) {
		if (r->overdue)
			reserve_for_step(s, r, list, n, now_ms);
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
	int32_t n = 0;

	for (GList *i = s->ready_steps.head; i; i = i->next) {
		struct sched_step *step = i->data;

		const struct sched_job *job = step->round->job;

		if (step->sweep == s->sweep)
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

static void place_step(struct sched *s, const struct sched_rank *r,
		       struct sched_worker **list, int64_t now_ms)
{
	bool gang = r->step->def->gang;
	int32_t n;

	/* If reservations held among overdue tasks, too, room could stay unused
	 * while one of them waits that fits. */
	r->step->uses_reserved = r->overdue;
	/* The members of a gang start at sound and quarantined workers, or not
	 * at all. */
	n = find_candidates(s, r, gang && r->overdue, list, now_ms);
	if (n && gang)
		place_gang(s, r, list, n, now_ms);
	else if (n)
		place_tasks(s, r, list, n, now_ms);
	/* At quarantined workers, too, if need be: long-running tasks have no
	 * attempts to lose there. */
	if (r->overdue && !gang && has_ready_task(s, r->step, now_ms)) {
		n = find_candidates(s, r, true, list, now_ms);
		start_fitting(s, r, list, n, now_ms);
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
static void place_starved(struct sched *s, const struct sched_rank *ranks,
			  int32_t n_ranks, struct sched_worker **list,
			  int64_t now_ms)
{
	const struct sched_rank *next = NULL;
	struct sched_step *step;
	struct sched_worker *w;
	int32_t n;

	for (int32_t i = 0; i < n_ranks; i++) {
		if (is_starved(s, ranks[i].step, now_ms) &&
		    (!next || goes_before(ranks[i].step, next->step)))
			next = &ranks[i];
	}
	if (!next)
		return;
	step = next->step;
	step->starved_turn_ms = now_ms;
	n = find_candidates(s, next, false, list, now_ms);
	w = sched_choose_starved(s, list, n, step);
	for (int32_t k = 0; w && k < step->def->tasks; k++) {
		struct sched_task *t = &step->tasks[k];

		if (!sched_task_is_ready(s, t, now_ms))
			continue;
		start_task(s, t, w, t->last_run + 1, now_ms);
		return;
	}
}

void sched_place(struct sched *s, int64_t now_ms)
{
	struct sched_worker **list;
	struct sched_rank *ranks;
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
	list = talloc_array(ranks, struct sched_worker *, s->worker_list->len);
	n = rank_steps(s, ranks, now_ms);
	while (reached < n && !pass_is_over(s)) {
		const struct sched_rank *r = &ranks[reached++];

		r->step->sweep = s->sweep;
		place_step(s, r, list, now_ms);
	}
	place_starved(s, ranks, n, list, now_ms);
	/* A sweep reaches each step once: tasks that workers refuse again and
	 * again can't use up the passes of other steps. */
	if (reached == n) {
		s->sweep++;
		s->reservations_old = true;
	}
	talloc_free(ranks);
}

void sched_advice_received(struct sched *s, const struct sched_ref *ref,
			   const char *const *ids, const char *const *tickets,
			   int32_t n, int64_t valid_ms, int64_t now_ms)
{
	struct sched_task *t = sched_find_task(s, ref);
	struct sched_step *step = t ? t->step : NULL;

	if (!step || sched_job_has_ended(step->round->job))
		return;
	if (!step->tickets)
		step->tickets = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, g_free);
	for (int32_t i = 0; i < n; i++) {
		struct sched_worker *w =
			g_hash_table_lookup(s->workers, ids[i]);
		struct sched_ticket *ticket;

		if (!w)
			continue;
		ticket = g_new0(struct sched_ticket, 1);
		g_strlcpy(ticket->text, tickets[i], sizeof(ticket->text));
		ticket->valid_until_ms = now_ms + valid_ms;
		ticket->born_ms = w->row.born_ms;
		g_hash_table_replace(step->tickets, g_strdup(ids[i]), ticket);
	}
	step->advice_sent_ms = n > 0 ? 0 : now_ms;
}
