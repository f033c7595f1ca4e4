/* Functions that the sched_*.c files share. Not for other modules. */
#ifndef SCHED_INT_H
#define SCHED_INT_H

#include "coordination/sched.h"

/* Lateness of a step. */
enum sched_tier { SCHED_TIER_IN_TIME, SCHED_TIER_LATE, SCHED_TIER_VERY_LATE };

struct sched_rank {
	struct sched_step *step;
	enum sched_tier tier;
	int32_t priority;
	bool started; /* a task of its job has started */
	/* Since when a long-running task of the step is idle. */
	int64_t idle_since_ms;
	bool overdue; /* a long-running task is idle for too long */
	int64_t latest_ms; /* latest start to meet the response-time target */
	double weight; /* of its job, see job_weight() in sched_rank.c */
	double work_left; /* of its round, in thousandths of a core x ms */
	enum org_standing standing; /* of its organisation */
	bool excess; /* see struct sched_job */
};

/* Returns NULL if the job, its round or the task is unknown. */
struct sched_task *sched_find_task(struct sched *s,
				   const struct sched_ref *ref);
/* Returns whether the round of the reported task can't be opened until earlier
 * ones are done and stored. */
bool sched_is_beyond_window(const struct sched *s, const struct sched_ref *ref);
/* Like sched_find_task(), but creates the missing rounds of the window. */
struct sched_task *sched_find_reported_task(struct sched *s,
					    const struct sched_ref *ref,
					    int64_t now_ms, int64_t wall_ms);
void sched_run_ref(const struct sched_run *run, struct sched_ref *ref);

/* Changes the state of a job that was counted by sched_count_added(). Nothing
 * else does, so that the numbers of queued jobs stay right. */
void sched_set_job_state(struct sched *s, struct sched_job *job,
			 enum sched_job_state state);
void sched_count_added(struct sched *s, const struct sched_job *job);
void sched_count_removed(struct sched *s, const struct sched_job *job);

/* Account for the memory of a job: after its rounds have changed, and before it
 * is removed. */
void sched_charge(struct sched *s, struct sched_job *job);
void sched_uncharge(struct sched *s, struct sched_job *job);
/* Returns false if memory is too short for a further round. The first one is
 * always opened. */
bool sched_may_open_round(const struct sched *s, const struct sched_job *job);

/* Returns how many rounds of the job may exist that are not done, or not stored
 * as done. */
int64_t sched_rounds_open_max(const struct sched *s,
			      const struct jobspec *spec);
struct sched_round *sched_create_round(struct sched *s, struct sched_job *job,
				       int64_t number, int64_t due_ms);
void sched_mark_task_done(struct sched *s, struct sched_task *t,
			  int64_t now_ms);
/* Reads a stored progress row. */
void sched_restore_progress(struct sched *s, struct sched_job *job,
			    const json_t *row, int64_t now_ms, int64_t wall_ms);
/* Queues the job's progress to be stored. */
void sched_mark_dirty(struct sched *s, struct sched_job *job);

/* Adds the step to ready_steps or removes it, as its state requires. */
void sched_update_ready(struct sched *s, struct sched_step *step);
/* Returns whether the task should be started now. */
bool sched_task_is_ready(const struct sched *s, const struct sched_task *t,
			 int64_t now_ms);

/* Adds run `number` of the task to the worker, without sending a command. The
 * task and the worker own it. */
struct sched_run *sched_run_new(struct sched *s, struct sched_task *t,
				struct sched_worker *w, int32_t number,
				int64_t now_ms);
/* Returns the task's run of that number at the worker, or NULL. `t` may be
 * NULL. */
struct sched_run *sched_find_run(const struct sched_task *t,
				 const struct sched_worker *w, int32_t number);
/* A run of the job has started: it is queued no more. */
void sched_mark_running(struct sched *s, struct sched_job *job);
/* Sets the pace and updates the worker's best_effort_milli. */
void sched_set_pace(struct sched_run *run, int32_t pace);
/* Removes the run from its task and worker, and frees it. */
void sched_run_free(struct sched *s, struct sched_run *run);
/* Sends a stop command unless one was sent before. */
void sched_run_stop(struct sched *s, struct sched_run *run, int64_t now_ms,
		    const char *why);

/* Returns whether the task has failed as often as its queue allows. False while
 * the queue is not configured. */
bool sched_is_exhausted(const struct sched_task *t);
/* Ends the jobs of exhausted tasks, if any became so in another way than by a
 * failure. */
void sched_end_exhausted(struct sched *s, int64_t now_ms, int64_t wall_ms);
/* Returns false if the failure of this run was counted before. */
bool sched_count_failure(struct sched_task *t, int32_t run);
/* Marks the task as done and with it, as far as they are complete, its step,
 * round and job. May free the round. */
void sched_task_done(struct sched *s, struct sched_task *t, int64_t now_ms,
		     int64_t wall_ms);
/* Sets the final state of the job and stops all its runs. */
void sched_job_end(struct sched *s, struct sched_job *job,
		   enum sched_job_state state, int64_t now_ms, int64_t wall_ms);
void sched_create_due_rounds(struct sched *s, struct sched_job *job,
			     int64_t now_ms, int64_t wall_ms);

/* Drops all runs at the worker: its leases have expired, so they have ended. */
void sched_expire_runs(struct sched *s, struct sched_worker *w, int64_t now_ms,
		       const char *why);
/* Returns when every lease that the worker may hold has expired. */
int64_t sched_lease_expiry_ms(const struct sched_worker *w);
/* Returns the longest time by the owner's clock that a lease of `lease_ms` on a
 * worker's clock takes to expire, delays included. */
int64_t sched_lease_bound_ms(int64_t lease_ms);
/* The worker may have a lease until `expiry_ms`, longer than owners grant. No
 * task starts there until the roster says so, for a successor. */
void sched_note_long_lease(struct sched *s, struct sched_worker *w,
			   int64_t expiry_ms);
/* The same for a worker that has restarted: calls to its earlier incarnation
 * may take effect in the present one. */
void sched_note_restart(struct sched *s, struct sched_worker *w,
			int64_t now_ms);
/* The worker reported under the present fence token: from now on it gets no
 * more such leases. */
void sched_end_long_lease(struct sched *s, struct sched_worker *w,
			  int64_t now_ms);
/* Takes the mark off the worker's roster entry once its lease has expired. */
void sched_check_long_lease(struct sched *s, struct sched_worker *w,
			    int64_t now_ms);
/* Returns when every lease that a previous owner granted has expired. */
int64_t sched_prev_lease_expiry_ms(const struct sched *s);
/* Returns whether a worker may run tasks of a previous owner that this owner
 * doesn't know of. */
bool sched_may_miss_runs(const struct sched *s, int64_t now_ms);
/* Raises the worker's fence token: once it has answered the next poll, it
 * refuses all commands sent before. */
void sched_raise_fence(struct sched *s, struct sched_worker *w);

void sched_org_init(struct sched *s);
void sched_org_finish(struct sched *s);
void sched_org_job_added(struct sched *s, struct sched_job *job);
void sched_org_job_removed(struct sched *s, struct sched_job *job);
/* Decides whether the next new job of an organisation is in excess. Returns the
 * job, or NULL if there are no more. */
struct sched_job *sched_org_rate_next(struct sched *s, int64_t now_ms);
/* Determines which organisations share the workers in this pass. */
void sched_org_begin_pass(struct sched *s);
/* Returns whether the step's organisation was below its entitlement when the
 * step was ranked and has reached it by starts since. */
bool sched_org_has_reached_share(const struct sched *s,
				 const struct sched_rank *r);
/* Returns whether the shares let the step evict the run. */
bool sched_org_may_evict(const struct sched *s, const struct sched_step *by,
			 const struct sched_run *victim);
/* A task of the step, which may run at these workers, finds no room. */
void sched_org_note_shortage(struct sched *s, const struct sched_step *step,
			     struct sched_worker **list, int32_t n,
			     int64_t now_ms);

/* Returns the number of runs of the step at the worker. */
int32_t sched_count_tasks_at(const struct sched_step *step,
			     const struct sched_worker *w);
/* What keeps the tasks of a step from starting at a worker. */
enum sched_obstacle {
	SCHED_OBSTACLE_NONE,
	SCHED_OBSTACLE_OTHER_POOL,
	SCHED_OBSTACLE_UNLISTED,
	SCHED_OBSTACLE_UNRECONCILED,
	SCHED_OBSTACLE_SILENT,
	SCHED_OBSTACLE_DRAINING,
	SCHED_OBSTACLE_EVACUATING,
	SCHED_OBSTACLE_NOT_STORED, /* not on the stored roster */
	SCHED_OBSTACLE_ROW_OUTDATED,
	SCHED_OBSTACLE_FOREIGN_RUNS,
	SCHED_OBSTACLE_QUARANTINED,
	SCHED_OBSTACLE_REFUSED, /* paused after a refusal */
	SCHED_OBSTACLE_DOMAIN_OUT,
	SCHED_OBSTACLE_LABEL,
	/* From here on: room. */
	SCHED_OBSTACLE_SMALL_TASKS, /* too many small tasks */
	SCHED_OBSTACLE_CPU,
	SCHED_OBSTACLE_MEMORY,
	SCHED_OBSTACLE_ACCELERATORS,
	SCHED_OBSTACLE_ISOLATED, /* a task there has to run apart */
	SCHED_OBSTACLE_RESERVED, /* the room is kept for another task */
	SCHED_OBSTACLE_SPREAD, /* too many tasks of the step */
	SCHED_OBSTACLE_SLOW, /* serving tasks would slow it down too much */
	SCHED_OBSTACLE_RACK, /* the step waits for another rack */
	SCHED_OBSTACLE_TICKET, /* the policy service has not answered yet */
	SCHED_OBSTACLE_DENIED, /* by the policy service */
	SCHED_OBSTACLE_CAP, /* of the organisation */
	SCHED_OBSTACLES
};

/* Returns what keeps tasks of the step from the worker, room aside. */
enum sched_obstacle sched_find_obstacle(const struct sched *s,
					const struct sched_step *step,
					const struct catalog_queue *q,
					const struct sched_worker *w,
					int64_t now_ms);
/* Returns whether tasks of the step may start at the worker, room aside. */
bool sched_is_eligible(const struct sched *s, const struct sched_step *step,
		       const struct catalog_queue *q,
		       const struct sched_worker *w, int64_t now_ms);
/* Returns whether the policy service, if the queue uses it, permits the step at
 * the worker. */
bool sched_has_ticket(const struct sched_step *step,
		      const struct sched_worker *w, int64_t now_ms);
/* Returns whether the policy service refused the step at this incarnation of
 * the worker; it doesn't change its mind. */
bool sched_is_denied(const struct sched_step *step,
		     const struct sched_worker *w);
/* Asks the policy service about the first `n` workers of the list with room for
 * the step, unless it was asked about all or owes an answer. The call names
 * others of the `n_all` workers as far as there is space. */
void sched_request_tickets(struct sched *s, struct sched_step *step,
			   struct sched_worker **list, int32_t n, int32_t n_all,
			   int64_t now_ms);
/* Moves the workers of the rack where the step should start to the front of the
 * list. Returns their number, or `n` if the step may start anywhere.
 * `half_used` tells whether half of the workers' CPU is reserved by tasks. */
int32_t sched_prefer_rack(struct sched *s, const struct sched_rank *r,
			  struct sched_worker **list, int32_t n, bool half_used,
			  int64_t now_ms);
/* Frees the step's tickets and denials. */
void sched_free_advice(struct sched_step *step);
/* The long-running tasks of the job's step free their room. */
void sched_demand_ended(struct sched *s, const struct sched_step *step);
/* Updates the pools' demands, from time to time. */
void sched_measure_demand(struct sched *s, int64_t now_ms);
/* Notes since when tasks wait, and logs why the longest waiting ones do. */
void sched_check_waits(struct sched *s, int64_t now_ms);
/* Stops tasks at a worker that is draining or being evacuated. */
void sched_drain_worker(struct sched *s, struct sched_worker *w,
			int64_t now_ms);
/* Moves paused best-effort tasks to workers where they can continue. */
void sched_move_paused(struct sched *s, int64_t now_ms);
/* Returns whether the step's tasks ask for so little that the room of a worker
 * hardly bounds their number. */
bool sched_is_small(const struct jobspec_step *def);
/* Returns what the worker lacks to hold one more task of the step. */
enum sched_obstacle sched_find_shortage(const struct sched_step *step,
					const struct sched_worker *w);
/* Returns whether a best-effort task of the step would be fast enough beside
 * the serving tasks at the worker. */
bool sched_is_fast_enough(const struct sched *s, const struct sched_worker *w,
			  const struct sched_step *step);
/* Returns the lowest speed at which a best-effort task of the step starts. */
double sched_speed_min(const struct sched_step *step);
/* Returns whether one more task of the step fits on the worker. */
bool sched_fits(const struct sched_step *step, const struct sched_worker *w);
/* Returns how many more tasks of the step fit on the worker. */
int64_t sched_count_fitting(const struct sched_step *step,
			    const struct sched_worker *w);
/* Returns the CPU available to best-effort tasks in all, including what they
 * use already, in thousandths of a core. */
int64_t sched_best_effort_capacity(const struct sched_worker *w);
/* Returns the best worker of `list` for one more task of the step, or NULL if
 * it fits on none or would be too slow there. `fits`, if not NULL, is set to
 * whether it fits on one. Adds the number of workers and runs that it looked at
 * to s->pass_work. */
struct sched_worker *sched_choose_worker(struct sched *s,
					 struct sched_worker **list, int32_t n,
					 struct sched_step *step, bool *fits);

/* Returns whether evicting tasks of the step loses at most their work since the
 * last checkpoint. */
bool sched_is_evictable(const struct jobspec_step *def);
/* Makes room for one task by evictions, at the worker with most free CPU. */
void sched_evict_for_step(struct sched *s, const struct sched_rank *r,
			  struct sched_worker **list, int32_t n,
			  int64_t now_ms);
/* Reserves room for a long-running task at the worker where it will fit
 * soonest, and evicts tasks there that may go on elsewhere. Returns false if it
 * will fit at none. */
bool sched_reserve_room(struct sched *s, const struct sched_rank *r,
			struct sched_worker **list, int32_t n, int64_t now_ms);
/* Returns whether all members of a gang will fit at the same time. */
bool sched_gang_will_fit(struct sched *s, const struct sched_step *step,
			 struct sched_worker **list, int32_t n);
void sched_clear_reservations(struct sched *s);

/* Returns the worker where a best-effort task of the step would run fastest
 * beside the serving tasks, of those with half of their memory free. Returns
 * NULL while half of the workers' CPU is reserved: others make better use of
 * the rest. */
struct sched_worker *sched_choose_starved(struct sched *s,
					  struct sched_worker **list, int32_t n,
					  const struct sched_step *step);
/* The worker's runs are given up since it doesn't answer. Call it before they
 * are freed. */
void sched_crash_worker_lost(struct sched *s, const struct sched_worker *w,
			     int64_t now_ms);
/* The worker's process was restarted under the same id. Call it before the runs
 * of the old one are freed. */
void sched_crash_worker_restarted(struct sched *s, const struct sched_worker *w,
				  int64_t now_ms);
/* A worker is listed: it may be the next one on the VM of a lost worker. */
void sched_crash_worker_listed(struct sched *s, const struct sched_worker *w,
			       int64_t now_ms);
/* The worker answers: it didn't crash. */
void sched_crash_worker_answered(struct sched *s, const char *id);
/* Ends the jobs of tasks that are given up, and forgets old losses. */
void sched_crash_tick(struct sched *s, int64_t now_ms, int64_t wall_ms);
void sched_crash_finish(struct sched *s);
/* Appends the workers that were lost and not replaced yet to the handover, with
 * at most `runs_max` runs in all. */
void sched_crash_pack(const struct sched *s, json_t *list, int32_t runs_max,
		      int64_t now_ms);
/* Returns whether the entry of a handover is a lost worker, which it restores
 * if it is valid. */
bool sched_crash_restore(struct sched *s, const json_t *entry, int64_t now_ms);
/* Reads what identifies a run in a handover. Returns false if it is invalid. */
bool sched_unpack_ref(const json_t *j, struct sched_ref *ref);
/* Adds a crash under this run of the task. Returns false if it was counted
 * before. */
bool sched_crash_count(struct sched_task *t, int32_t run);
/* Returns whether the task has to run apart: workers have crashed under it
 * repeatedly, or one as soon as it started there. */
bool sched_is_suspect(const struct sched_task *t);
/* Returns whether a suspect with one crash may run apart together with those at
 * the worker. */
bool sched_has_group(const struct sched_worker *w);
/* Starts or ends the isolation of a run. */
void sched_isolate_run(struct sched_run *run, bool on);
/* A report lists the run: ends the isolation if it has lasted long enough. */
void sched_crash_run_reported(struct sched *s, struct sched_run *run,
			      int64_t now_ms);

/* Adds the worker to the roster, or removes it if it is draining and idle: a
 * successor would wait for its lease in vain. */
void sched_roster_update(struct sched *s, struct sched_worker *w);
/* Queues the worker's roster row to be stored. */
void sched_roster_mark_dirty(struct sched *s, const struct sched_worker *w);
/* Returns `milli` as a share of the worker's CPU, 0 to 1. */
double sched_cpu_share(const struct sched_worker *w, int64_t milli);
/* Returns the reserved CPU that a serving task leaves unused, in thousandths of
 * a core; 0 for other tasks. */
int64_t sched_unused_milli(const struct sched *s, const struct sched_run *run);
void sched_set_unused_milli(struct sched_run *run, int64_t milli);
/* Returns the slack that a serving task keeps, without best-effort tasks, until
 * paces can be changed again. */
double sched_guaranteed_slack(const struct sched *s,
			      const struct sched_run *run);
/* Evaluates the tail latencies of the worker's latest report. */
void sched_measure_slack(struct sched *s, struct sched_worker *w,
			 int64_t now_ms);
/* Best-effort load of the step that used `milli` ended or slowed down. If it
 * disturbed a serving task, tail latencies count as stale for a while. */
void sched_mark_tails_stale(struct sched *s, struct sched_worker *w,
			    const struct sched_step *step, int64_t milli,
			    int64_t now_ms);
/* Sets the paces of best-effort tasks at the worker so that serving tasks stay
 * within their response-time targets. */
void sched_adjust_paces(struct sched *s, struct sched_worker *w,
			int64_t now_ms);
/* Sets the pace of a run that just started, since runs start at full speed. */
void sched_pace_new_run(struct sched *s, struct sched_run *run, int64_t now_ms);
/* Returns the speed, 0 to 1, that a best-effort task of the step could have
 * beside the serving tasks at the worker. */
double sched_colocated_speed(const struct sched *s,
			     const struct sched_worker *w,
			     const struct sched_step *step);
/* Notes that a best-effort run starts beside the worker's serving tasks, for
 * the limit on pairs of images that are not measured yet. */
void sched_record_exploration(struct sched *s, const struct sched_run *run,
			      int64_t now_ms);
/* Moves stalled tasks and quarantines their workers. */
void sched_check_stalls(struct sched *s, int64_t now_ms);
/* Ends the worker's series of failures and quarantines. */
void sched_forget_failures(struct sched_worker *w);
/* Counts a result for the worker; quarantines it if several jobs fail there.
 * `run` is NULL if it is not tracked any more. */
void sched_record_result(struct sched *s, struct sched_worker *w,
			 const struct sched_ref *ref,
			 const struct sched_run *run, bool failed,
			 int64_t now_ms);

/* Returns what keeps `n` tasks of the step from starting because of its
 * organisation. */
enum org_wait sched_org_wait(struct sched *s, const struct sched_step *step,
			     int32_t n, int64_t now_ms);
/* Returns whether a cap bounds the step's tasks. */
bool sched_org_has_cap(const struct sched_step *step);
/* Returns the number of tasks of the step that have to start together. */
int32_t sched_org_tasks(const struct sched_step *step);
/* Returns how many of `n` tasks of the step fit under the cap of its
 * organisation beside the work in `claimed`, which they are added to: a table
 * of account to struct place_resources. */
int32_t sched_org_claim(const struct sched *s, const struct sched_step *step,
			int32_t n, GHashTable *claimed);
/* The run was started by an earlier owner, and is part of its grant. */
void sched_org_run_found(struct sched *s, struct sched_run *run);
/* The run is about to be freed. */
void sched_org_run_freed(struct sched *s, const struct sched_run *run);
/* The run is about to be freed although it may be active. */
void sched_org_run_dropped(struct sched *s, const struct sched_run *run);
/* The worker reports a run that is not tracked, and is being stopped. */
void sched_org_run_untracked(struct sched *s, struct sched_worker *w,
			     const struct sched_ref *ref);
/* Forgets the untracked runs that the report is about; it lists those that are
 * active. */
void sched_org_report_begins(struct sched *s, struct sched_worker *w,
			     const struct sched_report *report);
/* The worker's process has restarted. Start commands may take effect later. */
void sched_org_worker_restarted(struct sched *s, struct sched_worker *w,
				int64_t now_ms);
/* Nothing runs at the worker any more. */
void sched_org_worker_ended(struct sched *s, struct sched_worker *w);
/* Updates whether earlier owners may have tasks running that are not known. */
void sched_org_check_earlier(struct sched *s, int64_t now_ms);

/* Returns whether nothing that comes before the shares of organisations decides
 * between the two. */
bool sched_rank_same_service(const struct sched_rank *x,
			     const struct sched_rank *y);
/* Starts the task as run `number`, and logs why there. */
void sched_start_task(struct sched *s, struct sched_task *t,
		      struct sched_worker *w, int32_t number, int64_t now_ms);
/* Learns from a run that is done, if it had full speed all the time. */
void sched_record_run_time(struct sched *s, const struct sched_run *run,
			   int64_t now_ms);
/* Returns the time in ms that a task of the step probably runs. */
int64_t sched_expected_run_ms(const struct sched *s,
			      const struct sched_step *step);

struct sched_rank sched_rank_step(const struct sched *s,
				  struct sched_step *step, int64_t now_ms);
/* Returns all work of a job by its estimates, in thousandths of a core x ms. */
double sched_estimate_work(const struct jobspec *spec);
/* Includes a new job in the mean work of its queue. */
void sched_update_mean_work(struct sched *s, const struct jobspec *spec);

#endif
