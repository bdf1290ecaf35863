/* What the operator's files share: the operator and its submissions. A submission is one call with all its
 * attempts; the operator frees it when it is over. */
#ifndef NL_OPERATOR_INTERNAL_H
#define NL_OPERATOR_INTERNAL_H

#include "platform_run.h"

/* A change that waits for its turn. */
struct queued_change {
	enum change what;
	int modify;
};

/* What a submission is about. */
enum submission_kind { SUBMIT_CONFIG, SUBMIT_WEIGHTS, SUBMIT_READ };

/* One call with all its attempts. */
struct submission {
	struct config_operator *config_operator;
	enum submission_kind what;
	int config_index;
	int redirects;
	int attempts;
	int other_errors;
	int is_unclear;
	int is_unqueued;
	int weights;
	int is_lost;
	int loss_count;
	int64_t base_version;
	int64_t version;
	int64_t started_at_ms;
	int64_t read_from;
	char *body;
	char *path;
	char fields[120];
	char address[64];
	struct json_object *document; /* what stands once it is taken; NULL: nothing valid */
	char added[96];
	char removed[96];
	double pause_ms;
};

/* The operator: the current configuration, and what is under way. */
struct config_operator {
	struct run *run;
	struct json_object *current; /* acknowledged */
	int64_t version;
	int64_t next_version;
	struct submission **in_flight; /* stb arrays */
	struct queued_change *queue;
	int acked_count;
	int keys;
	int routes;
	int weights_acked;
	int read_done;
	int closed;
	char added[96];
	char removed[96];
	int splits;
	/* what it changes; which of the planned changes comes next */
	uint64_t rng;
	uint64_t change_index;
	double loss_ratio; /* share of answers to target submissions that are lost */
	char leader[64];   /* who acknowledged last */
};

/* ---- operator_documents.c ---- */

/* A member of a JSON object, or NULL; still owned by the object. */
struct json_object *document_member(struct json_object *json, const char *key);

/* ---- operator.c ---- */

/* Send a submission for the first time; it frees itself when it is over. */
void operator_send(struct submission *submission);

/* A submission of a configuration, in full or as what differs; invalid: it is known to be. NULL full: it
 * cannot be parsed. */
struct submission *operator_config_submission(struct config_operator *config_operator,
					      struct json_object *full, const char *text, const char *path,
					      int64_t base, int invalid);

/* ---- operator_documents.c ---- */

/* The first configuration; the caller owns it. */
struct json_object *operator_first_config(struct config_operator *config_operator);

/* Make a change of the current configuration, as a submission in *out. Returns the changed configuration; the
 * caller owns it. */
struct json_object *operator_make_change(struct config_operator *config_operator, enum change what,
					 struct submission **out, int modify);

#endif
