/*
 * What a relay knows of a table whose rows change all the time in ways that do
 * not matter, as the list of workers does by heartbeats: the rows, and at which
 * version of the store each last changed in a way that does. Uses no network.
 */
#ifndef LIST_VIEW_H
#define LIST_VIEW_H

#include <glib.h>

#include "state/rows.h"

/* Returns whether two values of a row mean the same. */
typedef bool (*list_view_same)(const char *key, const char *a, const char *b);

/* Versions that are remembered. */
#define LIST_VIEW_SYNCS_MAX 64

struct list_view {
	GHashTable *entries; /* key to struct entry of list_view.c */
	list_view_same same;
	bool synced;
	int64_t floor; /* deletions are known after this version */
	int64_t version; /* all changes up to it are known */
	int64_t store_ms; /* store's clock when that was the newest */
	/* Versions of late at which the rows were those of the store. */
	int64_t syncs[LIST_VIEW_SYNCS_MAX];
	uint32_t n_syncs; /* in all */
};

/* Rows that changed; strings are valid until the view changes. */
struct list_changes {
	int64_t version;
	int64_t store_ms;
	int32_t n;
	struct rows_row *rows;
};

void list_view_init(struct list_view *v, list_view_same same);
void list_view_finish(struct list_view *v);

/* Callbacks of a row_watch of the table. */
void list_view_add(struct list_view *v, const struct rows_row *row);
void list_view_sync(struct list_view *v, int64_t version, int64_t store_ms);

/* Fills in the rows that changed after the version, at least those that changed
 * in a way that matters; `out->rows` is a talloc child of `ctx`. Returns false
 * if they are not all known. */
bool list_view_collect(void *ctx, const struct list_view *v, int64_t after,
		       struct list_changes *out);

#endif
