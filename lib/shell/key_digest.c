/* key_digest: see key_digest.h. */
#include "key_digest.h"

#include <nettle/sha2.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

char *key_digest_hex(const char *key, char hex[KEY_DIGEST_BYTES])
{
	uint8_t digest[SHA256_DIGEST_SIZE];
	struct sha256_ctx context;

	sha256_init(&context);
	sha256_update(&context, strlen(key), (const uint8_t *)key);
	sha256_digest(&context, sizeof digest, digest);
	for (size_t i = 0; i < sizeof digest; i++)
		snprintf(hex + 2 * i, 3, "%02x", digest[i]);
	return hex;
}
