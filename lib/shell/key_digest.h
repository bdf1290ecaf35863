/* key_digest: API keys as they are stored. The configuration and the state machines hold a key's digest,
 * never the key itself. */
#ifndef NL_KEY_DIGEST_H
#define NL_KEY_DIGEST_H

enum { KEY_DIGEST_BYTES = 65 }; /* of its text: SHA-256 in hexadecimal, and a zero */

/* Write the digest of a key to hex, which is returned. */
char *digest_hex(const char *key, char hex[KEY_DIGEST_BYTES]);

#endif
