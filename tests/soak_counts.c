/* The soak's queries of the number of pending jobs. Each VM has a thread, since
 * a frozen VM delays the caller, who keeps its connection meanwhile. */
#include <curl/curl.h>
#include <stdio.h>

#include "tests/soak.h"

#define PAUSE_MAX_MS 300
/* Longer than any VM is frozen. */
#define TIMEOUT_MS 20000
/* One of so many queries is for a job that nobody has submitted. */
#define UNKNOWN_JOB_SHARE 8

struct observer {
	struct sk *k;
	CURL *easy;
	GRand *rand;
	int vm;
};

/* Checks a response other than 200. */
static void check_refusal(struct observer *o, const struct sk_query *q,
			  const struct hx_response *a)
{
	char vm[16];

	snprintf(vm, sizeof(vm), "vm %d", q->vm);
	if (a->status == 503 && a->has_retry_after)
		o->k->n_counts_refused++;
	else if (a->status == 404 && sk_was_connected(o->k, q))
		sk_report_violation(o->k, "CONFIG", vm,
				    "the queue isn't known");
	else if (a->status && a->status != 404)
		sk_report_violation(o->k, "ANSWER", vm,
				    "answers a count with %ld", a->status);
}

static void query_count(struct observer *o)
{
	struct sk_query q = { .vm = o->vm, .asked_ms = hx_now_ms() };
	struct hx_response a;
	struct sk_use u;

	sk_use_steady(o->k, 0, &u);
	a = hf_get_direct(&o->k->fleet, o->easy, o->vm, "/q/", u.headers[0],
			  TIMEOUT_MS);
	q.answered_ms = hx_now_ms();
	g_mutex_lock(&o->k->lock);
	if (a.status == 200)
		sk_check_count(o->k, &q, a.json);
	else
		check_refusal(o, &q, &a);
	g_mutex_unlock(&o->k->lock);
	hx_response_free(&a);
}

/* No client draws an id that begins like this one. */
static void query_unknown_job(struct observer *o)
{
	struct hx_response a;
	char path[32];
	struct sk_use u;

	sk_use_steady(o->k, 0, &u);
	snprintf(path, sizeof(path), "/q/ffffffff%08x", g_rand_int(o->rand));
	a = hf_get_direct(&o->k->fleet, o->easy, o->vm, path, u.headers[0],
			  TIMEOUT_MS);
	g_mutex_lock(&o->k->lock);
	if (a.status / 100 == 2)
		sk_report_violation(o->k, "MIXED", path,
				    "vm %d shows it, nobody submitted it",
				    o->vm);
	g_mutex_unlock(&o->k->lock);
	hx_response_free(&a);
}

static gpointer observer_main(gpointer priv)
{
	struct observer *o = priv;

	while (sk_traffic_is_on(o->k)) {
		if (g_rand_int_range(o->rand, 0, UNKNOWN_JOB_SHARE))
			query_count(o);
		else
			query_unknown_job(o);
		hx_sleep_ms(g_rand_int_range(o->rand, 0, PAUSE_MAX_MS));
	}
	curl_easy_cleanup(o->easy);
	g_rand_free(o->rand);
	g_free(o);
	return NULL;
}

void sk_counts_start(struct sk *k, GThread **threads)
{
	for (int vm = 0; vm < k->fleet.opt.vms; vm++) {
		struct observer *o = g_new0(struct observer, 1);

		o->k = k;
		o->vm = vm;
		o->easy = curl_easy_init();
		o->rand = sk_rand_new(k, SK_STREAM_COUNTS, vm);
		threads[vm] = g_thread_new("observer", observer_main, o);
	}
}
