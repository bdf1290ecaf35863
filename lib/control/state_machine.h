/* The replicated state machines: what each committed entry does to the configuration, the claims and the
 * purge stream. The step applies every committed entry once, in the log's order, on every member. Always: the
 * result depends on the entries alone, so that all members hold the same; an entry logged twice counts once.
 */
#ifndef NL_STATE_MACHINE_H
#define NL_STATE_MACHINE_H

#include "controller.h"

/* What came of an entry: TABLE_DONE, TABLE_REFUSED, TABLE_OVERTAKEN or TABLE_KEY_REUSED, and the version to
 * acknowledge: of an order, the one that it made when it was accepted, however long ago; else the table's. */
struct apply_result {
	uint32_t status;
	uint64_t version;
};

/* The outcome of a change that was applied before, by who proposed it and its token; NULL: none is
 * remembered. */
const struct controller_done_operation *find_done_operation(const struct controller *controller,
							    uint64_t from, uint64_t token);

/* What an order is answered whose key or content was accepted before: TABLE_DONE again, or TABLE_KEY_REUSED.
 */
uint32_t repeated_request_status(const struct idempotency_record *accepted,
				 const struct request_key *request_key);

/* Keep a copy of the newest document, byte for byte. */
void store_document(struct controller *controller, const uint8_t *data, size_t size, uint64_t version);

/* Drop claims past their time. They count as absent before, so that no member need do it at the same entry.
 */
void expire_claims(struct controller_service_state *service);

/* Apply one committed entry. */
struct apply_result state_machine_apply(struct controller *controller, uint32_t shard, uint64_t index,
					const struct raft_entry *entry, int64_t now,
					struct command_list *out);

#endif
