/*
 * Carries out upkeep waves for the owner of SHARD_CTL_UPKEEP_SHARD: reads the
 * list of VMs, sends the commands that struct upkeep decides on, and stores and
 * reports the progress of each wave.
 */
#ifndef UPKEEP_RUNNER_H
#define UPKEEP_RUNNER_H

#include "fleet/fleet.h"

struct upkeep_runner;
struct shard_ctl;

/* Returns a talloc child of `ctx`. It first reads the progress that previous
 * owners stored, then continues all waves that operators requested. */
struct upkeep_runner *upkeep_runner_start(void *ctx, struct fleet *f,
					  struct sched *sched, int32_t shard,
					  int64_t epoch);

/* The set of waves in struct fleet has changed. */
void upkeep_runner_waves_changed(struct upkeep_runner *r);

/* Called on each tick; `certain`: the ownership is certain, so
 * that no other VM can own the shard. */
void upkeep_runner_step(struct upkeep_runner *r, bool certain, int64_t now_ms);

/* Returns true if some wave's progress is not stored yet. */
bool upkeep_runner_is_dirty(const struct upkeep_runner *r);
/*
 * Puts up to `max` rows of progress into `out` for the owner's next commit and
 * returns how many. Their keys and values are added to `texts`, which owns
 * them.
 */
int32_t upkeep_runner_collect(struct upkeep_runner *r, GPtrArray *texts,
			      struct rows_change *out, int32_t max);
/* The rows collected last are in the store. */
void upkeep_runner_committed(struct upkeep_runner *r);

#endif
