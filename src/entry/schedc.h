/*
 * Scheduler client: sends calls to the scheduler daemons, each to the owner of
 * its shard, and retries them while the owner is unreachable or changes.
 */
#ifndef SCHEDC_H
#define SCHEDC_H

#include "entry/entry.h"

/*
 * Called once with the reply. `status` is an HTTP status: 503 if the call
 * surely had no effect, 504 if that is not known. `text` is JSON.
 */
typedef void (*schedc_reply_cb)(int64_t status, const char *text, void *priv);

/* Returns a talloc child of the event context of `e`. */
struct schedc *schedc_start(struct entry *e);

/*
 * Calls `verb` at the owner of the shard of `key`. Retries until the deadline,
 * which is safe since a repeated call with the same text has one effect.
 */
void schedc_call(struct schedc *s, const char *verb, const char *key,
		 const char *text, int64_t deadline_ms,
		 schedc_reply_cb reply_cb, void *priv);

/* Like schedc_call, for the shard with that number. */
void schedc_call_shard(struct schedc *s, int shard, const char *verb,
		       const char *text, int64_t deadline_ms,
		       schedc_reply_cb reply_cb, void *priv);

#endif
