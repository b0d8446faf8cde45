/* Order lease: two VMs, each of which may believe that it leads, compete for
   the key that names the holder of the order lease.  The engines do not check
   fencing tokens.

   Checked: orders of two holders are at least SEND_DELAY - SEND_WITHIN ticks
   apart, and each holder's fencing token is higher than the one before.

   Faults: a write that is applied but whose reply is lost, or that is applied
   late or never; replies delayed for any time (a frozen VM); removal of the
   key.  The time for which the key must be unchanged before a VM acquires it
   from another one is not modelled: safety does not depend on it.

   Assumption: no time passes between a holder's check of the clock and its
   send.

   Mutants: NO_SEND_DELAY (a new holder sends at once), STALE_RENEWAL (a
   renewal of any age permits a send), AGE_FROM_REPLY (the age of a renewal
   is counted from the reply instead of the request), NO_RENEWAL (a holder
   sends without renewing first), UNCONDITIONAL_WRITE (writes do not compare
   the revision of the key), CLOCK_STOPS (the clock of VM 0 may stop, as in a
   suspended machine), TOKEN_IS_COUNTER (the fencing token is the one stored in
   the key plus one, so it starts again once the key is removed).

   RESTORE replaces the removal of the key: the store is restored once from an
   older copy, which may be from before the key existed, and whose
   revisions it gives out again.  A revision that a VM gets holds the store's
   era in its upper bits; the store itself compares the lower ones.  Mutants of
   that: TOKEN_WITHOUT_ERA (the fencing token is the store's own revision),
   OLD_COMPARISON (a write that compared with a revision of the earlier era
   counts as done if the store applied it), RENEWED_BY_READ (a holder that reads
   its own name in the restored key counts as renewed).

   REACH injects no fault: its assertion fails once both VMs have sent orders,
   which shows that the model gets that far.  */

#define VMS 2
/* Number of ticks after the request of a renewal during which a holder may
   send.  */
#define SEND_WITHIN 1
/* Number of ticks after acquiring the key during which a holder sends
   nothing.  */
#define SEND_DELAY 3
/* Most writes that are applied in a run.  */
#ifdef RESTORE
#define MAX_WRITES 4
#else
#define MAX_WRITES 5
#endif
#define NONE VMS

mtype = { idle, watching, acquiring, holding, renewing };
mtype = { pending, applied, conflict, lost };

/* The key: its revision (0 if the key does not exist) and the fencing token
   stored in it.  */
byte key_rev = 0, key_token = 0;
byte store_rev = 0; /* revision of the store */
byte writes = 0;    /* writes applied so far, also those undone */
bool key_removed = false;

/* State of each VM.  Time counters stop at the bound above which their value
   makes no difference, so that runs of any length are covered.  */
mtype state[VMS] = idle;
mtype reply[VMS] = lost;
byte known_rev[VMS], token[VMS];
byte since_request[VMS]; /* ticks since the VM requested its last write */
byte delay_left[VMS];    /* ticks until the VM may send */
bool renewed[VMS];

/* A write that may be applied later, and the revision of the key that it
   requires.  */
bool delayed[VMS];
byte delayed_rev[VMS];

/* The last order that the engines received.  */
byte last_sender = NONE, since_last_send = 0, last_token = 0;
bool has_sent[VMS];

/* Revision as VMs get it, and the parts of it.  */
#define ERA_UNIT 8 /* more than MAX_WRITES */
#define product_rev(r) (era * ERA_UNIT + r)
#define store_part(r) (r % ERA_UNIT)
#define era_part(r) (r / ERA_UNIT)

/* Times that the store was restored, and the copy.  */
byte era = 0;
bool copied = false;
byte copy_rev = 0, copy_key_rev = 0, copy_token = 0;

#ifdef UNCONDITIONAL_WRITE
#define may_apply(r) true
#else
#define may_apply(r) (store_part (key_rev) == store_part (r))
#endif

/* Whether a write that required revision R of the key, and that was applied
   now, is known to be applied to the state that the VM had read.  */
#ifdef OLD_COMPARISON
#define is_certain(r) true
#else
#define is_certain(r) (r == 0 || era_part (r) == era)
#endif

inline apply_write (i)
{
  writes++; store_rev++;
  key_rev = product_rev (store_rev);
  if
  :: state[i] == acquiring -> key_token++
  :: else -> skip
  fi
}

inline apply_delayed (i)
{
  delayed[i] = false;
  if
  :: may_apply (delayed_rev[i]) && writes < MAX_WRITES ->
     writes++; store_rev++; key_rev = product_rev (store_rev); key_token++
  :: true -> skip
  fi;
  delayed_rev[i] = 0
}

inline send_orders (i)
{
  assert (last_sender == NONE || last_sender == i ||
    since_last_send >= SEND_DELAY - SEND_WITHIN);
  assert (last_sender == NONE || last_sender == i || token[i] > last_token);
  last_sender = i; since_last_send = 0; last_token = token[i];
  renewed[i] = false;
#ifdef REACH
  has_sent[i] = true;
  assert (!(has_sent[0] && has_sent[1]))
#endif
}

inline advance_timers (i)
{
  if
  :: since_request[i] <= SEND_WITHIN -> since_request[i]++
  :: else -> skip
  fi;
  if
  :: delay_left[i] > 0 -> delay_left[i]--
  :: else -> skip
  fi
}

proctype vm (byte i)
{
  bool certain;
  do
  :: atomic { state[i] == idle -> known_rev[i] = key_rev; state[i] = watching }
  :: atomic { state[i] == watching && known_rev[i] != key_rev ->
       known_rev[i] = key_rev }
  :: atomic { state[i] == watching && !delayed[i] ->
       since_request[i] = 0; reply[i] = pending; state[i] = acquiring }
  :: atomic { state[i] == holding && !renewed[i] && !delayed[i] &&
       delay_left[i] == 0 ->
       since_request[i] = 0;
#ifdef NO_RENEWAL
       send_orders (i)
#else
       reply[i] = pending; state[i] = renewing
#endif
     }
  /* The pending write is applied and its reply arrives or is lost, fails
     because the key has changed, or is applied later or never.  */
  :: atomic { (state[i] == acquiring || state[i] == renewing) &&
       reply[i] == pending ->
       if
       :: may_apply (known_rev[i]) && writes < MAX_WRITES ->
          certain = is_certain (known_rev[i]);
          apply_write (i);
          if
          :: certain -> reply[i] = applied; known_rev[i] = key_rev;
#ifdef TOKEN_IS_COUNTER
             token[i] = key_token
#endif
          :: reply[i] = lost
          fi
       :: !may_apply (known_rev[i]) -> reply[i] = conflict
       :: delayed[i] = true; delayed_rev[i] = known_rev[i]; reply[i] = lost
       fi }
  :: atomic { state[i] == acquiring && reply[i] == applied ->
#ifndef TOKEN_IS_COUNTER
#ifdef TOKEN_WITHOUT_ERA
       token[i] = store_part (known_rev[i]);
#else
       token[i] = known_rev[i];
#endif
#endif
#ifndef NO_SEND_DELAY
       delay_left[i] = SEND_DELAY;
#endif
       renewed[i] = false; reply[i] = lost; state[i] = holding }
  :: atomic { state[i] == renewing && reply[i] == applied ->
#ifdef AGE_FROM_REPLY
       since_request[i] = 0;
#endif
       renewed[i] = true; reply[i] = lost; state[i] = holding }
  :: atomic { (state[i] == acquiring || state[i] == renewing) &&
       (reply[i] == conflict || reply[i] == lost) ->
       known_rev[i] = 0; token[i] = 0; delay_left[i] = 0; since_request[i] = 0;
       reply[i] = lost; state[i] = idle }
  :: atomic { state[i] == holding && renewed[i] ->
       if
#ifdef RENEWED_BY_READ
       :: era_part (known_rev[i]) != era -> since_request[i] = 0;
          send_orders (i)
#endif
#ifdef STALE_RENEWAL
       :: true -> send_orders (i)
#else
       :: since_request[i] <= SEND_WITHIN -> send_orders (i)
       :: else -> renewed[i] = false
#endif
       fi }
  od
}

active proctype store ()
{
  do
  :: atomic { delayed[0] -> apply_delayed (0) }
  :: atomic { delayed[1] -> apply_delayed (1) }
#ifndef RESTORE
  :: atomic { !key_removed && key_rev != 0 ->
       key_removed = true; key_rev = 0; key_token = 0 }
#else
  :: atomic { !copied ->
       copied = true; copy_rev = store_rev; copy_key_rev = key_rev;
       copy_token = key_token }
  :: atomic { copied && era == 0 ->
       era = 1; store_rev = copy_rev; key_token = copy_token;
       if
       :: copy_key_rev == 0 -> key_rev = 0
       :: else -> key_rev = product_rev (copy_key_rev)
       fi }
#endif
  od
}

active proctype clock ()
{
  do
  :: atomic {
       if
       :: since_last_send < SEND_DELAY -> since_last_send++
       :: else -> skip
       fi;
       advance_timers (1);
#ifdef CLOCK_STOPS
       if
       :: skip
       :: true -> advance_timers (0)
       fi
#else
       advance_timers (0)
#endif
     }
  od
}

init
{
  atomic { run vm (0); run vm (1) }
}
