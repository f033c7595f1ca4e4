/* What the parts of the scheduler share; for them alone. */
#ifndef SCHED_INT_H
#define SCHED_INT_H

#include "coordination/sched.h"

struct sched_task *sched_find_task(struct sched *s,
				   const struct sched_ref *ref);
struct sched_task *sched_find_reported_task(struct sched *s,
					    const struct sched_ref *ref,
					    int64_t now_ms, int64_t wall_ms);
void sched_run_ref(const struct sched_run *run, struct sched_ref *ref);

/* The job has news for the store. */
void sched_mark_dirty(struct sched *s, struct sched_job *job);

/* Puts the step on or off the list of steps with tasks to start. */
void sched_update_ready(struct sched *s, struct sched_step *step);
/* Is there a task of the step that should be started now? */
bool sched_task_is_ready(const struct sched *s, const struct sched_task *t,
			 int64_t now_ms);

struct sched_run *sched_run_new(struct sched *s, struct sched_task *t,
				struct sched_worker *w, int32_t number,
				int64_t now_ms);
/* What it takes of its worker's processors follows its pace. */
void sched_set_pace(struct sched_run *run, int32_t pace);
/* Takes the run off its task and worker, and frees it. */
void sched_run_free(struct sched *s, struct sched_run *run);
void sched_run_stop(struct sched *s, struct sched_run *run, int64_t now_ms,
		    const char *why);

/* False if the failure of this run was counted before. */
bool sched_count_failure(struct sched_task *t, int32_t run);
void sched_task_done(struct sched *s, struct sched_task *t, int64_t now_ms,
		     int64_t wall_ms);
void sched_job_end(struct sched *s, struct sched_job *job,
		   enum sched_job_state state, int64_t now_ms, int64_t wall_ms);
void sched_make_rounds(struct sched *s, struct sched_job *job, int64_t now_ms,
		       int64_t wall_ms);

/* Everything that ran at the worker has surely ended. */
void sched_expire_runs(struct sched *s, struct sched_worker *w, int64_t now_ms,
		       const char *why);
/* When every lease that the worker may hold has surely ended. */
int64_t sched_lease_expiry_ms(const struct sched_worker *w);
/* A lease lasts at most this long by our clock, delays included. */
int64_t sched_lease_bound_ms(int64_t lease_ms);
/* When every lease that a former owner gave has surely ended. */
int64_t sched_prev_lease_expiry_ms(const struct sched *s);
/* Some worker may run tasks of a former owner that we know nothing of. */
bool sched_may_miss_runs(const struct sched *s, int64_t now_ms);
/* Orders sent so far are refused by the worker from its next look on. */
void sched_raise_fence(struct sched *s, struct sched_worker *w);

/* Tasks of the step that may run at the worker. */
int32_t sched_count_tasks_at(const struct sched_step *step,
			     const struct sched_worker *w);
/* May the step run there at all? */
bool sched_is_eligible(const struct sched *s, const struct sched_step *step,
		       const struct catalog_queue *q,
		       const struct sched_worker *w, int64_t now_ms);
/* Takes work off a worker that is to go away. */
void sched_drain_worker(struct sched *s, struct sched_worker *w,
			int64_t now_ms);
/* Best-effort work that stands still moves to where it can go on. */
void sched_move_paused(struct sched *s, int64_t now_ms);
/* Is there room for one more? */
bool sched_fits(const struct sched_step *step, const struct sched_worker *w);
/* What is left for best-effort work, what it takes already included. */
int64_t sched_best_effort_capacity(const struct sched_worker *w);
/* The best of these for one more task of the step; NULL if there is none. */
struct sched_worker *sched_choose_worker(const struct sched *s,
					 struct sched_worker **list, int32_t n,
					 const struct sched_step *step);

/* A worker that leaves and runs nothing would only make a successor wait. */
void sched_roster_update(struct sched *s, struct sched_worker *w);
/* The worker came, went or moved. */
void sched_roster_mark_dirty(struct sched *s, const struct sched_worker *w);
/* Part of the worker's processors. */
double sched_cpu_share(const struct sched_worker *w, int64_t milli);
/* What a serving task surely leaves unused of the processors it asked for. */
int64_t sched_unused_milli(const struct sched *s, const struct sched_run *run);
void sched_set_unused_milli(struct sched_run *run, int64_t milli);
/* Slack that a serving task has in any case until paces can be changed. */
double sched_guaranteed_slack(const struct sched *s,
			      const struct sched_run *run);
/* Learns from the tails that a look showed. */
void sched_measure_slack(struct sched *s, struct sched_worker *w,
			 int64_t now_ms);
/* Work of the step that took `milli` there has left: tails show it a while. */
void sched_mark_tails_stale(struct sched *s, struct sched_worker *w,
			    const struct sched_step *step, int64_t milli,
			    int64_t now_ms);
/* Response-time targets of serving tasks against best-effort work. */
void sched_adjust_paces(struct sched *s, struct sched_worker *w,
			int64_t now_ms);
/* A run that just began does so at full speed. */
void sched_pace_new_run(struct sched *s, struct sched_run *run, int64_t now_ms);
/* Speed that best-effort work of the step could have beside what serves at
 * the worker, 0 to 1. */
double sched_colocated_speed(const struct sched *s,
			     const struct sched_worker *w,
			     const struct sched_step *step);
/* Best-effort work begins beside what serves there. */
void sched_record_exploration(struct sched *s, const struct sched_run *run,
			      int64_t now_ms);
/* Tasks that stand still, and workers that fail what they start. */
void sched_check_stalls(struct sched *s, int64_t now_ms);
void sched_record_result(struct sched *s, struct sched_worker *w,
			 const struct sched_ref *ref, bool failed,
			 int64_t now_ms);

/* How urgent a step is. */
enum sched_tier { SCHED_TIER_IN_TIME, SCHED_TIER_LATE, SCHED_TIER_VERY_LATE };

struct sched_rank {
	struct sched_step *step;
	enum sched_tier tier;
	int32_t priority;
	bool started; /* some of its job has run */
	int64_t latest_ms; /* when it has to start to be in time */
	double value; /* of its job, in units of its queue's */
	double work_left; /* work of its job, thousandths of a core x ms */
};

struct sched_rank sched_rank_step(const struct sched *s,
				  struct sched_step *step, int64_t now_ms);
/* All work of a job by its estimates, thousandths of a core x ms. */
double sched_estimate_work(const struct jobspec *spec);
/* Counts a new job in the mean work of its queue. */
void sched_update_mean_work(struct sched *s, const struct jobspec *spec);

#endif
