/* Scheduler client: connections to the schedulers, and calls with retries. */
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
#define STATUS_NOT_OWNER 421
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMED_OUT 504

/* A scheduler daemon listed in the table service. */
struct scheduler {
	struct schedc *s;
	char id[VIEW_ID_MAX];
	char ip[VIEW_IP_MAX];
	uint16_t port;
	int64_t incarnation;
	struct lnk *link;
	bool open;
	int64_t last_frame_ms;
	int64_t last_ping_ms;
	bool listed;
};

/* A call that has not been answered. */
struct call {
	uint64_t id;
	int shard;
	char verb[24];
	char key[ENTRY_ID_MAX];
	char *text;
	int64_t deadline_ms;
	struct scheduler *assigned_to; /* where it was sent; NULL: to be sent */
	bool was_sent; /* at least once, so it may have had an effect */
	schedc_reply_cb reply_cb;
	void *priv;
};

struct schedc {
	struct entry *e;
	GHashTable *schedulers; /* id to scheduler */
	GHashTable *calls; /* id to call */
	char owners[SHARDS_MAX][VIEW_ID_MAX]; /* scheduler id by shard */
	uint64_t next_id;
	int64_t scan_sent_ms;
	bool scanning;
};

static void finish_call(struct call *c, struct schedc *s, int64_t status,
			const char *text)
{
	g_hash_table_steal(s->calls, &c->id);
	c->reply_cb(status, text, c->priv);
	free(c->text);
	free(c);
}

static void send_call(struct schedc *s, struct call *c)
{
	struct scheduler *sd =
		g_hash_table_lookup(s->schedulers, s->owners[c->shard]);
	struct msg m = { .kind = MSG_CALL,
			 .id = c->id,
			 .verb = c->verb,
			 .key = c->key,
			 .text = c->text };
	size_t len;
	void *data;

	if (!sd || !sd->open)
		return;
	data = msg_pack(s, &m, &len);
	if (lnk_send(sd->link, data, len)) {
		c->assigned_to = sd;
		c->was_sent = true;
	}
	talloc_free(data);
}

static void on_reply(struct schedc *s, const struct msg *m)
{
	struct call *c = g_hash_table_lookup(s->calls, &m->id);

	if (!c)
		return;
	if (m->status != STATUS_NOT_OWNER) {
		finish_call(c, s, m->status, m->text);
		return;
	}
	c->assigned_to = NULL;
	s->scan_sent_ms = 0; /* the owner has changed: scan the rows now */
}

static void on_frame(struct lnk *l, const uint8_t *data, size_t len, void *priv)
{
	struct scheduler *sd = priv;
	struct msg *m = msg_unpack(sd->s, data, len);

	if (!m || (m->kind != MSG_REPLY && m->kind != MSG_PONG)) {
		talloc_free(m);
		lnk_close(l);
		return;
	}
	sd->last_frame_ms = entry_now_ms(sd->s->e);
	if (m->kind == MSG_REPLY)
		on_reply(sd->s, m);
	talloc_free(m);
}

static void send_ping(struct scheduler *sd)
{
	struct msg m = { .kind = MSG_PING, .from = sd->s->e->settings.id };
	size_t len;
	void *data = msg_pack(sd->s, &m, &len);

	sd->last_ping_ms = entry_now_ms(sd->s->e);
	lnk_send(sd->link, data, len);
	talloc_free(data);
}

static void on_opened(struct lnk *l, void *priv)
{
	struct scheduler *sd = priv;

	(void)l;
	sd->open = true;
	sd->last_frame_ms = entry_now_ms(sd->s->e);
	/* The first message has to be short, and calls may not be. */
	send_ping(sd);
}

static void on_closed(struct lnk *l, void *priv)
{
	struct scheduler *sd = priv;
	GHashTableIter it;
	gpointer value;

	(void)l;
	sd->link = NULL;
	sd->open = false;
	g_hash_table_iter_init(&it, sd->s->calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct call *c = value;

		if (c->assigned_to == sd)
			c->assigned_to = NULL;
	}
}

static const struct lnk_ops ops = { on_opened, on_frame, on_closed };

static void maintain_link(struct scheduler *sd, int64_t now_ms)
{
	if (!sd->link) {
		if (!sd->listed)
			return;
		sd->last_frame_ms = now_ms;
		sd->link =
			lnk_connect(sd->s, sd->s->e->ev, sd->s->e->settings.ip,
				    sd->ip, sd->port, &ops, sd);
		return;
	}
	if (now_ms - sd->last_frame_ms > SILENCE_MS) {
		lnk_close(sd->link);
		return;
	}
	if (sd->open && now_ms - sd->last_ping_ms >= PING_MS)
		send_ping(sd);
}

static struct scheduler *get_scheduler(struct schedc *s, const char *id)
{
	struct scheduler *sd = g_hash_table_lookup(s->schedulers, id);

	if (sd)
		return sd;
	sd = g_new0(struct scheduler, 1);
	sd->s = s;
	snprintf(sd->id, sizeof(sd->id), "%s", id);
	g_hash_table_insert(s->schedulers, sd->id, sd);
	return sd;
}

static void observe_live_row(struct schedc *s, const char *id, const json_t *v)
{
	struct scheduler *sd = get_scheduler(s, id);
	int64_t incarnation =
		json_integer_value(json_object_get(v, "incarnation"));
	const char *ip = json_string_value(json_object_get(v, "ip"));

	sd->listed = true;
	snprintf(sd->ip, sizeof(sd->ip), "%s", ip ? ip : "");
	sd->port = (uint16_t)json_integer_value(json_object_get(v, "port"));
	if (sd->incarnation != incarnation && sd->link)
		lnk_close(sd->link);
	sd->incarnation = incarnation;
}

static void observe_owner_row(struct schedc *s, const char *shard,
			      const json_t *v)
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

	s->scanning = false;
	if (res != STO_OK)
		return;
	json_array_foreach(json_object_get(body, "rows"), i, row)
	{
		const char *key = json_string_value(json_object_get(row, "k"));
		const json_t *v = json_object_get(row, "v");

		if (!strncmp(key, "sched/live/", 11))
			observe_live_row(s, key + 11, v);
		else if (!strncmp(key, "sched/own/", 10))
			observe_owner_row(s, key + 10, v);
	}
}

static void expire_call(struct schedc *s, struct call *c)
{
	if (c->was_sent)
		finish_call(c, s, STATUS_TIMED_OUT, "{}");
	else
		finish_call(c, s, STATUS_UNAVAILABLE, "{}");
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct schedc *s = priv;
	int64_t now_ms = entry_now_ms(s->e);
	GList *pending_calls = g_hash_table_get_values(s->calls);
	GHashTableIter it;
	gpointer value;

	(void)te;
	(void)now;
	for (GList *node = pending_calls; node; node = node->next) {
		struct call *c = node->data;

		if (now_ms >= c->deadline_ms)
			expire_call(s, c);
		else if (!c->assigned_to)
			send_call(s, c);
	}
	g_list_free(pending_calls);
	g_hash_table_iter_init(&it, s->schedulers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		maintain_link(value, now_ms);
	if (!s->scanning &&
	    now_ms - s->scan_sent_ms >= s->e->settings.poll_ms) {
		s->scanning = true;
		s->scan_sent_ms = now_ms;
		sto_scan(s->e->sto, "sched/", on_rows, s);
	}
	tevent_add_timer(ev, s, tevent_timeval_current_ofs(0, TICK_MS * 1000),
			 on_tick, s);
}

struct schedc *schedc_start(struct entry *e)
{
	struct schedc *s = talloc_zero(e->ev, struct schedc);

	s->e = e;
	s->schedulers = g_hash_table_new(g_str_hash, g_str_equal);
	s->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	tevent_add_timer(e->ev, s, tevent_timeval_current(), on_tick, s);
	return s;
}

static void start_call(struct schedc *s, int shard, const char *verb,
		       const char *key, const char *text, int64_t deadline_ms,
		       schedc_reply_cb reply_cb, void *priv)
{
	struct call *c = calloc(1, sizeof(*c));

	c->id = ++s->next_id;
	c->shard = shard;
	c->text = strdup(text);
	c->deadline_ms = deadline_ms;
	c->reply_cb = reply_cb;
	c->priv = priv;
	snprintf(c->verb, sizeof(c->verb), "%s", verb);
	snprintf(c->key, sizeof(c->key), "%s", key);
	g_hash_table_insert(s->calls, &c->id, c);
	send_call(s, c);
}

void schedc_call(struct schedc *s, const char *verb, const char *key,
		 const char *text, int64_t deadline_ms,
		 schedc_reply_cb reply_cb, void *priv)
{
	int shard = view_shard_of(key, (int)s->e->settings.shards);

	start_call(s, shard, verb, key, text, deadline_ms, reply_cb, priv);
}

void schedc_call_shard(struct schedc *s, int shard, const char *verb,
		       const char *text, int64_t deadline_ms,
		       schedc_reply_cb reply_cb, void *priv)
{
	char key[16];

	snprintf(key, sizeof(key), "#%d", shard);
	start_call(s, shard, verb, key, text, deadline_ms, reply_cb, priv);
}
