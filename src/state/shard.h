/*
 * One shard of the batch side: its jobs, tasks, claims of request ids and
 * accounts, and its share of the workers. Pure: events and times go in;
 * entries for the journal, bodies for workers and answers come out.
 *
 * Every durable change is an entry. It is applied when it is made and
 * again at recovery, by the same code; what others may see of it waits
 * until the batch that holds it is committed.
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
	int64_t shards; /* in all: quotas are split evenly */
	int64_t worker_lease_ms;
	int64_t renew_max_ms; /* past the last store confirmation */
	int64_t start_age_max_ms;
	int64_t claim_retention_ms;
	const struct place_policy *policy;
};

/* The two clocks of one moment. */
struct shard_time {
	int64_t mono_ms;
	int64_t wall_ms;
};

struct shard *shard_new(const struct shard_options *opt);
void shard_free(struct shard *s);

/* Recovery: a snapshot, then batches in order, then the start. */
void shard_load_snapshot(struct shard *s, const json_t *state);
void shard_replay(struct shard *s, const json_t *entries, int64_t wall_ms);
void shard_finish_recovery(struct shard *s, struct shard_time now);

/*
 * The whole state with all entries made so far, as shard_load_snapshot takes
 * it: to be kept only if the batch with the last of them is committed. New
 * reference.
 */
json_t *shard_make_snapshot(const struct shard *s);

/* Workers, domains and quotas of this view are in force from now on. */
void shard_set_view(struct shard *s, const struct view *v,
		    struct shard_time now);

/*
 * One call of an entry. Returns an HTTP status and a new `reply`; with
 * `wait` set the reply may only be sent once all entries made so far are
 * committed.
 */
int64_t shard_call(struct shard *s, const char *verb, const char *text,
		   struct shard_time now, json_t **reply, bool *wait);

/* Timeouts, evictions, refusals; cheap if nothing is due. */
void shard_tick(struct shard *s, struct shard_time now);

/* Starts what fits; adds entries. */
void shard_place_tasks(struct shard *s, struct shard_time now);

/* Entries not yet taken; `starts` if there are starts among them. */
bool shard_has_entries(const struct shard *s);

/* Takes the next batch; NULL if there is none. */
json_t *shard_take_batch(struct shard *s, bool *starts);

/* The batch taken last is durable. */
void shard_batch_committed(struct shard *s);

/*
 * It was not written, since the configuration moved: its starts are
 * undone, the rest goes into the next batch.
 */
void shard_batch_rejected(struct shard *s);

/* Workers of this shard, by index. */
int shard_worker_count(const struct shard *s);
const char *shard_worker_id(const struct shard *s, int w);
void shard_worker_addr(const struct shard *s, int w, char *ip, size_t size,
		       uint16_t *port);

/* It has commands that no exchange has carried yet. */
bool shard_worker_has_commands(const struct shard *s, int w);

/*
 * The body of the next exchange with a worker; new reference. Starts are
 * left out unless `may_start`, renewal of leases unless `may_renew`.
 */
json_t *shard_sync_request(struct shard *s, int w, bool may_start,
			   bool may_renew);

/* Its answer. */
void shard_sync_reply(struct shard *s, int w, const json_t *reply,
		      struct shard_time now);

/* The worker knows a higher epoch: this process is not the owner. */
bool shard_is_superseded(struct shard *s, int64_t epoch);

/* Figures for logs and metrics. */
struct shard_totals {
	int64_t tasks[8]; /* by enum shard_state */
	int64_t accepted;
	int64_t started; /* attempts */
	int64_t evicted; /* attempts that ended so */
	int64_t lost;
	int64_t failed_attempts;
	int64_t charged_ms; /* processor milliseconds of all attempts */
	int64_t useful_ms; /* of those that led to completion */
	int64_t claims;
	int64_t jobs;
};

enum shard_state {
	SHARD_QUEUED,
	SHARD_STARTING, /* the start is durable or about to be */
	SHARD_RUNNING, /* the worker said so */
	SHARD_DONE,
	SHARD_FAILED, /* too many attempts */
	SHARD_CANCELLED,
	SHARD_REFUSED, /* can never run */
	SHARD_STATES,
};

const struct shard_totals *shard_totals(const struct shard *s);

/* Counts all tasks anew and compares: do the accounts balance? */
bool shard_totals_consistent(const struct shard *s);

const char *shard_state_name(enum shard_state state);

#endif
