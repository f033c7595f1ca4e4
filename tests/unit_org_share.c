/* Shares of organisations: entitlements, the order of starts, and how far an
 * organisation can fall behind. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "tests/sched_sim.h"
#include "tests/unit.h"

#define ORGS 4
#define SEEDS 40

static struct catalog_queue queues[] = {
	{ .name = "short",
	  .pool = "p",
	  .attempts = 2,
	  .target_factor_milli = 100000 },
	{ .name = "long",
	  .pool = "p",
	  .attempts = 2,
	  .priority = 2,
	  .target_factor_milli = 100000 },
};
static struct catalog_pool pools[] = { { .name = "p" } };
static struct org orgs[ORGS] = {
	{ .name = "a", .weight = 100 },
	{ .name = "b", .weight = 100 },
	{ .name = "c", .weight = 100 },
	{ .name = "d", .weight = 100 },
};
static struct catalog catalog = { .version = 1,
				  .n_queues = 2,
				  .n_pools = 1,
				  .queues = queues,
				  .pools = pools,
				  .has_orgs = true,
				  .n_orgs = ORGS,
				  .orgs = orgs };

static void add_job(struct sched_fixture *p, const char *id, const char *org,
		    const char *queue, int32_t tasks, int64_t expected_ms)
{
	struct jobspec *spec = fixture_spec(id, queue, 1, tasks);

	g_strlcpy(spec->org, org, sizeof(spec->org));
	spec->steps[0].cpu_milli = 1000;
	spec->steps[0].expected_ms = expected_ms;
	fixture_add_job(p, spec);
}

static struct org_account *account(struct sched_fixture *p, const char *org)
{
	return org_accounts_get(&p->s.orgs, org);
}

static int32_t count_starts(const struct sched_fixture *p, const char *job)
{
	int32_t n = 0;

	for (guint i = 0; i < p->starts->len; i++)
		n += !strcmp(fixture_start(p, i)->ref.job, job);
	return n;
}

/* Two workers of 8 cores. */
static void open_pool(struct sched_fixture *p)
{
	fixture_open(p, 1, NULL);
	sched_configure(&p->s, &catalog, NULL);
	for (int i = 0; i < 2; i++) {
		fixture_add_worker(p, i ? "v" : "w", "r");
		fixture_poll(p, i ? "v" : "w", NULL, 0, NULL, 0, 10);
	}
}

/* Returns whether used / total >= weight / sum in some resource, in whole
 * numbers. */
static bool has_share(const int64_t used[3], const int64_t total[3],
		      int64_t weight, int64_t sum)
{
	for (int i = 0; i < 3; i++) {
		if (total[i] && used[i] * sum >= weight * total[i])
			return true;
	}
	return false;
}

/* Guards against entitlements that count idle organisations, or shares that
 * miss a resource: drawn uses against the definition. */
static void test_against_definition(void)
{
	GRand *rand = g_rand_new_with_seed(1);

	for (int round = 0; round < 2000; round++) {
		struct org_accounts a;
		struct org_shares sh;
		struct org set[ORGS] = { 0 };
		int64_t used[ORGS][3];
		int64_t total[3];
		bool waits[ORGS];
		bool active[ORGS];
		int64_t sum = 0;

		org_accounts_init(&a);
		for (int r = 0; r < 3; r++)
			total[r] = g_rand_int_range(rand, r < 2, 100);
		for (int i = 0; i < ORGS; i++) {
			set[i].weight = g_rand_int_range(rand, 0, 8);
			g_snprintf(set[i].name, sizeof(set[i].name), "o%d", i);
			waits[i] = g_rand_boolean(rand);
			active[i] = waits[i];
			for (int r = 0; r < 3; r++) {
				used[i][r] = g_rand_int_range(rand, 0, 30);
				used[i][r] *= g_rand_boolean(rand);
				active[i] |= used[i][r] > 0;
			}
			org_account_adjust(
				org_accounts_get(&a, set[i].name),
				&(struct place_resources){
					used[i][0], used[i][1], used[i][2] },
				1);
			sum += active[i] ? set[i].weight : 0;
		}
		org_accounts_configure(&a, set, ORGS);
		org_shares_begin(&sh, &a, true,
				 &(struct place_resources){ total[0], total[1],
							    total[2] });
		for (int i = 0; i < ORGS; i++) {
			if (waits[i])
				org_shares_add_waiting(
					&sh, org_accounts_get(&a, set[i].name));
		}
		for (int i = 0; i < ORGS; i++) {
			bool below =
				active[i] && set[i].weight &&
				!has_share(used[i], total, set[i].weight, sum);

			g_assert_cmpint(
				org_share_standing(
					&sh, org_accounts_get(&a, set[i].name)),
				==, below ? ORG_BELOW : ORG_AT_SHARE);
		}
		org_accounts_finish(&a);
	}
	g_rand_free(rand);
}

/* Guards against an organisation that takes all workers by the most urgent
 * queue, or within one pass: what is free is divided by weight. */
static void test_pass_divides(void)
{
	struct sched_fixture p;

	open_pool(&p);
	add_job(&p, "1", "a", "short", 16, 1000);
	add_job(&p, "2", "b", "long", 16, 1000);
	sched_place(&p.s, 20);
	g_assert_cmpint(count_starts(&p, "1"), ==, 8);
	g_assert_cmpint(count_starts(&p, "2"), ==, 8);
	g_assert_cmpuint(p.s.ready_steps.length, ==, 2);
	fixture_close(&p);
}

/* Guards against room left unused: what the others don't ask for goes to those
 * that have their share, in the usual order. */
static void test_rest_is_used(void)
{
	struct sched_fixture p;

	open_pool(&p);
	add_job(&p, "1", "a", "short", 16, 1000);
	add_job(&p, "2", "b", "long", 2, 1000);
	add_job(&p, "3", "c", "short", 3, 1000);
	sched_place(&p.s, 20);
	g_assert_cmpint(count_starts(&p, "1"), ==, 11);
	g_assert_cmpint(count_starts(&p, "2"), ==, 2);
	g_assert_cmpint(count_starts(&p, "3"), ==, 3);
	fixture_close(&p);
}

/* Runs 16 tasks of `victim` that may be evicted and one of "d", then adds
 * urgent work of "a". Returns the number of stops. */
static guint count_evictions(const char *victim, bool a_has_more)
{
	struct sched_fixture p;
	struct jobspec *spec;
	guint stops;

	open_pool(&p);
	if (a_has_more)
		add_job(&p, "0", "a", "short", 12, 100000);
	sched_place(&p.s, 20);
	spec = fixture_spec("1", "long", 1, 16);
	g_strlcpy(spec->org, victim, sizeof(spec->org));
	spec->steps[0].cpu_milli = 1000;
	spec->steps[0].checkpoints = true;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 30);
	g_assert_cmpuint(p.starts->len, ==, 16);
	for (guint i = 0; i < p.starts->len; i++)
		fixture_started(&p, fixture_start(&p, i), 40);
	add_job(&p, "2", "a", "short", 1, 1000);
	sched_place(&p.s, 50);
	stops = p.stops->len;
	fixture_close(&p);
	return stops;
}

/* Guards against an organisation above its entitlement that evicts work of one
 * below its own. */
static void test_evicts_none_below(void)
{
	g_assert_cmpuint(count_evictions("b", false), ==, 1);
	g_assert_cmpuint(count_evictions("a", true), ==, 1);
	g_assert_cmpuint(count_evictions("b", true), ==, 0);
}

/* Work of an organisation that was removed goes last, but runs. */
static void test_removed(void)
{
	struct sched_fixture p;

	open_pool(&p);
	add_job(&p, "1", "gone", "short", 10, 1000);
	add_job(&p, "2", "", "long", 4, 1000);
	add_job(&p, "3", "a", "long", 10, 1000);
	sched_place(&p.s, 20);
	g_assert_cmpint(count_starts(&p, "3"), ==, 10);
	g_assert_cmpint(count_starts(&p, "2"), ==, 4);
	g_assert_cmpint(count_starts(&p, "1"), ==, 2);
	fixture_close(&p);
}

/* Fails if a configuration without organisations changes the order: the same
 * drawn jobs start in the order of the policy by weight. */
static void test_none_configured(void)
{
	struct catalog no_orgs = catalog;

	no_orgs.n_orgs = 0;
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct sched_fixture p[2];

		for (int k = 0; k < 2; k++) {
			GRand *rand = g_rand_new_with_seed(seed);

			open_pool(&p[k]);
			sched_configure(&p[k].s, &no_orgs, NULL);
			if (k)
				p[k].s.rank_policy = &sched_rank_by_weight;
			for (int i = 0; i < 12; i++) {
				char id[8];

				g_snprintf(id, sizeof(id), "%d", i);
				add_job(&p[k], id, i % 2 ? "a" : "",
					g_rand_boolean(rand) ? "short" : "long",
					g_rand_int_range(rand, 1, 5),
					g_rand_int_range(rand, 100, 4000));
			}
			sched_place(&p[k].s, 20);
			g_rand_free(rand);
		}
		g_assert_cmpuint(p[0].starts->len, ==, p[1].starts->len);
		for (guint i = 0; i < p[0].starts->len; i++)
			g_assert_cmpstr(fixture_start(&p[0], i)->ref.job, ==,
					fixture_start(&p[1], i)->ref.job);
		fixture_close(&p[0]);
		fixture_close(&p[1]);
	}
}

#define TASK_MAX_MS 3000
#define TASK_MILLI 1000
#define POOL_MILLI 16000
/* A pass and a report, of 100 ms each, and the answer to a start. */
#define SIM_DELAY_MS 300

/*
 * The bound on falling behind: others have filled the workers with tasks of up
 * to 3 s and keep a backlog; once an organisation asks for more than its
 * entitlement, it has it after the longest task's time, and keeps it, less a
 * task of each of the others: tasks are not divisible, so that each of these
 * may be ahead by a part of one.
 */
static void test_falls_behind_at_most_a_task(void)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct sim *m = g_new0(struct sim, 1);
		GRand *rand = g_rand_new_with_seed(seed);
		int64_t asks_ms = g_rand_int_range(rand, 40, 90) * 100;
		int64_t due_ms = asks_ms + TASK_MAX_MS + SIM_DELAY_MS;
		char id[8];

		for (int i = 0; i < ORGS; i++)
			orgs[i].weight = g_rand_int_range(rand, 1, 5);
		open_pool(&m->p);
		g_strlcpy(m->w[m->n++].id, "w", SCHED_ID_MAX);
		g_strlcpy(m->w[m->n++].id, "v", SCHED_ID_MAX);
		for (int i = 0; i < 180; i++) {
			g_snprintf(id, sizeof(id), "%d", i);
			add_job(&m->p, id, orgs[1 + i % 3].name,
				g_rand_boolean(rand) ? "short" : "long",
				g_rand_int_range(rand, 1, 8),
				g_rand_int_range(rand, 1, 31) * 100);
		}
		sim_run(m, 100, asks_ms);
		add_job(&m->p, "late", "a", "long", 100, 2000);
		sim_run(m, asks_ms + 100, due_ms);
		for (int64_t now = due_ms; now < due_ms + 3000; now += 100) {
			const struct org_account *acc = account(&m->p, "a");

			sim_run(m, now, now);
			g_assert_cmpfloat(
				(double)(acc->used.cpu_milli +
					 (ORGS - 1) * TASK_MILLI),
				>,
				org_share_entitlement(&m->p.s.shares, acc) *
					POOL_MILLI);
		}
		fixture_close(&m->p);
		g_rand_free(rand);
		g_free(m);
	}
	for (int i = 0; i < ORGS; i++)
		orgs[i].weight = 100;
}

void unit_add_org_share(void)
{
	g_test_add_func("/org-share/against-definition",
			test_against_definition);
	g_test_add_func("/org-share/pass-divides", test_pass_divides);
	g_test_add_func("/org-share/rest-is-used", test_rest_is_used);
	g_test_add_func("/org-share/evicts-none-below", test_evicts_none_below);
	g_test_add_func("/org-share/removed", test_removed);
	g_test_add_func("/org-share/none-configured", test_none_configured);
	g_test_add_func("/org-share/falls-behind-at-most-a-task",
			test_falls_behind_at_most_a_task);
}
