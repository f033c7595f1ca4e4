/* HTTP client of the platform's table service, object store and VM list. */
#include "state/sto.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"

#define URL_MAX 512

struct sto {
	struct htc *http;
	const struct clk *clk;
	char url[256];
	int64_t timeout_ms;
	bool failing;
	struct sto_counts counts;
};

struct call {
	struct sto *s;
	sto_done done;
	void *priv;
};

struct sto *sto_start(void *ctx, struct tevent_context *ev, struct htc *http,
		      const struct clk *clk, const char *url,
		      int64_t timeout_ms)
{
	struct sto *s = talloc_zero(ctx, struct sto);

	(void)ev;
	s->http = http;
	s->clk = clk;
	s->timeout_ms = timeout_ms;
	snprintf(s->url, sizeof(s->url), "%s", url);
	return s;
}

static enum sto_result classify(const struct htc_response *ans)
{
	if (ans->result == HTC_NOT_SENT)
		return STO_NO_EFFECT;
	if (ans->result == HTC_UNKNOWN)
		return STO_UNKNOWN;
	if (ans->status == 200)
		return STO_OK;
	if (ans->status == 409)
		return STO_CONFLICT;
	/* The service says whether it refused the call before any effect. */
	return ans->not_started ? STO_NO_EFFECT : STO_UNKNOWN;
}

static void log_health(struct sto *s, enum sto_result res)
{
	bool failed = res == STO_NO_EFFECT || res == STO_UNKNOWN;

	if (failed)
		s->counts.failures++;
	if (failed == s->failing)
		return;
	s->failing = failed;
	log_event(failed ? LOG_STORE_DOWN : LOG_STORE_UP, "url=%s", s->url);
}

static void on_answer(const struct htc_response *ans, void *priv)
{
	struct call *call = priv;
	enum sto_result res = classify(ans);
	json_t *body = NULL;

	if (res == STO_OK || res == STO_CONFLICT) {
		body = json_loadb(ans->body, ans->body_len, JSON_DECODE_ANY,
				  NULL);
		if (!body)
			res = STO_UNKNOWN;
	}
	log_health(call->s, res);
	call->done(res, body, call->priv);
	json_decref(body);
	free(call);
}

static void send_call(struct sto *s, const char *method, const char *path,
		      const char *body, sto_done done, void *priv)
{
	struct call *call = calloc(1, sizeof(*call));
	char url[URL_MAX];
	struct htc_request req = {
		.method = method,
		.url = url,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.timeout_ms = s->timeout_ms,

		/* The HTTP client sends no request twice, not even a write. */
		.exclusive_connection = false,
	};

	call->s = s;
	call->done = done;
	call->priv = priv;
	snprintf(url, sizeof(url), "%s%s", s->url, path);
	htc_send(s->http, &req, on_answer, call);
}

void sto_tx_init(struct sto_tx *tx)
{
	tx->conditions = json_object();
	tx->puts = json_object();
}

void sto_tx_if(struct sto_tx *tx, const char *key, int64_t revision)
{
	json_object_set_new(tx->conditions, key, json_integer(revision));
}

void sto_tx_put(struct sto_tx *tx, const char *key, json_t *value)
{
	json_object_set_new(tx->puts, key, value ? value : json_null());
}

void sto_commit(struct sto *s, struct sto_tx *tx, sto_done done, void *priv)
{
	json_t *body =
		json_pack("{s:o,s:o}", "if", tx->conditions, "put", tx->puts);
	char *text = json_dumps(body, JSON_COMPACT);

	s->counts.transactions++;
	s->counts.writes += (int64_t)json_object_size(tx->puts);
	send_call(s, "POST", "/tx", text, done, priv);
	free(text);
	json_decref(body);
}

static void send_read(struct sto *s, const char *what, const char *arg,
		      sto_done done, void *priv)
{
	char path[URL_MAX / 2];

	snprintf(path, sizeof(path), "%s%s", what, arg);
	s->counts.reads++;
	send_call(s, "GET", path, NULL, done, priv);
}

void sto_get(struct sto *s, const char *key, sto_done done, void *priv)
{
	send_read(s, "/row?k=", key, done, priv);
}

void sto_scan(struct sto *s, const char *prefix, sto_done done, void *priv)
{
	send_read(s, "/rows?prefix=", prefix, done, priv);
}

void sto_list_vms(struct sto *s, sto_done done, void *priv)
{
	send_read(s, "/vms", "", done, priv);
}

void sto_get_object(struct sto *s, const char *name, sto_done done, void *priv)
{
	send_read(s, "/object/", name, done, priv);
}

void sto_put_object(struct sto *s, const char *name, const char *text,
		    sto_done done, void *priv)
{
	char path[URL_MAX / 2];

	snprintf(path, sizeof(path), "/object/%s", name);
	s->counts.transactions++;
	send_call(s, "PUT", path, text, done, priv);
}

void sto_delete_object(struct sto *s, const char *name, sto_done done,
		       void *priv)
{
	char path[URL_MAX / 2];

	snprintf(path, sizeof(path), "/object/%s", name);
	send_call(s, "DELETE", path, NULL, done, priv);
}

const struct sto_counts *sto_counts(const struct sto *s)
{
	return &s->counts;
}
