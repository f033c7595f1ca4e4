/* Gives the organisations' shares and rates the facts that they are judged by,
 * and measures which pools are full. Calls no other part of the scheduler. */
#include <stdio.h>
#include <string.h>

#include "coordination/sched_int.h"

/* A pool is full if work has waited for its room for FULL_MIN_MS without a gap
 * of FULL_GAP_MS, which is several times the interval of passes. */
#define FULL_MIN_MS 500
#define FULL_GAP_MS 1000
/* Interval between lines on jobs in excess, in ms. */
#define LOG_EXCESS_INTERVAL_MS 1000

/* Work waits for room in a pool. */
struct shortage {
	int64_t since_ms;
	int64_t last_ms;
};

/* Jobs of an organisation. */
struct counts {
	int32_t waiting;
	int32_t excess; /* part of `waiting` */
};

void sched_org_init(struct sched *s)
{
	org_accounts_init(&s->orgs);
	org_rates_init(&s->rates);
	g_queue_init(&s->unrated);
	s->shortages =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void sched_org_finish(struct sched *s)
{
	g_hash_table_destroy(s->shortages);
	org_rates_finish(&s->rates);
	org_accounts_finish(&s->orgs);
}

static bool has_orgs(const struct sched *s)
{
	return s->catalog && s->catalog->n_orgs > 0;
}

/* Returns whether `a` is to be rated before `b`. */
static bool rates_before(const struct sched_job *a, const struct sched_job *b)
{
	if (a->spec->accepted_ms != b->spec->accepted_ms)
		return a->spec->accepted_ms < b->spec->accepted_ms;
	return strcmp(a->spec->id, b->spec->id) < 0;
}

void sched_org_job_added(struct sched *s, struct sched_job *job)
{
	GList *before = s->unrated.tail;

	/* Rows of older releases don't tell when the job was accepted. */
	if (!job->org || job->excess || !job->spec->accepted_ms ||
	    job->state >= SCHED_JOB_DONE)
		return;
	while (before && rates_before(job, before->data))
		before = before->prev;
	job->unrated = true;
	job->unrated_link.data = job;
	if (before)
		g_queue_insert_after_link(&s->unrated, before,
					  &job->unrated_link);
	else
		g_queue_push_head_link(&s->unrated, &job->unrated_link);
}

void sched_org_job_removed(struct sched *s, struct sched_job *job)
{
	if (job->unrated)
		g_queue_unlink(&s->unrated, &job->unrated_link);
	job->unrated = false;
}

/* Logs one of the jobs found in excess, and how many others there were since
 * the last line. */
static void log_excess(struct sched *s, const struct sched_job *job,
		       int64_t now_ms)
{
	const struct org *org = job->org->def;
	struct sched_ref ref = { 0 };
	char text[200];

	s->excess_unlogged++;
	if (s->excess_logged_ms &&
	    now_ms - s->excess_logged_ms < LOG_EXCESS_INTERVAL_MS)
		return;
	memcpy(ref.job, job->spec->id, sizeof(ref.job));
	snprintf(text, sizeof(text),
		 "org=%s jobs=%lld weight=%lld accepted_ms=%lld "
		 "level_milli=%lld",
		 org->name, (long long)s->excess_unlogged,
		 (long long)org->weight, (long long)job->spec->accepted_ms,
		 (long long)org_rate_level(&s->rates, org,
					   job->spec->accepted_ms));
	s->ops->log_decision(s->priv, "excess", &ref, NULL, text);
	s->excess_logged_ms = now_ms;
	s->excess_unlogged = 0;
}

struct sched_job *sched_org_rate_next(struct sched *s, int64_t now_ms)
{
	GList *link = g_queue_pop_head_link(&s->unrated);
	struct sched_job *job = link ? link->data : NULL;

	if (!job)
		return NULL;
	job->unrated = false;
	if (!job->org->def ||
	    org_rate_take(&s->rates, job->org->def, job->spec->accepted_ms))
		return job;
	/* A previous owner found it within the rate and started it. */
	if (job->state != SCHED_JOB_QUEUED)
		return job;
	job->excess = true;
	log_excess(s, job, now_ms);
	return job;
}

void sched_org_begin_pass(struct sched *s)
{
	struct place_resources total = { 0 };

	s->shares = (struct org_shares){ 0 };
	if (!has_orgs(s))
		return;
	for (guint i = 0; i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);

		if (!w->listed || w->row.draining || w->evacuating)
			continue;
		total.cpu_milli += w->row.total.cpu_milli;
		total.mem_mib += w->row.total.mem_mib;
		total.accelerators += w->row.total.accelerators;
	}
	org_shares_begin(&s->shares, &s->orgs, true, &total);
	for (GList *i = s->ready_steps.head; i; i = i->next) {
		const struct sched_step *step = i->data;

		org_shares_add_waiting(&s->shares, step->round->job->org);
	}
}

bool sched_org_has_reached_share(const struct sched *s,
				 const struct sched_rank *r)
{
	return s->rank_policy->by_share && s->shares.on && !r->overdue &&
	       r->standing == ORG_BELOW &&
	       org_share_standing(&s->shares, r->step->round->job->org) !=
		       ORG_BELOW;
}

bool sched_org_may_evict(const struct sched *s, const struct sched_step *by,
			 const struct sched_run *victim)
{
	return org_share_may_evict(&s->shares, by->round->job->org,
				   victim->task->step->round->job->org);
}

static bool is_ever_large_enough(const struct jobspec_step *def,
				 const struct sched_worker *w)
{
	return def->cpu_milli <= w->row.total.cpu_milli &&
	       def->mem_mib <= w->row.total.mem_mib &&
	       def->accelerators <= w->row.total.accelerators;
}

void sched_org_note_shortage(struct sched *s, const struct sched_step *step,
			     struct sched_worker **list, int32_t n,
			     int64_t now_ms)
{
	const struct catalog_queue *q = step->round->job->queue;
	struct shortage *sh;
	int32_t i = 0;

	if (!s->shares.on || !q || step->def->best_effort)
		return;
	while (i < n && !is_ever_large_enough(step->def, list[i]))
		i++;
	if (i == n)
		return;
	sh = g_hash_table_lookup(s->shortages, q->pool);
	if (!sh) {
		sh = g_new0(struct shortage, 1);
		g_hash_table_insert(s->shortages, g_strdup(q->pool), sh);
	}
	if (!sh->since_ms || now_ms - sh->last_ms >= FULL_GAP_MS)
		sh->since_ms = now_ms;
	sh->last_ms = now_ms;
}

bool sched_org_pool_is_full(const struct sched *s, const char *pool,
			    int64_t now_ms)
{
	const struct shortage *sh = g_hash_table_lookup(s->shortages, pool);

	return sh && now_ms - sh->last_ms < FULL_GAP_MS &&
	       sh->last_ms - sh->since_ms >= FULL_MIN_MS;
}

/* Returns account to struct counts, of accounts with waiting jobs. */
static GHashTable *count_jobs(const struct sched *s)
{
	GHashTable *table = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct sched_job *job = value;
		struct counts *c;

		if (!job->org || job->state != SCHED_JOB_QUEUED)
			continue;
		c = g_hash_table_lookup(table, job->org);
		if (!c) {
			c = g_new0(struct counts, 1);
			g_hash_table_insert(table, job->org, c);
		}
		c->waiting++;
		c->excess += job->excess;
	}
	return table;
}

/* Returns the names of full pools. */
static json_t *pack_full(const struct sched *s, int64_t now_ms)
{
	json_t *list = json_array();
	GHashTableIter it;
	gpointer pool;

	g_hash_table_iter_init(&it, s->shortages);
	while (g_hash_table_iter_next(&it, &pool, NULL)) {
		if (sched_org_pool_is_full(s, pool, now_ms))
			json_array_append_new(list, json_string(pool));
	}
	return list;
}

/* Returns organisation to number of waiting jobs in excess, of organisations
 * that still submit more than they may: their tokens are less than half. */
static json_t *pack_excess(const struct sched *s, int64_t store_ms)
{
	GHashTable *table = count_jobs(s);
	json_t *orgs = json_object();

	for (int32_t i = 0; i < s->catalog->n_orgs; i++) {
		const struct org *org = &s->catalog->orgs[i];
		const struct org_account *acc =
			g_hash_table_lookup(s->orgs.table, org->name);
		const struct counts *c =
			acc ? g_hash_table_lookup(table, acc) : NULL;

		if (!c || !c->excess ||
		    2 * org_rate_level(&s->rates, org, store_ms) >
			    org_rate_level_max(org))
			continue;
		json_object_set_new(orgs, org->name, json_integer(c->excess));
	}
	g_hash_table_destroy(table);
	return orgs;
}

json_t *sched_org_pack_overload(const struct sched *s, int64_t now_ms,
				int64_t store_ms)
{
	json_t *full;
	json_t *orgs;

	if (!has_orgs(s))
		return NULL;
	full = pack_full(s, now_ms);
	orgs = json_array_size(full) ? pack_excess(s, store_ms) : NULL;
	if (json_object_size(orgs))
		return json_pack("{s:o,s:o}", "full", full, "orgs", orgs);
	json_decref(full);
	json_decref(orgs);
	return NULL;
}

void sched_org_list_figures(const struct sched *s,
			    void (*add)(const struct sched_org_figures *f,
					void *priv),
			    void *priv)
{
	GHashTable *table = count_jobs(s);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->orgs.table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct org_account *acc = value;
		const struct counts *c = g_hash_table_lookup(table, acc);
		struct sched_org_figures f = {
			.name = acc->name,
			.used = acc->used,
			.dominant = org_share_dominant(&s->shares, acc),
			.entitlement = org_share_entitlement(&s->shares, acc),
			.waiting = c ? c->waiting : 0,
			.excess = c ? c->excess : 0,
		};

		if (acc->def)
			add(&f, priv);
	}
	g_hash_table_destroy(table);
}
