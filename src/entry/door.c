/* HTTP for callers and operators: checks input, hands on, answers. */
#include "entry/door.h"

#include <ctype.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/urcu-memb.h>

#include "entry/metrics.h"

#define CALL_PREFIX "/v1/call/"
#define OPERATION_PREFIX "/v1/"
#define BODY_MAX_BYTES (1u << 20)
#define IDLE_TIMEOUT_S 60
#define DEADLINE_MAX_MS (8LL * 3600 * 1000)

struct door {
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
	_Atomic uint32_t active;
	_Atomic bool quiescing;
	_Atomic bool ending;
};

static void reply_json(struct hts_req *req, unsigned int status, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	hts_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(j);
}

static void refuse(struct hts_req *req, unsigned int status, const char *text)
{
	reply_json(req, status,
		   json_pack("{s:s,s:s,s:s}", "outcome", "not_run", "error",
			     "record", "text", text));
}

/* Identifiers end up in headers, logs and keys: printable, no space. */
static bool id_is_plain(const char *s, size_t max)
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

static struct call_item *new_item(struct door *d, struct hts_req *req)
{
	struct call_item *item = calloc(1, sizeof(*item));

	item->door = d;
	item->http = req;
	item->arrived_us = clk_mono_us(d->e->clk);
	snprintf(item->method, sizeof(item->method), "%s", req->method);
	snprintf(item->path, sizeof(item->path), "%s", req->path);
	item->body_len = req->body_len;
	item->body = malloc(req->body_len + 1);
	memcpy(item->body, req->body, req->body_len + 1);
	return item;
}

static void free_item(struct call_item *item)
{
	free(item->body);
	free(item->reply);
	free(item);
}

static void hand_over(struct door *d, struct call_item *item)
{
	atomic_fetch_add(&d->active, 1);
	mbx_post(&d->e->mbx, &item->link);
}

/* What the configuration says of a service; false if there is none. */
static bool find_service(struct entry *e, const char *name, struct rec *out)
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

static const char *check_call(struct door *d, struct call_item *item,
			      const struct rec *service)
{
	const char *id = hts_header(item->http, "Request-Id");
	const char *tenant = hts_header(item->http, "Tenant");
	const char *deadline = hts_header(item->http, "Deadline-Ms");
	const char *attempt = hts_header(item->http, "Attempt");
	int64_t ms = service->timeout_ms;

	item->idempotent = service->idempotent;
	snprintf(item->pool, sizeof(item->pool), "%s", service->pool);
	item->first_attempt = !id || (attempt && !strcmp(attempt, "1"));
	if (!id && !service->idempotent)
		return "Request-Id is missing: this service is not "
		       "idempotent, so give each request an id of its own";
	if (id && !id_is_plain(id, sizeof(item->id)))
		return "Request-Id is not plain: use up to 95 letters, "
		       "digits and - _ . :";
	if (tenant && !id_is_plain(tenant, sizeof(item->tenant)))
		return "Tenant is not plain: use up to 63 letters, digits "
		       "and - _ . :";
	if (deadline && !parse_deadline(deadline, &ms))
		return "Deadline-Ms is not a number of milliseconds: give "
		       "1 to 28800000";
	if (ms > service->timeout_ms)
		ms = service->timeout_ms;
	item->deadline_ms = item->arrived_us / 1000 + ms;
	snprintf(item->tenant, sizeof(item->tenant), "%s",
		 tenant ? tenant : service->team);
	if (id)
		snprintf(item->id, sizeof(item->id), "%s", id);
	else
		snprintf(item->id, sizeof(item->id), "%s-%llx-%llx",
			 d->e->set.id, (unsigned long long)d->e->incarnation,
			 (unsigned long long)atomic_fetch_add(
				 &d->e->stats.made_ids, 1));
	return NULL;
}

static void on_call(struct door *d, struct hts_req *req)
{
	const char *name = req->path + strlen(CALL_PREFIX);
	struct call_item *item;
	struct rec service;
	const char *wrong;

	if (strcmp(req->method, "POST") != 0) {
		refuse(req, 405, "use POST");
		return;
	}
	if (strlen(name) >= REC_NAME_MAX ||
	    !find_service(d->e, name, &service)) {
		refuse(req, 404, "no such service: submit its record first");
		return;
	}
	if ((int64_t)req->body_len > service.body_max_bytes) {
		atomic_fetch_add(&entry_class(d->e, name)->refused, 1);
		refuse(req, 413, "body is longer than the service allows");
		return;
	}
	item = new_item(d, req);
	snprintf(item->service, sizeof(item->service), "%s", name);
	wrong = check_call(d, item, &service);
	if (wrong) {
		atomic_fetch_add(&entry_class(d->e, name)->refused, 1);
		refuse(req, 400, wrong);
		free_item(item);
		return;
	}
	hand_over(d, item);
}

static void on_operation(struct door *d, struct hts_req *req)
{
	const char *id = hts_header(req, "Operation-Id");
	struct call_item *item;

	if (id && !id_is_plain(id, ENTRY_ID_MAX)) {
		refuse(req, 400,
		       "Operation-Id is not plain: use up to 95 "
		       "letters, digits and - _ . :");
		return;
	}
	item = new_item(d, req);
	item->operation = true;
	snprintf(item->id, sizeof(item->id), "%s", id ? id : "");
	hand_over(d, item);
}

static void on_metrics(struct door *d, struct hts_req *req)
{
	size_t len;
	char *text = metrics_text(d->e, &len);

	hts_reply(req, 200, "text/plain; version=0.0.4", text, len);
	free(text);
}

static void on_ready(struct door *d, struct hts_req *req)
{
	bool ready = atomic_load(&d->e->stats.permit) &&
		     !atomic_load(&d->e->stopping);

	hts_reply(req, ready ? 200 : 503, "text/plain",
		  ready ? "ready\n" : "not ready\n", ready ? 6 : 10);
}

static void on_request(struct hts_req *req, void *priv)
{
	struct door *d = priv;

	if (!strncmp(req->path, CALL_PREFIX, strlen(CALL_PREFIX)))
		on_call(d, req);
	else if (!strncmp(req->path, OPERATION_PREFIX,
			  strlen(OPERATION_PREFIX)))
		on_operation(d, req);
	else if (!strcmp(req->path, "/metrics"))
		on_metrics(d, req);
	else if (!strcmp(req->path, "/ready"))
		on_ready(d, req);
	else
		refuse(req, 404, "no such path");
}

static void record_stats(struct door *d, const struct call_item *item)
{
	struct class_stats *c = entry_class(d->e, item->service);

	atomic_fetch_add(&c->outcomes[item->outcome], 1);
	hist_record(&c->latency, clk_mono_us(d->e->clk) - item->arrived_us);
}

static unsigned int http_status(const struct call_item *item)
{
	if (item->outcome == MSG_ANSWERED)
		return item->status ? (unsigned int)item->status : 200;
	if (item->status)
		return (unsigned int)item->status;
	return item->outcome == MSG_NOT_RUN ? 503 : 504;
}

static void reply_call(struct call_item *item)
{
	hts_reply_header(item->http, "Request-Id", item->id);
	hts_reply_header(item->http, "Outcome",
			 msg_outcome_name(item->outcome));
	if (item->outcome == MSG_ANSWERED) {
		hts_reply(item->http, http_status(item), "application/json",
			  item->reply ? item->reply : "", item->reply_len);
		return;
	}
	reply_json(item->http, http_status(item),
		   json_pack("{s:s,s:s,s:s}", "outcome",
			     msg_outcome_name(item->outcome), "request_id",
			     item->id, "reason",
			     item->reason ? item->reason : ""));
}

static void on_answer(struct mbx_item *link, void *priv)
{
	struct call_item *item = caa_container_of(link, struct call_item, link);
	struct door *d = priv;

	if (atomic_load(&d->e->stopping))
		hts_reply_header(item->http, "Connection", "close");
	if (item->operation) {
		hts_reply(item->http, (unsigned int)item->status,
			  "application/json", item->reply, item->reply_len);
	} else {
		record_stats(d, item);
		reply_call(item);
	}
	free_item(item);
	atomic_fetch_sub(&d->active, 1);
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct door *d = priv;

	(void)te;
	(void)now;
	if (atomic_load(&d->quiescing) && d->http)
		hts_quiesce(d->http);
	tevent_add_timer(ev, d->ev, tevent_timeval_current_ofs(0, 50000),
			 on_tick, d);
}

static void tell_started(struct door *d, bool failed)
{
	pthread_mutex_lock(&d->started_lock);
	d->started = true;
	d->failed = failed;
	pthread_cond_signal(&d->started_cond);
	pthread_mutex_unlock(&d->started_lock);
}

static void *run(void *priv)
{
	struct door *d = priv;
	struct hts_options opt = { .ip = d->e->set.ip,
				   .port = (uint16_t)d->e->set.http_port,
				   .body_max = BODY_MAX_BYTES,
				   .idle_timeout_s = IDLE_TIMEOUT_S,
				   .share_port = true };

	urcu_memb_register_thread();
	d->ev = tevent_context_init(NULL);
	mbx_init(&d->mbx, d->ev, d->ev, on_answer, d);
	d->http = hts_start(d->ev, d->ev, &opt, on_request, d, d->err);
	tell_started(d, !d->http);
	on_tick(d->ev, NULL, tevent_timeval_zero(), d);
	while (!atomic_load(&d->ending)) {
		if (tevent_loop_once(d->ev) != 0)
			break;
	}
	mbx_finish(&d->mbx);
	talloc_free(d->ev);
	urcu_memb_unregister_thread();
	return NULL;
}

struct door *door_start(struct entry *e, struct err *err)
{
	struct door *d = calloc(1, sizeof(*d));

	d->e = e;
	d->err = err;
	pthread_mutex_init(&d->started_lock, NULL);
	pthread_cond_init(&d->started_cond, NULL);
	pthread_create(&d->thread, NULL, run, d);
	pthread_mutex_lock(&d->started_lock);
	while (!d->started)
		pthread_cond_wait(&d->started_cond, &d->started_lock);
	pthread_mutex_unlock(&d->started_lock);
	if (!d->failed)
		return d;
	door_stop(d);
	return NULL;
}

void door_answer(struct call_item *item)
{
	mbx_post(&item->door->mbx, &item->link);
}

void door_quiesce(struct door *d)
{
	atomic_store(&d->quiescing, true);
}

uint32_t door_active(const struct door *d)
{
	return atomic_load(&d->active);
}

void door_stop(struct door *d)
{
	atomic_store(&d->ending, true);
	pthread_join(d->thread, NULL);
	pthread_mutex_destroy(&d->started_lock);
	pthread_cond_destroy(&d->started_cond);
	free(d);
}
