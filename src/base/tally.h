/* Counts by two texts, in a table that doesn't grow. */
#ifndef TALLY_H
#define TALLY_H

#include <stdbool.h>
#include <stdint.h>

#define TALLY_WHO_MAX 72
#define TALLY_WHAT_MAX 24
/* Workers of a large site times the few kinds of decisions of one burst. */
#define TALLY_SLOTS 256

struct tally_entry {
	char who[TALLY_WHO_MAX];
	char what[TALLY_WHAT_MAX];
	uint64_t n; /* 0: the slot is free */
};

/* All zero is empty. */
struct tally {
	struct tally_entry slots[TALLY_SLOTS];
	int32_t used;
	uint64_t other; /* those without a slot */
};

/* Texts are copied, and cut where they are too long. */
void tally_add(struct tally *t, const char *who, const char *what);

/* Takes some entry out; false if there is none. */
bool tally_take(struct tally *t, struct tally_entry *out);

#endif
