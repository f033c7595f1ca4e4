/* gd-fleet as real processes against the platform's stand-in, gd-site. */
#ifndef HARNESS_FLEET_H
#define HARNESS_FLEET_H

#include "tests/harness.h"

#define HF_VMS_MAX 9
/* Far beyond what anything here takes on a busy machine. */
#define HF_PATIENCE_MS 60000
#define HF_CALL_MS 5000

struct hf_options {
	int vms;
	int workers;
	bool proxied; /* all connections pass the fault proxy */
	int64_t lease_max_ms; /* of the workers; 0: the stand-in's own */
	const char *bounds; /* lines of the VMs' settings */
};

struct hf {
	struct hf_options opt;
	const char *bin;
	char dir[64];
	pid_t platform;
	pid_t proxy;
	pid_t vms[HF_VMS_MAX]; /* 0: not running */
	int platform_port;
	int proxy_port;
	int store_ports; /* where each VM reaches the store */
	int worker_ports;
	int door_ports; /* where callers reach each VM */
	int ports; /* of a VM: door, ready, control */
	int jobs;
};

/* Starts the stand-ins, writes a configuration, waits until all VMs are ready.
 */
void hf_open(struct hf *f, const struct hf_options *opt);
/* Ends all processes; the directory of logs stays. */
void hf_close(struct hf *f);

void hf_start_vm(struct hf *f, int vm);
/* Kills the VM and waits for its end. */
void hf_kill_vm(struct hf *f, int vm);
bool hf_is_ready(const struct hf *f, int vm);
void hf_wait_ready(const struct hf *f, int vm);

/* A call to the platform's stand-in; a GET without body. */
struct hx_answer hf_platform(const struct hf *f, const char *path,
			     const char *body);
/* A control call that has to succeed, to the stand-in or the fault proxy. */
void hf_control(int port, const char *path, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void hf_put_row(const struct hf *f, const char *key, const char *value);

/* A caller's call. `easy`: see hx_http_on; NULL for a new connection. */
struct hx_answer hf_call(const struct hf *f, void *easy, int vm,
			 const char *method, const char *path,
			 const char *body);

/* Which VM's log says that it gained this epoch? 0: the last one. -1: none. */
int hf_owner(const struct hf *f, long epoch);

#endif
