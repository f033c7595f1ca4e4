/* Tests that the progress of large jobs fits in a row, and what is left of it
 * there. */
#include <glib.h>
#include <string.h>

#include "coordination/sched_int.h"
#include "fleet/shard_ctl_int.h"
#include "tests/ctl_fixture.h"
#include "tests/unit.h"

#define ROW_BYTES_MAX 65536
#define ATTEMPTS 2 /* of the fixture's queue "short" */

static size_t row_length(const json_t *row)
{
	char *text = json_dumps(row, JSON_COMPACT);
	size_t len = strlen(text);

	free(text);
	return len;
}

/* Opens a scheduler with a job, each of whose tasks has ended run 3. */
static struct sched_job *open_with_ended_runs(struct sched_fixture *p,
					      struct jobspec *spec)
{
	struct sched_job *job;

	fixture_open(p, 1, NULL);
	job = fixture_add_job(p, spec);
	for (int32_t k = 0; k < spec->steps[0].tasks; k++) {
		struct sched_task *t = &job->rounds->steps[0].tasks[k];

		t->last_run = 3;
		t->last_ended_run = 3;
		t->ever_started = true;
	}
	return job;
}

/* Review, case 1: the progress of a job of 4,000 long-running tasks, each of
 * which has ended once, exceeded a row, and the shard stored nothing more. */
static void test_largest_job(void)
{
	struct sched_fixture p;
	struct sched_fixture next;
	struct sched_job *job = open_with_ended_runs(
		&p, fixture_long_running("a", 100, JOBSPEC_TASKS_MAX));
	json_t *row = sched_job_progress(job, SCHED_DETAIL_NO_CHECKPOINTS);

	g_assert_cmpuint(row_length(row), >, ROW_BYTES_MAX);
	json_decref(row);
	row = sched_job_progress(job, SCHED_DETAIL_SUMMARY);
	g_assert_cmpuint(row_length(row), <, ROW_BYTES_MAX / 8);
	g_assert_true(sched_fits_in_row(job->spec, ROW_BYTES_MAX));
	g_assert_true(
		sched_fits_in_row(job->spec, (int64_t)row_length(row) + 300));
	fixture_open(&next, 2, NULL);
	job = sched_job_add(&next.s,
			    fixture_long_running("a", 100, JOBSPEC_TASKS_MAX),
			    row, 5, true, 0, 1000000);
	for (int32_t k = 0; k < JOBSPEC_TASKS_MAX; k++) {
		struct sched_task *t = &job->rounds->steps[0].tasks[k];

		g_assert_cmpint(t->last_run, >, 3);
		g_assert_true(t->ever_started);
		g_assert_false(t->done);
	}
	json_decref(row);
	fixture_close(&next);
	fixture_close(&p);
}

/* Returns the job of a successor that reads the summary. */
static struct sched_job *take_over(struct sched_fixture *next,
				   const struct sched_job *job)
{
	json_t *row = sched_job_progress(job, SCHED_DETAIL_SUMMARY);
	struct sched_job *taken;

	fixture_open(next, 2, NULL);
	fixture_add_worker(next, "w", "r");
	fixture_poll(next, "w", NULL, 0, NULL, 0, 10);
	taken = sched_job_add(&next->s, fixture_spec("a", "short", 1, 3), row,
			      5, true, 0, 1000000);
	json_decref(row);
	return taken;
}

/* A summary keeps which tasks are done and how often the others have failed.
 * A failure that is reported again is not counted twice. */
static void test_summary_keeps_failures(void)
{
	struct sched_fixture p;
	struct sched_fixture next;
	struct sched_job *job =
		open_with_ended_runs(&p, fixture_spec("a", "short", 1, 3));
	struct sched_task *t = job->rounds->steps[0].tasks;
	struct sched_end again = { .seq = 1,
				   .ref = { .job = "a", .index = 1, .run = 2 },
				   .reason = SCHED_END_FAILED };

	t[0].done = true;
	job->rounds->steps[0].tasks_left--;
	sched_count_failure(&t[1], 2);
	job = take_over(&next, job);
	t = job->rounds->steps[0].tasks;
	g_assert_true(t[0].done);
	g_assert_cmpint(t[1].failures, ==, 1);
	g_assert_cmpint(t[2].failures, ==, 0);
	fixture_poll(&next, "w", NULL, 0, &again, 1, 100);
	g_assert_cmpint(t[1].failures, ==, 1);
	again.seq = 2;
	again.ref.run = t[1].last_run + 1;
	fixture_poll(&next, "w", NULL, 0, &again, 1, 200);
	g_assert_cmpint(t[1].failures, ==, ATTEMPTS);
	g_assert_cmpint(job->state, ==, SCHED_JOB_FAILED);
	fixture_close(&next);
	fixture_close(&p);
}

/* Rounds of large jobs that are due at the same time go one after the other. */
static void test_open_rounds_fit(void)
{
	struct sched_fixture p;
	struct jobspec *spec = fixture_spec("a", "short", 1, JOBSPEC_TASKS_MAX);
	struct sched_job *job;
	json_t *row;

	fixture_open(&p, 1, NULL);
	p.s.lim.row_bytes = ROW_BYTES_MAX;
	spec->rounds = 60;
	spec->first_due_ms = 1;
	spec->interval_ms = 1;
	job = fixture_add_job(&p, spec);
	fixture_pass_time(&p, 100, 300);
	g_assert_cmpint(job->next_round, >, 1);
	row = sched_job_progress(job, SCHED_DETAIL_SUMMARY);
	g_assert_cmpuint(row_length(row), <=, ROW_BYTES_MAX);
	json_decref(row);
	fixture_close(&p);
}

#define CTL_TASKS 400

static void put_large_job(void)
{
	struct jobspec *spec = fixture_spec("large", "short", 1, CTL_TASKS);
	json_t *j = jobspec_pack(spec);
	char *text = json_dumps(j, JSON_COMPACT);
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];

	fake_rows_put(
		&fx->store, shard_ctl_jobs_table(0, table),
		shard_ctl_job_part(0, shard_ctl_job_part_of("large"), part),
		"large", text);
	free(text);
	json_decref(j);
	talloc_free(spec);
}

/* Review, case 1: the owner writes what fits, and goes on. */
static void test_owner_writes_what_fits(void)
{
	struct sched *s;
	struct sched_job *job;
	const char *row;
	int64_t commits;

	ctl_fixture_open();
	put_large_job();
	ctl_fixture_start();
	s = (struct sched *)await_active();
	job = g_hash_table_lookup(s->jobs, "large");
	for (int32_t k = 0; k < CTL_TASKS; k++)
		job->rounds->steps[0].tasks[k].last_ended_run = 1;
	sched_mark_dirty(s, job);
	run_loop_ms(3 * FIXTURE_HEARTBEAT_MS);
	row = fake_rows_get(&fx->store, SHARD_CTL_PROGRESS_TABLE, "s0",
			    "large");
	g_assert_nonnull(row);
	g_assert_cmpint((int64_t)strlen(row), <=, fx->f.set.row_bytes_max);
	commits = fx->store.commits;
	run_loop_ms(3 * FIXTURE_HEARTBEAT_MS);
	g_assert_cmpint(fx->store.commits, >, commits);
	ctl_fixture_close();
}

/*
 * Guards against progress rows that lose the job's organisation, under the
 * first owner or the next, and against one that makes them too long.
 */
static void test_org_is_kept(void)
{
	static const char id[] = "aaaa000000000000";
	struct sched_fixture p;
	struct jobspec *spec = fixture_long_running("a", 100, 10);
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];
	const struct sched_job *job;
	json_t *row;

	memset(spec->org, 1, sizeof(spec->org) - 1);
	job = open_with_ended_runs(&p, spec);
	row = sched_job_progress(job, SCHED_DETAIL_SUMMARY);
	g_assert_cmpstr(json_string_value(json_object_get(row, "org")), ==,
			job->spec->org);
	g_assert_false(
		sched_fits_in_row(job->spec, (int64_t)row_length(row) - 1));
	json_decref(row);
	fixture_close(&p);
	ctl_fixture_open();
	fake_rows_put(&fx->store, shard_ctl_jobs_table(0, table),
		      shard_ctl_job_part(0, shard_ctl_job_part_of(id), part),
		      id, "{}");
	fake_rows_put(&fx->store, SHARD_CTL_PROGRESS_TABLE, "s0", id,
		      "{\"state\":\"done\",\"ended_ms\":9000000000000,"
		      "\"queue\":\"short\",\"org\":\"a\"}");
	ctl_fixture_start();
	job = g_hash_table_lookup(await_active()->jobs, id);
	g_assert_nonnull(job);
	g_assert_cmpstr(job->spec->org, ==, "a");
	ctl_fixture_close();
}

void unit_add_progress(void)
{
	g_test_add_func("/progress/org-is-kept", test_org_is_kept);
	g_test_add_func("/progress/largest-job", test_largest_job);
	g_test_add_func("/progress/summary-keeps-failures",
			test_summary_keeps_failures);
	g_test_add_func("/progress/open-rounds-fit", test_open_rounds_fit);
	g_test_add_func("/progress/owner-writes-what-fits",
			test_owner_writes_what_fits);
}
