/* Tickets of the policy service, which decides for each step which workers may
 * run it. */
#include <string.h>

#include "coordination/sched_int.h"

/* Most workers in one call to the policy service, which charges for each. */
#define ADVICE_WORKERS_MAX 30
/* A call to the policy service without answer is repeated after this, in ms. */
#define ADVICE_RETRY_MS 2500

bool sched_has_ticket(const struct sched_step *step,
		      const struct sched_worker *w, int64_t now_ms)
{
	const struct sched_ticket *ticket =
		step->tickets ? g_hash_table_lookup(step->tickets, w->row.id)
			      : NULL;

	return ticket && now_ms < ticket->valid_until_ms &&
	       ticket->born_ms == w->row.born_ms;
}

bool sched_is_denied(const struct sched_step *step,
		     const struct sched_worker *w)
{
	const int64_t *born_ms =
		step->denials ? g_hash_table_lookup(step->denials, w->row.id)
			      : NULL;

	return born_ms && *born_ms == w->row.born_ms;
}

/* Appends the workers of the list that the service was not asked about, only
 * those with room for the step unless `any` is set. Returns the new length. */
static int32_t add_unasked(const struct sched_step *step,
			   struct sched_worker **list, int32_t n, bool any,
			   struct sched_incarnation *asked, int32_t n_asked,
			   int64_t now_ms)
{
	for (int32_t i = 0; i < n && n_asked < ADVICE_WORKERS_MAX; i++) {
		const struct sched_worker *w = list[i];
		struct sched_incarnation *to = &asked[n_asked];

		if (sched_is_denied(step, w) ||
		    sched_has_ticket(step, w, now_ms) ||
		    (!any && !sched_fits(step, w)))
			continue;
		g_strlcpy(to->id, w->row.id, sizeof(to->id));
		to->born_ms = w->row.born_ms;
		n_asked++;
	}
	return n_asked;
}

void sched_request_tickets(struct sched *s, struct sched_step *step,
			   struct sched_worker **list, int32_t n, int32_t n_all,
			   int64_t now_ms)
{
	struct sched_incarnation asked[ADVICE_WORKERS_MAX];
	int32_t n_asked;

	if (step->advice_sent_ms &&
	    now_ms < step->advice_sent_ms + ADVICE_RETRY_MS)
		return;
	s->pass_work += n_all;
	n_asked = add_unasked(step, list, n, false, asked, 0, now_ms);
	/* The next rack may be asked about in the same call. */
	if (n_asked)
		n_asked = add_unasked(step, list + n, n_all - n, false, asked,
				      n_asked, now_ms);
	/* Room for long-running tasks is reserved only where they may run. */
	if (!n_asked && step->def->is_long_running)
		n_asked = add_unasked(step, list, n, true, asked, 0, now_ms);
	if (!n_asked)
		return;
	step->advice_sent_ms = now_ms;
	s->ops->advise(s->priv, step, asked, n_asked);
}

static void add_ticket(struct sched *s, struct sched_step *step, const char *id,
		       const char *text, int64_t valid_until_ms)
{
	const struct sched_worker *w = g_hash_table_lookup(s->workers, id);
	struct sched_ticket *ticket;

	if (!w)
		return;
	if (!step->tickets)
		step->tickets = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, g_free);
	ticket = g_new0(struct sched_ticket, 1);
	g_strlcpy(ticket->text, text, sizeof(ticket->text));
	ticket->valid_until_ms = valid_until_ms;
	ticket->born_ms = w->row.born_ms;
	g_hash_table_replace(step->tickets, g_strdup(id), ticket);
}

static bool is_allowed(const struct sched_advice *advice, const char *id)
{
	for (int32_t i = 0; i < advice->n_allowed; i++) {
		if (!strcmp(advice->ids[i], id))
			return true;
	}
	return false;
}

static void add_denial(struct sched_step *step,
		       const struct sched_incarnation *worker)
{
	if (!step->denials)
		step->denials = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, g_free);
	g_hash_table_replace(
		step->denials, g_strdup(worker->id),
		g_memdup2(&worker->born_ms, sizeof(worker->born_ms)));
}

void sched_advice_received(struct sched *s, const struct sched_advice *advice,
			   int64_t now_ms)
{
	struct sched_task *t = sched_find_task(s, &advice->step);
	struct sched_step *step = t ? t->step : NULL;

	if (!step || sched_job_has_ended(step->round->job))
		return;
	for (int32_t i = 0; i < advice->n_allowed; i++)
		add_ticket(s, step, advice->ids[i], advice->tickets[i],
			   now_ms + advice->valid_ms);
	for (int32_t i = 0; i < advice->n_asked; i++) {
		if (!is_allowed(advice, advice->asked[i].id))
			add_denial(step, &advice->asked[i]);
	}
	step->advice_sent_ms = 0;
}

void sched_free_advice(struct sched_step *step)
{
	if (step->tickets)
		g_hash_table_destroy(step->tickets);
	if (step->denials)
		g_hash_table_destroy(step->denials);
	step->tickets = NULL;
	step->denials = NULL;
}
