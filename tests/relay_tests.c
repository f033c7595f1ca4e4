/* Tests of gd-fleet whose owner calls workers by way of the other VMs: real
 * processes, with gd-site. */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "tests/fleet_helpers.h"

#define VMS 3
#define JOBS 8
#define TASKS (JOBS * 6)
/* Links and their rows are there some seconds after the start. */
#define LINKED_MAX_MS 15000

static int64_t metric(const struct hf *s, int vm, const char *name)
{
	/* The control address is the third one of a VM. */
	g_autofree char *url =
		g_strdup_printf("http://127.0.0.1:%d/metrics",
				s->vm_ports + vm * HF_VM_PORTS + 2);
	struct hx_response resp = hx_http("GET", url, NULL, NULL, HF_CALL_MS);
	g_autofree char *key = g_strdup_printf("%s ", name);
	const char *at = resp.body ? strstr(resp.body, key) : NULL;
	int64_t n = at ? g_ascii_strtoll(at + strlen(key), NULL, 10) : -1;

	hx_response_free(&resp);
	return n;
}

/* Starts VMs, and waits until the owner has links to both others. */
static int start_relayed(struct hf *s)
{
	static const struct hf_options opt = {
		.vms = VMS,
		.workers = 5,
		.relays = true,
		.bounds = "bounds.grace_s=6\nbounds.lease_ms=500\n",
	};
	int64_t end;
	int owner;

	hf_start(s, &opt);
	owner = wait_owner(s);
	end = hx_now_ms() + LINKED_MAX_MS;
	while (metric(s, owner, "gd_relay_links") < VMS - 1) {
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(100);
		owner = hf_owner(s, 0);
	}
	return owner;
}

static void submit_all(struct hf *s)
{
	for (int i = 0; i < JOBS; i++)
		submit(s, TWO_STEPS, "ms=800");
}

/* Each task is done, and none ran beside or after itself. */
static void check_all_done(struct hf *s, int vm)
{
	struct task_summary sum;

	for (int i = 0; i < JOBS; i++)
		wait_state(s, vm, i, "done");
	sum = read_platform_log(s);
	g_assert_cmpint(sum.done, ==, TASKS);
	g_assert_cmpint(sum.concurrent_runs, ==, 0);
}

static void test_jobs(void)
{
	struct hf s;
	int owner = start_relayed(&s);
	int64_t end;

	submit_all(&s);
	check_all_done(&s, owner);
	g_assert_cmpint(metric(&s, owner, "gd_relayed_calls_total"), >=, TASKS);
	/* The list of workers comes through a relay, too. */
	end = hx_now_ms() + LINKED_MAX_MS;
	while (!metric(&s, owner, "gd_relayed_lists_total")) {
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(100);
	}
	hf_stop(&s);
}

/* A relay is killed with calls in its hands: some starts took effect, others
 * not. */
static void test_relay_killed(void)
{
	struct hf s;
	int owner = start_relayed(&s);

	submit_all(&s);
	hx_sleep_ms(300);
	hf_kill_vm(&s, (owner + 1) % VMS);
	check_all_done(&s, owner);
	hf_stop(&s);
}

/* Both relays are paused for seconds: their workers are called directly
 * meanwhile, and the calls that the relays find when they go on are late. */
static void test_relays_paused(void)
{
	struct hf s;
	int owner = start_relayed(&s);

	submit_all(&s);
	hx_sleep_ms(300);
	for (int i = 1; i < VMS; i++)
		hx_signal_pid(s.vms[(owner + i) % VMS], SIGSTOP);
	hx_sleep_ms(4000);
	for (int i = 1; i < VMS; i++)
		hx_signal_pid(s.vms[(owner + i) % VMS], SIGCONT);
	check_all_done(&s, owner);
	hf_stop(&s);
}

/* The owner is killed: its relays finish what they have, and its successor's
 * calls go by way of the others. */
static void test_owner_killed(void)
{
	struct hf s;
	int owner = start_relayed(&s);

	submit_all(&s);
	hx_sleep_ms(300);
	hf_kill_vm(&s, owner);
	check_all_done(&s, (owner + 1) % VMS);
	hf_stop(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/relayed/jobs", test_jobs);
	g_test_add_func("/relayed/relay-killed", test_relay_killed);
	g_test_add_func("/relayed/relays-paused", test_relays_paused);
	g_test_add_func("/relayed/owner-killed", test_owner_killed);
	return g_test_run();
}
