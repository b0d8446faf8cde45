/** @file
    Crowd of callers that stay within no limit, at a VM with little memory:
   what each sends, and whether the VM lives within its memory and descriptors
   and answers an ordinary request afterwards.  */
#ifndef TESTS_HARNESS_CROWD_H
#define TESTS_HARNESS_CROWD_H

#include "harness/site.h"

/** Longest body of a request.  */
#define CROWD_BODY_MAX_BYTES (1024U * 1024)
/** Growth over the memory in use before the crowd came: the memory of the VM's
    machine, of which bodies and responses may have half.  */
#define CROWD_GROWTH_MAX_KIB (CROWD_MEMORY_MB * 1024)
/** Memory of the VM's machine.  */
#define CROWD_MEMORY_MB 24

/** One caller: sends HEAD, then PATTERN over and over up to SIZE bytes, then
    END, and reads nothing until the play ends.  */
struct sender
{
  int fd;
  const GString *head;
  const GString *pattern;
  const char *end;
  size_t size;
  size_t sent; /**< bytes of all three */
  bool gone;   /**< the VM closed the connection */
};

/** A site with one VM, and the callers at it.  */
struct crowd
{
  struct site *site;
  const char *address;   /**< that callers connect to; at first the one that
                            serves routes */
  GPtrArray *senders;    /**< of struct sender */
  GPtrArray *texts;      /**< of GString, which senders use */
  unsigned connections;  /**< that the VM accepts */
  size_t part_bytes;     /**< that a caller sends at a time */
  unsigned start_gap_ms; /**< between the first bytes of two callers; 0: all
                            start at once */
  long rest_kib;         /**< memory before the crowd came */
  long most_kib;         /**< most memory since then, without REST_KIB */
  unsigned most_descriptors;
};

/** Starts a site whose VM accepts CONNECTIONS, with programs from BIN, and
   lets it answer a few requests.  */
struct crowd *crowd_create (const char *bin, unsigned connections);

/** Ends the site and releases C.  */
void crowd_destroy (struct crowd *c);

/** Returns a text that C owns.  */
GString *crowd_text (struct crowd *c, const char *text);

/** Returns the head of a POST of PATH with the header lines FIELDS, without
   the last CR LF; C owns it.  */
GString *crowd_head (struct crowd *c, const char *path, const char *fields);

/** Adds a caller, and connects it.  */
void crowd_add (struct crowd *c, const GString *head, const GString *pattern,
                size_t size, const char *end);

/** Lets the callers send for MS.  Fails the test if the VM ends, or exceeds
   its memory, with what the kernel holds unread for it, or its descriptors. */
void crowd_play (struct crowd *c, unsigned ms);

/** An ordinary request is answered beside the crowd.  */
void crowd_expect_answer (struct crowd *c);

/** Lets the callers send for MS and leave, and releases C.  */
void crowd_run (struct crowd *c, unsigned ms);

/** The crowd leaves: an ordinary request is answered before and after that,
   and the memory falls.  */
void crowd_end (struct crowd *c);

#endif
