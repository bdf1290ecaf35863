/* counter: an edge of the fleet. */
#include <apr_general.h>
#include <string.h>

#include "router.h"
#include "edge.h"
#include "platform.h"
#include "shell.h"

enum { LAST_ANSWERS_MS = 300 }; /* before the end of a planned stop: for the last answers to leave */

static void step(void *ctx, const struct shell_event *event, int64_t now, struct command_list *out)
{
	struct router *c = ctx;
	struct router_event ev;

	memset(&ev, 0, sizeof ev);
	if (!event) {
		ev.kind = ROUTER_EVENT_TICK;
	} else
		switch (event->kind) {
		case SHELL_EVENT_MESSAGE:
			ev.kind = ROUTER_EVENT_MESSAGE;
			ev.args.message = event->message;
			break;
		case SHELL_EVENT_REQUEST:
			if (!strcmp(event->path, "/v1/exchange") && !strcmp(event->method, "POST")) {
				ev.kind = ROUTER_EVENT_CLAIMED_REQUEST;
				ev.args.claimed_request.token = event->token;
				ev.args.claimed_request.key_digest = event->key_digest;
				ev.args.claimed_request.body = event->body;
			} else {
				ev.kind = ROUTER_EVENT_HTTP_GET;
				ev.args.http_get.token = event->token;
				ev.args.http_get.path = event->path;
			}
			break;
		case SHELL_EVENT_DISCONNECTED:
			ev.kind = ROUTER_EVENT_CLIENT_DISCONNECTED;
			ev.args.client_disconnected.token = event->token;
			break;
		case SHELL_EVENT_CHUNK:
			ev.kind = ROUTER_EVENT_STREAM_CHUNK;
			ev.args.stream_chunk.token = event->token;
			ev.args.stream_chunk.text = event->body;
			break;
		case SHELL_EVENT_CALL_DONE:
			if (event->is_stream) {
				ev.kind = ROUTER_EVENT_CALL_ENDED;
				ev.args.call_ended.token = event->token;
				ev.args.call_ended.status = event->status;
				ev.args.call_ended.not_started = event->never_sent;
				ev.args.call_ended.body = event->body;
			} else {
				ev.kind = ROUTER_EVENT_REPORT_POLLED;
				ev.args.report_polled.token = event->token;
				ev.args.report_polled.status = event->status;
				ev.args.report_polled.body = event->body;
			}
			break;
		case SHELL_EVENT_STOP:
			ev.kind = ROUTER_EVENT_STOP;
			ev.args.shutdown.send_deadline_at_ms = now + (event->deadline_ms - now) / 2;
			ev.args.shutdown.run_deadline_at_ms = event->deadline_ms - LAST_ANSWERS_MS;
			break;
		default:
			return;
		}
	router_step(c, &ev, now, out);
}

static void changed(void *ctx, const struct settings *s)
{
	struct router *router = ctx;
	uint64_t seeds[8];

	for (int i = 0; i < s->seed_count; i++)
		seeds[i] = core_parse_addr(s->seeds[i]);
	config_watch_set_seeds(&router->config.watch, seeds, s->seed_count);
	router->config.bounds = s->bounds;
}

static int done(void *ctx)
{
	return router_idle(ctx);
}
static int64_t good(void *ctx)
{
	return router_config_valid_until(ctx);
}

static void say(void *ctx, const char *prefix, const char *line)
{
	(void)ctx;
	log_write(LOG_INFO, prefix, "%s", line);
}

int main(int argc, char **argv)
{
	struct process proc;
	struct router c;
	struct edge edge;
	struct process_handlers d = { &c, step, done, good, changed };
	uint64_t seeds[8];
	int rc;

	process_ignore_hangup();
	memset(&proc, 0, sizeof proc);
	apr_initialize();
	apr_pool_create(&proc.pool, NULL);
	log_open("notchlug-router");
	proc.settings.read_external = platform_settings;
	rc = settings_read(&proc.settings, "notchlug-router", 0, argc, argv, proc.pool);
	if (rc >= 0)
		goto end;
	rc = 1;
	for (int i = 0; i < proc.settings.seed_count; i++)
		seeds[i] = core_parse_addr(proc.settings.seeds[i]);
	memset(&edge, 0, sizeof edge);
	edge.router = &c;
	if (proc.settings.extension) { /* another language than the product's own */
		proc.front_end = &platform_edge;
		proc.front_end_context = &edge;
	}
	router_open(&c, process_random_id(),
		    core_parse_addr(proc.settings.advertise ? proc.settings.advertise : proc.settings.listen),
		    proc.settings.zone, seeds, proc.settings.seed_count, clock_ms());
	if (proc.settings.extension)
		c.config.bounds = proc.settings.bounds;
	c.config.bounds.disabled_mechanisms = proc.settings.disabled_mechanisms;
	c.config.bounds.experiments = proc.settings.experiments_allowed;
	if (!process_open(&proc))
		goto end;
	c.log = say;
	log_write(LOG_INFO, "counter", "Serves callers at %s in zone %s.",
		  proc.settings.extension ? ((struct platform *)proc.settings.extension)->front_addr
					  : proc.settings.web,
		  proc.settings.zone);
	rc = process_run(&proc, &d);
	router_close(&c);
end:
	apr_pool_destroy(proc.pool);
	apr_terminate();
	return rc;
}
