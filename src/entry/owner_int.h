/* Internal to the owner module: included by the owner*.c files only. */
#ifndef OWNER_INT_H
#define OWNER_INT_H

#include "coordination/slot.h"
#include "entry/owner.h"

#define ATTEMPT_KEY_MAX 128 /* bytes of a binding key, with its NUL */
/* Failures kept; older ones no longer affect any handover. */
#define FAILED_MEMBERS_MAX 64

/* States of a group, from taking it over to handing it over. */
enum group_state {
	GROUP_SETTLING, /* the previous owner may still start work */
	GROUP_QUERYING, /* the members are queried for bindings */
	GROUP_OPEN, /* requests are bound and dispatched */
	GROUP_RELEASED, /* not owned here: only running requests end */
};

/* A binding reported by a member: the slot may be in use until then. */
struct reported_binding {
	char target[VIEW_ID_MAX];
	int64_t until_ms;
};

/* A group owned here, or released with requests still running. */
struct group {
	struct owner *o;
	char key[VIEW_KEY_MAX];
	enum group_state state;
	struct slot_group slots;
	struct cds_list_head running;
	uint64_t query_id; /* of the binding query in progress; 0: none */
	int64_t query_start_ms;
	int n_queried; /* members */
	int n_answered;
	int n_unreachable;
	GHashTable *reported; /* attempt key to reported_binding, this query */
	char prev_owner[VIEW_ID_MAX]; /* empty if unknown */
	uint64_t prev_incarnation;
	bool prev_owner_queried;
	bool prev_owner_answered;
};

/* A request that is queued or running in a group. */
struct owner_req {
	struct slot_req slot; /* first: slot_req pointers are cast back */
	struct cds_list_head node; /* in group.running */
	struct group *g;
	uint64_t link_id; /* inbound link it arrived on; 0: this process */
	uint64_t id; /* attempt id chosen by the origin */
	char origin[VIEW_ID_MAX]; /* member that accepted the request */
	char request_id[ENTRY_ID_MAX];
	char service[REC_NAME_MAX];
	char backup[VIEW_ID_MAX]; /* member with a copy of the binding, or "" */
	bool idempotent;
	char *body;
	size_t body_len;
};

/* A member removed without leaving, so its requests may be unfinished. */
struct failed_member {
	char id[VIEW_ID_MAX];
	uint64_t incarnation;
	int64_t detected_ms; /* when the view without it arrived */
};

struct owner {
	struct entry *e;
	struct failed_member failed_members[FAILED_MEMBERS_MAX];
	int n_failed;
	GHashTable *groups; /* key to group */
	uint64_t next_query_id;
	unsigned int n_pending;
	int64_t body_bytes; /* of requests from other members */
	int64_t body_bytes_max;
};

/* owner.c: binds queued requests to free slots and dispatches them. */
void owner_dispatch_queued(struct group *g);

/* owner.c: answers "not run" and frees `r`, which no target received. */
void owner_reject(struct owner_req *r, const char *reason, bool moved);

/* owner_handover.c: advances the handover of a group; called on each tick. */
void owner_update_group(struct group *g, int64_t now_ms);

/* owner_handover.c: frees a struct group; a GDestroyNotify. */
void owner_free_group(gpointer p);

#endif
