/* The groups of targets that this entry owns: queue, bind, dispatch. */
#include "entry/owner.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "entry/origin.h"
#include "entry/owner_int.h"
#include "entry/peers.h"
#include "transport/htc.h"

#define TICK_MS 10
#define FIRST_TRY_MIN_MS 50
/* Work takes longer than this many times the mean only seldom. */
#define USUAL_MEANS 16
/* From binding to the first byte sent; with it slot.c's grace suffices. */
#define SEND_DELAY_MAX_MS 500

static void send_answer(struct job *j, const struct msg *m)
{
	struct entry *e = j->g->o->e;

	if (!j->link) {
		origin_handle_answer(e->origin, m);
		return;
	}
	if (!peers_reply(e->peers, j->link, m))
		peers_send(e->peers, j->origin, m);
}

static void free_job(struct job *j)
{
	j->g->o->pending--;
	free(j->body);
	free(j);
}

static void attempt_key(const struct job *j, char *buf, size_t size)
{
	snprintf(buf, size, "%s/%" PRIu64, j->origin, j->id);
}

/* Ends a job that no target was asked to run. */
void owner_refuse(struct job *j, const char *reason, bool moved)
{
	struct msg m = { .kind = MSG_ANSWER,
			 .id = j->id,
			 .outcome = MSG_NOT_RUN,
			 .status = moved ? MSG_STATUS_MOVED : 0,
			 .text = reason };

	send_answer(j, &m);
	free_job(j);
}

static struct entry *entry_of(const struct job *j)
{
	return j->g->o->e;
}

/* A binding must be known to another VM than this one. */
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

static void send_binding(struct job *j, int64_t remaining_ms)
{
	struct entry *e = entry_of(j);
	char key[ATTEMPT_KEY_MAX];
	struct msg m = { .kind = MSG_BINDING,
			 .id = j->id,
			 .group = j->g->key,
			 .target = j->slot.target,
			 .remaining_ms = remaining_ms,
			 .key = key };

	attempt_key(j, key, sizeof(key));
	if (j->link && remaining_ms <= 0 && !*j->backup)
		return;
	if (j->link && remaining_ms > 0 && peers_reply(e->peers, j->link, &m))
		return;
	if (remaining_ms > 0) {
		if (!j->link)
			origin_handle_binding(e->origin, &m);
		snprintf(j->backup, sizeof(j->backup), "%s", choose_backup(e));
	}
	if (*j->backup)
		peers_send(e->peers, j->backup, &m);
}

static enum slot_outcome slot_end_of(int64_t outcome)
{
	if (outcome == MSG_ANSWERED)
		return SLOT_DONE;
	return outcome == MSG_NOT_RUN ? SLOT_NOT_RUN : SLOT_UNKNOWN;
}

static int64_t outcome_of(const struct htc_response *ans, const struct job *j)
{
	if (ans->result == HTC_NOT_SENT)
		return MSG_NOT_RUN;
	if (ans->result == HTC_UNKNOWN)
		return MSG_UNKNOWN;
	if (ans->not_started)
		return MSG_NOT_RUN;
	/* An answer to somebody else's request is no answer to this one. */
	if (*ans->request_id && strcmp(ans->request_id, j->request_id) != 0)
		return MSG_UNKNOWN;
	return MSG_ANSWERED;
}

static void on_target_answer(const struct htc_response *ans, void *priv)
{
	struct job *j = priv;
	struct group *g = j->g;
	int64_t outcome = outcome_of(ans, j);
	struct msg m = { .kind = MSG_ANSWER,
			 .id = j->id,
			 .outcome = outcome,
			 .status = outcome == MSG_ANSWERED ? ans->status : 0,
			 .target = j->slot.target,
			 .body = ans->body,
			 .body_len = ans->body_len };

	if (outcome != MSG_ANSWERED)
		log_event(LOG_TARGET_PATH, "target=%s request=%s outcome=%s",
			  j->slot.target, j->request_id,
			  msg_outcome_name(outcome));
	slot_release(&g->slots, &j->slot, slot_end_of(outcome),
		     entry_now_ms(g->o->e));
	cds_list_del(&j->node);
	send_binding(j, 0);
	send_answer(j, &m);
	free_job(j);
	owner_pump(g);
}

/* Asked right before the first byte goes out to the target. */
static bool may_send(void *priv)
{
	struct job *j = priv;
	struct entry *e = entry_of(j);
	int64_t now_ms = entry_now_ms(e);

	return j->g->state == GROUP_OPEN && !j->g->slots.closed &&
	       entry_may_start_work(e) && now_ms < j->slot.deadline_ms &&
	       now_ms - j->slot.bound_ms <= SEND_DELAY_MAX_MS;
}

static const struct view_vm *find_vm(const struct group *g, const char *id)
{
	for (int i = 0; i < g->slots.n_targets; i++) {
		if (!strcmp(g->slots.targets[i].vm.id, id))
			return &g->slots.targets[i].vm;
	}
	return NULL;
}

/*
 * What may be tried again leaves time for that, unless the time left is
 * within what work of this kind may well take.
 */
static int64_t attempt_ms(const struct job *j, int64_t remaining_ms)
{
	int64_t usual_ms = j->g->slots.mean_us * USUAL_MEANS / 1000;
	int64_t ms = remaining_ms / 2;

	if (ms < usual_ms)
		ms = usual_ms;
	if (!j->idempotent || ms > remaining_ms || ms < FIRST_TRY_MIN_MS)
		return remaining_ms;
	return ms;
}

static void dispatch(struct job *j)
{
	struct entry *e = entry_of(j);
	const struct view_vm *vm = find_vm(j->g, j->slot.target);
	int64_t now_ms = entry_now_ms(e);
	int64_t left_ms = attempt_ms(j, j->slot.deadline_ms - now_ms);
	char url[256];
	char id[ENTRY_ID_MAX + 16];
	char deadline[64];
	struct htc_request req = { .method = "POST",
				   .url = url,
				   .body = j->body,
				   .body_len = j->body_len,
				   .headers = { id, deadline },
				   .timeout_ms = left_ms,
				   .exclusive_connection = !j->idempotent,
				   .may_send = may_send };

	snprintf(url, sizeof(url), "http://%s:%u/run/%s", vm->ip, vm->port,
		 j->service);
	snprintf(id, sizeof(id), "Request-Id: %s", j->request_id);
	snprintf(deadline, sizeof(deadline), "Deadline-Ms: %" PRId64, left_ms);
	cds_list_add(&j->node, &j->g->running);
	/* The target is told to be done by then; until then it may run. */
	j->slot.deadline_ms = now_ms + left_ms;
	/* Whoever may have to take over learns it before the target does. */
	send_binding(j, left_ms);
	atomic_fetch_add(&e->stats.dispatched, 1);
	htc_send(e->http, &req, on_target_answer, j);
}

void owner_pump(struct group *g)
{
	int64_t now_ms = entry_now_ms(g->o->e);
	struct slot_req *s;

	while ((s = slot_dequeue_expired(&g->slots, now_ms)))
		owner_refuse((struct job *)s, "deadline passed in queue",
			     false);
	if (g->state != GROUP_OPEN || !entry_may_start_work(g->o->e))
		return;
	while ((s = slot_bind(&g->slots, now_ms)))
		dispatch((struct job *)s);
}

static struct job *new_job(struct owner *o, struct group *g, uint64_t link,
			   const struct msg *m)
{
	struct job *j = calloc(1, sizeof(*j));

	j->g = g;
	j->link = link;
	j->id = m->id;
	j->idempotent = m->idempotent;
	j->slot.deadline_ms = entry_now_ms(o->e) + m->remaining_ms;
	snprintf(j->slot.tenant, sizeof(j->slot.tenant), "%s", m->tenant);
	snprintf(j->origin, sizeof(j->origin), "%s", m->from);
	snprintf(j->request_id, sizeof(j->request_id), "%s", m->request_id);
	snprintf(j->service, sizeof(j->service), "%s", m->service);
	j->body = malloc(m->body_len + 1);
	memcpy(j->body, m->body ? m->body : "", m->body_len);
	j->body[m->body_len] = '\0';
	j->body_len = m->body_len;
	o->pending++;
	return j;
}

static void refuse_unowned(struct owner *o, uint64_t link, const struct msg *m)
{
	struct msg ans = { .kind = MSG_ANSWER,
			   .id = m->id,
			   .outcome = MSG_NOT_RUN,
			   .status = MSG_STATUS_MOVED,
			   .text = "not the owner" };

	if (link)
		peers_reply(o->e->peers, link, &ans);
	else
		origin_handle_answer(o->e->origin, &ans);
}

void owner_handle_request(struct owner *o, uint64_t link, const struct msg *m)
{
	struct group *g = g_hash_table_lookup(o->groups, m->group);
	const char *reason;
	struct job *j;

	if (!g || g->state == GROUP_RELEASED) {
		refuse_unowned(o, link, m);
		return;
	}
	j = new_job(o, g, link, m);
	reason = slot_enqueue(&g->slots, &j->slot, entry_now_ms(o->e));
	if (reason) {
		owner_refuse(j, reason, g->slots.closed);
		return;
	}
	owner_pump(g);
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

		owner_drive_group(g, now_ms);
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
	struct job *j;

	if (!g)
		return;
	cds_list_for_each_entry(j, &g->running, node)
	{
		char key[ATTEMPT_KEY_MAX];

		attempt_key(j, key, sizeof(key));
		report(key, j->slot.target, j->slot.deadline_ms - now_ms, priv);
	}
	for (int i = 0; i < g->slots.n_holds; i++) {
		const struct slot_hold *h = &g->slots.holds[i];
		char key[ATTEMPT_KEY_MAX];

		snprintf(key, sizeof(key), "%s/hold/%d", o->e->settings.id, i);
		if (h->until_ms > now_ms)
			report(key, h->target, h->until_ms - now_ms, priv);
	}
}

static int64_t open_slots(const struct group *g)
{
	int64_t slots = 0;

	for (int i = 0; i < g->slots.n_targets; i++) {
		if (!g->slots.targets[i].vm.leaving)
			slots += g->slots.targets[i].vm.slots;
	}
	return slots;
}

static int64_t load_milli(const struct group *g)
{
	int64_t slots = open_slots(g);

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
					      (json_int_t)load_milli(g),
					      (json_int_t)open_slots(g)));
	}
	return out;
}

int64_t owner_load_milli(const struct owner *o, const char *group)
{
	const struct group *g = g_hash_table_lookup(o->groups, group);

	return g && g->state != GROUP_RELEASED ? load_milli(g) : -1;
}

unsigned int owner_pending(const struct owner *o)
{
	return o->pending;
}
