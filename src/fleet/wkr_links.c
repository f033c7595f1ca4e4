/* Polls workers, one poll at a time each, and sends them queued commands. */
#include "fleet/wkr_links.h"

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
/* Polls of one worker whose answers are late, at most: each adds to the load of
 * a slow link. */
#define LATE_POLLS_MAX 2
/* Start commands may be in flight or queued for as long as the link, or the
 * processor, takes for them, in ms: those behind them would time out. */
#define START_WINDOW_MS 100
/* Calls that a full core makes in one ms, roughly. */
#define CALLS_PER_CORE_MS 10
/* Commands in flight to one worker. Each takes a connection. */
#define COMMANDS_IN_FLIGHT_MAX 3

enum command_kind { CMD_START, CMD_STOP, CMD_PACE };

struct command {
	enum command_kind kind;
	struct sched_ref ref;
	int32_t percent; /* of full speed; for CMD_PACE */
	int64_t start_bytes; /* for CMD_START; else 0 */
};

/* The contact with one worker. */
struct wkr_link {
	struct wkr_links *links;
	char id[SCHED_ID_MAX];
	struct tmr *poll_timer;
	GQueue commands; /* not sent yet */
	int32_t commands_in_flight;
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
	struct sched_start_room window;
	/* Start commands that are queued or in flight. */
	struct sched_start_room starts;
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
	enum command_kind kind;
	int64_t start_bytes; /* as in struct command */
	int64_t sent_ms;
	int64_t fence;
	struct tmr *late_timer; /* of a poll that is not late yet */
};

static void poll_if_due(struct wkr_link *wl);
static void send_queued(struct wkr_link *wl);

static int64_t now_ms(const struct wkr_links *links)
{
	return clk_mono_ms(links->clk);
}

static struct wkr_call *new_call(struct wkr_link *wl)
{
	struct wkr_links *links = wl->links;
	struct wkr_call *c = calloc(1, sizeof(*c));

	c->links = links;
	c->link = wl;
	c->sent_ms = now_ms(links);
	c->next = links->calls;
	c->prev_next = &links->calls;
	if (c->next)
		c->next->prev_next = &c->next;
	links->calls = c;
	return c;
}

/* Adds a start command to the window (`sign` 1) or removes it (-1). */
static void count_start(struct wkr_links *links, int64_t bytes, int sign)
{
	if (!bytes)
		return;
	links->starts.bytes += sign * bytes;
	links->starts.commands += sign;
}

/* Returns the link that made the call, or NULL if the links are gone. */
static struct wkr_link *finish_call(struct wkr_call *c)
{
	struct wkr_link *wl = c->links ? c->link : NULL;

	if (!wl)
		return NULL;
	*c->prev_next = c->next;
	if (c->next)
		c->next->prev_next = c->prev_next;
	count_start(wl->links, c->start_bytes, -1);
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
		g_queue_clear_full(&wl->commands, free);
	}
	g_hash_table_destroy(links->table);
	return 0;
}

static struct sched_start_room window_of(const struct wkr_capacity *capacity)
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
	struct wkr_links *links = talloc_zero(ctx, struct wkr_links);

	links->sched = sched;
	links->wkr = *wkr;
	links->timers = timers;
	links->clk = clk;
	links->ops = ops;
	links->priv = priv;
	links->window = window_of(capacity);
	links->table = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(links, wkr_links_destructor);
	return links;
}

static struct wkr_link *get_link(struct wkr_links *links, const char *id)
{
	struct wkr_link *wl = g_hash_table_lookup(links->table, id);

	if (wl)
		return wl;
	wl = talloc_zero(links, struct wkr_link);
	wl->links = links;
	snprintf(wl->id, sizeof(wl->id), "%s", id);
	g_queue_init(&wl->commands);
	g_hash_table_insert(links->table, wl->id, wl);
	return wl;
}

static struct sched_worker *worker_of(const struct wkr_link *wl)
{
	return g_hash_table_lookup(wl->links->sched->workers, wl->id);
}

static struct wkr_target target_of(const struct wkr_link *wl,
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
	wl->last_poll_ms = now_ms(wl->links);
}

static void poll_failed(struct wkr_link *wl)
{
	struct sched_worker *w = worker_of(wl);

	poll_ended(wl);
	wl->poll_failures++;
	wl->links->counts.polls_failed++;
	if (!w)
		return;
	sched_worker_unanswered(wl->links->sched, w, now_ms(wl->links));
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
	struct sched_worker *w = worker_of(wl);
	struct sched_report report = *answer;

	wl->poll_failures = 0;
	if (!w)
		return;
	report.sent_ms = c->sent_ms;
	report.fence = c->fence;
	sched_poll_answered(wl->links->sched, w, &report, now_ms(wl->links),
			    clk_wall_ms(wl->links->clk));
	wl->links->ops->changed(w, wl->links->priv);
	poll_after(wl, POLL_GAP_MS);
}

static void on_poll_answer(const struct sched_report *answer, void *priv)
{
	struct wkr_call *c = priv;
	struct wkr_link *wl = finish_call(c);
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
	struct wkr_target to = target_of(wl, w);
	int64_t wait_ms = poll_wait_ms(w, urgent);
	struct wkr_call *c = new_call(wl);

	wl->poll_requested = false;
	wl->polls_in_flight++;
	wl->poll_fence = w->fence;
	c->fence = w->fence;
	links->counts.polls++;
	to.lease_end_clock_ms =
		w->runs.length ? sched_lease_end(links->sched, w, c->sent_ms)
			       : 0;
	to.timeout_ms += wait_ms;
	c->late_timer =
		tmr_after(links->timers, to.timeout_ms, on_poll_late, c);
	to.timeout_ms += LATE_ANSWER_MS;
	links->wkr.ops->poll(links->wkr.self, &to, w->durable_seq, wait_ms,
			     on_poll_answer, c);
}

static void poll_if_due(struct wkr_link *wl)
{
	struct wkr_links *links = wl->links;
	struct sched_worker *w = worker_of(wl);
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
	    now_ms(links) - wl->last_poll_ms < POLL_UNSTORED_MS) {
		poll_after(wl, POLL_UNSTORED_MS -
				       (now_ms(links) - wl->last_poll_ms));
		return;
	}
	send_poll(wl, w, false);
}

void wkr_links_poll(struct wkr_links *links, struct sched_worker *w)
{
	struct wkr_link *wl = get_link(links, w->row.id);

	wl->poll_requested = true;
	poll_after(wl, 0);
}

void wkr_links_committed(struct wkr_links *links)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, links->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct wkr_link *wl = value;
		struct sched_worker *w = worker_of(wl);

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

static void command_ended(struct wkr_link *wl)
{
	wl->commands_in_flight--;
	send_queued(wl);
}

static void on_start_answer(enum sched_start_result res, void *priv)
{
	struct wkr_call *c = priv;
	struct wkr_link *wl = finish_call(c);

	if (wl) {
		sched_start_answered(wl->links->sched, &c->ref, wl->id, res,
				     now_ms(wl->links));
		if (res != SCHED_START_OK || wl->links->sched->starts_held)
			wl->links->ops->changed(NULL, wl->links->priv);
		command_ended(wl);
	}
	free(c);
}

static void on_ack(bool answered, void *priv)
{
	struct wkr_call *c = priv;
	struct wkr_link *wl = finish_call(c);

	if (wl) {
		if (c->kind == CMD_STOP)
			sched_stop_answered(wl->links->sched, &c->ref, wl->id,
					    answered, now_ms(wl->links));
		else if (!answered)
			sched_pace_failed(wl->links->sched, &c->ref, wl->id);
		command_ended(wl);
	}
	free(c);
}

static void send_start(struct wkr_link *wl, struct sched_worker *w,
		       const struct command *cmd)
{
	struct wkr_links *links = wl->links;
	struct wkr_start_cmd start = { .ref = &cmd->ref };
	struct wkr_target to = target_of(wl, w);
	struct wkr_call *c;

	/* The decision may have been reversed while the command was queued. */
	if (w->unreachable ||
	    !sched_start_args(links->sched, &cmd->ref, wl->id, &start.payload,
			      &start.checkpoint, &start.ticket)) {
		count_start(links, cmd->start_bytes, -1);
		sched_start_answered(links->sched, &cmd->ref, wl->id,
				     SCHED_START_FENCED, now_ms(links));
		return;
	}
	c = new_call(wl);
	c->kind = CMD_START;
	c->ref = cmd->ref;
	c->start_bytes = cmd->start_bytes;
	to.lease_end_clock_ms = sched_lease_end(links->sched, w, c->sent_ms);
	wl->commands_in_flight++;
	links->counts.commands++;
	links->wkr.ops->start(links->wkr.self, &to, &start, on_start_answer, c);
}

static void send_command(struct wkr_link *wl, struct sched_worker *w,
			 const struct command *cmd)
{
	struct wkr_links *links = wl->links;
	struct wkr_target to = target_of(wl, w);
	struct wkr_call *c;

	if (cmd->kind == CMD_START) {
		send_start(wl, w, cmd);
		return;
	}
	c = new_call(wl);
	c->kind = cmd->kind;
	c->ref = cmd->ref;
	wl->commands_in_flight++;
	links->counts.commands++;
	if (cmd->kind == CMD_STOP)
		links->wkr.ops->stop(links->wkr.self, &to, &cmd->ref, on_ack,
				     c);
	else
		links->wkr.ops->pace(links->wkr.self, &to, &cmd->ref,
				     cmd->percent, on_ack, c);
}

static void send_queued(struct wkr_link *wl)
{
	struct wkr_links *links = wl->links;

	while (wl->commands_in_flight < COMMANDS_IN_FLIGHT_MAX &&
	       wl->commands.length) {
		struct command *cmd = g_queue_pop_head(&wl->commands);
		struct sched_worker *w = worker_of(wl);

		if (w && !links->quiesced)
			send_command(wl, w, cmd);
		else
			count_start(links, cmd->start_bytes, -1);
		free(cmd);
	}
}

static void queue_command(struct wkr_links *links, const char *worker,
			  const struct sched_ref *ref, enum command_kind kind,
			  int32_t percent, int64_t start_bytes)
{
	struct wkr_link *wl = get_link(links, worker);
	struct command *cmd = calloc(1, sizeof(*cmd));

	cmd->kind = kind;
	cmd->ref = *ref;
	cmd->percent = percent;
	cmd->start_bytes = start_bytes;
	count_start(links, start_bytes, 1);
	g_queue_push_tail(&wl->commands, cmd);
	send_queued(wl);
}

struct sched_start_room wkr_links_start_room(const struct wkr_links *links)
{
	return (struct sched_start_room){
		.bytes = links->window.bytes - links->starts.bytes,
		.commands = links->window.commands - links->starts.commands,
	};
}

void wkr_links_start_task(struct wkr_links *links, const char *worker,
			  const struct sched_ref *ref, int64_t bytes)
{
	queue_command(links, worker, ref, CMD_START, 0, bytes);
}

void wkr_links_stop_task(struct wkr_links *links, const char *worker,
			 const struct sched_ref *ref)
{
	queue_command(links, worker, ref, CMD_STOP, 0, 0);
}

void wkr_links_pace_task(struct wkr_links *links, const char *worker,
			 const struct sched_ref *ref, int32_t percent)
{
	queue_command(links, worker, ref, CMD_PACE, percent, 0);
}

const struct wkr_links_counts *wkr_links_counts(const struct wkr_links *links)
{
	return &links->counts;
}
