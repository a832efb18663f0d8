/**
 * @file
 * IPv4 addresses and ports as text.
 */
#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include "base/str.h"

/** Reads "10.0.0.1"; host byte order. */
bool address_parse_ipv4(struct str text, uint32_t *ipv4);
/** Reads "10.0.0.1:7000"; port 0 is read as well. */
bool address_parse(struct str text, uint32_t *ipv4, uint16_t *port);

#endif
