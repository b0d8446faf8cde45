/* Idempotency journal: one idempotency key.  Two writers, each of which may
   believe that it owns the key's slot, receive calls with that key.

   Checked: the call runs at most once, and a claim that was reported as not
   run never runs.

   Faults: a write that is applied but whose reply is lost, that is applied
   late, or that is never applied; a service that runs the call but whose
   answer is lost; a pause of any length before each step; a crash of a writer,
   which loses its state.

   Mutants: NO_READ_BACK (after a lost reply the call is sent without reading
   the page), RECLAIM_UNFINISHED (a writer replaces any claim that has no
   result), RECLAIM_OWN (a writer replaces each claim of its own without
   result, even if the call may have been sent), UNCONDITIONAL_WRITE (a claim
   is written without comparing the revision of the page).  */

#define WRITERS 2
#define MAX_CLAIMS 4

#define NO_CLAIM 0

/* The page of the slot: revision, current claim (0: none), whether the result
   of the call is stored.  */
byte page_rev = 0, page_claim = NO_CLAIM;
bool page_done = false;

/* A write that may be applied later: the revision it requires, its claim.  */
byte write_rev[WRITERS], write_claim[WRITERS];
bool write_delayed[WRITERS];

byte next_claim = 1;
byte executions = 0;
bool executed[MAX_CLAIMS + 1], reported_not_run[MAX_CLAIMS + 1],
  known_unsent[MAX_CLAIMS + 1];
byte owner[MAX_CLAIMS + 1];

/* State of each writer.  */
bool page_known[WRITERS], known_done[WRITERS];
byte known_rev[WRITERS], known_claim[WRITERS];
byte own_claim[WRITERS]; /* claim of the call in progress */
/* 0: idle, 1: write of the claim in flight, 2: reply to that write lost,
   3: may send the call, 4: call sent.  */
byte state[WRITERS];
byte crashes = 0;

inline read_page (h)
{
  known_rev[h] = page_rev; known_claim[h] = page_claim;
  known_done[h] = page_done; page_known[h] = true
}

inline report_not_run (c)
{
  reported_not_run[c] = true;
  assert (!executed[c])
}

inline apply_write (h)
{
#ifdef UNCONDITIONAL_WRITE
  page_claim = write_claim[h]; page_done = false; page_rev++
#else
  if
  :: write_rev[h] == page_rev ->
     page_claim = write_claim[h]; page_done = false; page_rev++
  :: else -> skip
  fi
#endif
}

/* Whether the page, as writer I knows it, permits a new claim.  */
#ifdef RECLAIM_UNFINISHED
#define may_claim(i) (!known_done[i])
#elif defined(RECLAIM_OWN)
#define may_claim(i) (known_claim[i] == NO_CLAIM || (!known_done[i] && \
  owner[known_claim[i]] == i))
#else
#define may_claim(i) (known_claim[i] == NO_CLAIM || (!known_done[i] && \
  owner[known_claim[i]] == i && known_unsent[known_claim[i]]))
#endif

proctype writer (byte i)
{
  do
  :: atomic { state[i] == 0 -> read_page (i) }
  /* A caller's request arrives: write a claim.  */
  :: atomic { state[i] == 0 && page_known[i] && may_claim (i) &&
       next_claim <= MAX_CLAIMS && !write_delayed[i] ->
       own_claim[i] = next_claim; owner[next_claim] = i; next_claim++;
       write_rev[i] = known_rev[i]; write_claim[i] = own_claim[i];
       state[i] = 1 }
  /* The write is applied or fails, and the reply arrives.  */
  :: atomic { state[i] == 1 ->
       if
#ifdef UNCONDITIONAL_WRITE
       :: true ->
#else
       :: write_rev[i] == page_rev ->
#endif
          apply_write (i); read_page (i); state[i] = 3
#ifndef UNCONDITIONAL_WRITE
       :: else -> read_page (i); report_not_run (own_claim[i]); state[i] = 0
#endif
       fi }
  /* The write is applied, and the reply is lost.  */
  :: atomic { state[i] == 1 -> apply_write (i); state[i] = 2 }
  /* The reply is lost, and the write is applied later or never.  */
  :: atomic { state[i] == 1 -> write_delayed[i] = true; state[i] = 2 }
  /* After a lost reply, read the page again.  */
  :: atomic { state[i] == 2 ->
#ifdef NO_READ_BACK
       state[i] = 3
#else
       if
       :: read_page (i);
          if
          :: known_claim[i] == own_claim[i] -> state[i] = 3
          :: else -> known_unsent[own_claim[i]] = true;
             report_not_run (own_claim[i]); state[i] = 0
          fi
       /* The read fails as well.  */
       :: page_known[i] = false; known_unsent[own_claim[i]] = true;
          report_not_run (own_claim[i]); state[i] = 0
       fi
#endif
     }
  /* Send the call; the service runs it.  */
  :: atomic { state[i] == 3 ->
       assert (!reported_not_run[own_claim[i]]);
       executions++;
       executed[own_claim[i]] = true;
       assert (executions <= 1);
       state[i] = 4 }
  /* The connection is refused, which proves that the call did not run; the
     claim may be replaced.  */
  :: atomic { state[i] == 3 ->
       known_unsent[own_claim[i]] = true; report_not_run (own_claim[i]);
       page_known[i] = false; state[i] = 0 }
  /* The answer arrives and is stored, or it is lost.  */
  :: atomic { state[i] == 4 ->
       if
       :: page_claim == own_claim[i] -> page_done = true; page_rev++
       :: skip
       fi;
       page_known[i] = false; state[i] = 0 }
  /* The writer crashes; the process that replaces it has the same name and no
     state.  */
  :: atomic { crashes < 1 ->
       crashes++;
       byte c = 1;
       do
       :: c <= MAX_CLAIMS ->
          if
          :: owner[c] == i -> owner[c] = WRITERS; known_unsent[c] = false
          :: else -> skip
          fi;
          c++
       :: else -> break
       od;
       c = 1;
       page_known[i] = false; own_claim[i] = 0; state[i] = 0 }
  od
}

proctype network ()
{
  do
  :: atomic { write_delayed[0] -> apply_write (0); write_delayed[0] = false }
  :: atomic { write_delayed[1] -> apply_write (1); write_delayed[1] = false }
  :: atomic { write_delayed[0] -> write_delayed[0] = false }
  :: atomic { write_delayed[1] -> write_delayed[1] = false }
  od
}

init
{
  atomic { run writer (0); run writer (1); run network () }
}
