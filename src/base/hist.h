/* Log-linear histograms of durations. Any thread may record. */
#ifndef HIST_H
#define HIST_H

#include <stdatomic.h>
#include <stdint.h>

/* 32 linear buckets per power of two: at most 3.2% error up to 2^40 us. */
#define HIST_SUB_BITS 5
#define HIST_SUB (1 << HIST_SUB_BITS)
#define HIST_BUCKETS ((40 - HIST_SUB_BITS + 1) * HIST_SUB)

struct hist {
	_Atomic uint64_t count;
	_Atomic uint64_t sum_us;
	_Atomic uint64_t max_us;
	_Atomic uint32_t bucket[HIST_BUCKETS];
};

void hist_init(struct hist *h);

/* Counts one duration in microseconds; a negative one counts as 0. */
void hist_record(struct hist *h, int64_t us);

/* Returns the upper bound, in microseconds, of the bucket that holds quantile
 * `q` (0 to 1); 0 if nothing was recorded. */
int64_t hist_quantile_us(const struct hist *h, double q);

#endif
