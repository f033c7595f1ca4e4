/* Tests of an owner whose list of workers has odd entries: it goes on with the
 * others, and keeps track of what runs at a worker whose entry turns odd. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/shard_ctl.h"
#include "fleet/shard_ctl_int.h"
#include "pf_list.h"
#include "tests/fake_rows.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

#define TIMEOUT_MS 10000
/* Many polls and placements, in ms. */
#define SETTLE_MS 300
#define LOG_LEVEL_ALL 7

/* One fleet process whose workers answer at once; what is started runs on. */
struct odd_fixture {
	struct fleet f;
	struct fake_rows store;
	struct tmr_set *timers;
	int polls;
	GArray *active; /* struct sched_active, of all workers */
};

static struct odd_fixture *fx;

static int64_t now_ms(void)
{
	return clk_mono_ms(&clk_system);
}

static void apply(const char *id, const char *text)
{
	struct rows_row row = {
		.part = "", .key = id, .value = (char *)text, .version = 1
	};

	pf_list_apply(&fx->f, &row);
}

static void apply_worker(const char *id, int port)
{
	g_autofree char *text = g_strdup_printf(
		"{\"service\":\"p\",\"addr\":\"10.0.0.1:%d\",\"zone\":\"z\","
		"\"state\":\"ready\",\"born\":1,\"capacity\":{\"cpu\":8000,"
		"\"mem_mb\":8000}}",
		port);

	apply(id, text);
}

static void subscribe_list(void *self, bool on)
{
	(void)self;
	(void)on;
}

struct pending_poll {
	wkr_poll_cb done;
	void *priv;
};

static void answer_poll(void *priv)
{
	struct pending_poll *poll = priv;
	struct sched_report report = {
		.clock_ms = now_ms(),
		.born_ms = 1,
		.n_active = (int32_t)fx->active->len,
		.active = (struct sched_active *)fx->active->data,
	};

	poll->done(&report, poll->priv);
	g_free(poll);
}

static void take_poll(void *self, const struct wkr_target *to, int64_t seq,
		      int64_t wait_ms, wkr_poll_cb done, void *priv)
{
	struct pending_poll *poll = g_new(struct pending_poll, 1);

	(void)self;
	(void)to;
	(void)seq;
	(void)wait_ms;
	*poll = (struct pending_poll){ done, priv };
	fx->polls++;
	tmr_after(fx->timers, 5, answer_poll, poll);
}

static void take_start(void *self, const struct wkr_target *to,
		       const struct wkr_start_cmd *start, wkr_start_cb done,
		       void *priv)
{
	struct sched_active a = { .ref = *start->ref, .percent = 50 };

	(void)self;
	(void)to;
	g_array_append_val(fx->active, a);
	done(SCHED_START_OK, priv);
}

static struct sched *sched_of_owner(void)
{
	return &fx->f.shard_ctls[0]->sched;
}

static void wake_loop(void *priv)
{
	(void)priv;
}

static void run_loop_ms(int64_t ms)
{
	int64_t end = now_ms() + ms;

	tmr_after(fx->timers, ms, wake_loop, NULL);
	while (now_ms() < end)
		tevent_loop_once(fx->f.ev);
}

/* Opens an owner whose list has worker v. */
static void odd_fixture_open(void)
{
	static const struct fleet_directory_ops directory_ops = {
		subscribe_list
	};
	static const struct wkr_ops wkr_ops = { .start = take_start,
						.poll = take_poll };
	struct fleet_settings set = {
		.vm = "a",
		.incarnation = "1",
		.shards = 1,
		.row_bytes_max = 2000,
		.owner = { .poll_ms = 20,
			   .silence_ms = 2000,
			   .heartbeat_ms = 50,
			   .commit_gap_ms = 5,
			   .claim_delay_ms = 1,
			   .cpu_milli = 500,
			   .lease_ms = FIXTURE_LEASE_MS },
		.sched = { .lease_ms = FIXTURE_LEASE_MS,
			   .lease_max_ms = FIXTURE_LEASE_MS,
			   .stop_ms = 900 },
	};
	struct fleet_interfaces interfaces = { .directory = { &directory_ops,
							      NULL } };
	struct tevent_context *ev = tevent_context_init(NULL);
	struct catalog *c = talloc_zero(ev, struct catalog);
	int64_t end = now_ms() + TIMEOUT_MS;

	fx = talloc_zero(ev, struct odd_fixture);
	fx->timers = tmr_set_start(ev, ev);
	fx->active = g_array_new(FALSE, TRUE, sizeof(struct sched_active));
	fake_rows_init(&fx->store, fx->timers);
	interfaces.rows = fake_rows_iface(&fx->store);
	interfaces.wkr = (struct wkr){ &wkr_ops, NULL };
	fleet_init(&fx->f, &set, ev, fx->timers, &clk_system, &interfaces);
	c->version = 1;
	c->queues = talloc_zero_array(c, struct catalog_queue, 1);
	c->n_queues = 1;
	g_strlcpy(c->queues[0].name, "short", sizeof(c->queues[0].name));
	g_strlcpy(c->queues[0].pool, "p", sizeof(c->queues[0].pool));
	fleet_start(&fx->f);
	fleet_set_catalog(&fx->f, c);
	while (shard_ctl_is_released(fx->f.shard_ctls[0])) {
		g_assert_cmpint(now_ms(), <, end);
		tevent_loop_once(ev);
	}
	apply_worker("v", 1);
	fleet_workers_synced(&fx->f);
}

static void odd_fixture_close(void)
{
	struct fleet *f = &fx->f;

	fleet_shut_down(f, 0);
	while (!shard_ctl_is_released(f->shard_ctls[0]))
		tevent_loop_once(f->ev);
	run_loop_ms(20);
	g_array_free(fx->active, TRUE);
	fake_rows_destroy(&fx->store);
	g_hash_table_destroy(f->waves);
	g_hash_table_destroy(f->domains_out);
	talloc_free(f->ev);
}

static void add_job(const char *id)
{
	sched_job_add(sched_of_owner(), fixture_spec(id, "short", 1, 1), NULL,
		      5, false, now_ms(), clk_wall_ms(&clk_system));
	shard_ctl_place_soon(fx->f.shard_ctls[0]);
}

static void await_starts(guint n)
{
	int64_t end = now_ms() + TIMEOUT_MS;

	while (fx->active->len < n) {
		g_assert_cmpint(now_ms(), <, end);
		tevent_loop_once(fx->f.ev);
	}
}

/*
 * Guards against tasks that start where an odd entry says that there is no
 * worker, since the entry before stayed in use. What runs there is still
 * tracked and its lease renewed, and a good entry brings the worker back.
 */
static void test_entry_turns_odd(void)
{
	int polls;

	odd_fixture_open();
	add_job("a");
	await_starts(1);
	apply_worker("v", 99999);
	run_loop_ms(SETTLE_MS);
	add_job("b");
	polls = fx->polls;
	run_loop_ms(2 * TIMEOUT_MS / 10);
	g_assert_cmpuint(fx->active->len, ==, 1);
	g_assert_cmpint(fx->polls, >, polls);
	g_assert_cmpuint(((struct sched_worker *)g_hash_table_lookup(
				  sched_of_owner()->workers, "v"))
				 ->runs.length,
			 ==, 1);
	g_assert_cmpint(sched_of_owner()->counts.lease_expired, ==, 0);
	apply_worker("v", 1);
	await_starts(2);
	odd_fixture_close();
}

/* Guards against odd entries that hide the others: a page of 500 of them. */
static void test_page_of_odd_entries(void)
{
	odd_fixture_open();
	for (int i = 0; i < 500; i++) {
		g_autofree char *id = g_strdup_printf("x%d", i);

		apply_worker(id, 70000 + i);
	}
	add_job("a");
	await_starts(1);
	g_assert_cmpuint(g_hash_table_size(sched_of_owner()->workers), ==, 1);
	odd_fixture_close();
}

/*
 * Guards against log lines that an entry forges or splits by a line end or
 * quotes in its key or its fields, and against more than one line for it.
 */
static void test_log_line(void)
{
	if (g_test_subprocess()) {
		odd_fixture_open();
		log_set_level(LOG_LEVEL_ALL);
		apply("k\"\n<2>forged key", "{}");
		apply("k", "{\"state\":\"s\\\"\\n<2>forged state\"}");
		log_set_level(0);
		odd_fixture_close();
		return;
	}
	g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
	g_test_trap_assert_passed();
	g_test_trap_assert_stderr("*GD4005*k\\\"\\n<2>forged key*GD4005*"
				  "s\\\"\\n<2>forged state*");
	g_test_trap_assert_stderr_unmatched("*\n<2>*");
	g_test_trap_assert_stderr_unmatched("*GD4005*GD4005*GD4005*");
}

void unit_add_odd_list(void)
{
	g_test_add_func("/odd/entry-turns-odd", test_entry_turns_odd);
	g_test_add_func("/odd/page-of-odd-entries", test_page_of_odd_entries);
	g_test_add_func("/odd/log-line", test_log_line);
}
