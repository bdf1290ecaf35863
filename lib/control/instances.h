/* instances: which servers the list shows. The configuration's owner looks; what it saw is soft state that
 * rides with the following. A name is one life of a server: once draining it never serves again. */
#ifndef NL_INSTANCES_H
#define NL_INSTANCES_H

#include <json-c/json.h>

#include "core.h"

enum {
	INSTANCE_SERVING = 0,
	INSTANCE_DRAINING = 1,
	INSTANCE_REMOVED = 2,
	INSTANCES_TOMBSTONE_MS = 60000, /* ms for which a server that is gone is still told of */
	INSTANCES_MAX_MISSED_POLLS =
	    2, /* lists in a row that lack a server before it counts as gone: pages may shift between calls */
	INSTANCES_RETURN_DELAY_MS =
	    2000, /* ms after which one that was missed by mistake may be back: a list that lags is older */
	INSTANCES_REPORT_VALID_MS =
	    2000, /* ms for which what a server said itself goes before a list that lags */
	INSTANCES_FAST_POLL_MS = 400,
	INSTANCES_POLL_MS = 800,           /* ms between looks at the list: after a change, else */
	INSTANCES_RECENT_CHANGE_MS = 3000, /* ms for which a change counts as late */
	INSTANCES_POLL_TIMEOUT_MS = 2000   /* ms after which a look at the list has got no answer */
};

struct instances_row {
	char *key;
	struct {
		struct Nl__Instance *instance;
		int64_t removed_at_ms, report_valid_until_ms;
		int missed_polls, has_ended;
	} value;
};

struct instances {
	struct instances_row *rows; /* stb_ds, by the server's name */
	uint64_t stamp;             /* the newest */
	uint64_t compacted_stamp;   /* tombstones up to this stamp are forgotten */
	/* the owner's */
	uint64_t term;                  /* 0: this is no owner's */
	int poll_count, is_publishable; /* seen in this term; enough of them for followers to be told */
	uint64_t poll_token;            /* the look at the list that is under way */
	int64_t polled_at_ms, poll_not_before_ms, changed_at_ms;
};

void instances_open(struct instances *instances);
void instances_close(struct instances *instances);

/* Begin an office with what was followed so far. Example: instances_begin(&r->instances, &r->f.instances,
 * term, now); */
void instances_start_term(struct instances *s, const struct instances *followed, uint64_t term, int64_t now);

/* Look at the list when it is time; soon: more often. mille: calls a second for the whole fleet, in
 * thousandths. Example: instances_tick(&r->instances, loading, r->b.list_mille, ++r->token, now, o); */
void instances_tick(struct instances *instances, int poll_fast, int rate_mille, uint64_t token, int64_t now,
		    struct command_list *out);

/* The answer to such a look: the whole list. Example: instances_listed(&r->instances, token, ok, v, n, now);
 */
void instances_on_list(struct instances *instances, uint64_t token, int succeeded,
		       struct Nl__Instance *const *listed, size_t count, int64_t now);

/* What a server itself said, or was told. Example: instances_set_weights(&r->instances, "i-7", "2", 0, now);
 */
void instances_set_weights(struct instances *instances, const char *name, const char *weights, int loading,
			   int64_t now);

/* A server's life has surely ended. Example: instances_end(&r->instances, "i-7", now); */
void instances_mark_ended(struct instances *instances, const char *name, int64_t now);

/* Find one; NULL when it was never seen. Example: if ((x = instances_get(&f->instances, "i-7")) && !x->state)
 * send(x); */
const struct Nl__Instance *instances_get(const struct instances *instances, const char *name);

/* Fill a reply with what is newer than the asker has, or all of it. Example: instances_since(&r->instances,
 * q->instances, a, pool); */
void instances_pack_since(const struct instances *instances, uint64_t known_stamp,
			  struct Nl__ConfigSyncReply *reply, apr_pool_t *pool);

/* Take such a reply in; 1 when anything changed. Example: if (instances_follow(&f->instances, reply, now))
 * rebuild(); */
int instances_apply_reply(struct instances *instances, const struct Nl__ConfigSyncReply *reply, int64_t now);

/* As JSON, for an operator. Example: json_object_object_add(j, "instances", instances_json(&s)); */
struct json_object *instances_json(const struct instances *instances);

#endif
