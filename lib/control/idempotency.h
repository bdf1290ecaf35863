/* idempotency: the replicated log of operators' requests that took effect.
 *
 * An operator whose answer was lost sends the same request again, to any controller. The log tells a repeated
 * request from a new one: it records a key, a digest of the content and the outcome of each request that was
 * accepted lately. proposals.c and operator_documents.c look requests up; state_machine.c adds them.
 *
 * Always: it changes only as entries of the control shard's log are applied, and is part of snapshots, so
 * every replica decides alike, whoever leads. It is bounded; how far back it reaches is known, so a request
 * that may be older is answered with "unknown" rather than rejected. docs/consistency.md says why. */
#ifndef NL_IDEMPOTENCY_H
#define NL_IDEMPOTENCY_H

#include <stdbool.h>
#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

#include "notchlug.pb-c.h"

enum {
	REQUEST_DIGEST_BYTES = 32,     /* of a SHA-256 */
	IDEMPOTENCY_KEY_MAX = 128,     /* characters of an idempotency key */
	IDEMPOTENCY_MAX_RECORDS = 4096 /* accepted requests that are recorded, unless a log says otherwise */
};

/* Requests that build on a version are counted apart by what they change. */
enum request_series {
	SERIES_DOCUMENTS, /* by versions of the operators' document */
	SERIES_CHANGES,   /* by revisions of the table */
	SERIES_COUNT,
	SERIES_UNVERSIONED = SERIES_COUNT
};

/* What a request is recognised by. */
struct request_key {
	int is_set; /* 0: it has neither an idempotency key nor a base version, and takes effect each time */
	uint8_t key_digest[REQUEST_DIGEST_BYTES];     /* of its idempotency key, or else of its content */
	uint8_t content_digest[REQUEST_DIGEST_BYTES]; /* of the call, the base version and the bytes */
};

/* A request that was accepted. */
struct idempotency_record {
	struct request_key key;
	enum request_series series;
	uint64_t version; /* that it made: acknowledged again whenever the request is repeated */
};

/* Errors as operators read them. */
#define IDEMPOTENCY_KEY_INVALID "Idempotency-Key: 1 to 128 visible ASCII characters"
#define IDEMPOTENCY_KEY_REUSED "Idempotency-Key: used before for another order"
#define IDEMPOTENCY_OUTCOME_UNKNOWN \
	"outcome unknown: older than the record of orders reaches; read what is in force"

/* Part of the control shard's state. */
struct idempotency_log {
	struct idempotency_record *records;        /* stb_ds: a ring once it is full; owned */
	size_t oldest;                             /* index where the ring begins */
	size_t capacity;                           /* alike on all replicas; 0: IDEMPOTENCY_MAX_RECORDS */
	uint64_t forgotten_versions[SERIES_COUNT]; /* the highest version made by an evicted request */
};

/* Whether an idempotency key may be used: 1 to IDEMPOTENCY_KEY_MAX visible ASCII characters.
 * Example: if (!idempotency_key_is_valid(key)) reject(IDEMPOTENCY_KEY_INVALID); */
bool idempotency_key_is_valid(const char *key);

/* Make the key of a request: of its idempotency key, if it has one; else, if it builds on a version, of its
 * content; else it is not set. Example: request_key_init(&request, key, "/v1/change", 1, 7, body, size); */
void request_key_init(struct request_key *request, const char *key, const char *call, int has_base,
		      uint64_t base_version, const void *body, size_t body_bytes);

/* Whether two requests are the same, in key and content.
 * Example: if (request_key_equal(&pending->key, &key)) wait_for(pending); */
bool request_key_equal(const struct request_key *a, const struct request_key *b);

/* The accepted request of this key, NULL if there is none; valid until the log changes. Its content may
 * differ: then the idempotency key was used for another request. Example: if ((found =
 * idempotency_log_find(&log, &key)) && !request_key_equal(&found->key, &key)) reject(); */
const struct idempotency_record *idempotency_log_find(const struct idempotency_log *log,
						      const struct request_key *key);

/* Whether a request that built on this version may have been accepted and evicted since.
 * Example: if (idempotency_log_may_have_evicted(&log, SERIES_DOCUMENTS, base_version)) answer_unknown(); */
bool idempotency_log_may_have_evicted(const struct idempotency_log *log, enum request_series series,
				      uint64_t base_version);

/* Record an accepted request, and evict the oldest one when there are too many. Only while a log entry is
 * applied. Example: idempotency_log_add(&log, &key, SERIES_CHANGES, revision); */
void idempotency_log_add(struct idempotency_log *log, const struct request_key *key,
			 enum request_series series, uint64_t version);

/* Fill in a key's message, which borrows the key's bytes; returns NULL when the key is not set.
 * Example: operation.request_key = request_key_pack(&key, &message); */
struct Nl__RequestKey *request_key_pack(const struct request_key *key, struct Nl__RequestKey *message);

/* The key that a message carries; not set for NULL and for digests of another length. */
struct request_key request_key_unpack(const struct Nl__RequestKey *message);

/* Fill in the snapshot's fields, in the pool; they borrow the log's bytes. */
void idempotency_log_pack(const struct idempotency_log *log, struct Nl__ControlState *state,
			  apr_pool_t *pool);

/* Replace the log by a snapshot's; NULL: by the empty one. */
void idempotency_log_load(struct idempotency_log *log, const struct Nl__ControlState *state);

/* Release all records; the capacity stays. */
void idempotency_log_reset(struct idempotency_log *log);

#endif
