#include "packing.h"

uint8_t *core_pack_message(apr_pool_t *pool, const ProtobufCMessage *message, size_t *len)
{
	uint8_t *packed = apr_palloc(pool, protobuf_c_message_get_packed_size(message) + 1);

	*len = protobuf_c_message_pack(message, packed);
	return packed;
}

/* Allocation callback for protobuf-c. The memory is freed when the pool is cleared, so pool_free does
 * nothing. */
static void *pool_alloc(void *pool, size_t size)
{
	return apr_palloc(pool, size);
}

static void pool_free(void *pool, void *memory)
{
	(void)pool;
	(void)memory;
}

ProtobufCMessage *core_unpack_message(apr_pool_t *pool, const ProtobufCMessageDescriptor *type, size_t size,
				      const uint8_t *packed)
{
	ProtobufCAllocator allocator = { pool_alloc, pool_free, pool };

	return protobuf_c_message_unpack(type, &allocator, size, packed);
}

ProtobufCMessage *core_copy_message(apr_pool_t *pool, const ProtobufCMessage *message)
{
	size_t size;
	uint8_t *packed = core_pack_message(pool, message, &size);

	return core_unpack_message(pool, message->descriptor, size, packed);
}
