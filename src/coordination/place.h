/* Where a task is put: capacity, domains, quarantine. Pure. */
#ifndef PLACE_H
#define PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/view.h"

/* What a task takes, and a worker has. */
struct place_resources {
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t accelerators;
};

enum place_health { PLACE_HEALTHY, PLACE_PROBING, PLACE_QUARANTINED };

/* One worker as placement sees it. */
struct place_worker {
	char domain[VIEW_ID_MAX];
	struct place_resources total;
	struct place_resources used; /* by all that may run there */
	bool usable; /* reachable, not leaving, domain in */
	enum place_health health;
	int64_t health_until_ms; /* end of quarantine */
	int64_t quarantine_ms; /* length of the last one */
	int64_t tasks; /* that may run there */
	int64_t failures; /* starts in a row that failed, other jobs' */
	uint64_t last_failed_job;
	int64_t penalty_milli; /* expected slow-down of a newcomer */
};

struct place_request {
	struct place_resources size;
	const char *domain; /* empty: any */
	int avoid; /* index of the worker it failed on last, or -1 */
};

/* Fits into what is left? */
bool place_fits(const struct place_worker *w,
		const struct place_resources *size);

/* Could it ever run on this worker, were it empty? */
bool place_fits_empty(const struct place_worker *w,
		      const struct place_request *need);

void place_reserve(struct place_worker *w, const struct place_resources *size);
void place_release(struct place_worker *w, const struct place_resources *size);

/* How a placement policy chooses; -1 if nothing fits. */
struct place_policy {
	const char *name;
	int (*choose)(const struct place_worker *list, int n,
		      const struct place_request *need, int64_t now_ms);
};

/* The product's: tightest fit, least interference, healthy first. */
extern const struct place_policy place_best_fit;
/* The baseline: the first that fits. */
extern const struct place_policy place_first_fit;

/*
 * A task of `job` ended at a worker. Several failures in a row of
 * different jobs tell a bad worker from a bad job; true if the worker is
 * quarantined by this one.
 */
bool place_note_result(struct place_worker *w, bool failed, uint64_t job,
		       int64_t now_ms);

#endif
