/*
 * Configuration versions: io/configstore/store.go (Append, earlierResult, refresh, follow, apply), core/configuration (Holder,
 * ApplyPatch) and the peer path of core/exchange, on the conditional create of io/objectstore/write.go.
 * Two operators submit three patches in all, through either instance, and resend a patch with the same operation identity
 * when they get no answer. A write may be lost before or after its effect, or take effect later (one of each operator).
 * A listing may lag by any number of versions; a read of one key is current. Instance 0 keeps a copy on disk, instance 1
 * has none; each restarts once.
 *
 * Simplified: a patch is its operation number, so validation and the pruning of versions are left out; the copy on disk
 * is written together with the change of the holder (the code writes it within milliseconds after).
 *
 * Properties: the version in effect at a running instance never decreases, and a restart does not take it below the copy
 * on disk; a patch is accepted only if the version holds its operation, which takes effect once; a refused operation has
 * not taken effect and never does; in the final state both instances have the highest version.
 *
 * Variants that must fail: NO_CREATE_IF_ABSENT, NO_READ_BACK (a lost answer is reported as a refusal), NO_IDENTITY (a
 * resend is not compared with the stored operation), NOT_MONOTONIC (a holder takes any version), WATCH_ONLY (no
 * listing unless a watch reported a change), and three earlier faults of Append and Follow: TWO_READS (the version was
 * compared and then read again from the holder), TRUST_LISTING (a refusal was decided by a lagging listing),
 * PEER_NOT_SAVED (a version learned from a peer was not written to the copy).
 */
#define N 2
#define PATCHES 2  /* of operator 0; operator 1 submits one */
#define SENDS 2    /* of each patch */
#define TOP 3      /* highest possible version */

mtype = { yes, conflict, unknown };  /* answers of a write */

#define BIT(op) (1 << (op))

byte content[TOP + 2];   /* operation of each version, 0: no such version */
byte highest = 0;
byte applied = 0, refused = 0;  /* bit sets of operations */
byte current[N], disk = 0;
bool told[N];            /* a watch has reported a change */
byte late_version[N], late_op[N];

inline create(v, op) {
  assert(!(refused & BIT(op)));  /* a refused patch never takes effect */
  assert(!(applied & BIT(op)));  /* an accepted one takes effect once */
  assert(content[v] == 0);       /* a version is never replaced */
  content[v] = op;
  applied = applied | BIT(op);
  if
  :: v > highest -> highest = v
  :: else
  fi
#ifdef WATCH_ONLY
  ; told[0] = true; told[1] = true
#endif
}

#ifdef NO_CREATE_IF_ABSENT
#define ABSENT(v, op) (content[v] != op)
#else
#define ABSENT(v, op) (content[v] == 0)
#endif

/* Holder.Apply, and the copy of instance 0. */
inline learn(i, v) {
  if
#ifdef NOT_MONOTONIC
  :: true -> assert(v >= current[i]); current[i] = v
#else
  :: v > current[i] -> current[i] = v
#endif
  :: else
  fi;
  if
  :: i == 0 && current[0] > disk -> disk = current[0]
  :: else
  fi
}

/* A listing of the versions after the current one. It may lag: it returns any later version, or none. */
inline list(i, v) {
  if
  :: v = 0
  :: current[i] < 1 && highest >= 1 -> v = 1
  :: current[i] < 2 && highest >= 2 -> v = 2
  :: current[i] < 3 && highest >= 3 -> v = 3
  fi
}

inline tell_no() {
  assert(!(applied & BIT(op)));
  refused = refused | BIT(op);
  answered = true
}

/* earlierResult of store.go: the read of the next version decides. */
inline earlier() {
  if
#ifdef TRUST_LISTING
  :: base >= current[i] -> tell_no()
  :: base < current[i] && content[base + 1] != op -> tell_no()
  :: base < current[i] && content[base + 1] == op -> answered = true
#else
#ifdef NO_IDENTITY
  :: true -> tell_no()
#else
  :: content[base + 1] == op -> learn(i, base + 1); answered = true
  :: content[base + 1] != op && content[base + 1] != 0 -> learn(i, base + 1); tell_no()
#endif
#endif
  fi
}

active [N] proctype operator() {
  byte id = _pid, patch = 0, sends, base, snapshot, op, i, v;
  mtype answer;
  bool answered;
  do
  :: patch == PATCHES - id -> break
  :: atomic { patch < PATCHES - id -> op = 1 + id * PATCHES + patch; patch++; answered = false; sends = 0;
       if :: base = current[0] :: base = current[1] fi }
     do
     :: answered || sends == SENDS -> break
     :: !answered && sends < SENDS ->
        atomic { sends++; if :: i = 0 :: i = 1 fi; list(i, v) }
        atomic { learn(i, v); v = 0 }  /* refresh */
        atomic {
          snapshot = current[i]
#ifndef TRUST_LISTING
          ; if  /* a base above the listing is read by its key */
          :: base > snapshot -> learn(i, base); snapshot = current[i]
          :: else
          fi
#endif
        }
        if
        :: skip  /* no answer: the instance restarts or is cut off */
        :: atomic { base != snapshot -> earlier() }
#ifdef TWO_READS
        :: atomic { base == snapshot && current[i] != base -> tell_no() }
#endif
        :: base == snapshot ->
           if  /* Put */
           :: atomic { ABSENT(base + 1, op) -> create(base + 1, op); answer = yes }
           :: atomic { ABSENT(base + 1, op) -> create(base + 1, op); answer = unknown }
           :: atomic { !ABSENT(base + 1, op) -> answer = conflict }
           :: answer = unknown
           :: atomic { late_op[id] == 0 -> late_op[id] = op; late_version[id] = base + 1; answer = unknown }
           fi;
           if
           :: answer != unknown
#ifdef NO_READ_BACK
           :: atomic { answer == unknown -> tell_no() }
#else
           :: answer == unknown  /* the read-back fails or finds nothing */
           :: atomic { answer == unknown && content[base + 1] == op -> answer = yes }
           :: atomic { answer == unknown && content[base + 1] != op && content[base + 1] != 0 -> answer = conflict }
#endif
           fi;
           if
           :: atomic { answer == yes -> assert(content[base + 1] == op); learn(i, base + 1); answered = true }
           :: atomic { answer == conflict -> list(i, v); learn(i, v); earlier() }
           :: answer == unknown
           fi
        fi;
        atomic { answer = 0; snapshot = 0; i = 0; v = 0 }
     od;
     atomic { sends = 0; base = 0; op = 0; answered = false }
  od
}

active [N] proctype instance() {
  byte i = _pid - N, v = 0;
  bool restarted = false;
end:
  do
#ifdef WATCH_ONLY
  :: atomic { told[i] -> told[i] = false; list(i, v); learn(i, v); v = 0 }
#else
  :: atomic { current[i] < highest -> list(i, v); learn(i, v); v = 0 }
#endif
  :: atomic { current[1 - i] > current[i] ->  /* from the peer */
#ifdef PEER_NOT_SAVED
       current[i] = current[1 - i]
#else
       learn(i, current[1 - i])
#endif
     }
  :: atomic { !restarted -> restarted = true;
       if
       :: i == 0 -> assert(disk >= current[0]); current[0] = disk
       :: else -> current[1] = 0
       fi }
  od
}

active proctype network() {
end:
  do
  :: atomic { late_op[0] != 0 && ABSENT(late_version[0], late_op[0]) -> create(late_version[0], late_op[0]); late_op[0] = 0; late_version[0] = 0 }
  :: atomic { late_op[1] != 0 && ABSENT(late_version[1], late_op[1]) -> create(late_version[1], late_op[1]); late_op[1] = 0; late_version[1] = 0 }
  :: atomic { late_op[0] != 0 && !ABSENT(late_version[0], late_op[0]) -> late_op[0] = 0; late_version[0] = 0 }
  :: atomic { late_op[1] != 0 && !ABSENT(late_version[1], late_op[1]) -> late_op[1] = 0; late_version[1] = 0 }
  :: timeout -> assert(current[0] == highest && current[1] == highest); break
  od
}
