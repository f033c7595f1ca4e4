/* Caps of organisations in a process: the owner's row, the age of the
 * configuration, and refusals of jobs. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "tests/ctl_fixture.h"
#include "tests/unit.h"

#define ID "aaaa000000000000"
#define CAP_MILLI 4000

static void configure(void)
{
	static const char *const names[] = { "o" };
	struct catalog *c = talloc_zero(fx->f.ev, struct catalog);

	c->version = 2;
	c->queues = talloc_zero_array(c, struct catalog_queue, 1);
	c->n_queues = 1;
	g_strlcpy(c->queues[0].name, "short", sizeof(c->queues[0].name));
	g_strlcpy(c->queues[0].pool, "p", sizeof(c->queues[0].pool));
	fixture_set_orgs(c, names, 1);
	c->orgs[0].cap.cpu_milli = CAP_MILLI;
	fleet_set_catalog(&fx->f, c);
	fleet_config_synced(&fx->f);
}

static void put_previous_row(const char *fields)
{
	g_autofree char *row = g_strdup_printf(
		"{\"vm\":\"b\",\"life\":\"7\",\"epoch\":3,\"seq\":1,"
		"\"released\":true,\"lease_ms\":1000,\"pending\":{}%s}",
		fields);

	fake_rows_put(&fx->store, "owners", "s0", "owner", row);
}

static bool row_has(const char *text)
{
	const char *row = fake_rows_get(&fx->store, "owners", "s0", "owner");

	return row && strstr(row, text);
}

static void await_row(const char *text)
{
	int64_t end = clk_mono_ms(&clk_system) + FIXTURE_TIMEOUT_MS;

	while (!row_has(text)) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(fx->f.ev);
	}
}

/* Guards against a successor that is lost before it has learned all, and leaves
 * a row that doesn't bound what the first owner has running. */
static void test_claim_keeps_grants(void)
{
	ctl_fixture_open();
	fx->list_unanswered = true;
	put_previous_row(",\"grants\":{\"o\":[3000,-1,-1]}");
	ctl_fixture_start();
	configure();
	await_row("\"vm\":\"a\"");
	for (int i = 0; i < 3; i++) {
		g_assert_true(row_has("\"grants\":{\"o\":[3000,-1,-1]}"));
		run_loop_ms(2 * FIXTURE_HEARTBEAT_MS);
	}
	/* No worker may run tasks of earlier owners: the roster is empty. */
	fleet_workers_synced(&fx->f);
	await_row("\"grants\":{\"o\":[1000,-1,-1]}");
	ctl_fixture_close();
}

/* Guards against rows and metrics that change though there is no organisation.
 */
static void test_no_caps(void)
{
	char *text;

	ctl_fixture_open();
	ctl_fixture_start();
	await_active();
	run_loop_ms(4 * FIXTURE_HEARTBEAT_MS);
	g_assert_true(row_has("\"vm\":\"a\""));
	g_assert_false(row_has("grants"));
	text = fleet_metrics(&fx->f, NULL);
	g_assert_null(strstr(text, "org"));
	g_assert_null(strstr(text, "cap"));
	talloc_free(text);
	ctl_fixture_close();
}

/* Guards against starts by a cap that may have been lowered meanwhile. */
static void test_config_age(void)
{
	const struct sched *s;
	int64_t end;

	ctl_fixture_open();
	fx->f.set.apply_ms = 1000;
	ctl_fixture_start();
	configure();
	fleet_config_synced(&fx->f);
	s = await_active();
	fleet_config_synced(&fx->f);
	run_loop_ms(300);
	g_assert_false(s->caps.config_held);
	end = clk_mono_ms(&clk_system) + FIXTURE_TIMEOUT_MS;
	while (!s->caps.config_held) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(fx->f.ev);
	}
	g_assert_cmpint(clk_mono_ms(&clk_system) - fx->f.config_synced_ms, >=,
			750);
	fleet_config_synced(&fx->f);
	run_loop_ms(300);
	g_assert_false(s->caps.config_held);
	ctl_fixture_close();
}

static void note_result(const struct job_api_answer *ans, void *priv)
{
	*(struct job_api_answer *)priv = *ans;
}

static struct job_api_answer submit(int64_t cpu_milli)
{
	struct jobspec *spec = fixture_spec(ID, "short", 1, 1);
	int64_t now = clk_mono_ms(&clk_system);
	struct job_api_answer ans = { .retry_after_ms = -1 };
	struct access who = fixture_caller("o");

	spec->steps[0].cpu_milli = cpu_milli;
	job_api_submit(fx->f.job_api, spec, &who, now + FIXTURE_TIMEOUT_MS,
		       note_result, &ans);
	while (job_api_active(fx->f.job_api))
		tevent_loop_once(fx->f.ev);
	return ans;
}

/* Guards against jobs that wait for ever, and against an earlier attempt that
 * is stored after the refusal. */
static void test_refusal(void)
{
	char part[SHARD_CTL_NAME_MAX];
	struct job_api_answer ans;
	const struct sched *s;
	char *text;

	ctl_fixture_open();
	ctl_fixture_start();
	configure();
	s = await_active();
	ans = submit(CAP_MILLI + 1);
	g_assert_cmpint(ans.result, ==, JOB_API_OVER_CAP);
	g_assert_cmpint(ans.retry_after_ms, >=, 30000);
	g_assert_nonnull(strstr(
		fake_rows_get(
			&fx->store, "jobs0",
			shard_ctl_job_part(0, shard_ctl_job_part_of(ID), part),
			ID),
		"refused_ms"));
	/* Another attempt, which another VM took by an older configuration. */
	ans = submit(CAP_MILLI);
	g_assert_cmpint(ans.result, ==, JOB_API_REFUSED);
	run_loop_ms(200);
	g_assert_null(g_hash_table_lookup(s->jobs, ID));
	g_assert_cmpint(job_api_counts(fx->f.job_api)->over_cap, ==, 1);
	text = fleet_metrics(&fx->f, NULL);
	g_assert_nonnull(strstr(text, "gd_refused_over_cap_total 1\n"));
	g_assert_nonnull(
		strstr(text, "gd_org_cap_cpu_milli{org=\"o\"} 4000\n"));
	g_assert_nonnull(
		strstr(text, "gd_org_counted_cpu_milli{org=\"o\"} 0\n"));
	talloc_free(text);
	ctl_fixture_close();
}

void unit_add_caps_ctl(void)
{
	g_test_add_func("/caps/claim-keeps-grants", test_claim_keeps_grants);
	g_test_add_func("/caps/no-caps", test_no_caps);
	g_test_add_func("/caps/config-age", test_config_age);
	g_test_add_func("/caps/refusal", test_refusal);
}
