/* Settings files of the daemons gd-entry and gd-sched, as JSON objects. */
#ifndef SETTINGS_H
#define SETTINGS_H

#include <stdint.h>

#include "base/err.h"

#define SETTINGS_STR_MAX 128

/* Settings of both daemons; a file holds only the keys of its daemon. The field
 * names are the keys. */
struct settings {
	char id[48];
	char ip[40];
	char domain[48];
	char region[48];
	char platform_url[SETTINGS_STR_MAX];
	int64_t http_port;
	int64_t peer_port;
	int64_t advertised_port; /* sent to peers; 0: same as peer_port */
	int64_t store_timeout_ms; /* of each request to the table service */
	int64_t poll_ms; /* interval of reads of the store */
	int64_t shards; /* of the batch scheduler, in all */
	int64_t memory_mib; /* of this process; 0: half of the machine's */
	int64_t links_max; /* accepted from other processes */
	int64_t links_mib; /* memory for their incomplete messages */
	int64_t log_priority; /* syslog; less urgent events are dropped */
	/* gd-entry */
	int64_t door_threads; /* threads that serve HTTP */
	int64_t connections_max; /* callers' connections of one thread */
	int64_t bodies_mib; /* memory for callers' bodies, of one thread */
	int64_t groups_per_domain; /* of targets, per pool */
	int64_t permit_ms; /* validity of a permit */
	int64_t peers_only_max_ms; /* longest time without a read of the
				    * store */
	int64_t heartbeat_ms; /* interval of pings to peers */
	int64_t silence_ms; /* time without an answer before reconnecting */
	int64_t expel_ms; /* time without an answer until a member is removed */
	int64_t queue_max; /* most requests waiting for the slots of a group */
	int64_t retry_percent; /* retry budget, in percent of all requests */
	int group_choice; /* enum settings_group_choice */
	/* gd-sched */
	int64_t lease_ms; /* lease of a shard */
	int64_t worker_lease_ms; /* lease that a worker's tasks run under */
	int64_t worker_sync_ms; /* interval of requests to a worker */
	int64_t renew_max_ms; /* how long worker leases are renewed after the
			       * last contact to the store */
	int64_t start_age_max_ms; /* a start command is void when older */
	int64_t commit_ms; /* interval of commits to the journal */
	int64_t snapshot_batches; /* journal length that starts a snapshot */
	int64_t claim_retention_s; /* how long request ids are kept after the
				    * end of their job */
	int64_t shards_held_max; /* most shards of one process */
};

/* How gd-entry chooses between the target groups of a pool: the less loaded of
 * two random ones, or any one. */
enum settings_group_choice { SETTINGS_TWO_CHOICES, SETTINGS_RANDOM };

enum settings_kind { SETTINGS_ENTRY, SETTINGS_SCHED };

/* Returns the port at which peers can reach this process. */
int64_t settings_advertised_port(const struct settings *s);

/* Reads and validates a file. Returns false with all errors in `e` if it is
 * invalid. */
bool settings_load(const char *path, enum settings_kind kind,
		   struct settings *out, struct err *e);

#endif
