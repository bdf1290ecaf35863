/* storage_record: records of the database file and their checksums.
 * The checksums of all records are also kept in memory, because a deletion or replacement must subtract the
 * old checksum from the total. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "storage_internal.h"

static TDB_DATA tdb_key(const char *key)
{
	return (TDB_DATA){ (unsigned char *)(uintptr_t)key, strlen(key) };
}

/* Writes a record and stores its checksum in *checksum, without updating the total. */
static bool write_record(struct storage *storage, const char *key, const void *header, size_t header_size,
			 const void *data, size_t data_size, uint64_t *checksum)
{
	size_t record_size = CHECKSUM_BYTES + header_size + data_size;
	uint8_t *record = malloc(record_size);
	TDB_DATA value = { record, record_size };
	int status;

	if (!record)
		abort();
	memcpy(record + CHECKSUM_BYTES, header, header_size);
	if (data_size)
		memcpy(record + CHECKSUM_BYTES + header_size, data, data_size);
	*checksum = core_hash(core_hash_string(0, key), record + CHECKSUM_BYTES, header_size + data_size);
	memcpy(record, checksum, CHECKSUM_BYTES);
	status = tdb_store(storage->database, tdb_key(key), value, TDB_REPLACE);
	free(record);
	return status == 0;
}

/* Subtracts a record's checksum from the total, if there is such a record. */
static void subtract_from_total(struct storage *storage, const char *key)
{
	ptrdiff_t position = shgeti(storage->checksums, key);

	if (position < 0)
		return;
	storage->total.checksum_sum -= storage->checksums[position].value;
	storage->total.record_count--;
}

void storage_checksum_set(struct storage *storage, const char *key, uint64_t checksum)
{
	subtract_from_total(storage, key);
	storage->total.checksum_sum += checksum;
	storage->total.record_count++;
	shput(storage->checksums, key, checksum);
}

void storage_checksums_reset(struct storage *storage)
{
	shfree(storage->checksums);
	sh_new_strdup(storage->checksums);
	storage->total = (struct storage_total){ 0 };
}

bool storage_record_put(struct storage *storage, const char *key, const void *header, size_t header_size,
			const void *data, size_t data_size)
{
	uint64_t checksum;

	if (!write_record(storage, key, header, header_size, data, data_size, &checksum))
		return false;
	storage_checksum_set(storage, key, checksum);
	return true;
}

bool storage_record_delete(struct storage *storage, const char *key)
{
	if (shgeti(storage->checksums, key) < 0)
		return true;
	if (tdb_delete(storage->database, tdb_key(key)))
		return false;
	subtract_from_total(storage, key);
	(void)shdel(storage->checksums, key);
	return true;
}

bool storage_total_write(struct storage *storage)
{
	uint64_t checksum;

	return write_record(storage, STORAGE_TOTAL_KEY, &storage->total, sizeof storage->total, NULL, 0,
			    &checksum);
}

const char *storage_entry_key(char *buffer, size_t size, uint32_t shard, uint64_t index)
{
	snprintf(buffer, size, "e/%u/%llu", shard, (unsigned long long)index);
	return buffer;
}
