/* Each function adds the unit tests of one source file to the GLib runner. */
#ifndef UNIT_H
#define UNIT_H

void unit_add_advice(void);
void unit_add_answers(void);
void unit_add_attempts(void);
void unit_add_coordination(void);
void unit_add_count(void);
void unit_add_log(void);
void unit_add_progress(void);
void unit_add_protocol(void);
void unit_add_restart(void);
void unit_add_shard(void);
void unit_add_stale(void);
void unit_add_job_api(void);
void unit_add_platform(void);
void unit_add_fuzz(void);
void unit_add_policy(void);
void unit_add_place(void);
void unit_add_pace(void);
void unit_add_pass(void);
void unit_add_links(void);
void unit_add_rack(void);
void unit_add_relay(void);
void unit_add_relay_msg(void);
void unit_add_admission(void);
void unit_add_sched(void);
void unit_add_handover(void);
void unit_add_recut(void);
void unit_add_lease(void);
void unit_add_shard_ctl(void);
void unit_add_shrink(void);
void unit_add_lives(void);
void unit_add_odd(void);
void unit_add_odd_list(void);
void unit_add_owner_age(void);
void unit_add_starts(void);
void unit_add_state(void);
void unit_add_upkeep(void);
void unit_add_wait(void);
void unit_add_reserve(void);
void unit_add_suspect(void);
void unit_add_crash(void);
void unit_add_crash_count(void);
void unit_add_crash_apart(void);

#endif
