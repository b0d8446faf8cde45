#include "base/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

bool
address_split (const char *address, char **ip, uint16_t *port)
{
  const char *colon = strrchr (address, ':');
  if (colon == NULL)
    return false;
  g_autofree char *host = g_strndup (address, (gsize)(colon - address));
  struct in_addr number;
  guint64 value = 0;
  if (inet_pton (AF_INET, host, &number) != 1
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &value, NULL))
    return false;
  if (ip)
    *ip = g_steal_pointer (&host);
  if (port)
    *port = (uint16_t)value;
  return true;
}

bool
address_to_sockaddr (const char *address, struct sockaddr_in *out)
{
  g_autofree char *ip = NULL;
  uint16_t port = 0;
  if (!address_split (address, &ip, &port))
    return false;
  *out = (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port) };
  return inet_pton (AF_INET, ip, &out->sin_addr) == 1;
}
