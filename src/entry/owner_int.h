/* Inside of the owner of groups: shared by the owner*.c files only. */
#ifndef OWNER_INT_H
#define OWNER_INT_H

#include "coordination/slot.h"
#include "entry/owner.h"

#define ATTEMPT_KEY_MAX 128 /* bytes of an attempt's key */
#define FAILED_MEMBERS_MAX                                                     \
	64 /* remembered; older ones have no effect any more */

/* A group's way from its former owner to us and on. */
enum group_state {
	GROUP_SETTLING, /* its former owner may still act */
	GROUP_QUERYING, /* members are being asked what is bound */
	GROUP_OPEN,
	GROUP_RELEASED, /* not ours: only drains */
};

/* What may occupy a slot, as another member told it. */
struct reported_binding {
	char target[VIEW_ID_MAX];
	int64_t until_ms;
};

/* One group that is ours, or was and still drains. */
struct group {
	struct owner *o;
	char key[VIEW_KEY_MAX];
	enum group_state state;
	struct slot_group slots;
	struct cds_list_head running;
	uint64_t query_id; /* of questions under way; 0: none */
	int64_t query_start_ms; /* when it was begun */
	int n_asked; /* members, in this round */
	int n_answered;
	int n_unreachable;
	GHashTable *reported; /* attempt key to what was told this round */
	char prev_owner[VIEW_ID_MAX]; /* its owner before us; may be empty */
	uint64_t prev_incarnation;
	bool prev_owner_asked;
	bool prev_owner_answered;
};

/* One request that waits or runs here. */
struct owner_req {
	struct slot_req slot; /* first: a slot_req is cast to its job */
	struct cds_list_head node; /* of running */
	struct group *g;
	uint64_t link_id; /* inbound link it came over; 0: this process */
	uint64_t id; /* the origin's */
	char origin[VIEW_ID_MAX];
	char request_id[ENTRY_ID_MAX];
	char service[REC_NAME_MAX];
	char backup[VIEW_ID_MAX];
	bool idempotent;
	char *body;
	size_t body_len;
};

/* A member that went without finishing what it had under way. */
struct failed_member {
	char id[VIEW_ID_MAX];
	uint64_t incarnation;
	int64_t detected_ms;
};

struct owner {
	struct entry *e;
	struct failed_member failed_members[FAILED_MEMBERS_MAX];
	int n_failed;
	GHashTable *groups; /* key to group */
	uint64_t next_query_id;
	unsigned int n_pending;
};

/* owner.c: binds and dispatches what can be; ends a job that never ran. */
void owner_dispatch_queued(struct group *g);
void owner_reject(struct owner_req *r, const char *reason, bool moved);

/* owner_handover.c: takes the next step of a group that changes hands. */
void owner_update_group(struct group *g, int64_t now_ms);
void owner_free_group(gpointer p);

#endif
