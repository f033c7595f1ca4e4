/*
 * Messages between the owner of a shard and the relays that call workers for
 * it, encoded as msgpack arrays. Fields are only added at the end of an array,
 * and decoding ignores surplus ones.
 */
#ifndef RELAY_MSG_H
#define RELAY_MSG_H

#include "fleet/list_view.h"
#include "fleet/relay_reports.h"
#include "fleet/wkr.h"
#include "transport/traffic.h"

/* RELAY_PING and RELAY_LIST are answered at once, without a call. The latter is
 * sent only to VMs whose row says that they answer it: others close the link.
 */
enum relay_kind {
	RELAY_START,
	RELAY_STOP,
	RELAY_PACE,
	RELAY_POLL,
	RELAY_PING,
	RELAY_LIST, /* changes of the list of workers after `durable_seq` */
};

/* As what messages of the kind are counted. */
enum traffic_purpose relay_purpose(enum relay_kind kind);

/* A call of struct wkr_ops. Strings are valid as long as their message. */
struct relay_call {
	uint64_t id; /* echoed in the answer */
	enum relay_kind kind;
	int64_t sent_ms; /* monotonic clock of the sender */
	struct wkr_target to;
	struct sched_ref ref; /* not for RELAY_POLL */
	int32_t percent; /* RELAY_PACE */
	int64_t durable_seq; /* RELAY_POLL, as the next; RELAY_LIST */
	int64_t wait_ms;
	/* RELAY_START. NULL: the payload of the job was sent before on this
	 * connection; see relay_payloads. */
	const char *payload;
	const char *checkpoint; /* NULL: none, as the next */
	const char *ticket;
	/* RELAY_POLL. Number of the worker's last report over this connection,
	 * to which the answer may be a difference; 0: none; -1: the owner is of
	 * a release without differences. */
	int64_t base;
};

struct relay_answer {
	uint64_t id;
	enum sched_start_result started; /* RELAY_START */
	bool answered; /* RELAY_STOP, RELAY_PACE */
	const struct sched_report *report; /* RELAY_POLL; NULL: none */
	/* RELAY_POLL. The number that a report has over this connection; 0: it
	 * is none's base. */
	int64_t number;
	const struct relay_delta *delta; /* NULL, or in place of `report` */
	/* RELAY_LIST; NULL: unknown, the store has to be asked. */
	const struct list_changes *list;
};

/* Return the message, a talloc child of `ctx`. */
uint8_t *relay_pack_call(void *ctx, const struct relay_call *call, size_t *len);
uint8_t *relay_pack_answer(void *ctx, const struct relay_answer *answer,
			   size_t *len);
/* Decode a message; what `out` points to are talloc children of `ctx`. Return
 * false if the message is malformed. */
bool relay_unpack_call(void *ctx, const uint8_t *data, size_t len,
		       struct relay_call *out);
bool relay_unpack_answer(void *ctx, const uint8_t *data, size_t len,
			 struct relay_answer *out);

/*
 * Payloads of the jobs that were started last over one connection, so that a
 * payload is sent once for all tasks of a job. Both ends keep them, and drop
 * the oldest one at the same message.
 */
struct relay_payloads {
	GHashTable *texts; /* job id to payload; the sender's are "" */
	GQueue ids; /* oldest first */
};

void relay_payloads_init(struct relay_payloads *p);
void relay_payloads_finish(struct relay_payloads *p);
/* Returns NULL if the job's payload is not kept. */
const char *relay_payloads_find(const struct relay_payloads *p,
				const char *job);
void relay_payloads_add(struct relay_payloads *p, const char *job,
			const char *payload);

#endif
