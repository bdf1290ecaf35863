/* host_name: the one form in which names of hosts are compared. A request names its host with any letter case
 * and with a port or without (RFC 9110, 4.2.3 and 7.2; RFC 3986, 3.2.2), and so does a row of the
 * configuration, which keeps the spelling that it was given. Whoever compares or indexes hosts brings both
 * sides into this form first. */
#ifndef NL_HOST_NAME_H
#define NL_HOST_NAME_H

#include <stdbool.h>

enum { HOST_NAME_BYTES = 256 }; /* longest normalized name with its NUL */

/* Write the normalized form of a host, or of a host with a port: lower-case letters, no port, no dot at the
 * end. Returns false, with an empty name, if nothing is left or the name is too long.
 * Example: host_name_normalize("Counter.Example:8080", name) writes "counter.example" */
bool host_name_normalize(const char *host, char name[HOST_NAME_BYTES]);

#endif
