/*
 * Acceptance of a job: core/joblog (Accept, Accepted), core/jobrun (submit, refuse, takeOverOrphan, AnnounceOrphans, step). The
 * record and the parts of a job are created at the same time by the first instance, which may be lost at any step; its writes
 * may take effect after that. The caller sends the job again to a second instance, where it may fit or not. A third one claims
 * the record of a lost holder, announces that, and then reads the parts. While parts are missing, the job's tokens stop counting for the
 * lost first instance; they count at the second one from before it writes until the third one holds the job. The caller may end the job.
 *
 * Simplified: a job has two parts, and its items are listed at once; only the first instance is lost; announcements arrive at
 * once and are remembered. The job counts as old only when no late write is left and no repeated submission is at work: both
 * take seconds, and jobs are kept for minutes.
 *
 * Properties: at a 202 the record and all parts are in the store, or the results are; no job is deleted that was accepted
 * and is open; the tokens of an accepted job that is open count at an instance; in the final state an accepted job is listed or was ended.
 *
 * Variants that must fail: CLAIM_PROVES (the announcement of a claim counts as one of a held job), RECORD_PROVES (an instance that
 * does not take the job acknowledges it if there is a record), DELETE_BY_AGE (an old job is deleted, open or not),
 * NO_SEARCH (an instance that finds the record of a lost holder leaves it to a search for such jobs that is over), UNCOUNTED (the second
 * instance counts the tokens of a job only while it writes it).
 */
#define NOBODY 0
#define FIRST 1
#define SECOND 2
#define THIRD 3

bool record, part0, part1;      /* in the store */
byte holder;                    /* named by the record */
bool sent_record, sent0, sent1; /* writes of the first instance that have not taken effect */
bool first_alive = true;
bool held[4];                   /* instances that have read all items */
bool announced_held, announced_claim, announced_orphan;
bool accepted, ended, listed, old;
bool repeating, searched;
bool counts[4];                 /* instances for which the job's tokens count, lost or not */

#define WHOLE (record && part0 && part1)
#define COUNTED (!accepted || listed || ended || counts[FIRST] || counts[SECOND] || counts[THIRD])

/* The caller gets a 202. */
inline acknowledge() {
  assert(WHOLE || listed || ended);
  accepted = true;
  assert(COUNTED)
}

/* What the second instance counts after it has acknowledged a job that it does not hold. */
#ifdef UNCOUNTED
#define COUNT_COMPLETED counts[SECOND] = held[SECOND]
#else
#define COUNT_COMPLETED counts[SECOND] = true
#endif

inline remove() {
  assert(!accepted || listed || ended);
  record = false; part0 = false; part1 = false
}

#ifdef DELETE_BY_AGE
#define DELETABLE old
#else
#define DELETABLE (old && (listed || ended))
#endif

/* An instance that finds the record of a lost holder announces the job. */
inline find_holder() {
#ifdef NO_SEARCH
  skip
#else
  if
  :: holder == FIRST && !first_alive -> announced_orphan = true
  :: else
  fi
#endif
}

/* What an instance does with a job that it holds. */
#define RUN(me) \
  :: atomic { held[me] && holder == me && record && !listed && !ended -> listed = true } \
  :: atomic { held[me] && holder == me && record && DELETABLE -> remove() }

active proctype first() {
  atomic { counts[FIRST] = true; sent_record = true; sent0 = true; sent1 = true }
end:
  do
  :: atomic { !sent_record && !sent0 && !sent1 && !held[FIRST] && !accepted && WHOLE ->
       if
       :: holder == FIRST -> held[FIRST] = true; announced_held = true
       :: else
       fi;
       acknowledge() }
  RUN(FIRST)
  :: atomic { first_alive = false; held[FIRST] = false; break }
  :: old && !record -> break
  od
}

/* The store carries out the writes of the first instance in any order, also after it was lost. */
active proctype store() {
end:
  do
  :: atomic { sent_record -> sent_record = false; if :: !record -> record = true; holder = FIRST :: else fi }
  :: atomic { sent0 -> sent0 = false; part0 = true }
  :: atomic { sent1 -> sent1 = false; part1 = true }
  od
}

active proctype second() {
  byte tries = 0;
end:
  do
  :: atomic { tries < 2 && !old -> tries++; repeating = true };
     if
#ifdef CLAIM_PROVES
     :: atomic { announced_held || announced_claim -> acknowledge() }
#else
     :: atomic { announced_held -> acknowledge() }
#endif
     :: atomic { !announced_held -> counts[SECOND] = true };     /* it fits: what is missing is written, in any order */
        if
        :: part0 = true; part1 = true
        :: part1 = true; part0 = true
        fi;
        atomic {
          if
          :: !record -> record = true; holder = SECOND; held[SECOND] = true; announced_held = true
          :: else -> find_holder(); COUNT_COMPLETED
          fi;
          acknowledge() }
     :: !announced_held ->      /* it does not fit */
        if
#ifdef RECORD_PROVES
        :: atomic { record -> acknowledge() }
#else
        :: atomic { WHOLE -> find_holder(); COUNT_COMPLETED; acknowledge() }
        :: atomic { record && !WHOLE -> find_holder() }     /* 504 */
#endif
        :: !record              /* 429 */
        fi
     fi;
     repeating = false
  RUN(SECOND)
  :: old && !record -> break
  :: !repeating && accepted && !held[SECOND] -> break   /* the caller has its answer */
  od
}

/* Finds jobs without a holder once after the first instance was lost, or when they are announced. */
active proctype third() {
  bool incomplete;              /* a part was missing when it was read */
end:
  do
  :: atomic { !first_alive && !searched -> searched = true; if :: record && holder == FIRST && !listed -> announced_orphan = true :: else fi }
  :: atomic { announced_orphan && record && holder == FIRST && !first_alive && !listed -> holder = THIRD; announced_claim = true }
  :: atomic { record && holder == THIRD && !held[THIRD] && WHOLE ->
       held[THIRD] = true; announced_held = true; counts[FIRST] = false; counts[SECOND] = false; counts[THIRD] = true }
  :: atomic { record && holder == THIRD && !held[THIRD] && !WHOLE -> incomplete = true }
  :: atomic { incomplete && counts[FIRST] -> counts[FIRST] = false; assert(COUNTED) }
  :: atomic { record && holder == THIRD && !held[THIRD] && !WHOLE && old -> remove() }
  RUN(THIRD)
  :: atomic { record && holder == FIRST && !first_alive && DELETABLE -> remove() }
  od
}

active proctype caller() {
end:
  do
  :: atomic { accepted && !ended && !listed -> ended = true; break }
  :: accepted -> break
  od
}

active proctype time() {
  atomic { !sent_record && !sent0 && !sent1 && !repeating -> old = true }
}

/* Runs when nothing else can. */
active proctype final_state() {
  timeout;
  assert(!accepted || listed || ended)
}
