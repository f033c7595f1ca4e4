/* Starts of VMs, in rows: who was restarted lately, and is up. */
#ifndef LIVES_H
#define LIVES_H

#include <stdbool.h>

#include "state/owner_row.h"
#include "state/rows.h"

#define LIVES_ID_MAX 32

/* One life of a VM's process. */
struct life {
	char vm[OWNER_VM_MAX];
	char id[LIVES_ID_MAX];
	int64_t started_ms; /* by the store's clock */
	int64_t strength_milli; /* thousandths of a core that the VM has */
	int64_t trip_ms; /* its way to the store and back */
};

/* Writes the row of a life, for one shard's owners. */
void lives_announce(const struct rows *rows, const char *shard,
		    const struct life *l, rows_done done, void *priv);
/* Removes it: the VM is about to stop. */
void lives_withdraw(const struct rows *rows, const char *shard, const char *vm,
		    rows_done done, void *priv);
/* Reads the lives known. */
void lives_read(const struct rows *rows, const char *shard, rows_done done,
		void *priv);

/*
 * Of the lives read, the VM that is least likely to stop soon, other than
 * `self`: the one restarted last. It must have been restarted lately, and be
 * neither much weaker than `strongest_milli` nor much farther from the store
 * than `self`. False if there is none.
 */
bool lives_choose(const struct rows_answer *ans, const struct life *self,
		  int64_t strongest_milli, struct life *out);

#endif
