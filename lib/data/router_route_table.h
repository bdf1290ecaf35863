/* router_route_table: the configuration in the form that routing and placement use. Names are converted to
 * dense indices once, so that later lookups use arrays. A route table and a server table are immutable: a
 * newer revision is built separately and then replaces the one in force in one step (router_config.c). */
#ifndef NL_ROUTER_ROUTE_TABLE_H
#define NL_ROUTER_ROUTE_TABLE_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct Nl__Row;

struct name_entry {
	char *key;
	uint32_t value; /* index of the name */
};

/* Dense indices for names. An index stays assigned to its name for the lifetime of the process. */
struct name_table {
	struct name_entry *index; /* stb_ds */
	char **names;             /* stb_ds, by index; owns the strings */
};

/* Returns the index of a name, adding the name if it is new. Example:
 * names_find_or_add(&router->names.weights, "3")
 */
uint32_t names_find_or_add(struct name_table *table, const char *name);

/* Returns the index of a name; -1: the name has no index. */
int names_find(const struct name_table *table, const char *name);

/* One service of a route whose requests are split among several services. */
struct route_split {
	uint32_t service_index;
	uint32_t cumulative_weight; /* sum of the weights up to and including this service */
};

/* A route: the host and path of its requests and the service that serves them. Times of 0 are not set. */
struct route_config {
	bool is_configured;
	bool resumable;    /* its answers are streams, and a broken one may be resumed after its last event */
	bool idempotent;   /* a request may run more than once */
	bool key_optional; /* requests need no client key */
	uint32_t service_index;
	uint32_t priority;               /* priority class; the lowest is dispatched first */
	uint32_t max_waiting_per_tenant; /* maximum number of waiting requests of one tenant */
	uint32_t latency_target_ms;
	uint32_t max_chunk_gap_ms; /* maximum time between two chunks of an answer */
	uint32_t timeout_ms;
	uint32_t max_attempts;
	const char *host; /* in the form of host_name_normalize; "": requests cannot name it */
	const char *path;
	const struct route_split *splits;
	uint32_t split_count;
};

/* A tenant. Its requests share its quota and cached blocks. */
struct tenant_config {
	bool is_configured;
	bool is_isolated; /* its cached blocks are not shared with other tenants */
	uint32_t share;
	uint32_t concurrency_limit;
	uint32_t priority_class; /* priority class + 1; 0: the class of the route applies */
};

/* A service: servers that run the same model, and their speeds, which placement uses as estimates. */
struct service_config {
	bool is_configured;
	uint32_t target_weights_index; /* index of the target version of the weights */
	uint32_t prefill_tokens_per_ms;
	uint32_t kv_bytes_per_token;
	uint32_t link_bytes_per_ms;  /* speed of the links between servers */
	uint32_t store_bytes_per_ms; /* speed of the link of the offload store */
	uint32_t max_connections;    /* maximum connections to one server from all routers together */
	uint64_t capacity_tokens;    /* memory of one server, in tokens; 0: unknown */
	int store_server_index;      /* server index of the service's own offload store; -1: none */
	/* rollout dates of the target weights; NULL: no rollout bound applies */
	const struct Nl__Row *model_row;
};

/* An entry of the map from host and path to route. */
struct route_match {
	uint64_t key;   /* computed by router_match_key */
	uint32_t value; /* route index */
};

/* One incarnation of a server, listed by the configuration or the endpoint list. */
struct server_config {
	bool is_configured;
	bool is_draining;
	bool is_store; /* an offload store, which stores blocks and runs no requests */
	uint32_t service_index;
	const char *addr;
	uint64_t packed_addr;
	uint64_t zone_hash;
};

/* The servers in force. Replaced in one step like the route table, but far more often. */
struct server_table {
	apr_pool_t *pool; /* owns the table */
	struct server_config *servers;
	uint32_t server_count;
};

/* Share and concurrency limit of one tenant on one route. */
struct share_config {
	uint64_t key; /* route index << 32 | tenant index */
	struct {
		uint32_t share;
		uint32_t concurrency_limit;
	} value;
};

/* A purge scope with cache namespaces of its own. An index of -1 covers all routes or all tenants. */
struct cache_scope {
	int route_index;
	int tenant_index;
	const char *route_name;
	const char *tenant_name;
	uint64_t hash;
};

/* A client key and the tenant that it belongs to. */
struct key_entry {
	char *key;      /* digest of the client key */
	uint32_t value; /* tenant index */
};

/* One revision of the configuration, immutable once built. */
struct route_table {
	uint64_t revision;
	apr_pool_t *pool;            /* owns the table */
	struct route_config *routes; /* by route index */
	struct tenant_config *tenants;
	struct service_config *services;
	uint32_t route_count;
	uint32_t tenant_count;
	uint32_t service_count;
	uint32_t anonymous_tenant_index; /* index of the tenant of requests without a key */
	/* server indices of the offload stores shared by all services; rendezvous hashing assigns a prefix to
	 * one */
	int *store_server_indices;
	uint32_t store_count;
	bool has_concurrency_limits; /* a tenant or share has a concurrency limit */
	struct {
		uint32_t max_head_bytes;
		uint32_t max_body_bytes;
		uint32_t head_timeout_ms;
		uint32_t idle_timeout_ms;
	} listener;                  /* limits on requests of clients; 0: the program's default */
	uint64_t isolation_hash;     /* hash of the set of isolated tenants */
	struct route_match *matches; /* stb_ds */
	struct cache_scope *scopes;  /* stb_ds */
	struct share_config *shares; /* stb_ds */
	struct key_entry *keys;      /* stb_ds */
};

#endif
