/*
 * The calls of the API: submit, cancel and look up a job. Runs on every VM, and
 * reads and writes rows of the store without the help of the shard's owner,
 * which sees the rows later. The platform's HTTP server calls it.
 */
#ifndef JOB_API_H
#define JOB_API_H

#include "fleet/fleet.h"

enum job_api_result {
	JOB_API_OK, /* accepted, cancelled, or the state was found */
	JOB_API_REFUSED, /* had no effect and never will */
	JOB_API_UNKNOWN, /* may take effect; retry with the same id */
	JOB_API_NOT_FOUND, /* there is no such job, for this caller */
	JOB_API_DENIED, /* the key is not valid any more; no effect */
	JOB_API_ID_TAKEN, /* another organisation's job has the id; no effect */
	/* As JOB_API_REFUSED: it fits no cap of its organisation. */
	JOB_API_OVER_CAP,
	/* No row can hold the job or its progress; no effect. */
	JOB_API_TOO_LARGE,
};

struct job_api_answer {
	enum job_api_result result;
	/* Valid for JOB_API_REFUSED and JOB_API_OVER_CAP. */
	int64_t retry_after_ms;
	enum sched_job_state state; /* valid for job_api_state, JOB_API_OK */
	int64_t pending; /* valid for job_api_pending, JOB_API_OK */
};

/* Called exactly once for each call, after that has returned. */
typedef void (*job_api_cb)(const struct job_api_answer *ans, void *priv);

struct job_api *job_api_start(struct fleet *f);

/* Takes ownership of `spec`, and sets its organisation. Deadlines are on the
 * monotonic clock. `who` is copied; NULL: keys are not required. */
void job_api_submit(struct job_api *api, struct jobspec *spec,
		    const struct access *who, int64_t deadline_ms,
		    job_api_cb done, void *priv);
void job_api_cancel(struct job_api *api, const char *id,
		    const struct access *who, int64_t deadline_ms,
		    job_api_cb done, void *priv);
void job_api_state(struct job_api *api, const char *id,
		   const struct access *who, int64_t deadline_ms,
		   job_api_cb done, void *priv);

/*
 * Counts the jobs of the queue that have not started yet, from the owner rows
 * seen last. The result is JOB_API_REFUSED if the counts of some shard are
 * missing or older than 2 s: the owner was lost, or the store doesn't answer.
 */
struct job_api_answer job_api_pending(struct job_api *api, const char *queue);

/* Returns the number of calls that are not yet answered. */
int32_t job_api_active(const struct job_api *api);

/* Numbers of calls. `repeated` counts submissions of jobs already stored,
 * `lookups` calls of job_api_state; `counted` and `count_refused` count calls
 * of job_api_pending; `id_taken` submissions answered JOB_API_ID_TAKEN. */
struct job_api_counts {
	int64_t accepted, repeated, refused, unknown, cancelled, lookups;
	int64_t counted, count_refused;
	int64_t id_taken;
	int64_t over_cap; /* part of `refused` */
};

const struct job_api_counts *job_api_counts(const struct job_api *api);
/* Returns organisation to number of refused submissions; see org_metrics.h. */
GHashTable *job_api_org_refusals(const struct job_api *api);
/* Returns the durations of submissions, in us. */
const struct hist *job_api_accept_times(const struct job_api *api);

#endif
