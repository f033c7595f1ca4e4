/* What a caller asks for: a job of steps of alike tasks. */
#ifndef JOBSPEC_H
#define JOBSPEC_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"

#define JOBSPEC_ID_MAX 17
#define JOBSPEC_NAME_MAX 64
/* A job larger than this is refused; it would not fit a row's progress. The
 * tasks of all its steps together, since each takes memory from the start. */
#define JOBSPEC_STEPS_MAX 64
#define JOBSPEC_TASKS_MAX 5000
/* No worker is as large, in thousandths of a core, MiB or accelerators. */
#define JOBSPEC_SIZE_MAX 1000000000000LL
/* Longer estimates count as this long, in ms: three years. A chain of steps,
 * times the largest slack of a queue, stays within int64_t. */
#define JOBSPEC_ESTIMATE_MAX_MS 100000000000LL
/* With the longest interval, all due times stay within int64_t. */
#define JOBSPEC_ROUNDS_MAX 10000000

/* One step: `tasks` alike tasks that start once all of `after` are done. */
struct jobspec_step {
	int32_t tasks;
	int32_t n_after;
	int32_t after[JOBSPEC_STEPS_MAX];
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t accelerators;
	int64_t expected_ms; /* the caller's rough estimate of one task */
	bool checkpoints; /* a stopped task can be resumed */
	bool gang; /* all tasks work together or not at all */
	bool one_rack; /* slower when spread over racks */
	bool copies; /* may run twice at once; the first end counts */
	bool lasts; /* runs until the job is cancelled */
	bool best_effort; /* takes only processor time that others leave */
	int32_t spread_max; /* most tasks on one worker; 0: any */
	int32_t unavailable_max; /* most tasks we may take away at once; -1 */
	int64_t tail_goal_ms; /* response-time target of its users; 0: none */
	char label[JOBSPEC_NAME_MAX]; /* the worker must have it; "" */
	char data_rack[JOBSPEC_NAME_MAX]; /* slower elsewhere; "" */
	char image[JOBSPEC_NAME_MAX]; /* tasks of one image behave alike */
};

struct jobspec {
	char id[JOBSPEC_ID_MAX];
	char queue[JOBSPEC_NAME_MAX];
	char *payload; /* handed to the workers as it is */
	int64_t accepted_ms; /* on the store's clock */
	int64_t rounds; /* scheduled occurrences; 0: run once, now */
	int64_t first_due_ms; /* wall clock, since 1970 */
	int64_t interval_ms;
	int32_t n_steps;
	struct jobspec_step *steps;
};

/* A talloc child of `ctx` with `n_steps` empty steps. */
struct jobspec *jobspec_new(void *ctx, int32_t n_steps);

/* Checks what a caller sent: sizes, step numbers, no cycles. */
bool jobspec_check(const struct jobspec *spec, struct err *e);

/* Takes in the list of steps that `s` waits for, NULL for none; false if there
 * is anything else in it. */
bool jobspec_after(struct jobspec_step *s, const json_t *list);

/* The form kept in the store. The caller owns the reference. */
json_t *jobspec_pack(const struct jobspec *spec);

/* A talloc child of `ctx`, or NULL and `e` if the row can't be used. */
struct jobspec *jobspec_unpack(void *ctx, const char *id, const json_t *row,
			       struct err *e);

/* The longest chain of estimates from `step` on, in ms, itself included. */
int64_t jobspec_chain_ms(const struct jobspec *spec, int32_t step);

#endif
