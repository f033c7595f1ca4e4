/*
 * The table of VMs that are up and when each was started. A stopping owner
 * chooses its successor from it; owner.c is the only caller.
 */
#ifndef INCARNATION_H
#define INCARNATION_H

#include <stdbool.h>

#include "state/owner_row.h"
#include "state/rows.h"

#define INCARNATION_ID_MAX 32

/* One run of a VM's process. */
struct incarnation {
	char vm[OWNER_VM_MAX];
	char id[INCARNATION_ID_MAX];
	int64_t started_ms; /* by the store's clock */
	int64_t cpu_milli; /* CPU capacity of the VM, in thousandths of a core
			    */
	int64_t ready_epoch; /* it has read the rows of the owner with this
				epoch; 0: of none */
	int64_t rtt_ms; /* shortest round trip to the store so far */
};

/* Writes the row of an incarnation; each shard has rows of its own. */
void incarnation_publish(const struct rows *rows, const char *shard,
			 const struct incarnation *inc, rows_done done,
			 void *priv);
/* Removes the row of a VM that is about to stop. */
void incarnation_remove(const struct rows *rows, const char *shard,
			const char *vm, rows_done done, void *priv);
/* Reads the rows of one shard. */
void incarnation_read_all(const struct rows *rows, const char *shard,
			  rows_done done, void *priv);

/*
 * Chooses the VM other than `self` that is least likely to stop soon: the one
 * restarted last. It must have been restarted recently, and have neither much
 * less CPU capacity than `max_cpu_milli` nor a much longer round trip to the
 * store than `self`. Returns false if there is none.
 */
bool incarnation_choose(const struct rows_answer *ans,
			const struct incarnation *self, int64_t max_cpu_milli,
			struct incarnation *out);

/* Returns whether a VM has enough CPU capacity to be a successor. */
bool incarnation_has_cpu(int64_t cpu_milli, int64_t max_cpu_milli);

/* Finds the row of this run of `vm`. Returns false if there is none. */
bool incarnation_find(const struct rows_answer *ans, const char *vm,
		      const char *id, struct incarnation *out);

#endif
