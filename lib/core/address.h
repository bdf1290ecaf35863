/* address: an IPv4 address and a port packed into one number: the 32 bits of the address, then the 16 bits
 * of the port. 0 means no address. */
#ifndef NL_ADDRESS_H
#define NL_ADDRESS_H

#include <apr_pools.h>
#include <stdint.h>

/* Parse text such as "127.0.0.1:80"; returns 0 if it is not an IPv4 address with a port.
 * Example: core_parse_addr("127.0.0.1:80") == 0x7f0000010050 */
uint64_t core_parse_addr(const char *text);

/* Format an address as text, allocated in the pool.
 * Example: core_format_addr(pool, 0x7f0000010050) is "127.0.0.1:80" */
const char *core_format_addr(apr_pool_t *pool, uint64_t addr);

#endif
