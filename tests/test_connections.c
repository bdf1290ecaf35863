/* Connections under a hostile far end: the platform's door, the forwarding core and the event loop as they
 * run in the daemon, on a simulated network with virtual time. Servers answer late, twice, with other
 * requests' ids, half, torn, not at all; clients pipeline, leave, read slowly, smuggle. What reaches whom is
 * checked byte by byte. A failing seed prints itself: NL_SEED=n NL_SEEDS=1 build/test_connections */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <cmocka.h>

#include "router_internal.h"
#include "config_document.h"
#include "containers.h"
#include "edge.h"
#include "http.h"
#include "net_sim.h"
#include "shell.h"

enum {
	SERVERS = 4,
	CLIENTS = 12,
	FRONT_PORT = 8080,
	READINESS_PORT = 8081,
	TICK_MS = 25,
	LOAD_MS = 4000,
	DRAIN_MS = 13000,
	LEADER_ADDR = 1, /* the address that the core's leader answers at */
	SEND_GRACE_MS = 200,
	DEADLINE_SLACK_MS = 100,      /* between a client's byte and the front end's clock */
	KEEP_ALIVE_DEFAULT_MS = 4300, /* a connection whose server tells no time rests for less */
	KEEP_MARGIN_MS = 300,
	SEED_RUNS = 200,
	STOP_RUNS = 400,
	GRACE_MS = 7300,       /* of a planned stop, as settings.c leaves it of 8 s */
	SHORT_GRACE_MS = 4000, /* less than a head may take */
	LOSS_SLACK_MS = 200,   /* a request that ends sooner, and was passed on to nobody, is not lost */
	STOP_LAST_MS = 300,    /* before the end of a stop: FINAL_ANSWERS_MS of edge.c */
	DISCONNECTED_MS = 50   /* for which the loop runs on once a process has stopped: PROC_LEAVE */
};

enum route { ROUTE_ONCE, ROUTE_REPEATABLE, ROUTE_RESUMABLE, ROUTE_STREAM, ROUTES };

static const struct {
	const char *path;
	int repeatable, resumable, streams;
} routes[ROUTES] = { { "/once/", 0, 0, 0 },
		     { "/repeatable/", 1, 0, 0 },
		     { "/resumable/", 0, 1, 1 },
		     { "/stream/", 0, 0, 1 } };

/* The ways in which a client names the routes' host: before the path in the target, and in Host. */
static const struct {
	const char *target_prefix, *host;
} hosts[] = { { "", "h.example" },
	      { "", "H.Example" },
	      { "", "h.example:8080" },
	      { "HTTP://H.example:80", "elsewhere.example" },
	      { "https://h.example.", "h.example" } };

enum { HOSTS = sizeof hosts / sizeof *hosts };

/* One time that a request was put on a wire. */
struct wire {
	uint64_t conn;
	int64_t cleared_at; /* when the product learned that it did not run; INT64_MAX: never */
	int act;            /* what the server was about to do with it */
};

enum { TENANTS = 2 };

struct request {
	enum route route;
	int host; /* its place in hosts */
	int key;  /* the tenant whose key it shows; TENANTS: a key of nobody; -1: none */
	int more_fields;
	int64_t deadline_at;
	char id[24], path[40], body[2000];
	size_t body_len;
	size_t ends_at;      /* on its connection: how many bytes were said when it was whole */
	int64_t complete_at; /* when its last byte arrives */
	int limit_ms;        /* for which its client waits */
	int events;          /* of its stream, whoever runs it */
	int runs, promises, answers;
	struct wire *wires; /* stb_ds */
};

struct run {
	int request, status;
	char *body; /* stb_ds: all that the server means to say */
};

/* What a server does with a request. */
enum act {
	ACT_ANSWER,
	ACT_CHUNKED,
	ACT_CLOSE_DELIMITED,
	ACT_FAIL,
	ACT_REJECT,
	ACT_WRONG_INCARNATION,
	ACT_TOO_MANY,
	ACT_BARE_REFUSAL,
	ACT_RESET_EARLY,
	ACT_END_EARLY,
	ACT_CUT_HEAD,
	ACT_CUT_BODY,
	ACT_SILENT,
	ACT_LATE,
	ACT_SURPLUS,
	ACT_SURPLUS_REFUSAL,
	ACT_FOREIGN,
	ACT_FOREIGN_REFUSAL,
	ACT_FOREIGN_THEN_OWN,
	ACT_GARBAGE,
	ACT_TOO_SHORT,
	ACT_TOO_LONG,
	ACT_NO_SEAL,
	ACT_NO_ID,
	ACT_BAD_CHUNK,
	ACT_FORGET,
	ACT_SHORT_KEEP,
	ACT_CLOSES,
	ACT_INTERIM,
	ACT_NOT_A_STREAM,
	ACT_CUT_UNFRAMED,
	ACTS
};

struct server_conn {
	struct sim_conn *c;
	int instance; /* the server's life that listens there */
	char *in;     /* stb_ds: of the request under way */
	int planned, noted, ended, request;
	enum act act;
	size_t early_at;     /* bytes of a request after which an early act comes */
	char last_id[24];    /* of the request before */
	int64_t answered_at; /* when its answer has arrived; 0: not yet */
	int64_t odd_at;      /* when bytes arrive that belong to no request; 0: never */
	int keep_ms;         /* for how long it may rest afterwards */
};

enum client_mode {
	CLIENT_PLAIN,
	CLIENT_PIPELINES,
	CLIENT_LEAVES,
	CLIENT_HALF_CLOSES,
	CLIENT_SLOW,
	CLIENT_SMUGGLES,
	CLIENT_MODES
};

struct client {
	struct sim_conn *c;
	enum client_mode mode;
	int *pending; /* stb_ds: requests without a whole answer */
	char *in;     /* stb_ds: of the answer under way */
	int64_t next_at;
	size_t bytes_written; /* bytes, ever */
	int half_closed;      /* it has ended its side */
	int old;              /* speaks HTTP/1.0: answers of no told length end with the connection */
};

/* The limits that a configuration sets for clients. */
enum listener_limit { LIMIT_HEAD_BYTES, LIMIT_BODY_BYTES, LIMIT_HEAD_MS, LIMIT_IDLE_MS, LISTENER_LIMITS };

static struct {
	uint64_t seed, rng;
	struct edge edge;
	struct process proc;
	struct router ctr;
	struct platform platform;
	struct request *requests; /* stb_ds */
	struct run *runs;         /* stb_ds */
	struct server_conn **server_conns;
	struct client clients[CLIENTS];
	uint64_t *config_watch_tokens; /* stb_ds: requests that the leader has not answered */
	uint64_t edition;
	int64_t owner_silent_until, started, frozen_ms;
	int calm; /* no server breaks off, nobody freezes, the leader always answers: only planned work is
		     about */
	uint32_t limits[LISTENER_LIMITS]; /* of the configuration; 0: none */
	int closed;                       /* the process has ended */
	int honest_ids;                   /* ids are used again, and servers send no surplus */
	enum act *script; /* stb_ds: what servers do with the next requests; by chance where it is empty */
	const char *line_end;      /* of streams' lines; NULL: LF */
	int limit_ms;              /* for which clients wait; 0: decided by chance */
	int has_unframed_cut;      /* unframed_cut_bytes decides, not chance */
	size_t unframed_cut_bytes; /* bytes of the body that ACT_CUT_UNFRAMED sends */
	char bad[400];
} w;

/* Sums over all seeds: a model that brings nothing about proves nothing. */
static struct {
	uint64_t requests, whole, refused, failed, cut, runs, wires, again, resumed, surplus, foreign, frozen,
	    smuggled, acts[ACTS];
} sum;

static uint64_t random_below(uint64_t n)
{
	return core_random(&w.rng) % n;
}

static void breach(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
static void breach(const char *fmt, ...)
{
	va_list ap;

	if (w.bad[0])
		return;
	va_start(ap, fmt);
	vsnprintf(w.bad, sizeof w.bad, fmt, ap);
	va_end(ap);
}

static void append(char **to, const char *d, size_t n)
{
	if (n)
		memcpy(arraddnptr(*to, n), d, n);
}

static void append_format(char **to, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
static void append_format(char **to, const char *fmt, ...)
{
	char text[700];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text, sizeof text, fmt, ap);
	va_end(ap);
	append(to, text, (size_t)n);
}

/* Where a head ends in d, or 0. */
static size_t head_length(const char *d, size_t n)
{
	for (size_t i = 3; i < n; i++)
		if (!memcmp(d + i - 3, "\r\n\r\n", 4))
			return i + 1;
	return 0;
}

/* A field's value in a head, copied; 0 when it is not there. */
static int field(const char *d, size_t n, const char *name, char *to, size_t cap)
{
	size_t len = strlen(name);

	for (const char *p = memchr(d, '\n', n), *end = d + n; p && p + 1 < end;
	     p = memchr(p + 1, '\n', (size_t)(end - p - 1))) {
		const char *line = p + 1, *stop;

		if ((size_t)(end - line) <= len || strncasecmp(line, name, len) || line[len] != ':')
			continue;
		line += len + 1;
		line += *line == ' ';
		stop = memchr(line, '\r', (size_t)(end - line));
		snprintf(to, cap, "%.*s", (int)(stop ? stop - line : 0), line);
		return 1;
	}
	return 0;
}

/* ---- servers ---- */

static const char *line_end(void)
{
	return w.line_end ? w.line_end : "\n";
}

static void append_event(char **to, int event, int request, int run)
{
	const char *end = line_end();

	if (!random_below(8))
		append_format(to, "x-note: 1%s", end);
	append_format(to, "id: %d%sdata: request %d event %d run %d%s%s", event, end, request, event, run,
		      end, end);
}

/* What a run says, all of it. */
static int run_new(int request, int from_event, int status)
{
	struct request *q = &w.requests[request];
	struct run r = { request, status, NULL };
	int no = (int)arrlen(w.runs);

	if (routes[q->route].streams && status == 200) {
		for (int i = from_event + 1; i <= q->events; i++)
			append_event(&r.body, i, request, no);
	} else {
		append_format(&r.body, "request %d run %d ", request, no);
		for (uint64_t i = random_below(4) ? random_below(200) : random_below(6000); i; i--)
			arrput(r.body, (char)('a' + (i + (uint64_t)no) % 26));
	}
	q->runs++;
	if (q->promises)
		breach("request %d (%s) runs after its client was promised that it never will", request,
		       q->path);
	sum.runs++;
	arrput(w.runs, r);
	return no;
}

/* Say d in pieces that are torn anywhere. Returns when the last has arrived. */
static int64_t write_in_segments(struct server_conn *conn, const char *d, size_t n, int64_t in_ms)
{
	while (n) {
		size_t k = random_below(2) ? n : 1 + random_below(n);

		net_sim_write(conn->c, d, k, in_ms);
		d += k;
		n -= k;
		if (n)
			in_ms += (int64_t)random_below(4) ? 0 : (int64_t)random_below(30);
	}
	return in_ms;
}

static void head(char **to, int status, const char *id, int run, const char *extra)
{
	append_format(to, "HTTP/1.1 %d Status\r\n", status);
	if (id)
		append_format(to, "X-Notchlug-Attempt-Id: %s\r\n", id);
	if (run >= 0)
		append_format(to, "X-Notchlug-Server-Seal: %d\r\n", run);
	append_format(to, "X-Notchlug-Server-Load: %d,%d,8\r\n%s", (int)random_below(4), 0, extra);
}

static void chunks(char **to, const char *d, size_t n)
{
	while (n) {
		size_t k = 1 + random_below(n < 300 ? n : 300);

		append_format(to, "%zx%s\r\n", k, random_below(6) ? "" : ";x=y");
		append(to, d, k);
		append(to, "\r\n", 2);
		d += k;
		n -= k;
	}
}

enum framing { FRAME_LENGTH, FRAME_CHUNKED, FRAME_CLOSE };

/* A whole answer as bytes. */
static char *complete_answer(int status, const char *id, int run, const char *body, size_t n,
			     enum framing framing, const char *extra)
{
	char *b = NULL;

	head(&b, status, id, run, extra);
	if (framing == FRAME_LENGTH) {
		append_format(&b, "Content-Length: %zu\r\n\r\n", n);
		append(&b, body, n);
	} else if (framing == FRAME_CHUNKED) {
		append_format(&b, "Transfer-Encoding: chunked\r\n\r\n");
		chunks(&b, body, n);
		append_format(&b, "0\r\n\r\n");
	} else {
		append_format(&b, "Connection: close\r\n\r\n");
		append(&b, body, n);
	}
	return b;
}

/* Says the whole of b, or as much as cut says, and forgets it. */
static int64_t say_answer(struct server_conn *conn, char *b, size_t cut, int64_t in_ms)
{
	size_t n = (size_t)arrlen(b);
	int64_t at = write_in_segments(conn, b, cut < n ? cut : n, in_ms);

	arrfree(b);
	if (!conn->answered_at)
		conn->answered_at = net_sim_now() + at;
	return at;
}

/* Bytes that belong to no request begin to arrive. */
static int64_t odd(struct server_conn *conn, int64_t in_ms)
{
	if (!conn->odd_at)
		conn->odd_at = net_sim_now() + in_ms;
	return in_ms;
}

static void cleared(struct server_conn *conn, int64_t in_ms)
{
	struct request *request = &w.requests[conn->request];

	for (ptrdiff_t i = 0; i < arrlen(request->wires); i++)
		if (request->wires[i].conn == net_sim_id(conn->c) &&
		    request->wires[i].cleared_at == INT64_MAX)
			request->wires[i].cleared_at = net_sim_now() + in_ms;
}

/* Turned away with the promise that it did not run. */
static int64_t turn_away(struct server_conn *s, int status, const char *id, const char *extra, int64_t in_ms)
{
	int64_t at =
	    say_answer(s, complete_answer(status, id, -1, "no", 2, FRAME_LENGTH, extra), SIZE_MAX, in_ms);

	cleared(s, at);
	return at;
}

static const char event_stream[] = "Content-Type: text/event-stream\r\n",
		  not_executed[] = "X-Notchlug-Not-Executed: 1\r\n";

static const char nameless[] = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"; /* an answer to nobody */

static void end_or_reset(struct server_conn *conn, int64_t in_ms)
{
	conn->ended = 1;
	if (random_below(2))
		net_sim_end(conn->c, in_ms);
	else
		net_sim_reset(conn->c, in_ms);
	if (random_below(2))
		net_sim_forget(conn->c, (int64_t)random_below(20));
}

/* Whether a stream's body that ends after size bytes shows that it was cut: before its first event, or within
 * one. */
static int shows_cut(const char *body, size_t size)
{
	size_t line_end_bytes = strlen(line_end());

	return size < 2 * line_end_bytes ||
	       memcmp(body + size - line_end_bytes, line_end(), line_end_bytes) != 0 ||
	       memcmp(body + size - 2 * line_end_bytes, line_end(), line_end_bytes) != 0;
}

/* Where an answer without framing is cut: its head, and as much of the body as shows the cut. */
static size_t unframed_cut(const char *body, size_t body_bytes, const char *id, int run, const char *extra)
{
	char *answer = complete_answer(200, id, run, "", 0, FRAME_CLOSE, extra);
	size_t head_bytes = (size_t)arrlen(answer), cut = w.unframed_cut_bytes;

	arrfree(answer);
	if (!w.has_unframed_cut)
		cut = random_below(body_bytes + 1);
	if (cut > body_bytes)
		cut = body_bytes;
	if (!shows_cut(body, cut)) /* between two events nothing shows it */
		cut--;
	return head_bytes + cut;
}

/* The whole request has come. */
static void serve(struct server_conn *s, const char *id, int from_event)
{
	struct request *request = &w.requests[s->request];
	int stream = routes[request->route].streams, run = -1;
	int64_t at = (int64_t)(random_below(5) ? random_below(40) : random_below(600));
	const char *type = stream ? event_stream : "Content-Type: text/plain\r\n", *body;
	char extra[300], other[24];
	size_t n;
	char *b;

	snprintf(other, sizeof other, "%s",
		 s->last_id[0] && strcmp(s->last_id, id) && random_below(2) ? s->last_id : "elsewhere");
	if (s->act != ACT_REJECT && s->act != ACT_WRONG_INCARNATION && s->act != ACT_TOO_MANY) {
		if (s->act == ACT_NOT_A_STREAM)
			stream = 0;
		run = run_new(s->request, from_event,
			      s->act == ACT_FAIL           ? 500
			      : s->act == ACT_BARE_REFUSAL ? 503
							   : 200);
	}
	body = run >= 0 ? w.runs[run].body : "";
	n = run >= 0 ? (size_t)arrlen(w.runs[run].body) : 0;
	snprintf(extra, sizeof extra, "%s", type);
	switch (s->act) {
	case ACT_ANSWER:
		say_answer(s, complete_answer(200, id, run, body, n, FRAME_LENGTH, extra), SIZE_MAX, at);
		break;
	case ACT_CHUNKED:
		say_answer(s, complete_answer(200, id, run, body, n, FRAME_CHUNKED, extra), SIZE_MAX, at);
		break;
	case ACT_CLOSE_DELIMITED:
		at = say_answer(s, complete_answer(200, id, run, body, n, FRAME_CLOSE, extra), SIZE_MAX, at);
		net_sim_end(s->c, at);
		s->ended = 1;
		break;
	case ACT_FAIL: /* which has run, whatever else it says */
		if (random_below(2))
			snprintf(extra, sizeof extra, "%s%s", type, not_executed);
		say_answer(s, complete_answer(500, id, run, body, n, FRAME_LENGTH, extra), SIZE_MAX, at);
		break;
	case ACT_REJECT:
		turn_away(s, 503, id, not_executed, at);
		break;
	case ACT_WRONG_INCARNATION:
		turn_away(s, 421, id, random_below(2) ? not_executed : "", at);
		break;
	case ACT_TOO_MANY:
		turn_away(s, 429, id, not_executed, at);
		break;
	case ACT_BARE_REFUSAL:
		w.runs[run].status = (int[]){ 503, 429, 408 }[random_below(3)];
		say_answer(s, complete_answer(w.runs[run].status, id, run, body, n, FRAME_LENGTH, extra),
			   SIZE_MAX, at);
		break;
	case ACT_CUT_HEAD:
	case ACT_CUT_BODY:
		b = complete_answer(200, id, run, body, n, random_below(2) ? FRAME_LENGTH : FRAME_CHUNKED,
				    extra);
		at = say_answer(s, b,
				s->act == ACT_CUT_HEAD
				    ? random_below(head_length(b, (size_t)arrlen(b)))
				    : head_length(b, (size_t)arrlen(b)) + random_below(n ? n : 1),
				at);
		end_or_reset(s, at + (int64_t)random_below(20));
		break;
	case ACT_SILENT:
		break;
	case ACT_LATE:
		say_answer(s, complete_answer(200, id, run, body, n, FRAME_LENGTH, extra), SIZE_MAX,
			   at + 1500 + (int64_t)random_below(4000));
		break;
	case ACT_SURPLUS: /* its answer, and one more of it behind it or in the slot of the next */
		at = say_answer(s, complete_answer(200, id, run, body, n, FRAME_LENGTH, extra), SIZE_MAX, at);
		say_answer(s, complete_answer(200, id, run, body, n, FRAME_LENGTH, extra), SIZE_MAX,
			   odd(s, at + (int64_t)(random_below(3) ? random_below(300) : 0)));
		break;
	case ACT_SURPLUS_REFUSAL:
		at = say_answer(s, complete_answer(200, id, run, body, n, FRAME_LENGTH, extra), SIZE_MAX, at);
		say_answer(
		    s,
		    complete_answer(random_below(2) ? 503 : 421, id, -1, "no", 2, FRAME_LENGTH, not_executed),
		    SIZE_MAX, odd(s, at + (int64_t)random_below(300)));
		break;
	case ACT_FOREIGN: /* another request's answer in this one's slot, and its own behind it */
		at = say_answer(s,
				complete_answer(200, other, (int)random_below((uint64_t)run + 1), "other", 5,
						random_below(2) ? FRAME_LENGTH : FRAME_CHUNKED, extra),
				SIZE_MAX, odd(s, at));
		if (random_below(2))
			say_answer(s, complete_answer(200, id, run, body, n, FRAME_LENGTH, extra), SIZE_MAX,
				   at + (int64_t)random_below(200));
		break;
	case ACT_FOREIGN_THEN_OWN:
		at = say_answer(s,
				complete_answer(200, other, (int)random_below((uint64_t)run + 1), "other", 5,
						random_below(2) ? FRAME_LENGTH : FRAME_CHUNKED, extra),
				SIZE_MAX, odd(s, at));
		say_answer(s, complete_answer(200, id, run, body, n, FRAME_LENGTH, extra), SIZE_MAX,
			   at + (int64_t)random_below(200));
		break;
	case ACT_FOREIGN_REFUSAL:
		at = say_answer(s,
				complete_answer((int[]){ 503, 421, 429 }[random_below(3)],
						random_below(4) ? other : NULL, -1, "no", 2, FRAME_LENGTH,
						not_executed),
				SIZE_MAX, odd(s, at));
		if (random_below(2))
			say_answer(s, complete_answer(200, id, run, body, n, FRAME_LENGTH, extra), SIZE_MAX,
				   at + (int64_t)random_below(200));
		break;
	case ACT_GARBAGE:
		net_sim_write(s->c,
			      (const char *[]){ "\r\n\r\nxx", "HTTP/9.9 2OO\r\n\r\n",
						"GET / HTTP/1.1\r\n\r\n", "\x16\x03\x01" }[random_below(4)],
			      4, at);
		break;
	case ACT_TOO_SHORT: /* says more than comes */
		b = NULL;
		head(&b, 200, id, run, extra);
		append_format(&b, "Content-Length: %zu\r\n\r\n", n + 1 + random_below(50));
		append(&b, body, n);
		at = say_answer(s, b, SIZE_MAX, at);
		if (random_below(2))
			end_or_reset(s, at);
		break;
	case ACT_TOO_LONG: /* says less than comes: the rest belongs to nobody */
		append_format(&w.runs[run].body, "-");
		n = (size_t)arrlen(w.runs[run].body) - 1;
		b = complete_answer(200, id, run, w.runs[run].body, n, FRAME_LENGTH, extra);
		arrsetlen(w.runs[run].body, n);
		if (random_below(2)) {
			append_format(&b, "%s", random_below(2) ? "surplus" : nameless);
			odd(s, say_answer(s, b, SIZE_MAX, at));
		} else {
			at = odd(s, say_answer(s, b, SIZE_MAX, at) + (int64_t)random_below(300));
			net_sim_write(s->c, nameless, sizeof nameless - 1, at);
		}
		break;
	case ACT_NO_SEAL:
		say_answer(s, complete_answer(200, id, -1, body, n, FRAME_LENGTH, extra), SIZE_MAX, at);
		break;
	case ACT_NO_ID:
		say_answer(s, complete_answer(200, NULL, run, body, n, FRAME_LENGTH, extra), SIZE_MAX, at);
		break;
	case ACT_BAD_CHUNK:
		b = NULL;
		head(&b, 200, id, run, extra);
		append_format(&b, "Transfer-Encoding: chunked\r\n\r\n");
		chunks(&b, body, n);
		if (random_below(2)) {
			append_format(&b, "%s",
				      (const char *[]){ "zz\r\n", "5\nabcde\r\n0\r\n\r\n",
							"0\r\nx\n\r\n" }[random_below(3)]);
		} else { /* a chunk that is longer than it said: its first bytes are good */
			append_format(&b, "3\r\nabcdef\r\n0\r\n\r\n");
			append_format(&w.runs[run].body, "abc");
		}
		say_answer(s, b, SIZE_MAX, at);
		break;
	case ACT_FORGET:
		at = say_answer(s, complete_answer(200, id, run, body, n, FRAME_LENGTH, extra), SIZE_MAX, at);
		net_sim_forget(s->c, random_below(3) ? (int64_t)random_below(40) : -1);
		s->ended = 1;
		break;
	case ACT_SHORT_KEEP:
		s->keep_ms = 1000 * (1 + (int)random_below(3));
		snprintf(extra, sizeof extra, "%sKeep-Alive: timeout=%d\r\n", type, s->keep_ms / 1000);
		at = say_answer(s, complete_answer(200, id, run, body, n, FRAME_LENGTH, extra), SIZE_MAX, at);
		if (random_below(2)) /* and does not wait for so long; else it stays open for longer */
			end_or_reset(s, at + (int64_t)random_below(700));
		break;
	case ACT_CLOSES:
		snprintf(extra, sizeof extra, "%sConnection: close\r\n", type);
		at = say_answer(s, complete_answer(200, id, run, body, n, FRAME_LENGTH, extra), SIZE_MAX, at);
		end_or_reset(s, at + (int64_t)random_below(500));
		break;
	case ACT_INTERIM:
		net_sim_write(s->c, "HTTP/1.1 103 Early Hints\r\nX-Notchlug-Not-Executed: 1\r\n\r\n", 55, 0);
		say_answer(s, complete_answer(200, id, run, body, n, FRAME_CHUNKED, extra), SIZE_MAX, at);
		break;
	case ACT_NOT_A_STREAM: /* on a stream's route: a body of another type, broken off now and then */
		b = complete_answer(200, id, run, body, n, FRAME_LENGTH,
				    "Content-Type: application/json\r\n");
		at = say_answer(s, b, random_below(2) ? SIZE_MAX : (size_t)arrlen(b) - 1, at);
		if (random_below(2))
			end_or_reset(s, at);
		break;
	case ACT_CUT_UNFRAMED:
		/* only a stream shows the cut: any other body without a length ends where its connection does
		 */
		at = say_answer(s, complete_answer(200, id, run, body, n, FRAME_CLOSE, extra),
				stream ? unframed_cut(body, n, id, run, extra) : SIZE_MAX, at);
		net_sim_end(s->c, at);
		s->ended = 1;
		break;
	default:
		break;
	}
	(void)stream;
}

static void watch(struct server_conn *conn)
{
	static const char *const bodies[] = {
		"{\"NodeEpoch\":1,\"NextToken\":1,\"LostCount\":false,\"EventList\":[]}",
		"{\"NodeEpoch\":1,\"NextToken\":1,\"LostCount\":false,\"EventList\":[[1,\"+\",\"s\",\"5c\",800,\"m\"],[2,\"-\",\"s\",\"5c\",0,\"m\"]]}",
		"{\"NodeEpoch\":null,\"NextToken\":-1,\"EventList\":[null,[],[1],[1,null,null,null,null,null],[{},{},{},{},{},{}],[[],[],[],[],[]]]}",
		"{\"EventList\":{}}",
		"{\"NodeEpoch\":1,\"NextToken\":1,\"HeldCount\":[[\"s\",\"5c\",800,\"m\"]]}",
		"{\"NodeEpoch\":1,\"HeldCount\":[null,[],[1],[null,null,null],[{},{},{}]]}",
		"[",
		"null"
	};
	int64_t at = (int64_t)random_below(1000);
	const char *body =
	    bodies[random_below(10) ? random_below(2) : random_below(sizeof bodies / sizeof *bodies)];

	if (random_below(10))
		say_answer(conn,
			   complete_answer(random_below(10) ? 200 : 429, NULL, -1, body, strlen(body),
					   FRAME_LENGTH, ""),
			   SIZE_MAX, at);
	else if (random_below(2))
		end_or_reset(conn, at);
}

/* What servers do that never break off. */
static const enum act calm_acts[] = { ACT_ANSWER,  ACT_ANSWER,          ACT_ANSWER, ACT_CHUNKED,
				      ACT_CHUNKED, ACT_CLOSE_DELIMITED, ACT_REJECT, ACT_TOO_MANY,
				      ACT_LATE,    ACT_SILENT,          ACT_FAIL };

static enum act choose_act(void)
{
	enum act a;

	if (arrlen(w.script)) {
		a = w.script[0];
		arrdel(w.script, 0);
		return a;
	}
	if (w.calm)
		return calm_acts[random_below(sizeof calm_acts / sizeof *calm_acts)];
	a = random_below(3) ? ACT_ANSWER + random_below(2) : (enum act)random_below(ACTS);

	if (w.honest_ids && (a == ACT_SURPLUS || a == ACT_SURPLUS_REFUSAL || a == ACT_FOREIGN ||
			     a == ACT_FOREIGN_REFUSAL || a == ACT_FOREIGN_THEN_OWN))
		a = ACT_ANSWER;
	return a;
}

/* Until when a configuration that was certain when a request was decided on may still send it. */
static int64_t router_fresh_until(void)
{
	return w.ctr.config.watch.confirmed_at_ms + router_max_staleness_ms(&w.ctr) + SEND_GRACE_MS;
}

/* A request's path is on a wire: from here on it may run. */
static void note_wire(struct server_conn *conn, const char *path, size_t n)
{
	struct request *request;
	int no = -1;
	struct wire wire = { net_sim_id(conn->c), INT64_MAX, (int)conn->act };
	const char *target = path;

	for (int i = 0; i < HOSTS; i++) {
		size_t prefix = strlen(hosts[i].target_prefix);

		if (prefix && n > prefix && !strncmp(target, hosts[i].target_prefix, prefix)) {
			path = target + prefix;
			n -= prefix;
		}
	}
	for (int r = 0; r < ROUTES; r++)
		if (n > strlen(routes[r].path) && !strncmp(path, routes[r].path, strlen(routes[r].path)))
			no = atoi(path + strlen(routes[r].path));
	if (no < 0 || no >= arrlen(w.requests) || strlen(w.requests[no].path) != n ||
	    strncmp(w.requests[no].path, path, n)) {
		breach("a server was sent %.*s, which no client asked for", (int)n, path);
		conn->ended = 1;
		return;
	}
	request = &w.requests[no];
	if ((size_t)(path - target) != strlen(hosts[request->host].target_prefix))
		breach("request %d (%s) reached a server with another target", no, request->path);
	conn->request = no;
	conn->noted = 1;
	if (request->promises)
		breach("request %d (%s) was sent after its client was promised that it never will", no,
		       request->path);
	if (!routes[request->route].repeatable && !routes[request->route].resumable)
		for (ptrdiff_t i = 0; i < arrlen(request->wires); i++)
			if (request->wires[i].cleared_at > net_sim_now())
				breach(
				    "request %d (%s) was sent a second time; the first may have run (act %d on connection %llu)",
				    no, request->path, request->wires[i].act,
				    (unsigned long long)request->wires[i].conn);
	if (net_sim_call_began_at() > router_fresh_until())
		breach("request %d (%s) was sent by a configuration that is %lld ms old", no, request->path,
		       (long long)(net_sim_call_began_at() - w.ctr.config.watch.confirmed_at_ms));
	sum.wires++;
	sum.again += arrlen(request->wires) > 0;
	arrput(request->wires, wire);
}

/* What the front end must add, take away and leave alone. */
static void check_fields(const struct server_conn *conn, const struct request *request, size_t head_len)
{
	char v[200], expected[40];
	int found, bearer = request->key >= 0 && request->key < TENANTS;

	snprintf(expected, sizeof expected, "i-%d", conn->instance);
	if (!field(conn->in, head_len, "X-Notchlug-Target-Instance", v, sizeof v) || strcmp(v, expected))
		breach("request %s does not name the server's life that it is meant for", request->path);
	found = field(conn->in, head_len, "X-Notchlug-Tenant-Id", v, sizeof v);
	snprintf(expected, sizeof expected, "t%d", request->key);
	if (found != bearer || (found && strcmp(v, expected)))
		breach("request %s goes on as another tenant's: %s", request->path, found ? v : "nobody's");
	if (field(conn->in, head_len, "X-Api-Key", v, sizeof v))
		breach("request %s shows its key to a server", request->path);
	if (!field(conn->in, head_len, "X-Notchlug-Expected-Version", v, sizeof v) || strcmp(v, "w1"))
		breach("request %s does not name the weights that it is meant for", request->path);
	if (!field(conn->in, head_len, "X-Notchlug-Cache-Salt", v, sizeof v) || !strcmp(v, "mine"))
		breach("request %s does not name the shelf of its kept parts", request->path);
	if (!field(conn->in, head_len, "X-Notchlug-Deadline-Remaining", v, sizeof v) ||
	    atoi(v) > request->deadline_at - net_sim_call_began_at() + DEADLINE_SLACK_MS + w.frozen_ms)
		breach("request %s has %lld ms left and says %s", request->path,
		       (long long)(request->deadline_at - net_sim_call_began_at()), v);
	if (!field(conn->in, head_len, "Host", v, sizeof v) || strcmp(v, hosts[request->host].host))
		breach("request %s has lost its host", request->path);
	for (int i = 1; i < request->more_fields; i++) { /* the first may be named by Connection */
		snprintf(expected, sizeof expected, "X-More-%d", i);
		if (!field(conn->in, head_len, expected, v, sizeof v))
			breach("request %s has lost a field", request->path);
	}
}

static void receive_request(struct server_conn *conn, size_t head_len, size_t body_len)
{
	struct request *request = &w.requests[conn->request];
	char id[64] = "", since[24] = "0";

	field(conn->in, head_len, "X-Notchlug-Attempt-Id", id, sizeof id);
	if (strcmp(id, request->id) || body_len != request->body_len ||
	    memcmp(conn->in + head_len, request->body, body_len))
		breach("request %d (%s) reached a server changed", conn->request, request->path);
	check_fields(conn, request, head_len);
	if (field(conn->in, head_len, "Last-Event-Id", since, sizeof since)) {
		sum.resumed++;
		if (!random_below(4)) /* a server that begins anew all the same */
			strcpy(since, "0");
	}
	sum.acts[conn->act]++;
	sum.surplus += conn->act == ACT_SURPLUS || conn->act == ACT_SURPLUS_REFUSAL;
	sum.foreign +=
	    conn->act == ACT_FOREIGN || conn->act == ACT_FOREIGN_REFUSAL || conn->act == ACT_FOREIGN_THEN_OWN;
	serve(conn, id, atoi(since));
	snprintf(conn->last_id, sizeof conn->last_id, "%s", id);
}

/* A request begins on a connection that was used before: was it fit for one? */
static void check_rested(struct server_conn *conn)
{
	int64_t rested = net_sim_call_began_at() - conn->answered_at;

	if (net_sim_unread(conn->c))
		breach("a request is sent on a connection where something has arrived unread");
	if (conn->odd_at && conn->odd_at <= net_sim_call_began_at())
		breach("a request is sent on a connection that is out of step since %lld ms",
		       (long long)(net_sim_call_began_at() - conn->odd_at));
	if (conn->answered_at && rested > conn->keep_ms - KEEP_MARGIN_MS)
		breach("a request is sent on a connection that has rested for %lld of %d ms",
		       (long long)rested, conn->keep_ms);
	conn->answered_at = 0;
	conn->keep_ms = KEEP_ALIVE_DEFAULT_MS;
}

static void on_accepted(void *ctx, struct sim_conn *conn, const char *d, size_t n)
{
	struct server_conn *s = net_sim_get_tag(conn);
	size_t end;
	char length[24] = "0";

	(void)ctx;
	if (!s) /* a client's connection */
		return;
	if (!arrlen(s->in)) {
		check_rested(s);
		s->act = *d == 'G' ? ACT_ANSWER : choose_act(); /* a watch takes nothing from the script */
		s->early_at = 1 + random_below(400);
		s->noted = 0;
	}
	append(&s->in, d, n);
	if (!s->noted) {
		const char *from = memchr(s->in, ' ', (size_t)arrlen(s->in)), *to;

		if (from && (to = memchr(from + 1, ' ', (size_t)(s->in + arrlen(s->in) - from - 1)))) {
			if (!strncmp(from + 1, "/kv-events", 10) || !strncmp(from + 1, "/kv-list", 8))
				s->noted = 2;
			else
				note_wire(s, from + 1, (size_t)(to - from - 1));
		}
	}
	if (s->ended)
		return;
	if ((s->act == ACT_RESET_EARLY || s->act == ACT_END_EARLY) && (size_t)arrlen(s->in) >= s->early_at &&
	    s->noted != 2) {
		sum.acts[s->act]++;
		if (s->act == ACT_END_EARLY)
			net_sim_end(s->c, (int64_t)random_below(30));
		else
			net_sim_reset(s->c, (int64_t)random_below(30));
		s->ended = 1;
		return;
	}
	end = head_length(s->in, (size_t)arrlen(s->in));
	if (!end)
		return;
	field(s->in, end, "Content-Length", length, sizeof length);
	if ((size_t)arrlen(s->in) < end + (size_t)atoi(length))
		return;
	if ((size_t)arrlen(s->in) > end + (size_t)atoi(length))
		breach("bytes follow a request on a connection before its answer");
	if (s->noted == 2)
		watch(s);
	else
		receive_request(s, end, (size_t)atoi(length));
	arrsetlen(s->in, 0);
}

static enum sim_connect on_connect(void *ctx, struct sim_conn *conn, uint64_t addr, int *delay)
{
	struct server_conn *s;

	(void)ctx;
	*delay = (int)random_below(8);
	if (!arrlen(w.script) && !random_below(25))
		return random_below(2) ? SIM_REFUSE : SIM_IGNORE;
	if (!(s = calloc(1, sizeof *s)))
		abort();
	s->c = conn;
	s->instance = (int)(addr >> 16 & 0xff) - 1;
	net_sim_set_tag(conn, s);
	arrput(w.server_conns, s);
	return SIM_ACCEPT;
}

/* ---- clients ---- */

static int request_new(int reuse)
{
	struct request request;
	int no = (int)arrlen(w.requests);

	memset(&request, 0, sizeof request);
	request.route = (enum route)random_below(ROUTES);
	snprintf(request.path, sizeof request.path, "%s%d", routes[request.route].path, no);
	if (reuse && no > 0 && random_below(3) == 0)
		memcpy(request.id, w.requests[random_below((uint64_t)no)].id, sizeof request.id);
	else
		snprintf(request.id, sizeof request.id, "try-%d", no);
	request.body_len = random_below(4) ? (size_t)snprintf(request.body, sizeof request.body,
							      "body of %d, GET /once/0 HTTP/1.1\r\n\r\n", no)
					   : 0;
	request.host = random_below(3) ? 0 : (int)random_below(HOSTS);
	request.events = 2 + (int)random_below(5);
	request.key = request.route == ROUTE_REPEATABLE ? (int)random_below(TENANTS + 1)
							: (int)random_below(TENANTS + 2) - 1;
	request.more_fields = random_below(30) ? (int)random_below(4) : 90 + (int)random_below(200);
	arrput(w.requests, request);
	sum.requests++;
	return no;
}

static const char *const counts[] = {
	"900,80", "-1,-1", "4294967295,4294967295", "x", "99999999999999999999,1", ",", "0,0"
};
static const char *const prefixes[] = { "5c:400,91:300",
					"5c:4294967295,91:4294967295",
					"5c:-1,91:-2",
					"5c",
					":",
					"5c:x",
					"5c:0,5c:0,5c:0,5c:0",
					"ffffffffffffffffffff:99999999999999999999" };

#define COUNT(a) (sizeof(a) / sizeof *(a))

static void request_bytes(char **to, int no, int old, int pipelined)
{
	struct request *request = &w.requests[no];
	int limit =
	    w.limit_ms
		? w.limit_ms
		: 600 + (int)(pipelined || random_below(6)
				  ? random_below(2400)
				  : random_below(8000)); /* four in a row end while the model still looks */

	append_format(to, "POST %s%s HTTP/1.%d\r\nHost: %s\r\n", hosts[request->host].target_prefix,
		      request->path, !old, hosts[request->host].host);
	for (int i = 0; i < request->more_fields; i++)
		append_format(to, "X-More-%d: %d\r\n", i, no);
	append_format(to, "X-Notchlug-Attempt-Id: %s\r\nX-Notchlug-Deadline-Remaining: %d\r\n", request->id,
		      limit);
	if (request->key >= 0)
		append_format(to, "X-Api-Key: key-%d\r\n", request->key);
	if (!random_below(8)) /* words that are not a client's to say */
		append_format(
		    to,
		    "X-Notchlug-Tenant-Id: t1\r\nX-Notchlug-Cache-Salt: mine\r\nX-Notchlug-Target-Instance: i-9\r\n"
		    "X-Notchlug-Expected-Version: w0\r\n");
	if (random_below(4))
		append_format(to, "X-Notchlug-Token-Count: %s\r\nX-Notchlug-Prompt-Prefix: %s\r\n",
			      counts[random_below(8) ? 0 : random_below(COUNT(counts))],
			      prefixes[random_below(8) ? 0 : random_below(COUNT(prefixes))]);
	if (!random_below(8))
		append_format(to, "Connection: X-Notchlug-Attempt-Id, Host, X-More-0\r\n");
	request->limit_ms = limit;
	request->deadline_at = net_sim_now() + limit;
	if (!old && !random_below(3)) {
		append_format(to, "Transfer-Encoding: chunked\r\n\r\n");
		chunks(to, request->body, request->body_len);
		append_format(to, "0\r\n\r\n");
	} else {
		append_format(to, "Content-Length: %zu\r\n\r\n", request->body_len);
		append(to, request->body, request->body_len);
	}
}

static const char *const smuggled[] = {
	"POST /once/0 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /once/777777 HTTP/1.1\r\n\r\n",
	"POST /once/0 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nContent-Length: 40\r\n\r\nabcdGET /once/777777 HTTP/1.1\r\n\r\n",
	"POST /once/0 HTTP/1.1\r\nHost: h.example\r\nX: a\r\n Content-Length: 4\r\n\r\nabcdGET /once/777777 HTTP/1.1\r\n\r\n",
	"POST /once/0 HTTP/1.1\nHost: h.example\nContent-Length: 4\n\nabcdGET /once/777777 HTTP/1.1\r\n\r\n",
	"POST /once/0 HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\nGET /once/777777 HTTP/1.1\r\n\r\n",
};

static void client_close(struct client *client)
{
	arrfree(client->pending);
	arrfree(client->in);
	client->c = NULL;
}

static void client_dial(struct client *client)
{
	memset(client, 0, sizeof *client);
	client->mode = random_below(2) ? CLIENT_PLAIN : (enum client_mode)random_below(CLIENT_MODES);
	client->old = client->mode != CLIENT_PIPELINES && !random_below(6);
	client->c = net_sim_connect(FRONT_PORT);
	if (!client->c) { /* the listener is closed: a process that stops */
		assert_true(w.edge.drain_started_at_ms);
		client->next_at = INT64_MAX;
		return;
	}
	if (client->mode == CLIENT_SLOW)
		net_sim_window(client->c, 1 + random_below(600));
}

static void client_write(struct client *client)
{
	char *b = NULL;
	int n = client->mode == CLIENT_PIPELINES ? 1 + (int)random_below(4) : 1;
	int64_t at = 0;

	if (client->mode == CLIENT_SMUGGLES) {
		const char *text = smuggled[random_below(sizeof smuggled / sizeof *smuggled)];

		net_sim_write(client->c, text, strlen(text), 0);
		client->half_closed = 1;
		client->next_at = net_sim_now() + 500;
		sum.smuggled++;
		return;
	}
	while (n--) {
		int no = request_new(w.honest_ids);

		request_bytes(&b, no, client->old, client->mode == CLIENT_PIPELINES);
		w.requests[no].ends_at = client->bytes_written + (size_t)arrlen(b);
		if (arrlen(client->pending)) /* its time begins when those before it are answered */
			w.requests[no].deadline_at = INT32_MAX;
		arrput(client->pending, no);
	}
	for (size_t off = 0, len = (size_t)arrlen(b); off < len;) {
		size_t part = random_below(3) ? len - off : 1 + random_below(len - off);

		net_sim_write(client->c, b + off, part, at);
		off += part;
		for (ptrdiff_t i = 0; i < arrlen(client->pending); i++)
			if (w.requests[client->pending[i]].ends_at <= client->bytes_written + off &&
			    !w.requests[client->pending[i]].complete_at)
				w.requests[client->pending[i]].complete_at = net_sim_now() + at;
		at += (int64_t)random_below(10);
	}
	client->bytes_written += (size_t)arrlen(b);
	arrfree(b);
	if (client->mode == CLIENT_LEAVES) {
		if (random_below(2))
			net_sim_reset(client->c, at + (int64_t)random_below(120));
		else
			net_sim_end(client->c, at + (int64_t)random_below(120));
		client->half_closed = 1;
	}
	if (client->mode == CLIENT_HALF_CLOSES) {
		net_sim_end(client->c, at + (int64_t)random_below(200));
		client->half_closed = 1;
	}
}

struct answer {
	int status, sealed, run, complete, closes;
	size_t head, used;
	char *body; /* stb_ds */
};

/* What a client understands of the bytes so far. 0: not an answer in the protocol. */
static int read_answer(const char *d, size_t n, int ended, struct answer *a)
{
	char v[100];
	size_t pos;

	memset(a, 0, sizeof *a);
	a->run = -1;
	a->head = head_length(d, n);
	if (!a->head)
		return n < 9 ? !memcmp(d, "HTTP/1.1 ", n) : !memcmp(d, "HTTP/1.1 ", 9);
	if (memcmp(d, "HTTP/1.1 ", 9))
		return 0;
	a->status = atoi(d + 9);
	a->closes = field(d, a->head, "Connection", v, sizeof v) && !strcasecmp(v, "close");
	if (field(d, a->head, "X-Notchlug-Server-Seal", v, sizeof v)) {
		a->sealed = 1;
		a->run = atoi(v);
	}
	pos = a->head;
	if (field(d, a->head, "Content-Length", v, sizeof v)) {
		size_t expected = (size_t)atoi(v), k = n - pos < expected ? n - pos : expected;

		append(&a->body, d + pos, k);
		a->used = pos + k;
		a->complete = k == expected;
		return 1;
	}
	if (!field(d, a->head, "Transfer-Encoding", v, sizeof v)) { /* up to the end of the connection */
		append(&a->body, d + pos, n - pos);
		a->used = n;
		a->complete = ended;
		return 1;
	}
	for (;;) {
		const char *nl = memchr(d + pos, '\n', n - pos);
		size_t size, line;

		if (!nl)
			return 1;
		line = (size_t)(nl - d) + 1;
		size = strtoul(d + pos, NULL, 16);
		if (size && n - line < size + 2) {
			append(&a->body, d + line, n - line < size ? n - line : size);
			return 1;
		}
		if (!size) {
			a->complete = n - line >= 2;
			a->used = line + 2;
			return 1;
		}
		append(&a->body, d + line, size);
		pos = line + size + 2;
	}
}

/* Makes each line end, CR LF or CR, an LF. */
static void unify_line_ends(char *text)
{
	char *to = text;

	for (; *text; text++)
		if (*text != '\r')
			*to++ = *text;
		else if (text[1] != '\n')
			*to++ = '\n';
	*to = 0;
}

/* A stream's events must rise one by one, each of a run of this very request. */
static void check_events(int no, const struct answer *a)
{
	const struct request *q = &w.requests[no];
	int expected = 1, first_run = -1;
	size_t n = (size_t)arrlen(a->body);
	char *text = malloc(n + 1), *p = text;

	memcpy(text, a->body ? a->body : "", n);
	text[n] = 0;
	unify_line_ends(text);
	while (p && *p) {
		char *end = strstr(p, "\n\n"), *data;
		int id, request, event, run;

		if (!end)
			break;
		*end = 0;
		p = strstr(p, "id: ");
		data = p ? strstr(p, "data: ") : NULL;
		if (!data || sscanf(p, "id: %d", &id) != 1 ||
		    sscanf(data, "data: request %d event %d run %d", &request, &event, &run) != 3) {
			breach("request %d (%s): an event that is none", no, q->path);
			break;
		}
		if (request != no || w.runs[run].request != no)
			breach("request %d (%s) received an event of request %d", no, q->path, request);
		if (id != expected || event != id)
			breach("request %d (%s) received event %d where %d was due", no, q->path, id,
			       expected);
		if (first_run >= 0 && run != first_run && !routes[q->route].resumable)
			breach("request %d (%s): events of two runs", no, q->path);
		first_run = run;
		expected++;
		p = end + 2;
	}
	if (a->complete && expected != q->events + 1)
		breach("request %d (%s): a stream of %d events looks complete after %d", no, q->path,
		       q->events, expected - 1);
	free(text);
}

static int is_promise(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

static void check_answer(int no, const struct answer *a)
{
	struct request *request = &w.requests[no];
	const struct run *r;
	size_t n = (size_t)arrlen(a->body);

	if (!a->head)
		return;
	if (!a->sealed) {
		if (a->status < 300)
			breach("request %d (%s) received a success without a seal", no, request->path);
		if (a->status < 500 && !is_promise(a->status) &&
		    !(a->status == 401 && request->route == ROUTE_REPEATABLE && request->key == TENANTS))
			breach("request %d (%s) is proper and was answered %d", no, request->path, a->status);
		if (is_promise(a->status)) {
			request->promises = 1;
			for (ptrdiff_t i = 0; i < arrlen(request->wires); i++)
				if (request->wires[i].cleared_at > net_sim_now())
					breach("request %d (%s) was answered %d, and it may have run", no,
					       request->path, a->status);
		}
		return;
	}
	if (a->run < 0 || a->run >= arrlen(w.runs) || w.runs[a->run].request != no) {
		breach("request %d (%s) received the answer of request %d", no, request->path,
		       a->run < 0 || a->run >= arrlen(w.runs) ? -1 : w.runs[a->run].request);
		return;
	}
	r = &w.runs[a->run];
	if (r->status != a->status)
		breach("request %d (%s): status %d became %d", no, request->path, r->status, a->status);
	if (is_promise(a->status))
		breach("request %d (%s) ran and was answered %d", no, request->path, a->status);
	if (routes[request->route].streams && a->status == 200 && n > 2 && strncmp(a->body, "request", 7)) {
		check_events(no, a);
		return;
	}
	if (n > (size_t)arrlen(r->body) || memcmp(a->body ? a->body : "", r->body ? r->body : "", n))
		breach(
		    "request %d (%s): a body that its run %d did not say: %zu of %zu bytes, ends with %.12s",
		    no, request->path, a->run, n, (size_t)arrlen(r->body), a->body + n - 12);
	else if (a->complete && n != (size_t)arrlen(r->body))
		breach("request %d (%s): %zu bytes of %zu look complete", no, request->path, n,
		       (size_t)arrlen(r->body));
}

static void count_answer(const struct answer *a, struct request *request)
{
	request->answers = 1;
	if (!a->complete)
		sum.cut++;
	else if (a->status < 300)
		sum.whole++;
	else if (is_promise(a->status))
		sum.refused++;
	else
		sum.failed++;
}

/* Rule LOST: read whole, and its connection ends without a whole answer before the client's deadline. What
 * was pipelined behind an answer that had to be broken off ends with it: by RFC 9112, 9.3.2, its client has
 * to ask again. An answer that has begun has to be when its deadline comes, and when the time to stop in is
 * over. */
static void check_lost(const struct client *client)
{
	for (ptrdiff_t i = 0;
	     w.calm && !client->half_closed && client->mode != CLIENT_SLOW && i < arrlen(client->pending);
	     i++) {
		const struct request *request = &w.requests[client->pending[i]];

		int64_t age = net_sim_now() - request->complete_at;

		if (net_sim_bytes_read(client->c) < request->ends_at)
			continue;
		if (age >= request->limit_ms || (arrlen(client->in) && w.edge.drain_started_at_ms &&
						 net_sim_now() >= w.proc.stop_deadline_ms - STOP_LAST_MS))
			break;
		if (arrlen(request->wires) || age > LOSS_SLACK_MS)
			breach(
			    "request %d (%s) was read whole and got no answer: sent to %d, %lld of %d ms old",
			    client->pending[i], request->path, (int)arrlen(request->wires), (long long)age,
			    request->limit_ms);
	}
}

/* Returns 0 when the connection is of no more use. */
static int client_read(struct client *client)
{
	char d[4096];
	size_t n;
	enum sim_close_state state = net_sim_close_state(client->c);

	while ((
	    n = net_sim_read(client->c, d, client->mode == CLIENT_SLOW ? 1 + random_below(200) : sizeof d))) {
		append(&client->in, d, n);
		if (client->mode == CLIENT_SLOW)
			break;
	}
	if (client->mode == CLIENT_SMUGGLES)
		return state == SIM_OPEN;
	for (;;) {
		struct answer a = { 0 };
		int ended = state == SIM_CLOSED || state == SIM_HALF_CLOSED, over;

		if (n && client->mode == CLIENT_SLOW)
			ended = 0; /* it has not read all yet */
		if (!arrlen(client->pending)) {
			if (arrlen(client->in))
				breach("bytes on a connection where no request waits: %.40s", client->in);
			break;
		}
		if (arrlen(client->in)) {
			if (!read_answer(client->in, (size_t)arrlen(client->in), ended && state != SIM_RESET,
					 &a))
				breach("request %d: bytes that are no answer: %.30s", client->pending[0],
				       client->in);
			check_answer(client->pending[0], &a);
		}
		if (!a.complete) {
			arrfree(a.body);
			break;
		}
		count_answer(&a, &w.requests[client->pending[0]]);
		arrdel(client->pending, 0);
		arrdeln(client->in, 0, a.used);
		over = a.closes;
		arrfree(a.body);
		if (over) {
			if (arrlen(client->in))
				breach("bytes behind an answer that closes its connection");
			return 0;
		}
	}
	if (state != SIM_OPEN && !(n && client->mode == CLIENT_SLOW)) {
		sum.cut += (uint64_t)arrlen(client->pending);
		check_lost(client);
		return 0;
	}
	return 1;
}

static void client_turn(struct client *client, int ask)
{
	int64_t now = net_sim_now();

	if (!client->c) {
		if (!ask || now < client->next_at)
			return;
		client_dial(client);
		if (!client->c)
			return;
	}
	if (!client_read(client) ||
	    (client->half_closed && now >= client->next_at && client->mode == CLIENT_SMUGGLES)) {
		if (!client->half_closed)
			net_sim_end(client->c, 0);
		client_close(client);
		client->next_at = now + (int64_t)random_below(60);
		return;
	}
	if (arrlen(client->pending) || client->half_closed || now < client->next_at || !ask)
		return;
	if (!random_below(12)) { /* rests */
		client->next_at = now + (int64_t)random_below(1500);
		return;
	}
	client_write(client);
}

/* ---- the daemon round them ---- */

/* Thousands of stops say thousands of lines; only what is wrong is shown. */
void __wrap_log_write(enum log_level level, const char *prefix, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void __wrap_log_write(enum log_level level, const char *prefix, const char *fmt, ...)
{
	va_list ap;

	if (level > LOG_WARN)
		return;
	va_start(ap, fmt);
	fprintf(stderr, "%s: ", prefix);
	vfprintf(stderr, fmt, ap);
	fprintf(stderr, "\n");
	va_end(ap);
}

int64_t __real_clock_ms(void);
void __wrap_process_perform(struct process *proc);
void __wrap_process_perform(struct process *proc)
{
	for (ptrdiff_t i = 0; i < arrlen(proc->commands.commands); i++) {
		const struct command *command = &proc->commands.commands[i];

		if (platform_edge.perform(&w.edge, command))
			continue;
		if (command->kind == CMD_SEND &&
		    command->args.send.msg->body_case == NL__MSG__BODY_CONFIG_SYNC)
			arrput(w.config_watch_tokens, command->args.send.msg->config_sync->token);
	}
	command_list_clear(&proc->commands);
}

static void core_step(const struct router_event *event)
{
	router_step(&w.ctr, event, net_sim_now(), &w.proc.commands);
	__wrap_process_perform(&w.proc);
}

static struct Nl__Row *row(apr_pool_t *pool, Nl__Kind kind, const char *name)
{
	struct Nl__Row *r = apr_palloc(pool, sizeof *r);

	nl__row__init(r);
	r->kind = kind;
	r->name = apr_pstrdup(pool, name);
	return r;
}

static struct Nl__Row *listener_row(apr_pool_t *pool)
{
	struct Nl__Row *listener = row(pool, NL__KIND__LISTENER, "door");

	listener->max_head_bytes = w.limits[LIMIT_HEAD_BYTES];
	listener->max_body_bytes = w.limits[LIMIT_BODY_BYTES];
	listener->head_timeout_ms = w.limits[LIMIT_HEAD_MS];
	listener->idle_timeout_ms = w.limits[LIMIT_IDLE_MS];
	return listener;
}

static struct Nl__Instance *instance(apr_pool_t *pool, int i)
{
	struct Nl__Instance *listed = apr_palloc(pool, sizeof *listed);

	nl__instance__init(listed);
	listed->server = apr_psprintf(pool, "i-%d", i);
	listed->service = "pool";
	listed->addr = apr_psprintf(pool, "127.1.0.%d:80", i + 1);
	listed->zone = "z1";
	listed->slots = 8;
	listed->weights = "w1";
	listed->stamp = 1;
	return listed;
}

/* The leader's word, whole the first time. */
static void leader_answers(uint64_t token)
{
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__ConfigSyncReply reply = NL__CONFIG_SYNC_REPLY__INIT;
	struct Nl__Row *rows[2 + ROUTES + 2 * TENANTS];
	struct Nl__Instance *instances[SERVERS];
	struct router_event event;
	apr_pool_t *pool;

	apr_pool_create(&pool, w.proc.pool);
	reply.token = token;
	reply.has_lease = 1;
	reply.fleet_id = 7;
	reply.router_count = 1;
	reply.revision = reply.since_revision = reply.instances_stamp = 1;
	if (!w.ctr.config.route_table) {
		reply.full = reply.instances_full = 1;
		rows[0] = row(pool, NL__KIND__SERVICE, "pool");
		rows[0]->target_weights = "w1";
		rows[0]->prefill_tokens_per_ms = 20;
		for (int i = 0; i < ROUTES; i++) {
			struct Nl__Row *l = rows[1 + i] = row(pool, NL__KIND__ROUTE, routes[i].path);

			l->service = "pool";
			l->host = i % 2 ? "h.example" : "H.Example:443";
			l->path = (char *)(uintptr_t)routes[i].path;
			l->limit = 20;
			l->key_optional = i != ROUTE_REPEATABLE;
			l->max_attempts = 3;
			l->idempotent = routes[i].repeatable;
			l->resumable = routes[i].resumable;
			l->max_gap_ms = routes[i].streams ? 250 : 0;
		}
		for (int i = 0; i < SERVERS; i++)
			instances[i] = instance(pool, i);
		reply.set = rows;
		for (int i = 0; i < TENANTS; i++) {
			char hex[65];
			struct Nl__Row **config_row = &rows[1 + ROUTES + 2 * i];

			config_row[0] = row(pool, NL__KIND__TENANT, apr_psprintf(pool, "t%d", i));
			config_row[0]->share = 1;
			config_row[1] =
			    row(pool, NL__KIND__KEY, access_key_digest(apr_psprintf(pool, "key-%d", i), hex));
			config_row[1]->tenant = config_row[0]->name;
		}
		reply.n_set = 1 + ROUTES + 2 * TENANTS;
		rows[reply.n_set++] = listener_row(pool);
		reply.instances = instances;
		reply.n_instances = SERVERS;
	}
	message.protocol_version = CORE_PROTOCOL_VERSION;
	message.body_case = NL__MSG__BODY_CONFIG_SYNC_REPLY;
	message.config_sync_reply = &reply;
	message.addr = message.id = LEADER_ADDR;
	memset(&event, 0, sizeof event);
	event.kind = ROUTER_EVENT_MESSAGE;
	event.args.message = &message;
	core_step(&event);
	apr_pool_destroy(pool);
}

static void leader_turn(void)
{
	uint64_t *tokens = w.config_watch_tokens;

	if (!arrlen(tokens))
		return;
	w.config_watch_tokens = NULL;
	for (ptrdiff_t i = 0; net_sim_now() >= w.owner_silent_until && i < arrlen(tokens); i++)
		leader_answers(tokens[i]);
	arrfree(tokens);
}

static void world_open(uint64_t seed)
{
	struct net_sim_hooks hooks = { NULL, on_connect, on_accepted };
	uint64_t leader = LEADER_ADDR;

	memset(&w, 0, sizeof w);
	w.seed = seed;
	w.rng = seed * 0x2545f4914f6cdd1dull + 77;
	w.honest_ids = seed % 8 == 0;
	net_sim_open(seed, &hooks);
	w.started = net_sim_now();
	apr_pool_create(&w.proc.pool, NULL);
	apr_pool_create(&w.proc.commands.pool, w.proc.pool);
	router_open(&w.ctr, 5, 1005, "z1", &leader, 1, net_sim_now());
	w.ctr.config.bounds.use_endpoint_list = 1;
	w.ctr.config.bounds.retry_budget_permille = 1000;
	w.ctr.config.bounds.retry_budget_slack = 60;
	w.platform.front_addr = "127.0.0.1:8080";
	w.platform.readiness_addr = "127.0.0.1:8081";
	w.platform.memory_mb = 260;
	w.proc.settings.front_end_settings = &w.platform;
	w.edge.router = &w.ctr;
	assert_true(platform_edge.open(&w.edge, &w.proc));
}

static void world_close(void)
{
	for (int i = 0; i < CLIENTS; i++)
		client_close(&w.clients[i]);
	if (!w.closed)
		platform_edge.close(&w.edge);
	router_close(&w.ctr);
	arrfree(w.proc.commands.commands);
	apr_pool_destroy(w.proc.pool);
	net_sim_close();
	for (ptrdiff_t i = 0; i < arrlen(w.server_conns); i++) {
		arrfree(w.server_conns[i]->in);
		free(w.server_conns[i]);
	}
	arrfree(w.server_conns);
	for (ptrdiff_t i = 0; i < arrlen(w.runs); i++)
		arrfree(w.runs[i].body);
	arrfree(w.runs);
	for (ptrdiff_t i = 0; i < arrlen(w.requests); i++)
		arrfree(w.requests[i].wires);
	arrfree(w.requests);
	arrfree(w.config_watch_tokens);
	arrfree(w.script);
}

static void play(int64_t ms, int ask)
{
	int64_t end = net_sim_now() + ms, tick = 0;

	while (net_sim_now() < end && !w.bad[0]) {
		struct router_event event = { .kind = ROUTER_EVENT_TICK };

		net_sim_advance((int64_t)random_below(5));
		if (ask && !w.calm && !random_below(600)) {
			int64_t frozen = (int64_t)(random_below(4) ? random_below(3500) : random_below(9000));

			net_sim_freeze(frozen, (int)random_below(2));
			w.frozen_ms += frozen;
			sum.frozen++;
		}
		if (ask && !w.calm && !random_below(1500))
			w.owner_silent_until = net_sim_now() + (int64_t)random_below(6000);
		for (int i = 0; i < CLIENTS; i++)
			client_turn(&w.clients[i], ask && w.ctr.config.route_table);
		platform_edge.serve_sockets(&w.edge, 0);
		if (net_sim_now() - tick >= TICK_MS) {
			tick = net_sim_now();
			core_step(&event);
		}
		leader_turn();
	}
}

/* ---- a planned stop ---- */

static void stop_begins(int64_t grace_ms)
{
	w.proc.is_stopping = 1;
	w.proc.stop_deadline_ms = net_sim_now() + grace_ms;
	platform_edge.begin_stop(&w.edge, net_sim_now());
}

/* The process stops as proc_run does it. Returns how long that took. */
static int64_t stop_ends(int ask)
{
	int64_t from = net_sim_now(), end;

	while (!w.bad[0] && net_sim_now() < w.proc.stop_deadline_ms &&
	       !platform_edge.is_idle(&w.edge, net_sim_now()))
		play(1, ask);
	for (end = net_sim_now() + DISCONNECTED_MS; net_sim_now() < end; net_sim_advance(5))
		platform_edge.serve_sockets(&w.edge, 0);
	platform_edge.close(&w.edge);
	w.closed = 1;
	for (int i = 0; i < CLIENTS; i++)
		if (w.clients[i].c && !client_read(&w.clients[i]))
			client_close(&w.clients[i]);
	return net_sim_now() - from;
}

static uint64_t seed_count(uint64_t n)
{
	const char *e = getenv("NL_SEEDS");

	return e ? strtoull(e, NULL, 10) : n;
}

static uint64_t first_seed(void)
{
	const char *e = getenv("NL_SEED");

	return e ? strtoull(e, NULL, 10) : 1;
}

/* Once nothing is under way, nothing is counted as under way at any server. */
static void check_books(void)
{
	if (arrlen(w.ctr.requests.all))
		return;
	for (ptrdiff_t i = 0; i < arrlen(w.ctr.servers.states); i++) {
		const struct router_server_state *server = &w.ctr.servers.states[i];

		if (server->own_running_count || server->own_prefill_tokens || server->own_resident_tokens)
			breach("server %d: %d requests, %u tokens ahead, %llu tokens are left over", (int)i,
			       server->own_running_count, server->own_prefill_tokens,
			       (unsigned long long)server->own_resident_tokens);
	}
	for (ptrdiff_t i = 0; i < arrlen(w.ctr.queueing.queues); i++)
		if (w.ctr.queueing.queues[i].waiting_count || w.ctr.queueing.queues[i].slots_held)
			breach("a line of nobody has %u waiting and %u running",
			       w.ctr.queueing.queues[i].waiting_count, w.ctr.queueing.queues[i].slots_held);
}

static void no_answer_goes_astray(void **state)
{
	uint64_t first = first_seed(), n = seed_count(SEED_RUNS);

	(void)state;
	memset(&sum, 0, sizeof sum);
	for (uint64_t seed = first; seed < first + n; seed++) {
		world_open(seed);
		play(LOAD_MS, 1);
		w.owner_silent_until = 0;
		play(DRAIN_MS, 0);
		for (int i = 0; i < CLIENTS; i++)
			if (w.clients[i].c && arrlen(w.clients[i].pending) && !w.clients[i].half_closed &&
			    w.clients[i].mode != CLIENT_SLOW)
				breach("request %d (%s) was never answered", w.clients[i].pending[0],
				       w.requests[w.clients[i].pending[0]].path);
		check_books();
		if (w.bad[0])
			fail_msg("NL_SEED=%llu at %lld ms: %s", (unsigned long long)seed,
				 (long long)(net_sim_now() - w.started), w.bad);
		world_close();
	}
	print_message(
	    "%llu seeds: %llu requests, %llu whole, %llu refused, %llu failed, %llu cut; %llu wires (%llu again, %llu resumed), %llu runs; "
	    "%llu surplus, %llu foreign, %llu freezes, %llu smuggled\n",
	    (unsigned long long)n, (unsigned long long)sum.requests, (unsigned long long)sum.whole,
	    (unsigned long long)sum.refused, (unsigned long long)sum.failed, (unsigned long long)sum.cut,
	    (unsigned long long)sum.wires, (unsigned long long)sum.again, (unsigned long long)sum.resumed,
	    (unsigned long long)sum.runs, (unsigned long long)sum.surplus, (unsigned long long)sum.foreign,
	    (unsigned long long)sum.frozen, (unsigned long long)sum.smuggled);
	if (n < 20)
		return;
	for (int i = 0; i < ACTS; i++)
		if (!sum.acts[i])
			fail_msg("act %d was never played", i);
	assert_true(sum.whole > sum.requests / 4 && sum.again && sum.resumed && sum.refused && sum.failed &&
		    sum.cut);
}

/* ---- one request at a time, servers by script ---- */

/* A world whose door is open and that nobody has asked anything. */
static void quiet_world(uint64_t seed)
{
	world_open(seed);
	w.honest_ids = 0;
	play(500, 0);
	assert_non_null(w.ctr.config.route_table);
}

static void quiet_end(uint64_t seed)
{
	if (w.bad[0])
		fail_msg("seed %llu: %s", (unsigned long long)seed, w.bad);
	world_close();
}

/* The first client sends a request, and the servers that it meets do as the script says. */
static void send_scripted(int no, const enum act *acts, int n, int64_t ms)
{
	struct client *client = &w.clients[0];
	char *b = NULL;

	for (int i = 0; i < n; i++)
		arrput(w.script, acts[i]);
	if (!client->c)
		assert_non_null(client->c = net_sim_connect(FRONT_PORT));
	request_bytes(&b, no, client->old, 0);
	net_sim_write(client->c, b, (size_t)arrlen(b), 0);
	arrfree(b);
	arrput(client->pending, no);
	play(ms, 0);
}

static int scripted_request(enum route route)
{
	int no = request_new(0);

	w.requests[no].route = route;
	w.requests[no].key = 0;
	snprintf(w.requests[no].path, sizeof w.requests[no].path, "%s%d", routes[route].path, no);
	return no;
}

/* One client asks on a route, and the servers that it meets do as the script says. Returns its request's
 * number. */
static int ask_scripted(enum route route, const enum act *acts, int n, int64_t ms)
{
	int no = scripted_request(route);

	send_scripted(no, acts, n, ms);
	return no;
}

/* A request with a body of 1,500 bytes and 100 fields of its own. */
static int large_request(enum route route)
{
	int no = scripted_request(route);
	struct request *request = &w.requests[no];

	memset(request->body, 'a', sizeof request->body);
	request->body_len = 1500;
	request->more_fields = 100;
	return no;
}

/* Guards against a large limit of the configuration that wraps and acts as a small one: a request of some
 * three thousand bytes, on a connection that has rested for a while, is served under limits of any size. */
static void large_limits_of_a_configuration_stay_large(void **state)
{
	static const uint32_t limits[] = { 0,
					   4096,
					   INT32_MAX - 2000,
					   INT32_MAX - 1999,
					   INT32_MAX,
					   1u << 31,
					   UINT32_MAX - 2000,
					   UINT32_MAX - 1024,
					   UINT32_MAX - 1023,
					   UINT32_MAX - 1,
					   UINT32_MAX };
	static const enum act acts[] = { ACT_ANSWER };

	(void)state;
	for (int limit = 0; limit < LISTENER_LIMITS; limit++)
		for (size_t i = 0; i < sizeof limits / sizeof *limits; i++) {
			memset(&sum, 0, sizeof sum);
			world_open(i);
			w.limits[limit] = limits[i];
			play(500, 0);
			w.clients[0].c = net_sim_connect(FRONT_PORT);
			play(300, 0);
			if (!w.clients[0].c)
				fail_msg("limit %d of %u: an idle connection is closed", limit, limits[i]);
			send_scripted(large_request(ROUTE_ONCE), acts, 1, DRAIN_MS);
			if (sum.whole != 1)
				fail_msg("limit %d of %u: no answer", limit, limits[i]);
			quiet_end(i);
		}
}

/* Guards against a router that ends for want of memory when a client announces a body that the configuration
 * allows and no process can hold. */
static void a_body_beyond_the_memory_is_refused(void **state)
{
	static const char *const announced[] = {
		"Content-Length: 999999999999999\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\nffffffffffffff\r\n",
	};

	(void)state;
	for (size_t i = 0; i < sizeof announced / sizeof *announced; i++) {
		struct answer a = { 0 };
		struct sim_conn *conn;
		char *b = NULL, answer[8192];
		size_t n;

		world_open(i);
		w.limits[LIMIT_BODY_BYTES] = UINT32_MAX;
		play(500, 0);
		append_format(&b,
			      "POST /once/0 HTTP/1.1\r\nHost: h.example\r\nX-Notchlug-Attempt-Id: a\r\n%s",
			      announced[i]);
		assert_non_null(conn = net_sim_connect(FRONT_PORT));
		net_sim_write(conn, b, (size_t)arrlen(b), 0);
		arrfree(b);
		play(100, 0);
		n = net_sim_read(conn, answer, sizeof answer);
		assert_true(n && read_answer(answer, n, 1, &a) && a.complete);
		assert_int_equal(a.status, 503);
		arrfree(a.body);
		net_sim_end(conn, 0);
		quiet_end(i);
	}
}

/* An earlier answer that says "not executed" may stand in the slot of a request that runs: it goes to no
 * second server. */
static void a_refusal_of_another_request_is_no_promise(void **state)
{
	static const enum act acts[] = { ACT_FOREIGN_REFUSAL };

	(void)state;
	for (uint64_t seed = 1; seed <= 40; seed++)
		for (int route = 0; route < ROUTES; route++) {
			int no;

			if (routes[route].repeatable || routes[route].resumable)
				continue;
			quiet_world(seed);
			no = ask_scripted((enum route)route, acts, 1, DRAIN_MS);
			assert_int_equal(arrlen(w.requests[no].wires), 1);
			assert_int_equal(w.requests[no].promises, 0);
			quiet_end(seed);
		}
}

/* Where a server says an earlier request's answer late, a request's own answer behind it still reaches its
 * client, whole, and the request goes to no second server. */
static void an_answer_to_another_request_is_passed_over(void **state)
{
	static const enum act acts[] = { ACT_FOREIGN_THEN_OWN };

	(void)state;
	for (uint64_t seed = 1; seed <= 40; seed++)
		for (int route = 0; route < ROUTES; route++) {
			int no;

			quiet_world(seed);
			no = ask_scripted((enum route)route, acts, 1, DRAIN_MS);
			assert_int_equal(arrlen(w.requests[no].wires), 1);
			assert_int_equal(w.requests[no].answers, 1);
			quiet_end(seed);
		}
}

/* What was turned away in its own name goes to another server, and is answered. */
static void a_refusal_of_this_request_is_a_promise(void **state)
{
	static const enum act acts[] = { ACT_REJECT, ACT_ANSWER };

	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		int no;

		quiet_world(seed);
		no = ask_scripted(ROUTE_ONCE, acts, 2, DRAIN_MS);
		assert_int_equal(arrlen(w.requests[no].wires), 2);
		assert_int_equal(w.requests[no].runs, 1);
		assert_int_equal(w.requests[no].answers, 1);
		quiet_end(seed);
	}
}

/* Part of a body that has no events has gone to the client: nothing can go on behind it. Nor can a body
 * behind events. */
static void only_event_streams_are_resumed(void **state)
{
	static const enum act acts[][2] = { { ACT_NOT_A_STREAM, ACT_ANSWER },
					    { ACT_CUT_BODY, ACT_NOT_A_STREAM } };

	(void)state;
	for (uint64_t seed = 1; seed <= 60; seed++)
		for (int i = 0; i < 2; i++) {
			quiet_world(seed);
			ask_scripted(ROUTE_RESUMABLE, acts[i], 2, DRAIN_MS);
			quiet_end(seed);
		}
}

/* Guards against half an event at the end of a complete answer: the server of a stream without a length ends
 * its connection in order at each byte of the stream. Where the route allows it another server takes the
 * stream up and it ends whole; otherwise the client sees that it was cut. */
static void an_event_cut_in_an_unframed_stream_shows_the_cut(void **state)
{
	static const enum act acts[] = { ACT_CUT_UNFRAMED, ACT_ANSWER };
	static const char *const line_ends[] = { "\n", "\r\n", "\r" };

	(void)state;
	for (int cut = 0; cut <= 130; cut++)
		for (int old = 0; old < 2; old++)
			for (int route = ROUTE_RESUMABLE; route <= ROUTE_STREAM; route++) {
				memset(&sum, 0, sizeof sum);
				quiet_world((uint64_t)cut);
				w.line_end = line_ends[cut % 3];
				w.limit_ms = 8000;
				w.has_unframed_cut = 1;
				w.unframed_cut_bytes = (size_t)cut;
				w.clients[0].old = old;
				ask_scripted((enum route)route, acts, 2, DRAIN_MS);
				if (sum.whole != (route == ROUTE_RESUMABLE))
					fail_msg(
					    "cut after %d bytes, route %d, HTTP/1.%d: %d complete answers",
					    cut, route, !old, (int)sum.whole);
				quiet_end((uint64_t)cut);
			}
}

/* The process freezes between its look at a kept connection and the request that would go out on it, for
 * longer than its server keeps it. */
static void a_connection_ages_in_a_freeze(void **state)
{
	static const enum act acts[] = { ACT_SHORT_KEEP };

	(void)state;
	for (uint64_t seed = 1; seed <= 200; seed++) {
		quiet_world(seed);
		ask_scripted(ROUTE_ONCE, acts, 1, 300);
		if (!arrlen(w.clients[0].pending)) {
			net_sim_freeze(1200, 1);
			w.frozen_ms = 1200;
			ask_scripted(ROUTE_ONCE, acts, 1, 2000);
		}
		quiet_end(seed);
	}
}

/* The readiness door follows the configuration: ready while it is certain to be in force, not while its
 * leader is silent. */
static int readiness(void)
{
	static const char ask[] = "GET /readiness HTTP/1.1\r\n\r\n";
	struct sim_conn *conn = net_sim_connect(READINESS_PORT);
	char answer[200] = "";

	assert_non_null(conn);
	net_sim_write(conn, ask, sizeof ask - 1, 0);
	play(40, 0);
	net_sim_read(conn, answer, sizeof answer - 1);
	net_sim_end(conn, 0);
	return atoi(answer + strlen("HTTP/1.1 "));
}

static void readiness_follows_the_configuration(void **state)
{
	(void)state;
	quiet_world(1);
	assert_int_equal(readiness(), 200);
	w.owner_silent_until = net_sim_now() + 20000;
	play(router_max_staleness_ms(&w.ctr) + 200, 0);
	assert_int_equal(readiness(), 503);
	w.owner_silent_until = 0;
	play(1000, 0);
	assert_int_equal(readiness(), 200);
	stop_begins(GRACE_MS);
	assert_int_equal(readiness(), 503);
	quiet_end(1);
}

/* Without a configuration that is certain to be in force all is refused with a promise, known routes and
 * unknown ones: never with a 4xx that a newer configuration might not give. */
static void a_stale_front_end_promises_and_denies_nothing(void **state)
{
	struct sim_conn *conn;
	char answer[400] = "";
	static const char unknown[] =
	    "POST /nowhere/ HTTP/1.1\r\nHost: h.example\r\nX-Notchlug-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n";
	int no;

	(void)state;
	quiet_world(1);
	w.owner_silent_until = net_sim_now() + 60000;
	play(router_max_staleness_ms(&w.ctr) + 200, 0);
	no = ask_scripted(ROUTE_ONCE, NULL, 0, DRAIN_MS);
	assert_int_equal(arrlen(w.requests[no].wires), 0);
	assert_int_equal(w.requests[no].answers, 1);
	assert_int_equal(w.requests[no].promises, 1);
	assert_non_null(conn = net_sim_connect(FRONT_PORT));
	net_sim_write(conn, unknown, sizeof unknown - 1, 0);
	play(50, 0);
	net_sim_read(conn, answer, sizeof answer - 1);
	assert_int_equal(atoi(answer + strlen("HTTP/1.1 ")), 503);
	assert_non_null(strstr(answer, "Retry-After: "));
	quiet_end(1);
}

/* ---- planned work ---- */

static void random_limits(void)
{
	struct http_limits limits = { 16384 + random_below(16384), 65536 + random_below(65536),
				      100 + (int)random_below(3000), 100 + (int)random_below(5000) };

	http_listener_set_limits(w.edge.http, 1, &limits);
}

/* Settings are read anew, as notchlug_router.c takes them over. */
static void settings_change(void)
{
	uint64_t seeds[2] = { LEADER_ADDR, LEADER_ADDR + random_below(2) };

	config_watch_set_seeds(&w.ctr.config.watch, seeds, 1 + (int)random_below(2));
	w.ctr.config.bounds.retry_budget_permille = 500 + (int)random_below(1000);
}

static void play_planned(int64_t ms)
{
	int64_t end = net_sim_now() + ms;

	while (net_sim_now() < end && !w.bad[0]) {
		play(1 + (int64_t)random_below(200), 1);
		if (!random_below(3))
			random_limits();
		if (!random_below(8))
			settings_change();
	}
}

static uint64_t without_outcome(const struct http_counters *http_counts)
{
	uint64_t remaining = http_counts->received_requests;

	for (int i = 0; i < HTTP_OUTCOME_COUNT; i++)
		remaining -= http_counts->outcomes[i];
	return remaining;
}

/* Who may not have taken the whole of an answer when the process ended. */
static uint64_t slow_clients(void)
{
	uint64_t n = 0;

	for (int i = 0; i < CLIENTS; i++)
		n += w.clients[i].c && w.clients[i].mode == CLIENT_SLOW && arrlen(w.clients[i].pending);
	return n;
}

/* Whoever's request was read whole hears a whole answer: with limits and settings that change all the time,
 * and with a stop at any time of any length. */
static void planned_work_loses_nothing(void **state)
{
	uint64_t first = first_seed(), n = seed_count(STOP_RUNS), refused = 0, gone = 0;

	(void)state;
	memset(&sum, 0, sizeof sum);
	for (uint64_t seed = first; seed < first + n; seed++) {
		int64_t grace, took;
		struct http_counters outcomes;

		world_open(seed);
		w.calm = w.honest_ids = 1;
		play(300, 0);
		play_planned((int64_t)random_below(3000));
		grace = random_below(3) ? GRACE_MS : 500 + (int64_t)random_below(9000);
		stop_begins(grace);
		took = stop_ends(1);
		if (took > grace + DISCONNECTED_MS + 10)
			breach("the stop took %lld of %lld ms", (long long)took, (long long)grace);
		if (w.bad[0])
			fail_msg("NL_SEED=%llu at %lld ms: %s", (unsigned long long)seed,
				 (long long)(net_sim_now() - w.started), w.bad);
		outcomes = w.edge.request_counters;
		if (without_outcome(&outcomes) > slow_clients())
			fail_msg("NL_SEED=%llu: %llu requests have no outcome", (unsigned long long)seed,
				 (unsigned long long)without_outcome(&outcomes));
		refused += outcomes.outcomes[HTTP_OUTCOME_REJECTED];
		gone += outcomes.outcomes[HTTP_OUTCOME_DISCONNECTED];
		world_close();
	}
	print_message("%llu seeds: %llu requests, %llu whole, %llu refused, %llu failed, %llu cut\n",
		      (unsigned long long)n, (unsigned long long)sum.requests, (unsigned long long)sum.whole,
		      (unsigned long long)sum.refused, (unsigned long long)sum.failed,
		      (unsigned long long)sum.cut);
	assert_true(n < 20 || (sum.whole && sum.refused && sum.failed && refused && gone));
}

enum { CROWD = 50 };

/* More requests than the servers have places, and servers that are silent: what was never sent hears early
 * when to come back, what was sent has the time to stop in and then hears that it failed. */
static void a_stop_answers_the_waiting_and_the_running(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 10; seed++) {
		struct sim_conn *conn[CROWD];
		int64_t answered_at[CROWD] = { 0 }, from;
		int statuses[CROWD], waited = 0, ran = 0;
		char *in[CROWD] = { NULL };

		quiet_world(seed);
		w.calm = 1;
		for (int i = 0; i < CROWD; i++)
			arrput(w.script, ACT_SILENT);
		for (int i = 0; i < CROWD; i++) {
			char b[400];
			int no = request_new(0);

			w.requests[no].route = ROUTE_ONCE;
			w.requests[no].host = 0;
			w.requests[no].body_len = 0;
			w.requests[no].key = -1;
			w.requests[no].more_fields = 0;
			w.requests[no].deadline_at = INT32_MAX;
			snprintf(w.requests[no].path, sizeof w.requests[no].path, "/once/%d", no);
			snprintf(b, sizeof b,
				 "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Notchlug-Attempt-Id: %s\r\n"
				 "X-Notchlug-Deadline-Remaining: 60000\r\nContent-Length: 0\r\n\r\n",
				 w.requests[no].path, w.requests[no].id);
			assert_non_null(conn[i] = net_sim_connect(FRONT_PORT));
			net_sim_write(conn[i], b, strlen(b), 0);
		}
		play(200, 0);
		assert_int_equal(arrlen(w.ctr.requests.all), CROWD);
		from = net_sim_now();
		stop_begins(GRACE_MS);
		while (!platform_edge.is_idle(&w.edge, net_sim_now()) &&
		       net_sim_now() < w.proc.stop_deadline_ms) {
			play(1, 0);
			for (int i = 0; i < CROWD; i++) {
				char b[1000];

				append(&in[i], b, net_sim_read(conn[i], b, sizeof b));
				if (arrlen(in[i]) && !answered_at[i])
					answered_at[i] = net_sim_now() - from;
			}
		}
		for (int i = 0; i < CROWD; i++) {
			struct answer a = { 0 };
			int sent = arrlen(w.requests[i].wires) > 0;
			char v[40];

			statuses[i] = 0;
			if (arrlen(in[i]) && read_answer(in[i], (size_t)arrlen(in[i]), 1, &a) && a.complete)
				statuses[i] = a.status;
			if (statuses[i] != (sent ? 502 : 503))
				fail_msg("seed %llu: request %d, %s, was told %d", (unsigned long long)seed,
					 i, sent ? "sent" : "never sent", statuses[i]);
			assert_true(sent || field(in[i], a.head, "Retry-After", v, sizeof v));
			assert_true(sent ? answered_at[i] > GRACE_MS - 500
					 : answered_at[i] <= GRACE_MS / 2 + 100);
			waited += !sent;
			ran += sent;
			arrfree(a.body);
			arrfree(in[i]);
		}
		assert_true(waited && ran);
		assert_true(platform_edge.is_idle(&w.edge, net_sim_now()));
		quiet_end(seed);
	}
}

/* SIGTERM between any two bytes of a request; the rest comes at once, when the listener has closed, or never.
 */
static void a_stop_at_each_byte_of_a_request(void **state)
{
	static const char request[] =
	    "POST /once/0 HTTP/1.1\r\nHost: h.example\r\nX-Notchlug-Attempt-Id: a\r\n"
	    "X-Notchlug-Deadline-Remaining: 3000\r\nContent-Length: 4\r\n\r\nbody";
	static const int64_t rest_after[] = { 1, 3000, -1 };
	size_t len = sizeof request - 1;

	(void)state;
	for (size_t cut = 1; cut <= len; cut++)
		for (int i = 0; i < 3; i++) {
			struct answer a = { 0 };
			char b[8192];
			struct sim_conn *conn;
			size_t n;
			int no, answers;

			quiet_world(cut);
			w.calm = 1;
			no = request_new(0);
			w.requests[no].route = ROUTE_ONCE;
			w.requests[no].host = 0;
			strcpy(w.requests[no].path, "/once/0");
			strcpy(w.requests[no].id, "a");
			strcpy(w.requests[no].body, "body");
			w.requests[no].body_len = 4;
			w.requests[no].key = -1;
			w.requests[no].more_fields = 0;
			w.requests[no].deadline_at = INT32_MAX;
			arrput(w.script, ACT_ANSWER);
			assert_non_null(conn = net_sim_connect(FRONT_PORT));
			net_sim_write(conn, request, cut, 0);
			play(20, 0);
			stop_begins(i == 2 ? SHORT_GRACE_MS : GRACE_MS);
			if (rest_after[i] >= 0)
				net_sim_write(conn, request + cut, len - cut, rest_after[i]);
			stop_ends(0);
			n = net_sim_read(conn, b, sizeof b);
			answers = n && read_answer(b, n, 1, &a) && a.complete;
			if (!answers || a.status != (i == 0 || cut == len ? 200 : 503) ||
			    (i && cut < len && arrlen(w.requests[no].wires)))
				fail_msg("cut %zu, rest after %lld ms: %d", cut, (long long)rest_after[i],
					 answers ? a.status : -1);
			arrfree(a.body);
			quiet_end(cut);
		}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(large_limits_of_a_configuration_stay_large),
		cmocka_unit_test(a_body_beyond_the_memory_is_refused),
		cmocka_unit_test(a_refusal_of_another_request_is_no_promise),
		cmocka_unit_test(an_answer_to_another_request_is_passed_over),
		cmocka_unit_test(a_refusal_of_this_request_is_a_promise),
		cmocka_unit_test(only_event_streams_are_resumed),
		cmocka_unit_test(an_event_cut_in_an_unframed_stream_shows_the_cut),
		cmocka_unit_test(a_connection_ages_in_a_freeze),
		cmocka_unit_test(readiness_follows_the_configuration),
		cmocka_unit_test(a_stale_front_end_promises_and_denies_nothing),
		cmocka_unit_test(a_stop_answers_the_waiting_and_the_running),
		cmocka_unit_test(a_stop_at_each_byte_of_a_request),
		cmocka_unit_test(planned_work_loses_nothing),
		cmocka_unit_test(no_answer_goes_astray),
	};
	int rc;

	apr_initialize();
	if (getenv("NL_TEST"))
		cmocka_set_test_filter(getenv("NL_TEST"));
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
