/*
 * Crowds of clients that don't keep to the limits, against a real gd-fleet.
 * Each test guards against a process that ends, hangs, or takes more memory or
 * descriptors than its VM has. The bounds follow from the settings.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <sys/resource.h>

#include "tests/crowd_clients.h"
#include "tests/crowd_daemons.h"
#include "tests/fleet_helpers.h"

#define MEMORY_MIB 64
#define MAX_FDS 400
/* Descriptors that the platform reserves for files. */
#define FDS_FOR_FILES 200
#define CLIENTS 120
#define LINKS 400
#define GROUPS_MAX 8
#define VMS 3
#define GROUPS_OF_VM 16
/* Of each kind at each VM, if there are many kinds. */
#define MIXED_CLIENTS 30
/* After this time an accepted job is known everywhere, in ms. */
#define VISIBLE_MS 3000
/* A call that is not answered for this long is never answered. */
#define SERVED_MAX_MS 30000
#define ONE_STEP                                                               \
	"[{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":100}]"

#define STRING(x) #x
#define TEXT_OF(x) STRING(x)

/* Starts the VMs, and begins to measure each. */
static void start_vms(struct hf *s, int vms, struct crowd_usage *usages)
{
	struct hf_options opt = {
		.vms = vms,
		.workers = 2,
		.relays = true,
		.bounds = "bounds.lease_ms=500\nlimits.memory_mb=" TEXT_OF(
			MEMORY_MIB) "\nlimits.max_fds=" TEXT_OF(MAX_FDS) "\n",
	};

	hf_start(s, &opt);
	for (int vm = 0; vm < vms; vm++) {
		struct crowd_usage *u = &usages[vm];
		int port = s->vm_ports + vm * HF_VM_PORTS;

		*u = (struct crowd_usage){ .pid = s->vms[vm],
					   .first_port = port,
					   .last_port =
						   port + HF_VM_PORTS - 1 };
		crowd_sample(u, true);
		printf("# before: %.1f MiB, %d descriptors\n",
		       (double)u->memory_bytes / (1 << 20), u->descriptors);
	}
}

static void start(struct hf *s, struct crowd_usage *u)
{
	start_vms(s, 1, u);
}

static void fail(const char *why)
{
	printf("# failed: %s\n", why);
	fflush(stdout);
	g_test_fail();
}

/* Reports the figures, and fails the test if a bound is broken. */
static void check_vm(struct hf *s, int vm, struct crowd_usage *u)
{
	int code;

	crowd_sample(u, true);
	printf("# largest: %.1f MiB of %d, %d descriptors of %d\n",
	       (double)u->memory_bytes / (1 << 20), MEMORY_MIB, u->descriptors,
	       MAX_FDS - FDS_FOR_FILES);
	fflush(stdout);
	if (hx_has_ended(s->vms[vm], &code))
		fail("the process has ended");
	if (u->memory_bytes > (int64_t)MEMORY_MIB << 20)
		fail("more memory than the VM has");
	if (u->descriptors > MAX_FDS - FDS_FOR_FILES)
		fail("more descriptors than the VM has");
}

static void check(struct hf *s, struct crowd_usage *u)
{
	check_vm(s, 0, u);
}

/* Sends an ordinary job until it is accepted. */
static void check_vm_serves(struct hf *s, int vm, const char *when)
{
	g_autofree char *path = g_strdup_printf("/q/%016x", ++s->jobs);
	int64_t end = hx_now_ms() + SERVED_MAX_MS;
	struct hx_response resp;
	long status;

	do {
		resp = hf_call(s, NULL, vm, "POST", path,
			       "{\"spec\":\"ms=10\",\"steps\":" ONE_STEP "}");
		status = resp.status;
		hx_response_free(&resp);
		if (status != 200)
			hx_sleep_ms(100);
	} while (status != 200 && hx_now_ms() < end);
	if (status != 200)
		fail(when);
}

static void check_serves(struct hf *s, const char *when)
{
	check_vm_serves(s, 0, when);
}

/* Checks that an ordinary request is answered, with whatever status: while the
 * store is away no job can be accepted. */
static void check_vm_answers(struct hf *s, int vm)
{
	int64_t end = hx_now_ms() + SERVED_MAX_MS;
	struct hx_response resp;
	long status;

	do {
		resp = hf_call(s, NULL, vm, "GET", "/q/", NULL);
		status = resp.status;
		hx_response_free(&resp);
	} while (!status && hx_now_ms() < end);
	if (!status)
		fail("no answer while the store is away");
}

/* Checks that the load balancer and operators are answered. */
static void check_operators(const struct hf *s, int vm)
{
	int64_t end = hx_now_ms() + SERVED_MAX_MS;
	g_autofree char *url =
		g_strdup_printf("http://127.0.0.1:%d/metrics",
				s->vm_ports + vm * HF_VM_PORTS + 2);
	struct hx_response resp;
	bool served;

	do {
		resp = hx_http("GET", url, NULL, NULL, HF_CALL_MS);
		served = resp.status == 200 && hf_is_ready(s, vm);
		hx_response_free(&resp);
		if (!served)
			hx_sleep_ms(100);
	} while (!served && hx_now_ms() < end);
	if (!served)
		fail("no answer to the load balancer or operators");
}

/* Runs the crowd, and sends a job while its clients are connected and another
 * one after they have left. */
static void play(struct hf *s, struct crowd_usage *u,
		 const struct crowd_group *groups, int n)
{
	struct crowd *c = crowd_start(groups, n, u);

	printf("# clients: %d sent all, %d disconnected\n", crowd_sent(c),
	       crowd_closed(c));
	check_serves(s, "no answer beside the crowd");
	check_operators(s, 0);
	crowd_sample(u, true);
	crowd_stop(c);
	check_serves(s, "no answer after the crowd");
	check(s, u);
}

static void test_alone(const void *kind)
{
	struct crowd_usage u;
	struct hf s;

	start(&s, &u);
	play(&s, &u,
	     &(struct crowd_group){ .kind = GPOINTER_TO_INT(kind),
				    .port = s.vm_ports,
				    .clients = CLIENTS },
	     1);
	hf_stop(&s);
}

/* Returns the number of groups: all kinds of HTTP clients. */
static int all_groups(const struct hf *s, struct crowd_group *out)
{
	int n = 0;

	for (int kind = 0; kind < CROWD_LINKS; kind++)
		out[n++] = (struct crowd_group){ .kind = (enum crowd_kind)kind,
						 .port = s->vm_ports,
						 .clients = CLIENTS };
	return n;
}

static void test_all_at_once(void)
{
	struct crowd_group groups[GROUPS_MAX];
	struct crowd_usage u;
	struct hf s;

	start(&s, &u);
	play(&s, &u, groups, all_groups(&s, groups));
	hf_stop(&s);
}

/* Guards also against memory that a first crowd leaves behind. */
static void test_second_crowd(void)
{
	struct crowd_group groups[GROUPS_MAX];
	struct crowd_usage u;
	struct hf s;

	start(&s, &u);
	play(&s, &u, groups, all_groups(&s, groups));
	play(&s, &u, groups, all_groups(&s, groups));
	hf_stop(&s);
}

/* The port between our own processes: links with a part of a large frame. */
static void test_links(void)
{
	struct crowd_usage u;
	struct hf s;

	start(&s, &u);
	play(&s, &u,
	     &(struct crowd_group){ .kind = CROWD_LINKS,
				    .port = s.vm_ports + 3,
				    .clients = LINKS },
	     1);
	hf_stop(&s);
}

/* The listeners of the load balancer and of operators. */
static void test_operators(void)
{
	struct crowd_usage u;
	struct hf s;

	start(&s, &u);
	play(&s, &u,
	     (struct crowd_group[]){ { .kind = CROWD_WHOLE,
				       .port = s.vm_ports + 1,
				       .clients = CLIENTS },
				     { .kind = CROWD_HEADERS,
				       .port = s.vm_ports + 1,
				       .clients = CLIENTS },
				     { .kind = CROWD_HEADERS,
				       .port = s.vm_ports + 2,
				       .clients = CLIENTS },
				     { .kind = CROWD_CHUNKS,
				       .port = s.vm_ports + 2,
				       .clients = CLIENTS } },
	     4);
	hf_stop(&s);
}

/*
 * Guards against small jobs that take much memory at the shard's owner: 200
 * bytes for 5,000 tasks.
 */
static void test_tasks(void)
{
	struct crowd_usage u;
	struct hf s;

	start(&s, &u);
	for (int i = 0; i < 2; i++) {
		play(&s, &u,
		     &(struct crowd_group){ .kind = CROWD_TASKS,
					    .port = s.vm_ports,
					    .clients = CLIENTS,
					    .first = i * CLIENTS },
		     1);
		/* The owner has read the accepted ones by then. */
		hx_sleep_ms(VISIBLE_MS);
		check_serves(&s, "no answer once the jobs are loaded");
		check(&s, &u);
	}
	hf_stop(&s);
}

/* Guards against connections that are held by answers which nobody reads. */
static void test_unread(void)
{
	struct crowd_usage u;
	struct hf s;

	start(&s, &u);
	play(&s, &u,
	     (struct crowd_group[]){ { .kind = CROWD_UNREAD,
				       .port = s.vm_ports,
				       .clients = CLIENTS },
				     { .kind = CROWD_UNREAD,
				       .port = s.vm_ports + 1,
				       .clients = CLIENTS,
				       .path = "/v1/readyz" },
				     { .kind = CROWD_UNREAD,
				       .port = s.vm_ports + 2,
				       .clients = CLIENTS,
				       .path = "/metrics" } },
	     3);
	hf_stop(&s);
}

/* Adds all kinds of clients for all listeners of a VM. */
static int add_vm_groups(const struct hf *s, int vm, int first,
			 struct crowd_group *out)
{
	static const enum crowd_kind kinds[] = {
		CROWD_WHOLE,	    CROWD_PIECES,	  CROWD_CHUNKS,
		CROWD_SMALL_CHUNKS, CROWD_ANNOUNCED_OVER, CROWD_CHUNKED_OVER,
		CROWD_HEADERS,	    CROWD_VALUES,	  CROWD_UNREAD,
		CROWD_TASKS
	};
	int port = s->vm_ports + vm * HF_VM_PORTS;
	int n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		out[n++] = (struct crowd_group){ .kind = kinds[i],
						 .port = port,
						 .clients = MIXED_CLIENTS,
						 .first = first,
						 .apart = true };
	for (int i = 1; i < 3; i++) {
		out[n++] = (struct crowd_group){ .kind = CROWD_CHUNKS,
						 .port = port + i,
						 .clients = MIXED_CLIENTS };
		out[n++] = (struct crowd_group){ .kind = CROWD_UNREAD,
						 .port = port + i,
						 .clients = MIXED_CLIENTS,
						 .path = "/v1/readyz" };
	}
	out[n++] = (struct crowd_group){ .kind = CROWD_LINKS,
					 .port = port + 3,
					 .clients = MIXED_CLIENTS };
	return n;
}

/*
 * All crowds at all listeners of all VMs, from many addresses: once, and again
 * while the store doesn't answer. Guards against limits that hold alone only.
 */
static void test_everywhere(void)
{
	struct crowd_group groups[VMS * GROUPS_OF_VM];
	struct crowd_usage usages[VMS];
	struct crowd *c;
	struct hf s;

	start_vms(&s, VMS, usages);
	for (int round = 0; round < 2; round++) {
		int n = 0;

		for (int vm = 0; vm < VMS; vm++)
			n += add_vm_groups(&s, vm,
					   (round * VMS + vm) * MIXED_CLIENTS,
					   &groups[n]);
		if (round)
			hx_signal_pid(s.platform, SIGSTOP);
		c = crowd_start(groups, n, &usages[0]);
		printf("# clients: %d sent all, %d disconnected\n",
		       crowd_sent(c), crowd_closed(c));
		for (int vm = 0; vm < VMS; vm++)
			check_vm_answers(&s, vm);
		hx_signal_pid(s.platform, SIGCONT);
		for (int vm = 0; vm < VMS; vm++) {
			check_vm_serves(&s, vm, "no answer beside the crowd");
			check_operators(&s, vm);
			crowd_sample(&usages[vm], true);
		}
		crowd_stop(c);
		hx_sleep_ms(VISIBLE_MS);
		for (int vm = 0; vm < VMS; vm++)
			check_vm_serves(&s, vm, "no answer after the crowd");
		for (int vm = 0; vm < VMS; vm++)
			check_vm(&s, vm, &usages[vm]);
	}
	hf_stop(&s);
}

int main(int argc, char **argv)
{
	static const char *const names[] = { "whole",	       "pieces",
					     "chunks",	       "small-chunks",
					     "announced-over", "chunked-over",
					     "headers" };
	struct rlimit fds;

	g_test_init(&argc, &argv, NULL);
	getrlimit(RLIMIT_NOFILE, &fds);
	fds.rlim_cur = fds.rlim_max;
	setrlimit(RLIMIT_NOFILE, &fds);
	for (int kind = 0; kind < CROWD_LINKS; kind++) {
		g_autofree char *path =
			g_strdup_printf("/crowd/%s", names[kind]);

		g_test_add_data_func(path, GINT_TO_POINTER(kind), test_alone);
	}
	g_test_add_func("/crowd/all-at-once", test_all_at_once);
	g_test_add_func("/crowd/second-crowd", test_second_crowd);
	g_test_add_func("/crowd/links", test_links);
	g_test_add_data_func("/crowd/values", GINT_TO_POINTER(CROWD_VALUES),
			     test_alone);
	g_test_add_func("/crowd/operators", test_operators);
	g_test_add_func("/crowd/tasks", test_tasks);
	g_test_add_func("/crowd/unread", test_unread);
	g_test_add_func("/crowd/everywhere", test_everywhere);
	crowd_daemons_add();
	return g_test_run();
}
