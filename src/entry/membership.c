/* Membership of the entries: joining, leaving, removing the dead. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "entry/peers_int.h"
#include "state/config_change.h"

#define RANK_DELAY_MS 300

static void on_changed(enum config_change_result res, int64_t revision,
		       void *priv)
{
	struct peers *p = priv;

	p->changing = false;
	if (res == CONFIG_CHANGE_DONE && p->joining)
		p->join_revision = revision;
	p->joining = false;
	if (res == CONFIG_CHANGE_DONE)
		config_watch_hint(p->e->sync, revision);
}

static void send_change(struct peers *p, const char *what, const char *id,
			uint64_t incarnation, json_t *value, int64_t at)
{
	struct config_change c = { .value = value,
				   .expect = at ? CONFIG_CHANGE_AT_REVISION
						: CONFIG_CHANGE_ANY,
				   .expected = at };

	snprintf(c.operation, sizeof(c.operation), "%s-%s-%" PRIu64, what, id,
		 incarnation);
	snprintf(c.key, sizeof(c.key), "cfg/member/%s", id);
	p->changing = true;
	config_change_commit(p, p->e->ev, p->e->sto, &c, on_changed, p);
}

static json_t *own_row(const struct entry *e, bool ready, bool leaving)
{
	const struct settings *s = &e->settings;

	return json_pack(
		"{s:s,s:s,s:I,s:s,s:s,s:I,s:b,s:b}", "id", s->id, "ip", s->ip,
		"peer_port", (json_int_t)settings_advertised_port(s), "domain",
		s->domain, "region", s->region, "incarnation",
		(json_int_t)e->incarnation, "ready", ready, "leaving", leaving);
}

static void join(struct peers *p)
{
	/* What the last join did has not reached us yet. */
	if (config_watch_revision(p->e->sync) < p->join_revision)
		return;
	/* A new incarnation, so that nobody vouches for the former one. */
	p->e->incarnation++;
	p->joining = true;
	send_change(p, "join", p->e->settings.id, p->e->incarnation,
		    own_row(p->e, false, false), 0);
}

static int64_t row_revision(const struct entry *e, const char *id)
{
	char key[CONFIG_CHANGE_KEY_MAX];

	snprintf(key, sizeof(key), "cfg/member/%s", id);
	return json_integer_value(json_object_get(
		json_object_get(config_watch_rows(e->sync), key), "rev"));
}

/* Owning groups begins once settled, so that they move without a wait. */
static void set_ready(struct peers *p, bool ready)
{
	send_change(p, ready ? "ready" : "drain", p->e->settings.id,
		    p->e->incarnation, own_row(p->e, ready, !ready),
		    row_revision(p->e, p->e->settings.id));
}

static void expel(struct peers *p, struct peer *peer)
{
	log_event(LOG_MEMBER_REMOVED, "member=%s", peer->m.id);
	send_change(p, "expel", peer->m.id, peer->m.incarnation, NULL,
		    row_revision(p->e, peer->m.id));
}

/* Has neither the member nor its row in the store stirred for long? */
static bool is_dead(struct peers *p, struct peer *peer, int rank,
		    int64_t now_ms)
{
	int64_t limit_ms =
		p->e->settings.expel_ms + (int64_t)rank * RANK_DELAY_MS;

	return !peer->departed_ms && now_ms - peer->heard_ms > limit_ms &&
	       peer->live_since_ms && now_ms - peer->live_since_ms > limit_ms;
}

static void on_live_rows(enum sto_result res, const json_t *body, void *priv)
{
	struct peers *p = priv;
	int64_t now_ms = entry_now_ms(p->e);
	json_t *row;
	size_t i;

	/* What was not seen while the store was away proves nothing. */
	for (int k = 0; res != STO_OK && k < p->n; k++)
		p->list[k]->live_since_ms = 0;
	json_array_foreach(json_object_get(body, "rows"), i, row)
	{
		const char *key = json_string_value(json_object_get(row, "k"));
		struct peer *peer = peers_find(p, key + strlen("live/"));
		int64_t count = json_integer_value(json_object_get(row, "r"));

		if (!peer || (peer->live_since_ms && peer->live_count == count))
			continue;
		peer->live_count = count;
		peer->live_since_ms = now_ms;
	}
	for (int k = 0; res == STO_OK && k < p->n && !p->changing; k++) {
		if (is_dead(p, p->list[k], p->e->self_index, now_ms))
			expel(p, p->list[k]);
	}
}

static void on_ignored(enum sto_result res, const json_t *body, void *priv)
{
	(void)res;
	(void)body;
	(void)priv;
}

static bool any_suspect(const struct peers *p, int64_t now_ms)
{
	bool any = false;

	for (int i = 0; i < p->n; i++) {
		struct peer *peer = p->list[i];
		bool silent = !peer->departed_ms &&
			      now_ms - peer->heard_ms >
				      3 * p->e->settings.heartbeat_ms;

		any |= silent;
		if (!silent)
			peer->live_since_ms = 0;
	}
	return any;
}

static void write_live(struct peers *p, int64_t now_ms)
{
	struct sto_tx tx;
	char key[64];

	if (now_ms - p->live_written_ms < p->e->settings.expel_ms / 3)
		return;
	p->live_written_ms = now_ms;
	snprintf(key, sizeof(key), "live/%s", p->e->settings.id);
	sto_tx_init(&tx);
	sto_tx_put(&tx, key, json_pack("{s:I}", "n", ++p->live_count));
	sto_commit(p->e->sto, &tx, on_ignored, NULL);
}

static bool is_ready(const struct entry *e)
{
	return e->self_index >= 0 && e->view->members[e->self_index].ready;
}

void peers_drive_membership(struct peers *p, int64_t now_ms)
{
	struct entry *e = p->e;

	if (config_watch_revision(e->sync) < 0 || p->gone)
		return;
	write_live(p, now_ms);
	if (p->leaving) {
		if (e->joined && !p->changing && is_ready(e))
			set_ready(p, false);
		return;
	}
	if (!e->joined && !p->changing)
		join(p);
	if (e->joined && !p->changing && !is_ready(e) &&
	    permit_is_settled(&e->permit, now_ms))
		set_ready(p, true);
	if (e->joined && any_suspect(p, now_ms))
		sto_scan(e->sto, "live/", on_live_rows, p);
}

void peers_drain(struct peers *p)
{
	p->leaving = true;
}

bool peers_drained(const struct peers *p)
{
	return !p->e->joined || !is_ready(p->e);
}

bool peers_leave(struct peers *p)
{
	const struct settings *s = &p->e->settings;

	if (!p->e->joined)
		return true;
	if (!p->changing) {
		p->gone = true;
		send_change(p, "leave", s->id, p->e->incarnation, NULL,
			    row_revision(p->e, s->id));
	}
	return false;
}
