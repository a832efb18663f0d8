/* Operators' files: parsed, built into a configuration and checked. */
#include <glib.h>

#include "base/clock.h"
#include "core/config_check.h"
#include "operator/parse.h"
#include "regress/fuzz/fuzz.h"

static void check(struct change *change)
{
	GPtrArray *files = g_ptr_array_new_with_free_func((GDestroyNotify)accepted_file_free);
	struct config_check_options options = { .stop_within_us = US_PER_S };
	struct config *config;

	g_ptr_array_add(files, accepted_file_new(change->file, 1, change));
	config = config_build(files, 1, 1, NULL);
	if (!config)
		return;
	g_array_unref(config_check(config, &options));
	config_unref(config);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct change *change = change_new((struct label){ 0 }, label_from(STR("f")), 0,
					   (struct str){ (const char *)data, size });

	parse_change(change);
	if (change->parsed)
		check(change);
	else
		g_assert(size == 0 || change->parse_error);
	change_unref(change);
	return 0;
}
