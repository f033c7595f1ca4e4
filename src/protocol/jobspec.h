/* Specification of a batch job: steps that depend on each other, each with a
 * number of identical tasks. */
#ifndef JOBSPEC_H
#define JOBSPEC_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"

/* Sizes of strings, including the NUL. */
#define JOBSPEC_ID_MAX 17
#define JOBSPEC_NAME_MAX 64
/* Larger jobs are rejected: their progress would not fit in a row. The number
 * of tasks is bounded for all steps together, since each task takes memory from
 * the start. */
#define JOBSPEC_STEPS_MAX 64
#define JOBSPEC_TASKS_MAX 5000
/* Longest payload of a new job, in bytes. The shard's owner keeps the payloads
 * of all jobs in memory. */
#define JOBSPEC_PAYLOAD_MAX 4000
/* Largest size of a task, in thousandths of a core, MiB or accelerators. No
 * worker is as large. */
#define JOBSPEC_SIZE_MAX 1000000000000LL
/* Longer estimates are clamped to this, three years. Bounded so that a chain of
 * steps, times the largest slack of a queue, fits in int64_t. */
#define JOBSPEC_ESTIMATE_MAX_MS 100000000000LL
/* Bounded so that all due times fit in int64_t with the longest interval. */
#define JOBSPEC_ROUNDS_MAX 10000000

/* One step: `tasks` identical tasks. They start once all steps in `after` are
 * done. */
struct jobspec_step {
	int32_t tasks;
	int32_t n_after;
	int32_t after[JOBSPEC_STEPS_MAX];
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t accelerators;
	int64_t expected_ms; /* the caller's estimate of one task's run time */
	bool checkpoints; /* a stopped task resumes from its checkpoint */
	bool gang; /* its tasks can only run all at the same time */
	bool one_rack; /* tasks run slower when spread over racks */
	bool speculative; /* two runs of a task may overlap; the first to
			   * end counts */
	bool is_long_running; /* runs until the job is cancelled */
	bool best_effort; /* uses only CPU time that other tasks leave */
	int32_t spread_max; /* most tasks on one worker; 0: no limit */
	int32_t unavailable_max; /* disruption budget: most tasks that the
				  * scheduler may stop at once; -1: none */
	int64_t tail_goal_ms; /* target of the tail latency; 0: none */
	char label[JOBSPEC_NAME_MAX]; /* required of the worker; "": any */
	char data_rack[JOBSPEC_NAME_MAX]; /* rack of its input data; tasks run
					   * slower elsewhere; "": none */
	char image[JOBSPEC_NAME_MAX]; /* tasks of one image have the same
				       * interference profile */
};

struct jobspec {
	char id[JOBSPEC_ID_MAX];
	char queue[JOBSPEC_NAME_MAX];
	/* The organisation that it was accepted for; "": none. */
	char org[JOBSPEC_NAME_MAX];
	char *payload; /* passed to the workers unchanged */
	int64_t accepted_ms; /* store's clock */
	int64_t rounds; /* times that the job runs; 0: not scheduled, runs
			 * once, immediately */
	int64_t first_due_ms; /* wall clock, ms since 1970 */
	int64_t interval_ms; /* from one due time to the next */
	int32_t n_steps;
	struct jobspec_step *steps;
};

/* Returns a talloc child of `ctx` with `n_steps` empty steps. */
struct jobspec *jobspec_new(void *ctx, int32_t n_steps);

/* Checks counts, sizes, dependencies (on earlier steps only, so that there are
 * no cycles) and the schedule. */
bool jobspec_validate(const struct jobspec *spec, struct err *e);

/* Adds the step numbers in a JSON list to the dependencies of `s`; NULL is an
 * empty list. Returns false if it isn't a list or has other values. */
bool jobspec_add_dependencies(struct jobspec_step *s, const json_t *list);

/* Returns the row for the store. The caller owns the reference. */
json_t *jobspec_pack(const struct jobspec *spec);

/* Reads a stored row. Returns a talloc child of `ctx`, or NULL with `e` filled
 * in. */
struct jobspec *jobspec_unpack(void *ctx, const char *id, const json_t *row,
			       struct err *e);

/* Returns the length of the critical path that starts with `step`: the largest
 * sum of estimates along a chain of dependent steps. */
int64_t jobspec_critical_path_ms(const struct jobspec *spec, int32_t step);

#endif
