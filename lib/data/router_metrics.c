/* router_metrics: what a router counts, in the Prometheus text format. Written by hand: a library's registry
 * would hold every series twice, and memory at routers is dear, while the format is a line a value. */
#include "router_internal.h"

#include <apr_strings.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "containers.h"

static const char *const reason_name[DECISION_REASONS] = { "kept", "fetch", "home", "load", "only" };
static const char *const outcome_name[REQUEST_OUTCOMES] = { "answered", "refused", "rejected", "broken_off",
							    "client_gone" };

/* Text that grows. */
struct text {
	char *data; /* stb_ds */
};

static void __attribute__((format(printf, 2, 3))) line(struct text *text, const char *format, ...)
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
	memcpy(arraddnptr(text->data, (size_t)n), s, (size_t)n);
}

static void head(struct text *text, const char *name, const char *kind, const char *help)
{
	line(text, "# HELP notchlug_%s %s", name, help);
	line(text, "# TYPE notchlug_%s %s", name, kind);
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

static void histogram(struct text *text, const char *name, const char *route,
		      const struct decision_histogram *decision_histogram)
{
	uint64_t total = 0;

	for (int i = 0; i <= DECISION_BUCKETS; i++) {
		total += decision_histogram->counts[i];
		if (i < DECISION_BUCKETS)
			line(text, "notchlug_%s_bucket{route=\"%s\",le=\"%d\"} %" PRIu64, name, route,
			     decision_bucket_ms[i], total);
		else
			line(text, "notchlug_%s_bucket{route=\"%s\",le=\"+Inf\"} %" PRIu64, name, route,
			     total);
	}
	line(text, "notchlug_%s_sum{route=\"%s\"} %" PRIu64, name, route, decision_histogram->sum_ms);
	line(text, "notchlug_%s_count{route=\"%s\"} %" PRIu64, name, route, total);
}

static void decisions(struct text *text, const struct router *router)
{
	char route[200];

	head(text, "decisions_total", "counter",
	     "Sends to servers, by route and by why the server was chosen.");
	for (ptrdiff_t l = 0; l < arrlen(router->records.decision_counts); l++)
		for (int i = 0; router->records.decision_counts[l] && i < DECISION_REASONS; i++)
			line(text, "notchlug_decisions_total{route=\"%s\",reason=\"%s\"} %" PRIu64,
			     label(router->names.routes.names[l], route, sizeof route), reason_name[i],
			     router->records.decision_counts[l]->decisions[i]);
	head(text, "decision_facts_total", "counter",
	     "Of those: to older weights, with an answered or a missed lookup, ended without a first piece.");
	for (ptrdiff_t l = 0; l < arrlen(router->records.decision_counts); l++) {
		const struct decision_counts *counts = router->records.decision_counts[l];

		if (!counts)
			continue;
		label(router->names.routes.names[l], route, sizeof route);
		line(text, "notchlug_decision_facts_total{route=\"%s\",fact=\"older_weights\"} %" PRIu64,
		     route, counts->older_weights);
		line(text, "notchlug_decision_facts_total{route=\"%s\",fact=\"looked_up\"} %" PRIu64, route,
		     counts->lookups_answered);
		line(text, "notchlug_decision_facts_total{route=\"%s\",fact=\"lookup_missed\"} %" PRIu64,
		     route, counts->lookups_missed);
		line(text, "notchlug_decision_facts_total{route=\"%s\",fact=\"no_first_piece\"} %" PRIu64,
		     route, counts->no_first_chunk);
	}
	head(
	    text, "prompt_tokens_total", "counter",
	    "Prompt tokens as decided: kept at the server, fetched, read there, and of those read the shared ones.");
	for (ptrdiff_t l = 0; l < arrlen(router->records.decision_counts); l++) {
		const struct decision_counts *counts = router->records.decision_counts[l];

		if (!counts)
			continue;
		label(router->names.routes.names[l], route, sizeof route);
		line(text, "notchlug_prompt_tokens_total{route=\"%s\",how=\"kept\"} %" PRIu64, route,
		     counts->cached_tokens);
		line(text, "notchlug_prompt_tokens_total{route=\"%s\",how=\"fetched\"} %" PRIu64, route,
		     counts->fetched_tokens);
		line(text, "notchlug_prompt_tokens_total{route=\"%s\",how=\"read\"} %" PRIu64, route,
		     counts->prefill_tokens);
		line(text, "notchlug_prompt_tokens_total{route=\"%s\",how=\"shared_read\"} %" PRIu64, route,
		     counts->shared_prefill_tokens);
	}
}

static void times(struct text *text, const struct router *router)
{
	static const struct {
		const char *name, *help;
		size_t offset;
	} histograms[] = {
		{ "queue_ms", "Time from the request, or from its return by a server, to its send.",
		  offsetof(struct decision_counts, queue_ms) },
		{ "expected_ms", "Time to the first piece as it was expected at the send.",
		  offsetof(struct decision_counts, expected_ms) },
		{ "first_piece_ms", "Time from the send to the first piece.",
		  offsetof(struct decision_counts, first_chunk_ms) },
		{ "unexpected_ms", "What of that was beyond what was expected.",
		  offsetof(struct decision_counts, unexpected_ms) },
	};
	char route[200];

	for (size_t i = 0; i < sizeof histograms / sizeof *histograms; i++) {
		head(text, histograms[i].name, "histogram", histograms[i].help);
		for (ptrdiff_t l = 0; l < arrlen(router->records.decision_counts); l++)
			if (router->records.decision_counts[l])
				histogram(text, histograms[i].name,
					  label(router->names.routes.names[l], route, sizeof route),
					  (const struct decision_histogram *)((const char *)router->records
										  .decision_counts[l] +
									      histograms[i].offset));
	}
}

static void value(struct text *text, const char *name, const char *kind, const char *help, double v)
{
	head(text, name, kind, help);
	line(text, "notchlug_%s %.10g", name, v);
}

static void state(struct text *t, const struct router *router, int64_t now)
{
	uint32_t waiting = 0, sending = 0;

	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++)
		waiting += router->queueing.queues[i].length;
	for (uint32_t s = 0; router->config.server_table && s < router->config.server_table->server_count;
	     s++) {
		sending += (uint32_t)router->servers.states[s].own_running;
	}
	value(t, "waiting_requests", "gauge", "Requests that wait in this router.", waiting);
	value(t, "running_requests", "gauge", "Requests that this router has at servers.", sending);
	value(t, "index_copies", "gauge", "Copies of prompt parts in the index.",
	      (double)router->cache.index.replica_count);
	value(t, "index_untold_servers", "gauge", "Servers whose news this head of a zone has yet to tell.",
	      (double)arrlen(router->feed.queue));
	value(t, "purge_age_ms", "gauge", "Age of what is known of purges.",
	      (double)(now - router->relay.known_at_ms));
	value(t, "config_age_ms", "gauge", "Age of the configuration.",
	      (double)config_watch_age_ms(&router->config.watch, now));
	value(t, "load_age_ms", "gauge", "Age of what is known of others' load.",
	      (double)(now - router->load.others_at_ms));
	value(t, "lookup_ms", "gauge", "What a lookup of a prefix takes, smoothed.",
	      router->lookup.round_trip_ms);
	value(t, "lookups_missed_total", "counter", "Lookups that were not answered in time.",
	      (double)router->stats.lookups_missed);
	value(t, "lookups_served_total", "counter", "Lookups that this router answered for others.",
	      (double)router->stats.lookups_answered);
	value(t, "resends_total", "counter", "Requests sent once more.", (double)router->stats.resends);
	value(t, "recalled_total", "counter", "Sends taken back before their weights' bound.",
	      (double)router->stats.recalled);
	head(t, "mechanism_on", "gauge", "Whether a mechanism is in use; an experiment may switch one off.");
	for (int m = 0; m < MECHANISMS; m++)
		line(t, "notchlug_mechanism_on{name=\"%s\"} %d", mechanism_info[m].name,
		     mechanism_on(router->config.bounds.disabled_mechanisms, (enum mechanism)m));
}

const char *router_metrics(const struct router *router, int64_t now, apr_pool_t *pool)
{
	struct text text = { NULL };
	const char *s;

	head(&text, "requests_total", "counter", "Requests that ended, by outcome.");
	for (int i = 0; i < REQUEST_OUTCOMES; i++)
		line(&text, "notchlug_requests_total{outcome=\"%s\"} %" PRIu64, outcome_name[i],
		     router->stats.outcomes[i]);
	state(&text, router, now);
	decisions(&text, router);
	times(&text, router);
	s = apr_pstrmemdup(pool, text.data, (size_t)arrlen(text.data));
	arrfree(text.data);
	return s;
}

/* ---- the log of an experiment ------------------------------------------------------------------------ */

static uint64_t observed(const struct decision_histogram *decision_histogram)
{
	uint64_t count = 0;

	for (int i = 0; i <= DECISION_BUCKETS; i++)
		count += decision_histogram->counts[i];
	return count;
}

/* Totals of one route since this process began, as words and numbers in turn. */
static void log_route(struct router *router, ptrdiff_t route_index)
{
	const struct decision_counts *counts = router->records.decision_counts[route_index];
	char line[700];
	int length = snprintf(line, sizeof line, "route %.60s", router->names.routes.names[route_index]);

	for (int i = 0; i < DECISION_REASONS; i++)
		length += snprintf(line + length, sizeof line - (size_t)length, " %s %" PRIu64,
				   reason_name[i], counts->decisions[i]);
	snprintf(
	    line + length, sizeof line - (size_t)length,
	    " older %" PRIu64 " looked_up %" PRIu64 " missed %" PRIu64 " failed %" PRIu64 " t_kept %" PRIu64
	    " t_fetched %" PRIu64 " t_read %" PRIu64 " t_shared %" PRIu64 " queue_ms %" PRIu64
	    " expected_ms %" PRIu64 " first_ms %" PRIu64 " firsts %" PRIu64 " over_ms %" PRIu64,
	    counts->older_weights, counts->lookups_answered, counts->lookups_missed, counts->no_first_chunk,
	    counts->cached_tokens, counts->fetched_tokens, counts->prefill_tokens,
	    counts->shared_prefill_tokens, counts->queue_ms.sum_ms, counts->expected_ms.sum_ms,
	    counts->first_chunk_ms.sum_ms, observed(&counts->first_chunk_ms), counts->unexpected_ms.sum_ms);
	router->log(router->log_context, "decisions", line);
}

void router_log_decisions(struct router *router, int64_t now)
{
	if (!router->config.bounds.experiments || !router->log ||
	    now - router->records.decisions_logged_at_ms < ROUTER_DECISIONS_LOG_INTERVAL_MS)
		return;
	router->records.decisions_logged_at_ms = now;
	for (ptrdiff_t l = 0; l < arrlen(router->records.decision_counts); l++)
		if (router->records.decision_counts[l])
			log_route(router, l);
}
