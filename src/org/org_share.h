/*
 * How the workers are shared among the organisations that have something
 * running or waiting. An organisation is entitled to its weight divided by the
 * sum of their weights. Its dominant share is the largest of its parts of the
 * workers' CPU, memory and accelerators, best-effort and long-running tasks
 * included.
 */
#ifndef ORG_SHARE_H
#define ORG_SHARE_H

#include "org/org_accounts.h"

/* Where an organisation stands in the order of shares; lower goes first. */
enum org_standing {
	ORG_BELOW, /* its dominant share is below its entitlement */
	/* At or above it. Work without organisation counts as such, too: it is
	 * entitled to nothing. */
	ORG_AT_SHARE,
	ORG_REMOVED, /* from the configuration */
};

/* Zeroed: there are no organisations, and all work is ORG_BELOW. */
struct org_shares {
	bool on; /* organisations are configured */
	struct place_resources total; /* of the workers */
	int64_t weights; /* sum over active organisations */
};

/*
 * Starts over: organisations that use something are active, others become so by
 * org_shares_add_waiting(). Work is judged by these sums until the next call,
 * and by the accounts as they are at the moment.
 */
void org_shares_begin(struct org_shares *sh, struct org_accounts *a, bool on,
		      const struct place_resources *total);
/* The organisation has work that waits. `acc` may be NULL. */
void org_shares_add_waiting(struct org_shares *sh, struct org_account *acc);

/* Return a part of the workers, 0 to 1; 0 for an organisation that is not
 * active or not configured. */
double org_share_entitlement(const struct org_shares *sh,
			     const struct org_account *acc);
/* Also above 1 if workers have left. */
double org_share_dominant(const struct org_shares *sh,
			  const struct org_account *acc);

/* `acc` is NULL for work without organisation. */
enum org_standing org_share_standing(const struct org_shares *sh,
				     const struct org_account *acc);
/* Returns whether work of `by` may evict work of `victim`: not if only `victim`
 * is below its entitlement. */
bool org_share_may_evict(const struct org_shares *sh,
			 const struct org_account *by,
			 const struct org_account *victim);

#endif
