/* A planned stop of a leader: how long its group is without one that holds a lease and has applied its log. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "ds.h"
#include "raft_world.h"

enum {
	SHORT_GAP_MS = 60,    /* a handover and nothing else */
	LONG_GAP_MS = 200,    /* where messages are late or lost, or the successor may have been told to stop too */
	PROCESS_TICK_MS = 25, /* as the registrar's process ticks */
	PROPOSALS_A_SECOND = 400,
	DOCUMENT_BYTES = 300,
	CALM_MS = 1500,
	LIMIT_MS = 5000,
	JITTER_MS = 20,
	SLOW_DISK_MS = 200,
	AWAY_MS = 600,
	MISSED_MS = 400,
	BACK_MS = 50
};

/* What else is the matter while the leader is told to stop. */
enum trouble {
	NO_TROUBLE,
	JITTER,    /* messages take up to JITTER_MS longer */
	SLOW_DISK, /* one of the other voters syncs slowly */
	RETURNED,  /* one of them came back a moment ago, and lacks what was logged meanwhile */
	AWAY,      /* one of them is down */
	LOSSY,     /* a message of a hundred is lost */
	STOPPED,   /* one of them is told to stop at the same moment */
	TROUBLES
};

static const struct {
	const char *name;
	int64_t gap_ms; /* longest that the group may be without a leader */
} troubles[TROUBLES] = {
	[NO_TROUBLE] = { "none", SHORT_GAP_MS },     [JITTER] = { "jitter", LONG_GAP_MS },
	[SLOW_DISK] = { "slow disk", SHORT_GAP_MS }, [RETURNED] = { "returned", SHORT_GAP_MS },
	[AWAY] = { "away", SHORT_GAP_MS },           [LOSSY] = { "lossy", LONG_GAP_MS },
	[STOPPED] = { "two stops", LONG_GAP_MS },
};

/* A group and what it runs on. */
struct setting {
	int voters, sync_ms, delay_us, proposals;
	enum trouble trouble;
};

static int seeds_or(int n)
{
	const char *seeds = getenv("NL_SEEDS");

	return seeds ? (int)strtol(seeds, NULL, 10) : n;
}

static uint64_t first_seed(void)
{
	const char *seed = getenv("NL_SEED");

	return seed ? strtoull(seed, NULL, 10) : 1;
}

static int by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void open_group(struct world *w, const struct setting *setting, uint64_t seed)
{
	world_open_with(w, seed, DOCUMENT_BYTES, setting->voters);
	w->delay_ms = w->jitter_ms = 0;
	w->delay_us = setting->delay_us;
	w->disk_ms = setting->sync_ms;
	w->tick_ms = PROCESS_TICK_MS;
	for (int i = 0; i < w->machines; i++)
		w->m[i].tick_phase = (int)(core_rand(&w->rng) % PROCESS_TICK_MS);
}

/* One ms under load. */
static void pass_ms(struct world *w, const struct setting *setting)
{
	if (setting->proposals && core_rand(&w->rng) % 1000 < (uint64_t)setting->proposals)
		(void)world_log(w);
	(void)world_run(w, 1, NULL);
}

static void pass(struct world *w, const struct setting *setting, int64_t ms)
{
	for (int64_t end = w->now + ms; w->now < end;)
		pass_ms(w, setting);
}

/* Whether a machine other than one holds a lease and has applied all that is committed. */
static int has_successor(const struct world *w, int old)
{
	int leader = world_leader(w);

	return leader >= 0 && leader != old && w->m[leader].raft.applied == w->m[leader].raft.commit;
}

/* The leader is told to stop; ms until another one has taken over. */
static int64_t planned_stop(struct world *w, const struct setting *setting)
{
	int old = world_leader(w);
	int64_t from = w->now;

	raft_leave(&w->m[old].raft, w->now);
	while (!has_successor(w, old) && w->now - from < LIMIT_MS)
		pass_ms(w, setting);
	return w->now - from;
}

static int another(struct world *w, int than)
{
	return (than + 1 + (int)(core_rand(&w->rng) % (uint64_t)(w->voters - 1))) % w->voters;
}

static void bring_trouble(struct world *w, const struct setting *setting)
{
	int other = another(w, world_leader(w));

	switch (setting->trouble) {
	case JITTER: w->jitter_ms = JITTER_MS; break;
	case SLOW_DISK: w->m[other].slow_disk_ms = SLOW_DISK_MS; break;
	case LOSSY: w->loss = 10; break;
	case AWAY:
	case RETURNED: world_crash(w, other, 0); break;
	case STOPPED: raft_leave(&w->m[other].raft, w->now); break;
	default: break;
	}
	if (setting->trouble == AWAY || setting->trouble == RETURNED)
		pass(w, setting, AWAY_MS);
	if (setting->trouble == RETURNED) {
		pass(w, setting, MISSED_MS);
		world_start(w, other);
		pass(w, setting, BACK_MS);
	}
	if (setting->trouble == SLOW_DISK || setting->trouble == JITTER)
		pass(w, setting, CALM_MS);
}

static int64_t gap_of(const struct setting *setting, uint64_t seed)
{
	struct world w;
	int64_t gap;

	open_group(&w, setting, seed);
	pass(&w, setting, CALM_MS + (int64_t)(core_rand(&w.rng) % 200));
	assert_true(world_leader(&w) >= 0);
	bring_trouble(&w, setting);
	gap = planned_stop(&w, setting);
	pass(&w, setting, CALM_MS);
	if (w.bad[0])
		fail_msg("%s", w.bad);
	world_close(&w);
	return gap;
}

static void print_gaps(const struct setting *setting, int64_t *gaps, int n)
{
	if (!n)
		return;
	qsort(gaps, (size_t)n, sizeof *gaps, by_value);
	print_message(
	    "%-9s %d voters, sync %d ms, one way %.1f ms, %3d proposals/s: median %lld, p95 %lld, most %lld ms (%d seeds)\n",
	    troubles[setting->trouble].name, setting->voters, setting->sync_ms, setting->delay_us / 1000.0, setting->proposals,
	    (long long)gaps[n / 2], (long long)gaps[n * 95 / 100], (long long)gaps[n - 1], n);
}

/* How many seeds leave a longer gap than they may. */
static int measure(const struct setting *setting)
{
	int64_t *gaps = NULL, bound = troubles[setting->trouble].gap_ms;
	uint64_t from = first_seed(), to = from + (uint64_t)seeds_or(3);
	int late = 0;

	for (uint64_t seed = from; seed < to; seed++) {
		int64_t gap = gap_of(setting, seed);

		if (gap > bound)
			print_message("late: %lld ms, seed %llu\n", (long long)gap, (unsigned long long)seed);
		late += gap > bound;
		arrput(gaps, gap);
	}
	print_gaps(setting, gaps, (int)arrlen(gaps));
	arrfree(gaps);
	return late;
}

/* Over settings and seeds a planned stop of a leader leaves its group without one for a short while only. */
static void a_planned_stop_leaves_no_gap(void **state)
{
	static const int voters[] = { 3, 5 }, syncs[] = { 2, 5 }, delays[] = { 500, 1400 }, loads[] = { 0, PROPOSALS_A_SECOND };
	int late = 0;

	(void)state;
	for (int trouble = 0; trouble < TROUBLES; trouble++)
		for (int k = 0; k < 16; k++) {
			struct setting setting = { voters[k >> 3], syncs[k >> 2 & 1], delays[k >> 1 & 1], loads[k & 1],
						   (enum trouble)trouble };

			late += measure(&setting);
		}
	assert_int_equal(late, 0);
}

/* ---- one follower, its messages given by hand ---- */

enum { TERM = 5, LEADER_ID = 2, CANDIDATE_ID = 3 };

struct follower {
	struct raft raft;
	struct out out;
	int64_t now;
};

static void follower_open(struct follower *f)
{
	struct raft_member group[3];

	memset(f, 0, sizeof *f);
	memset(group, 0, sizeof group);
	for (int i = 0; i < 3; i++)
		group[i] = (struct raft_member){ .id = (uint64_t)i + 1, .addr = 101 + (uint64_t)i, .voter = 1 };
	apr_pool_create(&f->out.p, NULL);
	f->out.id = 1;
	f->out.addr = 101;
	f->now = 100000;
	raft_open(&f->raft, 0, 1, 5, NULL, f->now);
	raft_bootstrap(&f->raft, group, 3, f->now, &f->out);
	raft_flush(&f->raft, f->now, &f->out);
	raft_synced(&f->raft, f->raft.seq, f->now, &f->out);
	f->now += 5000;
}

static void follower_close(struct follower *f)
{
	raft_close(&f->raft);
	arrfree(f->out.v);
	apr_pool_destroy(f->out.p);
}

static void hear(struct follower *f, uint64_t from, struct Nl__Msg *m)
{
	m->id = from;
	m->addr = 100 + from;
	out_clear(&f->out);
	assert_null(raft_receive(&f->raft, m, f->now, &f->out));
}

/* The leader's heartbeat of a round, at an entry that the follower holds or lacks. */
static void hear_heartbeat(struct follower *f, uint64_t round, int released, uint64_t prev)
{
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__Append a = NL__APPEND__INIT;

	a.term = TERM;
	a.to = 1;
	a.prev = prev;
	a.prev_term = 1;
	a.round = round;
	a.released = released;
	m.body_case = NL__MSG__BODY_APPEND;
	m.append = &a;
	hear(f, LEADER_ID, &m);
}

/* Whether the follower would vote for a candidate of the next term, which says that the leader of a term has given up. */
static int would_vote(struct follower *f, uint64_t gave_up)
{
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__VoteAsk a = NL__VOTE_ASK__INIT;

	a.term = TERM + 1;
	a.last = 9;
	a.last_term = TERM;
	a.pre = 1;
	a.gave_up = gave_up;
	m.body_case = NL__MSG__BODY_VOTE_ASK;
	m.vote_ask = &a;
	hear(f, CANDIDATE_ID, &m);
	for (ptrdiff_t i = 0; i < arrlen(f->out.v); i++)
		if (f->out.v[i].kind == CMD_SEND && f->out.v[i].u.send.msg->body_case == NL__MSG__BODY_VOTE_REPLY)
			return f->out.v[i].u.send.msg->vote_reply->granted;
	return -1;
}

/* A promise to a leader ends with the word that this very leader, or a later one, has given up. */
static void a_promise_outlives_an_earlier_leader(void **state)
{
	struct follower f;

	(void)state;
	follower_open(&f);
	hear_heartbeat(&f, 1, 0, 1);
	assert_int_equal(would_vote(&f, 0), 0);
	assert_int_equal(would_vote(&f, TERM - 1), 0);
	assert_int_equal(would_vote(&f, TERM), 1);
	follower_close(&f);
}

/* A member that is to stop keeps to the newest round's word, also where it had to refuse that append. */
static void an_older_round_lets_nobody_go(void **state)
{
	struct follower f;

	(void)state;
	follower_open(&f);
	raft_leave(&f.raft, f.now);
	hear_heartbeat(&f, 2, 1, 1);
	assert_true(raft_may_leave(&f.raft, f.now));
	hear_heartbeat(&f, 3, 0, 1);
	assert_false(raft_may_leave(&f.raft, f.now));
	hear_heartbeat(&f, 2, 1, 1);
	assert_false(raft_may_leave(&f.raft, f.now));
	hear_heartbeat(&f, 4, 1, 1);
	assert_true(raft_may_leave(&f.raft, f.now));
	hear_heartbeat(&f, 5, 0, 7); /* of entries that it lacks */
	hear_heartbeat(&f, 4, 1, 1);
	assert_false(raft_may_leave(&f.raft, f.now));
	follower_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_promise_outlives_an_earlier_leader),
		cmocka_unit_test(an_older_round_lets_nobody_go),
		cmocka_unit_test(a_planned_stop_leaves_no_gap),
	};

	if (getenv("NL_TEST"))
		cmocka_set_test_filter(getenv("NL_TEST"));
	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
