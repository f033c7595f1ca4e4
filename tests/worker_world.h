/*
 * Test fixture: workers that crash and restart under their ids, are cut off,
 * and carry out commands late. They keep leases, fence tokens and ends as the
 * platform documents it. Times are in ms; now_ms is the tests' clock.
 */
#ifndef WORKER_WORLD_H
#define WORKER_WORLD_H

#include <glib.h>

#include "coordination/sched.h"

#define WORLD_WORKERS 3
#define WORLD_LEASE_MAX_MS 10000

struct world_run {
	struct sched_ref ref;
	bool active;
	int64_t seq; /* of its end */
	enum sched_end_reason reason;
};

struct world_worker {
	char id[16];
	int64_t born_ms; /* of this incarnation; increases */
	int64_t up_ms; /* down until then */
	int64_t cut_until_ms;
	int64_t rate_milli; /* of its clock; 1000 is exact */
	int64_t clock_zero_ms; /* when its clock showed 0 */
	int64_t lease_end_clock_ms;
	int64_t fence;
	int64_t seq;
	int64_t acked_seq; /* ends up to it are forgotten */
	GArray *runs; /* struct world_run */
};

enum world_call_kind { WORLD_POLL, WORLD_START, WORLD_STOP };

/* A call to a worker. */
struct world_call {
	enum world_call_kind kind;
	int worker;
	int owner; /* that made the call, numbered by the test */
	int64_t sent_ms;
	int64_t due_ms; /* carried out then */
	/* Already at the worker, which is in this incarnation: it is carried
	 * out though the worker is cut off, and ends with the incarnation. */
	int64_t held_in_born_ms;
	bool unanswered;
	int64_t fence;
	int64_t lease_end_clock_ms;
	int64_t acked_seq;
	struct sched_ref ref;
};

struct world_answer {
	bool answered;
	enum sched_start_result start;
	struct sched_report report; /* of a poll; borrowed until the next one */
};

struct world {
	struct world_worker workers[WORLD_WORKERS];
};

void world_init(struct world *x, int64_t now_ms);
void world_finish(struct world *x);
bool world_is_reachable(const struct world_worker *w, int64_t now_ms);
/* All that runs there ends; it is back after `down_ms`. */
void world_restart(struct world_worker *w, int64_t down_ms, int64_t now_ms);
/* Carries the call out if it arrives. */
void world_carry_out(struct world *x, const struct world_call *c,
		     struct world_answer *out, int64_t now_ms);
/* Ends what runs on expired leases. */
void world_tick(struct world *x, int64_t now_ms);
/* Returns in how many places the task runs. */
int world_count_runs(const struct world *x, const char *job);

#endif
