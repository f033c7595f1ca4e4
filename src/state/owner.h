/*
 * Election of a shard's owner among the VMs, through one row of the store, and
 * the group commits that only the owner can make. Used by shard_ctl.
 */
#ifndef OWNER_H
#define OWNER_H

#include "base/clk.h"
#include "state/owner_row.h"
#include "state/rows.h"
#include "transport/tmr.h"

/* Times in ms. */
struct owner_limits {
	int64_t poll_ms; /* interval at which other VMs read the owner's row */
	int64_t silence_ms; /* a row unchanged for this long may be claimed */
	int64_t heartbeat_ms; /* the owner writes at least this often */
	int64_t commit_gap_ms; /* shortest time between two commits */
	int64_t claim_delay_ms; /* of a VM with the largest CPU capacity */
	int64_t cpu_milli; /* CPU capacity, in thousandths of a core */
	int64_t in_doubt_max_ms; /* an owner cut off from the store renews
				    leases this long after others may claim the
				    shard */
	int64_t lease_ms; /* longest lease that this VM grants as owner */
};

struct owner;

struct owner_ops {
	/* This process owns the shard; `previous` is the row it replaced. */
	void (*gained)(const struct owner_row *previous, int64_t version,
		       void *priv);
	/* owner_release is about to give the shard up: the commits that
	 * follow are the last ones. */
	void (*releasing)(void *priv);
	/* This process no longer owns the shard. */
	void (*lost)(void *priv);
	/* Writes up to `max` changes to commit to `out` and returns their
	 * number. Texts stay valid until `committed` or `lost`. */
	int32_t (*collect)(struct rows_change *out, int32_t max, void *priv);
	/* The changes collected last are in the store. */
	void (*committed)(void *priv);
	/* Fills in `pending`; called before each commit. */
	void (*fill_row)(struct owner_row *row, void *priv);
	/* Called for the commit that releases the shard. Returns JSON for
	 * the successor, allocated from `ctx`, or NULL. */
	char *(*get_handover)(void *ctx, void *priv);
	/* The owner, another process, names this one as its successor or is
	 * likely to, or no longer so. Called at least when that changes. Until
	 * this process claims the shard it may read the rows in advance; when
	 * they are read it calls owner_set_ready. NULL: there is nothing to
	 * read. */
	void (*named)(bool named, void *priv);
};

/* Starts to poll at once. Returns a talloc child of `ctx`. */
struct owner *owner_start(void *ctx, const struct rows *rows,
			  struct tmr_set *timers, const struct clk *clk,
			  int32_t shard, const char *vm,
			  const char *incarnation,
			  const struct owner_limits *lim,
			  const struct owner_ops *ops, void *priv);

bool owner_owns_shard(const struct owner *o);
int64_t owner_epoch(const struct owner *o);

/* Requests a commit soon, because there are changes to collect. */
void owner_request_commit(struct owner *o);

/* Tells the owner that this process, its named successor, has read the rows of
 * the shard. */
void owner_set_ready(struct owner *o);

/*
 * Called when the process is about to stop; it doesn't claim again. An owner
 * commits its changes, then releases the shard, which others may claim at once.
 * If VMs were restarted recently, it names the last of them as its successor,
 * and others claim only if that one doesn't. Unless one was restarted just now,
 * the owner goes on for up to `successor_wait_ms` until one is: in a rolling
 * restart, any VM not yet restarted may be the next to stop. It also goes on
 * until its successor is ready, within limits.
 */
void owner_release(struct owner *o, int64_t successor_wait_ms);

/*
 * Releases the shard because this process is short of CPU time. It may
 * claim again after `no_claim_ms`.
 */
void owner_yield(struct owner *o, int64_t no_claim_ms);

/*
 * For an owner whose work waits for its processor: looks for a much stronger VM
 * and hands the shard to it. As long as some owner was much stronger, which the
 * row tells, and only to a VM that has started since the takeover: of others it
 * isn't known whether they are up. This process may claim again after
 * `no_claim_ms`.
 */
void owner_seek_stronger(struct owner *o, int64_t no_claim_ms);

/*
 * Returns how long ago the last confirmed commit was sent. While that is less
 * than OWNER_CERTAIN_PERCENT of `silence_ms`, no other process can own the
 * shard. A later claim has a higher version than owner_version.
 */
#define OWNER_CERTAIN_PERCENT 70
int64_t owner_confirm_age_ms(const struct owner *o);
/* For the owner: the time, by our monotonic clock, after which no owner before
 * us renews a lease. */
int64_t owner_previous_renew_end_ms(const struct owner *o);
/* For the owner: the time by which the leases have expired that
 * `long_leases_ms` of the row before ours is about. */
int64_t owner_previous_long_leases_end_ms(const struct owner *o);
int64_t owner_version(const struct owner *o);

/* Returns the row last read or written, and when it last changed; NULL if none
 * was read yet. */
const struct owner_row *owner_last_row(const struct owner *o,
				       int64_t *changed_ms);
/* Returns how old the job counts in that row are at most; -1 if it has none or
 * was not read yet. */
int64_t owner_pending_age_ms(const struct owner *o);

#endif
