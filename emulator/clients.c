/* The clients: requests arrive at the rates of the deployment's sheet, exponentially spaced; probes of routes
 * and keys; the clients' time-outs. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "clients_internal.h"

static int draw_size(uint64_t *rng, int average) /* most are smaller, some a few times as large */
{
	double x = emulator_random_unit(rng), y = emulator_random_unit(rng);
	double v = average * (0.3 + 1.0 * x * y * 2.8);

	return v < 1 ? 1 : (int)v;
}

static void create_request(struct clients *clients, int cls)
{
	struct run *run = clients->run;
	const struct traffic_class *class = &run->deployment->classes[cls];
	struct client_request *request = calloc(1, sizeof *request);
	uint64_t thing = emulator_random(&run->rng) % (uint64_t) class->topic_count, seed;
	int own, shared;
	size_t n;

	request->clients = clients;
	request->class_id = cls;
	request->created_at_ms = run_ms(run);
	request->client = &clients->client[emulator_random(&run->rng) % arrlenu(clients->client)];
	seed = thing * 31 + (uint64_t)cls;
	shared = draw_size(&seed, class->shared_tokens);
	own = draw_size(&run->rng, class->own_tokens);
	request->output_tokens = draw_size(&run->rng, class->output_tokens);
	if (clients->long_every && clients->requests % clients->long_every == 0)
		request->output_tokens *= TIMES_AS_LONG;
	request->prompt_tokens = shared + own;
	snprintf(request->key, sizeof request->key, "%s", clients->keys[request->client->tenant]);
	snprintf(request->host, sizeof request->host, "%s", run->deployment->host);
	if (clients->extra_routes && emulator_random(&run->rng) % 3 == 0)
		snprintf(request->path, sizeof request->path, "/big%d/%llx",
			 (int)(emulator_random(&run->rng) % (uint64_t)clients->extra_routes),
			 (unsigned long long)(emulator_random(&run->rng) & 0xffff));
	else
		snprintf(request->path, sizeof request->path, "%s%llx", class->prefix,
			 (unsigned long long)(emulator_random(&run->rng) & 0xffff));
	snprintf(request->blocks_header, sizeof request->blocks_header, "%08llx:%d,%08llx:%d,%08llx:%d",
		 (unsigned long long)(emulator_hash(1, &cls, sizeof cls) & 0xffffffff), shared / 4 + 1,
		 (unsigned long long)(emulator_hash(2, &seed, 8) & 0xffffffff), shared - shared / 4,
		 (unsigned long long)(emulator_random(&run->rng) & 0xffffffff), own);
	request->prompt_tokens = shared + 1 + own;
	n = 80 + emulator_random(&run->rng) % 400;
	for (size_t i = 0; i < n; i++)
		request->body[i] = (char)('a' + emulator_random(&run->rng) % 26);
	request->size = (request->prompt_tokens + 10.0 * request->output_tokens) /
			(class->shared_tokens + class->own_tokens + 10.0 * class->output_tokens);
	request->value = class->value * (0.3 + 0.7 * request->size);
	if (request->value > 4 * class->value)
		request->value = 4 * class->value;
	run->figures.value_offered += request->value;
	run->figures.requests[cls]++;
	clients->requests++;
	client_second_of(run, request->created_at_ms)->requests++;
	client_start_attempt(request, 0);
}

/* Probe each edge directly, on routes that came or went lately or never were: which configuration is in force
 * there? */
static void probe_all(void *ctx)
{
	struct clients *clients = ctx;
	struct run *run = clients->run;

	clients->probes_timer = loop_after(run->loop, ms_us(500), probe_all, clients);
	if (!clients->probing || clients->closing)
		return;
	for (int i = 0; i < run->machine_count; i++) {
		const char *at = emulator_random(&run->rng) % 2 ? operator_added(run->config_operator)
								: operator_removed(run->config_operator),
			   *key;
		struct client_request *request;

		if (run->machines[i].is_core || run->machines[i].removed || !run->machines[i].in_rotation)
			continue;
		request = calloc(1, sizeof *request);
		request->clients = clients;
		request->class_id = 2;
		request->created_at_ms = run_ms(run);
		request->client = &clients->client[0];
		request->is_probe = 1;
		request->avoid[0] = i;
		request->prompt_tokens = 40;
		request->output_tokens = clients->long_every ? LONG_PROBE : 1;
		key = emulator_random(&run->rng) % 2 ? operator_second_key(run->config_operator) : NULL;
		snprintf(request->key, sizeof request->key, "%s", key ? key : clients->keys[0]);
		snprintf(request->host, sizeof request->host, "%s", run->deployment->host);
		snprintf(request->path, sizeof request->path, "%s%s", at ? at : "/never/", "p");
		snprintf(request->blocks_header, sizeof request->blocks_header, "%08llx:40",
			 (unsigned long long)(emulator_random(&run->rng) & 0xffffffff));
		snprintf(request->body, sizeof request->body, "probe");
		run->figures.probes++;
		client_start_attempt(request, 1);
	}
}

static void poll_clients(void *ctx)
{
	struct clients *c = ctx;
	struct run *r = c->run;
	int64_t now = run_ms(r), span = now - c->last_poll_at_ms;

	c->last_poll_at_ms = now;
	c->poll_timer = loop_after(r->loop, ms_us(5), poll_clients, c);
	for (int i = 0; i < CLASS_COUNT && c->traffic_on; i++) {
		c->arrival_credit[i] +=
		    r->deployment->classes[i].requests_per_second * r->rate * (double)span / 1000;
		while (c->arrival_credit[i] > 0) {
			c->arrival_credit[i] += log(1 - emulator_random_unit(&r->rng)); /* exponential gaps */
			create_request(c, i);
		}
	}
	for (int i = arrlen(c->in_flight) - 1; i >= 0; i--) {
		struct client_attempt *attempt = c->in_flight[i];
		const struct traffic_class *k = &r->deployment->classes[attempt->request->class_id];
		int64_t silence = 2000;

		if (attempt->conn && !attempt->was_read)
			attempt->was_read = conn_read_by_peer(attempt->conn);
		if (4 * k->latency_target_ms > silence)
			silence = 4 * k->latency_target_ms;
		if (8 * k->gap_target_ms > silence)
			silence = 8 * k->gap_target_ms;
		if (now >= attempt->deadline_at_ms || now - attempt->last_received_at_ms > silence) {
			r->figures.abandoned++;
			client_attempt_over(attempt, ANSWER_ABANDONED);
		} else if (attempt->conn && !conn_is_up(attempt->conn) &&
			   now - attempt->started_at_ms > 1000) {
			struct conn *x = attempt->conn;

			client_forget_connection(c, x);
			conn_set_tag(x, NULL);
			conn_close(x, 1);
			attempt->conn = NULL;
			client_attempt_over(attempt, ANSWER_NONE);
		}
		if (i > arrlen(c->in_flight))
			i = (int)arrlen(c->in_flight);
	}
}

struct clients *clients_open(struct run *run)
{
	struct clients *clients = calloc(1, sizeof *clients);

	clients->run = run;
	for (int i = 0; i < run->deployment->tenants; i++)
		snprintf(clients->keys[i], sizeof clients->keys[i], "key%02d-0-abcdefgh", i);
	for (int i = 0; i < 48; i++) {
		struct client client;

		memset(&client, 0, sizeof client);
		client.zone = i % 4;
		client.tenant = i % 3 ? i % run->deployment->tenants : i % 2; /* a few tenants are large */
		client.hash = emulator_hash(run->seed, &i, sizeof i) >> 7;
		arrput(clients->client, client);
	}
	run->figures.seconds = calloc(MAX_SECONDS, sizeof *run->figures.seconds);
	clients->last_poll_at_ms = run_ms(run);
	poll_clients(clients);
	client_poll_readiness(clients);
	probe_all(clients);
	return clients;
}

void clients_traffic(struct clients *clients, int on)
{
	clients->traffic_on = on;
	clients->last_poll_at_ms = run_ms(clients->run);
}

int clients_busy(const struct clients *clients)
{
	return (int)arrlen(clients->in_flight) + (int)arrlen(clients->retrying);
}

void clients_extra(struct clients *clients, int routes)
{
	clients->extra_routes = routes;
}

void clients_long(struct clients *clients, int every)
{
	clients->long_every = every;
}

void clients_probe(struct clients *clients, int on)
{
	clients->probing = on;
}

void clients_keys(struct clients *clients, int tenant, const char *key)
{
	snprintf(clients->keys[tenant], sizeof clients->keys[tenant], "%s", key);
}

void clients_close(struct clients *clients)
{
	struct run *run = clients->run;

	clients->traffic_on = 0;
	clients->closing = 1;
	while (arrlen(clients->in_flight))
		client_attempt_over(clients->in_flight[0], ANSWER_ABANDONED);
	loop_cancel(run->loop, clients->poll_timer);
	loop_cancel(run->loop, clients->probes_timer);
	loop_cancel(run->loop, clients->ready_timer);
	for (int turns = 0; turns < 300 && arrlen(clients->retrying); turns++)
		loop_until(run->loop, ms_us(10), NULL, NULL);
	for (int i = 0; i < arrlen(clients->client); i++) {
		for (int k = 0; k < arrlen(clients->client[i].connections); k++) {
			conn_set_tag(clients->client[i].connections[k].conn, NULL);
			conn_close(clients->client[i].connections[k].conn, 0);
		}
		arrfree(clients->client[i].connections);
	}
	loop_until(run->loop, ms_us(1000), NULL, NULL); /* readiness probes under way */
	arrfree(clients->client);
	arrfree(clients->in_flight);
	arrfree(clients->retrying);
	free(clients);
}
