#include "proposal_status.h"

#include "idempotency.h"

const char *proposal_status_strerror(enum proposal_status status)
{
	switch (status) {
	case PROPOSAL_SUPERSEDED:
		return "edition overtaken";
	case PROPOSAL_REJECTED:
		return "already claimed";
	case PROPOSAL_KEY_REUSED:
		return IDEMPOTENCY_KEY_REUSED;
	default:
		return "";
	}
}
