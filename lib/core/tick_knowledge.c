#include "tick_knowledge.h"

#include <stdbool.h>
#include <string.h>

#include "containers.h"

/* Returns the position in values of the first value whose tick is at or above this one, by binary search. */
static ptrdiff_t find_value_position(const struct tick_knowledge *knowledge, uint64_t tick)
{
	ptrdiff_t begin = 0, end = arrlen(knowledge->values);

	while (begin < end) {
		ptrdiff_t middle = (begin + end) / 2;

		if (knowledge->values[middle]->tick < tick)
			begin = middle + 1;
		else
			end = middle;
	}
	return begin;
}

static void store_value(struct tick_knowledge *knowledge, const struct Nl__Value *value)
{
	ptrdiff_t position;

	if (value->tick <= knowledge->released_tick)
		return;
	position = find_value_position(knowledge, value->tick);
	if (position == arrlen(knowledge->values) || knowledge->values[position]->tick != value->tick)
		arrins(knowledge->values, position, value_copy(value));
}

/* Insert a range above the horizon, merged with all known ranges that overlap or adjoin it. Returns 0 if a
 * known range contains it already. */
static int merge_range(struct tick_knowledge *knowledge, struct tick_range added)
{
	struct tick_range *ranges = knowledge->known_ranges, merged = added;
	ptrdiff_t first_touched = 0, end_touched;

	while (first_touched < arrlen(ranges) && ranges[first_touched].last + 1 < added.first)
		first_touched++;
	if (first_touched < arrlen(ranges) && ranges[first_touched].first <= added.first &&
	    ranges[first_touched].last >= added.last)
		return 0;
	for (end_touched = first_touched;
	     end_touched < arrlen(ranges) && ranges[end_touched].first <= added.last + 1; end_touched++) {
		if (ranges[end_touched].first < merged.first)
			merged.first = ranges[end_touched].first;
		if (ranges[end_touched].last > merged.last)
			merged.last = ranges[end_touched].last;
	}
	if (end_touched > first_touched)
		arrdeln(knowledge->known_ranges, (size_t)first_touched,
			(size_t)(end_touched - first_touched));
	arrins(knowledge->known_ranges, first_touched, merged);
	return 1;
}

bool knowledge_add(struct tick_knowledge *knowledge, uint64_t first, uint64_t last,
		   const struct Nl__Value *value)
{
	if (first > last)
		return false;
	if (value)
		store_value(knowledge, value);
	if (first <= knowledge->horizon)
		first = knowledge->horizon + 1;
	if (first > last || !merge_range(knowledge, (struct tick_range){ first, last }))
		return false;
	if (knowledge->known_ranges[0].first == knowledge->horizon + 1) {
		knowledge->horizon = knowledge->known_ranges[0].last;
		arrdel(knowledge->known_ranges, 0);
	}
	return true;
}

uint64_t knowledge_highest_tick(const struct tick_knowledge *knowledge)
{
	return arrlen(knowledge->known_ranges) ? arrlast(knowledge->known_ranges).last : knowledge->horizon;
}

int knowledge_gaps(const struct tick_knowledge *knowledge, struct tick_range *ranges, int max_count)
{
	uint64_t first = knowledge->horizon + 1;
	int count = 0;

	for (ptrdiff_t i = 0; i < arrlen(knowledge->known_ranges) && count < max_count; i++) {
		ranges[count++] = (struct tick_range){ first, knowledge->known_ranges[i].first - 1 };
		first = knowledge->known_ranges[i].last + 1;
	}
	return count;
}

/* Append the range [first, last], all ticks of which are known, to a message. Each increment holds one
 * value and the silence before it; the last increment also holds the silence after it. */
static void append_known_range(const struct tick_knowledge *knowledge, uint64_t first, uint64_t last,
			       struct Nl__Knowledge *message, struct command_list *out)
{
	for (ptrdiff_t i = find_value_position(knowledge, first); first <= last; i++) {
		struct Nl__Increment *increment = MESSAGE_NEW(out, Nl__Increment, NL__INCREMENT__INIT);
		struct Nl__Increment **increments =
		    apr_palloc(out->pool, (message->n_increments + 1) * sizeof *increments);
		uint64_t increment_last = last;

		if (i < arrlen(knowledge->values) && knowledge->values[i]->tick <= last) {
			increment->value =
			    (struct Nl__Value *)core_copy_message(out->pool, &knowledge->values[i]->base);
			if (i + 1 < arrlen(knowledge->values) && knowledge->values[i + 1]->tick <= last)
				increment_last = knowledge->values[i]->tick;
		}
		increment->first = first;
		increment->last = increment_last;
		if (message->n_increments)
			memcpy(increments, message->increments, message->n_increments * sizeof *increments);
		increments[message->n_increments++] = increment;
		message->increments = increments;
		first = increment_last + 1;
	}
}

bool knowledge_append(const struct tick_knowledge *knowledge, uint64_t first, uint64_t last,
		      struct Nl__Knowledge *message, struct command_list *out)
{
	if (first <= knowledge->released_tick)
		return false;
	if (first <= knowledge->horizon)
		append_known_range(knowledge, first, last < knowledge->horizon ? last : knowledge->horizon,
				   message, out);
	for (ptrdiff_t i = 0; i < arrlen(knowledge->known_ranges); i++) {
		uint64_t range_first =
		    knowledge->known_ranges[i].first > first ? knowledge->known_ranges[i].first : first;
		uint64_t range_last =
		    knowledge->known_ranges[i].last < last ? knowledge->known_ranges[i].last : last;

		if (range_first <= range_last)
			append_known_range(knowledge, range_first, range_last, message, out);
	}
	return true;
}

void knowledge_release(struct tick_knowledge *knowledge, uint64_t upto)
{
	ptrdiff_t released_count;

	if (upto > knowledge->horizon)
		upto = knowledge->horizon;
	if (upto <= knowledge->released_tick)
		return;
	released_count = find_value_position(knowledge, upto + 1);
	for (ptrdiff_t i = 0; i < released_count; i++)
		value_free(knowledge->values[i]);
	if (released_count)
		arrdeln(knowledge->values, 0, (size_t)released_count);
	knowledge->released_tick = upto;
}

void knowledge_clear(struct tick_knowledge *knowledge)
{
	for (ptrdiff_t i = 0; i < arrlen(knowledge->values); i++)
		value_free(knowledge->values[i]);
	arrfree(knowledge->values);
	arrfree(knowledge->known_ranges);
	memset(knowledge, 0, sizeof *knowledge);
}
