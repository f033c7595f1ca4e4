/*
 * Waves of upkeep (maintenance of VMs): decides which VM is evacuated and
 * taken down next, so that each VM of a wave has its upkeep in time and never
 * more than allowed are down at once. Pure: the owner of a shard reports events
 * with their times, and carries out the commands through struct upkeep_ops.
 */
#ifndef UPKEEP_H
#define UPKEEP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define UPKEEP_NAME_MAX 72

/* A wave as operators request it. Its strings are copied. */
struct upkeep_wave {
	int64_t number;
	int32_t at_once; /* most VMs of the wave that may be down at a time */
	int64_t within_ms; /* all should have begun within this time */
	int32_t n_vms;
	const char *const *vms;
};

/* State of a VM in the platform's list. */
enum upkeep_state {
	UPKEEP_UP,
	UPKEEP_NOT_UP, /* migrating, or down for its upkeep or otherwise */
};

/* Outcome of a command. */
enum upkeep_result {
	UPKEEP_BEGUN, /* now or earlier: each VM has one upkeep per wave */
	UPKEEP_BUSY, /* the VM can't be taken down now */
	UPKEEP_FENCED, /* a newer owner sends the commands */
	UPKEEP_NOT_IN_WAVE, /* the VM has no upkeep in this wave */
	UPKEEP_NOT_DONE, /* platform overloaded or unreachable */
	UPKEEP_UNKNOWN, /* the upkeep may have begun */
};

/* Callbacks that the owner of the shard implements. */
struct upkeep_ops {
	/* Starts or ends (`on` false) evacuating a VM: it gets no new tasks,
	 * and tasks that can continue elsewhere are moved. */
	void (*set_evacuating)(void *priv, const char *vm, bool on);
	/* Returns whether all tasks of the VM may be stopped now. `late`: the
	 * wave's time is running out. */
	bool (*may_terminate)(void *priv, const char *vm, bool late);
	/* Commands the upkeep of a VM; upkeep_note_result gets the outcome. */
	void (*send_command)(void *priv, int64_t wave, const char *vm);
	/* The state of the wave has changed and must be stored. */
	void (*changed)(void *priv, int64_t wave);
	/* Writes a decision to the log. */
	void (*log_decision)(void *priv, const char *what, int64_t wave,
			     const char *vm);
};

struct upkeep {
	const struct upkeep_ops *ops;
	void *priv;
	int64_t commands_from_ms; /* no command is sent before */
	GHashTable *waves; /* number to struct upkeep_wave_state */
	GHashTable *states; /* VM to struct upkeep_vm, from the last list */
	int64_t list_began_ms; /* when the last reading of the list began */
	int64_t listed_ms; /* when the list was last read; 0: never */
};

/* No command is sent before `commands_from_ms`, when those of the shard's
 * previous owner can't take effect any more. */
void upkeep_init(struct upkeep *u, const struct upkeep_ops *ops, void *priv,
		 int64_t commands_from_ms);
void upkeep_finish(struct upkeep *u);

/* Adds a wave; does nothing if its number is known. */
void upkeep_add(struct upkeep *u, const struct upkeep_wave *wave,
		int64_t now_ms);
void upkeep_remove(struct upkeep *u, int64_t number);
/* Restores that the VM's upkeep had begun under a previous owner. */
void upkeep_restore_begun(struct upkeep *u, int64_t number, const char *vm);

/* Returns whether a wave is not done yet, so that the VM list must be read. */
bool upkeep_is_active(const struct upkeep *u);

/* Replace the VM list: one call of upkeep_add_listed for each VM, between the
 * other two. The list shows no state older than the time of the first call. */
void upkeep_begin_listing(struct upkeep *u, int64_t now_ms);
void upkeep_add_listed(struct upkeep *u, const char *vm,
		       enum upkeep_state state, const char *worker);
void upkeep_end_listing(struct upkeep *u, int64_t now_ms);

/* Records the outcome of a command. */
void upkeep_note_result(struct upkeep *u, int64_t number, const char *vm,
			enum upkeep_result res, int64_t now_ms);

/* Advances all waves. Does nothing unless `is_owner`: this process certainly
 * still owns the shard. */
void upkeep_step(struct upkeep *u, bool is_owner, int64_t now_ms);

/* Returns the VMs whose upkeep has begun, and in `done` whether the wave is
 * done. The caller frees the array; its strings are borrowed. */
GPtrArray *upkeep_list_begun(const struct upkeep *u, int64_t number,
			     bool *done);

#endif
