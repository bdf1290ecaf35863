#include "purge_publisher.h"

#include <string.h>

#include "ds.h"
#include "leadership.h"
#include "controller_private.h"

static struct Nl__Value **copy_values(struct Nl__Value *const *v, size_t n, apr_pool_t *pool)
{
	struct Nl__Value **value = apr_palloc(pool, (n + 1) * sizeof *value);

	for (size_t i = 0; i < n; i++)
		value[i] = (struct Nl__Value *)core_copy_message(pool, &v[i]->base);
	return value;
}

static struct Nl__Value **find_feed(struct controller *controller, uint32_t shard)
{
	return shard == SHARD_CONTROL ? controller->config_purge_feed : service_shard_state(controller, shard) ? service_shard_state(controller, shard)->purge_feed : NULL;
}

void on_feed_request(struct controller *controller, const struct Nl__Msg *message, int64_t now, struct out *out)
{
	struct Nl__FeedReply *feed_reply;
	struct Nl__Value **value;
	size_t acknowledged = 0, released = 0;

	if (message->part >= SHARD_COUNT || message->part == SHARD_PURGE)
		return;
	if (!leads_shard(controller, message->part, now)) {
		struct Nl__Owner *owner = OUT_NEW(out, Nl__Owner, NL__OWNER__INIT);

		owner->owner = leader_hint(controller, message->part, now);
		command_send(out, message->addr, message->part, NL__MSG__BODY_OWNER)->owner = owner;
		return;
	}
	feed_reply = OUT_NEW(out, Nl__FeedReply, NL__FEED_REPLY__INIT);
	feed_reply->round = message->feed_ask->round;
	value = find_feed(controller, message->part);
	while (acknowledged < (size_t)arrlen(value) && value[acknowledged]->index <= message->feed_ask->have)
		acknowledged++;
	released = acknowledged;
	feed_reply->n_v = (size_t)arrlen(value) - acknowledged;
	feed_reply->v = copy_values(value ? value + acknowledged : NULL, feed_reply->n_v, out->pool);
	command_send(out, message->addr, message->part, NL__MSG__BODY_FEED_REPLY)->feed_reply = feed_reply;
	if (released > 64) {
		struct Nl__Op operation = NL__OP__INIT;
		struct Nl__Trim trim = NL__TRIM__INIT;

		trim.feed = message->feed_ask->have;
		operation.op_case = NL__OP__OP_TRIM;
		operation.trim = &trim;
		log_operation(controller, message->part, &operation, now, out);
	}
}

void on_feed_reply(struct controller *controller, const struct Nl__Msg *message, int64_t now, struct out *out)
{
	const struct Nl__FeedReply *feed_reply = message->feed_reply;
	int proposed = 0;

	if (!controller->relay.is_publisher || message->part >= SHARD_COUNT || !leads_shard(controller, SHARD_PURGE, now))
		return;
	config_watch_hint(&controller->config_watch, message->part, message->addr);
	/* one batch at a time; what does not fit, the feed will say again */
	for (size_t i = 0; i < feed_reply->n_v && (proposed || controller->pending_tick <= controller->declared_tick); i++) {
		struct Nl__Op operation = NL__OP__INIT;
		uint64_t next = (proposed ? controller->pending_tick : controller->declared_tick) + 1;

		if (!feed_reply->v[i]->purge || feed_reply->v[i]->index <= controller->purge_state.published_index[message->part])
			continue;
		if (next > controller->purge_state.ceiling || proposed == CONTROLLER_PURGE_BATCH)
			break;
		feed_reply->v[i]->feed = message->part;
		feed_reply->v[i]->tick = next;
		operation.op_case = NL__OP__OP_VALUE;
		operation.value = feed_reply->v[i];
		if (!log_operation(controller, SHARD_PURGE, &operation, now, out))
			break;
		controller->pending_tick = next;
		proposed++;
	}
	if (controller->pending_tick > controller->declared_tick)
		return; /* this feed has not said all yet */
	if (feed_reply->round > controller->feed_complete_round[message->part])
		controller->feed_complete_round[message->part] = feed_reply->round;
}

static void reserve_ticks(struct controller *controller, int64_t now, struct out *out)
{
	struct Nl__Op operation = NL__OP__INIT;
	struct Nl__Reserve reserve = NL__RESERVE__INIT;

	reserve.ceiling = controller->purge_state.ceiling + PURGE_RESERVED_TICKS;
	reserve.released = controller->relay.knowledge.released;
	operation.op_case = NL__OP__OP_RESERVE;
	operation.reserve = &reserve;
	if (log_operation(controller, SHARD_PURGE, &operation, now, out))
		controller->reserved_for_ceiling = controller->purge_state.ceiling;
}

void publisher_start(struct controller *controller, int64_t now, struct out *out)
{
	struct relay *relay = &controller->relay;

	knowledge_clear(&relay->knowledge);
	relay->knowledge.released = relay->knowledge.horizon = controller->purge_state.released;
	relay->is_publisher = 1;
	relay->opened_at_ms = now;
	arrsetlen(relay->downstreams, 0);
	for (ptrdiff_t i = 0; i < hmlen(controller->purge_state.last_view.subjects); i++)
		purge_view_apply(&relay->view, controller->purge_state.last_view.subjects[i].value);
	for (ptrdiff_t i = 0; i < arrlen(controller->purge_state.values); i++)
		relay_publish(relay, relay->knowledge.horizon + 1, controller->purge_state.values[i]->tick, controller->purge_state.values[i], now, out);
	controller->declared_tick = controller->purge_state.ceiling;
	if (raft_epoch(controller->shards[SHARD_PURGE].term) > controller->epoch[SHARD_PURGE]) /* the ceiling rises with the first operation */
		controller->declared_tick += CONTROLLER_RECOVERY_SKIP;
	relay_publish(relay, relay->knowledge.horizon + 1, controller->declared_tick, NULL, now, out);
	controller->pending_tick = 0;
	controller->reserved_for_ceiling = UINT64_MAX;
	controller->tick_declared_at_ms = now;
	for (int i = 0; i < SHARD_COUNT; i++)
		controller->feed_complete_round[i] = 0;
	controller->feed_round = 1;
	reserve_ticks(controller, now, out);
}

void publisher_tick(struct controller *controller, int64_t now, struct out *out)
{
	int all_complete = 1;

	if (now - controller->feed_polled_at_ms >= CONTROLLER_FEED_POLL_MS) {
		controller->feed_polled_at_ms = now;
		controller->feed_round++;
		for (uint32_t i = 0; i < SHARD_COUNT; i++) {
			struct Nl__FeedAsk *feed_ask;

			if (i == SHARD_PURGE)
				continue;
			if (i != SHARD_CONTROL && controller->feed_round > controller->feed_complete_round[i] + 5 && controller->feed_round % 5 == 0)
				config_watch_miss(&controller->config_watch, i); /* no word for a while: try another controller, then heed its hint */
			feed_ask = OUT_NEW(out, Nl__FeedAsk, NL__FEED_ASK__INIT);
			feed_ask->have = controller->purge_state.published_index[i];
			feed_ask->round = controller->feed_round;
			command_send(out, leads_shard(controller, i, now) ? out->addr : config_watch_leader_addr(&controller->config_watch, i), i, NL__MSG__BODY_FEED_ASK)
			    ->feed_ask = feed_ask;
		}
	}
	if (controller->purge_state.ceiling < controller->declared_tick + PURGE_RESERVED_TICKS / 2 && controller->reserved_for_ceiling != controller->purge_state.ceiling)
		reserve_ticks(controller, now, out);
	if (now - controller->tick_declared_at_ms < PURGE_TICK_MS || controller->pending_tick > controller->declared_tick || controller->declared_tick >= controller->purge_state.ceiling)
		return;
	for (uint32_t i = 0; i < SHARD_COUNT; i++) /* silence waits for every feed */
		all_complete &= i == SHARD_PURGE || controller->feed_complete_round[i] + 2 >= controller->feed_round;
	if (!all_complete)
		return;
	controller->tick_declared_at_ms = now;
	controller->declared_tick++;
	relay_publish(&controller->relay, controller->declared_tick, controller->declared_tick, NULL, now, out);
}
