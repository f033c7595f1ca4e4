/* Counts connections, in total and per client address (cnl_). */
#ifndef CONN_LIMITS_H
#define CONN_LIMITS_H

#include <glib.h>
#include <stdint.h>

enum cnl_result { CNL_OK, CNL_FULL, CNL_ADDRESS_FULL };

struct cnl {
	uint32_t total_max;
	uint32_t address_max;
	uint32_t total;
	GHashTable *by_address; /* address to number; none for 0 */
};

void cnl_init(struct cnl *c, uint32_t total_max, uint32_t address_max);
void cnl_finish(struct cnl *c);

/* Returns whether a connection of the IPv4 address fits, or what is full. */
enum cnl_result cnl_check(const struct cnl *c, uint32_t address);
void cnl_opened(struct cnl *c, uint32_t address);
void cnl_closed(struct cnl *c, uint32_t address);

#endif
