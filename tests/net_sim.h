/* net_sim: simulates TCP in memory under virtual time. A test program that links with --wrap for the calls
 * below runs the product's own event loop on it: the product uses file descriptors, the test's clients and
 * servers use struct sim_conn. Wrapped: clock_ms, socket, bind, listen, getsockname, connect, accept4,
 * setsockopt, getsockopt, shutdown, close, send, recv, epoll_create1, epoll_ctl, epoll_wait. Calls on file
 * descriptors that are not simulated are passed to the kernel. "The far end" is the test's end of a
 * connection. */
#ifndef NL_NET_SIM_H
#define NL_NET_SIM_H

#include <stddef.h>
#include <stdint.h>

struct sim_conn;

enum sim_connect { SIM_ACCEPT, SIM_REFUSE, SIM_IGNORE };

/* State of the product's end of a connection. */
enum sim_close_state { SIM_OPEN, SIM_HALF_CLOSED, SIM_CLOSED, SIM_RESET };

struct net_sim_hooks {
	void *ctx;
	/* The product connects to addr. Returns the outcome; *delay: ms until the product observes it. */
	enum sim_connect (*connect)(void *ctx, struct sim_conn *c, uint64_t addr, int *delay);
	/* The simulated kernel has accepted bytes from the product, which the far end may or may not read. */
	void (*accepted)(void *ctx, struct sim_conn *c, const char *d, size_t n);
};

/* net_sim_open creates a network without connections; net_sim_close releases it. */
void net_sim_open(uint64_t seed, const struct net_sim_hooks *hooks);
void net_sim_close(void);

/* The virtual time in ms, which the wrapped clock_ms returns; net_sim_advance adds `ms` to it. */
int64_t net_sim_now(void);
void net_sim_advance(int64_t ms);

/* Advance the clock by `ms` inside the product's next send or recv, as if the process had been frozen there.
 * With `peek`, this happens in the next recv with MSG_PEEK, which the product calls just before it sends a
 * request. */
void net_sim_freeze(int64_t ms, int peek);

/* Connect a client to a port of the product; NULL if the product does not listen there. */
struct sim_conn *net_sim_connect(int port);

/* Send bytes, a half close (FIN) or a reset to the product. It arrives in_ms later, but never before what was
 * sent earlier on this connection. Nothing arrives after a half close or a reset. */
void net_sim_write(struct sim_conn *conn, const char *d, size_t n, int64_t in_ms);
void net_sim_end(struct sim_conn *conn, int64_t in_ms);
void net_sim_reset(struct sim_conn *conn, int64_t in_ms);

/* The far end drops the connection's state without sending a segment. Bytes that the product sends afterwards
 * are answered with a reset after reset_ms; below 0: they are not answered. */
void net_sim_forget(struct sim_conn *conn, int64_t reset_ms);

/* Set the receive window of the far end: the bytes that it accepts before it reads them. */
void net_sim_window(struct sim_conn *conn, size_t n);

/* Read up to `cap` bytes that the product has sent; returns their number. */
size_t net_sim_read(struct sim_conn *conn, char *to, size_t cap);

enum sim_close_state net_sim_close_state(const struct sim_conn *conn);

/* net_sim_unread: whether unread bytes, a half close or a reset had arrived at the product when its current
 * send or recv began. net_sim_call_began_at: virtual time in ms at which that call began, before any freeze
 * in it. */
int net_sim_unread(const struct sim_conn *conn);
int64_t net_sim_call_began_at(void);

/* Total number of bytes that the product has read on a connection. */
size_t net_sim_bytes_read(const struct sim_conn *conn);

/* net_sim_id: the connection's number, which is never reused. The tag is a pointer that the test owns. */
uint64_t net_sim_id(const struct sim_conn *conn);
void net_sim_set_tag(struct sim_conn *conn, void *tag);
void *net_sim_get_tag(const struct sim_conn *conn);

#endif
