/*
 * Handover of groups between entries. A new owner waits until the previous
 * owner can no longer start work, queries all members for bindings, and opens
 * the group with the slots that may still be in use held.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "entry/origin.h"
#include "entry/owner_int.h"
#include "entry/peers.h"

#define QUERY_INTERVAL_MS 100
#define QUERY_TIMEOUT_MS 1000
#define FAR_FUTURE_MS INT64_MAX

static void hold_reported_slots(struct group *g)
{
	GHashTableIter it;
	gpointer value;

	slot_clear_inherited(&g->slots);
	g_hash_table_iter_init(&it, g->reported);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct reported_binding *rb = value;

		slot_hold(&g->slots, rb->target, rb->until_ms, true);
	}
}

/* Returns the longest time that a request may run: the maximum timeout. */
static int64_t longest_timeout_ms(const struct entry *e)
{
	int64_t max_ms = 0;

	for (int i = 0; i < e->view->n_services; i++) {
		if (e->view->services[i].timeout_ms > max_ms)
			max_ms = e->view->services[i].timeout_ms;
	}
	return max_ms;
}

/* Returns when a member other than `except` last failed; 0 if none did. */
static int64_t last_failure_ms(const struct owner *o, const char *except)
{
	int64_t last_ms = 0;

	for (int i = 0; i < o->n_failed; i++) {
		const struct failed_member *f = &o->failed_members[i];

		if (strcmp(f->id, except) != 0 && f->detected_ms > last_ms)
			last_ms = f->detected_ms;
	}
	return last_ms;
}

static bool prev_owner_failed(const struct group *g)
{
	const struct owner *o = g->o;

	for (int i = 0; i < o->n_failed; i++) {
		if (!strcmp(o->failed_members[i].id, g->prev_owner) &&
		    o->failed_members[i].incarnation == g->prev_incarnation)
			return true;
	}
	return *g->prev_owner &&
	       strcmp(g->prev_owner, o->e->settings.id) != 0 &&
	       !g->prev_owner_answered;
}

/*
 * Returns until when a request whose binding no member reported may still run;
 * 0 if there can be none. Each binding is known to two members: its owner, and
 * its origin or a backup. It goes unreported only if the previous owner and
 * another member failed or did not answer; the group then stays closed for as
 * long as such a request may run.
 */
static int64_t unreported_until_ms(const struct group *g, int64_t now_ms)
{
	int64_t longest_ms = longest_timeout_ms(g->o->e);
	int64_t failed_ms = last_failure_ms(g->o, g->prev_owner);
	int n_silent = g->n_queried - g->n_answered -
		       (g->prev_owner_queried && !g->prev_owner_answered);

	if (!prev_owner_failed(g))
		return 0;
	if (n_silent > 0)
		return now_ms + longest_ms;
	return failed_ms ? failed_ms + longest_ms : 0;
}

static void finish_query(struct group *g, int64_t now_ms)
{
	bool incomplete = g->n_answered < g->n_queried;

	if (g->state == GROUP_QUERYING) {
		g->slots.hold_all_until_ms = unreported_until_ms(g, now_ms);
		g->state = GROUP_OPEN;
		log_event(LOG_GROUP_GAINED,
			  "group=%s held=%u missing=%d closed_ms=%" PRId64,
			  g->key, g_hash_table_size(g->reported),
			  g->n_queried - g->n_answered,
			  g->slots.hold_all_until_ms > now_ms
				  ? g->slots.hold_all_until_ms - now_ms
				  : 0);
	} else if (incomplete) {
		/*
		 * A member did not answer: keep the holds reported earlier
		 * until they expire.
		 */
		g->query_id = 0;
		return;
	}
	g->query_id = 0;
	hold_reported_slots(g);
	owner_dispatch_queued(g);
}

static void record_report(struct group *g, const char *key, const char *target,
			  int64_t remaining_ms)
{
	struct reported_binding *rb = g_hash_table_lookup(g->reported, key);

	if (!rb) {
		rb = g_new0(struct reported_binding, 1);
		g_hash_table_insert(g->reported, g_strdup(key), rb);
	}
	if (*target || !*rb->target)
		snprintf(rb->target, sizeof(rb->target), "%s", target);
	rb->until_ms = entry_now_ms(g->o->e) + remaining_ms;
}

static void on_own_binding(const char *key, const char *target,
			   int64_t remaining_ms, void *priv)
{
	record_report(priv, key, target, remaining_ms);
}

static void start_query(struct group *g, int64_t now_ms)
{
	struct owner *o = g->o;
	struct msg m = { .kind = MSG_BINDING_QUERY,
			 .group = g->key,
			 .from = o->e->settings.id };
	const char *name;

	g_hash_table_remove_all(g->reported);
	g->query_id = ++o->next_query_id;
	g->query_start_ms = now_ms;
	g->n_queried = 0;
	g->n_answered = 0;
	g->n_unreachable = 0;
	g->prev_owner_queried = false;
	g->prev_owner_answered = false;
	m.id = g->query_id;
	for (int i = 0; (name = peers_member_id(o->e->peers, i)); i++) {
		g->n_queried++;
		g->prev_owner_queried |= !strcmp(name, g->prev_owner);
		if (!peers_send(o->e->peers, name, &m))
			g->n_unreachable++;
	}
	origin_list_bindings(o->e->origin, g->key, o->e->settings.id,
			     on_own_binding, g);
	if (g->n_unreachable == g->n_queried)
		finish_query(g, now_ms);
}

void owner_handle_report(struct owner *o, const char *from, const struct msg *m)
{
	struct group *g = g_hash_table_lookup(o->groups, m->group);

	if (!g || !g->query_id || g->query_id != m->id)
		return;
	if (*m->key) {
		record_report(g, m->key, m->target, m->remaining_ms);
		return;
	}
	g->n_answered++;
	if (!strcmp(from, g->prev_owner))
		g->prev_owner_answered = true;
	if (g->n_answered + g->n_unreachable == g->n_queried)
		finish_query(g, entry_now_ms(o->e));
}

void owner_update_group(struct group *g, int64_t now_ms)
{
	if (g->state == GROUP_SETTLING &&
	    permit_is_settled(&g->o->e->permit, now_ms)) {
		g->state = GROUP_QUERYING;
		start_query(g, now_ms);
		return;
	}
	if (g->query_id && now_ms - g->query_start_ms > QUERY_TIMEOUT_MS)
		finish_query(g, now_ms);
	else if (g->state == GROUP_OPEN && !g->query_id &&
		 slot_count_inherited(&g->slots) &&
		 now_ms - g->query_start_ms > QUERY_INTERVAL_MS)
		start_query(g, now_ms);
	owner_dispatch_queued(g);
}

static struct group *add_group(struct owner *o, const char *key)
{
	struct group *g = calloc(1, sizeof(*g));

	g->o = o;
	g->state = GROUP_RELEASED;
	snprintf(g->key, sizeof(g->key), "%s", key);
	slot_init(&g->slots, o->e->settings.queue_max);
	CDS_INIT_LIST_HEAD(&g->running);
	g->reported =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(o->groups, g->key, g);
	return g;
}

/* The owner of a group under an older view; NULL if there was none. */
static const struct view_member *find_prev_owner(const struct view *v,
						 const struct view_group *g)
{
	int i = -1;

	if (v)
		i = view_choose_owner(v->members, v->n_members, g->key,
				      g->domain, g->region);
	return i < 0 ? NULL : &v->members[i];
}

static void acquire_group(struct owner *o, const struct view_group *vg,
			  const struct view *old_view)
{
	struct group *g = g_hash_table_lookup(o->groups, vg->key);
	const struct view_member *prev = find_prev_owner(old_view, vg);
	bool was_ours = prev && !strcmp(prev->id, o->e->settings.id) &&
			prev->incarnation == o->e->incarnation;

	if (!g)
		g = add_group(o, vg->key);
	if (g->state != GROUP_RELEASED)
		return;
	snprintf(g->prev_owner, sizeof(g->prev_owner), "%s",
		 prev ? prev->id : "");
	g->prev_incarnation = prev ? prev->incarnation : 0;
	if (was_ours) {
		/* No other member can have owned it in between. */
		g->state = GROUP_OPEN;
		return;
	}
	g->state = GROUP_SETTLING;
	g->slots.hold_all_until_ms = FAR_FUTURE_MS;
}

static void release_group(struct group *g)
{
	struct slot_req *s;

	if (g->state == GROUP_RELEASED)
		return;
	log_event(LOG_GROUP_RELEASED, "group=%s running=%" PRId64, g->key,
		  g->slots.busy);
	g->state = GROUP_RELEASED;
	g->query_id = 0;
	while ((s = slot_dequeue_any(&g->slots)))
		owner_reject((struct owner_req *)s, "group moved", true);
}

static void update_group(struct owner *o, const struct view_group *vg,
			 const struct view *old_view)
{
	struct group *g;
	struct slot_req *s;

	if (vg->owner != o->e->self_index)
		return;
	acquire_group(o, vg, old_view);
	g = g_hash_table_lookup(o->groups, vg->key);
	slot_set_targets(&g->slots, vg);
	g->slots.closed = vg->domain_out;
	while (vg->domain_out && (s = slot_dequeue_any(&g->slots)))
		owner_reject((struct owner_req *)s, "domain out", true);
}

static bool is_still_member(const struct view *v, const struct view_member *m)
{
	int i = view_find_member(v, m->id);

	return i >= 0 && v->members[i].incarnation == m->incarnation;
}

static void record_failed_member(struct owner *o, const struct view_member *m)
{
	struct failed_member *f;

	if (o->n_failed == FAILED_MEMBERS_MAX)
		memmove(o->failed_members, o->failed_members + 1,
			sizeof(*f) * (FAILED_MEMBERS_MAX - 1));
	else
		o->n_failed++;
	f = &o->failed_members[o->n_failed - 1];
	snprintf(f->id, sizeof(f->id), "%s", m->id);
	f->incarnation = m->incarnation;
	f->detected_ms = entry_now_ms(o->e);
}

void owner_view_changed(struct owner *o, const struct view *old_view)
{
	const struct view *v = o->e->view;
	GHashTableIter it;
	gpointer value;

	for (int i = 0; old_view && i < old_view->n_members; i++) {
		const struct view_member *m = &old_view->members[i];

		if (!m->leaving && !is_still_member(v, m))
			record_failed_member(o, m);
	}
	g_hash_table_iter_init(&it, o->groups);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct group *g = value;
		const struct view_group *vg = view_find_group(v, g->key);

		if (!vg || vg->owner != o->e->self_index ||
		    o->e->self_index < 0)
			release_group(g);
	}
	for (int i = 0; o->e->self_index >= 0 && i < v->n_groups; i++)
		update_group(o, &v->groups[i], old_view);
}

void owner_free_group(gpointer p)
{
	struct group *g = p;

	g_hash_table_destroy(g->reported);
	free(g);
}
