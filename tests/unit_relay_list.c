/* The list of workers, read through a relay that leaves out heartbeats. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "fleet/relay_client.h"
#include "fleet/relay_server.h"
#include "pf_list.h"
#include "state/row_watch.h"
#include "tests/fake_rows.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

#define TIMEOUT_MS 20000
#define PORT_FIRST 21900
#define PORTS 90
#define KEYS 12
#define STEPS 2000

/* Values are "CONTENT.HEARTBEAT". */
static bool same_content(const char *key, const char *a, const char *b)
{
	(void)key;
	return strcspn(a, ".") == strcspn(b, ".") &&
	       !strncmp(a, b, strcspn(a, "."));
}

/* A store, what the relay knows of it, and what an owner does. */
struct drawn {
	int content[KEYS]; /* -1: no row */
	int64_t versions[KEYS]; /* of the last change */
	int64_t version;
	struct list_view view;
	int64_t view_version; /* the relay has seen the changes up to it */
	int owner[KEYS];
	int64_t owner_known[KEYS];
	int64_t after;
	int by_relay;
};

static void fill_row(const struct drawn *d, int k, struct rows_row *row,
		     char key[8], char value[32])
{
	g_snprintf(key, 8, "k%d", k);
	g_snprintf(value, 32, "%d.%d", d->content[k], (int)d->versions[k]);
	*row = (struct rows_row){ .part = "",
				  .key = key,
				  .value = d->content[k] < 0 ? NULL : value,
				  .version = d->versions[k],
				  .deleted = d->content[k] < 0 };
}

static void change_store(struct drawn *d)
{
	int k = g_test_rand_int_range(0, KEYS);
	int what = g_test_rand_int_range(0, 10);

	if (what > 1 && d->content[k] < 0)
		return;
	if (what == 0)
		d->content[k] = -1;
	else if (what == 1)
		d->content[k] = g_test_rand_int_range(0, 2);
	d->versions[k] = ++d->version;
}

/* The relay gets changes from the store. */
static void update_view(struct drawn *d)
{
	for (int k = 0; k < KEYS; k++) {
		struct rows_row row;
		char key[8];
		char value[32];

		fill_row(d, k, &row, key, value);
		if (row.version > d->view_version)
			list_view_add(&d->view, &row);
	}
	d->view_version = d->version;
	list_view_sync(&d->view, d->version, 1);
}

/* The owner applies a row as row_watch does. */
static void apply(struct drawn *d, const struct rows_row *row)
{
	int k = atoi(row->key + 1);

	if (row->version <= d->owner_known[k])
		return;
	d->owner_known[k] = row->version;
	d->owner[k] = row->deleted ? -1 : atoi(row->value);
}

static void ask_store(struct drawn *d)
{
	for (int k = 0; k < KEYS; k++) {
		struct rows_row row;
		char key[8];
		char value[32];

		fill_row(d, k, &row, key, value);
		if (row.version > d->after)
			apply(d, &row);
	}
	d->after = d->version;
}

static void ask(struct drawn *d)
{
	void *ctx = talloc_new(NULL);
	struct list_changes list;

	if (list_view_collect(ctx, &d->view, d->after, &list)) {
		d->by_relay++;
		g_assert_cmpint(list.version, >=, d->after);
		for (int32_t i = 0; i < list.n; i++)
			apply(d, &list.rows[i]);
		d->after = list.version;
	} else {
		ask_store(d);
	}
	talloc_free(ctx);
}

/*
 * Guards against an owner that misses a change or a deletion: it is told by a
 * relay that lags, or by the store when the relay was restarted, and in the end
 * it knows what the store has.
 */
static void test_no_change_is_missed(void)
{
	struct drawn d = { 0 };

	for (int k = 0; k < KEYS; k++)
		d.content[k] = d.owner[k] = -1;
	list_view_init(&d.view, same_content);
	for (int i = 0; i < STEPS; i++) {
		change_store(&d);
		if (!g_test_rand_int_range(0, 5))
			update_view(&d);
		if (!g_test_rand_int_range(0, 5))
			ask(&d);
		if (!g_test_rand_int_range(0, 20))
			ask_store(&d);
		if (!g_test_rand_int_range(0, 100)) {
			list_view_finish(&d.view);
			list_view_init(&d.view, same_content);
			d.view_version = 0;
		}
		if (g_test_rand_int_range(0, 50))
			continue;
		update_view(&d);
		ask(&d);
		for (int k = 0; k < KEYS; k++)
			g_assert_cmpint(d.owner[k], ==, d.content[k]);
	}
	g_assert_cmpint(d.by_relay, >, STEPS / 20);
	list_view_finish(&d.view);
}

/* One owner and one relay in one process, and a watch of the owner. */
struct list_fixture {
	struct sched_fixture p;
	struct tevent_context *ev;
	struct tmr_set *timers;
	struct fake_rows store;
	struct rows rows;
	struct relay_vm_row relay;
	struct relay_server *server;
	struct relay_client *client;
	struct row_watch *watch;
	int rows_seen;
	int synced;
	char last[32]; /* value of the row that was seen last; "-": deleted */
};

static void on_row(const struct rows_row *row, void *priv)
{
	struct list_fixture *fx = priv;

	fx->rows_seen++;
	g_strlcpy(fx->last, row->deleted ? "-" : row->value, sizeof(fx->last));
}

static void on_synced(int64_t version, int64_t store_ms, void *priv)
{
	struct list_fixture *fx = priv;

	(void)version;
	(void)store_ms;
	fx->synced++;
}

static const struct row_watch_ops watch_ops = { on_row, on_synced };

static void do_nothing(void *priv)
{
	(void)priv;
}

static void run_for(struct list_fixture *fx, int64_t ms)
{
	int64_t end = clk_mono_ms(&clk_system) + ms;

	tmr_after(fx->timers, ms, do_nothing, NULL);
	while (clk_mono_ms(&clk_system) < end)
		tevent_loop_once(fx->ev);
}

static const struct relay_client_counts *counts(const struct list_fixture *fx)
{
	return relay_client_counts(fx->client);
}

static void put(struct list_fixture *fx, const char *key, const char *value)
{
	fake_rows_put(&fx->store, "list", "", key, value);
}

static void await_last(struct list_fixture *fx, const char *value)
{
	int64_t end = clk_mono_ms(&clk_system) + TIMEOUT_MS;

	while (strcmp(fx->last, value)) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		run_for(fx, 10);
	}
}

static void await_relayed(struct list_fixture *fx)
{
	int64_t end = clk_mono_ms(&clk_system) + TIMEOUT_MS;
	int64_t before = counts(fx)->lists_relayed;

	while (counts(fx)->lists_relayed < before + 2) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		relay_client_update(fx->client, &fx->p.s);
		run_for(fx, 20);
	}
}

static void list_fixture_open(struct list_fixture *fx, bool lists)
{
	static const struct wkr no_workers = { 0 };
	struct relay_vm_row self = { .vm = "a",
				     .ip = "127.0.0.1",
				     .port = 1,
				     .domain = "d",
				     .cpu_milli = 1 };
	struct row_watch_options opt = {
		.table = "list", .part = "", .wait_ms = 100, .gap_ms = 50
	};
	struct rows list_rows;
	struct err e = { 0 };

	memset(fx, 0, sizeof(*fx));
	fixture_open(&fx->p, 1, NULL);
	for (int i = 0; i < 10; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "w%d", i);
		fixture_add_worker(&fx->p, id, "r");
	}
	fx->ev = tevent_context_init(NULL);
	fx->timers = tmr_set_start(fx->ev, fx->ev);
	fake_rows_init(&fx->store, fx->timers);
	fx->rows = fake_rows_iface(&fx->store);
	fx->relay = (struct relay_vm_row){ .vm = "b",
					   .ip = "127.0.0.1",
					   .domain = "d",
					   .cpu_milli = 500,
					   .lists = lists };
	for (int i = 0; i < PORTS && !fx->server; i++) {
		fx->relay.port = (uint16_t)(PORT_FIRST + i);
		fx->server = relay_server_start(fx->ev, fx->ev, &no_workers,
						&clk_system, fx->relay.ip,
						fx->relay.port, &e);
	}
	g_assert_nonnull(fx->server);
	relay_server_share_list(fx->server,
				list_share_start(fx->ev, &fx->rows, fx->timers,
						 &clk_system, "list",
						 same_content));
	relay_entry_start(fx->ev, fx->timers, &fx->rows, &fx->relay);
	fx->client = relay_client_start(fx->ev, fx->ev, fx->timers, &clk_system,
					&fx->rows, &no_workers, &self);
	list_rows = relay_client_list_rows(fx->client);
	put(fx, "x", "1.0");
	fx->watch = row_watch_start(fx->ev, &list_rows, fx->timers, &opt,
				    &watch_ops, fx);
}

static void list_fixture_close(struct list_fixture *fx)
{
	TALLOC_FREE(fx->watch);
	relay_client_disable(fx->client);
	run_for(fx, 200);
	talloc_free(fx->ev);
	fake_rows_destroy(&fx->store);
	fixture_close(&fx->p);
}

/* Changes and deletions come through the relay, heartbeats don't; without the
 * relay the store is asked, and no change is lost. */
static void test_watch(void)
{
	struct list_fixture fx;
	struct traffic_sum before;
	struct traffic_sum after;
	int seen;

	list_fixture_open(&fx, true);
	await_relayed(&fx);
	put(&fx, "x", "2.0");
	await_last(&fx, "2.0");
	seen = fx.rows_seen;
	before = relay_client_traffic(fx.client)->in[TRAFFIC_WORKER_LIST];
	for (int i = 1; i < 10; i++) {
		g_autofree char *value = g_strdup_printf("2.%d", i);

		put(&fx, "x", value);
		run_for(&fx, 50);
	}
	g_assert_cmpint(fx.rows_seen, ==, seen);
	after = relay_client_traffic(fx.client)->in[TRAFFIC_WORKER_LIST];
	g_assert_cmpint(after.calls, >, before.calls);
	/* What an answer takes that has no entry. */
	g_assert_cmpint(after.bytes - before.bytes, <=,
			30 * (after.calls - before.calls));
	put(&fx, "x", NULL);
	await_last(&fx, "-");
	TALLOC_FREE(fx.server);
	put(&fx, "x", "3.0");
	await_last(&fx, "3.0");
	list_fixture_close(&fx);
}

/* The store no longer answers the relay: the owner asks it itself, and learns
 * what the relay can't know. */
static void test_relay_without_store(void)
{
	struct list_fixture fx;

	list_fixture_open(&fx, true);
	await_relayed(&fx);
	fx.store.changes_fail = true;
	run_for(&fx, 1500);
	fx.store.changes_fail = false;
	put(&fx, "x", "4.0");
	await_last(&fx, "4.0");
	g_assert_cmpint(counts(&fx)->lists_direct, >, 0);
	list_fixture_close(&fx);
}

/* A relay of an older release would close the link at an unknown message: it is
 * never asked. */
static void test_older_relay(void)
{
	struct list_fixture fx;

	list_fixture_open(&fx, false);
	for (int i = 0; i < 30; i++) {
		relay_client_update(fx.client, &fx.p.s);
		run_for(&fx, 30);
	}
	g_assert_cmpint(relay_client_links(fx.client), ==, 1);
	put(&fx, "x", "5.0");
	await_last(&fx, "5.0");
	g_assert_cmpint(counts(&fx)->lists_relayed, ==, 0);
	g_assert_cmpint(counts(&fx)->links_lost, ==, 0);
	list_fixture_close(&fx);
}

/* Of the platform's entries only heartbeats are left out. */
static void test_heartbeats(void)
{
	static const char *const entry =
		"{\"service\":\"p\",\"addr\":\"1.2.3.4:5\",\"zone\":\"z\","
		"\"version\":\"v\",\"slots\":8,\"state\":\"%s\","
		"\"capacity\":{\"cpu\":%d,\"mem_mb\":9,\"gpu\":0},"
		"\"labels\":[\"a\",\"r%d\"],\"born\":%d,\"seq\":%d}";
	g_autofree char *a = g_strdup_printf(entry, "ready", 8, 1, 1, 1);
	g_autofree char *beat = g_strdup_printf(entry, "ready", 8, 1, 1, 2);
	g_autofree char *drains =
		g_strdup_printf(entry, "draining", 8, 1, 1, 2);
	g_autofree char *shrunk = g_strdup_printf(entry, "ready", 7, 1, 1, 2);
	g_autofree char *reborn = g_strdup_printf(entry, "ready", 8, 1, 2, 1);
	g_autofree char *moved = g_strdup_printf(entry, "ready", 8, 2, 1, 2);

	g_assert_true(pf_list_same("w", a, beat));
	g_assert_false(pf_list_same("w", a, moved));
	g_assert_false(pf_list_same("w", a, drains));
	g_assert_false(pf_list_same("w", a, shrunk));
	g_assert_false(pf_list_same("w", a, reborn));
	g_assert_false(pf_list_same("w", a, "{}"));
	g_assert_false(pf_list_same("w", "no json", "no json"));
}

void unit_add_relay_list(void)
{
	g_test_add_func("/relay-list/no-change-is-missed",
			test_no_change_is_missed);
	g_test_add_func("/relay-list/watch", test_watch);
	g_test_add_func("/relay-list/relay-without-store",
			test_relay_without_store);
	g_test_add_func("/relay-list/older-relay", test_older_relay);
	g_test_add_func("/relay-list/heartbeats", test_heartbeats);
}
