/* Moves paused best-effort tasks to workers where they can continue. */
#include <talloc.h>

#include "coordination/sched_int.h"

/* A task that is paused for this long, in ms, is moved. Load changes that
 * let it resume where it is take seconds; a move costs half a second. */
#define MOVE_AFTER_PAUSED_MS 500
/* A task without checkpoints is moved only up to this progress, in percent. */
#define LOSS_MAX_PERCENT 10
/* Most runs for which one call searches a worker: each search checks all
 * workers. */
#define SEARCHES_MAX 8

static bool should_move(const struct sched_run *run, int64_t now_ms)
{
	const struct sched_step *step = run->task->step;

	if (!run->paused_since_ms ||
	    now_ms - run->paused_since_ms < MOVE_AFTER_PAUSED_MS)
		return false;
	if (run->stopping || run->state != SCHED_RUN_ACTIVE ||
	    !step->round->job->queue)
		return false;
	return step->def->checkpoints || run->percent <= LOSS_MAX_PERCENT;
}

static bool has_better_place(struct sched *s, const struct sched_run *run,
			     struct sched_worker **list, int64_t now_ms)
{
	struct sched_step *step = run->task->step;
	int32_t n = 0;

	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);

		if (w != run->worker && !sched_is_denied(step, w) &&
		    sched_is_eligible(s, step, step->round->job->queue, w,
				      now_ms))
			list[n++] = w;
	}
	return sched_choose_worker(s, list, n, step, NULL) != NULL;
}

/* Returns the number of searches made. */
static int move_paused_from(struct sched *s, struct sched_worker *w,
			    struct sched_worker **list, int searches_max,
			    int64_t now_ms)
{
	int searches = 0;

	for (GList *i = w->runs.head; i && searches < searches_max;
	     i = i->next) {
		struct sched_run *run = i->data;

		if (!should_move(run, now_ms))
			continue;
		searches++;
		if (!has_better_place(s, run, list, now_ms))
			continue;
		s->counts.moved++;
		sched_run_stop(s, run, now_ms,
			       "paused; another worker has room");
	}
	return searches;
}

void sched_move_paused(struct sched *s, int64_t now_ms)
{
	guint n = s->worker_list->len;
	struct sched_worker **list;
	int searches = 0;

	if (s->ownership != SCHED_OWNER_CERTAIN || !n)
		return;
	s->placement_ms = now_ms;
	list = talloc_array(NULL, struct sched_worker *, n);
	for (guint k = 0; k < n && searches < SEARCHES_MAX; k++) {
		guint at = s->next_move_worker++ % n;

		searches += move_paused_from(
			s, g_ptr_array_index(s->worker_list, at), list,
			SEARCHES_MAX - searches, now_ms);
	}
	talloc_free(list);
}
