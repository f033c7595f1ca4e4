/* Jobs handed in, cancelled and asked for: rows of the store, no owner. */
#include "fleet/job_api.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/hist.h"
#include "base/log.h"
#include "fleet/shard_ctl.h"

/* Jobs in one transaction, and their bytes: the store allows five times the
 * number, and twice as many bytes. */
#define BATCH_MAX 20
#define BATCH_BYTES_MAX (512 * 1024)
/* Transactions under way at once; a part does them one after another, so more
 * than one would only be smaller ones. */
#define BATCHES_AT_ONCE 1
/* Pause before a call to the store is tried again, in ms. */
#define RETRY_MS 120
/* A caller whose store is away this long does better at another VM, in ms. */
#define PATIENCE_MS 700
/* Left of the caller's deadline to send the answer home, in ms. */
#define MARGIN_MS 150
/* When to come back: the store's shorter outages are over by then, in ms. */
#define RETRY_AFTER_MS 1000
/* An owner's row older than this says nothing of waiting jobs, in ms. */
#define PENDING_STALE_MS 2000

/* A job on its way into the store. */
struct submission {
	struct job_api *api;
	char id[JOBSPEC_ID_MAX];
	char queue[JOBSPEC_NAME_MAX];
	int32_t shard;
	int32_t part;
	char *value;
	int64_t came_ms;
	int64_t deadline_ms;
	bool unsure;
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

/* Jobs that wait for one part of one shard. */
struct intake {
	struct job_api *api;
	int32_t shard;
	int32_t part;
	GQueue waiting;
	int32_t under_way;
	bool fresh; /* the last try got no answer */
	struct tmr *timer;
};

struct job_api {
	struct fleet *f;
	struct intake intake[FLEET_SHARDS_MAX][SHARD_CTL_JOB_PARTS];
	int32_t active;
	struct job_api_counts counts;
	struct hist accept_times;
};

/* A question or a cancellation. */
struct enquiry {
	struct job_api *api;
	char id[JOBSPEC_ID_MAX];
	char to[JOBSPEC_ID_MAX + 1]; /* end of the range of the job's rows */
	int32_t shard;
	int64_t came_ms;
	int64_t deadline_ms;
	bool cancels;
	bool written; /* the cancellation was sent at least once */
	bool fresh;
	void (*step)(struct enquiry *q);
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
			struct intake *in = &api->intake[i][k];

			in->api = api;
			in->shard = i;
			in->part = k;
			g_queue_init(&in->waiting);
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

static void flush(struct job_api *api, int32_t shard, int32_t part);

static void answer_submission(struct submission *sub, enum job_api_result res,
			      const char *why)
{
	struct job_api *api = sub->api;
	struct job_api_answer ans = { .result = res,
				      .retry_after_ms = RETRY_AFTER_MS };
	int64_t took = now_ms(api) - sub->came_ms;

	log_event(LOG_JOB,
		  "job=%s queue=%s what=accept outcome=%s why=\"%s\" "
		  "took_ms=%lld config=%lld",
		  sub->id, sub->queue, result_names[res], why, (long long)took,
		  api->f->catalog ? (long long)api->f->catalog->version : -1LL);
	api->counts.accepted += res == JOB_API_OK;
	api->counts.refused += res == JOB_API_REFUSED;
	api->counts.unsure += res == JOB_API_UNKNOWN;
	hist_record(&api->accept_times, took * 1000);
	api->active--;
	sub->done(&ans, sub->priv);
	free(sub->value);
	free(sub);
}

/* Tries again later, or gives up if the caller does better elsewhere. */
static void put_back(struct submission *sub, const char *why)
{
	struct job_api *api = sub->api;
	int64_t now = now_ms(api);
	int64_t patience = sub->came_ms + PATIENCE_MS;

	if (fleet_store_away(api->f) ||
	    now + MARGIN_MS + RETRY_MS >= sub->deadline_ms)
		answer_submission(
			sub, sub->unsure ? JOB_API_UNKNOWN : JOB_API_REFUSED,
			why);
	else if (!sub->unsure && now >= patience)
		answer_submission(sub, JOB_API_REFUSED, why);
	else
		g_queue_push_tail(&api->intake[sub->shard][sub->part].waiting,
				  sub);
}

static bool exists(const struct rows_answer *ans, const char *key)
{
	for (int32_t i = 0; i < ans->n; i++) {
		if (!strcmp(ans->rows[i].key, key))
			return ans->rows[i].version > 0 &&
			       !ans->rows[i].deleted;
	}
	return false;
}

static void settle_one(struct submission *sub, const struct rows_answer *ans)
{
	if (ans->result == ROWS_OK) {
		answer_submission(sub, JOB_API_OK, "stored");
		return;
	}
	if (ans->result == ROWS_CONFLICT) {
		/* Handed in before: it stays one job. */
		if (exists(ans, sub->id)) {
			sub->api->counts.repeated++;
			answer_submission(sub, JOB_API_OK, "known already");
			return;
		}
		put_back(sub, "another job of its batch was known");
		return;
	}
	sub->unsure |= ans->result == ROWS_UNKNOWN;
	put_back(sub, ans->result == ROWS_UNKNOWN ? "store gave no answer"
						  : "store refused");
}

static void flush_later(void *priv)
{
	struct intake *in = priv;

	in->timer = NULL;
	flush(in->api, in->shard, in->part);
}

static void on_batch(const struct rows_answer *ans, void *priv)
{
	struct batch *b = priv;
	struct job_api *api = b->api;
	struct intake *in = &api->intake[b->shard][b->part];
	bool failed = ans->result != ROWS_OK && ans->result != ROWS_CONFLICT;

	in->under_way--;
	in->fresh = ans->result == ROWS_UNKNOWN;
	for (int32_t i = 0; i < b->n; i++)
		settle_one(b->jobs[i], ans);
	free(b);
	if (!failed)
		flush(api, in->shard, in->part);
	else if (!in->timer)
		in->timer =
			tmr_after(api->f->timers, RETRY_MS, flush_later, in);
}

static void send_batch(struct job_api *api, int32_t shard, int32_t part)
{
	struct intake *in = &api->intake[shard][part];
	struct batch *b = calloc(1, sizeof(*b));
	struct rows_change changes[BATCH_MAX] = { 0 };
	char table[SHARD_CTL_NAME_MAX];
	char name[SHARD_CTL_NAME_MAX];
	size_t bytes = 0;
	struct rows_tx tx = { .part = shard_ctl_job_part(shard, part, name),
			      .changes = changes,
			      .fresh_connection = in->fresh };

	b->api = api;
	b->shard = shard;
	b->part = part;
	shard_ctl_jobs_table(shard, table);
	while (b->n < BATCH_MAX && bytes < BATCH_BYTES_MAX &&
	       in->waiting.length) {
		struct submission *sub = g_queue_pop_head(&in->waiting);

		bytes += strlen(sub->value);

		changes[b->n] = (struct rows_change){
			.table = table,
			.key = sub->id,
			.value = sub->value,
			.conditional = true,
		};
		b->jobs[b->n++] = sub;
	}
	tx.n = b->n;
	in->under_way++;
	api->f->rows.ops->commit(api->f->rows.self, &tx, on_batch, b);
}

static void flush(struct job_api *api, int32_t shard, int32_t part)
{
	struct intake *in = &api->intake[shard][part];

	while (in->waiting.length && in->under_way < BATCHES_AT_ONCE &&
	       !in->timer)
		send_batch(api, shard, part);
}

/* It was never sent to the store: better to come back than to wait here. */
static void refuse_now(void *priv)
{
	answer_submission(priv, JOB_API_REFUSED, "store away");
}

static void refuse_long(void *priv)
{
	answer_submission(priv, JOB_API_REFUSED, "too long for a row");
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
	sub->value = json_dumps(row, JSON_COMPACT);
	sub->came_ms = now_ms(api);
	sub->deadline_ms = deadline_ms;
	sub->done = done;
	sub->priv = priv;
	json_decref(row);
	talloc_free(spec);
	api->active++;
	if ((int64_t)strlen(sub->value) > api->f->set.row_bytes_max) {
		tmr_after(api->f->timers, 0, refuse_long, sub);
		return;
	}
	if (fleet_store_away(api->f)) {
		tmr_after(api->f->timers, 0, refuse_now, sub);
		return;
	}
	g_queue_push_tail(&api->intake[sub->shard][sub->part].waiting, sub);
	flush(api, sub->shard, sub->part);
}

static void answer_enquiry(struct enquiry *q, enum job_api_result res,
			   enum sched_job_state state, const char *why)
{
	struct job_api *api = q->api;
	struct job_api_answer ans = { .result = res,
				      .retry_after_ms = RETRY_AFTER_MS,
				      .state = state };

	log_event(LOG_JOB,
		  "job=%s what=%s outcome=%s state=%s why=\"%s\" took_ms=%lld",
		  q->id, q->cancels ? "cancel" : "state", result_names[res],
		  sched_job_state_name(state), why,
		  (long long)(now_ms(api) - q->came_ms));
	api->counts.cancelled += q->cancels && res == JOB_API_OK;
	api->counts.asked += !q->cancels;
	api->active--;
	q->done(&ans, q->priv);
	free(q);
}

static void step_again(void *priv)
{
	struct enquiry *q = priv;

	q->step(q);
}

static void enquire_again(struct enquiry *q, const struct rows_answer *ans)
{
	struct job_api *api = q->api;

	q->fresh = ans->result == ROWS_UNKNOWN;
	if (fleet_store_away(api->f) ||
	    now_ms(api) + MARGIN_MS + RETRY_MS >= q->deadline_ms)
		answer_enquiry(q,
			       q->written ? JOB_API_UNKNOWN : JOB_API_REFUSED,
			       SCHED_JOB_QUEUED, "store away");
	else
		tmr_after(api->f->timers, RETRY_MS, step_again, q);
}

static void on_cancelled(const struct rows_answer *ans, void *priv)
{
	struct enquiry *q = priv;

	if (ans->result == ROWS_OK)
		answer_enquiry(q, JOB_API_OK, SCHED_JOB_CANCELLED, "stored");
	else
		enquire_again(q, ans);
}

static void write_cancel(struct enquiry *q)
{
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];
	char key[JOBSPEC_ID_MAX + sizeof(SHARD_CTL_CANCEL_SUFFIX)];
	struct rows_change change = { .table = shard_ctl_jobs_table(q->shard,
								    table),
				      .key = key,
				      .value = "{}" };
	struct rows_tx tx = { .part = shard_ctl_job_part(
				      q->shard, shard_ctl_job_part_of(q->id),
				      part),
			      .n = 1,
			      .changes = &change,
			      .fresh_connection = q->fresh };

	snprintf(key, sizeof(key), "%s" SHARD_CTL_CANCEL_SUFFIX, q->id);
	q->written = true;
	q->step = write_cancel;
	q->api->f->rows.ops->commit(q->api->f->rows.self, &tx, on_cancelled, q);
}

static void on_job(const struct rows_answer *ans, void *priv)
{
	struct enquiry *q = priv;

	if (ans->result != ROWS_OK) {
		enquire_again(q, ans);
		return;
	}
	if (!ans->n) {
		answer_enquiry(q, JOB_API_NOT_FOUND, SCHED_JOB_QUEUED,
			       "no row");
		return;
	}
	if (!q->cancels) {
		answer_enquiry(q, JOB_API_OK,
			       ans->n > 1 ? SCHED_JOB_CANCELLED
					  : SCHED_JOB_QUEUED,
			       "accepted");
		return;
	}
	write_cancel(q);
}

static void read_job(struct enquiry *q)
{
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];
	struct rows_range range = {
		.table = shard_ctl_jobs_table(q->shard, table),
		.part = shard_ctl_job_part(q->shard,
					   shard_ctl_job_part_of(q->id), part),
		.from = q->id,
		.to = q->to,
		.limit = 2
	};

	q->step = read_job;
	q->api->f->rows.ops->read(q->api->f->rows.self, &range, on_job, q);
}

static bool state_of(const struct rows_answer *ans, enum sched_job_state *out)
{
	json_t *j = ans->n && ans->rows[0].value
			    ? json_loads(ans->rows[0].value, 0, NULL)
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

static void on_progress(const struct rows_answer *ans, void *priv)
{
	struct enquiry *q = priv;
	enum sched_job_state state = SCHED_JOB_QUEUED;

	if (ans->result != ROWS_OK)
		enquire_again(q, ans);
	else if (state_of(ans, &state))
		answer_enquiry(q, JOB_API_OK, state, "progress");
	else
		read_job(q);
}

static void read_progress(struct enquiry *q)
{
	char part[SHARD_CTL_NAME_MAX];
	struct rows_range range = { .table = SHARD_CTL_PROGRESS_TABLE,
				    .part = shard_ctl_state_part(q->shard,
								 part),
				    .from = q->id,
				    .to = q->to,
				    .limit = 1 };

	q->step = read_progress;
	q->api->f->rows.ops->read(q->api->f->rows.self, &range, on_progress, q);
}

static struct enquiry *new_enquiry(struct job_api *api, const char *id,
				   int64_t deadline_ms, job_api_cb done,
				   void *priv)
{
	struct enquiry *q = calloc(1, sizeof(*q));

	q->api = api;
	snprintf(q->id, sizeof(q->id), "%s", id);
	/* Follows all keys that are the id, or the id and a slash. */
	snprintf(q->to, sizeof(q->to), "%s0", id);
	q->shard = fleet_shard_of(api->f, id);
	q->came_ms = now_ms(api);
	q->deadline_ms = deadline_ms;
	q->done = done;
	q->priv = priv;
	api->active++;
	return q;
}

void job_api_cancel(struct job_api *api, const char *id, int64_t deadline_ms,
		    job_api_cb done, void *priv)
{
	struct enquiry *q = new_enquiry(api, id, deadline_ms, done, priv);

	q->cancels = true;
	read_job(q);
}

void job_api_state(struct job_api *api, const char *id, int64_t deadline_ms,
		   job_api_cb done, void *priv)
{
	read_progress(new_enquiry(api, id, deadline_ms, done, priv));
}

int64_t job_api_pending(struct job_api *api, const char *queue)
{
	int64_t sum = 0;

	for (int32_t i = 0; i < api->f->set.shards; i++) {
		int64_t changed_ms;
		const struct owner_row *row =
			shard_ctl_owner_row(api->f->shard_ctls[i], &changed_ms);
		json_t *j = row && row->pending
				    ? json_loads(row->pending, 0, NULL)
				    : NULL;

		sum += json_integer_value(json_object_get(j, queue));
		json_decref(j);
	}
	return sum;
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
