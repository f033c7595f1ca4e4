/* Owned groups: queues requests, binds them to slots and dispatches them. */
#include "entry/owner.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "daemon/memory_limit.h"
#include "entry/origin.h"
#include "entry/owner_int.h"
#include "entry/peers.h"
#include "transport/htc.h"

#define TICK_MS 10
#define ATTEMPT_MIN_MS 50
/* Few requests take longer than this many times the mean slot time. */
#define TYPICAL_MEANS 16
/*
 * Longest time from binding a request to the first byte sent to the target.
 * The grace time that slot.c adds to holds covers it.
 */
#define SEND_DELAY_MAX_MS 500
/* Part of the memory limit for bodies of requests from other members. */
#define BODIES_SHARE 8

static void send_answer(struct owner_req *r, const struct msg *m)
{
	struct entry *e = r->g->o->e;

	if (!r->link_id) {
		origin_handle_answer(e->origin, m);
		return;
	}
	if (!peers_reply(e->peers, r->link_id, m))
		peers_send(e->peers, r->origin, m);
}

static void free_request(struct owner_req *r)
{
	r->g->o->n_pending--;
	if (r->link_id)
		r->g->o->body_bytes -= (int64_t)r->body_len;
	free(r->body);
	free(r);
}

static void attempt_key(const struct owner_req *r, char *buf, size_t size)
{
	snprintf(buf, size, "%s/%" PRIu64, r->origin, r->id);
}

void owner_reject(struct owner_req *r, const char *reason, bool moved)
{
	struct msg m = { .kind = MSG_ANSWER,
			 .id = r->id,
			 .outcome = MSG_NOT_RUN,
			 .status = moved ? MSG_STATUS_MOVED : 0,
			 .text = reason };

	send_answer(r, &m);
	free_request(r);
}

static struct entry *entry_of(const struct owner_req *r)
{
	return r->g->o->e;
}

/* Each binding must be known on a second VM; prefers one in this domain. */
static const char *choose_backup(struct entry *e)
{
	const struct view *v = e->view;
	const struct view_member *best = NULL;

	for (int i = 0; i < v->n_members; i++) {
		const struct view_member *m = &v->members[i];
		bool near = !strcmp(m->domain, e->settings.domain);

		if (i != e->self_index && (!best || near))
			best = m;
	}
	return best ? best->id : "";
}

/*
 * Sends the binding to the origin, or if that is this process or unreachable,
 * to a backup. A `remaining_ms` of 0 removes the backup's copy.
 */
static void send_binding(struct owner_req *r, int64_t remaining_ms)
{
	struct entry *e = entry_of(r);
	char key[ATTEMPT_KEY_MAX];
	struct msg m = { .kind = MSG_BINDING,
			 .id = r->id,
			 .group = r->g->key,
			 .target = r->slot.target,
			 .remaining_ms = remaining_ms,
			 .key = key };

	attempt_key(r, key, sizeof(key));
	if (r->link_id && remaining_ms <= 0 && !*r->backup)
		return;
	if (r->link_id && remaining_ms > 0 &&
	    peers_reply(e->peers, r->link_id, &m))
		return;
	if (remaining_ms > 0) {
		if (!r->link_id)
			origin_handle_binding(e->origin, &m);
		snprintf(r->backup, sizeof(r->backup), "%s", choose_backup(e));
	}
	if (*r->backup)
		peers_send(e->peers, r->backup, &m);
}

static enum slot_outcome slot_outcome_of(int64_t outcome)
{
	if (outcome == MSG_ANSWERED)
		return SLOT_DONE;
	return outcome == MSG_NOT_RUN ? SLOT_NOT_RUN : SLOT_UNKNOWN;
}

static int64_t outcome_of_answer(const struct htc_response *ans,
				 const struct owner_req *r)
{
	if (ans->result == HTC_NOT_SENT)
		return MSG_NOT_RUN;
	if (ans->result == HTC_UNKNOWN)
		return MSG_UNKNOWN;
	if (ans->not_started)
		return MSG_NOT_RUN;
	/* The target answered a different request id. */
	if (*ans->request_id && strcmp(ans->request_id, r->request_id) != 0)
		return MSG_UNKNOWN;
	return MSG_ANSWERED;
}

static void on_target_answer(const struct htc_response *ans, void *priv)
{
	struct owner_req *r = priv;
	struct group *g = r->g;
	int64_t outcome = outcome_of_answer(ans, r);
	struct msg m = { .kind = MSG_ANSWER,
			 .id = r->id,
			 .outcome = outcome,
			 .status = outcome == MSG_ANSWERED ? ans->status : 0,
			 .target = r->slot.target,
			 .body = ans->body,
			 .body_len = ans->body_len };

	if (outcome != MSG_ANSWERED)
		log_event(LOG_TARGET_PATH, "target=%s request=%s outcome=%s",
			  r->slot.target, r->request_id,
			  msg_outcome_name(outcome));
	slot_release(&g->slots, &r->slot, slot_outcome_of(outcome),
		     entry_now_ms(g->o->e));
	cds_list_del(&r->node);
	send_binding(r, 0);
	send_answer(r, &m);
	free_request(r);
	owner_dispatch_queued(g);
}

/* Called right before the first byte is sent to the target. */
static bool may_send_request(void *priv)
{
	struct owner_req *r = priv;
	struct entry *e = entry_of(r);
	int64_t now_ms = entry_now_ms(e);

	return r->g->state == GROUP_OPEN && !r->g->slots.closed &&
	       entry_may_start_work(e) && now_ms < r->slot.deadline_ms &&
	       now_ms - r->slot.bound_ms <= SEND_DELAY_MAX_MS;
}

static const struct view_vm *find_target(const struct group *g, const char *id)
{
	for (int i = 0; i < g->slots.n_targets; i++) {
		if (!strcmp(g->slots.targets[i].vm.id, id))
			return &g->slots.targets[i].vm;
	}
	return NULL;
}

/*
 * Timeout of one attempt. An idempotent request gets half the remaining time,
 * to leave time for a retry, but not less than a typical request takes.
 */
static int64_t attempt_timeout_ms(const struct owner_req *r,
				  int64_t remaining_ms)
{
	int64_t typical_ms = r->g->slots.mean_us * TYPICAL_MEANS / 1000;
	int64_t ms = remaining_ms / 2;

	if (ms < typical_ms)
		ms = typical_ms;
	if (!r->idempotent || ms > remaining_ms || ms < ATTEMPT_MIN_MS)
		return remaining_ms;
	return ms;
}

static void dispatch(struct owner_req *r)
{
	struct entry *e = entry_of(r);
	const struct view_vm *vm = find_target(r->g, r->slot.target);
	int64_t now_ms = entry_now_ms(e);
	int64_t timeout_ms =
		attempt_timeout_ms(r, r->slot.deadline_ms - now_ms);
	char url[256];
	char id[ENTRY_ID_MAX + 16];
	char deadline[64];
	struct htc_request req = { .method = "POST",
				   .url = url,
				   .body = r->body,
				   .body_len = r->body_len,
				   .headers = { id, deadline },
				   .timeout_ms = timeout_ms,
				   .exclusive_connection = !r->idempotent,
				   .may_send = may_send_request };

	snprintf(url, sizeof(url), "http://%s:%u/run/%s", vm->ip, vm->port,
		 r->service);
	snprintf(id, sizeof(id), "Request-Id: %s", r->request_id);
	snprintf(deadline, sizeof(deadline), "Deadline-Ms: %" PRId64,
		 timeout_ms);
	cds_list_add(&r->node, &r->g->running);
	/* The target gets this deadline; the request may run until then. */
	r->slot.deadline_ms = now_ms + timeout_ms;
	/* The binding must be known to a second member before it runs. */
	send_binding(r, timeout_ms);
	atomic_fetch_add(&e->stats.dispatched, 1);
	htc_send(e->http, &req, on_target_answer, r);
}

void owner_dispatch_queued(struct group *g)
{
	int64_t now_ms = entry_now_ms(g->o->e);
	struct slot_req *s;

	while ((s = slot_dequeue_expired(&g->slots, now_ms)))
		owner_reject((struct owner_req *)s, "deadline passed in queue",
			     false);
	if (g->state != GROUP_OPEN || !entry_may_start_work(g->o->e))
		return;
	while ((s = slot_bind(&g->slots, now_ms)))
		dispatch((struct owner_req *)s);
}

static struct owner_req *new_request(struct owner *o, struct group *g,
				     uint64_t link_id, const struct msg *m)
{
	struct owner_req *r = calloc(1, sizeof(*r));

	r->g = g;
	r->link_id = link_id;
	r->id = m->id;
	r->idempotent = m->idempotent;
	r->slot.deadline_ms = entry_now_ms(o->e) + m->remaining_ms;
	snprintf(r->slot.tenant, sizeof(r->slot.tenant), "%s", m->tenant);
	snprintf(r->origin, sizeof(r->origin), "%s", m->from);
	snprintf(r->request_id, sizeof(r->request_id), "%s", m->request_id);
	snprintf(r->service, sizeof(r->service), "%s", m->service);
	r->body = malloc(m->body_len + 1);
	memcpy(r->body, m->body ? m->body : "", m->body_len);
	r->body[m->body_len] = '\0';
	r->body_len = m->body_len;
	o->n_pending++;
	if (link_id)
		o->body_bytes += (int64_t)r->body_len;
	return r;
}

/* Answers "not run" to a request that was not queued. */
static void reject_message(struct owner *o, uint64_t link_id,
			   const struct msg *m, const char *reason, bool moved)
{
	struct msg ans = { .kind = MSG_ANSWER,
			   .id = m->id,
			   .outcome = MSG_NOT_RUN,
			   .status = moved ? MSG_STATUS_MOVED : 0,
			   .text = reason };

	if (link_id)
		peers_reply(o->e->peers, link_id, &ans);
	else
		origin_handle_answer(o->e->origin, &ans);
}

void owner_handle_request(struct owner *o, uint64_t link_id,
			  const struct msg *m)
{
	struct group *g = g_hash_table_lookup(o->groups, m->group);
	const char *reason;
	struct owner_req *r;

	if (!g || g->state == GROUP_RELEASED) {
		reject_message(o, link_id, m, "not the owner", true);
		return;
	}
	/* Bodies from callers of this process are bounded by its frontends. */
	if (link_id &&
	    o->body_bytes + (int64_t)m->body_len > o->body_bytes_max) {
		reject_message(o, link_id, m, "no memory at the owner", false);
		return;
	}
	r = new_request(o, g, link_id, m);
	reason = slot_enqueue(&g->slots, &r->slot, entry_now_ms(o->e));
	if (reason) {
		owner_reject(r, reason, g->slots.closed);
		return;
	}
	owner_dispatch_queued(g);
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct owner *o = priv;
	int64_t now_ms = entry_now_ms(o->e);
	int64_t owned = 0;
	GHashTableIter it;
	gpointer value;

	(void)te;
	(void)now;
	g_hash_table_iter_init(&it, o->groups);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct group *g = value;

		owner_update_group(g, now_ms);
		owned += g->state != GROUP_RELEASED;
		if (g->state == GROUP_RELEASED && cds_list_empty(&g->running))
			g_hash_table_iter_remove(&it);
	}
	atomic_store(&o->e->stats.groups_owned, owned);
	tevent_add_timer(ev, o, tevent_timeval_current_ofs(0, TICK_MS * 1000),
			 on_tick, o);
}

struct owner *owner_start(struct entry *e)
{
	struct owner *o = talloc_zero(e->ev, struct owner);

	o->e = e;
	o->body_bytes_max = memory_limit_bytes(&e->settings) / BODIES_SHARE;
	o->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  owner_free_group);
	tevent_add_timer(e->ev, o, tevent_timeval_current(), on_tick, o);
	return o;
}

void owner_list_bindings(struct owner *o, const char *group, binding_cb report,
			 void *priv)
{
	struct group *g = g_hash_table_lookup(o->groups, group);
	int64_t now_ms = entry_now_ms(o->e);
	struct owner_req *r;

	if (!g)
		return;
	cds_list_for_each_entry(r, &g->running, node)
	{
		char key[ATTEMPT_KEY_MAX];

		attempt_key(r, key, sizeof(key));
		report(key, r->slot.target, r->slot.deadline_ms - now_ms, priv);
	}
	for (int i = 0; i < g->slots.n_holds; i++) {
		const struct slot_hold *h = &g->slots.holds[i];
		char key[ATTEMPT_KEY_MAX];

		snprintf(key, sizeof(key), "%s/hold/%d", o->e->settings.id, i);
		if (h->until_ms > now_ms)
			report(key, h->target, h->until_ms - now_ms, priv);
	}
}

/* Returns the slots of all targets that are not leaving. */
static int64_t count_open_slots(const struct group *g)
{
	int64_t slots = 0;

	for (int i = 0; i < g->slots.n_targets; i++) {
		if (!g->slots.targets[i].vm.leaving)
			slots += g->slots.targets[i].vm.slots;
	}
	return slots;
}

static int64_t group_load_milli(const struct group *g)
{
	int64_t slots = count_open_slots(g);

	if (!slots)
		return 0;
	return (g->slots.busy + g->slots.queued + g->slots.n_holds) * 1000 /
	       slots;
}

json_t *owner_loads(const struct owner *o)
{
	json_t *out = json_object();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, o->groups);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct group *g = value;

		if (g->state == GROUP_RELEASED)
			continue;
		json_object_set_new(out, g->key,
				    json_pack("[I,I]",
					      (json_int_t)group_load_milli(g),
					      (json_int_t)count_open_slots(g)));
	}
	return out;
}

int64_t owner_load_milli(const struct owner *o, const char *group)
{
	const struct group *g = g_hash_table_lookup(o->groups, group);

	return g && g->state != GROUP_RELEASED ? group_load_milli(g) : -1;
}

unsigned int owner_pending(const struct owner *o)
{
	return o->n_pending;
}
