/* Serves one shard: journal batches, syncs with workers, replies to calls. */
#include "sched/shard_server.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "daemon/memory_limit.h"
#include "state/journal.h"

#define TICK_MS 10
#define SHARD_TICK_MS 100
#define STATUS_NOT_OWNER 421
#define STATUS_UNAVAILABLE 503
/* Part of the memory limit for tasks, of all shards together. */
#define TASKS_SHARE 4
/* A sync times out after the worker lease divided by this. */
#define SYNCS_PER_LEASE 3

/* A reply to be sent once its batch is committed. */
struct pending_reply {
	uint64_t link;
	uint64_t id;
	int64_t status;
	char *text;
};

/* Periodic sync with one worker; one request at a time. */
struct worker_sync {
	struct shard_server *srv;
	int worker;
	bool in_progress;
	int64_t next_sync_ms;
};

struct shard_server {
	struct sched_daemon *d;
	void *ctx;
	int number;
	int64_t epoch;
	int64_t owner_row; /* revision of the row that gives ownership */
	char owner_key[64];
	struct shard *shard;
	struct journal *journal;
	bool serving; /* recovered and not closed */
	bool draining;
	bool closed;
	int64_t owner_confirmed_ms; /* last read that showed ownership */
	int64_t last_tick_ms;
	int64_t batch_start_us; /* when the current batch was taken */
	GPtrArray *worker_syncs;
	int n_syncs_active;
	GPtrArray *pending_replies; /* sent after the next batch */
	GPtrArray *batch_replies; /* sent after the current batch */
	json_t *snapshot_state; /* state as of the current batch; may be NULL */
	int64_t next_commit_ms;
};

static void place_and_commit(struct shard_server *srv);

static struct shard_time current_time(const struct shard_server *srv)
{
	return (struct shard_time){ clk_mono_ms(srv->d->clk),
				    clk_wall_ms(srv->d->clk) };
}

static void free_reply(gpointer p)
{
	struct pending_reply *r = p;

	free(r->text);
	free(r);
}

static void on_snapshot_loaded(const json_t *state, void *priv)
{
	struct shard_server *srv = priv;

	shard_load_snapshot(srv->shard, state);
}

static void on_batch_read(const json_t *entries, int64_t wall_ms, void *priv)
{
	struct shard_server *srv = priv;

	shard_replay(srv->shard, entries, wall_ms);
}

static void on_recovered(bool good, void *priv)
{
	struct shard_server *srv = priv;

	if (!good) {
		log_event(LOG_SHARD_FAILED, "shard=%d", srv->number);
		return;
	}
	if (srv->closed)
		return;
	srv->serving = true;
	shard_finish_recovery(srv->shard, current_time(srv));
	shard_server_view_changed(srv);
	log_event(LOG_SHARD_GAINED, "shard=%d epoch=%" PRId64, srv->number,
		  srv->epoch);
}

static const struct journal_ops journal_ops = { on_snapshot_loaded,
						on_batch_read, on_recovered };

static bool may_start_tasks(const struct shard_server *srv)
{
	const struct settings *s = &srv->d->settings;

	/*
	 * A start may reach its worker up to start_age_max_ms late, so the
	 * configuration that it is based on may be as old.
	 */
	return !srv->draining && srv->d->config_read_ms >= 0 &&
	       sched_now_ms(srv->d) - srv->d->config_read_ms <
		       s->start_age_max_ms;
}

/* Worker leases are renewed only while ownership is confirmed. */
static bool may_renew_leases(const struct shard_server *srv)
{
	return sched_now_ms(srv->d) - srv->owner_confirmed_ms <
	       srv->d->settings.renew_max_ms;
}

static void send_replies(struct shard_server *srv)
{
	for (guint i = 0; i < srv->batch_replies->len; i++) {
		struct pending_reply *r = srv->batch_replies->pdata[i];

		sched_reply(srv->d, r->link, r->id, r->status, r->text);
	}
	g_ptr_array_set_size(srv->batch_replies, 0);
}

static void on_snapshot_saved(enum journal_result res, void *priv)
{
	struct shard_server *srv = priv;

	if (res == JOURNAL_OK)
		log_event(LOG_SNAPSHOT_WRITTEN, "shard=%d", srv->number);
}

static void save_snapshot(struct shard_server *srv)
{
	if (!srv->snapshot_state)
		return;
	if (journal_is_saving(srv->journal))
		json_decref(srv->snapshot_state);
	else
		journal_save_snapshot(srv->journal, srv->snapshot_state,
				      on_snapshot_saved, srv);
	srv->snapshot_state = NULL;
}

static void discard_snapshot(struct shard_server *srv)
{
	json_decref(srv->snapshot_state);
	srv->snapshot_state = NULL;
}

/* The replies deferred so far depend on the batch that is being taken. */
static void assign_replies_to_batch(struct shard_server *srv)
{
	GPtrArray *t = srv->pending_replies;

	srv->pending_replies = srv->batch_replies;
	srv->batch_replies = t;
}

/* The batch was not written: its replies wait for the next one. */
static void move_replies_to_next_batch(struct shard_server *srv)
{
	for (guint i = 0; i < srv->pending_replies->len; i++)
		g_ptr_array_add(srv->batch_replies,
				srv->pending_replies->pdata[i]);
	g_ptr_array_set_free_func(srv->pending_replies, NULL);
	g_ptr_array_set_size(srv->pending_replies, 0);
	g_ptr_array_set_free_func(srv->pending_replies, free_reply);
	assign_replies_to_batch(srv);
}

static void on_committed(enum journal_result res, void *priv)
{
	struct shard_server *srv = priv;

	switch (res) {
	case JOURNAL_OK:
		hist_record(&srv->d->stats.commit_us,
			    clk_mono_us(srv->d->clk) - srv->batch_start_us);
		shard_batch_committed(srv->shard);
		save_snapshot(srv);
		send_replies(srv);
		break;
	case JOURNAL_CONFIG_CHANGED:
		discard_snapshot(srv);
		shard_batch_rejected(srv->shard);
		move_replies_to_next_batch(srv);
		/* Read the newer configuration at once. */
		config_watch_hint(srv->d->config, INT64_MAX);
		break;
	case JOURNAL_NOT_OWNER:
	case JOURNAL_NOT_WRITTEN:
		discard_snapshot(srv);
		log_event(LOG_SHARD_LOST, "shard=%d epoch=%" PRId64,
			  srv->number, srv->epoch);
		srv->serving = false;
		srv->closed = true;
		break;
	}
	if (srv->serving)
		place_and_commit(srv);
}

static void commit_batch(struct shard_server *srv)
{
	bool starts = false;
	json_t *entries = shard_take_batch(srv->shard, &starts);
	int64_t config_row = -1;

	if (!entries)
		return;
	if (starts)
		config_row = config_watch_revision_row(srv->d->config);
	if (journal_length(srv->journal) >= srv->d->settings.snapshot_batches &&
	    !journal_is_saving(srv->journal))
		srv->snapshot_state = shard_make_snapshot(srv->shard);
	assign_replies_to_batch(srv);
	hist_record(&srv->d->stats.batch_entries,
		    (int64_t)json_array_size(entries));
	srv->batch_start_us = clk_mono_us(srv->d->clk);
	journal_commit(srv->journal, entries, clk_wall_ms(srv->d->clk),
		       config_row, on_committed, srv);
}

/* Returns whether the next batch could overwrite a row of the journal, a ring,
 * that no saved snapshot covers yet. */
static bool journal_full(const struct shard_server *srv)
{
	return journal_length(srv->journal) >= JOURNAL_ROWS - 1;
}

/* Places queued tasks, then commits the entries made so far as one batch. */
static void place_and_commit(struct shard_server *srv)
{
	int64_t now_ms = sched_now_ms(srv->d);

	if (journal_is_writing(srv->journal) || journal_full(srv) ||
	    now_ms < srv->next_commit_ms)
		return;
	if (may_start_tasks(srv) &&
	    config_watch_revision_row(srv->d->config) >= 0)
		shard_place_tasks(srv->shard, current_time(srv));
	if (!shard_has_entries(srv->shard))
		return;
	/* Limit the rate of batches: each one writes a row. */
	srv->next_commit_ms = now_ms + srv->d->settings.commit_ms;
	commit_batch(srv);
}

bool shard_server_failed(const struct shard_server *srv)
{
	return srv->closed;
}

void shard_server_close(struct shard_server *srv)
{
	if (srv->serving)
		log_event(LOG_SHARD_LOST, "shard=%d epoch=%" PRId64,
			  srv->number, srv->epoch);
	srv->serving = false;
	srv->closed = true;
}

static void on_sync_reply(const struct htc_response *ans, void *priv)
{
	struct worker_sync *ws = priv;
	struct shard_server *srv = ws->srv;
	json_t *j;

	ws->in_progress = false;
	srv->n_syncs_active--;
	if (srv->closed || !srv->serving)
		return;
	if (ans->result != HTC_COMPLETE) {
		srv->d->stats.sync_failures++;
		return;
	}
	srv->d->stats.sync_bytes += (int64_t)ans->body_len;
	j = json_loadb(ans->body, ans->body_len, 0, NULL);
	if (ans->status == 200 && j)
		shard_sync_reply(srv->shard, ws->worker, j, current_time(srv));
	else if (ans->status == 409 && j &&
		 shard_is_superseded(
			 srv->shard,
			 json_integer_value(json_object_get(j, "epoch"))))
		shard_server_close(srv);
	json_decref(j);
	if (srv->serving)
		place_and_commit(srv);
}

static void sync_worker(struct shard_server *srv, struct worker_sync *ws)
{
	const struct settings *s = &srv->d->settings;
	json_t *body =
		shard_sync_request(srv->shard, ws->worker, may_start_tasks(srv),
				   may_renew_leases(srv));
	char *text = json_dumps(body, JSON_COMPACT);
	char url[128];
	char ip[VIEW_IP_MAX];
	uint16_t port;
	struct htc_request req = { .method = "POST",
				   .url = url,
				   .body = text,
				   .body_len = strlen(text),
				   .timeout_ms = s->worker_lease_ms /
						 SYNCS_PER_LEASE };

	shard_worker_addr(srv->shard, ws->worker, ip, sizeof(ip), &port);
	snprintf(url, sizeof(url), "http://%s:%u/sync", ip, port);
	ws->in_progress = true;
	srv->n_syncs_active++;
	srv->d->stats.syncs++;
	srv->d->stats.sync_bytes += (int64_t)req.body_len;
	htc_send(srv->d->worker_http, &req, on_sync_reply, ws);
	free(text);
	json_decref(body);
}

static void sync_workers(struct shard_server *srv, int64_t now_ms)
{
	int n = shard_worker_count(srv->shard);

	while ((int)srv->worker_syncs->len < n) {
		struct worker_sync *ws = calloc(1, sizeof(*ws));

		ws->srv = srv;
		ws->worker = (int)srv->worker_syncs->len;
		g_ptr_array_add(srv->worker_syncs, ws);
	}
	for (int i = 0; i < n; i++) {
		struct worker_sync *ws = srv->worker_syncs->pdata[i];
		char ip[VIEW_IP_MAX];
		uint16_t port;

		shard_worker_addr(srv->shard, i, ip, sizeof(ip), &port);
		if (ws->in_progress || !port)
			continue;
		if (now_ms < ws->next_sync_ms &&
		    !shard_worker_has_commands(srv->shard, i))
			continue;
		ws->next_sync_ms = now_ms + srv->d->settings.worker_sync_ms;
		sync_worker(srv, ws);
	}
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct shard_server *srv = priv;
	int64_t now_ms = sched_now_ms(srv->d);

	(void)te;
	(void)now;
	if (srv->closed)
		return;
	if (srv->serving && now_ms - srv->last_tick_ms >= SHARD_TICK_MS) {
		srv->last_tick_ms = now_ms;
		shard_tick(srv->shard, current_time(srv));
		if (!shard_totals_consistent(srv->shard))
			log_event(LOG_LEDGER_UNBALANCED, "shard=%d",
				  srv->number);
	}
	if (srv->serving) {
		sync_workers(srv, now_ms);
		place_and_commit(srv);
	}
	tevent_add_timer(ev, srv->ctx,
			 tevent_timeval_current_ofs(0, TICK_MS * 1000), on_tick,
			 srv);
}

struct shard_server *shard_server_open(struct sched_daemon *d, int shard,
				       int64_t epoch, int64_t owner_row,
				       bool clean)
{
	const struct settings *s = &d->settings;
	struct shard_server *srv = calloc(1, sizeof(*srv));
	struct shard_options opt = {
		.number = shard,
		.epoch = epoch,
		.shards = s->shards,
		.worker_lease_ms = s->worker_lease_ms,
		.renew_max_ms = clean ? 0 : s->renew_max_ms,
		.start_age_max_ms = s->start_age_max_ms,
		.claim_retention_ms = s->claim_retention_s * 1000,
		.memory_bytes =
			memory_limit_bytes(s) / (TASKS_SHARE * s->shards),
		.policy = &place_best_fit,
	};

	srv->d = d;
	srv->ctx = talloc_new(d->ev);
	srv->number = shard;
	srv->epoch = epoch;
	srv->owner_row = owner_row;
	srv->owner_confirmed_ms = sched_now_ms(d);
	snprintf(srv->owner_key, sizeof(srv->owner_key), "sched/own/%d", shard);
	srv->worker_syncs = g_ptr_array_new_with_free_func(free);
	srv->pending_replies = g_ptr_array_new_with_free_func(free_reply);
	srv->batch_replies = g_ptr_array_new_with_free_func(free_reply);
	srv->shard = shard_new(&opt);
	srv->journal =
		journal_open(srv->ctx, d->ev, d->sto, shard, srv->owner_key,
			     owner_row, &journal_ops, srv);
	on_tick(d->ev, NULL, tevent_timeval_zero(), srv);
	return srv;
}

void shard_server_confirm_owned(struct shard_server *srv, int64_t sent_ms)
{
	if (sent_ms > srv->owner_confirmed_ms)
		srv->owner_confirmed_ms = sent_ms;
}

static void defer_reply(struct shard_server *srv, uint64_t link, uint64_t id,
			int64_t status, char *text)
{
	struct pending_reply *r = calloc(1, sizeof(*r));

	r->link = link;
	r->id = id;
	r->status = status;
	r->text = text;
	g_ptr_array_add(srv->pending_replies, r);
}

void shard_server_call(struct shard_server *srv, uint64_t link,
		       const struct msg *m)
{
	json_t *reply;
	bool after_commit = false;
	int64_t status;
	char *text;

	if (!srv->serving || srv->draining || journal_full(srv)) {
		sched_reply(srv->d, link, m->id, STATUS_NOT_OWNER, "{}");
		return;
	}
	srv->d->stats.calls++;
	status = shard_call(srv->shard, m->verb, m->text, current_time(srv),
			    &reply, &after_commit);
	text = json_dumps(reply, JSON_COMPACT);
	json_decref(reply);
	/* The reply may depend on entries that are not yet durable. */
	if (after_commit && (shard_has_entries(srv->shard) ||
			     journal_is_writing(srv->journal))) {
		defer_reply(srv, link, m->id, status, text);
		place_and_commit(srv);
		return;
	}
	sched_reply(srv->d, link, m->id, status, text);
	free(text);
}

void shard_server_view_changed(struct shard_server *srv)
{
	if (srv->serving && srv->d->view)
		shard_set_view(srv->shard, srv->d->view, current_time(srv));
}

bool shard_server_drain(struct shard_server *srv)
{
	srv->draining = true;
	return !srv->serving || (!journal_is_writing(srv->journal) &&
				 !shard_has_entries(srv->shard));
}

bool shard_server_idle(const struct shard_server *srv)
{
	return srv->n_syncs_active == 0 && journal_is_idle(srv->journal);
}

void shard_server_free(struct shard_server *srv)
{
	talloc_free(srv->ctx);
	shard_free(srv->shard);
	json_decref(srv->snapshot_state);
	g_ptr_array_free(srv->worker_syncs, TRUE);
	g_ptr_array_free(srv->pending_replies, TRUE);
	g_ptr_array_free(srv->batch_replies, TRUE);
	free(srv);
}

int64_t shard_server_owner_row(const struct shard_server *srv)
{
	return srv->owner_row;
}

int64_t shard_server_epoch(const struct shard_server *srv)
{
	return srv->epoch;
}

const struct shard *shard_server_shard(const struct shard_server *srv)
{
	return srv->serving ? srv->shard : NULL;
}
