/*
 * Types of the scheduler (sched.h): what it knows of jobs and workers.
 *
 * Times ending in _ms are in milliseconds on the caller's monotonic clock
 * unless a comment or the name (wall_ms, clock_ms) says otherwise.
 */
#ifndef SCHED_TYPES_H
#define SCHED_TYPES_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/catalog.h"
#include "coordination/interfere.h"
#include "coordination/place.h"
#include "coordination/run_times.h"
#include "coordination/wait_value.h"
#include "org/org_caps.h"
#include "org/org_rate.h"
#include "org/org_share.h"
#include "protocol/jobspec.h"

#define SCHED_ID_MAX 72
#define SCHED_LABELS_MAX 6
#define SCHED_CHECKPOINT_MAX 200
/* Task ends in one status report (limit of the platform); the next report
 * carries the rest. */
#define SCHED_ENDS_MAX 500
#define SCHED_TICKET_MAX 64
/* Most images of best-effort tasks measured separately at one worker. */
#define SCHED_LOADS_MAX 16

/* Identifies one run of a task. */
struct sched_ref {
	char job[JOBSPEC_ID_MAX];
	int64_t round;
	int32_t step;
	int32_t index;
	int32_t run; /* increases with each start of the task */
};

/* A worker's entry in the list of workers. pf_list.c compares all members. */
struct sched_worker_row {
	char id[SCHED_ID_MAX];
	char vm[SCHED_ID_MAX]; /* the VM that the worker runs on */
	char pool[CATALOG_NAME_MAX];
	char address[48]; /* IP:PORT */
	char domain[CATALOG_NAME_MAX];
	char rack[JOBSPEC_NAME_MAX];
	char labels[SCHED_LABELS_MAX][JOBSPEC_NAME_MAX];
	int32_t n_labels;
	int64_t born_ms; /* start time, identifies the incarnation; 0: unknown
			  */
	bool draining;
	struct place_resources total;
};

enum sched_end_reason {
	SCHED_END_DONE,
	SCHED_END_FAILED,
	SCHED_END_STOPPED, /* by a command */
	SCHED_END_LEASE_EXPIRED, /* the worker's lease expired */
	SCHED_END_GANG_BROKEN, /* another member of the gang ended */
	SCHED_END_GANG_INCOMPLETE, /* other members of the gang didn't start */
};

/* A run in a status report that has not ended. */
struct sched_active {
	struct sched_ref ref;
	char checkpoint[SCHED_CHECKPOINT_MAX];
	int32_t percent; /* progress; of the start-up of a long-running task */
	/* Tail latency in ms of a serving task; CPU in use, in thousandths of a
	 * core, of any other task. */
	int64_t gauge;
};

struct sched_end {
	int64_t seq; /* numbers the ends of one incarnation of a worker */
	struct sched_ref ref;
	enum sched_end_reason reason;
	char checkpoint[SCHED_CHECKPOINT_MAX];
};

/* A worker's status report, the answer to a poll: all active runs, and the ends
 * that were not acknowledged. */
struct sched_report {
	int64_t clock_ms; /* monotonic clock of the worker */
	int64_t born_ms;
	int64_t fence; /* fence token that the poll carried */
	int64_t sent_ms; /* when the poll was sent, on the owner's clock */
	int64_t acked_seq; /* last end that the poll acknowledged */
	int32_t n_active;
	int32_t n_ends;
	struct sched_active *active;
	struct sched_end *ends;
};

enum sched_job_state {
	SCHED_JOB_QUEUED,
	SCHED_JOB_RUNNING,
	SCHED_JOB_DONE,
	SCHED_JOB_FAILED,
	SCHED_JOB_CANCELLED,
};

struct sched_job;
struct sched_step;
struct sched_task;

enum sched_run_state {
	SCHED_RUN_SENT, /* the start command has no answer yet */
	SCHED_RUN_UNCERTAIN, /* the start command may or may not take effect */
	SCHED_RUN_ACTIVE,
};

/* One start of a task at a worker. */
struct sched_run {
	struct sched_task *task;
	struct sched_worker *worker;
	struct sched_run *next_of_task;
	GList worker_link;
	int32_t number;
	enum sched_run_state state;
	int64_t fence; /* fence token that the start command carried */
	int64_t created_ms;
	int64_t started_ms;
	bool reported; /* by the present incarnation of the worker */
	int64_t progressed_ms; /* when `percent` last increased */
	int32_t percent;
	int32_t pace; /* speed last commanded, percent of full speed */
	bool was_slowed; /* `pace` was below 100 at some time */
	bool resumed; /* from a checkpoint */
	int64_t paused_since_ms; /* pace is 0 since then; 0: not paused */
	/* `pace` may not be in force: a previous owner set it, or the command
	 * got no answer. */
	bool pace_uncertain;
	int64_t gauge; /* as in struct sched_active */
	/* The rest describes serving tasks. Slack is target / tail latency. */
	double base_slack; /* without best-effort tasks at the worker */
	int64_t base_slack_ms; /* when base_slack was last updated */
	double measured_slack; /* at measured_ms */
	int64_t measured_ms; /* the worker's measured_ms, if of one report */
	int64_t unused_milli; /* reserved CPU that it leaves unused */
	int64_t over_target_since_ms; /* 0: tail latency within the target */
	/* No other task starts at the worker: workers have crashed under the
	 * task before, and this run has not shown yet that it is harmless. */
	bool isolated;
	bool of_earlier_owner; /* the caps count it so, see sched_org.c */
	bool stopping; /* a stop was sent and no end is reported yet */
	int64_t stop_sent_ms;
};

struct sched_task {
	struct sched_step *step;
	int32_t index;
	bool done;
	bool ever_started; /* by this owner or a previous one */
	int32_t last_run; /* highest run number used or reported */
	int32_t last_ended_run; /* highest run number known to have ended */
	int32_t failures; /* length of failed_runs */
	/* Failures of runs up to this one are counted, though `failed_runs` may
	 * not have their numbers. */
	int32_t counted_run;
	int32_t *failed_runs; /* numbers of failed runs, unsorted, no doubles */
	int32_t crashes; /* length of crashed_runs */
	int32_t certain_crashes; /* those whose run is known to have begun */
	int64_t crash_lasted_ms; /* the longest of crashed_runs, roughly */
	int32_t *crashed_runs; /* runs under which a worker crashed */
	int64_t not_before_ms; /* retry delay after a failure */
	int64_t idle_since_ms; /* no run is active since then; 0: one is */
	char *checkpoint; /* NULL if none */
	struct sched_run *runs;
};

struct sched_step {
	struct sched_round *round;
	const struct jobspec_step *def;
	int32_t index;
	int32_t image; /* number from interfere_image() */
	int64_t remaining_ms; /* estimate of the longest chain from this step */
	int32_t n_blockers; /* preceding steps that are not done */
	int32_t tasks_left; /* tasks that are not done */
	int32_t gang_run; /* run number that all members of a gang share */
	int64_t ready_ms;
	int64_t placed_ms; /* last start of a task by this owner; 0: none */
	/* The rack that it waited for or started in last; "": any. */
	char rack[JOBSPEC_NAME_MAX];
	bool places_suspect; /* for a task that may crash its worker */
	bool joins_suspects; /* it runs apart together with others */
	bool uses_reserved; /* may use room reserved for others in this pass */
	int64_t starved_turn_ms; /* last turn as a starved step; 0: none */
	int64_t evicted_ms; /* last eviction for the step; 0: none */
	int64_t sweep; /* the last one that reached the step */
	GList ready_link; /* in sched.ready_steps */
	bool in_ready_list;
	struct sched_task *tasks;
	GHashTable *tickets; /* worker id to struct sched_ticket */
	/* Worker id to the born_ms, an int64_t, of the incarnation for which
	 * the policy service refused the step. */
	GHashTable *denials;
	/* Runs that were done at full speed, and their time in all. */
	int32_t timed_runs;
	int64_t timed_ms;
	uint32_t speed_next; /* candidate whose speed is computed next */
	/* Lowest speed at which its best-effort tasks start in this pass; 0:
	 * only at full speed. */
	double speed_min;
	int64_t advice_sent_ms; /* 0: no answer is awaited */
};

/* One scheduled occurrence of a job, with its own copy of all steps. */
struct sched_round {
	struct sched_job *job;
	int64_t number;
	int64_t due_ms;
	int32_t steps_left; /* steps that are not done */
	struct sched_step *steps;
	struct sched_round *next;
};

struct sched_job {
	struct jobspec *spec;
	const struct catalog_queue *queue; /* NULL if not configured now */
	struct org_account *org; /* NULL: it belongs to no organisation */
	/* Its organisation submitted it beyond its rate; see org_rate.h. */
	bool excess;
	bool unrated; /* that is not decided yet; in sched.unrated */
	GList unrated_link;
	int64_t critical_path_ms; /* estimate of the longest chain of steps */
	double work; /* see sched_estimate_work() */
	enum sched_job_state state; /* set by sched_set_job_state() */
	int64_t accepted_ms;
	int64_t version; /* of the row that accepted the job */
	int64_t ended_wall_ms;
	int64_t next_round; /* first round that is not created yet */
	int64_t rounds_done;
	/* Those of the stored progress row, and of the one in the commit under
	 * way. */
	int64_t stored_rounds_done;
	int64_t committing_rounds_done;
	struct sched_round *rounds;
	int32_t rounds_open; /* length of `rounds` */
	int64_t charged_bytes; /* part of sched.job_bytes */
	bool dirty; /* progress has changed since it was last stored */
	bool inherited; /* a previous owner may have started tasks */
	int32_t n_runs; /* of all its tasks */
	GList dirty_link; /* in sched.dirty_jobs */
	bool committing; /* the commit under way has its progress */
	GList committing_link; /* in sched.committing_jobs */
};

struct sched_worker {
	struct sched_worker_row row;
	int64_t index;
	bool listed; /* in the list of workers */
	bool reconciled; /* this incarnation reported under the present fence */
	bool reconciled_in_doubt; /* it first did while we are in doubt */
	bool unreachable; /* the last poll or command got no answer */
	bool row_outdated; /* `row` describes an earlier incarnation */
	/* `runs` contains all runs that previous owners left there. */
	bool inherited_runs_known;
	/* Leases granted by previous owners, or by commands to an older
	 * incarnation, have expired by then. */
	int64_t prev_lease_expiry_ms;
	/* Leases that outlast those that owners grant have expired by then: see
	 * sched_lease.c. */
	int64_t long_lease_expiry_ms;
	bool has_long_lease; /* not expired yet; the roster says so */
	/* In the stored roster. Tasks start only on stored workers, so that a
	 * successor knows of them. */
	bool roster_stored;
	bool roster_committing; /* in the roster that is being committed */
	bool on_roster; /* belongs on the roster: tasks may run there */
	/* It has answered this owner or, by the roster, a previous one. No task
	 * has started at any other worker. */
	bool heard;
	bool evacuating; /* its VM is due for upkeep: accepts no new tasks */
	bool terminating; /* its VM's upkeep was commanded */
	int64_t fence; /* fence token that commands to it carry */
	int64_t clock_ms; /* worker's clock in its latest report */
	int64_t clock_seen_ms; /* when that report arrived */
	int64_t lease_end_clock_ms; /* latest lease end sent, worker's clock */
	int64_t lease_sent_ms; /* when that was; 0: never */
	int64_t seen_seq; /* last end that was processed */
	int64_t commit_seq; /* last end in the commit under way */
	int64_t durable_seq; /* last end that is stored */
	int64_t acked_seq; /* last end acknowledged in an answered poll */
	int64_t created_ms; /* when this owner first knew of it */
	int64_t last_answer_ms;
	int64_t refused_until_ms; /* delay after it refused a start */
	int32_t failures_in_row;
	int64_t failed_ms; /* when a task last failed there */
	char last_failed_job[JOBSPEC_ID_MAX];
	int64_t quarantined_ms; /* start of the last quarantine */
	int64_t quarantine_until_ms;
	int64_t quarantine_ms; /* length of the last one; 0: none lately */
	struct place_resources used; /* by all runs that may be active there */
	struct place_resources long_lived; /* part of `used` */
	/* Kept free for long-running tasks until the sweep is over. */
	struct place_resources reserved;
	const struct sched_step *reserved_for; /* latest reservation */
	int32_t n_reserved; /* tasks of that step */
	int32_t foreign_runs; /* reported runs that this owner doesn't track */
	int32_t unopened_runs; /* those of rounds beyond the window */
	/* Those of organisations, see sched_org.c; NULL: none yet. */
	GArray *untracked;
	int32_t n_unattributed; /* foreign runs of which no job is known */
	int32_t n_isolated; /* runs that keep other tasks from starting here */
	int32_t n_small; /* small tasks, see sched_is_small() */
	int32_t n_best_effort; /* best-effort tasks */
	int64_t best_effort_milli; /* CPU that their paces allow them */
	int32_t n_serving; /* tasks with a response-time target */
	int64_t serving_unused_milli; /* reserved CPU that they leave unused */
	int32_t serving_image; /* of the serving run whose usage changed last */
	/* Best-effort load by image at the last measurement, measured_ms. */
	struct interfere_load measured[SCHED_LOADS_MAX];
	int32_t n_measured;
	int64_t measured_ms;
	/* Until then, reported tail latencies still reflect best-effort load
	 * that has ended or slowed down. */
	int64_t tails_stale_until_ms;
	GQueue runs;
};

/* Permission of the policy service to start tasks of a step at a worker. */
struct sched_ticket {
	char text[SCHED_TICKET_MAX];
	int64_t valid_until_ms;
	int64_t born_ms;
};

/* One incarnation of a worker. */
struct sched_incarnation {
	char id[SCHED_ID_MAX];
	int64_t born_ms;
};

/* An answer of the policy service. */
struct sched_advice {
	struct sched_ref step; /* any task of it */
	const struct sched_incarnation *asked;
	int32_t n_asked;
	/* The workers that may run the step, and their tickets. */
	const char *const *ids;
	const char *const *tickets;
	int32_t n_allowed;
	int64_t valid_ms;
};

/* Commands to workers and calls to the policy service. The owner of the table
 * sends them and reports the outcome (sched_start_answered() and so on). `run`
 * is valid only during the call. */
struct sched_ops {
	void (*start)(void *priv, struct sched_run *run,
		      const struct sched_ref *ref);
	void (*stop)(void *priv, struct sched_run *run,
		     const struct sched_ref *ref);
	void (*pace)(void *priv, struct sched_run *run,
		     const struct sched_ref *ref, int32_t percent);
	/* Polls the worker as soon as possible. */
	void (*poll)(void *priv, struct sched_worker *w);
	/* Requests tickets from the policy service for the step at these
	 * workers. */
	void (*advise)(void *priv, struct sched_step *step,
		       const struct sched_incarnation *workers, int32_t n);
	/* Writes one line of the decision log: what was decided, and why. `ref`
	 * and `w` may be NULL. */
	void (*log_decision)(void *priv, const char *what,
			     const struct sched_ref *ref,
			     const struct sched_worker *w, const char *detail);
};

/* Limits from the settings. */
struct sched_limits {
	int64_t lease_ms; /* granted to a worker with each poll or command */
	int64_t lease_max_ms; /* workers cut longer leases to this */
	/* An owner renews leases this long after others may claim its shard. */
	int64_t in_doubt_max_ms;
	int64_t call_max_ms; /* longest time that a call to a worker takes */
	int64_t stop_ms; /* longest time that a stop takes */
	/* Run time outside the rack of its data relative to inside, in
	 * thousandths. */
	int64_t off_rack_factor_milli;
	int64_t impact_ms; /* interference that lasts longer does harm */
	int64_t row_bytes; /* longest progress row; 0: any length */
	int64_t memory_bytes; /* for jobs; 0: any */
};

/* Memory that one VM may fill with new jobs, in bytes. */
struct sched_job_room {
	int64_t small; /* with jobs up to SCHED_SMALL_JOB_BYTES */
	int64_t large; /* with others, of the same room */
};

/* Most ordinary jobs are smaller: two steps of some 50 tasks. */
#define SCHED_SMALL_JOB_BYTES (16 * 1024)

/* Start commands that may be sent at once. */
struct sched_start_room {
	int64_t bytes;
	int64_t commands;
};

/* Demand for the CPU of a pool's workers that are in use, in thousandths of a
 * core. */
struct sched_pool_demand {
	int64_t total_milli;
	int64_t lasting_milli; /* of long-running tasks, waiting ones too */
	int64_t brief_milli; /* of other tasks with CPU of their own */
	double brief_mean_milli;
	/* Of long-running jobs that ended, since the last measurement, and in a
	 * second on the average. */
	int64_t freed_milli;
	double freed_mean_milli_s;
};

/* Totals since sched_init(). */
struct sched_counts {
	int64_t starts, resumes, refused_room, refused_other, start_unknown;
	int64_t done, failed, stopped, lease_expired, gang_broken,
		gang_incomplete, evicted, moved;
	int64_t jobs_done, jobs_failed, jobs_cancelled;
	int64_t copies; /* second copies of tasks that were started */
	int64_t slow_starts; /* of best-effort tasks below full speed */
	int64_t crashes; /* of workers, while tasks ran there */
	int64_t given_up; /* tasks under which workers crashed */
};

/* Most crashes of workers that are remembered to tell a series of them. */
#define SCHED_CRASHES_RECENT 3

/* Bounds on the leases that previous owners of the shard may have granted. */
struct sched_prev_owner {
	int64_t renews_until_ms; /* none of them renews a lease later */
	int64_t lease_ms; /* longest lease that they granted */
	/* Longer leases of workers that restarted have expired by then. */
	int64_t long_leases_until_ms;
};

/* How certain it is that this process still owns the shard. */
enum sched_ownership {
	SCHED_OWNER_CERTAIN,
	/* A successor may have taken over. Tasks that ran before are not
	 * started and silent workers are not given up, since the successor may
	 * know more about both. */
	SCHED_OWNER_IN_DOUBT,
	/* In doubt for too long: nothing is started, no lease is renewed. */
	SCHED_OWNER_LOST,
};

/* The order in which steps are placed. */
struct sched_rank_policy {
	const char *name;
	/* Compares two struct sched_rank, for qsort(). */
	int (*compare)(const void *a, const void *b);
	/* Work of organisations below their entitlement goes first. */
	bool by_share;
};

/* The default: organisations by their shares, jobs in excess last, and then by
 * weight. */
extern const struct sched_rank_policy sched_rank_by_share;
/* Highest weight per remaining work first. */
extern const struct sched_rank_policy sched_rank_by_weight;
/* The baseline: started jobs, then the earliest latest start time. */
extern const struct sched_rank_policy sched_rank_by_latest_start;

struct sched {
	const struct sched_ops *ops;
	void *priv;
	struct sched_limits lim;
	const struct sched_rank_policy *rank_policy;
	const struct catalog *catalog;
	GHashTable *queues; /* name to struct catalog_queue of `catalog` */
	struct org_accounts orgs;
	struct org_caps caps;
	struct org_shares shares; /* as of the last pass */
	struct org_rates rates;
	/* Jobs of organisations that are new, in the order in which they were
	 * accepted. */
	GQueue unrated;
	int64_t excess_logged_ms; /* when a job in excess was last logged */
	int64_t excess_unlogged; /* jobs in excess since then */
	GHashTable *shortages; /* pool to struct shortage, see sched_org.c */
	GHashTable *mean_work; /* queue to double; see sched_rank.c */
	GHashTable *domains_out; /* names of failure domains out of service */
	GHashTable *jobs; /* id to struct sched_job */
	int64_t job_bytes; /* memory of all jobs, roughly */
	GHashTable *queued; /* queue to number of queued jobs, if not 0 */
	GHashTable *workers; /* id to struct sched_worker */
	GPtrArray *worker_list;
	uint32_t roster_dirty; /* bit set of roster rows to store */
	int64_t n_evictable; /* runs with CPU of their own that may be evicted
			      */
	GQueue ready_steps; /* steps with tasks to start */
	GQueue dirty_jobs; /* jobs whose progress is to be stored */
	GQueue committing_jobs; /* those in the commit under way */
	int64_t epoch;
	int64_t taken_over_ms;
	struct sched_prev_owner prev_owner;
	/* Set if part of the roster could not be read: runs at workers missing
	 * from it have ended by then. */
	int64_t roster_incomplete_until_ms;
	guint next_move_worker; /* where sched_move_paused() continues */
	int64_t placement_ms; /* start of the last placement pass */
	int64_t best_effort_due_ms; /* passes before skip best-effort tasks */
	int64_t waits_logged_ms; /* see sched_check_waits() */
	int64_t sweep; /* numbers the sweeps of placement, see sched_place() */
	int64_t sweep_began_ms;
	bool reservations_old; /* they are of an earlier sweep */
	int64_t pass_work; /* done by the pass, see PASS_WORK_MAX */
	enum sched_ownership ownership;
	int64_t renew_until_ms; /* no lease is renewed later */
	int64_t fence_min; /* lowest fence token for a new worker */
	/* While ownership is in doubt, jobs of this or a later version are not
	 * started: a successor holds back only jobs older than its claim. */
	int64_t start_before_version;
	GHashTable *demands; /* pool to struct sched_pool_demand */
	int64_t demand_measured_ms;
	/* For the next pass; it ends early when there is no more. */
	struct sched_start_room start_room;
	int32_t relays; /* that send the commands; 0: they are sent directly */
	bool starts_held; /* the last pass ended early for that */
	struct interfere interfere;
	struct run_times run_times; /* by queue */
	/* Starts of best-effort tasks at full speed, and how many such tasks
	 * the pass has left waiting so far. */
	struct wait_rate full_speed_starts;
	int64_t best_effort_waiting;
	double chosen_speed; /* at the worker chosen last; best-effort tasks */
	/* Workers that fell silent with runs (struct lost_worker); whether they
	 * crashed is known once their VM has a new worker. */
	GQueue lost_workers;
	/* A task may be exhausted whose last failure did not end its job. */
	bool check_attempts;
	GQueue given_up; /* tasks (struct verdict) whose jobs are to fail */
	int64_t crashed_ms[SCHED_CRASHES_RECENT]; /* last crashes, newest first
						   */
	struct sched_counts counts;
};

#endif
