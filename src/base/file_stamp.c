#include "base/file_stamp.h"

#include <sys/stat.h>

struct file_stamp
file_stamp (const char *path)
{
  struct stat st;
  if (path[0] == '\0' || stat (path, &st) != 0)
    return (struct file_stamp){ 0 };
  return (struct file_stamp){ .changed = st.st_mtim,
                              .inode = st.st_ino,
                              .size = st.st_size };
}

bool
file_stamp_equal (const struct file_stamp *a, const struct file_stamp *b)
{
  return a->changed.tv_sec == b->changed.tv_sec
         && a->changed.tv_nsec == b->changed.tv_nsec && a->inode == b->inode
         && a->size == b->size;
}
