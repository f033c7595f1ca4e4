/*
 * Workers of the platform simulator: what site_workers.c and site_runs.c share.
 */
#ifndef SITE_RUNS_H
#define SITE_RUNS_H

#include "standins/site.h"

struct site_run {
	char *task;
	int64_t attempt;
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t started_ms;
	int64_t ends_ms; /* 0: runs until it is stopped */
	bool fails;
	int64_t crashes_at_ms; /* takes its worker down then; 0: never */
	int64_t crash_down_ms;
	bool crash_same_id; /* the worker returns under its id */
};

struct site_run_end {
	int64_t seq;
	char *task;
	int64_t attempt;
	const char *outcome;
	bool lease_expired; /* before the owner acknowledged the end */
};

/* A status poll; answered when a run ends, or at until_ms. */
struct site_poll {
	struct hts_req *req;
	int64_t until_ms;
};

/* A VM and the current incarnation of its worker. */
struct site_worker {
	struct site *s;
	char vm[32];
	int index;
	char id[48];
	int incarnation;
	int64_t born_ms; /* wall clock, as reported to owners */
	int64_t clock_base_ms; /* see site_runs.c */
	int64_t fence_token;
	int64_t lease_until_ms; /* on the worker's clock */
	int64_t seq;
	int64_t down_until_ms; /* 0: the VM is up */
	int64_t cpu_milli; /* capacity */
	int64_t mem_mib;
	int64_t shrunk_until_ms; /* 0: the capacity is full */
	bool unresponsive; /* requests get no response at all */
	bool same_id; /* the next incarnation keeps the id */
	int64_t drain_until_ms; /* 0: not draining */
	int64_t unlist_at_ms; /* when to remove its row; 0: never */
	int64_t relist_at_ms; /* when to list it again; 0: listed */
	int64_t to_delay; /* so many next start and stop commands */
	int64_t command_delay_ms; /* they run after it, unanswered */
	GHashTable *last_ended; /* task to the last attempt that ended */
	GHashTable *waves; /* waves in which it had its upkeep */
	GPtrArray *runs;
	GPtrArray *ends;
	GPtrArray *polls;
};

/* The worker goes silent with all it runs, and returns after down_ms, but under
 * a new id not before its row has been removed. */
void worker_crash(struct site_worker *w, int64_t down_ms, bool same_id);

void runs_init(struct site_worker *w);
/* Serves a call of the owner about runs. `w` is NULL if the intended worker is
 * unknown. Returns false if it is no such call. */
bool runs_handle(struct site *s, struct site_worker *w, struct hts_req *req);
/* Ends all runs and forgets all ends, as a crash does. */
void runs_drop(struct site_worker *w);
/* Ends the runs that are due or whose lease has expired, and crashes the worker
 * if a run does. */
void runs_tick(struct site_worker *w);
/* Answers the polls that are due. */
void runs_tick_polls(struct site_worker *w);
void runs_log(const char *what, const struct site_worker *w, const char *task,
	      int64_t attempt);

#endif
