#include "controller_private.h"

const char *error_json(apr_pool_t *p, const char *why, uint64_t edition)
{
	struct json_object *j = json_object_new_object();
	const char *s;

	json_object_object_add(j, "error", json_object_new_string(why));
	if (edition)
		json_object_object_add(j, "edition", json_object_new_int64((int64_t)edition));
	s = apr_pstrdup(p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	json_object_put(j);
	return s;
}

void refuse_without_leader(uint64_t token, struct out *o)
{
	out_answer(o, token, 503, CONTROLLER_RETRY_MS,
		   error_json(o->p, "no leader of the configuration is in reach: nothing was logged", 0));
}

void refuse_while_stopping(uint64_t token, struct out *o)
{
	out_answer(o, token, 503, CONTROLLER_RETRY_MS,
		   error_json(o->p, "this controller stops: nothing was logged, call another", 0));
}
