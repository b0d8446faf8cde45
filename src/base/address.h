/** @file
    Addresses as text, "IP:PORT", IPv4.  */
#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** Splits ADDRESS into a newly made IP and PORT, each of which may be NULL;
    false when malformed.  */
bool address_split (const char *address, char **ip, uint16_t *port);

/** Fills OUT for ADDRESS; false when malformed.  */
bool address_parse (const char *address, struct sockaddr_in *out);

#endif
