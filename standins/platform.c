/*
 * gd-platform: simulator of the platform of gd-entry and gd-sched, with its
 * table service, object store and list of VMs. Tests inject faults by /admin.
 */
#include <argp.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clk.h"
#include "transport/hts.h"

#define BODY_MAX (64u << 20)
/* A token bucket holds at most this time's worth of its rate. */
#define BURST_S 2

enum mode {
	MODE_UP,
	MODE_DOWN, /* responds 503 */
	MODE_HANG, /* never responds */
	MODE_LOSE, /* writes take effect, but respond 500 */
};

struct row {
	json_t *value;
	int64_t revision; /* of the transaction that wrote it */
};

struct token_bucket {
	double tokens;
	double rate; /* tokens per second */
	int64_t at_ms; /* last refill */
};

struct platform {
	struct tevent_context *ev;
	GTree *rows; /* sorted by key */
	GHashTable *objects;
	json_t *vms; /* current state */
	json_t *listed_vms; /* what GET /vms returns */
	int64_t vm_lag_ms; /* from a change of vms to listed_vms */
	int64_t revision; /* of the last transaction */
	enum mode mode;
	int64_t delay_ms; /* before each request is served */
	int64_t responses_to_drop; /* in MODE_LOSE; then MODE_UP */
	struct token_bucket writes;
	struct token_bucket reads;
	int64_t n_writes;
	int64_t n_reads;
	int64_t n_transactions;
	int64_t n_conflicts;
	int64_t n_rate_limited;
	FILE *log;
};

/* A request that waits for delay_ms. */
struct delayed_req {
	struct platform *p;
	struct hts_req *req;
};

static int compare_keys(gconstpointer a, gconstpointer b, gpointer priv)
{
	(void)priv;
	return strcmp(a, b);
}

static void free_row(gpointer p)
{
	struct row *r = p;

	json_decref(r->value);
	g_free(r);
}

static int64_t now_ms(void)
{
	return clk_mono_ms(&clk_system);
}

static void send_json(struct hts_req *req, unsigned int status, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	hts_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(j);
}

/* Rejects a request; tells the caller that it had no effect. */
static void reply_not_started(struct hts_req *req, unsigned int status)
{
	hts_reply_header(req, "X-Not-Started", "1");
	send_json(req, status, json_object());
}

/* Takes `n` tokens. Returns false, and counts it, if the rate is exceeded. */
static bool take_tokens(struct platform *p, struct token_bucket *b, double n)
{
	int64_t now = now_ms();

	b->tokens += (double)(now - b->at_ms) * b->rate / 1000;
	if (b->tokens > b->rate * BURST_S)
		b->tokens = b->rate * BURST_S;
	b->at_ms = now;
	if (b->tokens < n) {
		p->n_rate_limited++;
		return false;
	}
	b->tokens -= n;
	return true;
}

static json_t *row_json(const char *key, const struct row *r)
{
	return json_pack("{s:s,s:O,s:I}", "k", key, "v",
			 r ? r->value : json_null(), "r",
			 (json_int_t)(r ? r->revision : 0));
}

static bool revisions_match(struct platform *p, json_t *expected)
{
	const char *key;
	json_t *want;

	json_object_foreach(expected, key, want)
	{
		struct row *r = g_tree_lookup(p->rows, key);
		int64_t revision = r ? r->revision : 0;

		if (revision != json_integer_value(want))
			return false;
	}
	return true;
}

static void put_rows(struct platform *p, json_t *puts)
{
	const char *key;
	json_t *value;

	p->revision++;
	json_object_foreach(puts, key, value)
	{
		struct row *r;

		p->n_writes++;
		if (json_is_null(value)) {
			g_tree_remove(p->rows, key);
			continue;
		}
		r = g_new0(struct row, 1);
		r->value = json_incref(value);
		r->revision = p->revision;
		g_tree_replace(p->rows, g_strdup(key), r);
	}
}

static bool drop_response(struct platform *p, struct hts_req *req)
{
	if (p->mode != MODE_LOSE || p->responses_to_drop <= 0)
		return false;
	if (--p->responses_to_drop == 0)
		p->mode = MODE_UP;
	/* The write took effect; the response leaves that open. */
	send_json(req, 500, json_object());
	return true;
}

static void on_tx(struct platform *p, struct hts_req *req)
{
	json_t *j = json_loads(req->body, 0, NULL);
	json_t *puts = json_object_get(j, "put");

	if (!json_is_object(puts)) {
		reply_not_started(req, 400);
	} else if (!take_tokens(p, &p->writes,
				(double)json_object_size(puts))) {
		reply_not_started(req, 429);
	} else if (!revisions_match(p, json_object_get(j, "if"))) {
		p->n_conflicts++;
		send_json(req, 409, json_pack("{s:b}", "ok", 0));
	} else {
		p->n_transactions++;
		put_rows(p, puts);
		if (!drop_response(p, req))
			send_json(req, 200,
				  json_pack("{s:b,s:I}", "ok", 1, "rev",
					    (json_int_t)p->revision));
	}
	json_decref(j);
}

static void on_row(struct platform *p, struct hts_req *req)
{
	const char *key = hts_query(req, "k");

	p->n_reads++;
	if (!key || !take_tokens(p, &p->reads, 1)) {
		reply_not_started(req, 429);
		return;
	}
	send_json(req, 200, row_json(key, g_tree_lookup(p->rows, key)));
}

struct scan {
	const char *prefix;
	json_t *rows; /* results */
};

/* Collects rows with the prefix; stops after them, since keys are sorted. */
static gboolean on_scan_row(gpointer key, gpointer value, gpointer priv)
{
	struct scan *s = priv;

	if (strncmp(key, s->prefix, strlen(s->prefix)) != 0)
		return strcmp(key, s->prefix) > 0;
	json_array_append_new(s->rows, row_json(key, value));
	return FALSE;
}

static void on_rows(struct platform *p, struct hts_req *req)
{
	struct scan s = { hts_query(req, "prefix"), json_array() };

	p->n_reads++;
	if (!s.prefix || !take_tokens(p, &p->reads, 1)) {
		json_decref(s.rows);
		reply_not_started(req, 429);
		return;
	}
	g_tree_foreach(p->rows, on_scan_row, &s);
	send_json(req, 200, json_pack("{s:o}", "rows", s.rows));
}

static void on_object(struct platform *p, struct hts_req *req)
{
	const char *name = req->path + strlen("/object/");
	const char *text;

	if (!strcmp(req->method, "PUT")) {
		if (!take_tokens(p, &p->writes, 1)) {
			reply_not_started(req, 429);
			return;
		}
		p->n_writes++;
		g_hash_table_replace(p->objects, g_strdup(name),
				     g_strdup(req->body));
		if (!drop_response(p, req))
			send_json(req, 200, json_object());
		return;
	}
	if (!strcmp(req->method, "DELETE")) {
		g_hash_table_remove(p->objects, name);
		send_json(req, 200, json_object());
		return;
	}
	p->n_reads++;
	text = g_hash_table_lookup(p->objects, name);
	if (!text)
		send_json(req, 404, json_object());
	else
		hts_reply(req, 200, "application/json", text, strlen(text));
}

static void publish_vms(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval now, void *priv)
{
	struct platform *p = priv;

	(void)ev;
	(void)te;
	(void)now;
	json_decref(p->listed_vms);
	p->listed_vms = json_deep_copy(p->vms);
}

static void schedule_publish(struct platform *p)
{
	tevent_add_timer(p->ev, p->ev,
			 tevent_timeval_current_ofs(p->vm_lag_ms / 1000,
						    p->vm_lag_ms % 1000 * 1000),
			 publish_vms, p);
}

/* Adds or updates a VM by its id; removes it if it has "gone". */
static void set_vm(struct platform *p, json_t *vm)
{
	const char *id = json_string_value(json_object_get(vm, "id"));
	json_t *row;
	size_t i;

	json_array_foreach(p->vms, i, row)
	{
		if (strcmp(json_string_value(json_object_get(row, "id")), id) !=
		    0)
			continue;
		if (json_is_true(json_object_get(vm, "gone")))
			json_array_remove(p->vms, i);
		else
			json_object_update(row, vm);
		return;
	}
	if (!json_is_true(json_object_get(vm, "gone")))
		json_array_append(p->vms, vm);
}

static void set_mode(struct platform *p, json_t *j)
{
	static const char *const names[] = { "up", "down", "hang", "lose" };
	const char *mode = json_string_value(json_object_get(j, "mode"));

	for (int i = 0; mode && i < 4; i++) {
		if (!strcmp(mode, names[i]))
			p->mode = (enum mode)i;
	}
	if (json_object_get(j, "delay_ms"))
		p->delay_ms =
			json_integer_value(json_object_get(j, "delay_ms"));
	if (json_object_get(j, "count"))
		p->responses_to_drop =
			json_integer_value(json_object_get(j, "count"));
	if (json_object_get(j, "vm_lag_ms"))
		p->vm_lag_ms =
			json_integer_value(json_object_get(j, "vm_lag_ms"));
}

/*
 * Sets faults {"mode": "up", "down", "hang" or "lose", "count": N,
 * "delay_ms": N, "vm_lag_ms": N} and changes VMs {"vms": [...]}. Responds with
 * the counters of the store.
 */
static void on_admin(struct platform *p, struct hts_req *req)
{
	json_t *j = json_loads(req->body, 0, NULL);
	json_t *vms = json_object_get(j, "vms");
	json_t *vm;
	size_t i;

	set_mode(p, j);
	json_array_foreach(vms, i, vm) set_vm(p, vm);
	if (vms)
		schedule_publish(p);
	send_json(req, 200,
		  json_pack("{s:I,s:I,s:I,s:I,s:I}", "writes",
			    (json_int_t)p->n_writes, "reads",
			    (json_int_t)p->n_reads, "transactions",
			    (json_int_t)p->n_transactions, "conflicts",
			    (json_int_t)p->n_conflicts, "limited",
			    (json_int_t)p->n_rate_limited));
	json_decref(j);
}

static void handle(struct platform *p, struct hts_req *req)
{
	if (!strcmp(req->path, "/tx"))
		on_tx(p, req);
	else if (!strcmp(req->path, "/row"))
		on_row(p, req);
	else if (!strcmp(req->path, "/rows"))
		on_rows(p, req);
	else if (!strncmp(req->path, "/object/", 8))
		on_object(p, req);
	else if (!strcmp(req->path, "/vms"))
		send_json(req, 200, json_pack("{s:O}", "vms", p->listed_vms));
	else
		reply_not_started(req, 404);
}

static void on_delay(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *priv)
{
	struct delayed_req *d = priv;

	(void)ev;
	(void)te;
	(void)now;
	handle(d->p, d->req);
	talloc_free(d);
}

static void on_request(struct hts_req *req, void *priv)
{
	struct platform *p = priv;
	struct delayed_req *d;

	if (!strcmp(req->path, "/admin")) {
		on_admin(p, req);
		return;
	}
	if (p->mode == MODE_HANG)
		return;
	if (p->mode == MODE_DOWN) {
		reply_not_started(req, 503);
		return;
	}
	if (!p->delay_ms) {
		handle(p, req);
		return;
	}
	d = talloc_zero(p->ev, struct delayed_req);
	d->p = p;
	d->req = req;
	tevent_add_timer(p->ev, d,
			 tevent_timeval_current_ofs(p->delay_ms / 1000,
						    p->delay_ms % 1000 * 1000),
			 on_delay, d);
}

int main(int argc, char **argv)
{
	struct platform p = { .rows = g_tree_new_full(compare_keys, NULL,
						      g_free, free_row),
			      .objects = g_hash_table_new_full(
				      g_str_hash, g_str_equal, g_free, g_free),
			      .vms = json_array(),
			      .listed_vms = json_array(),
			      .writes = { .rate = 400 },
			      .reads = { .rate = 2000 } };
	struct hts_options opt = { .ip = "127.0.0.1",
				   .body_max = BODY_MAX,
				   .idle_timeout_s = 600 };
	struct err err;

	if (argc < 2) {
		fprintf(stderr, "usage: gd-platform PORT [WRITES/S READS/S]\n");
		return 64;
	}
	opt.port = (uint16_t)atoi(argv[1]);
	if (argc > 3) {
		p.writes.rate = atof(argv[2]);
		p.reads.rate = atof(argv[3]);
	}
	p.writes.at_ms = p.reads.at_ms = now_ms();
	signal(SIGPIPE, SIG_IGN);
	p.ev = tevent_context_init(NULL);
	if (!hts_start(p.ev, p.ev, &opt, on_request, &p, &err)) {
		fprintf(stderr, "%s\n", err.text);
		return 1;
	}
	return tevent_loop_wait(p.ev);
}
