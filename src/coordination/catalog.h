/*
 * The operators' configuration of job queues and worker pools. It is decoded
 * by the platform adapter and read by the scheduler and the job API.
 */
#ifndef CATALOG_H
#define CATALOG_H

#include <stdbool.h>
#include <stdint.h>

#include "org/org.h"
#include "org/org_keys.h"

#define CATALOG_NAME_MAX 64
#define CATALOG_PATH_MAX 128

/* A queue accepts jobs for the workers of one pool. */
struct catalog_queue {
	char name[CATALOG_NAME_MAX];
	char host[CATALOG_NAME_MAX];
	char prefix[CATALOG_PATH_MAX];
	char pool[CATALOG_NAME_MAX];
	int32_t priority; /* lower runs first and may evict higher */
	int32_t attempts; /* a job fails after this many failures of a task */
	/* A job is in time if it ends within target_factor_milli / 1000 times
	 * the length of its longest chain of steps, plus target_offset_ms. */
	int64_t target_factor_milli;
	int64_t target_offset_ms;
	bool uses_policy; /* the policy service chooses the allowed workers */
	bool is_public; /* callers need no key */
};

struct catalog_pool {
	char name[CATALOG_NAME_MAX];
	bool enforces_capacity; /* its workers reject tasks that don't fit */
	char health_path[CATALOG_PATH_MAX];
};

/* One version of the configuration; immutable once built. */
struct catalog {
	int64_t version;
	int32_t n_queues;
	int32_t n_pools;
	struct catalog_queue *queues;
	struct catalog_pool *pools;
	/* Whether callers belong to organisations; if not, there are none. */
	bool has_orgs;
	int32_t n_orgs;
	struct org *orgs;
	struct org_keys *org_keys; /* of `orgs` */
	int64_t body_max_bytes; /* of a caller's request; 0: not given */
};

/* Return the entry of that name, or NULL. */
const struct catalog_queue *catalog_find_queue(const struct catalog *c,
					       const char *name);
const struct catalog_pool *catalog_find_pool(const struct catalog *c,
					     const char *name);
const struct org *catalog_find_org(const struct catalog *c, const char *name);

/* Returns the queue of this host with the longest prefix of `path`, or NULL.
 * A port in `host` is ignored. */
const struct catalog_queue *
catalog_find_route(const struct catalog *c, const char *host, const char *path);

#endif
