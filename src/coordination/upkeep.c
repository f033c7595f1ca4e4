/* Waves of upkeep: evacuates VMs, commands their upkeep and waits until each is
 * up again. */
#include "coordination/upkeep.h"

#include <string.h>

/* A VM list older than this doesn't show which VMs are down, in ms. */
#define LIST_FRESH_MS 3000
/* A command that was refused or not answered is sent again after this, in ms;
 * even slow answers of the platform have arrived by then. */
#define RETRY_MS 1000
/* How long a VM is down, in ms. Tasks that remain on the wave's VMs are stopped
 * this long before the deadline for each round of VMs still to come. */
#define VM_DOWN_MS 2500

enum stage {
	WAITING,
	EVACUATING,
	COMMANDED, /* a command is under way, or its outcome is unknown */
	DOWN, /* upkeep has begun, VM not yet listed as up again */
	BACK, /* listed as up again */
	GONE, /* not listed any more */
	SKIPPED, /* not in the wave per the platform */
};

/* One VM of one wave. */
struct wave_member {
	char vm[UPKEEP_NAME_MAX];
	char worker[UPKEEP_NAME_MAX]; /* the one it ran before its upkeep */
	enum stage stage;
	bool in_flight; /* a command awaits its answer */
	bool begun; /* its upkeep has begun */
	int64_t begun_ms; /* when this was known; 0: to a previous owner */
	int64_t retry_ms; /* no command is sent before */
	int64_t missing_ms; /* list that lacked it first; 0: the last has it */
};

/* One wave and the progress of its VMs. */
struct upkeep_wave_state {
	int64_t number;
	int32_t at_once;
	int64_t due_ms; /* all should have begun by then */
	int32_t n;
	struct wave_member *members;
};

/* One VM in the platform's list. */
struct upkeep_vm {
	enum upkeep_state state;
	char worker[UPKEEP_NAME_MAX];
};

static void free_wave(gpointer p)
{
	struct upkeep_wave_state *w = p;

	g_free(w->members);
	g_free(w);
}

void upkeep_init(struct upkeep *u, const struct upkeep_ops *ops, void *priv,
		 int64_t commands_from_ms)
{
	memset(u, 0, sizeof(*u));
	u->ops = ops;
	u->priv = priv;
	u->commands_from_ms = commands_from_ms;
	u->waves = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 free_wave);
	u->states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void upkeep_finish(struct upkeep *u)
{
	g_hash_table_destroy(u->waves);
	g_hash_table_destroy(u->states);
}

static struct upkeep_wave_state *find_wave(const struct upkeep *u,
					   int64_t number)
{
	return g_hash_table_lookup(u->waves, &number);
}

static struct wave_member *find_member(struct upkeep_wave_state *w,
				       const char *vm)
{
	for (int32_t i = 0; w && i < w->n; i++) {
		if (!strcmp(w->members[i].vm, vm))
			return &w->members[i];
	}
	return NULL;
}

void upkeep_add(struct upkeep *u, const struct upkeep_wave *wave,
		int64_t now_ms)
{
	struct upkeep_wave_state *w = find_wave(u, wave->number);

	if (w)
		return;
	w = g_new0(struct upkeep_wave_state, 1);
	w->number = wave->number;
	w->at_once = wave->at_once;
	w->due_ms = now_ms + wave->within_ms;
	w->n = wave->n_vms;
	w->members = g_new0(struct wave_member, MAX(w->n, 1));
	for (int32_t i = 0; i < w->n; i++)
		g_strlcpy(w->members[i].vm, wave->vms[i], UPKEEP_NAME_MAX);
	g_hash_table_insert(u->waves, &w->number, w);
	u->ops->changed(u->priv, w->number);
}

void upkeep_remove(struct upkeep *u, int64_t number)
{
	struct upkeep_wave_state *w = find_wave(u, number);

	for (int32_t i = 0; w && i < w->n; i++) {
		if (w->members[i].stage == EVACUATING)
			u->ops->set_evacuating(u->priv, w->members[i].vm,
					       false);
	}
	g_hash_table_remove(u->waves, &number);
}

void upkeep_restore_begun(struct upkeep *u, int64_t number, const char *vm)
{
	struct wave_member *m = find_member(find_wave(u, number), vm);

	if (!m)
		return;
	m->begun = true;
	/* It may still be down: the next list shows it. */
	m->stage = DOWN;
}

static bool is_left_out(const struct wave_member *m)
{
	return m->stage == GONE || m->stage == SKIPPED;
}

static bool is_done(const struct upkeep_wave_state *w)
{
	for (int32_t i = 0; i < w->n; i++) {
		if (!w->members[i].begun && !is_left_out(&w->members[i]))
			return false;
	}
	return true;
}

bool upkeep_is_active(const struct upkeep *u)
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

void upkeep_begin_listing(struct upkeep *u, int64_t now_ms)
{
	u->list_began_ms = now_ms;
	g_hash_table_remove_all(u->states);
}

void upkeep_add_listed(struct upkeep *u, const char *vm,
		       enum upkeep_state state, const char *worker)
{
	struct upkeep_vm *v = g_new0(struct upkeep_vm, 1);

	v->state = state;
	g_strlcpy(v->worker, worker, sizeof(v->worker));
	g_hash_table_replace(u->states, g_strdup(vm), v);
}

void upkeep_end_listing(struct upkeep *u, int64_t now_ms)
{
	u->listed_ms = now_ms;
}

static void set_begun(struct upkeep *u, const struct upkeep_wave_state *w,
		      struct wave_member *m, int64_t now_ms)
{
	m->stage = DOWN;
	m->begun = true;
	m->begun_ms = now_ms;
	u->ops->log_decision(u->priv, "begun", w->number, m->vm);
	u->ops->changed(u->priv, w->number);
}

static void leave_out(struct upkeep *u, const struct upkeep_wave_state *w,
		      struct wave_member *m, enum stage stage, const char *why)
{
	m->stage = stage;
	u->ops->log_decision(u->priv, why, w->number, m->vm);
	u->ops->set_evacuating(u->priv, m->vm, false);
	u->ops->changed(u->priv, w->number);
}

void upkeep_note_result(struct upkeep *u, int64_t number, const char *vm,
			enum upkeep_result res, int64_t now_ms)
{
	struct upkeep_wave_state *w = find_wave(u, number);
	struct wave_member *m = find_member(w, vm);

	if (!m || m->stage != COMMANDED)
		return;
	m->in_flight = false;
	m->retry_ms = now_ms + RETRY_MS;
	switch (res) {
	case UPKEEP_BEGUN:
		set_begun(u, w, m, now_ms);
		break;
	case UPKEEP_NOT_IN_WAVE:
		leave_out(u, w, m, SKIPPED, "not of the wave");
		break;
	case UPKEEP_BUSY:
	case UPKEEP_FENCED:
	case UPKEEP_NOT_DONE:
		m->stage = EVACUATING;
		break;
	case UPKEEP_UNKNOWN:
		break;
	}
}

/* A list is read page by page and may lack a VM that moved between two pages,
 * so the VM has left only if the next list lacks it too. */
static void note_missing(struct upkeep *u, const struct upkeep_wave_state *w,
			 struct wave_member *m)
{
	if (!m->missing_ms)
		m->missing_ms = u->listed_ms;
	/* The answer to a command tells whether the VM has left. */
	if (m->stage == DOWN || m->stage == COMMANDED || m->stage == GONE)
		return;
	if (u->listed_ms > m->missing_ms)
		leave_out(u, w, m, GONE, "left the platform");
}

/*
 * Returns whether the VM is up again, given that it is listed as up. Only a
 * list that was begun after the upkeep shows it. The worker is a new one then,
 * unless the upkeep was over before our command: the platform confirms an
 * upkeep that a previous owner began.
 */
static bool is_back(const struct upkeep *u, const struct wave_member *m,
		    const struct upkeep_vm *v)
{
	if (u->list_began_ms <= m->begun_ms)
		return false;
	return strcmp(v->worker, m->worker) != 0 ||
	       u->list_began_ms - m->begun_ms >= VM_DOWN_MS;
}

/* Leaves out VMs that are no longer listed, and finds those that are up again
 * after their upkeep. */
static void apply_list(struct upkeep *u, struct upkeep_wave_state *w)
{
	for (int32_t i = 0; i < w->n; i++) {
		struct wave_member *m = &w->members[i];
		const struct upkeep_vm *v =
			g_hash_table_lookup(u->states, m->vm);

		if (m->stage == SKIPPED || m->stage == BACK)
			continue;
		if (!v) {
			note_missing(u, w, m);
			continue;
		}
		m->missing_ms = 0;
		if (m->stage == GONE)
			m->stage = WAITING;
		if (m->stage != DOWN || v->state != UPKEEP_UP ||
		    !is_back(u, m, v))
			continue;
		m->stage = BACK;
		u->ops->set_evacuating(u->priv, m->vm, false);
	}
}

/* VMs that are not listed as up count too: a previous owner may have begun an
 * upkeep without having stored it. */
static bool may_be_down(const struct upkeep *u, const struct wave_member *m)
{
	const struct upkeep_vm *v = g_hash_table_lookup(u->states, m->vm);

	if (is_left_out(m) || m->stage == BACK)
		return false;
	return m->stage == COMMANDED || m->stage == DOWN ||
	       (v && v->state == UPKEEP_NOT_UP);
}

static int32_t count_down(const struct upkeep *u,
			  const struct upkeep_wave_state *w)
{
	int32_t n = 0;

	for (int32_t i = 0; i < w->n; i++)
		n += may_be_down(u, &w->members[i]);
	return n;
}

static int32_t count_stage(const struct upkeep_wave_state *w, enum stage stage)
{
	int32_t n = 0;

	for (int32_t i = 0; i < w->n; i++)
		n += w->members[i].stage == stage;
	return n;
}

/* Commands the VM's upkeep if it is up and its tasks may be stopped. */
static void try_command(struct upkeep *u, struct upkeep_wave_state *w,
			struct wave_member *m, bool late, int64_t now_ms)
{
	const struct upkeep_vm *v = g_hash_table_lookup(u->states, m->vm);

	if (now_ms < m->retry_ms || !v || v->state != UPKEEP_UP)
		return;
	if (!u->ops->may_terminate(u->priv, m->vm, late))
		return;
	g_strlcpy(m->worker, v->worker, sizeof(m->worker));
	m->stage = COMMANDED;
	m->in_flight = true;
	u->ops->send_command(u->priv, w->number, m->vm);
}

static void step_wave(struct upkeep *u, struct upkeep_wave_state *w,
		      int64_t now_ms)
{
	int32_t down = count_down(u, w);
	int32_t left = count_stage(w, WAITING) + count_stage(w, EVACUATING);
	int32_t rounds = left / MAX(w->at_once, 1) + 1;
	bool late = now_ms >= w->due_ms - rounds * VM_DOWN_MS;
	/* The next VMs are evacuated while others are down. */
	int32_t room = 2 * w->at_once - down - count_stage(w, EVACUATING);

	for (int32_t i = 0; i < w->n; i++) {
		struct wave_member *m = &w->members[i];

		if (m->stage == WAITING && room > 0) {
			m->stage = EVACUATING;
			room--;
			u->ops->log_decision(u->priv, "emptied", w->number,
					     m->vm);
			u->ops->set_evacuating(u->priv, m->vm, true);
		}
		if (m->stage == EVACUATING && down < w->at_once) {
			try_command(u, w, m, late, now_ms);
			down += m->stage == COMMANDED;
		}
		/* The answer to a repeated command shows whether the first one
		 * was carried out. */
		if (m->stage == COMMANDED && !m->in_flight &&
		    now_ms >= m->retry_ms) {
			m->in_flight = true;
			u->ops->send_command(u->priv, w->number, m->vm);
		}
	}
}

void upkeep_step(struct upkeep *u, bool is_owner, int64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	if (!is_owner || now_ms < u->commands_from_ms || !u->listed_ms ||
	    now_ms - u->listed_ms > LIST_FRESH_MS)
		return;
	g_hash_table_iter_init(&it, u->waves);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (is_done(value))
			continue;
		apply_list(u, value);
		step_wave(u, value, now_ms);
	}
}

GPtrArray *upkeep_list_begun(const struct upkeep *u, int64_t number, bool *done)
{
	const struct upkeep_wave_state *w = find_wave(u, number);
	GPtrArray *list = g_ptr_array_new();

	*done = w && is_done(w);
	for (int32_t i = 0; w && i < w->n; i++) {
		if (w->members[i].begun)
			g_ptr_array_add(list, w->members[i].vm);
	}
	return list;
}
