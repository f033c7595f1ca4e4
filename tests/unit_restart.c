/* Tests which VM gets a shard while VMs restart, with an in-memory store. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "tests/owners.h"
#include "tests/unit.h"

#define FLEET_VMS 9
/* A tenth of the time that the platform's VMs take to drain and restart. */
#define RESTART_MS 300
/* How long a stopping owner waits for a restarted VM. */
#define SUCCESSOR_WAIT_MS 350
#define STEP_MS 10

/* The order in which a rolling restart stops the VMs. */
enum stop_order {
	STOP_AS_STARTED,
	STOP_LAST_STARTED_FIRST,
	STOP_OWNER_FIRST, /* unless it was restarted already */
};

struct restart_plan {
	enum stop_order order;
	int at_once;
	int64_t gap_ms;
	bool started_long_ago; /* all VMs, before the restart */
	int handovers_max; /* limit of changes of owner */
};

/* A VM whose process is restarted once. */
struct fleet_vm {
	char name[8];
	struct candidate runs[2];
	int64_t stopped_ms; /* 0: not yet stopped */
	bool restarted;
};

static bool vm_leads(const struct fleet_vm *vm)
{
	return owner_owns_shard(vm->runs[0].owner) ||
	       (vm->restarted && owner_owns_shard(vm->runs[1].owner));
}

static struct fleet_vm *next_to_stop(struct fleet_vm *vms,
				     enum stop_order order)
{
	struct fleet_vm *next = NULL;

	for (int i = 0; i < FLEET_VMS; i++) {
		struct fleet_vm *vm = &vms[i];

		if (vm->stopped_ms)
			continue;
		if (order == STOP_OWNER_FIRST && vm_leads(vm))
			return vm;
		if (!next || order == STOP_LAST_STARTED_FIRST)
			next = vm;
	}
	return next;
}

static int total_gained(const struct fleet_vm *vms)
{
	int n = 0;

	for (int i = 0; i < FLEET_VMS; i++)
		n += vms[i].runs[0].gained + vms[i].runs[1].gained;
	return n;
}

static void restart_stopped(struct owner_fixture *f, struct fleet_vm *vms,
			    int64_t now)
{
	for (int i = 0; i < FLEET_VMS; i++) {
		struct fleet_vm *vm = &vms[i];

		/* An owner's process ends only after it released the shard. */
		if (!vm->stopped_ms || vm->restarted ||
		    now - vm->stopped_ms < RESTART_MS ||
		    owner_owns_shard(vm->runs[0].owner))
			continue;
		candidate_start(f, &vm->runs[1], vm->name, "2");
		vm->restarted = true;
	}
}

static void stop_next(struct fleet_vm *vms, const struct restart_plan *r,
		      int64_t now)
{
	for (int k = 0; k < r->at_once; k++) {
		struct fleet_vm *vm = next_to_stop(vms, r->order);

		if (!vm)
			return;
		vm->stopped_ms = now;
		owner_release(vm->runs[0].owner, SUCCESSOR_WAIT_MS);
	}
}

static void run_plan(struct owner_fixture *f, struct fleet_vm *vms,
		     const struct restart_plan *r)
{
	int64_t next = clk_mono_ms(&clk_system);

	while (next_to_stop(vms, r->order)) {
		int64_t now = clk_mono_ms(&clk_system);

		restart_stopped(f, vms, now);
		if (now >= next) {
			stop_next(vms, r, now);
			next += r->gap_ms;
		}
		run_loop_for(f, STEP_MS);
	}
}

static int count_handovers(const struct restart_plan *r)
{
	struct fleet_vm vms[FLEET_VMS] = { 0 };
	struct owner_fixture f;
	int gained;

	owner_fixture_open(&f);
	for (int i = 0; i < FLEET_VMS; i++) {
		snprintf(vms[i].name, sizeof(vms[i].name), "vm%d", i);
		candidate_start(&f, &vms[i].runs[0], vms[i].name, "1");
		run_loop_for(&f, STEP_MS);
	}
	run_loop_for(&f, 200);
	g_assert_cmpint(total_gained(vms), ==, 1);
	if (r->started_long_ago)
		f.store.clock_ahead_ms = 3600 * 1000;
	run_plan(&f, vms, r);
	run_loop_for(&f, 2 * RESTART_MS);
	gained = total_gained(vms);
	owner_fixture_close(&f);
	return gained - 1;
}

/*
 * Guards against needless handovers: in one rolling restart of nine VMs the
 * owner changed six times, each time to a VM that was about to be stopped.
 */
static void test_rolling_restart(void)
{
	static const struct restart_plan plans[] = {
		{ STOP_AS_STARTED, 1, 350, false, 2 },
		{ STOP_AS_STARTED, 1, 350, true, 2 },
		{ STOP_LAST_STARTED_FIRST, 1, 350, false, 2 },
		{ STOP_LAST_STARTED_FIRST, 1, 350, true, 2 },
		{ STOP_OWNER_FIRST, 1, 350, false, 2 },
		{ STOP_OWNER_FIRST, 1, 350, true, 2 },
		{ STOP_OWNER_FIRST, 3, 350, true, 2 },
		/* The next VMs stop before the first one is up again. */
		{ STOP_OWNER_FIRST, 3, 200, true, 2 },
		{ STOP_OWNER_FIRST, 2, 100, true, 2 },
		{ STOP_OWNER_FIRST, 1, 100, true, 2 },
		{ STOP_AS_STARTED, 2, 100, true, 2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(plans); i++) {
		int handovers = count_handovers(&plans[i]);

		g_test_message("plan %zu: %d handovers", i, handovers);
		g_assert_cmpint(handovers, <=, plans[i].handovers_max);
	}
}

/* Writes an incarnation's row as its VM does. */
static void put_incarnation(struct owner_fixture *f, const char *vm,
			    int64_t age_ms, int cpu_milli, int rtt_ms)
{
	g_autofree char *text = g_strdup_printf(
		"{\"life\":\"1\",\"started_ms\":%" G_GINT64_FORMAT
		",\"strength_milli\":%d,\"trip_ms\":%d}",
		clk_mono_ms(&clk_system) - age_ms, cpu_milli, rtt_ms);

	fake_rows_put(&f->store, "lives", "lives-s0", vm, text);
}

/* Starts an owner and stops it; returns the row that it leaves. */
static const char *released_row(struct owner_fixture *f, struct candidate *c)
{
	candidate_start(f, c, "a", "1");
	wait_for_count(f, &c->gained, 1);
	owner_release(c->owner, 0);
	wait_for_count(f, &c->lost, 1);
	return fake_rows_get(&f->store, "owners", "s0", "owner");
}

struct listed_vm {
	const char *vm;
	int64_t age_ms;
	int cpu_milli;
	int rtt_ms;
};

/*
 * Guards against a bad successor: the VM restarted last may have 0.07 of a core
 * where others have half a core, have a long round trip to the store, or have
 * been restarted so long ago that it may be the next to stop. Rows that can't
 * be parsed are ignored.
 */
static void test_choice_of_successor(void)
{
	static const struct {
		struct listed_vm vms[3];
		const char *chosen; /* NULL: none */
	} cases[] = {
		{ { { "b", 9000, 500, 1 }, { "c", 4000, 500, 1 } }, "c" },
		{ { { "b", 9000, 500, 1 }, { "c", 4000, 70, 1 } }, "b" },
		{ { { "b", 9000, 500, 1 }, { "c", 4000, 500, 900 } }, "b" },
		{ { { "a", 100, 500, 1 }, { "c", 29000, 250, 1 } }, "c" },
		{ { { "b", 60000, 500, 1 }, { "c", 31000, 500, 1 } }, NULL },
		{ { { "b", 4000, 70, 1 } }, NULL },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *named = NULL;
		const char *row;
		struct owner_fixture f;
		struct candidate c;

		owner_fixture_open(&f);
		fake_rows_put(&f.store, "lives", "lives-s0", "z", "{}");
		fake_rows_put(&f.store, "lives", "lives-s0", "zz", "\xff[");
		for (int k = 0; k < 3 && cases[i].vms[k].vm; k++)
			put_incarnation(&f, cases[i].vms[k].vm,
					cases[i].vms[k].age_ms,
					cases[i].vms[k].cpu_milli,
					cases[i].vms[k].rtt_ms);
		row = released_row(&f, &c);
		named = g_strdup_printf("\"successor\":\"%s\"",
					cases[i].chosen ? cases[i].chosen : "");
		g_test_message("case %zu: %s", i, row);
		if (cases[i].chosen)
			g_assert_nonnull(strstr(row, named));
		else
			g_assert_null(strstr(row, "successor"));
		owner_fixture_close(&f);
	}
}

/* Guards against naming a successor that was restarted last but is stopping. */
static void test_stopping_vm_is_not_named(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate second;

	owner_fixture_open(&f);
	put_incarnation(&f, "c", 4000, 500, 1);
	candidate_start(&f, &first, "a", "1");
	wait_for_count(&f, &first.gained, 1);
	candidate_start(&f, &second, "b", "1");
	run_loop_for(&f, 100);
	g_assert_nonnull(fake_rows_get(&f.store, "lives", "lives-s0", "b"));
	owner_release(second.owner, 0);
	run_loop_for(&f, 20);
	g_assert_null(fake_rows_get(&f.store, "lives", "lives-s0", "b"));
	owner_release(first.owner, 0);
	wait_for_count(&f, &first.lost, 1);
	g_assert_nonnull(
		strstr(fake_rows_get(&f.store, "owners", "s0", "owner"),
		       "\"successor\":\"c\""));
	owner_fixture_close(&f);
}

/* Starts two VMs, the first as owner, and makes both starts look old. */
static void open_with_two_vms(struct owner_fixture *f, struct candidate *first,
			      struct candidate *second)
{
	owner_fixture_open(f);
	candidate_start(f, first, "a", "1");
	wait_for_count(f, &first->gained, 1);
	candidate_start(f, second, "b", "1");
	run_loop_for(f, 100);
	f->store.clock_ahead_ms = 3600 * 1000;
}

/*
 * The owner is the first VM to be stopped, so no other was restarted yet. It
 * goes on until one is, and then hands the shard over to that VM at once.
 */
static void test_owner_waits_for_a_vm_that_is_back(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate second;
	struct candidate third;
	int64_t start_ms;

	open_with_two_vms(&f, &first, &second);
	owner_release(first.owner, 2000);
	first.committed = 0;
	run_loop_for(&f, 300);
	g_assert_true(owner_owns_shard(first.owner));
	g_assert_cmpint(first.releasing, ==, 0);
	g_assert_cmpint(first.committed, >, 1);
	start_ms = clk_mono_ms(&clk_system);
	candidate_start(&f, &third, "c", "2");
	wait_for_count(&f, &third.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - start_ms, <, SILENCE_MS / 2);
	g_assert_cmpint(first.releasing, ==, 1);
	g_assert_cmpint(second.gained, ==, 0);
	owner_fixture_close(&f);
}

/*
 * Guards against a long time without an owner, when the restarted VM polled
 * just before it was named and claims only at its next poll.
 */
static void test_named_vm_claims_soon(void)
{
	static const struct owner_limits lim = { .poll_ms = 400,
						 .silence_ms = SILENCE_MS,
						 .heartbeat_ms = 50,
						 .commit_gap_ms = 5,
						 .claim_delay_ms = 1,
						 .cpu_milli = 500 };
	struct owner_fixture f;
	struct candidate first = { 0 };
	struct candidate third = { 0 };
	struct rows rows;
	int64_t lost;

	owner_fixture_open(&f);
	rows = fake_rows_iface(&f.store);
	first.owner = owner_start(f.ev, &rows, f.timers, &clk_system, 0, "a",
				  "1", &lim, &candidate_ops, &first);
	wait_for_count(&f, &first.gained, 1);
	f.store.clock_ahead_ms = 3600 * 1000;
	owner_release(first.owner, 2000);
	run_loop_for(&f, 50);
	third.owner = owner_start(f.ev, &rows, f.timers, &clk_system, 0, "c",
				  "2", &lim, &candidate_ops, &third);
	wait_for_count(&f, &first.lost, 1);
	lost = clk_mono_ms(&clk_system);
	wait_for_count(&f, &third.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - lost, <, lim.poll_ms / 2);
	owner_fixture_close(&f);
}

/* The owner is the only VM being restarted: another claims after the wait. */
static void test_no_vm_is_restarted(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate second;
	int64_t start_ms;

	for (int silent = 0; silent < 2; silent++) {
		open_with_two_vms(&f, &first, &second);
		if (silent)
			f.store.unanswered_table = "lives";
		start_ms = clk_mono_ms(&clk_system);
		owner_release(first.owner, 300);
		wait_for_count(&f, &second.gained, 1);
		g_assert_cmpint(clk_mono_ms(&clk_system) - start_ms, >=, 300);
		g_assert_cmpint(clk_mono_ms(&clk_system) - start_ms, <, 500);
		g_assert_cmpint(first.lost, ==, 1);
		g_assert_cmpint(first.releasing, ==, 1);
		owner_fixture_close(&f);
	}
}

/* A stopping owner that becomes short of processor time ends its wait. */
static void test_yield_ends_the_wait(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate second;

	open_with_two_vms(&f, &first, &second);
	owner_release(first.owner, 60000);
	run_loop_for(&f, 50);
	owner_yield(first.owner, 100);
	wait_for_count(&f, &second.gained, 1);
	/* It is stopping, and doesn't claim after the time given. */
	owner_release(second.owner, 0);
	run_loop_for(&f, 400);
	g_assert_cmpint(first.gained, ==, 1);
	g_assert_cmpint(first.lost, ==, 1);
	g_assert_cmpint(first.releasing, ==, 1);
	owner_fixture_close(&f);
}

/* A stopping owner loses the shard during its wait, as its commits fail. */
static void test_loss_ends_the_wait(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate second;

	open_with_two_vms(&f, &first, &second);
	owner_release(first.owner, 1500);
	f.store.refused_text = "\"vm\":\"a\"";
	wait_for_count(&f, &second.gained, 1);
	f.store.refused_text = NULL;
	wait_for_count(&f, &first.lost, 1);
	run_loop_for(&f, 1000);
	g_assert_cmpint(first.releasing, ==, 0);
	g_assert_true(owner_owns_shard(second.owner));
	owner_fixture_close(&f);
}

/* A VM is told to stop while its claim is in flight or fails. */
static void test_stop_while_claiming(void)
{
	for (int refused = 0; refused < 2; refused++) {
		struct owner_fixture f;
		struct candidate c;

		owner_fixture_open(&f);
		if (refused)
			f.store.refused_text = "\"vm\":\"a\"";
		candidate_start(&f, &c, "a", "1");
		/* Its incarnation's row, then the claim. */
		while (f.store.commits < 2)
			tevent_loop_once(f.ev);
		f.store.refused_text = NULL;
		g_assert_cmpint(c.gained, ==, 0);
		owner_release(c.owner, 60000);
		run_loop_for(&f, 300);
		g_assert_false(owner_owns_shard(c.owner));
		g_assert_cmpint(c.gained, ==, refused ? 0 : 1);
		g_assert_cmpint(c.lost, ==, c.gained);
		owner_fixture_close(&f);
	}
}

/* Guards against naming a VM that yielded the shard for lack of CPU time. */
static void test_yielding_vm_is_not_named(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate second;

	owner_fixture_open(&f);
	candidate_start(&f, &first, "a", "1");
	wait_for_count(&f, &first.gained, 1);
	candidate_start(&f, &second, "b", "1");
	run_loop_for(&f, 100);
	owner_yield(first.owner, 200);
	wait_for_count(&f, &second.gained, 1);
	run_loop_for(&f, 400);
	owner_release(second.owner, 0);
	wait_for_count(&f, &second.lost, 1);
	g_assert_null(strstr(fake_rows_get(&f.store, "owners", "s0", "owner"),
			     "successor"));
	wait_for_count(&f, &first.gained, 2);
	owner_fixture_close(&f);
}

/*
 * If the named successor is down or can't reach the store, others claim later
 * than it would, but sooner than from a silent owner.
 */
static void test_successor_is_gone(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate second;
	int64_t start_ms;

	owner_fixture_open(&f);
	candidate_start(&f, &first, "a", "1");
	wait_for_count(&f, &first.gained, 1);
	candidate_start(&f, &second, "b", "1");
	run_loop_for(&f, 100);
	/* By the store's clock, this VM started after all others. */
	put_incarnation(&f, "ghost", 0, 500, 1);
	start_ms = clk_mono_ms(&clk_system);
	owner_release(first.owner, 0);
	wait_for_count(&f, &second.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - start_ms, <, SILENCE_MS / 2);
	g_assert_cmpint(clk_mono_ms(&clk_system) - start_ms, >=, 30);
	/* The new owner's row names no successor. */
	g_assert_null(strstr(fake_rows_get(&f.store, "owners", "s0", "owner"),
			     "successor"));
	owner_fixture_close(&f);
}

/* A release doesn't wait for an unanswered read of the incarnations. */
static void test_release_without_list(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate second;
	int64_t start_ms;

	owner_fixture_open(&f);
	f.store.unanswered_table = "lives";
	candidate_start(&f, &first, "a", "1");
	wait_for_count(&f, &first.gained, 1);
	candidate_start(&f, &second, "b", "1");
	run_loop_for(&f, 100);
	start_ms = clk_mono_ms(&clk_system);
	owner_release(first.owner, 0);
	wait_for_count(&f, &second.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - start_ms, <, SILENCE_MS / 2);
	owner_fixture_close(&f);
}

/* If the write of its incarnation's row fails, a VM retries it while it isn't
 * the owner. */
static void test_start_is_published_in_the_end(void)
{
	struct owner_fixture f;
	struct candidate c;

	owner_fixture_open(&f);
	f.store.refused_text = "started_ms";
	candidate_start(&f, &c, "a", "1");
	run_loop_for(&f, 100);
	g_assert_null(fake_rows_get(&f.store, "lives", "lives-s0", "a"));
	g_assert_cmpint(c.gained, ==, 1);
	owner_fixture_close(&f);
	owner_fixture_open(&f);
	fake_rows_put(&f.store, "owners", "s0", "owner",
		      "{\"vm\":\"x\",\"epoch\":4}");
	f.store.refused_text = "started_ms";
	candidate_start(&f, &c, "a", "1");
	run_loop_for(&f, 100);
	f.store.refused_text = NULL;
	run_loop_for(&f, 100);
	g_assert_nonnull(fake_rows_get(&f.store, "lives", "lives-s0", "a"));
	owner_fixture_close(&f);
}

void unit_add_restart(void)
{
	g_test_add_func("/restart/rolling-restart", test_rolling_restart);
	g_test_add_func("/restart/choice-of-successor",
			test_choice_of_successor);
	g_test_add_func("/restart/stopping-vm-is-not-named",
			test_stopping_vm_is_not_named);
	g_test_add_func("/restart/owner-waits-for-a-vm-that-is-back",
			test_owner_waits_for_a_vm_that_is_back);
	g_test_add_func("/restart/named-vm-claims-soon",
			test_named_vm_claims_soon);
	g_test_add_func("/restart/nobody-is-back", test_no_vm_is_restarted);
	g_test_add_func("/restart/yield-ends-the-wait",
			test_yield_ends_the_wait);
	g_test_add_func("/restart/loss-ends-the-wait", test_loss_ends_the_wait);
	g_test_add_func("/restart/stop-while-claiming",
			test_stop_while_claiming);
	g_test_add_func("/restart/yielding-vm-is-not-named",
			test_yielding_vm_is_not_named);
	g_test_add_func("/restart/successor-is-gone", test_successor_is_gone);
	g_test_add_func("/restart/release-without-list",
			test_release_without_list);
	g_test_add_func("/restart/start-is-told-in-the-end",
			test_start_is_published_in_the_end);
}
