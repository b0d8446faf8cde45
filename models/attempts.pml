/* One request, sent to instances of a service one after the other.

   Holds: a request that may run once runs at most once; a request that was
   refused as not run has not run and never runs; only the instance that it was
   sent to runs it.  Faults: a connection that is refused, or cut before, while
   or after the request is taken; an instance that is silent and runs it later;
   an answer that is lost, or that another service gives which got the address;
   a VM that is frozen before any step, while the rest goes on; a caller that
   leaves.

   Mutants: CUT_IS_UNSENT (a connection that was cut counts as one that took
   nothing), SILENCE_IS_NOT_RUN (so does silence), TRUST_ALL (a refusal that the
   instance did not mark is believed), FORGET (a later refusal hides that an
   earlier attempt may have run), NO_MARK (the request does not name its
   instance), BREAK (an instance that has refused may run it all the same).
   REACH: a request that was sent twice is answered.  */

#define SENDS 3     /* most attempts */
#define ADDRESSES 2
#define LIVES 3     /* instances that stand at address 0, one after the other */
#define ELSEWHERE 9 /* the instance at address 1 */
#define NONE 255

mtype = { unsent, under_way, answered, failed, not_sent, not_run, cut, silent };

/* Which instance stands at each address.  Numbers are not used again.  */
byte at[ADDRESSES];

/* Copies of the request that reached an instance and are not yet decided.  */
byte held_by[SENDS] = NONE, marked_for[SENDS] = NONE;
mtype attempt[SENDS] = unsent;

bool repeatable;
byte sent = 0, runs = 0;
bool may_have_run = false, open = true, told_not_run = false;

inline run_it (k)
{
  runs++;
  assert (held_by[k] == marked_for[k]);
  assert (!told_not_run);
  assert (repeatable || runs <= 1)
}

inline give_up ()
{
  open = false;
  if
  :: may_have_run -> skip /* the outcome is unknown */
  :: else -> told_not_run = true; assert (runs == 0)
  fi
}

/* The VM: one attempt after the other.  */
active proctype vm ()
{
  byte a, k;
  byte known[ADDRESSES];
  if
  :: repeatable = true
  :: repeatable = false
  fi;
  at[1] = ELSEWHERE; known[0] = at[0]; known[1] = at[1];
  do
  :: open && sent < SENDS ->
       /* What is known of an address may be old.  */
       if
       :: a = 0
       :: a = 1
       fi;
       if
       :: known[a] = at[a]
       :: skip
       fi;
       k = sent;
       atomic {
         sent++;
         if
         :: attempt[k] = not_sent
         :: held_by[k] = at[a]; marked_for[k] = known[a]; attempt[k] = under_way
         fi
       };
       /* The VM sees an end, or stops to wait.  */
       if
       :: attempt[k] != under_way
       :: attempt[k] == under_way -> attempt[k] = silent
       fi;
       atomic {
         if
         :: attempt[k] == answered -> open = false;
#ifdef REACH
            assert (sent < 2)
#endif
         :: attempt[k] == not_sent
         :: attempt[k] == not_run ->
#ifdef FORGET
            may_have_run = false
#else
            skip
#endif
#ifdef CUT_IS_UNSENT
         :: attempt[k] == cut
#else
         :: attempt[k] == cut -> may_have_run = true
#endif
#ifdef SILENCE_IS_NOT_RUN
         :: attempt[k] == silent
#else
         :: attempt[k] == silent -> may_have_run = true
#endif
         :: attempt[k] == failed -> may_have_run = true
         fi;
         if
         :: open && may_have_run && !repeatable -> give_up ()
         :: open && sent == SENDS -> give_up ()
         /* The caller's patience or the retry budget is at its end.  */
         :: open -> give_up ()
         :: open && (repeatable || !may_have_run) && sent < SENDS -> skip
         :: !open -> skip
         fi
       }
  :: else -> break
  od
}

/* What becomes of copy K: the network and the instance that holds it.  */
inline decide (k)
{
  if
  /* Cut or silent before the instance has looked at it.  */
  :: attempt[k] == under_way -> held_by[k] = NONE; attempt[k] = cut
  /* Another service has the address, and says anything at all.  */
  :: attempt[k] == under_way && held_by[k] != marked_for[k] ->
#ifdef NO_MARK
       run_it (k);
#endif
       held_by[k] = NONE;
       if
       :: attempt[k] = not_run /* the instance's refusal of a mark not its own */
       :: attempt[k] = cut
       fi
  /* It refuses, and the refusal arrives or is lost.  */
  :: held_by[k] == marked_for[k] ->
#ifndef BREAK
       held_by[k] = NONE;
#endif
       if
       :: attempt[k] == under_way -> attempt[k] = not_run
       :: attempt[k] == under_way -> attempt[k] = cut
       :: attempt[k] != under_way
       fi
  /* It runs; the answer arrives, tells of a failure, or is cut.  */
  :: held_by[k] == marked_for[k] ->
       run_it (k); held_by[k] = NONE;
       if
       :: attempt[k] == under_way -> attempt[k] = answered
       :: attempt[k] == under_way -> attempt[k] = failed
       :: attempt[k] == under_way -> attempt[k] = cut
#ifdef TRUST_ALL
       /* On its way, someone else put a refusal in the answer's place.  */
       :: attempt[k] == under_way -> attempt[k] = not_run
#endif
       :: attempt[k] != under_way
       fi
  /* It never runs.  */
  :: held_by[k] != NONE && attempt[k] != under_way -> held_by[k] = NONE
  fi
}

active proctype instances ()
{
  do
  :: atomic { held_by[0] != NONE -> decide (0) }
  :: atomic { held_by[1] != NONE -> decide (1) }
  :: atomic { held_by[2] != NONE -> decide (2) }
  /* An instance ends and another one gets its address.  */
  :: atomic { at[0] + 1 < LIVES -> at[0]++ }
  od
}
