#include "ctl/remote.h"

#include "base/address.h"
#include "links/http_client.h"

#include <string.h>

#define PATIENCE_MS 30000

struct wait
{
  struct event_base *base;
  struct remote_answer *out;
};

static void
on_end (void *arg, const struct http_response *a)
{
  struct wait *w = arg;
  if (a->end == HTTP_OUTCOME_COMPLETE)
    {
      w->out->status = a->status;
      w->out->size = a->body ? evbuffer_get_length (a->body) : 0;
      w->out->body = g_malloc0 (w->out->size + 1);
      if (a->body)
        evbuffer_remove (a->body, w->out->body, w->out->size);
    }
  event_base_loopbreak (w->base);
}

static const struct http_client_callbacks events = { NULL, on_end };

static char *
read_authorization (const char *key_file)
{
  char *key = NULL;
  g_autoptr (GError) error = NULL;
  if (!g_file_get_contents (key_file, &key, NULL, &error))
    {
      g_printerr ("buckthornctl: the key: %s\n", error->message);
      return NULL;
    }
  char *text = g_strconcat ("Bearer ", g_strstrip (key), NULL);
  g_free (key);
  return text;
}

bool
remote_ask (const struct ctl_options *o, const char *method, const char *path,
            const void *body, size_t size, struct remote_answer *out)
{
  memset (out, 0, sizeof *out);
  if (o->vm == NULL || !address_split (o->vm, NULL, NULL))
    {
      g_printerr ("buckthornctl: name a VM with --vm IP:PORT or BUCKTHORN_VM"
                  "\n");
      return false;
    }
  /* A VM on a platform tells its status without a key.  */
  bool open_to_all = strcmp (o->command, "status") == 0;
  if (o->key_file == NULL && !open_to_all)
    {
      g_printerr ("buckthornctl: name your key with --key-file FILE or "
                  "BUCKTHORN_KEY_FILE\n");
      return false;
    }
  g_autofree char *authorization
      = o->key_file ? read_authorization (o->key_file) : NULL;
  if (o->key_file && authorization == NULL)
    return false;
  struct event_base *base = event_base_new ();
  struct http_client *client = http_client_create (base);
  struct wait w = { base, out };
  struct http_client_request order = { .address = o->vm,
                                       .method = method,
                                       .path = path,
                                       .content_type = "application/yaml",
                                       .body = body,
                                       .body_size = size,
                                       .authorization = authorization,
                                       .timeout_ms = PATIENCE_MS };
  http_client_call (client, &order, &events, &w);
  event_base_dispatch (base);
  http_client_destroy (client);
  event_base_free (base);
  return true;
}

void
remote_answer_clear (struct remote_answer *out)
{
  g_free (out->body);
  memset (out, 0, sizeof *out);
}
