#include "hashing.h"

#include <string.h>

/* Increment and multipliers of splitmix64; offset and prime of FNV-1a. */
#define SPLITMIX_INCREMENT 0x9e3779b97f4a7c15ull
#define FNV_OFFSET 0xcbf29ce484222325ull
#define FNV_PRIME 0x100000001b3ull

/* The output function of splitmix64, which mixes all bits of value. */
static uint64_t mix(uint64_t value)
{
	value ^= value >> 30;
	value *= 0xbf58476d1ce4e5b9ull;
	value ^= value >> 27;
	value *= 0x94d049bb133111ebull;
	return value ^ (value >> 31);
}

uint64_t core_hash(uint64_t seed, const void *data, size_t size)
{
	const unsigned char *bytes = data;
	uint64_t hash = FNV_OFFSET ^ mix(seed + SPLITMIX_INCREMENT);

	for (size_t i = 0; i < size; i++)
		hash = (hash ^ bytes[i]) * FNV_PRIME;
	return mix(hash);
}

uint64_t core_hash_string(uint64_t seed, const char *text)
{
	return core_hash(seed, text, strlen(text));
}

uint64_t core_rendezvous_weight(uint64_t subject, uint64_t node)
{
	return mix(subject ^ mix(node + SPLITMIX_INCREMENT));
}

uint64_t core_random(uint64_t *state)
{
	return mix(*state += SPLITMIX_INCREMENT);
}

uint32_t core_service_shard(const char *service, uint32_t service_shards)
{
	return SHARD_SERVICE + (uint32_t)(core_hash_string(0, service) % service_shards);
}
