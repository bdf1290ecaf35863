#include "idempotency.h"

#include <nettle/sha2.h>
#include <string.h>

#include "containers.h"

/* Prefix of the digested bytes of an idempotency key. No call has this path, so the digest of a key never
 * equals the digest of a content. */
static const char digested_key_prefix[] = "Idempotency-Key";

bool idempotency_key_is_valid(const char *key)
{
	size_t n = strlen(key);

	if (!n || n > IDEMPOTENCY_KEY_MAX)
		return false;
	for (size_t i = 0; i < n; i++)
		if (key[i] <= ' ' || key[i] > '~')
			return false;
	return true;
}

static void digest_content(uint8_t digest[REQUEST_DIGEST_BYTES], const char *call, uint64_t base_version,
			   const void *body, size_t body_bytes)
{
	struct sha256_ctx context;
	uint8_t base_bytes[8];

	for (int i = 0; i < 8; i++)
		base_bytes[i] = (uint8_t)(base_version >> 8 * i);
	sha256_init(&context);
	sha256_update(&context, strlen(call) + 1, (const uint8_t *)call);
	sha256_update(&context, sizeof base_bytes, base_bytes);
	sha256_update(&context, body_bytes, body);
	sha256_digest(&context, REQUEST_DIGEST_BYTES, digest);
}

static void digest_key(uint8_t digest[REQUEST_DIGEST_BYTES], const char *key)
{
	struct sha256_ctx context;

	sha256_init(&context);
	sha256_update(&context, sizeof digested_key_prefix, (const uint8_t *)digested_key_prefix);
	sha256_update(&context, strlen(key), (const uint8_t *)key);
	sha256_digest(&context, REQUEST_DIGEST_BYTES, digest);
}

void request_key_init(struct request_key *request, const char *key, const char *call, int has_base,
		      uint64_t base_version, const void *body, size_t body_bytes)
{
	int has_key = key && key[0];

	memset(request, 0, sizeof *request);
	digest_content(request->content_digest, call, base_version, body, body_bytes);
	if (has_key)
		digest_key(request->key_digest, key);
	else
		memcpy(request->key_digest, request->content_digest, REQUEST_DIGEST_BYTES);
	request->is_set = has_key || has_base;
}

bool request_key_equal(const struct request_key *a, const struct request_key *b)
{
	return a->is_set && b->is_set && !memcmp(a->key_digest, b->key_digest, REQUEST_DIGEST_BYTES) &&
	       !memcmp(a->content_digest, b->content_digest, REQUEST_DIGEST_BYTES);
}

const struct idempotency_record *idempotency_log_find(const struct idempotency_log *log,
						      const struct request_key *key)
{
	if (!key->is_set)
		return NULL;
	for (ptrdiff_t i = arrlen(log->records) - 1; i >= 0; i--)
		if (!memcmp(log->records[i].key.key_digest, key->key_digest, REQUEST_DIGEST_BYTES))
			return &log->records[i];
	return NULL;
}

bool idempotency_log_may_have_evicted(const struct idempotency_log *log, enum request_series series,
				      uint64_t base_version)
{
	/* An accepted request made a higher version than its base version. Requests that made higher versions
	 * than the evicted ones are still recorded. */
	return base_version < log->highest_evicted_versions[series];
}

/* Update the highest evicted version of the record's series. */
static void note_evicted_version(struct idempotency_log *log, const struct idempotency_record *evicted)
{
	if (evicted->series < SERIES_COUNT &&
	    evicted->version > log->highest_evicted_versions[evicted->series])
		log->highest_evicted_versions[evicted->series] = evicted->version;
}

void idempotency_log_add(struct idempotency_log *log, const struct request_key *key,
			 enum request_series series, uint64_t version)
{
	struct idempotency_record added = { *key, series, version };
	size_t capacity = log->capacity ? log->capacity : IDEMPOTENCY_MAX_RECORDS;

	if (!key->is_set)
		return;
	if ((size_t)arrlen(log->records) < capacity) {
		arrput(log->records, added);
		return;
	}
	note_evicted_version(log, &log->records[log->oldest_index]);
	log->records[log->oldest_index] = added;
	log->oldest_index = (log->oldest_index + 1) % capacity;
}

struct Nl__RequestKey *request_key_pack(const struct request_key *key, struct Nl__RequestKey *message)
{
	if (!key->is_set)
		return NULL;
	nl__request_key__init(message);
	message->key_digest.data = (uint8_t *)(uintptr_t)key->key_digest;
	message->content_digest.data = (uint8_t *)(uintptr_t)key->content_digest;
	message->key_digest.len = REQUEST_DIGEST_BYTES;
	message->content_digest.len = REQUEST_DIGEST_BYTES;
	return message;
}

struct request_key request_key_unpack(const struct Nl__RequestKey *message)
{
	struct request_key key = { 0 };

	if (!message || message->key_digest.len != REQUEST_DIGEST_BYTES ||
	    message->content_digest.len != REQUEST_DIGEST_BYTES)
		return key;
	key.is_set = 1;
	memcpy(key.key_digest, message->key_digest.data, REQUEST_DIGEST_BYTES);
	memcpy(key.content_digest, message->content_digest.data, REQUEST_DIGEST_BYTES);
	return key;
}

void idempotency_log_pack(const struct idempotency_log *log, struct Nl__ControlState *state, apr_pool_t *pool)
{
	size_t count = (size_t)arrlen(log->records);
	struct Nl__IdempotencyRecord *records = apr_palloc(pool, (count + 1) * sizeof *records);
	struct Nl__RequestKey *keys = apr_palloc(pool, (count + 1) * sizeof *keys);

	state->n_idempotency_records = count;
	state->idempotency_records = apr_palloc(pool, (count + 1) * sizeof *state->idempotency_records);
	for (size_t i = 0; i < count; i++) {
		const struct idempotency_record *record = &log->records[(log->oldest_index + i) % count];

		nl__idempotency_record__init(&records[i]);
		records[i].request_key = request_key_pack(&record->key, &keys[i]);
		records[i].series = (uint32_t)record->series;
		records[i].version = record->version;
		state->idempotency_records[i] = &records[i];
	}
	state->n_forgotten_versions = SERIES_COUNT;
	state->forgotten_versions = (uint64_t *)(uintptr_t)log->highest_evicted_versions;
}

void idempotency_log_load(struct idempotency_log *log, const struct Nl__ControlState *state)
{
	idempotency_log_reset(log);
	if (!state)
		return;
	for (size_t i = 0; i < state->n_idempotency_records; i++) {
		const struct Nl__IdempotencyRecord *saved = state->idempotency_records[i];
		struct request_key key = request_key_unpack(saved->request_key);

		idempotency_log_add(log, &key,
				    saved->series < SERIES_COUNT ? (enum request_series)saved->series
								 : SERIES_UNVERSIONED,
				    saved->version);
	}
	for (size_t i = 0; i < state->n_forgotten_versions && i < SERIES_COUNT; i++)
		log->highest_evicted_versions[i] = state->forgotten_versions[i];
}

void idempotency_log_reset(struct idempotency_log *log)
{
	arrfree(log->records);
	log->oldest_index = 0;
	memset(log->highest_evicted_versions, 0, sizeof log->highest_evicted_versions);
}
