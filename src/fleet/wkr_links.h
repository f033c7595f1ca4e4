/*
 * The owner's side of its contact with workers. Each worker has a link: it
 * long-polls the worker for its status, which also renews its lease, and sends
 * it queued commands. Owned by shard_ctl, for as long as it owns the shard.
 */
#ifndef WKR_LINKS_H
#define WKR_LINKS_H

#include "base/clk.h"
#include "coordination/sched.h"
#include "fleet/wkr.h"
#include "transport/tmr.h"

/* A call to a worker takes this long at most, in ms, its late answer included.
 */
#define WKR_LINKS_CALL_MAX_MS 4700

struct wkr_links;

struct wkr_links_ops {
	/* The scheduler has new state of a worker: tasks may have ended, and
	 * room may be free. `w` is NULL if there was no report. */
	void (*changed)(const struct sched_worker *w, void *priv);
};

/* What this VM may use to send commands; 0: unknown, and no limit. */
struct wkr_capacity {
	int64_t link_kbit_s;
	int64_t cpu_milli; /* thousandths of a core */
};

/* Returns a talloc child of `ctx`, which must be freed before `sched`. */
struct wkr_links *wkr_links_start(void *ctx, struct sched *sched,
				  const struct wkr *wkr, struct tmr_set *timers,
				  const struct clk *clk,
				  const struct wkr_capacity *capacity,
				  const struct wkr_links_ops *ops, void *priv);

/*
 * Starts polling, once the shard is loaded. Before that the scheduler could not
 * tell its own tasks from others in a worker's answer.
 */
void wkr_links_enable(struct wkr_links *links);
/* Stops commands and polls. Answers to those in flight are still handled. */
void wkr_links_quiesce(struct wkr_links *links);

/*
 * Returns what start commands may be added now. More would wait for the link or
 * the processor, and time out. Not above 0 if there are too many already.
 */
struct sched_start_room wkr_links_start_room(struct wkr_links *links);
/* `bytes`: what the command takes of that, see sched_start_bytes(); not 0. */
void wkr_links_start_task(struct wkr_links *links, const char *worker,
			  const struct sched_ref *ref, int64_t bytes);
void wkr_links_stop_task(struct wkr_links *links, const char *worker,
			 const struct sched_ref *ref);
/* Limits the task to `percent` of its full speed. */
void wkr_links_pace_task(struct wkr_links *links, const char *worker,
			 const struct sched_ref *ref, int32_t percent);
/* Polls the worker as soon as possible. */
void wkr_links_poll(struct wkr_links *links, struct sched_worker *w);
/* Task ends were committed; polls acknowledge them at once. */
void wkr_links_committed(struct wkr_links *links);

/* Counters of the metrics. */
struct wkr_links_counts {
	int64_t polls;
	int64_t polls_failed; /* without a usable answer */
	int64_t commands;
	int64_t starts_lost; /* sent, and not answered or too late */
	/* Of the window of starts: size relative to the initial one, in
	 * thousandths, and the queue by which it was last changed, in ms. */
	int64_t window_milli;
	int64_t window_queue_ms;
};

const struct wkr_links_counts *wkr_links_counts(const struct wkr_links *links);

#endif
