/*
 * Scheduler of one shard: decides which task of which job runs on which worker.
 * Owns the jobs, the workers and the runs of the shard. Does no I/O and reads
 * no clock: the caller reports events with their time, and the scheduler sends
 * commands through struct sched_ops.
 *
 * Times ending in _ms are in milliseconds on the caller's monotonic clock
 * unless a comment or the name (wall_ms, clock_ms) says otherwise.
 */
#ifndef SCHED_H
#define SCHED_H

#include "coordination/sched_types.h"

/* `catalog` may be NULL until sched_configure. */
void sched_init(struct sched *s, const struct sched_ops *ops, void *priv,
		const struct sched_limits *lim, int64_t epoch, int64_t now_ms);
void sched_finish(struct sched *s);

/*
 * Call right after sched_init(). By default, previous owners are assumed to
 * grant leases as long as this owner's and to renew them for in_doubt_max_ms.
 */
void sched_set_prev_owner(struct sched *s, const struct sched_prev_owner *prev);

/* Call right after sched_init(). Reads the grants that the previous owner's row
 * holds; NULL: it has none. `ended`: no earlier owner starts tasks. */
void sched_set_prev_grants(struct sched *s, const json_t *grants, bool ended);

/* Sets the configuration and the names of the failure domains out of service.
 * Borrows both until the next call. */
void sched_configure(struct sched *s, const struct catalog *catalog,
		     GHashTable *domains_out);

/*
 * Adds a job that was read from the store and takes ownership of `spec`.
 * `progress` is the job's progress row or NULL. `inherited` says that a
 * previous owner may have started tasks of it. Returns the existing job if the
 * id is known.
 */
struct sched_job *sched_job_add(struct sched *s, struct jobspec *spec,
				const json_t *progress, int64_t version,
				bool inherited, int64_t now_ms,
				int64_t wall_ms);
/* Sets when the job was accepted; the default is the time of sched_job_add().
 */
void sched_job_accepted_at(struct sched_job *job, int64_t at_ms);
void sched_job_cancel(struct sched *s, const char *id, int64_t now_ms,
		      int64_t wall_ms);
/* Removes a job that has ended from memory. */
void sched_job_remove(struct sched *s, const char *id);

/* Returns whether a stored progress row is of a job that has ended. */
bool sched_progress_has_ended(const json_t *progress);

/* Return the memory that a job takes at its shard's owner, in bytes, roughly:
 * without rounds, and for each round. */
int64_t sched_job_bytes(const struct jobspec *spec);
int64_t sched_round_bytes(const struct jobspec *spec);
/* Returns what each of `vms` VMs may add until the next answer. */
struct sched_job_room sched_job_room(const struct sched *s, int64_t vms);

/* Returns whether the progress of such a job, at least as a summary, fits in a
 * row. */
bool sched_fits_in_row(const struct jobspec *spec, int64_t row_bytes);

/* How much a progress row says. */
enum sched_detail {
	SCHED_DETAIL_ALL,
	/* Stopped tasks restart from the beginning. */
	SCHED_DETAIL_NO_CHECKPOINTS,
	/* A few bits for each task: likewise; crashes are forgotten, too. */
	SCHED_DETAIL_SUMMARY,
	SCHED_DETAILS
};

/* Returns the job's progress in its stored form; the caller owns the
 * reference. */
json_t *sched_job_progress(const struct sched_job *job,
			   enum sched_detail detail);
/* The job's present progress is in the commit that is about to be sent. */
void sched_progress_collected(struct sched *s, struct sched_job *job);
/* That commit is stored. Opens the rounds that waited for it; returns whether
 * there were any. */
bool sched_progress_stored(struct sched *s, int64_t now_ms, int64_t wall_ms);

/* Called when a worker appears in the list of workers, changes there, or leaves
 * it. */
void sched_worker_listed(struct sched *s, const struct sched_worker_row *row,
			 int64_t now_ms);
void sched_worker_unlisted(struct sched *s, const char *id, int64_t now_ms);

/*
 * The roster lists all workers where tasks of the shard may run. It is stored
 * in SCHED_ROSTER_ROWS rows for the successor, since the list of workers omits
 * workers whose entries have expired. Returns one row in its stored form; the
 * caller owns the reference.
 */
#define SCHED_ROSTER_ROWS 16
json_t *sched_roster_pack_row(struct sched *s, int32_t row);
/* All rows returned by sched_roster_pack_row() are stored. */
void sched_roster_stored(struct sched *s);
/* Reads a previous owner's row. Returns false if part of it is invalid. */
bool sched_roster_restore(struct sched *s, const json_t *list, int64_t now_ms);

/*
 * Returns the handover for the successor: the workers that did not answer, the
 * remaining time of their leases, and the runs that may be active there, at
 * most `runs_max` in all. Call it when no more commands are sent. The caller
 * owns the reference.
 */
json_t *sched_handover_pack(const struct sched *s, int32_t runs_max,
			    int64_t now_ms);
/* Returns the handover that this owner received, for the next successor,
 * `waited_ms` after the takeover. The caller owns the reference. */
json_t *sched_handover_forward(const json_t *handover, int64_t waited_ms);
/*
 * Applies the previous owner's handover. Call it after the roster and all jobs
 * are loaded. Skips invalid entries. Returns the number of entries.
 */
int32_t sched_handover_apply(struct sched *s, const json_t *handover,
			     int64_t now_ms, int64_t wall_ms);

/* Starts or stops evacuating the VM: it gets no new tasks, and tasks are moved
 * off as far as their steps' limits on unavailable tasks allow. */
void sched_vm_evacuate(struct sched *s, const char *vm, bool on);
/* The VM's upkeep was commanded, or (`on` false) has not begun and won't: until
 * the VM has a new worker, tasks there count as unavailable. */
void sched_vm_set_terminating(struct sched *s, const char *vm, bool on);
/*
 * Returns whether the VM may be taken down: its workers answer, and each step
 * stays within its limit on unavailable tasks. Unless `late`
 * (the wave's time is running out), all tasks that can end or move elsewhere
 * must have left, too.
 */
bool sched_vm_may_terminate(const struct sched *s, const char *vm, bool late,
			    int64_t now_ms);

/*
 * A complete status report arrived. An end whose round can't be opened yet, and
 * those behind it, are left to a later report: seen_seq stays before it.
 */
void sched_poll_answered(struct sched *s, struct sched_worker *w,
			 const struct sched_report *report, int64_t now_ms,
			 int64_t wall_ms);
/* A poll or a command got no answer. */
void sched_worker_unanswered(struct sched *s, struct sched_worker *w,
			     int64_t now_ms);

enum sched_start_result {
	SCHED_START_OK,
	SCHED_START_FENCED,
	SCHED_START_OLD_NUMBER,
	SCHED_START_TOO_LATE,
	SCHED_START_NO_ROOM,
	SCHED_START_BAD_TICKET,
	SCHED_START_UNHEALTHY,
	SCHED_START_MALFORMED,
	SCHED_START_NOT_SENT,
	/* The command may have taken effect or may do so later. With all other
	 * results but SCHED_START_OK it has no effect. */
	SCHED_START_UNKNOWN,
};

/*
 * Returns the arguments of a start command, borrowed until the next call.
 * `checkpoint` and `ticket` may be set to NULL. Returns false if the start is
 * no longer wanted.
 */
bool sched_start_args(struct sched *s, const struct sched_ref *ref,
		      const char *worker, const char **payload,
		      const char **checkpoint, const char **ticket);

void sched_start_answered(struct sched *s, const struct sched_ref *ref,
			  const char *worker, enum sched_start_result res,
			  int64_t now_ms);
void sched_stop_answered(struct sched *s, const struct sched_ref *ref,
			 const char *worker, bool answered, int64_t now_ms);
/* The worker may not have received a pace command. */
void sched_pace_failed(struct sched *s, const struct sched_ref *ref,
		       const char *worker);
/* The policy service answered: it refuses the step at the workers that it was
 * asked about and doesn't allow. */
void sched_advice_received(struct sched *s, const struct sched_advice *advice,
			   int64_t now_ms);

/* Call periodically: handles expired leases, due rounds and stalled tasks. */
void sched_tick(struct sched *s, int64_t now_ms, int64_t wall_ms);

/*
 * Starts the ready tasks for which there is room. A call that would take too
 * long stops early; the next ones continue with the steps that it didn't reach,
 * until the sweep has reached all steps.
 */
void sched_place(struct sched *s, int64_t now_ms);

/*
 * Returns which pools are full, and of how many jobs in excess organisations
 * wait that still exceed their rate at `store_ms` (store's clock): an object of
 * "full", a list of pools, and "orgs", organisation to number. Returns NULL if
 * there is no full pool or no such organisation. The caller owns the reference.
 */
json_t *sched_org_pack_overload(const struct sched *s, int64_t now_ms,
				int64_t store_ms);
/* Returns whether work has been waiting for room in the pool for a while. Known
 * only if organisations are configured. */
bool sched_org_pool_is_full(const struct sched *s, const char *pool,
			    int64_t now_ms);

/* What an organisation has, for metrics. */
struct sched_org_figures {
	const char *name;
	struct place_resources used;
	double dominant; /* see org_share_dominant() */
	double entitlement;
	int32_t waiting; /* jobs of which nothing has started */
	int32_t excess; /* part of `waiting` */
};
/* Calls `add` for each organisation that is configured and has had jobs. */
void sched_org_list_figures(const struct sched *s,
			    void (*add)(const struct sched_org_figures *f,
					void *priv),
			    void *priv);

/* Returns how much CPU further long-running jobs may take, in thousandths of a
 * core; negative if they have too much. */
int64_t sched_lasting_room(const struct sched_pool_demand *d);

/* Returns about how many bytes it takes to send a start command of the step. */
int64_t sched_start_bytes(const struct sched *s, const struct sched_step *step);

/* Returns a negative number if the first start, of two that wait to be sent to
 * one worker, goes before the second, a positive one if it goes behind it. */
int sched_compare_starts(struct sched *s, const struct sched_ref *a,
			 const struct sched_ref *b, int64_t now_ms);

/* Returns whether the job is done, failed or cancelled. */
bool sched_job_has_ended(const struct sched_job *job);

/* Returns whether anything runs at the worker, as far as is known, including
 * runs that are being stopped because they are not needed. */
bool sched_worker_has_runs(const struct sched_worker *w);

/* Returns whether tasks run at the worker whose lease is to be renewed. */
bool sched_worker_needs_lease(const struct sched_worker *w);

/* Returns whether the worker has to be polled: it has runs or unstored ends, is
 * unreachable, or is not reconciled. */
bool sched_worker_busy(const struct sched_worker *w);

/* Returns when the leases of all workers that the roster marks have expired,
 * for the owner's row. */
int64_t sched_long_leases_until_ms(const struct sched *s);

/* Returns the last end that a poll sent now acknowledges; 0: none. */
int64_t sched_seq_to_ack(const struct sched_worker *w);

/* Returns the lease end to send to the worker now, on the worker's clock; 0:
 * don't renew the lease. */
int64_t sched_lease_end(struct sched *s, struct sched_worker *w,
			int64_t now_ms);

/* Returns the number of jobs in the queue of which no task has started. The
 * queue need not be configured. */
int32_t sched_count_queued(const struct sched *s, const char *queue);

/* Returns the number of workers in quarantine. */
int32_t sched_count_quarantined(const struct sched *s, int64_t now_ms);

const char *sched_job_state_name(enum sched_job_state state);

#endif
