/* What a shard's owner writes: progress, what it learned, and clearing up. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/lead_int.h"

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

static const char *keep_text(struct lead *l, char *text)
{
	g_ptr_array_add(l->texts, text);
	return text;
}

/* A row that the store refuses for its length would block all later ones. */
static char *progress_text(const struct lead *l, const struct sched_job *job)
{
	json_t *j = sched_job_progress(job, true);
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	if ((int64_t)strlen(text) <= l->f->set.row_bytes_max)
		return text;
	free(text);
	j = sched_job_progress(job, false);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

/* A row for what was learned since the last one, if it is time for it. */
static int32_t collect_learned(struct lead *l, struct rows_change *out)
{
	int64_t now = clk_mono_ms(l->f->clk);
	json_t *j;
	char *text;

	if (l->learned == l->sched.interfere.n_updates ||
	    now - l->learned_ms < LEARNED_EVERY_MS)
		return 0;
	l->learned = l->sched.interfere.n_updates;
	l->learned_ms = now;
	j = interfere_pack(&l->sched.interfere);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	if ((int64_t)strlen(text) > l->f->set.row_bytes_max) {
		log_event(LOG_ROW_UNUSABLE,
			  "table=" LEAD_LEARNED_TABLE " key=" LEAD_LEARNED_KEY
			  " why=\"not written: %zu bytes are too long\"",
			  strlen(text));
		free(text);
		return 0;
	}
	out[0] = (struct rows_change){
		.table = LEAD_LEARNED_TABLE,
		.key = LEAD_LEARNED_KEY,
		.value = keep_text(l, text),
	};
	return 1;
}

/* Rows of the roster that have changed. */
static int32_t collect_roster(struct lead *l, struct rows_change *out,
			      int32_t max)
{
	int32_t n = 0;

	for (int32_t i = 0; i < SCHED_ROSTER_ROWS && n < max; i++) {
		json_t *list;

		if (!(l->sched.roster_dirty & 1u << i))
			continue;
		list = sched_roster_row(&l->sched, i);
		out[n++] = (struct rows_change){
			.table = LEAD_ROSTER_TABLE,
			.key = keep_text(l, g_strdup_printf("%02d", i)),
			.value = keep_text(l, json_dumps(list, JSON_COMPACT)),
		};
		json_decref(list);
	}
	return n;
}

int32_t lead_collect(struct rows_change *out, int32_t max, void *priv)
{
	struct lead *l = priv;
	size_t bytes = 0;
	GHashTableIter it;
	gpointer value;
	int32_t n = 0;

	g_ptr_array_set_size(l->texts, 0);
	while (n < max && bytes < COMMIT_BYTES_MAX && l->sched.touched.length) {
		struct sched_job *job =
			g_queue_pop_head_link(&l->sched.touched)->data;
		char *text = progress_text(l, job);

		job->touched = false;
		bytes += strlen(text);
		out[n++] = (struct rows_change){
			.table = LEAD_PROGRESS_TABLE,
			.key = keep_text(l, strdup(job->spec->id)),
			.value = keep_text(l, text),
		};
	}
	while (n < max && l->dropped->len) {
		char *id = g_ptr_array_remove_index_fast(l->dropped, 0);

		out[n++] = (struct rows_change){
			.table = LEAD_PROGRESS_TABLE,
			.key = keep_text(l, strdup(id)),
			.remove = true,
		};
		talloc_free(id);
	}
	if (l->roster_read)
		n += collect_roster(l, &out[n], max - n);
	if (n < max && l->opened)
		n += collect_learned(l, &out[n]);
	if (l->keep)
		n += keep_collect(l->keep, l->texts, &out[n], max - n);
	l->all_collected = !l->sched.touched.length &&
			   !(l->roster_read && l->sched.roster_dirty);
	if (!l->all_collected) {
		owner_kick(l->owner);
		return n;
	}
	g_hash_table_iter_init(&it, l->sched.workers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sched_worker *w = value;

		w->commit_seq = w->seen_seq;
	}
	return n;
}

void lead_committed(void *priv)
{
	struct lead *l = priv;
	GHashTableIter it;
	gpointer value;

	sched_roster_stored(&l->sched);
	if (l->keep)
		keep_committed(l->keep);
	if (!l->all_collected)
		return;
	g_hash_table_iter_init(&it, l->sched.workers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sched_worker *w = value;

		if (w->durable_seq < w->commit_seq &&
		    w->commit_seq <= w->seen_seq)
			w->durable_seq = w->commit_seq;
	}
	links_committed(l->links);
}

void lead_fill(struct owner_row *row, void *priv)
{
	struct lead *l = priv;
	const struct catalog *c = l->f->catalog;
	json_t *pending;
	char *text;

	/* Of jobs that aren't loaded yet, only the former owner knew. */
	if (!l->opened)
		return;
	pending = json_object();
	for (int32_t i = 0; c && i < c->n_queues; i++) {
		int32_t n = sched_pending(&l->sched, c->queues[i].name);

		if (n)
			json_object_set_new(pending, c->queues[i].name,
					    json_integer(n));
	}
	text = json_dumps(pending, JSON_COMPACT);
	talloc_free(row->pending);
	row->pending = talloc_strdup(l, text);
	free(text);
	json_decref(pending);
}

/* As text if a row has room for it beside what else it holds. */
static char *fitting_text(const struct lead *l, void *ctx, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);
	char *copy = NULL;

	if ((int64_t)strlen(text) < l->f->set.row_bytes_max / 2)
		copy = talloc_strdup(ctx, text);
	free(text);
	json_decref(j);
	return copy;
}

char *lead_hand_over(void *ctx, void *priv)
{
	struct lead *l = priv;
	int64_t now = clk_mono_ms(l->f->clk);
	int64_t waited = now - l->sched.taken_over_ms;
	int64_t runs_max;
	char *text;

	/* Not loaded, we know no more than what we were handed. */
	if (!l->opened) {
		text = fitting_text(l, ctx, sched_hand_on(l->handed, waited));
	} else {
		runs_max = l->f->set.row_bytes_max / 4 / HANDED_RUN_BYTES;
		text = fitting_text(
			l, ctx,
			sched_hand_over(&l->sched, (int32_t)runs_max, now));
	}
	log_event(LOG_SHARD_HANDED, "shard=%d epoch=%lld bytes=%zu", l->shard,
		  (long long)l->sched.epoch, text ? strlen(text) : 0);
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
static void drop_jobs(struct lead *l, const GPtrArray *ids)
{
	for (guint i = 0; i < ids->len; i++) {
		const char *id = g_ptr_array_index(ids, i);

		sched_job_drop(&l->sched, id);
		g_ptr_array_add(l->dropped, talloc_strdup(l->term, id));
	}
}

static void on_cleaned(const struct rows_answer *ans, void *priv)
{
	struct cleaning *c = priv;
	struct lead *l = c->f->leads[c->shard];

	if (ans->result != ROWS_OK)
		log_event(LOG_ROW_UNUSABLE,
			  "table=jobs key=- why=\"ended jobs not removed; "
			  "tried again later\"");
	if (l->leading && l->sched.epoch == c->epoch) {
		l->cleaning = false;
		if (ans->result == ROWS_OK)
			drop_jobs(l, c->ids);
	}
	g_ptr_array_free(c->ids, TRUE);
	free(c);
}

static void remove_rows(struct lead *l, const struct rows_tx *tx,
			GPtrArray *ids)
{
	struct cleaning *c = calloc(1, sizeof(*c));

	c->f = l->f;
	c->shard = l->shard;
	c->epoch = l->sched.epoch;
	c->ids = ids;
	l->cleaning = true;
	l->f->rows.ops->commit(l->f->rows.self, tx, on_cleaned, c);
}

static bool kept_long_enough(const struct lead *l, const struct sched_job *job)
{
	return sched_job_over(job) &&
	       lead_job_part_of(job->spec->id) == l->clean_part &&
	       clk_wall_ms(l->f->clk) - job->ended_wall_ms >
		       l->f->set.keep_ended_ms &&
	       !job->touched;
}

/* Removes the rows of jobs that ended long ago. */
void lead_clean(struct lead *l, int64_t now_ms)
{
	struct rows_change changes[CLEAN_ROWS_MAX] = { 0 };
	char table[LEAD_NAME_MAX];
	char part[LEAD_NAME_MAX];
	struct rows_tx tx = { .part = lead_job_part(l->shard, l->clean_part,
						    part),
			      .changes = changes };
	GPtrArray *ids;
	GHashTableIter it;
	gpointer value;
	void *tmp;

	if (l->cleaning || now_ms - l->cleaned_ms < CLEAN_EVERY_MS)
		return;
	l->cleaned_ms = now_ms;
	tmp = talloc_new(NULL);
	ids = g_ptr_array_new_with_free_func(g_free);
	lead_jobs_table(l->shard, table);
	g_hash_table_iter_init(&it, l->sched.jobs);
	while (tx.n + 2 <= CLEAN_ROWS_MAX &&
	       g_hash_table_iter_next(&it, NULL, &value)) {
		const struct sched_job *job = value;

		if (!kept_long_enough(l, job))
			continue;
		changes[tx.n++] = (struct rows_change){
			.table = table,
			.key = talloc_strdup(tmp, job->spec->id),
			.remove = true,
		};
		changes[tx.n++] = (struct rows_change){
			.table = table,
			.key = talloc_asprintf(tmp, "%s" LEAD_CANCEL_SUFFIX,
					       job->spec->id),
			.remove = true,
		};
		g_ptr_array_add(ids, g_strdup(job->spec->id));
	}
	if (tx.n)
		remove_rows(l, &tx, ids);
	else
		g_ptr_array_free(ids, TRUE);
	l->clean_part = (l->clean_part + 1) % LEAD_JOB_PARTS;
	talloc_free(tmp);
}
