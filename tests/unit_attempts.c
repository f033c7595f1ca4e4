/* Tests that no task starts after its last attempt, whatever became of its
 * queue meanwhile. */
#include <glib.h>

#include "tests/sched_fixture.h"
#include "tests/unit.h"

#define ATTEMPTS 2 /* of the fixture's queue "short" */

static const struct catalog without_queues = { .version = 2, .n_pools = 1 };

/* The configuration of the fixture, but for its version and attempts. */
struct config {
	struct catalog catalog;
	struct catalog_queue queue;
	struct catalog_pool pool;
};

static void init_config(struct config *c, int64_t version, int32_t attempts)
{
	*c = (struct config){
		.catalog = { version, 1, 1, &c->queue, &c->pool },
		.queue = { .name = "short",
			   .pool = "p",
			   .attempts = attempts,
			   .target_factor_milli = 2000,
			   .target_offset_ms = 600 },
		.pool = { .name = "p" },
	};
}

static struct sched_job *open_with_job(struct sched_fixture *p,
				       struct jobspec *spec)
{
	fixture_open(p, 1, NULL);
	fixture_add_worker(p, "w", "r");
	fixture_poll(p, "w", NULL, 0, NULL, 0, 10);
	return fixture_add_job(p, spec);
}

/* Start number `i` is made within a second, and ends. */
static void start_and_end(struct sched_fixture *p, guint i,
			  enum sched_end_reason reason, int64_t now_ms)
{
	struct sched_end e;

	fixture_pass_time(p, now_ms, now_ms + 900);
	g_assert_cmpuint(p->starts->len, ==, i + 1);
	fixture_started(p, fixture_start(p, i), now_ms + 910);
	e = fixture_end(fixture_start(p, i), i + 1, reason);
	fixture_poll(p, "w", NULL, 0, &e, 1, now_ms + 950);
}

/* Starts the last attempt of the job's only task, and removes the queue before
 * it fails. */
static struct sched_job *fail_without_queue(struct sched_fixture *p,
					    struct jobspec *spec)
{
	struct sched_job *job = open_with_job(p, spec);
	struct sched_end e;

	start_and_end(p, 0, SCHED_END_FAILED, 100);
	fixture_pass_time(p, 1100, 2000);
	g_assert_cmpuint(p->starts->len, ==, ATTEMPTS);
	fixture_started(p, fixture_start(p, 1), 2010);
	sched_configure(&p->s, &without_queues, NULL);
	e = fixture_end(fixture_start(p, 1), 2, SCHED_END_FAILED);
	fixture_poll(p, "w", NULL, 0, &e, 1, 2100);
	fixture_pass_time(p, 2200, 4000);
	return job;
}

/* Review, case 5: a task was started again once its queue was back, after its
 * last attempt had failed while the queue was removed. */
static void test_queue_is_back(void)
{
	struct sched_fixture p;
	struct sched_job *job =
		fail_without_queue(&p, fixture_spec("a", "short", 1, 1));
	struct config c;

	init_config(&c, 3, ATTEMPTS);
	sched_configure(&p.s, &c.catalog, NULL);
	sched_place(&p.s, 4050);
	fixture_pass_time(&p, 4100, 9000);
	g_assert_cmpuint(p.starts->len, ==, ATTEMPTS);
	g_assert_cmpint(job->state, ==, SCHED_JOB_FAILED);
	fixture_close(&p);
}

/* The queue may allow more attempts when it is back. */
static void test_more_attempts(void)
{
	struct sched_fixture p;
	struct sched_job *job =
		fail_without_queue(&p, fixture_spec("a", "short", 1, 1));
	struct config c;

	init_config(&c, 3, ATTEMPTS + 1);
	sched_configure(&p.s, &c.catalog, NULL);
	start_and_end(&p, ATTEMPTS, SCHED_END_FAILED, 4100);
	g_assert_cmpint(job->state, ==, SCHED_JOB_FAILED);
	fixture_close(&p);
}

/* The queue comes to allow fewer while the task runs, which then is stopped. */
static void test_fewer_attempts(void)
{
	struct sched_fixture p;
	struct sched_job *job =
		open_with_job(&p, fixture_spec("a", "short", 1, 1));
	struct sched_active running;
	struct sched_end e;
	struct config c;

	start_and_end(&p, 0, SCHED_END_FAILED, 100);
	fixture_pass_time(&p, 1100, 2000);
	g_assert_cmpuint(p.starts->len, ==, 2);
	running = fixture_active(fixture_start(&p, 1), 50);
	fixture_poll(&p, "w", &running, 1, NULL, 0, 2050);
	init_config(&c, 2, 1);
	sched_configure(&p.s, &c.catalog, NULL);
	fixture_pass_time(&p, 2100, 2500);
	g_assert_cmpint(job->state, ==, SCHED_JOB_RUNNING);
	e = fixture_end(fixture_start(&p, 1), 2, SCHED_END_STOPPED);
	fixture_poll(&p, "w", NULL, 0, &e, 1, 2600);
	fixture_pass_time(&p, 2700, 6000);
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_cmpint(job->state, ==, SCHED_JOB_FAILED);
	fixture_close(&p);
}

/* A successor finds the failures in the stored progress. */
static void test_successor(void)
{
	struct sched_fixture p;
	struct sched_fixture next;
	struct sched_job *job =
		fail_without_queue(&p, fixture_spec("a", "short", 1, 1));
	json_t *progress = sched_job_progress(job, SCHED_DETAIL_ALL);

	fixture_open(&next, 2, NULL);
	fixture_add_worker(&next, "w", "r");
	fixture_poll(&next, "w", NULL, 0, NULL, 0, 10);
	job = sched_job_add(&next.s, fixture_spec("a", "short", 1, 1), progress,
			    5, true, 0, 1000000);
	fixture_pass_time(&next, 100, 30000);
	g_assert_cmpuint(next.starts->len, ==, 0);
	g_assert_cmpint(job->state, ==, SCHED_JOB_FAILED);
	json_decref(progress);
	fixture_close(&next);
	fixture_close(&p);
}

/* A gang counts failures once for all members. */
static void test_gang(void)
{
	struct sched_fixture p;
	struct jobspec *spec = fixture_spec("a", "short", 1, 2);
	struct sched_job *job;
	struct config c;

	spec->steps[0].gang = true;
	job = open_with_job(&p, spec);
	for (guint i = 0; i < ATTEMPTS; i++) {
		int64_t now = 100 + 2000 * (int64_t)i;
		struct sched_end e;

		fixture_pass_time(&p, now, now + 900);
		g_assert_cmpuint(p.starts->len, ==, 2 * (i + 1));
		if (i == ATTEMPTS - 1)
			sched_configure(&p.s, &without_queues, NULL);
		e = fixture_end(fixture_start(&p, 2 * i), 2 * i + 1,
				SCHED_END_FAILED);
		fixture_poll(&p, "w", NULL, 0, &e, 1, now + 950);
		e = fixture_end(fixture_start(&p, 2 * i + 1), 2 * i + 2,
				SCHED_END_GANG_BROKEN);
		fixture_poll(&p, "w", NULL, 0, &e, 1, now + 960);
	}
	init_config(&c, 3, ATTEMPTS);
	sched_configure(&p.s, &c.catalog, NULL);
	fixture_pass_time(&p, 5000, 9000);
	g_assert_cmpuint(p.starts->len, ==, 2 * ATTEMPTS);
	g_assert_cmpint(job->state, ==, SCHED_JOB_FAILED);
	fixture_close(&p);
}

void unit_add_attempts(void)
{
	g_test_add_func("/attempts/queue-is-back", test_queue_is_back);
	g_test_add_func("/attempts/more", test_more_attempts);
	g_test_add_func("/attempts/fewer", test_fewer_attempts);
	g_test_add_func("/attempts/successor", test_successor);
	g_test_add_func("/attempts/gang", test_gang);
}
