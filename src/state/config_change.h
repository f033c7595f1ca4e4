/* Commits one configuration change, once, whatever becomes of the answer. */
#ifndef CONFIG_CHANGE_H
#define CONFIG_CHANGE_H

#include <jansson.h>
#include <stdint.h>
#include <tevent.h>

#include "state/sto.h"

#define CONFIG_CHANGE_ID_MAX 96
#define CONFIG_CHANGE_KEY_MAX 160

enum config_change_result {
	CONFIG_CHANGE_DONE, /* in the store at `revision` */
	CONFIG_CHANGE_CONFLICT, /* the row was not as expected */
	CONFIG_CHANGE_NO_EFFECT, /* no effect */
	CONFIG_CHANGE_UNKNOWN, /* ask again with the same operation id */
};

/* What the row must be for the change to be made. */
enum config_change_expect {
	CONFIG_CHANGE_ANY,
	CONFIG_CHANGE_ABSENT,
	CONFIG_CHANGE_AT_REVISION, /* at `expected` */
};

struct config_change {
	char operation[CONFIG_CHANGE_ID_MAX]; /* a repeat has one effect */
	char key[CONFIG_CHANGE_KEY_MAX];
	json_t *value; /* owned; NULL removes the row */
	enum config_change_expect expect;
	int64_t expected; /* configuration revision of the row */
};

typedef void (*config_change_done)(enum config_change_result res,
				   int64_t revision, void *priv);

/* Takes over `c->value`. `done` is called exactly once. */
void config_change_commit(void *ctx, struct tevent_context *ev, struct sto *sto,
			  const struct config_change *c,
			  config_change_done done, void *priv);

#endif
