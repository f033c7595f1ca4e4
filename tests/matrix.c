/*
 * gd-matrix: runs the cells of the fault matrix, each a promise of the system
 * under one fault at one step, in a child process with a cluster of its own.
 * Results come from the logs of the load generator, targets and workers.
 *
 * usage: gd-matrix [--ci | PART-OF-NAME]
 */
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/cell.h"

struct cell {
	int promise;
	const char *fault;
	const char *step;
	int seed;
	bool in_ci; /* run on every change */
	void (*run)(struct cell_run *c);
};

static const struct cell cells[] = {
	{ 7, "freeze", "dispatch", 1, true, p7_paused_entry },
	{ 7, "freeze", "claim", 2, false, p7_paused_in_claim },
	{ 7, "lost-answer", "claim", 3, false, p7_lost_claims },
	{ 7, "kill-sched", "claim", 4, false, p7_kill_sched },
	{ 7, "cut", "dispatch", 5, true, p7_cut_targets },
	{ 6, "overload", "bind", 6, false, p6_overload },
	{ 6, "kill-entry", "dispatch", 7, true, p6_kill_entry },
	{ 6, "cut-peers", "forward", 8, false, p6_cut_peers },
	{ 6, "store-down", "claim", 9, false, p6_store_down },
	{ 6, "region-cut", "forward", 32, false, p6_region_partition },
	{ 2, "freeze-sched", "run", 10, false, p2_paused_sched },
	{ 2, "split-owner", "renew", 11, false, p2_partitioned_owner },
	{ 2, "pause-worker", "run", 12, true, p2_paused_workers },
	{ 2, "store-outage", "run", 13, true, p2_store_outage },
	{ 1, "kill-owner", "run", 14, true, p1_kill_owner },
	{ 1, "kill-two", "run", 31, true, p1_kill_two },
	{ 1, "handover", "place", 15, false, p1_sched_handover },
	{ 1, "cut-targets", "run", 30, true, p1_cut_targets },
	{ 4, "freeze", "start", 16, false, p4_paused_processes },
	{ 4, "cut-store", "start", 17, true, p4_cut_store },
	{ 4, "cut-peers", "start", 18, false, p4_cut_peers },
	{ 4, "cut-both", "start", 19, false, p4_cut_all },
	{ 10, "store-down", "fresh-vm", 20, false, p10_new_vm },
	{ 10, "freeze", "thaw", 21, true, p10_resumed_member },
	{ 10, "race", "accept", 22, true, p10_concurrent_amends },
	{ 10, "lost-answer", "accept", 23, true, p10_lost_commit },
	{ 3, "kill-sched", "evict", 24, false, p3_kill_in_eviction },
	{ 3, "lost-answer", "evict", 25, true, p3_lost_answers },
	{ 5, "silent", "answer", 26, true, p5_silent_connections },
	{ 5, "crossed", "answer", 27, true, p5_swapped_response },
	{ 9, "rolling-stop", "all", 28, true, p9_rolling },
	{ 8, "late-list", "leave", 29, true, p8_target_leaves },
};

/* Returns whether a line of the list of known failures begins with `name`. */
static bool is_known_red(const char *name)
{
	const char *list = g_getenv("KNOWN_RED");
	gchar *text = NULL;
	gchar **lines;
	bool found = false;

	if (!g_file_get_contents(list ? list : "KNOWN-RED.txt", &text, NULL,
				 NULL))
		return false;
	lines = g_strsplit(text, "\n", -1);
	for (int i = 0; lines[i] && !found; i++) {
		size_t len = strcspn(lines[i], " ,:;");

		found = len == strlen(name) && !strncmp(lines[i], name, len);
	}
	g_strfreev(lines);
	g_free(text);
	return found;
}

static bool print_if_known_red(const char *name, const char *result)
{
	if (!is_known_red(name))
		return false;
	printf("known red: %s %s\n", name, result);
	return true;
}

/* Runs in a child process, so that a cell that crashes ends only itself. */
static int run_cell(const struct cell *cell, const char *name)
{
	struct cell_run c = { .seed = cell->seed };
	int64_t begin_ms = hx_now_ms();

	cell->run(&c);
	if (!c.failed && !c.fault_effective)
		cell_fail(&c, "the fault had no effect");
	c.x->keep_logs = c.failed;
	hx_stop(c.x);
	printf("%-34s seed %-3d %5.1f s  %s%s%s\n", name, cell->seed,
	       (double)(hx_now_ms() - begin_ms) / 1000,
	       c.failed ? "FAIL" : "pass", c.failed ? ": " : "", c.verdict);
	fflush(stdout);
	return c.failed;
}

static bool is_selected(const struct cell *cell, const char *name, int argc,
			char **argv)
{
	if (argc < 2)
		return true;
	if (!strcmp(argv[1], "--ci"))
		return cell->in_ci;
	return strstr(name, argv[1]) != NULL;
}

int main(int argc, char **argv)
{
	int n = 0;
	int failed = 0;
	int red = 0;

	setvbuf(stdout, NULL, _IOLBF, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(cells); i++) {
		char name[64];
		int status = 0;
		pid_t pid;

		snprintf(name, sizeof(name), "%d/%s/%s", cells[i].promise,
			 cells[i].fault, cells[i].step);
		if (!is_selected(&cells[i], name, argc, argv))
			continue;
		n++;
		fflush(stdout);
		pid = fork();
		if (!pid)
			_exit(run_cell(&cells[i], name));
		waitpid(pid, &status, 0);
		if (WIFEXITED(status) && WEXITSTATUS(status) == 0) {
			print_if_known_red(name, "passed this time");
			continue;
		}
		if (WIFSIGNALED(status))
			printf("%-34s seed %-3d ended by signal %d\n", name,
			       cells[i].seed, WTERMSIG(status));
		if (print_if_known_red(name, "failed"))
			red++;
		else
			failed++;
	}
	printf("matrix: %d cells, %d failed, %d known red\n", n, failed, red);
	return failed != 0 || n == 0;
}
