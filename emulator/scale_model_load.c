/* What comes to the scale model from outside: requests of clients, changes by operators, blocks that servers
 * cache and evict by themselves, and routers that are replaced. */
#include <string.h>

#include "containers.h"
#include "scale_model_internal.h"

const char *model_key_digest(char buf[65], int tenant)
{
	snprintf(buf, 65, "%064x", tenant + 1);
	return buf;
}

void model_submit_request(struct model_fleet *fleet)
{
	struct model_node *n = &fleet->nodes[fleet->settings.controllers +
					     (int)model_random(fleet, (uint64_t)fleet->settings.routers)];
	int tenant = (int)model_random(fleet, (uint64_t)fleet->settings.tenants),
	    route = (int)model_random(fleet, (uint64_t)fleet->settings.routes),
	    matter = (int)model_random(fleet, 200);
	struct pending_request a = { fleet->now_ms,
				     n->index,
				     { core_rendezvous_weight(1, (uint64_t)route),
				       core_rendezvous_weight((uint64_t)route, (uint64_t)tenant),
				       core_rendezvous_weight((uint64_t)tenant << 32 | (uint64_t)route,
							      (uint64_t)matter) } };
	struct router_event input = { .kind = ROUTER_EVENT_CLAIMED_REQUEST };
	struct forwarded_request q;
	char key[65], body[700], path[30], id[30];
	int slot = OUTSIDE + ROUTER_EVENT_CLAIMED_REQUEST;

	if (!n->router)
		return;
	fleet->token++;
	hmput(fleet->pending_requests, fleet->token, a);
	fleet->requests++;
	(void)model_key_digest(key, tenant);
	snprintf(id, sizeof id, "x%llu", (unsigned long long)fleet->token);
	if (fleet->settings.use_instance_list) {
		memset(&q, 0, sizeof q);
		snprintf(path, sizeof path, "/l%d/ask", route);
		q.token = fleet->token;
		q.key_digest = key;
		q.host = "a.example";
		q.path = path;
		q.request_id = id;
		q.timeout_ms = 20000;
		q.input_tokens = 4000;
		q.max_output_tokens = 420;
		q.block_count = 3;
		for (int i = 0; i < 3; i++)
			q.blocks[i] = (struct request_block){ a.blocks[i], 1000 };
		input.kind = ROUTER_EVENT_FORWARDED_REQUEST;
		input.args.forwarded_request = &q;
		slot = OUTSIDE + ROUTER_EVENT_FORWARDED_REQUEST;
		model_count_received(n, slot, 500);
	} else {
		snprintf(
		    body, sizeof body,
		    "{\"lane\":\"l%d\",\"id\":\"%s\",\"limit_ms\":20000,\"parts\":[\"the part of all of lane %d, quite long as such parts are\",\"the part of tenant %d\",\"matter %d of that tenant, with what was written about it and the rules that apply to it\"],\"tail\":\"what is asked\"}",
		    route, id, route, tenant, matter);
		input.args.claimed_request.token = fleet->token;
		input.args.claimed_request.key_digest = key;
		input.args.claimed_request.body = body;
		model_count_received(n, slot, strlen(body));
	}
	model_router_step(fleet, n, slot, &input);
}

uint64_t model_operator_call(struct model_fleet *fleet, const char *path, const char *body)
{
	struct model_node *n = &fleet->nodes[(int)model_random(fleet, (uint64_t)fleet->settings.controllers)];
	struct controller_event input = { .kind = CONTROLLER_API_CALL };

	input.payload.api_call.token = ++fleet->token;
	input.payload.api_call.method = "POST";
	input.payload.api_call.path = path;
	input.payload.api_call.body = body;
	model_controller_step(fleet, n, OUTSIDE + CONTROLLER_API_CALL, &input);
	return input.payload.api_call.token;
}

void model_change_config(struct model_fleet *fleet)
{
	struct config_change c = { 0, 0, 0 };
	char body[200];
	int no = fleet->change_count++;

	snprintf(body, sizeof body,
		 "{\"set\":[{\"kind\":\"tenant\",\"name\":\"t%d\",\"share\":%d,\"limit\":%d,\"walled\":%s}]}",
		 no / 2 % fleet->settings.tenants, 1 + no % 7, fleet->settings.use_instance_list ? 0 : 100000,
		 no % 8 == 7 ? "true" : "false");
	c.token = fleet->token + 1; /* the answer may come within the step */
	arrput(fleet->changes, c);
	model_operator_call(fleet, "/v1/change", body);
}

void model_churn_caches(struct model_fleet *fleet)
{
	int64_t one =
	    fleet->settings.use_instance_list ? 2000 : 1000; /* one comes and another goes: two events */

	for (fleet->churn_credit += fleet->settings.cache_events_per_second * 10; fleet->churn_credit >= one;
	     fleet->churn_credit -= one) {
		struct model_server *server =
		    &fleet->servers[model_random(fleet, (uint64_t)fleet->settings.servers)];

		model_cache_block(fleet, server, core_random(&fleet->rng),
				  (uint32_t)model_random(fleet, (uint64_t)fleet->settings.tenants), 0, 0);
	}
}

void model_replace_router(struct model_fleet *fleet)
{
	struct model_node *n =
	    &fleet->nodes[fleet->settings.controllers + fleet->restart_count++ % fleet->settings.routers];

	model_node_stop(n);
	for (ptrdiff_t i = hmlen(fleet->pending_requests) - 1; i >= 0; i--)
		if (fleet->pending_requests[i].value.node == n->index) {
			fleet->unknown++;
			(void)hmdel(fleet->pending_requests, fleet->pending_requests[i].key);
		}
	model_node_start(fleet, n);
}
