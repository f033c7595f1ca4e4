/* What callers ask for: jobs handed in, cancelled, and their state. */
#ifndef JOB_API_H
#define JOB_API_H

#include "fleet/fleet.h"

enum job_api_result {
	JOB_API_OK, /* accepted, or cancelled */
	JOB_API_REFUSED, /* it had no effect and never will */
	JOB_API_UNKNOWN, /* it may take effect: ask again with the same id */
	JOB_API_NOT_FOUND, /* there is no such job */
};

struct job_api_answer {
	enum job_api_result result;
	int64_t retry_after_ms; /* with JOB_API_REFUSED */
	enum sched_job_state state; /* with job_api_state and JOB_API_OK */
};

/* Called once, never from within the call. */
typedef void (*job_api_cb)(const struct job_api_answer *ans, void *priv);

struct job_api *job_api_start(struct fleet *f);

/* Takes over `spec`; `deadline_ms` is on the monotonic clock. */
void job_api_submit(struct job_api *api, struct jobspec *spec,
		    int64_t deadline_ms, job_api_cb done, void *priv);
void job_api_cancel(struct job_api *api, const char *id, int64_t deadline_ms,
		    job_api_cb done, void *priv);
void job_api_state(struct job_api *api, const char *id, int64_t deadline_ms,
		   job_api_cb done, void *priv);

/* Jobs of the queue of which nothing has started; up to 2 s old. */
int64_t job_api_pending(struct job_api *api, const char *queue);

/* Calls that are not yet answered. */
int32_t job_api_active(const struct job_api *api);

struct job_api_counts {
	int64_t accepted, repeated, refused, unsure, cancelled, asked;
};

const struct job_api_counts *job_api_counts(const struct job_api *api);
const struct hist *job_api_accept_times(const struct job_api *api);

#endif
