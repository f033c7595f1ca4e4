/*
 * gd-site: simulator of the platform for tests. Serves the row store, the
 * workers and the list of VMs on one port. Writes starts and ends of tasks to
 * standard output. Tests change rows and inject faults through /control/.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "standins/site.h"

#define BODY_MAX (1u << 20)
#define TICK_MS 5

int64_t site_now_ms(void)
{
	return clk_mono_ms(&clk_system);
}

void site_reply(struct site *s, struct hts_req *req, unsigned int status,
		json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	if (!s->suppress_response)
		hts_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(body);
}

static void handle_control(struct site *s, struct hts_req *req)
{
	json_t *body = json_loadb(req->body, req->body_len, 0, NULL);

	if (!strcmp(req->path, "/control/row")) {
		const char *value =
			json_string_value(json_object_get(body, "value"));

		store_put(s, json_string_value(json_object_get(body, "table")),
			  "", json_string_value(json_object_get(body, "key")),
			  value);
	} else if (!strcmp(req->path, "/control/fault")) {
		s->responses_to_drop = json_integer_value(
			json_object_get(body, "lose_answers"));
		s->requests_to_drop =
			json_integer_value(json_object_get(body, "lose_calls"));
	} else if (!strcmp(req->path, "/control/store")) {
		faults_set_store(s, body);
	} else if (!strcmp(req->path, "/control/worker")) {
		workers_control(s, body);
	}
	json_decref(body);
	site_reply(s, req, 200, json_object());
}

static void on_request(struct hts_req *req, void *priv)
{
	struct site *s = priv;

	if (!strncmp(req->path, "/control/", 9))
		handle_control(s, req);
	else if (!strncmp(req->path, "/v1/rows-", 9))
		faults_handle_store(s, req);
	else if (!workers_handle(s, req))
		site_reply(s, req, 404, json_object());
}

static void tick(struct tevent_context *ev, struct tevent_timer *te,
		 struct timeval now, void *priv)
{
	struct site *s = priv;

	(void)te;
	faults_tick(s);
	workers_tick(s);
	store_tick(s);
	tevent_add_timer(ev, s, tevent_timeval_add(&now, 0, TICK_MS * 1000),
			 tick, s);
}

int main(int argc, char **argv)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct site *s = talloc_zero(ev, struct site);
	struct hts_options opt = { .ip = "127.0.0.1",
				   .body_max = BODY_MAX,
				   .idle_timeout_s = 60 };
	struct err err;

	if (argc < 3) {
		fprintf(stderr,
			"usage: gd-site PORT WORKERS"
			" [WORKER-PORTS [LEASE-MAX-MS [overcommit]]]\n");
		return 64;
	}
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	s->ev = ev;
	s->port = atoi(argv[1]);
	s->worker_port_base = argc > 3 ? atoi(argv[3]) : 0;
	s->lease_max_ms = argc > 4 ? atoll(argv[4]) : 0;
	s->overcommits = argc > 5 && !strcmp(argv[5], "overcommit");
	faults_init(s);
	store_init(s);
	workers_init(s, atoi(argv[2]));
	opt.port = (uint16_t)s->port;
	if (!hts_start(ev, ev, &opt, on_request, s, &err)) {
		fprintf(stderr, "%s\n", err.text);
		return 1;
	}
	tick(ev, NULL, tevent_timeval_current(), s);
	return tevent_loop_wait(ev);
}
