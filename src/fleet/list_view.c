/* Rows of a table and when they changed. */
#include "fleet/list_view.h"

#include <talloc.h>

/* Rows kept, deleted ones included; above this the deleted ones are dropped. */
#define ENTRIES_MAX 4096

struct entry {
	char *value; /* NULL: unreadable, or deleted */
	int64_t version; /* of the last change that matters */
	int64_t last_version; /* of the last one of all */
	bool deleted;
};

static void free_entry(gpointer p)
{
	struct entry *e = p;

	g_free(e->value);
	g_free(e);
}

void list_view_init(struct list_view *v, list_view_same same)
{
	*v = (struct list_view){
		.entries = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_entry),
		.same = same,
	};
}

void list_view_finish(struct list_view *v)
{
	g_hash_table_destroy(v->entries);
}

static void drop_deleted(struct list_view *v)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, v->entries);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct entry *e = value;

		if (!e->deleted)
			continue;
		v->floor = MAX(v->floor, e->version);
		g_hash_table_iter_remove(&it);
	}
}

void list_view_add(struct list_view *v, const struct rows_row *row)
{
	struct entry *e = g_hash_table_lookup(v->entries, row->key);

	if (!e) {
		if (g_hash_table_size(v->entries) >= ENTRIES_MAX)
			drop_deleted(v);
		e = g_new0(struct entry, 1);
		g_hash_table_insert(v->entries, g_strdup(row->key), e);
	} else if (!row->deleted && !e->deleted && row->value && e->value &&
		   v->same(row->key, e->value, row->value)) {
		e->last_version = row->version;
		return;
	}
	g_free(e->value);
	e->value = row->deleted ? NULL : g_strdup(row->value);
	e->version = row->version;
	e->last_version = row->version;
	e->deleted = row->deleted;
}

void list_view_sync(struct list_view *v, int64_t version, int64_t store_ms)
{
	if (!v->synced)
		v->floor = MAX(v->floor, version);
	v->synced = true;
	v->version = version;
	v->store_ms = store_ms;
	v->syncs[v->n_syncs++ % LIST_VIEW_SYNCS_MAX] = version;
}

static bool was_synced_at(const struct list_view *v, int64_t version)
{
	for (uint32_t i = 0; i < MIN(v->n_syncs, LIST_VIEW_SYNCS_MAX); i++) {
		if (v->syncs[i] == version)
			return true;
	}
	return false;
}

bool list_view_collect(void *ctx, const struct list_view *v, int64_t after,
		       struct list_changes *out)
{
	/* An asker that read the store at another version may have seen a
	 * change that was taken back since, and that was never seen here. */
	bool exact = was_synced_at(v, after);
	GHashTableIter it;
	gpointer key;
	gpointer value;

	if (!v->synced || after < v->floor)
		return false;
	/* The asker may be ahead: it has read the store itself. */
	*out = (struct list_changes){
		.version = MAX(v->version, after),
		.store_ms = v->store_ms,
		.rows = talloc_array(ctx, struct rows_row,
				     g_hash_table_size(v->entries) + 1),
	};
	g_hash_table_iter_init(&it, v->entries);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct entry *e = value;

		if ((exact ? e->version : e->last_version) > after)
			out->rows[out->n++] = (struct rows_row){
				.part = "",
				.key = key,
				.value = e->value,
				.version = e->last_version,
				.deleted = e->deleted,
			};
	}
	return true;
}
