/* storage_record: records of the data file and their checksums.
 * The checksums of all records are also kept in memory: a delete or a replacement must take the old one out
 * of the total. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "storage_internal.h"

static TDB_DATA key_data(const char *key)
{
	return (TDB_DATA){ (unsigned char *)(uintptr_t)key, strlen(key) };
}

/* Writes a record and returns its checksum, without noting it in the total. */
static bool record_write(struct storage *storage, const char *key, const void *head, size_t head_size,
			 const void *data, size_t size, uint64_t *checksum)
{
	size_t record_size = CHECKSUM_BYTES + head_size + size;
	uint8_t *record = malloc(record_size);
	TDB_DATA value = { record, record_size };
	int status;

	if (!record)
		abort();
	memcpy(record + CHECKSUM_BYTES, head, head_size);
	if (size)
		memcpy(record + CHECKSUM_BYTES + head_size, data, size);
	*checksum = core_hash(core_hash_string(0, key), record + CHECKSUM_BYTES, head_size + size);
	memcpy(record, checksum, CHECKSUM_BYTES);
	status = tdb_store(storage->database, key_data(key), value, TDB_REPLACE);
	free(record);
	return status == 0;
}

/* Takes a record's checksum out of the total. */
static void total_subtract(struct storage *storage, const char *key)
{
	ptrdiff_t old = shgeti(storage->checksums, key);

	if (old < 0)
		return;
	storage->total.checksum_sum -= storage->checksums[old].value;
	storage->total.records--;
}

void storage_checksum_set(struct storage *storage, const char *key, uint64_t checksum)
{
	total_subtract(storage, key);
	storage->total.checksum_sum += checksum;
	storage->total.records++;
	shput(storage->checksums, key, checksum);
}

void storage_checksums_reset(struct storage *storage)
{
	shfree(storage->checksums);
	sh_new_strdup(storage->checksums);
	storage->total = (struct storage_total){ 0 };
}

bool storage_record_put(struct storage *storage, const char *key, const void *head, size_t head_size,
			const void *data, size_t size)
{
	uint64_t checksum;

	if (!record_write(storage, key, head, head_size, data, size, &checksum))
		return false;
	storage_checksum_set(storage, key, checksum);
	return true;
}

bool storage_record_delete(struct storage *storage, const char *key)
{
	if (shgeti(storage->checksums, key) < 0)
		return true;
	if (tdb_delete(storage->database, key_data(key)))
		return false;
	total_subtract(storage, key);
	(void)shdel(storage->checksums, key);
	return true;
}

bool storage_total_write(struct storage *storage)
{
	uint64_t checksum;

	return record_write(storage, STORAGE_TOTAL_KEY, &storage->total, sizeof storage->total, NULL, 0,
			    &checksum);
}

const char *storage_entry_key(char *buffer, size_t size, uint32_t shard, uint64_t index)
{
	snprintf(buffer, size, "e/%u/%llu", shard, (unsigned long long)index);
	return buffer;
}
