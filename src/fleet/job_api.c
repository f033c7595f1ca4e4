/* Submits, cancels and looks up jobs by writing and reading rows of the store,
 * without the shard's owner. */
#include "fleet/job_api.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/hist.h"
#include "base/log.h"
#include "fleet/shard_ctl.h"

/* Maximum number of jobs in a transaction, and of bytes of their values. The
 * store allows five times the number and twice the bytes. */
#define BATCH_MAX 20
#define BATCH_BYTES_MAX (512 * 1024)
/* Concurrent transactions to one part. The store executes those of a part one
 * by one, so more of them would only be smaller. */
#define BATCHES_IN_FLIGHT_MAX 1
/* Delay before a failed store call is retried, in ms. */
#define RETRY_MS 120
/* A submission that is certainly not stored is retried for this long, in ms.
 * After that the caller is better served by another VM. */
#define RETRY_PERIOD_MS 700
/* Part of the deadline reserved for sending the answer back, in ms. */
#define REPLY_MARGIN_MS 150
/* Retry-After of refusals, in ms. Shorter outages of the store are over by
 * then. */
#define RETRY_AFTER_MS 1000
/* Callers are told the number of pending jobs only if it is no older, in ms. */
#define PENDING_AGE_MAX_MS 2000

/* A submitted job that is not answered yet. */
struct submission {
	struct job_api *api;
	char id[JOBSPEC_ID_MAX];
	char queue[JOBSPEC_NAME_MAX];
	int32_t shard;
	int32_t part;
	char *row_value;
	int64_t received_ms;
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

/* Submissions waiting to be sent to one job part of one shard. */
struct submit_queue {
	struct job_api *api;
	int32_t shard;
	int32_t part;
	GQueue waiting;
	int32_t batches_in_flight;
	bool fresh_connection; /* set if the last batch got no answer */
	struct tmr *retry_timer;
};

struct job_api {
	struct fleet *f;
	struct submit_queue queues[FLEET_SHARDS_MAX][SHARD_CTL_JOB_PARTS];
	int32_t active;
	struct job_api_counts counts;
	struct hist accept_times;
};

/* A call of job_api_state or job_api_cancel. */
struct job_request {
	struct job_api *api;
	char id[JOBSPEC_ID_MAX];
	/* The job's rows have keys from `id` up to but not including this. */
	char key_end[JOBSPEC_ID_MAX + 1];
	int32_t shard;
	int64_t received_ms;
	int64_t deadline_ms;
	bool is_cancel;
	bool cancel_sent; /* the cancel row was sent at least once */
	bool fresh_connection;
	int64_t row_version; /* of the row that the answer is taken from */
	void (*retry_fn)(struct job_request *rq); /* repeats the last call */
	job_api_cb done;
	void *priv;
};

struct job_api *job_api_start(struct fleet *f)
{
	struct job_api *api = talloc_zero(f->ev, struct job_api);

	api->f = f;
	hist_init(&api->accept_times);
	for (int i = 0; i < FLEET_SHARDS_MAX; i++) {
		for (int k = 0; k < SHARD_CTL_JOB_PARTS; k++) {
			struct submit_queue *sq = &api->queues[i][k];

			sq->api = api;
			sq->shard = i;
			sq->part = k;
			g_queue_init(&sq->waiting);
		}
	}
	return api;
}

static int64_t now_ms(const struct job_api *api)
{
	return clk_mono_ms(api->f->clk);
}

static const char *const result_names[] = { "done", "refused", "unsure",
					    "absent" };

static void send_batches(struct job_api *api, int32_t shard, int32_t part);

static void answer_submission(struct submission *sub, enum job_api_result res,
			      const char *why)
{
	struct job_api *api = sub->api;
	struct job_api_answer ans = { .result = res,
				      .retry_after_ms = RETRY_AFTER_MS };
	int64_t took = now_ms(api) - sub->received_ms;

	log_event(LOG_JOB,
		  "job=%s queue=%s what=accept outcome=%s why=\"%s\" "
		  "took_ms=%lld config=%lld",
		  sub->id, sub->queue, result_names[res], why, (long long)took,
		  api->f->catalog ? (long long)api->f->catalog->version : -1LL);
	api->counts.accepted += res == JOB_API_OK;
	api->counts.refused += res == JOB_API_REFUSED;
	api->counts.unknown += res == JOB_API_UNKNOWN;
	hist_record(&api->accept_times, took * 1000);
	api->active--;
	sub->done(&ans, sub->priv);
	free(sub->row_value);
	free(sub);
}

/* Queues the submission again. Answers it instead if the store is unavailable,
 * the deadline is near, or it is not stored and another VM may do better. */
static void retry_submission(struct submission *sub, const char *why)
{
	struct job_api *api = sub->api;
	int64_t now = now_ms(api);
	int64_t retry_until = sub->received_ms + RETRY_PERIOD_MS;

	if (fleet_store_unavailable(api->f) ||
	    now + REPLY_MARGIN_MS + RETRY_MS >= sub->deadline_ms)
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

/* Looks the key up in the rows of a conflict. */
static bool row_exists(const struct rows_answer *ans, const char *key)
{
	for (int32_t i = 0; i < ans->n; i++) {
		if (!strcmp(ans->rows[i].key, key))
			return ans->rows[i].version > 0 &&
			       !ans->rows[i].deleted;
	}
	return false;
}

/* Answers the submission, or retries it if the store did not decide on it. */
static void finish_submission(struct submission *sub,
			      const struct rows_answer *ans)
{
	if (ans->result == ROWS_OK) {
		answer_submission(sub, JOB_API_OK, "stored");
		return;
	}
	if (ans->result == ROWS_CONFLICT) {
		/* A repeated submission of a stored job succeeds. */
		if (row_exists(ans, sub->id)) {
			sub->api->counts.repeated++;
			answer_submission(sub, JOB_API_OK, "already stored");
			return;
		}
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
		sq->retry_timer = tmr_after(api->f->timers, RETRY_MS,
					    on_submit_retry, sq);
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
	while (b->n < BATCH_MAX && bytes < BATCH_BYTES_MAX &&
	       sq->waiting.length) {
		struct submission *sub = g_queue_pop_head(&sq->waiting);

		bytes += strlen(sub->row_value);

		changes[b->n] = (struct rows_change){
			.table = table,
			.key = sub->id,
			.value = sub->row_value,
			.conditional = true,
		};
		b->jobs[b->n++] = sub;
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

static void refuse_too_long(void *priv)
{
	answer_submission(priv, JOB_API_REFUSED,
			  "the job exceeds the row size limit");
}

void job_api_submit(struct job_api *api, struct jobspec *spec,
		    int64_t deadline_ms, job_api_cb done, void *priv)
{
	struct submission *sub = calloc(1, sizeof(*sub));
	json_t *row;

	spec->accepted_ms = now_ms(api) + api->f->store_offset_ms;
	row = jobspec_pack(spec);
	snprintf(sub->id, sizeof(sub->id), "%s", spec->id);
	snprintf(sub->queue, sizeof(sub->queue), "%s", spec->queue);
	sub->api = api;
	sub->shard = fleet_shard_of(api->f, spec->id);
	sub->part = shard_ctl_job_part_of(spec->id);
	sub->row_value = json_dumps(row, JSON_COMPACT);
	sub->received_ms = now_ms(api);
	sub->deadline_ms = deadline_ms;
	sub->done = done;
	sub->priv = priv;
	json_decref(row);
	talloc_free(spec);
	api->active++;
	if ((int64_t)strlen(sub->row_value) > api->f->set.row_bytes_max) {
		tmr_after(api->f->timers, 0, refuse_too_long, sub);
		return;
	}
	if (fleet_store_unavailable(api->f)) {
		tmr_after(api->f->timers, 0, refuse_unavailable, sub);
		return;
	}
	g_queue_push_tail(&api->queues[sub->shard][sub->part].waiting, sub);
	send_batches(api, sub->shard, sub->part);
}

static void answer_request(struct job_request *rq, enum job_api_result res,
			   enum sched_job_state state, const char *why)
{
	struct job_api *api = rq->api;
	struct job_api_answer ans = { .result = res,
				      .retry_after_ms = RETRY_AFTER_MS,
				      .state = state };

	log_event(LOG_JOB,
		  "job=%s what=%s outcome=%s state=%s why=\"%s\" version=%lld "
		  "took_ms=%lld",
		  rq->id, rq->is_cancel ? "cancel" : "state", result_names[res],
		  sched_job_state_name(state), why, (long long)rq->row_version,
		  (long long)(now_ms(api) - rq->received_ms));
	api->counts.cancelled += rq->is_cancel && res == JOB_API_OK;
	api->counts.lookups += !rq->is_cancel;
	api->active--;
	rq->done(&ans, rq->priv);
	free(rq);
}

static void on_request_retry(void *priv)
{
	struct job_request *rq = priv;

	rq->retry_fn(rq);
}

/* Repeats the last store call after a pause. Answers the request instead if the
 * store is unavailable or the deadline is near. */
static void retry_request(struct job_request *rq, const struct rows_answer *ans)
{
	struct job_api *api = rq->api;

	rq->fresh_connection = ans->result == ROWS_UNKNOWN;
	if (fleet_store_unavailable(api->f) ||
	    now_ms(api) + REPLY_MARGIN_MS + RETRY_MS >= rq->deadline_ms)
		answer_request(
			rq, rq->cancel_sent ? JOB_API_UNKNOWN : JOB_API_REFUSED,
			SCHED_JOB_QUEUED, "store unavailable");
	else
		tmr_after(api->f->timers, RETRY_MS, on_request_retry, rq);
}

static void on_cancel_committed(const struct rows_answer *ans, void *priv)
{
	struct job_request *rq = priv;

	if (ans->result == ROWS_OK)
		answer_request(rq, JOB_API_OK, SCHED_JOB_CANCELLED, "stored");
	else
		retry_request(rq, ans);
}

static void write_cancel(struct job_request *rq)
{
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];
	char key[JOBSPEC_ID_MAX + sizeof(SHARD_CTL_CANCEL_SUFFIX)];
	struct rows_change change = { .table = shard_ctl_jobs_table(rq->shard,
								    table),
				      .key = key,
				      .value = "{}" };
	struct rows_tx tx = { .part = shard_ctl_job_part(
				      rq->shard, shard_ctl_job_part_of(rq->id),
				      part),
			      .n = 1,
			      .changes = &change,
			      .fresh_connection = rq->fresh_connection };

	snprintf(key, sizeof(key), "%s" SHARD_CTL_CANCEL_SUFFIX, rq->id);
	rq->cancel_sent = true;
	rq->retry_fn = write_cancel;
	rq->api->f->rows.ops->commit(rq->api->f->rows.self, &tx,
				     on_cancel_committed, rq);
}

static void on_job_read(const struct rows_answer *ans, void *priv)
{
	struct job_request *rq = priv;

	if (ans->result != ROWS_OK) {
		retry_request(rq, ans);
		return;
	}
	/* A cancel row may be left of a job that was removed meanwhile. */
	if (!ans->n || strcmp(ans->rows[0].key, rq->id) != 0) {
		answer_request(rq, JOB_API_NOT_FOUND, SCHED_JOB_QUEUED,
			       "no such job");
		return;
	}
	rq->row_version = ans->rows[ans->n - 1].version;
	if (!rq->is_cancel) {
		answer_request(rq, JOB_API_OK,
			       ans->n > 1 ? SCHED_JOB_CANCELLED
					  : SCHED_JOB_QUEUED,
			       "accepted");
		return;
	}
	write_cancel(rq);
}

static void read_job(struct job_request *rq)
{
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];
	struct rows_range range = {
		.table = shard_ctl_jobs_table(rq->shard, table),
		.part = shard_ctl_job_part(rq->shard,
					   shard_ctl_job_part_of(rq->id), part),
		.from = rq->id,
		.to = rq->key_end,
		.limit = 2
	};

	rq->retry_fn = read_job;
	rq->api->f->rows.ops->read(rq->api->f->rows.self, &range, on_job_read,
				   rq);
}

/* Reads the job state from a progress row; returns false if there is none in
 * it. */
static bool parse_state(const struct rows_answer *ans,
			enum sched_job_state *out)
{
	json_t *j = ans->rows[0].value ? json_loads(ans->rows[0].value, 0, NULL)
				       : NULL;
	const char *name = json_string_value(json_object_get(j, "state"));
	bool found = false;

	for (int i = 0; name && i <= SCHED_JOB_CANCELLED; i++) {
		if (strcmp(name, sched_job_state_name(i)))
			continue;
		*out = (enum sched_job_state)i;
		found = true;
	}
	json_decref(j);
	return found;
}

static void on_progress_read(const struct rows_answer *ans, void *priv)
{
	struct job_request *rq = priv;
	enum sched_job_state state = SCHED_JOB_QUEUED;

	if (ans->result != ROWS_OK) {
		retry_request(rq, ans);
		return;
	}
	if (!ans->n) {
		read_job(rq);
		return;
	}
	rq->row_version = ans->rows[0].version;
	if (parse_state(ans, &state)) {
		answer_request(rq, JOB_API_OK, state, "progress");
		return;
	}
	log_event(LOG_ROW_UNUSABLE,
		  "table=" SHARD_CTL_PROGRESS_TABLE
		  " key=%s why=\"no state in it\"",
		  rq->id);
	answer_request(rq, JOB_API_REFUSED, SCHED_JOB_QUEUED,
		       "unreadable progress");
}

static void read_progress(struct job_request *rq)
{
	char part[SHARD_CTL_NAME_MAX];
	struct rows_range range = { .table = SHARD_CTL_PROGRESS_TABLE,
				    .part = shard_ctl_state_part(rq->shard,
								 part),
				    .from = rq->id,
				    .to = rq->key_end,
				    .limit = 1 };

	rq->retry_fn = read_progress;
	rq->api->f->rows.ops->read(rq->api->f->rows.self, &range,
				   on_progress_read, rq);
}

static struct job_request *new_request(struct job_api *api, const char *id,
				       int64_t deadline_ms, job_api_cb done,
				       void *priv)
{
	struct job_request *rq = calloc(1, sizeof(*rq));

	rq->api = api;
	snprintf(rq->id, sizeof(rq->id), "%s", id);
	/* Sorts after the id and all keys that start with the id and "/", since
	 * "0" is the character after "/". */
	snprintf(rq->key_end, sizeof(rq->key_end), "%s0", id);
	rq->shard = fleet_shard_of(api->f, id);
	rq->received_ms = now_ms(api);
	rq->deadline_ms = deadline_ms;
	rq->done = done;
	rq->priv = priv;
	api->active++;
	return rq;
}

void job_api_cancel(struct job_api *api, const char *id, int64_t deadline_ms,
		    job_api_cb done, void *priv)
{
	struct job_request *rq = new_request(api, id, deadline_ms, done, priv);

	rq->is_cancel = true;
	read_job(rq);
}

void job_api_state(struct job_api *api, const char *id, int64_t deadline_ms,
		   job_api_cb done, void *priv)
{
	read_progress(new_request(api, id, deadline_ms, done, priv));
}

/* Adds the pending jobs of one shard to `ans`, unless their number is unknown
 * or too old. Logs it with its source. */
static void add_shard_pending(struct job_api *api, int32_t shard,
			      const char *queue, struct job_api_answer *ans)
{
	const struct shard_ctl *sc = api->f->shard_ctls[shard];
	int64_t age = shard_ctl_pending_age_ms(sc);
	bool usable = age >= 0 && age <= PENDING_AGE_MAX_MS;
	int64_t changed_ms;
	const struct owner_row *row = shard_ctl_owner_row(sc, &changed_ms);
	json_t *j =
		row && row->pending ? json_loads(row->pending, 0, NULL) : NULL;
	int64_t n = json_integer_value(json_object_get(j, queue));

	json_decref(j);
	log_event(LOG_JOB,
		  "what=pending queue=%s outcome=%s shard=%d count=%lld "
		  "counted_age_ms=%lld jobs_version=%lld owner=%s epoch=%lld "
		  "seq=%lld row_age_ms=%lld",
		  queue, result_names[usable ? JOB_API_OK : JOB_API_REFUSED],
		  shard, (long long)n, (long long)age,
		  row ? (long long)row->pending_version : 0LL,
		  row ? row->vm : "-", row ? (long long)row->epoch : 0LL,
		  row ? (long long)row->seq : 0LL,
		  row ? (long long)(now_ms(api) - changed_ms) : -1LL);
	ans->pending += n;
	if (!usable)
		ans->result = JOB_API_REFUSED;
}

struct job_api_answer job_api_pending(struct job_api *api, const char *queue)
{
	struct job_api_answer ans = { .result = JOB_API_OK,
				      .retry_after_ms = RETRY_AFTER_MS };

	for (int32_t i = 0; i < api->f->set.shards; i++)
		add_shard_pending(api, i, queue, &ans);
	api->counts.counted += ans.result == JOB_API_OK;
	api->counts.count_refused += ans.result != JOB_API_OK;
	return ans;
}

int32_t job_api_active(const struct job_api *api)
{
	return api->active;
}

const struct job_api_counts *job_api_counts(const struct job_api *api)
{
	return &api->counts;
}

const struct hist *job_api_accept_times(const struct job_api *api)
{
	return &api->accept_times;
}
