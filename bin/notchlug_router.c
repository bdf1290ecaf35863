/* notchlug-router: runs one router of the fleet. It translates the events of the shell (lib/shell) into
 * events of the router (lib/data) and passes the resulting commands back to the shell. With a platform's
 * settings, platform/edge.c serves HTTP in place of the product's own interface. A router stores nothing on
 * disk. */
#include <apr_general.h>
#include <string.h>

#include "router.h"
#include "edge.h"
#include "platform.h"
#include "shell.h"

enum {
	FINAL_RESPONSE_FLUSH_MS = 300, /* left at the end of a planned stop for sending the final responses */
	MAX_SEEDS = 8
};

/* Translates an HTTP request that arrived at the product's own interface. */
static void translate_request(const struct shell_event *event, struct router_event *router_event)
{
	if (!strcmp(event->path, "/v1/exchange") && !strcmp(event->method, "POST")) {
		router_event->kind = ROUTER_EVENT_CLAIMED_REQUEST;
		router_event->args.claimed_request.token = event->token;
		router_event->args.claimed_request.key_digest = event->key_digest;
		router_event->args.claimed_request.body = event->body;
	} else {
		router_event->kind = ROUTER_EVENT_HTTP_GET;
		router_event->args.http_get.token = event->token;
		router_event->args.http_get.path = event->path;
	}
}

/* Translates the end of an HTTP call to a server. A streamed call is an attempt of a client's request; all
 * other calls poll a server's report. */
static void translate_call_result(const struct shell_event *event, struct router_event *router_event)
{
	if (event->is_stream) {
		router_event->kind = ROUTER_EVENT_CALL_ENDED;
		router_event->args.call_ended.token = event->token;
		router_event->args.call_ended.status = event->http_status;
		router_event->args.call_ended.not_started = event->never_sent;
		router_event->args.call_ended.body = event->body;
	} else {
		router_event->kind = ROUTER_EVENT_REPORT_POLLED;
		router_event->args.report_polled.token = event->token;
		router_event->args.report_polled.status = event->http_status;
		router_event->args.report_polled.body = event->body;
	}
}

/* Translates an event of the shell. Returns 0 for an event that the router does not handle. */
static int translate_event(const struct shell_event *event, int64_t now, struct router_event *router_event)
{
	switch (event->kind) {
	case SHELL_EVENT_MESSAGE:
		router_event->kind = ROUTER_EVENT_MESSAGE;
		router_event->args.message = event->message;
		return 1;
	case SHELL_EVENT_REQUEST:
		translate_request(event, router_event);
		return 1;
	case SHELL_EVENT_DISCONNECTED:
		router_event->kind = ROUTER_EVENT_CLIENT_DISCONNECTED;
		router_event->args.client_disconnected.token = event->token;
		return 1;
	case SHELL_EVENT_CHUNK:
		router_event->kind = ROUTER_EVENT_STREAM_CHUNK;
		router_event->args.stream_chunk.token = event->token;
		router_event->args.stream_chunk.text = event->body;
		return 1;
	case SHELL_EVENT_CALL_DONE:
		translate_call_result(event, router_event);
		return 1;
	case SHELL_EVENT_STOP:
		router_event->kind = ROUTER_EVENT_SHUTDOWN;
		router_event->args.shutdown.send_deadline_at_ms = now + (event->deadline_ms - now) / 2;
		router_event->args.shutdown.end_deadline_at_ms = event->deadline_ms - FINAL_RESPONSE_FLUSH_MS;
		return 1;
	default:
		return 0;
	}
}

/* Steps the router with an event of the shell. event NULL: a timer tick. */
static void step_shell_event(void *context, const struct shell_event *event, int64_t now,
			     struct command_list *commands)
{
	struct router *router = context;
	struct router_event router_event;

	memset(&router_event, 0, sizeof router_event);
	router_event.kind = ROUTER_EVENT_TICK;
	if (!event || translate_event(event, now, &router_event))
		router_step(router, &router_event, now, commands);
}

/* Parses the addresses of the seed controllers. Returns their number. */
static int parse_seed_addrs(const struct settings *settings, uint64_t seeds[MAX_SEEDS])
{
	for (int i = 0; i < settings->seed_count; i++)
		seeds[i] = core_parse_addr(settings->seeds[i]);
	return settings->seed_count;
}

static void on_settings_changed(void *context, const struct settings *settings)
{
	struct router *router = context;
	uint64_t seeds[MAX_SEEDS];
	int seed_count = parse_seed_addrs(settings, seeds);

	config_watch_set_seeds(&router->config.watch, seeds, seed_count);
	router->config.bounds = settings->bounds;
}

static int is_idle(void *context)
{
	return router_idle(context);
}

static int64_t streams_valid_until(void *context)
{
	return router_config_valid_until(context);
}

static void write_log(void *context, const char *prefix, const char *line)
{
	(void)context;
	log_write(LOG_INFO, prefix, "%s", line);
}

static void open_router(struct router *router, const struct settings *settings)
{
	uint64_t seeds[MAX_SEEDS];
	int seed_count = parse_seed_addrs(settings, seeds);
	const char *address = settings->advertised_addr ? settings->advertised_addr : settings->listen_addr;

	router_open(router, process_random_id(), core_parse_addr(address), settings->zone, seeds, seed_count,
		    clock_ms());
	if (settings->front_end_settings)
		router->config.bounds = settings->bounds;
	router->config.bounds.disabled_mechanisms = settings->disabled_mechanisms;
	router->config.bounds.is_experiment = settings->are_experiments_allowed;
}

int main(int argc, char **argv)
{
	struct process process;
	struct router router;
	struct edge edge;
	struct process_handlers handlers = { &router, step_shell_event, is_idle, streams_valid_until,
					     on_settings_changed };
	const struct platform *platform;
	int rc;

	process_ignore_hangup();
	memset(&process, 0, sizeof process);
	apr_initialize();
	apr_pool_create(&process.pool, NULL);
	log_open("notchlug-router");
	process.settings.read_external = platform_read_settings;
	rc = settings_read(&process.settings, "notchlug-router", 0, argc, argv, process.pool);
	if (rc >= 0)
		goto end;
	rc = 1;
	platform = process.settings.front_end_settings;
	memset(&edge, 0, sizeof edge);
	edge.router = &router;
	if (platform) {
		process.front_end = &platform_edge;
		process.front_end_context = &edge;
	}
	open_router(&router, &process.settings);
	if (!process_open(&process))
		goto end;
	router.log = write_log;
	log_write(LOG_INFO, "router", "Serving clients at %s in zone %s.",
		  platform ? platform->front_addr : process.settings.http_addr, process.settings.zone);
	rc = process_run(&process, &handlers);
	router_close(&router);
end:
	apr_pool_destroy(process.pool);
	apr_terminate();
	return rc;
}
