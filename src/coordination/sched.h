/*
 * The scheduler of one shard: jobs, workers, and what runs where. Pure: it is
 * told what happened and when, and asks for orders through a table.
 */
#ifndef SCHED_H
#define SCHED_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/catalog.h"
#include "coordination/interfere.h"
#include "coordination/place.h"
#include "protocol/jobspec.h"

#define SCHED_ID_MAX 72
#define SCHED_LABELS_MAX 6
#define SCHED_CHECKPOINT_MAX 200
/* Ends in one answer of a worker (platform); more may follow. */
#define SCHED_ENDS_MAX 500
#define SCHED_TICKET_MAX 64
/* Images of best-effort work told apart at one worker. */
#define SCHED_LOADS_MAX 16

/* Names one start of a task. */
struct sched_ref {
	char job[JOBSPEC_ID_MAX];
	int64_t round;
	int32_t step;
	int32_t index;
	int32_t run; /* rises with each start of the task */
};

/* What a worker says of itself in the list of workers. */
struct sched_worker_row {
	char id[SCHED_ID_MAX];
	char vm[SCHED_ID_MAX]; /* the VM whose life this worker is */
	char pool[CATALOG_NAME_MAX];
	char address[48]; /* IP:PORT */
	char domain[CATALOG_NAME_MAX];
	char rack[JOBSPEC_NAME_MAX];
	char labels[SCHED_LABELS_MAX][JOBSPEC_NAME_MAX];
	int32_t n_labels;
	int64_t born_ms; /* tells its lives apart; 0 if not said */
	bool draining;
	struct place_resources total;
};

enum sched_how {
	SCHED_DONE,
	SCHED_FAILED,
	SCHED_STOPPED, /* by an order */
	SCHED_LAPSED, /* its lease ran out */
	SCHED_BROKEN, /* another member of its gang ended */
	SCHED_ALONE, /* the other members of its gang did not come */
};

struct sched_active {
	struct sched_ref ref;
	char checkpoint[SCHED_CHECKPOINT_MAX];
	int32_t percent; /* of its work; of its start-up if it lasts */
	int64_t gauge; /* tail in ms if it serves, else CPU in use, milli */
};

struct sched_end {
	int64_t seq; /* numbers the ends of one life of a worker */
	struct sched_ref ref;
	enum sched_how how;
	char checkpoint[SCHED_CHECKPOINT_MAX];
};

/* A worker's answer to a look: all that runs, and ends not acknowledged. */
struct sched_look {
	int64_t clock_ms; /* the worker's own steady clock */
	int64_t born_ms;
	int64_t fence; /* the token that the look carried */
	int64_t sent_ms; /* when it was sent, on our clock */
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
	SCHED_RUN_SENT, /* ordered, no answer yet */
	SCHED_RUN_UNSURE, /* the order may be carried out or not */
	SCHED_RUN_ACTIVE,
};

/* One start of a task at a worker. */
struct sched_run {
	struct sched_task *task;
	struct sched_worker *worker;
	struct sched_run *next_of_task;
	GList at_worker;
	int32_t number;
	enum sched_run_state state;
	int64_t fence; /* the token that its order carried */
	int64_t started_ms;
	bool listed; /* by a look at the present life of its worker */
	int64_t moved_ms; /* when its percentage last rose */
	int32_t percent;
	int32_t pace; /* percent of full speed that it was told */
	int64_t paused_ms; /* told to stand still since; 0: it is not */
	bool pace_unsure; /* by a former owner, or without answer */
	int64_t gauge;
	/* Of a serving task: the slack that it would have alone, ... */
	double slack;
	int64_t slack_ms; /* ... when that was found ... */
	double measured_slack; /* ... and what was measured last, ... */
	int64_t measured_ms; /* ... at the worker's time of the same name */
	int64_t idle_milli; /* what it surely leaves of what it asked for */
	int64_t over_since_ms; /* over its target since; 0: it is not */
	bool stopping; /* a stop is ordered and its end not yet seen */
	int64_t stop_sent_ms;
};

struct sched_task {
	struct sched_step *step;
	int32_t index;
	bool done;
	bool tried; /* it was started at least once, by whomever */
	int32_t last_run; /* highest number used or seen */
	int32_t settled_run; /* highest number known to have ended */
	int32_t failures; /* of them, ... */
	int32_t *failed_runs; /* ... each counted once, in any order */
	int64_t not_before_ms; /* a task that failed waits a little */
	char *checkpoint; /* NULL if none */
	struct sched_run *runs;
};

struct sched_step {
	struct sched_round *round;
	const struct jobspec_step *def;
	int32_t index;
	int32_t image; /* its number; see interfere */
	int64_t rest_ms; /* longest chain from here on, by estimates */
	int32_t blocked_by; /* earlier steps that are not done */
	int32_t left; /* tasks that are not done */
	int32_t gang_run; /* number that all members of a gang share */
	int64_t ready_ms;
	int64_t evict_until_ms; /* evictions for it are under way */
	GList at_ready; /* place in the list of steps that may start */
	bool listed;
	struct sched_task *tasks;
	GHashTable *tickets; /* worker id to struct sched_ticket */
	int64_t advice_sent_ms;
};

/* One occurrence of a job's steps. */
struct sched_round {
	struct sched_job *job;
	int64_t number;
	int64_t due_ms; /* on our monotonic clock */
	int32_t left; /* steps that are not done */
	struct sched_step *steps;
	struct sched_round *next;
};

struct sched_job {
	struct jobspec *spec;
	const struct catalog_queue *queue; /* NULL if there is none now */
	int64_t chain_ms; /* the longest of all its chains, by estimates */
	double work; /* all of it; see sched_work_of */
	enum sched_job_state state;
	int64_t accepted_ms; /* on our monotonic clock */
	int64_t version; /* of the row that accepted it */
	int64_t ended_wall_ms;
	int64_t next_round; /* first that is not yet made */
	int64_t rounds_done;
	struct sched_round *rounds;
	bool touched; /* has news that the store doesn't hold */
	bool inherited; /* a former owner may have started its tasks */
	GList at_touched;
};

struct sched_worker {
	struct sched_worker_row row;
	int64_t index;
	bool listed;
	bool known; /* looked at under our fence in this life */
	bool unreachable;
	bool reborn; /* the look that makes it known is its life's first */
	bool runs_known; /* `runs` has all that former owners left there */
	int64_t former_lapse_ms; /* their leases there have ended by then */
	bool recorded; /* the store's roster has it, so that work may start */
	bool recording; /* it is in the commit under way */
	bool on_roster; /* it belongs there, since work may run there */
	bool emptied; /* its VM is to be taken down: no new work */
	int64_t fence; /* token that orders to it carry */
	int64_t clock_ms; /* its clock at the last answer, ... */
	int64_t clock_seen_ms; /* ... which came at this time */
	int64_t lease_end_clock_ms; /* latest end sent, on its clock */
	int64_t seen_seq; /* ends up to this one were taken in */
	int64_t commit_seq; /* ends up to this one are in the commit under way
			     */
	int64_t durable_seq; /* ends up to this one are in the store */
	int64_t last_answer_ms;
	int64_t full_until_ms; /* it refused for want of room */
	int32_t failures_in_row;
	char last_failed_job[JOBSPEC_ID_MAX];
	int64_t quarantine_until_ms;
	int64_t quarantine_ms;
	struct place_resources used; /* by all that may run there */
	int32_t strangers; /* runs listed last that are not ours to keep */
	int32_t best_effort; /* tasks of that kind, ... */
	int64_t best_effort_milli; /* ... and what their paces let them take */
	int32_t serving; /* tasks with a response-time target, ... */
	int64_t serving_idle_milli; /* ... what they surely leave unused ... */
	int32_t serving_image; /* ... and the image of the newest */
	struct interfere_load measured[SCHED_LOADS_MAX]; /* by image, ... */
	int32_t n_measured;
	int64_t measured_ms; /* ... with the tails of this time */
	int64_t blurred_until_ms; /* tails show work that has left */
	GQueue runs;
};

struct sched_ticket {
	char text[SCHED_TICKET_MAX];
	int64_t valid_until_ms;
	int64_t born_ms;
};

/* Orders and notices; the tables' owner carries them out. */
struct sched_ops {
	void (*start)(void *priv, struct sched_run *run,
		      const struct sched_ref *ref);
	void (*stop)(void *priv, struct sched_run *run,
		     const struct sched_ref *ref);
	void (*pace)(void *priv, struct sched_run *run,
		     const struct sched_ref *ref, int32_t percent);
	/* Look at the worker soon: something there has to be settled. */
	void (*look)(void *priv, struct sched_worker *w);
	void (*advise)(void *priv, struct sched_step *step,
		       const char *const *worker_ids, int32_t n);
	/* One line of the decision log. */
	void (*note)(void *priv, const char *what, const struct sched_ref *ref,
		     const struct sched_worker *w, const char *detail);
};

/* Times in ms. All come from the settings. */
struct sched_limits {
	int64_t lease_ms; /* what workers are granted with each contact */
	int64_t lease_max_ms; /* no worker grants more */
	int64_t doubt_max_ms; /* an owner renews leases this long after others
				 may claim its shard */
	int64_t stop_ms; /* a stop takes at most this long */
	int64_t away_factor_milli; /* run time away from its data, times this */
	int64_t impact_ms; /* interference longer than this does harm */
};

struct sched_counts {
	int64_t starts, resumes, refused_room, refused_other, unsure;
	int64_t done, failed, stopped, lapsed, broken, alone, evicted, moved;
	int64_t jobs_done, jobs_failed, jobs_cancelled;
};

/* What can be said of the owners before us. */
struct sched_former {
	int64_t renews_until_ms; /* none of them renews a lease later */
	int64_t lease_ms; /* the longest that they granted */
};

/* How sure we are that the shard is still ours. */
enum sched_trust {
	SCHED_SURE,
	/* A successor may be at work. What it could know better is left alone:
	 * tasks that ran before, and workers that don't answer. */
	SCHED_IN_DOUBT,
	/* For too long: nothing is started and no lease renewed. */
	SCHED_GIVEN_UP,
};

/* In which order steps are placed: a comparison for qsort of ranks. */
struct sched_order {
	const char *name;
	int (*compare)(const void *a, const void *b);
};

/* The product's: worth for work. */
extern const struct sched_order sched_order_value;
/* The baseline: begun jobs, then the latest start that is in time. */
extern const struct sched_order sched_order_latest_start;

struct sched {
	const struct sched_ops *ops;
	void *priv;
	struct sched_limits lim;
	const struct sched_order *order;
	const struct catalog *catalog;
	GHashTable *mean_work; /* queue to double; see sched_order */
	GHashTable *domains_out; /* names of domains out of service */
	GHashTable *jobs; /* id to struct sched_job */
	GHashTable *workers; /* id to struct sched_worker */
	GPtrArray *worker_list;
	uint32_t roster_dirty; /* rows of the roster that are to be written */
	GQueue ready; /* steps with tasks to start */
	GQueue touched; /* jobs to be written */
	int64_t epoch;
	int64_t taken_over_ms;
	struct sched_former former;
	int64_t torn_until_ms; /* the roster could not be read whole, and what
				  it may have lacked ends by then */
	guint move_from; /* worker at which the next search for moves begins */
	int64_t placing_ms; /* when the last pass of placement began */
	enum sched_trust trust;
	int64_t renew_until_ms; /* no lease is renewed later */
	int64_t fence_min; /* tokens of new workers are at least this */
	/* While in doubt, jobs of this or a later version wait: a successor
	 * holds back only what is older than its claim. */
	int64_t start_before_version;
	struct interfere interfere;
	struct sched_counts counts;
};

/* `catalog` may be NULL until sched_configure. */
void sched_init(struct sched *s, const struct sched_ops *ops, void *priv,
		const struct sched_limits *lim, int64_t epoch, int64_t now_ms);
void sched_finish(struct sched *s);

/* Right after sched_init; without it, leases are as long as ours, and former
 * owners renew them until they know of us. */
void sched_take_over(struct sched *s, const struct sched_former *former);

/* Both are borrowed until the next call. */
void sched_configure(struct sched *s, const struct catalog *catalog,
		     GHashTable *domains_out);

/*
 * A job's row was read; takes over `spec`. `progress` is its own row or NULL.
 * `inherited` if a former owner may have started tasks of it.
 */
struct sched_job *sched_job_add(struct sched *s, struct jobspec *spec,
				const json_t *progress, int64_t version,
				bool inherited, int64_t now_ms,
				int64_t wall_ms);
/* When the job was accepted, on our clock; without it the time it came. */
void sched_job_accepted_at(struct sched_job *job, int64_t at_ms);
void sched_job_cancel(struct sched *s, const char *id, int64_t now_ms,
		      int64_t wall_ms);
/* Forgets a job that has ended. */
void sched_job_drop(struct sched *s, const char *id);

/* Does this progress tell of a job that has ended? */
bool sched_progress_over(const json_t *progress);

/*
 * The job's progress as it is kept in the store; the caller owns it. Without
 * checkpoints it is far shorter, and stopped tasks begin anew.
 */
json_t *sched_job_progress(const struct sched_job *job, bool checkpoints);

void sched_worker_seen(struct sched *s, const struct sched_worker_row *row,
		       int64_t now_ms);
void sched_worker_gone(struct sched *s, const char *id, int64_t now_ms);

/*
 * The roster of workers that may run something, in so many rows; a successor
 * reads it, since the list of workers may leave some out for a while. The
 * caller owns the reference.
 */
#define SCHED_ROSTER_ROWS 16
json_t *sched_roster_row(struct sched *s, int32_t row);
/* The rows that were taken are in the store. */
void sched_roster_stored(struct sched *s);
/* A former owner's row; false if part of it makes no sense. */
bool sched_roster_restore(struct sched *s, const json_t *list, int64_t now_ms);

/*
 * For the successor, once no order goes out any more: the workers that were
 * not heard, how long their leases may hold, and what may run there, up to
 * `runs_max` runs in all. The caller owns the reference.
 */
json_t *sched_hand_over(const struct sched *s, int32_t runs_max,
			int64_t now_ms);
/* The same from what we were handed, `waited_ms` after we took over. */
json_t *sched_hand_on(const json_t *handed, int64_t waited_ms);
/*
 * What the former owner handed over, after the roster and all jobs; entries
 * that make no sense are left out. Returns the number of workers.
 */
int32_t sched_take_handed(struct sched *s, const json_t *handed, int64_t now_ms,
			  int64_t wall_ms);

/* Takes work off the VM as far as its tasks can spare it, and gives it none. */
void sched_vm_empty(struct sched *s, const char *vm, bool on);
/* Can all that runs on the VM be ended? `late`: also what is then lost. */
bool sched_vm_may_end(const struct sched *s, const char *vm, bool late,
		      int64_t now_ms);

/* The whole answer of a look was received. */
void sched_looked(struct sched *s, struct sched_worker *w,
		  const struct sched_look *look, int64_t now_ms,
		  int64_t wall_ms);
/* A look or an order got no answer. */
void sched_unanswered(struct sched *s, struct sched_worker *w, int64_t now_ms);

enum sched_start_result {
	SCHED_START_OK,
	SCHED_START_FENCED,
	SCHED_START_OLD,
	SCHED_START_LATE,
	SCHED_START_ROOM,
	SCHED_START_TICKET,
	SCHED_START_UNHEALTHY, /* refused; it has done nothing */
	SCHED_START_BAD,
	SCHED_START_NOT_SENT,
	SCHED_START_UNKNOWN, /* it may be carried out, perhaps later */
};

/*
 * What goes with an order to start, borrowed until the next call; false if
 * the start is no longer wanted. The last two may be NULL.
 */
bool sched_start_text(struct sched *s, const struct sched_ref *ref,
		      const char *worker, const char **payload,
		      const char **checkpoint, const char **ticket);

void sched_start_answered(struct sched *s, const struct sched_ref *ref,
			  const char *worker, enum sched_start_result res,
			  int64_t now_ms);
void sched_stop_answered(struct sched *s, const struct sched_ref *ref,
			 const char *worker, bool answered, int64_t now_ms);
/* The worker may not have got its order to slow down or speed up. */
void sched_pace_failed(struct sched *s, const struct sched_ref *ref,
		       const char *worker);
void sched_advised(struct sched *s, const struct sched_ref *step,
		   const char *const *ids, const char *const *tickets,
		   int32_t n, int64_t valid_ms, int64_t now_ms);

/* Time has passed: leases, rounds, stalls. */
void sched_tick(struct sched *s, int64_t now_ms, int64_t wall_ms);

/* Starts what may start. */
void sched_place(struct sched *s, int64_t now_ms);

/* Has it ended, one way or another? */
bool sched_job_over(const struct sched_job *job);

/* Does anything at the worker need its lease, an end or a fence? */
bool sched_worker_busy(const struct sched_worker *w);

/* End of the lease to send now, on the worker's clock; 0: don't renew it. */
int64_t sched_lease_end(struct sched *s, struct sched_worker *w,
			int64_t now_ms);

/* Jobs of the queue that were accepted and of which nothing has started. */
int32_t sched_pending(const struct sched *s, const char *queue);

const char *sched_job_state_name(enum sched_job_state state);

#endif
