/*
 * Serves one shard that this scheduler owns: recovers it from its journal,
 * commits its entries in batches, syncs with its workers and answers calls
 * from entries.
 */
#ifndef SHARD_SERVER_H
#define SHARD_SERVER_H

#include "sched/sched_daemon.h"

/*
 * Starts to recover a shard that owner row revision `owner_row` assigns to this
 * scheduler.
 * `clean` says that the previous owner released it and renews no leases.
 */
struct shard_server *shard_server_open(struct sched_daemon *d, int shard,
				       int64_t epoch, int64_t owner_row,
				       bool clean);

/* A read sent at `sent_ms` showed that the shard is still owned here. */
void shard_server_confirm_owned(struct shard_server *srv, int64_t sent_ms);

/* Handles a call from an entry; replies by sched_reply. */
void shard_server_call(struct shard_server *srv, uint64_t link,
		       const struct msg *m);

/* Applies the new view of the scheduler. */
void shard_server_view_changed(struct shard_server *srv);

/*
 * Takes no new calls. Returns true once all entries are committed, so that the
 * shard may be released.
 */
bool shard_server_drain(struct shard_server *srv);

/* Returns whether the shard or its journal is lost, so that the shard must be
 * opened again. */
bool shard_server_failed(const struct shard_server *srv);

/*
 * Stops serving. The caller frees it once shard_server_idle returns true: no
 * request to a worker or the store is in progress.
 */
void shard_server_close(struct shard_server *srv);
bool shard_server_idle(const struct shard_server *srv);
void shard_server_free(struct shard_server *srv);

int64_t shard_server_owner_row(const struct shard_server *srv);
int64_t shard_server_epoch(const struct shard_server *srv);

/* NULL while not serving. */
const struct shard *shard_server_shard(const struct shard_server *srv);

#endif
