/*
 * gd-load: load generator for gd-entry. Sends a mix of requests as an open
 * loop, that is, at times that don't depend on the responses, and reports
 * outcomes and latencies.
 */
#include <argp.h>
#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clk.h"
#include "base/hist.h"
#include "protocol/fld.h"
#include "protocol/rec.h"
#include "transport/htc.h"

#define CLASSES_MAX 16
#define ENTRIES_MAX 64
#define READY_INTERVAL_MS 200
#define READY_TIMEOUT_MS 500
/* Time after the deadline in which a response is still awaited. */
#define RESPONSE_GRACE_MS 2000
#define EXIT_USAGE 64
#define EXIT_WRONG_RESPONSE 3

const char *argp_program_version = "gd-load 0.1";

/* One class of requests. The field names are the keys in the mix file. */
struct mix_class {
	char service[REC_NAME_MAX];
	char tenant[REC_NAME_MAX];
	int64_t rate_milli; /* mean rate, in thousandths of requests/s */
	int64_t work_us; /* mean work of a request */
	bool exponential; /* distribution of the work; else constant */
	int64_t deadline_ms;
	int64_t body_bytes;
	int64_t burst_every_ms; /* 0: no bursts */
	int64_t burst_size; /* requests in addition to the rate */
	bool idempotent;
	int64_t tries; /* attempts, each at another gd-entry if possible */
};

enum outcome { ANSWERED, NOT_RUN, UNKNOWN, REFUSED, OUTCOMES };

/* Results of one class. */
struct totals {
	struct hist latency; /* of ANSWERED ones, from the intended time */
	int64_t sent;
	int64_t outcomes[OUTCOMES]; /* indexed by enum outcome */
	int64_t wrong; /* responses that belong to another request */
};

struct load {
	struct tevent_context *ev;
	struct htc *http;
	GRand *rand;
	char entries[ENTRIES_MAX][128]; /* URLs of gd-entry processes */
	bool ready[ENTRIES_MAX]; /* result of the last readiness check */
	int n_entries;
	struct mix_class classes[CLASSES_MAX];
	struct totals totals[CLASSES_MAX];
	int n_classes;
	int64_t duration_ms;
	int64_t seed;
	int64_t end_us; /* no request is scheduled from then on */
	int64_t pending; /* requests without an outcome yet */
	int64_t next_id;
	FILE *log;
	char prefix[32]; /* of request ids; differs in each run */
};

/* Send times of the next request and the next burst of one class. */
struct schedule {
	struct load *l;
	int class;
	int64_t next_us;
	int64_t next_burst_us;
};

struct request {
	struct load *l;
	int class;
	int64_t intended_us; /* send time by schedule; latency counts from it */
	int64_t attempts;
	int entry; /* of the last attempt */
	char id[96];
	char *body;
};

struct args {
	const char *mix;
	const char *log;
	bool json;
};

static const struct argp_option options[] = {
	{ "log", 'l', "FILE", 0,
	  "Write a line per attempt: id, attempt, outcome, HTTP status, "
	  "latency and intended time (us)",
	  0 },
	{ "json", 'j', 0, 0, "Report as JSON", 0 },
	{ 0 }
};

static error_t on_option(int key, char *arg, struct argp_state *state)
{
	struct args *a = state->input;

	switch (key) {
	case 'l':
		a->log = arg;
		return 0;
	case 'j':
		a->json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (a->mix)
			argp_usage(state);
		a->mix = arg;
		return 0;
	case ARGP_KEY_END:
		if (!a->mix)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = { options,
				  on_option,
				  "MIX.json",
				  "Sends a mix of requests and prints outcomes "
				  "and latencies from the intended send times.",
				  0,
				  0,
				  0 };

#define AT(f) offsetof(struct mix_class, f)
/* A negative default makes the field required. */
#define INT_FIELD(key, min, max, dflt)                                         \
	{                                                                      \
#key, FLD_INT, AT(key), 0, (dflt) < 0, min, max, 1, dflt, 0, 0 \
	}
#define STR_FIELD(key, required)                                               \
	{                                                                      \
#key, FLD_STR, AT(key), REC_NAME_MAX, required, 1, 0, 0, 0, 0, \
			0                                                      \
	}
#define BOOL_FIELD(key, dflt)                                                  \
	{                                                                      \
#key, FLD_BOOL, AT(key), 0, false, 0, 0, 0, dflt, 0, 0         \
	}

static const struct fld_spec class_fields[] = {
	STR_FIELD(service, true),
	STR_FIELD(tenant, false),
	INT_FIELD(rate_milli, 1, 1000000000, -1),
	INT_FIELD(work_us, 0, 3600000000, 0),
	BOOL_FIELD(exponential, 0),
	INT_FIELD(deadline_ms, 1, 28800000, 5000),
	INT_FIELD(body_bytes, 0, 1000000, 0),
	INT_FIELD(burst_every_ms, 0, 3600000, 0),
	INT_FIELD(burst_size, 0, 100000, 0),
	BOOL_FIELD(idempotent, 1),
	INT_FIELD(tries, 1, 10, 1),
	{ 0, FLD_INT, 0, 0, 0, 0, 0, 0, 0, 0, 0 }
};

static const struct fld_spec mix_fields[] = {
	{ "entries", FLD_LIST, 0, 0, true, 0, 0, 0, 0, 0, 0 },
	{ "classes", FLD_LIST, 0, 0, true, 0, 0, 0, 0, 0, 0 },
	{ "duration_ms", FLD_INT, offsetof(struct load, duration_ms), 0, true,
	  1, 3600000, 1, 0, 0, 0 },
	{ "seed", FLD_INT, offsetof(struct load, seed), 0, false, 0, 1000000000,
	  1, 1, 0, 0 },
	{ 0, FLD_INT, 0, 0, 0, 0, 0, 0, 0, 0, 0 }
};

static bool read_mix(struct load *l, const char *path, struct err *e)
{
	struct fld_errors errs = { 0 };
	json_error_t je;
	json_t *j = json_load_file(path, 0, &je);
	json_t *row;
	size_t i;

	if (!j)
		return err_set(e, ERR_SETTING, "%s line %d: %s", path, je.line,
			       je.text);
	fld_read(j, mix_fields, l, &errs);
	json_array_foreach(json_object_get(j, "entries"), i, row)
	{
		if (l->n_entries < ENTRIES_MAX && json_is_string(row))
			snprintf(l->entries[l->n_entries++],
				 sizeof(l->entries[0]), "%s",
				 json_string_value(row));
	}
	json_array_foreach(json_object_get(j, "classes"), i, row)
	{
		if (l->n_classes < CLASSES_MAX)
			fld_read(row, class_fields, &l->classes[l->n_classes++],
				 &errs);
	}
	json_decref(j);
	return fld_to_err(&errs, ERR_SETTING, e);
}

static int64_t now_us(void)
{
	return clk_mono_us(&clk_system);
}

static struct timeval timeval_after_us(int64_t us)
{
	if (us < 0)
		us = 0;
	return tevent_timeval_current_ofs(us / 1000000, us % 1000000);
}

/* Chooses a gd-entry at random, as the platform's load balancer does: a ready
 * one other than `excluded` (-1: none) if there is any, else any entry. */
static int choose_entry(struct load *l, int excluded)
{
	int first = g_rand_int_range(l->rand, 0, l->n_entries);

	for (int k = 0; k < l->n_entries; k++) {
		int i = (first + k) % l->n_entries;

		if (l->ready[i] && (i != excluded || l->n_entries == 1))
			return i;
	}
	return first;
}

static void send_request(struct request *r);

static int outcome_of(const struct htc_response *resp)
{
	if (resp->result == HTC_NOT_SENT)
		return NOT_RUN;
	if (resp->result == HTC_UNKNOWN)
		return UNKNOWN;
	if (resp->status == 200)
		return ANSWERED;
	if (resp->status == 503)
		return NOT_RUN;
	return resp->status == 504 || resp->status == 409 ? UNKNOWN : REFUSED;
}

/* Returns true if both the response and the request echoed in it have the id of
 * this request. */
static bool matches_request(const struct request *r,
			    const struct htc_response *resp)
{
	json_t *j = json_loadb(resp->body, resp->body_len, 0, NULL);
	const char *id = json_string_value(json_object_get(j, "request_id"));
	const char *echo = json_string_value(
		json_object_get(json_object_get(j, "echo"), "id"));
	bool good = id && echo && !strcmp(id, r->id) && !strcmp(echo, r->id);

	json_decref(j);
	return good;
}

static bool may_retry(const struct request *r, int outcome)
{
	const struct mix_class *c = &r->l->classes[r->class];

	return outcome != ANSWERED && outcome != REFUSED &&
	       r->attempts < c->tries;
}

static void on_response(const struct htc_response *resp, void *priv)
{
	struct request *r = priv;
	struct load *l = r->l;
	struct totals *t = &l->totals[r->class];
	int outcome = outcome_of(resp);
	int64_t latency_us = now_us() - r->intended_us;

	if (l->log)
		fprintf(l->log, "%s %d %d %ld %" PRId64 " %" PRId64 "\n", r->id,
			(int)r->attempts, outcome, resp->status, latency_us,
			r->intended_us);
	/* Not reachable: the load balancer's readiness check would fail too. */
	if (resp->result == HTC_NOT_SENT)
		l->ready[r->entry] = false;
	if (may_retry(r, outcome)) {
		send_request(r);
		return;
	}
	t->outcomes[outcome]++;
	if (outcome == ANSWERED) {
		hist_record(&t->latency, latency_us);
		t->wrong += !matches_request(r, resp);
	}
	l->pending--;
	free(r->body);
	free(r);
}

static void send_request(struct request *r)
{
	struct load *l = r->l;
	const struct mix_class *c = &l->classes[r->class];
	char url[256];
	char id[128];
	char tenant[128];
	char deadline[64];
	char attempt[32];
	struct htc_request req = {
		.method = "POST",
		.url = url,
		.body = r->body,
		.body_len = strlen(r->body),
		.headers = { id, deadline, attempt, tenant },
		.timeout_ms = c->deadline_ms + RESPONSE_GRACE_MS,
		.exclusive_connection = !c->idempotent,
	};

	r->entry = choose_entry(l, r->attempts ? r->entry : -1);
	r->attempts++;
	snprintf(url, sizeof(url), "%s/v1/call/%s", l->entries[r->entry],
		 c->service);
	snprintf(id, sizeof(id), "Request-Id: %s", r->id);
	snprintf(tenant, sizeof(tenant), "Tenant: %s", c->tenant);
	snprintf(deadline, sizeof(deadline), "Deadline-Ms: %" PRId64,
		 c->deadline_ms);
	snprintf(attempt, sizeof(attempt), "Attempt: %" PRId64, r->attempts);
	if (!*c->tenant)
		req.headers[3] = NULL;
	htc_send(l->http, &req, on_response, r);
}

static int64_t sample_work_us(struct load *l, const struct mix_class *c)
{
	if (!c->exponential)
		return c->work_us;
	return (int64_t)(-log(1.0 - g_rand_double(l->rand)) *
			 (double)c->work_us);
}

static void start_request(struct load *l, int class, int64_t intended_us)
{
	const struct mix_class *c = &l->classes[class];
	struct request *r = calloc(1, sizeof(*r));
	char *pad = calloc(1, c->body_bytes + 1);

	memset(pad, 'x', c->body_bytes);
	r->l = l;
	r->class = class;
	r->intended_us = intended_us;
	snprintf(r->id, sizeof(r->id), "%s-%d-%" PRId64, l->prefix, class,
		 l->next_id++);
	r->body = g_strdup_printf("{\"id\":\"%s\",\"work_us\":%" PRId64
				  ",\"pad\":\"%s\"}",
				  r->id, sample_work_us(l, c), pad);
	free(pad);
	l->pending++;
	l->totals[class].sent++;
	send_request(r);
}

static void on_send_timer(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval now, void *priv)
{
	struct schedule *s = priv;
	struct load *l = s->l;
	const struct mix_class *c = &l->classes[s->class];
	int64_t at_us = now_us();

	(void)te;
	(void)now;
	while (s->next_us <= at_us && s->next_us < l->end_us) {
		start_request(l, s->class, s->next_us);
		s->next_us += (int64_t)(-log(1.0 - g_rand_double(l->rand)) *
					1e9 / (double)c->rate_milli);
	}
	while (c->burst_every_ms && s->next_burst_us <= at_us &&
	       s->next_burst_us < l->end_us) {
		for (int64_t i = 0; i < c->burst_size; i++)
			start_request(l, s->class, s->next_burst_us);
		s->next_burst_us += c->burst_every_ms * 1000;
	}
	if (s->next_us < l->end_us)
		tevent_add_timer(ev, s, timeval_after_us(s->next_us - now_us()),
				 on_send_timer, s);
}

/* A readiness check of one gd-entry. */
struct ready_check {
	struct load *l;
	int entry;
};

static void on_ready(const struct htc_response *resp, void *priv)
{
	struct ready_check *check = priv;

	check->l->ready[check->entry] =
		resp->result == HTC_COMPLETE && resp->status == 200;
	free(check);
}

static void on_ready_timer(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *priv)
{
	struct load *l = priv;

	(void)te;
	(void)now;
	for (int i = 0; i < l->n_entries; i++) {
		struct ready_check *check = calloc(1, sizeof(*check));
		char url[160];
		struct htc_request req = { .method = "GET",
					   .url = url,
					   .timeout_ms = READY_TIMEOUT_MS };

		snprintf(url, sizeof(url), "%s/ready", l->entries[i]);
		check->l = l;
		check->entry = i;
		htc_send(l->http, &req, on_ready, check);
	}
	tevent_add_timer(ev, l->ev, timeval_after_us(READY_INTERVAL_MS * 1000),
			 on_ready_timer, l);
}

static void run(struct load *l)
{
	int64_t begin_us = now_us() + 100000;

	l->end_us = begin_us + l->duration_ms * 1000;
	on_ready_timer(l->ev, NULL, tevent_timeval_zero(), l);
	for (int i = 0; i < l->n_classes; i++) {
		struct schedule *s = talloc_zero(l->ev, struct schedule);

		s->l = l;
		s->class = i;
		s->next_us = begin_us;
		s->next_burst_us = begin_us;
		tevent_add_timer(l->ev, s, timeval_after_us(100000),
				 on_send_timer, s);
	}
	while (now_us() < l->end_us || l->pending) {
		if (tevent_loop_once(l->ev) != 0)
			break;
	}
}

static const double quantiles[] = { 0.5, 0.95, 0.99, 0.999 };

static void report_text(const struct load *l)
{
	printf("%-12s %8s %8s %8s %8s %8s %6s %9s %9s %9s %9s\n", "service",
	       "sent", "answered", "not-run", "unknown", "refused", "wrong",
	       "p50-ms", "p95-ms", "p99-ms", "p99.9-ms");
	for (int i = 0; i < l->n_classes; i++) {
		const struct totals *t = &l->totals[i];

		printf("%-12s %8" PRId64 " %8" PRId64 " %8" PRId64 " %8" PRId64
		       " %8" PRId64 " %6" PRId64,
		       l->classes[i].service, t->sent, t->outcomes[ANSWERED],
		       t->outcomes[NOT_RUN], t->outcomes[UNKNOWN],
		       t->outcomes[REFUSED], t->wrong);
		for (int q = 0; q < 4; q++)
			printf(" %9.2f", (double)hist_quantile_us(
						 &t->latency, quantiles[q]) /
						 1000);
		printf("\n");
	}
}

static void report_json(const struct load *l)
{
	json_t *out = json_array();
	char *text;

	for (int i = 0; i < l->n_classes; i++) {
		const struct totals *t = &l->totals[i];

		json_array_append_new(
			out,
			json_pack(
				"{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,"
				"s:I}",
				"service", l->classes[i].service, "sent",
				(json_int_t)t->sent, "answered",
				(json_int_t)t->outcomes[ANSWERED], "not_run",
				(json_int_t)t->outcomes[NOT_RUN], "unknown",
				(json_int_t)t->outcomes[UNKNOWN], "refused",
				(json_int_t)t->outcomes[REFUSED], "wrong",
				(json_int_t)t->wrong, "p50_us",
				(json_int_t)hist_quantile_us(&t->latency, 0.5),
				"p95_us",
				(json_int_t)hist_quantile_us(&t->latency, 0.95),
				"p99_us",
				(json_int_t)hist_quantile_us(&t->latency, 0.99),
				"p999_us",
				(json_int_t)hist_quantile_us(&t->latency,
							     0.999)));
	}
	text = json_dumps(out, JSON_COMPACT);
	printf("%s\n", text);
	free(text);
	json_decref(out);
}

int main(int argc, char **argv)
{
	struct load *l = calloc(1, sizeof(*l));
	struct args a = { 0 };
	struct err e = { 0 };
	int64_t wrong = 0;

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, 0, &a);
	if (!read_mix(l, a.mix, &e)) {
		fprintf(stderr, "gd-load: %s\n", e.text);
		free(l);
		return EXIT_USAGE;
	}
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	l->log = a.log ? fopen(a.log, "w") : NULL;
	l->ev = tevent_context_init(NULL);
	l->http = htc_start(l->ev, l->ev, NULL);
	l->rand = g_rand_new_with_seed((guint32)l->seed);
	snprintf(l->prefix, sizeof(l->prefix), "s%" PRId64 "-%" PRIx64, l->seed,
		 now_us() & 0xffffffff);
	for (int i = 0; i < l->n_entries; i++)
		l->ready[i] = true;
	run(l);
	if (a.json)
		report_json(l);
	else
		report_text(l);
	for (int i = 0; i < l->n_classes; i++)
		wrong += l->totals[i].wrong;
	if (l->log)
		fclose(l->log);
	g_rand_free(l->rand);
	free(l);
	return wrong ? EXIT_WRONG_RESPONSE : 0;
}
