/* Waves of upkeep and the taking of work off VMs, on paper. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "coordination/upkeep.h"
#include "platform/pf_vms.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

#define ORDERS_FROM_MS 100

/* What a wave asked for, in order. */
struct site {
	struct upkeep u;
	GPtrArray *emptied;
	GPtrArray *ordered;
	bool holds; /* something there must not be ended */
	bool asked_late;
};

static void on_empty(void *priv, const char *vm, bool on)
{
	struct site *s = priv;

	if (on)
		g_ptr_array_add(s->emptied, g_strdup(vm));
}

static bool on_may_end(void *priv, const char *vm, bool late)
{
	struct site *s = priv;

	(void)vm;
	s->asked_late |= late;
	return !s->holds;
}

static void on_order(void *priv, int64_t wave, const char *vm)
{
	struct site *s = priv;

	(void)wave;
	g_ptr_array_add(s->ordered, g_strdup(vm));
}

static void on_touched(void *priv, int64_t wave)
{
	(void)priv;
	(void)wave;
}

static void on_note(void *priv, const char *what, int64_t wave, const char *vm)
{
	(void)priv;
	(void)what;
	(void)wave;
	(void)vm;
}

static const struct upkeep_ops ops = { on_empty, on_may_end, on_order,
				       on_touched, on_note };

static void list_all(struct site *s, const char *const *states, int n,
		     int64_t now_ms)
{
	static const char *const vms[] = { "m1", "m2", "m3" };

	upkeep_list_begins(&s->u);
	for (int i = 0; i < n; i++)
		upkeep_listed(&s->u, vms[i],
			      *states[i] ? UPKEEP_UP : UPKEEP_AWAY, states[i]);
	upkeep_list_ends(&s->u, now_ms);
}

static void site_open(struct site *s, int32_t at_once)
{
	static const char *const vms[] = { "m1", "m2", "m3" };
	struct upkeep_wave wave = { 7, at_once, 60000, 3, vms };

	memset(s, 0, sizeof(*s));
	s->emptied = g_ptr_array_new_with_free_func(g_free);
	s->ordered = g_ptr_array_new_with_free_func(g_free);
	upkeep_init(&s->u, &ops, s, ORDERS_FROM_MS);
	upkeep_add(&s->u, &wave, 0);
}

static void site_close(struct site *s)
{
	upkeep_finish(&s->u);
	g_ptr_array_free(s->emptied, TRUE);
	g_ptr_array_free(s->ordered, TRUE);
}

static const char *ordered_at(const struct site *s, guint i)
{
	g_assert_cmpuint(i, <, s->ordered->len);
	return g_ptr_array_index(s->ordered, i);
}

static bool is_over(const struct site *s)
{
	bool over;

	g_ptr_array_free(upkeep_begun(&s->u, 7, &over), TRUE);
	return over;
}

/* Never more than the wave allows are down, and it is over once all began. */
static void test_wave(void)
{
	static const char *const up[] = { "w1", "w2", "w3" };
	static const char *const one_down[] = { "", "w2", "w3" };
	static const char *const one_back[] = { "w1b", "w2", "w3" };
	struct site s;

	site_open(&s, 1);
	list_all(&s, up, 3, 50);
	upkeep_step(&s.u, true, 60);
	g_assert_cmpuint(s.ordered->len, ==, 0); /* a former owner's time */
	upkeep_step(&s.u, true, 110);
	g_assert_cmpuint(s.ordered->len, ==, 1);
	upkeep_answered(&s.u, 7, "m1", UPKEEP_BEGUN, 120);
	upkeep_step(&s.u, true, 130);
	list_all(&s, one_down, 3, 1000);
	upkeep_step(&s.u, true, 1010);
	g_assert_cmpuint(s.ordered->len, ==, 1);
	list_all(&s, one_back, 3, 2000);
	upkeep_step(&s.u, true, 2010);
	g_assert_cmpstr(ordered_at(&s, 1), ==, "m2");
	upkeep_answered(&s.u, 7, "m2", UPKEEP_NOT_OF_WAVE, 2020);
	upkeep_step(&s.u, true, 2030);
	g_assert_false(is_over(&s));
	upkeep_step(&s.u, true, 2040);
	g_assert_cmpstr(ordered_at(&s, 2), ==, "m3");
	upkeep_answered(&s.u, 7, "m3", UPKEEP_BEGUN, 2050);
	g_assert_true(is_over(&s));
	g_assert_false(upkeep_active(&s.u));
	site_close(&s);
}

/* An order without answer holds its place until it is given again. */
static void test_wave_lost_answer(void)
{
	static const char *const up[] = { "w1", "w2", "w3" };
	struct site s;

	site_open(&s, 1);
	list_all(&s, up, 3, 100);
	upkeep_step(&s.u, true, 110);
	upkeep_answered(&s.u, 7, "m1", UPKEEP_UNKNOWN, 2100);
	list_all(&s, up, 3, 2100);
	upkeep_step(&s.u, true, 2110);
	g_assert_cmpuint(s.ordered->len, ==, 1);
	list_all(&s, up, 3, 3200);
	upkeep_step(&s.u, true, 3210);
	g_assert_cmpuint(s.ordered->len, ==, 2);
	g_assert_cmpstr(ordered_at(&s, 1), ==, "m1");
	site_close(&s);
}

/* What a former owner began counts as down, written down or not, and isn't
 * begun again. */
static void test_wave_successor(void)
{
	static const char *const m2_away[] = { "w1b", "", "w3" };
	static const char *const all_up[] = { "w1b", "w2b", "w3" };
	struct site s;

	site_open(&s, 1);
	upkeep_restore(&s.u, 7, "m1");
	list_all(&s, m2_away, 3, 100);
	upkeep_step(&s.u, true, 110);
	g_assert_cmpuint(s.ordered->len, ==, 0);
	list_all(&s, all_up, 3, 1000);
	upkeep_step(&s.u, false, 1010);
	g_assert_cmpuint(s.ordered->len, ==, 0);
	upkeep_step(&s.u, true, 1020);
	/* Given again, it is answered as begun. */
	g_assert_cmpstr(ordered_at(&s, 0), ==, "m2");
	site_close(&s);
}

/* What holds a VM is ended only when the wave's time runs out. */
static void test_wave_waits(void)
{
	static const char *const up[] = { "w1", "w2", "w3" };
	struct site s;

	site_open(&s, 3);
	s.holds = true;
	list_all(&s, up, 3, 100);
	upkeep_step(&s.u, true, 110);
	g_assert_cmpuint(s.emptied->len, ==, 3);
	g_assert_cmpuint(s.ordered->len, ==, 0);
	g_assert_false(s.asked_late);
	list_all(&s, up, 3, 59000);
	upkeep_step(&s.u, true, 59010);
	g_assert_true(s.asked_late);
	site_close(&s);
}

/* Three lasting tasks of one step, two on one worker; one may be away. */
static void lasting_step(struct sched_fixture *p, int32_t unavailable_max,
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

/* A VM is emptied task by task, as far as the step can spare them. */
static void test_empties_within_budget(void)
{
	struct sched_active a[3];
	struct sched_end e;
	struct sched_fixture p;

	lasting_step(&p, 1, a);
	sched_vm_evacuate(&p.s, "m1", true);
	sched_tick(&p.s, 120, 0);
	g_assert_cmpuint(p.stops->len, ==, 1);
	sched_tick(&p.s, 200, 0);
	g_assert_cmpuint(p.stops->len, ==, 1);
	g_assert_false(sched_vm_may_terminate(&p.s, "m1", true, 200));
	/* The first has ended and is at work elsewhere. */
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

/* Steps without a budget leave at once; a VM that is put back keeps the rest.
 */
static void test_empties_without_budget(void)
{
	struct sched_active a[3];
	struct sched_fixture p;

	lasting_step(&p, -1, a);
	g_assert_true(sched_vm_may_terminate(&p.s, "m1", true, 110));
	g_assert_false(sched_vm_may_terminate(&p.s, "m1", false, 110));
	sched_vm_evacuate(&p.s, "m1", true);
	sched_tick(&p.s, 120, 0);
	g_assert_cmpuint(p.stops->len, ==, 3);
	fixture_close(&p);
}

/* The platform's row of a wave, good and bad. */
static void test_wave_row(void)
{
	struct upkeep_wave w;
	void *tmp = talloc_new(NULL);

	g_assert_true(pf_vms_wave(tmp,
				  "{\"wave\":3,\"machines\":[\"m1\",\"m2\"],"
				  "\"complete_by_s\":20,\"cap\":2}",
				  &w));
	g_assert_cmpint(w.number, ==, 3);
	g_assert_cmpint(w.within_ms, ==, 20000);
	g_assert_cmpint(w.at_once, ==, 2);
	g_assert_cmpint(w.n_vms, ==, 2);
	g_assert_cmpstr(w.vms[1], ==, "m2");
	g_assert_false(pf_vms_wave(tmp, "{\"wave\":3}", &w));
	g_assert_false(pf_vms_wave(tmp, "nonsense", &w));
	g_assert_false(pf_vms_wave(tmp, NULL, &w));
	talloc_free(tmp);
}

/*
 * Failure: a wave that named a VM twice never came to its end, since answers
 * about it were always taken for the first; names that were cut could be those
 * of other VMs, and numbers beyond their range were cast.
 */
static void test_wave_row_broken(void)
{
	g_autofree char *vm = g_strnfill(UPKEEP_NAME_MAX, 'm');
	g_autofree char *cut = g_strdup_printf(
		"{\"wave\":3,\"machines\":[\"%s\"],\"cap\":1}", vm);
	struct upkeep_wave w;
	void *tmp = talloc_new(NULL);

	g_assert_true(pf_vms_wave(tmp,
				  "{\"wave\":3,\"machines\":[\"m1\",\"m2\","
				  "\"m1\"],\"complete_by_s\":1e300,"
				  "\"cap\":4294967295}",
				  &w));
	g_assert_cmpint(w.n_vms, ==, 2);
	g_assert_cmpint(w.at_once, >, 1);
	g_assert_cmpint(w.within_ms, >, 0);
	g_assert_cmpint(w.within_ms, <, INT64_MAX / 1000);
	g_assert_false(pf_vms_wave(tmp, cut, &w));
	g_assert_false(pf_vms_wave(tmp, "{\"wave\":3,\"machines\":[7]}", &w));
	g_assert_false(
		pf_vms_wave(tmp, "{\"wave\":1e300,\"machines\":[]}", &w));
	g_assert_false(pf_vms_wave(tmp, "{\"wave\":2.5,\"machines\":[]}", &w));
	talloc_free(tmp);
}

void unit_add_upkeep(void)
{
	g_test_add_func("/upkeep/wave", test_wave);
	g_test_add_func("/upkeep/lost-answer", test_wave_lost_answer);
	g_test_add_func("/upkeep/successor", test_wave_successor);
	g_test_add_func("/upkeep/waits", test_wave_waits);
	g_test_add_func("/upkeep/empties-within-budget",
			test_empties_within_budget);
	g_test_add_func("/upkeep/empties-without-budget",
			test_empties_without_budget);
	g_test_add_func("/upkeep/row", test_wave_row);
	g_test_add_func("/upkeep/row-broken", test_wave_row_broken);
}
