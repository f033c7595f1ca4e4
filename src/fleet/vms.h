/* Orders about whole VMs, as a table of functions; see keep. */
#ifndef VMS_H
#define VMS_H

#include "coordination/upkeep.h"

/* Who gives an order, as the platform tells owners apart. */
struct vms_issuer {
	const char *vm;
	int64_t token; /* rises with each owner */
};

/* One VM of the list; texts are valid during the call. */
typedef void (*vms_list_entry_cb)(const char *vm, enum upkeep_state state,
				  const char *worker, void *priv);
/* The list has ended; `good`: all of it was read. */
typedef void (*vms_list_end_cb)(bool good, void *priv);
typedef void (*vms_upkeep_cb)(enum upkeep_result res, void *priv);
typedef void (*vms_report_cb)(bool stored, void *priv);

/* Each callback that ends a call comes once, never from within it. */
struct vms_ops {
	void (*list)(void *self, vms_list_entry_cb each, vms_list_end_cb ended,
		     void *priv);
	void (*upkeep)(void *self, const struct vms_issuer *issuer,
		       int64_t wave, const char *vm, vms_upkeep_cb done,
		       void *priv);
	/* Tells the operators how far a wave is. */
	void (*report)(void *self, int64_t wave, bool over, vms_report_cb done,
		       void *priv);
};

struct vms {
	const struct vms_ops *ops;
	void *self;
};

#endif
