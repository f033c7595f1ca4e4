/* Submits, cancels and looks up jobs by writing and reading rows of the store,
 * without the shard's owner. */
#include "fleet/job_api.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/admission.h"
#include "fleet/job_api_int.h"

/* Callers are told the number of pending jobs only if it is no older, in ms. */
#define PENDING_AGE_MAX_MS 2000

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
	struct access who;
	/* The progress row says `progress`, but no organisation: that is in the
	 * job's row. */
	bool has_progress;
	enum sched_job_state progress;
	int64_t row_version; /* of the row that the answer is taken from */
	void (*retry_fn)(struct job_request *rq); /* repeats the last call */
	job_api_cb done;
	void *priv;
};

static int free_refusals(struct job_api *api)
{
	g_hash_table_destroy(api->org_refusals);
	return 0;
}

struct job_api *job_api_start(struct fleet *f)
{
	struct job_api *api = talloc_zero(f->ev, struct job_api);

	api->f = f;
	hist_init(&api->accept_times);
	api->org_refusals =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(api, free_refusals);
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

const char *job_api_result_name(enum job_api_result res)
{
	static const char *const names[] = { "done",	"refused",  "unsure",
					     "absent",	"denied",   "id_taken",
					     "refused", "too_large" };

	return names[res];
}

static void answer_request(struct job_request *rq, enum job_api_result res,
			   enum sched_job_state state, const char *why)
{
	struct job_api *api = rq->api;
	struct job_api_answer ans = { .result = res,
				      .retry_after_ms = JOB_API_RETRY_AFTER_MS,
				      .state = state };

	log_event(LOG_JOB,
		  "job=%s what=%s outcome=%s state=%s why=\"%s\" version=%lld "
		  "took_ms=%lld%s%s",
		  rq->id, rq->is_cancel ? "cancel" : "state",
		  job_api_result_name(res), sched_job_state_name(state), why,
		  (long long)rq->row_version,
		  (long long)(now_ms(api) - rq->received_ms),
		  *rq->who.org ? " org=" : "", rq->who.org);
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
	    now_ms(api) + JOB_API_REPLY_MARGIN_MS + JOB_API_RETRY_MS >=
		    rq->deadline_ms)
		answer_request(
			rq, rq->cancel_sent ? JOB_API_UNKNOWN : JOB_API_REFUSED,
			SCHED_JOB_QUEUED, "store unavailable");
	else
		tmr_after(api->f->timers, JOB_API_RETRY_MS, on_request_retry,
			  rq);
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
	int64_t refused_ms;

	if (ans->result != ROWS_OK) {
		retry_request(rq, ans);
		return;
	}
	/* A progress row without its job's is one about to be removed, or the
	 * read was of an older version than that of the progress row. */
	if (rq->has_progress &&
	    (!ans->n || strcmp(ans->rows[0].key, rq->id) != 0)) {
		retry_request(rq, ans);
		return;
	}
	/* A cancel row may be left of a job that was removed meanwhile. */
	if (!ans->n || strcmp(ans->rows[0].key, rq->id) != 0) {
		answer_request(rq, JOB_API_NOT_FOUND, SCHED_JOB_QUEUED,
			       "no such job");
		return;
	}
	if (!access_may_use_row(&rq->who, ans->rows[0].value)) {
		answer_request(rq, JOB_API_NOT_FOUND, SCHED_JOB_QUEUED,
			       "of another organisation");
		return;
	}
	if (rq->has_progress) {
		answer_request(rq, JOB_API_OK, rq->progress, "progress");
		return;
	}
	if (admission_parse_refusal(ans->rows[0].value, &refused_ms)) {
		answer_request(rq, JOB_API_NOT_FOUND, SCHED_JOB_QUEUED,
			       "refused");
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
static bool parse_state(const json_t *j, enum sched_job_state *out)
{
	const char *name = json_string_value(json_object_get(j, "state"));
	bool found = false;

	for (int i = 0; name && i <= SCHED_JOB_CANCELLED; i++) {
		if (strcmp(name, sched_job_state_name(i)))
			continue;
		*out = (enum sched_job_state)i;
		found = true;
	}
	return found;
}

/* Answers by a progress row, NULL if it isn't JSON. */
static void answer_progress(struct job_request *rq, const json_t *j)
{
	const json_t *org = json_object_get(j, "org");
	bool found = parse_state(j, &rq->progress);

	if (!access_may_use(&rq->who, org)) {
		answer_request(rq, JOB_API_NOT_FOUND, SCHED_JOB_QUEUED,
			       "of another organisation");
		return;
	}
	if (found && rq->who.has_orgs && !org) {
		/* An earlier release wrote it, or the job has none. */
		rq->has_progress = true;
		read_job(rq);
		return;
	}
	if (found) {
		answer_request(rq, JOB_API_OK, rq->progress, "progress");
		return;
	}
	log_event(LOG_ROW_UNUSABLE,
		  "table=" SHARD_CTL_PROGRESS_TABLE
		  " key=%s why=\"no state in it\"",
		  rq->id);
	answer_request(rq, JOB_API_REFUSED, SCHED_JOB_QUEUED,
		       "unreadable progress");
}

static void on_progress_read(const struct rows_answer *ans, void *priv)
{
	struct job_request *rq = priv;
	json_t *j;

	if (ans->result != ROWS_OK) {
		retry_request(rq, ans);
		return;
	}
	if (!ans->n) {
		read_job(rq);
		return;
	}
	rq->row_version = ans->rows[0].version;
	j = ans->rows[0].value ? json_loads(ans->rows[0].value, 0, NULL) : NULL;
	answer_progress(rq, j);
	json_decref(j);
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
				       const struct access *who,
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
	if (who)
		rq->who = *who;
	rq->done = done;
	rq->priv = priv;
	api->active++;
	return rq;
}

void job_api_cancel(struct job_api *api, const char *id,
		    const struct access *who, int64_t deadline_ms,
		    job_api_cb done, void *priv)
{
	struct job_request *rq =
		new_request(api, id, who, deadline_ms, done, priv);

	rq->is_cancel = true;
	read_job(rq);
}

void job_api_state(struct job_api *api, const char *id,
		   const struct access *who, int64_t deadline_ms,
		   job_api_cb done, void *priv)
{
	read_progress(new_request(api, id, who, deadline_ms, done, priv));
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
		  queue,
		  job_api_result_name(usable ? JOB_API_OK : JOB_API_REFUSED),
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
				      .retry_after_ms =
					      JOB_API_RETRY_AFTER_MS };

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

GHashTable *job_api_org_refusals(const struct job_api *api)
{
	return api->org_refusals;
}

const struct hist *job_api_accept_times(const struct job_api *api)
{
	return &api->accept_times;
}
