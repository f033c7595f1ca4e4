/*
 * Test harness (hx_) for gd-entry and gd-sched: runs a cluster as real
 * processes with simulated platform, targets, workers and network, sends
 * requests to it, injects faults and evaluates the logs of the simulators.
 */
#ifndef HARNESS_H
#define HARNESS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define HX_VMS_MAX 16
#define HX_DOMAINS 3

/* A user's failure domains, and the network between them (one-way delays). */
struct hx_site {
	const char *domains[HX_DOMAINS];
	const char *regions[HX_DOMAINS];
	int64_t domain_delay_us; /* between domains of a region */
	int64_t region_delay_us;
	int64_t region_bytes_s; /* between regions, in each direction */
};

extern const struct hx_site hx_siriwattana;
extern const struct hx_site hx_dhahira;

struct hx_options {
	const struct hx_site *site;
	int vms; /* each with a gd-entry and a gd-sched */
	int targets; /* in each domain */
	int workers; /* in each domain */
	bool use_proxy; /* all connections pass the fault proxy */
	bool delays; /* the proxy applies the site's delays and rate */
	int64_t spread; /* tasks may be off from declared by this factor */
	int64_t failing_percent; /* share of workers that fail all tasks */
	const char *entry_settings; /* "\"key\":value,..." or NULL */
	const char *sched_settings;
	bool no_entries;
	bool no_scheds;
};

enum hx_role { HX_ENTRY, HX_SCHED, HX_ROLES };

struct hx {
	struct hx_options opt;
	char dir[64];
	const char *bin;
	pid_t platform;
	pid_t proxy;
	pid_t targets[HX_DOMAINS];
	pid_t workers[HX_DOMAINS];
	pid_t daemons[HX_ROLES][HX_VMS_MAX];
	char vm_ip[HX_VMS_MAX][32];
	int platform_port;
	int platform_client_port; /* where daemons reach the platform */
	int proxy_port;
	int target_port[HX_DOMAINS];
	int worker_port[HX_DOMAINS];
	int http_port[HX_ROLES][HX_VMS_MAX];
	int peer_port[HX_ROLES][HX_VMS_MAX];
	int advertised_peer_port[HX_ROLES][HX_VMS_MAX];
	int vm_port_base[2][HX_DOMAINS]; /* as listed: targets, workers */
	int64_t op_count; /* last operation id; decrement to repeat it */
	bool keep_logs; /* keep dir after the test */
};

/* The response to one HTTP request. */
struct hx_response {
	long status; /* 0: no response */
	char outcome[16];
	bool has_retry_after;
	char *body; /* freed by hx_response_free */
	json_t *json; /* of the body, or NULL */
	int64_t elapsed_ms;
};

struct hx *hx_start(const struct hx_options *opt);
void hx_stop(struct hx *x);

/* Starts or restarts one daemon; it appends to its log file. */
void hx_spawn(struct hx *x, enum hx_role role, int vm);
void hx_signal(struct hx *x, enum hx_role role, int vm, int sig);
/* Returns true while the daemon is suspended by SIGSTOP. */
bool hx_is_stopped(struct hx *x, enum hx_role role, int vm);
/* Waits for the daemon's end. Returns its exit status, or minus the signal. */
int hx_reap(struct hx *x, enum hx_role role, int vm);
void hx_signal_pid(pid_t pid, int sig);
/*
 * Returns true if the process has ended, with its exit status or signal in
 * `code`. It can still be reaped.
 */
bool hx_has_ended(pid_t pid, int *code);

/*
 * Starts the program `argv[0]` of `bin`, with its output in the file `log` in
 * `dir`. The kernel kills it when the test program ends.
 */
pid_t hx_run_program(const char *bin, const char *dir, const char *log,
		     char *const *argv);
/*
 * Returns the first of `n` consecutive free ports outside of the ephemeral
 * range. No other test program gets them while this one runs.
 */
int hx_free_ports(int n);

/*
 * Waits until all entries are ready and all shards have an owner. After a
 * timeout, returns false and reports the state on stderr.
 */
bool hx_wait_ready(struct hx *x);
bool hx_wait_entry_ready(struct hx *x, int vm);
/*
 * Writes to stderr which processes have ended, the status of entries and the
 * last lines of the logs. The logs are kept.
 */
void hx_dump_state(struct hx *x);

void hx_response_free(struct hx_response *resp);
struct hx_response hx_http(const char *method, const char *url,
			   const char *const *headers, const char *body,
			   int64_t timeout_ms);
/* Same, with the curl handle `easy`, which reuses its open connections. */
struct hx_response hx_http_on(void *easy, const char *method, const char *url,
			      const char *const *headers, const char *body,
			      int64_t timeout_ms);
struct hx_response hx_get(struct hx *x, int vm, const char *path);

/* Sends an operator's request to an entry, with a new operation id. */
struct hx_response hx_operator_call(struct hx *x, int vm, const char *verb,
				    const char *record);
/* Same, retried at all entries with one id. Returns false after 60 attempts. */
bool hx_operator_call_retry(struct hx *x, const char *verb, const char *record);

/* Sends a caller's request. `id` may be NULL for idempotent services. */
struct hx_response hx_call(struct hx *x, int vm, const char *service,
			   const char *id, int attempt, int64_t deadline_ms,
			   const char *body);

/*
 * Control requests to the platform simulator and the fault proxy, with a JSON
 * body. hx_platform() returns the response's JSON, or NULL; the caller owns it.
 * hx_proxy() returns how many connections faults have hit so far, or -1 if the
 * request failed.
 */
json_t *hx_platform(struct hx *x, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
int64_t hx_proxy(struct hx *x, const char *what, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Changes a VM in the platform's list; `fields` are members in JSON. */
void hx_update_vm(struct hx *x, const char *fields);

void hx_sleep_ms(int64_t ms);
int64_t hx_now_ms(void);

/* Polls `check`. Returns false if it isn't true within `timeout_ms`. */
bool hx_wait_until(bool (*check)(struct hx *x, void *arg), struct hx *x,
		   void *arg, int64_t timeout_ms);

/* Summary of the logs of all targets. */
struct hx_target_log {
	int64_t starts;
	int64_t ends;
	int64_t over; /* rejected: all slots were busy */
	int64_t max_busy;
	int64_t repeated; /* request ids that were started more than once */
	GHashTable *starts_by_id; /* request id to int64_t * */
	int64_t last_start_us[HX_DOMAINS]; /* monotonic */
	GHashTable *last_start_by_target; /* target id to int64_t * (us) */
};
struct hx_target_log hx_read_target_logs(struct hx *x);
void hx_target_log_free(struct hx_target_log *log);
/* Returns the target's last start, monotonic; 0 if it started nothing. */
int64_t hx_last_start_ms(const struct hx_target_log *log, const char *target);
int64_t hx_starts_of(const struct hx_target_log *log, const char *id);

/* Summary of the logs of all workers. */
struct hx_worker_log {
	int64_t starts;
	int64_t done;
	int64_t evicted;
	int64_t lapsed; /* runs ended since their lease expired */
	int64_t stale; /* starts rejected as too old */
	int64_t over; /* starts beyond capacity */
	int64_t concurrent_runs; /* starts of a task that already ran */
	int64_t duplicate_completions; /* starts of a task that was done */
	int64_t lost_progress; /* starts from before the task's checkpoint */
	int64_t last_start_ms[HX_DOMAINS];
	int64_t run_cpu_ms; /* of all attempts that ended */
	int64_t first_start_ms; /* monotonic */
	int64_t last_done_ms;
};
struct hx_worker_log hx_read_worker_logs(struct hx *x);

/*
 * Sums one field of the ledger over all shards. Unless NULL, `balanced` returns
 * whether the ledgers of all shards balance. hx_ledger_tasks() sums the tasks
 * in one state.
 */
int64_t hx_ledger(struct hx *x, int vm, const char *field, bool *balanced);
int64_t hx_ledger_tasks(struct hx *x, int vm, const char *state);

#endif
