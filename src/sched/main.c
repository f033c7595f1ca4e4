/*
 * Main program of the scheduler daemon: claims and releases shards, passes
 * calls from entries to their shard servers, and shuts down gracefully.
 */
#include <curl/curl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "daemon/cmdline.h"
#include "daemon/link_limits.h"
#include "sched/shard_server.h"
#include "transport/hts.h"
#include "transport/lnk.h"

#define STATUS_NOT_OWNER 421
#define STOP_TICK_MS 20
#define HTTP_BODY_MAX 1024
#define HTTP_IDLE_S 30
/* Only operators use this listener. */
#define HTTP_CONNECTIONS_MAX 16
#define HTTP_BODIES_BYTES (64 * 1024)

static const struct cmdline cmdline = {
	.program = "gd-sched",
	.doc = "godwitdrum's scheduler daemon: batch tasks and claims.",
	.kind = SETTINGS_SCHED,
};

void sched_reply(struct sched_daemon *d, uint64_t link, uint64_t id,
		 int64_t status, const char *text)
{
	struct lnk *l = g_hash_table_lookup(d->links, &link);
	struct msg m = {
		.kind = MSG_REPLY, .id = id, .status = status, .text = text
	};
	size_t len;
	void *data;

	if (!l)
		return;
	data = msg_pack(d->ev, &m, &len);
	lnk_send(l, data, len);
	talloc_free(data);
}

static void on_opened(struct lnk *l, void *priv)
{
	struct sched_daemon *d = priv;
	uint64_t *n = g_new(uint64_t, 1);
	uint64_t *key = g_new(uint64_t, 1);

	*n = *key = ++d->next_link_id;
	g_hash_table_insert(d->link_ids, l, n);
	g_hash_table_insert(d->links, key, l);
}

static void on_closed(struct lnk *l, void *priv)
{
	struct sched_daemon *d = priv;
	uint64_t *n = g_hash_table_lookup(d->link_ids, l);

	g_hash_table_remove(d->links, n);
	g_hash_table_remove(d->link_ids, l);
}

/* Keys of the form "#NUMBER" name a shard; others are hashed to one. */
static int shard_of(const struct sched_daemon *d, const char *key)
{
	if (*key == '#')
		return atoi(key + 1);
	return view_shard_of(key, (int)d->settings.shards);
}

static void handle_call(struct sched_daemon *d, uint64_t link,
			const struct msg *m)
{
	int i = shard_of(d, m->key);

	if (i < 0 || i >= d->settings.shards || !d->servers[i]) {
		sched_reply(d, link, m->id, STATUS_NOT_OWNER, "{}");
		return;
	}
	shard_server_call(d->servers[i], link, m);
}

static void on_frame(struct lnk *l, const uint8_t *data, size_t len, void *priv)
{
	struct sched_daemon *d = priv;
	struct msg *m = msg_unpack(d->ev, data, len);
	uint64_t *n = g_hash_table_lookup(d->link_ids, l);
	struct msg pong = { .kind = MSG_PONG, .from = d->settings.id };

	if (m && m->kind == MSG_CALL) {
		handle_call(d, *n, m);
	} else if (m && m->kind == MSG_PING) {
		void *out = msg_pack(d->ev, &pong, &len);

		lnk_send(l, out, len);
		talloc_free(out);
	} else {
		lnk_close(l);
	}
	talloc_free(m);
}

static const struct lnk_ops link_ops = { on_opened, on_frame, on_closed };

static void ignore_result(enum sto_result res, const json_t *body, void *priv)
{
	(void)res;
	(void)body;
	(void)priv;
}

static void write_live_row(struct sched_daemon *d)
{
	const struct settings *s = &d->settings;
	struct sto_tx tx;
	char key[96];

	snprintf(key, sizeof(key), "sched/live/%s", s->id);
	sto_tx_init(&tx);
	sto_tx_put(&tx, key,
		   json_pack("{s:s,s:I,s:I,s:I,s:b}", "ip", s->ip, "port",
			     (json_int_t)settings_advertised_port(s),
			     "incarnation", (json_int_t)d->incarnation, "n",
			     (json_int_t)++d->live_counter, "leaving",
			     d->stopping));
	sto_commit(d->sto, &tx, ignore_result, NULL);
}

static void on_owner_written(enum sto_result res, const json_t *body,
			     void *priv)
{
	struct sched_daemon *d = priv;

	(void)res;
	(void)body;
	/* The next scan shows whether the write took effect. */
	d->owner_write_pending = false;
}

static void write_owner_row(struct sched_daemon *d, int shard,
			    const char *owner, int64_t epoch, bool clean)
{
	const struct ownership_shard *s = &d->ownership.shards[shard];
	struct sto_tx tx;
	char key[64];

	snprintf(key, sizeof(key), "sched/own/%d", shard);
	sto_tx_init(&tx);
	sto_tx_if(&tx, key, s->row);
	sto_tx_put(&tx, key,
		   json_pack("{s:s,s:I,s:I,s:b}", "owner", owner, "incarnation",
			     (json_int_t)(*owner ? d->incarnation : 0), "epoch",
			     (json_int_t)epoch, "clean", clean));
	d->owner_write_pending = true;
	sto_commit(d->sto, &tx, on_owner_written, d);
}

static void close_server(struct sched_daemon *d, int shard)
{
	shard_server_close(d->servers[shard]);
	g_ptr_array_add(d->closing_servers, d->servers[shard]);
	d->servers[shard] = NULL;
}

static void claim_shard(struct sched_daemon *d, int shard)
{
	const struct ownership_shard *s = &d->ownership.shards[shard];

	write_owner_row(d, shard, d->settings.id, s->epoch + 1,
			!s->row || !*s->owner);
}

static void release_shard(struct sched_daemon *d, int shard)
{
	const struct ownership_shard *s = &d->ownership.shards[shard];

	if (d->servers[shard] && !shard_server_drain(d->servers[shard]))
		return;
	write_owner_row(d, shard, "", s->epoch, true);
	/* Close it now, so that no lease is renewed after the release. */
	if (d->servers[shard])
		close_server(d, shard);
}

/* Claims or releases at most one shard at a time. */
static void update_ownership(struct sched_daemon *d)
{
	int shard;

	if (d->owner_write_pending)
		return;
	switch (ownership_decide(&d->ownership, sched_now_ms(d), &shard)) {
	case OWNERSHIP_CLAIM:
		claim_shard(d, shard);
		return;
	case OWNERSHIP_RELEASE:
		release_shard(d, shard);
		return;
	case OWNERSHIP_NO_CHANGE:
		return;
	}
}

static int64_t int_field(const json_t *obj, const char *key)
{
	return json_integer_value(json_object_get(obj, key));
}

/* Opens, confirms or closes the shard server as its owner row requires. */
static void update_server(struct sched_daemon *d, int i, bool clean)
{
	struct shard_server *srv = d->servers[i];
	const struct ownership_shard *s = &d->ownership.shards[i];

	if (srv && (!ownership_owns(&d->ownership, i) ||
		    shard_server_owner_row(srv) != s->row ||
		    shard_server_failed(srv))) {
		close_server(d, i);
		srv = NULL;
	}
	if (!ownership_owns(&d->ownership, i) || d->owner_write_pending)
		return;
	if (!srv)
		d->servers[i] =
			shard_server_open(d, i, s->epoch, s->row, clean);
	else
		shard_server_confirm_owned(srv, d->scan_sent_ms);
}

static void observe_owner_row(struct sched_daemon *d, const json_t *row,
			      const char *shard)
{
	const json_t *v = json_object_get(row, "v");
	const char *owner = json_string_value(json_object_get(v, "owner"));
	int i = atoi(shard);

	if (i < 0 || i >= d->settings.shards)
		return;
	ownership_observe_shard(&d->ownership, i, owner ? owner : "",
				int_field(v, "incarnation"),
				int_field(v, "epoch"), int_field(row, "r"));
	update_server(d, i, json_is_true(json_object_get(v, "clean")));
}

static void observe_live_row(struct sched_daemon *d, const json_t *row,
			     const char *id)
{
	const json_t *v = json_object_get(row, "v");

	ownership_observe_scheduler(
		&d->ownership, id, int_field(v, "incarnation"),
		int_field(v, "n"), json_is_true(json_object_get(v, "leaving")),
		sched_now_ms(d));
}

static void on_rows(enum sto_result res, const json_t *body, void *priv)
{
	struct sched_daemon *d = priv;
	json_t *row;
	size_t i;

	d->scanning = false;
	if (res != STO_OK)
		return;
	json_array_foreach(json_object_get(body, "rows"), i, row)
	{
		const char *key = json_string_value(json_object_get(row, "k"));

		if (!strncmp(key, "sched/live/", 11))
			observe_live_row(d, row, key + 11);
		else if (!strncmp(key, "sched/own/", 10))
			observe_owner_row(d, row, key + 10);
	}
	update_ownership(d);
}

/* Rows that could not be read while the store was down are not stale. */
static void restart_liveness_timers(struct sched_daemon *d, int64_t now_ms)
{
	if (now_ms - d->scan_sent_ms < d->settings.lease_ms / 2)
		return;
	for (int i = 0; i < d->ownership.n_schedulers; i++)
		d->ownership.schedulers[i].changed_ms = now_ms;
}

static void on_poll(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct sched_daemon *d = priv;

	(void)te;
	(void)now;
	write_live_row(d);
	if (!d->scanning) {
		restart_liveness_timers(d, sched_now_ms(d));
		d->scanning = true;
		d->scan_sent_ms = sched_now_ms(d);
		sto_scan(d->sto, "sched/", on_rows, d);
	}
	tevent_add_timer(
		ev, ev,
		tevent_timeval_current_ofs(d->settings.poll_ms / 1000,
					   d->settings.poll_ms % 1000 * 1000),
		on_poll, d);
}

static void free_closed_servers(struct sched_daemon *d)
{
	for (guint i = 0; i < d->closing_servers->len;) {
		struct shard_server *srv = d->closing_servers->pdata[i];

		if (!shard_server_idle(srv)) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(d->closing_servers, i);
		shard_server_free(srv);
	}
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct sched_daemon *d = priv;

	(void)te;
	(void)now;
	free_closed_servers(d);
	tevent_add_timer(ev, ev,
			 tevent_timeval_current_ofs(0, STOP_TICK_MS * 1000),
			 on_tick, d);
}

static void on_revision_read(int64_t sent_ms, int64_t revision, void *priv)
{
	struct sched_daemon *d = priv;

	if (revision <= config_watch_revision(d->config))
		d->config_read_ms = sent_ms;
}

static void on_config_changed(void *priv)
{
	struct sched_daemon *d = priv;

	talloc_free(d->view);
	d->view = view_build(d->ev, config_watch_rows(d->config),
			     config_watch_revision(d->config),
			     config_watch_vms(d->config), 1);
	for (int i = 0; i < d->settings.shards; i++) {
		if (d->servers[i])
			shard_server_view_changed(d->servers[i]);
	}
}

static const struct config_watch_ops config_watch_ops = { on_revision_read,
							  on_config_changed };

static void print_stats(struct sched_daemon *d, FILE *f)
{
	const struct sched_stats *s = &d->stats;
	int n_served = 0;

	for (int i = 0; i < d->settings.shards; i++)
		n_served += d->servers[i] != NULL;
	fprintf(f, "gd_shards_held %d\n", n_served);
	fprintf(f, "gd_syncs_total %" PRId64 "\n", s->syncs);
	fprintf(f, "gd_sync_bytes_total %" PRId64 "\n", s->sync_bytes);
	fprintf(f, "gd_sync_failures_total %" PRId64 "\n", s->sync_failures);
	fprintf(f, "gd_calls_total %" PRId64 "\n", s->calls);
	fprintf(f, "gd_links_refused_total %" PRId64 "\n",
		lnk_srv_refused(d->listener));
	fprintf(f, "gd_store_reads_total %" PRId64 "\n",
		sto_counts(d->sto)->reads);
	fprintf(f, "gd_store_write_rows_total %" PRId64 "\n",
		sto_counts(d->sto)->writes);
	fprintf(f, "gd_batches_total %" PRIu64 "\n",
		atomic_load(&s->commit_us.count));
	fprintf(f, "gd_batch_entries_sum %" PRIu64 "\n",
		atomic_load(&s->batch_entries.sum_us));
	fprintf(f, "gd_commit_us{quantile=\"0.5\"} %" PRId64 "\n",
		hist_quantile_us(&s->commit_us, 0.5));
	fprintf(f, "gd_commit_us{quantile=\"0.99\"} %" PRId64 "\n",
		hist_quantile_us(&s->commit_us, 0.99));
}

static void on_metrics_request(struct hts_req *req, void *priv)
{
	char *text = NULL;
	size_t len;
	FILE *f = open_memstream(&text, &len);

	print_stats(priv, f);
	fclose(f);
	hts_reply(req, 200, "text/plain; version=0.0.4", text, len);
	free(text);
}

static bool start_modules(struct sched_daemon *d, struct err *err)
{
	struct hts_options http = { .ip = d->settings.ip,
				    .port = (uint16_t)d->settings.http_port,
				    .body_max = HTTP_BODY_MAX,
				    .idle_timeout_s = HTTP_IDLE_S,
				    .connections_max = HTTP_CONNECTIONS_MAX,
				    .bodies_bytes = HTTP_BODIES_BYTES };

	d->ev = tevent_context_init(NULL);
	d->incarnation =
		(clk_wall_ms(d->clk) << 16 | ((int64_t)getpid() & 0xffff)) &
		INT64_MAX;
	d->config_read_ms = -1;
	d->scan_sent_ms = sched_now_ms(d);
	d->closing_servers = g_ptr_array_new();
	d->links = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
	d->link_ids = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					    g_free);
	ownership_init(&d->ownership, d->settings.id, d->incarnation,
		       (int)d->settings.shards,
		       (int)d->settings.shards_held_max, d->settings.lease_ms);
	d->http = htc_start(d->ev, d->ev, d->settings.ip);
	d->worker_http = htc_start(d->ev, d->ev, d->settings.ip);
	d->sto = sto_start(d->ev, d->ev, d->http, d->clk,
			   d->settings.platform_url,
			   d->settings.store_timeout_ms);
	d->config =
		config_watch_start(d->ev, d->ev, d->sto, d->clk,
				   d->settings.poll_ms, &config_watch_ops, d);
	d->listener =
		lnk_listen(d->ev, d->ev, d->settings.ip,
			   (uint16_t)d->settings.peer_port, &link_ops, d, err);
	if (!d->listener)
		return false;
	link_limits_set(d->listener, &d->settings);
	return hts_start(d->ev, d->ev, &http, on_metrics_request, d, err);
}

static void on_term(struct tevent_context *ev, struct tevent_signal *se,
		    int signum, int count, void *info, void *priv)
{
	struct sched_daemon *d = priv;

	(void)ev;
	(void)se;
	(void)signum;
	(void)count;
	(void)info;
	if (d->stopping)
		return;
	log_event(LOG_STOPPING, "id=%s", d->settings.id);
	d->stopping = true;
	d->ownership.leaving = true;
}

/* A graceful shutdown is complete once every shard has been released. */
static bool has_stopped(const struct sched_daemon *d)
{
	if (!d->stopping || d->owner_write_pending || d->closing_servers->len)
		return false;
	for (int i = 0; i < d->settings.shards; i++) {
		if (d->servers[i] || ownership_owns(&d->ownership, i))
			return false;
	}
	return true;
}

static int serve(struct sched_daemon *d)
{
	struct err err = { 0 };

	d->clk = &clk_system;
	if (!start_modules(d, &err)) {
		log_event(LOG_CANNOT_LISTEN, "%s", err.text);
		return EXIT_FAILURE;
	}
	tevent_add_signal(d->ev, d->ev, SIGTERM, 0, on_term, d);
	tevent_add_signal(d->ev, d->ev, SIGINT, 0, on_term, d);
	on_poll(d->ev, NULL, tevent_timeval_zero(), d);
	on_tick(d->ev, NULL, tevent_timeval_zero(), d);
	log_event(LOG_STARTED, "id=%s domain=%s peer=%" PRId64, d->settings.id,
		  d->settings.domain, d->settings.peer_port);
	while (!has_stopped(d)) {
		if (tevent_loop_once(d->ev) != 0)
			break;
	}
	log_event(LOG_STOPPED, "id=%s", d->settings.id);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct sched_daemon *d = calloc(1, sizeof(*d));
	int code;

	cmdline_read(&cmdline, argc, argv, &d->settings);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = serve(d);
	free(d);
	return code;
}
