/* Two attempts of one resumable stream: a hedge beside an attempt whose
   upstream is silent.

   Checked: the caller gets each event once and in order, whichever attempt
   delivers it; the VM gives the request up before its deadline only if each
   attempt has broken off by itself, not because the VM has cancelled one; at
   the end no attempt is open and no permit is held.

   Faults: an upstream that is silent for any time and goes on at any moment,
   also after the hedge was sent; a connection that breaks; no permit or
   upstream for the hedge; a retry budget that is empty; the deadline or the
   caller's disconnection in any state.

   Mutants: CANCEL_FIRST (the silent attempt is cancelled before the hedge has
   delivered), KEEP_BOTH (the other attempt stays open when one delivers),
   FROM_START (the hedge does not resume after the last forwarded event),
   KEEP_PERMIT (the permit of a cancelled attempt is not given back),
   CLOSE_ONE (the end closes the current attempt only).

   REACH: its assertion fails once a hedge completes the stream, or, with
   REACH_SILENT, once the silent attempt does after the hedge was sent.  */

#define EVENTS 3
#define ATTEMPTS 3 /* attempts for one request */
#define OTHER(i) (1 - (i))

mtype = { none, waits_for_permit, open };

/* Of the two attempts that may be open at once: the state, the id of the next
   event, and whether it was sent while the other one was open.  */
mtype state[2] = none;
byte next_event[2], forwarded = 0, permits = 0, sent = 0;
bool is_hedge[2], has_hedged = false;
bool ended = false, cancelled_one = false;

inline cancel (i)
{
  if
  :: state[i] != none ->
#ifdef KEEP_PERMIT
     if
     :: state[i] == open -> skip
     :: else -> permits--
     fi;
#else
     permits--;
#endif
     state[i] = none
  :: else
  fi
}

inline request_permit (i)
{
  state[i] = waits_for_permit;
  permits++
}

inline send (i)
{
  state[i] = open;
  sent++;
  is_hedge[i] = state[OTHER (i)] == open;
  has_hedged = has_hedged || is_hedge[i];
#ifdef FROM_START
  next_event[i] = 1
#else
  next_event[i] = forwarded + 1
#endif
}

/* Attempt I delivers something: the other one is no longer needed.  */
inline prefer (i)
{
#ifdef KEEP_BOTH
  skip
#else
  cancel (OTHER (i))
#endif
}

inline end_request (i)
{
  ended = true;
  cancel (i);
#ifndef CLOSE_ONE
  cancel (OTHER (i));
#endif
  assert (state[0] == none && state[1] == none);
  assert (permits == 0)
}

/* Attempt I is over or was not sent, and the other one is not in progress.  */
inline retry_or_give_up (i)
{
  if
  :: sent < ATTEMPTS -> request_permit (i)
  /* Attempts or the retry budget are used up.  */
  :: assert (!cancelled_one); end_request (i)
  fi
}

inline step (i)
{
  if
  /* A permit is granted, or there is none or no upstream.  */
  :: state[i] == waits_for_permit -> send (i)
  :: state[i] == waits_for_permit && state[OTHER (i)] == open -> cancel (i)
  :: state[i] == waits_for_permit && state[OTHER (i)] != open ->
       cancel (i); assert (!cancelled_one); end_request (i)
  /* The upstream is silent: a hedge, if the route and the budget allow it.  */
  :: state[i] == open && state[OTHER (i)] == none && sent < ATTEMPTS ->
       request_permit (OTHER (i));
#ifdef CANCEL_FIRST
       cancel (i);
       cancelled_one = true
#endif
  :: state[i] == open && next_event[i] <= EVENTS ->
       assert (next_event[i] == forwarded + 1);
       forwarded++;
       next_event[i]++;
       prefer (i)
  :: state[i] == open && next_event[i] > EVENTS ->
       assert (forwarded == EVENTS);
#ifdef REACH
       assert (!is_hedge[i]);
#endif
#ifdef REACH_SILENT
       assert (is_hedge[i] || !has_hedged || sent != 2);
#endif
       end_request (i)
  :: state[i] == open && state[OTHER (i)] != none -> cancel (i)
  :: state[i] == open && state[OTHER (i)] == none ->
       cancel (i); retry_or_give_up (i)
  fi
}

active proctype vm ()
{
  atomic { request_permit (0) };
  do
  :: atomic { !ended && state[0] != none -> step (0) }
  :: atomic { !ended && state[1] != none -> step (1) }
  /* The deadline, or the caller disconnects.  */
  :: atomic { !ended -> end_request (0) }
  :: ended -> break
  od
}
