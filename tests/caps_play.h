/*
 * Plays caps of organisations through drawn faults: starts without answer or
 * carried out late, ends, lost commits, owners that are killed, stopped, or cut
 * off and go on in doubt beside their successor, workers that restart or fall
 * silent, and changed caps. The workers know what really runs.
 */
#ifndef CAPS_PLAY_H
#define CAPS_PLAY_H

#include <glib.h>

#include "tests/sched_fixture.h"
#include "tests/worker_world.h"

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

/* Returns true once in so many times. */
bool caps_chance(struct caps_play *x, int one_in);
/* Returns a number from `from` up to, but without, `to`. */
int64_t caps_draw(struct caps_play *x, int64_t from, int64_t to);
int64_t caps_wall_ms(int64_t now);
/* Returns the CPU of each of the job's tasks. */
int64_t caps_milli_of(int job);
void caps_add_jobs(struct caps_play *x, struct party *o, int64_t now,
		   int64_t claimed);
/* The owner learns of the cap. */
void caps_set_cap(struct caps_play *x, struct party *o);
void caps_list_worker(struct caps_play *x, struct party *o, int i, int64_t now);
void caps_close_party(struct party *o);
/* A successor claims the shard; the present owner may go on in doubt. */
void caps_begin_owner(struct caps_play *x, int64_t now);
void caps_step_commit(struct caps_play *x, struct party *o, int64_t now);
void caps_lose_owner(struct caps_play *x, struct party *o, int64_t now);

#endif
