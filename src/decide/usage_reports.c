#include "decide/usage_reports.h"

#include "generated/messages.h"

#include <string.h>

struct usage_reports
{
  int64_t window_ms;
  struct usage_page page; /* what the record holds, or is to hold */
  bool changed;           /* PAGE was changed since it was last written */
  bool in_flight;         /* the oldest report was sent, without a response */
  int64_t retry_ms;       /* no report is sent before this time */
};

struct usage_reports *
usage_reports_create (int64_t window_ms)
{
  struct usage_reports *r = g_new0 (struct usage_reports, 1);
  r->window_ms = window_ms;
  record_init (&usage_page_record, &r->page);
  return r;
}

void
usage_reports_destroy (struct usage_reports *r)
{
  if (r == NULL)
    return;
  record_clear (&usage_page_record, &r->page);
  g_free (r);
}

static struct usage_report *
report_at (const struct usage_reports *r, guint i)
{
  return &g_array_index (r->page.reports, struct usage_report, i);
}

static uint64_t
window_at (const struct usage_reports *r, int64_t time_ms)
{
  return (uint64_t)MAX (time_ms, 0) / (uint64_t)r->window_ms;
}

static int64_t
window_end (const struct usage_reports *r, uint64_t window)
{
  return (int64_t)(window + 1) * r->window_ms;
}

/* Replaces the page of R by PAGE and takes ownership of its contents.  */
static void
take_page (struct usage_reports *r, struct usage_page *page)
{
  record_clear (&usage_page_record, &r->page);
  r->page = *page;
  record_init (&usage_page_record, &r->page);
}

void
usage_reports_begin (struct usage_reports *r, GBytes *record,
                     const struct usage_holder *holder, int64_t now_ms)
{
  struct usage_page page = { 0 };
  gsize size = 0;
  const void *data = record ? g_bytes_get_data (record, &size) : NULL;
  bool is_current = data
                    && record_decode (&usage_page_record, data, size, &page)
                    && page.era == holder->era;
  r->changed = !is_current;
  r->in_flight = false;
  r->retry_ms = 0;
  if (is_current)
    {
      take_page (r, &page);
      return;
    }
  record_clear (&usage_page_record, &page);
  if (!holder->is_resumed)
    {
      /* Without a record no holder has reported in this era, and this process
         has seen no other.  */
      bool is_first = record == NULL && !holder->saw_restore;
      int64_t from_ms = is_first ? MIN (holder->started_ms, now_ms) : now_ms;
      page.next = window_at (r, from_ms);
      take_page (r, &page);
    }
  r->page.era = holder->era;
}

static bool
has_ended (const struct usage_reports *r, int64_t now_ms)
{
  return now_ms >= window_end (r, r->page.next) + USAGE_REPORT_DELAY_MS;
}

bool
usage_reports_is_due (const struct usage_reports *r, int64_t now_ms)
{
  return has_ended (r, now_ms)
         || (r->page.reports->len > 0 && !r->in_flight
             && now_ms >= r->retry_ms);
}

/* Drops the oldest report.  */
static void
drop_first (struct usage_reports *r)
{
  record_clear (&usage_report_record, report_at (r, 0));
  g_array_remove_index (r->page.reports, 0);
  r->changed = true;
}

unsigned
usage_reports_write (struct usage_reports *r, int64_t counted_from_ms,
                     int64_t now_ms, usage_write_report *write, void *arg)
{
  unsigned left_out = 0;
  uint64_t current = window_at (r, now_ms);
  if (r->page.next + USAGE_REPORTS_MAX < current)
    {
      left_out = (unsigned)(current - USAGE_REPORTS_MAX - r->page.next);
      r->page.next = current - USAGE_REPORTS_MAX;
      r->changed = true;
    }
  for (; has_ended (r, now_ms); r->page.next++)
    {
      r->changed = true;
      if (window_end (r, r->page.next) < counted_from_ms)
        {
          left_out++;
          continue;
        }
      struct usage_report report
          = { .window = r->page.next, .body = write (arg, r->page.next) };
      g_array_append_val (r->page.reports, report);
    }
  while (r->page.reports->len > USAGE_REPORTS_MAX)
    {
      r->in_flight = false;
      drop_first (r);
    }
  return left_out;
}

GBytes *
usage_reports_record (const struct usage_reports *r)
{
  if (!r->changed)
    return NULL;
  GByteArray *data = g_byte_array_new ();
  record_encode (&usage_page_record, &r->page, data);
  return g_byte_array_free_to_bytes (data);
}

void
usage_reports_written (struct usage_reports *r)
{
  r->changed = false;
}

const char *
usage_reports_next (struct usage_reports *r, int64_t now_ms, uint64_t *window)
{
  if (r->changed || r->in_flight || r->page.reports->len == 0
      || now_ms < r->retry_ms)
    return NULL;
  const struct usage_report *report = report_at (r, 0);
  r->in_flight = true;
  *window = report->window;
  return report->body;
}

/* Whether STATUS says that the report itself is refused, not that the platform
   was busy.  */
static bool
is_refusal (unsigned status)
{
  return status >= 400 && status < 500 && status != 408 && status != 429;
}

/* Moves the oldest report behind the others, so that they are sent although it
   is refused.  */
static void
move_first_back (struct usage_reports *r)
{
  struct usage_report report = *report_at (r, 0);
  g_array_remove_index (r->page.reports, 0);
  g_array_append_val (r->page.reports, report);
}

bool
usage_reports_responded (struct usage_reports *r, uint64_t window,
                         unsigned status, int64_t now_ms)
{
  if (r->page.reports->len == 0 || report_at (r, 0)->window != window)
    return false;
  bool accepted = status >= 200 && status < 300;
  r->in_flight = false;
  if (accepted)
    {
      drop_first (r);
      return true;
    }
  r->retry_ms = now_ms + USAGE_REPORT_RETRY_MS;
  if (is_refusal (status))
    move_first_back (r);
  return false;
}
