/* idempotency: the replicated log of operators' requests that took effect.
 *
 * An operator who has not received an answer sends the same request again, to any controller. The log
 * distinguishes a repeated request from a new one: for each request that was accepted recently it records a
 * key, a digest of the content, and the version that the request made.
 *
 * Always: the log changes only when an entry of the control shard's log is applied, and it is stored in
 * snapshots, so that all replicas decide alike, whichever of them leads. Its size is bounded. It records
 * which versions have been evicted, so that a request that may be older is answered "outcome unknown" and not
 * rejected. The reasons are in docs/consistency.md. Owned by state_machine.c. */
#ifndef NL_IDEMPOTENCY_H
#define NL_IDEMPOTENCY_H

#include <stdbool.h>
#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

#include "notchlug.pb-c.h"

enum {
	REQUEST_DIGEST_BYTES = 32,     /* length of a SHA-256 digest */
	IDEMPOTENCY_KEY_MAX = 128,     /* maximum length of an idempotency key in characters */
	IDEMPOTENCY_MAX_RECORDS = 4096 /* default capacity of the log */
};

/* Series of versions that a request can be based on. Evicted versions are recorded for each series. */
enum request_series {
	SERIES_DOCUMENTS, /* versions of the operators' document */
	SERIES_CHANGES,   /* revisions of the configuration table */
	SERIES_COUNT,
	SERIES_UNVERSIONED = SERIES_COUNT /* the request has no base version */
};

/* Identifies a request, so that a repetition of it is recognised. */
struct request_key {
	int is_set; /* 0: the request has neither an idempotency key nor a base version, and takes effect each
		       time it is sent */
	uint8_t key_digest[REQUEST_DIGEST_BYTES]; /* of the idempotency key if there is one; otherwise of the
						     content */
	uint8_t content_digest[REQUEST_DIGEST_BYTES]; /* of the call's path, the base version and the body */
};

/* A request that was accepted. */
struct idempotency_record {
	struct request_key key;
	enum request_series series;
	uint64_t version; /* made by the request; acknowledged again each time the request is repeated */
};

/* Error texts of answers to operators. */
#define IDEMPOTENCY_KEY_INVALID "Idempotency-Key: 1 to 128 visible ASCII characters"
#define IDEMPOTENCY_KEY_REUSED "Idempotency-Key: used before for another order"
#define IDEMPOTENCY_OUTCOME_UNKNOWN \
	"outcome unknown: the request may be older than all recorded ones; read the current configuration"

/* The log; belongs to the control shard's state. */
struct idempotency_log {
	struct idempotency_record *records; /* stb_ds; a ring buffer once it is full; owned by the log */
	size_t oldest_index;                /* index of the oldest record once the ring buffer is full */
	size_t capacity;                    /* must be equal on all replicas; 0: IDEMPOTENCY_MAX_RECORDS */
	uint64_t highest_evicted_versions[SERIES_COUNT]; /* highest version that was made by an evicted
						      request, for each series */
};

/* Whether an idempotency key is valid: 1 to IDEMPOTENCY_KEY_MAX visible ASCII characters.
 * Example: if (!idempotency_key_is_valid(key)) reject(IDEMPOTENCY_KEY_INVALID); */
bool idempotency_key_is_valid(const char *key);

/* Compute the key of a request: from its idempotency key if it has one; otherwise from its content if it is
 * based on a version; otherwise the key is not set. Example: request_key_init(&request, key, "/v1/change", 1,
 * 7, body, size); */
void request_key_init(struct request_key *request, const char *key, const char *call, int has_base,
		      uint64_t base_version, const void *body, size_t body_bytes);

/* Whether two requests are the same: both the key and the content are equal.
 * Example: if (request_key_equal(&pending->key, &key)) wait_for(pending); */
bool request_key_equal(const struct request_key *a, const struct request_key *b);

/* Return the accepted request with this key, or NULL; valid until the log changes. If its content differs,
 * the idempotency key was used for another request. Example: if ((found = idempotency_log_find(&log, &key))
 * && !request_key_equal(&found->key, &key)) reject(); */
const struct idempotency_record *idempotency_log_find(const struct idempotency_log *log,
						      const struct request_key *key);

/* Whether a request that is based on this version may have been accepted and its record evicted.
 * Example: if (idempotency_log_may_have_evicted(&log, SERIES_DOCUMENTS, base_version)) answer_unknown(); */
bool idempotency_log_may_have_evicted(const struct idempotency_log *log, enum request_series series,
				      uint64_t base_version);

/* Record an accepted request, and evict the oldest record if the log is full. May be called only while a log
 * entry is applied. Example: idempotency_log_add(&log, &key, SERIES_CHANGES, revision); */
void idempotency_log_add(struct idempotency_log *log, const struct request_key *key,
			 enum request_series series, uint64_t version);

/* Fill in the message of a key and return it; NULL if the key is not set. The message refers to the bytes of
 * the key and is valid only as long as these. Example: operation.request_key = request_key_pack(&key,
 * &message); */
struct Nl__RequestKey *request_key_pack(const struct request_key *key, struct Nl__RequestKey *message);

/* Return the key in a message. It is not set if the message is NULL or its digests have a wrong length. */
struct request_key request_key_unpack(const struct Nl__RequestKey *message);

/* Pack the log into a snapshot's message. Memory is allocated from the pool; the message also refers to the
 * bytes of the log and is valid only as long as these. */
void idempotency_log_pack(const struct idempotency_log *log, struct Nl__ControlState *state,
			  apr_pool_t *pool);

/* Replace the log by the one in a snapshot; state NULL: by the empty log. */
void idempotency_log_load(struct idempotency_log *log, const struct Nl__ControlState *state);

/* Release all records; the capacity is kept. */
void idempotency_log_reset(struct idempotency_log *log);

#endif
