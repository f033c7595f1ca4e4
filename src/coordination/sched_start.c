/* Starts a task at the worker that was chosen for it. */
#include <stdio.h>
#include <string.h>

#include "coordination/sched_int.h"

/* Bytes of a start command, and of the call that carries it, beside the
 * payload. */
#define START_OVERHEAD_BYTES 500
/* The same of a message to a relay. */
#define RELAYED_OVERHEAD_BYTES 200

bool sched_task_is_ready(const struct sched *s, const struct sched_task *t,
			 int64_t now_ms)
{
	if (t->ever_started && s->ownership != SCHED_OWNER_CERTAIN)
		return false;
	if (sched_is_exhausted(t))
		return false;
	return !t->done && !t->runs && now_ms >= t->not_before_ms;
}

int64_t sched_start_bytes(const struct sched *s, const struct sched_step *step)
{
	int64_t payload = (int64_t)strlen(step->round->job->spec->payload);
	int64_t tasks = step->def->tasks;

	if (!s->relays)
		return START_OVERHEAD_BYTES + payload;
	/* Each relay gets the payload once. */
	if (tasks > s->relays)
		payload = payload * s->relays / tasks;
	return RELAYED_OVERHEAD_BYTES + payload;
}

static void count_speed(struct sched *s, int64_t now_ms)
{
	if (s->chosen_speed >= WAIT_VALUE_FULL_SPEED)
		wait_rate_add(&s->full_speed_starts, now_ms);
	else
		s->counts.slow_starts++;
}

/* Describes the start for the log. */
static const char *describe_start(const struct sched *s,
				  const struct sched_task *t, char *text,
				  size_t size, int64_t now_ms)
{
	const char *how = t->checkpoint ? "resumes" : "afresh";

	if (t->runs->next_of_task)
		how = "second copy";
	if (!t->step->def->best_effort ||
	    s->chosen_speed >= WAIT_VALUE_FULL_SPEED)
		return how;
	snprintf(text, size,
		 "%s at speed %.2f, %.2f is enough after %lld ms with %lld "
		 "tasks ahead",
		 how, s->chosen_speed, sched_speed_min(t->step),
		 (long long)(now_ms - t->step->ready_ms),
		 (long long)s->best_effort_waiting);
	return text;
}

void sched_start_task(struct sched *s, struct sched_task *t,
		      struct sched_worker *w, int32_t number, int64_t now_ms)
{
	struct sched_run *run = sched_run_new(s, t, w, number, now_ms);
	struct sched_ref ref;
	char how[120];

	if (sched_is_suspect(t))
		sched_isolate_run(run, true);
	if (t->step->def->best_effort) {
		sched_record_exploration(s, run, now_ms);
		count_speed(s, now_ms);
	}
	t->step->placed_ms = now_ms;
	s->counts.starts++;
	s->counts.resumes += t->checkpoint != NULL;
	sched_run_ref(run, &ref);
	s->ops->log_decision(s->priv, "start", &ref, w,
			     describe_start(s, t, how, sizeof(how), now_ms));
	s->start_room.bytes -= sched_start_bytes(s, t->step);
	s->start_room.commands--;
	s->ops->start(s->priv, run, &ref);
}
