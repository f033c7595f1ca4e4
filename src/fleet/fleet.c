/* Sets up the process, passes changes of configuration, workers and waves on to
 * the shard controllers, and collects metrics. */
#include "fleet/fleet.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/hist.h"
#include "base/log.h"
#include "fleet/job_api.h"
#include "fleet/org_metrics.h"
#include "fleet/relay_client.h"
#include "fleet/relay_server.h"
#include "fleet/shard_ctl.h"
#include "fleet/wkr_links.h"

/* Interval at which non-owners read the owner's row, in ms: 18 reads a second
 * for 9 VMs. */
#define OWNER_POLL_MS 500
/* An owner row that does not change for this long may be claimed, in ms. It
 * covers four heartbeats, or one commit when the store is a hundred times
 * slower than usual. */
#define OWNER_SILENCE_MS 2000
#define OWNER_HEARTBEAT_MS 500
/* Minimum time between two commits of an owner, in ms; task ends in between
 * share one. That makes at most 40 commits a second, of the 150 that a part of
 * the store can do. */
#define COMMIT_GAP_MS 25
/* Delay before the VM with the most processor time claims a shard, in ms. */
#define CLAIM_DELAY_MS 60
/* Lease granted with each contact to a worker, in ms. Within it the owner may
 * fall silent and a successor claim the shard, load it and poll the workers. */
#define LEASE_MS 6000
/* An owner that gets no answer from the store renews leases for this long after
 * others may claim its shard, in ms. Together with the silence before it and
 * one lease after it, tasks survive store outages of ten seconds. */
#define IN_DOUBT_MAX_MS 3000
/* The store counts as unavailable after this long without an answer, in ms. A
 * request that waited longer would have little time left to be retried at
 * another VM. */
#define UNAVAILABLE_AFTER_MS 600
/* A VM is not ready if the store has not answered it for this long, in ms. */
#define READY_SILENCE_MAX_MS 2500
/* Callers are answered by a configuration that was confirmed this recently, in
 * ms. One lost answer of the store leaves a shorter gap. */
#define CONFIG_AGE_MAX_MS 4000
/* Time in ms until the load balancer sends no more requests: it checks
 * readiness once a second and acts on the second failure. */
#define BALANCER_DRAIN_MS 2500
/* The process exits this long before the platform would kill it, in ms. */
#define GRACE_MARGIN_MS 1500
/* Time in ms that the release of a shard may take after the wait for a
 * successor has ended: one read, and the commits while the store is slow. */
#define RELEASE_MARGIN_MS 1000
/* Added to the holdoff of upkeep commands for those of the previous owner that
 * are still in flight, in ms. */
#define UPKEEP_MARGIN_MS 500
/* Ended jobs are kept this much longer than promised to callers, in ms. */
#define RETENTION_MARGIN_MS 60000

void fleet_derive_limits(struct fleet_settings *s, double cpu_share)
{
	s->shards = 1;
	s->owner = (struct owner_limits){
		.poll_ms = OWNER_POLL_MS,
		.silence_ms = OWNER_SILENCE_MS,
		.heartbeat_ms = OWNER_HEARTBEAT_MS,
		.commit_gap_ms = COMMIT_GAP_MS,
		.claim_delay_ms = CLAIM_DELAY_MS,
		.cpu_milli = (int64_t)(cpu_share * 1000),
	};
	s->capacity.cpu_milli = s->owner.cpu_milli;
	s->relay.cpu_milli = s->owner.cpu_milli;
	s->relay.link_kbit_s = s->capacity.link_kbit_s;
	g_strlcpy(s->relay.vm, s->vm, sizeof(s->relay.vm));
	g_strlcpy(s->relay.domain, s->domain, sizeof(s->relay.domain));
	s->sched.lease_ms = LEASE_MS;
	if (s->sched.lease_ms > s->sched.lease_max_ms)
		s->sched.lease_ms = s->sched.lease_max_ms;
	s->sched.call_max_ms = WKR_LINKS_CALL_MAX_MS;
	s->sched.in_doubt_max_ms = IN_DOUBT_MAX_MS;
	s->owner.in_doubt_max_ms = IN_DOUBT_MAX_MS;
	s->owner.lease_ms = s->sched.lease_ms;
	s->ended_retention_ms += RETENTION_MARGIN_MS;
	s->upkeep_holdoff_ms += UPKEEP_MARGIN_MS;
}

static void free_wave(gpointer p)
{
	talloc_free(p);
}

void fleet_init(struct fleet *f, const struct fleet_settings *set,
		struct tevent_context *ev, struct tmr_set *timers,
		const struct clk *clk,
		const struct fleet_interfaces *interfaces)
{
	memset(f, 0, sizeof(*f));
	f->set = *set;
	f->ev = ev;
	f->timers = timers;
	f->clk = clk;
	f->rows = interfaces->rows;
	f->wkr = interfaces->wkr;
	f->directory = interfaces->directory;
	f->vms = interfaces->vms;
	f->http_traffic = interfaces->http_traffic;
	f->list = interfaces->list;
	f->waves = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 free_wave);
	f->domains_out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void start_relay(struct fleet *f)
{
	const struct fleet_list *list = f->list;
	struct relay_vm_row *self = &f->set.relay;
	struct wkr direct = f->wkr;
	struct err e = { 0 };

	f->relay_client = relay_client_start(f->ev, f->ev, f->timers, f->clk,
					     &f->rows, &direct, self);
	f->wkr = relay_client_iface(f->relay_client);
	f->relay_server = relay_server_start(f->ev, f->ev, &direct, f->clk,
					     self->ip, self->port, &e);
	self->lists = list != NULL;
	if (f->relay_server && list)
		relay_server_share_list(
			f->relay_server,
			list_share_start(f->ev, &f->rows, f->timers, f->clk,
					 list->table, list->same));
	if (f->relay_server && f->set.relay_memory_bytes)
		relay_server_limit(f->relay_server, f->set.relay_memory_bytes);
	if (f->relay_server)
		f->relay_entry =
			relay_entry_start(f->ev, f->timers, &f->rows, self);
	else
		log_event(LOG_CANNOT_LISTEN, "%s", e.text);
}

void fleet_start(struct fleet *f)
{
	f->job_api = job_api_start(f);
	if (f->set.relay.port)
		start_relay(f);
	for (int32_t i = 0; i < f->set.shards; i++)
		f->shard_ctls[i] = shard_ctl_start(f, i);
}

static void configure_all(struct fleet *f)
{
	for (int32_t i = 0; i < f->set.shards; i++)
		shard_ctl_configure(f->shard_ctls[i]);
}

void fleet_set_catalog(struct fleet *f, struct catalog *catalog)
{
	const struct catalog *old = f->catalog;

	/* An old row that arrives late must not revert the configuration. */
	if (old && catalog->version < old->version) {
		talloc_free(catalog);
		return;
	}
	if (catalog->has_orgs)
		log_event(LOG_CONFIG_APPLIED,
			  "version=%lld queues=%d pools=%d orgs=%d",
			  (long long)catalog->version, catalog->n_queues,
			  catalog->n_pools, catalog->n_orgs);
	else
		log_event(LOG_CONFIG_APPLIED, "version=%lld queues=%d pools=%d",
			  (long long)catalog->version, catalog->n_queues,
			  catalog->n_pools);
	f->catalog = talloc_steal(f->ev, catalog);
	configure_all(f);
	talloc_free((void *)old);
}

void fleet_config_synced(struct fleet *f)
{
	f->config_synced_ms = clk_mono_ms(f->clk);
	f->config_confirmed_ms = f->config_synced_ms;
}

void fleet_config_confirmed(struct fleet *f, int64_t sent_ms)
{
	f->config_confirmed_ms = sent_ms;
}

bool fleet_config_is_current(const struct fleet *f)
{
	int64_t max = CONFIG_AGE_MAX_MS;

	if (!f->catalog)
		return false;
	if (f->catalog->has_orgs && f->set.apply_ms)
		max = MIN(max, f->set.apply_ms);
	return clk_mono_ms(f->clk) - f->config_synced_ms < max;
}

void fleet_set_domain_out(struct fleet *f, const char *domain, bool out)
{
	if (out == (bool)g_hash_table_contains(f->domains_out, domain))
		return;
	if (out)
		g_hash_table_add(f->domains_out, g_strdup(domain));
	else
		g_hash_table_remove(f->domains_out, domain);
	log_event(out ? LOG_DOMAIN_OUT : LOG_DOMAIN_IN, "domain=%s", domain);
	configure_all(f);
}

static void notify_waves_changed(struct fleet *f)
{
	for (int32_t i = 0; i < f->set.shards; i++)
		shard_ctl_waves_changed(f->shard_ctls[i]);
}

void fleet_add_wave(struct fleet *f, const struct upkeep_wave *wave)
{
	struct fleet_wave *w;
	const char **vms;

	if (g_hash_table_contains(f->waves, &wave->number))
		return;
	w = talloc_zero(f->ev, struct fleet_wave);
	w->wave = *wave;
	w->first_seen_ms = clk_mono_ms(f->clk);
	vms = talloc_array(w, const char *, wave->n_vms);
	for (int32_t i = 0; i < wave->n_vms; i++)
		vms[i] = talloc_strdup(vms, wave->vms[i]);
	w->wave.vms = vms;
	g_hash_table_insert(f->waves, &w->wave.number, w);
	log_event(LOG_UPKEEP,
		  "what=\"requested\" wave=%lld vms=%d at_once=%d "
		  "within_ms=%lld",
		  (long long)wave->number, wave->n_vms, wave->at_once,
		  (long long)wave->within_ms);
	notify_waves_changed(f);
}

void fleet_remove_wave(struct fleet *f, int64_t number)
{
	if (!g_hash_table_remove(f->waves, &number))
		return;
	log_event(LOG_UPKEEP, "what=\"withdrawn\" wave=%lld",
		  (long long)number);
	notify_waves_changed(f);
}

void fleet_worker_listed(struct fleet *f, const struct sched_worker_row *row)
{
	uint64_t hash = XXH64(row->rack, strlen(row->rack), 0);

	/* Workers of a rack belong to the same shard, since some jobs must run
	 * within one rack. */
	shard_ctl_worker_listed(f->shard_ctls[hash % (uint64_t)f->set.shards],
				row);
}

void fleet_worker_unlisted(struct fleet *f, const char *id)
{
	for (int32_t i = 0; i < f->set.shards; i++)
		shard_ctl_worker_unlisted(f->shard_ctls[i], id);
}

void fleet_workers_synced(struct fleet *f)
{
	for (int32_t i = 0; i < f->set.shards; i++)
		shard_ctl_workers_synced(f->shard_ctls[i]);
}

void fleet_set_store_clock(struct fleet *f, int64_t store_now_ms)
{
	f->store_offset_ms = store_now_ms - clk_mono_ms(f->clk);
	f->store_clock_known = true;
}

bool fleet_store_unavailable(const struct fleet *f)
{
	return f->rows.ops->silent_ms(f->rows.self) > UNAVAILABLE_AFTER_MS;
}

bool fleet_is_ready(const struct fleet *f)
{
	return fleet_config_is_current(f) && !f->stopping &&
	       f->rows.ops->silent_ms(f->rows.self) < READY_SILENCE_MAX_MS;
}

void fleet_shut_down(struct fleet *f, int64_t grace_ms)
{
	int64_t successor_wait_ms =
		grace_ms - GRACE_MARGIN_MS - RELEASE_MARGIN_MS;

	f->stopping = true;
	f->stop_ms = clk_mono_ms(f->clk);
	if (f->relay_entry)
		relay_entry_withdraw(f->relay_entry);
	for (int32_t i = 0; i < f->set.shards; i++)
		shard_ctl_release(f->shard_ctls[i], successor_wait_ms);
}

static bool all_released(const struct fleet *f)
{
	for (int32_t i = 0; i < f->set.shards; i++) {
		if (!shard_ctl_is_released(f->shard_ctls[i]))
			return false;
	}
	return true;
}

bool fleet_can_exit(const struct fleet *f, uint32_t open, int64_t grace_ms)
{
	int64_t elapsed = clk_mono_ms(f->clk) - f->stop_ms;

	if (elapsed >= grace_ms - GRACE_MARGIN_MS)
		return true;
	return elapsed >= BALANCER_DRAIN_MS && !open && all_released(f);
}

struct rows fleet_list_rows(struct fleet *f)
{
	return f->relay_client ? relay_client_list_rows(f->relay_client)
			       : f->rows;
}

int32_t fleet_shard_of(const struct fleet *f, const char *job_id)
{
	uint64_t hash = XXH64(job_id, strlen(job_id), 1);

	return (int32_t)(hash % (uint64_t)f->set.shards);
}

static char *add_metric(char *text, const char *name, int64_t value)
{
	return talloc_asprintf_append(text, "%s %lld\n", name,
				      (long long)value);
}

static char *add_shard_metrics(char *text, const struct shard_ctl *sc,
			       int64_t now_ms)
{
	const struct sched *s = shard_ctl_sched(sc);
	const struct wkr_links_counts *links = shard_ctl_wkr_counts(sc);
	struct read_ahead_size ahead = shard_ctl_ahead_size(sc);

	if (ahead.rows) {
		text = add_metric(text, "gd_read_ahead_rows", ahead.rows);
		text = add_metric(text, "gd_read_ahead_bytes", ahead.bytes);
	}
	if (!s || !links)
		return text;
	text = add_metric(text, "gd_jobs", g_hash_table_size(s->jobs));
	text = add_metric(text, "gd_workers", s->worker_list->len);
	text = add_metric(text, "gd_quarantined",
			  sched_count_quarantined(s, now_ms));
	text = add_metric(text, "gd_steps_ready", s->ready_steps.length);
	text = add_metric(text, "gd_starts_total", s->counts.starts);
	text = add_metric(text, "gd_resumes_total", s->counts.resumes);
	text = add_metric(text, "gd_unsure_total", s->counts.start_unknown);
	text = add_metric(text, "gd_no_room_total", s->counts.refused_room);
	text = add_metric(text, "gd_done_total", s->counts.done);
	text = add_metric(text, "gd_failed_total", s->counts.failed);
	text = add_metric(text, "gd_lapsed_total", s->counts.lease_expired);
	text = add_metric(text, "gd_evicted_total", s->counts.evicted);
	text = add_metric(text, "gd_copies_total", s->counts.copies);
	text = add_metric(text, "gd_slow_starts_total", s->counts.slow_starts);
	text = add_metric(text, "gd_crashes_total", s->counts.crashes);
	text = add_metric(text, "gd_given_up_total", s->counts.given_up);
	text = org_metrics_add_caps(text, s);
	text = add_metric(text, "gd_looks_total", links->polls);
	text = add_metric(text, "gd_looks_failed_total", links->polls_failed);
	text = add_metric(text, "gd_orders_total", links->commands);
	text = add_metric(text, "gd_starts_lost_total", links->starts_lost);
	text = add_metric(text, "gd_start_window_milli", links->window_milli);
	text = add_metric(text, "gd_start_queue_ms", links->window_queue_ms);
	return org_metrics_add_sched(text, s);
}

static char *add_relay_metrics(char *text, const struct fleet *f)
{
	const struct relay_client_counts *c =
		relay_client_counts(f->relay_client);

	text = add_metric(text, "gd_relay_links",
			  relay_client_links(f->relay_client));
	text = add_metric(text, "gd_relay_links_lost_total", c->links_lost);
	text = add_metric(text, "gd_relayed_calls_total", c->relayed);
	text = add_metric(text, "gd_direct_calls_total", c->direct);
	text = add_metric(text, "gd_relayed_lists_total", c->lists_relayed);
	text = add_metric(text, "gd_unrelayed_lists_total", c->lists_direct);
	text = traffic_append_metrics(
		text, relay_client_traffic(f->relay_client), "relay");
	if (!f->relay_server)
		return text;
	text = traffic_append_metrics(
		text, relay_server_traffic(f->relay_server), "owner");
	text = add_metric(text, "gd_relay_links_refused_total",
			  relay_server_links_refused(f->relay_server));
	return add_metric(text, "gd_relay_late_calls_total",
			  relay_server_dropped(f->relay_server));
}

static char *add_access_metrics(char *text, const struct fleet *f)
{
	for (int i = 0; i < ACCESS_CALLS; i++)
		text = talloc_asprintf_append(
			text, "gd_key_denied_%s_total %lld\n",
			access_call_name(i), (long long)f->access.denied[i]);
	text = add_metric(text, "gd_id_taken_total",
			  job_api_counts(f->job_api)->id_taken);
	return add_metric(text, "gd_organisations", f->catalog->n_orgs);
}

char *fleet_metrics(struct fleet *f, void *ctx)
{
	const struct job_api_counts *c = job_api_counts(f->job_api);
	const struct hist *h = job_api_accept_times(f->job_api);
	char *text = talloc_strdup(ctx, "");

	text = add_metric(text, "gd_accepted_total", c->accepted);
	text = add_metric(text, "gd_repeated_total", c->repeated);
	text = add_metric(text, "gd_refused_total", c->refused);
	if (f->catalog && f->catalog->has_orgs)
		text = add_metric(text, "gd_refused_over_cap_total",
				  c->over_cap);
	text = add_metric(text, "gd_unsure_answers_total", c->unknown);
	text = add_metric(text, "gd_cancelled_total", c->cancelled);
	text = add_metric(text, "gd_state_asked_total", c->lookups);
	text = add_metric(text, "gd_pending_asked_total", c->counted);
	text = add_metric(text, "gd_pending_refused_total", c->count_refused);
	text = add_metric(text, "gd_accept_us_p50", hist_quantile_us(h, 0.5));
	text = add_metric(text, "gd_accept_us_p99", hist_quantile_us(h, 0.99));
	if (f->catalog && f->catalog->has_orgs)
		text = add_access_metrics(text, f);
	if (f->http_traffic)
		text = traffic_append_metrics(text, f->http_traffic, "http");
	if (f->relay_client)
		text = add_relay_metrics(text, f);
	text = org_metrics_add_refusals(text, job_api_org_refusals(f->job_api));
	for (int32_t i = 0; i < f->set.shards; i++)
		text = add_shard_metrics(text, f->shard_ctls[i],
					 clk_mono_ms(f->clk));
	return text;
}
