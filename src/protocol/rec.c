/* Operators' records: a table of fields for each schema and kind; all are read
 * into one struct. */
#include "protocol/rec.h"

#include <ctype.h>
#include <stddef.h>
#include <string.h>

#include "protocol/fld.h"
#include "protocol/json_cost.h"

#define TEXT_MAX_BYTES (64 * 1024)
#define TEXT_MAX_MARKS 1024
#define TIMEOUT_MAX_MS (8LL * 3600 * 1000)
#define RUN_MAX_MS (7LL * 24 * 3600 * 1000)
#define BODY_MAX_BYTES (1 << 20)
#define TASKS_MAX 10000
#define CPU_MAX_MILLI 512000
#define MEM_MAX_MIB (4 << 20)
#define ACCELERATORS_MAX 64
#define ATTEMPTS_MAX 100
#define QUOTA_MAX_MILLI 1000000000LL
#define MIB_PER_GB 954 /* 10^9 bytes, rounded up */
#define DEFAULT_POOL "default"

#define AT(f) offsetof(struct rec, f)
#define NAME_FIELD(key, f, required)                                           \
	{                                                                      \
		key, FLD_STR, AT(f), REC_NAME_MAX, required, required, 0, 0,   \
			0, 0, 0                                                \
	}
/* A negative default makes the field required. */
#define INT_FIELD(key, f, min, max, scale, dflt)                               \
	{                                                                      \
		key, FLD_INT, AT(f), 0, (dflt) < 0, min, max, scale, dflt, 0,  \
			0                                                      \
	}
#define BOOL_FIELD(key, f, dflt)                                               \
	{                                                                      \
		key, FLD_BOOL, AT(f), 0, false, 0, 0, 0, dflt, 0, 0            \
	}
#define ENUM_FIELD(key, f, list)                                               \
	{                                                                      \
		key, FLD_ENUM, AT(f), 0, false, 0, 0, 0, 0, list, 0            \
	}
#define OBJECT_FIELD(key, list)                                                \
	{                                                                      \
		key, FLD_OBJECT, 0, 0, true, 0, 0, 0, 0, 0, list               \
	}
#define END_OF_FIELDS                                                          \
	{                                                                      \
		0, FLD_INT, 0, 0, 0, 0, 0, 0, 0, 0, 0                          \
	}

static const char *const kinds[] = { "service", "batch", "domain", "team",
				     NULL };
static const char *const classes[] = { "normal", "urgent", "latency", NULL };
static const char *const states[] = { "in", "out", NULL };

#define V1_HEAD                                                                \
	INT_FIELD("schema", schema, 1, 1, 1, -1),                              \
		{ "kind", FLD_ENUM, AT(kind), 0, true, 0, 0, 0, 0, kinds, 0 }, \
		NAME_FIELD("name", name, true)

/* Schema 1: no nested objects; units are whole CPUs, 10^9 bytes and seconds. */
static const struct fld_spec v1_service[] = {
	V1_HEAD,
	NAME_FIELD("team", team, true),
	NAME_FIELD("executors", pool, false),
	BOOL_FIELD("safe_to_repeat", idempotent, false),
	INT_FIELD("timeout_s", timeout_ms, 1, TIMEOUT_MAX_MS / 1000, 1000,
		  10000),
	INT_FIELD("max_kb", body_max_bytes, 1, 1000, 1000, 64000),
	END_OF_FIELDS
};
static const struct fld_spec v1_batch[] = {
	V1_HEAD,
	NAME_FIELD("team", team, true),
	INT_FIELD("count", tasks, 1, TASKS_MAX, 1, 1),
	INT_FIELD("cpus", cpu_milli, 1, CPU_MAX_MILLI / 1000, 1000, -1),
	INT_FIELD("mem_gb", mem_mib, 1, 4000, MIB_PER_GB, -1),
	INT_FIELD("run_s", run_ms, 1, RUN_MAX_MS / 1000, 1000, -1),
	BOOL_FIELD("urgent", legacy_urgent, false),
	INT_FIELD("tries", attempts_max, 1, ATTEMPTS_MAX, 1, 5),
	NAME_FIELD("zone", domain, false),
	END_OF_FIELDS
};
static const struct fld_spec v1_domain[] = { V1_HEAD,
					     BOOL_FIELD("out", legacy_out, 0),
					     END_OF_FIELDS };
static const struct fld_spec v1_team[] = {
	V1_HEAD,
	INT_FIELD("quota_cpus", quota_cpu_milli, 0, QUOTA_MAX_MILLI / 1000,
		  1000, -1),
	END_OF_FIELDS
};

/* Schema 2: name and team under "meta", all other fields under "spec". */
static const struct fld_spec v2_meta[] = { NAME_FIELD("name", name, true),
					   NAME_FIELD("team", team, true),
					   END_OF_FIELDS };
static const struct fld_spec v2_meta_no_team[] = {
	NAME_FIELD("name", name, true), END_OF_FIELDS
};
static const struct fld_spec v2_service_spec[] = {
	NAME_FIELD("pool", pool, false),
	BOOL_FIELD("idempotent", idempotent, false),
	INT_FIELD("timeout_ms", timeout_ms, 10, TIMEOUT_MAX_MS, 1, 10000),
	INT_FIELD("body_max_bytes", body_max_bytes, 1, BODY_MAX_BYTES, 1,
		  65536),
	END_OF_FIELDS
};
static const struct fld_spec v2_batch_spec[] = {
	INT_FIELD("tasks", tasks, 1, TASKS_MAX, 1, 1),
	INT_FIELD("cpu_milli", cpu_milli, 1, CPU_MAX_MILLI, 1, -1),
	INT_FIELD("mem_mib", mem_mib, 1, MEM_MAX_MIB, 1, -1),
	INT_FIELD("accelerators", accelerators, 0, ACCELERATORS_MAX, 1, 0),
	INT_FIELD("run_ms", run_ms, 1, RUN_MAX_MS, 1, -1),
	INT_FIELD("attempts_max", attempts_max, 1, ATTEMPTS_MAX, 1, 5),
	ENUM_FIELD("class", task_class, classes),
	NAME_FIELD("domain", domain, false),
	END_OF_FIELDS
};
static const struct fld_spec v2_domain_spec[] = {
	ENUM_FIELD("state", domain_state, states), END_OF_FIELDS
};
static const struct fld_spec v2_team_spec[] = {
	INT_FIELD("quota_cpu_milli", quota_cpu_milli, 0, QUOTA_MAX_MILLI, 1,
		  -1),
	END_OF_FIELDS
};

#define V2_HEAD                                                                \
	INT_FIELD("schema", schema, 2, 2, 1, -1),                              \
	{                                                                      \
		"kind", FLD_ENUM, AT(kind), 0, true, 0, 0, 0, 0, kinds, 0      \
	}

static const struct fld_spec v2_service[] = {
	V2_HEAD, OBJECT_FIELD("meta", v2_meta),
	OBJECT_FIELD("spec", v2_service_spec), END_OF_FIELDS
};
static const struct fld_spec v2_batch[] = { V2_HEAD,
					    OBJECT_FIELD("meta", v2_meta),
					    OBJECT_FIELD("spec", v2_batch_spec),
					    END_OF_FIELDS };
static const struct fld_spec v2_domain[] = {
	V2_HEAD, OBJECT_FIELD("meta", v2_meta_no_team),
	OBJECT_FIELD("spec", v2_domain_spec), END_OF_FIELDS
};
static const struct fld_spec v2_team[] = {
	V2_HEAD, OBJECT_FIELD("meta", v2_meta_no_team),
	OBJECT_FIELD("spec", v2_team_spec), END_OF_FIELDS
};

static const struct fld_spec *const schema_fields[2][REC_KINDS] = {
	{ v1_service, v1_batch, v1_domain, v1_team },
	{ v2_service, v2_batch, v2_domain, v2_team },
};

static int find_kind(const char *name)
{
	for (int i = 0; name && kinds[i]; i++) {
		if (!strcmp(kinds[i], name))
			return i;
	}
	return -1;
}

/* Names become parts of URL paths and of keys in the table service. */
static bool name_is_valid(const char *s)
{
	for (; *s; s++) {
		if (!isalnum((unsigned char)*s) && !strchr("-_.", *s))
			return false;
	}
	return true;
}

bool rec_parse(const json_t *j, struct rec *out, struct err *e)
{
	struct fld_errors errs = { 0 };
	const json_t *schema = json_object_get(j, "schema");
	int64_t version = json_integer_value(schema);
	int kind = find_kind(json_string_value(json_object_get(j, "kind")));

	memset(out, 0, sizeof(*out));
	if (!json_is_object(j))
		return err_set(e, ERR_RECORD, "not a JSON object: give {...}");
	if (version < 1 || version > 2)
		return err_set(e, ERR_RECORD,
			       "schema is missing or unknown: give 1 or 2");
	if (kind < 0)
		return err_set(e, ERR_RECORD,
			       "kind is missing or unknown: give service, "
			       "batch, domain or team");
	fld_read(j, schema_fields[version - 1][kind], out, &errs);
	if (kind == REC_SERVICE && !*out->pool)
		strcpy(out->pool, DEFAULT_POOL);
	if (version == 1) {
		out->task_class = out->legacy_urgent ? REC_URGENT : REC_NORMAL;
		out->domain_state =
			out->legacy_out ? REC_DOMAIN_OUT : REC_DOMAIN_IN;
	}
	if (!errs.n && (!name_is_valid(out->name) || !name_is_valid(out->team)))
		fld_add_error(&errs, "name or team has a character that is not "
				     "allowed: use letters, digits, - _ .");
	return fld_to_err(&errs, ERR_RECORD, e);
}

bool rec_text_is_small(const char *text)
{
	static const struct jcost_limits limits = { TEXT_MAX_BYTES,
						    TEXT_MAX_MARKS };

	return jcost_is_within(text, strlen(text), &limits);
}

bool rec_parse_text(const char *text, struct rec *out, struct err *e)
{
	json_error_t je;
	json_t *j;
	bool good;

	if (!rec_text_is_small(text))
		return err_set(e, ERR_RECORD,
			       "the record has more text or values than any: "
			       "give up to %d bytes and %d values",
			       TEXT_MAX_BYTES, TEXT_MAX_MARKS);
	j = json_loads(text, JSON_REJECT_DUPLICATES, &je);
	if (!j)
		return err_set(e, ERR_RECORD, "not JSON at line %d: %s",
			       je.line, je.text);
	good = rec_parse(j, out, e);
	json_decref(j);
	return good;
}

static json_t *make_spec(const struct rec *r)
{
	switch (r->kind) {
	case REC_SERVICE:
		return json_pack("{s:s,s:b,s:I,s:I}", "pool", r->pool,
				 "idempotent", r->idempotent, "timeout_ms",
				 (json_int_t)r->timeout_ms, "body_max_bytes",
				 (json_int_t)r->body_max_bytes);
	case REC_BATCH:
		return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:s,s:s}", "tasks",
				 (json_int_t)r->tasks, "cpu_milli",
				 (json_int_t)r->cpu_milli, "mem_mib",
				 (json_int_t)r->mem_mib, "accelerators",
				 (json_int_t)r->accelerators, "run_ms",
				 (json_int_t)r->run_ms, "attempts_max",
				 (json_int_t)r->attempts_max, "class",
				 classes[r->task_class], "domain", r->domain);
	case REC_DOMAIN:
		return json_pack("{s:s}", "state", states[r->domain_state]);
	default:
		return json_pack("{s:I}", "quota_cpu_milli",
				 (json_int_t)r->quota_cpu_milli);
	}
}

json_t *rec_to_json(const struct rec *r)
{
	json_t *meta = json_pack("{s:s}", "name", r->name);

	if (r->kind == REC_SERVICE || r->kind == REC_BATCH)
		json_object_set_new(meta, "team", json_string(r->team));
	return json_pack("{s:i,s:s,s:o,s:o}", "schema", 2, "kind",
			 kinds[r->kind], "meta", meta, "spec", make_spec(r));
}

const char *rec_kind_name(enum rec_kind kind)
{
	return kinds[kind];
}

const char *rec_class_name(int task_class)
{
	return classes[task_class];
}
