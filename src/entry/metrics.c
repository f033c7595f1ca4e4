/* Metrics of the entry daemon in the Prometheus text format. */
#include "entry/metrics.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

struct metric {
	const char *name;
	const char *type;
	size_t offset;
};

#define METRIC(name, type, f)                                                  \
	{                                                                      \
		name, type, offsetof(struct entry_stats, f)                    \
	}

static const struct metric metrics[] = {
	METRIC("gd_retries_total", "counter", retries),
	METRIC("gd_forwarded_total", "counter", forwarded),
	METRIC("gd_forwarded_bytes_total", "counter", forwarded_bytes),
	METRIC("gd_dispatched_total", "counter", dispatched),
	METRIC("gd_peer_messages_total", "counter", peer_messages),
	METRIC("gd_peer_bytes_total", "counter", peer_bytes),
	METRIC("gd_store_reads_total", "counter", store_reads),
	METRIC("gd_store_write_rows_total", "counter", store_writes),
	METRIC("gd_config_revision", "gauge", revision),
	METRIC("gd_permit_held", "gauge", permit),
	METRIC("gd_groups_owned", "gauge", groups_owned),
	METRIC("gd_links_refused_total", "counter", links_refused),
};

static const double quantiles[] = { 0.5, 0.95, 0.99, 0.999 };

static void print_service(FILE *f, struct service_stats *c)
{
	for (int i = 0; i < 3; i++)
		fprintf(f,
			"gd_requests_total{service=\"%s\",outcome=\"%s\"} "
			"%" PRId64 "\n",
			c->name, msg_outcome_name(i),
			atomic_load(&c->outcomes[i]));
	fprintf(f, "gd_requests_refused_total{service=\"%s\"} %" PRId64 "\n",
		c->name, atomic_load(&c->refused));
	for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		fprintf(f,
			"gd_latency_us{service=\"%s\",quantile=\"%g\"} "
			"%" PRId64 "\n",
			c->name, quantiles[i],
			hist_quantile_us(&c->latency, quantiles[i]));
	fprintf(f, "gd_latency_us_sum{service=\"%s\"} %" PRIu64 "\n", c->name,
		atomic_load(&c->latency.sum_us));
	fprintf(f, "gd_latency_us_count{service=\"%s\"} %" PRIu64 "\n", c->name,
		atomic_load(&c->latency.count));
}

char *metrics_text(struct entry *e, size_t *len)
{
	char *text = NULL;
	FILE *f = open_memstream(&text, len);
	int n = atomic_load(&e->stats.n_services);

	for (size_t i = 0; i < sizeof(metrics) / sizeof(metrics[0]); i++) {
		_Atomic int64_t *v =
			(void *)((char *)&e->stats + metrics[i].offset);

		fprintf(f, "# TYPE %s %s\n%s %" PRId64 "\n", metrics[i].name,
			metrics[i].type, metrics[i].name, atomic_load(v));
	}
	for (int i = 0; i < n; i++)
		print_service(f, &e->stats.services[i]);
	fclose(f);
	return text;
}
