/* What the process at the other end of a loopback connection has left unread, asked of the kernel by socket
 * diagnosis (sock_diag(7)). It needs no privilege and sees only sockets of this machine. */
#include <errno.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "platform_emulator.h"

enum { NOT_KNOWN = -1 };

struct diag_request {
	struct nlmsghdr header;
	struct inet_diag_req_v2 body;
};

/* One netlink socket for the whole process, opened when first needed. */
static int diag_socket(void)
{
	static int fd = -1;

	if (fd < 0)
		fd = socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
	return fd;
}

/* The request names the socket of the other end: its source is our peer, its destination is us. */
static struct diag_request request_for(const struct sockaddr_in *self, const struct sockaddr_in *peer)
{
	struct diag_request request;

	memset(&request, 0, sizeof request);
	request.header.nlmsg_len = sizeof request;
	request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
	request.header.nlmsg_flags = NLM_F_REQUEST;
	request.body.sdiag_family = AF_INET;
	request.body.sdiag_protocol = IPPROTO_TCP;
	request.body.idiag_states = ~0u;
	request.body.id.idiag_sport = peer->sin_port;
	request.body.id.idiag_src[0] = peer->sin_addr.s_addr;
	request.body.id.idiag_dport = self->sin_port;
	request.body.id.idiag_dst[0] = self->sin_addr.s_addr;
	request.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
	request.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
	return request;
}

/* Bytes in the receive queue of the socket that the request names. */
static int receive_queue(const struct diag_request *request)
{
	char reply[1024] __attribute__((aligned(8)));
	const struct nlmsghdr *header = (const struct nlmsghdr *)(const void *)reply;
	const struct inet_diag_msg *socket_info =
	    (const struct inet_diag_msg *)(const void *)(reply + NLMSG_HDRLEN);
	ssize_t size;

	if (diag_socket() < 0 || send(diag_socket(), request, sizeof *request, 0) < 0)
		return NOT_KNOWN;
	size = recv(diag_socket(), reply, sizeof reply, MSG_DONTWAIT);
	if (size < (ssize_t)(NLMSG_HDRLEN + sizeof *socket_info) || header->nlmsg_type != SOCK_DIAG_BY_FAMILY)
		return NOT_KNOWN;
	return (int)socket_info->idiag_rqueue;
}

int socket_unread(int fd)
{
	struct sockaddr_in self = { 0 }, peer = { 0 };
	socklen_t self_size = sizeof self, peer_size = sizeof peer;
	struct diag_request request;
	int on_their_way = 0, queued;

	if (getsockname(fd, (struct sockaddr *)&self, &self_size) ||
	    getpeername(fd, (struct sockaddr *)&peer, &peer_size) || ioctl(fd, SIOCOUTQ, &on_their_way))
		return NOT_KNOWN;
	request = request_for(&self, &peer);
	queued = receive_queue(&request);
	return queued < 0 ? NOT_KNOWN : on_their_way + queued;
}
