/* state_machine: what each committed entry of a shard's log does to the state that is replicated: the
 * configuration, retention, claims, rollouts of services, and the purge stream.
 *
 * The step applies every committed entry once, in the log's order, on every member. The result says what else
 * follows from the entry; the step passes that on to the services that it concerns.
 *
 * Always: the state after an entry depends on the entries alone, never on the time or on who leads, so that
 * all members hold the same; and an entry that was logged twice counts once. */
#ifndef NL_STATE_MACHINE_H
#define NL_STATE_MACHINE_H

#include "controller_state.h"

/* Between tenant and id in the key of a claim. */
#define CLAIM_KEY_SEPARATOR "\x1f"

/* What came of an entry. */
struct apply_result {
	enum proposal_status status;
	uint64_t version; /* to acknowledge: of a request that was accepted before, the one that it made then;
			     else the table's revision */
	const struct Nl__Value
	    *logged_value;            /* a value of the purge stream is logged; NULL: none. In the pool */
	bool value_is_new;            /* its feed has not given it before */
	const char *commanded_server; /* a load command to this server is logged; NULL: none. In the pool */
};

/* Apply one committed entry of a shard.
 * Example: result = state_machine_apply(controller, shard, index, entry, out->pool); */
struct apply_result state_machine_apply(struct controller *controller, uint32_t shard, uint64_t entry_index,
					const struct raft_entry *entry, apr_pool_t *pool);

/* What a request is answered whose key or content was accepted before: PROPOSAL_DONE again, or
 * PROPOSAL_KEY_REUSED when the content is another. */
enum proposal_status repeated_request_status(const struct idempotency_record *accepted,
					     const struct request_key *request_key);

/* Keep a copy of the newest document, byte for byte. data may be NULL where size is 0. */
void store_document(struct controller *controller, const uint8_t *data, size_t size_bytes, uint64_t version);

/* Drop claims past their time. They count as absent before, so that no member need do it at the same entry.
 */
void expire_claims(struct controller_service_state *service);

#endif
