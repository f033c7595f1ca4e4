/* One shard: takes it over, loads its rows, schedules, writes what changed. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/log.h"
#include "fleet/lead_int.h"

/* Events within this time, in ms, are answered by one pass of placement. */
#define PLACE_GAP_MS 10
/* After a pass that took long, this many times as long goes to other work. */
#define PLACE_REST 3
/* An owner whose turns are late by this much, in ms, as a moving mean over so
 * many of them, gives its shard up and rests, in ms: orders and renewals would
 * come late too, and leases lapse. */
#define LATE_MAX_MS 250
#define LATE_WEIGHT_DIVISOR 16
#define YIELD_REST_MS 15000
const char *lead_jobs_table(int32_t shard, char buf[LEAD_NAME_MAX])
{
	snprintf(buf, LEAD_NAME_MAX, "jobs%d", shard);
	return buf;
}

int32_t lead_job_part_of(const char *job_id)
{
	return (int32_t)(XXH64(job_id, strlen(job_id), 2) % LEAD_JOB_PARTS);
}

const char *lead_job_part(int32_t shard, int32_t part, char buf[LEAD_NAME_MAX])
{
	snprintf(buf, LEAD_NAME_MAX, "j%d-%d", shard, part);
	return buf;
}

const char *lead_job_parts(int32_t shard, char buf[LEAD_NAME_MAX])
{
	snprintf(buf, LEAD_NAME_MAX, "j%d-", shard);
	return buf;
}

const char *lead_state_part(int32_t shard, char buf[LEAD_NAME_MAX])
{
	snprintf(buf, LEAD_NAME_MAX, "s%d", shard);
	return buf;
}

static int64_t mono(const struct lead *l)
{
	return clk_mono_ms(l->f->clk);
}

static int64_t wall(const struct lead *l)
{
	return clk_wall_ms(l->f->clk);
}

static void set_trust(struct lead *l)
{
	const struct fleet_settings *set = &l->f->set;
	int64_t silence = set->owner.silence_ms;
	int64_t age = owner_confirm_age_ms(l->owner);
	enum sched_trust trust = SCHED_IN_DOUBT;

	if (age < silence * OWNER_CERTAIN_PERCENT / 100)
		trust = SCHED_SURE;
	else if (age >= silence + set->sched.doubt_max_ms)
		trust = SCHED_GIVEN_UP;
	if (trust != l->sched.trust)
		log_event(LOG_TRUST, "shard=%d trust=%d confirm_age_ms=%lld",
			  l->shard, trust, (long long)age);
	l->sched.trust = trust;
	l->sched.renew_until_ms =
		mono(l) - age + silence + set->sched.doubt_max_ms;
	l->sched.start_before_version = owner_version(l->owner);
}

static void place_due(void *priv)
{
	struct lead *l = priv;
	int64_t began = mono(l);

	l->place_timer = NULL;
	if (!l->opened || l->releasing)
		return;
	set_trust(l);
	sched_place(&l->sched, began);
	l->place_took_ms = mono(l) - began;
	if (l->sched.touched.length)
		owner_request_commit(l->owner);
}

void lead_place_soon(struct lead *l)
{
	int64_t pause_ms = PLACE_GAP_MS + l->place_took_ms * PLACE_REST;

	if (!l->place_timer)
		l->place_timer =
			tmr_after(l->f->timers, pause_ms, place_due, l);
}

static void on_news(void *priv)
{
	struct lead *l = priv;
	GHashTableIter it;
	gpointer value;

	lead_place_soon(l);
	if (l->sched.touched.length) {
		owner_request_commit(l->owner);
		return;
	}
	/* Ends that change nothing need no row before they are forgotten. */
	g_hash_table_iter_init(&it, l->sched.workers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sched_worker *w = value;

		if (w->seen_seq > w->durable_seq) {
			owner_request_commit(l->owner);
			return;
		}
	}
}

static const struct links_ops links_ops = { .news = on_news };

static void do_start(void *priv, struct sched_run *run,
		     const struct sched_ref *ref)
{
	struct lead *l = priv;

	links_start_task(l->links, run->worker->row.id, ref);
}

static void do_stop(void *priv, struct sched_run *run,
		    const struct sched_ref *ref)
{
	struct lead *l = priv;

	links_stop_task(l->links, run->worker->row.id, ref);
}

static void do_pace(void *priv, struct sched_run *run,
		    const struct sched_ref *ref, int32_t percent)
{
	struct lead *l = priv;

	links_pace_task(l->links, run->worker->row.id, ref, percent);
}

static void do_look(void *priv, struct sched_worker *w)
{
	struct lead *l = priv;

	links_look(l->links, w);
}

static void on_advised(const char *const *ids, const char *const *tickets,
		       int32_t n, int64_t valid_ms, void *priv);

/* A question to the policy service; it may be answered after we step down. */
struct question {
	struct fleet *f;
	int32_t shard;
	int64_t epoch;
	struct sched_ref step;
};

static void do_advise(void *priv, struct sched_step *step,
		      const char *const *ids, int32_t n)
{
	struct lead *l = priv;
	struct question *q = calloc(1, sizeof(*q));

	q->f = l->f;
	q->shard = l->shard;
	q->epoch = l->sched.epoch;
	snprintf(q->step.job, sizeof(q->step.job), "%s",
		 step->round->job->spec->id);
	q->step.round = step->round->number;
	q->step.step = step->index;
	l->f->wkr.ops->advise(l->f->wkr.self, &q->step, ids, n, on_advised, q);
}

static void on_advised(const char *const *ids, const char *const *tickets,
		       int32_t n, int64_t valid_ms, void *priv)
{
	struct question *q = priv;
	struct lead *l = q->f->leads[q->shard];

	if (l->leading && l->sched.epoch == q->epoch) {
		log_event(LOG_ADVICE,
			  "task=%s.%lld.%d allowed=%d valid_ms=%lld",
			  q->step.job, (long long)q->step.round, q->step.step,
			  n, (long long)valid_ms);
		sched_advised(&l->sched, &q->step, ids, tickets, n, valid_ms,
			      mono(l));
		lead_place_soon(l);
	}
	free(q);
}

static void do_note(void *priv, const char *what, const struct sched_ref *ref,
		    const struct sched_worker *w, const char *detail)
{
	struct lead *l = priv;
	/* Decisions about whole workers tell of a recovery. */
	struct log_about about = { w ? w->row.id : "-", what, !ref };
	char task[64] = "-";

	if (ref)
		snprintf(task, sizeof(task), "%s.%lld.%d.%d#%d", ref->job,
			 (long long)ref->round, ref->step, ref->index,
			 ref->run);
	log_decision(LOG_TASK, &about,
		     "what=\"%s\" task=%s worker=%s why=\"%s\" epoch=%lld "
		     "answer_age_ms=%lld config=%lld",
		     what, task, about.who, detail, (long long)l->sched.epoch,
		     w ? (long long)(mono(l) - w->last_answer_ms) : -1LL,
		     l->f->catalog ? (long long)l->f->catalog->version : -1LL);
}

static const struct sched_ops sched_ops = {
	.start = do_start,
	.stop = do_stop,
	.pace = do_pace,
	.look = do_look,
	.advise = do_advise,
	.note = do_note,
};

/* Turns of the loop that come late on the average mean too little processor. */
static bool is_overloaded(struct lead *l, int64_t now)
{
	int64_t late = now - l->ticked_ms - LEAD_TICK_MS;

	l->ticked_ms = now;
	l->late_ms += (late - l->late_ms) / LATE_WEIGHT_DIVISOR;
	return l->opened && l->late_ms > LATE_MAX_MS;
}

static void tick(void *priv)
{
	struct lead *l = priv;
	int64_t now = mono(l);

	l->tick_timer = tmr_after(l->f->timers, LEAD_TICK_MS, tick, l);
	if (is_overloaded(l, now)) {
		log_event(LOG_YIELD, "shard=%d late_ms=%lld", l->shard,
			  (long long)l->late_ms);
		links_quiesce(l->links);
		owner_yield(l->owner, YIELD_REST_MS);
	}
	if (!l->opened)
		return;
	set_trust(l);
	sched_tick(&l->sched, now, wall(l));
	if (l->keep)
		keep_step(l->keep, l->sched.trust == SCHED_SURE, now);
	if (l->sched.ready.length)
		lead_place_soon(l);
	if (l->sched.touched.length || l->sched.roster_dirty ||
	    (l->keep && keep_has_news(l->keep)))
		owner_request_commit(l->owner);
	lead_clean(l, now);
}

static void take_over(struct lead *l, const struct owner_row *former)
{
	const struct fleet_settings *set = &l->f->set;
	struct sched_former of = {
		.renews_until_ms = owner_previous_renew_end_ms(l->owner),
		/* Only an owner of an older version doesn't say it. */
		.lease_ms = former->lease_ms ? former->lease_ms
					     : set->sched.lease_max_ms,
	};

	sched_take_over(&l->sched, &of);
	l->handed = NULL;
	if (former->released && former->handover)
		l->handed = json_loads(former->handover, 0, NULL);
}

static void on_gained(const struct owner_row *former, int64_t version,
		      void *priv)
{
	struct lead *l = priv;
	struct fleet *f = l->f;

	l->leading = true;
	l->roster_read = false;
	l->roster_next = NULL;
	l->loaded = false;
	l->workers_synced = false;
	l->opened = false;
	l->releasing = false;
	l->term = talloc_new(f->ev);
	l->gained_version = version;
	l->progress = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)json_decref);
	l->progress_next = NULL;
	l->cleaned_ms = mono(l);
	l->cleaning = false;
	l->ticked_ms = mono(l);
	l->late_ms = 0;
	l->learned_ms = mono(l);
	l->learned = 0;
	l->texts = g_ptr_array_new_with_free_func(free);
	l->dropped = g_ptr_array_new();
	sched_init(&l->sched, &sched_ops, l, &f->set.sched,
		   owner_epoch(l->owner), mono(l));
	take_over(l, former);
	set_trust(l);
	sched_configure(&l->sched, f->catalog, f->domains_out);
	l->links = links_start(l->term, &l->sched, &f->wkr, f->timers, f->clk,
			       &links_ops, l);
	l->keep = l->shard == LEAD_KEEP_SHARD
			  ? keep_start(l->term, f, &l->sched, l->shard,
				       l->sched.epoch)
			  : NULL;
	l->tick_timer = tmr_after(f->timers, LEAD_TICK_MS, tick, l);
	f->directory.ops->follow(f->directory.self, true);
	lead_load(l);
}

static void on_releasing(void *priv)
{
	struct lead *l = priv;

	l->releasing = true;
	links_quiesce(l->links);
}

static void on_lost(void *priv)
{
	struct lead *l = priv;

	l->leading = false;
	l->opened = false;
	TALLOC_FREE(l->place_timer);
	TALLOC_FREE(l->tick_timer);
	l->f->directory.ops->follow(l->f->directory.self, false);
	TALLOC_FREE(l->term);
	l->links = NULL;
	l->jobs = NULL;
	sched_finish(&l->sched);
	json_decref(l->handed);
	g_hash_table_destroy(l->progress);
	g_ptr_array_free(l->texts, TRUE);
	g_ptr_array_free(l->dropped, TRUE);
}

static const struct owner_ops owner_ops = {
	.gained = on_gained,
	.releasing = on_releasing,
	.lost = on_lost,
	.collect = lead_collect,
	.committed = lead_committed,
	.fill_row = lead_fill,
	.get_handover = lead_hand_over,
};

struct lead *lead_start(struct fleet *f, int32_t shard)
{
	struct lead *l = talloc_zero(f->ev, struct lead);

	l->f = f;
	l->shard = shard;
	l->owner = owner_start(l, &f->rows, f->timers, f->clk, shard, f->set.vm,
			       f->set.life, &f->set.owner, &owner_ops, l);
	return l;
}

void lead_release(struct lead *l, int64_t hold_ms)
{
	owner_release(l->owner, hold_ms);
}

bool lead_released(const struct lead *l)
{
	return !l->leading;
}

void lead_configure(struct lead *l)
{
	if (!l->leading)
		return;
	sched_configure(&l->sched, l->f->catalog, l->f->domains_out);
	lead_maybe_open(l);
	lead_place_soon(l);
}

void lead_worker_seen(struct lead *l, const struct sched_worker_row *row)
{
	if (!l->leading)
		return;
	sched_worker_seen(&l->sched, row, mono(l));
	lead_place_soon(l);
}

void lead_worker_gone(struct lead *l, const char *id)
{
	if (l->leading)
		sched_worker_gone(&l->sched, id, mono(l));
}

void lead_workers_synced(struct lead *l)
{
	if (!l->leading)
		return;
	l->workers_synced = true;
	lead_maybe_open(l);
}

const struct owner_row *lead_owner_row(const struct lead *l,
				       int64_t *changed_ms)
{
	return owner_last_row(l->owner, changed_ms);
}

const struct sched *lead_sched(const struct lead *l)
{
	return l->leading && l->opened ? &l->sched : NULL;
}

const struct links_counts *lead_links_counts(const struct lead *l)
{
	return l->leading ? links_counts(l->links) : NULL;
}

struct keep *lead_keep(const struct lead *l)
{
	return l->leading ? l->keep : NULL;
}

void lead_waves_changed(struct lead *l)
{
	if (l->leading && l->keep)
		keep_waves_changed(l->keep);
}
