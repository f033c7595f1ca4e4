/* Watches a table of the store: reports all its rows once, then each change. */
#ifndef ROW_WATCH_H
#define ROW_WATCH_H

#include "state/rows.h"
#include "transport/tmr.h"

struct row_watch;

struct row_watch_ops {
	/* A row is new, changed or deleted. Rows come in order of version,
	 * except while the whole table is read. */
	void (*row)(const struct rows_row *row, void *priv);
	/* All rows up to `version` were reported. Called once the table has
	 * been read, and the changes made during that, then after each answer.
	 * `store_ms` is a time of the store's clock at which `version` was the
	 * newest. */
	void (*synced)(int64_t version, int64_t store_ms, void *priv);
};

struct row_watch_options {
	const char *table;
	const char *part; /* rows of other parts are ignored */
	int32_t parts; /* > 0: watches `part` with 0 to parts - 1 appended */
	int64_t wait_ms; /* longest time that one call waits for changes */
	int64_t page_bytes; /* largest page of a read; 0: the store's limit */
	int64_t gap_ms; /* pause between calls, for tables that change often */
};

/* Returns a talloc child of `ctx`; free it to stop. Copies the strings. */
struct row_watch *row_watch_start(void *ctx, const struct rows *rows,
				  struct tmr_set *timers,
				  const struct row_watch_options *opt,
				  const struct row_watch_ops *ops, void *priv);

/*
 * Asks for all rows up to `version`: until `synced` has reported it or a later
 * one, no call waits for changes or for `gap_ms`.
 */
void row_watch_require(struct row_watch *w, int64_t version);

/* Changes the `gap_ms` of the options, from the next call on. */
void row_watch_set_gap(struct row_watch *w, int64_t gap_ms);

/* Changes the `page_bytes` of the options, from the next page on. */
void row_watch_set_page_bytes(struct row_watch *w, int64_t bytes);

/* Returns the sent_ms of the answer, for a read its first one, that the last
 * `synced` was called for. What changed after that may be missing. */
int64_t row_watch_sent_ms(const struct row_watch *w);

#endif
