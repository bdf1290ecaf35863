/* commands: the effects that a step of the router or controller requests. A step performs no input or
 * output itself: it returns a list of commands, which the shell (lib/shell, platform) executes in order.
 * Strings and messages in commands live in the list's pool until command_list_clear. */
#ifndef NL_COMMANDS_H
#define NL_COMMANDS_H

#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

#include "notchlug.pb-c.h"

#define CORE_PROTOCOL_VERSION 1u

enum command_kind {
	CMD_SEND,         /* send a message to a peer */
	CMD_PERSIST,      /* write and sync one shard's state; an event reports that it is done */
	CMD_ANSWER,       /* send a complete HTTP response */
	CMD_STREAM_CHUNK, /* send a chunk of a stream to a client */
	CMD_END_STREAM,   /* end a client's stream, with success or with the error in body */
	CMD_CALL,         /* send an HTTP request to a server: POST body to addr/path */
	CMD_CANCEL,       /* cancel a call that is in flight */
	CMD_FORWARD, /* forward a client's request to a server; the shell holds the text of the request */
	CMD_LIST_SERVERS, /* fetch the endpoint list */
	CMD_POLL_REPORT,  /* fetch a server's status report */
	CMD_LOAD_WEIGHTS, /* send a load command for weights to a server */
	CMD_WATCH_CACHE /* request cache events from a server, which replies when it has some or after wait_ms
			 */
};

/* One attempt to forward a client's request to a server. The shell holds the bytes of the request, relays
 * the response, and reports the outcome in an event. */
struct forward_command {
	uint64_t call_token;   /* identifies this attempt in events */
	uint64_t client_token; /* identifies the client's request in events */
	uint64_t addr;
	const char *server;          /* incarnation that is expected at addr */
	const char *tenant;          /* NULL: none */
	const char *cache_namespace; /* namespace in which the server caches the blocks of the request; NULL:
					none that other requests use */
	const char *weights;         /* weights that the server is expected to run; NULL: any */
	uint64_t fetch_source;       /* address from which the server fetches cached blocks; 0: none */
	uint64_t offload_target;     /* address to which the server offloads blocks; 0: none */
	int priority;                /* from 0, the most urgent, to 9 */
	int client_timeout_ms;       /* remaining time until the client's time-out */
	int server_timeout_ms;       /* time-out at the server, including the time in its queue */
	int64_t not_after_ms;        /* the attempt is not started after this time */
	const char *resume_after;    /* the response resumes after the chunk with this id; NULL: after the one
					that the client's request names */
	int headers_sent;    /* an earlier attempt has sent the client headers and chunks: only chunks are
				relayed */
	int is_stream;       /* the response is relayed in complete chunks with increasing ids */
	int is_idempotent;   /* the request may be sent again if the outcome of an attempt is unknown */
	int max_connections; /* connections that this node may hold to the server; 0: unlimited */
};

/* One log entry to write. */
struct persist_entry {
	uint64_t index;
	uint64_t term;
	uint32_t kind;
	size_t len;
	const uint8_t *data;
};

/* One shard's state to write and sync, as one transaction. */
struct persist {
	uint32_t shard;
	uint64_t seq; /* identifies this write in the event that reports it as done; increases by one for each
			 write */
	uint64_t term;
	uint64_t vote;
	uint64_t truncate_from; /* stored entries from this index on are deleted before the write; 0: none */
	size_t entry_count;
	struct persist_entry *entries;
	int erase_deleted_bytes; /* the bytes of deleted data must not remain in freed pages of the file */
	int has_snapshot;        /* the fields below are set */
	uint64_t snapshot_index; /* index of the newest log entry that the snapshot includes */
	uint64_t snapshot_term;
	uint64_t drop_up_to_index; /* stored entries up to this index are deleted */
	size_t members_len;
	size_t data_len;
	const uint8_t *members; /* packed Nl__Members in force at snapshot_index */
	const uint8_t *data;    /* packed state of the state machine */
};

/* One command; kind selects the member of args that is set. A token identifies a request or call in later
 * events. */
struct command {
	enum command_kind kind;
	union {
		struct {
			uint64_t addr;
			struct Nl__Msg *msg;
		} send;
		struct persist *persist;
		struct {
			uint64_t token;
			int status;         /* HTTP status code */
			int retry_after_ms; /* delay after which the client should retry, in ms; 0: none */
			const char *body;
			uint64_t redirect_addr; /* with status 307: address of the peer to whose listener the
						   client is redirected */
			size_t len;             /* length of body in bytes; 0: strlen(body) */
			int64_t not_after_ms;   /* after this time 503 is sent instead; 0: no limit */
		} answer;
		struct {
			uint64_t token;
			const char *body;
			size_t len;
			int success; /* CMD_END_STREAM: the stream succeeded; if 0, body is the error */
		} stream_chunk;      /* CMD_STREAM_CHUNK, CMD_END_STREAM */
		struct {
			uint64_t token;
			const char *addr;
			const char *path;
			const char *body;
			int timeout_ms; /* time-out of the call */
			int is_stream;  /* the response is relayed in chunks */
			int64_t not_after_ms;
		} call;
		struct {
			uint64_t token;
		} cancel;
		struct forward_command *forward;
		struct {
			uint64_t token;
		} list_servers;
		struct {
			uint64_t token;
			uint64_t addr;
			const char *server; /* incarnation that is expected at addr */
			const char *model;
			int64_t not_after_ms;
		} poll_report;
		struct {
			uint64_t token;
			uint64_t addr;
			uint64_t fencing_token;
			const char *server; /* incarnation that is expected at addr */
			const char *model;
			const char *weights;
			const char *lease_holder;
			int64_t not_after_ms;
			int during_requests; /* load at once while requests are running there; if 0, after
						they have ended */
		} load_weights;
		struct {
			uint64_t token;
			uint64_t addr;
			uint64_t first_offset; /* offset of the first event requested */
			const char *server;    /* incarnation that is expected at addr */
			int wait_ms;
			int wants_all_blocks; /* request all blocks that the server caches now; if 0, the
				     events from offset since on */
		} watch_cache;
	} args;
};

/* The commands of one step, and the sender's identity, which is set in its messages. */
struct command_list {
	apr_pool_t *pool;         /* memory of the commands' strings and messages */
	struct command *commands; /* stb_ds */
	uint64_t id;              /* identity of this node */
	uint64_t addr;            /* address of this node */
	uint64_t fleet;           /* identity of its fleet */
};

/* Add one command, with all fields but its kind set to zero. The returned pointer is valid until the next
 * command is added.
 * Example: command_add(out, CMD_CANCEL)->args.cancel.token = token; */
struct command *command_add(struct command_list *out, enum command_kind kind);

/* Add a command that sends a message to a peer, and return the message so that the caller sets its body.
 * body is the NL__MSG__BODY_... constant of that body.
 * Example: command_send(out, addr, 0, NL__MSG__BODY_LEADER_HINT)->leader_hint = hint; */
struct Nl__Msg *command_send(struct command_list *out, uint64_t addr, uint32_t shard, int body);

/* Answer an HTTP request. Example: command_answer(out, token, 503, 500, "{}"); */
void command_answer(struct command_list *out, uint64_t token, int status, int retry_ms, const char *body);

/* Answer an HTTP request with a body that is valid only until not_after_ms; after that time the shell
 * sends 503 instead.
 * Example: command_answer_until(out, token, 200, body, lease_end_ms); */
void command_answer_until(struct command_list *out, uint64_t token, int status, const char *body,
			  int64_t not_after_ms);

/* Drop all commands and free their memory. Example: command_list_clear(&out); */
void command_list_clear(struct command_list *out);

/* Allocate and initialise a message struct in the step's pool.
 * Example: struct Nl__Append *append = MESSAGE_NEW(out, Nl__Append, NL__APPEND__INIT); */
/* NOLINTBEGIN(bugprone-macro-parentheses): init is a list in braces */
#define MESSAGE_NEW(out, type, init) \
	((struct type *)command_list_alloc((out), sizeof(struct type), &(struct type)init))
/* NOLINTEND(bugprone-macro-parentheses) */

/* Copy size bytes of init to the step's pool. */
void *command_list_alloc(struct command_list *out, size_t size, const void *init);

#endif
