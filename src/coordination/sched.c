/* The scheduler of one shard: set-up, workers, leases and time. */
#include "coordination/sched.h"

#include <string.h>
#include <talloc.h>

#include "coordination/sched_int.h"

/* Tokens that one owner may use up for one worker before the next epoch's. */
#define FENCES_PER_EPOCH 65536
/* A worker's clock may run this much slow, in thousandths (platform: 2%). */
#define CLOCK_SLOW_MILLI 20
/* Delay of timers and of the answer that showed the worker's clock. */
#define LAPSE_SLACK_MS 200
/* An order to stop is repeated after this; twice the longest round trip. */
#define STOP_RETRY_MS 800

void sched_init(struct sched *s, const struct sched_ops *ops, void *priv,
		const struct sched_limits *lim, int64_t epoch, int64_t now_ms)
{
	memset(s, 0, sizeof(*s));
	s->ops = ops;
	s->priv = priv;
	s->lim = *lim;
	s->epoch = epoch;
	s->taken_over_ms = now_ms;
	s->former = (struct sched_former){
		.renews_until_ms = now_ms + lim->doubt_max_ms,
		.lease_ms = lim->lease_ms,
	};
	s->start_before_version = INT64_MAX;
	s->renew_until_ms = INT64_MAX;
	s->order = &sched_order_value;
	s->mean_work =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	interfere_init(&s->interfere);
	s->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	s->workers = g_hash_table_new(g_str_hash, g_str_equal);
	s->worker_list = g_ptr_array_new();
	g_queue_init(&s->ready);
	g_queue_init(&s->touched);
}

static void free_worker(struct sched *s, struct sched_worker *w)
{
	sched_roster_changed(s, w);
	/* It may come back, and does nothing for a lower token. */
	s->fence_min = MAX(s->fence_min, w->fence);
	g_hash_table_remove(s->workers, w->row.id);
	g_ptr_array_remove(s->worker_list, w);
	talloc_free(w);
}

void sched_finish(struct sched *s)
{
	GList *ids = g_hash_table_get_keys(s->jobs);

	for (GList *i = ids; i; i = i->next)
		sched_job_drop(s, i->data);
	g_list_free(ids);
	while (s->worker_list->len)
		free_worker(s, g_ptr_array_index(s->worker_list, 0));
	g_hash_table_destroy(s->mean_work);
	g_hash_table_destroy(s->jobs);
	g_hash_table_destroy(s->workers);
	g_ptr_array_free(s->worker_list, TRUE);
	interfere_finish(&s->interfere);
}

void sched_configure(struct sched *s, const struct catalog *catalog,
		     GHashTable *domains_out)
{
	GHashTableIter it;
	gpointer value;

	s->catalog = catalog;
	s->domains_out = domains_out;
	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sched_job *job = value;

		job->queue = catalog_find_queue(catalog, job->spec->queue);
	}
}

static void lose_run(struct sched *s, struct sched_run *run)
{
	struct sched_job *job = run->task->step->round->job;

	s->counts.lapsed++;
	if (!sched_job_over(job))
		sched_touch(s, job);
	sched_run_free(s, run);
}

/*
 * What the old life listed has ended with it. An order that it never listed may
 * have reached the new one; its first look under a higher token tells.
 */
static void end_old_life(struct sched *s, struct sched_worker *w,
			 int64_t now_ms)
{
	GList *next;

	if (w->runs.length)
		s->ops->note(s->priv, "worker lost", NULL, w,
			     "worker started anew");
	for (GList *i = w->runs.head; i; i = next) {
		struct sched_run *run = i->data;

		next = i->next;
		if (run->listed) {
			lose_run(s, run);
			continue;
		}
		run->state = SCHED_RUN_UNSURE;
		run->fence = w->fence;
	}
	if (w->runs.length)
		w->former_lapse_ms =
			MAX(w->former_lapse_ms,
			    now_ms + sched_lease_lasts_ms(s->lim.lease_max_ms));
}

static void new_life(struct sched *s, struct sched_worker *w, int64_t now_ms)
{
	end_old_life(s, w, now_ms);
	w->runs_known |= w->known;
	w->known = false;
	w->reborn = true;
	w->seen_seq = 0;
	w->durable_seq = 0;
	w->commit_seq = 0;
	w->clock_ms = 0;
	w->clock_seen_ms = 0;
	w->lease_end_clock_ms = 0;
	w->failures_in_row = 0;
	w->quarantine_until_ms = 0;
	w->full_until_ms = 0;
	w->emptied = false;
	/* An order to the former life may still be on its way. */
	w->fence++;
	s->ops->look(s->priv, w);
}

void sched_worker_seen(struct sched *s, const struct sched_worker_row *row,
		       int64_t now_ms)
{
	struct sched_worker *w = g_hash_table_lookup(s->workers, row->id);
	bool reborn = w && w->row.born_ms && row->born_ms &&
		      w->row.born_ms < row->born_ms;

	if (!w) {
		w = talloc_zero(NULL, struct sched_worker);
		w->fence = MAX(s->epoch * FENCES_PER_EPOCH, s->fence_min);
		w->index = s->worker_list->len;
		w->row = *row;
		w->last_answer_ms = now_ms;
		w->former_lapse_ms = sched_former_lapse_ms(s);
		w->on_roster = true;
		g_queue_init(&w->runs);
		g_ptr_array_add(s->worker_list, w);
		g_hash_table_insert(s->workers, w->row.id, w);
		sched_roster_changed(s, w);
		s->ops->look(s->priv, w);
	}
	/* The list lags: a former life's row must not undo the new one. */
	if (w->row.born_ms && row->born_ms && row->born_ms < w->row.born_ms)
		return;
	if (row->draining && !w->row.draining)
		s->ops->note(s->priv, "worker draining", NULL, w, "listed so");
	if (strcmp(w->row.address, row->address))
		sched_roster_changed(s, w);
	w->row = *row;
	w->listed = true;
	if (reborn)
		new_life(s, w, now_ms);
}

void sched_worker_gone(struct sched *s, const char *id, int64_t now_ms)
{
	struct sched_worker *w = g_hash_table_lookup(s->workers, id);

	(void)now_ms;
	if (!w || !w->listed)
		return;
	w->listed = false;
	s->ops->note(s->priv, "worker unlisted", NULL, w, "left the list");
	s->ops->look(s->priv, w);
}

bool sched_worker_busy(const struct sched_worker *w)
{
	return !w->known || w->runs.length || w->seen_seq > w->durable_seq ||
	       w->unreachable;
}

void sched_raise_fence(struct sched *s, struct sched_worker *w)
{
	w->fence++;
	s->ops->look(s->priv, w);
}

int64_t sched_lease_lasts_ms(int64_t lease_ms)
{
	return lease_ms * 1000 / (1000 - CLOCK_SLOW_MILLI) + LAPSE_SLACK_MS;
}

int64_t sched_lapse_ms(const struct sched_worker *w)
{
	int64_t ours = 0;

	if (w->lease_end_clock_ms)
		ours = w->clock_seen_ms +
		       sched_lease_lasts_ms(w->lease_end_clock_ms -
					    w->clock_ms);
	if (w->known || ours > w->former_lapse_ms)
		return ours;
	return w->former_lapse_ms;
}

int64_t sched_lease_end(struct sched *s, struct sched_worker *w, int64_t now_ms)
{
	int64_t end;

	/* A lease that is renewed blindly would never be known to have ended.
	 */
	if (!w->clock_seen_ms || w->unreachable || s->trust == SCHED_GIVEN_UP ||
	    now_ms >= s->renew_until_ms)
		return 0;
	/* Its clock at the least: no lease is longer than successors reckon. */
	end = w->clock_ms +
	      (now_ms - w->clock_seen_ms) * (1000 - CLOCK_SLOW_MILLI) / 1000 +
	      s->lim.lease_ms;
	if (end > w->lease_end_clock_ms)
		w->lease_end_clock_ms = end;
	return end;
}

void sched_worker_lapsed(struct sched *s, struct sched_worker *w,
			 int64_t now_ms, const char *why)
{
	(void)now_ms;
	if (w->runs.length)
		s->ops->note(s->priv, "worker lost", NULL, w, why);
	while (w->runs.head)
		lose_run(s, w->runs.head->data);
	w->lease_end_clock_ms = 0;
}

void sched_unanswered(struct sched *s, struct sched_worker *w, int64_t now_ms)
{
	if (!w->unreachable)
		s->ops->note(s->priv, "worker silent", NULL, w, "no answer");
	w->unreachable = true;
	(void)now_ms;
}

static void repeat_stops(struct sched *s, struct sched_worker *w,
			 int64_t now_ms)
{
	for (GList *i = w->runs.head; i; i = i->next) {
		struct sched_run *run = i->data;
		struct sched_ref ref;

		if (!run->stopping ||
		    now_ms < run->stop_sent_ms + STOP_RETRY_MS + s->lim.stop_ms)
			continue;
		run->stop_sent_ms = now_ms;
		sched_ref_of(run, &ref);
		s->ops->stop(s->priv, run, &ref);
	}
}

static void tick_worker(struct sched *s, struct sched_worker *w, int64_t now_ms)
{
	bool lapsed = now_ms >= sched_lapse_ms(w) && s->trust == SCHED_SURE;

	if (w->unreachable && lapsed) {
		sched_worker_lapsed(s, w, now_ms, "lease ran out");
		if (!w->listed)
			free_worker(s, w);
		return;
	}
	if (!w->listed && !w->runs.length && w->known &&
	    w->seen_seq == w->durable_seq) {
		free_worker(s, w);
		return;
	}
	sched_leave(s, w, now_ms);
	sched_roster_check(s, w);
	repeat_stops(s, w, now_ms);
}

void sched_tick(struct sched *s, int64_t now_ms, int64_t wall_ms)
{
	GHashTableIter it;
	gpointer value;

	for (guint i = s->worker_list->len; i > 0; i--)
		tick_worker(s, g_ptr_array_index(s->worker_list, i - 1),
			    now_ms);
	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sched_job *job = value;

		if (job->spec->rounds && !sched_job_over(job))
			sched_make_rounds(s, job, now_ms, wall_ms);
	}
	sched_watch(s, now_ms);
	sched_move_paused(s, now_ms);
}
