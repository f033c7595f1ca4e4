/* Starts of VMs, in rows: who was restarted lately, and is up. */
#include "state/lives.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LIVES_TABLE "lives"
/* A rolling restart of nine VMs takes up to this long, in ms: three seconds
 * each. A VM that started earlier may as well be the next to stop. */
#define RECENT_MS 30000
/* A successor has at least this part of the strongest owner's processor ... */
#define STRENGTH_MIN_PERCENT 50
/* ... and its way to the store is at most so many times ours: its first call,
 * which it was measured by, opens a connection. */
#define TRIP_FACTOR 4

#define PART_MAX 32

/* Not the part of the shard: starts of all VMs at once would hold up claims. */
static const char *part_of(const char *shard, char buf[PART_MAX])
{
	snprintf(buf, PART_MAX, "lives-%s", shard);
	return buf;
}

void lives_announce(const struct rows *rows, const char *shard,
		    const struct life *l, rows_done done, void *priv)
{
	json_t *j = json_pack("{s:s,s:I,s:I,s:I}", "life", l->id, "started_ms",
			      (json_int_t)l->started_ms, "strength_milli",
			      (json_int_t)l->strength_milli, "trip_ms",
			      (json_int_t)l->trip_ms);
	char *text = json_dumps(j, JSON_COMPACT);
	struct rows_change change = { .table = LIVES_TABLE,
				      .key = l->vm,
				      .value = text };
	char part[PART_MAX];
	struct rows_tx tx = { .part = part_of(shard, part),
			      .n = 1,
			      .changes = &change };

	rows->ops->commit(rows->self, &tx, done, priv);
	free(text);
	json_decref(j);
}

void lives_withdraw(const struct rows *rows, const char *shard, const char *vm,
		    rows_done done, void *priv)
{
	struct rows_change change = { .table = LIVES_TABLE,
				      .key = vm,
				      .remove = true };
	char part[PART_MAX];
	struct rows_tx tx = { .part = part_of(shard, part),
			      .n = 1,
			      .changes = &change };

	rows->ops->commit(rows->self, &tx, done, priv);
}

void lives_read(const struct rows *rows, const char *shard, rows_done done,
		void *priv)
{
	char part[PART_MAX];
	struct rows_range range = { .table = LIVES_TABLE,
				    .part = part_of(shard, part) };

	rows->ops->read(rows->self, &range, done, priv);
}

static bool parse(const struct rows_row *row, struct life *out)
{
	json_t *j = row->value ? json_loads(row->value, 0, NULL) : NULL;
	const char *id = json_string_value(json_object_get(j, "life"));

	memset(out, 0, sizeof(*out));
	snprintf(out->vm, sizeof(out->vm), "%s", row->key);
	snprintf(out->id, sizeof(out->id), "%s", id ? id : "");
	out->started_ms = json_integer_value(json_object_get(j, "started_ms"));
	out->strength_milli =
		json_integer_value(json_object_get(j, "strength_milli"));
	out->trip_ms = json_integer_value(json_object_get(j, "trip_ms"));
	json_decref(j);
	return id;
}

static bool may_succeed(const struct life *l, const struct life *self,
			int64_t strongest_milli, int64_t now_ms)
{
	if (!strcmp(l->vm, self->vm) || now_ms - l->started_ms > RECENT_MS)
		return false;
	return l->strength_milli * 100 >=
		       strongest_milli * STRENGTH_MIN_PERCENT &&
	       l->trip_ms <= self->trip_ms * TRIP_FACTOR;
}

bool lives_choose(const struct rows_answer *ans, const struct life *self,
		  int64_t strongest_milli, struct life *out)
{
	bool found = false;

	for (int32_t i = 0; i < ans->n; i++) {
		struct life l;

		if (!parse(&ans->rows[i], &l) ||
		    !may_succeed(&l, self, strongest_milli, ans->now_ms))
			continue;
		if (found && l.started_ms <= out->started_ms)
			continue;
		*out = l;
		found = true;
	}
	return found;
}
