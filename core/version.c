#include "core/version.h"

int64_t version_make(int64_t era, int64_t position)
{
	return era << VERSION_POSITION_BITS | position;
}

int64_t version_era(int64_t version)
{
	return version >> VERSION_POSITION_BITS;
}

int64_t version_position(int64_t version)
{
	return version & ((INT64_C(1) << VERSION_POSITION_BITS) - 1);
}
