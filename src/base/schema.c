#include "base/schema.h"

#include <msgpack.h>
#include <string.h>

static bool
kind_is_text (enum field_kind kind)
{
  return kind == FIELD_STR || kind == FIELD_ADDRESS || kind == FIELD_DIGEST;
}

static bool
kind_is_text_list (enum field_kind kind)
{
  return kind == FIELD_STRS || kind == FIELD_ADDRESSES;
}

static bool
kind_is_number (enum field_kind kind)
{
  return kind == FIELD_UINT || kind == FIELD_ENUM;
}

GArray *
record_list_create (const struct record_def *def)
{
  return g_array_new (FALSE, TRUE, (guint)def->size);
}

static void
list_clear (const struct record_def *def, GArray *list)
{
  for (guint i = 0; i < list->len; i++)
    record_clear (def, list->data + i * def->size);
  g_array_free (list, TRUE);
}

void
record_clear (const struct record_def *def, void *record)
{
  for (size_t i = 0; i < def->n_fields; i++)
    {
      const struct field_def *f = &def->fields[i];
      void *p = field_at (f, record);
      if (kind_is_text (f->kind))
        g_free (*(char **)p);
      else if (f->kind == FIELD_BIN && *(GBytes **)p)
        g_bytes_unref (*(GBytes **)p);
      else if (f->kind == FIELD_LIST && *(GArray **)p)
        list_clear (f->sub, *(GArray **)p);
      else if (kind_is_text_list (f->kind) && *(GPtrArray **)p)
        g_ptr_array_unref (*(GPtrArray **)p);
    }
  memset (record, 0, def->size);
}

void
record_init (const struct record_def *def, void *record)
{
  for (size_t i = 0; i < def->n_fields; i++)
    {
      const struct field_def *f = &def->fields[i];
      void *p = field_at (f, record);
      if (kind_is_text (f->kind) && *(char **)p == NULL)
        *(char **)p = g_strdup ("");
      else if (f->kind == FIELD_LIST && *(GArray **)p == NULL)
        *(GArray **)p = record_list_create (f->sub);
      else if (kind_is_text_list (f->kind) && *(GPtrArray **)p == NULL)
        *(GPtrArray **)p = g_ptr_array_new_with_free_func (g_free);
    }
}

/* Encoding of records as msgpack.  */

static int
append_bytes (void *data, const char *buf, size_t len)
{
  g_byte_array_append (data, (const guint8 *)buf, (guint)len);
  return 0;
}

static void
pack_text (msgpack_packer *pk, const char *text)
{
  size_t n = text ? strlen (text) : 0;
  msgpack_pack_str (pk, n);
  if (n > 0)
    msgpack_pack_str_body (pk, text, n);
}

static void
pack_bytes (msgpack_packer *pk, GBytes *bytes)
{
  gsize n = 0;
  const void *data = bytes ? g_bytes_get_data (bytes, &n) : NULL;
  msgpack_pack_bin (pk, n);
  if (n > 0)
    msgpack_pack_bin_body (pk, data, n);
}

static void pack_record (msgpack_packer *pk, const struct record_def *def,
                         const void *record);

static void
pack_list (msgpack_packer *pk, const struct record_def *def,
           const GArray *list)
{
  guint n = list ? list->len : 0;
  msgpack_pack_array (pk, n);
  for (guint i = 0; i < n; i++)
    pack_record (pk, def, list->data + i * def->size);
}

static void
pack_text_list (msgpack_packer *pk, const GPtrArray *texts)
{
  guint n = texts ? texts->len : 0;
  msgpack_pack_array (pk, n);
  for (guint i = 0; i < n; i++)
    pack_text (pk, g_ptr_array_index (texts, i));
}

static void
pack_field (msgpack_packer *pk, const struct field_def *f, const void *p)
{
  if (kind_is_text (f->kind))
    pack_text (pk, *(char *const *)p);
  else if (kind_is_number (f->kind))
    msgpack_pack_uint64 (pk, *(const uint64_t *)p);
  else if (f->kind == FIELD_BOOL && *(const bool *)p)
    msgpack_pack_true (pk);
  else if (f->kind == FIELD_BOOL)
    msgpack_pack_false (pk);
  else if (f->kind == FIELD_BIN)
    pack_bytes (pk, *(GBytes *const *)p);
  else if (f->kind == FIELD_LIST)
    pack_list (pk, f->sub, *(GArray *const *)p);
  else
    pack_text_list (pk, *(GPtrArray *const *)p);
}

static void
pack_record (msgpack_packer *pk, const struct record_def *def,
             const void *record)
{
  msgpack_pack_array (pk, def->n_fields);
  for (size_t i = 0; i < def->n_fields; i++)
    pack_field (pk, &def->fields[i], field_at (&def->fields[i], record));
}

void
record_encode (const struct record_def *def, const void *record,
               GByteArray *out)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, append_bytes);
  pack_record (&pk, def, record);
}

/* Decoding of records from msgpack.  */

static bool unpack_record (const struct record_def *def,
                           const msgpack_object *obj, void *record);

static bool
unpack_text (const struct field_def *f, const msgpack_object *obj, char **out)
{
  if (obj->type != MSGPACK_OBJECT_STR || obj->via.str.size > f->max)
    return false;
  /* The pointer of an empty string may be NULL.  */
  const char *text = obj->via.str.size > 0 ? obj->via.str.ptr : "";
  if (memchr (text, 0, obj->via.str.size) != NULL)
    return false;
  *out = g_strndup (text, obj->via.str.size);
  return true;
}

static bool
unpack_list (const struct field_def *f, const msgpack_object *obj,
             GArray **out)
{
  if (obj->type != MSGPACK_OBJECT_ARRAY || obj->via.array.size > f->max)
    return false;
  *out = record_list_create (f->sub);
  g_array_set_size (*out, obj->via.array.size);
  for (uint32_t i = 0; i < obj->via.array.size; i++)
    if (!unpack_record (f->sub, &obj->via.array.ptr[i],
                        (*out)->data + i * f->sub->size))
      return false;
  return true;
}

static bool
unpack_text_list (const struct field_def *f, const msgpack_object *obj,
                  GPtrArray **out)
{
  if (obj->type != MSGPACK_OBJECT_ARRAY || obj->via.array.size > f->max)
    return false;
  *out = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < obj->via.array.size; i++)
    {
      char *text = NULL;
      if (!unpack_text (f, &obj->via.array.ptr[i], &text))
        return false;
      g_ptr_array_add (*out, text);
    }
  return true;
}

static bool
unpack_number (const struct field_def *f, const msgpack_object *obj,
               uint64_t *out)
{
  if (obj->type != MSGPACK_OBJECT_POSITIVE_INTEGER || obj->via.u64 > f->max)
    return false;
  *out = obj->via.u64;
  return true;
}

static bool
unpack_bytes (const struct field_def *f, const msgpack_object *obj,
              GBytes **out)
{
  if (obj->type != MSGPACK_OBJECT_BIN || obj->via.bin.size > f->max)
    return false;
  if (obj->via.bin.size > 0)
    *out = g_bytes_new (obj->via.bin.ptr, obj->via.bin.size);
  return true;
}

static bool
unpack_field (const struct field_def *f, const msgpack_object *obj, void *p)
{
  if (kind_is_text (f->kind))
    return unpack_text (f, obj, p);
  if (kind_is_number (f->kind))
    return unpack_number (f, obj, p);
  if (f->kind == FIELD_BIN)
    return unpack_bytes (f, obj, p);
  if (f->kind == FIELD_LIST)
    return unpack_list (f, obj, p);
  if (kind_is_text_list (f->kind))
    return unpack_text_list (f, obj, p);
  if (obj->type != MSGPACK_OBJECT_BOOLEAN)
    return false;
  *(bool *)p = obj->via.boolean;
  return true;
}

static bool
unpack_record (const struct record_def *def, const msgpack_object *obj,
               void *record)
{
  if (obj->type != MSGPACK_OBJECT_ARRAY
      || obj->via.array.size != def->n_fields)
    return false;
  for (size_t i = 0; i < def->n_fields; i++)
    if (!unpack_field (&def->fields[i], &obj->via.array.ptr[i],
                       field_at (&def->fields[i], record)))
      return false;
  return true;
}

/* Sizes of the encoding of one value, after its first byte: of its length or
   number, of its text or bytes, and the number of its elements.  */
struct value_sizes
{
  size_t header;
  uint64_t body;
  uint64_t elements;
};

static uint64_t
read_big_endian (const guint8 *data, size_t n)
{
  uint64_t value = 0;
  for (size_t i = 0; i < n; i++)
    value = value << 8 | data[i];
  return value;
}

/* Reads the sizes of the value that starts at DATA, of SIZE > 0 bytes.
   Returns false if it is truncated or of a type that no record contains.  */
static bool
read_sizes (const guint8 *data, size_t size, struct value_sizes *out)
{
  guint8 type = data[0];
  *out = (struct value_sizes){ 0 };
  if (type <= 0x7f || type == 0xc2 || type == 0xc3) /* small number, bool */
    return true;
  if (type >= 0xcc && type <= 0xd3) /* number of 1, 2, 4 or 8 bytes */
    out->header = (size_t)1 << (type & 3);
  else if (type >= 0x90 && type <= 0x9f) /* short array */
    out->elements = type & 0x0f;
  else if (type >= 0xa0 && type <= 0xbf) /* short text */
    out->body = type & 0x1f;
  else if (type >= 0xc4 && type <= 0xc6) /* bytes */
    out->header = (size_t)1 << (type - 0xc4);
  else if (type >= 0xd9 && type <= 0xdb) /* text */
    out->header = (size_t)1 << (type - 0xd9);
  else if (type == 0xdc || type == 0xdd) /* array */
    out->header = (size_t)2 << (type - 0xdc);
  else
    return false;
  if (out->header > size - 1)
    return false;
  uint64_t length = read_big_endian (data + 1, out->header);
  if (type == 0xdc || type == 0xdd)
    out->elements = length;
  else if ((type >= 0xc4 && type <= 0xc6) || (type >= 0xd9 && type <= 0xdb))
    out->body = length;
  return true;
}

/* Whether DATA holds as many elements as its arrays claim: an element takes at
   least one byte.  The msgpack library allocates an array as its header claims
   before it reads the elements, which for 5 bytes can be over 100 GB.  */
static bool
lengths_fit (const guint8 *data, size_t size)
{
  uint64_t pending = 1; /* values to come */
  size_t at = 0;
  while (pending > 0)
    {
      struct value_sizes sizes;
      if (at >= size || !read_sizes (data + at, size - at, &sizes))
        return false;
      at += 1 + sizes.header;
      if (sizes.body > size - at)
        return false;
      at += sizes.body;
      pending += sizes.elements - 1;
      if (pending > size - at)
        return false;
    }
  return true;
}

bool
record_decode (const struct record_def *def, const void *data, size_t size,
               void *record)
{
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  memset (record, 0, def->size);
  size_t offset = 0;
  bool ok = lengths_fit (data, size)
            && msgpack_unpack_next (&unpacked, data, size, &offset)
                   == MSGPACK_UNPACK_SUCCESS
            && offset == size && unpack_record (def, &unpacked.data, record);
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    record_clear (def, record);
  return ok;
}

/* Conversion of records to JSON.  */

static json_t *
text_list_to_json (const GPtrArray *texts)
{
  json_t *out = json_array ();
  for (guint i = 0; texts && i < texts->len; i++)
    json_array_append_new (out, json_string (g_ptr_array_index (texts, i)));
  return out;
}

static json_t *
list_to_json (const struct record_def *def, const GArray *list)
{
  json_t *out = json_array ();
  for (guint i = 0; list && i < list->len; i++)
    json_array_append_new (out,
                           record_to_json (def, list->data + i * def->size));
  return out;
}

static json_t *
field_to_json (const struct field_def *f, const void *p)
{
  if (kind_is_text (f->kind))
    return json_string (*(char *const *)p ? *(char *const *)p : "");
  if (f->kind == FIELD_ENUM)
    return json_string (f->values[*(const uint64_t *)p]);
  if (f->kind == FIELD_UINT)
    return json_integer ((json_int_t) * (const uint64_t *)p);
  if (f->kind == FIELD_BOOL)
    return json_boolean (*(const bool *)p);
  if (f->kind == FIELD_LIST)
    return list_to_json (f->sub, *(GArray *const *)p);
  if (kind_is_text_list (f->kind))
    return text_list_to_json (*(GPtrArray *const *)p);
  GBytes *bytes = *(GBytes *const *)p;
  return json_integer (bytes ? (json_int_t)g_bytes_get_size (bytes) : 0);
}

json_t *
record_to_json (const struct record_def *def, const void *record)
{
  json_t *out = json_object ();
  for (size_t i = 0; i < def->n_fields; i++)
    json_object_set_new (
        out, def->fields[i].name,
        field_to_json (&def->fields[i], field_at (&def->fields[i], record)));
  return out;
}
