#include "purge_relay.h"

#include <string.h>

#include "containers.h"

enum { MAX_REQUESTED_RANGES = 8 }; /* maximum number of ranges in one curiosity message */

void relay_open(struct relay *relay, int64_t now)
{
	memset(relay, 0, sizeof *relay);
	relay->opened_at_ms = relay->upstream_selected_at_ms = now;
	relay->horizon_moved_at_ms = relay->known_at_ms =
	    now - PURGE_MAX_STALENESS_MS - 1; /* no knowledge is current before the first has been received */
}

void relay_close(struct relay *relay)
{
	knowledge_clear(&relay->knowledge);
	purge_view_clear(&relay->view);
	arrfree(relay->downstreams);
	arrfree(relay->upstreams);
}

void relay_set_upstreams(struct relay *relay, const uint64_t *upstreams, size_t count, uint64_t log_addr,
			 int64_t now)
{
	size_t new_count = count + (log_addr != 0);
	int same = (size_t)arrlen(relay->upstreams) == new_count;

	for (size_t i = 0; same && i < new_count; i++)
		same = relay->upstreams[i] == (i < count ? upstreams[i] : log_addr);
	if (same)
		return;
	arrsetlen(relay->upstreams, 0);
	for (size_t i = 0; i < count; i++)
		arrput(relay->upstreams, upstreams[i]);
	if (log_addr)
		arrput(relay->upstreams, log_addr);
	relay->upstream_position = 0;
	relay->upstream_selected_at_ms = now;
	relay->curiosity_sent_at_ms = 0; /* send curiosity to the new upstream at once */
}

uint64_t relay_acknowledged_tick(const struct relay *relay)
{
	uint64_t tick = relay->knowledge.horizon;

	for (ptrdiff_t i = 0; i < arrlen(relay->downstreams); i++)
		if (relay->downstreams[i].acknowledged_tick < tick)
			tick = relay->downstreams[i].acknowledged_tick;
	return tick;
}

bool relay_is_current(const struct relay *relay, int64_t now)
{
	return relay->has_knowledge && now - relay->known_at_ms < PURGE_MAX_STALENESS_MS;
}

/* Returns the age of our knowledge, limited to the range of the field in messages. */
static uint32_t knowledge_age_ms(const struct relay *relay, int64_t now)
{
	int64_t ms = now - relay->known_at_ms;

	if (ms < 0)
		return 0;
	return ms > INT32_MAX ? INT32_MAX : (uint32_t)ms;
}

/* Set in a message the tick up to which we know all, the age of that knowledge, and the receiver's clock
 * from the request that the message answers, from which the receiver derives the time of the knowledge. */
static void set_knowledge_age(const struct relay *relay, struct Nl__Knowledge *knowledge,
			      int64_t request_clock_ms, int64_t now)
{
	knowledge->age_ms = knowledge_age_ms(relay, now);
	knowledge->request_clock_ms = request_clock_ms;
	knowledge->horizon = relay->knowledge.horizon;
}

/* Send the known ticks of a range to each downstream. */
static void send_increments(struct relay *relay, uint64_t first, uint64_t last, int64_t now,
			    struct command_list *out)
{
	for (ptrdiff_t i = 0; i < arrlen(relay->downstreams); i++) {
		const struct relay_downstream *downstream = &relay->downstreams[i];
		struct Nl__Knowledge *knowledge = MESSAGE_NEW(out, Nl__Knowledge, NL__KNOWLEDGE__INIT);

		if (!knowledge_append(&relay->knowledge, first, last, knowledge, out) ||
		    !knowledge->n_increments)
			continue;
		set_knowledge_age(relay, knowledge, downstream->request_clock_ms, now);
		command_send(out, downstream->addr, SHARD_PURGE, NL__MSG__BODY_KNOWLEDGE)->knowledge =
		    knowledge;
		relay->increments_sent += knowledge->n_increments;
	}
}

/* Returns a lower bound, on our clock, of the time at which the content of a message was valid: the
 * message was sent after our request, and its content was age_ms old then. A message that was buffered
 * while a link was down or this process was frozen still carries the clock of an earlier request, so it
 * proves nothing newer. Returns 0 if the message answers no request of ours. */
static int64_t earliest_valid_at_ms(int64_t request_clock_ms, uint32_t age_ms, int64_t now)
{
	return request_clock_ms > 0 && request_clock_ms <= now ? request_clock_ms - age_ms : 0;
}

/* The sender of a message states that every purge decided up to known_at_ms has a tick up to horizon. Once
 * our own horizon reaches that tick, we know all of these purges, regardless of which message contained
 * the ticks. */
static void advance_known_at(struct relay *relay, uint64_t horizon, int64_t known_at_ms)
{
	if (relay->knowledge.horizon >= horizon && known_at_ms > relay->known_at_ms)
		relay->known_at_ms = known_at_ms;
}

/* Add a range and its value; returns 1 if any tick was unknown before. horizon_moved_at_ms: when the
 * sender's horizon moved, ignoring the transmission time of the message. */
static int learn_range(struct relay *relay, uint64_t first, uint64_t last, const struct Nl__Value *value,
		       int64_t horizon_moved_at_ms)
{
	uint64_t old_horizon = relay->knowledge.horizon;
	int is_new;

	if (value) {
		purge_view_apply(&relay->view, value);
		if (relay->on_value)
			relay->on_value(relay->context, value);
	}
	is_new = knowledge_add(&relay->knowledge, first, last, value);
	if (relay->knowledge.horizon > old_horizon) {
		if (horizon_moved_at_ms > relay->horizon_moved_at_ms)
			relay->horizon_moved_at_ms = horizon_moved_at_ms;
		relay->has_knowledge = true;
	}
	return is_new;
}

void relay_publish(struct relay *relay, uint64_t first, uint64_t last, const struct Nl__Value *value,
		   int64_t now, struct command_list *out)
{
	int is_new = learn_range(relay, first, last, value, now);

	advance_known_at(relay, last, now);
	if (is_new)
		send_increments(relay, first, last, now, out);
}

static bool is_valid_increment(const struct Nl__Increment *increment)
{
	const struct Nl__Value *value = increment->value;

	if (increment->first > increment->last)
		return false;
	return !value || (value->purge && value->tick >= increment->first && value->tick <= increment->last);
}

static void on_knowledge(struct relay *relay, const struct Nl__Knowledge *knowledge, int64_t now,
			 struct command_list *out)
{
	int64_t known_at_ms = earliest_valid_at_ms(knowledge->request_clock_ms, knowledge->age_ms, now);
	bool *is_new = apr_pcalloc(out->pool, (knowledge->n_increments + 1) * sizeof *is_new);
	uint64_t old_horizon = relay->knowledge.horizon;

	for (size_t i = 0; i < knowledge->n_increments; i++) {
		const struct Nl__Increment *increment = knowledge->increments[i];

		is_new[i] =
		    is_valid_increment(increment) && learn_range(relay, increment->first, increment->last,
								 increment->value, now - knowledge->age_ms);
	}
	if (knowledge->horizon)
		advance_known_at(relay, knowledge->horizon, known_at_ms);
	else if (relay->knowledge.horizon > old_horizon) /* a sender of an earlier version sends no horizon */
		advance_known_at(relay, 0, known_at_ms);
	for (size_t i = 0; i < knowledge->n_increments; i++)
		if (is_new[i])
			send_increments(relay, knowledge->increments[i]->first,
					knowledge->increments[i]->last, now, out);
}

static void on_purge_snapshot(struct relay *relay, const struct Nl__PurgeSnapshot *snapshot, int64_t now,
			      struct command_list *out)
{
	bool has_new_ticks = snapshot->upto_tick > relay->knowledge.horizon;

	for (size_t i = 0; i < snapshot->n_latest; i++)
		if (snapshot->latest[i]->purge) {
			purge_view_apply(&relay->view, snapshot->latest[i]);
			if (relay->on_value)
				relay->on_value(relay->context, snapshot->latest[i]);
		}
	if (has_new_ticks)
		learn_range(relay, relay->knowledge.horizon + 1, snapshot->upto_tick, NULL,
			    now - snapshot->age_ms);
	advance_known_at(relay, snapshot->upto_tick,
			 earliest_valid_at_ms(snapshot->request_clock_ms, snapshot->age_ms, now));
	if (!has_new_ticks)
		return;
	/* the values up to upto_tick are not stored here, so downstreams that lack them need a snapshot
	 * too */
	knowledge_release(&relay->knowledge, snapshot->upto_tick);
	send_increments(relay, snapshot->upto_tick + 1, knowledge_highest_tick(&relay->knowledge), now, out);
}

static void send_purge_snapshot(struct relay *relay, uint64_t downstream_addr, int64_t request_clock_ms,
				int64_t now, struct command_list *out)
{
	struct Nl__PurgeSnapshot *snapshot = MESSAGE_NEW(out, Nl__PurgeSnapshot, NL__PURGE_SNAPSHOT__INIT);

	snapshot->upto_tick = relay->knowledge.horizon;
	snapshot->age_ms = knowledge_age_ms(relay, now);
	snapshot->request_clock_ms = request_clock_ms;
	snapshot->latest =
	    apr_palloc(out->pool, ((size_t)hmlen(relay->view.subjects) + 1) * sizeof *snapshot->latest);
	for (ptrdiff_t i = 0; i < hmlen(relay->view.subjects); i++)
		snapshot->latest[snapshot->n_latest++] =
		    (struct Nl__Value *)core_copy_message(out->pool, &relay->view.subjects[i].value->base);
	command_send(out, downstream_addr, SHARD_PURGE, NL__MSG__BODY_PURGE_SNAPSHOT)->purge_snapshot =
	    snapshot;
}

/* Send a curiosity message to the upstream: the acknowledged tick, and with requests_ranges the unknown
 * ticks, which are the gaps and all ticks above the highest known one. */
static void send_curiosity(struct relay *relay, int requests_ranges, int64_t now, struct command_list *out)
{
	struct tick_range gaps[MAX_REQUESTED_RANGES];
	size_t upstream_count = (size_t)arrlen(relay->upstreams);
	struct Nl__Curiosity *curiosity;
	uint64_t upstream;
	int gap_count;

	if (relay->is_publisher || !upstream_count)
		return;
	requests_ranges = requests_ranges && !relay->curiosity_disabled;
	gap_count = requests_ranges ? knowledge_gaps(&relay->knowledge, gaps, MAX_REQUESTED_RANGES) : 0;
	curiosity = MESSAGE_NEW(out, Nl__Curiosity, NL__CURIOSITY__INIT);
	curiosity->acknowledged_tick = relay_acknowledged_tick(relay);
	curiosity->highest_tick = knowledge_highest_tick(&relay->knowledge);
	curiosity->needs_snapshot = !relay->has_knowledge;
	curiosity->request_clock_ms = now;
	curiosity->wanted = apr_palloc(out->pool, MAX_REQUESTED_RANGES * sizeof *curiosity->wanted);
	if (requests_ranges && gap_count < MAX_REQUESTED_RANGES)
		gaps[gap_count++] = (struct tick_range){ curiosity->highest_tick + 1, UINT64_MAX };
	for (int i = 0; i < gap_count; i++) {
		curiosity->wanted[i] = MESSAGE_NEW(out, Nl__TickRange, NL__TICK_RANGE__INIT);
		curiosity->wanted[i]->first = gaps[i].first;
		curiosity->wanted[i]->last = gaps[i].last;
		curiosity->n_wanted++;
	}
	relay->curiosity_sent_at_ms = now;
	upstream = relay->upstreams[relay->upstream_position % upstream_count];
	command_send(out, upstream, SHARD_PURGE, NL__MSG__BODY_CURIOSITY)->curiosity = curiosity;
}

static struct relay_downstream *find_downstream(struct relay *relay, uint64_t id)
{
	for (ptrdiff_t i = 0; i < arrlen(relay->downstreams); i++)
		if (relay->downstreams[i].id == id)
			return &relay->downstreams[i];
	return NULL;
}

/* Record the state that a downstream reports in a curiosity message; add the downstream if it is new. */
static void update_downstream(struct relay *relay, const struct Nl__Msg *message, int64_t now)
{
	const struct Nl__Curiosity *curiosity = message->curiosity;
	struct relay_downstream *downstream = find_downstream(relay, message->id);

	if (!downstream) {
		struct relay_downstream added = { .id = message->id };

		arrput(relay->downstreams, added);
		downstream = &arrlast(relay->downstreams);
	}
	downstream->last_contact_at_ms = now;
	downstream->request_clock_ms = curiosity->request_clock_ms;
	downstream->addr = message->addr;
	if (curiosity->acknowledged_tick > downstream->acknowledged_tick)
		downstream->acknowledged_tick = curiosity->acknowledged_tick;
}

/* Send a downstream the known ticks of the ranges that it requests, or a snapshot if values in them have
 * been freed. Returns 1 if increments were found, or if the requested ranges lie below our horizon. */
static int answer_requested_ranges(struct relay *relay, const struct Nl__Msg *message, int64_t now,
				   struct command_list *out)
{
	const struct Nl__Curiosity *curiosity = message->curiosity;
	struct Nl__Knowledge *knowledge = MESSAGE_NEW(out, Nl__Knowledge, NL__KNOWLEDGE__INIT);
	uint64_t highest_tick = knowledge_highest_tick(&relay->knowledge);
	int has_unknown_ticks = 0, all_held = 1;

	for (size_t i = 0; i < curiosity->n_wanted; i++) {
		const struct Nl__TickRange *requested = curiosity->wanted[i];
		uint64_t last = requested->last < highest_tick ? requested->last : highest_tick;

		if (requested->first <= last)
			all_held &=
			    knowledge_append(&relay->knowledge, requested->first, last, knowledge, out);
		has_unknown_ticks |= requested->last > relay->knowledge.horizon;
	}
	if (!all_held) {
		send_purge_snapshot(relay, message->addr, curiosity->request_clock_ms, now, out);
	} else if (knowledge->n_increments) {
		set_knowledge_age(relay, knowledge, curiosity->request_clock_ms, now);
		command_send(out, message->addr, SHARD_PURGE, NL__MSG__BODY_KNOWLEDGE)->knowledge = knowledge;
	}
	return !has_unknown_ticks || knowledge->n_increments;
}

static void on_curiosity(struct relay *relay, const struct Nl__Msg *message, int64_t now,
			 struct command_list *out)
{
	const struct Nl__Curiosity *curiosity = message->curiosity;

	if (!relay->has_knowledge)
		return;
	update_downstream(relay, message, now);
	if (curiosity->needs_snapshot || curiosity->acknowledged_tick < relay->knowledge.released_tick) {
		send_purge_snapshot(relay, message->addr, curiosity->request_clock_ms, now, out);
		return;
	}
	/* forward the request to our upstream, unless we sent curiosity less than PURGE_CURIOSITY_MS ago */
	if (!answer_requested_ranges(relay, message, now, out) &&
	    now - relay->curiosity_sent_at_ms >= PURGE_CURIOSITY_MS)
		send_curiosity(relay, 1, now, out);
}

void relay_receive(struct relay *relay, const struct Nl__Msg *message, int64_t now, struct command_list *out)
{
	switch (message->body_case) {
	case NL__MSG__BODY_KNOWLEDGE:
		relay->knowledge_received_at_ms = now;
		if (!relay->is_publisher && relay->has_knowledge)
			on_knowledge(relay, message->knowledge, now, out);
		break;
	case NL__MSG__BODY_PURGE_SNAPSHOT:
		relay->knowledge_received_at_ms = now;
		if (!relay->is_publisher)
			on_purge_snapshot(relay, message->purge_snapshot, now, out);
		break;
	case NL__MSG__BODY_CURIOSITY:
		on_curiosity(relay, message, now, out);
		break;
	default:
		break;
	}
}

/* Select the next upstream if the one in use has made no progress for a stall period; the last one is the
 * publisher's log. */
static void try_next_upstream(struct relay *relay, int64_t now)
{
	if (!arrlen(relay->upstreams) || now - relay->horizon_moved_at_ms < 2 * PURGE_STALL_MS ||
	    now - relay->upstream_selected_at_ms < PURGE_STALL_MS)
		return;
	relay->upstream_position = (relay->upstream_position + 1) % (size_t)arrlen(relay->upstreams);
	relay->upstream_selected_at_ms = now;
	relay->curiosity_sent_at_ms = 0;
}

void relay_tick(struct relay *relay, int64_t now, struct command_list *out)
{
	struct tick_range gaps[1];
	int requests_ranges;

	for (ptrdiff_t i = arrlen(relay->downstreams) - 1; i >= 0; i--)
		if (now - relay->downstreams[i].last_contact_at_ms > PURGE_DOWNSTREAM_TIMEOUT_MS)
			arrdel(relay->downstreams,
			       (size_t)i); /* its lease has expired; if it returns, it will need a snapshot */
	/* a new node does not know its downstreams yet: no value is freed before all of them have had time
	 * to send a message */
	if (now - relay->opened_at_ms > PURGE_DOWNSTREAM_TIMEOUT_MS)
		knowledge_release(&relay->knowledge, relay_acknowledged_tick(relay));
	if (relay->is_publisher)
		return;
	requests_ranges = !relay->has_knowledge || now - relay->horizon_moved_at_ms >= PURGE_STALL_MS ||
			  knowledge_gaps(&relay->knowledge, gaps, 1);
	if (now - relay->curiosity_sent_at_ms >= PURGE_CURIOSITY_MS)
		send_curiosity(relay, requests_ranges, now, out);
	try_next_upstream(relay, now);
}
