/* Links to the other entries: heartbeats and messages. */
#include "entry/peers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "entry/origin.h"
#include "entry/owner.h"
#include "entry/peers_int.h"

#define DEPARTED_KEEP_MS 60000

struct peer *peers_find(const struct peers *p, const char *id)
{
	for (int i = 0; i < p->n; i++) {
		if (!strcmp(p->list[i]->m.id, id))
			return p->list[i];
	}
	return NULL;
}

static bool send_on(struct peers *p, struct lnk *l, const struct msg *m)
{
	size_t len;
	void *data = msg_pack(p, m, &len);
	bool sent = lnk_send(l, data, len);

	atomic_fetch_add(&p->e->stats.peer_messages, 1);
	atomic_fetch_add(&p->e->stats.peer_bytes, (int64_t)len);
	talloc_free(data);
	return sent;
}

static void fill_heartbeat(struct peers *p, struct msg *m, enum msg_kind kind)
{
	m->kind = kind;
	m->from = p->e->settings.id;
	m->incarnation = p->e->incarnation;
	m->revision = config_watch_revision(p->e->sync);
	m->status = permit_is_settled(&p->e->permit, entry_now_ms(p->e));
}

static void send_ping(struct peer *peer)
{
	struct peers *p = peer->peers;
	struct msg m = { 0 };

	fill_heartbeat(p, &m, MSG_PING);
	m.sent_us = clk_mono_us(p->e->clk);
	send_on(p, peer->link, &m);
}

static void on_ping(struct peers *p, struct lnk *l, const struct msg *ping)
{
	json_t *loads = owner_loads(p->e->owner);
	char *text = json_dumps(loads, JSON_COMPACT);
	struct msg m = { 0 };

	fill_heartbeat(p, &m, MSG_PONG);
	m.sent_us = ping->sent_us;
	m.text = text;
	send_on(p, l, &m);
	free(text);
	json_decref(loads);
	permit_note_revision(&p->e->permit, ping->from, ping->incarnation,
			     ping->revision, ping->status != 0,
			     entry_now_ms(p->e));
	config_watch_hint(p->e->sync, ping->revision);
}

static void take_loads(struct peers *p, const char *text)
{
	json_t *loads = json_loads(text, 0, NULL);
	const char *key;
	json_t *pair;

	json_object_foreach(loads, key, pair)
	{
		struct load *l = g_hash_table_lookup(p->loads, key);

		if (!l) {
			l = g_new0(struct load, 1);
			g_hash_table_insert(p->loads, g_strdup(key), l);
		}
		l->milli = json_integer_value(json_array_get(pair, 0));
		l->slots = json_integer_value(json_array_get(pair, 1));
		l->added = 0;
	}
	json_decref(loads);
}

static void on_pong(struct peer *peer, const struct msg *m)
{
	struct entry *e = peer->peers->e;

	peer->heard_ms = entry_now_ms(e);
	permit_note_answer(&e->permit, m->from, m->incarnation,
			   m->sent_us / 1000, peer->heard_ms, m->revision,
			   m->status != 0);
	config_watch_hint(e->sync, m->revision);
	take_loads(peer->peers, m->text);
}

struct binding_query {
	struct peers *p;
	struct lnk *link;
	const struct msg *query;
};

static void send_report(const char *key, const char *target,
			int64_t remaining_ms, void *priv)
{
	struct binding_query *c = priv;
	struct msg m = { .kind = MSG_BINDING_REPORT,
			 .id = c->query->id,
			 .group = c->query->group,
			 .target = target,
			 .remaining_ms = remaining_ms,
			 .key = key,
			 .from = c->p->e->settings.id };

	send_on(c->p, c->link, &m);
}

static void on_binding_query(struct peers *p, struct lnk *l,
			     const struct msg *query)
{
	struct binding_query c = { p, l, query };

	origin_list_bindings(p->e->origin, query->group, query->from,
			     send_report, &c);
	owner_list_bindings(p->e->owner, query->group, send_report, &c);
	send_report("", "", 0, &c);
}

static uint64_t link_number(struct peers *p, struct lnk *l)
{
	uint64_t *n = g_hash_table_lookup(p->numbers, l);

	return n ? *n : 0;
}

/* Over links that others opened: what they ask of us. */
static void on_in_frame(struct lnk *l, const uint8_t *data, size_t len,
			void *priv)
{
	struct peers *p = priv;
	struct msg *m = msg_unpack(p, data, len);

	if (!m) {
		lnk_close(l);
		return;
	}
	switch (m->kind) {
	case MSG_PING:
		on_ping(p, l, m);
		break;
	case MSG_REQUEST:
		owner_handle_request(p->e->owner, link_number(p, l), m);
		break;
	case MSG_BINDING_QUERY:
		on_binding_query(p, l, m);
		break;
	case MSG_BINDING:
		origin_store_copy(p->e->origin, m);
		break;
	case MSG_ANSWER:
		/* The owner's own link: the asked one was gone. */
		origin_handle_answer(p->e->origin, m);
		break;
	default:
		lnk_close(l);
		break;
	}
	talloc_free(m);
}

static void on_in_opened(struct lnk *l, void *priv)
{
	struct peers *p = priv;
	uint64_t *n = g_new(uint64_t, 1);
	uint64_t *key = g_new(uint64_t, 1);

	*n = *key = ++p->next_link;
	g_hash_table_insert(p->numbers, l, n);
	g_hash_table_insert(p->inbound, key, l);
}

static void on_in_closed(struct lnk *l, void *priv)
{
	struct peers *p = priv;
	uint64_t n = link_number(p, l);

	g_hash_table_remove(p->inbound, &n);
	g_hash_table_remove(p->numbers, l);
}

static const struct lnk_ops in_ops = { on_in_opened, on_in_frame,
				       on_in_closed };

/* Over links that we opened: answers. */
static void on_out_frame(struct lnk *l, const uint8_t *data, size_t len,
			 void *priv)
{
	struct peer *peer = priv;
	struct entry *e = peer->peers->e;
	struct msg *m = msg_unpack(peer->peers, data, len);

	if (!m) {
		lnk_close(l);
		return;
	}
	switch (m->kind) {
	case MSG_PONG:
		on_pong(peer, m);
		break;
	case MSG_BINDING:
		origin_handle_binding(e->origin, m);
		break;
	case MSG_ANSWER:
		origin_handle_answer(e->origin, m);
		break;
	case MSG_BINDING_REPORT:
		owner_handle_report(e->owner, m->from, m);
		break;
	default:
		lnk_close(l);
		break;
	}
	talloc_free(m);
}

static void on_out_opened(struct lnk *l, void *priv)
{
	struct peer *peer = priv;

	(void)l;
	peer->open = true;
	send_ping(peer);
}

static void on_out_closed(struct lnk *l, void *priv)
{
	struct peer *peer = priv;
	bool was_open = peer->open;

	(void)l;
	peer->link = NULL;
	peer->open = false;
	if (was_open)
		origin_handle_link_loss(peer->peers->e->origin, peer->m.id);
}

static const struct lnk_ops out_ops = { on_out_opened, on_out_frame,
					on_out_closed };

static void open_link(struct peer *peer)
{
	struct peers *p = peer->peers;

	peer->tried_ms = entry_now_ms(p->e);
	peer->link = lnk_connect(p, p->e->ev, p->e->settings.ip, peer->m.ip,
				 peer->m.peer_port, &out_ops, peer);
}

static void drive_link(struct peer *peer, int64_t now_ms)
{
	struct peers *p = peer->peers;

	if (!peer->link) {
		if (!peer->departed_ms)
			open_link(peer);
		return;
	}
	if (now_ms - peer->heard_ms > p->e->settings.silence_ms &&
	    now_ms - peer->tried_ms > p->e->settings.silence_ms) {
		log_event(LOG_LINK_TIMEOUT, "member=%s", peer->m.id);
		lnk_close(peer->link);
		return;
	}
	if (peer->open)
		send_ping(peer);
}

static void drop_departed(struct peers *p, int64_t now_ms)
{
	int kept = 0;

	for (int i = 0; i < p->n; i++) {
		struct peer *peer = p->list[i];
		bool old = peer->departed_ms &&
			   now_ms - peer->departed_ms > DEPARTED_KEEP_MS;

		if (peer->departed_ms && (!peer->link || old)) {
			if (peer->link)
				lnk_close(peer->link);
			else {
				talloc_free(peer);
				continue;
			}
		}
		p->list[kept++] = peer;
	}
	p->n = kept;
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct peers *p = priv;
	int64_t now_ms = entry_now_ms(p->e);

	(void)te;
	(void)now;
	for (int i = 0; i < p->n; i++)
		drive_link(p->list[i], now_ms);
	drop_departed(p, now_ms);
	peers_drive_membership(p, now_ms);
	tevent_add_timer(ev, p,
			 tevent_timeval_current_ofs(
				 p->e->settings.heartbeat_ms / 1000,
				 p->e->settings.heartbeat_ms % 1000 * 1000),
			 on_tick, p);
}

struct peers *peers_start(struct entry *e, struct err *err)
{
	struct peers *p = talloc_zero(e->ev, struct peers);

	p->e = e;
	p->inbound = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	p->numbers = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					   g_free);
	p->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->srv = lnk_listen(p, e->ev, e->settings.ip,
			    (uint16_t)e->settings.peer_port, &in_ops, p, err);
	if (!p->srv)
		return NULL;
	tevent_add_timer(e->ev, p, tevent_timeval_current(), on_tick, p);
	return p;
}

static void add_peer(struct peers *p, const struct view_member *m)
{
	struct peer *peer;

	if (p->n == PEERS_MAX)
		return;
	peer = talloc_zero(p, struct peer);
	peer->peers = p;
	peer->m = *m;
	peer->heard_ms = entry_now_ms(p->e);
	p->list[p->n++] = peer;
	open_link(peer);
}

static void follow_member(struct peers *p, const struct view_member *m)
{
	struct peer *peer = peers_find(p, m->id);

	if (!peer) {
		add_peer(p, m);
		return;
	}
	peer->departed_ms = 0;
	if (peer->m.incarnation == m->incarnation)
		return;
	peer->m = *m;
	peer->heard_ms = entry_now_ms(p->e);
	if (peer->link)
		lnk_close(peer->link);
}

void peers_view_changed(struct peers *p)
{
	const struct view *v = p->e->view;

	for (int i = 0; i < v->n_members; i++) {
		/* Not to itself, even if listed as it was before. */
		if (strcmp(v->members[i].id, p->e->settings.id) != 0)
			follow_member(p, &v->members[i]);
	}
	for (int i = 0; i < p->n; i++) {
		struct peer *peer = p->list[i];

		if (view_find_member(v, peer->m.id) < 0 && !peer->departed_ms)
			peer->departed_ms = entry_now_ms(p->e);
		/* Tell the new revision at once. */
		if (peer->open)
			send_ping(peer);
	}
}

bool peers_send(struct peers *p, const char *member, const struct msg *m)
{
	struct peer *peer = peers_find(p, member);

	return peer && peer->open && send_on(p, peer->link, m);
}

bool peers_reply(struct peers *p, uint64_t link, const struct msg *m)
{
	struct lnk *l = g_hash_table_lookup(p->inbound, &link);

	return l && send_on(p, l, m);
}

const char *peers_name(const struct peers *p, int i)
{
	return i < p->n ? p->list[i]->m.id : NULL;
}

int64_t peers_load_milli(const struct peers *p, const char *group)
{
	const struct load *l = g_hash_table_lookup(p->loads, group);

	if (!l || !l->slots)
		return -1;
	return l->milli + l->added * 1000 / l->slots;
}

void peers_add_load(struct peers *p, const char *group, int64_t slots)
{
	struct load *l = g_hash_table_lookup(p->loads, group);

	if (l)
		l->added += slots;
}
