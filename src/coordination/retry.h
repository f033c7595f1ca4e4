/*
 * Decides whether a failed request is tried again. Each first attempt credits a
 * fraction of a retry to a token bucket, and each retry takes one token.
 */
#ifndef RETRY_H
#define RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* Token bucket, one per process; allocated by the caller. */
struct retry_budget {
	int64_t tokens_milli; /* a retry costs 1000 */
	int64_t per_request_milli; /* credited by each first attempt */
	int64_t max_milli;
};

/* A request whose last attempt failed. */
struct retry_state {
	int64_t attempts; /* made so far */
	int64_t outcome; /* enum msg_outcome of the last attempt */
	bool idempotent;
	bool moved; /* the group has moved to another owner: a retry is free */
	int64_t remaining_ms; /* to the deadline */
};

/* `percent`: retries allowed per 100 first attempts. */
void retry_init(struct retry_budget *b, int64_t percent);

/* Credits the budget for a first attempt. */
void retry_credit(struct retry_budget *b);

/* Returns true and charges the budget if one more attempt is allowed. */
bool retry_try_spend(struct retry_budget *b, const struct retry_state *s);

#endif
