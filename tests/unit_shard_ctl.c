/* Tests how a shard's owner loads and writes its rows, over a store in
 * memory. */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "fleet/shard_ctl_int.h"
#include "tests/ctl_fixture.h"
#include "tests/unit.h"

/* How long reads of the roster fail, in ms: much longer than an iteration of
 * the event loop and an owner heartbeat. */
#define LOAD_FAILS_MS 400
/* Age up to which callers are told the number of pending jobs, in ms. */
#define PENDING_MAX_MS 2000

static void put_roster(const char *key, const char *id)
{
	g_autofree char *row =
		g_strdup_printf("[[\"%s\",\"1.2.3.4:6\",1]]", id);

	fake_rows_put(&fx->store, SHARD_CTL_ROSTER_TABLE, "s0", key, row);
}

/* Finds a worker id that is stored in the same roster row as v1, and the key of
 * that row. */
static void find_id_beside_v1(char id[16], char key[4])
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
 * Guards against a task that runs twice. A worker has dropped out of the list
 * but still runs its task. If a new owner cannot read the roster at first and
 * writes it from the list, the worker is lost from the roster too, and the task
 * is started elsewhere.
 */
static void test_roster_read_before_written(void)
{
	char id[16];
	char key[4];

	ctl_fixture_open();
	find_id_beside_v1(id, key);
	put_roster(key, id);
	fx->store.refused_table = SHARD_CTL_ROSTER_TABLE;
	ctl_fixture_start();
	run_loop_ms(LOAD_FAILS_MS);
	fx->store.refused_table = NULL;
	g_assert_nonnull(g_hash_table_lookup(await_active()->workers, id));
	run_loop_ms(2 * FIXTURE_HEARTBEAT_MS);
	g_assert_nonnull(strstr(
		fake_rows_get(&fx->store, SHARD_CTL_ROSTER_TABLE, "s0", key),
		id));
	ctl_fixture_close();
}

/* Guards against a roster of several pages of which only the first is read. */
static void test_roster_in_pages(void)
{
	ctl_fixture_open();
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++) {
		g_autofree char *key = g_strdup_printf("%02d", i);
		g_autofree char *id = g_strdup_printf("u%d", i);

		put_roster(key, id);
	}
	ctl_fixture_start();
	await_active();
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++) {
		g_autofree char *id = g_strdup_printf("u%d", i);

		g_assert_nonnull(
			g_hash_table_lookup(await_active()->workers, id));
	}
	ctl_fixture_close();
}

static const char *job_id_in_part(int32_t part)
{
	static char id[16];

	for (int i = 0;; i++) {
		g_snprintf(id, sizeof(id), "job%d", i);
		if (shard_ctl_job_part_of(id) == part)
			return id;
	}
}

/*
 * Guards against an ended job that a successor runs again. The store rejected
 * the removal of the job row, but the progress row was removed, so that the job
 * seemed new.
 */
static void test_progress_outlives_the_job(void)
{
	/* Part 0 is cleaned up first. */
	const char *id = job_id_in_part(0);
	struct jobspec *spec = fixture_spec(id, "short", 1, 1);
	json_t *j = jobspec_pack(spec);
	char *text = json_dumps(j, JSON_COMPACT);
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];

	ctl_fixture_open();
	fx->f.set.ended_retention_ms = 0;
	shard_ctl_jobs_table(0, table);
	shard_ctl_job_part(0, shard_ctl_job_part_of(id), part);
	fake_rows_put(&fx->store, table, part, id, text);
	fake_rows_put(&fx->store, SHARD_CTL_PROGRESS_TABLE, "s0", id,
		      "{\"state\":\"done\",\"ended_ms\":1,"
		      "\"queue\":\"short\"}");
	free(text);
	json_decref(j);
	talloc_free(spec);
	fx->store.refused_part_prefix = "j0";
	ctl_fixture_start();
	await_active();
	run_loop_ms(1500);
	g_assert_nonnull(fake_rows_get(&fx->store, table, part, id));
	g_assert_nonnull(
		fake_rows_get(&fx->store, SHARD_CTL_PROGRESS_TABLE, "s0", id));
	fx->store.refused_part_prefix = NULL;
	/* One part is cleaned up each second. */
	run_loop_ms(SHARD_CTL_JOB_PARTS * 1000);
	g_assert_null(fake_rows_get(&fx->store, table, part, id));
	g_assert_null(
		fake_rows_get(&fx->store, SHARD_CTL_PROGRESS_TABLE, "s0", id));
	ctl_fixture_close();
}

/*
 * Guards against progress rows that stay for good, and show a job that is gone:
 * the previous owner was lost after it had removed the job's row.
 */
static void test_orphaned_progress(void)
{
	static const char ended[] = "{\"state\":\"done\",\"ended_ms\":1,"
				    "\"queue\":\"short\"}";
	static const char unreadable[] = "unreadable";
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];

	ctl_fixture_open();
	fake_rows_put(&fx->store, SHARD_CTL_PROGRESS_TABLE, "s0", "orphan",
		      ended);
	fake_rows_put(&fx->store, SHARD_CTL_PROGRESS_TABLE, "s0", unreadable,
		      "{\"state\":\"running\"}");
	fake_rows_put(
		&fx->store, shard_ctl_jobs_table(0, table),
		shard_ctl_job_part(0, shard_ctl_job_part_of(unreadable), part),
		unreadable, "[]");
	ctl_fixture_start();
	await_active();
	run_loop_ms(3 * FIXTURE_HEARTBEAT_MS);
	g_assert_null(fake_rows_get(&fx->store, SHARD_CTL_PROGRESS_TABLE, "s0",
				    "orphan"));
	g_assert_nonnull(fake_rows_get(&fx->store, SHARD_CTL_PROGRESS_TABLE,
				       "s0", unreadable));
	ctl_fixture_close();
}

static void put_waiting_job(const char *id, const char *queue)
{
	struct jobspec *spec = fixture_spec(id, queue, 1, 1);
	json_t *j = jobspec_pack(spec);
	char *text = json_dumps(j, JSON_COMPACT);
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];

	fake_rows_put(&fx->store, shard_ctl_jobs_table(0, table),
		      shard_ctl_job_part(0, shard_ctl_job_part_of(id), part),
		      id, text);
	free(text);
	json_decref(j);
	talloc_free(spec);
}

/* Writes the owner's row as VM "b" would. `fields` follow the counts. */
static void put_owner_row(const char *fields, int64_t seq)
{
	g_autofree char *row = g_strdup_printf(
		"{\"vm\":\"b\",\"life\":\"7\",\"epoch\":3,\"seq\":%lld,"
		"\"lease_ms\":1000,\"pending\":{\"short\":0}%s}",
		(long long)seq, fields);

	fake_rows_put(&fx->store, "owners", "s0", "owner", row);
}

/* Waits until the row that put_owner_row wrote with `seq` is read. */
static void await_row_read(int64_t seq)
{
	int64_t end = clk_mono_ms(&clk_system) + FIXTURE_TIMEOUT_MS;
	const struct owner_row *row = NULL;
	int64_t changed_ms;

	while (!row || row->seq < seq) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(fx->f.ev);
		row = shard_ctl_owner_row(fx->f.shard_ctls[0], &changed_ms);
	}
}

static struct job_api_answer ask_pending(void)
{
	return job_api_pending(fx->f.job_api, "short");
}

static void await_pending(int64_t want)
{
	int64_t end = clk_mono_ms(&clk_system) + FIXTURE_TIMEOUT_MS;
	struct job_api_answer ans = ask_pending();

	while (ans.result != JOB_API_OK || ans.pending != want) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(fx->f.ev);
		ans = ask_pending();
	}
}

/* Includes the row of the incarnation and the claim. */
static void await_commits(int32_t wanted)
{
	int64_t end = clk_mono_ms(&clk_system) + FIXTURE_TIMEOUT_MS;

	while (fx->store.commits < wanted) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(fx->f.ev);
	}
}

/*
 * Guards against a count from before the owner was lost: a successor that
 * cannot load the shard renews the row, but not its counts.
 */
static void test_pending_of_lost_owner(void)
{
	g_autofree char *dated = g_strdup_printf(
		",\"pending_ms\":%lld",
		(long long)clk_mono_ms(&clk_system) - PENDING_MAX_MS);

	ctl_fixture_open();
	put_waiting_job("waits", "short");
	put_owner_row(dated, 1);
	fx->store.refused_table = SHARD_CTL_ROSTER_TABLE;
	ctl_fixture_start();
	await_commits(6);
	g_assert_cmpint(ask_pending().result, ==, JOB_API_REFUSED);
	g_assert_cmpint(ask_pending().retry_after_ms, >, 0);
	fx->store.refused_table = NULL;
	await_pending(1);
	ctl_fixture_close();
}

/* Guards against a row that was not read yet, or has no counts yet, being taken
 * for a count of 0. */
static void test_pending_unknown_at_first(void)
{
	ctl_fixture_open();
	put_waiting_job("waits", "short");
	fx->store.refused_table = SHARD_CTL_ROSTER_TABLE;
	ctl_fixture_start();
	g_assert_cmpint(ask_pending().result, ==, JOB_API_REFUSED);
	await_commits(3);
	g_assert_cmpint(ask_pending().result, ==, JOB_API_REFUSED);
	fx->store.refused_table = NULL;
	await_pending(1);
	ctl_fixture_close();
}

/* An owner that lacks the list of workers starts nothing, but counts. */
static void test_pending_before_workers(void)
{
	ctl_fixture_open();
	fx->list_unanswered = true;
	put_waiting_job("waits", "short");
	ctl_fixture_start();
	await_pending(1);
	g_assert_null(shard_ctl_sched(fx->f.shard_ctls[0]));
	run_loop_ms(PENDING_MAX_MS + 500);
	g_assert_cmpint(ask_pending().result, ==, JOB_API_OK);
	ctl_fixture_close();
}

/*
 * Guards against an owner whose commits are all rejected because jobs wait in
 * so many queues that its row is too long. Of such counts nothing is known.
 */
static void test_pending_of_many_queues(void)
{
	int64_t row_bytes_max;
	const char *row;

	ctl_fixture_open();
	row_bytes_max = fx->f.set.row_bytes_max;
	for (int64_t i = 0; i < row_bytes_max / 10; i++) {
		g_autofree char *name = g_strdup_printf("queue%" PRId64, i);

		put_waiting_job(name, name);
	}
	ctl_fixture_start();
	await_active();
	run_loop_ms(3 * FIXTURE_HEARTBEAT_MS);
	row = fake_rows_get(&fx->store, "owners", "s0", "owner");
	g_assert_cmpint((int64_t)strlen(row), <=, row_bytes_max);
	g_assert_cmpint(ask_pending().result, ==, JOB_API_REFUSED);
	ctl_fixture_close();
}

/* Guards against counts that lack jobs accepted before the shard was claimed,
 * since an answer about the jobs is older than the claim. */
static void test_pending_from_stale_read(void)
{
	char table[SHARD_CTL_NAME_MAX];

	ctl_fixture_open();
	fx->store.stale_table = shard_ctl_jobs_table(0, table);
	fx->store.stale_version = fx->store.version;
	put_waiting_job("waits", "short");
	ctl_fixture_start();
	run_loop_ms(LOAD_FAILS_MS);
	g_assert_true(fx->store.commits > 1);
	g_assert_cmpint(ask_pending().result, ==, JOB_API_REFUSED);
	fx->store.stale_table = NULL;
	await_pending(1);
	ctl_fixture_close();
}

/* Guards against counts that cannot be read being taken for 0. */
static void test_pending_unreadable(void)
{
	static const char *const odd[] = {
		"", /* no counts */
		",\"pending\":[]",
		",\"pending\":7",
		",\"pending\":null",
		",\"pending\":{\"short\":\"4\"}",
		",\"pending\":{\"short\":-1}",
		",\"pending\":{\"short\":null}",
		",\"pending\":{\"short\":1e99}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		g_autofree char *row = NULL;

		ctl_fixture_open();
		row = g_strdup_printf(
			"{\"vm\":\"b\",\"life\":\"7\",\"epoch\":3,\"seq\":1,"
			"\"lease_ms\":1000,\"pending_ms\":%lld%s}",
			(long long)clk_mono_ms(&clk_system), odd[i]);
		fake_rows_put(&fx->store, "owners", "s0", "owner", row);
		ctl_fixture_start();
		await_row_read(1);
		g_assert_cmpint(ask_pending().result, ==, JOB_API_REFUSED);
		ctl_fixture_close();
	}
}

/* A row of a release that doesn't date its counts is as old as its last change,
 * and its counts are not taken over. */
static void test_pending_undated(void)
{
	ctl_fixture_open();
	fx->f.set.owner.silence_ms = 3000;
	put_waiting_job("waits", "short");
	fx->store.refused_table = SHARD_CTL_ROSTER_TABLE;
	put_owner_row("", 1);
	ctl_fixture_start();
	for (int64_t seq = 2; ask_pending().result != JOB_API_OK; seq++) {
		put_owner_row("", seq);
		await_row_read(seq);
	}
	g_assert_cmpint(ask_pending().pending, ==, 0);
	run_loop_ms(PENDING_MAX_MS + 100);
	g_assert_cmpint(ask_pending().result, ==, JOB_API_REFUSED);
	while (!strstr(fake_rows_get(&fx->store, "owners", "s0", "owner"),
		       "\"vm\":\"a\""))
		tevent_loop_once(fx->f.ev);
	run_loop_ms(3 * FIXTURE_HEARTBEAT_MS);
	g_assert_cmpint(ask_pending().result, ==, JOB_API_REFUSED);
	fx->store.refused_table = NULL;
	await_pending(1);
	ctl_fixture_close();
}

void unit_add_shard_ctl(void)
{
	g_test_add_func("/lead/pending-of-lost-owner",
			test_pending_of_lost_owner);
	g_test_add_func("/lead/pending-unknown-at-first",
			test_pending_unknown_at_first);
	g_test_add_func("/lead/pending-before-workers",
			test_pending_before_workers);
	g_test_add_func("/lead/pending-unreadable", test_pending_unreadable);
	g_test_add_func("/lead/pending-undated", test_pending_undated);
	g_test_add_func("/lead/pending-from-stale-read",
			test_pending_from_stale_read);
	g_test_add_func("/lead/pending-of-many-queues",
			test_pending_of_many_queues);
	g_test_add_func("/lead/progress-outlives-the-job",
			test_progress_outlives_the_job);
	g_test_add_func("/lead/orphaned-progress", test_orphaned_progress);
	g_test_add_func("/lead/roster-read-before-written",
			test_roster_read_before_written);
	g_test_add_func("/lead/roster-in-pages", test_roster_in_pages);
}
