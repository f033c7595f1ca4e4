/* Encodes and decodes the messages between owners and relays. */
#include "fleet/relay_msg.h"

#include <msgpack.h>
#include <string.h>
#include <talloc.h>

#include "protocol/msg.h"

/* Payloads kept for a connection: more jobs than are started at a time. */
#define PAYLOADS_MAX 256
/* Numbers of fields; those of a call and of an answer without the ones that
 * were added to the first release. */
#define CALL_FIELDS 20
#define CALL_FIELDS_ADDED 1
#define ANSWER_FIELDS 4
#define ANSWER_FIELDS_ADDED 2
#define ANSWER_FIELDS_WITH_LIST (ANSWER_FIELDS + ANSWER_FIELDS_ADDED + 1)
#define REPORT_FIELDS 4
#define ACTIVE_FIELDS 8
#define END_FIELDS 8
#define DELTA_FIELDS 8
#define CHANGE_FIELDS 4
#define LIST_FIELDS 3
#define ROW_FIELDS 4
/* An answer, its report, the list of runs, and one of them. */
#define DEPTH_MAX 4

/* A list whose fields are read in order. `bad` is set by the first field that
 * is missing or of another type. */
struct reader {
	const msgpack_object *at;
	uint32_t left;
	bool bad;
};

static struct reader read_list(const msgpack_object *o, uint32_t fields)
{
	struct reader r = { 0 };

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < fields) {
		r.bad = true;
		return r;
	}
	r.at = o->via.array.ptr;
	r.left = o->via.array.size;
	return r;
}

static const msgpack_object *next(struct reader *r)
{
	if (r->bad || !r->left) {
		r->bad = true;
		return NULL;
	}
	r->left--;
	return r->at++;
}

static int64_t read_int(struct reader *r, int64_t min, int64_t max)
{
	const msgpack_object *o = next(r);
	int64_t v = min;

	if (o && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    o->via.u64 <= INT64_MAX)
		v = (int64_t)o->via.u64;
	else if (o && o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		v = o->via.i64;
	else
		r->bad = true;
	if (v < min || v > max)
		r->bad = true;
	return r->bad ? min : v;
}

/* Returns NULL for nil. */
static const char *read_text(struct reader *r, void *ctx, bool may_be_nil)
{
	const msgpack_object *o = next(r);

	if (o && o->type == MSGPACK_OBJECT_NIL && may_be_nil)
		return NULL;
	if (o && o->type == MSGPACK_OBJECT_STR && !o->via.str.size)
		return "";
	if (!o || o->type != MSGPACK_OBJECT_STR ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size)) {
		r->bad = true;
		return NULL;
	}
	return talloc_strndup(ctx, o->via.str.ptr, o->via.str.size);
}

static void read_chars(struct reader *r, char *out, size_t size)
{
	const msgpack_object *o = next(r);

	*out = '\0';
	if (!o || o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size) {
		r->bad = true;
		return;
	}
	/* An empty text has no address. */
	if (o->via.str.size)
		memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
}

static void read_ref(struct reader *r, struct sched_ref *out)
{
	read_chars(r, out->job, sizeof(out->job));
	out->round = read_int(r, 0, INT64_MAX);
	out->step = (int32_t)read_int(r, 0, INT32_MAX);
	out->index = (int32_t)read_int(r, 0, INT32_MAX);
	out->run = (int32_t)read_int(r, 0, INT32_MAX);
}

static void pack_text(msgpack_packer *pk, const char *s)
{
	size_t len;

	if (!s) {
		msgpack_pack_nil(pk);
		return;
	}
	len = strlen(s);
	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, s, len);
}

static void pack_ref(msgpack_packer *pk, const struct sched_ref *ref)
{
	pack_text(pk, ref->job);
	msgpack_pack_int64(pk, ref->round);
	msgpack_pack_int64(pk, ref->step);
	msgpack_pack_int64(pk, ref->index);
	msgpack_pack_int64(pk, ref->run);
}

static uint8_t *take_buffer(void *ctx, msgpack_sbuffer *buf, size_t *len)
{
	uint8_t *out = talloc_memdup(ctx, buf->data, buf->size);

	*len = buf->size;
	msgpack_sbuffer_destroy(buf);
	return out;
}

enum traffic_purpose relay_purpose(enum relay_kind kind)
{
	switch (kind) {
	case RELAY_START:
		return TRAFFIC_STARTS;
	case RELAY_STOP:
	case RELAY_PACE:
		return TRAFFIC_COMMANDS;
	case RELAY_POLL:
		return TRAFFIC_REPORTS;
	case RELAY_LIST:
		return TRAFFIC_WORKER_LIST;
	case RELAY_PING:
		break;
	}
	return TRAFFIC_RELAYS;
}

uint8_t *relay_pack_call(void *ctx, const struct relay_call *call, size_t *len)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, call->base < 0
					? CALL_FIELDS
					: CALL_FIELDS + CALL_FIELDS_ADDED);
	msgpack_pack_int64(&pk, (int64_t)call->id);
	msgpack_pack_int64(&pk, call->kind);
	msgpack_pack_int64(&pk, call->sent_ms);
	pack_text(&pk, call->to.id);
	pack_text(&pk, call->to.address);
	msgpack_pack_int64(&pk, call->to.fence);
	msgpack_pack_int64(&pk, call->to.lease_end_clock_ms);
	msgpack_pack_int64(&pk, call->to.fresh_connection);
	msgpack_pack_int64(&pk, call->to.timeout_ms);
	pack_ref(&pk, &call->ref);
	msgpack_pack_int64(&pk, call->percent);
	msgpack_pack_int64(&pk, call->durable_seq);
	msgpack_pack_int64(&pk, call->wait_ms);
	pack_text(&pk, call->payload);
	pack_text(&pk, call->checkpoint);
	pack_text(&pk, call->ticket);
	if (call->base >= 0)
		msgpack_pack_int64(&pk, call->base);
	return take_buffer(ctx, &buf, len);
}

bool relay_unpack_call(void *ctx, const uint8_t *data, size_t len,
		       struct relay_call *out)
{
	msgpack_unpacked msg;
	struct reader r = { .bad = true };

	memset(out, 0, sizeof(*out));
	msgpack_unpacked_init(&msg);
	if (msg_is_well_formed(data, len, DEPTH_MAX) &&
	    msgpack_unpack_next(&msg, (const char *)data, len, NULL) ==
		    MSGPACK_UNPACK_SUCCESS)
		r = read_list(&msg.data, CALL_FIELDS);
	out->id = (uint64_t)read_int(&r, 0, INT64_MAX);
	out->kind = (enum relay_kind)read_int(&r, RELAY_START, RELAY_LIST);
	out->sent_ms = read_int(&r, INT64_MIN, INT64_MAX);
	out->to.id = read_text(&r, ctx, false);
	out->to.address = read_text(&r, ctx, false);
	out->to.fence = read_int(&r, 0, INT64_MAX);
	out->to.lease_end_clock_ms = read_int(&r, 0, INT64_MAX);
	out->to.fresh_connection = read_int(&r, 0, 1);
	out->to.timeout_ms = read_int(&r, 0, INT32_MAX);
	read_ref(&r, &out->ref);
	out->percent = (int32_t)read_int(&r, 0, 100);
	out->durable_seq = read_int(&r, 0, INT64_MAX);
	out->wait_ms = read_int(&r, 0, INT32_MAX);
	out->payload = read_text(&r, ctx, true);
	out->checkpoint = read_text(&r, ctx, true);
	out->ticket = read_text(&r, ctx, true);
	out->base = r.left ? read_int(&r, 0, INT64_MAX) : -1;
	msgpack_unpacked_destroy(&msg);
	return !r.bad;
}

static void pack_active(msgpack_packer *pk, const struct sched_active *rows,
			int32_t n)
{
	msgpack_pack_array(pk, (size_t)n);
	for (int32_t i = 0; i < n; i++) {
		const struct sched_active *a = &rows[i];

		msgpack_pack_array(pk, ACTIVE_FIELDS);
		pack_ref(pk, &a->ref);
		pack_text(pk, a->checkpoint);
		msgpack_pack_int64(pk, a->percent);
		msgpack_pack_int64(pk, a->gauge);
	}
}

static void pack_ends(msgpack_packer *pk, const struct sched_end *rows,
		      int32_t n)
{
	msgpack_pack_array(pk, (size_t)n);
	for (int32_t i = 0; i < n; i++) {
		const struct sched_end *e = &rows[i];

		msgpack_pack_array(pk, END_FIELDS);
		msgpack_pack_int64(pk, e->seq);
		pack_ref(pk, &e->ref);
		msgpack_pack_int64(pk, e->reason);
		pack_text(pk, e->checkpoint);
	}
}

static void pack_removed(msgpack_packer *pk, const struct relay_moves *moves)
{
	msgpack_pack_array(pk, (size_t)moves->n_removed);
	for (int32_t i = 0; i < moves->n_removed; i++)
		msgpack_pack_int64(pk, moves->removed[i]);
}

static void pack_delta(msgpack_packer *pk, const struct relay_delta *d)
{
	msgpack_pack_array(pk, DELTA_FIELDS);
	msgpack_pack_int64(pk, d->base);
	msgpack_pack_int64(pk, d->clock_ms);
	msgpack_pack_int64(pk, d->born_ms);
	pack_removed(pk, &d->active_moves);
	msgpack_pack_array(pk, (size_t)d->n_changed);
	for (int32_t i = 0; i < d->n_changed; i++) {
		msgpack_pack_array(pk, CHANGE_FIELDS);
		msgpack_pack_int64(pk, d->changed[i].index);
		msgpack_pack_int64(pk, d->changed[i].percent);
		msgpack_pack_int64(pk, d->changed[i].gauge);
		pack_text(pk, d->changed[i].checkpoint);
	}
	pack_active(pk, d->added_active, d->active_moves.n_added);
	pack_removed(pk, &d->end_moves);
	pack_ends(pk, d->added_ends, d->end_moves.n_added);
}

static void pack_list(msgpack_packer *pk, const struct list_changes *list)
{
	msgpack_pack_array(pk, LIST_FIELDS);
	msgpack_pack_int64(pk, list->version);
	msgpack_pack_int64(pk, list->store_ms);
	msgpack_pack_array(pk, (size_t)list->n);
	for (int32_t i = 0; i < list->n; i++) {
		const struct rows_row *row = &list->rows[i];

		msgpack_pack_array(pk, ROW_FIELDS);
		pack_text(pk, row->key);
		msgpack_pack_int64(pk, row->version);
		msgpack_pack_int64(pk, row->deleted);
		pack_text(pk, row->value);
	}
}

static void pack_report(msgpack_packer *pk, const struct sched_report *report)
{
	msgpack_pack_array(pk, REPORT_FIELDS);
	msgpack_pack_int64(pk, report->clock_ms);
	msgpack_pack_int64(pk, report->born_ms);
	pack_active(pk, report->active, report->n_active);
	pack_ends(pk, report->ends, report->n_ends);
}

static size_t answer_fields(const struct relay_answer *answer)
{
	if (answer->list)
		return ANSWER_FIELDS_WITH_LIST;
	return answer->number ? ANSWER_FIELDS + ANSWER_FIELDS_ADDED
			      : ANSWER_FIELDS;
}

uint8_t *relay_pack_answer(void *ctx, const struct relay_answer *answer,
			   size_t *len)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, answer_fields(answer));
	msgpack_pack_int64(&pk, (int64_t)answer->id);
	msgpack_pack_int64(&pk, answer->started);
	msgpack_pack_int64(&pk, answer->answered);
	if (answer->report)
		pack_report(&pk, answer->report);
	else
		msgpack_pack_nil(&pk);
	if (answer->number || answer->list)
		msgpack_pack_int64(&pk, answer->number);
	if (answer->number && answer->delta)
		pack_delta(&pk, answer->delta);
	else if (answer->number || answer->list)
		msgpack_pack_nil(&pk);
	if (answer->list)
		pack_list(&pk, answer->list);
	return take_buffer(ctx, &buf, len);
}

static bool read_active(const msgpack_object *o, struct sched_active *out)
{
	struct reader r = read_list(o, ACTIVE_FIELDS);

	read_ref(&r, &out->ref);
	read_chars(&r, out->checkpoint, sizeof(out->checkpoint));
	out->percent = (int32_t)read_int(&r, 0, 100);
	out->gauge = read_int(&r, 0, INT64_MAX);
	return !r.bad;
}

static bool read_end(const msgpack_object *o, struct sched_end *out)
{
	struct reader r = read_list(o, END_FIELDS);

	out->seq = read_int(&r, 1, INT64_MAX);
	read_ref(&r, &out->ref);
	out->reason = (enum sched_end_reason)read_int(
		&r, SCHED_END_DONE, SCHED_END_GANG_INCOMPLETE);
	read_chars(&r, out->checkpoint, sizeof(out->checkpoint));
	return !r.bad;
}

/* Returns the elements of the next field, a list; `n` is their number. */
static const msgpack_object *read_elements(struct reader *r, int32_t *n)
{
	const msgpack_object *o = next(r);

	*n = 0;
	if (!o || o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size > INT32_MAX) {
		r->bad = true;
		return NULL;
	}
	*n = (int32_t)o->via.array.size;
	return o->via.array.ptr;
}

static struct sched_active *read_active_rows(struct reader *r, void *ctx,
					     int32_t *n)
{
	const msgpack_object *rows = read_elements(r, n);
	struct sched_active *out =
		talloc_zero_array(ctx, struct sched_active, *n);

	for (int32_t i = 0; i < *n; i++)
		r->bad |= !read_active(&rows[i], &out[i]);
	return out;
}

static struct sched_end *read_end_rows(struct reader *r, void *ctx, int32_t *n)
{
	const msgpack_object *rows = read_elements(r, n);
	struct sched_end *out = talloc_zero_array(ctx, struct sched_end, *n);

	for (int32_t i = 0; i < *n; i++)
		r->bad |= !read_end(&rows[i], &out[i]);
	return out;
}

static void read_removed(struct reader *r, void *ctx, struct relay_moves *moves)
{
	const msgpack_object *rows = read_elements(r, &moves->n_removed);
	struct reader all = { rows, (uint32_t)moves->n_removed, false };

	moves->removed = talloc_zero_array(ctx, int32_t, moves->n_removed);
	for (int32_t i = 0; i < moves->n_removed; i++)
		moves->removed[i] = (int32_t)read_int(&all, 0, INT32_MAX);
	r->bad |= all.bad;
}

static void read_changes(struct reader *r, struct relay_delta *out)
{
	const msgpack_object *rows = read_elements(r, &out->n_changed);

	out->changed =
		talloc_zero_array(out, struct relay_change, out->n_changed);
	for (int32_t i = 0; i < out->n_changed; i++) {
		struct relay_change *c = &out->changed[i];
		struct reader row = read_list(&rows[i], CHANGE_FIELDS);

		c->index = (int32_t)read_int(&row, 0, INT32_MAX);
		c->percent = (int32_t)read_int(&row, 0, 100);
		c->gauge = read_int(&row, 0, INT64_MAX);
		c->checkpoint = read_text(&row, out, true);
		r->bad |= row.bad ||
			  (c->checkpoint &&
			   strlen(c->checkpoint) >= SCHED_CHECKPOINT_MAX);
	}
}

/* Returns NULL if the difference is malformed. */
static struct relay_delta *read_delta(void *ctx, const msgpack_object *o)
{
	struct reader r = read_list(o, DELTA_FIELDS);
	struct relay_delta *out = talloc_zero(ctx, struct relay_delta);

	out->base = read_int(&r, 1, INT64_MAX);
	out->clock_ms = read_int(&r, 0, INT64_MAX);
	out->born_ms = read_int(&r, 0, INT64_MAX);
	read_removed(&r, out, &out->active_moves);
	read_changes(&r, out);
	out->added_active =
		read_active_rows(&r, out, &out->active_moves.n_added);
	read_removed(&r, out, &out->end_moves);
	out->added_ends = read_end_rows(&r, out, &out->end_moves.n_added);
	return r.bad ? NULL : out;
}

/* Returns NULL if the report is malformed. */
static struct sched_report *read_report(void *ctx, const msgpack_object *o)
{
	struct reader r = read_list(o, REPORT_FIELDS);
	struct sched_report *out = talloc_zero(ctx, struct sched_report);

	out->clock_ms = read_int(&r, 0, INT64_MAX);
	out->born_ms = read_int(&r, 0, INT64_MAX);
	out->active = read_active_rows(&r, out, &out->n_active);
	out->ends = read_end_rows(&r, out, &out->n_ends);
	return r.bad ? NULL : out;
}

/* Returns NULL if the list is malformed. */
static struct list_changes *read_list_changes(void *ctx,
					      const msgpack_object *o)
{
	struct reader r = read_list(o, LIST_FIELDS);
	struct list_changes *out = talloc_zero(ctx, struct list_changes);
	const msgpack_object *rows;

	out->version = read_int(&r, 0, INT64_MAX);
	out->store_ms = read_int(&r, 0, INT64_MAX);
	rows = read_elements(&r, &out->n);
	out->rows = talloc_zero_array(out, struct rows_row, out->n);
	for (int32_t i = 0; i < out->n; i++) {
		struct reader row = read_list(&rows[i], ROW_FIELDS);

		out->rows[i].part = "";
		out->rows[i].key = read_text(&row, out, false);
		out->rows[i].version = read_int(&row, 0, INT64_MAX);
		out->rows[i].deleted = read_int(&row, 0, 1);
		out->rows[i].value = read_text(&row, out, true);
		r.bad |= row.bad;
	}
	return r.bad ? NULL : out;
}

bool relay_unpack_answer(void *ctx, const uint8_t *data, size_t len,
			 struct relay_answer *out)
{
	const msgpack_object *report;
	const msgpack_object *delta = NULL;
	const msgpack_object *list = NULL;
	msgpack_unpacked msg;
	struct reader r = { .bad = true };

	memset(out, 0, sizeof(*out));
	msgpack_unpacked_init(&msg);
	if (msg_is_well_formed(data, len, DEPTH_MAX) &&
	    msgpack_unpack_next(&msg, (const char *)data, len, NULL) ==
		    MSGPACK_UNPACK_SUCCESS)
		r = read_list(&msg.data, ANSWER_FIELDS);
	out->id = (uint64_t)read_int(&r, 0, INT64_MAX);
	out->started = (enum sched_start_result)read_int(&r, SCHED_START_OK,
							 SCHED_START_UNKNOWN);
	out->answered = read_int(&r, 0, 1);
	report = next(&r);
	if (report && report->type != MSGPACK_OBJECT_NIL) {
		out->report = read_report(ctx, report);
		r.bad |= !out->report;
	}
	if (r.left) {
		out->number = read_int(&r, 0, INT64_MAX);
		delta = next(&r);
	}
	if (delta && delta->type != MSGPACK_OBJECT_NIL) {
		out->delta = read_delta(ctx, delta);
		r.bad |= !out->delta;
	}
	if (r.left)
		list = next(&r);
	if (list && list->type != MSGPACK_OBJECT_NIL) {
		out->list = read_list_changes(ctx, list);
		r.bad |= !out->list;
	}
	msgpack_unpacked_destroy(&msg);
	return !r.bad;
}

void relay_payloads_init(struct relay_payloads *p)
{
	p->texts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_queue_init(&p->ids);
}

void relay_payloads_finish(struct relay_payloads *p)
{
	g_hash_table_destroy(p->texts);
	g_queue_clear_full(&p->ids, g_free);
}

const char *relay_payloads_find(const struct relay_payloads *p, const char *job)
{
	return g_hash_table_lookup(p->texts, job);
}

void relay_payloads_add(struct relay_payloads *p, const char *job,
			const char *payload)
{
	char *id;

	if (relay_payloads_find(p, job))
		return;
	if (p->ids.length == PAYLOADS_MAX) {
		id = g_queue_pop_head(&p->ids);
		g_hash_table_remove(p->texts, id);
		g_free(id);
	}
	id = g_strdup(job);
	g_queue_push_tail(&p->ids, id);
	g_hash_table_insert(p->texts, id, g_strdup(payload));
}
