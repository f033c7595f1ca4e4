/* Test fixture: a scheduler whose commands are recorded instead of sent. */
#include "tests/sched_fixture.h"

#include <string.h>
#include <talloc.h>

static void record_command(GArray *list, const struct sched_run *run,
			   const struct sched_ref *ref, int32_t percent)
{
	struct recorded_command command = { *ref, "", percent };

	g_strlcpy(command.worker, run->worker->row.id, sizeof(command.worker));
	g_array_append_val(list, command);
}

static void on_start(void *priv, struct sched_run *run,
		     const struct sched_ref *ref)
{
	record_command(((struct sched_fixture *)priv)->starts, run, ref, 0);
}

static void on_stop(void *priv, struct sched_run *run,
		    const struct sched_ref *ref)
{
	record_command(((struct sched_fixture *)priv)->stops, run, ref, 0);
}

static void on_pace(void *priv, struct sched_run *run,
		    const struct sched_ref *ref, int32_t percent)
{
	record_command(((struct sched_fixture *)priv)->paces, run, ref,
		       percent);
}

static void on_poll(void *priv, struct sched_worker *w)
{
	(void)priv;
	(void)w;
}

static void on_advise(void *priv, struct sched_step *step,
		      const struct sched_incarnation *workers, int32_t n)
{
	struct sched_fixture *p = priv;
	struct recorded_question question = {
		.step = { .round = step->round->number, .step = step->index },
		.n = n,
	};

	g_assert_cmpint(n, <=, FIXTURE_ASKED_MAX);
	g_strlcpy(question.step.job, step->round->job->spec->id,
		  sizeof(question.step.job));
	memcpy(question.workers, workers, (size_t)n * sizeof(*workers));
	p->advised += n;
	g_array_append_val(p->questions, question);
}

static void on_log_decision(void *priv, const char *what,
			    const struct sched_ref *ref,
			    const struct sched_worker *w, const char *detail)
{
	struct sched_fixture *p = priv;

	if (p->traces)
		g_test_message("%s %s.%d#%d %s: %s", what, ref ? ref->job : "-",
			       ref ? ref->index : 0, ref ? ref->run : 0,
			       w ? w->row.id : "-", detail);
	if (!strcmp(what, "waits"))
		g_string_append_printf(p->waits, "%s.%d %s\n", ref->job,
				       ref->index, detail);
}

static const struct sched_ops fixture_ops = { on_start,	 on_stop,
					      on_pace,	 on_poll,
					      on_advise, on_log_decision };

static struct catalog_queue queues[] = {
	{ .name = "short",
	  .pool = "p",
	  .priority = 0,
	  .attempts = 2,
	  .target_factor_milli = 2000,
	  .target_offset_ms = 600 },
	{ .name = "long",
	  .pool = "p",
	  .priority = 2,
	  .attempts = 3,
	  .target_factor_milli = 2000,
	  .target_offset_ms = 1000 },
	{ .name = "ruled",
	  .pool = "p",
	  .priority = 0,
	  .attempts = 2,
	  .target_factor_milli = 2000,
	  .target_offset_ms = 600,
	  .uses_policy = true },
};
static struct catalog_pool pools[] = { { .name = "p" } };
static const struct catalog catalog = { .version = 1,
					.n_queues = 3,
					.n_pools = 1,
					.queues = queues,
					.pools = pools };

void fixture_open(struct sched_fixture *p, int64_t epoch, GHashTable *out)
{
	static const struct sched_limits lim = {
		.lease_ms = FIXTURE_LEASE_MS,
		.lease_max_ms = FIXTURE_LEASE_MS,
		.stop_ms = 900,
		.off_rack_factor_milli = 3000,
		.impact_ms = 4000,
	};

	memset(p, 0, sizeof(*p));
	p->starts = g_array_new(FALSE, FALSE, sizeof(struct recorded_command));
	p->stops = g_array_new(FALSE, FALSE, sizeof(struct recorded_command));
	p->paces = g_array_new(FALSE, FALSE, sizeof(struct recorded_command));
	p->questions =
		g_array_new(FALSE, FALSE, sizeof(struct recorded_question));
	p->waits = g_string_new("");
	sched_init(&p->s, &fixture_ops, p, &lim, epoch, 0);
	sched_configure(&p->s, &catalog, out);
}

void fixture_close(struct sched_fixture *p)
{
	sched_finish(&p->s);
	g_array_free(p->starts, TRUE);
	g_array_free(p->stops, TRUE);
	g_array_free(p->paces, TRUE);
	g_array_free(p->questions, TRUE);
	g_string_free(p->waits, TRUE);
}

struct sched_worker *fixture_worker(struct sched_fixture *p, const char *id)
{
	return g_hash_table_lookup(p->s.workers, id);
}

static void restore_worker(struct sched_fixture *p, const char *id)
{
	json_t *roster = json_pack("[[s,s,i]]", id, "", 1);

	sched_roster_restore(&p->s, roster, 0);
	json_decref(roster);
}

void fixture_add_worker(struct sched_fixture *p, const char *id,
			const char *rack)
{
	struct sched_worker_row row = { .pool = "p",
					.domain = "d",
					.n_labels = 2,
					.born_ms = 1,
					.total = { 8000, 8000, 0 } };

	g_strlcpy(row.id, id, sizeof(row.id));
	g_strlcpy(row.rack, rack, sizeof(row.rack));
	g_strlcpy(row.labels[0], "a", sizeof(row.labels[0]));
	g_strlcpy(row.labels[1], rack, sizeof(row.labels[1]));
	if (p->s.epoch > 1)
		restore_worker(p, id);
	sched_worker_listed(&p->s, &row, 0);
	fixture_store_roster(p);
}

void fixture_store_roster(struct sched_fixture *p)
{
	for (int32_t i = 0; i < SCHED_ROSTER_ROWS; i++)
		json_decref(sched_roster_pack_row(&p->s, i));
	sched_roster_stored(&p->s);
}

/* Reports `a` and `e` under the worker's present fence token. */
void fixture_poll(struct sched_fixture *p, const char *id,
		  struct sched_active *a, int32_t n_active, struct sched_end *e,
		  int32_t n_ends, int64_t now_ms)
{
	struct sched_worker *w = fixture_worker(p, id);
	struct sched_report report = { .clock_ms = 100000 + now_ms,
				       .born_ms = w->row.born_ms,
				       .fence = w->fence,
				       .sent_ms = now_ms - 5,
				       .n_active = n_active,
				       .n_ends = n_ends,
				       .active = a,
				       .ends = e };
	bool was_on_roster = w->on_roster;

	sched_poll_answered(&p->s, w, &report, now_ms, 1000000 + now_ms);
	if (w->on_roster && !was_on_roster)
		fixture_store_roster(p);
}

struct jobspec *fixture_spec(const char *id, const char *queue, int32_t steps,
			     int32_t tasks)
{
	struct jobspec *spec = jobspec_new(NULL, steps);

	g_strlcpy(spec->id, id, sizeof(spec->id));
	g_strlcpy(spec->queue, queue, sizeof(spec->queue));
	spec->payload = talloc_strdup(spec, "x");
	for (int32_t i = 0; i < steps; i++) {
		spec->steps[i].tasks = tasks;
		spec->steps[i].cpu_milli = 4000;
		spec->steps[i].mem_mib = 100;
		spec->steps[i].expected_ms = 1000;
		if (i)
			spec->steps[i].after[spec->steps[i].n_after++] = i - 1;
	}
	return spec;
}

struct jobspec *fixture_long_running(const char *id, int64_t cpu_milli,
				     int32_t tasks)
{
	struct jobspec *spec = fixture_spec(id, "short", 1, tasks);

	spec->steps[0].is_long_running = true;
	spec->steps[0].cpu_milli = cpu_milli;
	return spec;
}

void fixture_pass_time(struct sched_fixture *p, int64_t from_ms, int64_t to_ms)
{
	for (int64_t now = from_ms; now <= to_ms; now += 100) {
		sched_tick(&p->s, now, 1000000 + now);
		sched_place(&p->s, now);
	}
}

struct sched_job *fixture_add_job(struct sched_fixture *p, struct jobspec *spec)
{
	return sched_job_add(&p->s, spec, NULL, 5, false, 0, 1000000);
}

const struct recorded_command *fixture_start(const struct sched_fixture *p,
					     guint i)
{
	g_assert_cmpuint(i, <, p->starts->len);
	return &g_array_index(p->starts, struct recorded_command, i);
}

struct sched_end fixture_end(const struct recorded_command *command,
			     int64_t seq, enum sched_end_reason reason)
{
	struct sched_end e = { .seq = seq,
			       .ref = command->ref,
			       .reason = reason };

	return e;
}

struct sched_active fixture_active(const struct recorded_command *command,
				   int32_t percent)
{
	struct sched_active a = { .ref = command->ref, .percent = percent };

	return a;
}

void fixture_answer(struct sched_fixture *p,
		    const struct recorded_question *question,
		    bool (*allows)(const struct sched_incarnation *worker,
				   void *priv),
		    void *priv, int64_t valid_ms, int64_t now_ms)
{
	/* The scheduler may ask again, and move the recorded calls. */
	const struct recorded_question asked = *question;
	const char *ids[FIXTURE_ASKED_MAX];
	const char *tickets[FIXTURE_ASKED_MAX];
	struct sched_advice advice = { .step = asked.step,
				       .asked = asked.workers,
				       .n_asked = asked.n,
				       .ids = ids,
				       .tickets = tickets,
				       .valid_ms = valid_ms };

	for (int32_t i = 0; i < asked.n; i++) {
		if (!allows(&asked.workers[i], priv))
			continue;
		ids[advice.n_allowed] = asked.workers[i].id;
		tickets[advice.n_allowed++] = "t";
	}
	sched_advice_received(&p->s, &advice, now_ms);
}

void fixture_started(struct sched_fixture *p,
		     const struct recorded_command *command, int64_t now_ms)
{
	sched_start_answered(&p->s, &command->ref, command->worker,
			     SCHED_START_OK, now_ms);
}
