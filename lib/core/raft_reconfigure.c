/* Changes of membership, one member at a time: lost members are replaced, learners promoted, zones balanced.
 * Always: a change starts only when the change before it is committed, in the leader's own term, and only
 * towards a membership whose voters include a live majority that holds all that is committed. Called by the
 * control plane at the leader; calls raft_election.c, raft_members.c and raft_log.c.
 *
 * A lost voter is removed before its successor is promoted, so that its silence never counts towards a larger
 * majority; the successor has caught up as a learner by then. A voter that still answers is removed only
 * after its successor is promoted. A voter that is silent for a while gets a successor prepared as a learner,
 * which is removed again if it returns. */
#include <stdlib.h>
#include <string.h>

#include "raft_internal.h"

/* A learner that is silent for so long is removed, so that another can join; it has no vote that could be
 * missed. */
enum { LEARNER_LOST_MS = 2 * RAFT_LEASE_MS };

/* What the leader knows when it decides on a change. */
struct fleet_view {
	struct raft *raft;
	const struct raft_member *live; /* controllers known to the fleet, with their zones */
	int live_count;
	int64_t now;
};

/* The state of the membership. Positions are in raft->group.members; -1: none. */
struct membership_status {
	int voters;
	int suspects;       /* voters that are silent, for whom a learner is prepared */
	int lost_voters;    /* voters silent for longer than member_lost_ms */
	int lost_voter;     /* position of one of them */
	int draining_voter; /* position of one that is to stop, while those who stay are no majority by
			       themselves */
	int learner;        /* position */
	int lost_learner;   /* position */
};

static void change_members(struct raft *raft, const struct raft_member *members, int count)
{
	size_t len;
	uint8_t *packed = raft_pack_members(raft, members, count, &len);

	raft_append_entry(raft, raft->term, RAFT_ENTRY_MEMBERS, packed, len);
	raft_set_members(raft, packed, len, raft_last_index(raft));
	free(packed);
}

static const struct raft_member *find_live(const struct fleet_view *view, uint64_t id)
{
	for (int i = 0; i < view->live_count; i++)
		if (view->live[i].id == id)
			return &view->live[i];
	return NULL;
}

/* Another identity has the address of a member: the disk of that member was lost, and it will not come back.
 */
static bool is_replaced(const struct fleet_view *view, const struct raft_member *member)
{
	int other = 0;

	for (int i = 0; i < view->live_count; i++) {
		if (view->live[i].id == member->id)
			return false;
		other |= view->live[i].addr == member->addr;
	}
	return other && view->now - member->progress.last_reply_at_ms > RAFT_LEASE_MS;
}

static bool is_silent_for(const struct fleet_view *view, const struct raft_member *member, int64_t silent_ms)
{
	return member->id != view->raft->id &&
	       (view->now - member->progress.last_reply_at_ms > silent_ms || is_replaced(view, member));
}

static bool is_suspect(const struct fleet_view *view, const struct raft_member *member)
{
	return is_silent_for(view, member, view->raft->group.member_lost_ms * 2 / 3);
}

static bool is_lost(const struct fleet_view *view, const struct raft_member *member)
{
	return is_silent_for(view, member, view->raft->group.member_lost_ms);
}

/* Whether a member answers, and has synced all that is committed. */
static bool is_caught_up(const struct fleet_view *view, const struct raft_member *member)
{
	const struct raft *raft = view->raft;

	if (member->id == raft->id)
		return raft->disk.synced_index >= raft->log.commit_index;
	return !is_silent_for(view, member, RAFT_LEASE_MS) &&
	       member->progress.match_index >= raft->log.commit_index;
}

/* Whether these members could commit and elect by themselves at once. */
static bool has_ready_majority(const struct fleet_view *view, const struct raft_member *members, int count)
{
	int voters = 0, ready = 0;

	for (int i = 0; i < count; i++) {
		voters += members[i].voter;
		ready += members[i].voter && is_caught_up(view, &members[i]);
	}
	return ready > voters / 2;
}

/* Voters of a zone that are not silent. */
static int voters_in_zone(const struct fleet_view *view, uint64_t zone)
{
	const struct raft *raft = view->raft;
	int n = 0;

	for (int i = 0; i < raft->group.member_count && zone; i++)
		n += raft->group.members[i].voter && raft->group.members[i].zone == zone &&
		     !is_suspect(view, &raft->group.members[i]);
	return n;
}

/* The controller that joins next: of the zone with the fewest voters, the one that rendezvous hashing ranks
 * first. */
static const struct raft_member *next_replica(const struct fleet_view *view)
{
	const struct raft_member *best = NULL;
	uint32_t group = view->raft->shard;
	int fewest = 0;

	for (int i = 0; i < view->live_count; i++) {
		const struct raft_member *candidate = &view->live[i];
		int n = candidate->zone ? voters_in_zone(view, candidate->zone)
					: RAFT_MAX_MEMBERS; /* unknown yet: last */

		if (raft_find_member(view->raft, candidate->id) || raft_is_fenced(view->raft, candidate->id))
			continue;
		if (best && (n > fewest || (n == fewest && core_rendezvous_weight(group, candidate->id) <=
							       core_rendezvous_weight(group, best->id))))
			continue;
		best = candidate;
		fewest = n;
	}
	return best;
}

/* One voter too many: of the zone with the most voters, the one that rendezvous hashing ranks last; never the
 * leader. */
static int surplus_voter(const struct fleet_view *view)
{
	const struct raft *raft = view->raft;
	int worst = -1, most = 0;

	for (int i = 0; i < raft->group.member_count; i++) {
		const struct raft_member *member = &raft->group.members[i];
		int n = voters_in_zone(view, member->zone);

		if (member->id == raft->id || !member->voter)
			continue;
		if (worst >= 0 &&
		    (n < most ||
		     (n == most && core_rendezvous_weight(raft->shard, member->id) >=
				       core_rendezvous_weight(raft->shard, raft->group.members[worst].id))))
			continue;
		worst = i;
		most = n;
	}
	return worst;
}

/* Whether a controller's zone has two voters fewer than another: its joining spreads the group better. */
static int spreads_zones(const struct fleet_view *view, const struct raft_member *candidate)
{
	const struct raft *raft = view->raft;
	int most = 0;

	for (int i = 0; i < raft->group.member_count; i++) {
		int n = voters_in_zone(view, raft->group.members[i].zone);

		if (n > most)
			most = n;
	}
	return candidate->zone && voters_in_zone(view, candidate->zone) + 2 <= most;
}

/* Update zones and addresses to what the fleet knows; 1 when an address has changed and is being logged. */
static int update_addresses(const struct fleet_view *view)
{
	struct raft *raft = view->raft;
	struct raft_member members[RAFT_MAX_MEMBERS];
	int moved = 0;

	for (int i = 0; i < raft->group.member_count; i++) {
		const struct raft_member *known = find_live(view, raft->group.members[i].id);

		if (known && known->zone)
			raft->group.members[i].zone = known->zone;
	}
	memcpy(members, raft->group.members, sizeof members);
	for (int i = 0; i < raft->group.member_count && !moved; i++) {
		const struct raft_member *known = find_live(view, members[i].id);

		moved = known && known->addr != members[i].addr;
		if (moved)
			members[i].addr = known->addr;
	}
	if (moved)
		change_members(raft, members, raft->group.member_count);
	return moved;
}

/* A draining voter is replaced beforehand where those who stay could not go on by themselves. */
static int needs_successor(const struct raft *raft, const struct raft_member *member)
{
	return member->drain.requested && member->id != raft->id && !raft->drain.has_remaining_majority;
}

static struct membership_status assess_members(const struct fleet_view *view)
{
	const struct raft *raft = view->raft;
	struct membership_status standing = {
		.lost_voter = -1, .draining_voter = -1, .learner = -1, .lost_learner = -1
	};

	for (int i = 0; i < raft->group.member_count; i++) {
		const struct raft_member *member = &raft->group.members[i];

		if (!member->voter) {
			if (is_silent_for(view, member, LEARNER_LOST_MS) || raft_is_fenced(raft, member->id))
				standing.lost_learner = i;
			else
				standing.learner = i;
			continue;
		}
		standing.voters++;
		standing.suspects += is_suspect(view, member) || needs_successor(raft, member);
		if (needs_successor(raft, member))
			standing.draining_voter = i;
		standing.lost_voters += is_lost(view, member);
		if (is_lost(view, member))
			standing.lost_voter = i;
	}
	return standing;
}

/* Remove one member, unless the others would lack a live majority that holds all that is committed. */
static void remove_member(const struct fleet_view *view, int position)
{
	struct raft *raft = view->raft;
	struct raft_member members[RAFT_MAX_MEMBERS];

	memcpy(members, raft->group.members, sizeof members);
	members[position] = members[raft->group.member_count - 1];
	if (has_ready_majority(view, members, raft->group.member_count - 1))
		change_members(raft, members, raft->group.member_count - 1);
}

/* Give a learner its vote; it holds all that is committed. */
static void promote_learner(const struct fleet_view *view, int position)
{
	struct raft *raft = view->raft;
	struct raft_member members[RAFT_MAX_MEMBERS];

	memcpy(members, raft->group.members, sizeof members);
	members[position].voter = 1;
	if (has_ready_majority(view, members, raft->group.member_count))
		change_members(raft, members, raft->group.member_count);
}

static void add_learner(const struct fleet_view *view, const struct raft_member *joining)
{
	struct raft *raft = view->raft;
	struct raft_member members[RAFT_MAX_MEMBERS];
	int count = raft->group.member_count;

	memcpy(members, raft->group.members, sizeof members);
	memset(&members[count], 0, sizeof *members);
	members[count].id = joining->id;
	members[count].addr = joining->addr;
	change_members(raft, members, count + 1);
	raft_find_member(raft, joining->id)->progress.last_reply_at_ms = view->now;
	raft_find_member(raft, joining->id)->zone = joining->zone;
}

/* A learner has stopped answering. Where it makes up for a voter of the minimum it is removed only once
 * another has caught up. */
static void replace_learner(const struct fleet_view *view, const struct membership_status *standing,
			    const struct raft_member *joining)
{
	int others = standing->voters + (standing->learner >= 0 &&
					 is_caught_up(view, &view->raft->group.members[standing->learner]));

	if (others >= RAFT_MIN_VOTERS)
		remove_member(view, standing->lost_learner);
	else if (standing->learner < 0 && joining)
		add_learner(view, joining);
}

/* There is a learner: promote it, remove the voter that it replaces first, or remove it when it is no longer
 * needed. */
static void use_learner(const struct fleet_view *view, const struct membership_status *standing)
{
	const struct raft *raft = view->raft;
	const struct raft_member *learner = &raft->group.members[standing->learner];
	int wanted =
	    standing->voters < raft->group.replicas || (!standing->suspects && spreads_zones(view, learner));

	if (!standing->suspects && !wanted) {
		remove_member(view, standing->learner);
		return;
	}
	if (!is_caught_up(view, learner) || learner->progress.match_index < raft->log.term_start_index)
		return;
	if (standing->lost_voter >= 0)
		remove_member(view, standing->lost_voter);
	else if (wanted || standing->draining_voter >= 0)
		promote_learner(view, standing->learner);
}

/* Without a successor a lost voter is removed where that lets the rest survive one more loss, never below the
 * minimum. */
static int shrinks_well(const struct membership_status *standing)
{
	return standing->lost_voters && standing->voters > RAFT_MIN_VOTERS &&
	       (standing->voters % 2 == 0 || standing->lost_voters > 1);
}

void raft_reconfigure(struct raft *raft, const struct raft_member *live, int live_count, int64_t now)
{
	struct fleet_view view = { raft, live, live_count, now };
	const struct raft_member *joining;
	struct membership_status standing;

	if (!raft_has_lease(raft, now) || raft->group.members_index > raft->log.commit_index ||
	    update_addresses(&view))
		return;
	standing = assess_members(&view);
	joining = raft->group.member_count < RAFT_MAX_MEMBERS ? next_replica(&view) : NULL;
	if (standing.lost_learner >= 0) {
		replace_learner(&view, &standing, joining);
		return;
	}
	if (standing.learner >= 0) {
		use_learner(&view, &standing);
		return;
	}
	if (joining &&
	    (standing.suspects || standing.voters < raft->group.replicas || spreads_zones(&view, joining)) &&
	    standing.voters <= raft->group.replicas)
		add_learner(&view, joining);
	else if (shrinks_well(&standing))
		remove_member(&view, standing.lost_voter);
	else if (standing.voters > raft->group.replicas && standing.lost_voters)
		remove_member(&view, standing.lost_voter);
	else if (standing.voters > raft->group.replicas && standing.draining_voter >= 0)
		remove_member(&view, standing.draining_voter);
	else if (standing.voters > raft->group.replicas && !standing.suspects)
		remove_member(&view, surplus_voter(&view));
}
