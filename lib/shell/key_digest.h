/* key_digest: digests of API keys. The configuration and the state machines store the digest of an API key,
 * never the key itself. */
#ifndef NL_KEY_DIGEST_H
#define NL_KEY_DIGEST_H

enum { KEY_DIGEST_BYTES = 65 }; /* SHA-256 in hexadecimal and a terminating zero */

/* Write the digest of an API key to hex, and return hex. */
char *key_digest_hex(const char *key, char hex[KEY_DIGEST_BYTES]);

#endif
