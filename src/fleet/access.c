/* Decisions on calls by their keys. */
#include "fleet/access.h"

#include <string.h>

#include "base/log.h"
#include "fleet/fleet.h"

/* With strict revocation, keys are refused this long before the bound, in ms: a
 * commit's call to the store may last as long. */
#define REVOKE_MARGIN_MS 1500
/* Denied calls are logged at most once in this time, in ms. */
#define LOG_GAP_MS 1000

const char *access_call_name(enum access_call call)
{
	static const char *const names[] = { "submit", "state", "cancel",
					     "pending" };

	return names[call];
}

/* Returns whether keys may be judged by the configuration known here. */
static bool keys_are_current(const struct fleet *f)
{
	int64_t age = clk_mono_ms(f->clk) - f->config_confirmed_ms;

	return !f->set.strict_revoke ||
	       age < f->set.revoke_ms - REVOKE_MARGIN_MS;
}

static void note_denied(struct fleet *f, enum access_call call,
			const char *queue, const char *why)
{
	struct access_counts *c = &f->access;
	int64_t now = clk_mono_ms(f->clk);
	int64_t sum = 0;

	c->denied[call]++;
	if (c->logged && now - c->logged_ms < LOG_GAP_MS)
		return;
	for (int i = 0; i < ACCESS_CALLS; i++)
		sum += c->denied[i];
	log_event(LOG_JOB,
		  "what=access call=%s queue=%s outcome=denied why=\"%s\" "
		  "calls=%lld config=%lld config_age_ms=%lld",
		  access_call_name(call), queue, why,
		  (long long)(sum - c->logged), (long long)f->catalog->version,
		  (long long)(now - f->config_confirmed_ms));
	c->logged = sum;
	c->logged_ms = now;
}

static enum access_verdict check_key(struct fleet *f, const char *queue,
				     enum access_call call,
				     const struct access *who,
				     const struct org **org)
{
	if (!keys_are_current(f))
		return ACCESS_UNCONFIRMED;
	*org = who->has_key ? org_keys_find(f->catalog->org_keys, &who->key)
			    : NULL;
	if (*org)
		return ACCESS_ALLOWED;
	note_denied(f, call, queue,
		    who->has_key ? "unknown key" : "no usable key");
	return ACCESS_DENIED;
}

enum access_verdict access_check(struct fleet *f, const struct catalog_queue *q,
				 const struct org_key *key,
				 enum access_call call, struct access *out)
{
	const struct org *org;
	enum access_verdict verdict;

	memset(out, 0, sizeof(*out));
	out->has_orgs = f->catalog->has_orgs;
	out->has_key = key != NULL;
	if (key)
		out->key = *key;
	if (!out->has_orgs || q->is_public)
		return ACCESS_ALLOWED;
	verdict = check_key(f, q->name, call, out, &org);
	if (verdict == ACCESS_ALLOWED)
		memcpy(out->org, org->name, sizeof(out->org));
	return verdict;
}

enum access_verdict access_recheck(struct fleet *f, const struct access *who,
				   const char *queue)
{
	const struct catalog *c = f->catalog;
	const struct catalog_queue *q;
	const struct org *org;
	enum access_verdict verdict;

	if (!who->has_orgs && !(c && c->has_orgs))
		return ACCESS_ALLOWED;
	if (!fleet_config_is_current(f))
		return ACCESS_UNCONFIRMED;
	q = catalog_find_queue(c, queue);
	if (!c->has_orgs || (!*who->org && (!q || q->is_public)))
		return ACCESS_ALLOWED;
	verdict = check_key(f, queue, ACCESS_SUBMIT, who, &org);
	/* The row to be sent names the organisation that had the key then. */
	if (verdict == ACCESS_ALLOWED && strcmp(org->name, who->org) != 0)
		return ACCESS_UNCONFIRMED;
	return verdict;
}

bool access_may_use(const struct access *who, const json_t *org)
{
	if (!who->has_orgs || !org)
		return true;
	return json_is_string(org) && !strcmp(json_string_value(org), who->org);
}

bool access_may_use_row(const struct access *who, const char *row)
{
	json_t *j;
	bool may;

	if (!who->has_orgs)
		return true;
	j = row ? json_loads(row, 0, NULL) : NULL;
	may = json_is_object(j) &&
	      access_may_use(who, json_object_get(j, "org"));
	json_decref(j);
	return may;
}
