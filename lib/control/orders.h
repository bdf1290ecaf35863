/* orders: the replicated record of operators' orders that took effect.
 *
 * An operator whose answer was lost sends the same order again, to any controller. The record tells a repeated order from a
 * new one: it holds an identity, a digest of the content and the outcome of each order that was accepted lately. It is part
 * of the control shard's state: it changes only as log entries are applied, and is saved in snapshots, so every replica
 * decides alike, whoever leads. It is bounded; how far back it reaches is known, so an order from before that is answered
 * with "unknown" rather than refused. */
#ifndef NL_ORDERS_H
#define NL_ORDERS_H

#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

#include "notchlug.pb-c.h"

enum {
	ORDER_DIGEST = 32,   /* bytes of a SHA-256 */
	ORDER_KEY_MAX = 128, /* characters of an idempotency key */
	ORDERS_KEPT = 4096   /* accepted orders that are remembered */
};

/* Orders that build on a version count their versions apart: documents theirs, changes of the table its editions. */
enum order_series { ORDER_DOCUMENTS, ORDER_CHANGES, ORDER_SERIES, ORDER_UNVERSIONED = ORDER_SERIES };

/* What an order is recognised by. */
struct order_id {
	int set;                       /* 0: it names neither a key nor a base, and is taken each time it comes */
	uint8_t id[ORDER_DIGEST];      /* of its key, or else of its content */
	uint8_t content[ORDER_DIGEST]; /* of the call, the base and the bytes */
};

/* An order that was accepted. */
struct order_record {
	struct order_id id;
	enum order_series series;
	uint64_t version; /* that it made: acknowledged again whenever the order is repeated */
};

/* What operators are told. */
#define ORDER_KEY_INVALID "Idempotency-Key: 1 to 128 visible ASCII characters"
#define ORDER_KEY_REUSED "Idempotency-Key: used before for another order"
#define ORDER_FORGOTTEN "outcome unknown: older than the record of orders reaches; read what is in force"

struct orders {
	struct order_record *v;           /* stb_ds: a ring once it is full */
	size_t oldest;                    /* where the ring begins */
	size_t kept;                      /* how many it holds; alike on all replicas. 0: ORDERS_KEPT */
	uint64_t forgotten[ORDER_SERIES]; /* the highest version made by an order that is remembered no more */
};

/* Whether an idempotency key may be used: 1 to ORDER_KEY_MAX visible ASCII characters.
 * Example: if (!order_key_valid(key)) refuse("Idempotency-Key: ..."); */
int order_key_valid(const char *key);

/* The identity of an order: of its key, if it has one; else, if it builds on a version (based), of its content.
 * Example: order_identify(&id, key, "/v1/change", 1, 7, body, strlen(body)); */
void order_identify(struct order_id *id, const char *key, const char *call, int based, uint64_t base, const void *body, size_t len);

/* Whether two orders are the same: alike in identity and content. Example: if (order_same(&pending->id, &id)) wait_for(pending); */
int order_same(const struct order_id *a, const struct order_id *b);

/* The accepted order of this identity, NULL if there is none. Its content may differ: then the key was used for another order.
 * Example: if ((old = orders_find(&orders, &id)) && !order_same(&old->id, &id)) answer(422); */
const struct order_record *orders_find(const struct orders *orders, const struct order_id *id);

/* Whether an order that built on this version may have been accepted and forgotten since.
 * Example: if (overtaken && orders_may_have_forgotten(&orders, ORDER_DOCUMENTS, base)) answer(504); */
int orders_may_have_forgotten(const struct orders *orders, enum order_series series, uint64_t base);

/* Remember an accepted order; the oldest goes when there are too many. Only while a log entry is applied.
 * Example: orders_add(&orders, &id, ORDER_CHANGES, edition); */
void orders_add(struct orders *orders, const struct order_id *id, enum order_series series, uint64_t version);

/* An identity as messages carry it, and back; none: NULL, and one that is not set. The bytes stay the identity's.
 * Example: op.order = order_pack(&id, &message); id = order_unpack(op->order); */
struct Nl__OrderId *order_pack(const struct order_id *id, struct Nl__OrderId *to);
struct order_id order_unpack(const struct Nl__OrderId *from);

/* The record as a snapshot holds it, and back. Example: orders_pack(&orders, &state, pool); orders_load(&orders, state); */
void orders_pack(const struct orders *orders, struct Nl__CtlState *state, apr_pool_t *pool);
void orders_load(struct orders *orders, const struct Nl__CtlState *state);

/* Forget all; kept stays. Example: orders_clear(&orders); */
void orders_clear(struct orders *orders);

#endif
