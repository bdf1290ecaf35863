/* commands: what a step of the router or controller wants done. A step is pure: it returns a list of
 * commands, and the shell performs them in order. Strings and messages in them live in the list's pool, until
 * command_list_clear. */
#ifndef NL_COMMANDS_H
#define NL_COMMANDS_H

#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

#include "notchlug.pb-c.h"

#define CORE_PROTOCOL_VERSION 1u

/* What a command asks of the shell. */
enum command_kind {
	CMD_SEND,         /* send a message to a peer */
	CMD_PERSIST,      /* write and sync one shard's state; answered by an event once that is done */
	CMD_ANSWER,       /* answer an HTTP request with a complete body */
	CMD_STREAM_CHUNK, /* send a chunk of a stream to a client */
	CMD_END_STREAM,   /* end a client's stream: success, or the error in body */
	CMD_CALL,         /* call a server: POST body to addr/path */
	CMD_CANCEL,       /* cancel a call */
	CMD_FORWARD,      /* forward a client's request, whose text the shell holds, to a server */
	CMD_LIST_SERVERS, /* fetch the list of servers */
	CMD_POLL_REPORT,  /* fetch one server's report */
	CMD_LOAD_WEIGHTS, /* command a server to load weights */
	CMD_WATCH_CACHE   /* wait at a server for cache events */
};

/* A client's request on its way to a server. The shell keeps the bytes, relays the response, and reports how
 * it ended. */
struct forward_command {
	uint64_t call_token;   /* names this attempt in events */
	uint64_t client_token; /* names the client's request */
	uint64_t addr;
	const char *server;          /* incarnation that is expected at addr */
	const char *tenant;          /* NULL: none */
	const char *cache_namespace; /* under which the server caches blocks; NULL: none that others use */
	const char *weights;         /* expected; NULL: any */
	uint64_t fetch_source;       /* address to fetch cached blocks from; 0: none */
	uint64_t offload_target;     /* address to offload blocks to; 0: none */
	int priority;                /* 0 goes first, to 9 */
	int client_timeout_ms;       /* for which the client waits */
	int server_timeout_ms;       /* for which the server may work at it, its queue included */
	int64_t not_after_ms;        /* not forwarded any more after this */
	const char *resume_after;    /* id of the chunk to resume after; NULL: as the client said */
	int headers_sent;    /* the client has received headers and chunks already: only chunks are relayed */
	int is_stream;       /* relayed by complete chunks, whose ids rise */
	int idempotent;      /* may be sent again after an unknown outcome */
	int max_connections; /* that this node may hold to that server; 0: no bound */
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
	uint64_t seq; /* named again when it is done; rises by one for each */
	uint64_t term;
	uint64_t vote;
	uint64_t truncate_from; /* drop stored entries at or above this index first; 0: none */
	size_t entry_count;
	struct persist_entry *entries;
	int scrub;               /* what is dropped must not remain in freed pages of the file */
	int has_snapshot;        /* the following are set */
	uint64_t snapshot_index; /* the newest entry that it stands for */
	uint64_t snapshot_term;
	uint64_t drop_upto; /* entries at or below are dropped */
	size_t members_len;
	size_t data_len;
	const uint8_t *members; /* packed, in force at snapshot_index */
	const uint8_t *data;    /* packed state */
};

/* One command; kind says which of args is set. Tokens name a request or call in later events. */
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
			int status;   /* HTTP */
			int retry_ms; /* hint when to try again; 0: none */
			const char *body;
			uint64_t redirect_addr; /* with 307: the peer whose listener to ask */
			size_t len;             /* of body; 0: its strlen */
			int64_t not_after_ms;   /* once it is past, 503 is sent instead; 0: never */
		} answer;
		struct {
			uint64_t token;
			const char *body;
			size_t len;
			int success; /* CMD_END_STREAM: body is no error */
		} stream_chunk;      /* CMD_STREAM_CHUNK, CMD_END_STREAM */
		struct {
			uint64_t token;
			const char *addr;
			const char *path;
			const char *body;
			int limit_ms; /* time-out */
			int stream;   /* the response is relayed by chunks */
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
			int during_requests; /* load at once, while requests run there; else after they have
						ended */
		} load_weights;
		struct {
			uint64_t token;
			uint64_t addr;
			uint64_t since;     /* offset of the first event wanted */
			const char *server; /* incarnation that is expected at addr */
			int wait_ms;
			int full; /* all that it caches now, at once; else what has changed since */
		} watch_cache;
	} args;
};

/* The commands of one step, and the identity that its messages are sent under. */
struct command_list {
	apr_pool_t *pool;         /* memory of the commands */
	struct command *commands; /* stb_ds */
	uint64_t id;              /* of this node */
	uint64_t addr;            /* of this node */
	uint64_t fleet;           /* identity of its fleet */
};

/* Add one command, zeroed but for its kind. It is valid until the next one is added.
 * Example: command_add(out, CMD_CANCEL)->args.cancel.token = token; */
struct command *command_add(struct command_list *out, enum command_kind kind);

/* Add a message to a peer and return it for filling in; body: its NL__MSG__BODY_... case.
 * Example: command_send(out, addr, 0, NL__MSG__BODY_LEADER_HINT)->leader_hint = hint; */
struct Nl__Msg *command_send(struct command_list *out, uint64_t addr, uint32_t shard, int body);

/* Answer an HTTP request. Example: command_answer(out, token, 503, 500, "{}"); */
void command_answer(struct command_list *out, uint64_t token, int status, int retry_ms, const char *body);

/* The same, for an answer that is only true up to a time. Example: command_answer_until(out, token, 200,
 * body, lease_end_ms); */
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

/* A copy of init, in the step's pool. */
void *command_list_alloc(struct command_list *out, size_t size, const void *init);

#endif
