/* shell_event: what the threads of the shell layer report to the thread that owns a program's state, through
 * its event ring. */
#ifndef NL_SHELL_EVENT_H
#define NL_SHELL_EVENT_H

#include <stdint.h>

struct Nl__Msg;

enum shell_event_kind {
	SHELL_EVENT_MESSAGE,      /* transport: a message of another process */
	SHELL_EVENT_REQUEST,      /* api_server: a client's complete request */
	SHELL_EVENT_DISCONNECTED, /* api_server: a client left before it had its answer */
	SHELL_EVENT_CHUNK,        /* server_calls: a line of a streamed answer */
	SHELL_EVENT_CALL_DONE,    /* server_calls: a call is over */
	SHELL_EVENT_SYNCED,       /* storage: a write is on the disk */
	SHELL_EVENT_STOP          /* process: a planned stop begins */
};

/* An event. Only the fields of its kind are set; the rest is zero. Whoever pops it from the ring owns it. */
struct shell_event {
	enum shell_event_kind kind;
	uint64_t token;          /* of the request or call */
	struct Nl__Msg *message; /* owned */

	/* of a request; all owned, from malloc */
	char *method;
	char *path;
	char *key_digest;      /* SHA-256 of the API key, in hexadecimal; empty without a key */
	char *idempotency_key; /* NULL without one */
	char *body;            /* also of a chunk (without its line break) and of a finished call */

	/* of a finished call */
	int status;     /* of HTTP; 0: no complete answer */
	int never_sent; /* the server certainly didn't begin it */
	int is_stream;

	/* of a synced write */
	uint32_t shard;
	uint64_t sequence;

	int64_t deadline_ms; /* of a stop: clock_ms when the process ends at the latest */
};

/* A new event with all other fields zero. Never NULL: out of memory aborts. */
struct shell_event *shell_event_new(enum shell_event_kind kind);

/* Free an event and what it owns; NULL is allowed. */
void shell_event_free(struct shell_event *event);

#endif
