/* Measures the demand for the workers' CPU, and what room long-running jobs may
 * still take of it. */
#include <string.h>

#include "coordination/sched_int.h"

/* Interval of measurements in ms, and the weight of the newest one in the mean:
 * it covers some ten seconds. */
#define MEASURE_INTERVAL_MS 500
#define MEAN_WEIGHT 0.05
/* Long-running tasks keep their room for as long as their callers like, so that
 * without a limit they end up with all of it, and a short job waits until one
 * of them is cancelled. They leave this multiple of what short jobs need on the
 * average, since those come in bursts, within bounds in percent of the CPU. */
#define HEADROOM_FACTOR 1.5
#define HEADROOM_MIN_PERCENT 8
#define HEADROOM_MAX_PERCENT 25

static struct sched_pool_demand *get_demand(struct sched *s, const char *pool)
{
	struct sched_pool_demand *d = g_hash_table_lookup(s->demands, pool);

	if (d)
		return d;
	d = g_new0(struct sched_pool_demand, 1);
	g_hash_table_insert(s->demands, g_strdup(pool), d);
	return d;
}

static void clear(struct sched *s)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->demands);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sched_pool_demand *d = value;

		d->total_milli = 0;
		d->lasting_milli = 0;
		d->brief_milli = 0;
	}
}

/* Returns whether tasks may start at the worker, now or once it answers. The
 * entry of one that answers is missing from the list for a while at most. */
static bool is_in_use(const struct sched *s, const struct sched_worker *w)
{
	return (w->listed || (w->reconciled && !w->unreachable)) &&
	       !w->row.draining && !w->evacuating &&
	       !(s->domains_out &&
		 g_hash_table_contains(s->domains_out, w->row.domain));
}

static void add_workers(struct sched *s)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);
		struct sched_pool_demand *d;

		if (!is_in_use(s, w))
			continue;
		d = get_demand(s, w->row.pool);
		d->total_milli += w->row.total.cpu_milli;
		d->lasting_milli += w->long_lived.cpu_milli;
		d->brief_milli += w->used.cpu_milli - w->long_lived.cpu_milli;
	}
}

static int32_t count_waiting(const struct sched_step *step)
{
	int32_t n = 0;

	for (int32_t k = 0; k < step->def->tasks; k++)
		n += !step->tasks[k].done && !step->tasks[k].runs;
	return n;
}

static void add_waiting(struct sched *s)
{
	/* What waits for the cap of its organisation asks for no room. */
	GHashTable *claimed = g_hash_table_new_full(NULL, NULL, NULL, g_free);

	for (GList *i = s->ready_steps.head; i; i = i->next) {
		const struct sched_step *step = i->data;
		const struct catalog_queue *q = step->round->job->queue;
		struct sched_pool_demand *d;
		int64_t milli;

		if (!q || step->def->best_effort)
			continue;
		d = get_demand(s, q->pool);
		milli = step->def->cpu_milli *
			sched_org_claim(s, step, count_waiting(step), claimed);
		if (step->def->is_long_running)
			d->lasting_milli += milli;
		else
			d->brief_milli += milli;
	}
	g_hash_table_destroy(claimed);
}

void sched_demand_ended(struct sched *s, const struct sched_step *step)
{
	const struct catalog_queue *q = step->round->job->queue;

	if (q && step->def->is_long_running && !step->def->best_effort)
		get_demand(s, q->pool)->freed_milli +=
			step->def->cpu_milli * step->def->tasks;
}

void sched_measure_demand(struct sched *s, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - s->demand_measured_ms;
	GHashTableIter it;
	gpointer value;

	if (s->demand_measured_ms && elapsed_ms < MEASURE_INTERVAL_MS)
		return;
	s->demand_measured_ms = now_ms;
	clear(s);
	add_workers(s);
	add_waiting(s);
	g_hash_table_iter_init(&it, s->demands);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sched_pool_demand *d = value;

		d->brief_mean_milli += MEAN_WEIGHT * ((double)d->brief_milli -
						      d->brief_mean_milli);
		d->freed_mean_milli_s +=
			MEAN_WEIGHT *
			((double)d->freed_milli * 1000 / (double)elapsed_ms -
			 d->freed_mean_milli_s);
		d->freed_milli = 0;
	}
}

int64_t sched_lasting_room(const struct sched_pool_demand *d)
{
	int64_t wanted = (int64_t)(d->brief_mean_milli * HEADROOM_FACTOR);
	int64_t least = d->total_milli * HEADROOM_MIN_PERCENT / 100;
	int64_t most = d->total_milli * HEADROOM_MAX_PERCENT / 100;
	int64_t headroom = CLAMP(wanted, least, most);

	return d->total_milli - headroom - d->lasting_milli;
}
