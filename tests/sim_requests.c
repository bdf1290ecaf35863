/* sim_requests: the clients of the product's own interface: what they sent, what they were answered, and what
 * they may not be. */
#include "sim_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

struct sim_request *sim_request_with_id(struct sim *sim, const char *id)
{
	for (ptrdiff_t i = arrlen(sim->requests) - 1; i >= 0; i--)
		if (!strcmp(sim->requests[i].id, id))
			return &sim->requests[i];
	return NULL;
}

struct sim_request *sim_request_with_token(struct sim *sim, uint64_t token)
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

void sim_end_request(struct sim *s, struct sim_request *x, int how)
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

struct sim_submission *sim_submission_of_send(struct sim *sim, const char *id, int node, uint64_t incarnation,
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

void sim_receive_answer(struct sim *sim, uint64_t token, int status, int retry_ms, const char *body)
{
	struct sim_request *request = sim_request_with_token(sim, token);

	receive_end(sim, token);
	if (!request)
		return;
	request->retry_ms = retry_ms;
	if (request->next_chunk)
		sim_violation(sim, "%s was answered %d in the middle of its stream", request->id, status);
	sim_end_request(sim, request,
			strstr(body, "\"refused\"")   ? SIM_REFUSED
			: strstr(body, "\"claimed\"") ? SIM_LOST
						      : SIM_UNKNOWN);
}

void sim_receive_chunk(struct sim *sim, uint64_t token, const char *body, size_t len, int end, int ok)
{
	struct sim_request *request = sim_request_with_token(sim, token);
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
		sim_end_request(sim, request, SIM_UNKNOWN);
	} else if (end) {
		int n = json_object_object_get_ex(json, "pieces", &v) ? json_object_get_int(v) : -1;

		if (n != request->next_chunk || n != 3 + (int)(core_hash_string(1, request->id) % 4))
			sim_violation(sim, "%s was told whole after %d pieces", request->id,
				      request->next_chunk);
		sim_end_request(sim, request, SIM_COMPLETE);
	} else {
		snprintf(expected, sizeof expected, "%s#%d", request->id, request->next_chunk);
		if (!json_object_object_get_ex(json, "text", &v) ||
		    strcmp(json_object_get_string(v), expected))
			sim_violation(sim, "%s heard another piece than %s", request->id, expected);
		if (!request->next_chunk++)
			request->first_chunk_at = sim->now;
	}
	json_object_put(json);
	free(text);
}

void sim_submit(struct sim *sim, int node, const char *id, int tenant, const char *route, int pick)
{
	struct sim_request *x = sim_request_with_id(sim, id), request;
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
	x->prompt_index = pick;
	x->node = node;
	x->next_chunk = 0;
	x->outcome = SIM_OPEN;
	x->token = input.token;
	x->submissions++;
	x->send_count = 0; /* a caller's own asking anew is no resend */
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
	sim_push_event(sim, input);
}

void sim_disconnect(struct sim *sim, const char *id)
{
	struct sim_request *request = sim_request_with_id(sim, id);
	struct sim_event input = { .at = sim->now,
				   .kind = SIM_DISCONNECT,
				   .node = request->node,
				   .incarnation = sim->nodes[request->node].incarnation,
				   .token = request->token };

	sim_end_request(sim, request, SIM_LOST);
	request->disconnected = 1;
	sim_push_event(sim, input);
}

int sim_is_open(struct sim *sim, const char *id)
{
	return sim_request_with_id(sim, id) && sim_request_with_id(sim, id)->token;
}
void sim_abandon_request(struct sim *sim, const char *id)
{
	sim_end_request(sim, sim_request_with_id(sim, id), SIM_LOST);
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

	sim_push_event(sim, input);
}

void sim_close_client_connections(struct sim *sim, int node)
{
	for (ptrdiff_t i = 0; i < arrlen(sim->requests); i++)
		if (sim->requests[i].token && sim->requests[i].node == node)
			sim_end_request(sim, &sim->requests[i], SIM_LOST);
}
