/*
 * State shared by the modules of the scheduler daemon. A scheduler claims
 * shards in the table service and runs a shard server for each that it owns.
 */
#ifndef SCHED_DAEMON_H
#define SCHED_DAEMON_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clk.h"
#include "base/hist.h"
#include "coordination/ownership.h"
#include "coordination/view.h"
#include "protocol/msg.h"
#include "protocol/settings.h"
#include "state/shard.h"
#include "state/sto.h"
#include "state/config_watch.h"
#include "transport/htc.h"
#include "transport/lnk.h"

struct shard_server;

/* Counters written by print_stats. */
struct sched_stats {
	struct hist commit_us;
	struct hist batch_entries; /* entries of a batch; not a duration */
	int64_t syncs;
	int64_t sync_bytes;
	int64_t sync_failures;
	int64_t calls;
};

struct sched_daemon {
	struct settings settings;
	const struct clk *clk;
	struct tevent_context *ev;
	struct htc *http;
	struct htc *worker_http;
	struct sto *sto;
	struct config_watch *config;
	struct view *view;
	struct ownership ownership;
	int64_t incarnation;
	int64_t live_counter; /* in the own liveness row */
	int64_t scan_sent_ms; /* when the last scan of the rows was sent */
	bool scanning;
	bool owner_write_pending; /* a claim or release is in progress */
	int64_t config_read_ms; /* sending of the last read; -1: none */
	struct shard_server
		*servers[OWNERSHIP_SHARDS_MAX]; /* NULL: not served */
	GPtrArray *closing_servers; /* closed servers; freed when idle */
	struct lnk_srv *listener;
	GHashTable *links; /* link id to link */
	GHashTable *link_ids; /* link to link id */
	uint64_t next_link_id;
	struct sched_stats stats;
	bool stopping;
};

static inline int64_t sched_now_ms(const struct sched_daemon *d)
{
	return clk_mono_ms(d->clk);
}

/* Sends the reply to a call; does nothing if the link is closed. */
void sched_reply(struct sched_daemon *d, uint64_t link, uint64_t id,
		 int64_t status, const char *text);

#endif
