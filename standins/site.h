/* What the parts of the platform's stand-in share. */
#ifndef SITE_H
#define SITE_H

#include <glib.h>
#include <jansson.h>
#include <tevent.h>

#include "base/clk.h"
#include "transport/hts.h"

/* What the store does wrong for a while; the first that holds counts. */
enum site_store_fault {
	SITE_REFUSING,
	SITE_SILENT,
	SITE_LOSING, /* two of three answers; one call of three is done late */
	SITE_SLOW,
	SITE_STORE_FAULTS,
};

struct site {
	struct tevent_context *ev;
	int port;
	int worker_ports; /* where workers say that they are; 0: at `port` */
	int64_t lease_max_ms;
	/* The store. */
	GPtrArray *rows; /* struct site_row, in the order of their keys */
	GPtrArray *watches; /* struct site_watch */
	int64_t version;
	int64_t lose_answers; /* so many writes are done and not answered */
	int64_t lose_calls; /* so many writes are neither */
	/* The workers. */
	GPtrArray *workers; /* struct site_worker */
	/* Faults. */
	int64_t until_ms[SITE_STORE_FAULTS];
	int64_t slow_ms; /* how long a slow store takes */
	int64_t lost_calls;
	GPtrArray *held; /* struct site_held */
	bool muted; /* what is carried out now stays without answer */
	bool late; /* what is carried out now was held */
};

int64_t site_now_ms(void);
/* Takes over `body`. */
void site_reply(struct site *s, struct hts_req *req, unsigned int status,
		json_t *body);

void store_init(struct site *s);
void store_request(struct site *s, struct hts_req *req);
void store_tick(struct site *s);
/* A row of the operator's or a worker's; NULL deletes. */
void store_put(struct site *s, const char *table, const char *part,
	       const char *key, const char *value);

void workers_init(struct site *s, int n);
/* False if it is no call for a worker or about VMs. */
bool workers_request(struct site *s, struct hts_req *req);
void workers_tick(struct site *s);
/* {worker, do: die, reborn, drain, lapse or late, for_ms, count} */
void workers_control(struct site *s, const json_t *body);

void faults_init(struct site *s);
/* {how: refuse, silent, lose or slow, for_ms, slow_ms} */
void faults_store(struct site *s, const json_t *body);
void faults_store_request(struct site *s, struct hts_req *req);
bool faults_store_away(const struct site *s);
/* Carries the call out after `for_ms`. */
void faults_hold(struct site *s, struct hts_req *req, int64_t for_ms,
		 bool lost);
void faults_tick(struct site *s);

#endif
