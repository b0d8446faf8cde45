/** @file
    Usage reports of the duty holder: one for each window, each written to the
    duty's record before it is sent, and repeated exactly until it is accepted.

    The record is written in the transaction that renews the lease
    (daemon/duty_link.h), so that only a holder can add a report, and a
    successor, which reads the record after it has acquired the lease, knows
    all reports that may have been sent.  A report that the record does not
    have was not sent, except if the key-value service was restored from a copy
    in between.  The record therefore states the era of the service in which it
    was written (kv.era).  In another era, the windows that have ended get no
    new report: the earlier holder may have reported them.

    A report of a window states all counts that this VM has when it is written;
    later ones are not reported.  No I/O; times are those of the fleet.  */
#ifndef DECIDE_USAGE_REPORTS_H
#define DECIDE_USAGE_REPORTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** How long after the end of a window its report is written.  By then the
    counts of all VMs, sent every 500 ms, have arrived, also if one or two
    messages were lost.  */
#define USAGE_REPORT_DELAY_MS 1600
/** Most reports that wait to be accepted; older ones are dropped.  */
#define USAGE_REPORTS_MAX 32
/** Pause before a report that was not accepted is sent again.  */
#define USAGE_REPORT_RETRY_MS 500

/** What a new holder knows.  */
struct usage_holder
{
  uint64_t era;       /**< of the key-value service */
  bool saw_restore;   /**< the service was restored since this process
                           started */
  bool is_resumed;    /**< it already was the holder at the last restore
                           (order_lease_is_resumed) */
  int64_t started_ms; /**< when this process started */
};

struct usage_reports;

/** Writes the report of WINDOW.  To be freed.  */
typedef char *usage_write_report (void *arg, uint64_t window);

/** Creates the reports of windows of WINDOW_MS.  */
struct usage_reports *usage_reports_create (int64_t window_ms);

/** Releases R, which may be NULL.  */
void usage_reports_destroy (struct usage_reports *r);

/** This VM became the holder.  RECORD is the duty's record, NULL if there is
    none.  What R held is discarded, unless the holder is resumed.  */
void usage_reports_begin (struct usage_reports *r, GBytes *record,
                          const struct usage_holder *holder, int64_t now_ms);

/** Whether a report is to be written or sent at NOW_MS.  */
bool usage_reports_is_due (const struct usage_reports *r, int64_t now_ms);

/** Writes the reports of the windows that have ended by WRITE.  Windows that
    ended before COUNTED_FROM_MS are left out, as this VM does not have the
    counts.  Returns how many.  */
unsigned usage_reports_write (struct usage_reports *r, int64_t counted_from_ms,
                              int64_t now_ms, usage_write_report *write,
                              void *arg);

/** The record to write to the key-value service, NULL if it is up to date.  */
GBytes *usage_reports_record (const struct usage_reports *r);

/** The record was written, so that all reports may be sent.  */
void usage_reports_written (struct usage_reports *r);

/** The report to send at NOW_MS, the oldest that was not accepted, and its
    WINDOW; NULL if there is none or one is in flight.  It then counts as in
    flight.  Valid until the next change of R.  */
const char *usage_reports_next (struct usage_reports *r, int64_t now_ms,
                                uint64_t *window);

/** The report of WINDOW got the response STATUS, 0 for none.  Returns whether
    it was accepted.  */
bool usage_reports_responded (struct usage_reports *r, uint64_t window,
                              unsigned status, int64_t now_ms);

#endif
