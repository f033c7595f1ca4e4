/* Runs all unit tests. They use no other processes, no real clock and no
 * network. */
#include <glib.h>
#include <string.h>

#include "base/log.h"
#include "tests/unit.h"

#define LOG_LEVEL_ERRORS 3

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* Hides the decision log, which is longer than the test results. */
	log_set_level(LOG_LEVEL_ERRORS);
	unit_add_access();
	unit_add_advice();
	unit_add_answers();
	unit_add_attempts();
	unit_add_body_budget();
	unit_add_coordination();
	unit_add_copies();
	unit_add_count();
	unit_add_log();
	unit_add_progress();
	unit_add_rounds();
	unit_add_protocol();
	unit_add_shard();
	unit_add_job_api();
	unit_add_job_memory();
	unit_add_platform();
	unit_add_fuzz();
	unit_add_policy();
	unit_add_pace();
	unit_add_pass();
	unit_add_links();
	unit_add_rack();
	unit_add_relay();
	unit_add_relay_list();
	unit_add_relay_msg();
	unit_add_relay_reports();
	unit_add_admission();
	unit_add_place();
	unit_add_sched();
	unit_add_handover();
	unit_add_recut();
	unit_add_stronger();
	unit_add_row_watch();
	unit_add_lease();
	unit_add_shard_ctl();
	unit_add_read_ahead();
	unit_add_rolling();
	unit_add_shrink();
	unit_add_lives();
	unit_add_stale();
	unit_add_starts();
	unit_add_start_window();
	unit_add_state();
	unit_add_odd();
	unit_add_odd_list();
	unit_add_owner_age();
	unit_add_restart();
	unit_add_upkeep();
	unit_add_wait();
	unit_add_wait_value();
	unit_add_reserve();
	unit_add_suspect();
	unit_add_crash();
	unit_add_crash_count();
	unit_add_crash_apart();
	unit_add_caps();
	unit_add_caps_ctl();
	unit_add_caps_play();
	unit_add_org_rate();
	unit_add_org_share();
	return g_test_run();
}
