/* What the parts of the entry daemon share. */
#ifndef ENTRY_H
#define ENTRY_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clk.h"
#include "base/hist.h"
#include "coordination/permit.h"
#include "coordination/retry.h"
#include "coordination/view.h"
#include "protocol/msg.h"
#include "protocol/settings.h"
#include "state/sto.h"
#include "state/config_watch.h"
#include "transport/hts.h"
#include "transport/mbx.h"

#define ENTRY_ID_MAX 96
#define ENTRY_SERVICES_MAX 64

struct frontend;
struct owner;
struct origin;
struct peers;
struct schedc;

/* A request on its way from a door thread to the core and back. */
struct client_request {
	struct mbx_item link;
	struct frontend *frontend;
	struct hts_req *http; /* the door thread's */
	bool operation; /* an operator's call, not a caller's */
	char method[8];
	char path[160];
	char id[ENTRY_ID_MAX]; /* request id or operation id */
	char service[REC_NAME_MAX];
	char pool[REC_NAME_MAX];
	char tenant[REC_NAME_MAX];
	bool idempotent;
	bool first_attempt; /* the caller never sent this id before */
	int64_t deadline_ms; /* core's monotonic clock */
	int64_t arrived_us;
	char *body;
	size_t body_len;
	/* the answer */
	int64_t outcome;
	int64_t status;
	const char *reason; /* a literal */
	char target[VIEW_ID_MAX];
	char *reply;
	size_t reply_len;
};

/* Counters of one service, shared by all threads. */
struct service_stats {
	char name[REC_NAME_MAX];
	struct hist latency;
	_Atomic int64_t outcomes[3];
	_Atomic int64_t refused; /* bad input, never a request */
};

struct entry_stats {
	struct service_stats services[ENTRY_SERVICES_MAX];
	_Atomic int n_services;
	_Atomic uint64_t generated_ids; /* request ids given by this entry */
	_Atomic int64_t retries;
	_Atomic int64_t forwarded;
	_Atomic int64_t forwarded_bytes;
	_Atomic int64_t dispatched;
	_Atomic int64_t peer_messages;
	_Atomic int64_t peer_bytes;
	_Atomic int64_t store_reads;
	_Atomic int64_t store_writes;
	_Atomic int64_t revision;
	_Atomic int64_t permit; /* 1 held, 0 not */
	_Atomic int64_t groups_owned;
};

/* The core thread's state; door threads touch only what says so. */
struct entry {
	struct settings settings;
	const struct clk *clk;
	struct tevent_context *ev;
	struct htc *http;
	struct sto *sto;
	struct config_watch *sync;
	struct permit permit;
	struct view *view; /* RCU: door threads read it */
	uint64_t incarnation;
	GRand *rand;
	struct mbx mbx; /* door threads post client_requests here */
	struct retry_budget retry_budget;
	struct peers *peers;
	struct owner *owner;
	struct origin *origin;
	struct schedc *schedc;
	struct entry_stats stats; /* any thread */
	_Atomic bool stopping; /* any thread */
	bool joined;
	int self_index; /* own index in the view, -1 if not a member */
};

static inline int64_t entry_now_ms(const struct entry *e)
{
	return clk_mono_ms(e->clk);
}

/* Permit held, a member, and settled: new work may start here. */
bool entry_may_start_work(const struct entry *e);

/* The stats of a service; the last one is shared by all that don't fit. */
struct service_stats *entry_service_stats(struct entry *e, const char *service);

#endif
