/*
 * At-most-once guard for a non-idempotent request: core/once/guard.go (Do, claim, replay, settle) on the conditional
 * writes of io/objectstore/write.go (Put, write). Two instances handle the same key, three requests in all. A write may be
 * lost before or after it takes effect, or be delayed in the network and take effect later (one write of each instance).
 * The record is one object; versions grow with each change.
 *
 * Simplified: bodies, digests and the trimming of large outcomes; the rounds of claim are bounded by 2 instead of 5.
 * The service runs the request if the call reaches it. The instance may or may not learn that a call did not reach it.
 *
 * Properties: runs <= 1. The caller gets "not run" only if the operation of this request has not run, and an assertion at
 * the service excludes any later run of such an operation.
 *
 * Variants that must fail: SEND_BEFORE_CLAIM, NO_CREATE_IF_ABSENT, NO_READ_BACK (a lost answer counts as a conflict of
 * another operation that has left no record), RETRY_AFTER_SILENCE (the call is repeated after an answer is lost),
 * NOT_RUN_ON_SILENCE (a call without an answer is reported to the caller as not run).
 */
#define N 2          /* instances */
#define TRIES 2      /* requests with the key that instance 0 handles; instance 1 handles one */
#define ROUNDS 2     /* rounds of claim */

mtype = { claimed, done, not_run };               /* states of the record */
mtype = { yes, conflict, unknown, unavailable };  /* answers of Put */

byte version = 0, owner = 0;  /* version 0: no record; operations are numbered from 1 */
mtype state = claimed;
byte runs = 0, ran = 0;  /* ran: bit set of the operations that ran */
byte told_not_run = 0;  /* bit set of the operations that were reported to the caller as not run */

/* A write that is still in the network after its sender stopped waiting for the answer. */
byte late_if[N], late_owner[N];
mtype late_state[N];
bool late[N];

#ifdef NO_CREATE_IF_ABSENT
#define CONDITION(ifv) (ifv == version || ifv == 0)
#else
#define CONDITION(ifv) (ifv == version)
#endif

inline effect(op, st) {
  version++;
  owner = op;
  state = st
}

/* One conditional write. The answer can be lost after the effect, or the write can be delayed. */
inline attempt(ifv, op, st) {
  if
  :: atomic { CONDITION(ifv) -> effect(op, st); got = version; answer = yes }
  :: atomic { CONDITION(ifv) -> effect(op, st); answer = unknown }
  :: atomic { !(CONDITION(ifv)) -> answer = conflict }
  :: atomic { answer = unknown }
  :: atomic { answer = unavailable }
  :: atomic { !late[id] -> 
       late[id] = true; late_if[id] = ifv; late_owner[id] = op; late_state[id] = st; answer = unknown }
  fi
}

/* Put: after a lost answer, reading the record back shows whether the write took effect; that read may fail as well. */
inline put(ifv, op, st) {
  attempt(ifv, op, st);
  if
  :: answer == unknown ->
#ifdef NO_READ_BACK
     answer = unavailable
#else
     if
     :: atomic { version != ifv && owner == op && state == st -> got = version; answer = yes }
     :: atomic { version == ifv + 1 && !(owner == op && state == st) -> answer = conflict }
     :: skip
     fi
#endif
  :: else
  fi
}

/* The service. */
inline serve(op) {
  assert(!(told_not_run & (1 << op)));
  runs++;
  assert(runs <= 1);
  ran = ran | (1 << op)
}

inline tell_not_run(op) {
  assert(!(ran & (1 << op)));
  told_not_run = told_not_run | (1 << op)
}

/* claim of guard.go: mine is true if the operation holds the claim. */
inline claim(op) {
  base = 0;
  round = 0;
  mine = false;
  finished = false;
  do
  :: finished -> break
  :: !finished && round == ROUNDS -> tell_not_run(op); break
  :: !finished && round < ROUNDS ->
     round++;
     put(base, op, claimed);
     if
     :: answer == yes -> mine = true; finished = true
#ifdef NO_READ_BACK
     :: answer == unavailable -> mine = true; finished = true
#else
     :: answer == unavailable -> tell_not_run(op); finished = true
#endif
     :: answer == conflict || answer == unknown ->
        if
        :: tell_not_run(op); finished = true  /* the read fails */
        :: atomic { version == 0 -> base = 0 }
        :: atomic { version != 0 && owner == op -> got = version; mine = true; finished = true }
        :: atomic { version != 0 && owner != op && state == not_run -> base = version }
        :: atomic { version != 0 && owner != op && state != not_run -> finished = true }  /* replay */
        fi
     fi
  od
}

/* saveOutcome of guard.go: repeats the write until it gets an answer or its time limit ends. */
inline settle(op, st) {
  finished = false;
  do
  :: finished -> break
  :: !finished ->
     put(got, op, st);
     if
     :: answer == yes || answer == conflict -> finished = true
     :: else
     fi
  :: break  /* the time limit has ended */
  od
}

/* A delayed write takes effect under its condition; nobody reads the answer. */
inline deliver(i) {
  if
  :: CONDITION(late_if[i]) -> effect(late_owner[i], late_state[i])
  :: else
  fi;
  late[i] = false; late_if[i] = 0; late_owner[i] = 0; late_state[i] = 0
}

active [N] proctype instance() {
  byte id = _pid, tries = 0, op, base, got, round;
  mtype answer;
  bool mine, finished;
  do
  :: tries == TRIES - id -> break
  :: tries < TRIES - id ->
     atomic { op = 1 + id * TRIES + tries; tries++ }
#ifdef SEND_BEFORE_CLAIM
     serve(op);
#endif
     claim(op);
     if
     :: mine ->
        if
        :: skip  /* crash after the claim; a restart handles the next resend */
        :: tell_not_run(op);  /* the call did not reach the service */
           settle(op, not_run)
#ifndef SEND_BEFORE_CLAIM
        :: serve(op);
#ifdef NOT_RUN_ON_SILENCE
           tell_not_run(op);
#endif
           if
           :: skip  /* crash after the send, or an answer that is lost */
           :: settle(op, done)
           fi
#endif
#ifdef RETRY_AFTER_SILENCE
        :: serve(op); serve(op)
#endif
        fi
     :: else
     fi;
     atomic { op = 0; base = 0; got = 0; round = 0; answer = 0; mine = false; finished = false }  /* merges states */
  od;
end:
  skip
}

/* The network delivers a delayed write at any time; its condition still applies. */
active proctype network() {
  byte i;
end:
  do
  :: atomic { late[0] -> i = 0; deliver(i) }
  :: atomic { late[1] -> i = 1; deliver(i) }
  od
}
