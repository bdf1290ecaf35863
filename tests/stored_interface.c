#include "stored_interface.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"
#include "config_text.h"
#include "router_fixture.h"
#include "stored_folders.h"
#include "config_table.h"
#include "config_row.h"

/* ---- rows ---- */

static const char lane_row[] =
    "{\"kind\":\"lane\",\"name\":\"l\",\"service\":\"s\",\"prio\":1,\"limit\":2,\"host\":\"h\",\"path\":\"/p/\",\"split\":\"a:1,b:2\","
    "\"aim\":3,\"pause\":4,\"timeout\":5,\"attempts\":6,\"resumable\":true,\"repeatable\":true,\"vouched\":true,\"open\":true}";
static const char service_row[] =
    "{\"kind\":\"service\",\"name\":\"s\",\"addr\":\"127.0.0.3:80\",\"zone\":\"z\",\"weights\":\"w\",\"prefill\":1,\"kv_bytes\":2,"
    "\"link\":3,\"store\":4,\"model\":\"m\",\"slots\":5,\"conns\":6,\"watches\":7,\"room\":8000000000,\"health\":\"/h\"}";

static const char *const rows[] = {
	lane_row,
	"{\"kind\":\"tenant\",\"name\":\"t\",\"share\":1,\"limit\":2,\"walled\":true,\"rank\":3}",
	"{\"kind\":\"share\",\"name\":\"l/t\",\"share\":1,\"limit\":2}",
	"{\"kind\":\"key\",\"name\":\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\",\"tenant\":\"t\"}",
	"{\"kind\":\"server\",\"name\":\"x\",\"service\":\"s\",\"addr\":\"127.0.0.1:80\",\"zone\":\"z\",\"state\":\"draining\"}",
	"{\"kind\":\"server\",\"name\":\"y\",\"service\":\"s\",\"addr\":\"127.0.0.2:80\",\"zone\":\"z\",\"state\":\"serving\"}",
	service_row,
	"{\"kind\":\"registrar\",\"name\":\"r\",\"addr\":\"127.0.0.4:80\",\"zone\":\"z\",\"id\":\"00000000000000ab\"}",
	"{\"kind\":\"model\",\"name\":\"m\",\"weights\":\"7\",\"rolled\":\"6\"}",
	"{\"kind\":\"door\",\"name\":\"d\",\"head_bytes\":1,\"body_bytes\":2,\"head_ms\":3,\"idle_ms\":4}",
	"{\"kind\":\"retention\",\"name\":\"l/t\",\"keep\":\"7h\",\"every\":\"6h\",\"at\":\"daily 02:30 UTC\",\"window\":1}",
	"{\"kind\":\"lane\",\"name\":\"only\"}",
	"{\"kind\":\"service\",\"name\":\"only\"}",
	"{\"kind\":\"retention\",\"name\":\"only\"}",
	"{\"kind\":\"none\",\"name\":\"n\"}",
	"{\"kind\":\"route\",\"name\":\"n\"}",
	"{\"name\":\"n\"}",
	"{\"kind\":\"tenant\",\"name\":\"t\",\"weights\":\"1\"}",
	"{\"kind\":\"tenant\",\"name\":\"t\",\"share\":-1}",
	"{\"kind\":\"tenant\",\"name\":\"t\",\"walled\":1}",
	"{\"kind\":\"lane\",\"name\":\"l\",\"split\":\"a\"}",
	"{\"kind\":\"service\",\"name\":\"s\",\"room\":\"1\"}",
	"[]",
};

const char *stored_rows(apr_pool_t *pool)
{
	const char *text = "";

	for (size_t i = 0; i < sizeof rows / sizeof *rows; i++) {
		struct json_object *json = json_tokener_parse(rows[i]), *out = NULL;
		const char *why = "";
		const struct Nl__Row *row = config_row_parse(json, pool, &why);

		if (row)
			out = config_row_json(row);
		text = apr_pstrcat(pool, text, rows[i], "\n",
				   out ? json_object_to_json_string_ext(out, JSON_C_TO_STRING_PLAIN) : why,
				   "\n\n", NULL);
		json_object_put(out);
		json_object_put(json);
	}
	return text;
}

const char *stored_sheet(apr_pool_t *pool)
{
	struct json_object *table = json_object_new_object(), *list = json_object_new_array(), *again;
	const char *sheet, *why = "", *text;

	for (size_t i = 0; i < 11; i++)
		json_object_array_add(list, json_tokener_parse(rows[i]));
	json_object_object_add(table, "edition", json_object_new_int(7));
	json_object_object_add(table, "rows", list);
	sheet = config_text_format(table, NULL, pool);
	again = config_text_parse(sheet, pool, &why);
	text = apr_pstrcat(pool, sheet, "\n",
			   again ? json_object_to_json_string_ext(again, JSON_C_TO_STRING_PLAIN) : why, "\n",
			   NULL);
	json_object_put(again);
	json_object_put(table);
	return text;
}

/* ---- a router ---- */

static const char digest[] = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

static const char router_table[] =
    "{\"set\":["
    "{\"kind\":\"service\",\"name\":\"chat\",\"weights\":\"w1\",\"prefill\":20,\"kv_bytes\":400,\"link\":100000},"
    "{\"kind\":\"lane\",\"name\":\"front\",\"service\":\"chat\",\"prio\":3,\"limit\":50},"
    "{\"kind\":\"lane\",\"name\":\"short\",\"service\":\"chat\",\"prio\":4,\"limit\":1},"
    "{\"kind\":\"tenant\",\"name\":\"tenant\",\"share\":5,\"limit\":0},"
    "{\"kind\":\"key\",\"name\":\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\",\"tenant\":\"tenant\"}]}";

struct talk {
	struct router_fixture s;
	const char *text;
	apr_pool_t *pool;
	uint64_t call; /* of the newest request to a server */
};

/* The owner of the claims' shard takes whatever is proposed. */
static void grant(struct talk *talk, uint64_t token)
{
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__ProposeReply answer = NL__PROPOSE_REPLY__INIT;

	answer.token = token;
	message.body_case = NL__MSG__BODY_PROPOSE_REPLY;
	message.propose_reply = &answer;
	message.id = message.addr = 1;
	message.fleet_id = 7;
	router_fixture_message(&talk->s, &message);
}

/* What the router says to its client and to its server; its claims are granted. */
static void note(struct talk *talk)
{
	for (ptrdiff_t i = 0; i < arrlen(talk->s.commands.commands);
	     i++) { /* more come while claims are granted */
		const struct command *command = &talk->s.commands.commands[i];

		if (command->kind == CMD_SEND && command->args.send.msg->body_case == NL__MSG__BODY_PROPOSE)
			grant(talk, command->args.send.msg->propose->token);
		else if (command->kind == CMD_ANSWER)
			talk->text =
			    apr_psprintf(talk->pool, "%sanswer %d, again in %d ms: %s\n", talk->text,
					 command->args.answer.status, command->args.answer.retry_after_ms,
					 command->args.answer.body);
		else if (command->kind == CMD_STREAM_CHUNK)
			talk->text = apr_psprintf(talk->pool, "%spiece: %s", talk->text,
						  command->args.stream_chunk.body);
		else if (command->kind == CMD_END_STREAM)
			talk->text =
			    apr_psprintf(talk->pool, "%send %d: %s", talk->text,
					 command->args.stream_chunk.success, command->args.stream_chunk.body);
		else if (command->kind == CMD_CALL) {
			talk->text = apr_psprintf(talk->pool, "%sto %s %s: %s\n", talk->text,
						  command->args.call.addr, command->args.call.path,
						  command->args.call.body ? command->args.call.body : "");
			if (command->args.call.is_stream)
				talk->call = command->args.call.token;
		}
	}
	command_list_clear(&talk->s.commands);
}

static void do_event(struct talk *talk, const struct router_event *event)
{
	talk->s.router.relay.known_at_ms = talk->s.now;
	command_list_clear(&talk->s.commands);
	router_fixture_step(&talk->s, event);
	note(talk);
}

static void exchange(struct talk *talk, const char *key, const char *body)
{
	struct router_event event = { .kind = ROUTER_EVENT_CLAIMED_REQUEST };

	event.args.claimed_request.token = ++talk->s.token;
	event.args.claimed_request.key_digest = key;
	event.args.claimed_request.body = body;
	talk->text = apr_pstrcat(talk->pool, talk->text, "exchange: ", body, "\n", NULL);
	do_event(talk, &event);
}

static void line_of_server(struct talk *talk, const char *line)
{
	struct router_event event = { .kind = ROUTER_EVENT_STREAM_CHUNK };

	event.args.stream_chunk.token = talk->call;
	event.args.stream_chunk.text = line;
	talk->text = apr_pstrcat(talk->pool, talk->text, "line: ", line, "\n", NULL);
	do_event(talk, &event);
}

static void end_of_server(struct talk *talk, int status, int never)
{
	struct router_event event = { .kind = ROUTER_EVENT_CALL_ENDED };

	event.args.call_ended.token = talk->call;
	event.args.call_ended.status = status;
	event.args.call_ended.not_started = never;
	event.args.call_ended.body = "";
	talk->text = apr_psprintf(talk->pool, "%sserver ends: %d, never %d\n", talk->text, status, never);
	do_event(talk, &event);
}

static void get(struct talk *t, const char *path)
{
	struct router_event event = { .kind = ROUTER_EVENT_HTTP_GET };

	event.args.http_get.token = ++t->s.token;
	event.args.http_get.path = path;
	t->text = apr_pstrcat(t->pool, t->text, "GET ", path, "\n", NULL);
	do_event(t, &event);
}

static void talk_open(struct talk *talk, apr_pool_t *pool)
{
	const char *why;
	struct Nl__Change *change = config_change_parse(router_table, pool, &why);
	struct Nl__Instance *server;

	talk->pool = pool;
	talk->text = "";
	router_fixture_open(&talk->s, 5);
	server = new_instance(talk->s.pool, 0, "chat");
	router_fixture_table(&talk->s, change->set, change->n_set, &server, 1, 1);
	talk->s.router.relay.has_knowledge = 1;
	talk->s.router.relay.known_at_ms = talk->s.now;
}

#define ASK(lane, id)                         \
	"{\"lane\":\"" lane "\",\"id\":\"" id \
	"\",\"limit_ms\":5000,\"parts\":[\"the first part\",\"the second\"],\"tail\":\"and the rest\"}"

const char *stored_router(apr_pool_t *pool)
{
	struct talk talk;

	memset(&talk, 0, sizeof talk);
	talk_open(&talk, pool);
	exchange(&talk, "unknown", ASK("front", "a"));
	exchange(&talk, digest, "no JSON");
	exchange(&talk, digest, "{}");
	exchange(&talk, digest, ASK("none", "a"));
	exchange(&talk, digest, ASK("front", "a"));
	line_of_server(&talk, "{\"x\":\"0000000000000005-1-1\",\"n\":0,\"t\":\"Good\"}");
	line_of_server(&talk, "{\"x\":\"0000000000000005-1-1\",\"n\":1,\"t\":\" day\"}");
	line_of_server(&talk, "{\"x\":\"0000000000000005-1-1\",\"n\":2,\"end\":true}");
	end_of_server(&talk, 200, 0);
	exchange(&talk, digest, ASK("front", "b")); /* what the first one left is used */
	line_of_server(&talk, "{\"x\":\"0000000000000005-2-1\",\"n\":0,\"t\":\"Good\"}");
	end_of_server(&talk, 0, 0);
	exchange(&talk, digest, ASK("front", "c"));
	line_of_server(&talk, "{\"x\":\"another\",\"n\":0,\"t\":\"Good\"}");
	exchange(&talk, digest, ASK("short", "d"));
	exchange(&talk, digest, ASK("short", "e"));
	get(&talk, "/v1/none");
	get(&talk, "/v1/usage");
	get(&talk, "/v1/state");
	get(&talk, "/metrics");
	router_fixture_close(&talk.s);
	return talk.text;
}
