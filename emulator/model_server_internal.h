/* What the files of a model server share. A work is one request from its arrival to its end; it stands in the
 * server's queue or batch, never in both. */
#ifndef NL_MODEL_SERVER_INTERNAL_H
#define NL_MODEL_SERVER_INTERNAL_H

#include <stdbool.h>

#include "platform_emulator.h"

/* A cache event: a block was cached (+) or shrank to so many tokens (-). */
struct kv_event {
	int64_t number;
	int64_t visible_at_us;
	char sign;
	char salt[48];
	char id[24];
	int tokens;
};
/* A call that waits for cache events behind a number, until a time. */
struct watcher {
	struct conn *conn;
	int64_t since; /* number of the last event that it has */
	int64_t until; /* loop_us */
};
/* A block of a request's prompt; is_hit: the work holds a reference to the cached one. */
struct requested_block {
	char id[24];
	int tokens;
	bool is_hit;
};
/* What a work waits for. */
enum work_state { WORK_QUEUED, WORK_FETCHING, WORK_PREFILL, WORK_DECODE };
/* One request at a server, from its arrival to its end. */
struct work {
	struct server *server;
	struct conn *conn; /* NULL: its caller has disconnected */
	int run_id;        /* of the checker; -1: none */
	int priority;      /* 0 is the most urgent */
	int prompt_tokens; /* of the whole prompt */
	int output_tokens;
	int remaining_tokens; /* of the prompt, still to be prefilled */
	int generated_tokens; /* of the answer */
	bool has_started;
	int sent_id;   /* last event sent */
	int last_id;   /* last event of the answer */
	int step_read; /* prompt tokens of the current step */
	int head_sent;
	int version;           /* of the weights that it started on */
	int announced_version; /* of the weights, as its stream said last */
	bool is_plain;         /* its answer is one piece and no stream */
	int break_at;          /* it breaks off behind this event; 0: it does not */
	int lose_answer;       /* it runs, and nothing is sent */
	int grey;              /* it fails with 500 */
	int garbage;           /* bytes that are no HTTP */
	int surplus;           /* bytes follow the answer */
	int close;             /* the connection closes behind the answer */
	int64_t queued_at_us;
	int64_t deadline_us;
	int64_t transfer_done_at_us; /* of its fetch */
	enum work_state state;
	char id[64];
	char salt[48];
	char tenant[48];
	char offload_target[40];          /* address of the store that gets new blocks */
	char source[40];                  /* address of the server to fetch blocks from */
	uint64_t seed;                    /* hash of the request */
	uint64_t body;                    /* hash of the answer */
	struct requested_block *blocks;   /* stb_ds */
	struct reused_block *used_blocks; /* stb_ds; their tenants are in names */
	char **names;                     /* stb_ds; owned */
};

/* Whether new weights are being loaded, or are about to be. */
static inline int is_loading_weights(const struct server *server)
{
	return server->loading_to != 0;
}

/* ---- model_server_cache.c ---- */
/* A cached block by salt and id, or NULL. */
struct prompt_block *find_block(struct server *server, const char *salt, const char *id);
/* Tokens of what runs and of the blocks that it uses. */
int64_t used_tokens(const struct server *server);
/* Tokens that fit in all: the KV capacity. */
int64_t kv_capacity(const struct server *server);
/* Evict the least recently used blocks until so many tokens more fit; 0 when they never will. */
int reserve_capacity(struct server *server, int64_t need);
/* Cache a block, or renew one; capacity must have been reserved. The pointer holds until the next call. */
struct prompt_block *store_block(struct server *server, const char *salt, const char *id, int tokens,
				 int version, const char *tenant);
/* Drop all blocks; emit_events: with an event each. */
void drop_all_blocks(struct server *server, int emit_events);

/* ---- model_server_batch.c, model_server_answers.c ---- */
/* End a work and free it; how is as checker_record_end has it. The connection is the caller's to end. */
void work_end(struct work *work, int how, int status);
/* The header fields that every answer of this server bears, for a request id or NULL. */
void response_fields(struct server *server, const char *id, char *buffer, size_t n);
/* Whether the connection stays open behind this answer, drawn by the server's fault. */
int keeps_connection(struct server *server);
/* Answer that this request was not executed. */
void reject_request(struct server *server, struct conn *conn, int run, const char *id, int status);
/* Send bytes behind an answer that was complete. */
void send_surplus(struct server *server);
/* Begin steps again after the batch was empty. */
void resume_steps(struct server *server);

/* ---- model_server_http.c ---- */
/* Sample the figures that later reports show; a timer calls it. */
void sample_report(void *ctx);
/* Answer watchers of cache events that show by now, or whose time is over; a timer calls it. */
void answer_watchers(void *ctx);
/* Handler: a complete request has arrived. */
void model_server_on_request(void *ctx, struct conn *conn, struct http_message *message);
/* Handler: a connection has closed; its work ends, or goes on without an answer. */
void model_server_on_closed(void *ctx, struct conn *conn, enum conn_end how);

/* ---- model_server_answers.c ---- */

/* Give up the blocks that a work uses; they stay cached. */
void work_release_blocks(struct work *work);

/* Take a work out of a server's queue or batch, if it stands there. */
void work_remove(struct work ***list, struct work *work);

/* Answer that a work was not executed, and end it. */
void work_reject(struct work *work, int status);

/* Send the next event of a work's stream; 0: the work is over. */
int work_send_event(struct work *work);

/* The answer is complete: end the work, with the faults that were drawn for it. */
void work_complete(struct work *work);

#endif
