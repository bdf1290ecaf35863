/* Cached blocks of a model server or the store, by salt and id, and the events that report them. The batch
 * and the requests call it. Always: what runs and what is cached fit into the server's KV capacity. */
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "model_server_internal.h"

struct prompt_block *find_block(struct server *server, const char *salt, const char *id)
{
	for (int i = 0; i < arrlen(server->blocks); i++)
		if (!strcmp(server->blocks[i].id, id) && !strcmp(server->blocks[i].salt, salt))
			return &server->blocks[i];
	return NULL;
}

static void event_add(struct server *server, char sign, const struct prompt_block *block, int tokens)
{
	struct kv_event kv_event;
	int64_t visible_at_us = loop_us() + ms_us(server->fleet->engine.event_lag_ms *
						  (0.5 + emulator_random_unit(&server->fleet->rng)));

	if (server->fault.events_lost ||
	    emulator_random_unit(&server->fleet->rng) < server->fleet->engine.event_loss_ratio)
		return;
	memset(&kv_event, 0, sizeof kv_event);
	kv_event.number = ++server->last_event;
	kv_event.visible_at_us =
	    arrlen(server->events) && arrlast(server->events).visible_at_us > visible_at_us
		? arrlast(server->events).visible_at_us
		: visible_at_us;
	kv_event.sign = sign;
	snprintf(kv_event.salt, sizeof kv_event.salt, "%s", block->salt);
	snprintf(kv_event.id, sizeof kv_event.id, "%s", block->id);
	kv_event.tokens = tokens;
	arrput(server->events, kv_event);
	if (arrlen(server->events) > server->fleet->engine.event_limit)
		arrdel(server->events, 0);
}

int64_t server_cached_tokens(const struct server *server)
{
	int64_t n = 0;

	for (int i = 0; i < arrlen(server->blocks); i++)
		n += server->blocks[i].tokens;
	return n;
}

int64_t used_tokens(const struct server *server)
{
	int64_t n = 0;

	for (int i = 0; i < arrlen(server->blocks); i++)
		n += server->blocks[i].refs ? server->blocks[i].tokens : 0;
	for (int i = 0; i < arrlen(server->batch); i++)
		n += server->batch[i]->state == WORK_DECODE
			 ? server->batch[i]->generated_tokens
			 : server->batch[i]->remaining_tokens + server->batch[i]->generated_tokens;
	return n;
}

int64_t kv_capacity(const struct server *server)
{
	return server->is_store ? 3999450 : server->fleet->engine.kv_capacity_tokens;
}

int reserve_capacity(struct server *server, int64_t need)
{
	int64_t in_use = used_tokens(server), loose = server_cached_tokens(server);

	for (int i = 0; i < arrlen(server->blocks); i++)
		loose -= server->blocks[i].refs ? server->blocks[i].tokens : 0;
	if (in_use + need > kv_capacity(server))
		return 0;
	while (in_use + loose + need > kv_capacity(server)) {
		int k = -1, cut;
		int64_t over = in_use + loose + need - kv_capacity(server);

		for (int i = 0; i < arrlen(server->blocks); i++)
			if (!server->blocks[i].refs &&
			    (k < 0 || server->blocks[i].used_at_us < server->blocks[k].used_at_us))
				k = i;
		if (k < 0)
			return 0;
		cut = (int)((over + server->fleet->engine.block_tokens - 1) /
			    server->fleet->engine.block_tokens *
			    server->fleet->engine
				.block_tokens); /* memory is freed in units of blocks, from the end */
		if (cut > server->blocks[k].tokens)
			cut = server->blocks[k].tokens;
		server->blocks[k].tokens -= cut;
		loose -= cut;
		event_add(server, '-', &server->blocks[k], server->blocks[k].tokens);
		if (!server->blocks[k].tokens)
			arrdel(server->blocks, k);
	}
	return 1;
}

struct prompt_block *store_block(struct server *server, const char *salt, const char *id, int tokens,
				 int version, const char *tenant)
{
	struct prompt_block *p = find_block(server, salt, id), block;

	if (p) {
		p->used_at_us = loop_us();
		if (p->tokens < tokens && !server->is_store) {
			p->tokens = tokens;
			event_add(server, '+', p, tokens);
		}
		return p;
	}
	memset(&block, 0, sizeof block);
	snprintf(block.salt, sizeof block.salt, "%s", salt);
	snprintf(block.id, sizeof block.id, "%s", id);
	snprintf(block.tenant, sizeof block.tenant, "%s", tenant);
	block.tokens = tokens;
	block.version = version;
	block.used_at_us = block.created_at_us = loop_us();
	arrput(server->blocks, block);
	event_add(server, '+', &block, tokens);
	return &arrlast(server->blocks);
}

void drop_all_blocks(struct server *server, int emit_events)
{
	for (int i = 0; emit_events && i < arrlen(server->blocks); i++)
		event_add(server, '-', &server->blocks[i], 0);
	arrfree(server->blocks);
}
