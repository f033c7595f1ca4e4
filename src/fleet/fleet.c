/* One VM's process: what its shards and its door share. */
#include "fleet/fleet.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/hist.h"
#include "base/log.h"
#include "fleet/door.h"
#include "fleet/lead.h"

/* Others read the owner's row this often, in ms: 18 reads a second for 9 VMs.
 */
#define OWNER_POLL_MS 500
/* A row that stands still this long is free, in ms: four heartbeats, or one
 * commit on a day when the store takes a hundred times as long. */
#define OWNER_SILENCE_MS 2000
#define OWNER_HEARTBEAT_MS 500
/* Ends within this time, in ms, share a commit: 40 a second at most, of the
 * 150 that a part of the store can do. */
#define OWNER_GROUP_MS 25
/* Wait of the strongest VM before it claims, in ms. */
#define CLAIM_HANDICAP_MS 60
/* Longest lease granted with each contact, in ms: an owner's silence, its
 * successor's claim, load and first looks fit into it. */
#define LEASE_MS 6000
/* An owner that the store doesn't answer renews leases this long after others
 * may claim its shard, in ms: with the silence before and a lease after, tasks
 * outlive the store's outages of ten seconds. */
#define DOUBT_MAX_MS 3000
/* A store that served nothing for this long, in ms, is away: a request that
 * waits for it has little time left to go elsewhere. */
#define AWAY_MS 600
/* A VM whose store is away this long sends callers to others, in ms. */
#define UNSERVED_MAX_MS 2500
/* The balancer asks once a second and believes the second "no", in ms. */
#define DRAIN_MS 2500
/* Left of the platform's patience when the process ends by itself, in ms. */
#define GRACE_MARGIN_MS 1500
/* Left of the rest for giving shards up, in ms: a read, and commits on a day
 * when the store is slow. */
#define RELEASE_MARGIN_MS 1000
/* Kept of the pause before orders about VMs, for those on their way, in ms. */
#define ORDER_MARGIN_MS 500
/* Ended jobs are kept this much longer than callers are promised, in ms. */
#define KEEP_MARGIN_MS 60000

void fleet_default_limits(struct fleet_settings *s, double processor_share)
{
	s->shards = 1;
	s->owner = (struct owner_limits){
		.poll_ms = OWNER_POLL_MS,
		.silence_ms = OWNER_SILENCE_MS,
		.heartbeat_ms = OWNER_HEARTBEAT_MS,
		.commit_gap_ms = OWNER_GROUP_MS,
		.claim_delay_ms = CLAIM_HANDICAP_MS,
		.cpu_milli = (int64_t)(processor_share * 1000),
	};
	s->sched.lease_ms = LEASE_MS;
	if (s->sched.lease_ms > s->sched.lease_max_ms)
		s->sched.lease_ms = s->sched.lease_max_ms;
	s->sched.doubt_max_ms = DOUBT_MAX_MS;
	s->owner.stale_renew_ms = DOUBT_MAX_MS;
	s->owner.lease_ms = s->sched.lease_ms;
	s->keep_ended_ms += KEEP_MARGIN_MS;
	s->order_pause_ms += ORDER_MARGIN_MS;
}

static void free_wave(gpointer p)
{
	talloc_free(p);
}

void fleet_init(struct fleet *f, const struct fleet_settings *set,
		struct tevent_context *ev, struct tmr_set *timers,
		const struct clk *clk, const struct fleet_tables *tables)
{
	memset(f, 0, sizeof(*f));
	f->set = *set;
	f->ev = ev;
	f->timers = timers;
	f->clk = clk;
	f->rows = tables->rows;
	f->wkr = tables->wkr;
	f->directory = tables->directory;
	f->vms = tables->vms;
	f->waves = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 free_wave);
	f->domains_out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void fleet_start(struct fleet *f)
{
	f->door = door_start(f);
	for (int32_t i = 0; i < f->set.shards; i++)
		f->leads[i] = lead_start(f, i);
}

static void configure_all(struct fleet *f)
{
	for (int32_t i = 0; i < f->set.shards; i++)
		lead_configure(f->leads[i]);
}

void fleet_set_catalog(struct fleet *f, struct catalog *catalog)
{
	const struct catalog *old = f->catalog;

	/* A row read late must not take the configuration back. */
	if (old && catalog->version < old->version) {
		talloc_free(catalog);
		return;
	}
	log_event(LOG_CONFIG_APPLIED, "version=%lld queues=%d pools=%d",
		  (long long)catalog->version, catalog->n_queues,
		  catalog->n_pools);
	f->catalog = talloc_steal(f->ev, catalog);
	configure_all(f);
	talloc_free((void *)old);
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

static void waves_changed(struct fleet *f)
{
	for (int32_t i = 0; i < f->set.shards; i++)
		lead_waves_changed(f->leads[i]);
}

void fleet_set_wave(struct fleet *f, const struct upkeep_wave *wave)
{
	struct fleet_wave *w;
	const char **vms;

	if (g_hash_table_contains(f->waves, &wave->number))
		return;
	w = talloc_zero(f->ev, struct fleet_wave);
	w->wave = *wave;
	w->seen_ms = clk_mono_ms(f->clk);
	vms = talloc_array(w, const char *, wave->n_vms);
	for (int32_t i = 0; i < wave->n_vms; i++)
		vms[i] = talloc_strdup(vms, wave->vms[i]);
	w->wave.vms = vms;
	g_hash_table_insert(f->waves, &w->wave.number, w);
	log_event(LOG_UPKEEP,
		  "what=\"asked for\" wave=%lld vms=%d at_once=%d "
		  "within_ms=%lld",
		  (long long)wave->number, wave->n_vms, wave->at_once,
		  (long long)wave->within_ms);
	waves_changed(f);
}

void fleet_drop_wave(struct fleet *f, int64_t number)
{
	if (!g_hash_table_remove(f->waves, &number))
		return;
	log_event(LOG_UPKEEP, "what=\"withdrawn\" wave=%lld",
		  (long long)number);
	waves_changed(f);
}

void fleet_worker_seen(struct fleet *f, const struct sched_worker_row *row)
{
	uint64_t hash = XXH64(row->rack, strlen(row->rack), 0);

	/* Whole racks stay together, for work that wants one rack. */
	lead_worker_seen(f->leads[hash % (uint64_t)f->set.shards], row);
}

void fleet_worker_gone(struct fleet *f, const char *id)
{
	for (int32_t i = 0; i < f->set.shards; i++)
		lead_worker_gone(f->leads[i], id);
}

void fleet_workers_synced(struct fleet *f)
{
	for (int32_t i = 0; i < f->set.shards; i++)
		lead_workers_synced(f->leads[i]);
}

void fleet_store_clock(struct fleet *f, int64_t store_now_ms)
{
	f->store_offset_ms = store_now_ms - clk_mono_ms(f->clk);
	f->store_clock_known = true;
}

bool fleet_store_away(const struct fleet *f)
{
	return f->rows.ops->silent_ms(f->rows.self) > AWAY_MS;
}

bool fleet_ready(const struct fleet *f)
{
	return f->catalog && !f->stopping &&
	       f->rows.ops->silent_ms(f->rows.self) < UNSERVED_MAX_MS;
}

void fleet_stop(struct fleet *f, int64_t grace_ms)
{
	int64_t hold_ms = grace_ms - GRACE_MARGIN_MS - RELEASE_MARGIN_MS;

	f->stopping = true;
	f->stop_ms = clk_mono_ms(f->clk);
	for (int32_t i = 0; i < f->set.shards; i++)
		lead_release(f->leads[i], hold_ms);
}

static bool all_released(const struct fleet *f)
{
	for (int32_t i = 0; i < f->set.shards; i++) {
		if (!lead_released(f->leads[i]))
			return false;
	}
	return true;
}

bool fleet_may_end(const struct fleet *f, uint32_t open, int64_t grace_ms)
{
	int64_t elapsed = clk_mono_ms(f->clk) - f->stop_ms;

	if (elapsed >= grace_ms - GRACE_MARGIN_MS)
		return true;
	return elapsed >= DRAIN_MS && !open && all_released(f);
}

int32_t fleet_shard_of(const struct fleet *f, const char *job_id)
{
	uint64_t hash = XXH64(job_id, strlen(job_id), 1);

	return (int32_t)(hash % (uint64_t)f->set.shards);
}

static char *add_number(char *text, const char *name, int64_t value)
{
	return talloc_asprintf_append(text, "%s %lld\n", name,
				      (long long)value);
}

static char *add_shard(char *text, const struct lead *l)
{
	const struct sched *s = lead_sched(l);
	const struct links_counts *links = lead_links_counts(l);

	if (!s || !links)
		return text;
	text = add_number(text, "gd_jobs", g_hash_table_size(s->jobs));
	text = add_number(text, "gd_workers", s->worker_list->len);
	text = add_number(text, "gd_steps_ready", s->ready.length);
	text = add_number(text, "gd_starts_total", s->counts.starts);
	text = add_number(text, "gd_resumes_total", s->counts.resumes);
	text = add_number(text, "gd_unsure_total", s->counts.unsure);
	text = add_number(text, "gd_no_room_total", s->counts.refused_room);
	text = add_number(text, "gd_done_total", s->counts.done);
	text = add_number(text, "gd_failed_total", s->counts.failed);
	text = add_number(text, "gd_lapsed_total", s->counts.lapsed);
	text = add_number(text, "gd_evicted_total", s->counts.evicted);
	text = add_number(text, "gd_looks_total", links->looks);
	text = add_number(text, "gd_looks_failed_total", links->looks_failed);
	return add_number(text, "gd_orders_total", links->orders);
}

char *fleet_metrics(struct fleet *f, void *ctx)
{
	const struct door_counts *c = door_counts(f->door);
	const struct hist *h = door_accept_times(f->door);
	char *text = talloc_strdup(ctx, "");

	text = add_number(text, "gd_accepted_total", c->accepted);
	text = add_number(text, "gd_repeated_total", c->repeated);
	text = add_number(text, "gd_refused_total", c->refused);
	text = add_number(text, "gd_unsure_answers_total", c->unsure);
	text = add_number(text, "gd_cancelled_total", c->cancelled);
	text = add_number(text, "gd_state_asked_total", c->asked);
	text = add_number(text, "gd_accept_us_p50", hist_quantile_us(h, 0.5));
	text = add_number(text, "gd_accept_us_p99", hist_quantile_us(h, 0.99));
	for (int32_t i = 0; i < f->set.shards; i++)
		text = add_shard(text, f->leads[i]);
	return text;
}
