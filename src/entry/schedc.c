/* Calls to the scheduler daemons, each routed to its shard's owner. */
#include "entry/schedc.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/lnk.h"

#define SHARDS_MAX 256
#define TICK_MS 50
#define PING_MS 250
#define SILENCE_MS 1500
#define NOT_OWNER 421
#define UNAVAILABLE 503
#define TIMED_OUT 504

struct daemon {
	struct schedc *s;
	char id[VIEW_ID_MAX];
	char ip[VIEW_IP_MAX];
	uint16_t port;
	int64_t incarnation;
	struct lnk *link;
	bool open;
	int64_t heard_ms;
	int64_t pinged_ms;
	bool listed;
};

struct call {
	uint64_t id;
	int shard;
	char verb[24];
	char key[ENTRY_ID_MAX];
	char *text;
	int64_t deadline_ms;
	struct daemon *at; /* where it is now; NULL: waits */
	bool maybe_done; /* was sent once */
	schedc_done done;
	void *priv;
};

struct schedc {
	struct entry *e;
	GHashTable *daemons; /* id to daemon */
	GHashTable *calls; /* id to call */
	char owners[SHARDS_MAX][VIEW_ID_MAX];
	uint64_t next_id;
	int64_t read_ms;
	bool reading;
};

static void finish(struct call *c, struct schedc *s, int64_t status,
		   const char *text)
{
	g_hash_table_steal(s->calls, &c->id);
	c->done(status, text, c->priv);
	free(c->text);
	free(c);
}

static void send_call(struct schedc *s, struct call *c)
{
	struct daemon *d = g_hash_table_lookup(s->daemons, s->owners[c->shard]);
	struct msg m = { .kind = MSG_CALL,
			 .id = c->id,
			 .verb = c->verb,
			 .key = c->key,
			 .text = c->text };
	size_t len;
	void *data;

	if (!d || !d->open)
		return;
	data = msg_pack(s, &m, &len);
	if (lnk_send(d->link, data, len)) {
		c->at = d;
		c->maybe_done = true;
	}
	talloc_free(data);
}

static void on_reply(struct schedc *s, const struct msg *m)
{
	struct call *c = g_hash_table_lookup(s->calls, &m->id);

	if (!c)
		return;
	if (m->status != NOT_OWNER) {
		finish(c, s, m->status, m->text);
		return;
	}
	c->at = NULL;
	s->read_ms = 0; /* the owners moved: look at once */
}

static void on_frame(struct lnk *l, const uint8_t *data, size_t len, void *priv)
{
	struct daemon *d = priv;
	struct msg *m = msg_unpack(d->s, data, len);

	if (!m || (m->kind != MSG_REPLY && m->kind != MSG_PONG)) {
		talloc_free(m);
		lnk_close(l);
		return;
	}
	d->heard_ms = entry_now_ms(d->s->e);
	if (m->kind == MSG_REPLY)
		on_reply(d->s, m);
	talloc_free(m);
}

static void on_opened(struct lnk *l, void *priv)
{
	struct daemon *d = priv;

	(void)l;
	d->open = true;
	d->heard_ms = entry_now_ms(d->s->e);
}

static void on_closed(struct lnk *l, void *priv)
{
	struct daemon *d = priv;
	GHashTableIter it;
	gpointer value;

	(void)l;
	d->link = NULL;
	d->open = false;
	g_hash_table_iter_init(&it, d->s->calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct call *c = value;

		if (c->at == d)
			c->at = NULL;
	}
}

static const struct lnk_ops ops = { on_opened, on_frame, on_closed };

static void drive_daemon(struct daemon *d, int64_t now_ms)
{
	struct msg m = { .kind = MSG_PING, .from = d->s->e->settings.id };
	size_t len;
	void *data;

	if (!d->link) {
		if (!d->listed)
			return;
		d->heard_ms = now_ms;
		d->link = lnk_connect(d->s, d->s->e->ev, d->s->e->settings.ip,
				      d->ip, d->port, &ops, d);
		return;
	}
	if (now_ms - d->heard_ms > SILENCE_MS) {
		lnk_close(d->link);
		return;
	}
	if (!d->open || now_ms - d->pinged_ms < PING_MS)
		return;
	d->pinged_ms = now_ms;
	data = msg_pack(d->s, &m, &len);
	lnk_send(d->link, data, len);
	talloc_free(data);
}

static struct daemon *get_daemon(struct schedc *s, const char *id)
{
	struct daemon *d = g_hash_table_lookup(s->daemons, id);

	if (d)
		return d;
	d = g_new0(struct daemon, 1);
	d->s = s;
	snprintf(d->id, sizeof(d->id), "%s", id);
	g_hash_table_insert(s->daemons, d->id, d);
	return d;
}

static void take_live(struct schedc *s, const char *id, const json_t *v)
{
	struct daemon *d = get_daemon(s, id);
	int64_t inc = json_integer_value(json_object_get(v, "incarnation"));
	const char *ip = json_string_value(json_object_get(v, "ip"));

	d->listed = true;
	snprintf(d->ip, sizeof(d->ip), "%s", ip ? ip : "");
	d->port = (uint16_t)json_integer_value(json_object_get(v, "port"));
	if (d->incarnation != inc && d->link)
		lnk_close(d->link);
	d->incarnation = inc;
}

static void take_owner(struct schedc *s, const char *shard, const json_t *v)
{
	int n = atoi(shard);
	const char *id = json_string_value(json_object_get(v, "owner"));

	if (n >= 0 && n < SHARDS_MAX)
		snprintf(s->owners[n], VIEW_ID_MAX, "%s", id ? id : "");
}

static void on_rows(enum sto_result res, const json_t *body, void *priv)
{
	struct schedc *s = priv;
	json_t *row;
	size_t i;

	s->reading = false;
	if (res != STO_OK)
		return;
	json_array_foreach(json_object_get(body, "rows"), i, row)
	{
		const char *key = json_string_value(json_object_get(row, "k"));
		const json_t *v = json_object_get(row, "v");

		if (!strncmp(key, "sched/live/", 11))
			take_live(s, key + 11, v);
		else if (!strncmp(key, "sched/own/", 10))
			take_owner(s, key + 10, v);
	}
}

static void expire_call(struct schedc *s, struct call *c)
{
	if (c->maybe_done)
		finish(c, s, TIMED_OUT, "{}");
	else
		finish(c, s, UNAVAILABLE, "{}");
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct schedc *s = priv;
	int64_t now_ms = entry_now_ms(s->e);
	GList *all = g_hash_table_get_values(s->calls);
	GHashTableIter it;
	gpointer value;

	(void)te;
	(void)now;
	for (GList *at = all; at; at = at->next) {
		struct call *c = at->data;

		if (now_ms >= c->deadline_ms)
			expire_call(s, c);
		else if (!c->at)
			send_call(s, c);
	}
	g_list_free(all);
	g_hash_table_iter_init(&it, s->daemons);
	while (g_hash_table_iter_next(&it, NULL, &value))
		drive_daemon(value, now_ms);
	if (!s->reading && now_ms - s->read_ms >= s->e->settings.poll_ms) {
		s->reading = true;
		s->read_ms = now_ms;
		sto_scan(s->e->sto, "sched/", on_rows, s);
	}
	tevent_add_timer(ev, s, tevent_timeval_current_ofs(0, TICK_MS * 1000),
			 on_tick, s);
}

struct schedc *schedc_start(struct entry *e)
{
	struct schedc *s = talloc_zero(e->ev, struct schedc);

	s->e = e;
	s->daemons = g_hash_table_new(g_str_hash, g_str_equal);
	s->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	tevent_add_timer(e->ev, s, tevent_timeval_current(), on_tick, s);
	return s;
}

static void start_call(struct schedc *s, int shard, const char *verb,
		       const char *key, const char *text, int64_t deadline_ms,
		       schedc_done done, void *priv)
{
	struct call *c = calloc(1, sizeof(*c));

	c->id = ++s->next_id;
	c->shard = shard;
	c->text = strdup(text);
	c->deadline_ms = deadline_ms;
	c->done = done;
	c->priv = priv;
	snprintf(c->verb, sizeof(c->verb), "%s", verb);
	snprintf(c->key, sizeof(c->key), "%s", key);
	g_hash_table_insert(s->calls, &c->id, c);
	send_call(s, c);
}

void schedc_call(struct schedc *s, const char *verb, const char *key,
		 const char *text, int64_t deadline_ms, schedc_done done,
		 void *priv)
{
	int shard = view_shard_of(key, (int)s->e->settings.shards);

	start_call(s, shard, verb, key, text, deadline_ms, done, priv);
}

void schedc_call_shard(struct schedc *s, int shard, const char *verb,
		       const char *text, int64_t deadline_ms, schedc_done done,
		       void *priv)
{
	char key[16];

	snprintf(key, sizeof(key), "#%d", shard);
	start_call(s, shard, verb, key, text, deadline_ms, done, priv);
}
