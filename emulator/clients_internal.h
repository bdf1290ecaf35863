/* What the files of the clients share. A struct client_request is what a client wants, over all attempts; it
 * is freed when the last attempt is over. A struct client_attempt is one of them, from its sending to its
 * end. */
#ifndef NL_CLIENTS_INTERNAL_H
#define NL_CLIENTS_INTERNAL_H

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

struct client_request { /* what a client wants, over all its attempts */
	struct clients *clients;
	struct client *client;
	int class_id;
	int attempts;
	int prompt_tokens;
	int output_tokens;
	int last_event_id;
	int is_done;
	int extra;
	int is_probe;
	int was_refused;
	int avoid[4];
	int avoid_count;
	int64_t created_at_ms;
	int64_t first_event_at_ms;
	int64_t last_event_at_ms;
	int64_t longest_gap_ms;
	int64_t refused_after_ms;
	double value;
	double size;
	char path[160];
	char blocks_header[200];
	char body[600];
	char key[64];
	char host[80];
	int transit_late;
};

/* One attempt of a request, over one connection; freed when it is over. */
struct client_attempt {
	struct client_request *request;
	struct clients *clients;
	struct conn *conn;
	int machine;
	int is_new_connection;
	int status;
	int seal_run;
	int is_own_answer;
	int is_stream;
	int sent;
	int bytes;
	int done;
	int was_read;
	int64_t started_at_ms;
	int64_t deadline_at_ms;
	int64_t last_received_at_ms;
	/* stb array: what of a stream is not read yet */
	char id[24];
	char seal_id[40];
	char *unparsed;
	double retry_after;
	int keep_alive;
	int keep_alive_s;
	struct stream_event *events;
};

/* All clients of a run, and the entry before the routers. */
struct clients {
	struct run *run;
	struct client *client; /* stb arrays */
	struct client_attempt **in_flight;
	struct client_request **retrying;
	uint64_t poll_timer;
	uint64_t probes_timer;
	uint64_t ready_timer;
	uint64_t last_id;
	double arrival_credit[CLASS_COUNT];
	int64_t last_poll_at_ms;
	int traffic_on;
	int extra_routes;
	int probing;
	int long_every;
	int closing;
	int requests;
	char keys[16][64];
};

/* ---- client_entry.c ---- */

/* Ask every router for its readiness; a timer calls it each second. */
void client_poll_readiness(void *ctx);

/* The router for a client's next attempt: its own zone first, then the next ones; NO_MACHINE if there is
 * none. */
int client_pick_edge(struct clients *clients, const struct client *who, const struct client_request *subject);

/* ---- client_attempts.c ---- */

/* Drop a connection from the pool of the client that has it. */
void client_forget_connection(struct clients *clients, const struct conn *conn);

/* Figures of the second in which something happened. */
struct second *client_second_of(struct run *run, int64_t at_ms);

/* An attempt is over: record it, and retry or finish its request. */
void client_attempt_over(struct client_attempt *attempt, enum answer_outcome how);

/* Send a request; fresh: over a new connection. Ends the request when no time is left or no router is there.
 */
void client_start_attempt(struct client_request *subject, int fresh);

#endif
