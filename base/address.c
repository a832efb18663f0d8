#include "base/address.h"

#include <arpa/inet.h>
#include <glib.h>

bool address_parse_ipv4(struct str text, uint32_t *ipv4)
{
	char *cstr = str_to_cstr(text);
	struct in_addr address;
	bool valid = inet_pton(AF_INET, cstr, &address) == 1;

	g_free(cstr);
	if (valid)
		*ipv4 = ntohl(address.s_addr);
	return valid;
}

bool address_parse(struct str text, uint32_t *ipv4, uint16_t *port)
{
	struct str port_text;
	struct str ip = str_split(text, ':', &port_text);
	int64_t number;

	if (!address_parse_ipv4(ip, ipv4) || !str_to_int64(port_text, &number) || number < 0 ||
	    number > UINT16_MAX)
		return false;
	*port = (uint16_t)number;
	return true;
}
