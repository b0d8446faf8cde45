/** @file
    Processes of a test: started, stopped, frozen and killed by it.  */
#ifndef TESTS_HARNESS_PROC_H
#define TESTS_HARNESS_PROC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/** One process.  */
struct proc
{
  char *name;
  pid_t pid; /**< 0 once it has ended */
  int out;   /**< its standard output, -1 for none */
  int status;
};

/** Starts ARGV, NULL-terminated; its standard error goes to LOG_PATH.  */
struct proc *proc_start (const char *name, char **argv, const char *log_path);

/** The same, and its standard output goes there too.  */
struct proc *proc_start_logged (const char *name, char **argv,
                                const char *log_path);

/** Reads "port=N" that a stand-in prints first.  */
uint16_t proc_read_port (struct proc *p);

/** Sends SIGNAL.  */
void proc_signal (struct proc *p, int signal);

/** Waits up to TIMEOUT_MS for its end; returns whether it has ended.  */
bool proc_wait (struct proc *p, unsigned timeout_ms);

/** Kills it and waits for its end.  */
void proc_kill (struct proc *p);

/** Kills it if it runs, and releases it.  */
void proc_destroy (struct proc *p);

/** Memory of the process in KiB: private and anonymous.  */
long proc_rss_kib (const struct proc *p);

/** Processor time of the process so far, in microseconds.  */
gint64 proc_cpu_us (const struct proc *p);

/** A port on IP that nobody uses now.  */
uint16_t proc_unused_port (const char *ip);

#endif
