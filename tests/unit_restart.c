/* Who gets a shard while VMs are restarted, against a store in memory. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "tests/owners.h"
#include "tests/unit.h"

#define FLEET_VMS 9
/* A tenth of what VMs of the platform take: drained, ended, started anew. */
#define RESTART_MS 300
/* An owner that stops has this long to wait for a VM that is back. */
#define SUCCESSOR_WAIT_MS 350
#define STEP_MS 10

/* Which VM a rolling restart takes next. */
enum stop_order {
	STOP_AS_STARTED,
	STOP_LAST_STARTED_FIRST,
	STOP_OWNER_FIRST, /* whenever it hasn't been restarted yet */
};

struct restart_plan {
	enum stop_order order;
	int at_once;
	int64_t gap_ms;
	bool started_long_ago; /* the VMs haven't been started lately */
	int handovers_max; /* changes of owner */
};

/* A VM whose process is restarted once. */
struct fleet_vm {
	char name[8];
	struct candidate runs[2];
	int64_t stopped_ms; /* 0: not yet */
	bool restarted;
};

static bool vm_leads(const struct fleet_vm *vm)
{
	return owner_is_leading(vm->runs[0].owner) ||
	       (vm->restarted && owner_is_leading(vm->runs[1].owner));
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

static void restart_stopped(struct fixture *f, struct fleet_vm *vms,
			    int64_t now)
{
	for (int i = 0; i < FLEET_VMS; i++) {
		struct fleet_vm *vm = &vms[i];

		/* A process that owns the shard ends once it doesn't. */
		if (!vm->stopped_ms || vm->restarted ||
		    now - vm->stopped_ms < RESTART_MS ||
		    owner_is_leading(vm->runs[0].owner))
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

static void run_plan(struct fixture *f, struct fleet_vm *vms,
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
	struct fixture f;
	int gained;

	fixture_open(&f);
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
	fixture_close(&f);
	return gained - 1;
}

/*
 * Pattern: one rolling restart of nine VMs, and the shard changed hands six
 * times, each time to a VM that was about to be stopped.
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
		/* The next are stopped before the first is back. */
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

/* A life's row as its VM writes it. */
static void put_incarnation(struct fixture *f, const char *vm, int64_t age_ms,
			    int cpu_milli, int rtt_ms)
{
	g_autofree char *text = g_strdup_printf(
		"{\"life\":\"1\",\"started_ms\":%" G_GINT64_FORMAT
		",\"strength_milli\":%d,\"trip_ms\":%d}",
		clk_mono_ms(&clk_system) - age_ms, cpu_milli, rtt_ms);

	fake_rows_put(&f->store, "lives", "lives-s0", vm, text);
}

/* The owner of a shard stops, with the other VMs' rows as put before. */
static const char *released_row(struct fixture *f, struct candidate *c)
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
 * Pattern: the VM restarted last has 0.07 of a core where others have half a
 * core, is far from the store, or was restarted so long ago that it may be the
 * next to stop. Rows of others that can't be read name nobody.
 */
static void test_choice_of_successor(void)
{
	static const struct {
		struct listed_vm runs[3];
		const char *chosen; /* NULL: nobody */
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
		struct fixture f;
		struct candidate c;

		fixture_open(&f);
		fake_rows_put(&f.store, "lives", "lives-s0", "z", "{}");
		fake_rows_put(&f.store, "lives", "lives-s0", "zz", "\xff[");
		for (int k = 0; k < 3 && cases[i].runs[k].vm; k++)
			put_incarnation(&f, cases[i].runs[k].vm,
					cases[i].runs[k].age_ms,
					cases[i].runs[k].cpu_milli,
					cases[i].runs[k].rtt_ms);
		row = released_row(&f, &c);
		named = g_strdup_printf("\"successor\":\"%s\"",
					cases[i].chosen ? cases[i].chosen : "");
		g_test_message("case %zu: %s", i, row);
		if (cases[i].chosen)
			g_assert_nonnull(strstr(row, named));
		else
			g_assert_null(strstr(row, "successor"));
		fixture_close(&f);
	}
}

/* Pattern: the VM restarted last stops too, and would be named after that. */
static void test_stopping_vm_is_not_named(void)
{
	struct fixture f;
	struct candidate first;
	struct candidate second;

	fixture_open(&f);
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
	fixture_close(&f);
}

/* Two VMs; the first owns the shard and both were started long ago. */
static void open_with_two_vms(struct fixture *f, struct candidate *first,
			      struct candidate *second)
{
	fixture_open(f);
	candidate_start(f, first, "a", "1");
	wait_for_count(f, &first->gained, 1);
	candidate_start(f, second, "b", "1");
	run_loop_for(f, 100);
	f->store.clock_ahead_ms = 3600 * 1000;
}

/*
 * Pattern: the owner is stopped first of all, so nobody is back yet. It works
 * on until one is, and gives the shard to that one at once.
 */
static void test_owner_waits_for_a_vm_that_is_back(void)
{
	struct fixture f;
	struct candidate first;
	struct candidate second;
	struct candidate third;
	int64_t start_ms;

	open_with_two_vms(&f, &first, &second);
	owner_release(first.owner, 2000);
	first.committed = 0;
	run_loop_for(&f, 300);
	g_assert_true(owner_is_leading(first.owner));
	g_assert_cmpint(first.releasing, ==, 0);
	g_assert_cmpint(first.committed, >, 1);
	start_ms = clk_mono_ms(&clk_system);
	candidate_start(&f, &third, "c", "2");
	wait_for_count(&f, &third.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - start_ms, <, SILENCE_MS / 2);
	g_assert_cmpint(first.releasing, ==, 1);
	g_assert_cmpint(second.gained, ==, 0);
	fixture_close(&f);
}

/*
 * Pattern: the VM that is back has polled just before it is named, and nobody
 * owns the shard until its next poll.
 */
static void test_named_vm_claims_soon(void)
{
	static const struct owner_limits lim = { .poll_ms = 400,
						 .silence_ms = SILENCE_MS,
						 .heartbeat_ms = 50,
						 .commit_gap_ms = 5,
						 .claim_delay_ms = 1,
						 .cpu_milli = 500 };
	struct fixture f;
	struct candidate first = { 0 };
	struct candidate third = { 0 };
	struct rows rows;
	int64_t lost;

	fixture_open(&f);
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
	fixture_close(&f);
}

/* Pattern: it is the only VM that is restarted. Others have it in bounds. */
static void test_no_vm_is_restarted(void)
{
	struct fixture f;
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
		fixture_close(&f);
	}
}

/* Pattern: while it waits it becomes short of processor time. */
static void test_yield_ends_the_wait(void)
{
	struct fixture f;
	struct candidate first;
	struct candidate second;

	open_with_two_vms(&f, &first, &second);
	owner_release(first.owner, 60000);
	run_loop_for(&f, 50);
	owner_yield(first.owner, 100);
	wait_for_count(&f, &second.gained, 1);
	/* It was told to stop, and doesn't claim after its rest. */
	owner_release(second.owner, 0);
	run_loop_for(&f, 400);
	g_assert_cmpint(first.gained, ==, 1);
	g_assert_cmpint(first.lost, ==, 1);
	g_assert_cmpint(first.releasing, ==, 1);
	fixture_close(&f);
}

/* Pattern: while it waits the store refuses its commits, and it is succeeded.
 */
static void test_loss_ends_the_wait(void)
{
	struct fixture f;
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
	g_assert_true(owner_is_leading(second.owner));
	fixture_close(&f);
}

/* Pattern: it is told to stop while its claim is under way, or refused. */
static void test_stop_while_claiming(void)
{
	for (int refused = 0; refused < 2; refused++) {
		struct fixture f;
		struct candidate c;

		fixture_open(&f);
		if (refused)
			f.store.refused_text = "\"vm\":\"a\"";
		candidate_start(&f, &c, "a", "1");
		/* The row of its start, then the claim. */
		while (f.store.commits < 2)
			tevent_loop_once(f.ev);
		f.store.refused_text = NULL;
		g_assert_cmpint(c.gained, ==, 0);
		owner_release(c.owner, 60000);
		run_loop_for(&f, 300);
		g_assert_false(owner_is_leading(c.owner));
		g_assert_cmpint(c.gained, ==, refused ? 0 : 1);
		g_assert_cmpint(c.lost, ==, c.gained);
		fixture_close(&f);
	}
}

/* Pattern: a VM short of processor time gives a shard up and is named next. */
static void test_yielding_vm_is_not_named(void)
{
	struct fixture f;
	struct candidate first;
	struct candidate second;

	fixture_open(&f);
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
	fixture_close(&f);
}

/*
 * Pattern: the named successor is gone, or has no path to the store. Others
 * claim sooner than they would from an owner that is silent.
 */
static void test_successor_is_gone(void)
{
	struct fixture f;
	struct candidate first;
	struct candidate second;
	int64_t start_ms;

	fixture_open(&f);
	candidate_start(&f, &first, "a", "1");
	wait_for_count(&f, &first.gained, 1);
	candidate_start(&f, &second, "b", "1");
	run_loop_for(&f, 100);
	/* The clock is the store's: this one started after all others. */
	put_incarnation(&f, "ghost", 0, 500, 1);
	start_ms = clk_mono_ms(&clk_system);
	owner_release(first.owner, 0);
	wait_for_count(&f, &second.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - start_ms, <, SILENCE_MS / 2);
	g_assert_cmpint(clk_mono_ms(&clk_system) - start_ms, >=, 30);
	/* What the new owner commits names nobody. */
	g_assert_null(strstr(fake_rows_get(&f.store, "owners", "s0", "owner"),
			     "successor"));
	fixture_close(&f);
}

/* Pattern: the list of lives doesn't come; the release doesn't wait for it. */
static void test_release_without_list(void)
{
	struct fixture f;
	struct candidate first;
	struct candidate second;
	int64_t start_ms;

	fixture_open(&f);
	f.store.unanswered_table = "lives";
	candidate_start(&f, &first, "a", "1");
	wait_for_count(&f, &first.gained, 1);
	candidate_start(&f, &second, "b", "1");
	run_loop_for(&f, 100);
	start_ms = clk_mono_ms(&clk_system);
	owner_release(first.owner, 0);
	wait_for_count(&f, &second.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - start_ms, <, SILENCE_MS / 2);
	fixture_close(&f);
}

/* Pattern: the store refuses the row of a start; the VM tries again. */
static void test_start_is_published_in_the_end(void)
{
	struct fixture f;
	struct candidate c;

	fixture_open(&f);
	f.store.refused_text = "started_ms";
	candidate_start(&f, &c, "a", "1");
	run_loop_for(&f, 100);
	g_assert_null(fake_rows_get(&f.store, "lives", "lives-s0", "a"));
	g_assert_cmpint(c.gained, ==, 1);
	fixture_close(&f);
	fixture_open(&f);
	fake_rows_put(&f.store, "owners", "s0", "owner",
		      "{\"vm\":\"x\",\"epoch\":4}");
	f.store.refused_text = "started_ms";
	candidate_start(&f, &c, "a", "1");
	run_loop_for(&f, 100);
	f.store.refused_text = NULL;
	run_loop_for(&f, 100);
	g_assert_nonnull(fake_rows_get(&f.store, "lives", "lives-s0", "a"));
	fixture_close(&f);
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
