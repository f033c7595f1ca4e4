/* Job specifications: validation, and conversion from and to stored rows. */
#include "protocol/jobspec.h"

#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "protocol/num.h"

/*
 * Type of a field of a stored step. A value out of range is an error, except in
 * ESTIMATE: those are clamped. LIMIT is an INT32 for which 0 and absence (-1)
 * differ.
 */
enum field_type { INT32, SIZE64, ESTIMATE, FLAG, TEXT, LIMIT };

struct step_field {
	const char *key;
	enum field_type type;
	size_t offset;
};

#define FIELD(key, type, field)                                                \
	{                                                                      \
		key, type, offsetof(struct jobspec_step, field)                \
	}

static const struct step_field step_fields[] = {
	FIELD("tasks", INT32, tasks),
	FIELD("cpu_milli", SIZE64, cpu_milli),
	FIELD("mem_mib", SIZE64, mem_mib),
	FIELD("accelerators", SIZE64, accelerators),
	FIELD("expected_ms", ESTIMATE, expected_ms),
	FIELD("checkpoints", FLAG, checkpoints),
	FIELD("gang", FLAG, gang),
	FIELD("one_rack", FLAG, one_rack),
	FIELD("copies", FLAG, speculative),
	FIELD("lasts", FLAG, is_long_running),
	FIELD("best_effort", FLAG, best_effort),
	FIELD("spread_max", INT32, spread_max),
	FIELD("unavailable_max", LIMIT, unavailable_max),
	FIELD("tail_goal_ms", ESTIMATE, tail_goal_ms),
	FIELD("label", TEXT, label),
	FIELD("data_rack", TEXT, data_rack),
	FIELD("image", TEXT, image),
};

#define N_STEP_FIELDS (sizeof(step_fields) / sizeof(step_fields[0]))

struct jobspec *jobspec_new(void *ctx, int32_t n_steps)
{
	struct jobspec *spec = talloc_zero(ctx, struct jobspec);

	spec->n_steps = n_steps;
	spec->steps = talloc_zero_array(spec, struct jobspec_step, n_steps);
	for (int32_t i = 0; i < n_steps; i++)
		spec->steps[i].unavailable_max = -1;
	return spec;
}

static bool size_is_valid(int64_t size)
{
	return size >= 0 && size <= JOBSPEC_SIZE_MAX;
}

static bool check_step(const struct jobspec *spec, int32_t i, struct err *e)
{
	const struct jobspec_step *s = &spec->steps[i];

	if (s->tasks < 1 || s->tasks > JOBSPEC_TASKS_MAX)
		return err_set(e, ERR_RECORD,
			       "step %d has %d tasks: give 1 to %d", i,
			       s->tasks, JOBSPEC_TASKS_MAX);
	if (!size_is_valid(s->cpu_milli) || !size_is_valid(s->mem_mib) ||
	    !size_is_valid(s->accelerators))
		return err_set(e, ERR_RECORD,
			       "step %d asks for less than nothing, or too "
			       "much: give sizes from 0 to %lld",
			       i, JOBSPEC_SIZE_MAX);
	for (int32_t k = 0; k < s->n_after; k++) {
		if (s->after[k] < 0 || s->after[k] >= i)
			return err_set(e, ERR_RECORD,
				       "step %d waits for step %d: name only "
				       "earlier steps",
				       i, s->after[k]);
	}
	return true;
}

bool jobspec_validate(const struct jobspec *spec, struct err *e)
{
	if (spec->n_steps < 1 || spec->n_steps > JOBSPEC_STEPS_MAX)
		return err_set(e, ERR_RECORD,
			       "the job has %d steps: give 1 to %d",
			       spec->n_steps, JOBSPEC_STEPS_MAX);
	if (spec->rounds < 0 || spec->interval_ms < 0)
		return err_set(e, ERR_RECORD,
			       "the schedule is negative: give 0 or more");
	if (spec->rounds > JOBSPEC_ROUNDS_MAX ||
	    spec->interval_ms > JOBSPEC_ESTIMATE_MAX_MS ||
	    spec->first_due_ms < -NUM_MAX || spec->first_due_ms > NUM_MAX)
		return err_set(e, ERR_RECORD,
			       "the schedule goes on for thousands of years: "
			       "give at most %d times, %lld ms apart",
			       JOBSPEC_ROUNDS_MAX, JOBSPEC_ESTIMATE_MAX_MS);
	for (int32_t i = 0; i < spec->n_steps; i++) {
		if (!check_step(spec, i, e))
			return false;
	}
	return true;
}

/* Omits values that are 0, false, empty or, for LIMIT, negative. */
static void pack_field(json_t *row, const struct jobspec_step *s,
		       const struct step_field *f)
{
	const char *at = (const char *)s + f->offset;
	int64_t n = 0;

	if (f->type == INT32 || f->type == LIMIT)
		n = *(const int32_t *)at;
	else if (f->type == SIZE64 || f->type == ESTIMATE)
		n = *(const int64_t *)at;
	else if (f->type == FLAG)
		n = *(const bool *)at;
	else
		n = *at != '\0';
	if (f->type == LIMIT) {
		if (n >= 0)
			json_object_set_new(row, f->key, json_integer(n));
		return;
	}
	if (!n)
		return;
	if (f->type == TEXT)
		json_object_set_new(row, f->key, json_string(at));
	else if (f->type == FLAG)
		json_object_set_new(row, f->key, json_true());
	else
		json_object_set_new(row, f->key, json_integer(n));
}

static json_t *pack_step(const struct jobspec_step *s)
{
	json_t *row = json_object();
	json_t *after;

	for (size_t i = 0; i < N_STEP_FIELDS; i++)
		pack_field(row, s, &step_fields[i]);
	if (!s->n_after)
		return row;
	after = json_array();
	for (int32_t i = 0; i < s->n_after; i++)
		json_array_append_new(after, json_integer(s->after[i]));
	json_object_set_new(row, "after", after);
	return row;
}

json_t *jobspec_pack(const struct jobspec *spec)
{
	json_t *steps = json_array();
	json_t *row = json_pack("{s:s,s:s,s:I}", "queue", spec->queue,
				"payload", spec->payload ? spec->payload : "",
				"accepted_ms", (json_int_t)spec->accepted_ms);

	for (int32_t i = 0; i < spec->n_steps; i++)
		json_array_append_new(steps, pack_step(&spec->steps[i]));
	json_object_set_new(row, "steps", steps);
	if (*spec->org)
		json_object_set_new(row, "org", json_string(spec->org));
	if (!spec->rounds)
		return row;
	json_object_set_new(row, "rounds", json_integer(spec->rounds));
	json_object_set_new(row, "first_due_ms",
			    json_integer(spec->first_due_ms));
	json_object_set_new(row, "interval_ms",
			    json_integer(spec->interval_ms));
	return row;
}

/* Returns false if jobspec_pack can't have written the value. */
static bool unpack_field(const json_t *row, struct jobspec_step *s,
			 const struct step_field *f)
{
	const json_t *v = json_object_get(row, f->key);
	char *at = (char *)s + f->offset;
	int64_t n = 0;

	if (!v)
		return true;
	switch (f->type) {
	case INT32:
	case LIMIT:
		if (!num_integer(v, INT32_MIN, INT32_MAX, &n))
			return false;
		*(int32_t *)at = (int32_t)n;
		return true;
	case SIZE64:
		return num_integer(v, 0, JOBSPEC_SIZE_MAX, (int64_t *)at);
	case ESTIMATE:
		*(int64_t *)at = num_clamp(v, 0, JOBSPEC_ESTIMATE_MAX_MS, 0);
		return true;
	case FLAG:
		*(bool *)at = json_is_true(v);
		return true;
	case TEXT:
		if (!json_is_string(v) ||
		    json_string_length(v) >= JOBSPEC_NAME_MAX)
			return false;
		memcpy(at, json_string_value(v), json_string_length(v) + 1);
		return true;
	}
	return false;
}

bool jobspec_add_dependencies(struct jobspec_step *s, const json_t *list)
{
	size_t n = json_array_size(list);

	if ((list && !json_is_array(list)) || n > JOBSPEC_STEPS_MAX)
		return false;
	for (size_t i = 0; i < n; i++) {
		int64_t step;

		if (!num_integer(json_array_get(list, i), 0,
				 JOBSPEC_STEPS_MAX - 1, &step))
			return false;
		s->after[s->n_after++] = (int32_t)step;
	}
	return true;
}

static bool unpack_step(const json_t *row, struct jobspec_step *s)
{
	for (size_t i = 0; i < N_STEP_FIELDS; i++) {
		if (!unpack_field(row, s, &step_fields[i]))
			return false;
	}
	return jobspec_add_dependencies(s, json_object_get(row, "after"));
}

static bool unpack_steps(const json_t *steps, struct jobspec *spec,
			 struct err *e)
{
	for (int32_t i = 0; i < spec->n_steps; i++) {
		if (!unpack_step(json_array_get(steps, (size_t)i),
				 &spec->steps[i]))
			return err_set(e, ERR_RECORD,
				       "step %d of job %s has a value out of "
				       "range: remove the row",
				       i, spec->id);
	}
	return true;
}

struct jobspec *jobspec_unpack(void *ctx, const char *id, const json_t *row,
			       struct err *e)
{
	const json_t *steps = json_object_get(row, "steps");
	const char *queue = json_string_value(json_object_get(row, "queue"));
	const json_t *org = json_object_get(row, "org");
	const char *payload =
		json_string_value(json_object_get(row, "payload"));
	struct jobspec *spec;

	if (!queue || !payload || !json_is_array(steps) ||
	    json_array_size(steps) > JOBSPEC_STEPS_MAX ||
	    strlen(id) >= JOBSPEC_ID_MAX || strlen(queue) >= JOBSPEC_NAME_MAX ||
	    (org && (!json_is_string(org) ||
		     json_string_length(org) >= JOBSPEC_NAME_MAX))) {
		err_set(e, ERR_RECORD,
			"the row of job %s lacks queue, payload or steps, or "
			"one of its names is invalid: remove it",
			id);
		return NULL;
	}
	spec = jobspec_new(ctx, (int32_t)json_array_size(steps));
	snprintf(spec->id, sizeof(spec->id), "%s", id);
	snprintf(spec->queue, sizeof(spec->queue), "%s", queue);
	snprintf(spec->org, sizeof(spec->org), "%s",
		 org ? json_string_value(org) : "");
	spec->payload = talloc_strdup(spec, payload);
	spec->accepted_ms =
		num_clamp(json_object_get(row, "accepted_ms"), 0, NUM_MAX, 0);
	spec->rounds = json_integer_value(json_object_get(row, "rounds"));
	spec->first_due_ms =
		json_integer_value(json_object_get(row, "first_due_ms"));
	spec->interval_ms =
		json_integer_value(json_object_get(row, "interval_ms"));
	if (unpack_steps(steps, spec, e) && jobspec_validate(spec, e))
		return spec;
	talloc_free(spec);
	return NULL;
}

int64_t jobspec_critical_path_ms(const struct jobspec *spec, int32_t step)
{
	int64_t longest[JOBSPEC_STEPS_MAX] = { 0 };

	/* Steps depend on earlier ones only, so one backward pass suffices. */
	for (int32_t i = spec->n_steps - 1; i >= step; i--) {
		const struct jobspec_step *s = &spec->steps[i];

		longest[i] += s->expected_ms;
		for (int32_t k = 0; k < s->n_after; k++) {
			if (longest[s->after[k]] < longest[i])
				longest[s->after[k]] = longest[i];
		}
	}
	return longest[step];
}
