/* Internals shared by the shard_ctl*.c files. */
#ifndef SHARD_CTL_INT_H
#define SHARD_CTL_INT_H

#include "fleet/read_ahead.h"
#include "fleet/shard_ctl.h"
#include "state/page_size.h"
#include "state/row_watch.h"

struct shard_ctl {
	struct fleet *f;
	int32_t shard;
	struct owner *owner;
	bool is_owner;
	/* The rows of the shard while it is loaded, then its new jobs. Also set
	 * while another VM owns the shard and names this one as successor. */
	struct read_ahead *ahead;
	/* The list of workers, id to struct sched_worker_row, and when it was
	 * last known to be whole (-1: never); only before the claim. */
	GHashTable *ahead_workers;
	int64_t ahead_list_ms;
	/* All fields below are valid only while `is_owner` is set. */
	void *term_ctx; /* talloc parent of what ends with the ownership */
	struct sched sched;
	struct wkr_links *links;
	/* NULL for shards other than SHARD_CTL_UPKEEP_SHARD. */
	struct upkeep_runner *upkeep;
	/* Job id to json_t; an entry is removed once its job is loaded. */
	GHashTable *loaded_progress;
	struct read_ahead_size was_ahead; /* what was read before the claim */
	/* The store's clock when the previous owner stopped starting tasks; 0:
	 * unknown. */
	int64_t prev_starts_end_ms;
	int64_t released_ms; /* since when no task is started */
	json_t *handover; /* left by the previous owner; NULL: none */
	int64_t acquired_version; /* store version of our claim */
	int64_t jobs_version; /* all jobs up to it are known */
	int64_t jobs_store_ms; /* store's clock when that was the newest */
	bool roster_loaded; /* until then its rows must not be written */
	bool jobs_loaded;
	bool workers_synced;
	bool active; /* all is loaded, and tasks are being scheduled */
	bool releasing; /* no task is started any more */
	struct tmr *place_timer; /* also used to retry reads while loading */
	int64_t placement_took_ms; /* duration of the last placement pass */
	struct tmr *tick_timer;
	int64_t last_tick_ms;
	int64_t mean_tick_delay_ms; /* moving mean */
	/* Share of ticks at which the shard was not loaded yet or starts were
	 * held back, in thousandths; a moving mean. */
	int64_t mean_behind_milli;
	int64_t sought_ms; /* when a stronger VM was last looked for */
	int64_t last_cleanup_ms;
	bool cleanup_running; /* a transaction that removes rows is open */
	int32_t cleanup_part; /* the part of the next cleanup */
	GPtrArray *row_texts; /* keys and values of the open commit */
	GHashTable *refusals; /* job id to struct refusal */
	GPtrArray *removed_ids; /* jobs whose progress rows are to be removed */
	bool collected_all; /* the open commit holds all dirty rows */
	/* When learned interference was last put into a commit, and the value
	 * of interfere.learned at that time. */
	int64_t learned_saved_ms;
	int64_t learned_saved;
};

/* Interval at which leases, rounds and stalled tasks are checked, in ms. */
#define SHARD_CTL_TICK_MS 100
/* The shard whose owner carries out upkeep waves. */
#define SHARD_CTL_UPKEEP_SHARD 0

/* Workers that may run tasks of the shard, in SCHED_ROSTER_ROWS rows a
 * shard. */
#define SHARD_CTL_ROSTER_TABLE "roster"
/* What the owner learned about interference between tasks; one row a shard. */
#define SHARD_CTL_LEARNED_TABLE "learned"
#define SHARD_CTL_LEARNED_KEY "interference"

/* Starts reading the rows of the shard. */
void shard_ctl_load(struct shard_ctl *sc);
/* Callback of struct owner_ops: another owner names this VM as its successor,
 * or no longer does. */
void shard_ctl_named(bool named, void *priv);
/* Frees what was read in advance, or what the owner still follows. */
void shard_ctl_drop_ahead(struct shard_ctl *sc);
/* Changes to the list of workers before the claim. */
void shard_ctl_ahead_listed(struct shard_ctl *sc,
			    const struct sched_worker_row *row);
void shard_ctl_ahead_unlisted(struct shard_ctl *sc, const char *id);
void shard_ctl_ahead_list_synced(struct shard_ctl *sc);
/* Starts scheduling if jobs, workers and catalog are all loaded. */
void shard_ctl_maybe_activate(struct shard_ctl *sc);
/* Schedules a placement pass unless one is pending. */
void shard_ctl_place_soon(struct shard_ctl *sc);

/* Callbacks of struct owner_ops for commits; `priv` is the shard_ctl. */
int32_t shard_ctl_collect(struct rows_change *out, int32_t max, void *priv);
void shard_ctl_committed(void *priv);
void shard_ctl_fill_row(struct owner_row *row, void *priv);
char *shard_ctl_handover(void *ctx, void *priv);
/* Removes the rows of jobs that ended long ago, and of old refusals, from one
 * part in each interval. */
void shard_ctl_cleanup(struct shard_ctl *sc, int64_t now_ms);
/* Returns whether the row of the jobs table is a refusal, which it notes to
 * remove later. */
bool shard_ctl_note_refusal(struct shard_ctl *sc, const struct rows_row *row);

#endif
