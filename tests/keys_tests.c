/* Callers' keys: which calls are refused, who sees a job, and changes of keys
 * at VMs that reach the store or don't. */
#include "tests/keys_tests.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tests/fleet_helpers.h"

#define VMS 3
#define APPLY_MS 4000
#define REVOKE_MS 5000
#define BOUNDS                                                                 \
	"bounds.grace_s=6\nbounds.lease_ms=500\nbounds.apply_ms=4000\n"        \
	"bounds.revoke_ms=5000\n"
#define BOTH                                                                   \
	"[{\"name\":\"amber\",\"keys\":[\"secret-a\"],\"weight\":1},"          \
	"{\"name\":\"beryl\",\"keys\":[\"secret-b\"],\"weight\":1}]"
#define ONLY_AMBER                                                             \
	"[{\"name\":\"amber\",\"keys\":[\"secret-a\",\"secret-c\"],"           \
	"\"weight\":1}]"
#define KEY_A "Authorization: Token secret-a"
#define KEY_B "Authorization: Token secret-b"
#define KEY_C "Authorization: Token secret-c"
#define BODY(ms)                                                               \
	"{\"spec\":\"ms=" #ms "\",\"steps\":[{\"count\":1,\"cpu\":100,"        \
	"\"mem_mb\":10,\"estimate_ms\":100}]}"
#define JOB "/q/00000000000000a1"

static void open_cluster(struct hf *s, bool strict)
{
	struct hf_options opt = { .vms = VMS,
				  .workers = 2,
				  .use_proxy = strict,
				  .bounds =
					  strict ? BOUNDS
						  "bounds.strict_revoke=true\n"
						 : BOUNDS,
				  .tenants = BOTH };

	hf_start(s, &opt);
}

static long call(const struct hf *s, int vm, const char *method,
		 const char *path, const char *body, const char *header)
{
	const char *const headers[] = { header, NULL };
	struct hx_response a =
		hf_call_with(s, NULL, vm, method, path, body, headers);
	long status = a.status;

	hx_response_free(&a);
	return status;
}

/* Repeats a submission until the VM decides on it. */
static long submit_as(const struct hf *s, int vm, const char *path,
		      const char *body, const char *header)
{
	int64_t end = hx_now_ms() + HF_TIMEOUT_MS;
	long status;

	while ((status = call(s, vm, "POST", path, body, header)) == 503 ||
	       status == 504) {
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(100);
	}
	return status;
}

static void wait_done(const struct hf *s, int vm)
{
	static const char *const headers[] = { KEY_A, NULL };
	int64_t end = hx_now_ms() + HF_TIMEOUT_MS;
	bool done = false;

	while (!done) {
		struct hx_response a =
			hf_call_with(s, NULL, vm, "GET", JOB, NULL, headers);

		done = !g_strcmp0(
			json_string_value(json_object_get(a.json, "state")),
			"done");
		hx_response_free(&a);
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(50);
	}
}

static char *read_log(const struct hf *s, int vm)
{
	g_autofree char *path = g_strdup_printf("%s/vm%d.log", s->dir, vm);
	char *text = NULL;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	return text;
}

/* Checks that logs and metrics show organisations and no keys. Logs are written
 * with a delay. */
static void check_no_keys_shown(const struct hf *s)
{
	int64_t end = hx_now_ms() + HF_TIMEOUT_MS;
	bool shows_org = false;

	while (!shows_org) {
		g_autofree char *text = read_log(s, 0);

		shows_org = strstr(text, "org=amber") != NULL;
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(20);
	}
	for (int vm = 0; vm < VMS; vm++) {
		g_autofree char *text = read_log(s, vm);
		g_autofree char *url =
			g_strdup_printf("http://127.0.0.1:%d/metrics",
					s->vm_ports + vm * HF_VM_PORTS + 2);
		struct hx_response a =
			hx_http("GET", url, NULL, NULL, HF_CALL_MS);

		g_assert_null(strstr(text, "secret-"));
		g_assert_nonnull(strstr(a.body, "gd_organisations 2"));
		g_assert_null(strstr(a.body, "secret-"));
		hx_response_free(&a);
	}
}

/* Guards against headers that are read as a key that they aren't. */
static void test_headers(void)
{
	g_autofree char *filler = g_strnfill(8192, 'x');
	g_autofree char *long_key =
		g_strdup_printf("Authorization: Token %s", filler);
	const char *const bad[] = {
		NULL,
		"Authorization;",
		"Authorization: Token",
		"Authorization: Token   ",
		"Authorization: secret-a",
		"Authorization: Bearer secret-a",
		"Authorization: Tokensecret-a",
		"Authorization: Token secret-a, Token secret-b",
		"Authorization: Token secret",
		"Authorization: Token secret-aa",
		"Authorization: Token \xff\xfe\x80",
		long_key,
	};
	static const char *const two[] = { KEY_A, KEY_A, NULL };
	struct hx_response a;
	struct hf s;

	open_cluster(&s, false);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_assert_cmpint(call(&s, 0, "POST", JOB, BODY(10), bad[i]), ==,
				401);
		g_assert_cmpint(call(&s, 0, "GET", JOB, NULL, bad[i]), ==, 401);
		g_assert_cmpint(call(&s, 0, "DELETE", JOB, NULL, bad[i]), ==,
				401);
		g_assert_cmpint(call(&s, 0, "GET", "/q/", NULL, bad[i]), ==,
				401);
	}
	a = hf_call_with(&s, NULL, 0, "POST", JOB, BODY(10), two);
	g_assert_cmpint(a.status, ==, 401);
	hx_response_free(&a);
	g_assert_cmpint(call(&s, 0, "GET", "/none/", NULL, NULL), ==, 404);
	g_assert_cmpint(call(&s, 0, "GET", JOB, NULL,
			     "authorization: token  secret-a "),
			==, 410);
	g_assert_cmpint(
		submit_as(&s, 0, "/open/00000000000000a2", BODY(10), NULL), ==,
		200);
	hf_stop(&s);
}

/* Guards against a job that is open to others once only its progress is read,
 * or once the shard's owner is another one. */
static void test_foreign(void)
{
	struct hf s;
	int owner;
	int vm;

	open_cluster(&s, false);
	g_assert_cmpint(submit_as(&s, 0, JOB, BODY(3000), KEY_A), ==, 200);
	g_assert_cmpint(submit_as(&s, 1, JOB, BODY(10), KEY_B), ==, 409);
	g_assert_cmpint(call(&s, 2, "GET", JOB, NULL, KEY_B), ==, 410);
	g_assert_cmpint(call(&s, 1, "DELETE", JOB, NULL, KEY_B), ==, 410);
	owner = wait_owner(&s);
	vm = (owner + 1) % VMS;
	check_no_keys_shown(&s);
	hf_kill_vm(&s, owner);
	wait_done(&s, vm);
	g_assert_cmpint(call(&s, vm, "GET", JOB, NULL, KEY_B), ==, 410);
	g_assert_cmpint(read_platform_log(&s).done, ==, 1);
	hf_stop(&s);
}

/* Guards against keys that are still judged by the version before, or are
 * refused by it, later than apply_ms after a new version. */
static void test_change(void)
{
	struct hf s;
	int64_t changed_ms;

	open_cluster(&s, false);
	hf_configure(&s, 2, ONLY_AMBER);
	changed_ms = hx_now_ms();
	while (hx_now_ms() < changed_ms + APPLY_MS)
		hx_sleep_ms(50);
	for (int vm = 0; vm < VMS; vm++) {
		long b = call(&s, vm, "POST", JOB, BODY(10), KEY_B);
		long c = call(&s, vm, "GET", JOB, NULL, KEY_C);

		g_assert_true(b == 401 || b == 503);
		g_assert_true(c == 410 || c == 503);
	}
	g_assert_cmpint(submit_as(&s, 0, JOB, BODY(10), KEY_C), ==, 200);
	hf_stop(&s);
}

/* Guards against a VM without the store that still takes keys later than
 * revoke_ms. */
static void test_strict(void)
{
	struct hf s;
	int64_t cut_ms;

	open_cluster(&s, true);
	g_assert_cmpint(submit_as(&s, 0, JOB, BODY(10), KEY_A), ==, 200);
	hf_control(s.proxy_port, "/rule",
		   "{\"from\":\"s0\",\"to\":\"*\",\"delay_us\":0,"
		   "\"block\":true}");
	hf_control(s.proxy_port, "/cut", "{\"from\":\"s0\",\"to\":\"*\"}");
	cut_ms = hx_now_ms();
	hf_configure(&s, 2, ONLY_AMBER);
	while (hx_now_ms() < cut_ms + REVOKE_MS)
		hx_sleep_ms(50);
	g_assert_cmpint(call(&s, 0, "POST", JOB, BODY(10), KEY_B), ==, 503);
	g_assert_cmpint(call(&s, 0, "GET", JOB, NULL, KEY_A), ==, 503);
	g_assert_cmpint(submit_as(&s, 1, JOB, BODY(10), KEY_B), ==, 401);
	g_assert_cmpint(submit_as(&s, 1, JOB, BODY(10), KEY_C), ==, 200);
	hf_stop(&s);
}

void keys_tests_add(void)
{
	g_test_add_func("/fleet/keys-headers", test_headers);
	g_test_add_func("/fleet/keys-foreign", test_foreign);
	g_test_add_func("/fleet/keys-change", test_change);
	g_test_add_func("/fleet/keys-strict", test_strict);
}
