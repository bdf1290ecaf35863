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

enum { MAX_ROWS = 40, SERVERS = 2 };

/* A router and the documents that were put in force there one after the other. */
struct deployment {
	struct router_fixture fixture;
	apr_pool_t *pool;
	uint64_t revision;
};

static void deployment_open(struct deployment *deployment)
{
	memset(deployment, 0, sizeof *deployment);
	apr_pool_create(&deployment->pool, NULL);
	router_fixture_open(&deployment->fixture, 1);
}

static void deployment_close(struct deployment *deployment)
{
	router_fixture_close(&deployment->fixture);
	apr_pool_destroy(deployment->pool);
}

/* Put a document in force that replaces the whole configuration. */
static void deployment_configure(struct deployment *deployment, const char *document)
{
	struct Nl__Instance *instances[SERVERS];
	struct Nl__Change change;
	struct config_table table;
	const char *error = NULL;

	nl__change__init(&change);
	if (platform_codec.read(NULL, 0, document, strlen(document), 0, &change, &error, deployment->pool))
		fail_msg("%s: %s", document, error);
	change.any_revision = change.replace_all = change.replace_keys = 1;
	config_table_open(&table);
	error = config_check_change(&table, &change, deployment->pool);
	config_table_close(&table);
	if (error)
		fail_msg("%s: %s", document, error);
	for (size_t i = 0; i < change.n_set; i++)
		if (change.set[i]->kind == NL__KIND__SERVICE)
			change.set[i]->target_weights = "w1";
	for (int i = 0; i < SERVERS; i++)
		instances[i] = new_instance(deployment->pool, i, "s");
	router_fixture_table(&deployment->fixture, change.set, change.n_set, instances, SERVERS,
			     ++deployment->revision);
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(large_numbers_of_a_configuration_stay_large),
		cmocka_unit_test(a_slow_store_is_a_store),
	};
	int rc;

	apr_initialize();
	if (getenv("NL_TEST"))
		cmocka_set_test_filter(getenv("NL_TEST"));
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
