/* router_internal: what the files of the router's step share with each other, by file. Not for other modules.
 * All functions run within one router_step; now is its time in ms, out takes its commands. Unless a comment
 * says otherwise, texts that are returned live in out->pool or in the pool given, and pointers into arrays
 * hold until something is added to the array. */
#ifndef NL_ROUTER_INTERNAL_H
#define NL_ROUTER_INTERNAL_H

#include <json-c/json.h>

#include "router.h"

/* The configuration of a server, by its index. */
static inline const struct server_config *server_config_of(const struct router *router, uint32_t server_index)
{
	return &router->config.server_table->servers[server_index];
}

/* Whether a mechanism is in use; an experiment may have switched it off. */
static inline bool mechanism_in_use(const struct router *router, enum mechanism mechanism)
{
	return mechanism_on(router->config.bounds.disabled_mechanisms, mechanism);
}

/* ---- router.c -------------------------------------------------------------------------------- */

/* Parses a JSON text with the router's tokener. The caller puts the object; NULL: it is no JSON. */
struct json_object *router_read_json(struct router *router, const char *text);

/* A token for a claim or a call. Clients' tokens count from 1 up, so these have the highest bit set. */
uint64_t router_token_new(struct router *router);

/* An interval between messages to other routers, stretched where there are more than 16 of them.
 * Example: router_scaled_interval_ms(router, 50) is 50 for up to 16 routers, and 200 for 64 and more. */
int router_scaled_interval_ms(const struct router *router, int ms);

/* ---- router_config.c ------------------------------------------------------------------------- */

/* Takes a message of the configuration's watch, and puts newer tables in force. */
void router_on_config_message(struct router *router, const struct Nl__Msg *message, int64_t now,
			      struct command_list *out);

/* For how long after its last confirmation a configuration may be acted on, in ms. */
int router_max_staleness_ms(const struct router *router);

/* Whether the configuration here is certain to be in force, or not stale for longer than is allowed. */
bool router_config_in_force(const struct router *router, int64_t now);

/* ---- router_route_table.c, router_server_table.c --------------------------------------------- */

/* Builds the route table of the configuration that the router has now. Freed by router_route_table_free. */
struct route_table *router_route_table_new(struct router *router, int64_t now);

/* Frees a table; NULL is allowed. */
void router_route_table_free(struct route_table *routes);

/* Key of a route in route_table.matches: its host, and the first path_length bytes of a path.
 * Example: hmget(routes->matches, router_match_key("a.example", "/x/", 3)) */
uint64_t router_match_key(const char *host, const char *path, size_t path_length);

/* A tenant's share on a route, and its concurrency limit there; UINT32_MAX: none is set. */
void router_share_of(const struct route_table *routes, uint32_t route_index, uint32_t tenant_index,
		     uint32_t *share, uint32_t *limit);

/* Builds the server table from the configuration and the endpoint list. Needs a route table. Freed by
 * router_server_table_free. */
struct server_table *router_server_table_new(struct router *router, int64_t now);

/* Frees a table; NULL is allowed. */
void router_server_table_free(struct server_table *servers);

/* Frees all names of a table. */
void names_clear(struct name_table *table);

/* ---- router_outcome.c ------------------------------------------------------------------------ */

/* How a request ends, and what its client is told. */
struct request_ending {
	enum request_outcome outcome;
	int status;         /* HTTP */
	const char *reason; /* a text; of REQUEST_ANSWERED the last chunk of an answer of the own interface */
	int retry_after_ms; /* of refused requests */
};

/* The one way for a request to end: tells its client, counts the outcome, and frees the request. What may
 * have run is never refused or rejected: it counts as broken off. Example: router_request_end(router,
 * request, &(struct request_ending){ REQUEST_ANSWERED, 200, NULL, 0 }, now, out); */
void router_request_end(struct router *router, struct client_request *request,
			const struct request_ending *ending, int64_t now, struct command_list *out);

/* The same for a request that was never queued; token is its client's. */
void router_decline(struct router *router, uint64_t token, const struct request_ending *ending,
		    struct command_list *out);

/* Ends a request that has not run. retry_after_ms is lengthened by jitter. */
void router_refuse(struct router *router, struct client_request *request, int status, const char *reason,
		   double retry_after_ms, int64_t now, struct command_list *out);

/* Ends a request that has not run and is not to come back. */
void router_reject(struct router *router, struct client_request *request, int status, const char *reason,
		   int64_t now, struct command_list *out);

/* Ends a request that may have run. */
void router_break_off(struct router *router, struct client_request *request, int status, const char *reason,
		      int64_t now, struct command_list *out);

/* Ends a request in whatever state it is: broken off if it may have run, else refused or rejected, as the
 * status says. */
void router_end_early(struct router *router, struct client_request *request, int status, const char *reason,
		      int64_t now, struct command_list *out);

/* Adds a request to the router's tables, which own it from now on. */
void router_request_add(struct router *router, struct client_request *request);

/* The request with this token of its client, its claim or its call; NULL: none. */
struct client_request *router_request_by_token(struct router *router, uint64_t token);

/* The request with this sequence number; NULL: none. */
struct client_request *router_request_by_sequence(const struct router *router, uint64_t sequence);

/* Frees all requests without a word to their clients: the process ends. */
void router_requests_discard(struct router *router);

/* The body of an error answer: {"error": reason, "outcome": outcome}. */
const char *router_error_body(apr_pool_t *pool, const char *reason, const char *outcome);

/* ---- router_deadlines.c ---------------------------------------------------------------------- */

/* Ends all that may no longer be done without a certain configuration. Before anything else of a step. */
void router_end_without_config(struct router *router, int64_t now, struct command_list *out);

/* At each tick: ends what waits and cannot be sent before its deadline, or has no server. */
void router_end_hopeless(struct router *router, int64_t now, struct command_list *out);

/* At each tick: ends what a graceful shutdown leaves no time for. */
void router_end_draining(struct router *router, int64_t now, struct command_list *out);

/* At each tick: ends what is past its deadline, and proposes claims again that were not answered. */
void router_end_expired(struct router *router, int64_t now, struct command_list *out);

/* ---- router_admission.c ---------------------------------------------------------------------- */

extern const char router_no_server[]; /* a reason for refusals */

/* Admits a request of the own interface to its queue, or declines it. body: JSON. */
void router_admit_claimed(struct router *router, uint64_t token, const char *key_digest, const char *body,
			  int64_t now, struct command_list *out);

/* Admits a request that is forwarded to its queue, or declines it. */
void router_admit_forwarded(struct router *router, const struct forwarded_request *incoming, int64_t now,
			    struct command_list *out);

/* Places a forwarded request that no server works on by the newest route table: its route, tenant and service
 * are looked up again. false: that ended the request. Example: if (!router_readmit(router, request, now,
 * out)) return; */
bool router_readmit(struct router *router, struct client_request *request, int64_t now,
		    struct command_list *out);

/* ---- router_queue.c -------------------------------------------------------------------------- */

/* The queue of a tenant on a route; made where it is new, which moves all queues. */
struct request_queue *router_queue_of(struct router *router, uint32_t route_index, uint32_t tenant_index);

/* The class that a queue is dispatched in: its tenant's, where that has one, else its route's. The lowest
 * goes first. */
uint32_t router_priority_class_of(const struct route_table *routes, const struct request_queue *queue);

/* How long a request with so many others before it in its queue has yet to wait, in ms. */
double router_expected_wait_ms(const struct request_queue *queue, uint32_t before, int64_t now);

/* Into its queue, in order of admission. */
void router_queue_insert(struct router *router, struct client_request *request, int64_t now);

/* Out of its queue; nothing where it is not in it. */
void router_queue_remove(struct router *router, struct client_request *request);

/* Back to the head of its queue, with its slot of the quota released. */
void router_queue_return(struct router *router, struct client_request *request, int64_t now);

/* To the queue of another route or tenant, whether it waits or holds a slot. */
void router_queue_move(struct router *router, struct client_request *request, uint32_t route_index,
		       uint32_t tenant_index, int64_t now);

/* ---- router_quota.c -------------------------------------------------------------------------- */

/* A slot is what the concurrency limits of a tenant and a route count: held from when a request leaves its
 * queue. */
void router_quota_acquire(struct router *router, struct client_request *request);

/* Gives the slot back. */
void router_quota_release(struct router *router, struct client_request *request);

/* Whether the limits of a queue's tenant and route leave a slot for one more. */
bool router_quota_has_slot(const struct router *router, const struct request_queue *queue);

/* Tells the configuration's watch what is used and requested of each limit; polls at once where slots are
 * lacking. */
void router_request_slots(struct router *router, int64_t now, struct command_list *out);

/* ---- router_claims.c ------------------------------------------------------------------------- */

/* Proposes a request's claim to the leader of its service's shard; the same claim may be proposed again. */
void router_claim_send(struct router *router, struct client_request *request, int64_t now,
		       struct command_list *out);

/* The leader that was asked did not answer: another one is tried, unless that has been decided meanwhile. */
void router_claim_miss(struct router *router, uint32_t service_index, uint64_t leader_addr);

/* Gives a claim up, so that its id may be used again; proposed until it is committed. */
void router_claim_release(struct router *router, const struct client_request *request, int64_t now,
			  struct command_list *out);

/* Drops a release that is committed or expired, by its place in the list. */
void router_release_end(struct router *router, ptrdiff_t i);

/* Proposes releases again that have not been answered. */
void router_releases_tick(struct router *router, int64_t now, struct command_list *out);

/* A controller's answer to a claim or a release. */
void router_on_propose_reply(struct router *router, const struct Nl__ProposeReply *reply, uint64_t from,
			     int64_t now, struct command_list *out);

/* ---- router_dispatch.c ----------------------------------------------------------------------- */

/* Sends what waits for as long as servers and quota allow: by class, then by share. */
void router_dispatch(struct router *router, int64_t now, struct command_list *out);

/* Sends a request that is out of its queue and claimed; returns it to its queue where no server has
 * capacity. */
void router_send(struct router *router, struct client_request *request, int64_t now,
		 struct command_list *out);

/* ---- router_retry.c -------------------------------------------------------------------------- */

/* Retry-after for a reason that passes soon, with jitter. */
int router_retry_fast_ms(struct router *router, int ms);

/* Retry-after for an expected time, bounded and with jitter, so that clients do not all come back at once. */
int router_retry_after_ms(struct router *router, double ms);

/* A first send adds to its service's retry budget. */
void router_retry_earn(struct router *router, uint32_t service_index);

/* A request's server has nothing more to do with it. The request keeps its slot of the quota. */
void router_release_server(struct router *router, struct client_request *request, int64_t now);

/* After a send that did not end completely: sends the request to another server if it may be, else ends it.
 * not_started: it surely has not run. */
void router_retry_or_end(struct router *router, struct client_request *request, bool not_started, int64_t now,
			 struct command_list *out);

/* Cancels a send that has not begun as far as is known; then as above. */
void router_recall(struct router *router, struct client_request *request, int64_t now,
		   struct command_list *out);

/* ---- router_placement.c ---------------------------------------------------------------------- */

/* Where a request is to be sent. */
struct plan {
	int server_index;  /* -1: nowhere, for now */
	int cached_blocks; /* leading blocks cached there */
	int fetch_source;  /* server or store that gives more; -1: none */
	int fetch_end;     /* blocks that are there after the fetch */
	double cost_ms;
	double fetch_ms;    /* with its wait for the link */
	double transfer_ms; /* of the link alone */
	enum decision_reason reason;
	uint32_t candidates; /* servers that were open */
};

/* Whether a server accepts requests as far as is known. */
bool router_server_is_serving(const struct router *router, uint32_t server_index, int64_t now);

/* Whether a request is not to go to a server, since that has just returned it. */
bool router_avoids_server(const struct client_request *request, uint32_t server_index, int64_t now);

/* Tokens of the first blocks of a prompt. */
uint64_t router_tokens_of_blocks(const struct client_request *request, int block_count);

/* Tokens of the prompt. */
uint64_t router_prompt_tokens(const struct client_request *request);

/* Leading blocks of a prompt that other requests may have too: all but the last, which is the request's
 * own. */
int router_shared_blocks(const struct client_request *request);

/* The hash by which a prompt's home server and its store are chosen: of the last shared block. */
uint64_t router_home_block(const struct client_request *request);

/* ---- router_placement_claimed.c -------------------------------------------------------------- */

/* Chooses the server for a request of the own interface. */
struct plan router_placement_claimed(struct router *router, const struct client_request *request,
				     int64_t now);

/* The replica of a block at a server, if the request may use it: of those weights, not isolated, not purged.
 * NULL: none. */
const struct block_replica *router_usable_replica(struct router *router, const struct client_request *request,
						  uint64_t block_hash, uint32_t server_index,
						  uint32_t weights);

/* Remembers how long a fetch took, and how many blocks it brought; 0 blocks: it was waited for in vain. */
void router_record_fetch(struct router *router, const struct client_request *request, int64_t took_ms,
			 int fetched_blocks, int64_t now);

/* ---- router_placement_forwarded.c ------------------------------------------------------------ */

enum { MAX_CANDIDATES = 8 };

/* Servers of a service that have the same weights, as seen by one request. */
struct generation {
	uint32_t weights;
	uint64_t cache_namespace; /* hash of its name */
	int store_depth;          /* leading blocks in the store */
	int fetch_source;         /* server or store to fetch from; -1: none */
	int source_depth;         /* leading blocks there */
};

/* Chooses the server for a forwarded request. */
struct plan router_placement_forwarded(struct router *router, const struct client_request *request,
				       int64_t now);

/* The servers that a request may go to, besides those that cache its prefix: its home and a few others.
 * Returns their number, at most MAX_CANDIDATES. */
int router_candidates(struct router *router, const struct client_request *request, uint32_t *server_indices,
		      int64_t now);

/* Address of the store that a request's prefix is to be offloaded to once it is prefilled; 0: none. */
uint64_t router_offload_target(struct router *router, const struct client_request *request,
			       uint64_t cache_namespace, int64_t now);

/* The store of a request's prefix, by index; of several always the same. -1: none. */
int router_store_of(const struct router *router, const struct client_request *request);

/* ---- router_cost.c --------------------------------------------------------------------------- */

/* What is under way at a server, own sends and others' as far as they are known. */
struct server_load {
	uint32_t running;
	uint64_t prefill_tokens;
	uint64_t resident_tokens;
};

/* What is under way at a server now. */
struct server_load router_server_load(const struct router *router, uint32_t server_index, int64_t now);

/* How long a send would wait at a server before its prefill, and what makes the server risky, in ms. */
double router_load_ms(const struct router *router, uint32_t server_index,
		      const struct service_config *service, int64_t now);

/* Tokens that a request adds to the memory of a server that caches so many of its leading blocks. */
uint32_t router_uncached_tokens(const struct client_request *request, int cached_blocks);

/* Whether one more request fits beside what runs at a server: without evicting cached blocks, and without a
 * long wait there, where no more urgent request of another router could overtake it. What fits nowhere waits
 * in its queue. */
bool router_fits_server(const struct router *router, const struct client_request *request,
			uint32_t server_index, int cached_blocks, const struct service_config *service,
			int64_t now);

/* How long a transfer that begins now would wait at a server's link, in ms. */
double router_link_wait_ms(const struct router *router, uint32_t server_index, int64_t now);

/* A transfer of so many ms begins at a server's link. */
void router_link_reserve(struct router *router, uint32_t server_index, double ms, int64_t now);

/* How long a transfer of cached blocks takes, without waiting, in ms. */
double router_transfer_ms(const struct router *router, uint32_t from_server, uint32_t to_server,
			  double tokens, const struct service_config *service);

/* ---- router_namespace.c ---------------------------------------------------------------------- */

/* The name under which blocks of a request are cached at servers with these weights. */
const char *router_cache_namespace(struct router *router, const struct client_request *request,
				   uint32_t weights, apr_pool_t *pool);

/* Key of a cached block in the prefix index; cache_namespace is the hash of the namespace's name. */
uint64_t router_block_key(uint64_t cache_namespace, uint64_t block_hash);

/* What the name of a request's namespace says of purges: 32 bits of its scope, 32 of its generation; 0:
 * neither. */
uint64_t router_namespace_key(struct router *router, const struct client_request *request);

/* The same, read from a name. */
uint64_t router_namespace_key_from_text(const char *cache_namespace);

/* ---- router_retention.c ---------------------------------------------------------------------- */

/* Adds the cache scope that a row of retention makes to a route table. */
void router_scope_row(struct router *router, struct route_table *routes, const struct Nl__Row *row);

/* The narrowest scope of a route and a tenant that is purged by itself, by its place in the table; -1:
 * none. */
int router_scope(const struct route_table *routes, uint32_t route_index, uint32_t tenant_index);

/* The newest purge that covers a scope's namespaces of a slice; scope -1: the common namespaces. 0: none ever
 * did. */
uint64_t router_generation(struct router *router, int scope, uint32_t slice);

/* A purge of context has arrived: usage of what it covers is dropped, and a scan for remainders begins. */
void router_on_context_purge(struct router *router, const struct Nl__Value *value, int64_t now);

/* Reports what servers still cache of before a purge, and how far queues are from free capacity. */
void router_retention_tick(struct router *router, int64_t now);

/* Whether the purges known here let a block be kept. */
bool router_retains(const struct router *router, uint32_t service_index, uint32_t tenant_index,
		    uint64_t block_hash, uint64_t stamp_tick);

/* ---- router_prefix_lookup.c ------------------------------------------------------------------ */

/* The generations of weights that servers of a request's service have. Returns their number, at most
 * MAX_GENERATIONS. */
int router_generations(struct router *router, const struct client_request *request,
		       struct generation *generations);

/* Fills servers.cached_depth with how many leading blocks each server caches, and store_depth of each
 * generation. */
void router_prefix_depths(struct router *router, const struct client_request *request,
			  struct generation *generations, int generation_count, int store);

/* Prepares lookups: nothing is known of how long they take. */
void router_lookup_open(struct router *router);

/* Asks the head of the zone who caches a request's prefix. */
void router_lookup_send(struct router *router, struct client_request *request, int64_t now,
			struct command_list *out);

/* Whether a request still waits for the answer. */
bool router_lookup_waits(struct router *router, struct client_request *request, int64_t now);

/* Another router asks. */
void router_on_prefix_lookup(struct router *router, const struct Nl__Msg *message, struct command_list *out);

/* The head has replied: the request need not wait any more. */
void router_on_prefix_reply(struct router *router, const struct Nl__PrefixLookupReply *reply, int64_t now);

/* ---- router_weights.c ------------------------------------------------------------------------ */

/* When work on these weights must have begun at a server of the service, on this router's clock. INT64_MAX:
 * no newer ones are the target; INT64_MIN: it is not known when. */
int64_t router_weights_end(const struct router *router, uint32_t service_index, uint32_t weights,
			   int64_t now);

/* Until when a send may leave for such a server, so that it has time to begin; like router_weights_end. */
int64_t router_weights_last_send(const struct router *router, uint32_t service_index, uint32_t weights,
				 int64_t now);

/* Takes a server's weights as its answer or the endpoint list says, unless they are older than those
 * known. */
void router_weights_learn(struct router *router, uint32_t server_index, uint32_t weights);

/* The same by name, as reports and answers say them. -1: the name is too long, or too many are known. */
int router_weights_index(struct router *router, const char *name);

/* Logs new target weights that a newer route table brings. */
void router_weights_log_targets(struct router *router, const struct route_table *old, int64_t now);

/* Checks the invariant where a send leaves. */
void router_weights_check_send(struct router *router, const struct client_request *request, int64_t now);

/* The same where its begin is noticed. */
void router_weights_check_begin(struct router *router, const struct client_request *request, int64_t now);

/* Recalls sends that have not begun shortly before their weights' bound. */
void router_weights_recall(struct router *router, int64_t now, struct command_list *out);

/* ---- router_send_claimed.c ------------------------------------------------------------------- */

/* Sends a request of the own interface where a plan says. */
void router_send_to(struct router *router, struct client_request *request, const struct plan *plan,
		    int64_t now, struct command_list *out);

/* One line of a server's answer, own interface. */
void router_on_stream_chunk(struct router *router, struct client_request *request, const char *text,
			    int64_t now, struct command_list *out);

/* The end of a server's answer, own interface, where its last line has not ended the request. status 0: there
 * was no answer. */
void router_on_call_ended(struct router *router, struct client_request *request, int status, bool not_started,
			  int64_t now, struct command_list *out);

/* Counts a request's first send, of either interface. */
void router_count_send(struct router *router, struct client_request *request, const struct plan *plan,
		       int64_t now);

/* ---- router_send_forwarded.c ----------------------------------------------------------------- */

/* Forwards a request where a plan says; its text goes from the front end. */
void router_forward(struct router *router, struct client_request *request, const struct plan *plan,
		    int64_t now, struct command_list *out);

/* The first chunk has gone to the client. weights: that the server named; NULL: none. */
void router_on_began(struct router *router, struct client_request *request, const char *weights, int64_t now);

/* The send has ended. */
void router_on_ended(struct router *router, struct client_request *request,
		     const struct forward_result *result, int64_t now, struct command_list *out);

/* ---- router_load.c --------------------------------------------------------------------------- */

/* Publishes load where it is due. */
void router_load_tick(struct router *router, int64_t now, struct command_list *out);

/* Load that another router publishes. */
void router_on_load(struct router *router, uint64_t router_id, uint64_t addr, const struct Nl__Load *load,
		    int64_t now);

/* What all routers have under way at a server, as far as this one knows. false: nothing is known. */
bool router_fleet_load(const struct router *router, uint32_t server_index, struct load_cell *all);

/* The head of the zone says so of one server. */
void router_load_learn(struct router *router, uint32_t server_index, const struct load_cell *all);

/* Frees all that is known of load. */
void router_load_clear(struct router *router);

/* ---- router_cache_feed.c --------------------------------------------------------------------- */

/* A server's answer to a watch, before it is applied here: what of it goes to the zone. */
void router_feed_add(struct router *router, uint32_t server_index, const struct Nl__CacheUpdate *update);

/* Sends the zone what is due, within the feed's share of the link. */
void router_feed_tick(struct router *router, int64_t now, struct command_list *out);

/* Drops all events that wait. */
void router_feed_clear(struct router *router);

/* ---- router_cache_watch.c -------------------------------------------------------------------- */

/* Watches servers' prefix caches, as the head of a zone does. */
void router_watch_caches(struct router *router, int64_t now, struct command_list *out);

/* A server's answer to a watch; update is NULL where there was none. */
void router_on_cache_watched(struct router *router, uint64_t token, const struct Nl__CacheUpdate *update,
			     int status, int64_t now);

/* What a server caches from now on, and no longer, from a watch or from the head of the zone. */
void router_on_cache_update(struct router *router, const struct Nl__CacheUpdate *update, int64_t now);

/* ---- router_purge.c -------------------------------------------------------------------------- */

/* A purge has arrived: drops what it withdraws from the prefix index. context is the router. */
void router_on_value(void *context, const struct Nl__Value *value);

/* ---- router_reports.c ------------------------------------------------------------------------ */

/* Polls reports of servers that are due, own interface. */
void router_poll_reports(struct router *router, int64_t now, struct command_list *out);

/* A server's report, polled here: applies it, and sends it on to downstream routers. */
void router_on_report_polled(struct router *router, uint64_t token, int status, const char *body, int64_t now,
			     struct command_list *out);

/* A server's report that a relay has sent on. */
void router_on_relayed_report(struct router *router, const struct Nl__Report *report, int64_t now,
			      struct command_list *out);

/* ---- router_metrics.c, router_status.c ------------------------------------------------------- */

/* What this router counts, in the Prometheus text format. */
const char *router_metrics(const struct router *router, int64_t now, apr_pool_t *pool);

/* In an experiment, logs sums of decisions by route when due. */
void router_log_decisions(struct router *router, int64_t now);

/* Sums of decisions of a request's route. */
struct decision_counts *router_decision_counts_of(struct router *router,
						  const struct client_request *request);

/* Answers GET of this router's own state. */
void router_on_http_get(struct router *router, uint64_t token, const char *path, int64_t now,
			struct command_list *out);

/* Usage of a request's tenant on its route. */
struct usage_entry *router_usage_of(struct router *router, const struct client_request *request);

#endif
