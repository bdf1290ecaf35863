/* router_internal: what the files of the router's step share. Not for others. */
#ifndef NL_ROUTER_INTERNAL_H
#define NL_ROUTER_INTERNAL_H

#include <json-c/json.h>

#include "router.h"

extern const char router_no_server[];
struct plan {
	int server_index, cached_blocks, fetch_source, fetch_end;
	double cost_ms, fetch_ms, transfer_ms; /* ms: fetch with its wait, move of the link alone */
	enum decision_reason reason;
	uint32_t candidates; /* that were open */
};

/* Servers of a service that have the same weights, as seen by one request. */
struct generation {
	uint32_t weights;
	uint64_t cache_namespace;       /* hash of its name */
	int store_depth;                /* leading parts that the store keeps */
	int fetch_source, source_depth; /* the server or store to fetch from, and how many leading parts it
					   keeps; -1: none */
};

/* What is under way at a server: requests, tokens still to be read, tokens in its memory. */
struct server_load {
	uint32_t running;
	uint64_t prefill_tokens, resident_tokens;
};

/* router_placement_claimed.c */
struct plan router_placement_claimed(struct router *router, const struct client_request *request,
				     int64_t now);
int router_avoids_server(const struct client_request *request, uint32_t server_index, int64_t now);
double router_link_slowness(struct router *router, uint32_t source, uint32_t target, int64_t now);
void router_record_fetch(struct router *router, const struct client_request *request, int64_t took_ms,
			 int fetched_blocks, int64_t now);
int router_server_is_serving(const struct router *router, uint32_t server_index, int64_t now);
uint64_t router_tokens_of_blocks(const struct client_request *request, int block_count);
const struct block_replica *router_usable_replica(struct router *router, const struct client_request *request,
						  uint64_t hash, uint32_t server, uint32_t weights);
/* router_placement_forwarded.c */
struct plan router_placement_forwarded(struct router *router, const struct client_request *request,
				       int64_t now);
const char *router_cache_namespace(struct router *router, const struct client_request *request,
				   uint32_t weights, apr_pool_t *pool);
uint64_t router_offload_target(struct router *router, const struct client_request *request,
			       uint64_t cache_namespace, int64_t now);
int router_store_of(const struct router *router, const struct client_request *request);
uint64_t router_block_key(uint64_t cache_namespace, uint64_t id);
uint64_t router_home_block(const struct client_request *request);
/* The servers that a request may go to, besides those that keep its prefix: its home and a few others;
 * returns their number. Example: n = router_candidates(c, x, server, now); */
enum { MAX_CANDIDATES = 8 };
int router_candidates(struct router *router, const struct client_request *request, uint32_t *server_indices,
		      int64_t now);
/* router_cost.c */
/* What is under way at a server, ours and others' as far as it is known. Example: load =
 * router_server_load(c, s, now); */
struct server_load router_server_load(const struct router *router, uint32_t server_index, int64_t now);
/* How long a send would wait there before it is read, and what makes it risky, in ms. */
double router_load_ms(const struct router *router, uint32_t server_index,
		      const struct service_config *service, int64_t now);
/* What a request brings to the memory of a server that keeps so many of its leading parts. */
uint32_t router_uncached_tokens(const struct client_request *request, int cached_blocks);
/* Whether one more fits beside what runs there: not so much that kept parts are pushed out by it, nor that it
 * would wait there for long, where no other router's more urgent one can pass it. What does not fit anywhere
 * waits in its line. */
int router_fits_server(const struct router *router, const struct client_request *request,
		       uint32_t server_index, int cached_blocks, const struct service_config *service,
		       int64_t now);
/* How long a move that begins now would wait at a machine's link; a move that begins; what one takes. In ms.
 */
double router_link_wait_ms(const struct router *router, uint32_t server_index, int64_t now);
void router_link_reserve(struct router *router, uint32_t server_index, double ms, int64_t now);
double router_transfer_ms(const struct router *router, uint32_t from_server, uint32_t to_server,
			  double tokens, const struct service_config *service);
/* router_prefix_lookup.c */
/* The generations of weights that servers of a request's service have; returns their number.
 * Example: n = router_generations(c, x, generations); */
int router_generations(struct router *router, const struct client_request *request,
		       struct generation *generations);
/* How many leading parts each server keeps, into c->depth, and the store for each generation. */
void router_prefix_depths(struct router *router, const struct client_request *request,
			  struct generation *generations, int generation_count, int store);
void router_lookup_open(struct router *router);
/* Ask the head of the zone who keeps a request's prefix. Example: router_lookup_ask(c, x, now, o); */
void router_lookup_send(struct router *router, struct client_request *request, int64_t now,
			struct command_list *out);
/* Whether a request still waits for the answer. Example: if (router_lookup_waits(c, x, now)) continue; */
int router_lookup_waits(struct router *router, struct client_request *request, int64_t now);
void router_on_prefix_lookup(struct router *router, const struct Nl__Msg *message, struct command_list *out);
void router_on_prefix_reply(struct router *router, const struct Nl__PrefixLookupReply *reply, int64_t now);
/* router_metrics.c */
/* What this router counts, in the Prometheus text format. Example: out_answer(o, token, 200, 0,
 * router_metrics(c, now, o->p)); */
const char *router_metrics(const struct router *router, int64_t now, apr_pool_t *pool);
/* In an experiment, what was decided so far, once in two seconds. Example: router_log_decisions(c, now); */
void router_log_decisions(struct router *router, int64_t now);
/* router_weights.c */
/* When work on these weights must have begun at a server of the service, on this router's clock: INT64_MAX
 * where nothing newer is named, INT64_MIN where it is not known when. Example: if (now >=
 * router_weights_end(c, service, weights, now)) skip(); */
int64_t router_weights_end(const struct router *router, uint32_t service, uint32_t weights, int64_t now);
/* Until when a send may leave for them, so that it has time to begin. Example: f->not_after =
 * router_weights_last_send(...); */
int64_t router_weights_last_send(const struct router *router, uint32_t service, uint32_t weights,
				 int64_t now);
/* A server's weights as its answer or the list says. Example: router_weights_learn(c, s,
 * names_id(&c->weights, "3")); */
void router_weights_learn(struct router *router, uint32_t server, uint32_t weights);
/* Log a naming that a newer route table brings. Example: router_weights_log_namings(c, old_table, now); */
void router_weights_log_targets(struct router *router, const struct route_table *old, int64_t now);
/* The invariant, where a send leaves and where its begin is heard of. */
void router_weights_check_send(struct router *router, const struct client_request *request, int64_t now);
void router_weights_check_begin(struct router *router, const struct client_request *request, int64_t now);
/* Take back what has not begun shortly before its weights' bound. Example: router_weights_recall(c, now, o);
 */
void router_weights_recall(struct router *router, int64_t now, struct command_list *out);
/* router_route_table.c */
void router_route_table_free(struct route_table *routes);
struct route_table *router_route_table_new(struct router *router, int64_t now);
uint64_t router_match_key(const char *host, const char *path, size_t path_length);
struct server_table *router_server_table_new(struct router *router, int64_t now);
void router_server_table_free(struct server_table *servers);
void router_names_clear(struct name_table *names);
void router_share_of(const struct route_table *routes, uint32_t route_index, uint32_t tenant, uint32_t *share,
		     uint32_t *limit);
/* router_outcome.c */
/* What a request's client is told at its end: why is a text, or the last piece of an answer of the own
 * interface. */
struct request_ending {
	enum request_outcome outcome;
	int status;
	const char *reason;
	int retry_after_ms; /* when to come back, of refused ones */
};

/* The one way for a request to end: tells its client, counts the outcome, and takes it out. What may have run
 * is never refused or rejected: it counts as broken off. Example: router_request_end(c, x, &(struct
 * request_ending){ REQUEST_ANSWERED, 200, NULL, 0 }, now, o); */
void router_request_end(struct router *router, struct client_request *request,
			const struct request_ending *ending, int64_t now, struct command_list *out);

/* The same for one that was never queued. Example: router_decline(c, token, &(struct request_ending){
 * REQUEST_REJECTED, 404, "lane: unknown", 0 }, o); */
void router_decline(struct router *router, uint64_t token, const struct request_ending *ending,
		    struct command_list *out);

/* Endings by name, each by router_request_end. */
void router_refuse(struct router *router, struct client_request *request, int status, const char *reason,
		   double retry_after_ms, int64_t now, struct command_list *out);
void router_reject(struct router *router, struct client_request *request, int status, const char *reason,
		   int64_t now, struct command_list *out);
void router_break_off(struct router *router, struct client_request *request, int status, const char *reason,
		      int64_t now, struct command_list *out);

/* Whatever state it is in: broken off if it may have run, else refused or rejected, as the status says. */
void router_end_early(struct router *router, struct client_request *request, int status, const char *reason,
		      int64_t now, struct command_list *out);
void router_request_add(struct router *router, struct client_request *request);
struct client_request *router_request_by_token(struct router *router, uint64_t token);

/* All that is under way, without a word: the process ends. Example: router_requests_discard(c); */
void router_requests_discard(struct router *router);
/* router_admission.c */
void router_admit_claimed(struct router *router, uint64_t token, const char *digest, const char *body,
			  int64_t now, struct command_list *out);
void router_admit_forwarded(struct router *router, const struct forwarded_request *query, int64_t now,
			    struct command_list *out);

/* The newest table holds for what no server is working on: its lane, tenant and service are looked up again.
 * 0: that ended it. Example: if (!router_readmit(c, x, now, o)) return; */
int router_readmit(struct router *router, struct client_request *request, int64_t now,
		   struct command_list *out);
/* router_queue.c */
void router_claim_miss(struct router *router, uint32_t service, uint64_t leader_addr);
void router_claim_release(struct router *router, const struct client_request *request, int64_t now,
			  struct command_list *out);
void router_claim_send(struct router *router, struct client_request *request, int64_t now,
		       struct command_list *out);
const char *router_error_body(apr_pool_t *pool, const char *reason, const char *outcome);
double router_expected_wait_ms(const struct request_queue *queue, uint32_t i, int64_t now);
uint32_t router_reserved_slots(const struct router *router, const char *name);
struct request_queue *router_queue_of(struct router *router, uint32_t route_index, uint32_t tenant);
int router_retry_fast_ms(struct router *router, int ms);
int router_retry_after_ms(struct router *router, double ms);
int router_max_staleness_ms(const struct router *router);
int router_config_in_force(const struct router *router, int64_t now);
void router_queue_insert(struct router *router, struct client_request *x, int64_t now);
void router_queue_remove(struct router *router, struct client_request *x);
void router_queue_return(struct router *router, struct client_request *request, int64_t now);
void router_queue_move(struct router *router, struct client_request *request, uint32_t route_index,
		       uint32_t tenant_index, int64_t now);
void router_quota_release(struct router *router, struct client_request *request);
uint32_t router_shard_of(const struct router *router, uint32_t service);
void router_dispatch(struct router *router, int64_t now, struct command_list *out);
struct json_object *router_read_json(struct router *router, const char *text);
void router_release_end(struct router *router, ptrdiff_t i);
void router_releases_tick(struct router *router, int64_t now, struct command_list *out);
uint64_t router_token_new(struct router *router);
struct usage_entry *router_usage_of(struct router *router, const struct client_request *request);
void router_request_slots(struct router *router, int64_t now, struct command_list *out);
/* router_load.c */
void router_load_tick(struct router *router, int64_t now, struct command_list *out);
void router_on_load(struct router *router, uint64_t id, uint64_t addr, const struct Nl__Load *load,
		    int64_t now);
void router_load_clear(struct router *router);
/* What all routers have under way at a server, as far as this one knows; 0: nothing is known. */
int router_fleet_load(const struct router *router, uint32_t server, struct load_cell *all);
/* The head of the zone says so of one server. */
void router_load_learn(struct router *router, uint32_t server, const struct load_cell *all);
/* router_send.c */
void router_on_answer(struct router *router, const struct Nl__ProposeReply *answer, uint64_t from,
		      int64_t now, struct command_list *out);
void router_on_done(struct router *router, struct client_request *request,
		    const typeof(((struct router_event *)0)->u.call_ended) *result, int64_t now,
		    struct command_list *out);
void router_forward(struct router *router, struct client_request *request, const struct plan *plan,
		    int64_t now, struct command_list *out);
/* Cancel a send that has not begun as far as is known; the request goes to another server if it may, else it
 * ends. Example: router_take_back(c, x, now, o); */
void router_recall(struct router *router, struct client_request *request, int64_t now,
		   struct command_list *out);
void router_on_began(struct router *router, struct client_request *request, const char *weights, int64_t now);
void router_on_ended(struct router *router, struct client_request *request,
		     const struct forward_result *ended, int64_t now, struct command_list *out);
void router_on_stream_chunk(struct router *router, struct client_request *request, const char *text,
			    int64_t now, struct command_list *out);
void router_send_claimed(struct router *router, struct client_request *request, int64_t now,
			 struct command_list *out);
/* router_retention.c */
void router_scope_row(struct router *router, struct route_table *routes, const struct Nl__Row *row);
int router_scope(const struct route_table *routes, uint32_t route_index, uint32_t tenant);
uint64_t router_generation(struct router *router, int scope, uint32_t slice);
uint64_t router_namespace_key(struct router *router, const struct client_request *request);
uint64_t router_namespace_key_from_text(const char *cache_namespace);
void router_on_context_purge(struct router *router, const struct Nl__Value *value, int64_t now);
void router_retention_tick(struct router *router, int64_t now);
int router_retains(const struct router *router, uint32_t service, uint32_t maker, uint64_t id,
		   uint64_t stamp);
/* router_cache_feed.c */
/* What a watch has answered, before it is taken in here. */
void router_feed_add(struct router *router, uint32_t server, const struct Nl__CacheUpdate *update);
void router_feed_tick(struct router *router, int64_t now, struct command_list *out);
void router_feed_clear(struct router *router);
/* router_cache_watch.c */
void router_poll_reports(struct router *router, int64_t now, struct command_list *out);
void router_on_relayed_report(struct router *router, const struct Nl__Report *report, int64_t now,
			      struct command_list *out);
void router_on_report(struct router *router, uint32_t server_index, const char *body, int64_t now);
void router_on_value(void *ctx, const struct Nl__Value *value);
void router_watch_caches(struct router *router, int64_t now, struct command_list *out);
void router_on_cache_watched(struct router *router, uint64_t token, const struct Nl__CacheUpdate *update,
			     int status, int64_t now);
void router_on_cache_update(struct router *router, const struct Nl__CacheUpdate *update, int64_t now);
int router_scaled_interval_ms(const struct router *router, int ms);
void router_relay_report(struct router *router, uint32_t server_index, const char *body,
			 struct command_list *out);

#endif
