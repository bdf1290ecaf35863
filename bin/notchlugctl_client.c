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
	REQUEST_ATTEMPT_TIMEOUT_MS = 8000, /* limit of one attempt to send a change */
	REQUEST_RETRY_PERIOD_MS = 20000,   /* how long a change of unknown outcome is retried */
	REQUEST_BACKOFF_MS = 200,          /* before the first retry; doubles with each retry */
	REQUEST_BACKOFF_MAX_MS = 1600,
	READ_RETRY_PERIOD_MS = 8000, /* how long a read without a usable answer is retried */
	READ_BACKOFF_MS = 200,       /* before each retry */
	MAX_CONTROLLERS = 8
};

apr_pool_t *pool;
const char *controller_addr = "127.0.0.1:8000";
const char *idempotency_key;

static const char *controllers[MAX_CONTROLLERS]; /* addresses in the order of --at */
static int controller_count;
static int current_controller; /* index into controllers */

int is_status_unclear(int status)
{
	return !status || status == 408 || status == 429 || status >= 500;
}

static void use_next_controller(void)
{
	current_controller = (current_controller + 1) % controller_count;
	controller_addr = controllers[current_controller];
}

int read_with_retry(const char *path, int attempt_timeout_ms, char **body)
{
	int64_t deadline_ms = clock_ms() + READ_RETRY_PERIOD_MS;
	int status;

	while (is_status_unclear(status = http_call_blocking("GET", controller_addr, path, NULL, NULL,
							     attempt_timeout_ms, body)) &&
	       clock_ms() < deadline_ms) {
		free(*body);
		*body = NULL;
		apr_sleep(apr_time_from_msec(READ_BACKOFF_MS));
		use_next_controller();
	}
	return status;
}

/* Returns a random idempotency key of 128 bits as hexadecimal digits, allocated in pool. */
static const char *new_idempotency_key(void)
{
	unsigned char random_bytes[16];
	char *key = apr_palloc(pool, 2 * sizeof random_bytes + 1);

	if (apr_generate_random_bytes(random_bytes, sizeof random_bytes) != APR_SUCCESS)
		abort();
	for (size_t i = 0; i < sizeof random_bytes; i++)
		apr_snprintf(key + 2 * i, 3, "%02x", random_bytes[i]);
	return key;
}

int parse_controller_list(const char *list)
{
	char *list_copy = apr_pstrdup(pool, list), *strtok_state = NULL;

	for (char *address = apr_strtok(list_copy, ",", &strtok_state); address;
	     address = apr_strtok(NULL, ",", &strtok_state)) {
		if (!core_parse_addr(address) ||
		    controller_count == (int)(sizeof controllers / sizeof *controllers))
			return 0;
		controllers[controller_count++] = address;
	}
	controller_addr = controllers[0];
	return controller_count > 0;
}

int send_request_with_retry(const char *path, struct json_object *request, char **body)
{
	const char *request_text = json_object_to_json_string_ext(request, JSON_C_TO_STRING_PLAIN);
	const char *key = idempotency_key ? idempotency_key : new_idempotency_key();
	int64_t deadline_ms = clock_ms() + REQUEST_RETRY_PERIOD_MS;
	int backoff_ms = REQUEST_BACKOFF_MS, status;

	while (is_status_unclear(status = http_command_blocking(controller_addr, path, key, request_text,
								REQUEST_ATTEMPT_TIMEOUT_MS, body)) &&
	       clock_ms() < deadline_ms) {
		free(*body);
		apr_sleep(apr_time_from_msec(backoff_ms));
		use_next_controller();
		backoff_ms = backoff_ms < REQUEST_BACKOFF_MAX_MS ? 2 * backoff_ms : REQUEST_BACKOFF_MAX_MS;
	}
	if (is_status_unclear(status))
		fprintf(
		    stderr,
		    "notchlugctl: request outcome unknown; to retry without applying it twice, repeat the command with --key %s\n",
		    key);
	return status;
}

int change_exit_code(int status)
{
	if (status == 200)
		return OK;
	if (status == 409)
		return CONFLICT;
	return is_status_unclear(status) ? UNREACHABLE : REJECTED;
}

int single_call_exit_code(int status)
{
	if (status == 200)
		return OK;
	return status ? REJECTED : UNREACHABLE;
}
