/* sim_servers: model servers that are rows of the table, and the store: reports, load commands, runs, and
 * checks of each cached block that a run uses. */
#include "sim_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

struct sim_server *sim_server_at(struct sim *sim, const char *addr)
{
	for (int i = 0; i < SIM_SERVERS; i++)
		if (sim->servers[i].used && !strcmp(sim->servers[i].addr, addr))
			return &sim->servers[i];
	return NULL;
}

void sim_server_report(struct sim_server *server, char **body)
{
	size_t n = 256 + 200 * (size_t)arrlen(server->blocks), k;

	if (server->report_fault) {
		*body = malloc(200000);
		k = (size_t)sprintf(*body,
				    server->report_fault == 1 ? "{\"weights\":\"w1"
				    : server->report_fault == 2
					? "[1,2]"
					: "{\"weights\":\"w1\",\"loading\":\"\",\"slots\":%s,\"parts\":[",
				    server->report_fault == 3 ? "99999999" : "8");
		server->serial++;
		for (int i = 0; i < 1000 && server->report_fault > 2; i++)
			k += (size_t)sprintf(
			    *body + k,
			    "%s{\"h\":\"%x\",\"w\":\"odd-%d-%d\",\"m\":\"nobody-%d-%d\",\"t\":1,\"n\":1}",
			    i ? "," : "", i, i, server->serial, i, server->serial);
		if (server->report_fault > 2)
			sprintf(*body + k, "]}");
		return;
	}
	*body = malloc(n);
	k = (size_t)snprintf(*body, n,
			     "{\"weights\":\"%s\",\"loading\":\"%s\",\"slots\":8,\"running\":%d,\"parts\":[",
			     server->weights, server->loading, server->running);
	for (ptrdiff_t i = 0; i < arrlen(server->blocks); i++)
		k += (size_t)snprintf(
		    *body + k, n - k, "%s{\"h\":\"%016llx\",\"w\":\"%s\",\"m\":\"%s\",\"t\":%llu,\"n\":%d}",
		    i ? "," : "", (unsigned long long)server->blocks[i].hash, server->blocks[i].weights,
		    server->blocks[i].cache_namespace, (unsigned long long)server->blocks[i].horizon,
		    server->blocks[i].tokens);
	snprintf(*body + k, n - k, "]}");
}

void sim_server_receive_command(struct sim *sim, struct sim_server *server, const char *body)
{
	struct json_object *j = json_tokener_parse(body), *x, *json;
	uint64_t fence = 0, rollout = 0;

	if (json_object_object_get_ex(j, "fence", &x))
		fence = json_object_get_uint64(x);
	if (json_object_object_get_ex(j, "giver", &x))
		rollout = strtoull(json_object_get_string(x), NULL, 16);
	sim->n_commands++;
	if (server->last_commander && rollout != server->last_commander &&
	    sim->now - server->last_command_at < 3000)
		sim_violation(sim, "server %s had orders of two givers %lld ms apart", server->name,
			      (long long)(sim->now - server->last_command_at));
	server->last_commander = rollout;
	server->last_command_at = sim->now;
	if (fence < server->fence) {
		json_object_put(j);
		return;
	}
	server->fence = fence;
	if (json_object_object_get_ex(j, "load", &x) && strcmp(server->weights, json_object_get_string(x)) &&
	    strcmp(server->loading, json_object_get_string(x))) {
		struct sim_event input = { .at = sim->now +
						 (sim->load_ms ? sim->load_ms
							       : 1500 + (int64_t)sim_random_below(sim, 1000)),
					   .kind = SIM_LOADED,
					   .server = (int)(server - sim->servers) };

		snprintf(server->loading, sizeof server->loading, "%s", json_object_get_string(x));
		server->load_done_at = input.at;
		sim_push_event(sim, input);
	}
	if (!server->ignores_drops && json_object_object_get_ex(j, "drop", &json))
		for (size_t i = 0; i < json_object_array_length(json); i++) {
			struct json_object *k = json_object_array_get_idx(json, i), *h, *m;

			if (json_object_object_get_ex(k, "h", &h) && json_object_object_get_ex(k, "m", &m))
				for (ptrdiff_t q = arrlen(server->blocks) - 1; q >= 0; q--)
					if (server->blocks[q].hash ==
						strtoull(json_object_get_string(h), NULL, 16) &&
					    !strcmp(server->blocks[q].cache_namespace,
						    json_object_get_string(m)))
						arrdel(server->blocks, q);
		}
	json_object_put(j);
}

/* A send must not name a part that was withdrawn at a tick its router knew of. */
static void check_withdrawn(struct sim *sim, struct sim_server *server, const struct sim_cached_block *cached,
			    uint64_t stamp)
{
	struct Nl__Purge purge[3] = { NL__PURGE__INIT, NL__PURGE__INIT, NL__PURGE__INIT };

	purge[0].reason = PURGE_WEIGHTS;
	purge[0].service = server->service;
	purge[0].weights = (char *)(uintptr_t)cached->weights;
	purge[1].reason = PURGE_TENANT;
	purge[1].tenant = (char *)(uintptr_t)cached->cache_namespace;
	purge[2].reason = PURGE_SERVER;
	purge[2].server = server->name;
	for (ptrdiff_t i = 0; i < arrlen(sim->value); i++)
		for (int k = 0; k < 3; k++)
			if (sim->value[i].key == purge_subject(&purge[k]) &&
			    sim->value[i].tick > cached->horizon && sim->value[i].tick <= stamp)
				sim_violation(
				    sim,
				    "a part of %s made at tick %llu at %s was reused at horizon %llu, withdrawn at %llu",
				    cached->cache_namespace, (unsigned long long)cached->horizon,
				    server->name, (unsigned long long)stamp,
				    (unsigned long long)sim->value[i].tick);
}

/* The very copy that a send names, as a server has it; NULL when it has none. */
static struct sim_cached_block *copy_of(struct sim_server *server, struct json_object *json,
					const char *weights)
{
	struct json_object *h, *m, *t;

	json_object_object_get_ex(json, "h", &h);
	json_object_object_get_ex(json, "m", &m);
	json_object_object_get_ex(json, "t", &t);
	for (ptrdiff_t q = 0; q < arrlen(server->blocks); q++)
		if (server->blocks[q].hash == strtoull(json_object_get_string(h), NULL, 16) &&
		    !strcmp(server->blocks[q].cache_namespace, json_object_get_string(m)) &&
		    server->blocks[q].horizon == json_object_get_uint64(t) &&
		    !strcmp(server->blocks[q].weights, weights))
			return &server->blocks[q];
	return NULL;
}

/* A cached block is used for a tenant, at the server that kept it or fetched from there. */
static void check_used(struct sim *sim, struct sim_server *server, const struct sim_cached_block *cached,
		       const char *tenant, uint64_t stamp)
{
	check_withdrawn(sim, server, cached, stamp);
	for (ptrdiff_t i = 0; i < arrlen(sim->purges); i++) {
		const struct sim_purge *sim_clear = &sim->purges[i];

		if (sim->now < sim_clear->after ||
		    (sim_clear->tenant[0] && strcmp(sim_clear->tenant, cached->cache_namespace)) ||
		    (sim_clear->service[0] && strcmp(sim_clear->service, server->service)))
			continue;
		sim->n_checked++;
		if (cached->horizon < sim_clear->made)
			sim_violation(
			    sim,
			    "a part of %s made at tick %llu was used at %s, %lld ms after all before tick %llu was cleared",
			    cached->cache_namespace, (unsigned long long)cached->horizon, server->name,
			    (long long)(sim->now - sim_clear->after), (unsigned long long)sim_clear->made);
	}
	if (strcmp(cached->cache_namespace, tenant))
		for (int w = 0; w < 16; w++)
			if (sim->isolation[w].isolated && sim->now - sim->isolation[w].since > 2000 &&
			    (atoi(tenant + 1) == w || atoi(cached->cache_namespace + 1) == w))
				sim_violation(sim,
					      "%s used a part made by %s, one of them walled off %lld ms ago",
					      tenant, cached->cache_namespace,
					      (long long)(sim->now - sim->isolation[w].since));
}

static int run_reuse(struct sim *sim, struct sim_server *server, struct json_object *json, const char *tenant,
		     uint64_t stamp)
{
	struct json_object *list;
	int have = 0;

	if (!json_object_object_get_ex(json, "reuse", &list))
		return 0;
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct sim_cached_block *cached =
		    copy_of(server, json_object_array_get_idx(list, i), server->weights);

		if (!cached)
			break;
		have++;
		check_used(sim, server, cached, tenant, stamp);
	}
	return have;
}

static void keep(struct sim_server *server, const struct sim_cached_block *cached)
{
	for (ptrdiff_t q = 0; q < arrlen(server->blocks); q++)
		if (server->blocks[q].hash == cached->hash &&
		    !strcmp(server->blocks[q].cache_namespace, cached->cache_namespace)) {
			server->blocks[q] = *cached;
			return;
		}
	arrput(server->blocks, *cached);
}

/* What a send says to fetch, as far as its source answers within the time that the send allows. */
static int run_fetch(struct sim *sim, struct sim_server *server, struct json_object *j, const char *tenant,
		     uint64_t stamp, int have, int *ms)
{
	struct json_object *json, *x, *list;
	struct sim_server *from;
	struct sim_cached_block got[64];
	int n = 0, wait;
	double takes = 0;

	*ms = -1;
	if (!json_object_object_get_ex(j, "fetch", &json))
		return have;
	json_object_object_get_ex(json, "wait_ms", &x);
	wait = json_object_get_int(x);
	json_object_object_get_ex(json, "from", &x);
	from = sim_server_at(sim, json_object_get_string(x));
	json_object_object_get_ex(json, "parts", &list);
	for (size_t i = 0; from && from->up && i < json_object_array_length(list) && n < 64; i++) {
		struct sim_cached_block *cached =
		    copy_of(from, json_object_array_get_idx(list, i), server->weights);

		if (!cached)
			break;
		takes += cached->tokens * 400 / 100000.0 * (from->fetch_slowdown ? from->fetch_slowdown : 1);
		got[n++] = *cached;
	}
	if (!from || from->hangs_fetches || takes > wait) {
		*ms = wait;
		sim->n_failed_fetches++;
		return have;
	}
	*ms = (int)takes;
	for (int i = 0; i < n; i++) {
		check_used(sim, from, &got[i], tenant, stamp);
		keep(server, &got[i]);
	}
	sim->n_fetched += (uint64_t)n;
	return have + n;
}

static void stream_at(struct sim *sim, ptrdiff_t run, int64_t at)
{
	struct sim_event input = {
		.at = at, .kind = SIM_STREAM, .node = sim->runs[run].node, .token = (uint64_t)run
	};

	sim_push_event(sim, input);
}

void sim_break_off(struct sim *sim, int node, uint64_t incarnation, uint64_t token, int status, int never)
{
	struct sim_event input = { .at = sim->now + 1,
				   .kind = SIM_BROKE,
				   .node = node,
				   .incarnation = incarnation,
				   .token = token,
				   .status = status,
				   .step = never };

	sim_push_event(sim, input);
}

/* Runs of a tenant at servers, of routers that live: one that is frozen or dead may be beyond its places. */
static void check_limit(struct sim *sim, int tenant)
{
	int n = 0;

	for (ptrdiff_t i = 0; i < arrlen(sim->runs); i++) {
		const struct sim_run *run = &sim->runs[i];

		n += !run->ended && run->tenant == tenant &&
		     sim->nodes[run->node].incarnation == run->incarnation && sim->nodes[run->node].up &&
		     !sim->nodes[run->node].frozen;
	}
	if (n > sim->peak_running[tenant])
		sim->peak_running[tenant] = n;
	if (sim->tenant_limits[tenant] && n > sim->tenant_limits[tenant])
		sim_violation(sim, "tenant t%d has %d runs at once under a limit of %d", tenant, n,
			      sim->tenant_limits[tenant]);
}

void sim_run_arrives(struct sim *sim, const struct sim_event *input)
{
	struct sim_server *server = &sim->servers[input->server];
	struct json_object *j, *x, *blocks;
	struct sim_request *request;
	struct sim_submission *sim_asking;
	struct sim_run run;
	const char *id, *tenant;
	uint64_t stamp;
	int n, have, own, askings, fresh = 0;

	if (!server->up) {
		sim_break_off(sim, input->node, input->incarnation, input->token, 0, 1);
		return;
	}
	if (sim->nodes[input->node].incarnation == input->incarnation)
		sim_check_router_config(sim, input->node);
	j = json_tokener_parse((char *)input->data);
	json_object_object_get_ex(j, "id", &x);
	id = json_object_get_string(x);
	json_object_object_get_ex(j, "tenant", &x);
	tenant = json_object_get_string(x);
	request = sim_request_with_id(sim, id);
	sim->n_sends++;
	arrput(sim->sends, ((typeof(*sim->sends)){ sim->now, request->send_count > 0 }));
	sim->n_first_sends += request->send_count++ == 0;
	if (server->drain_acked_at && sim->now - server->drain_acked_at > 3000)
		sim_violation(sim, "%s was sent %s, %lld ms after its drain was acknowledged", server->name,
			      id, (long long)(sim->now - server->drain_acked_at));
	json_object_object_get_ex(j, "weights", &x);
	if (server->running >= 8 || server->refuses_requests || server->loading[0] ||
	    strcmp(json_object_get_string(x), server->weights)) {
		sim_break_off(sim, input->node, input->incarnation, input->token, 503, 1);
		json_object_put(j);
		return;
	}
	if (request->execution_count++)
		sim_violation(sim, "%s ran twice", id);
	sim_asking = sim_submission_of_send(sim, id, input->node, input->incarnation, &askings);
	if (!sim_asking)
		sim_violation(sim, "%s ran for a counter where nobody asked it", id);
	else if (sim_asking->refused_at)
		sim_violation(sim, "%s ran %lld ms after its caller was told it was refused", id,
			      (long long)(sim->now - sim_asking->refused_at));
	if (sim->removed_keys && shgeti(sim->removed_keys, request->key) >= 0 &&
	    request->submitted_at - shget(sim->removed_keys, request->key) > 5000)
		sim_violation(sim, "%s ran with a key that was removed %lld ms before", id,
			      (long long)(request->submitted_at - shget(sim->removed_keys, request->key)));
	memset(&run, 0, sizeof run);
	run.node = input->node;
	run.incarnation = input->incarnation;
	run.token = input->token;
	run.server = input->server;
	run.submission = sim_asking && askings == 1 ? sim_asking->token : 0;
	run.began_at = (uint64_t)server->load_done_at;
	run.chunk_count = 3 + (int)(core_hash_string(1, id) % 4);
	snprintf(run.id, sizeof run.id, "%s", id);
	json_object_object_get_ex(j, "x", &x);
	snprintf(run.request_id, sizeof run.request_id, "%s", json_object_get_string(x));
	json_object_object_get_ex(j, "stamp", &x);
	stamp = json_object_get_uint64(x);
	have = run_reuse(sim, server, j, tenant, stamp);
	own = have;
	if (json_object_object_get_ex(j, "reuse", &x) && (size_t)have == json_object_array_length(x))
		have = run_fetch(sim, server, j, tenant, stamp, have, &run.fetch_ms);
	else
		run.fetch_ms = -1;
	run.fetched = have - own;
	json_object_object_get_ex(j, "parts", &blocks);
	n = (int)json_object_array_length(blocks);
	for (int i = 0; i < n; i++) {
		struct json_object *p = json_object_array_get_idx(blocks, (size_t)i), *json, *t;
		struct sim_cached_block cached;
		int tokens;

		json_object_object_get_ex(p, "h", &json);
		json_object_object_get_ex(p, "text", &t);
		tokens = (int)strlen(json_object_get_string(t)) / 4 + 1;
		sim->n_tokens += (uint64_t)tokens;
		if (i < have)
			continue;
		sim->n_prefilled_tokens += (uint64_t)tokens;
		fresh += tokens;
		memset(&cached, 0, sizeof cached);
		cached.hash = strtoull(json_object_get_string(json), NULL, 16);
		snprintf(cached.weights, sizeof cached.weights, "%s", server->weights);
		snprintf(cached.cache_namespace, sizeof cached.cache_namespace, "%s", tenant);
		cached.horizon = stamp;
		cached.tokens = tokens;
		keep(server, &cached);
		for (int q = 0; q < SIM_SERVERS; q++) /* the store gets what was read anew */
			if (sim->servers[q].used && sim->servers[q].is_store && sim->servers[q].up)
				keep(&sim->servers[q], &cached);
	}
	run.tenant = atoi(tenant + 1);
	json_object_put(j);
	server->running++;
	arrput(sim->runs, run);
	check_limit(sim, run.tenant);
	stream_at(sim, arrlen(sim->runs) - 1,
		  sim->now + 20 + fresh * sim->prefill_ms_per_token + (run.fetch_ms > 0 ? run.fetch_ms : 0));
}

void sim_run_ends(struct sim *sim, struct sim_run *run)
{
	run->ended = 1;
	sim->servers[run->server].running--;
}

void sim_run_streams(struct sim *sim, const struct sim_event *input)
{
	struct sim_run *run = &sim->runs[input->token];
	struct sim_node *node = &sim->nodes[run->node];
	struct router_event ev;
	char line[300];

	if (run->ended)
		return;
	if (!sim->servers[run->server].up) {
		sim_run_ends(sim, run);
		sim_break_off(sim, run->node, run->incarnation, run->token, 0, 0);
		return;
	}
	if (!node->up || node->incarnation != run->incarnation) {
		sim_run_ends(sim, run);
		return;
	}
	if (node->frozen) {
		stream_at(sim, (ptrdiff_t)input->token, sim->now + 20);
		return;
	}
	memset(&ev, 0, sizeof ev);
	ev.kind = ROUTER_EVENT_STREAM_CHUNK;
	ev.args.stream_chunk.token = run->token;
	ev.args.stream_chunk.text = line;
	if (run->next_chunk < run->chunk_count)
		snprintf(line, sizeof line, "{\"x\":\"%s\",\"n\":%d,\"t\":\"%s#%d\"}", run->request_id,
			 run->next_chunk, run->id, run->next_chunk);
	else if (run->fetch_ms >= 0)
		snprintf(line, sizeof line,
			 "{\"x\":\"%s\",\"n\":%d,\"end\":true,\"fetch_ms\":%d,\"fetched\":%d}",
			 run->request_id, run->next_chunk, run->fetch_ms, run->fetched);
	else
		snprintf(line, sizeof line, "{\"x\":\"%s\",\"n\":%d,\"end\":true}", run->request_id,
			 run->next_chunk);
	if (sim->servers[run->server].stream_fault == 1 && run->next_chunk == 1)
		line[6] = line[6] == '0' ? '1' : '0';
	if (sim->servers[run->server].stream_fault == 3 && run->next_chunk == 2) {
		sim_run_ends(sim, run);
		sim_break_off(sim, run->node, run->incarnation, run->token, 200, 0);
		return;
	}
	if (run->next_chunk == 1 && (sim->servers[run->server].stream_fault == 2 ||
				     (sim->servers[run->server].stream_fault == 4 && !run->is_resend++)))
		run->next_chunk += sim->servers[run->server].stream_fault == 2 ? 1 : -1;
	if (run->next_chunk++ == run->chunk_count)
		sim_run_ends(sim, run);
	else
		stream_at(sim, (ptrdiff_t)input->token,
			  sim->now + 10 + (int64_t)sim_random_below(sim, 10) +
			      sim->servers[run->server].chunk_interval_ms);
	sim_router_event(sim, run->node, &ev);
}

int sim_server(struct sim *sim, const char *name, const char *service, const char *weights)
{
	for (int i = 0; i < SIM_SERVERS; i++)
		if (!sim->servers[i].used) {
			struct sim_server *server = &sim->servers[i];

			server->used = server->up = 1;
			snprintf(server->name, sizeof server->name, "%s", name);
			snprintf(server->service, sizeof server->service, "%s", service);
			snprintf(server->weights, sizeof server->weights, "%s", weights);
			snprintf(server->addr, sizeof server->addr, "127.0.3.%d:8000", i + 1);
			return i;
		}
	return -1;
}

int sim_store(struct sim *sim)
{
	int v = sim_server(sim, "store", "", "");

	sim->servers[v].is_store = 1;
	return v;
}
