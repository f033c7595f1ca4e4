/* Polls workers, one poll at a time each. */
#include "fleet/wkr_links_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Maximum time that a poll waits for a task end, in ms: a third of the shortest
 * lease, which polls renew. */
#define POLL_WAIT_MS 1500
/* The same at workers that run best-effort tasks beside serving ones, whose
 * tail latency must be seen soon. It covers half a second, so that more
 * frequent polls show much the same. */
#define POLL_WAIT_PACING_MS 550
/* The same at workers that are closed to other tasks until a report shows that
 * a task does no harm. */
#define POLL_WAIT_ISOLATED_MS 300
/* Minimum time between an answer and the next poll, in ms: tasks tend to end in
 * groups. */
#define POLL_GAP_MS 30
/* Poll interval while ends that were received are not stored yet, in ms. Polls
 * return at once then, but still have to renew the lease. */
#define POLL_UNSTORED_MS 500
/* An idle worker whose ends are stored is told so after this time, in ms.
 * Mostly the polls of its next task do it before. */
#define ACK_DELAY_MS 2000
/* Delay after the first failed poll, and its maximum, in ms. It grows with each
 * failure in a row. */
#define POLL_RETRY_MS 150
#define POLL_RETRY_MAX_MS 600
/* Added to the timeout of each call, in ms: twice the longest one-way delay
 * between regions, and a stall of the worker. */
#define CALL_SLACK_MS 700
/* An answer to a poll is used up to this much later, in ms: where a link is
 * slow, none would ever be in time. */
#define LATE_ANSWER_MS 2500
_Static_assert(CALL_SLACK_MS + POLL_WAIT_MS + LATE_ANSWER_MS <=
		       WKR_LINKS_CALL_MAX_MS,
	       "polls take longer than leases allow for");
/* Polls of one worker whose answers are late, at most: each adds to the load of
 * a slow link. */
#define LATE_POLLS_MAX 2
/* At first, start commands may be in flight or queued for as long as the link,
 * or the processor, takes for them, in ms. start_window.c changes that. */
#define START_WINDOW_MS 100
/* Calls that a full core makes in one ms, roughly. */
#define CALLS_PER_CORE_MS 10

static void poll_if_due(struct wkr_link *wl);

int64_t wkr_links_now_ms(const struct wkr_links *links)
{
	return clk_mono_ms(links->clk);
}

struct wkr_call *wkr_call_new(struct wkr_link *wl)
{
	struct wkr_links *links = wl->links;
	struct wkr_call *c = calloc(1, sizeof(*c));

	c->links = links;
	c->link = wl;
	c->sent_ms = wkr_links_now_ms(links);
	c->next = links->calls;
	c->prev_next = &links->calls;
	if (c->next)
		c->next->prev_next = &c->next;
	links->calls = c;
	return c;
}

struct wkr_link *wkr_call_finish(struct wkr_call *c)
{
	struct wkr_link *wl = c->links ? c->link : NULL;

	if (!wl)
		return NULL;
	*c->prev_next = c->next;
	if (c->next)
		c->next->prev_next = c->prev_next;
	if (c->start_bytes)
		start_window_remove(&wl->links->window, c->start_bytes);
	return wl;
}

static int wkr_links_destructor(struct wkr_links *links)
{
	GHashTableIter it;
	gpointer value;

	for (struct wkr_call *c = links->calls; c; c = c->next) {
		TALLOC_FREE(c->late_timer);
		c->links = NULL;
	}
	g_hash_table_iter_init(&it, links->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct wkr_link *wl = value;

		TALLOC_FREE(wl->poll_timer);
		TALLOC_FREE(wl->ack_timer);
		g_queue_clear_full(&wl->commands, free);
		g_queue_clear_full(&wl->starts, free);
	}
	g_hash_table_destroy(links->table);
	start_window_finish(&links->window);
	return 0;
}

static struct sched_start_room
initial_window(const struct wkr_capacity *capacity)
{
	struct sched_start_room w = { INT64_MAX, INT64_MAX };

	if (capacity->link_kbit_s)
		w.bytes = capacity->link_kbit_s * START_WINDOW_MS / 8;
	if (capacity->cpu_milli)
		w.commands = MAX(capacity->cpu_milli * CALLS_PER_CORE_MS *
					 START_WINDOW_MS / 1000,
				 1);
	return w;
}

struct wkr_links *wkr_links_start(void *ctx, struct sched *sched,
				  const struct wkr *wkr, struct tmr_set *timers,
				  const struct clk *clk,
				  const struct wkr_capacity *capacity,
				  const struct wkr_links_ops *ops, void *priv)
{
	struct sched_start_room window = initial_window(capacity);
	struct wkr_links *links = talloc_zero(ctx, struct wkr_links);

	links->sched = sched;
	links->wkr = *wkr;
	links->timers = timers;
	links->clk = clk;
	links->ops = ops;
	links->priv = priv;
	start_window_init(&links->window, &window);
	links->counts.window_milli = links->window.scale_milli;
	links->table = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(links, wkr_links_destructor);
	return links;
}

struct wkr_link *wkr_links_get(struct wkr_links *links, const char *id)
{
	struct wkr_link *wl = g_hash_table_lookup(links->table, id);

	if (wl)
		return wl;
	wl = talloc_zero(links, struct wkr_link);
	wl->links = links;
	snprintf(wl->id, sizeof(wl->id), "%s", id);
	g_queue_init(&wl->commands);
	g_queue_init(&wl->starts);
	g_hash_table_insert(links->table, wl->id, wl);
	return wl;
}

struct sched_worker *wkr_link_worker(const struct wkr_link *wl)
{
	return g_hash_table_lookup(wl->links->sched->workers, wl->id);
}

struct wkr_target wkr_link_target(const struct wkr_link *wl,
				  const struct sched_worker *w)
{
	return (struct wkr_target){
		.id = w->row.id,
		.address = w->row.address,
		.domain = w->row.domain,
		.fence = w->fence,
		.fresh_connection = wl->poll_failures > 0,
		.timeout_ms = CALL_SLACK_MS,
	};
}

static void on_poll_due(void *priv)
{
	struct wkr_link *wl = priv;

	wl->poll_timer = NULL;
	poll_if_due(wl);
}

static void poll_after(struct wkr_link *wl, int64_t ms)
{
	if (wl->poll_timer)
		return;
	wl->poll_timer = tmr_after(wl->links->timers, ms, on_poll_due, wl);
}

static int64_t retry_delay_ms(const struct wkr_link *wl)
{
	int64_t ms = (int64_t)POLL_RETRY_MS * wl->poll_failures;

	return ms < POLL_RETRY_MAX_MS ? ms : POLL_RETRY_MAX_MS;
}

static void poll_ended(struct wkr_link *wl)
{
	wl->polls_in_flight--;
	if (!wl->polls_in_flight)
		wl->poll_fence = 0;
	wl->last_poll_ms = wkr_links_now_ms(wl->links);
}

static void poll_failed(struct wkr_link *wl)
{
	struct sched_worker *w = wkr_link_worker(wl);

	poll_ended(wl);
	wl->poll_failures++;
	wl->links->counts.polls_failed++;
	if (!w)
		return;
	sched_worker_unanswered(wl->links->sched, w,
				wkr_links_now_ms(wl->links));
	poll_after(wl, retry_delay_ms(wl));
}

/* The worker counts as silent from now on, but its answer may still come. */
static void on_poll_late(void *priv)
{
	struct wkr_call *c = priv;

	c->late_timer = NULL;
	c->link->late_polls++;
	poll_failed(c->link);
}

static void handle_report(struct wkr_link *wl, const struct wkr_call *c,
			  const struct sched_report *answer)
{
	struct sched_worker *w = wkr_link_worker(wl);
	struct sched_report report = *answer;

	wl->poll_failures = 0;
	if (!w)
		return;
	report.sent_ms = c->sent_ms;
	report.fence = c->fence;
	report.acked_seq = c->acked_seq;
	sched_poll_answered(wl->links->sched, w, &report,
			    wkr_links_now_ms(wl->links),
			    clk_wall_ms(wl->links->clk));
	wl->links->ops->changed(w, wl->links->priv);
	poll_after(wl, POLL_GAP_MS);
}

static void on_poll_answer(const struct sched_report *answer, void *priv)
{
	struct wkr_call *c = priv;
	struct wkr_link *wl = wkr_call_finish(c);
	bool is_late = wl && !c->late_timer;

	if (!wl) {
		free(c);
		return;
	}
	TALLOC_FREE(c->late_timer);
	if (is_late)
		wl->late_polls--;
	else if (answer)
		poll_ended(wl);
	else
		poll_failed(wl);
	if (answer)
		handle_report(wl, c, answer);
	else if (is_late)
		poll_after(wl, retry_delay_ms(wl));
	free(c);
}

/* Returns how long the worker may hold the poll back; 0 if its present status
 * is needed. */
static int64_t poll_wait_ms(const struct sched_worker *w, bool urgent)
{
	if (urgent || !w->reconciled || w->unreachable ||
	    !sched_worker_has_runs(w))
		return 0;
	if (w->n_isolated)
		return POLL_WAIT_ISOLATED_MS;
	if (w->n_serving && w->n_best_effort)
		return POLL_WAIT_PACING_MS;
	return POLL_WAIT_MS;
}

static void send_poll(struct wkr_link *wl, struct sched_worker *w, bool urgent)
{
	struct wkr_links *links = wl->links;
	struct wkr_target to = wkr_link_target(wl, w);
	int64_t wait_ms = poll_wait_ms(w, urgent);
	struct wkr_call *c = wkr_call_new(wl);

	wl->poll_requested = false;
	wl->polls_in_flight++;
	wl->poll_fence = w->fence;
	c->fence = w->fence;
	c->acked_seq = sched_seq_to_ack(w);
	links->counts.polls++;
	to.lease_end_clock_ms =
		sched_worker_needs_lease(w)
			? sched_lease_end(links->sched, w, c->sent_ms)
			: 0;
	to.timeout_ms += wait_ms;
	c->late_timer =
		tmr_after(links->timers, to.timeout_ms, on_poll_late, c);
	to.timeout_ms += LATE_ANSWER_MS;
	links->wkr.ops->poll(links->wkr.self, &to, c->acked_seq, wait_ms,
			     on_poll_answer, c);
}

static void poll_if_due(struct wkr_link *wl)
{
	struct wkr_links *links = wl->links;
	struct sched_worker *w = wkr_link_worker(wl);
	bool has_unstored_ends = w && w->seen_seq > w->durable_seq;

	if (!w || !links->enabled || links->quiesced)
		return;
	if (wl->polls_in_flight) {
		/* The poll in flight carries a token that is now too low. */
		if (w->fence > wl->poll_fence && wl->polls_in_flight < 2)
			send_poll(wl, w, true);
		return;
	}
	if (wl->late_polls >= LATE_POLLS_MAX)
		return;
	if (!wl->poll_requested && !sched_worker_busy(w))
		return;
	if (has_unstored_ends && w->reconciled &&
	    wkr_links_now_ms(links) - wl->last_poll_ms < POLL_UNSTORED_MS) {
		poll_after(wl, POLL_UNSTORED_MS - (wkr_links_now_ms(links) -
						   wl->last_poll_ms));
		return;
	}
	send_poll(wl, w, false);
}

void wkr_links_poll(struct wkr_links *links, struct sched_worker *w)
{
	struct wkr_link *wl = wkr_links_get(links, w->row.id);

	wl->poll_requested = true;
	poll_after(wl, 0);
}

static bool awaits_ack(const struct sched_worker *w)
{
	return !sched_worker_busy(w) && w->acked_seq < w->durable_seq;
}

static void on_ack_due(void *priv)
{
	struct wkr_link *wl = priv;
	struct sched_worker *w = wkr_link_worker(wl);

	wl->ack_timer = NULL;
	if (w && awaits_ack(w))
		wkr_links_poll(wl->links, w);
}

static void ack_later(struct wkr_link *wl)
{
	if (!wl->ack_timer)
		wl->ack_timer = tmr_after(wl->links->timers, ACK_DELAY_MS,
					  on_ack_due, wl);
}

void wkr_links_committed(struct wkr_links *links)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, links->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct wkr_link *wl = value;
		struct sched_worker *w = wkr_link_worker(wl);

		if (w && awaits_ack(w))
			ack_later(wl);
		if (!w || wl->polls_in_flight || !sched_worker_busy(w) ||
		    w->seen_seq > w->durable_seq)
			continue;
		TALLOC_FREE(wl->poll_timer);
		poll_after(wl, 0);
	}
}

void wkr_links_enable(struct wkr_links *links)
{
	GHashTableIter it;
	gpointer value;

	links->enabled = true;
	g_hash_table_iter_init(&it, links->table);
	while (g_hash_table_iter_next(&it, NULL, &value))
		poll_after(value, 0);
}

void wkr_links_quiesce(struct wkr_links *links)
{
	links->quiesced = true;
}

const struct wkr_links_counts *wkr_links_counts(const struct wkr_links *links)
{
	return &links->counts;
}
