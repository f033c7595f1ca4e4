/* Amounts of the resources that tasks need and workers have. */
#ifndef RESOURCES_H
#define RESOURCES_H

#include <stdint.h>

/* Resources that a task needs, a worker has, or an organisation may use. */
struct place_resources {
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t accelerators;
};

#endif
