/*
 * What the organisations have running. The scheduler reports each run that may
 * be active, from its start command until its end is certain; caps and shares
 * are judged by the sums.
 */
#ifndef ORG_ACCOUNTS_H
#define ORG_ACCOUNTS_H

#include <glib.h>
#include <stdbool.h>

#include "org/org.h"

/* The account of one organisation. */
struct org_account {
	char name[ORG_NAME_MAX];
	/* NULL: the organisation is not configured (any more). */
	const struct org *def;
	struct place_resources used; /* by all runs, best-effort ones too */
	bool active; /* it takes part in the shares; set by org_share.c */
};

struct org_accounts {
	GHashTable *table; /* name to struct org_account */
};

void org_accounts_init(struct org_accounts *a);
void org_accounts_finish(struct org_accounts *a);

/* Sets the organisations of the configuration, which are borrowed until the
 * next call. */
void org_accounts_configure(struct org_accounts *a, const struct org *orgs,
			    int32_t n);

/* Returns the account of that name, which is added if it is new; NULL if the
 * name is empty. It stays valid until org_accounts_finish(). */
struct org_account *org_accounts_get(struct org_accounts *a, const char *name);

/* Adds the resources of a run (`sign` 1) or removes them (-1). `acc` may be
 * NULL. */
void org_account_adjust(struct org_account *acc,
			const struct place_resources *size, int sign);

#endif
