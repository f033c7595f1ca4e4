/* Look-ups in one version of the operators' configuration. */
#include "coordination/catalog.h"

#include <string.h>
#include <strings.h>

const struct catalog_queue *catalog_find_queue(const struct catalog *c,
					       const char *name)
{
	for (int32_t i = 0; c && i < c->n_queues; i++) {
		if (!strcmp(c->queues[i].name, name))
			return &c->queues[i];
	}
	return NULL;
}

const struct catalog_pool *catalog_find_pool(const struct catalog *c,
					     const char *name)
{
	for (int32_t i = 0; c && i < c->n_pools; i++) {
		if (!strcmp(c->pools[i].name, name))
			return &c->pools[i];
	}
	return NULL;
}

const struct org *catalog_find_org(const struct catalog *c, const char *name)
{
	for (int32_t i = 0; c && i < c->n_orgs; i++) {
		if (!strcmp(c->orgs[i].name, name))
			return &c->orgs[i];
	}
	return NULL;
}

/* Ignores case and a port at the end of the Host header. */
static bool host_matches(const char *configured, const char *host)
{
	size_t n = strcspn(host, ":");

	return strlen(configured) == n && !strncasecmp(configured, host, n);
}

const struct catalog_queue *
catalog_find_route(const struct catalog *c, const char *host, const char *path)
{
	const struct catalog_queue *best = NULL;
	size_t best_len = 0;

	for (int32_t i = 0; c && i < c->n_queues; i++) {
		const struct catalog_queue *q = &c->queues[i];
		size_t len = strlen(q->prefix);

		if (best && len <= best_len)
			continue;
		if (strncmp(q->prefix, path, len) ||
		    !host_matches(q->host, host))
			continue;
		best = q;
		best_len = len;
	}
	return best;
}
