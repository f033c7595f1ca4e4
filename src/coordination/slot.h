/*
 * One group of targets and its queue: admission, order, and late binding of
 * requests to free slots. Used by the entry member that owns the group. Pure:
 * no clock, no transport.
 *
 * A request is bound to a slot of a target when it leaves the queue. A hold
 * blocks a slot that a request from elsewhere, or one with an unknown outcome,
 * may still occupy.
 */
#ifndef SLOT_H
#define SLOT_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "coordination/view.h"

#define SLOT_TENANT_MAX 64
#define SLOT_TARGETS_MAX 64
#define SLOT_HOLDS_MAX 1024
#define SLOT_TENANTS_MAX 256

/* A request; embedded in a structure of the caller, which owns it. */
struct slot_req {
	struct cds_list_head node;
	char tenant[SLOT_TENANT_MAX];
	int64_t deadline_ms;
	int64_t queued_ms;
	int64_t bound_ms;
	char target[VIEW_ID_MAX]; /* set when bound */
	bool queued;
	bool bound;
};

/* How a request left its slot. */
enum slot_outcome {
	SLOT_DONE, /* the target answered: the slot is free */
	SLOT_NOT_RUN, /* certainly not started: the slot is free */
	SLOT_UNKNOWN, /* may still run: the slot is held to the deadline */
};

struct slot_target {
	struct view_vm vm;
	int64_t busy; /* slots with a request that is bound here */
	int64_t avoid_until_ms; /* after failures: used only as a last resort */
	int64_t failures; /* in a row */
	bool listed; /* in the current list of targets */
};

/* A slot that may be occupied by a request that is not bound here. */
struct slot_hold {
	char target[VIEW_ID_MAX]; /* empty: any one of the group */
	int64_t until_ms;
	bool inherited; /* reported by another member */
};

struct slot_tenant {
	char name[SLOT_TENANT_MAX];
	struct cds_list_head queue; /* earliest deadline first */
	int64_t served_us; /* slot time used, as virtual time */
	int64_t queued; /* requests in its queue */
};

/* Allocated by the caller. */
struct slot_group {
	struct slot_target targets[SLOT_TARGETS_MAX];
	int n_targets;
	struct slot_hold holds[SLOT_HOLDS_MAX];
	int n_holds;
	int64_t hold_all_until_ms; /* nothing is bound before then */
	struct slot_tenant tenants[SLOT_TENANTS_MAX];
	int n_tenants;
	int64_t virtual_time_us; /* where tenants start that were idle */
	int64_t queued; /* requests of all tenants */
	int64_t busy; /* slots of all targets */
	int64_t mean_us; /* moving mean of the time a request is bound */
	int64_t queue_max;
	bool closed; /* domain taken out or group not owned: no new requests */
};

void slot_init(struct slot_group *g, int64_t queue_max);

/* Replaces the list of targets. Targets that are no longer listed get no new
 * requests and are removed once idle. */
void slot_set_targets(struct slot_group *g, const struct view_group *vg);

/* Queues a request; returns NULL, or the reason if it is refused. */
const char *slot_enqueue(struct slot_group *g, struct slot_req *r,
			 int64_t now_ms);

/* Removes a request from the queue. */
void slot_dequeue(struct slot_group *g, struct slot_req *r);

/* Dequeues the next request and binds it to a slot; returns NULL if the queue
 * is empty or no slot may be bound now. */
struct slot_req *slot_bind(struct slot_group *g, int64_t now_ms);

/* Ends the binding of a request. */
void slot_release(struct slot_group *g, struct slot_req *r,
		  enum slot_outcome outcome, int64_t now_ms);

/*
 * Holds a slot of `target`, or of an unknown one if empty, to the deadline
 * `until_ms` of the request that may occupy it, plus one second for the time
 * that the request may have been under way to its target.
 */
void slot_hold(struct slot_group *g, const char *target, int64_t until_ms,
	       bool inherited);

/* Removes the inherited holds before other members report them again. */
void slot_clear_inherited(struct slot_group *g);
int slot_count_inherited(const struct slot_group *g);

/* Dequeues and returns a request whose deadline has passed; NULL if none. */
struct slot_req *slot_dequeue_expired(struct slot_group *g, int64_t now_ms);

/* Dequeues and returns any request, to hand the group over; NULL if none. */
struct slot_req *slot_dequeue_any(struct slot_group *g);

/* Returns the number of slots that could be bound now. */
int64_t slot_count_free(const struct slot_group *g, int64_t now_ms);

#endif
