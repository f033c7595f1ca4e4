/* Encodes and decodes the messages between owners and relays. */
#include "fleet/relay_msg.h"

#include <msgpack.h>
#include <string.h>
#include <talloc.h>

#include "protocol/msg.h"

/* Payloads kept for a connection: more jobs than are started at a time. */
#define PAYLOADS_MAX 256
/* Numbers of fields. */
#define CALL_FIELDS 20
#define ANSWER_FIELDS 4
#define REPORT_FIELDS 4
#define ACTIVE_FIELDS 8
#define END_FIELDS 8
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
	msgpack_pack_array(&pk, CALL_FIELDS);
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
	out->kind = (enum relay_kind)read_int(&r, RELAY_START, RELAY_PING);
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
	msgpack_unpacked_destroy(&msg);
	return !r.bad;
}

static void pack_report(msgpack_packer *pk, const struct sched_report *report)
{
	msgpack_pack_array(pk, REPORT_FIELDS);
	msgpack_pack_int64(pk, report->clock_ms);
	msgpack_pack_int64(pk, report->born_ms);
	msgpack_pack_array(pk, (size_t)report->n_active);
	for (int32_t i = 0; i < report->n_active; i++) {
		const struct sched_active *a = &report->active[i];

		msgpack_pack_array(pk, ACTIVE_FIELDS);
		pack_ref(pk, &a->ref);
		pack_text(pk, a->checkpoint);
		msgpack_pack_int64(pk, a->percent);
		msgpack_pack_int64(pk, a->gauge);
	}
	msgpack_pack_array(pk, (size_t)report->n_ends);
	for (int32_t i = 0; i < report->n_ends; i++) {
		const struct sched_end *e = &report->ends[i];

		msgpack_pack_array(pk, END_FIELDS);
		msgpack_pack_int64(pk, e->seq);
		pack_ref(pk, &e->ref);
		msgpack_pack_int64(pk, e->reason);
		pack_text(pk, e->checkpoint);
	}
}

uint8_t *relay_pack_answer(void *ctx, const struct relay_answer *answer,
			   size_t *len)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ANSWER_FIELDS);
	msgpack_pack_int64(&pk, (int64_t)answer->id);
	msgpack_pack_int64(&pk, answer->started);
	msgpack_pack_int64(&pk, answer->answered);
	if (answer->report)
		pack_report(&pk, answer->report);
	else
		msgpack_pack_nil(&pk);
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

/* Returns NULL if the report is malformed. */
static struct sched_report *read_report(void *ctx, const msgpack_object *o)
{
	struct reader r = read_list(o, REPORT_FIELDS);
	struct sched_report *out = talloc_zero(ctx, struct sched_report);
	const msgpack_object *rows;

	out->clock_ms = read_int(&r, 0, INT64_MAX);
	out->born_ms = read_int(&r, 0, INT64_MAX);
	rows = read_elements(&r, &out->n_active);
	out->active =
		talloc_zero_array(out, struct sched_active, out->n_active);
	for (int32_t i = 0; i < out->n_active; i++)
		r.bad |= !read_active(&rows[i], &out->active[i]);
	rows = read_elements(&r, &out->n_ends);
	out->ends = talloc_zero_array(out, struct sched_end, out->n_ends);
	for (int32_t i = 0; i < out->n_ends; i++)
		r.bad |= !read_end(&rows[i], &out->ends[i]);
	return r.bad ? NULL : out;
}

bool relay_unpack_answer(void *ctx, const uint8_t *data, size_t len,
			 struct relay_answer *out)
{
	const msgpack_object *report;
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
