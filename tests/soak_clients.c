/* The soak's client threads. Each reuses its connections until they fail. */
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "tests/soak.h"

/* As clients of the platform do, see PROTOCOL and the site's page. */
#define RETRIES 4
#define RETRY_MS 200
/* One of so many jobs is deadly. */
#define DEADLY_SHARE 60
#define PAUSE_MAX_MS 250
/* What gd-site takes a task's size from. */
#define SIZE                                                                   \
	"cpu=" G_STRINGIFY(SK_TASK_CPU_MILLI) ",mem=" G_STRINGIFY(             \
		SK_TASK_MEM_MIB)

struct client {
	struct sk *k;
	CURL *easy;
	GRand *rand;
	GRand *deadly_rand; /* which jobs are deadly */
	GRand *key_rand; /* which keys are used */
	int number;
	int vm;
	GPtrArray *accepted_jobs; /* struct sk_job */
};

static int draw_below(struct client *c, int n)
{
	return g_rand_int_range(c->rand, 0, n);
}

static void next_vm(struct client *c)
{
	c->vm = (c->vm + 1) % c->k->fleet.opt.vms;
}

/* Replaces some jobs by deadly ones, whose worker is back under a new id or its
 * old one. */
static void draw_deadly(struct client *c, struct sk_job *j)
{
	if (!sk_shrinks_workers(c->k->seed) ||
	    g_rand_int_range(c->deadly_rand, 0, DEADLY_SHARE))
		return;
	j->kind = SK_DEADLY;
	j->steps = j->count = 1;
	snprintf(j->spec, sizeof(j->spec), "deadly,back=%d%s," SIZE ",%s",
		 g_rand_int_range(c->deadly_rand, 1000, 6000),
		 g_rand_boolean(c->deadly_rand) ? ",same-id" : "", j->id);
}

static struct sk_job *new_job(struct client *c)
{
	static const int weights[] = { SK_ONE_STEP,	SK_ONE_STEP,
				       SK_ONE_STEP,	SK_TWO_STEPS,
				       SK_TWO_STEPS,	SK_TWO_STEPS,
				       SK_LONG_RUNNING, SK_FAILING };
	struct sk_job *j = g_new0(struct sk_job, 1);

	j->kind =
		(enum sk_job_kind)weights[draw_below(c, G_N_ELEMENTS(weights))];
	j->org = c->number % SK_ORGS;
	j->steps = j->kind == SK_TWO_STEPS ? 2 : 1;
	j->count = 1 + draw_below(c, SK_TASKS_MAX / SK_STEPS_MAX);
	snprintf(j->id, sizeof(j->id), "%08x%08x", c->number + 1,
		 g_rand_int(c->rand));
	if (j->kind == SK_LONG_RUNNING)
		snprintf(j->spec, sizeof(j->spec), "lasts," SIZE ",%s", j->id);
	else
		snprintf(j->spec, sizeof(j->spec), "%s,ms=%d," SIZE ",%s",
			 j->kind == SK_FAILING ? "bad" : "good",
			 draw_below(c, 4) ? 100 + draw_below(c, 900)
					  : 1000 + draw_below(c, 5000),
			 j->id);
	draw_deadly(c, j);
	for (int i = 0; i < j->steps * j->count; i++)
		j->task_runs[i] =
			g_array_new(FALSE, TRUE, sizeof(struct sk_run));
	g_mutex_lock(&c->k->lock);
	g_ptr_array_add(c->k->jobs, j);
	g_hash_table_insert(c->k->jobs_by_id, j->id, j);
	g_mutex_unlock(&c->k->lock);
	return j;
}

static char *make_body(const struct sk_job *j)
{
	static const char *const step_fields[SK_KINDS] = {
		[SK_ONE_STEP] = "",
		[SK_TWO_STEPS] = "",
		[SK_LONG_RUNNING] = ",\"long_running\":true",
		[SK_FAILING] = "",
		[SK_DEADLY] = "",
	};
	char *step = g_strdup_printf("{\"count\":%d,\"cpu\":%d,\"mem_mb\":%d,"
				     "\"estimate_ms\":500%s",
				     j->count, SK_TASK_CPU_MILLI,
				     SK_TASK_MEM_MIB, step_fields[j->kind]);
	char *body = g_strdup_printf("{\"spec\":\"%s\",\"steps\":[%s}%s%s%s]}",
				     j->spec, step, j->steps > 1 ? "," : "",
				     j->steps > 1 ? step : "",
				     j->steps > 1 ? ",\"after\":[0]}" : "");

	g_free(step);
	return body;
}

/* Makes one attempt; returns whether it was accepted. If not, the caller
 * retries at another VM. */
static bool try_submit(struct client *c, struct sk_job *j, const char *body,
		       bool bad_key)
{
	struct sk_query q = { .vm = c->vm };
	struct sk_use u;
	char path[32];
	struct hx_response a;

	sk_use_draw(c->k, c->key_rand, j->org, bad_key, &u);

	snprintf(path, sizeof(path), "/q/%s", j->id);
	/* Counted before it is sent, since it may take effect at once. */
	g_mutex_lock(&c->k->lock);
	j->attempts++;
	g_mutex_unlock(&c->k->lock);
	q.asked_ms = hx_now_ms();
	a = hf_call_with(&c->k->fleet, c->easy, c->vm, "POST", path, body,
			 u.headers);
	q.answered_ms = hx_now_ms();
	g_mutex_lock(&c->k->lock);
	j->may_run |= sk_check_key(c->k, &u, &q, a.status);
	j->n_rejected += a.status == 429 || a.status == 503 || a.status == 401;
	if (a.status / 100 == 2 && !j->accepted_ms)
		j->accepted_ms = hx_now_ms();
	else if (a.status && a.status / 100 != 2 && a.status != 429 &&
		 a.status != 502 && a.status != 503 && a.status != 504 &&
		 (a.status != 401 || !sk_uses_keys(c->k->seed)))
		sk_report_violation(c->k, "ANSWER", j->id,
				    "vm %d answers a POST with %ld", c->vm,
				    a.status);
	g_mutex_unlock(&c->k->lock);
	hx_response_free(&a);
	return a.status / 100 == 2;
}

static void submit(struct client *c, struct sk_job *j)
{
	char *body = make_body(j);
	bool bad_key = sk_draw_bad(c->k, c->key_rand);
	bool accepted = try_submit(c, j, body, bad_key);

	for (int i = 0; i < RETRIES && !accepted; i++) {
		next_vm(c);
		hx_sleep_ms(RETRY_MS);
		accepted = try_submit(c, j, body, bad_key);
	}
	if (accepted)
		g_ptr_array_add(c->accepted_jobs, j);
	g_free(body);
}

void sk_query_job(struct sk *k, void *easy, int vm, struct sk_job *j)
{
	struct sk_query q = { .vm = vm, .asked_ms = hx_now_ms() };
	const char *state;
	char path[32];
	struct hx_response a;
	struct sk_use u;

	sk_use_steady(k, j->org, &u);
	snprintf(path, sizeof(path), "/q/%s", j->id);
	a = hf_call_with(&k->fleet, easy, vm, "GET", path, NULL, u.headers);
	q.answered_ms = hx_now_ms();
	state = json_string_value(json_object_get(a.json, "state"));
	g_mutex_lock(&k->lock);
	if (a.status)
		sk_check_response(k, j, &q, a.status, state ? state : "");
	g_mutex_unlock(&k->lock);
	hx_response_free(&a);
}

static void cancel(struct client *c, struct sk_job *j)
{
	char path[32];
	struct hx_response a;
	struct sk_use u;

	sk_use_steady(c->k, j->org, &u);
	snprintf(path, sizeof(path), "/q/%s", j->id);
	g_mutex_lock(&c->k->lock);
	j->cancel_sent = true;
	g_mutex_unlock(&c->k->lock);
	a = hf_call_with(&c->k->fleet, c->easy, c->vm, "DELETE", path, NULL,
			 u.headers);
	g_mutex_lock(&c->k->lock);
	if ((a.status / 100 == 2 || a.status == 410) && !j->cancelled_ms)
		j->cancelled_ms = hx_now_ms();
	g_mutex_unlock(&c->k->lock);
	if (!a.status)
		next_vm(c);
	hx_response_free(&a);
}

/* Submits, queries, submits again or cancels a job, by weighted chance. */
static void client_step(struct client *c)
{
	int action = draw_below(c, 20);
	struct sk_job *j;

	if (action < 8 || !c->accepted_jobs->len) {
		submit(c, new_job(c));
		return;
	}
	j = g_ptr_array_index(c->accepted_jobs,
			      (guint)draw_below(c, (int)c->accepted_jobs->len));
	if (action < 16) {
		sk_query_job(c->k, c->easy, c->vm, j);
	} else if (action < 18) {
		char *body = make_body(j);

		if (sk_uses_keys(c->k->seed) && g_rand_boolean(c->key_rand))
			sk_probe_foreign(c->k, c->easy, c->vm, c->key_rand, j,
					 body);
		else
			try_submit(c, j, body, false);
		g_free(body);
	} else {
		cancel(c, j);
	}
}

bool sk_traffic_is_on(struct sk *k)
{
	bool yes;

	g_mutex_lock(&k->lock);
	yes = k->traffic_on;
	g_mutex_unlock(&k->lock);
	return yes;
}

static gpointer client_main(gpointer priv)
{
	struct client *c = priv;

	while (sk_traffic_is_on(c->k)) {
		client_step(c);
		hx_sleep_ms(draw_below(c, PAUSE_MAX_MS));
	}
	curl_easy_cleanup(c->easy);
	g_rand_free(c->rand);
	g_rand_free(c->deadly_rand);
	g_rand_free(c->key_rand);
	g_ptr_array_free(c->accepted_jobs, TRUE);
	g_free(c);
	return NULL;
}

void sk_clients_start(struct sk *k, GThread **threads)
{
	for (int i = 0; i < SK_CLIENTS; i++) {
		struct client *c = g_new0(struct client, 1);

		c->k = k;
		c->number = i;
		c->vm = i % k->fleet.opt.vms;
		c->easy = curl_easy_init();
		c->rand =
			g_rand_new_with_seed(k->seed * SK_CLIENTS + (guint32)i);
		c->key_rand = sk_rand_new(k, SK_STREAM_KEYS, i);
		c->deadly_rand = sk_rand_new(k, SK_STREAM_DEADLY, i);
		c->accepted_jobs = g_ptr_array_new();
		threads[i] = g_thread_new("client", client_main, c);
	}
}
