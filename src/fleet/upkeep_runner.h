/* Waves of upkeep while a shard is ours: list, orders, and what is durable. */
#ifndef UPKEEP_RUNNER_H
#define UPKEEP_RUNNER_H

#include "fleet/fleet.h"

struct upkeep_runner;
struct shard_ctl;

/* A talloc child of `ctx`; goes on with all waves that operators asked for. */
struct upkeep_runner *upkeep_runner_start(void *ctx, struct fleet *f,
					  struct sched *sched, int32_t shard,
					  int64_t epoch);

/* The operators' waves have changed. */
void upkeep_runner_waves_changed(struct upkeep_runner *r);

/* Called often; `sure`: the shard is surely ours. */
void upkeep_runner_step(struct upkeep_runner *r, bool sure, int64_t now_ms);

/* Has something changed that the store should know? */
bool upkeep_runner_is_dirty(const struct upkeep_runner *r);
/* Rows of it for the owner's commit, at most `max`; `texts` frees them. */
int32_t upkeep_runner_collect(struct upkeep_runner *r, GPtrArray *texts,
			      struct rows_change *out, int32_t max);
/* What was collected last is in the store. */
void upkeep_runner_committed(struct upkeep_runner *r);

#endif
