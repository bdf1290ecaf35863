/* controller_event: the events that controller_step processes, and the interface of the codec of operators'
 * documents.
 *
 * The caller of controller_step creates the events. It owns their strings and messages, which have to be
 * valid only until the step returns. A token identifies a call: the command that answers the call has the
 * same token. */
#ifndef NL_CONTROLLER_EVENT_H
#define NL_CONTROLLER_EVENT_H

#include <stdbool.h>

#include "core.h"

/* Kind of an event; it determines which member of the payload is valid. */
enum controller_event_kind {
	CONTROLLER_TICK,               /* periodic timer */
	CONTROLLER_MESSAGE,            /* a message from another node was received */
	CONTROLLER_SYNCED,             /* writes of a shard have been synced to the disk */
	CONTROLLER_API_CALL,           /* an operator's call of this project's own HTTP interface */
	CONTROLLER_CALL_RESULT,        /* a server has answered a call, or the call has failed */
	CONTROLLER_STOP,               /* the process has to shut down gracefully */
	CONTROLLER_PUT_DOCUMENT,       /* an operator's call that sets the configuration document */
	CONTROLLER_READ_DOCUMENT,      /* an operator's call that reads the newest document */
	CONTROLLER_SET_TARGET_WEIGHTS, /* an operator's call that sets the target weights of a model */
	CONTROLLER_SERVERS_LISTED,     /* the platform's endpoint list was polled */
	CONTROLLER_REPORT_POLLED,      /* a listed server's status report was polled */
	CONTROLLER_LOAD_ANSWERED, /* a listed server has answered a load command, or the command has failed */
	CONTROLLER_CALLER_DISCONNECTED /* the caller of an operator's call has closed its connection */
};

/* One event and its payload; CONTROLLER_TICK and CONTROLLER_STOP have none. */
struct controller_event {
	enum controller_event_kind kind;
	union {
		const struct Nl__Msg *message;
		struct {
			uint32_t shard;
			uint64_t sequence; /* number of the newest write that has been synced */
		} synced;
		struct {
			uint64_t token;
			const char *method;
			const char *path;
			const char *body;
			const char *idempotency_key; /* of the Idempotency-Key header; NULL: none */
		} api_call;
		struct {
			uint64_t token;
			int status; /* HTTP status; 0: no answer */
			const char *body;
		} call_result;
		struct {
			uint64_t token;
			uint64_t base_version; /* document version that the call is based on */
			bool is_patch; /* the body is a patch of the base version; false: a complete document
					*/
			const char *body;
			size_t body_bytes;
			const char *rejection; /* why the platform's adapter rejects the call; NULL: the call
						is valid */
		} document;
		struct {
			uint64_t token;
		} read;
		struct {
			uint64_t token;
			const char *model;
			const char *weights;
			const char *rejection; /* why the platform's adapter rejects the call; NULL: the call
						is valid */
		} target;
		struct {
			uint64_t token;
			bool is_complete; /* the complete list was received */
			size_t instance_count;
			struct Nl__Instance *const *instances;
		} servers_listed;
		struct {
			uint64_t token;
			int status; /* HTTP status; 0: no answer */
			const char *weights;
			bool is_loading;
		} report_polled;
		struct {
			uint64_t token;
		} disconnected;
		struct {
			uint64_t token;
			int status;      /* HTTP status. 200: the server runs these weights; 202: loading has
					    begun; 409: another load is in progress; 412: the server has received a
					    higher fence; 421: the command reached another server; 0: no answer */
			bool never_sent; /* the command was not sent to the server */
		} load_answered;
	} payload;
};

/* Parser of the format of operators' documents, implemented by the platform's adapter. */
struct controller_codec {
	/* Convert a document, or a patch of the old document, to a change. The change holds the rows that
	 * replace all earlier rows, including the rows of API keys, and the bytes of the new document.
	 * Returns 0, or another number and in *why the fault and the item that has it. Has no side effects;
	 * results are allocated in the pool. */
	int (*read)(const char *old, size_t old_bytes, const char *body, size_t body_bytes, int is_patch,
		    struct Nl__Change *change, const char **why, apr_pool_t *pool);
};

#endif
