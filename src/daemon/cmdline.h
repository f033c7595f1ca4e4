/* Command line shared by the entry and scheduler daemons. */
#ifndef CMDLINE_H
#define CMDLINE_H

#include "protocol/settings.h"

/* Exit codes besides 0 and 1. */
#define CMDLINE_EXIT_USAGE 64
#define CMDLINE_EXIT_SETTINGS 78

/* Per-daemon parameters; the strings must be static. */
struct cmdline {
	const char *program;
	const char *doc;
	enum settings_kind kind;
};

/*
 * Parses the arguments, initialises the log and loads the settings file. Exits
 * the process on a usage error, --help, --version, --check or bad settings.
 */
void cmdline_read(const struct cmdline *c, int argc, char **argv,
		  struct settings *out);

#endif
