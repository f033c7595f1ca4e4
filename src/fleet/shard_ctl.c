/* Connects the election of a shard's owner (state/owner), the scheduler and the
 * links to workers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/log.h"
#include "fleet/relay_client.h"
#include "fleet/shard_ctl_int.h"

/* Delay in ms between an event and the placement pass that it triggers, so that
 * one pass serves all events in between. */
#define PLACE_DELAY_MS 10
/* The delay grows by this multiple of the duration of the last pass, which
 * leaves time for other work after long passes. */
#define PLACE_REST_FACTOR 3
/* An owner whose ticks are late by more than this on average, in ms, releases
 * its shard and claims none for YIELD_REST_MS: its commands and lease renewals
 * would be late too, and leases expire. The average is a moving mean in which
 * each tick has a weight of 1 / TICK_DELAY_WEIGHT_DIVISOR. */
#define TICK_DELAY_MAX_MS 250
#define TICK_DELAY_WEIGHT_DIVISOR 16
#define YIELD_REST_MS 15000
/* An owner that is behind, since its processor or link takes no more, at more
 * than this share of its ticks, in thousandths, looks for a stronger VM in this
 * interval, in ms. The share is a moving mean over about 3 s. */
#define BEHIND_MAX_MILLI 600
#define BEHIND_WEIGHT_DIVISOR 32
#define SEEK_INTERVAL_MS 1000
/* Tasks of organisations with caps start while the configuration was confirmed
 * within this part of the time after which a newer one applies. The rest covers
 * the way of the confirmation, and of the start command. */
#define CONFIG_AGE_PERCENT 75

static const struct sched_ops sched_ops;

const char *shard_ctl_jobs_table(int32_t shard, char buf[SHARD_CTL_NAME_MAX])
{
	snprintf(buf, SHARD_CTL_NAME_MAX, "jobs%d", shard);
	return buf;
}

int32_t shard_ctl_job_part_of(const char *job_id)
{
	return (int32_t)(XXH64(job_id, strlen(job_id), 2) %
			 SHARD_CTL_JOB_PARTS);
}

const char *shard_ctl_job_part(int32_t shard, int32_t part,
			       char buf[SHARD_CTL_NAME_MAX])
{
	snprintf(buf, SHARD_CTL_NAME_MAX, "j%d-%d", shard, part);
	return buf;
}

const char *shard_ctl_job_part_prefix(int32_t shard,
				      char buf[SHARD_CTL_NAME_MAX])
{
	snprintf(buf, SHARD_CTL_NAME_MAX, "j%d-", shard);
	return buf;
}

const char *shard_ctl_state_part(int32_t shard, char buf[SHARD_CTL_NAME_MAX])
{
	snprintf(buf, SHARD_CTL_NAME_MAX, "s%d", shard);
	return buf;
}

static int64_t mono_ms(const struct shard_ctl *sc)
{
	return clk_mono_ms(sc->f->clk);
}

static int64_t wall_ms(const struct shard_ctl *sc)
{
	return clk_wall_ms(sc->f->clk);
}

/* Tells the scheduler how certain the ownership is, from the age of the last
 * confirmed commit. */
static void update_ownership(struct shard_ctl *sc)
{
	const struct fleet_settings *set = &sc->f->set;
	int64_t silence = set->owner.silence_ms;
	int64_t age = owner_confirm_age_ms(sc->owner);
	enum sched_ownership ownership = SCHED_OWNER_IN_DOUBT;

	if (age < silence * OWNER_CERTAIN_PERCENT / 100)
		ownership = SCHED_OWNER_CERTAIN;
	else if (age >= silence + set->sched.in_doubt_max_ms)
		ownership = SCHED_OWNER_LOST;
	if (ownership != sc->sched.ownership)
		log_event(LOG_OWNERSHIP,
			  "shard=%d trust=%d confirm_age_ms=%lld", sc->shard,
			  ownership, (long long)age);
	sc->sched.ownership = ownership;
	sc->sched.renew_until_ms =
		mono_ms(sc) - age + silence + set->sched.in_doubt_max_ms;
	sc->sched.start_before_version = owner_version(sc->owner);
}

/* Holds back organisations with caps while a newer configuration, which may
 * have a lower cap, may be in force without our knowing. */
static void update_config_hold(struct shard_ctl *sc)
{
	struct org_caps *caps = &sc->sched.caps;
	int64_t age = mono_ms(sc) - sc->f->config_synced_ms;
	int64_t apply_ms = sc->f->set.apply_ms;
	bool held = apply_ms > 0 && age >= apply_ms * CONFIG_AGE_PERCENT / 100;
	char text[64];

	if (held == caps->config_held)
		return;
	caps->config_held = held;
	if (!sc->f->catalog || !sc->f->catalog->n_orgs)
		return;
	snprintf(text, sizeof(text), "%s, config_age_ms=%lld",
		 held ? "held" : "no longer held", (long long)age);
	sched_ops.log_decision(sc, "caps", NULL, NULL, text);
}

static void on_place_due(void *priv)
{
	struct shard_ctl *sc = priv;
	int64_t began = mono_ms(sc);

	sc->place_timer = NULL;
	if (!sc->active || sc->releasing)
		return;
	update_ownership(sc);
	update_config_hold(sc);
	sc->sched.start_room = wkr_links_start_room(sc->links);
	if (sc->f->relay_client)
		sc->sched.relays = relay_client_links(sc->f->relay_client);
	sched_place(&sc->sched, began);
	sc->placement_took_ms = mono_ms(sc) - began;
	if (sc->sched.dirty_jobs.length || sc->sched.caps.wants_commit)
		owner_request_commit(sc->owner);
}

void shard_ctl_place_soon(struct shard_ctl *sc)
{
	int64_t pause_ms =
		PLACE_DELAY_MS + sc->placement_took_ms * PLACE_REST_FACTOR;

	if (!sc->place_timer)
		sc->place_timer =
			tmr_after(sc->f->timers, pause_ms, on_place_due, sc);
}

static void on_changed(const struct sched_worker *w, void *priv)
{
	struct shard_ctl *sc = priv;
	/* Ends that made no job dirty must be acknowledged too, which follows
	 * the next commit. Those of other workers had theirs requested. */
	bool has_unstored_ends = w && w->seen_seq > w->durable_seq;

	shard_ctl_place_soon(sc);
	if (sc->sched.dirty_jobs.length || sc->sched.roster_dirty ||
	    has_unstored_ends)
		owner_request_commit(sc->owner);
}

static const struct wkr_links_ops links_ops = { .changed = on_changed };

static void do_start(void *priv, struct sched_run *run,
		     const struct sched_ref *ref)
{
	struct shard_ctl *sc = priv;

	wkr_links_start_task(sc->links, run->worker->row.id, ref,
			     sched_start_bytes(&sc->sched, run->task->step));
}

static void do_stop(void *priv, struct sched_run *run,
		    const struct sched_ref *ref)
{
	struct shard_ctl *sc = priv;

	wkr_links_stop_task(sc->links, run->worker->row.id, ref);
}

static void do_pace(void *priv, struct sched_run *run,
		    const struct sched_ref *ref, int32_t percent)
{
	struct shard_ctl *sc = priv;

	wkr_links_pace_task(sc->links, run->worker->row.id, ref, percent);
}

static void do_poll(void *priv, struct sched_worker *w)
{
	struct shard_ctl *sc = priv;

	wkr_links_poll(sc->links, w);
}

static void on_advised(const char *const *ids, const char *const *tickets,
		       int32_t n, int64_t valid_ms, void *priv);

/* A request to the policy service. The answer may come after the shard is
 * lost. */
struct advice_call {
	struct fleet *f;
	int32_t shard;
	int64_t epoch;
	struct sched_ref step;
	int32_t n_asked;
	struct sched_incarnation asked[];
};

static void do_advise(void *priv, struct sched_step *step,
		      const struct sched_incarnation *workers, int32_t n)
{
	struct shard_ctl *sc = priv;
	struct advice_call *call =
		calloc(1, sizeof(*call) + (size_t)n * sizeof(*workers));
	const char **ids = talloc_array(NULL, const char *, n);

	call->f = sc->f;
	call->shard = sc->shard;
	call->epoch = sc->sched.epoch;
	snprintf(call->step.job, sizeof(call->step.job), "%s",
		 step->round->job->spec->id);
	call->step.round = step->round->number;
	call->step.step = step->index;
	call->n_asked = n;
	memcpy(call->asked, workers, (size_t)n * sizeof(*workers));
	for (int32_t i = 0; i < n; i++)
		ids[i] = call->asked[i].id;
	sc->f->wkr.ops->advise(sc->f->wkr.self, &call->step, ids, n, on_advised,
			       call);
	talloc_free(ids);
}

static void on_advised(const char *const *ids, const char *const *tickets,
		       int32_t n, int64_t valid_ms, void *priv)
{
	struct advice_call *call = priv;
	struct shard_ctl *sc = call->f->shard_ctls[call->shard];
	const struct sched_advice advice = {
		.step = call->step,
		.asked = call->asked,
		.n_asked = call->n_asked,
		.ids = ids,
		.tickets = tickets,
		.n_allowed = n,
		.valid_ms = valid_ms,
	};

	if (ids && sc->is_owner && sc->sched.epoch == call->epoch) {
		log_event(LOG_POLICY_ANSWER,
			  "task=%s.%lld.%d asked=%d allowed=%d valid_ms=%lld",
			  call->step.job, (long long)call->step.round,
			  call->step.step, call->n_asked, n,
			  (long long)valid_ms);
		sched_advice_received(&sc->sched, &advice, mono_ms(sc));
		shard_ctl_place_soon(sc);
	}
	free(call);
}

static void do_log_decision(void *priv, const char *what,
			    const struct sched_ref *ref,
			    const struct sched_worker *w, const char *detail)
{
	struct shard_ctl *sc = priv;
	/* Decisions about whole workers explain recoveries, those about no
	 * worker explain waits, so the log keeps their lines when it has to
	 * drop others. */
	struct log_subject about = { w ? w->row.id : "-", what, !ref || !w };
	char task[64] = "-";

	if (ref)
		snprintf(task, sizeof(task), "%s.%lld.%d.%d#%d", ref->job,
			 (long long)ref->round, ref->step, ref->index,
			 ref->run);
	log_decision(
		LOG_TASK, &about,
		"what=\"%s\" task=%s worker=%s why=\"%s\" epoch=%lld "
		"answer_age_ms=%lld config=%lld",
		what, task, about.worker, detail, (long long)sc->sched.epoch,
		w ? (long long)(mono_ms(sc) - w->last_answer_ms) : -1LL,
		sc->f->catalog ? (long long)sc->f->catalog->version : -1LL);
}

static const struct sched_ops sched_ops = {
	.start = do_start,
	.stop = do_stop,
	.pace = do_pace,
	.poll = do_poll,
	.advise = do_advise,
	.log_decision = do_log_decision,
};

/* Returns true if ticks are late on average, which shows a lack of processor
 * time. */
static bool is_overloaded(struct shard_ctl *sc, int64_t now)
{
	int64_t late = now - sc->last_tick_ms - SHARD_CTL_TICK_MS;

	sc->last_tick_ms = now;
	sc->mean_tick_delay_ms +=
		(late - sc->mean_tick_delay_ms) / TICK_DELAY_WEIGHT_DIVISOR;
	return sc->active && sc->mean_tick_delay_ms > TICK_DELAY_MAX_MS;
}

/* Hands the shard to a stronger VM if this one takes long to load it, or holds
 * back starts. Neither need make a tick late. */
static void check_strength(struct shard_ctl *sc, int64_t now)
{
	bool is_behind = !sc->active || sc->sched.starts_held;

	sc->mean_behind_milli +=
		((is_behind ? 1000 : 0) - sc->mean_behind_milli) /
		BEHIND_WEIGHT_DIVISOR;
	if (sc->mean_behind_milli <= BEHIND_MAX_MILLI ||
	    now - sc->sought_ms < SEEK_INTERVAL_MS)
		return;
	sc->sought_ms = now;
	owner_seek_stronger(sc->owner, YIELD_REST_MS);
}

static void on_tick(void *priv)
{
	struct shard_ctl *sc = priv;
	int64_t now = mono_ms(sc);

	sc->tick_timer =
		tmr_after(sc->f->timers, SHARD_CTL_TICK_MS, on_tick, sc);
	if (is_overloaded(sc, now)) {
		log_event(LOG_SHARD_YIELDED, "shard=%d late_ms=%lld", sc->shard,
			  (long long)sc->mean_tick_delay_ms);
		wkr_links_quiesce(sc->links);
		owner_yield(sc->owner, YIELD_REST_MS);
	}
	check_strength(sc, now);
	if (!sc->active)
		return;
	if (sc->f->relay_client)
		relay_client_update(sc->f->relay_client, &sc->sched);
	update_ownership(sc);
	update_config_hold(sc);
	sched_tick(&sc->sched, now, wall_ms(sc));
	if (sc->upkeep)
		upkeep_runner_step(sc->upkeep,
				   sc->sched.ownership == SCHED_OWNER_CERTAIN,
				   now);
	if (sc->sched.ready_steps.length)
		shard_ctl_place_soon(sc);
	if (sc->sched.dirty_jobs.length || sc->sched.roster_dirty ||
	    sc->sched.caps.wants_commit ||
	    (sc->upkeep && upkeep_runner_is_dirty(sc->upkeep)))
		owner_request_commit(sc->owner);
	shard_ctl_cleanup(sc, now);
}

/* Passes on what is known of the leases and runs of the previous owner. */
static void init_from_previous(struct shard_ctl *sc,
			       const struct owner_row *prev_row)
{
	const struct fleet_settings *set = &sc->f->set;
	struct sched_prev_owner prev = {
		.renews_until_ms = owner_previous_renew_end_ms(sc->owner),
		/* 0 only from an owner that ran an older release. */
		.lease_ms = prev_row->lease_ms ? prev_row->lease_ms
					       : set->sched.lease_max_ms,
		.long_leases_until_ms =
			owner_previous_long_leases_end_ms(sc->owner),
	};
	json_t *grants;

	sched_set_prev_owner(&sc->sched, &prev);
	grants =
		prev_row->grants ? json_loads(prev_row->grants, 0, NULL) : NULL;
	/* An owner before the one that released may be in doubt still. */
	sched_set_prev_grants(&sc->sched, grants,
			      prev_row->released &&
				      !prev_row->previous_renews_ms);
	json_decref(grants);
	sc->handover = NULL;
	if (prev_row->released && prev_row->handover)
		sc->handover = json_loads(prev_row->handover, 0, NULL);
}

static void on_gained(const struct owner_row *prev_row, int64_t version,
		      void *priv)
{
	struct shard_ctl *sc = priv;
	struct fleet *f = sc->f;

	sc->is_owner = true;
	sc->roster_loaded = false;
	sc->jobs_loaded = false;
	sc->workers_synced = false;
	sc->active = false;
	sc->releasing = false;
	sc->term_ctx = talloc_new(f->ev);
	sc->acquired_version = version;
	sc->loaded_progress = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
	sc->prev_starts_end_ms =
		prev_row->released ? prev_row->starts_end_ms : 0;
	sc->last_cleanup_ms = mono_ms(sc);
	sc->cleanup_running = false;
	sc->last_tick_ms = mono_ms(sc);
	sc->mean_tick_delay_ms = 0;
	sc->mean_behind_milli = 0;
	sc->learned_saved_ms = mono_ms(sc);
	sc->learned_saved = 0;
	sc->row_texts = g_ptr_array_new_with_free_func(free);
	sc->removed_ids = g_ptr_array_new();
	sc->refusals =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sched_init(&sc->sched, &sched_ops, sc, &f->set.sched,
		   owner_epoch(sc->owner), mono_ms(sc));
	sc->sched.lim.row_bytes = f->set.row_bytes_max;
	sc->sched.lim.memory_bytes = f->set.job_memory_bytes;
	init_from_previous(sc, prev_row);
	update_ownership(sc);
	sched_configure(&sc->sched, f->catalog, f->domains_out);
	sc->links =
		wkr_links_start(sc->term_ctx, &sc->sched, &f->wkr, f->timers,
				f->clk, &f->set.capacity, &links_ops, sc);
	sc->upkeep = sc->shard == SHARD_CTL_UPKEEP_SHARD
			     ? upkeep_runner_start(sc->term_ctx, f, &sc->sched,
						   sc->shard, sc->sched.epoch)
			     : NULL;
	sc->tick_timer = tmr_after(f->timers, SHARD_CTL_TICK_MS, on_tick, sc);
	shard_ctl_load(sc);
}

static void on_releasing(void *priv)
{
	struct shard_ctl *sc = priv;

	sc->releasing = true;
	sc->released_ms = mono_ms(sc);
	wkr_links_quiesce(sc->links);
}

static void on_lost(void *priv)
{
	struct shard_ctl *sc = priv;

	sc->is_owner = false;
	sc->active = false;
	TALLOC_FREE(sc->place_timer);
	TALLOC_FREE(sc->tick_timer);
	sc->f->directory.ops->subscribe(sc->f->directory.self, false);
	TALLOC_FREE(sc->term_ctx);
	if (sc->f->relay_client)
		relay_client_disable(sc->f->relay_client);
	sc->links = NULL;
	shard_ctl_drop_ahead(sc);
	sched_finish(&sc->sched);
	json_decref(sc->handover);
	g_hash_table_destroy(sc->loaded_progress);
	g_ptr_array_free(sc->row_texts, TRUE);
	g_ptr_array_free(sc->removed_ids, TRUE);
	g_hash_table_destroy(sc->refusals);
}

static const struct owner_ops owner_ops = {
	.gained = on_gained,
	.releasing = on_releasing,
	.lost = on_lost,
	.collect = shard_ctl_collect,
	.committed = shard_ctl_committed,
	.fill_row = shard_ctl_fill_row,
	.get_handover = shard_ctl_handover,
	.named = shard_ctl_named,
};

struct shard_ctl *shard_ctl_start(struct fleet *f, int32_t shard)
{
	struct shard_ctl *sc = talloc_zero(f->ev, struct shard_ctl);

	sc->f = f;
	sc->shard = shard;
	sc->owner =
		owner_start(sc, &f->rows, f->timers, f->clk, shard, f->set.vm,
			    f->set.incarnation, &f->set.owner, &owner_ops, sc);
	return sc;
}

void shard_ctl_release(struct shard_ctl *sc, int64_t successor_wait_ms)
{
	owner_release(sc->owner, successor_wait_ms);
}

bool shard_ctl_is_released(const struct shard_ctl *sc)
{
	return !sc->is_owner;
}

void shard_ctl_configure(struct shard_ctl *sc)
{
	if (!sc->is_owner)
		return;
	sched_configure(&sc->sched, sc->f->catalog, sc->f->domains_out);
	shard_ctl_maybe_activate(sc);
	shard_ctl_place_soon(sc);
}

void shard_ctl_worker_listed(struct shard_ctl *sc,
			     const struct sched_worker_row *row)
{
	if (!sc->is_owner) {
		shard_ctl_ahead_listed(sc, row);
		return;
	}
	sched_worker_listed(&sc->sched, row, mono_ms(sc));
	shard_ctl_place_soon(sc);
}

void shard_ctl_worker_unlisted(struct shard_ctl *sc, const char *id)
{
	if (sc->is_owner)
		sched_worker_unlisted(&sc->sched, id, mono_ms(sc));
	else
		shard_ctl_ahead_unlisted(sc, id);
}

void shard_ctl_workers_synced(struct shard_ctl *sc)
{
	if (!sc->is_owner) {
		shard_ctl_ahead_list_synced(sc);
		return;
	}
	sc->workers_synced = true;
	shard_ctl_maybe_activate(sc);
}

const struct owner_row *shard_ctl_owner_row(const struct shard_ctl *sc,
					    int64_t *changed_ms)
{
	return owner_last_row(sc->owner, changed_ms);
}

int64_t shard_ctl_pending_age_ms(const struct shard_ctl *sc)
{
	return owner_pending_age_ms(sc->owner);
}

const struct sched *shard_ctl_sched(const struct shard_ctl *sc)
{
	return sc->is_owner && sc->active ? &sc->sched : NULL;
}

const struct wkr_links_counts *shard_ctl_wkr_counts(const struct shard_ctl *sc)
{
	return sc->is_owner ? wkr_links_counts(sc->links) : NULL;
}

struct upkeep_runner *shard_ctl_upkeep(const struct shard_ctl *sc)
{
	return sc->is_owner ? sc->upkeep : NULL;
}

void shard_ctl_waves_changed(struct shard_ctl *sc)
{
	if (sc->is_owner && sc->upkeep)
		upkeep_runner_waves_changed(sc->upkeep);
}
