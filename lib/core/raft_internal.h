/* Functions that the modules of the replicated state machine share; no other module includes this header.
 * Callers use raft.h. The sections follow the layers of the modules: a module calls only functions of
 * sections above its own (raft.c lists the layers). */
#ifndef NL_RAFT_INTERNAL_H
#define NL_RAFT_INTERNAL_H

#include <stdbool.h>
#include <nettle/sha2.h>

#include "raft.h"

/* ---- the log (raft_log.c) ---- */

/* Index of the newest entry; when the log is empty, the index up to which entries have been dropped. */
uint64_t raft_last_index(const struct raft *raft);

/* The entry at an index, or NULL when the log does not hold it. */
struct raft_entry *raft_entry_at(const struct raft *raft, uint64_t index);

/* The term of the entry at an index; 0 when neither the log nor the newest snapshot holds it. */
uint64_t raft_term_at(const struct raft *raft, uint64_t index);

/* The term of the newest entry. */
uint64_t raft_last_term(const struct raft *raft);

/* Copies bytes to the heap, into a buffer that is one byte longer than size; the caller frees it. Never
 * returns NULL: the process aborts when it is out of memory. */
uint8_t *raft_copy_bytes(const uint8_t *data, size_t size);

/* Mark entries from an index on, or with 0 the term and vote alone, to be written by the next raft_flush. */
void raft_mark_dirty(struct raft *raft, uint64_t from_index);

/* Append a copy of one entry; the next raft_flush requests its sync. */
void raft_append_entry(struct raft *raft, uint64_t term, uint32_t kind, const uint8_t *data, size_t size);

/* Remove the entries from an index on, because they conflict with the leader's log. */
void raft_truncate_entries_from(struct raft *raft, uint64_t from_index);

/* Remove the entries up to an index, which a snapshot covers. */
void raft_drop_entries_until(struct raft *raft, uint64_t index);

/* Member: the index up to which its log matches the leader's and is synced. */
uint64_t raft_synced_match_index(const struct raft *raft);

/* ---- members in force (raft_members.c) ---- */

/* The member with this identity, or NULL. Valid until the members change. */
const struct raft_member *raft_find_const_member(const struct raft *raft, uint64_t id);

/* The member with this identity, for changing it, or NULL. Valid until the members change. */
struct raft_member *raft_find_member(struct raft *raft, uint64_t id);

/* The number of voters in the group. */
int raft_voter_count(const struct raft *raft);

/* Put the packed members entry at an index in force. Members that stay keep their state. */
void raft_set_members(struct raft *raft, const uint8_t *packed, size_t size, uint64_t index);

/* After a truncation or a load: put the newest members entry that the log or the snapshot holds in force. */
void raft_reload_members(struct raft *raft);

/* Finds the packed members in force at an index, which a snapshot at that index contains. The buffer stays
 * owned by the log or the snapshot. */
void raft_find_members_at(struct raft *raft, uint64_t index, const uint8_t **packed, size_t *size);

/* Whether a packed list of members is valid: it has at least one voter and at most RAFT_MAX_MEMBERS members,
 * each of them once, with an identity and an address. */
bool raft_members_valid(const uint8_t *packed, size_t size);

/* Packs members, together with the fenced identities, as the data of a log entry; the caller frees it. */
uint8_t *raft_pack_members(const struct raft *raft, const struct raft_member *members, int count,
			   size_t *len);

/* Add an identity of an older epoch to the fenced ones; the next members entry stores it. Does nothing when
 * the list is full. */
void raft_add_fenced_id(struct raft *raft, uint64_t id);

/* Whether an identity is in the list of fenced ones, which are of older epochs. */
bool raft_is_fenced_id(const struct raft *raft, uint64_t id);

/* ---- the disk (raft_disk.c) ---- */

/* Whether the oldest pending sync has taken longer than RAFT_SYNC_STALL_MS. */
bool raft_is_sync_stalled(const struct raft *raft, int64_t now);

/* Request a sync of everything that is marked as dirty, if anything is. */
void raft_request_sync(struct raft *raft, int64_t now, struct command_list *out);

/* Record that all syncs up to seq are done; returns 0 when that had been recorded before. */
int raft_complete_syncs(struct raft *raft, uint64_t seq);

/* ---- replies that several modules send (raft_messages.c) ---- */

/* Reply to a request for a vote or pre-vote. */
void raft_send_vote_reply(struct raft *raft, uint64_t candidate_addr, uint64_t term, int granted,
			  int is_pre_vote, struct command_list *out);

/* Notify a sender that it is no longer a member, or that its copy is of an older epoch. */
void raft_send_removed_reply(struct raft *raft, uint64_t addr, struct command_list *out);

/* Reply to an append. match_index: on success, the index up to which this member has synced the leader's
 * log; else the index after which the leader is to retry. */
void raft_send_append_reply(struct raft *raft, uint64_t leader_addr, int success, uint64_t match_index,
			    uint64_t heartbeat_round, struct command_list *out);

/* ---- protocol checks (raft_validate.c) ---- */

/* The reason why no member that keeps to the protocol can have sent a message, or RAFT_FAULT_NONE. */
enum raft_fault raft_message_fault(const struct raft *raft, const struct Nl__Msg *message);

/* ---- planned stops, as the leader tracks them (raft_drain.c) ---- */

/* Leader: the newest entry that a member is known to have synced. */
uint64_t raft_member_synced_index(const struct raft *raft, const struct raft_member *member);

/* Whether every voter other than id has synced the log up to an index. */
bool raft_others_have_synced(const struct raft *raft, uint64_t id, uint64_t index);

/* Record whether a member reports that it drains. */
void raft_set_member_draining(struct raft *raft, struct raft_member *member, int draining);

/* Call after the commit index has advanced. Without a remaining majority the commit relies on the copies of
 * draining members, so these are kept until all other voters have synced up to the commit index. */
void raft_update_drain_requirements(struct raft *raft);

/* Recompute whether the voters that are responsive, do not drain and have synced an entry of this term are a
 * majority by themselves. */
void raft_update_remaining_majority(struct raft *raft, int64_t now);

/* The synced index with which a voter counts towards commits. It is 0 for a voter that may have stopped, and
 * for a draining one where the remaining voters are a majority. */
uint64_t raft_index_counted_for_commit(const struct raft *raft, const struct raft_member *member);

/* Whether no other member needs a draining voter's copy up to an index: the members in force are committed,
 * the remaining voters are a majority by themselves, and all other voters have synced up to the index.
 * Draining voters do not count as a majority for each other, even when all voters drain: one of them may
 * crash, be restarted without draining, and then find the group without a majority. */
bool raft_is_copy_redundant(const struct raft *raft, uint64_t id, uint64_t index);

/* Leader: whether a member may stop: it drains, and its copy is redundant up to its required index. */
bool raft_is_released(const struct raft *raft, const struct raft_member *member);

/* The identity of the most caught-up voter that is responsive and does not drain; 0: there is none. */
uint64_t raft_find_successor(const struct raft *raft, int64_t now);

/* ---- elections (raft_election.c) ---- */

/* Restart the election timer with the full election timeout. */
void raft_reset_election_timer(struct raft *raft, int64_t now);

/* Schedule the next election after wait_ms and a random time of up to RAFT_ELECTION_RETRY_MS. */
void raft_retry_election_after(struct raft *raft, int64_t wait_ms, int64_t now);

/* Become a follower, in the given term if it is later than the current one. A lease ends at once. */
void raft_become_follower(struct raft *raft, uint64_t term, int64_t now);

/* Request a vote, or with is_pre_vote a pre-vote, from all other voters. */
void raft_request_votes(struct raft *raft, int is_pre_vote, int64_t now, struct command_list *out);

/* Start an election with a pre-vote, which finds out whether a majority would elect this member. */
void raft_start_election(struct raft *raft, int64_t now, struct command_list *out);

/* Become candidate after a majority of pre-votes, or leader after a majority of votes. */
void raft_count_votes(struct raft *raft, int64_t now, struct command_list *out);

/* Handle a candidate's request for this member's vote or pre-vote. */
void raft_on_vote_request(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out);

/* Handle a reply to this member's request for a vote or pre-vote. */
void raft_on_vote_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			struct command_list *out);

/* After a restart: send a probe for a leader to each member that has not denied leadership yet. */
void raft_send_probes(struct raft *raft, int64_t now, struct command_list *out);

/* Handle the probe of a restarted member. */
void raft_on_probe(struct raft *raft, const struct Nl__Msg *message, struct command_list *out);

/* Handle a reply to a probe. Once all other members have replied that they do not lead, the vote barrier ends
 * early. */
void raft_on_probe_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now);

/* Handle the leader's announcement that it has stepped down: its successor starts an election at once, the
 * other voters do so after a short delay. */
void raft_on_step_down(struct raft *raft, const struct Nl__Msg *message, int64_t now,
		       struct command_list *out);

/* Handle the sender of a message as the leader of a term: returns false when the term is over; else follows
 * the leader and sets the vote barrier. */
bool raft_accept_leader(struct raft *raft, const struct Nl__Msg *message, uint64_t term, int64_t now);

/* Set the election timer and the vote barrier after a start: before a restart this member may have
 * acknowledged a leader whose lease is still valid. */
void raft_init_elections(struct raft *raft, int64_t now);

/* Schedule the first election of a new group. There is no vote barrier, since the group has had no leader. */
void raft_schedule_first_election(struct raft *raft, int64_t now);

/* ---- snapshots in memory (raft_snapshot.c) ---- */

/* Begin the digest of a snapshot with its index, its term and the size of its members; the caller adds the
 * bytes of the members and the state. */
void raft_digest_begin(struct sha256_ctx *sum, uint64_t index, uint64_t index_term, uint64_t members_len);

/* The identity of a transfer in replies: the first 8 bytes of the snapshot's digest. */
uint64_t raft_transfer_id(const uint8_t digest[RAFT_DIGEST_BYTES]);

/* Copy the snapshot from the stored state; saved may be NULL. */
void raft_load_snapshot(struct raft *raft, const struct raft_saved *saved);

/* Free both snapshots. */
void raft_free_snapshots(struct raft *raft);

/* Make a snapshot the newest one. The replica takes over ownership of its buffers. */
void raft_store_snapshot(struct raft *raft, const struct raft_stored_snapshot *snapshot);

/* The snapshot with an index, with its digest computed, or NULL. Valid until the next one is stored. */
struct raft_stored_snapshot *raft_find_snapshot(struct raft *raft, uint64_t index);

/* Free the snapshot before the newest one unless a transfer still uses it. */
void raft_release_previous_snapshot(struct raft *raft);

/* ---- leader: sending snapshots (raft_snapshot_send.c) ---- */

/* Send chunks, as far as the window allows, to a member whose next entry is no longer in the log. */
void raft_send_snapshot(struct raft *raft, struct raft_member *member, int64_t now, struct command_list *out);

/* End the transfer to a member, which needs no snapshot any more. */
void raft_end_transfer(struct raft *raft, struct raft_member *member);

/* Handle a member's reply that states how much of a snapshot it has received. */
void raft_on_snapshot_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out);

/* ---- member: receiving snapshots (raft_snapshot_receive.c) ---- */

/* Handle a chunk of the leader's snapshot. A complete snapshot is installed: it replaces all state up to its
 * index. */
void raft_on_snapshot_chunk(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out);

/* Free a partly received snapshot. */
void raft_drop_incoming_snapshot(struct raft *raft);

/* ---- the planned stop of this member (raft_transfer.c) ---- */

/* Draining leader: step down once the successor has caught up, or at the deadline; returns 1 after it has
 * stepped down. */
int raft_hand_over_leadership(struct raft *raft, int64_t now, struct command_list *out);

/* ---- epochs (raft_recovery.c) ---- */

/* Whether a message is of this member's epoch. A sender of an older epoch is notified when it requests a vote
 * or acts as leader. If this member's own epoch is older, this member is fenced. */
bool raft_accept_epoch(struct raft *raft, const struct Nl__Msg *message, int64_t now,
		       struct command_list *out);

/* ---- replication (raft_replication.c) ---- */

/* Leader: advance the commit index to the newest entry that a majority has synced, if that entry is of the
 * current term, and extend the lease by the newest heartbeat round that a majority has answered. */
void raft_advance_commit(struct raft *raft);

/* Leader: send the entries or snapshot chunks that members lack, and, if with_heartbeat is set, a heartbeat
 * to each member. */
void raft_replicate(struct raft *raft, int with_heartbeat, int64_t now, struct command_list *out);

/* Handle an append from the leader: entries, or a heartbeat without any. */
void raft_on_append(struct raft *raft, const struct Nl__Msg *message, int64_t now, struct command_list *out);

/* Handle a member's reply to an append, which may also be its reply to a snapshot chunk. */
void raft_on_append_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out);

#endif
