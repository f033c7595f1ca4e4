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

/* Removes any one entry and copies it to `out`, at last the counts without a
 * slot as worker and decision "other". Returns false if the tally is empty. */
bool tally_take(struct tally *t, struct tally_entry *out);

#endif
