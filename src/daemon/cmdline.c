/* Command line shared by the entry and scheduler daemons. */
#include "daemon/cmdline.h"

#include <argp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"

const char *argp_program_version = "godwitdrum 0.1";

static const struct argp_option options[] = {
	{ "check", 'c', 0, 0, "Check the settings file and exit", 0 }, { 0 }
};

struct args {
	const char *path;
	bool check;
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct args *a = state->input;

	switch (key) {
	case 'c':
		a->check = true;
		return 0;
	case ARGP_KEY_ARG:
		if (a->path)
			argp_usage(state);
		a->path = arg;
		return 0;
	case ARGP_KEY_END:
		if (!a->path)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

void cmdline_read(const struct cmdline *c, int argc, char **argv,
		  struct settings *out)
{
	const struct argp argp = {
		options, parse_option, "SETTINGS.json", c->doc, 0, 0, 0
	};
	struct args args = { 0 };
	struct err err = { 0 };

	argp_err_exit_status = CMDLINE_EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, 0, &args);
	log_set_program(c->program);
	if (!settings_load(args.path, c->kind, out, &err)) {
		log_event(LOG_BAD_SETTINGS, "%s", err.text);
		exit(CMDLINE_EXIT_SETTINGS);
	}
	log_set_level((int)out->log_priority);
	if (!args.check)
		return;
	printf("%s: good\n", args.path);
	exit(EXIT_SUCCESS);
}
