/* purge_relay: one node of the tree that distributes the purge stream to every router. A node sends
 * knowledge to its downstreams and curiosity (requests for unknown ticks) to its upstream, and frees the
 * values that every downstream has acknowledged. Invariant: known_at_ms is a lower bound of the time up to
 * which the node knows all decided purges, so a node whose knowledge is too old detects this by itself and
 * reuses no cached context. All times are milliseconds of the process's own monotonic clock. */
#ifndef NL_PURGE_RELAY_H
#define NL_PURGE_RELAY_H

#include <stdbool.h>

#include "purge_view.h"
#include "tick_knowledge.h"

enum {
	PURGE_TICK_MS = 200,      /* interval between the silence ticks of the publisher */
	PURGE_STALL_MS = 1000,    /* request unknown ticks if the horizon has not moved for this long */
	PURGE_CURIOSITY_MS = 250, /* minimum interval between two curiosity messages of a node */
	PURGE_DOWNSTREAM_TIMEOUT_MS = 3000, /* remove a downstream without a message for this long */
	/* no cached context is reused while the knowledge is older than this; less than
	 * RETENTION_NODE_TIMEOUT_MS */
	PURGE_MAX_STALENESS_MS = 4500,
	PURGE_RESERVED_TICKS = 1000 /* ticks that one log entry reserves */
};

/* A node that receives the purge stream from this node. */
struct relay_downstream {
	uint64_t id;
	uint64_t addr;
	uint64_t acknowledged_tick; /* the downstream no longer needs ticks up to this one */
	int64_t last_contact_at_ms;
	bool cache_feed_started;        /* the router has begun to send its cache index to the downstream */
	ptrdiff_t cache_feed_remaining; /* rows of the cache index still to be sent */
	int64_t request_clock_ms;       /* the downstream's clock when it sent its last curiosity message */
};

/* Initialised by relay_open, freed by relay_close. */
struct relay {
	struct tick_knowledge knowledge;
	struct purge_view view;
	struct relay_downstream *downstreams; /* stb_ds */
	uint64_t *upstreams;      /* stb_ds; addresses, best first; the last is the publisher's log */
	size_t upstream_position; /* position of the upstream in use, modulo the number of upstreams */
	bool curiosity_disabled;  /* set by an experiment: unknown ticks are not requested */
	bool is_publisher; /* this node is the publisher: it takes ticks from the commits of its own shard and
			      requests none */
	bool has_knowledge; /* has received knowledge or a snapshot since relay_open */
	int64_t opened_at_ms;
	int64_t horizon_moved_at_ms; /* when the sender's horizon last moved, ignoring the transmission time
					of messages */
	int64_t known_at_ms; /* all purges decided up to this time are known; derived from the time of our own
				request */
	int64_t curiosity_sent_at_ms;     /* when the last curiosity message was sent; 0: send one at once */
	int64_t knowledge_received_at_ms; /* when the last knowledge or snapshot was received */
	int64_t upstream_selected_at_ms;  /* when the upstream in use was selected */
	/* called with context for each value received; NULL: no callback */
	void (*on_value)(void *context, const struct Nl__Value *value);
	void *context;
	uint64_t increments_sent; /* increments sent to downstreams, for metrics */
};

/* Initialise a relay without knowledge. */
void relay_open(struct relay *relay, int64_t now);

void relay_close(struct relay *relay);

/* Set the upstream addresses, best first, followed by log_addr, the publisher's address, unless it is 0. A
 * call with the addresses already set has no effect.
 * Example: relay_set_upstreams(&relay, addrs, count, log_addr, now); */
void relay_set_upstreams(struct relay *relay, const uint64_t *upstreams, size_t count, uint64_t log_addr,
			 int64_t now);

/* Publisher: add a range of ticks that the log holds, with its value or NULL for silence, and send it to
 * the downstreams.
 * Example: relay_publish(&relay, first, last, value, now, out); */
void relay_publish(struct relay *relay, uint64_t first, uint64_t last, const struct Nl__Value *value,
		   int64_t now, struct command_list *out);

/* Handle a knowledge, purge snapshot or curiosity message; other messages are ignored.
 * Example: relay_receive(&relay, message, now, out); */
void relay_receive(struct relay *relay, const struct Nl__Msg *message, int64_t now, struct command_list *out);

/* Perform the timed work: remove expired downstreams, free acknowledged values, send curiosity, change the
 * upstream.
 * Example: relay_tick(&relay, now, out); */
void relay_tick(struct relay *relay, int64_t now, struct command_list *out);

/* Returns the highest tick up to which this node knows all ticks and every downstream has acknowledged
 * them.
 * Example: knowledge_release(&relay.knowledge, relay_acknowledged_tick(&relay)); */
uint64_t relay_acknowledged_tick(const struct relay *relay);

/* Whether the knowledge is recent enough (PURGE_MAX_STALENESS_MS) to reuse cached context.
 * Example: if (!relay_is_current(&relay, now)) prefill_all(); */
bool relay_is_current(const struct relay *relay, int64_t now);

#endif
