/* The list of servers: lags, comes in pages, answers so many calls a second. */
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "platform_emulator.h"

struct listed_server {
	bool is_listed;
	int version;
	enum server_state state;
	char instance[32];
};
struct listing_change {
	struct list *list;
	struct server *server;
	struct listed_server listing;
	uint64_t timer;
};

struct list {
	struct server_fleet *fleet;
	struct port *port;
	struct list_settings settings;
	struct listed_server *listed; /* by the server's number */
	struct listing_change **pending_changes;
	double rate_tokens;
	int64_t tokens_updated_at_us;
	uint64_t call_count;
};

enum { CRASHED_STAYS_MS = 3000 };

static void apply_listing(void *ctx)
{
	struct listing_change *change = ctx;
	struct list *list = change->list;
	struct listed_server *listed = &list->listed[change->server->index], old = *listed;

	for (int i = 0; i < arrlen(list->pending_changes); i++)
		if (list->pending_changes[i] == change) {
			arrdel(list->pending_changes, i);
			break;
		}
	*listed = change->listing;
	if (list->fleet->checker && old.is_listed && strcmp(old.instance, listed->instance))
		checker_record_listing(list->fleet->checker, fleet_ms(list->fleet), old.instance,
				       LISTED_REMOVED);
	if (list->fleet->checker && listed->state == STATE_DRAINING && listed->is_listed)
		checker_record_listing(list->fleet->checker, fleet_ms(list->fleet), listed->instance,
				       LISTED_DRAINING);
	if (list->fleet->checker && !listed->is_listed && old.is_listed)
		checker_record_listing(list->fleet->checker, fleet_ms(list->fleet), listed->instance,
				       LISTED_REMOVED);
	free(change);
}

void list_server_changed(struct list *list, struct server *server)
{
	struct listing_change *change;
	double lag;
	int was;

	if (server->is_store)
		return;
	while (arrlen(list->listed) <= server->index) {
		struct listed_server none;

		memset(&none, 0, sizeof none);
		arrput(list->listed, none);
	}
	was = list->listed[server->index].state;
	change = calloc(1, sizeof *change);
	change->list = list;
	change->server = server;
	change->listing.is_listed = server->state != STATE_DOWN;
	change->listing.state = server->state;
	change->listing.version = server->version;
	snprintf(change->listing.instance, sizeof change->listing.instance, "%s", server->instance);
	lag = list->settings.lag_ms * (0.3 + 0.7 * emulator_random_unit(&list->fleet->rng));
	if (server->state == STATE_DOWN && was == STATE_UP)
		lag += CRASHED_STAYS_MS; /* the list learns of a crash by a time-out alone */
	for (int i = arrlen(list->pending_changes) - 1; i >= 0; i--) /* what changes later shows later */
		if (list->pending_changes[i]->server == server && server->state != STATE_DOWN) {
			loop_cancel(list->fleet->loop, list->pending_changes[i]->timer);
			free(list->pending_changes[i]);
			arrdel(list->pending_changes, i);
		}
	arrput(list->pending_changes, change);
	change->timer = loop_after(list->fleet->loop, ms_us(lag), apply_listing, change);
}

/* One call's share of the rate; 0: none is left. */
static int refill_rate_tokens(struct list *list)
{
	int64_t now = loop_us();

	list->rate_tokens += list->settings.rate * (double)(now - list->tokens_updated_at_us) / 1e6;
	list->tokens_updated_at_us = now;
	if (list->rate_tokens > list->settings.rate)
		list->rate_tokens = list->settings.rate;
	return list->rate_tokens >= 1;
}

/* Whether a call's zone, as it stands in the target behind "Zone=", is this one; any is if it names none. */
static int is_requested_zone(const char *requested, const char *zone)
{
	size_t length = strlen(zone);

	return !requested ||
	       (!strncmp(requested, zone, length) && (!requested[length] || requested[length] == '&'));
}

static struct json_object *instance_json(const struct list *list, const struct server *server,
					 const struct listed_server *listed)
{
	struct json_object *json = json_object_new_object(), *models = json_object_new_array(),
			   *model = json_object_new_object();

	json_object_object_add(model, "Name", json_object_new_string(list->fleet->model));
	json_object_object_add(model, "ConfigVersion", json_object_new_int(listed->version));
	json_object_object_add(model, "Adapters", json_object_new_array());
	json_object_array_add(models, model);
	json_object_object_add(json, "ServiceName", json_object_new_string(server->service));
	json_object_object_add(json, "Address", json_object_new_string(server->address));
	json_object_object_add(json, "Zone", json_object_new_string(server->zone));
	json_object_object_add(json, "ConfigVersion", json_object_new_string("v1"));
	json_object_object_add(json, "SlotCount", json_object_new_int(list->fleet->engine.slots));
	json_object_object_add(
	    json, "State", json_object_new_string(listed->state == STATE_DRAINING ? "draining" : "ready"));
	json_object_object_add(json, "ColdLeftMs", json_object_new_int(0));
	json_object_object_add(json, "Stage", json_object_new_string("combined"));
	json_object_object_add(json, "Models", models);
	json_object_object_add(json, "InstanceId", json_object_new_string(listed->instance));
	return json;
}

/* A page of the list from a server's index on; zone NULL: of all zones. */
static struct json_object *page_json(const struct list *list, const char *zone, int from)
{
	struct json_object *json = json_object_new_object(), *instances = json_object_new_array();
	int count = 0, next = 0;
	char token[32];

	for (int i = from; i < arrlen(list->listed) && !next; i++) {
		const struct server *server = list->fleet->servers[i];

		if (!list->listed[i].is_listed || !is_requested_zone(zone, server->zone))
			continue;
		if (count == list->settings.page) {
			next = i;
			break;
		}
		count++;
		json_object_array_add(instances, instance_json(list, server, &list->listed[i]));
	}
	json_object_object_add(json, "Instances", instances);
	snprintf(token, sizeof token, "p-%d", next);
	json_object_object_add(json, "NextToken", next ? json_object_new_string(token) : NULL);
	return json;
}

static void on_request(void *ctx, struct conn *conn, struct http_message *message)
{
	struct list *list = ctx;
	const char *zone = strstr(message->target, "Zone="), *page = strstr(message->target, "PageToken=p-");
	int has_token;
	struct json_object *json;
	const char *text;

	list->call_count++;
	if (list->settings.verbose)
		fprintf(stderr, "notchlug-emulator: list: %s\n", message->target);
	has_token = refill_rate_tokens(list);
	if (strcmp(message->method, "GET") || strncmp(message->target, "/instances", 10)) {
		conn_answer(conn, 404, "", "", 0, 1);
		return;
	}
	if (!has_token) {
		conn_answer(conn, 429, "Retry-After: 0.2\r\n", "", 0, 1);
		return;
	}
	list->rate_tokens--;
	json = page_json(list, zone ? zone + 5 : NULL, page ? atoi(page + 12) : 0);
	text = json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN);
	conn_answer(conn, 200, "Content-Type: application/json\r\n", text, strlen(text), 1);
	json_object_put(json);
}

struct list *list_open(struct server_fleet *fleet, const struct list_settings *settings)
{
	static const struct conn_handlers handlers = { .request = on_request };
	struct list *list = calloc(1, sizeof *list);

	list->fleet = fleet;
	list->settings = *settings;
	list->rate_tokens = settings->rate;
	list->tokens_updated_at_us = loop_us();
	list->port = port_open(fleet->loop, settings->addr, &handlers, list, 0);
	if (!list->port) {
		free(list);
		return NULL;
	}
	fleet->list = list;
	for (int i = 0; i < arrlen(fleet->servers); i++)
		list_server_changed(list, fleet->servers[i]);
	return list;
}

uint64_t list_calls(const struct list *list)
{
	return list->call_count;
}

void list_close(struct list *list)
{
	for (int i = 0; i < arrlen(list->pending_changes); i++) {
		loop_cancel(list->fleet->loop, list->pending_changes[i]->timer);
		free(list->pending_changes[i]);
	}
	arrfree(list->pending_changes);
	arrfree(list->listed);
	port_close(list->port, 0);
	list->fleet->list = NULL;
	free(list);
}
