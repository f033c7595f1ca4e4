/* Numbers in JSON that others wrote, taken only within bounds. */
#ifndef NUM_H
#define NUM_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* No time or size from outside is larger, so that sums of them and times as
 * thousandths stay far from what int64_t can hold; in ms, 30,000 years. */
#define NUM_MOST 1000000000000000LL

/* A whole number from `least` to `most`, as 4 or 4.0; else false. */
bool num_whole(const json_t *v, int64_t least, int64_t most, int64_t *out);

/* The nearest from `least` to `most`, fractions cut off; `fallback` if `v` is
 * no number. */
int64_t num_near(const json_t *v, int64_t least, int64_t most,
		 int64_t fallback);

#endif
