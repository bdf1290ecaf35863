/* The members in force: read from the newest members entry of the log, else from the snapshot, committed or
 * not. Called by the other raft modules. */
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

void raft_set_members(struct raft *raft, const uint8_t *packed, size_t size, uint64_t index)
{
	struct Nl__Members *members = nl__members__unpack(NULL, size, packed);
	struct raft_member old[RAFT_MAX_MEMBERS];
	int old_count = raft->member_count;

	memcpy(old, raft->members, sizeof old);
	raft->member_count = 0;
	raft->members_index = index;
	raft->has_remaining_majority = 0; /* until it is counted among these */
	for (size_t i = 0; members && i < members->n_members && raft->member_count < RAFT_MAX_MEMBERS; i++) {
		struct raft_member *member = &raft->members[raft->member_count++];

		memset(member, 0, sizeof *member);
		member->next_index = member->unacked_index = raft_last_index(raft) + 1;
		member->resend_ms = RAFT_RESEND_MS;
		member->probing = 1;
		for (int k = 0; k < old_count; k++)
			if (old[k].id == members->members[i]->id)
				*member = old[k];
		member->id = members->members[i]->id;
		member->addr = members->members[i]->addr;
		member->voter = members->members[i]->voter;
	}
	raft->fenced_count = 0;
	for (size_t i = 0; members && i < members->n_fenced; i++)
		raft_add_fenced(raft, members->fenced[i]);
	if (members)
		nl__members__free_unpacked(members, NULL);
}

/* After a cut or a load: the newest members entry in the log, else the snapshot's. */
void raft_reload_members(struct raft *raft)
{
	for (uint64_t i = raft_last_index(raft); i > raft->base_index; i--)
		if (raft_entry_at(raft, i)->kind == RAFT_ENTRY_MEMBERS) {
			raft_set_members(raft, raft_entry_at(raft, i)->data, raft_entry_at(raft, i)->len, i);
			return;
		}
	raft_set_members(raft, raft->snapshot_members, raft->snapshot_members_len, raft->snapshot_index);
}

/* The members in force at index i, packed: what a snapshot at i must carry. */
void raft_members_in_force(struct raft *raft, uint64_t index, const uint8_t **packed, size_t *size)
{
	for (; index > raft->base_index; index--)
		if (raft_entry_at(raft, index)->kind == RAFT_ENTRY_MEMBERS) {
			*packed = raft_entry_at(raft, index)->data;
			*size = raft_entry_at(raft, index)->len;
			return;
		}
	*packed = raft->snapshot_members;
	*size = raft->snapshot_members_len;
}

int raft_members_valid(const uint8_t *packed, size_t size)
{
	struct Nl__Members *members = nl__members__unpack(NULL, size, packed);
	int voters = 0, valid = members && members->n_members && members->n_members <= RAFT_MAX_MEMBERS;

	for (size_t i = 0; valid && i < members->n_members; i++) {
		valid = members->members[i]->id && members->members[i]->addr;
		voters += members->members[i]->voter;
		for (size_t k = 0; k < i; k++)
			valid = valid && members->members[k]->id != members->members[i]->id;
	}
	if (members)
		nl__members__free_unpacked(members, NULL);
	return valid && voters;
}

uint8_t *raft_pack_members(const struct raft *raft, const struct raft_member *member, int count, size_t *len)
{
	struct Nl__Members members = NL__MEMBERS__INIT;
	struct Nl__Member v[RAFT_MAX_MEMBERS], *pv[RAFT_MAX_MEMBERS];
	uint8_t *packed;

	for (int i = 0; i < count; i++) {
		nl__member__init(&v[i]);
		v[i].id = member[i].id;
		v[i].addr = member[i].addr;
		v[i].voter = member[i].voter;
		pv[i] = &v[i];
	}
	members.n_members = (size_t)count;
	members.members = pv;
	members.n_fenced = (size_t)raft->fenced_count;
	members.fenced = (uint64_t *)raft->fenced_ids;
	*len = nl__members__get_packed_size(&members);
	packed = raft_copy_bytes(NULL, 0);
	packed = realloc(packed, *len + 1);
	if (!packed)
		abort();
	nl__members__pack(&members, packed);
	return packed;
}
