/* Chooses the worker for a task: checks which ones it fits on and scores them.
 */
#include <string.h>

#include "coordination/sched_int.h"

/* Tasks that ask for less than this, in thousandths of a core and in MiB, and
 * for no accelerator, are small. */
#define SMALL_MILLI 10
#define SMALL_MIB 16
/* Most small tasks at one worker, in each of whose reports and placements all
 * runs there are looked at. */
#define SMALL_TASKS_MAX 128

int32_t sched_count_tasks_at(const struct sched_step *step,
			     const struct sched_worker *w)
{
	int32_t n = 0;

	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;

		n += run->task->step == step;
	}
	return n;
}

int64_t sched_best_effort_capacity(const struct sched_worker *w)
{
	return w->row.total.cpu_milli - w->used.cpu_milli +
	       w->serving_unused_milli;
}

/* CPU that best-effort tasks could still take, in thousandths of a core. */
static int64_t free_best_effort_milli(const struct sched_worker *w)
{
	return sched_best_effort_capacity(w) - w->best_effort_milli;
}

bool sched_is_small(const struct jobspec_step *def)
{
	return def->cpu_milli < SMALL_MILLI && def->mem_mib < SMALL_MIB &&
	       !def->accelerators;
}

/* Returns whether the task leaves the room that is reserved at the worker.
 * Best-effort tasks give way to others at once, but for their memory. */
static bool fits_beside_reserved(const struct jobspec_step *def,
				 const struct sched_worker *w)
{
	const struct place_resources *kept = &w->reserved;
	const struct place_resources *total = &w->row.total;

	if (w->used.mem_mib + kept->mem_mib + def->mem_mib > total->mem_mib)
		return false;
	return def->best_effort ||
	       (w->used.cpu_milli + kept->cpu_milli + def->cpu_milli <=
			total->cpu_milli &&
		w->used.accelerators + kept->accelerators + def->accelerators <=
			total->accelerators);
}

enum sched_obstacle sched_find_shortage(const struct sched_step *step,
					const struct sched_worker *w)
{
	const struct jobspec_step *def = step->def;
	int64_t cpu = w->row.total.cpu_milli - w->used.cpu_milli;

	if (w->reconciled_in_doubt && sched_org_has_cap(step))
		return SCHED_OBSTACLE_UNRECONCILED;
	if (step->joins_suspects ? !sched_has_group(w) : w->n_isolated > 0)
		return SCHED_OBSTACLE_ISOLATED;
	if (sched_is_small(def) && w->n_small >= SMALL_TASKS_MAX)
		return SCHED_OBSTACLE_SMALL_TASKS;
	if (w->used.mem_mib + def->mem_mib > w->row.total.mem_mib)
		return SCHED_OBSTACLE_MEMORY;
	if (w->used.accelerators + def->accelerators >
	    w->row.total.accelerators)
		return SCHED_OBSTACLE_ACCELERATORS;
	if (def->best_effort)
		cpu = free_best_effort_milli(w);
	if (def->cpu_milli > cpu)
		return SCHED_OBSTACLE_CPU;
	if (!step->uses_reserved && !fits_beside_reserved(def, w))
		return SCHED_OBSTACLE_RESERVED;
	if (def->spread_max && sched_count_tasks_at(step, w) >= def->spread_max)
		return SCHED_OBSTACLE_SPREAD;
	return SCHED_OBSTACLE_NONE;
}

bool sched_fits(const struct sched_step *step, const struct sched_worker *w)
{
	return sched_find_shortage(step, w) == SCHED_OBSTACLE_NONE;
}

static int64_t quotient(int64_t room, int64_t size)
{
	return size > 0 ? room / size : INT32_MAX;
}

int64_t sched_count_fitting(const struct sched_step *step,
			    const struct sched_worker *w)
{
	static const struct place_resources nothing = { 0 };
	const struct jobspec_step *def = step->def;
	const struct place_resources *kept =
		step->uses_reserved ? &nothing : &w->reserved;
	int64_t cpu =
		w->row.total.cpu_milli - w->used.cpu_milli - kept->cpu_milli;
	int64_t mem = w->row.total.mem_mib - w->used.mem_mib - kept->mem_mib;
	int64_t accelerators = w->row.total.accelerators -
			       w->used.accelerators - kept->accelerators;
	int64_t n;

	if (!sched_fits(step, w))
		return 0;
	if (def->best_effort)
		cpu = free_best_effort_milli(w);
	n = MIN(quotient(cpu, def->cpu_milli), quotient(mem, def->mem_mib));
	n = MIN(n, quotient(accelerators, def->accelerators));
	if (def->spread_max)
		n = MIN(n, def->spread_max - sched_count_tasks_at(step, w));
	return MAX(n, 1);
}

/* Score for each serving task of the same image, in thousandths of a core. All
 * tasks of an image are sensitive to the same load, so packing them together
 * leaves more workers to the best-effort tasks that would disturb them. */
#define SAME_IMAGE_POINTS 40000

/* Returns the number of serving tasks of the step's image at the worker, minus
 * those of other images. */
static int64_t same_image_balance(const struct sched_step *step,
				  const struct sched_worker *w)
{
	int64_t n = 0;

	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;
		const struct jobspec_step *def = run->task->step->def;

		if (def->tail_goal_ms)
			n += strcmp(def->image, step->def->image) ? -1 : 1;
	}
	return n;
}

/* Most workers for which the speed of a best-effort task is computed. */
#define SPEED_CANDIDATES_MAX 12
/* Idle thousandths of a core that make up for one unit of interference. */
#define INTERFERENCE_POINTS 5000
/* Score of full speed, in idle thousandths of a core. */
#define FULL_SPEED_POINTS 60000

/* Returns a score in thousandths of a core; higher is better. */
static int64_t score(const struct sched_step *step,
		     const struct sched_worker *w)
{
	const struct jobspec_step *def = step->def;
	int64_t left = w->row.total.cpu_milli - w->used.cpu_milli;
	int64_t points = 0;

	if (*def->data_rack && !strcmp(def->data_rack, w->row.rack))
		points += 10000000;
	points -= w->failures_in_row * 1000000;
	/* The fewer tasks are lost if it crashes the worker. */
	if (step->places_suspect)
		points -= (int64_t)w->runs.length * 1000000;
	if (def->best_effort)
		return points + free_best_effort_milli(w);
	if (def->tail_goal_ms)
		return points + left +
		       same_image_balance(step, w) * SAME_IMAGE_POINTS;

	/* Best fit, so that large tasks find room. Workers with less
	 * best-effort load are preferred, to slow less of it down. */
	return points - left - w->best_effort_milli / 2;
}

/* Returns how much sched_fits() and score() look at. */
static int64_t check_work(const struct sched_step *step,
			  const struct sched_worker *w)
{
	bool counts_runs = step->def->spread_max || step->def->tail_goal_ms;

	return counts_runs ? 1 + (int64_t)w->runs.length : 1;
}

/* Returns how many runs sched_colocated_speed() looks at. */
static int64_t speed_work(const struct sched_worker *w)
{
	return w->n_serving ? (int64_t)w->runs.length * (1 + w->n_serving) : 0;
}

static struct sched_worker *choose_by_score(struct sched *s,
					    struct sched_worker **list,
					    int32_t n,
					    const struct sched_step *step)
{
	struct sched_worker *best = NULL;
	int64_t best_points = 0;

	for (int32_t i = 0; i < n; i++) {
		int64_t points;

		s->pass_work += check_work(step, list[i]);
		if (!sched_fits(step, list[i]))
			continue;
		points = score(step, list[i]);
		if (best && points <= best_points)
			continue;
		best = list[i];
		best_points = points;
	}
	return best;
}

bool sched_is_fast_enough(const struct sched *s, const struct sched_worker *w,
			  const struct sched_step *step)
{
	return !step->def->best_effort ||
	       sched_colocated_speed(s, w, step) >= sched_speed_min(step);
}

double sched_speed_min(const struct sched_step *step)
{
	return step->speed_min > 0 ? step->speed_min : WAIT_VALUE_FULL_SPEED;
}

/* A worker for which the speed may be computed. */
struct candidate {
	struct sched_worker *worker;
	double points;
};

/* Inserts `w` into the sorted list of the best candidates. Returns the new
 * length. */
static int32_t insert_candidate(struct candidate *best, int32_t n,
				struct sched_worker *w, double points)
{
	int32_t at = n;

	while (at > 0 && best[at - 1].points < points)
		at--;
	if (at == SPEED_CANDIDATES_MAX)
		return n;
	n = n < SPEED_CANDIDATES_MAX ? n + 1 : n;
	memmove(&best[at + 1], &best[at], (size_t)(n - at - 1) * sizeof(*best));
	best[at] = (struct candidate){ w, points };
	return n;
}

/* Estimates the score cheaply: idle CPU minus the interference with a single
 * serving image of the worker. */
static double estimate_score(const struct sched *s,
			     const struct sched_worker *w,
			     const struct sched_step *step)
{
	double points = (double)free_best_effort_milli(w);

	if (!w->n_serving)
		return points;
	return points - INTERFERENCE_POINTS * interfere_weight(&s->interfere,
							       w->serving_image,
							       step->image);
}

/* Returns the number of candidates with the best estimates. */
static int32_t find_candidates(struct sched *s, struct sched_worker **list,
			       int32_t n, const struct sched_step *step,
			       struct candidate *candidates)
{
	int32_t found = 0;

	for (int32_t i = 0; i < n; i++) {
		s->pass_work += check_work(step, list[i]);
		if (sched_fits(step, list[i]))
			found = insert_candidate(
				candidates, found, list[i],
				estimate_score(s, list[i], step));
	}
	return found;
}

/* Collects workers on which the step fits from where the last call ended.
 * Returns their number. */
static int32_t next_candidates(struct sched *s, struct sched_worker **list,
			       int32_t n, struct sched_step *step,
			       struct candidate *candidates)
{
	int32_t found = 0;

	for (int32_t i = 0; i < n && found < SPEED_CANDIDATES_MAX; i++) {
		struct sched_worker *w = list[step->speed_next++ % (uint32_t)n];

		s->pass_work += check_work(step, w);
		if (sched_fits(step, w))
			candidates[found++].worker = w;
	}
	return found;
}

/* Returns the best of the candidates that is fast enough, or NULL. */
static struct sched_worker *
choose_fast_enough(struct sched *s, const struct sched_step *step,
		   const struct candidate *candidates, int32_t found)
{
	struct sched_worker *best = NULL;
	double best_points = 0;

	for (int32_t i = 0; i < found; i++) {
		struct sched_worker *w = candidates[i].worker;
		double speed = sched_colocated_speed(s, w, step);
		double points =
			speed * FULL_SPEED_POINTS + (double)score(step, w);

		s->pass_work += speed_work(w);
		if (speed < sched_speed_min(step) ||
		    (best && points <= best_points))
			continue;
		best = w;
		best_points = points;
		s->chosen_speed = speed;
	}
	return best;
}

/*
 * Chooses the worker where a best-effort task can run fastest beside the
 * serving tasks. Computing a speed costs more than all other checks, so it is
 * done only for the candidates with the best estimates and, since these may
 * all be wrong, for some others by turns.
 */
static struct sched_worker *
choose_best_effort(struct sched *s, struct sched_worker **list, int32_t n,
		   struct sched_step *step, bool *fits)
{
	struct candidate candidates[SPEED_CANDIDATES_MAX] = { 0 };
	int32_t found = find_candidates(s, list, n, step, candidates);
	struct sched_worker *w = choose_fast_enough(s, step, candidates, found);

	*fits = found > 0;
	if (w || found < SPEED_CANDIDATES_MAX)
		return w;
	found = next_candidates(s, list, n, step, candidates);
	return choose_fast_enough(s, step, candidates, found);
}

/* Returns whether half of the memory stays free beside the task, which may be
 * paused for long. */
static bool leaves_memory(const struct jobspec_step *def,
			  const struct sched_worker *w)
{
	return 2 * (w->used.mem_mib + def->mem_mib) <= w->row.total.mem_mib;
}

/* Returns whether half of the workers' CPU is reserved by tasks. */
static bool are_half_used(struct sched_worker **list, int32_t n)
{
	int64_t used = 0;
	int64_t total = 0;

	for (int32_t i = 0; i < n; i++) {
		used += list[i]->used.cpu_milli;
		total += list[i]->row.total.cpu_milli;
	}
	return 2 * used >= total;
}

struct sched_worker *sched_choose_starved(struct sched *s,
					  struct sched_worker **list, int32_t n,
					  const struct sched_step *step)
{
	struct sched_worker *best = NULL;
	double best_speed = -1;

	s->pass_work += n;
	if (are_half_used(list, n))
		return NULL;
	for (int32_t i = 0; i < n; i++) {
		double speed;

		s->pass_work += 1;
		if (!leaves_memory(step->def, list[i]) ||
		    !sched_fits(step, list[i]))
			continue;
		s->pass_work += speed_work(list[i]);
		speed = sched_colocated_speed(s, list[i], step);
		if (speed <= best_speed)
			continue;
		best = list[i];
		best_speed = speed;
		s->chosen_speed = speed;
	}
	return best;
}

struct sched_worker *sched_choose_worker(struct sched *s,
					 struct sched_worker **list, int32_t n,
					 struct sched_step *step, bool *fits)
{
	bool ignored;
	struct sched_worker *w;

	if (!fits)
		fits = &ignored;
	if (step->def->best_effort)
		return choose_best_effort(s, list, n, step, fits);
	w = choose_by_score(s, list, n, step);
	*fits = w != NULL;
	return w;
}
