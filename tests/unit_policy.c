/* Tests of the order and placement of starts, without workers, clock or
 * network. */
#include <glib.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

#include "tests/sched_fixture.h"
#include "tests/unit.h"

/*
 * Starts two tasks of job "a", which has a third one, adds job "b", and then
 * ends the first task, so that one task of either job can start.
 */
static void run_begun_and_newer(struct sched_fixture *p,
				const struct sched_rank_policy *order,
				int64_t newer_ms, int64_t now_ms)
{
	struct jobspec *newer = fixture_spec("b", "short", 1, 2);
	struct sched_active running;
	struct sched_end e;

	fixture_open(p, 1, NULL);
	p->s.rank_policy = order;
	fixture_add_worker(p, "w", "r");
	fixture_poll(p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(p, fixture_spec("a", "short", 1, 3));
	sched_place(&p->s, 20);
	g_assert_cmpuint(p->starts->len, ==, 2);
	fixture_started(p, fixture_start(p, 0), 30);
	fixture_started(p, fixture_start(p, 1), 30);
	newer->steps[0].expected_ms = newer_ms;
	fixture_add_job(p, newer);
	e = fixture_end(fixture_start(p, 0), 1, SCHED_END_DONE);
	running = fixture_active(fixture_start(p, 1), 50);
	fixture_poll(p, "w", &running, 1, &e, 1, now_ms);
	sched_place(&p->s, now_ms + 10);
	g_assert_cmpuint(p->starts->len, ==, 3);
}

/*
 * Guards against overload by urgent jobs that leaves many of them unfinished
 * (dhl-pettycash, trouble-2: 75 of 203 claims never ended, each with some tasks
 * run). The baseline order prefers a job that has begun, even if the newer one
 * has to start sooner or is the only one that can still be in time.
 */
static void test_finishes_what_is_begun(void)
{
	struct sched_fixture p;

	/* Both in time: "a" has until 1600, "b" until 1100. */
	run_begun_and_newer(&p, &sched_rank_by_latest_start, 500, 1000);
	g_assert_cmpstr(fixture_start(&p, 2)->ref.job, ==, "a");
	fixture_close(&p);
	/* "a" is late since 1600, "b" has until 3100. */
	run_begun_and_newer(&p, &sched_rank_by_latest_start, 2500, 2000);
	g_assert_cmpstr(fixture_start(&p, 2)->ref.job, ==, "a");
	fixture_close(&p);
}

/*
 * Guards against late jobs during a whole day of overload (dhl-pettycash,
 * trouble-1: 73 of 358 reconciliations in time, 181 late). The order by value
 * prefers the job that gains most per unit of work: one that is nearly done,
 * and one that can be in time to one that is late.
 */
static void test_order_by_value(void)
{
	struct sched_fixture p;

	/* Both in time; two tasks of 1000 ms left, or two of 2500. */
	run_begun_and_newer(&p, &sched_rank_by_weight, 2500, 1000);
	g_assert_cmpstr(fixture_start(&p, 2)->ref.job, ==, "a");
	fixture_close(&p);
	/* Two tasks of 1000 ms left, or two of 500. */
	run_begun_and_newer(&p, &sched_rank_by_weight, 500, 1000);
	g_assert_cmpstr(fixture_start(&p, 2)->ref.job, ==, "b");
	fixture_close(&p);
	/* "a" is late since 1600, "b" has until 3100. */
	run_begun_and_newer(&p, &sched_rank_by_weight, 2500, 2000);
	g_assert_cmpstr(fixture_start(&p, 2)->ref.job, ==, "b");
	fixture_close(&p);
	/* Both are late: "b" since 1100, and more of "a" is done. */
	run_begun_and_newer(&p, &sched_rank_by_weight, 1500, 2200);
	g_assert_cmpstr(fixture_start(&p, 2)->ref.job, ==, "a");
	fixture_close(&p);
}

static void test_cancel_stops(void)
{
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(&p, fixture_spec("a", "short", 2, 2));
	sched_place(&p.s, 20);
	fixture_started(&p, fixture_start(&p, 0), 25);
	fixture_started(&p, fixture_start(&p, 1), 25);
	sched_job_cancel(&p.s, "a", 30, 0);
	g_assert_cmpuint(p.stops->len, ==, 2);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_close(&p);
}

static void test_domain_out_and_draining(void)
{
	struct sched_fixture p;
	GHashTable *out = g_hash_table_new(g_str_hash, g_str_equal);
	struct sched_worker_row row;

	fixture_open(&p, 1, out);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	g_hash_table_add(out, (gpointer) "d");
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 0);
	g_hash_table_remove(out, "d");
	row = fixture_worker(&p, "w")->row;
	row.draining = true;
	sched_worker_listed(&p.s, &row, 30);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 0);
	row.draining = false;
	sched_worker_listed(&p.s, &row, 50);
	sched_place(&p.s, 60);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
	g_hash_table_destroy(out);
}

/* Returns the start number `k` of the job's tasks, counted from 0. */
static const struct recorded_command *start_of(const struct sched_fixture *p,
					       const char *job, int k)
{
	for (guint i = 0; i < p->starts->len; i++) {
		if (!strcmp(fixture_start(p, i)->ref.job, job) && !k--)
			return fixture_start(p, i);
	}
	g_assert_not_reached();
}

/* A draining worker's long-running tasks move, its short ones end there. */
static void test_leaves_draining_worker(void)
{
	struct sched_fixture p;
	struct jobspec *lasting = fixture_spec("a", "short", 1, 1);
	struct sched_worker_row row;
	struct sched_end e;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	lasting->steps[0].is_long_running = true;
	fixture_add_job(&p, lasting);
	fixture_add_job(&p, fixture_spec("b", "short", 1, 1));
	sched_place(&p.s, 20);
	fixture_started(&p, fixture_start(&p, 0), 30);
	fixture_started(&p, fixture_start(&p, 1), 30);
	fixture_add_worker(&p, "v", "r");
	fixture_poll(&p, "v", NULL, 0, NULL, 0, 40);
	row = fixture_worker(&p, "w")->row;
	row.draining = true;
	sched_worker_listed(&p.s, &row, 50);
	sched_tick(&p.s, 100, 0);
	/* The short task ends there by itself. */
	g_assert_cmpuint(p.stops->len, ==, 1);
	g_assert_cmpstr(
		g_array_index(p.stops, struct recorded_command, 0).ref.job, ==,
		"a");
	e = fixture_end(&g_array_index(p.stops, struct recorded_command, 0), 1,
			SCHED_END_STOPPED);
	fixture_poll(&p, "w", NULL, 0, &e, 1, 200);
	sched_place(&p.s, 210);
	g_assert_cmpstr(fixture_start(&p, 2)->worker, ==, "v");
	fixture_close(&p);
}

static void test_capacity_labels_spread(void)
{
	struct sched_fixture p;
	struct jobspec *spec = fixture_spec("a", "short", 1, 4);
	struct jobspec *labelled = fixture_spec("b", "short", 1, 1);

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r1");
	fixture_add_worker(&p, "v", "r2");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_poll(&p, "v", NULL, 0, NULL, 0, 10);
	spec->steps[0].cpu_milli = 3000;
	spec->steps[0].spread_max = 1;
	fixture_add_job(&p, spec);
	g_strlcpy(labelled->steps[0].label, "r2",
		  sizeof(labelled->steps[0].label));
	fixture_add_job(&p, labelled);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 3);
	g_assert_cmpstr(start_of(&p, "a", 0)->worker, !=,
			start_of(&p, "a", 1)->worker);
	g_assert_cmpstr(start_of(&p, "b", 0)->worker, ==, "v");
	g_assert_cmpint(fixture_worker(&p, "v")->used.cpu_milli, ==, 7000);
	fixture_close(&p);
}

/* A gang starts completely or not at all, and one end counts for all tasks. */
static void test_gang(void)
{
	struct sched_fixture p;
	struct jobspec *spec = fixture_spec("a", "short", 1, 3);
	struct sched_job *job;
	struct sched_end e;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	spec->steps[0].gang = true;
	job = fixture_add_job(&p, spec);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 0);
	g_assert_cmpint(fixture_worker(&p, "w")->used.cpu_milli, ==, 0);
	fixture_add_worker(&p, "v", "r");
	fixture_poll(&p, "v", NULL, 0, NULL, 0, 30);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 3);
	g_assert_cmpint(fixture_start(&p, 0)->ref.run, ==,
			fixture_start(&p, 2)->ref.run);
	e = fixture_end(fixture_start(&p, 1), 1, SCHED_END_DONE);
	fixture_poll(&p, fixture_start(&p, 1)->worker, NULL, 0, &e, 1, 50);
	g_assert_cmpint(job->state, ==, SCHED_JOB_DONE);
	fixture_close(&p);
}

static void test_lasting_is_restarted(void)
{
	struct sched_fixture p;
	struct jobspec *spec = fixture_spec("a", "short", 1, 1);
	struct sched_end e;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	spec->steps[0].is_long_running = true;
	fixture_add_job(&p, spec);
	for (int32_t i = 0; i < 5; i++) {
		sched_place(&p.s, 1000 * i + 20);
		e = fixture_end(fixture_start(&p, (guint)i), i + 1,
				SCHED_END_FAILED);
		fixture_poll(&p, "w", NULL, 0, &e, 1, 1000 * i + 30);
	}
	sched_place(&p.s, 9000);
	g_assert_cmpuint(p.starts->len, ==, 6);
	fixture_close(&p);
}

/* An urgent job evicts one task of a full pool, and not more than needed. */
static void test_evicts_for_urgent(void)
{
	struct sched_fixture p;
	struct jobspec *low = fixture_spec("a", "long", 1, 2);
	struct sched_active a[2];

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	low->steps[0].checkpoints = true;
	fixture_add_job(&p, low);
	sched_place(&p.s, 20);
	a[0] = fixture_active(fixture_start(&p, 0), 10);
	a[1] = fixture_active(fixture_start(&p, 1), 10);
	fixture_poll(&p, "w", a, 2, NULL, 0, 30);
	fixture_add_job(&p, fixture_spec("b", "short", 1, 1));
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.stops->len, ==, 1);
	sched_place(&p.s, 60);
	g_assert_cmpuint(p.stops->len, ==, 1);
	fixture_close(&p);
}

static void test_restarted_worker(void)
{
	struct sched_fixture p;
	struct sched_worker_row row;
	struct sched_active a;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 20);
	fixture_started(&p, fixture_start(&p, 0), 30);
	a = fixture_active(fixture_start(&p, 0), 1);
	fixture_poll(&p, "w", &a, 1, NULL, 0, 40);
	row = fixture_worker(&p, "w")->row;
	row.born_ms = 2;
	sched_worker_listed(&p.s, &row, 100);
	g_assert_cmpuint(fixture_worker(&p, "w")->runs.length, ==, 0);
	g_assert_false(fixture_worker(&p, "w")->reconciled);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 110);
	sched_place(&p.s, 120);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_close(&p);
}

static void test_rounds(void)
{
	struct sched_fixture p;
	struct jobspec *spec = fixture_spec("a", "short", 1, 1);

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	spec->rounds = 2;
	spec->first_due_ms = 1001000;
	spec->interval_ms = 2000;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 0);
	sched_tick(&p.s, 1000, 1001000);
	sched_place(&p.s, 1000);
	g_assert_cmpuint(p.starts->len, ==, 1);
	sched_tick(&p.s, 3000, 1003000);
	sched_place(&p.s, 3000);
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_cmpint(fixture_start(&p, 1)->ref.round, ==, 1);
	fixture_close(&p);
}

static bool allows_all(const struct sched_incarnation *worker, void *priv)
{
	(void)worker;
	(void)priv;
	return true;
}

static void test_advice(void)
{
	struct sched_fixture p;
	const char *payload;
	const char *checkpoint;
	const char *ticket;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(&p, fixture_spec("a", "ruled", 1, 1));
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 0);
	g_assert_cmpint(p.advised, ==, 1);
	fixture_answer(&p,
		       &g_array_index(p.questions, struct recorded_question, 0),
		       allows_all, NULL, 3000, 30);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 1);
	g_assert_true(sched_start_args(&p.s, &fixture_start(&p, 0)->ref, "w",
				       &payload, &checkpoint, &ticket));
	g_assert_cmpstr(ticket, ==, "t");
	fixture_close(&p);
}

/* Failures of several jobs quarantine a worker, those of one job don't. */
static void test_quarantine(void)
{
	struct sched_fixture p;
	const char *ids[] = { "a", "b", "c" };
	struct sched_end e;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	for (guint i = 0; i < 3; i++) {
		g_assert_cmpint(fixture_worker(&p, "w")->quarantine_until_ms,
				==, 0);
		fixture_add_job(&p, fixture_spec(ids[i], "short", 1, 1));
		sched_place(&p.s, 1000 * i + 20);
		e = fixture_end(fixture_start(&p, p.starts->len - 1), i + 1,
				SCHED_END_FAILED);
		fixture_poll(&p, "w", NULL, 0, &e, 1, 1000 * i + 30);
		sched_job_cancel(&p.s, ids[i], 1000 * i + 40, 0);
	}
	g_assert_cmpint(fixture_worker(&p, "w")->quarantine_until_ms, >, 2030);
	fixture_close(&p);
}

void unit_add_policy(void)
{
	g_test_add_func("/sched/finishes-begun", test_finishes_what_is_begun);
	g_test_add_func("/sched/order-by-value", test_order_by_value);
	g_test_add_func("/sched/cancel-stops", test_cancel_stops);
	g_test_add_func("/sched/domain-and-draining",
			test_domain_out_and_draining);
	g_test_add_func("/sched/leaves-draining", test_leaves_draining_worker);
	g_test_add_func("/sched/capacity-labels-spread",
			test_capacity_labels_spread);
	g_test_add_func("/sched/gang", test_gang);
	g_test_add_func("/sched/lasting", test_lasting_is_restarted);
	g_test_add_func("/sched/evicts-for-urgent", test_evicts_for_urgent);
	g_test_add_func("/sched/reborn-worker", test_restarted_worker);
	g_test_add_func("/sched/rounds", test_rounds);
	g_test_add_func("/sched/advice", test_advice);
	g_test_add_func("/sched/quarantine", test_quarantine);
}
