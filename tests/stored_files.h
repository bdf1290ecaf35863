/* The files of tests/data: what earlier versions stored and said. */
#ifndef NL_STORED_FILES_H
#define NL_STORED_FILES_H

#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

/* A whole file, a 0 behind it; NULL: it cannot be read. Example: text = file_read("data/x.txt", &n, pool); */
char *file_read(const char *path, size_t *n, apr_pool_t *pool);

/* Write a whole file; ends the program when that fails. */
void file_write(const char *path, const void *data, size_t n);

/* Bytes as hexadecimal digits, 32 bytes a line, and back; NULL: that is no such text. */
const char *hex_text(const uint8_t *data, size_t n, apr_pool_t *pool);
uint8_t *hex_bytes(const char *text, size_t *n, apr_pool_t *pool);

#endif
