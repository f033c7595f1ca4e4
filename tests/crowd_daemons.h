/* Crowds of clients against gd-entry and gd-sched; part of crowd-tests. */
#ifndef CROWD_DAEMONS_H
#define CROWD_DAEMONS_H

void crowd_daemons_add(void);

#endif
