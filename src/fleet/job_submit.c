/* Submissions: jobs become rows of the store, several in a transaction. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/admission.h"
#include "fleet/job_api_int.h"
#include "fleet/org_metrics.h"

/* Maximum number of jobs in a transaction, and of bytes of their values. The
 * store allows five times the number and twice the bytes. */
#define BATCH_MAX 20
#define BATCH_BYTES_MAX (512 * 1024)
/* Concurrent transactions to one part. The store executes those of a part one
 * by one, so more of them would only be smaller. */
#define BATCHES_IN_FLIGHT_MAX 1
/* A submission that is certainly not stored is retried for this long, in ms.
 * After that the caller is better served by another VM. */
#define RETRY_PERIOD_MS 700

/* A submitted job that is not answered yet. */
struct submission {
	struct job_api *api;
	char id[JOBSPEC_ID_MAX];
	char queue[JOBSPEC_NAME_MAX];
	int32_t shard;
	int32_t part;
	char *row_value; /* of the job, or of its refusal */
	struct admission admission;
	struct access who;
	enum access_verdict verdict; /* of the check before the commit */
	int64_t row_version; /* of an earlier refusal to replace; 0: none */
	int64_t received_ms;
	int64_t received_store_ms; /* the same on the store's clock */
	int64_t deadline_ms;
	bool maybe_stored; /* some attempt got no answer from the store */
	job_api_cb done;
	void *priv;
};

struct batch {
	struct job_api *api;
	int32_t shard;
	int32_t part;
	int32_t n;
	struct submission *jobs[BATCH_MAX];
};

static int64_t now_ms(const struct job_api *api)
{
	return clk_mono_ms(api->f->clk);
}

static void send_batches(struct job_api *api, int32_t shard, int32_t part);

static void answer_submission(struct submission *sub, enum job_api_result res,
			      const char *why)
{
	struct job_api *api = sub->api;
	struct job_api_answer ans = {
		.result = res,
		.retry_after_ms = sub->admission.refused
					  ? sub->admission.retry_after_ms
					  : JOB_API_RETRY_AFTER_MS,
	};
	int64_t took = now_ms(api) - sub->received_ms;

	log_event(LOG_JOB,
		  "job=%s queue=%s what=accept outcome=%s why=\"%s\" "
		  "took_ms=%lld config=%lld%s%s",
		  sub->id, sub->queue, job_api_result_name(res), why,
		  (long long)took,
		  api->f->catalog ? (long long)api->f->catalog->version : -1LL,
		  *sub->who.org ? " org=" : "", sub->who.org);
	api->counts.accepted += res == JOB_API_OK;
	api->counts.refused += res == JOB_API_REFUSED ||
			       res == JOB_API_OVER_CAP ||
			       res == JOB_API_TOO_LARGE;
	api->counts.over_cap += res == JOB_API_OVER_CAP;
	api->counts.unknown += res == JOB_API_UNKNOWN;
	api->counts.id_taken += res == JOB_API_ID_TAKEN;
	if ((res == JOB_API_REFUSED || res == JOB_API_OVER_CAP) &&
	    *sub->who.org)
		org_metrics_count_refusal(api->org_refusals, sub->who.org);
	hist_record(&api->accept_times, took * 1000);
	api->active--;
	sub->done(&ans, sub->priv);
	free(sub->row_value);
	free(sub);
}

/* Answers a submission whose refusal is stored. */
static void answer_refused(struct submission *sub, const char *why)
{
	answer_submission(sub,
			  sub->admission.over_cap ? JOB_API_OVER_CAP
						  : JOB_API_REFUSED,
			  why);
}

/* Queues the submission again. Answers it instead if the store is unavailable,
 * the deadline is near, or it is not stored and another VM may do better. */
static void retry_submission(struct submission *sub, const char *why)
{
	struct job_api *api = sub->api;
	int64_t now = now_ms(api);
	int64_t retry_until = sub->received_ms + RETRY_PERIOD_MS;

	if (fleet_store_unavailable(api->f) ||
	    now + JOB_API_REPLY_MARGIN_MS + JOB_API_RETRY_MS >=
		    sub->deadline_ms)
		answer_submission(sub,
				  sub->maybe_stored ? JOB_API_UNKNOWN
						    : JOB_API_REFUSED,
				  why);
	else if (!sub->maybe_stored && now >= retry_until)
		answer_submission(sub, JOB_API_REFUSED, why);
	else
		g_queue_push_tail(&api->queues[sub->shard][sub->part].waiting,
				  sub);
}

/* Returns the row of that key among those of a conflict, or NULL. */
static const struct rows_row *find_row(const struct rows_answer *ans,
				       const char *key)
{
	for (int32_t i = 0; i < ans->n; i++) {
		const struct rows_row *row = &ans->rows[i];

		if (!strcmp(row->key, key))
			return row->version > 0 && !row->deleted ? row : NULL;
	}
	return NULL;
}

/* The job's key has a row. */
static void handle_existing(struct submission *sub, const struct rows_row *row)
{
	int64_t refused_ms;

	if (!access_may_use_row(&sub->who, row->value)) {
		answer_submission(sub, JOB_API_ID_TAKEN,
				  "a job of another organisation has the id");
		return;
	}
	if (!admission_parse_refusal(row->value, &refused_ms)) {
		/* A repeated submission of a stored job succeeds. */
		sub->api->counts.repeated++;
		answer_submission(sub, JOB_API_OK, "already stored");
		return;
	}
	if (sub->admission.refused ||
	    admission_covers(refused_ms, sub->received_store_ms)) {
		answer_refused(sub, "refused before");
		return;
	}
	sub->row_version = row->version;
	retry_submission(sub, "it replaces a refusal");
}

/* Answers the submission, or retries it if the store did not decide on it. */
static void finish_submission(struct submission *sub,
			      const struct rows_answer *ans)
{
	const struct rows_row *row;

	if (ans->result == ROWS_OK) {
		if (sub->admission.refused)
			answer_refused(sub, sub->admission.why);
		else
			answer_submission(sub, JOB_API_OK, "stored");
		return;
	}
	if (ans->result == ROWS_CONFLICT) {
		row = find_row(ans, sub->id);
		if (row && row->version != sub->row_version) {
			handle_existing(sub, row);
			return;
		}
		/* The refusal to replace may have been removed meanwhile. */
		if (!row)
			sub->row_version = 0;
		retry_submission(sub,
				 "another job of its batch was already stored");
		return;
	}
	sub->maybe_stored |= ans->result == ROWS_UNKNOWN;
	retry_submission(sub,
			 ans->result == ROWS_UNKNOWN
				 ? "no answer from the store"
				 : "the store did not take the transaction");
}

static void on_submit_retry(void *priv)
{
	struct submit_queue *sq = priv;

	sq->retry_timer = NULL;
	send_batches(sq->api, sq->shard, sq->part);
}

static void on_batch_committed(const struct rows_answer *ans, void *priv)
{
	struct batch *b = priv;
	struct job_api *api = b->api;
	struct submit_queue *sq = &api->queues[b->shard][b->part];
	bool failed = ans->result != ROWS_OK && ans->result != ROWS_CONFLICT;

	sq->batches_in_flight--;
	sq->fresh_connection = ans->result == ROWS_UNKNOWN;
	for (int32_t i = 0; i < b->n; i++)
		finish_submission(b->jobs[i], ans);
	free(b);
	if (!failed)
		send_batches(api, sq->shard, sq->part);
	else if (!sq->retry_timer)
		sq->retry_timer = tmr_after(api->f->timers, JOB_API_RETRY_MS,
					    on_submit_retry, sq);
}

static void answer_disallowed(void *priv)
{
	struct submission *sub = priv;

	if (sub->maybe_stored)
		answer_submission(sub, JOB_API_UNKNOWN,
				  "the key was not confirmed while it waited");
	else if (sub->verdict == ACCESS_DENIED)
		answer_submission(sub, JOB_API_DENIED,
				  "the key was removed while it waited");
	else
		answer_submission(sub, JOB_API_REFUSED, "key not confirmed");
}

/* Takes the next submission that may still be sent; NULL if there is none. Keys
 * may have been removed while submissions waited for the store. */
static struct submission *pop_allowed(struct submit_queue *sq)
{
	struct fleet *f = sq->api->f;
	struct submission *sub;

	while ((sub = g_queue_pop_head(&sq->waiting))) {
		sub->verdict = access_recheck(f, &sub->who, sub->queue);
		if (sub->verdict == ACCESS_ALLOWED)
			return sub;
		/* Later, since job_api_submit must return before the answer. */
		tmr_after(f->timers, 0, answer_disallowed, sub);
	}
	return NULL;
}

/* Returns whether the batch has a job of that id for another organisation. In
 * one transaction neither would fail, and one of them would be lost. */
static bool has_rival(const struct batch *b, const struct submission *sub)
{
	for (int32_t i = 0; i < b->n; i++) {
		if (!strcmp(b->jobs[i]->id, sub->id) &&
		    strcmp(b->jobs[i]->who.org, sub->who.org) != 0)
			return true;
	}
	return false;
}

static void send_batch(struct job_api *api, int32_t shard, int32_t part)
{
	struct submit_queue *sq = &api->queues[shard][part];
	struct batch *b = calloc(1, sizeof(*b));
	struct rows_change changes[BATCH_MAX] = { 0 };
	char table[SHARD_CTL_NAME_MAX];
	char name[SHARD_CTL_NAME_MAX];
	size_t bytes = 0;
	struct rows_tx tx = { .part = shard_ctl_job_part(shard, part, name),
			      .changes = changes,
			      .fresh_connection = sq->fresh_connection };

	b->api = api;
	b->shard = shard;
	b->part = part;
	shard_ctl_jobs_table(shard, table);
	while (b->n < BATCH_MAX && bytes < BATCH_BYTES_MAX) {
		struct submission *sub = pop_allowed(sq);

		if (!sub)
			break;
		if (has_rival(b, sub)) {
			g_queue_push_head(&sq->waiting, sub);
			break;
		}
		bytes += strlen(sub->row_value);

		changes[b->n] = (struct rows_change){
			.table = table,
			.key = sub->id,
			.value = sub->row_value,
			.conditional = true,
			.expected = sub->row_version,
		};
		b->jobs[b->n++] = sub;
	}
	if (!b->n) {
		free(b);
		return;
	}
	tx.n = b->n;
	sq->batches_in_flight++;
	api->f->rows.ops->commit(api->f->rows.self, &tx, on_batch_committed, b);
}

static void send_batches(struct job_api *api, int32_t shard, int32_t part)
{
	struct submit_queue *sq = &api->queues[shard][part];

	while (sq->waiting.length &&
	       sq->batches_in_flight < BATCHES_IN_FLIGHT_MAX &&
	       !sq->retry_timer)
		send_batch(api, shard, part);
}

/* Used if the store was unavailable when the job came. Nothing was sent to
 * it, so the caller can safely retry at another VM. */
static void refuse_unavailable(void *priv)
{
	answer_submission(priv, JOB_API_REFUSED, "store unavailable");
}

static void refuse_too_large(void *priv)
{
	answer_submission(priv, JOB_API_TOO_LARGE,
			  "the job exceeds the row size limit");
}

void job_api_submit(struct job_api *api, struct jobspec *spec,
		    const struct access *who, int64_t deadline_ms,
		    job_api_cb done, void *priv)
{
	struct submission *sub = calloc(1, sizeof(*sub));
	json_t *row;
	bool fits;

	if (who) {
		sub->who = *who;
		snprintf(spec->org, sizeof(spec->org), "%s", who->org);
	}
	spec->accepted_ms = now_ms(api) + api->f->store_offset_ms;
	sub->shard = fleet_shard_of(api->f, spec->id);
	admission_check(api->f, &api->memory[sub->shard], spec,
			&sub->admission);
	row = sub->admission.refused ? admission_pack_refusal(spec->accepted_ms)
				     : jobspec_pack(spec);
	snprintf(sub->id, sizeof(sub->id), "%s", spec->id);
	snprintf(sub->queue, sizeof(sub->queue), "%s", spec->queue);
	sub->api = api;
	sub->part = shard_ctl_job_part_of(spec->id);
	sub->row_value = json_dumps(row, JSON_COMPACT);
	sub->received_ms = now_ms(api);
	sub->received_store_ms = spec->accepted_ms;
	sub->deadline_ms = deadline_ms;
	sub->done = done;
	sub->priv = priv;
	json_decref(row);
	fits = (int64_t)strlen(sub->row_value) <= api->f->set.row_bytes_max &&
	       sched_fits_in_row(spec, api->f->set.row_bytes_max);
	talloc_free(spec);
	api->active++;
	if (!fits) {
		tmr_after(api->f->timers, 0, refuse_too_large, sub);
		return;
	}
	if (fleet_store_unavailable(api->f)) {
		tmr_after(api->f->timers, 0, refuse_unavailable, sub);
		return;
	}
	g_queue_push_tail(&api->queues[sub->shard][sub->part].waiting, sub);
	send_batches(api, sub->shard, sub->part);
}
