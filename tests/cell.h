/*
 * Shared by the cells of the fault matrix (matrix.c). A cell starts a cluster,
 * injects one fault while load or batch work runs, and checks one promise of
 * the system against the logs of targets and workers. cell_* functions report
 * a violated check through cell_fail().
 */
#ifndef CELL_H
#define CELL_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "tests/harness.h"

#define VERDICT_MAX 256
/* Longest time until a configuration change is in effect everywhere. */
#define CONFIG_EFFECT_MAX_MS 4000

/*
 * Request classes for cell_start_load(): "relay" isn't idempotent, "match" is.
 * `rate` is in thousandths of a request per second, `work` in microseconds.
 */
#define RELAY_LOAD(rate, work, tries)                                          \
	"{\"service\":\"relay\",\"idempotent\":false,\"rate_milli\":" #rate    \
	",\"work_us\":" #work ",\"deadline_ms\":4000,\"tries\":" #tries "}"
#define MATCH_LOAD(rate, work)                                                 \
	"{\"service\":\"match\",\"rate_milli\":" #rate ",\"work_us\":" #work   \
	",\"deadline_ms\":3000}"
#define FAST_LEASES                                                            \
	"\"worker_lease_ms\":2000,\"worker_sync_ms\":200,\"renew_max_ms\":"    \
	"4000,\"start_age_max_ms\":1000,\"lease_ms\":1500"

/* State and result of one cell. */
struct cell_run {
	struct hx *x;
	int seed;
	bool failed;
	bool fault_effective; /* the fault has had an effect; else it fails */
	char verdict[VERDICT_MAX]; /* the first failure */
	pid_t load_pid; /* process of gd-load */
};

/* What gd-load logged, one entry for each attempt of a request. */
struct load_result {
	int64_t outcomes[4]; /* 0: answered, 1: not run, 2: unknown */
	int64_t sent;
	bool bad_response; /* one was incomplete or for another request */
};

/* Marks the cell as failed. Only the message of the first call is kept. */
void cell_fail(struct cell_run *c, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Starts a cluster with the services match and relay and waits until it is
 * ready. `targets` and `workers` count per domain; `entry` and `sched` are
 * further settings in JSON, or NULL.
 */
void cell_start(struct cell_run *c, int vms, int targets, int workers,
		const char *entry, const char *sched);

/* Starts gd-load in the background with a comma-separated list of classes. */
void cell_start_load(struct cell_run *c, int duration_ms, const char *classes);

/*
 * Waits for gd-load to end and checks each reported outcome against the logs
 * of the targets. Unless `idempotent`, no request may start twice.
 */
struct load_result cell_finish_load(struct cell_run *c, bool idempotent);

/* Checks how many times targets started request `id`. */
void cell_expect_starts(struct cell_run *c, const char *id, int64_t min,
			int64_t max);

/* Condition for hx_wait_until(): a target has started the request with id
 * `arg`. */
bool cell_request_started(struct hx *x, void *arg);

/* Submits a batch job of equal tasks, `cpu` in thousandths of a core. */
void cell_submit_job(struct cell_run *c, const char *name, int tasks, int cpu,
		     int run_ms);

/*
 * Waits until all tasks are done. Checks that none ran twice at the same time
 * or after its completion, none exceeded a worker's capacity or lost progress,
 * and that the scheduler's task counters balance.
 */
void cell_expect_tasks_done(struct cell_run *c, int64_t tasks, int64_t wait_ms);

/* Returns the VM whose scheduler owns the only shard. */
int cell_shard_owner(struct cell_run *c);

/* Returns whether a scheduler on a VM other than `vm` owns the shard. */
bool cell_owned_by_other(struct cell_run *c, int vm);

/* Sets the state of failure domain `d`: "in" or "out". */
void cell_set_domain(struct cell_run *c, int d, const char *state);

/* The cells; pN_ checks promise N. See the cells_*.c files. */
void p7_paused_entry(struct cell_run *c);
void p7_paused_in_claim(struct cell_run *c);
void p7_lost_claims(struct cell_run *c);
void p7_kill_sched(struct cell_run *c);
void p7_cut_targets(struct cell_run *c);
void p6_overload(struct cell_run *c);
void p6_kill_entry(struct cell_run *c);
void p6_cut_peers(struct cell_run *c);
void p6_store_down(struct cell_run *c);
void p6_region_partition(struct cell_run *c);
void p1_kill_owner(struct cell_run *c);
void p1_kill_two(struct cell_run *c);
void p1_cut_targets(struct cell_run *c);
void p5_silent_connections(struct cell_run *c);
void p5_swapped_response(struct cell_run *c);
void p8_target_leaves(struct cell_run *c);
void p2_paused_sched(struct cell_run *c);
void p2_partitioned_owner(struct cell_run *c);
void p2_paused_workers(struct cell_run *c);
void p2_store_outage(struct cell_run *c);
void p1_sched_handover(struct cell_run *c);
void p3_kill_in_eviction(struct cell_run *c);
void p3_lost_answers(struct cell_run *c);
void p4_paused_processes(struct cell_run *c);
void p4_cut_store(struct cell_run *c);
void p4_cut_peers(struct cell_run *c);
void p4_cut_all(struct cell_run *c);
void p10_new_vm(struct cell_run *c);
void p10_resumed_member(struct cell_run *c);
void p10_concurrent_amends(struct cell_run *c);
void p10_lost_commit(struct cell_run *c);
void p9_rolling(struct cell_run *c);

#endif
