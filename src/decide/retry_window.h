/** @file
    Budget of further attempts at a service, over a sliding window.

    All VMs share the budget of a service: a share of the requests for it plus
    a fixed number in each window.  Each VM keeps to its own requests and to
   its part of the fixed number, so that no message is needed.  Pure.  */
#ifndef DECIDE_RETRY_WINDOW_H
#define DECIDE_RETRY_WINDOW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The fleet's bounds.  */
struct retry_bounds
{
  double ratio;       /**< further attempts for each request, 0 to 1 */
  unsigned window_ms; /**< length of the window */
  unsigned slack;     /**< further attempts in a window besides, of all VMs */
};

struct retry_windows;

/** Makes the windows of all services.  */
struct retry_windows *retry_windows_create (const struct retry_bounds *bounds);

/** Releases W.  */
void retry_windows_destroy (struct retry_windows *w);

/** Replaces the bounds.  */
void retry_windows_set_bounds (struct retry_windows *w,
                               const struct retry_bounds *bounds);

/** A request for SERVICE came.  */
void retry_windows_request (struct retry_windows *w, const char *service,
                            int64_t now_ms);

/** Whether one more attempt may be sent to SERVICE while VMS share the budget;
    takes it where it may.  */
bool retry_windows_take (struct retry_windows *w, const char *service,
                         unsigned vms, int64_t now_ms);

#endif
