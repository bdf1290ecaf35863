/* router_claims: claims of request ids, for the product's own interface. Before a request is sent to a
 * server, its tenant and id are claimed with the shard of its service, so that no other router runs the same
 * id. The claim of a request that certainly never ran is released. Claims and releases are proposed again
 * until a leader answers: each shard records a claim once, however often it is proposed. */
#include "router_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

enum {
	/* delay before a claim is proposed to the leader named in an answer */
	REDIRECTED_CLAIM_DELAY_MS = 20,
	REDIRECTED_RELEASE_DELAY_MS = 50,
	/* delay before a claim is proposed again when its outcome is unknown */
	UNKNOWN_OUTCOME_RETRY_DELAY_MS = 50
};

/* A claim or the release of a claim, to be proposed. */
struct claim_proposal {
	uint32_t service_index;
	uint32_t tenant_index;
	const char *id;
	uint64_t sequence;
	uint64_t token;
	bool is_release;
};

static uint32_t shard_of_service(const struct router *router, uint32_t service_index)
{
	return core_service_shard(router->names.services.names[service_index], SHARD_SERVICES);
}

/* Proposes a claim or a release to the presumed leader of the shard; returns the leader's address. */
static uint64_t propose_claim_operation(struct router *router, const struct claim_proposal *proposal,
					struct command_list *out)
{
	uint32_t shard = shard_of_service(router, proposal->service_index);
	uint64_t leader_addr = config_watch_leader_addr(&router->config.watch, shard);
	struct Nl__Propose *message = MESSAGE_NEW(out, Nl__Propose, NL__PROPOSE__INIT);
	struct Nl__Claim *claim = MESSAGE_NEW(out, Nl__Claim, NL__CLAIM__INIT);

	claim->tenant = apr_pstrdup(out->pool, router->names.tenants.names[proposal->tenant_index]);
	claim->id = apr_pstrdup(out->pool, proposal->id);
	claim->router_id = router->id;
	claim->seq = proposal->sequence;
	claim->release = proposal->is_release;
	message->operation = MESSAGE_NEW(out, Nl__Operation, NL__OPERATION__INIT);
	message->operation->body_case = NL__OPERATION__BODY_CLAIM;
	message->operation->claim = claim;
	message->token = proposal->token;
	router->stats.claim_proposals++;
	command_send(out, leader_addr, shard, NL__MSG__BODY_PROPOSE)->propose = message;
	return leader_addr;
}

void router_on_claim_unanswered(struct router *router, uint32_t service_index, uint64_t leader_addr)
{
	if (config_watch_leader_addr(&router->config.watch, shard_of_service(router, service_index)) ==
	    leader_addr)
		config_watch_try_next_controller(&router->config.watch,
						 shard_of_service(router, service_index));
}

void router_claim_send(struct router *router, struct client_request *request, int64_t now,
		       struct command_list *out)
{
	struct claim_proposal proposal = {
		.service_index = request->route.service_index,
		.tenant_index = request->route.tenant_index,
		.id = request->client.request_id,
		.sequence = request->sequence,
		.token = request->claim.token,
	};

	request->claim.sent_at_ms = now;
	request->claim.unanswered_leader_addr = propose_claim_operation(router, &proposal, out);
}

/* ---- releases -------------------------------------------------------------------------------- */

static void propose_release(struct router *router, struct claim_release *release, int64_t now,
			    struct command_list *out)
{
	struct claim_proposal proposal = {
		.service_index = release->service_index,
		.tenant_index = release->tenant_index,
		.id = release->id,
		.sequence = release->sequence,
		.token = release->token,
		.is_release = true,
	};

	release->sent_at_ms = now;
	release->leader_addr = propose_claim_operation(router, &proposal, out);
}

void router_claim_release(struct router *router, const struct client_request *request, int64_t now,
			  struct command_list *out)
{
	struct claim_release release = {
		.token = router_token_new(router),
		.sequence = request->sequence,
		.service_index = request->route.service_index,
		.tenant_index = request->route.tenant_index,
		.id = strdup(request->client.request_id),
		.expires_at_ms = now + ROUTER_CLAIM_RELEASE_MAX_MS,
	};

	propose_release(router, &release, now, out);
	arrput(router->requests.claim_releases, release);
}

void router_claim_release_drop(struct router *router, ptrdiff_t i)
{
	free(router->requests.claim_releases[i].id);
	arrdelswap(router->requests.claim_releases, i);
}

void router_claim_releases_tick(struct router *router, int64_t now, struct command_list *out)
{
	for (ptrdiff_t i = arrlen(router->requests.claim_releases) - 1; i >= 0; i--) {
		struct claim_release *release = &router->requests.claim_releases[i];

		if (now >= release->expires_at_ms) {
			router_claim_release_drop(router, i);
		} else if (now - release->sent_at_ms >= ROUTER_CLAIM_RETRY_INTERVAL_MS) {
			router_on_claim_unanswered(router, release->service_index, release->leader_addr);
			propose_release(router, release, now, out);
		}
	}
}

/* ---- answers --------------------------------------------------------------------------------- */

/* Handles the answer of a controller that is not the leader and may name the leader. A late answer from a
 * controller that is no longer the presumed leader is ignored. */
static void apply_leader_hint(struct router *router, uint32_t service_index, uint64_t asked_addr,
			      uint64_t sender_addr, uint64_t leader_hint_addr)
{
	uint32_t shard = shard_of_service(router, service_index);

	if (asked_addr == sender_addr && config_watch_leader_addr(&router->config.watch, shard) == asked_addr)
		config_watch_set_leader_hint(&router->config.watch, shard,
					     leader_hint_addr == sender_addr ? 0 : leader_hint_addr);
}

static void on_release_reply(struct router *router, ptrdiff_t i, const struct Nl__ProposeReply *reply,
			     uint64_t sender_addr, int64_t now)
{
	struct claim_release *release = &router->requests.claim_releases[i];

	if (reply->status == PROPOSAL_NOT_LEADER) {
		apply_leader_hint(router, release->service_index, release->leader_addr, sender_addr,
				  reply->leader_hint);
		release->sent_at_ms = now - ROUTER_CLAIM_RETRY_INTERVAL_MS + REDIRECTED_RELEASE_DELAY_MS;
		release->leader_addr = 0;
	} else if (reply->status != PROPOSAL_OUTCOME_UNKNOWN) {
		router_claim_release_drop(router, i);
	}
}

static void on_claim_reply(struct router *router, struct client_request *request,
			   const struct Nl__ProposeReply *reply, uint64_t sender_addr, int64_t now,
			   struct command_list *out)
{
	switch (reply->status) {
	case PROPOSAL_APPLIED:
		request->claim.is_confirmed = true;
		/* only the leader completes a proposal */
		config_watch_set_leader_hint(&router->config.watch,
					     shard_of_service(router, request->route.service_index),
					     sender_addr);
		router_send(router, request, now, out);
		break;
	case PROPOSAL_NOT_LEADER:
		apply_leader_hint(router, request->route.service_index, request->claim.unanswered_leader_addr,
				  sender_addr, reply->leader_hint);
		request->claim.unanswered_leader_addr = 0; /* the controller has answered */
		request->claim.sent_at_ms = now - ROUTER_CLAIM_RETRY_INTERVAL_MS + REDIRECTED_CLAIM_DELAY_MS;
		break;
	case PROPOSAL_OUTCOME_UNKNOWN:
		request->claim.sent_at_ms =
		    now - ROUTER_CLAIM_RETRY_INTERVAL_MS + UNKNOWN_OUTCOME_RETRY_DELAY_MS;
		break;
	default:
		router_reject(router, request, 409, "id: already claimed by an earlier request", now, out);
	}
}

void router_on_propose_reply(struct router *router, const struct Nl__ProposeReply *reply,
			     uint64_t sender_addr, int64_t now, struct command_list *out)
{
	struct client_request *request = router_request_by_token(router, reply->token);

	for (ptrdiff_t i = 0; i < arrlen(router->requests.claim_releases); i++)
		if (router->requests.claim_releases[i].token == reply->token) {
			on_release_reply(router, i, reply, sender_addr, now);
			return;
		}
	if (!request || request->state != REQUEST_CLAIMING || request->claim.token != reply->token ||
	    request->claim.is_confirmed)
		return;
	on_claim_reply(router, request, reply, sender_addr, now, out);
}
