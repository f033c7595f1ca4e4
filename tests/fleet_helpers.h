/* Helpers of tests that run gd-fleet as real processes. */
#ifndef FLEET_HELPERS_H
#define FLEET_HELPERS_H

#include "tests/harness_fleet.h"

#define TWO_STEPS                                                              \
	"[{\"count\":3,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":100},"      \
	"{\"count\":3,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":100,"        \
	"\"after\":[0]}]"

/* Submits a job to one VM after another until it is accepted. Returns its
 * number. */
int submit(struct hf *s, const char *steps, const char *text);
/* Waits until the VM tells this state of the job. */
void wait_state(const struct hf *s, int vm, int job, const char *want);

/* Summary of the platform simulator's log. */
struct task_summary {
	int starts;
	int done;
	int concurrent_runs; /* or starts after the task was done */
	int upkeep_count;
	int concurrent_upkeeps;
};

struct task_summary read_platform_log(const struct hf *s);
/* Waits for the owner's log line, since logs are written with a delay. */
int wait_owner(const struct hf *s);

#endif
