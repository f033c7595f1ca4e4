/*
 * Permit to act on a revision of the configuration: proof, by the local clock,
 * that no newer revision was in force at most `valid_ms` ago.
 *
 * The proof is a read of the store, or heartbeat answers from all other members
 * that hold no newer revision. Whoever commits a change is a member and stops
 * confirming the old revision at once, so `valid_ms` later no process can still
 * act on the old revision, whether the change has reached it or not.
 *
 * A revision that changes the members has settled at this process once every
 * process that might act on an older one has shown the new one or lost its
 * permit. Pure: entry members feed it with heartbeats and reads of the store.
 */
#ifndef PERMIT_H
#define PERMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/view.h"

#define PERMIT_PEERS_MAX 512

struct permit_peer {
	char id[VIEW_ID_MAX];
	uint64_t incarnation;
	int64_t confirmed_until_ms; /* its last confirmation ends then */
	int64_t answered_ms; /* when it last answered a heartbeat */
	int64_t revision; /* highest one that it has shown */
	int64_t removed_ms; /* when it was removed from the members; 0: not */
};

/* Allocated by the caller. All times are of one monotonic clock. */
struct permit {
	int64_t valid_ms; /* validity of one proof */
	int64_t peers_only_max_ms; /* longest time without a store read */
	int64_t store_until_ms; /* the last store read proves until then */
	int64_t store_read_ms; /* last store read; -1: none yet */
	int64_t revision; /* held by this process */
	int64_t settled_ms; /* the change has settled by then; -1: unknown */
	int64_t joining_until_ms; /* a joining process settles no earlier */
	int64_t settling_revision; /* the last to change the members */
	int n_peers;
	struct permit_peer peers[PERMIT_PEERS_MAX];
};

void permit_init(struct permit *p, int64_t valid_ms, int64_t peers_only_max_ms);

/* Records that a read of the store, sent at `sent_ms`, returned `revision`. */
void permit_note_store_read(struct permit *p, int64_t sent_ms,
			    int64_t revision);

/*
 * Records a peer's answer to a heartbeat that was sent at `sent_ms`. The peer
 * holds `revision`; `settled` tells whether it has settled itself.
 */
void permit_note_answer(struct permit *p, const char *id, uint64_t incarnation,
			int64_t sent_ms, int64_t now_ms, int64_t revision,
			bool settled);

/* Records that a peer holds `revision`, without any confirmation by it. */
void permit_note_revision(struct permit *p, const char *id,
			  uint64_t incarnation, int64_t revision, bool settled,
			  int64_t now_ms);

/*
 * Records that this process, `self` in this incarnation, now holds `v` instead
 * of `old_view` (or NULL). Until the change has settled, other members may
 * still act as owners of groups that `v` assigns to this process.
 */
void permit_apply_view(struct permit *p, const struct view *v,
		       const struct view *old_view, const char *self,
		       uint64_t incarnation, int64_t now_ms);

/* Returns whether this process may start work on its revision. */
bool permit_is_held(const struct permit *p, int64_t now_ms);

/*
 * Returns whether the previous owners have certainly given up the groups that
 * the current view assigns to this process: all of them have shown this
 * revision, or their permits have expired.
 */
bool permit_is_settled(const struct permit *p, int64_t now_ms);

/*
 * Returns whether all other members, including those removed within the last
 * `valid_ms`, hold at least `revision`.
 */
bool permit_peers_reached(const struct permit *p, int64_t revision,
			  int64_t now_ms);

#endif
