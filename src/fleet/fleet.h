/*
 * One gd-fleet process, of which each VM runs one. It accepts jobs from callers
 * (job_api), competes for the ownership of shards and runs the scheduler of
 * each shard that it owns (shard_ctl). The platform's main() supplies the
 * settings and the interfaces, and feeds in what changes outside.
 */
#ifndef FLEET_H
#define FLEET_H

#include <tevent.h>

#include "base/clk.h"
#include "fleet/list_view.h"
#include "coordination/sched.h"
#include "fleet/access.h"
#include "fleet/relay_table.h"
#include "fleet/vms.h"
#include "fleet/wkr.h"
#include "fleet/wkr_links.h"
#include "state/owner.h"
#include "state/rows.h"
#include "transport/tmr.h"

#define FLEET_SHARDS_MAX 16

/* Settings of the process; times in ms. */
struct fleet_settings {
	char vm[OWNER_VM_MAX];
	char incarnation[32]; /* identifies this run of the VM */
	char domain[CATALOG_NAME_MAX];
	char region[CATALOG_NAME_MAX];
	int32_t shards;
	struct sched_limits sched;
	struct owner_limits owner;
	struct wkr_capacity capacity;
	struct relay_vm_row relay; /* this VM as a relay; port 0: it is none */
	int64_t relay_memory_bytes; /* for frames of others; 0: no limit */
	int64_t ended_retention_ms; /* how long ended jobs stay known */
	int64_t row_bytes_max; /* maximum length of a row's value */
	int64_t job_memory_bytes; /* for a shard's jobs at its owner; 0: any */
	/* Limit of the rows that a named successor reads in advance; 0: that of
	 * all VMs. */
	int64_t read_ahead_bytes_max;
	/* A new owner sends no upkeep command for this long, since the
	 * platform may not tell its commands from its predecessor's. */
	int64_t upkeep_holdoff_ms;
	/* Bounds on changes of callers' keys and of caps; they apply only if
	 * there are organisations. A call or a start is handled by a version
	 * that is in the store for `apply_ms`; 0: no bound. */
	int64_t apply_ms;
	/* With `strict_revoke`, no job is stored for a key that was removed
	 * `revoke_ms` ago, also if the store cannot be reached. */
	bool strict_revoke;
	int64_t revoke_ms;
};

/* An upkeep wave requested by operators. */
struct fleet_wave {
	struct upkeep_wave wave;
	int64_t first_seen_ms; /* when this process first saw it */
};

/* The list of workers, read only by processes that own a shard. */
struct fleet_directory_ops {
	/* Adds a subscription, or ends one if `on` is false. While there is
	 * any, changes are reported by fleet_worker_listed and
	 * fleet_worker_unlisted. After a new one all workers are reported
	 * again, then fleet_workers_synced is called. */
	void (*subscribe)(void *self, bool on);
};

/* The table that the list is read from, and whether two values of a row of it
 * differ only in what changes all the time. */
struct fleet_list {
	const char *table;
	list_view_same same;
};

struct fleet_directory {
	const struct fleet_directory_ops *ops;
	void *self;
};

struct shard_ctl;
struct job_api;
struct relay_client;
struct relay_server;

struct fleet {
	struct fleet_settings set;
	struct tevent_context *ev;
	struct tmr_set *timers;
	const struct clk *clk;
	struct rows rows;
	struct wkr wkr;
	struct fleet_directory directory;
	struct vms vms; /* `ops` is NULL if VMs get no upkeep commands */
	const struct traffic *http_traffic; /* as in fleet_interfaces */
	const struct fleet_list *list;
	GHashTable *waves; /* number to struct fleet_wave */
	const struct catalog *catalog; /* NULL until the first one is set */
	int64_t config_synced_ms; /* when all changes of it were last known */
	/* When the call to the store that confirmed it last was sent. */
	int64_t config_confirmed_ms;
	struct access_counts access;
	GHashTable *domains_out; /* names of domains out of service */
	struct shard_ctl *shard_ctls[FLEET_SHARDS_MAX];
	struct job_api *job_api;
	/* NULL if this VM neither relays nor uses relays. */
	struct relay_client *relay_client;
	struct relay_server *relay_server;
	struct relay_entry *relay_entry;
	int64_t store_offset_ms; /* store's clock minus our monotonic clock */
	bool store_clock_known;
	bool stopping;
	int64_t stop_ms; /* when fleet_shut_down was called */
};

/*
 * Derives the remaining limits from the settings already filled in.
 * `cpu_share` is the number of cores that this process may use: VMs with more
 * claim shards first.
 */
void fleet_derive_limits(struct fleet_settings *s, double cpu_share);

/* Interfaces to the outside. */
struct fleet_interfaces {
	struct rows rows;
	struct wkr wkr;
	struct fleet_directory directory;
	struct vms vms; /* `ops` is NULL if VMs get no upkeep commands */
	const struct traffic *http_traffic; /* NULL: not in the metrics */
	/* NULL: not shared with owners; else kept. */
	const struct fleet_list *list;
};

/* The caller keeps `f` until the process ends. */
void fleet_init(struct fleet *f, const struct fleet_settings *set,
		struct tevent_context *ev, struct tmr_set *timers,
		const struct clk *clk,
		const struct fleet_interfaces *interfaces);

/* Starts the job API, the relay, and one controller for each shard. Without its
 * port the VM works on, but relays nothing. */
void fleet_start(struct fleet *f);

/* Takes ownership of `catalog`, which may have any talloc parent. Frees it if
 * it is older than the current one. */
void fleet_set_catalog(struct fleet *f, struct catalog *catalog);
/* Called when the store has answered that no other change of the configuration
 * is there. */
void fleet_config_synced(struct fleet *f);
/* Says that the store's call that confirmed it was sent at this time of the
 * monotonic clock; call after fleet_config_synced, which assumes now. */
void fleet_config_confirmed(struct fleet *f, int64_t sent_ms);
/* Returns true if there is a configuration and the store has confirmed it
 * recently. Calls must not be answered by one that may be outdated. */
bool fleet_config_is_current(const struct fleet *f);
/* Takes a failure domain out of service or puts it back. */
void fleet_set_domain_out(struct fleet *f, const char *domain, bool out);

/* Operators requested or withdrew an upkeep wave. Texts are copied. */
void fleet_add_wave(struct fleet *f, const struct upkeep_wave *wave);
void fleet_remove_wave(struct fleet *f, int64_t number);

/* Changes to the list of workers. */
void fleet_worker_listed(struct fleet *f, const struct sched_worker_row *row);
void fleet_worker_unlisted(struct fleet *f, const char *id);
/* Called once all workers of the list have been reported. */
void fleet_workers_synced(struct fleet *f);

/* Reports the store's clock as just read. */
void fleet_set_store_clock(struct fleet *f, int64_t store_now_ms);

/* Returns true if the store has served nothing for so long that requests
 * should fail at once. */
bool fleet_store_unavailable(const struct fleet *f);
/* Returns true if the load balancer should send requests to this VM. */
bool fleet_is_ready(const struct fleet *f);

/*
 * Starts to release all shards; fleet_is_ready returns false from now on. The
 * platform kills the process after `grace_ms`.
 */
void fleet_shut_down(struct fleet *f, int64_t grace_ms);
/*
 * Returns true if the process may exit. `open` is the number of requests not
 * yet answered, `grace_ms` the same as for fleet_shut_down.
 */
bool fleet_can_exit(const struct fleet *f, uint32_t open, int64_t grace_ms);

/* Returns the interface by which a watch of the list of workers reads it. */
struct rows fleet_list_rows(struct fleet *f);

int32_t fleet_shard_of(const struct fleet *f, const char *job_id);

/* Returns all counters and histograms, one "name value" a line; the text is a
 * talloc child of `ctx`. */
char *fleet_metrics(struct fleet *f, void *ctx);

#endif
