/* Memory that a daemon may use. */
#ifndef MEMORY_LIMIT_H
#define MEMORY_LIMIT_H

#include "protocol/settings.h"

/* Returns the setting in bytes, or half of the machine's memory: each VM runs
 * both daemons. */
int64_t memory_limit_bytes(const struct settings *s);

#endif
