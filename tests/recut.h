/*
 * Plays of owners that are lost while workers restart, are cut off and carry
 * out commands late: an owner, what it has stored, and the workers.
 */
#ifndef RECUT_H
#define RECUT_H

#include "tests/sched_fixture.h"
#include "tests/worker_world.h"

/* An owner uses the answer to a poll up to this late. */
#define LATE_POLL_MS 4000

enum owner_loss {
	OWNER_KILLED, /* its process is back soon, and claims at once */
	OWNER_GONE, /* another VM claims; it can't know that nobody renews */
	OWNER_STOPPED, /* as planned, with a handover */
	OWNER_LOSSES
};

/* What the platform's store holds of the shard. */
struct store {
	json_t *roster[SCHED_ROSTER_ROWS];
	GHashTable *progress; /* job id to json_t */
	int64_t written_ms; /* the owner's row */
	int64_t long_leases_ms;
	int64_t previous_renews_ms;
	json_t *handover;
};

/* A worker's entry in the list. */
struct entry {
	int64_t born_ms; /* 0: none */
	int64_t told_born_ms; /* that the present owner knows of; 0: none */
	int64_t cut_ms; /* since when it is cut off; 0: it isn't */
};

struct play {
	GRand *rand;
	struct world world;
	struct sched_fixture p;
	struct store store;
	struct entry entries[WORLD_WORKERS];
	int owner; /* number of the present one, or of the last */
	bool has_owner;
	int64_t next_owner_ms;
	enum owner_loss loss;
	int64_t renew_end_ms; /* of owners before the present one */
	bool committing;
	guint seen_starts;
	guint seen_stops;
	bool poll_open[WORLD_WORKERS];
	int64_t poll_due_ms[WORLD_WORKERS];
	int64_t cut_due_ms[WORLD_WORKERS]; /* INT64_MAX: not planned */
	int64_t loss_due_ms; /* likewise */
	GArray *calls; /* struct world_call, not carried out yet */
	GArray *failed; /* the same, whose owner gets no answer */
	bool traces; /* prints what happens */
	bool broken; /* a task ran twice, or doesn't run in the end */
	int n_jobs; /* accepted so far */
	int starts;
};

#define RECUT_TRACE(x, ...)                                                    \
	do {                                                                   \
		if ((x)->traces)                                               \
			g_test_message(__VA_ARGS__);                           \
	} while (0)

/* Returns true once in so many times. */
bool recut_chance(struct play *x, int one_in);
/* Returns a number from `from` up to, but without, `to`. */
int64_t recut_draw(struct play *x, int64_t from, int64_t to);
int64_t recut_wall_ms(int64_t now);
/* Returns NULL if the owner doesn't know the worker. */
struct sched_worker *recut_worker_at(struct play *x, int i);
/* Adds the lasting job of this number, with its stored progress. */
void recut_add_job(struct play *x, int number, bool inherited, int64_t now);
/* Tells the owner of the worker's entry. */
void recut_list_worker(struct play *x, int i, int64_t now);
void recut_begin_owner(struct play *x, int64_t now);
/* The owner ends; the next one is due at next_owner_ms. */
void recut_lose_owner(struct play *x, enum owner_loss loss, int64_t now);
/* Writes what has changed. The owner learns of it in the next step. */
void recut_commit(struct play *x, int64_t now);
void recut_commit_answered(struct play *x, int64_t now);

#endif
