/*
 * Caps on what the organisations have running, kept across changes of owner.
 *
 * The owner's row holds a grant for each organisation with a cap: a bound on
 * what may be running until the row is next written. An owner starts a task
 * only within the grants that a successor will certainly find, and a successor
 * counts the grant of the row that it replaced as running until all workers are
 * known that may run tasks of earlier owners. An organisation without grant in
 * the row is held back until then.
 */
#ifndef ORG_CAPS_H
#define ORG_CAPS_H

#include <jansson.h>
#include <stdbool.h>

#include "org/org_accounts.h"

/* What keeps an organisation from starting a task. */
enum org_wait {
	ORG_WAIT_NONE,
	ORG_WAIT_CAP,
	/* What earlier owners may have running leaves no room. */
	ORG_WAIT_EARLIER,
	ORG_WAIT_GRANT, /* a commit has to raise the grant first */
	ORG_WAIT_CONFIG, /* a configuration with a lower cap may be in force */
};

struct org_caps {
	GHashTable *books; /* name to struct org_book */
	/* Earlier owners may have tasks running that this owner doesn't know
	 * of. */
	bool earlier;
	bool earlier_over; /* that can't become true any more */
	/* Earlier owners have released the shard, or ended long ago, so
	 * that their tasks only end. */
	bool earlier_ended;
	bool config_held; /* see ORG_WAIT_CONFIG */
	bool wants_commit; /* some grant should be raised */
	bool denied; /* a task waits for a grant */
};

/* `earlier` says whether there were earlier owners. */
void org_caps_init(struct org_caps *c, bool earlier);
void org_caps_finish(struct org_caps *c);

/* Reads the grants of the row that this owner replaced; NULL: it has none.
 * `ended`: no earlier owner starts tasks any more. */
void org_caps_set_earlier(struct org_caps *c, const json_t *grants, bool ended);
/* Says whether earlier owners may have tasks running that are in no account,
 * and with `over` that this can't become true any more. Returns whether the
 * former has changed. */
bool org_caps_note_earlier(struct org_caps *c, bool may_run, bool over);

/* A run in the account was started by an earlier owner (`sign` 1), or such a
 * run has ended (-1). `acc` may be NULL. */
void org_caps_adjust_earlier(struct org_caps *c, const struct org_account *acc,
			     const struct place_resources *size, int sign);
/* A run that is in no account may be active (1), or has ended (-1). `acc` may
 * be NULL. */
void org_caps_adjust_untracked(struct org_caps *c,
			       const struct org_account *acc,
			       const struct place_resources *size, int sign);

/* Returns what keeps `n` tasks of this size from starting, all at once. If that
 * is the grant, or it is nearly used up, `wants_commit` is set. `acc` may be
 * NULL. */
enum org_wait org_caps_ask(struct org_caps *c, const struct org_account *acc,
			   const struct place_resources *size, int64_t n,
			   int64_t now_ms);
/* Returns how many of `n` tasks of this size fit under the cap beside `more`,
 * with all that may be running. `acc` may be NULL. */
int64_t org_caps_fitting(const struct org_caps *c,
			 const struct org_account *acc,
			 const struct place_resources *more,
			 const struct place_resources *size, int64_t n);
/* Returns whether one task of this size could run if nothing else did. */
bool org_cap_allows(const struct place_resources *cap,
		    const struct place_resources *size, int64_t n);
bool org_cap_is_set(const struct place_resources *cap);

/*
 * Returns the grants for the row of the commit that begins now, in at most
 * `bytes_max` bytes; NULL if there are none. With `exact` set, nothing more is
 * started. The caller owns the reference. The commit before must have ended.
 */
json_t *org_caps_pack(struct org_caps *c, const struct org_accounts *a,
		      bool exact, int64_t bytes_max, int64_t now_ms);
/* The commit with these grants is confirmed. Returns whether tasks waited for
 * one. */
bool org_caps_committed(struct org_caps *c);

/* What is known of one organisation, for metrics; -1: no bound. */
struct org_caps_figures {
	int64_t counted_cpu_milli; /* may be running */
	int64_t grant_cpu_milli;
	int64_t untracked_cpu_milli;
};
void org_caps_figures(const struct org_caps *c, const struct org_account *acc,
		      struct org_caps_figures *out);

const char *org_wait_name(enum org_wait wait);

#endif
