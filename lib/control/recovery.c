#include "recovery.h"

#include <apr_strings.h>
#include <json-c/json.h>
#include <stdlib.h>

#include "containers.h"
#include "controller_private.h"

enum { RECOVERY_MAX_LOST_CONTROLLERS = RAFT_MAX_MEMBERS };

/* Parse the identities of permanently lost controllers in the body. Returns their number, or -1 if the body
 * is invalid. */
static int parse_lost_ids(const char *body, uint64_t lost_ids[RECOVERY_MAX_LOST_CONTROLLERS])
{
	struct json_object *request = json_tokener_parse(body), *lost_list;
	int lost_count = -1;

	if (request && json_object_is_type(request, json_type_object) &&
	    json_object_object_get_ex(request, "lost", &lost_list) &&
	    json_object_is_type(lost_list, json_type_array) &&
	    json_object_array_length(lost_list) <= RECOVERY_MAX_LOST_CONTROLLERS) {
		lost_count = 0;
		for (size_t i = 0; i < json_object_array_length(lost_list); i++)
			lost_ids[lost_count++] = strtoull(
			    json_object_get_string(json_object_array_get_idx(lost_list, i)), NULL, 16);
	}
	json_object_put(request);
	return lost_count;
}

static struct json_object *member_json(const struct raft *raft, const struct raft_member *member, int64_t now,
				       apr_pool_t *pool)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(
	    json, "id", json_object_new_string(apr_psprintf(pool, "%016" APR_UINT64_T_HEX_FMT, member->id)));
	json_object_object_add(json, "address", json_object_new_string(core_format_addr(pool, member->addr)));
	json_object_object_add(json, "voter", json_object_new_boolean(member->voter));
	json_object_object_add(json, "here", json_object_new_boolean(member->id == raft->id));
	if (member->last_message_at_ms)
		json_object_object_add(json, "heard_ms_ago",
				       json_object_new_int64(now - member->last_message_at_ms));
	return json;
}

static struct json_object *shard_json(const struct raft *raft, enum raft_recovery recovery, int is_recovered,
				      int64_t now, apr_pool_t *pool)
{
	struct json_object *json = json_object_new_object(), *members = json_object_new_array();

	json_object_object_add(json, "shard", json_object_new_int64(raft->shard));
	json_object_object_add(json, "recovered", json_object_new_boolean(is_recovered));
	json_object_object_add(json, "why", json_object_new_string(raft_recovery_strerror(recovery)));
	json_object_object_add(
	    json, "kept_up_to",
	    json_object_new_uint64(raft->log.base_index + (uint64_t)arrlen(raft->log.entries)));
	json_object_object_add(json, "epoch", json_object_new_uint64(raft_epoch(raft->term)));
	for (int i = 0; i < raft->group.member_count; i++)
		json_object_array_add(members, member_json(raft, &raft->group.members[i], now, pool));
	json_object_object_add(json, "members", members);
	return json;
}

void recovery_on_call(struct controller *controller, const struct controller_event *event, int64_t now,
		      struct command_list *out)
{
	uint64_t lost_ids[RECOVERY_MAX_LOST_CONTROLLERS];
	int lost_count = parse_lost_ids(event->payload.api_call.body, lost_ids), recovered_count = 0;
	struct json_object *answer, *shards;

	if (lost_count < 0) {
		command_answer(out, event->payload.api_call.token, 400, 0,
			       error_json(out->pool, "lost: a list of up to 8 identities of registrars", 0));
		return;
	}
	answer = json_object_new_object();
	shards = json_object_new_array();
	for (int i = 0; i < SHARD_COUNT; i++) {
		struct raft *raft = &controller->shards[i];
		enum raft_recovery recovery = lost_count ? raft_recover(raft, lost_ids, lost_count, now)
							 : raft_can_recover(raft, lost_ids, lost_count, now);
		int is_recovered = lost_count && recovery == RAFT_RECOVERY_POSSIBLE;

		recovered_count += is_recovered;
		if (is_recovered)
			log_line(controller, "recovery", out->pool,
				 "shard recovered from this replica alone, shard %d, epoch %" APR_UINT64_T_FMT
				 ".",
				 i, raft_epoch(raft->term));
		json_object_array_add(shards, shard_json(raft, recovery, is_recovered, now, out->pool));
	}
	json_object_object_add(answer, "recovered", json_object_new_int(recovered_count));
	json_object_object_add(
	    answer, "lost",
	    json_object_new_string(recovered_count ? "changes, claims and purges that were acknowledged last "
						     "may be missing: only the lost registrars stored them"
						   : "nothing"));
	json_object_object_add(answer, "shards", shards);
	command_answer(
	    out, event->payload.api_call.token, recovered_count ? 200 : 409, 0,
	    apr_pstrdup(out->pool, json_object_to_json_string_ext(answer, JSON_C_TO_STRING_PLAIN)));
	json_object_put(answer);
}
