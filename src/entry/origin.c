/* Routing, retries and replies of the requests accepted by this entry. */
#include "entry/origin.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/frontend.h"
#include "entry/peers.h"
#include "entry/schedc.h"

/* Delay of a retry if the group has moved to another owner. */
#define OWNER_MOVED_RETRY_MS 40
/* Time after the deadline during which an answer is still awaited. */
#define ANSWER_GRACE_MS 400
#define ATTEMPT_KEY_MAX 128

struct request {
	struct origin *o;
	uint64_t id; /* of the current attempt */
	uint64_t first_id; /* of the first attempt; part of the claim token */
	struct client_request *creq;
	struct tevent_timer *timer;
	char group[VIEW_KEY_MAX];
	char owner[VIEW_ID_MAX]; /* member it was sent to, or "" */
	char target[VIEW_ID_MAX]; /* reported by the owner, or "" */
	int64_t attempts;
	bool claimed;
	bool claim_pending;
	bool maybe_ran; /* an attempt ended with an unknown outcome */
};

/* A binding of which this entry keeps a copy until its deadline. */
struct binding_copy {
	char key[ATTEMPT_KEY_MAX];
	char group[VIEW_KEY_MAX];
	char target[VIEW_ID_MAX];
	int64_t until_ms;
};

struct origin {
	struct entry *e;
	GHashTable *requests; /* attempt id to request */
	GHashTable *binding_copies; /* attempt key to binding_copy */
	uint64_t next_id;
};

static void route_request(struct request *r);
static void on_deadline(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval now, void *priv);

static int64_t remaining_ms(const struct request *r)
{
	return r->creq->deadline_ms - entry_now_ms(r->o->e);
}

static void set_timer(struct request *r, int64_t in_ms,
		      tevent_timer_handler_t handler)
{
	TALLOC_FREE(r->timer);
	if (in_ms < 0)
		in_ms = 0;
	r->timer = tevent_add_timer(
		r->o->e->ev, r,
		tevent_timeval_current_ofs(in_ms / 1000, in_ms % 1000 * 1000),
		handler, r);
}

static void format_claim_token(const struct request *r, char *buf, size_t size)
{
	const struct entry *e = r->o->e;

	snprintf(buf, size, "%s-%" PRIx64 "-%" PRIx64, e->settings.id,
		 e->incarnation, r->first_id);
}

static char *make_claim_json(const struct request *r)
{
	char token[ENTRY_ID_MAX];
	json_t *j;
	char *text;

	format_claim_token(r, token, sizeof(token));
	j = json_pack("{s:s,s:s,s:s}", "id", r->creq->id, "token", token,
		      "service", r->creq->service);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

static void ignore_release_reply(int64_t status, const char *text, void *priv)
{
	(void)status;
	(void)text;
	(void)priv;
}

/* Releases the claim of a request proved not run: the id may be retried. */
static void release_claim(struct request *r)
{
	char *text = make_claim_json(r);

	schedc_call(r->o->e->schedc, "release", r->creq->id, text,
		    entry_now_ms(r->o->e) + 5000, ignore_release_reply, NULL);
	free(text);
}

static void attempt_key(const struct origin *o, uint64_t id, char *buf,
			size_t size)
{
	snprintf(buf, size, "%s/%" PRIu64, o->e->settings.id, id);
}

static void store_binding_copy(struct origin *o, const char *key,
			       const char *group, const char *target,
			       int64_t until_ms)
{
	struct binding_copy *copy = g_new0(struct binding_copy, 1);

	snprintf(copy->key, sizeof(copy->key), "%s", key);
	snprintf(copy->group, sizeof(copy->group), "%s", group);
	snprintf(copy->target, sizeof(copy->target), "%s", target);
	copy->until_ms = until_ms;
	g_hash_table_replace(o->binding_copies, copy->key, copy);
}

/* Stores the binding of an attempt that may still run, until its deadline. */
static void record_possible_run(struct request *r)
{
	char key[ATTEMPT_KEY_MAX];

	r->maybe_ran = true;
	if (!*r->owner)
		return;
	attempt_key(r->o, r->id, key, sizeof(key));
	store_binding_copy(r->o, key, r->group, r->target,
			   r->creq->deadline_ms);
}

static void finish_request(struct request *r, int64_t outcome,
			   const char *reason)
{
	struct client_request *creq = r->creq;

	if (outcome == MSG_NOT_RUN) {
		/*
		 * Without a claim held here, an earlier attempt by the caller
		 * through another entry may have run this request id.
		 */
		if (r->maybe_ran ||
		    (!creq->idempotent && !r->claimed && !creq->first_attempt))
			outcome = MSG_UNKNOWN;
		else if (r->claimed)
			release_claim(r);
	}
	creq->outcome = outcome;
	creq->reason = reason;
	snprintf(creq->target, sizeof(creq->target), "%s", r->target);
	g_hash_table_remove(r->o->requests, &r->id);
	frontend_reply(creq);
	talloc_free(r);
}

/* Returns the load of a group in thousandths of its slots; 0 if not reported
 * yet. */
static int64_t group_load(struct origin *o, const struct view_group *g)
{
	int64_t milli = g->owner == o->e->self_index
				? owner_load_milli(o->e->owner, g->key)
				: peers_load_milli(o->e->peers, g->key);

	return milli < 0 ? 0 : milli;
}

static bool group_usable(const struct view_group *g, const struct request *r)
{
	return !g->domain_out && g->owner >= 0 && g->slots > 0 &&
	       !strcmp(g->pool, r->creq->pool);
}

static int list_groups(struct request *r, const char *region, bool local,
		       const struct view_group **out, int max)
{
	const struct view *v = r->o->e->view;
	int n = 0;

	for (int i = 0; i < v->n_groups && n < max; i++) {
		const struct view_group *g = &v->groups[i];

		if (group_usable(g, r) && local == !strcmp(g->region, region))
			out[n++] = g;
	}
	return n;
}

/*
 * Returns the less loaded of two random groups. Avoids the group of the last
 * attempt. NULL if the list is empty.
 */
static const struct view_group *
pick_less_loaded(struct request *r, const struct view_group **list, int n)
{
	struct origin *o = r->o;
	const struct view_group *a;
	const struct view_group *b;

	if (!n)
		return NULL;
	a = list[g_rand_int_range(o->e->rand, 0, n)];
	b = list[g_rand_int_range(o->e->rand, 0, n)];
	if (!strcmp(a->key, r->group))
		return b;
	if (!strcmp(b->key, r->group))
		return a;
	return group_load(o, a) <= group_load(o, b) ? a : b;
}

#define GROUPS_MAX 256
/*
 * Load in thousandths of the slots. Groups of other regions are considered
 * only if the local one has at least this load, and must be less loaded by
 * as much.
 */
#define REMOTE_LOAD_MILLI 1500

/* Baseline for comparisons: a random group, whatever its load. */
static const struct view_group *choose_any(struct request *r)
{
	const struct view_group *list[GROUPS_MAX];
	const char *region = r->o->e->settings.region;
	int n = list_groups(r, region, true, list, GROUPS_MAX);

	n += list_groups(r, region, false, list + n, GROUPS_MAX - n);
	return n ? list[g_rand_int_range(r->o->e->rand, 0, n)] : NULL;
}

/* Power of two choices; prefers groups in the region of this entry. */
static const struct view_group *choose_power_of_two(struct request *r)
{
	const struct view_group *list[GROUPS_MAX];
	const char *region = r->o->e->settings.region;
	const struct view_group *local;
	const struct view_group *remote;
	int n = list_groups(r, region, true, list, GROUPS_MAX);

	local = pick_less_loaded(r, list, n);
	if (local && group_load(r->o, local) < REMOTE_LOAD_MILLI)
		return local;
	n = list_groups(r, region, false, list, GROUPS_MAX);
	remote = pick_less_loaded(r, list, n);
	if (!local || !remote)
		return local ? local : remote;
	return group_load(r->o, remote) + REMOTE_LOAD_MILLI <
			       group_load(r->o, local)
		       ? remote
		       : local;
}

typedef const struct view_group *(*group_chooser)(struct request *r);

static const group_chooser group_choosers[] = {
	[SETTINGS_TWO_CHOICES] = choose_power_of_two,
	[SETTINGS_RANDOM] = choose_any,
};

static void on_retry(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *priv)
{
	struct request *r = priv;

	(void)ev;
	(void)te;
	(void)now;
	r->timer = NULL;
	route_request(r);
}

/*
 * Retries or finishes the request after an attempt without an answer. `moved`
 * says that the member it was sent to does not own the group any more.
 */
static void attempt_failed(struct request *r, int64_t outcome, bool moved,
			   const char *reason)
{
	struct retry_state s = { .attempts = r->attempts,
				 .outcome = outcome,
				 .idempotent = r->creq->idempotent,
				 .moved = moved,
				 .remaining_ms = remaining_ms(r) };

	if (outcome == MSG_UNKNOWN)
		record_possible_run(r);
	if (!retry_try_spend(&r->o->e->retry_budget, &s)) {
		finish_request(r, outcome, reason);
		return;
	}
	atomic_fetch_add(&r->o->e->stats.retries, 1);
	*r->owner = '\0';
	*r->target = '\0';
	/* With a new id, a late answer to the old attempt is ignored. */
	g_hash_table_remove(r->o->requests, &r->id);
	r->id = ++r->o->next_id;
	g_hash_table_insert(r->o->requests, &r->id, r);
	if (moved)
		set_timer(r, OWNER_MOVED_RETRY_MS, on_retry);
	else
		route_request(r);
}

static void fill_request(const struct request *r, struct msg *m)
{
	*m = (struct msg){ .kind = MSG_REQUEST,
			   .id = r->id,
			   .request_id = r->creq->id,
			   .service = r->creq->service,
			   .tenant = r->creq->tenant,
			   .group = r->group,
			   .idempotent = r->creq->idempotent,
			   .remaining_ms = remaining_ms(r),
			   .body = r->creq->body,
			   .body_len = r->creq->body_len,
			   .from = r->o->e->settings.id };
}

static void send_to_owner(struct request *r, const struct view_group *g)
{
	struct entry *e = r->o->e;
	struct msg m;

	snprintf(r->group, sizeof(r->group), "%s", g->key);
	snprintf(r->owner, sizeof(r->owner), "%s",
		 e->view->members[g->owner].id);
	r->attempts++;
	set_timer(r, remaining_ms(r) + ANSWER_GRACE_MS, on_deadline);
	fill_request(r, &m);
	if (g->owner == e->self_index) {
		owner_handle_request(e->owner, 0, &m);
		return;
	}
	atomic_fetch_add(&e->stats.forwarded, 1);
	atomic_fetch_add(&e->stats.forwarded_bytes, (int64_t)m.body_len);
	peers_add_load(e->peers, g->key, 1);
	if (!peers_send(e->peers, r->owner, &m))
		attempt_failed(r, MSG_NOT_RUN, true, "owner unreachable");
}

static void route_request(struct request *r)
{
	const struct view_group *g;

	if (!permit_is_held(&r->o->e->permit, entry_now_ms(r->o->e))) {
		finish_request(r, MSG_NOT_RUN, "no permit");
		return;
	}
	if (remaining_ms(r) <= 0) {
		finish_request(r, MSG_NOT_RUN, "deadline passed");
		return;
	}
	g = group_choosers[r->o->e->settings.group_choice](r);
	if (!g) {
		finish_request(r, MSG_NOT_RUN, "no target");
		return;
	}
	send_to_owner(r, g);
}

static void on_deadline(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval now, void *priv)
{
	struct request *r = priv;

	(void)ev;
	(void)te;
	(void)now;
	r->timer = NULL;
	if (!*r->owner) {
		finish_request(r, MSG_NOT_RUN, "deadline passed");
		return;
	}
	record_possible_run(r);
	finish_request(r, MSG_UNKNOWN, "no answer in time");
}

static void on_claimed(int64_t status, const char *text, void *priv)
{
	struct request *r = priv;

	(void)text;
	r->claim_pending = false;
	if (status == 200) {
		r->claimed = true;
		route_request(r);
	} else if (status == 409) {
		r->creq->status = 409;
		finish_request(r, MSG_UNKNOWN,
			       "duplicate of an earlier request");
	} else {
		finish_request(r, MSG_NOT_RUN, "claims unavailable");
	}
}

static void claim_request_id(struct request *r)
{
	char *text = make_claim_json(r);

	r->claim_pending = true;
	schedc_call(r->o->e->schedc, "claim", r->creq->id, text,
		    r->creq->deadline_ms, on_claimed, r);
	free(text);
}

void origin_handle_request(struct origin *o, struct client_request *creq)
{
	struct request *r = talloc_zero(o, struct request);

	r->o = o;
	r->creq = creq;
	r->id = ++o->next_id;
	r->first_id = r->id;
	g_hash_table_insert(o->requests, &r->id, r);
	retry_credit(&o->e->retry_budget);
	if (creq->idempotent ||
	    !permit_is_held(&o->e->permit, entry_now_ms(o->e)))
		route_request(r);
	else
		claim_request_id(r);
}

static struct request *find_request(struct origin *o, uint64_t id)
{
	return g_hash_table_lookup(o->requests, &id);
}

void origin_handle_binding(struct origin *o, const struct msg *m)
{
	struct request *r = find_request(o, m->id);

	if (r)
		snprintf(r->target, sizeof(r->target), "%s", m->target);
}

void origin_handle_answer(struct origin *o, const struct msg *m)
{
	struct request *r = find_request(o, m->id);

	if (!r || !*r->owner)
		return;
	snprintf(r->target, sizeof(r->target), "%s", m->target);
	if (m->outcome != MSG_ANSWERED) {
		attempt_failed(r, m->outcome, m->status == MSG_STATUS_MOVED,
			       m->outcome == MSG_NOT_RUN ? "refused"
							 : "lost at target");
		return;
	}
	r->creq->status = m->status;
	r->creq->reply_len = m->body_len;
	r->creq->reply = malloc(m->body_len + 1);
	memcpy(r->creq->reply, m->body ? m->body : "", m->body_len);
	finish_request(r, MSG_ANSWERED, "");
}

static void handle_owner_lost(struct request *r)
{
	if (r->creq->idempotent) {
		attempt_failed(r, MSG_UNKNOWN, false, "owner lost");
		return;
	}
	/* The owner may still answer over its own outbound link. */
	r->maybe_ran = true;
	if (remaining_ms(r) > r->o->e->settings.silence_ms)
		set_timer(r, r->o->e->settings.silence_ms, on_deadline);
}

void origin_handle_link_loss(struct origin *o, const char *member)
{
	GList *all = g_hash_table_get_values(o->requests);

	for (GList *at = all; at; at = at->next) {
		struct request *r = at->data;

		if (!strcmp(r->owner, member))
			handle_owner_lost(r);
	}
	g_list_free(all);
}

void origin_list_bindings(struct origin *o, const char *group,
			  const char *querying_member, binding_cb report,
			  void *priv)
{
	int64_t now_ms = entry_now_ms(o->e);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, o->requests);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct request *r = value;
		char key[ATTEMPT_KEY_MAX];

		if (!*r->owner || strcmp(r->group, group) != 0 ||
		    !strcmp(r->owner, querying_member))
			continue;
		attempt_key(o, r->id, key, sizeof(key));
		report(key, r->target, remaining_ms(r), priv);
	}
	g_hash_table_iter_init(&it, o->binding_copies);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct binding_copy *copy = value;

		if (copy->until_ms <= now_ms)
			g_hash_table_iter_remove(&it);
		else if (!strcmp(copy->group, group))
			report(copy->key, copy->target, copy->until_ms - now_ms,
			       priv);
	}
}

void origin_store_copy(struct origin *o, const struct msg *m)
{
	if (m->remaining_ms <= 0)
		g_hash_table_remove(o->binding_copies, m->key);
	else
		store_binding_copy(o, m->key, m->group, m->target,
				   entry_now_ms(o->e) + m->remaining_ms);
}

unsigned int origin_pending(const struct origin *o)
{
	return g_hash_table_size(o->requests);
}

struct origin *origin_start(struct entry *e)
{
	struct origin *o = talloc_zero(e->ev, struct origin);

	o->e = e;
	o->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	o->binding_copies =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return o;
}
