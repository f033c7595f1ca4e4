/* Tests of the order and placement of starts, without workers, clock or
 * network. */
#include <glib.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

#include "tests/paper.h"
#include "tests/unit.h"

/*
 * Starts two tasks of job "a", which has a third one, adds job "b", and then
 * ends the first task, so that one task of either job can start.
 */
static void run_begun_and_newer(struct paper *p,
				const struct sched_order *order,
				int64_t newer_ms, int64_t now_ms)
{
	struct jobspec *newer = paper_spec_of("b", "short", 1, 2);
	struct sched_active running;
	struct sched_end e;

	paper_open(p, 1, NULL);
	p->s.order = order;
	paper_add_worker(p, "w", "r");
	paper_look_at(p, "w", NULL, 0, NULL, 0, 10);
	paper_add_job(p, paper_spec_of("a", "short", 1, 3));
	sched_place(&p->s, 20);
	g_assert_cmpuint(p->starts->len, ==, 2);
	paper_started(p, paper_start_at(p, 0), 30);
	paper_started(p, paper_start_at(p, 1), 30);
	newer->steps[0].expected_ms = newer_ms;
	paper_add_job(p, newer);
	e = paper_end_of(paper_start_at(p, 0), 1, SCHED_DONE);
	running = paper_active_of(paper_start_at(p, 1), 50);
	paper_look_at(p, "w", &running, 1, &e, 1, now_ms);
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
	struct paper p;

	/* Both in time: "a" has until 1600, "b" until 1100. */
	run_begun_and_newer(&p, &sched_order_latest_start, 500, 1000);
	g_assert_cmpstr(paper_start_at(&p, 2)->ref.job, ==, "a");
	paper_close(&p);
	/* "a" is late since 1600, "b" has until 3100. */
	run_begun_and_newer(&p, &sched_order_latest_start, 2500, 2000);
	g_assert_cmpstr(paper_start_at(&p, 2)->ref.job, ==, "a");
	paper_close(&p);
}

/*
 * Guards against late jobs during a whole day of overload (dhl-pettycash,
 * trouble-1: 73 of 358 reconciliations in time, 181 late). The order by value
 * prefers the job that gains most per unit of work: one that is nearly done,
 * and one that can be in time to one that is late.
 */
static void test_order_by_value(void)
{
	struct paper p;

	/* Both in time; two tasks of 1000 ms left, or two of 2500. */
	run_begun_and_newer(&p, &sched_order_value, 2500, 1000);
	g_assert_cmpstr(paper_start_at(&p, 2)->ref.job, ==, "a");
	paper_close(&p);
	/* Two tasks of 1000 ms left, or two of 500. */
	run_begun_and_newer(&p, &sched_order_value, 500, 1000);
	g_assert_cmpstr(paper_start_at(&p, 2)->ref.job, ==, "b");
	paper_close(&p);
	/* "a" is late since 1600, "b" has until 3100. */
	run_begun_and_newer(&p, &sched_order_value, 2500, 2000);
	g_assert_cmpstr(paper_start_at(&p, 2)->ref.job, ==, "b");
	paper_close(&p);
	/* Both are late: "b" since 1100, and more of "a" is done. */
	run_begun_and_newer(&p, &sched_order_value, 1500, 2200);
	g_assert_cmpstr(paper_start_at(&p, 2)->ref.job, ==, "a");
	paper_close(&p);
}

static void test_cancel_stops(void)
{
	struct paper p;

	paper_open(&p, 1, NULL);
	paper_add_worker(&p, "w", "r");
	paper_look_at(&p, "w", NULL, 0, NULL, 0, 10);
	paper_add_job(&p, paper_spec_of("a", "short", 2, 2));
	sched_place(&p.s, 20);
	paper_started(&p, paper_start_at(&p, 0), 25);
	paper_started(&p, paper_start_at(&p, 1), 25);
	sched_job_cancel(&p.s, "a", 30, 0);
	g_assert_cmpuint(p.stops->len, ==, 2);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 2);
	paper_close(&p);
}

static void test_domain_out_and_draining(void)
{
	struct paper p;
	GHashTable *out = g_hash_table_new(g_str_hash, g_str_equal);
	struct sched_worker_row row;

	paper_open(&p, 1, out);
	paper_add_worker(&p, "w", "r");
	paper_look_at(&p, "w", NULL, 0, NULL, 0, 10);
	paper_add_job(&p, paper_spec_of("a", "short", 1, 1));
	g_hash_table_add(out, (gpointer) "d");
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 0);
	g_hash_table_remove(out, "d");
	row = paper_worker(&p, "w")->row;
	row.draining = true;
	sched_worker_seen(&p.s, &row, 30);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 0);
	row.draining = false;
	sched_worker_seen(&p.s, &row, 50);
	sched_place(&p.s, 60);
	g_assert_cmpuint(p.starts->len, ==, 1);
	paper_close(&p);
	g_hash_table_destroy(out);
}

/* Returns the start number `k` of the job's tasks, counted from 0. */
static const struct noted *start_of(const struct paper *p, const char *job,
				    int k)
{
	for (guint i = 0; i < p->starts->len; i++) {
		if (!strcmp(paper_start_at(p, i)->ref.job, job) && !k--)
			return paper_start_at(p, i);
	}
	g_assert_not_reached();
}

/* A draining worker's long-running tasks move, its short ones end there. */
static void test_leaves_draining_worker(void)
{
	struct paper p;
	struct jobspec *lasting = paper_spec_of("a", "short", 1, 1);
	struct sched_worker_row row;
	struct sched_end e;

	paper_open(&p, 1, NULL);
	paper_add_worker(&p, "w", "r");
	paper_look_at(&p, "w", NULL, 0, NULL, 0, 10);
	lasting->steps[0].lasts = true;
	paper_add_job(&p, lasting);
	paper_add_job(&p, paper_spec_of("b", "short", 1, 1));
	sched_place(&p.s, 20);
	paper_started(&p, paper_start_at(&p, 0), 30);
	paper_started(&p, paper_start_at(&p, 1), 30);
	paper_add_worker(&p, "v", "r");
	paper_look_at(&p, "v", NULL, 0, NULL, 0, 40);
	row = paper_worker(&p, "w")->row;
	row.draining = true;
	sched_worker_seen(&p.s, &row, 50);
	sched_tick(&p.s, 100, 0);
	/* The short task ends there by itself. */
	g_assert_cmpuint(p.stops->len, ==, 1);
	g_assert_cmpstr(g_array_index(p.stops, struct noted, 0).ref.job, ==,
			"a");
	e = paper_end_of(&g_array_index(p.stops, struct noted, 0), 1,
			 SCHED_STOPPED);
	paper_look_at(&p, "w", NULL, 0, &e, 1, 200);
	sched_place(&p.s, 210);
	g_assert_cmpstr(paper_start_at(&p, 2)->worker, ==, "v");
	paper_close(&p);
}

static void test_capacity_labels_spread(void)
{
	struct paper p;
	struct jobspec *spec = paper_spec_of("a", "short", 1, 4);
	struct jobspec *labelled = paper_spec_of("b", "short", 1, 1);

	paper_open(&p, 1, NULL);
	paper_add_worker(&p, "w", "r1");
	paper_add_worker(&p, "v", "r2");
	paper_look_at(&p, "w", NULL, 0, NULL, 0, 10);
	paper_look_at(&p, "v", NULL, 0, NULL, 0, 10);
	spec->steps[0].cpu_milli = 3000;
	spec->steps[0].spread_max = 1;
	paper_add_job(&p, spec);
	g_strlcpy(labelled->steps[0].label, "r2",
		  sizeof(labelled->steps[0].label));
	paper_add_job(&p, labelled);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 3);
	g_assert_cmpstr(start_of(&p, "a", 0)->worker, !=,
			start_of(&p, "a", 1)->worker);
	g_assert_cmpstr(start_of(&p, "b", 0)->worker, ==, "v");
	g_assert_cmpint(paper_worker(&p, "v")->used.cpu_milli, ==, 7000);
	paper_close(&p);
}

/* A gang starts completely or not at all, and one end counts for all tasks. */
static void test_gang(void)
{
	struct paper p;
	struct jobspec *spec = paper_spec_of("a", "short", 1, 3);
	struct sched_job *job;
	struct sched_end e;

	paper_open(&p, 1, NULL);
	paper_add_worker(&p, "w", "r");
	paper_look_at(&p, "w", NULL, 0, NULL, 0, 10);
	spec->steps[0].gang = true;
	job = paper_add_job(&p, spec);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 0);
	g_assert_cmpint(paper_worker(&p, "w")->used.cpu_milli, ==, 0);
	paper_add_worker(&p, "v", "r");
	paper_look_at(&p, "v", NULL, 0, NULL, 0, 30);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 3);
	g_assert_cmpint(paper_start_at(&p, 0)->ref.run, ==,
			paper_start_at(&p, 2)->ref.run);
	e = paper_end_of(paper_start_at(&p, 1), 1, SCHED_DONE);
	paper_look_at(&p, paper_start_at(&p, 1)->worker, NULL, 0, &e, 1, 50);
	g_assert_cmpint(job->state, ==, SCHED_JOB_DONE);
	paper_close(&p);
}

static void test_lasting_is_restarted(void)
{
	struct paper p;
	struct jobspec *spec = paper_spec_of("a", "short", 1, 1);
	struct sched_end e;

	paper_open(&p, 1, NULL);
	paper_add_worker(&p, "w", "r");
	paper_look_at(&p, "w", NULL, 0, NULL, 0, 10);
	spec->steps[0].lasts = true;
	paper_add_job(&p, spec);
	for (int32_t i = 0; i < 5; i++) {
		sched_place(&p.s, 1000 * i + 20);
		e = paper_end_of(paper_start_at(&p, (guint)i), i + 1,
				 SCHED_FAILED);
		paper_look_at(&p, "w", NULL, 0, &e, 1, 1000 * i + 30);
	}
	sched_place(&p.s, 9000);
	g_assert_cmpuint(p.starts->len, ==, 6);
	paper_close(&p);
}

/* An urgent job evicts one task of a full pool, and not more than needed. */
static void test_evicts_for_urgent(void)
{
	struct paper p;
	struct jobspec *low = paper_spec_of("a", "long", 1, 2);
	struct sched_active a[2];

	paper_open(&p, 1, NULL);
	paper_add_worker(&p, "w", "r");
	paper_look_at(&p, "w", NULL, 0, NULL, 0, 10);
	low->steps[0].checkpoints = true;
	paper_add_job(&p, low);
	sched_place(&p.s, 20);
	a[0] = paper_active_of(paper_start_at(&p, 0), 10);
	a[1] = paper_active_of(paper_start_at(&p, 1), 10);
	paper_look_at(&p, "w", a, 2, NULL, 0, 30);
	paper_add_job(&p, paper_spec_of("b", "short", 1, 1));
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.stops->len, ==, 1);
	sched_place(&p.s, 60);
	g_assert_cmpuint(p.stops->len, ==, 1);
	paper_close(&p);
}

static void test_restarted_worker(void)
{
	struct paper p;
	struct sched_worker_row row;
	struct sched_active a;

	paper_open(&p, 1, NULL);
	paper_add_worker(&p, "w", "r");
	paper_look_at(&p, "w", NULL, 0, NULL, 0, 10);
	paper_add_job(&p, paper_spec_of("a", "short", 1, 1));
	sched_place(&p.s, 20);
	paper_started(&p, paper_start_at(&p, 0), 30);
	a = paper_active_of(paper_start_at(&p, 0), 1);
	paper_look_at(&p, "w", &a, 1, NULL, 0, 40);
	row = paper_worker(&p, "w")->row;
	row.born_ms = 2;
	sched_worker_seen(&p.s, &row, 100);
	g_assert_cmpuint(paper_worker(&p, "w")->runs.length, ==, 0);
	g_assert_false(paper_worker(&p, "w")->known);
	paper_look_at(&p, "w", NULL, 0, NULL, 0, 110);
	sched_place(&p.s, 120);
	g_assert_cmpuint(p.starts->len, ==, 2);
	paper_close(&p);
}

static void test_rounds(void)
{
	struct paper p;
	struct jobspec *spec = paper_spec_of("a", "short", 1, 1);

	paper_open(&p, 1, NULL);
	paper_add_worker(&p, "w", "r");
	paper_look_at(&p, "w", NULL, 0, NULL, 0, 10);
	spec->rounds = 2;
	spec->first_due_ms = 1001000;
	spec->interval_ms = 2000;
	paper_add_job(&p, spec);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 0);
	sched_tick(&p.s, 1000, 1001000);
	sched_place(&p.s, 1000);
	g_assert_cmpuint(p.starts->len, ==, 1);
	sched_tick(&p.s, 3000, 1003000);
	sched_place(&p.s, 3000);
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_cmpint(paper_start_at(&p, 1)->ref.round, ==, 1);
	paper_close(&p);
}

static void test_advice(void)
{
	struct paper p;
	const char *ids[] = { "w" };
	const char *tickets[] = { "t" };
	struct sched_ref step = { .job = "a" };
	const char *payload;
	const char *checkpoint;
	const char *ticket;

	paper_open(&p, 1, NULL);
	paper_add_worker(&p, "w", "r");
	paper_look_at(&p, "w", NULL, 0, NULL, 0, 10);
	paper_add_job(&p, paper_spec_of("a", "ruled", 1, 1));
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 0);
	g_assert_cmpint(p.advised, ==, 1);
	sched_advised(&p.s, &step, ids, tickets, 1, 3000, 30);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 1);
	g_assert_true(sched_start_text(&p.s, &paper_start_at(&p, 0)->ref, "w",
				       &payload, &checkpoint, &ticket));
	g_assert_cmpstr(ticket, ==, "t");
	paper_close(&p);
}

/* Failures of several jobs quarantine a worker, those of one job don't. */
static void test_quarantine(void)
{
	struct paper p;
	const char *ids[] = { "a", "b", "c" };
	struct sched_end e;

	paper_open(&p, 1, NULL);
	paper_add_worker(&p, "w", "r");
	paper_look_at(&p, "w", NULL, 0, NULL, 0, 10);
	for (guint i = 0; i < 3; i++) {
		g_assert_cmpint(paper_worker(&p, "w")->quarantine_until_ms, ==,
				0);
		paper_add_job(&p, paper_spec_of(ids[i], "short", 1, 1));
		sched_place(&p.s, 1000 * i + 20);
		e = paper_end_of(paper_start_at(&p, p.starts->len - 1), i + 1,
				 SCHED_FAILED);
		paper_look_at(&p, "w", NULL, 0, &e, 1, 1000 * i + 30);
		sched_job_cancel(&p.s, ids[i], 1000 * i + 40, 0);
	}
	g_assert_cmpint(paper_worker(&p, "w")->quarantine_until_ms, >, 2030);
	paper_close(&p);
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
