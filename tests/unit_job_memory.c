/* Memory of jobs at their owner: its account, and submissions refused by it. */
#include <glib.h>
#include <talloc.h>

#include "fleet/admission.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

#define ID "aaaa000000000000"
#define LIMIT_BYTES (1 << 20)
#define ROUND_MS 10

/* Guards against an account that drifts: VMs would accept too much, or nothing
 * any more. */
static void test_account(void)
{
	struct sched_fixture p;
	struct sched_job *job;
	int64_t one;

	fixture_open(&p, 1, NULL);
	job = fixture_add_job(&p, fixture_spec(ID, "short", 2, 50));
	one = sched_job_bytes(job->spec) + sched_round_bytes(job->spec);
	g_assert_cmpint(p.s.job_bytes, ==, one);
	fixture_add_job(&p, fixture_spec("bbbb000000000000", "short", 2, 50));
	g_assert_cmpint(p.s.job_bytes, ==, 2 * one);
	sched_job_cancel(&p.s, ID, 5, 5);
	g_assert_cmpint(p.s.job_bytes, ==, 2 * one);
	sched_job_remove(&p.s, ID);
	sched_job_remove(&p.s, "bbbb000000000000");
	g_assert_cmpint(p.s.job_bytes, ==, 0);
	fixture_close(&p);
}

/* Guards against a schedule whose rounds pile up: 64 of 5,000 tasks each were
 * opened at once. */
static void test_rounds(void)
{
	struct sched_fixture p;
	struct jobspec *spec = fixture_spec(ID, "short", 1, 2000);
	int64_t round = sched_round_bytes(spec);

	spec->rounds = 1000;
	spec->interval_ms = ROUND_MS;
	fixture_open(&p, 1, NULL);
	p.s.lim.memory_bytes = LIMIT_BYTES;
	fixture_add_job(&p, spec);
	fixture_pass_time(&p, ROUND_MS, 200 * ROUND_MS);
	g_assert_cmpint(p.s.job_bytes, >, round);
	g_assert_cmpint(p.s.job_bytes, <=, LIMIT_BYTES);
	sched_job_cancel(&p.s, ID, 200 * ROUND_MS, 200 * ROUND_MS);
	sched_job_remove(&p.s, ID);
	g_assert_cmpint(p.s.job_bytes, ==, 0);
	fixture_close(&p);
}

static bool is_refused(struct admission_memory *m, const struct owner_row *row,
		       const struct jobspec *spec, int64_t now_ms)
{
	struct admission a = { 0 };

	admission_decide_memory(m, row, row ? 100 : -1, LIMIT_BYTES, spec,
				now_ms, &a);
	g_assert_cmpint(a.retry_after_ms > 0, ==, a.refused);
	return a.refused;
}

/* Guards against a VM that accepts more than its part before the owner's row
 * shows it, and against large jobs that leave no room for small ones. */
static void test_refusals(void)
{
	struct jobspec *small = fixture_spec(ID, "short", 1, 5);
	struct jobspec *large = fixture_spec(ID, "short", 1, 2000);
	int64_t bytes = sched_job_bytes(large) + sched_round_bytes(large);
	struct owner_row row = { .has_job_room = true,
				 .small_job_room = 3 * bytes,
				 .large_job_room = 2 * bytes };
	struct admission_memory m = { 0 };

	g_assert_cmpint(bytes, >, SCHED_SMALL_JOB_BYTES);
	g_assert_false(is_refused(&m, &row, large, 5000));
	g_assert_false(is_refused(&m, &row, large, 5100));
	g_assert_true(is_refused(&m, &row, large, 5200));
	g_assert_false(is_refused(&m, &row, small, 5300));
	/* Accepted jobs are in the owner's row some seconds later. */
	g_assert_true(is_refused(&m, &row, large, 8900));
	g_assert_false(is_refused(&m, &row, large, 9100));
	row.large_job_room = row.small_job_room = 0;
	g_assert_true(is_refused(&m, &row, small, 99000));
	/* Without an owner ordinary jobs are accepted, and large ones not. */
	g_assert_false(is_refused(&m, NULL, small, 199000));
	g_assert_true(is_refused(&m, NULL, large, 199000));
	talloc_free(small);
	talloc_free(large);
}

void unit_add_job_memory(void)
{
	g_test_add_func("/job-memory/account", test_account);
	g_test_add_func("/job-memory/rounds", test_rounds);
	g_test_add_func("/job-memory/refusals", test_refusals);
}
