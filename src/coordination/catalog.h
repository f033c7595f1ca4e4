/* What operators configure: queues of jobs, pools of workers, domains out. */
#ifndef CATALOG_H
#define CATALOG_H

#include <stdbool.h>
#include <stdint.h>

#define CATALOG_NAME_MAX 64
#define CATALOG_PATH_MAX 128

/* A queue takes jobs and names the pool whose workers run them. */
struct catalog_queue {
	char name[CATALOG_NAME_MAX];
	char host[CATALOG_NAME_MAX];
	char prefix[CATALOG_PATH_MAX];
	char pool[CATALOG_NAME_MAX];
	int32_t priority; /* 0 first; it may evict later ones */
	int32_t attempts; /* failures of one task that fail its job */
	int64_t slack_milli; /* response-time target: times the chain, ... */
	int64_t aim_ms; /* ... and this much more */
	bool advised; /* a policy service says which workers may be used */
};

struct catalog_pool {
	char name[CATALOG_NAME_MAX];
	bool enforces_capacity; /* its workers refuse what doesn't fit */
	char health_path[CATALOG_PATH_MAX];
};

/* One version of the configuration, never changed once built. */
struct catalog {
	int64_t version;
	int32_t n_queues;
	int32_t n_pools;
	struct catalog_queue *queues;
	struct catalog_pool *pools;
};

/* NULL if there is none. */
const struct catalog_queue *catalog_find_queue(const struct catalog *c,
					       const char *name);
const struct catalog_pool *catalog_find_pool(const struct catalog *c,
					     const char *name);

/* The queue of this host with the longest prefix that `path` begins with. */
const struct catalog_queue *
catalog_find_route(const struct catalog *c, const char *host, const char *path);

#endif
