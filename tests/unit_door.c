/* Jobs handed in, cancelled and asked for, while the store loses answers. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "fleet/door.h"
#include "fleet/lead.h"
#include "tests/fake_rows.h"
#include "tests/unit.h"

#define PATIENCE_MS 20000

struct doorstep {
	struct fleet f;
	struct fake_rows store;
	struct tmr_set *timers;
};

struct outcome {
	int answered;
	struct door_answer ans;
};

static void follow_nothing(void *self, bool on)
{
	(void)self;
	(void)on;
}

static void open_door(struct doorstep *d)
{
	static const struct fleet_directory_ops directory_ops = {
		follow_nothing
	};
	struct fleet_settings set = { .shards = 1, .row_bytes_max = 2000 };
	struct fleet_tables tables = { .directory = { &directory_ops, NULL } };
	struct tevent_context *ev = tevent_context_init(NULL);

	d->timers = tmr_set_start(ev, ev);
	fake_rows_init(&d->store, d->timers);
	tables.rows = fake_rows_iface(&d->store);
	fleet_init(&d->f, &set, ev, d->timers, &clk_system, &tables);
	d->f.door = door_start(&d->f);
}

static void close_door(struct doorstep *d)
{
	g_hash_table_destroy(d->f.domains_out);
	g_hash_table_destroy(d->f.waves);
	talloc_free(d->f.ev);
	fake_rows_destroy(&d->store);
}

static void on_answer(const struct door_answer *ans, void *priv)
{
	struct outcome *o = priv;

	o->answered++;
	o->ans = *ans;
}

static void submit(struct doorstep *d, const char *id, const char *payload,
		   int64_t wait_ms, struct outcome *o)
{
	struct jobspec *spec = jobspec_new(NULL, 1);

	g_strlcpy(spec->id, id, sizeof(spec->id));
	g_strlcpy(spec->queue, "q", sizeof(spec->queue));
	spec->payload = talloc_strdup(spec, payload);
	spec->steps[0].tasks = 1;
	memset(o, 0, sizeof(*o));
	door_submit(d->f.door, spec, clk_mono_ms(&clk_system) + wait_ms,
		    on_answer, o);
	g_assert_cmpint(o->answered, ==, 0);
}

static void await(struct doorstep *d, const struct outcome *o)
{
	int64_t end = clk_mono_ms(&clk_system) + PATIENCE_MS;

	while (!o->answered) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(d->f.ev);
	}
	g_assert_cmpint(o->answered, ==, 1);
}

static bool stored(struct doorstep *d, const char *id)
{
	char table[LEAD_NAME_MAX];
	char part[LEAD_NAME_MAX];

	return fake_rows_get(&d->store, lead_jobs_table(0, table),
			     lead_job_part(0, lead_job_part_of(id), part),
			     id) != NULL;
}

/* A repeated submission stays one job, also beside new ones in a batch. */
static void test_accepts_once(void)
{
	struct doorstep d;
	struct outcome first;
	struct outcome all[12];

	open_door(&d);
	submit(&d, "aaaa000000000000", "x", 3000, &first);
	await(&d, &first);
	g_assert_cmpint(first.ans.result, ==, DOOR_DONE);
	for (guint i = 0; i < G_N_ELEMENTS(all); i++) {
		g_autofree char *id = g_strdup_printf("aaaa%012x", i);

		submit(&d, id, "x", 3000, &all[i]);
	}
	for (guint i = 0; i < G_N_ELEMENTS(all); i++) {
		g_autofree char *id = g_strdup_printf("aaaa%012x", i);

		await(&d, &all[i]);
		g_assert_cmpint(all[i].ans.result, ==, DOOR_DONE);
		g_assert_true(stored(&d, id));
	}
	g_assert_cmpint(door_counts(d.f.door)->repeated, ==, 1);
	g_assert_cmpint(door_active(d.f.door), ==, 0);
	close_door(&d);
}

/* Pattern: answers of the store are lost, before or after the effect. */
static void test_lost_answers(void)
{
	struct doorstep d;
	struct outcome o;

	open_door(&d);
	d.store.mode = FAKE_LOSE_ANSWER;
	d.store.mode_commits = 1;
	submit(&d, "aaaa000000000000", "x", 3000, &o);
	await(&d, &o);
	g_assert_cmpint(o.ans.result, ==, DOOR_DONE);
	/* Nothing may be said of a job whose fate stays unknown. */
	d.store.mode = FAKE_LOSE_REQUEST;
	d.store.mode_commits = 1000;
	submit(&d, "bbbb000000000000", "x", 900, &o);
	await(&d, &o);
	g_assert_cmpint(o.ans.result, ==, DOOR_UNSURE);
	close_door(&d);
}

/* "Refused" is said only of jobs that never reach the store. */
static void test_refusals_are_true(void)
{
	struct doorstep d;
	struct outcome o;
	g_autofree char *large = g_strnfill(4000, 'x');

	open_door(&d);
	d.store.mode = FAKE_NO_EFFECT;
	d.store.mode_commits = 1000;
	submit(&d, "aaaa000000000000", "x", 3000, &o);
	await(&d, &o);
	g_assert_cmpint(o.ans.result, ==, DOOR_REFUSED);
	g_assert_cmpint(o.ans.retry_after_ms, >, 0);
	d.store.mode_commits = 0;
	submit(&d, "bbbb000000000000", large, 3000, &o);
	await(&d, &o);
	g_assert_cmpint(o.ans.result, ==, DOOR_REFUSED);
	/* Whatever was still under way would have come by then. */
	for (int i = 0; i < 100; i++) {
		submit(&d, "cccc000000000000", "x", 3000, &o);
		await(&d, &o);
	}
	g_assert_false(stored(&d, "aaaa000000000000"));
	g_assert_false(stored(&d, "bbbb000000000000"));
	close_door(&d);
}

static void test_state_and_cancel(void)
{
	struct doorstep d;
	struct outcome o = { 0 };
	int64_t deadline;
	char part[LEAD_NAME_MAX];
	static const char id[] = "aaaa000000000000";

	open_door(&d);
	deadline = clk_mono_ms(&clk_system) + 3000;
	door_state(d.f.door, id, deadline, on_answer, &o);
	await(&d, &o);
	g_assert_cmpint(o.ans.result, ==, DOOR_ABSENT);
	o.answered = 0;
	door_cancel(d.f.door, id, deadline, on_answer, &o);
	await(&d, &o);
	g_assert_cmpint(o.ans.result, ==, DOOR_ABSENT);
	submit(&d, id, "x", 3000, &o);
	await(&d, &o);
	o.answered = 0;
	door_state(d.f.door, id, deadline, on_answer, &o);
	await(&d, &o);
	g_assert_cmpint(o.ans.state, ==, SCHED_JOB_QUEUED);
	o.answered = 0;
	d.store.mode = FAKE_LOSE_ANSWER;
	d.store.mode_commits = 1;
	door_cancel(d.f.door, id, deadline, on_answer, &o);
	await(&d, &o);
	g_assert_cmpint(o.ans.result, ==, DOOR_DONE);
	o.answered = 0;
	door_state(d.f.door, id, deadline, on_answer, &o);
	await(&d, &o);
	g_assert_cmpint(o.ans.state, ==, SCHED_JOB_CANCELLED);
	fake_rows_put(&d.store, LEAD_PROGRESS_TABLE, lead_state_part(0, part),
		      id, "{\"state\":\"done\"}");
	o.answered = 0;
	door_state(d.f.door, id, deadline, on_answer, &o);
	await(&d, &o);
	g_assert_cmpint(o.ans.state, ==, SCHED_JOB_DONE);
	close_door(&d);
}

void unit_add_door(void)
{
	g_test_add_func("/door/accepts-once", test_accepts_once);
	g_test_add_func("/door/lost-answers", test_lost_answers);
	g_test_add_func("/door/refusals-are-true", test_refusals_are_true);
	g_test_add_func("/door/state-and-cancel", test_state_and_cancel);
}
