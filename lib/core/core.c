#include "core.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

struct command *command_add(struct command_list *out, enum command_kind kind)
{
	struct command command;

	memset(&command, 0, sizeof command);
	command.kind = kind;
	arrput(out->commands, command);
	return &arrlast(out->commands);
}

void *command_list_alloc(struct command_list *out, size_t size, const void *init)
{
	return memcpy(apr_palloc(out->pool, size), init, size);
}

struct Nl__Msg *command_send(struct command_list *out, uint64_t addr, uint32_t shard, int body)
{
	struct Nl__Msg *message = MESSAGE_NEW(out, Nl__Msg, NL__MSG__INIT);
	struct command *command = command_add(out, CMD_SEND);

	message->protocol_version = CORE_PROTOCOL_VERSION;
	message->id = out->id;
	message->addr = out->addr;
	message->fleet_id = out->fleet;
	message->shard = shard;
	message->body_case = (Nl__Msg__BodyCase)body;
	command->args.send.addr = addr;
	command->args.send.msg = message;
	return message;
}

void command_answer(struct command_list *out, uint64_t token, int status, int retry_ms, const char *body)
{
	struct command *command = command_add(out, CMD_ANSWER);

	command->args.answer.token = token;
	command->args.answer.status = status;
	command->args.answer.retry_ms = retry_ms;
	command->args.answer.body = body;
}

void command_answer_until(struct command_list *out, uint64_t token, int status, const char *body,
			  int64_t not_after_ms)
{
	command_answer(out, token, status, 0, body);
	arrlast(out->commands).args.answer.not_after_ms = not_after_ms;
}

void command_list_clear(struct command_list *out)
{
	arrsetlen(out->commands, 0);
	apr_pool_clear(out->pool);
}

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
	const unsigned char *s = data;
	uint64_t h = 0xcbf29ce484222325ull ^ mix(seed + 0x9e3779b97f4a7c15ull);

	for (size_t i = 0; i < size; i++)
		h = (h ^ s[i]) * 0x100000001b3ull;
	return mix(h);
}

uint64_t core_hash_string(uint64_t seed, const char *text)
{
	return core_hash(seed, text, strlen(text));
}

uint64_t core_rendezvous_weight(uint64_t subject, uint64_t node)
{
	return mix(subject ^ mix(node + 0x9e3779b97f4a7c15ull));
}

uint64_t core_random(uint64_t *state)
{
	return mix(*state += 0x9e3779b97f4a7c15ull);
}

uint32_t core_shard_of(const char *service, uint32_t service_shards)
{
	return SHARD_SERVICE + (uint32_t)(core_hash_string(0, service) % service_shards);
}

uint64_t core_parse_addr(const char *text)
{
	unsigned a, b, c, d, port;
	char end;

	/* NOLINTNEXTLINE(cert-err34-c): each number has so few digits that it fits, and is checked */
	if (!text || sscanf(text, "%3u.%3u.%3u.%3u:%5u%c", &a, &b, &c, &d, &port, &end) != 5)
		return 0;
	if (a > 255 || b > 255 || c > 255 || d > 255 || port > 65535)
		return 0;
	return (uint64_t)a << 40 | (uint64_t)b << 32 | (uint64_t)c << 24 | (uint64_t)d << 16 | port;
}

const char *core_format_addr(apr_pool_t *pool, uint64_t addr)
{
	return apr_psprintf(pool, "%u.%u.%u.%u:%u", (unsigned)(addr >> 40) & 255,
			    (unsigned)(addr >> 32) & 255, (unsigned)(addr >> 24) & 255,
			    (unsigned)(addr >> 16) & 255, (unsigned)addr & 65535);
}

uint8_t *core_pack_message(apr_pool_t *pool, const ProtobufCMessage *message, size_t *len)
{
	uint8_t *packed = apr_palloc(pool, protobuf_c_message_get_packed_size(message) + 1);

	*len = protobuf_c_message_pack(message, packed);
	return packed;
}

static void *pool_alloc(void *pool, size_t size)
{
	return apr_palloc(pool, size);
}
static void pool_free(void *pool, void *data)
{
	(void)pool;
	(void)data;
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

const struct bounds bounds_default = {
	.config_ms = 2000,
	.revoke_ms = 5000,
	.drift_ms = 5000,
	.contact_ms = 3000,
	.drain_ms = 3000,
	.ack_ms = 4000,
	.catch_up_ms = 6000,
	.grace_ms = 30000,
	.lease_ms = 3000,
	.thaw_ms = 300,
	.recover_ms = 12000,
	.rollout_ms = 25000,
	.retry_budget_permille = 200,
	.retry_budget_slack = 18,
	.retry_budget_window_ms = 10000,
	.replicas = 3,
	.list_calls_millihertz = 0,
	.discover_instances = 0,
	.link_kbps = 0,
};
