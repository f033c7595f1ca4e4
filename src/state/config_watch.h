/* Follows the configuration and the VM list in the platform's service. */
#ifndef CONFIG_WATCH_H
#define CONFIG_WATCH_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

#include "base/clk.h"
#include "state/sto.h"

/* Changes kept in the store for those that follow one by one. */
#define CONFIG_LOG_ROWS 4096

#define CONFIG_REVISION_KEY "cfg/rev"

struct config_watch;

struct config_watch_ops {
	/* The store, asked at `sent_ms`, showed this revision. */
	void (*revision_read)(int64_t sent_ms, int64_t revision, void *priv);
	/* Rows or VM list changed; config_watch_rows and config_watch_vms give
	 * the new. */
	void (*changed)(void *priv);
};

struct config_watch *config_watch_start(void *ctx, struct tevent_context *ev,
					struct sto *sto, const struct clk *clk,
					int64_t poll_ms,
					const struct config_watch_ops *ops,
					void *priv);

/* Somebody says that this revision exists: look at once. */
void config_watch_hint(struct config_watch *s, int64_t revision);

/* Highest revision applied; -1 before the first read. Never goes back. */
int64_t config_watch_revision(const struct config_watch *s);

/*
 * Row revision of CONFIG_REVISION_KEY at the applied revision, as a condition
 * for transactions; -1 if a newer one has been seen.
 */
int64_t config_watch_revision_row(const struct config_watch *s);

/* Object of key to value, and array of VMs; borrowed. */
const json_t *config_watch_rows(const struct config_watch *s);
const json_t *config_watch_vms(const struct config_watch *s);

/* Key of the ring row for one revision. */
void config_log_key(int64_t revision, char *key, size_t size);

#endif
