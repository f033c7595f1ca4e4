/* Tests rolling restarts in drawn orders: how often the shard changes hands,
 * and for how long no task can be started. Times are a fifth of the real ones.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "tests/owners.h"
#include "tests/unit.h"

#define VMS 9
#define PLAYS 12
#define STEP_MS 5
#define POLL_MS 100
/* A call to a store in another region. */
#define REPLY_MS 12
#define RESTART_MS 600
#define SUCCESSOR_WAIT_MS 700
/* A load whose rows were not read in advance, and one whose rows were. */
#define LOAD_MS 200
#define CATCH_UP_MS 12
/* Half a second at the site, and the turns of a busy machine's event loop. */
#define PAUSE_MAX_MS 130
/* If nobody was ready in the owner's time: a claim, and a load. */
#define UNREADY_MAX_MS (PAUSE_MAX_MS + LOAD_MS + POLL_MS)
#define HANDOVERS_MAX 2
#define PLAY_MAX_MS 20000

/* One run of a VM. */
struct run {
	struct candidate c;
	struct play *play;
	struct tmr_set *timers;
	bool read; /* the rows are read */
	int64_t read_ms; /* since then */
};

struct vm {
	char name[8];
	struct run runs[2];
	int64_t stopped_ms; /* 0: not yet stopped */
	bool restarted;
};

/* One rolling restart, in a store of its own. */
struct play {
	struct owner_fixture f;
	GRand *rand;
	struct vm vms[VMS];
	int64_t next_ms;
	int64_t gap_ms;
	int at_once;
	int64_t paused_since_ms; /* 0: tasks are started */
	int64_t longest_ms; /* of the pauses of planned handovers */
	int64_t longest_unready_ms; /* of those to a VM that was still reading
				     */
	int gained;
	int unread; /* owners that hadn't read the rows in advance */
	bool first_back; /* a VM was back when the first owner was stopped */
	bool owner_stopped;
};

static int64_t now_ms(void)
{
	return clk_mono_ms(&clk_system);
}

static void on_loaded(void *priv)
{
	struct run *r = priv;
	struct play *p = r->play;

	int64_t paused_ms = now_ms() - p->paused_since_ms;

	if (p->paused_since_ms && r->read && r->read_ms < p->paused_since_ms)
		p->longest_ms = MAX(p->longest_ms, paused_ms);
	else if (p->paused_since_ms)
		p->longest_unready_ms = MAX(p->longest_unready_ms, paused_ms);
	p->paused_since_ms = 0;
}

static void on_gained(const struct owner_row *previous, int64_t version,
		      void *priv)
{
	struct run *r = priv;

	(void)previous;
	(void)version;
	r->play->gained++;
	r->play->unread += !r->read && r->play->gained > 1;
	tmr_after(r->timers, r->read ? CATCH_UP_MS : LOAD_MS, on_loaded, r);
}

static void on_releasing(void *priv)
{
	((struct run *)priv)->play->paused_since_ms = now_ms();
}

static void on_read(void *priv)
{
	struct run *r = priv;

	r->read = true;
	r->read_ms = now_ms();
	owner_set_ready(r->c.owner);
}

static void on_named(bool named, void *priv)
{
	struct run *r = priv;

	if (named)
		tmr_after(r->timers, LOAD_MS, on_read, r);
}

static void on_lost(void *priv)
{
	(void)priv;
}

static int32_t on_collect(struct rows_change *out, int32_t max, void *priv)
{
	(void)out;
	(void)max;
	(void)priv;
	return 0;
}

static void on_fill(struct owner_row *row, void *priv)
{
	(void)row;
	(void)priv;
}

static char *on_hand_over(void *ctx, void *priv)
{
	(void)ctx;
	(void)priv;
	return NULL;
}

static const struct owner_ops run_ops = {
	.gained = on_gained,
	.releasing = on_releasing,
	.lost = on_lost,
	.collect = on_collect,
	.committed = on_lost,
	.fill_row = on_fill,
	.get_handover = on_hand_over,
	.named = on_named,
};

static void start_run(struct play *p, struct vm *vm, int index)
{
	static const struct owner_limits lim = {
		.poll_ms = POLL_MS,
		.silence_ms = 400,
		.heartbeat_ms = POLL_MS,
		.commit_gap_ms = 5,
		.claim_delay_ms = 12,
		.cpu_milli = 500,
		.in_doubt_max_ms = 600,
		.lease_ms = 1200,
	};
	struct run *r = &vm->runs[index];
	struct rows rows = fake_rows_iface(&p->f.store);

	r->play = p;
	r->timers = p->f.timers;
	r->c.owner =
		owner_start(p->f.ev, &rows, p->f.timers, &clk_system, 0,
			    vm->name, index ? "2" : "1", &lim, &run_ops, r);
}

static bool owns(const struct vm *vm)
{
	return owner_owns_shard(vm->runs[0].c.owner) ||
	       (vm->restarted && owner_owns_shard(vm->runs[1].c.owner));
}

static void stop_one(struct play *p)
{
	struct vm *left[VMS];
	int n = 0;
	struct vm *vm;

	for (int i = 0; i < VMS; i++) {
		if (!p->vms[i].stopped_ms)
			left[n++] = &p->vms[i];
	}
	if (!n)
		return;
	vm = left[g_rand_int_range(p->rand, 0, n)];
	vm->stopped_ms = now_ms();
	if (owns(vm) && !p->owner_stopped) {
		p->owner_stopped = true;
		for (int i = 0; i < VMS; i++)
			p->first_back |= p->vms[i].restarted;
	}
	owner_release(vm->runs[0].c.owner, SUCCESSOR_WAIT_MS);
}

/* Returns whether all VMs were restarted. */
static bool step(struct play *p)
{
	int64_t now = now_ms();
	bool all = true;

	for (int i = 0; i < VMS; i++) {
		struct vm *vm = &p->vms[i];

		/* An owner's process ends only after it released the shard. */
		if (vm->stopped_ms && !vm->restarted &&
		    now - vm->stopped_ms >= RESTART_MS &&
		    !owner_owns_shard(vm->runs[0].c.owner)) {
			start_run(p, vm, 1);
			vm->restarted = true;
		}
		all &= vm->restarted;
	}
	if (now >= p->next_ms) {
		for (int k = 0; k < p->at_once; k++)
			stop_one(p);
		p->next_ms = now + p->gap_ms;
	}
	return all;
}

static void open_play(struct play *p, const struct owner_fixture *f,
		      guint32 seed)
{
	p->f = *f;
	p->rand = g_rand_new_with_seed(seed);
	fake_rows_init(&p->f.store, f->timers);
	p->f.store.reply_ms = REPLY_MS;
	p->at_once = g_rand_int_range(p->rand, 1, 4);
	p->gap_ms = g_rand_int_range(p->rand, 200, 1000);
	for (int i = 0; i < VMS; i++) {
		snprintf(p->vms[i].name, sizeof(p->vms[i].name), "vm%d", i);
		start_run(p, &p->vms[i], 0);
	}
}

static void run_plays(struct play *plays, struct owner_fixture *f)
{
	int64_t end = now_ms() + PLAY_MAX_MS;
	bool all = false;

	while (!all) {
		g_assert_cmpint(now_ms(), <, end);
		all = true;
		for (int i = 0; i < PLAYS; i++)
			all &= step(&plays[i]);
		run_loop_for(f, STEP_MS);
	}
	run_loop_for(f, 2 * RESTART_MS);
}

/*
 * Guards against a shard that changes hands again and again while VMs restart,
 * and against pauses while the next owner reads its rows: two owners within 5 s
 * took 2.0 and 2.2 s to load.
 */
static void test_drawn_orders(void)
{
	struct play *plays = g_new0(struct play, PLAYS);
	struct owner_fixture f;

	owner_fixture_open(&f);
	for (guint32 i = 0; i < PLAYS; i++)
		open_play(&plays[i], &f, i + 1);
	run_loop_for(&f, 400);
	/* All VMs were started long before the restart. */
	for (int i = 0; i < PLAYS; i++) {
		g_assert_cmpint(plays[i].gained, ==, 1);
		plays[i].f.store.clock_ahead_ms = 3600 * 1000;
	}
	run_plays(plays, &f);
	for (int i = 0; i < PLAYS; i++) {
		struct play *p = &plays[i];

		g_test_message("seed %d: %d at once, gap %d ms, %d handovers, "
			       "%d not read in advance, longest pause %d ms, "
			       "%d ms if still reading",
			       i + 1, p->at_once, (int)p->gap_ms, p->gained - 1,
			       p->unread, (int)p->longest_ms,
			       (int)p->longest_unready_ms);
		g_assert_cmpint(p->gained - 1, <=,
				p->first_back ? 1 : HANDOVERS_MAX);
		/* Only if no VM was back in the owner's time. */
		g_assert_cmpint(p->unread, <=, p->first_back ? 0 : 1);
		g_assert_cmpint(p->longest_ms, <=, PAUSE_MAX_MS);
		g_assert_cmpint(p->longest_unready_ms, <=, UNREADY_MAX_MS);
		fake_rows_destroy(&p->f.store);
		g_rand_free(p->rand);
	}
	owner_fixture_close(&f);
	g_free(plays);
}

void unit_add_rolling(void)
{
	g_test_add_func("/restart/drawn-orders", test_drawn_orders);
}
