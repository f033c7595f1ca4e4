/* HTTP API of the entry daemon: validates requests and sends replies. */
#include "entry/frontend.h"

#include <ctype.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/urcu-memb.h>

#include "daemon/memory_limit.h"
#include "entry/metrics.h"

#define CALL_PREFIX "/v1/call/"
#define OPERATION_PREFIX "/v1/"
#define BODY_MAX_BYTES (1 << 20)
#define IDLE_TIMEOUT_S 60
/* Parts of the memory limit: connections get a third, bodies a twelfth. A body
 * takes up to four times its size: request, copy for the core thread, message
 * to the owner of the group, queue there. */
#define CONNECTIONS_SHARE 3
#define BODIES_SHARE 12
#define CONNECTION_BYTES (HTS_CONNECTION_BYTES + 2 * HTS_SEND_BUFFER_BYTES)
#define DEADLINE_MAX_MS (8LL * 3600 * 1000)

struct frontend {
	struct entry *e;
	struct tevent_context *ev;
	struct hts *http;
	struct mbx mbx;
	pthread_t thread;
	pthread_mutex_t started_lock;
	pthread_cond_t started_cond;
	bool started;
	bool failed;
	struct err *err;
	_Atomic uint32_t n_open;
	_Atomic bool stop_accepting;
	_Atomic bool stop_requested;
};

static void reply_json(struct hts_req *req, unsigned int status, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	hts_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(j);
}

static void reject(struct hts_req *req, unsigned int status, const char *text)
{
	reply_json(req, status,
		   json_pack("{s:s,s:s,s:s}", "outcome", "not_run", "error",
			     "record", "text", text));
}

/*
 * Ids are copied into headers, log lines and row keys, so they must be
 * printable and free of blanks and separators.
 */
static bool id_is_valid(const char *s, size_t max)
{
	size_t n = 0;

	for (; s[n]; n++) {
		if (n + 1 >= max || !isgraph((unsigned char)s[n]) ||
		    strchr("\"\\?&#%/", s[n]))
			return false;
	}
	return n > 0;
}

static bool parse_deadline(const char *text, int64_t *ms)
{
	char *end;
	long long v = strtoll(text, &end, 10);

	if (end == text || *end || v < 1 || v > DEADLINE_MAX_MS)
		return false;
	*ms = v;
	return true;
}

static struct client_request *new_client_request(struct frontend *f,
						 struct hts_req *req)
{
	struct client_request *creq = calloc(1, sizeof(*creq));

	creq->frontend = f;
	creq->http = req;
	creq->arrived_us = clk_mono_us(f->e->clk);
	snprintf(creq->method, sizeof(creq->method), "%s", req->method);
	snprintf(creq->path, sizeof(creq->path), "%s", req->path);
	creq->body_len = req->body_len;
	creq->body = malloc(req->body_len + 1);
	memcpy(creq->body, req->body, req->body_len + 1);
	return creq;
}

static void free_client_request(struct client_request *creq)
{
	free(creq->body);
	free(creq->reply);
	free(creq);
}

/* The core thread owns `creq` until frontend_reply. */
static void post_to_core(struct frontend *f, struct client_request *creq)
{
	atomic_fetch_add(&f->n_open, 1);
	mbx_post(&f->e->mbx, &creq->link);
}

/* Copies the record of a service. Returns false if there is none. */
static bool copy_service(struct entry *e, const char *name, struct rec *out)
{
	const struct view *v;
	const struct rec *r = NULL;

	urcu_memb_read_lock();
	v = rcu_dereference(e->view);
	if (v)
		r = view_find_service(v, name);
	if (r)
		*out = *r;
	urcu_memb_read_unlock();
	return r != NULL;
}

/* Fills in `creq` from the headers. Returns an error text or NULL. */
static const char *parse_call_headers(struct frontend *f,
				      struct client_request *creq,
				      const struct rec *service)
{
	const char *id = hts_header(creq->http, "Request-Id");
	const char *tenant = hts_header(creq->http, "Tenant");
	const char *deadline = hts_header(creq->http, "Deadline-Ms");
	const char *attempt = hts_header(creq->http, "Attempt");
	int64_t ms = service->timeout_ms;

	creq->idempotent = service->idempotent;
	snprintf(creq->pool, sizeof(creq->pool), "%s", service->pool);
	creq->first_attempt = !id || (attempt && !strcmp(attempt, "1"));
	if (!id && !service->idempotent)
		return "Request-Id is missing: this service is not "
		       "idempotent, so give each request an id of its own";
	if (id && !id_is_valid(id, sizeof(creq->id)))
		return "Request-Id is not plain: use up to 95 letters, "
		       "digits and - _ . :";
	if (tenant && !id_is_valid(tenant, sizeof(creq->tenant)))
		return "Tenant is not plain: use up to 63 letters, digits "
		       "and - _ . :";
	if (deadline && !parse_deadline(deadline, &ms))
		return "Deadline-Ms is not a number of milliseconds: give "
		       "1 to 28800000";
	if (ms > service->timeout_ms)
		ms = service->timeout_ms;
	creq->deadline_ms = creq->arrived_us / 1000 + ms;
	snprintf(creq->tenant, sizeof(creq->tenant), "%s",
		 tenant ? tenant : service->team);
	if (id)
		snprintf(creq->id, sizeof(creq->id), "%s", id);
	else
		snprintf(creq->id, sizeof(creq->id), "%s-%llx-%llx",
			 f->e->settings.id,
			 (unsigned long long)f->e->incarnation,
			 (unsigned long long)atomic_fetch_add(
				 &f->e->stats.generated_ids, 1));
	return NULL;
}

static void on_call(struct frontend *f, struct hts_req *req)
{
	const char *name = req->path + strlen(CALL_PREFIX);
	struct client_request *creq;
	struct rec service;
	const char *error;

	if (strcmp(req->method, "POST") != 0) {
		reject(req, 405, "use POST");
		return;
	}
	if (strlen(name) >= REC_NAME_MAX ||
	    !copy_service(f->e, name, &service)) {
		reject(req, 404, "no such service: submit its record first");
		return;
	}
	if ((int64_t)req->body_len > service.body_max_bytes) {
		atomic_fetch_add(&entry_service_stats(f->e, name)->refused, 1);
		reject(req, 413, "body is longer than the service allows");
		return;
	}
	creq = new_client_request(f, req);
	snprintf(creq->service, sizeof(creq->service), "%s", name);
	error = parse_call_headers(f, creq, &service);
	if (error) {
		atomic_fetch_add(&entry_service_stats(f->e, name)->refused, 1);
		reject(req, 400, error);
		free_client_request(creq);
		return;
	}
	post_to_core(f, creq);
}

static void on_operation(struct frontend *f, struct hts_req *req)
{
	const char *id = hts_header(req, "Operation-Id");
	struct client_request *creq;

	if (id && !id_is_valid(id, ENTRY_ID_MAX)) {
		reject(req, 400,
		       "Operation-Id is not plain: use up to 95 "
		       "letters, digits and - _ . :");
		return;
	}
	creq = new_client_request(f, req);
	creq->operation = true;
	snprintf(creq->id, sizeof(creq->id), "%s", id ? id : "");
	post_to_core(f, creq);
}

static void on_metrics(struct frontend *f, struct hts_req *req)
{
	size_t len;
	char *text = metrics_text(f->e, &len);

	hts_reply(req, 200, "text/plain; version=0.0.4", text, len);
	free(text);
}

static void on_ready(struct frontend *f, struct hts_req *req)
{
	bool ready = atomic_load(&f->e->stats.permit) &&
		     !atomic_load(&f->e->stopping);

	hts_reply(req, ready ? 200 : 503, "text/plain",
		  ready ? "ready\n" : "not ready\n", ready ? 6 : 10);
}

static void on_request(struct hts_req *req, void *priv)
{
	struct frontend *f = priv;

	if (!strncmp(req->path, CALL_PREFIX, strlen(CALL_PREFIX)))
		on_call(f, req);
	else if (!strncmp(req->path, OPERATION_PREFIX,
			  strlen(OPERATION_PREFIX)))
		on_operation(f, req);
	else if (!strcmp(req->path, "/metrics"))
		on_metrics(f, req);
	else if (!strcmp(req->path, "/ready"))
		on_ready(f, req);
	else
		reject(req, 404, "no such path");
}

static void record_stats(struct frontend *f, const struct client_request *creq)
{
	struct service_stats *c = entry_service_stats(f->e, creq->service);

	atomic_fetch_add(&c->outcomes[creq->outcome], 1);
	hist_record(&c->latency, clk_mono_us(f->e->clk) - creq->arrived_us);
}

static unsigned int http_status(const struct client_request *creq)
{
	if (creq->outcome == MSG_ANSWERED)
		return creq->status ? (unsigned int)creq->status : 200;
	if (creq->status)
		return (unsigned int)creq->status;
	return creq->outcome == MSG_NOT_RUN ? 503 : 504;
}

static void reply_call(struct client_request *creq)
{
	hts_reply_header(creq->http, "Request-Id", creq->id);
	hts_reply_header(creq->http, "Outcome",
			 msg_outcome_name(creq->outcome));
	if (creq->outcome == MSG_ANSWERED) {
		hts_reply(creq->http, http_status(creq), "application/json",
			  creq->reply ? creq->reply : "", creq->reply_len);
		return;
	}
	reply_json(creq->http, http_status(creq),
		   json_pack("{s:s,s:s,s:s}", "outcome",
			     msg_outcome_name(creq->outcome), "request_id",
			     creq->id, "reason",
			     creq->reason ? creq->reason : ""));
}

static void on_core_reply(struct mbx_item *link, void *priv)
{
	struct client_request *creq =
		caa_container_of(link, struct client_request, link);
	struct frontend *f = priv;

	if (atomic_load(&f->e->stopping))
		hts_reply_header(creq->http, "Connection", "close");
	if (creq->operation) {
		hts_reply(creq->http, (unsigned int)creq->status,
			  "application/json", creq->reply, creq->reply_len);
	} else {
		record_stats(f, creq);
		reply_call(creq);
	}
	free_client_request(creq);
	atomic_fetch_sub(&f->n_open, 1);
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct frontend *f = priv;

	(void)te;
	(void)now;
	if (atomic_load(&f->stop_accepting) && f->http)
		hts_quiesce(f->http);
	tevent_add_timer(ev, f->ev, tevent_timeval_current_ofs(0, 50000),
			 on_tick, f);
}

static void signal_started(struct frontend *f, bool failed)
{
	pthread_mutex_lock(&f->started_lock);
	f->started = true;
	f->failed = failed;
	pthread_cond_signal(&f->started_cond);
	pthread_mutex_unlock(&f->started_lock);
}

static void *frontend_main(void *priv)
{
	struct frontend *f = priv;
	const struct settings *s = &f->e->settings;
	int64_t memory = memory_limit_bytes(s) / s->door_threads;
	int64_t bodies = MIN(s->bodies_mib << 20, memory / BODIES_SHARE);
	struct hts_options opt = {
		.ip = s->ip,
		.port = (uint16_t)s->http_port,
		.body_max = (size_t)MIN(BODY_MAX_BYTES, bodies / 2),
		.idle_timeout_s = IDLE_TIMEOUT_S,
		.connections_max = (uint32_t)MIN(s->connections_max,
						 memory / CONNECTIONS_SHARE /
							 CONNECTION_BYTES),
		.bodies_bytes = bodies,
		.share_port = true
	};

	urcu_memb_register_thread();
	f->ev = tevent_context_init(NULL);
	mbx_init(&f->mbx, f->ev, f->ev, on_core_reply, f);
	f->http = hts_start(f->ev, f->ev, &opt, on_request, f, f->err);
	signal_started(f, !f->http);
	on_tick(f->ev, NULL, tevent_timeval_zero(), f);
	while (!atomic_load(&f->stop_requested)) {
		if (tevent_loop_once(f->ev) != 0)
			break;
	}
	mbx_finish(&f->mbx);
	talloc_free(f->ev);
	urcu_memb_unregister_thread();
	return NULL;
}

struct frontend *frontend_start(struct entry *e, struct err *err)
{
	struct frontend *f = calloc(1, sizeof(*f));

	f->e = e;
	f->err = err;
	pthread_mutex_init(&f->started_lock, NULL);
	pthread_cond_init(&f->started_cond, NULL);
	pthread_create(&f->thread, NULL, frontend_main, f);
	pthread_mutex_lock(&f->started_lock);
	while (!f->started)
		pthread_cond_wait(&f->started_cond, &f->started_lock);
	pthread_mutex_unlock(&f->started_lock);
	if (!f->failed)
		return f;
	frontend_stop(f);
	return NULL;
}

void frontend_reply(struct client_request *creq)
{
	mbx_post(&creq->frontend->mbx, &creq->link);
}

void frontend_stop_accepting(struct frontend *f)
{
	atomic_store(&f->stop_accepting, true);
}

uint32_t frontend_open_requests(const struct frontend *f)
{
	return atomic_load(&f->n_open);
}

void frontend_stop(struct frontend *f)
{
	atomic_store(&f->stop_requested, true);
	pthread_join(f->thread, NULL);
	pthread_mutex_destroy(&f->started_lock);
	pthread_cond_destroy(&f->started_cond);
	free(f);
}
