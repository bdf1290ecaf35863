/* What comes in over the network and cannot be right: absurd terms, indices, sizes and lists of members,
 * messages of other fleets, torn and altered bytes, and real messages again, late and out of order. Fixed
 * seeds; run with sanitizers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <nettle/sha2.h>

#include "containers.h"
#include "raft_world.h"
#include "sim.h"

enum { STRANGER = 9 };
#define FAR ((uint64_t)1 << 60)

static uint64_t env(const char *name, uint64_t otherwise)
{
	return getenv(name) ? strtoull(getenv(name), NULL, 10) : otherwise;
}

/* All that a member is: bytes of its struct, and of what its log and snapshot hold. */
static uint64_t image(const struct raft *raft)
{
	uint64_t h = core_hash(1, raft, sizeof *raft);

	for (ptrdiff_t i = 0; i < arrlen(raft->log.entries); i++) {
		h = core_hash(h, &raft->log.entries[i], sizeof raft->log.entries[i]);
		h = core_hash(h, raft->log.entries[i].data, raft->log.entries[i].len);
	}
	h = core_hash(h, raft->snapshots.newest.members, raft->snapshots.newest.members_len);
	return core_hash(h, raft->snapshots.newest.state, raft->snapshots.newest.state_len);
}

/* ---- valid messages, as a member of the group sends them ---- */

struct sample {
	struct Nl__Msg msg;
	struct Nl__VoteRequest vote_ask;
	struct Nl__VoteReply vote_reply;
	struct Nl__Append append;
	struct Nl__Entry entry[2], *entries[2];
	struct Nl__AppendReply append_reply;
	struct Nl__SnapshotChunk piece;
	struct Nl__SnapshotReply piece_reply;
	struct Nl__StepDown give_up;
	struct Nl__Probe probe;
	struct Nl__ProbeReply probe_reply;
	uint8_t digest[RAFT_DIGEST_BYTES + 1], bytes[64], members[512];
};

static size_t pack_members(uint8_t *to, int n, int voters, int alike)
{
	struct Nl__Members members = NL__MEMBERS__INIT;
	struct Nl__Member v[16], *member[16];

	for (int i = 0; i < n; i++) {
		nl__member__init(&v[i]);
		v[i].id = alike ? 1 : (uint64_t)i + 1;
		v[i].addr = 1000 + (uint64_t)i;
		v[i].voter = i < voters;
		member[i] = &v[i];
	}
	members.n_members = (size_t)n;
	members.members = member;
	return nl__members__pack(&members, to);
}

static uint64_t last_of(const struct raft *raft)
{
	return raft->log.base_index + (uint64_t)arrlen(raft->log.entries);
}

/* A message of this kind that the member would take: from its leader, or to a leader from its follower. */
static void sample_open(struct sample *sample, int body, const struct raft *raft, uint64_t from)
{
	memset(sample, 0, sizeof *sample);
	nl__msg__init(&sample->msg);
	sample->msg.protocol_version = CORE_PROTOCOL_VERSION;
	sample->msg.id = from;
	sample->msg.addr = 999 + from;
	sample->msg.fleet_id = 1;
	sample->msg.body_case = (Nl__Msg__BodyCase)body;
	nl__vote_request__init(&sample->vote_ask);
	sample->vote_ask.term = raft->term + 1;
	sample->vote_ask.last_index = last_of(raft);
	sample->vote_ask.last_term = raft->term;
	nl__vote_reply__init(&sample->vote_reply);
	sample->vote_reply.term = raft->term;
	nl__append__init(&sample->append);
	sample->append.term = raft->term;
	sample->append.prev_index = last_of(raft);
	sample->append.prev_term = raft->term;
	sample->append.round = raft->lease.heartbeat_round;
	for (int i = 0; i < 2; i++) {
		nl__entry__init(&sample->entry[i]);
		sample->entry[i].term = raft->term;
		sample->entry[i].kind = RAFT_ENTRY_OPERATION;
		sample->entry[i].data.data = sample->bytes;
		sample->entry[i].data.len = sizeof sample->bytes;
		sample->entries[i] = &sample->entry[i];
	}
	sample->append.n_entries = 2;
	sample->append.entries = sample->entries;
	nl__append_reply__init(&sample->append_reply);
	sample->append_reply.term = raft->term;
	sample->append_reply.success = 1;
	sample->append_reply.match_index = sample->append_reply.matched_index = last_of(raft);
	sample->append_reply.round = raft->lease.heartbeat_round;
	nl__snapshot_chunk__init(&sample->piece);
	sample->piece.term = sample->piece.index_term = raft->term;
	sample->piece.index = last_of(raft) + 100;
	sample->piece.members_len = 60;
	sample->piece.total_bytes = 1000;
	sample->piece.digest.data = sample->digest;
	sample->piece.digest.len = RAFT_DIGEST_BYTES;
	sample->piece.data.data = sample->bytes;
	sample->piece.data.len = sizeof sample->bytes;
	nl__snapshot_reply__init(&sample->piece_reply);
	sample->piece_reply.term = raft->term;
	nl__step_down__init(&sample->give_up);
	sample->give_up.term = raft->term;
	nl__probe__init(&sample->probe);
	nl__probe_reply__init(&sample->probe_reply);
	sample->msg.vote_request = &sample->vote_ask; /* the body is a union: all begin at the same place */
	switch (body) {
	case NL__MSG__BODY_VOTE_REPLY:
		sample->msg.vote_reply = &sample->vote_reply;
		break;
	case NL__MSG__BODY_APPEND:
		sample->msg.append = &sample->append;
		break;
	case NL__MSG__BODY_APPEND_REPLY:
		sample->msg.append_reply = &sample->append_reply;
		break;
	case NL__MSG__BODY_SNAPSHOT_CHUNK:
		sample->msg.snapshot_chunk = &sample->piece;
		break;
	case NL__MSG__BODY_SNAPSHOT_REPLY:
		sample->msg.snapshot_reply = &sample->piece_reply;
		break;
	case NL__MSG__BODY_STEP_DOWN:
		sample->msg.step_down = &sample->give_up;
		break;
	case NL__MSG__BODY_PROBE:
		sample->msg.probe = &sample->probe;
		break;
	case NL__MSG__BODY_PROBE_REPLY:
		sample->msg.probe_reply = &sample->probe_reply;
		break;
	default:
		break;
	}
}

/* ---- what makes them absurd ---- */

static void members_entry(struct sample *sample, size_t len)
{
	sample->entry[0].kind = RAFT_ENTRY_MEMBERS;
	sample->entry[0].data.data = sample->members;
	sample->entry[0].data.len = len;
}

static void vote_term_0(struct sample *sample)
{
	sample->vote_ask.term = sample->vote_ask.last_term = 0;
}
static void vote_term_far(struct sample *sample)
{
	sample->vote_ask.term = FAR;
}
static void vote_gave_up_late(struct sample *sample)
{
	sample->vote_ask.stepped_down_term = sample->vote_ask.term;
}
static void vote_last_far(struct sample *sample)
{
	sample->vote_ask.last_index = FAR;
}
static void vote_last_term_late(struct sample *sample)
{
	sample->vote_ask.last_term = sample->vote_ask.term + 1;
}
static void vote_reply_term_far(struct sample *sample)
{
	sample->vote_reply.term = FAR;
}
static void append_term_0(struct sample *sample)
{
	sample->append.term = sample->append.prev_term = sample->entry[0].term = sample->entry[1].term = 0;
}
static void append_term_far(struct sample *sample)
{
	sample->append.term = UINT64_MAX;
}
static void append_prev_far(struct sample *sample)
{
	sample->append.prev_index = UINT64_MAX;
}
static void append_commit_far(struct sample *sample)
{
	sample->append.commit_index = FAR;
}
static void append_prev_term_late(struct sample *sample)
{
	sample->append.prev_term = sample->append.term + 1;
}
static void entry_term_0(struct sample *sample)
{
	sample->entry[0].term = 0;
}
static void entry_term_late(struct sample *sample)
{
	sample->entry[1].term = sample->append.term + 1;
}
static void entry_terms_fall(struct sample *sample)
{
	sample->entry[1].term = sample->entry[0].term - 1;
}
static void entry_kind(struct sample *sample)
{
	sample->entry[1].kind = 7;
}
static void members_torn(struct sample *sample)
{
	members_entry(sample, pack_members(sample->members, 3, 3, 0) - 1);
}
static void members_none(struct sample *sample)
{
	members_entry(sample, 0);
}
static void members_many(struct sample *sample)
{
	members_entry(sample, pack_members(sample->members, RAFT_MAX_MEMBERS + 1, 3, 0));
}
static void members_alike(struct sample *sample)
{
	members_entry(sample, pack_members(sample->members, 3, 3, 1));
}
static void members_voteless(struct sample *sample)
{
	members_entry(sample, pack_members(sample->members, 3, 0, 0));
}
static void reply_term_far(struct sample *sample)
{
	sample->append_reply.term = FAR;
}
static void reply_match_far(struct sample *sample)
{
	sample->append_reply.match_index = UINT64_MAX;
}
static void reply_match_beyond(struct sample *sample)
{
	sample->append_reply.match_index++;
}
static void reply_matched_beyond(struct sample *sample)
{
	sample->append_reply.matched_index++;
}
static void reply_round_beyond(struct sample *sample)
{
	sample->append_reply.round++;
}
static void piece_term_0(struct sample *sample)
{
	sample->piece.term = 0;
}
static void piece_term_far(struct sample *sample)
{
	sample->piece.term = FAR;
}
static void piece_index_0(struct sample *sample)
{
	sample->piece.index = 0;
}
static void piece_index_far(struct sample *sample)
{
	sample->piece.index = FAR;
}
static void piece_index_term_0(struct sample *sample)
{
	sample->piece.index_term = 0;
}
static void piece_index_term_late(struct sample *sample)
{
	sample->piece.index_term = sample->piece.term + 1;
}
static void piece_digest_short(struct sample *sample)
{
	sample->piece.digest.len = RAFT_DIGEST_BYTES - 1;
}
static void piece_digest_long(struct sample *sample)
{
	sample->piece.digest.len = RAFT_DIGEST_BYTES + 1;
}
static void piece_no_members(struct sample *sample)
{
	sample->piece.members_len = 0;
}
static void piece_members_beyond(struct sample *sample)
{
	sample->piece.members_len = sample->piece.total_bytes + 1;
}
static void piece_huge(struct sample *sample)
{
	sample->piece.total_bytes = FAR;
}
static void piece_too_large(struct sample *sample)
{
	sample->piece.total_bytes = (uint64_t)RAFT_SNAPSHOT_MAX_BYTES + 1;
}
static void piece_beyond(struct sample *sample)
{
	sample->piece.offset = sample->piece.total_bytes - sample->piece.data.len + 1;
}
static void piece_wraps(struct sample *sample)
{
	sample->piece.offset = UINT64_MAX - sample->piece.data.len + 2;
}
static void piece_empty(struct sample *sample)
{
	sample->piece.data.len = 0;
}
static void piece_longer_than_all(struct sample *sample)
{
	sample->piece.total_bytes = sample->piece.members_len = sample->piece.data.len - 1;
}
static void piece_reply_term_far(struct sample *sample)
{
	sample->piece_reply.term = FAR;
}
static void piece_reply_index_far(struct sample *sample)
{
	sample->piece_reply.index = FAR;
}
static void piece_reply_offset_far(struct sample *sample)
{
	sample->piece_reply.offset = FAR;
}
static void give_up_term_far(struct sample *sample)
{
	sample->give_up.term = FAR;
}
static void probe_reply_term_far(struct sample *sample)
{
	sample->probe_reply.last_term = FAR;
}
static void probe_reply_index_far(struct sample *sample)
{
	sample->probe_reply.members_index = FAR;
}
static void of_a_stranger(struct sample *sample)
{
	sample->msg.id = STRANGER;
} /* leads in a term that has a leader */

enum target { FOLLOWER, LEADER, BOTH };

static const struct {
	int body;
	enum target target;
	const char *what;
	void (*spoil)(struct sample *s);
} absurd[] = {
	{ NL__MSG__BODY_VOTE_REQUEST, BOTH, "a vote in term 0", vote_term_0 },
	{ NL__MSG__BODY_VOTE_REQUEST, BOTH, "a vote in a far term", vote_term_far },
	{ NL__MSG__BODY_VOTE_REQUEST, BOTH, "a vote for a far index", vote_last_far },
	{ NL__MSG__BODY_VOTE_REQUEST, BOTH, "a vote for a leader whose own term gave up", vote_gave_up_late },
	{ NL__MSG__BODY_VOTE_REQUEST, BOTH, "a vote for a log of a later term", vote_last_term_late },
	{ NL__MSG__BODY_VOTE_REPLY, BOTH, "a vote from a far term", vote_reply_term_far },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "an append of term 0", append_term_0 },
	{ NL__MSG__BODY_APPEND, BOTH, "an append of a far term", append_term_far },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "an append at a far index", append_prev_far },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "an append with a far commit", append_commit_far },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "an append behind an entry of a later term",
	  append_prev_term_late },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "an entry of term 0", entry_term_0 },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "an entry of a later term", entry_term_late },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "entries whose terms fall", entry_terms_fall },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "an entry of no kind", entry_kind },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "a torn list of members", members_torn },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "a list of no members", members_none },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "a list of too many members", members_many },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "a list of one member thrice", members_alike },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "a list of members that do not vote", members_voteless },
	{ NL__MSG__BODY_APPEND, BOTH, "an append of a second leader", of_a_stranger },
	{ NL__MSG__BODY_APPEND_REPLY, BOTH, "a reply of a far term", reply_term_far },
	{ NL__MSG__BODY_APPEND_REPLY, BOTH, "an acknowledgement of a far index", reply_match_far },
	{ NL__MSG__BODY_APPEND_REPLY, LEADER, "an acknowledgement beyond the log", reply_match_beyond },
	{ NL__MSG__BODY_APPEND_REPLY, LEADER, "a match beyond the log", reply_matched_beyond },
	{ NL__MSG__BODY_APPEND_REPLY, LEADER, "an answer to a heartbeat to come", reply_round_beyond },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "a piece of term 0", piece_term_0 },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, BOTH, "a piece of a far term", piece_term_far },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "a snapshot at index 0", piece_index_0 },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "a snapshot at a far index", piece_index_far },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "a snapshot of term 0", piece_index_term_0 },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "a snapshot of a later term", piece_index_term_late },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "a short digest", piece_digest_short },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "a long digest", piece_digest_long },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "a snapshot without members", piece_no_members },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "members larger than the whole", piece_members_beyond },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "a snapshot of exabytes", piece_huge },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "a snapshot a byte too large", piece_too_large },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "a piece a byte beyond the whole", piece_beyond },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "a piece whose end wraps", piece_wraps },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "an empty piece", piece_empty },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, FOLLOWER, "a piece longer than the whole", piece_longer_than_all },
	{ NL__MSG__BODY_SNAPSHOT_CHUNK, BOTH, "a piece of a second leader", of_a_stranger },
	{ NL__MSG__BODY_SNAPSHOT_REPLY, BOTH, "a piece's reply of a far term", piece_reply_term_far },
	{ NL__MSG__BODY_SNAPSHOT_REPLY, BOTH, "a piece's reply for a far index", piece_reply_index_far },
	{ NL__MSG__BODY_SNAPSHOT_REPLY, BOTH, "a piece's reply at a far offset", piece_reply_offset_far },
	{ NL__MSG__BODY_STEP_DOWN, BOTH, "a leader of a far term that steps down", give_up_term_far },
	{ NL__MSG__BODY_PROBE_REPLY, BOTH, "a probe's reply of a far term", probe_reply_term_far },
	{ NL__MSG__BODY_PROBE_REPLY, BOTH, "a probe's reply of a far index", probe_reply_index_far },
};

static int follower_of(const struct raft_world *world, int leader)
{
	for (int i = 0; i < RAFT_MIN_VOTERS; i++)
		if (i != leader && world->machines[i].raft.leader_id == world->machines[leader].id)
			return i;
	return -1;
}

static void drops(struct raft_world *world, int target, uint64_t from, int body,
		  void (*spoil)(struct sample *), const char *what)
{
	struct world_machine *machine = &world->machines[target];
	uint64_t before = image(&machine->raft);
	struct sample sample;

	sample_open(&sample, body, &machine->raft, from);
	spoil(&sample);
	if (!raft_receive(&machine->raft, &sample.msg, world->now, &machine->out))
		fail_msg("%s is taken", what);
	if (image(&machine->raft) != before)
		fail_msg("%s changes something", what);
	if (arrlen(machine->out.commands))
		fail_msg("%s is answered", what);
}

static void what_no_member_sends_changes_nothing(void **state)
{
	struct raft_world world;
	int leader, follower;

	(void)state;
	world_open(&world, 1, 1000);
	assert_true(world_change(&world, 20, 5000));
	assert_true(world_run(&world, 500, NULL));
	leader = world_leader(&world);
	follower = follower_of(&world, leader);
	assert_true(leader >= 0 && follower >= 0);
	for (size_t i = 0; i < sizeof absurd / sizeof *absurd; i++) {
		if (absurd[i].target != LEADER)
			drops(&world, follower, world.machines[leader].id, absurd[i].body, absurd[i].spoil,
			      absurd[i].what);
		if (absurd[i].target != FOLLOWER)
			drops(&world, leader, world.machines[follower].id, absurd[i].body, absurd[i].spoil,
			      absurd[i].what);
	}
	/* the group goes on as if nothing had been */
	assert_true(world_change(&world, 20, 5000));
	world_close(&world);
}

/* The digest is right, but no group can be what the snapshot says. */
static void a_snapshot_of_impossible_members_is_not_installed(void **state)
{
	struct raft_world world;
	struct sample sample;
	struct world_machine *machine;
	struct sha256_ctx sum;
	uint64_t head[3];
	int leader;

	(void)state;
	world_open(&world, 1, 1000);
	assert_true(world_change(&world, 5, 5000));
	leader = world_leader(&world);
	machine = &world.machines[follower_of(&world, leader)];
	sample_open(&sample, NL__MSG__BODY_SNAPSHOT_CHUNK, &machine->raft, world.machines[leader].id);
	sample.piece.members_len = sample.piece.total_bytes = pack_members(sample.members, 3, 0, 0);
	sample.piece.data.data = sample.members;
	sample.piece.data.len = sample.piece.total_bytes;
	head[0] = sample.piece.index;
	head[1] = sample.piece.index_term;
	head[2] = sample.piece.members_len;
	sha256_init(&sum);
	sha256_update(&sum, sizeof head, (const uint8_t *)head);
	sha256_update(&sum, sample.piece.total_bytes, sample.members);
	sha256_digest(&sum, RAFT_DIGEST_BYTES, sample.digest);
	assert_int_equal(raft_receive(&machine->raft, &sample.msg, world.now, &machine->out),
			 RAFT_FAULT_NONE);
	assert_int_equal(arrlen(machine->out.commands), 1);
	assert_true(machine->out.commands[0].args.send.msg->snapshot_reply->corrupt);
	assert_true(machine->raft.log.commit_index < sample.piece.index);
	assert_false(machine->raft.snapshots.must_load_newest);
	command_list_clear(&machine->out);
	world_close(&world);
}

/* ---- bytes ---- */

static const int kind_names[] = { NL__MSG__BODY_VOTE_REQUEST,   NL__MSG__BODY_VOTE_REPLY,
				  NL__MSG__BODY_APPEND,         NL__MSG__BODY_APPEND_REPLY,
				  NL__MSG__BODY_SNAPSHOT_CHUNK, NL__MSG__BODY_SNAPSHOT_REPLY,
				  NL__MSG__BODY_STEP_DOWN,      NL__MSG__BODY_PROBE,
				  NL__MSG__BODY_PROBE_REPLY };
enum { KIND_COUNT = sizeof kind_names / sizeof *kind_names };

/* Alter a packed message: torn, some bytes of it others, or a stretch of it moved. Its new length. */
static size_t alter(uint8_t *d, size_t n, uint64_t *rng)
{
	uint64_t how = core_random(rng) % 4;

	if (!n)
		return 0;
	if (how == 0)
		return core_random(rng) % n;
	for (uint64_t i = 0; i < 1 + core_random(rng) % 4; i++)
		d[core_random(rng) % n] ^= (uint8_t)(1u << (core_random(rng) % 8));
	if (how == 1) {
		size_t from = core_random(rng) % n, to = core_random(rng) % n,
		       len = n - (from > to ? from : to);

		memmove(d + to, d + from, len);
	}
	if (how == 2)
		d[core_random(rng) % n] = 0xff;
	return n;
}

/* Whatever still reads as a message is dropped or answered; nothing is read or written outside, and nothing
 * grows. A member believes what it can't tell from another's word, so what became of the group is not judged.
 */
static void altered_bytes_do_no_harm_to_the_process(void **state)
{
	uint64_t first = env("NL_SEED", 1), seeds = env("NL_SEEDS", 12), read = 0, dropped = 0, all = 0;

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct raft_world world;
		uint64_t rng = seed;

		world_open(&world, seed, 1000);
		(void)world_change(&world, 10, 5000);
		for (int i = 0; i < 3000; i++) {
			int target = (int)(core_random(&rng) % RAFT_MIN_VOTERS);
			struct world_machine *machine = &world.machines[target];
			struct sample sample;
			uint8_t d[4096];
			struct Nl__Msg *msg;
			size_t n;

			sample_open(&sample, kind_names[core_random(&rng) % KIND_COUNT], &machine->raft,
				    1 + core_random(&rng) % 4);
			n = alter(d, nl__msg__pack(&sample.msg, d), &rng);
			msg = nl__msg__unpack(NULL, n, d);
			all++;
			if (!msg)
				continue;
			read++;
			dropped +=
			    raft_receive(&machine->raft, msg, world.now, &machine->out) != RAFT_FAULT_NONE;
			nl__msg__free_unpacked(msg, NULL);
			world.now += (int64_t)(core_random(&rng) % 20);
			raft_tick(&machine->raft, world.now, &machine->out);
			raft_flush(&machine->raft, world.now, &machine->out);
			raft_synced(&machine->raft, machine->raft.disk.requested_sync_seq, world.now,
				    &machine->out);
			command_list_clear(&machine->out);
			assert_true(world_memory(&world, target) < 4 << 20);
		}
		world_close(&world);
	}
	print_message("%llu altered messages: %llu could be read, %llu of them dropped\n",
		      (unsigned long long)all, (unsigned long long)read, (unsigned long long)dropped);
	assert_true(read > all / 10 && dropped > 0);
}

/* ---- real messages, again ---- */

static struct world_packet *recorded; /* stb_ds */

static int record(struct raft_world *world, int from, int to, struct Nl__Msg *message)
{
	struct world_packet packet = { 0, from, to, 0, nl__msg__get_packed_size(message), NULL };

	(void)world;
	if (arrlen(recorded) >= 20000)
		return 1;
	packet.data = malloc(packet.len + 1);
	nl__msg__pack(message, packet.data);
	arrput(recorded, packet);
	return 1;
}

/* Everything that was ever said may be heard again, at any time and in any order: old terms, old snapshots,
 * old votes. */
static void what_was_said_before_is_harmless(void **state)
{
	uint64_t first = env("NL_SEED", 1), seeds = env("NL_SEEDS", 10), replayed = 0;

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct raft_world world;
		uint64_t rng = seed * 31;

		world_open(&world, seed, 2000);
		world.filter = record;
		for (int round = 0; round < 8 && !world.violation[0]; round++) {
			int victim = (int)(core_random(&rng) % WORLD_MACHINES);

			(void)world_change(&world, core_random(&rng) % 100, 5000);
			world_crash(&world, victim, world_fully_replicated(&world) && core_random(&rng) % 2);
			(void)world_run(&world, (int64_t)(core_random(&rng) % 1500), NULL);
			world_start(&world, victim);
			for (int i = 0; i < 300 && arrlen(recorded) && !world.violation[0]; i++) {
				const struct world_packet *packet =
				    &recorded[core_random(&rng) % (uint64_t)arrlen(recorded)];

				world_inject(&world, packet->to, packet->data, packet->len);
				replayed++;
				if (core_random(&rng) % 4 == 0)
					(void)world_run(&world, (int64_t)(core_random(&rng) % 30), NULL);
			}
		}
		if (!world.violation[0] &&
		    !(world_run(&world, 3000, NULL) && world_change(&world, 1, 6000)) && !world.violation[0])
			fail_msg("seed %llu: no change is acknowledged after the replay",
				 (unsigned long long)seed);
		if (world.violation[0])
			fail_msg("%s", world.violation);
		world_close(&world);
		for (ptrdiff_t i = 0; i < arrlen(recorded); i++)
			free(recorded[i].data);
		arrfree(recorded);
	}
	print_message("%llu seeds, %llu messages heard again\n", (unsigned long long)seeds,
		      (unsigned long long)replayed);
}

/* ---- a controller's door to its groups ---- */

static int log_lines;

static void count_lines(void *ctx, const char *prefix, const char *line)
{
	(void)ctx;
	(void)line;
	log_lines += !strcmp(prefix, "raft");
}

static uint64_t image_of_all(const struct controller *controller)
{
	uint64_t h = 0;

	for (int i = 0; i < SHARD_COUNT; i++)
		h ^= image(&controller->shards[i]) * (uint64_t)(2 * i + 1);
	return h;
}

static void foreign(struct controller *controller, struct Nl__Msg *message, int64_t now,
		    struct command_list *out)
{
	struct controller_event event = { .kind = CONTROLLER_MESSAGE };
	uint64_t before = image_of_all(controller), dropped = controller->drop_log.dropped_count;

	event.payload.message = message;
	controller->drop_log.logged_at_ms = now - 10 * CONTROLLER_DROP_LOG_INTERVAL_MS;
	log_lines = 0;
	controller_step(controller, &event, now, out);
	assert_int_equal(controller->drop_log.dropped_count, dropped + 1);
	assert_int_equal(log_lines, 1);
	assert_true(image_of_all(controller) == before);
	command_list_clear(out);
}

static void messages_of_other_fleets_are_dropped_with_a_line(void **state)
{
	struct sim sim;
	struct controller *controller;
	int64_t now;
	int node;

	(void)state;
	sim_fleet(&sim, 1, 4);
	assert_true(sim_run(&sim, 3000, NULL));
	node = (sim_leader(&sim, SHARD_CONTROL) + 1) % 3;
	controller = sim.nodes[node].controller;
	now = sim_local_clock(&sim, node);
	controller->adapters.log = count_lines;
	for (int i = 0; i < KIND_COUNT; i++) {
		struct sample sample;

		sample_open(&sample, kind_names[i], &controller->shards[0], controller->shards[0].leader_id);
		sample.msg.fleet_id = controller->identity.fleet_id + 1;
		foreign(controller, &sample.msg, now, &sim.nodes[node].commands);
		sample.msg.fleet_id = 0;
		foreign(controller, &sample.msg, now, &sim.nodes[node].commands);
		sample.msg.fleet_id = controller->identity.fleet_id;
		sample.msg.protocol_version = CORE_PROTOCOL_VERSION + 1;
		foreign(controller, &sample.msg, now, &sim.nodes[node].commands);
		sample.msg.protocol_version = CORE_PROTOCOL_VERSION;
		sample.msg.shard = SHARD_COUNT;
		foreign(controller, &sample.msg, now, &sim.nodes[node].commands);
		sample.msg.shard = UINT32_MAX;
		foreign(controller, &sample.msg, now, &sim.nodes[node].commands);
	}
	{ /* a flood of them: one line a second, which counts them */
		struct controller_event event = { .kind = CONTROLLER_MESSAGE };
		struct sample sample;

		sample_open(&sample, NL__MSG__BODY_APPEND, &controller->shards[0],
			    controller->shards[0].leader_id);
		sample.msg.fleet_id = controller->identity.fleet_id + 1;
		event.payload.message = &sample.msg;
		log_lines = 0;
		for (int i = 0; i < 3000; i++)
			controller_step(controller, &event, now + i, &sim.nodes[node].commands);
		assert_true(log_lines >= 2 && log_lines <= 4);
	}
	command_list_clear(&sim.nodes[node].commands);
	controller->adapters.log = NULL;
	sim_close(&sim);
}

int main(void)
{
	const struct CMUnitTest t[] = {
		cmocka_unit_test(what_no_member_sends_changes_nothing),
		cmocka_unit_test(a_snapshot_of_impossible_members_is_not_installed),
		cmocka_unit_test(altered_bytes_do_no_harm_to_the_process),
		cmocka_unit_test(what_was_said_before_is_harmless),
		cmocka_unit_test(messages_of_other_fleets_are_dropped_with_a_line),
	};

	apr_initialize();
	return cmocka_run_group_tests(t, NULL, NULL);
}
