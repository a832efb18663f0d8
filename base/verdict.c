#include "base/verdict.h"

#include <glib.h>

struct str verdict_name(enum verdict verdict)
{
	switch (verdict) {
	case VERDICT_NOT_RUN:
		return STR("not-run");
	case VERDICT_MAY_HAVE_RUN:
		return STR("may-have-run");
	case VERDICT_RAN:
		return STR("ran");
	}
	g_assert_not_reached();
}

bool verdict_allows_retry(enum verdict verdict, bool idempotent)
{
	switch (verdict) {
	case VERDICT_NOT_RUN:
		return true;
	case VERDICT_MAY_HAVE_RUN:
		return idempotent;
	case VERDICT_RAN:
		return false;
	}
	g_assert_not_reached();
}
