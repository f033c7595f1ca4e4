/* Tests quarantines: on what evidence, for how long, and what may start at a
 * quarantined worker all the same. */
#include <glib.h>
#include <string.h>

#include "coordination/place.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

static void fail_at(struct sched_fixture *p, const char *job, int64_t seq,
		    int64_t now_ms)
{
	struct jobspec *spec = fixture_long_running(job, 100, 1);
	struct sched_end e;
	guint at = p->starts->len;

	fixture_add_job(p, spec);
	sched_place(&p->s, now_ms);
	g_assert_cmpuint(p->starts->len, ==, at + 1);
	fixture_started(p, fixture_start(p, at), now_ms + 1);
	e = fixture_end(fixture_start(p, at), seq, SCHED_END_FAILED);
	fixture_poll(p, "w", NULL, 0, &e, 1, now_ms + 2);
	sched_job_cancel(&p->s, job, now_ms + 3, 1000000 + now_ms + 3);
}

/* A quarantined worker whose failure domain is out of service stays unused. */
static void test_suspect_in_domain_out(void)
{
	GHashTable *out = g_hash_table_new(g_str_hash, g_str_equal);
	struct sched_fixture p;

	g_hash_table_add(out, (char *)"d");
	fixture_open(&p, 1, out);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_worker(&p, "w")->quarantine_until_ms = 60000;
	fixture_add_job(&p, fixture_long_running("a", 4000, 1));
	fixture_pass_time(&p, 100, 3000);
	g_assert_cmpuint(p.starts->len, ==, 0);
	fixture_close(&p);
	g_hash_table_destroy(out);
}

/* So does one without the label that the step requires. */
static void test_suspect_without_label(void)
{
	struct sched_fixture p;
	struct jobspec *spec = fixture_long_running("a", 4000, 1);

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_worker(&p, "w")->quarantine_until_ms = 60000;
	g_strlcpy(spec->steps[0].label, "gpu", sizeof(spec->steps[0].label));
	fixture_add_job(&p, spec);
	fixture_pass_time(&p, 100, 3000);
	g_assert_cmpuint(p.starts->len, ==, 0);
	fixture_close(&p);
}

/* A quarantined worker that refuses starts gets no start in each pass. */
static void test_suspect_refusing_rests(void)
{
	struct sched_fixture p;
	guint before;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_worker(&p, "w")->quarantine_until_ms = 60000;
	fixture_add_job(&p, fixture_long_running("a", 8000, 1));
	fixture_pass_time(&p, 100, 2500);
	g_assert_cmpuint(p.starts->len, ==, 1);
	for (int64_t now = 2600; now < 12000; now += 100) {
		before = p.starts->len;
		sched_start_answered(&p.s, &fixture_start(&p, before - 1)->ref,
				     "w", SCHED_START_UNHEALTHY, now);
		fixture_pass_time(&p, now, now);
	}
	g_assert_cmpuint(p.starts->len, <=, 8);
	fixture_close(&p);
}

/* One failure an hour after a quarantine is no reason for another. */
static void test_old_quarantine_is_forgotten(void)
{
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fail_at(&p, "a", 1, 100);
	fail_at(&p, "b", 2, 200);
	fail_at(&p, "c", 3, 300);
	g_assert_cmpint(fixture_worker(&p, "w")->quarantine_until_ms, ==, 4302);
	fail_at(&p, "d", 4, 3600000);
	g_assert_cmpint(fixture_worker(&p, "w")->quarantine_until_ms, ==, 4302);
	fixture_close(&p);
}

/* Nor are the quarantines of an earlier process of the worker. */
static void test_new_incarnation_starts_clean(void)
{
	struct sched_worker_row row;
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fail_at(&p, "a", 1, 100);
	fail_at(&p, "b", 2, 200);
	fail_at(&p, "c", 3, 300);
	row = fixture_worker(&p, "w")->row;
	row.born_ms++;
	sched_worker_listed(&p.s, &row, 1000);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 1010);
	fail_at(&p, "d", 1, 20000);
	fail_at(&p, "e", 2, 20100);
	fail_at(&p, "f", 3, 20200);
	g_assert_cmpint(fixture_worker(&p, "w")->quarantine_ms, ==, 4000);
	fixture_close(&p);
}

/* Long-running tasks fail at times, and none of them is ever done: a failure
 * each ten minutes doesn't make a worker a bad one. */
static void test_rare_failures_are_no_evidence(void)
{
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fail_at(&p, "a", 1, 100);
	fail_at(&p, "b", 2, 600000);
	fail_at(&p, "c", 3, 1200000);
	fail_at(&p, "d", 4, 1800000);
	g_assert_cmpint(fixture_worker(&p, "w")->quarantine_ms, ==, 0);
	fixture_close(&p);
}

/* A failure that is reported late, of a run that began after a quarantine that
 * was over, is new; all that one report brings is one piece of evidence. */
static void test_second_cut_quarantines_once(void)
{
	struct sched_end ends[12];
	struct sched_fixture p;
	char id[16];

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fail_at(&p, "a", 1, 100);
	fail_at(&p, "b", 2, 200);
	fail_at(&p, "c", 3, 300);
	for (int i = 0; i < 12; i++) {
		struct jobspec *spec;

		g_snprintf(id, sizeof(id), "j%d", i);
		spec = fixture_long_running(id, 100, 1);
		fixture_add_job(&p, spec);
	}
	sched_place(&p.s, 5000);
	g_assert_cmpuint(p.starts->len, ==, 15);
	for (int i = 0; i < 12; i++) {
		fixture_started(&p, fixture_start(&p, (guint)i + 3), 5001);
		ends[i] = fixture_end(fixture_start(&p, (guint)i + 3), i + 4,
				      SCHED_END_FAILED);
	}
	fixture_poll(&p, "w", NULL, 0, ends, 12, 6000);
	g_assert_cmpint(fixture_worker(&p, "w")->quarantine_ms, ==, 8000);
	fixture_close(&p);
}

/* gd-sched's workers: failures reported at once are one piece of evidence. */
static void test_batch_failures_at_once(void)
{
	struct place_worker w = { .usable = true, .total = { 8000, 8000, 0 } };

	for (uint64_t i = 0; i < 12; i++)
		place_note_result(&w, true, i + 1, 1000);
	g_assert_cmpint(w.quarantine_until_ms, ==, 1000 + 5000);
}

#define MANY_WORKERS 350

/* The work of a pass is bounded by what it counts: the choice of a rack, which
 * looks at all workers, has to count, too. */
static void test_rack_choice_is_counted(void)
{
	struct sched_fixture p;
	struct jobspec *spec;
	char id[16];

	fixture_open(&p, 1, NULL);
	for (int i = 0; i < MANY_WORKERS; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		fixture_add_worker(&p, id, i % 2 ? "r" : "s");
		fixture_poll(&p, id, NULL, 0, NULL, 0, 10);
	}
	spec = fixture_spec("a", "short", 1, 1);
	spec->steps[0].cpu_milli = 9000;
	spec->steps[0].one_rack = true;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 100);
	/* Candidates, racks, and the workers of one rack. */
	g_assert_cmpint(p.s.pass_work, >=, 2 * MANY_WORKERS + MANY_WORKERS / 2);
	fixture_close(&p);
}

void unit_add_suspect(void)
{
	g_test_add_func("/sched/rack-choice-is-counted",
			test_rack_choice_is_counted);
	g_test_add_func("/sched/suspect-in-domain-out",
			test_suspect_in_domain_out);
	g_test_add_func("/sched/suspect-without-label",
			test_suspect_without_label);
	g_test_add_func("/sched/suspect-refusing-rests",
			test_suspect_refusing_rests);
	g_test_add_func("/sched/old-quarantine-is-forgotten",
			test_old_quarantine_is_forgotten);
	g_test_add_func("/sched/new-incarnation-starts-clean",
			test_new_incarnation_starts_clean);
	g_test_add_func("/sched/rare-failures-are-no-evidence",
			test_rare_failures_are_no_evidence);
	g_test_add_func("/sched/second-cut-quarantines-once",
			test_second_cut_quarantines_once);
	g_test_add_func("/sched/batch-failures-at-once",
			test_batch_failures_at_once);
}
