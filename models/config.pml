/* Applying configuration files: three VMs in two regions (VMs 0 and 1 in the
   first region, VM 2 in the second).  Two operators apply a file at the same
   time, one through VM 0, one through VM 2.

   Checked: a file is reported as accepted only while each VM that serves has
   its revision or a later one in force; no VM goes back to an earlier
   revision; no two files get the same revision; a replaced VM serves no
   revision older than the last accepted one.

   Faults: a lost reply to the write of the latest record of an applied file;
   notifications that arrive late or twice; replacement of VMs; outages of the
   key-value service.

   Mutants: ON_COMMIT (a file is accepted as soon as its record is written),
   ANY_ORDER (a VM puts the last notified revision in force, even if it is
   lower), UNCONDITIONAL_WRITE (the record is written without comparing the
   revision), SERVE_UNCHECKED (a new VM serves as soon as it is notified of a
   revision, without reading the key-value service or asking its region).  */

#define VMS 3
#define MAX_REVISION 2

/* The key-value service: revision of the latest record of an applied file, and
   for each revision the operator that wrote it and the number of writes.  */
byte committed_rev = 0;
byte committed_by[MAX_REVISION + 1];
byte commits[MAX_REVISION + 1];

/* State of each VM; IN_FORCE is the revision that it has in force.  */
bool live[VMS] = true;
bool serving[VMS];
byte in_force[VMS];
/* Highest revision that the VM has had in force.  */
byte max_in_force[VMS];
byte accepted = 0;
byte replacements = 0;
bool service_down = false;

/* Notifications to each VM that revision 1 or 2 was committed.  */
bool notice1[VMS], notice2[VMS];

/* VM V puts revision R in force if R is later than its current one.  */
inline install (v, r)
{
#ifdef ANY_ORDER
  in_force[v] = r
#else
  if
  :: r > in_force[v] -> in_force[v] = r
  :: else -> skip
  fi
#endif
  ;
  assert (in_force[v] >= max_in_force[v]);
  max_in_force[v] = in_force[v]
}

inline check_serving (v)
{
  assert (!serving[v] || in_force[v] >= accepted)
}

proctype vm (byte v)
{
  do
  :: atomic { live[v] && notice1[v] -> install (v, 1);
       if :: notice1[v] = false :: skip fi;
#ifdef SERVE_UNCHECKED
       serving[v] = true;
#endif
       check_serving (v) }
  :: atomic { live[v] && notice2[v] -> install (v, 2);
       if :: notice2[v] = false :: skip fi;
       check_serving (v) }
  /* The VM reads the latest revision from the key-value service.  */
  :: atomic { live[v] && !service_down && committed_rev > in_force[v] ->
       install (v, committed_rev) }
  /* A new VM serves once it has read the key-value service or, while that is
     down, once it has asked each other member of its region.  */
  :: atomic { live[v] && !serving[v] && !service_down ->
       install (v, committed_rev);
       serving[v] = true; check_serving (v) }
  :: atomic { live[v] && !serving[v] && service_down && v < 2 && live[1 - v] &&
       serving[1 - v] ->
       install (v, in_force[1 - v]); serving[v] = true; check_serving (v) }
  /* The VM is replaced; the new one starts without any state.  */
  :: atomic { replacements < 1 && serving[v] ->
       replacements++; serving[v] = false; in_force[v] = 0;
       max_in_force[v] = 0 }
  od
}

/* Operator ID applies a file through VM V.  */
proctype apply (byte v; byte id)
{
  byte base_rev, own_rev = 0;
  bool reply_lost = false, accept_it = false;
  atomic { !service_down -> base_rev = committed_rev }
  do
  :: atomic { own_rev == 0 && !service_down && base_rev < MAX_REVISION ->
       if
#ifdef UNCONDITIONAL_WRITE
       :: true ->
#else
       :: committed_rev == base_rev ->
#endif
          committed_rev = base_rev + 1;
          committed_by[committed_rev] = id;
          commits[committed_rev]++;
          assert (commits[committed_rev] <= 1);
          if
          :: own_rev = base_rev + 1
          /* The write was applied, but its reply is lost.  */
          :: reply_lost = true
          fi
       :: else ->
          if
          /* A conflict after a lost reply: the record at that revision shows
             whose write was applied.  */
          :: reply_lost && committed_by[base_rev + 1] == id ->
             own_rev = base_rev + 1
          :: else -> break
          fi
       fi }
  :: atomic { own_rev == 1 ->
       notice1[0] = true; notice1[1] = true; notice1[2] = true;
       break }
  :: atomic { own_rev == 2 ->
       notice2[0] = true; notice2[1] = true; notice2[2] = true;
       break }
  :: atomic { own_rev == 0 && base_rev >= MAX_REVISION -> break }
  od;
#ifdef ON_COMMIT
  atomic { own_rev != 0 ->
    accepted = (own_rev > accepted -> own_rev : accepted) }
  atomic { assert ((!serving[0] || in_force[0] >= own_rev) &&
    (!serving[1] || in_force[1] >= own_rev) &&
    (!serving[2] || in_force[2] >= own_rev)) }
#else
  if
  /* Accepted: each VM reported that it has the revision in force.  */
  :: atomic { own_rev != 0 && in_force[0] >= own_rev &&
       in_force[1] >= own_rev && in_force[2] >= own_rev ->
       accepted = (own_rev > accepted -> own_rev : accepted);
       assert ((!serving[0] || in_force[0] >= own_rev) &&
         (!serving[1] || in_force[1] >= own_rev) &&
         (!serving[2] || in_force[2] >= own_rev)) }
  :: own_rev == 0 -> skip
  fi
#endif
}

proctype platform ()
{
  do
  :: atomic { service_down = true }
  :: atomic { service_down = false }
  od
}

init
{
  atomic {
    run vm (0); run vm (1); run vm (2);
    run apply (0, 1); run apply (2, 2);
    run platform ()
  }
}
