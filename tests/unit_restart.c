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
#define HOLD_MS 350
#define STEP_MS 10

/* Which VM a rolling restart takes next. */
enum roll_order {
	ROLL_AS_STARTED,
	ROLL_LAST_STARTED_FIRST,
	ROLL_OWNER_FIRST, /* whenever it hasn't been restarted yet */
};

struct roll {
	enum roll_order order;
	int at_once;
	int64_t gap_ms;
	bool long_ago; /* the VMs haven't been started lately */
	int most; /* changes of owner */
};

/* A VM whose process is restarted once. */
struct fleet_vm {
	char name[8];
	struct node lives[2];
	int64_t stopped_ms; /* 0: not yet */
	bool back;
};

static bool vm_leads(const struct fleet_vm *vm)
{
	return owner_is_leading(vm->lives[0].owner) ||
	       (vm->back && owner_is_leading(vm->lives[1].owner));
}

static struct fleet_vm *next_to_stop(struct fleet_vm *vms,
				     enum roll_order order)
{
	struct fleet_vm *next = NULL;

	for (int i = 0; i < FLEET_VMS; i++) {
		struct fleet_vm *vm = &vms[i];

		if (vm->stopped_ms)
			continue;
		if (order == ROLL_OWNER_FIRST && vm_leads(vm))
			return vm;
		if (!next || order == ROLL_LAST_STARTED_FIRST)
			next = vm;
	}
	return next;
}

static int gained_in_all(const struct fleet_vm *vms)
{
	int n = 0;

	for (int i = 0; i < FLEET_VMS; i++)
		n += vms[i].lives[0].gained + vms[i].lives[1].gained;
	return n;
}

static void start_again(struct bench *b, struct fleet_vm *vms, int64_t now)
{
	for (int i = 0; i < FLEET_VMS; i++) {
		struct fleet_vm *vm = &vms[i];

		/* A process that owns the shard ends once it doesn't. */
		if (!vm->stopped_ms || vm->back ||
		    now - vm->stopped_ms < RESTART_MS ||
		    owner_is_leading(vm->lives[0].owner))
			continue;
		node_start(b, &vm->lives[1], vm->name, "2");
		vm->back = true;
	}
}

static void stop_some(struct fleet_vm *vms, const struct roll *r, int64_t now)
{
	for (int k = 0; k < r->at_once; k++) {
		struct fleet_vm *vm = next_to_stop(vms, r->order);

		if (!vm)
			return;
		vm->stopped_ms = now;
		owner_release(vm->lives[0].owner, HOLD_MS);
	}
}

static void roll_all(struct bench *b, struct fleet_vm *vms,
		     const struct roll *r)
{
	int64_t next = clk_mono_ms(&clk_system);

	while (next_to_stop(vms, r->order)) {
		int64_t now = clk_mono_ms(&clk_system);

		start_again(b, vms, now);
		if (now >= next) {
			stop_some(vms, r, now);
			next += r->gap_ms;
		}
		turn_for(b, STEP_MS);
	}
}

static int handovers_of(const struct roll *r)
{
	struct fleet_vm vms[FLEET_VMS] = { 0 };
	struct bench b;
	int gained;

	bench_open(&b);
	for (int i = 0; i < FLEET_VMS; i++) {
		snprintf(vms[i].name, sizeof(vms[i].name), "vm%d", i);
		node_start(&b, &vms[i].lives[0], vms[i].name, "1");
		turn_for(&b, STEP_MS);
	}
	turn_for(&b, 200);
	g_assert_cmpint(gained_in_all(vms), ==, 1);
	if (r->long_ago)
		b.store.clock_ahead_ms = 3600 * 1000;
	roll_all(&b, vms, r);
	turn_for(&b, 2 * RESTART_MS);
	gained = gained_in_all(vms);
	bench_close(&b);
	return gained - 1;
}

/*
 * Pattern: one rolling restart of nine VMs, and the shard changed hands six
 * times, each time to a VM that was about to be stopped.
 */
static void test_rolling_restart(void)
{
	static const struct roll rolls[] = {
		{ ROLL_AS_STARTED, 1, 350, false, 2 },
		{ ROLL_AS_STARTED, 1, 350, true, 2 },
		{ ROLL_LAST_STARTED_FIRST, 1, 350, false, 2 },
		{ ROLL_LAST_STARTED_FIRST, 1, 350, true, 2 },
		{ ROLL_OWNER_FIRST, 1, 350, false, 2 },
		{ ROLL_OWNER_FIRST, 1, 350, true, 2 },
		{ ROLL_OWNER_FIRST, 3, 350, true, 2 },
		/* The next are stopped before the first is back. */
		{ ROLL_OWNER_FIRST, 3, 200, true, 2 },
		{ ROLL_OWNER_FIRST, 2, 100, true, 2 },
		{ ROLL_OWNER_FIRST, 1, 100, true, 2 },
		{ ROLL_AS_STARTED, 2, 100, true, 2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rolls); i++) {
		int handovers = handovers_of(&rolls[i]);

		g_test_message("plan %zu: %d handovers", i, handovers);
		g_assert_cmpint(handovers, <=, rolls[i].most);
	}
}

/* A life's row as its VM writes it. */
static void put_life(struct bench *b, const char *vm, int64_t age_ms,
		     int cpu_milli, int rtt_ms)
{
	g_autofree char *text = g_strdup_printf(
		"{\"life\":\"1\",\"started_ms\":%" G_GINT64_FORMAT
		",\"strength_milli\":%d,\"trip_ms\":%d}",
		clk_mono_ms(&clk_system) - age_ms, cpu_milli, rtt_ms);

	fake_rows_put(&b->store, "lives", "lives-s0", vm, text);
}

/* The owner of a shard stops, with the other VMs' rows as put before. */
static const char *released_row(struct bench *b, struct node *n)
{
	node_start(b, n, "a", "1");
	await(b, &n->gained, 1);
	owner_release(n->owner, 0);
	await(b, &n->lost, 1);
	return fake_rows_get(&b->store, "owners", "s0", "owner");
}

struct choice {
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
		struct choice lives[3];
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
		struct bench b;
		struct node n;

		bench_open(&b);
		fake_rows_put(&b.store, "lives", "lives-s0", "z", "{}");
		fake_rows_put(&b.store, "lives", "lives-s0", "zz", "\xff[");
		for (int k = 0; k < 3 && cases[i].lives[k].vm; k++)
			put_life(&b, cases[i].lives[k].vm,
				 cases[i].lives[k].age_ms,
				 cases[i].lives[k].cpu_milli,
				 cases[i].lives[k].rtt_ms);
		row = released_row(&b, &n);
		named = g_strdup_printf("\"successor\":\"%s\"",
					cases[i].chosen ? cases[i].chosen : "");
		g_test_message("case %zu: %s", i, row);
		if (cases[i].chosen)
			g_assert_nonnull(strstr(row, named));
		else
			g_assert_null(strstr(row, "successor"));
		bench_close(&b);
	}
}

/* Pattern: the VM restarted last stops too, and would be named after that. */
static void test_stopping_vm_is_not_named(void)
{
	struct bench b;
	struct node first;
	struct node second;

	bench_open(&b);
	put_life(&b, "c", 4000, 500, 1);
	node_start(&b, &first, "a", "1");
	await(&b, &first.gained, 1);
	node_start(&b, &second, "b", "1");
	turn_for(&b, 100);
	g_assert_nonnull(fake_rows_get(&b.store, "lives", "lives-s0", "b"));
	owner_release(second.owner, 0);
	turn_for(&b, 20);
	g_assert_null(fake_rows_get(&b.store, "lives", "lives-s0", "b"));
	owner_release(first.owner, 0);
	await(&b, &first.lost, 1);
	g_assert_nonnull(
		strstr(fake_rows_get(&b.store, "owners", "s0", "owner"),
		       "\"successor\":\"c\""));
	bench_close(&b);
}

/* Two VMs; the first owns the shard and both were started long ago. */
static void open_two(struct bench *b, struct node *first, struct node *second)
{
	bench_open(b);
	node_start(b, first, "a", "1");
	await(b, &first->gained, 1);
	node_start(b, second, "b", "1");
	turn_for(b, 100);
	b->store.clock_ahead_ms = 3600 * 1000;
}

/*
 * Pattern: the owner is stopped first of all, so nobody is back yet. It works
 * on until one is, and gives the shard to that one at once.
 */
static void test_owner_waits_for_a_vm_that_is_back(void)
{
	struct bench b;
	struct node first;
	struct node second;
	struct node third;
	int64_t began;

	open_two(&b, &first, &second);
	owner_release(first.owner, 2000);
	first.committed = 0;
	turn_for(&b, 300);
	g_assert_true(owner_is_leading(first.owner));
	g_assert_cmpint(first.releasing, ==, 0);
	g_assert_cmpint(first.committed, >, 1);
	began = clk_mono_ms(&clk_system);
	node_start(&b, &third, "c", "2");
	await(&b, &third.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - began, <, SILENCE_MS / 2);
	g_assert_cmpint(first.releasing, ==, 1);
	g_assert_cmpint(second.gained, ==, 0);
	bench_close(&b);
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
	struct bench b;
	struct node first = { 0 };
	struct node third = { 0 };
	struct rows rows;
	int64_t lost;

	bench_open(&b);
	rows = fake_rows_table(&b.store);
	first.owner = owner_start(b.ev, &rows, b.timers, &clk_system, 0, "a",
				  "1", &lim, &node_ops, &first);
	await(&b, &first.gained, 1);
	b.store.clock_ahead_ms = 3600 * 1000;
	owner_release(first.owner, 2000);
	turn_for(&b, 50);
	third.owner = owner_start(b.ev, &rows, b.timers, &clk_system, 0, "c",
				  "2", &lim, &node_ops, &third);
	await(&b, &first.lost, 1);
	lost = clk_mono_ms(&clk_system);
	await(&b, &third.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - lost, <, lim.poll_ms / 2);
	bench_close(&b);
}

/* Pattern: it is the only VM that is restarted. Others have it in bounds. */
static void test_nobody_is_back(void)
{
	struct bench b;
	struct node first;
	struct node second;
	int64_t began;

	for (int silent = 0; silent < 2; silent++) {
		open_two(&b, &first, &second);
		if (silent)
			b.store.silent_table = "lives";
		began = clk_mono_ms(&clk_system);
		owner_release(first.owner, 300);
		await(&b, &second.gained, 1);
		g_assert_cmpint(clk_mono_ms(&clk_system) - began, >=, 300);
		g_assert_cmpint(clk_mono_ms(&clk_system) - began, <, 500);
		g_assert_cmpint(first.lost, ==, 1);
		g_assert_cmpint(first.releasing, ==, 1);
		bench_close(&b);
	}
}

/* Pattern: while it waits it becomes short of processor time. */
static void test_yield_ends_the_wait(void)
{
	struct bench b;
	struct node first;
	struct node second;

	open_two(&b, &first, &second);
	owner_release(first.owner, 60000);
	turn_for(&b, 50);
	owner_yield(first.owner, 100);
	await(&b, &second.gained, 1);
	/* It was told to stop, and doesn't claim after its rest. */
	owner_release(second.owner, 0);
	turn_for(&b, 400);
	g_assert_cmpint(first.gained, ==, 1);
	g_assert_cmpint(first.lost, ==, 1);
	g_assert_cmpint(first.releasing, ==, 1);
	bench_close(&b);
}

/* Pattern: while it waits the store refuses its commits, and it is succeeded.
 */
static void test_loss_ends_the_wait(void)
{
	struct bench b;
	struct node first;
	struct node second;

	open_two(&b, &first, &second);
	owner_release(first.owner, 1500);
	b.store.refused_text = "\"vm\":\"a\"";
	await(&b, &second.gained, 1);
	b.store.refused_text = NULL;
	await(&b, &first.lost, 1);
	turn_for(&b, 1000);
	g_assert_cmpint(first.releasing, ==, 0);
	g_assert_true(owner_is_leading(second.owner));
	bench_close(&b);
}

/* Pattern: it is told to stop while its claim is under way, or refused. */
static void test_stop_while_claiming(void)
{
	for (int refused = 0; refused < 2; refused++) {
		struct bench b;
		struct node n;

		bench_open(&b);
		if (refused)
			b.store.refused_text = "\"vm\":\"a\"";
		node_start(&b, &n, "a", "1");
		/* The row of its start, then the claim. */
		while (b.store.commits < 2)
			tevent_loop_once(b.ev);
		b.store.refused_text = NULL;
		g_assert_cmpint(n.gained, ==, 0);
		owner_release(n.owner, 60000);
		turn_for(&b, 300);
		g_assert_false(owner_is_leading(n.owner));
		g_assert_cmpint(n.gained, ==, refused ? 0 : 1);
		g_assert_cmpint(n.lost, ==, n.gained);
		bench_close(&b);
	}
}

/* Pattern: a VM short of processor time gives a shard up and is named next. */
static void test_yielding_vm_is_not_named(void)
{
	struct bench b;
	struct node first;
	struct node second;

	bench_open(&b);
	node_start(&b, &first, "a", "1");
	await(&b, &first.gained, 1);
	node_start(&b, &second, "b", "1");
	turn_for(&b, 100);
	owner_yield(first.owner, 200);
	await(&b, &second.gained, 1);
	turn_for(&b, 400);
	owner_release(second.owner, 0);
	await(&b, &second.lost, 1);
	g_assert_null(strstr(fake_rows_get(&b.store, "owners", "s0", "owner"),
			     "successor"));
	await(&b, &first.gained, 2);
	bench_close(&b);
}

/*
 * Pattern: the named successor is gone, or has no path to the store. Others
 * claim sooner than they would from an owner that is silent.
 */
static void test_successor_is_gone(void)
{
	struct bench b;
	struct node first;
	struct node second;
	int64_t began;

	bench_open(&b);
	node_start(&b, &first, "a", "1");
	await(&b, &first.gained, 1);
	node_start(&b, &second, "b", "1");
	turn_for(&b, 100);
	/* The clock is the store's: this one started after all others. */
	put_life(&b, "ghost", 0, 500, 1);
	began = clk_mono_ms(&clk_system);
	owner_release(first.owner, 0);
	await(&b, &second.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - began, <, SILENCE_MS / 2);
	g_assert_cmpint(clk_mono_ms(&clk_system) - began, >=, 30);
	/* What the new owner commits names nobody. */
	g_assert_null(strstr(fake_rows_get(&b.store, "owners", "s0", "owner"),
			     "successor"));
	bench_close(&b);
}

/* Pattern: the list of lives doesn't come; the release doesn't wait for it. */
static void test_release_without_list(void)
{
	struct bench b;
	struct node first;
	struct node second;
	int64_t began;

	bench_open(&b);
	b.store.silent_table = "lives";
	node_start(&b, &first, "a", "1");
	await(&b, &first.gained, 1);
	node_start(&b, &second, "b", "1");
	turn_for(&b, 100);
	began = clk_mono_ms(&clk_system);
	owner_release(first.owner, 0);
	await(&b, &second.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - began, <, SILENCE_MS / 2);
	bench_close(&b);
}

/* Pattern: the store refuses the row of a start; the VM tries again. */
static void test_start_is_told_in_the_end(void)
{
	struct bench b;
	struct node n;

	bench_open(&b);
	b.store.refused_text = "started_ms";
	node_start(&b, &n, "a", "1");
	turn_for(&b, 100);
	g_assert_null(fake_rows_get(&b.store, "lives", "lives-s0", "a"));
	g_assert_cmpint(n.gained, ==, 1);
	bench_close(&b);
	bench_open(&b);
	fake_rows_put(&b.store, "owners", "s0", "owner",
		      "{\"vm\":\"x\",\"epoch\":4}");
	b.store.refused_text = "started_ms";
	node_start(&b, &n, "a", "1");
	turn_for(&b, 100);
	b.store.refused_text = NULL;
	turn_for(&b, 100);
	g_assert_nonnull(fake_rows_get(&b.store, "lives", "lives-s0", "a"));
	bench_close(&b);
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
	g_test_add_func("/restart/nobody-is-back", test_nobody_is_back);
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
			test_start_is_told_in_the_end);
}
