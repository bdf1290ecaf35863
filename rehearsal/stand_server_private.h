/* What the files of a model server share. A work is one request from its arrival to its end; it stands in the server's
 * wait or run, never in both. */
#ifndef STAND_SERVER_PRIVATE_H
#define STAND_SERVER_PRIVATE_H

#include "stand.h"

struct kv_event {
	int64_t number, seen_at;
	char sign, salt[48], id[24];
	int tokens;
};
struct watcher {
	struct conn *c;
	int64_t since, until;
};
struct asked_part {
	char id[24];
	int tokens, hit;
};
enum work_state { WORK_WAITS, WORK_MOVES, WORK_READS, WORK_WRITES };
struct work {
	struct server *s;
	struct conn *c;
	int run, level, prompt, out, left, made, begun, first_id, sent_id, last_id, step_read, head, version, told_version, plain;
	int break_at, lost, grey, garbage, surplus, close;
	int64_t at, until, moved_at;
	enum work_state state;
	char id[64], salt[48], tenant[48], sink[40], source[40];
	uint64_t seed, body;
	struct asked_part *ask; /* stb arrays */
	struct used_rec *used;
	char **names;
};

/* New weights are being loaded, or are about to be. */
static inline int out_of_order(const struct server *s) { return s->loading_to != 0; }

/* stand_server_cache */
/* A kept part by salt and id, or NULL. */
struct kept_part *part_find(struct server *s, const char *salt, const char *id);
/* Tokens held by what runs and by the parts it uses. */
int64_t used_now(const struct server *s);
/* Tokens that fit in all. */
int64_t room(const struct server *s);
/* Let go of the longest unused until so many tokens more fit; 0 when they never will. */
int make_room(struct server *s, int64_t need);
/* Keep a part, or renew one that is kept; room must have been made. */
struct kept_part *part_keep(struct server *s, const char *salt, const char *id, int tokens, int version, const char *tenant);
/* Drop all kept parts; tell: with an event each. */
void forget_all(struct server *s, int tell);

/* stand_server_batch */
/* End a work; how is as judge_ran has it. The connection is the caller's to end. */
void work_end(struct work *w, int how, int status);
/* The header fields that every answer of this server bears, for a request id or NULL. */
void fields_of(struct server *s, const char *id, char *b, size_t n);
/* Whether the connection stays open behind this answer. */
int keeps(struct server *s);
/* Answer that this request was not executed. */
void turn_away(struct server *s, struct conn *c, int run, const char *id, int status);
/* Send bytes behind an answer that was whole. */
void surplus_say(struct server *s);
/* Begin steps again after the batch was empty. */
void set_going(struct server *s);

/* stand_server_http */
/* Take the figures that the next reports show; a timer calls it. */
void note_report(void *ctx);
/* Answer those who wait for events that can be seen by now. */
void watchers_look(void *ctx);
/* A whole request has arrived. */
void request(void *ctx, struct conn *c, struct msg *m);
/* A connection is gone: its work ends, or goes on unheard. */
void gone(void *ctx, struct conn *c, enum conn_end how);

#endif
