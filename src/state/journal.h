/*
 * A shard's journal in the table service. Each batch of entries is one row,
 * written on condition that this process still owns the shard. Rows are reused
 * after JOURNAL_ROWS batches; a snapshot in the object store must cover them
 * before that.
 */
#ifndef JOURNAL_H
#define JOURNAL_H

#include <jansson.h>
#include <stdint.h>
#include <tevent.h>

#include "state/sto.h"

#define JOURNAL_ROWS 1024

struct journal;

enum journal_result {
	JOURNAL_OK,
	JOURNAL_CONFIG_CHANGED, /* not written: configuration has changed */
	JOURNAL_NOT_OWNER, /* this process no longer owns the shard */
	JOURNAL_NOT_WRITTEN, /* the snapshot may not have been saved */
};

struct journal_ops {
	/* During recovery: the snapshot, if any, then the batches in order. */
	void (*snapshot)(const json_t *state, void *priv);
	void (*batch)(const json_t *entries, int64_t wall_ms, void *priv);
	/* Recovery has ended. If `complete` is false a batch is missing, and
	 * the caller must give the shard up. */
	void (*recovered)(bool complete, void *priv);
};

typedef void (*journal_done)(enum journal_result res, void *priv);

/*
 * Starts to recover `shard`. The process owns it as long as row `owner_key` has
 * revision `owner_revision`. Returns a talloc child of `ctx`.
 */
struct journal *journal_open(void *ctx, struct tevent_context *ev,
			     struct sto *sto, int shard, const char *owner_key,
			     int64_t owner_revision,
			     const struct journal_ops *ops, void *priv);

/*
 * Writes one batch; takes ownership of `entries`. If `config_row_revision` is
 * not negative, writes only while CONFIG_REVISION_KEY has that row revision.
 * Only one batch may be in flight. After a lost answer, finds out whether the
 * batch was written before it calls `done`.
 */
void journal_commit(struct journal *j, json_t *entries, int64_t wall_ms,
		    int64_t config_row_revision, journal_done done, void *priv);

/* Saves `state`, which it takes ownership of, as of the last batch written. */
void journal_save_snapshot(struct journal *j, json_t *state, journal_done done,
			   void *priv);

/* Whether a batch is being written, or a snapshot saved. */
bool journal_is_writing(const struct journal *j);
bool journal_is_saving(const struct journal *j);

/* Whether no call to the store is in flight. Only then it may be freed. */
bool journal_is_idle(const struct journal *j);

/* Returns the number of batches since the last snapshot. */
int64_t journal_length(const struct journal *j);

#endif
