/* The soak's organisations: adds and removes keys by new versions of the
 * configuration, and checks how VMs answer calls with them. */
#include <stdio.h>
#include <string.h>

#include "tests/soak.h"

#define CHANGE_MIN_MS 500
#define CHANGE_MAX_MS 2500
/* Valid keys of an organisation beside its steady one. */
#define CHANGING_MAX 3
/* One of so many jobs is submitted with bad keys only. */
#define BAD_SHARE 8

static void add_key(struct sk *k, int32_t org)
{
	struct sk_key *key = g_new0(struct sk_key, 1);

	snprintf(key->text, sizeof(key->text), "k%08x%u",
		 g_rand_int(k->key_rand), k->keys->len);
	key->org = org;
	g_ptr_array_add(k->keys, key);
}

static struct sk_key *key_at(const struct sk *k, guint i)
{
	return g_ptr_array_index(k->keys, i);
}

char *sk_keys_tenants(const struct sk *k)
{
	GString *out = g_string_new("[");

	for (int32_t org = 0; org < SK_ORGS; org++) {
		const char *sep = "";

		g_string_append_printf(out, "%s{\"name\":\"org%d\",\"keys\":[",
				       org ? "," : "", org);
		for (guint i = 0; i < k->keys->len; i++) {
			const struct sk_key *key = key_at(k, i);

			if (key->org != org || key->remove_sent_ms)
				continue;
			g_string_append_printf(out, "%s\"%s\"", sep, key->text);
			sep = ",";
		}
		g_string_append(out, "],\"weight\":1}");
	}
	g_string_append(out, "]");
	return g_string_free(out, FALSE);
}

void sk_keys_init(struct sk *k)
{
	k->keys = g_ptr_array_new_with_free_func(g_free);
	k->key_rand = sk_rand_new(k, SK_STREAM_KEYS, -1);
	k->config_version = 1;
	/* The first keys are the steady ones. */
	for (int32_t org = 0; org < SK_ORGS; org++)
		add_key(k, org);
	for (int32_t org = 0; org < SK_ORGS; org++)
		add_key(k, org);
}

void sk_keys_finish(struct sk *k)
{
	g_ptr_array_free(k->keys, TRUE);
	g_rand_free(k->key_rand);
}

/* Adds a key to an organisation, and removes its oldest changing one if it has
 * enough. */
static void change_keys(struct sk *k, int64_t now)
{
	int32_t org = g_rand_int_range(k->key_rand, 0, SK_ORGS);
	struct sk_key *oldest = NULL;
	int n = 0;

	for (guint i = SK_ORGS; i < k->keys->len; i++) {
		struct sk_key *key = key_at(k, i);

		if (key->org != org || key->remove_sent_ms)
			continue;
		n++;
		if (!oldest)
			oldest = key;
	}
	if (n >= CHANGING_MAX || (n && g_rand_boolean(k->key_rand)))
		oldest->remove_sent_ms = now;
	else
		add_key(k, org);
}

void sk_keys_step(struct sk *k)
{
	g_autofree char *tenants = NULL;
	int64_t now = hx_now_ms();

	if (!sk_uses_keys(k->seed) || now < k->next_keys_ms)
		return;
	g_mutex_lock(&k->lock);
	change_keys(k, now);
	tenants = sk_keys_tenants(k);
	g_mutex_unlock(&k->lock);
	hf_configure(&k->fleet, ++k->config_version, tenants);
	now = hx_now_ms();
	g_mutex_lock(&k->lock);
	for (guint i = 0; i < k->keys->len; i++) {
		struct sk_key *key = key_at(k, i);

		if (!key->added_ms)
			key->added_ms = now;
		if (key->remove_sent_ms && !key->removed_ms)
			key->removed_ms = now;
	}
	g_mutex_unlock(&k->lock);
	k->next_keys_ms = now + g_rand_int_range(k->key_rand, CHANGE_MIN_MS,
						 CHANGE_MAX_MS);
}

static void use_text(struct sk_use *u, const char *text)
{
	snprintf(u->header, sizeof(u->header), "Authorization: Token %s", text);
	u->headers[0] = u->header;
	u->headers[1] = NULL;
}

void sk_use_steady(struct sk *k, int32_t org, struct sk_use *u)
{
	memset(u, 0, sizeof(*u));
	u->headers[0] = NULL;
	if (!sk_uses_keys(k->seed))
		return;
	/* The array may be growing. */
	g_mutex_lock(&k->lock);
	u->key = key_at(k, (guint)org);
	g_mutex_unlock(&k->lock);
	use_text(u, u->key->text);
}

/* Picks any key of the organisation, or one that was removed. */
static const struct sk_key *pick_key(const struct sk *k, GRand *rand,
				     int32_t org, bool removed)
{
	const struct sk_key *found = NULL;
	int n = 0;

	for (guint i = 0; i < k->keys->len; i++) {
		const struct sk_key *key = key_at(k, i);

		if (key->org == org && !key->removed_ms == !removed &&
		    !g_rand_int_range(rand, 0, ++n))
			found = key;
	}
	return found;
}

bool sk_draw_bad(const struct sk *k, GRand *rand)
{
	return sk_uses_keys(k->seed) && !g_rand_int_range(rand, 0, BAD_SHARE);
}

void sk_use_draw(struct sk *k, GRand *rand, int32_t org, bool bad,
		 struct sk_use *u)
{
	memset(u, 0, sizeof(*u));
	if (!sk_uses_keys(k->seed))
		return;
	g_mutex_lock(&k->lock);
	if (!bad || g_rand_boolean(rand))
		u->key = pick_key(k, rand, org, bad);
	g_mutex_unlock(&k->lock);
	/* No configuration contains such a key. */
	use_text(u, u->key ? u->key->text : "never");
	u->is_unknown = !u->key;
}

/* Must a VM that is asked then refuse the key? */
static bool is_void(const struct sk *k, const struct sk_use *u,
		    const struct sk_query *q)
{
	if (u->is_unknown)
		return true;
	if (!u->key->removed_ms)
		return false;
	if (sk_is_strict(k->seed) &&
	    q->asked_ms > u->key->removed_ms + SK_REVOKE_MS)
		return true;
	return q->asked_ms > u->key->removed_ms + SK_APPLY_MS &&
	       sk_was_connected(k, q);
}

bool sk_check_key(struct sk *k, const struct sk_use *u,
		  const struct sk_query *q, long status)
{
	if (!u->headers[0])
		return true;
	k->n_key_answers += status != 0;
	k->n_key_refusals += status == 401;
	if (is_void(k, u, q)) {
		k->n_void_keys++;
		if (status && status != 401 && status != 503)
			sk_report_violation(
				k, "KEY", u->header,
				"vm %d answers %ld, %lld ms after "
				"its removal",
				q->vm, status,
				u->key ? (long long)(q->asked_ms -
						     u->key->removed_ms)
				       : -1LL);
		return false;
	}
	if (status == 401 && u->key->added_ms &&
	    q->asked_ms > u->key->added_ms + SK_APPLY_MS &&
	    (!u->key->remove_sent_ms ||
	     u->key->remove_sent_ms > q->answered_ms) &&
	    sk_was_connected(k, q))
		sk_report_violation(
			k, "KEY", u->header,
			"vm %d refuses it, %lld ms after it was "
			"added",
			q->vm, (long long)(q->asked_ms - u->key->added_ms));
	return true;
}

void sk_probe_foreign(struct sk *k, void *easy, int vm, GRand *rand,
		      const struct sk_job *j, const char *body)
{
	static const char *const methods[] = { "GET", "DELETE", "POST" };
	const char *method = methods[g_rand_int_range(rand, 0, 3)];
	struct sk_query q = { .vm = vm, .asked_ms = hx_now_ms() };
	struct sk_use u;
	struct hx_response a;
	char path[32];

	sk_use_steady(k, (j->org + 1) % SK_ORGS, &u);
	snprintf(path, sizeof(path), "/q/%s", j->id);
	a = hf_call_with(&k->fleet, easy, vm, method, path,
			 *method == 'P' ? body : NULL, u.headers);
	q.answered_ms = hx_now_ms();
	g_mutex_lock(&k->lock);
	sk_check_key(k, &u, &q, a.status);
	k->n_foreign += a.status == 410 || a.status == 409;
	if (a.status / 100 == 2)
		sk_report_violation(k, "FOREIGN", j->id,
				    "vm %d answers a %s of another "
				    "organisation with %ld",
				    vm, method, a.status);
	g_mutex_unlock(&k->lock);
	hx_response_free(&a);
}

void sk_check_void_jobs(struct sk *k)
{
	for (guint i = 0; i < k->jobs->len; i++) {
		const struct sk_job *j = g_ptr_array_index(k->jobs, i);

		for (int t = 0; !j->may_run && t < j->steps * j->count; t++) {
			if (j->task_runs[t]->len)
				sk_report_violation(
					k, "KEY", j->id,
					"no valid key, task %d started", t);
		}
	}
}
