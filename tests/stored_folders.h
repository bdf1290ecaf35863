/* What the folders of tests/data/stored are made of: used where they are made and where they are read. */
#ifndef NL_STORED_FOLDERS_H
#define NL_STORED_FOLDERS_H

#include "stored_world.h"

enum { CLAIM_HOLDER = 11, CLAIM_OTHER = 12, CLAIM_FIRST = 21, CLAIM_NEXT = 22 };

/* Bodies of operators' calls. */
extern const char stored_change[], stored_second_change[], stored_document[], stored_patch[];

/* A service that this shard keeps: "s1", "s2" and so on. Example: service = stored_service(4, pool); */
const char *stored_service(uint32_t shard, apr_pool_t *pool);

/* A claim on an exchange of the tenant "tenant". */
struct Nl__Claim stored_claim(const char *id, uint64_t by, uint64_t seq, int release);

/* The names of the folders; ends with NULL. */
extern const char *const stored_folders[];

/* Make one of them. Example: stored_make("entries", "/tmp/stored/entries"); */
void stored_make(const char *name, const char *folder);

/* An operator's calls at the controller of the folder "entries", and what is answered: all paths of the
 * product's own interface. */
const char *stored_calls(struct world *world);

#endif
