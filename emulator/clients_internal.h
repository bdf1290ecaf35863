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

struct pooled_conn {
	struct conn *conn;
	int machine, busy;
	int64_t idle_until_ms, idle_since_ms;
};

struct client {
	int zone, tenant;
	uint64_t hash;
	struct pooled_conn *connections; /* stb array */
};

struct client_request { /* what a client wants, over all its tries */
	struct clients *clients;
	struct client *client;
	int class_id, attempts, prompt_tokens, output_tokens, last_event_id, is_done, extra, is_probe,
	    was_refused, avoid[4], avoid_count;
	int64_t created_at_ms, first_event_at_ms, last_event_at_ms, longest_gap_ms, refused_after_ms;
	double value, size;
	char path[160], blocks_header[200], body[600], key[64], host[80];
	int transit_late;
};

struct client_attempt {
	struct client_request *request;
	struct clients *clients;
	struct conn *conn;
	int machine, is_new_connection, status, seal_run, is_own_answer, is_stream, sent, bytes, done,
	    was_read;
	int64_t started_at_ms, deadline_at_ms, last_received_at_ms;
	char id[24], seal_id[40], *unparsed; /* stb array: what of a stream is not read yet */
	double retry_after;
	int keep_alive, keep_alive_s;
	struct stream_event *events;
};

struct clients {
	struct run *run;
	struct client *client; /* stb arrays */
	struct client_attempt **in_flight;
	struct client_request **retrying;
	uint64_t poll_timer, probes_timer, ready_timer, last_id;
	double arrival_credit[CLASS_COUNT];
	int64_t last_poll_at_ms;
	int traffic_on, extra_routes, probing, long_every, closing, requests;
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

/* A try is over; what now? */
void client_attempt_over(struct client_attempt *attempt, enum answer_outcome how);

/* Send a request; fresh: over a new connection. Ends the request when no time is left or no router is there.
 */
void client_start_attempt(struct client_request *subject, int fresh);

#endif
