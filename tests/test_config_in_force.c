/* What an acknowledged document says is what a router does: documents of operators, translated and checked as
 * a controller does, put in force at a router that gets requests. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <cmocka.h>

#include "config_check.h"
#include "config_document.h"
#include "containers.h"
#include "router_fixture.h"

enum { SERVERS = 2 };

/* A router and the documents that were put in force there one after the other. */
struct deployment {
	struct router_fixture fixture;
	apr_pool_t *pool;
	uint64_t revision;
	size_t server_count; /* of the service s */
	char keys_line[200]; /* the newest line logged about routes that require a key while there is none */
};

static void keep_log_line(void *context, const char *subsystem, const char *line)
{
	struct deployment *deployment = context;

	(void)subsystem;
	if (strstr(line, "no key is configured"))
		apr_cpystrn(deployment->keys_line, line, sizeof deployment->keys_line);
}

static void deployment_open(struct deployment *deployment)
{
	memset(deployment, 0, sizeof *deployment);
	apr_pool_create(&deployment->pool, NULL);
	deployment->server_count = SERVERS;
	router_fixture_open(&deployment->fixture, 1);
	deployment->fixture.router.log = keep_log_line;
	deployment->fixture.router.log_context = deployment;
}

static void deployment_close(struct deployment *deployment)
{
	router_fixture_close(&deployment->fixture);
	apr_pool_destroy(deployment->pool);
}

/* Translate and check a document, or a patch of the document base, as a controller does, and put it in force.
 */
static void put_in_force(struct deployment *deployment, const char *base, const char *body, int is_patch)
{
	struct Nl__Instance *instances[SERVERS];
	struct Nl__Change change;
	struct config_table table;
	const char *error = NULL;

	nl__change__init(&change);
	if (platform_codec.read(base, base ? strlen(base) : 0, body, strlen(body), is_patch, &change, &error,
				deployment->pool))
		fail_msg("%s: %s", body, error);
	change.any_revision = change.replace_all = change.replace_keys = 1;
	config_table_open(&table);
	error = config_check_change(&table, &change, deployment->pool);
	config_table_close(&table);
	if (error)
		fail_msg("%s: %s", body, error);
	for (size_t i = 0; i < change.n_set; i++)
		if (change.set[i]->kind == NL__KIND__SERVICE)
			change.set[i]->target_weights = "w1";
	for (size_t i = 0; i < deployment->server_count; i++)
		instances[i] = new_instance(deployment->pool, (int)i, "s");
	router_fixture_table(&deployment->fixture, change.set, change.n_set, instances,
			     deployment->server_count, ++deployment->revision);
}

static void deployment_configure(struct deployment *deployment, const char *document)
{
	put_in_force(deployment, NULL, document, 0);
}

static void deployment_patch(struct deployment *deployment, const char *document, const char *patch)
{
	put_in_force(deployment, document, patch, 1);
}

static const struct forward_command *newest_forward(const struct deployment *deployment)
{
	const struct command_list *commands = &deployment->fixture.commands;

	for (ptrdiff_t i = arrlen(commands->commands) - 1; i >= 0; i--)
		if (commands->commands[i].kind == CMD_FORWARD)
			return commands->commands[i].args.forward;
	return NULL;
}

/* ---- numbers ---- */

/* Guards against large numbers of a configuration that wrap and act as small ones: the connections allowed to
 * a server, and its capacity. */
static void large_numbers_of_a_configuration_stay_large(void **state)
{
	static const char *const numbers[] = {
		"1000",
		"477218588",  /* times nine: the last below 2^32 */
		"477218589",  /* times nine: 5 modulo 2^32 */
		"2147483647", /* 2^31 - 1 */
		"2147483648",
		"4294967295", /* 2^32 - 1 */
		"4294967296",
		"9007199254740992",    /* 2^53 */
		"230584300921369396",  /* times eighty: the first above 2^64 */
		"9223372036854775807", /* 2^63 - 1 */
		"18446744073709551615",
		"1e300",
	};
	(void)state;
	for (size_t i = 0; i < sizeof numbers / sizeof *numbers; i++) {
		struct deployment deployment;
		const struct forward_command *forward;
		const char *document;
		int status;

		deployment_open(&deployment);
		document = apr_psprintf(
		    deployment.pool,
		    "{\"ConfigVersion\":1,\"RouteList\":[{\"Name\":\"r\",\"HostName\":\"h\",\"PathPrefix\":\"/\","
		    "\"ServiceName\":\"s\",\"TimeoutMs\":%s,\"TargetMs\":%s,\"GapTargetMs\":%s,\"MaxAttempts\":%s}],"
		    "\"ServiceList\":[{\"Name\":\"s\",\"MaxConnections\":%s,\"EngineType\":{\"SlotCount\":%s,"
		    "\"KvCapacity\":%s,\"KvTokenBytes\":%s,\"LinkMbps\":%s,\"MaxInFlight\":%s}}]}",
		    numbers[i], numbers[i], numbers[i], numbers[i], numbers[i], numbers[i], numbers[i],
		    numbers[i], numbers[i], numbers[i]);
		deployment_configure(&deployment, document);
		for (int k = 0; k < SERVERS; k++)
			deployment.fixture.router.servers.states[k].own_resident_tokens = 700;
		assert_non_null(router_fixture_submit(&deployment.fixture, "h", "/", "id", &status));
		forward = newest_forward(&deployment);
		if (!forward)
			fail_msg("%s: no server gets the request", numbers[i]);
		if (forward->max_connections < 900)
			fail_msg("%s connections to a server: a router uses %d", numbers[i],
				 forward->max_connections);
		deployment_close(&deployment);
	}
}

/* Guards against a store whose link is so slow that its speed rounds to 0, which said that the service has no
 * store. */
static void a_slow_store_is_a_store(void **state)
{
	static const struct {
		const char *link_mbps;
		uint32_t bytes_per_ms;
	} links[] = { { "0", 1 },   { "0.001", 1 }, { "0.5", 62 },
		      { "1", 125 }, { "8", 1000 },  { "1e300", 1000 } };

	(void)state;
	for (size_t i = 0; i < sizeof links / sizeof *links; i++) {
		struct deployment deployment;
		const struct router *router = &deployment.fixture.router;
		const struct service_config *service;

		deployment_open(&deployment);
		deployment_configure(
		    &deployment,
		    apr_psprintf(
			deployment.pool,
			"{\"ConfigVersion\":1,\"ServiceList\":[{\"Name\":\"s\",\"EngineType\":{\"LinkMbps\":8}},"
			"{\"Name\":\"k\",\"KvStoreAddress\":\"127.0.0.9:80\",\"LinkMbps\":%s}]}",
			links[i].link_mbps));
		service = &router->config.route_table->services[names_find(&router->names.services, "s")];
		assert_int_equal(service->store_bytes_per_ms, links[i].bytes_per_ms);
		assert_true(service->store_server_index >= 0);
		deployment_close(&deployment);
	}
}

/* ---- keys ---- */

/* Submit a request with a key, or without one where key is NULL. Returns the status of its answer; 0: it is
 * sent to a server. */
static int status_with_key(struct deployment *deployment, const char *path, const char *key)
{
	char hex[65];
	int status;

	(void)router_fixture_submit_with_key(&deployment->fixture, "h", path, "id",
					     key ? access_key_digest(key, hex) : NULL, &status);
	return status;
}

#define KEYED_ROUTE "{\"Name\":\"r\",\"HostName\":\"h\",\"PathPrefix\":\"/\",\"ServiceName\":\"s\"}"
#define OPEN_ROUTE \
	"{\"Name\":\"o\",\"HostName\":\"h\",\"PathPrefix\":\"/o/\",\"ServiceName\":\"s\",\"PublicAccess\":true}"
#define KEYS_DOCUMENT(more)                                                    \
	"{\"ConfigVersion\":1,\"RouteList\":[" KEYED_ROUTE "," OPEN_ROUTE "]," \
	"\"ServiceList\":[{\"Name\":\"s\"}]" more "}"

/* Guards against routes that are open to everyone because no key is left: whether a route asks for a key is
 * said by its configuration alone. */
static void a_route_without_any_key_left_stays_closed(void **state)
{
	static const char two[] =
	    KEYS_DOCUMENT(",\"TenantList\":[{\"Name\":\"t\",\"AccessKeys\":[\"k1\",\"k2\"]}]");
	static const char one[] = KEYS_DOCUMENT(",\"TenantList\":[{\"Name\":\"t\",\"AccessKeys\":[\"k2\"]}]");
	static const char *const none[] = {
		KEYS_DOCUMENT(",\"TenantList\":[{\"Name\":\"t\",\"AccessKeys\":[]}]"),
		KEYS_DOCUMENT(",\"TenantList\":[{\"Name\":\"t\"}]"),
		KEYS_DOCUMENT(",\"TenantList\":[]"),
	};
	static const char no_list[] = KEYS_DOCUMENT("");

	(void)state;
	for (size_t i = 0; i < sizeof none / sizeof *none; i++)
		for (int had_keys = 0; had_keys < 2; had_keys++) {
			struct deployment deployment;

			deployment_open(&deployment);
			if (had_keys) {
				deployment_configure(&deployment, two);
				assert_int_equal(status_with_key(&deployment, "/", "k1"), 0);
				assert_int_equal(status_with_key(&deployment, "/", "k2"), 0);
				assert_int_equal(status_with_key(&deployment, "/", "k3"), 401);
				deployment_configure(&deployment, one);
				assert_int_equal(status_with_key(&deployment, "/", "k1"), 401);
				assert_int_equal(status_with_key(&deployment, "/", "k2"), 0);
			}
			deployment_configure(&deployment, none[i]);
			assert_non_null(strstr(deployment.keys_line, "configured: 1."));
			assert_int_equal(status_with_key(&deployment, "/", "k1"), 401);
			assert_int_equal(status_with_key(&deployment, "/", "k2"), 401);
			assert_int_equal(status_with_key(&deployment, "/", "never a key"), 401);
			assert_int_equal(status_with_key(&deployment, "/", NULL), 401);
			assert_int_equal(status_with_key(&deployment, "/o/", "k2"), 0);
			assert_int_equal(status_with_key(&deployment, "/o/", NULL), 0);
			deployment_configure(&deployment, no_list); /* which says that all are open */
			assert_non_null(strstr(deployment.keys_line, "configured: 0."));
			assert_int_equal(status_with_key(&deployment, "/", "k1"), 0);
			assert_int_equal(status_with_key(&deployment, "/", NULL), 0);
			deployment_configure(&deployment, none[i]);
			assert_int_equal(status_with_key(&deployment, "/", NULL), 401);
			deployment_close(&deployment);
		}
}

/* The same, where patches take the last tenant and the last key away. */
static void a_patch_without_any_key_left_opens_no_route(void **state)
{
	static const char document[] =
	    KEYS_DOCUMENT(",\"TenantList\":[{\"Name\":\"t\",\"AccessKeys\":[\"k1\"]}]");
	static const char *const patches[] = {
		"{\"ConfigVersion\":2,\"Remove\":{\"TenantList\":[\"t\"]}}",
		"{\"ConfigVersion\":2,\"Upsert\":{\"TenantList\":[{\"Name\":\"t\",\"AccessKeys\":[]}]}}",
	};

	(void)state;
	for (size_t i = 0; i < sizeof patches / sizeof *patches; i++) {
		struct deployment deployment;

		deployment_open(&deployment);
		deployment_configure(&deployment, document);
		assert_int_equal(status_with_key(&deployment, "/", "k1"), 0);
		deployment_patch(&deployment, document, patches[i]);
		assert_int_equal(status_with_key(&deployment, "/", "k1"), 401);
		assert_int_equal(status_with_key(&deployment, "/", NULL), 401);
		assert_int_equal(status_with_key(&deployment, "/o/", NULL), 0);
		deployment_close(&deployment);
	}
}

/* Guards against a request that waits while its key is taken away, the last of all, and is then sent. */
static void a_waiting_request_ends_with_the_last_key(void **state)
{
	struct deployment deployment;
	struct client_request *request;
	char hex[65];
	int status;

	(void)state;
	deployment_open(&deployment);
	deployment.server_count = 0; /* nobody can run it yet */
	deployment_configure(&deployment,
			     KEYS_DOCUMENT(",\"TenantList\":[{\"Name\":\"t\",\"AccessKeys\":[\"k1\"]}]"));
	request = router_fixture_submit_with_key(&deployment.fixture, "h", "/", "id",
						 access_key_digest("k1", hex), &status);
	assert_non_null(request);
	assert_int_equal(request->state, REQUEST_WAITING);
	deployment.server_count = SERVERS;
	deployment_configure(&deployment,
			     KEYS_DOCUMENT(",\"TenantList\":[{\"Name\":\"t\",\"AccessKeys\":[]}]"));
	assert_null(router_request_by_token(&deployment.fixture.router, deployment.fixture.token));
	assert_int_equal(deployment.fixture.router.stats.ended_key_removed, 1);
	assert_null(newest_forward(&deployment));
	deployment_close(&deployment);
}

/* ---- hosts ---- */

/* Whether a request with this host is sent to a server under a configuration whose only route has this
 * HostName. */
static bool is_served(const char *host_name, const char *host)
{
	struct deployment deployment;
	int status;

	deployment_open(&deployment);
	deployment_configure(
	    &deployment,
	    apr_psprintf(deployment.pool,
			 "{\"ConfigVersion\":1,\"RouteList\":[{\"Name\":\"r\",\"HostName\":\"%s\","
			 "\"PathPrefix\":\"/x/\",\"ServiceName\":\"s\"}],\"ServiceList\":[{\"Name\":\"s\"}]}",
			 host_name));
	(void)router_fixture_submit(&deployment.fixture, host, "/x/1", "id", &status);
	deployment_close(&deployment);
	return !status;
}

#define LETTERS_50 "abcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwx"
#define LETTERS_250 LETTERS_50 LETTERS_50 LETTERS_50 LETTERS_50 LETTERS_50

/* Guards against a route that is acknowledged and answers 404, as its HostName is spelt in another way than
 * the hosts of its requests: by upper-case letters, a port or a dot at the end. */
static void a_host_has_one_form_in_all_spellings(void **state)
{
	static const char *const spellings[] = {
		"counter.example",   "Counter.Example",  "COUNTER.EXAMPLE",  "counter.example:80",
		"Counter.Example:1", "counter.example:", "counter.example.", "Counter.Example.:8080"
	};
	static const char *const addresses[] = { "[::1]", "[::1]:80", "[::1]:" };
	static const char *const others[] = { "",
					      ":80",
					      "counter",
					      "counter.example.com",
					      "xcounter.example",
					      "[::1]",
					      "counter.example:80:80",
					      "counter.example:x" };

	(void)state;
	for (size_t i = 0; i < sizeof spellings / sizeof *spellings; i++) {
		for (size_t k = 0; k < sizeof spellings / sizeof *spellings; k++)
			if (!is_served(spellings[i], spellings[k]))
				fail_msg("HostName %s, host %s: not served", spellings[i], spellings[k]);
		for (size_t k = 0; k < sizeof others / sizeof *others; k++)
			if (is_served(spellings[i], others[k]))
				fail_msg("HostName %s, host %s: served", spellings[i], others[k]);
	}
	for (size_t i = 0; i < sizeof addresses / sizeof *addresses; i++) {
		for (size_t k = 0; k < sizeof addresses / sizeof *addresses; k++)
			if (!is_served(addresses[i], addresses[k]))
				fail_msg("HostName %s, host %s: not served", addresses[i], addresses[k]);
		assert_false(is_served(addresses[i], "[::2]"));
	}
	assert_true(is_served(LETTERS_250 "abcde", LETTERS_250 "abcde:8080"));
	assert_false(is_served(LETTERS_250 "abcde", LETTERS_250 "abcdef"));
}

/* Guards against two routes that share host and path in two spellings, of which one can never be served. */
static void routes_alike_but_for_the_spelling_of_a_host_are_one_conflict(void **state)
{
	static const char *const pairs[][2] = { { "a.example", "A.example" },
						{ "a.example", "a.example:80" },
						{ "a.example.", "a.Example" } };
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	for (size_t i = 0; i < sizeof pairs / sizeof *pairs; i++) {
		struct Nl__Change change;
		const char *document = apr_psprintf(
		    pool,
		    "{\"ConfigVersion\":1,\"RouteList\":[{\"Name\":\"r1\",\"HostName\":\"%s\",\"PathPrefix\":\"/x/\","
		    "\"ServiceName\":\"s\"},{\"Name\":\"r2\",\"HostName\":\"%s\",\"PathPrefix\":\"/x/\","
		    "\"ServiceName\":\"s\"}],\"ServiceList\":[{\"Name\":\"s\"}]}",
		    pairs[i][0], pairs[i][1]);
		const char *error = NULL;

		nl__change__init(&change);
		assert_int_not_equal(
		    platform_codec.read(NULL, 0, document, strlen(document), 0, &change, &error, pool), 0);
		assert_non_null(strstr(error, "the same as those of route r1"));
	}
	apr_pool_destroy(pool);
}

static struct Nl__Row *route_row(apr_pool_t *pool, const char *name, const char *host, const char *service)
{
	struct Nl__Row *row = new_row(pool, NL__KIND__ROUTE, name);

	row->host = (char *)(uintptr_t)host;
	row->path = (char *)(uintptr_t) "/x/";
	row->service = (char *)(uintptr_t)service;
	row->limit = 10;
	row->key_optional = 1;
	return row;
}

/* Guards against rows of an older build, whose hosts have upper-case letters and two of which share a host in
 * two spellings: the first is served, and of the two every router takes the one that was served before. */
static void hosts_stored_by_an_older_build_are_served(void **state)
{
	(void)state;
	for (int order = 0; order < 2; order++) {
		struct router_fixture fixture;
		struct Nl__Instance *instances[1];
		struct Nl__Row *rows[5];
		struct client_request *request;
		int status;

		router_fixture_open(&fixture, 1);
		rows[0] = new_service(fixture.pool, "s");
		rows[1] = new_service(fixture.pool, "other");
		rows[2] = route_row(fixture.pool, "alone", "Counter.Example", "s");
		rows[3 + order] = route_row(fixture.pool, "a-later", "A.example", "other");
		rows[4 - order] = route_row(fixture.pool, "served", "a.example", "s");
		instances[0] = new_instance(fixture.pool, 0, "s");
		router_fixture_table(&fixture, rows, 5, instances, 1, 1);
		request = router_fixture_submit(&fixture, "counter.example", "/x/", "1", &status);
		assert_non_null(request);
		request = router_fixture_submit(&fixture, "A.EXAMPLE", "/x/", "2", &status);
		assert_non_null(request);
		assert_string_equal(fixture.router.names.routes.names[request->route.index], "served");
		router_fixture_close(&fixture);
	}
}

/* A table that an older build left with two spellings of one host takes changes of other rows, and refuses
 * one that adds a third. */
static void a_stored_conflict_of_hosts_blocks_no_other_change(void **state)
{
	struct Nl__Row *set[2];
	struct Nl__Change change;
	struct config_table table;
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	config_table_open(&table);
	nl__change__init(&change);
	change.any_revision = 1;
	change.set = set;
	change.n_set = 2;
	set[0] = route_row(pool, "one", "a.example", "s");
	set[1] = route_row(pool, "two", "A.example", "s");
	assert_non_null(config_check_change(&table, &change, pool));
	assert_int_equal(config_table_apply(&table, &change, NULL), PROPOSAL_APPLIED);
	change.n_set = 1;
	set[0] = route_row(pool, "three", "b.example", "s");
	assert_null(config_check_change(&table, &change, pool));
	set[0] = route_row(pool, "three", "a.Example:80", "s");
	assert_non_null(config_check_change(&table, &change, pool));
	set[0] = route_row(pool, "three", ":80", "s");
	assert_non_null(config_check_change(&table, &change, pool));
	config_table_close(&table);
	apr_pool_destroy(pool);
}

/* ---- requests that may have run ---- */

/* How many servers get a request whose first server breaks its answer off before its head, under this
 * document, with the status of its answer; 0: none yet. */
static int sends_after_break(const char *document, int *status)
{
	struct deployment deployment;
	struct router_fixture *fixture = &deployment.fixture;
	uint64_t first, second;

	deployment_open(&deployment);
	deployment_configure(&deployment, document);
	assert_non_null(router_fixture_submit(fixture, "h", "/x/", "id", status));
	assert_true((first = router_fixture_last_call(fixture)) != 0);
	router_fixture_end_call(fixture, first, FORWARD_BROKEN_OFF, 0);
	second = router_fixture_last_call(fixture);
	for (ptrdiff_t i = 0; i < arrlen(fixture->commands.commands); i++)
		if (fixture->commands.commands[i].kind == CMD_ANSWER)
			*status = fixture->commands.commands[i].args.answer.status;
	deployment_close(&deployment);
	return 1 + (second != 0);
}

#define ROUTE_OF_TYPE(type, more)                                                                        \
	"{\"ConfigVersion\":1,\"RouteList\":[{\"Name\":\"r\",\"HostName\":\"h\",\"PathPrefix\":\"/x/\"," \
	"\"ServiceName\":\"s\",\"MaxAttempts\":3,\"RouteType\":\"" type "\"" more                        \
	"}],\"ServiceList\":[{\"Name\":\"s\"}]}"

/* Guards against a second run of a request that may run once: Resumable speaks of streams, and stands for
 * nothing in the entry of a route of another type. */
static void only_streams_are_repeated_for_being_resumable(void **state)
{
	int status;

	(void)state;
	assert_int_equal(sends_after_break(ROUTE_OF_TYPE("non_idempotent", ",\"Resumable\":true"), &status),
			 1);
	assert_int_equal(status, 502);
	assert_int_equal(sends_after_break(ROUTE_OF_TYPE("", ",\"Resumable\":true"), &status), 1);
	assert_int_equal(sends_after_break(ROUTE_OF_TYPE("non_idempotent", ""), &status), 1);
	assert_int_equal(sends_after_break(ROUTE_OF_TYPE("streaming", ""), &status), 1);
	assert_int_equal(sends_after_break(ROUTE_OF_TYPE("streaming", ",\"Resumable\":true"), &status), 2);
	assert_int_equal(sends_after_break(ROUTE_OF_TYPE("idempotent", ",\"Resumable\":true"), &status), 2);
	assert_int_equal(sends_after_break(ROUTE_OF_TYPE("idempotent", ""), &status), 2);
}

/* The same for a row that an older build stored, or that was written by hand: without a pause between events
 * a route has no streams. */
static void a_stored_row_without_streams_is_not_resumable(void **state)
{
	(void)state;
	for (int has_streams = 0; has_streams < 2; has_streams++) {
		struct router_fixture fixture;
		struct Nl__Instance *instances[SERVERS];
		struct Nl__Row *rows[2];
		int status;

		router_fixture_open(&fixture, 1);
		rows[0] = new_service(fixture.pool, "s");
		rows[1] = route_row(fixture.pool, "r", "h", "s");
		rows[1]->resumable = 1;
		rows[1]->max_gap_ms = has_streams ? 250 : 0;
		for (int i = 0; i < SERVERS; i++)
			instances[i] = new_instance(fixture.pool, i, "s");
		router_fixture_table(&fixture, rows, 2, instances, SERVERS, 1);
		assert_non_null(router_fixture_submit(&fixture, "h", "/x/", "id", &status));
		router_fixture_end_call(&fixture, router_fixture_last_call(&fixture), FORWARD_BROKEN_OFF, 0);
		assert_int_equal(router_fixture_last_call(&fixture) != 0, has_streams);
		router_fixture_close(&fixture);
	}
}

/* ---- the retry budget ---- */

/* How many of three requests, one after the other, are sent again after a server refused them for being
 * another incarnation, in a fleet of so many routers. */
static int resends_after_refusals(uint32_t router_count)
{
	struct deployment deployment;
	struct router_fixture *fixture = &deployment.fixture;
	int resends = 0, status;

	deployment_open(&deployment);
	fixture->router.config.bounds.use_endpoint_list = 1;
	fixture->router.config.bounds.retry_budget_permille = 200;
	fixture->router.config.bounds.retry_budget_slack = 58;
	deployment_configure(&deployment, ROUTE_OF_TYPE("idempotent", ""));
	fixture->router.config.watch.router_count = router_count;
	for (int i = 0; i < 3; i++) {
		for (int k = 0; k < SERVERS; k++)
			fixture->router.servers.states[k].unavailable_until_ms = 0;
		assert_non_null(router_fixture_submit(fixture, "h", "/x/", "id", &status));
		router_fixture_end_call(fixture, router_fixture_last_call(fixture), FORWARD_NOT_STARTED, 421);
		if (!router_fixture_last_call(fixture))
			continue;
		resends++;
		router_fixture_end_call(fixture, router_fixture_last_call(fixture), FORWARD_COMPLETE, 200);
	}
	deployment_close(&deployment);
	return resends;
}

/* Guards against requests of a small fleet that end for want of a retry, while the platform's slack for
 * retries is hardly used: a second request is sent again as well. Many routers have the slack together. */
static void a_small_fleet_may_overdraw_its_retry_budget(void **state)
{
	(void)state;
	assert_int_equal(resends_after_refusals(2), 2);
	assert_int_equal(resends_after_refusals(90), 1);
}

/* ---- before the first configuration ---- */

/* Guards against 404 for want of any configuration: a router that knows none yet is not ready and refuses
 * with 503, and one that knows an empty one answers 404. */
static void a_router_without_a_configuration_denies_nothing(void **state)
{
	struct router_fixture fixture;
	int status;

	(void)state;
	router_fixture_open(&fixture, 1);
	fixture.is_unconfigured = true;
	router_fixture_table(&fixture, NULL, 0, NULL, 0, 1);
	assert_false(router_ready(&fixture.router, fixture.now));
	assert_null(router_fixture_submit(&fixture, "h", "/x/", "1", &status));
	assert_int_equal(status, 503);
	fixture.is_unconfigured = false;
	router_fixture_table(&fixture, NULL, 0, NULL, 0, 2);
	assert_true(router_ready(&fixture.router, fixture.now));
	assert_null(router_fixture_submit(&fixture, "h", "/x/", "2", &status));
	assert_int_equal(status, 404);
	router_fixture_close(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(large_numbers_of_a_configuration_stay_large),
		cmocka_unit_test(a_slow_store_is_a_store),
		cmocka_unit_test(a_route_without_any_key_left_stays_closed),
		cmocka_unit_test(a_patch_without_any_key_left_opens_no_route),
		cmocka_unit_test(a_waiting_request_ends_with_the_last_key),
		cmocka_unit_test(a_host_has_one_form_in_all_spellings),
		cmocka_unit_test(routes_alike_but_for_the_spelling_of_a_host_are_one_conflict),
		cmocka_unit_test(hosts_stored_by_an_older_build_are_served),
		cmocka_unit_test(a_stored_conflict_of_hosts_blocks_no_other_change),
		cmocka_unit_test(only_streams_are_repeated_for_being_resumable),
		cmocka_unit_test(a_stored_row_without_streams_is_not_resumable),
		cmocka_unit_test(a_small_fleet_may_overdraw_its_retry_budget),
		cmocka_unit_test(a_router_without_a_configuration_denies_nothing),
	};
	int rc;

	apr_initialize();
	if (getenv("NL_TEST"))
		cmocka_set_test_filter(getenv("NL_TEST"));
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
