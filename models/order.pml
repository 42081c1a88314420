/*
 * Lease with a fencing token and orders to a backend server. Models section 1.5 and 7 of docs/design.md ("paused
 * holder", "engine that ignores fencing"), Order of io/engine/client.go (the token goes with each order) and serveOrder
 * of io/standin/engine/handler.go (a token below the highest one seen is refused). The lease is a simplified core/lease:
 * renewal and release are left out.
 *
 * Two holders take the lease one after the other or after its expiry. Each checks its lease on its own monotonic clock,
 * from before the request was sent, immediately before an order; it can be paused for any time anywhere, also between
 * the check and the sending of the order, in the variant with a server that refuses old tokens. For a server that
 * ignores tokens the pause between check and sending, and the time in the network, are part of the longest order: the
 * sender closes the connection after that time. A new holder then waits for the old lease plus the longest order.
 * Time is discrete; the observer measures the expiry on its own clock and never takes over before the true expiry.
 *
 * Property: an order with an older token never takes effect after one with a newer token.
 *
 * IGNORES_TOKEN selects the second kind of server, for which the model must hold as well. Variants that must fail:
 * NO_FENCING (the first kind does not compare tokens), NO_WAIT (the new holder of the second kind waits for the old
 * lease only), NO_ORDER_LIMIT (second kind: an order may take any time), NO_LEASE_CHECK (second kind: the holder does
 * not check its lease before an order).
 */
#define LEASE 2    /* length of a lease */
#define LONGEST 1  /* longest order, from the check to the effect */
#define END 9      /* end of time in the model */
#define N 2        /* holders */
#define ORDERS 2   /* orders of a holder */

byte now = 0;
byte token = 0;            /* token of the lease record in the store; 0: never held */
byte expiry = 0;           /* true expiry: the time of the conditional write plus LEASE */
byte highest = 0;          /* highest token the server has seen */
byte effective = 0;        /* highest token of an order that took effect */
bool flying[N];            /* an order between its check and its effect */
byte flying_token[N];
byte flying_at[N];         /* time of the check */

inline effect(t) {
  assert(t >= effective);
  effective = t
}

/* The server receives an order. */
inline receive(t) {
#if !defined(IGNORES_TOKEN) && !defined(NO_FENCING)
  if
  :: t < highest  /* refused as fenced */
  :: else -> highest = t; effect(t)
  fi
#else
  effect(t)
#endif
}

#if defined(IGNORES_TOKEN) && !defined(NO_WAIT)
#define WAIT LONGEST
#else
#define WAIT 0
#endif

#ifdef NO_LEASE_CHECK
#define HELD true
#else
#define HELD (now < until)
#endif

active [N] proctype holder() {
  byte id = _pid, own = 0, until = 0, sent = 0, left = ORDERS;
end:
  do
  :: atomic { own == 0 -> sent = now }  /* before the request for the lease is sent */;
     if
     :: atomic {  /* the conditional write; its own view of the lease counts from before the request */
          token == 0 || now >= expiry + WAIT ->
          token++; own = token; expiry = now + LEASE; until = sent + LEASE; sent = 0
        }
     :: atomic { sent = 0 }  /* not free, or the answer is lost; the lease then expires unused */
     :: atomic {
          token == 0 || now >= expiry + WAIT ->
          token++; expiry = now + LEASE; sent = 0
        }
     fi
  :: atomic {  /* checks the lease, then goes on to send an order; a pause can follow */
       own != 0 && left > 0 && !flying[id] && HELD -> flying[id] = true; flying_token[id] = own; flying_at[id] = now; left--
     }
  :: atomic { flying[id] -> receive(flying_token[id]); flying[id] = false; flying_token[id] = 0; flying_at[id] = 0 }
  :: atomic {  /* the order is lost, or abandoned by its sender */
       flying[id] -> flying[id] = false; flying_token[id] = 0; flying_at[id] = 0 }
  :: atomic { own != 0 && now >= until && !flying[id] -> own = 0; until = 0 }  /* notices the end of the lease */
  od
}

/* An order to a server that ignores tokens takes effect within LONGEST of its check, or never. */
#if defined(IGNORES_TOKEN) && !defined(NO_ORDER_LIMIT)
#define TIMELY(i) (!flying[i] || now < flying_at[i] + LONGEST)
#else
#define TIMELY(i) true
#endif

active proctype clock() {
end:
  do
  :: atomic { now < END && TIMELY(0) && TIMELY(1) -> now++ }
  od
}
