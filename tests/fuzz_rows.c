/* Fuzz targets for rows of the store, settings files, records and messages
 * between members. */
#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <sys/mman.h>
#include <talloc.h>
#include <unistd.h>

#include "fleet/shard_ctl_int.h"
#include "pf_settings.h"
#include "pf_decode.h"
#include "pf_vms.h"
#include "protocol/msg.h"
#include "protocol/rec.h"
#include "protocol/settings.h"
#include "tests/fuzz.h"
#include "tests/sched_fixture.h"

#define JOB "0123456789abcdef"
#define VM "m1"

/* Writes the text to a memory file; returns its path, valid until the next
 * call. */
static const char *write_temp_file(const char *text, size_t len)
{
	static char path[32];
	static int fd = -1;

	if (fd < 0)
		fd = memfd_create("fuzz", 0);
	snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	g_assert_cmpint(ftruncate(fd, 0), ==, 0);
	g_assert_cmpint(pwrite(fd, text, len, 0), ==, len);
	return path;
}

static void ignore_draining(void *priv, const char *vm, bool on)
{
	(void)priv;
	(void)vm;
	(void)on;
}

static bool may_always_terminate(void *priv, const char *vm, bool late)
{
	(void)priv;
	(void)vm;
	(void)late;
	return true;
}

/* The platform begins the upkeep of each VM as commanded. */
static void accept_upkeep(void *priv, int64_t wave, const char *vm)
{
	upkeep_note_result(priv, wave, vm, UPKEEP_BEGUN, 0);
}

static void ignore_change(void *priv, int64_t wave)
{
	(void)priv;
	(void)wave;
}

static void ignore_decision(void *priv, const char *what, int64_t wave,
			    const char *vm)
{
	(void)priv;
	(void)what;
	(void)wave;
	(void)vm;
}

static const struct upkeep_ops upkeep_ops = { ignore_draining,
					      may_always_terminate,
					      accept_upkeep, ignore_change,
					      ignore_decision };

/* Checks that each valid wave ends if its VMs restart without delay. */
static void run_wave(const char *text, size_t len)
{
	struct upkeep u;
	struct upkeep_wave w;
	void *tmp = talloc_new(NULL);

	(void)len;
	if (!pf_vms_decode_wave(tmp, text, &w)) {
		talloc_free(tmp);
		return;
	}
	upkeep_init(&u, &upkeep_ops, &u, 0);
	upkeep_add(&u, &w, 100000);
	for (int32_t i = 0; i <= w.n_vms && upkeep_is_active(&u); i++) {
		int64_t now = 100000 + i;

		upkeep_begin_listing(&u, now);
		for (int32_t k = 0; k < w.n_vms; k++) {
			g_autofree char *incarnation = g_strdup_printf("%d", i);

			upkeep_add_listed(&u, w.vms[k], UPKEEP_UP, incarnation);
		}
		upkeep_end_listing(&u, now);
		upkeep_step(&u, true, now);
	}
	if (w.at_once > 0)
		g_assert_false(upkeep_is_active(&u));
	upkeep_finish(&u);
	talloc_free(tmp);
}

static bool differs(const json_t *list, size_t i, const char *key,
		    const char *got)
{
	const char *s = json_string_value(
		json_object_get(json_array_get(list, i), key));

	return s && strcmp(s, got) != 0;
}

/* Checks that no name is truncated: it might then equal another's name. */
static void run_catalog(const char *text, size_t len)
{
	struct err e = { 0 };
	struct catalog *c = pf_decode_catalog(NULL, text, &e);
	json_t *j = json_loads(text, 0, NULL);
	const json_t *routes = json_object_get(j, "routes");

	(void)len;
	for (int32_t i = 0; c && i < c->n_queues; i++) {
		const struct catalog_queue *q = &c->queues[i];
		bool found = false;

		for (size_t k = 0; !found && k < json_array_size(routes); k++)
			found = !differs(routes, k, "name", q->name) &&
				!differs(routes, k, "host", q->host) &&
				!differs(routes, k, "prefix", q->prefix) &&
				!differs(routes, k, "service", q->pool);
		g_assert_true(found);
		g_assert_cmpint(q->attempts, >, 0);
		catalog_find_route(c, q->host, q->prefix);
	}
	json_decref(j);
	talloc_free(c);
}

static void run_worker(const char *text, size_t len)
{
	struct sched_worker_row row;
	struct err e = { 0 };
	struct sched_fixture p;
	json_t *j;

	(void)len;
	if (!pf_decode_worker("w", text, &row, &e)) {
		g_assert_cmpint(e.kind, ==, ERR_PROTOCOL);
		return;
	}
	j = json_loads(text, 0, NULL);
	g_assert_cmpstr(row.pool, ==,
			json_string_value(json_object_get(j, "service")));
	g_assert_cmpstr(row.address, ==,
			json_string_value(json_object_get(j, "addr")));
	g_assert_cmpstr(row.domain, ==,
			json_string_value(json_object_get(j, "zone")));
	for (int32_t i = 0; i < row.n_labels; i++)
		g_assert_cmpstr(
			row.labels[i], ==,
			json_string_value(json_array_get(
				json_object_get(j, "labels"), (size_t)i)));
	g_assert_cmpint(row.total.cpu_milli, >=, 0);
	g_assert_cmpint(row.total.mem_mib, >=, 0);
	g_assert_cmpint(row.total.accelerators, >=, 0);
	json_decref(j);
	fixture_open(&p, 1, NULL);
	sched_worker_listed(&p.s, &row, 10);
	fixture_store_roster(&p);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(&p, fixture_spec(JOB, "short", 1, 3));
	sched_place(&p.s, 20);
	sched_tick(&p.s, 30, 1000000);
	fixture_close(&p);
}

static void run_boot(const char *text, size_t len)
{
	struct pf_settings b;
	struct err e = { 0 };

	if (!pf_settings_load(write_temp_file(text, len), &b, &e)) {
		g_assert_cmpint(e.kind, ==, ERR_SETTING);
		return;
	}
	g_assert_false(isnan(b.cpu_share));
	g_assert_cmpint(b.max_fds, >=, 300);
	g_assert_cmpint(b.fleet.row_bytes_max, >=, 1024);
	fleet_derive_limits(&b.fleet, b.cpu_share);
	g_assert_cmpint(b.fleet.sched.lease_ms, >, 0);
}

static char *dump_progress(const struct sched_job *job)
{
	json_t *j = sched_job_progress(job, SCHED_DETAIL_ALL);
	char *text = json_dumps(j, JSON_COMPACT | JSON_SORT_KEYS);

	json_decref(j);
	return text;
}

static struct sched_job *add_from_progress(struct sched_fixture *p,
					   const struct jobspec *of,
					   const char *progress)
{
	json_t *row = jobspec_pack(of);
	json_t *j = json_loads(progress, 0, NULL);
	struct err e;
	struct jobspec *spec = jobspec_unpack(NULL, JOB, row, &e);
	struct sched_job *job;

	g_assert_nonnull(spec);
	job = sched_job_add(&p->s, spec, j, 1, true, 0, 1000000);
	json_decref(row);
	json_decref(j);
	return job;
}

/* Input: a job's row, and its progress on the next line. Checks that the
 * progress packed by one scheduler means the same to its successor. */
static void run_job_row(const char *text, size_t len)
{
	const char *eol = memchr(text, '\n', len);
	size_t n = eol ? (size_t)(eol - text) : len;
	json_t *row = json_loadb(text, n, 0, NULL);
	json_t *progress = eol ? json_loads(eol, 0, NULL) : NULL;
	struct err e = { 0 };
	struct jobspec *spec = jobspec_unpack(NULL, JOB, row, &e);
	struct sched_job *job;
	struct sched_fixture p;
	struct sched_fixture next;

	if (spec) {
		g_autofree char *first = NULL;
		g_autofree char *second = NULL;

		fixture_open(&p, 1, NULL);
		fixture_open(&next, 2, NULL);
		fixture_add_worker(&p, "w", "r");
		fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
		job = sched_job_add(&p.s, spec, progress, 1, true, 0, 1000000);
		first = dump_progress(job);
		second = dump_progress(add_from_progress(&next, spec, first));
		g_assert_cmpstr(first, ==, second);
		sched_place(&p.s, 20);
		sched_tick(&p.s, 30, 1000000);
		fixture_close(&next);
		fixture_close(&p);
	}
	json_decref(row);
	json_decref(progress);
}

static void run_roster(const char *text, size_t len)
{
	json_t *j = json_loadb(text, len, 0, NULL);
	struct sched_fixture p;

	fixture_open(&p, 2, NULL);
	sched_roster_restore(&p.s, j, 10);
	sched_tick(&p.s, 20, 1000000);
	sched_tick(&p.s, 1000000, 2000000);
	fixture_store_roster(&p);
	fixture_close(&p);
	json_decref(j);
}

static void run_interference(const char *text, size_t len)
{
	json_t *j = json_loadb(text, len, 0, NULL);
	struct interfere m;
	struct interfere next;
	struct interfere_load load = { 1, 0.5 };
	struct interfere_change change = { 1, 1, &load, 1 };

	interfere_init(&m);
	interfere_init(&next);
	interfere_unpack(&m, j);
	json_decref(j);
	if (m.n)
		interfere_observe(&m, m.n, &change);
	for (int32_t i = 1; i <= m.n; i++) {
		g_assert_true(isfinite(interfere_base_slack(&m, i)));
		g_assert_true(isfinite(interfere_weight(&m, i, 1)));
		g_assert_cmpfloat(interfere_weight(&m, i, 1), >=, 0);
	}
	j = interfere_pack(&m);
	interfere_unpack(&next, j);
	g_assert_cmpint(next.n, <=, m.n);
	json_decref(j);
	interfere_finish(&m);
	interfere_finish(&next);
}

static struct {
	const char *row;
	rows_done done;
	void *priv;
} pending_read;

static void defer_read(void *self, const struct rows_range *range,
		       rows_done done, void *priv)
{
	(void)self;
	(void)range;
	pending_read.done = done;
	pending_read.priv = priv;
}

static void list_one_vm(void *self, vms_list_entry_cb each,
			vms_list_end_cb ended, void *priv)
{
	(void)self;
	each(VM, UPKEEP_UP, "w", priv);
	ended(true, priv);
}

static void answer_busy(void *self, const struct vms_issuer *issuer,
			int64_t wave, const char *vm, vms_upkeep_cb done,
			void *priv)
{
	(void)self;
	(void)issuer;
	(void)wave;
	g_assert_cmpstr(vm, ==, VM);
	done(UPKEEP_BUSY, priv);
}

static void accept_report(void *self, int64_t wave, bool over,
			  vms_report_cb done, void *priv)
{
	(void)self;
	(void)wave;
	(void)over;
	done(true, priv);
}

static void continue_wave(struct upkeep_runner *r, const char *value)
{
	struct rows_row row = { "s0", "wave/1", value, 1, false };
	struct rows_answer ans = { .n = 1, .rows = &row };

	upkeep_runner_step(r, true, 1000);
	pending_read.done(&ans, pending_read.priv);
	upkeep_runner_step(r, true, 2000);
	upkeep_runner_step(r, true, 9000);
}

/* Input: the row with the progress of wave 1 that a previous owner stored. */
static void run_upkeep(const char *text, size_t len)
{
	static const struct rows_ops rows = { .read = defer_read };
	static const struct vms_ops vms = { list_one_vm, answer_busy,
					    accept_report };
	const char *const names[] = { VM };
	struct fleet f = { .clk = &clk_system,
			   .rows = { &rows, NULL },
			   .vms = { &vms, NULL } };
	struct fleet_wave wave = { { 1, 1, 5000, 1, names }, 0 };
	struct shard_ctl sc = { .f = &f, .is_owner = true };
	GPtrArray *texts = g_ptr_array_new_with_free_func(free);
	struct rows_change change;
	struct sched_fixture p;

	(void)len;
	fixture_open(&p, 2, NULL);
	f.shard_ctls[0] = &sc;
	f.waves = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_insert(f.waves, &wave.wave.number, &wave);
	sc.upkeep = upkeep_runner_start(NULL, &f, &p.s, 0, 2);
	continue_wave(sc.upkeep, text);
	upkeep_runner_collect(sc.upkeep, texts, &change, 1);
	upkeep_runner_committed(sc.upkeep);
	talloc_free(sc.upkeep);
	g_hash_table_destroy(f.waves);
	g_ptr_array_free(texts, TRUE);
	fixture_close(&p);
}

static void run_message(const char *text, size_t len)
{
	struct msg *m = msg_unpack(NULL, text, len);
	struct msg *copy;
	size_t n;
	void *data;

	if (!m)
		return;
	data = msg_pack(NULL, m, &n);
	copy = msg_unpack(NULL, data, n);
	g_assert_nonnull(copy);
	g_assert_cmpint(copy->kind, ==, m->kind);
	g_assert_cmpmem(copy->body, copy->body_len, m->body, m->body_len);
	talloc_free(data);
	talloc_free(copy);
	talloc_free(m);
}

/* Checks that a record of either schema is unchanged after conversion to the
 * newest schema and parsing. */
static void run_record(const char *text, size_t len)
{
	struct err e = { 0 };
	struct rec r;
	struct rec copy;
	json_t *first;
	json_t *second;

	(void)len;
	if (!rec_parse_text(text, &r, &e)) {
		g_assert_cmpint(e.kind, ==, ERR_RECORD);
		return;
	}
	first = rec_to_json(&r);
	g_assert_true(rec_parse(first, &copy, &e));
	second = rec_to_json(&copy);
	g_assert_true(json_equal(first, second));
	json_decref(first);
	json_decref(second);
}

static void run_settings(const char *text, size_t len)
{
	const char *path = write_temp_file(text, len);
	struct settings s;
	struct err e = { 0 };

	for (int kind = SETTINGS_ENTRY; kind <= SETTINGS_SCHED; kind++) {
		if (!settings_load(path, (enum settings_kind)kind, &s, &e))
			continue;
		g_assert_cmpint(s.http_port, >, 0);
		g_assert_cmpint(s.shards, >, 0);
		g_assert_true(*s.id);
	}
}

const struct fuzz_target fuzz_row_targets[] = {
	{ "wave", run_wave },
	{ "catalog", run_catalog },
	{ "worker", run_worker },
	{ "boot", run_boot },
	{ "job-row", run_job_row },
	{ "roster", run_roster },
	{ "learned", run_interference },
	{ "upkeep", run_upkeep },
	{ "message", run_message },
	{ "record", run_record },
	{ "settings", run_settings },
	{ NULL, NULL },
};

const struct fuzz_target *fuzz_find_target(const char *name)
{
	const struct fuzz_target *const lists[] = { fuzz_call_targets,
						    fuzz_row_targets };

	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		for (const struct fuzz_target *t = lists[i]; t->name; t++) {
			if (!strcmp(t->name, name))
				return t;
		}
	}
	return NULL;
}
