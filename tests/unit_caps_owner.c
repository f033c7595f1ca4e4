/* The owners of the plays of caps: how they begin, commit, and are lost. */
#include "tests/caps_play.h"

#include <string.h>

#include "coordination/sched_int.h"

bool caps_chance(struct caps_play *x, int one_in)
{
	return g_rand_int_range(x->rand, 0, one_in) == 0;
}

int64_t caps_draw(struct caps_play *x, int64_t from, int64_t to)
{
	return g_rand_int_range(x->rand, (gint32)from, (gint32)to);
}

int64_t caps_wall_ms(int64_t now)
{
	return 1000000 + now;
}

int64_t caps_milli_of(int job)
{
	return 1000 + job * 7 % 5 * 500;
}

static bool is_gang(int job)
{
	return job % 6 == 5;
}
void caps_add_jobs(struct caps_play *x, struct party *o, int64_t now,
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
		spec->steps[0].cpu_milli = caps_milli_of(k);
		spec->steps[0].gang = is_gang(k);
		g_strlcpy(spec->org, "o", sizeof(spec->org));
		sched_job_add(&o->p.s, spec, NULL, x->job_version[k],
			      x->job_version[k] < claimed, now,
			      caps_wall_ms(now));
		if (x->job_cancelled[k])
			sched_job_cancel(&o->p.s, id, now, caps_wall_ms(now));
	}
}

void caps_set_cap(struct caps_play *x, struct party *o)
{
	o->org = (struct org){ .name = "o", .weight = 1 };
	o->org.cap.cpu_milli = x->cap;
	o->catalog = *o->p.s.catalog;
	o->catalog.has_orgs = true;
	o->catalog.n_orgs = 1;
	o->catalog.orgs = &o->org;
	sched_configure(&o->p.s, &o->catalog, NULL);
}

void caps_list_worker(struct caps_play *x, struct party *o, int i, int64_t now)
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

void caps_close_party(struct party *o)
{
	if (!o->alive)
		return;
	drop_commit(&o->commit);
	fixture_close(&o->p);
	o->alive = false;
}

void caps_begin_owner(struct caps_play *x, int64_t now)
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
	caps_close_party(&x->parties[1]);
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
	caps_set_cap(x, o);
	TRACE(x, "%lld: owner %d begins", (long long)now, o->number);
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++) {
		if (x->roster[i])
			sched_roster_restore(&o->p.s, x->roster[i], now);
	}
	caps_add_jobs(x, o, now, claimed);
	for (int i = 0; i < WORLD_WORKERS; i++)
		caps_list_worker(x, o, i, now);
	sched_handover_apply(&o->p.s, x->handover, now, caps_wall_ms(now));
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
	c->write_ms = now + caps_draw(x, 0, 3) * STEP_MS;
	c->confirm_ms = c->write_ms +
			caps_draw(x, 1, caps_chance(x, 4) ? 20 : 4) * STEP_MS;
}

void caps_step_commit(struct caps_play *x, struct party *o, int64_t now)
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

void caps_lose_owner(struct caps_play *x, struct party *o, int64_t now)
{
	int kind = (int)caps_draw(x, 0, 3);

	TRACE(x, "%lld: owner %d lost, kind %d", (long long)now, o->number,
	      kind);
	x->next_is_after_cut = kind == 0;
	/* Its commit in flight may be stored though it isn't told. */
	if (o->commit.open && !o->commit.written && caps_chance(x, 2))
		write_commit(x, o, now);
	if (kind == 0) {
		o->cut = true;
		x->next_owner_ms = x->written_ms + SILENCE_MS + 300;
		return;
	}
	x->next_owner_ms = now + caps_draw(x, 2, 18) * STEP_MS;
	if (kind == 1) {
		if (o->commit.open && !o->commit.written)
			write_commit(x, o, now);
		drop_commit(&o->commit);
		begin_commit(x, o, true, now);
		write_commit(x, o, now);
		x->handover = sched_handover_pack(&o->p.s, 100, now);
		x->released = true;
	}
	caps_close_party(o);
}
