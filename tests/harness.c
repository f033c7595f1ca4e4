/* Starts, signals and stops the processes of a test cluster. */
#include "tests/harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clk.h"

#define READY_TIMEOUT_MS 60000
/* For the first response of a simulator, which takes it milliseconds. */
#define RESPONSE_TIMEOUT_MS 10000
#define POLL_MS 20
/*
 * The pool ends below the kernel's ephemeral ports, which begin at 32768; the
 * guard ports (see claim_block()) lie between. A cluster of three VMs takes
 * about 30 ports.
 */
#define PORT_FIRST 10000
#define PORT_COUNT 22000
#define BLOCK_PORTS 50
#define PORT_BLOCKS (PORT_COUNT / BLOCK_PORTS)
#define GUARD_PORT_FIRST (PORT_FIRST + PORT_COUNT)

const struct hx_site hx_siriwattana = { { "bkk-silom", "bkk-bangna",
					  "cnx-nimman" },
					{ "bangkok", "bangkok", "chiang-mai" },
					500,
					30000,
					3750000 };
const struct hx_site hx_dhahira = { { "muscat-a", "muscat-b", "sohar-a" },
				    { "muscat", "muscat", "sohar" },
				    1400,
				    30000,
				    3750000 };

int64_t hx_now_ms(void)
{
	return clk_mono_ms(&clk_system);
}

void hx_sleep_ms(int64_t ms)
{
	usleep((useconds_t)ms * 1000);
}

bool hx_wait_until(bool (*check)(struct hx *x, void *arg), struct hx *x,
		   void *arg, int64_t timeout_ms)
{
	int64_t end_ms = hx_now_ms() + timeout_ms;

	do {
		if (check(x, arg))
			return true;
		hx_sleep_ms(POLL_MS);
	} while (hx_now_ms() < end_ms);
	return false;
}

static bool port_is_free(int port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ok;

	/* On all addresses, so that the port is free on any 127.x.y.z. */
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ok = bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0;
	close(fd);
	return ok;
}

/* The blocks of ports that this process has claimed; reset after fork(). */
struct port_pool {
	pid_t pid;
	int next;
	bool claimed[PORT_BLOCKS];
};

/*
 * Claims a block of ports by binding its guard port until the process ends. So
 * test programs that run at the same time never choose the same port, even
 * before they listen on it.
 */
static bool claim_block(struct port_pool *p, int block)
{
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)(GUARD_PORT_FIRST + block))
	};
	int fd;

	if (p->claimed[block])
		return true;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	p->claimed[block] = bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0;
	if (!p->claimed[block])
		close(fd);
	return p->claimed[block];
}

static bool claim_port(struct port_pool *p, int port)
{
	return claim_block(p, (port - PORT_FIRST) / BLOCK_PORTS) &&
	       port_is_free(port);
}

int hx_free_ports(int n)
{
	static struct port_pool p;
	int first;

	if (p.pid != getpid())
		p = (struct port_pool){ .pid = getpid(),
					.next = PORT_FIRST +
						getpid() % PORT_BLOCKS *
							BLOCK_PORTS };
	first = p.next;
	for (int tries = 0; tries < PORT_COUNT; tries++, first++) {
		int k = 0;

		if (first + n > PORT_FIRST + PORT_COUNT)
			first = PORT_FIRST;
		while (k < n && claim_port(&p, first + k))
			k++;
		if (k == n) {
			p.next = first + n;
			return first;
		}
	}
	fprintf(stderr, "cannot find %d consecutive free ports\n", n);
	abort();
}

pid_t hx_run_program(const char *bin, const char *dir, const char *log,
		     char *const *argv)
{
	char path[160];
	char program[256];
	pid_t pid;

	snprintf(path, sizeof(path), "%s/%s", dir, log);
	snprintf(program, sizeof(program), "%s/%s", bin, argv[0]);
	pid = fork();
	if (pid)
		return pid;
	/* No process outlives a test that aborts. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	int fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);

	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execv(program, argv);
	_exit(127);
}

static pid_t spawn(struct hx *x, const char *log, char *const *argv)
{
	return hx_run_program(x->bin, x->dir, log, argv);
}

/* Aborts now: an incomplete cluster would fail later, for no clear reason. */
static void expect_started(const struct hx *x, const char *part, bool ok)
{
	if (ok)
		return;
	fprintf(stderr, "%s did not start: see %s\n", part, x->dir);
	abort();
}

/*
 * Waits for a response, and checks that the process still runs: if it has
 * ended, another process on its port may have responded.
 */
static void expect_responsive(struct hx *x, const char *part, pid_t pid,
			      bool (*responds)(struct hx *x, void *arg))
{
	int64_t end_ms = hx_now_ms() + RESPONSE_TIMEOUT_MS;
	bool ok;
	int code;

	do {
		hx_sleep_ms(POLL_MS);
		ok = responds(x, NULL);
	} while (!ok && !hx_has_ended(pid, &code) && hx_now_ms() < end_ms);
	expect_started(x, part, ok && !hx_has_ended(pid, &code));
}

static void add_proxy_map(struct hx *x, const char *ip, int port,
			  const char *to_ip, int to_port)
{
	char part[64];

	snprintf(part, sizeof(part), "the proxy's map %s:%d", ip, port);
	expect_started(x, part,
		       hx_proxy(x, "map",
				"{\"ip\":\"%s\",\"port\":%d,"
				"\"to_ip\":\"%s\",\"to_port\":%d}",
				ip, port, to_ip, to_port) >= 0);
}

static void write_settings(struct hx *x, enum hx_role role, int vm)
{
	static const char *const names[] = { "e", "s" };
	const char *extra = role == HX_ENTRY ? x->opt.entry_settings
					     : x->opt.sched_settings;
	int d = vm % HX_DOMAINS;
	char path[160];
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s%d.json", x->dir, names[role], vm);
	f = fopen(path, "w");
	fprintf(f,
		"{\"id\":\"%s%d\",\"ip\":\"%s\",\"domain\":\"%s\","
		"\"region\":\"%s\",\"platform_url\":\"http://127.0.0.1:%d\","
		"\"http_port\":%d,\"peer_port\":%d,\"advertised_port\":%d%s%s}"
		"\n",
		names[role], vm, x->vm_ip[vm], x->opt.site->domains[d],
		x->opt.site->regions[d], x->platform_client_port,
		x->http_port[role][vm], x->peer_port[role][vm],
		x->advertised_peer_port[role][vm], extra ? "," : "",
		extra ? extra : "");
	fclose(f);
}

void hx_spawn(struct hx *x, enum hx_role role, int vm)
{
	static const char *const programs[] = { "gd-entry", "gd-sched" };
	static const char *const names[] = { "e", "s" };
	char settings[160];
	char log[32];
	char *argv[] = { (char *)programs[role], settings, NULL };

	snprintf(settings, sizeof(settings), "%s/%s%d.json", x->dir,
		 names[role], vm);
	snprintf(log, sizeof(log), "%s%d.log", names[role], vm);
	x->daemons[role][vm] = spawn(x, log, argv);
}

void hx_signal_pid(pid_t pid, int sig)
{
	if (pid > 0)
		kill(pid, sig);
}

void hx_signal(struct hx *x, enum hx_role role, int vm, int sig)
{
	hx_signal_pid(x->daemons[role][vm], sig);
}

bool hx_is_stopped(struct hx *x, enum hx_role role, int vm)
{
	char path[64];
	char state = '?';
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/stat",
		 (int)x->daemons[role][vm]);
	f = fopen(path, "r");
	if (f && fscanf(f, "%*d %*s %c", &state) != 1)
		state = '?';
	if (f)
		fclose(f);
	return state == 'T';
}

int hx_reap(struct hx *x, enum hx_role role, int vm)
{
	int status = 0;

	if (x->daemons[role][vm] <= 0)
		return 0;
	waitpid(x->daemons[role][vm], &status, 0);
	x->daemons[role][vm] = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool hx_has_ended(pid_t pid, int *code)
{
	siginfo_t info = { 0 };

	if (waitid(P_PID, (id_t)pid, &info, WEXITED | WNOHANG | WNOWAIT) < 0 ||
	    !info.si_pid)
		return false;
	*code = info.si_status;
	return true;
}

static void publish_vms(struct hx *x)
{
	GString *vms = g_string_new("");

	for (int d = 0; d < HX_DOMAINS; d++) {
		const char *domain = x->opt.site->domains[d];
		const char *region = x->opt.site->regions[d];

		for (int i = 0; i < x->opt.targets; i++)
			g_string_append_printf(
				vms,
				"%s{\"id\":\"%s-%d\",\"kind\":\"target\","
				"\"pool\":\"default\",\"ip\":\"127.0.0.1\","
				"\"port\":%d,\"slots\":8,\"domain\":\"%s\","
				"\"region\":\"%s\"}",
				vms->len ? "," : "", domain, i,
				x->vm_port_base[0][d] + i, domain, region);
		for (int i = 0; i < x->opt.workers; i++)
			g_string_append_printf(
				vms,
				"%s{\"id\":\"%s-w-%d\",\"kind\":\"worker\","
				"\"ip\":\"127.0.0.1\",\"port\":%d,"
				"\"cpu_milli\":32000,\"mem_mib\":125000,"
				"\"domain\":\"%s\",\"region\":\"%s\","
				"\"rack\":\"%s-%d\"}",
				vms->len ? "," : "", domain, i,
				x->vm_port_base[1][d] + i, domain, region,
				domain, i / 8);
	}
	json_decref(hx_platform(x, "{\"vms\":[%s]}", vms->str));
	g_string_free(vms, TRUE);
}

static pid_t start_targets(struct hx *x, int d)
{
	char port[16];
	char count[16];
	char log[32];
	char *argv[] = { "gd-target", (char *)x->opt.site->domains[d], port,
			 count, NULL };

	snprintf(port, sizeof(port), "%d", x->target_port[d]);
	snprintf(count, sizeof(count), "%d", x->opt.targets);
	snprintf(log, sizeof(log), "targets%d.log", d);
	return spawn(x, log, argv);
}

static pid_t start_workers(struct hx *x, int d)
{
	char prefix[64];
	char port[16];
	char count[16];
	char spread[16];
	char failing[16];
	char log[32];
	char *argv[] = { "gd-worker", prefix, port,    count, "32000",
			 "125000",    spread, failing, NULL };

	snprintf(prefix, sizeof(prefix), "%s-w", x->opt.site->domains[d]);
	snprintf(port, sizeof(port), "%d", x->worker_port[d]);
	snprintf(count, sizeof(count), "%d", x->opt.workers);
	snprintf(spread, sizeof(spread), "%d",
		 (int)(x->opt.spread ? x->opt.spread : 1));
	snprintf(failing, sizeof(failing), "%d", (int)x->opt.failing_percent);
	snprintf(log, sizeof(log), "workers%d.log", d);
	return spawn(x, log, argv);
}

static bool platform_responds(struct hx *x, void *arg)
{
	json_t *j = hx_platform(x, "{}");
	bool ok = j != NULL;

	(void)arg;
	json_decref(j);
	return ok;
}

static bool proxy_responds(struct hx *x, void *arg)
{
	char url[96];
	struct hx_response resp;
	bool ok;

	(void)arg;
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/", x->proxy_port);
	resp = hx_http("POST", url, NULL, "{}", 1000);
	ok = resp.status == 200;
	hx_response_free(&resp);
	return ok;
}

/* Delay and bandwidth depend on whether domain or region differ. */
static void set_delays(struct hx *x)
{
	const struct hx_site *s = x->opt.site;

	for (int from = 0; from < HX_DOMAINS; from++) {
		for (int vm = 0; vm < x->opt.vms; vm++) {
			int to = vm % HX_DOMAINS;
			bool cross_region =
				strcmp(s->regions[from], s->regions[to]) != 0;

			if (from == to)
				continue;
			hx_proxy(x, "rule",
				 "{\"from\":\"127.%d.1.*\",\"to\":\"%s:*\","
				 "\"delay_us\":%" PRId64 ",\"bytes_s\":%" PRId64
				 "}",
				 from + 1, x->vm_ip[vm],
				 cross_region ? s->region_delay_us
					      : s->domain_delay_us,
				 cross_region ? s->region_bytes_s : 0);
		}
		if (strcmp(s->regions[from], s->regions[0]) != 0)
			hx_proxy(x, "rule",
				 "{\"from\":\"127.%d.1.*\",\"to\":\"127.0.0.1:"
				 "%d\",\"delay_us\":%" PRId64 "}",
				 from + 1, x->platform_port,
				 s->region_delay_us);
	}
}

static void start_proxy(struct hx *x)
{
	char port[16];
	char *argv[] = { "gd-faultproxy", port, NULL };

	x->proxy_port = hx_free_ports(1);
	snprintf(port, sizeof(port), "%d", x->proxy_port);
	x->proxy = spawn(x, "proxy.log", argv);
	expect_responsive(x, "the proxy", x->proxy, proxy_responds);
	x->platform_client_port = hx_free_ports(1);
	add_proxy_map(x, "127.0.0.1", x->platform_client_port, "127.0.0.1",
		      x->platform_port);
	for (int d = 0; d < HX_DOMAINS; d++) {
		x->vm_port_base[0][d] = hx_free_ports(x->opt.targets);
		x->vm_port_base[1][d] = hx_free_ports(x->opt.workers);
		for (int i = 0; i < x->opt.targets; i++)
			add_proxy_map(x, "127.0.0.1", x->vm_port_base[0][d] + i,
				      "127.0.0.1", x->target_port[d] + i);
		for (int i = 0; i < x->opt.workers; i++)
			add_proxy_map(x, "127.0.0.1", x->vm_port_base[1][d] + i,
				      "127.0.0.1", x->worker_port[d] + i);
	}
	for (int vm = 0; vm < x->opt.vms; vm++) {
		for (int r = 0; r < HX_ROLES; r++) {
			x->advertised_peer_port[r][vm] = hx_free_ports(1);
			add_proxy_map(x, x->vm_ip[vm],
				      x->advertised_peer_port[r][vm],
				      x->vm_ip[vm], x->peer_port[r][vm]);
		}
	}
	if (x->opt.delays)
		set_delays(x);
}

static void choose_ports(struct hx *x)
{
	x->platform_port = x->platform_client_port = hx_free_ports(1);
	for (int d = 0; d < HX_DOMAINS; d++) {
		x->target_port[d] = hx_free_ports(x->opt.targets);
		x->worker_port[d] = hx_free_ports(x->opt.workers);
		x->vm_port_base[0][d] = x->target_port[d];
		x->vm_port_base[1][d] = x->worker_port[d];
	}
	for (int vm = 0; vm < x->opt.vms; vm++) {
		/* The proxy's rules match the domain by the second byte. */
		snprintf(x->vm_ip[vm], sizeof(x->vm_ip[vm]), "127.%d.1.%d",
			 vm % HX_DOMAINS + 1, vm + 1);
		for (int r = 0; r < HX_ROLES; r++) {
			x->http_port[r][vm] = hx_free_ports(1);
			x->peer_port[r][vm] = hx_free_ports(1);
			x->advertised_peer_port[r][vm] = x->peer_port[r][vm];
		}
	}
}

struct hx *hx_start(const struct hx_options *opt)
{
	struct hx *x = g_new0(struct hx, 1);
	char port[16];
	char *platform[] = { "gd-platform", port, NULL };

	x->opt = *opt;
	x->bin = getenv("GD_BIN") ? getenv("GD_BIN") : "build";
	snprintf(x->dir, sizeof(x->dir), "/tmp/gd-XXXXXX");
	if (!mkdtemp(x->dir))
		abort();
	choose_ports(x);
	snprintf(port, sizeof(port), "%d", x->platform_port);
	x->platform = spawn(x, "platform.log", platform);
	for (int d = 0; d < HX_DOMAINS; d++) {
		x->targets[d] = opt->targets ? start_targets(x, d) : 0;
		x->workers[d] = opt->workers ? start_workers(x, d) : 0;
	}
	if (opt->use_proxy)
		start_proxy(x);
	expect_responsive(x, "the platform", x->platform, platform_responds);
	publish_vms(x);
	for (int vm = 0; vm < opt->vms; vm++) {
		for (int r = 0; r < HX_ROLES; r++) {
			write_settings(x, (enum hx_role)r, vm);
			if (!(r == HX_ENTRY ? opt->no_entries : opt->no_scheds))
				hx_spawn(x, (enum hx_role)r, vm);
		}
	}
	return x;
}

static void end_process(pid_t pid)
{
	if (pid <= 0)
		return;
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}

void hx_stop(struct hx *x)
{
	char command[128];

	for (int vm = 0; vm < x->opt.vms; vm++) {
		for (int r = 0; r < HX_ROLES; r++)
			end_process(x->daemons[r][vm]);
	}
	for (int d = 0; d < HX_DOMAINS; d++) {
		end_process(x->targets[d]);
		end_process(x->workers[d]);
	}
	end_process(x->proxy);
	end_process(x->platform);
	snprintf(command, sizeof(command), "rm -rf %s", x->dir);
	if (x->keep_logs || getenv("GD_KEEP"))
		fprintf(stderr, "logs kept in %s\n", x->dir);
	else if (system(command) != 0)
		fprintf(stderr, "cannot remove %s\n", x->dir);
	g_free(x);
}

/*
 * Checks "joined" too: the ready row may stem from the entry's previous
 * incarnation.
 */
static bool is_entry_ready(json_t *status, int vm)
{
	char id[16];
	json_t *member;
	size_t i;

	if (!json_is_true(json_object_get(status, "joined")))
		return false;
	snprintf(id, sizeof(id), "e%d", vm);
	json_array_foreach(json_object_get(status, "members"), i, member)
	{
		if (!strcmp(id,
			    json_string_value(json_object_get(member, "id"))))
			return json_is_true(json_object_get(member, "ready"));
	}
	return false;
}

bool hx_wait_entry_ready(struct hx *x, int vm)
{
	int64_t end_ms = hx_now_ms() + READY_TIMEOUT_MS;

	while (hx_now_ms() < end_ms) {
		struct hx_response resp = hx_get(x, vm, "/v1/status");
		bool ok = is_entry_ready(resp.json, vm);

		hx_response_free(&resp);
		if (ok)
			return true;
		hx_sleep_ms(100);
	}
	fprintf(stderr, "entry %d did not become ready\n", vm);
	hx_dump_state(x);
	return false;
}

bool hx_wait_ready(struct hx *x)
{
	for (int vm = 0; vm < x->opt.vms && !x->opt.no_entries; vm++) {
		if (x->daemons[HX_ENTRY][vm] > 0 && !hx_wait_entry_ready(x, vm))
			return false;
	}
	if (x->opt.no_scheds || x->opt.no_entries)
		return true;
	for (int i = 0; i < 100; i++) {
		bool balanced = false;

		if (hx_ledger(x, 0, "epoch", &balanced) > 0 && balanced)
			return true;
		hx_sleep_ms(200);
	}
	fprintf(stderr, "the ledger does not balance or has no owner\n");
	hx_dump_state(x);
	return false;
}
