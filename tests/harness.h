/* Real processes for tests: starts them, harms them, reads their logs. */
#ifndef HARNESS_H
#define HARNESS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define HX_VMS_MAX 16
#define HX_DOMAINS 3

/* A user's failure domains and one-way delays. */
struct hx_site {
	const char *domains[HX_DOMAINS];
	const char *regions[HX_DOMAINS];
	int64_t domain_delay_us;
	int64_t region_delay_us;
	int64_t region_bytes_s;
};

extern const struct hx_site hx_siriwattana;
extern const struct hx_site hx_dhahira;

struct hx_options {
	const struct hx_site *site;
	int vms; /* each with an entry and a scheduler */
	int targets; /* in each domain */
	int workers; /* in each domain */
	bool proxied; /* everything passes the fault proxy */
	bool delays; /* with the site's delays and narrow link */
	int64_t spread; /* declared sizes off by up to this factor */
	int64_t bad_percent; /* workers that fail all they start */
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
	int platform_public;
	int proxy_port;
	int target_port[HX_DOMAINS];
	int worker_port[HX_DOMAINS];
	int http_port[HX_ROLES][HX_VMS_MAX];
	int peer_port[HX_ROLES][HX_VMS_MAX];
	int public_port[HX_ROLES][HX_VMS_MAX];
	int vm_port_base[2][HX_DOMAINS]; /* as listed: targets, workers */
	int64_t op_count;
	bool keep; /* the folder with its logs stays */
};

/* One answer. */
struct hx_answer {
	long status; /* 0: none */
	char outcome[16];
	char *body; /* freed by hx_answer_free */
	json_t *json; /* of the body, or NULL */
	int64_t took_ms;
};

struct hx *hx_start(const struct hx_options *opt);
void hx_stop(struct hx *x);

/* Starts or restarts one daemon, with a new log file. */
void hx_spawn(struct hx *x, enum hx_role role, int vm);
void hx_signal(struct hx *x, enum hx_role role, int vm, int sig);
/* Is it frozen by SIGSTOP? */
bool hx_is_stopped(struct hx *x, enum hx_role role, int vm);
/* Waits for its end; exit status, or -signal. */
int hx_reap(struct hx *x, enum hx_role role, int vm);
void hx_signal_pid(pid_t pid, int sig);
/* It can still be reaped after that. */
bool hx_has_ended(pid_t pid, int *code);

/* Starts a program of `bin`; its output goes to the file `log` in `dir`. It
 * ends with the test. */
pid_t hx_run(const char *bin, const char *dir, const char *log,
	     char *const *argv);
/* The first of `n` free ports in a row, outside of the ephemeral range. No
 * other test program gets them while this one runs. */
int hx_free_ports(int n);

/* All entries are ready and own all groups; all shards are held. What is not
 * after a while is told on stderr. */
bool hx_wait_ready(struct hx *x);
bool hx_wait_entry_ready(struct hx *x, int vm);
/* Tells on stderr which processes ended, what entries say, and the ends of
 * their logs. */
void hx_tell_state(struct hx *x);

void hx_answer_free(struct hx_answer *a);
struct hx_answer hx_http(const char *method, const char *url,
			 const char *const *headers, const char *body,
			 int64_t timeout_ms);
/* Same, on the connections that a handle of curl keeps open. */
struct hx_answer hx_http_on(void *easy, const char *method, const char *url,
			    const char *const *headers, const char *body,
			    int64_t timeout_ms);
struct hx_answer hx_get(struct hx *x, int vm, const char *path);

/* An operator's call through an entry, with an operation id of its own. */
struct hx_answer hx_operate(struct hx *x, int vm, const char *verb,
			    const char *record);
/* Same, until some entry does it. */
bool hx_operate_surely(struct hx *x, const char *verb, const char *record);

/* A caller's request. `id` may be NULL for idempotent services. */
struct hx_answer hx_call(struct hx *x, int vm, const char *service,
			 const char *id, int attempt, int64_t deadline_ms,
			 const char *body);

/* Platform and proxy controls; JSON bodies. The answer's fields count; the
 * proxy's is -1 if it refused. */
json_t *hx_platform(struct hx *x, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
int64_t hx_proxy(struct hx *x, const char *what, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Tells the platform's list of a VM's change. */
void hx_list_vm(struct hx *x, const char *fields);

void hx_sleep_ms(int64_t ms);
int64_t hx_now_ms(void);

/* Polls until true; false after `timeout_ms`. */
bool hx_until(bool (*check)(struct hx *x, void *arg), struct hx *x, void *arg,
	      int64_t timeout_ms);

/* What the targets' own logs say. */
struct hx_target_log {
	int64_t starts;
	int64_t ends;
	int64_t over; /* refused since all slots were busy */
	int64_t max_busy;
	int64_t repeated; /* request ids started more than once */
	GHashTable *by_id; /* request id to number of starts (int64_t *) */
	int64_t last_start_us[HX_DOMAINS]; /* monotonic */
	GHashTable *last_us; /* target id to its last start (int64_t *) */
};
struct hx_target_log hx_read_targets(struct hx *x);
void hx_target_log_free(struct hx_target_log *log);
/* Monotonic; 0 if it started nothing. */
int64_t hx_last_start_ms(const struct hx_target_log *log, const char *target);
int64_t hx_starts_of(const struct hx_target_log *log, const char *id);

/* What the workers' own logs say. */
struct hx_worker_log {
	int64_t starts;
	int64_t done;
	int64_t evicted;
	int64_t lapsed;
	int64_t stale; /* starts refused as too old */
	int64_t over; /* starts beyond capacity */
	int64_t twice; /* a task ran in two places at once */
	int64_t done_twice; /* a task was completed more than once */
	int64_t lost_progress; /* resumed behind its checkpoint */
	int64_t last_start_ms[HX_DOMAINS];
	int64_t run_cpu_ms; /* of all attempts that ended */
	int64_t first_start_ms; /* monotonic */
	int64_t last_done_ms;
};
struct hx_worker_log hx_read_workers(struct hx *x);

/* Sum over all shards of one ledger field; balanced says if all do. */
int64_t hx_ledger(struct hx *x, int vm, const char *field, bool *balanced);
int64_t hx_ledger_tasks(struct hx *x, int vm, const char *state);

#endif
