/* Queues commands to workers and sends them, a few at a time to each. Stops and
 * changes of pace never wait for starts. */
#include <stdlib.h>

#include "fleet/wkr_links_int.h"

/* Starts in flight to one worker, and other commands. Each takes a connection.
 */
#define STARTS_IN_FLIGHT_MAX 3
#define COMMANDS_IN_FLIGHT_MAX 2

struct command {
	enum wkr_command_kind kind;
	struct sched_ref ref;
	int32_t percent; /* of full speed; for WKR_CMD_PACE */
	int64_t start_bytes; /* for WKR_CMD_START; else 0 */
};

static void send_queued(struct wkr_link *wl);

static void remove_start(struct wkr_links *links, const struct command *cmd)
{
	if (cmd->start_bytes)
		start_window_remove(&links->window, cmd->start_bytes);
}

/* Tells the window what became of a start that was sent. */
static void note_answer(struct wkr_link *wl, const struct wkr_call *c,
			enum sched_start_result res)
{
	struct wkr_links *links = wl->links;
	const struct sched_worker *w = wkr_link_worker(wl);
	bool lost = res == SCHED_START_UNKNOWN || res == SCHED_START_NOT_SENT ||
		    res == SCHED_START_TOO_LATE;

	start_window_answered(&links->window, &c->start_sent,
			      w ? w->row.domain : "", lost,
			      wkr_links_now_ms(links));
	links->counts.starts_lost += lost;
	links->counts.window_milli = links->window.scale_milli;
	links->counts.window_queue_ms = links->window.last_queue_ms;
}

static void on_start_answer(enum sched_start_result res, void *priv)
{
	struct wkr_call *c = priv;
	struct wkr_link *wl = wkr_call_finish(c);

	if (wl) {
		wl->starts_in_flight--;
		note_answer(wl, c, res);
		sched_start_answered(wl->links->sched, &c->ref, wl->id, res,
				     wkr_links_now_ms(wl->links));
		if (res != SCHED_START_OK || wl->links->sched->starts_held)
			wl->links->ops->changed(NULL, wl->links->priv);
		send_queued(wl);
	}
	free(c);
}

static void on_ack(bool answered, void *priv)
{
	struct wkr_call *c = priv;
	struct wkr_link *wl = wkr_call_finish(c);

	if (wl) {
		if (c->kind == WKR_CMD_STOP)
			sched_stop_answered(wl->links->sched, &c->ref, wl->id,
					    answered,
					    wkr_links_now_ms(wl->links));
		else if (!answered)
			sched_pace_failed(wl->links->sched, &c->ref, wl->id);
		wl->commands_in_flight--;
		send_queued(wl);
	}
	free(c);
}

static void send_start(struct wkr_link *wl, struct sched_worker *w,
		       const struct command *cmd)
{
	struct wkr_links *links = wl->links;
	struct wkr_start_cmd start = { .ref = &cmd->ref };
	struct wkr_target to = wkr_link_target(wl, w);
	struct wkr_call *c;

	/* The decision may have been reversed while the command was queued. */
	if (w->unreachable ||
	    !sched_start_args(links->sched, &cmd->ref, wl->id, &start.payload,
			      &start.checkpoint, &start.ticket)) {
		remove_start(links, cmd);
		sched_start_answered(links->sched, &cmd->ref, wl->id,
				     SCHED_START_FENCED,
				     wkr_links_now_ms(links));
		return;
	}
	c = wkr_call_new(wl);
	c->kind = WKR_CMD_START;
	c->ref = cmd->ref;
	c->start_bytes = cmd->start_bytes;
	to.lease_end_clock_ms = sched_lease_end(links->sched, w, c->sent_ms);
	c->start_sent = start_window_send(&links->window, c->sent_ms);
	wl->starts_in_flight++;
	links->counts.commands++;
	links->wkr.ops->start(links->wkr.self, &to, &start, on_start_answer, c);
}

static void send_command(struct wkr_link *wl, struct sched_worker *w,
			 const struct command *cmd)
{
	struct wkr_links *links = wl->links;
	struct wkr_target to = wkr_link_target(wl, w);
	struct wkr_call *c;

	if (cmd->kind == WKR_CMD_START) {
		send_start(wl, w, cmd);
		return;
	}
	c = wkr_call_new(wl);
	c->kind = cmd->kind;
	c->ref = cmd->ref;
	wl->commands_in_flight++;
	links->counts.commands++;
	if (cmd->kind == WKR_CMD_STOP)
		links->wkr.ops->stop(links->wkr.self, &to, &cmd->ref, on_ack,
				     c);
	else
		links->wkr.ops->pace(links->wkr.self, &to, &cmd->ref,
				     cmd->percent, on_ack, c);
}

/* Returns NULL if nothing is queued, or as much as may be is in flight. */
static struct command *next_command(struct wkr_link *wl)
{
	if (wl->commands.length &&
	    wl->commands_in_flight < COMMANDS_IN_FLIGHT_MAX)
		return g_queue_pop_head(&wl->commands);
	if (wl->starts_in_flight >= STARTS_IN_FLIGHT_MAX)
		return NULL;
	return g_queue_pop_head(&wl->starts);
}

static void send_queued(struct wkr_link *wl)
{
	struct wkr_links *links = wl->links;
	struct command *cmd;

	while ((cmd = next_command(wl))) {
		struct sched_worker *w = wkr_link_worker(wl);

		if (w && !links->quiesced)
			send_command(wl, w, cmd);
		else
			remove_start(links, cmd);
		free(cmd);
	}
}

/* Passes start tasks in the order of their ranks, so that most go to the end. A
 * more urgent one of a later pass goes before those that wait here. */
static void queue_start(struct wkr_link *wl, struct command *cmd)
{
	int64_t now_ms = wkr_links_now_ms(wl->links);
	GList *after = wl->starts.tail;

	while (after) {
		const struct command *other = after->data;

		if (sched_compare_starts(wl->links->sched, &other->ref,
					 &cmd->ref, now_ms) <= 0)
			break;
		after = after->prev;
	}
	if (after)
		g_queue_insert_after(&wl->starts, after, cmd);
	else
		g_queue_push_head(&wl->starts, cmd);
}

static void queue_command(struct wkr_links *links, const char *worker,
			  const struct sched_ref *ref,
			  enum wkr_command_kind kind, int32_t percent,
			  int64_t start_bytes)
{
	struct wkr_link *wl = wkr_links_get(links, worker);
	struct command *cmd = calloc(1, sizeof(*cmd));

	cmd->kind = kind;
	cmd->ref = *ref;
	cmd->percent = percent;
	cmd->start_bytes = start_bytes;
	if (kind == WKR_CMD_START) {
		start_window_add(&links->window, start_bytes);
		queue_start(wl, cmd);
	} else {
		g_queue_push_tail(&wl->commands, cmd);
	}
	send_queued(wl);
}

struct sched_start_room wkr_links_start_room(struct wkr_links *links)
{
	return start_window_room(&links->window, wkr_links_now_ms(links));
}

void wkr_links_start_task(struct wkr_links *links, const char *worker,
			  const struct sched_ref *ref, int64_t bytes)
{
	queue_command(links, worker, ref, WKR_CMD_START, 0, bytes);
}

void wkr_links_stop_task(struct wkr_links *links, const char *worker,
			 const struct sched_ref *ref)
{
	queue_command(links, worker, ref, WKR_CMD_STOP, 0, 0);
}

void wkr_links_pace_task(struct wkr_links *links, const char *worker,
			 const struct sched_ref *ref, int32_t percent)
{
	queue_command(links, worker, ref, WKR_CMD_PACE, percent, 0);
}
