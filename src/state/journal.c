/* A shard's journal in the table service: a ring of batches. */
#include "state/journal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "state/config_watch.h"

#define AGAIN_MS 100
#define KEY_MAX 96

struct journal {
	struct tevent_context *ev;
	struct sto *sto;
	int shard;
	char own_key[KEY_MAX];
	int64_t own_row;
	const struct journal_ops *ops;
	void *priv;
	int calls; /* under way at the store */
	int64_t next; /* sequence number of the next batch */
	int64_t snapshot_at; /* last sequence number it covers */
	char snapshot_name[KEY_MAX];
	int64_t snapshot_row; /* row revision of the pointer */
	int64_t rows[JOURNAL_RING]; /* row revisions, 0 if absent */
	/* the batch under way */
	json_t *value;
	int64_t config_row;
	bool conflict; /* the last write was refused, not lost */
	journal_done done;
	void *done_priv;
	/* the snapshot under way */
	char new_name[KEY_MAX];
	int64_t new_at;
	journal_done snap_done;
	void *snap_priv;
};

static void write_batch(struct journal *j);
static void recover(struct journal *j);

static int64_t field(const json_t *obj, const char *key)
{
	return json_integer_value(json_object_get(obj, key));
}

static void row_key(const struct journal *j, int64_t seq, char *buf)
{
	snprintf(buf, KEY_MAX, "jnl/%d/%" PRId64, j->shard, seq % JOURNAL_RING);
}

static void snap_key(const struct journal *j, char *buf)
{
	snprintf(buf, KEY_MAX, "snap/%d", j->shard);
}

static void after(struct journal *j,
		  void (*run)(struct tevent_context *ev,
			      struct tevent_timer *te, struct timeval now,
			      void *priv))
{
	tevent_add_timer(j->ev, j,
			 tevent_timeval_current_ofs(0, AGAIN_MS * 1000), run,
			 j);
}

static void on_recover_again(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval now, void *priv)
{
	(void)ev;
	(void)te;
	(void)now;
	recover(priv);
}

static int by_seq(const void *a, const void *b)
{
	int64_t x = field(*(json_t *const *)a, "seq");
	int64_t y = field(*(json_t *const *)b, "seq");

	return (x > y) - (x < y);
}

static void replay(struct journal *j, json_t **list, int n)
{
	bool good = true;

	qsort(list, n, sizeof(*list), by_seq);
	j->next = j->snapshot_at + 1;
	for (int i = 0; i < n && good; i++) {
		/* A gap would mean a lost batch: do not go on without it. */
		good = field(list[i], "seq") == j->next;
		if (!good)
			break;
		j->ops->batch(json_object_get(list[i], "e"),
			      field(list[i], "at"), j->priv);
		j->next++;
	}
	j->ops->recovered(good, j->priv);
}

static void on_rows(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;
	json_t *list[JOURNAL_RING];
	json_t *row;
	size_t i;
	int n = 0;

	j->calls--;
	if (res != STO_OK) {
		after(j, on_recover_again);
		return;
	}
	json_array_foreach(json_object_get(body, "rows"), i, row)
	{
		json_t *v = json_object_get(row, "v");
		int64_t seq = field(v, "seq");

		j->rows[seq % JOURNAL_RING] = field(row, "r");
		if (seq > j->snapshot_at && n < JOURNAL_RING)
			list[n++] = v;
	}
	replay(j, list, n);
}

static void read_rows(struct journal *j)
{
	char prefix[KEY_MAX];

	snprintf(prefix, sizeof(prefix), "jnl/%d/", j->shard);
	j->calls++;
	sto_scan(j->sto, prefix, on_rows, j);
}

static void on_object(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;

	j->calls--;
	if (res != STO_OK) {
		after(j, on_recover_again);
		return;
	}
	j->ops->snapshot(body, j->priv);
	read_rows(j);
}

/* What the pointer says now is what recovery would start from. */
static void take_pointer(struct journal *j, const json_t *row)
{
	const json_t *v = json_object_get(row, "v");
	const char *name = json_string_value(json_object_get(v, "name"));

	j->snapshot_row = field(row, "r");
	if (!name)
		return;
	snprintf(j->snapshot_name, sizeof(j->snapshot_name), "%s", name);
	j->snapshot_at = field(v, "seq");
}

static void on_snap_row(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;
	const json_t *v = json_object_get(body, "v");
	const char *name = json_string_value(json_object_get(v, "name"));

	j->calls--;
	if (res != STO_OK) {
		after(j, on_recover_again);
		return;
	}
	if (!name) {
		read_rows(j);
		return;
	}
	take_pointer(j, body);
	j->calls++;
	sto_get_object(j->sto, name, on_object, j);
}

static void recover(struct journal *j)
{
	char key[KEY_MAX];

	snap_key(j, key);
	j->calls++;
	sto_get(j->sto, key, on_snap_row, j);
}

static int journal_destructor(struct journal *j)
{
	json_decref(j->value);
	return 0;
}

struct journal *journal_open(void *ctx, struct tevent_context *ev,
			     struct sto *sto, int shard, const char *own_key,
			     int64_t own_row, const struct journal_ops *ops,
			     void *priv)
{
	struct journal *j = talloc_zero(ctx, struct journal);

	j->ev = ev;
	j->sto = sto;
	j->shard = shard;
	j->own_row = own_row;
	j->ops = ops;
	j->priv = priv;
	snprintf(j->own_key, sizeof(j->own_key), "%s", own_key);
	talloc_set_destructor(j, journal_destructor);
	recover(j);
	return j;
}

static void finish(struct journal *j, enum journal_result res)
{
	journal_done done = j->done;

	json_decref(j->value);
	j->value = NULL;
	j->done = NULL;
	done(res, j->done_priv);
}

static void on_write_again(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *priv)
{
	(void)ev;
	(void)te;
	(void)now;
	write_batch(priv);
}

static void landed(struct journal *j, int64_t row)
{
	j->rows[j->next % JOURNAL_RING] = row;
	j->next++;
	finish(j, JOURNAL_OK);
}

static void on_own_row(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;

	j->calls--;
	if (res != STO_OK)
		after(j, on_write_again);
	else if (field(body, "r") != j->own_row)
		finish(j, JOURNAL_LOST);
	else if (j->conflict && j->config_row >= 0)
		finish(j, JOURNAL_CONFIG_MOVED);
	else
		write_batch(j);
}

/* Settles a write whose answer was lost or spoke of a conflict. */
static void on_read_back(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;

	j->calls--;
	if (res != STO_OK) {
		after(j, on_write_again);
		return;
	}
	if (json_equal(json_object_get(body, "v"), j->value)) {
		landed(j, field(body, "r"));
		return;
	}
	if (field(body, "r") != j->rows[j->next % JOURNAL_RING]) {
		/* Somebody else wrote here: the shard has another owner. */
		finish(j, JOURNAL_LOST);
		return;
	}
	j->calls++;
	sto_get(j->sto, j->own_key, on_own_row, j);
}

static void read_back(struct journal *j)
{
	char key[KEY_MAX];

	row_key(j, j->next, key);
	j->calls++;
	sto_get(j->sto, key, on_read_back, j);
}

static void on_written(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;

	j->calls--;
	switch (res) {
	case STO_OK:
		landed(j, field(body, "rev"));
		return;
	case STO_DOWN:
		after(j, on_write_again);
		return;
	case STO_CONFLICT:
	case STO_UNKNOWN:
		j->conflict = res == STO_CONFLICT;
		/*
		 * A lost write may still land after this read. It is then
		 * written again under the same conditions, of which only
		 * one can hold.
		 */
		read_back(j);
		return;
	}
}

static void write_batch(struct journal *j)
{
	struct sto_tx tx;
	char key[KEY_MAX];

	row_key(j, j->next, key);
	sto_tx_init(&tx);
	sto_tx_if(&tx, j->own_key, j->own_row);
	sto_tx_if(&tx, key, j->rows[j->next % JOURNAL_RING]);
	if (j->config_row >= 0)
		sto_tx_if(&tx, CONFIG_REVISION_KEY, j->config_row);
	sto_tx_put(&tx, key, json_incref(j->value));
	j->calls++;
	sto_commit(j->sto, &tx, on_written, j);
}

void journal_commit(struct journal *j, json_t *entries, int64_t wall_ms,
		    int64_t config_row, journal_done done, void *priv)
{
	j->value = json_pack("{s:I,s:I,s:I,s:o}", "seq", (json_int_t)j->next,
			     "at", (json_int_t)wall_ms, "own",
			     (json_int_t)j->own_row, "e", entries);
	j->config_row = config_row;
	j->done = done;
	j->done_priv = priv;
	write_batch(j);
}

static void finish_snapshot(struct journal *j, enum journal_result res)
{
	journal_done done = j->snap_done;

	j->snap_done = NULL;
	done(res, j->snap_priv);
}

static void on_deleted(enum sto_result res, const json_t *body, void *priv)
{
	(void)res;
	(void)body;
	(void)priv;
}

static void on_pointer_read(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;

	j->calls--;
	if (res == STO_OK)
		take_pointer(j, body);
	finish_snapshot(j, JOURNAL_LATER);
}

static void on_pointer(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;
	char key[KEY_MAX];

	j->calls--;
	if (res != STO_OK) {
		/* Either object may be in force: delete none, look again. */
		snap_key(j, key);
		j->calls++;
		sto_get(j->sto, key, on_pointer_read, j);
		return;
	}
	if (*j->snapshot_name)
		sto_delete_object(j->sto, j->snapshot_name, on_deleted, NULL);
	snprintf(j->snapshot_name, sizeof(j->snapshot_name), "%s", j->new_name);
	j->snapshot_at = j->new_at;
	j->snapshot_row = field(body, "rev");
	finish_snapshot(j, JOURNAL_OK);
}

static void on_object_put(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;
	struct sto_tx tx;
	char key[KEY_MAX];

	j->calls--;
	(void)body;
	if (res != STO_OK) {
		finish_snapshot(j, JOURNAL_LATER);
		return;
	}
	snap_key(j, key);
	sto_tx_init(&tx);
	sto_tx_if(&tx, j->own_key, j->own_row);
	sto_tx_if(&tx, key, j->snapshot_row);
	sto_tx_put(&tx, key,
		   json_pack("{s:s,s:I}", "name", j->new_name, "seq",
			     (json_int_t)j->new_at));
	j->calls++;
	sto_commit(j->sto, &tx, on_pointer, j);
}

void journal_snapshot(struct journal *j, json_t *state, journal_done done,
		      void *priv)
{
	char *text = json_dumps(state, JSON_COMPACT);

	j->new_at = j->next - 1;
	j->snap_done = done;
	j->snap_priv = priv;
	snprintf(j->new_name, sizeof(j->new_name),
		 "shard-%d-%" PRId64 "-%" PRId64, j->shard, j->own_row,
		 j->new_at);
	j->calls++;
	sto_put_object(j->sto, j->new_name, text, on_object_put, j);
	free(text);
	json_decref(state);
}

bool journal_busy(const struct journal *j)
{
	return j->done != NULL;
}

bool journal_saving(const struct journal *j)
{
	return j->snap_done != NULL;
}

bool journal_idle(const struct journal *j)
{
	return j->calls == 0;
}

int64_t journal_length(const struct journal *j)
{
	return j->next - 1 - j->snapshot_at;
}
