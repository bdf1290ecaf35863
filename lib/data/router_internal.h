/* router_internal: what the files of the router's step share. Not for others. */
#ifndef NL_ROUTER_INTERNAL_H
#define NL_ROUTER_INTERNAL_H

#include <json-c/json.h>

#include "router.h"

extern const char router_no_server[];
struct plan {
	int server, keep, from, upto;
	double cost, fetch, move; /* ms: fetch with its wait, move of the link alone */
	enum decision_reason reason;
	uint32_t candidates; /* that were open */
};

/* Servers of a service that have the same weights, as seen by one request. */
struct generation {
	uint32_t weights;
	uint64_t cache_namespace; /* hash of its name */
	int store_depth;          /* leading parts that the store keeps */
	int source, source_depth; /* the server or store to fetch from, and how many leading parts it keeps; -1: none */
};

/* What is under way at a server: requests, tokens still to be read, tokens in its memory. */
struct server_load {
	uint32_t running;
	uint64_t ahead, tokens;
};

/* router_assign.c */
struct plan router_assign(struct router *c, const struct client_request *x, int64_t now);
int router_avoids(const struct client_request *x, uint32_t s, int64_t now);
double router_link_slowness(struct router *c, uint32_t from, uint32_t to, int64_t now);
void router_learn_fetch(struct router *c, const struct client_request *x, int64_t took, int brought, int64_t now);
int router_standing(const struct router *c, uint32_t s, int64_t now);
uint64_t router_tokens_upto(const struct client_request *x, int n);
const struct kept_copy *router_usable(struct router *c, const struct client_request *x, uint64_t hash, uint32_t server,
				      uint32_t weights);
/* router_placement.c */
struct plan router_assign_forward(struct router *c, const struct client_request *x, int64_t now);
const char *router_cache_namespace(struct router *c, const struct client_request *x, uint32_t weights, apr_pool_t *p);
uint64_t router_sink(struct router *c, const struct client_request *x, uint64_t cache_namespace, int64_t now);
int router_store_of(const struct router *c, const struct client_request *x);
uint64_t router_kept_key(uint64_t cache_namespace, uint64_t id);
uint64_t router_home_part(const struct client_request *x);
/* The servers that a request may go to, besides those that keep its prefix: its home and a few others; returns their number.
 * Example: n = router_candidates(c, x, server, now); */
enum { CANDIDATES = 8 };
int router_candidates(struct router *c, const struct client_request *x, uint32_t *server, int64_t now);
/* router_cost.c */
/* What is under way at a server, ours and others' as far as it is known. Example: load = router_server_load(c, s, now); */
struct server_load router_server_load(const struct router *c, uint32_t s, int64_t now);
/* How long a send would wait there before it is read, and what makes it risky, in ms. */
double router_load_ms(const struct router *c, uint32_t s, const struct bk_service *service, int64_t now);
/* What a request brings to the memory of a server that keeps so many of its leading parts. */
uint32_t router_brings(const struct client_request *x, int keep);
/* Whether one more fits beside what runs there: not so much that kept parts are pushed out by it, nor that it would wait
 * there for long, where no other router's more urgent one can pass it. What does not fit anywhere waits in its line. */
int router_fits(const struct router *c, const struct client_request *x, uint32_t s, int keep, const struct bk_service *service,
		int64_t now);
/* How long a move that begins now would wait at a machine's link; a move that begins; what one takes. In ms. */
double router_link_wait(const struct router *c, uint32_t s, int64_t now);
void router_link_use(struct router *c, uint32_t s, double ms, int64_t now);
double router_move_ms(const struct router *c, uint32_t from, uint32_t to, double tokens, const struct bk_service *service);
/* router_prefix.c */
/* The generations of weights that servers of a request's service have; returns their number.
 * Example: n = router_generations(c, x, generations); */
int router_generations(struct router *c, const struct client_request *x, struct generation *generations);
/* How many leading parts each server keeps, into c->depth, and the store for each generation. */
void router_prefix_depths(struct router *c, const struct client_request *x, struct generation *generations, int n, int store);
void router_lookup_open(struct router *c);
/* Ask the head of the zone who keeps a request's prefix. Example: router_lookup_ask(c, x, now, o); */
void router_lookup_ask(struct router *c, struct client_request *x, int64_t now, struct out *o);
/* Whether a request still waits for the answer. Example: if (router_lookup_waits(c, x, now)) continue; */
int router_lookup_waits(struct router *c, struct client_request *x, int64_t now);
void router_on_prefix_ask(struct router *c, const struct Nl__Msg *m, struct out *o);
void router_on_prefix_reply(struct router *c, const struct Nl__PrefixReply *reply, int64_t now);
/* router_metrics.c */
/* What this router counts, in the Prometheus text format. Example: out_answer(o, token, 200, 0, router_metrics(c, now, o->p)); */
const char *router_metrics(const struct router *c, int64_t now, apr_pool_t *p);
/* In an experiment, what was decided so far, once in two seconds. Example: router_log_decisions(c, now); */
void router_log_decisions(struct router *c, int64_t now);
/* router_weights.c */
/* When work on these weights must have begun at a server of the service, on this router's clock: INT64_MAX where nothing newer is
 * named, INT64_MIN where it is not known when. Example: if (now >= router_weights_end(c, service, weights, now)) skip(); */
int64_t router_weights_end(const struct router *c, uint32_t service, uint32_t weights, int64_t now);
/* Until when a send may leave for them, so that it has time to begin. Example: f->not_after = router_weights_last_send(...); */
int64_t router_weights_last_send(const struct router *c, uint32_t service, uint32_t weights, int64_t now);
/* A server's weights as its answer or the list says. Example: router_weights_learn(c, s, names_id(&c->weights, "3")); */
void router_weights_learn(struct router *c, uint32_t server, uint32_t weights);
/* Log a naming that a newer route table brings. Example: router_weights_log_namings(c, old_table, now); */
void router_weights_log_namings(struct router *c, const struct route_table *old, int64_t now);
/* The invariant, where a send leaves and where its begin is heard of. */
void router_weights_check_send(struct router *c, const struct client_request *x, int64_t now);
void router_weights_check_begin(struct router *c, const struct client_request *x, int64_t now);
/* Take back what has not begun shortly before its weights' bound. Example: router_weights_recall(c, now, o); */
void router_weights_recall(struct router *c, int64_t now, struct out *o);
/* router_route_table.c */
void router_route_table_free(struct route_table *b);
struct route_table *router_route_table_make(struct router *c, int64_t now);
uint64_t router_place(const char *host, const char *path, size_t n);
struct server_table *router_server_table_make(struct router *c, int64_t now);
void router_server_table_free(struct server_table *r);
void router_names_clear(struct names *n);
void router_share_of(const struct route_table *b, uint32_t lane, uint32_t tenant, uint32_t *share, uint32_t *limit);
/* router_outcome.c */
/* What a request's client is told at its end: why is a text, or the last piece of an answer of the own interface. */
struct request_ending {
	enum request_outcome outcome;
	int status;
	const char *why;
	int retry_ms; /* when to come back, of refused ones */
};

/* The one way for a request to end: tells its client, counts the outcome, and takes it out. What may have run is never
 * refused or rejected: it counts as broken off.
 * Example: router_request_end(c, x, &(struct request_ending){ REQUEST_ANSWERED, 200, NULL, 0 }, now, o); */
void router_request_end(struct router *c, struct client_request *x, const struct request_ending *e, int64_t now, struct out *o);

/* The same for one that was never queued. Example: router_decline(c, token, &(struct request_ending){ REQUEST_REJECTED, 404,
 * "lane: unknown", 0 }, o); */
void router_decline(struct router *c, uint64_t token, const struct request_ending *e, struct out *o);

/* Endings by name, each by router_request_end. */
void router_refuse(struct router *c, struct client_request *x, int status, const char *why, double back, int64_t now,
		   struct out *o);
void router_reject(struct router *c, struct client_request *x, int status, const char *why, int64_t now, struct out *o);
void router_give_up(struct router *c, struct client_request *x, int status, const char *why, int64_t now, struct out *o);

/* Whatever state it is in: broken off if it may have run, else refused or rejected, as the status says. */
void router_end_early(struct router *c, struct client_request *x, int status, const char *why, int64_t now, struct out *o);
void router_request_add(struct router *c, struct client_request *x);
struct client_request *router_request_by(struct router *c, uint64_t token);

/* All that is under way, without a word: the process ends. Example: router_requests_discard(c); */
void router_requests_discard(struct router *c);
/* router_admission.c */
void router_take(struct router *c, uint64_t token, const char *digest, const char *body, int64_t now, struct out *o);
void router_asked(struct router *c, const struct router_asking *a, int64_t now, struct out *o);

/* The newest table holds for what no server is working on: its lane, tenant and service are looked up again. 0: that ended
 * it. Example: if (!router_readmit(c, x, now, o)) return; */
int router_readmit(struct router *c, struct client_request *x, int64_t now, struct out *o);
/* router_queue.c */
void router_claim_miss(struct router *c, uint32_t service, uint64_t asked);
void router_claim_release(struct router *c, const struct client_request *x, int64_t now, struct out *o);
void router_claim_send(struct router *c, struct client_request *x, int64_t now, struct out *o);
const char *router_error_json(apr_pool_t *p, const char *why, const char *outcome);
double router_expected(const struct line *l, uint32_t i, int64_t now);
uint32_t router_held(const struct router *c, const char *name);
struct line *router_line_of(struct router *c, uint32_t lane, uint32_t tenant);
int router_retry_soon(struct router *c, int ms);
int router_retry_in(struct router *c, double ms);
int router_ride(const struct router *c);
int router_in_force(const struct router *c, int64_t now);
void router_queue_insert(struct router *c, struct client_request *x, int64_t now);
void router_queue_remove(struct router *c, struct client_request *x);
void router_queue_return(struct router *c, struct client_request *x, int64_t now);
void router_queue_move(struct router *c, struct client_request *x, uint32_t lane, uint32_t tenant, int64_t now);
void router_quota_release(struct router *c, struct client_request *x);
uint32_t router_part_of(const struct router *c, uint32_t service);
void router_dispatch(struct router *c, int64_t now, struct out *o);
struct json_object *router_read_json(struct router *c, const char *text);
void router_release_end(struct router *c, ptrdiff_t i);
void router_releases_tick(struct router *c, int64_t now, struct out *o);
uint64_t router_token_new(struct router *c);
struct router_use *router_use_of(struct router *c, const struct client_request *x);
void router_want_places(struct router *c, int64_t now, struct out *o);
/* router_load.c */
void router_load_tick(struct router *c, int64_t now, struct out *o);
void router_on_load(struct router *c, uint64_t id, uint64_t addr, const struct Nl__Load *l, int64_t now);
void router_load_clear(struct router *c);
/* What all routers have under way at a server, as far as this one knows; 0: nothing is known. */
int router_load_all(const struct router *c, uint32_t server, struct load_cell *all);
/* The head of the zone says so of one server. */
void router_load_heard(struct router *c, uint32_t server, const struct load_cell *all);
/* router_send.c */
void router_on_answer(struct router *c, const struct Nl__Answer *a, uint64_t from, int64_t now, struct out *o);
void router_on_done(struct router *c, struct client_request *x, const typeof(((struct router_ev *)0)->u.done) *d, int64_t now,
		    struct out *o);
void router_forward(struct router *c, struct client_request *x, const struct plan *pl, int64_t now, struct out *o);
/* Cancel a send that has not begun as far as is known; the request goes to another server if it may, else it ends.
 * Example: router_take_back(c, x, now, o); */
void router_take_back(struct router *c, struct client_request *x, int64_t now, struct out *o);
void router_on_began(struct router *c, struct client_request *x, const char *weights, int64_t now);
void router_on_ended(struct router *c, struct client_request *x, const struct router_ended *e, int64_t now, struct out *o);
void router_on_piece(struct router *c, struct client_request *x, const char *text, int64_t now, struct out *o);
void router_send_claimed(struct router *c, struct client_request *x, int64_t now, struct out *o);
/* router_retention.c */
void router_scope_row(struct router *c, struct route_table *b, const struct Nl__Row *r);
int router_scope(const struct route_table *b, uint32_t lane, uint32_t tenant);
uint64_t router_generation(struct router *c, int scope, uint32_t slice);
uint64_t router_filed(struct router *c, const struct client_request *x);
uint64_t router_filed_text(const char *cache_namespace);
void router_cleared(struct router *c, const struct Nl__Value *v, int64_t now);
void router_retention_tick(struct router *c, int64_t now);
int router_keeps(const struct router *c, uint32_t service, uint32_t maker, uint64_t id, uint64_t stamp);
/* router_kept_feed.c */
/* What a watch has answered, before it is taken in here. */
void router_feed_add(struct router *c, uint32_t server, const struct Nl__Kept *kept);
void router_feed_tick(struct router *c, int64_t now, struct out *o);
void router_feed_clear(struct router *c);
/* router_watch.c */
void router_look(struct router *c, int64_t now, struct out *o);
void router_on_passed_report(struct router *c, const struct Nl__Report *r, int64_t now, struct out *o);
void router_on_report(struct router *c, uint32_t s, const char *body, int64_t now);
void router_on_value(void *ctx, const struct Nl__Value *v);
void router_watch(struct router *c, int64_t now, struct out *o);
void router_on_watched(struct router *c, uint64_t token, const struct Nl__Kept *k, int status, int64_t now);
void router_on_kept(struct router *c, const struct Nl__Kept *k, int64_t now);
int router_interval(const struct router *c, int ms);
void router_pass_report(struct router *c, uint32_t s, const char *body, struct out *o);

#endif
