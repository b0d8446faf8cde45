/** @file
    Records described by generated tables: creation and release, encoding as
    msgpack, decoding, conversion to JSON.  */
#ifndef BASE_SCHEMA_H
#define BASE_SCHEMA_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Types of fields.  */
enum field_kind
{
  FIELD_BOOL,      /**< bool */
  FIELD_UINT,      /**< uint64_t */
  FIELD_STR,       /**< char *, never NULL after decoding */
  FIELD_BIN,       /**< GBytes *, NULL when empty */
  FIELD_ENUM,      /**< uint64_t, index into values */
  FIELD_LIST,      /**< GArray * of records, never NULL after decoding */
  FIELD_STRS,      /**< GPtrArray * of char *, never NULL after decoding */
  FIELD_ADDRESS,   /**< char *, IP:PORT */
  FIELD_ADDRESSES, /**< GPtrArray * of char *, IP:PORT */
  FIELD_DIGEST     /**< char *, 64 hexadecimal digits */
};

struct record_def;

/** Description of one field of a record.  */
struct field_def
{
  const char *name;
  enum field_kind kind;
  size_t offset; /**< in the record's struct, in bytes */
  uint64_t min;  /**< smallest value */
  uint64_t max;  /**< largest value, length in bytes or number of elements */
  bool required; /**< must be present in an applied file */
  bool unique;   /**< no two records of a list have the same value */
  const char *fallback; /**< default value as text, or NULL */
  const char *ref;      /**< list of the root record that must contain the
                             value, or NULL */
  const struct record_def *sub; /**< FIELD_LIST: type of the elements */
  const char *const *values;    /**< FIELD_ENUM: names, ended by NULL */
};

/** Description of one type of record.  */
struct record_def
{
  const char *name;
  size_t size; /**< of the record's struct, in bytes */
  const struct field_def *fields;
  size_t n_fields;
  unsigned type; /**< type of the frame that carries it, or 0 */
};

/** Returns a pointer to FIELD in RECORD.  */
static inline void *
field_at (const struct field_def *field, const void *record)
{
  return (char *)(uintptr_t)record + field->offset;
}

/** Creates an empty list for records of DEF.  Freeing the array does not
    release what its records own; record_clear of the record that contains the
    list does.  */
GArray *record_list_create (const struct record_def *def);

/** Releases what the fields of RECORD own and zeroes RECORD, without freeing
    it.  */
void record_clear (const struct record_def *def, void *record);

/** Sets each string and list of RECORD that is NULL to an empty one.  RECORD
    must be zeroed before its first use.  */
void record_init (const struct record_def *def, void *record);

/** Appends RECORD to OUT as a msgpack array.  */
void record_encode (const struct record_def *def, const void *record,
                    GByteArray *out);

/** Decodes the SIZE bytes of DATA into RECORD, which may be uninitialised.
    Returns false, and leaves RECORD zeroed, if DATA does not match DEF, is
    over one of its maxima, or has further bytes after the record.  */
bool record_decode (const struct record_def *def, const void *data,
                    size_t size, void *record);

/** Returns RECORD as a new JSON object; a binary field becomes its length in
    bytes.  */
json_t *record_to_json (const struct record_def *def, const void *record);

#endif
