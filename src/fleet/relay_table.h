/* The table of VMs that relay owners' calls to workers. */
#ifndef RELAY_TABLE_H
#define RELAY_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/rows.h"
#include "transport/tmr.h"

#define RELAY_TABLE "relays"
#define RELAY_PART "relays"
#define RELAY_NAME_MAX 64

/* What a VM's row says. */
struct relay_vm_row {
	char vm[RELAY_NAME_MAX];
	char ip[40];
	uint16_t port; /* 0: the VM is no relay */
	char domain[RELAY_NAME_MAX];
	int64_t cpu_milli; /* in thousandths of a core */
	int64_t link_kbit_s; /* 0: unknown, and no limit */
	bool lists; /* it answers RELAY_LIST */
};

/* Returns false if the row is invalid. */
bool relay_table_parse(const struct rows_row *row, struct relay_vm_row *out);

/* Returns how many workers the VM is meant to call as a relay, in thousandths
 * of a worker: its processor or its link is the limit. */
int64_t relay_table_workers_milli(const struct relay_vm_row *row);
/* Returns whether so many workers are too many for the owner's own processor or
 * link. */
bool relay_table_needs_relays(const struct relay_vm_row *owner,
			      int64_t workers);

/* Keeps a VM's row in the table. */
struct relay_entry;

/* Writes the row, until the store takes it. Returns a talloc child of `ctx`,
 * which must outlive the calls of the store. */
struct relay_entry *relay_entry_start(void *ctx, struct tmr_set *timers,
				      const struct rows *rows,
				      const struct relay_vm_row *self);
/* Removes the row: owners send the VM no further calls. */
void relay_entry_withdraw(struct relay_entry *e);

#endif
