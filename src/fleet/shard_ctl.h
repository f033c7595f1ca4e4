/* One shard: its ownership, and the scheduler while it is ours. */
#ifndef SHARD_CTL_H
#define SHARD_CTL_H

#include "fleet/fleet.h"
#include "fleet/upkeep_runner.h"
#include "fleet/wkr_links.h"

struct shard_ctl *shard_ctl_start(struct fleet *f, int32_t shard);

/* See owner_release. */
void shard_ctl_release(struct shard_ctl *sc, int64_t hold_ms);
bool shard_ctl_is_released(const struct shard_ctl *sc);

void shard_ctl_configure(struct shard_ctl *sc);
void shard_ctl_worker_listed(struct shard_ctl *sc,
			     const struct sched_worker_row *row);
void shard_ctl_worker_unlisted(struct shard_ctl *sc, const char *id);
void shard_ctl_workers_synced(struct shard_ctl *sc);

/* The owner's row as last seen, and when it changed; NULL if unread. */
const struct owner_row *shard_ctl_owner_row(const struct shard_ctl *sc,
					    int64_t *changed_ms);

/* NULL unless the shard is ours and loaded. */
const struct sched *shard_ctl_sched(const struct shard_ctl *sc);
const struct wkr_links_counts *shard_ctl_wkr_counts(const struct shard_ctl *sc);

/* Who looks after whole VMs; NULL unless the shard is ours and does. */
struct upkeep_runner *shard_ctl_upkeep(const struct shard_ctl *sc);
void shard_ctl_waves_changed(struct shard_ctl *sc);

/* Names of the tables and parts of a shard's rows; valid until the next call
 * with the same buffer. */
#define SHARD_CTL_NAME_MAX 16
const char *shard_ctl_jobs_table(int32_t shard, char buf[SHARD_CTL_NAME_MAX]);
/*
 * Jobs are spread over parts, since a part commits one transaction after
 * another: ten a second of 8 ms take all of one when the store is slow.
 */
#define SHARD_CTL_JOB_PARTS 8
int32_t shard_ctl_job_part_of(const char *job_id);
const char *shard_ctl_job_part(int32_t shard, int32_t part,
			       char buf[SHARD_CTL_NAME_MAX]);
/* What the names of all its parts begin with. */
const char *shard_ctl_job_part_prefix(int32_t shard,
				      char buf[SHARD_CTL_NAME_MAX]);
const char *shard_ctl_state_part(int32_t shard, char buf[SHARD_CTL_NAME_MAX]);
#define SHARD_CTL_PROGRESS_TABLE "progress"
/* Follows a job's id in the key of the row that cancels it. */
#define SHARD_CTL_CANCEL_SUFFIX "/cancel"

#endif
