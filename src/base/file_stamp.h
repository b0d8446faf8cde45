/** @file
    Tells whether a file has changed since it was last read.  */
#ifndef BASE_FILE_STAMP_H
#define BASE_FILE_STAMP_H

#include <stdbool.h>
#include <sys/types.h>
#include <time.h>

/** Identifies a version of a file.  The time alone does not: two writes within
    one tick of the file system's clock get the same time.  */
struct file_stamp
{
  struct timespec changed;
  ino_t inode;
  off_t size;
};

/** Returns the stamp of the file PATH; all zero if there is none.  */
struct file_stamp file_stamp (const char *path);

/** Whether A and B are of the same version of a file.  */
bool file_stamp_equal (const struct file_stamp *a, const struct file_stamp *b);

#endif
