#include "operator_calls.h"

#include "controller_state.h"
#include "containers.h"
#include "json_add.h"

void operator_calls_count(struct operator_call_counts *calls, const struct command_list *out,
			  ptrdiff_t first_command)
{
	for (ptrdiff_t i = first_command; i < arrlen(out->commands); i++) {
		if (out->commands[i].kind != CMD_ANSWER)
			continue;
		if (out->commands[i].args.answer.status < 500)
			calls->answered_count++;
		else if (out->commands[i].args.answer.status == 503)
			calls->rejected_count++;
		else
			calls->unknown_outcome_count++;
	}
}

uint64_t operator_calls_open_count(const struct controller *controller)
{
	uint64_t open_count = arrlenu(controller->operators.logged_calls) +
			      arrlenu(controller->operators.pending_reads) +
			      (controller->bootstrap.call_token != 0);

	for (ptrdiff_t i = 0; i < arrlen(controller->proposals.own_proposals); i++)
		open_count += controller->proposals.own_proposals[i].call_token != 0;
	return open_count;
}

static uint64_t ended_calls(const struct operator_call_counts *calls)
{
	return calls->answered_count + calls->rejected_count + calls->unknown_outcome_count +
	       calls->disconnected_count;
}

bool operator_calls_are_balanced(const struct controller *controller)
{
	return controller->operators.call_counts.read_count ==
	       ended_calls(&controller->operators.call_counts) + operator_calls_open_count(controller);
}

/* Drop the pending read or logged call with a token, or make its proposal go on without a call to answer.
 * Returns whether one was found. A bootstrap is not looked for: it goes on, and its call stays open until it
 * is answered. */
static int drop_call(struct controller *controller, uint64_t token)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->operators.logged_calls); i++)
		if (controller->operators.logged_calls[i].token == token) {
			arrdel(controller->operators.logged_calls, i);
			return 1;
		}
	for (ptrdiff_t i = 0; i < arrlen(controller->operators.pending_reads); i++)
		if (controller->operators.pending_reads[i].call_token == token) {
			arrdel(controller->operators.pending_reads, i);
			return 1;
		}
	for (ptrdiff_t i = 0; i < arrlen(controller->proposals.own_proposals); i++)
		if (controller->proposals.own_proposals[i].call_token == token) {
			controller->proposals.own_proposals[i].call_token = 0;
			return 1;
		}
	return 0;
}

void operator_calls_disconnected(struct controller *controller, uint64_t token)
{
	if (token && drop_call(controller, token))
		controller->operators.call_counts.disconnected_count++;
}

struct json_object *operator_calls_json(const struct controller *controller)
{
	const struct operator_call_counts *calls = &controller->operators.call_counts;
	const struct {
		const char *name;
		uint64_t count;
	} counts[] = {
		{ "read", calls->read_count },         { "answered", calls->answered_count },
		{ "refused", calls->rejected_count },  { "unknown", calls->unknown_outcome_count },
		{ "gone", calls->disconnected_count }, { "open", calls->read_count - ended_calls(calls) },
	};
	struct json_object *json = json_object_new_object();

	for (size_t i = 0; i < sizeof counts / sizeof *counts; i++)
		json_add_number(json, counts[i].name, (int64_t)counts[i].count);
	return json;
}
