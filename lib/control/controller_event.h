/* controller_event: what happens to a controller, as the step takes it, and the codec of operators'
 * documents.
 *
 * The daemon, the simulator and the tests make events; strings and messages in them are theirs and need live
 * for the step alone. Tokens name calls: the answer to a call is a command with its token. */
#ifndef NL_CONTROLLER_EVENT_H
#define NL_CONTROLLER_EVENT_H

#include <stdbool.h>

#include "core.h"

/* Which member of the payload is valid. */
enum controller_event_kind {
	CONTROLLER_TICK,               /* time has passed */
	CONTROLLER_MESSAGE,            /* from another node */
	CONTROLLER_SYNCED,             /* a shard's writes are on the disk */
	CONTROLLER_API_CALL,           /* an operator's call of the product's own interface */
	CONTROLLER_CALL_RESULT,        /* the answer of a server that was called */
	CONTROLLER_STOP,               /* shut down gracefully */
	CONTROLLER_PUT_DOCUMENT,       /* an operator's document */
	CONTROLLER_READ_DOCUMENT,      /* an operator wants the newest document */
	CONTROLLER_SET_TARGET_WEIGHTS, /* an operator sets the weights of a model */
	CONTROLLER_SERVERS_LISTED,     /* the platform's list of servers */
	CONTROLLER_REPORT_POLLED,      /* the report of a listed server */
	CONTROLLER_LOAD_ANSWERED,      /* the answer to a load command */
	CONTROLLER_CALLER_DISCONNECTED /* the operator who made a call has disconnected */
};

/* An event. */
struct controller_event {
	enum controller_event_kind kind;
	union {
		const struct Nl__Msg *message;
		struct {
			uint32_t shard;
			uint64_t sequence; /* of the newest write that is on the disk */
		} synced;
		struct {
			uint64_t token;
			const char *method;
			const char *path;
			const char *body;
			const char *idempotency_key; /* NULL: none */
		} api_call;
		struct {
			uint64_t token;
			int status; /* HTTP; 0: no answer */
			const char *body;
		} call_result;
		struct {
			uint64_t token;
			uint64_t base_version; /* the version that it builds on */
			bool is_patch;         /* of that version; else a whole document */
			const char *body;
			size_t body_bytes;
			const char *invalid; /* what the adapter found wrong with the call; NULL: nothing */
		} document;
		struct {
			uint64_t token;
		} read;
		struct {
			uint64_t token;
			const char *model;
			const char *weights;
			const char *invalid; /* what the adapter found wrong with the call; NULL: nothing */
		} target;
		struct {
			uint64_t token;
			bool succeeded; /* the list is complete */
			size_t instance_count;
			struct Nl__Instance *const *instances;
		} servers_listed;
		struct {
			uint64_t token;
			int status; /* HTTP; 0: no answer */
			const char *weights;
			bool is_loading;
		} report_polled;
		struct {
			uint64_t token;
		} disconnected;
		struct {
			uint64_t token;
			int status;      /* 200 it has them, 202 begun, 409 another load is under way, 412 its
					    fence is      higher, 421 not this server; 0 no answer */
			bool never_sent; /* the command did not leave */
		} load_answered;
	} payload;
};

/* The language that operators' documents are written in; the platform's adapter implements it. */
struct controller_codec {
	/* Make a change out of a document, or out of an old one and a patch: rows that replace all earlier ones,
	 * keys too, and the new document as bytes. Returns 0, or another number with *why saying what is wrong
	 * and naming the item. Pure; results live in the pool. */
	int (*read)(const char *old, size_t old_bytes, const char *body, size_t body_bytes, int is_patch,
		    struct Nl__Change *change, const char **why, apr_pool_t *pool);
};

#endif
