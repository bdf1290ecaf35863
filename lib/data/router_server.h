/* router_server: observed state of servers: health, load, cached blocks, and links between servers. All of it
 * is soft state: a router that starts rebuilds it from reports, cache watches, answers and messages of other
 * routers. */
#ifndef NL_ROUTER_SERVER_H
#define NL_ROUTER_SERVER_H

#include <stdbool.h>
#include <stdint.h>

/* Cache events of one server that have not been sent to the routers of the zone yet: the newest event of each
 * block. router_cache_feed.c */
struct pending_cache_update {
	uint64_t epoch;
	uint64_t next_event;
	bool is_reset;  /* receivers must drop all indexed blocks of the server first */
	bool is_queued; /* the server is in router_cache_feed.queue */
	struct {
		uint64_t key; /* router_block_key */
		struct {
			uint64_t namespace_key;
			int evicted;
		} value;
	} * events; /* stb_ds */
};

/* Observed state of one server. */
struct router_server_state {
	/* Load; read at each placement decision. */
	int slots;
	int own_running_count;    /* attempts of this router at the server */
	int others_running_count; /* requests of other routers there, from the server's last report or answer
				   */
	bool is_described;        /* a report or the endpoint list has described the server */
	bool is_loading;          /* the server is loading weights and runs no requests meanwhile */
	uint32_t weights_index;   /* index of the weights that the server has */
	uint32_t own_prefill_tokens;  /* prompt tokens of this router's requests, not yet prefilled there */
	uint64_t own_resident_tokens; /* tokens of this router's requests in its memory, prompt and answer */
	int64_t unavailable_until_ms;
	double link_free_at_ms; /* when the transfers under way at the server's link are expected to end; this
				   router's transfers are scaled to represent those of all routers */
	int64_t others_observed_at_ms;

	/* Observed performance; older observations decay. */
	double average_request_ms;
	double first_chunk_lateness_ms; /* time that first chunks took beyond the expected time */
	int64_t lateness_observed_at_ms;
	double failure_rate; /* share of attempts that broke off */
	int64_t failure_observed_at_ms;
	int consecutive_connect_failures; /* consecutive failed connections */

	/* Reports of the server on the product's own interface: router_reports.c */
	int reported_running_count; /* requests running at the server, from its last report */
	int64_t last_report_at_ms;
	int64_t last_report_poll_at_ms;
	int64_t last_relayed_report_at_ms; /* when a relay last sent a report of the server */
	uint64_t report_poll_token;        /* identifies the report request in flight */
	uint64_t
	    report_poll_sequence; /* number of the newest report; block replicas of older ones are dropped */
	uint64_t block_list_serial; /* serial number of the last block list; valid for boot_id only */
	uint64_t boot_id;
	uint32_t endpoint_list_weights; /* index of the weights in the endpoint list; weights that the server
				    itself reports take precedence */
	uint32_t purged_block_count;    /* blocks in its last block list that a purge covers */
	int64_t block_list_at_ms;       /* when its last block list was received */
	int consecutive_unreadable_reports; /* only the first one is logged */

	/* Watch of the server's prefix cache: router_cache_watch.c */
	uint64_t watch_token; /* identifies the watch request in flight; 0: none */
	uint64_t cache_epoch; /* epoch of the server's event numbers; 0: none received yet */
	uint64_t next_cache_event;
	bool has_complete_block_list; /* a complete block list was received, and no event has been missed
					 since */
	bool is_watch_full;           /* the watch request in flight is for the complete block list */
	int64_t last_watch_at_ms;
	int64_t last_cache_update_at_ms; /* when the last update of the server's cache was received */
	struct pending_cache_update pending_update;
};

/* Load at one server, from one load source or summed over several. */
struct load_counts {
	uint32_t prefill_tokens;
	uint32_t running_count;
	uint32_t resident_tokens;
};

/* A router that publishes load to this one: a router of the zone, the head of another zone, or the head of
 * this zone. router_load.c */
struct load_source {
	uint64_t router_id;
	int scope; /* enum load_scope, router_load.c */
	int64_t received_at_ms;
	uint64_t addr;
	struct load_counts *cells; /* stb_ds, by server index */
};

/* How much slower than configured fetches between two servers were. */
struct link_observation {
	uint64_t key; /* source index << 32 | target index */
	struct {
		double slowdown; /* observed time divided by configured time */
		int64_t observed_at_ms;
	} value;
};

#endif
