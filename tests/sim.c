#include "sim.h"

#include <apr_strings.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

static uint64_t rnd(struct sim *sim, uint64_t n)
{
	return n ? core_random(&sim->rng) % n : 0;
}

void sim_violation(struct sim *sim, const char *fmt, ...)
{
	va_list ap;
	int k;

	if (sim->violation[0])
		return;
	k = snprintf(sim->violation, sizeof sim->violation,
		     "seed %llu at %lld ms: ", (unsigned long long)sim->seed, (long long)sim->now);
	va_start(ap, fmt);
	vsnprintf(sim->violation + k, sizeof sim->violation - (size_t)k, fmt, ap);
	va_end(ap);
}

/* ---- the queue of events ----------------------------------------------------- */

static int before(const struct sim_event *a, const struct sim_event *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void push(struct sim *sim, struct sim_event input)
{
	ptrdiff_t i;

	input.seq = ++sim->seq;
	arrput(sim->events, input);
	for (i = arrlen(sim->events) - 1; i && before(&sim->events[i], &sim->events[(i - 1) / 2]);
	     i = (i - 1) / 2) {
		struct sim_event t = sim->events[i];

		sim->events[i] = sim->events[(i - 1) / 2];
		sim->events[(i - 1) / 2] = t;
	}
}

static struct sim_event pop(struct sim *sim)
{
	struct sim_event top = sim->events[0], lastv = arrpop(sim->events);
	ptrdiff_t n = arrlen(sim->events), i = 0;

	if (!n)
		return top;
	sim->events[0] = lastv;
	for (;;) {
		ptrdiff_t c = 2 * i + 1;
		struct sim_event t;

		if (c >= n)
			break;
		if (c + 1 < n && before(&sim->events[c + 1], &sim->events[c]))
			c++;
		if (!before(&sim->events[c], &sim->events[i]))
			break;
		t = sim->events[i];
		sim->events[i] = sim->events[c];
		sim->events[c] = t;
		i = c;
	}
	return top;
}

static void ev_free(struct sim_event *input)
{
	free(input->data);
}

/* ---- disks ---------------------------------------------------------------------- */

static void entries_cut(struct sim_disk_shard *disk, uint64_t from)
{
	while (arrlen(disk->entries) && disk->first + (uint64_t)arrlen(disk->entries) - 1 >= from) {
		struct sim_entry entry = arrpop(disk->entries);

		free(entry.data);
	}
}

static uint8_t *bytes_dup(const uint8_t *d, size_t n)
{
	uint8_t *c = malloc(n + 1);

	memcpy(c, d, n);
	return c;
}

static void disk_write(struct sim_disk *d, const struct persist *w)
{
	struct sim_disk_shard *p = &d->shards[w->shard];

	p->term = w->term;
	p->vote = w->vote;
	if (w->truncate_from)
		entries_cut(p, w->truncate_from);
	if (w->has_snapshot) {
		free(p->data);
		free(p->members);
		p->data = bytes_dup(w->data, w->data_len);
		p->data_len = w->data_len;
		p->members = bytes_dup(w->members, w->members_len);
		p->members_len = w->members_len;
		p->base = w->snapshot_index;
		p->base_term = w->snapshot_term;
		while (arrlen(p->entries) && p->first <= w->drop_upto) {
			free(p->entries[0].data);
			arrdel(p->entries, 0);
			p->first++;
		}
		if (!arrlen(p->entries))
			p->first = w->drop_upto + 1;
	}
	for (size_t i = 0; i < w->entry_count; i++) {
		struct sim_entry e = { w->entries[i].term, w->entries[i].kind, w->entries[i].len,
				       bytes_dup(w->entries[i].data, w->entries[i].len) };

		entries_cut(p, w->entries[i].index);
		if (!arrlen(p->entries))
			p->first = w->entries[i].index;
		arrput(p->entries, e);
	}
}

static void disk_wipe(struct sim_disk *d)
{
	for (int i = 0; i < SHARD_COUNT; i++) {
		entries_cut(&d->shards[i], 0);
		arrfree(d->shards[i].entries);
		free(d->shards[i].data);
		free(d->shards[i].members);
	}
	memset(d, 0, sizeof *d);
}

static struct persist *persist_copy(const struct persist *w, apr_pool_t *pool)
{
	struct persist *c = apr_pmemdup(pool, w, sizeof *w);

	c->entries = apr_palloc(pool, (w->entry_count + 1) * sizeof *c->entries);
	for (size_t i = 0; i < w->entry_count; i++) {
		c->entries[i] = w->entries[i];
		c->entries[i].data = apr_pmemdup(pool, w->entries[i].data, w->entries[i].len + 1);
	}
	if (w->has_snapshot) {
		c->data = apr_pmemdup(pool, w->data, w->data_len + 1);
		c->members = apr_pmemdup(pool, w->members, w->members_len + 1);
	}
	return c;
}

static void disk_queue(struct sim *sim, struct sim_node *node, const struct persist *w)
{
	struct sim_write sim_write;

	apr_pool_create(&sim_write.pool, sim->pool);
	sim_write.persist = persist_copy(w, sim_write.pool);
	arrput(node->writes, sim_write);
}

/* ---- servers ------------------------------------------------------------------------ */

static struct sim_server *server_at(struct sim *sim, const char *addr)
{
	for (int i = 0; i < SIM_SERVERS; i++)
		if (sim->servers[i].used && !strcmp(sim->servers[i].addr, addr))
			return &sim->servers[i];
	return NULL;
}

static void server_report(struct sim_server *server, char **body)
{
	size_t n = 256 + 200 * (size_t)arrlen(server->blocks), k;

	if (server->odd_report) {
		*body = malloc(200000);
		k = (size_t)sprintf(*body,
				    server->odd_report == 1 ? "{\"weights\":\"w1"
				    : server->odd_report == 2
					? "[1,2]"
					: "{\"weights\":\"w1\",\"loading\":\"\",\"slots\":%s,\"parts\":[",
				    server->odd_report == 3 ? "99999999" : "8");
		server->serial++;
		for (int i = 0; i < 1000 && server->odd_report > 2; i++)
			k += (size_t)sprintf(
			    *body + k,
			    "%s{\"h\":\"%x\",\"w\":\"odd-%d-%d\",\"m\":\"nobody-%d-%d\",\"t\":1,\"n\":1}",
			    i ? "," : "", i, i, server->serial, i, server->serial);
		if (server->odd_report > 2)
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

static void server_order(struct sim *sim, struct sim_server *server, const char *body)
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
		struct sim_event input = { .at = sim->now + (sim->load_ms ? sim->load_ms
									  : 1500 + (int64_t)rnd(sim, 1000)),
					   .kind = SIM_LOADED,
					   .server = (int)(server - sim->servers) };

		snprintf(server->loading, sizeof server->loading, "%s", json_object_get_string(x));
		server->load_done_at = input.at;
		push(sim, input);
	}
	if (!server->hoard && json_object_object_get_ex(j, "drop", &json))
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

/* ---- invariants ------------------------------------------------------------------------ */

static void check_value(struct sim *sim, const uint8_t *d, size_t n)
{
	struct Nl__Operation *operation = nl__operation__unpack(NULL, n, d);

	if (operation && operation->body_case == NL__OPERATION__BODY_VALUE &&
	    operation->value->feed < SHARD_COUNT &&
	    operation->value->index > sim->value_index[operation->value->feed]) {
		struct sim_value sim_value = { operation->value->tick,
					       purge_subject(operation->value->purge) };

		sim->value_index[operation->value->feed] = operation->value->index;
		if (arrlen(sim->value) && arrlast(sim->value).tick >= sim_value.tick)
			sim_violation(sim, "tick %llu was published after %llu",
				      (unsigned long long)sim_value.tick,
				      (unsigned long long)arrlast(sim->value).tick);
		arrput(sim->value, sim_value);
	}
	if (operation)
		nl__operation__free_unpacked(operation, NULL);
}

static int disk_holds(const struct sim_disk_shard *d, uint64_t x, uint64_t hash)
{
	const struct sim_entry *entry = d->entries;

	if (d->base >= x)
		return 1;
	if (!arrlen(entry) || x < d->first || x - d->first >= (uint64_t)arrlen(entry))
		return 0;
	entry += x - d->first;
	return core_hash(entry->term * 4 + entry->kind, entry->data, entry->len) == hash;
}

/* Whether a disk was lost so short a time ago that acknowledgements of what it held may still be under way.
 */
static int lost_just_now(const struct sim *sim, const struct sim_node *node)
{
	return node->lost_at &&
	       sim->now - node->lost_at <= sim->delay_ms + sim->jitter_ms + sim->zone_delay_ms;
}

/* On how many disks an entry is, whatever their machines think of it. */
static int copies(const struct sim *sim, int part, uint64_t x, uint64_t hash)
{
	int n = 0;

	for (int i = 0; i < SIM_CONTROLLERS; i++)
		n += disk_holds(&sim->nodes[i].disk.shards[part], x, hash) ||
		     (lost_just_now(sim, &sim->nodes[i]) &&
		      disk_holds(&sim->nodes[i].lost_disk.shards[part], x, hash));
	return n;
}

/* Committed entries agree everywhere, for ever, and are on two disks at the least when the first node knows
 * of it. */
static void check_logs(struct sim *sim, struct sim_node *n)
{
	for (int i = 0; i < SHARD_COUNT; i++) {
		struct raft *raft = &n->controller->shards[i];

		if (n->checked[i] < raft->log.base_index)
			n->checked[i] = raft->log.base_index;
		while (n->checked[i] < raft->log.commit_index) {
			uint64_t x = ++n->checked[i];
			struct raft_entry *entry = &raft->log.entries[x - raft->log.base_index - 1];
			uint64_t h = core_hash(entry->term * 4 + entry->kind, entry->data, entry->len);

			if ((uint64_t)arrlen(sim->entry_hashes[i]) >= x) {
				if (sim->entry_hashes[i][x - 1] != h)
					sim_violation(sim, "part %d entry %llu differs", i,
						      (unsigned long long)x);
			} else if ((uint64_t)arrlen(sim->entry_hashes[i]) == x - 1) {
				arrput(sim->entry_hashes[i], h);
				if (!sim->recovered && copies(sim, i, x, h) < 2)
					sim_violation(
					    sim, "part %d entry %llu is committed, and synced on %d disks", i,
					    (unsigned long long)x, copies(sim, i, x, h));
				if (i == SHARD_PURGE && entry->kind == RAFT_ENTRY_OPERATION)
					check_value(sim, entry->data, entry->len);
			} else {
				sim_violation(sim, "part %d entry %llu was committed unseen", i,
					      (unsigned long long)x);
			}
		}
	}
}

static int64_t local(const struct sim *sim, const struct sim_node *node)
{
	return sim->now + node->clock_skew_ms;
}

static void check_owners(struct sim *sim)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		int who = -1;

		for (int k = 0; k < SIM_CONTROLLERS; k++)
			if (sim->nodes[k].used && sim->nodes[k].up && sim->nodes[k].controller &&
			    raft_has_lease(&sim->nodes[k].controller->shards[i],
					   local(sim, &sim->nodes[k]))) {
				if (who >= 0)
					sim_violation(sim, "part %u has two licensed owners, %d and %d", i,
						      who, k);
				who = k;
			}
	}
}

/* The slow plain model of the view: every value at or below the horizon is known, by its subject. */
static void check_relay(struct sim *sim, int node, struct relay *relay)
{
	for (ptrdiff_t i = arrlen(sim->value) - 1; i >= 0 && i > arrlen(sim->value) - 40; i--) {
		struct purge_view_row *row = relay->view.subjects;
		ptrdiff_t k;

		if (sim->value[i].tick > relay->knowledge.horizon)
			continue;
		k = row ? hmgeti(row, sim->value[i].key) : -1;
		if (k < 0 || row[k].value->tick < sim->value[i].tick)
			sim_violation(sim, "node %d has horizon %llu but not the value at %llu", node,
				      (unsigned long long)relay->knowledge.horizon,
				      (unsigned long long)sim->value[i].tick);
	}
}

/* Whoever sends has every edition that was acknowledged two seconds before, whatever it thinks of its own
 * age. */
static void check_in_force(struct sim *sim, int i)
{
	struct sim_node *node = &sim->nodes[i];

	for (ptrdiff_t k = arrlen(sim->acks) - 1; node->router && k >= 0 && k > arrlen(sim->acks) - 20; k--)
		if (sim->now - sim->acks[k].at > 2000 &&
		    node->router->config.watch.table.revision < sim->acks[k].revision)
			sim_violation(
			    sim, "counter %d serves with edition %llu, %lld ms after %llu was acknowledged",
			    i, (unsigned long long)node->router->config.watch.table.revision,
			    (long long)(sim->now - sim->acks[k].at),
			    (unsigned long long)sim->acks[k].revision);
}

/* A machine never goes back, across its restarts too; one that knows none yet takes nothing. */
static void check_revision(struct sim *sim, int i, uint64_t revision)
{
	if (revision && revision < sim->nodes[i].revision)
		sim_violation(sim, "node %d went back from edition %llu to %llu", i,
			      (unsigned long long)sim->nodes[i].revision, (unsigned long long)revision);
	if (revision > sim->nodes[i].revision)
		sim->nodes[i].revision = revision;
}

/* Each request that was taken has ended once or is under way; places at servers and in lines are held by
 * these alone, and what waits was placed by the table in force. */
static void check_requests(struct sim *sim, int i)
{
	const struct router *router = sim->nodes[i].router;
	long own = 0, waiting = 0, running = 0, placed = 0, in_lines = 0, in_places = 0, tokens = 0;

	if (!router_balanced(router))
		sim_violation(sim, "counter %d has lost a request, or ended one twice", i);
	for (ptrdiff_t k = 0; k < arrlen(router->requests.all); k++) {
		const struct client_request *request = router->requests.all[k];

		waiting += request->state == REQUEST_WAITING;
		running += request->state != REQUEST_WAITING;
		placed += request->attempt.server_index >= 0;
		tokens += 1 + (request->attempt.call_token != 0) + (request->claim.token != 0);
		if (request->is_forwarded && request->state == REQUEST_WAITING &&
		    request->route.revision != router->config.route_table->revision)
			sim_violation(sim, "counter %d holds %s by an old table", i,
				      request->client.request_id);
	}
	for (ptrdiff_t k = 0; k < arrlen(router->queueing.queues); k++) {
		in_lines += router->queueing.queues[k].length;
		in_places += router->queueing.queues[k].running;
	}
	for (ptrdiff_t k = 0; k < arrlen(router->servers.states); k++)
		own += router->servers.states[k].own_running;
	if (tokens != hmlen(router->requests.by_token))
		sim_violation(sim, "counter %d finds requests by %ld tokens, not %ld", i,
			      (long)hmlen(router->requests.by_token), tokens);
	if (in_lines != waiting || in_places != running || own != placed)
		sim_violation(
		    sim, "counter %d counts %ld in lines of %ld, %ld in places of %ld, %ld at servers of %ld",
		    i, in_lines, waiting, in_places, running, own, placed);
}

static void check_router(struct sim *sim, int i)
{
	struct sim_node *node = &sim->nodes[i];

	check_requests(sim, i);

	check_relay(sim, i, &node->router->relay);
	check_revision(sim, i, node->router->config.watch.table.revision);
}

static void check_node(struct sim *sim, int i)
{
	struct sim_node *node = &sim->nodes[i];

	if (node->router)
		check_router(sim, i);
	if (!node->controller)
		return;
	check_logs(sim, node);
	check_owners(sim);
	check_relay(sim, i, &node->controller->relay);
	check_revision(sim, i, node->controller->config_watch.table.revision);
	if (!operator_calls_are_balanced(node->controller))
		sim_violation(
		    sim,
		    "controller %d: operators' calls: %llu read, %llu answered, %llu refused, %llu unknown, %llu gone, %llu open",
		    i, (unsigned long long)node->controller->operators.calls.read,
		    (unsigned long long)node->controller->operators.calls.answered,
		    (unsigned long long)node->controller->operators.calls.rejected,
		    (unsigned long long)node->controller->operators.calls.unknown,
		    (unsigned long long)node->controller->operators.calls.disconnected,
		    (unsigned long long)operator_calls_open(node->controller));
}

/* ---- callers and runs ------------------------------------------------------------------- */

static struct sim_request *request_with_id(struct sim *sim, const char *id)
{
	for (ptrdiff_t i = arrlen(sim->requests) - 1; i >= 0; i--)
		if (!strcmp(sim->requests[i].id, id))
			return &sim->requests[i];
	return NULL;
}

static struct sim_request *request_with_token(struct sim *sim, uint64_t token)
{
	for (ptrdiff_t i = arrlen(sim->requests) - 1; i >= 0; i--)
		if (sim->requests[i].token == token)
			return &sim->requests[i];
	return NULL;
}

char *sim_key(int tenant, char buf[65])
{
	memset(buf, 'a' + tenant, 64);
	buf[64] = 0;
	return buf;
}

static void told(struct sim *s, struct sim_request *x, int how)
{
	x->outcome = how;
	x->answered_at = s->now;
	for (ptrdiff_t i = arrlen(s->submissions) - 1; i >= 0 && how == SIM_REFUSED; i--)
		if (s->submissions[i].token == x->token) {
			s->submissions[i].refused_at = s->now;
			for (ptrdiff_t k = 0; k < arrlen(s->runs); k++)
				if (s->runs[k].node == s->submissions[i].node &&
				    s->runs[k].incarnation == s->submissions[i].incarnation &&
				    s->runs[k].submission == x->token)
					sim_violation(s, "%s ran, and its caller was told it was refused",
						      x->id);
			break;
		}
	x->token = 0;
	s->n_complete += how == SIM_COMPLETE;
	s->n_refused += how == SIM_REFUSED;
	s->n_unknown += how >= SIM_UNKNOWN;
}

/* The asking that a send of this id by this life of a counter is of: one that was not refused, if there is
 * any. Of two that were not, the send does not tell. */
static struct sim_submission *asking_of(struct sim *sim, const char *id, int node, uint64_t incarnation,
					int *n)
{
	struct sim_submission *best = NULL;

	*n = 0;
	for (ptrdiff_t i = 0; i < arrlen(sim->submissions); i++) {
		struct sim_submission *sim_asking = &sim->submissions[i];

		if (sim_asking->node != node || sim_asking->incarnation != incarnation ||
		    strcmp(sim_asking->id, id))
			continue;
		*n += !sim_asking->refused_at;
		if (!best || !sim_asking->refused_at)
			best = sim_asking;
	}
	return best;
}

/* A caller hears one end of each asking. */
static void receive_end(struct sim *sim, uint64_t token)
{
	for (ptrdiff_t i = arrlen(sim->submissions) - 1; i >= 0; i--)
		if (sim->submissions[i].token == token) {
			if (sim->submissions[i].ended)
				sim_violation(sim, "%s was told its end twice", sim->submissions[i].id);
			sim->submissions[i].ended = 1;
			return;
		}
}

static void receive_answer(struct sim *sim, uint64_t token, int status, int retry_ms, const char *body)
{
	struct sim_request *request = request_with_token(sim, token);

	receive_end(sim, token);
	if (!request)
		return;
	request->retry_ms = retry_ms;
	if (request->next)
		sim_violation(sim, "%s was answered %d in the middle of its stream", request->id, status);
	told(sim, request,
	     strstr(body, "\"refused\"")   ? SIM_REFUSED
	     : strstr(body, "\"claimed\"") ? SIM_LOST
					   : SIM_UNKNOWN);
}

static void receive_piece(struct sim *sim, uint64_t token, const char *body, size_t len, int end, int ok)
{
	struct sim_request *request = request_with_token(sim, token);
	struct json_object *json, *v;
	char *text, expected[100];

	if (end)
		receive_end(sim, token);
	if (!request)
		return;
	if (!end && sim->removed_keys && shgeti(sim->removed_keys, request->key) >= 0 &&
	    sim->now - shget(sim->removed_keys, request->key) > 5000)
		sim_violation(sim, "%s heard a piece with a key that was removed %lld ms before", request->id,
			      (long long)(sim->now - shget(sim->removed_keys, request->key)));
	text = malloc(len + 1);
	memcpy(text, body, len);
	text[len] = 0;
	json = json_tokener_parse(text);
	if (end && !ok) {
		told(sim, request, SIM_UNKNOWN);
	} else if (end) {
		int n = json_object_object_get_ex(json, "pieces", &v) ? json_object_get_int(v) : -1;

		if (n != request->next || n != 3 + (int)(core_hash_string(1, request->id) % 4))
			sim_violation(sim, "%s was told whole after %d pieces", request->id, request->next);
		told(sim, request, SIM_COMPLETE);
	} else {
		snprintf(expected, sizeof expected, "%s#%d", request->id, request->next);
		if (!json_object_object_get_ex(json, "text", &v) ||
		    strcmp(json_object_get_string(v), expected))
			sim_violation(sim, "%s heard another piece than %s", request->id, expected);
		if (!request->next++)
			request->first_piece_at = sim->now;
	}
	json_object_put(json);
	free(text);
}

void sim_submit(struct sim *sim, int node, const char *id, int tenant, const char *route, int pick)
{
	struct sim_request *x = request_with_id(sim, id), request;
	struct sim_event input = { .at = sim->now,
				   .kind = SIM_REQUEST,
				   .node = node,
				   .incarnation = sim->nodes[node].incarnation,
				   .token = ++sim->token };
	struct sim_submission sim_asking;
	char body[600];

	if (!x) {
		memset(&request, 0, sizeof request);
		snprintf(request.id, sizeof request.id, "%s", id);
		arrput(sim->requests, request);
		x = &arrlast(sim->requests);
	}
	x->tenant = tenant;
	x->route = route;
	x->pick = pick;
	x->node = node;
	x->next = 0;
	x->outcome = SIM_OPEN;
	x->token = input.token;
	x->submissions++;
	x->tries = 0; /* a caller's own asking anew is no resend */
	x->submitted_at = sim->now;
	memset(&sim_asking, 0, sizeof sim_asking);
	snprintf(sim_asking.id, sizeof sim_asking.id, "%s", id);
	sim_asking.node = node;
	sim_asking.incarnation = input.incarnation;
	sim_asking.token = input.token;
	arrput(sim->submissions, sim_asking);
	sim_key(tenant, x->key);
	snprintf(
	    body, sizeof body,
	    "{\"lane\":\"%s\",\"id\":\"%s\",\"limit_ms\":%d,\"parts\":[\"the part of all of %s, quite long as such parts are\",\"the part of tenant %d\",\"matter %d of that tenant, with what was written about it and the rules that apply to it\"],\"tail\":\"%s\"}",
	    route, id, sim->request_timeout_ms, route, tenant, pick, id);
	input.data = (uint8_t *)strdup(body);
	push(sim, input);
}

void sim_disconnect(struct sim *sim, const char *id)
{
	struct sim_request *request = request_with_id(sim, id);
	struct sim_event input = { .at = sim->now,
				   .kind = SIM_DISCONNECT,
				   .node = request->node,
				   .incarnation = sim->nodes[request->node].incarnation,
				   .token = request->token };

	told(sim, request, SIM_LOST);
	request->disconnected = 1;
	push(sim, input);
}

int sim_is_open(struct sim *sim, const char *id)
{
	return request_with_id(sim, id) && request_with_id(sim, id)->token;
}
void sim_forget(struct sim *sim, const char *id)
{
	told(sim, request_with_id(sim, id), SIM_LOST);
}

int sim_same_incarnation(const struct sim *sim, const char *id)
{
	for (ptrdiff_t i = 0; i < arrlen(sim->submissions); i++)
		if (!strcmp(sim->submissions[i].id, id))
			return sim->nodes[sim->submissions[i].node].up &&
			       sim->nodes[sim->submissions[i].node].incarnation ==
				   sim->submissions[i].incarnation;
	return 0;
}

void sim_stop(struct sim *sim, int node)
{
	struct sim_event input = {
		.at = sim->now, .kind = SIM_STOP, .node = node, .incarnation = sim->nodes[node].incarnation
	};

	push(sim, input);
}

/* The counter that served it is gone: so is the connection. */
static void callers_lose(struct sim *sim, int node)
{
	for (ptrdiff_t i = 0; i < arrlen(sim->requests); i++)
		if (sim->requests[i].token && sim->requests[i].node == node)
			told(sim, &sim->requests[i], SIM_LOST);
}

/* A send must not name a part that was withdrawn at a tick its counter knew of. */
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

/* A kept part is used for a tenant, at the server that kept it or fetched from there. */
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
	from = server_at(sim, json_object_get_string(x));
	json_object_object_get_ex(json, "parts", &list);
	for (size_t i = 0; from && from->up && i < json_object_array_length(list) && n < 64; i++) {
		struct sim_cached_block *cached =
		    copy_of(from, json_object_array_get_idx(list, i), server->weights);

		if (!cached)
			break;
		takes += cached->tokens * 400 / 100000.0 * (from->slow_link ? from->slow_link : 1);
		got[n++] = *cached;
	}
	if (!from || from->hang || takes > wait) {
		*ms = wait;
		sim->n_vain++;
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

	push(sim, input);
}

static void broke(struct sim *sim, int node, uint64_t incarnation, uint64_t token, int status, int never)
{
	struct sim_event input = { .at = sim->now + 1,
				   .kind = SIM_BROKE,
				   .node = node,
				   .incarnation = incarnation,
				   .token = token,
				   .status = status,
				   .step = never };

	push(sim, input);
}

/* Runs of a tenant at servers, of counters that live: one that is frozen or dead may be beyond its places. */
static void check_limit(struct sim *sim, int tenant)
{
	int n = 0;

	for (ptrdiff_t i = 0; i < arrlen(sim->runs); i++) {
		const struct sim_run *run = &sim->runs[i];

		n += !run->ended && run->tenant == tenant &&
		     sim->nodes[run->node].incarnation == run->incarnation && sim->nodes[run->node].up &&
		     !sim->nodes[run->node].frozen;
	}
	if (n > sim->most_runs[tenant])
		sim->most_runs[tenant] = n;
	if (sim->tenant_limits[tenant] && n > sim->tenant_limits[tenant])
		sim_violation(sim, "tenant t%d has %d runs at once under a limit of %d", tenant, n,
			      sim->tenant_limits[tenant]);
}

/* A send reaches a server. */
static void run_arrives(struct sim *sim, const struct sim_event *input)
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
		broke(sim, input->node, input->incarnation, input->token, 0, 1);
		return;
	}
	if (sim->nodes[input->node].incarnation == input->incarnation)
		check_in_force(sim, input->node);
	j = json_tokener_parse((char *)input->data);
	json_object_object_get_ex(j, "id", &x);
	id = json_object_get_string(x);
	json_object_object_get_ex(j, "tenant", &x);
	tenant = json_object_get_string(x);
	request = request_with_id(sim, id);
	sim->n_sends++;
	arrput(sim->sends, ((typeof(*sim->sends)){ sim->now, request->tries > 0 }));
	sim->n_firsts += request->tries++ == 0;
	if (server->departed && sim->now - server->departed > 3000)
		sim_violation(sim, "%s was sent %s, %lld ms after its drain was acknowledged", server->name,
			      id, (long long)(sim->now - server->departed));
	json_object_object_get_ex(j, "weights", &x);
	if (server->running >= 8 || server->refuse || server->loading[0] ||
	    strcmp(json_object_get_string(x), server->weights)) {
		broke(sim, input->node, input->incarnation, input->token, 503, 1);
		json_object_put(j);
		return;
	}
	if (request->began++)
		sim_violation(sim, "%s ran twice", id);
	sim_asking = asking_of(sim, id, input->node, input->incarnation, &askings);
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
	run.pieces = 3 + (int)(core_hash_string(1, id) % 4);
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
		sim->n_fresh += (uint64_t)tokens;
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

static void run_over(struct sim *sim, struct sim_run *run)
{
	run->ended = 1;
	sim->servers[run->server].running--;
}

static void router_do(struct sim *sim, int i, const struct router_event *input);

/* The next piece of a run leaves its server. */
static void run_streams(struct sim *sim, const struct sim_event *input)
{
	struct sim_run *run = &sim->runs[input->token];
	struct sim_node *node = &sim->nodes[run->node];
	struct router_event ev;
	char line[300];

	if (run->ended)
		return;
	if (!sim->servers[run->server].up) {
		run_over(sim, run);
		broke(sim, run->node, run->incarnation, run->token, 0, 0);
		return;
	}
	if (!node->up || node->incarnation != run->incarnation) {
		run_over(sim, run);
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
	if (run->next < run->pieces)
		snprintf(line, sizeof line, "{\"x\":\"%s\",\"n\":%d,\"t\":\"%s#%d\"}", run->request_id,
			 run->next, run->id, run->next);
	else if (run->fetch_ms >= 0)
		snprintf(line, sizeof line,
			 "{\"x\":\"%s\",\"n\":%d,\"end\":true,\"fetch_ms\":%d,\"fetched\":%d}",
			 run->request_id, run->next, run->fetch_ms, run->fetched);
	else
		snprintf(line, sizeof line, "{\"x\":\"%s\",\"n\":%d,\"end\":true}", run->request_id,
			 run->next);
	if (sim->servers[run->server].bad == 1 && run->next == 1)
		line[6] = line[6] == '0' ? '1' : '0';
	if (sim->servers[run->server].bad == 3 && run->next == 2) {
		run_over(sim, run);
		broke(sim, run->node, run->incarnation, run->token, 200, 0);
		return;
	}
	if (run->next == 1 &&
	    (sim->servers[run->server].bad == 2 || (sim->servers[run->server].bad == 4 && !run->is_resend++)))
		run->next += sim->servers[run->server].bad == 2 ? 1 : -1;
	if (run->next++ == run->pieces)
		run_over(sim, run);
	else
		stream_at(sim, (ptrdiff_t)input->token,
			  sim->now + 10 + (int64_t)rnd(sim, 10) + sim->servers[run->server].slow);
	router_do(sim, run->node, &ev);
}

/* ---- the list of servers, and servers that take orders as the platform's do ------------ */

static struct sim_instance *instance_at(struct sim *sim, uint64_t addr)
{
	for (ptrdiff_t i = arrlen(sim->instance_list.instances) - 1; i >= 0; i--)
		if (sim->instance_list.instances[i].up &&
		    core_parse_addr(sim->instance_list.instances[i].addr) == addr)
			return &sim->instance_list.instances[i];
	return NULL;
}

int sim_instance(struct sim *sim, const char *service, const char *zone, const char *weights)
{
	struct sim_instance instance;
	int n = (int)arrlen(sim->instance_list.instances);

	memset(&instance, 0, sizeof instance);
	instance.up = 1;
	snprintf(instance.name, sizeof instance.name, "i-%04x", n);
	snprintf(instance.service, sizeof instance.service, "%s", service);
	snprintf(instance.zone, sizeof instance.zone, "%s", zone);
	snprintf(instance.weights, sizeof instance.weights, "%s", weights);
	snprintf(instance.previous_weights, sizeof instance.previous_weights, "%s", weights);
	snprintf(instance.addr, sizeof instance.addr, "127.1.%d.%d:8000", n / 200, n % 200 + 1);
	instance.started_at = sim->now;
	arrput(sim->instance_list.instances, instance);
	return n;
}

void sim_instance_drain(struct sim *sim, int i)
{
	sim->instance_list.instances[i].draining = 1;
	sim->instance_list.instances[i].drained_at = sim->now;
}

void sim_instance_end(struct sim *sim, int i, int64_t visible_ms)
{
	sim->instance_list.instances[i].up = 0;
	sim->instance_list.instances[i].ended_at = sim->now + visible_ms;
}

/* What the list shows at a moment that is past. */
static void list_pack(struct sim *sim, int64_t at, struct sim_event *input)
{
	struct Nl__ConfigSyncReply reply = NL__CONFIG_SYNC_REPLY__INIT;
	struct Nl__Instance *x = calloc((size_t)arrlen(sim->instance_list.instances) + 1, sizeof *x);

	reply.instances = calloc((size_t)arrlen(sim->instance_list.instances) + 1, sizeof *reply.instances);
	for (ptrdiff_t i = 0; i < arrlen(sim->instance_list.instances); i++) {
		struct sim_instance *instance = &sim->instance_list.instances[i];

		if (instance->started_at > at || (instance->ended_at && instance->ended_at <= at))
			continue;
		nl__instance__init(&x[i]);
		x[i].server = instance->name;
		x[i].service = instance->service;
		x[i].addr = instance->addr;
		x[i].zone = instance->zone;
		x[i].slots = sim->instance_list.slots ? (uint32_t)sim->instance_list.slots : 128;
		x[i].state = instance->draining && instance->drained_at <= at;
		x[i].weights = instance->changed_at > at ? instance->previous_weights : instance->weights;
		reply.instances[reply.n_instances++] = &x[i];
	}
	input->data_len = nl__config_sync_reply__get_packed_size(&reply);
	input->data = malloc(input->data_len + 1);
	nl__config_sync_reply__pack(&reply, input->data);
	free(reply.instances);
	free(x);
}

static void list_call(struct sim *sim, int i, uint64_t token)
{
	struct sim_node *node = &sim->nodes[i];
	struct sim_event input = { .at = sim->now + 2 + sim->instance_list.call_ms,
				   .kind = SIM_SERVERS_LISTED,
				   .node = i,
				   .incarnation = node->incarnation,
				   .token = token,
				   .status = 1 };
	int64_t *ring = sim->instance_list.calls;
	int many = 3 * sim->bounds.list_calls_millihertz / 3000 + 3;

	if (sim->instance_list.n_list >= (uint64_t)many && many < 64 &&
	    sim->now - ring[(sim->instance_list.n_list - (uint64_t)many) % 64] < 2900)
		sim_violation(
		    sim, "%d calls to the list in %lld ms", many,
		    (long long)(sim->now - ring[(sim->instance_list.n_list - (uint64_t)many) % 64]));
	ring[sim->instance_list.n_list++ % 64] = sim->now;
	if (node->partition || sim->now < sim->instance_list.away_until ||
	    rnd(sim, 1000) < (uint64_t)sim->instance_list.refuse) {
		input.status = 0;
		input.at += node->partition ? 1000 : 0;
	}
	list_pack(sim, sim->now - sim->instance_list.lag_ms, &input);
	push(sim, input);
}

/* A report dates from some hundred ms ago. */
static void instance_report(struct sim *sim, int i, const struct command *command)
{
	struct sim_node *node = &sim->nodes[i];
	struct sim_instance *instance = instance_at(sim, command->args.poll_report.addr);
	struct sim_event input = { .at = sim->now + 4,
				   .kind = SIM_REPORT_POLLED,
				   .node = i,
				   .incarnation = node->incarnation,
				   .token = command->args.poll_report.token,
				   .status = 200 };
	int64_t at = sim->now - sim->instance_list.report_age_ms;

	sim->instance_list.n_polls++;
	if (node->partition || !instance) {
		input.status = 0;
		input.at += 400;
	} else if (strcmp(instance->name, command->args.poll_report.server)) {
		input.status = 421;
	} else {
		input.data = (uint8_t *)strdup(instance->changed_at > at ? instance->previous_weights
									 : instance->weights);
		input.step =
		    instance->changed_at > at || (instance->loading[0] && instance->commanded_at <= at);
	}
	push(sim, input);
}

struct order {
	uint64_t addr, fence;
	char server[24], weights[32], holder[20];
};

static void inst_order(struct sim *sim, int i, const struct command *command)
{
	struct sim_node *node = &sim->nodes[i];
	struct sim_event input = { .at = sim->now + 1 + (int64_t)rnd(sim, 3),
				   .kind = SIM_COMMAND,
				   .node = i,
				   .incarnation = node->incarnation,
				   .token = command->args.load_weights.token };
	struct order *order;

	sim->instance_list.n_loads_under_requests += command->args.load_weights.during_requests != 0;
	if (local(sim, node) > command->args.load_weights.not_after_ms || node->partition ||
	    !instance_at(sim, command->args.load_weights.addr)) {
		input.kind = SIM_COMMAND_ANSWERED;
		input.step = 1;
		input.at += node->partition ? 200 : 0;
		push(sim, input);
		return;
	}
	order = calloc(1, sizeof *order);
	order->addr = command->args.load_weights.addr;
	order->fence = command->args.load_weights.fencing_token;
	snprintf(order->server, sizeof order->server, "%s", command->args.load_weights.server);
	snprintf(order->weights, sizeof order->weights, "%s", command->args.load_weights.weights);
	snprintf(order->holder, sizeof order->holder, "%s", command->args.load_weights.lease_holder);
	input.data = (uint8_t *)order;
	push(sim, input);
}

static int loading_now(const struct sim *sim)
{
	int n = 0;

	for (ptrdiff_t i = 0; i < arrlen(sim->instance_list.instances); i++)
		n += sim->instance_list.instances[i].up && sim->instance_list.instances[i].loading[0];
	return n;
}

static int order_arrives(struct sim *sim, const struct order *order)
{
	struct sim_instance *instance = instance_at(sim, order->addr);
	struct sim_event input = { .kind = SIM_LOAD_END };
	int n;

	if (!instance)
		return 0;
	sim->instance_list.n_commands++;
	if (strcmp(instance->name, order->server))
		return 421;
	if (instance->last_command_at && strcmp(instance->holder, order->holder) &&
	    sim->now - instance->last_command_at < sim->bounds.lease_ms)
		sim_violation(sim, "server %s had orders of two holders %lld ms apart", instance->name,
			      (long long)(sim->now - instance->last_command_at));
	instance->last_command_at = sim->now;
	if (strcmp(instance->holder, order->holder) && instance->fence == order->fence)
		sim_violation(sim, "server %s had one fence of two holders", instance->name);
	if (order->fence < instance->fence) {
		sim->instance_list.n_fenced++;
		return 412;
	}
	instance->fence = order->fence;
	snprintf(instance->holder, sizeof instance->holder, "%s", order->holder);
	if (!strcmp(instance->weights, order->weights))
		return 200;
	if (instance->refuses)
		return 503;
	if (instance->loading[0]) {
		sim->instance_list.n_busy++;
		return 409;
	}
	instance->commanded_at = sim->now;
	for (int k = 0; k < instance->loads && k < 8; k++)
		if (!strcmp(instance->loaded[k], order->weights))
			sim_violation(sim, "server %s loads %s twice", instance->name, order->weights);
	snprintf(instance->loaded[instance->loads++ % 8], sizeof instance->loaded[0], "%s", order->weights);
	snprintf(instance->loading, sizeof instance->loading, "%s", order->weights);
	sim->instance_list.n_load++;
	n = loading_now(sim);
	if (n > sim->instance_list.most_loads)
		sim->instance_list.most_loads = n;
	input.at = instance->load_done_at =
	    sim->now + sim->instance_list.load_ms *
			   (n > sim->instance_list.at_once ? n : sim->instance_list.at_once) /
			   sim->instance_list.at_once;
	input.server = (int)(instance - sim->instance_list.instances);
	push(sim, input);
	return 202;
}

static void load_ends(struct sim *sim, const struct sim_event *input)
{
	struct sim_instance *instance = &sim->instance_list.instances[input->server];

	if (!instance->up || instance->load_done_at != input->at)
		return;
	memcpy(instance->previous_weights, instance->weights, sizeof instance->previous_weights);
	memcpy(instance->weights, instance->loading, sizeof instance->weights);
	instance->loading[0] = 0;
	instance->changed_at = sim->now;
}

/* ---- performing commands --------------------------------------------------------------- */

static int node_at(struct sim *sim, uint64_t addr)
{
	for (int i = 0; i < SIM_NODES; i++)
		if (sim->nodes[i].used && sim->nodes[i].addr == addr)
			return i;
	return -1;
}

static int64_t way(struct sim *sim, const struct sim_node *a, const struct sim_node *b)
{
	return sim->delay_ms + (int64_t)rnd(sim, (uint64_t)sim->jitter_ms + 1) +
	       (strcmp(a->zone, b->zone) ? sim->zone_delay_ms : 0);
}

/* An operator hears a controller's answer. */
static void operator_hears(struct sim *sim, struct sim_operator_answer web)
{
	const struct sim_node *node = &sim->nodes[web.node];

	web.answered_at = sim->now;
	web.by_leader = raft_has_lease(&node->controller->shards[SHARD_CONTROL], local(sim, node));
	if (web.status == 200 && !strncmp(web.body, "{\"edition\":", 11) && !strstr(web.body, "rows")) {
		struct sim_ack sim_ack = { strtoull(web.body + 11, NULL, 10), sim->now };

		arrput(sim->acks, sim_ack);
	}
	arrput(sim->operator_answers, web);
}

/* An answer that is written later than its process made it, and by when it must be written. */
struct late_answer {
	struct sim_operator_answer w;
	int64_t not_after;
};

static void answer_is_sent(struct sim *sim, int node, const struct command *command)
{
	struct late_answer late = { .w = { .token = command->args.answer.token,
					   .status = command->args.answer.status,
					   .to = command->args.answer.redirect_addr,
					   .full_body_len = command->args.answer.len,
					   .node = node,
					   .retry_ms = command->args.answer.retry_ms },
				    .not_after = command->args.answer.not_after_ms };
	struct sim_event input = { .at = sim->now + (int64_t)rnd(sim, (uint64_t)sim->answer_delay_ms),
				   .kind = SIM_ANSWERED,
				   .node = node,
				   .incarnation = sim->nodes[node].incarnation };

	snprintf(late.w.body, sizeof late.w.body, "%s", command->args.answer.body);
	late.w.full_body_len =
	    command->args.answer.len ? command->args.answer.len : strlen(command->args.answer.body);
	late.w.full_body = apr_pstrmemdup(sim->pool, command->args.answer.body, late.w.full_body_len);
	if (!sim->answer_delay_ms) {
		operator_hears(sim, late.w);
		return;
	}
	input.data = malloc(sizeof late);
	memcpy(input.data, &late, sizeof late);
	push(sim, input);
}

/* As the program does at the moment of writing: what held for a time that is over is not said any more. */
static void answer_is_written(struct sim *sim, const struct sim_event *input)
{
	struct late_answer late;

	memcpy(&late, input->data, sizeof late);
	if (late.not_after && local(sim, &sim->nodes[input->node]) > late.not_after) {
		late.w.status = 503;
		late.w.retry_ms = CONTROLLER_RETRY_MS;
		snprintf(late.w.body, sizeof late.w.body, "{}");
	}
	operator_hears(sim, late.w);
}

static void perform(struct sim *s, int i)
{
	struct sim_node *n = &s->nodes[i];

	for (ptrdiff_t k = 0; k < arrlen(n->commands.commands); k++) {
		struct command *command = &n->commands.commands[k];
		struct sim_event input;
		int to;

		memset(&input, 0, sizeof input);
		if (n->router && s->front_end.perform && s->front_end.perform(s->front_end.ctx, i, command))
			continue;
		switch (command->kind) {
		case CMD_SEND:
			s->n_msg++;
			s->by_body[command->args.send.msg->body_case % 64]++;
			to = node_at(s, command->args.send.addr);
			if (to >= SIM_CONTROLLERS &&
			    s->undelivered_bodies >> command->args.send.msg->body_case % 64 & 1)
				break;
			if (to < 0 || s->nodes[to].partition != n->partition ||
			    (i < 16 && to < 16 && s->link_cut[i][to]) ||
			    (to != i && rnd(s, 1000) < (uint64_t)s->loss_per_mille))
				break;
			input.kind = SIM_MSG;
			input.node = to;
			input.data_len = nl__msg__get_packed_size(command->args.send.msg);
			input.data = malloc(input.data_len + 1);
			nl__msg__pack(command->args.send.msg, input.data);
			s->n_bytes += input.data_len;
			input.at =
			    s->now + (to == i ? 0 : way(s, n, &s->nodes[to]) + s->nodes[to].extra_delay_ms);
			if (s->bytes_per_ms && to != i) {
				if (n->link_free_at < s->now)
					n->link_free_at = s->now;
				n->link_free_at += (int64_t)(input.data_len / (size_t)s->bytes_per_ms);
				input.at += n->link_free_at - s->now;
			}
			input.from_addr = n->addr;
			push(s, input);
			break;
		case CMD_PERSIST:
			s->n_sync++;
			input.kind = SIM_SYNC;
			input.node = i;
			input.incarnation = n->incarnation;
			disk_queue(s, n, command->args.persist);
			input.at = s->now + s->disk_ms + (int64_t)rnd(s, 3);
			push(s, input); /* each such event ends the oldest write: a disk keeps its order */
			break;
		case CMD_CALL: {
			struct sim_server *server = server_at(s, command->args.call.addr);

			if (command->args.call.stream) { /* a send */
				if (!server || local(s, n) > command->args.call.not_after_ms) {
					broke(s, i, n->incarnation, command->args.call.token, 0, 1);
					break;
				}
				input.kind = SIM_ARRIVE;
				input.node = i;
				input.incarnation = n->incarnation;
				input.server = (int)(server - s->servers);
				input.token = command->args.call.token;
				input.data = (uint8_t *)strdup(command->args.call.body);
				input.at = s->now + 1 + (int64_t)rnd(s, 3);
				push(s, input);
				break;
			}
			if (!server || !server->up || local(s, n) > command->args.call.not_after_ms ||
			    n->partition)
				break;
			if (server->mute && strcmp(command->args.call.path, "/v1/order"))
				break;
			if (!strcmp(command->args.call.path, "/v1/order")) {
				server_order(s, server, command->args.call.body);
				break;
			}
			input.kind = SIM_CALLED;
			input.node = i;
			input.incarnation = n->incarnation;
			input.token = command->args.call.token;
			input.status = 200;
			server_report(server, (char **)&input.data);
			input.at = s->now + 2 + server->report_delay_ms;
			push(s, input);
			break;
		}
		case CMD_STREAM_CHUNK:
		case CMD_END_STREAM:
			receive_piece(s, command->args.stream_chunk.token, command->args.stream_chunk.body,
				      command->args.stream_chunk.len, command->kind == CMD_END_STREAM,
				      command->args.stream_chunk.success);
			break;
		case CMD_LIST_SERVERS:
			list_call(s, i, command->args.list_servers.token);
			break;
		case CMD_POLL_REPORT:
			instance_report(s, i, command);
			break;
		case CMD_LOAD_WEIGHTS:
			inst_order(s, i, command);
			break;
		case CMD_FORWARD:
		case CMD_WATCH_CACHE:
			break; /* no door stands here */
		case CMD_CANCEL:
			for (ptrdiff_t q = 0; q < arrlen(s->runs); q++)
				if (!s->runs[q].ended && s->runs[q].node == i &&
				    s->runs[q].token == command->args.cancel.token)
					run_over(s, &s->runs[q]);
			break;
		case CMD_ANSWER: {
			if (n->router)
				receive_answer(s, command->args.answer.token, command->args.answer.status,
					       command->args.answer.retry_ms, command->args.answer.body);
			else
				answer_is_sent(s, i, command);
			break;
		}
		}
	}
	command_list_clear(&n->commands);
}

static void controller_do(struct sim *sim, int i, const struct controller_event *input)
{
	struct sim_node *node = &sim->nodes[i];

	node->controller->clocks.wall_ms =
	    sim->wall_clock_epoch_ms ? sim->wall_clock_epoch_ms + sim->now + node->wall_clock_offset_ms : 0;
	controller_step(node->controller, input, local(sim, node), &node->commands);
	if (node->controller->identity.fleet_dirty) {
		node->disk.fleet = node->controller->identity.fleet;
		node->controller->identity.fleet_dirty = 0;
	}
	perform(sim, i);
	check_node(sim, i);
}

static void router_do(struct sim *sim, int i, const struct router_event *input)
{
	struct sim_node *node = &sim->nodes[i];

	router_step(node->router, input, local(sim, node), &node->commands);
	perform(sim, i);
	check_node(sim, i);
}

/* A counter's share of the events. */
static void router_dispatch(struct sim *sim, struct sim_event *input)
{
	struct router_event ev;
	struct Nl__Msg *message = NULL;
	struct sim_request *request;

	memset(&ev, 0, sizeof ev);
	switch (input->kind) {
	case SIM_TICK:
		ev.kind = ROUTER_EVENT_TICK;
		break;
	case SIM_MSG:
		message = nl__msg__unpack(NULL, input->data_len, input->data);
		if (!message)
			return;
		ev.kind = ROUTER_EVENT_MESSAGE;
		ev.args.message = message;
		break;
	case SIM_CALLED:
		ev.kind = ROUTER_EVENT_REPORT_POLLED;
		ev.args.report_polled.token = input->token;
		ev.args.report_polled.status = input->status;
		ev.args.report_polled.body = (const char *)input->data;
		break;
	case SIM_BROKE:
		ev.kind = ROUTER_EVENT_CALL_ENDED;
		ev.args.call_ended.token = input->token;
		ev.args.call_ended.status = input->status;
		ev.args.call_ended.not_started = input->step;
		ev.args.call_ended.body = "";
		break;
	case SIM_DISCONNECT:
		ev.kind = ROUTER_EVENT_CLIENT_DISCONNECTED;
		ev.args.client_disconnected.token = input->token;
		break;
	case SIM_STOP:
		ev.kind = ROUTER_EVENT_STOP;
		break;
	case SIM_REQUEST:
		request = request_with_token(sim, input->token);
		if (!request)
			return;
		ev.kind = ROUTER_EVENT_CLAIMED_REQUEST;
		ev.args.claimed_request.token = input->token;
		ev.args.claimed_request.key_digest = request->key;
		ev.args.claimed_request.body = (const char *)input->data;
		break;
	default:
		return;
	}
	router_do(sim, input->node, &ev);
	if (message)
		nl__msg__free_unpacked(message, NULL);
}

void sim_push(struct sim *sim, struct sim_event input)
{
	push(sim, input);
}
void sim_router_step(struct sim *sim, int node, const struct router_event *input)
{
	router_do(sim, node, input);
}
int64_t sim_local(const struct sim *sim, int node)
{
	return local(sim, &sim->nodes[node]);
}

static void tick_at(struct sim *sim, int node, int64_t at)
{
	struct sim_event input = {
		.at = at, .kind = SIM_TICK, .node = node, .incarnation = sim->nodes[node].incarnation
	};

	push(sim, input);
}

static void dispatch(struct sim *sim, struct sim_event *input)
{
	struct sim_node *node = &sim->nodes[input->node];
	struct controller_event ev;

	if (input->kind == SIM_FRONT_END) {
		sim->front_end.event(sim->front_end.ctx, input);
		return;
	}
	if (input->kind == SIM_LOAD_END) {
		load_ends(sim, input);
		return;
	}
	if (input->kind == SIM_COMMAND) { /* at its server, whatever has become of who sent it */
		struct sim_event a = { .at = sim->now + 2,
				       .kind = SIM_COMMAND_ANSWERED,
				       .node = input->node,
				       .incarnation = input->incarnation,
				       .token = input->token };

		a.status = order_arrives(sim, (struct order *)input->data);
		if (rnd(sim, 1000) < (uint64_t)sim->instance_list.lossy || node->partition)
			a.status = 0;
		if (a.status || rnd(sim, 2)) /* some never hear */
			push(sim, a);
		return;
	}
	if (input->kind == SIM_LOADED) {
		struct sim_server *server = &sim->servers[input->server];

		if (server->up && server->load_done_at == input->at) {
			memcpy(server->weights, server->loading, sizeof server->weights);
			server->loading[0] = 0;
			arrsetlen(server->blocks, 0);
		}
		return;
	}
	if (input->kind == SIM_ARRIVE || input->kind == SIM_STREAM) {
		if (input->kind == SIM_ARRIVE)
			run_arrives(sim, input);
		else
			run_streams(sim, input);
		return;
	}
	if (!node->up || (input->incarnation && input->incarnation != node->incarnation)) {
		if (input->kind == SIM_REQUEST && request_with_token(sim, input->token))
			told(sim, request_with_token(sim, input->token), SIM_LOST);
		return;
	}
	if (node->frozen) { /* everything waits at its door */
		struct sim_event later = *input;

		later.at = sim->now + 20;
		input->data = NULL;
		push(sim, later);
		return;
	}
	if (input->kind == SIM_TICK)
		tick_at(sim, input->node, sim->now + 25);
	if (node->router) {
		router_dispatch(sim, input);
		return;
	}
	memset(&ev, 0, sizeof ev);
	switch (input->kind) {
	case SIM_TICK:
		ev.kind = CONTROLLER_TICK;
		controller_do(sim, input->node, &ev);
		break;
	case SIM_STOP:
		ev.kind = CONTROLLER_STOP;
		controller_do(sim, input->node, &ev);
		break;
	case SIM_MSG: {
		struct Nl__Msg *message = nl__msg__unpack(NULL, input->data_len, input->data);

		if (!message)
			break;
		ev.kind = CONTROLLER_MESSAGE;
		ev.payload.message = message;
		controller_do(sim, input->node, &ev);
		nl__msg__free_unpacked(message, NULL);
		break;
	}
	case SIM_SYNC:
		if (sim->now < node->stalled_until) {
			struct sim_event later = *input;

			later.at = node->stalled_until;
			push(sim, later);
			break;
		}
		disk_write(&node->disk, node->writes[0].persist);
		ev.kind = CONTROLLER_SYNCED;
		ev.payload.synced.shard = node->writes[0].persist->shard;
		ev.payload.synced.sequence = node->writes[0].persist->seq;
		apr_pool_destroy(node->writes[0].pool);
		arrdel(node->writes, 0);
		controller_do(sim, input->node, &ev);
		break;
	case SIM_CALLED:
		ev.kind = CONTROLLER_CALL_RESULT;
		ev.payload.call_result.token = input->token;
		ev.payload.call_result.status = input->status;
		ev.payload.call_result.body = (const char *)input->data;
		controller_do(sim, input->node, &ev);
		break;
	case SIM_SERVERS_LISTED: {
		struct Nl__ConfigSyncReply *a =
		    nl__config_sync_reply__unpack(NULL, input->data_len, input->data);

		ev.kind = CONTROLLER_SERVERS_LISTED;
		ev.payload.servers_listed.token = input->token;
		ev.payload.servers_listed.succeeded = input->status;
		ev.payload.servers_listed.instances = a->instances;
		ev.payload.servers_listed.instance_count = input->status ? a->n_instances : 0;
		controller_do(sim, input->node, &ev);
		nl__config_sync_reply__free_unpacked(a, NULL);
		break;
	}
	case SIM_REPORT_POLLED:
		ev.kind = CONTROLLER_REPORT_POLLED;
		ev.payload.report_polled.token = input->token;
		ev.payload.report_polled.status = input->status;
		ev.payload.report_polled.weights = (const char *)input->data;
		ev.payload.report_polled.is_loading = input->step;
		controller_do(sim, input->node, &ev);
		break;
	case SIM_ANSWERED:
		answer_is_written(sim, input);
		break;
	case SIM_GONE:
		ev.kind = CONTROLLER_CALLER_DISCONNECTED;
		ev.payload.disconnected.token = input->token;
		controller_do(sim, input->node, &ev);
		break;
	case SIM_COMMAND_ANSWERED:
		ev.kind = CONTROLLER_LOAD_ANSWERED;
		ev.payload.load_answered.token = input->token;
		ev.payload.load_answered.status = input->status;
		ev.payload.load_answered.never_sent = input->step;
		controller_do(sim, input->node, &ev);
		break;
	case SIM_OPERATOR_CALL: {
		char *verb = (char *)input->data, *path = verb + strlen(verb) + 1,
		     *body = path + strlen(path) + 1, *key = body + strlen(body) + 1;

		ev.kind = CONTROLLER_API_CALL;
		ev.payload.api_call.token = input->token;
		ev.payload.api_call.method = verb;
		ev.payload.api_call.path = path;
		ev.payload.api_call.body = body;
		ev.payload.api_call.idempotency_key = key[0] ? key : NULL;
		controller_do(sim, input->node, &ev);
		break;
	}
	case SIM_DOCUMENT: {
		char *body = (char *)input->data, *weights = body + input->data_len + 1;

		ev.kind = input->status == 2   ? CONTROLLER_READ_DOCUMENT
			  : input->status == 3 ? CONTROLLER_SET_TARGET_WEIGHTS
					       : CONTROLLER_PUT_DOCUMENT;
		if (ev.kind == CONTROLLER_READ_DOCUMENT) {
			ev.payload.read.token = input->token;
		} else if (ev.kind == CONTROLLER_SET_TARGET_WEIGHTS) {
			ev.payload.target.token = input->token;
			ev.payload.target.model = body;
			ev.payload.target.weights = weights;
		} else {
			ev.payload.document.token = input->token;
			ev.payload.document.base_version = input->from_addr;
			ev.payload.document.is_patch = input->status;
			ev.payload.document.body = body;
			ev.payload.document.body_bytes = input->data_len;
		}
		controller_do(sim, input->node, &ev);
		break;
	}
	default:
		break;
	}
}

int sim_run(struct sim *sim, int64_t ms, int (*done)(struct sim *))
{
	int64_t end = sim->now + ms;

	while (!sim->violation[0] && arrlen(sim->events) && sim->events[0].at <= end) {
		struct sim_event input = pop(sim);

		sim->now = input.at;
		dispatch(sim, &input);
		ev_free(&input);
		if (done && done(sim))
			return !sim->violation[0];
	}
	if (!sim->violation[0])
		sim->now = end;
	return !sim->violation[0];
}

/* ---- nodes --------------------------------------------------------------------------------- */

static void count_line(void *ctx, const char *prefix, const char *line)
{
	(void)prefix;
	((struct sim *)ctx)->n_odd += strstr(line, "Unreadable report") != NULL;
}

static void node_begin(struct sim *sim, int i, const uint64_t *seeds, int nseeds)
{
	struct sim_node *node = &sim->nodes[i];
	struct raft_saved saved[SHARD_COUNT];
	const struct raft_saved *psv[SHARD_COUNT];
	apr_pool_t *pool;

	apr_pool_create(&pool, sim->pool);
	node->incarnation = ++sim->seq;
	node->up = 1;
	node->frozen = 0;
	node->clock_skew_ms = (int64_t)rnd(sim, 100000);
	memset(node->checked, 0, sizeof node->checked);
	if (node->is_router) { /* no disk: a new identity at each start */
		node->id = core_random(&sim->rng);
		node->router = malloc(sizeof *node->router);
		router_open(node->router, node->id, node->addr, node->zone, seeds, nseeds, local(sim, node));
		node->router->config.bounds = sim->bounds;
		node->router->log = count_line;
		node->router->log_context = sim;
		apr_pool_destroy(pool);
		tick_at(sim, i, sim->now + (int64_t)rnd(sim, 25));
		return;
	}
	if (!node->disk.made) {
		node->disk.made = 1;
		node->disk.id = core_random(&sim->rng);
	}
	node->id = node->disk.id;
	for (int k = 0; k < SHARD_COUNT; k++) {
		struct sim_disk_shard *disk = &node->disk.shards[k];
		size_t m = (size_t)arrlen(disk->entries);

		saved[k] = (struct raft_saved){
			disk->term, disk->vote,        disk->base,     disk->base_term, disk->members,
			disk->data, disk->members_len, disk->data_len, disk->first,     NULL,
			m
		};
		saved[k].entries = apr_palloc(pool, (m + 1) * sizeof *saved[k].entries);
		for (size_t q = 0; q < m; q++)
			saved[k].entries[q] =
			    (struct raft_entry){ disk->entries[q].term, disk->entries[q].kind,
						 disk->entries[q].len, disk->entries[q].data };
		psv[k] = &saved[k];
	}
	node->controller = malloc(sizeof *node->controller);
	controller_open(node->controller, node->id, node->addr, node->zone, seeds, nseeds, node->disk.fleet,
			core_random(&sim->rng), psv, local(sim, node));
	node->controller->bounds = sim->bounds;
	node->controller->adapters.codec = sim->codec;
	node->controller->adapters.calendar = sim->calendar;
	if (sim->replica_count)
		node->controller->bounds.replicas = sim->replica_count;
	if (sim->catch_up_ms)
		node->controller->bounds.catch_up_ms = sim->catch_up_ms;
	apr_pool_destroy(pool);
	tick_at(sim, i, sim->now + (int64_t)rnd(sim, 25));
}

int sim_add_controller(struct sim *sim, const char *zone, const uint64_t *seeds, int nseeds)
{
	for (int i = 0; i < SIM_CONTROLLERS; i++)
		if (!sim->nodes[i].used) {
			struct sim_node *node = &sim->nodes[i];
			char buf[32];

			node->used = 1;
			snprintf(node->zone, sizeof node->zone, "%s", zone);
			snprintf(buf, sizeof buf, "127.0.1.%d:7000", i + 1);
			node->addr = core_parse_addr(buf);
			apr_pool_create(&node->commands.pool, sim->pool);
			node_begin(sim, i, seeds, nseeds);
			return i;
		}
	return -1;
}

int sim_add_router(struct sim *sim, const char *zone)
{
	for (int i = SIM_CONTROLLERS; i < SIM_NODES; i++)
		if (!sim->nodes[i].used) {
			struct sim_node *node = &sim->nodes[i];
			char buf[32];

			node->used = node->is_router = 1;
			snprintf(node->zone, sizeof node->zone, "%s", zone);
			snprintf(buf, sizeof buf, "127.0.2.%d:7000", i + 1);
			node->addr = core_parse_addr(buf);
			apr_pool_create(&node->commands.pool, sim->pool);
			sim_start(sim, i);
			return i;
		}
	return -1;
}

void sim_crash(struct sim *sim, int i, int wipe)
{
	struct sim_node *n = &sim->nodes[i];

	if (n->controller) {
		controller_close(n->controller);
		free(n->controller);
	}
	n->controller = NULL;
	if (n->router) {
		router_close(n->router);
		free(n->router);
		n->router = NULL;
		callers_lose(sim, i);
		if (sim->front_end.lost)
			sim->front_end.lost(sim->front_end.ctx, i);
	}
	n->up = 0;
	for (ptrdiff_t k = 0; k < arrlen(n->writes); k++) /* what was not synced is gone */
		apr_pool_destroy(n->writes[k].pool);
	arrsetlen(n->writes, 0);
	command_list_clear(&n->commands);
	if (!wipe)
		return;
	disk_wipe(&n->lost_disk);
	n->lost_disk = n->disk;
	n->lost_at = sim->now;
	memset(&n->disk, 0, sizeof n->disk);
}

void sim_start(struct sim *sim, int i)
{
	uint64_t seeds[3];

	for (int k = 0; k < 3; k++)
		seeds[k] = sim->nodes[k].addr;
	node_begin(sim, i, seeds, 3);
}

void sim_freeze(struct sim *sim, int i, int on)
{
	sim->nodes[i].frozen = on;
}
void sim_cut(struct sim *sim, int i, int cell)
{
	sim->nodes[i].partition = cell;
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

uint64_t sim_call(struct sim *sim, int node, const char *verb, const char *path, const char *body)
{
	return sim_call_keyed(sim, node, verb, path, body, "");
}

uint64_t sim_call_keyed(struct sim *sim, int node, const char *verb, const char *path, const char *body,
			const char *key)
{
	size_t a = strlen(verb) + 1, b = strlen(path) + 1, c = strlen(body) + 1, d = strlen(key) + 1;
	struct sim_event input = { .at = sim->now,
				   .kind = SIM_OPERATOR_CALL,
				   .node = node,
				   .incarnation = sim->nodes[node].incarnation,
				   .token = ++sim->token };

	input.data = malloc(a + b + c + d);
	memcpy(input.data, verb, a);
	memcpy(input.data + a, path, b);
	memcpy(input.data + a + b, body, c);
	memcpy(input.data + a + b + c, key, d);
	push(sim, input);
	return input.token;
}

void sim_operator_disconnect(struct sim *sim, int node, uint64_t token)
{
	struct sim_event input = { .at = sim->now,
				   .kind = SIM_GONE,
				   .node = node,
				   .incarnation = sim->nodes[node].incarnation,
				   .token = token };

	push(sim, input);
}

uint64_t sim_send_document(struct sim *sim, int node, uint64_t base, int patch, const char *body,
			   const char *weights)
{
	size_t n = body ? strlen(body) : 0, m = weights ? strlen(weights) : 0;
	struct sim_event input = { .at = sim->now,
				   .kind = SIM_DOCUMENT,
				   .node = node,
				   .incarnation = sim->nodes[node].incarnation,
				   .token = ++sim->token };

	input.status = !body ? 2 : weights ? 3 : !!patch;
	input.from_addr = base;
	input.data_len = n;
	input.data = calloc(1, n + m + 2);
	memcpy(input.data, body ? body : "", n);
	memcpy(input.data + n + 1, weights ? weights : "", m);
	push(sim, input);
	return input.token;
}

const struct sim_operator_answer *sim_answer(struct sim *sim, uint64_t token)
{
	for (ptrdiff_t i = arrlen(sim->operator_answers) - 1; i >= 0; i--)
		if (sim->operator_answers[i].token == token)
			return &sim->operator_answers[i];
	return NULL;
}

int sim_call_and_wait(struct sim *sim, int node, const char *verb, const char *path, const char *body,
		      int64_t ms)
{
	uint64_t t = sim_call(sim, node, verb, path, body);
	int64_t end = sim->now + ms;

	while (sim->now < end && !sim_answer(sim, t))
		if (!sim_run(sim, 10, NULL))
			return 0;
	return sim_answer(sim, t) ? sim_answer(sim, t)->status : 0;
}

int sim_leader(struct sim *sim, uint32_t shard)
{
	for (int i = 0; i < SIM_CONTROLLERS; i++)
		if (sim->nodes[i].up && sim->nodes[i].controller &&
		    raft_has_lease(&sim->nodes[i].controller->shards[shard], local(sim, &sim->nodes[i])))
			return i;
	return -1;
}

void sim_open(struct sim *sim, uint64_t seed)
{
	memset(sim, 0, sizeof *sim);
	sim->seed = seed;
	sim->rng = seed * 7919 + 17;
	sim->now = 1000000;
	sim->delay_ms = 1;
	sim->jitter_ms = 2;
	sim->zone_delay_ms = 1;
	sim->disk_ms = 2;
	sim->request_timeout_ms = 8000;
	sim->bounds = bounds_default;
	sim->instance_list.lag_ms = 800;
	sim->instance_list.load_ms = 1100;
	sim->instance_list.at_once = 3;
	sim->instance_list.report_age_ms = 100;
	apr_pool_create(&sim->pool, NULL);
}

void sim_close(struct sim *sim)
{
	for (int i = 0; i < SIM_NODES; i++)
		if (sim->nodes[i].used) {
			if (sim->nodes[i].up)
				sim_crash(sim, i, 1);
			else
				disk_wipe(&sim->nodes[i].disk);
			disk_wipe(&sim->nodes[i].lost_disk);
			arrfree(sim->nodes[i].commands.commands);
			arrfree(sim->nodes[i].writes);
		}
	for (ptrdiff_t i = 0; i < arrlen(sim->events); i++)
		ev_free(&sim->events[i]);
	for (int i = 0; i < SHARD_COUNT; i++)
		arrfree(sim->entry_hashes[i]);
	for (int i = 0; i < SIM_SERVERS; i++)
		arrfree(sim->servers[i].blocks);
	arrfree(sim->events);
	arrfree(sim->value);
	arrfree(sim->operator_answers);
	arrfree(sim->acks);
	arrfree(sim->requests);
	arrfree(sim->runs);
	arrfree(sim->submissions);
	arrfree(sim->sends);
	arrfree(sim->purges);
	arrfree(sim->instance_list.instances);
	shfree(sim->removed_keys);
	apr_pool_destroy(sim->pool);
}

/* Every part is led, and every controller has heard the configuration's leader: none refuses for want of one.
 */
static int all_owned(struct sim *sim)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		if (sim_leader(sim, i) < 0)
			return 0;
	for (int i = 0; i < SIM_CONTROLLERS; i++)
		if (sim->nodes[i].used && sim->nodes[i].up &&
		    config_watch_age_ms(&sim->nodes[i].controller->config_watch, local(sim, &sim->nodes[i])) >
			CONFIG_WATCH_LEADER_TIMEOUT_MS)
			return 0;
	return 1;
}

void sim_fleet(struct sim *sim, uint64_t seed, int controllers)
{
	uint64_t seeds[3];
	char zone[16];

	sim_open(sim, seed);
	for (int k = 0; k < 3; k++) {
		char buf[32];

		snprintf(buf, sizeof buf, "127.0.1.%d:7000", k + 1);
		seeds[k] = core_parse_addr(buf);
	}
	for (int i = 0; i < controllers; i++) {
		snprintf(zone, sizeof zone, "z%d", i + 1);
		sim_add_controller(sim, zone, seeds, 3);
	}
	sim_run(sim, 200, NULL);
	if (sim_call_and_wait(sim, 0, "POST", "/v1/found", "{}", 10000) != 200)
		sim_violation(sim, "the fleet was not founded");
	sim_run(sim, 20000, all_owned);
}

uint64_t sim_change(struct sim *sim, const char *body, int64_t ms)
{
	int64_t end = sim->now + ms;

	while (sim->now < end && !sim->violation[0]) {
		int at = (int)rnd(sim, SIM_CONTROLLERS);
		uint64_t t;

		if (!sim->nodes[at].used || !sim->nodes[at].up || sim->nodes[at].frozen)
			continue;
		t = sim_call(sim, at, "POST", "/v1/change", body);
		while (!sim_answer(sim, t) && sim->now < end && sim->nodes[at].up)
			if (!sim_run(sim, 5, NULL))
				return 0;
		if (sim_answer(sim, t) && sim_answer(sim, t)->status == 200)
			return strtoull(sim_answer(sim, t)->body + 11, NULL, 10);
		if (!sim_run(sim, 50, NULL))
			return 0;
	}
	return 0;
}

int sim_propose(struct sim *sim, const struct Nl__Change *change, int64_t ms)
{
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__Propose propose = NL__PROPOSE__INIT;
	struct Nl__Operation operation = NL__OPERATION__INIT;
	int64_t end = sim->now + ms;

	propose.token = operation.token = ++sim->token;
	operation.requester_id = 77;
	operation.body_case = NL__OPERATION__BODY_CHANGE;
	operation.change = (struct Nl__Change *)change;
	propose.operation = &operation;
	message.protocol_version = CORE_PROTOCOL_VERSION;
	message.id = 77;
	message.addr = core_parse_addr("127.0.9.9:1");
	message.shard = SHARD_CONTROL;
	message.body_case = NL__MSG__BODY_PROPOSE;
	message.propose = &propose;
	while (sim->now < end && !sim->violation[0]) {
		int at = sim_leader(sim, SHARD_CONTROL);

		if (at >= 0) {
			struct sim_event input = { .at = sim->now, .kind = SIM_MSG, .node = at };

			message.fleet_id = sim->nodes[at].controller->identity.fleet;
			input.data_len = nl__msg__get_packed_size(&message);
			input.data = malloc(input.data_len + 1);
			nl__msg__pack(&message, input.data);
			push(sim, input);
		}
		for (int k = 0; k < 40; k++) { /* whoever has applied it knows that it is committed */
			if (!sim_run(sim, 5, NULL))
				return 0;
			for (int i = 0; i < SIM_CONTROLLERS; i++)
				for (ptrdiff_t d = 0;
				     sim->nodes[i].up && sim->nodes[i].controller &&
				     d < arrlen(sim->nodes[i].controller->config.done_operations);
				     d++)
					if (sim->nodes[i].controller->config.done_operations[d].from == 77 &&
					    sim->nodes[i].controller->config.done_operations[d].token ==
						operation.token)
						return 1;
		}
	}
	return 0;
}

static int standing_all(struct sim *sim)
{
	for (int i = SIM_CONTROLLERS; i < SIM_NODES; i++)
		if (sim->nodes[i].used && sim->nodes[i].router) {
			uint32_t servers = 0;

			while (servers < SIM_SERVERS && sim->servers[servers].used)
				servers++;
			if (!relay_is_current(&sim->nodes[i].router->relay, local(sim, &sim->nodes[i])) ||
			    !sim->nodes[i].router->config.route_table ||
			    sim->nodes[i].router->config.server_table->server_count < servers)
				return 0;
			for (uint32_t k = 0; k < sim->nodes[i].router->config.server_table->server_count; k++)
				if (!sim->nodes[i].router->servers.states[k].is_known)
					return 0;
		}
	return 1;
}

void sim_deploy(struct sim *sim, uint64_t seed, int controllers, int routers, int servers)
{
	static const char *const svc[] = { "arrears", "repairs", "sorting" };
	char body[6000], hex[65];
	size_t k;

	sim_fleet(sim, seed, controllers);
	for (int i = 0; i < routers; i++) {
		char zone[8];

		snprintf(zone, sizeof zone, "z%d", (i % 4 + 1) & 7);
		sim_add_router(sim, zone);
	}
	k = (size_t)snprintf(body, sizeof body, "{\"set\":[");
	for (int i = 0; i < 3; i++)
		k += (size_t)snprintf(
		    body + k, sizeof body - k,
		    "{\"kind\":\"service\",\"name\":\"%s\",\"weights\":\"w1\",\"prefill\":20,\"kv_bytes\":400,\"link\":100000},"
		    "{\"kind\":\"lane\",\"name\":\"%s\",\"service\":\"%s\",\"prio\":%d,\"limit\":50},",
		    svc[i], svc[i], svc[i], i == 2);
	for (int i = 0; i < 4; i++)
		k += (size_t)snprintf(
		    body + k, sizeof body - k,
		    "{\"kind\":\"tenant\",\"name\":\"t%d\",\"share\":%d,\"limit\":100},{\"kind\":\"key\",\"name\":\"%s\",\"tenant\":\"t%d\"},",
		    i, i ? 1 : 5, sim_key(i, hex), i);
	for (int i = 0; i < servers; i++) {
		char name[16];
		int v;

		snprintf(name, sizeof name, "s%d", i & 31);
		v = sim_server(sim, name, svc[i % 3], "w1");
		k += (size_t)snprintf(
		    body + k, sizeof body - k,
		    "%s{\"kind\":\"server\",\"name\":\"%s\",\"service\":\"%s\",\"addr\":\"%s\"}",
		    i ? "," : "", name, svc[i % 3], sim->servers[v].addr);
	}
	snprintf(body + k, sizeof body - k, "]}");
	if (!sim_change(sim, body, 12000))
		sim_violation(sim, "the deployment's table was not acknowledged");
	sim_run(sim, 8000, standing_all);
	if (!sim->violation[0] && !standing_all(sim))
		sim_violation(sim, "the deployment does not become ready");
}
