#include "base/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netdb.h>
#include <string.h>
#include <sys/socket.h>

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

void address_add(struct strbuf *out, uint32_t ipv4, uint16_t port)
{
	strbuf_addf(out, "%u.%u.%u.%u:%u", ipv4 >> 24, ipv4 >> 16 & 255, ipv4 >> 8 & 255,
		    ipv4 & 255, port);
}

bool address_resolve(struct str host, uint32_t *ipv4)
{
	struct addrinfo hints = { .ai_family = AF_INET, .ai_socktype = SOCK_STREAM };
	struct addrinfo *found = NULL;
	struct sockaddr_in address;
	char *name;

	if (address_parse_ipv4(host, ipv4))
		return true;
	name = str_to_cstr(host);
	if (getaddrinfo(name, NULL, &hints, &found) == 0) {
		memcpy(&address, found->ai_addr, sizeof(address));
		*ipv4 = ntohl(address.sin_addr.s_addr);
		freeaddrinfo(found);
	}
	g_free(name);
	return found != NULL;
}

bool address_split(struct str text, uint16_t standard_port, struct str *host, uint16_t *port)
{
	struct str port_text;
	int64_t number = standard_port;

	*host = str_split(text, ':', &port_text);
	if (host->len == 0 || (host->len < text.len && !str_to_int64(port_text, &number)) ||
	    number < 1 || number > UINT16_MAX)
		return false;
	*port = (uint16_t)number;
	return true;
}
