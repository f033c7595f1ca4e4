/*
 * The keys of organisations: finds the organisation that a caller's key belongs
 * to. Keys are kept as SHA-256 digests only, so that no dump of the memory
 * shows those of the configuration.
 */
#ifndef ORG_KEYS_H
#define ORG_KEYS_H

#include <stddef.h>
#include <stdint.h>

#include "org/org.h"

#define ORG_KEY_BYTES 32

/* Digest of a key. */
struct org_key {
	uint8_t digest[ORG_KEY_BYTES];
};

struct org_keys;

/* `text` is any sequence of bytes and need not end with a NUL. */
void org_key_init(struct org_key *key, const char *text, size_t len);

/* Returns an empty set, a talloc child of `ctx`. */
struct org_keys *org_keys_new(void *ctx);

/* Adds a key of `org`, which is borrowed for as long as the set exists. Returns
 * the organisation that has the key: another one if that was added before. */
const struct org *org_keys_add(struct org_keys *ks, const struct org_key *key,
			       const struct org *org);

/* Returns the organisation that has the key, or NULL. The time that it takes
 * does not depend on how much of a digest matches. `ks` may be NULL. */
const struct org *org_keys_find(const struct org_keys *ks,
				const struct org_key *key);

#endif
