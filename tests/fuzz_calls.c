/*
 * Fuzz targets for callers' requests and for responses of the platform. The
 * functions of hts.h and htc.h are replaced here, so that no network is used.
 */
#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "fleet/job_api.h"
#include "fleet/relay_msg.h"
#include "pf_http.h"
#include "pf_decode.h"
#include "pf_rows.h"
#include "pf_vms.h"
#include "pf_worker.h"
#include "tests/fuzz.h"
#include "tests/sched_fixture.h"
#include "transport/htc.h"
#include "transport/hts.h"

#define PAGES_MAX 4
#define ROW_BYTES_MAX 65536
#define JOB "0123456789abcdef"

/* The request in progress: one from a caller, or one sent to the platform. */
static struct {
	htc_done http_cb;
	rows_done rows_cb;
	void *priv;
	hts_handler handler;
	void *handler_priv;
	const char *headers[2];
	int n_replies;
} pending;

struct hts *hts_start(void *ctx, struct tevent_context *ev,
		      const struct hts_options *opt, hts_handler handler,
		      void *priv, struct err *e)
{
	(void)ev;
	(void)opt;
	(void)e;
	pending.handler = handler;
	pending.handler_priv = priv;
	return talloc_named_const(ctx, 1, "server");
}

void hts_reply(struct hts_req *req, unsigned int status, const char *type,
	       const void *body, size_t len)
{
	json_t *j = json_loadb(body, len, 0, NULL);

	(void)req;
	(void)type;
	g_assert_cmpint(++pending.n_replies, ==, 1);
	g_assert_cmpuint(status, >=, 200);
	g_assert_true(json_is_object(j));
	json_decref(j);
}

void hts_reply_header(struct hts_req *req, const char *name, const char *value)
{
	(void)req;
	g_assert_true(*name && *value);
}

const char *hts_header(struct hts_req *req, const char *name)
{
	(void)req;
	return pending.headers[!strcmp(name, "Deadline-Ms")];
}

/* The text of the deadline is the caller's key, too. */
int hts_count_headers(struct hts_req *req, const char *name,
		      struct hts_value *value)
{
	(void)req;
	if (strcmp(name, "Authorization") != 0)
		return 0;
	*value = (struct hts_value){ pending.headers[1],
				     strlen(pending.headers[1]) };
	return 1;
}

const struct hts_counts *hts_counts(const struct hts *s)
{
	static const struct hts_counts none;

	(void)s;
	return &none;
}

uint32_t hts_active(const struct hts *s)
{
	(void)s;
	return 0;
}

void htc_send(struct htc *c, const struct htc_request *req, htc_done done,
	      void *priv)
{
	(void)c;
	(void)req;
	g_assert_null(pending.http_cb);
	pending.http_cb = done;
	pending.priv = priv;
}

void fuzz_respond(const char *text, size_t len)
{
	struct htc_response ans = { .status = 200, .request_id = "" };
	htc_done done = pending.http_cb;

	if (len > 4 && text[3] == ' ' && g_ascii_isdigit(*text)) {
		ans.status = atoi(text);
		text += 4;
		len -= 4;
	}
	ans.body = text;
	ans.body_len = len;
	pending.http_cb = NULL;
	done(&ans, pending.priv);
}

static void commit(void *self, const struct rows_tx *tx, rows_done done,
		   void *priv)
{
	(void)self;
	for (int32_t i = 0; i < tx->n; i++)
		g_assert_cmpuint(strlen(tx->changes[i].value), <=,
				 ROW_BYTES_MAX);
	pending.rows_cb = done;
	pending.priv = priv;
}

static void read_rows(void *self, const struct rows_range *range,
		      rows_done done, void *priv)
{
	(void)self;
	(void)range;
	pending.rows_cb = done;
	pending.priv = priv;
}

static int64_t never_out_of_contact(const void *self)
{
	(void)self;
	return 0;
}

static const struct rows_ops rows_ops = { commit, read_rows, NULL,
					  never_out_of_contact };

static void ignore_follow(void *self, bool on)
{
	(void)self;
	(void)on;
}

static bool never_ready(void *priv)
{
	(void)priv;
	return false;
}

static struct fleet *start_frontend(void)
{
	static const struct fleet_directory_ops directory = { ignore_follow };
	static const struct pf_settings boot;
	static struct fleet f;
	struct fleet_settings set = { .row_bytes_max = ROW_BYTES_MAX };
	struct fleet_interfaces tables = { .rows = { &rows_ops, NULL },
					   .directory = { &directory, NULL } };
	struct tevent_context *ev = tevent_context_init(NULL);
	struct err e;

	/* Started without shards, so that there are no owners. set.shards is 1
	 * afterwards, so that jobs map to the first shard. */
	fleet_init(&f, &set, ev, tmr_set_start(ev, ev), &clk_system, &tables);
	f.job_api = job_api_start(&f);
	f.set.shards = 1;
	f.catalog =
		pf_decode_catalog(ev,
				  "{\"routes\":[{\"name\":\"r\",\"host\":\"h\""
				  ",\"prefix\":\"/r/\",\"public\":true},"
				  "{\"name\":\"s\",\"host\":\"h\","
				  "\"prefix\":\"/s/\"}],\"services\":[],"
				  "\"tenants\":[{\"name\":\"o\","
				  "\"keys\":[\"k\"]}]}",
				  &e);
	g_assert_nonnull(pf_http_start(ev, &f, &boot, never_ready, NULL, &e));
	return &f;
}

/* Input: lines with method, host, path, and deadline or Authorization; the rest
 * is the body, and the value of all rows that are read. */
static void run_frontend(const char *text, size_t len)
{
	static struct fleet *f;
	g_auto(GStrv) part = g_strsplit(text, "\n", 5);
	struct rows_row row = { "", JOB, "", 1, false };
	struct rows_answer ans = { .n = 1, .rows = &row };
	struct hts_req req = { 0 };

	if (!f)
		f = start_frontend();
	fleet_config_synced(f);
	/* Skips the path for the number of waiting jobs, which asks owners. */
	if (g_strv_length(part) < 5 || !strcmp(part[2], "/r/") ||
	    !strcmp(part[2], "/s/"))
		return;
	if (strlen(part[2]) > 3)
		row.key = part[2] + 3;
	req = (struct hts_req){ .method = part[0],
				.path = part[2],
				.body = part[4],
				.body_len = strlen(part[4]) };
	row.value = part[4];
	pending.headers[0] = part[1];
	pending.headers[1] = part[3];
	pending.n_replies = 0;
	(void)len;
	pending.handler(&req, pending.handler_priv);
	while (!pending.n_replies) {
		rows_done done = pending.rows_cb;

		pending.rows_cb = NULL;
		if (done)
			done(&ans, pending.priv);
		else
			tevent_loop_once(f->ev);
	}
	g_assert_cmpint(job_api_active(f->job_api), ==, 0);
}

/* Checks that an accepted number is the one in the request. A fraction may be
 * rounded; `absent` is the default. */
static void check_number(const json_t *row, const char *key, int64_t got,
			 int64_t absent)
{
	const json_t *v = json_object_get(row, key);

	if (!v || json_is_null(v)) {
		g_assert_cmpint(got, ==, absent);
		return;
	}
	g_assert_true(json_is_number(v));
	if (fabs(json_number_value(v)) < 1e11)
		g_assert_cmpfloat(fabs((double)got - json_number_value(v)), <,
				  1);
}

static void check_text(const json_t *row, const char *key, const char *got)
{
	const json_t *v = json_object_get(row, key);

	if (!v || json_is_null(v))
		g_assert_cmpstr(got, ==, "");
	else
		g_assert_cmpstr(got, ==, json_string_value(v));
}

static void check_step(const json_t *row, const struct jobspec_step *s)
{
	const json_t *after = json_object_get(row, "after");
	const json_t *gang = json_object_get(row, "gang");

	check_number(row, "count", s->tasks, 0);
	check_number(row, "cpu", s->cpu_milli, 0);
	check_number(row, "mem_mb", s->mem_mib, 0);
	check_number(row, "gpu", s->accelerators, 0);
	check_number(row, "estimate_ms", s->expected_ms, 0);
	check_number(row, "max_per_server", s->spread_max, 0);
	check_number(row, "max_unavailable", s->unavailable_max, -1);
	check_text(row, "requires", s->label);
	check_text(row, "affinity", s->data_rack);
	check_text(row, "image", s->image);
	g_assert_true(!gang || json_is_null(gang) || json_is_boolean(gang));
	g_assert_cmpint(s->gang, ==, json_is_true(gang));
	g_assert_cmpint(s->n_after, ==, json_array_size(after));
	for (int32_t i = 0; i < s->n_after; i++) {
		json_t *v = json_array_get(after, (size_t)i);

		g_assert_true(json_number_value(v) == s->after[i] &&
			      json_is_number(v));
	}
}

/* Checks an accepted job against its text and the spec after packing and
 * unpacking; then a scheduler places it. */
static void run_job(const char *text, size_t len)
{
	struct err e = { 0 };
	struct jobspec *spec = pf_decode_job(NULL, JOB, "short", text, len, &e);
	struct jobspec *back;
	struct sched_fixture p;
	json_t *row;

	if (!spec) {
		g_assert_cmpint(e.kind, ==, ERR_RECORD);
		return;
	}
	row = json_loadb(text, len, 0, NULL);
	check_number(row, "times", spec->rounds, 0);
	for (int32_t i = 0; i < spec->n_steps; i++)
		check_step(json_array_get(json_object_get(row, "steps"),
					  (size_t)i),
			   &spec->steps[i]);
	json_decref(row);
	row = jobspec_pack(spec);
	back = jobspec_unpack(NULL, JOB, row, &e);
	g_assert_nonnull(back);
	g_assert_cmpmem(
		back->steps, (size_t)back->n_steps * sizeof(*back->steps),
		spec->steps, (size_t)spec->n_steps * sizeof(*spec->steps));
	talloc_free(back);
	json_decref(row);
	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(&p, spec);
	sched_place(&p.s, 20);
	sched_tick(&p.s, 30, 1000000);
	fixture_close(&p);
}

static void on_rows(const struct rows_answer *ans, void *priv)
{
	(void)priv;
	for (int32_t i = 0; i < ans->n; i++) {
		g_assert_nonnull(ans->rows[i].key);
		g_assert_nonnull(ans->rows[i].part);
		g_assert_cmpint(ans->rows[i].version, >=, 0);
	}
}

static void on_clock(int64_t now_ms, void *priv)
{
	struct fleet f = { .clk = &clk_system };

	(void)priv;
	fleet_set_store_clock(&f, now_ms);
}

static void run_rows_response(const char *text, size_t len)
{
	static const struct pf_rows_ops ops = { on_clock };
	struct rows_range range = { .table = "t", .part = "" };
	struct pf_rows *p =
		pf_rows_start(NULL, NULL, &clk_system, "", &ops, NULL);
	struct rows rows = pf_rows_iface(p);

	rows.ops->read(rows.self, &range, on_rows, NULL);
	fuzz_respond(text, len);
	talloc_free(p);
}

static void on_poll_response(const struct sched_report *report, void *priv)
{
	struct sched_fixture *p = priv;
	struct sched_worker *w = fixture_worker(p, "w");
	struct sched_report owned_report;

	if (!report)
		return;
	owned_report = *report;
	owned_report.fence = w->fence;
	for (int i = 0; i < 3; i++) {
		sched_poll_answered(&p->s, w, &owned_report, 100 + i, 1000000);
		sched_tick(&p->s, 110 + i, 1000000);
		sched_place(&p->s, 120 + i);
	}
}

static void on_advice(const char *const *ids, const char *const *tickets,
		      int32_t n, int64_t valid_ms, void *priv)
{
	static const struct sched_incarnation asked[] = { { "w", 1 } };
	struct sched_fixture *p = priv;
	const struct sched_advice advice = {
		.step = { .job = JOB },
		.asked = asked,
		.n_asked = G_N_ELEMENTS(asked),
		.ids = ids,
		.tickets = tickets,
		.n_allowed = n,
		.valid_ms = valid_ms,
	};

	if (!ids)
		return;
	sched_advice_received(&p->s, &advice, 100);
	sched_place(&p->s, 110);
}

static void on_start_response(enum sched_start_result res, void *priv)
{
	struct sched_fixture *p = priv;

	if (p->starts->len)
		sched_start_answered(&p->s, &fixture_start(p, 0)->ref, "w", res,
				     100);
	sched_place(&p->s, 110);
}

enum worker_call { POLL, ADVISE, START };

static void run_worker_call(enum worker_call call, const char *text, size_t len)
{
	struct sched_ref ref = { .job = JOB };
	struct wkr_start_cmd command = { .ref = &ref, .payload = "" };
	struct wkr_target to = { .id = "w", .address = "" };
	struct pf_worker *w = pf_worker_start(NULL, NULL, "");
	struct wkr t = pf_worker_iface(w);
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(
		&p,
		fixture_spec(JOB, call == ADVISE ? "ruled" : "short", 2, 2));
	sched_place(&p.s, 20);
	if (call == POLL)
		t.ops->poll(t.self, &to, 0, 0, on_poll_response, &p);
	else if (call == ADVISE)
		t.ops->advise(t.self, &ref, NULL, 0, on_advice, &p);
	else
		t.ops->start(t.self, &to, &command, on_start_response, &p);
	fuzz_respond(text, len);
	fixture_close(&p);
	talloc_free(w);
}

static void run_poll(const char *text, size_t len)
{
	run_worker_call(POLL, text, len);
}

static void run_advice(const char *text, size_t len)
{
	run_worker_call(ADVISE, text, len);
}

static void run_start(const char *text, size_t len)
{
	run_worker_call(START, text, len);
}

/* Checks that each task has only one valid name. */
static void run_task(const char *text, size_t len)
{
	struct sched_ref ref;
	g_autofree char *name = NULL;

	(void)len;
	if (!pf_worker_parse_task(text, &ref))
		return;
	name = g_strdup_printf("%s.%lld.%d.%d", ref.job, (long long)ref.round,
			       ref.step, ref.index);
	g_assert_cmpstr(name, ==, text);
}

static void on_vm(const char *vm, enum upkeep_state state, const char *worker,
		  void *priv)
{
	upkeep_add_listed(priv, vm, state, worker);
}

static void on_list_ended(bool good, void *priv)
{
	upkeep_end_listing(priv, good);
}

static void on_upkeep_response(enum upkeep_result res, void *priv)
{
	(void)res;
	(void)priv;
}

static void run_vm_list(const char *text, size_t len)
{
	static const struct rows rows = { &rows_ops, NULL };
	struct pf_vms *p = pf_vms_start(NULL, NULL, "", &rows);
	struct vms vms = pf_vms_iface(p);
	struct vms_issuer issuer = { "vm", 1 };
	struct upkeep u;

	upkeep_init(&u, NULL, NULL, 0);
	vms.ops->list(vms.self, on_vm, on_list_ended, &u);
	/* Ends a list whose pages all say that another one follows. */
	for (int i = 0; pending.http_cb && i < PAGES_MAX; i++)
		fuzz_respond(text, len);
	if (pending.http_cb)
		fuzz_respond("", 0);
	vms.ops->upkeep(vms.self, &issuer, 1, "vm", on_upkeep_response, NULL);
	fuzz_respond(text, len);
	upkeep_finish(&u);
	talloc_free(p);
}

/* What was decoded is encoded and decoded to the same. */
static void run_relay(const char *text, size_t len)
{
	void *ctx = talloc_new(NULL);
	const uint8_t *data = (const uint8_t *)text;
	struct relay_call call;
	struct relay_call again;
	struct relay_answer answer;
	uint8_t *packed;
	size_t n;

	if (relay_unpack_call(ctx, data, len, &call)) {
		packed = relay_pack_call(ctx, &call, &n);
		g_assert_true(relay_unpack_call(ctx, packed, n, &again));
		g_assert_cmpuint(again.id, ==, call.id);
		g_assert_cmpint(again.kind, ==, call.kind);
		g_assert_cmpstr(again.to.address, ==, call.to.address);
		g_assert_cmpstr(again.ref.job, ==, call.ref.job);
		g_assert_cmpint(again.ref.run, ==, call.ref.run);
		g_assert_cmpstr(again.payload, ==, call.payload);
	}
	if (relay_unpack_answer(ctx, data, len, &answer)) {
		packed = relay_pack_answer(ctx, &answer, &n);
		g_assert_true(relay_unpack_answer(ctx, packed, n, &answer));
	}
	talloc_free(ctx);
}

const struct fuzz_target fuzz_call_targets[] = {
	{ "door", run_frontend },
	{ "job", run_job },
	{ "answer", run_rows_response },
	{ "look", run_poll },
	{ "advice", run_advice },
	{ "start", run_start },
	{ "task", run_task },
	{ "machines", run_vm_list },
	{ "relay", run_relay },
	{ NULL, NULL },
};
