/* The search for a linearization; linear.h says what is searched for, and by which method. */
#include "linear.h"

#include <stdbool.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core.h"
#include "containers.h"

/* What the register holds after some order of operations. */
struct register_state {
	uint64_t version;
	uint64_t value;
};

/* A request or an answer, in a list by time. Both are taken out while their operation is ordered. */
struct event {
	size_t op;
	bool is_answer;
	int64_t at;
	struct event *previous;
	struct event *next;
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
	/* open: answered operations that are not ordered yet */
	size_t operation_count;
	size_t bitmap_length;
	size_t open;
	struct event *events;  /* 0: the list's head; then two for each operation */
	struct event **answer; /* by operation; NULL if the outcome is unknown */
	uint64_t *ordered;     /* bitmap */
	struct register_state state;
	struct step *steps; /* stb_ds */
	struct {
		uint64_t key;
		struct configuration *value;
	} * visited; /* stb_ds, by hash */
	/* the longest order found; the operation whose answer ended it */
	size_t longest;
	size_t stuck;
};

void linear_print(const struct linear_op *operation, char *to, size_t size)
{
	static const char *const outcome[] = { "acknowledged", "refused", "unknown" };
	char base[24] = "any", version[24] = "?";

	if (operation->base_version != LINEAR_ANY)
		snprintf(base, sizeof base, "%" PRIu64, operation->base_version);
	if (operation->version != LINEAR_ANY)
		snprintf(version, sizeof version, "%" PRIu64, operation->version);
	if (operation->kind == LINEAR_READ)
		snprintf(to, size, "read of version %s value %" PRIx64 " [%" PRId64 ", %" PRId64 "]", version,
			 operation->value, operation->called_at, operation->returned_at);
	else
		snprintf(to, size,
			 "write of version %s on %s value %" PRIx64 " [%" PRId64 ", %" PRId64 "] %s", version,
			 base, operation->value, operation->called_at,
			 operation->outcome == LINEAR_UNKNOWN ? INT64_MAX : operation->returned_at,
			 outcome[operation->outcome]);
}

/* Whether a write takes effect on this state. An unknown version is above all that came before it. */
static int write_applies(const struct linear_op *operation, const struct register_state *state)
{
	if (operation->base_version != LINEAR_ANY && operation->base_version != state->version)
		return 0;
	return operation->version == LINEAR_ANY || state->version == LINEAR_ANY ||
	       operation->version > state->version;
}

/* Whether the register, in this state, would answer the operation as it was answered; its state after it. */
static int answers_alike(const struct linear_op *operation, struct register_state *state)
{
	if (operation->kind == LINEAR_READ)
		return operation->version == state->version && operation->value == state->value;
	if (operation->outcome == LINEAR_REFUSED)
		return !write_applies(operation, state);
	if (!write_applies(operation, state))
		return 0;
	state->version = operation->version;
	state->value = operation->value;
	return 1;
}

/* ---- events by time ---- */

/* Requests go before answers of the same instant: they count as overlapping. */
static int earlier(const void *first, const void *second)
{
	const struct event *a = *(struct event *const *)first, *b = *(struct event *const *)second;

	if (a->at != b->at)
		return a->at < b->at ? -1 : 1;
	if (a->is_answer != b->is_answer)
		return a->is_answer - b->is_answer;
	return (a->op > b->op) - (a->op < b->op);
}

static void remove_entry(struct event *event)
{
	event->previous->next = event->next;
	if (event->next)
		event->next->previous = event->previous;
}

static void put_back(struct event *event)
{
	event->previous->next = event;
	if (event->next)
		event->next->previous = event;
}

static void list_events(struct search *search)
{
	struct event **sorted = calloc(2 * search->operation_count + 1, sizeof *sorted),
		     *last = search->events;
	size_t count = 0;

	for (size_t i = 0; i < search->operation_count; i++) {
		struct event *request = &search->events[1 + 2 * i], *reply = request + 1;

		*request = (struct event){ .op = i, .at = search->ops[i].called_at };
		sorted[count++] = request;
		if (search->ops[i].outcome == LINEAR_UNKNOWN)
			continue;
		*reply = (struct event){ .op = i, .is_answer = 1, .at = search->ops[i].returned_at };
		sorted[count++] = search->answer[i] = reply;
		search->open++;
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
static int visit(struct search *search)
{
	size_t bytes = search->bitmap_length * sizeof *search->ordered;
	uint64_t hash = core_hash(core_hash(0, &search->state, sizeof search->state), search->ordered, bytes);
	ptrdiff_t at = hmgeti(search->visited, hash);
	struct configuration *first = at >= 0 ? search->visited[at].value : NULL, *configuration;

	for (configuration = first; configuration; configuration = configuration->same_hash)
		if (!memcmp(&configuration->state, &search->state, sizeof configuration->state) &&
		    !memcmp(configuration->ordered, search->ordered, bytes))
			return 0;
	configuration = malloc(sizeof *configuration + bytes);
	if (!configuration)
		abort();
	configuration->state = search->state;
	configuration->same_hash = first;
	memcpy(configuration->ordered, search->ordered, bytes);
	hmput(search->visited, hash, configuration);
	return 1;
}

static void free_visited(struct search *search)
{
	for (ptrdiff_t i = 0; i < hmlen(search->visited); i++)
		for (struct configuration *configuration = search->visited[i].value, *next; configuration;
		     configuration = next) {
			next = configuration->same_hash;
			free(configuration);
		}
	hmfree(search->visited);
}

/* ---- the search ---- */

static void mark(struct search *search, size_t op)
{
	search->ordered[op / 64] ^= (uint64_t)1 << op % 64;
}

/* Put an operation next in the order, if it fits there and leads to something new. */
static int extend(struct search *search, struct event *request)
{
	struct step step = { request, search->state };
	struct register_state after = search->state;

	if (!answers_alike(&search->ops[request->op], &after))
		return 0;
	mark(search, request->op);
	search->state = after;
	if (!visit(search)) {
		mark(search, request->op);
		search->state = step.before;
		return 0;
	}
	arrput(search->steps, step);
	remove_entry(request);
	if (search->answer[request->op]) {
		remove_entry(search->answer[request->op]);
		search->open--;
	}
	return 1;
}

/* Take the order's last operation back; the event from which to go on. NULL: the order is empty. */
static struct event *retract(struct search *search)
{
	struct step step;

	if (!arrlen(search->steps))
		return NULL;
	step = arrpop(search->steps);
	if (search->answer[step.request->op]) {
		put_back(search->answer[step.request->op]);
		search->open++;
	}
	put_back(step.request);
	mark(search, step.request->op);
	search->state = step.before;
	return step.request->next;
}

static void note_stuck(struct search *search, size_t op)
{
	if ((size_t)arrlen(search->steps) < search->longest)
		return;
	search->longest = (size_t)arrlen(search->steps);
	search->stuck = op;
}

static enum linear_result run(struct search *search)
{
	struct event *event = search->events->next;

	for (long steps_remaining = LINEAR_STEPS; search->open; steps_remaining--) {
		if (!steps_remaining)
			return LINEAR_UNDECIDED;
		if (!event->is_answer) {
			event = extend(search, event) ? search->events->next : event->next;
			continue;
		}
		/* this operation had to be ordered before its answer, and fits nowhere */
		note_stuck(search, event->op);
		event = retract(search);
		if (!event)
			return LINEAR_BROKEN;
	}
	return LINEAR_SATISFIED;
}

enum linear_result linear_check(const struct linear_op *ops, size_t n, char *why, size_t why_size)
{
	struct search search = { .ops = ops, .operation_count = n, .bitmap_length = n / 64 + 1 };
	enum linear_result result;
	char text[200];

	search.events = calloc(2 * n + 1, sizeof *search.events);
	search.answer = calloc(n + 1, sizeof(struct event *));
	search.ordered = calloc(search.bitmap_length, sizeof *search.ordered);
	if (!search.events || !search.answer || !search.ordered)
		abort();
	list_events(&search);
	result = run(&search);
	if (result == LINEAR_BROKEN) {
		linear_print(&ops[search.stuck], text, sizeof text);
		snprintf(why, why_size,
			 "not linearizable: after %zu of %zu operations nothing explains the %s",
			 search.longest, n, text);
	} else if (result == LINEAR_UNDECIDED) {
		snprintf(why, why_size, "undecided after %d steps over %zu operations", LINEAR_STEPS, n);
	}
	free_visited(&search);
	arrfree(search.steps);
	free(search.events);
	free(search.answer);
	free(search.ordered);
	return result;
}
