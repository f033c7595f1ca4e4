/* Waves of upkeep while a shard is ours: list, orders, and what is durable. */
#ifndef KEEP_H
#define KEEP_H

#include "fleet/fleet.h"

struct keep;
struct shard_ctl;

/* A talloc child of `ctx`; goes on with all waves that operators asked for. */
struct keep *keep_start(void *ctx, struct fleet *f, struct sched *sched,
			int32_t shard, int64_t epoch);

/* The operators' waves have changed. */
void keep_waves_changed(struct keep *k);

/* Called often; `sure`: the shard is surely ours. */
void keep_step(struct keep *k, bool sure, int64_t now_ms);

/* Has something changed that the store should know? */
bool keep_has_news(const struct keep *k);
/* Rows of it for the owner's commit, at most `max`; `texts` frees them. */
int32_t keep_collect(struct keep *k, GPtrArray *texts, struct rows_change *out,
		     int32_t max);
/* What was collected last is in the store. */
void keep_committed(struct keep *k);

#endif
