/* The members in force, and the fenced identities of older epochs, which the group does not admit again. In
 * force is the newest members entry of the log, whether it is committed or not; if the log has none, the
 * members of the newest snapshot are in force. */
#include <stdlib.h>
#include <string.h>

#include "raft_internal.h"

const struct raft_member *raft_find_const_member(const struct raft *raft, uint64_t id)
{
	for (int i = 0; i < raft->group.member_count; i++)
		if (raft->group.members[i].id == id)
			return &raft->group.members[i];
	return NULL;
}

struct raft_member *raft_find_member(struct raft *raft, uint64_t id)
{
	return (struct raft_member *)raft_find_const_member(raft, id);
}

int raft_voter_count(const struct raft *raft)
{
	int count = 0;

	for (int i = 0; i < raft->group.member_count; i++)
		count += raft->group.members[i].voter;
	return count;
}

void raft_add_fenced_id(struct raft *raft, uint64_t id)
{
	if (raft_is_fenced_id(raft, id) || raft->group.fenced_count == RAFT_MAX_FENCED_IDS)
		return;
	raft->group.fenced_ids[raft->group.fenced_count++] = id;
}

bool raft_is_fenced_id(const struct raft *raft, uint64_t id)
{
	for (int i = 0; i < raft->group.fenced_count; i++)
		if (raft->group.fenced_ids[i] == id)
			return true;
	return false;
}

/* The initial state of a member: the end of its log is unknown, and is probed for. */
static struct raft_member new_member(const struct raft *raft)
{
	uint64_t next_index = raft_last_index(raft) + 1;

	return (struct raft_member){ .progress = { .next_index = next_index,
						   .unacked_index = next_index,
						   .resend_after_ms = RAFT_RESEND_INITIAL_MS,
						   .is_probing = true } };
}

void raft_set_members(struct raft *raft, const uint8_t *packed, size_t size, uint64_t index)
{
	struct Nl__Members *members = nl__members__unpack(NULL, size, packed);
	struct raft_member old_members[RAFT_MAX_MEMBERS];
	int old_count = raft->group.member_count;

	memcpy(old_members, raft->group.members, sizeof old_members);
	raft->group.member_count = 0;
	raft->group.members_index = index;
	raft->drain.has_remaining_majority = false; /* until it is recomputed for these members */
	for (size_t i = 0; members && i < members->n_members && raft->group.member_count < RAFT_MAX_MEMBERS;
	     i++) {
		struct raft_member *member = &raft->group.members[raft->group.member_count++];

		*member = new_member(raft);
		for (int k = 0; k < old_count; k++)
			if (old_members[k].id == members->members[i]->id)
				*member = old_members[k];
		member->id = members->members[i]->id;
		member->addr = members->members[i]->addr;
		member->voter = members->members[i]->voter;
	}
	raft->group.fenced_count = 0;
	for (size_t i = 0; members && i < members->n_fenced; i++)
		raft_add_fenced_id(raft, members->fenced[i]);
	if (members)
		nl__members__free_unpacked(members, NULL);
}

void raft_reload_members(struct raft *raft)
{
	for (uint64_t i = raft_last_index(raft); i > raft->log.base_index; i--)
		if (raft_entry_at(raft, i)->kind == RAFT_ENTRY_MEMBERS) {
			raft_set_members(raft, raft_entry_at(raft, i)->data, raft_entry_at(raft, i)->len, i);
			return;
		}
	raft_set_members(raft, raft->snapshots.newest.members, raft->snapshots.newest.members_len,
			 raft->snapshots.newest.index);
}

void raft_find_members_at(struct raft *raft, uint64_t index, const uint8_t **packed, size_t *size)
{
	for (; index > raft->log.base_index; index--)
		if (raft_entry_at(raft, index)->kind == RAFT_ENTRY_MEMBERS) {
			*packed = raft_entry_at(raft, index)->data;
			*size = raft_entry_at(raft, index)->len;
			return;
		}
	*packed = raft->snapshots.newest.members;
	*size = raft->snapshots.newest.members_len;
}

bool raft_members_valid(const uint8_t *packed, size_t size)
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

uint8_t *raft_pack_members(const struct raft *raft, const struct raft_member *members, int count, size_t *len)
{
	struct Nl__Members message = NL__MEMBERS__INIT;
	struct Nl__Member member_messages[RAFT_MAX_MEMBERS], *member_pointers[RAFT_MAX_MEMBERS];
	uint8_t *packed;

	for (int i = 0; i < count; i++) {
		nl__member__init(&member_messages[i]);
		member_messages[i].id = members[i].id;
		member_messages[i].addr = members[i].addr;
		member_messages[i].voter = members[i].voter;
		member_pointers[i] = &member_messages[i];
	}
	message.n_members = (size_t)count;
	message.members = member_pointers;
	message.n_fenced = (size_t)raft->group.fenced_count;
	message.fenced = (uint64_t *)raft->group.fenced_ids;
	*len = nl__members__get_packed_size(&message);
	packed = raft_copy_bytes(NULL, 0);
	packed = realloc(packed, *len + 1);
	if (!packed)
		abort();
	nl__members__pack(&message, packed);
	return packed;
}
