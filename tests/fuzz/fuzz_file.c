/** @file
    Fuzz target: an applied file.  Either it holds, or at least one problem is
    told; an edit of one that holds holds too.  */
#include "base/config_file_edit.h"

/* The fuzzer calls it by this name.  NOLINTNEXTLINE */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* NOLINTNEXTLINE */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GArray *problems = config_file_problems_create ();
  struct file *file = config_file_parse ((const char *)data, size, problems);
  if ((file == NULL) == (problems->len == 0))
    __builtin_trap ();
  if (file && file->engines->len > 0)
    {
      const char *id = g_array_index (file->engines, struct file_engine, 0).id;
      char *edited = config_file_set_engine_state ((const char *)data, size,
                                                   id, "leaving");
      if (edited == NULL)
        __builtin_trap ();
      g_free (edited);
    }
  config_file_destroy (file);
  g_array_unref (problems);
  return 0;
}
