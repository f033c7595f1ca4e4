/*
 * Membership of the entries: joins, leaves and expels failed members by
 * committing changes of member rows to the table service.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "entry/peers_int.h"
#include "state/config_change.h"

/* Members expel a failed one in turn, by index, to avoid conflicts: each waits
 * this much longer than the one before. */
#define RANK_DELAY_MS 300

static void on_change_done(enum config_change_result res, int64_t revision,
			   void *priv)
{
	struct peers *p = priv;

	p->change_pending = false;
	if (res == CONFIG_CHANGE_DONE && p->join_pending)
		p->join_revision = revision;
	p->join_pending = false;
	if (res == CONFIG_CHANGE_DONE)
		config_watch_hint(p->e->config, revision);
}

/* Commits a change of the member row of `id`; NULL removes the row. */
static void commit_change(struct peers *p, const char *action, const char *id,
			  uint64_t incarnation, json_t *value,
			  int64_t expected_revision)
{
	struct config_change c = { .value = value,
				   .expect = expected_revision
						     ? CONFIG_CHANGE_AT_REVISION
						     : CONFIG_CHANGE_ANY,
				   .expected = expected_revision };

	snprintf(c.operation, sizeof(c.operation), "%s-%s-%" PRIu64, action, id,
		 incarnation);
	snprintf(c.key, sizeof(c.key), "cfg/member/%s", id);
	p->change_pending = true;
	config_change_commit(p, p->e->ev, p->e->sto, &c, on_change_done, p);
}

static json_t *make_member_row(const struct entry *e, bool ready, bool leaving)
{
	const struct settings *s = &e->settings;

	return json_pack(
		"{s:s,s:s,s:I,s:s,s:s,s:I,s:b,s:b}", "id", s->id, "ip", s->ip,
		"peer_port", (json_int_t)settings_advertised_port(s), "domain",
		s->domain, "region", s->region, "incarnation",
		(json_int_t)e->incarnation, "ready", ready, "leaving", leaving);
}

static void join_membership(struct peers *p)
{
	/* The row of the last join has not been read back yet. */
	if (config_watch_revision(p->e->config) < p->join_revision)
		return;
	/* With a new incarnation, no peer confirms for the previous one. */
	p->e->incarnation++;
	p->join_pending = true;
	commit_change(p, "join", p->e->settings.id, p->e->incarnation,
		      make_member_row(p->e, false, false), 0);
}

static int64_t member_row_revision(const struct entry *e, const char *id)
{
	char key[CONFIG_CHANGE_KEY_MAX];

	snprintf(key, sizeof(key), "cfg/member/%s", id);
	return json_integer_value(json_object_get(
		json_object_get(config_watch_rows(e->config), key), "rev"));
}

/*
 * A member becomes ready to own groups only once it is settled, so that groups
 * move to it without a wait.
 */
static void commit_ready(struct peers *p, bool ready)
{
	commit_change(p, ready ? "ready" : "drain", p->e->settings.id,
		      p->e->incarnation, make_member_row(p->e, ready, !ready),
		      member_row_revision(p->e, p->e->settings.id));
}

static void expel_member(struct peers *p, struct peer *peer)
{
	log_event(LOG_MEMBER_REMOVED, "member=%s", peer->m.id);
	commit_change(p, "expel", peer->m.id, peer->m.incarnation, NULL,
		      member_row_revision(p->e, peer->m.id));
}

/* Returns whether both the peer's heartbeats and its liveness row have been
 * silent for too long. */
static bool has_failed(struct peers *p, struct peer *peer, int rank,
		       int64_t now_ms)
{
	int64_t limit_ms =
		p->e->settings.expel_ms + (int64_t)rank * RANK_DELAY_MS;

	return !peer->removed_ms && now_ms - peer->last_reply_ms > limit_ms &&
	       peer->live_unchanged_since_ms &&
	       now_ms - peer->live_unchanged_since_ms > limit_ms;
}

static void on_live_rows_read(enum sto_result res, const json_t *body,
			      void *priv)
{
	struct peers *p = priv;
	int64_t now_ms = entry_now_ms(p->e);
	json_t *row;
	size_t i;

	/* Time without reads from the store does not count as silence. */
	for (int k = 0; res != STO_OK && k < p->n_peers; k++)
		p->list[k]->live_unchanged_since_ms = 0;
	json_array_foreach(json_object_get(body, "rows"), i, row)
	{
		const char *key = json_string_value(json_object_get(row, "k"));
		struct peer *peer = peers_find_peer(p, key + strlen("live/"));
		int64_t count = json_integer_value(json_object_get(row, "r"));

		if (!peer || (peer->live_unchanged_since_ms &&
			      peer->live_counter == count))
			continue;
		peer->live_counter = count;
		peer->live_unchanged_since_ms = now_ms;
	}
	for (int k = 0; res == STO_OK && k < p->n_peers && !p->change_pending;
	     k++) {
		if (has_failed(p, p->list[k], p->e->self_index, now_ms))
			expel_member(p, p->list[k]);
	}
}

static void ignore_result(enum sto_result res, const json_t *body, void *priv)
{
	(void)res;
	(void)body;
	(void)priv;
}

/* Returns whether a listed peer is silent. Resets live_unchanged_since_ms of
 * the others. */
static bool find_silent_peers(const struct peers *p, int64_t now_ms)
{
	bool any = false;

	for (int i = 0; i < p->n_peers; i++) {
		struct peer *peer = p->list[i];
		bool silent = !peer->removed_ms &&
			      now_ms - peer->last_reply_ms >
				      3 * p->e->settings.heartbeat_ms;

		any |= silent;
		if (!silent)
			peer->live_unchanged_since_ms = 0;
	}
	return any;
}

/* Updates the liveness row of this entry, a counter in the store. */
static void write_live_row(struct peers *p, int64_t now_ms)
{
	struct sto_tx tx;
	char key[64];

	if (now_ms - p->live_write_ms < p->e->settings.expel_ms / 3)
		return;
	p->live_write_ms = now_ms;
	snprintf(key, sizeof(key), "live/%s", p->e->settings.id);
	sto_tx_init(&tx);
	sto_tx_put(&tx, key, json_pack("{s:I}", "n", ++p->live_counter));
	sto_commit(p->e->sto, &tx, ignore_result, NULL);
}

static bool is_listed_ready(const struct entry *e)
{
	return e->self_index >= 0 && e->view->members[e->self_index].ready;
}

void peers_update_membership(struct peers *p, int64_t now_ms)
{
	struct entry *e = p->e;

	if (config_watch_revision(e->config) < 0 || p->leave_sent)
		return;
	write_live_row(p, now_ms);
	if (p->leaving) {
		if (e->joined && !p->change_pending && is_listed_ready(e))
			commit_ready(p, false);
		return;
	}
	if (!e->joined && !p->change_pending)
		join_membership(p);
	if (e->joined && !p->change_pending && !is_listed_ready(e) &&
	    permit_is_settled(&e->permit, now_ms))
		commit_ready(p, true);
	if (e->joined && find_silent_peers(p, now_ms))
		sto_scan(e->sto, "live/", on_live_rows_read, p);
}

void peers_drain(struct peers *p)
{
	p->leaving = true;
}

bool peers_drained(const struct peers *p)
{
	return !p->e->joined || !is_listed_ready(p->e);
}

bool peers_leave(struct peers *p)
{
	const struct settings *s = &p->e->settings;

	if (!p->e->joined)
		return true;
	if (!p->change_pending) {
		p->leave_sent = true;
		commit_change(p, "leave", s->id, p->e->incarnation, NULL,
			      member_row_revision(p->e, s->id));
	}
	return false;
}
