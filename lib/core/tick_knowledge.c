/* Called by purge_relay.c; calls purge.c. */
#include "tick_knowledge.h"

#include <stdbool.h>
#include <string.h>

#include "containers.h"

/* The position of the first held value at or above a tick. */
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

static void hold_value(struct tick_knowledge *known, const struct Nl__Value *value)
{
	ptrdiff_t i;

	if (value->tick <= known->released)
		return;
	i = value_position(known, value->tick);
	if (i == arrlen(known->values) || known->values[i]->tick != value->tick)
		arrins(known->values, i, value_copy(value));
}

/* Insert a range above the horizon, merged with all that it touches; 0 when one of them contains it. */
static int merge_range(struct tick_knowledge *known, struct tick_range added)
{
	struct tick_range *ranges = known->known_ranges, merged = added;
	ptrdiff_t begin = 0, end;

	while (begin < arrlen(ranges) && ranges[begin].last + 1 < added.first)
		begin++;
	if (begin < arrlen(ranges) && ranges[begin].first <= added.first && ranges[begin].last >= added.last)
		return 0;
	for (end = begin; end < arrlen(ranges) && ranges[end].first <= added.last + 1; end++) {
		if (ranges[end].first < merged.first)
			merged.first = ranges[end].first;
		if (ranges[end].last > merged.last)
			merged.last = ranges[end].last;
	}
	if (end > begin)
		arrdeln(known->known_ranges, (size_t)begin, (size_t)(end - begin));
	arrins(known->known_ranges, begin, merged);
	return 1;
}

bool knowledge_add(struct tick_knowledge *known, uint64_t first, uint64_t last, const struct Nl__Value *value)
{
	if (first > last)
		return false;
	if (value)
		hold_value(known, value);
	if (first <= known->horizon)
		first = known->horizon + 1;
	if (first > last || !merge_range(known, (struct tick_range){ first, last }))
		return false;
	if (known->known_ranges[0].first == known->horizon + 1) {
		known->horizon = known->known_ranges[0].last;
		arrdel(known->known_ranges, 0);
	}
	return true;
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

bool knowledge_append(const struct tick_knowledge *known, uint64_t first, uint64_t last,
		      struct Nl__Knowledge *knowledge, struct command_list *out)
{
	if (first <= known->released)
		return false;
	if (first <= known->horizon)
		append_run(known, first, last < known->horizon ? last : known->horizon, knowledge, out);
	for (ptrdiff_t i = 0; i < arrlen(known->known_ranges); i++) {
		uint64_t range_first =
		    known->known_ranges[i].first > first ? known->known_ranges[i].first : first;
		uint64_t range_last = known->known_ranges[i].last < last ? known->known_ranges[i].last : last;

		if (range_first <= range_last)
			append_run(known, range_first, range_last, knowledge, out);
	}
	return true;
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
