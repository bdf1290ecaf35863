#include "purge.h"

#include <stdlib.h>

struct Nl__Value *value_copy(const struct Nl__Value *original)
{
	size_t size = nl__value__get_packed_size(original);
	uint8_t *packed = malloc(size + 1);
	struct Nl__Value *value;

	if (!packed)
		abort();
	nl__value__pack(original, packed);
	value = nl__value__unpack(NULL, size, packed);
	free(packed);
	if (!value || !value->purge)
		abort(); /* every value is created with a purge */
	return value;
}

void value_free(struct Nl__Value *value)
{
	nl__value__free_unpacked(value, NULL);
}

uint64_t purge_subject_of(enum purge_reason reason, const char *name, const char *detail)
{
	return core_hash_string(core_hash_string(reason, name), detail);
}

uint64_t purge_subject(const struct Nl__Purge *purge)
{
	switch (purge->reason) {
	case PURGE_WEIGHTS:
		return purge_subject_of(PURGE_WEIGHTS, purge->service, purge->weights);
	case PURGE_TENANT:
		return purge_subject_of(PURGE_TENANT, purge->tenant, "");
	case PURGE_CONTEXT:
		return core_rendezvous_weight(purge_subject_of(PURGE_CONTEXT, purge->route, purge->tenant),
					      purge->slice);
	default:
		return purge_subject_of(PURGE_SERVER, purge->server, "");
	}
}
