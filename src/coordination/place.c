/* Choice of a worker for a task by capacity, failure domain and health. */
#include "coordination/place.h"

#include <assert.h>
#include <string.h>

/* Failures in a row, counted by place_note_result, that quarantine a worker. */
#define FAILURES_MAX 3
/* The quarantine doubles with each failed probe, up to the maximum. */
#define QUARANTINE_FIRST_MS 5000
#define QUARANTINE_MAX_MS 300000
/* Tasks at a worker whose quarantine is over, until one succeeds. */
#define PROBE_TASKS_MAX 1

static bool resources_fit(const struct place_resources *have,
			  const struct place_resources *want)
{
	return want->cpu_milli <= have->cpu_milli &&
	       want->mem_mib <= have->mem_mib &&
	       want->accelerators <= have->accelerators;
}

bool place_fits(const struct place_worker *w,
		const struct place_resources *size)
{
	struct place_resources left = {
		w->total.cpu_milli - w->used.cpu_milli,
		w->total.mem_mib - w->used.mem_mib,
		w->total.accelerators - w->used.accelerators,
	};

	return resources_fit(&left, size);
}

static bool in_domain(const struct place_worker *w,
		      const struct place_request *req)
{
	return !*req->domain || !strcmp(req->domain, w->domain);
}

bool place_fits_empty(const struct place_worker *w,
		      const struct place_request *req)
{
	return in_domain(w, req) && resources_fit(&w->total, &req->size);
}

void place_reserve(struct place_worker *w, const struct place_resources *size)
{
	w->used.cpu_milli += size->cpu_milli;
	w->used.mem_mib += size->mem_mib;
	w->used.accelerators += size->accelerators;
	w->tasks++;
}

void place_release(struct place_worker *w, const struct place_resources *size)
{
	w->used.cpu_milli -= size->cpu_milli;
	w->used.mem_mib -= size->mem_mib;
	w->used.accelerators -= size->accelerators;
	w->tasks--;
	assert(w->used.cpu_milli >= 0 && w->tasks >= 0);
}

/* After its quarantine a worker gets one task at a time as a probe. */
static bool accepts_tasks(const struct place_worker *w, int64_t now_ms)
{
	if (!w->usable)
		return false;
	if (w->health == PLACE_HEALTHY)
		return true;
	if (w->health == PLACE_QUARANTINED && now_ms < w->quarantine_until_ms)
		return false;
	return w->tasks < PROBE_TASKS_MAX;
}

static bool is_candidate(const struct place_worker *w,
			 const struct place_request *req, int64_t now_ms)
{
	return accepts_tasks(w, now_ms) && in_domain(w, req) &&
	       place_fits(w, &req->size);
}

/* Lower is better: the share of CPU left unused, plus the expected slowdown. */
static int64_t cost_milli(const struct place_worker *w,
			  const struct place_request *req)
{
	int64_t left =
		w->total.cpu_milli - w->used.cpu_milli - req->size.cpu_milli;
	int64_t total = w->total.cpu_milli ? w->total.cpu_milli : 1;
	int64_t cost = left * 1000 / total + 4 * w->penalty_milli;

	/* Keep accelerators free for tasks that request them. */
	if (!req->size.accelerators && w->total.accelerators)
		cost += 1000;
	if (w->health != PLACE_HEALTHY)
		cost += 2000;
	return cost;
}

static int best_fit(const struct place_worker *list, int n,
		    const struct place_request *req, int64_t now_ms)
{
	int64_t best_cost = 0;
	int best = -1;

	for (int i = 0; i < n; i++) {
		int64_t cost;

		if (i == req->avoid || !is_candidate(&list[i], req, now_ms))
			continue;
		cost = cost_milli(&list[i], req);
		if (best >= 0 && cost >= best_cost)
			continue;
		best = i;
		best_cost = cost;
	}
	if (best < 0 && req->avoid >= 0 &&
	    is_candidate(&list[req->avoid], req, now_ms))
		return req->avoid;
	return best;
}

static int first_fit(const struct place_worker *list, int n,
		     const struct place_request *req, int64_t now_ms)
{
	for (int i = 0; i < n; i++) {
		if (is_candidate(&list[i], req, now_ms))
			return i;
	}
	return -1;
}

const struct place_policy place_best_fit = { "best-fit", best_fit };
const struct place_policy place_first_fit = { "first-fit", first_fit };

static void quarantine(struct place_worker *w, int64_t now_ms)
{
	w->quarantine_ms =
		w->quarantine_ms ? w->quarantine_ms * 2 : QUARANTINE_FIRST_MS;
	if (w->quarantine_ms > QUARANTINE_MAX_MS)
		w->quarantine_ms = QUARANTINE_MAX_MS;
	w->health = PLACE_QUARANTINED;
	w->quarantine_until_ms = now_ms + w->quarantine_ms;
}

bool place_note_result(struct place_worker *w, bool failed, uint64_t job,
		       int64_t now_ms)
{
	if (!failed) {
		w->failures = 0;
		w->health = PLACE_HEALTHY;
		w->quarantine_ms = 0;
		return false;
	}
	/* A job that fails everywhere counts only once against a worker. */
	if (job != w->last_failed_job || w->health != PLACE_HEALTHY)
		w->failures++;
	w->last_failed_job = job;
	/* A task that was started before the quarantine. */
	if (w->health == PLACE_QUARANTINED && now_ms < w->quarantine_until_ms)
		return false;
	if (w->health == PLACE_HEALTHY && w->failures < FAILURES_MAX)
		return false;
	quarantine(w, now_ms);
	return true;
}
