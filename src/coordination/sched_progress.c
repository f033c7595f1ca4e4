/* The stored form of a job's progress. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "coordination/sched_int.h"
#include "protocol/num.h"

/* Most rounds of one job that exist and are not done. */
#define ROUNDS_OPEN_MAX 64
/* Length of a summary beside its tasks, and of a round and a row beside their
 * steps, in bytes. */
#define SUMMARY_BYTES 32
#define ROUND_BYTES 32
#define ROW_BYTES 256
/* Length of the field of an organisation beside its name, and of a character of
 * that as JSON, in bytes. */
#define ORG_BYTES 9
#define CHARACTER_BYTES_MAX 6
/* Highest run number accepted from the store; no task is started as often.
 * Leaves room for further numbers. */
#define RUN_MAX (INT32_MAX / 2)

static const char failure_digits[] = "0123456789abcdefghijklmnopqrstuvwxyz";
#define FAILURE_DIGITS ((int32_t)sizeof(failure_digits) - 1)

static const char *const state_names[] = {
	[SCHED_JOB_QUEUED] = "queued",	     [SCHED_JOB_RUNNING] = "running",
	[SCHED_JOB_DONE] = "done",	     [SCHED_JOB_FAILED] = "failed",
	[SCHED_JOB_CANCELLED] = "cancelled",
};

const char *sched_job_state_name(enum sched_job_state state)
{
	return state_names[state];
}

static int64_t summary_bytes(const struct jobspec *spec)
{
	int64_t sum = ROUND_BYTES;

	for (int32_t i = 0; i < spec->n_steps; i++)
		sum += SUMMARY_BYTES + spec->steps[i].tasks +
		       spec->steps[i].tasks / 4;
	return sum;
}

static int64_t row_bytes(const struct jobspec *spec)
{
	int64_t n = (int64_t)strlen(spec->org);

	return ROW_BYTES + (n ? ORG_BYTES + n * CHARACTER_BYTES_MAX : 0);
}

bool sched_fits_in_row(const struct jobspec *spec, int64_t max)
{
	return row_bytes(spec) + summary_bytes(spec) <= max;
}

int64_t sched_rounds_open_max(const struct sched *s, const struct jobspec *spec)
{
	int64_t n;

	if (!s->lim.row_bytes)
		return ROUNDS_OPEN_MAX;
	n = (s->lim.row_bytes - row_bytes(spec)) / summary_bytes(spec);
	return CLAMP(n, 1, ROUNDS_OPEN_MAX);
}

/* Writes one bit per task as hexadecimal digits, lowest task first. */
static void pack_done(const struct sched_step *step, char *hex)
{
	static const char digits[] = "0123456789abcdef";
	int32_t n = (step->def->tasks + 3) / 4;

	for (int32_t d = 0; d < n; d++) {
		int bits = 0;

		for (int32_t b = 0; b < 4 && d * 4 + b < step->def->tasks; b++)
			bits |= step->tasks[d * 4 + b].done << b;
		hex[d] = digits[bits];
	}
	hex[n] = '\0';
}

static json_t *pack_runs(const int32_t *runs, int32_t n)
{
	json_t *list = json_array();

	for (int32_t i = 0; i < n; i++)
		json_array_append_new(list, json_integer(runs[i]));
	return list;
}

/* Returns the exact progress of each task that has begun and isn't done. */
static json_t *pack_tasks(const struct sched_step *step, bool checkpoints)
{
	json_t *list = json_array();

	for (int32_t k = 0; k < step->def->tasks; k++) {
		const struct sched_task *t = &step->tasks[k];

		const char *checkpoint = checkpoints ? t->checkpoint : NULL;

		if (t->done ||
		    (!t->last_ended_run && !checkpoint && !t->crashes))
			continue;
		json_array_append_new(
			list,
			json_pack("[i,i,o,s,o,i]", t->index, t->last_ended_run,
				  pack_runs(t->failed_runs, t->failures),
				  checkpoint ? checkpoint : "",
				  pack_runs(t->crashed_runs, t->crashes),
				  t->certain_crashes));
	}
	return list;
}

/* Returns the highest run number that ended. */
static int32_t last_ended_run(const struct sched_step *step)
{
	int32_t last = 0;

	for (int32_t k = 0; k < step->def->tasks; k++)
		last = MAX(last, step->tasks[k].last_ended_run);
	return last;
}

/* Writes one digit per task: how often it has failed. */
static void pack_failures(const struct sched_step *step, char *text)
{
	for (int32_t k = 0; k < step->def->tasks; k++)
		text[k] = failure_digits[MIN(step->tasks[k].failures,
					     FAILURE_DIGITS - 1)];
	text[step->def->tasks] = '\0';
}

/* Packs a step into a few bits for each task, without checkpoints, crashes and
 * the numbers of failed runs. */
static json_t *pack_summary(const struct sched_step *step, const char *done)
{
	char failures[JOBSPEC_TASKS_MAX + 1];

	pack_failures(step, failures);
	return json_pack("[s,[],i,s]", done, last_ended_run(step), failures);
}

static json_t *pack_round(const struct sched_round *round,
			  enum sched_detail detail)
{
	json_t *steps = json_array();

	for (int32_t i = 0; i < round->job->spec->n_steps; i++) {
		const struct sched_step *step = &round->steps[i];
		char hex[JOBSPEC_TASKS_MAX / 4 + 2];

		pack_done(step, hex);
		if (detail == SCHED_DETAIL_SUMMARY)
			json_array_append_new(steps, pack_summary(step, hex));
		else
			json_array_append_new(
				steps,
				json_pack("[s,o]", hex,
					  pack_tasks(
						  step,
						  detail == SCHED_DETAIL_ALL)));
	}
	return json_pack("[I,o]", (json_int_t)round->number, steps);
}

json_t *sched_job_progress(const struct sched_job *job,
			   enum sched_detail detail)
{
	json_t *rounds = json_array();
	json_t *row = json_pack("{s:s,s:I}", "state", state_names[job->state],
				"ended_ms", (json_int_t)job->ended_wall_ms);

	json_object_set_new(row, "queue", json_string(job->spec->queue));
	if (*job->spec->org)
		json_object_set_new(row, "org", json_string(job->spec->org));
	if (job->excess)
		json_object_set_new(row, "excess", json_true());
	if (sched_job_has_ended(job)) {
		json_decref(rounds);
		return row;
	}
	for (const struct sched_round *r = job->rounds; r; r = r->next)
		json_array_append_new(rounds, pack_round(r, detail));
	json_object_set_new(row, "rounds", rounds);
	json_object_set_new(row, "next_round", json_integer(job->next_round));
	json_object_set_new(row, "rounds_done", json_integer(job->rounds_done));
	return row;
}

/* Logs that part of the job's stored progress is invalid. */
static void log_unusable_progress(struct sched *s, const struct sched_job *job)
{
	struct sched_ref ref = { 0 };

	memcpy(ref.job, job->spec->id, sizeof(ref.job));
	s->ops->log_decision(s->priv, "progress unusable", &ref, NULL,
			     "a number is out of range; skipping the entry");
}

static void unpack_task(struct sched *s, struct sched_step *step,
			const json_t *row)
{
	const json_t *failed = json_array_get(row, 2);
	/* Absent in rows of older releases. */
	const json_t *crashed = json_array_get(row, 4);
	const char *checkpoint = json_string_value(json_array_get(row, 3));
	struct sched_task *t;
	const json_t *run;
	int64_t index;
	int64_t last_ended;
	int64_t n;
	size_t i;

	if (!num_integer(json_array_get(row, 0), 0, step->def->tasks - 1,
			 &index) ||
	    !num_integer(json_array_get(row, 1), 0, RUN_MAX, &last_ended)) {
		log_unusable_progress(s, step->round->job);
		return;
	}
	t = &step->tasks[index];
	t->last_ended_run = (int32_t)last_ended;
	json_array_foreach(failed, i, run)
	{
		if (num_integer(run, 0, RUN_MAX, &n))
			sched_count_failure(t, (int32_t)n);
		else
			log_unusable_progress(s, step->round->job);
	}
	json_array_foreach(crashed, i, run)
	{
		if (num_integer(run, 0, RUN_MAX, &n))
			sched_crash_count(t, (int32_t)n);
		else
			log_unusable_progress(s, step->round->job);
	}
	t->certain_crashes = (int32_t)num_clamp(json_array_get(row, 5), 0,
						t->crashes, t->crashes);
	t->ever_started = true;
	t->last_run += t->last_ended_run;
	if (step->gang_run < t->last_run)
		step->gang_run = t->last_run;
	if (checkpoint && *checkpoint)
		t->checkpoint = talloc_strdup(step->round, checkpoint);
}

/* Reads what pack_summary() wrote. Must follow the marks of tasks that are
 * done. */
static void unpack_summary(struct sched *s, struct sched_step *step,
			   const json_t *row)
{
	const char *failures = json_string_value(json_array_get(row, 3));
	size_t len = failures ? strlen(failures) : 0;
	int64_t last;

	if (!num_integer(json_array_get(row, 2), 0, RUN_MAX, &last)) {
		log_unusable_progress(s, step->round->job);
		return;
	}
	for (int32_t k = 0; last > 0 && k < step->def->tasks; k++) {
		struct sched_task *t = &step->tasks[k];
		const char *digit =
			(size_t)k < len ? strchr(failure_digits, failures[k])
					: NULL;
		int64_t n = digit ? digit - failure_digits : 0;

		if (t->done)
			continue;
		/* The numbers of the failed runs are not known. */
		for (int64_t i = 0; i < MIN(n, last); i++)
			sched_count_failure(t, (int32_t)(last - i));
		t->counted_run = (int32_t)last;
		t->last_ended_run = (int32_t)last;
		t->last_run += (int32_t)last;
		t->ever_started = true;
		step->gang_run = MAX(step->gang_run, t->last_run);
	}
}

static void unpack_step(struct sched *s, struct sched_step *step,
			const json_t *row, int64_t now_ms)
{
	const char *hex = json_string_value(json_array_get(row, 0));
	const json_t *list = json_array_get(row, 1);
	size_t len = hex ? strlen(hex) : 0;
	const json_t *entry;
	size_t i;

	json_array_foreach(list, i, entry) unpack_task(s, step, entry);
	for (int32_t k = 0; k < step->def->tasks; k++) {
		char digit[2] = { (size_t)k / 4 < len ? hex[k / 4] : '0', 0 };

		if (strtol(digit, NULL, 16) >> (k % 4) & 1)
			sched_mark_task_done(s, &step->tasks[k], now_ms);
	}
	if (json_array_size(row) > 2)
		unpack_summary(s, step, row);
}

static enum sched_job_state parse_state(const json_t *row)
{
	const char *name = json_string_value(json_object_get(row, "state"));

	for (int i = 0; name && i <= SCHED_JOB_CANCELLED; i++) {
		if (!strcmp(state_names[i], name))
			return (enum sched_job_state)i;
	}
	return SCHED_JOB_QUEUED;
}

bool sched_progress_has_ended(const json_t *progress)
{
	return progress && parse_state(progress) >= SCHED_JOB_DONE;
}

void sched_restore_progress(struct sched *s, struct sched_job *job,
			    const json_t *row, int64_t now_ms, int64_t wall_ms)
{
	const json_t *rounds = json_object_get(row, "rounds");
	int64_t n_rounds = job->spec->rounds ? job->spec->rounds : 1;
	int64_t next = 0; /* lowest number possible for the next entry */
	const json_t *r;
	size_t i;

	sched_set_job_state(s, job, parse_state(row));
	job->ended_wall_ms =
		json_integer_value(json_object_get(row, "ended_ms"));
	if (sched_job_has_ended(job))
		return;
	job->excess = json_is_true(json_object_get(row, "excess"));
	json_array_foreach(rounds, i, r)
	{
		struct sched_round *round;
		int64_t number;
		int64_t due;
		int64_t due_ms;

		/* Rounds are stored in order of their numbers. */
		if (i >= ROUNDS_OPEN_MAX ||
		    !num_integer(json_array_get(r, 0), next, n_rounds - 1,
				 &number)) {
			log_unusable_progress(s, job);
			continue;
		}
		next = number + 1;
		due = job->spec->first_due_ms + number * job->spec->interval_ms;
		due_ms = job->spec->rounds ? now_ms - (wall_ms - due)
					   : job->accepted_ms;
		round = sched_create_round(s, job, number, due_ms);
		for (int32_t k = 0; k < job->spec->n_steps; k++)
			unpack_step(
				s, &round->steps[k],
				json_array_get(json_array_get(r, 1), (size_t)k),
				now_ms);
	}
	job->next_round = num_clamp(json_object_get(row, "next_round"), next,
				    n_rounds, next);
	job->rounds_done = num_clamp(json_object_get(row, "rounds_done"), 0,
				     job->next_round, 0);
	job->stored_rounds_done = job->rounds_done;
	sched_charge(s, job);
}
