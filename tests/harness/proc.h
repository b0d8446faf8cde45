/** @file
    Child processes of a test: start, signals, end and resource use.  */
#ifndef TESTS_HARNESS_PROC_H
#define TESTS_HARNESS_PROC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/** A child process.  */
struct proc
{
  char *name;
  pid_t pid;  /**< 0 once the process was reaped */
  int out;    /**< read end of a pipe from its standard output */
  int status; /**< wait status, valid once PID is 0 */
};

/** Starts the program ARGV[0] with the NULL-terminated arguments ARGV and
    appends its standard error to LOG_PATH; fails the test if it cannot.  The
    kernel kills the process when the calling thread exits.  */
struct proc *proc_start (const char *name, char **argv, const char *log_path);

/** Like proc_start, and appends its standard output to LOG_PATH too.  */
struct proc *proc_start_logged (const char *name, char **argv,
                                const char *log_path);

/** Reads the line "port=N" that a stand-in prints first, and returns N; fails
    the test on another line.  */
uint16_t proc_read_port (struct proc *p);

/** Sends SIGNAL to the process if it runs.  */
void proc_signal (struct proc *p, int signal);

/** Waits up to TIMEOUT_MS for the process to end; returns whether it has
    ended.  */
bool proc_wait (struct proc *p, unsigned timeout_ms);

/** Kills the process with SIGKILL and waits for its end.  */
void proc_kill (struct proc *p);

/** Kills the process if it runs, and releases P, which may be NULL.  */
void proc_destroy (struct proc *p);

/** Returns the resident anonymous memory (RssAnon) of the process in KiB, 0 if
    it cannot be read.  */
long proc_rss_kib (const struct proc *p);

/** Returns the bytes in KiB that the kernel holds unread on the TCP
   connections of P, those included that are not accepted yet, to ADDRESS
   ("IP:PORT").  */
long proc_unread_kib (const struct proc *p, const char *address);

/** Whether a peer at ADDRESS ("IP:PORT") has closed a TCP connection that P
    still has.  */
bool proc_is_left_by (const struct proc *p, const char *address);

/** Returns the user and system CPU time of the process so far in microseconds,
    0 if it cannot be read.  */
gint64 proc_cpu_us (const struct proc *p);

/** Returns the least port that the kernel assigns to sockets by itself.  */
unsigned proc_kernel_port_min (void);

/** Returns a port that is unused on IP, for TCP and UDP, that the kernel does
    not assign by itself and that no earlier call returned, in this test
   program or another one that still runs; fails the test if there is none.  */
uint16_t proc_unused_port (const char *ip);

#endif
