/*
 * Interface to the platform for the upkeep of whole VMs. The platform
 * implements it; upkeep_runner uses it.
 */
#ifndef VMS_H
#define VMS_H

#include "coordination/upkeep.h"

/* The sender of a command. It lets the platform tell the commands of successive
 * owners apart. */
struct vms_issuer {
	const char *vm;
	int64_t token; /* higher for each new owner */
};

/* One VM of the list; texts are valid during the call. */
typedef void (*vms_list_entry_cb)(const char *vm, enum upkeep_state state,
				  const char *worker, void *priv);
/* Called after the last entry; `complete`: all of the list was read. */
typedef void (*vms_list_end_cb)(bool complete, void *priv);
typedef void (*vms_upkeep_cb)(enum upkeep_result res, void *priv);
typedef void (*vms_report_cb)(bool stored, void *priv);

/* The callback that ends a call is called exactly once, and never before the
 * call returns. */
struct vms_ops {
	void (*list)(void *self, vms_list_entry_cb each, vms_list_end_cb ended,
		     void *priv);
	/* Begins the upkeep of `vm`, which takes it down. */
	void (*upkeep)(void *self, const struct vms_issuer *issuer,
		       int64_t wave, const char *vm, vms_upkeep_cb done,
		       void *priv);
	/* Reports to the operators that the wave is running or `over`. */
	void (*report)(void *self, int64_t wave, bool over, vms_report_cb done,
		       void *priv);
};

struct vms {
	const struct vms_ops *ops;
	void *self;
};

#endif
