/* Metrics of the organisations: one line for each, with its name as label. */
#ifndef ORG_METRICS_H
#define ORG_METRICS_H

#include "fleet/fleet.h"

/* Appends lines to `text`, a talloc string, and returns it; it may move. */
char *org_metrics_add_caps(char *text, const struct sched *s);

#endif
