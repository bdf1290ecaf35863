/* net_sim: TCP in memory under virtual time. A test program that links with --wrap for the calls below runs
 * the product's own event loop on it: the product holds file descriptors, the test's clients and servers hold
 * struct sim_conn. Wrapped: clock_ms, socket, bind, listen, getsockname, connect, accept4, setsockopt,
 * getsockopt, shutdown, close, send, recv, epoll_create1, epoll_ctl, epoll_wait. Descriptors that are not
 * simulated go to the kernel. */
#ifndef NL_NET_SIM_H
#define NL_NET_SIM_H

#include <stddef.h>
#include <stdint.h>

struct sim_conn;

enum sim_connect { SIM_ACCEPT, SIM_REFUSE, SIM_IGNORE };

/* The state in which the product left its side of a connection. */
enum sim_close_state { SIM_OPEN, SIM_HALF_CLOSED, SIM_CLOSED, SIM_RESET };

struct net_sim_hooks {
	void *ctx;
	/* The product connects to addr. *delay: ms until the outcome shows. */
	enum sim_connect (*connect)(void *ctx, struct sim_conn *c, uint64_t addr, int *delay);
	/* The kernel has accepted bytes of the product, whether or not they will ever be read. */
	void (*accepted)(void *ctx, struct sim_conn *c, const char *d, size_t n);
};

/* Begin with an empty network; end. */
void net_sim_open(uint64_t seed, const struct net_sim_hooks *hooks);
void net_sim_close(void);

/* The virtual clock in ms, which clock_ms returns; move it on. */
int64_t net_sim_now(void);
void net_sim_advance(int64_t ms);

/* In the next send or recv the clock jumps by so many ms, as if the process had been frozen there. peek: in
 * the next recv that only looks at a connection's bytes, which comes just before a request leaves. */
void net_sim_freeze(int64_t ms, int peek);

/* A client connects to the product's port; NULL when nobody listens. */
struct sim_conn *net_sim_connect(int port);

/* Towards the product, arriving in so many ms and never before what was written earlier: bytes, a half close,
 * a reset. Nothing arrives after the last two. */
void net_sim_write(struct sim_conn *conn, const char *d, size_t n, int64_t in_ms);
void net_sim_end(struct sim_conn *conn, int64_t in_ms);
void net_sim_reset(struct sim_conn *conn, int64_t in_ms);

/* The far end has forgotten the connection without a segment. What is sent to it is answered by a reset after
 * so many ms; below 0: by nothing. */
void net_sim_forget(struct sim_conn *conn, int64_t reset_ms);

/* Bytes that the far end accepts before it has read them. */
void net_sim_window(struct sim_conn *conn, size_t n);

/* Read what the product has sent, `cap` bytes at the most; returns how many. */
size_t net_sim_read(struct sim_conn *conn, char *to, size_t cap);

enum sim_close_state net_sim_close_state(const struct sim_conn *conn);

/* Whether bytes, an end or a reset had arrived at the product, unread, when it made the system call under
 * way; and when that call began, before any freeze in it. */
int net_sim_unread(const struct sim_conn *conn);
int64_t net_sim_call_began_at(void);

/* Bytes that the product has read on a connection, ever. */
size_t net_sim_bytes_read(const struct sim_conn *conn);

/* A number of the connection that is never used again, and a pointer of the test's own. */
uint64_t net_sim_id(const struct sim_conn *conn);
void net_sim_set_tag(struct sim_conn *conn, void *tag);
void *net_sim_get_tag(const struct sim_conn *conn);

#endif
