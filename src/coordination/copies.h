/*
 * Decides when a task gets a second copy: its run lasts longer than the running
 * times of its kind explain, and a fresh copy is likely to end well before it.
 * Pure: no clock, no I/O.
 */
#ifndef COPIES_H
#define COPIES_H

#include <stdbool.h>
#include <stdint.h>

/* Share of runs, of the same kind, that end before a copy is considered. */
#define COPIES_LONG_QUANTILE 0.95
/* Tasks of a step are alike: with this many done, their mean tells more than
 * the kind's distribution, and a run of COPIES_LONG_PERCENT of it is long. */
#define COPIES_SIBLINGS_MIN 3
#define COPIES_LONG_PERCENT 180

/* What is known of a run; times in ms. */
struct copy_facts {
	int64_t elapsed_ms; /* since the run was started */
	int32_t percent; /* progress last reported */
	int64_t percent_ms; /* the run's age when it was reported */
	int64_t typical_ms; /* median running time of its kind */
	int64_t long_ms; /* COPIES_LONG_QUANTILE of them */
	int32_t failures; /* of the task so far */
	int32_t attempts; /* failures that fail its job */
};

/* Returns whether a second copy pays. */
bool copies_pay(const struct copy_facts *f);

/* Returns the most copies that may run at once beside `runs` runs in all. */
int32_t copies_max(int32_t runs);

#endif
