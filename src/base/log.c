#include "base/log.h"

#include <glib.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define NUM_BUFFERS 24
#define NUM_BUFFER_BYTES 24
/* PIPE_BUF of Linux: a pipe that poll reports writable accepts a write of up
   to this size completely.  */
#define LINE_MAX_BYTES 4096
#define LINES_PER_S_DEFAULT 500
/* Part of the rate limit that only warnings and errors may use.  */
#define WARN_RESERVE_PERCENT 20
#define US_PER_S 1000000

static const char *const level_names[] = { "debug", "info", "warn", "error" };
static enum log_level min_level = LOG_INFO;
static char vm_name[72] = "-";

/* Rate limit: a token bucket that holds the lines of one second.  */
static unsigned lines_per_s = LINES_PER_S_DEFAULT;
static double tokens = LINES_PER_S_DEFAULT;
static gint64 refilled_us;
static uint64_t dropped_total;
static uint64_t dropped_unreported;

void
log_setup (enum log_level lowest, const char *vm)
{
  min_level = lowest;
  g_strlcpy (vm_name, vm, sizeof vm_name);
}

void
log_set_rate (unsigned per_s)
{
  lines_per_s = MAX (per_s, 1);
}

uint64_t
log_dropped (void)
{
  return dropped_total;
}

bool
log_level_parse (const char *name, enum log_level *out)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (level_names); i++)
    if (strcmp (name, level_names[i]) == 0)
      {
        *out = (enum log_level)i;
        return true;
      }
  return false;
}

/* Takes a token for a line of LEVEL; false if the limit is reached.  */
static bool
rate_limit_take (enum log_level level)
{
  gint64 now = g_get_monotonic_time ();
  tokens += (double)(now - refilled_us) * lines_per_s / US_PER_S;
  tokens = MIN (tokens, lines_per_s);
  refilled_us = now;
  double reserve = level >= LOG_WARN
                       ? 0
                       : (double)lines_per_s * WARN_RESERVE_PERCENT / 100;
  if (tokens < reserve + 1)
    return false;
  tokens--;
  return true;
}

static void
append_value (GString *line, const char *value)
{
  if (value[0] != '\0' && strpbrk (value, " \"=\\\n\r\t") == NULL)
    {
      g_string_append (line, value);
      return;
    }
  g_autofree char *escaped = g_strescape (value, NULL);
  g_string_append_printf (line, "\"%s\"", escaped);
}

static void
append_prefix (GString *line, enum log_level level, const char *event)
{
  gint64 us = g_get_real_time ();
  time_t s = (time_t)(us / US_PER_S);
  struct tm tm;
  gmtime_r (&s, &tm);
  g_string_append_printf (
      line, "time=%04d-%02d-%02dT%02d:%02d:%02d.%03dZ level=%s vm=%s event=%s",
      tm.tm_year + 1900, tm.tm_mon + 1, tm.tm_mday, tm.tm_hour, tm.tm_min,
      tm.tm_sec, (int)(us % US_PER_S / 1000), level_names[level], vm_name,
      event);
}

/* Writes LINE, or counts it as dropped if standard output does not accept
   it at once; never blocks.  */
static void
write_line (GString *line)
{
  struct pollfd out = { STDOUT_FILENO, POLLOUT, 0 };
  if (line->len >= LINE_MAX_BYTES)
    g_string_truncate (line, LINE_MAX_BYTES - 1);
  g_string_append_c (line, '\n');
  if (poll (&out, 1, 0) == 1 && (out.revents & POLLOUT)
      && write (STDOUT_FILENO, line->str, line->len) == (ssize_t)line->len)
    return;
  dropped_total++;
  dropped_unreported++;
}

static void
report_dropped (void)
{
  g_autoptr (GString) line = g_string_new (NULL);
  append_prefix (line, LOG_WARN, "log_lines_dropped");
  g_string_append_printf (line, " lines=%" G_GUINT64_FORMAT,
                          (guint64)dropped_unreported);
  dropped_unreported = 0;
  write_line (line);
}

void
log_event (enum log_level level, const char *event, ...)
{
  if (level < min_level)
    return;
  if (!rate_limit_take (level))
    {
      dropped_total++;
      dropped_unreported++;
      return;
    }
  if (dropped_unreported > 0)
    report_dropped ();
  g_autoptr (GString) line = g_string_sized_new (256);
  append_prefix (line, level, event);
  va_list ap;
  va_start (ap, event);
  for (const char *key; (key = va_arg (ap, const char *)) != NULL;)
    {
      const char *value = va_arg (ap, const char *);
      g_string_append_printf (line, " %s=", key);
      append_value (line, value ? value : "");
    }
  va_end (ap);
  write_line (line);
}

const char *
log_num (long long value)
{
  static char buffers[NUM_BUFFERS][NUM_BUFFER_BYTES];
  static unsigned next;
  char *buffer = buffers[next++ % NUM_BUFFERS];
  g_snprintf (buffer, NUM_BUFFER_BYTES, "%lld", value);
  return buffer;
}
