/* Follows a table: reads its pages, then its changes, anew if history ends. */
#include "state/row_watch.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Pause after a call that failed, in ms: a tenth of the shortest bound. */
#define FAILED_PAUSE_MS 250
#define PART_MAX 64

/* Outlives its follow while a call is under way. */
struct caller {
	struct row_watch *follow; /* NULL once that is freed */
};

struct row_watch {
	struct rows rows;
	struct tmr_set *timers;
	struct tmr *timer;
	struct row_watch_options opt;
	const struct row_watch_ops *ops;
	void *priv;
	struct caller *caller; /* of the call under way */
	GHashTable *seen; /* key to version */
	GHashTable *reading; /* keys found by the read under way */
	int32_t reading_part; /* number of the part that is read */
	char *next_key; /* where the next page begins; NULL: at the start */
	int64_t read_version; /* of the first page */
	int64_t version;
	bool complete;
};

static void go_on(void *priv);

static int row_watch_destructor(struct row_watch *f)
{
	if (f->caller)
		f->caller->follow = NULL;
	TALLOC_FREE(f->timer);
	g_hash_table_destroy(f->seen);
	g_hash_table_destroy(f->reading);
	return 0;
}

static void pause_for(struct row_watch *f, int64_t ms)
{
	f->timer = tmr_after(f->timers, ms, go_on, f);
}

/* The follow whose call this answers; NULL if it was freed meanwhile. */
static struct row_watch *answered(void *priv)
{
	struct caller *c = priv;
	struct row_watch *f = c->follow;

	talloc_free(c);
	if (f)
		f->caller = NULL;
	return f;
}

static struct caller *new_caller(struct row_watch *f)
{
	f->caller = talloc_zero(f->timers, struct caller);
	f->caller->follow = f;
	return f->caller;
}

static void hand_over(struct row_watch *f, const struct rows_row *row)
{
	gint64 *known = g_hash_table_lookup(f->seen, row->key);
	gint64 *version;

	if (known && row->version <= *known)
		return;
	if (row->deleted) {
		g_hash_table_remove(f->seen, row->key);
		f->ops->row(row, f->priv);
		return;
	}
	version = g_new(gint64, 1);
	*version = row->version;
	g_hash_table_replace(f->seen, g_strdup(row->key), version);
	f->ops->row(row, f->priv);
}

/* What was there before and no page showed any more has been deleted. */
static void hand_over_missing(struct row_watch *f)
{
	GList *keys = g_hash_table_get_keys(f->seen);

	for (GList *i = keys; i; i = i->next) {
		struct rows_row row = { .part = f->opt.part,
					.key = i->data,
					.version = f->read_version,
					.deleted = true };

		if (g_hash_table_contains(f->reading, i->data))
			continue;
		f->ops->row(&row, f->priv);
		g_hash_table_remove(f->seen, i->data);
	}
	g_list_free(keys);
	g_hash_table_remove_all(f->reading);
}

static void on_page(const struct rows_answer *ans, void *priv)
{
	struct row_watch *f = answered(priv);

	if (!f)
		return;
	if (ans->result != ROWS_OK) {
		pause_for(f, FAILED_PAUSE_MS);
		return;
	}
	/* A read may lag; never go back behind what was seen. */
	if (!f->next_key && !f->reading_part && ans->version < f->version) {
		pause_for(f, FAILED_PAUSE_MS);
		return;
	}
	if (!f->next_key && !f->reading_part)
		f->read_version = ans->version;
	for (int32_t i = 0; i < ans->n; i++) {
		g_hash_table_add(f->reading, g_strdup(ans->rows[i].key));
		hand_over(f, &ans->rows[i]);
	}
	if (ans->more && ans->n > 0) {
		/* The smallest key that follows the last one. */
		char *next = talloc_asprintf(f, "%s%c",
					     ans->rows[ans->n - 1].key, 1);

		talloc_free(f->next_key);
		f->next_key = next;
		pause_for(f, 0);
		return;
	}
	TALLOC_FREE(f->next_key);
	if (++f->reading_part < f->opt.parts) {
		pause_for(f, 0);
		return;
	}
	f->reading_part = 0;
	hand_over_missing(f);
	f->version = f->read_version;
	f->complete = true;
	f->ops->synced(f->version, f->priv);
	pause_for(f, f->opt.gap_ms);
}

static bool is_followed(const struct row_watch *f, const char *part)
{
	size_t n = strlen(f->opt.part);

	return strncmp(part, f->opt.part, n) == 0 &&
	       (f->opt.parts > 0 || !part[n]);
}

static void on_changes(const struct rows_answer *ans, void *priv)
{
	struct row_watch *f = answered(priv);

	if (!f)
		return;
	if (ans->result == ROWS_GONE)
		f->complete = false;
	if (ans->result != ROWS_OK) {
		pause_for(f, ans->result == ROWS_GONE ? 0 : FAILED_PAUSE_MS);
		return;
	}
	for (int32_t i = 0; i < ans->n; i++) {
		if (!is_followed(f, ans->rows[i].part))
			continue;
		hand_over(f, &ans->rows[i]);
	}
	if (ans->version > f->version)
		f->version = ans->version;
	f->ops->synced(f->version, f->priv);
	pause_for(f, f->opt.gap_ms);
}

static void go_on(void *priv)
{
	struct row_watch *f = priv;
	char part[PART_MAX];
	struct rows_range range = { .table = f->opt.table,
				    .part = part,
				    .from = f->next_key };

	f->timer = NULL;
	if (f->opt.parts)
		snprintf(part, sizeof(part), "%s%d", f->opt.part,
			 f->reading_part);
	else
		snprintf(part, sizeof(part), "%s", f->opt.part);
	if (f->complete)
		f->rows.ops->changes(f->rows.self, f->opt.table, f->version,
				     f->opt.wait_ms, on_changes, new_caller(f));
	else
		f->rows.ops->read(f->rows.self, &range, on_page, new_caller(f));
}

struct row_watch *row_watch_start(void *ctx, const struct rows *rows,
				  struct tmr_set *timers,
				  const struct row_watch_options *opt,
				  const struct row_watch_ops *ops, void *priv)
{
	struct row_watch *f = talloc_zero(ctx, struct row_watch);

	f->rows = *rows;
	f->timers = timers;
	f->opt = *opt;
	f->opt.table = talloc_strdup(f, opt->table);
	f->opt.part = talloc_strdup(f, opt->part);
	f->ops = ops;
	f->priv = priv;
	f->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->reading =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(f, row_watch_destructor);
	pause_for(f, 0);
	return f;
}
