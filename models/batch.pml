/*
 * Batch claim and publish: core/batch (Runner), core/claim (SessionTracker), io/jobstore (Submit, Cancel, FollowOpen). One job
 * with two chunks of one item, two runners, a submission and a resubmission, a cancellation by another instance.
 * Answers of the store can be lost after the effect; a submitter or a runner can be paused anywhere between two steps;
 * one runner crashes and restarts with a new incarnation.
 *
 * Simplified: one item a chunk; parts are written with the attempt's own keys, so only the result counts; a chunk is
 * run by one process at a time; lost answers are resolved as in io/objectstore or left to the next step; a session that
 * does not change may expire after any time (the observer cannot distinguish a crash from a pause). A step checks the view
 * and starts the item at once: the wait in the dispatcher's queue and a pause in between are not covered. A claim is
 * read and written in one step, as its version makes a write fail if anything happened in between. Deadlines,
 * retries, and the removal of index entries without an open job after 60 s are left out. The bound counts from the
 * mark in the index, after which Cancel returns. Time is discrete: a runner's view is valid for AGE.
 *
 * Properties: the job record ends at most once, completed or cancelled; an accepted item has exactly one visible result
 * if the job completes, and a published result never changes; no item starts more than AGE after the cancellation
 * was marked; in the final state an accepted job has ended (nothing is lost), and there is no other deadlock.
 *
 * Variants that must fail: NO_CREATE_IF_ABSENT (a result replaces another one), NO_TAKEOVER, NO_VIEW_AGE (items start
 * with a view of any age), NO_CONDITION (the record ends without a condition on its version), EARLY_END (the
 * job ends before each chunk has a result), ACCEPT_BEFORE_RECORD (the job is accepted before its record exists), and an
 * earlier fault of ensureOpen: REWRITES_INDEX (a late submission cleared the mark of the cancellation).
 */
#define N 2
#define CHUNKS 2
#define AGE 1
#define END 2       /* end of time in the model */

mtype = { none, open, completed, cancelled };
mtype record = none;                 /* job record */
byte ends = 0;                       /* number of times that the record ended */
bool index = false, marked = false;  /* entry of the open-job index and its Cancelled field */
bool accepted = false;               /* a caller was told that the job is accepted */
bool stopping = false;               /* the mark was set once, at the time stopped_at */
byte now = 0, stopped_at = 0;
bool claimed[CHUNKS];
bool crashed = false;                /* one of the runners has crashed and returned */
bool result[CHUNKS];

inline finish(state) {
  ends++;
  assert(ends == 1);
  record = state
}

/* Submit of submit.go; the submitter may crash or be paused at any step. */
active [2] proctype submitter() {
  if
  :: atomic { record != none ->  /* resubmitted */
       if
       :: record == open && !index -> index = true; marked = false
       :: else
       fi }
  :: record == none ->
#ifdef ACCEPT_BEFORE_RECORD
     accepted = true;
#endif
     if  /* ensureOpen */
     :: atomic { !index -> index = true; marked = false }
#ifdef REWRITES_INDEX
     :: atomic { index -> marked = false }
#else
     :: index  /* a rewritten entry keeps its mark */
#endif
     :: goto gone
     fi;
     if  /* create-if-absent; after a lost answer it is repeated */
     :: atomic { record == none -> record = open }
     :: record != none
     :: goto gone
     fi
  fi;
  if
  :: accepted = true
  :: skip  /* the answer is lost */
  fi;
gone:
  skip
}

/* Cancel of job.go on another instance; it may crash between the record and the index. */
active proctype canceller() {
  if
  :: atomic { record == open -> finish(cancelled) };
     if
     :: atomic { index -> marked = true; stopping = true; stopped_at = now }
     :: !index
     :: skip
     fi
  :: record == completed || record == none
  fi
}

#ifdef NO_VIEW_AGE
#define FRESH true
#else
#define FRESH (now <= seen_at + AGE)
#endif
#ifdef NO_CREATE_IF_ABSENT
#define ABSENT(c) true
#else
#define ABSENT(c) (!result[c])
#endif
#ifdef NO_CONDITION
#define CONDITION true
#else
#define CONDITION (record == open)
#endif
#ifdef EARLY_END
#define ALL (result[0] || result[1])
#else
#define ALL (result[0] && result[1])
#endif

inline forget() {
  loaded = false; held = 0; done = false; ending = false
}

active [N] proctype runner() {
  byte held = 0, c, seen_at = 0;  /* held: chunk plus 1 */
  bool present = false, stopped = false, loaded = false, done = false, ending = false;
end:
  do
  :: atomic {  /* ObserveOpen */
       index != present || (index && (seen_at != now || (marked && !stopped))) ->
       seen_at = now;
       if
       :: !index -> present = false; stopped = false; seen_at = 0; forget()
       :: index && marked -> present = true; stopped = true; forget()
       :: index && !marked -> present = true
       fi }
  :: atomic { present && FRESH && !stopped && !loaded && record == open -> loaded = true }  /* load */
  :: atomic { present && !loaded && record == completed && index -> index = false }         /* removeOpen */
  :: atomic { present && !loaded && record == cancelled && !stopped -> stopped = true }
  :: atomic { present && FRESH && loaded && !stopped && held == 0 ->  /* claimChunk or takeOver */
       if :: c = 0 :: c = 1 fi;
       if
       :: result[c]
#ifdef NO_TAKEOVER
       :: !result[c] && !claimed[c] -> claimed[c] = true; held = c + 1
#else
       :: !result[c] -> claimed[c] = true; held = c + 1  /* a claim may look expired, or be its own, at any time */
#endif
       :: !result[c] && !claimed[c] -> claimed[c] = true  /* the answer is lost; it is taken over later */
       fi;
       c = 0 }
  :: atomic { held != 0 && !done && FRESH && !stopped ->  /* admit and run */
       assert(!(stopping && now > stopped_at + AGE));
       done = true }
  :: atomic { held != 0 && done ->  /* publish; a lost answer is repeated */
       if
       :: ABSENT(held - 1) -> assert(!result[held - 1]); result[held - 1] = true
       :: else
       fi;
       held = 0; done = false }
  :: atomic { loaded && !stopped && !ending && ALL ->  /* end reads the record */
       if
       :: record == open -> ending = true
       :: record == completed -> index = false; stopped = true; forget()
       :: record == cancelled -> stopped = true; forget()
       fi }
  :: atomic { ending -> ending = false;  /* end writes the record under the condition of its version */
       if
       :: CONDITION -> assert(result[0] && result[1]); finish(completed)
       :: else
       fi }
  :: atomic { !crashed -> crashed = true; present = false; stopped = false; seen_at = 0; forget() }  /* and restart */
  od
}

active proctype clock() {
end:
  do
  :: now < END -> now++
  :: timeout -> assert(!accepted || record == completed || record == cancelled); break
  od
}
