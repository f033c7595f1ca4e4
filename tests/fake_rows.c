/* An in-memory store of versioned rows, with faults on demand. */
#include "tests/fake_rows.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/clk.h"

#define PAGE_ROWS 3

struct fake_row {
	char *table;
	char *part;
	char *key;
	char *value; /* NULL: deleted */
	int64_t version;
};

/* An answer not yet delivered. */
struct reply {
	struct rows_answer ans;
	rows_done done;
	void *priv;
};

static void free_row(gpointer data)
{
	struct fake_row *r = data;

	g_free(r->table);
	g_free(r->part);
	g_free(r->key);
	g_free(r->value);
	g_free(r);
}

void fake_rows_init(struct fake_rows *f, struct tmr_set *timers)
{
	memset(f, 0, sizeof(*f));
	f->timers = timers;
	f->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					free_row);
}

void fake_rows_destroy(struct fake_rows *f)
{
	g_hash_table_destroy(f->rows);
}

static struct fake_row *find_row(struct fake_rows *f, const char *table,
				 const char *part, const char *key)
{
	g_autofree char *name = g_strdup_printf("%s|%s|%s", table, part, key);

	return g_hash_table_lookup(f->rows, name);
}

static void set_row(struct fake_rows *f, const char *table, const char *part,
		    const char *key, const char *value)
{
	struct fake_row *r = find_row(f, table, part, key);

	if (!r) {
		r = g_new0(struct fake_row, 1);
		r->table = g_strdup(table);
		r->part = g_strdup(part);
		r->key = g_strdup(key);
		g_hash_table_insert(
			f->rows, g_strdup_printf("%s|%s|%s", table, part, key),
			r);
	}
	g_free(r->value);
	r->value = g_strdup(value);
	r->version = f->version;
}

void fake_rows_put(struct fake_rows *f, const char *table, const char *part,
		   const char *key, const char *value)
{
	f->version++;
	set_row(f, table, part, key, value);
}

const char *fake_rows_get(struct fake_rows *f, const char *table,
			  const char *part, const char *key)
{
	struct fake_row *r = find_row(f, table, part, key);

	return r ? r->value : NULL;
}

static int reply_destructor(struct reply *r)
{
	for (int32_t i = 0; i < r->ans.n; i++) {
		g_free((char *)r->ans.rows[i].part);
		g_free((char *)r->ans.rows[i].key);
		g_free((char *)r->ans.rows[i].value);
	}
	g_free(r->ans.rows);
	return 0;
}

static void deliver(void *priv)
{
	struct reply *r = priv;

	r->done(&r->ans, r->priv);
	talloc_free(r);
}

static struct reply *new_reply(struct fake_rows *f, enum rows_result res,
			       rows_done done, void *priv)
{
	/* Freed with the timers if it wasn't delivered before. */
	struct reply *r = talloc_zero(f->timers, struct reply);

	talloc_set_destructor(r, reply_destructor);
	r->ans.result = res;
	r->ans.version = f->version;
	r->ans.now_ms = clk_mono_ms(&clk_system) + f->clock_ahead_ms;
	r->done = done;
	r->priv = priv;
	tmr_after(f->timers, f->reply_ms ? f->reply_ms : 2, deliver, r);
	return r;
}

static void add_row(struct reply *r, const struct fake_row *row,
		    const char *part, const char *key)
{
	struct rows_row *out;

	r->ans.rows = g_renew(struct rows_row, r->ans.rows, r->ans.n + 1);
	out = &r->ans.rows[r->ans.n++];
	out->part = g_strdup(part);
	out->key = g_strdup(key);
	out->value = row ? g_strdup(row->value) : NULL;
	out->version = row && row->value ? row->version : 0;
	out->deleted = row && !row->value;
	if (out->deleted)
		out->version = row->version;
}

static bool contains_text(const struct rows_tx *tx, const char *text)
{
	for (int32_t i = 0; text && i < tx->n; i++) {
		if (tx->changes[i].value && strstr(tx->changes[i].value, text))
			return true;
	}
	return false;
}

static bool conditions_hold(struct fake_rows *f, const struct rows_tx *tx)
{
	for (int32_t i = 0; i < tx->n; i++) {
		struct fake_row *row = find_row(f, tx->changes[i].table,
						tx->part, tx->changes[i].key);
		int64_t version = row && row->value ? row->version : 0;

		if (tx->changes[i].conditional &&
		    version != tx->changes[i].expected)
			return false;
	}
	return true;
}

static void fake_commit(void *self, const struct rows_tx *tx, rows_done done,
			void *priv)
{
	struct fake_rows *f = self;
	enum fake_mode mode = f->mode_commits > 0 ? f->mode : FAKE_OK;
	struct reply *r;

	f->mode_commits--;
	f->commits++;
	if (contains_text(tx, f->refused_text) ||
	    (f->refused_part_prefix &&
	     g_str_has_prefix(tx->part, f->refused_part_prefix)))
		mode = FAKE_NO_EFFECT;
	if (mode == FAKE_LOSE_REQUEST || mode == FAKE_NO_EFFECT) {
		new_reply(f,
			  mode == FAKE_NO_EFFECT ? ROWS_NO_EFFECT
						 : ROWS_UNKNOWN,
			  done, priv);
		return;
	}
	if (!conditions_hold(f, tx)) {
		r = new_reply(f, ROWS_CONFLICT, done, priv);
		for (int32_t i = 0; i < tx->n; i++) {
			if (tx->changes[i].conditional)
				add_row(r,
					find_row(f, tx->changes[i].table,
						 tx->part, tx->changes[i].key),
					tx->part, tx->changes[i].key);
		}
		return;
	}
	f->version++;
	for (int32_t i = 0; i < tx->n; i++)
		set_row(f, tx->changes[i].table, tx->part, tx->changes[i].key,
			tx->changes[i].remove ? NULL : tx->changes[i].value);
	new_reply(f, mode == FAKE_OK ? ROWS_OK : ROWS_UNKNOWN, done, priv);
}

static gint compare_key(gconstpointer a, gconstpointer b)
{
	const struct fake_row *const *x = a;
	const struct fake_row *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static gint compare_version(gconstpointer a, gconstpointer b)
{
	const struct fake_row *const *x = a;
	const struct fake_row *const *y = b;

	return ((*x)->version > (*y)->version) -
	       ((*x)->version < (*y)->version);
}

static GPtrArray *rows_of(struct fake_rows *f, const char *table,
			  GCompareFunc order)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, f->rows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (!strcmp(((struct fake_row *)value)->table, table))
			g_ptr_array_add(list, value);
	}
	g_ptr_array_sort(list, order);
	return list;
}

static void limit_version(const struct fake_rows *f, const char *table,
			  struct reply *r)
{
	if (f->stale_table && !strcmp(table, f->stale_table))
		r->ans.version = f->stale_version;
}

static void fake_read(void *self, const struct rows_range *range,
		      rows_done done, void *priv)
{
	struct fake_rows *f = self;
	bool refused =
		f->refused_table && !strcmp(range->table, f->refused_table);
	GPtrArray *list;
	int32_t limit = f->page_rows ? f->page_rows : PAGE_ROWS;
	struct reply *r;

	if (range->limit)
		limit = range->limit;
	f->reads++;
	if (f->unanswered_table && !strcmp(range->table, f->unanswered_table))
		return;
	r = new_reply(f, refused ? ROWS_NO_EFFECT : ROWS_OK, done, priv);
	limit_version(f, range->table, r);
	list = rows_of(f, range->table, compare_key);
	for (guint i = 0; !refused && i < list->len; i++) {
		struct fake_row *row = g_ptr_array_index(list, i);

		if (row->version > r->ans.version)
			continue;
		if (!row->value || strcmp(row->part, range->part) ||
		    (range->from && strcmp(row->key, range->from) < 0) ||
		    (range->to && strcmp(row->key, range->to) >= 0))
			continue;
		if (r->ans.n == limit) {
			r->ans.more = true;
			break;
		}
		add_row(r, row, row->part, row->key);
	}
	g_ptr_array_free(list, TRUE);
}

static void fake_changes(void *self, const char *table, int64_t after,
			 int64_t wait_ms, rows_done done, void *priv)
{
	struct fake_rows *f = self;
	enum rows_result res = f->changes_fail		? ROWS_NO_EFFECT
			       : after < f->oldest_kept ? ROWS_COMPACTED
							: ROWS_OK;
	struct reply *r = new_reply(f, res, done, priv);
	GPtrArray *list = rows_of(f, table, compare_version);

	f->changes_calls++;
	f->changes_wait_ms = wait_ms;
	limit_version(f, table, r);
	for (guint i = 0; res == ROWS_OK && i < list->len; i++) {
		struct fake_row *row = g_ptr_array_index(list, i);

		if (row->version > after && row->version <= r->ans.version)
			add_row(r, row, row->part, row->key);
	}
	g_ptr_array_free(list, TRUE);
}

static int64_t fake_silent_ms(const void *self)
{
	(void)self;
	return 0;
}

static const struct rows_ops fake_ops = { fake_commit, fake_read, fake_changes,
					  fake_silent_ms };

struct rows fake_rows_iface(struct fake_rows *f)
{
	return (struct rows){ &fake_ops, f };
}
