/* What the modules of the replicated state machine share; nobody else includes this. Callers use raft.h.
 * Sections are in the order of the layers: each module calls those above it in this file only (raft.c shows
 * them all). */
#ifndef NL_RAFT_INTERNAL_H
#define NL_RAFT_INTERNAL_H

#include <stdbool.h>
#include <nettle/sha2.h>

#include "raft.h"

/* ---- the log (raft_log.c) ---- */

/* Index of the newest entry, or of the snapshot base when the log is empty. */
uint64_t raft_last_index(const struct raft *raft);

/* The entry at an index, or NULL when it is not held. */
struct raft_entry *raft_entry_at(const struct raft *raft, uint64_t index);

/* The term of an index that is held or is the snapshot's; else 0. */
uint64_t raft_term_at(const struct raft *raft, uint64_t index);

/* The term of the newest entry. */
uint64_t raft_last_term(const struct raft *raft);

/* A copy on the heap with one byte to spare, for the caller to free; never NULL: without memory the process
 * aborts. */
uint8_t *raft_copy_bytes(const uint8_t *data, size_t size);

/* Something has to be synced: entries from an index on, or with 0 the term and vote alone. */
void raft_mark_dirty(struct raft *raft, uint64_t from_index);

/* Append one entry; it is synced by the next raft_flush. */
void raft_append_entry(struct raft *raft, uint64_t term, uint32_t kind, const uint8_t *data, size_t size);

/* Drop the entries from an index on; they conflict with the leader's log. */
void raft_truncate_from(struct raft *raft, uint64_t from_index);

/* Drop the entries up to an index, which a snapshot stands for. */
void raft_drop_until(struct raft *raft, uint64_t index);

/* Member: up to here its log is the leader's, and synced. */
uint64_t raft_synced_match(const struct raft *raft);

/* ---- members in force (raft_members.c) ---- */

/* The member with this identity, or NULL. Valid until members change. */
const struct raft_member *raft_find_const_member(const struct raft *raft, uint64_t id);

/* The same, for changing it. */
struct raft_member *raft_find_member(struct raft *raft, uint64_t id);

/* How many members vote. */
int raft_voter_count(const struct raft *raft);

/* Put the packed members entry of an index in force, keeping what is known of members that stay. */
void raft_set_members(struct raft *raft, const uint8_t *packed, size_t size, uint64_t index);

/* After a truncation or a load: put the newest members entry that is left in force. */
void raft_reload_members(struct raft *raft);

/* The packed members in force at an index: what a snapshot at that index carries. */
void raft_members_in_force(struct raft *raft, uint64_t index, const uint8_t **packed, size_t *size);

/* Whether packed members can be a group's: each once, with identity and address, and at least one that votes.
 */
bool raft_members_valid(const uint8_t *packed, size_t size);

/* Members packed as a log entry holds them; the caller frees the result. */
uint8_t *raft_pack_members(const struct raft *raft, const struct raft_member *members, int count,
			   size_t *len);

/* Remember an identity of an older epoch; the next members entry carries it. */
void raft_add_fenced(struct raft *raft, uint64_t id);

/* Whether an identity is remembered as one of an older epoch. */
bool raft_is_fenced(const struct raft *raft, uint64_t id);

/* ---- the disk (raft_disk.c) ---- */

/* Whether the oldest sync under way has taken longer than RAFT_SYNC_STALL_MS. */
bool raft_is_sync_stalled(const struct raft *raft, int64_t now);

/* Request a sync of what has become dirty, if anything has. */
void raft_request_sync(struct raft *raft, int64_t now, struct command_list *out);

/* All syncs up to seq are done; 0 when that was known. */
int raft_complete_syncs(struct raft *raft, uint64_t seq);

/* ---- answers that several modules send (raft_messages.c) ---- */

/* Answer a request for votes. */
void raft_send_vote_reply(struct raft *raft, uint64_t candidate_addr, uint64_t term, int granted,
			  int is_pre_vote, struct command_list *out);

/* Tell one that it is no member any more, or that its copy is of an older epoch. */
void raft_send_removed(struct raft *raft, uint64_t addr, struct command_list *out);

/* Tell the leader up to which index this member has synced the leader's log. */
void raft_send_append_reply(struct raft *raft, uint64_t leader_addr, int success, uint64_t match_index,
			    uint64_t heartbeat_round, struct command_list *out);

/* ---- protocol checks (raft_validate.c) ---- */

/* Why a message cannot come from a member that keeps to the protocol. */
enum raft_fault raft_message_fault(const struct raft *raft, const struct Nl__Msg *message);

/* ---- planned stops, counted by the leader (raft_drain.c) ---- */

/* The newest entry that a member is known to have synced. */
uint64_t raft_member_synced_index(const struct raft *raft, const struct raft_member *member);

/* Whether every voter but `id` has synced an index. */
bool raft_others_have_synced(const struct raft *raft, uint64_t id, uint64_t index);

/* A member has announced whether it is to stop. */
void raft_set_member_draining(struct raft *raft, struct raft_member *member, int draining);

/* A commit without a majority of staying members rests on the copies of draining ones; they are kept until
 * all others have it. */
void raft_update_drain_requirements(struct raft *raft);

/* Count whether those who stay, and have synced an entry of this term, are a majority by themselves. */
void raft_update_remaining_majority(struct raft *raft, int64_t now);

/* The index up to which a voter counts towards commits: 0 for one that drains where the others suffice, or
 * that may have stopped. */
uint64_t raft_index_counted_for_commit(const struct raft *raft, const struct raft_member *member);

/* Whether a draining voter's copy up to an index is needed by nobody: by members that are committed, the
 * voters that stay are a majority by themselves, and all others hold what it holds. Draining voters do not
 * vouch for each other, even where all of them are: one of them may crash, come back to stay, and find itself
 * without a majority. */
bool raft_is_copy_redundant(const struct raft *raft, uint64_t id, uint64_t index);

/* Whether a draining member may stop. */
bool raft_is_released(const struct raft *raft, const struct raft_member *member);

/* The most caught-up voter that answers and stays; 0 for none. */
uint64_t raft_find_successor(const struct raft *raft, int64_t now);

/* ---- elections (raft_election.c) ---- */

/* Wait a full election timeout before requesting votes. */
void raft_reset_election_timer(struct raft *raft, int64_t now);

/* Request votes again after `wait` ms and a random part of RAFT_ELECTION_RETRY_MS. */
void raft_retry_election_after(struct raft *raft, int64_t wait_ms, int64_t now);

/* Follow: of a later term when `term` is one. Ends a lease at once. */
void raft_become_follower(struct raft *raft, uint64_t term, int64_t now);

/* Request all votes, or with `pre` pre-votes. */
void raft_request_votes(struct raft *raft, int is_pre_vote, int64_t now, struct command_list *out);

/* Begin a candidacy with a pre-vote: whether a majority would elect this member. */
void raft_start_election(struct raft *raft, int64_t now, struct command_list *out);

/* Become candidate or leader once a majority has granted. */
void raft_count_votes(struct raft *raft, int64_t now, struct command_list *out);

/* A candidate requests this member's vote. */
void raft_on_vote_request(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out);

/* A member answers a request for its vote. */
void raft_on_vote_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			struct command_list *out);

/* After a restart: probe the other members for a leader. */
void raft_send_probes(struct raft *raft, int64_t now, struct command_list *out);

/* Answer a restarted member. */
void raft_on_probe(struct raft *raft, const struct Nl__Msg *message, struct command_list *out);

/* A member answers whether it leads; once all have denied it, the vote barrier ends early. */
void raft_on_probe_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now);

/* The leader has stepped down: its successor runs for election at once, the others after a short delay. */
void raft_on_step_down(struct raft *raft, const struct Nl__Msg *message, int64_t now,
		       struct command_list *out);

/* A message of a leader: 0 when its term is over; else follow it and set the vote barrier. */
bool raft_accept_leader(struct raft *raft, const struct Nl__Msg *message, uint64_t term, int64_t now);

/* After a (re)start: a vote barrier, since a vote may have been given before, and the election timer. */
void raft_init_elections(struct raft *raft, int64_t now);

/* A new group: no vote was ever given, and there is no leader to wait for. */
void raft_schedule_first_election(struct raft *raft, int64_t now);

/* ---- snapshots that are kept (raft_snapshot.c) ---- */

/* Begin the digest of a snapshot: what it stands for, before its bytes. */
void raft_digest_begin(struct sha256_ctx *sum, uint64_t index, uint64_t index_term, uint64_t members_len);

/* The number by which replies name a transfer: the first bytes of the digest. */
uint64_t raft_transfer_id(const uint8_t digest[RAFT_DIGEST_BYTES]);

/* Take over what the disk holds; saved may be NULL. */
void raft_load_snapshot(struct raft *raft, const struct raft_saved *saved);

/* Free both snapshots. */
void raft_free_snapshots(struct raft *raft);

/* Make a snapshot the newest one; its buffers belong to the replica from now on. */
void raft_store_snapshot(struct raft *raft, const struct raft_stored_snapshot *snapshot);

/* The snapshot that is kept for an index, its digest computed, or NULL. Valid until the next one is stored.
 */
struct raft_stored_snapshot *raft_find_snapshot(struct raft *raft, uint64_t index);

/* Drop the snapshot before the newest when no transfer reads it. */
void raft_release_previous(struct raft *raft);

/* ---- leader: sending snapshots (raft_snapshot_send.c) ---- */

/* Send chunks to a member whose next entry is no longer in the log, as far as the window allows. */
void raft_send_snapshot(struct raft *raft, struct raft_member *member, int64_t now, struct command_list *out);

/* The member needs no snapshot any more. */
void raft_end_transfer(struct raft *raft, struct raft_member *member);

/* A member answers how much of a snapshot it holds. */
void raft_on_snapshot_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out);

/* ---- member: receiving snapshots (raft_snapshot_receive.c) ---- */

/* A chunk of the leader's snapshot; once complete it is installed in place of all state up to its index. */
void raft_on_snapshot_chunk(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out);

/* Forget the chunks that have been received. */
void raft_drop_incoming(struct raft *raft);

/* ---- this member's own stop (raft_transfer.c) ---- */

/* A draining leader steps down once its successor has caught up, or after a while; 1 when it has. */
int raft_hand_over_leadership(struct raft *raft, int64_t now, struct command_list *out);

/* ---- epochs (raft_recovery.c) ---- */

/* Whether a message is of this member's epoch. Tells its sender, or this member itself, when one is of an
 * older epoch. */
bool raft_is_of_this_epoch(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			   struct command_list *out);

/* ---- replication (raft_replication.c) ---- */

/* Leader: advance commit index and lease by what a majority has synced and answered. */
void raft_advance_commit(struct raft *raft);

/* Leader: send appends to members that lack entries, or with `all` a heartbeat to each. */
void raft_replicate(struct raft *raft, int with_heartbeat, int64_t now, struct command_list *out);

/* Entries or a heartbeat of the leader. */
void raft_on_append(struct raft *raft, const struct Nl__Msg *message, int64_t now, struct command_list *out);

/* A member answers an append or a snapshot. */
void raft_on_append_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out);

#endif
