#include "explore_check.h"

#include <stdarg.h>
#include <string.h>

#include "containers.h"

void check_fail(enum explore_invariant invariant, const char *format, ...)
{
	va_list args;

	if (explore_violation)
		return;
	explore_violation = invariant;
	va_start(args, format);
	(void)vsnprintf(explore_violation_text, sizeof explore_violation_text, format, args);
	va_end(args);
}

static uint64_t last_index(const struct raft *raft)
{
	return raft->log.base_index + (uint64_t)arrlen(raft->log.entries);
}

static const struct raft_entry *entry_at(const struct raft *raft, uint64_t index)
{
	return index > raft->log.base_index && index <= last_index(raft)
		   ? &raft->log.entries[index - raft->log.base_index - 1]
		   : NULL;
}

static uint64_t disk_last(const struct explore_disk *disk)
{
	return disk->entry_count ? disk->first_index + disk->entry_count - 1 : disk->snapshot_index;
}

/* Whether a disk holds the entry that was committed at an index, in its log or its snapshot. */
static int disk_holds(const struct explore_disk *disk, uint64_t index)
{
	if (index <= disk->snapshot_index)
		return 1;
	return disk->entry_count && index >= disk->first_index && index <= disk_last(disk) &&
	       disk->entries[index - disk->first_index].term == explore_world.history.committed[index].term;
}

static struct explore_replica *replica_of(uint64_t identity)
{
	for (int i = 0; i < explore_world.node_count; i++)
		if (explore_world.replica[i].identity == identity)
			return &explore_world.replica[i];
	return NULL;
}

/* ---- votes and acknowledgements ------------------------------------------- */

static void note_vote(uint64_t identity, uint64_t term, uint64_t vote)
{
	uint8_t *known = &explore_world.history.vote[identity][term];

	if (!vote)
		return;
	if (*known && *known != vote)
		check_fail(ONE_VOTE_A_TERM, "replica %d voted in term %d for %d and for %d", (int)identity,
			   (int)term, *known, (int)vote);
	*known = (uint8_t)vote;
}

static void check_voter_log(int node)
{
	const struct explore_history *history = &explore_world.history;
	const struct explore_replica *replica = &explore_world.replica[node];

	for (uint64_t i = 1; i <= history->commit; i++)
		if (history->acknowledged[replica->identity][i] == history->committed[i].term &&
		    !disk_holds(&replica->disk, i))
			check_fail(VOTER_KEEPS_WHAT_IT_ACKNOWLEDGED,
				   "replica %d votes without entry %d, which it acknowledged",
				   replica->identity, (int)i);
}

static void check_vote_reply(int node, const struct command *cmd)
{
	const struct Nl__VoteReply *reply = cmd->args.send.msg->vote_reply;
	const struct explore_replica *replica = &explore_world.replica[node];
	int candidate = explore_node_at(cmd->args.send.addr);

	if (!reply->granted || reply->is_pre_vote || candidate < 0)
		return;
	if (replica->disk.term < reply->term || (replica->disk.term == reply->term && !replica->disk.vote))
		check_fail(VOTE_IS_ON_DISK, "replica %d grants term %d before its vote is on the disk",
			   replica->identity, (int)reply->term);
	check_voter_log(node);
}

static void check_append_reply(int node, const struct command *cmd)
{
	const struct Nl__AppendReply *reply = cmd->args.send.msg->append_reply;
	struct explore_replica *replica = &explore_world.replica[node];
	const struct explore_disk *disk = &replica->disk;
	struct explore_history *history = &explore_world.history;

	if (!reply->success)
		return;
	if (reply->match_index > disk_last(disk))
		check_fail(ACKNOWLEDGED_IS_ON_DISK, "replica %d acknowledges %d, its disk has %d",
			   replica->identity, (int)reply->match_index, (int)disk_last(disk));
	for (uint64_t i = 1; i <= reply->match_index && i <= disk->snapshot_index; i++)
		history->acknowledged[replica->identity][i] = (uint8_t)history->committed[i].term;
	for (uint64_t i = disk->first_index;
	     disk->entry_count && i <= reply->match_index && i <= disk_last(disk); i++)
		history->acknowledged[replica->identity][i] =
		    (uint8_t)disk->entries[i - disk->first_index].term;
}

void check_message(int node, const struct command *cmd)
{
	switch (cmd->args.send.msg->body_case) {
	case NL__MSG__BODY_VOTE_REPLY:
		check_vote_reply(node, cmd);
		break;
	case NL__MSG__BODY_APPEND_REPLY:
		check_append_reply(node, cmd);
		break;
	default:
		break;
	}
}

void check_disk(int node)
{
	const struct explore_replica *replica = &explore_world.replica[node];

	note_vote(replica->identity, replica->disk.term, replica->disk.vote);
}

/* ---- the state machine ------------------------------------------------------ */

static void check_machine(int node)
{
	const struct explore_history *history = &explore_world.history;
	const struct explore_machine *machine = &explore_world.replica[node].machine;
	uint32_t n = 0;

	for (uint64_t i = 1; i <= machine->applied && i <= history->commit; i++) {
		size_t bytes;

		if (history->committed[i].kind != RAFT_ENTRY_OPERATION)
			continue;
		if (n >= machine->operation_count ||
		    memcmp(explore_blob(history->committed[i].blob, &bytes), &machine->operations[n],
			   sizeof *machine->operations))
			check_fail(APPLIED_IN_ORDER, "replica %d: operation %d differs from entry %d",
				   explore_world.replica[node].identity, (int)n, (int)i);
		n++;
	}
	if (n != machine->operation_count)
		check_fail(APPLIED_IN_ORDER, "replica %d applied %d operations up to %d, others %d",
			   explore_world.replica[node].identity, (int)machine->operation_count,
			   (int)machine->applied, (int)n);
}

static void note_committed(int node);

void check_applied(int node, uint64_t index, const struct raft_entry *entry)
{
	(void)entry;
	note_committed(node);
	if (index > explore_world.history.commit)
		check_fail(APPLIED_IN_ORDER, "replica %d applied %d, which is not committed",
			   explore_world.replica[node].identity, (int)index);
}

void check_loaded(int node)
{
	if (explore_world.replica[node].machine.applied > explore_world.history.commit)
		check_fail(APPLIED_IN_ORDER, "replica %d: a snapshot of what is not committed",
			   explore_world.replica[node].identity);
}

/* ---- the log ------------------------------------------------------------------ */

static int is_committed_entry(const struct raft_entry *entry, uint64_t index)
{
	const struct explore_history *history = &explore_world.history;

	return entry->term == history->committed[index].term &&
	       entry->kind == history->committed[index].kind &&
	       explore_intern(entry->data, entry->len) == history->committed[index].blob;
}

/* Whether a member has the entry that was committed at an index. One that has lost its disk counts as long as
 * it is a member; one that was released does not. */
static int member_holds(const struct raft_member *member, uint64_t index)
{
	const struct explore_history *history = &explore_world.history;
	const struct explore_replica *replica = replica_of(member->id);

	if (history->ended[member->id])
		return 0;
	return replica ? disk_holds(&replica->disk, index)
		       : history->acknowledged[member->id][index] == history->committed[index].term;
}

/* Whether an identity is there with the entry at an index, or would be but for a disk that was lost, which is
 * another loss. */
static int holds_or_was_lost(uint64_t id, uint64_t index)
{
	const struct explore_replica *replica = replica_of(id);

	if (explore_world.history.ended[id])
		return 0;
	return !replica || disk_holds(&replica->disk, index);
}

static void check_copies(const struct raft *raft, uint64_t index)
{
	int voters = 0, copies = 0;

	for (int i = 0; i < raft->group.member_count; i++) {
		if (!raft->group.members[i].voter)
			continue;
		voters++;
		copies += member_holds(&raft->group.members[i], index);
	}
	if (copies <= voters / 2)
		check_fail(COMMITTED_ON_A_MAJORITY, "entry %d, committed, is on %d of %d disks", (int)index,
			   copies, voters);
}

/* The packed members that a replica has in force. */
static uint32_t members_in_force(const struct raft *raft)
{
	for (uint64_t i = last_index(raft); i > raft->log.base_index; i--)
		if (entry_at(raft, i)->kind == RAFT_ENTRY_MEMBERS)
			return explore_intern(entry_at(raft, i)->data, entry_at(raft, i)->len);
	return explore_intern(raft->snapshots.newest.members, raft->snapshots.newest.members_len);
}

static void note_committed(int node)
{
	struct explore_history *history = &explore_world.history;
	const struct raft *raft = explore_raft(node);

	for (uint64_t i = raft->log.base_index + 1; i <= raft->log.commit_index && i <= history->commit; i++)
		if (!is_committed_entry(entry_at(raft, i), i))
			check_fail(COMMITTED_STAYS, "replica %d has another entry %d than was committed",
				   explore_world.replica[node].identity, (int)i);
	while (history->commit < raft->log.commit_index) {
		const struct raft_entry *entry = entry_at(raft, history->commit + 1);

		if (!entry) {
			check_fail(COMMITTED_STAYS, "replica %d commits %d, which it does not hold",
				   explore_world.replica[node].identity, (int)history->commit + 1);
			return;
		}
		history->commit++;
		history->committed[history->commit].term = entry->term;
		history->committed[history->commit].commit_term = raft->term;
		history->committed[history->commit].kind = entry->kind;
		history->committed[history->commit].blob = explore_intern(entry->data, entry->len);
		history->commit_members = members_in_force(raft);
		if (raft->role == RAFT_LEADER)
			check_copies(raft, history->commit);
	}
}

/* Entries of one index and term are the same, and so is all before them. */
static void check_logs(int node, int other)
{
	const struct raft *a = explore_raft(node), *b = explore_raft(other);
	uint64_t from = a->log.base_index > b->log.base_index ? a->log.base_index : b->log.base_index;
	uint64_t to = last_index(a) < last_index(b) ? last_index(a) : last_index(b);
	int same = 0;

	for (uint64_t i = to; i > from; i--) {
		const struct raft_entry *x = entry_at(a, i), *y = entry_at(b, i);
		int equal = x->term == y->term && x->kind == y->kind && x->len == y->len &&
			    !memcmp(x->data, y->data, x->len);

		same |= x->term == y->term;
		if (same && !equal)
			check_fail(LOGS_MATCH, "replicas %d and %d differ at entry %d",
				   explore_world.replica[node].identity,
				   explore_world.replica[other].identity, (int)i);
	}
}

/* A leader begins: votes of a majority of its members have reached their disks. */
static void check_elected(int node)
{
	const struct raft *raft = explore_raft(node);
	int voters = 0, votes = 0;

	for (int i = 0; i < raft->group.member_count; i++) {
		voters += raft->group.members[i].voter;
		votes += raft->group.members[i].voter &&
			 explore_world.history.vote[raft->group.members[i].id][raft->term] == raft->id;
	}
	if (votes <= voters / 2)
		check_fail(VOTE_IS_ON_DISK, "replica %d leads term %d with %d of %d votes on disks",
			   (int)raft->id, (int)raft->term, votes, voters);
}

static void check_leader(int node)
{
	struct explore_history *history = &explore_world.history;
	const struct explore_replica *replica = &explore_world.replica[node];
	const struct raft *raft = explore_raft(node);

	if (history->leader[raft->term] && history->leader[raft->term] != replica->identity)
		check_fail(ONE_LEADER_A_TERM, "term %d has the leaders %d and %d", (int)raft->term,
			   history->leader[raft->term], replica->identity);
	if (!history->leader[raft->term])
		check_elected(node);
	history->leader[raft->term] = replica->identity;
	for (uint64_t i = raft->log.base_index + 1; i <= history->commit; i++)
		if (history->committed[i].commit_term < raft->term &&
		    (i > last_index(raft) || !is_committed_entry(entry_at(raft, i), i)))
			check_fail(LEADER_HAS_ALL_COMMITTED, "leader %d of term %d lacks entry %d",
				   replica->identity, (int)raft->term, (int)i);
}

/* ---- membership ---------------------------------------------------------------- */

struct voters {
	int n;
	uint64_t id[RAFT_MAX_MEMBERS];
};

static struct voters voters_unpack(const uint8_t *d, size_t n)
{
	struct Nl__Members *members = nl__members__unpack(NULL, n, d);
	struct voters voters = { 0 };

	for (size_t i = 0; members && i < members->n_members; i++)
		if (members->members[i]->voter)
			voters.id[voters.n++] = members->members[i]->id;
	if (members)
		nl__members__free_unpacked(members, NULL);
	return voters;
}

/* The voters of the newest membership that is committed. */
static struct voters committed_voters(void)
{
	const struct explore_history *history = &explore_world.history;

	for (uint64_t i = history->commit; i; i--)
		if (history->committed[i].kind == RAFT_ENTRY_MEMBERS) {
			size_t n;
			const uint8_t *d = explore_blob(history->committed[i].blob, &n);

			return voters_unpack(d, n);
		}
	return (struct voters){ 0 };
}

static int majority_holds(const struct voters *voters, uint64_t without, uint64_t index)
{
	int copies = 0;

	for (int i = 0; i < voters->n; i++)
		copies += voters->id[i] != without && holds_or_was_lost(voters->id[i], index);
	return copies > voters->n / 2;
}

/* Whether a majority holds all up to an index without one identity: of the newest membership that is
 * committed, or of that by which the newest entry was committed, which its leader may just have put in force.
 * Any two such majorities meet. */
static int is_held_without(uint64_t without, uint64_t index)
{
	struct voters voters = committed_voters();
	size_t n;
	const uint8_t *members;

	if (!voters.n || majority_holds(&voters, without, index))
		return 1;
	members = explore_blob(explore_world.history.commit_members, &n);
	voters = voters_unpack(members, n);
	return majority_holds(&voters, without, index);
}

/* Those that were released are not needed: a majority of the group holds all that is committed without them.
 */
void check_ended(void)
{
	if (!is_held_without(0, explore_world.history.commit))
		check_fail(ENDED_IS_NOT_NEEDED, "entry %d is on no majority of disks after a leave",
			   (int)explore_world.history.commit);
}

/* How many are in one set and not in the other. */
static int voters_differ(const struct voters *a, const struct voters *b)
{
	int common = 0;

	for (int i = 0; i < a->n; i++)
		for (int k = 0; k < b->n; k++)
			common += a->id[i] == b->id[k];
	return a->n + b->n - 2 * common;
}

static void check_changes(int node)
{
	const struct raft *raft = explore_raft(node);
	int uncommitted = 0, known = raft->snapshots.newest.index > 0;
	struct voters before =
	    voters_unpack(raft->snapshots.newest.members, raft->snapshots.newest.members_len);

	for (uint64_t i = raft->log.base_index + 1; i <= last_index(raft); i++) {
		const struct raft_entry *entry = entry_at(raft, i);
		struct voters voters;

		if (entry->kind != RAFT_ENTRY_MEMBERS)
			continue;
		voters = voters_unpack(entry->data, entry->len);
		uncommitted += i > raft->log.commit_index && entry->term == raft->term;
		if (i > raft->snapshots.newest.index && known && voters_differ(&before, &voters) > 1)
			check_fail(ONE_CHANGE_AT_A_TIME, "replica %d: entry %d changes %d voters",
				   explore_world.replica[node].identity, (int)i,
				   voters_differ(&before, &voters));
		if (i > raft->snapshots.newest.index)
			before = voters;
		known = 1;
	}
	if (raft->role == RAFT_LEADER && uncommitted > 1)
		check_fail(ONE_CHANGE_AT_A_TIME, "leader %d has %d changes of membership not committed",
			   explore_world.replica[node].identity, uncommitted);
	if (raft->role == RAFT_LEADER && uncommitted && raft->log.commit_index < raft->log.term_start_index)
		check_fail(CHANGE_AFTER_OWN_COMMIT,
			   "leader %d changes the membership before an entry of its term is committed",
			   explore_world.replica[node].identity);
}

/* Never fewer members than the minimum. A lost voter may be removed before its successor, which is a learner
 * then, has its vote. */
static void check_voters(int node)
{
	const struct raft *raft = explore_raft(node);
	int voters = 0;

	for (int i = 0; i < raft->group.member_count; i++)
		voters += raft->group.members[i].voter;
	if (raft->group.member_count &&
	    (raft->group.member_count < RAFT_MIN_VOTERS || voters < RAFT_MIN_VOTERS - 1))
		check_fail(ENOUGH_VOTERS, "replica %d knows of %d members, %d of them voters",
			   explore_world.replica[node].identity, raft->group.member_count, voters);
}

/* A leader has just changed the membership: a majority of the new voters has all that is committed on its
 * disks, and where there are fewer voters than the minimum, learners that have it make up for them. */
static void check_new_members(int node)
{
	struct explore_replica *replica = &explore_world.replica[node];
	const struct raft *raft = explore_raft(node);
	int adds = raft->group.member_count > replica->member_count; /* and takes no copy away */
	int voters = 0, copies = 0;

	if (raft->role == RAFT_LEADER && raft->group.members_index > raft->log.commit_index &&
	    raft->group.members_index > replica->members_index) {
		check_copies(raft, raft->log.commit_index);
		for (int i = 0; i < raft->group.member_count; i++) {
			voters += raft->group.members[i].voter;
			copies += member_holds(&raft->group.members[i], raft->log.commit_index);
		}
		if (!adds && voters < RAFT_MIN_VOTERS && copies < RAFT_MIN_VOTERS)
			check_fail(ENOUGH_VOTERS, "leader %d leaves %d voters, and %d copies of entry %d",
				   replica->identity, voters, copies, (int)raft->log.commit_index);
	}
	replica->members_index = raft->group.members_index;
	replica->member_count = (uint8_t)raft->group.member_count;
}

static int is_in(const struct voters *voters, uint64_t id)
{
	for (int i = 0; i < voters->n; i++)
		if (voters->id[i] == id)
			return 1;
	return 0;
}

/* One that may stop takes no copy along that is needed: a majority of the group has all that it knows as
 * committed without it. The group is as its newest committed membership says, of which the leaving one may
 * not have heard. */
static void check_leaving(int node)
{
	const struct raft *raft = explore_raft(node);
	struct voters voters = committed_voters();

	if (!raft->drain.requested || !raft_may_stop(raft, explore_world.now) || raft->removed ||
	    !is_in(&voters, raft->id))
		return;
	if (!majority_holds(&voters, raft->id, raft->log.commit_index))
		check_fail(DRAINED_IS_NOT_NEEDED,
			   "replica %d may leave, entry %d is on no majority of others' disks", (int)raft->id,
			   (int)raft->log.commit_index);
}

/* ---- all ---------------------------------------------------------------------- */

void check_replica(int node)
{
	struct explore_replica *replica = &explore_world.replica[node];
	const struct raft *raft = explore_raft(node);

	if (raft->log.commit_index < replica->commit)
		check_fail(COMMIT_NEVER_GOES_BACK, "replica %d: commit went from %d to %d", replica->identity,
			   (int)replica->commit, (int)raft->log.commit_index);
	if (raft->role == RAFT_LEADER && raft->log.commit_index > replica->commit &&
	    raft->log.commit_index > raft->log.base_index &&
	    entry_at(raft, raft->log.commit_index)->term != raft->term && raft->term == replica->led_term)
		check_fail(LEADER_COMMITS_ITS_TERM, "leader %d of term %d commits up to %d, of term %d",
			   replica->identity, (int)raft->term, (int)raft->log.commit_index,
			   (int)entry_at(raft, raft->log.commit_index)->term);
	replica->commit = raft->log.commit_index;
	replica->led_term = raft->role == RAFT_LEADER ? raft->term : 0;
	note_committed(node);
	check_machine(node);
	if (raft->role == RAFT_LEADER)
		check_leader(node);
	for (int i = 0; i < explore_world.node_count; i++)
		if (i != node && explore_raft(i))
			check_logs(node, i);
	check_changes(node);
	check_voters(node);
	check_new_members(node);
	check_leaving(node);
}

void check_leases(void)
{
	int holder = -1;

	for (int i = 0; i < explore_world.node_count; i++) {
		const struct raft *raft = explore_raft(i);

		if (!raft || !raft_has_lease(raft, explore_world.now))
			continue;
		if (holder >= 0)
			check_fail(ONE_LEASE_AT_A_TIME, "replicas %d and %d both have a lease",
				   explore_world.replica[holder].identity, explore_world.replica[i].identity);
		holder = i;
		if (explore_world.replica[i].machine.applied < explore_world.history.commit)
			check_fail(READS_ARE_FRESH, "replica %d has a lease and applied %d of %d",
				   explore_world.replica[i].identity,
				   (int)explore_world.replica[i].machine.applied,
				   (int)explore_world.history.commit);
	}
}
