/* One shard: its ownership, and the scheduler while it is ours. */
#ifndef LEAD_H
#define LEAD_H

#include "fleet/fleet.h"
#include "fleet/keep.h"
#include "fleet/links.h"

struct lead *lead_start(struct fleet *f, int32_t shard);

/* See owner_release. */
void lead_release(struct lead *l, int64_t hold_ms);
bool lead_released(const struct lead *l);

void lead_configure(struct lead *l);
void lead_worker_seen(struct lead *l, const struct sched_worker_row *row);
void lead_worker_gone(struct lead *l, const char *id);
void lead_workers_synced(struct lead *l);

/* The owner's row as last seen, and when it changed; NULL if unread. */
const struct owner_row *lead_owner_row(const struct lead *l,
				       int64_t *changed_ms);

/* NULL unless the shard is ours and loaded. */
const struct sched *lead_sched(const struct lead *l);
const struct links_counts *lead_links_counts(const struct lead *l);

/* Who looks after whole VMs; NULL unless the shard is ours and does. */
struct keep *lead_keep(const struct lead *l);
void lead_waves_changed(struct lead *l);

/* Names of the tables and parts of a shard's rows; valid until the next call
 * with the same buffer. */
#define LEAD_NAME_MAX 16
const char *lead_jobs_table(int32_t shard, char buf[LEAD_NAME_MAX]);
/*
 * Jobs are spread over parts, since a part commits one transaction after
 * another: ten a second of 8 ms take all of one when the store is slow.
 */
#define LEAD_JOB_PARTS 8
int32_t lead_job_part_of(const char *job_id);
const char *lead_job_part(int32_t shard, int32_t part, char buf[LEAD_NAME_MAX]);
/* What the names of all its parts begin with. */
const char *lead_job_parts(int32_t shard, char buf[LEAD_NAME_MAX]);
const char *lead_state_part(int32_t shard, char buf[LEAD_NAME_MAX]);
#define LEAD_PROGRESS_TABLE "progress"
/* Follows a job's id in the key of the row that cancels it. */
#define LEAD_CANCEL_SUFFIX "/cancel"

#endif
