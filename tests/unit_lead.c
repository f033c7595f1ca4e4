/* A shard's owner as it loads and writes, over rows in memory. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "fleet/lead.h"
#include "fleet/lead_int.h"
#include "tests/fake_rows.h"
#include "tests/paper.h"
#include "tests/unit.h"

/* Far longer than a turn of the loop, and than an owner's heartbeat, ms. */
#define LOAD_FAILS_MS 400
#define HEARTBEAT_MS 50
#define PATIENCE_MS 10000

/* A fleet of one VM whose list of workers has v1 and v2. */
struct stage {
	struct fleet f;
	struct fake_rows store;
	struct tmr_set *timers;
	GQueue looks; /* under way */
};

static struct stage *stage;

static void see(const char *id)
{
	struct sched_worker_row row = { .pool = "p",
					.domain = "d",
					.address = "1.2.3.4:5",
					.born_ms = 1,
					.total = { 8000, 8000, 0 } };

	g_strlcpy(row.id, id, sizeof(row.id));
	fleet_worker_seen(&stage->f, &row);
}

static void list_workers(void *priv)
{
	(void)priv;
	see("v1");
	see("v2");
	fleet_workers_synced(&stage->f);
}

static void follow_list(void *self, bool on)
{
	(void)self;
	if (on)
		tmr_after(stage->timers, 10, list_workers, NULL);
}

struct look {
	wkr_looked done;
	void *priv;
};

/* No worker answers before the stage is closed. */
static void no_look(void *self, const struct wkr_target *to, int64_t seq,
		    int64_t wait_ms, wkr_looked done, void *priv)
{
	struct look *l = g_new(struct look, 1);

	(void)self;
	(void)to;
	(void)seq;
	(void)wait_ms;
	*l = (struct look){ done, priv };
	g_queue_push_tail(&stage->looks, l);
}

static void answer_looks(void)
{
	struct look *l;

	while ((l = g_queue_pop_head(&stage->looks))) {
		l->done(NULL, l->priv);
		g_free(l);
	}
}

static void stage_open(void)
{
	static const struct fleet_directory_ops directory_ops = { follow_list };
	static const struct wkr_ops wkr_ops = { .look = no_look };
	struct fleet_settings set = {
		.vm = "a",
		.life = "1",
		.shards = 1,
		.row_bytes_max = 2000,
		.owner = { .poll_ms = 20,
			   .silence_ms = 2000,
			   .heartbeat_ms = HEARTBEAT_MS,
			   .commit_gap_ms = 5,
			   .claim_delay_ms = 1,
			   .cpu_milli = 500,
			   .lease_ms = PAPER_LEASE_MS },
		.sched = { .lease_ms = PAPER_LEASE_MS,
			   .lease_max_ms = PAPER_LEASE_MS,
			   .stop_ms = 900 },
	};
	struct fleet_tables tables = { .directory = { &directory_ops, NULL } };
	struct tevent_context *ev = tevent_context_init(NULL);

	stage = talloc_zero(ev, struct stage);
	stage->timers = tmr_set_start(ev, ev);
	fake_rows_init(&stage->store, stage->timers);
	tables.rows = fake_rows_iface(&stage->store);
	tables.wkr = (struct wkr){ &wkr_ops, NULL };
	fleet_init(&stage->f, &set, ev, stage->timers, &clk_system, &tables);
}

static void stage_begin(void)
{
	struct catalog *c = talloc_zero(stage->f.ev, struct catalog);

	c->version = 1;
	fleet_start(&stage->f);
	fleet_set_catalog(&stage->f, c);
}

static void stage_turn(int64_t ms)
{
	int64_t end = clk_mono_ms(&clk_system) + ms;

	while (clk_mono_ms(&clk_system) < end)
		tevent_loop_once(stage->f.ev);
}

static const struct sched *await_open(void)
{
	int64_t end = clk_mono_ms(&clk_system) + PATIENCE_MS;

	while (!lead_sched(stage->f.leads[0])) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(stage->f.ev);
	}
	return lead_sched(stage->f.leads[0]);
}

/* Gives the shard up, which frees what goes with it. */
static void stage_close(void)
{
	struct fleet *f = &stage->f;

	stage->store.refused_part_prefix = NULL;
	fleet_stop(f, 0);
	while (!lead_released(f->leads[0]))
		tevent_loop_once(f->ev);
	answer_looks();
	fake_rows_destroy(&stage->store);
	g_hash_table_destroy(f->waves);
	g_hash_table_destroy(f->domains_out);
	talloc_free(f->ev);
}

static void put_roster(const char *key, const char *id)
{
	g_autofree char *row =
		g_strdup_printf("[[\"%s\",\"1.2.3.4:6\",1]]", id);

	fake_rows_put(&stage->store, LEAD_ROSTER_TABLE, "s0", key, row);
}

/* The id of a worker in the same row of the roster as v1. */
static void neighbour_of_v1(char id[16], char key[4])
{
	guint row = g_str_hash("v1") % SCHED_ROSTER_ROWS;

	for (int i = 0;; i++) {
		g_snprintf(id, 16, "w%d", i);
		if (g_str_hash(id) % SCHED_ROSTER_ROWS == row)
			break;
	}
	g_snprintf(key, 4, "%02u", row);
}

/*
 * Guards against a worker that runs on unseen (TWICE, the class of inc1): its
 * entry has lapsed, and a new owner that can't read the roster at first writes
 * it from the list, which lacks the worker.
 */
static void test_roster_read_before_written(void)
{
	char id[16];
	char key[4];

	stage_open();
	neighbour_of_v1(id, key);
	put_roster(key, id);
	stage->store.refused_table = LEAD_ROSTER_TABLE;
	stage_begin();
	stage_turn(LOAD_FAILS_MS);
	stage->store.refused_table = NULL;
	g_assert_nonnull(g_hash_table_lookup(await_open()->workers, id));
	stage_turn(2 * HEARTBEAT_MS);
	g_assert_nonnull(strstr(
		fake_rows_get(&stage->store, LEAD_ROSTER_TABLE, "s0", key),
		id));
	stage_close();
}

/* Guards against a roster of several answers of which the first is read. */
static void test_roster_in_pages(void)
{
	stage_open();
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++) {
		g_autofree char *key = g_strdup_printf("%02d", i);
		g_autofree char *id = g_strdup_printf("u%d", i);

		put_roster(key, id);
	}
	stage_begin();
	await_open();
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++) {
		g_autofree char *id = g_strdup_printf("u%d", i);

		g_assert_nonnull(
			g_hash_table_lookup(await_open()->workers, id));
	}
	stage_close();
}

static const char *id_in_part(int32_t part)
{
	static char id[16];

	for (int i = 0;; i++) {
		g_snprintf(id, sizeof(id), "job%d", i);
		if (lead_job_part_of(id) == part)
			return id;
	}
}

/*
 * Guards against an ended job that a successor runs again (TWICE): the store
 * refused to remove its row, and its progress was removed all the same.
 */
static void test_progress_outlives_the_job(void)
{
	/* In the part that is cleaned first. */
	const char *id = id_in_part(0);
	struct jobspec *spec = paper_spec_of(id, "short", 1, 1);
	json_t *j = jobspec_pack(spec);
	char *text = json_dumps(j, JSON_COMPACT);
	char table[LEAD_NAME_MAX];
	char part[LEAD_NAME_MAX];

	stage_open();
	stage->f.set.keep_ended_ms = 0;
	lead_jobs_table(0, table);
	lead_job_part(0, lead_job_part_of(id), part);
	fake_rows_put(&stage->store, table, part, id, text);
	fake_rows_put(&stage->store, LEAD_PROGRESS_TABLE, "s0", id,
		      "{\"state\":\"done\",\"ended_ms\":1,"
		      "\"queue\":\"short\"}");
	free(text);
	json_decref(j);
	talloc_free(spec);
	stage->store.refused_part_prefix = "j0";
	stage_begin();
	await_open();
	stage_turn(1500);
	g_assert_nonnull(fake_rows_get(&stage->store, table, part, id));
	g_assert_nonnull(
		fake_rows_get(&stage->store, LEAD_PROGRESS_TABLE, "s0", id));
	stage->store.refused_part_prefix = NULL;
	/* Each part is cleaned in turn, once a second. */
	stage_turn(LEAD_JOB_PARTS * 1000);
	g_assert_null(fake_rows_get(&stage->store, table, part, id));
	g_assert_null(
		fake_rows_get(&stage->store, LEAD_PROGRESS_TABLE, "s0", id));
	stage_close();
}

void unit_add_lead(void)
{
	g_test_add_func("/lead/progress-outlives-the-job",
			test_progress_outlives_the_job);
	g_test_add_func("/lead/roster-read-before-written",
			test_roster_read_before_written);
	g_test_add_func("/lead/roster-in-pages", test_roster_in_pages);
}
