#include "raft_leader.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "ds.h"

struct Nl__Msg leader_message(int body)
{
	struct Nl__Msg m = NL__MSG__INIT;

	m.body_case = (Nl__Msg__BodyCase)body;
	return m;
}

void leader_sync_disk(struct leader *l)
{
	raft_flush(&l->raft, l->now, &l->out);
	raft_synced(&l->raft, l->raft.seq, l->now, &l->out);
	raft_flush(&l->raft, l->now, &l->out);
}

void leader_hear(struct leader *l, uint64_t from, struct Nl__Msg *m)
{
	m->id = from;
	m->addr = 100 + from;
	raft_receive(&l->raft, m, l->now, &l->out);
	leader_sync_disk(l);
}

void leader_hear_vote(struct leader *l, uint64_t from, uint64_t term, int pre)
{
	struct Nl__Msg m = leader_message(NL__MSG__BODY_VOTE_REPLY);
	struct Nl__VoteReply v = NL__VOTE_REPLY__INIT;

	v.term = term;
	v.granted = 1;
	v.pre = pre;
	m.vote_reply = &v;
	leader_hear(l, from, &m);
}

/* A member answers the newest heartbeat: it has synced all up to match. */
void leader_hear_answer(struct leader *l, uint64_t from, uint64_t match)
{
	struct Nl__Msg m = leader_message(NL__MSG__BODY_APPEND_REPLY);
	struct Nl__AppendReply a = NL__APPEND_REPLY__INIT;

	a.term = l->raft.term;
	a.ok = 1;
	a.match = match;
	a.round = l->raft.round;
	m.append_reply = &a;
	leader_hear(l, from, &m);
}

uint64_t leader_newest(const struct leader *l) { return l->raft.base + (uint64_t)arrlen(l->raft.log); }

/* Time passes; the members in the mask answer each heartbeat, and hold all that there is. */
void leader_beat(struct leader *l, int64_t ms, unsigned answering)
{
	for (int64_t end = l->now + ms; l->now < end;) {
		l->now += RAFT_HEARTBEAT_MS;
		raft_tick(&l->raft, l->now, &l->out);
		leader_sync_disk(l);
		for (uint64_t id = 2; id < 10; id++)
			if (answering >> id & 1)
				leader_hear_answer(l, id, leader_newest(l));
		out_clear(&l->out);
	}
}

/* Member 1 leads a group of so many voters. */
void leader_begin(struct leader *l, int voters)
{
	struct raft_member members[RAFT_MAX_MEMBERS];

	memset(l, 0, sizeof *l);
	memset(members, 0, sizeof members);
	apr_pool_create(&l->out.p, NULL);
	l->out.id = 1;
	l->out.addr = 101;
	l->now = 100000;
	for (int i = 0; i < voters; i++)
		members[i] = (struct raft_member){ .id = (uint64_t)i + 1, .addr = 101 + (uint64_t)i, .voter = 1 };
	for (int i = 0; i < voters + 1; i++)
		l->live[i] = (struct raft_member){ .id = (uint64_t)i + 1, .addr = 101 + (uint64_t)i, .zone = 1 + (uint64_t)i };
	l->live_count = voters + 1; /* one more stands by */
	raft_open(&l->raft, 0, 1, 5, NULL, l->now);
	l->raft.replicas = voters;
	l->raft.member_lost_ms = 2400;
	raft_bootstrap(&l->raft, members, voters, l->now, &l->out);
	leader_sync_disk(l);
	l->now += 5000;
	raft_tick(&l->raft, l->now, &l->out);
	for (uint64_t id = 2; id <= (uint64_t)voters; id++)
		leader_hear_vote(l, id, l->raft.term + 1, 1);
	for (uint64_t id = 2; id <= (uint64_t)voters; id++)
		leader_hear_vote(l, id, l->raft.term, 0);
	assert_int_equal(l->raft.role, RAFT_LEADER);
	leader_beat(l, 600, ((1u << (voters + 1)) - 1) & ~3u);
	assert_true(raft_has_lease(&l->raft, l->now));
}

void leader_end(struct leader *l)
{
	raft_close(&l->raft);
	arrfree(l->out.v);
	apr_pool_destroy(l->out.p);
}

const struct raft_member *leader_member(const struct leader *l, uint64_t id)
{
	for (int i = 0; i < l->raft.member_count; i++)
		if (l->raft.members[i].id == id)
			return &l->raft.members[i];
	return NULL;
}

void leader_reconfigure(struct leader *l)
{
	raft_reconfigure(&l->raft, l->live, l->live_count, l->now);
	leader_sync_disk(l);
}

void leader_propose(struct leader *l)
{
	assert_true(raft_propose(&l->raft, (const uint8_t *)"x", 1, l->now) > 0);
	leader_sync_disk(l);
}
