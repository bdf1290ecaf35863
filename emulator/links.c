/* Links between peers: each node is advertised at the address of its link, which passes frames on to where
 * the node listens, delayed or cut by rules. The mutex guards the rules; links are added before the nodes
 * start. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "test_fleet.h"

struct rule {
	uint64_t from;
	uint64_t to;
	int cut;
	int delay;
};
struct link {
	struct links *links;
	uint64_t at;
	uint64_t real;
	int fd;
};
struct links {
	pthread_mutex_t mutex;
	struct rule rules[64];
	int rule_count;
	int stop;
	int link_count;
	struct link entries[64];
};
struct link_connection {
	struct link *link;
	int fd;
};

static struct sockaddr_in sockaddr_of(uint64_t address)
{
	struct sockaddr_in sa;

	memset(&sa, 0, sizeof sa);
	sa.sin_family = AF_INET;
	sa.sin_port = htons((uint16_t)(address & 65535));
	sa.sin_addr.s_addr = htonl((uint32_t)(address >> 16));
	return sa;
}

static int read_all(int fd, uint8_t *data, size_t n)
{
	while (n) {
		ssize_t k = read(fd, data, n);

		if (k <= 0)
			return 0;
		data += k;
		n -= (size_t)k;
	}
	return 1;
}

static int rule_for(struct links *links, uint64_t from, uint64_t to, int *delay)
{
	int cut = 0;

	*delay = 0;
	pthread_mutex_lock(&links->mutex);
	for (int i = 0; i < links->rule_count; i++)
		if ((!links->rules[i].from || links->rules[i].from == from) &&
		    (!links->rules[i].to || links->rules[i].to == to)) {
			cut |= links->rules[i].cut;
			*delay += links->rules[i].delay;
		}
	pthread_mutex_unlock(&links->mutex);
	return cut;
}

/* A frame that is delayed: each one by itself, however many are under way at once. */
struct delayed_frame {
	int64_t deliver_at_ms;
	size_t length;
	struct delayed_frame *next;
	uint8_t data[];
};

/* Read one frame; NULL when the connection ends. What a rule cuts is read and dropped: *h stays NULL. */
static int frame_in(struct link_connection *way, struct delayed_frame **frame)
{
	uint8_t head[4];
	struct Nl__Msg *message;
	size_t n;
	int delay, cut;

	*frame = NULL;
	if (!read_all(way->fd, head, 4))
		return 0;
	n = (size_t)head[0] << 24 | (size_t)head[1] << 16 | (size_t)head[2] << 8 | head[3];
	if (n > 64u << 20)
		return 0;
	*frame = calloc(1, sizeof **frame + n + 4);
	memcpy((*frame)->data, head, 4);
	message =
	    read_all(way->fd, (*frame)->data + 4, n) ? nl__msg__unpack(NULL, n, (*frame)->data + 4) : NULL;
	cut = !message || rule_for(way->link->links, message->addr, way->link->at, &delay);
	if (message)
		nl__msg__free_unpacked(message, NULL);
	if (cut) {
		free(*frame);
		*frame = NULL;
		return message != NULL;
	}
	(*frame)->length = n + 4;
	(*frame)->deliver_at_ms = clock_ms() + delay;
	return 1;
}

static int frame_out(struct link_connection *way, int *out, const struct delayed_frame *frame)
{
	struct sockaddr_in address = sockaddr_of(way->link->real);
	int one = 1;

	if (*out < 0) {
		*out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(*out, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
		if (connect(*out, (struct sockaddr *)&address, sizeof address))
			return 0;
	}
	for (size_t at = 0; at < frame->length;) {
		ssize_t k = send(*out, frame->data + at, frame->length - at, MSG_NOSIGNAL);

		if (k <= 0)
			return 0;
		at += (size_t)k;
	}
	return 1;
}

static void *way_thread(void *arg)
{
	struct link_connection *way = arg;
	struct delayed_frame *head = NULL, *tail = NULL, *frame;
	int out = -1, open = 1;

	while (open) {
		struct pollfd poll_fd = { way->fd, POLLIN, 0 };
		int64_t wait = head ? head->deliver_at_ms - clock_ms() : -1;

		if (poll(&poll_fd, 1, head && wait < 0 ? 0 : (int)wait) > 0) {
			open = frame_in(way, &frame);
			if (frame && tail && frame->deliver_at_ms < tail->deliver_at_ms)
				frame->deliver_at_ms = tail->deliver_at_ms; /* in order */
			if (frame) {
				*(head ? &tail->next : &head) = frame;
				tail = frame;
			}
		}
		while (open && head && head->deliver_at_ms <= clock_ms()) {
			frame = head;
			head = frame->next;
			if (!head)
				tail = NULL;
			open = frame_out(way, &out, frame);
			free(frame);
		}
	}
	while ((frame = head)) {
		head = frame->next;
		free(frame);
	}
	if (out >= 0)
		close(out);
	close(way->fd);
	free(way);
	return NULL;
}

static void *link_thread(void *arg)
{
	struct link *link = arg;

	for (;;) {
		int fd = accept4(link->fd, NULL, NULL, SOCK_CLOEXEC), one = 1;
		struct link_connection *way;
		pthread_t t;

		if (fd < 0) {
			if (link->links->stop)
				return NULL;
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
		way = calloc(1, sizeof *way);
		way->link = link;
		way->fd = fd;
		if (pthread_create(&t, NULL, way_thread, way) == 0)
			pthread_detach(t);
	}
}

struct links *links_open(void)
{
	struct links *links = calloc(1, sizeof *links);

	pthread_mutex_init(&links->mutex, NULL);
	return links;
}

int links_add(struct links *links, const char *at, const char *real)
{
	struct link *link = &links->entries[links->link_count++];
	struct sockaddr_in address;
	pthread_t t;
	int one = 1;

	link->links = links;
	link->at = core_parse_addr(at);
	link->real = core_parse_addr(real);
	address = sockaddr_of(link->at);
	link->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(link->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
	if (bind(link->fd, (struct sockaddr *)&address, sizeof address) || listen(link->fd, 64) ||
	    pthread_create(&t, NULL, link_thread, link)) {
		fprintf(stderr, "notchlug-emulator: link %s: %s\n", at, strerror(errno));
		return 0;
	}
	pthread_detach(t);
	return 1;
}

void links_rule(struct links *links, const char *from, const char *to, int cut, int delay)
{
	struct rule rule = { from[0] ? core_parse_addr(from) : 0, to[0] ? core_parse_addr(to) : 0, cut,
			     delay };

	pthread_mutex_lock(&links->mutex);
	if (links->rule_count < 64)
		links->rules[links->rule_count++] = rule;
	pthread_mutex_unlock(&links->mutex);
}

void links_clear(struct links *links)
{
	pthread_mutex_lock(&links->mutex);
	links->rule_count = 0;
	pthread_mutex_unlock(&links->mutex);
}

void links_close(struct links *links)
{
	links->stop = 1;
}
