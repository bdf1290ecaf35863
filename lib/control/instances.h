/* instances: which servers the list shows. The configuration's owner looks; what it saw is soft state that rides with the
 * following. A name is one life of a server: once draining it never serves again. */
#ifndef NL_INSTANCES_H
#define NL_INSTANCES_H

#include <json-c/json.h>

#include "core.h"

enum {
	INSTANCE_SERVING = 0,
	INSTANCE_DRAINING = 1,
	INSTANCE_GONE = 2,
	INSTANCES_TOMB = 60000, /* ms for which a server that is gone is still told of */
	INSTANCES_MISSED = 2,   /* lists in a row that lack a server before it counts as gone: pages may shift between calls */
	INSTANCES_BACK = 2000,  /* ms after which one that was missed by mistake may be back: a list that lags is older */
	INSTANCES_FIRM = 2000,  /* ms for which what a server said itself goes before a list that lags */
	INSTANCES_SOON = 400,
	INSTANCES_CALM = 800,    /* ms between looks at the list: after a change, else */
	INSTANCES_LATELY = 3000, /* ms for which a change counts as late */
	INSTANCES_LOST = 2000    /* ms after which a look at the list has got no answer */
};

struct instances_row {
	char *key;
	struct {
		struct Nl__Instance *s;
		int64_t gone, firm;
		int missed, ended;
	} value;
};

struct instances {
	struct instances_row *h; /* stb_ds, by the server's name */
	uint64_t stamp;          /* the newest */
	uint64_t forgotten;      /* tombstones up to this stamp are forgotten */
	/* the owner's */
	uint64_t term;     /* 0: this is no owner's */
	int lists, listed; /* seen in this term; enough of them for followers to be told */
	uint64_t call;     /* the look at the list that is under way */
	int64_t called, due, changed;
};

void instances_open(struct instances *s);
void instances_close(struct instances *s);

/* Begin an office with what was followed so far. Example: instances_begin(&r->instances, &r->f.instances, term, now); */
void instances_begin(struct instances *s, const struct instances *f, uint64_t term, int64_t now);

/* Look at the list when it is time; soon: more often. mille: calls a second for the whole fleet, in thousandths.
 * Example: instances_tick(&r->instances, loading, r->b.list_mille, ++r->token, now, o); */
void instances_tick(struct instances *s, int soon, int mille, uint64_t token, int64_t now, struct out *o);

/* The answer to such a look: the whole list. Example: instances_listed(&r->instances, token, ok, v, n, now); */
void instances_listed(struct instances *s, uint64_t token, int ok, struct Nl__Instance *const *v, size_t n, int64_t now);

/* What a server itself said, or was told. Example: instances_set_weights(&r->instances, "i-7", "2", 0, now); */
void instances_set_weights(struct instances *s, const char *name, const char *weights, int loading, int64_t now);

/* A server's life has surely ended. Example: instances_end(&r->instances, "i-7", now); */
void instances_end(struct instances *s, const char *name, int64_t now);

/* Find one; NULL when it was never seen. Example: if ((x = instances_get(&f->instances, "i-7")) && !x->state) send(x); */
const struct Nl__Instance *instances_get(const struct instances *s, const char *name);

/* Fill a reply with what is newer than the asker has, or all of it. Example: instances_since(&r->instances, q->instances, a, pool); */
void instances_since(const struct instances *s, uint64_t have, struct Nl__ConfigSyncReply *a, apr_pool_t *p);

/* Take such a reply in; 1 when anything changed. Example: if (instances_follow(&f->instances, reply, now)) rebuild(); */
int instances_follow(struct instances *s, const struct Nl__ConfigSyncReply *a, int64_t now);

/* As JSON, for an operator. Example: json_object_object_add(j, "instances", instances_json(&s)); */
struct json_object *instances_json(const struct instances *s);

#endif
