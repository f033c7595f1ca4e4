/* Reads the daemons' settings files; each daemon has a table of fields. */
#include "protocol/settings.h"

#include <arpa/inet.h>
#include <stddef.h>
#include <string.h>

#include "protocol/fld.h"

#define MINUTE_MS 60000
/* Bodies of 1 MiB are accepted from so much on. */
#define MEMORY_MIN_MIB 64
#define HOUR_MS (60 * MINUTE_MS)

#define AT(f) offsetof(struct settings, f)
#define STR_FIELD(f)                                                           \
	{                                                                      \
#f, FLD_STR, AT(f), sizeof(((struct settings *)0)->f), true,   \
			1, 0, 0, 0, 0, 0                                       \
	}
#define PORT_FIELD(f)                                                          \
	{                                                                      \
#f, FLD_INT, AT(f), 0, true, 1, 65535, 1, 0, 0, 0              \
	}
#define INT_FIELD(f, min, max, dflt)                                           \
	{                                                                      \
#f, FLD_INT, AT(f), 0, false, min, max, 1, dflt, 0, 0          \
	}
#define END_OF_FIELDS                                                          \
	{                                                                      \
		0, FLD_INT, 0, 0, 0, 0, 0, 0, 0, 0, 0                          \
	}

#define COMMON_FIELDS                                                          \
	STR_FIELD(id), STR_FIELD(ip), STR_FIELD(domain), STR_FIELD(region),    \
		STR_FIELD(platform_url), PORT_FIELD(http_port),                \
		PORT_FIELD(peer_port),                                         \
		INT_FIELD(store_timeout_ms, 50, MINUTE_MS, 1500),              \
		INT_FIELD(poll_ms, 20, MINUTE_MS, 500),                        \
		INT_FIELD(shards, 1, 256, 1),                                  \
		INT_FIELD(memory_mib, 0, 1000000, 0),                          \
		INT_FIELD(links_max, 16, 10000, 256),                          \
		INT_FIELD(links_mib, 8, 100000, 32),                           \
		INT_FIELD(log_priority, 0, 7, 6),                              \
		INT_FIELD(advertised_port, 0, 65535, 0)

static const char *const group_choices[] = { "two-choices", "random", NULL };

static const struct fld_spec entry_fields[] = {
	COMMON_FIELDS,
	INT_FIELD(door_threads, 1, 16, 2),
	INT_FIELD(connections_max, 16, 100000, 2048),
	INT_FIELD(bodies_mib, 4, 100000, 64),
	INT_FIELD(groups_per_domain, 1, 64, 3),
	INT_FIELD(permit_ms, 200, MINUTE_MS, 2000),
	INT_FIELD(peers_only_max_ms, 1000, HOUR_MS, 10 * MINUTE_MS),
	INT_FIELD(heartbeat_ms, 20, 10000, 250),
	INT_FIELD(silence_ms, 100, MINUTE_MS, 1500),
	INT_FIELD(expel_ms, 500, 10 * MINUTE_MS, 3000),
	INT_FIELD(queue_max, 1, 100000, 2000),
	INT_FIELD(retry_percent, 0, 100, 20),
	{ "group_choice", FLD_ENUM, AT(group_choice), 0, false, 0, 0, 0, 0,
	  group_choices, 0 },
	END_OF_FIELDS
};

static const struct fld_spec sched_fields[] = {
	COMMON_FIELDS,
	INT_FIELD(lease_ms, 300, MINUTE_MS, 3000),
	INT_FIELD(worker_lease_ms, 500, 10 * MINUTE_MS, 10000),
	INT_FIELD(worker_sync_ms, 50, MINUTE_MS, 500),
	INT_FIELD(renew_max_ms, 1000, 24 * HOUR_MS, 10 * MINUTE_MS),
	INT_FIELD(start_age_max_ms, 100, MINUTE_MS, 2000),
	INT_FIELD(commit_ms, 1, 5000, 20),
	INT_FIELD(snapshot_batches, 8, 900, 400),
	INT_FIELD(claim_retention_s, 10, 7 * 24 * 3600, 3600),
	INT_FIELD(shards_held_max, 1, 256, 256),
	END_OF_FIELDS
};

static const struct fld_spec *const fields_of_kind[] = { entry_fields,
							 sched_fields };

/* Checks what the table can't: formats, and limits between two settings. */
static void check_combinations(const struct settings *s,
			       enum settings_kind kind, struct fld_errors *errs)
{
	struct in_addr a;

	if (inet_pton(AF_INET, s->ip, &a) != 1)
		fld_add_error(errs, "ip is \"%s\": give an IPv4 address",
			      s->ip);
	if (strncmp(s->platform_url, "http://", 7) != 0)
		fld_add_error(errs,
			      "platform_url is \"%s\": give http://IP:PORT",
			      s->platform_url);
	if (s->memory_mib && s->memory_mib < MEMORY_MIN_MIB)
		fld_add_error(errs,
			      "memory_mib is less than %d: raise it, or give 0 "
			      "for half of the machine's memory",
			      MEMORY_MIN_MIB);
	if (kind == SETTINGS_ENTRY && s->heartbeat_ms * 3 > s->permit_ms)
		fld_add_error(errs,
			      "heartbeat_ms is more than a third of permit_ms: "
			      "lower it or raise permit_ms");
	if (kind == SETTINGS_SCHED && s->poll_ms * 2 > s->lease_ms)
		fld_add_error(
			errs,
			"poll_ms is more than half of lease_ms: lower it or "
			"raise lease_ms");
	if (kind == SETTINGS_SCHED &&
	    s->worker_sync_ms * 3 > s->worker_lease_ms)
		fld_add_error(errs, "worker_sync_ms is more than a third of "
				    "worker_lease_ms: lower it");
}

int64_t settings_advertised_port(const struct settings *s)
{
	return s->advertised_port ? s->advertised_port : s->peer_port;
}

bool settings_load(const char *path, enum settings_kind kind,
		   struct settings *out, struct err *e)
{
	struct fld_errors errs = { 0 };
	json_error_t je;
	json_t *j = json_load_file(path, JSON_REJECT_DUPLICATES, &je);

	memset(out, 0, sizeof(*out));
	if (!j)
		return err_set(e, ERR_SETTING,
			       "%s line %d: %s: correct the file", path,
			       je.line, je.text);
	if (fld_read(j, fields_of_kind[kind], out, &errs))
		check_combinations(out, kind, &errs);
	json_decref(j);
	return fld_to_err(&errs, ERR_SETTING, e);
}
