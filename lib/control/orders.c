#include "orders.h"

#include <nettle/sha2.h>
#include <string.h>

#include "ds.h"

/* In front of the bytes of a key, so that no key's digest is that of a content: no call has this name. */
static const char key_prefix[] = "Idempotency-Key";

int order_key_valid(const char *key)
{
	size_t n = strlen(key);

	if (!n || n > ORDER_KEY_MAX)
		return 0;
	for (size_t i = 0; i < n; i++)
		if (key[i] <= ' ' || key[i] > '~')
			return 0;
	return 1;
}

static void digest_content(uint8_t to[ORDER_DIGEST], const char *call, uint64_t base, const void *body, size_t len)
{
	struct sha256_ctx context;
	uint8_t base_bytes[8];

	for (int i = 0; i < 8; i++)
		base_bytes[i] = (uint8_t)(base >> 8 * i);
	sha256_init(&context);
	sha256_update(&context, strlen(call) + 1, (const uint8_t *)call);
	sha256_update(&context, sizeof base_bytes, base_bytes);
	sha256_update(&context, len, body);
	sha256_digest(&context, ORDER_DIGEST, to);
}

static void digest_key(uint8_t to[ORDER_DIGEST], const char *key)
{
	struct sha256_ctx context;

	sha256_init(&context);
	sha256_update(&context, sizeof key_prefix, (const uint8_t *)key_prefix);
	sha256_update(&context, strlen(key), (const uint8_t *)key);
	sha256_digest(&context, ORDER_DIGEST, to);
}

void order_identify(struct order_id *id, const char *key, const char *call, int based, uint64_t base, const void *body, size_t len)
{
	int keyed = key && key[0];

	memset(id, 0, sizeof *id);
	digest_content(id->content, call, base, body, len);
	if (keyed)
		digest_key(id->id, key);
	else
		memcpy(id->id, id->content, ORDER_DIGEST);
	id->set = keyed || based;
}

int order_same(const struct order_id *a, const struct order_id *b)
{
	return a->set && b->set && !memcmp(a->id, b->id, ORDER_DIGEST) && !memcmp(a->content, b->content, ORDER_DIGEST);
}

const struct order_record *orders_find(const struct orders *orders, const struct order_id *id)
{
	if (!id->set)
		return NULL;
	for (ptrdiff_t i = arrlen(orders->v) - 1; i >= 0; i--)
		if (!memcmp(orders->v[i].id.id, id->id, ORDER_DIGEST))
			return &orders->v[i];
	return NULL;
}

int orders_may_have_forgotten(const struct orders *orders, enum order_series series, uint64_t base)
{
	/* an order that built on base made a version above it; all that made one above forgotten are remembered */
	return base < orders->forgotten[series];
}

static void forget(struct orders *orders, const struct order_record *old)
{
	if (old->series < ORDER_SERIES && old->version > orders->forgotten[old->series])
		orders->forgotten[old->series] = old->version;
}

void orders_add(struct orders *orders, const struct order_id *id, enum order_series series, uint64_t version)
{
	struct order_record added = { *id, series, version };
	size_t kept = orders->kept ? orders->kept : ORDERS_KEPT;

	if (!id->set)
		return;
	if ((size_t)arrlen(orders->v) < kept) {
		arrput(orders->v, added);
		return;
	}
	forget(orders, &orders->v[orders->oldest]);
	orders->v[orders->oldest] = added;
	orders->oldest = (orders->oldest + 1) % kept;
}

struct Nl__OrderId *order_pack(const struct order_id *id, struct Nl__OrderId *to)
{
	if (!id->set)
		return NULL;
	nl__order_id__init(to);
	to->id.data = (uint8_t *)(uintptr_t)id->id;
	to->content.data = (uint8_t *)(uintptr_t)id->content;
	to->id.len = to->content.len = ORDER_DIGEST;
	return to;
}

struct order_id order_unpack(const struct Nl__OrderId *from)
{
	struct order_id id = { 0 };

	if (!from || from->id.len != ORDER_DIGEST || from->content.len != ORDER_DIGEST)
		return id;
	id.set = 1;
	memcpy(id.id, from->id.data, ORDER_DIGEST);
	memcpy(id.content, from->content.data, ORDER_DIGEST);
	return id;
}

void orders_pack(const struct orders *orders, struct Nl__CtlState *state, apr_pool_t *pool)
{
	size_t n = (size_t)arrlen(orders->v);
	struct Nl__OrderRecord *records = apr_palloc(pool, (n + 1) * sizeof *records);
	struct Nl__OrderId *ids = apr_palloc(pool, (n + 1) * sizeof *ids);

	state->n_orders = n;
	state->orders = apr_palloc(pool, (n + 1) * sizeof *state->orders);
	for (size_t i = 0; i < n; i++) {
		const struct order_record *order = &orders->v[(orders->oldest + i) % n];

		nl__order_record__init(&records[i]);
		records[i].order = order_pack(&order->id, &ids[i]);
		records[i].series = (uint32_t)order->series;
		records[i].version = order->version;
		state->orders[i] = &records[i];
	}
	state->n_orders_forgotten = ORDER_SERIES;
	state->orders_forgotten = (uint64_t *)(uintptr_t)orders->forgotten;
}

void orders_load(struct orders *orders, const struct Nl__CtlState *state)
{
	orders_clear(orders);
	if (!state)
		return;
	for (size_t i = 0; i < state->n_orders; i++) {
		const struct Nl__OrderRecord *record = state->orders[i];
		struct order_id id = order_unpack(record->order);

		orders_add(orders, &id, record->series < ORDER_SERIES ? (enum order_series)record->series : ORDER_UNVERSIONED,
			   record->version);
	}
	for (size_t i = 0; i < state->n_orders_forgotten && i < ORDER_SERIES; i++)
		orders->forgotten[i] = state->orders_forgotten[i];
}

void orders_clear(struct orders *orders)
{
	arrfree(orders->v);
	orders->oldest = 0;
	memset(orders->forgotten, 0, sizeof orders->forgotten);
}
