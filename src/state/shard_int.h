/* Inside of a shard: shared by the shard_*.c files only. */
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
	ATTEMPT_EVICTED, /* at a checkpoint */
	ATTEMPT_LOST, /* with its worker */
	ATTEMPT_NOT_STARTED, /* proved not started */
	ATTEMPT_STOPPED, /* on our word */
	ATTEMPT_ENDS,
};

/* One attempt, for the trace. */
struct shard_attempt {
	int32_t number;
	int32_t worker; /* index */
	int64_t start_wall_ms;
	int64_t end_wall_ms; /* 0 while it may run */
	int8_t end; /* enum shard_attempt_end */
};

struct shard_job;

struct shard_task {
	struct shard_job *job;
	int32_t index;
	int32_t attempt; /* of the last start */
	int32_t worker; /* index; -1 while nowhere */
	int32_t failures;
	int32_t avoid; /* worker it failed on last, -1 */
	int8_t state; /* enum shard_state */
	bool durable; /* the start is committed */
	bool stop_requested;
	bool evict_requested;
	struct place_size reserved;
	int64_t progress_ms;
	int64_t queued_ms; /* monotonic; when it last became ready */
	int64_t measured_cpu_milli; /* last report */
	GArray *attempts;
};

struct shard_job {
	struct rec rec;
	char operation[96]; /* that submitted it */
	int64_t revision; /* of the record */
	int64_t order; /* of submission */
	int64_t accepted_wall_ms;
	int64_t ended_wall_ms; /* 0 while tasks are live */
	bool withdrawn;
	struct shard_task *tasks;
	int64_t n_live;
	int64_t n_queued;
	int64_t first_queued; /* no queued task has a lower index */
	int64_t cpu_ratio_milli; /* measured to declared processors */
	int64_t ready_ms; /* monotonic; when first seen here */
};

struct shard_worker {
	char id[SHARD_WORKER_ID_MAX];
	char ip[VIEW_IP_MAX];
	uint16_t port;
	bool listed;
	bool leaving;
	bool has_commands; /* for an exchange: it has new commands */
	bool has_answered; /* answered this owner */
	bool reconciled; /* its whole list was taken since it started */
	int64_t answered_ms; /* last answer; monotonic */
	int64_t stamp; /* of the worker's clock, in its last answer */
	int64_t seq;
	char boot[48];
	GHashTable *tasks; /* set of struct shard_task * */
	GPtrArray *acks; /* task names to forget, "name:attempt" */
	GPtrArray *acks_sent;
	GPtrArray *foreign_tasks; /* "name:attempt" to stop */
	int64_t load_milli; /* measured use, lagging */
	int64_t overload_since_ms; /* 0 if not */
};

struct shard_claim {
	char *token;
	int64_t wall_ms;
};

struct shard {
	struct shard_options opt;
	GHashTable *jobs; /* name to job */
	GHashTable *operations; /* id to result text */
	GHashTable *claims; /* request id to claim */
	GHashTable *quotas; /* team to milli-CPU of this shard */
	GHashTable *out_domains; /* set */
	struct shard_worker *workers;
	struct place_worker *place; /* same indices */
	int n_workers;
	json_t *pending_entries; /* entries not yet taken */
	json_t *taken_entries; /* entries of the batch under way */
	GPtrArray *acks_pending; /* struct shard_ack, of entries pending */
	GPtrArray *acks_taken;
	GPtrArray *starts_pending; /* tasks */
	GPtrArray *starts_taken;
	struct shard_totals totals;
	int64_t next_order;
	int64_t recovered_ms;
	int64_t wall_ms; /* of the entry being applied */
	bool recovered;
};

struct shard_ack {
	int32_t worker;
	char *name;
};

/* shard.c */
struct shard_job *shard_find_job(const struct shard *s, const char *name);
struct shard_task *shard_find_task(const struct shard *s, const char *name);
void shard_task_name(const struct shard_task *t, char *buf, size_t size);

/* Makes an entry (taken over) durable with the next batch, applied now. */
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
