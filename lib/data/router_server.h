/* router_server: what a router knows of servers beyond their configuration: health, load, what they cache,
 * links between them. All of it is observed and may be lost: a router that starts learns it again from
 * reports, watches, answers and other routers. */
#ifndef NL_ROUTER_SERVER_H
#define NL_ROUTER_SERVER_H

#include <stdbool.h>
#include <stdint.h>

/* Cache events of one server that the zone has not been sent: the newest of each block.
 * router_cache_feed.c */
struct pending_cache_update {
	uint64_t epoch;
	uint64_t next_event;
	bool is_reset;  /* what was known of the server's cache before no longer holds */
	bool is_queued; /* the server waits in the feed's queue */
	struct {
		uint64_t key; /* router_block_key */
		struct {
			uint64_t namespace_key;
			int evicted;
		} value;
	} * events; /* stb_ds */
};

/* One server, by its index. */
struct router_server_state {
	/* load, read at each decision */
	int slots;
	int own_running;          /* sends of this router */
	int others_running;       /* of other routers, as the server last said */
	bool is_known;            /* a report or the endpoint list has described it */
	bool is_loading;          /* weights; it runs nothing meanwhile */
	uint32_t weights;         /* index of those it has */
	uint32_t prefill_tokens;  /* that own sends still have to read there */
	uint64_t resident_tokens; /* of own sends, prompt and answer */
	int64_t unavailable_until_ms;
	double link_free_at_ms; /* when the transfers under way at its link should be done; own ones stand for
				   all routers' */
	int64_t others_observed_at_ms;

	/* experience with it, which fades */
	double average_run_ms;
	double lateness_ms; /* of first chunks, beyond what was expected */
	int64_t lateness_observed_at_ms;
	double failure_rate; /* of sends that broke off */
	int64_t failure_observed_at_ms;
	int connect_failures; /* in a row */

	/* its reports, own interface: router_reports.c */
	int running; /* as it last said */
	int64_t reported_at_ms;
	int64_t polled_at_ms;
	int64_t relayed_at_ms;  /* when a relay last sent its report on */
	uint64_t poll_token;    /* of the call under way */
	uint64_t poll_sequence; /* block replicas of older reports are dropped */
	uint64_t report_serial; /* of the report that is known, with the boot it belongs to */
	uint64_t boot_id;
	uint32_t listed_weights; /* as the endpoint list last said; what the server itself says is newer */
	uint32_t purged_blocks;  /* in its last complete report, of before a purge */
	int64_t inventory_at_ms; /* when that report came */
	int unreadable_reports;  /* in a row; the first is logged */

	/* watch of its prefix cache: router_cache_watch.c */
	uint64_t watch_token; /* of the watch under way; 0: none */
	uint64_t cache_epoch; /* of its event numbers; 0: not known */
	uint64_t next_cache_event;
	bool cache_listed;  /* its complete cache was listed once, and no event missed since */
	bool watch_is_full; /* the watch under way asks for that list */
	int64_t watched_at_ms;
	int64_t cache_update_at_ms; /* when something was last heard of its cache */
	struct pending_cache_update pending_update;
};

/* Load at one server, as one source counts it. */
struct load_cell {
	uint32_t prefill_tokens;
	uint32_t running;
	uint32_t resident_tokens;
};

/* A router that publishes load to this one: one of the zone, the head of another zone, or the head of this
 * one. router_load.c */
struct load_source {
	uint64_t router_id;
	int scope; /* enum load_scope, router_load.c */
	int64_t received_at_ms;
	uint64_t addr;
	struct load_cell *cells; /* stb_ds, by server index */
};

/* How much slower than configured fetches between two servers were. */
struct link_observation {
	uint64_t key; /* source index << 32 | target index */
	struct {
		double slowdown; /* factor */
		int64_t observed_at_ms;
	} value;
};

#endif
