/* hashing: hashes, rendezvous weights, seeded random numbers, and the mapping of services to shards.
 * Results depend only on the arguments, so they are the same on every node. */
#ifndef NL_HASHING_H
#define NL_HASHING_H

#include <stddef.h>
#include <stdint.h>

/* The shards of the control state; each is one Raft group. Services are distributed over SHARD_SERVICES
 * shards, the first of which is SHARD_SERVICE. */
enum { SHARD_CONTROL = 0, SHARD_PURGE = 1, SHARD_SERVICE = 2, SHARD_SERVICES = 4, SHARD_COUNT = 6 };

/* Returns a 64-bit hash of size bytes. Example: core_hash(0, "arrears", 7) */
uint64_t core_hash(uint64_t seed, const void *data, size_t size);

/* Returns the core_hash of a NUL-terminated string. Example: core_hash_string(0, "arrears") */
uint64_t core_hash_string(uint64_t seed, const char *text);

/* Returns the rendezvous weight of a node for a subject. Rendezvous hashing assigns a subject to the nodes
 * with the highest weights.
 * Example: if (core_rendezvous_weight(zone, a) > core_rendezvous_weight(zone, b)) ... */
uint64_t core_rendezvous_weight(uint64_t subject, uint64_t node);

/* Returns the next number of a pseudo-random generator and advances its state.
 * Example: due_at_ms = now + core_random(&state) % 500; */
uint64_t core_random(uint64_t *state);

/* Returns the shard that stores a service's state; service_shards is the number of service shards.
 * Example: core_service_shard("arrears", 4) is in 2..5 */
uint32_t core_service_shard(const char *service, uint32_t service_shards);

#endif
