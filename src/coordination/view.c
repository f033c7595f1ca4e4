/* Building and look-ups of the configuration at one revision. */
#include "coordination/view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#define PREFIX_MEMBER "cfg/member/"
#define PREFIX_SERVICE "cfg/service/"
#define PREFIX_DOMAIN "cfg/domain/"
#define PREFIX_TEAM "cfg/team/"
/* Slots of a target whose row in the VM list gives no number. */
#define TARGET_SLOTS 8

static bool starts_with(const char *s, const char *prefix)
{
	return !strncmp(s, prefix, strlen(prefix));
}

static void copy_str(char *to, size_t size, const json_t *obj, const char *key)
{
	const char *s = json_string_value(json_object_get(obj, key));

	snprintf(to, size, "%s", s ? s : "");
}

static int64_t get_int(const json_t *obj, const char *key)
{
	return json_integer_value(json_object_get(obj, key));
}

static void add_member(struct view *v, const json_t *row)
{
	struct view_member *m;

	v->members = talloc_realloc(v, v->members, struct view_member,
				    v->n_members + 1);
	m = &v->members[v->n_members++];
	memset(m, 0, sizeof(*m));
	copy_str(m->id, sizeof(m->id), row, "id");
	copy_str(m->ip, sizeof(m->ip), row, "ip");
	copy_str(m->domain, sizeof(m->domain), row, "domain");
	copy_str(m->region, sizeof(m->region), row, "region");
	m->peer_port = (uint16_t)get_int(row, "peer_port");
	m->incarnation = (uint64_t)get_int(row, "incarnation");
	m->revision = get_int(row, "rev");
	m->ready = json_is_true(json_object_get(row, "ready"));
	m->leaving = json_is_true(json_object_get(row, "leaving"));
}

static void add_rec(struct view *v, struct rec **list, int *n,
		    const json_t *row)
{
	struct rec r;

	if (!rec_parse(json_object_get(row, "rec"), &r, NULL))
		return;
	*list = talloc_realloc(v, *list, struct rec, *n + 1);
	(*list)[(*n)++] = r;
}

static void add_domain(struct view *v, const json_t *row)
{
	struct rec r;

	if (!rec_parse(json_object_get(row, "rec"), &r, NULL) ||
	    r.domain_state != REC_DOMAIN_OUT)
		return;
	v->out_domains = talloc_realloc_size(v, v->out_domains,
					     sizeof(*v->out_domains) *
						     (v->n_out_domains + 1));
	snprintf(v->out_domains[v->n_out_domains++], VIEW_ID_MAX, "%s", r.name);
}

static void add_row(struct view *v, const char *key, const json_t *row)
{
	if (starts_with(key, PREFIX_MEMBER))
		add_member(v, row);
	else if (starts_with(key, PREFIX_SERVICE))
		add_rec(v, &v->services, &v->n_services, row);
	else if (starts_with(key, PREFIX_TEAM))
		add_rec(v, &v->teams, &v->n_teams, row);
	else if (starts_with(key, PREFIX_DOMAIN))
		add_domain(v, row);
}

static void read_vm(struct view_vm *vm, const json_t *row)
{
	memset(vm, 0, sizeof(*vm));
	copy_str(vm->id, sizeof(vm->id), row, "id");
	copy_str(vm->ip, sizeof(vm->ip), row, "ip");
	copy_str(vm->kind, sizeof(vm->kind), row, "kind");
	copy_str(vm->pool, sizeof(vm->pool), row, "pool");
	copy_str(vm->domain, sizeof(vm->domain), row, "domain");
	copy_str(vm->region, sizeof(vm->region), row, "region");
	copy_str(vm->rack, sizeof(vm->rack), row, "rack");
	vm->port = (uint16_t)get_int(row, "port");
	vm->slots = get_int(row, "slots");
	if (vm->slots <= 0)
		vm->slots = TARGET_SLOTS;
	vm->cpu_milli = get_int(row, "cpu_milli");
	vm->mem_mib = get_int(row, "mem_mib");
	vm->accelerators = get_int(row, "accelerators");
	vm->leaving = json_is_true(json_object_get(row, "leaving"));
}

static uint64_t hash_pair(const char *a, const char *b)
{
	return XXH64(a, strlen(a), XXH64(b, strlen(b), 0));
}

int view_shard_of(const char *key, int shards)
{
	return (int)(XXH64(key, strlen(key), 0) % (uint64_t)shards);
}

/* Prefers ready members to others, then the same domain, then the region. */
static int proximity(const struct view_member *m, const char *domain,
		     const char *region)
{
	int score = m->ready ? 4 : 0;

	if (!strcmp(m->domain, domain))
		score += 2;
	else if (!strcmp(m->region, region))
		score += 1;
	return score;
}

int view_choose_owner(const struct view_member *members, int n, const char *key,
		      const char *domain, const char *region)
{
	int best = -1;
	int best_score = -1;
	uint64_t best_hash = 0;

	for (int i = 0; i < n; i++) {
		int score = proximity(&members[i], domain, region);
		uint64_t h = hash_pair(members[i].id, key);

		if (score < best_score ||
		    (score == best_score && h <= best_hash))
			continue;
		best = i;
		best_score = score;
		best_hash = h;
	}
	return best;
}

static struct view_group *find_group(struct view *v, const char *key)
{
	for (int i = 0; i < v->n_groups; i++) {
		if (!strcmp(v->groups[i].key, key))
			return &v->groups[i];
	}
	return NULL;
}

static struct view_group *add_group(struct view *v, const char *key,
				    const struct view_vm *vm)
{
	struct view_group *g;

	v->groups = talloc_realloc(v, v->groups, struct view_group,
				   v->n_groups + 1);
	g = &v->groups[v->n_groups++];
	memset(g, 0, sizeof(*g));
	snprintf(g->key, sizeof(g->key), "%s", key);
	snprintf(g->pool, sizeof(g->pool), "%s", vm->pool);
	snprintf(g->domain, sizeof(g->domain), "%s", vm->domain);
	snprintf(g->region, sizeof(g->region), "%s", vm->region);
	g->domain_out = view_is_domain_out(v, vm->domain);
	g->owner = view_choose_owner(v->members, v->n_members, key, vm->domain,
				     vm->region);
	return g;
}

/* Assigns the target to a group of its pool and domain by its id's hash. */
static void add_target(struct view *v, const struct view_vm *vm,
		       int groups_per_domain)
{
	char key[VIEW_KEY_MAX];
	struct view_group *g;
	uint64_t h = XXH64(vm->id, strlen(vm->id), 0);

	snprintf(key, sizeof(key), "%s/%s/%d", vm->pool, vm->domain,
		 (int)(h % (uint64_t)groups_per_domain));
	g = find_group(v, key);
	if (!g)
		g = add_group(v, key, vm);
	g->targets = talloc_realloc(v, g->targets, const struct view_vm *,
				    g->n_targets + 1);
	g->targets[g->n_targets++] = vm;
	if (!vm->leaving)
		g->slots += vm->slots;
}

static int by_member_id(const void *a, const void *b)
{
	return strcmp(((const struct view_member *)a)->id,
		      ((const struct view_member *)b)->id);
}

struct view *view_build(void *ctx, const json_t *rows, int64_t revision,
			const json_t *vms, int groups_per_domain)
{
	struct view *v = talloc_zero(ctx, struct view);
	const char *key;
	json_t *row;

	v->revision = revision;
	json_object_foreach((json_t *)rows, key, row) add_row(v, key, row);
	if (v->n_members)
		qsort(v->members, v->n_members, sizeof(*v->members),
		      by_member_id);
	v->n_vms = (int)json_array_size(vms);
	v->vms = talloc_zero_array(v, struct view_vm, v->n_vms + 1);
	for (int i = 0; i < v->n_vms; i++) {
		read_vm(&v->vms[i], json_array_get(vms, i));
		if (!strcmp(v->vms[i].kind, "target"))
			add_target(v, &v->vms[i], groups_per_domain);
	}
	return v;
}

const struct rec *view_find_service(const struct view *v, const char *name)
{
	for (int i = 0; i < v->n_services; i++) {
		if (!strcmp(v->services[i].name, name))
			return &v->services[i];
	}
	return NULL;
}

const struct rec *view_find_team(const struct view *v, const char *name)
{
	for (int i = 0; i < v->n_teams; i++) {
		if (!strcmp(v->teams[i].name, name))
			return &v->teams[i];
	}
	return NULL;
}

const struct view_group *view_find_group(const struct view *v, const char *key)
{
	return find_group((struct view *)v, key);
}

int view_find_member(const struct view *v, const char *id)
{
	for (int i = 0; i < v->n_members; i++) {
		if (!strcmp(v->members[i].id, id))
			return i;
	}
	return -1;
}

bool view_is_domain_out(const struct view *v, const char *domain)
{
	for (int i = 0; i < v->n_out_domains; i++) {
		if (!strcmp(v->out_domains[i], domain))
			return true;
	}
	return false;
}
