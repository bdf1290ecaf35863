/* What the operator's files share: the operator and its submissions. A submission is one call with all its
 * attempts; the operator frees it when it is over. */
#ifndef NL_OPERATOR_INTERNAL_H
#define NL_OPERATOR_INTERNAL_H

#include "platform_run.h"

struct queued_change {
	enum change what;
	int modify;
};

enum submission_kind { SUBMIT_CONFIG, SUBMIT_WEIGHTS, SUBMIT_READ };

struct submission {
	struct config_operator *config_operator;
	enum submission_kind what;
	int config_index, redirects, attempts, other_errors, is_unclear, is_unqueued, weights, is_lost,
	    loss_count;
	int64_t base_version, version, started_at_ms, read_from;
	char *body, *path, fields[120], address[64];
	struct json_object *document; /* what stands once it is taken; NULL: nothing valid */
	char added[96], removed[96];
	double pause_ms;
};

struct config_operator {
	struct run *run;
	struct json_object *current; /* acknowledged */
	int64_t version, next_version;
	struct submission **in_flight; /* stb arrays */
	struct queued_change *queue;
	int acked_count, keys, routes, weights_acked, read_done, closed;
	char added[96], removed[96];
	int splits;
	uint64_t rng, change_index; /* what it changes; which of the planned changes comes next */
	double loss_ratio;          /* the share of answers to namings that are lost on their way */
	char leader[64];            /* who acknowledged last */
};

/* ---- operator_documents.c ---- */

/* A member of a JSON object, or NULL; still owned by the object. */
struct json_object *document_member(struct json_object *json, const char *key);

/* ---- operator.c ---- */

/* Send a submission for the first time; it frees itself when it is over. */
void operator_send(struct submission *submission);

/* The whole configuration goes out, or what differs; invalid: known to be so. */
struct submission *operator_config_submission(struct config_operator *config_operator,
					      struct json_object *full, const char *text, const char *path,
					      int64_t base, int invalid);

/* ---- operator_documents.c ---- */

/* The first configuration; the caller owns it. */
struct json_object *operator_first_config(struct config_operator *config_operator);

/* Changes a copy of what stands; the items touched go to up, the names removed to gone. */
struct json_object *operator_make_change(struct config_operator *config_operator, enum change what,
					 struct submission **out, int modify);

#endif
