/* Links to the other entries: connections, heartbeats and messages. */
#include "entry/peers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "daemon/link_limits.h"
#include "entry/origin.h"
#include "entry/owner.h"
#include "entry/peers_int.h"

/* A removed member keeps its link this long, to answer open requests. */
#define REMOVED_PEER_KEEP_MS 60000

struct peer *peers_find_peer(const struct peers *p, const char *id)
{
	for (int i = 0; i < p->n_peers; i++) {
		if (!strcmp(p->list[i]->m.id, id))
			return p->list[i];
	}
	return NULL;
}

static bool send_msg(struct peers *p, struct lnk *l, const struct msg *m)
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
	m->revision = config_watch_revision(p->e->config);
	m->status = permit_is_settled(&p->e->permit, entry_now_ms(p->e));
}

static void send_ping(struct peer *peer)
{
	struct peers *p = peer->peers;
	struct msg m = { 0 };

	fill_heartbeat(p, &m, MSG_PING);
	m.sent_us = clk_mono_us(p->e->clk);
	send_msg(p, peer->link, &m);
}

static void on_ping(struct peers *p, struct lnk *l, const struct msg *ping)
{
	json_t *loads = owner_loads(p->e->owner);
	char *text = json_dumps(loads, JSON_COMPACT);
	struct msg m = { 0 };

	fill_heartbeat(p, &m, MSG_PONG);
	m.sent_us = ping->sent_us;
	m.text = text;
	send_msg(p, l, &m);
	free(text);
	json_decref(loads);
	permit_note_revision(&p->e->permit, ping->from, ping->incarnation,
			     ping->revision, ping->status != 0,
			     entry_now_ms(p->e));
	config_watch_hint(p->e->config, ping->revision);
}

static void store_loads(struct peers *p, const char *text)
{
	json_t *loads = json_loads(text, 0, NULL);
	const char *key;
	json_t *pair;

	json_object_foreach(loads, key, pair)
	{
		struct group_load *l = g_hash_table_lookup(p->loads, key);

		if (!l) {
			l = g_new0(struct group_load, 1);
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

	peer->last_reply_ms = entry_now_ms(e);
	permit_note_answer(&e->permit, m->from, m->incarnation,
			   m->sent_us / 1000, peer->last_reply_ms, m->revision,
			   m->status != 0);
	config_watch_hint(e->config, m->revision);
	store_loads(peer->peers, m->text);
}

/* A query for bindings that is being answered. */
struct binding_query {
	struct peers *p;
	struct lnk *link;
	const struct msg *query;
};

static void send_report(const char *key, const char *target,
			int64_t remaining_ms, void *priv)
{
	struct binding_query *bq = priv;
	struct msg m = { .kind = MSG_BINDING_REPORT,
			 .id = bq->query->id,
			 .group = bq->query->group,
			 .target = target,
			 .remaining_ms = remaining_ms,
			 .key = key,
			 .from = bq->p->e->settings.id };

	send_msg(bq->p, bq->link, &m);
}

static void on_binding_query(struct peers *p, struct lnk *l,
			     const struct msg *query)
{
	struct binding_query bq = { p, l, query };

	origin_list_bindings(p->e->origin, query->group, query->from,
			     send_report, &bq);
	owner_list_bindings(p->e->owner, query->group, send_report, &bq);
	send_report("", "", 0, &bq);
}

static uint64_t link_id_of(struct peers *p, struct lnk *l)
{
	uint64_t *n = g_hash_table_lookup(p->link_ids, l);

	return n ? *n : 0;
}

/* Handles requests received over inbound links. */
static void on_inbound_frame(struct lnk *l, const uint8_t *data, size_t len,
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
		owner_handle_request(p->e->owner, link_id_of(p, l), m);
		break;
	case MSG_BINDING_QUERY:
		on_binding_query(p, l, m);
		break;
	case MSG_BINDING:
		origin_store_copy(p->e->origin, m);
		break;
	case MSG_ANSWER:
		/*
		 * The owner answers over its own link if the link of the
		 * request was closed.
		 */
		origin_handle_answer(p->e->origin, m);
		break;
	default:
		lnk_close(l);
		break;
	}
	talloc_free(m);
}

static void on_inbound_opened(struct lnk *l, void *priv)
{
	struct peers *p = priv;
	uint64_t *n = g_new(uint64_t, 1);
	uint64_t *key = g_new(uint64_t, 1);

	*n = *key = ++p->next_link_id;
	g_hash_table_insert(p->link_ids, l, n);
	g_hash_table_insert(p->inbound, key, l);
}

static void on_inbound_closed(struct lnk *l, void *priv)
{
	struct peers *p = priv;
	uint64_t n = link_id_of(p, l);

	g_hash_table_remove(p->inbound, &n);
	g_hash_table_remove(p->link_ids, l);
}

static const struct lnk_ops inbound_ops = { on_inbound_opened, on_inbound_frame,
					    on_inbound_closed };

/* Handles answers received over outbound links. */
static void on_outbound_frame(struct lnk *l, const uint8_t *data, size_t len,
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

static void on_outbound_opened(struct lnk *l, void *priv)
{
	struct peer *peer = priv;

	(void)l;
	peer->open = true;
	send_ping(peer);
}

static void on_outbound_closed(struct lnk *l, void *priv)
{
	struct peer *peer = priv;
	bool was_open = peer->open;

	(void)l;
	peer->link = NULL;
	peer->open = false;
	if (was_open)
		origin_handle_link_loss(peer->peers->e->origin, peer->m.id);
}

static const struct lnk_ops outbound_ops = { on_outbound_opened,
					     on_outbound_frame,
					     on_outbound_closed };

static void open_link(struct peer *peer)
{
	struct peers *p = peer->peers;

	peer->connect_ms = entry_now_ms(p->e);
	peer->link = lnk_connect(p, p->e->ev, p->e->settings.ip, peer->m.ip,
				 peer->m.peer_port, &outbound_ops, peer);
}

static void maintain_link(struct peer *peer, int64_t now_ms)
{
	struct peers *p = peer->peers;

	if (!peer->link) {
		if (!peer->removed_ms)
			open_link(peer);
		return;
	}
	if (now_ms - peer->last_reply_ms > p->e->settings.silence_ms &&
	    now_ms - peer->connect_ms > p->e->settings.silence_ms) {
		log_event(LOG_LINK_TIMEOUT, "member=%s", peer->m.id);
		lnk_close(peer->link);
		return;
	}
	if (peer->open)
		send_ping(peer);
}

static void free_removed_peers(struct peers *p, int64_t now_ms)
{
	int kept = 0;

	for (int i = 0; i < p->n_peers; i++) {
		struct peer *peer = p->list[i];
		bool old = peer->removed_ms &&
			   now_ms - peer->removed_ms > REMOVED_PEER_KEEP_MS;

		if (peer->removed_ms && (!peer->link || old)) {
			if (peer->link)
				lnk_close(peer->link);
			else {
				talloc_free(peer);
				continue;
			}
		}
		p->list[kept++] = peer;
	}
	p->n_peers = kept;
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct peers *p = priv;
	int64_t now_ms = entry_now_ms(p->e);

	(void)te;
	(void)now;
	for (int i = 0; i < p->n_peers; i++)
		maintain_link(p->list[i], now_ms);
	free_removed_peers(p, now_ms);
	peers_update_membership(p, now_ms);
	atomic_store(&p->e->stats.links_refused, lnk_srv_refused(p->listener));
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
	p->link_ids = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					    g_free);
	p->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->listener = lnk_listen(p, e->ev, e->settings.ip,
				 (uint16_t)e->settings.peer_port, &inbound_ops,
				 p, err);
	if (!p->listener)
		return NULL;
	link_limits_set(p->listener, &e->settings);
	tevent_add_timer(e->ev, p, tevent_timeval_current(), on_tick, p);
	return p;
}

static void add_peer(struct peers *p, const struct view_member *m)
{
	struct peer *peer;

	if (p->n_peers == PEERS_MAX)
		return;
	peer = talloc_zero(p, struct peer);
	peer->peers = p;
	peer->m = *m;
	peer->last_reply_ms = entry_now_ms(p->e);
	p->list[p->n_peers++] = peer;
	open_link(peer);
}

static void update_peer(struct peers *p, const struct view_member *m)
{
	struct peer *peer = peers_find_peer(p, m->id);

	if (!peer) {
		add_peer(p, m);
		return;
	}
	peer->removed_ms = 0;
	if (peer->m.incarnation == m->incarnation)
		return;
	peer->m = *m;
	peer->last_reply_ms = entry_now_ms(p->e);
	if (peer->link)
		lnk_close(peer->link);
}

void peers_view_changed(struct peers *p)
{
	const struct view *v = p->e->view;

	for (int i = 0; i < v->n_members; i++) {
		/* No link to itself, even if listed with an old incarnation. */
		if (strcmp(v->members[i].id, p->e->settings.id) != 0)
			update_peer(p, &v->members[i]);
	}
	for (int i = 0; i < p->n_peers; i++) {
		struct peer *peer = p->list[i];

		if (view_find_member(v, peer->m.id) < 0 && !peer->removed_ms)
			peer->removed_ms = entry_now_ms(p->e);
		/* Announces the new revision at once. */
		if (peer->open)
			send_ping(peer);
	}
}

bool peers_send(struct peers *p, const char *member, const struct msg *m)
{
	struct peer *peer = peers_find_peer(p, member);

	return peer && peer->open && send_msg(p, peer->link, m);
}

bool peers_reply(struct peers *p, uint64_t link, const struct msg *m)
{
	struct lnk *l = g_hash_table_lookup(p->inbound, &link);

	return l && send_msg(p, l, m);
}

const char *peers_member_id(const struct peers *p, int i)
{
	return i < p->n_peers ? p->list[i]->m.id : NULL;
}

int64_t peers_load_milli(const struct peers *p, const char *group)
{
	const struct group_load *l = g_hash_table_lookup(p->loads, group);

	if (!l || !l->slots)
		return -1;
	return l->milli + l->added * 1000 / l->slots;
}

void peers_add_load(struct peers *p, const char *group, int64_t slots)
{
	struct group_load *l = g_hash_table_lookup(p->loads, group);

	if (l)
		l->added += slots;
}
