/* Test fixture: one fleet process over a store in memory. */
#include "tests/ctl_fixture.h"

#include <glib.h>
#include <talloc.h>

#include "fleet/job_api.h"
#include "fleet/shard_ctl.h"

struct ctl_fixture *fx;

void fixture_set_orgs(struct catalog *c, const char *const *names, int32_t n)
{
	c->has_orgs = true;
	c->n_orgs = n;
	c->orgs = talloc_zero_array(c, struct org, n);
	c->org_keys = org_keys_new(c);
	for (int32_t i = 0; i < n; i++) {
		struct org_key key;

		g_strlcpy(c->orgs[i].name, names[i], sizeof(c->orgs[i].name));
		org_key_init(&key, names[i], strlen(names[i]));
		org_keys_add(c->org_keys, &key, &c->orgs[i]);
	}
}

struct access fixture_caller(const char *org)
{
	struct access who = { .has_orgs = true, .has_key = *org != '\0' };

	g_strlcpy(who.org, org, sizeof(who.org));
	org_key_init(&who.key, org, strlen(org));
	return who;
}

void list_worker(const char *id)
{
	struct sched_worker_row row = { .pool = "p",
					.domain = "d",
					.address = "1.2.3.4:5",
					.born_ms = 1,
					.total = { 8000, 8000, 0 } };

	g_strlcpy(row.id, id, sizeof(row.id));
	fleet_worker_listed(&fx->f, &row);
}

void list_workers(void *priv)
{
	(void)priv;
	list_worker("v1");
	list_worker("v2");
	fleet_workers_synced(&fx->f);
}

static void subscribe_list(void *self, bool on)
{
	(void)self;
	if (on && !fx->list_unanswered)
		tmr_after(fx->timers, 10, list_workers, NULL);
}

struct pending_poll {
	wkr_poll_cb done;
	void *priv;
};

/* Keeps the poll unanswered until the fixture is closed. */
static void hold_poll(void *self, const struct wkr_target *to, int64_t seq,
		      int64_t wait_ms, wkr_poll_cb done, void *priv)
{
	struct pending_poll *poll = g_new(struct pending_poll, 1);

	(void)self;
	(void)to;
	(void)seq;
	(void)wait_ms;
	*poll = (struct pending_poll){ done, priv };
	g_queue_push_tail(&fx->polls, poll);
}

static void fail_polls(void)
{
	struct pending_poll *poll;

	while ((poll = g_queue_pop_head(&fx->polls))) {
		poll->done(NULL, poll->priv);
		g_free(poll);
	}
}

void ctl_fixture_open(void)
{
	static const struct fleet_directory_ops directory_ops = {
		subscribe_list
	};
	static const struct wkr_ops wkr_ops = { .poll = hold_poll };
	struct fleet_settings set = {
		.vm = "a",
		.incarnation = "1",
		.shards = 1,
		.row_bytes_max = 2000,
		.owner = { .poll_ms = 20,
			   .silence_ms = 2000,
			   .heartbeat_ms = FIXTURE_HEARTBEAT_MS,
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

	fx = talloc_zero(ev, struct ctl_fixture);
	fx->timers = tmr_set_start(ev, ev);
	fake_rows_init(&fx->store, fx->timers);
	interfaces.rows = fake_rows_iface(&fx->store);
	interfaces.wkr = (struct wkr){ &wkr_ops, NULL };
	fleet_init(&fx->f, &set, ev, fx->timers, &clk_system, &interfaces);
}

void ctl_fixture_start(void)
{
	struct catalog *c = talloc_zero(fx->f.ev, struct catalog);

	c->version = 1;
	c->queues = talloc_zero_array(c, struct catalog_queue, 1);
	c->n_queues = 1;
	g_strlcpy(c->queues[0].name, "short", sizeof(c->queues[0].name));
	g_strlcpy(c->queues[0].pool, "p", sizeof(c->queues[0].pool));
	fleet_start(&fx->f);
	fleet_set_catalog(&fx->f, c);
}

void run_loop_ms(int64_t ms)
{
	int64_t end = clk_mono_ms(&clk_system) + ms;

	while (clk_mono_ms(&clk_system) < end)
		tevent_loop_once(fx->f.ev);
}

const struct sched *await_active(void)
{
	int64_t end = clk_mono_ms(&clk_system) + FIXTURE_TIMEOUT_MS;

	while (!shard_ctl_sched(fx->f.shard_ctls[0])) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(fx->f.ev);
	}
	return shard_ctl_sched(fx->f.shard_ctls[0]);
}

void ctl_fixture_close(void)
{
	struct fleet *f = &fx->f;

	fx->store.refused_part_prefix = NULL;
	fx->store.refused_table = NULL;
	fleet_shut_down(f, 0);
	while (!shard_ctl_is_released(f->shard_ctls[0]))
		tevent_loop_once(f->ev);
	fail_polls();
	fake_rows_destroy(&fx->store);
	g_hash_table_destroy(f->waves);
	g_hash_table_destroy(f->domains_out);
	talloc_free(f->ev);
}
