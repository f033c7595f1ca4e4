/* Waves of upkeep: one VM after another is emptied, ordered down and awaited.
 */
#include "coordination/upkeep.h"

#include <string.h>

/* A list older than this says nothing of which VMs are down, in ms. */
#define LIST_FRESH_MS 3000
/* An order that was refused or got no answer is given again after this, in
 * ms: the platform's slower answers are in by then. */
#define RETRY_MS 1000
/* Before the wave's time is over, what is left on its VMs is ended this early
 * for each VM that is still to come, in ms: the time that one is down. */
#define TIME_EACH_MS 2500

enum stage {
	WAITING,
	EMPTYING,
	ORDERED, /* an order is under way, or its outcome is unknown */
	DOWN, /* begun, and not yet listed as up again */
	BACK,
	SKIPPED, /* it left, or the platform says that it is not of the wave */
};

/* One VM of one wave. */
struct member {
	char vm[UPKEEP_NAME_MAX];
	char worker[UPKEEP_NAME_MAX]; /* that it ran before its upkeep */
	enum stage stage;
	bool in_flight;
	bool begun;
	int64_t retry_ms;
};

struct upkeep_run {
	int64_t number;
	int32_t at_once;
	int64_t due_ms;
	int32_t n;
	struct member *members;
};

/* One VM as listed. */
struct upkeep_vm {
	enum upkeep_state state;
	char worker[UPKEEP_NAME_MAX];
};

static void free_run(gpointer p)
{
	struct upkeep_run *run = p;

	g_free(run->members);
	g_free(run);
}

void upkeep_init(struct upkeep *u, const struct upkeep_ops *ops, void *priv,
		 int64_t orders_from_ms)
{
	memset(u, 0, sizeof(*u));
	u->ops = ops;
	u->priv = priv;
	u->orders_from_ms = orders_from_ms;
	u->waves = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 free_run);
	u->states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void upkeep_finish(struct upkeep *u)
{
	g_hash_table_destroy(u->waves);
	g_hash_table_destroy(u->states);
}

static struct upkeep_run *run_of(const struct upkeep *u, int64_t number)
{
	return g_hash_table_lookup(u->waves, &number);
}

static struct member *member_of(struct upkeep_run *run, const char *vm)
{
	for (int32_t i = 0; run && i < run->n; i++) {
		if (!strcmp(run->members[i].vm, vm))
			return &run->members[i];
	}
	return NULL;
}

void upkeep_add(struct upkeep *u, const struct upkeep_wave *wave,
		int64_t now_ms)
{
	struct upkeep_run *run = run_of(u, wave->number);

	if (run)
		return;
	run = g_new0(struct upkeep_run, 1);
	run->number = wave->number;
	run->at_once = wave->at_once;
	run->due_ms = now_ms + wave->within_ms;
	run->n = wave->n_vms;
	run->members = g_new0(struct member, MAX(run->n, 1));
	for (int32_t i = 0; i < run->n; i++)
		g_strlcpy(run->members[i].vm, wave->vms[i], UPKEEP_NAME_MAX);
	g_hash_table_insert(u->waves, &run->number, run);
	u->ops->touched(u->priv, run->number);
}

void upkeep_remove(struct upkeep *u, int64_t number)
{
	struct upkeep_run *run = run_of(u, number);

	for (int32_t i = 0; run && i < run->n; i++) {
		if (run->members[i].stage == EMPTYING)
			u->ops->empty(u->priv, run->members[i].vm, false);
	}
	g_hash_table_remove(u->waves, &number);
}

void upkeep_restore(struct upkeep *u, int64_t number, const char *vm)
{
	struct member *m = member_of(run_of(u, number), vm);

	if (!m)
		return;
	m->begun = true;
	/* It may still be down; the list tells. */
	m->stage = DOWN;
}

static bool is_done(const struct upkeep_run *run)
{
	for (int32_t i = 0; i < run->n; i++) {
		if (!run->members[i].begun && run->members[i].stage != SKIPPED)
			return false;
	}
	return true;
}

bool upkeep_active(const struct upkeep *u)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, u->waves);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (!is_done(value))
			return true;
	}
	return false;
}

void upkeep_list_begins(struct upkeep *u)
{
	g_hash_table_remove_all(u->states);
}

void upkeep_listed(struct upkeep *u, const char *vm, enum upkeep_state state,
		   const char *worker)
{
	struct upkeep_vm *v = g_new0(struct upkeep_vm, 1);

	v->state = state;
	g_strlcpy(v->worker, worker, sizeof(v->worker));
	g_hash_table_replace(u->states, g_strdup(vm), v);
}

void upkeep_list_ends(struct upkeep *u, int64_t now_ms)
{
	u->listed_ms = now_ms;
}

static void set_begun(struct upkeep *u, const struct upkeep_run *run,
		      struct member *m)
{
	m->stage = DOWN;
	m->begun = true;
	u->ops->note(u->priv, "begun", run->number, m->vm);
	u->ops->touched(u->priv, run->number);
}

static void skip(struct upkeep *u, const struct upkeep_run *run,
		 struct member *m, const char *why)
{
	m->stage = SKIPPED;
	u->ops->note(u->priv, why, run->number, m->vm);
	u->ops->empty(u->priv, m->vm, false);
	u->ops->touched(u->priv, run->number);
}

void upkeep_answered(struct upkeep *u, int64_t number, const char *vm,
		     enum upkeep_result res, int64_t now_ms)
{
	struct upkeep_run *run = run_of(u, number);
	struct member *m = member_of(run, vm);

	if (!m || m->stage != ORDERED)
		return;
	m->in_flight = false;
	m->retry_ms = now_ms + RETRY_MS;
	switch (res) {
	case UPKEEP_BEGUN:
		set_begun(u, run, m);
		break;
	case UPKEEP_NOT_OF_WAVE:
		skip(u, run, m, "not of the wave");
		break;
	case UPKEEP_BUSY:
	case UPKEEP_REFUSED:
	case UPKEEP_NOT_DONE:
		m->stage = EMPTYING;
		break;
	case UPKEEP_UNKNOWN:
		break;
	}
}

/* Takes in what the list shows of VMs that are or may be down. */
static void take_listed(struct upkeep *u, struct upkeep_run *run)
{
	for (int32_t i = 0; i < run->n; i++) {
		struct member *m = &run->members[i];
		const struct upkeep_vm *v =
			g_hash_table_lookup(u->states, m->vm);

		if (m->stage == SKIPPED || m->stage == BACK)
			continue;
		if (!v) {
			if (m->stage != DOWN)
				skip(u, run, m, "left the platform");
			continue;
		}
		if (m->stage != DOWN || v->state != UPKEEP_UP ||
		    !strcmp(v->worker, m->worker))
			continue;
		m->stage = BACK;
		u->ops->empty(u->priv, m->vm, false);
	}
}

/* A former owner may have begun what it had no time to write down, so what is
 * listed as away counts too. */
static bool may_be_down(const struct upkeep *u, const struct member *m)
{
	const struct upkeep_vm *v = g_hash_table_lookup(u->states, m->vm);

	if (m->stage == SKIPPED || m->stage == BACK)
		return false;
	return m->stage == ORDERED || m->stage == DOWN ||
	       (v && v->state == UPKEEP_AWAY);
}

static int32_t count_down(const struct upkeep *u, const struct upkeep_run *run)
{
	int32_t n = 0;

	for (int32_t i = 0; i < run->n; i++)
		n += may_be_down(u, &run->members[i]);
	return n;
}

static int32_t count_stage(const struct upkeep_run *run, enum stage stage)
{
	int32_t n = 0;

	for (int32_t i = 0; i < run->n; i++)
		n += run->members[i].stage == stage;
	return n;
}

/* Orders the VM down once nothing stands against it. */
static void order(struct upkeep *u, struct upkeep_run *run, struct member *m,
		  bool late, int64_t now_ms)
{
	const struct upkeep_vm *v = g_hash_table_lookup(u->states, m->vm);

	if (now_ms < m->retry_ms || !v || v->state != UPKEEP_UP)
		return;
	if (!u->ops->may_end(u->priv, m->vm, late))
		return;
	g_strlcpy(m->worker, v->worker, sizeof(m->worker));
	m->stage = ORDERED;
	m->in_flight = true;
	u->ops->order(u->priv, run->number, m->vm);
}

static void step_wave(struct upkeep *u, struct upkeep_run *run, int64_t now_ms)
{
	int32_t down = count_down(u, run);
	int32_t left = count_stage(run, WAITING) + count_stage(run, EMPTYING);
	int32_t turns = left / MAX(run->at_once, 1) + 1;
	bool late = now_ms >= run->due_ms - turns * TIME_EACH_MS;
	/* The next ones are emptied while others are down. */
	int32_t room = 2 * run->at_once - down - count_stage(run, EMPTYING);

	for (int32_t i = 0; i < run->n; i++) {
		struct member *m = &run->members[i];

		if (m->stage == WAITING && room > 0) {
			m->stage = EMPTYING;
			room--;
			u->ops->note(u->priv, "emptied", run->number, m->vm);
			u->ops->empty(u->priv, m->vm, true);
		}
		if (m->stage == EMPTYING && down < run->at_once) {
			order(u, run, m, late, now_ms);
			down += m->stage == ORDERED;
		}
		/* Given once more, it tells whether it was carried out. */
		if (m->stage == ORDERED && !m->in_flight &&
		    now_ms >= m->retry_ms) {
			m->in_flight = true;
			u->ops->order(u->priv, run->number, m->vm);
		}
	}
}

void upkeep_step(struct upkeep *u, bool sure, int64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	if (!sure || now_ms < u->orders_from_ms || !u->listed_ms ||
	    now_ms - u->listed_ms > LIST_FRESH_MS)
		return;
	g_hash_table_iter_init(&it, u->waves);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (is_done(value))
			continue;
		take_listed(u, value);
		step_wave(u, value, now_ms);
	}
}

GPtrArray *upkeep_begun(const struct upkeep *u, int64_t number, bool *done)
{
	const struct upkeep_run *run = run_of(u, number);
	GPtrArray *list = g_ptr_array_new();

	*done = run && is_done(run);
	for (int32_t i = 0; run && i < run->n; i++) {
		if (run->members[i].begun)
			g_ptr_array_add(list, run->members[i].vm);
	}
	return list;
}
