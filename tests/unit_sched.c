/* The scheduler under faults, without workers, clock or network. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "tests/sched_fixture.h"
#include "tests/unit.h"

/* A step starts only once all tasks of the steps before it are done. */
static void test_steps_in_order(void)
{
	struct sched_fixture p;
	struct sched_end e[2];
	struct sched_job *job;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	job = fixture_add_job(&p, fixture_spec("a", "short", 2, 2));
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_started(&p, fixture_start(&p, 0), 30);
	fixture_started(&p, fixture_start(&p, 1), 30);
	e[0] = fixture_end(fixture_start(&p, 0), 1, SCHED_END_DONE);
	fixture_poll(&p, "w", &(struct sched_active){ 0 }, 0, e, 1, 30);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 2);
	e[1] = fixture_end(fixture_start(&p, 1), 2, SCHED_END_DONE);
	fixture_poll(&p, "w", NULL, 0, e, 2, 50);
	sched_place(&p.s, 60);
	g_assert_cmpuint(p.starts->len, ==, 4);
	g_assert_cmpint(fixture_start(&p, 2)->ref.step, ==, 1);
	e[0] = fixture_end(fixture_start(&p, 2), 3, SCHED_END_DONE);
	e[1] = fixture_end(fixture_start(&p, 3), 4, SCHED_END_DONE);
	fixture_poll(&p, "w", NULL, 0, e, 2, 70);
	g_assert_cmpint(job->state, ==, SCHED_JOB_DONE);
	fixture_close(&p);
}

/* An end is reported again until it is acknowledged, but counts once. */
static void test_attempts_counted_once(void)
{
	struct sched_fixture p;
	struct sched_end e;
	struct sched_job *job;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	job = fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 20);
	e = fixture_end(fixture_start(&p, 0), 1, SCHED_END_FAILED);
	fixture_poll(&p, "w", NULL, 0, &e, 1, 30);
	fixture_poll(&p, "w", NULL, 0, &e, 1, 40);
	g_assert_cmpint(job->state, !=, SCHED_JOB_FAILED);
	sched_place(&p.s, 500);
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_cmpint(fixture_start(&p, 1)->ref.run, >,
			fixture_start(&p, 0)->ref.run);
	e = fixture_end(fixture_start(&p, 1), 2, SCHED_END_FAILED);
	fixture_poll(&p, "w", NULL, 0, &e, 1, 600);
	g_assert_cmpint(job->state, ==, SCHED_JOB_FAILED);
	sched_place(&p.s, 1500);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_close(&p);
}

/*
 * A start command without answer may take effect seconds later. The task starts
 * elsewhere only after a report under a higher fence token doesn't list it.
 */
static void test_unanswered_start(void)
{
	struct sched_fixture p;
	struct sched_worker *w;
	struct sched_report old = { 0 };

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	w = fixture_worker(&p, "w");
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 20);
	old.fence = w->fence;
	sched_start_answered(&p.s, &fixture_start(&p, 0)->ref, "w",
			     SCHED_START_UNKNOWN, 700);
	g_assert_cmpint(w->fence, >, old.fence);
	sched_place(&p.s, 710);
	g_assert_cmpuint(p.starts->len, ==, 1);
	/* A report under the old token proves nothing. */
	old.clock_ms = 100720;
	old.born_ms = 1;
	old.sent_ms = 700;
	sched_poll_answered(&p.s, w, &old, 720, 0);
	sched_place(&p.s, 730);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 740);
	sched_place(&p.s, 750);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_close(&p);
}

/*
 * Guards against a second run (TWICE, dhl-pettycash, scale-2 1072954606730)
 * after answers on different connections arrived out of order. A report from
 * before the worker started the task must not count as "not running".
 */
static void test_reports_out_of_order(void)
{
	struct sched_fixture p;
	struct sched_active a;
	struct sched_report delayed = { .born_ms = 1 };

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 20);
	a = fixture_active(fixture_start(&p, 0), 5);
	fixture_poll(&p, "w", &a, 1, NULL, 0, 100);
	delayed.clock_ms = 100060;
	delayed.sent_ms = 50;
	delayed.fence = fixture_worker(&p, "w")->fence;
	sched_poll_answered(&p.s, fixture_worker(&p, "w"), &delayed, 110, 0);
	sched_place(&p.s, 120);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
}

/*
 * A worker that is cut off keeps running. The lease of a silent worker is not
 * renewed, and its tasks start elsewhere once the lease has expired.
 */
static void test_silent_worker_lease_expires(void)
{
	struct sched_fixture p;
	struct sched_worker *w;
	int64_t expiry_ms;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	w = fixture_worker(&p, "w");
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 20);
	g_assert_cmpint(sched_lease_end(&p.s, w, 20), >, 0);
	fixture_started(&p, fixture_start(&p, 0), 30);
	fixture_add_worker(&p, "v", "r");
	fixture_poll(&p, "v", NULL, 0, NULL, 0, 40);
	sched_worker_unanswered(&p.s, w, 1000);
	g_assert_cmpint(sched_lease_end(&p.s, w, 1100), ==, 0);
	expiry_ms = 20 + FIXTURE_LEASE_MS;
	sched_tick(&p.s, expiry_ms - 100, 0);
	sched_place(&p.s, expiry_ms - 100);
	g_assert_cmpuint(p.starts->len, ==, 1);
	/* Its clock may be slow by 2%. */
	sched_tick(&p.s, expiry_ms + FIXTURE_LEASE_MS / 50, 0);
	g_assert_cmpuint(w->runs.length, ==, 1);
	sched_tick(&p.s, expiry_ms + 400, 0);
	sched_place(&p.s, expiry_ms + 400);
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_cmpstr(fixture_start(&p, 1)->worker, ==, "v");
	fixture_close(&p);
}

/*
 * After an owner failed, its successor starts no task that may run already
 * until each worker has reported under the new fence token. It adopts the runs
 * that are reported.
 */
static void test_successor_adopts_runs(void)
{
	struct sched_fixture p;
	struct sched_active a;
	struct recorded_command inherited = { .ref = { "a", 0, 0, 0, 1 } };

	fixture_open(&p, 2, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_add_worker(&p, "v", "r");
	sched_job_add(&p.s, fixture_spec("a", "short", 1, 2), NULL, 5, true, 0,
		      0);
	sched_job_add(&p.s, fixture_spec("b", "short", 1, 1), NULL, 9, false, 0,
		      0);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	sched_place(&p.s, 20);
	/* Only the job accepted after the change of owner. */
	g_assert_cmpuint(p.starts->len, ==, 1);
	g_assert_cmpstr(fixture_start(&p, 0)->ref.job, ==, "b");
	a = fixture_active(&inherited, 40);
	fixture_poll(&p, "v", &a, 1, NULL, 0, 30);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_cmpint(fixture_start(&p, 1)->ref.index, ==, 1);
	g_assert_cmpint(fixture_start(&p, 1)->ref.run, >, 1);
	g_assert_cmpuint(fixture_worker(&p, "v")->runs.length, >=, 1);
	fixture_close(&p);
}

/* The worker of an adopted run may hold a lease that the previous owner granted
 * just before. */
static void test_adopted_lease(void)
{
	struct sched_fixture p;
	struct sched_active a;
	struct recorded_command inherited = { .ref = { "a", 0, 0, 0, 1 } };

	fixture_open(&p, 2, NULL);
	fixture_add_worker(&p, "w", "r");
	sched_job_add(&p.s, fixture_spec("a", "short", 1, 1), NULL, 5, true, 0,
		      0);
	a = fixture_active(&inherited, 40);
	fixture_poll(&p, "w", &a, 1, NULL, 0, 100);
	sched_worker_unanswered(&p.s, fixture_worker(&p, "w"), 200);
	sched_tick(&p.s, FIXTURE_LEASE_MS, 0);
	g_assert_cmpuint(fixture_worker(&p, "w")->runs.length, ==, 1);
	sched_tick(&p.s, FIXTURE_LEASE_MS + 1000, 0);
	g_assert_cmpuint(fixture_worker(&p, "w")->runs.length, ==, 0);
	fixture_close(&p);
}

/*
 * Guards against a second run (TWICE, dhl-pettycash, mix 529914389841) by an
 * owner that lost contact to the store and has a successor. It may start only
 * what the successor holds back: jobs older than any claim can be.
 */
static void test_stale_owner_starts_old_jobs(void)
{
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	sched_job_add(&p.s, fixture_spec("a", "short", 1, 1), NULL, 5, false, 0,
		      0);
	sched_job_add(&p.s, fixture_spec("b", "short", 1, 1), NULL, 9, false, 0,
		      0);
	p.s.start_before_version = 7;
	p.s.ownership = SCHED_OWNER_IN_DOUBT;
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 1);
	g_assert_cmpstr(fixture_start(&p, 0)->ref.job, ==, "a");
	p.s.ownership = SCHED_OWNER_CERTAIN;
	sched_place(&p.s, 30);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_close(&p);
}

/*
 * Guards against a second run (TWICE, dhl-pettycash, mix 385028711232): an
 * owner is cut off from the store and has a successor, and neither of them
 * reaches a worker for a while. While in doubt, the old owner treats no lease
 * as expired and repeats no task; later it renews no lease and starts nothing.
 */
static void test_ownership_in_doubt(void)
{
	struct sched_fixture p;
	struct sched_worker *w;
	struct sched_end e;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	w = fixture_worker(&p, "w");
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 20);
	sched_lease_end(&p.s, w, 20);
	fixture_add_worker(&p, "v", "r");
	fixture_poll(&p, "v", NULL, 0, NULL, 0, 30);
	p.s.start_before_version = 9;
	p.s.ownership = SCHED_OWNER_IN_DOUBT;
	sched_worker_unanswered(&p.s, w, 1000);
	sched_tick(&p.s, 20000, 0);
	g_assert_cmpuint(w->runs.length, ==, 1);
	sched_place(&p.s, 20000);
	g_assert_cmpuint(p.starts->len, ==, 1);
	e = fixture_end(fixture_start(&p, 0), 1, SCHED_END_FAILED);
	fixture_poll(&p, "w", NULL, 0, &e, 1, 20100);
	sched_place(&p.s, 21000);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_add_job(&p, fixture_spec("b", "short", 1, 1));
	p.s.ownership = SCHED_OWNER_LOST;
	sched_place(&p.s, 21010);
	g_assert_cmpuint(p.starts->len, ==, 1);
	g_assert_cmpint(sched_lease_end(&p.s, w, 21010), ==, 0);
	p.s.ownership = SCHED_OWNER_CERTAIN;
	sched_place(&p.s, 21020);
	g_assert_cmpuint(p.starts->len, ==, 3);
	fixture_close(&p);
}

static void test_progress_is_restored(void)
{
	struct sched_fixture p;
	struct sched_fixture q;
	struct sched_end e[3];
	struct sched_job *job;
	json_t *progress;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	job = fixture_add_job(&p, fixture_spec("a", "short", 1, 2));
	sched_place(&p.s, 20);
	e[0] = fixture_end(fixture_start(&p, 0), 1, SCHED_END_DONE);
	e[1] = fixture_end(fixture_start(&p, 1), 2, SCHED_END_FAILED);
	g_strlcpy(e[1].checkpoint, "cp", sizeof(e[1].checkpoint));
	fixture_poll(&p, "w", NULL, 0, e, 2, 30);
	progress = sched_job_progress(job, SCHED_DETAIL_NO_CHECKPOINTS);
	g_assert_cmpstr(
		json_string_value(json_array_get(
			json_array_get(
				json_array_get(
					json_array_get(
						json_array_get(
							json_array_get(
								json_object_get(
									progress,
									"round"
									"s"),
								0),
							1),
						0),
					1),
				0),
			3)),
		==, "");
	json_decref(progress);
	progress = sched_job_progress(job, SCHED_DETAIL_ALL);
	fixture_close(&p);

	fixture_open(&q, 2, NULL);
	job = sched_job_add(&q.s, fixture_spec("a", "short", 1, 2), progress, 5,
			    true, 0, 0);
	json_decref(progress);
	g_assert_true(job->rounds->steps[0].tasks[0].done);
	g_assert_cmpint(job->rounds->steps[0].tasks[1].failures, ==, 1);
	g_assert_cmpstr(job->rounds->steps[0].tasks[1].checkpoint, ==, "cp");
	fixture_add_worker(&q, "w", "r");
	/* The end that the previous owner counted is still reported. */
	fixture_poll(&q, "w", NULL, 0, e, 2, 30);
	g_assert_cmpint(job->rounds->steps[0].tasks[1].failures, ==, 1);
	sched_place(&q.s, 100);
	g_assert_cmpuint(q.starts->len, ==, 1);
	fixture_close(&q);
}

/*
 * A successor polls the workers in any order. Two failures count as two even if
 * the later one is reported first. They counted as one, and the task was
 * started a fourth time (BUDGET, dhl-pettycash, mix 201448092400).
 */
static void test_failures_out_of_order(void)
{
	struct sched_fixture p;
	struct recorded_command first = { .ref = { "a", 0, 0, 0, 1 } };
	struct recorded_command second = { .ref = { "a", 0, 0, 0, 2 } };
	struct sched_end e;
	struct sched_job *job;

	fixture_open(&p, 2, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_add_worker(&p, "v", "r");
	job = sched_job_add(&p.s, fixture_spec("a", "short", 1, 1), NULL, 5,
			    true, 0, 0);
	e = fixture_end(&second, 1, SCHED_END_FAILED);
	fixture_poll(&p, "w", NULL, 0, &e, 1, 10);
	e = fixture_end(&first, 1, SCHED_END_FAILED);
	fixture_poll(&p, "v", NULL, 0, &e, 1, 20);
	g_assert_cmpint(job->state, ==, SCHED_JOB_FAILED);
	sched_place(&p.s, 500);
	g_assert_cmpuint(p.starts->len, ==, 0);
	fixture_close(&p);
}

/*
 * A poll and a start command use two connections, and the round trip is a tenth
 * of a millisecond. A poll sent in the millisecond in which the start was
 * answered may have arrived before it, so its report proves nothing.
 */
static void test_poll_in_the_same_ms(void)
{
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 20);
	fixture_started(&p, fixture_start(&p, 0), 30);
	/* Sent at 30. */
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 35);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 1);
	/* Sent at 31: the task is gone. */
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 36);
	sched_place(&p.s, 50);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_close(&p);
}

/*
 * Guards against second runs (TWICE 10, siri-dispatch with gangs,
 * lost-answers-and-kill): a worker's entry expires while the store loses its
 * writes, and the owner changes then. The successor knows the worker from the
 * roster and starts no older job until the worker has reported.
 */
static void test_unlisted_worker_on_roster(void)
{
	struct sched_fixture p;
	struct sched_active running = { .ref = { "a", 0, 0, 0, 1 },
					.percent = 50 };
	json_t *roster = json_pack("[[s,s,i]]", "w", "1.2.3.4:5", 1);

	fixture_open(&p, 2, NULL);
	sched_roster_restore(&p.s, roster, 0);
	json_decref(roster);
	sched_job_add(&p.s, fixture_spec("a", "short", 1, 1), NULL, 5, true, 0,
		      1000000);
	fixture_add_worker(&p, "v", "r");
	fixture_poll(&p, "v", NULL, 0, NULL, 0, 10);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 0);
	fixture_poll(&p, "w", &running, 1, NULL, 0, 30);
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 0);
	g_assert_cmpuint(fixture_worker(&p, "w")->runs.length, ==, 1);
	fixture_close(&p);
}

/* No task starts at a worker before the stored roster contains it, since a
 * successor would not know of the worker. It belongs there once it answers. */
static void test_roster_stored_before_start(void)
{
	struct sched_fixture p;
	struct sched_worker_row row = { .pool = "p",
					.domain = "d",
					.born_ms = 1,
					.total = { 8000, 8000, 0 } };
	struct sched_report idle = { .clock_ms = 5, .born_ms = 1 };

	fixture_open(&p, 1, NULL);
	g_strlcpy(row.id, "w", sizeof(row.id));
	sched_worker_listed(&p.s, &row, 0);
	fixture_store_roster(&p);
	idle.fence = fixture_worker(&p, "w")->fence;
	sched_poll_answered(&p.s, fixture_worker(&p, "w"), &idle, 10, 1000010);
	g_assert_cmpuint(p.s.roster_dirty, !=, 0);
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 0);
	fixture_store_roster(&p);
	g_assert_cmpuint(p.s.roster_dirty, ==, 0);
	sched_place(&p.s, 30);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
}

/*
 * Guards against second runs (TWICE 27, dhl-pettycash with scheduled jobs): the
 * wall clock of an owner jumps ahead, it starts a round early, and a successor
 * takes over. What ran counts, and the rest of the round waits until it is due.
 */
static void test_round_started_early(void)
{
	struct sched_fixture p;
	struct jobspec *spec = fixture_spec("a", "short", 1, 2);
	struct sched_end e = { .seq = 1,
			       .ref = { "a", 0, 0, 0, 1 },
			       .reason = SCHED_END_DONE };

	fixture_open(&p, 2, NULL);
	spec->rounds = 3;
	spec->first_due_ms = 1002000; /* two seconds from now */
	spec->interval_ms = 60000;
	sched_job_add(&p.s, spec, NULL, 5, true, 0, 1000000);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, &e, 1, 10);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 0);
	sched_tick(&p.s, 2010, 1002010);
	sched_place(&p.s, 2020);
	g_assert_cmpuint(p.starts->len, ==, 1);
	g_assert_cmpint(fixture_start(&p, 0)->ref.index, ==, 1);
	fixture_close(&p);
}

/*
 * Guards against exceeding a worker's capacity (LIMIT, dhl-pettycash with
 * workers that don't check it): runs that the owner finds there and doesn't
 * need take room until they have ended.
 */
static void test_foreign_runs_take_room(void)
{
	struct sched_fixture p;
	struct sched_active foreign = { .ref = { "gone", 0, 0, 0, 1 },
					.percent = 50 };

	fixture_open(&p, 2, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", &foreign, 1, NULL, 0, 10);
	g_assert_cmpuint(p.stops->len, ==, 1);
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 0);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 200);
	sched_place(&p.s, 210);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
}

/*
 * Guards against needless waits of a successor (LOST 8, dhl-pettycash,
 * lost-answers-and-kill, seed 1081996117693): workers drained and stopped while
 * their owner was frozen, and the successor waited for their leases. A draining
 * idle worker is removed from the roster, and added again before a task starts
 * there.
 */
static void test_idle_draining_worker_off_roster(void)
{
	struct sched_fixture p;
	struct sched_worker_row row;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	sched_tick(&p.s, 20, 0);
	g_assert_cmpuint(p.s.roster_dirty, ==, 0);
	row = fixture_worker(&p, "w")->row;
	row.draining = true;
	sched_worker_listed(&p.s, &row, 30);
	sched_tick(&p.s, 40, 0);
	g_assert_cmpuint(p.s.roster_dirty, !=, 0);
	for (int32_t i = 0; i < SCHED_ROSTER_ROWS; i++) {
		json_t *list = sched_roster_pack_row(&p.s, i);

		g_assert_cmpuint(json_array_size(list), ==, 0);
		json_decref(list);
	}
	sched_roster_stored(&p.s);
	row.draining = false;
	sched_worker_listed(&p.s, &row, 50);
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 60);
	g_assert_cmpuint(p.starts->len, ==, 0);
	sched_tick(&p.s, 70, 0);
	fixture_store_roster(&p);
	sched_place(&p.s, 80);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
}

void unit_add_sched(void)
{
	g_test_add_func("/sched/roster-without-idle-leavers",
			test_idle_draining_worker_off_roster);
	g_test_add_func("/sched/strangers-take-room",
			test_foreign_runs_take_room);
	g_test_add_func("/sched/round-begun-early", test_round_started_early);
	g_test_add_func("/sched/roster-knows-unlisted",
			test_unlisted_worker_on_roster);
	g_test_add_func("/sched/roster-comes-first",
			test_roster_stored_before_start);
	g_test_add_func("/sched/look-of-the-same-ms", test_poll_in_the_same_ms);
	g_test_add_func("/sched/steps-in-order", test_steps_in_order);
	g_test_add_func("/sched/attempts-once", test_attempts_counted_once);
	g_test_add_func("/sched/unanswered-start", test_unanswered_start);
	g_test_add_func("/sched/looks-out-of-turn", test_reports_out_of_order);
	g_test_add_func("/sched/silent-worker",
			test_silent_worker_lease_expires);
	g_test_add_func("/sched/successor-adopts", test_successor_adopts_runs);
	g_test_add_func("/sched/adopted-lease", test_adopted_lease);
	g_test_add_func("/sched/stale-owner", test_stale_owner_starts_old_jobs);
	g_test_add_func("/sched/doubt", test_ownership_in_doubt);
	g_test_add_func("/sched/progress-survives", test_progress_is_restored);
	g_test_add_func("/sched/failures-out-of-order",
			test_failures_out_of_order);
}
