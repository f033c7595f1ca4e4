/*
 * Simulates the platform's workers (one on each VM), their rows, their faults
 * and the list of VMs.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/site_runs.h"

#define CPU_MILLI 16000
#define MEM_MIB 64000
#define UPKEEP_DURATION_MS 300
/* A worker that misses three heartbeats is removed from the list. */
#define UNLIST_AFTER_MS 3000

static void put_row(struct site *s, const struct site_worker *w)
{
	char *text = g_strdup_printf(
		"{\"service\":\"pool\",\"addr\":\"127.0.0.1:%d\","
		"\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"%s\",\"cold_left_ms\":0,\"machine\":\"%s\","
		"\"capacity\":{\"cpu\":%lld,\"mem_mb\":%lld,\"gpu\":0},"
		"\"labels\":[\"a\",\"r1\"],\"born\":%lld,\"seq\":1}",
		s->worker_port_base ? s->worker_port_base + w->index : s->port,
		w->drain_until_ms ? "draining" : "ready", w->vm,
		(long long)w->cpu_milli, (long long)w->mem_mib,
		(long long)w->born_ms);

	store_put(s, "servers", "", w->id, text);
	g_free(text);
}

/* Writes the worker's row now, or once the store is available again. */
static void report_worker(struct site *s, struct site_worker *w)
{
	if (faults_store_unavailable(s))
		w->relist_at_ms = site_now_ms();
	else
		put_row(s, w);
}

static void begin_incarnation(struct site *s, struct site_worker *w)
{
	w->incarnation += !w->same_id;
	snprintf(w->id, sizeof(w->id), "i-%s-%d", w->vm, w->incarnation);
	w->born_ms = clk_wall_ms(&clk_system);
	w->clock_base_ms = site_now_ms();
	w->fence_token = 0;
	w->lease_until_ms = 0;
	w->seq = 0;
	w->down_until_ms = 0;
	w->unresponsive = w->same_id = false;
	w->drain_until_ms = w->unlist_at_ms = w->relist_at_ms = w->to_delay = 0;
	g_hash_table_remove_all(w->last_ended);
	report_worker(s, w);
}

void workers_init(struct site *s, int n)
{
	s->workers = g_ptr_array_new();
	for (int i = 0; i < n; i++) {
		struct site_worker *w = g_new0(struct site_worker, 1);

		snprintf(w->vm, sizeof(w->vm), "m%d", i);
		w->s = s;
		w->index = i;
		w->cpu_milli = CPU_MILLI;
		w->mem_mib = MEM_MIB;
		w->waves = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
		runs_init(w);
		g_ptr_array_add(s->workers, w);
		begin_incarnation(s, w);
	}
}

/* Takes the VM down for `for_ms`; its runs and unacknowledged ends are lost. */
static void end_incarnation(struct site_worker *w, int64_t for_ms)
{
	runs_drop(w);
	w->down_until_ms = site_now_ms() + for_ms;
}

static void set_capacity(struct site_worker *w, const char *what,
			 int64_t cpu_milli, int64_t mem_mib)
{
	w->cpu_milli = cpu_milli;
	w->mem_mib = mem_mib;
	printf("%lld %s %s mem=%lld %lld\n", (long long)site_now_ms(), what,
	       w->id, (long long)mem_mib, (long long)cpu_milli);
	if (!w->down_until_ms && !w->relist_at_ms)
		report_worker(w->s, w);
}

void worker_crash(struct site_worker *w, int64_t down_ms, bool same_id)
{
	if (!same_id && down_ms < UNLIST_AFTER_MS)
		down_ms = UNLIST_AFTER_MS;
	end_incarnation(w, down_ms);
	w->unresponsive = true;
	w->same_id = same_id;
	w->unlist_at_ms = site_now_ms() + UNLIST_AFTER_MS;
}

static int64_t int_field(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

static struct site_worker *find_worker(struct site *s, const char *vm,
				       const char *id)
{
	for (guint i = 0; i < s->workers->len; i++) {
		struct site_worker *w = g_ptr_array_index(s->workers, i);

		if ((vm && !strcmp(w->vm, vm)) || (id && !strcmp(w->id, id)))
			return w;
	}
	return NULL;
}

static void list_vms(struct site *s, struct hts_req *req)
{
	json_t *list = json_array();

	for (guint i = 0; i < s->workers->len; i++) {
		const struct site_worker *w = g_ptr_array_index(s->workers, i);

		json_array_append_new(
			list, json_pack("{s:s,s:s,s:s,s:s}", "machine", w->vm,
					"pool", "pool", "state",
					w->down_until_ms ? "upkeep" : "up",
					"id", w->down_until_ms ? "" : w->id));
	}
	site_reply(s, req, 200,
		   json_pack("{s:o,s:n}", "machines", list, "next_token"));
}

static void handle_upkeep(struct site *s, struct hts_req *req)
{
	json_t *body = json_loadb(req->body, req->body_len, 0, NULL);
	struct site_worker *w = find_worker(
		s, json_string_value(json_object_get(body, "machine")), NULL);
	int64_t wave = int_field(body, "wave");
	int64_t *key;

	json_decref(body);
	if (!w) {
		site_reply(s, req, 400, json_object());
		return;
	}
	if (g_hash_table_contains(w->waves, &wave)) {
		site_reply(s, req, 200, json_object());
		return;
	}
	if (w->down_until_ms) {
		site_reply(s, req, 409, json_pack("{s:s}", "reason", "busy"));
		return;
	}
	key = g_new(int64_t, 1);
	*key = wave;
	g_hash_table_add(w->waves, key);
	runs_log("upkeep", w, w->vm, wave);
	end_incarnation(w, UPKEEP_DURATION_MS);
	store_put(s, "servers", "", w->id, NULL);
	site_reply(s, req, 200, json_object());
}

bool workers_handle(struct site *s, struct hts_req *req)
{
	struct site_worker *w;

	if (!strcmp(req->path, "/v1/machines")) {
		list_vms(s, req);
		return true;
	}
	if (!strcmp(req->path, "/v1/machine-upkeep")) {
		handle_upkeep(s, req);
		return true;
	}
	w = find_worker(s, NULL, hts_header(req, "Expect-Instance"));
	return runs_handle(s, w, req);
}

void workers_control(struct site *s, const json_t *body)
{
	guint i = (guint)int_field(body, "worker");
	struct site_worker *w =
		i < s->workers->len ? g_ptr_array_index(s->workers, i) : NULL;
	const char *what = json_string_value(json_object_get(body, "do"));
	int64_t for_ms = int_field(body, "for_ms");
	int64_t now = site_now_ms();

	if (!w || !what || w->down_until_ms)
		return;
	if (!strcmp(what, "die")) {
		worker_crash(w, for_ms, false);
	} else if (!strcmp(what, "reborn")) {
		end_incarnation(w, for_ms);
		w->unresponsive = w->same_id = true;
	} else if (!strcmp(what, "drain")) {
		w->drain_until_ms = now + for_ms;
		if (!w->relist_at_ms)
			report_worker(s, w);
	} else if (!strcmp(what, "lapse")) {
		store_put(s, "servers", "", w->id, NULL);
		w->relist_at_ms = now + for_ms;
	} else if (!strcmp(what, "late")) {
		w->to_delay = int_field(body, "count");
		w->command_delay_ms = for_ms;
	} else if (!strcmp(what, "shrink")) {
		w->shrunk_until_ms = now + for_ms;
		set_capacity(w, what, int_field(body, "cpu"),
			     int_field(body, "mem_mb"));
	}
}

static void tick_listing(struct site *s, struct site_worker *w)
{
	int64_t now = site_now_ms();

	if (w->drain_until_ms && now >= w->drain_until_ms) {
		w->drain_until_ms = 0;
		w->unlist_at_ms = now;
		w->unresponsive = true;
		end_incarnation(w, UPKEEP_DURATION_MS);
	}
	if (w->shrunk_until_ms && now >= w->shrunk_until_ms) {
		w->shrunk_until_ms = 0;
		set_capacity(w, "grow", CPU_MILLI, MEM_MIB);
	}
	if (w->unlist_at_ms && now >= w->unlist_at_ms) {
		w->unlist_at_ms = 0;
		store_put(s, "servers", "", w->id, NULL);
	}
	if (w->relist_at_ms && now >= w->relist_at_ms && !w->down_until_ms &&
	    !faults_store_unavailable(s)) {
		w->relist_at_ms = 0;
		put_row(s, w);
	}
}

void workers_tick(struct site *s)
{
	for (guint i = 0; i < s->workers->len; i++) {
		struct site_worker *w = g_ptr_array_index(s->workers, i);

		runs_tick(w);
		tick_listing(s, w);
		runs_tick_polls(w);
		if (w->down_until_ms && site_now_ms() >= w->down_until_ms)
			begin_incarnation(s, w);
	}
}
