#include "base/deflate.h"

#include <zlib.h>

/* The text of routes repeats itself, so that higher levels gain little for their time. */
enum { LEVEL = 1 };

bool deflate_str(struct str in, struct strbuf *out)
{
	uLongf len = compressBound(in.len);

	strbuf_reserve(out, len);
	if (compress2((Bytef *)out->data + out->len, &len, (const Bytef *)in.data, in.len, LEVEL) !=
		    Z_OK ||
	    len >= in.len)
		return false;
	out->len += len;
	return true;
}

bool inflate_str(struct str in, size_t len, struct strbuf *out)
{
	uLongf written = len;

	strbuf_reserve(out, len);
	if (uncompress((Bytef *)out->data + out->len, &written, (const Bytef *)in.data, in.len) !=
		    Z_OK ||
	    written != len)
		return false;
	out->len += len;
	return true;
}
