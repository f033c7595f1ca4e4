/* The groups of unit tests. */
#ifndef UNIT_H
#define UNIT_H

void unit_add_coordination(void);
void unit_add_log(void);
void unit_add_protocol(void);
void unit_add_restart(void);
void unit_add_shard(void);
void unit_add_door(void);
void unit_add_platform(void);
void unit_add_policy(void);
void unit_add_pace(void);
void unit_add_sched(void);
void unit_add_state(void);
void unit_add_upkeep(void);

#endif
