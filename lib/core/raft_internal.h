/* What the modules of the replicated state machine share; nobody else includes this. Callers use raft.h. */
#ifndef NL_RAFT_INTERNAL_H
#define NL_RAFT_INTERNAL_H

#include "raft.h"

/* ---- the log (raft_log.c) ---- */

/* Index of the newest entry, or of the snapshot base when the log is empty. */
uint64_t raft_last_index(const struct raft *raft);

/* The entry at an index, or NULL when it is not held. */
struct raft_entry *raft_entry_at(const struct raft *raft, uint64_t index);

/* The term of an index that is held or is the snapshot's; else 0. */
uint64_t raft_term_at(const struct raft *raft, uint64_t index);

/* A copy on the heap with room for one more byte; never NULL. */
uint8_t *raft_copy_bytes(const uint8_t *data, size_t size);

/* Something has to be synced: entries from an index on, or with 0 the term and vote alone. */
void raft_mark_dirty(struct raft *raft, uint64_t from);

/* Append one entry; it is synced by the next raft_flush. */
void raft_append_entry(struct raft *raft, uint64_t term, uint32_t kind, const uint8_t *data, size_t size);

/* Drop the entries from an index on; they conflict with the leader's log. */
void raft_truncate_from(struct raft *raft, uint64_t from);

/* ---- members in force (raft_members.c) ---- */

/* The member with this identity, or NULL. */
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
int raft_members_valid(const uint8_t *packed, size_t size);

/* Members packed as a log entry holds them; the caller frees the result. */
uint8_t *raft_pack_members(const struct raft *raft, const struct raft_member *member, int count, size_t *len);

/* ---- elections (raft_election.c) ---- */

/* Wait a whole election timeout before asking for votes. */
void raft_reset_election_timer(struct raft *raft, int64_t now);

/* Ask for votes again after `wait` ms and a random part of RAFT_ELECTION_RETRY_MS. */
void raft_retry_election_after(struct raft *raft, int64_t wait, int64_t now);

/* Follow: of a later term when `term` is one. Ends a lease at once. */
void raft_become_follower(struct raft *raft, uint64_t term, int64_t now);

/* Whether the oldest sync under way has taken longer than RAFT_SYNC_STALL_MS. */
int raft_sync_stalled(const struct raft *raft, int64_t now);

/* Ask all voters for their vote, or with `pre` whether they would give it. */
void raft_request_votes(struct raft *raft, int pre, int64_t now, struct command_list *out);

/* Become candidate or leader once a majority has granted. */
void raft_count_votes(struct raft *raft, int64_t now, struct command_list *out);

/* Answer a request for votes. */
void raft_send_vote(struct raft *raft, uint64_t candidate_addr, uint64_t term, int granted, int pre,
		    struct command_list *out);

/* A candidate asks for this member's vote. */
void raft_on_vote_request(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out);

/* A member answers a request for its vote. */
void raft_on_vote_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			struct command_list *out);

/* After a restart: ask the other members whether one of them leads. */
void raft_send_probes(struct raft *raft, int64_t now, struct command_list *out);

/* Answer a restarted member. */
void raft_on_probe(struct raft *raft, const struct Nl__Msg *message, struct command_list *out);

/* A member says whether it leads; once none does, the vote barrier ends early. */
void raft_on_probe_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now);

/* The leader has stepped down: its successor stands for election at once, the others soon. */
void raft_on_step_down(struct raft *raft, const struct Nl__Msg *message, int64_t now,
		       struct command_list *out);

/* ---- replication (raft_replication.c) ---- */

/* Leader: advance commit index and lease by what a majority has synced and answered. */
void raft_advance_commit(struct raft *raft);

/* Leader: send appends to members that lack entries, or with `all` a heartbeat to each. */
void raft_replicate(struct raft *raft, int all, int64_t now, struct command_list *out);

/* Tell the leader up to which index this member has synced the leader's log. */
void raft_send_append_reply(struct raft *raft, uint64_t leader_addr, int success, uint64_t match,
			    uint64_t round, struct command_list *out);

/* A message of a leader: 0 when its term is over; else follow it and set the vote barrier. */
int raft_accept_leader(struct raft *raft, const struct Nl__Msg *message, uint64_t term, int64_t now);

/* Entries or a heartbeat of the leader. */
void raft_on_append(struct raft *raft, const struct Nl__Msg *message, int64_t now, struct command_list *out);

/* A member answers an append or a snapshot. */
void raft_on_append_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out);

/* ---- snapshots (raft_snapshot.c) ---- */

/* Leader: send pieces to a member whose next entry is no longer in the log, as far as the window allows. */
void raft_send_snapshot(struct raft *raft, struct raft_member *member, int64_t now, struct command_list *out);

/* Leader: the member needs no snapshot any more. */
void raft_end_transfer(struct raft *raft, struct raft_member *member);

/* Drop the snapshot before the newest when no transfer reads it. */
void raft_release_previous(struct raft *raft);

/* A piece of the leader's snapshot; the whole is installed in place of all state up to its index. */
void raft_on_snapshot_chunk(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out);

/* A member says how much of a snapshot it holds. */
void raft_on_snapshot_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out);

/* Forget the pieces that have come. */
void raft_drop_incoming(struct raft *raft);

/* ---- protocol checks (raft_validate.c) ---- */

/* Why a message cannot come from a member that keeps to the protocol, or NULL. */
const char *raft_message_fault(const struct raft *raft, const struct Nl__Msg *message);

/* ---- leaving and handing over (raft_transfer.c) ---- */

/* Leader: a member has said whether it is to stop. */
void raft_note_draining(struct raft *raft, struct raft_member *member, int draining);

/* Leader: a commit without a majority that stays rests on the copies of leaving members; they are held until
 * others have it. */
void raft_note_commit(struct raft *raft);

/* Leader: whether those who stay, and have synced an entry of this term, are a majority by themselves. */
void raft_count_remaining(struct raft *raft, int64_t now);

/* The index up to which a voter counts towards commits: none for one that leaves where the others suffice, or
 * that may have gone. */
uint64_t raft_counted_index(const struct raft *raft, const struct raft_member *member);

/* Leader: whether a leaving member may go, since all other voters hold what it holds. */
int raft_is_released(const struct raft *raft, const struct raft_member *member);

/* Leader: the most caught-up voter that answers and stays; 0 for none. */
uint64_t raft_successor(const struct raft *raft, int64_t now);

/* A leaving leader steps down once its successor has caught up, or after a while; 1 when it has. */
int raft_hand_over(struct raft *raft, int64_t now, struct command_list *out);

/* ---- epochs (raft_recovery.c) ---- */

/* Whether a message is of this member's epoch. Tells its sender, or this member itself, when one is of an
 * older epoch. */
int raft_is_of_this_epoch(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out);

/* Remember an identity of an older epoch; the next members entry carries it. */
void raft_add_fenced(struct raft *raft, uint64_t id);

/* Whether an identity is remembered as one of an older epoch. */
int raft_is_fenced(const struct raft *raft, uint64_t id);

#endif
