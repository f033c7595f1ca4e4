/*
 * Organisations: those who submit jobs and share the workers. Everything that
 * depends on them alone is in this folder: keys, caps, shares and rates. Its
 * modules are given facts and asked questions; they call nothing above them.
 */
#ifndef ORG_H
#define ORG_H

#include "protocol/jobspec.h"
#include "protocol/resources.h"

#define ORG_NAME_MAX JOBSPEC_NAME_MAX

/* An organisation of the operators' configuration. */
struct org {
	char name[ORG_NAME_MAX];
	/* Its share of the workers relative to the others' weights, and the
	 * number of jobs that it may submit in a second. */
	int64_t weight;
	struct place_resources cap; /* on all that it runs; 0: no limit */
};

#endif
