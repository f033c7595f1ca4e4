/*
 * Links to the other entries: membership, heartbeats and messages. Each member
 * keeps an outbound link to every other; requests and heartbeats go out over
 * it and their answers come back on it.
 */
#ifndef PEERS_H
#define PEERS_H

#include "entry/entry.h"

/* Listens for peers. Returns NULL and sets `err` on failure. */
struct peers *peers_start(struct entry *e, struct err *err);

/* Opens and closes links to match the members of the new view. */
void peers_view_changed(struct peers *p);

/* Sends to a member. Returns false if there is no open link to it. */
bool peers_send(struct peers *p, const char *member, const struct msg *m);

/* Answers over an inbound link. Returns false if it is closed. */
bool peers_reply(struct peers *p, uint64_t link, const struct msg *m);

/* Returns the member id of the `i`th outbound link, open or not; NULL past the
 * last. */
const char *peers_member_id(const struct peers *p, int i);

/*
 * Returns the load of a group in thousandths of its slots, as last reported by
 * its owner plus the requests sent since; -1 if not known.
 */
int64_t peers_load_milli(const struct peers *p, const char *group);

/* Adds `slots` to the load of a group until its owner reports again. */
void peers_add_load(struct peers *p, const char *group, int64_t slots);

/* Starts handing over all groups to other members. */
void peers_drain(struct peers *p);

/* Returns whether the configuration no longer assigns groups to this entry. */
bool peers_drained(const struct peers *p);

/*
 * Leaves the membership. Returns true once the view shows that; call it
 * repeatedly until then.
 */
bool peers_leave(struct peers *p);

#endif
