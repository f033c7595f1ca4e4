/* Real processes for tests: starts them, harms them, reads their logs. */
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
#define POLL_MS 20

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

bool hx_until(bool (*check)(struct hx *x, void *arg), struct hx *x, void *arg,
	      int64_t timeout_ms)
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
	bool good;

	/* On all addresses, so that any 127.x.y.z of ours is free too. */
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	good = bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0;
	close(fd);
	return good;
}

int hx_free_ports(int n)
{
	static int next;
	int first;

	if (!next)
		next = getenv("GD_PORTS") ? atoi(getenv("GD_PORTS"))
					  : 10000 + getpid() % 1500 * 10;
	for (first = next;; first++) {
		int k = 0;

		if (first + n > 32000)
			first = 10000;
		while (k < n && port_is_free(first + k))
			k++;
		if (k == n)
			break;
	}
	next = first + n;
	return first;
}

pid_t hx_run(const char *bin, const char *dir, const char *log,
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
	/* A test that aborts leaves nothing behind. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	int fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);

	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execv(program, argv);
	_exit(127);
}

static pid_t spawn(struct hx *x, const char *log, char *const *argv)
{
	return hx_run(x->bin, x->dir, log, argv);
}

static void add_map(struct hx *x, const char *ip, int port, const char *to_ip,
		    int to_port)
{
	hx_proxy(x, "map",
		 "{\"ip\":\"%s\",\"port\":%d,\"to_ip\":\"%s\",\"to_port\":%d}",
		 ip, port, to_ip, to_port);
}

static void write_settings(struct hx *x, enum hx_role role, int vm)
{
	static const char *const names[] = { "e", "s" };
	const char *more = role == HX_ENTRY ? x->opt.entry_settings
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
		x->opt.site->regions[d], x->platform_public,
		x->http_port[role][vm], x->peer_port[role][vm],
		x->public_port[role][vm], more ? "," : "", more ? more : "");
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

static void list_vms(struct hx *x)
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
	char bad[16];
	char log[32];
	char *argv[] = { "gd-worker", prefix, port, count, "32000",
			 "125000",    spread, bad,  NULL };

	snprintf(prefix, sizeof(prefix), "%s-w", x->opt.site->domains[d]);
	snprintf(port, sizeof(port), "%d", x->worker_port[d]);
	snprintf(count, sizeof(count), "%d", x->opt.workers);
	snprintf(spread, sizeof(spread), "%d",
		 (int)(x->opt.spread ? x->opt.spread : 1));
	snprintf(bad, sizeof(bad), "%d", (int)x->opt.bad_percent);
	snprintf(log, sizeof(log), "workers%d.log", d);
	return spawn(x, log, argv);
}

static bool platform_answers(struct hx *x, void *arg)
{
	json_t *j = hx_platform(x, "{}");
	bool good = j != NULL;

	(void)arg;
	json_decref(j);
	return good;
}

static bool proxy_answers(struct hx *x, void *arg)
{
	char url[96];
	struct hx_answer a;
	bool good;

	(void)arg;
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/", x->proxy_port);
	a = hx_http("POST", url, NULL, "{}", 1000);
	good = a.status == 200;
	hx_answer_free(&a);
	return good;
}

/* The pair of regions or domains decides delay and width. */
static void set_delays(struct hx *x)
{
	const struct hx_site *s = x->opt.site;

	for (int from = 0; from < HX_DOMAINS; from++) {
		for (int vm = 0; vm < x->opt.vms; vm++) {
			int to = vm % HX_DOMAINS;
			bool far =
				strcmp(s->regions[from], s->regions[to]) != 0;

			if (from == to)
				continue;
			hx_proxy(x, "rule",
				 "{\"from\":\"127.%d.1.*\",\"to\":\"%s:*\","
				 "\"delay_us\":%" PRId64 ",\"bytes_s\":%" PRId64
				 "}",
				 from + 1, x->vm_ip[vm],
				 far ? s->region_delay_us : s->domain_delay_us,
				 far ? s->region_bytes_s : 0);
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
	hx_until(proxy_answers, x, NULL, 10000);
	x->platform_public = hx_free_ports(1);
	add_map(x, "127.0.0.1", x->platform_public, "127.0.0.1",
		x->platform_port);
	for (int d = 0; d < HX_DOMAINS; d++) {
		x->vm_port_base[0][d] = hx_free_ports(x->opt.targets);
		x->vm_port_base[1][d] = hx_free_ports(x->opt.workers);
		for (int i = 0; i < x->opt.targets; i++)
			add_map(x, "127.0.0.1", x->vm_port_base[0][d] + i,
				"127.0.0.1", x->target_port[d] + i);
		for (int i = 0; i < x->opt.workers; i++)
			add_map(x, "127.0.0.1", x->vm_port_base[1][d] + i,
				"127.0.0.1", x->worker_port[d] + i);
	}
	for (int vm = 0; vm < x->opt.vms; vm++) {
		for (int r = 0; r < HX_ROLES; r++) {
			x->public_port[r][vm] = hx_free_ports(1);
			add_map(x, x->vm_ip[vm], x->public_port[r][vm],
				x->vm_ip[vm], x->peer_port[r][vm]);
		}
	}
	if (x->opt.delays)
		set_delays(x);
}

static void choose_ports(struct hx *x)
{
	x->platform_port = x->platform_public = hx_free_ports(1);
	for (int d = 0; d < HX_DOMAINS; d++) {
		x->target_port[d] = hx_free_ports(x->opt.targets);
		x->worker_port[d] = hx_free_ports(x->opt.workers);
		x->vm_port_base[0][d] = x->target_port[d];
		x->vm_port_base[1][d] = x->worker_port[d];
	}
	for (int vm = 0; vm < x->opt.vms; vm++) {
		/* The second byte tells the domain, for the proxy's rules. */
		snprintf(x->vm_ip[vm], sizeof(x->vm_ip[vm]), "127.%d.1.%d",
			 vm % HX_DOMAINS + 1, vm + 1);
		for (int r = 0; r < HX_ROLES; r++) {
			x->http_port[r][vm] = hx_free_ports(1);
			x->peer_port[r][vm] = hx_free_ports(1);
			x->public_port[r][vm] = x->peer_port[r][vm];
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
	if (opt->proxied)
		start_proxy(x);
	if (!hx_until(platform_answers, x, NULL, 10000))
		abort();
	list_vms(x);
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
	if (!getenv("GD_KEEP") && system(command) != 0)
		fprintf(stderr, "cannot remove %s\n", x->dir);
	g_free(x);
}

bool hx_wait_entry_ready(struct hx *x, int vm)
{
	int64_t end_ms = hx_now_ms() + READY_TIMEOUT_MS;

	while (hx_now_ms() < end_ms) {
		struct hx_answer a = hx_get(x, vm, "/v1/status");
		json_t *m;
		size_t i;
		bool good = false;

		json_array_foreach(json_object_get(a.json, "members"), i, m)
		{
			char id[16];

			snprintf(id, sizeof(id), "e%d", vm);
			good |= json_is_true(json_object_get(m, "ready")) &&
				!strcmp(id, json_string_value(
						    json_object_get(m, "id")));
		}
		hx_answer_free(&a);
		if (good)
			return true;
		hx_sleep_ms(100);
	}
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
	return false;
}
