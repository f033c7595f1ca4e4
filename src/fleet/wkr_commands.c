/* Queues commands to workers and sends them, a few at a time to each. */
#include <stdlib.h>

#include "fleet/wkr_links_int.h"

/* Commands in flight to one worker. Each takes a connection. */
#define COMMANDS_IN_FLIGHT_MAX 3

struct command {
	enum wkr_command_kind kind;
	struct sched_ref ref;
	int32_t percent; /* of full speed; for WKR_CMD_PACE */
	int64_t start_bytes; /* for WKR_CMD_START; else 0 */
};

static void send_queued(struct wkr_link *wl);

void wkr_links_count_start(struct wkr_links *links, int64_t bytes, int sign)
{
	if (!bytes)
		return;
	links->starts.bytes += sign * bytes;
	links->starts.commands += sign;
}

static void command_ended(struct wkr_link *wl)
{
	wl->commands_in_flight--;
	send_queued(wl);
}

static void on_start_answer(enum sched_start_result res, void *priv)
{
	struct wkr_call *c = priv;
	struct wkr_link *wl = wkr_call_finish(c);

	if (wl) {
		sched_start_answered(wl->links->sched, &c->ref, wl->id, res,
				     wkr_links_now_ms(wl->links));
		if (res != SCHED_START_OK || wl->links->sched->starts_held)
			wl->links->ops->changed(NULL, wl->links->priv);
		command_ended(wl);
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
		command_ended(wl);
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
		wkr_links_count_start(links, cmd->start_bytes, -1);
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
	wl->commands_in_flight++;
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

static void send_queued(struct wkr_link *wl)
{
	struct wkr_links *links = wl->links;

	while (wl->commands_in_flight < COMMANDS_IN_FLIGHT_MAX &&
	       wl->commands.length) {
		struct command *cmd = g_queue_pop_head(&wl->commands);
		struct sched_worker *w = wkr_link_worker(wl);

		if (w && !links->quiesced)
			send_command(wl, w, cmd);
		else
			wkr_links_count_start(links, cmd->start_bytes, -1);
		free(cmd);
	}
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
	wkr_links_count_start(links, start_bytes, 1);
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
