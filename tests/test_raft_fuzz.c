/* What comes in over the network and cannot be right: absurd terms, indices, sizes and lists of members, messages of other
 * fleets, torn and altered bytes, and real messages again, late and out of order. Fixed seeds; run with sanitizers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <nettle/sha2.h>

#include "ds.h"
#include "raft_world.h"
#include "sim.h"

enum { STRANGER = 9 };
#define FAR ((uint64_t)1 << 60)

static uint64_t env(const char *name, uint64_t otherwise) { return getenv(name) ? strtoull(getenv(name), NULL, 10) : otherwise; }

/* All that a member is: bytes of its struct, and of what its log and snapshot hold. */
static uint64_t image(const struct raft *raft)
{
	uint64_t h = core_hash(1, raft, sizeof *raft);

	for (ptrdiff_t i = 0; i < arrlen(raft->log); i++) {
		h = core_hash(h, &raft->log[i], sizeof raft->log[i]);
		h = core_hash(h, raft->log[i].data, raft->log[i].len);
	}
	h = core_hash(h, raft->snapshot_members, raft->snapshot_members_len);
	return core_hash(h, raft->snap, raft->snapshot_len);
}

/* ---- valid messages, as a member of the group sends them ---- */

struct sample {
	struct Nl__Msg msg;
	struct Nl__VoteAsk vote_ask;
	struct Nl__VoteReply vote_reply;
	struct Nl__Append append;
	struct Nl__Entry entry[2], *entries[2];
	struct Nl__AppendReply append_reply;
	struct Nl__SnapshotPiece piece;
	struct Nl__SnapshotReply piece_reply;
	struct Nl__GiveUp give_up;
	struct Nl__Probe probe;
	struct Nl__ProbeReply probe_reply;
	uint8_t digest[RAFT_DIGEST_BYTES + 1], bytes[64], members[512];
};

static size_t pack_members(uint8_t *to, int n, int voters, int alike)
{
	struct Nl__Members ms = NL__MEMBERS__INIT;
	struct Nl__Member v[16], *pv[16];

	for (int i = 0; i < n; i++) {
		nl__member__init(&v[i]);
		v[i].id = alike ? 1 : (uint64_t)i + 1;
		v[i].addr = 1000 + (uint64_t)i;
		v[i].voter = i < voters;
		pv[i] = &v[i];
	}
	ms.n_m = (size_t)n;
	ms.m = pv;
	return nl__members__pack(&ms, to);
}

static uint64_t last_of(const struct raft *raft) { return raft->base + (uint64_t)arrlen(raft->log); }

/* A message of this kind that the member would take: from its leader, or to a leader from its follower. */
static void sample_open(struct sample *s, int body, const struct raft *to, uint64_t from)
{
	memset(s, 0, sizeof *s);
	nl__msg__init(&s->msg);
	s->msg.speak = CORE_SPEAK;
	s->msg.id = from;
	s->msg.addr = 999 + from;
	s->msg.fleet = 1;
	s->msg.body_case = (Nl__Msg__BodyCase)body;
	nl__vote_ask__init(&s->vote_ask);
	s->vote_ask.term = to->term + 1;
	s->vote_ask.last = last_of(to);
	s->vote_ask.last_term = to->term;
	nl__vote_reply__init(&s->vote_reply);
	s->vote_reply.term = to->term;
	nl__append__init(&s->append);
	s->append.term = to->term;
	s->append.prev = last_of(to);
	s->append.prev_term = to->term;
	s->append.round = to->round;
	for (int i = 0; i < 2; i++) {
		nl__entry__init(&s->entry[i]);
		s->entry[i].term = to->term;
		s->entry[i].kind = RAFT_ENTRY_OPERATION;
		s->entry[i].data.data = s->bytes;
		s->entry[i].data.len = sizeof s->bytes;
		s->entries[i] = &s->entry[i];
	}
	s->append.n_e = 2;
	s->append.e = s->entries;
	nl__append_reply__init(&s->append_reply);
	s->append_reply.term = to->term;
	s->append_reply.ok = 1;
	s->append_reply.match = s->append_reply.matched = last_of(to);
	s->append_reply.round = to->round;
	nl__snapshot_piece__init(&s->piece);
	s->piece.term = s->piece.index_term = to->term;
	s->piece.index = last_of(to) + 100;
	s->piece.members_len = 60;
	s->piece.total = 1000;
	s->piece.digest.data = s->digest;
	s->piece.digest.len = RAFT_DIGEST_BYTES;
	s->piece.data.data = s->bytes;
	s->piece.data.len = sizeof s->bytes;
	nl__snapshot_reply__init(&s->piece_reply);
	s->piece_reply.term = to->term;
	nl__give_up__init(&s->give_up);
	s->give_up.term = to->term;
	nl__probe__init(&s->probe);
	nl__probe_reply__init(&s->probe_reply);
	s->msg.vote_ask = &s->vote_ask; /* the body is a union: all begin at the same place */
	switch (body) {
	case NL__MSG__BODY_VOTE_REPLY: s->msg.vote_reply = &s->vote_reply; break;
	case NL__MSG__BODY_APPEND: s->msg.append = &s->append; break;
	case NL__MSG__BODY_APPEND_REPLY: s->msg.append_reply = &s->append_reply; break;
	case NL__MSG__BODY_SNAPSHOT_PIECE: s->msg.snapshot_piece = &s->piece; break;
	case NL__MSG__BODY_SNAPSHOT_REPLY: s->msg.snapshot_reply = &s->piece_reply; break;
	case NL__MSG__BODY_GIVE_UP: s->msg.give_up = &s->give_up; break;
	case NL__MSG__BODY_PROBE: s->msg.probe = &s->probe; break;
	case NL__MSG__BODY_PROBE_REPLY: s->msg.probe_reply = &s->probe_reply; break;
	default: break;
	}
}

/* ---- what makes them absurd ---- */

static void members_entry(struct sample *s, size_t len)
{
	s->entry[0].kind = RAFT_ENTRY_MEMBERS;
	s->entry[0].data.data = s->members;
	s->entry[0].data.len = len;
}

static void vote_term_0(struct sample *s) { s->vote_ask.term = s->vote_ask.last_term = 0; }
static void vote_term_far(struct sample *s) { s->vote_ask.term = FAR; }
static void vote_gave_up_late(struct sample *s) { s->vote_ask.gave_up = s->vote_ask.term; }
static void vote_last_far(struct sample *s) { s->vote_ask.last = FAR; }
static void vote_last_term_late(struct sample *s) { s->vote_ask.last_term = s->vote_ask.term + 1; }
static void vote_reply_term_far(struct sample *s) { s->vote_reply.term = FAR; }
static void append_term_0(struct sample *s) { s->append.term = s->append.prev_term = s->entry[0].term = s->entry[1].term = 0; }
static void append_term_far(struct sample *s) { s->append.term = UINT64_MAX; }
static void append_prev_far(struct sample *s) { s->append.prev = UINT64_MAX; }
static void append_commit_far(struct sample *s) { s->append.commit = FAR; }
static void append_prev_term_late(struct sample *s) { s->append.prev_term = s->append.term + 1; }
static void entry_term_0(struct sample *s) { s->entry[0].term = 0; }
static void entry_term_late(struct sample *s) { s->entry[1].term = s->append.term + 1; }
static void entry_terms_fall(struct sample *s) { s->entry[1].term = s->entry[0].term - 1; }
static void entry_kind(struct sample *s) { s->entry[1].kind = 7; }
static void members_torn(struct sample *s) { members_entry(s, pack_members(s->members, 3, 3, 0) - 1); }
static void members_none(struct sample *s) { members_entry(s, 0); }
static void members_many(struct sample *s) { members_entry(s, pack_members(s->members, RAFT_MAX_MEMBERS + 1, 3, 0)); }
static void members_alike(struct sample *s) { members_entry(s, pack_members(s->members, 3, 3, 1)); }
static void members_voteless(struct sample *s) { members_entry(s, pack_members(s->members, 3, 0, 0)); }
static void reply_term_far(struct sample *s) { s->append_reply.term = FAR; }
static void reply_match_far(struct sample *s) { s->append_reply.match = UINT64_MAX; }
static void reply_match_beyond(struct sample *s) { s->append_reply.match++; }
static void reply_matched_beyond(struct sample *s) { s->append_reply.matched++; }
static void reply_round_beyond(struct sample *s) { s->append_reply.round++; }
static void piece_term_0(struct sample *s) { s->piece.term = 0; }
static void piece_term_far(struct sample *s) { s->piece.term = FAR; }
static void piece_index_0(struct sample *s) { s->piece.index = 0; }
static void piece_index_far(struct sample *s) { s->piece.index = FAR; }
static void piece_index_term_0(struct sample *s) { s->piece.index_term = 0; }
static void piece_index_term_late(struct sample *s) { s->piece.index_term = s->piece.term + 1; }
static void piece_digest_short(struct sample *s) { s->piece.digest.len = RAFT_DIGEST_BYTES - 1; }
static void piece_digest_long(struct sample *s) { s->piece.digest.len = RAFT_DIGEST_BYTES + 1; }
static void piece_no_members(struct sample *s) { s->piece.members_len = 0; }
static void piece_members_beyond(struct sample *s) { s->piece.members_len = s->piece.total + 1; }
static void piece_huge(struct sample *s) { s->piece.total = FAR; }
static void piece_too_large(struct sample *s) { s->piece.total = (uint64_t)RAFT_SNAPSHOT_MAX_BYTES + 1; }
static void piece_beyond(struct sample *s) { s->piece.offset = s->piece.total - s->piece.data.len + 1; }
static void piece_wraps(struct sample *s) { s->piece.offset = UINT64_MAX - s->piece.data.len + 2; }
static void piece_empty(struct sample *s) { s->piece.data.len = 0; }
static void piece_longer_than_all(struct sample *s) { s->piece.total = s->piece.members_len = s->piece.data.len - 1; }
static void piece_reply_term_far(struct sample *s) { s->piece_reply.term = FAR; }
static void piece_reply_index_far(struct sample *s) { s->piece_reply.index = FAR; }
static void piece_reply_offset_far(struct sample *s) { s->piece_reply.offset = FAR; }
static void give_up_term_far(struct sample *s) { s->give_up.term = FAR; }
static void probe_reply_term_far(struct sample *s) { s->probe_reply.last_term = FAR; }
static void probe_reply_index_far(struct sample *s) { s->probe_reply.members_at = FAR; }
static void of_a_stranger(struct sample *s) { s->msg.id = STRANGER; } /* leads in a term that has a leader */

enum target { FOLLOWER, LEADER, BOTH };

static const struct {
	int body;
	enum target target;
	const char *what;
	void (*spoil)(struct sample *s);
} absurd[] = {
	{ NL__MSG__BODY_VOTE_ASK, BOTH, "a vote in term 0", vote_term_0 },
	{ NL__MSG__BODY_VOTE_ASK, BOTH, "a vote in a far term", vote_term_far },
	{ NL__MSG__BODY_VOTE_ASK, BOTH, "a vote for a far index", vote_last_far },
	{ NL__MSG__BODY_VOTE_ASK, BOTH, "a vote for a leader whose own term gave up", vote_gave_up_late },
	{ NL__MSG__BODY_VOTE_ASK, BOTH, "a vote for a log of a later term", vote_last_term_late },
	{ NL__MSG__BODY_VOTE_REPLY, BOTH, "a vote from a far term", vote_reply_term_far },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "an append of term 0", append_term_0 },
	{ NL__MSG__BODY_APPEND, BOTH, "an append of a far term", append_term_far },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "an append at a far index", append_prev_far },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "an append with a far commit", append_commit_far },
	{ NL__MSG__BODY_APPEND, FOLLOWER, "an append behind an entry of a later term", append_prev_term_late },
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
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "a piece of term 0", piece_term_0 },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, BOTH, "a piece of a far term", piece_term_far },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "a snapshot at index 0", piece_index_0 },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "a snapshot at a far index", piece_index_far },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "a snapshot of term 0", piece_index_term_0 },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "a snapshot of a later term", piece_index_term_late },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "a short digest", piece_digest_short },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "a long digest", piece_digest_long },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "a snapshot without members", piece_no_members },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "members larger than the whole", piece_members_beyond },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "a snapshot of exabytes", piece_huge },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "a snapshot a byte too large", piece_too_large },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "a piece a byte beyond the whole", piece_beyond },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "a piece whose end wraps", piece_wraps },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "an empty piece", piece_empty },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, FOLLOWER, "a piece longer than the whole", piece_longer_than_all },
	{ NL__MSG__BODY_SNAPSHOT_PIECE, BOTH, "a piece of a second leader", of_a_stranger },
	{ NL__MSG__BODY_SNAPSHOT_REPLY, BOTH, "a piece's reply of a far term", piece_reply_term_far },
	{ NL__MSG__BODY_SNAPSHOT_REPLY, BOTH, "a piece's reply for a far index", piece_reply_index_far },
	{ NL__MSG__BODY_SNAPSHOT_REPLY, BOTH, "a piece's reply at a far offset", piece_reply_offset_far },
	{ NL__MSG__BODY_GIVE_UP, BOTH, "a leader of a far term that steps down", give_up_term_far },
	{ NL__MSG__BODY_PROBE_REPLY, BOTH, "a probe's reply of a far term", probe_reply_term_far },
	{ NL__MSG__BODY_PROBE_REPLY, BOTH, "a probe's reply of a far index", probe_reply_index_far },
};

static int follower_of(const struct world *w, int leader)
{
	for (int i = 0; i < RAFT_MIN_VOTERS; i++)
		if (i != leader && w->m[i].raft.leader_id == w->m[leader].id)
			return i;
	return -1;
}

static void drops(struct world *w, int target, uint64_t from, int body, void (*spoil)(struct sample *), const char *what)
{
	struct world_machine *m = &w->m[target];
	uint64_t before = image(&m->raft);
	struct sample s;

	sample_open(&s, body, &m->raft, from);
	spoil(&s);
	if (!raft_receive(&m->raft, &s.msg, w->now, &m->out))
		fail_msg("%s is taken", what);
	if (image(&m->raft) != before)
		fail_msg("%s changes something", what);
	if (arrlen(m->out.v))
		fail_msg("%s is answered", what);
}

static void what_no_member_sends_changes_nothing(void **st)
{
	struct world w;
	int leader, follower;

	(void)st;
	world_open(&w, 1, 1000);
	assert_true(world_change(&w, 20, 5000));
	assert_true(world_run(&w, 500, NULL));
	leader = world_leader(&w);
	follower = follower_of(&w, leader);
	assert_true(leader >= 0 && follower >= 0);
	for (size_t i = 0; i < sizeof absurd / sizeof *absurd; i++) {
		if (absurd[i].target != LEADER)
			drops(&w, follower, w.m[leader].id, absurd[i].body, absurd[i].spoil, absurd[i].what);
		if (absurd[i].target != FOLLOWER)
			drops(&w, leader, w.m[follower].id, absurd[i].body, absurd[i].spoil, absurd[i].what);
	}
	/* the group goes on as if nothing had been */
	assert_true(world_change(&w, 20, 5000));
	world_close(&w);
}

/* The digest is right, but no group can be what the snapshot says. */
static void a_snapshot_of_impossible_members_is_not_installed(void **st)
{
	struct world w;
	struct sample s;
	struct world_machine *m;
	struct sha256_ctx sum;
	uint64_t head[3];
	int leader;

	(void)st;
	world_open(&w, 1, 1000);
	assert_true(world_change(&w, 5, 5000));
	leader = world_leader(&w);
	m = &w.m[follower_of(&w, leader)];
	sample_open(&s, NL__MSG__BODY_SNAPSHOT_PIECE, &m->raft, w.m[leader].id);
	s.piece.members_len = s.piece.total = pack_members(s.members, 3, 0, 0);
	s.piece.data.data = s.members;
	s.piece.data.len = s.piece.total;
	head[0] = s.piece.index;
	head[1] = s.piece.index_term;
	head[2] = s.piece.members_len;
	sha256_init(&sum);
	sha256_update(&sum, sizeof head, (const uint8_t *)head);
	sha256_update(&sum, s.piece.total, s.members);
	sha256_digest(&sum, RAFT_DIGEST_BYTES, s.digest);
	assert_null(raft_receive(&m->raft, &s.msg, w.now, &m->out));
	assert_int_equal(arrlen(m->out.v), 1);
	assert_true(m->out.v[0].u.send.msg->snapshot_reply->corrupt);
	assert_true(m->raft.commit < s.piece.index);
	assert_false(m->raft.snapshot_to_load);
	out_clear(&m->out);
	world_close(&w);
}

/* ---- bytes ---- */

static const int kinds[] = { NL__MSG__BODY_VOTE_ASK,     NL__MSG__BODY_VOTE_REPLY,     NL__MSG__BODY_APPEND,
			     NL__MSG__BODY_APPEND_REPLY, NL__MSG__BODY_SNAPSHOT_PIECE, NL__MSG__BODY_SNAPSHOT_REPLY,
			     NL__MSG__BODY_GIVE_UP,      NL__MSG__BODY_PROBE,          NL__MSG__BODY_PROBE_REPLY };
enum { KINDS = sizeof kinds / sizeof *kinds };

/* Alter a packed message: torn, some bytes of it others, or a stretch of it moved. Its new length. */
static size_t alter(uint8_t *d, size_t n, uint64_t *rng)
{
	uint64_t how = core_rand(rng) % 4;

	if (!n)
		return 0;
	if (how == 0)
		return core_rand(rng) % n;
	for (uint64_t i = 0; i < 1 + core_rand(rng) % 4; i++)
		d[core_rand(rng) % n] ^= (uint8_t)(1u << (core_rand(rng) % 8));
	if (how == 1) {
		size_t from = core_rand(rng) % n, to = core_rand(rng) % n, len = n - (from > to ? from : to);

		memmove(d + to, d + from, len);
	}
	if (how == 2)
		d[core_rand(rng) % n] = 0xff;
	return n;
}

/* Whatever still reads as a message is dropped or answered; nothing is read or written outside, and nothing grows. A member
 * believes what it can't tell from another's word, so what became of the group is not judged. */
static void altered_bytes_do_no_harm_to_the_process(void **st)
{
	uint64_t first = env("NL_SEED", 1), seeds = env("NL_SEEDS", 12), read = 0, dropped = 0, all = 0;

	(void)st;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct world w;
		uint64_t rng = seed;

		world_open(&w, seed, 1000);
		(void)world_change(&w, 10, 5000);
		for (int i = 0; i < 3000; i++) {
			int target = (int)(core_rand(&rng) % RAFT_MIN_VOTERS);
			struct world_machine *m = &w.m[target];
			struct sample s;
			uint8_t d[4096];
			struct Nl__Msg *msg;
			size_t n;

			sample_open(&s, kinds[core_rand(&rng) % KINDS], &m->raft, 1 + core_rand(&rng) % 4);
			n = alter(d, nl__msg__pack(&s.msg, d), &rng);
			msg = nl__msg__unpack(NULL, n, d);
			all++;
			if (!msg)
				continue;
			read++;
			dropped += raft_receive(&m->raft, msg, w.now, &m->out) != NULL;
			nl__msg__free_unpacked(msg, NULL);
			w.now += (int64_t)(core_rand(&rng) % 20);
			raft_tick(&m->raft, w.now, &m->out);
			raft_flush(&m->raft, w.now, &m->out);
			raft_synced(&m->raft, m->raft.seq, w.now, &m->out);
			out_clear(&m->out);
			assert_true(world_memory(&w, target) < 4 << 20);
		}
		world_close(&w);
	}
	print_message("%llu altered messages: %llu could be read, %llu of them dropped\n", (unsigned long long)all,
		      (unsigned long long)read, (unsigned long long)dropped);
	assert_true(read > all / 10 && dropped > 0);
}

/* ---- real messages, again ---- */

static struct world_packet *recorded; /* stb_ds */

static int record(struct world *w, int from, int to, struct Nl__Msg *m)
{
	struct world_packet p = { 0, from, to, 0, nl__msg__get_packed_size(m), NULL };

	(void)w;
	if (arrlen(recorded) >= 20000)
		return 1;
	p.data = malloc(p.len + 1);
	nl__msg__pack(m, p.data);
	arrput(recorded, p);
	return 1;
}

/* Everything that was ever said may be heard again, at any time and in any order: old terms, old snapshots, old votes. */
static void what_was_said_before_is_harmless(void **st)
{
	uint64_t first = env("NL_SEED", 1), seeds = env("NL_SEEDS", 10), replayed = 0;

	(void)st;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct world w;
		uint64_t rng = seed * 31;

		world_open(&w, seed, 2000);
		w.filter = record;
		for (int round = 0; round < 8 && !w.bad[0]; round++) {
			int victim = (int)(core_rand(&rng) % WORLD_MACHINES);

			(void)world_change(&w, core_rand(&rng) % 100, 5000);
			world_crash(&w, victim, world_whole(&w) && core_rand(&rng) % 2);
			(void)world_run(&w, (int64_t)(core_rand(&rng) % 1500), NULL);
			world_start(&w, victim);
			for (int i = 0; i < 300 && arrlen(recorded) && !w.bad[0]; i++) {
				const struct world_packet *p = &recorded[core_rand(&rng) % (uint64_t)arrlen(recorded)];

				world_inject(&w, p->to, p->data, p->len);
				replayed++;
				if (core_rand(&rng) % 4 == 0)
					(void)world_run(&w, (int64_t)(core_rand(&rng) % 30), NULL);
			}
		}
		if (!w.bad[0] && !(world_run(&w, 3000, NULL) && world_change(&w, 1, 6000)) && !w.bad[0])
			fail_msg("seed %llu: no change is acknowledged after the replay", (unsigned long long)seed);
		if (w.bad[0])
			fail_msg("%s", w.bad);
		world_close(&w);
		for (ptrdiff_t i = 0; i < arrlen(recorded); i++)
			free(recorded[i].data);
		arrfree(recorded);
	}
	print_message("%llu seeds, %llu messages heard again\n", (unsigned long long)seeds, (unsigned long long)replayed);
}

/* ---- a controller's door to its groups ---- */

static int log_lines;

static void count_lines(void *ctx, const char *prefix, const char *line)
{
	(void)ctx;
	(void)line;
	log_lines += !strcmp(prefix, "raft");
}

static uint64_t image_of_all(const struct controller *r)
{
	uint64_t h = 0;

	for (int i = 0; i < SHARD_COUNT; i++)
		h ^= image(&r->part[i]) * (uint64_t)(2 * i + 1);
	return h;
}

static void foreign(struct controller *r, struct Nl__Msg *m, int64_t now, struct out *o)
{
	struct controller_ev ev = { .kind = CONTROLLER_MSG };
	uint64_t before = image_of_all(r), dropped = r->dropped;

	ev.u.msg = m;
	r->drop_logged_at = now - 10 * CONTROLLER_DROP_LOG;
	log_lines = 0;
	controller_step(r, &ev, now, o);
	assert_int_equal(r->dropped, dropped + 1);
	assert_int_equal(log_lines, 1);
	assert_true(image_of_all(r) == before);
	out_clear(o);
}

static void messages_of_other_fleets_are_dropped_with_a_line(void **st)
{
	struct sim s;
	struct controller *r;
	int64_t now;
	int node;

	(void)st;
	sim_fleet(&s, 1, 4);
	assert_true(sim_run(&s, 3000, NULL));
	node = (sim_owner(&s, SHARD_CONTROL) + 1) % 3;
	r = s.n[node].r;
	now = sim_local(&s, node);
	r->log = count_lines;
	for (int i = 0; i < KINDS; i++) {
		struct sample x;

		sample_open(&x, kinds[i], &r->part[0], r->part[0].leader_id);
		x.msg.fleet = r->fleet + 1;
		foreign(r, &x.msg, now, &s.n[node].o);
		x.msg.fleet = 0;
		foreign(r, &x.msg, now, &s.n[node].o);
		x.msg.fleet = r->fleet;
		x.msg.speak = CORE_SPEAK + 1;
		foreign(r, &x.msg, now, &s.n[node].o);
		x.msg.speak = CORE_SPEAK;
		x.msg.part = SHARD_COUNT;
		foreign(r, &x.msg, now, &s.n[node].o);
		x.msg.part = UINT32_MAX;
		foreign(r, &x.msg, now, &s.n[node].o);
	}
	{ /* a flood of them: one line a second, which counts them */
		struct controller_ev ev = { .kind = CONTROLLER_MSG };
		struct sample x;

		sample_open(&x, NL__MSG__BODY_APPEND, &r->part[0], r->part[0].leader_id);
		x.msg.fleet = r->fleet + 1;
		ev.u.msg = &x.msg;
		log_lines = 0;
		for (int i = 0; i < 3000; i++)
			controller_step(r, &ev, now + i, &s.n[node].o);
		assert_true(log_lines >= 2 && log_lines <= 4);
	}
	out_clear(&s.n[node].o);
	r->log = NULL;
	sim_close(&s);
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
