/* What a shard's owner writes: progress, what it learned, and clearing up. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/shard_ctl_int.h"

/* Ended jobs are removed in groups, this often, in ms, part by part. */
#define CLEAN_EVERY_MS 1000
#define CLEAN_ROWS_MAX 90
/* What was learned is written this often, in ms: a successor that lacks the
 * last of it learns that anew in as long. */
#define LEARNED_EVERY_MS 2000
/* A commit takes no more jobs beyond this; the store allows twice as much. */
#define COMMIT_BYTES_MAX (512 * 1024)

/* A run that is handed over: ids of 16 characters and four numbers. */
#define HANDED_RUN_BYTES 50

static const char *keep_text(struct shard_ctl *sc, char *text)
{
	g_ptr_array_add(sc->row_texts, text);
	return text;
}

/* A row that the store refuses for its length would block all later ones. */
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

/* A row for what was learned since the last one, if it is time for it. */
static int32_t collect_learned(struct shard_ctl *sc, struct rows_change *out)
{
	int64_t now = clk_mono_ms(sc->f->clk);
	json_t *j;
	char *text;

	if (sc->learned_saved == sc->sched.interfere.learned ||
	    now - sc->learned_saved_ms < LEARNED_EVERY_MS)
		return 0;
	sc->learned_saved = sc->sched.interfere.learned;
	sc->learned_saved_ms = now;
	j = interfere_pack(&sc->sched.interfere);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	if ((int64_t)strlen(text) > sc->f->set.row_bytes_max) {
		log_event(LOG_ROW_UNUSABLE,
			  "table=" SHARD_CTL_LEARNED_TABLE
			  " key=" SHARD_CTL_LEARNED_KEY
			  " why=\"not written: %zu bytes are too long\"",
			  strlen(text));
		free(text);
		return 0;
	}
	out[0] = (struct rows_change){
		.table = SHARD_CTL_LEARNED_TABLE,
		.key = SHARD_CTL_LEARNED_KEY,
		.value = keep_text(sc, text),
	};
	return 1;
}

/* Rows of the roster that have changed. */
static int32_t collect_roster(struct shard_ctl *sc, struct rows_change *out,
			      int32_t max)
{
	int32_t n = 0;

	for (int32_t i = 0; i < SCHED_ROSTER_ROWS && n < max; i++) {
		json_t *list;

		if (!(sc->sched.roster_dirty & 1u << i))
			continue;
		list = sched_roster_row(&sc->sched, i);
		out[n++] = (struct rows_change){
			.table = SHARD_CTL_ROSTER_TABLE,
			.key = keep_text(sc, g_strdup_printf("%02d", i)),
			.value = keep_text(sc, json_dumps(list, JSON_COMPACT)),
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
	       sc->sched.touched.length) {
		struct sched_job *job =
			g_queue_pop_head_link(&sc->sched.touched)->data;
		char *text = progress_text(sc, job);

		job->touched = false;
		bytes += strlen(text);
		out[n++] = (struct rows_change){
			.table = SHARD_CTL_PROGRESS_TABLE,
			.key = keep_text(sc, strdup(job->spec->id)),
			.value = keep_text(sc, text),
		};
	}
	while (n < max && sc->removed_ids->len) {
		char *id = g_ptr_array_remove_index_fast(sc->removed_ids, 0);

		out[n++] = (struct rows_change){
			.table = SHARD_CTL_PROGRESS_TABLE,
			.key = keep_text(sc, strdup(id)),
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
	sc->collected_all = !sc->sched.touched.length &&
			    !(sc->roster_loaded && sc->sched.roster_dirty);
	if (!sc->collected_all) {
		owner_kick(sc->owner);
		return n;
	}
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

void shard_ctl_fill_row(struct owner_row *row, void *priv)
{
	struct shard_ctl *sc = priv;
	const struct catalog *c = sc->f->catalog;
	json_t *pending;
	char *text;

	/* Of jobs that aren't loaded yet, only the former owner knew. */
	if (!sc->active)
		return;
	pending = json_object();
	for (int32_t i = 0; c && i < c->n_queues; i++) {
		int32_t n = sched_pending(&sc->sched, c->queues[i].name);

		if (n)
			json_object_set_new(pending, c->queues[i].name,
					    json_integer(n));
	}
	text = json_dumps(pending, JSON_COMPACT);
	talloc_free(row->pending);
	row->pending = talloc_strdup(sc, text);
	free(text);
	json_decref(pending);
}

/* As text if a row has room for it beside what else it holds. */
static char *fitting_text(const struct shard_ctl *sc, void *ctx, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);
	char *copy = NULL;

	if ((int64_t)strlen(text) < sc->f->set.row_bytes_max / 2)
		copy = talloc_strdup(ctx, text);
	free(text);
	json_decref(j);
	return copy;
}

char *shard_ctl_handover(void *ctx, void *priv)
{
	struct shard_ctl *sc = priv;
	int64_t now = clk_mono_ms(sc->f->clk);
	int64_t waited = now - sc->sched.taken_over_ms;
	int64_t runs_max;
	char *text;

	/* Not loaded, we know no more than what we were handed. */
	if (!sc->active) {
		text = fitting_text(sc, ctx,
				    sched_hand_on(sc->handover, waited));
	} else {
		runs_max = sc->f->set.row_bytes_max / 4 / HANDED_RUN_BYTES;
		text = fitting_text(
			sc, ctx,
			sched_hand_over(&sc->sched, (int32_t)runs_max, now));
	}
	log_event(LOG_SHARD_HANDED, "shard=%d epoch=%lld bytes=%zu", sc->shard,
		  (long long)sc->sched.epoch, text ? strlen(text) : 0);
	return text;
}

/* Jobs whose rows are being removed; the shard may be lost meanwhile. */
struct cleaning {
	struct fleet *f;
	int32_t shard;
	int64_t epoch;
	GPtrArray *ids;
};

/* Without its row a job can't come back, so its progress may go. */
static void drop_jobs(struct shard_ctl *sc, const GPtrArray *ids)
{
	for (guint i = 0; i < ids->len; i++) {
		const char *id = g_ptr_array_index(ids, i);

		sched_job_drop(&sc->sched, id);
		g_ptr_array_add(sc->removed_ids,
				talloc_strdup(sc->term_ctx, id));
	}
}

static void on_cleaned(const struct rows_answer *ans, void *priv)
{
	struct cleaning *c = priv;
	struct shard_ctl *sc = c->f->shard_ctls[c->shard];

	if (ans->result != ROWS_OK)
		log_event(LOG_ROW_UNUSABLE,
			  "table=jobs key=- why=\"ended jobs not removed; "
			  "tried again later\"");
	if (sc->is_owner && sc->sched.epoch == c->epoch) {
		sc->cleanup_running = false;
		if (ans->result == ROWS_OK)
			drop_jobs(sc, c->ids);
	}
	g_ptr_array_free(c->ids, TRUE);
	free(c);
}

static void remove_rows(struct shard_ctl *sc, const struct rows_tx *tx,
			GPtrArray *ids)
{
	struct cleaning *c = calloc(1, sizeof(*c));

	c->f = sc->f;
	c->shard = sc->shard;
	c->epoch = sc->sched.epoch;
	c->ids = ids;
	sc->cleanup_running = true;
	sc->f->rows.ops->commit(sc->f->rows.self, tx, on_cleaned, c);
}

static bool kept_long_enough(const struct shard_ctl *sc,
			     const struct sched_job *job)
{
	return sched_job_over(job) &&
	       shard_ctl_job_part_of(job->spec->id) == sc->cleanup_part &&
	       clk_wall_ms(sc->f->clk) - job->ended_wall_ms >
		       sc->f->set.ended_retention_ms &&
	       !job->touched;
}

/* Removes the rows of jobs that ended long ago. */
void shard_ctl_remove_ended(struct shard_ctl *sc, int64_t now_ms)
{
	struct rows_change changes[CLEAN_ROWS_MAX] = { 0 };
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
	    now_ms - sc->last_cleanup_ms < CLEAN_EVERY_MS)
		return;
	sc->last_cleanup_ms = now_ms;
	tmp = talloc_new(NULL);
	ids = g_ptr_array_new_with_free_func(g_free);
	shard_ctl_jobs_table(sc->shard, table);
	g_hash_table_iter_init(&it, sc->sched.jobs);
	while (tx.n + 2 <= CLEAN_ROWS_MAX &&
	       g_hash_table_iter_next(&it, NULL, &value)) {
		const struct sched_job *job = value;

		if (!kept_long_enough(sc, job))
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
