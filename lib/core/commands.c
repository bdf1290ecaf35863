#include "commands.h"

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
	command->args.answer.retry_after_ms = retry_ms;
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
