/* Many queues and many jobs: the numbers of queued jobs, and the costs. */
#include <glib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "fleet/shard_ctl_int.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

#define CALLS 20
#define ROUNDS 5
/* Most time of a call, relative to one of much less load. */
#define SLOWER_MAX 50
#define QUEUED_JOBS 10
#define MANY_QUEUES 1440
#define MANY_JOBS 2000

static const struct sched_ops no_ops;

/* Returns an owner of which only the scheduler is set up, configured with the
 * queues q0 to q`n_queues`-1. */
static struct shard_ctl *open_owner(int32_t n_queues)
{
	struct shard_ctl *sc = talloc_zero(NULL, struct shard_ctl);
	struct catalog *c = talloc_zero(sc, struct catalog);
	const struct sched_limits lim = { .lease_ms = FIXTURE_LEASE_MS };

	c->n_queues = n_queues;
	c->queues = talloc_zero_array(c, struct catalog_queue, n_queues);
	for (int32_t i = 0; i < n_queues; i++)
		g_snprintf(c->queues[i].name, CATALOG_NAME_MAX, "q%d", i);
	sc->f = talloc_zero(sc, struct fleet);
	sc->f->catalog = c;
	sc->f->clk = &clk_system;
	sc->f->set.row_bytes_max = 65536;
	/* The roster is loaded before the jobs are. */
	sc->roster_loaded = true;
	sc->jobs_loaded = true;
	sc->active = true;
	sched_init(&sc->sched, &no_ops, sc, &lim, 1, 0);
	sched_configure(&sc->sched, c, NULL);
	return sc;
}

static void close_owner(struct shard_ctl *sc)
{
	sched_finish(&sc->sched);
	talloc_free(sc);
}

static void add_queued_job(struct shard_ctl *sc, const char *id,
			   const char *queue)
{
	sched_job_add(&sc->sched, fixture_spec(id, queue, 1, 1), NULL, 5, false,
		      0, 1000000);
}

/* Adds `n` ended jobs, spread over all queues. */
static void add_ended_jobs(struct shard_ctl *sc, int32_t n)
{
	json_t *progress =
		json_pack("{s:s,s:i}", "state", "done", "ended_ms", 1000000);

	for (int32_t i = 0; i < n; i++) {
		struct jobspec *spec = jobspec_new(NULL, 0);

		g_snprintf(spec->id, sizeof(spec->id), "ended%d", i);
		g_snprintf(spec->queue, sizeof(spec->queue), "q%d",
			   i % sc->f->catalog->n_queues);
		sched_job_add(&sc->sched, spec, progress, 5, false, 0, 1000000);
	}
	json_decref(progress);
}

static int64_t thread_cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

typedef void (*call_fn)(struct shard_ctl *sc);

/* Returns the processor time of CALLS calls, the least of ROUNDS measurements,
 * with QUEUED_JOBS jobs in q0 and `n_ended` ended ones. */
static int64_t measure_ns(call_fn call, int32_t n_queues, int32_t n_ended)
{
	struct shard_ctl *sc = open_owner(n_queues);
	int64_t least_ns = INT64_MAX;

	for (int i = 0; i < QUEUED_JOBS; i++) {
		g_autofree char *id = g_strdup_printf("queued%d", i);

		add_queued_job(sc, id, "q0");
	}
	add_ended_jobs(sc, n_ended);
	for (int round = 0; round < ROUNDS; round++) {
		int64_t began_ns = thread_cpu_ns();

		for (int i = 0; i < CALLS; i++)
			call(sc);
		least_ns = MIN(least_ns, thread_cpu_ns() - began_ns);
	}
	close_owner(sc);
	return least_ns;
}

static void fill_row(struct shard_ctl *sc)
{
	struct owner_row row = { 0 };

	shard_ctl_fill_row(&row, sc);
	g_assert_cmpstr(row.pending, ==, "{\"q0\":10}");
	owner_row_clear(&row);
}

/* Guards against an owner that falls behind because each commit costs queues
 * times jobs, ended ones included. */
static void test_many_queues_many_ended_jobs(void)
{
	int64_t few_ns = measure_ns(fill_row, 1, 0);
	int64_t many_ns = measure_ns(fill_row, MANY_QUEUES, MANY_JOBS);

	g_test_message("few %" G_GINT64_FORMAT " ns, many %" G_GINT64_FORMAT
		       " ns",
		       few_ns, many_ns);
	g_assert_cmpint(many_ns, <=, few_ns * SLOWER_MAX);
}

static void configure(struct shard_ctl *sc)
{
	sched_configure(&sc->sched, sc->f->catalog, NULL);
}

/* Guards against a new configuration that holds up the owner because it costs
 * queues times jobs. */
static void test_configure_many_queues_many_jobs(void)
{
	int64_t queues_ns = measure_ns(configure, MANY_QUEUES, 0);
	int64_t jobs_ns = measure_ns(configure, 1, MANY_JOBS);
	int64_t both_ns = measure_ns(configure, MANY_QUEUES, MANY_JOBS);

	g_test_message("queues %" G_GINT64_FORMAT " ns, jobs %" G_GINT64_FORMAT
		       " ns, both %" G_GINT64_FORMAT " ns",
		       queues_ns, jobs_ns, both_ns);
	g_assert_cmpint(both_ns, <=, (queues_ns + jobs_ns) * 10);
}

#define WORKERS 20
#define MANY_POOLS 2000

/* Returns the processor time of CALLS placement passes that start nothing,
 * since all workers are full, the least of ROUNDS measurements. */
static int64_t measure_place_ns(int32_t n_pools)
{
	struct catalog_pool *pools =
		talloc_zero_array(NULL, struct catalog_pool, n_pools);
	struct catalog_queue queue = { .name = "q", .pool = "p" };
	struct catalog c = { .version = 2,
			     .n_queues = 1,
			     .n_pools = n_pools,
			     .queues = &queue,
			     .pools = pools };
	int64_t least_ns = INT64_MAX;
	struct sched_fixture p;

	g_strlcpy(pools[n_pools - 1].name, "p", CATALOG_NAME_MAX);
	fixture_open(&p, 1, NULL);
	sched_configure(&p.s, &c, NULL);
	for (int i = 0; i < WORKERS; i++) {
		g_autofree char *id = g_strdup_printf("w%d", i);

		fixture_add_worker(&p, id, "r");
		fixture_poll(&p, id, NULL, 0, NULL, 0, 10);
	}
	fixture_add_job(&p, fixture_spec("running", "q", 1, WORKERS * 2));
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, WORKERS * 2);
	fixture_add_job(&p, fixture_spec("waiting", "q", 1, 1));
	for (int round = 0; round < ROUNDS; round++) {
		int64_t began_ns = thread_cpu_ns();

		for (int i = 0; i < CALLS; i++)
			sched_place(&p.s, 30);
		least_ns = MIN(least_ns, thread_cpu_ns() - began_ns);
	}
	g_assert_cmpuint(p.starts->len, ==, WORKERS * 2);
	fixture_close(&p);
	talloc_free(pools);
	return least_ns;
}

/* Guards against placement passes that cost steps times workers times pools. */
static void test_place_with_many_pools(void)
{
	int64_t few_ns = measure_place_ns(1);
	int64_t many_ns = measure_place_ns(MANY_POOLS);

	g_test_message("few %" G_GINT64_FORMAT " ns, many %" G_GINT64_FORMAT
		       " ns",
		       few_ns, many_ns);
	g_assert_cmpint(many_ns, <=, few_ns * 10);
}

/* Guards against a count of 0 for a queue that the owner's configuration does
 * not hold yet, although other VMs already accept jobs for it. */
static void test_queue_unknown_to_the_owner(void)
{
	struct shard_ctl *sc = open_owner(1);
	struct owner_row row = { 0 };

	add_queued_job(sc, "a", "new");
	shard_ctl_fill_row(&row, sc);
	g_assert_cmpstr(row.pending, ==, "{\"new\":1}");
	owner_row_clear(&row);
	close_owner(sc);
}

/*
 * Guards against a job that is reported as queued, and counted as pending,
 * although a task of it has ended: the worker's report overtook the answer to
 * the start command, or that was lost.
 */
static void test_end_before_start_answer(void)
{
	static const enum sched_end_reason reasons[] = { SCHED_END_DONE,
							 SCHED_END_FAILED,
							 SCHED_END_STOPPED };

	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++) {
		struct sched_fixture p;
		struct sched_job *job;
		struct sched_end end;

		fixture_open(&p, 1, NULL);
		fixture_add_worker(&p, "w", "r");
		fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
		job = fixture_add_job(&p, fixture_spec("job", "short", 1, 4));
		sched_place(&p.s, 20);
		g_assert_cmpint(sched_count_queued(&p.s, "short"), ==, 1);
		end = fixture_end(fixture_start(&p, 0), 1, reasons[i]);
		fixture_poll(&p, "w", NULL, 0, &end, 1, 30);
		g_assert_cmpint(job->state, ==, SCHED_JOB_RUNNING);
		g_assert_cmpint(sched_count_queued(&p.s, "short"), ==, 0);
		fixture_close(&p);
	}
}

/* Queue 2 is not in the configuration. */
static const char *const queues[] = { "short", "long", "unknown" };

/* Returns the number of queued jobs by a walk over all of them. */
static int32_t walk_queued(const struct sched *s, const char *queue)
{
	GHashTableIter it;
	gpointer value;
	int32_t n = 0;

	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct sched_job *job = value;

		n += job->state == SCHED_JOB_QUEUED &&
		     !strcmp(job->spec->queue, queue);
	}
	return n;
}

static void check_counts(const struct sched *s)
{
	guint n_queues = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(queues); i++) {
		int32_t n = walk_queued(s, queues[i]);

		g_assert_cmpint(sched_count_queued(s, queues[i]), ==, n);
		n_queues += n != 0;
	}
	g_assert_cmpuint(g_hash_table_size(s->queued), ==, n_queues);
}

#define RANDOM_STEPS 20000
#define JOB_IDS 40

/* A scheduler under random events. */
struct random_run {
	struct sched_fixture p;
	GRand *rand;
	int64_t now_ms;
	int64_t seq; /* of the worker's last end */
};

/* Adds a job, new or with stored progress in any state, or again. */
static void add_any(struct random_run *r, const char *id)
{
	int32_t state = g_rand_int_range(r->rand, -1, SCHED_JOB_CANCELLED + 1);
	const char *queue = queues[g_rand_int_range(r->rand, 0, 3)];
	json_t *progress = NULL;

	if (state >= 0)
		progress = json_pack(
			"{s:s}", "state",
			sched_job_state_name((enum sched_job_state)state));
	sched_job_add(&r->p.s, fixture_spec(id, queue, 1, 2), progress, 5,
		      false, r->now_ms, 1000000 + r->now_ms);
	json_decref(progress);
}

static const struct recorded_command *any_start(struct random_run *r)
{
	gint32 n = (gint32)r->p.starts->len;

	/* One of the last: older runs have ended. */
	return n ? fixture_start(&r->p, (guint)g_rand_int_range(
						r->rand, MAX(n - 8, 0), n))
		 : NULL;
}

static void answer_any(struct random_run *r)
{
	const struct recorded_command *start = any_start(r);
	enum sched_start_result res = (enum sched_start_result)g_rand_int_range(
		r->rand, SCHED_START_OK, SCHED_START_UNKNOWN + 1);

	if (start)
		sched_start_answered(&r->p.s, &start->ref, start->worker, res,
				     r->now_ms);
}

/* The worker reports a run as active, which a new owner may not know of. */
static void report_any(struct random_run *r, const char *id)
{
	struct sched_active a = { .ref = { .run = 9 } };

	g_strlcpy(a.ref.job, id, sizeof(a.ref.job));
	fixture_poll(&r->p, "w", &a, 1, NULL, 0, r->now_ms);
}

static void end_any(struct random_run *r)
{
	const struct recorded_command *start = any_start(r);
	struct sched_end e;

	if (!start)
		return;
	e = fixture_end(start, ++r->seq,
			(enum sched_end_reason)g_rand_int_range(
				r->rand, SCHED_END_DONE,
				SCHED_END_GANG_INCOMPLETE + 1));
	fixture_poll(&r->p, "w", NULL, 0, &e, 1, r->now_ms);
}

static void random_event(struct random_run *r)
{
	int64_t wall_ms = 1000000 + r->now_ms;
	g_autofree char *id =
		g_strdup_printf("j%d", g_rand_int_range(r->rand, 0, JOB_IDS));

	switch (g_rand_int_range(r->rand, 0, 7)) {
	case 0:
		add_any(r, id);
		break;
	case 1:
		answer_any(r);
		break;
	case 2:
		end_any(r);
		break;
	case 3:
		report_any(r, id);
		break;
	case 4:
		sched_job_cancel(&r->p.s, id, r->now_ms, wall_ms);
		break;
	case 5:
		sched_job_remove(&r->p.s, id);
		break;
	default:
		sched_tick(&r->p.s, r->now_ms, wall_ms);
		sched_place(&r->p.s, r->now_ms);
	}
}

/* Guards against counts that drift from the jobs: a change of a job's state
 * that is not counted, or is counted twice. */
static void test_counts_match_jobs(void)
{
	struct random_run r = { .rand = g_rand_new_with_seed(1) };

	fixture_open(&r.p, 1, NULL);
	fixture_add_worker(&r.p, "w", "r");
	for (int i = 0; i < RANDOM_STEPS; i++) {
		r.now_ms += g_rand_int_range(r.rand, 0, 200);
		random_event(&r);
		check_counts(&r.p.s);
	}
	/* The events reached every end of a job. */
	g_assert_cmpint(r.p.s.counts.jobs_done, >, 0);
	g_assert_cmpint(r.p.s.counts.jobs_failed, >, 0);
	g_assert_cmpint(r.p.s.counts.jobs_cancelled, >, 0);
	for (int i = 0; i < JOB_IDS; i++) {
		g_autofree char *id = g_strdup_printf("j%d", i);

		sched_job_remove(&r.p.s, id);
		check_counts(&r.p.s);
	}
	fixture_close(&r.p);
	g_rand_free(r.rand);
}

void unit_add_count(void)
{
	g_test_add_func("/count/many-queues-many-ended-jobs",
			test_many_queues_many_ended_jobs);
	g_test_add_func("/count/configure-many-queues-many-jobs",
			test_configure_many_queues_many_jobs);
	g_test_add_func("/count/place-with-many-pools",
			test_place_with_many_pools);
	g_test_add_func("/count/queue-unknown-to-the-owner",
			test_queue_unknown_to_the_owner);
	g_test_add_func("/count/end-before-start-answer",
			test_end_before_start_answer);
	g_test_add_func("/count/match-jobs", test_counts_match_jobs);
}
