/* Whether an attempt may be followed by another, within a budget. */
#ifndef RETRY_H
#define RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* Owned by the caller, one a process. */
struct retry_budget {
	int64_t tokens_milli; /* a retry costs 1000 */
	int64_t per_request_milli; /* earned by each first attempt */
	int64_t max_milli;
};

struct retry_state {
	int64_t attempts; /* made so far */
	int64_t outcome; /* enum msg_outcome of the last */
	bool idempotent;
	bool moved; /* it was only asked of the wrong owner: costs nothing */
	int64_t remaining_ms;
};

void retry_init(struct retry_budget *b, int64_t percent);

/* A first attempt is being made. */
void retry_credit(struct retry_budget *b);

/* True, and the budget charged, if one more attempt is allowed. */
bool retry_try_spend(struct retry_budget *b, const struct retry_state *s);

#endif
