/* Tests with drawn workers and steps that a task for which there is room starts
 * in bounded time. */
#include <glib.h>
#include <string.h>

#include "tests/sched_sim.h"
#include "tests/unit.h"

#define DRAWS 300
#define JOBS_MAX 6
#define DAY_MS 90000
#define VALID_MS 30000
/* The users' bound on the time in which a job has nothing running while there
 * is room for it. */
#define WAIT_MAX_MS 3000
#define RACK_FACTOR 3

/* Longest run of a task that ends. */
#define TASK_MAX_MS 20000

/* Room at the workers: beside what is reserved for long-running tasks, or
 * without regard to that. */
enum room { ROOM_UNRESERVED, ROOM_ANY, ROOMS };

/* Since when a job waits with room. */
struct wait {
	int64_t since_ms; /* 0: no room, or nothing to start */
	bool idle_all_along; /* nothing of it has run since then */
	guint starts;
};

/* A day: who is allowed what, and how long the jobs wait. */
struct day {
	guint32 seed;
	guint allowed_one_in;
	guint answered;
	guint asked; /* calls that were sent before the last pass */
	int n_jobs;
	char jobs[JOBS_MAX][8];
	struct wait waits[JOBS_MAX][ROOMS];
};

static bool is_allowed(const struct day *d, const char *job, const char *worker)
{
	return (g_str_hash(worker) * 31 + g_str_hash(job) + d->seed) %
		       d->allowed_one_in ==
	       0;
}

struct policy {
	const struct day *day;
	const char *job;
};

static bool allows(const struct sched_incarnation *worker, void *priv)
{
	const struct policy *policy = priv;

	return is_allowed(policy->day, policy->job, worker->id);
}

/* Answers the calls that were sent before the last pass. */
static void answer_questions(struct sim *m, struct day *d, int64_t now_ms)
{
	for (; d->answered < d->asked; d->answered++) {
		const struct recorded_question *q = &g_array_index(
			m->p.questions, struct recorded_question, d->answered);
		char job[JOBSPEC_ID_MAX];
		struct policy policy = { d, job };

		g_strlcpy(job, q->step.job, sizeof(job));
		fixture_answer(&m->p, q, allows, &policy, VALID_MS, now_ms);
	}
	d->asked = m->p.questions->len;
}

static bool has_label(const struct sched_worker_row *row, const char *label)
{
	for (int32_t i = 0; i < row->n_labels; i++) {
		if (!strcmp(row->labels[i], label))
			return true;
	}
	return !*label;
}

/* Returns how many more tasks of the step fit at the worker, one by one. */
static int32_t count_room(const struct day *d, const struct sched_step *step,
			  const struct sched_worker *w, enum room room)
{
	const struct jobspec_step *def = step->def;
	const struct sched_job *job = step->round->job;
	struct place_resources used = w->used;
	int32_t here = 0;
	int32_t n = 0;

	if (!has_label(&w->row, def->label))
		return 0;
	if (job->queue->uses_policy && !is_allowed(d, job->spec->id, w->row.id))
		return 0;
	if (room == ROOM_UNRESERVED) {
		used.cpu_milli += w->reserved.cpu_milli;
		used.mem_mib += w->reserved.mem_mib;
		used.accelerators += w->reserved.accelerators;
	}
	for (const GList *i = w->runs.head; i; i = i->next)
		here += ((const struct sched_run *)i->data)->task->step == step;
	while (n < def->tasks) {
		used.cpu_milli += def->cpu_milli;
		used.mem_mib += def->mem_mib;
		used.accelerators += def->accelerators;
		if (used.cpu_milli > w->row.total.cpu_milli ||
		    used.mem_mib > w->row.total.mem_mib ||
		    used.accelerators > w->row.total.accelerators ||
		    (def->spread_max && here + n >= def->spread_max))
			break;
		n++;
	}
	return n;
}

static bool has_room(const struct sim *m, const struct day *d,
		     const struct sched_step *step, enum room room)
{
	int32_t needed = step->def->gang ? step->def->tasks : 1;
	int32_t n = 0;

	for (guint i = 0; i < m->p.s.worker_list->len && n < needed; i++)
		n += count_room(d, step,
				g_ptr_array_index(m->p.s.worker_list, i), room);
	return n >= needed;
}

static bool waits(const struct sched_step *step)
{
	for (int32_t k = 0; k < step->def->tasks; k++) {
		if (!step->tasks[k].done && !step->tasks[k].runs)
			return true;
	}
	return false;
}

static bool is_half_used(const struct sim *m)
{
	int64_t used = 0;
	int64_t total = 0;

	for (guint i = 0; i < m->p.s.worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(m->p.s.worker_list, i);

		used += w->used.cpu_milli;
		total += w->row.total.cpu_milli;
	}
	return 2 * used >= total;
}

static guint count_starts(const struct sim *m, const char *job)
{
	guint n = 0;

	for (guint i = 0; i < m->p.starts->len; i++)
		n += !strcmp(fixture_start(&m->p, i)->ref.job, job);
	return n;
}

/* Returns how long a task of the step may wait while there is room. Room may be
 * kept for a gang until tasks that are in its way have ended. */
static int64_t max_wait_ms(const struct sched_step *step, enum room room,
			   bool idle)
{
	const struct jobspec_step *def = step->def;
	int64_t max_ms =
		room == ROOM_ANY ? WAIT_MAX_MS + TASK_MAX_MS : WAIT_MAX_MS;

	if (idle || def->is_long_running ||
	    (!*def->data_rack && !def->one_rack))
		return max_ms;
	return max_ms + def->expected_ms * (RACK_FACTOR - 1);
}

static void check_job(const struct sim *m, struct day *d, int j, enum room room,
		      int64_t now_ms)
{
	struct sched_job *job = g_hash_table_lookup(m->p.s.jobs, d->jobs[j]);
	const struct sched_step *step =
		job && job->rounds ? job->rounds->steps : NULL;
	struct wait *wait = &d->waits[j][room];
	guint starts = count_starts(m, d->jobs[j]);

	if (!step || !waits(step) || !has_room(m, d, step, room)) {
		wait->since_ms = 0;
		return;
	}
	if (!wait->since_ms || starts > wait->starts) {
		wait->since_ms = now_ms;
		wait->idle_all_along = true;
	}
	wait->starts = starts;
	wait->idle_all_along &= !job->n_runs && !is_half_used(m);
	if (now_ms - wait->since_ms <=
	    max_wait_ms(step, room, wait->idle_all_along))
		return;
	g_test_message("seed %u: job %s waits since %" G_GINT64_FORMAT
		       " with room, at %" G_GINT64_FORMAT "; log: %s",
		       d->seed, d->jobs[j], wait->since_ms, now_ms,
		       m->p.waits->str);
	g_assert_not_reached();
}

static void after_pass(struct sim *m, int64_t now_ms, void *priv)
{
	struct day *d = priv;

	answer_questions(m, d, now_ms);
	for (int j = 0; j < d->n_jobs; j++) {
		for (int room = 0; room < ROOMS; room++)
			check_job(m, d, j, room, now_ms);
	}
}

static bool one_in(GRand *rand, int n)
{
	return g_rand_int_range(rand, 0, n) == 0;
}

static void draw_workers(struct sim *m, GRand *rand, int n, int n_racks)
{
	for (int i = 0; i < n; i++) {
		struct sched_worker_row row = {
			.pool = "p", .domain = "d", .n_labels = 2, .born_ms = 1
		};
		int32_t cores = g_rand_int_range(rand, 2, 33);

		row.total.cpu_milli = cores * 1000;
		row.total.mem_mib = g_rand_int_range(rand, 1, 9) * 1000;
		row.total.accelerators =
			one_in(rand, 4) ? g_rand_int_range(rand, 1, 5) : 0;
		g_snprintf(row.id, sizeof(row.id), "w%d", i);
		g_snprintf(row.rack, sizeof(row.rack), "r%d", i % n_racks);
		g_strlcpy(row.labels[0], one_in(rand, 2) ? "a" : "b",
			  sizeof(row.labels[0]));
		g_strlcpy(row.labels[1], row.rack, sizeof(row.labels[1]));
		sim_add_row(m, &row);
	}
}

static struct jobspec *draw_job(GRand *rand, const char *id, int n_racks)
{
	int32_t tasks = g_rand_int_range(rand, 1, 13);
	struct jobspec *spec =
		fixture_spec(id, one_in(rand, 3) ? "ruled" : "short", 1, tasks);
	struct jobspec_step *def = &spec->steps[0];

	def->cpu_milli = g_rand_int_range(rand, 1, 33) * 500;
	def->mem_mib = g_rand_int_range(rand, 1, 21) * 100;
	def->accelerators = one_in(rand, 6);
	def->expected_ms = g_rand_int_range(rand, 2, TASK_MAX_MS / 100) * 100;
	def->is_long_running = one_in(rand, 3);
	def->one_rack = one_in(rand, 2);
	def->gang = one_in(rand, 4);
	def->spread_max = one_in(rand, 4) ? g_rand_int_range(rand, 1, 4) : 0;
	if (one_in(rand, 4))
		g_strlcpy(def->label, "a", sizeof(def->label));
	/* Perhaps one without workers. */
	if (one_in(rand, 3))
		g_snprintf(def->data_rack, sizeof(def->data_rack), "r%d",
			   g_rand_int_range(rand, 0, n_racks + 1));
	return spec;
}

/* Takes room at some of the workers, for good. */
static void draw_load(struct sim *m, GRand *rand)
{
	for (int i = 0; i < m->n; i++) {
		struct sched_worker *w = fixture_worker(&m->p, m->w[i].id);
		int64_t percent =
			one_in(rand, 2) ? g_rand_int_range(rand, 0, 101) : 0;

		w->used.cpu_milli = w->row.total.cpu_milli * percent / 100;
		w->long_lived = w->used;
	}
}

static void run_day(guint32 seed)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	struct sim *m = g_new0(struct sim, 1);
	struct day d = { .seed = seed,
			 .allowed_one_in =
				 (guint)g_rand_int_range(rand, 1, 12) };
	int n_racks = g_rand_int_range(rand, 1, 9);

	m->after_pass = after_pass;
	m->priv = &d;
	fixture_open(&m->p, 1, NULL);
	draw_workers(m, rand, g_rand_int_range(rand, 1, SIM_WORKERS_MAX + 1),
		     n_racks);
	draw_load(m, rand);
	d.n_jobs = g_rand_int_range(rand, 1, JOBS_MAX + 1);
	for (int j = 0; j < d.n_jobs; j++) {
		g_snprintf(d.jobs[j], sizeof(d.jobs[j]), "j%d", j);
		fixture_add_job(&m->p, draw_job(rand, d.jobs[j], n_racks));
	}
	sim_run(m, 100, DAY_MS);
	fixture_close(&m->p);
	g_free(m);
}

/* Review, cases 3 and 4: tasks waited for ever though there was room. */
static void test_bounded_wait(void)
{
	for (guint32 seed = 1; seed <= DRAWS; seed++)
		run_day(seed);
}

void unit_add_starts(void)
{
	g_test_add_func("/starts/bounded-wait", test_bounded_wait);
}
