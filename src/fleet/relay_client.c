/* Chooses relays, and sends them the owner's calls to workers. */
#include "fleet/relay_int.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/log.h"
#include "transport/lnk.h"

#define WATCH_WAIT_MS 10000
/* Relays wanted in a domain at least, so that one can be lost. */
#define RELAYS_MIN 2
/* A link that is not open after this time, in ms, is given up, and the VM not
 * tried again for RETRY_MS. */
#define CONNECT_MAX_MS 1000
#define RETRY_MS 5000
/* A relay has this much more than a call's timeout to answer it, in ms. */
#define ANSWER_SLACK_MS 1500
#define CHECK_INTERVAL_MS 250
/* A relay that sends nothing for so long, in ms, though it is pinged at each
 * check, is given up: well before the leases of its workers expire. */
#define SILENCE_MAX_MS 2500
#define PING_ID 0
/* Interval at which relays are chosen, in ms. */
#define UPDATE_INTERVAL_MS 500
/* The row of a VM that could not be reached for this long, in ms, is removed: a
 * VM that is replaced for good has no chance to do that itself. */
#define FORGET_MS 600000

/* Another VM, and the link to it. */
struct relay {
	struct relay_client *client;
	struct relay_vm_row row;
	struct lnk *link; /* NULL: none */
	bool open;
	int64_t received_ms; /* when its last message came */
	int64_t connecting_ms; /* when the link was begun */
	int64_t retry_ms; /* not tried before */
	int64_t failed_ms; /* unreachable since then; 0: it is not */
	int64_t version; /* of its row */
	struct relay_payloads payloads; /* valid with a link, as the next */
	struct relay_reports reports;
	GHashTable *calls; /* id to struct pending */
};

static int64_t now_ms(const struct relay_client *c)
{
	return clk_mono_ms(c->clk);
}

/* Reports a call without answer. */
static void fail_call(struct pending *call)
{
	if (call->kind == RELAY_START)
		call->started(SCHED_START_UNKNOWN, call->priv);
	else if (call->kind == RELAY_POLL)
		call->polled(NULL, call->priv);
	else if (call->kind == RELAY_LIST)
		call->listed(NULL, call->priv);
	else
		call->answered(false, call->priv);
	free(call);
}

static void on_opened(struct lnk *link, void *priv)
{
	struct relay *r = priv;

	(void)link;
	r->open = true;
	r->received_ms = now_ms(r->client);
	r->failed_ms = 0;
	g_ptr_array_add(r->client->open, r);
	log_event(LOG_RELAY, "vm=%s what=connected domain=%s", r->row.vm,
		  r->row.domain);
}

/* Returns the report that the answer holds or stands for; NULL with `*fits`
 * unset if its base is not the one that is kept here. */
static const struct sched_report *take_report(struct relay *r, void *ctx,
					      const struct pending *call,
					      const struct relay_answer *answer,
					      bool *fits)
{
	const struct sched_report *report = answer->report;

	if (answer->delta)
		report = relay_reports_apply(ctx, &r->reports, call->worker,
					     answer->delta);
	*fits = report || !answer->delta;
	if (report && answer->number)
		relay_reports_keep(&r->reports, call->worker, answer->number,
				   report);
	return report;
}

static void close_invalid(struct relay *r, struct lnk *link, size_t len)
{
	log_event(
		LOG_BAD_ANSWER,
		"vm=%s bytes=%zu why=\"invalid answer of a relay; closing its "
		"link\"",
		r->row.vm, len);
	lnk_close(link);
}

static void on_frame(struct lnk *link, const uint8_t *data, size_t len,
		     void *priv)
{
	struct relay *r = priv;
	void *tmp = talloc_new(NULL);
	struct relay_answer answer;
	const struct sched_report *report = NULL;
	struct pending *call = NULL;
	bool fits = true;

	if (!relay_unpack_answer(tmp, data, len, &answer)) {
		close_invalid(r, link, len);
		talloc_free(tmp);
		return;
	}
	r->received_ms = now_ms(r->client);
	call = g_hash_table_lookup(r->calls, &answer.id);
	traffic_received(&r->client->traffic,
			 relay_purpose(call ? call->kind : RELAY_PING),
			 LNK_HEADER_BYTES + len);
	if (call && call->kind == RELAY_POLL)
		report = take_report(r, tmp, call, &answer, &fits);
	if (!fits) {
		close_invalid(r, link, len);
	} else if (call) {
		g_hash_table_steal(r->calls, &answer.id);
		if (call->kind == RELAY_START)
			call->started(answer.started, call->priv);
		else if (call->kind == RELAY_POLL)
			call->polled(report, call->priv);
		else if (call->kind == RELAY_LIST)
			call->listed(answer.list, call->priv);
		else
			call->answered(answer.answered, call->priv);
		free(call);
	}
	talloc_free(tmp);
}

/* The link is gone: none of its calls will be answered. */
static void on_closed(struct lnk *link, void *priv)
{
	struct relay *r = priv;
	GList *calls = g_hash_table_get_values(r->calls);

	(void)link;
	if (r->open) {
		g_ptr_array_remove(r->client->open, r);
		r->client->counts.links_lost++;
		log_event(LOG_RELAY, "vm=%s what=lost calls=%u", r->row.vm,
			  g_list_length(calls));
	}
	r->link = NULL;
	r->open = false;
	r->retry_ms = now_ms(r->client) + RETRY_MS;
	if (!r->failed_ms)
		r->failed_ms = now_ms(r->client);
	relay_payloads_finish(&r->payloads);
	relay_reports_finish(&r->reports);
	g_hash_table_steal_all(r->calls);
	for (GList *i = calls; i; i = i->next)
		fail_call(i->data);
	g_list_free(calls);
}

static const struct lnk_ops link_ops = { on_opened, on_frame, on_closed };

static void connect_relay(struct relay *r)
{
	struct relay_client *c = r->client;

	r->connecting_ms = now_ms(c);
	r->link = lnk_connect(c, c->ev, c->self.ip, r->row.ip, r->row.port,
			      &link_ops, r);
	if (r->link) {
		relay_payloads_init(&r->payloads);
		relay_reports_init(&r->reports);
	} else {
		r->retry_ms = now_ms(c) + RETRY_MS;
	}
}

/* Returns a number by which the relay with the highest one is chosen for the
 * worker, so that each relay gets workers in proportion to what it can do. */
static double preference(const struct relay *r, const char *worker)
{
	uint64_t hash = XXH64(r->row.vm, strlen(r->row.vm),
			      XXH64(worker, strlen(worker), 0));
	double uniform = ((double)hash + 1) / ((double)UINT64_MAX + 2);

	return (double)relay_table_workers_milli(&r->row) / -log(uniform);
}

static int compare_relays(const void *a, const void *b)
{
	const struct relay *x = *(struct relay *const *)a;
	const struct relay *y = *(struct relay *const *)b;

	int64_t x_milli = relay_table_workers_milli(&x->row);
	int64_t y_milli = relay_table_workers_milli(&y->row);

	if (x_milli != y_milli)
		return x_milli > y_milli ? -1 : 1;
	return strcmp(x->row.vm, y->row.vm);
}

/* Returns the connected relay for the worker: the same one as long as the
 * domain's relays are the same. */
static struct relay *choose_relay(const struct relay_client *c,
				  const struct wkr_target *to)
{
	struct relay *best = NULL;
	double best_preference = 0;

	if (!c->enabled || !to->domain)
		return NULL;
	for (guint i = 0; i < c->open->len; i++) {
		struct relay *r = g_ptr_array_index(c->open, i);
		double p;

		/* A VM without a row is about to stop. */
		if (!r->row.port || strcmp(r->row.domain, to->domain))
			continue;
		p = preference(r, to->id);
		if (best && p <= best_preference)
			continue;
		best = r;
		best_preference = p;
	}
	return best;
}

static struct pending *new_pending(struct relay *r, struct relay_call *call)
{
	struct pending *p = calloc(1, sizeof(*p));

	call->id = ++r->client->last_id;
	call->sent_ms = now_ms(r->client);
	p->id = call->id;
	p->kind = call->kind;
	g_strlcpy(p->worker, call->to.id, sizeof(p->worker));
	p->deadline_ms = call->sent_ms + call->to.timeout_ms + ANSWER_SLACK_MS;
	g_hash_table_insert(r->calls, &p->id, p);
	return p;
}

static void send_call(struct relay *r, const struct relay_call *call)
{
	size_t len;
	uint8_t *data = relay_pack_call(r->client, call, &len);

	/* If the link fails, on_closed() reports the call. */
	lnk_send(r->link, data, len);
	traffic_sent(&r->client->traffic, relay_purpose(call->kind),
		     LNK_HEADER_BYTES + len);
	talloc_free(data);
}

struct pending *relay_try(struct relay_client *c, struct relay_call *call,
			  const char *payload, void *priv)
{
	struct relay *r = choose_relay(c, &call->to);
	struct pending *p;

	if (!r) {
		c->counts.direct++;
		return NULL;
	}
	if (payload && !relay_payloads_find(&r->payloads, call->ref.job)) {
		call->payload = payload;
		relay_payloads_add(&r->payloads, call->ref.job, "");
	}
	call->base = call->kind == RELAY_POLL
			     ? relay_reports_number(&r->reports, call->to.id)
			     : 0;
	p = new_pending(r, call);
	p->priv = priv;
	c->counts.relayed++;
	send_call(r, call);
	return p;
}

struct pending *relay_try_list(struct relay_client *c, struct relay_call *call)
{
	struct relay *best = NULL;
	struct pending *p;

	for (guint i = 0; c->enabled && i < c->open->len; i++) {
		struct relay *r = g_ptr_array_index(c->open, i);

		if (r->row.port && r->row.lists &&
		    (!best || compare_relays(&r, &best) < 0))
			best = r;
	}
	if (!best)
		return NULL;
	p = new_pending(best, call);
	send_call(best, call);
	return p;
}

static bool has_overdue_call(const struct relay *r, int64_t now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (now > ((const struct pending *)value)->deadline_ms)
			return true;
	}
	return false;
}

static bool is_silent(const struct relay *r, int64_t now)
{
	return (r->open && now - r->received_ms > SILENCE_MAX_MS) ||
	       has_overdue_call(r, now);
}

static void send_ping(struct relay *r, int64_t now)
{
	struct relay_call ping = { .id = PING_ID,
				   .kind = RELAY_PING,
				   .sent_ms = now,
				   .to = { .id = "", .address = "" } };

	send_call(r, &ping);
}

static void on_forgotten(const struct rows_answer *ans, void *priv)
{
	(void)priv;
	if (ans->result != ROWS_OK)
		log_event(LOG_ROW_UNUSABLE,
			  "table=" RELAY_TABLE
			  " key=- why=\"row of an unreachable VM not removed; "
			  "the next owner will retry\"");
}

static void forget_if_gone(struct relay *r, int64_t now)
{
	struct rows_change change = { .table = RELAY_TABLE,
				      .key = r->row.vm,
				      .remove = true,
				      .conditional = true,
				      .expected = r->version };
	struct rows_tx tx = { .part = RELAY_PART, .n = 1, .changes = &change };

	if (!r->row.port || r->open || !r->failed_ms ||
	    now - r->failed_ms < FORGET_MS)
		return;
	r->row.port = 0;
	r->client->rows.ops->commit(r->client->rows.self, &tx, on_forgotten,
				    NULL);
}

static void check_links(void *priv)
{
	struct relay_client *c = priv;
	int64_t now = now_ms(c);
	/* This VM stood still: what arrived meanwhile is not read yet. */
	bool is_late = now - c->checked_ms > 2 * CHECK_INTERVAL_MS;
	GHashTableIter it;
	gpointer value;

	c->checked_ms = now;
	c->check_timer =
		tmr_after(c->timers, CHECK_INTERVAL_MS, check_links, c);
	g_hash_table_iter_init(&it, c->relays);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct relay *r = value;
		bool slow = r->link && !r->open &&
			    now - r->connecting_ms > CONNECT_MAX_MS;

		if (is_late)
			r->received_ms = now;
		if (r->link && (slow || is_silent(r, now)))
			lnk_close(r->link);
		else if (r->open)
			send_ping(r, now);
		forget_if_gone(r, now);
	}
}

static void on_row(const struct rows_row *row, void *priv)
{
	struct relay_client *c = priv;
	struct relay *r = g_hash_table_lookup(c->relays, row->key);
	struct relay_vm_row parsed = { 0 };

	/* The VM stops, and leaves its link to be closed by itself. */
	if (row->deleted) {
		if (r)
			r->row.port = 0;
		return;
	}
	if (!strcmp(row->key, c->self.vm))
		return;
	if (!relay_table_parse(row, &parsed)) {
		log_event(LOG_ROW_UNUSABLE,
			  "table=" RELAY_TABLE
			  " key=%s why=\"not a relay's address\"",
			  row->key);
		return;
	}
	if (!r) {
		r = talloc_zero(c, struct relay);
		r->client = c;
		r->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
		r->row = parsed;
		r->version = row->version;
		g_hash_table_insert(c->relays, r->row.vm, r);
		return;
	}
	r->row = parsed;
	r->version = row->version;
	r->retry_ms = 0;
	r->failed_ms = 0;
}

static void on_synced(int64_t version, int64_t store_ms, void *priv)
{
	(void)version;
	(void)store_ms;
	(void)priv;
}

static const struct row_watch_ops watch_ops = { on_row, on_synced };

static void enable(struct relay_client *c)
{
	struct row_watch_options opt = { .table = RELAY_TABLE,
					 .part = RELAY_PART,
					 .wait_ms = WATCH_WAIT_MS };

	c->enabled = true;
	c->watch = row_watch_start(c, &c->rows, c->timers, &opt, &watch_ops, c);
	check_links(c);
}

void relay_client_disable(struct relay_client *c)
{
	GHashTableIter it;
	gpointer value;

	if (!c->enabled)
		return;
	c->enabled = false;
	TALLOC_FREE(c->watch);
	TALLOC_FREE(c->check_timer);
	g_hash_table_iter_init(&it, c->relays);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct relay *r = value;

		if (r->link)
			lnk_close(r->link);
	}
}

/* Connects to enough relays of the domain for `workers`, the strongest first.
 */
static void want_relays(struct relay_client *c, const char *domain,
			int64_t workers)
{
	GPtrArray *list = g_ptr_array_new();
	int64_t lacks_milli = workers * 1000;
	int64_t now = now_ms(c);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->relays);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct relay *r = value;
		bool usable = r->link || (r->row.port && now >= r->retry_ms);

		if (usable && !strcmp(r->row.domain, domain))
			g_ptr_array_add(list, r);
	}
	g_ptr_array_sort(list, compare_relays);
	for (guint i = 0; i < list->len && (lacks_milli > 0 || i < RELAYS_MIN);
	     i++) {
		struct relay *r = g_ptr_array_index(list, i);

		lacks_milli -= relay_table_workers_milli(&r->row);
		if (!r->link)
			connect_relay(r);
	}
	g_ptr_array_free(list, TRUE);
}

void relay_client_update(struct relay_client *c, const struct sched *s)
{
	GHashTableIter it;
	gpointer domain;
	gpointer n;

	if (!c->enabled &&
	    relay_table_needs_relays(&c->self, s->worker_list->len))
		enable(c);
	if (!c->enabled || now_ms(c) < c->update_due_ms)
		return;
	c->update_due_ms = now_ms(c) + UPDATE_INTERVAL_MS;
	g_hash_table_remove_all(c->demand);
	for (guint i = 0; i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);

		n = g_hash_table_lookup(c->demand, w->row.domain);
		g_hash_table_insert(c->demand, g_strdup(w->row.domain),
				    GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
	}
	g_hash_table_iter_init(&it, c->demand);
	while (g_hash_table_iter_next(&it, &domain, &n))
		want_relays(c, domain, GPOINTER_TO_INT(n));
}

static int client_destructor(struct relay_client *c)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->relays);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_hash_table_destroy(((struct relay *)value)->calls);
	g_hash_table_destroy(c->relays);
	g_hash_table_destroy(c->demand);
	g_ptr_array_free(c->open, TRUE);
	return 0;
}

struct relay_client *
relay_client_start(void *ctx, struct tevent_context *ev, struct tmr_set *timers,
		   const struct clk *clk, const struct rows *rows,
		   const struct wkr *direct, const struct relay_vm_row *self)
{
	struct relay_client *c = talloc_zero(ctx, struct relay_client);

	c->ev = ev;
	c->timers = timers;
	c->clk = clk;
	c->rows = *rows;
	c->direct = *direct;
	c->self = *self;
	c->relays = g_hash_table_new(g_str_hash, g_str_equal);
	c->open = g_ptr_array_new();
	c->demand =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(c, client_destructor);
	return c;
}

const struct relay_client_counts *
relay_client_counts(const struct relay_client *c)
{
	return &c->counts;
}

const struct traffic *relay_client_traffic(const struct relay_client *c)
{
	return &c->traffic;
}

int32_t relay_client_known(const struct relay_client *c)
{
	return c ? (int32_t)g_hash_table_size(c->relays) : 0;
}

int32_t relay_client_links(const struct relay_client *c)
{
	return (int32_t)c->open->len;
}
