/* Attempts of one request: the VM sends it to instances of a service, one
   attempt after the other.

   Checked: a request that is not idempotent runs at most once; a request that
   was reported to the caller as not run has not run and never will; only the
   instance that the request was addressed to runs it.

   Faults: a connection that is refused, or closed before, while or after the
   instance receives the request; an instance that does not respond and runs
   the request later; a response that is lost, or that comes from another
   service which was given the address; a VM that freezes before any step while
   everything else goes on; a caller that disconnects.

   Mutants: DISCONNECT_IS_UNSENT (a closed connection counts as proof that the
   request was not sent), TIMEOUT_IS_NOT_RUN (a time-out counts as proof that
   the request did not run), TRUST_UNVERIFIED (a refusal counts even without
   the mark that proves that the instance sent it), FORGET_EARLIER (a refusal
   hides that an earlier attempt may have run), NO_INSTANCE_ID (the request
   does not name the instance that it is for), RUN_AFTER_REFUSAL (an instance
   may run a request that it has refused).

   REACH injects no fault: its assertion fails once a request that was sent
   twice gets a response, which shows that the model gets that far.  */

#define MAX_ATTEMPTS 3 /* attempts for one request */
#define ADDRESSES 2
/* Instances that use address 0, one after the other.  */
#define MAX_INSTANCES 3
#define OTHER_INSTANCE 9 /* the instance at address 1 */
#define NONE 255

mtype = { not_started, in_flight, responded, failed, not_sent, not_run,
  disconnected, timed_out };

/* The instance at each address.  Numbers of instances are not reused.  */
byte instance_at[ADDRESSES];

/* Of each attempt: the instance that has received the request and has neither
   run nor discarded it, the instance that the request names, and the state of
   the attempt as the VM sees it.  */
byte received_by[MAX_ATTEMPTS] = NONE, addressed_to[MAX_ATTEMPTS] = NONE;
mtype attempt[MAX_ATTEMPTS] = not_started;

bool idempotent;
byte attempts_made = 0, executions = 0;
bool may_have_run = false, request_open = true, reported_not_run = false;

inline execute (k)
{
  executions++;
  assert (received_by[k] == addressed_to[k]);
  assert (!reported_not_run);
  assert (idempotent || executions <= 1)
}

inline end_request ()
{
  request_open = false;
  if
  :: may_have_run -> skip /* the VM reports that the outcome is unknown */
  :: else -> reported_not_run = true; assert (executions == 0)
  fi
}

/* The VM: makes one attempt after the other.  */
active proctype vm ()
{
  byte a, k;
  byte known_instance[ADDRESSES];
  if
  :: idempotent = true
  :: idempotent = false
  fi;
  instance_at[1] = OTHER_INSTANCE; known_instance[0] = instance_at[0];
  known_instance[1] = instance_at[1];
  do
  :: request_open && attempts_made < MAX_ATTEMPTS ->
       /* The VM's record of the instance at an address may be out of date.  */
       if
       :: a = 0
       :: a = 1
       fi;
       if
       :: known_instance[a] = instance_at[a]
       :: skip
       fi;
       k = attempts_made;
       atomic {
         attempts_made++;
         if
         :: attempt[k] = not_sent
         :: received_by[k] = instance_at[a];
            addressed_to[k] = known_instance[a]; attempt[k] = in_flight
         fi
       };
       /* The VM waits for the attempt to end, or stops waiting.  */
       if
       :: attempt[k] != in_flight
       :: attempt[k] == in_flight -> attempt[k] = timed_out
       fi;
       atomic {
         if
         :: attempt[k] == responded -> request_open = false;
#ifdef REACH
            assert (attempts_made < 2)
#endif
         :: attempt[k] == not_sent
         :: attempt[k] == not_run ->
#ifdef FORGET_EARLIER
            may_have_run = false
#else
            skip
#endif
#ifdef DISCONNECT_IS_UNSENT
         :: attempt[k] == disconnected
#else
         :: attempt[k] == disconnected -> may_have_run = true
#endif
#ifdef TIMEOUT_IS_NOT_RUN
         :: attempt[k] == timed_out
#else
         :: attempt[k] == timed_out -> may_have_run = true
#endif
         :: attempt[k] == failed -> may_have_run = true
         fi;
         if
         :: request_open && may_have_run && !idempotent -> end_request ()
         :: request_open && attempts_made == MAX_ATTEMPTS -> end_request ()
         /* The caller's deadline or the retry budget is exhausted.  */
         :: request_open -> end_request ()
         :: request_open && (idempotent || !may_have_run) &&
            attempts_made < MAX_ATTEMPTS -> skip
         :: !request_open -> skip
         fi
       }
  :: else -> break
  od
}

/* The network and the receiving instance decide what happens to attempt K.  */
inline handle_copy (k)
{
  if
  /* The connection closes before the instance has read the request.  */
  :: attempt[k] == in_flight ->
       received_by[k] = NONE; attempt[k] = disconnected
  /* Another service uses the address, and may send any response.  */
  :: attempt[k] == in_flight && received_by[k] != addressed_to[k] ->
#ifdef NO_INSTANCE_ID
       execute (k);
#endif
       received_by[k] = NONE;
       if
       /* An instance refuses requests that name another one.  */
       :: attempt[k] = not_run
       :: attempt[k] = disconnected
       fi
  /* The instance refuses; the refusal arrives or is lost.  */
  :: received_by[k] == addressed_to[k] ->
#ifndef RUN_AFTER_REFUSAL
       received_by[k] = NONE;
#endif
       if
       :: attempt[k] == in_flight -> attempt[k] = not_run
       :: attempt[k] == in_flight -> attempt[k] = disconnected
       :: attempt[k] != in_flight
       fi
  /* The instance runs the request; the response or an error arrives, or the
     connection closes first.  */
  :: received_by[k] == addressed_to[k] ->
       execute (k); received_by[k] = NONE;
       if
       :: attempt[k] == in_flight -> attempt[k] = responded
       :: attempt[k] == in_flight -> attempt[k] = failed
       :: attempt[k] == in_flight -> attempt[k] = disconnected
#ifdef TRUST_UNVERIFIED
       /* An intermediary replaced the response by a refusal.  */
       :: attempt[k] == in_flight -> attempt[k] = not_run
#endif
       :: attempt[k] != in_flight
       fi
  /* The instance never runs the request.  */
  :: received_by[k] != NONE && attempt[k] != in_flight -> received_by[k] = NONE
  fi
}

active proctype instances ()
{
  do
  :: atomic { received_by[0] != NONE -> handle_copy (0) }
  :: atomic { received_by[1] != NONE -> handle_copy (1) }
  :: atomic { received_by[2] != NONE -> handle_copy (2) }
  /* The instance at address 0 ends and another one gets its address.  */
  :: atomic { instance_at[0] + 1 < MAX_INSTANCES -> instance_at[0]++ }
  od
}
