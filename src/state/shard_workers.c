/* A shard's workers: requests and answers, expired leases and evictions. Also
 * refuses tasks that fit no worker and removes ended jobs. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "state/shard_int.h"

/* Assumed limit of the drift between the clocks of two VMs, in thousandths. */
#define CLOCK_DRIFT_MILLI 50
/* A worker is usable if it answered within a lease divided by this. */
#define FRESH_LEASE_DIVISOR 4
/* Tasks that fit no listed worker are refused this long after their job was
 * submitted or recovered, in ms. */
#define REFUSE_AFTER_MS 60000
#define FORGET_MAX_PER_TICK 8

static bool is_domain_out(const struct shard *s, const char *domain)
{
	return g_hash_table_contains(s->out_domains, domain);
}

static void update_worker(struct shard *s, const struct view_vm *vm)
{
	int i = shard_get_worker(s, vm->id);
	struct shard_worker *w = &s->workers[i];
	struct place_worker *p = &s->place[i];

	w->listed = true;
	w->leaving = vm->leaving;
	w->port = vm->port;
	snprintf(w->ip, sizeof(w->ip), "%s", vm->ip);
	snprintf(p->domain, sizeof(p->domain), "%s", vm->domain);
	p->total = (struct place_resources){ vm->cpu_milli, vm->mem_mib,
					     vm->accelerators };
}

void shard_set_view(struct shard *s, const struct view *v,
		    struct shard_time now)
{
	(void)now;
	for (int i = 0; i < s->n_workers; i++)
		s->workers[i].listed = false;
	for (int i = 0; i < v->n_vms; i++) {
		if (!strcmp(v->vms[i].kind, "worker") &&
		    view_shard_of(v->vms[i].id, (int)s->opt.shards) ==
			    s->opt.number)
			update_worker(s, &v->vms[i]);
	}
	g_hash_table_remove_all(s->out_domains);
	for (int i = 0; i < v->n_out_domains; i++)
		g_hash_table_add(s->out_domains, g_strdup(v->out_domains[i]));
	g_hash_table_remove_all(s->quotas);
	for (int i = 0; i < v->n_teams; i++) {
		int64_t part = v->teams[i].quota_cpu_milli / s->opt.shards;

		g_hash_table_replace(s->quotas, g_strdup(v->teams[i].name),
				     g_memdup2(&part, sizeof(part)));
	}
}

static json_t *task_ref(const struct shard_task *t)
{
	char name[SHARD_TASK_NAME_MAX];

	shard_task_name(t, name, sizeof(name));
	return json_pack("[s,i]", name, t->attempt);
}

static json_t *start_command(const struct shard_task *t)
{
	char name[SHARD_TASK_NAME_MAX];

	shard_task_name(t, name, sizeof(name));
	return json_pack("{s:s,s:i,s:I,s:I,s:I,s:I,s:I,s:s}", "t", name, "a",
			 t->attempt, "cpu", (json_int_t)t->reserved.cpu_milli,
			 "mem", (json_int_t)t->reserved.mem_mib, "acc",
			 (json_int_t)t->reserved.accelerators, "run_ms",
			 (json_int_t)t->job->rec.run_ms, "from_ms",
			 (json_int_t)t->progress_ms, "class",
			 rec_class_name(t->job->rec.task_class));
}

static json_t *parse_ref(const char *ref)
{
	const char *colon = strrchr(ref, ':');

	return json_pack("[s#,I]", ref, (int)(colon - ref),
			 (json_int_t)strtoll(colon + 1, NULL, 10));
}

static json_t *refs_to_json(GPtrArray *list)
{
	json_t *out = json_array();

	for (guint i = 0; i < list->len; i++)
		json_array_append_new(out, parse_ref(list->pdata[i]));
	return out;
}

/* Acks are sent again until the worker has answered. */
static json_t *take_acks(struct shard_worker *w)
{
	for (guint i = 0; i < w->acks->len; i++) {
		g_ptr_array_add(w->acks_sent, w->acks->pdata[i]);
		w->acks->pdata[i] = NULL;
	}
	g_ptr_array_set_size(w->acks, 0);
	return refs_to_json(w->acks_sent);
}

static void add_commands(struct shard *s, int index, bool may_start,
			 json_t *start, json_t *stop, json_t *checkpoint)
{
	struct shard_worker *w = &s->workers[index];
	bool out = is_domain_out(s, s->place[index].domain);
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, w->tasks);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct shard_task *t = key;

		if (!t->durable)
			continue;
		if (t->stop_requested)
			json_array_append_new(stop, task_ref(t));
		else if (t->evict_requested)
			json_array_append_new(checkpoint, task_ref(t));
		else if (t->state == SHARD_STARTING && may_start && !out)
			json_array_append_new(start, start_command(t));
	}
}

json_t *shard_sync_request(struct shard *s, int w, bool may_start,
			   bool may_renew)
{
	struct shard_worker *worker = &s->workers[w];
	json_t *start = json_array();
	json_t *stop = refs_to_json(worker->foreign_tasks);
	json_t *checkpoint = json_array();

	worker->has_commands = false;
	/* Without a stamp the worker can't tell the age of a command. */
	add_commands(s, w, may_start && worker->stamp, start, stop, checkpoint);
	return json_pack(
		"{s:i,s:I,s:I,s:I,s:I,s:I,s:b,s:o,s:o,s:o,s:o}", "shard",
		s->opt.number, "epoch", (json_int_t)s->opt.epoch, "stamp",
		(json_int_t)worker->stamp, "seen",
		(json_int_t)(worker->reconciled ? worker->seq : 0), "lease_ms",
		(json_int_t)s->opt.worker_lease_ms, "age_max_ms",
		(json_int_t)s->opt.start_age_max_ms, "renew",
		may_renew && worker->stamp, "start", start, "stop", stop,
		"checkpoint", checkpoint, "ack", take_acks(worker));
}

static int parse_end(const char *state)
{
	static const struct {
		const char *state;
		enum shard_attempt_end end;
	} map[] = {
		{ "done", ATTEMPT_DONE },
		{ "fail", ATTEMPT_FAILED },
		{ "evicted", ATTEMPT_EVICTED },
		{ "stopped", ATTEMPT_STOPPED },
		{ "never", ATTEMPT_NOT_STARTED },
		{ "lapsed", ATTEMPT_LOST },
	};

	for (size_t i = 0; i < sizeof(map) / sizeof(map[0]); i++) {
		if (!strcmp(map[i].state, state))
			return map[i].end;
	}
	return -1;
}

static void ack_now(struct shard_worker *w, const char *name, int64_t attempt)
{
	g_ptr_array_add(w->acks, g_strdup_printf("%s:%" PRId64, name, attempt));
}

/* Sends the ack once the entry that records the end is committed. */
static void ack_after_commit(struct shard *s, int w, const char *name,
			     int64_t attempt)
{
	struct shard_ack *a = g_new0(struct shard_ack, 1);

	a->worker = w;
	a->name = g_strdup_printf("%s:%" PRId64, name, attempt);
	g_ptr_array_add(s->acks_pending, a);
}

/* Updates the moving mean of measured to declared CPU use. */
static void update_cpu_ratio(struct shard_job *job, int64_t measured_milli)
{
	int64_t ratio = measured_milli * 1000 / job->rec.cpu_milli;

	job->cpu_ratio_milli += (ratio - job->cpu_ratio_milli) / 4;
	if (job->cpu_ratio_milli < 250)
		job->cpu_ratio_milli = 250;
	if (job->cpu_ratio_milli > 4000)
		job->cpu_ratio_milli = 4000;
}

static void record_end(struct shard *s, int w, struct shard_task *t, int end,
		       const json_t *row, struct shard_time now)
{
	struct place_worker *p = &s->place[w];
	int64_t progress = json_integer_value(json_object_get(row, "ms"));
	int64_t ran = json_integer_value(json_object_get(row, "ran_ms"));
	uint64_t job = g_str_hash(t->job->rec.name);
	char name[SHARD_TASK_NAME_MAX];

	shard_task_name(t, name, sizeof(name));
	ack_after_commit(s, w, name, t->attempt);
	if (end == ATTEMPT_EVICTED)
		log_event(LOG_TASK_EVICTED, "task=%s worker=%s", name,
			  s->workers[w].id);
	shard_end_attempt(s, t, (enum shard_attempt_end)end, progress, ran,
			  now);
	if ((end == ATTEMPT_DONE || end == ATTEMPT_FAILED) &&
	    place_note_result(p, end == ATTEMPT_FAILED, job, now.mono_ms))
		log_event(LOG_WORKER_QUARANTINED, "worker=%s for_ms=%" PRId64,
			  s->workers[w].id, p->quarantine_ms);
}

static void handle_task_report(struct shard *s, int w, const json_t *row,
			       struct shard_time now)
{
	const char *name = json_string_value(json_object_get(row, "t"));
	const char *state = json_string_value(json_object_get(row, "s"));
	int64_t attempt = json_integer_value(json_object_get(row, "a"));
	struct shard_task *t = name ? shard_find_task(s, name) : NULL;
	bool ours = t && t->worker == w && t->attempt == attempt;
	int end = state ? parse_end(state) : -1;

	if (!name || !state)
		return;
	if (!ours && end >= 0) {
		ack_now(&s->workers[w], name, attempt);
		return;
	}
	if (!ours) {
		/* By our records this task doesn't run there: stop it. */
		g_ptr_array_add(s->workers[w].foreign_tasks,
				g_strdup_printf("%s:%" PRId64, name, attempt));
		return;
	}
	if (!t->durable)
		return;
	if (end >= 0) {
		record_end(s, w, t, end, row, now);
		return;
	}
	if (t->state == SHARD_STARTING)
		shard_set_state(s, t, SHARD_RUNNING);
	t->measured_cpu_milli = json_integer_value(json_object_get(row, "cpu"));
	if (t->measured_cpu_milli > 0)
		update_cpu_ratio(t->job, t->measured_cpu_milli);
}

static void lose_task(struct shard *s, struct shard_task *t,
		      struct shard_time now)
{
	/* Its run time is unknown: charge the time since its start. */
	const struct shard_attempt *a = &g_array_index(
		t->attempts, struct shard_attempt, t->attempts->len - 1);
	int64_t ran_ms = now.wall_ms - a->start_wall_ms;

	shard_end_attempt(s, t, ATTEMPT_LOST, 0, ran_ms > 0 ? ran_ms : 0, now);
}

/* Ends the tasks on `w` that aren't in `keep` as lost; NULL: all of them. */
static void lose_unlisted(struct shard *s, int w, GHashTable *keep,
			  struct shard_time now)
{
	GList *all = g_hash_table_get_keys(s->workers[w].tasks);

	for (GList *at = all; at; at = at->next) {
		struct shard_task *t = at->data;

		if (t->durable && !(keep && g_hash_table_contains(keep, t)))
			lose_task(s, t, now);
	}
	g_list_free(all);
}

static GHashTable *listed_tasks(const struct shard *s, const json_t *rows)
{
	GHashTable *set = g_hash_table_new(g_direct_hash, g_direct_equal);
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		struct shard_task *t = shard_find_task(
			s, json_string_value(json_object_get(row, "t")));

		if (t &&
		    t->attempt == json_integer_value(json_object_get(row, "a")))
			g_hash_table_add(set, t);
	}
	return set;
}

/*
 * Called at the first answer to this owner or of a restarted worker, which
 * holds the full task list. Tasks not listed aren't on the worker, and it
 * rejects any delayed start command of an earlier owner by our higher epoch.
 */
static void reconcile(struct shard *s, int w, const json_t *rows,
		      struct shard_time now)
{
	GHashTable *keep = listed_tasks(s, rows);

	lose_unlisted(s, w, keep, now);
	g_hash_table_destroy(keep);
}

void shard_sync_reply(struct shard *s, int w, const json_t *reply,
		      struct shard_time now)
{
	struct shard_worker *worker = &s->workers[w];
	const json_t *rows = json_object_get(reply, "tasks");
	const char *boot = json_string_value(json_object_get(reply, "boot"));
	bool same_boot = boot && !strcmp(boot, worker->boot);
	json_t *row;
	size_t i;

	if (!boot || (!same_boot && worker->reconciled)) {
		/* The worker restarted: ask for the full list next time. */
		worker->reconciled = false;
		worker->stamp = 0;
		return;
	}
	g_ptr_array_set_size(worker->acks_sent, 0);
	g_ptr_array_set_size(worker->foreign_tasks, 0);
	if (!worker->reconciled)
		reconcile(s, w, rows, now);
	worker->reconciled = true;
	snprintf(worker->boot, sizeof(worker->boot), "%s", boot);
	worker->has_answered = true;
	worker->answered_ms = now.mono_ms;
	worker->stamp = json_integer_value(json_object_get(reply, "stamp"));
	worker->seq = json_integer_value(json_object_get(reply, "seq"));
	worker->load_milli = json_integer_value(json_object_get(reply, "load"));
	json_array_foreach(rows, i, row) handle_task_report(s, w, row, now);
}

bool shard_is_superseded(struct shard *s, int64_t epoch)
{
	return epoch > s->opt.epoch;
}

/*
 * Returns when the leases of all tasks on a silent worker have expired. Leases
 * are renewed from the stamp of the worker's last answer, so none starts later
 * than that answer. The leases of a worker that never answered this owner may
 * have been renewed by the previous owner, for up to `renew_max_ms` without the
 * store.
 */
static int64_t leases_expired_ms(const struct shard *s,
				 const struct shard_worker *w)
{
	int64_t lease_ms = s->opt.worker_lease_ms +
			   s->opt.worker_lease_ms * CLOCK_DRIFT_MILLI / 1000;

	if (w->has_answered)
		return w->answered_ms + lease_ms;
	return s->recovered_ms + s->opt.renew_max_ms + lease_ms;
}

static void check_worker(struct shard *s, int i, struct shard_time now)
{
	struct shard_worker *w = &s->workers[i];
	int64_t fresh_ms = s->opt.worker_lease_ms / FRESH_LEASE_DIVISOR;

	s->place[i].usable = w->listed && !w->leaving && w->has_answered &&
			     now.mono_ms - w->answered_ms < fresh_ms &&
			     !is_domain_out(s, s->place[i].domain);
	if (now.mono_ms < leases_expired_ms(s, w) ||
	    !g_hash_table_size(w->tasks))
		return;
	log_event(LOG_WORKER_LOST, "worker=%s tasks=%u", w->id,
		  g_hash_table_size(w->tasks));
	lose_unlisted(s, i, NULL, now);
	/* If it answers again, ask for its full list. */
	w->reconciled = false;
}

/* Evicts all tasks of a worker that leaves or whose domain is out. */
static void evacuate_worker(struct shard *s, int i)
{
	struct shard_worker *w = &s->workers[i];
	GHashTableIter it;
	gpointer key;

	if (!w->leaving && !is_domain_out(s, s->place[i].domain))
		return;
	g_hash_table_iter_init(&it, w->tasks);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct shard_task *t = key;

		/*
		 * Includes tasks not yet known to run, which after a takeover
		 * are all. The worker reports those that never started.
		 */
		t->evict_requested = true;
	}
}

static void refuse_impossible(struct shard *s, struct shard_job *job,
			      struct shard_time now)
{
	struct place_request need = { .size = { job->rec.cpu_milli,
						job->rec.mem_mib,
						job->rec.accelerators },
				      .domain = job->rec.domain };
	int listed = 0;

	if (!job->n_queued || now.mono_ms - job->ready_ms < REFUSE_AFTER_MS)
		return;
	for (int i = 0; i < s->n_workers; i++) {
		listed += s->workers[i].listed;
		if (s->workers[i].listed &&
		    place_fits_empty(&s->place[i], &need))
			return;
	}
	if (!listed)
		return;
	for (int32_t i = 0; i < job->rec.tasks; i++) {
		if (job->tasks[i].state != SHARD_QUEUED)
			continue;
		log_event(LOG_TASK_REJECTED, "task=%s/%d", job->rec.name, i);
		shard_add_entry(
			s, json_pack("[s,s,i]", "refuse", job->rec.name, i),
			now);
	}
}

static void forget_ended_jobs(struct shard *s, GList *jobs,
			      struct shard_time now)
{
	int left = FORGET_MAX_PER_TICK;

	for (GList *at = jobs; at && left; at = at->next) {
		struct shard_job *job = at->data;

		if (job->n_live || now.wall_ms - job->ended_wall_ms <
					   s->opt.claim_retention_ms)
			continue;
		shard_add_entry(s, json_pack("[s,s]", "forget", job->rec.name),
				now);
		left--;
	}
}

void shard_tick(struct shard *s, struct shard_time now)
{
	GList *jobs = g_hash_table_get_values(s->jobs);

	for (int i = 0; i < s->n_workers; i++) {
		check_worker(s, i, now);
		evacuate_worker(s, i);
	}
	for (GList *at = jobs; at; at = at->next)
		refuse_impossible(s, at->data, now);
	forget_ended_jobs(s, jobs, now);
	g_list_free(jobs);
}
