/* Tokens of a limit of requests a second: a home VM lends them, another VM
   spends them or returns those that expire.

   Checked: at most as many tokens are spent as the home VM has made, so that
   the rate at which it makes them holds for what reaches the upstream.

   Faults: messages that are lost, doubled, delayed and reordered; restarts of
   either VM.  A home VM that is restarted makes tokens of its own; the rate of
   the two together is kept by its late start, which is not modelled.

   Mutants: NO_LOAN_NUMBER (a loan that arrives twice counts twice),
   OLD_PROCESS (a VM accepts a loan that an earlier process of it asked for),
   NO_ASK_NUMBER (a return that arrives twice counts twice), OTHER_LENDER
   (a home VM takes back tokens that an earlier process of it lent),
   KEPT_AFTER_RETURN (a VM keeps the tokens that it returns).

   REACH: its assertion fails once a returned token was lent again and spent.  */

#define MAX_MADE 2
#define MAX_LOANS 4
#define MAX_RETURNS 3
#define MAX_RESTARTS 2
#define COPIES 2

byte made = 0, spent = 0;

/* Home VM.  */
byte lender = 0; /* its process */
byte bucket = 0, last_return = 0;
/* The other VM: its process, tokens, and the number of the last loan and the
   process that lent it.  */
byte process_number = 0, held = 0, last_loan = 0, last_lender = 0;

/* Messages: copies that may still arrive, which process asked for a loan, which
   one lent it, and to which lender a token is returned.  */
byte loans = 0, returns = 0, restarts = 0;
byte loan_copies[MAX_LOANS];
byte loan_process[MAX_LOANS];
byte loan_lender[MAX_LOANS];
byte return_copies[MAX_RETURNS];
byte return_lender[MAX_RETURNS];
bool relent = false;

inline receive_loan (i)
{
  loan_copies[i]--;
  if
#ifndef NO_LOAN_NUMBER
  :: i + 1 <= last_loan -> skip
#endif
#ifndef OLD_PROCESS
  :: loan_process[i] != process_number -> skip
#endif
  :: else ->
    held++;
    last_loan = i + 1;
    last_lender = loan_lender[i]
  fi
}

inline receive_return (i)
{
  return_copies[i]--;
  if
#ifndef NO_ASK_NUMBER
  :: i + 1 <= last_return -> skip
#endif
#ifndef OTHER_LENDER
  :: i + 1 > last_return && return_lender[i] != lender -> last_return = i + 1
#endif
  :: else ->
    last_return = i + 1;
    bucket++;
    relent = true
  fi
}

active proctype system ()
{
  byte i;
end:
  do
  :: atomic { made < MAX_MADE -> made++; bucket++ }
  :: atomic { bucket > 0 && loans < MAX_LOANS ->
      bucket--;
      loan_copies[loans] = COPIES;
      loan_lender[loans] = lender;
      loan_process[loans] = process_number;
      loans++ }
  :: atomic { loans > 0 ->
      select (i : 0 .. MAX_LOANS - 1);
      if
      :: i < loans && loan_copies[i] > 0 -> receive_loan (i)
      :: i < loans && loan_copies[i] > 0 -> loan_copies[i]--
      :: else -> skip
      fi }
  :: atomic { held > 0 ->
      held--;
      spent++;
      assert (spent <= made);
#ifdef REACH
      assert (!relent || spent < MAX_MADE)
#endif
    }
  :: atomic { held > 0 && returns < MAX_RETURNS ->
#ifndef KEPT_AFTER_RETURN
      held--;
#endif
      return_copies[returns] = COPIES;
      return_lender[returns] = last_lender;
      returns++ }
  :: atomic { returns > 0 ->
      select (i : 0 .. MAX_RETURNS - 1);
      if
      :: i < returns && return_copies[i] > 0 -> receive_return (i)
      :: i < returns && return_copies[i] > 0 -> return_copies[i]--
      :: else -> skip
      fi }
  :: atomic { restarts < MAX_RESTARTS -> restarts++;
      process_number++; held = 0; last_loan = 0 }
  :: atomic { restarts < MAX_RESTARTS -> restarts++;
      lender++; bucket = 0; last_return = 0 }
  od
}
