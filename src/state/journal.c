/* A shard's journal in the table service: a ring buffer of batches. */
#include "state/journal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "state/config_watch.h"

#define RETRY_MS 100
#define KEY_MAX 96

struct journal {
	struct tevent_context *ev;
	struct sto *sto;
	int shard;
	char owner_key[KEY_MAX];
	int64_t owner_revision;
	const struct journal_ops *ops;
	void *priv;
	int calls_in_flight; /* to the store */
	int64_t next_seq; /* sequence number of the next batch */
	int64_t snapshot_seq; /* last batch covered by the snapshot */
	char snapshot_name[KEY_MAX];
	int64_t snapshot_revision; /* of the row that names the snapshot */
	int64_t row_revisions[JOURNAL_ROWS]; /* of the batch rows; 0: absent */
	/* The batch being written. */
	json_t *batch;
	int64_t config_row_revision;
	bool conflict; /* the last attempt failed a condition */
	journal_done done;
	void *done_priv;
	/* The snapshot being saved. */
	char new_snapshot_name[KEY_MAX];
	int64_t new_seq;
	journal_done snapshot_done;
	void *snapshot_priv;
};

static void write_batch(struct journal *j);
static void recover(struct journal *j);

static int64_t int_field(const json_t *obj, const char *key)
{
	return json_integer_value(json_object_get(obj, key));
}

static void row_key(const struct journal *j, int64_t seq, char *buf)
{
	snprintf(buf, KEY_MAX, "jnl/%d/%" PRId64, j->shard, seq % JOURNAL_ROWS);
}

static void snapshot_key(const struct journal *j, char *buf)
{
	snprintf(buf, KEY_MAX, "snap/%d", j->shard);
}

static void call_later(struct journal *j,
		       void (*run)(struct tevent_context *ev,
				   struct tevent_timer *te, struct timeval now,
				   void *priv))
{
	tevent_add_timer(j->ev, j,
			 tevent_timeval_current_ofs(0, RETRY_MS * 1000), run,
			 j);
}

static void on_recover_timer(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval now, void *priv)
{
	(void)ev;
	(void)te;
	(void)now;
	recover(priv);
}

static int compare_seq(const void *a, const void *b)
{
	int64_t x = int_field(*(json_t *const *)a, "seq");
	int64_t y = int_field(*(json_t *const *)b, "seq");

	return (x > y) - (x < y);
}

static void replay_batches(struct journal *j, json_t **list, int n)
{
	bool complete = true;

	qsort(list, n, sizeof(*list), compare_seq);
	j->next_seq = j->snapshot_seq + 1;
	for (int i = 0; i < n && complete; i++) {
		/* A gap means that a batch was lost: stop there. */
		complete = int_field(list[i], "seq") == j->next_seq;
		if (!complete)
			break;
		j->ops->batch(json_object_get(list[i], "e"),
			      int_field(list[i], "at"), j->priv);
		j->next_seq++;
	}
	j->ops->recovered(complete, j->priv);
}

static void on_batch_rows(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;
	json_t *list[JOURNAL_ROWS];
	json_t *row;
	size_t i;
	int n = 0;

	j->calls_in_flight--;
	if (res != STO_OK) {
		call_later(j, on_recover_timer);
		return;
	}
	json_array_foreach(json_object_get(body, "rows"), i, row)
	{
		json_t *v = json_object_get(row, "v");
		int64_t seq = int_field(v, "seq");

		j->row_revisions[seq % JOURNAL_ROWS] = int_field(row, "r");
		if (seq > j->snapshot_seq && n < JOURNAL_ROWS)
			list[n++] = v;
	}
	replay_batches(j, list, n);
}

static void read_rows(struct journal *j)
{
	char prefix[KEY_MAX];

	snprintf(prefix, sizeof(prefix), "jnl/%d/", j->shard);
	j->calls_in_flight++;
	sto_scan(j->sto, prefix, on_batch_rows, j);
}

static void on_snapshot_object(enum sto_result res, const json_t *body,
			       void *priv)
{
	struct journal *j = priv;

	j->calls_in_flight--;
	if (res != STO_OK) {
		call_later(j, on_recover_timer);
		return;
	}
	j->ops->snapshot(body, j->priv);
	read_rows(j);
}

/* Records the snapshot named by `row`, which recovery would start from. */
static void use_snapshot_row(struct journal *j, const json_t *row)
{
	const json_t *v = json_object_get(row, "v");
	const char *name = json_string_value(json_object_get(v, "name"));

	j->snapshot_revision = int_field(row, "r");
	if (!name)
		return;
	snprintf(j->snapshot_name, sizeof(j->snapshot_name), "%s", name);
	j->snapshot_seq = int_field(v, "seq");
}

static void on_snapshot_row(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;
	const json_t *v = json_object_get(body, "v");
	const char *name = json_string_value(json_object_get(v, "name"));

	j->calls_in_flight--;
	if (res != STO_OK) {
		call_later(j, on_recover_timer);
		return;
	}
	if (!name) {
		read_rows(j);
		return;
	}
	use_snapshot_row(j, body);
	j->calls_in_flight++;
	sto_get_object(j->sto, name, on_snapshot_object, j);
}

static void recover(struct journal *j)
{
	char key[KEY_MAX];

	snapshot_key(j, key);
	j->calls_in_flight++;
	sto_get(j->sto, key, on_snapshot_row, j);
}

static int journal_destructor(struct journal *j)
{
	json_decref(j->batch);
	return 0;
}

struct journal *journal_open(void *ctx, struct tevent_context *ev,
			     struct sto *sto, int shard, const char *owner_key,
			     int64_t owner_revision,
			     const struct journal_ops *ops, void *priv)
{
	struct journal *j = talloc_zero(ctx, struct journal);

	j->ev = ev;
	j->sto = sto;
	j->shard = shard;
	j->owner_revision = owner_revision;
	j->ops = ops;
	j->priv = priv;
	snprintf(j->owner_key, sizeof(j->owner_key), "%s", owner_key);
	talloc_set_destructor(j, journal_destructor);
	recover(j);
	return j;
}

static void finish_batch(struct journal *j, enum journal_result res)
{
	journal_done done = j->done;

	json_decref(j->batch);
	j->batch = NULL;
	j->done = NULL;
	done(res, j->done_priv);
}

static void on_write_timer(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *priv)
{
	(void)ev;
	(void)te;
	(void)now;
	write_batch(priv);
}

static void batch_written(struct journal *j, int64_t revision)
{
	j->row_revisions[j->next_seq % JOURNAL_ROWS] = revision;
	j->next_seq++;
	finish_batch(j, JOURNAL_OK);
}

static void on_owner_row(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;

	j->calls_in_flight--;
	if (res != STO_OK)
		call_later(j, on_write_timer);
	else if (int_field(body, "r") != j->owner_revision)
		finish_batch(j, JOURNAL_NOT_OWNER);
	else if (j->conflict && j->config_row_revision >= 0)
		finish_batch(j, JOURNAL_CONFIG_CHANGED);
	else
		write_batch(j);
}

/* Finds out whether a write took effect that was unanswered or conflicted. */
static void on_read_back(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;

	j->calls_in_flight--;
	if (res != STO_OK) {
		call_later(j, on_write_timer);
		return;
	}
	if (json_equal(json_object_get(body, "v"), j->batch)) {
		batch_written(j, int_field(body, "r"));
		return;
	}
	if (int_field(body, "r") !=
	    j->row_revisions[j->next_seq % JOURNAL_ROWS]) {
		/* Another process wrote this row: it owns the shard. */
		finish_batch(j, JOURNAL_NOT_OWNER);
		return;
	}
	j->calls_in_flight++;
	sto_get(j->sto, j->owner_key, on_owner_row, j);
}

static void read_back(struct journal *j)
{
	char key[KEY_MAX];

	row_key(j, j->next_seq, key);
	j->calls_in_flight++;
	sto_get(j->sto, key, on_read_back, j);
}

static void on_written(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;

	j->calls_in_flight--;
	switch (res) {
	case STO_OK:
		batch_written(j, int_field(body, "rev"));
		return;
	case STO_NO_EFFECT:
		call_later(j, on_write_timer);
		return;
	case STO_CONFLICT:
	case STO_UNKNOWN:
		j->conflict = res == STO_CONFLICT;
		/*
		 * An unanswered write may still take effect after this read.
		 * The batch is then written again under the same conditions,
		 * so that only one of the two writes can succeed.
		 */
		read_back(j);
		return;
	}
}

static void write_batch(struct journal *j)
{
	struct sto_tx tx;
	char key[KEY_MAX];

	row_key(j, j->next_seq, key);
	sto_tx_init(&tx);
	sto_tx_if(&tx, j->owner_key, j->owner_revision);
	sto_tx_if(&tx, key, j->row_revisions[j->next_seq % JOURNAL_ROWS]);
	if (j->config_row_revision >= 0)
		sto_tx_if(&tx, CONFIG_REVISION_KEY, j->config_row_revision);
	sto_tx_put(&tx, key, json_incref(j->batch));
	j->calls_in_flight++;
	sto_commit(j->sto, &tx, on_written, j);
}

void journal_commit(struct journal *j, json_t *entries, int64_t wall_ms,
		    int64_t config_row_revision, journal_done done, void *priv)
{
	j->batch =
		json_pack("{s:I,s:I,s:I,s:o}", "seq", (json_int_t)j->next_seq,
			  "at", (json_int_t)wall_ms, "own",
			  (json_int_t)j->owner_revision, "e", entries);
	j->config_row_revision = config_row_revision;
	j->done = done;
	j->done_priv = priv;
	write_batch(j);
}

static void finish_snapshot(struct journal *j, enum journal_result res)
{
	journal_done done = j->snapshot_done;

	j->snapshot_done = NULL;
	done(res, j->snapshot_priv);
}

static void on_deleted(enum sto_result res, const json_t *body, void *priv)
{
	(void)res;
	(void)body;
	(void)priv;
}

static void on_snapshot_row_reread(enum sto_result res, const json_t *body,
				   void *priv)
{
	struct journal *j = priv;

	j->calls_in_flight--;
	if (res == STO_OK)
		use_snapshot_row(j, body);
	finish_snapshot(j, JOURNAL_NOT_WRITTEN);
}

static void on_snapshot_row_written(enum sto_result res, const json_t *body,
				    void *priv)
{
	struct journal *j = priv;
	char key[KEY_MAX];

	j->calls_in_flight--;
	if (res != STO_OK) {
		/* Either snapshot may be current: delete none, read again. */
		snapshot_key(j, key);
		j->calls_in_flight++;
		sto_get(j->sto, key, on_snapshot_row_reread, j);
		return;
	}
	if (*j->snapshot_name)
		sto_delete_object(j->sto, j->snapshot_name, on_deleted, NULL);
	snprintf(j->snapshot_name, sizeof(j->snapshot_name), "%s",
		 j->new_snapshot_name);
	j->snapshot_seq = j->new_seq;
	j->snapshot_revision = int_field(body, "rev");
	finish_snapshot(j, JOURNAL_OK);
}

static void on_object_put(enum sto_result res, const json_t *body, void *priv)
{
	struct journal *j = priv;
	struct sto_tx tx;
	char key[KEY_MAX];

	j->calls_in_flight--;
	(void)body;
	if (res != STO_OK) {
		finish_snapshot(j, JOURNAL_NOT_WRITTEN);
		return;
	}
	snapshot_key(j, key);
	sto_tx_init(&tx);
	sto_tx_if(&tx, j->owner_key, j->owner_revision);
	sto_tx_if(&tx, key, j->snapshot_revision);
	sto_tx_put(&tx, key,
		   json_pack("{s:s,s:I}", "name", j->new_snapshot_name, "seq",
			     (json_int_t)j->new_seq));
	j->calls_in_flight++;
	sto_commit(j->sto, &tx, on_snapshot_row_written, j);
}

void journal_save_snapshot(struct journal *j, json_t *state, journal_done done,
			   void *priv)
{
	char *text = json_dumps(state, JSON_COMPACT);

	j->new_seq = j->next_seq - 1;
	j->snapshot_done = done;
	j->snapshot_priv = priv;
	snprintf(j->new_snapshot_name, sizeof(j->new_snapshot_name),
		 "shard-%d-%" PRId64 "-%" PRId64, j->shard, j->owner_revision,
		 j->new_seq);
	j->calls_in_flight++;
	sto_put_object(j->sto, j->new_snapshot_name, text, on_object_put, j);
	free(text);
	json_decref(state);
}

bool journal_is_writing(const struct journal *j)
{
	return j->done != NULL;
}

bool journal_is_saving(const struct journal *j)
{
	return j->snapshot_done != NULL;
}

bool journal_is_idle(const struct journal *j)
{
	return j->calls_in_flight == 0;
}

int64_t journal_length(const struct journal *j)
{
	return j->next_seq - 1 - j->snapshot_seq;
}
