/* shell_event: events that the threads of the shell layer send to the thread that owns the program's state,
 * through its event ring. */
#ifndef NL_SHELL_EVENT_H
#define NL_SHELL_EVENT_H

#include <stdint.h>

struct Nl__Msg;

enum shell_event_kind {
	SHELL_EVENT_MESSAGE,      /* transport: a message from another process was received */
	SHELL_EVENT_REQUEST,      /* api_server: the complete request of a client was received */
	SHELL_EVENT_DISCONNECTED, /* api_server: a client disconnected before its answer was complete */
	SHELL_EVENT_CHUNK,        /* server_calls: a line of a streamed answer was received */
	SHELL_EVENT_CALL_DONE,    /* server_calls: a call has ended */
	SHELL_EVENT_SYNCED,       /* storage: a write was synced to the disk */
	SHELL_EVENT_STOP          /* process: a planned stop begins */
};

/* An event. Only the fields of its kind are set; all others are zero. The thread that pops it from the ring
 * owns it. */
struct shell_event {
	enum shell_event_kind kind;
	uint64_t token;          /* identifies the request or call */
	struct Nl__Msg *message; /* the received message; owned */

	/* fields of a request; all owned, allocated by malloc */
	char *method;
	char *path;
	char *key_digest;      /* SHA-256 of the API key, in hexadecimal; empty without a key */
	char *idempotency_key; /* NULL: the request has none */
	char *body; /* also the line of a chunk (without its line break) or the answer of a finished call */

	/* fields of a finished call */
	int http_status; /* HTTP status; 0: no complete answer was received */
	int never_sent;  /* the server certainly has not started to process the call */
	int is_stream;

	/* fields of a synced write */
	uint32_t shard;
	uint64_t sequence;

	int64_t deadline_ms; /* of a stop: the clock_ms at which the process ends at the latest */
};

/* Allocate an event with all other fields zero. Never returns NULL: the process aborts if memory is
 * exhausted. */
struct shell_event *shell_event_new(enum shell_event_kind kind);

/* Free an event and the fields that it owns. event may be NULL. */
void shell_event_free(struct shell_event *event);

#endif
