/*
 * Commits one configuration change: reads the operation's row, the
 * revision and the record, then puts all of them in one transaction.
 * A lost answer is settled by starting over: the operation's row tells.
 */
#include "state/config_change.h"

#include <stdio.h>
#include <talloc.h>

#include "state/config_watch.h"

#define TRIES_MAX 12
#define AGAIN_MS 30
#define OPERATION_PREFIX "op/"

struct work {
	struct tevent_context *ev;
	struct sto *sto;
	struct config_change c;
	config_change_done done;
	void *priv;
	int tries;
	bool rechecked;
	bool maybe_sent; /* an earlier try may still take effect */
	int64_t revision;
	int64_t revision_row; /* row revisions, for the conditions */
	int64_t key_row;
	char op_key[CONFIG_CHANGE_ID_MAX + 8];
};

static void start_over(struct work *w);

static int64_t field(const json_t *obj, const char *key)
{
	return json_integer_value(json_object_get(obj, key));
}

static int work_destructor(struct work *w)
{
	json_decref(w->c.value);
	return 0;
}

static void finish(struct work *w, enum config_change_result res,
		   int64_t revision)
{
	if (res == CONFIG_CHANGE_NO_EFFECT && w->maybe_sent)
		res = CONFIG_CHANGE_UNKNOWN;
	w->done(res, revision, w->priv);
	talloc_free(w);
}

static void on_again(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *priv)
{
	(void)ev;
	(void)te;
	(void)now;
	start_over(priv);
}

static void try_again(struct work *w)
{
	if (++w->tries >= TRIES_MAX) {
		finish(w, CONFIG_CHANGE_NO_EFFECT, 0);
		return;
	}
	tevent_add_timer(
		w->ev, w,
		tevent_timeval_current_ofs(0, AGAIN_MS * 1000 * w->tries),
		on_again, w);
}

static void on_committed(enum sto_result res, const json_t *body, void *priv)
{
	struct work *w = priv;

	(void)body;
	if (res == STO_OK) {
		finish(w, CONFIG_CHANGE_DONE, w->revision + 1);
		return;
	}
	if (res == STO_UNKNOWN)
		w->maybe_sent = true;
	try_again(w);
}

static void commit(struct work *w)
{
	int64_t next = w->revision + 1;
	char ring[64];
	json_t *value = w->c.value ? json_deep_copy(w->c.value) : json_null();
	struct sto_tx tx;

	if (w->c.value)
		json_object_set_new(value, "rev", json_integer(next));
	config_log_key(next, ring, sizeof(ring));
	sto_tx_init(&tx);
	sto_tx_if(&tx, w->op_key, 0);
	sto_tx_if(&tx, CONFIG_REVISION_KEY, w->revision_row);
	sto_tx_if(&tx, w->c.key, w->key_row);
	sto_tx_put(&tx, CONFIG_REVISION_KEY, json_pack("{s:I}", "rev", next));
	sto_tx_put(&tx, w->op_key,
		   json_pack("{s:s,s:I}", "key", w->c.key, "rev", next));
	sto_tx_put(&tx, ring,
		   json_pack("{s:I,s:s,s:O}", "rev", next, "key", w->c.key,
			     "value", value));
	sto_tx_put(&tx, w->c.key, w->c.value ? value : NULL);
	if (!w->c.value)
		json_decref(value);
	sto_commit(w->sto, &tx, on_committed, w);
}

static bool as_expected(const struct work *w, const json_t *row)
{
	int64_t at = field(json_object_get(row, "v"), "rev");

	switch (w->c.expect) {
	case CONFIG_CHANGE_ABSENT:
		return field(row, "r") == 0;
	case CONFIG_CHANGE_AT_REVISION:
		return field(row, "r") != 0 && at == w->c.expected;
	case CONFIG_CHANGE_ANY:
		return w->c.value || field(row, "r") != 0;
	}
	return false;
}

static void on_key(enum sto_result res, const json_t *body, void *priv)
{
	struct work *w = priv;

	if (res != STO_OK) {
		try_again(w);
		return;
	}
	if (!as_expected(w, body)) {
		/* This very operation could be why: its row tells. */
		if (w->rechecked) {
			finish(w,
			       w->maybe_sent ? CONFIG_CHANGE_UNKNOWN
					     : CONFIG_CHANGE_CONFLICT,
			       0);
			return;
		}
		w->rechecked = true;
		start_over(w);
		return;
	}
	w->key_row = field(body, "r");
	commit(w);
}

static void on_revision(enum sto_result res, const json_t *body, void *priv)
{
	struct work *w = priv;

	if (res != STO_OK) {
		try_again(w);
		return;
	}
	w->revision_row = field(body, "r");
	w->revision = field(json_object_get(body, "v"), "rev");
	sto_get(w->sto, w->c.key, on_key, w);
}

static void on_operation(enum sto_result res, const json_t *body, void *priv)
{
	struct work *w = priv;

	if (res != STO_OK) {
		try_again(w);
		return;
	}
	if (field(body, "r") != 0) {
		finish(w, CONFIG_CHANGE_DONE,
		       field(json_object_get(body, "v"), "rev"));
		return;
	}
	sto_get(w->sto, CONFIG_REVISION_KEY, on_revision, w);
}

static void start_over(struct work *w)
{
	sto_get(w->sto, w->op_key, on_operation, w);
}

void config_change_commit(void *ctx, struct tevent_context *ev, struct sto *sto,
			  const struct config_change *c,
			  config_change_done done, void *priv)
{
	struct work *w = talloc_zero(ctx, struct work);

	w->ev = ev;
	w->sto = sto;
	w->c = *c;
	w->done = done;
	w->priv = priv;
	snprintf(w->op_key, sizeof(w->op_key), OPERATION_PREFIX "%s",
		 c->operation);
	talloc_set_destructor(w, work_destructor);
	start_over(w);
}
