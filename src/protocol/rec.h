/* Records that operators submit (services, batch jobs, failure domains, teams)
 * in both schema versions. */
#ifndef REC_H
#define REC_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"

#define REC_NAME_MAX 64

enum rec_kind { REC_SERVICE, REC_BATCH, REC_DOMAIN, REC_TEAM, REC_KINDS };

/* Scheduling class of a task. Urgent tasks are placed first and may evict
 * normal ones. */
enum rec_class { REC_NORMAL, REC_URGENT, REC_LATENCY };

/* A failure domain that is out gets no new work. */
enum rec_domain_state { REC_DOMAIN_IN, REC_DOMAIN_OUT };

/* A record of any kind, independent of the schema that it was submitted in. */
struct rec {
	enum rec_kind kind;
	int64_t schema;
	char name[REC_NAME_MAX];
	char team[REC_NAME_MAX];
	/* REC_SERVICE */
	char pool[REC_NAME_MAX]; /* of the targets that serve it */
	bool idempotent;
	int64_t timeout_ms;
	int64_t body_max_bytes;
	/* REC_BATCH; sizes and limits of each task */
	int task_class; /* enum rec_class */
	int64_t tasks;
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t accelerators;
	int64_t run_ms; /* the submitter's estimate; may be far off */
	int64_t attempts_max;
	char domain[REC_NAME_MAX]; /* failure domain to run in; "": any */
	bool legacy_urgent; /* schema 1; converted to task_class */
	/* REC_DOMAIN */
	int domain_state; /* enum rec_domain_state */
	bool legacy_out; /* schema 1; converted to domain_state */
	/* REC_TEAM */
	int64_t quota_cpu_milli;
};

/* Reads and validates a record of schema 1 or 2. Returns false with `e` filled
 * in if it is invalid. */
bool rec_parse(const json_t *j, struct rec *out, struct err *e);

/* Like rec_parse, from JSON text. Duplicate keys are an error. */
/* Returns whether a text, of a record or of a call that contains one, is small
 * enough to be parsed: far larger than any record, and far from what takes
 * noticeable time or memory. */
bool rec_text_is_small(const char *text);

bool rec_parse_text(const char *text, struct rec *out, struct err *e);

/* Returns the record in schema 2; the caller owns the reference. */
json_t *rec_to_json(const struct rec *r);

const char *rec_kind_name(enum rec_kind kind);
const char *rec_class_name(int task_class);

#endif
