/* Operators' orders: the record that recognises repeated ones, and histories of many operators at once, under
 * virtual time, while answers are lost and controllers fall, freeze and are cut off, or are told to stop one
 * after the other. Each history must be linearizable. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "completed_proposals.h"
#include "config_document.h"
#include "containers.h"
#include "linear.h"
#include "idempotency.h"
#include "sim.h"

/* ---- the record ---- */

static struct request_key identity(const char *key, int based, uint64_t base, const char *body)
{
	struct request_key request_key;

	request_key_init(&request_key, key, "/v1/change", based, base, body, strlen(body));
	return request_key;
}

static void keyed_requests_are_identified(void **state)
{
	struct request_key request_key = identity("key", 0, 0, "x"), same = identity("key", 0, 0, "x"),
			   other = identity("key", 0, 0, "y");
	struct request_key plain = identity(NULL, 1, 7, "x"), plain_same = identity("", 1, 7, "x"),
			   rebased = identity(NULL, 1, 8, "x"), free_standing = identity(NULL, 0, 0, "x");
	struct request_key path;
	char key[IDEMPOTENCY_KEY_MAX + 2];

	(void)state;
	assert_true(request_key_equal(&request_key, &same));
	assert_false(request_key_equal(&request_key, &other));
	assert_memory_equal(request_key.key_digest, other.key_digest,
			    REQUEST_DIGEST_BYTES); /* one key: found, and seen to be another */
	assert_true(request_key_equal(&plain, &plain_same));
	assert_false(request_key_equal(&plain, &rebased));
	assert_memory_not_equal(plain.key_digest, rebased.key_digest, REQUEST_DIGEST_BYTES);
	assert_false(free_standing.is_set);
	assert_false(request_key_equal(&free_standing, &free_standing));
	request_key_init(&path, NULL, "/v1/clear", 1, 7, "x", 1);
	assert_memory_not_equal(plain.key_digest, path.key_digest, REQUEST_DIGEST_BYTES);
	assert_true(idempotency_key_is_valid("a") &&
		    idempotency_key_is_valid("\"8e03978e-40d5-43dd-bc93-6894a57f9324\""));
	assert_false(idempotency_key_is_valid("") || idempotency_key_is_valid("a b") ||
		     idempotency_key_is_valid("a\x7f") || idempotency_key_is_valid("\xc3\xa4"));
	memset(key, 'k', sizeof key);
	key[IDEMPOTENCY_KEY_MAX] = 0;
	assert_true(idempotency_key_is_valid(key));
	key[IDEMPOTENCY_KEY_MAX] = 'k';
	key[IDEMPOTENCY_KEY_MAX + 1] = 0;
	assert_false(idempotency_key_is_valid(key));
}

static struct request_key numbered(uint64_t n)
{
	return identity(NULL, 1, n, "x");
}

static void the_record_is_bounded_and_knows_how_far_it_reaches(void **state)
{
	struct idempotency_log orders = { .capacity = 100 }, loaded = { .capacity = 100 };
	struct Nl__ControlState saved = NL__CONTROL_STATE__INIT;
	struct request_key request_key;
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	for (uint64_t base = 0; base < 250; base++) {
		request_key = numbered(base);
		assert_null(idempotency_log_find(&orders, &request_key));
		idempotency_log_add(&orders, &request_key, base % 2 ? SERIES_DOCUMENTS : SERIES_CHANGES,
				    base + 1);
	}
	idempotency_log_pack(&orders, &saved, pool);
	idempotency_log_load(&loaded, &saved);
	for (int round = 0; round < 2; round++) {
		const struct idempotency_log *record = round ? &loaded : &orders;

		assert_int_equal(arrlen(record->records), 100);
		for (uint64_t base = 0; base < 250; base++) {
			request_key = numbered(base);
			if (base < 150) {
				assert_null(idempotency_log_find(record, &request_key));
				assert_true(idempotency_log_may_have_evicted(
				    record, base % 2 ? SERIES_DOCUMENTS : SERIES_CHANGES,
				    base)); /* so it is not refused */
			} else {
				assert_non_null(idempotency_log_find(record, &request_key));
				assert_int_equal(idempotency_log_find(record, &request_key)->version,
						 base + 1);
				assert_false(idempotency_log_may_have_evicted(
				    record, base % 2 ? SERIES_DOCUMENTS : SERIES_CHANGES, base));
			}
		}
	}
	request_key = numbered(300); /* both go on alike */
	idempotency_log_add(&orders, &request_key, SERIES_DOCUMENTS, 301);
	idempotency_log_add(&loaded, &request_key, SERIES_DOCUMENTS, 301);
	request_key = numbered(150);
	assert_null(idempotency_log_find(&orders, &request_key));
	assert_null(idempotency_log_find(&loaded, &request_key));
	assert_int_equal(orders.highest_evicted_versions[SERIES_CHANGES],
			 loaded.highest_evicted_versions[SERIES_CHANGES]);
	idempotency_log_load(&loaded, NULL);
	assert_int_equal(arrlen(loaded.records), 0);
	assert_int_equal(loaded.highest_evicted_versions[SERIES_DOCUMENTS], 0);
	idempotency_log_reset(&orders);
	idempotency_log_reset(&loaded);
	apr_pool_destroy(pool);
}

/* ---- proposals that were applied ---- */

static struct Nl__Operation proposal(uint64_t proposer, uint64_t run, uint64_t token, uint64_t oldest_open)
{
	struct Nl__Operation operation = NL__OPERATION__INIT;

	operation.requester_id = proposer;
	operation.requester_run = run;
	operation.token = token;
	operation.oldest_open_token = oldest_open;
	return operation;
}

static void apply_proposal(struct completed_proposals *completed, struct Nl__Operation operation)
{
	completed_proposals_note_open(completed, &operation);
	completed_proposals_add(completed, &operation, PROPOSAL_APPLIED);
}

static int is_known(const struct completed_proposals *completed, uint64_t proposer, uint64_t run,
		    uint64_t token)
{
	struct Nl__Operation operation = proposal(proposer, run, token, 0);
	enum proposal_status status;

	return completed_proposals_find(completed, &operation, &status);
}

/* However many others are applied meanwhile, a proposal is known while it is open, and a late copy of one
 * that is not open any more is not taken for a new one; what is kept is what is open. A snapshot holds the
 * same. */
static void an_open_proposal_is_known_after_any_number_of_others(void **state)
{
	enum { OTHERS = 5000, OPEN = 50 };
	struct completed_proposals completed = { 0 }, loaded = { 0 };
	struct Nl__ControlState saved = NL__CONTROL_STATE__INIT;
	ptrdiff_t kept;
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	apply_proposal(&completed, proposal(1, 11, 100, 100)); /* its answer is lost */
	for (uint64_t i = 0; i < OTHERS; i++)
		apply_proposal(&completed, proposal(2, 22, 1000 + i, 1000 + (i < OPEN ? 0 : i - OPEN)));
	kept = arrlen(completed.proposals);
	assert_true(kept <= OPEN + 2);
	completed_proposals_pack(&completed, &saved, pool);
	completed_proposals_load(&loaded, &saved);
	for (int round = 0; round < 2; round++) {
		struct completed_proposals *record = round ? &loaded : &completed;

		assert_true(is_known(record, 1, 11, 100));
		assert_true(is_known(record, 2, 22, 1000)); /* not open any more */
		assert_true(is_known(record, 2, 22, 1000 + OTHERS - 1));
		assert_false(is_known(record, 2, 22, 1000 + OTHERS));
		assert_false(is_known(record, 2, 23, 1)); /* of another run, which begins lower */
		assert_false(is_known(record, 3, 22, 1));
		apply_proposal(record, proposal(1, 11, 101, 101)); /* it had its answer */
		assert_true(is_known(record, 1, 11, 100));
		assert_int_equal(arrlen(record->proposals), kept); /* one new, one dropped */
		completed_proposals_reset(record);
	}
	apr_pool_destroy(pool);
}

/* Processes that start again and again, and proposers of earlier versions, which name no run: both are
 * bounded. */
static void the_record_of_proposals_is_bounded(void **state)
{
	struct completed_proposals completed = { 0 }, loaded = { 0 };
	struct Nl__ControlState saved = NL__CONTROL_STATE__INIT;
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	for (uint64_t run = 1; run <= 3 * COMPLETED_MAX_INCARNATIONS; run++) {
		apply_proposal(&completed, proposal(1, run, 1000 - run, 1000 - run));
		apply_proposal(&completed, proposal(9, 0, run, 0));
		assert_true(is_known(&completed, 1, run, 1000 - run) && is_known(&completed, 9, 0, run));
	}
	assert_int_equal(arrlen(completed.incarnations), COMPLETED_MAX_INCARNATIONS);
	assert_int_equal(arrlen(completed.proposals),
			 COMPLETED_MAX_INCARNATIONS + COMPLETED_MAX_WITHOUT_INCARNATION);
	completed_proposals_pack(&completed, &saved, pool);
	completed_proposals_load(&loaded, &saved);
	assert_int_equal(loaded.without_incarnation_count, COMPLETED_MAX_WITHOUT_INCARNATION);
	assert_int_equal(arrlen(loaded.proposals), arrlen(completed.proposals));
	completed_proposals_load(&loaded, NULL);
	assert_int_equal(arrlen(loaded.proposals) + arrlen(loaded.incarnations), 0);
	completed_proposals_reset(&completed);
	apr_pool_destroy(pool);
}

/* What the record adds to each snapshot, once it is full. */
static void a_full_record_is_small(void **state)
{
	struct idempotency_log orders = { 0 };
	struct Nl__ControlState saved = NL__CONTROL_STATE__INIT;
	apr_pool_t *pool;
	size_t bytes;

	(void)state;
	apr_pool_create(&pool, NULL);
	for (uint64_t i = 0; i < 2 * IDEMPOTENCY_MAX_RECORDS; i++) {
		char key[40];
		struct request_key request_key;

		snprintf(key, sizeof key, "operator-%llu", (unsigned long long)i);
		request_key = identity(key, 1, i, "x");
		idempotency_log_add(&orders, &request_key, SERIES_CHANGES, 1000000 + i);
	}
	assert_int_equal(arrlen(orders.records), IDEMPOTENCY_MAX_RECORDS);
	idempotency_log_pack(&orders, &saved, pool);
	bytes = nl__control_state__get_packed_size(&saved);
	print_message("a full record: %zu bytes in a snapshot\n", bytes);
	assert_true(bytes < 400 * 1000);
	idempotency_log_reset(&orders);
	apr_pool_destroy(pool);
}

/* ---- a fleet and its operators ---- */

enum {
	WRITERS = 8,
	READERS = 2,
	COPIES = 2, /* of one order that are under way at once */
	REPLICAS = 3,
	PATIENCE_MS = 1000, /* without an answer, an order is sent again */
	POLL_MS = 5,
	RUN_MS = 25000,
	LONG_RUN_MS = 120000,
	STOPS_RUN_MS = 45000,
	SETTLE_MS = 30000,
	STOP_EVERY_MS = 4000,
	GRACE_MS = 7300,     /* of a planned stop */
	STOP_CALLS_MS = 700, /* in which a controller that is to stop has answered all calls */
	REPEATERS = 2
};

enum interface { DOCUMENTS, TABLE };
enum fault_plan { FAULTS, PLANNED_STOPS };

/* One sending of an order or a reading. */
struct copy {
	uint64_t token;
	int node, hops, lost;
	int64_t sent_at;
};

/* What an operator knows to be, or to have been, in force. */
struct known {
	uint64_t version, value;
};

struct operator
{
	int busy, reads, gives_up;
	struct linear_op op;
	uint64_t base_value; /* what it builds on, as a value */
	char body[400], key[40];
	struct copy copy[COPIES];
	int copies, sendings;
	int64_t retry_at; /* when it is sent next */
	int repeats;      /* an order that was accepted before: its number in accepted, plus one */
};

/* An order that was acknowledged, and what was said. */
struct accepted {
	char body[400], key[40];
	uint64_t base, version;
};

struct world {
	struct sim s;
	enum interface interface;
	enum fault_plan fault;
	int controllers;
	uint64_t rng, values, newest;
	struct operator writer[WRITERS], reader[READERS], repeater[REPEATERS];
	struct linear_op *ops;     /* stb_ds: the history */
	uint64_t *base_value;      /* stb_ds: for each of ops */
	struct known *known;       /* stb_ds: by version */
	struct accepted *accepted; /* stb_ds */
	int64_t fault_at, heal_at;
	int broken;                /* the node in fault; -1: none */
	int64_t stop_requested_at; /* when it was told to stop; 0: it was not, or has ended */
	int64_t *calls_ms;         /* stb_ds: of each planned stop, until no call was open any more */
	uint64_t refused, unknown, resent, repeated, faults, snapshots, reads;
};

static uint64_t random_below(struct world *w, uint64_t n)
{
	return core_random(&w->rng) % n;
}

static void intact(struct world *world)
{
	if (world->s.violation[0])
		fail_msg("%s", world->s.violation);
}

/* Every shard has a leader, and so many replicas that vote and are up. */
static int whole(struct world *world)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		int leader = sim_leader(&world->s, i);
		const struct raft *shard;

		if (leader < 0)
			return 0;
		shard = &world->s.nodes[leader].controller->shards[i];
		if (shard->group.member_count != REPLICAS ||
		    shard->group.members_index > shard->log.commit_index)
			return 0;
		for (int k = 0; k < shard->group.member_count; k++) {
			int up = 0;

			for (int q = 0; q < world->controllers; q++)
				up |= world->s.nodes[q].up && !world->s.nodes[q].frozen &&
				      !world->s.nodes[q].partition &&
				      world->s.nodes[q].id == shard->group.members[k].id;
			if (!up || !shard->group.members[k].voter)
				return 0;
		}
	}
	return 1;
}

static void run_until_complete(struct world *world, int64_t ms)
{
	int64_t end = world->s.now + ms;

	while (!whole(world) && world->s.now < end && sim_run(&world->s, 25, NULL))
		;
	intact(world);
	if (!whole(world))
		fail_msg("seed %llu: not whole after %lld ms", (unsigned long long)world->s.seed,
			 (long long)ms);
}

static void found(struct world *w, uint64_t seed, enum interface interface, enum fault_plan fault)
{
	uint64_t seeds[3];
	char text[32];

	memset(w, 0, sizeof *w);
	w->interface = interface;
	w->fault = fault;
	w->broken = -1;
	w->controllers = 4 + (int)(seed % 2);
	w->rng = seed * 977 + 5;
	sim_open(&w->s, seed);
	w->s.codec = &platform_codec;
	w->s.replica_count = REPLICAS;
	w->s.catch_up_ms = 4000;
	for (int i = 0; i < 3; i++) {
		snprintf(text, sizeof text, "127.0.1.%d:7000", i + 1);
		seeds[i] = core_parse_addr(text);
	}
	for (int i = 0; i < w->controllers; i++) {
		snprintf(text, sizeof text, "z%d", i % 3 + 1);
		sim_add_controller(&w->s, text, seeds, 3);
	}
	controller_bootstrap(w->s.nodes[0].controller, sim_local_clock(&w->s, 0));
	run_until_complete(w, 8000);
}

static void close_world(struct world *world)
{
	arrfree(world->ops);
	arrfree(world->base_value);
	arrfree(world->known);
	arrfree(world->accepted);
	arrfree(world->calls_ms);
	sim_close(&world->s);
}

/* ---- sending ---- */

static int node_at(struct world *world, uint64_t addr)
{
	for (int i = 0; i < world->controllers; i++)
		if (world->s.nodes[i].addr == addr)
			return i;
	return -1;
}

static void send_to(struct world *world, struct operator* o, struct copy *c, int node, int hops)
{
	c->node = node;
	c->hops = hops;
	c->sent_at = world->s.now;
	c->token = 0;
	if (world->stop_requested_at && node == world->broken)
		return; /* its door is shut */
	if (world->interface == DOCUMENTS)
		c->token = sim_send_document(&world->s, node, o->op.base_version, 0,
					     o->reads ? NULL : o->body, NULL);
	else if (o->reads)
		c->token = sim_call(&world->s, node, "GET", "/v1/table", "");
	else
		c->token = sim_call_keyed(&world->s, node, "POST", "/v1/change", o->body, o->key);
}

/* Send the order once, now and then to two controllers at the same moment; some answers will be lost. */
static void send_copies(struct world *world, struct operator* operator)
{
	operator->copies = operator->reads || random_below(world, 6) ? 1 : 2;
	for (int i = 0; i < operator->copies; i++) {
		operator->copy[i].lost = operator->sendings<4 && !random_below(world, 4);
		send_to(world, operator, & operator->copy[i],
			(int)random_below(world, (uint64_t)world->controllers), 0);
	}
	operator->sendings++;
	world->resent += operator->sendings> 1;
}

/* What one copy was answered, if it was: its status, 0 for none yet, -1 if none will be heard of. */
static int hear(struct world *world, struct operator* operator, struct copy * replica,
		const struct sim_operator_answer **answer)
{
	const struct sim_operator_answer *web = *answer =
	    replica->lost ? NULL : sim_answer(&world->s, replica->token);

	if (web && web->status == 307) {
		if (replica->hops < 2 && node_at(world, web->redirect_addr) >= 0) {
			send_to(world, operator, replica, node_at(world, web->redirect_addr),
				replica->hops + 1);
			return 0;
		}
		return -1;
	}
	if (web)
		return web->status >= 500 ? -1 : web->status;
	if (!replica->token)
		return -1;
	return world->s.now - replica->sent_at > PATIENCE_MS ? -1 : 0;
}

static uint64_t number_after(const char *text, const char *name)
{
	const char *at = text ? strstr(text, name) : NULL;

	return at ? strtoull(at + strlen(name), NULL, 10) : 0;
}

/* What a reading returned: the version and the content. */
static void take_reading(struct world *world, struct operator* operator,
			 const struct sim_operator_answer * web, int status)
{
	const char *text = web->full_body ? web->full_body : "";

	operator->op.outcome = LINEAR_OK;
	if (world->interface == DOCUMENTS) {
		if (status != 200)
			return; /* none was taken yet: version 0 */
		operator->op.version = number_after(text, "\"ConfigVersion\":");
		operator->op.value = number_after(text, "\"OrderNumber\":");
		return;
	}
	operator->op.value = number_after(text, "\"limit\":");
	operator->op.version = operator->op.value ? number_after(text, "\"plan\":") : 0;
}

static void remember(struct world *world, const struct operator* operator)
{
	struct accepted accepted;

	memset(&accepted, 0, sizeof accepted);
	memcpy(accepted.body, operator->body, sizeof accepted.body);
	memcpy(accepted.key, operator->key, sizeof accepted.key);
	accepted.base = operator->op.base_version;
	accepted.version = operator->op.version;
	arrput(world->accepted, accepted);
	if (accepted.version > world->newest)
		world->newest = accepted.version;
}

/* An order that was accepted before is sent again: it must be acknowledged, with the same version. */
static void take_repetition(struct world *world, struct operator* operator,
			    const struct sim_operator_answer * web, int status)
{
	const struct accepted *first = &world->accepted[operator->repeats - 1];

	if (status != 200)
		fail_msg(
		    "seed %llu: version %llu on %llu was acknowledged; sent again after %td more, it is refused with %d: %s",
		    (unsigned long long)world->s.seed, (unsigned long long)first->version,
		    (unsigned long long)first->base, arrlen(world->accepted) - operator->repeats, status,
		    web->body);
	if (world->interface == TABLE && number_after(web->body, "\"edition\":") != first->version)
		fail_msg("seed %llu: acknowledged as %llu first, then %s", (unsigned long long)world->s.seed,
			 (unsigned long long)first->version, web->body);
	world->repeated++;
	operator->busy = 0;
}

/* Operators tell each other what they learn. */
static void learn(struct world *world, const struct linear_op *operation)
{
	struct known known = { operation->version, operation->value };
	ptrdiff_t at = arrlen(world->known);

	while (at > 0 && world->known[at - 1].version > known.version)
		at--;
	if (at == 0 || world->known[at - 1].version != known.version)
		arrins(world->known, at, known);
}

static void note(struct world *w, const struct operator* operator)
{
	arrput(w->ops, operator->op);
	arrput(w->base_value, operator->base_value);
}

/* The operator has a clear answer. */
static void conclude(struct world *world, struct operator* operator, const struct sim_operator_answer * web,
		     int status)
{
	operator->op.returned_at = world->s.now;
	operator->busy = 0;
	if (operator->reads) {
		if (status != 200 && status != 404)
			fail_msg("seed %llu: a reading is answered with %d",
				 (unsigned long long)world->s.seed, status);
		take_reading(world, operator, web, status);
		learn(world, &operator->op);
		world->reads++;
	} else if (status == 200) {
		operator->op.outcome = LINEAR_OK;
		if (world->interface == TABLE)
			operator->op.version = number_after(web->body, "\"edition\":");
		learn(world, &operator->op);
		remember(world, operator);
	} else {
		if (status != (world->interface == TABLE ? 409 : 412))
			fail_msg("seed %llu: status %d for a valid order: %s",
				 (unsigned long long)world->s.seed, status, web->body);
		operator->op.outcome = LINEAR_REFUSED;
		world->refused++;
	}
	note(world, operator);
}

/* The copies of one order must not be answered unlike. */
static void compare_copies(struct world *world, struct operator* operator, int status)
{
	for (int i = 0; i < operator->copies; i++) {
		const struct sim_operator_answer *web = sim_answer(&world->s, operator->copy[i].token);

		if (web && web->status < 500 && web->status != 307 && web->status != status)
			fail_msg("seed %llu: copies of one order are answered with %d and %d",
				 (unsigned long long)world->s.seed, status, web->status);
	}
}

/* Some hang up, others just hear nothing more. */
static void leave_calls(struct world *world, struct operator* operator)
{
	for (int i = 0; i < operator->copies; i++)
		if (random_below(world, 2) && operator->copy[i].token && !sim_answer(
						  &world->s, operator->copy[i].token))
			sim_operator_disconnect(&world->s, operator->copy[i].node, operator->copy[i].token);
	operator->copies = 0;
}

/* One look at an operator. */
static void attend(struct world *world, struct operator* operator)
{
	int waiting = 0;

	if (!operator->busy)
		return;
	for (int i = 0; i < operator->copies; i++) {
		const struct sim_operator_answer *web;
		int status = hear(world, operator, & operator->copy[i], &web);

		waiting += !status;
		if (status <= 0)
			continue;
		if (!operator->reads)
			compare_copies(world, operator, status);
		if (operator->repeats)
			take_repetition(world, operator, web, status);
		else
			conclude(world, operator, web, status);
		return;
	}
	if (waiting)
		return;
	if (operator->copies) { /* none will be answered: again, elsewhere, a little later */
		leave_calls(world, operator);
		operator->retry_at = world->s.now + 20 +(int64_t) random_below(world, 200);
	}
	if (operator->gives_up && operator->sendings) {
		operator->op.outcome = LINEAR_UNKNOWN;
		if (world->interface == TABLE)
			operator->op.version = LINEAR_ANY;
		note(world, operator);
		world->unknown++;
		operator->busy = 0;
	} else if (world->s.now >= operator->retry_at) {
		send_copies(world, operator);
	}
}

/* ---- what operators want ---- */

static void begin(struct world *w, struct operator* operator, int reads)
{
	memset(operator, 0, sizeof *operator);
	operator->busy = 1;
	operator->reads = reads;
	operator->op.kind = reads ? LINEAR_READ : LINEAR_WRITE;
	operator->op.called_at = operator->retry_at = w->s.now;
}

/* The newest that is known, or now and then something older. */
static void choose_base(struct world *world, struct operator* operator)
{
	ptrdiff_t n = arrlen(world->known);
	struct known base = { 0, 0 };

	if (n)
		base =
		    world->known[random_below(world, 10) ? (size_t)n - 1 : random_below(world, (uint64_t)n)];
	operator->op.base_version = base.version;
	operator->base_value = base.value;
}

/* A document on the newest version that is known, or now and then on an older one; several may choose the
 * same number. */
static void write_document(struct world *world, struct operator* operator)
{
	choose_base(world, operator);
	operator->op.version = operator->op.base_version + 1 + random_below(world, 2);
	snprintf(
	    operator->body, sizeof operator->body,
	    "{\"ConfigVersion\":%llu,\"RouteList\":[],\"ServiceList\":[],\"TenantList\":[],\"OrderNumber\":%llu}",
	    (unsigned long long)operator->op.version, (unsigned long long)operator->op.value);
}

/* A change of one cell: on the newest version known, and now and then on whatever is in force, then with a
 * key. */
static void write_row(struct world *world, struct operator* operator)
{
	int anywhere = !random_below(world, 6);
	char expect[40] = "";

	choose_base(world, operator);
	if (anywhere)
		operator->op.base_version = LINEAR_ANY;
	operator->op.version = LINEAR_ANY;
	if (!anywhere)
		snprintf(expect, sizeof expect, "\"expect\":%llu,",
			 (unsigned long long)operator->op.base_version);
	if (anywhere || random_below(world, 2))
		snprintf(operator->key, sizeof operator->key, "operator-%llu",
			 (unsigned long long)operator->op.value);
	snprintf(operator->body, sizeof operator->body,
		 "{%s\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":1,\"limit\":%llu}]}", expect,
		 (unsigned long long)operator->op.value);
}

static void begin_request(struct world *world, struct operator* operator)
{
	begin(world, operator, 0);
	operator->op.value = ++ world->values;
	operator->gives_up = !random_below(world, 40);
	if (world->interface == DOCUMENTS)
		write_document(world, operator);
	else
		write_row(world, operator);
}

static void begin_repetition(struct world *world, struct operator* operator)
{
	size_t n = (size_t)arrlen(world->accepted),
	       at = random_below(world, 2) ? random_below(world, n)
					   : random_below(world, n / 4 + 1); /* rather an old one */

	begin(world, operator, 0);
	operator->repeats =(int) at + 1;
	operator->op.base_version = world->accepted[at].base;
	memcpy(operator->body, world->accepted[at].body, sizeof operator->body);
	memcpy(operator->key, world->accepted[at].key, sizeof operator->key);
}

/* ---- fault ---- */

static void snapshot_somewhere(struct world *world)
{
	int node = (int)random_below(world, (uint64_t)world->controllers);

	if (!world->s.nodes[node].up)
		return;
	world->s.nodes[node].controller->shards[SHARD_CONTROL].log.applied_bytes =
	    2 * RAFT_SNAPSHOT_LOG_BYTES; /* as after large documents */
	world->snapshots++;
}

static void break_something(struct world *world)
{
	int leader = sim_leader(&world->s, SHARD_CONTROL),
	    node = leader >= 0 && random_below(world, 3)
		       ? leader
		       : (int)random_below(world, (uint64_t)world->controllers);

	world->broken = node;
	world->faults++;
	world->heal_at = world->s.now + 200 + (int64_t)random_below(world, 3000);
	switch (random_below(world, 6)) {
	case 0:
		sim_crash(&world->s, node, 0);
		break;
	case 1:
		sim_crash(&world->s, node, 1);
		break;
	case 2:
		sim_set_partition(&world->s, node, 1);
		break;
	case 3:
		sim_freeze(&world->s, node, 1);
		break;
	case 4:
		world->s.nodes[node].disk_stalled_until = world->heal_at;
		break;
	default: /* it speaks, and hears nothing; or the other way round */
		for (int i = 0, deaf = (int)random_below(world, 2); i < world->controllers; i++)
			world->s.link_cut[deaf ? i : node][deaf ? node : i] = i != node;
	}
}

static void heal(struct world *world)
{
	if (!world->s.nodes[world->broken].up)
		sim_start(&world->s, world->broken);
	sim_freeze(&world->s, world->broken, 0);
	sim_set_partition(&world->s, world->broken, 0);
	memset(world->s.link_cut, 0, sizeof world->s.link_cut);
	world->broken = -1;
	world->fault_at = INT64_MAX; /* the next once all is whole */
}

/* ---- planned stops ---- */

/* As a program that got SIGTERM: it ends once nothing needs it and all its calls are answered, and at the
 * latest when the grace is over; no call may be open by then. Some go for good, and an empty machine takes
 * the address. */
static void end_planned_stop(struct world *world)
{
	struct controller *controller = world->s.nodes[world->broken].controller;
	uint64_t open = operator_calls_open_count(controller);
	int64_t took = world->s.now - world->stop_requested_at;

	if (open && took > STOP_CALLS_MS)
		fail_msg("seed %llu: %llu calls are open %lld ms after the stop",
			 (unsigned long long)world->s.seed, (unsigned long long)open, (long long)took);
	if (!open && world->calls_ms && arrlast(world->calls_ms) < 0)
		arrlast(world->calls_ms) = took;
	if ((open || !controller_may_stop(controller, sim_local_clock(&world->s, world->broken))) &&
	    took < GRACE_MS)
		return;
	sim_crash(&world->s, world->broken, (int)random_below(world, 2));
	world->stop_requested_at = 0;
	world->heal_at = world->s.now + 100 + (int64_t)random_below(world, 1500);
}

static void begin_planned_stop(struct world *world)
{
	int leader = sim_leader(&world->s, SHARD_CONTROL);

	world->broken = leader >= 0 && random_below(world, 5)
			    ? leader
			    : (int)random_below(world, (uint64_t)world->controllers);
	world->stop_requested_at = world->s.now;
	world->heal_at = INT64_MAX;
	world->fault_at = world->s.now + STOP_EVERY_MS;
	world->faults++;
	arrput(world->calls_ms, -1);
	sim_stop(&world->s, world->broken);
}

static void planned_stops(struct world *world, int64_t end)
{
	if (world->stop_requested_at)
		end_planned_stop(world);
	if (world->broken >= 0 && world->s.now >= world->heal_at) {
		sim_start(&world->s, world->broken);
		world->broken = -1;
	}
	if (world->broken < 0 && world->s.now >= world->fault_at && world->s.now < end && whole(world))
		begin_planned_stop(world);
	if (!random_below(world, 200))
		snapshot_somewhere(world);
}

static void step_faults(struct world *world, int64_t end)
{
	if (world->fault == PLANNED_STOPS) {
		planned_stops(world, end);
		return;
	}
	if (world->broken >= 0 && world->s.now >= world->heal_at)
		heal(world);
	if (world->fault_at == INT64_MAX && whole(world))
		world->fault_at = world->s.now + 200 + (int64_t)random_below(world, 1500);
	if (world->broken < 0 && world->s.now >= world->fault_at && world->s.now < end)
		break_something(world);
	if (!random_below(world, 200))
		snapshot_somewhere(world);
}

/* ---- a run, and its judgement ---- */

static int idle(const struct world *world)
{
	for (int i = 0; i < WRITERS; i++)
		if (world->writer[i].busy)
			return 0;
	for (int i = 0; i < READERS; i++)
		if (world->reader[i].busy)
			return 0;
	return !world->repeater[0].busy && !world->repeater[1].busy;
}

static void observe(struct world *world, int more)
{
	for (int i = 0; i < WRITERS; i++) {
		attend(world, &world->writer[i]);
		if (more && !world->writer[i].busy && !random_below(world, 3))
			begin_request(world, &world->writer[i]);
	}
	for (int i = 0; i < READERS; i++) {
		attend(world, &world->reader[i]);
		if (more && !world->reader[i].busy && !random_below(world, 8))
			begin(world, &world->reader[i], 1);
	}
	for (int i = 0; i < REPEATERS; i++) {
		attend(world, &world->repeater[i]);
		if (more && !world->repeater[i].busy && arrlen(world->accepted) && !random_below(world, 8))
			begin_repetition(world, &world->repeater[i]);
	}
}

static void operate(struct world *world, int64_t run_ms)
{
	int64_t end = world->s.now + run_ms;

	world->s.loss_per_mille = world->s.seed % 3 == 0 ? 20 : 0;
	world->s.disk_ms = world->s.seed % 4 == 1 ? 30 : 2;
	world->fault_at = world->s.now + 500;
	while (world->s.now < end || !idle(world)) {
		if (world->s.now > end + SETTLE_MS)
			fail_msg("seed %llu: an order finds no end", (unsigned long long)world->s.seed);
		if (!sim_run(&world->s, POLL_MS, NULL))
			break;
		step_faults(world, end);
		observe(world, world->s.now < end);
	}
	intact(world);
	while (world->stop_requested_at && sim_run(&world->s, POLL_MS, NULL))
		end_planned_stop(world);
	if (world->broken >= 0)
		heal(world);
	world->s.loss_per_mille = 0;
	run_until_complete(world, 20000);
}

/* Read at the leader, once all is calm. */
static void read_back(struct world *world)
{
	struct operator* operator= & world->reader[0];

	begin(world, operator, 1);
	while (operator->busy) {
		attend(world, operator);
		if (world->s.now > operator->op.called_at + SETTLE_MS || !sim_run(&world->s, POLL_MS, NULL))
			fail_msg("seed %llu: nothing is read back", (unsigned long long)world->s.seed);
	}
	if (operator->op.version<world->newest)
		fail_msg("seed %llu: version %llu is read back after %llu was acknowledged",
			 (unsigned long long)world->s.seed, (unsigned long long)operator->op.version,
			 (unsigned long long)world->newest);
}

/* All that was ever acknowledged is acknowledged again. */
static void repeat_all(struct world *world)
{
	for (size_t i = 0; i < (size_t)arrlen(world->accepted); i++) {
		struct operator* operator= & world->repeater[0];

		begin_repetition(world, operator);
		operator->repeats =(int) i + 1;
		operator->op.base_version = world->accepted[i].base;
		memcpy(operator->body, world->accepted[i].body, sizeof operator->body);
		memcpy(operator->key, world->accepted[i].key, sizeof operator->key);
		operator->sendings = 4; /* none of these answers is lost */
		while (operator->busy) {
			attend(world, operator);
			if (world->s.now > operator->op.called_at + SETTLE_MS || !sim_run(&world->s, 1, NULL))
				fail_msg("seed %llu: no answer to a repeated order",
					 (unsigned long long)world->s.seed);
		}
	}
}

/* The version of the table under which a value came into force: that its order was told, else the lowest
 * under which it was read. Other rows raise the table's version too, and a reading may show any from there up
 * to the next change. */
static uint64_t table_version(const struct world *world, uint64_t value)
{
	uint64_t version = value ? LINEAR_ANY : 0;

	for (ptrdiff_t i = 0; i < arrlen(world->ops); i++)
		if (world->ops[i].value == value && world->ops[i].outcome == LINEAR_OK &&
		    world->ops[i].version < version)
			version = world->ops[i].version;
	return version;
}

static void settle_table_versions(struct world *world)
{
	uint64_t *version = calloc(world->values + 1, sizeof *version);

	for (uint64_t value = 0; value <= world->values; value++)
		version[value] = table_version(world, value);
	for (ptrdiff_t i = 0; i < arrlen(world->ops); i++) {
		world->ops[i].version = version[world->ops[i].value];
		if (world->ops[i].base_version != LINEAR_ANY)
			world->ops[i].base_version = version[world->base_value[i]];
	}
	free(version);
}

/* Said apart from the checker's verdict, since it is the fault that operators report. */
static void one_winner_for_each_base(struct world *world)
{
	for (ptrdiff_t i = 0; i < arrlen(world->ops); i++)
		for (ptrdiff_t k = 0; k < i; k++) {
			const struct linear_op *a = &world->ops[i], *b = &world->ops[k];

			if (a->kind == LINEAR_WRITE && b->kind == LINEAR_WRITE && a->outcome == LINEAR_OK &&
			    b->outcome == LINEAR_OK &&
			    ((a->base_version == b->base_version && a->base_version != LINEAR_ANY) ||
			     a->version == b->version))
				fail_msg(
				    "seed %llu: two orders on version %llu are acknowledged as %llu and %llu",
				    (unsigned long long)world->s.seed, (unsigned long long)a->base_version,
				    (unsigned long long)b->version, (unsigned long long)a->version);
		}
}

static void check_world(struct world *world)
{
	char why[400];

	one_winner_for_each_base(world);
	if (world->interface == TABLE)
		settle_table_versions(world);
	if (linear_check(world->ops, (size_t)arrlen(world->ops), why, sizeof why) != LINEAR_SATISFIED) {
		if (getenv("NL_HISTORY"))
			for (ptrdiff_t i = 0; i < arrlen(world->ops); i++) {
				char text[200];

				linear_print(&world->ops[i], text, sizeof text);
				print_message("%s\n", text);
			}
		fail_msg("seed %llu: %s", (unsigned long long)world->s.seed, why);
	}
}

/* All replicas that have applied as much hold the same record. */
static void replicas_agree(struct world *world)
{
	int leader = sim_leader(&world->s, SHARD_CONTROL);
	size_t n, m;
	apr_pool_t *pool;
	uint8_t *a;

	apr_pool_create(&pool, NULL);
	a = snapshot_pack_state(world->s.nodes[leader].controller, SHARD_CONTROL, pool, &n);
	for (int i = 0; i < world->controllers; i++) {
		const struct raft *shard = &world->s.nodes[i].controller->shards[SHARD_CONTROL];
		uint8_t *b;

		if (!world->s.nodes[i].up ||
		    shard->log.applied_index !=
			world->s.nodes[leader].controller->shards[SHARD_CONTROL].log.applied_index ||
		    !shard->group.member_count)
			continue;
		b = snapshot_pack_state(world->s.nodes[i].controller, SHARD_CONTROL, pool, &m);
		assert_int_equal(n, m);
		assert_memory_equal(a, b, n);
	}
	apr_pool_destroy(pool);
}

static int compare_times(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void print_stops(int64_t *ms)
{
	ptrdiff_t n = arrlen(ms);

	if (!ms || !n)
		return;
	qsort(ms, (size_t)n, sizeof *ms, compare_times);
	print_message(
	    "%td planned stops: all calls answered after %lld ms in the median, p99 %lld, most %lld\n", n,
	    (long long)ms[n / 2], (long long)ms[(n - 1) * 99 / 100], (long long)ms[n - 1]);
}

static void operators_at_once(enum interface interface, enum fault_plan fault, const char *name,
			      uint64_t seeds_wanted, int64_t run_ms)
{
	uint64_t seeds = getenv("NL_SEEDS") ? strtoull(getenv("NL_SEEDS"), NULL, 10) : seeds_wanted,
		 first = getenv("NL_SEED") ? strtoull(getenv("NL_SEED"), NULL, 10) : 1;
	uint64_t orders = 0, accepted = 0, refused = 0, unknown = 0, reads = 0, resent = 0, repeated = 0,
		 faults = 0, snapshots = 0;
	int64_t *calls_ms = NULL;
	static struct world world;

	for (uint64_t seed = first; seed < first + seeds; seed++) {
		found(&world, seed, interface, fault);
		operate(&world, run_ms);
		read_back(&world);
		check_world(&world);
		repeat_all(&world);
		read_back(&world); /* repeated orders changed nothing */
		check_world(&world);
		replicas_agree(&world);
		intact(&world);
		orders += world.values;
		accepted += (uint64_t)arrlen(world.accepted);
		refused += world.refused;
		unknown += world.unknown;
		reads += world.reads;
		resent += world.resent;
		repeated += world.repeated;
		faults += world.faults;
		snapshots += world.snapshots;
		for (ptrdiff_t i = 0; i < arrlen(world.calls_ms); i++)
			arrput(calls_ms, world.calls_ms[i]);
		close_world(&world);
	}
	print_message(
	    "%s, %llu seeds: %llu orders: %llu accepted, %llu refused, %llu unknown; %llu readings; sent again without an answer %llu times, after an acknowledgement %llu; "
	    "%llu troubles, %llu snapshots\n",
	    name, (unsigned long long)seeds, (unsigned long long)orders, (unsigned long long)accepted,
	    (unsigned long long)refused, (unsigned long long)unknown, (unsigned long long)reads,
	    (unsigned long long)resent, (unsigned long long)repeated, (unsigned long long)faults,
	    (unsigned long long)snapshots);
	print_stops(calls_ms);
	arrfree(calls_ms);
	assert_true(accepted > 20 * seeds && refused > 20 * seeds && resent > 20 * seeds &&
		    repeated > 20 * seeds && faults > seeds);
}

static void documents_of_many_operators(void **state)
{
	(void)state;
	operators_at_once(DOCUMENTS, FAULTS, "documents", 30, RUN_MS);
}

static void changes_of_many_operators(void **state)
{
	(void)state;
	operators_at_once(TABLE, FAULTS, "changes", 30, RUN_MS);
}

/* Long enough for many hundred accepted orders between an order and its repetition. */
static void many_hundred_requests(void **state)
{
	(void)state;
	operators_at_once(DOCUMENTS, FAULTS, "documents, long", 4, LONG_RUN_MS);
	operators_at_once(TABLE, FAULTS, "changes, long", 4, LONG_RUN_MS);
}

/* Hundreds of changes while the leader is told to stop every 4 s and comes back with its disk or as an empty
 * machine. */
static void requests_through_planned_stops(void **state)
{
	(void)state;
	operators_at_once(DOCUMENTS, PLANNED_STOPS, "documents, planned stops", 6, STOPS_RUN_MS);
	operators_at_once(TABLE, PLANNED_STOPS, "changes, planned stops", 6, STOPS_RUN_MS);
}

/* ---- single cases ---- */

/* Make a call as one operator does, wherever it is answered; its status. */
static int call(struct world *world, const char *path, const char *body, const char *key,
		const struct sim_operator_answer **answer)
{
	int64_t end = world->s.now + SETTLE_MS;

	while (world->s.now < end) {
		int node = (int)random_below(world, (uint64_t)world->controllers);
		uint64_t token =
		    world->s.nodes[node].up ? sim_call_keyed(&world->s, node, "POST", path, body, key) : 0;
		int64_t sent = world->s.now;

		for (int hops = 0;
		     token && world->s.now - sent < 6000 && sim_run(&world->s, POLL_MS, NULL);) {
			const struct sim_operator_answer *web = sim_answer(&world->s, token);

			if (web && web->status == 307 && hops++ < 2) {
				node = node_at(world, web->redirect_addr);
				token =
				    node >= 0 ? sim_call_keyed(&world->s, node, "POST", path, body, key) : 0;
			} else if (web && web->status < 500 && web->status != 307) {
				*answer = web;
				return web->status;
			} else if (web) {
				break;
			}
		}
		sim_run(&world->s, 50, NULL);
	}
	fail_msg("seed %llu: no clear answer to %s", (unsigned long long)world->s.seed, body);
	return 0;
}

/* Another leader, without the one that leads now; it comes back without its disk. */
static void replace_leader(struct world *world)
{
	int leader = sim_leader(&world->s, SHARD_CONTROL);

	sim_crash(&world->s, leader, 1);
	sim_run(&world->s, 3000, NULL);
	sim_start(&world->s, leader);
	run_until_complete(world, 15000);
}

static uint64_t edition(const struct sim_operator_answer *web)
{
	return number_after(web->body, "\"edition\":");
}

static const char tenant_change[] =
    "{\"expect\":0,\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":1}]}";
static const char other_change[] =
    "{\"expect\":0,\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":2}]}";
static const char unconditional[] = "{\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":3}]}";

static const char service_change[] =
    "{\"set\":[{\"kind\":\"service\",\"name\":\"s\",\"weights\":\"w\",\"prefill\":20,\"kv_bytes\":400,\"link\":1000}]}";
static const char removal[] = "{\"del\":[{\"kind\":\"service\",\"name\":\"s\"}]}";

static void a_change_sent_again_is_acknowledged_again(void **state)
{
	static struct world world;
	const struct sim_operator_answer *web;
	uint64_t first, keyed, later;

	(void)state;
	found(&world, 4, TABLE, FAULTS);
	sim_run(&world.s, 3000, NULL);
	assert_int_equal(call(&world, "/v1/change", tenant_change, "", &web), 200);
	first = edition(web);
	assert_int_equal(call(&world, "/v1/change", tenant_change, "", &web),
			 200); /* was: 409, revision overtaken */
	assert_int_equal(edition(web), first);
	assert_int_equal(call(&world, "/v1/change", other_change, "", &web), 409);
	/* without a base it is recognised by its key alone */
	assert_int_equal(call(&world, "/v1/change", unconditional, "key-1", &web), 200);
	keyed = edition(web);
	assert_true(keyed > first);
	assert_int_equal(call(&world, "/v1/change", unconditional, "key-1", &web), 200);
	assert_int_equal(edition(web), keyed);
	assert_int_equal(call(&world, "/v1/change", unconditional, "key-2", &web), 200);
	later = edition(web);
	assert_true(later > keyed);
	assert_int_equal(call(&world, "/v1/change", unconditional, "", &web), 200);
	assert_true(edition(web) > later);
	later = edition(web);
	assert_int_equal(call(&world, "/v1/change", unconditional, "", &web), 200);
	assert_true(edition(web) > later);
	/* a key is of one order */
	assert_int_equal(call(&world, "/v1/change", other_change, "key-1", &web), 422);
	assert_int_equal(call(&world, "/v1/clear", "{\"scope\":\"*\"}", "key-1", &web), 422);
	assert_int_equal(call(&world, "/v1/change", unconditional, "not a key", &web), 400);
	/* a refused order may use its key again */
	assert_int_equal(call(&world, "/v1/change", removal, "key-3", &web), 400);
	assert_int_equal(call(&world, "/v1/change", service_change, "key-4", &web), 200);
	assert_int_equal(call(&world, "/v1/change", removal, "key-3", &web), 200);
	/* what was accepted stays so, even if it would be invalid now */
	for (int i = 0; i < 4; i++) {
		assert_int_equal(call(&world, "/v1/change", removal, "key-3", &web), 200);
		assert_int_equal(call(&world, "/v1/change", tenant_change, "", &web), 200);
		assert_int_equal(edition(web), first);
		assert_int_equal(call(&world, "/v1/change", unconditional, "key-1", &web), 200);
		assert_int_equal(edition(web), keyed);
		assert_int_equal(call(&world, "/v1/change", other_change, "key-1", &web), 422);
		replace_leader(&world);
	}
	intact(&world);
	close_world(&world);
}

/* A change without a key of its own, whose answer was lost, is proposed again after hundreds of others were
 * applied: it must not take effect a second time, over what was accepted since. */
static void a_change_proposed_again_after_hundreds_is_applied_once(void **state)
{
	enum { OTHERS = 400, OTHERS_MS = 300 };
	static const char newer[] = "{\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":9}]}";
	static struct world world;

	(void)state;
	for (uint64_t seed = 1; seed <= 10; seed++) {
		const struct Nl__Row *row;
		int leader, submitted;
		uint64_t token;
		char body[200];

		found(&world, seed, TABLE, FAULTS);
		sim_run(&world.s, 3000, NULL);
		leader = sim_leader(&world.s, SHARD_CONTROL);
		submitted = (leader + 1) % world.controllers;
		world.s.link_cut[leader][submitted] = 1; /* the answer is lost */
		token = sim_call(&world.s, submitted, "POST", "/v1/change", unconditional);
		sim_run(&world.s, 30, NULL);
		for (int i = 0; i < OTHERS; i++) {
			snprintf(body, sizeof body,
				 "{\"set\":[{\"kind\":\"tenant\",\"name\":\"o%d\",\"share\":1}]}", i);
			sim_call(&world.s, leader, "POST", "/v1/change", body);
		}
		assert_int_equal(sim_call_and_wait(&world.s, leader, "POST", "/v1/change", newer, OTHERS_MS),
				 200);
		assert_true(sim_run(&world.s, 600, NULL)); /* a copy comes after 400 ms */
		row =
		    config_table_get(&world.s.nodes[leader].controller->config.table, NL__KIND__TENANT, "t");
		assert_non_null(row);
		if (row->share != 9)
			fail_msg("seed %llu: applied twice, over a newer change", (unsigned long long)seed);
		world.s.link_cut[leader][submitted] = 0;
		sim_run(&world.s, 6000, NULL);
		assert_non_null(sim_answer(&world.s, token));
		assert_true(sim_answer(&world.s, token)->status == 200 ||
			    sim_answer(&world.s, token)->status >= 500);
		intact(&world);
		close_world(&world);
	}
}

/* Two orders under one key, sent at one moment: the log's order decides which of them it is. */
static void of_two_requests_under_one_key_one_is_accepted(void **state)
{
	static struct world world;

	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		uint64_t token[2];
		int status[2] = { 0, 0 };

		found(&world, seed, TABLE, FAULTS);
		world.s.disk_ms = 20;
		for (int i = 0; i < 2; i++) {
			char body[200];

			snprintf(body, sizeof body,
				 "{\"set\":[{\"kind\":\"tenant\",\"name\":\"t%d\",\"share\":1}]}", i);
			token[i] = sim_call_keyed(&world.s, sim_leader(&world.s, SHARD_CONTROL), "POST",
						  "/v1/change", body, "one-key");
		}
		sim_run(&world.s, 3000, NULL);
		for (int i = 0; i < 2; i++)
			status[i] =
			    sim_answer(&world.s, token[i]) ? sim_answer(&world.s, token[i])->status : 0;
		if (status[0] + status[1] != 200 + 422)
			fail_msg("seed %llu: %d and %d", (unsigned long long)seed, status[0], status[1]);
		for (int i = 0; i < 2; i++) {
			char name[4] = { 't', (char)('0' + i), 0 };

			assert_int_equal(
			    status[i] == 200,
			    config_table_get(
				&world.s.nodes[sim_leader(&world.s, SHARD_CONTROL)].controller->config.table,
				NL__KIND__TENANT, name) != NULL);
		}
		intact(&world);
		close_world(&world);
	}
}

/* A refusal that was on its way for long, as it reaches the controller that asked. */
static void deliver_refusal(struct world *world, int from, int to, uint64_t token)
{
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__ProposeReply refusal = NL__PROPOSE_REPLY__INIT;
	struct sim_event event = { .at = world->s.now, .kind = SIM_MSG, .node = to };

	refusal.token = token;
	refusal.status = PROPOSAL_REJECTED;
	refusal.reason = (char *)"del service s: no such row";
	message.protocol_version = CORE_PROTOCOL_VERSION;
	message.id = world->s.nodes[from].id;
	message.addr = world->s.nodes[from].addr;
	message.fleet_id = world->s.nodes[to].controller->identity.fleet_id;
	message.body_case = NL__MSG__BODY_PROPOSE_REPLY;
	message.propose_reply = &refusal;
	event.data_len = nl__msg__get_packed_size(&message);
	event.data = malloc(event.data_len + 1);
	nl__msg__pack(&message, event.data);
	sim_push(&world->s, event);
}

/* A controller passes an order on twice, since no answer comes. The leader refuses the first copy and, after
 * another change, accepts the second: the refusal, which arrives last, must not be said. */
static void a_refused_copy_does_not_decide_for_the_others(void **state)
{
	static struct world world;
	uint64_t token;
	int leader, submitted;

	(void)state;
	found(&world, 6, TABLE, FAULTS);
	sim_run(&world.s, 3000, NULL);
	leader = sim_leader(&world.s, SHARD_CONTROL);
	submitted = (leader + 1) % world.controllers;
	world.s.link_cut[leader][submitted] = 1;
	token = sim_call(&world.s, submitted, "POST", "/v1/change", removal);
	sim_run(&world.s, 50, NULL);
	assert_int_equal(sim_call_and_wait(&world.s, leader, "POST", "/v1/change", service_change, 300), 200);
	sim_run(&world.s, 500, NULL);
	assert_null(config_table_get(&world.s.nodes[leader].controller->config.table, NL__KIND__SERVICE,
				     "s")); /* the second copy was accepted */
	assert_int_equal(arrlen(world.s.nodes[submitted].controller->proposals.own_proposals), 1);
	deliver_refusal(&world, leader, submitted,
			world.s.nodes[submitted].controller->proposals.own_proposals[0].token);
	sim_run(&world.s, 100, NULL);
	if (sim_answer(&world.s, token) && sim_answer(&world.s, token)->status < 500)
		fail_msg("answered with %d", sim_answer(&world.s, token)->status);
	world.s.link_cut[leader][submitted] = 0;
	sim_run(&world.s, 6000, NULL);
	assert_non_null(sim_answer(&world.s, token));
	assert_true(sim_answer(&world.s, token)->status == 200 || sim_answer(&world.s, token)->status >= 500);
	intact(&world);
	close_world(&world);
}

/* Purging has no base: with a key it is decided once. */
static void a_purge_with_a_key_is_decided_once(void **state)
{
	static struct world world;

	(void)state;
	for (uint64_t seed = 1; seed <= 8; seed++) {
		const struct sim_operator_answer *web;

		found(&world, seed, TABLE, FAULTS);
		for (int i = 0; i < 4; i++) {
			assert_int_equal(
			    call(&world, "/v1/clear", "{\"scope\":\"*\",\"by\":\"one\"}", "clear-1", &web),
			    200);
			if (i == 1)
				replace_leader(&world);
		}
		assert_int_equal(world.s.nodes[sim_leader(&world.s, SHARD_CONTROL)]
				     .controller->retention.last_purge_number,
				 1);
		assert_int_equal(
		    call(&world, "/v1/clear", "{\"scope\":\"*\",\"by\":\"two\"}", "clear-1", &web), 422);
		assert_int_equal(
		    call(&world, "/v1/clear", "{\"scope\":\"*\",\"by\":\"two\"}", "clear-2", &web), 200);
		assert_int_equal(world.s.nodes[sim_leader(&world.s, SHARD_CONTROL)]
				     .controller->retention.last_purge_number,
				 2);
		intact(&world);
		close_world(&world);
	}
}

/* Behind the record's end an order is neither acknowledged nor refused. */
static void beyond_the_record_the_outcome_is_unknown(void **state)
{
	static struct world world;
	const struct sim_operator_answer *web;
	char body[200];
	uint64_t base = 0;
	int leader;

	(void)state;
	found(&world, 3, TABLE, FAULTS);
	for (int i = 0; i < world.controllers; i++)
		world.s.nodes[i].controller->config.accepted_requests.capacity = 8;
	for (int i = 0; i < 20; i++) {
		snprintf(body, sizeof body,
			 "{\"expect\":%llu,\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":%d}]}",
			 (unsigned long long)base, i + 1);
		assert_int_equal(call(&world, "/v1/change", body, "", &web), 200);
		base = edition(web);
	}
	leader = sim_leader(&world.s, SHARD_CONTROL);
	assert_int_equal(arrlen(world.s.nodes[leader].controller->config.accepted_requests.records), 8);
	assert_int_equal(call(&world, "/v1/change", body, "", &web), 200);
	snprintf(body, sizeof body,
		 "{\"expect\":0,\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":1}]}");
	assert_int_equal(sim_call_and_wait(&world.s, leader, "POST", "/v1/change", body, 3000), 504);
	snprintf(body, sizeof body,
		 "{\"expect\":%llu,\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":99}]}",
		 (unsigned long long)base - 1);
	assert_int_equal(call(&world, "/v1/change", body, "", &web),
			 409); /* never sent, and its base is inside the record */
	intact(&world);
	close_world(&world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(keyed_requests_are_identified),
		cmocka_unit_test(the_record_is_bounded_and_knows_how_far_it_reaches),
		cmocka_unit_test(a_full_record_is_small),
		cmocka_unit_test(an_open_proposal_is_known_after_any_number_of_others),
		cmocka_unit_test(the_record_of_proposals_is_bounded),
		cmocka_unit_test(a_change_sent_again_is_acknowledged_again),
		cmocka_unit_test(a_change_proposed_again_after_hundreds_is_applied_once),
		cmocka_unit_test(of_two_requests_under_one_key_one_is_accepted),
		cmocka_unit_test(a_purge_with_a_key_is_decided_once),
		cmocka_unit_test(a_refused_copy_does_not_decide_for_the_others),
		cmocka_unit_test(beyond_the_record_the_outcome_is_unknown),
		cmocka_unit_test(documents_of_many_operators),
		cmocka_unit_test(changes_of_many_operators),
		cmocka_unit_test(many_hundred_requests),
		cmocka_unit_test(requests_through_planned_stops),
	};

	apr_initialize();
	if (getenv("NL_TEST")) /* one test alone, for long runs over seeds */
		cmocka_set_test_filter(getenv("NL_TEST"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
