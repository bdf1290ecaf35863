/* A linearizability checker for histories of one versioned register.
 *
 * The register holds a value under a version number. Clients read it, or replace it by a compare-and-set that
 * names the version it builds on. A history lists every operation with the time of its first request and of
 * its final answer. The history is linearizable if the operations can be put into one order in which each
 * takes effect at one instant between its request and its answer, and each gives the answer that a single
 * register, used by one client at a time, would give.
 *
 * The search is the one of Wing and Gong (1993), with Lowe's cache of configurations that were seen to lead
 * nowhere: a configuration is the set of operations already ordered, and the register's state. It is
 * exponential at worst, and quick where few operations overlap. */
#ifndef NL_LINEAR_H
#define NL_LINEAR_H

#include <stddef.h>
#include <stdint.h>

/* What an operation does. */
enum linear_kind { LINEAR_READ, LINEAR_WRITE };

/* How an operation ended for its client. */
enum linear_outcome {
	LINEAR_OK,      /* acknowledged, or read */
	LINEAR_REFUSED, /* a clear answer that it has not taken effect and never will */
	LINEAR_UNKNOWN  /* no clear answer: it may take effect at any time after its request, or never */
};

/* What a history is found to be. */
enum linear_result { LINEAR_SATISFIED, LINEAR_BROKEN, LINEAR_UNDECIDED };

/* As a write's base: it replaces whatever version is there. As a write's version: nobody has learnt which one
 * it made. */
#define LINEAR_ANY UINT64_MAX

/* An operation; times are of any clock that all of a history share. */
struct linear_op {
	enum linear_kind kind;
	enum linear_outcome outcome;
	int64_t called_at;     /* the first request */
	int64_t returned_at;   /* the final answer; no meaning if the outcome is unknown */
	uint64_t base_version; /* a write: the version it builds on */
	uint64_t version;      /* a write: the version it makes; a read: the version it returned */
	uint64_t value;        /* of the content, unlike for unlike content */
};

/* The search ends undecided after so many steps. */
enum { LINEAR_STEPS = 20 * 1000 * 1000 };

/* Check a history of n operations on a register that holds version 0 and value 0 at first. If it is broken,
 * why names the operation that fits nowhere behind the longest order that was found. Example: if
 * (linear_check(ops, n, why, sizeof why) != LINEAR_SATISFIED) fail_msg("%s", why); */
enum linear_result linear_check(const struct linear_op *ops, size_t n, char *why, size_t why_size);

/* One operation as text, for messages. Example: linear_print(&op, buf, sizeof buf); */
void linear_print(const struct linear_op *operation, char *to, size_t size);

#endif
