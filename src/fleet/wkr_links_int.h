/* Internals shared by wkr_links.c and wkr_commands.c. */
#ifndef WKR_LINKS_INT_H
#define WKR_LINKS_INT_H

#include "fleet/start_window.h"
#include "fleet/wkr_links.h"

enum wkr_command_kind { WKR_CMD_START, WKR_CMD_STOP, WKR_CMD_PACE };

/* The contact with one worker. */
struct wkr_link {
	struct wkr_links *links;
	char id[SCHED_ID_MAX];
	struct tmr *poll_timer;
	struct tmr *ack_timer;
	/* struct command of wkr_commands.c, not sent yet; stops and changes of
	 * pace, and starts in the order of their ranks. */
	GQueue commands;
	GQueue starts;
	int32_t commands_in_flight;
	int32_t starts_in_flight;
	int32_t polls_in_flight; /* without the late ones */
	int32_t late_polls;
	int64_t poll_fence; /* highest fence token of the polls in flight */
	int64_t last_poll_ms; /* when the last poll ended */
	int32_t poll_failures; /* polls in a row without answer */
	bool poll_requested; /* poll even if the worker is idle */
};

struct wkr_links {
	struct sched *sched;
	struct wkr wkr;
	struct tmr_set *timers;
	const struct clk *clk;
	const struct wkr_links_ops *ops;
	void *priv;
	GHashTable *table; /* worker id to struct wkr_link */
	bool enabled;
	bool quiesced;
	struct start_window window;
	struct wkr_links_counts counts;
	struct wkr_call *calls; /* in flight */
};

/* A call in flight. If the links are freed first, `links` is set to NULL and
 * the answer is ignored. */
struct wkr_call {
	struct wkr_links *links;
	struct wkr_call *next;
	struct wkr_call **prev_next; /* the pointer that points to this call */
	struct wkr_link *link;
	struct sched_ref ref;
	enum wkr_command_kind kind;
	int64_t start_bytes; /* for WKR_CMD_START; else 0 */
	struct start_window_sent start_sent;
	int64_t sent_ms;
	int64_t fence;
	int64_t acked_seq; /* as in struct sched_report */
	struct tmr *late_timer; /* of a poll that is not late yet */
};

int64_t wkr_links_now_ms(const struct wkr_links *links);
/* Returns the link with the worker of this id; makes it if there is none. */
struct wkr_link *wkr_links_get(struct wkr_links *links, const char *id);
/* Returns NULL if the scheduler doesn't know the worker any more. */
struct sched_worker *wkr_link_worker(const struct wkr_link *wl);
struct wkr_target wkr_link_target(const struct wkr_link *wl,
				  const struct sched_worker *w);
struct wkr_call *wkr_call_new(struct wkr_link *wl);
/* Returns the link that made the call, or NULL if the links are gone. The
 * caller frees the call. */
struct wkr_link *wkr_call_finish(struct wkr_call *c);

#endif
