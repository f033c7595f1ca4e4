/* Memory that jobs take here, at the owner of their shard. */
#include "coordination/sched_int.h"

#include <string.h>

/* Header of an allocation, with what rounding adds on the average. */
#define CHUNK_BYTES 112
/* Part of the limit that only small jobs use. */
#define RESERVED_SHARE 4

int64_t sched_round_bytes(const struct jobspec *spec)
{
	int64_t sum = CHUNK_BYTES + (int64_t)sizeof(struct sched_round);

	for (int32_t i = 0; i < spec->n_steps; i++)
		sum += CHUNK_BYTES + (int64_t)sizeof(struct sched_step) +
		       spec->steps[i].tasks *
			       (int64_t)sizeof(struct sched_task);
	return sum;
}

int64_t sched_job_bytes(const struct jobspec *spec)
{
	return 4 * CHUNK_BYTES + (int64_t)sizeof(struct sched_job) +
	       (int64_t)sizeof(*spec) +
	       spec->n_steps * (int64_t)sizeof(*spec->steps) +
	       (spec->payload ? (int64_t)strlen(spec->payload) : 0);
}

void sched_charge(struct sched *s, struct sched_job *job)
{
	/* A job with a schedule will have a round again. Its rounds count until
	 * they are stored as done: a successor would open them again. */
	int64_t rounds =
		job->spec->rounds && !sched_job_has_ended(job)
			? MAX(job->next_round - job->stored_rounds_done, 1)
			: job->rounds_open;
	int64_t bytes = sched_job_bytes(job->spec) +
			rounds * sched_round_bytes(job->spec);

	s->job_bytes += bytes - job->charged_bytes;
	job->charged_bytes = bytes;
}

void sched_uncharge(struct sched *s, struct sched_job *job)
{
	s->job_bytes -= job->charged_bytes;
	job->charged_bytes = 0;
}

bool sched_may_open_round(const struct sched *s, const struct sched_job *job)
{
	return !s->lim.memory_bytes ||
	       job->next_round == job->stored_rounds_done ||
	       s->job_bytes + sched_round_bytes(job->spec) <=
		       s->lim.memory_bytes;
}

struct sched_job_room sched_job_room(const struct sched *s, int64_t vms)
{
	int64_t left = s->lim.memory_bytes - s->job_bytes;
	int64_t large = left - s->lim.memory_bytes / RESERVED_SHARE;

	return (struct sched_job_room){ MAX(left, 0) / vms,
					MAX(large, 0) / vms };
}
