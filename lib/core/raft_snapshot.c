/* Snapshots: what stands for the log up to an index, sent to a member that is too far behind for entries.
 * Called by raft.c and raft_replication.c. A snapshot replaces state as a whole and never moves commit backwards. */
#include "raft_internal.h"

#include <apr_strings.h>
#include <stdlib.h>

#include "ds.h"

enum { SNAPSHOT_RESEND_MS = 1000 };

static void raft_store_snapshot(struct raft *raft, uint64_t index, uint64_t term, const uint8_t *mem, size_t mem_len,
				const uint8_t *d, size_t n)
{
	uint8_t *members = raft_copy_bytes(mem, mem_len); /* what is given may be the last snapshot's own */

	free(raft->snap);
	free(raft->snapshot_members);
	raft->snap = raft_copy_bytes(d, n);
	raft->snapshot_len = n;
	raft->snapshot_members = members;
	raft->snapshot_members_len = mem_len;
	raft->snapshot_index = index;
	raft->snapshot_term = term;
	raft->snapshot_dirty = 1;
	raft_mark_dirty(raft, 0);
}

/* The snapshot, at most once in SNAPSHOT_RESEND_MS. */
void raft_send_snapshot(struct raft *raft, struct raft_member *m, int64_t now, struct out *o)
{
	struct Nl__Snap *s;

	if (m->snapshot_sent_at && now - m->snapshot_sent_at < SNAPSHOT_RESEND_MS)
		return;
	m->snapshot_sent_at = now;
	s = OUT_NEW(o, Nl__Snap, NL__SNAP__INIT);
	s->term = raft->term;
	s->index = raft->snapshot_index;
	s->index_term = raft->snapshot_term;
	s->members =
	    (struct Nl__Members *)core_unpack(o->p, &nl__members__descriptor, raft->snapshot_members_len, raft->snapshot_members);
	s->data.data = apr_pmemdup(o->p, raft->snap, raft->snapshot_len);
	s->data.len = raft->snapshot_len;
	s->round = raft->round;
	out_msg(o, m->addr, raft->no, NL__MSG__BODY_SNAP)->snap = s;
}

/* The log holds the snapshot's last entry, so it holds all that the snapshot stands for; what comes after may be acknowledged. */
static int log_covers(const struct raft *raft, const struct Nl__Snap *s)
{
	return s->index <= raft_last_index(raft) && raft_term_at(raft, s->index) == s->index_term;
}

void raft_on_snapshot(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__Snap *s = m->snap;

	if (!raft_accept_leader(raft, m, s->term, now)) {
		raft_send_append_reply(raft, m->addr, 0, 0, 0, o);
		return;
	}
	if (s->index > raft->commit && log_covers(raft, s)) {
		raft->commit = s->index;
		if (raft->matched < s->index)
			raft->matched = s->index;
	} else if (s->index > raft->commit && s->members) {
		uint8_t *mem = malloc(nl__members__get_packed_size(s->members) + 1);
		size_t len = mem ? nl__members__pack(s->members, mem) : 0;

		if (raft_last_index(raft) > raft->base)
			raft_truncate_from(raft, raft->base + 1);
		raft_store_snapshot(raft, s->index, s->index_term, mem, len, s->data.data, s->data.len);
		free(mem);
		raft->base = s->index;
		raft->base_term = s->index_term;
		raft->commit = raft->applied = raft->matched = s->index;
		raft->snapshot_to_load = 1;
		raft_reload_members(raft);
	}
	raft_send_append_reply(raft, m->addr, 1, raft->matched < raft->synced_index ? raft->matched : raft->synced_index, s->round,
			       o);
}

int raft_wants_snapshot(const struct raft *raft) { return raft->applied >= raft->snapshot_index + RAFT_SNAPSHOT_ENTRIES; }

void raft_snapshot(struct raft *raft, const uint8_t *d, size_t n)
{
	const uint8_t *mem;
	size_t mem_len;
	uint64_t drop;
	size_t bytes = 0;

	raft_members_in_force(raft, raft->applied, &mem, &mem_len);
	raft_store_snapshot(raft, raft->applied, raft_term_at(raft, raft->applied), mem, mem_len, d, n);
	drop = raft->applied;
	while (!raft->drop_tail && drop > raft->base && raft->applied - drop < RAFT_LOG_TAIL &&
	       bytes + raft_entry_at(raft, drop)->len <= RAFT_LOG_TAIL_BYTES)
		bytes += raft_entry_at(raft, drop--)->len;
	if (drop > raft->synced_index)
		drop = raft->synced_index;
	if (drop <= raft->base)
		return;
	raft->base_term = raft_term_at(raft, drop);
	for (uint64_t i = raft->base + 1; i <= drop; i++)
		free(raft_entry_at(raft, i)->data);
	arrdeln(raft->log, 0, (size_t)(drop - raft->base));
	raft->base = drop;
}
