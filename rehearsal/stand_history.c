#include "stand_history.h"

#include <json-c/json.h>
#include <stdlib.h>

#include "linear.h"

/* Texts that mean the same have one number. */
struct texts {
	struct json_object **parsed;
	size_t n;
};

static uint64_t number_of(struct texts *known, const char *text)
{
	struct json_object *parsed = json_tokener_parse(text ? text : "");

	for (size_t i = 0; i < known->n; i++)
		if (json_object_equal(known->parsed[i], parsed)) {
			json_object_put(parsed);
			return i + 1;
		}
	known->parsed[known->n++] = parsed;
	return known->n;
}

static uint64_t version_of(const char *text)
{
	struct json_object *parsed = json_tokener_parse(text ? text : ""), *version = NULL;
	uint64_t n = 0;

	if (json_object_is_type(parsed, json_type_object) && json_object_object_get_ex(parsed, "ConfigVersion", &version))
		n = json_object_get_uint64(version);
	json_object_put(parsed);
	return n;
}

static struct linear_op write_op(const struct history_write *w, uint64_t value)
{
	struct linear_op op = { .kind = LINEAR_WRITE, .outcome = LINEAR_UNKNOWN, .called = w->sent, .value = value };

	op.base = (uint64_t)w->base;
	op.version = (uint64_t)w->version;
	if (w->acknowledged >= 0) {
		op.outcome = LINEAR_OK;
		op.returned = w->acknowledged;
	}
	return op;
}

int history_holds(const struct history_write *writes, size_t n, const struct history_read *reads, size_t m, char *why,
		  size_t why_size)
{
	struct linear_op *ops = calloc(n + m + 1, sizeof *ops);
	size_t count = 0;
	struct texts known = { calloc(n + m + 1, sizeof(struct json_object *)), 0 };
	enum linear_result result;

	if (!ops || !known.parsed)
		abort();
	for (size_t i = 0; i < n; i++) /* the pages let a valid one be refused: it must not take effect, no more */
		if (writes[i].refused < 0)
			ops[count++] = write_op(&writes[i], number_of(&known, writes[i].text));
	for (size_t i = 0; i < m; i++)
		ops[count++] = (struct linear_op){ .kind = LINEAR_READ,
						   .called = reads[i].asked,
						   .returned = reads[i].answered,
						   .version = version_of(reads[i].text),
						   .value = number_of(&known, reads[i].text) };
	result = linear_check(ops, count, why, why_size);
	for (size_t i = 0; i < known.n; i++)
		json_object_put(known.parsed[i]);
	free(known.parsed);
	free(ops);
	return result == LINEAR_HOLDS;
}
