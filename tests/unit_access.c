/* Tests of callers' keys: their decoding, and which calls and jobs they open.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "fleet/job_api.h"
#include "fleet/shard_ctl.h"
#include "pf_decode.h"
#include "tests/fake_rows.h"
#include "tests/unit.h"

#define ID "aaaa000000000000"
#define ROUTES                                                                 \
	"\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/q/\"},"      \
	"{\"name\":\"open\",\"host\":\"h\",\"prefix\":\"/o/\","                \
	"\"public\":true}],\"services\":[]"
#define TWO_ORGS                                                               \
	"[{\"name\":\"a\",\"keys\":[\"ka\"]},{\"name\":\"b\",\"keys\":"        \
	"[\"kb\"]}]"

/* One fleet process whose clock is ahead of the system's. */
struct access_fixture {
	struct fleet f;
	struct fake_rows store;
	int64_t ahead_ms;
};

struct outcome {
	int answered;
	struct job_api_answer ans;
};

static struct timespec clock_ahead(void *priv)
{
	const struct access_fixture *fx = priv;
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	ts.tv_sec += fx->ahead_ms / 1000;
	return ts;
}

static struct catalog *decode(const char *tenants)
{
	g_autofree char *text =
		tenants ? g_strdup_printf("{" ROUTES ",\"tenants\":%s}",
					  tenants)
			: g_strdup("{" ROUTES "}");
	struct err e;

	return pf_decode_catalog(NULL, text, &e);
}

/* Applies a new version with these organisations; NULL: without any. */
static void configure(struct access_fixture *fx, const char *tenants)
{
	talloc_free((void *)fx->f.catalog);
	fx->f.catalog = talloc_steal(fx->f.ev, decode(tenants));
	fleet_config_synced(&fx->f);
}

static void open_fixture(struct access_fixture *fx)
{
	static struct clk clk;
	struct fleet_settings set = { .row_bytes_max = 2000, .apply_ms = 3000 };
	struct fleet_interfaces interfaces = { 0 };
	struct tevent_context *ev = tevent_context_init(NULL);
	struct tmr_set *timers = tmr_set_start(ev, ev);

	memset(fx, 0, sizeof(*fx));
	clk = (struct clk){ clock_ahead, clock_ahead, fx };
	fake_rows_init(&fx->store, timers);
	interfaces.rows = fake_rows_iface(&fx->store);
	fleet_init(&fx->f, &set, ev, timers, &clk, &interfaces);
	fx->f.set.shards = 1;
	fx->f.job_api = job_api_start(&fx->f);
	configure(fx, TWO_ORGS);
}

static void close_fixture(struct access_fixture *fx)
{
	g_hash_table_destroy(fx->f.domains_out);
	g_hash_table_destroy(fx->f.waves);
	talloc_free(fx->f.ev);
	fake_rows_destroy(&fx->store);
}

static enum access_verdict check(struct access_fixture *fx, const char *queue,
				 const char *key, struct access *who)
{
	struct org_key k;

	if (key)
		org_key_init(&k, key, strlen(key));
	return access_check(&fx->f, catalog_find_queue(fx->f.catalog, queue),
			    key ? &k : NULL, ACCESS_SUBMIT, who);
}

static void on_answer(const struct job_api_answer *ans, void *priv)
{
	struct outcome *o = priv;

	o->answered++;
	o->ans = *ans;
}

static enum job_api_result await(struct access_fixture *fx,
				 const struct outcome *o)
{
	while (!o->answered)
		tevent_loop_once(fx->f.ev);
	return o->ans.result;
}

static void submit(struct access_fixture *fx, const char *key,
		   struct outcome *o)
{
	struct jobspec *spec = jobspec_new(NULL, 1);
	struct access who;

	g_assert_cmpint(check(fx, key ? "q" : "open", key, &who), ==,
			ACCESS_ALLOWED);
	g_strlcpy(spec->id, ID, sizeof(spec->id));
	g_strlcpy(spec->queue, key ? "q" : "open", sizeof(spec->queue));
	spec->payload = talloc_strdup(spec, "x");
	spec->steps[0].tasks = 1;
	memset(o, 0, sizeof(*o));
	job_api_submit(fx->f.job_api, spec, &who, clk_mono_ms(fx->f.clk) + 3000,
		       on_answer, o);
}

/* Looks up the job, or cancels it, with a key; NULL: on the public route. */
static enum job_api_result use(struct access_fixture *fx, const char *key,
			       bool cancel)
{
	struct outcome o = { 0 };
	struct access who;
	int64_t deadline = clk_mono_ms(fx->f.clk) + 1000;

	check(fx, key ? "q" : "open", key, &who);
	if (cancel)
		job_api_cancel(fx->f.job_api, ID, &who, deadline, on_answer,
			       &o);
	else
		job_api_state(fx->f.job_api, ID, &who, deadline, on_answer, &o);
	return await(fx, &o);
}

static const char *stored_job(struct access_fixture *fx)
{
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];

	return fake_rows_get(
		&fx->store, shard_ctl_jobs_table(0, table),
		shard_ctl_job_part(0, shard_ctl_job_part_of(ID), part), ID);
}

static const char *org_of(const struct catalog *c, const char *key)
{
	struct org_key k;
	const struct org *o;

	org_key_init(&k, key, strlen(key));
	o = org_keys_find(c->org_keys, &k);
	return o ? o->name : "";
}

/* Guards against one bad entry that takes others' keys away or opens all. */
static void test_decode(void)
{
	struct catalog *c = decode(
		"[{\"name\":\"a\",\"keys\":[\"k1\",\"both\",7,\"\",null]},"
		"{\"name\":\"b\",\"keys\":[\"both\",\"k2\"],\"weight\":0},"
		"{\"name\":\"none\"},{\"name\":\"b\",\"keys\":[\"k3\"]},7,"
		"{\"name\":\"c\",\"keys\":\"k4\"},{\"keys\":[\"k5\"]},"
		"{\"name\":\"d\",\"weight\":\"2\",\"keys\":[\"k6\"]},"
		"{\"name\":\"e\",\"cap\":{\"cpu\":[]},\"keys\":[\"k7\"]},"
		"{\"name\":\"x\\n\",\"keys\":[\"k3\"]},"
		"{\"name\":\"f\",\"keys\":[\"k8\"],\"weight\":3}]");

	g_assert_cmpint(c->n_orgs, ==, 4);
	g_assert_cmpstr(org_of(c, "k1"), ==, "a");
	g_assert_cmpstr(org_of(c, "both"), ==, "a");
	g_assert_cmpstr(org_of(c, "k2"), ==, "b");
	g_assert_cmpstr(org_of(c, "k8"), ==, "f");
	for (int i = 3; i <= 7; i++) {
		char key[] = { 'k', (char)('0' + i), '\0' };

		g_assert_cmpstr(org_of(c, key), ==, "");
	}
	g_assert_cmpstr(org_of(c, ""), ==, "");
	talloc_free(c);
	c = decode("{\"name\":\"a\"}");
	g_assert_true(c->has_orgs);
	talloc_free(c);
	c = decode("null");
	g_assert_false(c->has_orgs);
	talloc_free(c);
}

/* Guards against calls without a valid key, and against keys judged by a
 * configuration that is too old for the bounds of the settings. */
static void test_verdicts(void)
{
	struct access_fixture fx;
	struct access who;

	open_fixture(&fx);
	g_assert_cmpint(check(&fx, "q", NULL, &who), ==, ACCESS_DENIED);
	g_assert_cmpint(check(&fx, "q", "kc", &who), ==, ACCESS_DENIED);
	g_assert_cmpint(fx.f.access.denied[ACCESS_SUBMIT], ==, 2);
	g_assert_cmpint(check(&fx, "q", "kb", &who), ==, ACCESS_ALLOWED);
	g_assert_cmpstr(who.org, ==, "b");
	g_assert_cmpint(check(&fx, "open", "kb", &who), ==, ACCESS_ALLOWED);
	g_assert_cmpstr(who.org, ==, "");
	fx.f.set.revoke_ms = 3500;
	fx.ahead_ms = 2000;
	g_assert_cmpint(check(&fx, "q", "kb", &who), ==, ACCESS_ALLOWED);
	fx.f.set.strict_revoke = true;
	g_assert_cmpint(check(&fx, "q", "kb", &who), ==, ACCESS_UNCONFIRMED);
	g_assert_cmpint(check(&fx, "open", NULL, &who), ==, ACCESS_ALLOWED);
	/* An answer that was under way for long confirms little. */
	fleet_config_synced(&fx.f);
	g_assert_cmpint(check(&fx, "q", "kb", &who), ==, ACCESS_ALLOWED);
	fleet_config_confirmed(&fx.f, clk_mono_ms(fx.f.clk) - 2000);
	g_assert_cmpint(check(&fx, "q", "kb", &who), ==, ACCESS_UNCONFIRMED);
	fx.ahead_ms = 5000;
	g_assert_false(fleet_config_is_current(&fx.f));
	configure(&fx, NULL);
	fx.ahead_ms = 8000;
	g_assert_true(fleet_config_is_current(&fx.f));
	g_assert_cmpint(check(&fx, "q", NULL, &who), ==, ACCESS_ALLOWED);
	g_assert_false(who.has_orgs);
	close_fixture(&fx);
}

/* Guards against jobs that another organisation can read, cancel or replace. */
static void test_foreign_job(void)
{
	struct access_fixture fx;
	struct outcome o;
	char part[SHARD_CTL_NAME_MAX];

	open_fixture(&fx);
	submit(&fx, "ka", &o);
	g_assert_cmpint(await(&fx, &o), ==, JOB_API_OK);
	g_assert_null(strstr(stored_job(&fx), "ka"));
	g_assert_cmpint(use(&fx, "ka", false), ==, JOB_API_OK);
	g_assert_cmpint(use(&fx, "kb", false), ==, JOB_API_NOT_FOUND);
	g_assert_cmpint(use(&fx, NULL, false), ==, JOB_API_NOT_FOUND);
	g_assert_cmpint(use(&fx, "kb", true), ==, JOB_API_NOT_FOUND);
	submit(&fx, "kb", &o);
	g_assert_cmpint(await(&fx, &o), ==, JOB_API_ID_TAKEN);
	g_assert_nonnull(strstr(stored_job(&fx), "\"org\":\"a\""));
	submit(&fx, "ka", &o);
	g_assert_cmpint(await(&fx, &o), ==, JOB_API_OK);
	/* As an earlier release writes it, then as this one does. */
	shard_ctl_state_part(0, part);
	fake_rows_put(&fx.store, SHARD_CTL_PROGRESS_TABLE, part, ID,
		      "{\"state\":\"done\"}");
	g_assert_cmpint(use(&fx, "kb", false), ==, JOB_API_NOT_FOUND);
	g_assert_cmpint(use(&fx, "ka", false), ==, JOB_API_OK);
	fake_rows_put(&fx.store, SHARD_CTL_PROGRESS_TABLE, part, ID,
		      "{\"state\":\"done\",\"org\":\"a\"}");
	g_assert_cmpint(use(&fx, "kb", false), ==, JOB_API_NOT_FOUND);
	g_assert_cmpint(use(&fx, "ka", false), ==, JOB_API_OK);
	g_assert_cmpint(use(&fx, "ka", true), ==, JOB_API_OK);
	close_fixture(&fx);
}

/* Guards against two organisations' jobs of one id in one transaction, of which
 * both were accepted and one was lost. */
static void test_same_batch(void)
{
	struct access_fixture fx;
	struct outcome a;
	struct outcome b;
	bool a_stored;

	open_fixture(&fx);
	fx.store.mode = FAKE_NO_EFFECT;
	fx.store.mode_commits = 1;
	submit(&fx, "ka", &a);
	submit(&fx, "kb", &b);
	a_stored = await(&fx, &a) == JOB_API_OK;
	g_assert_cmpint(await(&fx, &b), ==,
			a_stored ? JOB_API_ID_TAKEN : JOB_API_OK);
	g_assert_cmpint(a.ans.result, ==,
			a_stored ? JOB_API_OK : JOB_API_ID_TAKEN);
	g_assert_nonnull(strstr(stored_job(&fx),
				a_stored ? "\"org\":\"a\"" : "\"org\":\"b\""));
	close_fixture(&fx);
}

/* Guards against a job without organisation that its callers cannot use any
 * more once there are organisations. */
static void test_public_job(void)
{
	struct access_fixture fx;
	struct outcome o;
	char part[SHARD_CTL_NAME_MAX];

	open_fixture(&fx);
	submit(&fx, NULL, &o);
	g_assert_cmpint(await(&fx, &o), ==, JOB_API_OK);
	g_assert_null(strstr(stored_job(&fx), "org"));
	g_assert_cmpint(use(&fx, NULL, false), ==, JOB_API_OK);
	g_assert_cmpint(use(&fx, "kb", false), ==, JOB_API_OK);
	fake_rows_put(&fx.store, SHARD_CTL_PROGRESS_TABLE,
		      shard_ctl_state_part(0, part), ID,
		      "{\"state\":\"done\"}");
	g_assert_cmpint(use(&fx, NULL, false), ==, JOB_API_OK);
	submit(&fx, "ka", &o);
	g_assert_cmpint(await(&fx, &o), ==, JOB_API_OK);
	close_fixture(&fx);
}

/* Guards against a job stored for a key that was removed, or whose validity
 * became unknown, while the submission waited for the store. */
static void test_recheck(void)
{
	struct access_fixture fx;
	struct outcome o;

	open_fixture(&fx);
	fx.store.mode = FAKE_NO_EFFECT;
	fx.store.mode_commits = 1;
	submit(&fx, "kb", &o);
	configure(&fx, "[{\"name\":\"a\",\"keys\":[\"ka\"]}]");
	g_assert_cmpint(await(&fx, &o), ==, JOB_API_DENIED);
	fx.store.mode_commits = 1;
	submit(&fx, "ka", &o);
	fx.f.set.strict_revoke = true;
	fx.f.set.revoke_ms = 2500;
	fleet_config_confirmed(&fx.f, clk_mono_ms(fx.f.clk) - 1000);
	g_assert_cmpint(await(&fx, &o), ==, JOB_API_REFUSED);
	g_assert_null(stored_job(&fx));
	/* The first attempt may have been stored, so "not run" isn't true. */
	fleet_config_synced(&fx.f);
	fx.store.mode = FAKE_LOSE_ANSWER;
	fx.store.mode_commits = 1;
	submit(&fx, "ka", &o);
	configure(&fx, "[]");
	g_assert_cmpint(await(&fx, &o), ==, JOB_API_UNKNOWN);
	g_assert_cmpint(job_api_active(fx.f.job_api), ==, 0);
	close_fixture(&fx);
}

void unit_add_access(void)
{
	g_test_add_func("/access/decode", test_decode);
	g_test_add_func("/access/verdicts", test_verdicts);
	g_test_add_func("/access/foreign-job", test_foreign_job);
	g_test_add_func("/access/same-batch", test_same_batch);
	g_test_add_func("/access/public-job", test_public_job);
	g_test_add_func("/access/recheck", test_recheck);
}
