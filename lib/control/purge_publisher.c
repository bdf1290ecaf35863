#include "purge_publisher.h"

#include <string.h>

#include "containers.h"
#include "leadership.h"
#include "controller_private.h"

static struct Nl__Value **copy_values(struct Nl__Value *const *values, size_t count, apr_pool_t *pool)
{
	struct Nl__Value **copies = apr_palloc(pool, (count + 1) * sizeof *copies);

	for (size_t i = 0; i < count; i++)
		copies[i] = (struct Nl__Value *)core_copy_message(pool, &values[i]->base);
	return copies;
}

static struct Nl__Value **find_purge_feed(struct controller *controller, uint32_t shard)
{
	return shard == SHARD_CONTROL                   ? controller->config.purge_feed
	       : service_shard_state(controller, shard) ? service_shard_state(controller, shard)->purge_feed
							: NULL;
}

void publisher_on_feed_request(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			       struct command_list *out)
{
	struct Nl__FeedReply *feed_reply;
	struct Nl__Value **feed_values;
	size_t acknowledged_count = 0, released_count = 0;

	if (message->shard >= SHARD_COUNT || message->shard == SHARD_PURGE)
		return;
	if (!leads_shard(controller, message->shard, now)) {
		struct Nl__LeaderHint *hint = MESSAGE_NEW(out, Nl__LeaderHint, NL__LEADER_HINT__INIT);

		hint->leader_addr = leader_hint(controller, message->shard, now);
		command_send(out, message->addr, message->shard, NL__MSG__BODY_LEADER_HINT)->leader_hint =
		    hint;
		return;
	}
	feed_reply = MESSAGE_NEW(out, Nl__FeedReply, NL__FEED_REPLY__INIT);
	feed_reply->round = message->feed_request->round;
	feed_values = find_purge_feed(controller, message->shard);
	while (acknowledged_count < (size_t)arrlen(feed_values) &&
	       feed_values[acknowledged_count]->index <= message->feed_request->have_index)
		acknowledged_count++;
	released_count = acknowledged_count;
	feed_reply->n_values = (size_t)arrlen(feed_values) - acknowledged_count;
	feed_reply->values = copy_values(feed_values ? feed_values + acknowledged_count : NULL,
					 feed_reply->n_values, out->pool);
	command_send(out, message->addr, message->shard, NL__MSG__BODY_FEED_REPLY)->feed_reply = feed_reply;
	if (released_count > 64) {
		struct Nl__Operation operation = NL__OPERATION__INIT;
		struct Nl__Trim trim = NL__TRIM__INIT;

		trim.feed = message->feed_request->have_index;
		operation.body_case = NL__OPERATION__BODY_TRIM;
		operation.trim = &trim;
		log_operation(controller, message->shard, &operation, now, out);
	}
}

void publisher_on_feed_reply(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			     struct command_list *out)
{
	const struct Nl__FeedReply *feed_reply = message->feed_reply;
	int proposed_count = 0;

	if (!controller->relay.is_publisher || message->shard >= SHARD_COUNT ||
	    !leads_shard(controller, SHARD_PURGE, now))
		return;
	config_watch_set_leader_hint(&controller->config_watch, message->shard, message->addr);
	/* One batch is logged at a time; the feed sends the remaining values again in its next reply. */
	for (size_t i = 0;
	     i < feed_reply->n_values &&
	     (proposed_count || controller->publisher.pending_tick <= controller->publisher.declared_tick);
	     i++) {
		struct Nl__Operation operation = NL__OPERATION__INIT;
		uint64_t next_tick = (proposed_count ? controller->publisher.pending_tick
						     : controller->publisher.declared_tick) +
				     1;

		if (!feed_reply->values[i]->purge ||
		    feed_reply->values[i]->index <= controller->purge_state.published_index[message->shard])
			continue;
		if (next_tick > controller->purge_state.tick_ceiling ||
		    proposed_count == CONTROLLER_MAX_PURGE_BATCH)
			break;
		feed_reply->values[i]->feed = message->shard;
		feed_reply->values[i]->tick = next_tick;
		operation.body_case = NL__OPERATION__BODY_VALUE;
		operation.value = feed_reply->values[i];
		if (!log_operation(controller, SHARD_PURGE, &operation, now, out))
			break;
		controller->publisher.pending_tick = next_tick;
		proposed_count++;
	}
	if (controller->publisher.pending_tick > controller->publisher.declared_tick)
		return; /* values are still being logged, and this feed may hold more */
	if (feed_reply->round > controller->publisher.feed_complete_round[message->shard])
		controller->publisher.feed_complete_round[message->shard] = feed_reply->round;
}

void publisher_on_value_logged(struct controller *controller, const struct Nl__Value *value, bool is_new,
			       int64_t now, struct command_list *out)
{
	struct controller_publisher *publisher = &controller->publisher;

	if (!controller->relay.is_publisher || value->tick <= publisher->declared_tick)
		return;
	/* publish the value, and silence for the ticks before it */
	relay_publish(&controller->relay, publisher->declared_tick + 1, value->tick, is_new ? value : NULL,
		      now, out);
	publisher->declared_tick = value->tick;
	if (publisher->pending_tick > publisher->declared_tick ||
	    publisher->declared_tick >= controller->purge_state.tick_ceiling)
		return;
	/* after the last pending value, declare one tick of silence */
	publisher->declared_tick++;
	relay_publish(&controller->relay, publisher->declared_tick, publisher->declared_tick, NULL, now, out);
}

static void reserve_ticks(struct controller *controller, int64_t now, struct command_list *out)
{
	struct Nl__Operation operation = NL__OPERATION__INIT;
	struct Nl__Reserve reserve = NL__RESERVE__INIT;

	reserve.ceiling = controller->purge_state.tick_ceiling + PURGE_RESERVED_TICKS;
	reserve.released = controller->relay.knowledge.released_tick;
	operation.body_case = NL__OPERATION__BODY_RESERVE;
	operation.reserve = &reserve;
	if (log_operation(controller, SHARD_PURGE, &operation, now, out))
		controller->publisher.reservation_ceiling = controller->purge_state.tick_ceiling;
}

void publisher_start(struct controller *controller, int64_t now, struct command_list *out)
{
	struct relay *relay = &controller->relay;

	knowledge_clear(&relay->knowledge);
	relay->knowledge.released_tick = relay->knowledge.horizon = controller->purge_state.released_tick;
	relay->is_publisher = 1;
	relay->opened_at_ms = now;
	arrsetlen(relay->downstreams, 0);
	for (ptrdiff_t i = 0; i < hmlen(controller->purge_state.newest_purges.subjects); i++)
		purge_view_apply(&relay->view, controller->purge_state.newest_purges.subjects[i].value);
	for (ptrdiff_t i = 0; i < arrlen(controller->purge_state.unreleased_values); i++)
		relay_publish(relay, relay->knowledge.horizon + 1,
			      controller->purge_state.unreleased_values[i]->tick,
			      controller->purge_state.unreleased_values[i], now, out);
	controller->publisher.declared_tick = controller->purge_state.tick_ceiling;
	/* the state's ceiling is raised with the first operation of the new epoch */
	if (raft_epoch(controller->shards[SHARD_PURGE].term) > controller->applied_epoch[SHARD_PURGE])
		controller->publisher.declared_tick += CONTROLLER_RECOVERY_SKIPPED_NUMBERS;
	relay_publish(relay, relay->knowledge.horizon + 1, controller->publisher.declared_tick, NULL, now,
		      out);
	controller->publisher.pending_tick = 0;
	controller->publisher.reservation_ceiling = UINT64_MAX;
	controller->publisher.tick_declared_at_ms = now;
	for (int i = 0; i < SHARD_COUNT; i++)
		controller->publisher.feed_complete_round[i] = 0;
	controller->publisher.feed_round = 1;
	reserve_ticks(controller, now, out);
}

void publisher_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	int all_feeds_complete = 1;

	if (now - controller->publisher.feed_polled_at_ms >= CONTROLLER_FEED_POLL_INTERVAL_MS) {
		controller->publisher.feed_polled_at_ms = now;
		controller->publisher.feed_round++;
		for (uint32_t i = 0; i < SHARD_COUNT; i++) {
			struct Nl__FeedRequest *request;

			if (i == SHARD_PURGE)
				continue;
			if (i != SHARD_CONTROL &&
			    controller->publisher.feed_round >
				controller->publisher.feed_complete_round[i] + 5 &&
			    controller->publisher.feed_round % 5 == 0)
				/* no reply in recent rounds: use another controller, which may reply with a
				 * hint to the leader */
				config_watch_try_next_controller(&controller->config_watch, i);
			request = MESSAGE_NEW(out, Nl__FeedRequest, NL__FEED_REQUEST__INIT);
			request->have_index = controller->purge_state.published_index[i];
			request->round = controller->publisher.feed_round;
			command_send(out,
				     leads_shard(controller, i, now)
					 ? out->addr
					 : config_watch_leader_addr(&controller->config_watch, i),
				     i, NL__MSG__BODY_FEED_REQUEST)
			    ->feed_request = request;
		}
	}
	if (controller->purge_state.tick_ceiling <
		controller->publisher.declared_tick + PURGE_RESERVED_TICKS / 2 &&
	    controller->publisher.reservation_ceiling != controller->purge_state.tick_ceiling)
		reserve_ticks(controller, now, out);
	if (now - controller->publisher.tick_declared_at_ms < PURGE_TICK_MS ||
	    controller->publisher.pending_tick > controller->publisher.declared_tick ||
	    controller->publisher.declared_tick >= controller->purge_state.tick_ceiling)
		return;
	for (uint32_t i = 0; i < SHARD_COUNT; i++) /* a tick is silent only if every feed was empty */
		all_feeds_complete &= i == SHARD_PURGE || controller->publisher.feed_complete_round[i] + 2 >=
							      controller->publisher.feed_round;
	if (!all_feeds_complete)
		return;
	controller->publisher.tick_declared_at_ms = now;
	controller->publisher.declared_tick++;
	relay_publish(&controller->relay, controller->publisher.declared_tick,
		      controller->publisher.declared_tick, NULL, now, out);
}
