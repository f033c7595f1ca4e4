/* Numbers of queued jobs by queue, kept up to date as jobs change: to count
 * them at each commit would cost queues times jobs. */
#include "coordination/sched_int.h"

/* Adds `change` to the number of the job's queue if the job is queued. Queues
 * without queued jobs have no entry. */
static void adjust(struct sched *s, const struct sched_job *job, int32_t change)
{
	const char *queue = job->spec->queue;
	int32_t n;

	if (job->state != SCHED_JOB_QUEUED)
		return;
	n = sched_count_queued(s, queue) + change;
	if (n)
		g_hash_table_insert(s->queued, g_strdup(queue),
				    GINT_TO_POINTER(n));
	else
		g_hash_table_remove(s->queued, queue);
}

void sched_count_added(struct sched *s, const struct sched_job *job)
{
	adjust(s, job, 1);
}

void sched_count_removed(struct sched *s, const struct sched_job *job)
{
	adjust(s, job, -1);
}

void sched_set_job_state(struct sched *s, struct sched_job *job,
			 enum sched_job_state state)
{
	adjust(s, job, -1);
	job->state = state;
	adjust(s, job, 1);
}

int32_t sched_count_queued(const struct sched *s, const char *queue)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(s->queued, queue));
}
