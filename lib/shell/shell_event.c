/* shell_event: see shell_event.h. */
#include "shell_event.h"

#include <stdlib.h>

#include "notchlug.pb-c.h"

struct shell_event *shell_event_new(enum shell_event_kind kind)
{
	struct shell_event *event = calloc(1, sizeof *event);

	if (!event)
		abort();
	event->kind = kind;
	return event;
}

void shell_event_free(struct shell_event *event)
{
	if (!event)
		return;
	if (event->message)
		nl__msg__free_unpacked(event->message, NULL);
	free(event->method);
	free(event->path);
	free(event->key_digest);
	free(event->idempotency_key);
	free(event->body);
	free(event);
}
