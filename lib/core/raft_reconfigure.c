/* Changes of membership, one member at a time: lost members are replaced, learners promoted, zones balanced.
 * Called by the control plane at the leader. A change starts only when the change before it is committed. */
#include "raft_internal.h"

#include <stdlib.h>
#include <string.h>

static void change_members(struct raft *raft, const struct raft_member *m, int n)
{
	size_t len;
	uint8_t *d = raft_pack_members(m, n, &len);

	raft_append_entry(raft, raft->term, RAFT_ENTRY_MEMBERS, d, len);
	raft_set_members(raft, d, len, raft_last_index(raft));
	free(d);
}

static const struct raft_member *find_live(const struct raft_member *live, int n, uint64_t id)
{
	for (int i = 0; i < n; i++)
		if (live[i].id == id)
			return &live[i];
	return NULL;
}

/* Another identity stands where a member stood: its disk was lost, and it will not come back. */
static int member_replaced(const struct raft_member *m, const struct raft_member *live, int n, int64_t now)
{
	int other = 0;

	for (int i = 0; i < n; i++) {
		if (live[i].id == m->id)
			return 0;
		other |= live[i].addr == m->addr;
	}
	return other && now - m->heard_at > 4 * RAFT_HEARTBEAT_MS;
}

static int member_lost(const struct raft *raft, const struct raft_member *m, const struct raft_member *live, int n, int64_t now)
{
	return m->id != raft->id && (now - m->heard_at > raft->member_lost_ms || member_replaced(m, live, n, now));
}

/* Members of a zone that are not lost. */
static int members_in_zone(const struct raft *raft, uint64_t zone, const struct raft_member *live, int n, int64_t now)
{
	int k = 0;

	for (int i = 0; i < raft->member_count && zone; i++)
		k += raft->members[i].zone == zone && !member_lost(raft, &raft->members[i], live, n, now);
	return k;
}

/* The registrar that joins next: of the zone with the fewest members, the one that rendezvous names. */
static const struct raft_member *next_replica(struct raft *raft, const struct raft_member *live, int n, int64_t now)
{
	const struct raft_member *best = NULL;
	int few = 0;

	for (int i = 0; i < n; i++) {
		int k = members_in_zone(raft, live[i].zone, live, n, now);

		if (raft_find_member(raft, live[i].id))
			continue;
		if (best && (k > few || (k == few && core_rdv(raft->no, live[i].id) <= core_rdv(raft->no, best->id))))
			continue;
		best = &live[i];
		few = k;
	}
	return best;
}

/* One too many: of the zone with the most members, the one that rendezvous ranks last; never the owner. */
static int surplus_voter(const struct raft *raft, const struct raft_member *live, int n, int64_t now)
{
	int worst = -1, many = 0;

	for (int i = 0; i < raft->member_count; i++) {
		int k = members_in_zone(raft, raft->members[i].zone, live, n, now);

		if (raft->members[i].id == raft->id)
			continue;
		if (worst >= 0 && (k < many || (k == many && core_rdv(raft->no, raft->members[i].id) >=
								 core_rdv(raft->no, raft->members[worst].id))))
			continue;
		worst = i;
		many = k;
	}
	return worst;
}

/* A registrar whose zone has two members fewer than another: its joining spreads the group better. */
static int zone_imbalanced(const struct raft *raft, const struct raft_member *next, const struct raft_member *live, int n,
			   int64_t now)
{
	int most = 0;

	for (int i = 0; i < raft->member_count; i++) {
		int k = members_in_zone(raft, raft->members[i].zone, live, n, now);

		if (k > most)
			most = k;
	}
	return next && members_in_zone(raft, next->zone, live, n, now) + 2 <= most;
}

void raft_reconfigure(struct raft *raft, const struct raft_member *live, int n, int64_t now)
{
	struct raft_member m[RAFT_MAX_MEMBERS];
	const struct raft_member *best;
	int dead = -1, learner = -1, v = 0, alive = 0;

	if (!raft_has_lease(raft, now) || raft->members_index > raft->commit)
		return;
	for (int i = 0; i < raft->member_count; i++)
		if (find_live(live, n, raft->members[i].id) && find_live(live, n, raft->members[i].id)->zone)
			raft->members[i].zone = find_live(live, n, raft->members[i].id)->zone;
	memcpy(m, raft->members, sizeof m);
	for (int i = 0; i < raft->member_count; i++) {
		const struct raft_member *l = find_live(live, n, m[i].id);
		int lost = member_lost(raft, &m[i], live, n, now);

		if (l && l->addr != m[i].addr) { /* moved to another address */
			m[i].addr = l->addr;
			change_members(raft, m, raft->member_count);
			return;
		}
		v += m[i].voter;
		alive += m[i].voter && !lost;
		if (lost && (dead < 0 || !m[i].voter))
			dead = i;
		if (!m[i].voter)
			learner = i;
	}
	if (learner >= 0 && dead != learner) { /* raise it once it has caught up */
		if (m[learner].match + 16 >= raft_last_index(raft) && m[learner].match >= raft->term_start) {
			m[learner].voter = 1;
			change_members(raft, m, raft->member_count);
		}
		return;
	}
	best = next_replica(raft, live, n, now);
	if (dead < 0 && v > raft->replicas)
		dead = surplus_voter(raft, live, n, now);
	if (dead >= 0 && (!m[dead].voter || v > RAFT_MIN_VOTERS)) {
		if (m[dead].voter && alive - !member_lost(raft, &m[dead], live, n, now) <= (v - 1) / 2)
			return;
		m[dead] = m[raft->member_count - 1];
		change_members(raft, m, raft->member_count - 1);
		return;
	}
	if ((dead < 0 && v >= raft->replicas && !zone_imbalanced(raft, best, live, n, now)) ||
	    raft->member_count >= RAFT_MAX_MEMBERS || !best)
		return;
	memset(&m[raft->member_count], 0, sizeof *m);
	m[raft->member_count].id = best->id;
	m[raft->member_count].addr = best->addr;
	change_members(raft, m, raft->member_count + 1);
	raft_find_member(raft, m[raft->member_count - 1].id)->heard_at = now;
}
