/* Tests of waves of upkeep and of evacuating VMs, without network or clock. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "coordination/upkeep.h"
#include "platform/pf_vms.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

#define COMMANDS_FROM_MS 100

/* One wave with number 7 and the VMs m1 to m3, and the calls that it made. */
struct fixture {
	struct upkeep u;
	GPtrArray *evacuated; /* VMs, in order */
	GPtrArray *commanded; /* VMs, in order */
	bool has_critical_tasks; /* tasks must not be stopped */
	bool asked_late; /* may_terminate was called with `late` */
};

static void on_set_evacuating(void *priv, const char *vm, bool on)
{
	struct fixture *f = priv;

	if (on)
		g_ptr_array_add(f->evacuated, g_strdup(vm));
}

static bool on_may_terminate(void *priv, const char *vm, bool late)
{
	struct fixture *f = priv;

	(void)vm;
	f->asked_late |= late;
	return !f->has_critical_tasks;
}

static void on_send_command(void *priv, int64_t wave, const char *vm)
{
	struct fixture *f = priv;

	(void)wave;
	g_ptr_array_add(f->commanded, g_strdup(vm));
}

static void on_changed(void *priv, int64_t wave)
{
	(void)priv;
	(void)wave;
}

static void on_log_decision(void *priv, const char *what, int64_t wave,
			    const char *vm)
{
	(void)priv;
	(void)what;
	(void)wave;
	(void)vm;
}

static const struct upkeep_ops ops = { on_set_evacuating, on_may_terminate,
				       on_send_command, on_changed,
				       on_log_decision };

static void list_all(struct fixture *f, const char *const *states, int n,
		     int64_t now_ms)
{
	static const char *const vms[] = { "m1", "m2", "m3" };

	upkeep_begin_listing(&f->u, now_ms);
	for (int i = 0; i < n; i++)
		upkeep_add_listed(&f->u, vms[i],
				  *states[i] ? UPKEEP_UP : UPKEEP_NOT_UP,
				  states[i]);
	upkeep_end_listing(&f->u, now_ms);
}

static void fixture_init(struct fixture *f, int32_t at_once)
{
	static const char *const vms[] = { "m1", "m2", "m3" };
	struct upkeep_wave wave = { 7, at_once, 60000, 3, vms };

	memset(f, 0, sizeof(*f));
	f->evacuated = g_ptr_array_new_with_free_func(g_free);
	f->commanded = g_ptr_array_new_with_free_func(g_free);
	upkeep_init(&f->u, &ops, f, COMMANDS_FROM_MS);
	upkeep_add(&f->u, &wave, 0);
}

static void fixture_finish(struct fixture *f)
{
	upkeep_finish(&f->u);
	g_ptr_array_free(f->evacuated, TRUE);
	g_ptr_array_free(f->commanded, TRUE);
}

static const char *commanded_at(const struct fixture *f, guint i)
{
	g_assert_cmpuint(i, <, f->commanded->len);
	return g_ptr_array_index(f->commanded, i);
}

static bool is_done(const struct fixture *f)
{
	bool done;

	g_ptr_array_free(upkeep_list_begun(&f->u, 7, &done), TRUE);
	return done;
}

/* No more VMs are down than allowed, and the wave is done once the upkeep of
 * all has begun. */
static void test_wave(void)
{
	static const char *const up[] = { "w1", "w2", "w3" };
	static const char *const one_down[] = { "", "w2", "w3" };
	static const char *const one_back[] = { "w1b", "w2", "w3" };
	struct fixture f;

	fixture_init(&f, 1);
	list_all(&f, up, 3, 50);
	upkeep_step(&f.u, true, 60);
	g_assert_cmpuint(f.commanded->len, ==, 0); /* too early */
	upkeep_step(&f.u, true, 110);
	g_assert_cmpuint(f.commanded->len, ==, 1);
	upkeep_note_result(&f.u, 7, "m1", UPKEEP_BEGUN, 120);
	upkeep_step(&f.u, true, 130);
	list_all(&f, one_down, 3, 1000);
	upkeep_step(&f.u, true, 1010);
	g_assert_cmpuint(f.commanded->len, ==, 1);
	list_all(&f, one_back, 3, 2000);
	upkeep_step(&f.u, true, 2010);
	g_assert_cmpstr(commanded_at(&f, 1), ==, "m2");
	upkeep_note_result(&f.u, 7, "m2", UPKEEP_NOT_IN_WAVE, 2020);
	upkeep_step(&f.u, true, 2030);
	g_assert_false(is_done(&f));
	upkeep_step(&f.u, true, 2040);
	g_assert_cmpstr(commanded_at(&f, 2), ==, "m3");
	upkeep_note_result(&f.u, 7, "m3", UPKEEP_BEGUN, 2050);
	g_assert_true(is_done(&f));
	g_assert_false(upkeep_is_active(&f.u));
	fixture_finish(&f);
}

/* A VM whose command got no answer counts as down; the command is repeated. */
static void test_wave_lost_answer(void)
{
	static const char *const up[] = { "w1", "w2", "w3" };
	struct fixture f;

	fixture_init(&f, 1);
	list_all(&f, up, 3, 100);
	upkeep_step(&f.u, true, 110);
	upkeep_note_result(&f.u, 7, "m1", UPKEEP_UNKNOWN, 2100);
	list_all(&f, up, 3, 2100);
	upkeep_step(&f.u, true, 2110);
	g_assert_cmpuint(f.commanded->len, ==, 1);
	list_all(&f, up, 3, 3200);
	upkeep_step(&f.u, true, 3210);
	g_assert_cmpuint(f.commanded->len, ==, 2);
	g_assert_cmpstr(commanded_at(&f, 1), ==, "m1");
	fixture_finish(&f);
}

/* VMs whose upkeep a previous owner began count as down, whether that was
 * stored or not, and get no other command while down. */
static void test_wave_successor(void)
{
	static const char *const m2_down[] = { "w1b", "", "w3" };
	static const char *const all_up[] = { "w1b", "w2b", "w3" };
	struct fixture f;

	fixture_init(&f, 1);
	upkeep_restore_begun(&f.u, 7, "m1");
	list_all(&f, m2_down, 3, 100);
	upkeep_step(&f.u, true, 110);
	g_assert_cmpuint(f.commanded->len, ==, 0);
	list_all(&f, all_up, 3, 1000);
	upkeep_step(&f.u, false, 1010);
	g_assert_cmpuint(f.commanded->len, ==, 0);
	upkeep_step(&f.u, true, 1020);
	/* m2 gets a command again, since its upkeep was not stored. */
	g_assert_cmpstr(commanded_at(&f, 0), ==, "m2");
	fixture_finish(&f);
}

/* While tasks must not be stopped, may_terminate is called with `late` only
 * once the wave's time runs out. */
static void test_wave_waits(void)
{
	static const char *const up[] = { "w1", "w2", "w3" };
	struct fixture f;

	fixture_init(&f, 3);
	f.has_critical_tasks = true;
	list_all(&f, up, 3, 100);
	upkeep_step(&f.u, true, 110);
	g_assert_cmpuint(f.evacuated->len, ==, 3);
	g_assert_cmpuint(f.commanded->len, ==, 0);
	g_assert_false(f.asked_late);
	list_all(&f, up, 3, 59000);
	upkeep_step(&f.u, true, 59010);
	g_assert_true(f.asked_late);
	fixture_finish(&f);
}

/* Starts three long-running tasks of one step on worker "w" of VM "m1", and
 * adds an idle worker "v". */
static void start_long_running_step(struct sched_fixture *p,
				    int32_t unavailable_max,
				    struct sched_active a[3])
{
	struct jobspec *spec = fixture_spec("a", "short", 1, 3);

	fixture_open(p, 1, NULL);
	fixture_add_worker(p, "w", "r");
	g_strlcpy(fixture_worker(p, "w")->row.vm, "m1", SCHED_ID_MAX);
	fixture_poll(p, "w", NULL, 0, NULL, 0, 10);
	spec->steps[0].is_long_running = true;
	spec->steps[0].cpu_milli = 2000;
	spec->steps[0].unavailable_max = unavailable_max;
	fixture_add_job(p, spec);
	sched_place(&p->s, 20);
	g_assert_cmpuint(p->starts->len, ==, 3);
	for (guint i = 0; i < 3; i++)
		a[i] = fixture_active(fixture_start(p, i), 100);
	fixture_poll(p, "w", a, 3, NULL, 0, 100);
	fixture_add_worker(p, "v", "r");
	fixture_poll(p, "v", NULL, 0, NULL, 0, 110);
}

/* A VM is evacuated within the step's limit of unavailable tasks. */
static void test_evacuates_within_budget(void)
{
	struct sched_active a[3];
	struct sched_end e;
	struct sched_fixture p;

	start_long_running_step(&p, 1, a);
	sched_vm_evacuate(&p.s, "m1", true);
	sched_tick(&p.s, 120, 0);
	g_assert_cmpuint(p.stops->len, ==, 1);
	sched_tick(&p.s, 200, 0);
	g_assert_cmpuint(p.stops->len, ==, 1);
	g_assert_false(sched_vm_may_terminate(&p.s, "m1", true, 200));
	/* The first task has ended and runs on the other worker. */
	e = fixture_end(&g_array_index(p.stops, struct recorded_command, 0), 1,
			SCHED_END_STOPPED);
	fixture_poll(&p, "w", &a[1], 2, &e, 1, 300);
	sched_place(&p.s, 310);
	g_assert_cmpuint(p.starts->len, ==, 4);
	g_assert_cmpstr(fixture_start(&p, 3)->worker, ==, "v");
	sched_tick(&p.s, 320, 0);
	g_assert_cmpuint(p.stops->len, ==, 1);
	a[0] = fixture_active(fixture_start(&p, 3), 100);
	fixture_poll(&p, "v", a, 1, NULL, 0, 400);
	sched_tick(&p.s, 410, 0);
	g_assert_cmpuint(p.stops->len, ==, 2);
	fixture_close(&p);
}

/* Review, no case: a wave commanded the upkeep of two VMs at once, with a task
 * each of a step of which one may be unavailable, since the tasks of the first
 * one still counted as available. */
static void test_commanded_vm_counts(void)
{
	static const char *const ids[] = { "w", "v" };
	static const char *const vms[] = { "m1", "m2" };
	struct jobspec *spec = fixture_long_running("a", 2000, 2);
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	for (guint i = 0; i < 2; i++) {
		fixture_add_worker(&p, ids[i], "r");
		g_strlcpy(fixture_worker(&p, ids[i])->row.vm, vms[i],
			  SCHED_ID_MAX);
		fixture_poll(&p, ids[i], NULL, 0, NULL, 0, 10);
	}
	spec->steps[0].spread_max = 1;
	spec->steps[0].unavailable_max = 1;
	fixture_add_job(&p, spec);
	sched_place(&p.s, 20);
	for (guint i = 0; i < 2; i++) {
		struct sched_active a =
			fixture_active(fixture_start(&p, i), 100);

		fixture_poll(&p, fixture_start(&p, i)->worker, &a, 1, NULL, 0,
			     100);
	}
	g_assert_true(sched_vm_may_terminate(&p.s, "m1", true, 110));
	sched_vm_set_terminating(&p.s, "m1", true);
	g_assert_true(sched_vm_may_terminate(&p.s, "m1", true, 120));
	g_assert_false(sched_vm_may_terminate(&p.s, "m2", true, 120));
	/* The command was rejected. */
	sched_vm_set_terminating(&p.s, "m1", false);
	g_assert_true(sched_vm_may_terminate(&p.s, "m2", true, 130));
	fixture_close(&p);
}

/* Without a limit of unavailable tasks, all tasks of a step move at once. */
static void test_evacuates_without_budget(void)
{
	struct sched_active a[3];
	struct sched_fixture p;

	start_long_running_step(&p, -1, a);
	g_assert_true(sched_vm_may_terminate(&p.s, "m1", true, 110));
	g_assert_false(sched_vm_may_terminate(&p.s, "m1", false, 110));
	sched_vm_evacuate(&p.s, "m1", true);
	sched_tick(&p.s, 120, 0);
	g_assert_cmpuint(p.stops->len, ==, 3);
	fixture_close(&p);
}

/* Valid and invalid rows of waves. */
static void test_wave_row(void)
{
	struct upkeep_wave w;
	void *tmp = talloc_new(NULL);

	g_assert_true(
		pf_vms_decode_wave(tmp,
				   "{\"wave\":3,\"machines\":[\"m1\",\"m2\"],"
				   "\"complete_by_s\":20,\"cap\":2}",
				   &w));
	g_assert_cmpint(w.number, ==, 3);
	g_assert_cmpint(w.within_ms, ==, 20000);
	g_assert_cmpint(w.at_once, ==, 2);
	g_assert_cmpint(w.n_vms, ==, 2);
	g_assert_cmpstr(w.vms[1], ==, "m2");
	g_assert_false(pf_vms_decode_wave(tmp, "{\"wave\":3}", &w));
	g_assert_false(pf_vms_decode_wave(tmp, "nonsense", &w));
	g_assert_false(pf_vms_decode_wave(tmp, NULL, &w));
	talloc_free(tmp);
}

/*
 * Guards against a wave that never ends because it names a VM twice (answers
 * were always matched to the first), against truncated names, which may be
 * those of other VMs, and against undefined casts of numbers out of range.
 */
static void test_wave_row_out_of_range(void)
{
	g_autofree char *vm = g_strnfill(UPKEEP_NAME_MAX, 'm');
	g_autofree char *cut = g_strdup_printf(
		"{\"wave\":3,\"machines\":[\"%s\"],\"cap\":1}", vm);
	struct upkeep_wave w;
	void *tmp = talloc_new(NULL);

	g_assert_true(
		pf_vms_decode_wave(tmp,
				   "{\"wave\":3,\"machines\":[\"m1\",\"m2\","
				   "\"m1\"],\"complete_by_s\":1e300,"
				   "\"cap\":4294967295}",
				   &w));
	g_assert_cmpint(w.n_vms, ==, 2);
	g_assert_cmpint(w.at_once, >, 1);
	g_assert_cmpint(w.within_ms, >, 0);
	g_assert_cmpint(w.within_ms, <, INT64_MAX / 1000);
	g_assert_false(pf_vms_decode_wave(tmp, cut, &w));
	g_assert_false(
		pf_vms_decode_wave(tmp, "{\"wave\":3,\"machines\":[7]}", &w));
	g_assert_false(pf_vms_decode_wave(
		tmp, "{\"wave\":1e300,\"machines\":[]}", &w));
	g_assert_false(
		pf_vms_decode_wave(tmp, "{\"wave\":2.5,\"machines\":[]}", &w));
	talloc_free(tmp);
}

void unit_add_upkeep(void)
{
	g_test_add_func("/upkeep/commanded-vm-counts",
			test_commanded_vm_counts);
	g_test_add_func("/upkeep/wave", test_wave);
	g_test_add_func("/upkeep/lost-answer", test_wave_lost_answer);
	g_test_add_func("/upkeep/successor", test_wave_successor);
	g_test_add_func("/upkeep/waits", test_wave_waits);
	g_test_add_func("/upkeep/empties-within-budget",
			test_evacuates_within_budget);
	g_test_add_func("/upkeep/empties-without-budget",
			test_evacuates_without_budget);
	g_test_add_func("/upkeep/row", test_wave_row);
	g_test_add_func("/upkeep/row-broken", test_wave_row_out_of_range);
}
