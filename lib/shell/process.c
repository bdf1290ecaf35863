/* process: the main loop of a program; see process.h.
 * The thread that owns the state removes events from the ring one by one, steps the core with each event, and
 * performs the commands of that step before the next step. */
#include "process.h"

#include <string.h>
#include <sys/random.h>

#include "api_server.h"
#include "clock.h"
#include "core.h"
#include "containers.h"
#include "log.h"
#include "mechanism.h"
#include "process_internal.h"
#include "ring.h"
#include "server_calls.h"
#include "shell_event.h"
#include "storage.h"
#include "transport.h"

enum {
	TICK_INTERVAL_MS = 25,
	DISCONNECT_SCAN_INTERVAL_MS = 250, /* interval of the scan for disconnected clients */
	DEFAULT_STOP_GRACE_MS = 30000,     /* maximum duration of a planned stop if the settings have none */
	EVENT_RING_CAPACITY = 65536,
	MAX_EVENT_BATCH = 64, /* maximum number of events between two checks of timers */
	FINAL_FLUSH_MS = 50   /* duration at the end of a stop in which the last answers are sent */
};

/* The state of the main loop. */
struct loop {
	struct process *process;
	const struct process_handlers *handlers;
	struct settings_watch external_settings; /* detects changes of external settings */
	int64_t last_tick_ms;
	int64_t last_scan_ms;
	bool events_pending; /* the last batch was full, so the ring may contain more events */
};

uint64_t process_random_id(void)
{
	uint64_t value = 0;

	while (getrandom(&value, sizeof value, 0) != sizeof value)
		;
	return value | 1;
}

/* ---- opening ---- */

static void log_disabled_mechanisms(const struct settings *settings)
{
	for (int i = 0; i < MECHANISMS; i++)
		if (!mechanism_is_enabled(settings->disabled_mechanisms, (enum mechanism)i))
			log_write(LOG_WARN, "experiment", "Without %s: this mechanism is disabled (%s).",
				  mechanism_info[i].name, mechanism_info[i].description);
}

static int open_front_end(struct process *process)
{
	if (!process->front_end->open(process->front_end_context, process))
		return 0;
	ring_set_on_push(process->events, process->front_end->wake, process->front_end_context);
	return 1;
}

static int open_product_interface(struct process *process)
{
	process->api_server = api_server_open(process->settings.http_addr, process->events, process->pool);
	if (!process->api_server)
		return 0;
	process->server_calls = server_calls_open(process->events, process->pool);
	return process->server_calls != NULL;
}

int process_open(struct process *process)
{
	const struct settings *settings = &process->settings;

	log_disabled_mechanisms(settings);
	process_install_signal_handlers(settings);
	if (!process->events)
		ring_open(&process->events, EVENT_RING_CAPACITY, process->pool);
	process->advertised_addr =
	    core_parse_addr(settings->advertised_addr ? settings->advertised_addr : settings->listen_addr);
	apr_pool_create(&process->commands.pool, NULL);
	process->transport = transport_open(settings->listen_addr, process->events, process->pool);
	if (!process->transport)
		return 0;
	return process->front_end ? open_front_end(process) : open_product_interface(process);
}

/* ---- commands ---- */

static void perform_command(struct process *process, struct command *command)
{
	switch (command->kind) {
	case CMD_SEND:
		transport_send(process->transport, command->args.send.addr, command->args.send.msg);
		break;
	case CMD_PERSIST:
		storage_write(process->storage, command->args.persist);
		break;
	case CMD_ANSWER:
		api_server_respond(process->api_server, command->args.answer.token,
				   command->args.answer.status, command->args.answer.retry_after_ms,
				   command->args.answer.body, command->args.answer.not_after_ms);
		break;
	case CMD_STREAM_CHUNK:
		api_server_stream_write(process->api_server, command->args.stream_chunk.token,
					command->args.stream_chunk.body, command->args.stream_chunk.len, 0,
					1);
		break;
	case CMD_END_STREAM:
		api_server_stream_write(process->api_server, command->args.stream_chunk.token,
					command->args.stream_chunk.body, command->args.stream_chunk.len, 1,
					command->args.stream_chunk.success);
		break;
	case CMD_CALL:
		server_calls_start(process->server_calls, command->args.call.token, command->args.call.addr,
				   command->args.call.path, command->args.call.body,
				   command->args.call.timeout_ms, command->args.call.is_stream,
				   command->args.call.not_after_ms);
		break;
	case CMD_CANCEL:
		server_calls_cancel(process->server_calls, command->args.cancel.token);
		break;
	case CMD_FORWARD:
	case CMD_LIST_SERVERS:
	case CMD_POLL_REPORT:
	case CMD_LOAD_WEIGHTS:
	case CMD_WATCH_CACHE:
		break; /* only front ends perform these commands */
	}
}

void process_perform(struct process *process)
{
	for (ptrdiff_t i = 0; i < arrlen(process->commands.commands); i++) {
		struct command *command = &process->commands.commands[i];

		if (process->front_end && process->front_end->perform(process->front_end_context, command))
			continue;
		perform_command(process, command);
	}
	command_list_clear(&process->commands);
}

/* ---- the loop ---- */

static void run_step(struct loop *loop, const struct shell_event *event, int64_t now)
{
	loop->handlers->step_shell_event(loop->handlers->context, event, now, &loop->process->commands);
	process_perform(loop->process);
}

static void begin_stop(struct loop *loop, int64_t now)
{
	struct process *process = loop->process;
	struct shell_event stop = { .kind = SHELL_EVENT_STOP };

	log_write(LOG_INFO, "process", "Shutting down: waiting for requests in progress to end.");
	process->is_stopping = 1;
	process->stop_deadline_ms =
	    now + (process->settings.stop_grace_ms ? process->settings.stop_grace_ms : DEFAULT_STOP_GRACE_MS);
	stop.deadline_ms = process->stop_deadline_ms;
	if (process->front_end) {
		process->front_end->begin_stop(process->front_end_context, now);
		process_perform(process);
	} else {
		run_step(loop, &stop, now);
	}
}

static bool is_stop_complete(const struct loop *loop, int64_t now)
{
	const struct process *process = loop->process;

	if (!process->is_stopping)
		return false;
	if (loop->handlers->is_idle(loop->handlers->context) &&
	    (!process->front_end || process->front_end->is_idle(process->front_end_context, now)))
		return true;
	return now >= process->stop_deadline_ms;
}

/* Steps the core and scans for disconnected clients if their intervals have passed. */
static void run_timers(struct loop *loop, int64_t now)
{
	struct process *process = loop->process;
	const struct process_handlers *handlers = loop->handlers;

	if (now - loop->last_tick_ms >= TICK_INTERVAL_MS) {
		loop->last_tick_ms = now;
		run_step(loop, NULL, now);
		if (handlers->streams_valid_until_ms && !process->front_end)
			api_server_set_streams_valid_until(
			    process->api_server, handlers->streams_valid_until_ms(handlers->context));
	}
	if (!process->front_end && now - loop->last_scan_ms >= DISCONNECT_SCAN_INTERVAL_MS) {
		loop->last_scan_ms = now;
		api_server_report_disconnected(process->api_server);
	}
}

/* Waits for the next event until the next tick is due; returns NULL if there is none. A front end serves its
 * sockets meanwhile. It is woken only by a push into an empty ring, so it does not wait if the ring already
 * has events. */
static struct shell_event *wait_for_event(const struct loop *loop, int64_t now)
{
	const struct process *process = loop->process;
	int64_t next_tick_ms = loop->last_tick_ms + TICK_INTERVAL_MS;
	int wait_ms = next_tick_ms > now ? (int)(next_tick_ms - now) : 0;

	if (!process->front_end)
		return ring_pop(process->events, wait_ms);
	process->front_end->serve_sockets(process->front_end_context, loop->events_pending ? 0 : wait_ms);
	return ring_pop(process->events, 0);
}

static void handle_event(struct loop *loop, struct shell_event *event)
{
	run_step(loop, event, clock_ms());
	shell_event_free(event);
}

static void handle_events(struct loop *loop, int64_t now)
{
	struct shell_event *event = wait_for_event(loop, now);

	for (int i = 0; event && i < MAX_EVENT_BATCH; i++) {
		handle_event(loop, event);
		event = ring_pop(loop->process->events, 0);
	}
	loop->events_pending = event != NULL;
	if (event) /* it was already removed from the ring, so it must be handled now */
		handle_event(loop, event);
}

/* ---- closing ---- */

/* Serves the interface for FINAL_FLUSH_MS, so that the last answers are sent. */
static void flush_answers(const struct process *process)
{
	int64_t now = clock_ms();
	int64_t end_ms = now + FINAL_FLUSH_MS;

	if (!process->front_end) {
		apr_sleep(apr_time_from_msec(FINAL_FLUSH_MS));
		return;
	}
	for (; now < end_ms; now = clock_ms())
		process->front_end->serve_sockets(process->front_end_context, (int)(end_ms - now));
}

static void discard_events(struct process *process)
{
	struct shell_event *event;

	while ((event = ring_pop(process->events, 0)))
		shell_event_free(event);
}

/* Closes all modules. Events are no longer handled; the ring is emptied so that no thread blocks on a push
 * while it is being joined. */
static void close_all(struct process *process)
{
	if (process->front_end) {
		ring_set_on_push(process->events, NULL, NULL);
		process->front_end->close(process->front_end_context);
	} else {
		api_server_close(process->api_server);
	}
	discard_events(process);
	if (!process->front_end)
		server_calls_close(process->server_calls);
	transport_close(process->transport);
	if (process->storage)
		storage_close(process->storage);
	discard_events(process);
	arrfree(process->commands.commands);
	apr_pool_destroy(process->commands.pool);
}

int process_run(struct process *process, const struct process_handlers *handlers)
{
	struct loop loop = { .process = process, .handlers = handlers };

	for (;;) {
		int64_t now = clock_ms();

		settings_watch_poll(&loop.external_settings, process, handlers, now);
		if (process_stop_requested() && !process->is_stopping)
			begin_stop(&loop, now);
		if (is_stop_complete(&loop, now))
			break;
		run_timers(&loop, now);
		handle_events(&loop, now);
	}
	flush_answers(process);
	close_all(process);
	log_write(LOG_INFO, "process", "Ended.");
	return 0;
}
