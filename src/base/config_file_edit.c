#include "base/config_file_edit.h"

#include <string.h>
#include <yaml.h>

/* Comparison of two files as JSON values.  Entries of a list are matched by
   their key name or id; a list whose entries have neither is compared as one
   value.  */

static void diff_values (GString *out, const char *path, json_t *a, json_t *b);

/* Appends the change of the value at PATH from A to B; NULL for a value that
   is missing.  */
static void
append_change (GString *out, const char *path, json_t *a, json_t *b)
{
  g_autofree char *from
      = a ? json_dumps (a, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;
  g_autofree char *to
      = b ? json_dumps (b, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;
  g_string_append_printf (out, "%s: %s -> %s\n", path, from ? from : "(none)",
                          to ? to : "(none)");
}

/* Name of a list entry, else its id; NULL if it has neither.  */
static const char *
item_name (json_t *item)
{
  const char *name = json_string_value (json_object_get (item, "name"));
  return name ? name : json_string_value (json_object_get (item, "id"));
}

static json_t *
find_item (json_t *list, const char *name)
{
  size_t i;
  json_t *item;
  json_array_foreach (list, i, item)
    {
      const char *other = item_name (item);
      if (other && strcmp (other, name) == 0)
        return item;
    }
  return NULL;
}

/* Whether the entries of LIST have a name or id.  */
static bool
entries_have_names (json_t *list)
{
  json_t *first = json_array_get (list, 0);
  return json_is_object (first) && item_name (first) != NULL;
}

/* Appends the differences of lists whose entries have names.  */
static void
diff_lists (GString *out, const char *path, json_t *a, json_t *b)
{
  size_t i;
  json_t *item;
  json_array_foreach (a, i, item)
    {
      g_autofree char *key
          = g_strdup_printf ("%s[%s]", path, item_name (item));
      diff_values (out, key, item, find_item (b, item_name (item)));
    }
  json_array_foreach (b, i, item)
    if (find_item (a, item_name (item)) == NULL)
      {
        g_autofree char *key
            = g_strdup_printf ("%s[%s]", path, item_name (item));
        append_change (out, key, NULL, item);
      }
}

static void
diff_values (GString *out, const char *path, json_t *a, json_t *b)
{
  if (json_equal (a, b))
    return;
  if (json_is_object (a) && json_is_object (b))
    {
      const char *key;
      json_t *value;
      json_object_foreach (a, key, value)
        {
          g_autofree char *sub
              = g_strdup_printf ("%s%s%s", path, path[0] ? "." : "", key);
          diff_values (out, sub, value, json_object_get (b, key));
        }
    }
  else if (json_is_array (a) && json_is_array (b)
           && (entries_have_names (a) || entries_have_names (b)))
    diff_lists (out, path, a, b);
  else
    append_change (out, path, a, b);
}

char *
config_file_diff (const struct file *a, const struct file *b)
{
  json_t *x = record_to_json (&file_record, a);
  json_t *y = record_to_json (&file_record, b);
  GString *out = g_string_new (NULL);
  diff_values (out, "", x, y);
  json_decref (x);
  json_decref (y);
  return g_string_free (out, FALSE);
}

/* Edits of the text, at the positions that the YAML parser reports for each
   node.  */

/* Value of the key NAME in the mapping NODE, or NULL.  */
static yaml_node_t *
mapping_value (yaml_document_t *doc, const yaml_node_t *node, const char *name)
{
  if (node == NULL || node->type != YAML_MAPPING_NODE)
    return NULL;
  for (yaml_node_pair_t *p = node->data.mapping.pairs.start;
       p < node->data.mapping.pairs.top; p++)
    {
      yaml_node_t *key = yaml_document_get_node (doc, p->key);
      if (key->type == YAML_SCALAR_NODE
          && strcmp ((char *)key->data.scalar.value, name) == 0)
        return yaml_document_get_node (doc, p->value);
    }
  return NULL;
}

static yaml_node_t *
find_engine (yaml_document_t *doc, const char *engine)
{
  yaml_node_t *root = yaml_document_get_root_node (doc);
  yaml_node_t *list = mapping_value (doc, root, "engines");
  if (list == NULL || list->type != YAML_SEQUENCE_NODE)
    return NULL;
  for (yaml_node_item_t *i = list->data.sequence.items.start;
       i < list->data.sequence.items.top; i++)
    {
      yaml_node_t *item = yaml_document_get_node (doc, *i);
      yaml_node_t *id = mapping_value (doc, item, "id");
      if (id && id->type == YAML_SCALAR_NODE
          && strcmp ((char *)id->data.scalar.value, engine) == 0)
        return item;
    }
  return NULL;
}

/* Converts a position of the YAML parser, which counts UTF-8 characters, to
   an offset in bytes.  */
static size_t
byte_offset (const char *text, size_t size, size_t characters)
{
  size_t at = 0;
  while (at < size && characters > 0)
    {
      at++;
      while (at < size && ((unsigned char)text[at] & 0xc0) == 0x80)
        at++;
      characters--;
    }
  return at;
}

/* Returns TEXT with the value of the engine's key state replaced, or with the
   key inserted after the id: in a mapping written in braces on the same line,
   else on a line of its own at the entry's indentation.  NULL if there is
   no such engine.  */
static char *
edit_engine_state (yaml_document_t *doc, const char *text, size_t size,
                   const char *engine, const char *state)
{
  yaml_node_t *item = find_engine (doc, engine);
  if (item == NULL)
    return NULL;
  GString *out = g_string_new_len (text, (gssize)size);
  yaml_node_t *old = mapping_value (doc, item, "state");
  yaml_node_t *id = mapping_value (doc, item, "id");
  if (old)
    {
      size_t from = byte_offset (text, size, old->start_mark.index);
      size_t to = byte_offset (text, size, old->end_mark.index);
      g_string_erase (out, (gssize)from, (gssize)(to - from));
      g_string_insert (out, (gssize)from, state);
      return g_string_free (out, FALSE);
    }
  size_t at = byte_offset (text, size, id->end_mark.index);
  bool flow = item->data.mapping.style == YAML_FLOW_MAPPING_STYLE;
  g_autofree char *line
      = flow ? g_strdup_printf (", state: %s", state)
             : g_strdup_printf ("\n%*sstate: %s", (int)item->start_mark.column,
                                "", state);
  g_string_insert (out, (gssize)at, line);
  return g_string_free (out, FALSE);
}

char *
config_file_set_engine_state (const char *text, size_t size,
                              const char *engine, const char *state)
{
  yaml_parser_t parser;
  yaml_document_t doc;
  char *out = NULL;
  if (!yaml_parser_initialize (&parser))
    g_error ("out of memory for the YAML parser");
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, size);
  if (yaml_parser_load (&parser, &doc))
    {
      out = edit_engine_state (&doc, text, size, engine, state);
      yaml_document_delete (&doc);
    }
  yaml_parser_delete (&parser);
  return out;
}
