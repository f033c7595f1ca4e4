/* Candidates for the ownership of one shard, without a scheduler; for tests. */
#ifndef OWNERS_H
#define OWNERS_H

#include "base/clk.h"
#include "state/owner.h"
#include "tests/fake_rows.h"

/* Long compared to a turn of the event loop, short compared to a test. */
#define SILENCE_MS 1000
#define STALE_RENEW_MS 30000
#define LEASE_MS 4000

struct owner_fixture {
	struct tevent_context *ev;
	struct tmr_set *timers;
	struct fake_rows store;
};

/* One process that may own the shard. Counts the calls of its owner_ops. */
struct candidate {
	struct owner *owner;
	int gained;
	int releasing;
	int lost;
	int committed;
	int64_t previous_epoch;
	char handover[32]; /* from the previous owner; "": none */
	char own_handover[32]; /* for its successor; "": none */
	int64_t previous_renew_end_ms;
	int64_t previous_lease_ms;
	int64_t long_leases_end_ms; /* likewise of previous owners */
	char value[32]; /* written with each commit; "": none */
};

void owner_fixture_open(struct owner_fixture *f);
void owner_fixture_close(struct owner_fixture *f);
extern const struct owner_ops candidate_ops;
void candidate_start(struct owner_fixture *f, struct candidate *c,
		     const char *vm, const char *incarnation);
/* Runs the event loop until `*number` reaches `wanted`; fails after 20 s. */
void wait_for_count(struct owner_fixture *f, const int *number, int wanted);
void run_loop_for(struct owner_fixture *f, int64_t ms);

#endif
