/* The operator's history as operations on one versioned register, for the checker of linearizability. Texts
 * that mean the same JSON are one value. */
#include "operator_history.h"

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

static uint64_t document_version(const char *text)
{
	struct json_object *parsed = json_tokener_parse(text ? text : ""), *version = NULL;
	uint64_t n = 0;

	if (json_object_is_type(parsed, json_type_object) &&
	    json_object_object_get_ex(parsed, "ConfigVersion", &version))
		n = json_object_get_uint64(version);
	json_object_put(parsed);
	return n;
}

static struct linear_op write_op(const struct history_write *history_write, uint64_t value)
{
	struct linear_op operation = { .kind = LINEAR_WRITE,
				       .outcome = LINEAR_UNKNOWN,
				       .called_at = history_write->sent_at_ms,
				       .value = value };

	operation.base_version = (uint64_t)history_write->base_version;
	operation.version = (uint64_t)history_write->version;
	if (history_write->acknowledged_at_ms >= 0) {
		operation.outcome = LINEAR_OK;
		operation.returned_at = history_write->acknowledged_at_ms;
	}
	return operation;
}

int history_is_linearizable(const struct history_write *writes, size_t write_count,
			    const struct history_read *reads, size_t read_count, char *why, size_t why_size)
{
	struct linear_op *ops = calloc(write_count + read_count + 1, sizeof *ops);
	size_t count = 0;
	struct texts known = { calloc(write_count + read_count + 1, sizeof(struct json_object *)), 0 };
	enum linear_result result;

	if (!ops || !known.parsed)
		abort();
	for (size_t i = 0; i < write_count;
	     i++) /* the pages let a valid one be refused: it must not take effect, no more */
		if (writes[i].refused_at_ms < 0)
			ops[count++] = write_op(&writes[i], number_of(&known, writes[i].text));
	for (size_t i = 0; i < read_count; i++)
		ops[count++] = (struct linear_op){ .kind = LINEAR_READ,
						   .called_at = reads[i].requested_at_ms,
						   .returned_at = reads[i].answered_at_ms,
						   .version = document_version(reads[i].text),
						   .value = number_of(&known, reads[i].text) };
	result = linear_check(ops, count, why, why_size);
	for (size_t i = 0; i < known.n; i++)
		json_object_put(known.parsed[i]);
	free(known.parsed);
	free(ops);
	return result == LINEAR_SATISFIED;
}
