/* router_metrics: what a router counts, in the Prometheus text format. Written by hand: a library's registry would hold every
 * series twice, and memory at routers is dear, while the format is a line a value. */
#include "router_internal.h"

#include <apr_strings.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "ds.h"

static const char *const reason_name[DECISION_REASONS] = { "kept", "fetch", "home", "load", "only" };
static const char *const outcome_name[REQUEST_OUTCOMES] = { "answered", "refused", "rejected", "broken_off", "client_gone" };

/* Text that grows. */
struct text {
	char *d; /* stb_ds */
};

static void __attribute__((format(printf, 2, 3))) line(struct text *t, const char *format, ...)
{
	char s[400];
	va_list args;
	int n;

	va_start(args, format);
	n = vsnprintf(s, sizeof s, format, args);
	va_end(args);
	if (n < 0)
		return;
	if (n >= (int)sizeof s - 1)
		n = (int)sizeof s - 2;
	s[n++] = '\n';
	memcpy(arraddnptr(t->d, (size_t)n), s, (size_t)n);
}

static void head(struct text *t, const char *name, const char *kind, const char *help)
{
	line(t, "# HELP notchlug_%s %s", name, help);
	line(t, "# TYPE notchlug_%s %s", name, kind);
}

/* A label's value may hold anything; the format escapes three characters. */
static const char *label(const char *value, char *to, size_t size)
{
	size_t n = 0;

	for (; *value && n + 3 < size; value++) {
		if (*value == '"' || *value == '\\' || *value == '\n')
			to[n++] = '\\';
		to[n] = *value;
		if (*value == '\n')
			to[n] = 'n';
		n++;
	}
	to[n] = 0;
	return to;
}

static void histogram(struct text *t, const char *name, const char *route, const struct decision_histogram *h)
{
	uint64_t total = 0;

	for (int i = 0; i <= DECISION_BUCKETS; i++) {
		total += h->n[i];
		if (i < DECISION_BUCKETS)
			line(t, "notchlug_%s_bucket{route=\"%s\",le=\"%d\"} %" PRIu64, name, route, decision_bucket_ms[i], total);
		else
			line(t, "notchlug_%s_bucket{route=\"%s\",le=\"+Inf\"} %" PRIu64, name, route, total);
	}
	line(t, "notchlug_%s_sum{route=\"%s\"} %" PRIu64, name, route, h->sum);
	line(t, "notchlug_%s_count{route=\"%s\"} %" PRIu64, name, route, total);
}

static void decisions(struct text *t, const struct router *c)
{
	char route[200];

	head(t, "decisions_total", "counter", "Sends to servers, by route and by why the server was chosen.");
	for (ptrdiff_t l = 0; l < arrlen(c->decisions); l++)
		for (int i = 0; c->decisions[l] && i < DECISION_REASONS; i++)
			line(t, "notchlug_decisions_total{route=\"%s\",reason=\"%s\"} %" PRIu64,
			     label(c->lanes.name[l], route, sizeof route), reason_name[i], c->decisions[l]->decisions[i]);
	head(t, "decision_facts_total", "counter",
	     "Of those: to older weights, with an answered or a missed lookup, ended without a first piece.");
	for (ptrdiff_t l = 0; l < arrlen(c->decisions); l++) {
		const struct decision_counts *n = c->decisions[l];

		if (!n)
			continue;
		label(c->lanes.name[l], route, sizeof route);
		line(t, "notchlug_decision_facts_total{route=\"%s\",fact=\"older_weights\"} %" PRIu64, route, n->older);
		line(t, "notchlug_decision_facts_total{route=\"%s\",fact=\"looked_up\"} %" PRIu64, route, n->looked_up);
		line(t, "notchlug_decision_facts_total{route=\"%s\",fact=\"lookup_missed\"} %" PRIu64, route, n->looked_up_late);
		line(t, "notchlug_decision_facts_total{route=\"%s\",fact=\"no_first_piece\"} %" PRIu64, route, n->failed);
	}
	head(t, "prompt_tokens_total", "counter",
	     "Prompt tokens as decided: kept at the server, fetched, read there, and of those read the shared ones.");
	for (ptrdiff_t l = 0; l < arrlen(c->decisions); l++) {
		const struct decision_counts *n = c->decisions[l];

		if (!n)
			continue;
		label(c->lanes.name[l], route, sizeof route);
		line(t, "notchlug_prompt_tokens_total{route=\"%s\",how=\"kept\"} %" PRIu64, route, n->kept);
		line(t, "notchlug_prompt_tokens_total{route=\"%s\",how=\"fetched\"} %" PRIu64, route, n->moved);
		line(t, "notchlug_prompt_tokens_total{route=\"%s\",how=\"read\"} %" PRIu64, route, n->read);
		line(t, "notchlug_prompt_tokens_total{route=\"%s\",how=\"shared_read\"} %" PRIu64, route, n->shared_read);
	}
}

static void times(struct text *t, const struct router *c)
{
	static const struct {
		const char *name, *help;
		size_t at;
	} histograms[] = {
		{ "queue_ms", "Time from the request, or from its return by a server, to its send.",
		  offsetof(struct decision_counts, queue) },
		{ "expected_ms", "Time to the first piece as it was expected at the send.",
		  offsetof(struct decision_counts, wait) },
		{ "first_piece_ms", "Time from the send to the first piece.", offsetof(struct decision_counts, first) },
		{ "unexpected_ms", "What of that was beyond what was expected.", offsetof(struct decision_counts, over) },
	};
	char route[200];

	for (size_t i = 0; i < sizeof histograms / sizeof *histograms; i++) {
		head(t, histograms[i].name, "histogram", histograms[i].help);
		for (ptrdiff_t l = 0; l < arrlen(c->decisions); l++)
			if (c->decisions[l])
				histogram(t, histograms[i].name, label(c->lanes.name[l], route, sizeof route),
					  (const struct decision_histogram *)((const char *)c->decisions[l] + histograms[i].at));
	}
}

static void value(struct text *t, const char *name, const char *kind, const char *help, double v)
{
	head(t, name, kind, help);
	line(t, "notchlug_%s %.10g", name, v);
}

static void state(struct text *t, const struct router *c, int64_t now)
{
	uint32_t waiting = 0, sending = 0;

	for (ptrdiff_t i = 0; i < arrlen(c->line); i++)
		waiting += c->line[i].n;
	for (uint32_t s = 0; c->server_table && s < c->server_table->nserver; s++) {
		sending += (uint32_t)c->sv[s].own;
	}
	value(t, "waiting_requests", "gauge", "Requests that wait in this router.", waiting);
	value(t, "running_requests", "gauge", "Requests that this router has at servers.", sending);
	value(t, "index_copies", "gauge", "Copies of prompt parts in the index.", (double)c->kept.n);
	value(t, "index_untold_servers", "gauge", "Servers whose news this head of a zone has yet to tell.",
	      (double)arrlen(c->feed.queue));
	value(t, "purge_age_ms", "gauge", "Age of what is known of purges.", (double)(now - c->relay.known_at));
	value(t, "config_age_ms", "gauge", "Age of the configuration.", (double)config_watch_age(&c->f, now));
	value(t, "load_age_ms", "gauge", "Age of what is known of others' load.", (double)(now - c->others_fresh));
	value(t, "lookup_ms", "gauge", "What a lookup of a prefix takes, smoothed.", c->lookup.round_trip_ms);
	value(t, "lookups_missed_total", "counter", "Lookups that were not answered in time.", (double)c->n.lookups_missed);
	value(t, "lookups_served_total", "counter", "Lookups that this router answered for others.", (double)c->n.lookups_answered);
	value(t, "resends_total", "counter", "Requests sent once more.", (double)c->n.resends);
	value(t, "recalled_total", "counter", "Sends taken back before their weights' bound.", (double)c->n.recalled);
	head(t, "mechanism_on", "gauge", "Whether a mechanism is in use; an experiment may switch one off.");
	for (int m = 0; m < MECHANISMS; m++)
		line(t, "notchlug_mechanism_on{name=\"%s\"} %d", mechanism_info[m].name,
		     mechanism_on(c->b.without, (enum mechanism)m));
}

const char *router_metrics(const struct router *c, int64_t now, apr_pool_t *p)
{
	struct text t = { NULL };
	const char *s;

	head(&t, "requests_total", "counter", "Requests that ended, by outcome.");
	for (int i = 0; i < REQUEST_OUTCOMES; i++)
		line(&t, "notchlug_requests_total{outcome=\"%s\"} %" PRIu64, outcome_name[i], c->n.outcome[i]);
	state(&t, c, now);
	decisions(&t, c);
	times(&t, c);
	s = apr_pstrmemdup(p, t.d, (size_t)arrlen(t.d));
	arrfree(t.d);
	return s;
}

/* ---- the log of an experiment ------------------------------------------------------------------------ */

static uint64_t observed(const struct decision_histogram *h)
{
	uint64_t n = 0;

	for (int i = 0; i <= DECISION_BUCKETS; i++)
		n += h->n[i];
	return n;
}

/* Totals of one route since this process began, as words and numbers in turn. */
static void log_route(struct router *c, ptrdiff_t lane)
{
	const struct decision_counts *n = c->decisions[lane];
	char s[700];
	int at = snprintf(s, sizeof s, "route %.60s", c->lanes.name[lane]);

	for (int i = 0; i < DECISION_REASONS; i++)
		at += snprintf(s + at, sizeof s - (size_t)at, " %s %" PRIu64, reason_name[i], n->decisions[i]);
	snprintf(s + at, sizeof s - (size_t)at,
		 " older %" PRIu64 " looked_up %" PRIu64 " missed %" PRIu64 " failed %" PRIu64 " t_kept %" PRIu64
		 " t_fetched %" PRIu64 " t_read %" PRIu64 " t_shared %" PRIu64 " queue_ms %" PRIu64 " expected_ms %" PRIu64
		 " first_ms %" PRIu64 " firsts %" PRIu64 " over_ms %" PRIu64,
		 n->older, n->looked_up, n->looked_up_late, n->failed, n->kept, n->moved, n->read, n->shared_read, n->queue.sum,
		 n->wait.sum, n->first.sum, observed(&n->first), n->over.sum);
	c->log(c->log_ctx, "decisions", s);
}

void router_log_decisions(struct router *c, int64_t now)
{
	if (!c->b.experiments || !c->log || now - c->decisions_logged_at < ROUTER_DECISIONS_LOG)
		return;
	c->decisions_logged_at = now;
	for (ptrdiff_t l = 0; l < arrlen(c->decisions); l++)
		if (c->decisions[l])
			log_route(c, l);
}
