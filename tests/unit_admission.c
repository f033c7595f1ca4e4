/* Admission: long-running jobs leave room for short ones, and a refusal is
 * true. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "fleet/admission.h"
#include "tests/ctl_fixture.h"
#include "tests/unit.h"

#define ID "aaaa000000000000"
/* Half a second between measurements of demand, and a commit. */
#define MEASURED_MS 900

struct outcome {
	int answered;
	struct job_api_answer ans;
};

static void on_answer(const struct job_api_answer *ans, void *priv)
{
	struct outcome *o = priv;

	o->answered++;
	o->ans = *ans;
}

static enum job_api_result
submit_as(struct jobspec *spec, const struct access *who, struct outcome *o)
{
	int64_t end = clk_mono_ms(&clk_system) + FIXTURE_TIMEOUT_MS;

	memset(o, 0, sizeof(*o));
	job_api_submit(fx->f.job_api, spec, who, end, on_answer, o);
	while (!o->answered) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(fx->f.ev);
	}
	return o->ans.result;
}

static enum job_api_result submit(struct jobspec *spec, struct outcome *o)
{
	return submit_as(spec, NULL, o);
}

static enum job_api_result look_up(const char *id)
{
	int64_t end = clk_mono_ms(&clk_system) + FIXTURE_TIMEOUT_MS;
	struct outcome o = { 0 };

	job_api_state(fx->f.job_api, id, NULL, end, on_answer, &o);
	while (!o.answered)
		tevent_loop_once(fx->f.ev);
	return o.ans.result;
}

static const char *job_part(char part[SHARD_CTL_NAME_MAX])
{
	return shard_ctl_job_part(0, shard_ctl_job_part_of(ID), part);
}

static const char *stored_row(void)
{
	char part[SHARD_CTL_NAME_MAX];

	return fake_rows_get(&fx->store, "jobs0", job_part(part), ID);
}

/* Writes a refusal made `age_ms` ago. */
static void put_refusal(int64_t age_ms)
{
	char part[SHARD_CTL_NAME_MAX];
	json_t *j = admission_pack_refusal(clk_mono_ms(&clk_system) +
					   fx->f.store_offset_ms - age_ms);
	char *text = json_dumps(j, JSON_COMPACT);

	fake_rows_put(&fx->store, "jobs0", job_part(part), ID, text);
	free(text);
	json_decref(j);
}

static void open_owner(void)
{
	ctl_fixture_open();
	ctl_fixture_start();
	await_active();
	run_loop_ms(MEASURED_MS);
}

/*
 * Guards against a pool full of tasks that last, where short jobs wait until
 * one of them is cancelled: jobs that would take the last of 16 cores are
 * refused, and later ones that are small enough are not.
 */
static void test_long_running_leave_room(void)
{
	struct outcome o;

	open_owner();
	g_assert_cmpint(submit(fixture_long_running(ID, 4000, 3), &o), ==,
			JOB_API_OK);
	run_loop_ms(MEASURED_MS);
	g_assert_cmpint(
		submit(fixture_long_running("bbbb000000000000", 4000, 1), &o),
		==, JOB_API_REFUSED);
	g_assert_cmpint(o.ans.retry_after_ms, >=, 2000);
	g_assert_cmpint(o.ans.retry_after_ms, <=, 45000);
	g_assert_cmpint(look_up("bbbb000000000000"), ==, JOB_API_NOT_FOUND);
	g_assert_cmpint(
		submit(fixture_long_running("cccc000000000000", 2000, 1), &o),
		==, JOB_API_OK);
	g_assert_cmpint(
		submit(fixture_spec("dddd000000000000", "short", 1, 9), &o), ==,
		JOB_API_OK);
	ctl_fixture_close();
}

/* A job that is stored isn't refused when its submission is repeated, though
 * there is no room for another one. */
static void test_stored_job_is_not_refused(void)
{
	struct outcome o;

	open_owner();
	g_assert_cmpint(submit(fixture_long_running(ID, 4000, 3), &o), ==,
			JOB_API_OK);
	run_loop_ms(MEASURED_MS);
	g_assert_cmpint(submit(fixture_long_running(ID, 4000, 3), &o), ==,
			JOB_API_OK);
	g_assert_cmpint(look_up(ID), ==, JOB_API_OK);
	ctl_fixture_close();
}

/* An attempt that another VM still has in hand when the job is refused can't
 * store it any more; the caller's return can. */
static void test_refusal_covers_earlier_attempts(void)
{
	struct outcome o;
	int64_t refused_ms;

	open_owner();
	put_refusal(-100);
	g_assert_cmpint(submit(fixture_spec(ID, "short", 1, 1), &o), ==,
			JOB_API_REFUSED);
	g_assert_true(admission_parse_refusal(stored_row(), &refused_ms));
	g_assert_cmpint(look_up(ID), ==, JOB_API_NOT_FOUND);
	put_refusal(2000);
	g_assert_cmpint(submit(fixture_spec(ID, "short", 1, 1), &o), ==,
			JOB_API_OK);
	g_assert_false(admission_parse_refusal(stored_row(), &refused_ms));
	g_assert_cmpint(look_up(ID), ==, JOB_API_OK);
	ctl_fixture_close();
}

/* The job takes the place of its refusal though the first answer of the store
 * is lost, and the owner schedules it. */
static void test_return_with_lost_answer(void)
{
	const struct sched *s;
	struct outcome o;

	open_owner();
	put_refusal(2000);
	run_loop_ms(100);
	s = await_active();
	g_assert_null(g_hash_table_lookup(s->jobs, ID));
	fx->store.mode = FAKE_LOSE_ANSWER;
	fx->store.mode_commits = 3;
	g_assert_cmpint(submit(fixture_spec(ID, "short", 1, 1), &o), ==,
			JOB_API_OK);
	run_loop_ms(200);
	g_assert_nonnull(g_hash_table_lookup(s->jobs, ID));
	ctl_fixture_close();
}

/* A VM that doesn't know the room, or reads an odd row, accepts. */
static void test_unknown_room(void)
{
	static const char *const rooms[] = {
		"1",  "{\"p\":1}",	 "{\"p\":[1]}", "{\"p\":[\"x\",0]}",
		"[]", "{\"p\":[-5,-1]}",
	};
	struct jobspec *spec = fixture_long_running(ID, 4000, 3);
	struct owner_row row = { 0 };
	struct admission a;

	admission_decide(NULL, 0, "p", spec, &a);
	g_assert_false(a.refused);
	for (size_t i = 0; i < G_N_ELEMENTS(rooms); i++) {
		row.rooms = (char *)rooms[i];
		admission_decide(&row, 0, "p", spec, &a);
		g_assert_false(a.refused);
	}
	row.rooms = (char *)"{\"p\":[11999,0]}";
	admission_decide(&row, 0, "p", spec, &a);
	g_assert_true(a.refused);
	admission_decide(&row, 0, "other", spec, &a);
	g_assert_false(a.refused);
	admission_decide(&row, 2500, "p", spec, &a);
	g_assert_false(a.refused);
	admission_decide(&row, -1, "p", spec, &a);
	g_assert_false(a.refused);
	talloc_free(spec);
}

/* Callers return when there is room, those that need little of it first, and
 * not all at once. */
static void test_retry_after(void)
{
	struct owner_row row = { .rooms = (char *)"{\"p\":[0,1000]}" };
	GHashTable *times = g_hash_table_new(g_direct_hash, g_direct_equal);
	struct admission small;
	struct admission large;
	char id[JOBSPEC_ID_MAX];

	for (int i = 0; i < 50; i++) {
		struct jobspec *spec;

		g_snprintf(id, sizeof(id), "%016x", i);
		spec = fixture_long_running(id, 4000, 1);
		admission_decide(&row, 0, "p", spec, &small);
		talloc_free(spec);
		spec = fixture_long_running(id, 4000, 3);
		admission_decide(&row, 0, "p", spec, &large);
		talloc_free(spec);
		g_assert_cmpint(small.retry_after_ms, >=, 4000);
		g_assert_cmpint(small.retry_after_ms, <=, 6000);
		g_assert_cmpint(large.retry_after_ms, >=, 12000);
		g_hash_table_add(times,
				 GINT_TO_POINTER(small.retry_after_ms / 100));
	}
	g_assert_cmpuint(g_hash_table_size(times), >, 10);
	g_hash_table_destroy(times);
}

/* The room that long-running jobs leave follows what short ones need. */
static void test_headroom(void)
{
	struct sched_pool_demand d = { .total_milli = 100000 };

	g_assert_cmpint(sched_lasting_room(&d), ==, 92000);
	d.brief_mean_milli = 10000;
	g_assert_cmpint(sched_lasting_room(&d), ==, 85000);
	d.brief_mean_milli = 90000;
	g_assert_cmpint(sched_lasting_room(&d), ==, 75000);
	d.lasting_milli = 80000;
	g_assert_cmpint(sched_lasting_room(&d), ==, -5000);
}

/* Waiting long-running tasks count, best-effort ones and workers out of service
 * don't. */
static void test_demand(void)
{
	struct sched_fixture p;
	const struct sched_pool_demand *d;
	struct jobspec *spec = fixture_spec("c", "long", 1, 10);

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "v", "r");
	fixture_add_worker(&p, "w", "r");
	fixture_worker(&p, "w")->row.draining = true;
	fixture_add_job(&p, fixture_long_running("a", 3000, 2));
	fixture_add_job(&p, fixture_spec("b", "short", 1, 2));
	spec->steps[0].best_effort = true;
	fixture_add_job(&p, spec);
	sched_tick(&p.s, 1000, 1001000);
	d = g_hash_table_lookup(p.s.demands, "p");
	g_assert_cmpint(d->total_milli, ==, 8000);
	g_assert_cmpint(d->lasting_milli, ==, 6000);
	g_assert_cmpint(d->brief_milli, ==, 8000);
	sched_job_cancel(&p.s, "a", 1100, 1001100);
	sched_tick(&p.s, 2000, 1002000);
	g_assert_cmpint(d->lasting_milli, ==, 0);
	g_assert_cmpfloat(d->freed_mean_milli_s, >, 0);
	fixture_close(&p);
}

/* Adds the organisations "a" and "b", whose keys are their names, to the
 * configuration, and makes its queues public. */
static void configure_orgs(void)
{
	static const char *const names[] = { "a", "b" };
	const struct catalog *old = fx->f.catalog;
	struct catalog *c = talloc_memdup(NULL, old, sizeof(*old));

	c->version++;
	c->queues = talloc_memdup(c, old->queues,
				  sizeof(*c->queues) * (size_t)c->n_queues);
	c->pools = talloc_memdup(c, old->pools,
				 sizeof(*c->pools) * (size_t)c->n_pools);
	for (int32_t i = 0; i < c->n_queues; i++)
		c->queues[i].is_public = true;
	fixture_set_orgs(c, names, 2);
	c->orgs[0].weight = 2;
	c->orgs[1].weight = 2;
	fleet_set_catalog(&fx->f, c);
	fleet_config_synced(&fx->f);
}

/* Submits a job while the owner's row says that the pool is full and 10 jobs of
 * "a" wait in excess. */
static enum job_api_result submit_overloaded(const char *id, const char *org,
					     struct outcome *o)
{
	struct jobspec *spec = fixture_spec(id, "short", 1, 1);
	struct access who = fixture_caller(org);
	struct owner_row *row;
	int64_t changed_ms;

	row = (struct owner_row *)shard_ctl_owner_row(fx->f.shard_ctls[0],
						      &changed_ms);
	g_assert_null(row->overload);
	row->overload =
		talloc_strdup(NULL, "{\"full\":[\"p\"],\"orgs\":{\"a\":10}}");
	return submit_as(spec, &who, o);
}

/* Guards against a refusal for overload that isn't true, or that also strikes
 * others; the owner's next row, without overload, ends it. */
static void test_over_rate_is_refused(void)
{
	const int64_t *refusals;
	struct outcome o;
	int64_t refused_ms;

	open_owner();
	configure_orgs();
	run_loop_ms(MEASURED_MS);
	g_assert_cmpint(submit_overloaded(ID, "a", &o), ==, JOB_API_REFUSED);
	g_assert_cmpint(o.ans.retry_after_ms, >=, 5000);
	g_assert_cmpint(o.ans.retry_after_ms, <=, 7500);
	g_assert_true(admission_parse_refusal(stored_row(), &refused_ms));
	g_assert_cmpint(look_up(ID), ==, JOB_API_NOT_FOUND);
	refusals =
		g_hash_table_lookup(job_api_org_refusals(fx->f.job_api), "a");
	g_assert_cmpint(*refusals, ==, 1);
	run_loop_ms(MEASURED_MS);
	g_assert_cmpint(submit_overloaded("bbbb000000000000", "", &o), ==,
			JOB_API_OK);
	run_loop_ms(MEASURED_MS);
	g_assert_cmpint(submit_overloaded("cccc000000000000", "b", &o), ==,
			JOB_API_OK);
	ctl_fixture_close();
}

/* The figures survive the row's text, and are absent if there are none. */
static void test_overload_in_row(void)
{
	struct owner_row row = { .overload = (char *)"{\"full\":[\"p\"]}" };
	struct owner_row back = { 0 };
	char *text = owner_row_text(&row);

	owner_row_parse(NULL, text, &back);
	g_assert_cmpstr(back.overload, ==, row.overload);
	free(text);
	row.overload = NULL;
	text = owner_row_text(&row);
	g_assert_null(strstr(text, "overload"));
	owner_row_parse(NULL, text, &back);
	g_assert_null(back.overload);
	owner_row_clear(&back);
	free(text);
}

void unit_add_admission(void)
{
	g_test_add_func("/admission/long-running-leave-room",
			test_long_running_leave_room);
	g_test_add_func("/admission/stored-job-is-not-refused",
			test_stored_job_is_not_refused);
	g_test_add_func("/admission/refusal-covers-earlier-attempts",
			test_refusal_covers_earlier_attempts);
	g_test_add_func("/admission/return-with-lost-answer",
			test_return_with_lost_answer);
	g_test_add_func("/admission/unknown-room", test_unknown_room);
	g_test_add_func("/admission/retry-after", test_retry_after);
	g_test_add_func("/admission/over-rate-is-refused",
			test_over_rate_is_refused);
	g_test_add_func("/admission/overload-in-row", test_overload_in_row);
	g_test_add_func("/admission/headroom", test_headroom);
	g_test_add_func("/admission/demand", test_demand);
}
