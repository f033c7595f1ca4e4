/*
 * The configuration at one revision, combined with the targets in the
 * platform's VM list. Entry members and schedulers build one for each revision
 * or new list.
 */
#ifndef VIEW_H
#define VIEW_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/rec.h"

#define VIEW_ID_MAX REC_NAME_MAX
#define VIEW_IP_MAX 40
#define VIEW_KEY_MAX 160

/* An entry daemon in the configuration. */
struct view_member {
	char id[VIEW_ID_MAX];
	char ip[VIEW_IP_MAX];
	uint16_t peer_port;
	char domain[VIEW_ID_MAX];
	char region[VIEW_ID_MAX];
	uint64_t incarnation;
	int64_t revision; /* the one that wrote this row */
	bool ready; /* may own groups; false while it joins or leaves */
	bool leaving; /* exits once its last request has ended */
};

/* A VM in the platform's list, for example a target or a worker. */
struct view_vm {
	char id[VIEW_ID_MAX];
	char ip[VIEW_IP_MAX];
	uint16_t port;
	char kind[16];
	char pool[REC_NAME_MAX];
	char domain[VIEW_ID_MAX];
	char region[VIEW_ID_MAX];
	char rack[VIEW_ID_MAX];
	int64_t slots;
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t accelerators;
	bool leaving;
};

/* Targets of one pool in one domain that share an owner and a queue. */
struct view_group {
	char key[VIEW_KEY_MAX]; /* pool/domain/index */
	char pool[REC_NAME_MAX];
	char domain[VIEW_ID_MAX];
	char region[VIEW_ID_MAX];
	int owner; /* index into members; -1: there are no members */
	bool domain_out;
	const struct view_vm **targets;
	int n_targets;
	int64_t slots;
};

/* Immutable once built; a talloc tree that belongs to the building thread. */
struct view {
	int64_t revision;
	struct view_member *members;
	int n_members;
	struct rec *services;
	int n_services;
	struct rec *teams;
	int n_teams;
	char (*out_domains)[VIEW_ID_MAX];
	int n_out_domains;
	struct view_vm *vms;
	int n_vms;
	struct view_group *groups;
	int n_groups;
};

/*
 * Builds a view from configuration rows (an object of key to value) and the VM
 * list. The owner of a group depends on the rows only, so members with a stale
 * VM list agree on it.
 */
struct view *view_build(void *ctx, const json_t *rows, int64_t revision,
			const json_t *vms, int groups_per_domain);

/* Return NULL, or -1, if there is none of that name. */
const struct rec *view_find_service(const struct view *v, const char *name);
const struct view_group *view_find_group(const struct view *v, const char *key);
const struct rec *view_find_team(const struct view *v, const char *name);
int view_find_member(const struct view *v, const char *id);
/* Returns whether operators have taken the failure domain out of service. */
bool view_is_domain_out(const struct view *v, const char *domain);

/* Returns the shard that a worker or a key belongs to. */
int view_shard_of(const char *key, int shards);

/*
 * Returns the index of the member that owns a group, by rendezvous hashing
 * among the best candidates: ready members first, then those in the same
 * domain, then those in the same region. -1 if `n` is 0.
 */
int view_choose_owner(const struct view_member *members, int n, const char *key,
		      const char *domain, const char *region);

#endif
