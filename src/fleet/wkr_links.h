/* The owner's contact with its workers: looks, leases, orders in turn. */
#ifndef WKR_LINKS_H
#define WKR_LINKS_H

#include "base/clk.h"
#include "coordination/sched.h"
#include "fleet/wkr.h"
#include "transport/tmr.h"

struct wkr_links;

struct wkr_links_ops {
	/* A look was taken in: tasks may have ended, room may be free. */
	void (*changed)(void *priv);
};

/* A talloc child of `ctx`, which must go before `sched` does. */
struct wkr_links *wkr_links_start(void *ctx, struct sched *sched,
				  const struct wkr *wkr, struct tmr_set *timers,
				  const struct clk *clk,
				  const struct wkr_links_ops *ops, void *priv);

/* Until then looks are put off: what runs can't be told from what doesn't. */
void wkr_links_enable(struct wkr_links *links);
/* No more orders or looks; answers under way are still taken in. */
void wkr_links_quiesce(struct wkr_links *links);

void wkr_links_start_task(struct wkr_links *links, const char *worker,
			  const struct sched_ref *ref);
void wkr_links_stop_task(struct wkr_links *links, const char *worker,
			 const struct sched_ref *ref);
void wkr_links_pace_task(struct wkr_links *links, const char *worker,
			 const struct sched_ref *ref, int32_t percent);
void wkr_links_poll(struct wkr_links *links, struct sched_worker *w);
/* Ends that were waiting for it are in the store now. */
void wkr_links_committed(struct wkr_links *links);

/* Counters for the metrics page. */
struct wkr_links_counts {
	int64_t polls;
	int64_t polls_failed;
	int64_t commands;
};

const struct wkr_links_counts *wkr_links_counts(const struct wkr_links *links);

#endif
