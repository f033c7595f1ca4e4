/* Inside of the links to other entries: peers.c and membership.c only. */
#ifndef PEERS_INT_H
#define PEERS_INT_H

#include "entry/peers.h"
#include "transport/lnk.h"

#define PEERS_MAX PERMIT_PEERS_MAX

/* An outbound link to one member; reopened as long as it is listed. */
struct peer {
	struct peers *peers;
	struct view_member m;
	struct lnk *link;
	bool open;
	int64_t last_reply_ms; /* its last answer; a new link is none */
	int64_t connect_ms; /* when this link was begun */
	int64_t removed_ms; /* 0 while listed */
	/* what the store last showed of its liveness row */
	int64_t live_counter;
	int64_t live_unchanged_since_ms; /* unchanged since; 0 not looked at */
};

struct group_load {
	int64_t milli;
	int64_t slots;
	int64_t added; /* requests sent there since it was told */
};

struct peers {
	struct entry *e;
	struct lnk_srv *listener;
	struct peer *list[PEERS_MAX];
	int n;
	GHashTable *inbound; /* link number to link */
	GHashTable *link_ids; /* link to link number */
	GHashTable *loads; /* group key to load */
	uint64_t next_link_id;
	int64_t live_write_ms;
	int64_t live_counter;
	bool join_pending; /* and that is a join */
	int64_t join_revision; /* of the last join */
	bool change_pending; /* a join, leave or expulsion is under way */
	bool leaving;
	bool leave_sent;
};

/* peers.c: NULL if there is no link to that member. */
struct peer *peers_find_peer(const struct peers *p, const char *id);

/* membership.c: joins, gets ready, removes the dead; called often. */
void peers_update_membership(struct peers *p, int64_t now_ms);

#endif
