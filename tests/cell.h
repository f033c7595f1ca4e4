/* What the cells of the fault matrix share. */
#ifndef CELL_H
#define CELL_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "tests/harness.h"

#define VERDICT_MAX 256
/* The stated bound for a change to be in force, milliseconds. */
#define IN_FORCE_MS 4000

#define RELAYS(rate, work, tries)                                              \
	"{\"service\":\"relay\",\"idempotent\":false,\"rate_milli\":" #rate    \
	",\"work_us\":" #work ",\"deadline_ms\":4000,\"tries\":" #tries "}"
#define MATCHES(rate, work)                                                    \
	"{\"service\":\"match\",\"rate_milli\":" #rate ",\"work_us\":" #work   \
	",\"deadline_ms\":3000}"
#define FAST_LEASES                                                            \
	"\"worker_lease_ms\":2000,\"worker_sync_ms\":200,\"renew_max_ms\":"    \
	"4000,\"start_age_max_ms\":1000,\"lease_ms\":1500"

/* What a cell finds: the first failure, and whether its fault took hold. */
struct cell_run {
	struct hx *x;
	int seed;
	bool failed;
	bool took_effect;
	char verdict[VERDICT_MAX];
	pid_t load;
};

/* Last outcomes of a load. */
struct load_result {
	int64_t outcomes[4];
	int64_t sent;
	bool wrong; /* an answer was not whole or not to its request */
};

/* The cell has failed; the first reason given counts. */
void cell_fail(struct cell_run *c, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Starts a cluster with both services; waits until it is ready. */
void cell_start(struct cell_run *c, int vms, int targets, int workers,
		const char *entry, const char *sched);

/* A load that runs beside the faults; its log is read at the end. */
void cell_load(struct cell_run *c, int duration_ms, const char *classes);

/* Waits for it and checks that every outcome told is true. */
struct load_result cell_finish_load(struct cell_run *c, bool idempotent);

/* How often targets started one request. */
void cell_expect_starts(struct cell_run *c, const char *id, int64_t min,
			int64_t max);

/* For hx_wait_until: a request (its id in `arg`) has been started. */
bool cell_id_started(struct hx *x, void *arg);

/* Submits a job of equal tasks. */
void cell_submit(struct cell_run *c, const char *name, int tasks, int cpu,
		 int run_ms);

/* All tasks end, each once, nowhere twice, and the accounts balance. */
void cell_expect_batch(struct cell_run *c, int64_t tasks, int64_t wait_ms);

/* The VM whose scheduler holds the only shard. */
int cell_holder(struct cell_run *c);

/* Does another scheduler than that of `vm` hold it? */
bool cell_held_by_other(struct cell_run *c, int vm);

/* Takes domain `d` out or in. */
void cell_set_domain(struct cell_run *c, int d, const char *state);

/* The cells, by what they are about. */
void p7_frozen_entry(struct cell_run *c);
void p7_frozen_in_claim(struct cell_run *c);
void p7_lost_claims(struct cell_run *c);
void p7_kill_sched(struct cell_run *c);
void p7_cut_targets(struct cell_run *c);
void p6_overload(struct cell_run *c);
void p6_kill_entry(struct cell_run *c);
void p6_cut_peers(struct cell_run *c);
void p6_store_down(struct cell_run *c);
void p6_region_cut(struct cell_run *c);
void p1_kill_owner(struct cell_run *c);
void p1_kill_two(struct cell_run *c);
void p1_cut_targets(struct cell_run *c);
void p5_silent(struct cell_run *c);
void p5_crossed(struct cell_run *c);
void p8_leaving(struct cell_run *c);
void p2_frozen_sched(struct cell_run *c);
void p2_split_owner(struct cell_run *c);
void p2_paused_workers(struct cell_run *c);
void p2_store_outage(struct cell_run *c);
void p1_sched_handover(struct cell_run *c);
void p3_kill_in_eviction(struct cell_run *c);
void p3_lost_answers(struct cell_run *c);
void p4_frozen(struct cell_run *c);
void p4_cut_store(struct cell_run *c);
void p4_cut_peers(struct cell_run *c);
void p4_cut_all(struct cell_run *c);
void p10_fresh_vm(struct cell_run *c);
void p10_thawed(struct cell_run *c);
void p10_race(struct cell_run *c);
void p10_lost_commit(struct cell_run *c);
void p9_rolling(struct cell_run *c);

#endif
