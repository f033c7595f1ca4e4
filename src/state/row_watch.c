/*
 * Watches a table: reads it page by page, several parts at a time, then asks
 * for changes. Reads it again if the store no longer keeps the changes asked
 * for.
 */
#include "state/row_watch.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "state/page_size.h"

/* Pause after a failed call, in ms: a tenth of the shortest time bound. */
#define RETRY_MS 250
/* Pause before changes are asked for again if an answer lags behind the version
 * that is required, in ms. */
#define LAG_RETRY_MS 100
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
	int32_t part; /* index of the part that it reads */
};

/* The read of one part. */
struct part_read {
	struct call *call; /* in flight */
	char *from; /* first key of the next page; NULL: the first page */
	bool failed; /* the last call did; retried by the timer */
	bool done;
};

struct row_watch {
	struct rows rows;
	struct tmr_set *timers;
	struct tmr *timer;
	struct row_watch_options opt;
	const struct row_watch_ops *ops;
	void *priv;
	struct call *call; /* for changes, in flight */
	GHashTable *versions; /* key to the version reported last */
	GHashTable *keys_read; /* keys found by the current read */
	struct part_read *parts;
	int32_t n_parts;
	struct page_size page;
	int64_t read_version; /* lowest of the pages read; 0: none yet */
	int64_t read_ms; /* store's clock at that page */
	int64_t sent_ms; /* of the first page, or of the last changes */
	int64_t required; /* see row_watch_require */
	int64_t version; /* all changes up to it were reported */
	bool loaded; /* the read is done: ask for changes */
	bool catching_up; /* ... but those made meanwhile aren't known yet */
	/* The store had dropped those: the next read has to do without. */
	bool no_catching_up;
	bool failed; /* the last call for changes did */
	bool waiting; /* the call in flight waits for changes */
};

static void send_call(void *priv);

static int row_watch_destructor(struct row_watch *w)
{
	if (w->call)
		w->call->watch = NULL;
	for (int32_t i = 0; i < w->n_parts; i++) {
		if (w->parts[i].call)
			w->parts[i].call->watch = NULL;
	}
	TALLOC_FREE(w->timer);
	g_hash_table_destroy(w->versions);
	g_hash_table_destroy(w->keys_read);
	return 0;
}

static void schedule_call(struct row_watch *w, int64_t ms)
{
	TALLOC_FREE(w->timer);
	w->timer = tmr_after(w->timers, ms, send_call, w);
}

/* Frees the context of a call for changes. Returns its watch, or NULL if that
 * was freed or no longer waits for the answer. */
static struct row_watch *end_call(void *priv)
{
	struct call *c = priv;
	struct row_watch *w = c->watch;

	talloc_free(c);
	if (w)
		w->call = NULL;
	return w;
}

static struct call *new_call(struct row_watch *w, int32_t part)
{
	struct call *c = talloc_zero(w->timers, struct call);

	c->watch = w;
	c->part = part;
	return c;
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

static void on_page(const struct rows_answer *ans, void *priv);

static void read_page(struct row_watch *w, int32_t index)
{
	struct part_read *p = &w->parts[index];
	char part[PART_MAX];
	struct rows_range range = { .table = w->opt.table,
				    .part = part,
				    .from = p->from,
				    .limit = page_size_rows(&w->page) };

	if (w->opt.parts)
		snprintf(part, sizeof(part), "%s%d", w->opt.part, index);
	else
		snprintf(part, sizeof(part), "%s", w->opt.part);
	p->call = new_call(w, index);
	w->rows.ops->read(w->rows.self, &range, on_page, p->call);
}

/* Reads the parts all at once, each of which takes a round trip at least. On a
 * link that limits pages, several at a time would delay other calls. */
static void read_parts(struct row_watch *w)
{
	bool one_by_one = page_size_rows(&w->page) > 0;

	for (int32_t i = 0; i < w->n_parts; i++) {
		const struct part_read *p = &w->parts[i];

		if (!p->done && !p->call && !p->failed)
			read_page(w, i);
		if (!p->done && one_by_one)
			return;
	}
}

static void finish_read(struct row_watch *w)
{
	for (int32_t i = 0; i < w->n_parts; i++)
		w->parts[i].done = false;
	deliver_deletions(w);
	w->version = w->read_version;
	w->read_version = 0;
	w->loaded = true;
	w->catching_up = !w->no_catching_up;
	w->no_catching_up = false;
	if (!w->catching_up)
		w->ops->synced(w->version, w->read_ms, w->priv);
	schedule_call(w, w->catching_up ? 0 : w->opt.gap_ms);
}

/* Changes are asked for from the lowest version of all pages on, so that none
 * made between two pages is missed. */
static void note_page_version(struct row_watch *w,
			      const struct rows_answer *ans)
{
	if (!w->read_version || ans->sent_ms < w->sent_ms)
		w->sent_ms = ans->sent_ms;
	if (!w->read_version || ans->version < w->read_version) {
		w->read_version = ans->version;
		w->read_ms = ans->now_ms;
	}
}

static bool is_read(const struct row_watch *w)
{
	for (int32_t i = 0; i < w->n_parts; i++) {
		if (!w->parts[i].done)
			return false;
	}
	return true;
}

static void on_page(const struct rows_answer *ans, void *priv)
{
	struct call *c = priv;
	struct row_watch *w = c->watch;
	struct part_read *p;

	if (!w) {
		talloc_free(c);
		return;
	}
	p = &w->parts[c->part];
	p->call = NULL;
	talloc_free(c);
	/* Reads may lag: don't go back to an older version. */
	if (ans->result != ROWS_OK || ans->version < w->version) {
		p->failed = true;
		if (!w->timer)
			schedule_call(w, RETRY_MS);
		return;
	}
	note_page_version(w, ans);
	page_size_note(&w->page, ans);
	for (int32_t i = 0; i < ans->n; i++) {
		g_hash_table_add(w->keys_read, g_strdup(ans->rows[i].key));
		deliver(w, &ans->rows[i]);
	}
	TALLOC_FREE(p->from);
	/* The smallest key after the last one of this page. */
	if (ans->more && ans->n > 0)
		p->from = talloc_asprintf(w, "%s%c", ans->rows[ans->n - 1].key,
					  1);
	else
		p->done = true;
	if (is_read(w))
		finish_read(w);
	else
		read_parts(w);
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
	if (w->catching_up || ans->n >= FULL_ANSWER_ROWS)
		schedule_call(w, 0);
	else
		schedule_call(w, w->version < w->required ? LAG_RETRY_MS
							  : w->opt.gap_ms);
}

static void send_call(void *priv)
{
	struct row_watch *w = priv;
	bool at_once;

	w->timer = NULL;
	if (!w->loaded) {
		for (int32_t i = 0; i < w->n_parts; i++)
			w->parts[i].failed = false;
		read_parts(w);
		return;
	}
	/* After a failure, what is known is confirmed at once. */
	at_once = w->failed || w->catching_up || w->version < w->required;
	w->waiting = !at_once;
	w->call = new_call(w, 0);
	w->rows.ops->changes(w->rows.self, w->opt.table, w->version,
			     at_once ? 0 : w->opt.wait_ms, on_changes, w->call);
}

void row_watch_require(struct row_watch *w, int64_t version)
{
	w->required = version;
	if (!w->loaded || w->version >= version)
		return;
	/* A call that doesn't wait is answered soon anyway. */
	if (w->call && !w->waiting)
		return;
	if (w->call) {
		w->call->watch = NULL;
		w->call = NULL;
	}
	schedule_call(w, 0);
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
	w->n_parts = opt->parts > 0 ? opt->parts : 1;
	w->parts = talloc_zero_array(w, struct part_read, w->n_parts);
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

void row_watch_set_gap(struct row_watch *w, int64_t gap_ms)
{
	w->opt.gap_ms = gap_ms;
}

void row_watch_set_page_bytes(struct row_watch *w, int64_t bytes)
{
	w->page.bytes_max = bytes;
}
