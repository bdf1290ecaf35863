#include "sim_forward.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

enum {
	AT_CONNECT,
	AT_ARRIVE,
	AT_PIECE,
	AT_NOT_RUN,
	AT_BROKEN,
	AT_WATCH,
	AT_REQUEST,
	AT_DISCONNECT,
	AT_LOAD,
	AT_MARK,
	AT_DEADLINE,
	AT_BEGIN
};
enum { FATE_WELL, FATE_SILENT, FATE_HARD, FATE_BARE };

static const char *const services[] = { "pool", "aux" };
static const char *const models[] = { "lm", "am" };
static const char *const lanes[] = { "chat", "once", "idem", "deep" };
static const char *const paths[] = { "/chat/", "/once/", "/idem/", "/once/deep/" };
static const int prios[] = { 1, 0, 2, 0 };
static const int tries_of[] = { 3, 2, 2, 2 };
static const char *const zones[] = { "z1", "z2", "z3", "z4" };

static uint64_t random_below(struct sim_forward *forwarding, uint64_t n)
{
	return n ? core_random(&forwarding->rng) % n : 0;
}
static int chance(struct sim_forward *forwarding, int mille)
{
	return mille && random_below(forwarding, 1000) < (uint64_t)mille;
}
static int repeatable(int route)
{
	return route == SIM_FORWARD_IDEM || route == SIM_FORWARD_CHAT;
}

char *sim_forward_key(int k, char buf[65])
{
	memset(buf, 'a' + k, 64);
	buf[64] = 0;
	return buf;
}

static void later(struct sim_forward *forwarding, int kind, int node, uint64_t what, int64_t ms)
{
	struct sim_event input = { .at = forwarding->sim.now + ms,
				   .kind = SIM_FRONT_END,
				   .node = node,
				   .step = kind,
				   .token = what };

	sim_push(&forwarding->sim, input);
}

/* ---- the checker: what may be in force ------------------------------------------------------ */

/* A router that has been in touch all the while from some ms before a moment. */
static int in_touch(const struct sim_forward *forwarding, int node, int64_t from)
{
	return forwarding->last_fault_at[node] <= from - forwarding->sim.bounds.contact_window_ms &&
	       forwarding->last_core_fault_at <= from - forwarding->sim.bounds.contact_window_ms;
}

/* Since when the core counts as settled, as the emulator's checker has it: a majority is up, and nothing has
 * changed for contact_window_ms. INT64_MAX: it does not. */
static int64_t core_settled_since(const struct sim_forward *forwarding)
{
	int64_t since = forwarding->core_changed_at + forwarding->sim.bounds.contact_window_ms;
	int up = 0, all = 0;

	for (int n = 0; n < SIM_CONTROLLERS; n++) {
		all += forwarding->sim.nodes[n].used;
		up += (int)(forwarding->core_up >> n & 1);
	}
	return 2 * up > all && since <= forwarding->sim.now ? since : INT64_MAX;
}

/* The oldest version that may still be used for what was asked then. */
static ptrdiff_t oldest(const struct sim_forward *forwarding, int node, int64_t submitted)
{
	if (!in_touch(forwarding, node, submitted))
		return 0;
	for (ptrdiff_t k = arrlen(forwarding->configs) - 1; k > 0; k--)
		if (forwarding->configs[k].acked_at <
		    submitted - forwarding->sim.bounds.config_propagation_ms)
			return k;
	return 0;
}

static int service_in(const struct sim_forward_config *config, int route)
{
	return route == SIM_FORWARD_DEEP && config->service[route] < 0 ? config->service[SIM_FORWARD_ONCE]
								       : config->service[route];
}

static int leads_to(const struct sim_forward_config *config, int lane, int service)
{
	int at = lane == SIM_FORWARD_DEEP && config->service[lane] < 0 ? SIM_FORWARD_ONCE : lane;

	return config->service[at] >= 0 && (config->service[at] == service || config->split[at]);
}

/* The longest time that a request may have, by the shortest of the timeouts that may be in force. */
static int64_t time_of(const struct sim_forward *forwarding, const struct sim_forward_request *request)
{
	int64_t least = request->deadline_at - request->submitted_at;

	for (ptrdiff_t k = oldest(forwarding, request->node, request->submitted_at);
	     k < arrlen(forwarding->configs); k++) {
		const struct sim_forward_config *config = &forwarding->configs[k];
		int at = request->route == SIM_FORWARD_DEEP && config->service[request->route] < 0
			     ? SIM_FORWARD_ONCE
			     : request->route;

		if (config->timeout[at] && config->timeout[at] < least)
			least = config->timeout[at];
	}
	return least;
}

/* A server may be at work for longer than a router that stops can wait: counted from half of its grace on.
 */
static int outlasts_grace(const struct sim_forward *forwarding, const struct sim_forward_request *request)
{
	const int node = request->node;

	return forwarding->stops_at[node] && request->runs &&
	       forwarding->sim.now >= forwarding->stops_at[node] - forwarding->grace_ms[node] / 2 &&
	       request->submitted_at <= forwarding->stops_at[node] - forwarding->grace_ms[node] + 3000;
}

/* LOST: under planned work nothing that was read ends without an answer or a refusal, unless a server broke
 * it off or its time was over. */
static void check_loss(struct sim_forward *forwarding, const struct sim_forward_request *request,
		       const char *how)
{
	if (forwarding->is_planned_work_only && request->reached_router && !request->has_broken_send &&
	    !outlasts_grace(forwarding, request) &&
	    forwarding->sim.now - request->submitted_at < time_of(forwarding, request) - 20)
		sim_violation(&forwarding->sim, "LOST: %s %s %lld ms after it was asked", request->id, how,
			      (long long)(forwarding->sim.now - request->submitted_at));
}

static void check_config(struct sim_forward *forwarding, const struct sim_forward_request *request,
			 int service, int tenant)
{
	int route = 0, key = 0;

	for (ptrdiff_t k = oldest(forwarding, request->node, request->submitted_at);
	     k < arrlen(forwarding->configs); k++) {
		route |= leads_to(&forwarding->configs[k], request->route, service);
		key |= forwarding->configs[k].key[request->key] == tenant;
	}
	if (!route)
		sim_violation(&forwarding->sim, "CONFIG: %s on lane %s ran at %s", request->id,
			      lanes[request->route], services[service]);
	if (!key)
		sim_violation(&forwarding->sim, "CONFIG: %s ran for tenant %d with key %d", request->id,
			      tenant, request->key);
	if (forwarding->key_removed_at[request->key] &&
	    request->submitted_at - forwarding->key_removed_at[request->key] >
		forwarding->sim.bounds.key_revocation_ms)
		sim_violation(&forwarding->sim, "CONFIG: %s ran with key %d, asked %lld ms after its removal",
			      request->id, request->key,
			      (long long)(request->submitted_at - forwarding->key_removed_at[request->key]));
}

static void check_refusal(struct sim_forward *forwarding, const struct sim_forward_request *request,
			  int status)
{
	for (ptrdiff_t k = oldest(forwarding, request->node, request->submitted_at);
	     k < arrlen(forwarding->configs); k++)
		if (forwarding->configs[k].key[request->key] < 0 ||
		    service_in(&forwarding->configs[k], request->route) < 0)
			return;
	if (in_touch(forwarding, request->node, request->submitted_at))
		sim_violation(&forwarding->sim, "DENIED: %s was told %d", request->id, status);
}

static int newest(const struct sim_forward *forwarding, int service, int64_t acked_before)
{
	int w = 1;

	for (ptrdiff_t i = 0; i < arrlen(forwarding->target_weights); i++)
		if (forwarding->target_weights[i].service == service &&
		    forwarding->target_weights[i].acked_at < acked_before &&
		    forwarding->target_weights[i].weights > w)
			w = forwarding->target_weights[i].weights;
	return w;
}

/* Whether a tenant is surely isolated for what was asked then: in every version that may be in force. */
static int walled(const struct sim_forward *forwarding, int node, int64_t submitted, int tenant)
{
	ptrdiff_t from = 0;

	/* also a router that is not in touch sends by nothing older than what it goes on */
	for (ptrdiff_t k = arrlen(forwarding->configs) - 1; k > 0 && !from; k--)
		if (forwarding->configs[k].acked_at <
		    submitted - forwarding->sim.bounds.key_revocation_ms - 500)
			from = k;
	if (oldest(forwarding, node, submitted) > from)
		from = oldest(forwarding, node, submitted);
	for (ptrdiff_t k = from; k < arrlen(forwarding->configs); k++)
		if (!forwarding->configs[k].isolated[tenant])
			return 0;
	return 1;
}

static void check_use(struct sim_forward *forwarding, const struct sim_forward_request *request,
		      const struct sim_forward_call *call, const struct sim_forward_block *fw_part,
		      int weights, const char *name)
{
	forwarding->n_checked++;
	if (fw_part->weights != weights)
		sim_violation(&forwarding->sim, "STALE: %s on weights %d used a part made under %d at %s",
			      request->id, weights, fw_part->weights, name);
	if (fw_part->tenant != call->tenant &&
	    (walled(forwarding, request->node, request->submitted_at, fw_part->tenant) ||
	     walled(forwarding, request->node, request->submitted_at, call->tenant)))
		sim_violation(&forwarding->sim, "WALL: %s of tenant %d used a part made by tenant %d",
			      request->id, call->tenant, fw_part->tenant);
	if (!call->is_horizon_current)
		sim_violation(&forwarding->sim,
			      "COLD: %s used a part though its counter's purge horizon stood still",
			      request->id);
	for (ptrdiff_t i = 0; i < arrlen(forwarding->sim.value); i++) {
		struct Nl__Purge purge = NL__PURGE__INIT;
		char text[16];

		purge.reason = PURGE_WEIGHTS;
		purge.service = (char *)(uintptr_t)
		    services[forwarding->sim.instance_list.instances[call->server].service[0] == 'a'];
		purge.weights = text;
		snprintf(text, sizeof text, "%d", fw_part->weights);
		if (forwarding->sim.value[i].key == purge_subject(&purge) &&
		    forwarding->sim.value[i].tick > fw_part->horizon &&
		    forwarding->sim.value[i].tick <= call->horizon)
			sim_violation(
			    &forwarding->sim,
			    "PURGE: %s used a part made at horizon %llu, withdrawn at %llu, at horizon %llu",
			    request->id, (unsigned long long)fw_part->horizon,
			    (unsigned long long)forwarding->sim.value[i].tick,
			    (unsigned long long)call->horizon);
	}
}

/* ---- servers ------------------------------------------------------------------------------- */

static struct sim_forward_server *server_of(struct sim_forward *forwarding, int i)
{
	struct sim_forward_server zero;

	if (i == SIM_FORWARD_STORE)
		return &forwarding->offload_store;
	memset(&zero, 0, sizeof zero);
	while (arrlen(forwarding->servers) <= i)
		arrput(forwarding->servers, zero);
	if (!forwarding->servers[i].is_initialized) {
		forwarding->servers[i].is_initialized = 1;
		forwarding->servers[i].epoch = core_random(&forwarding->rng) | 1;
		forwarding->servers[i].next_event = 1;
		forwarding->servers[i].retains_blocks = (int)random_below(forwarding, 2);
	}
	return &forwarding->servers[i];
}

static uint64_t store_addr(void)
{
	return core_parse_addr("127.9.0.1:9000");
}

static int instance_at(struct sim_forward *forwarding, uint64_t addr)
{
	if (addr == store_addr())
		return SIM_FORWARD_STORE;
	for (ptrdiff_t i = arrlen(forwarding->sim.instance_list.instances) - 1; i >= 0; i--)
		if (forwarding->sim.instance_list.instances[i].up &&
		    core_parse_addr(forwarding->sim.instance_list.instances[i].addr) == addr)
			return (int)i;
	return -1;
}

static void emit_event(struct sim_forward *forwarding, struct sim_forward_server *server,
		       const struct sim_forward_block *p, int removed)
{
	struct sim_forward_cache_event e = { server->next_event++,
					     removed,
					     "",
					     p->id,
					     p->tokens,
					     forwarding->sim.now + forwarding->event_lag_ms };

	memcpy(e.cache_namespace, p->cache_namespace, sizeof e.cache_namespace);
	if (chance(forwarding, forwarding->event_loss_per_mille))
		return;
	arrput(server->events, e);
	while (arrlen(server->events) > SIM_FORWARD_EVENTS)
		arrdel(server->events, 0);
}

static int block_at_server(const struct sim_forward_server *server, const char *cache_namespace, uint64_t id)
{
	for (ptrdiff_t i = 0; i < arrlen(server->blocks); i++)
		if (server->blocks[i].id == id && !strcmp(server->blocks[i].cache_namespace, cache_namespace))
			return (int)i;
	return -1;
}

static void keep(struct sim_forward *f, struct sim_forward_server *server,
		 const struct sim_forward_block *fw_part)
{
	int at = block_at_server(server, fw_part->cache_namespace, fw_part->id);

	if (at >= 0) { /* used: it goes last */
		struct sim_forward_block old = server->blocks[at];

		arrdel(server->blocks, at);
		arrput(server->blocks, old);
		return;
	}
	arrput(server->blocks, *fw_part);
	emit_event(f, server, fw_part, 0);
	while (arrlen(server->blocks) > f->capacity_blocks) {
		struct sim_forward_block old = server->blocks[0];

		arrdel(server->blocks, 0);
		emit_event(f, server, &old, 1);
	}
}

/* A load drops what a server keeps; some retain it, so that only the cache_namespace keeps it apart. */
static void loads(struct sim_forward *forwarding, int i)
{
	struct sim_forward_server *server = server_of(forwarding, i);
	int now = atoi(forwarding->sim.instance_list.instances[i].weights);

	if (server->weights_of_blocks == now)
		return;
	if (server->weights_of_blocks && !server->retains_blocks)
		while (arrlen(server->blocks)) {
			struct sim_forward_block old = arrpop(server->blocks);

			emit_event(forwarding, server, &old, 1);
		}
	server->weights_of_blocks = now;
}

static int block_tokens(int at)
{
	return at + 1 == SIM_FORWARD_BLOCKS ? 100 : 600;
}

static uint64_t block_id(const struct sim_forward *forwarding, const struct sim_forward_request *request,
			 int at)
{
	char text[100];

	if (at + 1 == SIM_FORWARD_BLOCKS)
		snprintf(text, sizeof text, "%s's own", request->id);
	else
		snprintf(text, sizeof text, "%d.%d.%d.%d", request->route,
			 forwarding->has_tenant_prefixes ? request->tenant : 0,
			 at > 0 ? request->prompt_index / 4 : 0, at > 1 ? request->prompt_index : 0);
	return core_hash_string(5, text);
}

/* ---- what comes back to a front end --------------------------------------------------------------- */

static void end_run(struct sim_forward *forwarding, struct sim_forward_call *call)
{
	if (call->at_server)
		server_of(forwarding, call->server)->running--;
	call->at_server = 0;
}

static int router_is_same(struct sim_forward *forwarding, const struct sim_forward_call *call)
{
	return forwarding->sim.nodes[call->node].up &&
	       forwarding->sim.nodes[call->node].incarnation == call->incarnation;
}

static void ended(struct sim_forward *forwarding, uint64_t at, enum forward_end how, int status, int wrong)
{
	struct sim_forward_call *call = &forwarding->calls[at];
	struct forward_result e;
	struct router_event event;
	char since[24], weights[24];
	int node = call->node;

	if (call->ended)
		return;
	call->ended = 1;
	end_run(forwarding, call);
	memset(&e, 0, sizeof e);
	e.token = call->token;
	e.end = how;
	e.status = status;
	e.has_stream_begun = call->begun || call->joined;
	e.chunks = (uint32_t)call->pieces;
	snprintf(since, sizeof since, "%d", call->last_chunk);
	e.last_event_id = call->last_chunk ? since : NULL;
	e.slots = call->load.slots;
	e.running_requests = call->load.running;
	e.is_wrong_incarnation = wrong;
	snprintf(weights, sizeof weights, "%d", call->run_weights);
	e.weights = call->run_weights ? weights : NULL;
	memset(&event, 0, sizeof event);
	event.kind = ROUTER_EVENT_FORWARD_ENDED;
	event.args.forward_ended = &e;
	if (how == FORWARD_BROKEN_OFF && call->request >= 0)
		forwarding->requests[call->request].has_broken_send = 1;
	forwarding->n_not_run += how == FORWARD_NOT_STARTED;
	forwarding->n_wrong_incarnation += wrong;
	sim_router_step(&forwarding->sim, node, &event);
}

/* The caller's end: there is one of each request. */
static void told(struct sim_forward *forwarding, struct sim_forward_request *r, int how, int status)
{
	if (r->outcome == SIM_FORWARD_LOST)
		return; /* it left by itself, while its router was frozen: it hears nothing more */
	if (r->outcome != SIM_FORWARD_OPEN)
		sim_violation(&forwarding->sim, "ENDS: %s has a second end, %d after %d", r->id, how,
			      r->outcome);
	r->outcome = how;
	r->status = status;
	r->answered_at = forwarding->sim.now;
	r->token = 0;
	forwarding->n_complete += how == SIM_FORWARD_COMPLETE;
	forwarding->n_cut += how == SIM_FORWARD_CUT;
}

/* A router ends what it holds, once: not what has ended, nor what nobody asked. */
static void judge_end(struct sim_forward *forwarding, int node, uint64_t token)
{
	for (ptrdiff_t i = arrlen(forwarding->requests) - 1; i >= 0; i--)
		if (forwarding->requests[i].first_token == token && forwarding->requests[i].node == node) {
			if (!forwarding->requests[i].token &&
			    forwarding->requests[i].outcome != SIM_FORWARD_LOST)
				sim_violation(&forwarding->sim, "ENDS: %s is told an end after its own",
					      forwarding->requests[i].id);
			return;
		}
	sim_violation(&forwarding->sim, "ENDS: counter %d tells an end to nobody", node);
}

static struct sim_forward_request *req_by(struct sim_forward *forwarding, int node, uint64_t token)
{
	for (ptrdiff_t i = arrlen(forwarding->requests) - 1; i >= 0 && token; i--)
		if (forwarding->requests[i].token == token && forwarding->requests[i].node == node)
			return &forwarding->requests[i];
	return NULL;
}

/* ---- a request at a server ---------------------------------------------------------------------- */

static void mark(struct sim_forward *forwarding);

/* When weights newer than these were first acknowledged; INT64_MAX: never. */
static int64_t superseded_at(const struct sim_forward *forwarding, int service, int weights)
{
	int64_t at = INT64_MAX;

	for (ptrdiff_t i = 0; i < arrlen(forwarding->target_weights); i++)
		if (forwarding->target_weights[i].service == service &&
		    forwarding->target_weights[i].weights > weights &&
		    forwarding->target_weights[i].acked_at < at)
			at = forwarding->target_weights[i].acked_at;
	return at;
}

/* VERSION: a router that is in touch when its request begins is judged, however lately it came to be. The
 * bound counts from the acknowledgement, or from when the core was settled again. */
static void check_version(struct sim_forward *forwarding, const struct sim_forward_request *request,
			  int service, int weights, const char *name)
{
	int64_t targeted_at = superseded_at(forwarding, service, weights),
		settled = core_settled_since(forwarding);
	int64_t from = targeted_at > settled ? targeted_at : settled;

	if (from < forwarding->sim.now - forwarding->sim.bounds.rollout_ms &&
	    forwarding->last_fault_at[request->node] <=
		forwarding->sim.now - forwarding->sim.bounds.contact_window_ms)
		sim_violation(
		    &forwarding->sim,
		    "VERSION: %s begins on weights %d at %s, %lld ms after newer ones were acknowledged",
		    request->id, weights, name, (long long)(forwarding->sim.now - targeted_at));
}

static void check_run(struct sim_forward *forwarding, struct sim_forward_request *request,
		      struct sim_forward_call *call, const struct sim_instance *instance)
{
	int service = instance->service[0] == 'a', weights = atoi(instance->weights);

	if (request->runs && !repeatable(request->route))
		sim_violation(&forwarding->sim, "TWICE: %s runs again at %s", request->id, instance->name);
	if (request->promised_not_run)
		sim_violation(&forwarding->sim, "REFUSED: %s runs after it was told %d", request->id,
			      request->status);
	if (request->has_head && request->route != SIM_FORWARD_CHAT)
		sim_violation(&forwarding->sim, "ORDER: %s runs again after its caller had a head",
			      request->id);
	if (!request->has_head && call->joined)
		sim_violation(&forwarding->sim, "ORDER: %s goes on where nothing began", request->id);
	check_config(forwarding, request, service, call->tenant);
	check_version(forwarding, request, service, weights, instance->name);
}

/* It gets a 421: meant for another life at this address, or for other weights. */
static int misdirected(const struct sim_forward_call *call, const struct sim_instance *instance)
{
	return strcmp(instance->name, call->name) || call->weights != atoi(instance->weights);
}

static void check_arrival(struct sim_forward *forwarding, struct sim_forward_request *request,
			  struct sim_forward_call *call, const struct sim_instance *instance)
{
	int64_t shown =
	    instance->draining ? instance->drained_at + forwarding->sim.instance_list.listing_delay_ms : 0;
	struct sim_forward_arrival fw_arrival = { forwarding->sim.now, request->arrivals > 0,
						  instance->service[0] == 'a' };

	mark(forwarding);
	if (shown && !misdirected(call, instance) &&
	    forwarding->sim.now - shown > forwarding->sim.bounds.server_drain_ms &&
	    in_touch(forwarding, call->node, shown))
		sim_violation(&forwarding->sim, "DRAIN: %s was sent %s, %lld ms after its drain was shown",
			      instance->name, request->id, (long long)(forwarding->sim.now - shown));
	if (request->arrivals++ >= tries_of[request->route])
		sim_violation(&forwarding->sim, "ATTEMPTS: %s was sent %d times", request->id,
			      request->arrivals);
	arrput(forwarding->arrivals, fw_arrival);
	forwarding->n_resend += fw_arrival.is_retry;
	if (forwarding->sim.now - call->sent_at > 3100)
		sim_violation(&forwarding->sim, "FRESH: %s arrives %lld ms after it was decided on",
			      request->id, (long long)(forwarding->sim.now - call->sent_at));
	if (forwarding->sim.now - forwarding->last_contact_at[call->node] > 3100 + 150)
		sim_violation(&forwarding->sim,
			      "FRESH: %s was sent %lld ms after its counter last heard the core", request->id,
			      (long long)(forwarding->sim.now - forwarding->last_contact_at[call->node]));
}

static void run_begins(struct sim_forward *forwarding, uint64_t at, struct sim_forward_request *request,
		       int i)
{
	struct sim_forward_call *call = &forwarding->calls[at];
	struct sim_instance *instance = &forwarding->sim.instance_list.instances[i];
	struct sim_forward_server *server = server_of(forwarding, i);
	int have = 0, from, weights = atoi(instance->weights), read = 0, fetch = 0;

	check_run(forwarding, request, call, instance);
	call->began_at = forwarding->sim.now;
	request->runs++;
	forwarding->n_run++;
	call->at_server = 1;
	call->run_weights = weights;
	server->running++;
	for (int k = 0; k < SIM_FORWARD_BLOCKS; k++) {
		int p = block_at_server(server, call->cache_namespace, block_id(forwarding, request, k));

		if (p < 0)
			break;
		check_use(forwarding, request, call, &server->blocks[p], weights, instance->name);
		have++;
	}
	forwarding->n_reused += (uint64_t)have;
	from = call->fetch_addr ? instance_at(forwarding, call->fetch_addr) : -1;
	for (int k = have; from >= 0 && from != i && k < SIM_FORWARD_BLOCKS; k++) {
		struct sim_forward_server *src = server_of(forwarding, from);
		int p = block_at_server(src, call->cache_namespace, block_id(forwarding, request, k));

		if (p < 0)
			break;
		check_use(forwarding, request, call, &src->blocks[p], weights,
			  from == SIM_FORWARD_STORE ? "the store"
						    : forwarding->sim.instance_list.instances[from].name);
		keep(forwarding, server_of(forwarding, i), &src->blocks[p]);
		have++;
		fetch += 5;
		forwarding->n_fetched++;
	}
	server = server_of(forwarding, i);
	for (int k = 0; k < SIM_FORWARD_BLOCKS; k++) {
		struct sim_forward_block p;

		memset(&p, 0, sizeof p);
		snprintf(p.cache_namespace, sizeof p.cache_namespace, "%s", call->cache_namespace);
		p.id = block_id(forwarding, request, k);
		p.tokens = (uint32_t)block_tokens(k);
		p.weights = weights;
		p.tenant = call->tenant;
		p.horizon = call->horizon;
		if (!call->cache_namespace[0])
			break;
		keep(forwarding, server, &p);
		if (k >= have) {
			read += block_tokens(k);
			forwarding->n_read++;
			if (call->offload_addr) {
				keep(forwarding, &forwarding->offload_store, &p);
				forwarding->n_offloaded++;
			}
		}
	}
	call->fate = chance(forwarding, server->no_answer_per_mille)          ? FATE_SILENT
		     : chance(forwarding, server->error_per_mille)            ? FATE_HARD
		     : chance(forwarding, server->unmarked_refusal_per_mille) ? FATE_BARE
									      : FATE_WELL;
	call->breaks_at = chance(forwarding, server->break_before_head_per_mille) ? 0
			  : chance(forwarding, server->break_per_mille)
			      ? 1 + (int)random_below(forwarding, (uint64_t)request->chunk_count)
			      : -1;
	call->next_chunk = call->resume_after_chunk;
	if (call->next_chunk && chance(forwarding, server->repeated_chunk_per_mille))
		call->next_chunk = call->next_chunk > 2 ? call->next_chunk - 2 : 0;
	call->sent_chunk_count = 0;
	later(forwarding, AT_PIECE, call->node, at, 15 + fetch + read / 20);
}

static void arrives(struct sim_forward *f, uint64_t at)
{
	struct sim_forward_call *call = &f->calls[at];
	struct sim_forward_request *r = &f->requests[call->request];
	int i = instance_at(f, call->addr);
	struct sim_instance *v;
	struct sim_forward_server *w;

	if (call->ended)
		return;
	if (i < 0 || i == SIM_FORWARD_STORE) { /* it fell with its connections */
		later(f, AT_NOT_RUN, call->node, at, 1);
		return;
	}
	v = &f->sim.instance_list.instances[i];
	call->server = i;
	w = server_of(f, i);
	loads(f, i);
	check_arrival(f, r, call, v);
	call->load.slots = f->sim.instance_list.slots ? f->sim.instance_list.slots : 128;
	call->load.running = w->running;
	if (misdirected(call, v)) {
		call->status = 421;
		if (!strcmp(v->name, call->name))
			call->run_weights = atoi(v->weights);
		later(f, AT_NOT_RUN, call->node, at, 1);
		return;
	}
	if (w->running >= call->load.slots || chance(f, w->refusal_per_mille) ||
	    (v->loading[0] && random_below(f, 2))) {
		call->status = 503;
		later(f, AT_NOT_RUN, call->node, at, 1 + w->refusal_delay_ms);
		return;
	}
	call->arrived_at = f->sim.now;
	if (w->queue_ms)
		later(f, AT_BEGIN, call->node, at, w->queue_ms);
	else
		run_begins(f, at, r, i);
}

/* What waited at its server begins there, unless it was taken back or the server has changed. */
static void queued_begins(struct sim_forward *forwarding, uint64_t at)
{
	struct sim_forward_call *call = &forwarding->calls[at];
	int i = instance_at(forwarding, call->addr);

	if (forwarding->sim.now - call->arrived_at >=
	    call->limit_ms) { /* its deadline has passed in the queue: 503, and not executed */
		call->status = 503;
		if (!call->ended)
			later(forwarding, AT_NOT_RUN, call->node, at, 1);
		return;
	}
	if (call->ended && i >= 0 && i == call->server &&
	    server_of(forwarding, i)
		->runs_after_disconnect) /* its caller has left, and it runs all the same */
		check_version(forwarding, &forwarding->requests[call->request],
			      forwarding->sim.instance_list.instances[i].service[0] == 'a',
			      atoi(forwarding->sim.instance_list.instances[i].weights),
			      forwarding->sim.instance_list.instances[i].name);
	if (call->ended)
		return;
	if (i != call->server || misdirected(call, &forwarding->sim.instance_list.instances[i])) {
		call->status = i == call->server ? 421 : 0;
		later(forwarding, AT_NOT_RUN, call->node, at, 1);
		return;
	}
	run_begins(forwarding, at, &forwarding->requests[call->request], i);
}

/* A piece, or the end, of a run leaves its server. */
static void piece(struct sim_forward *forwarding, uint64_t at)
{
	struct sim_forward_call *call = &forwarding->calls[at];
	struct sim_forward_request *request = &forwarding->requests[call->request];
	struct sim_forward_server *server = server_of(forwarding, call->server);
	int node = call->node;
	struct router_event ev;

	if (call->ended || !router_is_same(forwarding, call)) {
		end_run(forwarding, call);
		return;
	}
	if (forwarding->sim.nodes[node].frozen) {
		later(forwarding, AT_PIECE, node, at, 20);
		return;
	}
	if (!forwarding->sim.instance_list.instances[call->server].up ||
	    call->breaks_at == call->sent_chunk_count) {
		ended(forwarding, at, FORWARD_BROKEN_OFF, call->begun ? 200 : 0, 0);
		return;
	}
	if (call->fate == FATE_SILENT)
		return; /* nothing comes any more; the run takes its place until it is given up */
	if (call->fate == FATE_HARD ||
	    call->fate ==
		FATE_BARE) { /* as the front end does: an answer that would promise too much is none */
		if (call->joined || call->repeatable || call->fate == FATE_BARE) {
			ended(forwarding, at, FORWARD_BROKEN_OFF, call->fate == FATE_HARD ? 500 : 503, 0);
			return;
		}
		told(forwarding, request, SIM_FORWARD_ANSWERED, 500);
		ended(forwarding, at, FORWARD_COMPLETE, 500, 0);
		return;
	}
	if (call->next_chunk < request->chunk_count) {
		call->next_chunk++;
		call->sent_chunk_count++;
		later(forwarding, AT_PIECE, node, at,
		      8 + (int64_t)random_below(forwarding, 12) + server->extra_chunk_interval_ms);
		if (call->stream && call->joined && call->next_chunk <= call->last_chunk)
			return; /* the caller has it */
		if (!call->begun && !call->joined && request->has_head)
			sim_violation(&forwarding->sim, "ORDER: %s has a second head", request->id);
		if (request->token && call->next_chunk != request->last_chunk + 1)
			sim_violation(&forwarding->sim, "ORDER: %s hears piece %d after %d", request->id,
				      call->next_chunk, request->last_chunk);
		request->has_head = 1;
		request->last_chunk = call->next_chunk;
		if (call->stream) {
			call->last_chunk = call->next_chunk;
			call->pieces++;
		}
		call->begun = 1;
		if (call->began_reported)
			return;
		call->began_reported = 1;
		memset(&ev, 0, sizeof ev);
		ev.kind = ROUTER_EVENT_FORWARD_STREAM_BEGAN;
		ev.args.forward_began.token = call->token;
		{
			char weights[24];

			snprintf(weights, sizeof weights, "%d", call->run_weights);
			ev.args.forward_began.weights = weights;
			sim_router_step(&forwarding->sim, node, &ev);
		}
		return;
	}
	if (request->token && request->last_chunk != request->chunk_count)
		sim_violation(&forwarding->sim, "ORDER: %s ends as whole after piece %d of %d", request->id,
			      request->last_chunk, request->chunk_count);
	told(forwarding, request, SIM_FORWARD_COMPLETE, 200);
	ended(forwarding, at, FORWARD_COMPLETE, 200, 0);
}

/* ---- the front end's commands ---------------------------------------------------------------------------
 */

static void start_forward(struct sim_forward *forwarding, int node, const struct forward_command *forward)
{
	struct sim_forward_call call;
	struct sim_forward_request *request = req_by(forwarding, node, forward->client_token);

	memset(&call, 0, sizeof call);
	call.token = forward->call_token;
	call.caller = forward->client_token;
	call.node = node;
	call.incarnation = forwarding->sim.nodes[node].incarnation;
	call.server = -1;
	call.addr = forward->addr;
	snprintf(call.name, sizeof call.name, "%s", forward->server);
	snprintf(call.cache_namespace, sizeof call.cache_namespace, "%s",
		 forward->cache_namespace ? forward->cache_namespace : "");
	call.tenant = forward->tenant ? atoi(forward->tenant + 1) : -1;
	call.weights = forward->weights ? atoi(forward->weights) : 0;
	call.fetch_addr = forward->fetch_source;
	call.offload_addr = forward->offload_target;
	call.joined = forward->headers_sent;
	call.stream = forward->is_stream && (!request || request->route != SIM_FORWARD_IDEM);
	call.repeatable = forward->is_idempotent;
	call.last_chunk = call.resume_after_chunk = forward->resume_after ? atoi(forward->resume_after) : 0;
	call.not_after_ms = forward->not_after_ms;
	call.limit_ms = forward->server_timeout_ms;
	call.priority = forward->priority;
	call.sent_at = forwarding->sim.now;
	call.is_horizon_current = relay_is_current(&forwarding->sim.nodes[node].router->relay,
						   sim_local_clock(&forwarding->sim, node));
	call.horizon = forwarding->sim.nodes[node].router->relay.knowledge.horizon;
	call.request = request ? (int)(request - forwarding->requests) : -1;
	forwarding->n_forward++;
	forwarding->n_resumed += forward->headers_sent;
	forwarding->n_cold_namespaces += !strncmp(call.cache_namespace, "cold-", 5);
	if (!call.is_horizon_current && strncmp(call.cache_namespace, "cold-", 5))
		sim_violation(&forwarding->sim,
			      "COLD: a send from a counter whose purge horizon stands still has shelf %s",
			      call.cache_namespace);
	if (request) {
		request->resends = forward->headers_sent;
		request->sent_at = forwarding->sim.now;
		request->priority = (uint32_t)forward->priority;
	}
	arrput(forwarding->calls, call);
	later(forwarding, request ? AT_CONNECT : AT_NOT_RUN, node, (uint64_t)arrlen(forwarding->calls) - 1,
	      (int64_t)random_below(forwarding, 3));
}

/* The connection is there, or will not be. A door that was frozen meanwhile looks at its clock first. */
static void connects(struct sim_forward *forwarding, uint64_t at)
{
	struct sim_forward_call *call = &forwarding->calls[at];
	int i = instance_at(forwarding, call->addr);

	if (call->ended || !router_is_same(forwarding, call))
		return;
	if (forwarding->sim.nodes[call->node].frozen)
		later(forwarding, AT_CONNECT, call->node, at, 20);
	else if (sim_local_clock(&forwarding->sim, call->node) > call->not_after_ms || i < 0)
		later(forwarding, AT_NOT_RUN, call->node, at, i < 0 && random_below(forwarding, 2) ? 300 : 1);
	else
		later(forwarding, AT_ARRIVE, call->node, at, 1 + (int64_t)random_below(forwarding, 3));
}

static void start_watch(struct sim_forward *forwarding, int node, const struct command *command)
{
	struct sim_forward_call call;

	memset(&call, 0, sizeof call);
	call.is_watch = 1;
	call.token = command->args.watch_cache.token;
	call.node = node;
	call.incarnation = forwarding->sim.nodes[node].incarnation;
	call.addr = command->args.watch_cache.addr;
	call.since = command->args.watch_cache.first_offset;
	snprintf(call.name, sizeof call.name, "%s", command->args.watch_cache.server);
	call.wait_until = forwarding->sim.now + command->args.watch_cache.wait_ms;
	forwarding->n_watches++;
	arrput(forwarding->calls, call);
	later(forwarding, AT_WATCH, node, (uint64_t)arrlen(forwarding->calls) - 1, 2);
}

static void watched(struct sim_forward *f, uint64_t at)
{
	struct sim_forward_call *call = &f->calls[at];
	int i = instance_at(f, call->addr), n = 0, status = 200, node = call->node;
	struct sim_forward_server *server;
	struct Nl__CacheUpdate k = NL__CACHE_UPDATE__INIT;
	struct Nl__CacheEvent e[SIM_FORWARD_EVENTS], *list[SIM_FORWARD_EVENTS];
	struct router_event event;

	if (call->ended || !router_is_same(f, call))
		return;
	if (f->sim.nodes[node].frozen) {
		later(f, AT_WATCH, node, at, 20);
		return;
	}
	if (i < 0 || (i != SIM_FORWARD_STORE && strcmp(f->sim.instance_list.instances[i].name, call->name)))
		status = i < 0 ? 0 : 421;
	server = i < 0 ? NULL : server_of(f, i);
	if (status == 200 && i != SIM_FORWARD_STORE)
		loads(f, i);
	for (ptrdiff_t x = 0; status == 200 && x < arrlen(server->events) && n < SIM_FORWARD_EVENTS; x++) {
		if (server->events[x].number < call->since)
			continue;
		if (server->events[x].at > f->sim.now)
			break;
		nl__cache_event__init(&e[n]);
		e[n].evicted = server->events[x].evicted;
		e[n].cache_namespace = server->events[x].cache_namespace;
		e[n].block_hash = server->events[x].id;
		e[n].tokens = server->events[x].tokens;
		list[n] = &e[n];
		n++;
		k.next_offset = server->events[x].number + 1;
	}
	if (status == 200 && !n && f->sim.now < call->wait_until) {
		later(f, AT_WATCH, node, at, 25);
		return;
	}
	call->ended = 1;
	if (!n)
		k.next_offset = call->since;
	if (server) {
		k.epoch = server->epoch;
		k.events_lost =
		    arrlen(server->events) && call->since && server->events[0].number > call->since;
		f->n_lost += (uint64_t)k.events_lost;
	}
	f->n_events += (uint64_t)n;
	k.server = call->name;
	k.events = list;
	k.n_events = (size_t)n;
	memset(&event, 0, sizeof event);
	event.kind = ROUTER_EVENT_CACHE_WATCHED;
	event.args.cache_watched.token = call->token;
	event.args.cache_watched.update = status == 200 ? &k : NULL;
	event.args.cache_watched.status = status;
	{
		char name[32];

		memcpy(name, call->name, sizeof name); /* the list of calls may move */
		k.server = name;
		sim_router_step(&f->sim, node, &event);
	}
}

static void answered(struct sim_forward *f, int node, const struct command *k)
{
	struct sim_forward_request *r = req_by(f, node, k->args.answer.token);
	int status = k->args.answer.status;

	judge_end(f, node, k->args.answer.token);
	if (!r)
		return;
	if (r->has_head)
		sim_violation(&f->sim, "MIXED: %s was answered %d in the middle of its stream", r->id,
			      status);
	if (status == 401 || status == 403 || status == 404)
		check_refusal(f, r, status);
	if (status == 503 || status == 429 || status == 408 || status == 421) {
		f->n_promised_not_run++;
		r->promised_not_run = !repeatable(r->route);
		if (r->promised_not_run && r->runs)
			sim_violation(&f->sim, "REFUSED: %s has run, and was told %d: %s", r->id, status,
				      k->args.answer.body);
		for (ptrdiff_t i = arrlen(f->calls) - 1; i >= 0 && r->promised_not_run; i--)
			if (!f->calls[i].is_watch && f->calls[i].request == r - f->requests &&
			    !f->calls[i].ended)
				sim_violation(&f->sim,
					      "REFUSED: %s was told %d while a send of it was under way",
					      r->id, status);
	}
	if (status == 502 || status == 504)
		check_loss(f, r, "was given up");
	f->n_refused++;
	r->retry_ms = k->args.answer.retry_after_ms;
	if ((status == 503 || status == 429) && r->retry_ms < 1 && !r->runs)
		sim_violation(&f->sim, "RETRY: %s was told %d without when to come back", r->id, status);
	told(f, r, SIM_FORWARD_ANSWERED, status);
	if (r->promised_not_run || ((status == 503 || status == 429) && repeatable(r->route)))
		later(f, AT_REQUEST, node, (uint64_t)(r - f->requests), r->retry_ms);
}

static int perform(void *ctx, int node, const struct command *k)
{
	struct sim_forward *f = ctx;
	struct sim_forward_request *request;

	switch (k->kind) {
	case CMD_FORWARD:
		start_forward(f, node, k->args.forward);
		return 1;
	case CMD_WATCH_CACHE:
		start_watch(f, node, k);
		return 1;
	case CMD_ANSWER:
		answered(f, node, k);
		return 1;
	case CMD_END_STREAM:
		judge_end(f, node, k->args.stream_chunk.token);
		request = req_by(f, node, k->args.stream_chunk.token);
		if (request) {
			check_loss(f, request, "was broken off");
			told(f, request, SIM_FORWARD_CUT, 0);
		}
		return 1;
	case CMD_CANCEL:
		for (ptrdiff_t i = arrlen(f->calls) - 1; i >= 0; i--)
			if (f->calls[i].token == k->args.cancel.token && f->calls[i].node == node &&
			    f->calls[i].incarnation == f->sim.nodes[node].incarnation) {
				f->calls[i].ended = 1;
				end_run(f, &f->calls[i]);
			}
		return 1;
	default:
		return 0;
	}
}

static void lost(void *ctx, int node)
{
	struct sim_forward *forwarding = ctx;

	for (ptrdiff_t i = 0; i < arrlen(forwarding->requests); i++)
		if (forwarding->requests[i].token && forwarding->requests[i].node == node) {
			check_loss(forwarding, &forwarding->requests[i], "fell with its counter");
			told(forwarding, &forwarding->requests[i], SIM_FORWARD_LOST, 0);
		}
	for (ptrdiff_t i = 0; i < arrlen(forwarding->calls); i++)
		if (forwarding->calls[i].node == node &&
		    !forwarding->calls[i].ended) { /* what is on its way arrives all the same */
			if (forwarding->calls[i].at_server) {
				forwarding->calls[i].ended = 1;
				end_run(forwarding, &forwarding->calls[i]);
			}
		}
}

/* ---- callers --------------------------------------------------------------------------------------- */

int sim_forward_submit(struct sim_forward *forwarding, int node, int route, int key, int pick, int tries)
{
	struct sim_forward_request request;
	struct sim_event input = {
		.at = forwarding->sim.now, .kind = SIM_FRONT_END, .node = node, .step = AT_REQUEST
	};

	memset(&request, 0, sizeof request);
	snprintf(request.id, sizeof request.id, "r%d", (int)arrlen(forwarding->requests));
	request.route = route;
	request.key = key;
	request.tenant = key / 2;
	request.node = node;
	request.prompt_index = pick;
	request.attempts = tries;
	request.incarnation = forwarding->sim.nodes[node].incarnation;
	request.token = request.first_token = ++forwarding->sim.token;
	request.submitted_at = forwarding->sim.now;
	request.deadline_at = forwarding->sim.now + forwarding->request_timeout_ms;
	request.chunk_count = 2 + (int)(core_hash_string(1, request.id) % 6);
	arrput(forwarding->requests, request);
	input.token = (uint64_t)arrlen(forwarding->requests) - 1;
	input.status = 1;
	sim_push(&forwarding->sim, input);
	later(forwarding, AT_DEADLINE, node, input.token, forwarding->request_timeout_ms + 300);
	for (int k = 0; k < 2; k++)
		if (leads_to(&arrlast(forwarding->configs), route, k))
			arrput(forwarding->submitted,
			       ((typeof(*forwarding->submitted)){ forwarding->sim.now, k }));
	return (int)input.token;
}

static void request_arrives(struct sim_forward *forwarding, const struct sim_event *input)
{
	struct sim_forward_request *request = &forwarding->requests[input->token];
	struct sim_node *node = &forwarding->sim.nodes[request->node];
	struct forwarded_request query;
	struct router_event ev;
	char key[65], path[40], id[32];

	if (!input->status) { /* it comes back under a new id, to whoever */
		if (request->attempts < 3 && forwarding->sim.now + 500 < request->deadline_at)
			sim_forward_submit(
			    forwarding,
			    SIM_CONTROLLERS +
				(int)random_below(forwarding, (uint64_t)forwarding->router_count),
			    request->route, request->key, request->prompt_index, request->attempts + 1);
		return;
	}
	if (!request->token)
		return;
	if (!node->up || node->incarnation != request->incarnation) {
		told(forwarding, request, SIM_FORWARD_LOST, 0);
		return;
	}
	if (node->frozen) {
		struct sim_event again = *input;

		again.at = forwarding->sim.now + 20;
		sim_push(&forwarding->sim, again);
		return;
	}
	memset(&query, 0, sizeof query);
	query.token = request->token;
	query.key_digest = sim_forward_key(request->key, key);
	query.host = "h.example";
	snprintf(path, sizeof path, "%sx?q=1", paths[request->route]);
	query.path = path;
	memcpy(id, request->id, sizeof id);
	query.request_id = id;
	query.timeout_ms = (int)(request->deadline_at - forwarding->sim.now);
	query.input_tokens = 2000;
	query.max_output_tokens = 100;
	query.block_count = SIM_FORWARD_BLOCKS;
	for (int k = 0; k < SIM_FORWARD_BLOCKS; k++)
		query.blocks[k] =
		    (struct request_block){ block_id(forwarding, request, k), (uint32_t)block_tokens(k) };
	memset(&ev, 0, sizeof ev);
	ev.kind = ROUTER_EVENT_FORWARDED_REQUEST;
	ev.args.forwarded_request = &query;
	request->reached_router = 1;
	sim_router_step(&forwarding->sim, request->node, &ev);
}

static void limit_passes(struct sim_forward *forwarding, uint64_t at)
{
	struct sim_forward_request *request = &forwarding->requests[at];
	struct router_event input;
	uint64_t token = request->token;
	int node = request->node;

	if (!token)
		return;
	if (forwarding->sim.nodes[node].up &&
	    forwarding->sim.nodes[node].incarnation == request->incarnation &&
	    forwarding->last_frozen_at[node] < request->submitted_at - 100)
		sim_violation(&forwarding->sim, "LIMIT: %s has no end %lld ms after its limit", request->id,
			      (long long)(forwarding->sim.now - request->deadline_at));
	told(forwarding, request, SIM_FORWARD_LOST, 0);
	if (!forwarding->sim.nodes[node].up ||
	    forwarding->sim.nodes[node].incarnation != request->incarnation ||
	    forwarding->sim.nodes[node].frozen)
		return;
	memset(&input, 0, sizeof input);
	input.kind = ROUTER_EVENT_CLIENT_DISCONNECTED;
	input.args.client_disconnected.token = token;
	sim_router_step(&forwarding->sim, node, &input);
}

static void one_disconnects(struct sim_forward *forwarding)
{
	ptrdiff_t i = arrlen(forwarding->requests) - 1 - (ptrdiff_t)random_below(forwarding, 30);
	struct router_event input;
	struct sim_forward_request *request;
	uint64_t token;

	if (i < 0)
		return;
	request = &forwarding->requests[i];
	token = request->token;
	if (!token || !forwarding->sim.nodes[request->node].up ||
	    forwarding->sim.nodes[request->node].incarnation != request->incarnation ||
	    forwarding->sim.nodes[request->node].frozen || request->submitted_at == forwarding->sim.now)
		return;
	told(forwarding, request, SIM_FORWARD_LOST, 0);
	memset(&input, 0, sizeof input);
	input.kind = ROUTER_EVENT_CLIENT_DISCONNECTED;
	input.args.client_disconnected.token = token;
	sim_router_step(&forwarding->sim, request->node, &input);
}

/* Which controllers are up and in reach, and when that last changed. */
static void mark_core(struct sim_forward *forwarding)
{
	unsigned up = 0;

	for (int n = 0; n < SIM_CONTROLLERS; n++)
		up |= (unsigned)(forwarding->sim.nodes[n].used && forwarding->sim.nodes[n].up &&
				 !forwarding->sim.nodes[n].frozen && !forwarding->sim.nodes[n].partition)
		      << n;
	if (up != forwarding->core_up ||
	    forwarding->sim.now < forwarding->sim.instance_list.unavailable_until ||
	    forwarding->sim.loss_per_mille || forwarding->sim.undelivered_bodies)
		forwarding->core_changed_at = forwarding->sim.now;
	forwarding->core_up = up;
}

/* Where each router and the core stand. */
static void mark(struct sim_forward *forwarding)
{
	int core = 0;

	mark_core(forwarding);
	for (int n = 0; n < SIM_CONTROLLERS; n++)
		if (forwarding->sim.nodes[n].used &&
		    (!forwarding->sim.nodes[n].up || forwarding->sim.nodes[n].frozen ||
		     forwarding->sim.nodes[n].partition))
			core = 1;
	if (core || forwarding->sim.now < forwarding->sim.instance_list.unavailable_until ||
	    forwarding->sim.loss_per_mille || forwarding->sim.undelivered_bodies)
		forwarding->last_core_fault_at = forwarding->sim.now;
	if (sim_leader(&forwarding->sim, SHARD_CONTROL) >= 0 &&
	    !forwarding->sim.nodes[sim_leader(&forwarding->sim, SHARD_CONTROL)].partition)
		forwarding->last_led_at = forwarding->sim.now;
	for (int n = SIM_CONTROLLERS; n < SIM_CONTROLLERS + forwarding->router_count; n++) {
		if (!forwarding->sim.nodes[n].up ||
		    forwarding->sim.nodes[n].incarnation != forwarding->incarnation[n] ||
		    forwarding->sim.nodes[n].frozen || forwarding->sim.nodes[n].partition) {
			forwarding->last_fault_at[n] = forwarding->sim.now;
			forwarding->incarnation[n] = forwarding->sim.nodes[n].incarnation;
		}
		if (forwarding->sim.nodes[n].up && !forwarding->sim.nodes[n].frozen &&
		    !forwarding->sim.nodes[n].partition && forwarding->last_led_at == forwarding->sim.now)
			forwarding->last_contact_at[n] = forwarding->sim.now;
		if (forwarding->sim.nodes[n].frozen)
			forwarding->last_frozen_at[n] = forwarding->sim.now;
	}
}

static void event(void *ctx, struct sim_event *input)
{
	struct sim_forward *f = ctx;

	switch (input->step) {
	case AT_CONNECT:
		connects(f, input->token);
		break;
	case AT_ARRIVE:
		arrives(f, input->token);
		break;
	case AT_BEGIN:
		queued_begins(f, input->token);
		break;
	case AT_PIECE:
		piece(f, input->token);
		break;
	case AT_NOT_RUN:
	case AT_BROKEN: {
		struct sim_forward_call *call = &f->calls[input->token];

		if (call->ended || !router_is_same(f, call))
			break;
		if (f->sim.nodes[call->node].frozen)
			later(f, input->step, call->node, input->token, 20);
		else
			ended(f, input->token, FORWARD_NOT_STARTED, call->status, call->status == 421);
		break;
	}
	case AT_WATCH:
		watched(f, input->token);
		break;
	case AT_REQUEST:
		request_arrives(f, input);
		break;
	case AT_DEADLINE:
		limit_passes(f, input->token);
		break;
	case AT_LOAD:
		if (f->request_interval_ms) {
			int node = SIM_CONTROLLERS + (int)random_below(f, (uint64_t)f->router_count);

			if (f->sim.nodes[node].up)
				sim_forward_submit(f, node, (int)random_below(f, SIM_FORWARD_ROUTES),
						   (int)random_below(f, SIM_FORWARD_KEYS),
						   (int)random_below(f, 12), 0);
			if (!random_below(f, 25))
				one_disconnects(f);
		}
		later(f, AT_LOAD, 0, 0,
		      f->request_interval_ms
			  ? 1 + (int64_t)random_below(f, 2 * (uint64_t)f->request_interval_ms)
			  : 50);
		break;
	default:
		mark(f);
		later(f, AT_MARK, 0, 0, 10);
	}
}

/* ---- the fleet ---------------------------------------------------------------------------------------- */

static struct Nl__Row *row(apr_pool_t *pool, struct Nl__Change *change, Nl__Kind kind, const char *name)
{
	struct Nl__Row *r = apr_palloc(pool, sizeof *r);

	nl__row__init(r);
	r->kind = kind;
	r->name = apr_pstrdup(pool, name);
	change->set[change->n_set++] = r;
	return r;
}

static void gone(apr_pool_t *pool, struct Nl__Change *c, Nl__Kind kind, const char *name)
{
	struct Nl__Row *r = apr_palloc(pool, sizeof *r);

	nl__row__init(r);
	r->kind = kind;
	r->name = apr_pstrdup(pool, name);
	c->deleted[c->n_deleted++] = r;
}

static void service_row(int k, struct Nl__Change *c, apr_pool_t *pool)
{
	struct Nl__Row *v = row(pool, c, NL__KIND__SERVICE, services[k]);

	v->model = (char *)(uintptr_t)models[k];
	v->target_weights = "0";
	v->prefill_tokens_per_ms = 20;
	v->kv_bytes_per_token = 400;
	v->link_bytes_per_ms = 100000;
	v->slots = 128;
	v->max_connections = 400;
	v->max_watches = 8;
	if (!k) {
		v->addr = "127.9.0.1:9000";
		v->store_bytes_per_ms = 50000;
	}
}

static void lane_row(int l, const struct sim_forward_config *config, struct Nl__Change *c, apr_pool_t *pool)
{
	struct Nl__Row *config_row = row(pool, c, NL__KIND__ROUTE, lanes[l]);

	config_row->service = apr_pstrdup(pool, services[config->service[l]]);
	config_row->host = apr_pstrdup(pool, "h.example");
	config_row->path = apr_pstrdup(pool, paths[l]);
	config_row->priority = (uint32_t)prios[l];
	config_row->limit = 60;
	config_row->max_attempts = (uint32_t)tries_of[l];
	config_row->resumable = l == SIM_FORWARD_CHAT;
	config_row->max_gap_ms = l == SIM_FORWARD_CHAT ? 250 : 0;
	config_row->idempotent = l == SIM_FORWARD_IDEM;
	config_row->client_deduplicates = 1;
	config_row->timeout_ms = (uint32_t)config->timeout[l];
	if (!config->split[l])
		return;
	config_row->split = apr_palloc(pool, 2 * sizeof *config_row->split);
	for (config_row->n_split = 0; config_row->n_split < 2; config_row->n_split++) {
		struct Nl__RouteSplit *half = apr_palloc(pool, sizeof *half);

		nl__route_split__init(half);
		half->service = apr_pstrdup(pool, services[config_row->n_split]);
		half->weight = 1;
		config_row->split[config_row->n_split] = half;
	}
}

static void change_routes(const struct sim_forward_config *was, const struct sim_forward_config *config,
			  struct Nl__Change *change, apr_pool_t *pool)
{
	for (int l = 0; l < SIM_FORWARD_ROUTES; l++) {
		if (was && was->service[l] == config->service[l] && was->split[l] == config->split[l] &&
		    was->timeout[l] == config->timeout[l])
			continue;
		if (config->service[l] >= 0)
			lane_row(l, config, change, pool);
		else if (was && was->service[l] >= 0)
			gone(pool, change, NL__KIND__ROUTE, lanes[l]);
	}
}

static void change_rows(const struct sim_forward_config *was, const struct sim_forward_config *config,
			struct Nl__Change *change, apr_pool_t *pool)
{
	char key[65], name[8];

	change_routes(was, config, change, pool);
	for (int k = 0; k < 2; k++) {
		if (was && was->removed[k] == config->removed[k])
			continue;
		if (config->removed[k])
			gone(pool, change, NL__KIND__SERVICE, services[k]);
		else
			service_row(k, change, pool);
	}
	for (int t = 0; t < SIM_FORWARD_TENANTS; t++) {
		struct Nl__Row *config_row;

		if (was && was->isolated[t] == config->isolated[t] &&
		    was->max_running[t] == config->max_running[t])
			continue;
		snprintf(name, sizeof name, "t%d", t & 7);
		config_row = row(pool, change, NL__KIND__TENANT, name);
		config_row->isolated = config->isolated[t];
		config_row->limit = (uint32_t)config->max_running[t];
		config_row->share = 1;
	}
	for (int k = 0; k < SIM_FORWARD_KEYS; k++) {
		if (was && was->key[k] == config->key[k])
			continue;
		if (config->key[k] < 0) {
			gone(pool, change, NL__KIND__KEY, sim_forward_key(k, key));
			continue;
		}
		snprintf(name, sizeof name, "t%d", config->key[k] & 7);
		row(pool, change, NL__KIND__KEY, sim_forward_key(k, key))->tenant = apr_pstrdup(pool, name);
	}
}

static int propose(struct sim_forward *forwarding, struct sim_forward_config config, int first)
{
	struct Nl__Change change = NL__CHANGE__INIT;
	struct Nl__Row *set[64], *del[64];
	apr_pool_t *pool;
	int ok, keys[SIM_FORWARD_KEYS];
	ptrdiff_t at = arrlen(forwarding->configs);

	apr_pool_create(&pool, forwarding->sim.pool);
	change.any_revision = 1;
	change.set = set;
	change.deleted = del;
	if (first)
		for (int i = 0; i < 2; i++) {
			struct Nl__Row *config_row = row(pool, &change, NL__KIND__MODEL, models[i]);

			config_row->target_weights = "1";
			config_row->rolled_out = "";
		}
	change_rows(first ? NULL : &arrlast(forwarding->configs), &config, &change, pool);
	for (int k = 0; k < SIM_FORWARD_KEYS; k++)
		keys[k] = !first && arrlast(forwarding->configs).key[k] >= 0 && config.key[k] < 0;
	for (int k = 0; k < SIM_FORWARD_KEYS; k++)
		if (config.key[k] >= 0)
			forwarding->key_removed_at[k] = 0;
	config.sent_at = forwarding->sim.now;
	config.acked_at = INT64_MAX;
	arrput(forwarding->configs, config);
	ok = sim_propose(&forwarding->sim, &change, 15000);
	if (ok)
		forwarding->configs[at].acked_at = forwarding->sim.now;
	for (int k = 0; k < SIM_FORWARD_KEYS && ok; k++)
		if (keys[k])
			forwarding->key_removed_at[k] = forwarding->sim.now;
	apr_pool_destroy(pool);
	return ok;
}

void sim_forward_stop(struct sim_forward *forwarding, int node, int grace_ms)
{
	struct router_event input = { .kind = ROUTER_EVENT_SHUTDOWN };

	forwarding->stops_at[node] = forwarding->sim.now + grace_ms;
	forwarding->grace_ms[node] = grace_ms;
	input.args.shutdown.send_deadline_at_ms = sim_local_clock(&forwarding->sim, node) + grace_ms / 2;
	input.args.shutdown.end_deadline_at_ms = sim_local_clock(&forwarding->sim, node) + grace_ms - 300;
	sim_router_step(&forwarding->sim, node, &input);
}

void sim_forward_end_stopped(struct sim_forward *forwarding)
{
	for (int node = SIM_CONTROLLERS; node < SIM_CONTROLLERS + forwarding->router_count; node++) {
		if (!forwarding->stops_at[node] || (!router_idle(forwarding->sim.nodes[node].router) &&
						    forwarding->sim.now < forwarding->stops_at[node]))
			continue;
		forwarding->stops_at[node] = 0;
		sim_crash(&forwarding->sim, node, 0);
		sim_start(&forwarding->sim, node);
	}
}

int sim_forward_change(struct sim_forward *forwarding, struct sim_forward_config config)
{
	return propose(forwarding, config, 0);
}

int sim_forward_set_target(struct sim_forward *forwarding, int service, int weights)
{
	struct Nl__Change change = NL__CHANGE__INIT;
	struct Nl__Row config_row = NL__ROW__INIT, *set[1] = { &config_row };
	char text[16];
	int ok;

	snprintf(text, sizeof text, "%d", weights);
	config_row.kind = NL__KIND__MODEL;
	config_row.name = (char *)(uintptr_t)models[service];
	config_row.target_weights = text;
	change.any_revision = 1;
	change.set = set;
	change.n_set = 1;
	ok = sim_propose(&forwarding->sim, &change, 15000);
	if (ok)
		arrput(forwarding->target_weights,
		       ((struct sim_forward_target){ service, weights, forwarding->sim.now }));
	return ok;
}

int sim_forward_server(struct sim_forward *forwarding, int service, int at)
{
	char weights[16];
	int i;

	snprintf(weights, sizeof weights, "%d", newest(forwarding, service, forwarding->sim.now));
	i = sim_instance(&forwarding->sim, services[service],
			 zones[arrlen(forwarding->sim.instance_list.instances) % 4], weights);
	if (at >= 0)
		memcpy(forwarding->sim.instance_list.instances[i].addr,
		       forwarding->sim.instance_list.instances[at].addr,
		       sizeof forwarding->sim.instance_list.instances[i].addr);
	server_of(forwarding, i);
	return i;
}

int sim_forward_run(struct sim_forward *forwarding, int64_t ms)
{
	return sim_run(&forwarding->sim, ms, NULL);
}

static int ready(struct sim *sim)
{
	struct sim_forward *forwarding = sim->front_end.ctx;

	for (int n = SIM_CONTROLLERS; n < SIM_CONTROLLERS + forwarding->router_count; n++) {
		struct router *c = sim->nodes[n].router;

		if (!c || !router_ready(c, sim_local_clock(sim, n)) ||
		    c->config.serving_server_count < (uint32_t)forwarding->server_count ||
		    !relay_is_current(&c->relay, sim_local_clock(sim, n)))
			return 0;
	}
	return 1;
}

void sim_forward_open(struct sim_forward *forwarding, uint64_t seed, int controllers, int routers,
		      int servers, void (*before_all)(struct sim_forward *))
{
	uint64_t at[3];
	struct sim_forward_config config;
	char buf[32];

	memset(forwarding, 0, sizeof *forwarding);
	sim_open(&forwarding->sim, seed);
	forwarding->sim.front_end = (struct sim_front_end){ forwarding, perform, event, lost };
	forwarding->sim.bounds.use_endpoint_list = 1;
	forwarding->sim.bounds.endpoint_list_calls_millihertz = 47000;
	forwarding->sim.bounds.rollout_ms = 15000;
	forwarding->sim.instance_list.load_ms = 1100;
	forwarding->rng = seed * 31337 + 5;
	forwarding->controller_count = controllers;
	forwarding->router_count = routers;
	forwarding->server_count = servers;
	forwarding->request_timeout_ms = 6000;
	forwarding->event_lag_ms = 60;
	forwarding->capacity_blocks = 60;
	forwarding->offload_store.is_initialized = 1;
	forwarding->offload_store.epoch = 7;
	forwarding->offload_store.next_event = 1;
	if (before_all)
		before_all(forwarding);
	for (int k = 0; k < 3; k++) {
		snprintf(buf, sizeof buf, "127.0.1.%d:7000", k + 1);
		at[k] = core_parse_addr(buf);
	}
	for (int i = 0; i < controllers; i++)
		sim_add_controller(&forwarding->sim, zones[i % 4], at, 3);
	sim_run(&forwarding->sim, 200, NULL);
	if (sim_call_and_wait(&forwarding->sim, 0, "POST", "/v1/found", "{}", 10000) != 200)
		sim_violation(&forwarding->sim, "the fleet was not founded");
	for (int i = 0; i < servers; i++)
		sim_forward_server(forwarding, i % 3 == 2, -1);
	for (int i = 0; i < routers; i++)
		sim_add_router(&forwarding->sim, zones[i % 2]);
	memset(&config, 0, sizeof config);
	config.service[SIM_FORWARD_DEEP] = 1;
	for (int k = 0; k < SIM_FORWARD_KEYS; k++)
		config.key[k] = k / 2;
	if (!propose(forwarding, config, 1))
		sim_violation(&forwarding->sim, "the first table was not acknowledged");
	later(forwarding, AT_MARK, 0, 0, 1);
	later(forwarding, AT_LOAD, 0, 0, 1);
	sim_run(&forwarding->sim, 12000, ready);
	if (!forwarding->sim.violation[0] && !ready(&forwarding->sim))
		sim_violation(&forwarding->sim, "the fleet does not become ready");
	sim_run(&forwarding->sim, 1000, NULL);
}

/* BUDGET: in no window are there more arrivals beyond first ones than the bound allows. */
static void check_budget(struct sim_forward *forwarding)
{
	int w = forwarding->sim.bounds.retry_budget_window_ms;

	for (int sv = 0; sv < 2; sv++)
		for (ptrdiff_t i = 0; i < arrlen(forwarding->arrivals); i++) {
			int64_t from = forwarding->arrivals[i].at;
			int again = 0, most = 0;

			if (!forwarding->arrivals[i].is_retry || forwarding->arrivals[i].service != sv)
				continue;
			for (ptrdiff_t k = i;
			     k < arrlen(forwarding->arrivals) && forwarding->arrivals[k].at < from + w; k++)
				again +=
				    forwarding->arrivals[k].is_retry && forwarding->arrivals[k].service == sv;
			for (int step = 0; step < 3; step++) {
				int64_t a = from - step * w / 2;
				int n = 0;

				for (ptrdiff_t k = 0; k < arrlen(forwarding->submitted); k++)
					n += forwarding->submitted[k].service == sv &&
					     forwarding->submitted[k].at >= a &&
					     forwarding->submitted[k].at < a + w;
				most = n > most ? n : most;
			}
			if (again * 1000 > forwarding->sim.bounds.retry_budget_permille * most +
					       forwarding->sim.bounds.retry_budget_slack * 1000)
				sim_violation(
				    &forwarding->sim,
				    "BUDGET: %d resends for %d requests at %s in a window from %lld", again,
				    most, services[sv], (long long)from);
		}
}

/* ENDS: every request that is past its limit has an end. */
static void check_ends(struct sim_forward *forwarding)
{
	for (ptrdiff_t i = 0; i < arrlen(forwarding->requests); i++)
		if (forwarding->requests[i].outcome == SIM_FORWARD_OPEN &&
		    forwarding->requests[i].deadline_at + 300 < forwarding->sim.now)
			sim_violation(&forwarding->sim, "ENDS: %s has no end", forwarding->requests[i].id);
}

int sim_forward_end(struct sim_forward *forwarding)
{
	check_ends(forwarding);
	check_budget(forwarding);
	return !forwarding->sim.violation[0];
}

void sim_forward_close(struct sim_forward *forwarding)
{
	for (ptrdiff_t i = 0; i < arrlen(forwarding->servers); i++) {
		arrfree(forwarding->servers[i].blocks);
		arrfree(forwarding->servers[i].events);
	}
	arrfree(forwarding->offload_store.blocks);
	arrfree(forwarding->offload_store.events);
	arrfree(forwarding->servers);
	arrfree(forwarding->configs);
	arrfree(forwarding->target_weights);
	arrfree(forwarding->requests);
	arrfree(forwarding->calls);
	arrfree(forwarding->arrivals);
	arrfree(forwarding->submitted);
	forwarding->sim.front_end.lost = NULL;
	sim_close(&forwarding->sim);
}
