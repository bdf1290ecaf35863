/* packing: protobuf messages in the memory of a pool, so that they live as long as the commands of a step. */
#ifndef NL_PACKING_H
#define NL_PACKING_H

#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

#include "notchlug.pb-c.h"

/* Pack any message into pool memory. Example: packed = core_pack_message(pool, &operation->base, &len); */
uint8_t *core_pack_message(apr_pool_t *pool, const ProtobufCMessage *message, size_t *len);

/* Unpack into pool memory; NULL when the bytes are no such message.
 * Example: struct Nl__Value *value = (struct Nl__Value *)core_unpack_message(pool, &nl__value__descriptor,
 * size, packed); */
ProtobufCMessage *core_unpack_message(apr_pool_t *pool, const ProtobufCMessageDescriptor *type, size_t size,
				      const uint8_t *packed);

/* A deep copy in pool memory. Example: copy = (struct Nl__Value *)core_copy_message(pool, &value->base); */
ProtobufCMessage *core_copy_message(apr_pool_t *pool, const ProtobufCMessage *message);

#endif
