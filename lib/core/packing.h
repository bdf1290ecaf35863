/* packing: packs, unpacks and copies protobuf messages in pool memory. Messages in the pool of a command
 * list live as long as the commands of that step. */
#ifndef NL_PACKING_H
#define NL_PACKING_H

#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

#include "notchlug.pb-c.h"

/* Pack a message into pool memory; len is set to the packed size in bytes.
 * Example: packed = core_pack_message(pool, &operation->base, &len); */
uint8_t *core_pack_message(apr_pool_t *pool, const ProtobufCMessage *message, size_t *len);

/* Unpack a message into pool memory; returns NULL if the bytes are not a valid message of this type.
 * Example: struct Nl__Value *value = (struct Nl__Value *)core_unpack_message(pool, &nl__value__descriptor,
 * size, packed); */
ProtobufCMessage *core_unpack_message(apr_pool_t *pool, const ProtobufCMessageDescriptor *type, size_t size,
				      const uint8_t *packed);

/* Make a deep copy of a message in pool memory.
 * Example: copy = (struct Nl__Value *)core_copy_message(pool, &value->base); */
ProtobufCMessage *core_copy_message(apr_pool_t *pool, const ProtobufCMessage *message);

#endif
