/* Starts and stops clusters of gd-fleet against the platform simulator. */
#include "tests/harness_fleet.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

static void write_settings(const struct hf *f, int vm)
{
	char path[128];
	int port = f->vm_ports + vm * HF_VM_PORTS;
	FILE *out;

	snprintf(path, sizeof(path), "%s/vm%d.conf", f->dir, vm);
	out = fopen(path, "w");
	fprintf(out,
		"node=vm%d\nzone=z%d\nregion=r\n"
		"listen.front=127.0.0.1:%d\nlisten.ready=127.0.0.1:%d\n"
		"listen.control=127.0.0.1:%d\nplatform.addr=127.0.0.1:%d\n"
		"cloud.addr=127.0.0.1:%d\nadvisor=\n%s",
		vm, vm, port, port + 1, port + 2,
		f->opt.use_proxy ? f->store_ports + vm : f->platform_port,
		f->platform_port, f->opt.bounds);
	/* All workers of the simulator are in z1. So little processor time is
	 * too little for the calls of five workers. */
	if (f->opt.relays)
		fprintf(out,
			"\nzone=z1\nlimits.cpu_share=0.007\nport_range=%d,%d\n",
			port + 3, port + 3);
	fclose(out);
}

void hf_start_vm(struct hf *f, int vm)
{
	char path[128];
	char log[32];
	char *argv[] = { "gd-fleet", path, NULL };

	snprintf(path, sizeof(path), "%s/vm%d.conf", f->dir, vm);
	snprintf(log, sizeof(log), "vm%d.log", vm);
	f->vms[vm] = hx_run_program(f->bin, f->dir, log, argv);
}

void hf_kill_vm(struct hf *f, int vm)
{
	hx_signal_pid(f->vms[vm], SIGKILL);
	if (f->vms[vm] > 0)
		waitpid(f->vms[vm], NULL, 0);
	f->vms[vm] = 0;
}

struct hx_response hf_platform(const struct hf *f, const char *path,
			       const char *body)
{
	char url[128];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", f->platform_port,
		 path);
	return hx_http(body ? "POST" : "GET", url, NULL, body, HF_CALL_MS);
}

void hf_control(int port, const char *path, const char *fmt, ...)
{
	char url[128];
	struct hx_response resp;
	va_list ap;
	char *body;

	va_start(ap, fmt);
	body = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", port, path);
	resp = hx_http("POST", url, NULL, body, HF_CALL_MS);
	g_assert_cmpint(resp.status, ==, 200);
	hx_response_free(&resp);
	g_free(body);
}

void hf_put_row(const struct hf *f, const char *key, const char *value)
{
	json_t *j = json_pack("{s:s,s:s,s:s}", "table", "op", "key", key,
			      "value", value);
	char *text = json_dumps(j, JSON_COMPACT);

	hf_control(f->platform_port, "/control/row", "%s", text);
	free(text);
	json_decref(j);
}

static const char *const call_headers[] = { "Host: jobs.example",
					    "Deadline-Ms: 4000",
					    "Content-Type: application/json",
					    NULL };

struct hx_response hf_call(const struct hf *f, void *easy, int vm,
			   const char *method, const char *path,
			   const char *body)
{
	return hf_call_with(f, easy, vm, method, path, body, NULL);
}

/* Fills in `out` with call_headers and up to HF_HEADERS_MAX more. */
static void add_headers(const char *const *more, const char **out)
{
	int n = 0;

	for (int i = 0; call_headers[i]; i++)
		out[n++] = call_headers[i];
	for (int i = 0; more && i < HF_HEADERS_MAX && more[i]; i++)
		out[n++] = more[i];
	out[n] = NULL;
}

struct hx_response hf_call_with(const struct hf *f, void *easy, int vm,
				const char *method, const char *path,
				const char *body, const char *const *headers)
{
	const char *all[G_N_ELEMENTS(call_headers) + HF_HEADERS_MAX];
	char url[160];

	add_headers(headers, all);

	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s",
		 f->opt.use_proxy ? f->frontend_ports + vm
				  : f->vm_ports + vm * HF_VM_PORTS,
		 path);
	return easy ? hx_http_on(easy, method, url, all, body, HF_CALL_MS)
		    : hx_http(method, url, all, body, HF_CALL_MS);
}

struct hx_response hf_get_direct(const struct hf *f, void *easy, int vm,
				 const char *path, const char *auth,
				 int64_t timeout_ms)
{
	const char *const headers[] = { auth, NULL };
	const char *all[G_N_ELEMENTS(call_headers) + HF_HEADERS_MAX];
	char url[160];

	add_headers(headers, all);

	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s",
		 f->vm_ports + vm * HF_VM_PORTS, path);
	return hx_http_on(easy, "GET", url, all, NULL, timeout_ms);
}

bool hf_is_ready(const struct hf *f, int vm)
{
	char url[128];
	struct hx_response resp;
	bool ready;

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/v1/readyz",
		 f->vm_ports + vm * HF_VM_PORTS + 1);
	resp = hx_http("GET", url, NULL, NULL, HF_CALL_MS);
	ready = resp.status == 200;
	hx_response_free(&resp);
	return ready;
}

void hf_wait_ready(const struct hf *f, int vm)
{
	int64_t end = hx_now_ms() + HF_TIMEOUT_MS;

	while (!hf_is_ready(f, vm)) {
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(20);
	}
}

static void wait_responsive(int port, const char *path)
{
	int64_t end = hx_now_ms() + HF_TIMEOUT_MS;
	char url[128];
	struct hx_response resp;
	bool responds;

	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", port, path);
	do {
		hx_sleep_ms(20);
		resp = hx_http("POST", url, NULL, "{}", HF_CALL_MS);
		responds = resp.status == 200;
		hx_response_free(&resp);
		g_assert_cmpint(hx_now_ms(), <, end);
	} while (!responds);
}

/* Rules of the proxy match a connection by the kind and number of its map. */
static void add_proxy_map(const struct hf *f, char kind, int number, int port,
			  int to)
{
	hf_control(f->proxy_port, "/map",
		   "{\"ip\":\"127.0.0.1\",\"port\":%d,\"as\":\"%c%d\","
		   "\"to_ip\":\"127.0.0.1\",\"to_port\":%d}",
		   port, kind, number, to);
}

static void start_proxy(struct hf *f)
{
	char port[16];
	char *argv[] = { "gd-faultproxy", port, NULL };

	f->proxy_port = hx_free_ports(1);
	f->worker_ports = hx_free_ports(f->opt.workers);
	f->store_ports = hx_free_ports(f->opt.vms);
	f->frontend_ports = hx_free_ports(f->opt.vms);
	snprintf(port, sizeof(port), "%d", f->proxy_port);
	f->proxy = hx_run_program(f->bin, f->dir, "proxy.log", argv);
	wait_responsive(f->proxy_port, "/");
	for (int i = 0; i < f->opt.workers; i++)
		add_proxy_map(f, 'w', i, f->worker_ports + i, f->platform_port);
	for (int i = 0; i < f->opt.vms; i++) {
		add_proxy_map(f, 's', i, f->store_ports + i, f->platform_port);
		add_proxy_map(f, 'd', i, f->frontend_ports + i,
			      f->vm_ports + i * HF_VM_PORTS);
	}
}

static void start_platform(struct hf *f)
{
	char port[16];
	char workers[16];
	char worker_ports[16];
	char lease[24];
	char *argv[] = { "gd-site", port,
			 workers,   worker_ports,
			 lease,	    f->opt.overcommits ? "overcommit" : NULL,
			 NULL };

	snprintf(port, sizeof(port), "%d", f->platform_port);
	snprintf(workers, sizeof(workers), "%d", f->opt.workers);
	snprintf(worker_ports, sizeof(worker_ports), "%d", f->worker_ports);
	snprintf(lease, sizeof(lease), "%lld", (long long)f->opt.lease_max_ms);
	f->platform = hx_run_program(f->bin, f->dir, "site.log", argv);
	wait_responsive(f->platform_port, "/control/fault");
}

#define ROUTE(name, prefix, more)                                              \
	"{\"name\":\"" name                                                    \
	"\",\"host\":\"jobs.example\",\"prefix\":\"" prefix                    \
	"\",\"service\":\"pool\",\"prio\":0,\"attempts\":3,"                   \
	"\"slack_factor\":2,\"aim_ms\":600,\"timeout_ms\":3000,"               \
	"\"kind\":\"mutating\"" more "}"

void hf_configure(const struct hf *f, int version, const char *tenants)
{
	char *config = g_strdup_printf(
		"{\"version\":%d,\"routes\":[" ROUTE(
			"q", "/q/", "") "%s],"
					"\"services\":[{\"name\":\"pool\","
					"\"enforces_capacity\":%s}],"
					"\"limits\":{}%s%s}",
		version,
		tenants ? "," ROUTE("open", "/open/", ",\"public\":true") : "",
		f->opt.overcommits ? "false" : "true",
		tenants ? ",\"tenants\":" : "", tenants ? tenants : "");

	hf_put_row(f, "config", config);
	g_free(config);
}

void hf_start(struct hf *f, const struct hf_options *opt)
{
	memset(f, 0, sizeof(*f));
	f->opt = *opt;
	f->bin = getenv("GD_BIN") ? getenv("GD_BIN") : "build";
	g_strlcpy(f->dir, "/tmp/gd-fleet-XXXXXX", sizeof(f->dir));
	g_assert_nonnull(mkdtemp(f->dir));
	f->platform_port = hx_free_ports(1);
	f->vm_ports = hx_free_ports(opt->vms * HF_VM_PORTS);
	if (opt->use_proxy)
		start_proxy(f);
	start_platform(f);
	hf_configure(f, 1, opt->tenants);
	for (int i = 0; i < opt->vms; i++) {
		write_settings(f, i);
		hf_start_vm(f, i);
	}
	for (int i = 0; i < opt->vms; i++)
		hf_wait_ready(f, i);
}

void hf_stop(struct hf *f)
{
	for (int i = 0; i < f->opt.vms; i++)
		hf_kill_vm(f, i);
	hx_signal_pid(f->proxy, SIGKILL);
	if (f->proxy > 0)
		waitpid(f->proxy, NULL, 0);
	hx_signal_pid(f->platform, SIGKILL);
	waitpid(f->platform, NULL, 0);
}

int hf_owner(const struct hf *f, long epoch)
{
	int best = -1;
	long best_epoch = 0;

	for (int i = 0; i < f->opt.vms; i++) {
		char path[128];
		char *text = NULL;
		char *at;

		snprintf(path, sizeof(path), "%s/vm%d.log", f->dir, i);
		g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
		for (at = text; (at = strstr(at, "event=GD3001")); at++) {
			const char *field = strstr(at, "epoch=");
			long gained = field ? atol(field + 6) : 0;

			if (epoch ? gained != epoch : gained <= best_epoch)
				continue;
			best_epoch = gained;
			best = i;
		}
		g_free(text);
	}
	return best;
}
