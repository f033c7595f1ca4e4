/* Retries of requests: only if the request has not run or is idempotent, and
 * limited to a share of all requests, so that retries don't add to overload. */
#include "coordination/retry.h"

#include "protocol/msg.h"

/* Tokens that one retry costs. */
#define COST_MILLI 1000
/* Retries that a full budget allows at once. */
#define BURST_RETRIES 20
#define ATTEMPTS_MAX 4
/* A request with less time left is not sent again. */
#define REMAINING_MIN_MS 5

void retry_init(struct retry_budget *b, int64_t percent)
{
	b->per_request_milli = percent * COST_MILLI / 100;
	b->max_milli = BURST_RETRIES * COST_MILLI;
	b->tokens_milli = b->max_milli;
}

void retry_credit(struct retry_budget *b)
{
	b->tokens_milli += b->per_request_milli;
	if (b->tokens_milli > b->max_milli)
		b->tokens_milli = b->max_milli;
}

bool retry_try_spend(struct retry_budget *b, const struct retry_state *s)
{
	if (s->outcome == MSG_ANSWERED || s->remaining_ms < REMAINING_MIN_MS)
		return false;
	if (s->outcome == MSG_UNKNOWN && !s->idempotent)
		return false;
	if (s->moved)
		return true;
	if (s->attempts >= ATTEMPTS_MAX)
		return false;
	if (b->tokens_milli < COST_MILLI)
		return false;
	b->tokens_milli -= COST_MILLI;
	return true;
}
