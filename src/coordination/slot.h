/*
 * One group of targets and the queue before it: admission, order, and
 * late binding of requests to free slots. Pure: no clock, no transport.
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

/* Embedded in what the owner of a request keeps; owned by it. */
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
	SLOT_NOT_RUN, /* proved not started: the slot is free */
	SLOT_UNKNOWN, /* may still be running: held until its deadline */
};

struct slot_target {
	struct view_vm vm;
	int64_t busy; /* bound by us */
	int64_t shun_until_ms; /* path failed: only used last */
	int64_t failures; /* in a row */
	bool present; /* in the current list */
};

/* A slot that something else may occupy until a time. */
struct slot_hold {
	char target[VIEW_ID_MAX]; /* empty: any one of the group */
	int64_t until_ms;
	bool inherited; /* told by others; see slot_clear_inherited */
};

struct slot_tenant {
	char name[SLOT_TENANT_MAX];
	struct cds_list_head queue; /* earliest deadline first */
	int64_t served_us; /* virtual time: slot time taken */
	int64_t queued;
};

/* Owned by the caller. */
struct slot_group {
	struct slot_target targets[SLOT_TARGETS_MAX];
	int n_targets;
	struct slot_hold holds[SLOT_HOLDS_MAX];
	int n_holds;
	int64_t hold_all_until_ms;
	struct slot_tenant tenants[SLOT_TENANTS_MAX];
	int n_tenants;
	int64_t virtual_us;
	int64_t queued;
	int64_t busy;
	int64_t mean_us; /* moving mean of slot time */
	int64_t queue_max;
	bool closed; /* takes and binds nothing: domain out, or not ours */
};

void slot_init(struct slot_group *g, int64_t queue_max);

/* Replaces the list of targets; those that vanish only drain. */
void slot_set_targets(struct slot_group *g, const struct view_group *vg);

/* Reason for refusing, or NULL if the request is queued now. */
const char *slot_enqueue(struct slot_group *g, struct slot_req *r,
			 int64_t now_ms);

/* Takes a request out of the queue. */
void slot_dequeue(struct slot_group *g, struct slot_req *r);

/* Binds the next request to a slot; NULL if there is none to bind. */
struct slot_req *slot_bind(struct slot_group *g, int64_t now_ms);

/* Ends a binding. */
void slot_release(struct slot_group *g, struct slot_req *r,
		  enum slot_outcome end, int64_t now_ms);

/*
 * Something else may use a slot of `target` (or any one) until that
 * deadline, and for the time that a request may be on its way beyond it.
 */
void slot_hold(struct slot_group *g, const char *target, int64_t until_ms,
	       bool inherited);

/* Forgets the inherited holds, before they are told anew. */
void slot_clear_inherited(struct slot_group *g);
int slot_count_inherited(const struct slot_group *g);

/* The next queued request whose deadline has passed, dequeued; or NULL. */
struct slot_req *slot_dequeue_expired(struct slot_group *g, int64_t now_ms);

/* Any queued request, dequeued: for handing a group on. NULL if none. */
struct slot_req *slot_dequeue_any(struct slot_group *g);

/* Slots that could be bound now. */
int64_t slot_count_free(const struct slot_group *g, int64_t now_ms);

#endif
