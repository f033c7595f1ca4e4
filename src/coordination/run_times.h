/*
 * Learns how long tasks really run. Callers' estimates are far off and a few
 * tasks take many times as long, so the ratio of running time to estimate is
 * kept as a distribution for each kind of task, not as a mean. Pure: no clock,
 * no I/O.
 */
#ifndef RUN_TIMES_H
#define RUN_TIMES_H

#include <glib.h>
#include <stdint.h>

/* With fewer runs of a kind, estimates are believed. */
#define RUN_TIMES_SAMPLES_MIN 20

struct run_times {
	GHashTable *kinds; /* name to struct hist of ratios */
};

void run_times_init(struct run_times *t);
void run_times_finish(struct run_times *t);

/* Records a run that was done after `ran_ms` at full speed. */
void run_times_record(struct run_times *t, const char *kind,
		      int64_t expected_ms, int64_t ran_ms);

/* Returns the time in ms within which the share `q` (0 to 1) of the runs of
 * this kind with this estimate is done; the estimate if too little is known. */
int64_t run_times_quantile_ms(const struct run_times *t, const char *kind,
			      int64_t expected_ms, double q);

#endif
