/* What the parts of the platform's stand-in share. */
#ifndef SITE_H
#define SITE_H

#include <glib.h>
#include <jansson.h>
#include <tevent.h>

#include "base/clk.h"
#include "transport/hts.h"

struct site {
	struct tevent_context *ev;
	int port;
	/* The store. */
	GPtrArray *rows; /* struct site_row, in the order of their keys */
	GPtrArray *watches; /* struct site_watch */
	int64_t version;
	int64_t lose_answers; /* so many writes are done and not answered */
	int64_t lose_calls; /* so many writes are neither */
	/* The workers. */
	GPtrArray *workers; /* struct site_worker */
};

int64_t site_now_ms(void);
/* Takes over `body`. */
void site_reply(struct hts_req *req, unsigned int status, json_t *body);

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

#endif
