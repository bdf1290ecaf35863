/* What the files of a model server share. A work is one request from its arrival to its end; it stands in the
 * server's wait or run, never in both. */
#ifndef NL_MODEL_SERVER_INTERNAL_H
#define NL_MODEL_SERVER_INTERNAL_H

#include "platform_emulator.h"

struct kv_event {
	int64_t number, visible_at_us;
	char sign, salt[48], id[24];
	int tokens;
};
struct watcher {
	struct conn *conn;
	int64_t since, until;
};
struct requested_block {
	char id[24];
	int tokens, is_hit;
};
enum work_state { WORK_QUEUED, WORK_FETCHING, WORK_PREFILL, WORK_DECODE };
struct work {
	struct server *server;
	struct conn *conn;
	int run_id, priority, prompt_tokens, output_tokens, remaining_tokens, generated_tokens, has_started,
	    sent_id, last_id, step_read, head_sent, version, announced_version, is_plain;
	int break_at, lose_answer, grey, garbage, surplus, close;
	int64_t queued_at_us, deadline_us, transfer_done_at_us;
	enum work_state state;
	char id[64], salt[48], tenant[48], offload_target[40], source[40];
	uint64_t seed, body;
	struct requested_block *blocks; /* stb arrays */
	struct reused_block *used_blocks;
	char **names;
};

/* New weights are being loaded, or are about to be. */
static inline int is_loading_weights(const struct server *server)
{
	return server->loading_to != 0;
}

/* stand_server_cache */
/* A kept part by salt and id, or NULL. */
struct prompt_block *find_block(struct server *server, const char *salt, const char *id);
/* Tokens held by what runs and by the parts it uses. */
int64_t used_tokens(const struct server *server);
/* Tokens that fit in all. */
int64_t kv_capacity(const struct server *server);
/* Let go of the longest unused until so many tokens more fit; 0 when they never will. */
int reserve_capacity(struct server *server, int64_t need);
/* Keep a part, or renew one that is kept; room must have been made. */
struct prompt_block *store_block(struct server *server, const char *salt, const char *id, int tokens,
				 int version, const char *tenant);
/* Drop all kept parts; tell: with an event each. */
void drop_all_blocks(struct server *server, int emit_events);

/* stand_server_batch */
/* End a work; how is as judge_ran has it. The connection is the caller's to end. */
void work_end(struct work *work, int how, int status);
/* The header fields that every answer of this server bears, for a request id or NULL. */
void response_fields(struct server *server, const char *id, char *buffer, size_t n);
/* Whether the connection stays open behind this answer. */
int keeps_connection(struct server *server);
/* Answer that this request was not executed. */
void reject_request(struct server *server, struct conn *conn, int run, const char *id, int status);
/* Send bytes behind an answer that was whole. */
void send_surplus(struct server *server);
/* Begin steps again after the batch was empty. */
void resume_steps(struct server *server);

/* stand_server_http */
/* Take the figures that the next reports show; a timer calls it. */
void sample_report(void *ctx);
/* Answer those who wait for events that can be seen by now. */
void answer_watchers(void *ctx);
/* A whole request has arrived. */
void model_server_on_request(void *ctx, struct conn *conn, struct http_message *message);
/* A connection is gone: its work ends, or goes on unheard. */
void model_server_on_closed(void *ctx, struct conn *conn, enum conn_end how);

/* ---- model_server_answers.c ---- */

/* Give up the blocks that a work uses; they stay cached. */
void work_release_blocks(struct work *work);

/* Take a work out of a server's queue or batch, if it stands there. */
void work_remove(struct work ***list, struct work *work);

/* Answer that a work was not executed, and end it. */
void work_reject(struct work *work, int status);

/* 0: the work is over */
int work_send_event(struct work *work);

/* The answer is complete: end the work, with the faults that were drawn for it. */
void work_complete(struct work *work);

#endif
