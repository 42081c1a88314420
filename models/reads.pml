/*
 * Reads of a job's results: core/jobrun (ReadHeldResults, readVerified, write, checkHolder, takeOver), core/jobread. The holder answers
 * from memory, any other instance from the store. A write of the holder takes effect in the store some time before the holder
 * learns of it. An instance that may have been replaced asks the store before it writes or answers.
 *
 * Simplified: each segment has one result; a read takes no time; a takeover claims the record and reads all results at once.
 * That an instance suspects itself before another one replaces it, and that a write of the former holder takes effect within the
 * window after the takeover, is assumed here, see core/cluster (SuspectedSince, Isolated) and lateWriteWindow.
 *
 * Property: a read never finds fewer results than an earlier one at any instance.
 *
 * Variants that must fail: MEMORY_ONLY (a holder does not ask the store while a write of its own is open), UNNOTICED_TAKEOVER (an instance is
 * replaced without suspecting it), NO_LATE_WINDOW (a new holder does not look for writes of its predecessor), NO_LAST_READ (it
 * does not look once more after the window).
 */
#define N 2
#define RESULTS 3

byte listed;               /* results in the store */
byte shown;                /* the most results that a read has found */
byte holder;               /* the instance that the job's record names */
bool holds[N];             /* the instance acts as the holder */
bool suspects[N];          /* the instance may have been replaced */
byte known[N];             /* results in memory */
bool writing[N];           /* a write has no answer yet */
byte position[N];          /* its position */
bool late[N];              /* a write of the former holder may still take effect */

inline ask_holder(i) {
  if
  :: holder == i -> suspects[i] = false
  :: else -> holds[i] = false; suspects[i] = false
  fi
}

inline read_listed(i) {
  known[i] = listed
}

inline answer(n) {
  assert(n >= shown);
  shown = n
}

init {
  holds[0] = true;
  byte i;
  do
  :: atomic { /* starts a write */
       select(i : 0 .. N - 1);
       if
       :: holds[i] && !writing[i] ->
            if
            :: suspects[i] -> ask_holder(i)
            :: else
            fi;
            if
            :: holds[i] && known[i] < RESULTS -> writing[i] = true; position[i] = known[i]
            :: else
            fi
       :: else
       fi }
  :: atomic { /* the write takes effect, unless the position has a segment */
       select(i : 0 .. N - 1);
       if
       :: writing[i] && position[i] == listed -> listed++
       :: else
       fi }
  :: atomic { /* the holder learns that the position has a segment, its own or another one */
       select(i : 0 .. N - 1);
       if
       :: writing[i] && position[i] < listed ->
            writing[i] = false;
            if
            :: known[i] == position[i] -> known[i]++
            :: else
            fi
       :: else
       fi }
  :: atomic { /* takes the job over */
       select(i : 0 .. N - 1);
       if
       :: holder != i && !writing[i] ->
            holder = i;
            holds[i] = true;
            suspects[i] = false;
            known[i] = listed;
#ifndef NO_LATE_WINDOW
            late[i] = true;
#endif
#ifndef UNNOTICED_TAKEOVER
            suspects[1 - i] = true
#endif
       :: else
       fi }
#ifdef NO_LAST_READ
  :: atomic { /* the window after the takeover ends */
       select(i : 0 .. N - 1);
       if
       :: !writing[1 - i] -> late[i] = false
       :: else
       fi }
#endif
  :: atomic { /* a read */
       select(i : 0 .. N - 1);
       if
       :: holds[i] && suspects[i] -> ask_holder(i); read_listed(i)
#ifndef MEMORY_ONLY
       :: holds[i] && !suspects[i] && writing[i] -> read_listed(i)
#endif
       :: holds[i] && !suspects[i] && late[i] ->
            read_listed(i);
            if
            :: !writing[1 - i] -> late[i] = false /* the window has ended before this read */
            :: else
            fi
       :: else
       fi;
       if
       :: holds[i] -> answer(known[i])
       :: else -> answer(listed)
       fi }
  od
}
