/* transport: messages between the fleet's own processes, over TCP.
 * A message may be lost when a connection breaks, and may overtake one of another class; the protocols of
 * lib/core expect that. */
#ifndef NL_TRANSPORT_H
#define NL_TRANSPORT_H

#include <apr_pools.h>
#include <stdint.h>

struct Nl__Msg;
struct ring;

/* A listener, all connections to and from other processes, and the thread that serves them. */
struct transport;

/* Listen at addr ("ip:port") and push messages to events as SHELL_EVENT_MESSAGE. Returns NULL on an error,
 * which is logged. It lives as long as pool; end it with transport_close before. */
struct transport *transport_open(const char *addr, struct ring *events, apr_pool_t *pool);

/* Queue a message for the process at addr (as core_parse_addr gives it). Copies it; never blocks. The message
 * is dropped when it's too large, when the queue is full, or when there is no connection. */
void transport_send(struct transport *transport, uint64_t addr, const struct Nl__Msg *message);

/* Close. Messages that were queued before are still sent, as far as peers accept them within 200 ms. */
void transport_close(struct transport *transport);

#endif
