/* Rates of organisations: which jobs are in excess, what they cost others, and
 * when more are refused. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "fleet/admission.h"
#include "tests/sched_sim.h"
#include "tests/unit.h"

#define ORGS 20
#define SEEDS 40

static struct catalog_queue queues[] = {
	{ .name = "short",
	  .pool = "p",
	  .attempts = 2,
	  .target_factor_milli = 20000 },
};
static struct catalog_pool pools[] = { { .name = "p" } };
static struct org orgs[ORGS];
static struct catalog catalog = { .version = 1,
				  .n_queues = 1,
				  .n_pools = 1,
				  .queues = queues,
				  .pools = pools,
				  .has_orgs = true,
				  .n_orgs = ORGS,
				  .orgs = orgs };

struct drawn_job {
	int64_t at_ms;
	int64_t seen_ms; /* when the owner sees it */
	bool excess;
	bool kept; /* a successor sees it */
};

#define DRAWN 300

static int by_seen(const void *a, const void *b)
{
	const struct drawn_job *x = a;
	const struct drawn_job *y = b;

	return (x->seen_ms > y->seen_ms) - (x->seen_ms < y->seen_ms);
}

static int by_time(const void *a, const void *b)
{
	const struct drawn_job *x = a;
	const struct drawn_job *y = b;

	return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

/* A successor sees `kept` of 8 jobs. */
static void draw_jobs(GRand *rand, struct drawn_job *jobs, int32_t late_max_ms,
		      int32_t kept)
{
	int64_t at_ms = 1000000;

	for (int i = 0; i < DRAWN; i++) {
		int32_t gap_ms = g_rand_int_range(rand, 0, 40)
					 ? g_rand_int_range(rand, 0, 150)
					 : g_rand_int_range(rand, 0, 4000);

		at_ms += gap_ms;
		jobs[i] = (struct drawn_job){
			.at_ms = at_ms,
			.seen_ms = at_ms +
				   g_rand_int_range(rand, 0, late_max_ms + 1),
			.kept = g_rand_int_range(rand, 0, 8) < kept,
		};
	}
}

/* Guards against a wrong refill: drawn jobs against a bucket that is refilled
 * millisecond by millisecond. */
static void test_against_reference(void)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		struct org org = { .name = "a",
				   .weight = g_rand_int_range(rand, 1, 20) };
		int64_t level = org.weight * ORG_RATE_BURST_MS;
		struct drawn_job jobs[DRAWN];
		struct org_rates r;

		org_rates_init(&r);
		draw_jobs(rand, jobs, 0, 0);
		for (int i = 0; i < DRAWN; i++) {
			int64_t from_ms = jobs[i ? i - 1 : 0].at_ms;

			for (int64_t t = from_ms; t < jobs[i].at_ms; t++)
				level = MIN(level + org.weight,
					    org.weight * ORG_RATE_BURST_MS);
			g_assert_cmpint(org_rate_level(&r, &org, jobs[i].at_ms),
					==, level);
			g_assert_cmpint(org_rate_take(&r, &org, jobs[i].at_ms),
					==, level >= 1000);
			level -= level >= 1000 ? 1000 : 0;
		}
		org_rates_finish(&r);
		g_rand_free(rand);
	}
}

/* Guards against a successor that marks a job that was within the rate: it
 * lacks drawn jobs that have ended, knows the marks of the others, and sees
 * them in another order than the owner, who saw some up to 1 s late. */
static void test_same_for_successor(void)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		struct org org = { .name = "a",
				   .weight = g_rand_int_range(rand, 1, 20) };
		struct drawn_job jobs[DRAWN];
		struct org_rates r;
		int n_excess = 0;

		org_rates_init(&r);
		draw_jobs(rand, jobs, 1000, 5 + (int32_t)seed % 4);
		qsort(jobs, DRAWN, sizeof(*jobs), by_seen);
		for (int i = 0; i < DRAWN; i++) {
			jobs[i].excess =
				!org_rate_take(&r, &org, jobs[i].at_ms);
			n_excess += jobs[i].excess;
		}
		org_rates_finish(&r);
		g_assert_cmpint(n_excess, <, DRAWN);
		org_rates_init(&r);
		qsort(jobs, DRAWN, sizeof(*jobs), by_time);
		for (int i = 0; i < DRAWN; i++) {
			if (jobs[i].kept && !jobs[i].excess)
				g_assert_true(
					org_rate_take(&r, &org, jobs[i].at_ms));
		}
		org_rates_finish(&r);
		g_rand_free(rand);
	}
}

static void configure(struct sched *s, int64_t weight)
{
	for (int i = 0; i < ORGS; i++) {
		g_snprintf(orgs[i].name, sizeof(orgs[i].name), "o%d", i);
		orgs[i].weight = weight;
	}
	sched_configure(s, &catalog, NULL);
}

static struct jobspec *new_job(const char *id, int org, int64_t at_ms)
{
	struct jobspec *spec = fixture_spec(id, "short", 1, 1);

	g_snprintf(spec->org, sizeof(spec->org), "o%d", org);
	spec->steps[0].cpu_milli = 1000;
	spec->accepted_ms = at_ms;
	return spec;
}

/* Guards against a mark that is lost with the owner: it is in the progress row,
 * and a job that was in excess stays so. */
static void test_mark_is_stored(void)
{
	struct sched_fixture p;
	struct sched_job *job[4];
	char id[4][8];

	fixture_open(&p, 1, NULL);
	configure(&p.s, 1);
	fixture_add_worker(&p, "w", "r");
	/* In another order than they were accepted. */
	for (int i = 3; i >= 0; i--) {
		g_snprintf(id[i], sizeof(id[i]), "%d", i);
		job[i] = fixture_add_job(&p, new_job(id[i], 0, 1000 + i));
	}
	sched_place(&p.s, 20);
	for (int i = 0; i < 4; i++) {
		json_t *row = sched_job_progress(job[i], SCHED_DETAIL_SUMMARY);
		struct sched_fixture next;

		g_assert_cmpint(job[i]->excess, ==, i == 3);
		g_assert_cmpint(job[i]->dirty, ==, i == 3);
		fixture_open(&next, 2, NULL);
		configure(&next.s, 1);
		g_assert_cmpint(sched_job_add(&next.s, new_job("x", 0, 1000),
					      row, 5, true, 0, 1000000)
					->excess,
				==, i == 3);
		fixture_close(&next);
		json_decref(row);
	}
	fixture_close(&p);
}

/* Guards against jobs in excess that take room from others: with room for 8 of
 * 10 tasks, all that are within the rates start. */
static void test_excess_goes_last(void)
{
	struct sched_fixture p;
	int32_t n_excess = 0;

	fixture_open(&p, 1, NULL);
	configure(&p.s, 1);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	for (int i = 0; i < 10; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "%d", i);
		fixture_add_job(&p, new_job(id, i < 6 ? 0 : 1, 1000 + i));
	}
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 8);
	for (guint i = 0; i < 8; i++) {
		const struct sched_job *job = g_hash_table_lookup(
			p.s.jobs, fixture_start(&p, i)->ref.job);

		g_assert_cmpint(job->excess, ==, i >= 6);
		n_excess += job->excess;
	}
	g_assert_cmpint(n_excess, ==, 2);
	fixture_close(&p);
}

#define USUAL_GAP_MS 555 /* 1.8 jobs a second; the weight is 2 */
#define BURST_BEGIN_MS 5000
#define BURST_MS 6500
#define LOAD_MS 20000
#define TASK_MS 1000

struct load {
	struct sim m;
	guint seen;
	int64_t waited_ms; /* sum over jobs of others than o0 */
	int64_t longest_ms;
	int32_t n;
};

static void count_waits(struct sim *m, int64_t now_ms, void *priv)
{
	struct load *l = priv;

	while (l->seen < m->p.starts->len) {
		const char *id = fixture_start(&m->p, l->seen++)->ref.job;
		const struct sched_job *job =
			g_hash_table_lookup(m->p.s.jobs, id);
		int64_t ms = now_ms - job->spec->accepted_ms;

		if (!strcmp(job->spec->org, "o0"))
			continue;
		l->waited_ms += ms;
		l->longest_ms = MAX(l->longest_ms, ms);
		l->n++;
	}
}

/* 20 organisations use 36 of 40 cores on the average; o0 sends `factor` times
 * its usual load for a while. */
static void run_load(struct load *l, guint32 seed, double factor,
		     const struct sched_rank_policy *policy)
{
	double next_ms[ORGS] = { 0 };
	GRand *rand[ORGS];
	int n = 0;

	memset(l, 0, sizeof(*l));
	l->m.after_pass = count_waits;
	l->m.priv = l;
	fixture_open(&l->m.p, 1, NULL);
	configure(&l->m.p.s, 2);
	l->m.p.s.rank_policy = policy;
	for (int i = 0; i < 5; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "w%d", i);
		sim_add(&l->m, id);
	}
	for (int i = 0; i < ORGS; i++)
		rand[i] = g_rand_new_with_seed(seed * ORGS + (guint32)i);
	for (int64_t now = 100; now < LOAD_MS; now += 100) {
		bool burst = now >= BURST_BEGIN_MS &&
			     now < BURST_BEGIN_MS + BURST_MS;

		for (int i = 0; i < ORGS; i++) {
			double gap = USUAL_GAP_MS;

			if (!i && burst)
				gap /= factor;
			while (next_ms[i] < (double)now) {
				char id[JOBSPEC_ID_MAX];

				next_ms[i] += gap * g_rand_double_range(
							    rand[i], 0.5, 1.5);
				g_snprintf(id, sizeof(id), "%d", ++n);
				fixture_add_job(&l->m.p, new_job(id, i, now));
			}
		}
		sim_run(&l->m, now, now);
	}
	for (int i = 0; i < ORGS; i++)
		g_rand_free(rand[i]);
	fixture_close(&l->m.p);
}

/*
 * Guards against an organisation that sends 7.5 times its usual load for 6.5 s
 * at the cost of 19 others: none of their jobs waits longer than one task's
 * time beyond the longest wait without that load. Without shares and rates it
 * does.
 */
static void test_burst_costs_others_nothing(void)
{
	struct load *with = g_new(struct load, 1);
	struct load *without = g_new(struct load, 1);
	struct load *unshared = g_new(struct load, 1);
	int64_t unshared_ms = 0;
	int64_t with_ms = 0;

	for (guint32 seed = 1; seed <= 5; seed++) {
		run_load(without, seed, 1, &sched_rank_by_share);
		run_load(with, seed, 7.5, &sched_rank_by_share);
		run_load(unshared, seed, 7.5, &sched_rank_by_weight);
		g_test_message("seed %u: others wait %.0f ms, at most %lld; "
			       "with the burst %.0f, %lld; unshared %.0f, %lld",
			       seed, (double)without->waited_ms / without->n,
			       (long long)without->longest_ms,
			       (double)with->waited_ms / with->n,
			       (long long)with->longest_ms,
			       (double)unshared->waited_ms / unshared->n,
			       (long long)unshared->longest_ms);
		g_assert_cmpint(with->longest_ms, <=,
				without->longest_ms + TASK_MS);
		with_ms += with->waited_ms;
		unshared_ms += unshared->waited_ms;
	}
	g_assert_cmpint(2 * with_ms, <, unshared_ms);
	g_free(with);
	g_free(without);
	g_free(unshared);
}

/* The row names the organisation and the pool only while jobs in excess wait in
 * a pool that has been full for a while; a VM refuses by it alone. */
static void test_refused_when_full(void)
{
	struct owner_row row = { 0 };
	struct admission adm = { 0 };
	struct sched_fixture p;
	struct jobspec *spec = new_job("x", 0, 0);
	json_t *j;

	fixture_open(&p, 1, NULL);
	configure(&p.s, 1);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	for (int i = 0; i < 20; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "%d", i);
		fixture_add_job(&p, new_job(id, i % 2, 1000));
	}
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 8);
	for (guint i = 0; i < 8; i++)
		fixture_started(&p, fixture_start(&p, i), 25);
	g_assert_null(sched_org_pack_overload(&p.s, 30, 1030));
	sched_place(&p.s, 600);
	j = sched_org_pack_overload(&p.s, 610, 1610);
	row.overload = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	/* Three of each are within the rate, and one in excess of each runs.
	 */
	g_assert_cmpstr(row.overload, ==,
			"{\"full\":[\"p\"],\"orgs\":{\"o0\":6,\"o1\":6}}");
	g_assert_null(sched_org_pack_overload(&p.s, 1700, 2700));
	/* The bucket is half full again: within the rate for a while. */
	sched_place(&p.s, 1700);
	sched_place(&p.s, 2400);
	g_assert_null(sched_org_pack_overload(&p.s, 2410, 3410));

	admission_decide_overload(&row, 0, "p", &orgs[0], spec, &adm);
	g_assert_true(adm.refused);
	g_assert_cmpint(adm.retry_after_ms, >=, 6000);
	g_assert_cmpint(adm.retry_after_ms, <=, 9000);
	adm = (struct admission){ 0 };
	admission_decide_overload(&row, 2001, "p", &orgs[0], spec, &adm);
	admission_decide_overload(&row, -1, "p", &orgs[0], spec, &adm);
	admission_decide_overload(&row, 0, "q", &orgs[0], spec, &adm);
	admission_decide_overload(&row, 0, "p", &orgs[2], spec, &adm);
	admission_decide_overload(&row, 0, "p", NULL, spec, &adm);
	admission_decide_overload(NULL, 0, "p", &orgs[0], spec, &adm);
	g_assert_false(adm.refused);
	free(row.overload);
	talloc_free(spec);
	fixture_close(&p);
}

void unit_add_org_rate(void)
{
	g_test_add_func("/org-rate/against-reference", test_against_reference);
	g_test_add_func("/org-rate/same-for-successor",
			test_same_for_successor);
	g_test_add_func("/org-rate/mark-is-stored", test_mark_is_stored);
	g_test_add_func("/org-rate/excess-goes-last", test_excess_goes_last);
	g_test_add_func("/org-rate/burst-costs-others-nothing",
			test_burst_costs_others_nothing);
	g_test_add_func("/org-rate/refused-when-full", test_refused_when_full);
}
