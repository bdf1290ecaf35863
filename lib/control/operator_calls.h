/* What became of the operators' calls that a controller has read.
 *
 * Each call that was read is answered by the leader's word, refused with a time to come back (nothing was
 * logged), told that its outcome is unknown (it may be sent again), or its caller has left; until then it is
 * open. The step counts calls as they come and answers as they are given; the state shows the counts, and the
 * simulator checks after every event that nothing is missing: no call ends without a word, and none is
 * answered twice. Counted as it is decided: an answer that is written too late for its lease is told as 503
 * by whoever writes it. */
#ifndef NL_OPERATOR_CALLS_H
#define NL_OPERATOR_CALLS_H

#include <json-c/json.h>
#include <stddef.h>
#include <stdint.h>

struct controller;
struct command_list;

struct operator_calls {
	uint64_t read;
	uint64_t answered;     /* by the leader's word, or sent to the leader's address */
	uint64_t rejected;     /* 503: nothing was logged */
	uint64_t unknown;      /* 504: it may be sent again */
	uint64_t disconnected; /* the caller left before */
};

/* Count the answers among the commands from a position on. Example: operator_calls_count(&r->calls, o, from);
 */
void operator_calls_count(struct operator_calls *calls, const struct command_list *out, ptrdiff_t from);

/* How many calls wait for an answer. Example: if (operator_calls_open(r)) wait(); */
uint64_t operator_calls_open(const struct controller *controller);

/* Whether all that was read is answered, open, or its caller gone. Example:
 * assert(operator_calls_balance(r)); */
int operator_calls_are_balanced(const struct controller *controller);

/* A caller has left: nothing is said to it any more. What it asked for goes on. Example:
 * operator_calls_gone(r, token); */
void operator_calls_disconnected(struct controller *controller, uint64_t token);

/* The counts as the state shows them. Example: json_object_object_add(j, "operator_calls",
 * operator_calls_json(r)); */
struct json_object *operator_calls_json(const struct controller *controller);

#endif
