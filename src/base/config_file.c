#include "base/config_file.h"

#include "base/address.h"

#include <arpa/inet.h>
#include <string.h>
#include <yaml.h>

/* State of one config_file_parse call.  */
struct reader
{
  yaml_document_t doc;
  const struct file *root; /* result; set once all records are read */
  GArray *problems;        /* struct config_file_problem */
};

static void
problem_clear (void *p)
{
  struct config_file_problem *problem = p;
  g_free (problem->key);
  g_free (problem->reason);
}

GArray *
config_file_problems_create (void)
{
  GArray *out = g_array_new (FALSE, TRUE, sizeof (struct config_file_problem));
  g_array_set_clear_func (out, problem_clear);
  return out;
}

char *
config_file_problems_text (const GArray *problems)
{
  GString *out = g_string_new (NULL);
  for (guint i = 0; i < problems->len; i++)
    {
      const struct config_file_problem *p
          = &g_array_index (problems, struct config_file_problem, i);
      g_string_append_printf (out, "line %zu: %s: %s\n", p->line, p->key,
                              p->reason);
    }
  return g_string_free (out, FALSE);
}

/* Records an error at NODE, which is NULL if the error has no line; an
   empty KEY stands for the top level.  */
static void G_GNUC_PRINTF (4, 5)
    add_problem (struct reader *r, const yaml_node_t *node, const char *key,
                 const char *format, ...)
{
  struct config_file_problem p = { 0 };
  va_list ap;
  va_start (ap, format);
  p.reason = g_strdup_vprintf (format, ap);
  va_end (ap);
  p.key = g_strdup (key[0] ? key : "(file)");
  p.line = node ? node->start_mark.line + 1 : 0;
  g_array_append_val (r->problems, p);
}

/* Text of a scalar; NULL for a list or mapping.  */
static const char *
scalar_text (const yaml_node_t *node)
{
  return node->type == YAML_SCALAR_NODE ? (const char *)node->data.scalar.value
                                        : NULL;
}

static bool
digest_valid (const char *text)
{
  return strlen (text) == 64 && strspn (text, "0123456789abcdef") == 64;
}

/* Returns a copy of the string in NODE, also after recording an error; empty
   if NODE is not a scalar.  */
static char *
read_text (struct reader *r, const yaml_node_t *node,
           const struct field_def *f, const char *key)
{
  const char *text = scalar_text (node);
  if (text == NULL)
    add_problem (r, node, key,
                 "must be a single value, not a list or mapping");
  else if (strlen (text) != node->data.scalar.length)
    add_problem (r, node, key, "contains a zero byte");
  else if (f->required && text[0] == '\0')
    add_problem (r, node, key, "must not be empty");
  else if (f->kind == FIELD_DIGEST && !digest_valid (text))
    add_problem (r, node, key, "must be 64 lower-case hexadecimal digits");
  else if ((f->kind == FIELD_ADDRESS || f->kind == FIELD_ADDRESSES)
           && !address_split (text, NULL, NULL))
    add_problem (r, node, key,
                 "'%s' is not an IPv4 address of the form IP:PORT", text);
  else if (f->kind != FIELD_ADDRESSES && strlen (text) > f->max)
    add_problem (r, node, key, "is longer than %d bytes", (int)f->max);
  return g_strdup (text ? text : "");
}

/* Reads TEXT, NULL for a list or mapping, as a number into OUT.  */
static void
read_number (struct reader *r, const yaml_node_t *node,
             const struct field_def *f, const char *key, const char *text,
             uint64_t *out)
{
  guint64 value = 0;
  if (text != NULL
      && g_ascii_string_to_unsigned (text, 10, f->min, f->max, &value, NULL))
    *out = value;
  else
    add_problem (r, node, key, "'%s' is not a number from %d to %d",
                 text ? text : "(list or mapping)", (int)f->min, (int)f->max);
}

/* Reads TEXT, NULL for a list or mapping, into OUT as the index of the value
   in F.  */
static void
read_enum (struct reader *r, const yaml_node_t *node,
           const struct field_def *f, const char *key, const char *text,
           uint64_t *out)
{
  for (unsigned i = 0; text && f->values[i]; i++)
    if (strcmp (text, f->values[i]) == 0)
      {
        *out = i;
        return;
      }
  g_autofree char *all = g_strjoinv (", ", (char **)(uintptr_t)f->values);
  add_problem (r, node, key, "'%s' is none of %s",
               text ? text : "(list or mapping)", all);
}

static void
read_bool (struct reader *r, const yaml_node_t *node, const char *key,
           const char *text, bool *out)
{
  if (text && strcmp (text, "true") == 0)
    *out = true;
  else if (text && strcmp (text, "false") == 0)
    *out = false;
  else
    add_problem (r, node, key, "'%s' is neither true nor false",
                 text ? text : "(list or mapping)");
}

static void read_record (struct reader *r, const yaml_node_t *node,
                         const struct record_def *def, const char *key,
                         void *out);

/* Reads a list of records into OUT.  */
static void
read_list (struct reader *r, const yaml_node_t *node,
           const struct field_def *f, const char *key, GArray *out)
{
  if (node->type != YAML_SEQUENCE_NODE)
    {
      add_problem (r, node, key, "must be a list");
      return;
    }
  size_t n = (size_t)(node->data.sequence.items.top
                      - node->data.sequence.items.start);
  if (n > f->max)
    {
      add_problem (r, node, key, "has more than %d entries", (int)f->max);
      return;
    }
  g_array_set_size (out, (guint)n);
  for (size_t i = 0; i < n; i++)
    {
      g_autofree char *path = g_strdup_printf ("%s[%zu]", key, i);
      yaml_node_t *item = yaml_document_get_node (
          &r->doc, node->data.sequence.items.start[i]);
      read_record (r, item, f->sub, path, out->data + i * f->sub->size);
    }
}

/* Reads a list of strings into OUT.  */
static void
read_texts (struct reader *r, const yaml_node_t *node,
            const struct field_def *f, const char *key, GPtrArray *out)
{
  if (node->type != YAML_SEQUENCE_NODE)
    {
      add_problem (r, node, key, "must be a list");
      return;
    }
  for (yaml_node_item_t *i = node->data.sequence.items.start;
       i < node->data.sequence.items.top; i++)
    {
      yaml_node_t *item = yaml_document_get_node (&r->doc, *i);
      char *text = read_text (r, item, f, key);
      if (string_array_contains (out, text))
        add_problem (r, item, key, "'%s' appears more than once", text);
      g_ptr_array_add (out, text);
    }
  if (f->required && out->len == 0)
    add_problem (r, node, key, "must not be empty");
}

/* Reads NODE into the field F at P, by the kind of F.  */
static void
read_field (struct reader *r, const yaml_node_t *node,
            const struct field_def *f, const char *key, void *p)
{
  switch (f->kind)
    {
    case FIELD_UINT:
      read_number (r, node, f, key, scalar_text (node), p);
      break;
    case FIELD_ENUM:
      read_enum (r, node, f, key, scalar_text (node), p);
      break;
    case FIELD_BOOL:
      read_bool (r, node, key, scalar_text (node), p);
      break;
    case FIELD_LIST:
      read_list (r, node, f, key, *(GArray **)p);
      break;
    case FIELD_STRS:
    case FIELD_ADDRESSES:
      read_texts (r, node, f, key, *(GPtrArray **)p);
      break;
    default:
      g_free (*(char **)p);
      *(char **)p = read_text (r, node, f, key);
    }
}

/* Sets the field F at P to the default value that the schema gives.  */
static void
set_default (struct reader *r, const struct field_def *f, void *p)
{
  if (f->kind == FIELD_UINT)
    read_number (r, NULL, f, f->name, f->fallback, p);
  else if (f->kind == FIELD_ENUM)
    read_enum (r, NULL, f, f->name, f->fallback, p);
  else if (f->kind == FIELD_BOOL)
    read_bool (r, NULL, f->name, f->fallback, p);
  else if (f->kind == FIELD_STR)
    {
      g_free (*(char **)p);
      *(char **)p = g_strdup (f->fallback);
    }
}

static const struct field_def *
find_field (const struct record_def *def, const char *name)
{
  for (size_t i = 0; i < def->n_fields; i++)
    if (strcmp (def->fields[i].name, name) == 0)
      return &def->fields[i];
  return NULL;
}

/* Reads one key with its value into the record OUT, whose path is KEY.  SEEN
   has one entry for each field of DEF: whether its key has been read.  */
static void
read_pair (struct reader *r, const yaml_node_pair_t *pair,
           const struct record_def *def, const char *key, bool *seen,
           void *out)
{
  yaml_node_t *name = yaml_document_get_node (&r->doc, pair->key);
  yaml_node_t *value = yaml_document_get_node (&r->doc, pair->value);
  const char *text = scalar_text (name);
  g_autofree char *path = g_strdup_printf ("%s%s%s", key, key[0] ? "." : "",
                                           text ? text : "(list or mapping)");
  const struct field_def *f = text ? find_field (def, text) : NULL;
  if (f == NULL)
    add_problem (r, name, path, "is not a key of %s", def->name);
  else if (seen[f - def->fields])
    add_problem (r, name, path, "appears more than once");
  else
    {
      seen[f - def->fields] = true;
      read_field (r, value, f, path, field_at (f, out));
    }
}

/* Reads the mapping NODE into the record OUT.  */
static void
read_record (struct reader *r, const yaml_node_t *node,
             const struct record_def *def, const char *key, void *out)
{
  record_init (def, out);
  if (node == NULL || node->type != YAML_MAPPING_NODE)
    {
      add_problem (r, node, key, "needs keys and values (a YAML mapping)");
      return;
    }
  g_autofree bool *seen = g_new0 (bool, def->n_fields);
  for (yaml_node_pair_t *p = node->data.mapping.pairs.start;
       p < node->data.mapping.pairs.top; p++)
    read_pair (r, p, def, key, seen, out);
  for (size_t i = 0; i < def->n_fields; i++)
    {
      const struct field_def *f = &def->fields[i];
      if (!seen[i] && f->required)
        add_problem (r, node, key, "lacks the key '%s'", f->name);
      else if (!seen[i] && f->fallback)
        set_default (r, f, field_at (f, out));
    }
}

/* Checks between records: references to other lists, unique values and route
   prefixes.  */

bool
string_array_contains (const GPtrArray *texts, const char *text)
{
  for (guint i = 0; i < texts->len; i++)
    if (strcmp (g_ptr_array_index (texts, i), text) == 0)
      return true;
  return false;
}

/* The values that a reference to LIST of ROOT may have: the strings of a list
   of strings, the first field (name or id) of each record otherwise.  */
static GHashTable *
allowed_values (const struct file *root, const char *list)
{
  GHashTable *out = g_hash_table_new (g_str_hash, g_str_equal);
  const struct field_def *f = find_field (&file_record, list);
  const void *p = field_at (f, root);
  if (f->kind == FIELD_STRS)
    {
      GPtrArray *texts = *(GPtrArray *const *)p;
      for (guint i = 0; i < texts->len; i++)
        g_hash_table_add (out, g_ptr_array_index (texts, i));
      return out;
    }
  GArray *items = *(GArray *const *)p;
  for (guint i = 0; i < items->len; i++)
    {
      void *item = items->data + i * f->sub->size;
      g_hash_table_add (out, *(char **)field_at (&f->sub->fields[0], item));
    }
  return out;
}

/* Value of the key NAME in the mapping NODE, or NULL.  */
static yaml_node_t *
mapping_value (struct reader *r, const yaml_node_t *node, const char *name)
{
  if (node == NULL || node->type != YAML_MAPPING_NODE)
    return NULL;
  for (yaml_node_pair_t *p = node->data.mapping.pairs.start;
       p < node->data.mapping.pairs.top; p++)
    {
      const char *text
          = scalar_text (yaml_document_get_node (&r->doc, p->key));
      if (text && strcmp (text, name) == 0)
        return yaml_document_get_node (&r->doc, p->value);
    }
  return NULL;
}

/* Checks the field F, at P, of one entry of a list.  ALLOWED is the set that
   its value must be in, NULL for any; SEEN is the set of the values of F in
   the entries before, to which the value of a unique field is added.  */
static void
check_list_value (struct reader *r, const yaml_node_t *node,
                  const struct field_def *f, GHashTable *allowed,
                  GHashTable *seen, const char *key, const void *p)
{
  if (f->kind == FIELD_STRS)
    {
      GPtrArray *texts = *(GPtrArray *const *)p;
      for (guint i = 0; allowed && i < texts->len; i++)
        if (!g_hash_table_contains (allowed, g_ptr_array_index (texts, i)))
          add_problem (r, node, key, "'%s' is not in %s",
                       (char *)g_ptr_array_index (texts, i), f->ref);
      return;
    }
  char *text = *(char *const *)p;
  if (allowed && text[0] && !g_hash_table_contains (allowed, text))
    add_problem (r, node, key, "'%s' is not in %s", text, f->ref);
  if (f->unique && text[0] && !g_hash_table_add (seen, text))
    add_problem (r, node, key, "'%s' appears more than once", text);
}

/* Checks the field F in all ITEMS of the top-level list LF; LIST is its YAML
   node.  */
static void
check_list_field (struct reader *r, const yaml_node_t *list,
                  const struct field_def *lf, const GArray *items,
                  const struct field_def *f)
{
  g_autoptr (GHashTable) allowed
      = f->ref ? allowed_values (r->root, f->ref) : NULL;
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < items->len; i++)
    {
      yaml_node_t *item = yaml_document_get_node (
          &r->doc, list->data.sequence.items.start[i]);
      yaml_node_t *node = mapping_value (r, item, f->name);
      g_autofree char *key
          = g_strdup_printf ("%s[%u].%s", lf->name, i, f->name);
      check_list_value (r, node ? node : item, f, allowed, seen, key,
                        field_at (f, items->data + i * lf->sub->size));
    }
}

/* Checks the references and unique fields of all top-level lists; ROOT is the
   top-level mapping.  */
static void
check_references (struct reader *r, const yaml_node_t *root)
{
  for (size_t i = 0; i < file_record.n_fields; i++)
    {
      const struct field_def *lf = &file_record.fields[i];
      const yaml_node_t *list = mapping_value (r, root, lf->name);
      if (lf->kind != FIELD_LIST || list == NULL)
        continue;
      const GArray *items = *(GArray **)field_at (lf, r->root);
      for (size_t j = 0; j < lf->sub->n_fields; j++)
        if (lf->sub->fields[j].ref || lf->sub->fields[j].unique)
          check_list_field (r, list, lf, items, &lf->sub->fields[j]);
    }
}

/* Checks that each route's prefix starts and ends with a slash, so that it
   matches complete path segments, and that no two routes have the same host,
   without regard to case, and prefix.  */
static void
check_routes (struct reader *r, const yaml_node_t *root)
{
  const GArray *routes = r->root->routes;
  const yaml_node_t *list = mapping_value (r, root, "routes");
  g_autoptr (GHashTable) seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; list && i < routes->len; i++)
    {
      const struct file_route *x
          = &g_array_index (routes, struct file_route, i);
      const yaml_node_t *node = yaml_document_get_node (
          &r->doc, list->data.sequence.items.start[i]);
      g_autofree char *key = g_strdup_printf ("routes[%u].prefix", i);
      g_autofree char *host = g_ascii_strdown (x->host, -1);
      if (x->prefix[0] != '/' || !g_str_has_suffix (x->prefix, "/"))
        add_problem (r, node, key, "'%s' does not start and end with /",
                     x->prefix);
      if (!g_hash_table_add (seen, g_strconcat (host, x->prefix, NULL)))
        add_problem (r, node, key, "'%s' appears more than once for host %s",
                     x->prefix, x->host);
    }
}

struct file *
config_file_parse (const char *text, size_t size, GArray *problems)
{
  struct reader r = { .problems = problems };
  yaml_parser_t parser;
  if (!yaml_parser_initialize (&parser))
    g_error ("out of memory for the YAML parser");
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, size);
  struct file *out = g_new0 (struct file, 1);
  if (!yaml_parser_load (&parser, &r.doc))
    {
      struct config_file_problem p = {
        parser.problem_mark.line + 1, g_strdup ("(file)"),
        g_strdup (parser.problem ? parser.problem : "is not valid YAML")
      };
      g_array_append_val (problems, p);
      record_init (&file_record, out);
    }
  else
    {
      yaml_node_t *root = yaml_document_get_root_node (&r.doc);
      read_record (&r, root, &file_record, "", out);
      r.root = out;
      if (problems->len == 0)
        {
          check_references (&r, root);
          check_routes (&r, root);
        }
      yaml_document_delete (&r.doc);
    }
  yaml_parser_delete (&parser);
  if (problems->len == 0)
    return out;
  config_file_destroy (out);
  return NULL;
}

void
config_file_destroy (struct file *file)
{
  if (file == NULL)
    return;
  record_clear (&file_record, file);
  g_free (file);
}

const struct file_engine *
config_file_find_engine (const struct file *f, const char *id)
{
  for (guint i = 0; i < f->engines->len; i++)
    {
      struct file_engine *e
          = &g_array_index (f->engines, struct file_engine, i);
      if (strcmp (e->id, id) == 0)
        return e;
    }
  return NULL;
}

const struct file_service *
config_file_find_service (const struct file *f, const char *name)
{
  for (guint i = 0; i < f->services->len; i++)
    {
      struct file_service *s
          = &g_array_index (f->services, struct file_service, i);
      if (strcmp (s->name, name) == 0)
        return s;
    }
  return NULL;
}

const struct file_caller *
config_file_find_caller (const struct file *f, const char *key_digest)
{
  for (guint i = 0; i < f->callers->len; i++)
    {
      struct file_caller *c
          = &g_array_index (f->callers, struct file_caller, i);
      if (strcmp (c->key_digest, key_digest) == 0)
        return c;
    }
  return NULL;
}

const struct file_operator *
config_file_find_operator (const struct file *f, const char *key_digest)
{
  for (guint i = 0; i < f->operators->len; i++)
    {
      struct file_operator *o
          = &g_array_index (f->operators, struct file_operator, i);
      if (strcmp (o->key_digest, key_digest) == 0)
        return o;
    }
  return NULL;
}
