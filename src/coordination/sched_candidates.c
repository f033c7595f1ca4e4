/* The workers that a step may use in a placement pass, and the sizes of tasks
 * that fit at none of them. */
#include "coordination/sched_candidates.h"

#include <string.h>
#include <talloc.h>

/* Sizes remembered for each set of candidates. More are rarely needed, since
 * one stands for all larger ones. */
#define MISFITS_MAX 32

#define ANY_IMAGE -1

/* The size of a task that fits at none of the candidates. */
struct misfit {
	bool best_effort;
	bool uses_reserved;
	/* Of a best-effort task that fits somewhere but would be too slow
	 * there; ANY_IMAGE: it fits nowhere. */
	int32_t image;
	double speed_min; /* of such a task */
	struct place_resources size;
};

/* Workers that may run tasks of a pool and label, room aside. */
struct candidate_set {
	const char *pool;
	const char *label;
	bool quarantined; /* quarantined workers are included */
	bool half_used; /* half of the pool's CPU, at first */
	struct sched_worker **list;
	int32_t n;
	struct misfit misfits[MISFITS_MAX];
	int32_t n_misfits;
	struct candidate_set *next;
};

static bool has_label(const struct sched_worker *w, const char *label)
{
	for (int32_t i = 0; i < w->row.n_labels; i++) {
		if (!strcmp(w->row.labels[i], label))
			return true;
	}
	return false;
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

/* Returns whether half of the pool's CPU is reserved by tasks. */
static bool is_half_used(const struct sched *s, const char *pool)
{
	int64_t used = 0;
	int64_t total = 0;

	for (guint i = 0; i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);

		if (!w->listed || strcmp(w->row.pool, pool))
			continue;
		used += w->used.cpu_milli;
		total += w->row.total.cpu_milli;
	}
	return 2 * used >= total;
}

static struct candidate_set *build_set(struct sched_candidates *c,
				       const struct sched_step *step,
				       bool quarantined)
{
	struct sched *s = c->sched;
	const struct catalog_queue *q = step->round->job->queue;
	struct candidate_set *set = talloc_zero(c->ctx, struct candidate_set);

	set->pool = q->pool;
	set->label = step->def->label;
	set->quarantined = quarantined;
	set->list =
		talloc_array(set, struct sched_worker *, s->worker_list->len);
	s->pass_work += 2 * (int64_t)s->worker_list->len;
	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);
		enum sched_obstacle o =
			sched_find_obstacle(s, step, q, w, c->now_ms);

		if (o == SCHED_OBSTACLE_NONE ||
		    (quarantined && o == SCHED_OBSTACLE_QUARANTINED))
			set->list[set->n++] = w;
	}
	set->half_used = is_half_used(s, q->pool);
	set->next = c->sets;
	c->sets = set;
	return set;
}

/* Returns the set for the step. What keeps a worker from a task, room aside,
 * depends on the pool and the label only, and doesn't change during a pass. */
static struct candidate_set *get_set(struct sched_candidates *c,
				     const struct sched_step *step,
				     bool quarantined)
{
	const struct catalog_queue *q = step->round->job->queue;

	for (struct candidate_set *set = c->sets; set; set = set->next) {
		c->sched->pass_work++;
		if (set->quarantined == quarantined &&
		    !strcmp(set->pool, q->pool) &&
		    !strcmp(set->label, step->def->label))
			return set;
	}
	return build_set(c, step, quarantined);
}

void sched_candidates_init(struct sched_candidates *c, struct sched *s,
			   int64_t now_ms)
{
	*c = (struct sched_candidates){ .sched = s,
					.now_ms = now_ms,
					.ctx = talloc_new(NULL) };
	c->filtered = talloc_array(c->ctx, struct sched_worker *,
				   s->worker_list->len);
}

void sched_candidates_finish(struct sched_candidates *c)
{
	talloc_free(c->ctx);
}

/* Copies the set, to be filtered. */
static void copy_list(struct sched_candidates *c,
		      struct sched_candidate_list *out)
{
	memcpy(c->filtered, out->workers,
	       (size_t)out->n * sizeof(*out->workers));
	c->sched->pass_work += out->n;
	out->workers = c->filtered;
}

static void remove_denied(const struct sched_step *step,
			  struct sched_candidate_list *out)
{
	int32_t kept = 0;

	for (int32_t i = 0; i < out->n; i++) {
		if (!sched_is_denied(step, out->workers[i]))
			out->workers[kept++] = out->workers[i];
	}
	out->n = kept;
}

static void remove_without_ticket(struct sched_candidates *c,
				  const struct sched_step *step,
				  struct sched_candidate_list *out)
{
	int32_t kept = 0;

	for (int32_t i = 0; i < out->n; i++) {
		if (sched_has_ticket(step, out->workers[i], c->now_ms))
			out->workers[kept++] = out->workers[i];
	}
	out->n = kept;
}

struct sched_candidate_list sched_candidates_find(struct sched_candidates *c,
						  const struct sched_rank *r,
						  bool quarantined)
{
	const struct catalog_queue *q = r->step->round->job->queue;
	const struct jobspec_step *def = r->step->def;
	struct sched_candidate_list out = { 0 };
	int32_t n_all;

	if (!q)
		return out;
	out.set = get_set(c, r->step, quarantined);
	out.workers = out.set->list;
	out.n = out.set->n;
	if (!*def->data_rack && !def->one_rack && !q->uses_policy)
		return out;
	copy_list(c, &out);
	out.is_filtered = true;
	/* A rack is chosen by the workers that the step may use there. */
	if (q->uses_policy)
		remove_denied(r->step, &out);
	n_all = out.n;
	out.n = sched_prefer_rack(c->sched, r, out.workers, n_all,
				  out.set->half_used, c->now_ms);
	if (!q->uses_policy)
		return out;
	sched_request_tickets(c->sched, r->step, out.workers, out.n, n_all,
			      c->now_ms);
	remove_without_ticket(c, r->step, &out);
	return out;
}

static struct misfit describe(const struct sched_step *step)
{
	const struct jobspec_step *def = step->def;

	return (struct misfit){
		.best_effort = def->best_effort,
		.uses_reserved = step->uses_reserved,
		.image = def->best_effort ? step->image : ANY_IMAGE,
		.speed_min = sched_speed_min(step),
		.size = { def->cpu_milli, def->mem_mib, def->accelerators },
	};
}

/* Returns whether a task like `b` fits nowhere if one like `a` doesn't. */
static bool implies(const struct misfit *a, const struct misfit *b)
{
	return a->best_effort == b->best_effort &&
	       (a->image == ANY_IMAGE ||
		(a->image == b->image && a->speed_min <= b->speed_min)) &&
	       (a->uses_reserved || !b->uses_reserved) &&
	       a->size.cpu_milli <= b->size.cpu_milli &&
	       a->size.mem_mib <= b->size.mem_mib &&
	       a->size.accelerators <= b->size.accelerators;
}

bool sched_candidates_fits_none(struct sched_candidates *c,
				const struct sched_candidate_list *list,
				const struct sched_step *step)
{
	const struct misfit m = describe(step);

	for (int32_t i = 0; i < list->set->n_misfits; i++) {
		c->sched->pass_work++;
		if (implies(&list->set->misfits[i], &m))
			return true;
	}
	return false;
}

void sched_candidates_note_misfit(struct sched_candidates *c,
				  const struct sched_candidate_list *list,
				  const struct sched_step *step, bool too_slow)
{
	struct misfit m = describe(step);
	struct candidate_set *set = list->set;
	int32_t kept = 0;

	/* Other limits than room may have kept this one out. */
	if (list->is_filtered || step->def->spread_max ||
	    sched_is_small(step->def))
		return;
	if (!too_slow)
		m.image = ANY_IMAGE;
	for (int32_t i = 0; i < set->n_misfits; i++) {
		c->sched->pass_work++;
		if (!implies(&m, &set->misfits[i]))
			set->misfits[kept++] = set->misfits[i];
	}
	if (kept < MISFITS_MAX)
		set->misfits[kept++] = m;
	set->n_misfits = kept;
}
