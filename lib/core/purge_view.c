#include "purge_view.h"

#include <stdbool.h>
#include <string.h>

#include "containers.h"

static void remove_context_purge(struct purge_view *view, const struct Nl__Value *value)
{
	for (ptrdiff_t i = arrlen(view->context_purges) - 1; i >= 0; i--)
		if (view->context_purges[i] == value)
			arrdelswap(view->context_purges, i);
}

void purge_view_apply(struct purge_view *view, const struct Nl__Value *value)
{
	uint64_t key = purge_subject(value->purge);
	struct purge_view_row *row = hmgetp_null(view->subjects, key);

	if (row && row->value->tick >= value->tick)
		return;
	if (row && value->purge->reason == PURGE_CONTEXT)
		remove_context_purge(view, row->value);
	if (row)
		value_free(row->value);
	hmput(view->subjects, key, value_copy(value));
	if (value->purge->reason == PURGE_CONTEXT)
		arrput(view->context_purges, hmget(view->subjects, key));
}

/* Whether a value with a tick above the stamp withdrew the subject. */
static bool is_withdrawn(const struct purge_view *view, uint64_t key, uint64_t stamp)
{
	struct purge_view_row *row = view->subjects;
	ptrdiff_t i = hmgeti(row, key);

	return i >= 0 && stamp < row[i].value->tick;
}

bool purge_view_allows(const struct purge_view *view, const char *service, const char *weights,
		       const char *tenant, const char *server, uint64_t stamp)
{
	if (!view->subjects)
		return true;
	return !is_withdrawn(view, purge_subject_of(PURGE_WEIGHTS, service, weights), stamp) &&
	       !is_withdrawn(view, purge_subject_of(PURGE_TENANT, tenant, ""), stamp) &&
	       !is_withdrawn(view, purge_subject_of(PURGE_SERVER, server, ""), stamp);
}

bool purge_view_allows_context(const struct purge_view *view, const char *service, const char *tenant,
			       uint64_t block_hash, uint64_t stamp)
{
	for (ptrdiff_t i = 0; i < arrlen(view->context_purges); i++) {
		const struct Nl__Value *value = view->context_purges[i];
		const struct Nl__Purge *purge = value->purge;

		if (stamp < value->tick && purge->slice == PURGE_SLICE(block_hash) &&
		    (!purge->tenant[0] || !strcmp(purge->tenant, tenant)) &&
		    (!purge->service[0] || !strcmp(purge->service, service)))
			return false;
	}
	return true;
}

uint64_t purge_view_tick(const struct purge_view *view, enum purge_reason reason, const char *name,
			 const char *detail)
{
	struct purge_view_row *row = view->subjects;
	ptrdiff_t i = row ? hmgeti(row, purge_subject_of(reason, name, detail)) : -1;

	return i < 0 ? 0 : row[i].value->tick;
}

void purge_view_clear(struct purge_view *view)
{
	for (ptrdiff_t i = 0; i < hmlen(view->subjects); i++)
		value_free(view->subjects[i].value);
	hmfree(view->subjects);
	arrfree(view->context_purges);
}
