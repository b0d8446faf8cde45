/** @file
    One HTTP request to the operator API of a VM.  */
#ifndef CTL_REMOTE_H
#define CTL_REMOTE_H

#include "ctl/commands.h"

#include <jansson.h>
#include <stddef.h>

/** Response of a VM.  */
struct remote_response
{
  int status;  /**< HTTP status, 0 without a complete response */
  char *body;  /**< followed by a zero byte; NULL without a response */
  size_t size; /**< bytes of the body, without the zero byte */
};

/** Sends a request with SIZE bytes of BODY to the VM of OPTIONS and waits for
    the response until the VM has sent nothing for 30 s.  Fills OUT and returns
    true.  Returns false after an error message if OPTIONS have no valid
    address of a VM, or no key file and the command is not status, or if the
    key file cannot be read.  */
bool remote_request (const struct ctl_options *options, const char *method,
                     const char *path, const void *body, size_t size,
                     struct remote_response *out);

/** Releases the body in OUT and zeroes OUT.  */
void remote_response_clear (struct remote_response *out);

#endif
