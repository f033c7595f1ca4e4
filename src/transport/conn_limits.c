#include "transport/conn_limits.h"

#include <string.h>

void cnl_init(struct cnl *c, uint32_t total_max, uint32_t address_max)
{
	memset(c, 0, sizeof(*c));
	c->total_max = total_max;
	c->address_max = address_max;
	c->by_address = g_hash_table_new(g_direct_hash, g_direct_equal);
}

void cnl_finish(struct cnl *c)
{
	g_clear_pointer(&c->by_address, g_hash_table_destroy);
}

static uint32_t count(const struct cnl *c, uint32_t address)
{
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(c->by_address, GUINT_TO_POINTER(address)));
}

static void set_count(struct cnl *c, uint32_t address, uint32_t n)
{
	if (n)
		g_hash_table_replace(c->by_address, GUINT_TO_POINTER(address),
				     GUINT_TO_POINTER(n));
	else
		g_hash_table_remove(c->by_address, GUINT_TO_POINTER(address));
}

enum cnl_result cnl_check(const struct cnl *c, uint32_t address)
{
	if (count(c, address) >= c->address_max)
		return CNL_ADDRESS_FULL;
	return c->total >= c->total_max ? CNL_FULL : CNL_OK;
}

void cnl_opened(struct cnl *c, uint32_t address)
{
	c->total++;
	set_count(c, address, count(c, address) + 1);
}

void cnl_closed(struct cnl *c, uint32_t address)
{
	c->total--;
	set_count(c, address, count(c, address) - 1);
}
