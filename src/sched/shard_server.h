/* One shard that this scheduler holds: journal, workers, callers. */
#ifndef SHARD_SERVER_H
#define SHARD_SERVER_H

#include "sched/sched.h"

/*
 * Recovers the shard that `owner_row` makes ours. `clean` says that its
 * former owner gave it up and renews no lease any more.
 */
struct shard_server *shard_server_open(struct sched *d, int shard,
				       int64_t epoch, int64_t owner_row,
				       bool clean);

/* The store showed at `sent_ms` that the shard is still ours. */
void shard_server_confirm_owned(struct shard_server *srv, int64_t sent_ms);

/* A call of an entry, answered by sched_reply. */
void shard_server_call(struct shard_server *srv, uint64_t link,
		       const struct msg *m);

void shard_server_view_changed(struct shard_server *srv);

/* No new calls; true once nothing is under way and it may be released. */
bool shard_server_drain(struct shard_server *srv);

/* It lost its shard, or the journal, and must be opened anew. */
bool shard_server_failed(const struct shard_server *srv);

/* Not ours any more. It is freed when shard_server_idle says so. */
void shard_server_close(struct shard_server *srv);
bool shard_server_idle(const struct shard_server *srv);
void shard_server_free(struct shard_server *srv);

int64_t shard_server_owner_row(const struct shard_server *srv);
int64_t shard_server_epoch(const struct shard_server *srv);

/* NULL until recovered. */
const struct shard *shard_server_shard(const struct shard_server *srv);

#endif
