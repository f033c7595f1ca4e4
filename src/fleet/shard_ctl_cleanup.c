/* Removes rows that are no longer needed: those of jobs that ended long ago,
 * and of refusals. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/admission.h"
#include "fleet/shard_ctl_int.h"

/* Interval in ms at which ended jobs are removed, from one part at a time. */
#define CLEANUP_INTERVAL_MS 1000
#define CLEANUP_ROWS_MAX 90
/* A refusal is kept this long, in ms: no store call, and no caller's attempt
 * that it answered, is under way for as long. */
#define REFUSAL_RETENTION_MS 60000

/* A transaction that removes rows of ended jobs. The shard may be lost before
 * the answer comes. */
struct cleanup_call {
	struct fleet *f;
	int32_t shard;
	int64_t epoch;
	GPtrArray *ids;
};

/* Called once the job rows are removed. No owner can load these jobs again, so
 * their progress rows can be removed too. */
static void forget_jobs(struct shard_ctl *sc, const GPtrArray *ids)
{
	for (guint i = 0; i < ids->len; i++) {
		const char *id = g_ptr_array_index(ids, i);

		sched_job_remove(&sc->sched, id);
		g_ptr_array_add(sc->removed_ids,
				talloc_strdup(sc->term_ctx, id));
	}
}

static void on_rows_removed(const struct rows_answer *ans, void *priv)
{
	struct cleanup_call *c = priv;
	struct shard_ctl *sc = c->f->shard_ctls[c->shard];

	if (ans->result != ROWS_OK)
		log_event(
			LOG_ROW_UNUSABLE,
			"table=jobs key=- why=\"removal of ended jobs failed; "
			"will be retried\"");
	if (sc->is_owner && sc->sched.epoch == c->epoch) {
		sc->cleanup_running = false;
		if (ans->result == ROWS_OK)
			forget_jobs(sc, c->ids);
	}
	g_ptr_array_free(c->ids, TRUE);
	free(c);
}

static void remove_rows(struct shard_ctl *sc, const struct rows_tx *tx,
			GPtrArray *ids)
{
	struct cleanup_call *c = calloc(1, sizeof(*c));

	c->f = sc->f;
	c->shard = sc->shard;
	c->epoch = sc->sched.epoch;
	c->ids = ids;
	sc->cleanup_running = true;
	sc->f->rows.ops->commit(sc->f->rows.self, tx, on_rows_removed, c);
}

/* Returns true if the job is in the part being cleaned up, ended long enough
 * ago and has no changes to store. */
static bool may_remove(const struct shard_ctl *sc, const struct sched_job *job)
{
	return sched_job_has_ended(job) &&
	       shard_ctl_job_part_of(job->spec->id) == sc->cleanup_part &&
	       clk_wall_ms(sc->f->clk) - job->ended_wall_ms >
		       sc->f->set.ended_retention_ms &&
	       !job->dirty;
}

/* Removes the rows of jobs in one part that ended long ago. */
static void remove_ended(struct shard_ctl *sc)
{
	struct rows_change changes[CLEANUP_ROWS_MAX] = { 0 };
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];
	struct rows_tx tx = { .part = shard_ctl_job_part(
				      sc->shard, sc->cleanup_part, part),
			      .changes = changes };
	GPtrArray *ids;
	GHashTableIter it;
	gpointer value;
	void *tmp;

	tmp = talloc_new(NULL);
	ids = g_ptr_array_new_with_free_func(g_free);
	shard_ctl_jobs_table(sc->shard, table);
	g_hash_table_iter_init(&it, sc->sched.jobs);
	while (tx.n + 2 <= CLEANUP_ROWS_MAX &&
	       g_hash_table_iter_next(&it, NULL, &value)) {
		const struct sched_job *job = value;

		if (!may_remove(sc, job))
			continue;
		changes[tx.n++] = (struct rows_change){
			.table = table,
			.key = talloc_strdup(tmp, job->spec->id),
			.remove = true,
		};
		changes[tx.n++] = (struct rows_change){
			.table = table,
			.key = talloc_asprintf(tmp,
					       "%s" SHARD_CTL_CANCEL_SUFFIX,
					       job->spec->id),
			.remove = true,
		};
		g_ptr_array_add(ids, g_strdup(job->spec->id));
	}
	if (tx.n)
		remove_rows(sc, &tx, ids);
	else
		g_ptr_array_free(ids, TRUE);
	talloc_free(tmp);
}

/* A refusal in the jobs table, by the id of its job. */
struct refusal {
	int64_t version; /* of its row */
	int64_t seen_ms;
};

bool shard_ctl_note_refusal(struct shard_ctl *sc, const struct rows_row *row)
{
	struct refusal *r;
	int64_t refused_ms;

	if (!admission_parse_refusal(row->value, &refused_ms)) {
		g_hash_table_remove(sc->refusals, row->key);
		return false;
	}
	r = g_new(struct refusal, 1);
	r->version = row->version;
	r->seen_ms = clk_mono_ms(sc->f->clk);
	g_hash_table_replace(sc->refusals, g_strdup(row->key), r);
	return true;
}

static void on_refusals_removed(const struct rows_answer *ans, void *priv)
{
	(void)priv;
	if (ans->result != ROWS_OK)
		log_event(LOG_ROW_UNUSABLE,
			  "table=jobs key=- why=\"removal of refusals failed; "
			  "the next owner will retry\"");
}

/* Removes the refusals of one part that are old enough. Each is removed in the
 * version that was seen: a job may take its place at any time. */
static void remove_refusals(struct shard_ctl *sc, int64_t now_ms)
{
	struct rows_change changes[CLEANUP_ROWS_MAX] = { 0 };
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];
	struct rows_tx tx = { .part = shard_ctl_job_part(
				      sc->shard, sc->cleanup_part, part),
			      .changes = changes };
	GHashTableIter it;
	gpointer id;
	gpointer value;

	shard_ctl_jobs_table(sc->shard, table);
	g_hash_table_iter_init(&it, sc->refusals);
	while (tx.n < CLEANUP_ROWS_MAX &&
	       g_hash_table_iter_next(&it, &id, &value)) {
		const struct refusal *r = value;

		if (shard_ctl_job_part_of(id) != sc->cleanup_part ||
		    now_ms - r->seen_ms < REFUSAL_RETENTION_MS)
			continue;
		changes[tx.n++] = (struct rows_change){
			.table = table,
			.key = id,
			.remove = true,
			.conditional = true,
			.expected = r->version,
		};
	}
	if (tx.n)
		sc->f->rows.ops->commit(sc->f->rows.self, &tx,
					on_refusals_removed, NULL);
	/* Those that are left are seen again by the next owner. */
	for (int32_t i = 0; i < tx.n; i++)
		g_hash_table_remove(sc->refusals, changes[i].key);
}

void shard_ctl_cleanup(struct shard_ctl *sc, int64_t now_ms)
{
	if (sc->cleanup_running ||
	    now_ms - sc->last_cleanup_ms < CLEANUP_INTERVAL_MS)
		return;
	sc->last_cleanup_ms = now_ms;
	remove_ended(sc);
	remove_refusals(sc, now_ms);
	sc->cleanup_part = (sc->cleanup_part + 1) % SHARD_CTL_JOB_PARTS;
}
