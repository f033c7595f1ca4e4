/* Links to the other entries: membership, heartbeats, messages. */
#ifndef PEERS_H
#define PEERS_H

#include "entry/entry.h"

struct peers *peers_start(struct entry *e, struct err *err);

/* The view changed: links follow the members. */
void peers_view_changed(struct peers *p);

/* Sends to a member; false if there is no open link to it. */
bool peers_send(struct peers *p, const char *member, const struct msg *m);

/* Answers over an inbound link; false if that is gone. */
bool peers_reply(struct peers *p, uint64_t link, const struct msg *m);

/* Member id of the `i`th outbound link, open or not; NULL past the last. */
const char *peers_member_id(const struct peers *p, int i);

/* Load of a group as its owner last said, thousandths; -1 unknown. */
int64_t peers_load_milli(const struct peers *p, const char *group);

/* Adds to what was last said, until the owner says again. */
void peers_add_load(struct peers *p, const char *group, int64_t slots);

/* Begins to hand all groups to other members. */
void peers_drain(struct peers *p);

/* Are they handed over, as far as the configuration goes? */
bool peers_drained(const struct peers *p);

/* Leaves the membership; true once that is in force here. Call again. */
bool peers_leave(struct peers *p);

#endif
