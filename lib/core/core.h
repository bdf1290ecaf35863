/* core: what every duty shares: hashing, naming, commands that a step answers with.
 * Nothing in lib/core, lib/data or lib/control opens a socket or a file or reads a clock. */
#ifndef NL_CORE_H
#define NL_CORE_H

#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

#include "notchlug.pb-c.h"

#define CORE_PROTOCOL_VERSION 1u

/* The places a command may stand for. A step returns a list of these; the shell performs them. */
enum command_kind {
	CMD_SEND,         /* say msg to the peer at addr */
	CMD_PERSIST,      /* write and sync one group's state, then answer with EV synced */
	CMD_ANSWER,       /* answer a web call whole: status, body, retry hint */
	CMD_STREAM_CHUNK, /* pass one piece of a stream on to a caller */
	CMD_END_STREAM,   /* end a caller's stream: ok or the error in body */
	CMD_CALL,         /* call a server: POST body to addr/path */
	CMD_CANCEL,       /* give a call up */
	CMD_FORWARD,      /* send a caller's request, whose text waits at the door, to a server */
	CMD_LIST_SERVERS, /* look at the list of servers */
	CMD_POLL_REPORT,  /* look at one server's report */
	CMD_LOAD_WEIGHTS, /* tell a server to load weights */
	CMD_WATCH_CACHE   /* wait at a server for events of its kept parts */
};

/* A caller's request on its way to a server. The bytes stay with the shell, which passes the answer's pieces
 * on by itself and says how it ended. */
struct forward_command {
	uint64_t call_token, client_token; /* tokens */
	uint64_t addr;
	const char *server, *tenant; /* the life meant; NULL tenant: none */
	const char *cache_namespace; /* under which kept parts are filed there; NULL: none that others use */
	const char *weights;         /* expected; NULL: any */
	uint64_t fetch_source, offload_target; /* fetch from and leave parts at; 0: none */
	int priority;                          /* 0 goes first, to 9 */
	int client_timeout_ms;                 /* for which its caller waits */
	int server_timeout_ms;                 /* for which its server may work at it, in its queue too */
	int64_t not_after_ms;
	const char *resume_after; /* take up after this piece; NULL: as the caller said */
	int headers_sent;         /* the caller has a head and pieces already: only pieces go on */
	int is_stream;            /* passed on by whole pieces, whose ids rise */
	int idempotent;
	int max_connections; /* connections that this node may hold to that server; 0: no bound */
};

struct persist_entry {
	uint64_t index, term;
	uint32_t kind;
	size_t len;
	const uint8_t *data;
};

struct persist {
	uint32_t shard;
	uint64_t seq, term, vote;
	uint64_t truncate_from; /* drop synced entries at or above this index first; 0 = none */
	size_t entry_count;
	struct persist_entry *entries;
	int scrub;        /* what this takes away must not stay in freed pages */
	int has_snapshot; /* a new snapshot stands in data; entries at or below drop go away */
	uint64_t snapshot_index, snapshot_term, drop_upto;
	size_t members_len, data_len;
	const uint8_t *members, *data;
};

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
			int status;
			int retry_ms;
			const char *body;
			uint64_t redirect_addr;
			size_t len;
			int64_t not_after_ms;
		} answer; /* to: 307, that peer's door; len: of body, 0 = its strlen; not_after: once it is
			     past, 503 goes out instead; 0: never */
		struct {
			uint64_t token;
			const char *body;
			size_t len;
			int success;
		} stream_chunk; /* PIECE, END */
		struct {
			uint64_t token;
			const char *addr, *path, *body;
			int limit_ms;
			int stream;
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
			uint64_t token, addr;
			const char *server, *model;
			int64_t not_after_ms;
		} poll_report;
		struct {
			uint64_t token, addr, fencing_token;
			const char *server, *model, *weights, *lease_holder;
			int64_t not_after_ms;
			int during_requests; /* load at once, under the requests that run there; else after
						they have ended */
		} load_weights;
		struct {
			uint64_t token, addr, since;
			const char *server;
			int wait_ms;
			int full; /* what it keeps now, at once; else what has changed since */
		} watch_cache;
	} args;
};

/* Bounds that a deployment sets; ms unless said otherwise. bounds_default is what stands without settings. */
struct bounds {
	int config_ms;  /* a change is in force everywhere */
	int revoke_ms;  /* a removed key is dead everywhere */
	int drift_ms;   /* how much later while the core is unsettled */
	int contact_ms; /* calm time after which a node counts as in touch */
	int drain_ms;   /* a leaving server gets nothing more */
	int ack_ms, catch_up_ms, grace_ms, lease_ms, thaw_ms, recover_ms;
	int rollout_ms; /* named weights have reached every server */
	int retry_budget_permille, retry_budget_slack,
	    retry_budget_window_ms; /* resends over the fleet: per mille of requests, and so many more, in any
				       window */
	int replicas; /* of each part: one more than twice the machines that may be lost at once */
	int list_calls_millihertz; /* calls to the list of servers, in thousandths a second, for the whole
				      fleet; 0: no list */
	int discover_instances;    /* servers come from the list, not from the table */
	int link_kbps;             /* of this machine's own link; 0: no bound is known */
	int experiments;           /* an experiment is on: decisions are logged too */
	uint32_t
	    disabled_mechanisms; /* mechanisms that an experiment has switched off, as a set: mechanism.h */
};
extern const struct bounds bounds_default;

struct command_list {
	apr_pool_t *pool;         /* commands live in it until the shell clears it */
	struct command *commands; /* stb_ds array */
	uint64_t id, addr, fleet; /* who speaks */
};

/* Add one command. Example: out_cmd(o, CMD_CANCEL)->u.cancel.token = t; */
struct command *command_add(struct command_list *out, enum command_kind kind);

/* Add a message to a peer and return it for filling in.
 * Example: m = out_msg(o, addr, 0, NL__MSG__BODY_LEADER_HINT); m->owner = ...; */
struct Nl__Msg *command_send(struct command_list *out, uint64_t addr, uint32_t shard, int body);

/* Answer a web call whole. Example: out_answer(o, token, 503, 500, "{}"); */
void command_answer(struct command_list *out, uint64_t token, int status, int retry_ms, const char *body);

/* The same, for an answer that holds until then only. Example: out_answer_until(&o, token, 200, body,
 * lease_end); */
void command_answer_until(struct command_list *out, uint64_t token, int status, const char *body,
			  int64_t not_after_ms);

/* Forget all commands and their memory. Example: out_clear(&o); */
void command_list_clear(struct command_list *out);

/* Allocate and initialise a message struct in the step's pool.
 * Example: struct Nl__Append *a = MESSAGE_NEW(o, Nl__Append, NL__APPEND__INIT); */
/* NOLINTNEXTLINE(bugprone-macro-parentheses): init is a list in braces */
#define MESSAGE_NEW(o, type, init) \
	((struct type *)command_list_alloc((o), sizeof(struct type), &(struct type)init))
void *command_list_alloc(struct command_list *out, size_t size, const void *init);

/* A 64-bit hash of bytes, the same on every node. Example: core_hash(0, "arrears", 7) */
uint64_t core_hash(uint64_t seed, const void *data, size_t size);

/* The same for a string. Example: core_hashs(0, "arrears") */
uint64_t core_hash_string(uint64_t seed, const char *text);

/* The rendezvous weight of a node for a subject; the highest few are named.
 * Example: if (core_rdv(zone, a) > core_rdv(zone, b)) ... */
uint64_t core_rendezvous_weight(uint64_t subject, uint64_t node);

/* The next number of a seeded generator. Example: elect_at = now + core_rand(&s) % 500; */
uint64_t core_random(uint64_t *state);

/* Which part keeps a service's state. Example: core_part_of("arrears", 4) is in 2..5 */
uint32_t core_shard_of(const char *service, uint32_t service_shards);

/* "127.0.0.1:80" to a number and back; 0 when it is no address.
 * Example: core_addr("127.0.0.1:80") == 0x7f0000010050 */
uint64_t core_parse_addr(const char *text);
const char *core_format_addr(apr_pool_t *pool, uint64_t addr);

/* Pack any message into pool memory. Example: d = core_pack(p, &op->base, &len); */
uint8_t *core_pack_message(apr_pool_t *pool, const ProtobufCMessage *message, size_t *len);

/* Unpack into pool memory, so that the result lives as long as the step's commands.
 * Example: struct Nl__Value *v = (struct Nl__Value *)core_unpack(p, &nl__value__descriptor, n, d); */
ProtobufCMessage *core_unpack_message(apr_pool_t *pool, const ProtobufCMessageDescriptor *type, size_t size,
				      const uint8_t *packed);

/* A deep copy in pool memory. Example: v = (struct Nl__Value *)core_dup(p, &old->base); */
ProtobufCMessage *core_copy_message(apr_pool_t *pool, const ProtobufCMessage *message);

enum { SHARD_CONTROL = 0, SHARD_PURGE = 1, SHARD_SERVICE = 2, SHARD_SERVICES = 4, SHARD_COUNT = 6 };

#endif
