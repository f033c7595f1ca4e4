/* The owner's contact with its workers: one look at a time, orders in turn. */
#include "fleet/links.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Longest wait of a look: a third of the shortest lease, in ms. */
#define LOOK_WAIT_MS 1500
/* With best-effort work beside serving tasks, tails must be seen soon; they
 * cover half a second, so that sooner looks show much the same. */
#define LOOK_WAIT_PACING_MS 550
/* Least time between looks at one worker, in ms: ends come in groups. */
#define LOOK_GAP_MS 30
/* While ends can't be made durable, leases are still renewed this often. */
#define LOOK_UNDURABLE_MS 500
/* Pause after a look without answer, in ms, and its longest. */
#define LOOK_RETRY_MS 150
#define LOOK_RETRY_MAX_MS 600
/* A call may take this much longer than it waits: twice the longest way
 * between regions, and a stall of the worker, in ms. */
#define CALL_SLACK_MS 700
/* Orders under way to one worker; each takes a connection. */
#define ORDERS_AT_ONCE 3

enum order_kind { ORDER_START, ORDER_STOP, ORDER_PACE };

struct order {
	enum order_kind kind;
	struct sched_ref ref;
	int32_t percent;
};

struct link {
	struct links *links;
	char id[SCHED_ID_MAX];
	struct tmr *timer;
	GQueue orders;
	int32_t orders_out;
	int32_t looks_out;
	int64_t look_fence; /* highest token of the looks under way */
	int64_t looked_ms; /* when the last look ended */
	int32_t failures; /* looks in a row without answer */
	bool wanted;
};

struct links {
	struct sched *sched;
	struct wkr wkr;
	struct tmr_set *timers;
	const struct clk *clk;
	const struct links_ops *ops;
	void *priv;
	GHashTable *table; /* worker id to struct link */
	bool open;
	bool quiet;
	struct links_counts counts;
	struct call *calls; /* under way */
};

/* A call under way; outlives the links if these are freed first. */
struct call {
	struct links *links;
	struct call *next;
	struct call **at;
	struct link *link;
	struct sched_ref ref;
	enum order_kind kind;
	int64_t sent_ms;
	int64_t fence;
};

static void next_look(struct link *k);
static void next_orders(struct link *k);

static int64_t now_ms(const struct links *l)
{
	return clk_mono_ms(l->clk);
}

static struct call *new_call(struct link *k)
{
	struct links *l = k->links;
	struct call *c = calloc(1, sizeof(*c));

	c->links = l;
	c->link = k;
	c->sent_ms = now_ms(l);
	c->next = l->calls;
	c->at = &l->calls;
	if (c->next)
		c->next->at = &c->next;
	l->calls = c;
	return c;
}

/* The link that the call was for; NULL if the links are gone. */
static struct link *end_call(struct call *c)
{
	struct link *k = c->links ? c->link : NULL;

	if (!k)
		return NULL;
	*c->at = c->next;
	if (c->next)
		c->next->at = c->at;
	return k;
}

static int links_destructor(struct links *l)
{
	GHashTableIter it;
	gpointer value;

	for (struct call *c = l->calls; c; c = c->next)
		c->links = NULL;
	g_hash_table_iter_init(&it, l->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct link *k = value;

		TALLOC_FREE(k->timer);
		g_queue_clear_full(&k->orders, free);
	}
	g_hash_table_destroy(l->table);
	return 0;
}

struct links *links_start(void *ctx, struct sched *sched, const struct wkr *wkr,
			  struct tmr_set *timers, const struct clk *clk,
			  const struct links_ops *ops, void *priv)
{
	struct links *l = talloc_zero(ctx, struct links);

	l->sched = sched;
	l->wkr = *wkr;
	l->timers = timers;
	l->clk = clk;
	l->ops = ops;
	l->priv = priv;
	l->table = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(l, links_destructor);
	return l;
}

static struct link *link_to(struct links *l, const char *id)
{
	struct link *k = g_hash_table_lookup(l->table, id);

	if (k)
		return k;
	k = talloc_zero(l, struct link);
	k->links = l;
	snprintf(k->id, sizeof(k->id), "%s", id);
	g_queue_init(&k->orders);
	g_hash_table_insert(l->table, k->id, k);
	return k;
}

static struct sched_worker *worker_of(const struct link *k)
{
	return g_hash_table_lookup(k->links->sched->workers, k->id);
}

static struct wkr_target target_of(const struct link *k,
				   const struct sched_worker *w)
{
	return (struct wkr_target){
		.id = w->row.id,
		.address = w->row.address,
		.fence = w->fence,
		.fresh_connection = k->failures > 0,
		.timeout_ms = CALL_SLACK_MS,
	};
}

static void on_look_due(void *priv)
{
	struct link *k = priv;

	k->timer = NULL;
	next_look(k);
}

static void look_in(struct link *k, int64_t ms)
{
	if (k->timer)
		return;
	k->timer = tmr_after(k->links->timers, ms, on_look_due, k);
}

static int64_t retry_ms(const struct link *k)
{
	int64_t ms = (int64_t)LOOK_RETRY_MS * k->failures;

	return ms < LOOK_RETRY_MAX_MS ? ms : LOOK_RETRY_MAX_MS;
}

static void on_looked(const struct sched_report *look, void *priv)
{
	struct call *c = priv;
	struct link *k = end_call(c);
	struct sched_worker *w = k ? worker_of(k) : NULL;
	int64_t now;

	if (!k) {
		free(c);
		return;
	}
	now = now_ms(k->links);
	k->looks_out--;
	if (!k->looks_out)
		k->look_fence = 0;
	k->looked_ms = now;
	if (!w) {
		free(c);
		return;
	}
	if (look) {
		struct sched_report l = *look;

		l.sent_ms = c->sent_ms;
		l.fence = c->fence;
		k->failures = 0;
		sched_poll_answered(k->links->sched, w, &l, now,
				    clk_wall_ms(k->links->clk));
		k->links->ops->news(k->links->priv);
		look_in(k, LOOK_GAP_MS);
	} else {
		k->failures++;
		k->links->counts.looks_failed++;
		sched_worker_unanswered(k->links->sched, w, now);
		look_in(k, retry_ms(k));
	}
	free(c);
}

static int64_t wait_of(const struct sched_worker *w, bool urgent)
{
	if (urgent || !w->reconciled || w->unreachable || !w->runs.length)
		return 0;
	if (w->serving && w->best_effort)
		return LOOK_WAIT_PACING_MS;
	return LOOK_WAIT_MS;
}

static void send_look(struct link *k, struct sched_worker *w, bool urgent)
{
	struct links *l = k->links;
	struct wkr_target to = target_of(k, w);
	int64_t wait_ms = wait_of(w, urgent);
	struct call *c = new_call(k);

	k->wanted = false;
	k->looks_out++;
	k->look_fence = w->fence;
	c->fence = w->fence;
	l->counts.looks++;
	to.lease_end_clock_ms =
		w->runs.length ? sched_lease_end(l->sched, w, c->sent_ms) : 0;
	to.timeout_ms += wait_ms;
	l->wkr.ops->look(l->wkr.self, &to, w->durable_seq, wait_ms, on_looked,
			 c);
}

static void next_look(struct link *k)
{
	struct links *l = k->links;
	struct sched_worker *w = worker_of(k);
	bool undurable = w && w->seen_seq > w->durable_seq;

	if (!w || !l->open || l->quiet)
		return;
	if (k->looks_out) {
		/* The one under way was sent before the token was raised. */
		if (w->fence > k->look_fence && k->looks_out < 2)
			send_look(k, w, true);
		return;
	}
	if (!k->wanted && !sched_worker_busy(w))
		return;
	if (undurable && w->reconciled &&
	    now_ms(l) - k->looked_ms < LOOK_UNDURABLE_MS) {
		look_in(k, LOOK_UNDURABLE_MS - (now_ms(l) - k->looked_ms));
		return;
	}
	send_look(k, w, false);
}

void links_look(struct links *l, struct sched_worker *w)
{
	struct link *k = link_to(l, w->row.id);

	k->wanted = true;
	look_in(k, 0);
}

void links_committed(struct links *l)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, l->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct link *k = value;
		struct sched_worker *w = worker_of(k);

		if (!w || k->looks_out || !sched_worker_busy(w) ||
		    w->seen_seq > w->durable_seq)
			continue;
		TALLOC_FREE(k->timer);
		look_in(k, 0);
	}
}

void links_open(struct links *l)
{
	GHashTableIter it;
	gpointer value;

	l->open = true;
	g_hash_table_iter_init(&it, l->table);
	while (g_hash_table_iter_next(&it, NULL, &value))
		look_in(value, 0);
}

void links_quiesce(struct links *l)
{
	l->quiet = true;
}

static void order_ended(struct link *k)
{
	k->orders_out--;
	next_orders(k);
}

static void on_started(enum sched_start_result res, void *priv)
{
	struct call *c = priv;
	struct link *k = end_call(c);

	if (k) {
		sched_start_answered(k->links->sched, &c->ref, k->id, res,
				     now_ms(k->links));
		if (res != SCHED_START_OK)
			k->links->ops->news(k->links->priv);
		order_ended(k);
	}
	free(c);
}

static void on_answered(bool answered, void *priv)
{
	struct call *c = priv;
	struct link *k = end_call(c);

	if (k) {
		if (c->kind == ORDER_STOP)
			sched_stop_answered(k->links->sched, &c->ref, k->id,
					    answered, now_ms(k->links));
		else if (!answered)
			sched_pace_failed(k->links->sched, &c->ref, k->id);
		order_ended(k);
	}
	free(c);
}

static void send_start(struct link *k, struct sched_worker *w,
		       const struct order *o)
{
	struct links *l = k->links;
	struct wkr_start start = { .ref = &o->ref };
	struct wkr_target to = target_of(k, w);
	struct call *c;

	/* What was decided may have been undone while it waited its turn. */
	if (w->unreachable ||
	    !sched_start_args(l->sched, &o->ref, k->id, &start.payload,
			      &start.checkpoint, &start.ticket)) {
		sched_start_answered(l->sched, &o->ref, k->id,
				     SCHED_START_FENCED, now_ms(l));
		return;
	}
	c = new_call(k);
	c->kind = ORDER_START;
	c->ref = o->ref;
	to.lease_end_clock_ms = sched_lease_end(l->sched, w, c->sent_ms);
	k->orders_out++;
	l->counts.orders++;
	l->wkr.ops->start(l->wkr.self, &to, &start, on_started, c);
}

static void send_order(struct link *k, struct sched_worker *w,
		       const struct order *o)
{
	struct links *l = k->links;
	struct wkr_target to = target_of(k, w);
	struct call *c;

	if (o->kind == ORDER_START) {
		send_start(k, w, o);
		return;
	}
	c = new_call(k);
	c->kind = o->kind;
	c->ref = o->ref;
	k->orders_out++;
	l->counts.orders++;
	if (o->kind == ORDER_STOP)
		l->wkr.ops->stop(l->wkr.self, &to, &o->ref, on_answered, c);
	else
		l->wkr.ops->pace(l->wkr.self, &to, &o->ref, o->percent,
				 on_answered, c);
}

static void next_orders(struct link *k)
{
	struct links *l = k->links;

	while (k->orders_out < ORDERS_AT_ONCE && k->orders.length) {
		struct order *o = g_queue_pop_head(&k->orders);
		struct sched_worker *w = worker_of(k);

		if (w && !l->quiet)
			send_order(k, w, o);
		free(o);
	}
}

static void add_order(struct links *l, const char *worker,
		      const struct sched_ref *ref, enum order_kind kind,
		      int32_t percent)
{
	struct link *k = link_to(l, worker);
	struct order *o = calloc(1, sizeof(*o));

	o->kind = kind;
	o->ref = *ref;
	o->percent = percent;
	g_queue_push_tail(&k->orders, o);
	next_orders(k);
}

void links_start_task(struct links *l, const char *worker,
		      const struct sched_ref *ref)
{
	add_order(l, worker, ref, ORDER_START, 0);
}

void links_stop_task(struct links *l, const char *worker,
		     const struct sched_ref *ref)
{
	add_order(l, worker, ref, ORDER_STOP, 0);
}

void links_pace_task(struct links *l, const char *worker,
		     const struct sched_ref *ref, int32_t percent)
{
	add_order(l, worker, ref, ORDER_PACE, percent);
}

const struct links_counts *links_counts(const struct links *l)
{
	return &l->counts;
}
