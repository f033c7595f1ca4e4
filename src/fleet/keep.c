/* Waves of upkeep while a shard is ours: list, orders, and what is durable. */
#include "fleet/keep.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/lead.h"

#define KEEP_TABLE "upkeep"
/* The list of VMs is read this often while a wave is under way, in ms. */
#define LIST_EVERY_MS 1000
/* Pause before a row is read or told again, in ms. */
#define RETRY_MS 500

/* What the store and the operators know of a wave. */
struct news {
	int64_t wave;
	bool touched; /* its row is to be written */
	bool collected; /* it is in the commit under way */
	bool durable_over; /* the store knows that it is over */
	bool telling;
	int told; /* last told: 0 nothing, 1 running, 2 over */
	int64_t retry_ms;
};

struct keep {
	struct fleet *f;
	struct sched *sched;
	int32_t shard;
	int64_t epoch;
	struct upkeep upkeep;
	GHashTable *news; /* number to struct news */
	bool restored; /* what former owners began is known */
	bool reading;
	bool listing;
	int64_t listed_ms;
	int64_t read_retry_ms;
};

/* A call under way; the keep may be gone when it is answered. */
struct call {
	struct fleet *f;
	int32_t shard;
	int64_t epoch;
	int64_t wave;
	char vm[UPKEEP_NAME_MAX];
	bool over;
};

static struct call *new_call(const struct keep *k, int64_t wave, const char *vm)
{
	struct call *c = calloc(1, sizeof(*c));

	c->f = k->f;
	c->shard = k->shard;
	c->epoch = k->epoch;
	c->wave = wave;
	snprintf(c->vm, sizeof(c->vm), "%s", vm);
	return c;
}

static struct keep *keep_of(const struct call *c)
{
	struct keep *k = lead_keep(c->f->leads[c->shard]);

	return k && k->epoch == c->epoch ? k : NULL;
}

static struct news *news_of(struct keep *k, int64_t wave)
{
	struct news *n = g_hash_table_lookup(k->news, &wave);

	if (n)
		return n;
	n = g_new0(struct news, 1);
	n->wave = wave;
	g_hash_table_insert(k->news, &n->wave, n);
	return n;
}

static void do_empty(void *priv, const char *vm, bool on)
{
	struct keep *k = priv;

	sched_vm_empty(k->sched, vm, on);
}

static bool do_may_end(void *priv, const char *vm, bool late)
{
	struct keep *k = priv;

	return sched_vm_may_end(k->sched, vm, late, clk_mono_ms(k->f->clk));
}

static void on_ordered(enum upkeep_result res, void *priv)
{
	struct call *c = priv;
	struct keep *k = keep_of(c);

	log_event(LOG_UPKEEP, "what=\"ordered\" wave=%lld vm=%s outcome=%d",
		  (long long)c->wave, c->vm, res);
	if (k)
		upkeep_note_result(&k->upkeep, c->wave, c->vm, res,
				   clk_mono_ms(k->f->clk));
	free(c);
}

static void do_order(void *priv, int64_t wave, const char *vm)
{
	struct keep *k = priv;
	struct vms_giver giver = { k->f->set.vm, k->epoch };

	k->f->vms.ops->upkeep(k->f->vms.self, &giver, wave, vm, on_ordered,
			      new_call(k, wave, vm));
}

static void do_touched(void *priv, int64_t wave)
{
	struct keep *k = priv;

	news_of(k, wave)->touched = true;
}

static void do_note(void *priv, const char *what, int64_t wave, const char *vm)
{
	struct keep *k = priv;

	log_event(LOG_UPKEEP, "what=\"%s\" wave=%lld vm=%s epoch=%lld", what,
		  (long long)wave, vm, (long long)k->epoch);
}

static const struct upkeep_ops upkeep_ops = {
	.set_draining = do_empty,
	.may_terminate = do_may_end,
	.send_command = do_order,
	.changed = do_touched,
	.log_decision = do_note,
};

static int keep_destructor(struct keep *k)
{
	upkeep_finish(&k->upkeep);
	g_hash_table_destroy(k->news);
	return 0;
}

void keep_waves_changed(struct keep *k)
{
	int64_t now = clk_mono_ms(k->f->clk);
	GList *known = g_hash_table_get_keys(k->upkeep.waves);
	GHashTableIter it;
	gpointer value;

	for (GList *i = known; i; i = i->next) {
		if (!g_hash_table_contains(k->f->waves, i->data))
			upkeep_remove(&k->upkeep, *(int64_t *)i->data);
	}
	g_list_free(known);
	g_hash_table_iter_init(&it, k->f->waves);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fleet_wave *w = value;
		struct upkeep_wave wave = w->wave;

		wave.within_ms -= now - w->seen_ms;
		upkeep_add(&k->upkeep, &wave, now);
	}
}

struct keep *keep_start(void *ctx, struct fleet *f, struct sched *sched,
			int32_t shard, int64_t epoch)
{
	struct keep *k = talloc_zero(ctx, struct keep);

	k->f = f;
	k->sched = sched;
	k->shard = shard;
	k->epoch = epoch;
	/* The first owner follows nobody. */
	upkeep_init(&k->upkeep, &upkeep_ops, k,
		    clk_mono_ms(f->clk) +
			    (epoch > 1 ? f->set.order_pause_ms : 0));
	k->news = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					g_free);
	talloc_set_destructor(k, keep_destructor);
	keep_waves_changed(k);
	return k;
}

static void restore_row(struct keep *k, const struct rows_row *row)
{
	json_t *j = row->value ? json_loads(row->value, 0, NULL) : NULL;
	int64_t wave = json_integer_value(json_object_get(j, "wave"));
	const json_t *vm;
	size_t i;

	if (!j)
		log_event(LOG_ROW_UNUSABLE,
			  "table=" KEEP_TABLE " key=%s why=\"not JSON\"",
			  row->key);
	json_array_foreach(json_object_get(j, "begun"), i, vm)
	{
		if (json_is_string(vm))
			upkeep_restore_begun(&k->upkeep, wave,
					     json_string_value(vm));
	}
	json_decref(j);
}

static void on_restored(const struct rows_answer *ans, void *priv)
{
	struct call *c = priv;
	struct keep *k = keep_of(c);

	free(c);
	if (!k)
		return;
	k->reading = false;
	k->read_retry_ms = clk_mono_ms(k->f->clk) + RETRY_MS;
	if (ans->result != ROWS_OK)
		return;
	for (int32_t i = 0; i < ans->n; i++)
		restore_row(k, &ans->rows[i]);
	k->restored = true;
}

static void restore(struct keep *k, int64_t now_ms)
{
	char part[LEAD_NAME_MAX];
	struct rows_range range = { .table = KEEP_TABLE,
				    .part = lead_state_part(k->shard, part) };

	if (k->reading || now_ms < k->read_retry_ms)
		return;
	k->reading = true;
	k->f->rows.ops->read(k->f->rows.self, &range, on_restored,
			     new_call(k, 0, ""));
}

static void on_listed(const char *vm, enum upkeep_state state,
		      const char *worker, void *priv)
{
	struct keep *k = keep_of(priv);

	if (k)
		upkeep_add_listed(&k->upkeep, vm, state, worker);
}

static void on_list_ended(bool good, void *priv)
{
	struct call *c = priv;
	struct keep *k = keep_of(c);

	free(c);
	if (!k)
		return;
	k->listing = false;
	/* A list that was read in part would show VMs as gone. */
	upkeep_end_listing(&k->upkeep, good ? clk_mono_ms(k->f->clk) : 0);
}

static void list(struct keep *k, int64_t now_ms)
{
	if (k->listing || now_ms - k->listed_ms < LIST_EVERY_MS)
		return;
	k->listing = true;
	k->listed_ms = now_ms;
	upkeep_begin_listing(&k->upkeep);
	k->f->vms.ops->list(k->f->vms.self, on_listed, on_list_ended,
			    new_call(k, 0, ""));
}

static void on_told(bool stored, void *priv)
{
	struct call *c = priv;
	struct keep *k = keep_of(c);
	struct news *n = k ? news_of(k, c->wave) : NULL;

	if (n) {
		n->telling = false;
		n->retry_ms = clk_mono_ms(k->f->clk) + RETRY_MS;
		if (stored)
			n->told = c->over ? 2 : 1;
	}
	free(c);
}

/* A wave is over for operators only once its last upkeep is in the store. */
static void tell(struct keep *k, struct news *n, int64_t now_ms)
{
	int now = n->durable_over ? 2 : 1;
	struct call *c;

	if (n->telling || n->told >= now || now_ms < n->retry_ms)
		return;
	n->telling = true;
	c = new_call(k, n->wave, "");
	c->over = n->durable_over;
	k->f->vms.ops->tell(k->f->vms.self, n->wave, c->over, on_told, c);
}

void keep_step(struct keep *k, bool sure, int64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	if (!g_hash_table_size(k->upkeep.waves) || !k->f->vms.ops)
		return;
	if (!k->restored) {
		restore(k, now_ms);
		return;
	}
	if (upkeep_is_active(&k->upkeep)) {
		list(k, now_ms);
		if (!k->listing)
			upkeep_step(&k->upkeep, sure, now_ms);
	}
	g_hash_table_iter_init(&it, k->news);
	while (sure && g_hash_table_iter_next(&it, NULL, &value))
		tell(k, value, now_ms);
}

/* How far a wave is, as a row that a successor reads. */
static char *row_of(const struct keep *k, int64_t wave, bool *over)
{
	GPtrArray *list = upkeep_list_begun(&k->upkeep, wave, over);
	json_t *begun = json_array();
	json_t *row;
	char *text;

	for (guint i = 0; i < list->len; i++)
		json_array_append_new(begun,
				      json_string(g_ptr_array_index(list, i)));
	row = json_pack("{s:I,s:o}", "wave", (json_int_t)wave, "begun", begun);
	text = json_dumps(row, JSON_COMPACT);
	json_decref(row);
	g_ptr_array_free(list, TRUE);
	return text;
}

bool keep_has_news(const struct keep *k)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, k->news);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (((const struct news *)value)->touched && k->restored)
			return true;
	}
	return false;
}

int32_t keep_collect(struct keep *k, GPtrArray *texts, struct rows_change *out,
		     int32_t max)
{
	GHashTableIter it;
	gpointer value;
	int32_t n = 0;

	g_hash_table_iter_init(&it, k->news);
	while (k->restored && n < max &&
	       g_hash_table_iter_next(&it, NULL, &value)) {
		struct news *news = value;
		bool over;
		char *key;
		char *text;

		if (!news->touched)
			continue;
		text = row_of(k, news->wave, &over);
		key = g_strdup_printf("wave/%lld", (long long)news->wave);
		g_ptr_array_add(texts, text);
		g_ptr_array_add(texts, key);
		news->touched = false;
		news->collected = over;
		out[n++] = (struct rows_change){
			.table = KEEP_TABLE,
			.key = key,
			.value = text,
		};
	}
	return n;
}

void keep_committed(struct keep *k)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, k->news);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct news *news = value;

		news->durable_over |= news->collected;
		news->collected = false;
	}
}
