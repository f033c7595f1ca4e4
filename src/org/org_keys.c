/* Index of the digests of keys. */
#include "org/org_keys.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

struct org_keys {
	GHashTable *orgs; /* struct org_key to const struct org */
};

/* The digest is distributed evenly, so any part of it is a hash. */
static guint hash_key(gconstpointer p)
{
	const struct org_key *key = p;
	guint hash;

	memcpy(&hash, key->digest, sizeof(hash));
	return hash;
}

/* Compares in constant time: always all bytes. */
static gboolean keys_equal(gconstpointer a, gconstpointer b)
{
	const struct org_key *x = a;
	const struct org_key *y = b;
	volatile uint8_t difference = 0;

	for (size_t i = 0; i < ORG_KEY_BYTES; i++)
		difference |= x->digest[i] ^ y->digest[i];
	return difference == 0;
}

void org_key_init(struct org_key *key, const char *text, size_t len)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize n = ORG_KEY_BYTES;

	g_checksum_update(sum, (const guchar *)text, (gssize)len);
	g_checksum_get_digest(sum, key->digest, &n);
	g_checksum_free(sum);
}

static int org_keys_destructor(struct org_keys *ks)
{
	g_hash_table_destroy(ks->orgs);
	return 0;
}

struct org_keys *org_keys_new(void *ctx)
{
	struct org_keys *ks = talloc_zero(ctx, struct org_keys);

	ks->orgs = g_hash_table_new_full(hash_key, keys_equal, g_free, NULL);
	talloc_set_destructor(ks, org_keys_destructor);
	return ks;
}

const struct org *org_keys_add(struct org_keys *ks, const struct org_key *key,
			       const struct org *org)
{
	const struct org *first = g_hash_table_lookup(ks->orgs, key);
	struct org_key *copy;

	if (first)
		return first;
	copy = g_new(struct org_key, 1);
	*copy = *key;
	g_hash_table_insert(ks->orgs, copy, (gpointer)org);
	return org;
}

const struct org *org_keys_find(const struct org_keys *ks,
				const struct org_key *key)
{
	return ks ? g_hash_table_lookup(ks->orgs, key) : NULL;
}
