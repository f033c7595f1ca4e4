/*
 * Operators' HTTP operations. Configuration records are committed to the table
 * service here; operations on batch jobs are forwarded to the schedulers.
 */
#include "entry/ops.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "entry/frontend.h"
#include "entry/schedc.h"
#include "state/config_change.h"

#define OP_DEADLINE_MS 20000
#define IN_EFFECT_POLL_MS 20

/* One operation that has not been replied to yet. */
struct op {
	struct entry *e;
	struct client_request *creq;
	struct rec rec;
	int64_t revision;
	int64_t committed_ms; /* when this process saw the commit */
	/* Used by operations that call every shard. */
	json_t *shard_replies;
	int n_awaited;
};

static void reply(struct op *op, int64_t status, json_t *j)
{
	struct client_request *creq = op->creq;

	creq->status = status;
	creq->reply = json_dumps(j, JSON_COMPACT);
	creq->reply_len = strlen(creq->reply);
	json_decref(j);
	json_decref(op->shard_replies);
	frontend_reply(creq);
	talloc_free(op);
}

static void reply_error(struct op *op, int64_t status, enum err_kind kind,
			const char *text)
{
	reply(op, status,
	      json_pack("{s:s,s:s}", "error", err_kind_name(kind), "text",
			text));
}

/* Returns whether the committed configuration change applies everywhere. */
static bool is_in_effect(const struct op *op)
{
	struct entry *e = op->e;
	int64_t now_ms = entry_now_ms(e);

	if (config_watch_revision(e->config) < op->revision)
		return false;
	/*
	 * A member that still has an older revision has lost its permit
	 * permit_ms after the commit.
	 */
	return permit_peers_reached(&e->permit, op->revision, now_ms) ||
	       now_ms >= op->committed_ms + e->settings.permit_ms;
}

static void poll_in_effect(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *priv)
{
	struct op *op = priv;

	(void)te;
	(void)now;
	if (is_in_effect(op)) {
		reply(op, 200,
		      json_pack("{s:s,s:I}", "result", "in force", "revision",
				(json_int_t)op->revision));
		return;
	}
	tevent_add_timer(
		ev, op, tevent_timeval_current_ofs(0, IN_EFFECT_POLL_MS * 1000),
		poll_in_effect, op);
}

static void on_changed(enum config_change_result res, int64_t revision,
		       void *priv)
{
	struct op *op = priv;

	switch (res) {
	case CONFIG_CHANGE_DONE:
		break;
	case CONFIG_CHANGE_CONFLICT:
		reply_error(op, 409, ERR_CONFLICT,
			    "the record is not as you expect: read it again");
		return;
	case CONFIG_CHANGE_NO_EFFECT:
		reply_error(op, 503, ERR_UNAVAILABLE,
			    "not done: the table service is away; try again");
		return;
	case CONFIG_CHANGE_UNKNOWN:
		reply_error(op, 504, ERR_UNAVAILABLE,
			    "unknown: send the same operation id again");
		return;
	}
	log_event(LOG_CONFIG_COMMITTED, "operation=%s revision=%" PRId64,
		  op->creq->id, revision);
	op->revision = revision;
	op->committed_ms = entry_now_ms(op->e);
	config_watch_hint(op->e->config, revision);
	poll_in_effect(op->e->ev, NULL, tevent_timeval_zero(), op);
}

/* Commits a configuration change; replies once it is in effect everywhere. */
static void commit_config(struct op *op, json_t *value,
			  enum config_change_expect expect, int64_t expected)
{
	struct config_change c = { .value = value,
				   .expect = expect,
				   .expected = expected };
	int64_t now_ms = entry_now_ms(op->e);

	/*
	 * Not all members know one that has just joined, so their permits do
	 * not yet depend on it and could outlive its commit.
	 */
	if (!op->e->joined || !permit_is_settled(&op->e->permit, now_ms)) {
		json_decref(value);
		reply_error(op, 503, ERR_UNAVAILABLE,
			    "not done: this entry has only just joined; ask "
			    "another");
		return;
	}
	snprintf(c.operation, sizeof(c.operation), "%s", op->creq->id);
	snprintf(c.key, sizeof(c.key), "cfg/%s/%s", rec_kind_name(op->rec.kind),
		 op->rec.name);
	config_change_commit(op->e->ev, op->e->ev, op->e->sto, &c, on_changed,
			     op);
}

static void on_sched_reply(int64_t status, const char *text, void *priv)
{
	struct op *op = priv;
	json_t *j = json_loads(text, 0, NULL);

	if (status == 503 && !json_object_size(j)) {
		json_decref(j);
		reply_error(
			op, 503, ERR_UNAVAILABLE,
			"not done: no scheduler owns the shard now; try again");
	} else if (status == 504) {
		json_decref(j);
		reply_error(op, 504, ERR_UNAVAILABLE,
			    "unknown: send the same operation id again");
	} else {
		reply(op, status, j ? j : json_object());
	}
}

static void call_sched(struct op *op, const char *verb, const char *key,
		       json_t *arg)
{
	char *text = json_dumps(arg, JSON_COMPACT);

	schedc_call(op->e->schedc, verb, key, text,
		    entry_now_ms(op->e) + OP_DEADLINE_MS, on_sched_reply, op);
	free(text);
	json_decref(arg);
}

static json_t *wrap_record(const struct op *op)
{
	return json_pack("{s:o}", "rec", rec_to_json(&op->rec));
}

/* Returns the revision given in the path as "@REVISION", or -1. */
static int64_t path_revision(const struct op *op)
{
	const char *at = strstr(op->creq->path, "@");

	return at ? strtoll(at + 1, NULL, 10) : -1;
}

static bool parse_record(struct op *op)
{
	struct err e = { 0 };

	if (!*op->creq->id) {
		reply_error(
			op, 400, ERR_RECORD,
			"Operation-Id is missing: give each operation an id of "
			"its own and repeat it when you try again");
		return false;
	}
	if (!rec_parse_text(op->creq->body, &op->rec, &e)) {
		reply_error(op, 400, e.kind, e.text);
		return false;
	}
	return true;
}

static void submit(struct op *op)
{
	if (!parse_record(op))
		return;
	if (op->rec.kind == REC_BATCH) {
		call_sched(op, "submit", op->rec.name,
			   json_pack("{s:s,s:o}", "op", op->creq->id, "rec",
				     rec_to_json(&op->rec)));
		return;
	}
	commit_config(op, wrap_record(op), CONFIG_CHANGE_ABSENT, 0);
}

static void amend(struct op *op)
{
	int64_t at = path_revision(op);

	if (!parse_record(op))
		return;
	if (op->rec.kind == REC_BATCH) {
		call_sched(op, "amend", op->rec.name,
			   json_pack("{s:s,s:I,s:o}", "op", op->creq->id, "at",
				     (json_int_t)at, "rec",
				     rec_to_json(&op->rec)));
		return;
	}
	commit_config(op, wrap_record(op),
		      at < 0 ? CONFIG_CHANGE_ANY : CONFIG_CHANGE_AT_REVISION,
		      at);
}

static void withdraw(struct op *op)
{
	int64_t at = path_revision(op);

	if (!parse_record(op))
		return;
	if (op->rec.kind == REC_BATCH) {
		call_sched(op, "withdraw", op->rec.name,
			   json_pack("{s:s,s:s}", "op", op->creq->id, "name",
				     op->rec.name));
		return;
	}
	commit_config(op, NULL,
		      at < 0 ? CONFIG_CHANGE_ANY : CONFIG_CHANGE_AT_REVISION,
		      at);
}

static void show_records(struct op *op)
{
	reply(op, 200,
	      json_pack("{s:I,s:O}", "revision",
			(json_int_t)config_watch_revision(op->e->config),
			"rows", config_watch_rows(op->e->config)));
}

static const char *last_path_segment(const struct op *op)
{
	const char *slash = strrchr(op->creq->path, '/');

	return slash ? slash + 1 : "";
}

static void trace(struct op *op)
{
	call_sched(op, "trace", last_path_segment(op),
		   json_pack("{s:s}", "name", last_path_segment(op)));
}

static void on_shard_reply(int64_t status, const char *text, void *priv)
{
	struct op *op = priv;
	json_t *j = json_loads(text, 0, NULL);

	json_array_append_new(op->shard_replies,
			      json_pack("{s:I,s:o}", "status",
					(json_int_t)status, "body",
					j ? j : json_object()));
	if (--op->n_awaited == 0)
		reply(op, 200, json_pack("{s:O}", "shards", op->shard_replies));
}

/* Calls `verb` at every shard and replies with the list of all answers. */
static void call_all_shards(struct op *op, const char *verb)
{
	op->shard_replies = json_array();
	op->n_awaited = (int)op->e->settings.shards;
	for (int i = 0; i < op->e->settings.shards; i++)
		schedc_call_shard(op->e->schedc, i, verb, "{}",
				  entry_now_ms(op->e) + OP_DEADLINE_MS / 4,
				  on_shard_reply, op);
}

static void ledger(struct op *op)
{
	call_all_shards(op, "ledger");
}

static void batch_status(struct op *op)
{
	call_all_shards(op, "status");
}

static void status(struct op *op)
{
	const struct entry *e = op->e;
	const struct view *v = e->view;
	json_t *members = json_array();
	json_t *out = json_array();

	for (int i = 0; v && i < v->n_members; i++)
		json_array_append_new(members,
				      json_pack("{s:s,s:s,s:b}", "id",
						v->members[i].id, "domain",
						v->members[i].domain, "ready",
						v->members[i].ready));
	for (int i = 0; v && i < v->n_out_domains; i++)
		json_array_append_new(out, json_string(v->out_domains[i]));
	reply(op, 200,
	      json_pack("{s:s,s:I,s:b,s:b,s:o,s:o,s:i,s:i}", "id",
			e->settings.id, "revision",
			(json_int_t)config_watch_revision(e->config), "permit",
			permit_is_held(&e->permit, entry_now_ms(e)), "joined",
			e->joined, "members", members, "domains_out", out,
			"groups", v ? v->n_groups : 0, "vms",
			v ? v->n_vms : 0));
}

struct route {
	const char *method;
	const char *prefix;
	void (*run)(struct op *op);
};

static const struct route routes[] = {
	{ "POST", "/v1/submit", submit },
	{ "POST", "/v1/amend", amend },
	{ "POST", "/v1/withdraw", withdraw },
	{ "GET", "/v1/records", show_records },
	{ "GET", "/v1/trace/", trace },
	{ "GET", "/v1/ledger", ledger },
	{ "GET", "/v1/batch", batch_status },
	{ "GET", "/v1/status", status },
};

void ops_handle_request(struct entry *e, struct client_request *creq)
{
	struct op *op = talloc_zero(e->ev, struct op);

	op->e = e;
	op->creq = creq;
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		const struct route *r = &routes[i];

		if (strcmp(r->method, creq->method) != 0 ||
		    strncmp(r->prefix, creq->path, strlen(r->prefix)) != 0)
			continue;
		r->run(op);
		return;
	}
	reply_error(op, 404, ERR_ABSENT, "no such path: see the README");
}
