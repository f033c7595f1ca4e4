/*
 * Watches a table: reads it page by page, then asks for changes. Reads it again
 * if the store no longer keeps the changes asked for.
 */
#include "state/row_watch.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "state/page_size.h"

/* Pause after a failed call, in ms: a tenth of the shortest time bound. */
#define RETRY_MS 250
/* An answer with so many changes may not have all: the store limits pages to as
 * many rows. The next call follows at once. */
#define FULL_ANSWER_ROWS 500
/* After a read, changes made meanwhile are asked for until an answer has no
 * more than these, which took no time worth speaking of to arrive. */
#define CAUGHT_UP_ROWS 20
#define PART_MAX 64

/* Context of a call in flight; outlives a watch that is freed meanwhile. */
struct call {
	struct row_watch *watch; /* NULL once the watch is freed */
};

struct row_watch {
	struct rows rows;
	struct tmr_set *timers;
	struct tmr *timer;
	struct row_watch_options opt;
	const struct row_watch_ops *ops;
	void *priv;
	struct call *call; /* in flight */
	GHashTable *versions; /* key to the version reported last */
	GHashTable *keys_read; /* keys found by the current read */
	int32_t part_index; /* index of the part being read */
	char *page_from; /* first key of the next page; NULL: the first page */
	struct page_size page;
	int64_t read_version; /* of the first page */
	int64_t read_ms; /* store's clock at the first page */
	int64_t sent_ms; /* of the first page, or of the last changes */
	int64_t version; /* all changes up to it were reported */
	bool loaded; /* the read is done: ask for changes */
	bool catching_up; /* ... but those made meanwhile aren't known yet */
	/* The store had dropped those: the next read has to do without. */
	bool no_catching_up;
	bool failed; /* the last call for changes did */
};

static void send_call(void *priv);

static int row_watch_destructor(struct row_watch *w)
{
	if (w->call)
		w->call->watch = NULL;
	TALLOC_FREE(w->timer);
	g_hash_table_destroy(w->versions);
	g_hash_table_destroy(w->keys_read);
	return 0;
}

static void schedule_call(struct row_watch *w, int64_t ms)
{
	w->timer = tmr_after(w->timers, ms, send_call, w);
}

/* Frees the context of a call. Returns its watch, or NULL if that was freed. */
static struct row_watch *end_call(void *priv)
{
	struct call *c = priv;
	struct row_watch *w = c->watch;

	talloc_free(c);
	if (w)
		w->call = NULL;
	return w;
}

static struct call *begin_call(struct row_watch *w)
{
	w->call = talloc_zero(w->timers, struct call);
	w->call->watch = w;
	return w->call;
}

static void deliver(struct row_watch *w, const struct rows_row *row)
{
	gint64 *known = g_hash_table_lookup(w->versions, row->key);
	gint64 *version;

	if (known && row->version <= *known)
		return;
	if (row->deleted) {
		g_hash_table_remove(w->versions, row->key);
		w->ops->row(row, w->priv);
		return;
	}
	version = g_new(gint64, 1);
	*version = row->version;
	g_hash_table_replace(w->versions, g_strdup(row->key), version);
	w->ops->row(row, w->priv);
}

/* Reports the known rows that the read didn't find any more as deleted. */
static void deliver_deletions(struct row_watch *w)
{
	GList *keys = g_hash_table_get_keys(w->versions);

	for (GList *i = keys; i; i = i->next) {
		struct rows_row row = { .part = w->opt.part,
					.key = i->data,
					.version = w->read_version,
					.deleted = true };

		if (g_hash_table_contains(w->keys_read, i->data))
			continue;
		w->ops->row(&row, w->priv);
		g_hash_table_remove(w->versions, i->data);
	}
	g_list_free(keys);
	g_hash_table_remove_all(w->keys_read);
}

static void on_page(const struct rows_answer *ans, void *priv)
{
	struct row_watch *w = end_call(priv);
	bool first;

	if (!w)
		return;
	if (ans->result != ROWS_OK) {
		schedule_call(w, RETRY_MS);
		return;
	}
	first = !w->page_from && !w->part_index;
	/* Reads may lag: don't go back to an older version. Changes up to that
	 * of the first page are not asked for again. */
	if (ans->version < (first ? w->version : w->read_version)) {
		schedule_call(w, RETRY_MS);
		return;
	}
	if (first) {
		w->read_version = ans->version;
		w->read_ms = ans->now_ms;
		w->sent_ms = ans->sent_ms;
	}
	page_size_note(&w->page, ans);
	for (int32_t i = 0; i < ans->n; i++) {
		g_hash_table_add(w->keys_read, g_strdup(ans->rows[i].key));
		deliver(w, &ans->rows[i]);
	}
	if (ans->more && ans->n > 0) {
		/* The smallest key after the last one of this page. */
		char *next = talloc_asprintf(w, "%s%c",
					     ans->rows[ans->n - 1].key, 1);

		talloc_free(w->page_from);
		w->page_from = next;
		schedule_call(w, 0);
		return;
	}
	TALLOC_FREE(w->page_from);
	if (++w->part_index < w->opt.parts) {
		schedule_call(w, 0);
		return;
	}
	w->part_index = 0;
	deliver_deletions(w);
	w->version = w->read_version;
	w->loaded = true;
	w->catching_up = !w->no_catching_up;
	w->no_catching_up = false;
	if (!w->catching_up)
		w->ops->synced(w->version, w->read_ms, w->priv);
	schedule_call(w, w->catching_up ? 0 : w->opt.gap_ms);
}

static bool is_watched(const struct row_watch *w, const char *part)
{
	size_t n = strlen(w->opt.part);

	return strncmp(part, w->opt.part, n) == 0 &&
	       (w->opt.parts > 0 || !part[n]);
}

static void on_changes(const struct rows_answer *ans, void *priv)
{
	struct row_watch *w = end_call(priv);

	if (!w)
		return;
	w->failed = ans->result != ROWS_OK;
	if (ans->result == ROWS_COMPACTED) {
		w->loaded = false;
		w->no_catching_up = w->catching_up;
	}
	if (ans->result != ROWS_OK) {
		schedule_call(w, ans->result == ROWS_COMPACTED ? 0 : RETRY_MS);
		return;
	}
	/* An answer that lags doesn't show what has changed by its time. */
	if (ans->version < w->version) {
		schedule_call(w, RETRY_MS);
		return;
	}
	for (int32_t i = 0; i < ans->n; i++) {
		if (!is_watched(w, ans->rows[i].part))
			continue;
		deliver(w, &ans->rows[i]);
	}
	w->version = ans->version;
	w->sent_ms = ans->sent_ms;
	w->catching_up &= ans->n > CAUGHT_UP_ROWS;
	if (!w->catching_up)
		w->ops->synced(w->version, ans->now_ms, w->priv);
	schedule_call(w, w->catching_up || ans->n >= FULL_ANSWER_ROWS
				 ? 0
				 : w->opt.gap_ms);
}

static void send_call(void *priv)
{
	struct row_watch *w = priv;
	char part[PART_MAX];
	struct rows_range range = { .table = w->opt.table,
				    .part = part,
				    .from = w->page_from,
				    .limit = page_size_rows(&w->page) };

	w->timer = NULL;
	if (w->opt.parts)
		snprintf(part, sizeof(part), "%s%d", w->opt.part,
			 w->part_index);
	else
		snprintf(part, sizeof(part), "%s", w->opt.part);
	if (w->loaded)
		/* After a failure, what is known is confirmed at once. */
		w->rows.ops->changes(
			w->rows.self, w->opt.table, w->version,
			w->failed || w->catching_up ? 0 : w->opt.wait_ms,
			on_changes, begin_call(w));
	else
		w->rows.ops->read(w->rows.self, &range, on_page, begin_call(w));
}

struct row_watch *row_watch_start(void *ctx, const struct rows *rows,
				  struct tmr_set *timers,
				  const struct row_watch_options *opt,
				  const struct row_watch_ops *ops, void *priv)
{
	struct row_watch *w = talloc_zero(ctx, struct row_watch);

	w->rows = *rows;
	w->timers = timers;
	w->opt = *opt;
	w->opt.table = talloc_strdup(w, opt->table);
	w->opt.part = talloc_strdup(w, opt->part);
	w->page.bytes_max = opt->page_bytes;
	w->ops = ops;
	w->priv = priv;
	w->versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->keys_read =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(w, row_watch_destructor);
	schedule_call(w, 0);
	return w;
}

int64_t row_watch_sent_ms(const struct row_watch *w)
{
	return w->sent_ms;
}
