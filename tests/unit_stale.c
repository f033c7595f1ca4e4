/* Decisions on what was read from others: lists that are incomplete or older
 * than the event in question, and rows that were not read. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "coordination/upkeep.h"
#include "fleet/fleet.h"
#include "pf_vms.h"
#include "tests/fuzz.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

#define WAVE 7

/* A wave of the VMs m1 and m2, and the VMs whose upkeep it commanded. */
struct wave_fixture {
	struct upkeep u;
	GPtrArray *commanded;
};

static void ignore_evacuation(void *priv, const char *vm, bool on)
{
	(void)priv;
	(void)vm;
	(void)on;
}

static bool always_may_terminate(void *priv, const char *vm, bool late)
{
	(void)priv;
	(void)vm;
	(void)late;
	return true;
}

static void record_command(void *priv, int64_t wave, const char *vm)
{
	struct wave_fixture *f = priv;

	(void)wave;
	g_ptr_array_add(f->commanded, g_strdup(vm));
}

static void ignore_change(void *priv, int64_t wave)
{
	(void)priv;
	(void)wave;
}

static void ignore_decision(void *priv, const char *what, int64_t wave,
			    const char *vm)
{
	(void)priv;
	(void)what;
	(void)wave;
	(void)vm;
}

static const struct upkeep_ops wave_ops = { ignore_evacuation,
					    always_may_terminate,
					    record_command, ignore_change,
					    ignore_decision };

static void wave_open(struct wave_fixture *f, int32_t at_once)
{
	static const char *const vms[] = { "m1", "m2" };
	struct upkeep_wave wave = { WAVE, at_once, 60000, 2, vms };

	f->commanded = g_ptr_array_new_with_free_func(g_free);
	upkeep_init(&f->u, &wave_ops, f, 0);
	upkeep_add(&f->u, &wave, 0);
}

static void wave_close(struct wave_fixture *f)
{
	upkeep_finish(&f->u);
	g_ptr_array_free(f->commanded, TRUE);
}

/* Reads a list with the workers of m1 and m2 and advances the wave. A worker ""
 * means that the VM is down, NULL that the list lacks it. */
static void wave_list(struct wave_fixture *f, const char *w1, const char *w2,
		      int64_t now_ms)
{
	upkeep_begin_listing(&f->u, now_ms);
	if (w1)
		upkeep_add_listed(&f->u, "m1", *w1 ? UPKEEP_UP : UPKEEP_NOT_UP,
				  w1);
	if (w2)
		upkeep_add_listed(&f->u, "m2", *w2 ? UPKEEP_UP : UPKEEP_NOT_UP,
				  w2);
	upkeep_end_listing(&f->u, now_ms);
	upkeep_step(&f->u, true, now_ms);
}

static bool wave_is_done(const struct wave_fixture *f)
{
	bool done;

	g_ptr_array_free(upkeep_list_begun(&f->u, WAVE, &done), TRUE);
	return done;
}

/*
 * Guards against a wave that is reported as done before the upkeep of a VM
 * (MIXED): the VM was between two pages while the list was read.
 */
static void test_missing_from_one_list(void)
{
	struct wave_fixture f;

	wave_open(&f, 2);
	wave_list(&f, "w1", NULL, 1000);
	upkeep_note_result(&f.u, WAVE, "m1", UPKEEP_BEGUN, 1100);
	g_assert_false(wave_is_done(&f));
	upkeep_step(&f.u, true, 1200);
	g_assert_false(wave_is_done(&f));
	wave_list(&f, "", "w2", 2000);
	g_assert_cmpuint(f.commanded->len, ==, 2);
	upkeep_note_result(&f.u, WAVE, "m2", UPKEEP_BEGUN, 2100);
	g_assert_true(wave_is_done(&f));
	wave_close(&f);
}

/* A VM that two lists lack is not waited for, but has its upkeep if it is
 * listed again before the wave is done. */
static void test_missing_from_two_lists(void)
{
	struct wave_fixture f;

	wave_open(&f, 1);
	wave_list(&f, "w1", NULL, 1000);
	wave_list(&f, "w1", NULL, 2000);
	wave_list(&f, "w1", "w2", 3000);
	upkeep_note_result(&f.u, WAVE, "m1", UPKEEP_BEGUN, 3100);
	g_assert_false(wave_is_done(&f));
	wave_list(&f, "", NULL, 4000);
	wave_list(&f, "", NULL, 5000);
	g_assert_true(wave_is_done(&f));
	wave_close(&f);
}

/*
 * Guards against the same for a VM with a command under way: only the answer
 * says whether its upkeep has begun.
 */
static void test_commanded_and_missing(void)
{
	struct wave_fixture f;

	wave_open(&f, 2);
	wave_list(&f, "w1", "w2", 1000);
	upkeep_note_result(&f.u, WAVE, "m1", UPKEEP_BEGUN, 1100);
	wave_list(&f, "", NULL, 2000);
	wave_list(&f, "", NULL, 3000);
	g_assert_false(wave_is_done(&f));
	upkeep_note_result(&f.u, WAVE, "m2", UPKEEP_NOT_IN_WAVE, 3100);
	g_assert_true(wave_is_done(&f));
	wave_close(&f);
}

/*
 * Guards against more VMs down than allowed (LIMIT): m1 got a new worker before
 * the platform began its upkeep, and a list from in between seemed to show it
 * back.
 */
static void test_list_before_upkeep(void)
{
	struct wave_fixture f;

	wave_open(&f, 1);
	wave_list(&f, "w1", "w2", 1000);
	upkeep_begin_listing(&f.u, 2400);
	upkeep_add_listed(&f.u, "m1", UPKEEP_UP, "w1b");
	upkeep_add_listed(&f.u, "m2", UPKEEP_UP, "w2");
	upkeep_note_result(&f.u, WAVE, "m1", UPKEEP_BEGUN, 2500);
	upkeep_end_listing(&f.u, 2600);
	upkeep_step(&f.u, true, 2600);
	g_assert_cmpuint(f.commanded->len, ==, 1);
	wave_list(&f, "", "w2", 3000);
	g_assert_cmpuint(f.commanded->len, ==, 1);
	wave_list(&f, "w1c", "w2", 4500);
	g_assert_cmpuint(f.commanded->len, ==, 2);
	wave_close(&f);
}

/*
 * Guards against a wave that stands still, and a VM that gets no more tasks: a
 * previous owner had begun the upkeep, so the VM had its new worker before the
 * command, whose answer says just that the upkeep has begun.
 */
static void test_upkeep_over_before_command(void)
{
	struct wave_fixture f;

	wave_open(&f, 1);
	wave_list(&f, "w1b", "w2", 1000);
	upkeep_note_result(&f.u, WAVE, "m1", UPKEEP_BEGUN, 1100);
	wave_list(&f, "w1b", "w2", 2000);
	g_assert_cmpuint(f.commanded->len, ==, 1);
	wave_list(&f, "w1b", "w2", 4000);
	g_assert_cmpuint(f.commanded->len, ==, 2);
	wave_close(&f);
}

static void ignore_vm(const char *vm, enum upkeep_state state,
		      const char *worker, void *priv)
{
	(void)vm;
	(void)state;
	(void)worker;
	(void)priv;
}

static void note_complete(bool complete, void *priv)
{
	*(bool *)priv = complete;
}

/* Returns whether a list of these pages counts as complete. */
static bool is_list_complete(const char *const *pages)
{
	static const struct rows rows;
	struct pf_vms *p = pf_vms_start(NULL, NULL, "", &rows);
	struct vms vms = pf_vms_iface(p);
	bool complete = false;

	vms.ops->list(vms.self, ignore_vm, note_complete, &complete);
	for (int i = 0; pages[i]; i++)
		fuzz_respond(pages[i], strlen(pages[i]));
	talloc_free(p);
	return complete;
}

/*
 * Guards against VMs that seem to have left (MIXED): a page, or an entry of a
 * page, could not be read.
 */
static void test_unreadable_list(void)
{
	static const char last[] =
		"{\"machines\":[{\"machine\":\"m2\",\"state\":\"up\"}]}";
	const char *const good[] = { "{\"machines\":[],\"next_token\":\"a\"}",
				     last, NULL };
	const char *const no_page[] = { "{\"next_token\":\"a\"}", last, NULL };
	const char *const no_name[] = { "{\"machines\":[{\"state\":\"up\"}],"
					"\"next_token\":\"a\"}",
					last, NULL };

	g_assert_true(is_list_complete(good));
	g_assert_false(is_list_complete(no_page));
	g_assert_false(is_list_complete(no_name));
}

/*
 * Guards against upkeep of a VM whose task must stay available (AVAIL): a
 * successor knew the worker from the roster only, which doesn't name its VM,
 * since its entry had expired from the list. So the VM seemed to be empty.
 */
static void test_unlisted_worker_after_takeover(void)
{
	json_t *roster = json_pack("[[s,s,i]]", "w", "1.2.3.4:5", 1);
	struct jobspec *spec = fixture_spec("a", "short", 1, 1);
	struct sched_active a = { .ref = { "a", 0, 0, 0, 1 }, .percent = 100 };
	struct sched_worker_row row = { .id = "w",
					.pool = "p",
					.domain = "d",
					.address = "1.2.3.4:5",
					.vm = "m1",
					.born_ms = 1,
					.total = { 8000, 8000, 0 } };
	struct sched_fixture p;

	fixture_open(&p, 2, NULL);
	sched_roster_restore(&p.s, roster, 0);
	json_decref(roster);
	spec->steps[0].is_long_running = true;
	spec->steps[0].unavailable_max = 0;
	sched_job_add(&p.s, spec, NULL, 5, true, 0, 1000000);
	g_assert_false(sched_vm_may_terminate(&p.s, "m1", true, 10));
	fixture_poll(&p, "w", &a, 1, NULL, 0, 20);
	g_assert_false(sched_vm_may_terminate(&p.s, "m1", true, 30));
	row.vm[1] = '2';
	sched_worker_listed(&p.s, &row, 40);
	g_assert_true(sched_vm_may_terminate(&p.s, "m1", true, 50));
	g_assert_false(sched_vm_may_terminate(&p.s, "m2", true, 50));
	fixture_close(&p);
}

/*
 * Guards against a start at a worker that lacks the label (ROUTE) or the room
 * (LIMIT): a report showed a new incarnation, which may be of another kind, and
 * the list of workers still had the entry of the earlier one.
 */
static void test_row_of_earlier_incarnation(void)
{
	struct jobspec *spec = fixture_spec("a", "short", 1, 1);
	struct sched_report report = { .clock_ms = 5,
				       .born_ms = 2,
				       .sent_ms = 15 };
	struct sched_worker_row row;
	struct sched_worker *w;
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	w = fixture_worker(&p, "w");
	row = w->row;
	for (int i = 0; i < 2; i++) {
		report.fence = w->fence;
		report.clock_ms += 10;
		report.sent_ms += 10;
		sched_poll_answered(&p.s, w, &report, report.sent_ms + 5, 0);
	}
	g_assert_true(w->reconciled);
	g_strlcpy(spec->steps[0].label, "a", JOBSPEC_NAME_MAX);
	fixture_add_job(&p, spec);
	sched_place(&p.s, 50);
	g_assert_cmpuint(p.starts->len, ==, 0);
	row.born_ms = 2;
	sched_worker_listed(&p.s, &row, 60);
	sched_place(&p.s, 70);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
}

static int64_t fake_now_ms;

static struct timespec fake_mono(void *priv)
{
	(void)priv;
	return (struct timespec){ fake_now_ms / 1000,
				  fake_now_ms % 1000 * 1000000 };
}

static int64_t never_silent(const void *self)
{
	(void)self;
	return 0;
}

/*
 * Guards against answers from a configuration of any age (CONFIG): the store
 * answered all calls but those that report changes of the configuration.
 */
static void test_old_configuration(void)
{
	static const struct clk clk = { fake_mono, fake_mono, NULL };
	static const struct rows_ops rows_ops = { .silent_ms = never_silent };
	struct fleet_settings set = { .vm = "a" };
	struct fleet_interfaces interfaces = { .rows = { &rows_ops, NULL } };
	struct fleet f;

	fleet_init(&f, &set, tevent_context_init(NULL), NULL, &clk,
		   &interfaces);
	fake_now_ms = 100000;
	g_assert_false(fleet_is_ready(&f));
	fleet_set_catalog(&f, talloc_zero(f.ev, struct catalog));
	fleet_config_synced(&f);
	fake_now_ms += 2000;
	g_assert_true(fleet_is_ready(&f));
	g_assert_true(fleet_config_is_current(&f));
	fake_now_ms += 3000;
	g_assert_false(fleet_is_ready(&f));
	g_assert_false(fleet_config_is_current(&f));
	fleet_config_synced(&f);
	g_assert_true(fleet_is_ready(&f));
	g_hash_table_destroy(f.domains_out);
	g_hash_table_destroy(f.waves);
	talloc_free(f.ev);
}

void unit_add_stale(void)
{
	g_test_add_func("/stale/vm-missing-once", test_missing_from_one_list);
	g_test_add_func("/stale/vm-missing-twice", test_missing_from_two_lists);
	g_test_add_func("/stale/commanded-vm-missing",
			test_commanded_and_missing);
	g_test_add_func("/stale/list-before-upkeep", test_list_before_upkeep);
	g_test_add_func("/stale/upkeep-over-before-command",
			test_upkeep_over_before_command);
	g_test_add_func("/stale/unlisted-worker-after-takeover",
			test_unlisted_worker_after_takeover);
	g_test_add_func("/stale/old-configuration", test_old_configuration);
	g_test_add_func("/stale/row-of-earlier-incarnation",
			test_row_of_earlier_incarnation);
	g_test_add_func("/stale/unreadable-list", test_unreadable_list);
}
