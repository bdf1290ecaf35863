/* ctr_in: what the files of the counter's step share. Not for others. */
#ifndef NL_CTR_IN_H
#define NL_CTR_IN_H

#include <json-c/json.h>

#include "ctr.h"

extern const char ctr_no_server[];
struct plan {
	int server, keep, from, upto;
	double cost, fetch, move; /* ms: fetch with its wait, move of the link alone */
};

/* ctr_assign.c */
struct plan ctr_assign(struct ctr *c, const struct xch *x, int64_t now);
struct plan ctr_assign_forward(struct ctr *c, const struct xch *x, int64_t now);
const char *ctr_shelf(struct ctr *c, const struct xch *x, uint32_t weights, apr_pool_t *p);
void ctr_link_use(struct ctr *c, uint32_t s, double ms, int64_t now);
uint64_t ctr_sink(struct ctr *c, const struct xch *x, uint64_t shelf, int64_t now);
uint32_t ctr_brings(const struct xch *x, int keep);
int ctr_store_of(const struct ctr *c, const struct xch *x);
uint64_t ctr_kept_key(uint64_t shelf, uint64_t id);
void ctr_learn_fetch(struct ctr *c, const struct xch *x, int64_t took, int brought, int64_t now);
int ctr_rolled(const struct ctr *c, uint32_t service, uint32_t weights, int64_t now);
int ctr_standing(const struct ctr *c, uint32_t s, int64_t now);
uint64_t ctr_home_part(const struct xch *x);
uint64_t ctr_tokens_upto(const struct xch *x, int n);
const struct kept_copy *ctr_usable(struct ctr *c, const struct xch *x, uint64_t hash, uint32_t server, uint32_t weights);
/* ctr_book.c */
void ctr_book_free(struct book *b);
struct book *ctr_book_make(struct ctr *c, int64_t now);
uint64_t ctr_place(const char *host, const char *path, size_t n);
struct roster *ctr_roster_make(struct ctr *c, int64_t now);
void ctr_roster_free(struct roster *r);
void ctr_names_clear(struct names *n);
void ctr_share_of(const struct book *b, uint32_t lane, uint32_t tenant, uint32_t *share, uint32_t *limit);
/* ctr_line.c */
void ctr_call_cancel(struct xch *x, struct out *o);
void ctr_claim_miss(struct ctr *c, uint32_t service, uint64_t asked);
void ctr_claim_release(struct ctr *c, const struct xch *x, int64_t now, struct out *o);
void ctr_claim_send(struct ctr *c, struct xch *x, int64_t now, struct out *o);
void ctr_end_early(struct ctr *c, struct xch *x, int status, const char *why, int64_t now, struct out *o);
const char *ctr_error_json(apr_pool_t *p, const char *why, const char *outcome);
double ctr_expected(const struct line *l, uint32_t i, int64_t now);
void ctr_give_up(struct ctr *c, struct xch *x, int status, const char *why, struct out *o);
uint32_t ctr_held(const struct ctr *c, const char *name);
struct line *ctr_line_of(struct ctr *c, uint32_t lane, uint32_t tenant);
int ctr_retry_soon(struct ctr *c, int ms);
int ctr_ride(const struct ctr *c);
void ctr_asked(struct ctr *c, const struct ctr_asking *a, int64_t now, struct out *o);
uint32_t ctr_part_of(const struct ctr *c, uint32_t service);
void ctr_pump(struct ctr *c, int64_t now, struct out *o);
struct json_object *ctr_read_json(struct ctr *c, const char *text);
void ctr_refuse(struct ctr *c, struct xch *x, int status, const char *why, double back, int64_t now, struct out *o);
void ctr_release_end(struct ctr *c, ptrdiff_t i);
void ctr_releases_tick(struct ctr *c, int64_t now, struct out *o);
void ctr_take(struct ctr *c, uint64_t token, const char *digest, const char *body, int64_t now, struct out *o);
uint64_t ctr_token_new(struct ctr *c);
struct ctr_use *ctr_use_of(struct ctr *c, const struct xch *x);
void ctr_want_places(struct ctr *c, int64_t now, struct out *o);
struct xch *ctr_xch_by(struct ctr *c, uint64_t token);
void ctr_xch_drop(struct ctr *c, struct xch *x);
/* ctr_load.c */
void ctr_load_tick(struct ctr *c, int64_t now, struct out *o);
void ctr_on_load(struct ctr *c, uint64_t id, uint64_t addr, const struct Nl__Load *l, int64_t now);
void ctr_load_clear(struct ctr *c);
/* ctr_send.c */
void ctr_on_answer(struct ctr *c, const struct Nl__Answer *a, uint64_t from, int64_t now, struct out *o);
void ctr_on_done(struct ctr *c, struct xch *x, const typeof(((struct ctr_ev *)0)->u.done) *d, int64_t now, struct out *o);
void ctr_forward(struct ctr *c, struct xch *x, const struct plan *pl, int64_t now, struct out *o);
void ctr_on_began(struct ctr *c, struct xch *x, const char *weights, int64_t now);
void ctr_on_ended(struct ctr *c, struct xch *x, const struct ctr_ended *e, int64_t now, struct out *o);
void ctr_on_piece(struct ctr *c, struct xch *x, const char *text, int64_t now, struct out *o);
void ctr_send_claimed(struct ctr *c, struct xch *x, int64_t now, struct out *o);
/* ctr_retention.c */
void ctr_scope_row(struct ctr *c, struct book *b, const struct Nl__Row *r);
int ctr_scope(const struct book *b, uint32_t lane, uint32_t tenant);
uint64_t ctr_generation(struct ctr *c, int scope, uint32_t slice);
uint64_t ctr_filed(struct ctr *c, const struct xch *x);
uint64_t ctr_filed_text(const char *shelf);
void ctr_cleared(struct ctr *c, const struct Nl__Value *v, int64_t now);
void ctr_retention_tick(struct ctr *c, int64_t now);
int ctr_keeps(const struct ctr *c, uint32_t service, uint32_t maker, uint64_t id, uint64_t stamp);
/* ctr_watch.c */
void ctr_look(struct ctr *c, int64_t now, struct out *o);
void ctr_on_passed_report(struct ctr *c, const struct Nl__Report *r, int64_t now, struct out *o);
void ctr_on_report(struct ctr *c, uint32_t s, const char *body, int64_t now);
void ctr_on_value(void *ctx, const struct Nl__Value *v);
void ctr_watch(struct ctr *c, int64_t now, struct out *o);
void ctr_on_watched(struct ctr *c, uint64_t token, const struct Nl__Kept *k, int status, int64_t now);
void ctr_on_kept(struct ctr *c, const struct Nl__Kept *k, int64_t now);
void ctr_kept_tell(struct ctr *c, int64_t now, struct out *o);
int ctr_pace(const struct ctr *c, int ms);
void ctr_pass_report(struct ctr *c, uint32_t s, const char *body, struct out *o);

#endif
