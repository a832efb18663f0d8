/*
 * Replays the inputs in regress/fuzz/corpus/TARGET through one fuzz target, with or without the
 * sanitizers: an input that ended the process once must not do so again.
 */
#include <glib.h>
#include <stdio.h>

#include "regress/fuzz/fuzz.h"

int main(int argc, char **argv)
{
	GDir *dir = argc == 2 ? g_dir_open(argv[1], 0, NULL) : NULL;
	const char *name;
	int inputs = 0;

	if (!dir)
		return 1;
	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(argv[1], name, NULL);
		char *data;
		gsize len;

		if (!g_file_get_contents(path, &data, &len, NULL))
			return 1;
		LLVMFuzzerTestOneInput((const uint8_t *)data, len);
		inputs++;
		g_free(data);
		g_free(path);
	}
	g_dir_close(dir);
	printf("%s: %d inputs\n", argv[1], inputs);
	return inputs ? 0 : 1;
}
