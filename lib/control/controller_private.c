#include "controller_private.h"

const char *error_json(apr_pool_t *pool, const char *reason, uint64_t revision)
{
	struct json_object *json = json_object_new_object();
	const char *text;

	json_object_object_add(json, "error", json_object_new_string(reason));
	if (revision)
		json_object_object_add(json, "edition", json_object_new_int64((int64_t)revision));
	text = apr_pstrdup(pool, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
	return text;
}

void reject_without_leader(uint64_t token, struct command_list *out)
{
	command_answer(
	    out, token, 503, CONTROLLER_CALL_RETRY_MS,
	    error_json(out->pool, "leader of the control shard unreachable: nothing was logged, retry", 0));
}

void reject_while_stopping(uint64_t token, struct command_list *out)
{
	command_answer(
	    out, token, 503, CONTROLLER_CALL_RETRY_MS,
	    error_json(out->pool,
		       "this controller is shutting down: nothing was logged, call another controller", 0));
}
