/* HTTP client of the platform's table service, object store and VM list. */
#ifndef STO_H
#define STO_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

#include "base/clk.h"
#include "transport/htc.h"

struct sto;

enum sto_result {
	STO_OK,
	STO_CONFLICT, /* a condition of the transaction failed */
	STO_NO_EFFECT, /* proved to have had no effect */
	STO_UNKNOWN, /* may have taken effect: read to find out */
};

/* `body` is borrowed by the callback; NULL unless STO_OK or STO_CONFLICT. */
typedef void (*sto_done)(enum sto_result res, const json_t *body, void *priv);

/* A transaction being built; owned by the caller until sto_commit. */
struct sto_tx {
	json_t *conditions; /* key to revision; 0 means absent */
	json_t *puts; /* key to value; null deletes the row */
};

/* Counters of a client since its start. */
struct sto_counts {
	int64_t reads;
	int64_t writes; /* rows */
	int64_t transactions;
	int64_t failures;
};

struct sto *sto_start(void *ctx, struct tevent_context *ev, struct htc *http,
		      const struct clk *clk, const char *url,
		      int64_t timeout_ms);

void sto_tx_init(struct sto_tx *tx);
void sto_tx_if(struct sto_tx *tx, const char *key, int64_t revision);

/* Takes ownership of `value`; NULL deletes the row. */
void sto_tx_put(struct sto_tx *tx, const char *key, json_t *value);

/* Sends and consumes `tx`. Answers {"rev":…}, the revision of all rows put. */
void sto_commit(struct sto *s, struct sto_tx *tx, sto_done done, void *priv);

/* Answers {"k":…,"v":…,"r":…}, with "r" 0 if there is no such row. */
void sto_get(struct sto *s, const char *key, sto_done done, void *priv);

/* Answers {"rows":[{"k":…,"v":…,"r":…},…]}. */
void sto_scan(struct sto *s, const char *prefix, sto_done done, void *priv);

/* Answers {"vms":[…]}. */
void sto_list_vms(struct sto *s, sto_done done, void *priv);

/* Objects are written as a whole, and each name at most once. */
void sto_put_object(struct sto *s, const char *name, const char *text,
		    sto_done done, void *priv);
void sto_delete_object(struct sto *s, const char *name, sto_done done,
		       void *priv);
/* Answers the object, which is JSON. */
void sto_get_object(struct sto *s, const char *name, sto_done done, void *priv);

const struct sto_counts *sto_counts(const struct sto *s);

#endif
