#include "purge.h"

#include <stdlib.h>
#include <string.h>

#include "containers.h"

/* ---- values --------------------------------------------------------------- */

struct Nl__Value *value_copy(const struct Nl__Value *v)
{
	size_t n = nl__value__get_packed_size(v);
	uint8_t *d = malloc(n + 1);
	struct Nl__Value *value;

	if (!d)
		abort();
	nl__value__pack(v, d);
	value = nl__value__unpack(NULL, n, d);
	free(d);
	if (!value || !value->purge)
		abort(); /* a value is only made with its purge */
	return value;
}

void value_free(struct Nl__Value *value)
{
	nl__value__free_unpacked(value, NULL);
}

/* ---- know ----------------------------------------------------------------- */

static ptrdiff_t value_position(const struct tick_knowledge *known, uint64_t tick)
{
	ptrdiff_t lo = 0, hi = arrlen(known->values);

	while (lo < hi) {
		ptrdiff_t mid = (lo + hi) / 2;

		if (known->values[mid]->tick < tick)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

int knowledge_add(struct tick_knowledge *known, uint64_t first, uint64_t last, const struct Nl__Value *value)
{
	ptrdiff_t i, j;
	uint64_t merged_first, merged_last;

	if (first > last)
		return 0;
	if (value && value->tick > known->released) {
		i = value_position(known, value->tick);
		if (i == arrlen(known->values) || known->values[i]->tick != value->tick)
			arrins(known->values, i, value_copy(value));
	}
	if (first <= known->horizon)
		first = known->horizon + 1;
	if (first > last)
		return 0;
	for (i = 0; i < arrlen(known->known_ranges) && known->known_ranges[i].last + 1 < first; i++)
		;
	merged_first = first;
	merged_last = last;
	if (i < arrlen(known->known_ranges) && known->known_ranges[i].first <= first &&
	    known->known_ranges[i].last >= last)
		return 0;
	for (j = i; j < arrlen(known->known_ranges) && known->known_ranges[j].first <= last + 1; j++) {
		if (known->known_ranges[j].first < merged_first)
			merged_first = known->known_ranges[j].first;
		if (known->known_ranges[j].last > merged_last)
			merged_last = known->known_ranges[j].last;
	}
	if (j > i)
		arrdeln(known->known_ranges, (size_t)i, (size_t)(j - i));
	arrins(known->known_ranges, i, ((struct tick_range){ merged_first, merged_last }));
	if (known->known_ranges[0].first == known->horizon + 1) {
		known->horizon = known->known_ranges[0].last;
		arrdel(known->known_ranges, 0);
	}
	return 1;
}

uint64_t knowledge_reach(const struct tick_knowledge *known)
{
	return arrlen(known->known_ranges) ? arrlast(known->known_ranges).last : known->horizon;
}

int knowledge_gaps(const struct tick_knowledge *known, struct tick_range *tick_range, int max_count)
{
	uint64_t first = known->horizon + 1;
	int count = 0;

	for (ptrdiff_t i = 0; i < arrlen(known->known_ranges) && count < max_count; i++) {
		tick_range[count++] = (struct tick_range){ first, known->known_ranges[i].first - 1 };
		first = known->known_ranges[i].last + 1;
	}
	return count;
}

/* A known run [a, b]: each value takes the silence before it along, the rest is silence after. */
static void append_run(const struct tick_knowledge *known, uint64_t first, uint64_t last,
		       struct Nl__Knowledge *knowledge, struct command_list *out)
{
	for (ptrdiff_t i = value_position(known, first); first <= last; i++) {
		struct Nl__Increment *inc = MESSAGE_NEW(out, Nl__Increment, NL__INCREMENT__INIT);
		struct Nl__Increment **increment =
		    apr_palloc(out->pool, (knowledge->n_increments + 1) * sizeof *increment);
		uint64_t end = last;

		if (i < arrlen(known->values) && known->values[i]->tick <= last) {
			inc->value =
			    (struct Nl__Value *)core_copy_message(out->pool, &known->values[i]->base);
			if (i + 1 < arrlen(known->values) && known->values[i + 1]->tick <= last)
				end = known->values[i]->tick;
		}
		inc->first = first;
		inc->last = end;
		if (knowledge->n_increments)
			memcpy(increment, knowledge->increments, knowledge->n_increments * sizeof *increment);
		increment[knowledge->n_increments++] = inc;
		knowledge->increments = increment;
		first = end + 1;
	}
}

int knowledge_append(const struct tick_knowledge *known, uint64_t first, uint64_t last,
		     struct Nl__Knowledge *knowledge, struct command_list *out)
{
	if (first <= known->released)
		return 0;
	if (first <= known->horizon)
		append_run(known, first, last < known->horizon ? last : known->horizon, knowledge, out);
	for (ptrdiff_t i = 0; i < arrlen(known->known_ranges); i++) {
		uint64_t range_first =
		    known->known_ranges[i].first > first ? known->known_ranges[i].first : first;
		uint64_t range_last = known->known_ranges[i].last < last ? known->known_ranges[i].last : last;

		if (range_first <= range_last)
			append_run(known, range_first, range_last, knowledge, out);
	}
	return 1;
}

void knowledge_release(struct tick_knowledge *known, uint64_t upto)
{
	ptrdiff_t n;

	if (upto > known->horizon)
		upto = known->horizon;
	if (upto <= known->released)
		return;
	n = value_position(known, upto + 1);
	for (ptrdiff_t i = 0; i < n; i++)
		value_free(known->values[i]);
	if (n)
		arrdeln(known->values, 0, (size_t)n);
	known->released = upto;
}

void knowledge_clear(struct tick_knowledge *known)
{
	for (ptrdiff_t i = 0; i < arrlen(known->values); i++)
		value_free(known->values[i]);
	arrfree(known->values);
	arrfree(known->known_ranges);
	memset(known, 0, sizeof *known);
}

/* ---- view ----------------------------------------------------------------- */

static uint64_t subject(uint32_t why, const char *name, const char *detail)
{
	return core_hash_string(core_hash_string(why, name), detail);
}

uint64_t purge_subject(const struct Nl__Purge *purge)
{
	switch (purge->reason) {
	case PURGE_WEIGHTS:
		return subject(PURGE_WEIGHTS, purge->service, purge->weights);
	case PURGE_TENANT:
		return subject(PURGE_TENANT, purge->tenant, "");
	case PURGE_CONTEXT:
		return core_rendezvous_weight(subject(PURGE_CONTEXT, purge->route, purge->tenant),
					      purge->slice);
	default:
		return subject(PURGE_SERVER, purge->server, "");
	}
}

void purge_view_apply(struct purge_view *view, const struct Nl__Value *value)
{
	uint64_t key = purge_subject(value->purge);
	struct purge_view_row *row = hmgetp_null(view->subjects, key);

	if (row && row->value->tick >= value->tick)
		return;
	if (row && value->purge->reason == PURGE_CONTEXT)
		for (ptrdiff_t i = arrlen(view->context_purges) - 1; i >= 0; i--)
			if (view->context_purges[i] == row->value)
				arrdelswap(view->context_purges, i);
	if (row)
		value_free(row->value);
	hmput(view->subjects, key, value_copy(value));
	if (value->purge->reason == PURGE_CONTEXT)
		arrput(view->context_purges, hmget(view->subjects, key));
}

static int gone(const struct purge_view *w, uint64_t key, uint64_t stamp)
{
	struct purge_view_row *row = w->subjects;
	ptrdiff_t i = hmgeti(row, key);

	return i >= 0 && stamp < row[i].value->tick;
}

int purge_view_allows(const struct purge_view *view, const char *service, const char *weights,
		      const char *tenant, const char *server, uint64_t stamp)
{
	if (!view->subjects)
		return 1;
	return !gone(view, subject(PURGE_WEIGHTS, service, weights), stamp) &&
	       !gone(view, subject(PURGE_TENANT, tenant, ""), stamp) &&
	       !gone(view, subject(PURGE_SERVER, server, ""), stamp);
}

int purge_view_keeps_context(const struct purge_view *view, const char *service, const char *tenant,
			     uint64_t block_hash, uint64_t stamp)
{
	for (ptrdiff_t i = 0; i < arrlen(view->context_purges); i++) {
		const struct Nl__Purge *purge = view->context_purges[i]->purge;

		if (stamp < view->context_purges[i]->tick && purge->slice == PURGE_SLICE(block_hash) &&
		    (!purge->tenant[0] || !strcmp(purge->tenant, tenant)) &&
		    (!purge->service[0] || !strcmp(purge->service, service)))
			return 0;
	}
	return 1;
}

uint64_t purge_view_tick(const struct purge_view *view, uint32_t why, const char *name, const char *weights)
{
	struct purge_view_row *row = view->subjects;
	ptrdiff_t i = row ? hmgeti(row, subject(why, name, weights)) : -1;

	return i < 0 ? 0 : row[i].value->tick;
}

void purge_view_clear(struct purge_view *view)
{
	for (ptrdiff_t i = 0; i < hmlen(view->subjects); i++)
		value_free(view->subjects[i].value);
	hmfree(view->subjects);
	arrfree(view->context_purges);
}

/* ---- relay ---------------------------------------------------------------- */

void relay_open(struct relay *relay, int64_t now)
{
	memset(relay, 0, sizeof *relay);
	relay->opened_at_ms = relay->upstream_tried_at_ms = now;
	relay->horizon_moved_at_ms = relay->known_at_ms =
	    now - PURGE_MAX_STALENESS_MS - 1; /* nothing is current before the first knowledge */
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
	relay->upstream_tried_at_ms = now;
	relay->requested_at_ms = 0; /* speak to the new upstream at once */
}

uint64_t relay_acknowledged_tick(const struct relay *relay)
{
	uint64_t tick = relay->knowledge.horizon;

	for (ptrdiff_t i = 0; i < arrlen(relay->downstreams); i++)
		if (relay->downstreams[i].acknowledged_tick < tick)
			tick = relay->downstreams[i].acknowledged_tick;
	return tick;
}

int relay_is_current(const struct relay *relay, int64_t now)
{
	return relay->has_knowledge && now - relay->known_at_ms < PURGE_MAX_STALENESS_MS;
}

static uint32_t age(const struct relay *relay, int64_t now)
{
	int64_t ms = now - relay->known_at_ms;

	return ms < 0 ? 0 : ms > INT32_MAX ? INT32_MAX : (uint32_t)ms;
}

/* Tell each downstream what is new above what it has. */
static void forward_request(struct relay *r, uint64_t first, uint64_t last, int64_t now,
			    struct command_list *out)
{
	for (ptrdiff_t i = 0; i < arrlen(r->downstreams); i++) {
		struct Nl__Knowledge *m = MESSAGE_NEW(out, Nl__Knowledge, NL__KNOWLEDGE__INIT);

		if (!knowledge_append(&r->knowledge, first, last, m, out) || !m->n_increments)
			continue;
		m->age_ms = age(r, now);
		m->request_clock_ms = r->downstreams[i].request_clock_ms;
		command_send(out, r->downstreams[i].addr, SHARD_PURGE, NL__MSG__BODY_KNOWLEDGE)->knowledge =
		    m;
		r->increments_sent += m->n_increments;
	}
}

/* When what a message says held, on our clock and at the latest. It was told after we asked, and was so old
 * then. What lay in a buffer while a link was cut or this process stood still names an asking from before,
 * and is no news. */
static int64_t known_as_of(int64_t request_clock_ms, uint32_t age_ms, int64_t now)
{
	return request_clock_ms > 0 && request_clock_ms <= now ? request_clock_ms - age_ms : 0;
}

/* moved: when its teller's horizon moved, as far as messages take no time; known_at: the same, timed from our
 * asking. */
static int learn(struct relay *relay, uint64_t first, uint64_t last, const struct Nl__Value *value,
		 int64_t horizon_moved_at_ms, int64_t known_at_ms)
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
		relay->horizon_moved_at_ms = horizon_moved_at_ms > relay->horizon_moved_at_ms
						 ? horizon_moved_at_ms
						 : relay->horizon_moved_at_ms;
		relay->known_at_ms = known_at_ms > relay->known_at_ms ? known_at_ms : relay->known_at_ms;
		relay->has_knowledge = 1;
	}
	return is_new;
}

void relay_publish(struct relay *relay, uint64_t first, uint64_t last, const struct Nl__Value *value,
		   int64_t now, struct command_list *out)
{
	if (learn(relay, first, last, value, now, now))
		forward_request(relay, first, last, now, out);
}

static void on_knowledge(struct relay *relay, const struct Nl__Knowledge *knowledge, int64_t now,
			 struct command_list *out)
{
	for (size_t i = 0; i < knowledge->n_increments; i++) {
		const struct Nl__Increment *increment = knowledge->increments[i];

		if (increment->first > increment->last ||
		    (increment->value &&
		     (!increment->value->purge || increment->value->tick < increment->first ||
		      increment->value->tick > increment->last)))
			continue;
		if (learn(relay, increment->first, increment->last, increment->value, now - knowledge->age_ms,
			  known_as_of(knowledge->request_clock_ms, knowledge->age_ms, now)))
			forward_request(relay, increment->first, increment->last, now, out);
	}
}

static void on_purge_snapshot(struct relay *relay, const struct Nl__PurgeSnapshot *purge_snap, int64_t now,
			      struct command_list *out)
{
	for (size_t i = 0; i < purge_snap->n_latest; i++)
		if (purge_snap->latest[i]->purge) {
			purge_view_apply(&relay->view, purge_snap->latest[i]);
			if (relay->on_value)
				relay->on_value(relay->context, purge_snap->latest[i]);
		}
	if (purge_snap->upto_tick <= relay->knowledge.horizon)
		return;
	learn(relay, relay->knowledge.horizon + 1, purge_snap->upto_tick, NULL, now - purge_snap->age_ms,
	      known_as_of(purge_snap->request_clock_ms, purge_snap->age_ms, now));
	/* the values themselves are not held here: those below must take a snapshot as well */
	knowledge_release(&relay->knowledge, purge_snap->upto_tick);
	forward_request(relay, purge_snap->upto_tick + 1, knowledge_reach(&relay->knowledge), now, out);
}

static void send_purge_snapshot(struct relay *relay, uint64_t downstream_addr, int64_t request_clock_ms,
				int64_t now, struct command_list *out)
{
	struct Nl__PurgeSnapshot *purge_snap = MESSAGE_NEW(out, Nl__PurgeSnapshot, NL__PURGE_SNAPSHOT__INIT);

	purge_snap->upto_tick = relay->knowledge.horizon;
	purge_snap->age_ms = age(relay, now);
	purge_snap->request_clock_ms = request_clock_ms;
	purge_snap->latest =
	    apr_palloc(out->pool, ((size_t)hmlen(relay->view.subjects) + 1) * sizeof *purge_snap->latest);
	for (ptrdiff_t i = 0; i < hmlen(relay->view.subjects); i++)
		purge_snap->latest[purge_snap->n_latest++] =
		    (struct Nl__Value *)core_copy_message(out->pool, &relay->view.subjects[i].value->base);
	command_send(out, downstream_addr, SHARD_PURGE, NL__MSG__BODY_PURGE_SNAPSHOT)->purge_snapshot =
	    purge_snap;
}

/* Curiosity up: what is taken, and what is wanted if anything is. */
static void send_curiosity(struct relay *relay, int wants_ranges, int64_t now, struct command_list *out)
{
	struct tick_range gap[8];
	size_t upstream_count = (size_t)arrlen(relay->upstreams);
	struct Nl__Curiosity *curiosity;
	int gap_count;

	if (relay->is_publisher || !upstream_count)
		return;
	wants_ranges = wants_ranges && !relay->curiosity_disabled;
	gap_count = wants_ranges ? knowledge_gaps(&relay->knowledge, gap, 8) : 0;
	curiosity = MESSAGE_NEW(out, Nl__Curiosity, NL__CURIOSITY__INIT);
	curiosity->acknowledged_tick = relay_acknowledged_tick(relay);
	curiosity->highest_tick = knowledge_reach(&relay->knowledge);
	curiosity->needs_snapshot = !relay->has_knowledge;
	curiosity->request_clock_ms = now;
	curiosity->wanted = apr_palloc(out->pool, 9 * sizeof *curiosity->wanted);
	if (wants_ranges && gap_count < 8) /* and all above what is known at all */
		gap[gap_count++] = (struct tick_range){ curiosity->highest_tick + 1, UINT64_MAX };
	for (int i = 0; i < gap_count; i++) {
		curiosity->wanted[i] = MESSAGE_NEW(out, Nl__TickRange, NL__TICK_RANGE__INIT);
		curiosity->wanted[i]->first = gap[i].first;
		curiosity->wanted[i]->last = gap[i].last;
		curiosity->n_wanted++;
	}
	relay->requested_at_ms = now;
	command_send(out, relay->upstreams[relay->upstream_position % upstream_count], SHARD_PURGE,
		     NL__MSG__BODY_CURIOSITY)
	    ->curiosity = curiosity;
}

static void on_curiosity(struct relay *relay, const struct Nl__Msg *msg, int64_t now,
			 struct command_list *out)
{
	const struct Nl__Curiosity *curiosity = msg->curiosity;
	struct Nl__Knowledge *knowledge = MESSAGE_NEW(out, Nl__Knowledge, NL__KNOWLEDGE__INIT);
	struct relay_downstream *relay_down = NULL;
	int has_unknown = 0, complete = 1;

	if (!relay->has_knowledge)
		return; /* knows nothing itself yet */
	for (ptrdiff_t i = 0; i < arrlen(relay->downstreams); i++)
		if (relay->downstreams[i].id == msg->id)
			relay_down = &relay->downstreams[i];
	if (!relay_down) {
		struct relay_downstream nd = { msg->id, msg->addr, 0, now, 0, 0, 0 };

		arrput(relay->downstreams, nd);
		relay_down = &arrlast(relay->downstreams);
		relay_down->acknowledged_tick = curiosity->acknowledged_tick;
	}
	relay_down->last_contact_at_ms = now;
	relay_down->request_clock_ms = curiosity->request_clock_ms;
	relay_down->addr = msg->addr;
	if (curiosity->acknowledged_tick > relay_down->acknowledged_tick)
		relay_down->acknowledged_tick = curiosity->acknowledged_tick;
	if (curiosity->needs_snapshot || curiosity->acknowledged_tick < relay->knowledge.released) {
		send_purge_snapshot(relay, msg->addr, curiosity->request_clock_ms, now, out);
		return;
	}
	for (size_t i = 0; i < curiosity->n_wanted; i++) {
		uint64_t last = curiosity->wanted[i]->last < knowledge_reach(&relay->knowledge)
				    ? curiosity->wanted[i]->last
				    : knowledge_reach(&relay->knowledge);

		if (curiosity->wanted[i]->first <= last)
			complete &= knowledge_append(&relay->knowledge, curiosity->wanted[i]->first, last,
						     knowledge, out);
		has_unknown |= curiosity->wanted[i]->last > relay->knowledge.horizon;
	}
	if (!complete)
		send_purge_snapshot(relay, msg->addr, curiosity->request_clock_ms, now, out);
	else if (knowledge->n_increments) {
		knowledge->age_ms = age(relay, now);
		knowledge->request_clock_ms = curiosity->request_clock_ms;
		command_send(out, msg->addr, SHARD_PURGE, NL__MSG__BODY_KNOWLEDGE)->knowledge = knowledge;
	}
	/* pass the question further up, unless it was asked lately */
	if (has_unknown && !knowledge->n_increments && now - relay->requested_at_ms >= PURGE_CURIOSITY_MS)
		send_curiosity(relay, 1, now, out);
}

void relay_receive(struct relay *relay, const struct Nl__Msg *message, int64_t now, struct command_list *out)
{
	switch (message->body_case) {
	case NL__MSG__BODY_KNOWLEDGE:
		relay->received_at_ms = now;
		if (!relay->is_publisher && relay->has_knowledge)
			on_knowledge(relay, message->knowledge, now, out);
		break;
	case NL__MSG__BODY_PURGE_SNAPSHOT:
		relay->received_at_ms = now;
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

void relay_tick(struct relay *relay, int64_t now, struct command_list *out)
{
	struct tick_range gap[1];
	int wants_ranges;

	for (ptrdiff_t i = arrlen(relay->downstreams) - 1; i >= 0; i--)
		if (now - relay->downstreams[i].last_contact_at_ms > PURGE_DOWNSTREAM_TIMEOUT_MS)
			arrdel(relay->downstreams, (size_t)i); /* its lease lapsed: it must take a snapshot */
	/* a new holder does not know yet who is below it: nothing goes before all had time to speak */
	if (now - relay->opened_at_ms > PURGE_DOWNSTREAM_TIMEOUT_MS)
		knowledge_release(&relay->knowledge, relay_acknowledged_tick(relay));
	if (relay->is_publisher)
		return;
	wants_ranges = !relay->has_knowledge || now - relay->horizon_moved_at_ms >= PURGE_STALL_MS ||
		       knowledge_gaps(&relay->knowledge, gap, 1);
	if (now - relay->requested_at_ms >= PURGE_CURIOSITY_MS)
		send_curiosity(relay, wants_ranges, now, out);
	/* no step for a stall period: the next holder, last the log */
	if (now - relay->horizon_moved_at_ms >= 2 * PURGE_STALL_MS &&
	    now - relay->upstream_tried_at_ms >= PURGE_STALL_MS && arrlen(relay->upstreams)) {
		relay->upstream_position = (relay->upstream_position + 1) % (size_t)arrlen(relay->upstreams);
		relay->upstream_tried_at_ms = now;
		relay->requested_at_ms = 0;
	}
}
