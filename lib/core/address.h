/* address: IPv4 addresses with a port as one number: 32 bits of the address above 16 bits of the port. 0:
 * none. */
#ifndef NL_ADDRESS_H
#define NL_ADDRESS_H

#include <apr_pools.h>
#include <stdint.h>

/* "127.0.0.1:80" as a number; 0 when it is no address. Example: core_parse_addr("127.0.0.1:80") ==
 * 0x7f0000010050 */
uint64_t core_parse_addr(const char *text);

/* The number as text, in pool memory. Example: core_format_addr(pool, 0x7f0000010050) is "127.0.0.1:80" */
const char *core_format_addr(apr_pool_t *pool, uint64_t addr);

#endif
