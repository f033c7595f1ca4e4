/*
 * State of one shard of batch jobs: jobs, tasks, claims of request ids, totals,
 * and the workers assigned to the shard. Does no I/O and reads no clock: the
 * caller (gd-sched) passes in events and times, and gets journal entries,
 * requests for workers and replies to send.
 *
 * Every durable change is a journal entry. The same code applies it when it is
 * made and again at recovery. Its effects are shown to others only after the
 * batch that holds it has been committed.
 */
#ifndef SHARD_H
#define SHARD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/place.h"
#include "coordination/view.h"

struct shard;

struct shard_options {
	int number;
	int64_t epoch;
	int64_t shards; /* in total; each has an equal part of the quotas */
	int64_t worker_lease_ms;
	int64_t renew_max_ms; /* how long the previous owner may renew leases
				 without access to the store */
	int64_t start_age_max_ms;
	int64_t claim_retention_ms;
	int64_t memory_bytes; /* for tasks; 0: any */
	const struct place_policy *policy;
};

/* One point in time on both clocks. */
struct shard_time {
	int64_t mono_ms;
	int64_t wall_ms;
};

struct shard *shard_new(const struct shard_options *opt);
void shard_free(struct shard *s);

/* Recovery: load the snapshot, replay the batches in order, then finish. */
void shard_load_snapshot(struct shard *s, const json_t *state);
void shard_replay(struct shard *s, const json_t *entries, int64_t wall_ms);
void shard_finish_recovery(struct shard *s, struct shard_time now);

/*
 * Returns the state with all entries made so far, for shard_load_snapshot, as a
 * new reference. Only valid once the batch with the last entry is committed.
 */
json_t *shard_make_snapshot(const struct shard *s);

/* Adopts the workers, failure domains and quotas of `v`. */
void shard_set_view(struct shard *s, const struct view *v,
		    struct shard_time now);

/*
 * Handles a call from gd-entry. Returns an HTTP status and a new reference in
 * `reply`. If it sets `wait`, the reply may be sent only once all journal
 * entries made so far have been committed.
 */
int64_t shard_call(struct shard *s, const char *verb, const char *text,
		   struct shard_time now, json_t **reply, bool *wait);

/* Handles expired leases, evictions, refusals and the removal of ended jobs;
 * cheap if none is due. */
void shard_tick(struct shard *s, struct shard_time now);

/* Places queued tasks on workers with room, by start entries. */
void shard_place_tasks(struct shard *s, struct shard_time now);

/* Whether there are entries for shard_take_batch. */
bool shard_has_entries(const struct shard *s);

/* Returns the next batch to commit as a new reference, or NULL if there is
 * none. Sets `starts` if it starts tasks. */
json_t *shard_take_batch(struct shard *s, bool *starts);

/* Called when the batch taken last is durable. */
void shard_batch_committed(struct shard *s);

/*
 * Called when the batch taken last wasn't written because the configuration
 * changed. Undoes its starts; its other entries go into the next batch.
 */
void shard_batch_rejected(struct shard *s);

/* Workers of this shard have the indices 0 to shard_worker_count - 1. */
int shard_worker_count(const struct shard *s);
const char *shard_worker_id(const struct shard *s, int w);
void shard_worker_addr(const struct shard *s, int w, char *ip, size_t size,
		       uint16_t *port);

/* Whether there are commands that no request has carried yet. */
bool shard_worker_has_commands(const struct shard *s, int w);

/*
 * Returns the body of the next request to a worker, as a new reference. It
 * holds starts only if `may_start`, and renews leases only if `may_renew`.
 */
json_t *shard_sync_request(struct shard *s, int w, bool may_start,
			   bool may_renew);

/* Handles a worker's answer to shard_sync_request. */
void shard_sync_reply(struct shard *s, int w, const json_t *reply,
		      struct shard_time now);

/* Whether `epoch`, known to a worker, is higher than ours, so that this process
 * no longer owns the shard. */
bool shard_is_superseded(struct shard *s, int64_t epoch);

/* Counters for logs and metrics. */
struct shard_totals {
	int64_t tasks[8]; /* by enum shard_state */
	int64_t accepted;
	int64_t started; /* attempts */
	int64_t evicted; /* attempts, as the next two */
	int64_t lost;
	int64_t failed_attempts;
	int64_t charged_ms; /* CPU ms reserved for attempts that have ended */
	int64_t useful_ms; /* part of it that led to results or checkpoints */
	int64_t claims;
	int64_t jobs;
};

enum shard_state {
	SHARD_QUEUED,
	SHARD_STARTING, /* its start entry was made */
	SHARD_RUNNING, /* as reported by its worker */
	SHARD_DONE,
	SHARD_FAILED, /* too many failed attempts */
	SHARD_CANCELLED,
	SHARD_REFUSED, /* fits no worker */
	SHARD_STATES,
};

const struct shard_totals *shard_totals(const struct shard *s);

/* Whether a recount of all tasks gives the totals. */
bool shard_totals_consistent(const struct shard *s);

const char *shard_state_name(enum shard_state state);

#endif
