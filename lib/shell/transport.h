/* transport: messages between the processes of the fleet (routers and controllers), over TCP.
 * A message is lost if its connection breaks. Bulk messages and other messages use separate connections, so
 * one may overtake the other. The protocols of lib/core tolerate both. */
#ifndef NL_TRANSPORT_H
#define NL_TRANSPORT_H

#include <apr_pools.h>
#include <stdint.h>

struct Nl__Msg;
struct ring;

/* The listening socket, all connections to and from other processes, and the thread that serves them. */
struct transport;

/* Listen at addr ("ip:port") and push received messages to events as SHELL_EVENT_MESSAGE. Returns NULL on an
 * error, which is logged. The transport is valid until pool is destroyed; call transport_close before that.
 */
struct transport *transport_open(const char *addr, struct ring *events, apr_pool_t *pool);

/* Queue a copy of a message for the process at addr (a result of core_parse_addr). Never blocks. The message
 * is dropped if it is too large, if the queue is full, or if there is no connection. */
void transport_send(struct transport *transport, uint64_t addr, const struct Nl__Msg *message);

/* Close all connections and end the thread. Messages that are already queued are sent first if the peers
 * accept them within 200 ms. */
void transport_close(struct transport *transport);

#endif
