/* Calls to the scheduler daemons, each routed to its shard's owner. */
#ifndef SCHEDC_H
#define SCHEDC_H

#include "entry/entry.h"

/* `status` is an HTTP status; 503 means no effect, 504 unknown. */
typedef void (*schedc_reply_cb)(int64_t status, const char *text, void *priv);

struct schedc *schedc_start(struct entry *e);

/*
 * Calls `verb` at the owner of the shard of `key`; tries again while that
 * is unreachable, up to the deadline. Verbs are idempotent by their text.
 */
void schedc_call(struct schedc *s, const char *verb, const char *key,
		 const char *text, int64_t deadline_ms,
		 schedc_reply_cb reply_cb, void *priv);

/* Same for one shard by number. */
void schedc_call_shard(struct schedc *s, int shard, const char *verb,
		       const char *text, int64_t deadline_ms,
		       schedc_reply_cb reply_cb, void *priv);

#endif
