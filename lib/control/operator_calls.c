#include "operator_calls.h"

#include "controller.h"
#include "ds.h"

void operator_calls_count(struct operator_calls *calls, const struct out *o, ptrdiff_t from)
{
	for (ptrdiff_t i = from; i < arrlen(o->v); i++) {
		if (o->v[i].kind != CMD_ANSWER)
			continue;
		if (o->v[i].u.answer.status < 500)
			calls->answered++;
		else if (o->v[i].u.answer.status == 503)
			calls->refused++;
		else
			calls->unknown++;
	}
}

uint64_t operator_calls_open(const struct controller *r)
{
	uint64_t open = arrlenu(r->call) + arrlenu(r->reads) + (r->found.web != 0);

	for (ptrdiff_t i = 0; i < arrlen(r->ask); i++)
		open += r->ask[i].web != 0;
	return open;
}

static uint64_t ended(const struct operator_calls *calls)
{
	return calls->answered + calls->refused + calls->unknown + calls->gone;
}

int operator_calls_balance(const struct controller *r) { return r->calls.read == ended(&r->calls) + operator_calls_open(r); }

/* Drop what waits for this caller; whether anything did. A founding goes on, and its answer goes nowhere. */
static int forget_caller(struct controller *r, uint64_t token)
{
	for (ptrdiff_t i = 0; i < arrlen(r->call); i++)
		if (r->call[i].token == token) {
			arrdel(r->call, i);
			return 1;
		}
	for (ptrdiff_t i = 0; i < arrlen(r->reads); i++)
		if (r->reads[i].web == token) {
			arrdel(r->reads, i);
			return 1;
		}
	for (ptrdiff_t i = 0; i < arrlen(r->ask); i++)
		if (r->ask[i].web == token) {
			r->ask[i].web = 0;
			return 1;
		}
	return 0;
}

void operator_calls_gone(struct controller *r, uint64_t token)
{
	if (token && forget_caller(r, token))
		r->calls.gone++;
}

struct json_object *operator_calls_json(const struct controller *r)
{
	const struct operator_calls *calls = &r->calls;
	const struct {
		const char *name;
		uint64_t count;
	} counts[] = {
		{ "read", calls->read },       { "answered", calls->answered }, { "refused", calls->refused },
		{ "unknown", calls->unknown }, { "gone", calls->gone },         { "open", calls->read - ended(calls) },
	};
	struct json_object *j = json_object_new_object();

	for (size_t i = 0; i < sizeof counts / sizeof *counts; i++)
		json_object_object_add(j, counts[i].name, json_object_new_int64((int64_t)counts[i].count));
	return j;
}
