/* The text of an owner's row. */
#include "state/owner_row.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static void copy_text(char *out, size_t size, const json_t *j, const char *name)
{
	const char *text = json_string_value(json_object_get(j, name));

	snprintf(out, size, "%s", text ? text : "");
}

void owner_row_parse(void *ctx, const char *text, struct owner_row *out)
{
	json_t *j = text ? json_loads(text, 0, NULL) : NULL;

	talloc_free(out->pending);
	memset(out, 0, sizeof(*out));
	if (j) {
		char *p =
			json_dumps(json_object_get(j, "pending"), JSON_COMPACT);

		out->pending = talloc_strdup(ctx, p ? p : "{}");
		free(p);
	}
	copy_text(out->vm, sizeof(out->vm), j, "vm");
	copy_text(out->life, sizeof(out->life), j, "life");
	out->epoch = json_integer_value(json_object_get(j, "epoch"));
	out->seq = json_integer_value(json_object_get(j, "seq"));
	out->released = json_is_true(json_object_get(j, "released"));
	out->strongest_milli =
		json_integer_value(json_object_get(j, "strongest_milli"));
	copy_text(out->successor, sizeof(out->successor), j, "successor");
	copy_text(out->successor_life, sizeof(out->successor_life), j,
		  "successor_life");
	json_decref(j);
}

char *owner_row_text(const struct owner_row *row)
{
	json_t *pending =
		json_loads(row->pending ? row->pending : "{}", 0, NULL);
	json_t *j = json_pack(
		"{s:s,s:s,s:I,s:I,s:b,s:I,s:o}", "vm", row->vm, "life",
		row->life, "epoch", (json_int_t)row->epoch, "seq",
		(json_int_t)row->seq, "released", row->released,
		"strongest_milli", (json_int_t)row->strongest_milli, "pending",
		pending ? pending : json_object());
	char *text;

	if (*row->successor) {
		json_object_set_new(j, "successor",
				    json_string(row->successor));
		json_object_set_new(j, "successor_life",
				    json_string(row->successor_life));
	}
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}
