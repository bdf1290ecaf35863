#include "config_handover.h"

#include <stdlib.h>

#include "config_sync.h"
#include "containers.h"
#include "leadership.h"
#include "controller_private.h"

/* How a configuration request is handled in the current state of leadership. */
enum request_handling { HANDLE_ANSWER, HANDLE_DEFER, HANDLE_FORWARD };

static uint64_t other_leader_addr(const struct controller *controller, int64_t now)
{
	uint64_t leader_addr = leader_hint(controller, SHARD_CONTROL, now);

	return leader_addr == controller->identity.addr ? 0 : leader_addr;
}

static enum request_handling current_handling(const struct controller *controller, int64_t now)
{
	const struct raft *raft = &controller->shards[SHARD_CONTROL];

	if (leads_shard(controller, SHARD_CONTROL, now))
		return HANDLE_ANSWER;
	/* a leader that has already led in this term, but does not now, has lost its lease: another leader
	 * may have been elected, so the request is answered with a hint */
	if (raft->role == RAFT_LEADER)
		return controller->leadership[SHARD_CONTROL].term == raft->term ? HANDLE_ANSWER
										: HANDLE_DEFER;
	if (!controller->is_stopping)
		return HANDLE_ANSWER;
	return other_leader_addr(controller, now) ? HANDLE_FORWARD : HANDLE_DEFER;
}

static void forward_request(const struct controller *controller, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out)
{
	struct command *command = command_add(out, CMD_SEND);

	command->args.send.addr = other_leader_addr(controller, now);
	/* the copy keeps the requester's address, to which the new leader replies */
	command->args.send.msg = (struct Nl__Msg *)core_copy_message(out->pool, &message->base);
}

static void defer_request(struct controller *controller, const struct Nl__Msg *message, int64_t now)
{
	struct controller_deferred_request deferred = { NULL, now + CONFIG_HANDOVER_DEFER_MS };
	size_t packed_bytes = nl__msg__get_packed_size(message);
	uint8_t *packed = malloc(packed_bytes + 1);

	if (!packed)
		abort();
	nl__msg__pack(message, packed);
	deferred.request = nl__msg__unpack(NULL, packed_bytes, packed);
	free(packed);
	if (!deferred.request)
		abort();
	for (ptrdiff_t i = 0; i < arrlen(controller->handover.deferred); i++)
		if (controller->handover.deferred[i].request->id == message->id) {
			nl__msg__free_unpacked(controller->handover.deferred[i].request, NULL);
			/* the deadline of the first deferred request stays */
			controller->handover.deferred[i].request = deferred.request;
			return;
		}
	arrput(controller->handover.deferred, deferred);
}

bool config_handover_intercept(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			       struct command_list *out)
{
	switch (current_handling(controller, now)) {
	case HANDLE_DEFER:
		defer_request(controller, message, now);
		return true;
	case HANDLE_FORWARD:
		forward_request(controller, message, now, out);
		return true;
	default:
		return false;
	}
}

/* Send a leader hint with the successor's address to every node that has sent a request within
 * CONTROLLER_NODE_LIVE_MS. */
static void announce_successor(struct controller *controller, uint64_t successor_addr, int64_t now,
			       struct command_list *out)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++) {
		struct Nl__LeaderHint *hint;

		if (now - controller->membership.nodes[i].last_request_at_ms > CONTROLLER_NODE_LIVE_MS)
			continue;
		hint = MESSAGE_NEW(out, Nl__LeaderHint, NL__LEADER_HINT__INIT);
		hint->leader_addr = successor_addr;
		command_send(out, controller->membership.nodes[i].addr, SHARD_CONTROL,
			     NL__MSG__BODY_LEADER_HINT)
		    ->leader_hint = hint;
	}
	arrsetlen(controller->membership.nodes, 0);
}

void config_handover_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	enum request_handling handling = current_handling(controller, now);

	if (handling == HANDLE_FORWARD)
		announce_successor(controller, other_leader_addr(controller, now), now, out);
	for (ptrdiff_t i = arrlen(controller->handover.deferred) - 1; i >= 0; i--) {
		struct Nl__Msg *request = controller->handover.deferred[i].request;

		if (handling == HANDLE_DEFER && now < controller->handover.deferred[i].deadline_at_ms)
			continue;
		if (handling == HANDLE_FORWARD)
			forward_request(controller, request, now, out);
		else
			on_config_sync_request(controller, request, now, out);
		arrdel(controller->handover.deferred, i);
		nl__msg__free_unpacked(request, NULL);
	}
}

void config_handover_clear(struct controller *controller)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->handover.deferred); i++)
		nl__msg__free_unpacked(controller->handover.deferred[i].request, NULL);
	arrfree(controller->handover.deferred);
}
