/*
 * Waves of upkeep: which VM is emptied and taken down next, so that each has
 * its upkeep in time and never too many at once. Pure: it is told what
 * happened and when, and asks for orders through a table.
 */
#ifndef UPKEEP_H
#define UPKEEP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define UPKEEP_NAME_MAX 72

/* What operators ask for. Texts are copied. */
struct upkeep_wave {
	int64_t number;
	int32_t at_once; /* most VMs of the wave that may be down */
	int64_t within_ms; /* all should have begun this long from now */
	int32_t n_vms;
	const char *const *vms;
};

/* What the platform says of a VM. */
enum upkeep_state {
	UPKEEP_UP,
	UPKEEP_AWAY, /* moving, or down for its upkeep or otherwise */
};

enum upkeep_result {
	UPKEEP_BEGUN, /* now or earlier: it is done once for each wave */
	UPKEEP_BUSY, /* the VM can't be taken down now */
	UPKEEP_REFUSED, /* a newer owner gives the orders */
	UPKEEP_NOT_OF_WAVE, /* it won't have an upkeep */
	UPKEEP_NOT_DONE, /* the platform was too busy, or not reached */
	UPKEEP_UNKNOWN, /* it may have begun */
};

/* Orders and questions; the table's owner carries them out. */
struct upkeep_ops {
	/* Gives the VM no new work, and takes off what can go on elsewhere. */
	void (*empty)(void *priv, const char *vm, bool on);
	/* May everything there be ended now? `late`: its time is over. */
	bool (*may_end)(void *priv, const char *vm, bool late);
	void (*order)(void *priv, int64_t wave, const char *vm);
	/* The wave has news for the store. */
	void (*touched)(void *priv, int64_t wave);
	void (*note)(void *priv, const char *what, int64_t wave,
		     const char *vm);
};

struct upkeep {
	const struct upkeep_ops *ops;
	void *priv;
	int64_t orders_from_ms; /* a former owner's orders are over by then */
	GHashTable *waves; /* number to struct upkeep_run */
	GHashTable *states; /* VM to struct upkeep_vm, as listed last */
	int64_t listed_ms; /* when the list was last read; 0: never */
};

/* `orders_from_ms`: no order goes out before. */
void upkeep_init(struct upkeep *u, const struct upkeep_ops *ops, void *priv,
		 int64_t orders_from_ms);
void upkeep_finish(struct upkeep *u);

/* A wave was asked for; one that is known is left as it is. */
void upkeep_add(struct upkeep *u, const struct upkeep_wave *wave,
		int64_t now_ms);
void upkeep_remove(struct upkeep *u, int64_t number);
/* A former owner saw the VM's upkeep begin. */
void upkeep_restore(struct upkeep *u, int64_t number, const char *vm);

/* Is there a wave that is not done? Then the list of VMs has to be read. */
bool upkeep_active(const struct upkeep *u);

/* The list is read: upkeep_listed for each VM in it, between these. */
void upkeep_list_begins(struct upkeep *u);
void upkeep_listed(struct upkeep *u, const char *vm, enum upkeep_state state,
		   const char *worker);
void upkeep_list_ends(struct upkeep *u, int64_t now_ms);

void upkeep_answered(struct upkeep *u, int64_t number, const char *vm,
		     enum upkeep_result res, int64_t now_ms);

/* Goes on with all waves. `sure`: the orders are still ours to give. */
void upkeep_step(struct upkeep *u, bool sure, int64_t now_ms);

/* The VMs whose upkeep has begun, and whether that is all of them. The array
 * is the caller's, its texts are borrowed. */
GPtrArray *upkeep_begun(const struct upkeep *u, int64_t number, bool *done);

#endif
