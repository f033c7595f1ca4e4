/* Internals shared by job_api.c and job_submit.c. */
#ifndef JOB_API_INT_H
#define JOB_API_INT_H

#include "base/hist.h"
#include "fleet/admission.h"
#include "fleet/job_api.h"
#include "fleet/shard_ctl.h"

/* Delay before a failed store call is retried, in ms. */
#define JOB_API_RETRY_MS 120
/* Part of the deadline reserved for sending the answer back, in ms. */
#define JOB_API_REPLY_MARGIN_MS 150
/* Retry-After of refusals, in ms. Shorter outages of the store are over by
 * then. */
#define JOB_API_RETRY_AFTER_MS 1000

/* Submissions waiting to be sent to one job part of one shard. */
struct submit_queue {
	struct job_api *api;
	int32_t shard;
	int32_t part;
	GQueue waiting;
	int32_t batches_in_flight;
	bool fresh_connection; /* set if the last batch got no answer */
	struct tmr *retry_timer;
};

struct job_api {
	struct fleet *f;
	struct submit_queue queues[FLEET_SHARDS_MAX][SHARD_CTL_JOB_PARTS];
	struct admission_memory memory[FLEET_SHARDS_MAX];
	int32_t active;
	struct job_api_counts counts;
	struct hist accept_times;
	GHashTable *org_refusals; /* see org_metrics.h */
};

/* Name of a result in the log. */
const char *job_api_result_name(enum job_api_result res);

#endif
