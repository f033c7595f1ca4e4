/* Entitlements and dominant shares of organisations. */
#include "org/org_share.h"

static void activate(struct org_shares *sh, struct org_account *acc)
{
	if (acc->active)
		return;
	acc->active = true;
	if (acc->def)
		sh->weights += acc->def->weight;
}

void org_shares_begin(struct org_shares *sh, struct org_accounts *a, bool on,
		      const struct place_resources *total)
{
	GHashTableIter it;
	gpointer value;

	*sh = (struct org_shares){ .on = on, .total = *total };
	g_hash_table_iter_init(&it, a->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct org_account *acc = value;

		acc->active = false;
		if (acc->used.cpu_milli > 0 || acc->used.mem_mib > 0 ||
		    acc->used.accelerators > 0)
			activate(sh, acc);
	}
}

void org_shares_add_waiting(struct org_shares *sh, struct org_account *acc)
{
	if (acc)
		activate(sh, acc);
}

double org_share_entitlement(const struct org_shares *sh,
			     const struct org_account *acc)
{
	if (!acc->active || !acc->def || sh->weights <= 0)
		return 0;
	return (double)acc->def->weight / (double)sh->weights;
}

static double part_of(int64_t used, int64_t total)
{
	return total > 0 ? (double)used / (double)total : 0;
}

double org_share_dominant(const struct org_shares *sh,
			  const struct org_account *acc)
{
	double cpu = part_of(acc->used.cpu_milli, sh->total.cpu_milli);
	double mem = part_of(acc->used.mem_mib, sh->total.mem_mib);
	double acl = part_of(acc->used.accelerators, sh->total.accelerators);

	return MAX(cpu, MAX(mem, acl));
}

enum org_standing org_share_standing(const struct org_shares *sh,
				     const struct org_account *acc)
{
	if (!sh->on)
		return ORG_BELOW;
	if (!acc)
		return ORG_AT_SHARE;
	if (!acc->def)
		return ORG_REMOVED;
	return org_share_dominant(sh, acc) < org_share_entitlement(sh, acc)
		       ? ORG_BELOW
		       : ORG_AT_SHARE;
}

bool org_share_may_evict(const struct org_shares *sh,
			 const struct org_account *by,
			 const struct org_account *victim)
{
	return by == victim || org_share_standing(sh, by) == ORG_BELOW ||
	       org_share_standing(sh, victim) != ORG_BELOW;
}
