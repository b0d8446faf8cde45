#include "base/metrics.h"

#define METRICS_INFO(name, help) { "buckthorn_" #name, help },

struct metric_info
{
  const char *name;
  const char *help;
};

static const struct metric_info counter_info[]
    = { METRICS_COUNTERS (METRICS_INFO) };
static const struct metric_info gauge_info[]
    = { METRICS_GAUGES (METRICS_INFO) };
static const struct metric_info histogram_info[]
    = { METRICS_HISTOGRAMS (METRICS_INFO) };

/* Inclusive upper bounds of the histogram buckets, in microseconds; a further
   bucket counts longer durations.  */
static const int64_t bounds_us[]
    = { 500,    1000,   2000,   5000,   10000,   20000,   34000,   50000,
        100000, 200000, 350000, 550000, 1000000, 2000000, 5000000, 10000000 };

#define BUCKET_COUNT G_N_ELEMENTS (bounds_us)

struct histogram
{
  uint64_t buckets[BUCKET_COUNT + 1];
  uint64_t count;
  int64_t sum_us;
};

static uint64_t counters[METRICS_COUNTER_COUNT];
static int64_t gauges[METRICS_GAUGE_COUNT];
static struct histogram histograms[METRICS_HISTOGRAM_COUNT];

void
metrics_add (enum metrics_counter counter, uint64_t n)
{
  counters[counter] += n;
}

void
metrics_set_counter (enum metrics_counter counter, uint64_t value)
{
  counters[counter] = value;
}

void
metrics_set (enum metrics_gauge gauge, int64_t value)
{
  gauges[gauge] = value;
}

void
metrics_observe (enum metrics_histogram which, int64_t us)
{
  struct histogram *h = &histograms[which];
  size_t i = 0;
  while (i < BUCKET_COUNT && us > bounds_us[i])
    i++;
  h->buckets[i]++;
  h->count++;
  h->sum_us += us;
}

static void
render_header (GString *out, const struct metric_info *t, const char *type)
{
  g_string_append_printf (out, "# HELP %s %s\n# TYPE %s %s\n", t->name,
                          t->help, t->name, type);
}

static void
render_histogram (GString *out, const struct metric_info *t,
                  const struct histogram *h)
{
  char number[G_ASCII_DTOSTR_BUF_SIZE];
  uint64_t sum = 0;
  render_header (out, t, "histogram");
  for (size_t i = 0; i < BUCKET_COUNT; i++)
    {
      sum += h->buckets[i];
      g_ascii_dtostr (number, sizeof number, (double)bounds_us[i] / 1e6);
      g_string_append_printf (out,
                              "%s_bucket{le=\"%s\"} %" G_GUINT64_FORMAT "\n",
                              t->name, number, (guint64)sum);
    }
  g_ascii_dtostr (number, sizeof number, (double)h->sum_us / 1e6);
  g_string_append_printf (
      out,
      "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n%s_sum %s\n"
      "%s_count %" G_GUINT64_FORMAT "\n",
      t->name, (guint64)h->count, t->name, number, t->name, (guint64)h->count);
}

void
metrics_render (GString *out)
{
  for (size_t i = 0; i < METRICS_COUNTER_COUNT; i++)
    {
      render_header (out, &counter_info[i], "counter");
      g_string_append_printf (out, "%s %" G_GUINT64_FORMAT "\n",
                              counter_info[i].name, (guint64)counters[i]);
    }
  for (size_t i = 0; i < METRICS_GAUGE_COUNT; i++)
    {
      render_header (out, &gauge_info[i], "gauge");
      g_string_append_printf (out, "%s %" G_GINT64_FORMAT "\n",
                              gauge_info[i].name, (gint64)gauges[i]);
    }
  for (size_t i = 0; i < METRICS_HISTOGRAM_COUNT; i++)
    render_histogram (out, &histogram_info[i], &histograms[i]);
}
