#include "notchlugctl_client.h"

#include <apr_general.h>
#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli_support.h"
#include "core.h"
#include "shell.h"

enum {
	REQUEST_TIMEOUT_MS = 8000,    /* for one attempt of a request */
	REQUEST_RETRY_FOR_MS = 20000, /* for which a request without a clear answer is sent again */
	REQUEST_BACKOFF_MS = 200,     /* before it is; twice as long each time, up to */
	REQUEST_BACKOFF_MAX_MS = 1600,
	READ_RETRY_FOR_MS = 8000, /* for which a read without a clear answer is made again */
	READ_BACKOFF_MS = 200,
	MAX_CONTROLLERS = 8
};

apr_pool_t *pool;
const char *controller_addr = "127.0.0.1:8000";
const char *idempotency_key;

static const char *controllers[MAX_CONTROLLERS]; /* the addresses that --at lists */
static int controller_count;
static int current_controller;

int is_unclear(int status)
{
	return !status || status == 408 || status == 429 || status >= 500;
}

static void use_next_controller(void)
{
	current_controller = (current_controller + 1) % controller_count;
	controller_addr = controllers[current_controller];
}

int read_path(const char *path, int limit_ms, char **body)
{
	int64_t end = clock_ms() + READ_RETRY_FOR_MS;
	int status;

	while (is_unclear(status =
			      http_call_blocking("GET", controller_addr, path, NULL, NULL, limit_ms, body)) &&
	       clock_ms() < end) {
		free(*body);
		*body = NULL;
		apr_sleep(apr_time_from_msec(READ_BACKOFF_MS));
		use_next_controller();
	}
	return status;
}

/* A key that no other request has, in the pool. */
static const char *new_key(void)
{
	unsigned char random[16];
	char *key = apr_palloc(pool, 2 * sizeof random + 1);

	if (apr_generate_random_bytes(random, sizeof random) != APR_SUCCESS)
		abort();
	for (size_t i = 0; i < sizeof random; i++)
		apr_snprintf(key + 2 * i, 3, "%02x", random[i]);
	return key;
}

int parse_controllers(const char *list)
{
	char *copy = apr_pstrdup(pool, list), *rest = NULL;

	for (char *address = apr_strtok(copy, ",", &rest); address; address = apr_strtok(NULL, ",", &rest)) {
		if (!core_parse_addr(address) ||
		    controller_count == (int)(sizeof controllers / sizeof *controllers))
			return 0;
		controllers[controller_count++] = address;
	}
	controller_addr = controllers[0];
	return controller_count > 0;
}

int send_request(const char *path, struct json_object *request, char **body)
{
	const char *text = json_object_to_json_string_ext(request, JSON_C_TO_STRING_PLAIN);
	const char *key = idempotency_key ? idempotency_key : new_key();
	int64_t end = clock_ms() + REQUEST_RETRY_FOR_MS;
	int pause_ms = REQUEST_BACKOFF_MS, status;

	while (is_unclear(status = http_command_blocking(controller_addr, path, key, text, REQUEST_TIMEOUT_MS,
							 body)) &&
	       clock_ms() < end) {
		free(*body);
		apr_sleep(apr_time_from_msec(pause_ms));
		use_next_controller();
		pause_ms = pause_ms < REQUEST_BACKOFF_MAX_MS ? 2 * pause_ms : REQUEST_BACKOFF_MAX_MS;
	}
	if (is_unclear(status))
		fprintf(
		    stderr,
		    "notchlugctl: the outcome is not known; the same command with --key %s sends this order again\n",
		    key);
	return status;
}

int exit_code(int status)
{
	if (status == 200)
		return OK;
	if (status == 409)
		return CONFLICT;
	return is_unclear(status) ? UNREACHABLE : REJECTED;
}

int single_call_exit_code(int status)
{
	if (status == 200)
		return OK;
	return status ? REJECTED : UNREACHABLE;
}
