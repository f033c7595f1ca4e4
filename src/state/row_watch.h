/* Follows a table of the store: all rows once, then what changes. */
#ifndef ROW_WATCH_H
#define ROW_WATCH_H

#include "state/rows.h"
#include "transport/tmr.h"

struct row_watch;

struct row_watch_ops {
	/* A row is new, changed or deleted; rows come in order of version. */
	void (*row)(const struct rows_row *row, void *priv);
	/* All rows up to `version` were handed over; called after each read. */
	void (*synced)(int64_t version, void *priv);
};

struct row_watch_options {
	const char *table;
	const char *part; /* rows of other parts are left out */
	int32_t parts; /* 0, or the parts are PART followed by 0, 1, ... */
	int64_t wait_ms; /* longest that one call waits for changes */
	int64_t gap_ms; /* pause between calls, for tables that never rest */
};

/* A talloc child of `ctx`; free it to stop. Strings are copied. */
struct row_watch *row_watch_start(void *ctx, const struct rows *rows,
				  struct tmr_set *timers,
				  const struct row_watch_options *opt,
				  const struct row_watch_ops *ops, void *priv);

#endif
