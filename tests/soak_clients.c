/* The soak's callers: each keeps its connections until they break. */
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "tests/soak.h"

/* As a client of the platform's, PROTOCOL and the page of the site. */
#define RETRIES 4
#define RETRY_MS 200
#define PAUSE_MAX_MS 250

struct client {
	struct sk *k;
	CURL *easy;
	GRand *rand;
	int number;
	int vm;
	GPtrArray *own; /* struct sk_job, accepted */
};

static int pick(struct client *c, int n)
{
	return g_rand_int_range(c->rand, 0, n);
}

static void next_vm(struct client *c)
{
	c->vm = (c->vm + 1) % c->k->fleet.opt.vms;
}

static struct sk_job *new_job(struct client *c)
{
	static const int weights[] = { SK_ONE, SK_ONE, SK_ONE,	   SK_TWO,
				       SK_TWO, SK_TWO, SK_LASTING, SK_BAD };
	struct sk_job *j = g_new0(struct sk_job, 1);

	j->kind = (enum sk_kind)weights[pick(c, G_N_ELEMENTS(weights))];
	j->steps = j->kind == SK_TWO ? 2 : 1;
	j->count = 1 + pick(c, SK_TASKS_MAX / SK_STEPS_MAX);
	snprintf(j->id, sizeof(j->id), "%08x%08x", c->number + 1,
		 g_rand_int(c->rand));
	if (j->kind == SK_LASTING)
		snprintf(j->spec, sizeof(j->spec), "lasts,%s", j->id);
	else
		snprintf(j->spec, sizeof(j->spec), "%s,ms=%d,%s",
			 j->kind == SK_BAD ? "bad" : "good",
			 pick(c, 4) ? 100 + pick(c, 900) : 1000 + pick(c, 5000),
			 j->id);
	for (int i = 0; i < j->steps * j->count; i++)
		j->tasks[i] = g_array_new(FALSE, TRUE, sizeof(struct sk_run));
	g_mutex_lock(&c->k->lock);
	g_ptr_array_add(c->k->jobs, j);
	g_hash_table_insert(c->k->by_id, j->id, j);
	g_mutex_unlock(&c->k->lock);
	return j;
}

static char *body_of(const struct sk_job *j)
{
	static const char *const more[SK_KINDS] = {
		[SK_ONE] = "",
		[SK_TWO] = "",
		[SK_LASTING] = ",\"long_running\":true",
		[SK_BAD] = "",
	};
	char *step = g_strdup_printf("{\"count\":%d,\"cpu\":500,\"mem_mb\":100,"
				     "\"estimate_ms\":500%s",
				     j->count, more[j->kind]);
	char *body = g_strdup_printf("{\"spec\":\"%s\",\"steps\":[%s}%s%s%s]}",
				     j->spec, step, j->steps > 1 ? "," : "",
				     j->steps > 1 ? step : "",
				     j->steps > 1 ? ",\"after\":[0]}" : "");

	g_free(step);
	return body;
}

/* One attempt; false: ask again, elsewhere. */
static bool try_submit(struct client *c, struct sk_job *j, const char *body)
{
	char path[32];
	struct hx_response a;

	snprintf(path, sizeof(path), "/q/%s", j->id);
	/* A try counts from its sending, since it may take effect at once. */
	g_mutex_lock(&c->k->lock);
	j->tries++;
	g_mutex_unlock(&c->k->lock);
	a = hf_call(&c->k->fleet, c->easy, c->vm, "POST", path, body);
	g_mutex_lock(&c->k->lock);
	j->rejected += a.status == 429 || a.status == 503;
	if (a.status / 100 == 2 && !j->accepted_ms)
		j->accepted_ms = hx_now_ms();
	else if (a.status && a.status / 100 != 2 && a.status != 429 &&
		 a.status != 502 && a.status != 503 && a.status != 504)
		sk_break(c->k, "ANSWER", j->id, "vm %d answers a POST by %ld",
			 c->vm, a.status);
	g_mutex_unlock(&c->k->lock);
	hx_response_free(&a);
	return a.status / 100 == 2;
}

static void submit(struct client *c, struct sk_job *j)
{
	char *body = body_of(j);
	bool accepted = try_submit(c, j, body);

	for (int i = 0; i < RETRIES && !accepted; i++) {
		next_vm(c);
		hx_sleep_ms(RETRY_MS);
		accepted = try_submit(c, j, body);
	}
	if (accepted)
		g_ptr_array_add(c->own, j);
	g_free(body);
}

void sk_ask(struct sk *k, void *easy, int vm, struct sk_job *j)
{
	int64_t asked_ms = hx_now_ms();
	const char *state;
	char path[32];
	struct hx_response a;

	snprintf(path, sizeof(path), "/q/%s", j->id);
	a = hf_call(&k->fleet, easy, vm, "GET", path, NULL);
	state = json_string_value(json_object_get(a.json, "state"));
	g_mutex_lock(&k->lock);
	if (a.status)
		sk_check_state(k, j, vm, a.status, state ? state : "",
			       asked_ms);
	g_mutex_unlock(&k->lock);
	hx_response_free(&a);
}

static void cancel(struct client *c, struct sk_job *j)
{
	char path[32];
	struct hx_response a;

	snprintf(path, sizeof(path), "/q/%s", j->id);
	g_mutex_lock(&c->k->lock);
	j->cancel_sent = true;
	g_mutex_unlock(&c->k->lock);
	a = hf_call(&c->k->fleet, c->easy, c->vm, "DELETE", path, NULL);
	g_mutex_lock(&c->k->lock);
	if ((a.status / 100 == 2 || a.status == 410) && !j->cancelled_ms)
		j->cancelled_ms = hx_now_ms();
	g_mutex_unlock(&c->k->lock);
	if (!a.status)
		next_vm(c);
	hx_response_free(&a);
}

static void act(struct client *c)
{
	int what = pick(c, 20);
	struct sk_job *j;

	if (what < 8 || !c->own->len) {
		submit(c, new_job(c));
		return;
	}
	j = g_ptr_array_index(c->own, (guint)pick(c, (int)c->own->len));
	if (what < 16) {
		sk_ask(c->k, c->easy, c->vm, j);
	} else if (what < 18) {
		char *body = body_of(j);

		try_submit(c, j, body);
		g_free(body);
	} else {
		cancel(c, j);
	}
}

static bool goes_on(struct sk *k)
{
	bool yes;

	g_mutex_lock(&k->lock);
	yes = k->traffic;
	g_mutex_unlock(&k->lock);
	return yes;
}

static gpointer client_main(gpointer priv)
{
	struct client *c = priv;

	while (goes_on(c->k)) {
		act(c);
		hx_sleep_ms(pick(c, PAUSE_MAX_MS));
	}
	curl_easy_cleanup(c->easy);
	g_rand_free(c->rand);
	g_ptr_array_free(c->own, TRUE);
	g_free(c);
	return NULL;
}

void sk_clients_begin(struct sk *k, GThread **threads)
{
	for (int i = 0; i < SK_CLIENTS; i++) {
		struct client *c = g_new0(struct client, 1);

		c->k = k;
		c->number = i;
		c->vm = i % k->fleet.opt.vms;
		c->easy = curl_easy_init();
		c->rand =
			g_rand_new_with_seed(k->seed * SK_CLIENTS + (guint32)i);
		c->own = g_ptr_array_new();
		threads[i] = g_thread_new("client", client_main, c);
	}
}
