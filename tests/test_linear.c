/* The linearizability checker's own tests: histories known to hold or to be broken, and random small ones
 * against a search through all orders. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "core.h"
#include "linear.h"

#define WRITE(from, to, on, makes)                                          \
	{                                                                   \
		LINEAR_WRITE, LINEAR_OK, from, to, on, makes, 100 + (makes) \
	}
#define REFUSED(from, to, on, makes)                                             \
	{                                                                        \
		LINEAR_WRITE, LINEAR_REFUSED, from, to, on, makes, 100 + (makes) \
	}
#define UNKNOWN(from, on, makes)                                                \
	{                                                                       \
		LINEAR_WRITE, LINEAR_UNKNOWN, from, 0, on, makes, 100 + (makes) \
	}
#define READ(from, to, sees)                                                         \
	{                                                                            \
		LINEAR_READ, LINEAR_OK, from, to, 0, sees, (sees) ? 100 + (sees) : 0 \
	}

enum { HISTORY = 8 };

struct named_history {
	const char *name;
	size_t n;
	struct linear_op ops[HISTORY];
};

static const struct named_history holding[] = {
	{ "empty", 0, { READ(0, 0, 0) } },
	{ "one after the other", 4, { READ(0, 1, 0), WRITE(2, 3, 0, 5), READ(4, 5, 5), WRITE(6, 7, 5, 6) } },
	{ "of two on one base one is refused",
	  3,
	  { WRITE(0, 9, 0, 1), REFUSED(1, 8, 0, 2), READ(10, 11, 1) } },
	{ "refused at once, since the other is already in force",
	  3,
	  { WRITE(0, 9, 0, 1), REFUSED(1, 2, 0, 2), READ(3, 4, 1) } },
	{ "a read beside a write sees either", 3, { WRITE(0, 9, 0, 1), READ(1, 8, 0), READ(2, 8, 1) } },
	{ "unknown, and never in force", 3, { UNKNOWN(0, 0, 1), READ(5, 6, 0), WRITE(7, 8, 0, 2) } },
	{ "unknown, and in force much later",
	  4,
	  { UNKNOWN(0, 0, 1), READ(5, 6, 0), READ(50, 51, 1), WRITE(52, 53, 1, 2) } },
	{ "unknown, and found by the next", 2, { UNKNOWN(0, 0, 1), WRITE(5, 6, 1, 2) } },
	{ "a number used twice, once in force",
	  2,
	  { WRITE(0, 9, 0, 1), { LINEAR_WRITE, LINEAR_REFUSED, 0, 9, 0, 1, 777 } } },
	{ "not above its base", 2, { WRITE(0, 1, 0, 5), REFUSED(2, 3, 5, 4) } },
	{ "unconditional",
	  4,
	  { WRITE(0, 1, LINEAR_ANY, 4), WRITE(2, 3, LINEAR_ANY, 6), READ(4, 5, 6), REFUSED(6, 7, 4, 9) } },
	{ "made a version that nobody learnt",
	  3,
	  { { LINEAR_WRITE, LINEAR_UNKNOWN, 0, 0, 0, LINEAR_ANY, 7 },
	    REFUSED(2, 3, 0, 4),
	    WRITE(4, 5, LINEAR_ANY, 9) } },
};

static const struct named_history broken[] = {
	{ "two winners on one base", 2, { WRITE(0, 9, 0, 1), WRITE(1, 8, 0, 2) } },
	{ "two winners under one number",
	  2,
	  { WRITE(0, 9, 0, 1), { LINEAR_WRITE, LINEAR_OK, 1, 8, 0, 1, 777 } } },
	{ "an old configuration handed out", 3, { WRITE(0, 1, 0, 1), WRITE(2, 3, 1, 2), READ(4, 5, 1) } },
	{ "an acknowledged one lost", 2, { WRITE(0, 1, 0, 1), READ(2, 3, 0) } },
	{ "taken, and refused when sent again", 2, { REFUSED(0, 9, 0, 1), READ(10, 11, 1) } },
	{ "refused although nothing came before", 2, { READ(0, 1, 0), REFUSED(2, 3, 0, 1) } },
	{ "refused before the one that overtook it was sent", 2, { REFUSED(0, 1, 0, 1), WRITE(2, 3, 0, 2) } },
	{ "seen, then unseen", 3, { UNKNOWN(0, 0, 1), READ(5, 6, 1), READ(7, 8, 0) } },
	{ "unknown, and in force twice",
	  5,
	  { { LINEAR_WRITE, LINEAR_UNKNOWN, 0, 0, LINEAR_ANY, 1, 7 },
	    { LINEAR_READ, LINEAR_OK, 1, 2, 0, 1, 7 },
	    WRITE(3, 4, 1, 2),
	    READ(5, 6, 2),
	    { LINEAR_READ, LINEAR_OK, 7, 8, 0, 1, 7 } } },
	{ "unknown, and in force before it was sent", 2, { UNKNOWN(5, 0, 1), READ(0, 1, 1) } },
	{ "a value that nobody wrote",
	  2,
	  { WRITE(0, 1, 0, 1), { LINEAR_READ, LINEAR_OK, 2, 3, 0, 1, 777 } } },
	{ "built on a version that never was", 2, { WRITE(0, 1, 0, 1), WRITE(2, 3, 7, 8) } },
	{ "the version went back", 2, { WRITE(0, 1, 0, 5), WRITE(2, 3, 5, 4) } },
	{ "two reads that see two writes in unlike order",
	  6,
	  { WRITE(0, 20, LINEAR_ANY, 1), WRITE(0, 20, LINEAR_ANY, 2), READ(1, 2, 2), READ(3, 4, 1),
	    READ(5, 6, 2), READ(7, 8, 1) } },
};

static void known_histories_are_judged_right(void **state)
{
	char why[400];

	(void)state;
	for (size_t i = 0; i < sizeof holding / sizeof *holding; i++)
		if (linear_check(holding[i].ops, holding[i].n, why, sizeof why) != LINEAR_SATISFIED)
			fail_msg("%s: %s", holding[i].name, why);
	for (size_t i = 0; i < sizeof broken / sizeof *broken; i++) {
		if (linear_check(broken[i].ops, broken[i].n, why, sizeof why) != LINEAR_BROKEN)
			fail_msg("%s: not seen", broken[i].name);
		assert_non_null(strstr(why, "not linearizable"));
	}
}

/* ---- every order ---- */

struct plain_register {
	uint64_t version, value;
};

static int plain_step(const struct linear_op *operation, struct plain_register *plain_register)
{
	int applies =
	    (operation->base_version == LINEAR_ANY || operation->base_version == plain_register->version) &&
	    operation->version > plain_register->version;

	if (operation->kind == LINEAR_READ)
		return operation->version == plain_register->version &&
		       operation->value == plain_register->value;
	if (operation->outcome == LINEAR_REFUSED)
		return !applies;
	if (applies)
		*plain_register = (struct plain_register){ operation->version, operation->value };
	return applies;
}

/* Whether some order of the operations that are not used yet explains the history. */
static int plain_search(const struct linear_op *ops, size_t n, unsigned used,
			struct plain_register plain_register)
{
	int open = 0;

	for (size_t i = 0; i < n; i++) {
		struct plain_register after = plain_register;
		int too_late = 0;

		if (used & 1u << i)
			continue;
		open |= ops[i].outcome != LINEAR_UNKNOWN;
		for (size_t k = 0; k < n; k++) /* another had its answer before this one was requested */
			too_late |= k != i && !(used & 1u << k) && ops[k].outcome != LINEAR_UNKNOWN &&
				    ops[k].returned_at < ops[i].called_at;
		if (!too_late && plain_step(&ops[i], &after) && plain_search(ops, n, used | 1u << i, after))
			return 1;
	}
	return !open;
}

static struct linear_op random_op(uint64_t *rng)
{
	struct linear_op operation = { .kind = core_random(rng) % 3 ? LINEAR_WRITE : LINEAR_READ };

	operation.called_at = (int64_t)(core_random(rng) % 12);
	operation.returned_at = operation.called_at + (int64_t)(core_random(rng) % 6);
	if (operation.kind == LINEAR_READ) {
		operation.version = core_random(rng) % 4;
		operation.value =
		    operation.version ? 100 + operation.version + 10 * (core_random(rng) % 2) : 0;
		return operation;
	}
	operation.outcome = core_random(rng) % 2   ? LINEAR_OK
			    : core_random(rng) % 2 ? LINEAR_REFUSED
						   : LINEAR_UNKNOWN;
	operation.base_version = core_random(rng) % 6 ? core_random(rng) % 3 : LINEAR_ANY;
	operation.version = 1 + core_random(rng) % 3;
	operation.value = 100 + operation.version + 10 * (core_random(rng) % 2);
	return operation;
}

static void random_histories_against_every_order(void **state)
{
	size_t rounds = 200000, holds = 0;
	uint64_t rng = 7;
	char why[400];

	(void)state;
	for (size_t round = 0; round < rounds; round++) {
		struct linear_op ops[6];
		size_t n = 2 + core_random(&rng) % 5;
		int plain;

		for (size_t i = 0; i < n; i++)
			ops[i] = random_op(&rng);
		plain = plain_search(ops, n, 0, (struct plain_register){ 0, 0 });
		if ((linear_check(ops, n, why, sizeof why) == LINEAR_SATISFIED) != plain) {
			for (size_t i = 0; i < n; i++) {
				linear_print(&ops[i], why, sizeof why);
				print_message("%s\n", why);
			}
			fail_msg("round %zu: the search through every order says %d", round, plain);
		}
		holds += (size_t)plain;
	}
	print_message("%zu random histories, of which %zu hold\n", rounds, holds);
	assert_true(holds > rounds / 50 && holds < rounds / 2);
}

/* ---- long histories ---- */

enum { LONG = 4000, AT_ONCE = 8 };

/* Eight clients at a time, one of which wins; every tenth winner gets no clear answer. */
static size_t long_history(struct linear_op *ops)
{
	uint64_t version = 0;
	size_t n = 0;

	for (int64_t t = 0; n + AT_ONCE + 1 <= LONG; t += 100) {
		for (int i = 0; i < AT_ONCE; i++) {
			struct linear_op operation = {
				LINEAR_WRITE,         LINEAR_REFUSED, t + i,
				t + 90 - i,           version,        version + 1 + (uint64_t)i,
				(uint64_t)(t + i + 1)
			};

			if (i == (int)(t / 100 % AT_ONCE))
				operation.outcome = t / 100 % 10 ? LINEAR_OK : LINEAR_UNKNOWN;
			ops[n++] = operation;
		}
		version += 1 + (uint64_t)(t / 100 % AT_ONCE);
		ops[n++] = (struct linear_op){ LINEAR_READ,
					       LINEAR_OK,
					       t + 95,
					       t + 99,
					       0,
					       version,
					       (uint64_t)(t + t / 100 % AT_ONCE + 1) };
	}
	return n;
}

static void long_histories_are_decided(void **state)
{
	static struct linear_op ops[LONG];
	size_t n = long_history(ops);
	char why[400];

	(void)state;
	assert_int_equal(linear_check(ops, n, why, sizeof why), LINEAR_SATISFIED);
	ops[n / 2 / (AT_ONCE + 1) * (AT_ONCE + 1) - 1].version -=
	    1; /* one reading in the middle is of a version that never was */
	assert_int_equal(linear_check(ops, n, why, sizeof why), LINEAR_BROKEN);
	n = long_history(ops);
	ops[n - 2 - (n / (AT_ONCE + 1) - 1) % AT_ONCE].outcome =
	    LINEAR_OK; /* a second winner on the last base */
	assert_int_equal(linear_check(ops, n, why, sizeof why), LINEAR_BROKEN);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(known_histories_are_judged_right),
		cmocka_unit_test(random_histories_against_every_order),
		cmocka_unit_test(long_histories_are_decided),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
