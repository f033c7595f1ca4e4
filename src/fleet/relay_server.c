/* Carries out owners' calls to workers. */
#include "fleet/relay_server.h"

#include <stdlib.h>
#include <talloc.h>
#include <tevent.h>

#include "base/log.h"
#include "fleet/relay_msg.h"
#include "transport/lnk.h"

/* A call that took this much longer than others to get here, in ms, is dropped:
 * this VM or its link was at a standstill, and the owner has given the call up
 * or soon will. */
#define CALL_AGE_MAX_MS 1000
/* The least difference of both clocks is taken over this time, in ms, and the
 * one before: clocks drift. */
#define OFFSET_WINDOW_MS 5000
/* Each owner has one link. More are those of former processes that the network
 * has not yet reported as lost. */
#define LINKS_MAX 64
/* Owners send a call or a ping within CHECK_INTERVAL_MS of relay_client.c. */
#define UNPROVEN_MAX 16
#define UNPROVEN_MAX_MS 10000
/* Several times as long as an owner lets a link be silent. */
#define SILENT_MS 10000
/* A call holds at most two values of a row (64 KiB): payload and checkpoint. */
#define UNPROVEN_FRAME_MAX (256u << 10)
#define FRAME_MAX (1u << 20)

struct relay_server {
	struct wkr wkr;
	const struct clk *clk;
	struct lnk_srv *srv;
	int64_t dropped;
	struct traffic traffic;
	struct list_share *list; /* NULL: none */
};

/* A connected owner. */
struct peer {
	struct relay_server *server;
	struct lnk *link;
	struct relay_payloads payloads;
	struct relay_reports reports;
	int64_t last_number; /* of a report */
	struct running *running;
	/* Least difference of our clock at arrival to the owner's at sending,
	 * which includes the shortest way here; of this window and the last. */
	int64_t offset_ms;
	int64_t last_offset_ms;
	int64_t window_ends_ms;
};

/* A call in flight; `peer` is NULL once the owner's link is closed. */
struct running {
	struct peer *peer;
	struct running *next;
	struct running **prev_next;
	uint64_t id;
	enum relay_kind kind;
	int64_t base; /* as in struct relay_call */
	char worker[SCHED_ID_MAX];
};

static struct running *new_running(struct peer *p,
				   const struct relay_call *call)
{
	struct running *run = calloc(1, sizeof(*run));

	run->peer = p;
	run->id = call->id;
	run->kind = call->kind;
	run->base = call->base;
	g_strlcpy(run->worker, call->to.id, sizeof(run->worker));
	run->next = p->running;
	run->prev_next = &p->running;
	if (run->next)
		run->next->prev_next = &run->next;
	p->running = run;
	return run;
}

/* Sends the answer, unless the link is closed, and frees the call. */
static void finish(struct running *run, struct relay_answer *answer)
{
	uint8_t *data;
	size_t len;

	if (run->peer) {
		*run->prev_next = run->next;
		if (run->next)
			run->next->prev_next = run->prev_next;
		answer->id = run->id;
		data = relay_pack_answer(run->peer, answer, &len);
		lnk_send(run->peer->link, data, len);
		traffic_sent(&run->peer->server->traffic,
			     relay_purpose(run->kind), LNK_HEADER_BYTES + len);
		talloc_free(data);
	}
	free(run);
}

static void on_started(enum sched_start_result res, void *priv)
{
	struct relay_answer answer = { .started = res };

	finish(priv, &answer);
}

static void on_ack(bool answered, void *priv)
{
	struct relay_answer answer = { .answered = answered };

	finish(priv, &answer);
}

/* Keeps what the owner makes of the answer: the order of its entries counts. */
static void keep_report(struct peer *p, const char *worker, int64_t number,
			const struct sched_report *report,
			const struct relay_delta *delta)
{
	struct sched_report *applied =
		delta ? relay_reports_apply(NULL, &p->reports, worker, delta)
		      : NULL;

	relay_reports_keep(&p->reports, worker, number,
			   applied ? applied : report);
	talloc_free(applied);
}

static void on_polled(const struct sched_report *report, void *priv)
{
	struct running *run = priv;
	struct relay_answer answer = { .report = report };
	struct relay_delta *delta = NULL;
	struct peer *p = run->peer;

	if (p && report && run->base >= 0) {
		delta = relay_reports_diff(NULL, &p->reports, run->worker,
					   run->base, report);
		answer.number = ++p->last_number;
		keep_report(p, run->worker, answer.number, report, delta);
	}
	if (delta) {
		answer.report = NULL;
		answer.delta = delta;
	}
	finish(run, &answer);
	talloc_free(delta);
}

static void answer_list(struct running *run, int64_t after)
{
	struct list_share *list = run->peer->server->list;
	void *tmp = talloc_new(NULL);
	struct relay_answer answer = { 0 };
	struct list_changes changes;

	if (list && list_share_collect(list, tmp, after, &changes))
		answer.list = &changes;
	finish(run, &answer);
	talloc_free(tmp);
}

/* Returns how much longer the call took to arrive than the fastest of late. */
static int64_t extra_ms(struct peer *p, const struct relay_call *call)
{
	int64_t now = clk_mono_ms(p->server->clk);
	int64_t offset = now - call->sent_ms;

	if (now >= p->window_ends_ms) {
		p->last_offset_ms = p->window_ends_ms ? p->offset_ms : offset;
		p->offset_ms = offset;
		p->window_ends_ms = now + OFFSET_WINDOW_MS;
	}
	if (offset < p->offset_ms)
		p->offset_ms = offset;
	return offset - MIN(p->offset_ms, p->last_offset_ms);
}

/* Answers a call that is not carried out. */
static void drop(struct running *run, enum relay_kind kind)
{
	run->peer->server->dropped++;
	if (kind == RELAY_START)
		on_started(SCHED_START_TOO_LATE, run);
	else if (kind == RELAY_POLL)
		on_polled(NULL, run);
	else
		on_ack(false, run);
}

/* Returns false if the payload is on neither end. */
static bool start(struct peer *p, const struct relay_call *call,
		  struct running *run)
{
	struct wkr_start_cmd cmd = { .ref = &call->ref,
				     .payload = call->payload,
				     .checkpoint = call->checkpoint,
				     .ticket = call->ticket };

	if (!cmd.payload)
		cmd.payload = relay_payloads_find(&p->payloads, call->ref.job);
	if (!cmd.payload)
		return false;
	p->server->wkr.ops->start(p->server->wkr.self, &call->to, &cmd,
				  on_started, run);
	return true;
}

/* Returns false if the owner's messages don't fit together. */
static bool carry_out(struct peer *p, const struct relay_call *call)
{
	const struct wkr *wkr = &p->server->wkr;
	struct running *run = new_running(p, call);

	if (call->payload)
		relay_payloads_add(&p->payloads, call->ref.job, call->payload);
	if (extra_ms(p, call) > CALL_AGE_MAX_MS) {
		drop(run, call->kind);
		return true;
	}
	switch (call->kind) {
	case RELAY_START:
		return start(p, call, run);
	case RELAY_STOP:
		wkr->ops->stop(wkr->self, &call->to, &call->ref, on_ack, run);
		return true;
	case RELAY_PACE:
		wkr->ops->pace(wkr->self, &call->to, &call->ref, call->percent,
			       on_ack, run);
		return true;
	case RELAY_PING:
		on_ack(true, run);
		return true;
	case RELAY_LIST:
		answer_list(run, call->durable_seq);
		return true;
	case RELAY_POLL:
		wkr->ops->poll(wkr->self, &call->to, call->durable_seq,
			       call->wait_ms, on_polled, run);
		return true;
	}
	return false;
}

/* The owner's calls go on, without anybody to answer. */
static int peer_destructor(struct peer *p)
{
	for (struct running *run = p->running; run; run = run->next)
		run->peer = NULL;
	relay_payloads_finish(&p->payloads);
	relay_reports_finish(&p->reports);
	return 0;
}

static void on_opened(struct lnk *link, void *priv)
{
	struct peer *p = talloc_zero(link, struct peer);

	p->server = priv;
	p->link = link;
	relay_payloads_init(&p->payloads);
	relay_reports_init(&p->reports);
	talloc_set_destructor(p, peer_destructor);
	lnk_set_user(link, p);
}

static void close_invalid(struct lnk *link, size_t len)
{
	log_event(
		LOG_BAD_ANSWER,
		"bytes=%zu why=\"invalid call of an owner; closing its link\"",
		len);
	lnk_close(link);
}

static void on_frame(struct lnk *link, const uint8_t *data, size_t len,
		     void *priv)
{
	struct peer *p = lnk_user(link);
	void *tmp = talloc_new(NULL);
	struct relay_call call;

	(void)priv;
	if (!relay_unpack_call(tmp, data, len, &call)) {
		close_invalid(link, len);
		talloc_free(tmp);
		return;
	}
	traffic_received(&p->server->traffic, relay_purpose(call.kind),
			 LNK_HEADER_BYTES + len);
	if (!carry_out(p, &call))
		close_invalid(link, len);
	talloc_free(tmp);
}

static void on_closed(struct lnk *link, void *priv)
{
	/* The peer is freed with the link. */
	(void)link;
	(void)priv;
}

static const struct lnk_ops link_ops = { on_opened, on_frame, on_closed };

struct relay_server *relay_server_start(void *ctx, struct tevent_context *ev,
					const struct wkr *wkr,
					const struct clk *clk, const char *ip,
					uint16_t port, struct err *e)
{
	struct relay_server *s = talloc_zero(ctx, struct relay_server);

	s->wkr = *wkr;
	s->clk = clk;
	s->srv = lnk_listen(s, ev, ip, port, &link_ops, s, e);
	if (!s->srv)
		TALLOC_FREE(s);
	return s;
}

void relay_server_share_list(struct relay_server *s, struct list_share *list)
{
	s->list = list;
}

const struct traffic *relay_server_traffic(const struct relay_server *s)
{
	return &s->traffic;
}

void relay_server_limit(struct relay_server *s, int64_t memory_bytes)
{
	lnk_srv_limit(s->srv, &(struct lnk_limits){
				      .links_max = LINKS_MAX,
				      .unproven_max = UNPROVEN_MAX,
				      .unproven_frame_max = UNPROVEN_FRAME_MAX,
				      .frame_max = FRAME_MAX,
				      .buffers_max = memory_bytes,
				      .unproven_max_ms = UNPROVEN_MAX_MS,
				      .silent_ms = SILENT_MS });
}

int64_t relay_server_links_refused(const struct relay_server *s)
{
	return lnk_srv_refused(s->srv);
}

int64_t relay_server_dropped(const struct relay_server *s)
{
	return s->dropped;
}
