/** @file
    Splits a large JSON text into an outline and parts, without parsing the
    parts.  In the outline each part is replaced by its number, so that a
   parser checks the outline and the parts one after the other, in any pauses,
   and parts that are known by their bytes need not be parsed at all.

    A text is valid JSON exactly if its outline and all its parts are.  */
#ifndef BASE_JSON_SPLIT_H
#define BASE_JSON_SPLIT_H

#include <glib.h>
#include <stddef.h>

/** Part of a text.  */
struct json_part
{
  const char *text; /**< in the text that was split; not terminated */
  size_t size;
};

/** A split text.  */
struct json_split
{
  GString *outline; /**< the text, with the number of each part in its place */
  GArray *parts;    /**< struct json_part, in the order of their numbers */
};

/** Splits TEXT, which must outlive the result and may be NULL if SIZE is 0.
    The parts are the elements of the arrays that are members of the object
    TEXT, or of an object that is a member of it.  */
struct json_split *json_split_elements (const char *text, size_t size);

/** The same; the parts are the contents of the strings of LEAST bytes or more
    that have no escapes and are not names of members.  Nobody checks what such
    a string holds.  */
struct json_split *json_split_strings (const char *text, size_t size,
                                       size_t least);

/** Frees S, which may be NULL.  */
void json_split_free (struct json_split *s);

#endif
