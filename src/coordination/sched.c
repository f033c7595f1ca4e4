/* Scheduler of one shard: set-up, the workers and their leases, and the
 * periodic tick. */
#include "coordination/sched.h"

#include <string.h>
#include <talloc.h>

#include "coordination/sched_int.h"

/* Fence tokens per epoch for one worker; the next epoch starts above them. */
#define FENCES_PER_EPOCH 65536
/* A worker's clock may run this much too slow, in thousandths. The platform
 * documents 2%. */
#define CLOCK_SLOW_MAX_MILLI 20
/* Covers the delay of timers and of the report with the worker's clock. */
#define LEASE_EXPIRY_MARGIN_MS 200
/* A stop command is sent again this long after the time that a stop takes:
 * twice the longest round trip. */
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
	s->prev_owner = (struct sched_prev_owner){
		.renews_until_ms = now_ms + lim->in_doubt_max_ms,
		.lease_ms = lim->lease_ms,
	};
	s->start_before_version = INT64_MAX;
	s->renew_until_ms = INT64_MAX;
	s->start_room = (struct sched_start_room){ INT64_MAX, INT64_MAX };
	s->rank_policy = &sched_rank_by_share;
	s->sweep = 1;
	s->mean_work =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->demands =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	interfere_init(&s->interfere);
	sched_org_init(s);
	org_caps_init(&s->caps, epoch > 1);
	run_times_init(&s->run_times);
	s->queues = g_hash_table_new(g_str_hash, g_str_equal);
	s->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	s->queued =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->workers = g_hash_table_new(g_str_hash, g_str_equal);
	s->worker_list = g_ptr_array_new();
	g_queue_init(&s->ready_steps);
	g_queue_init(&s->dirty_jobs);
	g_queue_init(&s->committing_jobs);
	g_queue_init(&s->lost_workers);
	g_queue_init(&s->given_up);
}

static void free_worker(struct sched *s, struct sched_worker *w)
{
	sched_roster_mark_dirty(s, w);
	sched_org_worker_ended(s, w);
	/* If the worker comes back, it refuses commands with lower tokens. */
	s->fence_min = MAX(s->fence_min, w->fence);
	g_hash_table_remove(s->workers, w->row.id);
	g_ptr_array_remove(s->worker_list, w);
	talloc_free(w);
}

void sched_finish(struct sched *s)
{
	GList *ids = g_hash_table_get_keys(s->jobs);

	for (GList *i = ids; i; i = i->next)
		sched_job_remove(s, i->data);
	g_list_free(ids);
	sched_crash_finish(s);
	while (s->worker_list->len)
		free_worker(s, g_ptr_array_index(s->worker_list, 0));
	g_hash_table_destroy(s->mean_work);
	g_hash_table_destroy(s->demands);
	g_hash_table_destroy(s->queues);
	g_hash_table_destroy(s->jobs);
	g_hash_table_destroy(s->queued);
	g_hash_table_destroy(s->workers);
	g_ptr_array_free(s->worker_list, TRUE);
	interfere_finish(&s->interfere);
	org_caps_finish(&s->caps);
	sched_org_finish(s);
	run_times_finish(&s->run_times);
}

static void index_queues(struct sched *s)
{
	const struct catalog *c = s->catalog;

	g_hash_table_remove_all(s->queues);
	/* Of several queues of one name, the first one counts. */
	for (int32_t i = c ? c->n_queues : 0; i > 0; i--) {
		struct catalog_queue *q = &c->queues[i - 1];

		g_hash_table_insert(s->queues, q->name, q);
	}
}

void sched_configure(struct sched *s, const struct catalog *catalog,
		     GHashTable *domains_out)
{
	GHashTableIter it;
	gpointer value;

	s->catalog = catalog;
	s->domains_out = domains_out;
	index_queues(s);
	org_accounts_configure(&s->orgs, catalog ? catalog->orgs : NULL,
			       catalog ? catalog->n_orgs : 0);
	s->check_attempts = true;
	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sched_job *job = value;

		job->queue = g_hash_table_lookup(s->queues, job->spec->queue);
	}
}

static void drop_lost_run(struct sched *s, struct sched_run *run)
{
	struct sched_job *job = run->task->step->round->job;

	s->counts.lease_expired++;
	if (!sched_job_has_ended(job))
		sched_mark_dirty(s, job);
	sched_run_free(s, run);
}

/*
 * Runs that the old incarnation reported have ended with it. The start command
 * of any other run may have reached the new incarnation, whose first report
 * under a higher fence token shows it.
 */
static void end_old_incarnation(struct sched *s, struct sched_worker *w)
{
	GList *next;

	if (w->runs.length)
		s->ops->log_decision(s->priv, "worker lost", NULL, w,
				     "worker process restarted");
	for (GList *i = w->runs.head; i; i = next) {
		struct sched_run *run = i->data;

		next = i->next;
		if (run->reported) {
			drop_lost_run(s, run);
			continue;
		}
		run->state = SCHED_RUN_UNCERTAIN;
		run->fence = w->fence;
	}
}

static void start_incarnation(struct sched *s, struct sched_worker *w,
			      bool was_leaving, int64_t now_ms)
{
	if (!was_leaving)
		sched_crash_worker_restarted(s, w, now_ms);
	end_old_incarnation(s, w);
	sched_note_restart(s, w, now_ms);
	/* For the new birth. */
	sched_roster_mark_dirty(s, w);
	w->inherited_runs_known |= w->reconciled;
	w->reconciled = false;
	w->foreign_runs = 0;
	w->unopened_runs = 0;
	sched_org_worker_restarted(s, w, now_ms);
	w->seen_seq = 0;
	w->durable_seq = 0;
	w->commit_seq = 0;
	w->acked_seq = 0;
	w->clock_ms = 0;
	w->clock_seen_ms = 0;
	w->lease_end_clock_ms = 0;
	sched_forget_failures(w);
	w->quarantine_until_ms = 0;
	w->refused_until_ms = 0;
	w->evacuating = false;
	w->terminating = false;
	/* A command to the old incarnation may still be in transit. */
	w->fence++;
	s->ops->poll(s->priv, w);
}

void sched_worker_listed(struct sched *s, const struct sched_worker_row *row,
			 int64_t now_ms)
{
	struct sched_worker *w = g_hash_table_lookup(s->workers, row->id);
	bool restarted = w && w->row.born_ms && row->born_ms &&
			 w->row.born_ms < row->born_ms;
	bool was_leaving = w && (w->row.draining || w->evacuating);

	if (!w) {
		w = talloc_zero(NULL, struct sched_worker);
		w->fence = MAX(s->epoch * FENCES_PER_EPOCH, s->fence_min);
		w->index = s->worker_list->len;
		w->row = *row;
		w->created_ms = now_ms;
		w->last_answer_ms = now_ms;
		w->prev_lease_expiry_ms = s->roster_incomplete_until_ms;
		g_queue_init(&w->runs);
		g_ptr_array_add(s->worker_list, w);
		g_hash_table_insert(s->workers, w->row.id, w);
		s->ops->poll(s->priv, w);
	}
	/* The list of workers lags behind: a row of an older incarnation must
	 * not replace that of the present one. */
	if (w->row.born_ms && row->born_ms && row->born_ms < w->row.born_ms)
		return;
	if (row->draining && !w->row.draining)
		s->ops->log_decision(s->priv, "worker draining", NULL, w,
				     "the list of workers says so");
	if (strcmp(w->row.address, row->address))
		sched_roster_mark_dirty(s, w);
	w->row = *row;
	w->row_outdated = false;
	w->listed = true;
	sched_crash_worker_listed(s, w, now_ms);
	if (restarted)
		start_incarnation(s, w, was_leaving, now_ms);
}

void sched_worker_unlisted(struct sched *s, const char *id, int64_t now_ms)
{
	struct sched_worker *w = g_hash_table_lookup(s->workers, id);

	(void)now_ms;
	if (!w || !w->listed)
		return;
	w->listed = false;
	s->ops->log_decision(s->priv, "worker unlisted", NULL, w,
			     "no longer in the list of workers");
	s->ops->poll(s->priv, w);
}

bool sched_worker_has_runs(const struct sched_worker *w)
{
	return w->runs.length || w->foreign_runs;
}

bool sched_worker_needs_lease(const struct sched_worker *w)
{
	return w->runs.length || w->unopened_runs;
}

bool sched_worker_busy(const struct sched_worker *w)
{
	return !w->reconciled || sched_worker_has_runs(w) ||
	       w->seen_seq > w->durable_seq || w->unreachable;
}

/*
 * A worker that restarted under its id numbers its ends from 1 again, and must
 * not forget any that this owner hasn't read. So ends are acknowledged once,
 * and not while the worker is silent: it may be in its next incarnation.
 */
int64_t sched_seq_to_ack(const struct sched_worker *w)
{
	return w->unreachable || w->acked_seq >= w->durable_seq
		       ? 0
		       : w->durable_seq;
}

void sched_raise_fence(struct sched *s, struct sched_worker *w)
{
	w->fence++;
	s->ops->poll(s->priv, w);
}

int64_t sched_lease_bound_ms(int64_t lease_ms)
{
	return lease_ms * 1000 / (1000 - CLOCK_SLOW_MAX_MILLI) +
	       LEASE_EXPIRY_MARGIN_MS;
}

int64_t sched_lease_expiry_ms(const struct sched_worker *w)
{
	int64_t own_expiry_ms = 0;

	if (w->lease_end_clock_ms)
		own_expiry_ms = w->clock_seen_ms +
				sched_lease_bound_ms(w->lease_end_clock_ms -
						     w->clock_ms);
	own_expiry_ms = MAX(own_expiry_ms, w->long_lease_expiry_ms);
	if (w->reconciled || own_expiry_ms > w->prev_lease_expiry_ms)
		return own_expiry_ms;
	return w->prev_lease_expiry_ms;
}

int64_t sched_lease_end(struct sched *s, struct sched_worker *w, int64_t now_ms)
{
	int64_t end;

	/* If leases of silent workers were renewed, it could never be said when
	 * they have expired. */
	if (!w->clock_seen_ms || w->unreachable ||
	    s->ownership == SCHED_OWNER_LOST || now_ms >= s->renew_until_ms)
		return 0;
	/* Assumes the slowest clock, so that no lease lasts longer than a
	 * successor assumes. */
	end = w->clock_ms +
	      (now_ms - w->clock_seen_ms) * (1000 - CLOCK_SLOW_MAX_MILLI) /
		      1000 +
	      s->lim.lease_ms;
	if (end > w->lease_end_clock_ms)
		w->lease_end_clock_ms = end;
	w->lease_sent_ms = now_ms;
	return end;
}

void sched_expire_runs(struct sched *s, struct sched_worker *w, int64_t now_ms,
		       const char *why)
{
	if (w->runs.length)
		s->ops->log_decision(s->priv, "worker lost", NULL, w, why);
	sched_crash_worker_lost(s, w, now_ms);
	while (w->runs.head)
		drop_lost_run(s, w->runs.head->data);
	sched_org_worker_ended(s, w);
	w->foreign_runs = 0;
	w->unopened_runs = 0;
	w->lease_end_clock_ms = 0;
}

void sched_worker_unanswered(struct sched *s, struct sched_worker *w,
			     int64_t now_ms)
{
	if (!w->unreachable)
		s->ops->log_decision(s->priv, "worker silent", NULL, w,
				     "no answer");
	w->unreachable = true;
	(void)now_ms;
}

static void resend_stops(struct sched *s, struct sched_worker *w,
			 int64_t now_ms)
{
	for (GList *i = w->runs.head; i; i = i->next) {
		struct sched_run *run = i->data;
		struct sched_ref ref;

		if (!run->stopping ||
		    now_ms < run->stop_sent_ms + STOP_RETRY_MS + s->lim.stop_ms)
			continue;
		run->stop_sent_ms = now_ms;
		sched_run_ref(run, &ref);
		s->ops->stop(s->priv, run, &ref);
	}
}

static void tick_worker(struct sched *s, struct sched_worker *w, int64_t now_ms)
{
	bool expired = now_ms >= sched_lease_expiry_ms(w) &&
		       s->ownership == SCHED_OWNER_CERTAIN;

	if (w->unreachable && expired) {
		sched_expire_runs(s, w, now_ms, "lease expired");
		if (!w->listed)
			free_worker(s, w);
		return;
	}
	if (!w->listed && !sched_worker_has_runs(w) && w->reconciled &&
	    w->seen_seq == w->durable_seq) {
		free_worker(s, w);
		return;
	}
	sched_drain_worker(s, w, now_ms);
	sched_roster_update(s, w);
	sched_check_long_lease(s, w, now_ms);
	resend_stops(s, w, now_ms);
}

void sched_tick(struct sched *s, int64_t now_ms, int64_t wall_ms)
{
	GHashTableIter it;
	gpointer value;

	for (guint i = s->worker_list->len; i > 0; i--)
		tick_worker(s, g_ptr_array_index(s->worker_list, i - 1),
			    now_ms);
	sched_org_check_earlier(s, now_ms);
	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sched_job *job = value;

		if (job->spec->rounds && !sched_job_has_ended(job))
			sched_create_due_rounds(s, job, now_ms, wall_ms);
	}
	sched_crash_tick(s, now_ms, wall_ms);
	sched_end_exhausted(s, now_ms, wall_ms);
	sched_check_stalls(s, now_ms);
	sched_check_waits(s, now_ms);
	sched_measure_demand(s, now_ms);
	sched_move_paused(s, now_ms);
}
