/* Tests submission, cancellation and lookup of jobs while the store loses
 * answers. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "fleet/job_api.h"
#include "fleet/shard_ctl.h"
#include "tests/fake_rows.h"
#include "tests/unit.h"

#define TIMEOUT_MS 20000

struct api_fixture {
	struct fleet f;
	struct fake_rows store;
	struct tmr_set *timers;
};

struct outcome {
	int answered;
	struct job_api_answer ans;
};

static void ignore_subscription(void *self, bool on)
{
	(void)self;
	(void)on;
}

static void api_fixture_open(struct api_fixture *fx)
{
	static const struct fleet_directory_ops directory_ops = {
		ignore_subscription
	};
	struct fleet_settings set = { .shards = 1, .row_bytes_max = 2000 };
	struct fleet_interfaces interfaces = { .directory = { &directory_ops,
							      NULL } };
	struct tevent_context *ev = tevent_context_init(NULL);

	fx->timers = tmr_set_start(ev, ev);
	fake_rows_init(&fx->store, fx->timers);
	interfaces.rows = fake_rows_iface(&fx->store);
	fleet_init(&fx->f, &set, ev, fx->timers, &clk_system, &interfaces);
	fx->f.job_api = job_api_start(&fx->f);
}

static void api_fixture_close(struct api_fixture *fx)
{
	g_hash_table_destroy(fx->f.domains_out);
	g_hash_table_destroy(fx->f.waves);
	talloc_free(fx->f.ev);
	fake_rows_destroy(&fx->store);
}

static void on_answer(const struct job_api_answer *ans, void *priv)
{
	struct outcome *o = priv;

	o->answered++;
	o->ans = *ans;
}

static void submit(struct api_fixture *fx, const char *id, const char *payload,
		   int64_t wait_ms, struct outcome *o)
{
	struct jobspec *spec = jobspec_new(NULL, 1);

	g_strlcpy(spec->id, id, sizeof(spec->id));
	g_strlcpy(spec->queue, "q", sizeof(spec->queue));
	spec->payload = talloc_strdup(spec, payload);
	spec->steps[0].tasks = 1;
	memset(o, 0, sizeof(*o));
	job_api_submit(fx->f.job_api, spec, NULL,
		       clk_mono_ms(&clk_system) + wait_ms, on_answer, o);
	g_assert_cmpint(o->answered, ==, 0);
}

static void await(struct api_fixture *fx, const struct outcome *o)
{
	int64_t end = clk_mono_ms(&clk_system) + TIMEOUT_MS;

	while (!o->answered) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(fx->f.ev);
	}
	g_assert_cmpint(o->answered, ==, 1);
}

static bool is_stored(struct api_fixture *fx, const char *id)
{
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];

	return fake_rows_get(
		       &fx->store, shard_ctl_jobs_table(0, table),
		       shard_ctl_job_part(0, shard_ctl_job_part_of(id), part),
		       id) != NULL;
}

/* A job that is submitted twice stays one job, also in a batch with new
 * ones. */
static void test_accepts_once(void)
{
	struct api_fixture fx;
	struct outcome first;
	struct outcome all[12];

	api_fixture_open(&fx);
	submit(&fx, "aaaa000000000000", "x", 3000, &first);
	await(&fx, &first);
	g_assert_cmpint(first.ans.result, ==, JOB_API_OK);
	for (guint i = 0; i < G_N_ELEMENTS(all); i++) {
		g_autofree char *id = g_strdup_printf("aaaa%012x", i);

		submit(&fx, id, "x", 3000, &all[i]);
	}
	for (guint i = 0; i < G_N_ELEMENTS(all); i++) {
		g_autofree char *id = g_strdup_printf("aaaa%012x", i);

		await(&fx, &all[i]);
		g_assert_cmpint(all[i].ans.result, ==, JOB_API_OK);
		g_assert_true(is_stored(&fx, id));
	}
	g_assert_cmpint(job_api_counts(fx.f.job_api)->repeated, ==, 1);
	g_assert_cmpint(job_api_active(fx.f.job_api), ==, 0);
	api_fixture_close(&fx);
}

/* The answer of the store is lost after the commit, then the call before it. */
static void test_lost_answers(void)
{
	struct api_fixture fx;
	struct outcome o;

	api_fixture_open(&fx);
	fx.store.mode = FAKE_LOSE_ANSWER;
	fx.store.mode_commits = 1;
	submit(&fx, "aaaa000000000000", "x", 3000, &o);
	await(&fx, &o);
	g_assert_cmpint(o.ans.result, ==, JOB_API_OK);
	/* The answer must be "unknown" while the outcome is. */
	fx.store.mode = FAKE_LOSE_REQUEST;
	fx.store.mode_commits = 1000;
	submit(&fx, "bbbb000000000000", "x", 900, &o);
	await(&fx, &o);
	g_assert_cmpint(o.ans.result, ==, JOB_API_UNKNOWN);
	api_fixture_close(&fx);
}

/* JOB_API_REFUSED and JOB_API_TOO_LARGE are returned only for jobs that are
 * never stored. */
static void test_refusals_are_true(void)
{
	struct api_fixture fx;
	struct outcome o;
	g_autofree char *large = g_strnfill(4000, 'x');

	api_fixture_open(&fx);
	fx.store.mode = FAKE_NO_EFFECT;
	fx.store.mode_commits = 1000;
	submit(&fx, "aaaa000000000000", "x", 3000, &o);
	await(&fx, &o);
	g_assert_cmpint(o.ans.result, ==, JOB_API_REFUSED);
	g_assert_cmpint(o.ans.retry_after_ms, >, 0);
	fx.store.mode_commits = 0;
	submit(&fx, "bbbb000000000000", large, 3000, &o);
	await(&fx, &o);
	g_assert_cmpint(o.ans.result, ==, JOB_API_TOO_LARGE);
	/* Any call that was still in flight is done by then. */
	for (int i = 0; i < 100; i++) {
		submit(&fx, "cccc000000000000", "x", 3000, &o);
		await(&fx, &o);
	}
	g_assert_false(is_stored(&fx, "aaaa000000000000"));
	g_assert_false(is_stored(&fx, "bbbb000000000000"));
	api_fixture_close(&fx);
}

static void test_state_and_cancel(void)
{
	struct api_fixture fx;
	struct outcome o = { 0 };
	int64_t deadline;
	char part[SHARD_CTL_NAME_MAX];
	static const char id[] = "aaaa000000000000";

	api_fixture_open(&fx);
	deadline = clk_mono_ms(&clk_system) + 3000;
	job_api_state(fx.f.job_api, id, NULL, deadline, on_answer, &o);
	await(&fx, &o);
	g_assert_cmpint(o.ans.result, ==, JOB_API_NOT_FOUND);
	o.answered = 0;
	job_api_cancel(fx.f.job_api, id, NULL, deadline, on_answer, &o);
	await(&fx, &o);
	g_assert_cmpint(o.ans.result, ==, JOB_API_NOT_FOUND);
	submit(&fx, id, "x", 3000, &o);
	await(&fx, &o);
	o.answered = 0;
	job_api_state(fx.f.job_api, id, NULL, deadline, on_answer, &o);
	await(&fx, &o);
	g_assert_cmpint(o.ans.state, ==, SCHED_JOB_QUEUED);
	o.answered = 0;
	fx.store.mode = FAKE_LOSE_ANSWER;
	fx.store.mode_commits = 1;
	job_api_cancel(fx.f.job_api, id, NULL, deadline, on_answer, &o);
	await(&fx, &o);
	g_assert_cmpint(o.ans.result, ==, JOB_API_OK);
	o.answered = 0;
	job_api_state(fx.f.job_api, id, NULL, deadline, on_answer, &o);
	await(&fx, &o);
	g_assert_cmpint(o.ans.state, ==, SCHED_JOB_CANCELLED);
	fake_rows_put(&fx.store, SHARD_CTL_PROGRESS_TABLE,
		      shard_ctl_state_part(0, part), id,
		      "{\"state\":\"done\"}");
	o.answered = 0;
	job_api_state(fx.f.job_api, id, NULL, deadline, on_answer, &o);
	await(&fx, &o);
	g_assert_cmpint(o.ans.state, ==, SCHED_JOB_DONE);
	api_fixture_close(&fx);
}

/* Guards against a job that nobody submitted being shown as queued: only the
 * cancel row is left of a job that was removed while it was cancelled. */
static void test_cancel_row_alone(void)
{
	static const char id[] = "aaaa000000000000";
	struct api_fixture fx;
	struct outcome o = { 0 };
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];

	api_fixture_open(&fx);
	fake_rows_put(&fx.store, shard_ctl_jobs_table(0, table),
		      shard_ctl_job_part(0, shard_ctl_job_part_of(id), part),
		      "aaaa000000000000" SHARD_CTL_CANCEL_SUFFIX, "{}");
	job_api_state(fx.f.job_api, id, NULL, clk_mono_ms(&clk_system) + 3000,
		      on_answer, &o);
	await(&fx, &o);
	g_assert_cmpint(o.ans.result, ==, JOB_API_NOT_FOUND);
	api_fixture_close(&fx);
}

static void ask_state(struct api_fixture *fx, const char *id, struct outcome *o)
{
	memset(o, 0, sizeof(*o));
	job_api_state(fx->f.job_api, id, NULL, clk_mono_ms(&clk_system) + 3000,
		      on_answer, o);
	await(fx, o);
}

/*
 * Guards against a progress row that cannot be read being taken for none: a
 * job that is done would be shown as queued, and as absent once its own row is
 * removed.
 */
static void test_unreadable_progress(void)
{
	static const char *const odd[] = { "", "{}", "[]", "{\"state\":7}",
					   "{\"state\":\"paused\"}" };
	static const char id[] = "aaaa000000000000";
	struct api_fixture fx;
	struct outcome o;
	char part[SHARD_CTL_NAME_MAX];

	api_fixture_open(&fx);
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		fake_rows_put(&fx.store, SHARD_CTL_PROGRESS_TABLE,
			      shard_ctl_state_part(0, part), id, odd[i]);
		ask_state(&fx, id, &o);
		g_assert_cmpint(o.ans.result, ==, JOB_API_REFUSED);
		g_assert_cmpint(o.ans.retry_after_ms, >, 0);
	}
	submit(&fx, id, "x", 3000, &o);
	await(&fx, &o);
	ask_state(&fx, id, &o);
	g_assert_cmpint(o.ans.result, ==, JOB_API_REFUSED);
	api_fixture_close(&fx);
}

void unit_add_job_api(void)
{
	g_test_add_func("/door/cancel-row-alone", test_cancel_row_alone);
	g_test_add_func("/door/accepts-once", test_accepts_once);
	g_test_add_func("/door/lost-answers", test_lost_answers);
	g_test_add_func("/door/refusals-are-true", test_refusals_are_true);
	g_test_add_func("/door/state-and-cancel", test_state_and_cancel);
	g_test_add_func("/door/unreadable-progress", test_unreadable_progress);
}
