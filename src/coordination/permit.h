/*
 * Permit to act on a revision: proof, by this process's own clock, that no
 * newer revision was in force at most `span_ms` ago.
 *
 * Either the store itself was read, or every other member answered a
 * heartbeat while holding nothing newer. Whoever commits a change is a
 * member, so it stops vouching at once: `span_ms` later no process can
 * still act on the old revision, reached or not.
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
	int64_t until_ms; /* vouched for up to then */
	int64_t heard_ms; /* when it last answered */
	int64_t revision; /* highest it has shown */
	int64_t departed_ms; /* removed from the members then; 0 if not */
};

/* Owned by the caller. All times are on one monotonic clock. */
struct permit {
	int64_t span_ms;
	int64_t peers_only_max_ms; /* longest without a read of the store */
	int64_t store_until_ms;
	int64_t store_read_ms; /* -1 before the first */
	int64_t revision; /* what this process holds */
	int64_t settled_ms; /* acting is allowed from then on; -1 not known */
	int64_t newcomer_until_ms; /* nothing settles before then */
	int64_t settling_revision; /* the one that changed the members */
	int n_peers;
	struct permit_peer peers[PERMIT_PEERS_MAX];
};

void permit_init(struct permit *p, int64_t span_ms, int64_t peers_only_max_ms);

/* A read of the store that was sent at `sent_ms` showed `revision`. */
void permit_note_store_read(struct permit *p, int64_t sent_ms,
			    int64_t revision);

/*
 * A peer answered a heartbeat sent at `sent_ms`, holding `revision`;
 * `settled` says whether it was itself settled in the membership.
 */
void permit_note_answer(struct permit *p, const char *id, uint64_t incarnation,
			int64_t sent_ms, int64_t now_ms, int64_t revision,
			bool settled);

/* A peer showed that it holds `revision`; it vouches for nothing by that. */
void permit_note_revision(struct permit *p, const char *id,
			  uint64_t incarnation, int64_t revision, bool settled,
			  int64_t now_ms);

/*
 * This process, `self` in this incarnation, now holds `v`. `before` is
 * the view it held, or NULL. What moved between the two may still be
 * acted on elsewhere until settled.
 */
void permit_apply_view(struct permit *p, const struct view *v,
		       const struct view *before, const char *self,
		       uint64_t incarnation, int64_t now_ms);

/* May this process start work on its revision? */
bool permit_is_held(const struct permit *p, int64_t now_ms);

/*
 * Has what this view gave us surely been given up by its last holder:
 * because all that held an older one showed this one, or by time?
 */
bool permit_is_settled(const struct permit *p, int64_t now_ms);

/*
 * Do all other members, and those removed in the last `span_ms`, hold at
 * least `revision`?
 */
bool permit_peers_reached(const struct permit *p, int64_t revision,
			  int64_t now_ms);

#endif
