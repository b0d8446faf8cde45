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
/* A line of at most this length is taken whole by a pipe that is ready.  */
#define LINE_MAX_BYTES 4096
#define LINES_PER_S_DEFAULT 500
/* Part of the bound that is left to warnings and errors.  */
#define RESERVE_PERCENT 20
#define US_PER_S 1000000

static const char *const level_names[] = { "debug", "info", "warn", "error" };
static enum log_level least_level = LOG_INFO;
static char vm_name[72] = "-";

/* Lines that may still be written: a bucket that holds one second's.  */
static unsigned lines_per_s = LINES_PER_S_DEFAULT;
static double allowance = LINES_PER_S_DEFAULT;
static gint64 allowed_us;
static uint64_t dropped_total;
static uint64_t dropped_untold;

void
log_setup (enum log_level least, const char *vm)
{
  least_level = least;
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

static bool
may_write (enum log_level level)
{
  gint64 now = g_get_monotonic_time ();
  allowance += (double)(now - allowed_us) * lines_per_s / US_PER_S;
  allowance = MIN (allowance, lines_per_s);
  allowed_us = now;
  double reserve
      = level >= LOG_WARN ? 0 : (double)lines_per_s * RESERVE_PERCENT / 100;
  if (allowance < reserve + 1)
    return false;
  allowance--;
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
append_head (GString *line, enum log_level level, const char *event)
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

/* Writes LINE unless the reader is behind; never waits.  */
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
  dropped_untold++;
}

static void
tell_dropped (void)
{
  g_autoptr (GString) line = g_string_new (NULL);
  append_head (line, LOG_WARN, "log_lines_dropped");
  g_string_append_printf (line, " lines=%" G_GUINT64_FORMAT,
                          (guint64)dropped_untold);
  dropped_untold = 0;
  write_line (line);
}

void
log_event (enum log_level level, const char *event, ...)
{
  if (level < least_level)
    return;
  if (!may_write (level))
    {
      dropped_total++;
      dropped_untold++;
      return;
    }
  if (dropped_untold > 0)
    tell_dropped ();
  g_autoptr (GString) line = g_string_sized_new (256);
  append_head (line, level, event);
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
