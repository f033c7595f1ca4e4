/*
 * Reads changes of the list of workers through a relay, which leaves out those
 * that don't matter. Whatever goes wrong, the store is asked instead.
 */
#include "fleet/relay_int.h"

#include <talloc.h>

/* A relay has this long to answer, in ms; then the store is asked. */
#define ANSWER_MAX_MS 700
/* Relays are not asked for this long after one didn't know the changes, in ms:
 * its first read of the list takes about as long. */
#define BACKOFF_MS 2000

/* One call for changes. */
struct ask {
	struct relay_client *c;
	char *table;
	int64_t after;
	int64_t wait_ms;
	rows_done done;
	void *priv;
	struct tmr *timer; /* NULL: the store was asked meanwhile */
};

static void ask_store(struct ask *a)
{
	struct relay_client *c = a->c;

	TALLOC_FREE(a->timer);
	c->list_due_ms = clk_mono_ms(c->clk) + BACKOFF_MS;
	c->counts.lists_direct++;
	c->rows.ops->changes(c->rows.self, a->table, a->after, a->wait_ms,
			     a->done, a->priv);
}

static void on_late(void *priv)
{
	struct ask *a = priv;

	a->timer = NULL;
	ask_store(a);
}

static void on_list(const struct list_changes *list, void *priv)
{
	struct ask *a = priv;
	struct rows_answer answer = { .result = ROWS_OK };

	if (a->timer && list && list->version >= a->after) {
		TALLOC_FREE(a->timer);
		a->c->counts.lists_relayed++;
		answer.version = list->version;
		answer.now_ms = list->store_ms;
		answer.n = list->n;
		answer.rows = list->rows;
		a->done(&answer, a->priv);
	} else if (a->timer) {
		ask_store(a);
	}
	talloc_free(a);
}

static void list_changes(void *self, const char *table, int64_t after,
			 int64_t wait_ms, rows_done done, void *priv)
{
	struct relay_client *c = self;
	struct relay_call call = {
		.kind = RELAY_LIST,
		.to = { .id = "", .address = "", .timeout_ms = ANSWER_MAX_MS },
		.durable_seq = after
	};
	struct pending *p = NULL;
	struct ask *a;

	if (clk_mono_ms(c->clk) >= c->list_due_ms)
		p = relay_try_list(c, &call);
	if (!p) {
		c->rows.ops->changes(c->rows.self, table, after, wait_ms, done,
				     priv);
		return;
	}
	a = talloc_zero(c, struct ask);
	a->c = c;
	a->table = talloc_strdup(a, table);
	a->after = after;
	a->wait_ms = wait_ms;
	a->done = done;
	a->priv = priv;
	a->timer = tmr_after(c->timers, ANSWER_MAX_MS, on_late, a);
	p->listed = on_list;
	p->priv = a;
}

static void list_commit(void *self, const struct rows_tx *tx, rows_done done,
			void *priv)
{
	struct relay_client *c = self;

	c->rows.ops->commit(c->rows.self, tx, done, priv);
}

static void list_read(void *self, const struct rows_range *range,
		      rows_done done, void *priv)
{
	struct relay_client *c = self;

	c->rows.ops->read(c->rows.self, range, done, priv);
}

static int64_t list_silent_ms(const void *self)
{
	const struct relay_client *c = self;

	return c->rows.ops->silent_ms(c->rows.self);
}

struct rows relay_client_list_rows(struct relay_client *c)
{
	static const struct rows_ops ops = { list_commit, list_read,
					     list_changes, list_silent_ms };

	return (struct rows){ &ops, c };
}
