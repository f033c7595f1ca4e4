/*
 * Keeps a copy of the configuration and of the VM list up to date by polling
 * the platform. Used by gd-entry and gd-sched.
 */
#ifndef CONFIG_WATCH_H
#define CONFIG_WATCH_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

#include "base/clk.h"
#include "state/sto.h"

/* Number of the latest changes that the store keeps, one row each. */
#define CONFIG_LOG_ROWS 4096

#define CONFIG_REVISION_KEY "cfg/rev"

struct config_watch;

struct config_watch_ops {
	/* The answer to a read sent at `sent_ms`: the newest revision. */
	void (*revision_read)(int64_t sent_ms, int64_t revision, void *priv);
	/* The rows or the VM list changed. */
	void (*changed)(void *priv);
};

struct config_watch *config_watch_start(void *ctx, struct tevent_context *ev,
					struct sto *sto, const struct clk *clk,
					int64_t poll_ms,
					const struct config_watch_ops *ops,
					void *priv);

/* Polls at once if `revision`, learned elsewhere, is newer than ours. */
void config_watch_hint(struct config_watch *w, int64_t revision);

/* Returns the applied revision, which never decreases; -1 before any read. */
int64_t config_watch_revision(const struct config_watch *w);

/*
 * Returns the row revision of CONFIG_REVISION_KEY at the applied revision, for
 * use as a condition of transactions; -1 if a newer revision has been seen.
 */
int64_t config_watch_revision_row(const struct config_watch *w);

/* Object of key to value, and array of VMs; borrowed until the next change. */
const json_t *config_watch_rows(const struct config_watch *w);
const json_t *config_watch_vms(const struct config_watch *w);

/* Writes the key of the row that holds the change of `revision`. Keys repeat
 * after CONFIG_LOG_ROWS revisions. */
void config_log_key(int64_t revision, char *key, size_t size);

#endif
