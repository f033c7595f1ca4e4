/*
 * Assignment of shards to schedulers, decided from rows of the table service.
 * Pure: the scheduler daemon reads the rows and carries out the actions.
 *
 * A scheduler is alive while the counter in its liveness row changes at least
 * once per lease, measured on the reader's clock; clocks of different machines
 * are never compared.
 */
#ifndef OWNERSHIP_H
#define OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#define OWNERSHIP_ID_MAX 64
#define OWNERSHIP_SHARDS_MAX 256
#define OWNERSHIP_SCHEDULERS_MAX 256

struct ownership_scheduler {
	char id[OWNERSHIP_ID_MAX];
	int64_t incarnation;
	int64_t count; /* counter in its liveness row */
	int64_t changed_ms; /* when that row was last seen to change */
	bool leaving; /* shuts down and takes no shards */
};

struct ownership_shard {
	char owner[OWNERSHIP_ID_MAX]; /* empty: none, or released */
	int64_t incarnation;
	int64_t epoch;
	int64_t row; /* revision of the owner row; 0: no row */
};

/* State of one scheduler; allocated by the caller. */
struct ownership {
	char self[OWNERSHIP_ID_MAX];
	int64_t incarnation;
	int64_t lease_ms;
	int n_shards;
	int owned_max; /* most shards that this scheduler may own */
	bool leaving; /* shuts down: releases all its shards */
	struct ownership_shard shards[OWNERSHIP_SHARDS_MAX];
	int n_schedulers;
	struct ownership_scheduler schedulers[OWNERSHIP_SCHEDULERS_MAX];
};

enum ownership_action {
	OWNERSHIP_NO_CHANGE,
	OWNERSHIP_CLAIM,
	OWNERSHIP_RELEASE
};

void ownership_init(struct ownership *o, const char *self, int64_t incarnation,
		    int n_shards, int owned_max, int64_t lease_ms);

/* Record a liveness row and an owner row as just read from the store. */
void ownership_observe_scheduler(struct ownership *o, const char *id,
				 int64_t incarnation, int64_t count,
				 bool leaving, int64_t now_ms);
void ownership_observe_shard(struct ownership *o, int shard, const char *owner,
			     int64_t incarnation, int64_t epoch, int64_t row);

/* Returns whether this incarnation owns the shard according to its row. */
bool ownership_owns(const struct ownership *o, int shard);

/* Returns the next action, and in `shard` the shard that it concerns. */
enum ownership_action ownership_decide(const struct ownership *o,
				       int64_t now_ms, int *shard);

#endif
