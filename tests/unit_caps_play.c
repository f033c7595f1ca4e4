/* Plays caps of organisations, see caps_play.h. The workers know what really
 * runs. */
#include <string.h>

#include "coordination/sched_int.h"
#include "tests/caps_play.h"
#include "tests/unit.h"

#define SEEDS 1200

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
				sum += caps_milli_of(number_of(&r->ref));
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
		sched_poll_answered(&o->p.s, w, &a->report, now,
				    caps_wall_ms(now));
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
	int fate = now > FAULTS_END_MS ? 99 : (int)caps_draw(x, 0, 100);

	c->owner = o->number;
	c->sent_ms = now;
	c->due_ms = now;
	if (fate < 8)
		c->due_ms +=
			caps_draw(x, 1, CALL_TIMEOUT_MS / STEP_MS) * STEP_MS;
	else if (fate < 16 && world_is_reachable(w, now) &&
		 c->fence >= w->fence)
		c->held_in_born_ms = w->born_ms;
	if (c->held_in_born_ms)
		c->due_ms += caps_draw(x, 2, LATE_MS / STEP_MS) * STEP_MS;
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
		c.acked_seq = sched_seq_to_ack(w);
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

			if (!r->active || !caps_chance(x, 20))
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
	int k = (int)caps_draw(x, MAX(0, x->n_jobs - OPEN_JOBS), x->n_jobs);
	char id[16];

	x->job_cancelled[k] = true;
	g_snprintf(id, sizeof(id), "j%d", k);
	for (int i = 0; i < 2; i++) {
		if (x->parties[i].alive && !x->parties[i].cut)
			sched_job_cancel(&x->parties[i].p.s, id, now,
					 caps_wall_ms(now));
	}
}

/* Draws how many jobs are open: usage, and with it the grant, has to fall now
 * and then. */
static void draw_load(struct caps_play *x, int64_t now)
{
	int open = 0;

	if (now < FAULTS_END_MS && x->n_jobs && caps_chance(x, 30))
		cancel_job(x, now);
	if (now >= FAULTS_END_MS)
		x->wanted_jobs = OPEN_JOBS;
	else if (caps_chance(x, 40))
		x->wanted_jobs = (int)caps_draw(x, 0, 2) * OPEN_JOBS;
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
		if (caps_chance(x, 200))
			world_restart(w, caps_draw(x, 6, 18) * STEP_MS, now);
		else if (caps_chance(x, 200))
			w->cut_until_ms = now + caps_draw(x, 1000, 8000);
	}
	if (x->changes_caps && now > x->cap_ms + 8000 && caps_chance(x, 100)) {
		x->old_cap = x->cap;
		x->cap = caps_draw(x, 4, 12) * 1000;
		x->cap_ms = now;
		TRACE(x, "%lld: cap %lld", (long long)now, (long long)x->cap);
	}
	if (x->parties[0].alive && !x->parties[0].cut && caps_chance(x, 60))
		caps_lose_owner(x, &x->parties[0], now);
}

static void step_party(struct caps_play *x, struct party *o, int64_t now)
{
	int64_t age = now - o->confirmed_ms;

	if (!o->alive)
		return;
	if (age >= SILENCE_MS + IN_DOUBT_MAX_MS) {
		caps_close_party(o);
		return;
	}
	o->p.s.ownership =
		age < CERTAIN_MS ? SCHED_OWNER_CERTAIN : SCHED_OWNER_IN_DOUBT;
	o->p.s.renew_until_ms = o->confirmed_ms + SILENCE_MS + IN_DOUBT_MAX_MS;
	if (o->org.cap.cpu_milli != x->cap &&
	    (caps_chance(x, 10) || now >= x->cap_ms + APPLY_MS))
		caps_set_cap(x, o);
	for (int i = 0; i < WORLD_WORKERS; i++) {
		if (world_is_reachable(&x->world.workers[i], now) &&
		    o->born_ms[i] != x->world.workers[i].born_ms &&
		    caps_chance(x, 4))
			caps_list_worker(x, o, i, now);
	}
	caps_add_jobs(x, o, now, 0);
	sched_tick(&o->p.s, now, caps_wall_ms(now));
	sched_place(&o->p.s, now);
	send_commands(x, o, now);
	poll_workers(x, o, now);
	caps_step_commit(x, o, now);
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
		caps_begin_owner(x, now);
	deliver(x, now);
	step_party(x, &x->parties[1], now);
	step_party(x, &x->parties[0], now);
}

static void play_finish(struct caps_play *x)
{
	caps_close_party(&x->parties[0]);
	caps_close_party(&x->parties[1]);
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
