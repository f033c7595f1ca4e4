/*
 * State and types shared by the modules of the entry daemon. An entry accepts
 * requests over HTTP (frontend), routes each to the owner of a group of
 * targets (origin), and dispatches the requests of the groups that it owns
 * itself (owner). Entries are connected to each other (peers) and to the
 * schedulers (schedc).
 */
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

/*
 * A request passed from a frontend thread to the core thread and back. The
 * core thread owns it until frontend_reply.
 */
struct client_request {
	struct mbx_item link;
	struct frontend *frontend;
	struct hts_req *http; /* used by the frontend thread only */
	bool operation; /* an operator's request, not a service call */
	char method[8];
	char path[160];
	char id[ENTRY_ID_MAX]; /* request id or operation id */
	char service[REC_NAME_MAX];
	char pool[REC_NAME_MAX];
	char tenant[REC_NAME_MAX];
	bool idempotent;
	bool first_attempt; /* the caller has not sent this id before */
	int64_t deadline_ms; /* monotonic clock */
	int64_t arrived_us;
	char *body;
	size_t body_len;
	/* Reply, set by the core thread. */
	int64_t outcome;
	int64_t status;
	const char *reason; /* string literal, not freed */
	char target[VIEW_ID_MAX];
	char *reply;
	size_t reply_len;
};

/* Counters of one service; updated by all threads. */
struct service_stats {
	char name[REC_NAME_MAX];
	struct hist latency;
	_Atomic int64_t outcomes[3];
	_Atomic int64_t refused; /* rejected as invalid, not in outcomes */
};

struct entry_stats {
	struct service_stats services[ENTRY_SERVICES_MAX];
	_Atomic int n_services;
	_Atomic uint64_t generated_ids; /* request ids generated here */
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
	_Atomic int64_t links_refused; /* beyond the limits */
};

/* State of the core thread. Other threads use only the fields marked so. */
struct entry {
	struct settings settings;
	const struct clk *clk;
	struct tevent_context *ev;
	struct htc *http;
	struct sto *sto;
	struct config_watch *config;
	struct permit permit;
	struct view *view; /* RCU: read by frontend threads */
	uint64_t incarnation;
	GRand *rand;
	struct mbx mbx; /* client_requests from the frontend threads */
	struct retry_budget retry_budget;
	struct peers *peers;
	struct owner *owner;
	struct origin *origin;
	struct schedc *schedc;
	struct entry_stats stats; /* any thread */
	_Atomic bool stopping; /* any thread */
	bool joined;
	int self_index; /* own member index in view, -1 if not a member */
};

static inline int64_t entry_now_ms(const struct entry *e)
{
	return clk_mono_ms(e->clk);
}

/*
 * Returns whether new work may start here: this entry is a member and holds its
 * permit.
 */
bool entry_may_start_work(const struct entry *e);

/*
 * Returns the counters of a service. Services beyond ENTRY_SERVICES_MAX share
 * the last slot. Any thread.
 */
struct service_stats *entry_service_stats(struct entry *e, const char *service);

#endif
