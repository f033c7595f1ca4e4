/*
 * Commits one configuration change: reads the rows of the operation, of the
 * revision and of the changed record, then writes them in one transaction.
 * After a lost answer it restarts: the operation's row exists if the commit
 * succeeded.
 */
#include "state/config_change.h"

#include <stdio.h>
#include <talloc.h>

#include "state/config_watch.h"

#define ATTEMPTS_MAX 12
#define RETRY_STEP_MS 30 /* the nth retry waits n times this long */
#define OPERATION_PREFIX "op/"

struct operation {
	struct tevent_context *ev;
	struct sto *sto;
	struct config_change change;
	config_change_done done;
	void *priv;
	int attempts;
	bool operation_rechecked;
	bool may_take_effect; /* an earlier attempt may still do so */
	int64_t revision;
	int64_t config_row_revision; /* row revisions, for conditions */
	int64_t key_row_revision;
	char op_key[CONFIG_CHANGE_ID_MAX + 8];
};

static void restart(struct operation *op);

static int64_t int_field(const json_t *obj, const char *key)
{
	return json_integer_value(json_object_get(obj, key));
}

static int operation_destructor(struct operation *op)
{
	json_decref(op->change.value);
	return 0;
}

static void finish(struct operation *op, enum config_change_result res,
		   int64_t revision)
{
	if (res == CONFIG_CHANGE_NO_EFFECT && op->may_take_effect)
		res = CONFIG_CHANGE_UNKNOWN;
	op->done(res, revision, op->priv);
	talloc_free(op);
}

static void on_retry_timer(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *priv)
{
	(void)ev;
	(void)te;
	(void)now;
	restart(priv);
}

static void retry_later(struct operation *op)
{
	if (++op->attempts >= ATTEMPTS_MAX) {
		finish(op, CONFIG_CHANGE_NO_EFFECT, 0);
		return;
	}
	tevent_add_timer(op->ev, op,
			 tevent_timeval_current_ofs(0, RETRY_STEP_MS * 1000 *
							       op->attempts),
			 on_retry_timer, op);
}

static void on_committed(enum sto_result res, const json_t *body, void *priv)
{
	struct operation *op = priv;

	(void)body;
	if (res == STO_OK) {
		finish(op, CONFIG_CHANGE_DONE, op->revision + 1);
		return;
	}
	if (res == STO_UNKNOWN)
		op->may_take_effect = true;
	retry_later(op);
}

static void commit_change(struct operation *op)
{
	int64_t next = op->revision + 1;
	char log_key[64];
	json_t *value = op->change.value ? json_deep_copy(op->change.value)
					 : json_null();
	struct sto_tx tx;

	if (op->change.value)
		json_object_set_new(value, "rev", json_integer(next));
	config_log_key(next, log_key, sizeof(log_key));
	sto_tx_init(&tx);
	sto_tx_if(&tx, op->op_key, 0);
	sto_tx_if(&tx, CONFIG_REVISION_KEY, op->config_row_revision);
	sto_tx_if(&tx, op->change.key, op->key_row_revision);
	sto_tx_put(&tx, CONFIG_REVISION_KEY, json_pack("{s:I}", "rev", next));
	sto_tx_put(&tx, op->op_key,
		   json_pack("{s:s,s:I}", "key", op->change.key, "rev", next));
	sto_tx_put(&tx, log_key,
		   json_pack("{s:I,s:s,s:O}", "rev", next, "key",
			     op->change.key, "value", value));
	sto_tx_put(&tx, op->change.key, op->change.value ? value : NULL);
	if (!op->change.value)
		json_decref(value);
	sto_commit(op->sto, &tx, on_committed, op);
}

static bool meets_expectation(const struct operation *op, const json_t *row)
{
	int64_t revision = int_field(json_object_get(row, "v"), "rev");

	switch (op->change.expect) {
	case CONFIG_CHANGE_ABSENT:
		return int_field(row, "r") == 0;
	case CONFIG_CHANGE_AT_REVISION:
		return int_field(row, "r") != 0 &&
		       revision == op->change.expected;
	case CONFIG_CHANGE_ANY:
		return op->change.value || int_field(row, "r") != 0;
	}
	return false;
}

static void on_config_row(enum sto_result res, const json_t *body, void *priv)
{
	struct operation *op = priv;

	if (res != STO_OK) {
		retry_later(op);
		return;
	}
	if (!meets_expectation(op, body)) {
		/* Perhaps we changed it: check the operation's row once. */
		if (op->operation_rechecked) {
			finish(op,
			       op->may_take_effect ? CONFIG_CHANGE_UNKNOWN
						   : CONFIG_CHANGE_CONFLICT,
			       0);
			return;
		}
		op->operation_rechecked = true;
		restart(op);
		return;
	}
	op->key_row_revision = int_field(body, "r");
	commit_change(op);
}

static void on_revision(enum sto_result res, const json_t *body, void *priv)
{
	struct operation *op = priv;

	if (res != STO_OK) {
		retry_later(op);
		return;
	}
	op->config_row_revision = int_field(body, "r");
	op->revision = int_field(json_object_get(body, "v"), "rev");
	sto_get(op->sto, op->change.key, on_config_row, op);
}

static void on_operation(enum sto_result res, const json_t *body, void *priv)
{
	struct operation *op = priv;

	if (res != STO_OK) {
		retry_later(op);
		return;
	}
	if (int_field(body, "r") != 0) {
		finish(op, CONFIG_CHANGE_DONE,
		       int_field(json_object_get(body, "v"), "rev"));
		return;
	}
	sto_get(op->sto, CONFIG_REVISION_KEY, on_revision, op);
}

static void restart(struct operation *op)
{
	sto_get(op->sto, op->op_key, on_operation, op);
}

void config_change_commit(void *ctx, struct tevent_context *ev, struct sto *sto,
			  const struct config_change *change,
			  config_change_done done, void *priv)
{
	struct operation *op = talloc_zero(ctx, struct operation);

	op->ev = ev;
	op->sto = sto;
	op->change = *change;
	op->done = done;
	op->priv = priv;
	snprintf(op->op_key, sizeof(op->op_key), OPERATION_PREFIX "%s",
		 change->operation);
	talloc_set_destructor(op, operation_destructor);
	restart(op);
}
