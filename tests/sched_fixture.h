/* Test fixture: a scheduler whose commands are recorded instead of sent. */
#ifndef SCHED_FIXTURE_H
#define SCHED_FIXTURE_H

#include <glib.h>

#include "coordination/sched.h"

#define FIXTURE_LEASE_MS 6000

/* The scheduler and the commands that it issued, each array in order. */
struct sched_fixture {
	struct sched s;
	GArray *starts; /* struct recorded_command, like the next two */
	GArray *stops;
	GArray *paces;
	int advised; /* workers that tickets were requested for */
	GArray *questions; /* struct recorded_question */
	GString *waits; /* lines of the decision log on waiting tasks */
	bool traces; /* the decision log is printed */
};

struct recorded_command {
	struct sched_ref ref;
	char worker[SCHED_ID_MAX];
	int32_t percent;
};

#define FIXTURE_ASKED_MAX 100

/* A call to the policy service. */
struct recorded_question {
	struct sched_ref step;
	int32_t n;
	struct sched_incarnation workers[FIXTURE_ASKED_MAX];
};

/* Configures the queues short (highest priority), long, and ruled (uses the
 * policy service), all with pool p. `out` are the domains out of service. */
void fixture_open(struct sched_fixture *p, int64_t epoch, GHashTable *out);
void fixture_close(struct sched_fixture *p);
struct sched_worker *fixture_worker(struct sched_fixture *p, const char *id);
/* Lists a worker. A later epoch finds it on its predecessor's roster, too. */
void fixture_add_worker(struct sched_fixture *p, const char *id,
			const char *rack);
/* Marks the present roster as stored. */
void fixture_store_roster(struct sched_fixture *p);
/* The worker answers a poll, sent 5 ms before `now_ms`, with a status report of
 * these runs and ends. If that adds it to the roster, the roster is stored. */
void fixture_poll(struct sched_fixture *p, const char *id,
		  struct sched_active *a, int32_t n_active, struct sched_end *e,
		  int32_t n_ends, int64_t now_ms);
/* Returns a job of a chain of `steps` steps with `tasks` tasks each. */
struct jobspec *fixture_spec(const char *id, const char *queue, int32_t steps,
			     int32_t tasks);
/* Returns a job of one step with long-running tasks. */
struct jobspec *fixture_long_running(const char *id, int64_t cpu_milli,
				     int32_t tasks);
/* Runs the owner's ticks and passes over a while. */
void fixture_pass_time(struct sched_fixture *p, int64_t from_ms, int64_t to_ms);
struct sched_job *fixture_add_job(struct sched_fixture *p,
				  struct jobspec *spec);
/* Returns the start command number `i`, from 0. */
const struct recorded_command *fixture_start(const struct sched_fixture *p,
					     guint i);
/* Return the end and the active entry of the run that `command` started. */
struct sched_end fixture_end(const struct recorded_command *command,
			     int64_t seq, enum sched_end_reason reason);
struct sched_active fixture_active(const struct recorded_command *command,
				   int32_t percent);
/* The policy service answers a call: it allows the workers for which `allows`
 * returns true, for `valid_ms`. */
void fixture_answer(struct sched_fixture *p,
		    const struct recorded_question *question,
		    bool (*allows)(const struct sched_incarnation *worker,
				   void *priv),
		    void *priv, int64_t valid_ms, int64_t now_ms);
/* The worker answers the start command with success. */
void fixture_started(struct sched_fixture *p,
		     const struct recorded_command *command, int64_t now_ms);

#endif
