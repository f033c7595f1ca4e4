/* Checks the users' rules against what callers and workers reported. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/soak.h"

/* Fence tokens of one epoch, see coordination/sched.c. */
#define FENCES_PER_EPOCH 65536
#define TASK_MAX 64

void sk_report_violation(struct sk *k, const char *rule, const char *subject,
			 const char *fmt, ...)
{
	char *key = g_strdup_printf("%s %s", rule, subject);
	va_list ap;

	if (g_hash_table_contains(k->reported, key)) {
		g_free(key);
		return;
	}
	g_hash_table_add(k->reported, key);
	k->n_violations++;
	printf("seed %u: %s %s, at %lld (log %lld): ", k->seed, rule, subject,
	       (long long)(hx_now_ms() - k->begin_ms), (long long)hx_now_ms());
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
	fflush(stdout);
}

int32_t sk_disruption_begin(struct sk *k, int32_t scope)
{
	struct sk_disruption s = { scope, hx_now_ms(), INT64_MAX };

	g_array_append_val(k->disruptions, s);
	return (int32_t)k->disruptions->len - 1;
}

void sk_disruption_end(struct sk *k, int32_t disruption)
{
	g_array_index(k->disruptions, struct sk_disruption, disruption).to_ms =
		hx_now_ms();
}

/* Does `s` overlap the `for_ms` before `at_ms`? */
static bool overlaps(const struct sk_disruption *s, int64_t at_ms,
		     int64_t for_ms)
{
	return s->from_ms <= at_ms && s->to_ms > at_ms - for_ms;
}

bool sk_is_calm(const struct sk *k, int64_t at_ms, int64_t for_ms)
{
	for (guint i = 0; i < k->disruptions->len; i++) {
		if (overlaps(&g_array_index(k->disruptions,
					    struct sk_disruption, i),
			     at_ms, for_ms))
			return false;
	}
	return true;
}

static bool is_disrupted(const struct sk *k, int32_t scope, int64_t at_ms)
{
	for (guint i = 0; i < k->disruptions->len; i++) {
		const struct sk_disruption *s =
			&g_array_index(k->disruptions, struct sk_disruption, i);

		if (s->scope == scope && overlaps(s, at_ms, SK_STABLE_MS))
			return true;
	}
	return false;
}

bool sk_is_connected(const struct sk *k, int vm, int64_t at_ms)
{
	return !is_disrupted(k, vm, at_ms) &&
	       !is_disrupted(k, SK_STORE, at_ms) &&
	       !is_disrupted(k, SK_ALL_VMS, at_ms);
}

bool sk_was_connected(const struct sk *k, const struct sk_query *q)
{
	return sk_is_connected(k, q->vm, q->asked_ms) &&
	       sk_is_connected(k, q->vm, q->answered_ms);
}

int32_t sk_worker_number(const char *id)
{
	return atoi(id + strcspn(id, "0123456789"));
}

bool sk_is_timely(const struct sk *k, const struct sk_run *r)
{
	int vm = hf_owner(&k->fleet, (long)(r->fence / FENCES_PER_EPOCH));
	int32_t link = SK_LINKS - sk_worker_number(r->worker);

	return !r->is_delayed && !is_disrupted(k, link, r->start_ms) &&
	       vm >= 0 && sk_is_connected(k, vm, r->start_ms);
}

static struct sk_run *run_at(GArray *runs, guint i)
{
	return &g_array_index(runs, struct sk_run, i);
}

/* Was a run done by `until_ms`? */
static bool has_completed(GArray *runs, int64_t until_ms)
{
	for (guint i = 0; i < runs->len; i++) {
		const struct sk_run *r = run_at(runs, i);

		if (!strcmp(r->outcome, "done") && r->end_ms <= until_ms)
			return true;
	}
	return false;
}

/* Returns the time after which no further run may start; 0: none yet. A task
 * is final once a run is done or SK_ATTEMPTS have failed, all acknowledged. */
static int64_t final_end_ms(GArray *runs)
{
	int64_t failed[SK_ATTEMPTS];
	int n = 0;

	for (guint i = 0; i < runs->len; i++) {
		const struct sk_run *r = run_at(runs, i);

		if (!r->acknowledged)
			continue;
		if (!strcmp(r->outcome, "done"))
			return r->end_ms;
		if (strcmp(r->outcome, "failed") != 0 || n == SK_ATTEMPTS)
			continue;
		failed[n++] = r->end_ms;
	}
	return n == SK_ATTEMPTS ? MAX(failed[0], MAX(failed[1], failed[2])) : 0;
}

/* Checks for starts after the final run: TWICE, or BUDGET if it failed. */
static void check_finality(struct sk *k, const struct sk_job *j, GArray *runs,
			   const char *task)
{
	int64_t end_ms = final_end_ms(runs);

	for (guint i = 0; i < runs->len && end_ms; i++) {
		const struct sk_run *r = run_at(runs, i);

		if (r->start_ms > end_ms && j->kind == SK_FAILING)
			sk_report_violation(k, "BUDGET", task,
					    "run %lld after %d failed ones",
					    (long long)r->number, SK_ATTEMPTS);
		else if (r->start_ms > end_ms && j->kind != SK_LONG_RUNNING)
			sk_report_violation(
				k, "TWICE", task,
				"run %lld at %s at %lld, done at %lld",
				(long long)r->number, r->worker,
				(long long)r->start_ms, (long long)end_ms);
	}
}

static void check_overlap(struct sk *k, GArray *runs, const char *task)
{
	const struct sk_run *last = run_at(runs, runs->len - 1);

	for (guint i = 0; i + 1 < runs->len; i++) {
		const struct sk_run *r = run_at(runs, i);

		if (!r->end_ms)
			sk_report_violation(
				k, "TWICE", task,
				"run %lld at %s since %lld, run %lld at %s "
				"at %lld",
				(long long)r->number, r->worker,
				(long long)r->start_ms, (long long)last->number,
				last->worker, (long long)last->start_ms);
	}
}

static void check_start(struct sk *k, struct sk_job *j, int index,
			const char *task, const char *spec)
{
	GArray *runs = j->task_runs[index];
	const struct sk_run *r = run_at(runs, runs->len - 1);
	int first = index - index % j->count;

	if (strcmp(spec, j->spec) != 0)
		sk_report_violation(k, "UNASKED", task,
				    "spec is \"%s\", not \"%s\"", spec,
				    j->spec);
	check_overlap(k, runs, task);
	for (int i = 0; i < first; i++) {
		if (!has_completed(j->task_runs[i], r->start_ms))
			sk_report_violation(k, "ORDER", task,
					    "task %d is not done", i);
	}
	if (j->cancelled_ms && r->start_ms > j->cancelled_ms + SK_CANCEL_MS &&
	    sk_is_timely(k, r))
		sk_report_violation(k, "UNASKED", task,
				    "started at %lld, cancelled at %lld",
				    (long long)r->start_ms,
				    (long long)j->cancelled_ms);
	if (j->done_shown_ms &&
	    r->start_ms > j->done_shown_ms + SK_DONE_VISIBLE_MS &&
	    sk_is_timely(k, r))
		sk_report_violation(k, "TWICE", task,
				    "started at %lld, reported done at %lld",
				    (long long)r->start_ms,
				    (long long)j->done_shown_ms);
}

/* Returns the job of a task by its name, ID.ROUND.STEP.INDEX, and the task's
 * index in it; NULL if no client submitted it. */
static struct sk_job *find_task(struct sk *k, const char *task, int *index)
{
	char id[20];
	int round;
	int step;
	int number;
	struct sk_job *j;

	if (sscanf(task, "%16[0-9a-f].%d.%d.%d", id, &round, &step, &number) !=
	    4)
		return NULL;
	j = g_hash_table_lookup(k->jobs_by_id, id);
	if (!j || round || step < 0 || step >= j->steps || number < 0 ||
	    number >= j->count)
		return NULL;
	*index = step * j->count + number;
	return j;
}

static void on_start(struct sk *k, const char *line, const struct sk_run *r,
		     const char *task)
{
	struct sk_run run = *r;
	char spec[SK_SPEC_MAX] = "";
	int is_delayed = 0;
	int index;
	struct sk_job *j = find_task(k, task, &index);

	k->n_starts++;
	if (!j) {
		sk_report_violation(k, "UNASKED", task,
				    "no client submitted it");
		return;
	}
	sscanf(line, "%*s %*s %*s %*s %*s %" G_GINT64_FORMAT " %d %95s",
	       &run.fence, &is_delayed, spec);
	run.is_delayed = is_delayed;
	g_array_append_val(j->task_runs[index], run);
	check_start(k, j, index, task, spec);
	check_finality(k, j, j->task_runs[index], task);
	sk_check_crashes(k, j->task_runs[index], task);
	sk_check_capacity(k, &run, task);
}

static void on_event(struct sk *k, const char *event_kind,
		     const struct sk_run *event, const char *task)
{
	int index;
	struct sk_job *j = find_task(k, task, &index);

	for (guint i = j ? j->task_runs[index]->len : 0; i > 0; i--) {
		struct sk_run *r = run_at(j->task_runs[index], i - 1);

		if (r->number != event->number ||
		    strcmp(r->worker, event->worker) != 0)
			continue;
		if (!strcmp(event_kind, "noted")) {
			r->acknowledged = true;
			check_finality(k, j, j->task_runs[index], task);
		} else if (!strcmp(event_kind, "crash")) {
			sk_set_crashed(k, r);
		} else {
			r->end_ms = event->start_ms;
			g_strlcpy(r->outcome, event_kind, sizeof(r->outcome));
		}
		return;
	}
}

static void handle_line(struct sk *k, const char *line)
{
	struct sk_run r = { 0 };
	char event_kind[16];
	char task[TASK_MAX];

	if (sscanf(line,
		   "%" G_GINT64_FORMAT " %15s %47s %63s %" G_GINT64_FORMAT,
		   &r.start_ms, event_kind, r.worker, task, &r.number) != 5)
		sk_report_violation(k, "FAULT", "log", "unusable line: %s",
				    line);
	else if (!strcmp(event_kind, "start"))
		on_start(k, line, &r, task);
	else if (!strcmp(event_kind, "shrink") || !strcmp(event_kind, "grow"))
		sk_set_capacity(k, r.worker, r.number,
				atoll(task + strlen("mem=")), r.start_ms);
	else
		on_event(k, event_kind, &r, task);
}

void sk_check_log(struct sk *k)
{
	char line[256];
	long complete_pos = ftell(k->site_log);

	while (fgets(line, sizeof(line), k->site_log) && strchr(line, '\n')) {
		handle_line(k, line);
		complete_pos = ftell(k->site_log);
	}
	/* A line that is not complete yet is read again. */
	fseek(k->site_log, complete_pos, SEEK_SET);
}

/* Returns since when task `index` has not run; INT64_MAX if it runs. */
static int64_t idle_since_ms(const struct sk_job *j, int index)
{
	GArray *runs = j->task_runs[index];
	int64_t since = j->accepted_ms;

	for (guint i = 0; i < runs->len; i++) {
		int64_t end_ms = run_at(runs, i)->end_ms;

		since = MAX(since, end_ms ? end_ms : INT64_MAX);
	}
	return since;
}

static void check_long_running(struct sk *k, struct sk_job *j, int64_t now)
{
	for (int i = 0; i < j->count; i++) {
		int64_t since = idle_since_ms(j, i);

		if (since < now - SK_LONG_RUNNING_DOWN_MS - SK_IDLE_MS &&
		    sk_is_calm(k, now, SK_IDLE_MS + SK_IDLE_CALM_MS))
			sk_report_violation(
				k, "LOST", j->id,
				"long-running task %d is down since %lld", i,
				(long long)since);
	}
}

static bool is_failed(const struct sk_job *j)
{
	for (int i = 0; i < j->steps * j->count; i++) {
		int failed = 0;

		for (guint r = 0; r < j->task_runs[i]->len; r++)
			failed += !strcmp(run_at(j->task_runs[i], r)->outcome,
					  "failed");
		if (failed >= SK_ATTEMPTS)
			return true;
	}
	return false;
}

/* Has the job ended by the runs at workers, done or failed? */
static bool is_finished(const struct sk_job *j)
{
	for (int i = 0; i < j->steps * j->count; i++) {
		if (!has_completed(j->task_runs[i], INT64_MAX))
			return is_failed(j);
	}
	return true;
}

/* After the traffic and a grace time, an unfinished job must have a running
 * task. */
static void check_unfinished(struct sk *k, struct sk_job *j, int64_t now)
{
	int64_t since = 0;

	for (int i = 0; i < j->steps * j->count; i++)
		since = MAX(since, idle_since_ms(j, i));
	/* For all that the owner knows, tasks of a worker that has crashed run
	 * until their leases expire. */
	if (k->crash_ms && now < k->crash_ms + SK_LEASE_MAX_MS + SK_IDLE_MS)
		return;
	if (k->traffic_end_ms && !j->has_ended && !is_finished(j) &&
	    now > k->traffic_end_ms + SK_FINISH_MS + SK_IDLE_MS &&
	    since < now - SK_IDLE_MS)
		sk_report_violation(k, "LOST", j->id,
				    "no task of it has run since %lld",
				    (long long)since);
}

/* Some time after its cancellation, and after any disruption, no task of a job
 * may run. */
static void check_cancelled(struct sk *k, struct sk_job *j, int64_t now)
{
	int64_t span_ms = SK_CANCEL_MS + SK_STOP_MS;

	if (now <= j->cancelled_ms + span_ms ||
	    !sk_is_calm(k, now, SK_STABLE_MS + span_ms))
		return;
	for (int i = 0; i < j->steps * j->count; i++) {
		for (guint r = 0; r < j->task_runs[i]->len; r++) {
			const struct sk_run *run = run_at(j->task_runs[i], r);
			int64_t from_ms = run->start_ms + SK_STABLE_MS;

			if (!run->end_ms &&
			    (!run->is_delayed || now > from_ms + span_ms))
				sk_report_violation(
					k, "UNASKED", j->id,
					"task %d runs at %s, cancelled at %lld",
					i, run->worker,
					(long long)j->cancelled_ms);
		}
	}
}

void sk_check_idle(struct sk *k)
{
	int64_t now = hx_now_ms();

	for (guint i = 0; i < k->jobs->len; i++) {
		struct sk_job *j = g_ptr_array_index(k->jobs, i);

		if (j->cancelled_ms)
			check_cancelled(k, j, now);
		if (!j->accepted_ms || j->cancel_sent)
			continue;
		if (j->kind == SK_LONG_RUNNING)
			check_long_running(k, j, now);
		else if (j->kind != SK_DEADLY)
			check_unfinished(k, j, now);
	}
}

static bool is_state(const char *name)
{
	static const char *const states[] = { "queued", "running",  "done",
					      "failed", "canceled", NULL };

	return g_strv_contains(states, name);
}

static void check_done(struct sk *k, struct sk_job *j, int64_t answered_ms)
{
	for (int i = 0; i < j->steps * j->count; i++) {
		if (!has_completed(j->task_runs[i], answered_ms))
			sk_report_violation(k, "MIXED", j->id,
					    "reported done, task %d isn't", i);
	}
}

void sk_check_response(struct sk *k, struct sk_job *j, const struct sk_query *q,
		       long status, const char *state)
{
	/* Takes in what workers logged before the response arrived. */
	sk_check_log(k);
	if (status == 410 && j->accepted_ms && !j->cancel_sent &&
	    q->asked_ms > j->accepted_ms + SK_VISIBLE_MS &&
	    sk_is_connected(k, q->vm, hx_now_ms()))
		sk_report_violation(k, "LOST", j->id,
				    "vm %d answers 410, accepted at %lld",
				    q->vm, (long long)j->accepted_ms);
	if (status == 200 && !is_state(state))
		sk_report_violation(k, "MIXED", j->id,
				    "vm %d answers 200 without a state", q->vm);
	if (!strcmp(state, "done"))
		check_done(k, j, q->answered_ms);
	if (!strcmp(state, "done") && !j->done_shown_ms)
		j->done_shown_ms = hx_now_ms();
	if (!strcmp(state, "failed") && !is_failed(j) && !sk_may_give_up(j))
		sk_report_violation(k, "LOST", j->id,
				    "reported failed, no task did");
	if (!strcmp(state, "canceled") && !j->cancel_sent)
		sk_report_violation(k, "LOST", j->id,
				    "reported canceled, no client did");
	j->has_ended |= !strcmp(state, "done") || !strcmp(state, "failed") ||
			!strcmp(state, "canceled");
}

/* Has a worker started any task of the job by `until_ms`? */
static bool has_begun(const struct sk_job *j, int64_t until_ms)
{
	for (int i = 0; i < j->steps * j->count; i++) {
		GArray *runs = j->task_runs[i];

		if (runs->len && run_at(runs, 0)->start_ms <= until_ms)
			return true;
	}
	return false;
}

/* Returns the number of jobs that an answer to `q` has to include. */
static int32_t count_waiting(const struct sk *k, const struct sk_query *q)
{
	int32_t n = 0;

	for (guint i = 0; i < k->jobs->len; i++) {
		const struct sk_job *j = g_ptr_array_index(k->jobs, i);

		n += j->accepted_ms && !j->cancel_sent &&
		     q->asked_ms > j->accepted_ms + SK_COUNTED_MS &&
		     !has_begun(j, q->answered_ms);
	}
	return n;
}

void sk_check_count(struct sk *k, const struct sk_query *q, json_t *body)
{
	const json_t *pending = json_object_get(body, "pending");
	char vm[16];
	int32_t waiting;

	k->n_counts++;
	snprintf(vm, sizeof(vm), "vm %d", q->vm);
	if (!json_is_integer(pending))
		sk_report_violation(k, "ANSWER", vm, "no number of jobs");
	if (!json_is_integer(pending) || !sk_was_connected(k, q))
		return;
	/* Takes in what workers started before the answer arrived. */
	sk_check_log(k);
	waiting = count_waiting(k, q);
	k->n_counts_checked += waiting > 0;
	if (json_integer_value(pending) * 2 < waiting)
		sk_report_violation(
			k, "MIXED", vm,
			"answers %lld pending, %d wait for over %d ms",
			(long long)json_integer_value(pending), waiting,
			SK_COUNTED_MS);
}

void sk_check_end(struct sk *k)
{
	for (guint i = 0; i < k->jobs->len; i++) {
		const struct sk_job *j = g_ptr_array_index(k->jobs, i);

		if (!j->attempts || j->n_rejected < j->attempts)
			continue;
		for (int t = 0; t < j->steps * j->count; t++) {
			if (j->task_runs[t]->len)
				sk_report_violation(
					k, "REFUSED", j->id,
					"rejected %d times, task %d started",
					j->n_rejected, t);
		}
	}
}
