/* Fixed-size table of counters, one per pair of worker and decision; the log
 * counts dropped decisions in it. */
#ifndef TALLY_H
#define TALLY_H

#include <stdbool.h>
#include <stdint.h>

#define TALLY_WORKER_MAX 72
#define TALLY_DECISION_MAX 24
/* The workers of a large site times the few kinds of decisions in one burst. */
#define TALLY_SLOTS 256
/* Kinds of decisions, and workers with most of them, that a summary names. */
#define TALLY_KINDS_MAX 12
#define TALLY_MOST 3

struct tally_entry {
	char worker[TALLY_WORKER_MAX];
	char decision[TALLY_DECISION_MAX];
	uint64_t count; /* 0: the slot is free */
};

/* An all-zero tally is empty. */
struct tally {
	struct tally_entry slots[TALLY_SLOTS];
	int32_t n_used;
	uint64_t other; /* counts for which no slot was free */
};

/* Adds one to a counter. The strings are copied; longer ones are truncated. */
void tally_add(struct tally *t, const char *worker, const char *decision);

/* Texts are lists of name and count, as in "a:3,b:1". */
struct tally_summary {
	uint64_t count; /* of all */
	int32_t workers; /* among those that had a slot */
	/* By decision, all of them. "other" are those without a slot, and of
	 * kinds beyond TALLY_KINDS_MAX. */
	char kinds[TALLY_KINDS_MAX * (TALLY_DECISION_MAX + 22)];
	char most[TALLY_MOST * (TALLY_WORKER_MAX + 22)]; /* by worker */
};

/* Summarises the tally and empties it. Returns false if it was empty. */
bool tally_take(struct tally *t, struct tally_summary *out);

#endif
