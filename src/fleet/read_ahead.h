/*
 * Reads the rows that the owner of a shard needs: roster, progress and jobs. A
 * named successor starts it before it claims the shard, and it follows the
 * changes; an owner that has nothing read in advance starts it after its claim.
 * Used by shard_ctl.
 */
#ifndef READ_AHEAD_H
#define READ_AHEAD_H

#include "fleet/fleet.h"

enum read_ahead_table {
	READ_AHEAD_ROSTER,
	READ_AHEAD_PROGRESS,
	READ_AHEAD_JOBS,
	READ_AHEAD_TABLES
};

struct read_ahead;

/* Called from the event loop, never from a function below. */
struct read_ahead_ops {
	/* All tables have been read; called again once they are known up to the
	 * version that read_ahead_require() asks for. */
	void (*ready)(void *priv);
	/* The rows exceed the limit and are about to be freed. */
	void (*too_large)(void *priv);
	/* After read_ahead_follow_jobs(): a row of the jobs table has changed,
	 * and all rows of it are known up to `version`; see row_watch_ops. */
	void (*job_row)(const struct rows_row *row, void *priv);
	void (*jobs_synced)(int64_t version, int64_t store_ms, void *priv);
};

struct read_ahead_size {
	int64_t rows;
	int64_t bytes; /* of keys and values */
};

/* Returns a talloc child of `ctx`; free it to stop. `bytes_max` limits what is
 * kept until read_ahead_require(): beyond it nothing is kept or read, and
 * `ready` isn't called. */
struct read_ahead *read_ahead_start(void *ctx, struct fleet *f, int32_t shard,
				    int64_t bytes_max,
				    const struct read_ahead_ops *ops,
				    void *priv);

/* The shard was claimed at `version`: what was read before is brought up to
 * date by the changes since. */
void read_ahead_require(struct read_ahead *ra, int64_t version);

/* Calls `row` for each row of the table in order of keys. */
void read_ahead_each(const struct read_ahead *ra, enum read_ahead_table table,
		     void (*row)(const struct rows_row *row, void *priv),
		     void *priv);

/* Frees the rows and follows the jobs table only; call it from `ready`, once
 * the rows have been used. */
void read_ahead_follow_jobs(struct read_ahead *ra);

struct read_ahead_size read_ahead_size(const struct read_ahead *ra);

#endif
