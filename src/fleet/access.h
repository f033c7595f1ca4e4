/*
 * Decides which calls may be made: whether the caller's key belongs to an
 * organisation of the configuration in force, and whether a job is of that
 * organisation. Without organisations every call may be made.
 */
#ifndef ACCESS_H
#define ACCESS_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/catalog.h"

struct fleet;

enum access_call {
	ACCESS_SUBMIT,
	ACCESS_STATE,
	ACCESS_CANCEL,
	ACCESS_PENDING,
	ACCESS_CALLS
};

enum access_verdict {
	ACCESS_ALLOWED,
	ACCESS_DENIED, /* no key, or one that no organisation has */
	/* The configuration was not confirmed recently enough to tell. */
	ACCESS_UNCONFIRMED,
};

/* Who makes a call. All zeros: keys are not required. */
struct access {
	bool has_orgs; /* the configuration had organisations then */
	char org[ORG_NAME_MAX]; /* "": none, the route is public */
	bool has_key; /* `key` is valid */
	struct org_key key;
};

/* Calls refused because of their key. */
struct access_counts {
	int64_t denied[ACCESS_CALLS];
	int64_t logged_ms; /* when the last line was logged */
	int64_t logged; /* denied calls up to then */
};

const char *access_call_name(enum access_call call);

/*
 * Decides on a call to `q`. `key` is NULL if the call has none that can be
 * read. Fills in `out`, which job_api checks jobs by.
 */
enum access_verdict access_check(struct fleet *f, const struct catalog_queue *q,
				 const struct org_key *key,
				 enum access_call call, struct access *out);

/* Decides by the configuration now in force whether a submission allowed
 * before may be sent to the store. */
enum access_verdict access_recheck(struct fleet *f, const struct access *who,
				   const char *queue);

/* Returns whether the organisation that a row names, NULL if none, is the
 * caller's. A job without organisation is everybody's. */
bool access_may_use(const struct access *who, const json_t *org);

/* The same by the text of a job's row. False if it cannot be read. */
bool access_may_use_row(const struct access *who, const char *row);

#endif
