/* The members in force: read from the newest members entry of the log, else from the snapshot, committed or not.
 * Called by the other raft modules. */
#include "raft_internal.h"

#include <stdlib.h>
#include <string.h>

struct raft_member *raft_find_member(struct raft *raft, uint64_t id)
{
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].id == id)
			return &raft->members[i];
	return NULL;
}

int raft_voter_count(const struct raft *raft)
{
	int n = 0;

	for (int i = 0; i < raft->member_count; i++)
		n += raft->members[i].voter;
	return n;
}

void raft_set_members(struct raft *raft, const uint8_t *d, size_t n, uint64_t index)
{
	struct Nl__Members *ms = nl__members__unpack(NULL, n, d);
	struct raft_member old[RAFT_MAX_MEMBERS];
	int oldn = raft->member_count;

	memcpy(old, raft->members, sizeof old);
	raft->member_count = 0;
	raft->members_index = index;
	raft->staying_majority = 0; /* until it is counted among these */
	for (size_t i = 0; ms && i < ms->n_m && raft->member_count < RAFT_MAX_MEMBERS; i++) {
		struct raft_member *m = &raft->members[raft->member_count++];

		memset(m, 0, sizeof *m);
		m->next = m->unacked = raft_last_index(raft) + 1;
		m->resend_ms = RAFT_RESEND_MS;
		m->probing = 1;
		for (int k = 0; k < oldn; k++)
			if (old[k].id == ms->m[i]->id)
				*m = old[k];
		m->id = ms->m[i]->id;
		m->addr = ms->m[i]->addr;
		m->voter = ms->m[i]->voter;
	}
	raft->fenced_count = 0;
	for (size_t i = 0; ms && i < ms->n_fenced; i++)
		raft_add_fenced(raft, ms->fenced[i]);
	if (ms)
		nl__members__free_unpacked(ms, NULL);
}

/* After a cut or a load: the newest members entry in the log, else the snapshot's. */
void raft_reload_members(struct raft *raft)
{
	for (uint64_t i = raft_last_index(raft); i > raft->base; i--)
		if (raft_entry_at(raft, i)->kind == RAFT_ENTRY_MEMBERS) {
			raft_set_members(raft, raft_entry_at(raft, i)->data, raft_entry_at(raft, i)->len, i);
			return;
		}
	raft_set_members(raft, raft->snapshot_members, raft->snapshot_members_len, raft->snapshot_index);
}

/* The members in force at index i, packed: what a snapshot at i must carry. */
void raft_members_in_force(struct raft *raft, uint64_t i, const uint8_t **d, size_t *n)
{
	for (; i > raft->base; i--)
		if (raft_entry_at(raft, i)->kind == RAFT_ENTRY_MEMBERS) {
			*d = raft_entry_at(raft, i)->data;
			*n = raft_entry_at(raft, i)->len;
			return;
		}
	*d = raft->snapshot_members;
	*n = raft->snapshot_members_len;
}

int raft_members_valid(const uint8_t *d, size_t n)
{
	struct Nl__Members *ms = nl__members__unpack(NULL, n, d);
	int voters = 0, valid = ms && ms->n_m && ms->n_m <= RAFT_MAX_MEMBERS;

	for (size_t i = 0; valid && i < ms->n_m; i++) {
		valid = ms->m[i]->id && ms->m[i]->addr;
		voters += ms->m[i]->voter;
		for (size_t k = 0; k < i; k++)
			valid = valid && ms->m[k]->id != ms->m[i]->id;
	}
	if (ms)
		nl__members__free_unpacked(ms, NULL);
	return valid && voters;
}

uint8_t *raft_pack_members(const struct raft *raft, const struct raft_member *m, int n, size_t *len)
{
	struct Nl__Members ms = NL__MEMBERS__INIT;
	struct Nl__Member v[RAFT_MAX_MEMBERS], *pv[RAFT_MAX_MEMBERS];
	uint8_t *d;

	for (int i = 0; i < n; i++) {
		nl__member__init(&v[i]);
		v[i].id = m[i].id;
		v[i].addr = m[i].addr;
		v[i].voter = m[i].voter;
		pv[i] = &v[i];
	}
	ms.n_m = (size_t)n;
	ms.m = pv;
	ms.n_fenced = (size_t)raft->fenced_count;
	ms.fenced = (uint64_t *)raft->fenced_ids;
	*len = nl__members__get_packed_size(&ms);
	d = raft_copy_bytes(NULL, 0);
	d = realloc(d, *len + 1);
	if (!d)
		abort();
	nl__members__pack(&ms, d);
	return d;
}
