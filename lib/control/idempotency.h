/* orders: the replicated record of operators' orders that took effect.
 *
 * An operator whose answer was lost sends the same order again, to any controller. The record tells a
 * repeated order from a new one: it holds an identity, a digest of the content and the outcome of each order
 * that was accepted lately. It is part of the control shard's state: it changes only as log entries are
 * applied, and is saved in snapshots, so every replica decides alike, whoever leads. It is bounded; how far
 * back it reaches is known, so an order from before that is answered with "unknown" rather than refused. */
#ifndef NL_IDEMPOTENCY_H
#define NL_IDEMPOTENCY_H

#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

#include "notchlug.pb-c.h"

enum {
	REQUEST_DIGEST_BYTES = 32,     /* bytes of a SHA-256 */
	IDEMPOTENCY_KEY_MAX = 128,     /* characters of an idempotency key */
	IDEMPOTENCY_MAX_RECORDS = 4096 /* accepted orders that are remembered */
};

/* Orders that build on a version count their versions apart: documents theirs, changes of the table its
 * editions. */
enum request_series { SERIES_DOCUMENTS, SERIES_CHANGES, SERIES_COUNT, SERIES_UNVERSIONED = SERIES_COUNT };

/* What an order is recognised by. */
struct request_key {
	int is_set; /* 0: it names neither a key nor a base, and is taken each time it comes */
	uint8_t key_digest[REQUEST_DIGEST_BYTES];     /* of its key, or else of its content */
	uint8_t content_digest[REQUEST_DIGEST_BYTES]; /* of the call, the base and the bytes */
};

/* An order that was accepted. */
struct idempotency_record {
	struct request_key key;
	enum request_series series;
	uint64_t version; /* that it made: acknowledged again whenever the order is repeated */
};

/* What operators are told. */
#define ORDER_KEY_INVALID "Idempotency-Key: 1 to 128 visible ASCII characters"
#define ORDER_KEY_REUSED "Idempotency-Key: used before for another order"
#define ORDER_FORGOTTEN "outcome unknown: older than the record of orders reaches; read what is in force"

struct orders {
	struct idempotency_record *records; /* stb_ds: a ring once it is full */
	size_t oldest;                      /* where the ring begins */
	size_t capacity;                    /* how many it holds; alike on all replicas. 0: ORDERS_KEPT */
	uint64_t forgotten_versions[SERIES_COUNT]; /* the highest version made by an order that is remembered
						      no more */
};

/* Whether an idempotency key may be used: 1 to ORDER_KEY_MAX visible ASCII characters.
 * Example: if (!order_key_valid(key)) refuse("Idempotency-Key: ..."); */
int idempotency_key_is_valid(const char *key);

/* The identity of an order: of its key, if it has one; else, if it builds on a version (based), of its
 * content. Example: order_identify(&id, key, "/v1/change", 1, 7, body, strlen(body)); */
void request_key_init(struct request_key *request, const char *key, const char *call, int has_base,
		      uint64_t base_version, const void *body, size_t body_bytes);

/* Whether two orders are the same: alike in identity and content. Example: if (order_same(&pending->id, &id))
 * wait_for(pending); */
int request_key_equal(const struct request_key *a, const struct request_key *b);

/* The accepted order of this identity, NULL if there is none. Its content may differ: then the key was used
 * for another order. Example: if ((old = orders_find(&orders, &id)) && !order_same(&old->id, &id))
 * answer(422); */
const struct idempotency_record *idempotency_log_find(const struct orders *log,
						      const struct request_key *key);

/* Whether an order that built on this version may have been accepted and forgotten since.
 * Example: if (overtaken && orders_may_have_forgotten(&orders, ORDER_DOCUMENTS, base)) answer(504); */
int idempotency_log_may_have_evicted(const struct orders *log, enum request_series series,
				     uint64_t base_version);

/* Remember an accepted order; the oldest goes when there are too many. Only while a log entry is applied.
 * Example: orders_add(&orders, &id, ORDER_CHANGES, edition); */
void idempotency_log_add(struct orders *log, const struct request_key *key, enum request_series series,
			 uint64_t version);

/* An identity as messages carry it, and back; none: NULL, and one that is not set. The bytes stay the
 * identity's. Example: op.order = order_pack(&id, &message); id = order_unpack(op->order); */
struct Nl__RequestKey *request_key_pack(const struct request_key *key, struct Nl__RequestKey *message);
struct request_key request_key_unpack(const struct Nl__RequestKey *message);

/* The record as a snapshot holds it, and back. Example: orders_pack(&orders, &state, pool);
 * orders_load(&orders, state); */
void idempotency_log_pack(const struct orders *log, struct Nl__ControlState *state, apr_pool_t *pool);
void idempotency_log_load(struct orders *log, const struct Nl__ControlState *state);

/* Forget all; kept stays. Example: orders_clear(&orders); */
void idempotency_log_reset(struct orders *log);

#endif
