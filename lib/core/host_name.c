#include "host_name.h"

#include <stddef.h>
#include <string.h>

/* The number of bytes of a host without its port. The address in brackets of IPv6 has colons of its own, and
 * a text with several colons outside of brackets has no port. */
static size_t bytes_without_port(const char *host)
{
	const char *bracket = host[0] == '[' ? strchr(host, ']') : NULL;
	const char *colon = strchr(bracket ? bracket : host, ':');

	if (!colon || colon[1 + strspn(colon + 1, "0123456789")])
		return strlen(host);
	return (size_t)(colon - host);
}

/* Independent of the locale, as host names are. */
static void write_lower_case(char *text)
{
	for (; *text; text++)
		if (*text >= 'A' && *text <= 'Z')
			*text += 'a' - 'A';
}

bool host_name_normalize(const char *host, char name[HOST_NAME_BYTES])
{
	size_t size = bytes_without_port(host);

	name[0] = 0;
	if (size && host[size - 1] == '.')
		size--;
	if (!size || size >= HOST_NAME_BYTES)
		return false;
	memcpy(name, host, size);
	name[size] = 0;
	write_lower_case(name);
	return true;
}
