/* Admission of jobs by the room of their pool. */
#include "fleet/admission.h"

#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "fleet/shard_ctl.h"
#include "protocol/num.h"

/* Rooms are used up to this age, in ms. */
#define ROOM_AGE_MAX_MS 2000
/* Bounds of Retry-After, in ms, and the part of it by which callers are spread,
 * so that they don't return all at once. */
#define RETRY_AFTER_MIN_MS 2000
#define RETRY_AFTER_MAX_MS 30000
#define SPREAD_PERCENT 50
/* A caller returns at least this long after a refusal, in ms: half of
 * RETRY_AFTER_MIN_MS, since clocks are read with some error. */
#define RETURN_MIN_MS 1000
/* Part of the memory for all jobs that one VM may fill in a few seconds while
 * the owner's room is not known: after a loss of the owner, or beside one of an
 * earlier release. */
#define UNKNOWN_ROOM_PART 64
/* Retry-After of jobs that exceed a cap, in ms. Only another configuration can
 * let them run. */
#define CAP_RETRY_AFTER_MS 30000

/* Returns the CPU that the job's long-running tasks reserve. */
static int64_t lasting_milli(const struct jobspec *spec)
{
	int64_t sum = 0;

	for (int32_t i = 0; i < spec->n_steps; i++) {
		const struct jobspec_step *step = &spec->steps[i];

		if (step->is_long_running && !step->best_effort)
			sum += step->cpu_milli * step->tasks;
	}
	return sum;
}

/* Returns the time, or up to half as much again, by the job. */
static int64_t spread_ms(const char *id, int64_t ms)
{
	int64_t spread = ms * SPREAD_PERCENT / 100;

	return ms +
	       (int64_t)(XXH64(id, strlen(id), 0) % (uint64_t)(spread + 1));
}

/* Returns when a job that lacks so much should come back, if `freed_s` of it
 * becomes free in a second. */
static int64_t retry_after_ms(const char *id, int64_t lacks, int64_t freed_s)
{
	int64_t ms = RETRY_AFTER_MAX_MS;

	if (freed_s > 0)
		ms = CLAMP(lacks * 1000 / freed_s, RETRY_AFTER_MIN_MS,
			   RETRY_AFTER_MAX_MS);
	return spread_ms(id, ms);
}

/* Reads the pool's entry of the owner's row. Returns false if there is none. */
static bool read_room(const struct owner_row *row, const char *pool,
		      int64_t *room_milli, int64_t *freed_milli_s)
{
	json_t *rooms =
		row && row->rooms ? json_loads(row->rooms, 0, NULL) : NULL;
	const json_t *entry = json_object_get(rooms, pool);
	bool found = num_integer(json_array_get(entry, 0), -NUM_MAX, NUM_MAX,
				 room_milli) &&
		     num_integer(json_array_get(entry, 1), 0, NUM_MAX,
				 freed_milli_s);

	json_decref(rooms);
	return found;
}

void admission_decide(const struct owner_row *row, int64_t age_ms,
		      const char *pool, const struct jobspec *spec,
		      struct admission *out)
{
	int64_t wanted = lasting_milli(spec);
	int64_t room;
	int64_t freed;

	*out = (struct admission){ 0 };
	if (!wanted || age_ms < 0 || age_ms > ROOM_AGE_MAX_MS ||
	    !read_room(row, pool, &room, &freed))
		return;
	out->refused = room < wanted;
	out->why = "no room for long-running tasks";
	out->retry_after_ms = retry_after_ms(spec->id, wanted - room, freed);
	log_event(LOG_JOB,
		  "job=%s queue=%s what=admission outcome=%s wanted_milli=%lld "
		  "room_milli=%lld freed_milli_s=%lld retry_after_ms=%lld "
		  "age_ms=%lld owner=%s epoch=%lld seq=%lld",
		  spec->id, spec->queue, out->refused ? "refused" : "done",
		  (long long)wanted, (long long)room, (long long)freed,
		  out->refused ? (long long)out->retry_after_ms : 0LL,
		  (long long)age_ms, row->vm, (long long)row->epoch,
		  (long long)row->seq);
}

void admission_check_cap(const struct catalog *c, const struct jobspec *spec,
			 struct admission *out)
{
	const struct org *org =
		c && *spec->org ? catalog_find_org(c, spec->org) : NULL;
	const struct jobspec_step *step = spec->steps;
	int32_t i = 0;

	*out = (struct admission){ 0 };
	while (org && i < spec->n_steps &&
	       org_cap_allows(&org->cap,
			      &(struct place_resources){ step[i].cpu_milli,
							 step[i].mem_mib,
							 step[i].accelerators },
			      step[i].gang ? step[i].tasks : 1))
		i++;
	if (!org || i == spec->n_steps)
		return;
	out->refused = true;
	out->over_cap = true;
	out->why = "exceeds a cap";
	out->retry_after_ms = spread_ms(spec->id, CAP_RETRY_AFTER_MS);
	log_event(LOG_JOB,
		  "job=%s queue=%s what=admission outcome=refused org=%s "
		  "step=%d tasks=%d gang=%d cpu_milli=%lld mem_mib=%lld "
		  "accelerators=%lld cap_cpu_milli=%lld cap_mem_mib=%lld "
		  "cap_accelerators=%lld retry_after_ms=%lld config=%lld",
		  spec->id, spec->queue, org->name, i, step[i].tasks,
		  step[i].gang, (long long)step[i].cpu_milli,
		  (long long)step[i].mem_mib, (long long)step[i].accelerators,
		  (long long)org->cap.cpu_milli, (long long)org->cap.mem_mib,
		  (long long)org->cap.accelerators,
		  (long long)out->retry_after_ms, (long long)c->version);
}

static bool contains_text(const json_t *list, const char *text)
{
	const json_t *entry;
	size_t i;

	json_array_foreach(list, i, entry)
	{
		if (json_is_string(entry) &&
		    !strcmp(json_string_value(entry), text))
			return true;
	}
	return false;
}

/* Returns how many jobs of the organisation wait in excess, by the row; 0 if
 * the pool is not full, or the row doesn't tell. */
static int64_t read_excess(const struct owner_row *row, const char *pool,
			   const char *org)
{
	json_t *j = row && row->overload ? json_loads(row->overload, 0, NULL)
					 : NULL;
	int64_t excess = 0;

	if (!contains_text(json_object_get(j, "full"), pool) ||
	    !num_integer(json_object_get(json_object_get(j, "orgs"), org), 0,
			 NUM_MAX / 1000, &excess))
		excess = 0;
	json_decref(j);
	return excess;
}

void admission_decide_overload(const struct owner_row *row, int64_t age_ms,
			       const char *pool, const struct org *org,
			       const struct jobspec *spec,
			       struct admission *out)
{
	int64_t excess;

	if (!org || age_ms < 0 || age_ms > ROOM_AGE_MAX_MS)
		return;
	excess = read_excess(row, pool, org->name);
	if (!excess)
		return;
	out->refused = true;
	out->why = "organisation over its rate and pool full";
	out->retry_after_ms = retry_after_ms(spec->id, excess, org->weight);
	log_event(LOG_JOB,
		  "job=%s queue=%s what=overload outcome=refused org=%s "
		  "excess=%lld weight=%lld retry_after_ms=%lld age_ms=%lld "
		  "owner=%s epoch=%lld seq=%lld",
		  spec->id, spec->queue, org->name, (long long)excess,
		  (long long)org->weight, (long long)out->retry_after_ms,
		  (long long)age_ms, row->vm, (long long)row->epoch,
		  (long long)row->seq);
}

/* Forgets what was accepted before the last seconds, and returns the rest. */
static int64_t lately_accepted(struct admission_memory *m, int64_t now_s)
{
	int64_t sum = 0;

	if (now_s - m->last_s > ADMISSION_SECONDS)
		m->last_s = now_s - ADMISSION_SECONDS;
	while (m->last_s < now_s)
		m->bytes[++m->last_s % ADMISSION_SECONDS] = 0;
	for (int i = 0; i < ADMISSION_SECONDS; i++)
		sum += m->bytes[i];
	return sum;
}

void admission_decide_memory(struct admission_memory *m,
			     const struct owner_row *row, int64_t age_ms,
			     int64_t limit_bytes, const struct jobspec *spec,
			     int64_t now_ms, struct admission *out)
{
	bool known = row && row->has_job_room && age_ms >= 0 &&
		     age_ms <= ROOM_AGE_MAX_MS;
	int64_t bytes = sched_job_bytes(spec) + sched_round_bytes(spec);
	int64_t accepted = lately_accepted(m, now_ms / 1000);
	int64_t room = limit_bytes / UNKNOWN_ROOM_PART;

	if (!limit_bytes)
		return;
	if (known)
		room = bytes > SCHED_SMALL_JOB_BYTES ? row->large_job_room
						     : row->small_job_room;
	if (accepted + bytes <= room) {
		m->bytes[m->last_s % ADMISSION_SECONDS] += bytes;
		return;
	}
	out->refused = true;
	out->why = "no memory at the owner";
	out->retry_after_ms = spread_ms(
		spec->id, MAX(RETRY_AFTER_MIN_MS, ADMISSION_SECONDS * 1000));
	log_event(LOG_JOB,
		  "job=%s queue=%s what=memory outcome=refused bytes=%lld "
		  "accepted_bytes=%lld room_bytes=%lld known=%d "
		  "retry_after_ms=%lld age_ms=%lld",
		  spec->id, spec->queue, (long long)bytes, (long long)accepted,
		  (long long)room, known, (long long)out->retry_after_ms,
		  (long long)age_ms);
}

void admission_check(const struct fleet *f, struct admission_memory *m,
		     const struct jobspec *spec, struct admission *out)
{
	const struct catalog_queue *q =
		f->catalog ? catalog_find_queue(f->catalog, spec->queue) : NULL;
	const struct shard_ctl *sc;
	const struct owner_row *row;
	int64_t changed_ms;
	int64_t age_ms;

	admission_check_cap(f->catalog, spec, out);
	if (out->refused)
		return;
	sc = f->shard_ctls[fleet_shard_of(f, spec->id)];
	if (!q || !sc)
		return;
	row = shard_ctl_owner_row(sc, &changed_ms);
	age_ms = shard_ctl_pending_age_ms(sc);
	admission_decide(row, age_ms, q->pool, spec, out);
	if (!out->refused && *spec->org)
		admission_decide_overload(
			row, age_ms, q->pool,
			catalog_find_org(f->catalog, spec->org), spec, out);
	if (!out->refused)
		admission_decide_memory(m, row, age_ms, f->set.job_memory_bytes,
					spec, clk_mono_ms(f->clk), out);
}

json_t *admission_pack_refusal(int64_t at_ms)
{
	return json_pack("{s:I}", "refused_ms", (json_int_t)at_ms);
}

bool admission_parse_refusal(const char *row, int64_t *at_ms)
{
	json_t *j = row ? json_loads(row, 0, NULL) : NULL;
	bool refused = num_integer(json_object_get(j, "refused_ms"), -NUM_MAX,
				   NUM_MAX, at_ms);

	json_decref(j);
	return refused;
}

bool admission_covers(int64_t refused_ms, int64_t received_ms)
{
	return received_ms < refused_ms + RETURN_MIN_MS;
}
