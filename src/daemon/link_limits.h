/* Limits of the links that gd-entry and gd-sched accept from other processes.
 */
#ifndef LINK_LIMITS_H
#define LINK_LIMITS_H

#include "protocol/settings.h"
#include "transport/lnk.h"

void link_limits_set(struct lnk_srv *s, const struct settings *set);

#endif
