/* What the platform's stand-in does wrong on demand, by /control/. */
#include <stdlib.h>
#include <string.h>

#include "standins/site.h"

/* A call that is carried out after newer ones. */
#define LATE_MS 1000

struct site_held {
	struct hts_req *req;
	int64_t due_ms;
	bool lost; /* carried out, not answered */
};

void faults_init(struct site *s)
{
	s->held = g_ptr_array_new();
}

static int64_t number_of(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

void faults_store(struct site *s, const json_t *body)
{
	static const char *const names[] = {
		[SITE_REFUSING] = "refuse",
		[SITE_SILENT] = "silent",
		[SITE_SLOW] = "slow",
		[SITE_LOSING] = "lose",
	};
	const char *how = json_string_value(json_object_get(body, "how"));
	int64_t until = site_now_ms() + number_of(body, "for_ms");

	for (int i = 0; how && i < SITE_STORE_FAULTS; i++) {
		if (!strcmp(how, names[i]) && until > s->until_ms[i])
			s->until_ms[i] = until;
	}
	if (number_of(body, "slow_ms"))
		s->slow_ms = number_of(body, "slow_ms");
}

static bool has(const struct site *s, enum site_store_fault fault)
{
	return site_now_ms() < s->until_ms[fault];
}

bool faults_store_away(const struct site *s)
{
	return has(s, SITE_REFUSING) || has(s, SITE_SILENT);
}

void faults_hold(struct site *s, struct hts_req *req, int64_t for_ms, bool lost)
{
	struct site_held *h = g_new0(struct site_held, 1);

	h->req = req;
	h->due_ms = site_now_ms() + for_ms;
	h->lost = lost;
	g_ptr_array_add(s->held, h);
}

/* In turn: answered, done without answer, done late without answer. */
static void lose(struct site *s, struct hts_req *req)
{
	int turn = (int)(s->lost_calls++ % 3);

	if (turn == 2) {
		faults_hold(s, req, LATE_MS, true);
		return;
	}
	s->muted = turn == 1;
	store_request(s, req);
	s->muted = false;
}

void faults_store_request(struct site *s, struct hts_req *req)
{
	if (has(s, SITE_SILENT))
		return;
	if (has(s, SITE_REFUSING))
		site_reply(s, req, 503, json_object());
	else if (has(s, SITE_LOSING))
		lose(s, req);
	else if (has(s, SITE_SLOW))
		faults_hold(s, req, s->slow_ms, false);
	else
		store_request(s, req);
}

static void carry_out(struct site *s, struct site_held *h)
{
	s->muted = h->lost;
	s->late = h->lost;
	if (!strncmp(h->req->path, "/v1/rows-", 9))
		store_request(s, h->req);
	else
		workers_request(s, h->req);
	s->late = false;
	s->muted = false;
}

void faults_tick(struct site *s)
{
	for (guint i = 0; i < s->held->len;) {
		struct site_held *h = g_ptr_array_index(s->held, i);

		if (site_now_ms() < h->due_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(s->held, i);
		carry_out(s, h);
		g_free(h);
	}
}
