/* One shard that this scheduler holds: journal, workers, callers. */
#include "sched/held.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "state/journal.h"

#define TICK_MS 10
#define SHARD_TICK_MS 100
#define NOT_OWNER 421
#define LATER 503
#define SYNC_TIMEOUT_PARTS 3

/* An answer that waits for its batch. */
struct waiting_reply {
	uint64_t link;
	uint64_t id;
	int64_t status;
	char *text;
};

/* One exchange with a worker at a time. */
struct exchange {
	struct held *h;
	int worker;
	bool busy;
	int64_t next_ms;
};

struct held {
	struct sched *d;
	void *ctx;
	int number;
	int64_t epoch;
	int64_t own_row;
	char own_key[64];
	struct shard *shard;
	struct journal *journal;
	bool active;
	bool draining;
	bool closed;
	int64_t confirmed_ms;
	int64_t ticked_ms;
	int64_t batch_us; /* when the batch under way was taken */
	GPtrArray *exchanges;
	int n_busy;
	GPtrArray *replies; /* wait for the batch after the one under way */
	GPtrArray *replies_taken;
	json_t *saved; /* state as of the batch under way */
	int64_t commit_after_ms;
};

static void drive(struct held *h);

static struct shard_time now_of(const struct held *h)
{
	return (struct shard_time){ clk_mono_ms(h->d->clk),
				    clk_wall_ms(h->d->clk) };
}

static void free_reply(gpointer p)
{
	struct waiting_reply *r = p;

	free(r->text);
	free(r);
}

static void on_snapshot(const json_t *state, void *priv)
{
	struct held *h = priv;

	shard_load_snapshot(h->shard, state);
}

static void on_batch(const json_t *entries, int64_t wall_ms, void *priv)
{
	struct held *h = priv;

	shard_replay(h->shard, entries, wall_ms);
}

static void on_recovered(bool good, void *priv)
{
	struct held *h = priv;

	if (!good) {
		log_event(LOG_SHARD_FAILED, "shard=%d", h->number);
		return;
	}
	if (h->closed)
		return;
	h->active = true;
	shard_finish_recovery(h->shard, now_of(h));
	held_view_changed(h);
	log_event(LOG_SHARD_GAINED, "shard=%d epoch=%" PRId64, h->number,
		  h->epoch);
}

static const struct journal_ops journal_ops = { on_snapshot, on_batch,
						on_recovered };

static bool may_start(const struct held *h)
{
	const struct settings *s = &h->d->set;

	/* As long as a start may be on its way, so long may we not know. */
	return !h->draining && h->d->config_read_ms >= 0 &&
	       sched_now_ms(h->d) - h->d->config_read_ms < s->start_age_max_ms;
}

static bool may_renew(const struct held *h)
{
	return sched_now_ms(h->d) - h->confirmed_ms < h->d->set.renew_max_ms;
}

static void send_replies(struct held *h)
{
	for (guint i = 0; i < h->replies_taken->len; i++) {
		struct waiting_reply *r = h->replies_taken->pdata[i];

		sched_reply(h->d, r->link, r->id, r->status, r->text);
	}
	g_ptr_array_set_size(h->replies_taken, 0);
}

static void on_saved(enum journal_result res, void *priv)
{
	struct held *h = priv;

	if (res == JOURNAL_OK)
		log_event(LOG_SNAPSHOT, "shard=%d", h->number);
}

static void keep_saved(struct held *h)
{
	if (!h->saved)
		return;
	if (journal_is_saving(h->journal))
		json_decref(h->saved);
	else
		journal_save_snapshot(h->journal, h->saved, on_saved, h);
	h->saved = NULL;
}

static void drop_saved(struct held *h)
{
	json_decref(h->saved);
	h->saved = NULL;
}

static void swap_replies(struct held *h)
{
	GPtrArray *t = h->replies;

	h->replies = h->replies_taken;
	h->replies_taken = t;
}

/* What waited for the batch now waits for the next. */
static void requeue_replies(struct held *h)
{
	for (guint i = 0; i < h->replies->len; i++)
		g_ptr_array_add(h->replies_taken, h->replies->pdata[i]);
	g_ptr_array_set_free_func(h->replies, NULL);
	g_ptr_array_set_size(h->replies, 0);
	g_ptr_array_set_free_func(h->replies, free_reply);
	swap_replies(h);
}

static void on_committed(enum journal_result res, void *priv)
{
	struct held *h = priv;

	switch (res) {
	case JOURNAL_OK:
		hist_record(&h->d->stats.commit_us,
			    clk_mono_us(h->d->clk) - h->batch_us);
		shard_batch_committed(h->shard);
		keep_saved(h);
		send_replies(h);
		break;
	case JOURNAL_CONFIG_CHANGED:
		drop_saved(h);
		shard_batch_rejected(h->shard);
		requeue_replies(h);
		/* The newer configuration is read at once. */
		config_watch_hint(h->d->sync, INT64_MAX);
		break;
	case JOURNAL_NOT_OWNER:
	case JOURNAL_NOT_WRITTEN:
		drop_saved(h);
		log_event(LOG_SHARD_LOST, "shard=%d epoch=%" PRId64, h->number,
			  h->epoch);
		h->active = false;
		h->closed = true;
		break;
	}
	if (h->active)
		drive(h);
}

static void commit(struct held *h)
{
	bool starts = false;
	json_t *entries = shard_take_batch(h->shard, &starts);
	int64_t config_row = -1;

	if (!entries)
		return;
	if (starts)
		config_row = config_watch_revision_row(h->d->sync);
	if (journal_length(h->journal) >= h->d->set.snapshot_batches &&
	    !journal_is_saving(h->journal))
		h->saved = shard_make_snapshot(h->shard);
	swap_replies(h);
	hist_record(&h->d->stats.batch_entries,
		    (int64_t)json_array_size(entries));
	h->batch_us = clk_mono_us(h->d->clk);
	journal_commit(h->journal, entries, clk_wall_ms(h->d->clk), config_row,
		       on_committed, h);
}

/* The ring must not come round before a snapshot has been saved. */
static bool ring_full(const struct held *h)
{
	return journal_length(h->journal) >= JOURNAL_ROWS - 1;
}

static void drive(struct held *h)
{
	int64_t now_ms = sched_now_ms(h->d);

	if (journal_is_writing(h->journal) || ring_full(h) ||
	    now_ms < h->commit_after_ms)
		return;
	if (may_start(h) && config_watch_revision_row(h->d->sync) >= 0)
		shard_place_tasks(h->shard, now_of(h));
	if (!shard_has_entries(h->shard))
		return;
	/* One batch every so often: each is a row written. */
	h->commit_after_ms = now_ms + h->d->set.commit_ms;
	commit(h);
}

bool held_failed(const struct held *h)
{
	return h->closed;
}

void held_close(struct held *h)
{
	if (h->active)
		log_event(LOG_SHARD_LOST, "shard=%d epoch=%" PRId64, h->number,
			  h->epoch);
	h->active = false;
	h->closed = true;
}

static void on_sync_reply(const struct htc_answer *ans, void *priv)
{
	struct exchange *x = priv;
	struct held *h = x->h;
	json_t *j;

	x->busy = false;
	h->n_busy--;
	if (h->closed || !h->active)
		return;
	if (ans->result != HTC_ANSWERED) {
		h->d->stats.sync_failures++;
		return;
	}
	h->d->stats.sync_bytes += (int64_t)ans->body_len;
	j = json_loadb(ans->body, ans->body_len, 0, NULL);
	if (ans->status == 200 && j)
		shard_sync_reply(h->shard, x->worker, j, now_of(h));
	else if (ans->status == 409 && j &&
		 shard_is_superseded(
			 h->shard,
			 json_integer_value(json_object_get(j, "epoch"))))
		held_close(h);
	json_decref(j);
	if (h->active)
		drive(h);
}

static void exchange_with(struct held *h, struct exchange *x)
{
	const struct settings *s = &h->d->set;
	json_t *body = shard_sync_request(h->shard, x->worker, may_start(h),
					  may_renew(h));
	char *text = json_dumps(body, JSON_COMPACT);
	char url[128];
	char ip[VIEW_IP_MAX];
	uint16_t port;
	struct htc_request req = { .method = "POST",
				   .url = url,
				   .body = text,
				   .body_len = strlen(text),
				   .timeout_ms = s->worker_lease_ms /
						 SYNC_TIMEOUT_PARTS };

	shard_worker_addr(h->shard, x->worker, ip, sizeof(ip), &port);
	snprintf(url, sizeof(url), "http://%s:%u/sync", ip, port);
	x->busy = true;
	h->n_busy++;
	h->d->stats.syncs++;
	h->d->stats.sync_bytes += (int64_t)req.body_len;
	htc_send(h->d->worker_http, &req, on_sync_reply, x);
	free(text);
	json_decref(body);
}

static void drive_workers(struct held *h, int64_t now_ms)
{
	int n = shard_worker_count(h->shard);

	while ((int)h->exchanges->len < n) {
		struct exchange *x = calloc(1, sizeof(*x));

		x->h = h;
		x->worker = (int)h->exchanges->len;
		g_ptr_array_add(h->exchanges, x);
	}
	for (int i = 0; i < n; i++) {
		struct exchange *x = h->exchanges->pdata[i];
		char ip[VIEW_IP_MAX];
		uint16_t port;

		shard_worker_addr(h->shard, i, ip, sizeof(ip), &port);
		if (x->busy || !port)
			continue;
		if (now_ms < x->next_ms &&
		    !shard_worker_has_commands(h->shard, i))
			continue;
		x->next_ms = now_ms + h->d->set.worker_sync_ms;
		exchange_with(h, x);
	}
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct held *h = priv;
	int64_t now_ms = sched_now_ms(h->d);

	(void)te;
	(void)now;
	if (h->closed)
		return;
	if (h->active && now_ms - h->ticked_ms >= SHARD_TICK_MS) {
		h->ticked_ms = now_ms;
		shard_tick(h->shard, now_of(h));
		if (!shard_totals_consistent(h->shard))
			log_event(LOG_LEDGER_UNBALANCED, "shard=%d", h->number);
	}
	if (h->active) {
		drive_workers(h, now_ms);
		drive(h);
	}
	tevent_add_timer(ev, h->ctx,
			 tevent_timeval_current_ofs(0, TICK_MS * 1000), on_tick,
			 h);
}

struct held *held_open(struct sched *d, int shard, int64_t epoch,
		       int64_t own_row, bool clean)
{
	const struct settings *s = &d->set;
	struct held *h = calloc(1, sizeof(*h));
	struct shard_options opt = {
		.number = shard,
		.epoch = epoch,
		.shards = s->shards,
		.worker_lease_ms = s->worker_lease_ms,
		.renew_max_ms = clean ? 0 : s->renew_max_ms,
		.start_age_max_ms = s->start_age_max_ms,
		.claim_retention_ms = s->claim_retention_s * 1000,
		.policy = &place_best_fit,
	};

	h->d = d;
	h->ctx = talloc_new(d->ev);
	h->number = shard;
	h->epoch = epoch;
	h->own_row = own_row;
	h->confirmed_ms = sched_now_ms(d);
	snprintf(h->own_key, sizeof(h->own_key), "sched/own/%d", shard);
	h->exchanges = g_ptr_array_new_with_free_func(free);
	h->replies = g_ptr_array_new_with_free_func(free_reply);
	h->replies_taken = g_ptr_array_new_with_free_func(free_reply);
	h->shard = shard_new(&opt);
	h->journal = journal_open(h->ctx, d->ev, d->sto, shard, h->own_key,
				  own_row, &journal_ops, h);
	on_tick(d->ev, NULL, tevent_timeval_zero(), h);
	return h;
}

void held_confirmed(struct held *h, int64_t sent_ms)
{
	if (sent_ms > h->confirmed_ms)
		h->confirmed_ms = sent_ms;
}

static void wait_for_batch(struct held *h, uint64_t link, uint64_t id,
			   int64_t status, char *text)
{
	struct waiting_reply *r = calloc(1, sizeof(*r));

	r->link = link;
	r->id = id;
	r->status = status;
	r->text = text;
	g_ptr_array_add(h->replies, r);
}

void held_call(struct held *h, uint64_t link, const struct msg *m)
{
	json_t *reply;
	bool wait = false;
	int64_t status;
	char *text;

	if (!h->active || h->draining || ring_full(h)) {
		sched_reply(h->d, link, m->id, NOT_OWNER, "{}");
		return;
	}
	h->d->stats.calls++;
	status = shard_call(h->shard, m->verb, m->text, now_of(h), &reply,
			    &wait);
	text = json_dumps(reply, JSON_COMPACT);
	json_decref(reply);
	/* What it tells of may be in a batch that is not yet durable. */
	if (wait &&
	    (shard_has_entries(h->shard) || journal_is_writing(h->journal))) {
		wait_for_batch(h, link, m->id, status, text);
		drive(h);
		return;
	}
	sched_reply(h->d, link, m->id, status, text);
	free(text);
}

void held_view_changed(struct held *h)
{
	if (h->active && h->d->view)
		shard_set_view(h->shard, h->d->view, now_of(h));
}

bool held_drain(struct held *h)
{
	h->draining = true;
	return !h->active || (!journal_is_writing(h->journal) &&
			      !shard_has_entries(h->shard));
}

bool held_idle(const struct held *h)
{
	return h->n_busy == 0 && journal_is_idle(h->journal);
}

void held_free(struct held *h)
{
	talloc_free(h->ctx);
	shard_free(h->shard);
	json_decref(h->saved);
	g_ptr_array_free(h->exchanges, TRUE);
	g_ptr_array_free(h->replies, TRUE);
	g_ptr_array_free(h->replies_taken, TRUE);
	free(h);
}

int64_t held_own_row(const struct held *h)
{
	return h->own_row;
}

int64_t held_epoch(const struct held *h)
{
	return h->epoch;
}

const struct shard *held_shard(const struct held *h)
{
	return h->active ? h->shard : NULL;
}
