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

#endif
