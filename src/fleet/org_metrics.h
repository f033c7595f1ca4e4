/* Metrics by organisation, whose name is the label `org`. */
#ifndef ORG_METRICS_H
#define ORG_METRICS_H

#include "coordination/sched.h"

/* Counts a refused submission in a table of organisation to int64_t, which owns
 * both (g_free()). */
void org_metrics_count_refusal(GHashTable *refusals, const char *org);

/* Append to `text`, a talloc string, and return it. */
char *org_metrics_add_refusals(char *text, GHashTable *refusals);
/* What the owner of a shard knows of the organisations. */
char *org_metrics_add_sched(char *text, const struct sched *s);
/* Their caps, and what is counted against them. */
char *org_metrics_add_caps(char *text, const struct sched *s);

#endif
