/*
 * Plays caps of organisations through drawn faults: starts without answer or
 * carried out late, ends, lost commits, owners that are killed, stopped, or cut
 * off and go on in doubt beside their successor, workers that restart or fall
 * silent, and changed caps. The workers know what really runs.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "coordination/sched_int.h"
#include "tests/unit.h"
#include "tests/worker_world.h"
#include "tests/sched_fixture.h"

#define SEEDS 1200
#define STEP_MS 50
#define FAULTS_END_MS 25000
#define PLAY_END_MS 60000
#define CALL_TIMEOUT_MS 700
#define LATE_MS 4000
#define SILENCE_MS 2000
#define IN_DOUBT_MAX_MS 3000
#define CERTAIN_MS 1400
#define APPLY_MS 1000
#define JOBS_MAX 4000
#define OPEN_JOBS 12
/* Room at each worker, which is more than the caps leave. */
#define WORKER_MILLI 16000

struct commit {
	bool open;
	bool written;
	int64_t write_ms;
	int64_t confirm_ms;
	json_t *roster[SCHED_ROSTER_ROWS];
	json_t *grants;
	int64_t sent_ms;
	int64_t version;
};

struct party {
	bool alive;
	bool cut; /* from the store, and so in doubt soon */
	int number;
	struct sched_fixture p;
	struct catalog catalog;
	struct org org;
	struct commit commit;
	int64_t confirmed_ms;
	guint seen_starts, seen_stops;
	bool poll_open[WORLD_WORKERS];
	int64_t poll_due_ms[WORLD_WORKERS];
	int64_t born_ms[WORLD_WORKERS];
	int64_t loss_ms;
	int known_jobs;
};

struct caps_play {
	GRand *rand;
	struct world world;
	struct party parties[2]; /* the owner, and the one before it */
	int owner; /* its number; 0: none yet */
	int64_t next_owner_ms;
	bool next_is_after_cut;
	bool released;
	json_t *handover;
	json_t *roster[SCHED_ROSTER_ROWS];
	json_t *grants;
	int64_t written_ms;
	int64_t renew_end_ms; /* of all owners before the present one */
	int64_t version;
	int64_t cap;
	int64_t old_cap; /* in force until cap_ms + what starts may take */
	int64_t cap_ms;
	bool changes_caps;
	int64_t job_version[JOBS_MAX];
	bool job_done[JOBS_MAX];
	bool job_cancelled[JOBS_MAX];
	int wanted_jobs;
	int n_jobs;
	int starts;
	int takeovers;
	int64_t most; /* that ran beyond the cap */
	GArray *calls;
	GArray *failed;
	bool traces;
	bool broken;
};

#define TRACE(x, ...)                                                          \
	do {                                                                   \
		if ((x)->traces)                                               \
			g_test_message(__VA_ARGS__);                           \
	} while (0)

static bool chance(struct caps_play *x, int one_in)
{
	return g_rand_int_range(x->rand, 0, one_in) == 0;
}

static int64_t draw(struct caps_play *x, int64_t from, int64_t to)
{
	return g_rand_int_range(x->rand, (gint32)from, (gint32)to);
}

static int64_t wall(int64_t now)
{
	return 1000000 + now;
}

static int64_t milli_of(int job)
{
	return 1000 + job * 7 % 5 * 500;
}

static bool is_gang(int job)
{
	return job % 6 == 5;
}

static int number_of(const struct sched_ref *ref)
{
	return (int)g_ascii_strtoll(ref->job + 1, NULL, 10);
}

static int64_t running_milli(const struct caps_play *x)
{
	int64_t sum = 0;

	for (int i = 0; i < WORLD_WORKERS; i++) {
		const GArray *runs = x->world.workers[i].runs;

		for (guint k = 0; k < runs->len; k++) {
			const struct world_run *r =
				&g_array_index(runs, struct world_run, k);

			if (r->active)
				sum += milli_of(number_of(&r->ref));
		}
	}
	return sum;
}

/* The highest cap by which a start may have been decided that is carried out
 * now. */
static int64_t cap_in_force(const struct caps_play *x, int64_t now)
{
	return now < x->cap_ms + APPLY_MS + LATE_MS + STEP_MS
		       ? MAX(x->cap, x->old_cap)
		       : x->cap;
}

static void add_jobs(struct caps_play *x, struct party *o, int64_t now,
		     int64_t claimed)
{
	for (; o->known_jobs < x->n_jobs; o->known_jobs++) {
		int k = o->known_jobs;
		char id[16];
		struct jobspec *spec;

		if (x->job_done[k])
			continue;
		g_snprintf(id, sizeof(id), "j%d", k);
		spec = fixture_spec(id, "short", 1, is_gang(k) ? 2 : 1);
		spec->steps[0].cpu_milli = milli_of(k);
		spec->steps[0].gang = is_gang(k);
		g_strlcpy(spec->org, "o", sizeof(spec->org));
		sched_job_add(&o->p.s, spec, NULL, x->job_version[k],
			      x->job_version[k] < claimed, now, wall(now));
		if (x->job_cancelled[k])
			sched_job_cancel(&o->p.s, id, now, wall(now));
	}
}

static void set_cap(struct caps_play *x, struct party *o)
{
	o->org = (struct org){ .name = "o", .weight = 1 };
	o->org.cap.cpu_milli = x->cap;
	o->catalog = *o->p.s.catalog;
	o->catalog.has_orgs = true;
	o->catalog.n_orgs = 1;
	o->catalog.orgs = &o->org;
	sched_configure(&o->p.s, &o->catalog, NULL);
}

static void list_worker(struct caps_play *x, struct party *o, int i,
			int64_t now)
{
	struct sched_worker_row row = { .pool = "p",
					.domain = "d",
					.rack = "r",
					.address = "1.2.3.4:5",
					.born_ms = x->world.workers[i].born_ms,
					.total = { WORKER_MILLI, 8000, 0 } };

	g_strlcpy(row.id, x->world.workers[i].id, sizeof(row.id));
	sched_worker_listed(&o->p.s, &row, now);
	o->born_ms[i] = row.born_ms;
}

static void drop_commit(struct commit *c)
{
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++)
		json_decref(c->roster[i]);
	json_decref(c->grants);
	memset(c, 0, sizeof(*c));
}

static void close_party(struct party *o)
{
	if (!o->alive)
		return;
	drop_commit(&o->commit);
	fixture_close(&o->p);
	o->alive = false;
}

static void begin_owner(struct caps_play *x, int64_t now)
{
	struct party *o = &x->parties[0];
	int64_t claimed = ++x->version;
	struct sched_prev_owner prev = {
		.renews_until_ms = MAX(now, x->renew_end_ms),
		.lease_ms = FIXTURE_LEASE_MS,
		/* The row is taken to mark all workers. */
		.long_leases_until_ms =
			now + sched_lease_bound_ms(WORLD_LEASE_MAX_MS) +
			LATE_MS,
	};

	if (x->next_is_after_cut)
		prev.renews_until_ms =
			MAX(prev.renews_until_ms,
			    x->written_ms + SILENCE_MS + IN_DOUBT_MAX_MS);
	close_party(&x->parties[1]);
	x->parties[1] = *o;
	/* These refer to the party by its address. */
	x->parties[1].catalog.orgs = &x->parties[1].org;
	x->parties[1].p.s.priv = &x->parties[1].p;
	if (x->parties[1].alive)
		sched_configure(&x->parties[1].p.s, &x->parties[1].catalog,
				NULL);
	memset(o, 0, sizeof(*o));
	o->alive = true;
	o->number = ++x->owner;
	o->confirmed_ms = now;
	o->loss_ms = INT64_MAX;
	x->takeovers++;
	x->written_ms = now;
	fixture_open(&o->p, o->number, NULL);
	o->p.traces = x->traces;
	o->p.s.lim.lease_max_ms = WORLD_LEASE_MAX_MS;
	o->p.s.lim.call_max_ms = LATE_MS;
	o->p.s.taken_over_ms = now;
	sched_set_prev_owner(&o->p.s, &prev);
	sched_set_prev_grants(&o->p.s, x->grants,
			      x->released && x->renew_end_ms <= now);
	set_cap(x, o);
	TRACE(x, "%lld: owner %d begins", (long long)now, o->number);
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++) {
		if (x->roster[i])
			sched_roster_restore(&o->p.s, x->roster[i], now);
	}
	add_jobs(x, o, now, claimed);
	for (int i = 0; i < WORLD_WORKERS; i++)
		list_worker(x, o, i, now);
	sched_handover_apply(&o->p.s, x->handover, now, wall(now));
	json_decref(x->handover);
	x->handover = NULL;
	x->released = false;
	x->renew_end_ms = prev.renews_until_ms;
}

static void write_commit(struct caps_play *x, struct party *o, int64_t now)
{
	struct commit *c = &o->commit;

	c->written = true;
	if (o->number != x->owner)
		return;
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++) {
		if (!c->roster[i])
			continue;
		json_decref(x->roster[i]);
		x->roster[i] = json_incref(c->roster[i]);
	}
	json_decref(x->grants);
	x->grants = c->grants ? json_incref(c->grants) : NULL;
	x->written_ms = now;
	c->version = ++x->version;
}

static void begin_commit(struct caps_play *x, struct party *o, bool exact,
			 int64_t now)
{
	struct sched *s = &o->p.s;
	struct commit *c = &o->commit;

	while (s->dirty_jobs.length) {
		struct sched_job *job =
			g_queue_pop_head_link(&s->dirty_jobs)->data;

		job->dirty = false;
	}
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++) {
		if (s->roster_dirty & 1u << i)
			c->roster[i] = sched_roster_pack_row(s, i);
	}
	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);

		w->commit_seq = w->seen_seq;
	}
	c->grants = org_caps_pack(&s->caps, &s->orgs, exact, 4096, now);
	c->open = true;
	c->sent_ms = now;
	c->write_ms = now + draw(x, 0, 3) * STEP_MS;
	c->confirm_ms =
		c->write_ms + draw(x, 1, chance(x, 4) ? 20 : 4) * STEP_MS;
}

static void step_commit(struct caps_play *x, struct party *o, int64_t now)
{
	struct sched *s = &o->p.s;
	struct commit *c = &o->commit;

	if (o->cut)
		return;
	if (c->open && !c->written && now >= c->write_ms)
		write_commit(x, o, now);
	if (c->open && c->written && now >= c->confirm_ms &&
	    o->number == x->owner) {
		sched_roster_stored(s);
		org_caps_committed(&s->caps);
		for (guint i = 0; i < s->worker_list->len; i++) {
			struct sched_worker *w =
				g_ptr_array_index(s->worker_list, i);

			w->durable_seq = MIN(w->commit_seq, w->seen_seq);
		}
		o->confirmed_ms = c->sent_ms;
		s->start_before_version = c->version;
		drop_commit(c);
	}
	if (!c->open && (s->dirty_jobs.length || s->roster_dirty ||
			 s->caps.wants_commit || now - c->sent_ms >= 500))
		begin_commit(x, o, false, now);
}

static void lose_owner(struct caps_play *x, struct party *o, int64_t now)
{
	int kind = (int)draw(x, 0, 3);

	TRACE(x, "%lld: owner %d lost, kind %d", (long long)now, o->number,
	      kind);
	x->next_is_after_cut = kind == 0;
	/* Its commit in flight may be stored though it isn't told. */
	if (o->commit.open && !o->commit.written && chance(x, 2))
		write_commit(x, o, now);
	if (kind == 0) {
		o->cut = true;
		x->next_owner_ms = x->written_ms + SILENCE_MS + 300;
		return;
	}
	x->next_owner_ms = now + draw(x, 2, 18) * STEP_MS;
	if (kind == 1) {
		if (o->commit.open && !o->commit.written)
			write_commit(x, o, now);
		drop_commit(&o->commit);
		begin_commit(x, o, true, now);
		write_commit(x, o, now);
		x->handover = sched_handover_pack(&o->p.s, 100, now);
		x->released = true;
	}
	close_party(o);
}

static struct sched_worker *worker_at(struct caps_play *x, struct party *o,
				      int i)
{
	return fixture_worker(&o->p, x->world.workers[i].id);
}

static struct party *party_of(struct caps_play *x, int number)
{
	for (int i = 0; i < 2; i++) {
		if (x->parties[i].alive && x->parties[i].number == number)
			return &x->parties[i];
	}
	return NULL;
}

static void answer(struct caps_play *x, const struct world_call *c,
		   const struct world_answer *a, int64_t now)
{
	struct party *o = party_of(x, c->owner);
	const char *id = x->world.workers[c->worker].id;
	struct sched_worker *w;

	if (!o)
		return;
	w = worker_at(x, o, c->worker);
	if (c->kind == WORLD_START)
		sched_start_answered(&o->p.s, &c->ref, id, a->start, now);
	if (c->kind == WORLD_STOP)
		sched_stop_answered(&o->p.s, &c->ref, id, a->answered, now);
	if (c->kind != WORLD_POLL)
		return;
	o->poll_open[c->worker] = false;
	o->poll_due_ms[c->worker] = now + 2 * STEP_MS;
	if (w && a->answered)
		sched_poll_answered(&o->p.s, w, &a->report, now, wall(now));
	else if (w)
		sched_worker_unanswered(&o->p.s, w, now);
}

static void carry_out(struct caps_play *x, const struct world_call *c,
		      int64_t now)
{
	struct world_worker *w = &x->world.workers[c->worker];
	struct world_call call = *c;
	int64_t before = running_milli(x);
	struct world_answer a;
	int64_t after;

	/* A long poll that the worker accepted before its fence was raised. */
	if (c->kind == WORLD_POLL && c->held_in_born_ms) {
		call.fence = MAX(c->fence, w->fence);
		call.lease_end_clock_ms = 0;
		call.unanswered = false;
	}
	world_carry_out(&x->world, &call, &a, now);
	if (c->kind == WORLD_POLL)
		a.report.fence = c->fence;
	after = running_milli(x);
	if (after > before && after > cap_in_force(x, now)) {
		TRACE(x, "%lld: %lld run, cap %lld", (long long)now,
		      (long long)after, (long long)cap_in_force(x, now));
		x->broken = true;
	}
	if (a.answered)
		answer(x, c, &a, now);
	else if (now == c->sent_ms)
		g_array_append_val(x->failed, *c);
}

static void send_call(struct caps_play *x, struct party *o,
		      struct world_call *c, int64_t now)
{
	const struct world_worker *w = &x->world.workers[c->worker];
	int fate = now > FAULTS_END_MS ? 99 : (int)draw(x, 0, 100);

	c->owner = o->number;
	c->sent_ms = now;
	c->due_ms = now;
	if (fate < 8)
		c->due_ms += draw(x, 1, CALL_TIMEOUT_MS / STEP_MS) * STEP_MS;
	else if (fate < 16 && world_is_reachable(w, now) &&
		 c->fence >= w->fence)
		c->held_in_born_ms = w->born_ms;
	if (c->held_in_born_ms)
		c->due_ms += draw(x, 2, LATE_MS / STEP_MS) * STEP_MS;
	c->unanswered = c->due_ms > now || fate < 20;
	TRACE(x, "%lld: %d calls %d at %s, %s#%d, due %lld", (long long)now,
	      o->number, c->kind, w->id, c->ref.job, c->ref.run,
	      (long long)c->due_ms);
	if (c->due_ms == now) {
		carry_out(x, c, now);
		return;
	}
	g_array_append_val(x->calls, *c);
	if (c->kind != WORLD_POLL || !c->held_in_born_ms)
		g_array_append_val(x->failed, *c);
}

static int index_of(struct caps_play *x, const char *id)
{
	int i = 0;

	while (strcmp(x->world.workers[i].id, id))
		i++;
	return i;
}

static void send_commands(struct caps_play *x, struct party *o, int64_t now)
{
	while (o->seen_starts < o->p.starts->len) {
		struct recorded_command r =
			*fixture_start(&o->p, o->seen_starts++);
		struct world_call c = { .kind = WORLD_START,
					.worker = index_of(x, r.worker),
					.ref = r.ref };
		struct sched_worker *w = worker_at(x, o, c.worker);
		const char *unused[3];

		if (!w || w->unreachable ||
		    !sched_start_args(&o->p.s, &c.ref, r.worker, &unused[0],
				      &unused[1], &unused[2])) {
			sched_start_answered(&o->p.s, &c.ref, r.worker,
					     SCHED_START_FENCED, now);
			continue;
		}
		c.fence = w->fence;
		c.lease_end_clock_ms = sched_lease_end(&o->p.s, w, now);
		x->starts++;
		send_call(x, o, &c, now);
	}
	while (o->seen_stops < o->p.stops->len) {
		struct recorded_command r = g_array_index(
			o->p.stops, struct recorded_command, o->seen_stops++);
		struct world_call c = { .kind = WORLD_STOP,
					.worker = index_of(x, r.worker),
					.ref = r.ref };
		struct sched_worker *w = worker_at(x, o, c.worker);

		if (!w)
			continue;
		c.fence = w->fence;
		send_call(x, o, &c, now);
	}
}

static void poll_workers(struct caps_play *x, struct party *o, int64_t now)
{
	for (int i = 0; i < WORLD_WORKERS; i++) {
		struct sched_worker *w = worker_at(x, o, i);
		struct world_call c = { .kind = WORLD_POLL, .worker = i };

		if (!w || o->poll_open[i] || now < o->poll_due_ms[i])
			continue;
		o->poll_open[i] = true;
		c.fence = w->fence;
		c.acked_seq = w->durable_seq;
		if (w->runs.length)
			c.lease_end_clock_ms = sched_lease_end(&o->p.s, w, now);
		send_call(x, o, &c, now);
	}
}

static void deliver(struct caps_play *x, int64_t now)
{
	for (guint i = x->calls->len; i > 0; i--) {
		struct world_call c =
			g_array_index(x->calls, struct world_call, i - 1);

		if (now < c.due_ms)
			continue;
		g_array_remove_index(x->calls, i - 1);
		if (c.held_in_born_ms || party_of(x, c.owner))
			carry_out(x, &c, now);
		/* A long poll gets its answer, or none with the worker gone. */
		if (c.kind == WORLD_POLL && c.held_in_born_ms) {
			struct party *o = party_of(x, c.owner);
			struct world_answer none = { 0 };

			if (o && o->poll_open[c.worker])
				answer(x, &c, &none, now);
		}
	}
	for (guint i = x->failed->len; i > 0; i--) {
		struct world_call c =
			g_array_index(x->failed, struct world_call, i - 1);
		struct world_answer none = { .start = SCHED_START_UNKNOWN };

		if (now < c.sent_ms + CALL_TIMEOUT_MS)
			continue;
		g_array_remove_index(x->failed, i - 1);
		answer(x, &c, &none, now);
	}
}

static void end_some_runs(struct caps_play *x)
{
	for (int i = 0; i < WORLD_WORKERS; i++) {
		struct world_worker *w = &x->world.workers[i];

		for (guint k = 0; k < w->runs->len; k++) {
			struct world_run *r =
				&g_array_index(w->runs, struct world_run, k);

			if (!r->active || !chance(x, 20))
				continue;
			r->active = false;
			r->seq = ++w->seq;
			r->reason = SCHED_END_DONE;
			x->job_done[number_of(&r->ref)] = true;
		}
		/* Ends that are acknowledged need not be kept. */
		while (w->runs->len > 100) {
			struct world_run *r =
				&g_array_index(w->runs, struct world_run, 0);

			if (r->active || r->seq > w->acked_seq)
				break;
			g_array_remove_index(w->runs, 0);
		}
	}
}

/* Cancels a job, which its tasks may survive for a while. */
static void cancel_job(struct caps_play *x, int64_t now)
{
	int k = (int)draw(x, MAX(0, x->n_jobs - OPEN_JOBS), x->n_jobs);
	char id[16];

	x->job_cancelled[k] = true;
	g_snprintf(id, sizeof(id), "j%d", k);
	for (int i = 0; i < 2; i++) {
		if (x->parties[i].alive && !x->parties[i].cut)
			sched_job_cancel(&x->parties[i].p.s, id, now,
					 wall(now));
	}
}

/* Draws how many jobs are open: usage, and with it the grant, has to fall now
 * and then. */
static void draw_load(struct caps_play *x, int64_t now)
{
	int open = 0;

	if (now < FAULTS_END_MS && x->n_jobs && chance(x, 30))
		cancel_job(x, now);
	if (now >= FAULTS_END_MS)
		x->wanted_jobs = OPEN_JOBS;
	else if (chance(x, 40))
		x->wanted_jobs = (int)draw(x, 0, 2) * OPEN_JOBS;
	for (int k = 0; k < x->n_jobs; k++)
		open += !x->job_done[k] && !x->job_cancelled[k];
	for (; open < x->wanted_jobs && x->n_jobs < JOBS_MAX; open++)
		x->job_version[x->n_jobs++] = ++x->version;
}

static void draw_faults(struct caps_play *x, int64_t now)
{
	for (int i = 0; i < WORLD_WORKERS; i++) {
		struct world_worker *w = &x->world.workers[i];

		if (now < w->up_ms || now < w->cut_until_ms + 1000)
			continue;
		if (chance(x, 200))
			world_restart(w, draw(x, 6, 18) * STEP_MS, now);
		else if (chance(x, 200))
			w->cut_until_ms = now + draw(x, 1000, 8000);
	}
	if (x->changes_caps && now > x->cap_ms + 8000 && chance(x, 100)) {
		x->old_cap = x->cap;
		x->cap = draw(x, 4, 12) * 1000;
		x->cap_ms = now;
		TRACE(x, "%lld: cap %lld", (long long)now, (long long)x->cap);
	}
	if (x->parties[0].alive && !x->parties[0].cut && chance(x, 60))
		lose_owner(x, &x->parties[0], now);
}

static void step_party(struct caps_play *x, struct party *o, int64_t now)
{
	int64_t age = now - o->confirmed_ms;

	if (!o->alive)
		return;
	if (age >= SILENCE_MS + IN_DOUBT_MAX_MS) {
		close_party(o);
		return;
	}
	o->p.s.ownership =
		age < CERTAIN_MS ? SCHED_OWNER_CERTAIN : SCHED_OWNER_IN_DOUBT;
	o->p.s.renew_until_ms = o->confirmed_ms + SILENCE_MS + IN_DOUBT_MAX_MS;
	if (o->org.cap.cpu_milli != x->cap &&
	    (chance(x, 10) || now >= x->cap_ms + APPLY_MS))
		set_cap(x, o);
	for (int i = 0; i < WORLD_WORKERS; i++) {
		if (world_is_reachable(&x->world.workers[i], now) &&
		    o->born_ms[i] != x->world.workers[i].born_ms &&
		    chance(x, 4))
			list_worker(x, o, i, now);
	}
	add_jobs(x, o, now, 0);
	sched_tick(&o->p.s, now, wall(now));
	sched_place(&o->p.s, now);
	send_commands(x, o, now);
	poll_workers(x, o, now);
	step_commit(x, o, now);
}

static void step(struct caps_play *x, int64_t now)
{
	world_tick(&x->world, now);
	end_some_runs(x);
	draw_load(x, now);
	if (now < FAULTS_END_MS)
		draw_faults(x, now);
	if ((!x->parties[0].alive || x->parties[0].cut) &&
	    now >= x->next_owner_ms)
		begin_owner(x, now);
	deliver(x, now);
	step_party(x, &x->parties[1], now);
	step_party(x, &x->parties[0], now);
}

static void play_finish(struct caps_play *x)
{
	close_party(&x->parties[0]);
	close_party(&x->parties[1]);
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++)
		json_decref(x->roster[i]);
	json_decref(x->handover);
	json_decref(x->grants);
	g_array_free(x->calls, TRUE);
	g_array_free(x->failed, TRUE);
	world_finish(&x->world);
	g_rand_free(x->rand);
}

/* Returns whether the cap held, and was used in the end. */
static bool play_holds(guint32 seed, bool traces, int *starts, int *takeovers)
{
	struct caps_play *x = g_new0(struct caps_play, 1);
	int64_t most_late = 0;
	bool holds;

	x->rand = g_rand_new_with_seed(seed);
	x->traces = traces;
	x->cap = 7000;
	x->changes_caps = seed % 2;
	world_init(&x->world, 1);
	x->calls = g_array_new(FALSE, FALSE, sizeof(struct world_call));
	x->failed = g_array_new(FALSE, FALSE, sizeof(struct world_call));
	for (int64_t now = STEP_MS; now < PLAY_END_MS && !x->broken;
	     now += STEP_MS) {
		step(x, now);
		if (now > PLAY_END_MS - 10000)
			most_late = MAX(most_late, running_milli(x));
	}
	/* The largest task is 3000. */
	if (!x->broken && most_late <= x->cap - 3000) {
		TRACE(x, "at most %lld run in the end, cap %lld",
		      (long long)most_late, (long long)x->cap);
		x->broken = true;
	}
	holds = !x->broken;
	*starts += x->starts;
	*takeovers += x->takeovers;
	play_finish(x);
	g_free(x);
	return holds;
}

/* Guards against caps that are passed when owners change, and against work that
 * is held back for good. */
static void test_drawn(void)
{
	int starts = 0;
	int takeovers = 0;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		if (play_holds(seed, false, &starts, &takeovers))
			continue;
		play_holds(seed, true, &starts, &takeovers);
		g_error("seed %u breaks a rule; its trace is above", seed);
	}
	g_test_message("starts=%d takeovers=%d", starts, takeovers);
	/* Else the plays show little. */
	g_assert_cmpint(takeovers, >, SEEDS * 3);
	g_assert_cmpint(starts, >, SEEDS * 50);
}

void unit_add_caps_play(void)
{
	g_test_add_func("/caps/drawn", test_drawn);
}
