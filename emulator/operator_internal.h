/* What the operator's files share: the operator and its submissions. A submission is one call with all its
 * attempts; the operator frees it when it is over. */
#ifndef NL_OPERATOR_INTERNAL_H
#define NL_OPERATOR_INTERNAL_H

#include <stdbool.h>

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
	int config_index; /* number of the configuration at the checker */
	int redirects;    /* followed in this attempt */
	int attempts;
	int other_errors; /* answers that are neither clear nor unclear */
	bool is_unclear;  /* an attempt may have been accepted */
	bool is_unqueued; /* sent beside the queue */
	int weights;      /* version of the weights */
	bool is_lost;     /* the answer of this attempt is lost */
	int loss_count;   /* answers lost so far */
	int64_t base_version;
	int64_t version;
	int64_t started_at_ms;
	char *body; /* owned; NULL: none */
	char *path; /* owned */
	char fields[120];
	char address[64];             /* of the next attempt */
	struct json_object *document; /* current once it is acknowledged; NULL: nothing valid */
	char added[96];               /* path prefix of a route that it adds */
	char removed[96];             /* path prefix of a route that it removes */
	double pause_ms;              /* before the next attempt */
};

/* The operator: the current configuration, and what is under way. */
struct config_operator {
	struct run *run;
	struct json_object *current;   /* acknowledged */
	int64_t version;               /* of the current configuration */
	int64_t next_version;          /* that was drawn last */
	struct submission **in_flight; /* stb_ds */
	struct queued_change *queue;   /* stb_ds */
	int acked_count;
	int keys;          /* added so far */
	int routes;        /* added so far */
	int weights_acked; /* version */
	int read_done;
	int closed;
	char added[96];
	char removed[96];
	int splits;            /* so far */
	uint64_t rng;          /* draws what changes */
	uint64_t change_index; /* of the next planned change */
	double loss_ratio;     /* share of answers to target submissions that are lost */
	char leader[64];       /* who acknowledged last */
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
