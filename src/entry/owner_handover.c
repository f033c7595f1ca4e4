/* Groups that change hands: who may still run what, and when to open. */
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
		struct reported_binding *t = value;

		slot_hold(&g->slots, t->target, t->until_ms, true);
	}
}

/* The longest that anything unknown may run: what services allow. */
static int64_t longest_timeout_ms(const struct entry *e)
{
	int64_t max_ms = 0;

	for (int i = 0; i < e->view->n_services; i++) {
		if (e->view->services[i].timeout_ms > max_ms)
			max_ms = e->view->services[i].timeout_ms;
	}
	return max_ms;
}

/* When the last of the members but `but` died; 0 if none lately. */
static int64_t last_failure_ms(const struct owner *o, const char *except)
{
	int64_t last_ms = 0;

	for (int i = 0; i < o->n_failed; i++) {
		const struct failed_member *d = &o->failed_members[i];

		if (strcmp(d->id, except) != 0 && d->detected_ms > last_ms)
			last_ms = d->detected_ms;
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
 * Each binding is known to two VMs: its owner, and its origin or a
 * witness. Only if the former owner and another are lost can one be known
 * to nobody; then the group stays closed for as long as that may run.
 */
static int64_t unreported_until_ms(const struct group *g, int64_t now_ms)
{
	int64_t longest_ms = longest_timeout_ms(g->o->e);
	int64_t failed_ms = last_failure_ms(g->o, g->prev_owner);
	int n_silent = g->n_asked - g->n_answered -
		       (g->prev_owner_asked && !g->prev_owner_answered);

	if (!prev_owner_failed(g))
		return 0;
	if (n_silent > 0)
		return now_ms + longest_ms;
	return failed_ms ? failed_ms + longest_ms : 0;
}

static void finish_query(struct group *g, int64_t now_ms)
{
	bool incomplete = g->n_answered < g->n_asked;

	if (g->state == GROUP_QUERYING) {
		g->slots.hold_all_until_ms = unreported_until_ms(g, now_ms);
		g->state = GROUP_OPEN;
		log_event(LOG_GROUP_GAINED,
			  "group=%s held=%u missing=%d closed_ms=%" PRId64,
			  g->key, g_hash_table_size(g->reported),
			  g->n_asked - g->n_answered,
			  g->slots.hold_all_until_ms > now_ms
				  ? g->slots.hold_all_until_ms - now_ms
				  : 0);
	} else if (incomplete) {
		/* Told before and not now: those holds stay to their end. */
		g->query_id = 0;
		return;
	}
	g->query_id = 0;
	hold_reported_slots(g);
	owner_pump(g);
}

static void record_report(struct group *g, const char *key, const char *target,
			  int64_t remaining_ms)
{
	struct reported_binding *t = g_hash_table_lookup(g->reported, key);

	if (!t) {
		t = g_new0(struct reported_binding, 1);
		g_hash_table_insert(g->reported, g_strdup(key), t);
	}
	if (*target || !*t->target)
		snprintf(t->target, sizeof(t->target), "%s", target);
	t->until_ms = entry_now_ms(g->o->e) + remaining_ms;
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
	g->n_asked = 0;
	g->n_answered = 0;
	g->n_unreachable = 0;
	g->prev_owner_asked = false;
	g->prev_owner_answered = false;
	m.id = g->query_id;
	for (int i = 0; (name = peers_name(o->e->peers, i)); i++) {
		g->n_asked++;
		g->prev_owner_asked |= !strcmp(name, g->prev_owner);
		if (!peers_send(o->e->peers, name, &m))
			g->n_unreachable++;
	}
	origin_list_bindings(o->e->origin, g->key, o->e->settings.id,
			     on_own_binding, g);
	if (g->n_unreachable == g->n_asked)
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
	if (g->n_answered + g->n_unreachable == g->n_asked)
		finish_query(g, entry_now_ms(o->e));
}

void owner_drive_group(struct group *g, int64_t now_ms)
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
	owner_pump(g);
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

/* Id and incarnation of the owner under an earlier view. */
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
		/* Nobody else could have owned it: nothing to wait for. */
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
		owner_refuse((struct job *)s, "group moved", true);
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
		owner_refuse((struct job *)s, "domain out", true);
}

static bool is_still_member(const struct view *v, const struct view_member *m)
{
	int i = view_find_member(v, m->id);

	return i >= 0 && v->members[i].incarnation == m->incarnation;
}

static void record_failed_member(struct owner *o, const struct view_member *m)
{
	struct failed_member *d;

	if (o->n_failed == FAILED_MEMBERS_MAX)
		memmove(o->failed_members, o->failed_members + 1,
			sizeof(*d) * (FAILED_MEMBERS_MAX - 1));
	else
		o->n_failed++;
	d = &o->failed_members[o->n_failed - 1];
	snprintf(d->id, sizeof(d->id), "%s", m->id);
	d->incarnation = m->incarnation;
	d->detected_ms = entry_now_ms(o->e);
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
