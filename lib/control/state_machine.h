/* state_machine: applies the committed log entries of the shards to the replicated state: the configuration,
 * retention, claims, rolled-out weights of services, and the purge stream.
 *
 * Every member applies each committed entry of a shard once, in the order of the log. From the result of an
 * entry, the step determines which services have to be notified.
 *
 * Always: the state after an entry depends only on the entries of the log, not on the time or on the leader,
 * so that all members have equal states. An operation that was logged twice takes effect once. */
#ifndef NL_STATE_MACHINE_H
#define NL_STATE_MACHINE_H

#include "controller_state.h"

/* Separates the tenant and the request id in the key of a claim. */
#define CLAIM_KEY_SEPARATOR "\x1f"

/* Result of applying one log entry. */
struct apply_result {
	enum proposal_status status;
	uint64_t version; /* version to acknowledge: of a repeated request, the version that the first copy
			     made; otherwise the table's revision */
	const struct Nl__Value
	    *logged_value; /* value of the purge stream in the entry, allocated in the pool; NULL: none */
	bool is_value_new; /* the value was not logged before */
	const char *commanded_server; /* server whose load command is in the entry, allocated in the pool;
					 NULL: none */
};

/* Apply one committed entry of a shard.
 * Example: result = state_machine_apply(controller, shard, index, entry, out->pool); */
struct apply_result state_machine_apply(struct controller *controller, uint32_t shard, uint64_t entry_index,
					const struct raft_entry *entry, apr_pool_t *pool);

/* Return the status of a request whose key has been accepted before: PROPOSAL_APPLIED if the accepted request
 * is the same, PROPOSAL_KEY_REUSED if its content differs. */
enum proposal_status repeated_request_status(const struct idempotency_record *accepted,
					     const struct request_key *request_key);

/* Store a copy of the newest document, byte for byte. data may be NULL if size_bytes is 0. */
void store_document(struct controller *controller, const uint8_t *data, size_t size_bytes, uint64_t version);

/* Remove expired claims to free memory. An expired claim is treated as absent even while it is stored, so
 * members may call this at different log entries and still have equal states. */
void expire_claims(struct controller_service_state *service);

#endif
