/** @file
    Clock of an event loop.  It tells since when input may have waited for the
    loop to read it, and how long the loop was held by one turn or by one piece
    of work.

    A turn is one look at the sockets and timers and the calls of their
    handlers.  Input that comes while a turn runs, or while the process gets no
    processor time, waits for the next turn.  */
#ifndef LINKS_LOOP_CLOCK_H
#define LINKS_LOOP_CLOCK_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A turn longer than this is logged.  */
#define LOOP_HELD_LOG_MS 50
/** Longest time between two calls of loop_clock_tick.  */
#define LOOP_TICK_MS 50

/** Clock of one event loop.  */
struct loop_clock;

/** When a connection was accepted, for loop_clock_input_since_ms.  */
struct loop_mark
{
  uint64_t turn;
  int64_t since_ms; /**< when the connection may have come */
};

/** A piece of work in a turn; see loop_work_begin.  */
struct loop_work
{
  struct loop_clock *clock;
  const char *name;
  size_t size;      /**< of what the work handles, for the log */
  int64_t start_us; /**< monotonic clock */
  int64_t cpu_us;   /**< processor time used so far */
};

/** Creates the clock of BASE, whose loop loop_clock_run runs.  */
struct loop_clock *loop_clock_create (struct event_base *base);

/** Frees C, which may be NULL.  */
void loop_clock_destroy (struct loop_clock *c);

/** Runs the loop until event_base_loopbreak.  */
void loop_clock_run (struct loop_clock *c);

/** To be called by a timer each LOOP_TICK_MS.  If it is late, the process got
    no processor time.  */
void loop_clock_tick (struct loop_clock *c);

/** Returns the earliest time, in milliseconds of the monotonic clock, at which
    input can have come that a handler reads now: it was not there at the last
    look at the sockets before.  ACCEPTED is the mark of its connection if the
    loop has read nothing of it before, otherwise NULL.  */
int64_t loop_clock_input_since_ms (struct loop_clock *c,
                                   const struct loop_mark *accepted);

/** Returns the mark of a connection that is accepted now.  */
struct loop_mark loop_clock_mark (struct loop_clock *c);

/** Begins a piece of work that may be long; NAME is a constant, SIZE what it
    handles.  */
struct loop_work loop_work_begin (struct loop_clock *c, const char *name,
                                  size_t size);

/** Ends W.  The time is counted for the metrics, and logged if it is
    LOOP_HELD_LOG_MS or more.  */
void loop_work_end (struct loop_work *w);

/** Ends a variable of struct loop_work with its scope.  */
#define LOOP_WORK_AUTO __attribute__ ((cleanup (loop_work_end)))

#endif
