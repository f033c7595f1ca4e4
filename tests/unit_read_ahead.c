/* Tests how a VM that is about to own a shard reads its rows in advance, over a
 * store in memory. */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "fleet/shard_ctl_int.h"
#include "tests/ctl_fixture.h"
#include "tests/unit.h"

#define JOBS 850
/* Long compared with the time that the rows take to be parsed. */
#define ROUND_TRIP_MS 200
/* What a load takes at most, in round trips. It needs 5; the others are for a
 * machine that is busy. */
#define LOAD_ROUNDS_MAX 9
/* The store's own limit. */
#define PAGE_ROWS 500
/* How long the store lags, or reads fail, in ms; much longer than a load. */
#define LOAD_FAILS_MS 400

/* Writes a job with the progress that its owner has stored. */
static void put_job(const char *id, const char *progress)
{
	struct jobspec *spec = fixture_spec(id, "short", 1, 8);
	json_t *j = jobspec_pack(spec);
	char *text = json_dumps(j, JSON_COMPACT);
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];

	fake_rows_put(&fx->store, shard_ctl_jobs_table(0, table),
		      shard_ctl_job_part(0, shard_ctl_job_part_of(id), part),
		      id, text);
	if (progress)
		fake_rows_put(&fx->store, SHARD_CTL_PROGRESS_TABLE, "s0", id,
			      progress);
	free(text);
	json_decref(j);
	talloc_free(spec);
}

static void put_jobs(void)
{
	for (int i = 0; i < JOBS; i++) {
		g_autofree char *id = g_strdup_printf("job%d", i);

		put_job(id, "{\"state\":\"running\",\"queue\":\"short\"}");
	}
}

/*
 * Guards against a load that reads one part of a table after another: it took
 * 12 round trips, 2 s where the store is in another region and slow.
 */
static void test_load_after_loss(void)
{
	int64_t took_ms;

	ctl_fixture_open();
	put_jobs();
	fx->store.reply_ms = ROUND_TRIP_MS;
	fx->store.page_rows = PAGE_ROWS;
	ctl_fixture_start();
	await_active();
	took_ms = clk_mono_ms(&clk_system) - await_active()->taken_over_ms;
	g_test_message("loaded in %lld ms, %d reads, %d for changes",
		       (long long)took_ms, fx->store.reads,
		       fx->store.changes_calls);
	g_assert_cmpint(took_ms, <, LOAD_ROUNDS_MAX * ROUND_TRIP_MS);
	ctl_fixture_close();
}

/* Writes the owner's row as VM "b" does, which names this VM, "a". */
static void put_owner_row(int64_t seq, const char *fields)
{
	g_autofree char *row = g_strdup_printf(
		"{\"vm\":\"b\",\"life\":\"7\",\"epoch\":3,\"seq\":%" PRId64
		",\"lease_ms\":1000,\"pending\":{},\"successor\":\"a\","
		"\"successor_life\":\"1\"%s}",
		seq, fields);

	fake_rows_put(&fx->store, "owners", "s0", "owner", row);
}

static bool is_ready(void)
{
	const char *row = fake_rows_get(&fx->store, "lives", "lives-s0", "a");

	return row && strstr(row, "\"ready_epoch\":3");
}

static void await_ready(void)
{
	int64_t end = clk_mono_ms(&clk_system) + FIXTURE_TIMEOUT_MS;

	while (!is_ready()) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(fx->f.ev);
	}
}

/* Opens the fixture with jobs that run at VM "b", and waits until this one has
 * read them in advance. */
static void open_named(void)
{
	ctl_fixture_open();
	put_jobs();
	put_owner_row(1, "");
	fx->store.page_rows = PAGE_ROWS;
	ctl_fixture_start();
	await_ready();
	g_assert_nonnull(fx->f.shard_ctls[0]->ahead);
}

static bool has_ended(const char *id)
{
	const struct sched_job *job =
		g_hash_table_lookup(await_active()->jobs, id);

	g_assert_nonnull(job);
	return job->state >= SCHED_JOB_DONE;
}

/* Writes what the previous owner commits last, and what callers do meanwhile;
 * then releases the shard. */
static void change_and_release(void)
{
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];

	put_job("late", NULL);
	fake_rows_put(&fx->store, SHARD_CTL_PROGRESS_TABLE, "s0", "job1",
		      "{\"state\":\"done\",\"queue\":\"short\","
		      "\"ended_ms\":1}");
	fake_rows_put(&fx->store, SHARD_CTL_PROGRESS_TABLE, "s0", "job2", NULL);
	fake_rows_put(
		&fx->store, shard_ctl_jobs_table(0, table),
		shard_ctl_job_part(0, shard_ctl_job_part_of("job2"), part),
		"job2", NULL);
	fake_rows_put(&fx->store, SHARD_CTL_ROSTER_TABLE, "s0", "03",
		      "[[\"late-worker\",\"1.2.3.4:6\",1]]");
	put_owner_row(2, ",\"released\":true");
}

static void check_changes_known(void)
{
	const struct sched *s = await_active();

	g_assert_cmpuint(g_hash_table_size(s->jobs), ==, JOBS);
	g_assert_nonnull(g_hash_table_lookup(s->jobs, "late"));
	g_assert_null(g_hash_table_lookup(s->jobs, "job2"));
	g_assert_true(has_ended("job1"));
	g_assert_false(has_ended("job3"));
	g_assert_nonnull(g_hash_table_lookup(s->workers, "late-worker"));
}

/*
 * Guards against a successor that loads by what it read before the claim alone:
 * it would repeat tasks that ended since, and lose jobs and workers. Also
 * guards against one that reads the tables again.
 */
static void test_changes_before_claim(void)
{
	int32_t reads;

	open_named();
	fx->store.reply_ms = ROUND_TRIP_MS;
	change_and_release();
	reads = fx->store.reads;
	await_active();
	g_test_message("loaded in %lld ms",
		       (long long)(clk_mono_ms(&clk_system) -
				   await_active()->taken_over_ms));
	check_changes_known();
	/* The poll of the owner's row, what was learned, and polls that were
	 * under way. */
	g_assert_cmpint(fx->store.reads - reads, <=, 4);
	g_assert_cmpint(fx->f.shard_ctls[0]->was_ahead.rows, >=, JOBS);
	ctl_fixture_close();
}

/* Guards against changes that are missed because the store has dropped them:
 * the tables are read again. */
static void test_history_gone(void)
{
	open_named();
	fx->store.oldest_kept = fx->store.version + 100;
	change_and_release();
	fx->store.oldest_kept = fx->store.version;
	check_changes_known();
	ctl_fixture_close();
}

/* Guards against a shard that starts by rows read before the claim while the
 * store doesn't confirm that nothing has changed since. */
static void test_not_confirmed(void)
{
	static const char *const tables[] = { SHARD_CTL_ROSTER_TABLE,
					      SHARD_CTL_PROGRESS_TABLE,
					      "jobs0" };

	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++) {
		open_named();
		fx->store.stale_table = tables[i];
		fx->store.stale_version = fx->store.version;
		change_and_release();
		run_loop_ms(LOAD_FAILS_MS);
		g_assert_true(fx->f.shard_ctls[0]->is_owner);
		g_assert_false(fx->f.shard_ctls[0]->active);
		fx->store.stale_table = NULL;
		check_changes_known();
		ctl_fixture_close();
	}
}

/* Guards against VMs that go on reading, which has a price: another one is
 * named or owns the shard. */
static void test_no_longer_named(void)
{
	open_named();
	fake_rows_put(&fx->store, "owners", "s0", "owner",
		      "{\"vm\":\"c\",\"life\":\"9\",\"epoch\":4,\"seq\":9,"
		      "\"lease_ms\":1000,\"pending\":{}}");
	while (fx->f.shard_ctls[0]->ahead)
		tevent_loop_once(fx->f.ev);
	fx->store.changes_calls = 0;
	run_loop_ms(LOAD_FAILS_MS);
	g_assert_cmpint(fx->store.changes_calls, ==, 0);
	ctl_fixture_close();
}

/* Guards against a named successor whose memory the rows don't fit into, and
 * against an owner that waits for it in vain to load the shard. */
static void test_too_large(void)
{
	struct shard_ctl *sc;

	ctl_fixture_open();
	put_jobs();
	put_owner_row(1, "");
	fx->store.page_rows = PAGE_ROWS;
	fx->f.set.read_ahead_bytes_max = 1000;
	ctl_fixture_start();
	sc = fx->f.shard_ctls[0];
	while (!sc->ahead)
		tevent_loop_once(fx->f.ev);
	run_loop_ms(LOAD_FAILS_MS);
	g_assert_cmpint(read_ahead_size(sc->ahead).bytes, ==, 0);
	g_assert_false(is_ready());
	change_and_release();
	check_changes_known();
	ctl_fixture_close();
}

/* Guards against rows read in advance that are of no use, or stand in the way,
 * after the owner was lost while it prepared its release. */
static void test_owner_lost_meanwhile(void)
{
	int32_t reads;

	open_named();
	fx->store.reply_ms = ROUND_TRIP_MS;
	put_job("late", NULL);
	while (!fx->f.shard_ctls[0]->is_owner)
		tevent_loop_once(fx->f.ev);
	reads = fx->store.reads;
	await_active();
	g_assert_cmpint(fx->store.reads - reads, <=, 1);
	g_assert_nonnull(g_hash_table_lookup(await_active()->jobs, "late"));
	ctl_fixture_close();
}

/* Guards against a pause that can't be told afterwards: the row of a release
 * says when the last start was possible, and its successor uses it. */
static void test_pause_is_told(void)
{
	struct shard_ctl *sc;
	int64_t end = clk_mono_ms(&clk_system) + FIXTURE_TIMEOUT_MS;

	ctl_fixture_open();
	put_owner_row(1, ",\"released\":true,\"starts_end_ms\":5");
	ctl_fixture_start();
	fleet_set_store_clock(&fx->f, clk_mono_ms(&clk_system) + 1000);
	await_active();
	sc = fx->f.shard_ctls[0];
	g_assert_cmpint(sc->prev_starts_end_ms, ==, 5);
	run_loop_ms(2 * FIXTURE_HEARTBEAT_MS);
	g_assert_null(strstr(fake_rows_get(&fx->store, "owners", "s0", "owner"),
			     "starts_end_ms"));
	shard_ctl_release(sc, 0);
	while (!shard_ctl_is_released(sc)) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(fx->f.ev);
	}
	g_assert_nonnull(
		strstr(fake_rows_get(&fx->store, "owners", "s0", "owner"),
		       "starts_end_ms"));
	ctl_fixture_close();
}

void unit_add_read_ahead(void)
{
	g_test_add_func("/read-ahead/pause-is-told", test_pause_is_told);
	g_test_add_func("/read-ahead/load-after-loss", test_load_after_loss);
	g_test_add_func("/read-ahead/changes-before-claim",
			test_changes_before_claim);
	g_test_add_func("/read-ahead/history-gone", test_history_gone);
	g_test_add_func("/read-ahead/not-confirmed", test_not_confirmed);
	g_test_add_func("/read-ahead/no-longer-named", test_no_longer_named);
	g_test_add_func("/read-ahead/too-large", test_too_large);
	g_test_add_func("/read-ahead/owner-lost-meanwhile",
			test_owner_lost_meanwhile);
}
