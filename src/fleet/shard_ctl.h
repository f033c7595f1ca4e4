/*
 * The controller of one shard. Each process has one for every shard: it claims
 * the shard if that is free (state/owner), and while it owns the shard it loads
 * the jobs, runs the scheduler and writes back what changed.
 */
#ifndef SHARD_CTL_H
#define SHARD_CTL_H

#include "fleet/fleet.h"
#include "fleet/read_ahead.h"
#include "fleet/upkeep_runner.h"
#include "fleet/wkr_links.h"

struct shard_ctl *shard_ctl_start(struct fleet *f, int32_t shard);

/* Gives the shard up before the process stops; see owner_release. */
void shard_ctl_release(struct shard_ctl *sc, int64_t successor_wait_ms);
bool shard_ctl_is_released(const struct shard_ctl *sc);

/* The catalog or the domains out of service have changed. */
void shard_ctl_configure(struct shard_ctl *sc);
/* Changes to the list of workers; see fleet_worker_listed. */
void shard_ctl_worker_listed(struct shard_ctl *sc,
			     const struct sched_worker_row *row);
void shard_ctl_worker_unlisted(struct shard_ctl *sc, const char *id);
void shard_ctl_workers_synced(struct shard_ctl *sc);

/* Returns the owner's row as last read, and when it last changed; NULL if it
 * was not read yet. */
const struct owner_row *shard_ctl_owner_row(const struct shard_ctl *sc,
					    int64_t *changed_ms);
/* Returns the age of the counts in that row; see owner_pending_age_ms. */
int64_t shard_ctl_pending_age_ms(const struct shard_ctl *sc);

/* Returns NULL unless we own the shard and it is loaded. */
const struct sched *shard_ctl_sched(const struct shard_ctl *sc);
/* Returns NULL unless we own the shard. */
const struct wkr_links_counts *shard_ctl_wkr_counts(const struct shard_ctl *sc);

/* Returns the rows kept in advance while this VM is the named or likely next
 * owner; none while it owns the shard. */
struct read_ahead_size shard_ctl_ahead_size(const struct shard_ctl *sc);

/* Returns NULL unless we own the shard and it is SHARD_CTL_UPKEEP_SHARD. */
struct upkeep_runner *shard_ctl_upkeep(const struct shard_ctl *sc);
void shard_ctl_waves_changed(struct shard_ctl *sc);

/* These functions write the name of a table or part into `buf` and return it.
 */
#define SHARD_CTL_NAME_MAX 16
const char *shard_ctl_jobs_table(int32_t shard, char buf[SHARD_CTL_NAME_MAX]);
/*
 * The jobs of a shard are spread over several parts of the store, since each
 * part commits its transactions one by one: ten a second of nominally 8 ms
 * saturate a part when the store is slow.
 */
#define SHARD_CTL_JOB_PARTS 8
int32_t shard_ctl_job_part_of(const char *job_id);
const char *shard_ctl_job_part(int32_t shard, int32_t part,
			       char buf[SHARD_CTL_NAME_MAX]);
/* The common prefix of the shard's job parts. */
const char *shard_ctl_job_part_prefix(int32_t shard,
				      char buf[SHARD_CTL_NAME_MAX]);
/* The part with the rows of the owner: progress, roster, interference. */
const char *shard_ctl_state_part(int32_t shard, char buf[SHARD_CTL_NAME_MAX]);
#define SHARD_CTL_PROGRESS_TABLE "progress"
/* A job is cancelled by a row whose key is its id and this suffix. */
#define SHARD_CTL_CANCEL_SUFFIX "/cancel"

#endif
