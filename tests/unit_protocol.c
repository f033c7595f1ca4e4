/* Tests of messages, records, settings and histograms with valid and invalid
 * input. */
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/hist.h"
#include "protocol/msg.h"
#include "protocol/rec.h"
#include "protocol/settings.h"
#include "tests/unit.h"

static void test_msg_round_trip(void)
{
	struct msg m = { .kind = MSG_REQUEST,
			 .id = 77,
			 .request_id = "r-1",
			 .service = "relay",
			 .tenant = "t",
			 .group = "g/1",
			 .idempotent = true,
			 .remaining_ms = -5,
			 .body = "a\0b",
			 .body_len = 3,
			 .from = "e1" };
	size_t len;
	void *data = msg_pack(NULL, &m, &len);
	struct msg *got = msg_unpack(NULL, data, len);

	g_assert_nonnull(got);
	g_assert_cmpint(got->id, ==, 77);
	g_assert_cmpstr(got->request_id, ==, "r-1");
	g_assert_cmpint(got->remaining_ms, ==, -5);
	g_assert_cmpmem(got->body, got->body_len, "a\0b", 3);
	/* Strings that this kind doesn't have are empty, not NULL. */
	g_assert_cmpstr(got->target, ==, "");
	for (size_t cut = 0; cut < len; cut++)
		g_assert_null(msg_unpack(NULL, data, cut));
	talloc_free(got);
	talloc_free(data);
}

static void test_msg_garbage(void)
{
	GRand *rand = g_rand_new_with_seed(11);

	for (int i = 0; i < 20000; i++) {
		uint8_t buf[64];
		size_t len = (size_t)g_rand_int_range(rand, 0, 64);

		for (size_t k = 0; k < len; k++)
			buf[k] = (uint8_t)g_rand_int(rand);
		talloc_free(msg_unpack(NULL, buf, len));
	}
	g_rand_free(rand);
}

static void test_schemas_agree(void)
{
	struct err e = { 0 };
	struct rec a;
	struct rec b;

	g_assert_true(rec_parse_text(
		"{\"schema\":1,\"kind\":\"batch\",\"name\":\"n\",\"team\":"
		"\"t\",\"count\":3,\"cpus\":2,\"mem_gb\":1,\"run_s\":5,"
		"\"urgent\":true}",
		&a, &e));
	g_assert_true(rec_parse_text(
		"{\"schema\":2,\"kind\":\"batch\",\"meta\":{\"name\":\"n\","
		"\"team\":\"t\"},\"spec\":{\"tasks\":3,\"cpu_milli\":2000,"
		"\"mem_mib\":954,\"run_ms\":5000,\"class\":\"urgent\"}}",
		&b, &e));
	g_assert_cmpint(a.cpu_milli, ==, b.cpu_milli);
	g_assert_cmpint(a.mem_mib, ==, b.mem_mib);
	g_assert_cmpint(a.run_ms, ==, b.run_ms);
	g_assert_cmpint(a.task_class, ==, b.task_class);
	g_assert_cmpint(a.tasks, ==, b.tasks);
}

static void test_record_newest_form(void)
{
	struct rec a;
	struct rec b;
	json_t *j;

	g_assert_true(rec_parse_text(
		"{\"schema\":1,\"kind\":\"domain\",\"name\":\"d\",\"out\":"
		"true}",
		&a, NULL));
	j = rec_to_json(&a);
	g_assert_true(rec_parse(j, &b, NULL));
	g_assert_cmpint(b.domain_state, ==, REC_DOMAIN_OUT);
	g_assert_cmpint(b.schema, ==, 2);
	json_decref(j);
}

static void test_bad_records(void)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{\"schema\":3,\"kind\":\"batch\"}",
		"{\"schema\":2,\"kind\":\"pod\"}",
		"{\"schema\":1,\"kind\":\"domain\",\"name\":\"a/b\"}",
		"{\"schema\":1,\"kind\":\"domain\",\"name\":\"\"}",
		"{\"schema\":1,\"kind\":\"domain\",\"name\":\"d\",\"out\":1}",
		"{\"schema\":1,\"kind\":\"domain\",\"name\":\"d\",\"x\":1}",
		"{\"schema\":1,\"kind\":\"domain\",\"name\":\"d\","
		"\"name\":\"e\"}",
		"{\"schema\":2,\"kind\":\"domain\",\"meta\":7,\"spec\":{}}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct err e = { 0 };
		struct rec r;

		g_assert_false(rec_parse_text(bad[i], &r, &e));
		g_assert_cmpint(e.kind, ==, ERR_RECORD);
		g_assert_cmpint(strlen(e.text), >, 10);
	}
}

static void test_settings_errors(void)
{
	struct settings s;
	struct err e = { 0 };
	char path[] = "/tmp/gd-set-XXXXXX";
	int fd = g_mkstemp(path);

	g_assert_cmpint(fd, >=, 0);
	g_assert_true(g_file_set_contents(
		path,
		"{\"id\":\"e\",\"ip\":\"127.0.0.1\",\"domain\":\"d\","
		"\"region\":\"r\",\"platform_url\":\"http://127.0.0.1:1\","
		"\"http_port\":70000,\"peer_port\":2,\"permit_mss\":1,"
		"\"heartbeat_ms\":\"x\"}",
		-1, NULL));
	g_assert_false(settings_load(path, SETTINGS_ENTRY, &s, &e));
	/* Reports all errors at once, each with key, value and correction. */
	g_assert_nonnull(strstr(e.text, "http_port is 70000: give"));
	g_assert_nonnull(strstr(e.text, "permit_mss is not known"));
	g_assert_nonnull(strstr(e.text, "heartbeat_ms is \"x\": give"));
	g_unlink(path);
	close(fd);
}

static void test_histogram(void)
{
	struct hist *h = g_new0(struct hist, 1);

	for (int i = 1; i <= 1000; i++)
		hist_record(h, i * 100);
	g_assert_cmpint(hist_quantile_us(h, 0.5), >=, 50000);
	g_assert_cmpint(hist_quantile_us(h, 0.5), <=, 52000);
	g_assert_cmpint(hist_quantile_us(h, 0.99), >=, 99000);
	g_assert_cmpint(hist_quantile_us(h, 0.99), <=, 103000);
	g_free(h);
}

static int allocations;

static void *count_malloc(size_t size)
{
	allocations++;
	return malloc(size);
}

/* Guards against parsing what is no record: 1 MB took 100 ms, in which the
 * entry answered no heartbeat. */
static void test_record_cost(void)
{
	GString *text = g_string_new("[{}");
	struct err e = { 0 };
	struct rec r;

	while (text->len < 1000000)
		g_string_append(text, ",{}");
	g_string_append(text, "]");
	json_set_alloc_funcs(count_malloc, free);
	allocations = 0;
	g_assert_false(rec_parse_text(text->str, &r, &e));
	g_assert_cmpint(allocations, ==, 0);
	json_set_alloc_funcs(malloc, free);
	g_string_free(text, TRUE);
}

void unit_add_protocol(void)
{
	g_test_add_func("/rec/cost", test_record_cost);
	g_test_add_func("/msg/round-trip", test_msg_round_trip);
	g_test_add_func("/msg/garbage", test_msg_garbage);
	g_test_add_func("/rec/schemas-agree", test_schemas_agree);
	g_test_add_func("/rec/newest-form", test_record_newest_form);
	g_test_add_func("/rec/bad", test_bad_records);
	g_test_add_func("/settings/errors", test_settings_errors);
	g_test_add_func("/hist/quantiles", test_histogram);
}
