/*
 * Fault injection of the platform simulator, set by tests through /control/:
 * faults of the store, and requests that are served late.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/site.h"

/* Long enough that newer requests are served before the delayed one. */
#define LATE_DELIVERY_MS 1000

struct site_delayed_req {
	struct hts_req *req;
	int64_t due_ms;
	bool unanswered; /* served without a response */
};

void faults_init(struct site *s)
{
	s->delayed = g_ptr_array_new();
}

static int64_t int_field(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

void faults_set_store(struct site *s, const json_t *body)
{
	static const char *const names[] = {
		[SITE_FAULT_REFUSE] = "refuse",
		[SITE_FAULT_SILENT] = "silent",
		[SITE_FAULT_SLOW] = "slow",
		[SITE_FAULT_LOSE] = "lose",
	};
	const char *fault = json_string_value(json_object_get(body, "how"));
	int64_t end_ms = site_now_ms() + int_field(body, "for_ms");

	for (int i = 0; fault && i < SITE_FAULT_COUNT; i++) {
		if (!strcmp(fault, names[i]) && end_ms > s->fault_until_ms[i])
			s->fault_until_ms[i] = end_ms;
	}
	snprintf(s->silent_table, sizeof(s->silent_table), "%s",
		 json_string_value(json_object_get(body, "table")) ?: "");
	if (int_field(body, "slow_ms"))
		s->slow_ms = int_field(body, "slow_ms");
}

static bool is_active(const struct site *s, enum site_store_fault fault)
{
	return site_now_ms() < s->fault_until_ms[fault];
}

static bool is_silent(const struct site *s)
{
	return is_active(s, SITE_FAULT_SILENT) && !*s->silent_table;
}

/* Is the request a read of the silent table? */
static bool is_silent_read(const struct site *s, struct hts_req *req)
{
	const char *table = hts_query(req, "table");

	return is_active(s, SITE_FAULT_SILENT) && table &&
	       !strcmp(table, s->silent_table);
}

bool faults_store_unavailable(const struct site *s)
{
	return is_active(s, SITE_FAULT_REFUSE) || is_silent(s);
}

void faults_delay(struct site *s, struct hts_req *req, int64_t for_ms,
		  bool unanswered)
{
	struct site_delayed_req *d = g_new0(struct site_delayed_req, 1);

	d->req = req;
	d->due_ms = site_now_ms() + for_ms;
	d->unanswered = unanswered;
	g_ptr_array_add(s->delayed, d);
}

/*
 * Of three requests, answers the first, runs the second without a response
 * and runs the third late without a response.
 */
static void serve_lossy(struct site *s, struct hts_req *req)
{
	int turn = (int)(s->lossy_requests++ % 3);

	if (turn == 2) {
		faults_delay(s, req, LATE_DELIVERY_MS, true);
		return;
	}
	s->suppress_response = turn == 1;
	store_handle(s, req);
	s->suppress_response = false;
}

void faults_handle_store(struct site *s, struct hts_req *req)
{
	if (is_silent(s) || is_silent_read(s, req))
		return;
	if (is_active(s, SITE_FAULT_REFUSE))
		site_reply(s, req, 503, json_object());
	else if (is_active(s, SITE_FAULT_LOSE))
		serve_lossy(s, req);
	else if (is_active(s, SITE_FAULT_SLOW))
		faults_delay(s, req, s->slow_ms, false);
	else
		store_handle(s, req);
}

static void run_delayed(struct site *s, struct site_delayed_req *d)
{
	s->suppress_response = d->unanswered;
	s->delivered_late = d->unanswered;
	if (!strncmp(d->req->path, "/v1/rows-", 9))
		store_handle(s, d->req);
	else
		workers_handle(s, d->req);
	s->delivered_late = false;
	s->suppress_response = false;
}

void faults_tick(struct site *s)
{
	for (guint i = 0; i < s->delayed->len;) {
		struct site_delayed_req *d = g_ptr_array_index(s->delayed, i);

		if (site_now_ms() < d->due_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(s->delayed, i);
		run_delayed(s, d);
		g_free(d);
	}
}
