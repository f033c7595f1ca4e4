/*
 * gd-target: simulator of targets, each with SLOTS slots on a port of its own.
 * Logs every start, end and rejection to standard output.
 */
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "base/clk.h"
#include "transport/hts.h"

#define SLOTS 8
#define CONNECTIONS 60 /* per target */
#define BODY_MAX (1u << 20)

struct target {
	struct tevent_context *ev;
	char id[64];
	int64_t busy; /* slots in use */
	int *log_fd;
};

/* A request that occupies a slot. */
struct active_request {
	struct target *t;
	struct hts_req *req;
	char request_id[128];
	int64_t serial; /* unique in this process */
	bool no_response;
	bool wrong_id; /* responds with another Request-Id */
	json_t *echo; /* request body, returned in the response */
};

static int64_t next_serial;

static void write_log(struct target *t, const char *what, const char *id,
		      int64_t serial)
{
	char line[256];
	int n = snprintf(line, sizeof(line),
			 "%" PRId64 " %s %s %s %" PRId64 " busy=%" PRId64 "\n",
			 clk_mono_us(&clk_system), what, t->id, id, serial,
			 t->busy);

	if (write(*t->log_fd, line, n) != n)
		abort();
}

static void on_end(struct tevent_context *ev, struct tevent_timer *te,
		   struct timeval now, void *priv)
{
	struct active_request *r = priv;
	char *text;
	json_t *j;

	(void)ev;
	(void)te;
	(void)now;
	r->t->busy--;
	write_log(r->t, "end", r->request_id, r->serial);
	if (!r->no_response) {
		j = json_pack("{s:s,s:s,s:O}", "target", r->t->id, "request_id",
			      r->request_id, "echo", r->echo);
		text = json_dumps(j, JSON_COMPACT);
		hts_reply_header(r->req, "Request-Id",
				 r->wrong_id ? "another" : r->request_id);
		hts_reply(r->req, 200, "application/json", text, strlen(text));
		free(text);
		json_decref(j);
	}
	json_decref(r->echo);
	talloc_free(r);
}

static int64_t header_int(struct hts_req *req, const char *name, int64_t dflt)
{
	const char *s = hts_header(req, name);

	return s ? strtoll(s, NULL, 10) : dflt;
}

static void on_request(struct hts_req *req, void *priv)
{
	struct target *t = priv;
	const char *id = hts_header(req, "Request-Id");
	json_t *body = json_loads(req->body, JSON_DECODE_ANY, NULL);
	int64_t work_us = json_integer_value(json_object_get(body, "work_us"));
	int64_t max_work_us = header_int(req, "Deadline-Ms", 3600000) * 1000;
	struct active_request *r;

	if (t->busy >= SLOTS) {
		write_log(t, "over", id ? id : "-", 0);
		hts_reply_header(req, "X-Not-Started", "1");
		hts_reply(req, 503, "text/plain", "", 0);
		json_decref(body);
		return;
	}
	r = talloc_zero(t->ev, struct active_request);
	r->t = t;
	r->req = req;
	r->serial = ++next_serial;
	r->echo = body ? body : json_null();
	/* Executes the request and never responds. */
	r->no_response = json_is_true(json_object_get(body, "silent"));
	r->wrong_id = json_is_true(json_object_get(body, "crossed"));
	snprintf(r->request_id, sizeof(r->request_id), "%s", id ? id : "-");
	t->busy++;
	write_log(t, "start", r->request_id, r->serial);
	if (work_us > max_work_us)
		work_us = max_work_us;
	tevent_add_timer(t->ev, r,
			 tevent_timeval_current_ofs(work_us / 1000000,
						    work_us % 1000000),
			 on_end, r);
}

int main(int argc, char **argv)
{
	struct hts_options opt = { .ip = "127.0.0.1",
				   .body_max = BODY_MAX,
				   .idle_timeout_s = 3600,
				   .connections_max = CONNECTIONS };
	struct tevent_context *ev;
	struct err err;
	int log_fd = STDOUT_FILENO;

	if (argc < 4) {
		fprintf(stderr, "usage: gd-target PREFIX FIRST-PORT COUNT\n");
		return 64;
	}
	signal(SIGPIPE, SIG_IGN);
	ev = tevent_context_init(NULL);
	for (int i = 0; i < atoi(argv[3]); i++) {
		struct target *t = talloc_zero(ev, struct target);

		t->ev = ev;
		t->log_fd = &log_fd;
		snprintf(t->id, sizeof(t->id), "%s-%d", argv[1], i);
		opt.port = (uint16_t)(atoi(argv[2]) + i);
		if (!hts_start(ev, ev, &opt, on_request, t, &err)) {
			fprintf(stderr, "%s\n", err.text);
			return 1;
		}
	}
	return tevent_loop_wait(ev);
}
