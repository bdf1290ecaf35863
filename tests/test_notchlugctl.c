/* notchlugctl against a controller whose answers are lost: one order, one key, until there is a clear answer.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <netinet/in.h>
#include <pthread.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

enum { CALLS = 8, REQUEST = 4096, WAIT_S = 30 };

/* A controller that gives the answers of a script, one a connection; an empty one is lost. */
struct registrar {
	int listener;
	const char *const *script;
	int calls;
	char request[CALLS][REQUEST];
};

#define ANSWER(status, body) \
	"HTTP/1.1 " status "\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n" body
static const char lost[] = "";

static int listen_at(char address[32])
{
	struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	struct timeval limit = { .tv_sec = WAIT_S };
	socklen_t size = sizeof at;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_true(fd >= 0);
	assert_int_equal(bind(fd, (struct sockaddr *)&at, sizeof at), 0);
	assert_int_equal(listen(fd, 16), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
	assert_int_equal(setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit), 0);
	snprintf(address, 32, "127.0.0.1:%d", ntohs(at.sin_port));
	return fd;
}

/* Whether the request's head and the body that it announces are there. */
static int is_whole(const char *request)
{
	const char *body = strstr(request, "\r\n\r\n"), *length = strstr(request, "Content-Length: ");

	return body && (!length || strlen(body + 4) >= strtoul(length + 16, NULL, 10));
}

static void read_request(int fd, char *to)
{
	size_t n = 0;
	ssize_t got;

	while (!is_whole(to) && (got = read(fd, to + n, REQUEST - 1 - n)) > 0) {
		n += (size_t)got;
		to[n] = 0;
	}
}

static void *serve(void *arg)
{
	struct registrar *r = arg;

	for (int i = 0; r->script[i]; i++) {
		int fd = accept(r->listener, NULL, NULL);
		const char *rest = r->script[i];
		ssize_t sent;

		if (fd < 0)
			break;
		read_request(fd, r->request[r->calls++]);
		for (; *rest && (sent = write(fd, rest, strlen(rest))) > 0; rest += sent)
			;
		close(fd);
	}
	return NULL;
}

/* Run notchlugctl once; its exit code, and what it printed. */
static int run_notchlugctl(const char *arguments, char *output, size_t size)
{
	char command[600];
	size_t n = 0;
	FILE *file;
	int status;

	snprintf(command, sizeof command, "%s 2>&1 %s", NOTCHLUGCTL, arguments);
	file = popen(command, "r");
	assert_non_null(file);
	n = fread(output, 1, size - 1, file);
	output[n] = 0;
	status = pclose(file);
	assert_true(WIFEXITED(status));
	return WEXITSTATUS(status);
}

static int against(struct registrar *r, const char *const *script, const char *arguments, char *output,
		   size_t size)
{
	char address[32], all[300];
	pthread_t thread;
	int code;

	memset(r, 0, sizeof *r);
	r->script = script;
	r->listener = listen_at(address);
	assert_int_equal(pthread_create(&thread, NULL, serve, r), 0);
	snprintf(all, sizeof all, arguments, address);
	code = run_notchlugctl(all, output, size);
	shutdown(r->listener, SHUT_RDWR);
	close(r->listener);
	pthread_join(thread, NULL);
	return code;
}

static const char *row_key(const struct registrar *r, int call, char key[200])
{
	const char *at = strstr(r->request[call], "Idempotency-Key: ");

	assert_non_null(at);
	snprintf(key, 200, "%.*s", (int)strcspn(at + 17, "\r\n"), at + 17);
	return key;
}

static void a_request_is_sent_again_under_one_key(void **state)
{
	static const char *const script[] = {
		lost, ANSWER("503 Service Unavailable", "{\"error\":\"no leader\"}"),
		ANSWER("504 Gateway Timeout", "{\"error\":\"outcome unknown\"}"),
		ANSWER("200 OK", "{\"edition\":7}"), NULL
	};
	static struct registrar r;
	char output[1000], first[200], again[200];

	(void)state;
	assert_int_equal(against(&r, script, "--at %s key add t secret", output, sizeof output), 0);
	assert_non_null(strstr(output, "edition 7"));
	assert_int_equal(r.calls, 4);
	row_key(&r, 0, first);
	assert_true(strlen(first) >= 32);
	for (int i = 1; i < 4; i++) {
		assert_string_equal(row_key(&r, i, again), first);
		assert_string_equal(strstr(r.request[i], "\r\n\r\n"), strstr(r.request[0], "\r\n\r\n"));
	}
	/* another order, another key */
	assert_int_equal(against(&r, script + 3, "--at %s key add t secret", output, sizeof output), 0);
	assert_string_not_equal(row_key(&r, 0, again), first);
	/* one that was given up before */
	assert_int_equal(
	    against(&r, script + 3, "--at %s --key earlier-1 key add t secret", output, sizeof output), 0);
	assert_string_equal(row_key(&r, 0, again), "earlier-1");
	/* purge too */
	assert_int_equal(against(&r, script, "--at %s clear all", output, sizeof output), 0);
	assert_int_equal(r.calls, 4);
	assert_string_equal(row_key(&r, 3, again), row_key(&r, 0, first));
}

static void a_clear_refusal_ends_it(void **state)
{
	static const struct {
		const char *script[2];
		int code;
	} cases[] = {
		{ { ANSWER("409 Conflict", "{\"error\":\"edition overtaken\",\"edition\":9}"), NULL }, 4 },
		{ { ANSWER("400 Bad Request", "{\"error\":\"wrong\"}"), NULL }, 1 },
		{ { ANSWER("422 Unprocessable Entity",
			   "{\"error\":\"Idempotency-Key: used before for another order\"}"),
		    NULL },
		  1 },
	};
	static struct registrar r;
	char output[1000];

	(void)state;
	for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
		assert_int_equal(against(&r, cases[i].script, "--at %s del tenant t", output, sizeof output),
				 cases[i].code);
		assert_int_equal(r.calls, 1);
	}
	assert_int_equal(run_notchlugctl("--key 'no key' del tenant t", output, sizeof output), 2);
	assert_int_equal(run_notchlugctl("--at nowhere del tenant t", output, sizeof output), 2);
}

/* A controller that is gone is not asked for ever: the next address is. */
static void the_next_controller_is_called(void **state)
{
	static const char *const script[] = { ANSWER("200 OK", "{\"edition\":3}"), NULL };
	static struct registrar r;
	char output[1000], gone[32], arguments[100];

	(void)state;
	close(listen_at(gone));
	snprintf(arguments, sizeof arguments, "--at %s,%%s del tenant t", gone);
	assert_int_equal(against(&r, script, arguments, output, sizeof output), 0);
	assert_int_equal(r.calls, 1);
}

/* A read changes nothing: one whose answer is lost, or that a controller cannot answer, is made again, at the
 * next address. */
static void a_read_is_made_again(void **state)
{
	static const char *const script[] = {
		lost, ANSWER("503 Service Unavailable", "{\"error\":\"this controller stops\"}"),
		ANSWER("504 Gateway Timeout", "{\"error\":\"outcome unknown\"}"),
		ANSWER("200 OK", "{\"edition\":3,\"rows\":[]}"), NULL
	};
	static struct registrar r;
	char output[1000], gone[32], arguments[100];

	(void)state;
	assert_int_equal(against(&r, script, "--at %s show", output, sizeof output), 0);
	assert_int_equal(r.calls, 4);
	close(listen_at(gone));
	snprintf(arguments, sizeof arguments, "--at %s,%%s show", gone);
	assert_int_equal(against(&r, script + 3, arguments, output, sizeof output), 0);
	assert_int_equal(r.calls, 1);
	assert_non_null(strstr(r.request[0], "GET /v1/table"));
}

/* A clear refusal of a read is not asked for again. */
static void a_refused_read_ends(void **state)
{
	static const char *const script[] = { ANSWER("404 Not Found", "{\"error\":\"no such call\"}"), NULL };
	static struct registrar r;
	char output[1000];

	(void)state;
	assert_int_not_equal(against(&r, script, "--at %s retention", output, sizeof output), 0);
	assert_int_equal(r.calls, 1);
}

#define OLD_NOUN " is the old name of "

/* How often a text stands in another one. */
static int occurrences(const char *text, const char *part)
{
	int n = 0;

	for (const char *at = strstr(text, part); at; at = strstr(at + 1, part))
		n++;
	return n;
}

/* The standard nouns name the kinds that the table and the interface have under other names. */
static void standard_nouns_name_the_stored_kinds(void **state)
{
	static const char *const script[] = { ANSWER("200 OK", "{\"edition\":4}"), NULL };
	static const struct {
		const char *noun, *stored;
	} cases[] = { { "route", "lane" },
		      { "controller", "registrar" },
		      { "listener", "door" },
		      { "tenant", "tenant" },
		      { "server", "server" } };
	static struct registrar r;
	char output[1000], arguments[100], row[100];

	(void)state;
	for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
		snprintf(arguments, sizeof arguments, "--at %%s del %s x", cases[i].noun);
		assert_int_equal(against(&r, script, arguments, output, sizeof output), 0);
		snprintf(row, sizeof row, "{\"kind\":\"%s\",\"name\":\"x\"}", cases[i].stored);
		assert_non_null(strstr(r.request[0], row));
		assert_null(strstr(output, OLD_NOUN));
	}
}

/* A table in which each kind with an old noun has a row. */
#define TABLE                                                                              \
	"{\"edition\":3,\"rows\":[{\"kind\":\"lane\",\"name\":\"r1\",\"service\":\"s1\"}," \
	"{\"kind\":\"tenant\",\"name\":\"t1\",\"share\":1},"                               \
	"{\"kind\":\"registrar\",\"name\":\"c1\",\"addr\":\"127.0.0.1:1\",\"zone\":\"z1\"}]}"

/* Old nouns do what they did, and say once, on the standard error, that they are old. */
static void old_nouns_work_and_say_once_that_they_are_old(void **state)
{
	static const char *const script[] = { ANSWER("200 OK", TABLE), ANSWER("200 OK", "{\"edition\":4}"),
					      NULL };
	static const struct {
		const char *old, *noun;
	} cases[] = { { "lane", "route" }, { "registrar", "controller" }, { "door", "listener" } };
	static struct registrar r;
	char output[1000], arguments[100], text[100];

	(void)state;
	for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
		snprintf(arguments, sizeof arguments, "--at %%s set %s x zone=z2", cases[i].old);
		assert_int_equal(against(&r, script, arguments, output, sizeof output), 0);
		assert_int_equal(r.calls, 2);
		snprintf(text, sizeof text, "\"kind\":\"%s\",\"name\":\"x\"", cases[i].old);
		assert_non_null(strstr(r.request[1], text));
		snprintf(text, sizeof text, "notchlugctl: %s" OLD_NOUN "%s", cases[i].old, cases[i].noun);
		assert_int_equal(occurrences(output, text), 1);
		assert_int_equal(occurrences(output, OLD_NOUN), 1);
		assert_non_null(strstr(output, "edition 4"));
		/* not on the standard output, which others read */
		snprintf(arguments, sizeof arguments, "--at %%s del %s x 2>/dev/null", cases[i].old);
		assert_int_equal(against(&r, script + 1, arguments, output, sizeof output), 0);
		assert_int_equal(occurrences(output, OLD_NOUN), 0);
		assert_string_equal(output, "edition 4\n");
	}
}

/* Rows are shown by either noun, and alike. */
static void a_kind_is_shown_by_either_noun(void **state)
{
	static const char *const script[] = { ANSWER("200 OK", TABLE), NULL };
	static struct registrar r;
	char by_noun[1000], by_old_noun[1000];

	(void)state;
	assert_int_equal(against(&r, script, "--at %s show route", by_noun, sizeof by_noun), 0);
	assert_non_null(strstr(by_noun, "r1"));
	assert_null(strstr(by_noun, "t1"));
	assert_null(strstr(by_noun, OLD_NOUN));
	assert_int_equal(
	    against(&r, script, "--at %s show lane 2>/dev/null", by_old_noun, sizeof by_old_noun), 0);
	assert_string_equal(by_old_noun, by_noun);
	assert_int_equal(run_notchlugctl("show no-such-kind", by_noun, sizeof by_noun), 2);
	assert_non_null(strstr(by_noun, "no such kind; there are route, tenant"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_request_is_sent_again_under_one_key),
		cmocka_unit_test(a_clear_refusal_ends_it),
		cmocka_unit_test(the_next_controller_is_called),
		cmocka_unit_test(a_read_is_made_again),
		cmocka_unit_test(a_refused_read_ends),
		cmocka_unit_test(standard_nouns_name_the_stored_kinds),
		cmocka_unit_test(old_nouns_work_and_say_once_that_they_are_old),
		cmocka_unit_test(a_kind_is_shown_by_either_noun),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
