/*
 * Commits one configuration change to the store. An operation id makes a retry
 * after a lost answer idempotent. Used by gd-entry.
 */
#ifndef CONFIG_CHANGE_H
#define CONFIG_CHANGE_H

#include <jansson.h>
#include <stdint.h>
#include <tevent.h>

#include "state/sto.h"

#define CONFIG_CHANGE_ID_MAX 96
#define CONFIG_CHANGE_KEY_MAX 160

enum config_change_result {
	CONFIG_CHANGE_DONE, /* committed as `revision` */
	CONFIG_CHANGE_CONFLICT, /* the row doesn't meet the expectation */
	CONFIG_CHANGE_NO_EFFECT, /* proved to have had no effect */
	CONFIG_CHANGE_UNKNOWN, /* retry with the same operation id */
};

/* Condition on the row, without which the change isn't made. */
enum config_change_expect {
	CONFIG_CHANGE_ANY, /* if `value` is NULL the row must exist */
	CONFIG_CHANGE_ABSENT,
	CONFIG_CHANGE_AT_REVISION, /* last changed at `expected` */
};

struct config_change {
	char operation[CONFIG_CHANGE_ID_MAX]; /* id; retries reuse it */
	char key[CONFIG_CHANGE_KEY_MAX];
	json_t *value; /* owned; NULL removes the row */
	enum config_change_expect expect;
	int64_t expected; /* configuration revision */
};

typedef void (*config_change_done)(enum config_change_result res,
				   int64_t revision, void *priv);

/* Takes ownership of `c->value`. Calls `done` exactly once. */
void config_change_commit(void *ctx, struct tevent_context *ev, struct sto *sto,
			  const struct config_change *c,
			  config_change_done done, void *priv);

#endif
