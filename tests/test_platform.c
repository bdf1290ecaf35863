/* The platform's settings and doors, on files and loopback sockets with ports given by the kernel. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <cmocka.h>
#include <signal.h>
#include <unistd.h>

#include "platform.h"

/* ---- settings ---- */

/* A line each; a case replaces or leaves out the one that begins with its key. */
static const char *const edge[] = {
	"NodeName = \"edge-z1-1\"", "Role = \"counter\"", "IpAddress = \"127.1.0.14\"", "Zone = \"z1\"", "Region = \"r1\"",
	"InternalPorts = [7360,7375]", "SeedNodes = [\"127.1.0.17:8683\",\"127.2.0.25:8683\",\"127.3.0.38:8683\"]", "InitialStart = true",
	"ContractList = [\"base\",\"drain\",\"config\",\"retry\",\"recover\",\"stream\",\"engine\",\"tenants\"]",
	"[Zones]", "z1 = \"r1\"", "z2 = \"r2\"",
	"[ListenAddrs]", "FrontAddr = \"127.1.0.14:8689\"", "Readiness = \"127.1.0.14:8687\"", "ControlAddr = \"127.1.0.14:8683\"",
	"[Limits]", "CpuQuota = 0.25", "MemoryMb = 260", "MaxFds = 4100", "DiskMb = 128",
	"[Tolerance]", "MachineLosses = 2",
	"[TimingBounds]", "SeedLagS = 3", "AddressReuseS = 2", "ContactMs = 3001", "AckMs = 4001", "CatchUpS = 4.5", "DrainMs = 3002",
	"GraceS = 8", "LossSlackMs = 200", "ConfigApplyMs = 2001", "RevertSlackMs = 250", "DriftMaxMs = 5001", "RevocationGlobal = true",
	"RevokeMs = 5002", "RetryBudgetRatio = 0.2", "RetryWindowS = 10", "RetryBudgetSlack = 58", "RecoveryS = 12", "TransitMs = 120",
	"FenceChecked = true", "LeaseMs = 3003", "ThawSlackMs = 300", "VersionMs = 15000",
	"[PlatformApi]", "Address = \"127.200.0.24:8688\"", "RatePerS = 47.5", "DutyList = []", "MaxLagMs = 800",
};
enum { LINES = sizeof edge / sizeof *edge };

static char path[64];

static void put(const char *text)
{
	FILE *f = fopen(path, "w");

	assert_non_null(f);
	fputs(text, f);
	fclose(f);
}

/* The settings with one line replaced; value NULL: left out. */
static const char *with(const char *key, const char *value, apr_pool_t *p)
{
	const char *t = "DataPath = \"/data/x\"\n";

	if (key && !strcmp(key, "DataPath"))
		t = value ? apr_psprintf(p, "DataPath = %s\n", value) : "";
	for (int i = 0; i < LINES; i++) {
		size_t n = key ? strlen(key) : 0;

		if (n && !strncmp(edge[i], key, n) && (edge[i][n] == ' ' || edge[i][0] == '['))
			t = value ? apr_psprintf(p, "%s%s = %s\n", t, key, value) : t;
		else
			t = apr_psprintf(p, "%s%s\n", t, edge[i]);
	}
	return t;
}

static int read_them(struct settings *s, int disk, apr_pool_t *p)
{
	memset(s, 0, sizeof *s);
	return platform_settings(s, "test", disk, p);
}

static int setup(void **st)
{
	static apr_pool_t *p;
	int fd;

	apr_pool_create(&p, NULL);
	strcpy(path, "/tmp/nl-settings-XXXXXX");
	fd = mkstemp(path);
	assert_true(fd >= 0);
	close(fd);
	setenv("NOTCHLUG_CONFIG", path, 1);
	*st = p;
	return 0;
}

static int teardown(void **st)
{
	unlink(path);
	apr_pool_destroy(*st);
	return 0;
}

static void settings_of_an_edge_are_read(void **st)
{
	apr_pool_t *p = *st;
	struct settings s;
	struct platform *f;

	put(with(NULL, NULL, p));
	if (read_them(&s, 0, p) >= 0)
		fail_msg("%s", s.why);
	f = s.more;
	assert_string_equal(s.listen, "127.1.0.14:7360");
	assert_string_equal(s.web, "127.1.0.14:8689");
	assert_string_equal(s.zone, "z1");
	assert_null(s.data);
	assert_int_equal(s.nseeds, 3);
	assert_string_equal(s.seed[2], "127.3.0.38:7360");
	assert_true(s.found);
	assert_int_equal(s.grace_ms, 7300);
	assert_int_equal(s.bounds.grace_ms, 7300);
	assert_int_equal(s.bounds.contact_ms, 3001);
	assert_int_equal(s.bounds.ack_ms, 4001);
	assert_int_equal(s.bounds.catch_up_ms, 4500);
	assert_int_equal(s.bounds.drain_ms, 3002);
	assert_int_equal(s.bounds.config_ms, 2001);
	assert_int_equal(s.bounds.drift_ms, 5001);
	assert_int_equal(s.bounds.revoke_ms, 5002);
	assert_int_equal(s.bounds.lease_ms, 3003);
	assert_int_equal(s.bounds.thaw_ms, 300);
	assert_int_equal(s.bounds.recover_ms, 12000);
	assert_int_equal(s.bounds.roll_ms, 15000);
	assert_int_equal(s.bounds.budget_mille, 200);
	assert_int_equal(s.bounds.budget_slack, 58);
	assert_int_equal(s.bounds.budget_window_ms, 10000);
	assert_int_equal(s.bounds.copies, 5);
	assert_int_equal(s.bounds.list_mille, 47500);
	assert_int_equal(s.bounds.sights, 1);
	assert_string_equal(f->node, "edge-z1-1");
	assert_string_equal(f->region, "r1");
	assert_string_equal(f->front, "127.1.0.14:8689");
	assert_string_equal(f->readiness, "127.1.0.14:8687");
	assert_true(f->list == core_addr("127.200.0.24:8688"));
	assert_int_equal(f->list_lag_ms, 800);
	assert_int_equal(f->memory_mb, 260);
	assert_int_equal(f->fds, 4100);
	assert_int_equal(f->losses, 2);
	assert_int_equal(f->reuse_ms, 2000);
	assert_int_equal(f->transit_ms, 120);
	assert_true(f->fence_checked);
	assert_true(f->revoke_everywhere);
	assert_true(platform_has(f, "engine"));
	assert_false(platform_has(f, "pool"));
	assert_string_equal(platform_region(f, "z2"), "r2");
	assert_null(platform_region(f, "z3"));
}

static void settings_of_a_core_machine_are_read(void **st)
{
	apr_pool_t *p = *st;
	struct settings s;

	put(with("MachineLosses", "0", p));
	if (read_them(&s, 1, p) >= 0)
		fail_msg("%s", s.why);
	assert_string_equal(s.web, "127.1.0.14:8683");
	assert_string_equal(s.data, "/data/x");
	assert_int_equal(s.bounds.copies, 3);
}

/* What is wrong is said in one line: the file, the key with its table, and the range. */
static void each_bad_field_is_named_with_its_range(void **st)
{
	static const struct { const char *key, *value, *said; int disk; } c[] = {
		{ "NodeName", NULL, "NodeName: a name of 1 to 60 characters", 0 },
		{ "NodeName", "7", "NodeName: a name of 1 to 60 characters", 0 },
		{ "IpAddress", NULL, "IpAddress: a name of 1 to 60 characters", 0 },
		{ "IpAddress", "\"127.1.0.999\"", "IpAddress: an address of four numbers of 0 to 255", 0 },
		{ "Zone", "\"\"", "Zone: a name of 1 to 60 characters", 0 },
		{ "Region", "[]", "Region: a name of 1 to 60 characters", 0 },
		{ "InternalPorts", NULL, "InternalPorts: two ports of 1 to 65535", 0 },
		{ "InternalPorts", "[0, 10]", "InternalPorts: two ports of 1 to 65535", 0 },
		{ "InternalPorts", "[20, 10]", "InternalPorts: two ports of 1 to 65535", 0 },
		{ "InternalPorts", "[7000]", "InternalPorts: two ports of 1 to 65535", 0 },
		{ "InternalPorts", "[7000, 70000]", "InternalPorts: two ports of 1 to 65535", 0 },
		{ "SeedNodes", NULL, "SeedNodes: a list of 1 to 8 addresses", 0 },
		{ "SeedNodes", "[]", "SeedNodes: a list of 1 to 8 addresses", 0 },
		{ "SeedNodes", "[\"here\"]", "SeedNodes: a list of 1 to 8 addresses", 0 },
		{ "SeedNodes", "[7]", "SeedNodes: a list of 1 to 8 addresses", 0 },
		{ "InitialStart", NULL, "InitialStart: true or false", 0 },
		{ "InitialStart", "1", "InitialStart: true or false", 0 },
		{ "ContractList", NULL, "ContractList: a list of at most 100 names", 0 },
		{ "ContractList", "[1]", "ContractList: a list of at most 100 names", 0 },
		{ "z2", "2", "Zones.z2: a name of 1 to 60 characters", 0 },
		{ "FrontAddr", NULL, "ListenAddrs.FrontAddr: an address ip:port with a port of 1 to 65535", 0 },
		{ "FrontAddr", "\"127.0.0.1\"", "ListenAddrs.FrontAddr: an address ip:port", 0 },
		{ "Readiness", "\"127.0.0.1:0\"", "ListenAddrs.Readiness: an address ip:port", 0 },
		{ "ControlAddr", NULL, "ListenAddrs.ControlAddr: an address ip:port", 1 },
		{ "DataPath", NULL, "DataPath: a path from the root", 1 },
		{ "DataPath", "\"data\"", "DataPath: a path from the root", 1 },
		{ "MemoryMb", "0", "Limits.MemoryMb: a number of 16 to 1048576", 0 },
		{ "MaxFds", "\"many\"", "Limits.MaxFds: a number of 256 to", 0 },
		{ "DiskMb", "0", "Limits.DiskMb: a number of 8 to", 1 },
		{ "MachineLosses", "-1", "Tolerance.MachineLosses: a number of 0 to 100", 0 },
		{ "ContactMs", NULL, "TimingBounds.ContactMs: a number of 100 to 600000", 0 },
		{ "ContactMs", "99", "TimingBounds.ContactMs: a number of 100 to 600000", 0 },
		{ "CatchUpS", "601", "TimingBounds.CatchUpS: a number of 0 to 600", 0 },
		{ "GraceS", "nan", "TimingBounds.GraceS: a number of 1 to 600", 0 },
		{ "GraceS", "0", "TimingBounds.GraceS: a number of 1 to 600", 0 },
		{ "SeedLagS", "inf", "TimingBounds.SeedLagS: a number of 0 to 600", 0 },
		{ "AddressReuseS", "-1", "TimingBounds.AddressReuseS: a number of 0 to 600", 0 },
		{ "DrainMs", NULL, "TimingBounds.DrainMs: a number of 100 to 600000", 0 },
		{ "LossSlackMs", "true", "TimingBounds.LossSlackMs: a number of 0 to 600000", 0 },
		{ "AckMs", "0", "TimingBounds.AckMs: a number of 100 to 600000", 0 },
		{ "ConfigApplyMs", "1e9", "TimingBounds.ConfigApplyMs: a number of 100 to 600000", 0 },
		{ "RevertSlackMs", NULL, "TimingBounds.RevertSlackMs: a number of 0 to 600000", 0 },
		{ "DriftMaxMs", "-1", "TimingBounds.DriftMaxMs: a number of 0 to 600000", 0 },
		{ "RevocationGlobal", "\"yes\"", "TimingBounds.RevocationGlobal: true or false", 0 },
		{ "RevokeMs", NULL, "TimingBounds.RevokeMs: a number of 100 to 600000", 0 },
		{ "RetryBudgetRatio", "-0.1", "TimingBounds.RetryBudgetRatio: a number of 0 to 100", 0 },
		{ "RetryWindowS", "0", "TimingBounds.RetryWindowS: a number of 0.1 to 600", 0 },
		{ "RetryBudgetSlack", NULL, "TimingBounds.RetryBudgetSlack: a number of 0 to 1000000", 0 },
		{ "RecoveryS", "0", "TimingBounds.RecoveryS: a number of 0.1 to 600", 0 },
		{ "TransitMs", "0", "TimingBounds.TransitMs: a number of 1 to 600000", 0 },
		{ "FenceChecked", "0", "TimingBounds.FenceChecked: true or false", 0 },
		{ "LeaseMs", "99", "TimingBounds.LeaseMs: a number of 100 to 600000", 0 },
		{ "ThawSlackMs", "[]", "TimingBounds.ThawSlackMs: a number of 0 to 600000", 0 },
		{ "VersionMs", NULL, "TimingBounds.VersionMs: a number of 100 to 3600000", 0 },
		{ "Address", NULL, "PlatformApi.Address: an address ip:port", 0 },
		{ "RatePerS", "0", "PlatformApi.RatePerS: a number of 0.001 to 1000000", 0 },
		{ "MaxLagMs", "-1", "PlatformApi.MaxLagMs: a number of 0 to 600000", 0 },
	};
	apr_pool_t *p = *st;
	struct settings s;

	for (size_t i = 0; i < sizeof c / sizeof *c; i++) {
		const char *want = apr_psprintf(p, "%s: %s", path, c[i].said);

		put(with(c[i].key, c[i].value, p));
		if (read_them(&s, c[i].disk, p) != 2)
			fail_msg("%s = %s is taken", c[i].key, c[i].value ? c[i].value : "(missing)");
		if (strncmp(s.why, want, strlen(want)) || strchr(s.why, '\n'))
			fail_msg("%s = %s: said \"%s\", wanted \"%s\"", c[i].key, c[i].value ? c[i].value : "(missing)", s.why, want);
	}
}

static void unknown_fields_and_bounds_of_other_parts_are_ignored(void **st)
{
	apr_pool_t *p = *st;
	struct settings s;

	put(apr_pstrcat(p, "Later = { a = [1, 2] }\n", with("ContractList", "[\"base\", \"later\"]", p), "[Later2]\nx = 1979-05-27\n", NULL));
	if (read_them(&s, 0, p) >= 0)
		fail_msg("%s", s.why);
	put(apr_psprintf(p, "%s", strstr(with("ContractList", "[\"base\"]", p), "NodeName")));
	assert_int_equal(read_them(&s, 0, p), -1);
	for (int i = 0; i < LINES; i++) /* a bound whose part is not in force may be missing, and is the product's own */
		if (!strncmp(edge[i], "VersionMs", 9)) {
			const char *t = with("VersionMs", NULL, p), *at = strstr(t, "ContractList"), *end = strchr(at, '\n');

			put(apr_psprintf(p, "%.*sContractList = [\"base\"]%s", (int)(at - t), t, end));
			assert_int_equal(read_them(&s, 0, p), -1);
			assert_int_equal(s.bounds.roll_ms, bounds_default.roll_ms);
		}
}

static void a_missing_or_torn_file_is_refused(void **st)
{
	apr_pool_t *p = *st;
	const char *t = with(NULL, NULL, p);
	struct settings s;

	for (size_t n = 0; n < strlen(t) - strlen("\nMaxLagMs = 800\n"); n += 7) {
		put(apr_psprintf(p, "%.*s", (int)n, t));
		assert_int_equal(read_them(&s, 0, p), 2);
		assert_int_equal(strncmp(s.why, path, strlen(path)), 0);
	}
	unlink(path);
	assert_int_equal(read_them(&s, 0, p), 2);
	assert_non_null(strstr(s.why, ": file: readable as TOML"));
	unsetenv("NOTCHLUG_CONFIG");
	assert_int_equal(read_them(&s, 0, p), 2);
	assert_string_equal(s.why, "environment: NOTCHLUG_CONFIG: the path of the settings file");
}

/* --platform takes everything from there: no flag stands beside it but --check. */
static void the_flag_stands_alone(void **st)
{
	char *good[] = { "test", "--platform", "--check", NULL }, *two[] = { "test", "--platform", "--zone", "z9", NULL };
	char *run[] = { "test", "--platform", NULL };
	apr_pool_t *p = *st;
	struct settings s;

	put(with(NULL, NULL, p));
	memset(&s, 0, sizeof s);
	s.other = platform_settings;
	assert_int_equal(set_read(&s, "test", 0, 3, good, p), 0);
	assert_int_equal(set_read(&s, "test", 0, 4, two, p), 2);
	memset(&s, 0, sizeof s);
	assert_int_equal(set_read(&s, "test", 0, 3, good, p), 2); /* a program without such settings */
	put(with("Zone", NULL, p));
	s.other = platform_settings;
	assert_int_equal(set_read(&s, "test", 0, 2, run, p), 2);
}

int main(void)
{
	const struct CMUnitTest t[] = {
#define T(f) cmocka_unit_test_setup_teardown(f, setup, teardown)
		T(settings_of_an_edge_are_read), T(settings_of_a_core_machine_are_read), T(each_bad_field_is_named_with_its_range),
		T(unknown_fields_and_bounds_of_other_parts_are_ignored), T(a_missing_or_torn_file_is_refused), T(the_flag_stands_alone),
	};
	int rc;

	apr_initialize();
	cmocka_set_test_filter(getenv("NL_TEST"));
	rc = cmocka_run_group_tests(t, NULL, NULL);
	apr_terminate();
	return rc;
}
