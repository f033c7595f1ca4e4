/* Ownership of a shard, and the group commits that only its owner can make. */
#ifndef OWNER_H
#define OWNER_H

#include "base/clk.h"
#include "state/owner_row.h"
#include "state/rows.h"
#include "transport/tmr.h"

/* Times in ms. */
struct owner_limits {
	int64_t poll_ms; /* how often others read the row */
	int64_t silence_ms; /* a row that stands still this long is free */
	int64_t heartbeat_ms; /* the owner writes at least this often */
	int64_t group_ms; /* least time between two commits */
	int64_t handicap_ms; /* wait of the strongest VM before it claims */
	int64_t strength_milli; /* thousandths of a core that this VM has */
	int64_t doubt_ms; /* an owner renews leases this long after others may
			     claim the shard */
	int64_t lease_ms; /* longest that this VM grants as owner */
};

struct owner;

struct owner_ops {
	/* The shard is ours; `former` is the row before. */
	void (*gained)(const struct owner_row *former, int64_t version,
		       void *priv);
	/* What is committed from now on is the last before the shard is
	 * given up by owner_release. */
	void (*releasing)(void *priv);
	/* Somebody else has it. */
	void (*lost)(void *priv);
	/* Up to `max` rows of news into `out`; returns how many. Texts stay
	 * valid until `committed` or `lost`. */
	int32_t (*collect)(struct rows_change *out, int32_t max, void *priv);
	/* The rows collected last are in the store. */
	void (*committed)(void *priv);
	/* The row as it is: by others' polls, and by our own commits. */
	void (*fill)(struct owner_row *row, void *priv);
	/* The commit that gives up: what the successor is told, JSON, which
	 * the owner of the row frees with talloc; NULL: nothing. */
	char *(*hand_over)(void *ctx, void *priv);
};

/* A talloc child of `ctx`. Begins to poll at once. */
struct owner *owner_start(void *ctx, const struct rows *rows,
			  struct tmr_set *timers, const struct clk *clk,
			  int32_t shard, const char *vm, const char *life,
			  const struct owner_limits *lim,
			  const struct owner_ops *ops, void *priv);

bool owner_is_leading(const struct owner *o);
int64_t owner_epoch(const struct owner *o);

/* There is something to collect. */
void owner_kick(struct owner *o);

/*
 * This process is about to stop and doesn't claim again. An owner commits what
 * there is, then gives the shard up for others to take at once. If VMs have
 * been restarted lately, it names the last of them as its successor, and others
 * claim only if that one doesn't. Unless one was restarted just now, it goes on
 * for up to `hold_ms` until one is: of several VMs that are restarted in turn
 * any other may be the next to stop.
 */
void owner_release(struct owner *o, int64_t hold_ms);

/*
 * The same, but this process may claim again after `rest_ms`: it is short of
 * processor time, and another may do better.
 */
void owner_yield(struct owner *o, int64_t rest_ms);

/*
 * How long ago our last confirmed commit was sent. Younger than
 * OWNER_SURE_PERCENT of the silence that claims wait for, nobody else can own
 * the shard; a claim is newer than owner_version.
 */
#define OWNER_SURE_PERCENT 70
int64_t owner_confirm_age_ms(const struct owner *o);
/* While leading: no owner before us renews a lease later than this. */
int64_t owner_former_until_ms(const struct owner *o);
int64_t owner_version(const struct owner *o);

/* The row seen last, and when it last changed; NULL if none was read. */
const struct owner_row *owner_seen(const struct owner *o, int64_t *changed_ms);

#endif
