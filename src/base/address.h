/** @file
    Addresses written as "IP:PORT" (IPv4 only).  */
#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** Splits ADDRESS into IP, which the calling code frees, and PORT (1 to
    65535); either pointer may be NULL.  Returns false, and sets neither, if
    ADDRESS is malformed.  */
bool address_split (const char *address, char **ip, uint16_t *port);

/** Converts ADDRESS to a socket address; returns false if it is
    malformed.  */
bool address_to_sockaddr (const char *address, struct sockaddr_in *out);

#endif
