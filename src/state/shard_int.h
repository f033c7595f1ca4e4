/* Internals of struct shard, for shard*.c only. */
#ifndef SHARD_INT_H
#define SHARD_INT_H

#include <glib.h>

#include "protocol/rec.h"
#include "state/shard.h"

#define SHARD_WORKER_ID_MAX VIEW_ID_MAX
#define SHARD_TASK_NAME_MAX (REC_NAME_MAX + 16)

/* How an attempt ended. */
enum shard_attempt_end {
	ATTEMPT_DONE,
	ATTEMPT_FAILED,
	ATTEMPT_EVICTED, /* stopped at a checkpoint */
	ATTEMPT_LOST, /* lost by its worker, or with it */
	ATTEMPT_NOT_STARTED, /* proved not to have started */
	ATTEMPT_STOPPED, /* by a stop command */
	ATTEMPT_ENDS,
};

/* One attempt to run a task, for /v1/trace. */
struct shard_attempt {
	int32_t number;
	int32_t worker; /* index */
	int64_t start_wall_ms;
	int64_t end_wall_ms; /* 0 until it has ended */
	int8_t end; /* enum shard_attempt_end */
};

struct shard_job;

struct shard_task {
	struct shard_job *job;
	int32_t index;
	int32_t attempt; /* number of the last start; 0: none */
	int32_t worker; /* index; -1: on none */
	int32_t failures;
	int32_t avoid; /* worker that the last attempt failed on; -1: none */
	int8_t state; /* enum shard_state */
	bool durable; /* its start entry is committed */
	bool stop_requested;
	bool evict_requested;
	struct place_resources reserved;
	int64_t progress_ms;
	int64_t queued_ms; /* monotonic; when it was last queued */
	int64_t measured_cpu_milli; /* as last reported; 0: not yet */
	GArray *attempts;
};

struct shard_job {
	struct rec rec;
	char operation[96]; /* id of the operation that submitted it */
	int64_t revision; /* of the record */
	int64_t order; /* sequence number of the submission */
	int64_t accepted_wall_ms;
	int64_t ended_wall_ms; /* 0 until all tasks have ended */
	bool withdrawn;
	struct shard_task *tasks;
	int64_t n_live; /* tasks queued, starting or running */
	int64_t n_queued;
	int64_t first_queued; /* no queued task has a lower index */
	int64_t cpu_ratio_milli; /* measured to declared CPU use */
	int64_t ready_ms; /* monotonic; submitted or recovered */
};

struct shard_worker {
	char id[SHARD_WORKER_ID_MAX];
	char ip[VIEW_IP_MAX];
	uint16_t port;
	bool listed; /* in the current view */
	bool leaving; /* as the view says: gets no new tasks */
	bool has_commands; /* new ones, for the next request */
	bool has_answered; /* a request of this owner */
	bool reconciled; /* with its full task list since it started */
	int64_t answered_ms; /* monotonic; its last answer */
	int64_t stamp; /* the worker's clock in its last answer; 0: none */
	int64_t seq; /* of its last answer */
	char boot[48]; /* id of its process */
	GHashTable *tasks; /* set of struct shard_task * */
	GPtrArray *acks; /* ends it may forget, "name:attempt" */
	GPtrArray *acks_sent; /* until the worker has answered */
	GPtrArray *foreign_tasks; /* it runs but shouldn't, "name:attempt" */
	int64_t load_milli; /* measured use as last reported */
	int64_t overload_since_ms; /* 0 if not */
};

struct shard_claim {
	char *token;
	int64_t wall_ms;
};

struct shard {
	struct shard_options opt;
	GHashTable *jobs; /* name to job */
	GHashTable *operations; /* id to int64_t, revision of the result */
	GHashTable *claims; /* request id to claim */
	GHashTable *quotas; /* team to int64_t, milli-CPU in this shard */
	GHashTable *out_domains; /* set of names */
	struct shard_worker *workers;
	struct place_worker *place; /* for placement; indices as `workers` */
	int n_workers;
	json_t *pending_entries; /* for the next batch */
	json_t *taken_entries; /* of the batch being committed */
	GPtrArray *acks_pending; /* struct shard_ack, of pending entries */
	GPtrArray *acks_taken; /* of taken entries */
	GPtrArray *starts_pending; /* struct shard_task, likewise */
	GPtrArray *starts_taken;
	struct shard_totals totals;
	int64_t next_order;
	int64_t recovered_ms;
	int64_t wall_ms; /* of the entry being applied */
	bool recovered;
};

/* Acknowledges the end of an attempt once its entry is committed. */
struct shard_ack {
	int32_t worker;
	char *name; /* "name:attempt" */
};

/* shard.c */
struct shard_job *shard_find_job(const struct shard *s, const char *name);
struct shard_task *shard_find_task(const struct shard *s, const char *name);
void shard_task_name(const struct shard_task *t, char *buf, size_t size);

/* Applies `entry` and adds it to the next batch; takes ownership of it. */
void shard_add_entry(struct shard *s, json_t *entry, struct shard_time now);

void shard_end_attempt(struct shard *s, struct shard_task *t,
		       enum shard_attempt_end end, int64_t progress_ms,
		       int64_t ran_ms, struct shard_time now);
int shard_find_worker(const struct shard *s, const char *id);
int shard_get_worker(struct shard *s, const char *id);
const char *shard_attempt_end_name(int end);
bool shard_state_is_live(int state);

/* shard_apply.c */
void shard_apply(struct shard *s, const json_t *entry, int64_t wall_ms);
void shard_undo_start(struct shard *s, struct shard_task *t);
void shard_set_state(struct shard *s, struct shard_task *t, int state);

#endif
