/* Sums of the resources that organisations use. */
#include "org/org_accounts.h"

void org_accounts_init(struct org_accounts *a)
{
	a->table = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void org_accounts_finish(struct org_accounts *a)
{
	g_hash_table_destroy(a->table);
	a->table = NULL;
}

void org_accounts_configure(struct org_accounts *a, const struct org *orgs,
			    int32_t n)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, a->table);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct org_account *)value)->def = NULL;
	for (int32_t i = 0; i < n; i++)
		org_accounts_get(a, orgs[i].name)->def = &orgs[i];
}

struct org_account *org_accounts_get(struct org_accounts *a, const char *name)
{
	struct org_account *acc;

	if (!*name)
		return NULL;
	acc = g_hash_table_lookup(a->table, name);
	if (acc)
		return acc;
	acc = g_new0(struct org_account, 1);
	g_strlcpy(acc->name, name, sizeof(acc->name));
	g_hash_table_insert(a->table, acc->name, acc);
	return acc;
}

void org_account_adjust(struct org_account *acc,
			const struct place_resources *size, int sign)
{
	if (!acc)
		return;
	acc->used.cpu_milli += sign * size->cpu_milli;
	acc->used.mem_mib += sign * size->mem_mib;
	acc->used.accelerators += sign * size->accelerators;
}
