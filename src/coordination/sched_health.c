/* Health of workers: detects stalled tasks, and quarantines workers where tasks
 * stall or fail. */
#include <stdio.h>
#include <string.h>

#include "coordination/sched_int.h"

/* A worker is quarantined after failures of this many different jobs in a row.
 */
#define QUARANTINE_FAILURES 3
/* Length of the first and of the longest quarantine, in ms. Each one in a row
 * is twice as long as the one before. */
#define QUARANTINE_FIRST_MS 4000
#define QUARANTINE_MAX_MS 60000
/* Failures further apart than this, in ms, have nothing to do with each other.
 * Longer than the longest quarantine, so that the next failure counts. */
#define EVIDENCE_MAX_AGE_MS (2 * QUARANTINE_MAX_MS)
/* A task without progress is moved after this time, in ms, or this percentage
 * of its expected time, whichever is longer. */
#define STALL_MIN_MS 2500
#define STALL_PERCENT 25

void sched_forget_failures(struct sched_worker *w)
{
	w->failures_in_row = 0;
	w->last_failed_job[0] = '\0';
	w->quarantine_ms = 0;
}

static void quarantine(struct sched *s, struct sched_worker *w,
		       const struct sched_ref *ref, const char *why,
		       int64_t now_ms)
{
	char text[80];

	w->quarantine_ms =
		w->quarantine_ms ? w->quarantine_ms * 2 : QUARANTINE_FIRST_MS;
	if (w->quarantine_ms > QUARANTINE_MAX_MS)
		w->quarantine_ms = QUARANTINE_MAX_MS;
	w->quarantined_ms = now_ms;
	w->quarantine_until_ms = now_ms + w->quarantine_ms;
	snprintf(text, sizeof(text), "%s; for_ms=%lld", why,
		 (long long)w->quarantine_ms);
	s->ops->log_decision(s->priv, "quarantine", ref, w, text);
}

/*
 * Returns whether the failure of the run shows that the worker is bad now. A
 * worker that was out of reach reports all ends of that time at once; those of
 * runs that were given up, or began before the last quarantine, are old news.
 */
static bool is_fresh_evidence(const struct sched_worker *w,
			      const struct sched_run *run)
{
	return run &&
	       (!w->quarantine_ms || run->created_ms > w->quarantined_ms);
}

/* Failures of one job only are attributed to the job, those of several jobs to
 * the worker. */
void sched_record_result(struct sched *s, struct sched_worker *w,
			 const struct sched_ref *ref,
			 const struct sched_run *run, bool failed,
			 int64_t now_ms)
{
	if (!failed || now_ms - w->failed_ms > EVIDENCE_MAX_AGE_MS)
		sched_forget_failures(w);
	if (!failed)
		return;
	w->failed_ms = now_ms;
	if (!is_fresh_evidence(w, run) || !strcmp(w->last_failed_job, ref->job))
		return;
	snprintf(w->last_failed_job, sizeof(w->last_failed_job), "%s",
		 ref->job);
	if (++w->failures_in_row < QUARANTINE_FAILURES)
		return;
	quarantine(s, w, ref, "tasks of several jobs failed", now_ms);
}

int32_t sched_count_quarantined(const struct sched *s, int64_t now_ms)
{
	int32_t n = 0;

	for (guint i = 0; i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);

		n += now_ms < w->quarantine_until_ms;
	}
	return n;
}

static bool is_stalled(const struct sched_run *run, int64_t now_ms)
{
	const struct jobspec_step *def = run->task->step->def;
	int64_t limit = def->expected_ms * STALL_PERCENT / 100;

	if (run->state != SCHED_RUN_ACTIVE || run->stopping || def->gang ||
	    def->is_long_running || run->pace < 100)
		return false;
	if (limit < STALL_MIN_MS)
		limit = STALL_MIN_MS;
	return now_ms - run->progressed_ms > limit;
}

void sched_check_stalls(struct sched *s, int64_t now_ms)
{
	for (guint k = 0; k < s->worker_list->len; k++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, k);
		int32_t n = 0;

		for (GList *i = w->runs.head; i; i = i->next)
			n += is_stalled(i->data, now_ms);
		if (!n || w->unreachable)
			continue;
		for (GList *i = w->runs.head; i; i = i->next) {
			if (!is_stalled(i->data, now_ms))
				continue;
			s->counts.moved++;
			sched_run_stop(s, i->data, now_ms,
				       "task makes no progress");
		}
		if (now_ms < w->quarantine_until_ms)
			continue;
		quarantine(s, w, NULL, "tasks make no progress", now_ms);
	}
}
