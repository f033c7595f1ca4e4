/* Reads numbers from untrusted JSON within bounds. */
#ifndef NUM_H
#define NUM_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Upper bound of times and sizes from outside; in ms, 30,000 years. Keeps sums
 * of them, and products with 1000, far from the limits of int64_t. */
#define NUM_MAX 1000000000000000LL

/* Reads an integer from `min` to `max`, written as 4 or 4.0. Returns false for
 * any other value. */
bool num_integer(const json_t *v, int64_t min, int64_t max, int64_t *out);

/* Returns the number, truncated to an integer and clamped to `min` and `max`,
 * or `default_value` if `v` is not a number. */
int64_t num_clamp(const json_t *v, int64_t min, int64_t max,
		  int64_t default_value);

#endif
