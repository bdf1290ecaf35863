/* sights: which servers the list shows. The configuration's owner looks; what it saw is soft state that rides with the
 * following. A name is one life of a server: once draining it never serves again. */
#ifndef NL_SIGHTS_H
#define NL_SIGHTS_H

#include <json-c/json.h>

#include "core.h"

enum {
	SIGHT_SERVING = 0,
	SIGHT_DRAINING = 1,
	SIGHT_GONE = 2,
	SIGHTS_TOMB = 60000, /* ms for which a server that is gone is still told of */
	SIGHTS_MISSED = 2,   /* lists in a row that lack a server before it counts as gone: pages may shift between calls */
	SIGHTS_BACK = 2000,  /* ms after which one that was missed by mistake may be back: a list that lags is older */
	SIGHTS_FIRM = 2000,  /* ms for which what a server said itself goes before a list that lags */
	SIGHTS_SOON = 400,
	SIGHTS_CALM = 800,    /* ms between looks at the list: after a change, else */
	SIGHTS_LATELY = 3000, /* ms for which a change counts as late */
	SIGHTS_LOST = 2000    /* ms after which a look at the list has got no answer */
};

struct sights_row {
	char *key;
	struct {
		struct Nl__Sight *s;
		int64_t gone, firm;
		int missed, ended;
	} value;
};

struct sights {
	struct sights_row *h; /* stb_ds, by the server's name */
	uint64_t stamp;       /* the newest */
	uint64_t forgotten;   /* tombstones up to this stamp are forgotten */
	/* the owner's */
	uint64_t term;     /* 0: this is no owner's */
	int lists, listed; /* seen in this term; enough of them for followers to be told */
	uint64_t call;     /* the look at the list that is under way */
	int64_t called, due, changed;
};

void sights_open(struct sights *s);
void sights_close(struct sights *s);

/* Begin an office with what was followed so far. Example: sights_begin(&r->sights, &r->f.sights, term, now); */
void sights_begin(struct sights *s, const struct sights *f, uint64_t term, int64_t now);

/* Look at the list when it is time; soon: more often. mille: calls a second for the whole fleet, in thousandths.
 * Example: sights_tick(&r->sights, loading, r->b.list_mille, ++r->token, now, o); */
void sights_tick(struct sights *s, int soon, int mille, uint64_t token, int64_t now, struct out *o);

/* The answer to such a look: the whole list. Example: sights_listed(&r->sights, token, ok, v, n, now); */
void sights_listed(struct sights *s, uint64_t token, int ok, struct Nl__Sight *const *v, size_t n, int64_t now);

/* What a server itself said, or was told. Example: sights_say(&r->sights, "i-7", "2", 0, now); */
void sights_say(struct sights *s, const char *name, const char *weights, int loading, int64_t now);

/* A server's life has surely ended. Example: sights_end(&r->sights, "i-7", now); */
void sights_end(struct sights *s, const char *name, int64_t now);

/* Find one; NULL when it was never seen. Example: if ((x = sights_get(&f->sights, "i-7")) && !x->state) send(x); */
const struct Nl__Sight *sights_get(const struct sights *s, const char *name);

/* Fill a reply with what is newer than the asker has, or all of it. Example: sights_since(&r->sights, q->sights, a, pool); */
void sights_since(const struct sights *s, uint64_t have, struct Nl__FollowReply *a, apr_pool_t *p);

/* Take such a reply in; 1 when anything changed. Example: if (sights_follow(&f->sights, reply, now)) rebuild(); */
int sights_follow(struct sights *s, const struct Nl__FollowReply *a, int64_t now);

/* As JSON, for an operator. Example: json_object_object_add(j, "sights", sights_json(&s)); */
struct json_object *sights_json(const struct sights *s);

#endif
