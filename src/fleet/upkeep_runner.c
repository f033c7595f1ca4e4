/* Reads the list of VMs, sends upkeep commands, and stores and reports the
 * progress of each wave. */
#include "fleet/upkeep_runner.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/shard_ctl.h"

#define UPKEEP_TABLE "upkeep"
/* Interval at which the list of VMs is read while a wave is running, in ms. */
#define LIST_INTERVAL_MS 1000
/* Delay before a failed read or report is repeated, in ms. */
#define RETRY_MS 500

/* What is stored of a wave, and what was reported to the operators. */
struct wave_state {
	int64_t wave;
	bool dirty; /* its row must be written */
	bool over_collected; /* the open commit says that the wave is over */
	bool over_stored; /* the store says that the wave is over */
	bool reporting;
	int reported; /* last status stored: 0 none, 1 running, 2 over */
	int64_t report_retry_ms;
};

struct upkeep_runner {
	struct fleet *f;
	struct sched *sched;
	int32_t shard;
	int64_t epoch;
	struct upkeep upkeep;
	GHashTable *wave_states; /* number to struct wave_state */
	bool restored; /* the rows of previous owners were read */
	bool restoring;
	bool list_running;
	int64_t last_list_ms;
	int64_t restore_retry_ms;
};

/* An asynchronous call. It refers to the runner by shard and epoch, since the
 * runner may be freed before the answer comes. */
struct upkeep_call {
	struct fleet *f;
	int32_t shard;
	int64_t epoch;
	int64_t wave;
	char vm[UPKEEP_NAME_MAX];
	bool reports_over;
};

static struct upkeep_call *new_call(const struct upkeep_runner *r, int64_t wave,
				    const char *vm)
{
	struct upkeep_call *c = calloc(1, sizeof(*c));

	c->f = r->f;
	c->shard = r->shard;
	c->epoch = r->epoch;
	c->wave = wave;
	snprintf(c->vm, sizeof(c->vm), "%s", vm);
	return c;
}

/* Returns the runner that made the call, or NULL if it is gone. */
static struct upkeep_runner *runner_of(const struct upkeep_call *c)
{
	struct upkeep_runner *r = shard_ctl_upkeep(c->f->shard_ctls[c->shard]);

	return r && r->epoch == c->epoch ? r : NULL;
}

static struct wave_state *state_of_wave(struct upkeep_runner *r, int64_t wave)
{
	struct wave_state *ws = g_hash_table_lookup(r->wave_states, &wave);

	if (ws)
		return ws;
	ws = g_new0(struct wave_state, 1);
	ws->wave = wave;
	g_hash_table_insert(r->wave_states, &ws->wave, ws);
	return ws;
}

static void evacuate_vm(void *priv, const char *vm, bool on)
{
	struct upkeep_runner *r = priv;

	sched_vm_evacuate(r->sched, vm, on);
}

static bool vm_may_terminate(void *priv, const char *vm, bool late)
{
	struct upkeep_runner *r = priv;

	return sched_vm_may_terminate(r->sched, vm, late,
				      clk_mono_ms(r->f->clk));
}

static void on_upkeep_answer(enum upkeep_result res, void *priv)
{
	struct upkeep_call *c = priv;
	struct upkeep_runner *r = runner_of(c);

	log_event(LOG_UPKEEP, "what=\"ordered\" wave=%lld vm=%s outcome=%d",
		  (long long)c->wave, c->vm, res);
	if (r && res != UPKEEP_BEGUN && res != UPKEEP_UNKNOWN)
		sched_vm_set_terminating(r->sched, c->vm, false);
	if (r)
		upkeep_note_result(&r->upkeep, c->wave, c->vm, res,
				   clk_mono_ms(r->f->clk));
	free(c);
}

static void begin_upkeep(void *priv, int64_t wave, const char *vm)
{
	struct upkeep_runner *r = priv;
	struct vms_issuer issuer = { r->f->set.vm, r->epoch };

	sched_vm_set_terminating(r->sched, vm, true);
	r->f->vms.ops->upkeep(r->f->vms.self, &issuer, wave, vm,
			      on_upkeep_answer, new_call(r, wave, vm));
}

static void mark_dirty(void *priv, int64_t wave)
{
	struct upkeep_runner *r = priv;

	state_of_wave(r, wave)->dirty = true;
}

static void log_step(void *priv, const char *what, int64_t wave, const char *vm)
{
	struct upkeep_runner *r = priv;

	log_event(LOG_UPKEEP, "what=\"%s\" wave=%lld vm=%s epoch=%lld", what,
		  (long long)wave, vm, (long long)r->epoch);
}

static const struct upkeep_ops upkeep_ops = {
	.set_evacuating = evacuate_vm,
	.may_terminate = vm_may_terminate,
	.send_command = begin_upkeep,
	.changed = mark_dirty,
	.log_decision = log_step,
};

static int runner_destructor(struct upkeep_runner *r)
{
	upkeep_finish(&r->upkeep);
	g_hash_table_destroy(r->wave_states);
	return 0;
}

void upkeep_runner_waves_changed(struct upkeep_runner *r)
{
	int64_t now = clk_mono_ms(r->f->clk);
	GList *known = g_hash_table_get_keys(r->upkeep.waves);
	GHashTableIter it;
	gpointer value;

	for (GList *i = known; i; i = i->next) {
		if (!g_hash_table_contains(r->f->waves, i->data))
			upkeep_remove(&r->upkeep, *(int64_t *)i->data);
	}
	g_list_free(known);
	g_hash_table_iter_init(&it, r->f->waves);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fleet_wave *w = value;
		struct upkeep_wave wave = w->wave;

		wave.within_ms -= now - w->first_seen_ms;
		upkeep_add(&r->upkeep, &wave, now);
	}
}

struct upkeep_runner *upkeep_runner_start(void *ctx, struct fleet *f,
					  struct sched *sched, int32_t shard,
					  int64_t epoch)
{
	struct upkeep_runner *r = talloc_zero(ctx, struct upkeep_runner);

	r->f = f;
	r->sched = sched;
	r->shard = shard;
	r->epoch = epoch;
	/* The first owner has no predecessor whose commands may be in
	 * flight. */
	upkeep_init(&r->upkeep, &upkeep_ops, r,
		    clk_mono_ms(f->clk) +
			    (epoch > 1 ? f->set.upkeep_holdoff_ms : 0));
	r->wave_states = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	talloc_set_destructor(r, runner_destructor);
	upkeep_runner_waves_changed(r);
	return r;
}

static void restore_row(struct upkeep_runner *r, const struct rows_row *row)
{
	json_t *j = row->value ? json_loads(row->value, 0, NULL) : NULL;
	int64_t wave = json_integer_value(json_object_get(j, "wave"));
	const json_t *vm;
	size_t i;

	if (!j)
		log_event(LOG_ROW_UNUSABLE,
			  "table=" UPKEEP_TABLE " key=%s why=\"not JSON\"",
			  row->key);
	json_array_foreach(json_object_get(j, "begun"), i, vm)
	{
		if (json_is_string(vm))
			upkeep_restore_begun(&r->upkeep, wave,
					     json_string_value(vm));
	}
	json_decref(j);
}

static void on_rows_read(const struct rows_answer *ans, void *priv)
{
	struct upkeep_call *c = priv;
	struct upkeep_runner *r = runner_of(c);

	free(c);
	if (!r)
		return;
	r->restoring = false;
	r->restore_retry_ms = clk_mono_ms(r->f->clk) + RETRY_MS;
	if (ans->result != ROWS_OK)
		return;
	for (int32_t i = 0; i < ans->n; i++)
		restore_row(r, &ans->rows[i]);
	r->restored = true;
}

static void read_rows(struct upkeep_runner *r, int64_t now_ms)
{
	char part[SHARD_CTL_NAME_MAX];
	struct rows_range range = { .table = UPKEEP_TABLE,
				    .part = shard_ctl_state_part(r->shard,
								 part) };

	if (r->restoring || now_ms < r->restore_retry_ms)
		return;
	r->restoring = true;
	r->f->rows.ops->read(r->f->rows.self, &range, on_rows_read,
			     new_call(r, 0, ""));
}

static void on_list_entry(const char *vm, enum upkeep_state state,
			  const char *worker, void *priv)
{
	struct upkeep_runner *r = runner_of(priv);

	if (r)
		upkeep_add_listed(&r->upkeep, vm, state, worker);
}

static void on_list_ended(bool complete, void *priv)
{
	struct upkeep_call *c = priv;
	struct upkeep_runner *r = runner_of(c);

	free(c);
	if (!r)
		return;
	r->list_running = false;
	/* An incomplete list is not used: VMs that it lacks would seem to be
	 * gone. */
	upkeep_end_listing(&r->upkeep, complete ? clk_mono_ms(r->f->clk) : 0);
}

static void list_vms(struct upkeep_runner *r, int64_t now_ms)
{
	if (r->list_running || now_ms - r->last_list_ms < LIST_INTERVAL_MS)
		return;
	r->list_running = true;
	r->last_list_ms = now_ms;
	upkeep_begin_listing(&r->upkeep, now_ms);
	r->f->vms.ops->list(r->f->vms.self, on_list_entry, on_list_ended,
			    new_call(r, 0, ""));
}

static void on_reported(bool stored, void *priv)
{
	struct upkeep_call *c = priv;
	struct upkeep_runner *r = runner_of(c);
	struct wave_state *ws = r ? state_of_wave(r, c->wave) : NULL;

	if (ws) {
		ws->reporting = false;
		ws->report_retry_ms = clk_mono_ms(r->f->clk) + RETRY_MS;
		if (stored)
			ws->reported = c->reports_over ? 2 : 1;
	}
	free(c);
}

/* Reports the status of a wave if the operators have an older one. Reports it
 * as over only once the row of its last upkeep is in the store. */
static void report_wave(struct upkeep_runner *r, struct wave_state *ws,
			int64_t now_ms)
{
	int status = ws->over_stored ? 2 : 1;
	struct upkeep_call *c;

	if (ws->reporting || ws->reported >= status ||
	    now_ms < ws->report_retry_ms)
		return;
	ws->reporting = true;
	c = new_call(r, ws->wave, "");
	c->reports_over = ws->over_stored;
	r->f->vms.ops->report(r->f->vms.self, ws->wave, c->reports_over,
			      on_reported, c);
}

void upkeep_runner_step(struct upkeep_runner *r, bool certain, int64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	if (!g_hash_table_size(r->upkeep.waves) || !r->f->vms.ops)
		return;
	if (!r->restored) {
		read_rows(r, now_ms);
		return;
	}
	if (upkeep_is_active(&r->upkeep)) {
		list_vms(r, now_ms);
		if (!r->list_running)
			upkeep_step(&r->upkeep, certain, now_ms);
	}
	g_hash_table_iter_init(&it, r->wave_states);
	while (certain && g_hash_table_iter_next(&it, NULL, &value))
		report_wave(r, value, now_ms);
}

/* Returns the value of the wave's row, from which a successor restores the
 * wave; the caller frees it. Sets `over` to whether all its upkeep has
 * begun. */
static char *row_text(const struct upkeep_runner *r, int64_t wave, bool *over)
{
	GPtrArray *vms = upkeep_list_begun(&r->upkeep, wave, over);
	json_t *begun = json_array();
	json_t *row;
	char *text;

	for (guint i = 0; i < vms->len; i++)
		json_array_append_new(begun,
				      json_string(g_ptr_array_index(vms, i)));
	row = json_pack("{s:I,s:o}", "wave", (json_int_t)wave, "begun", begun);
	text = json_dumps(row, JSON_COMPACT);
	json_decref(row);
	g_ptr_array_free(vms, TRUE);
	return text;
}

bool upkeep_runner_is_dirty(const struct upkeep_runner *r)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->wave_states);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (((const struct wave_state *)value)->dirty && r->restored)
			return true;
	}
	return false;
}

int32_t upkeep_runner_collect(struct upkeep_runner *r, GPtrArray *texts,
			      struct rows_change *out, int32_t max)
{
	GHashTableIter it;
	gpointer value;
	int32_t n = 0;

	g_hash_table_iter_init(&it, r->wave_states);
	while (r->restored && n < max &&
	       g_hash_table_iter_next(&it, NULL, &value)) {
		struct wave_state *ws = value;
		bool over;
		char *key;
		char *text;

		if (!ws->dirty)
			continue;
		text = row_text(r, ws->wave, &over);
		key = g_strdup_printf("wave/%lld", (long long)ws->wave);
		g_ptr_array_add(texts, text);
		g_ptr_array_add(texts, key);
		ws->dirty = false;
		ws->over_collected = over;
		out[n++] = (struct rows_change){
			.table = UPKEEP_TABLE,
			.key = key,
			.value = text,
		};
	}
	return n;
}

void upkeep_runner_committed(struct upkeep_runner *r)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->wave_states);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct wave_state *ws = value;

		ws->over_stored |= ws->over_collected;
		ws->over_collected = false;
	}
}
