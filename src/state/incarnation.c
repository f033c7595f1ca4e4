/* The table of VMs that are up and when each was started. */
#include "state/incarnation.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INCARNATION_TABLE "lives"
/* A rolling restart of nine VMs takes up to this long, in ms: 3 s each. A VM
 * started earlier is as likely to stop next as any other. */
#define RECENT_START_MS 30000
/* A successor has at least this part of the largest owner's CPU capacity. */
#define CPU_MIN_PERCENT 50
/* A successor's round trip to the store is at most this many times ours. The
 * margin is wide because its value is that of its first call, which also opens
 * a connection. */
#define RTT_MAX_FACTOR 4

#define PART_MAX 32

/* A part of its own: when all VMs start at once, these writes would delay
 * claims in the shard's part. */
static const char *incarnation_part(const char *shard, char buf[PART_MAX])
{
	snprintf(buf, PART_MAX, "lives-%s", shard);
	return buf;
}

void incarnation_publish(const struct rows *rows, const char *shard,
			 const struct incarnation *inc, rows_done done,
			 void *priv)
{
	json_t *j = json_pack("{s:s,s:I,s:I,s:I}", "life", inc->id,
			      "started_ms", (json_int_t)inc->started_ms,
			      "strength_milli", (json_int_t)inc->cpu_milli,
			      "trip_ms", (json_int_t)inc->rtt_ms);
	struct rows_change change = { .table = INCARNATION_TABLE,
				      .key = inc->vm };
	char part[PART_MAX];
	char *text;
	struct rows_tx tx = { .part = incarnation_part(shard, part),
			      .n = 1,
			      .changes = &change };

	if (inc->ready_epoch)
		json_object_set_new(j, "ready_epoch",
				    json_integer(inc->ready_epoch));
	text = json_dumps(j, JSON_COMPACT);
	change.value = text;
	rows->ops->commit(rows->self, &tx, done, priv);
	free(text);
	json_decref(j);
}

void incarnation_remove(const struct rows *rows, const char *shard,
			const char *vm, rows_done done, void *priv)
{
	struct rows_change change = { .table = INCARNATION_TABLE,
				      .key = vm,
				      .remove = true };
	char part[PART_MAX];
	struct rows_tx tx = { .part = incarnation_part(shard, part),
			      .n = 1,
			      .changes = &change };

	rows->ops->commit(rows->self, &tx, done, priv);
}

void incarnation_read_all(const struct rows *rows, const char *shard,
			  rows_done done, void *priv)
{
	char part[PART_MAX];
	struct rows_range range = { .table = INCARNATION_TABLE,
				    .part = incarnation_part(shard, part) };

	rows->ops->read(rows->self, &range, done, priv);
}

static bool parse(const struct rows_row *row, struct incarnation *out)
{
	json_t *j = row->value ? json_loads(row->value, 0, NULL) : NULL;
	const char *id = json_string_value(json_object_get(j, "life"));

	memset(out, 0, sizeof(*out));
	snprintf(out->vm, sizeof(out->vm), "%s", row->key);
	snprintf(out->id, sizeof(out->id), "%s", id ? id : "");
	out->started_ms = json_integer_value(json_object_get(j, "started_ms"));
	out->cpu_milli =
		json_integer_value(json_object_get(j, "strength_milli"));
	out->rtt_ms = json_integer_value(json_object_get(j, "trip_ms"));
	out->ready_epoch =
		json_integer_value(json_object_get(j, "ready_epoch"));
	json_decref(j);
	return id;
}

bool incarnation_has_cpu(int64_t cpu_milli, int64_t max_cpu_milli)
{
	return cpu_milli * 100 >= max_cpu_milli * CPU_MIN_PERCENT;
}

static bool is_eligible(const struct incarnation *inc,
			const struct incarnation *self, int64_t max_cpu_milli,
			int64_t now_ms)
{
	if (!strcmp(inc->vm, self->vm) ||
	    now_ms - inc->started_ms > RECENT_START_MS)
		return false;
	return incarnation_has_cpu(inc->cpu_milli, max_cpu_milli) &&
	       inc->rtt_ms <= self->rtt_ms * RTT_MAX_FACTOR;
}

bool incarnation_choose(const struct rows_answer *ans,
			const struct incarnation *self, int64_t max_cpu_milli,
			struct incarnation *out)
{
	bool found = false;

	for (int32_t i = 0; i < ans->n; i++) {
		struct incarnation inc;

		if (!parse(&ans->rows[i], &inc) ||
		    !is_eligible(&inc, self, max_cpu_milli, ans->now_ms))
			continue;
		if (found && inc.started_ms <= out->started_ms)
			continue;
		*out = inc;
		found = true;
	}
	return found;
}

bool incarnation_find(const struct rows_answer *ans, const char *vm,
		      const char *id, struct incarnation *out)
{
	for (int32_t i = 0; i < ans->n; i++) {
		if (parse(&ans->rows[i], out) && !strcmp(out->vm, vm) &&
		    !strcmp(out->id, id))
			return true;
	}
	memset(out, 0, sizeof(*out));
	return false;
}
