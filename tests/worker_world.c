/* Test fixture: workers that restart, are cut off, and act late. */
#include "tests/worker_world.h"

#include <stdlib.h>
#include <string.h>

#define WORLD_REPORT_MAX 1024

static int64_t clock_of(const struct world_worker *w, int64_t now_ms)
{
	return (now_ms - w->clock_zero_ms) * w->rate_milli / 1000;
}

static void begin_life(struct world_worker *w, int64_t now_ms)
{
	w->born_ms = now_ms;
	w->clock_zero_ms = now_ms - 100;
	w->lease_end_clock_ms = 0;
	w->fence = 0;
	w->seq = 0;
	w->acked_seq = 0;
	g_array_set_size(w->runs, 0);
}

void world_init(struct world *x, int64_t now_ms)
{
	memset(x, 0, sizeof(*x));
	for (int i = 0; i < WORLD_WORKERS; i++) {
		struct world_worker *w = &x->workers[i];

		g_snprintf(w->id, sizeof(w->id), "w%d", i);
		w->rate_milli = i % 2 ? 980 : 1000;
		w->runs = g_array_new(FALSE, TRUE, sizeof(struct world_run));
		begin_life(w, now_ms);
		/* The first one has been up for long. */
		w->clock_zero_ms = now_ms - 1000000;
	}
}

void world_finish(struct world *x)
{
	for (int i = 0; i < WORLD_WORKERS; i++)
		g_array_free(x->workers[i].runs, TRUE);
}

bool world_is_reachable(const struct world_worker *w, int64_t now_ms)
{
	return now_ms >= w->up_ms && now_ms >= w->cut_until_ms;
}

void world_restart(struct world_worker *w, int64_t down_ms, int64_t now_ms)
{
	w->up_ms = now_ms + down_ms;
	begin_life(w, w->up_ms);
}

static void end_run(struct world_worker *w, struct world_run *r,
		    enum sched_end_reason reason)
{
	r->active = false;
	r->seq = ++w->seq;
	r->reason = reason;
}

static struct world_run *run_at(const struct world_worker *w, guint i)
{
	return &g_array_index(w->runs, struct world_run, i);
}

static bool is_same_task(const struct sched_ref *a, const struct sched_ref *b)
{
	return !strcmp(a->job, b->job) && a->round == b->round &&
	       a->step == b->step && a->index == b->index;
}

static void extend_lease(struct world_worker *w, int64_t end_clock_ms,
			 int64_t now_ms)
{
	int64_t max = clock_of(w, now_ms) + WORLD_LEASE_MAX_MS;

	if (end_clock_ms)
		w->lease_end_clock_ms =
			MAX(w->lease_end_clock_ms, MIN(end_clock_ms, max));
}

static enum sched_start_result start(struct world_worker *w,
				     const struct world_call *c, int64_t now_ms)
{
	struct world_run run = { .ref = c->ref, .active = true };

	if (c->lease_end_clock_ms <= clock_of(w, now_ms))
		return SCHED_START_TOO_LATE;
	extend_lease(w, c->lease_end_clock_ms, now_ms);
	for (guint i = 0; i < w->runs->len; i++) {
		const struct world_run *r = run_at(w, i);

		if (!is_same_task(&r->ref, &c->ref))
			continue;
		if (r->active && r->ref.run == c->ref.run)
			return SCHED_START_OK;
		if (!r->active && r->ref.run >= c->ref.run)
			return SCHED_START_OLD_NUMBER;
	}
	g_array_append_val(w->runs, run);
	return SCHED_START_OK;
}

static void stop(struct world_worker *w, const struct world_call *c)
{
	for (guint i = 0; i < w->runs->len; i++) {
		struct world_run *r = run_at(w, i);

		if (r->active && r->ref.run == c->ref.run &&
		    is_same_task(&r->ref, &c->ref))
			end_run(w, r, SCHED_END_STOPPED);
	}
}

static int compare_ends(const void *a, const void *b)
{
	const struct sched_end *x = a;
	const struct sched_end *y = b;

	return (x->seq > y->seq) - (x->seq < y->seq);
}

static void report(struct world_worker *w, const struct world_call *c,
		   struct sched_report *out, int64_t now_ms)
{
	static struct sched_active active[WORLD_REPORT_MAX];
	static struct sched_end ends[WORLD_REPORT_MAX];

	*out = (struct sched_report){
		.clock_ms = clock_of(w, now_ms),
		.born_ms = w->born_ms,
		.fence = c->fence,
		.sent_ms = c->sent_ms,
		.acked_seq = c->acked_seq,
		.active = active,
		.ends = ends,
	};
	for (guint i = 0; i < w->runs->len; i++) {
		const struct world_run *r = run_at(w, i);

		g_assert_cmpint(out->n_ends + out->n_active, <,
				WORLD_REPORT_MAX);
		if (r->active)
			active[out->n_active++] =
				(struct sched_active){ .ref = r->ref,
						       .percent = 100 };
		else if (r->seq > w->acked_seq)
			ends[out->n_ends++] =
				(struct sched_end){ .seq = r->seq,
						    .ref = r->ref,
						    .reason = r->reason };
	}
	qsort(ends, (size_t)out->n_ends, sizeof(ends[0]), compare_ends);
}

void world_carry_out(struct world *x, const struct world_call *c,
		     struct world_answer *out, int64_t now_ms)
{
	struct world_worker *w = &x->workers[c->worker];
	bool arrives = c->held_in_born_ms ? c->held_in_born_ms == w->born_ms &&
						    now_ms >= w->up_ms
					  : world_is_reachable(w, now_ms);

	*out = (struct world_answer){ .start = SCHED_START_UNKNOWN };
	if (!arrives)
		return;
	out->answered = !c->unanswered && world_is_reachable(w, now_ms);
	if (c->fence < w->fence) {
		out->answered &= c->kind != WORLD_POLL;
		out->start = SCHED_START_FENCED;
		return;
	}
	w->fence = c->fence;
	if (c->kind == WORLD_START)
		out->start = start(w, c, now_ms);
	else if (c->kind == WORLD_STOP)
		stop(w, c);
	if (c->kind != WORLD_POLL)
		return;
	extend_lease(w, c->lease_end_clock_ms, now_ms);
	w->acked_seq = MAX(w->acked_seq, c->acked_seq);
	report(w, c, &out->report, now_ms);
}

void world_tick(struct world *x, int64_t now_ms)
{
	for (int i = 0; i < WORLD_WORKERS; i++) {
		struct world_worker *w = &x->workers[i];

		if (clock_of(w, now_ms) < w->lease_end_clock_ms)
			continue;
		for (guint k = 0; k < w->runs->len; k++) {
			if (run_at(w, k)->active)
				end_run(w, run_at(w, k),
					SCHED_END_LEASE_EXPIRED);
		}
	}
}

int world_count_runs(const struct world *x, const char *job)
{
	int n = 0;

	for (int i = 0; i < WORLD_WORKERS; i++) {
		const struct world_worker *w = &x->workers[i];

		for (guint k = 0; k < w->runs->len; k++)
			n += run_at(w, k)->active &&
			     !strcmp(run_at(w, k)->ref.job, job);
	}
	return n;
}
