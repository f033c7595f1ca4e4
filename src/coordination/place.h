/*
 * Choice of a worker for a task by capacity, failure domain and health, and
 * quarantine of workers whose tasks fail. Pure.
 */
#ifndef PLACE_H
#define PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/view.h"
#include "protocol/resources.h"

enum place_health { PLACE_HEALTHY, PLACE_PROBING, PLACE_QUARANTINED };

/* One worker, as far as placement is concerned. */
struct place_worker {
	char domain[VIEW_ID_MAX];
	struct place_resources total;
	struct place_resources used; /* by all tasks that may run there */
	bool usable; /* reachable, not leaving, domain not taken out */
	enum place_health health;
	int64_t quarantine_until_ms; /* end of the quarantine */
	int64_t quarantine_ms; /* length of the last quarantine; 0: none */
	int64_t tasks; /* number of tasks that may run there */
	int64_t failures; /* in a row; repeats of one job don't count */
	uint64_t last_failed_job;
	int64_t penalty_milli; /* expected slowdown of another task there */
};

struct place_request {
	struct place_resources size;
	const char *domain; /* empty: any */
	/* Index of the worker where the task last failed, chosen only if it
	 * fits on no other; -1: none. */
	int avoid;
};

/* Returns whether the resources fit into what the worker has left. */
bool place_fits(const struct place_worker *w,
		const struct place_resources *size);

/* Returns whether the task would fit if the worker were idle. */
bool place_fits_empty(const struct place_worker *w,
		      const struct place_request *req);

/* Add or remove the resources of one task. */
void place_reserve(struct place_worker *w, const struct place_resources *size);
void place_release(struct place_worker *w, const struct place_resources *size);

/* A placement policy; `choose` returns an index into `list`, or -1. */
struct place_policy {
	const char *name;
	int (*choose)(const struct place_worker *list, int n,
		      const struct place_request *req, int64_t now_ms);
};

/* The default policy: tightest fit, least interference, healthy first. */
extern const struct place_policy place_best_fit;
/* The baseline for comparison: the first worker that fits. */
extern const struct place_policy place_first_fit;

/*
 * Records the end of a task of `job` at a worker. Failures of several different
 * jobs in a row show that the worker is at fault rather than a job. Returns
 * true if this failure quarantines the worker.
 */
bool place_note_result(struct place_worker *w, bool failed, uint64_t job,
		       int64_t now_ms);

#endif
