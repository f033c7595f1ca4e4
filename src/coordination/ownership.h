/*
 * Which scheduler owns which shard, decided from rows of the table
 * service. Pure: the caller reads the rows and carries out the actions.
 *
 * A scheduler is alive while its liveness row changes, measured on the
 * reader's own clock; no clocks are compared.
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
	int64_t count; /* of its liveness row */
	int64_t since_ms; /* unchanged since */
	bool leaving; /* wants no shards */
};

struct ownership_shard {
	char owner[OWNERSHIP_ID_MAX]; /* empty: given up */
	int64_t incarnation;
	int64_t epoch;
	int64_t row; /* row revision, 0 if there is none */
};

/* Owned by the caller. */
struct ownership {
	char self[OWNERSHIP_ID_MAX];
	int64_t incarnation;
	int64_t lease_ms;
	int n_shards;
	int held_max;
	bool leaving;
	struct ownership_shard shards[OWNERSHIP_SHARDS_MAX];
	int n_daemons;
	struct ownership_scheduler daemons[OWNERSHIP_SCHEDULERS_MAX];
};

enum ownership_action {
	OWNERSHIP_NO_CHANGE,
	OWNERSHIP_CLAIM,
	OWNERSHIP_GIVE_UP
};

void ownership_init(struct ownership *o, const char *self, int64_t incarnation,
		    int n_shards, int held_max, int64_t lease_ms);

/* Rows as just read. */
void ownership_note_scheduler(struct ownership *o, const char *id,
			      int64_t incarnation, int64_t count, bool leaving,
			      int64_t now_ms);
void ownership_note_shard(struct ownership *o, int shard, const char *owner,
			  int64_t incarnation, int64_t epoch, int64_t row);

/* Whether this process is the owner as far as the rows say. */
bool ownership_holds(const struct ownership *o, int shard);

/* What to do next; `shard` says with which. */
enum ownership_action ownership_decide(const struct ownership *o,
				       int64_t now_ms, int *shard);

#endif
