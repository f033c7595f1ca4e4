/* Metrics of the entry daemon in the Prometheus text format. */
#ifndef METRICS_H
#define METRICS_H

#include "entry/entry.h"

/* Returns a text that the caller frees with free(). Any thread. */
char *metrics_text(struct entry *e, size_t *len);

#endif
