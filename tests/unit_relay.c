/* Relays: the messages, calls over real links with workers played by the test,
 * and what becomes of calls when a relay fails. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "fleet/relay_client.h"
#include "fleet/relay_server.h"
#include "tests/fake_rows.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"
#include "transport/lnk.h"

#define TIMEOUT_MS 10000
#define WORKERS 10
#define PORT_FIRST 21700
#define PORTS 200

/* One owner, VM a, and one relay, VM b, in one process. */
struct relay_fixture {
	struct sched_fixture p;
	struct tevent_context *ev;
	struct tmr_set *timers;
	struct fake_rows store;
	struct rows rows;
	struct relay_vm_row relay;
	struct relay_server *server;
	struct relay_entry *entry;
	struct relay_client *client;
	struct wkr iface;
	struct clk clk; /* of the owner */
	int64_t owner_behind_ms;
	/* What reached the workers, and who asked for it. */
	GQueue held; /* struct held_call, unanswered */
	bool hold;
	int by_relay;
	int direct;
	char payload[32];
	int64_t durable_seq;
};

struct held_call {
	wkr_start_cb started;
	wkr_poll_cb polled;
	void *priv;
};

struct result {
	int answered;
	enum sched_start_result started;
	bool acked;
	int32_t n_ends;
	int32_t n_active;
	struct sched_end end;
	struct sched_active active;
};

static struct relay_fixture *fx;

static struct held_call *hold(void *priv)
{
	struct held_call *call = g_new0(struct held_call, 1);

	call->priv = priv;
	g_queue_push_tail(&fx->held, call);
	return call;
}

static void answer_held(void)
{
	struct held_call *call;
	struct sched_end end = {
		.seq = 7,
		.ref = { .job = "j", .step = 1, .index = 2, .run = 3 },
		.reason = SCHED_END_FAILED,
		.checkpoint = "c"
	};
	struct sched_active active = { .ref = { .job = "k", .round = 5 },
				       .percent = 40,
				       .gauge = 1234 };
	struct sched_report report = { .clock_ms = 1000,
				       .born_ms = 1,
				       .n_active = 1,
				       .n_ends = 1,
				       .active = &active,
				       .ends = &end };

	while ((call = g_queue_pop_head(&fx->held))) {
		if (call->started)
			call->started(SCHED_START_NO_ROOM, call->priv);
		else
			call->polled(&report, call->priv);
		g_free(call);
	}
}

static void answer_later(void *priv)
{
	(void)priv;
	if (!fx->hold)
		answer_held();
}

/* `self` is the counter of calls by this way. */
static void take_start(void *self, const struct wkr_target *to,
		       const struct wkr_start_cmd *cmd, wkr_start_cb done,
		       void *priv)
{
	g_assert_cmpstr(to->address, ==, "1.2.3.4:5");
	++*(int *)self;
	g_strlcpy(fx->payload, cmd->payload, sizeof(fx->payload));
	hold(priv)->started = done;
	tmr_after(fx->timers, 1, answer_later, NULL);
}

static void take_poll(void *self, const struct wkr_target *to,
		      int64_t durable_seq, int64_t wait_ms, wkr_poll_cb done,
		      void *priv)
{
	(void)to;
	(void)wait_ms;
	++*(int *)self;
	fx->durable_seq = durable_seq;
	hold(priv)->polled = done;
	tmr_after(fx->timers, 1, answer_later, NULL);
}

static const struct wkr_ops worker_ops = { .start = take_start,
					   .poll = take_poll };

static struct timespec owner_mono(void *priv)
{
	struct timespec t = clk_system.mono(clk_system.priv);

	(void)priv;
	t.tv_sec -= fx->owner_behind_ms / 1000;
	return t;
}

static struct timespec owner_wall(void *priv)
{
	(void)priv;
	return clk_system.wall(clk_system.priv);
}

static void run_for(int64_t ms)
{
	int64_t end = clk_mono_ms(&clk_system) + ms;

	tmr_after(fx->timers, ms, answer_later, NULL);
	while (clk_mono_ms(&clk_system) < end)
		tevent_loop_once(fx->ev);
}

static void await_links(int32_t n)
{
	int64_t end = clk_mono_ms(&clk_system) + TIMEOUT_MS;

	while (relay_client_links(fx->client) != n) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		relay_client_update(fx->client, &fx->p.s);
		run_for(20);
	}
}

/* The port may be in use by another test's process. */
static void start_server(void)
{
	struct wkr wkr = { &worker_ops, &fx->by_relay };
	struct err e = { 0 };

	for (uint16_t i = 0; !fx->server; i++) {
		g_assert_cmpint(i, <, PORTS);
		if (!fx->relay.port || i)
			fx->relay.port = (uint16_t)(PORT_FIRST + i);
		fx->server =
			relay_server_start(fx->ev, fx->ev, &wkr, &clk_system,
					   fx->relay.ip, fx->relay.port, &e);
	}
}

static void relay_fixture_open(void)
{
	struct relay_vm_row self = { .vm = "a",
				     .ip = "127.0.0.1",
				     .port = 1,
				     .domain = "d",
				     .cpu_milli = 1 };
	struct wkr direct = { &worker_ops, NULL };
	char id[16];

	fx = g_new0(struct relay_fixture, 1);
	fixture_open(&fx->p, 1, NULL);
	for (int i = 0; i < WORKERS; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		fixture_add_worker(&fx->p, id, "r");
	}
	fx->ev = tevent_context_init(NULL);
	fx->timers = tmr_set_start(fx->ev, fx->ev);
	fake_rows_init(&fx->store, fx->timers);
	fx->rows = fake_rows_iface(&fx->store);
	fx->clk = (struct clk){ owner_mono, owner_wall, NULL };
	fx->relay = (struct relay_vm_row){
		.vm = "b", .ip = "127.0.0.1", .domain = "d", .cpu_milli = 500
	};
	start_server();
	fx->entry =
		relay_entry_start(fx->ev, fx->timers, &fx->rows, &fx->relay);
	direct.self = &fx->direct;
	fx->client = relay_client_start(fx->ev, fx->ev, fx->timers, &fx->clk,
					&fx->rows, &direct, &self);
	fx->iface = relay_client_iface(fx->client);
	await_links(1);
}

static void relay_fixture_close(void)
{
	relay_client_disable(fx->client);
	run_for(20);
	answer_held();
	talloc_free(fx->ev);
	fake_rows_destroy(&fx->store);
	fixture_close(&fx->p);
	g_free(fx);
}

static void on_started(enum sched_start_result res, void *priv)
{
	struct result *r = priv;

	r->answered++;
	r->started = res;
}

static void on_polled(const struct sched_report *report, void *priv)
{
	struct result *r = priv;

	r->answered++;
	if (!report)
		return;
	r->acked = true;
	r->n_ends = report->n_ends;
	r->n_active = report->n_active;
	if (report->n_ends)
		r->end = report->ends[0];
	if (report->n_active)
		r->active = report->active[0];
}

static struct wkr_target target(const char *domain)
{
	return (struct wkr_target){ .id = "w0",
				    .address = "1.2.3.4:5",
				    .domain = domain,
				    .fence = 9,
				    .timeout_ms = 700 };
}

static void send_start(const char *job, struct result *r)
{
	struct wkr_target to = target("d");
	struct sched_ref ref = { .run = 1 };
	struct wkr_start_cmd cmd = { .ref = &ref, .payload = "spec" };

	g_strlcpy(ref.job, job, sizeof(ref.job));
	memset(r, 0, sizeof(*r));
	fx->iface.ops->start(fx->iface.self, &to, &cmd, on_started, r);
	g_assert_cmpint(r->answered, ==, 0);
}

static void send_poll(const char *domain, struct result *r)
{
	struct wkr_target to = target(domain);

	memset(r, 0, sizeof(*r));
	fx->iface.ops->poll(fx->iface.self, &to, 6, 0, on_polled, r);
	g_assert_cmpint(r->answered, ==, 0);
}

static void await(const struct result *r)
{
	int64_t end = clk_mono_ms(&clk_system) + TIMEOUT_MS;

	while (!r->answered) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		run_for(5);
	}
	g_assert_cmpint(r->answered, ==, 1);
}

/* Both ends count the same bytes, each call under its purpose: the figures of a
 * narrow link are otherwise blamed on the wrong messages. */
static void check_traffic(void)
{
	const struct traffic *owner = relay_client_traffic(fx->client);
	const struct traffic *relay = relay_server_traffic(fx->server);

	g_assert_cmpint(owner->out[TRAFFIC_STARTS].calls, ==, 3);
	g_assert_cmpint(owner->out[TRAFFIC_REPORTS].calls, ==, 1);
	for (int i = TRAFFIC_STARTS; i <= TRAFFIC_REPORTS; i++) {
		g_assert_cmpint(owner->out[i].bytes, ==, relay->in[i].bytes);
		g_assert_cmpint(owner->in[i].bytes, ==, relay->out[i].bytes);
		g_assert_cmpint(owner->in[i].calls, ==, owner->out[i].calls);
	}
}

static void test_calls(void)
{
	struct result r;

	relay_fixture_open();
	for (int i = 0; i < 3; i++) {
		fx->payload[0] = '\0';
		send_start("j", &r);
		await(&r);
		g_assert_cmpint(r.started, ==, SCHED_START_NO_ROOM);
		g_assert_cmpstr(fx->payload, ==, "spec");
	}
	send_poll("d", &r);
	await(&r);
	g_assert_cmpint(fx->durable_seq, ==, 6);
	g_assert_cmpint(r.n_ends, ==, 1);
	g_assert_cmpint(r.end.seq, ==, 7);
	g_assert_cmpint(r.end.ref.run, ==, 3);
	g_assert_cmpint(r.end.reason, ==, SCHED_END_FAILED);
	g_assert_cmpstr(r.end.checkpoint, ==, "c");
	g_assert_cmpint(r.active.ref.round, ==, 5);
	g_assert_cmpint(r.active.gauge, ==, 1234);
	g_assert_cmpint(fx->by_relay, ==, 4);
	g_assert_cmpint(fx->direct, ==, 0);
	/* No relay is in that worker's domain. */
	send_poll("e", &r);
	await(&r);
	g_assert_cmpint(fx->direct, ==, 1);
	check_traffic();
	relay_fixture_close();
}

/* Returns how many bytes the report took. */
static int64_t poll_bytes(struct result *r)
{
	const struct traffic *t = relay_client_traffic(fx->client);
	int64_t before = t->in[TRAFFIC_REPORTS].bytes;

	send_poll("d", r);
	await(r);
	g_assert_cmpint(r->end.seq, ==, 7);
	g_assert_cmpint(r->active.gauge, ==, 1234);
	return t->in[TRAFFIC_REPORTS].bytes - before;
}

/* A report like the last one is sent as a difference and arrives whole. */
static void test_reports_as_differences(void)
{
	struct result r;
	int64_t whole;

	relay_fixture_open();
	whole = poll_bytes(&r);
	g_assert_cmpint(poll_bytes(&r), <, whole * 2 / 3);
	relay_fixture_close();
}

/* The payload of a job that was dropped from both ends is sent again. */
static void test_many_jobs(void)
{
	struct result r;
	char id[16];

	relay_fixture_open();
	for (int round = 0; round < 2; round++) {
		for (int i = 0; i < 300; i++) {
			g_snprintf(id, sizeof(id), "j%d", i);
			fx->payload[0] = '\0';
			send_start(id, &r);
			await(&r);
			g_assert_cmpstr(fx->payload, ==, "spec");
		}
	}
	relay_fixture_close();
}

/* A relay that ends leaves its calls without answer: a start may have taken
 * effect. Others go directly, and by the relay once it is back. */
static void test_relay_ends(void)
{
	struct result start;
	struct result poll;
	struct result r;

	relay_fixture_open();
	fx->hold = true;
	send_start("j", &start);
	send_poll("d", &poll);
	run_for(50);
	g_assert_cmpint(fx->by_relay, ==, 2);
	TALLOC_FREE(fx->server);
	await(&start);
	await(&poll);
	g_assert_cmpint(start.started, ==, SCHED_START_UNKNOWN);
	g_assert_false(poll.acked);
	fx->hold = false;
	send_poll("d", &r);
	await(&r);
	g_assert_cmpint(fx->direct, ==, 1);
	relay_fixture_close();
}

/* A relay that doesn't answer is given up, with all its calls. */
static void test_silent_relay(void)
{
	struct result r;

	relay_fixture_open();
	fx->hold = true;
	send_start("j", &r);
	await(&r);
	g_assert_cmpint(r.started, ==, SCHED_START_UNKNOWN);
	g_assert_cmpint(relay_client_links(fx->client), ==, 0);
	relay_fixture_close();
}

static void ignore_frame(struct lnk *link, const uint8_t *data, size_t len,
			 void *priv)
{
	(void)link;
	(void)data;
	(void)len;
	(void)priv;
}

static void ignore_close(struct lnk *link, void *priv)
{
	(void)link;
	(void)priv;
}

/* A relay that is frozen, or whose link went silent, is left long before the
 * leases of its workers expire, however long its calls may take. */
static void test_frozen_relay(void)
{
	static const struct lnk_ops ops = { NULL, ignore_frame, ignore_close };
	struct wkr_target to = target("e");
	struct relay_vm_row frozen;
	struct lnk_srv *srv = NULL;
	struct err e = { 0 };
	struct result r = { 0 };
	int64_t began;

	relay_fixture_open();
	frozen = fx->relay;
	g_strlcpy(frozen.vm, "c", sizeof(frozen.vm));
	g_strlcpy(frozen.domain, "e", sizeof(frozen.domain));
	for (int i = 0; !srv && i < PORTS; i++) {
		frozen.port++;
		srv = lnk_listen(fx->ev, fx->ev, frozen.ip, frozen.port, &ops,
				 NULL, &e);
	}
	relay_entry_start(fx->ev, fx->timers, &fx->rows, &frozen);
	fixture_add_worker(&fx->p, "x", "r");
	g_strlcpy(fixture_worker(&fx->p, "x")->row.domain, "e",
		  sizeof(frozen.domain));
	await_links(2);
	began = clk_mono_ms(&clk_system);
	to.timeout_ms = 60000;
	fx->iface.ops->poll(fx->iface.self, &to, 6, 0, on_polled, &r);
	await(&r);
	g_assert_false(r.acked);
	g_assert_cmpint(clk_mono_ms(&clk_system) - began, <, 4000);
	/* The sound relay was not given up. */
	g_assert_cmpint(relay_client_links(fx->client), ==, 1);
	g_assert_cmpint(relay_client_counts(fx->client)->links_lost, ==, 1);
	relay_fixture_close();
}

/* The link froze, or the relay did: calls that were under way meanwhile are not
 * carried out, though their timeouts seem to be ahead. */
static void test_late_call_is_dropped(void)
{
	struct result r;

	relay_fixture_open();
	send_start("j", &r);
	await(&r);
	g_assert_cmpint(r.started, ==, SCHED_START_NO_ROOM);
	fx->owner_behind_ms = 3000;
	send_start("j", &r);
	await(&r);
	g_assert_cmpint(r.started, ==, SCHED_START_TOO_LATE);
	send_poll("d", &r);
	await(&r);
	g_assert_false(r.acked);
	g_assert_cmpint(fx->by_relay, ==, 1);
	g_assert_cmpint(relay_server_dropped(fx->server), ==, 2);
	relay_fixture_close();
}

/* A VM that is about to stop gets no further calls. */
static void test_withdrawn(void)
{
	struct result r;

	relay_fixture_open();
	relay_entry_withdraw(fx->entry);
	run_for(300);
	send_poll("d", &r);
	await(&r);
	g_assert_cmpint(fx->direct, ==, 1);
	relay_fixture_close();
}

/* A weak VM gets fewer workers than a strong one. */
static void test_workers_by_processor(void)
{
	struct relay_vm_row weak;
	struct relay_server *server = NULL;
	struct wkr wkr = { &worker_ops, NULL };
	struct err e = { 0 };
	struct result r;
	int by_weak = 0;
	char id[16];

	relay_fixture_open();
	weak = fx->relay;
	g_strlcpy(weak.vm, "c", sizeof(weak.vm));
	weak.cpu_milli = 100;
	wkr.self = &by_weak;
	for (int i = 0; !server && i < PORTS; i++) {
		weak.port++;
		server = relay_server_start(fx->ev, fx->ev, &wkr, &clk_system,
					    weak.ip, weak.port, &e);
	}
	relay_entry_start(fx->ev, fx->timers, &fx->rows, &weak);
	await_links(2);
	for (int i = 0; i < 300; i++) {
		struct wkr_target to = target("d");

		g_snprintf(id, sizeof(id), "w%d", i);
		to.id = id;
		memset(&r, 0, sizeof(r));
		fx->iface.ops->poll(fx->iface.self, &to, 6, 0, on_polled, &r);
		await(&r);
	}
	g_assert_cmpint(fx->by_relay + by_weak, ==, 300);
	/* 50 workers in proportion. */
	g_assert_cmpint(by_weak, >, 25);
	g_assert_cmpint(by_weak, <, 75);
	relay_fixture_close();
}

/* Rows that another writer made name no relay, and break nothing. */
static void test_odd_rows(void)
{
	static const char *const rows[] = {
		"",
		"{}",
		"[]",
		"{\"ip\":1,\"port\":2,\"domain\":\"d\"}",
		"{\"ip\":\"x\",\"port\":70000,\"domain\":\"d\",\"cpu_milli\":"
		"1}",
		"{\"ip\":\"no address\",\"port\":7,\"domain\":\"d\","
		"\"cpu_milli\":9000}",
	};
	struct result r;
	char key[8];

	relay_fixture_open();
	for (guint i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_snprintf(key, sizeof(key), "x%u", i);
		fake_rows_put(&fx->store, RELAY_TABLE, RELAY_PART, key,
			      rows[i]);
	}
	for (int i = 0; i < 10; i++) {
		relay_client_update(fx->client, &fx->p.s);
		run_for(30);
	}
	send_poll("d", &r);
	await(&r);
	g_assert_cmpint(fx->by_relay, ==, 1);
	relay_fixture_close();
}

void unit_add_relay(void)
{
	g_test_add_func("/relay/calls", test_calls);
	g_test_add_func("/relay/reports-as-differences",
			test_reports_as_differences);
	g_test_add_func("/relay/many-jobs", test_many_jobs);
	g_test_add_func("/relay/relay-ends", test_relay_ends);
	g_test_add_func("/relay/silent-relay", test_silent_relay);
	g_test_add_func("/relay/frozen-relay", test_frozen_relay);
	g_test_add_func("/relay/late-call-is-dropped",
			test_late_call_is_dropped);
	g_test_add_func("/relay/withdrawn", test_withdrawn);
	g_test_add_func("/relay/workers-by-processor",
			test_workers_by_processor);
	g_test_add_func("/relay/odd-rows", test_odd_rows);
}
