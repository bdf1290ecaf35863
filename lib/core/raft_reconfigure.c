/* Membership changes of a Raft group, one member at a time, decided by the leader: they replace lost
 * members, promote learners and balance the voters over zones.
 *
 * Invariants: a change is started only after the previous change is committed and an entry of the leader's
 * own term is committed, and only if the voters of the new membership include a responsive majority that
 * has synced all committed entries.
 *
 * A lost voter is removed before its successor is promoted. Otherwise the group would need a larger
 * majority while the lost voter still counts as one of its voters. By then the successor has caught up as
 * a learner. A voter that still responds is removed only after its successor is promoted. When a voter has
 * been silent for two thirds of member_lost_ms, a learner is added as its prospective successor; the
 * learner is removed again if the voter returns. */
#include <stdlib.h>
#include <string.h>

#include "raft_internal.h"

/* A learner that is silent for this long is removed, so that another controller can join. A learner has no
 * vote, so its removal costs the group no voter. */
enum { LEARNER_LOST_MS = 2 * RAFT_LEASE_MS };

/* The input of the leader's decision on a membership change. */
struct fleet_view {
	struct raft *raft;
	const struct raft_member *controllers; /* known to the fleet, with their zones */
	int controller_count;
	int64_t now;
};

/* Summary of the group's members. Positions are indices of raft->group.members; -1 means none. */
struct membership_status {
	int voter_count;
	int suspect_count;    /* silent or draining voters for which a successor is prepared as a learner */
	int lost_voter_count; /* voters that have been silent for longer than member_lost_ms */
	int lost_voter_position;     /* one of the lost voters */
	int draining_voter_position; /* a voter that drains while the voters that stay are no majority by
					themselves */
	int learner_position;
	int lost_learner_position;
};

static void log_members(struct raft *raft, const struct raft_member *members, int count)
{
	size_t len;
	uint8_t *packed = raft_pack_members(raft, members, count, &len);

	raft_append_entry(raft, raft->term, RAFT_ENTRY_MEMBERS, packed, len);
	raft_set_members(raft, packed, len, raft_last_index(raft));
	free(packed);
}

static const struct raft_member *find_controller(const struct fleet_view *view, uint64_t id)
{
	for (int i = 0; i < view->controller_count; i++)
		if (view->controllers[i].id == id)
			return &view->controllers[i];
	return NULL;
}

/* Whether another identity uses the address of a silent member. In that case the member's disk was lost,
 * and its identity will not rejoin. */
static bool is_address_reused(const struct fleet_view *view, const struct raft_member *member)
{
	int address_in_use = 0;

	for (int i = 0; i < view->controller_count; i++) {
		if (view->controllers[i].id == member->id)
			return false;
		address_in_use |= view->controllers[i].addr == member->addr;
	}
	return address_in_use && view->now - member->progress.last_reply_at_ms > RAFT_LEASE_MS;
}

static bool is_silent_for(const struct fleet_view *view, const struct raft_member *member, int64_t silent_ms)
{
	return member->id != view->raft->id &&
	       (view->now - member->progress.last_reply_at_ms > silent_ms || is_address_reused(view, member));
}

static bool is_suspect(const struct fleet_view *view, const struct raft_member *member)
{
	return is_silent_for(view, member, view->raft->group.member_lost_ms * 2 / 3);
}

static bool is_lost(const struct fleet_view *view, const struct raft_member *member)
{
	return is_silent_for(view, member, view->raft->group.member_lost_ms);
}

/* Whether a member responds and has synced all committed entries. */
static bool is_caught_up(const struct fleet_view *view, const struct raft_member *member)
{
	const struct raft *raft = view->raft;

	if (member->id == raft->id)
		return raft->disk.synced_index >= raft->log.commit_index;
	return !is_silent_for(view, member, RAFT_LEASE_MS) &&
	       member->progress.match_index >= raft->log.commit_index;
}

/* Whether a majority of the voters among these members responds and has synced all committed entries, so
 * that they can commit entries and elect a leader at once. */
static bool has_ready_majority(const struct fleet_view *view, const struct raft_member *members, int count)
{
	int voter_count = 0, ready_count = 0;

	for (int i = 0; i < count; i++) {
		voter_count += members[i].voter;
		ready_count += members[i].voter && is_caught_up(view, &members[i]);
	}
	return ready_count > voter_count / 2;
}

/* Counts the voters of a zone that are not silent; 0 for the unknown zone. */
static int responsive_voters_in_zone(const struct fleet_view *view, uint64_t zone)
{
	const struct raft *raft = view->raft;
	int voter_count = 0;

	for (int i = 0; i < raft->group.member_count && zone; i++)
		voter_count += raft->group.members[i].voter && raft->group.members[i].zone == zone &&
			       !is_suspect(view, &raft->group.members[i]);
	return voter_count;
}

/* Returns the controller that joins the group next, or NULL: of the zone with the fewest responsive
 * voters, the controller that rendezvous hashing ranks first. */
static const struct raft_member *next_controller_to_join(const struct fleet_view *view)
{
	const struct raft_member *best = NULL;
	uint32_t shard = view->raft->shard;
	int fewest_voters = 0;

	for (int i = 0; i < view->controller_count; i++) {
		const struct raft_member *controller = &view->controllers[i];
		int zone_voters = controller->zone
				      ? responsive_voters_in_zone(view, controller->zone)
				      : RAFT_MAX_MEMBERS; /* controllers of unknown zone rank last */

		if (raft_find_member(view->raft, controller->id) ||
		    raft_is_fenced_id(view->raft, controller->id))
			continue;
		if (best && (zone_voters > fewest_voters ||
			     (zone_voters == fewest_voters && core_rendezvous_weight(shard, controller->id) <=
								  core_rendezvous_weight(shard, best->id))))
			continue;
		best = controller;
		fewest_voters = zone_voters;
	}
	return best;
}

/* Returns the position of the voter to remove when there is one too many: of the zone with the most
 * responsive voters, the one that rendezvous hashing ranks last. The leader is never selected. */
static int find_surplus_voter(const struct fleet_view *view)
{
	const struct raft *raft = view->raft;
	int surplus_position = -1, most_voters = 0;

	for (int i = 0; i < raft->group.member_count; i++) {
		const struct raft_member *member = &raft->group.members[i];
		int zone_voters = responsive_voters_in_zone(view, member->zone);

		if (member->id == raft->id || !member->voter)
			continue;
		if (surplus_position >= 0 &&
		    (zone_voters < most_voters ||
		     (zone_voters == most_voters &&
		      core_rendezvous_weight(raft->shard, member->id) >=
			  core_rendezvous_weight(raft->shard, raft->group.members[surplus_position].id))))
			continue;
		surplus_position = i;
		most_voters = zone_voters;
	}
	return surplus_position;
}

/* Whether a controller's zone has at least two responsive voters fewer than another zone, so that the
 * group is spread more evenly over zones if the controller joins. */
static int improves_zone_spread(const struct fleet_view *view, const struct raft_member *controller)
{
	const struct raft *raft = view->raft;
	int most_voters = 0;

	for (int i = 0; i < raft->group.member_count; i++) {
		int zone_voters = responsive_voters_in_zone(view, raft->group.members[i].zone);

		if (zone_voters > most_voters)
			most_voters = zone_voters;
	}
	return controller->zone && responsive_voters_in_zone(view, controller->zone) + 2 <= most_voters;
}

/* Update the zones of members, and the address of one member, to those known to the fleet. Returns 1 if an
 * address has changed, and a members entry with it has been appended. */
static int update_zones_and_addresses(const struct fleet_view *view)
{
	struct raft *raft = view->raft;
	struct raft_member members[RAFT_MAX_MEMBERS];
	int has_changed = 0;

	for (int i = 0; i < raft->group.member_count; i++) {
		const struct raft_member *controller = find_controller(view, raft->group.members[i].id);

		if (controller && controller->zone)
			raft->group.members[i].zone = controller->zone;
	}
	memcpy(members, raft->group.members, sizeof members);
	for (int i = 0; i < raft->group.member_count && !has_changed; i++) {
		const struct raft_member *controller = find_controller(view, members[i].id);

		has_changed = controller && controller->addr != members[i].addr;
		if (has_changed)
			members[i].addr = controller->addr;
	}
	if (has_changed)
		log_members(raft, members, raft->group.member_count);
	return has_changed;
}

/* Whether a draining voter has to be replaced before it stops, because the voters that stay are no
 * majority by themselves. */
static int needs_successor(const struct raft *raft, const struct raft_member *member)
{
	return member->drain.requested && member->id != raft->id && !raft->drain.has_remaining_majority;
}

static struct membership_status assess_members(const struct fleet_view *view)
{
	const struct raft *raft = view->raft;
	struct membership_status status = { .lost_voter_position = -1,
					    .draining_voter_position = -1,
					    .learner_position = -1,
					    .lost_learner_position = -1 };

	for (int i = 0; i < raft->group.member_count; i++) {
		const struct raft_member *member = &raft->group.members[i];

		if (!member->voter) {
			if (is_silent_for(view, member, LEARNER_LOST_MS) ||
			    raft_is_fenced_id(raft, member->id))
				status.lost_learner_position = i;
			else
				status.learner_position = i;
			continue;
		}
		status.voter_count++;
		status.suspect_count += is_suspect(view, member) || needs_successor(raft, member);
		if (needs_successor(raft, member))
			status.draining_voter_position = i;
		status.lost_voter_count += is_lost(view, member);
		if (is_lost(view, member))
			status.lost_voter_position = i;
	}
	return status;
}

/* Remove one member, unless the remaining voters would have no majority that responds and has synced all
 * committed entries. */
static void remove_member(const struct fleet_view *view, int position)
{
	struct raft *raft = view->raft;
	struct raft_member members[RAFT_MAX_MEMBERS];

	memcpy(members, raft->group.members, sizeof members);
	members[position] = members[raft->group.member_count - 1];
	if (has_ready_majority(view, members, raft->group.member_count - 1))
		log_members(raft, members, raft->group.member_count - 1);
}

/* Make a learner a voter, unless the voters would then have no majority that responds and has synced all
 * committed entries. */
static void promote_learner(const struct fleet_view *view, int position)
{
	struct raft *raft = view->raft;
	struct raft_member members[RAFT_MAX_MEMBERS];

	memcpy(members, raft->group.members, sizeof members);
	members[position].voter = 1;
	if (has_ready_majority(view, members, raft->group.member_count))
		log_members(raft, members, raft->group.member_count);
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
	log_members(raft, members, count + 1);
	raft_find_member(raft, joining->id)->progress.last_reply_at_ms = view->now;
	raft_find_member(raft, joining->id)->zone = joining->zone;
}

/* Handle a learner that no longer responds. If the group has fewer than RAFT_MIN_VOTERS voters, the
 * learner is removed only after another learner has caught up. */
static void replace_lost_learner(const struct fleet_view *view, const struct membership_status *status,
				 const struct raft_member *joining)
{
	int remaining_voters =
	    status->voter_count + (status->learner_position >= 0 &&
				   is_caught_up(view, &view->raft->group.members[status->learner_position]));

	if (remaining_voters >= RAFT_MIN_VOTERS)
		remove_member(view, status->lost_learner_position);
	else if (status->learner_position < 0 && joining)
		add_learner(view, joining);
}

/* Perform the next step for the learner of the group: remove it if it is no longer needed; once it has
 * caught up, remove the lost voter that it replaces, or else promote it. */
static void promote_or_remove_learner(const struct fleet_view *view, const struct membership_status *status)
{
	const struct raft *raft = view->raft;
	const struct raft_member *learner = &raft->group.members[status->learner_position];
	int is_needed = status->voter_count < raft->group.target_voters ||
			(!status->suspect_count && improves_zone_spread(view, learner));

	if (!status->suspect_count && !is_needed) {
		remove_member(view, status->learner_position);
		return;
	}
	if (!is_caught_up(view, learner) || learner->progress.match_index < raft->log.term_start_index)
		return;
	if (status->lost_voter_position >= 0)
		remove_member(view, status->lost_voter_position);
	else if (is_needed || status->draining_voter_position >= 0)
		promote_learner(view, status->learner_position);
}

/* Whether the group tolerates one more loss if a lost voter is removed without a successor. The group is
 * never reduced below RAFT_MIN_VOTERS. */
static int removal_improves_fault_tolerance(const struct membership_status *status)
{
	return status->lost_voter_count && status->voter_count > RAFT_MIN_VOTERS &&
	       (status->voter_count % 2 == 0 || status->lost_voter_count > 1);
}

void raft_reconfigure(struct raft *raft, const struct raft_member *controllers, int controller_count,
		      int64_t now)
{
	struct fleet_view view = { raft, controllers, controller_count, now };
	const struct raft_member *joining;
	struct membership_status status;

	if (!raft_has_lease(raft, now) || raft->group.members_index > raft->log.commit_index ||
	    update_zones_and_addresses(&view))
		return;
	status = assess_members(&view);
	joining = raft->group.member_count < RAFT_MAX_MEMBERS ? next_controller_to_join(&view) : NULL;
	if (status.lost_learner_position >= 0) {
		replace_lost_learner(&view, &status, joining);
		return;
	}
	if (status.learner_position >= 0) {
		promote_or_remove_learner(&view, &status);
		return;
	}
	if (joining &&
	    (status.suspect_count || status.voter_count < raft->group.target_voters ||
	     improves_zone_spread(&view, joining)) &&
	    status.voter_count <= raft->group.target_voters)
		add_learner(&view, joining);
	else if (removal_improves_fault_tolerance(&status))
		remove_member(&view, status.lost_voter_position);
	else if (status.voter_count > raft->group.target_voters && status.lost_voter_count)
		remove_member(&view, status.lost_voter_position);
	else if (status.voter_count > raft->group.target_voters && status.draining_voter_position >= 0)
		remove_member(&view, status.draining_voter_position);
	else if (status.voter_count > raft->group.target_voters && !status.suspect_count)
		remove_member(&view, find_surplus_voter(&view));
}
