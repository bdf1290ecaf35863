/* Virtual time of the scale model: the heap of pending events, addresses, link delays, and the dispatch of
 * each event to the file that handles it. The heap is ordered by time, then by the order of scheduling. */
#include <stdlib.h>
#include <time.h>

#include "containers.h"
#include "scale_model_internal.h"

int64_t model_cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

uint64_t model_random(struct model_fleet *fleet, uint64_t n)
{
	return n ? core_random(&fleet->rng) % n : 0;
}

static int event_before(const struct model_event *a, const struct model_event *b)
{
	return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->seq < b->seq;
}

void model_push_event(struct model_fleet *fleet, struct model_event input)
{
	ptrdiff_t i;

	input.seq = ++fleet->seq;
	arrput(fleet->events, input);
	for (i = arrlen(fleet->events) - 1; i && event_before(&input, &fleet->events[(i - 1) / 2]);
	     i = (i - 1) / 2)
		fleet->events[i] = fleet->events[(i - 1) / 2];
	fleet->events[i] = input;
}

static struct model_event pop_event(struct model_fleet *fleet)
{
	struct model_event top = fleet->events[0], input = arrpop(fleet->events);
	ptrdiff_t n = arrlen(fleet->events), i = 0, c;

	for (; (c = 2 * i + 1) < n; i = c) {
		if (c + 1 < n && event_before(&fleet->events[c + 1], &fleet->events[c]))
			c++;
		if (!event_before(&fleet->events[c], &input))
			break;
		fleet->events[i] = fleet->events[c];
	}
	if (n)
		fleet->events[i] = input;
	return top;
}

uint64_t model_address(int kind, int index)
{
	return 127ull << 40 | (uint64_t)kind << 32 | (uint64_t)index << 16 | 7000;
}

struct model_node *model_node_at(struct model_fleet *fleet, uint64_t address)
{
	int kind = (int)(address >> 32 & 255), no = (int)(address >> 16 & 65535);

	if (kind == ADDRESS_CONTROLLER && no < fleet->settings.controllers)
		return &fleet->nodes[no];
	return kind == ADDRESS_ROUTER && no < fleet->settings.routers
		   ? &fleet->nodes[fleet->settings.controllers + no]
		   : NULL;
}

struct model_server *model_server_at(struct model_fleet *fleet, uint64_t address)
{
	int no = (int)(address >> 16 & 65535);

	return (int)(address >> 32 & 255) == ADDRESS_SERVER && no < fleet->settings.servers
		   ? &fleet->servers[no]
		   : NULL;
}

static int zone_of(const struct model_node *n)
{
	return atoi(n->zone + 1);
}

int64_t model_link_delay_ms(struct model_fleet *fleet, const struct model_node *a, const struct model_node *b)
{
	int x = zone_of(a), y = zone_of(b);

	return a == b ? 0 : 1 + (int64_t)model_random(fleet, 3) + (x != y) + (x / 3 != y / 3 ? 20 : 0);
}

void model_schedule(struct model_fleet *fleet, enum event_kind kind, int node, uint64_t token, int64_t at)
{
	struct model_event input = { .at_ms = at,
				     .kind = kind,
				     .node = node,
				     .incarnation = fleet->nodes[node].incarnation,
				     .token = token };

	model_push_event(fleet, input);
}

static void repeat_event(struct model_fleet *fleet, const struct model_event *input, int64_t delay_ms)
{
	struct model_event n = { .at_ms = fleet->now_ms + delay_ms,
				 .kind = input->kind,
				 .node = input->node,
				 .incarnation = input->incarnation };

	model_push_event(fleet, n);
}

static void dispatch(struct model_fleet *fleet, struct model_event *input)
{
	struct model_node *node = &fleet->nodes[input->node];

	switch (input->kind) {
	case MODEL_ARRIVE:
		model_receive_run(fleet, input);
		return;
	case MODEL_STREAM:
		model_stream_piece(fleet, input);
		return;
	case MODEL_LOAD:
		for (fleet->load_credit += fleet->settings.requests_per_second; fleet->load_credit >= 1000;
		     fleet->load_credit -= 1000)
			model_submit_request(fleet);
		repeat_event(fleet, input, 1);
		return;
	case MODEL_CACHE_CHURN:
		model_churn_caches(fleet);
		repeat_event(fleet, input, 10);
		return;
	case MODEL_CONFIG_CHANGE:
		model_change_config(fleet);
		if (fleet->change_count < fleet->settings.changes)
			repeat_event(fleet, input, 1000 * fleet->settings.seconds / fleet->settings.changes);
		return;
	case MODEL_RESTART:
		model_replace_router(fleet);
		if (fleet->restart_count < fleet->settings.restarts)
			repeat_event(fleet, input, 1000 * fleet->settings.seconds / fleet->settings.restarts);
		return;
	default:
		break;
	}
	if (input->kind == MODEL_WATCHED) {
		model_answer_watch(fleet, node, input);
		return;
	}
	if (input->incarnation != node->incarnation)
		return;
	if (input->kind == MODEL_TICK)
		repeat_event(fleet, input, TICK_MS);
	if (input->kind == MODEL_LISTED) {
		model_deliver_list(fleet, node, input);
		return;
	}
	if (node->router)
		model_router_dispatch(fleet, node, input);
	else
		model_controller_dispatch(fleet, node, input);
}

int model_run_until(struct model_fleet *fleet, int64_t ms, int (*done)(struct model_fleet *))
{
	int64_t until = fleet->now_ms + ms;

	while (arrlen(fleet->events) && fleet->events[0].at_ms <= until) {
		struct model_event input = pop_event(fleet);
		int64_t was = fleet->now_ms;

		fleet->now_ms = input.at_ms;
		if (done && was != fleet->now_ms && done(fleet)) {
			model_push_event(fleet, input);
			return 1;
		}
		dispatch(fleet, &input);
		free(input.data);
	}
	fleet->now_ms = until;
	return !done || done(fleet);
}
