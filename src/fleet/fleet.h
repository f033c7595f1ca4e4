/* One VM's process: takes jobs in, and schedules the shards that it owns. */
#ifndef FLEET_H
#define FLEET_H

#include <tevent.h>

#include "base/clk.h"
#include "coordination/sched.h"
#include "fleet/vms.h"
#include "fleet/wkr.h"
#include "state/owner.h"
#include "state/rows.h"
#include "transport/tmr.h"

#define FLEET_SHARDS_MAX 16

/* Settings of the process; times in ms. */
struct fleet_settings {
	char vm[OWNER_VM_MAX];
	char life[32];
	char domain[CATALOG_NAME_MAX];
	char region[CATALOG_NAME_MAX];
	int32_t shards;
	struct sched_limits sched;
	struct owner_limits owner;
	int64_t keep_ended_ms; /* ended jobs stay known this long */
	int64_t row_bytes_max; /* longest value of a row */
	/* After a change of owner no order about whole VMs goes out for this
	 * long: the platform may not tell two owners' orders apart. */
	int64_t order_pause_ms;
};

/* A wave of upkeep that operators asked for. */
struct fleet_wave {
	struct upkeep_wave wave;
	int64_t seen_ms; /* when we first saw it */
};

/* The list of workers, which only an owner reads. */
struct fleet_directory_ops {
	/* Begins or ends calls of fleet_worker_seen and fleet_worker_gone. */
	void (*follow)(void *self, bool on);
};

struct fleet_directory {
	const struct fleet_directory_ops *ops;
	void *self;
};

struct shard_ctl;
struct job_api;

struct fleet {
	struct fleet_settings set;
	struct tevent_context *ev;
	struct tmr_set *timers;
	const struct clk *clk;
	struct rows rows;
	struct wkr wkr;
	struct fleet_directory directory;
	struct vms vms; /* without functions: no such orders here */
	GHashTable *waves; /* number to struct fleet_wave */
	const struct catalog *catalog; /* NULL: none yet */
	GHashTable *domains_out;
	struct shard_ctl *shard_ctls[FLEET_SHARDS_MAX];
	struct job_api *job_api;
	int64_t store_offset_ms; /* store's clock less ours */
	bool store_clock_known;
	bool stopping;
	int64_t stop_ms; /* when that began */
};

/*
 * Fills in what follows from the rest. `processor_share` is this VM's part of
 * a core: stronger VMs claim shards first.
 */
void fleet_default_limits(struct fleet_settings *s, double processor_share);

/* The outside world, as tables of functions. */
struct fleet_tables {
	struct rows rows;
	struct wkr wkr;
	struct fleet_directory directory;
	struct vms vms; /* without functions: no such orders here */
};

/* The owner keeps `f` until the process ends. */
void fleet_init(struct fleet *f, const struct fleet_settings *set,
		struct tevent_context *ev, struct tmr_set *timers,
		const struct clk *clk, const struct fleet_tables *tables);

/* Begins to take part. */
void fleet_start(struct fleet *f);

/* Takes over `catalog`, which is a talloc child of anything. */
void fleet_set_catalog(struct fleet *f, struct catalog *catalog);
void fleet_set_domain_out(struct fleet *f, const char *domain, bool out);

/* Operators ask for a wave of upkeep, and withdraw it. Texts are copied. */
void fleet_set_wave(struct fleet *f, const struct upkeep_wave *wave);
void fleet_drop_wave(struct fleet *f, int64_t number);

/* From the list of workers. `synced`: all that it holds were seen. */
void fleet_worker_seen(struct fleet *f, const struct sched_worker_row *row);
void fleet_worker_gone(struct fleet *f, const char *id);
void fleet_workers_synced(struct fleet *f);

/* The store's clock was read. */
void fleet_store_clock(struct fleet *f, int64_t store_now_ms);

/* Has the store failed us long enough to count on more of the same? */
bool fleet_store_away(const struct fleet *f);
/* Should callers be sent to this VM? */
bool fleet_ready(const struct fleet *f);

/*
 * Hands all shards over, and is no longer ready. The process will be killed
 * after `grace_ms`.
 */
void fleet_stop(struct fleet *f, int64_t grace_ms);
/* May the process end now? `open` requests are not yet answered. */
bool fleet_may_end(const struct fleet *f, uint32_t open, int64_t grace_ms);

int32_t fleet_shard_of(const struct fleet *f, const char *job_id);

/* Counters and histograms as text, one "name value" a line. */
char *fleet_metrics(struct fleet *f, void *ctx);

#endif
