/* router_route_table: the configuration as the data plane reads it. Names become dense indices once, so that
 * everything behind works on arrays. A route table and a server table are immutable: a newer revision is
 * built beside the one in force and replaces it in one step (router.c). */
#ifndef NL_ROUTER_ROUTE_TABLE_H
#define NL_ROUTER_ROUTE_TABLE_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct Nl__Row;

/* A name and its index. */
struct name_entry {
	char *key;
	uint32_t value; /* its index */
};

/* Names in use, as dense indices for the lifetime of the process: an index is never used for another name. */
struct name_table {
	struct name_entry *index; /* stb_ds */
	char **names;             /* stb_ds, by index; owned */
};

/* The index of a name, which is added where it is new. Example: names_id(&router->names.weights, "3") */
uint32_t names_id(struct name_table *table, const char *name);

/* The index of a name; -1: it has none. */
int names_find(const struct name_table *table, const char *name);

/* One service of a route that is split among several. */
struct route_split {
	uint32_t service_index;
	uint32_t cumulative_weight; /* of the services up to and with this one */
};

/* A route: requests to a host and path, and the service that they go to. Times of 0 are not set. */
struct route_config {
	bool is_configured;
	bool resumable;    /* a broken stream may continue behind its last event */
	bool idempotent;   /* a request may run again */
	bool key_optional; /* requests need no key */
	uint32_t service_index;
	uint32_t priority;    /* class: lower goes first */
	uint32_t queue_limit; /* requests of one tenant that may wait */
	uint32_t latency_target_ms;
	uint32_t max_gap_ms; /* between two chunks */
	uint32_t timeout_ms;
	uint32_t max_attempts;
	const char *host;
	const char *path;
	const struct route_split *splits;
	uint32_t split_count;
};

/* A tenant, whose requests share quota and cached blocks. */
struct tenant_config {
	bool is_configured;
	bool isolated; /* its cached blocks are its alone */
	uint32_t share;
	uint32_t concurrency_limit;
	uint32_t priority_class; /* class + 1; 0: its routes' */
};

/* A service: servers that run the same model, and their speeds, which placement reckons with. */
struct service_config {
	bool is_configured;
	uint32_t target_weights; /* index of the newest weights that its servers are to run */
	uint32_t prefill_tokens_per_ms;
	uint32_t kv_bytes_per_token;
	uint32_t link_bytes_per_ms;      /* between servers */
	uint32_t store_bytes_per_ms;     /* of the offload store */
	uint32_t max_connections;        /* to a server, all routers together */
	uint64_t capacity_tokens;        /* of a server's memory; 0: not known */
	int store_server;                /* its own offload store; -1: none */
	const struct Nl__Row *model_row; /* dates of its target weights; NULL: no rollout bound holds */
};

/* Finds a route by its host and path. */
struct route_match {
	uint64_t key;   /* router_match_key */
	uint32_t value; /* route index */
};

/* One incarnation of a server, from the configuration or from the endpoint list. */
struct server_config {
	bool is_configured;
	bool draining;
	bool is_store; /* an offload store: it keeps blocks and runs nothing */
	uint32_t service_index;
	const char *addr;
	uint64_t packed_addr;
	uint64_t zone_hash;
};

/* The servers in force; replaced like the route table, but far more often. */
struct server_table {
	apr_pool_t *pool; /* owns the table */
	struct server_config *servers;
	uint32_t server_count;
};

/* Quota share of one tenant on one route. */
struct share_config {
	uint64_t key; /* route index << 32 | tenant index */
	struct {
		uint32_t share;
		uint32_t concurrency_limit;
	} value;
};

/* A scope that is purged by itself, and so has cache namespaces of its own; -1: all routes, all tenants. */
struct cache_scope {
	int route_index;
	int tenant_index;
	const char *route_name;
	const char *tenant_name;
	uint64_t hash;
};

/* A client's key. */
struct key_entry {
	char *key;      /* digest of a client's key */
	uint32_t value; /* tenant index */
};

/* One revision of the configuration. */
struct route_table {
	uint64_t revision;
	apr_pool_t *pool;            /* owns the table */
	struct route_config *routes; /* by route index */
	struct tenant_config *tenants;
	struct service_config *services;
	uint32_t route_count;
	uint32_t tenant_count;
	uint32_t service_count;
	uint32_t anonymous_tenant; /* of requests without a key */
	int *stores; /* offload stores of all services; a prefix has one of them by rendezvous hashing */
	uint32_t store_count;
	bool has_keys;
	bool has_limits; /* any concurrency limit */
	struct {
		uint32_t max_head_bytes;
		uint32_t max_body_bytes;
		uint32_t head_timeout_ms;
		uint32_t idle_timeout_ms;
	} listener;                  /* limits on what clients send; 0: the program's own */
	uint64_t isolation_hash;     /* over the isolated tenants */
	struct route_match *matches; /* stb_ds */
	struct cache_scope *scopes;  /* stb_ds */
	struct share_config *shares; /* stb_ds */
	struct key_entry *keys;      /* stb_ds */
};

#endif
