/* hashing: numbers that are the same on every node: hashes, rendezvous weights, seeded random numbers, and
 * the shard that a service belongs to. No state but what the caller passes in. */
#ifndef NL_HASHING_H
#define NL_HASHING_H

#include <stddef.h>
#include <stdint.h>

/* The shards of the control state: one raft group each. Services are spread over SHARD_SERVICES of them. */
enum { SHARD_CONTROL = 0, SHARD_PURGE = 1, SHARD_SERVICE = 2, SHARD_SERVICES = 4, SHARD_COUNT = 6 };

/* A 64-bit hash of bytes. Example: core_hash(0, "arrears", 7) */
uint64_t core_hash(uint64_t seed, const void *data, size_t size);

/* The same for a string. Example: core_hash_string(0, "arrears") */
uint64_t core_hash_string(uint64_t seed, const char *text);

/* The rendezvous weight of a node for a subject; the nodes with the highest weights are chosen.
 * Example: if (core_rendezvous_weight(zone, a) > core_rendezvous_weight(zone, b)) ... */
uint64_t core_rendezvous_weight(uint64_t subject, uint64_t node);

/* The next number of a seeded generator. Example: due_at_ms = now + core_random(&state) % 500; */
uint64_t core_random(uint64_t *state);

/* Which shard keeps a service's state. Example: core_shard_of("arrears", 4) is in 2..5 */
uint32_t core_shard_of(const char *service, uint32_t service_shards);

#endif
