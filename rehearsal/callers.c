/* Callers: they ask at a steady rate, read every piece, and record what they were told.
 * What was refused is asked again under the same id elsewhere, now and then; so is what ended unknown:
 * the fleet must refuse that second asking or run it only if it never ran. */
#include <apr_thread_proc.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "kit.h"

struct callers {
	struct callers_set set;
	struct record *rec;
	apr_pool_t *p;
	apr_thread_t **t;
	volatile int stop;
	volatile uint64_t whole;
	apr_thread_mutex_t *m;
	uint64_t turn;
	int64_t from;
};

struct reading {
	const char *id;
	char line[4096], xid[80], mark[80]; /* mark: the run that the pieces say they are of */
	size_t n;
	int next, end, bad, pieces;
	int64_t last;
	char error[200], outcome[32];
};

static void one_line(struct reading *r)
{
	struct json_object *j = json_tokener_parse(r->line);
	char want[400];

	if (!j) {
		r->bad = 1;
		return;
	}
	if (jget(j, "error")) {
		snprintf(r->error, sizeof r->error, "%s", jgets(j, "error"));
		snprintf(r->outcome, sizeof r->outcome, "%s", jgets(j, "outcome"));
	} else if (jget(j, "end")) {
		r->end++;
		r->pieces = (int)jgeti(j, "pieces");
		snprintf(r->xid, sizeof r->xid, "%s", jgets(j, "exchange"));
		if (r->pieces != r->next || (r->next && strcmp(r->mark, r->xid)))
			r->bad = 2;
	} else {
		const char *at = strchr(jgets(j, "text"), '@');

		if (!r->next && at)
			snprintf(r->mark, sizeof r->mark, "%s", at + 1);
		snprintf(want, sizeof want, "%s#%d@%s", r->id, r->next, r->mark);
		if (r->end || jgeti(j, "n") != r->next || strcmp(jgets(j, "text"), want))
			r->bad = 3;
		r->next++;
		r->last = clock_ms();
	}
	json_object_put(j);
}

static size_t on_body(char *d, size_t one, size_t n, void *arg)
{
	struct reading *r = arg;

	n *= one;
	for (size_t i = 0; i < n; i++) {
		if (d[i] == '\n' || r->n == sizeof r->line - 1) {
			r->line[r->n] = 0;
			if (r->n)
				one_line(r);
			r->n = 0;
		} else {
			r->line[r->n++] = d[i];
		}
	}
	return n;
}

static uint64_t part_seed(uint64_t seed, int tenant, int lane, int depth, uint64_t pick)
{
	return seed * 1000003 + (uint64_t)lane * 7919 + (uint64_t)depth * 104729 + (depth ? (uint64_t)tenant * 31 + pick : 0);
}

/* A part's text: the same words for the same seed. */
static void words(char *to, size_t n, uint64_t seed)
{
	static const char *const w[] = { "register ", "parcel ",  "lineage ", "certificate ",
					 "repair ",   "arrears ", "tenant ",  "record " };
	size_t k = 0;

	while (k + 16 < n)
		k += (size_t)snprintf(to + k, n - k, "%s", w[core_rand(&seed) % 8]);
	snprintf(to + k, n - k, "%llx", (unsigned long long)(seed & 0xffff));
}

static int ask(struct callers *c, const char *id, const char *counter, int tenant, int lane, uint64_t pick, CURL *h)
{
	struct json_object *j = json_object_new_object(), *a = json_object_new_array(), *rec;
	struct reading r;
	char text[8192], key[64], url[200], auth[100];
	struct curl_slist *hs;
	long status = 0;
	CURLcode rc;
	size_t n = (size_t)c->set.part_tokens * 4 < sizeof text ? (size_t)c->set.part_tokens * 4 : sizeof text;
	const char *outcome;

	memset(&r, 0, sizeof r);
	r.id = id;
	json_object_object_add(j, "lane", json_object_new_string(c->set.lane[lane]));
	json_object_object_add(j, "id", json_object_new_string(id));
	json_object_object_add(j, "limit_ms", json_object_new_int(c->set.limit_ms));
	for (int d = 0; d < 3; d++) { /* the lane's part, the tenant's part, one of the tenant's few matters */
		words(text, n, part_seed(c->set.seed, tenant, lane, d, d == 2 ? pick : 0));
		json_object_array_add(a, json_object_new_string(text));
	}
	json_object_object_add(j, "parts", a);
	words(text, 200, core_hashs(c->set.seed, id));
	json_object_object_add(j, "tail", json_object_new_string(text));
	snprintf(key, sizeof key, "key-%d", tenant);
	rec = json_object_new_object();
	json_object_object_add(rec, "ev", json_object_new_string("ask"));
	json_object_object_add(rec, "id", json_object_new_string(id));
	json_object_object_add(rec, "counter", json_object_new_string(counter));
	json_object_object_add(rec, "tenant", json_object_new_int(tenant));
	json_object_object_add(rec, "lane", json_object_new_string(c->set.lane[lane]));
	record_put(c->rec, rec);
	snprintf(url, sizeof url, "http://%s/v1/exchange", counter);
	snprintf(auth, sizeof auth, "Authorization: Bearer %s", key);
	hs = curl_slist_append(curl_slist_append(NULL, "Expect:"), auth);
	curl_easy_reset(h);
	curl_easy_setopt(h, CURLOPT_URL, url);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_PROXY, "");
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, hs);
	curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(h, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, (long)c->set.limit_ms + 5000);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, &r);
	curl_easy_setopt(h, CURLOPT_POSTFIELDS, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	rc = curl_easy_perform(h);
	curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
	if (r.n) { /* a body without a last newline: a whole JSON answer */
		r.line[r.n] = 0;
		one_line(&r);
	}
	curl_slist_free_all(hs);
	json_object_put(j);
	outcome = rc == CURLE_OK && status == 200 && r.end == 1 && !r.error[0] ? "whole"
		  : rc == CURLE_OK && !strcmp(r.outcome, "refused")            ? "refused"
		  : rc == CURLE_COULDNT_CONNECT                                ? "unreached"
									       : "unknown";
	rec = json_object_new_object();
	json_object_object_add(rec, "ev", json_object_new_string("told"));
	json_object_object_add(rec, "id", json_object_new_string(id));
	json_object_object_add(rec, "counter", json_object_new_string(counter));
	json_object_object_add(rec, "tenant", json_object_new_int(tenant));
	json_object_object_add(rec, "status", json_object_new_int((int)status));
	json_object_object_add(rec, "outcome", json_object_new_string(outcome));
	json_object_object_add(rec, "pieces", json_object_new_int(r.next));
	json_object_object_add(rec, "x", json_object_new_string(r.xid));
	json_object_object_add(rec, "bad", json_object_new_int(r.bad));
	json_object_object_add(rec, "last", json_object_new_int64(r.last));
	json_object_object_add(rec, "error", json_object_new_string(r.error));
	record_put(c->rec, rec);
	if (!strcmp(outcome, "whole"))
		__atomic_add_fetch(&c->whole, 1, __ATOMIC_RELAXED);
	return !strcmp(outcome, "whole") ? 0 : !strcmp(outcome, "refused") || !strcmp(outcome, "unreached") ? 1 : 2;
}

static void *APR_THREAD_FUNC caller(apr_thread_t *t, void *arg)
{
	struct callers *c = arg;
	CURL *h = curl_easy_init();

	(void)t;
	for (;;) {
		uint64_t k, rng;
		int64_t due;
		int tenant, lane, rc;
		char id[64];

		apr_thread_mutex_lock(c->m);
		k = c->turn++;
		apr_thread_mutex_unlock(c->m);
		due = c->from + (int64_t)(k * 1000 / (uint64_t)c->set.rate);
		while (!c->stop && clock_ms() < due)
			apr_sleep(2000);
		if (c->stop)
			break;
		rng = c->set.seed * 7 + k;
		tenant = core_rand(&rng) % 2 ? (int)(core_rand(&rng) % 2)
					     : (int)(core_rand(&rng) % (uint64_t)c->set.tenants); /* a few large ones */
		lane = (int)(core_rand(&rng) % (uint64_t)c->set.nlane);
		snprintf(id, sizeof id, "x%llu-%llu", (unsigned long long)c->set.seed, (unsigned long long)k);
		rc = ask(c, id, c->set.counter[core_rand(&rng) % (uint64_t)c->set.ncounter], tenant, lane, core_rand(&rng) % 4, h);
		if (rc && core_rand(&rng) % 3 == 0 && !c->stop) {
			apr_sleep(200000);
			ask(c, id, c->set.counter[core_rand(&rng) % (uint64_t)c->set.ncounter], tenant, lane, 0, h);
		}
	}
	curl_easy_cleanup(h);
	return NULL;
}

struct callers *callers_start(const struct callers_set *s)
{
	struct callers *c = calloc(1, sizeof *c);

	c->set = *s;
	c->rec = record_open(s->record);
	apr_pool_create(&c->p, NULL);
	apr_thread_mutex_create(&c->m, APR_THREAD_MUTEX_DEFAULT, c->p);
	c->from = clock_ms();
	c->t = apr_pcalloc(c->p, (size_t)s->threads * sizeof *c->t);
	for (int i = 0; i < s->threads; i++)
		apr_thread_create(&c->t[i], NULL, caller, c, c->p);
	return c;
}

uint64_t callers_whole(const struct callers *c) { return c->whole; }

void callers_stop(struct callers *c)
{
	struct json_object *j = json_object_new_object();
	apr_status_t st;

	c->stop = 1;
	for (int i = 0; i < c->set.threads; i++)
		apr_thread_join(&st, c->t[i]);
	json_object_object_add(j, "ev", json_object_new_string("closed")); /* nothing is missing behind this line */
	record_put(c->rec, j);
	record_close(c->rec);
	apr_pool_destroy(c->p);
	free(c);
}
