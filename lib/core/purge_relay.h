/* purge_relay: a node of the tree by which the purge stream reaches every router. It passes knowledge down,
 * curiosity (requests for unknown ticks) up, and releases what every downstream has acknowledged. Always:
 * known_at_ms is never later than it truly was, so a node whose knowledge is too old finds out by itself and
 * reuses no cached context. All times are milliseconds of the process's own monotonic clock. */
#ifndef NL_PURGE_RELAY_H
#define NL_PURGE_RELAY_H

#include <stdbool.h>

#include "purge_view.h"
#include "tick_knowledge.h"

enum {
	PURGE_TICK_MS = 200,                /* between silence ticks of the publisher */
	PURGE_STALL_MS = 1000,              /* the horizon has not moved for so long: curiosity */
	PURGE_CURIOSITY_MS = 250,           /* between two curiosity messages */
	PURGE_DOWNSTREAM_TIMEOUT_MS = 3000, /* a downstream without a message for so long is dropped */
	/* no context is reused under older knowledge; less than RETENTION_NODE_TIMEOUT_MS */
	PURGE_MAX_STALENESS_MS = 4500,
	PURGE_RESERVED_TICKS = 1000 /* ticks reserved in the log at once */
};

/* One that receives the stream from this node. */
struct relay_downstream {
	uint64_t id;
	uint64_t addr;
	uint64_t acknowledged_tick; /* ticks at or below are not needed any more */
	int64_t last_contact_at_ms;
	bool cache_feed_started;        /* the router has begun to send it its cache index */
	ptrdiff_t cache_feed_remaining; /* rows of that index that have yet to be sent */
	int64_t request_clock_ms;       /* its own clock when it sent its last curiosity */
};

/* Set up by relay_open, released by relay_close. */
struct relay {
	struct tick_knowledge knowledge;
	struct purge_view view;
	struct relay_downstream *downstreams; /* stb_ds */
	uint64_t *upstreams;      /* stb_ds: addresses, best first; the last resort is the publisher's log */
	size_t upstream_position; /* the one in use */
	bool curiosity_disabled;  /* an experiment: unknown ticks are not requested */
	bool is_publisher;        /* learns from its own commits, and requests nothing */
	bool has_knowledge;       /* has received knowledge, or a snapshot, since it began */
	int64_t opened_at_ms;
	int64_t horizon_moved_at_ms;  /* when the sender's horizon last moved, if messages took no time */
	int64_t known_at_ms;          /* up to when everything decided is known, counted from our request */
	int64_t requested_at_ms;      /* last curiosity; 0: send one at once */
	int64_t received_at_ms;       /* last knowledge or snapshot */
	int64_t upstream_tried_at_ms; /* since when the upstream in use is tried */
	/* called for each value received; NULL: none */
	void (*on_value)(void *context, const struct Nl__Value *value);
	void *context;
	uint64_t increments_sent; /* to downstreams, for metrics */
};

/* Begin without knowledge. */
void relay_open(struct relay *relay, int64_t now);

/* Free all memory. */
void relay_close(struct relay *relay);

/* Set the upstream addresses, best first; log_addr: the publisher's, 0: none. Unchanged ones change nothing.
 * Example: relay_set_upstreams(&relay, addrs, count, log_addr, now); */
void relay_set_upstreams(struct relay *relay, const uint64_t *upstreams, size_t count, uint64_t log_addr,
			 int64_t now);

/* Publisher: [first, last] with an optional value is logged; pass it on.
 * Example: relay_publish(&relay, first, last, value, now, out); */
void relay_publish(struct relay *relay, uint64_t first, uint64_t last, const struct Nl__Value *value,
		   int64_t now, struct command_list *out);

/* Handle a knowledge, snapshot or curiosity message; others are ignored. Example: relay_receive(&relay,
 * message, now, out); */
void relay_receive(struct relay *relay, const struct Nl__Msg *message, int64_t now, struct command_list *out);

/* Let time pass. Example: relay_tick(&relay, now, out); */
void relay_tick(struct relay *relay, int64_t now, struct command_list *out);

/* What every live downstream and this node have acknowledged.
 * Example: knowledge_release(&relay.knowledge, relay_acknowledged_tick(&relay)); */
uint64_t relay_acknowledged_tick(const struct relay *relay);

/* Whether cached context may be reused: the knowledge is not too old. Example: if (!relay_is_current(&relay,
 * now)) prefill_all(); */
bool relay_is_current(const struct relay *relay, int64_t now);

#endif
