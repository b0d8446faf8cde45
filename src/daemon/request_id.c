#include "daemon/request_id.h"

#include "links/peer.h"

#include <glib.h>
#include <string.h>
#include <sys/random.h>

#define NONCE_BYTES 8
#define MAC_HEX_DIGITS 16

/* Writes the first MAC_HEX_DIGITS hex digits of the MAC over caller, nonce and
   engine to OUT.  */
static void
mac_hex (const char *key, const char *caller, const char *nonce,
         const char *engine, char out[MAC_HEX_DIGITS + 1])
{
  guint8 mac[32];
  g_autofree char *text = g_strjoin ("\n", caller, nonce, engine, NULL);
  fleet_mac (key, text, strlen (text), mac);
  for (unsigned i = 0; i < MAC_HEX_DIGITS / 2; i++)
    g_snprintf (out + 2 * i, 3, "%02x", mac[i]);
}

char *
request_id_make (const char *key, const char *caller, const char *engine)
{
  guint8 random[NONCE_BYTES];
  char nonce[2 * NONCE_BYTES + 1], mac[MAC_HEX_DIGITS + 1];
  if (getrandom (random, sizeof random, 0) != (ssize_t)sizeof random)
    g_error ("cannot make a request id: getrandom returned fewer bytes than "
             "requested");
  for (unsigned i = 0; i < NONCE_BYTES; i++)
    g_snprintf (nonce + 2 * i, 3, "%02x", random[i]);
  mac_hex (key, caller, nonce, engine, mac);
  return g_strjoin (".", nonce, engine, mac, NULL);
}

bool
request_id_check (const char *key, const char *caller, const char *id,
                  char **engine)
{
  const char *first_dot = strchr (id, '.');
  const char *last_dot = strrchr (id, '.');
  if (first_dot == NULL || last_dot == first_dot
      || strlen (last_dot + 1) != MAC_HEX_DIGITS)
    return false;
  g_autofree char *nonce = g_strndup (id, (gsize)(first_dot - id));
  g_autofree char *name
      = g_strndup (first_dot + 1, (gsize)(last_dot - first_dot - 1));
  char expected[MAC_HEX_DIGITS + 1];
  mac_hex (key, caller, nonce, name, expected);
  /* Compares in constant time.  */
  guint8 differ = 0;
  for (unsigned i = 0; i < MAC_HEX_DIGITS; i++)
    differ |= (guint8)(expected[i] ^ last_dot[1 + i]);
  if (differ)
    return false;
  *engine = g_steal_pointer (&name);
  return true;
}

bool
event_id_parse (const char *event_id, char **request_id, uint64_t *count)
{
  const char *colon = strrchr (event_id, ':');
  guint64 n = 0;
  if (colon == NULL
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, G_MAXUINT32, &n, NULL))
    return false;
  *request_id = g_strndup (event_id, (gsize)(colon - event_id));
  *count = n;
  return true;
}
