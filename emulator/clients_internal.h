/* What the files of the clients share. A struct client_request is what a client wants, over all attempts; it
 * is freed when the last attempt is over. A struct client_attempt is one of them, from its sending to its
 * end. */
#ifndef NL_CLIENTS_INTERNAL_H
#define NL_CLIENTS_INTERNAL_H

#include <stdbool.h>

#include "platform_run.h"

enum {
	TIMES_AS_LONG = 20, /* the answers of some requests on a planned day */
	LONG_PROBE =
	    200, /* tokens: such a probe is under way for a second or more, while its route or key goes */
	DEFAULT_IDLE_MS = 10000 /* how long a connection may rest before any configuration is known */
};

/* A connection that a client has open to a machine; idle ones wait for its next request. */
struct pooled_conn {
	struct conn *conn;
	int machine;
	int busy;
	int64_t idle_until_ms;
	int64_t idle_since_ms;
};

/* A client: its zone, its tenant and its connections. */
struct client {
	int zone;
	int tenant;
	uint64_t hash;
	struct pooled_conn *connections; /* stb array */
};

/* What a client wants, over all its attempts; freed when it is over. */
struct client_request {
	struct clients *clients;
	struct client *client;
	int class_id;
	int attempts;
	int prompt_tokens;
	int output_tokens; /* that the client asks for */
	int last_event_id; /* of the stream so far; 0: none */
	int extra;
	bool is_probe; /* of a route or key that came or went */
	bool was_refused;
	int avoid[4]; /* machines of earlier attempts; a probe: the one to ask */
	int avoid_count;
	int64_t created_at_ms;
	int64_t first_event_at_ms;
	int64_t last_event_at_ms;
	int64_t longest_gap_ms;
	int64_t refused_after_ms; /* when it was refused first */
	double value;             /* if it is served in time */
	double size;
	char path[160];
	char blocks_header[200]; /* blocks of the prompt, as the header field has them */
	char body[600];
	char key[64];
	char host[80];
	int transit_late; /* an event was under way for too long */
};

/* One attempt of a request, over one connection; freed when it is over. */
struct client_attempt {
	struct client_request *request;
	struct clients *clients;
	struct conn *conn;
	int machine;
	bool is_new_connection;
	int status;
	int seal_run;       /* run named by the server's seal; -1: none */
	bool is_own_answer; /* the answer bears no seal: the system's own */
	bool is_stream;
	int sent; /* written in full */
	int done;
	bool was_read; /* the machine's process has read the request */
	int64_t started_at_ms;
	int64_t deadline_at_ms; /* of the request */
	int64_t last_received_at_ms;
	char id[24];
	char seal_id[40];
	char *unparsed;     /* stb_ds: what of a stream is not parsed yet */
	double retry_after; /* s, as the answer asks */
	int keep_alive;
	int keep_alive_s;            /* as the answer says; 0: it does not */
	struct stream_event *events; /* stb_ds */
};

/* All clients of a run, and the entry before the routers. */
struct clients {
	struct run *run;
	struct client *client;             /* stb_ds */
	struct client_attempt **in_flight; /* stb_ds */
	struct client_request **retrying;  /* stb_ds: requests that wait for their next attempt */
	uint64_t poll_timer;
	uint64_t probes_timer;
	uint64_t ready_timer;
	uint64_t last_id;                   /* of an attempt */
	double arrival_credit[CLASS_COUNT]; /* requests that are due, by class */
	int64_t last_poll_at_ms;
	int traffic_on;
	int extra_routes;
	int probing;
	int long_every; /* of so many requests one has a long answer; 0: none */
	int closing;
	int requests;      /* so far */
	char keys[16][64]; /* by tenant */
};

/* ---- client_entry.c ---- */

/* Ask every router for its readiness; a timer calls it each second. */
void client_poll_readiness(void *ctx);

/* The router for a client's next attempt: its own zone first, then the next ones; NO_MACHINE if there is
 * none. */
int client_pick_edge(struct clients *clients, const struct client *who, const struct client_request *request);

/* ---- client_attempts.c ---- */

/* Drop a connection from the pool of the client that has it. */
void client_forget_connection(struct clients *clients, const struct conn *conn);

/* Figures of the second in which something happened. */
struct second *client_second_of(struct run *run, int64_t at_ms);

/* An attempt is over: record it, and retry or finish its request. */
void client_attempt_over(struct client_attempt *attempt, enum answer_outcome how);

/* Send a request; fresh: over a new connection. Ends the request when no time is left or no router is there.
 */
void client_start_attempt(struct client_request *request, int fresh);

#endif
