/* Internal to peers.c and membership.c. */
#ifndef PEERS_INT_H
#define PEERS_INT_H

#include "entry/peers.h"
#include "transport/lnk.h"

#define PEERS_MAX PERMIT_PEERS_MAX

/* The outbound link to one member; reopened while the view lists it. */
struct peer {
	struct peers *peers;
	struct view_member m;
	struct lnk *link;
	bool open;
	int64_t last_reply_ms; /* last heartbeat answer, or listing */
	int64_t connect_ms; /* when the link was last opened */
	int64_t removed_ms; /* when it left the view; 0: listed */
	/* Its liveness row, as last read from the store. */
	int64_t live_counter;
	int64_t live_unchanged_since_ms; /* 0: not read */
};

/* Load of a group, as its owner reports it. */
struct group_load {
	int64_t milli;
	int64_t slots;
	int64_t added; /* requests sent there since the report */
};

struct peers {
	struct entry *e;
	struct lnk_srv *listener;
	struct peer *list[PEERS_MAX];
	int n_peers;
	GHashTable *inbound; /* link id to link */
	GHashTable *link_ids; /* link to link id */
	GHashTable *loads; /* group key to group_load */
	uint64_t next_link_id;
	int64_t live_write_ms;
	int64_t live_counter;
	bool join_pending; /* the pending change is a join */
	int64_t join_revision; /* of the last join */
	bool change_pending; /* a change of a member row is being committed */
	bool leaving; /* hands over its groups */
	bool leave_sent;
};

/* peers.c: returns NULL if there is no peer with that id. */
struct peer *peers_find_peer(const struct peers *p, const char *id);

/*
 * membership.c: joins, becomes ready to own groups, leaves, and expels failed
 * members. Called on each heartbeat.
 */
void peers_update_membership(struct peers *p, int64_t now_ms);

#endif
