/* Processes that may own a shard, without a scheduler; for tests. */
#ifndef OWNERS_H
#define OWNERS_H

#include "base/clk.h"
#include "state/owner.h"
#include "tests/fake_rows.h"

/* Long beside a turn of the loop, short beside a test. */
#define SILENCE_MS 1000
#define STALE_RENEW_MS 30000
#define LEASE_MS 4000

struct bench {
	struct tevent_context *ev;
	struct tmr_set *timers;
	struct fake_rows store;
};

/* One process that may own the shard. */
struct node {
	struct owner *owner;
	int gained;
	int releasing;
	int lost;
	int committed;
	int64_t previous_epoch;
	char handover[32]; /* by the former owner; "" if nothing */
	char own_handover[32]; /* what it tells its successor, if anything */
	int64_t previous_renew_end_ms;
	int64_t previous_lease_ms;
	char value[32]; /* what it wants written; "" if nothing */
};

void bench_open(struct bench *b);
void bench_close(struct bench *b);
extern const struct owner_ops node_ops;
void node_start(struct bench *b, struct node *n, const char *vm,
		const char *incarnation);
/* Turns the loop until the number is reached; fails if it never is. */
void await(struct bench *b, const int *number, int wanted);
void turn_for(struct bench *b, int64_t ms);

#endif
