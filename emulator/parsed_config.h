/* Configurations as the platform's pages write them, parsed as far as the checker and the operator need them.
 */
#ifndef NL_PARSED_CONFIG_H
#define NL_PARSED_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A route and the services that it sends to. */
struct parsed_route {
	char name[48];
	char host[64];
	char prefix[96];
	char route_type[24];
	size_t prefix_length;
	char service[4][48];
	int service_count;
	int weight[4]; /* by service */
	int timeout_ms;
	int target_ms;
	int priority;
	int max_attempts;
	bool is_public; /* no key is needed */
	int resumable;
	int gap_target_ms;
};

/* A tenant with its access keys. */
struct parsed_tenant {
	char name[48];
	char key[4][64];
	int key_count;
	int isolated;
	int priority;
};

/* A configuration; owns its arrays and its text. */
struct parsed_config {
	int64_t version;
	struct parsed_route *routes;   /* stb_ds */
	struct parsed_tenant *tenants; /* stb_ds */
	char *text;
};

/* Parse one; NULL when it is not complete JSON with a version. The caller frees it.
 * Example: config = parsed_config_read(text); */
struct parsed_config *parsed_config_read(const char *text);

/* Free a configuration; NULL is harmless. */
void parsed_config_free(struct parsed_config *config);

/* The route with the longest prefix that a request's host and path fit, or NULL. */
const struct parsed_route *parsed_config_match(const struct parsed_config *config, const char *host,
					       const char *path);

/* The tenant that holds a key, or NULL. */
const struct parsed_tenant *parsed_config_tenant_of_key(const struct parsed_config *config, const char *key);

/* Why it is invalid on top of version base, or NULL. Example: parsed_config_invalid(config, 5) */
const char *parsed_config_invalid(const struct parsed_config *config, int64_t base);

#endif
