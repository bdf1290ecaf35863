/* router_placement: the basis of server selection for requests of both interfaces: which servers accept
 * requests, and measures of a prompt. The selection itself is in router_placement_claimed.c and
 * router_placement_forwarded.c. */
#include "router_internal.h"

bool router_server_is_serving(const struct router *router, uint32_t server_index, int64_t now)
{
	const struct server_config *config = server_config_of(router, server_index);
	const struct router_server_state *server = &router->servers.states[server_index];
	bool uses_endpoint_list = router->config.bounds.use_endpoint_list;

	if (!config->is_configured || config->is_draining || server->is_loading ||
	    now < server->unavailable_until_ms)
		return false;
	if (!server->is_described && !(config->is_store && uses_endpoint_list))
		return false;
	if (!uses_endpoint_list)
		return now - server->last_report_at_ms < ROUTER_REPORT_VALID_MS;
	if (config->is_store)
		return now - server->last_cache_update_at_ms < ROUTER_STORE_SILENCE_MAX_MS;
	return now <
	       router_weights_send_deadline_ms(router, config->service_index, server->weights_index, now);
}

/* A server that returned a request is avoided only for a limited time, so that another server can take it. */
bool router_avoids_server(const struct client_request *request, uint32_t server_index, int64_t now)
{
	return server_index == request->retry.avoided_server && now < request->retry.avoided_until_ms;
}

uint64_t router_tokens_of_blocks(const struct client_request *request, int block_count)
{
	uint64_t tokens = 0;

	for (int i = 0; i < block_count; i++)
		tokens += request->prompt.block_tokens[i];
	return tokens;
}

uint64_t router_prompt_tokens(const struct client_request *request)
{
	return router_tokens_of_blocks(request, request->prompt.block_count) + request->prompt.tail_tokens;
}

int router_shared_block_count(const struct client_request *request)
{
	return request->prompt.block_count > 1 ? request->prompt.block_count - 1
					       : request->prompt.block_count;
}

uint64_t router_home_block_hash(const struct client_request *request)
{
	int shared_blocks = router_shared_block_count(request);

	return shared_blocks ? request->prompt.block_hash[shared_blocks - 1] : request->sequence;
}
