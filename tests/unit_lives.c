/* Workers that restart, or leave the list and return: fence tokens,
 * incarnations and truncated reports. Without workers or network. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "tests/sched_fixture.h"
#include "tests/unit.h"
#include "tests/worker_world.h"

/* Opens a scheduler with worker w and job a, whose one task was sent there at
 * 20 ms. */
static void open_with_started_task(struct sched_fixture *p)
{
	fixture_open(p, 1, NULL);
	fixture_add_worker(p, "w", "r");
	fixture_poll(p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(p, fixture_spec("a", "short", 1, 1));
	sched_place(&p->s, 20);
	g_assert_cmpuint(p->starts->len, ==, 1);
}

/*
 * Guards against a worker that refuses all commands of its owner: it left the
 * list while idle, returned, and got commands with a lower fence token than
 * before.
 */
static void test_fence_token_never_decreases(void)
{
	struct sched_fixture p;
	int64_t fence;

	open_with_started_task(&p);
	sched_start_answered(&p.s, &fixture_start(&p, 0)->ref, "w",
			     SCHED_START_UNKNOWN, 30);
	fence = fixture_worker(&p, "w")->fence;
	sched_worker_unlisted(&p.s, "w", 40);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 50);
	sched_tick(&p.s, 60, 1000060);
	g_assert_null(fixture_worker(&p, "w"));
	fixture_add_worker(&p, "w", "r");
	g_assert_cmpint(fixture_worker(&p, "w")->fence, >=, fence);
	fixture_close(&p);
}

/*
 * Guards against upkeep of a VM whose task must stay available: the worker's
 * entry had expired from the list, so the VM seemed to be empty.
 */
static void test_unlisted_worker_is_not_empty(void)
{
	struct sched_fixture p;
	struct sched_worker_row row = { .id = "w",
					.pool = "p",
					.domain = "d",
					.vm = "m1",
					.born_ms = 1,
					.total = { 8000, 8000, 0 } };
	struct jobspec *spec = fixture_spec("a", "short", 1, 1);
	struct sched_active a;

	fixture_open(&p, 1, NULL);
	sched_worker_listed(&p.s, &row, 0);
	fixture_store_roster(&p);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	spec->steps[0].is_long_running = true;
	spec->steps[0].unavailable_max = 0;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 20);
	fixture_started(&p, fixture_start(&p, 0), 30);
	a = fixture_active(fixture_start(&p, 0), 100);
	fixture_poll(&p, "w", &a, 1, NULL, 0, 60);
	g_assert_false(sched_vm_may_terminate(&p.s, "m1", true, 100));
	sched_worker_unlisted(&p.s, "w", 110);
	g_assert_cmpuint(fixture_worker(&p, "w")->runs.length, ==, 1);
	g_assert_false(sched_vm_may_terminate(&p.s, "m1", true, 120));
	fixture_close(&p);
}

/* Worker w answers a poll in a new incarnation with a clock of its own. */
static void poll_new_incarnation(struct sched_fixture *p,
				 struct sched_active *a, int64_t clock_ms,
				 int64_t at_ms)
{
	struct sched_worker *w = fixture_worker(p, "w");
	struct sched_report report = { .clock_ms = clock_ms,
				       .born_ms = 2,
				       .fence = w->fence,
				       .sent_ms = at_ms - 5,
				       .n_active = a ? 1 : 0,
				       .active = a };

	sched_poll_answered(&p->s, w, &report, at_ms, 1000000 + at_ms);
}

/*
 * Guards against a second run (TWICE) of a task whose start command reached the
 * worker's new incarnation before the owner knew of it.
 */
static void test_start_reaches_new_incarnation(void)
{
	struct sched_fixture p;
	struct sched_active a;

	open_with_started_task(&p);
	fixture_add_worker(&p, "v", "r");
	fixture_poll(&p, "v", NULL, 0, NULL, 0, 25);
	fixture_started(&p, fixture_start(&p, 0), 30);
	a = fixture_active(fixture_start(&p, 0), 1);
	poll_new_incarnation(&p, &a, 500, 35);
	sched_tick(&p.s, 45, 1000045);
	sched_place(&p.s, 45);
	g_assert_cmpuint(p.starts->len, ==, 1);
	poll_new_incarnation(&p, &a, 520, 55);
	sched_place(&p.s, 65);
	g_assert_cmpuint(p.starts->len, ==, 1);
	g_assert_cmpuint(fixture_worker(&p, "w")->runs.length, ==, 1);
	fixture_close(&p);
}

/* Runs that the old incarnation reported have ended with it and are removed at
 * once. */
static void test_runs_of_old_incarnation_end(void)
{
	struct sched_fixture p;
	struct sched_active a;
	struct sched_worker_row row;

	open_with_started_task(&p);
	fixture_started(&p, fixture_start(&p, 0), 30);
	a = fixture_active(fixture_start(&p, 0), 1);
	fixture_poll(&p, "w", &a, 1, NULL, 0, 40);
	row = fixture_worker(&p, "w")->row;
	row.born_ms = 2;
	sched_worker_listed(&p.s, &row, 100);
	g_assert_cmpuint(fixture_worker(&p, "w")->runs.length, ==, 0);
	fixture_close(&p);
}

/*
 * Guards against a second run (TWICE) because a lease lasted longer than
 * assumed: a command for the old incarnation reached the new one, whose clock
 * had restarted, so the platform cut the lease to its own maximum instead of
 * lease_ms.
 */
static void test_lease_of_new_incarnation(void)
{
	static const struct sched_prev_owner stopped_owner = {
		.lease_ms = FIXTURE_LEASE_MS,
	};
	struct sched_fixture p;
	struct sched_active a = { .ref = { "a", 0, 0, 0, 1 }, .percent = 1 };
	json_t *roster = json_pack("[[s,s,i],[s,s,i]]", "w", "1.2.3.4:5", 1,
				   "v", "1.2.3.4:6", 1);

	fixture_open(&p, 2, NULL);
	p.s.lim.lease_max_ms = 10000;
	sched_set_prev_owner(&p.s, &stopped_owner);
	sched_roster_restore(&p.s, roster, 0);
	json_decref(roster);
	sched_job_add(&p.s, fixture_spec("a", "short", 1, 1), NULL, 5, true, 0,
		      1000000);
	fixture_add_worker(&p, "v", "r");
	fixture_poll(&p, "v", NULL, 0, NULL, 0, 10);
	poll_new_incarnation(&p, &a, 1000, 20);
	poll_new_incarnation(&p, &a, 1020, 40);
	g_assert_true(fixture_worker(&p, "w")->reconciled);
	g_assert_cmpuint(fixture_worker(&p, "w")->runs.length, ==, 1);
	sched_worker_unanswered(&p.s, fixture_worker(&p, "w"), 700);
	sched_tick(&p.s, 9900, 1009900);
	sched_place(&p.s, 9900);
	g_assert_cmpuint(p.starts->len, ==, 0);
	sched_tick(&p.s, 10500, 1010500);
	sched_place(&p.s, 10500);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
}

/* Returns as many ends, of an unknown job, as one report can hold. */
static struct sched_end *full_report(void)
{
	struct sched_end *ends = g_new0(struct sched_end, SCHED_ENDS_MAX);

	for (int i = 0; i < SCHED_ENDS_MAX; i++)
		ends[i] = (struct sched_end){ .seq = i + 1,
					      .ref = { "z", 0, 0, i, 1 },
					      .reason = SCHED_END_DONE };
	return ends;
}

/*
 * Guards against a second run (TWICE) of a task that is done: its end had no
 * room in a report, so the run seemed to be lost.
 */
static void test_full_report(void)
{
	struct sched_fixture p;
	g_autofree struct sched_end *ends = full_report();

	open_with_started_task(&p);
	fixture_started(&p, fixture_start(&p, 0), 30);
	fixture_poll(&p, "w", NULL, 0, ends, SCHED_ENDS_MAX, 100);
	sched_tick(&p.s, 110, 1000110);
	sched_place(&p.s, 110);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
}

/* The same for a successor's first poll. */
static void test_full_first_report(void)
{
	struct sched_fixture p;
	g_autofree struct sched_end *ends = full_report();

	fixture_open(&p, 2, NULL);
	fixture_add_worker(&p, "w", "r");
	sched_job_add(&p.s, fixture_spec("a", "short", 1, 1), NULL, 5, true, 0,
		      1000000);
	fixture_poll(&p, "w", NULL, 0, ends, SCHED_ENDS_MAX, 100);
	sched_tick(&p.s, 110, 1000110);
	sched_place(&p.s, 110);
	g_assert_cmpuint(p.starts->len, ==, 0);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 200);
	sched_place(&p.s, 210);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
}

/*
 * Guards against a second run (TWICE): an owner that had been frozen renewed a
 * lease, since it had been certain of its ownership before. Successors assume
 * that no lease is renewed after renew_until_ms.
 */
static void test_no_renewal_after_limit(void)
{
	struct sched_fixture p;
	struct sched_worker *w;

	open_with_started_task(&p);
	w = fixture_worker(&p, "w");
	p.s.renew_until_ms = 5000;
	g_assert_cmpint(sched_lease_end(&p.s, w, 4999), >, 0);
	g_assert_cmpint(sched_lease_end(&p.s, w, 5000), ==, 0);
	fixture_close(&p);
}

/* The owner calls w0, a worker of the model; `start` is NULL for a poll. */
static void call_w0(struct sched_fixture *p, struct world *x,
		    const struct recorded_command *start, int64_t at_ms)
{
	struct sched_worker *w = fixture_worker(p, "w0");
	struct world_call c = {
		.kind = start ? WORLD_START : WORLD_POLL,
		.fence = w->fence,
		.lease_end_clock_ms = sched_lease_end(&p->s, w, at_ms),
		.acked_seq = sched_seq_to_ack(w),
		.sent_ms = at_ms,
	};
	struct world_answer a;

	if (start)
		c.ref = start->ref;
	world_carry_out(x, &c, &a, at_ms);
	if (start)
		sched_start_answered(&p->s, &c.ref, "w0", a.start, at_ms);
	else
		sched_poll_answered(&p->s, w, &a.report, at_ms,
				    1000000 + at_ms);
}

/* Starts the job's only task at w0, where it is done at once. */
static void run_at_w0(struct sched_fixture *p, struct world *x, const char *id,
		      int64_t at_ms)
{
	struct world_worker *w = &x->workers[0];
	struct world_run *run;

	fixture_add_job(p, fixture_spec(id, "short", 1, 1));
	sched_place(&p->s, at_ms);
	call_w0(p, x, fixture_start(p, p->starts->len - 1), at_ms);
	run = &g_array_index(w->runs, struct world_run, w->runs->len - 1);
	run->active = false;
	run->seq = ++w->seq;
	run->reason = SCHED_END_DONE;
}

/*
 * Guards against a second run of a task that was done in the worker's new
 * incarnation before the owner knew of it: the next poll acknowledged an end of
 * the incarnation before, which had the same number, and the worker forgot it.
 */
static void test_end_in_new_incarnation(void)
{
	struct sched_fixture p;
	struct world x;
	struct sched_job *job;
	struct sched_worker *w;

	world_init(&x, 1);
	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w0", "r");
	call_w0(&p, &x, NULL, 10);
	fixture_store_roster(&p);
	run_at_w0(&p, &x, "a", 20);
	call_w0(&p, &x, NULL, 30);
	w = fixture_worker(&p, "w0");
	w->durable_seq = w->seen_seq;
	call_w0(&p, &x, NULL, 40);
	g_assert_cmpint(x.workers[0].acked_seq, ==, 1);
	world_restart(&x.workers[0], 0, 50);
	run_at_w0(&p, &x, "b", 60);
	for (int64_t now = 70; now < 200; now += 10) {
		call_w0(&p, &x, NULL, now);
		sched_tick(&p.s, now, 1000000 + now);
		sched_place(&p.s, now);
	}
	job = g_hash_table_lookup(p.s.jobs, "b");
	g_assert_cmpint(job->state, ==, SCHED_JOB_DONE);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_close(&p);
	world_finish(&x);
}

void unit_add_lives(void)
{
	g_test_add_func("/sched/end-in-a-new-life",
			test_end_in_new_incarnation);
	g_test_add_func("/sched/started-in-a-new-life",
			test_start_reaches_new_incarnation);
	g_test_add_func("/sched/listed-by-the-old-life",
			test_runs_of_old_incarnation_end);
	g_test_add_func("/sched/lease-of-a-new-life",
			test_lease_of_new_incarnation);
	g_test_add_func("/sched/answer-without-room", test_full_report);
	g_test_add_func("/sched/first-answer-without-room",
			test_full_first_report);
	g_test_add_func("/sched/no-renewal-after-doubt",
			test_no_renewal_after_limit);
	g_test_add_func("/sched/unlisted-worker-is-not-empty",
			test_unlisted_worker_is_not_empty);
	g_test_add_func("/sched/token-never-falls",
			test_fence_token_never_decreases);
}
