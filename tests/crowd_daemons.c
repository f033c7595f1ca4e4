/*
 * Crowds of clients that don't keep to the limits, against a real gd-entry and
 * gd-sched. Each test guards against a process that ends, hangs, or takes more
 * memory or descriptors than its part of the VM.
 */
#include "tests/crowd_daemons.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/crowd_clients.h"
#include "tests/harness.h"

/* Half of the smallest VM, 260 MB: each VM runs both programs. */
#define MEMORY_MIB 130
#define DESCRIPTORS 400
#define CLIENTS 60
#define RECORD_CROWDS 3
/* A call that is not answered for this long is never answered. */
#define SERVED_MAX_MS 30000
#define MATCH                                                                  \
	"{\"schema\":1,\"kind\":\"service\",\"name\":\"match\",\"team\":"      \
	"\"t\",\"safe_to_repeat\":true,\"timeout_s\":5,\"max_kb\":1000}"
#define JOB                                                                    \
	"{\"schema\":2,\"kind\":\"batch\",\"meta\":{\"name\":\"build-%d\","    \
	"\"team\":\"t\"},\"spec\":{\"tasks\":1,\"cpu_milli\":100,"             \
	"\"mem_mib\":100,\"run_ms\":10}}"

#define STRING(x) #x
#define TEXT_OF(x) STRING(x)

struct play {
	struct hx *x;
	struct crowd_usage entry;
	struct crowd_usage sched;
	int jobs; /* submitted */
	int vm; /* that the crowd comes to */
};

static void watch_process(struct crowd_usage *u, const struct play *p,
			  enum hx_role role, bool http)
{
	const struct hx *x = p->x;
	int port = http ? x->http_port[role][p->vm] : x->peer_port[role][p->vm];

	*u = (struct crowd_usage){ .pid = x->daemons[role][p->vm],
				   .first_port = port,
				   .last_port = port };
	crowd_sample(u, true);
	printf("# %s before: %.1f MiB, %d descriptors\n",
	       role == HX_ENTRY ? "entry" : "sched",
	       (double)u->memory_bytes / (1 << 20), u->descriptors);
}

/* Begins to measure. The crowd comes to the ports for HTTP, or to the others.
 */
static void watch(struct play *p, bool http)
{
	watch_process(&p->entry, p, HX_ENTRY, http);
	watch_process(&p->sched, p, HX_SCHED, http);
}

static void start(struct play *p, bool http)
{
	static const struct hx_options opt = {
		.site = &hx_siriwattana,
		.vms = 3,
		.targets = 1,
		.workers = 1,
		.entry_settings = "\"memory_mib\":" TEXT_OF(MEMORY_MIB),
		.sched_settings = "\"memory_mib\":" TEXT_OF(MEMORY_MIB),
	};

	*p = (struct play){ .x = hx_start(&opt) };
	g_assert_true(hx_wait_ready(p->x));
	g_assert_true(hx_operator_call_retry(p->x, "submit", MATCH));
	watch(p, http);
}

static void fail(const char *why)
{
	printf("# failed: %s\n", why);
	fflush(stdout);
	g_test_fail();
}

static void check_process(const struct play *p, enum hx_role role,
			  struct crowd_usage *u)
{
	int code;

	crowd_sample(u, true);
	printf("# %s largest: %.1f MiB of %d, %d descriptors of %d\n",
	       role == HX_ENTRY ? "entry" : "sched",
	       (double)u->memory_bytes / (1 << 20), MEMORY_MIB, u->descriptors,
	       DESCRIPTORS);
	fflush(stdout);
	if (hx_has_ended(p->x->daemons[role][p->vm], &code))
		fail("a process has ended");
	if (u->memory_bytes > (int64_t)MEMORY_MIB << 20)
		fail("more memory than its part of the VM");
	if (u->descriptors > DESCRIPTORS)
		fail("more descriptors than allowed");
}

/* An ordinary request and an ordinary job are accepted at last. */
static void check_serves(struct play *p, const char *when)
{
	int64_t end = hx_now_ms() + SERVED_MAX_MS;
	g_autofree char *job = g_strdup_printf(JOB, p->jobs++);
	struct hx_response resp;
	bool served = false;

	while (!served && hx_now_ms() < end) {
		resp = hx_call(p->x, p->vm, "match", NULL, 1, 3000,
			       "{\"work_us\":1000,\"id\":\"q\"}");
		served = resp.status == 200;
		hx_response_free(&resp);
		if (!served)
			hx_sleep_ms(100);
	}
	if (!served || !hx_operator_call_retry(p->x, "submit", job))
		fail(when);
}

static void run(struct play *p, const struct crowd_group *groups, int n,
		struct crowd_usage *usage)
{
	struct crowd *c = crowd_start(groups, n, usage);

	printf("# clients: %d sent all, %d disconnected\n", crowd_sent(c),
	       crowd_closed(c));
	check_serves(p, "no answer beside the crowd");
	crowd_sample(usage, true);
	crowd_stop(c);
	check_serves(p, "no answer after the crowd");
	check_process(p, HX_ENTRY, &p->entry);
	check_process(p, HX_SCHED, &p->sched);
}

/* The ports between our own processes: links with most of a frame. */
static void test_links(const void *priv)
{
	enum hx_role role = (enum hx_role)GPOINTER_TO_INT(priv);
	struct play p;

	start(&p, false);
	run(&p,
	    &(struct crowd_group){ .kind = CROWD_FRAMES,
				   .port = p.x->peer_port[role][p.vm],
				   .clients = CLIENTS,
				   .ip = p.x->vm_ip[p.vm] },
	    1, role == HX_ENTRY ? &p.entry : &p.sched);
	hx_stop(p.x);
}

/* All kinds of clients that stop short of their end, at the HTTP port. */
static void test_http(const void *priv)
{
	enum hx_role role = (enum hx_role)GPOINTER_TO_INT(priv);
	struct crowd_group groups[CROWD_LINKS];
	struct play p;

	start(&p, true);
	for (int kind = 0; kind < CROWD_LINKS; kind++)
		groups[kind] = (struct crowd_group){
			.kind = (enum crowd_kind)kind,
			.port = p.x->http_port[role][p.vm],
			.clients = CLIENTS,
			.ip = p.x->vm_ip[p.vm]
		};
	run(&p, groups, CROWD_LINKS, role == HX_ENTRY ? &p.entry : &p.sched);
	run(&p, groups, CROWD_LINKS, role == HX_ENTRY ? &p.entry : &p.sched);
	hx_stop(p.x);
}

/* Returns the VM whose scheduler serves the shard. */
static int find_scheduler(const struct hx *x)
{
	for (int vm = 0; vm < x->opt.vms; vm++) {
		g_autofree char *url =
			g_strdup_printf("http://%s:%d/metrics", x->vm_ip[vm],
					x->http_port[HX_SCHED][vm]);
		struct hx_response resp = hx_http("GET", url, NULL, NULL, 3000);
		bool serves =
			resp.body && strstr(resp.body, "gd_shards_held 1");

		hx_response_free(&resp);
		if (serves)
			return vm;
	}
	g_assert_not_reached();
}

/* Complete calls of the largest size at the scheduler that handles them. */
static void test_sched_calls(void)
{
	struct play p;

	start(&p, false);
	p.vm = find_scheduler(p.x);
	watch(&p, false);
	run(&p,
	    &(struct crowd_group){ .kind = CROWD_PEER_CALLS,
				   .port = p.x->peer_port[HX_SCHED][p.vm],
				   .clients = CLIENTS,
				   .ip = p.x->vm_ip[p.vm] },
	    1, &p.sched);
	hx_stop(p.x);
}

/* Small records of many tasks, at an entry, which take memory at the scheduler
 * of their shard. */
static void test_records(void)
{
	struct play p;

	start(&p, true);
	p.vm = find_scheduler(p.x);
	watch(&p, true);
	for (int i = 0; i < RECORD_CROWDS; i++)
		run(&p,
		    &(struct crowd_group){
			    .kind = CROWD_RECORDS,
			    .port = p.x->http_port[HX_ENTRY][p.vm],
			    .clients = CLIENTS,
			    .ip = p.x->vm_ip[p.vm],
			    .first = i * CLIENTS },
		    1, &p.entry);
	hx_stop(p.x);
}

struct complete {
	enum crowd_kind kind;
	const char *path;
};

/* Complete requests of legal size, which the entry's modules handle. */
static void test_complete(const void *priv)
{
	const struct complete *c = priv;
	struct play p;

	start(&p, true);
	run(&p,
	    &(struct crowd_group){ .kind = c->kind,
				   .port = p.x->http_port[HX_ENTRY][p.vm],
				   .clients = CLIENTS,
				   .ip = p.x->vm_ip[p.vm],
				   .path = c->path },
	    1, &p.entry);
	hx_stop(p.x);
}

void crowd_daemons_add(void)
{
	static const struct complete operations = { CROWD_VALUES,
						    "/v1/submit" };
	static const struct complete calls = { CROWD_CALLS, "/v1/call/match" };

	g_test_add_data_func("/crowd/entry-links", GINT_TO_POINTER(HX_ENTRY),
			     test_links);
	g_test_add_data_func("/crowd/sched-links", GINT_TO_POINTER(HX_SCHED),
			     test_links);
	g_test_add_data_func("/crowd/entry-http", GINT_TO_POINTER(HX_ENTRY),
			     test_http);
	g_test_add_data_func("/crowd/sched-http", GINT_TO_POINTER(HX_SCHED),
			     test_http);
	g_test_add_func("/crowd/sched-calls", test_sched_calls);
	g_test_add_func("/crowd/sched-records", test_records);
	g_test_add_data_func("/crowd/entry-operations", &operations,
			     test_complete);
	g_test_add_data_func("/crowd/entry-calls", &calls, test_complete);
}
