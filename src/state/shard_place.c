/*
 * Places a shard's queued tasks on workers, in the order of class, team share
 * and age, within the quotas; preempts normal tasks for urgent ones.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "state/shard_int.h"

#define STARTS_PER_BATCH 200
#define RATIO_MIN_MILLI 250 /* of measured to declared CPU */

/* A job with queued tasks, and what decides when its turn is. */
struct waiting_job {
	struct shard_job *job;
	int64_t *team_cpu; /* milli-CPU reserved by its team in this shard */
	int64_t quota; /* -1: none */
	bool blocked; /* can start nothing more in this pass */
};

/* One placement pass. */
struct place_pass {
	struct shard *s;
	struct shard_time now;
	struct waiting_job *list;
	int n;
	GHashTable *teams; /* name to milli-CPU reserved */
	int started; /* number of tasks */
};

static int64_t *team_cpu(GHashTable *teams, const char *team)
{
	int64_t *v = g_hash_table_lookup(teams, team);

	if (!v) {
		v = g_new0(int64_t, 1);
		g_hash_table_insert(teams, g_strdup(team), v);
	}
	return v;
}

static void count_team_cpu(struct place_pass *pass)
{
	for (int i = 0; i < pass->s->n_workers; i++) {
		GHashTableIter it;
		gpointer key;

		g_hash_table_iter_init(&it, pass->s->workers[i].tasks);
		while (g_hash_table_iter_next(&it, &key, NULL)) {
			const struct shard_task *t = key;

			*team_cpu(pass->teams, t->job->rec.team) +=
				t->reserved.cpu_milli;
		}
	}
}

static void list_waiting_jobs(struct place_pass *pass)
{
	GHashTableIter it;
	gpointer value;

	pass->list = g_new0(struct waiting_job,
			    g_hash_table_size(pass->s->jobs) + 1);
	g_hash_table_iter_init(&it, pass->s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct shard_job *job = value;
		int64_t *quota;
		struct waiting_job *w;

		if (!job->n_queued || job->withdrawn)
			continue;
		quota = g_hash_table_lookup(pass->s->quotas, job->rec.team);
		w = &pass->list[pass->n++];
		w->job = job;
		w->team_cpu = team_cpu(pass->teams, job->rec.team);
		w->quota = quota ? *quota : -1;
	}
}

static int class_rank(const struct shard_job *job)
{
	return job->rec.task_class == REC_NORMAL ? 1 : 0;
}

/* Returns the team's use in thousandths of its quota, or of 100 CPUs if it has
 * none. */
static int64_t share_milli(const struct waiting_job *w)
{
	int64_t of = w->quota > 0 ? w->quota : 100000;

	return *w->team_cpu * 1000 / of;
}

/* Urgent jobs first, then the team with the lowest use, then the oldest job. */
static bool comes_before(const struct waiting_job *a,
			 const struct waiting_job *b)
{
	if (class_rank(a->job) != class_rank(b->job))
		return class_rank(a->job) < class_rank(b->job);
	if (share_milli(a) != share_milli(b))
		return share_milli(a) < share_milli(b);
	return a->job->order < b->job->order;
}

static struct waiting_job *next_job(struct place_pass *pass)
{
	struct waiting_job *best = NULL;

	for (int i = 0; i < pass->n; i++) {
		struct waiting_job *w = &pass->list[i];

		assert(w->job);
		if (w->blocked || !w->job->n_queued)
			continue;
		if (!best || comes_before(w, best))
			best = w;
	}
	return best;
}

static struct shard_task *first_queued(struct shard_job *job)
{
	while (job->first_queued < job->rec.tasks) {
		struct shard_task *t = &job->tasks[job->first_queued];

		if (t->state == SHARD_QUEUED)
			return t;
		job->first_queued++;
	}
	return NULL;
}

static bool could_fit_anywhere(const struct shard *s,
			       const struct place_request *need)
{
	for (int i = 0; i < s->n_workers; i++) {
		if (s->workers[i].listed &&
		    place_fits_empty(&s->place[i], need))
			return true;
	}
	return false;
}

/* What to reserve: CPU as declared, corrected by the measured ratio. */
static struct place_request need_of_task(const struct shard *s,
					 const struct shard_task *t)
{
	const struct rec *rec = &t->job->rec;
	struct place_request need = { .size = { rec->cpu_milli, rec->mem_mib,
						rec->accelerators },
				      .domain = rec->domain,
				      .avoid = t->avoid };
	int64_t ratio = t->job->cpu_ratio_milli;

	if (ratio < RATIO_MIN_MILLI)
		ratio = RATIO_MIN_MILLI;
	need.size.cpu_milli = rec->cpu_milli * ratio / 1000;
	if (need.size.cpu_milli < 1)
		need.size.cpu_milli = 1;
	/* The correction must not make the task too large for every worker. */
	if (!could_fit_anywhere(s, &need))
		need.size.cpu_milli = rec->cpu_milli;
	return need;
}

static void start_task(struct place_pass *pass, struct waiting_job *w,
		       struct shard_task *t, int worker,
		       const struct place_resources *size)
{
	struct shard *s = pass->s;

	shard_add_entry(s,
			json_pack("[s,s,i,i,s,I,I,I]", "start",
				  t->job->rec.name, t->index, t->attempt + 1,
				  s->workers[worker].id,
				  (json_int_t)size->cpu_milli,
				  (json_int_t)size->mem_mib,
				  (json_int_t)size->accelerators),
			pass->now);
	g_ptr_array_add(s->starts_pending, t);
	*w->team_cpu += size->cpu_milli;
	pass->started++;
}

static bool is_ending(const struct shard_task *t)
{
	return t->evict_requested || t->stop_requested;
}

static bool is_preemptible(const struct shard_task *t)
{
	return t->state == SHARD_RUNNING && !is_ending(t) &&
	       t->job->rec.task_class == REC_NORMAL;
}

/* Returns the milli-CPU reserved by a worker's tasks that `counts` accepts. */
static int64_t reserved_cpu(const struct shard *s, int worker,
			    bool (*counts)(const struct shard_task *t))
{
	GHashTableIter it;
	gpointer key;
	int64_t cpu = 0;

	g_hash_table_iter_init(&it, s->workers[worker].tasks);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct shard_task *t = key;

		if (counts(t))
			cpu += t->reserved.cpu_milli;
	}
	return cpu;
}

/* Evicts normal tasks of a worker until they free `missing_cpu`. */
static void evict_from(struct shard *s, int worker, int64_t missing_cpu)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, s->workers[worker].tasks);
	while (missing_cpu > 0 && g_hash_table_iter_next(&it, &key, NULL)) {
		struct shard_task *t = key;

		if (!is_preemptible(t))
			continue;
		t->evict_requested = true;
		s->workers[worker].has_commands = true;
		missing_cpu -= t->reserved.cpu_milli;
	}
}

/*
 * Evicts tasks for an urgent one on the worker where the least CPU is missing.
 * Evicts none if the tasks already being stopped make room on some worker.
 */
static void preempt_for(struct shard *s, const struct place_request *need)
{
	int64_t best_missing = INT64_MAX;
	int best = -1;

	for (int i = 0; i < s->n_workers; i++) {
		const struct place_worker *p = &s->place[i];
		int64_t left = p->total.cpu_milli - p->used.cpu_milli +
			       reserved_cpu(s, i, is_ending);
		int64_t missing_cpu = need->size.cpu_milli - left;

		if (!p->usable || p->health != PLACE_HEALTHY ||
		    !place_fits_empty(p, need))
			continue;
		if (missing_cpu <= 0)
			return;
		if (missing_cpu <= reserved_cpu(s, i, is_preemptible) &&
		    missing_cpu < best_missing) {
			best = i;
			best_missing = missing_cpu;
		}
	}
	if (best >= 0)
		evict_from(s, best, best_missing);
}

static void try_start(struct place_pass *pass, struct waiting_job *w)
{
	struct shard_task *t = first_queued(w->job);
	struct place_request need;
	int worker;

	if (!t) {
		w->blocked = true;
		return;
	}
	need = need_of_task(pass->s, t);
	if (w->quota >= 0 && *w->team_cpu + need.size.cpu_milli > w->quota) {
		w->blocked = true;
		return;
	}
	worker = pass->s->opt.policy->choose(pass->s->place, pass->s->n_workers,
					     &need, pass->now.mono_ms);
	if (worker >= 0) {
		start_task(pass, w, t, worker, &need.size);
		return;
	}
	w->blocked = true;
	if (class_rank(w->job) == 0)
		preempt_for(pass->s, &need);
}

void shard_place_tasks(struct shard *s, struct shard_time now)
{
	struct place_pass pass = { .s = s, .now = now };
	struct waiting_job *w;

	if (!s->totals.tasks[SHARD_QUEUED])
		return;
	pass.teams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	count_team_cpu(&pass);
	list_waiting_jobs(&pass);
	while (pass.started < STARTS_PER_BATCH && (w = next_job(&pass)))
		try_start(&pass, w);
	g_hash_table_destroy(pass.teams);
	g_free(pass.list);
}
