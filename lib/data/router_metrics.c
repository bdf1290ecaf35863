/* router_metrics: metrics of a router in the Prometheus text format, and sums of placement decisions in the
 * log of an experiment. Written by hand: the registry of a library would hold every series twice, and memory
 * at routers is scarce, while the format takes one line for each value. Names, labels and help texts are an
 * interface for operators and must not change; tests/plot_decisions reads the log. */
#include "router_internal.h"

#include <apr_strings.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "containers.h"

static const char *const reason_name[DECISION_REASON_COUNT] = { "kept", "fetch", "home", "load", "only" };
static const char *const outcome_name[REQUEST_OUTCOMES] = { "answered", "refused", "rejected", "broken_off",
							    "client_gone" };

enum {
	MAX_LINE_BYTES = 400, /* a longer line is truncated */
	MAX_LABEL_BYTES = 200,
	MAX_LOG_LINE_BYTES = 700
};

/* ---- text ------------------------------------------------------------------------------------ */

/* Text that grows as lines are added. */
struct text_buffer {
	char *data; /* stb_ds */
};

static void __attribute__((format(printf, 2, 3))) add_line(struct text_buffer *text, const char *format, ...)
{
	char line[MAX_LINE_BYTES];
	va_list args;
	int length;

	va_start(args, format);
	length = vsnprintf(line, sizeof line, format, args);
	va_end(args);
	if (length < 0)
		return;
	if (length >= (int)sizeof line - 1)
		length = (int)sizeof line - 2;
	line[length++] = '\n';
	memcpy(arraddnptr(text->data, (size_t)length), line, (size_t)length);
}

static void add_help_and_type(struct text_buffer *text, const char *name, const char *kind, const char *help)
{
	add_line(text, "# HELP notchlug_%s %s", name, help);
	add_line(text, "# TYPE notchlug_%s %s", name, kind);
}

static void add_value(struct text_buffer *text, const char *name, const char *kind, const char *help,
		      double value)
{
	add_help_and_type(text, name, kind, help);
	add_line(text, "notchlug_%s %.10g", name, value);
}

/* Escapes a label value: the format escapes double quotes, backslashes and line feeds. */
static const char *escape_label(const char *value, char *escaped, size_t size)
{
	size_t length = 0;

	for (; *value && length + 3 < size; value++) {
		if (*value == '"' || *value == '\\' || *value == '\n')
			escaped[length++] = '\\';
		escaped[length] = *value;
		if (*value == '\n')
			escaped[length] = 'n';
		length++;
	}
	escaped[length] = 0;
	return escaped;
}

static void add_histogram(struct text_buffer *text, const char *name, const char *route,
			  const struct decision_histogram *histogram)
{
	uint64_t total = 0;

	for (int i = 0; i <= DECISION_BUCKET_COUNT; i++) {
		total += histogram->counts[i];
		if (i < DECISION_BUCKET_COUNT)
			add_line(text, "notchlug_%s_bucket{route=\"%s\",le=\"%d\"} %" PRIu64, name, route,
				 decision_bucket_ms[i], total);
		else
			add_line(text, "notchlug_%s_bucket{route=\"%s\",le=\"+Inf\"} %" PRIu64, name, route,
				 total);
	}
	add_line(text, "notchlug_%s_sum{route=\"%s\"} %" PRIu64, name, route, histogram->sum_ms);
	add_line(text, "notchlug_%s_count{route=\"%s\"} %" PRIu64, name, route, total);
}

/* ---- decisions ------------------------------------------------------------------------------- */

struct decision_counts *router_decision_counts_of(struct router *router, const struct client_request *request)
{
	struct decision_counts **counts;

	while (arrlen(router->records.decision_counts) <= (ptrdiff_t)request->route.index)
		arrput(router->records.decision_counts, NULL);
	counts = &router->records.decision_counts[request->route.index];
	if (!*counts)
		*counts = apr_pcalloc(router->pool, sizeof **counts);
	return *counts;
}

static void add_decision_reasons(struct text_buffer *text, const struct router *router)
{
	char route[MAX_LABEL_BYTES];

	add_help_and_type(text, "decisions_total", "counter",
			  "Sends to servers, by route and by why the server was chosen.");
	for (ptrdiff_t route_index = 0; route_index < arrlen(router->records.decision_counts);
	     route_index++) {
		const struct decision_counts *counts = router->records.decision_counts[route_index];

		for (int i = 0; counts && i < DECISION_REASON_COUNT; i++)
			add_line(text, "notchlug_decisions_total{route=\"%s\",reason=\"%s\"} %" PRIu64,
				 escape_label(router->names.routes.names[route_index], route, sizeof route),
				 reason_name[i], counts->decisions[i]);
	}
}

static void add_decision_facts(struct text_buffer *text, const struct router *router)
{
	char route[MAX_LABEL_BYTES];

	add_help_and_type(
	    text, "decision_facts_total", "counter",
	    "Of those: to older weights, with an answered or a missed lookup, ended without a first piece.");
	for (ptrdiff_t route_index = 0; route_index < arrlen(router->records.decision_counts);
	     route_index++) {
		const struct decision_counts *counts = router->records.decision_counts[route_index];

		if (!counts)
			continue;
		escape_label(router->names.routes.names[route_index], route, sizeof route);
		add_line(text, "notchlug_decision_facts_total{route=\"%s\",fact=\"older_weights\"} %" PRIu64,
			 route, counts->older_weights_count);
		add_line(text, "notchlug_decision_facts_total{route=\"%s\",fact=\"looked_up\"} %" PRIu64,
			 route, counts->lookups_answered);
		add_line(text, "notchlug_decision_facts_total{route=\"%s\",fact=\"lookup_missed\"} %" PRIu64,
			 route, counts->lookups_missed);
		add_line(text, "notchlug_decision_facts_total{route=\"%s\",fact=\"no_first_piece\"} %" PRIu64,
			 route, counts->no_first_chunk_count);
	}
}

static void add_prompt_tokens(struct text_buffer *text, const struct router *router)
{
	char route[MAX_LABEL_BYTES];

	add_help_and_type(
	    text, "prompt_tokens_total", "counter",
	    "Prompt tokens as decided: kept at the server, fetched, read there, and of those read the "
	    "shared ones.");
	for (ptrdiff_t route_index = 0; route_index < arrlen(router->records.decision_counts);
	     route_index++) {
		const struct decision_counts *counts = router->records.decision_counts[route_index];

		if (!counts)
			continue;
		escape_label(router->names.routes.names[route_index], route, sizeof route);
		add_line(text, "notchlug_prompt_tokens_total{route=\"%s\",how=\"kept\"} %" PRIu64, route,
			 counts->cached_tokens);
		add_line(text, "notchlug_prompt_tokens_total{route=\"%s\",how=\"fetched\"} %" PRIu64, route,
			 counts->fetched_tokens);
		add_line(text, "notchlug_prompt_tokens_total{route=\"%s\",how=\"read\"} %" PRIu64, route,
			 counts->prefill_tokens);
		add_line(text, "notchlug_prompt_tokens_total{route=\"%s\",how=\"shared_read\"} %" PRIu64,
			 route, counts->shared_prefill_tokens);
	}
}

static void add_time_histograms(struct text_buffer *text, const struct router *router)
{
	static const struct {
		const char *name, *help;
		size_t offset;
	} histograms[] = {
		{ "queue_ms", "Time from the request, or from its return by a server, to its send.",
		  offsetof(struct decision_counts, queue_ms) },
		{ "expected_ms", "Time to the first piece as it was expected at the send.",
		  offsetof(struct decision_counts, expected_first_chunk_ms) },
		{ "first_piece_ms", "Time from the send to the first piece.",
		  offsetof(struct decision_counts, first_chunk_ms) },
		{ "unexpected_ms", "What of that was beyond what was expected.",
		  offsetof(struct decision_counts, first_chunk_delay_ms) },
	};
	char route[MAX_LABEL_BYTES];

	for (size_t i = 0; i < sizeof histograms / sizeof *histograms; i++) {
		add_help_and_type(text, histograms[i].name, "histogram", histograms[i].help);
		for (ptrdiff_t route_index = 0; route_index < arrlen(router->records.decision_counts);
		     route_index++) {
			const char *counts = (const char *)router->records.decision_counts[route_index];

			if (counts)
				add_histogram(
				    text, histograms[i].name,
				    escape_label(router->names.routes.names[route_index], route,
						 sizeof route),
				    (const struct decision_histogram *)(counts + histograms[i].offset));
		}
	}
}

/* ---- state of the router --------------------------------------------------------------------- */

static void add_request_gauges(struct text_buffer *text, const struct router *router)
{
	uint32_t waiting_count = 0, running_count = 0;

	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++)
		waiting_count += router->queueing.queues[i].waiting_count;
	for (uint32_t server_index = 0;
	     router->config.server_table && server_index < router->config.server_table->server_count;
	     server_index++)
		running_count += (uint32_t)router->servers.states[server_index].own_running_count;
	add_value(text, "waiting_requests", "gauge", "Requests that wait in this router.", waiting_count);
	add_value(text, "running_requests", "gauge", "Requests that this router has at servers.",
		  running_count);
}

static void add_state(struct text_buffer *text, const struct router *router, int64_t now)
{
	add_request_gauges(text, router);
	add_value(text, "index_copies", "gauge", "Copies of prompt parts in the index.",
		  (double)router->cache.index.replica_count);
	add_value(text, "index_untold_servers", "gauge",
		  "Servers whose news this head of a zone has yet to tell.",
		  (double)arrlen(router->feed.unsent_servers));
	add_value(text, "purge_age_ms", "gauge", "Age of what is known of purges.",
		  (double)(now - router->relay.known_at_ms));
	add_value(text, "config_age_ms", "gauge", "Age of the configuration.",
		  (double)config_watch_age_ms(&router->config.watch, now));
	add_value(text, "load_age_ms", "gauge", "Age of what is known of others' load.",
		  (double)(now - router->load.other_routers_at_ms));
	add_value(text, "lookup_ms", "gauge", "What a lookup of a prefix takes, smoothed.",
		  router->lookup.round_trip_ms);
	add_value(text, "lookups_missed_total", "counter", "Lookups that were not answered in time.",
		  (double)router->stats.own_lookups_missed);
	add_value(text, "lookups_served_total", "counter", "Lookups that this router answered for others.",
		  (double)router->stats.lookups_served);
	add_value(text, "resends_total", "counter", "Requests sent once more.",
		  (double)router->stats.retries);
	add_value(text, "recalled_total", "counter", "Sends taken back before their weights' bound.",
		  (double)router->stats.attempts_recalled);
}

static void add_mechanisms(struct text_buffer *text, const struct router *router)
{
	add_help_and_type(text, "mechanism_on", "gauge",
			  "Whether a mechanism is in use; an experiment may switch one off.");
	for (int m = 0; m < MECHANISMS; m++)
		add_line(text, "notchlug_mechanism_on{name=\"%s\"} %d", mechanism_info[m].name,
			 mechanism_in_use(router, (enum mechanism)m));
}

const char *router_metrics(const struct router *router, int64_t now, apr_pool_t *pool)
{
	struct text_buffer text = { NULL };
	const char *copy;

	add_help_and_type(&text, "requests_total", "counter", "Requests that ended, by outcome.");
	for (int i = 0; i < REQUEST_OUTCOMES; i++)
		add_line(&text, "notchlug_requests_total{outcome=\"%s\"} %" PRIu64, outcome_name[i],
			 router->stats.outcomes[i]);
	add_state(&text, router, now);
	add_mechanisms(&text, router);
	add_decision_reasons(&text, router);
	add_decision_facts(&text, router);
	add_prompt_tokens(&text, router);
	add_time_histograms(&text, router);
	copy = apr_pstrmemdup(pool, text.data, (size_t)arrlen(text.data));
	arrfree(text.data);
	return copy;
}

/* ---- the log of an experiment ---------------------------------------------------------------- */

static uint64_t observation_count(const struct decision_histogram *histogram)
{
	uint64_t count = 0;

	for (int i = 0; i <= DECISION_BUCKET_COUNT; i++)
		count += histogram->counts[i];
	return count;
}

/* Logs the totals of one route since the start of this process, as alternating words and numbers. */
static void log_route_totals(struct router *router, ptrdiff_t route_index)
{
	const struct decision_counts *counts = router->records.decision_counts[route_index];
	char line[MAX_LOG_LINE_BYTES];
	int length = snprintf(line, sizeof line, "route %.60s", router->names.routes.names[route_index]);

	for (int i = 0; i < DECISION_REASON_COUNT; i++)
		length += snprintf(line + length, sizeof line - (size_t)length, " %s %" PRIu64,
				   reason_name[i], counts->decisions[i]);
	snprintf(line + length, sizeof line - (size_t)length,
		 " older %" PRIu64 " looked_up %" PRIu64 " missed %" PRIu64 " failed %" PRIu64
		 " t_kept %" PRIu64 " t_fetched %" PRIu64 " t_read %" PRIu64 " t_shared %" PRIu64
		 " queue_ms %" PRIu64 " expected_ms %" PRIu64 " first_ms %" PRIu64 " firsts %" PRIu64
		 " over_ms %" PRIu64,
		 counts->older_weights_count, counts->lookups_answered, counts->lookups_missed,
		 counts->no_first_chunk_count, counts->cached_tokens, counts->fetched_tokens,
		 counts->prefill_tokens, counts->shared_prefill_tokens, counts->queue_ms.sum_ms,
		 counts->expected_first_chunk_ms.sum_ms, counts->first_chunk_ms.sum_ms,
		 observation_count(&counts->first_chunk_ms), counts->first_chunk_delay_ms.sum_ms);
	router->log(router->log_context, "decisions", line);
}

void router_log_decisions(struct router *router, int64_t now)
{
	if (!router->config.bounds.is_experiment || !router->log ||
	    now - router->records.decisions_logged_at_ms < ROUTER_DECISIONS_LOG_INTERVAL_MS)
		return;
	router->records.decisions_logged_at_ms = now;
	for (ptrdiff_t route_index = 0; route_index < arrlen(router->records.decision_counts); route_index++)
		if (router->records.decision_counts[route_index])
			log_route_totals(router, route_index);
}
