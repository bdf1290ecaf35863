#include "stored_interface.h"

#include <apr_strings.h>
#include <string.h>

#include "ds.h"
#include "sheet.h"
#include "solo.h"
#include "stored_folders.h"
#include "table.h"

/* ---- rows ---- */

static const char *const rows[] = {
	"{\"kind\":\"lane\",\"name\":\"l\",\"service\":\"s\",\"prio\":1,\"limit\":2,\"host\":\"h\",\"path\":\"/p/\",\"split\":\"a:1,b:2\","
	"\"aim\":3,\"pause\":4,\"timeout\":5,\"attempts\":6,\"resumable\":true,\"repeatable\":true,\"vouched\":true,\"open\":true}",
	"{\"kind\":\"tenant\",\"name\":\"t\",\"share\":1,\"limit\":2,\"walled\":true,\"rank\":3}",
	"{\"kind\":\"share\",\"name\":\"l/t\",\"share\":1,\"limit\":2}",
	"{\"kind\":\"key\",\"name\":\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\",\"tenant\":\"t\"}",
	"{\"kind\":\"server\",\"name\":\"x\",\"service\":\"s\",\"addr\":\"127.0.0.1:80\",\"zone\":\"z\",\"state\":\"draining\"}",
	"{\"kind\":\"server\",\"name\":\"y\",\"service\":\"s\",\"addr\":\"127.0.0.2:80\",\"zone\":\"z\",\"state\":\"serving\"}",
	"{\"kind\":\"service\",\"name\":\"s\",\"addr\":\"127.0.0.3:80\",\"zone\":\"z\",\"weights\":\"w\",\"prefill\":1,\"kv_bytes\":2,"
	"\"link\":3,\"store\":4,\"model\":\"m\",\"slots\":5,\"conns\":6,\"watches\":7,\"room\":8000000000,\"health\":\"/h\"}",
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
		struct json_object *in = json_tokener_parse(rows[i]), *out = NULL;
		const char *why = "";
		const struct Nl__Row *row = table_row_parse(in, pool, &why);

		if (row)
			out = table_row_json(row);
		text = apr_pstrcat(pool, text, rows[i], "\n",
				   out ? json_object_to_json_string_ext(out, JSON_C_TO_STRING_PLAIN) : why, "\n\n", NULL);
		json_object_put(out);
		json_object_put(in);
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
	sheet = sheet_print(table, NULL, pool);
	again = sheet_parse(sheet, pool, &why);
	text =
	    apr_pstrcat(pool, sheet, "\n", again ? json_object_to_json_string_ext(again, JSON_C_TO_STRING_PLAIN) : why, "\n", NULL);
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
	struct solo s;
	const char *text;
	apr_pool_t *pool;
	uint64_t call; /* of the newest request to a server */
};

/* The owner of the claims' shard takes whatever is proposed. */
static void grant(struct talk *t, uint64_t token)
{
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__Answer a = NL__ANSWER__INIT;

	a.token = token;
	m.body_case = NL__MSG__BODY_ANSWER;
	m.answer = &a;
	m.id = m.addr = 1;
	m.fleet = 7;
	solo_msg(&t->s, &m);
}

/* What the router says to its client and to its server; its claims are granted. */
static void note(struct talk *t)
{
	for (ptrdiff_t i = 0; i < arrlen(t->s.o.v); i++) { /* more come while claims are granted */
		const struct cmd *c = &t->s.o.v[i];

		if (c->kind == CMD_SEND && c->u.send.msg->body_case == NL__MSG__BODY_PROPOSE)
			grant(t, c->u.send.msg->propose->token);
		else if (c->kind == CMD_ANSWER)
			t->text = apr_psprintf(t->pool, "%sanswer %d, again in %d ms: %s\n", t->text, c->u.answer.status,
					       c->u.answer.retry_ms, c->u.answer.body);
		else if (c->kind == CMD_PIECE)
			t->text = apr_psprintf(t->pool, "%spiece: %s", t->text, c->u.piece.body);
		else if (c->kind == CMD_END)
			t->text = apr_psprintf(t->pool, "%send %d: %s", t->text, c->u.piece.ok, c->u.piece.body);
		else if (c->kind == CMD_CALL) {
			t->text = apr_psprintf(t->pool, "%sto %s %s: %s\n", t->text, c->u.call.addr, c->u.call.path,
					       c->u.call.body ? c->u.call.body : "");
			if (c->u.call.stream)
				t->call = c->u.call.token;
		}
	}
	out_clear(&t->s.o);
}

static void do_event(struct talk *t, const struct router_ev *ev)
{
	t->s.c.relay.known_at = t->s.now;
	out_clear(&t->s.o);
	solo_step(&t->s, ev);
	note(t);
}

static void exchange(struct talk *t, const char *key, const char *body)
{
	struct router_ev ev = { .kind = ROUTER_EXCHANGE };

	ev.u.exchange.token = ++t->s.token;
	ev.u.exchange.digest = key;
	ev.u.exchange.body = body;
	t->text = apr_pstrcat(t->pool, t->text, "exchange: ", body, "\n", NULL);
	do_event(t, &ev);
}

static void line_of_server(struct talk *t, const char *line)
{
	struct router_ev ev = { .kind = ROUTER_PIECE };

	ev.u.piece.token = t->call;
	ev.u.piece.line = line;
	t->text = apr_pstrcat(t->pool, t->text, "line: ", line, "\n", NULL);
	do_event(t, &ev);
}

static void end_of_server(struct talk *t, int status, int never)
{
	struct router_ev ev = { .kind = ROUTER_DONE };

	ev.u.done.token = t->call;
	ev.u.done.status = status;
	ev.u.done.never = never;
	ev.u.done.body = "";
	t->text = apr_psprintf(t->pool, "%sserver ends: %d, never %d\n", t->text, status, never);
	do_event(t, &ev);
}

static void get(struct talk *t, const char *path)
{
	struct router_ev ev = { .kind = ROUTER_WEB };

	ev.u.web.token = ++t->s.token;
	ev.u.web.path = path;
	t->text = apr_pstrcat(t->pool, t->text, "GET ", path, "\n", NULL);
	do_event(t, &ev);
}

static void talk_open(struct talk *t, apr_pool_t *pool)
{
	const char *why;
	struct Nl__Change *c = table_change_parse(router_table, pool, &why);
	struct Nl__Instance *server;

	t->pool = pool;
	t->text = "";
	solo_open(&t->s, 5);
	server = new_sight(t->s.p, 0, "chat");
	solo_table(&t->s, c->set, c->n_set, &server, 1, 1);
	t->s.c.relay.fresh = 1;
	t->s.c.relay.known_at = t->s.now;
}

#define ASK(lane, id)                         \
	"{\"lane\":\"" lane "\",\"id\":\"" id \
	"\",\"limit_ms\":5000,\"parts\":[\"the first part\",\"the second\"],\"tail\":\"and the rest\"}"

const char *stored_router(apr_pool_t *pool)
{
	struct talk t;

	memset(&t, 0, sizeof t);
	talk_open(&t, pool);
	exchange(&t, "unknown", ASK("front", "a"));
	exchange(&t, digest, "no JSON");
	exchange(&t, digest, "{}");
	exchange(&t, digest, ASK("none", "a"));
	exchange(&t, digest, ASK("front", "a"));
	line_of_server(&t, "{\"x\":\"0000000000000005-1-1\",\"n\":0,\"t\":\"Good\"}");
	line_of_server(&t, "{\"x\":\"0000000000000005-1-1\",\"n\":1,\"t\":\" day\"}");
	line_of_server(&t, "{\"x\":\"0000000000000005-1-1\",\"n\":2,\"end\":true}");
	end_of_server(&t, 200, 0);
	exchange(&t, digest, ASK("front", "b")); /* what the first one left is used */
	line_of_server(&t, "{\"x\":\"0000000000000005-2-1\",\"n\":0,\"t\":\"Good\"}");
	end_of_server(&t, 0, 0);
	exchange(&t, digest, ASK("front", "c"));
	line_of_server(&t, "{\"x\":\"another\",\"n\":0,\"t\":\"Good\"}");
	exchange(&t, digest, ASK("short", "d"));
	exchange(&t, digest, ASK("short", "e"));
	get(&t, "/v1/none");
	get(&t, "/v1/usage");
	get(&t, "/v1/state");
	get(&t, "/metrics");
	solo_close(&t.s);
	return t.text;
}
