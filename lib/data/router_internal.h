/* router_internal: functions and records that the source files of the router's state machine share, grouped
 * by the file that defines them. Private to these files. All functions run within one call of router_step;
 * "now" is the time of that call in ms, "out" collects its commands. Unless a comment says otherwise,
 * returned strings live in out->pool or in the pool that was passed, and pointers into arrays are valid until
 * an element is added to the array. */
#ifndef NL_ROUTER_INTERNAL_H
#define NL_ROUTER_INTERNAL_H

#include <json-c/json.h>

#include "router.h"

/* The configuration of the server with this index in the server table. */
static inline const struct server_config *server_config_of(const struct router *router, uint32_t server_index)
{
	return &router->config.server_table->servers[server_index];
}

/* Whether a mechanism is enabled; an experiment may disable it (bounds.disabled_mechanisms). */
static inline bool mechanism_in_use(const struct router *router, enum mechanism mechanism)
{
	return mechanism_is_enabled(router->config.bounds.disabled_mechanisms, mechanism);
}

/* ---- router.c -------------------------------------------------------------------------------- */

/* Parses a JSON text with the router's tokener. The caller releases the object with json_object_put. NULL:
 * the text is not valid JSON. */
struct json_object *router_read_json(struct router *router, const char *text);

/* Returns a new token for a claim or a call to a server. Tokens of clients count from 1 up, so these have the
 * highest bit set. */
uint64_t router_token_new(struct router *router);

/* Returns an interval between messages to other routers, lengthened where there are more than 16 routers.
 * Example: router_scaled_interval_ms(router, 50) is 50 for up to 16 routers, and 200 for 64 and more. */
int router_scaled_interval_ms(const struct router *router, int ms);

/* ---- router_config.c ------------------------------------------------------------------------- */

/* Handles a message of the configuration watch; replaces the route table and the server table when it brings
 * newer ones. */
void router_on_config_message(struct router *router, const struct Nl__Msg *message, int64_t now,
			      struct command_list *out);

/* How long after its last confirmation by the controllers the router may act on a configuration, in ms. */
int router_max_staleness_ms(const struct router *router);

/* Whether the router may act on its configuration: it is certain to be the current one, or it has been
 * unconfirmed for no longer than router_max_staleness_ms. */
bool router_config_in_force(const struct router *router, int64_t now);

/* ---- router_route_table.c, router_server_table.c --------------------------------------------- */

/* Builds the route table from the router's newest configuration. The caller frees it with
 * router_route_table_free. */
struct route_table *router_route_table_new(struct router *router, int64_t now);

/* Frees a route table; NULL is allowed. */
void router_route_table_free(struct route_table *routes);

/* The key of a route in route_table.matches: a hash of its host, in the form of host_name_normalize, and of
 * the first path_length bytes of a path.
 * Example: hmget(routes->matches, router_match_key("a.example", "/x/", 3)) */
uint64_t router_match_key(const char *host, const char *path, size_t path_length);

/* Looks up a tenant's share on a route and its concurrency limit there. A limit of UINT32_MAX: none is set.
 */
void router_tenant_share(const struct route_table *routes, uint32_t route_index, uint32_t tenant_index,
			 uint32_t *share, uint32_t *limit);

/* Builds the server table from the configuration and the endpoint list. The route table must exist. The
 * caller frees it with router_server_table_free. */
struct server_table *router_server_table_new(struct router *router, int64_t now);

/* Frees a server table; NULL is allowed. */
void router_server_table_free(struct server_table *servers);

/* Frees all names of a name table and empties it. */
void names_clear(struct name_table *table);

/* ---- router_outcome.c ------------------------------------------------------------------------ */

/* The outcome of a request and the reply that its client receives. */
struct request_ending {
	enum request_outcome outcome;
	int status;         /* HTTP status code */
	const char *reason; /* reason in words; for REQUEST_ANSWERED: the last chunk of an answer on the
			       product's own interface */
	int retry_after_ms; /* for refused requests: when the client may retry */
};

/* Ends a request: replies to its client, counts the outcome, and frees the request. Every request ends
 * through this function. A request that may have run is never counted as refused or rejected, but as broken
 * off. Example: router_request_end(router, request, &(struct request_ending){ REQUEST_ANSWERED, 200, NULL, 0
 * }, now, out); */
void router_request_end(struct router *router, struct client_request *request,
			const struct request_ending *ending, int64_t now, struct command_list *out);

/* Ends a request that was never queued, like router_request_end. token identifies the client's connection. */
void router_decline(struct router *router, uint64_t token, const struct request_ending *ending,
		    struct command_list *out);

/* Refuses a request that has not run; the client may retry. Jitter is added to retry_after_ms. */
void router_refuse(struct router *router, struct client_request *request, int status, const char *reason,
		   double retry_after_ms, int64_t now, struct command_list *out);

/* Rejects a request that has not run; the client must not retry it unchanged. */
void router_reject(struct router *router, struct client_request *request, int status, const char *reason,
		   int64_t now, struct command_list *out);

/* Ends a request that may have run, as broken off. */
void router_break_off(struct router *router, struct client_request *request, int status, const char *reason,
		      int64_t now, struct command_list *out);

/* Ends a request in any state: as broken off if it may have run, else as refused or rejected according to the
 * status. */
void router_end_early(struct router *router, struct client_request *request, int status, const char *reason,
		      int64_t now, struct command_list *out);

/* Adds a request to the router's tables, which own it from then on. */
void router_request_add(struct router *router, struct client_request *request);

/* Finds a request by the token of its client, of its claim, or of its call to a server. NULL: there is none.
 */
struct client_request *router_request_by_token(struct router *router, uint64_t token);

/* Finds a request by its sequence number. NULL: there is none. */
struct client_request *router_request_by_sequence(const struct router *router, uint64_t sequence);

/* Frees all requests without replying to their clients; for the end of the process. */
void router_requests_discard(struct router *router);

/* Builds the body of an error response: {"error": reason, "outcome": outcome}. */
const char *router_error_body(apr_pool_t *pool, const char *reason, const char *outcome);

/* ---- router_deadlines.c ---------------------------------------------------------------------- */

/* Ends all requests that must not proceed without a configuration that is certain to be current. Runs before
 * anything else in a step. */
void router_end_without_config(struct router *router, int64_t now, struct command_list *out);

/* At each tick: ends queued requests that cannot be sent before their deadline, or for which there is no
 * server. */
void router_end_unservable(struct router *router, int64_t now, struct command_list *out);

/* At each tick: ends requests that cannot complete before the deadline of a graceful shutdown. */
void router_end_for_shutdown(struct router *router, int64_t now, struct command_list *out);

/* At each tick: ends requests that are past their deadline, and proposes claims again that were not answered.
 */
void router_end_expired(struct router *router, int64_t now, struct command_list *out);

/* ---- router_admission.c ---------------------------------------------------------------------- */

extern const char router_reason_no_server[]; /* reason of a refusal: there is no server for the request */

/* Admits a request of the product's own interface to its queue, or declines it. body: the request as JSON. */
void router_admit_claimed(struct router *router, uint64_t token, const char *key_digest, const char *body,
			  int64_t now, struct command_list *out);

/* Admits a forwarded request to its queue, or declines it. */
void router_admit_forwarded(struct router *router, const struct forwarded_request *incoming, int64_t now,
			    struct command_list *out);

/* Applies the newest route table to a forwarded request that no server works on: looks up its route, tenant
 * and service again. false: the request was ended. Example: if (!router_readmit(router, request, now, out))
 * return; */
bool router_readmit(struct router *router, struct client_request *request, int64_t now,
		    struct command_list *out);

/* ---- router_queue.c -------------------------------------------------------------------------- */

/* Returns the queue of a tenant on a route. Creates it if there is none yet, which invalidates pointers to
 * all queues. */
struct request_queue *router_queue_of(struct router *router, uint32_t route_index, uint32_t tenant_index);

/* The priority class of a queue: that of its tenant if it has one, else that of its route. The lowest class
 * is dispatched first. */
uint32_t router_priority_class_of(const struct route_table *routes, const struct request_queue *queue);

/* Expected remaining wait in ms of a request that has "before" other requests in front of it in its queue. */
double router_expected_wait_ms(const struct request_queue *queue, uint32_t requests_ahead, int64_t now);

/* Inserts a request into its queue, in order of admission. */
void router_queue_insert(struct router *router, struct client_request *request, int64_t now);

/* Removes a request from its queue; does nothing if it is not queued. */
void router_queue_remove(struct router *router, struct client_request *request);

/* Returns a request to the head of its queue and releases its quota slot. */
void router_queue_return(struct router *router, struct client_request *request, int64_t now);

/* Moves a request to the queue of another route or tenant, whether it is queued or holds a quota slot. */
void router_queue_move(struct router *router, struct client_request *request, uint32_t route_index,
		       uint32_t tenant_index, int64_t now);

/* ---- router_quota.c -------------------------------------------------------------------------- */

/* Takes a quota slot for a request. The concurrency limits of a tenant and of a route count slots; a request
 * holds one from when it leaves its queue. */
void router_quota_acquire(struct router *router, struct client_request *request);

/* Releases the quota slot of a request. */
void router_quota_release(struct router *router, struct client_request *request);

/* Whether the concurrency limits of a queue's tenant and route allow one more request. */
bool router_quota_has_slot(const struct router *router, const struct request_queue *queue);

/* Reports to the controllers, through the configuration watch, how many slots of each limit are in use and
 * how many are requested. Polls at once where slots are lacking. */
void router_request_quota_slots(struct router *router, int64_t now, struct command_list *out);

/* ---- router_claims.c ------------------------------------------------------------------------- */

/* Proposes a request's claim to the leader of its service's shard; the same claim may be proposed again. */
void router_claim_send(struct router *router, struct client_request *request, int64_t now,
		       struct command_list *out);

/* Handles a proposal that its leader did not answer: later proposals go to another controller, unless another
 * leader has been set in the meantime. */
void router_on_claim_unanswered(struct router *router, uint32_t service_index, uint64_t leader_addr);

/* Releases a claim, so that its request id may be used again. The release is proposed until it is committed.
 */
void router_claim_release(struct router *router, const struct client_request *request, int64_t now,
			  struct command_list *out);

/* Removes a release that is committed or expired; i is its index in the list of releases. */
void router_claim_release_drop(struct router *router, ptrdiff_t i);

/* Proposes unanswered releases again. */
void router_claim_releases_tick(struct router *router, int64_t now, struct command_list *out);

/* Handles a controller's reply to a claim or a release. */
void router_on_propose_reply(struct router *router, const struct Nl__ProposeReply *reply,
			     uint64_t sender_addr, int64_t now, struct command_list *out);

/* ---- router_dispatch.c ----------------------------------------------------------------------- */

/* Sends queued requests for as long as servers and quota allow: lower priority classes first, and within a
 * class by share. */
void router_dispatch(struct router *router, int64_t now, struct command_list *out);

/* Sends a request that has left its queue and is claimed; returns it to its queue if no server has capacity.
 */
void router_send(struct router *router, struct client_request *request, int64_t now,
		 struct command_list *out);

/* ---- router_retry.c -------------------------------------------------------------------------- */

/* A retry-after time for a condition that passes soon, with jitter. */
int router_retry_after_short_ms(struct router *router, int ms);

/* A retry-after time for an expected wait, bounded and with jitter, so that clients do not all retry at the
 * same moment. */
int router_retry_after_ms(struct router *router, double ms);

/* Whether the retry budget of a service allows another retry. */
bool router_retry_budget_allows(const struct router *router, uint32_t service_index);

/* Credits the first attempt of a request to the retry budget of its service. */
void router_retry_budget_add(struct router *router, uint32_t service_index);

/* Ends the association of a request with its server. The request keeps its quota slot. */
void router_detach_from_server(struct router *router, struct client_request *request, int64_t now);

/* Handles an attempt that did not complete: sends the request to another server if that is allowed, else ends
 * it. not_started: the request certainly did not run there. */
void router_retry_or_end(struct router *router, struct client_request *request, bool not_started, int64_t now,
			 struct command_list *out);

/* Cancels an attempt that has not begun as far as the router has observed, then continues like
 * router_retry_or_end. */
void router_recall_attempt(struct router *router, struct client_request *request, int64_t now,
			   struct command_list *out);

/* ---- router_placement.c ---------------------------------------------------------------------- */

/* A placement decision: the server for a request and what it fetches. */
struct plan {
	int server_index;       /* -1: no server can take the request now */
	int cached_blocks;      /* leading prompt blocks that are cached at the server */
	int fetch_source;       /* server or store to fetch further cached blocks from; -1: none */
	int blocks_after_fetch; /* leading prompt blocks that are cached at the server after the fetch */
	double cost_ms;
	double fetch_ms;    /* fetch time, including the wait for the link */
	double transfer_ms; /* transfer time alone, without the wait for the link */
	enum decision_reason reason;
	uint32_t candidate_count; /* number of servers that could take the request */
};

/* Whether a server accepts requests, according to the newest observations. */
bool router_server_is_serving(const struct router *router, uint32_t server_index, int64_t now);

/* Whether a request must avoid a server because that server has just returned it. */
bool router_avoids_server(const struct client_request *request, uint32_t server_index, int64_t now);

/* Tokens in the first block_count blocks of a prompt. */
uint64_t router_tokens_of_blocks(const struct client_request *request, int block_count);

/* Tokens of the complete prompt. */
uint64_t router_prompt_tokens(const struct client_request *request);

/* Number of leading blocks of a prompt that other requests may share: all but the last block, which is
 * specific to the request. */
int router_shared_block_count(const struct client_request *request);

/* The hash that selects the home server and the store of a prompt: that of the last shared block. */
uint64_t router_home_block_hash(const struct client_request *request);

/* ---- router_placement_claimed.c -------------------------------------------------------------- */

/* Chooses the server for a request of the product's own interface. */
struct plan router_place_claimed(struct router *router, const struct client_request *request, int64_t now);

/* Finds the replica of a block at a server that a request may use: made with the given weights, not isolated
 * from the request's tenant, not purged. NULL: there is none. */
const struct block_replica *router_usable_replica(struct router *router, const struct client_request *request,
						  uint64_t block_hash, uint32_t server_index,
						  uint32_t weights);

/* Records how long a fetch took and how many blocks it brought. 0 blocks: the server waited for the fetch
 * without result. */
void router_record_fetch(struct router *router, const struct client_request *request, int64_t took_ms,
			 int fetched_blocks, int64_t now);

/* ---- router_placement_forwarded.c ------------------------------------------------------------ */

enum { MAX_CANDIDATES = 8 };

/* The servers of one service that have the same weights, with what they cache of one request's prompt. */
struct generation {
	uint32_t weights;
	uint64_t cache_namespace; /* hash of the namespace's name */
	int store_depth;          /* leading blocks cached in the store */
	int fetch_source;         /* server or store to fetch from; -1: none */
	int source_depth;         /* leading blocks cached at fetch_source */
};

/* Chooses the server for a forwarded request. */
struct plan router_place_forwarded(struct router *router, const struct client_request *request, int64_t now);

/* Collects the servers that a request may go to in addition to those that cache its prefix: its home server
 * and a few alternatives. Returns their number, at most MAX_CANDIDATES. */
int router_candidates(struct router *router, const struct client_request *request, uint32_t *server_indices,
		      int64_t now);

/* Address of the store that a request's prefix is to be offloaded to after prefill; 0: none. */
uint64_t router_offload_target(struct router *router, const struct client_request *request,
			       uint64_t cache_namespace, int64_t now);

/* Index of the store for a request's prefix. Where there are several stores, a prefix always has the same
 * one. -1: none. */
int router_store_of(const struct router *router, const struct client_request *request);

/* ---- router_cost.c --------------------------------------------------------------------------- */

/* Load at a server: this router's requests and, as far as observed, those of other routers. */
struct server_load {
	uint32_t running_count;
	uint64_t prefill_tokens;
	uint64_t resident_tokens;
};

/* Returns the load at a server now. */
struct server_load router_server_load(const struct router *router, uint32_t server_index, int64_t now);

/* Cost in ms of a server's load: the expected wait before prefill begins, plus penalties for recent lateness,
 * for recent failures and for another zone. */
double router_load_cost_ms(const struct router *router, uint32_t server_index,
			   const struct service_config *service, int64_t now);

/* Tokens that a request adds to the memory of a server that caches the first cached_blocks blocks of its
 * prompt. */
uint32_t router_uncached_tokens(const struct client_request *request, int cached_blocks);

/* Whether a server can take one more request: without evicting cached blocks, and without a long wait there,
 * since more urgent requests of other routers could not overtake it at the server. A request that fits at no
 * server stays queued. */
bool router_fits_server(const struct router *router, const struct client_request *request,
			uint32_t server_index, int cached_blocks, const struct service_config *service,
			int64_t now);

/* How long a transfer that begins now would wait for a server's link, in ms. */
double router_link_wait_ms(const struct router *router, uint32_t server_index, int64_t now);

/* Records that a transfer of "ms" milliseconds begins at a server's link. */
void router_link_reserve(struct router *router, uint32_t server_index, double transfer_ms, int64_t now);

/* How long a transfer of cached blocks takes, without the wait for the link, in ms. */
double router_transfer_ms(const struct router *router, uint32_t from_server, uint32_t to_server,
			  double tokens, const struct service_config *service);

/* ---- router_namespace.c ---------------------------------------------------------------------- */

/* The name of the cache namespace for a request's blocks at servers with these weights. */
const char *router_cache_namespace(struct router *router, const struct client_request *request,
				   uint32_t weights, apr_pool_t *pool);

/* The key of a cached block in the prefix index; cache_namespace is the hash of the namespace's name. */
uint64_t router_block_key(uint64_t cache_namespace, uint64_t block_hash);

/* The scope and the purge generation in the name of a request's cache namespace: 32 bits for the scope, 32
 * bits for the generation. 0: the common scope, never purged. */
uint64_t router_namespace_key(struct router *router, const struct client_request *request);

/* Reads the scope and generation (router_namespace_key) from a namespace's name. */
uint64_t router_namespace_key_from_text(const char *cache_namespace);

/* ---- router_retention.c ---------------------------------------------------------------------- */

/* Adds the cache scope that a retention row of the configuration defines to a route table. */
void router_add_cache_scope(struct router *router, struct route_table *routes, const struct Nl__Row *row);

/* Index of the narrowest scope with its own purges that contains a route and a tenant; -1: none. */
int router_find_cache_scope(const struct route_table *routes, uint32_t route_index, uint32_t tenant_index);

/* Number of the newest purge that covers the namespaces of a scope in a slice; scope -1: the common
 * namespaces. 0: no purge has covered them. */
uint64_t router_purge_generation(struct router *router, int scope, uint32_t slice);

/* Handles a context purge from the purge stream: drops usage records that it covers. With the last slice of
 * the purge it requests new reports from the servers and starts a scan for remainders. */
void router_on_context_purge(struct router *router, const struct Nl__Value *value, int64_t now);

/* Reports to the controllers which servers still cache blocks from before a purge, and which share of
 * requests waits. */
void router_retention_tick(struct router *router, int64_t now);

/* Whether no purge that this router has received covers a block with this stamp. */
bool router_allows_context(const struct router *router, uint32_t service_index, uint32_t tenant_index,
			   uint64_t block_hash, uint64_t stamp_tick);

/* ---- router_prefix_lookup.c ------------------------------------------------------------------ */

/* Collects the generations of weights that servers of a request's service have. Returns their number, at most
 * MAX_WEIGHTS_GENERATIONS. */
int router_weight_generations(struct router *router, const struct client_request *request,
			      struct generation *generations);

/* Sets servers.cached_depth to the number of leading blocks that each server caches, and store_depth of each
 * generation to that of the store. */
void router_prefix_depths(struct router *router, const struct client_request *request,
			  struct generation *generations, int generation_count, int store);

/* Initialises the state of prefix lookups with an assumed round trip time. */
void router_lookup_init(struct router *router);

/* Sends the head of the zone a lookup of which servers cache a request's prefix. */
void router_lookup_send(struct router *router, struct client_request *request, int64_t now,
			struct command_list *out);

/* Whether a request still waits for the reply to its lookup; counts the lookup as missed after its deadline.
 */
bool router_is_awaiting_lookup(struct router *router, struct client_request *request, int64_t now);

/* Replies to a prefix lookup of another router. */
void router_on_prefix_lookup(struct router *router, const struct Nl__Msg *message, struct command_list *out);

/* Handles the reply to a prefix lookup; the request need not wait any longer. */
void router_on_prefix_reply(struct router *router, const struct Nl__PrefixLookupReply *reply, int64_t now);

/* ---- router_weights.c ------------------------------------------------------------------------ */

/* The time by which a request on these weights must have begun at a server of the service, on this router's
 * clock. INT64_MAX: no newer weights are the target. INT64_MIN: newer weights are the target, but their date
 * is unknown. */
int64_t router_weights_begin_deadline_ms(const struct router *router, uint32_t service_index,
					 uint32_t weights, int64_t now);

/* The time until which a request may be sent to a server with these weights, so that it can begin in time;
 * special values as for router_weights_begin_deadline_ms. */
int64_t router_weights_send_deadline_ms(const struct router *router, uint32_t service_index, uint32_t weights,
					int64_t now);

/* Records a server's weights from its answer or from the endpoint list, unless they are older than those
 * already recorded. */
void router_weights_record(struct router *router, uint32_t server_index, uint32_t weights);

/* The index of the weights with this name, added if it is new. -1: the name is too long, or there are too
 * many names. */
int router_weights_find_or_add(struct router *router, const char *name);

/* Logs the target weights that changed with a new route table; old_routes is the previous one or NULL. */
void router_weights_log_targets(struct router *router, const struct route_table *old_routes, int64_t now);

/* Checks when a request is sent that its weights are not past their bound; counts and logs a violation. */
void router_weights_check_send(struct router *router, const struct client_request *request, int64_t now);

/* Checks when a request's first chunk arrives that it did not begin past the bound of its weights; counts and
 * logs a violation. */
void router_weights_check_begin(struct router *router, const struct client_request *request, int64_t now);

/* Cancels attempts that have not begun shortly before the bound of their weights, and sends the requests
 * elsewhere if possible. */
void router_weights_recall(struct router *router, int64_t now, struct command_list *out);

/* ---- router_send_claimed.c ------------------------------------------------------------------- */

/* Sends a request of the product's own interface to the server of a plan. */
void router_call_server(struct router *router, struct client_request *request, const struct plan *plan,
			int64_t now, struct command_list *out);

/* Handles one line of a server's answer on the product's own interface. */
void router_on_stream_chunk(struct router *router, struct client_request *request, const char *text,
			    int64_t now, struct command_list *out);

/* Handles the end of a server's answer on the product's own interface if its last line has not ended the
 * request. status 0: there was no answer. */
void router_on_call_ended(struct router *router, struct client_request *request, int status, bool not_started,
			  int64_t now, struct command_list *out);

/* Counts the first attempt of a request, of either interface. */
void router_count_send(struct router *router, struct client_request *request, const struct plan *plan,
		       int64_t now);

/* ---- router_send_forwarded.c ----------------------------------------------------------------- */

/* Forwards a request to the server of a plan; the front end sends the request's bytes. */
void router_forward_to_server(struct router *router, struct client_request *request, const struct plan *plan,
			      int64_t now, struct command_list *out);

/* Handles that the first chunk was sent to the client. weights: name of the weights in the server's answer;
 * NULL: none. */
void router_on_forward_began(struct router *router, struct client_request *request, const char *weights,
			     int64_t now);

/* Handles the end of an attempt. */
void router_on_forward_ended(struct router *router, struct client_request *request,
			     const struct forward_result *result, int64_t now, struct command_list *out);

/* ---- router_load.c --------------------------------------------------------------------------- */

/* Publishes this router's load, and sums of load as the head of a zone, when due. */
void router_load_tick(struct router *router, int64_t now, struct command_list *out);

/* Handles a load message of another router. */
void router_on_load(struct router *router, uint64_t router_id, uint64_t addr, const struct Nl__Load *load,
		    int64_t now);

/* Returns the load of all routers at a server, as far as this router has received it. false: none has been
 * received. */
bool router_fleet_load(const struct router *router, uint32_t server_index, struct load_counts *total);

/* Records the load of all routers at one server, from a reply of the head of the zone. */
void router_load_record(struct router *router, uint32_t server_index, const struct load_counts *total);

/* Frees all load records. */
void router_load_clear(struct router *router);

/* ---- router_cache_feed.c --------------------------------------------------------------------- */

/* Queues the changes in a server's reply to a cache watch for the routers of the zone. Must be called before
 * the reply is applied here. */
void router_feed_add(struct router *router, uint32_t server_index, const struct Nl__CacheUpdate *update);

/* Sends queued cache changes to the routers of the zone when due, within the feed's share of the link. */
void router_feed_tick(struct router *router, int64_t now, struct command_list *out);

/* Drops all queued cache events. */
void router_feed_clear(struct router *router);

/* ---- router_cache_watch.c -------------------------------------------------------------------- */

/* Starts the watches of servers' prefix caches that are due; does nothing unless this router is the head of
 * its zone. */
void router_start_cache_watches(struct router *router, int64_t now, struct command_list *out);

/* Handles a server's reply to a cache watch; update is NULL if there was none. */
void router_on_cache_watch_reply(struct router *router, uint64_t token, const struct Nl__CacheUpdate *update,
				 int status, int64_t now);

/* Applies a cache update (blocks added and removed at a server) to the prefix index. It comes from a watch or
 * from the head of the zone. */
void router_on_cache_update(struct router *router, const struct Nl__CacheUpdate *update, int64_t now);

/* ---- router_purge.c -------------------------------------------------------------------------- */

/* Handles a value of the purge stream: drops the block replicas that a purge covers from the prefix index.
 * context is the router. */
void router_on_purge_value(void *context, const struct Nl__Value *value);

/* ---- router_reports.c ------------------------------------------------------------------------ */

/* Polls the servers whose reports are due; product's own interface. */
void router_poll_reports(struct router *router, int64_t now, struct command_list *out);

/* Handles the reply to a report poll: applies the report and relays it to downstream routers. */
void router_on_report_reply(struct router *router, uint64_t token, int status, const char *body, int64_t now,
			    struct command_list *out);

/* Applies a server's report that a relay has forwarded. */
void router_on_relayed_report(struct router *router, const struct Nl__Report *report, int64_t now,
			      struct command_list *out);

/* ---- router_metrics.c, router_status.c ------------------------------------------------------- */

/* This router's metrics in the Prometheus text format. */
const char *router_metrics(const struct router *router, int64_t now, apr_pool_t *pool);

/* In an experiment, logs the sums of decisions of each route when due. */
void router_log_decisions(struct router *router, int64_t now);

/* The sums of decisions for a request's route. */
struct decision_counts *router_decision_counts_of(struct router *router,
						  const struct client_request *request);

/* Answers a GET request for this router's own state. */
void router_on_http_get(struct router *router, uint64_t token, const char *path, int64_t now,
			struct command_list *out);

/* The usage record of a request's tenant on its route. */
struct usage_entry *router_usage_of(struct router *router, const struct client_request *request);

#endif
