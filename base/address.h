/**
 * @file
 * IPv4 addresses and ports as text.
 */
#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include "base/str.h"

/** Parses "10.0.0.1" into host byte order; false if @p text is no address. */
bool address_parse_ipv4(struct str text, uint32_t *ipv4);
/** Parses "10.0.0.1:7000"; port 0 is valid. On failure *ipv4 may be set already. */
bool address_parse(struct str text, uint32_t *ipv4, uint16_t *port);

/** Appends "10.0.0.1:7000". */
void address_add(struct strbuf *out, uint32_t ipv4, uint16_t port);

/**
 * Finds the address of @p host, which may be a name. A name is looked up by the system's resolver,
 * which blocks within limits of its own; an address in text does not block.
 */
bool address_resolve(struct str host, uint32_t *ipv4);
/**
 * Splits "host:port"; without a port it is @p standard_port. The host is a view of @p text.
 *
 * @return false if the host is empty or the port is no number from 1 to 65535
 */
bool address_split(struct str text, uint16_t standard_port, struct str *host, uint16_t *port);

#endif
