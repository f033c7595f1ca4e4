/* Chooses the rack for steps that run longer outside one: that of their data,
 * or any if all tasks are in it. */
#include <string.h>
#include <talloc.h>

#include "coordination/sched_int.h"

/* A job of which nothing runs waits for a rack no longer than this, in ms,
 * while half of the pool's CPU is free. */
#define IDLE_JOB_WAIT_MAX_MS 2000

/* What a step finds in a rack. */
struct rack_room {
	const char *name;
	int64_t fitting; /* tasks of the step */
	int64_t free_milli; /* CPU, in thousandths of a core */
	int32_t running; /* tasks of the step */
};

/* Returns how much longer a task takes outside the rack. */
static int64_t extra_ms(const struct sched *s, const struct sched_step *step)
{
	return sched_expected_run_ms(s, step) *
	       (s->lim.off_rack_factor_milli - 1000) / 1000;
}

/* Returns whether the step still waits for a rack: for as long as it saves by
 * that. `left_ms` is the time left for a task to be in time, 0 if that doesn't
 * count. */
static bool may_wait(const struct sched *s, const struct sched_rank *r,
		     int64_t since_ms, int64_t left_ms, bool half_used,
		     int64_t now_ms)
{
	struct wait_facts facts = {
		.run_ms = sched_expected_run_ms(s, r->step),
		.waited_ms = now_ms - since_ms,
		.expected_wait_ms = -1,
		.left_ms = left_ms,
	};

	if (r->overdue)
		return false;
	if (!half_used && !r->step->round->job->n_runs &&
	    facts.waited_ms >= IDLE_JOB_WAIT_MAX_MS)
		return false;
	return wait_value_pays(&facts, extra_ms(s, r->step));
}

/* Tasks start outside the rack of their data only if they can still be in time,
 * or if they have waited for long enough. */
static bool waits_for_data_rack(const struct sched *s,
				const struct sched_rank *r, bool half_used,
				int64_t now_ms)
{
	int64_t left_ms =
		r->latest_ms + sched_expected_run_ms(s, r->step) - now_ms;

	return may_wait(s, r, r->step->ready_ms, left_ms, half_used, now_ms);
}

/* Returns whether a task would fit at the worker if nothing else ran there. */
static bool could_hold(const struct jobspec_step *def,
		       const struct sched_worker *w)
{
	const struct place_resources *total = &w->row.total;

	return (def->best_effort || def->cpu_milli <= total->cpu_milli) &&
	       def->mem_mib <= total->mem_mib &&
	       def->accelerators <= total->accelerators;
}

/* Returns whether a worker of the rack could ever hold a task of the step. */
static bool is_possible_rack(struct sched *s, const struct jobspec_step *def,
			     struct sched_worker **list, int32_t n,
			     const char *rack)
{
	s->pass_work += n;
	for (int32_t i = 0; i < n; i++) {
		if (!strcmp(list[i]->row.rack, rack) &&
		    could_hold(def, list[i]))
			return true;
	}
	return false;
}

/* Moves the workers of the rack to the front. Returns their number. */
static int32_t move_to_front(struct sched_worker **list, int32_t n,
			     const char *rack)
{
	int32_t kept = 0;

	for (int32_t i = 0; i < n; i++) {
		struct sched_worker *w = list[i];

		if (strcmp(w->row.rack, rack))
			continue;
		list[i] = list[kept];
		list[kept++] = w;
	}
	return kept;
}

static struct rack_room *find_rack(GHashTable *index, GArray *racks,
				   const char *name)
{
	gpointer at;

	if (!g_hash_table_lookup_extended(index, name, NULL, &at)) {
		struct rack_room rack = { .name = name };

		at = GUINT_TO_POINTER(racks->len);
		g_hash_table_insert(index, (gpointer)name, at);
		g_array_append_val(racks, rack);
	}
	return &g_array_index(racks, struct rack_room, GPOINTER_TO_UINT(at));
}

/* Returns an array of struct rack_room. */
static GArray *gather_racks(struct sched *s, const struct sched_step *step,
			    struct sched_worker **list, int32_t n)
{
	GArray *racks = g_array_new(FALSE, FALSE, sizeof(struct rack_room));
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (int32_t i = 0; i < n; i++) {
		const struct sched_worker *w = list[i];
		struct rack_room *rack = find_rack(index, racks, w->row.rack);

		s->pass_work += 1 + (int64_t)w->runs.length;
		rack->fitting += sched_count_fitting(step, w);
		rack->free_milli +=
			MAX(0, w->row.total.cpu_milli - w->used.cpu_milli);
		rack->running += sched_count_tasks_at(step, w);
	}
	g_hash_table_destroy(index);
	return racks;
}

/* Returns whether the step, of which nothing runs, is better off in `a`. */
static bool is_better_rack(const struct sched_step *step,
			   const struct rack_room *a, const struct rack_room *b)
{
	int64_t a_tasks = MIN(a->fitting, step->tasks_left);
	int64_t b_tasks = MIN(b->fitting, step->tasks_left);
	bool a_has_data = !strcmp(a->name, step->def->data_rack);
	bool b_has_data = !strcmp(b->name, step->def->data_rack);

	if (a_tasks != b_tasks)
		return a_tasks > b_tasks;
	if (a_has_data != b_has_data)
		return a_has_data;
	return a->free_milli > b->free_milli;
}

/* Returns the rack where the step runs, else the one that holds most of its
 * tasks. Returns NULL if it runs in several. */
static const struct rack_room *choose_rack(const struct sched_step *step,
					   const GArray *racks)
{
	const struct rack_room *best = NULL;

	for (guint i = 0; i < racks->len; i++) {
		const struct rack_room *rack =
			&g_array_index(racks, struct rack_room, i);

		if (best && best->running && rack->running)
			return NULL;
		if (best && best->running)
			continue;
		if (!best || rack->running || is_better_rack(step, rack, best))
			best = rack;
	}
	return best;
}

/* Returns the rack for a step whose tasks belong in one; NULL if they may start
 * in any since none has room for them. */
static const char *find_common_rack(struct sched *s, const struct sched_rank *r,
				    struct sched_worker **list, int32_t n,
				    bool half_used, int64_t now_ms)
{
	const struct sched_step *step = r->step;
	int64_t needed = step->def->gang ? step->def->tasks : 1;
	int64_t since_ms = MAX(step->ready_ms, step->placed_ms);
	GArray *racks = gather_racks(s, step, list, n);
	const struct rack_room *rack = choose_rack(step, racks);
	const char *name = NULL;

	if (rack && (rack->fitting >= needed ||
		     may_wait(s, r, since_ms, 0, half_used, now_ms)))
		name = rack->name;
	g_array_free(racks, TRUE);
	return name;
}

int32_t sched_prefer_rack(struct sched *s, const struct sched_rank *r,
			  struct sched_worker **list, int32_t n, bool half_used,
			  int64_t now_ms)
{
	const struct jobspec_step *def = r->step->def;
	const char *rack = NULL;

	r->step->rack[0] = '\0';
	if (*def->data_rack && waits_for_data_rack(s, r, half_used, now_ms) &&
	    is_possible_rack(s, def, list, n, def->data_rack)) {
		rack = def->data_rack;
		n = move_to_front(list, n, rack);
	}
	if (def->one_rack && !rack) {
		rack = find_common_rack(s, r, list, n, half_used, now_ms);
		if (rack)
			n = move_to_front(list, n, rack);
	}
	if (rack)
		g_strlcpy(r->step->rack, rack, sizeof(r->step->rack));
	return n;
}
