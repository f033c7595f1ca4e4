/* Converts an owner's row to JSON text and back. */
#include "state/owner_row.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "protocol/num.h"

static void copy_text(char *out, size_t size, const json_t *j, const char *name)
{
	const char *text = json_string_value(json_object_get(j, name));

	snprintf(out, size, "%s", text ? text : "");
}

void owner_row_clear(struct owner_row *row)
{
	talloc_free(row->pending);
	talloc_free(row->rooms);
	talloc_free(row->grants);
	talloc_free(row->overload);
	talloc_free(row->handover);
	memset(row, 0, sizeof(*row));
}

static char *text_of(void *ctx, const json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);
	char *copy = talloc_strdup(ctx, text);

	free(text);
	return copy;
}

static bool is_rooms(json_t *rooms)
{
	const char *pool;
	json_t *entry;

	json_object_foreach(rooms, pool, entry)
	{
		if (json_array_size(entry) != 2)
			return false;
	}
	return json_is_object(rooms);
}

static bool is_counts(json_t *pending)
{
	const char *queue;
	json_t *count;

	json_object_foreach(pending, queue, count)
	{
		if (!json_is_integer(count) || json_integer_value(count) < 0)
			return false;
	}
	return json_is_object(pending);
}

void owner_row_parse(void *ctx, const char *text, struct owner_row *out)
{
	json_t *j = text ? json_loads(text, 0, NULL) : NULL;
	json_t *pending = json_object_get(j, "pending");
	const json_t *handover = json_object_get(j, "handed");
	const json_t *room = json_object_get(j, "job_room");

	owner_row_clear(out);
	if (handover)
		out->handover = text_of(ctx, handover);
	copy_text(out->vm, sizeof(out->vm), j, "vm");
	copy_text(out->incarnation, sizeof(out->incarnation), j, "life");
	out->epoch = json_integer_value(json_object_get(j, "epoch"));
	out->seq = json_integer_value(json_object_get(j, "seq"));
	out->released = json_is_true(json_object_get(j, "released"));
	out->max_cpu_milli =
		json_integer_value(json_object_get(j, "strongest_milli"));
	out->lease_ms = json_integer_value(json_object_get(j, "lease_ms"));
	out->previous_renews_ms =
		json_integer_value(json_object_get(j, "renews_ms"));
	out->long_leases_ms =
		num_clamp(json_object_get(j, "long_leases_ms"), 0, NUM_MAX, 0);
	out->stopping = json_is_true(json_object_get(j, "stopping"));
	out->starts_end_ms =
		num_clamp(json_object_get(j, "starts_end_ms"), 0, NUM_MAX, 0);
	if (is_counts(pending)) {
		out->pending = text_of(ctx, pending);
		out->pending_ms = num_clamp(json_object_get(j, "pending_ms"), 0,
					    NUM_MAX, OWNER_ROW_UNDATED);
	}
	if (is_rooms(json_object_get(j, "rooms")))
		out->rooms = text_of(ctx, json_object_get(j, "rooms"));
	out->has_job_room = num_integer(json_array_get(room, 0), 0, NUM_MAX,
					&out->small_job_room) &&
			    num_integer(json_array_get(room, 1), 0, NUM_MAX,
					&out->large_job_room);
	if (json_is_object(json_object_get(j, "grants")))
		out->grants = text_of(ctx, json_object_get(j, "grants"));
	if (json_is_object(json_object_get(j, "overload")))
		out->overload = text_of(ctx, json_object_get(j, "overload"));
	out->pending_version =
		json_integer_value(json_object_get(j, "pending_version"));
	copy_text(out->successor, sizeof(out->successor), j, "successor");
	copy_text(out->successor_incarnation,
		  sizeof(out->successor_incarnation), j, "successor_life");
	json_decref(j);
}

/* Before there was an owner nobody knows how strong other VMs are. Those with
 * less than half a core leave the first claim to stronger ones: an owner of an
 * eighth of a core failed one request in five under load. */
#define FIRST_OWNER_MILLI 500
/* Longest delay of a first claim, in ms: VMs start within 0.3 s of each other,
 * and read the row each half second. */
#define FIRST_CLAIM_DELAY_MAX_MS 1500

int64_t owner_row_claim_delay_ms(const struct owner_row *row, int64_t cpu_milli,
				 int64_t claim_delay_ms)
{
	int64_t max = row->max_cpu_milli;

	if (!row->epoch && cpu_milli > 0 && cpu_milli < FIRST_OWNER_MILLI)
		return MIN(claim_delay_ms * FIRST_OWNER_MILLI *
				   FIRST_OWNER_MILLI / (cpu_milli * cpu_milli),
			   MAX(claim_delay_ms, FIRST_CLAIM_DELAY_MAX_MS));

	if (cpu_milli <= 0 || max <= cpu_milli)
		return claim_delay_ms;
	return claim_delay_ms * max * max / (cpu_milli * cpu_milli);
}

char *owner_row_text(const struct owner_row *row)
{
	json_t *pending =
		json_loads(row->pending ? row->pending : "{}", 0, NULL);
	json_t *j = json_pack("{s:s,s:s,s:I,s:I,s:b,s:I,s:I,s:I,s:o}", "vm",
			      row->vm, "life", row->incarnation, "epoch",
			      (json_int_t)row->epoch, "seq",
			      (json_int_t)row->seq, "released", row->released,
			      "strongest_milli", (json_int_t)row->max_cpu_milli,
			      "lease_ms", (json_int_t)row->lease_ms,
			      "renews_ms", (json_int_t)row->previous_renews_ms,
			      "pending", pending ? pending : json_object());
	char *text;

	json_object_set_new(j, "pending_ms", json_integer(row->pending_ms));
	json_object_set_new(j, "pending_version",
			    json_integer(row->pending_version));
	if (row->long_leases_ms)
		json_object_set_new(j, "long_leases_ms",
				    json_integer(row->long_leases_ms));
	if (row->stopping)
		json_object_set_new(j, "stopping", json_true());
	if (row->starts_end_ms)
		json_object_set_new(j, "starts_end_ms",
				    json_integer(row->starts_end_ms));
	if (*row->successor) {
		json_object_set_new(j, "successor",
				    json_string(row->successor));
		json_object_set_new(j, "successor_life",
				    json_string(row->successor_incarnation));
	}
	if (row->rooms)
		json_object_set_new(j, "rooms",
				    json_loads(row->rooms, 0, NULL));
	if (row->has_job_room)
		json_object_set_new(j, "job_room",
				    json_pack("[I,I]",
					      (json_int_t)row->small_job_room,
					      (json_int_t)row->large_job_room));
	if (row->grants)
		json_object_set_new(j, "grants",
				    json_loads(row->grants, 0, NULL));
	if (row->overload)
		json_object_set_new(j, "overload",
				    json_loads(row->overload, 0, NULL));
	if (row->handover)
		json_object_set_new(j, "handed",
				    json_loads(row->handover, 0, NULL));
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}
