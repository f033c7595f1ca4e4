/* Rows that the owner of a shard writes: progress, roster, learned
 * interference; and the removal of ended jobs. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/shard_ctl_int.h"

/* Interval in ms at which ended jobs are removed, from one part at a time. */
#define CLEANUP_INTERVAL_MS 1000
#define CLEANUP_ROWS_MAX 90
/* Interval in ms at which learned interference is stored. A successor that
 * lacks the last interval learns it again in the same time. */
#define LEARNED_INTERVAL_MS 2000
/* Limit from which no more jobs are added to a commit. The store allows twice
 * as much. */
#define COMMIT_BYTES_MAX (512 * 1024)

/* Parts of the owner's row that the handover and the job counts may take: a row
 * that the store rejects would block all later commits. */
#define HANDOVER_PART 2
#define PENDING_PART 4
/* Estimated size of one run in the handover, by which the number of runs is
 * limited: ids of 16 characters and four numbers. */
#define HANDOVER_RUN_BYTES 50

/* Takes ownership of `text` until the next commit is collected; returns it. */
static const char *own_text(struct shard_ctl *sc, char *text)
{
	g_ptr_array_add(sc->row_texts, text);
	return text;
}

/* Returns the progress row of the job; the caller frees it. Omits checkpoints
 * if it would be too long: a row that the store rejects would block all later
 * commits. */
static char *progress_text(const struct shard_ctl *sc,
			   const struct sched_job *job)
{
	json_t *j = sched_job_progress(job, true);
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	if ((int64_t)strlen(text) <= sc->f->set.row_bytes_max)
		return text;
	free(text);
	j = sched_job_progress(job, false);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

/* Adds a row if interference was learned since the last one and the interval
 * has passed. Returns the number of rows added. */
static int32_t collect_learned(struct shard_ctl *sc, struct rows_change *out)
{
	int64_t now = clk_mono_ms(sc->f->clk);
	json_t *j;
	char *text;

	if (sc->learned_saved == sc->sched.interfere.n_updates ||
	    now - sc->learned_saved_ms < LEARNED_INTERVAL_MS)
		return 0;
	sc->learned_saved = sc->sched.interfere.n_updates;
	sc->learned_saved_ms = now;
	j = interfere_pack(&sc->sched.interfere);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	if ((int64_t)strlen(text) > sc->f->set.row_bytes_max) {
		log_event(LOG_ROW_UNUSABLE,
			  "table=" SHARD_CTL_LEARNED_TABLE
			  " key=" SHARD_CTL_LEARNED_KEY
			  " why=\"not written: %zu bytes exceed the row size "
			  "limit\"",
			  strlen(text));
		free(text);
		return 0;
	}
	out[0] = (struct rows_change){
		.table = SHARD_CTL_LEARNED_TABLE,
		.key = SHARD_CTL_LEARNED_KEY,
		.value = own_text(sc, text),
	};
	return 1;
}

/* Adds the rows of the roster that have changed; returns how many. */
static int32_t collect_roster(struct shard_ctl *sc, struct rows_change *out,
			      int32_t max)
{
	int32_t n = 0;

	for (int32_t i = 0; i < SCHED_ROSTER_ROWS && n < max; i++) {
		json_t *list;

		if (!(sc->sched.roster_dirty & 1u << i))
			continue;
		list = sched_roster_pack_row(&sc->sched, i);
		out[n++] = (struct rows_change){
			.table = SHARD_CTL_ROSTER_TABLE,
			.key = own_text(sc, g_strdup_printf("%02d", i)),
			.value = own_text(sc, json_dumps(list, JSON_COMPACT)),
		};
		json_decref(list);
	}
	return n;
}

int32_t shard_ctl_collect(struct rows_change *out, int32_t max, void *priv)
{
	struct shard_ctl *sc = priv;
	size_t bytes = 0;
	GHashTableIter it;
	gpointer value;
	int32_t n = 0;

	g_ptr_array_set_size(sc->row_texts, 0);
	while (n < max && bytes < COMMIT_BYTES_MAX &&
	       sc->sched.dirty_jobs.length) {
		struct sched_job *job =
			g_queue_pop_head_link(&sc->sched.dirty_jobs)->data;
		char *text = progress_text(sc, job);

		job->dirty = false;
		bytes += strlen(text);
		out[n++] = (struct rows_change){
			.table = SHARD_CTL_PROGRESS_TABLE,
			.key = own_text(sc, strdup(job->spec->id)),
			.value = own_text(sc, text),
		};
	}
	while (n < max && sc->removed_ids->len) {
		char *id = g_ptr_array_remove_index_fast(sc->removed_ids, 0);

		out[n++] = (struct rows_change){
			.table = SHARD_CTL_PROGRESS_TABLE,
			.key = own_text(sc, strdup(id)),
			.remove = true,
		};
		talloc_free(id);
	}
	if (sc->roster_loaded)
		n += collect_roster(sc, &out[n], max - n);
	if (n < max && sc->active)
		n += collect_learned(sc, &out[n]);
	if (sc->upkeep)
		n += upkeep_runner_collect(sc->upkeep, sc->row_texts, &out[n],
					   max - n);
	sc->collected_all = !sc->sched.dirty_jobs.length &&
			    !(sc->roster_loaded && sc->sched.roster_dirty);
	if (!sc->collected_all) {
		owner_request_commit(sc->owner);
		return n;
	}
	/* All dirty rows are in this commit, so it covers all ends seen. */
	g_hash_table_iter_init(&it, sc->sched.workers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sched_worker *w = value;

		w->commit_seq = w->seen_seq;
	}
	return n;
}

void shard_ctl_committed(void *priv)
{
	struct shard_ctl *sc = priv;
	GHashTableIter it;
	gpointer value;

	sched_roster_stored(&sc->sched);
	if (sc->upkeep)
		upkeep_runner_committed(sc->upkeep);
	if (!sc->collected_all)
		return;
	g_hash_table_iter_init(&it, sc->sched.workers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sched_worker *w = value;

		if (w->durable_seq < w->commit_seq &&
		    w->commit_seq <= w->seen_seq)
			w->durable_seq = w->commit_seq;
	}
	wkr_links_committed(sc->links);
}

/* Returns `j` as text, a talloc child of `ctx`, or NULL if it takes
 * `bytes_max` or more. Releases `j`. */
static char *text_if_fits(void *ctx, json_t *j, int64_t bytes_max)
{
	char *text = json_dumps(j, JSON_COMPACT);
	char *copy = NULL;

	if ((int64_t)strlen(text) < bytes_max)
		copy = talloc_strdup(ctx, text);
	free(text);
	json_decref(j);
	return copy;
}

void shard_ctl_fill_row(struct owner_row *row, void *priv)
{
	struct shard_ctl *sc = priv;
	GHashTableIter it;
	gpointer queue;
	gpointer n;
	json_t *pending;

	/* Until the jobs are loaded, the row keeps the counts of the previous
	 * owner, and their time. */
	if (!sc->jobs_loaded)
		return;
	pending = json_object();
	/* Queues that are not configured here are included: another VM may have
	 * a newer configuration and accept jobs for them. */
	g_hash_table_iter_init(&it, sc->sched.queued);
	while (g_hash_table_iter_next(&it, &queue, &n))
		json_object_set_new(pending, queue,
				    json_integer(GPOINTER_TO_INT(n)));
	talloc_free(row->pending);
	/* Counts that don't fit in the row are unknown to callers. */
	row->pending = text_if_fits(sc, pending,
				    sc->f->set.row_bytes_max / PENDING_PART);
	row->pending_ms = row->pending ? sc->jobs_store_ms : 0;
	row->pending_version = sc->jobs_version;
}

char *shard_ctl_handover(void *ctx, void *priv)
{
	struct shard_ctl *sc = priv;
	int64_t now = clk_mono_ms(sc->f->clk);
	int64_t waited_ms = now - sc->sched.taken_over_ms;
	int64_t bytes_max = sc->f->set.row_bytes_max / HANDOVER_PART;
	int64_t runs_max;
	char *text;

	/* Before the jobs are loaded, all that is known is the handover
	 * received from the previous owner. */
	if (!sc->active) {
		text = text_if_fits(
			ctx, sched_handover_forward(sc->handover, waited_ms),
			bytes_max);
	} else {
		runs_max = sc->f->set.row_bytes_max / 4 / HANDOVER_RUN_BYTES;
		text = text_if_fits(
			ctx,
			sched_handover_pack(&sc->sched, (int32_t)runs_max, now),
			bytes_max);
	}
	log_event(LOG_SHARD_HANDED, "shard=%d epoch=%lld bytes=%zu", sc->shard,
		  (long long)sc->sched.epoch, text ? strlen(text) : 0);
	return text;
}

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
void shard_ctl_remove_ended(struct shard_ctl *sc, int64_t now_ms)
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

	if (sc->cleanup_running ||
	    now_ms - sc->last_cleanup_ms < CLEANUP_INTERVAL_MS)
		return;
	sc->last_cleanup_ms = now_ms;
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
	sc->cleanup_part = (sc->cleanup_part + 1) % SHARD_CTL_JOB_PARTS;
	talloc_free(tmp);
}
