/* Two VMs that may each think that they lead take turns at the key that names
   the holder of orders; engines check no fencing numbers.

   Holds: orders of two holders are at least QUIET - WITHIN ticks apart, and
   fencing numbers rise from holder to holder.  Faults: a write that lands with
   its reply lost, one that lands only later or never; replies that wait as long
   as they like (a frozen VM); the key removed.  The pause before a VM takes the
   key from another one is left out: safety does not rest on it.

   Assumed: a send follows the look at the clock at once.

   Mutants: NO_QUIET (a successor sends at once), STALE (a confirmation is used
   however old it is), FROM_REPLY (its age counts from the reply), UNCONFIRMED
   (a holder sends without writing first), LOOSE (writes ask for no revision),
   CLOCK_STOPS (the clock of VM 0 may stand still: a machine that is suspended),
   COUNTED (the fencing number is one more than the key's last).
   REACH: both VMs do send.  */

#define N 2
#define WITHIN 1 /* ticks after it asked to confirm that a holder may send */
#define QUIET 3  /* ticks for which a successor sends nothing */
#define WRITES 5 /* most writes that land */
#define NOBODY N

mtype = { idle, watching, taking, holding, confirming };
mtype = { asked, done, conflict, lost };

/* The key: revision (0 where there is none) and fencing number in it.  */
byte k_rev = 0, k_fence = 0;
byte top = 0; /* revision of the store */
bool removed = false;

/* What each VM knows.  Times count up or down to a bound past which they no
   longer matter, so that runs of any length are covered.  */
mtype step[N] = idle;
mtype reply[N] = lost;
byte rev[N], fence[N];
byte asked_for[N]; /* ticks since the write was asked for */
byte quiet_for[N]; /* ticks that are left of the quiet */
bool confirmed[N];

/* A write that may land later, and the revision that it asks for.  */
bool late[N];
byte late_rev[N];

/* What engines saw last.  */
byte sent_by = NOBODY, sent_before = 0, sent_fence = 0;
bool sent[N];

#ifdef LOOSE
#define may_land(r) true
#else
#define may_land(r) (k_rev == r)
#endif

inline land (i)
{
  top++;
  k_rev = top;
  if
  :: step[i] == taking -> k_fence++
  :: else -> skip
  fi
}

inline land_late (i)
{
  late[i] = false;
  if
  :: may_land (late_rev[i]) && top < WRITES -> top++; k_rev = top; k_fence++
  :: true -> skip
  fi;
  late_rev[i] = 0
}

inline send (i)
{
  assert (sent_by == NOBODY || sent_by == i || sent_before >= QUIET - WITHIN);
  assert (sent_by == NOBODY || sent_by == i || fence[i] > sent_fence);
  sent_by = i; sent_before = 0; sent_fence = fence[i];
  confirmed[i] = false;
#ifdef REACH
  sent[i] = true;
  assert (!(sent[0] && sent[1]))
#endif
}

inline tick (i)
{
  if
  :: asked_for[i] <= WITHIN -> asked_for[i]++
  :: else -> skip
  fi;
  if
  :: quiet_for[i] > 0 -> quiet_for[i]--
  :: else -> skip
  fi
}

proctype vm (byte i)
{
  do
  :: atomic { step[i] == idle -> rev[i] = k_rev; step[i] = watching }
  :: atomic { step[i] == watching && rev[i] != k_rev -> rev[i] = k_rev }
  :: atomic { step[i] == watching && !late[i] ->
       asked_for[i] = 0; reply[i] = asked; step[i] = taking }
  :: atomic { step[i] == holding && !confirmed[i] && !late[i] && quiet_for[i] == 0 ->
       asked_for[i] = 0;
#ifdef UNCONFIRMED
       send (i)
#else
       reply[i] = asked; step[i] = confirming
#endif
     }
  /* The write under way lands, and its reply comes or is lost; or it lands
     later or never.  */
  :: atomic { (step[i] == taking || step[i] == confirming) && reply[i] == asked ->
       if
       :: may_land (rev[i]) && top < WRITES -> land (i);
          if
          :: reply[i] = done; rev[i] = k_rev;
#ifdef COUNTED
             fence[i] = k_fence
#endif
          :: reply[i] = lost
          fi
       :: !may_land (rev[i]) -> reply[i] = conflict
       :: late[i] = true; late_rev[i] = rev[i]; reply[i] = lost
       fi }
  :: atomic { step[i] == taking && reply[i] == done ->
#ifndef COUNTED
       fence[i] = rev[i];
#endif
#ifndef NO_QUIET
       quiet_for[i] = QUIET;
#endif
       confirmed[i] = false; reply[i] = lost; step[i] = holding }
  :: atomic { step[i] == confirming && reply[i] == done ->
#ifdef FROM_REPLY
       asked_for[i] = 0;
#endif
       confirmed[i] = true; reply[i] = lost; step[i] = holding }
  :: atomic { (step[i] == taking || step[i] == confirming) && (reply[i] == conflict || reply[i] == lost) ->
       rev[i] = 0; fence[i] = 0; quiet_for[i] = 0; asked_for[i] = 0; reply[i] = lost; step[i] = idle }
  :: atomic { step[i] == holding && confirmed[i] ->
       if
#ifdef STALE
       :: true -> send (i)
#else
       :: asked_for[i] <= WITHIN -> send (i)
       :: else -> confirmed[i] = false
#endif
       fi }
  od
}

active proctype store ()
{
  do
  :: atomic { late[0] -> land_late (0) }
  :: atomic { late[1] -> land_late (1) }
  :: atomic { !removed && k_rev != 0 -> removed = true; k_rev = 0; k_fence = 0 }
  od
}

active proctype time ()
{
  do
  :: atomic {
       if
       :: sent_before < QUIET -> sent_before++
       :: else -> skip
       fi;
       tick (1);
#ifdef CLOCK_STOPS
       if
       :: skip
       :: true -> tick (0)
       fi
#else
       tick (0)
#endif
     }
  od
}

init
{
  atomic { run vm (0); run vm (1) }
}
