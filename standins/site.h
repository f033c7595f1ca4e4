/*
 * Simulator of the platform for tests (program gd-site): shared state and the
 * interfaces of its store (store_*), workers (workers_*) and fault injection
 * (faults_*). Runs in one thread.
 */
#ifndef SITE_H
#define SITE_H

#include <glib.h>
#include <jansson.h>
#include <tevent.h>

#include "base/clk.h"
#include "transport/hts.h"

/*
 * Timed faults of the store. If several are active, SILENT precedes REFUSE,
 * REFUSE precedes LOSE, and LOSE precedes SLOW.
 */
enum site_store_fault {
	SITE_FAULT_REFUSE, /* responds 503 */
	SITE_FAULT_SILENT, /* never responds */
	SITE_FAULT_LOSE, /* drops responses, delays requests */
	SITE_FAULT_SLOW, /* responds after slow_ms */
	SITE_FAULT_COUNT,
};

struct site {
	struct tevent_context *ev;
	int port;
	int worker_port_base; /* worker i is at base + i; 0: at port */
	int64_t lease_max_ms; /* 0: the default of site_runs.c */
	bool overcommits; /* workers start what doesn't fit */
	/* The store. */
	GPtrArray *rows; /* struct site_row, by table, part, key */
	GPtrArray *watches; /* struct site_watch */
	int64_t version;
	int64_t responses_to_drop; /* next writes: run, unanswered */
	int64_t requests_to_drop; /* next writes: neither run nor answered */
	/* The workers. */
	GPtrArray *workers; /* struct site_worker */
	/* Faults. */
	int64_t fault_until_ms[SITE_FAULT_COUNT];
	int64_t slow_ms; /* response time under SITE_FAULT_SLOW */
	char silent_table[32]; /* SITE_FAULT_SILENT for reads of it; "": all */
	int64_t lossy_requests; /* served under SITE_FAULT_LOSE */
	GPtrArray *delayed; /* struct site_delayed_req */
	bool suppress_response; /* of the request being served */
	bool delivered_late; /* it was delayed and goes unanswered */
};

int64_t site_now_ms(void);
/* Responds, unless suppress_response is set. Takes ownership of `body`. */
void site_reply(struct site *s, struct hts_req *req, unsigned int status,
		json_t *body);

void store_init(struct site *s);
void store_handle(struct site *s, struct hts_req *req);
void store_tick(struct site *s);
/* Writes a row without conditions; a NULL `value` deletes it. */
void store_put(struct site *s, const char *table, const char *part,
	       const char *key, const char *value);

void workers_init(struct site *s, int n);
/* Returns false if the path is none of workers or VMs. */
bool workers_handle(struct site *s, struct hts_req *req);
void workers_tick(struct site *s);
/*
 * Injects a fault into a worker that is up. `body` is
 * {"worker": INDEX, "do": ACTION, "for_ms": N, "count": N} with the actions
 * die (VM down, removed from the list), reborn (down, returns under the same
 * id), drain (drains, then ends), lapse (row missing for that time), late
 * (the next `count` start and stop commands run after for_ms, unanswered) and
 * shrink (its capacity is "cpu" and "mem_mb" for that time).
 */
void workers_control(struct site *s, const json_t *body);

void faults_init(struct site *s);
/*
 * Starts or extends a fault of the store. `body` is {"how": "refuse",
 * "silent", "lose" or "slow", "for_ms": N, "slow_ms": N, "table": TABLE}. With
 * "table", "silent" affects reads of that table only.
 */
void faults_set_store(struct site *s, const json_t *body);
/* Serves a request to the store under the faults that are active. */
void faults_handle_store(struct site *s, struct hts_req *req);
/* True while the store refuses requests or is silent. */
bool faults_store_unavailable(const struct site *s);
/* Serves the request after `for_ms`, without a response if `unanswered`. */
void faults_delay(struct site *s, struct hts_req *req, int64_t for_ms,
		  bool unanswered);
void faults_tick(struct site *s);

#endif
