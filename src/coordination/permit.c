/* Permit to act on a revision, and when a new revision has settled. */
#include "coordination/permit.h"

#include <stdio.h>
#include <string.h>

void permit_init(struct permit *p, int64_t valid_ms, int64_t peers_only_max_ms)
{
	memset(p, 0, sizeof(*p));
	p->valid_ms = valid_ms;
	p->peers_only_max_ms = peers_only_max_ms;
	p->store_read_ms = -1;
	p->store_until_ms = -1;
	p->settled_ms = -1;
}

static struct permit_peer *find_peer(struct permit *p, const char *id,
				     uint64_t incarnation)
{
	for (int i = 0; i < p->n_peers; i++) {
		if (p->peers[i].incarnation == incarnation &&
		    !strcmp(p->peers[i].id, id))
			return &p->peers[i];
	}
	return NULL;
}

void permit_note_store_read(struct permit *p, int64_t sent_ms, int64_t revision)
{
	if (revision > p->revision)
		return;
	p->store_read_ms = sent_ms;
	if (p->store_until_ms < sent_ms + p->valid_ms)
		p->store_until_ms = sent_ms + p->valid_ms;
}

void permit_note_revision(struct permit *p, const char *id,
			  uint64_t incarnation, int64_t revision, bool settled,
			  int64_t now_ms)
{
	struct permit_peer *peer = find_peer(p, id, incarnation);

	if (!peer)
		return;
	if (revision > peer->revision)
		peer->revision = revision;
	/*
	 * The revision by which this process joins is binding only once a
	 * settled member holds it: that member then no longer confirms the
	 * older revision.
	 */
	if (p->settled_ms < 0 && settled && revision >= p->settling_revision) {
		p->settled_ms = now_ms + p->valid_ms;
		p->joining_until_ms = p->settled_ms;
	}
}

void permit_note_answer(struct permit *p, const char *id, uint64_t incarnation,
			int64_t sent_ms, int64_t now_ms, int64_t revision,
			bool settled)
{
	struct permit_peer *peer = find_peer(p, id, incarnation);

	if (!peer)
		return;
	permit_note_revision(p, id, incarnation, revision, settled, now_ms);
	peer->answered_ms = now_ms;
	if (revision <= p->revision &&
	    peer->confirmed_until_ms < sent_ms + p->valid_ms)
		peer->confirmed_until_ms = sent_ms + p->valid_ms;
}

/* Returns the index of this incarnation among the members; -1 if it is not
 * listed. */
static int self_index(const struct view *v, const char *self,
		      uint64_t incarnation)
{
	int i = view_find_member(v, self);

	return i >= 0 && v->members[i].incarnation == incarnation ? i : -1;
}

/* A member that was listed before, but never settled, is still joining. */
static bool is_joining(const struct permit *p, const struct view *old_view,
		       const char *self, uint64_t incarnation)
{
	return !old_view || self_index(old_view, self, incarnation) < 0 ||
	       p->settled_ms < 0;
}

/*
 * Returns whether all other members certainly joined after this one. Then none
 * of them knows more about earlier members, and they wait for this one to
 * settle. The rows of ready and leaving members are newer than their joining,
 * so their revision doesn't tell when they joined.
 */
static bool joined_first(const struct view *v, const char *self,
			 uint64_t incarnation)
{
	int own = self_index(v, self, incarnation);

	for (int i = 0; own >= 0 && i < v->n_members; i++) {
		const struct view_member *m = &v->members[i];

		if (i != own && (m->ready || m->leaving ||
				 m->revision < v->members[own].revision))
			return false;
	}
	return own >= 0;
}

/* Returns whether the VM list has the VM of an earlier member but `self`. */
static bool any_vm_listed(const struct view *v, const struct view *old_view,
			  const char *self)
{
	for (int i = 0; old_view && i < old_view->n_members; i++) {
		const char *id = old_view->members[i].id;

		for (int k = 0; k < v->n_vms; k++) {
			if (strcmp(id, self) && !strcmp(v->vms[k].id, id))
				return true;
		}
	}
	return false;
}

/*
 * A joining member that got no answer from the earlier members can't tell
 * failed ones from ones in another network partition that still confirm each
 * other's permits. It settles after one validity if the VM list has none of
 * them, else only after the longest time that peers alone can renew a permit.
 */
static int64_t settle_unconfirmed(const struct permit *p, const struct view *v,
				  const struct view *old_view, const char *self,
				  int64_t now_ms)
{
	if (any_vm_listed(v, old_view, self))
		return now_ms + p->peers_only_max_ms + p->valid_ms;
	return now_ms + p->valid_ms;
}

/* Returns when a change of the members has settled at the latest; -1 if that
 * depends on another member that has to settle first. */
static int64_t settle_time(const struct permit *p, const struct view *v,
			   const struct view *old_view, const char *self,
			   uint64_t incarnation, int64_t now_ms)
{
	if (!is_joining(p, old_view, self, incarnation))
		return now_ms + p->valid_ms;
	if (v->n_members <= 1 || joined_first(v, self, incarnation))
		return settle_unconfirmed(p, v, old_view, self, now_ms);
	return -1;
}

static void add_peer(struct permit *p, const struct permit *old,
		     const struct view_member *m, int64_t now_ms)
{
	struct permit_peer *known =
		find_peer((struct permit *)old, m->id, m->incarnation);
	struct permit_peer *peer;

	if (p->n_peers == PERMIT_PEERS_MAX)
		return;
	peer = &p->peers[p->n_peers++];
	if (known) {
		*peer = *known;
		peer->removed_ms = 0;
		return;
	}
	memset(peer, 0, sizeof(*peer));
	snprintf(peer->id, sizeof(peer->id), "%s", m->id);
	peer->incarnation = m->incarnation;
	peer->answered_ms = now_ms;
}

/* Removed members may act on their revision for another valid_ms. */
static void keep_removed(struct permit *p, const struct permit *old,
			 int64_t now_ms)
{
	for (int i = 0; i < old->n_peers; i++) {
		const struct permit_peer *o = &old->peers[i];
		int64_t since = o->removed_ms ? o->removed_ms : now_ms;

		if (find_peer(p, o->id, o->incarnation) ||
		    now_ms >= since + p->valid_ms ||
		    p->n_peers == PERMIT_PEERS_MAX)
			continue;
		p->peers[p->n_peers] = *o;
		p->peers[p->n_peers++].removed_ms = since;
	}
}

/* Compares what matters for settling: who is a member, and who is ready. */
static bool same_members(const struct view *a, const struct view *b)
{
	if (!a || a->n_members != b->n_members)
		return false;
	for (int i = 0; i < a->n_members; i++) {
		if (a->members[i].incarnation != b->members[i].incarnation ||
		    a->members[i].ready != b->members[i].ready ||
		    strcmp(a->members[i].id, b->members[i].id) != 0)
			return false;
	}
	return true;
}

void permit_apply_view(struct permit *p, const struct view *v,
		       const struct view *old_view, const char *self,
		       uint64_t incarnation, int64_t now_ms)
{
	struct permit old = *p;

	p->n_peers = 0;
	p->revision = v->revision;
	for (int i = 0; i < v->n_members; i++) {
		if (strcmp(v->members[i].id, self) != 0)
			add_peer(p, &old, &v->members[i], now_ms);
	}
	keep_removed(p, &old, now_ms);
	if (same_members(old_view, v))
		return;
	p->settled_ms =
		settle_time(&old, v, old_view, self, incarnation, now_ms);
	if (is_joining(&old, old_view, self, incarnation))
		p->joining_until_ms = p->settled_ms;
	p->settling_revision = v->revision;
}

bool permit_is_held(const struct permit *p, int64_t now_ms)
{
	if (now_ms < p->store_until_ms)
		return true;
	if (p->store_read_ms < 0 ||
	    now_ms > p->store_read_ms + p->peers_only_max_ms)
		return false;
	for (int i = 0; i < p->n_peers; i++) {
		const struct permit_peer *peer = &p->peers[i];

		if (!peer->removed_ms && peer->confirmed_until_ms <= now_ms)
			return false;
	}
	return true;
}

bool permit_is_settled(const struct permit *p, int64_t now_ms)
{
	if (p->settled_ms < 0 || now_ms < p->joining_until_ms)
		return false;
	return now_ms >= p->settled_ms ||
	       permit_peers_reached(p, p->settling_revision, now_ms);
}

bool permit_peers_reached(const struct permit *p, int64_t revision,
			  int64_t now_ms)
{
	for (int i = 0; i < p->n_peers; i++) {
		const struct permit_peer *peer = &p->peers[i];

		if (peer->removed_ms &&
		    now_ms >= peer->removed_ms + p->valid_ms)
			continue;
		if (peer->revision < revision)
			return false;
	}
	return true;
}
