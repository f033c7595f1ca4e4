/*
 * Stand-in for the platform's policy service (POST /v1/advise): allows a step
 * only on the workers whose ids begin with PREFIX. Answers one call at a time,
 * DECIDE_MS plus PER_ITEM_MS for each worker named after the one before, and
 * writes each call to standard output.
 *   advisor PORT PREFIX
 */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clk.h"
#include "transport/hts.h"

#define DECIDE_MS 40
#define PER_ITEM_MS 2
#define VALID_MS 30000
#define WORKERS_MAX 100

struct advisor {
	struct tevent_context *ev;
	const char *prefix;
	int64_t free_ms; /* when the calls before have been answered */
};

struct call {
	struct hts_req *req;
	char *text;
};

static void answer(struct tevent_context *ev, struct tevent_timer *te,
		   struct timeval now, void *priv)
{
	struct call *c = priv;

	(void)ev;
	(void)te;
	(void)now;
	hts_reply(c->req, 200, "application/json", c->text, strlen(c->text));
	free(c->text);
	free(c);
}

static void on_request(struct hts_req *req, void *priv)
{
	struct advisor *a = priv;
	json_t *body = json_loadb(req->body, req->body_len, 0, NULL);
	const char *step = json_string_value(json_object_get(body, "step"));
	const json_t *workers = json_object_get(body, "workers");
	size_t n = json_array_size(workers);
	json_t *allowed = json_array();
	int64_t now = clk_mono_ms(&clk_system);
	struct call *c;
	int64_t wait_ms;
	json_t *id;
	size_t i;

	if (strcmp(req->path, "/v1/advise") || !step || n > WORKERS_MAX) {
		hts_reply(req, 400, "application/json", "{}", 2);
		json_decref(allowed);
		json_decref(body);
		return;
	}
	json_array_foreach((json_t *)workers, i, id)
	{
		if (g_str_has_prefix(json_string_value(id), a->prefix))
			json_array_append_new(allowed,
					      json_pack("[O,s]", id, "ticket"));
	}
	printf("%lld advise %s asked=%zu allowed=%zu first=%s last=%s\n",
	       (long long)now, step, n, json_array_size(allowed),
	       n ? json_string_value(json_array_get(workers, 0)) : "-",
	       n ? json_string_value(json_array_get(workers, n - 1)) : "-");
	c = calloc(1, sizeof(*c));
	c->req = req;
	json_decref(body);
	body = json_pack("{s:o,s:I,s:I}", "allowed", allowed, "valid_ms",
			 (json_int_t)VALID_MS, "clock_ms", (json_int_t)now);
	c->text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	a->free_ms =
		MAX(a->free_ms, now) + DECIDE_MS + PER_ITEM_MS * (int64_t)n;
	wait_ms = a->free_ms - now;
	tevent_add_timer(
		a->ev, a->ev,
		tevent_timeval_current_ofs((uint32_t)(wait_ms / 1000),
					   (uint32_t)(wait_ms % 1000 * 1000)),
		answer, c);
}

int main(int argc, char **argv)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct advisor a = { .ev = ev, .prefix = argc > 2 ? argv[2] : "" };
	struct hts_options opt = { .ip = "127.0.0.1",
				   .body_max = 1 << 20,
				   .idle_timeout_s = 60 };
	struct err err;

	if (argc < 3) {
		fprintf(stderr, "usage: advisor PORT PREFIX\n");
		return 64;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	opt.port = (uint16_t)atoi(argv[1]);
	if (!hts_start(ev, ev, &opt, on_request, &a, &err)) {
		fprintf(stderr, "%s\n", err.text);
		return 1;
	}
	return tevent_loop_wait(ev);
}
