/*
 * gd-soak: runs several gd-fleet under a random schedule of faults while client
 * threads submit, query and cancel jobs. Checks the users' rules (LOST, TWICE,
 * UNASKED, ...) against the clients' responses and gd-site's log of worker
 * events. A seed determines the schedule of faults.
 */
#ifndef SOAK_H
#define SOAK_H

#include "tests/harness_fleet.h"

/* Bounds given by the users for their site dhl-pettycash. */
#define SK_STABLE_MS 4000 /* after a disruption, until a VM is connected */
#define SK_TERM_GRACE_MS 6000 /* from SIGTERM to SIGKILL */
#define SK_STOP_MS 200 /* for a worker to stop a task */
#define SK_CANCEL_MS 3000 /* from a cancellation until no task starts */
#define SK_VISIBLE_MS 3000 /* from acceptance until all VMs know the job */
/* Rule MIXED: from acceptance until the count of pending jobs includes it. */
#define SK_COUNTED_MS (SK_VISIBLE_MS + 2000)
#define SK_FINISH_MS 14000 /* after the traffic, before jobs are queried */
#define SK_LEASE_MAX_MS 10000
/* Rule LOST: how long a task that is due may wait, how long there must have
 * been no disruption before, and how much longer a long-running task may be
 * down. */
#define SK_IDLE_MS 3000
#define SK_IDLE_CALM_MS 4000
#define SK_LONG_RUNNING_DOWN_MS 6000
/* Rule TWICE: a start this long after a job was reported done is an error. */
#define SK_DONE_VISIBLE_MS 1000
#define SK_ATTEMPTS 3 /* of the queue in harness_fleet */

#define SK_SPEC_MAX 96
#define SK_STEPS_MAX 2
#define SK_TASKS_MAX 8
/* Rule BUDGET: a task may be given up after so many crashes, and may start less
 * than three times after so many. */
#define SK_CRASHES_GIVE_UP 2
#define SK_CRASHES_MAX 3
#define SK_STARTS_AFTER_CRASHES 2
#define SK_CLIENTS 4
/* Each task asks for this. */
#define SK_TASK_CPU_MILLI 500
#define SK_TASK_MEM_MIB 100
/* Rule LIMIT: a shrunk capacity counts after that, and one heartbeat. */
#define SK_SHRUNK_MS (SK_STABLE_MS + 1000)
/* Seeds from this on also shrink workers, which don't guard their capacity in
 * three of four, and submit tasks that crash workers. */
#define SK_FIRST_CAPACITY_SEED 2000
/* From this seed on, owners call workers by way of relays, instead. */
#define SK_FIRST_RELAY_SEED 3000

/* Seeds from this on, up to the next, have organisations instead, whose keys
 * change. Revocation is strict in the odd ones. */
#define SK_FIRST_KEY_SEED 5000
#define SK_LAST_KEY_SEED 5999
#define SK_ORGS 3
/* Rule KEY: after a new version of the configuration, how long connected VMs
 * may handle calls by the one before, and all VMs if revocation is strict. */
#define SK_APPLY_MS 4000
#define SK_REVOKE_MS 5000

static inline bool sk_uses_keys(uint32_t seed)
{
	return seed >= SK_FIRST_KEY_SEED && seed <= SK_LAST_KEY_SEED;
}

static inline bool sk_is_strict(uint32_t seed)
{
	return sk_uses_keys(seed) && seed % 2;
}

static inline bool sk_shrinks_workers(uint32_t seed)
{
	return seed >= SK_FIRST_CAPACITY_SEED && seed < SK_FIRST_RELAY_SEED;
}

enum sk_job_kind {
	SK_ONE_STEP,
	SK_TWO_STEPS,
	SK_LONG_RUNNING,
	SK_FAILING,
	SK_DEADLY, /* one task, which crashes each worker that starts it */
	SK_KINDS
};

/* One run of a task at a worker. */
struct sk_run {
	char worker[48];
	int64_t number;
	int64_t fence;
	int64_t start_ms;
	int64_t end_ms; /* 0: still running */
	char outcome[12];
	bool acknowledged; /* an owner has acknowledged its end */
	bool is_delayed; /* the worker executed the command late */
	bool crashed_worker;
};

/* A key of an organisation. */
struct sk_key {
	char text[24];
	int32_t org;
	int64_t added_ms; /* in the store by then; 0: not yet */
	int64_t remove_sent_ms; /* 0: it stays */
	int64_t removed_ms; /* no more in the store from then on; 0: not yet */
};

/* The key of one call. */
struct sk_use {
	const struct sk_key *key; /* NULL if unknown or without keys */
	bool is_unknown; /* no configuration has it */
	char header[64];
	const char *headers[2]; /* for hf_call_with() */
};

struct sk_job {
	char id[20];
	int32_t org; /* valid if the seed has organisations */
	bool may_run; /* some attempt had a key that was not void */
	enum sk_job_kind kind;
	int32_t steps;
	int32_t count; /* tasks of each step */
	char spec[SK_SPEC_MAX];
	/* Seen by callers. */
	int32_t attempts;
	int32_t n_rejected;
	int64_t accepted_ms; /* 0: no response said so */
	bool cancel_sent;
	int64_t cancelled_ms; /* acknowledged; 0: not yet */
	int64_t done_shown_ms; /* first reported done; 0: not yet */
	bool has_ended; /* reported done, failed or canceled */
	/* Seen by workers. */
	GArray *task_runs[SK_TASKS_MAX]; /* of struct sk_run, one for each task
					  */
};

/* From then on, a worker has room for so many tasks. */
struct sk_capacity {
	int32_t worker;
	int32_t tasks;
	int64_t at_ms;
};

/* What a disruption affects: a VM by its number, one of these, or a worker's
 * link by SK_LINKS minus the worker's number. */
enum { SK_STORE = -1, SK_ALL_VMS = -2, SK_OTHER = -3, SK_LINKS = -4 };

struct sk_disruption {
	int32_t scope;
	int64_t from_ms;
	int64_t to_ms; /* INT64_MAX: not over yet */
};

struct sk_fault {
	const struct sk_fault_kind *kind;
	int32_t target; /* VM or worker; -1: the VM that is owner then */
	int32_t variant;
	int64_t at_ms; /* since the begin of the run */
	int64_t for_ms;
	int32_t vm; /* target, resolved when the fault begins */
	int32_t disruption; /* index in sk.disruptions; -1: not begun */
	bool ended;
};

struct sk {
	uint32_t seed;
	struct hf fleet;
	int64_t begin_ms;
	GRand *rand; /* for the schedule */
	int32_t store_delay_ms; /* of all links to the store, one way */
	GArray *faults; /* struct sk_fault */
	int64_t term_ms[HF_VMS_MAX]; /* time of SIGTERM; 0: not sent */
	bool restart_wanted[HF_VMS_MAX];
	int64_t traffic_end_ms; /* 0: not over yet */
	FILE *site_log; /* of gd-site */
	int64_t crash_ms; /* last crash of a worker by a task; 0: none */
	/* The lock protects all fields below. */
	GMutex lock;
	bool traffic_on;
	GPtrArray *jobs; /* struct sk_job */
	GHashTable *jobs_by_id;
	GArray *disruptions; /* struct sk_disruption */
	GArray *capacities; /* struct sk_capacity, in order of time */
	GHashTable *reported; /* "RULE subject" of violations printed */
	int32_t n_starts;
	int32_t n_violations;
	int32_t n_counts; /* of pending jobs, answered */
	int32_t n_counts_checked; /* by a connected VM while jobs waited */
	int32_t n_counts_refused;
	GPtrArray *keys; /* struct sk_key; the first SK_ORGS are steady */
	int32_t n_key_answers;
	int32_t n_key_refusals;
	int32_t n_void_keys; /* calls whose key had to be refused */
	int32_t n_foreign; /* calls for others' jobs, refused */
	/* Of the main thread only. */
	GRand *key_rand;
	int32_t config_version;
	int64_t next_keys_ms;
};

/* A request to a VM. */
struct sk_query {
	int vm;
	int64_t asked_ms;
	int64_t answered_ms;
};

/* Generators beside sk.rand and those of the clients, so that what is drawn
 * from one changes no draw of another. */
enum sk_stream {
	SK_STREAM_SERIES,
	SK_STREAM_COUNTS,
	SK_STREAM_CAPACITY,
	SK_STREAM_DEADLY,
	SK_STREAM_KEYS
};
GRand *sk_rand_new(const struct sk *k, enum sk_stream stream, int number);

/* soak_check.c; all are called with the lock held. */
/* Prints and counts a violation, once for each `rule` and `subject`. */
void sk_report_violation(struct sk *k, const char *rule, const char *subject,
			 const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));
int32_t sk_disruption_begin(struct sk *k, int32_t scope);
void sk_disruption_end(struct sk *k, int32_t disruption);
/* Was there no disruption in the `for_ms` before `at_ms`? */
bool sk_is_calm(const struct sk *k, int64_t at_ms, int64_t for_ms);
/* Have the VM and the store been without disruption for SK_STABLE_MS? */
bool sk_is_connected(const struct sk *k, int vm, int64_t at_ms);
/* Returns the number of the VM that the worker with this id is on. */
int32_t sk_worker_number(const char *id);
/* Did a connected owner send the start command, and was it not delayed on its
 * way? Only such a start counts against the rules' time limits. */
bool sk_is_timely(const struct sk *k, const struct sk_run *r);
/* Reads and checks the new lines of gd-site's log. */
void sk_check_log(struct sk *k);
/* Checks that no due task waits too long and no cancelled one still runs. */
void sk_check_idle(struct sk *k);
/* Was the VM connected from the request to its answer? */
bool sk_was_connected(const struct sk *k, const struct sk_query *q);
/* Checks a VM's response to a status query. */
void sk_check_response(struct sk *k, struct sk_job *j, const struct sk_query *q,
		       long status, const char *state);
/* Checks a VM's count of pending jobs. */
void sk_check_count(struct sk *k, const struct sk_query *q, json_t *body);
/* Checks that no job whose attempts were all rejected has started. */
void sk_check_end(struct sk *k);

/* soak_workers.c; all are called with the lock held. */
/* Notes that the run has crashed its worker. */
void sk_set_crashed(struct sk *k, struct sk_run *run);
/* Has a task of the job crashed so many workers that it may be given up? */
bool sk_may_give_up(const struct sk_job *j);
/* Checks that a task that has crashed workers doesn't start again and again. */
void sk_check_crashes(struct sk *k, GArray *runs, const char *task);
void sk_set_capacity(struct sk *k, const char *worker, int64_t cpu_milli,
		     int64_t mem_mib, int64_t at_ms);
/* Checks that the run that just started fits on its worker. */
void sk_check_capacity(struct sk *k, const struct sk_run *started,
		       const char *task);

/* soak_faults.c */
void sk_draw_schedule(struct sk *k, int64_t window_ms);
void sk_print_schedule(const struct sk *k);
/* Delays the links to the store by what was drawn. */
void sk_delay_store(struct sk *k);
/* Begins and ends the faults that are due and restarts VMs. Returns true when
 * all faults are over and all VMs run. */
bool sk_faults_step(struct sk *k);

/* soak_clients.c: starts SK_CLIENTS threads, which end when traffic_on is
 * false. */
void sk_clients_start(struct sk *k, GThread **threads);
bool sk_traffic_is_on(struct sk *k);
/* Queries a job's state at a VM and checks the response. */
void sk_query_job(struct sk *k, void *easy, int vm, struct sk_job *j);

/* soak_keys.c. Without organisations, no call has a key and nothing is checked.
 */
void sk_keys_init(struct sk *k);
void sk_keys_finish(struct sk *k);
/* Returns the list of organisations of the configuration; g_free it. */
char *sk_keys_tenants(const struct sk *k);
/* Writes a new version of the configuration if one is due. */
void sk_keys_step(struct sk *k);
/* Uses the key of the organisation that is never removed. */
void sk_use_steady(struct sk *k, int32_t org, struct sk_use *u);
/* Draws whether a job is submitted with bad keys only. */
bool sk_draw_bad(const struct sk *k, GRand *rand);
/* Uses any key of the organisation, or a removed or unknown one. */
void sk_use_draw(struct sk *k, GRand *rand, int32_t org, bool bad,
		 struct sk_use *u);
/* Checks the status of an answer by the call's key, with the lock held. Returns
 * whether the call may have an effect. */
bool sk_check_key(struct sk *k, const struct sk_use *u,
		  const struct sk_query *q, long status);
/* Calls for an accepted job with a key of another organisation. */
void sk_probe_foreign(struct sk *k, void *easy, int vm, GRand *rand,
		      const struct sk_job *j, const char *body);
/* Checks that no job without a valid key ran, with the lock held. */
void sk_check_void_jobs(struct sk *k);

/* soak_counts.c: starts a thread for each VM, which asks it for counts of
 * pending jobs. They end when traffic_on is false. */
void sk_counts_start(struct sk *k, GThread **threads);

#endif
