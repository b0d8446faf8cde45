#include "ctl/remote.h"

#include "base/address.h"
#include "links/http_client.h"

#include <string.h>

/* Longest silence of the VM before its response is complete.  */
#define RESPONSE_TIMEOUT_MS 30000

/* Argument of on_end: the event loop to leave and the response to fill.  */
struct pending_request
{
  struct event_base *base;
  struct remote_response *out;
};

/* Copies a complete response to the OUT of remote_request, whose status stays
   0 otherwise, and leaves the event loop.  */
static void
on_end (void *arg, const struct http_response *r)
{
  struct pending_request *p = arg;
  if (r->end == HTTP_OUTCOME_COMPLETE)
    {
      p->out->status = r->status;
      p->out->size = r->body ? evbuffer_get_length (r->body) : 0;
      p->out->body = g_malloc0 (p->out->size + 1);
      if (r->body)
        evbuffer_remove (r->body, p->out->body, p->out->size);
    }
  event_base_loopbreak (p->base);
}

static const struct http_client_callbacks callbacks = { NULL, on_end, NULL };

/* Value of the Authorization field for the key in KEY_FILE; NULL after an
   error message.  */
static char *
read_authorization (const char *key_file)
{
  char *key = NULL;
  g_autoptr (GError) error = NULL;
  if (!g_file_get_contents (key_file, &key, NULL, &error))
    {
      g_printerr ("buckthornctl: cannot read the key file: %s\n",
                  error->message);
      return NULL;
    }
  char *text = g_strconcat ("Bearer ", g_strstrip (key), NULL);
  g_free (key);
  return text;
}

bool
remote_request (const struct ctl_options *o, const char *method,
                const char *path, const void *body, size_t size,
                struct remote_response *out)
{
  memset (out, 0, sizeof *out);
  if (o->vm == NULL || !address_split (o->vm, NULL, NULL))
    {
      g_printerr (
          "buckthornctl: --vm or BUCKTHORN_VM must give the address of "
          "a VM as IP:PORT\n");
      return false;
    }
  /* A VM with --routes-from=platform serves its status without a key.  */
  bool key_optional = strcmp (o->command, "status") == 0;
  if (o->key_file == NULL && !key_optional)
    {
      g_printerr (
          "buckthornctl: --key-file or BUCKTHORN_KEY_FILE must name the "
          "file with the operator's key\n");
      return false;
    }
  g_autofree char *authorization
      = o->key_file ? read_authorization (o->key_file) : NULL;
  if (o->key_file && authorization == NULL)
    return false;
  struct event_base *base = event_base_new ();
  struct http_client *client = http_client_create (base);
  struct pending_request p = { base, out };
  struct http_client_request request = { .address = o->vm,
                                         .method = method,
                                         .path = path,
                                         .content_type = "application/yaml",
                                         .body = body,
                                         .body_size = size,
                                         .authorization = authorization,
                                         .timeout_ms = RESPONSE_TIMEOUT_MS };
  http_client_call (client, &request, &callbacks, &p);
  event_base_dispatch (base);
  http_client_destroy (client);
  event_base_free (base);
  return true;
}

void
remote_response_clear (struct remote_response *out)
{
  g_free (out->body);
  memset (out, 0, sizeof *out);
}
