#include "linear.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core.h"
#include "ds.h"

/* What the register holds after some order of operations. */
struct register_state {
	uint64_t version, value;
};

/* A request or an answer, in a list by time. Both are taken out while their operation is ordered. */
struct event {
	size_t op;
	int is_answer;
	int64_t at;
	struct event *previous, *next;
};

/* A configuration that was visited: the set of ordered operations follows as a bitmap. */
struct configuration {
	struct register_state state;
	struct configuration *same_hash;
	uint64_t ordered[];
};

/* One step of the order, to be undone when it leads nowhere. */
struct step {
	struct event *request;
	struct register_state before;
};

struct search {
	const struct linear_op *ops;
	size_t n, words, open; /* open: answered operations that are not ordered yet */
	struct event *events;  /* 0: the list's head; then two for each operation */
	struct event **answer; /* by operation; NULL if the outcome is unknown */
	uint64_t *ordered;     /* bitmap */
	struct register_state state;
	struct step *steps; /* stb_ds */
	struct {
		uint64_t key;
		struct configuration *value;
	} * visited;           /* stb_ds, by hash */
	size_t longest, stuck; /* the longest order found; the operation whose answer ended it */
};

void linear_print(const struct linear_op *op, char *to, size_t size)
{
	static const char *const outcome[] = { "acknowledged", "refused", "unknown" };
	char base[24] = "any", version[24] = "?";

	if (op->base != LINEAR_ANY)
		snprintf(base, sizeof base, "%" PRIu64, op->base);
	if (op->version != LINEAR_ANY)
		snprintf(version, sizeof version, "%" PRIu64, op->version);
	if (op->kind == LINEAR_READ)
		snprintf(to, size, "read of version %s value %" PRIx64 " [%" PRId64 ", %" PRId64 "]", version, op->value,
			 op->called, op->returned);
	else
		snprintf(to, size, "write of version %s on %s value %" PRIx64 " [%" PRId64 ", %" PRId64 "] %s", version, base,
			 op->value, op->called, op->outcome == LINEAR_UNKNOWN ? INT64_MAX : op->returned, outcome[op->outcome]);
}

/* Whether a write takes effect on this state. An unknown version is above all that came before it. */
static int write_applies(const struct linear_op *op, const struct register_state *state)
{
	if (op->base != LINEAR_ANY && op->base != state->version)
		return 0;
	return op->version == LINEAR_ANY || state->version == LINEAR_ANY || op->version > state->version;
}

/* Whether the register, in this state, would answer the operation as it was answered; its state after it. */
static int answers_alike(const struct linear_op *op, struct register_state *state)
{
	if (op->kind == LINEAR_READ)
		return op->version == state->version && op->value == state->value;
	if (op->outcome == LINEAR_REFUSED)
		return !write_applies(op, state);
	if (!write_applies(op, state))
		return 0;
	state->version = op->version;
	state->value = op->value;
	return 1;
}

/* ---- events by time ---- */

/* Requests go before answers of the same instant: they count as overlapping. */
static int earlier(const void *left, const void *right)
{
	const struct event *a = *(struct event *const *)left, *b = *(struct event *const *)right;

	if (a->at != b->at)
		return a->at < b->at ? -1 : 1;
	if (a->is_answer != b->is_answer)
		return a->is_answer - b->is_answer;
	return (a->op > b->op) - (a->op < b->op);
}

static void take_out(struct event *e)
{
	e->previous->next = e->next;
	if (e->next)
		e->next->previous = e->previous;
}

static void put_back(struct event *e)
{
	e->previous->next = e;
	if (e->next)
		e->next->previous = e;
}

static void list_events(struct search *s)
{
	struct event **sorted = calloc(2 * s->n + 1, sizeof *sorted), *last = s->events;
	size_t count = 0;

	for (size_t i = 0; i < s->n; i++) {
		struct event *request = &s->events[1 + 2 * i], *reply = request + 1;

		*request = (struct event){ .op = i, .at = s->ops[i].called };
		sorted[count++] = request;
		if (s->ops[i].outcome == LINEAR_UNKNOWN)
			continue;
		*reply = (struct event){ .op = i, .is_answer = 1, .at = s->ops[i].returned };
		sorted[count++] = s->answer[i] = reply;
		s->open++;
	}
	qsort(sorted, count, sizeof *sorted, earlier);
	for (size_t i = 0; i < count; i++) {
		last->next = sorted[i];
		sorted[i]->previous = last;
		last = sorted[i];
	}
	free(sorted);
}

/* ---- the cache ---- */

/* Note a configuration; 0 if it was visited before. */
static int visit(struct search *s)
{
	size_t bytes = s->words * sizeof *s->ordered;
	uint64_t hash = core_hash(core_hash(0, &s->state, sizeof s->state), s->ordered, bytes);
	ptrdiff_t at = hmgeti(s->visited, hash);
	struct configuration *first = at >= 0 ? s->visited[at].value : NULL, *c;

	for (c = first; c; c = c->same_hash)
		if (!memcmp(&c->state, &s->state, sizeof c->state) && !memcmp(c->ordered, s->ordered, bytes))
			return 0;
	c = malloc(sizeof *c + bytes);
	if (!c)
		abort();
	c->state = s->state;
	c->same_hash = first;
	memcpy(c->ordered, s->ordered, bytes);
	hmput(s->visited, hash, c);
	return 1;
}

static void free_visited(struct search *s)
{
	for (ptrdiff_t i = 0; i < hmlen(s->visited); i++)
		for (struct configuration *c = s->visited[i].value, *next; c; c = next) {
			next = c->same_hash;
			free(c);
		}
	hmfree(s->visited);
}

/* ---- the search ---- */

static void mark(struct search *s, size_t op) { s->ordered[op / 64] ^= (uint64_t)1 << op % 64; }

/* Put an operation next in the order, if it fits there and leads to something new. */
static int extend(struct search *s, struct event *request)
{
	struct step step = { request, s->state };
	struct register_state after = s->state;

	if (!answers_alike(&s->ops[request->op], &after))
		return 0;
	mark(s, request->op);
	s->state = after;
	if (!visit(s)) {
		mark(s, request->op);
		s->state = step.before;
		return 0;
	}
	arrput(s->steps, step);
	take_out(request);
	if (s->answer[request->op]) {
		take_out(s->answer[request->op]);
		s->open--;
	}
	return 1;
}

/* Take the order's last operation back; the event from which to go on. NULL: the order is empty. */
static struct event *retract(struct search *s)
{
	struct step step;

	if (!arrlen(s->steps))
		return NULL;
	step = arrpop(s->steps);
	if (s->answer[step.request->op]) {
		put_back(s->answer[step.request->op]);
		s->open++;
	}
	put_back(step.request);
	mark(s, step.request->op);
	s->state = step.before;
	return step.request->next;
}

static void note_stuck(struct search *s, size_t op)
{
	if ((size_t)arrlen(s->steps) < s->longest)
		return;
	s->longest = (size_t)arrlen(s->steps);
	s->stuck = op;
}

static enum linear_result run(struct search *s)
{
	struct event *e = s->events->next;

	for (long left = LINEAR_STEPS; s->open; left--) {
		if (!left)
			return LINEAR_UNDECIDED;
		if (!e->is_answer) {
			e = extend(s, e) ? s->events->next : e->next;
			continue;
		}
		/* this operation had to be ordered before its answer, and fits nowhere */
		note_stuck(s, e->op);
		e = retract(s);
		if (!e)
			return LINEAR_BROKEN;
	}
	return LINEAR_HOLDS;
}

enum linear_result linear_check(const struct linear_op *ops, size_t n, char *why, size_t why_size)
{
	struct search s = { .ops = ops, .n = n, .words = n / 64 + 1 };
	enum linear_result result;
	char text[200];

	s.events = calloc(2 * n + 1, sizeof *s.events);
	s.answer = calloc(n + 1, sizeof(struct event *));
	s.ordered = calloc(s.words, sizeof *s.ordered);
	if (!s.events || !s.answer || !s.ordered)
		abort();
	list_events(&s);
	result = run(&s);
	if (result == LINEAR_BROKEN) {
		linear_print(&ops[s.stuck], text, sizeof text);
		snprintf(why, why_size, "not linearizable: after %zu of %zu operations nothing explains the %s", s.longest, n,
			 text);
	} else if (result == LINEAR_UNDECIDED) {
		snprintf(why, why_size, "undecided after %d steps over %zu operations", LINEAR_STEPS, n);
	}
	free_visited(&s);
	arrfree(s.steps);
	free(s.events);
	free(s.answer);
	free(s.ordered);
	return result;
}
