/* net: framed messages between our own processes. A direction has one TCP connection, and a second one for
 * log entries and pieces of snapshots: heartbeats must not wait behind those on a slow link, or the leader's
 * lease ends. A message may be lost when a connection breaks, and overtake one of the other connection; the
 * core's protocols expect that. */
#include <apr_network_io.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <apr_strings.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "containers.h"
#include "shell.h"

#define NET_BULK ((uint64_t)1 << 63) /* in the key of a peer: its second connection */

enum {
	TRANSPORT_MAX_FRAME_BYTES = 32 << 20,
	TRANSPORT_MAX_QUEUE_BYTES = 64 << 20,
	TRANSPORT_REDIAL_MS = 200,
	TRANSPORT_DIAL_MS = 250, /* ms without an answer after which another dial goes out beside it */
	TRANSPORT_MAX_OLDER_DIALS =
	    8, /* that wait beside the newest one; a longer way than that is as good as none */
	TRANSPORT_MAX_READS = 64,
	TRANSPORT_POLL_MS = 100,
	TRANSPORT_CLOSE_MS = 200,    /* at the end, for what was said last to leave */
	TRANSPORT_CLOSE_POLL_MS = 10 /* between looks whether it has */
};

/* Bytes that are not acknowledged for so long end a connection. The kernel would ask a silent machine again
 * after ever longer pauses, and not look for 10 s and more after it is back. Over a link that is full an
 * acknowledgement may take as long as that: so a connection whose dial took its time is given a few times
 * that more. */
enum {
	TRANSPORT_UNACKED_MS = 1000,
	TRANSPORT_UNACKED_ROUND_TRIPS =
	    3, /* round trips, as the dial took them, that are granted beside it */
	TRANSPORT_UNACKED_MAX_MS = 5000
};

struct outgoing_frame {
	uint64_t addr;
	int is_bulk;
	size_t size_bytes;
	uint8_t *data;
};

/* A dial that has had no answer yet. */
struct dial {
	apr_pool_t *pool;
	apr_socket_t *socket;
	apr_pollfd_t poll_fd;
	int64_t started_at_ms;
};

struct conn {
	apr_pool_t *p;
	apr_socket_t *s;
	apr_pollfd_t fd;
	uint64_t addr;   /* outgoing: whom to; incoming: 0 */
	uint8_t *buffer; /* stb_ds: bytes to write or read so far */
	size_t sent_offset;
	int up, in_pollset;
	int64_t redial_at_ms, dialled_at_ms;
	struct dial *older_dials; /* stb_ds: outgoing: dials before the newest one, oldest first */
	int unreachable_logged;   /* logged that it cannot be reached */
};

struct transport {
	apr_pool_t *pool;
	apr_socket_t *listen_socket;
	apr_pollset_t *pollset;
	apr_thread_t *thread;
	struct ring *events, *outgoing;
	atomic_int stop;
	struct conn **incoming; /* stb_ds */
	struct {
		uint64_t key;
		struct conn *value;
	} * peers;
};

static void pollset_remove(struct transport *net, struct conn *conn)
{
	if (conn->in_pollset)
		apr_pollset_remove(net->pollset, &conn->fd);
	conn->in_pollset = 0;
}

static int list(struct transport *net, struct conn *conn, apr_int16_t want)
{
	pollset_remove(net, conn);
	memset(&conn->fd, 0, sizeof conn->fd);
	conn->fd.desc_type = APR_POLL_SOCKET;
	conn->fd.reqevents = want;
	conn->fd.desc.s = conn->s;
	conn->fd.client_data = conn;
	conn->fd.p = conn->p;
	conn->in_pollset = apr_pollset_add(net->pollset, &conn->fd) == APR_SUCCESS;
	return conn->in_pollset;
}

static apr_sockaddr_t *sockaddr(uint64_t address, apr_pool_t *pool)
{
	apr_sockaddr_t *sa = NULL;
	const char *ip = apr_psprintf(pool, "%u.%u.%u.%u", (unsigned)(address >> 40) & 255,
				      (unsigned)(address >> 32) & 255, (unsigned)(address >> 24) & 255,
				      (unsigned)(address >> 16) & 255);

	apr_sockaddr_info_get(&sa, ip, APR_INET, (apr_port_t)(address & 65535), 0, pool);
	return sa;
}

static void dial_close(struct transport *net, struct dial *dial)
{
	apr_pollset_remove(net->pollset, &dial->poll_fd);
	apr_socket_close(dial->socket);
	apr_pool_destroy(dial->pool);
}

static void older_dials_close(struct transport *net, struct conn *conn)
{
	for (ptrdiff_t i = 0; i < arrlen(conn->older_dials); i++)
		dial_close(net, &conn->older_dials[i]);
	arrfree(conn->older_dials);
}

static void outgoing_close(struct transport *net, struct conn *conn)
{
	older_dials_close(net, conn);
	pollset_remove(net, conn);
	if (conn->s)
		apr_socket_close(conn->s);
	conn->s = NULL;
	conn->up = 0;
	arrsetlen(conn->buffer, 0);
	conn->sent_offset = 0;
	conn->redial_at_ms = clock_ms() + TRANSPORT_REDIAL_MS;
	apr_pool_clear(conn->p);
}

static void limit_unacknowledged(apr_socket_t *socket, int timeout_ms)
{
	apr_os_sock_t fd;

	if (apr_os_sock_get(&fd, socket) == APR_SUCCESS)
		(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

static void outgoing_dial(struct transport *net, struct conn *conn)
{
	apr_sockaddr_t *sa = sockaddr(conn->addr, conn->p);
	apr_status_t st;

	if (!sa ||
	    apr_socket_create(&conn->s, APR_INET, SOCK_STREAM, APR_PROTO_TCP, conn->p) != APR_SUCCESS) {
		conn->s = NULL;
		return;
	}
	apr_socket_opt_set(conn->s, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(conn->s, 0);
	apr_socket_opt_set(conn->s, APR_TCP_NODELAY, 1);
	limit_unacknowledged(conn->s, TRANSPORT_DIAL_MS * (TRANSPORT_MAX_OLDER_DIALS + 1));
	conn->dialled_at_ms = clock_ms();
	st = apr_socket_connect(conn->s, sa);
	if (st != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(st)) {
		outgoing_close(net, conn);
		return;
	}
	list(net, conn, APR_POLLOUT | APR_POLLIN);
}

static void outgoing_write(struct transport *net, struct conn *conn)
{
	while (conn->sent_offset < (size_t)arrlen(conn->buffer)) {
		apr_size_t len = (size_t)arrlen(conn->buffer) - conn->sent_offset;
		apr_status_t st = apr_socket_send(conn->s, (char *)conn->buffer + conn->sent_offset, &len);

		conn->sent_offset += len;
		if (st == APR_SUCCESS)
			continue;
		if (APR_STATUS_IS_EAGAIN(st)) {
			list(net, conn, APR_POLLOUT | APR_POLLIN);
			return;
		}
		outgoing_close(net, conn);
		return;
	}
	arrsetlen(conn->buffer, 0);
	conn->sent_offset = 0;
	list(net, conn, APR_POLLIN);
}

/* An answer to a dial may only be slow, behind a full link: the dial stays, and another goes out beside it,
 * for a machine that was dark is asked again by the kernel after a second at the soonest. What it was made
 * for is no longer worth sending. */
static void dial_beside(struct transport *net, struct conn *conn)
{
	struct dial dial = { conn->p, conn->s, conn->fd, conn->dialled_at_ms };

	if (arrlen(conn->older_dials) == TRANSPORT_MAX_OLDER_DIALS) {
		dial_close(net, &conn->older_dials[0]);
		arrdel(conn->older_dials, 0);
	}
	arrput(conn->older_dials, dial);
	apr_pool_create(&conn->p, net->pool);
	conn->s = NULL;
	conn->in_pollset = 0;
	arrsetlen(conn->buffer, 0);
	conn->sent_offset = 0;
	outgoing_dial(net, conn);
}

/* The first answer to a dial: this connection is the one. */
static void outgoing_connected(struct transport *net, struct conn *conn)
{
	int64_t allowed =
	    TRANSPORT_UNACKED_MS + TRANSPORT_UNACKED_ROUND_TRIPS * (clock_ms() - conn->dialled_at_ms);

	older_dials_close(net, conn);
	limit_unacknowledged(conn->s,
			     (int)(allowed < TRANSPORT_UNACKED_MAX_MS ? allowed : TRANSPORT_UNACKED_MAX_MS));
	if (conn->unreachable_logged)
		log_write(LOG_INFO, "net", "Colleague %s is reached again.",
			  core_format_addr(conn->p, conn->addr));
	conn->up = 1;
	conn->unreachable_logged = 0;
}

static void outgoing_ready(struct transport *net, struct conn *conn, apr_int16_t events)
{
	if (!conn->up && (events & (APR_POLLERR | APR_POLLHUP))) {
		if (!conn->unreachable_logged)
			log_write(LOG_WARN, "net", "Colleague %s cannot be reached.",
				  core_format_addr(conn->p, conn->addr));
		conn->unreachable_logged = 1;
		outgoing_close(net, conn);
		return;
	}
	if (events & APR_POLLIN) { /* the peer never speaks here: it closed */
		char b[64];
		apr_size_t len = sizeof b;
		apr_status_t st = apr_socket_recv(conn->s, b, &len);

		if (st != APR_SUCCESS && !APR_STATUS_IS_EAGAIN(st)) {
			outgoing_close(net, conn);
			return;
		}
	}
	if (events & APR_POLLOUT) {
		if (!conn->up)
			outgoing_connected(net, conn);
		outgoing_write(net, conn);
	} else if (events & (APR_POLLERR | APR_POLLHUP)) {
		outgoing_close(net, conn);
	}
}

/* An older dial has its answer: it takes the newest one's place, or is over. */
static void older_dial_ready(struct transport *net, struct conn *conn, const apr_socket_t *socket,
			     apr_int16_t events)
{
	ptrdiff_t i = 0;
	struct dial dial;

	while (i < arrlen(conn->older_dials) && conn->older_dials[i].socket != socket)
		i++;
	if (i == arrlen(conn->older_dials))
		return; /* closed meanwhile */
	dial = conn->older_dials[i];
	arrdel(conn->older_dials, i);
	if (events & (APR_POLLERR | APR_POLLHUP)) {
		dial_close(net, &dial);
		return;
	}
	pollset_remove(net, conn);
	if (conn->s)
		apr_socket_close(conn->s);
	apr_pool_destroy(conn->p);
	conn->p = dial.pool;
	conn->s = dial.socket;
	conn->fd = dial.poll_fd;
	conn->in_pollset = 1;
	conn->dialled_at_ms = dial.started_at_ms;
	outgoing_ready(net, conn, events);
}

static void outgoing_enqueue(struct transport *net, struct outgoing_frame *net_bytes)
{
	uint64_t key = net_bytes->addr | (net_bytes->is_bulk ? NET_BULK : 0);
	struct conn *conn = hmget(net->peers, key);
	uint8_t *to;

	if (!conn) {
		apr_pool_t *pool;

		apr_pool_create(&pool, net->pool);
		conn = calloc(1, sizeof *conn);
		if (!conn)
			abort();
		conn->p = pool;
		conn->addr = net_bytes->addr;
		hmput(net->peers, key, conn);
	}
	/* a machine without power, or behind a cut, does not answer a dial; the kernel would ask once more
	 * after a second only */
	if (conn->s && !conn->up && clock_ms() - conn->dialled_at_ms > TRANSPORT_DIAL_MS)
		dial_beside(net, conn);
	else if (!conn->s && clock_ms() >= conn->redial_at_ms)
		outgoing_dial(net, conn);
	if (!conn->s || (size_t)arrlen(conn->buffer) - conn->sent_offset + net_bytes->size_bytes >
			    TRANSPORT_MAX_QUEUE_BYTES)
		return; /* lost: the core asks again */
	if (conn->sent_offset > 1 << 20) {
		arrdeln(conn->buffer, 0, conn->sent_offset);
		conn->sent_offset = 0;
	}
	to = arraddnptr(conn->buffer, net_bytes->size_bytes);
	memcpy(to, net_bytes->data, net_bytes->size_bytes);
	if (conn->up)
		outgoing_write(net, conn);
}

/* ---- incoming ---- */

static void incoming_close(struct transport *net, struct conn *conn)
{
	pollset_remove(net, conn);
	apr_socket_close(conn->s);
	for (ptrdiff_t i = 0; i < arrlen(net->incoming); i++)
		if (net->incoming[i] == conn) {
			arrdelswap(net->incoming, i);
			break;
		}
	arrfree(conn->buffer);
	apr_pool_destroy(conn->p);
	free(conn);
}

/* Frames that are whole become events; 0 when the peer's bytes make no sense. */
static int incoming_parse_frames(struct transport *net, struct conn *conn)
{
	size_t at = 0;

	while ((size_t)arrlen(conn->buffer) - at >= 4) {
		const uint8_t *b = conn->buffer + at;
		size_t len = (size_t)b[0] << 24 | (size_t)b[1] << 16 | (size_t)b[2] << 8 | b[3];
		struct shell_event *event;
		struct Nl__Msg *message;

		if (len > TRANSPORT_MAX_FRAME_BYTES)
			return 0;
		if ((size_t)arrlen(conn->buffer) - at < 4 + len)
			break;
		message = nl__msg__unpack(NULL, len, b + 4);
		if (!message)
			return 0;
		if (message->protocol_version != CORE_PROTOCOL_VERSION) {
			nl__msg__free_unpacked(message, NULL);
			return 0;
		}
		event = shell_event_new(SHELL_EVENT_MESSAGE);
		event->message = message;
		if (!ring_push(net->events, event, 0))
			shell_event_free(event);
		at += 4 + len;
	}
	if (at)
		arrdeln(conn->buffer, 0, at);
	return 1;
}

static void incoming_ready(struct transport *net, struct conn *conn)
{
	for (int reads = 0; reads < TRANSPORT_MAX_READS; reads++) {
		char b[65536];
		apr_size_t len = sizeof b;
		apr_status_t st = apr_socket_recv(conn->s, b, &len);

		if (len)
			memcpy(arraddnptr(conn->buffer, len), b, len);
		if (APR_STATUS_IS_EAGAIN(st) || (st == APR_SUCCESS && len < sizeof b)) {
			if (!incoming_parse_frames(net, conn)) {
				log_write(LOG_WARN, "net",
					  "A colleague's message makes no sense; the connection is closed.");
				incoming_close(net, conn);
			}
			return;
		}
		if (st != APR_SUCCESS) {
			(void)incoming_parse_frames(net, conn);
			incoming_close(net, conn);
			return;
		}
	}
	if (!incoming_parse_frames(net, conn))
		incoming_close(net, conn);
}

static void incoming_accept(struct transport *net)
{
	apr_pool_t *pool;
	apr_socket_t *s;
	struct conn *conn;

	apr_pool_create(&pool, net->pool);
	if (apr_socket_accept(&s, net->listen_socket, pool) != APR_SUCCESS) {
		apr_pool_destroy(pool);
		return;
	}
	conn = calloc(1, sizeof *conn);
	if (!conn)
		abort();
	conn->p = pool;
	conn->s = s;
	apr_socket_opt_set(s, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(s, 0);
	arrput(net->incoming, conn);
	if (!list(net, conn, APR_POLLIN))
		incoming_close(net, conn);
}

/* Wait for sockets for a while, then take what is to be sent. */
static void serve(struct transport *n, int wait_ms)
{
	const apr_pollfd_t *got = NULL;
	apr_int32_t count = 0;
	struct outgoing_frame *bytes;

	apr_pollset_poll(n->pollset, apr_time_from_msec(wait_ms), &count, &got);
	for (apr_int32_t i = 0; i < count; i++) {
		struct conn *conn = got[i].client_data;

		if (!conn)
			incoming_accept(n);
		else if (!conn->addr)
			incoming_ready(n, conn);
		else if (conn->s && got[i].desc.s == conn->s)
			outgoing_ready(n, conn, got[i].rtnevents);
		else
			older_dial_ready(n, conn, got[i].desc.s, got[i].rtnevents);
	}
	while ((bytes = ring_pop(n->outgoing, 0))) {
		outgoing_enqueue(n, bytes);
		free(bytes->data);
		free(bytes);
	}
}

static int has_unsent(const struct transport *net)
{
	for (ptrdiff_t i = 0; i < hmlen(net->peers); i++) {
		const struct conn *conn = net->peers[i].value;

		if (conn->s && conn->sent_offset < (size_t)arrlen(conn->buffer))
			return 1;
	}
	return 0;
}

static void *APR_THREAD_FUNC transport_thread(apr_thread_t *thread, void *arg)
{
	struct transport *net = arg;
	int64_t end;

	(void)thread;
	while (!net->stop)
		serve(net, TRANSPORT_POLL_MS);
	end = clock_ms() + TRANSPORT_CLOSE_MS;
	do
		serve(net, TRANSPORT_CLOSE_POLL_MS);
	while (has_unsent(net) && clock_ms() < end);
	return NULL;
}

struct transport *transport_open(const char *addr, struct ring *events, apr_pool_t *pool)
{
	struct transport *net = apr_pcalloc(pool, sizeof *net);
	uint64_t a = core_parse_addr(addr);
	apr_sockaddr_t *sa = sockaddr(a, pool);
	apr_pollfd_t fd;
	apr_status_t st = APR_EINVAL;
	char err[100];

	apr_pool_create(&net->pool, NULL); /* its own allocator: the thread's alone */
	net->events = events;
	ring_open(&net->outgoing, 65536, pool);
	if (!a || !sa ||
	    (st = apr_socket_create(&net->listen_socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP, pool)) !=
		APR_SUCCESS)
		goto bad;
	apr_socket_opt_set(net->listen_socket, APR_SO_REUSEADDR, 1);
	if ((st = apr_socket_bind(net->listen_socket, sa)) != APR_SUCCESS ||
	    (st = apr_socket_listen(net->listen_socket, 128)) != APR_SUCCESS)
		goto bad;
	apr_socket_opt_set(net->listen_socket, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(net->listen_socket, 0);
	if ((st = apr_pollset_create(&net->pollset, 4096, pool, APR_POLLSET_WAKEABLE)) != APR_SUCCESS)
		goto bad;
	memset(&fd, 0, sizeof fd);
	fd.desc_type = APR_POLL_SOCKET;
	fd.reqevents = APR_POLLIN;
	fd.desc.s = net->listen_socket;
	fd.p = pool;
	apr_pollset_add(net->pollset, &fd);
	if ((st = apr_thread_create(&net->thread, NULL, transport_thread, net, pool)) == APR_SUCCESS)
		return net;
bad:
	log_write(LOG_ERROR, "net", "Cannot listen at %s: %s.", addr, apr_strerror(st, err, sizeof err));
	return NULL;
}

/* Messages that may be large, or many, and that nothing waits for within a lease or a bound of freshness. */
static int is_bulk(const struct Nl__Msg *message)
{
	switch (message->body_case) {
	case NL__MSG__BODY_SNAPSHOT_CHUNK:
	case NL__MSG__BODY_CACHE_UPDATE_BATCH:
		return 1;
	case NL__MSG__BODY_APPEND:
		return message->append->n_entries > 0;
	default:
		return 0;
	}
}

void transport_send(struct transport *net, uint64_t addr, const struct Nl__Msg *message)
{
	struct outgoing_frame *net_bytes = malloc(sizeof *net_bytes);
	size_t len = nl__msg__get_packed_size(message);

	if (!net_bytes || !(net_bytes->data = malloc(len + 4)))
		abort();
	net_bytes->addr = addr;
	net_bytes->is_bulk = is_bulk(message);
	net_bytes->size_bytes = len + 4;
	for (int i = 0; i < 4; i++)
		net_bytes->data[i] = (uint8_t)(len >> (24 - 8 * i));
	nl__msg__pack(message, net_bytes->data + 4);
	if (len > TRANSPORT_MAX_FRAME_BYTES || !ring_push(net->outgoing, net_bytes, 0)) {
		free(net_bytes->data);
		free(net_bytes);
		return;
	}
	apr_pollset_wakeup(net->pollset);
}

void transport_close(struct transport *net)
{
	apr_status_t st;
	struct outgoing_frame *net_bytes;

	net->stop = 1;
	apr_pollset_wakeup(net->pollset);
	apr_thread_join(&st, net->thread);
	while ((net_bytes = ring_pop(net->outgoing, 0))) {
		free(net_bytes->data);
		free(net_bytes);
	}
	while (arrlen(net->incoming))
		incoming_close(net, net->incoming[0]);
	for (ptrdiff_t i = 0; i < hmlen(net->peers); i++) {
		struct conn *conn = net->peers[i].value;

		older_dials_close(net, conn);
		if (conn->s)
			apr_socket_close(conn->s);
		arrfree(conn->buffer);
		apr_pool_destroy(conn->p);
		free(conn);
	}
	arrfree(net->incoming);
	hmfree(net->peers);
	apr_socket_close(net->listen_socket);
	apr_pool_destroy(net->pool);
}
