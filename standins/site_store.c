/*
 * The row store of the platform simulator: range reads, conditional
 * transactions and a feed of changes. Rows live in memory; a deleted row stays
 * as a tombstone, so that the feed can report it.
 */
#include <stdlib.h>
#include <string.h>

#include "standins/site.h"

#define ROWS_MAX 500

struct site_row {
	char *table;
	char *part;
	char *key;
	char *value; /* base64; NULL: deleted */
	int64_t version; /* of the store, at the row's last change */
};

/* A long poll for changes of a table after a version. */
struct site_watch {
	struct hts_req *req;
	char *table;
	int64_t after; /* version that the caller has */
	int64_t until_ms;
};

void store_init(struct site *s)
{
	s->rows = g_ptr_array_new();
	s->watches = g_ptr_array_new();
}

static int compare(const struct site_row *r, const char *table,
		   const char *part, const char *key)
{
	int by_table = strcmp(r->table, table);
	int by_part = strcmp(r->part, part);

	if (by_table)
		return by_table;
	return by_part ? by_part : strcmp(r->key, key);
}

/* Returns the row, or NULL and the index to insert it at. */
static struct site_row *find_row(const struct site *s, const char *table,
				 const char *part, const char *key,
				 guint *insert_at)
{
	guint low = 0;
	guint high = s->rows->len;

	while (low < high) {
		guint mid = (low + high) / 2;
		struct site_row *r = g_ptr_array_index(s->rows, mid);
		int c = compare(r, table, part, key);

		if (!c)
			return r;
		if (c < 0)
			low = mid + 1;
		else
			high = mid;
	}
	*insert_at = low;
	return NULL;
}

static void set_row(struct site *s, const char *table, const char *part,
		    const char *key, const char *value)
{
	guint insert_at;
	struct site_row *r = find_row(s, table, part, key, &insert_at);

	if (!r) {
		r = g_new0(struct site_row, 1);
		r->table = g_strdup(table);
		r->part = g_strdup(part);
		r->key = g_strdup(key);
		g_ptr_array_insert(s->rows, (gint)insert_at, r);
	}
	g_free(r->value);
	r->value = g_strdup(value);
	r->version = s->version;
}

void store_put(struct site *s, const char *table, const char *part,
	       const char *key, const char *value)
{
	char *b64 =
		value ? g_base64_encode((const guchar *)value, strlen(value))
		      : NULL;

	s->version++;
	set_row(s, table, part, key, b64);
	g_free(b64);
}

static json_t *row_json(const struct site_row *r)
{
	json_t *j = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
			      r->part, "key", r->key, "ver",
			      (json_int_t)r->version);

	if (r->value)
		json_object_set_new(j, "value", json_string(r->value));
	else
		json_object_set_new(j, "deleted", json_true());
	return j;
}

static json_t *rows_response(const struct site *s, json_t *rows, bool more)
{
	return json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "has_more", more,
			 "ver", (json_int_t)s->version, "now_ms",
			 (json_int_t)site_now_ms());
}

static const char *query_arg(struct hts_req *req, const char *name)
{
	const char *v = hts_query(req, name);

	return v ? v : "";
}

static void handle_get(struct site *s, struct hts_req *req)
{
	const char *to = query_arg(req, "target");
	int64_t limit = atoll(query_arg(req, "limit"));
	json_t *rows = json_array();
	bool more = false;

	limit = limit > 0 && limit < ROWS_MAX ? limit : ROWS_MAX;
	for (guint i = 0; i < s->rows->len && !more; i++) {
		const struct site_row *r = g_ptr_array_index(s->rows, i);

		if (strcmp(r->table, query_arg(req, "table")) ||
		    strcmp(r->part, query_arg(req, "part")) || !r->value ||
		    strcmp(r->key, query_arg(req, "from")) < 0 ||
		    (*to && strcmp(r->key, to) >= 0))
			continue;
		more = (int64_t)json_array_size(rows) == limit;
		if (!more)
			json_array_append_new(rows, row_json(r));
	}
	site_reply(s, req, 200, rows_response(s, rows, more));
}

static const char *str_field(const json_t *row, const char *name)
{
	const char *v = json_string_value(json_object_get(row, name));

	return v ? v : "";
}

static struct site_row *find_named(const struct site *s, const json_t *row)
{
	guint insert_at;

	return find_row(s, str_field(row, "table"), str_field(row, "part"),
			str_field(row, "key"), &insert_at);
}

/*
 * Returns NULL if all expected versions match (0: no such row), otherwise the
 * current rows of the list. The caller owns the result.
 */
static json_t *check_expected(const struct site *s, const json_t *expected)
{
	bool failed = false;
	json_t *rows = json_array();
	const json_t *row;
	size_t i;

	json_array_foreach(expected, i, row)
	{
		const struct site_row *r = find_named(s, row);
		int64_t version = r && r->value ? r->version : 0;

		failed |= version !=
			  json_integer_value(json_object_get(row, "ver"));
		if (r && r->value)
			json_array_append_new(rows, row_json(r));
	}
	if (failed)
		return rows;
	json_decref(rows);
	return NULL;
}

static void apply_changes(struct site *s, const json_t *body)
{
	const json_t *row;
	size_t i;

	s->version++;
	json_array_foreach(json_object_get(body, "set_keys"), i, row)
		set_row(s, str_field(row, "table"), str_field(row, "part"),
			str_field(row, "key"), str_field(row, "value"));
	json_array_foreach(json_object_get(body, "remove"), i, row)
	{
		if (find_named(s, row))
			set_row(s, str_field(row, "table"),
				str_field(row, "part"), str_field(row, "key"),
				NULL);
	}
}

static void handle_commit(struct site *s, struct hts_req *req)
{
	json_t *body = json_loadb(req->body, req->body_len, 0, NULL);
	json_t *rows = check_expected(s, json_object_get(body, "expected_rev"));
	bool drop_request = s->requests_to_drop > 0;
	bool drop_response = !drop_request && s->responses_to_drop > 0;

	s->requests_to_drop -= drop_request;
	s->responses_to_drop -= drop_response;
	if (!rows && !drop_request)
		apply_changes(s, body);
	json_decref(body);
	/* Leaves the request open until the caller's timeout. */
	if (drop_request || drop_response) {
		json_decref(rows);
		return;
	}
	site_reply(s, req, rows ? 412 : 200,
		   rows_response(s, rows ? rows : json_array(), false));
}

static json_t *changes_since(const struct site *s, const struct site_watch *w)
{
	json_t *rows = json_array();

	for (guint i = 0; i < s->rows->len; i++) {
		const struct site_row *r = g_ptr_array_index(s->rows, i);

		if (!strcmp(r->table, w->table) && r->version > w->after)
			json_array_append_new(rows, row_json(r));
	}
	return rows;
}

void store_tick(struct site *s)
{
	if (faults_store_unavailable(s))
		return;
	for (guint i = s->watches->len; i > 0; i--) {
		struct site_watch *w = g_ptr_array_index(s->watches, i - 1);
		json_t *rows = changes_since(s, w);

		if (!json_array_size(rows) && site_now_ms() < w->until_ms) {
			json_decref(rows);
			continue;
		}
		site_reply(s, w->req, 200, rows_response(s, rows, false));
		g_ptr_array_remove_index(s->watches, i - 1);
		g_free(w->table);
		g_free(w);
	}
}

static void handle_feed(struct site *s, struct hts_req *req)
{
	struct site_watch *w = g_new0(struct site_watch, 1);

	w->req = req;
	w->table = g_strdup(query_arg(req, "table"));
	w->after = atoll(query_arg(req, "after"));
	w->until_ms = site_now_ms() + atoll(query_arg(req, "wait_ms"));
	g_ptr_array_add(s->watches, w);
}

void store_handle(struct site *s, struct hts_req *req)
{
	if (!strcmp(req->path, "/v1/rows-get"))
		handle_get(s, req);
	else if (!strcmp(req->path, "/v1/rows-tx"))
		handle_commit(s, req);
	else if (!strcmp(req->path, "/v1/rows-feed"))
		handle_feed(s, req);
	else
		site_reply(s, req, 404, json_object());
}
