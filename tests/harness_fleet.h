/*
 * Test harness (hf_) for gd-fleet: runs VMs as real processes against the
 * platform simulator gd-site, optionally through the fault proxy. A failed
 * step aborts the test.
 */
#ifndef HARNESS_FLEET_H
#define HARNESS_FLEET_H

#include "tests/harness.h"

#define HF_VMS_MAX 9
/* Ports of a VM: front, ready, control, relay. */
#define HF_VM_PORTS 4
/* Far more than any step takes on a busy machine. */
#define HF_TIMEOUT_MS 60000
#define HF_CALL_MS 5000

struct hf_options {
	int vms;
	int workers;
	bool use_proxy; /* all connections pass the fault proxy */
	int64_t lease_max_ms; /* at workers; 0: the simulator's default */
	bool overcommits; /* workers don't guard their capacity */
	bool relays; /* owners call workers by way of the other VMs */
	const char *bounds; /* more lines for the VMs' settings */
	const char *tenants; /* JSON list of the configuration; NULL: none */
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
	int store_ports; /* first; each VM reaches the store at its own */
	int worker_ports; /* first; 0 without proxy */
	int frontend_ports; /* first; for callers, with proxy */
	int vm_ports; /* first; HF_VM_PORTS of each VM */
	int jobs; /* submitted so far */
};

/*
 * Starts the simulators and VMs, writes a configuration, and waits until all
 * VMs are ready.
 */
void hf_start(struct hf *f, const struct hf_options *opt);
/* Kills all processes; the directory of logs stays. */
void hf_stop(struct hf *f);

void hf_start_vm(struct hf *f, int vm);
/* Kills the VM and waits for its end. */
void hf_kill_vm(struct hf *f, int vm);
bool hf_is_ready(const struct hf *f, int vm);
void hf_wait_ready(const struct hf *f, int vm);

/* Sends a request to the platform simulator: POST, or GET without a body. */
struct hx_response hf_platform(const struct hf *f, const char *path,
			       const char *body);
/* Sends a control request to the simulator or proxy; it has to succeed. */
void hf_control(int port, const char *path, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void hf_put_row(const struct hf *f, const char *key, const char *value);
/* Writes a version of the configuration: jobs at /q/, and with `tenants` also
 * at /open/, a public route. Returns once it is in the store. */
void hf_configure(const struct hf *f, int version, const char *tenants);

/* Sends a caller's request. `easy`: see hx_http_on(); NULL: new connection. */
struct hx_response hf_call(const struct hf *f, void *easy, int vm,
			   const char *method, const char *path,
			   const char *body);

/* Same with further headers, at most HF_HEADERS_MAX, up to a NULL. */
#define HF_HEADERS_MAX 2
struct hx_response hf_call_with(const struct hf *f, void *easy, int vm,
				const char *method, const char *path,
				const char *body, const char *const *headers);

/* Same with GET at the VM's own address, which no fault of a link affects.
 * `auth` is a further header, or NULL. */
struct hx_response hf_get_direct(const struct hf *f, void *easy, int vm,
				 const char *path, const char *auth,
				 int64_t timeout_ms);

/*
 * Returns the VM whose log says that it gained ownership in `epoch` (0: in the
 * highest epoch), or -1 if there is none.
 */
int hf_owner(const struct hf *f, long epoch);

#endif
