/* Encodes and decodes messages by a table of the fields of each kind. */
#include "protocol/msg.h"

#include <msgpack.h>
#include <string.h>
#include <talloc.h>

enum field_type { F_END, F_UINT, F_INT, F_BOOL, F_STR, F_BIN };

struct field {
	enum field_type type;
	size_t offset;
};

#define FIELDS_MAX 12
#define UINT_OF(f)                                                             \
	{                                                                      \
		F_UINT, offsetof(struct msg, f)                                \
	}
#define INT_OF(f)                                                              \
	{                                                                      \
		F_INT, offsetof(struct msg, f)                                 \
	}
#define BOOL_OF(f)                                                             \
	{                                                                      \
		F_BOOL, offsetof(struct msg, f)                                \
	}
#define STR_OF(f)                                                              \
	{                                                                      \
		F_STR, offsetof(struct msg, f)                                 \
	}
#define BODY                                                                   \
	{                                                                      \
		F_BIN, offsetof(struct msg, body)                              \
	}

/* New fields are only added at the end, and decoding ignores surplus ones, so
 * that processes of different versions can communicate. */
static const struct field layouts[MSG_KINDS][FIELDS_MAX] = {
	[MSG_PING] = { STR_OF(from), UINT_OF(incarnation), INT_OF(sent_us),
		       INT_OF(revision), INT_OF(status) },
	[MSG_PONG] = { STR_OF(from), UINT_OF(incarnation), INT_OF(sent_us),
		       INT_OF(revision), STR_OF(text), INT_OF(status) },
	[MSG_REQUEST] = { UINT_OF(id), STR_OF(request_id), STR_OF(service),
			  STR_OF(tenant), STR_OF(group), BOOL_OF(idempotent),
			  INT_OF(remaining_ms), BODY, STR_OF(from) },
	[MSG_BINDING] = { UINT_OF(id), STR_OF(group), STR_OF(target),
			  INT_OF(remaining_ms), STR_OF(key) },
	[MSG_ANSWER] = { UINT_OF(id), INT_OF(outcome), INT_OF(status),
			 STR_OF(text), STR_OF(target), BODY },
	[MSG_BINDING_QUERY] = { UINT_OF(id), STR_OF(group), STR_OF(from) },
	[MSG_BINDING_REPORT] = { UINT_OF(id), STR_OF(group), STR_OF(target),
				 INT_OF(remaining_ms), STR_OF(key),
				 STR_OF(from) },
	[MSG_CALL] = { UINT_OF(id), STR_OF(verb), STR_OF(key), STR_OF(text) },
	[MSG_REPLY] = { UINT_OF(id), INT_OF(status), STR_OF(text) },
};

static size_t count_fields(enum msg_kind kind)
{
	size_t n = 0;

	while (n < FIELDS_MAX && layouts[kind][n].type != F_END)
		n++;
	return n;
}

static void pack_str(msgpack_packer *pk, const char *s)
{
	size_t len = s ? strlen(s) : 0;

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, s ? s : "", len);
}

static void pack_field(msgpack_packer *pk, const struct field *f,
		       const struct msg *m)
{
	const char *at = (const char *)m + f->offset;

	switch (f->type) {
	case F_UINT:
		msgpack_pack_uint64(pk, *(const uint64_t *)at);
		return;
	case F_INT:
		msgpack_pack_int64(pk, *(const int64_t *)at);
		return;
	case F_BOOL:
		msgpack_pack_int64(pk, *(const bool *)at);
		return;
	case F_STR:
		pack_str(pk, *(const char *const *)at);
		return;
	case F_BIN:
		msgpack_pack_bin(pk, m->body_len);
		msgpack_pack_bin_body(pk, m->body ? m->body : "", m->body_len);
		return;
	case F_END:
		return;
	}
}

void *msg_pack(void *ctx, const struct msg *m, size_t *len)
{
	size_t n = count_fields(m->kind);
	msgpack_sbuffer buf;
	msgpack_packer pk;
	void *out;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, n + 1);
	msgpack_pack_int64(&pk, m->kind);
	for (size_t i = 0; i < n; i++)
		pack_field(&pk, &layouts[m->kind][i], m);
	out = talloc_memdup(ctx, buf.data, buf.size);
	*len = buf.size;
	msgpack_sbuffer_destroy(&buf);
	return out;
}

static bool get_int(const msgpack_object *o, int64_t *out)
{
	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		*out = (int64_t)o->via.u64;
	else if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		*out = o->via.i64;
	else
		return false;
	return true;
}

static bool unpack_body(struct msg *m, const msgpack_object *o)
{
	if (o->type != MSGPACK_OBJECT_BIN)
		return false;
	m->body = talloc_strndup(m, "", 0);
	m->body_len = o->via.bin.size;
	if (!m->body_len)
		return true;
	/* One byte more than the body, so that it is NUL-terminated. */
	m->body = talloc_zero_size(m, m->body_len + 1);
	memcpy((char *)m->body, o->via.bin.ptr, m->body_len);
	return true;
}

static bool unpack_field(struct msg *m, const struct field *f,
			 const msgpack_object *o)
{
	char *at = (char *)m + f->offset;
	int64_t v;

	if (f->type == F_BIN)
		return unpack_body(m, o);
	if (f->type == F_STR) {
		if (o->type != MSGPACK_OBJECT_STR)
			return false;
		*(const char **)at =
			talloc_strndup(m, o->via.str.ptr, o->via.str.size);
		return true;
	}
	if (!get_int(o, &v))
		return false;
	if (f->type == F_BOOL)
		*(bool *)at = v != 0;
	else
		*(int64_t *)at = v;
	return true;
}

/* Decoded messages have no NULL strings, whatever their kind. */
static void init_strings(struct msg *m)
{
	m->from = m->request_id = m->service = m->tenant = m->group = "";
	m->body = m->target = m->text = m->verb = m->key = "";
}

static bool unpack_all(struct msg *m, const msgpack_object *o)
{
	const msgpack_object *items = o->via.array.ptr;
	int64_t kind;
	size_t n;

	if (o->type != MSGPACK_OBJECT_ARRAY || !o->via.array.size)
		return false;
	if (!get_int(&items[0], &kind) || kind < 0 || kind >= MSG_KINDS)
		return false;
	m->kind = (enum msg_kind)kind;
	n = count_fields(m->kind);
	if (o->via.array.size < n + 1)
		return false;
	for (size_t i = 0; i < n; i++) {
		if (!unpack_field(m, &layouts[kind][i], &items[i + 1]))
			return false;
	}
	return true;
}

/* Encoding of a msgpack scalar whose type byte is from `first` to `last`. */
struct wire_type {
	uint8_t first;
	uint8_t last;
	uint8_t length_bytes; /* of a length field; 0: fixed size */
	uint8_t size; /* bytes after the type byte, if fixed */
};

static const struct wire_type wire_types[] = {
	{ 0x00, 0x7f, 0, 0 }, /* fixint */
	{ 0xe0, 0xff, 0, 0 }, { 0xc4, 0xc4, 1, 0 }, /* binary */
	{ 0xc5, 0xc5, 2, 0 }, { 0xc6, 0xc6, 4, 0 },
	{ 0xcc, 0xcc, 0, 1 }, /* numbers */
	{ 0xcd, 0xcd, 0, 2 }, { 0xce, 0xce, 0, 4 },
	{ 0xcf, 0xcf, 0, 8 }, { 0xd0, 0xd0, 0, 1 },
	{ 0xd1, 0xd1, 0, 2 }, { 0xd2, 0xd2, 0, 4 },
	{ 0xd3, 0xd3, 0, 8 }, { 0xd9, 0xd9, 1, 0 }, /* strings */
	{ 0xda, 0xda, 2, 0 }, { 0xdb, 0xdb, 4, 0 },
};

static size_t read_length(const uint8_t *at, int bytes)
{
	size_t len = 0;

	for (int i = 0; i < bytes; i++)
		len = len << 8 | at[i];
	return len;
}

/* Returns the size of the scalar at `at`, or 0 if there is no scalar or its
 * type and length don't fit in `left` bytes. */
static size_t scalar_size(const uint8_t *at, size_t left)
{
	if (*at >= 0xa0 && *at <= 0xbf)
		return 1 + (size_t)(*at & 0x1f);
	for (size_t i = 0; i < sizeof(wire_types) / sizeof(wire_types[0]);
	     i++) {
		const struct wire_type *t = &wire_types[i];

		if (*at < t->first || *at > t->last)
			continue;
		if (left < 1u + t->length_bytes)
			return 0;
		return 1 + t->length_bytes + t->size +
		       read_length(at + 1, t->length_bytes);
	}
	return 0;
}

/*
 * Returns true for an array of at most 15 scalars, as all messages are. Other
 * data must not reach the msgpack library, which allocates as much memory as a
 * length field asks for.
 */
static bool is_scalar_array(const uint8_t *data, size_t len)
{
	size_t at = 1;

	if (!len || (data[0] & 0xf0) != 0x90)
		return false;
	for (int n = data[0] & 0x0f; n > 0; n--) {
		size_t size = at < len ? scalar_size(data + at, len - at) : 0;

		if (!size || size > len - at)
			return false;
		at += size;
	}
	return at == len;
}

struct msg *msg_unpack(void *ctx, const void *data, size_t len)
{
	struct msg *m = talloc_zero(ctx, struct msg);
	msgpack_unpacked u;
	size_t at = 0;
	bool good;

	init_strings(m);
	msgpack_unpacked_init(&u);
	good = is_scalar_array(data, len) &&
	       msgpack_unpack_next(&u, data, len, &at) ==
		       MSGPACK_UNPACK_SUCCESS &&
	       unpack_all(m, &u.data);
	msgpack_unpacked_destroy(&u);
	if (good)
		return m;
	talloc_free(m);
	return NULL;
}

const char *msg_outcome_name(int64_t outcome)
{
	static const char *const names[] = { "answered", "not_run", "unknown" };

	return outcome >= 0 && outcome < 3 ? names[outcome] : "unknown";
}

/* Returns the size of the list or scalar at `at`, or 0 if its lengths don't fit
 * in `left` bytes or lists are nested deeper than `depth`. */
static size_t value_size(const uint8_t *at, size_t left, int depth)
{
	size_t header = 1;
	size_t n = 0;
	size_t used;

	if (!left)
		return 0;
	if (*at >= 0x90 && *at <= 0x9f)
		n = *at & 0x0f;
	else if (*at == 0xdc || *at == 0xdd)
		header = *at == 0xdc ? 3 : 5;
	else if (*at == 0xc0)
		return 1;
	else
		return scalar_size(at, left);
	if (!depth || left < header)
		return 0;
	if (header > 1)
		n = read_length(at + 1, (int)header - 1);
	used = header;
	for (size_t i = 0; i < n; i++) {
		size_t size = value_size(at + used, left - used, depth - 1);

		if (!size || size > left - used)
			return 0;
		used += size;
	}
	return used;
}

bool msg_is_well_formed(const void *data, size_t len, int depth)
{
	return len && value_size(data, len, depth) == len;
}
