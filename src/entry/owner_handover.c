/* Groups that change hands: who may still run what, and when to open. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "entry/origin.h"
#include "entry/owner_int.h"
#include "entry/peers.h"

#define ASK_AGAIN_MS 100
#define ROUND_MAX_MS 1000
#define FAR_FUTURE_MS INT64_MAX

static void set_inherited(struct group *g)
{
	GHashTableIter it;
	gpointer value;

	slot_clear_inherited(&g->slots);
	g_hash_table_iter_init(&it, g->told);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct told *t = value;

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
static int64_t last_death_ms(const struct owner *o, const char *but)
{
	int64_t last_ms = 0;

	for (int i = 0; i < o->n_deaths; i++) {
		const struct death *d = &o->deaths[i];

		if (strcmp(d->id, but) != 0 && d->learnt_ms > last_ms)
			last_ms = d->learnt_ms;
	}
	return last_ms;
}

static bool former_lost(const struct group *g)
{
	const struct owner *o = g->o;

	for (int i = 0; i < o->n_deaths; i++) {
		if (!strcmp(o->deaths[i].id, g->former) &&
		    o->deaths[i].incarnation == g->former_incarnation)
			return true;
	}
	return *g->former && strcmp(g->former, o->e->set.id) != 0 &&
	       !g->former_answered;
}

/*
 * Each binding is known to two VMs: its owner, and its origin or a
 * witness. Only if the former owner and another are lost can one be known
 * to nobody; then the group stays closed for as long as that may run.
 */
static int64_t unknown_until_ms(const struct group *g, int64_t now_ms)
{
	int64_t longest_ms = longest_timeout_ms(g->o->e);
	int64_t died_ms = last_death_ms(g->o, g->former);
	int silent = g->asked - g->answered -
		     (g->former_asked && !g->former_answered);

	if (!former_lost(g))
		return 0;
	if (silent > 0)
		return now_ms + longest_ms;
	return died_ms ? died_ms + longest_ms : 0;
}

static void end_round(struct group *g, int64_t now_ms)
{
	bool missing = g->answered < g->asked;

	if (g->state == GROUP_ASKING) {
		g->slots.hold_all_until_ms = unknown_until_ms(g, now_ms);
		g->state = GROUP_OPEN;
		log_event(LOG_GROUP_GAINED,
			  "group=%s held=%u missing=%d closed_ms=%" PRId64,
			  g->key, g_hash_table_size(g->told),
			  g->asked - g->answered,
			  g->slots.hold_all_until_ms > now_ms
				  ? g->slots.hold_all_until_ms - now_ms
				  : 0);
	} else if (missing) {
		/* Told before and not now: those holds stay to their end. */
		g->round = 0;
		return;
	}
	g->round = 0;
	set_inherited(g);
	owner_pump(g);
}

static void note_told(struct group *g, const char *key, const char *target,
		      int64_t remaining_ms)
{
	struct told *t = g_hash_table_lookup(g->told, key);

	if (!t) {
		t = g_new0(struct told, 1);
		g_hash_table_insert(g->told, g_strdup(key), t);
	}
	if (*target || !*t->target)
		snprintf(t->target, sizeof(t->target), "%s", target);
	t->until_ms = entry_now_ms(g->o->e) + remaining_ms;
}

static void on_own_held(const char *key, const char *target,
			int64_t remaining_ms, void *priv)
{
	note_told(priv, key, target, remaining_ms);
}

static void begin_round(struct group *g, int64_t now_ms)
{
	struct owner *o = g->o;
	struct msg m = { .kind = MSG_HELD_ASK,
			 .group = g->key,
			 .from = o->e->set.id };
	const char *name;

	g_hash_table_remove_all(g->told);
	g->round = ++o->next_round;
	g->round_ms = now_ms;
	g->asked = 0;
	g->answered = 0;
	g->unreached = 0;
	g->former_asked = false;
	g->former_answered = false;
	m.id = g->round;
	for (int i = 0; (name = peers_name(o->e->peers, i)); i++) {
		g->asked++;
		g->former_asked |= !strcmp(name, g->former);
		if (!peers_send(o->e->peers, name, &m))
			g->unreached++;
	}
	origin_tell_held(o->e->origin, g->key, o->e->set.id, on_own_held, g);
	if (g->unreached == g->asked)
		end_round(g, now_ms);
}

void owner_held(struct owner *o, const char *from, const struct msg *m)
{
	struct group *g = g_hash_table_lookup(o->groups, m->group);

	if (!g || !g->round || g->round != m->id)
		return;
	if (*m->key) {
		note_told(g, m->key, m->target, m->remaining_ms);
		return;
	}
	g->answered++;
	if (!strcmp(from, g->former))
		g->former_answered = true;
	if (g->answered + g->unreached == g->asked)
		end_round(g, entry_now_ms(o->e));
}

void owner_drive_group(struct group *g, int64_t now_ms)
{
	if (g->state == GROUP_SETTLING &&
	    permit_is_settled(&g->o->e->permit, now_ms)) {
		g->state = GROUP_ASKING;
		begin_round(g, now_ms);
		return;
	}
	if (g->round && now_ms - g->round_ms > ROUND_MAX_MS)
		end_round(g, now_ms);
	else if (g->state == GROUP_OPEN && !g->round &&
		 slot_count_inherited(&g->slots) &&
		 now_ms - g->round_ms > ASK_AGAIN_MS)
		begin_round(g, now_ms);
	owner_pump(g);
}

static struct group *add_group(struct owner *o, const char *key)
{
	struct group *g = calloc(1, sizeof(*g));

	g->o = o;
	g->state = GROUP_LOST;
	snprintf(g->key, sizeof(g->key), "%s", key);
	slot_init(&g->slots, o->e->set.queue_max);
	CDS_INIT_LIST_HEAD(&g->running);
	g->told =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(o->groups, g->key, g);
	return g;
}

/* Id and incarnation of the owner under an earlier view. */
static const struct view_member *owner_under(const struct view *v,
					     const struct view_group *g)
{
	int i = -1;

	if (v)
		i = view_choose_owner(v->members, v->n_members, g->key,
				      g->domain, g->region);
	return i < 0 ? NULL : &v->members[i];
}

static void gain(struct owner *o, const struct view_group *vg,
		 const struct view *before)
{
	struct group *g = g_hash_table_lookup(o->groups, vg->key);
	const struct view_member *was = owner_under(before, vg);
	bool ours = was && !strcmp(was->id, o->e->set.id) &&
		    was->incarnation == o->e->incarnation;

	if (!g)
		g = add_group(o, vg->key);
	if (g->state != GROUP_LOST)
		return;
	snprintf(g->former, sizeof(g->former), "%s", was ? was->id : "");
	g->former_incarnation = was ? was->incarnation : 0;
	if (ours) {
		/* Nobody else could have owned it: nothing to wait for. */
		g->state = GROUP_OPEN;
		return;
	}
	g->state = GROUP_SETTLING;
	g->slots.hold_all_until_ms = FAR_FUTURE_MS;
}

static void lose(struct group *g)
{
	struct slot_req *s;

	if (g->state == GROUP_LOST)
		return;
	log_event(LOG_GROUP_LOST, "group=%s running=%" PRId64, g->key,
		  g->slots.busy);
	g->state = GROUP_LOST;
	g->round = 0;
	while ((s = slot_dequeue_any(&g->slots)))
		owner_refuse((struct job *)s, "group moved", true);
}

static void follow_group(struct owner *o, const struct view_group *vg,
			 const struct view *before)
{
	struct group *g;
	struct slot_req *s;

	if (vg->owner != o->e->self)
		return;
	gain(o, vg, before);
	g = g_hash_table_lookup(o->groups, vg->key);
	slot_set_targets(&g->slots, vg);
	g->slots.closed = vg->domain_out;
	while (vg->domain_out && (s = slot_dequeue_any(&g->slots)))
		owner_refuse((struct job *)s, "domain out", true);
}

static bool still_member(const struct view *v, const struct view_member *m)
{
	int i = view_find_member(v, m->id);

	return i >= 0 && v->members[i].incarnation == m->incarnation;
}

static void note_death(struct owner *o, const struct view_member *m)
{
	struct death *d;

	if (o->n_deaths == DEATHS_MAX)
		memmove(o->deaths, o->deaths + 1,
			sizeof(*d) * (DEATHS_MAX - 1));
	else
		o->n_deaths++;
	d = &o->deaths[o->n_deaths - 1];
	snprintf(d->id, sizeof(d->id), "%s", m->id);
	d->incarnation = m->incarnation;
	d->learnt_ms = entry_now_ms(o->e);
}

void owner_view_changed(struct owner *o, const struct view *before)
{
	const struct view *v = o->e->view;
	GHashTableIter it;
	gpointer value;

	for (int i = 0; before && i < before->n_members; i++) {
		const struct view_member *m = &before->members[i];

		if (!m->leaving && !still_member(v, m))
			note_death(o, m);
	}
	g_hash_table_iter_init(&it, o->groups);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct group *g = value;
		const struct view_group *vg = view_find_group(v, g->key);

		if (!vg || vg->owner != o->e->self || o->e->self < 0)
			lose(g);
	}
	for (int i = 0; o->e->self >= 0 && i < v->n_groups; i++)
		follow_group(o, &v->groups[i], before);
}

void owner_free_group(gpointer p)
{
	struct group *g = p;

	g_hash_table_destroy(g->told);
	free(g);
}
