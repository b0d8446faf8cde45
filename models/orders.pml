/* Orders to one engine that ignores fencing tokens (with CHECKS_FENCING: one
   that rejects lower tokens), from two processes, each of which may believe
   that it is the holder, the one process that may send orders.  An order is
   settled once no copy of it can arrive any more.

   Checked: the engine never executes a copy of an earlier order after a later
   order.

   Faults: lost replies to writes of the page; a pause of any length between a
   holder's last check and its send; copies that are still in the network
   after their connection was abandoned; lost answers; restarts of the engine.

   Mutants: NO_SETTLE (the next order follows as soon as the engine reports the
   first one), LEASE (an earlier sender counts as settled once its lease has
   expired by the clock; each sender checks its own lease before it starts a
   send), ONE_SENDER (only the process that recorded the order as intended
   counts as its sender), SAME_TOKEN (with CHECKS_FENCING: a new order keeps
   the holder's fencing token).

   REACH injects no fault: its assertion fails once the engine receives the
   last order, which shows that the model gets that far.  */

#define PROCESSES 2
#define ORDERS 2
#define NONE 255

#define INTENDED 1
#define DONE 2
#define SETTLED 3

/* The page of orders in the key-value service.  */
byte page_rev = 0, page_holder = NONE, page_order = 0, page_state = SETTLED;
byte page_token = 0, page_order_token = 0;
bool page_sender[PROCESSES];

/* The engine: current order, highest fencing token, highest order so far.  */
byte engine_order = 0, engine_token = 0, engine_max_order = 0;
byte restarts = 0;

/* Copies of an order, each with its fencing token: planned (checked, not sent
   yet), in flight on a connection that the sender waits for, and delayed (in
   the network after the sender abandoned the connection).  */
byte planned[PROCESSES], planned_token[PROCESSES], in_flight[PROCESSES],
  in_flight_token[PROCESSES], delayed[PROCESSES], delayed_token[PROCESSES];
/* Whether the process got no answer to a copy that it sent; cleared when the
   engine restarts.  */
bool outcome_unknown[PROCESSES];

/* State of each process.  */
bool is_holder[PROCESSES], page_known[PROCESSES];
byte known_rev[PROCESSES], known_order[PROCESSES], known_state[PROCESSES],
  known_token[PROCESSES], known_order_token[PROCESSES];
bool is_sender0[PROCESSES], is_sender1[PROCESSES];
/* Whether the other process answered that all its sends have ended.  */
bool other_sends_ended[PROCESSES];
/* With LEASE: the process's clock says that it may send.  */
bool lease_valid[PROCESSES];

#define sends_ended(i) (planned[i] == 0 && in_flight[i] == 0 && \
  !outcome_unknown[i])
#define sends_other(i) ((i == 0 && is_sender1[0]) || (i == 1 && is_sender0[1]))
#define sends_self(i) ((i == 0 && is_sender0[0]) || (i == 1 && is_sender1[1]))

#ifdef ONE_SENDER
#define may_send(i) (true)
#define send_token(i) known_token[i]
#elif defined(LEASE)
#define may_send(i) (sends_self (i) && lease_valid[i])
#define send_token(i) known_order_token[i]
#else
#define may_send(i) (sends_self (i))
#define send_token(i) known_order_token[i]
#endif

#ifdef CHECKS_FENCING
#define is_settled(i) (true)
#elif defined(NO_SETTLE)
#define is_settled(i) (true)
#elif defined(LEASE)
#define is_settled(i) (sends_ended (i) && (!sends_other (i) || \
  !lease_valid[1 - i]))
#else
#define is_settled(i) ((!sends_self (i) || sends_ended (i)) && \
  (!sends_other (i) || other_sends_ended[i]))
#endif

inline read_page (h)
{
  known_rev[h] = page_rev; known_order[h] = page_order;
  known_state[h] = page_state;
  known_token[h] = page_token; known_order_token[h] = page_order_token;
  is_sender0[h] = page_sender[0]; is_sender1[h] = page_sender[1];
  is_holder[h] = (page_holder == h); page_known[h] = true
}

/* Process H gives up what it knows of the page and must read it again.  */
inline forget_page (h)
{
  is_holder[h] = false; page_known[h] = false; other_sends_ended[h] = false
}

/* After an applied write: the reply arrives or is lost.  */
inline finish_write (h)
{
  page_rev++;
  if
  :: read_page (h)
  :: forget_page (h)
  fi
}

inline deliver (order, token)
{
#ifdef REACH
  assert (order < ORDERS);
#endif
#ifdef CHECKS_FENCING
  if
  :: token < engine_token -> skip
  :: else ->
     engine_token = token;
     assert (order >= engine_max_order);
     engine_order = order; engine_max_order = order
  fi
#else
  assert (order >= engine_max_order);
  engine_order = order; engine_max_order = order
#endif
}

proctype holder (byte i)
{
  do
  /* Read the page.  */
  :: atomic { !page_known[i] -> read_page (i) }
  /* Become the holder.  */
  :: atomic { page_known[i] && !is_holder[i] && page_rev < 9 ->
       if
       :: known_rev[i] == page_rev ->
          page_holder = i; page_token++;
          lease_valid[i] = true; finish_write (i)
       :: else -> forget_page (i)
       fi }
  /* Record the next order as intended.  */
  :: atomic { is_holder[i] && known_state[i] == SETTLED &&
       known_order[i] < ORDERS ->
       if
       :: known_rev[i] == page_rev ->
          page_order++; page_state = INTENDED;
#ifndef SAME_TOKEN
          page_token++;
#endif
          page_order_token = page_token;
          page_sender[i] = true; page_sender[1 - i] = false;
          other_sends_ended[i] = false;
          finish_write (i)
       :: else -> forget_page (i)
       fi }
#ifndef ONE_SENDER
  /* Become a sender of an order that an earlier holder recorded.  */
  :: atomic { is_holder[i] && known_state[i] == INTENDED && !sends_self (i) ->
       if
       :: known_rev[i] == page_rev ->
          page_sender[i] = true; page_order_token = page_token;
          finish_write (i)
       :: else -> forget_page (i)
       fi }
#endif
  /* Check and plan a send; other steps may happen before it is sent.  */
  :: atomic { is_holder[i] && known_state[i] == INTENDED && planned[i] == 0 &&
       in_flight[i] == 0 && may_send (i) ->
       planned[i] = known_order[i]; planned_token[i] = send_token (i) }
  /* Send the planned copy.  */
  :: atomic { planned[i] != 0 ->
       in_flight[i] = planned[i]; in_flight_token[i] = planned_token[i];
       planned[i] = 0; planned_token[i] = 0 }
  /* The engine receives the copy; its answer arrives or is lost.  */
  :: atomic { in_flight[i] != 0 ->
       deliver (in_flight[i], in_flight_token[i]);
       in_flight[i] = 0; in_flight_token[i] = 0;
       if :: skip :: outcome_unknown[i] = true fi }
  /* The sender abandons the connection; the copy stays in the network.  */
  :: atomic { in_flight[i] != 0 && delayed[i] == 0 ->
       delayed[i] = in_flight[i]; delayed_token[i] = in_flight_token[i];
       in_flight[i] = 0; in_flight_token[i] = 0; outcome_unknown[i] = true }
  /* The engine reports the order: record it as done.  */
  :: atomic { is_holder[i] && known_state[i] == INTENDED &&
       engine_order == known_order[i] ->
       if
       :: known_rev[i] == page_rev ->
          page_state = (is_settled (i) -> SETTLED : DONE); finish_write (i)
       :: else -> forget_page (i)
       fi }
  /* No copy of the order can arrive any more: record it as settled.  */
  :: atomic { is_holder[i] && known_state[i] == DONE && is_settled (i) ->
       if
       :: known_rev[i] == page_rev -> page_state = SETTLED; finish_write (i)
       :: else -> forget_page (i)
       fi }
  /* Ask the other process, which stops being the holder and answers whether
     all its sends have ended.  */
  :: atomic { is_holder[i] && sends_other (i) &&
       known_token[i] > known_token[1 - i] ->
       forget_page (1 - i);
       if
       :: sends_ended (1 - i) -> other_sends_ended[i] = true
       :: else -> skip
       fi }
#ifdef LEASE
  /* The lease expires, and its holder's clock shows it.  */
  :: atomic { lease_valid[i] && page_holder != i -> lease_valid[i] = false }
#endif
  od
}

/* Delayed copies arrive at any time or never.  */
proctype network ()
{
  byte i;
  do
  :: atomic { delayed[0] != 0 -> deliver (delayed[0], delayed_token[0]);
       delayed[0] = 0; delayed_token[0] = 0 }
  :: atomic { delayed[1] != 0 -> deliver (delayed[1], delayed_token[1]);
       delayed[1] = 0; delayed_token[1] = 0 }
  /* The engine restarts: copies sent before are lost with its connections, and
     so is the order that it executed.  */
  :: atomic { restarts < 1 ->
       restarts++;
       engine_order = 0;
       delayed[0] = 0; delayed[1] = 0; delayed_token[0] = 0;
       delayed_token[1] = 0;
       i = 0;
       do
       :: i < PROCESSES ->
          if
          :: in_flight[i] != 0 -> in_flight[i] = 0; in_flight_token[i] = 0
          :: else -> skip
          fi;
          outcome_unknown[i] = false;
          i++
       :: else -> break
       od;
       i = 0 }
  od
}

init
{
  atomic { run holder (0); run holder (1); run network () }
}
