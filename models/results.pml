/*
 * Results of a job as create-only segments: core/joblog (Append, Segment), core/jobrun (write, takeOver, close). One job
 * with three items, and two instances that may both believe at any time that they hold it: a holder that is paused, cut
 * off or replaced cannot be distinguished from one that is lost. Answers of the store can be lost before or after the
 * effect, and a write without an answer can take effect at any later time if its position is still empty.
 *
 * Simplified: each segment has one result; items finish at once and in any order, on any instance; the conditional change
 * of the job's record, which only says who should run the items, is left out, so that both instances always run all.
 *
 * Properties: what is at a position never changes; no item is at two positions; in the final state all items are listed,
 * and an instance that closes the job has read all of them.
 *
 * Variants that must fail: NO_CREATE_IF_ABSENT (a segment replaces another one), NO_READ (after a conflict the writer goes
 * to the next position without reading what was written), OWN_COUNT (after a lost answer the writer takes its result as
 * listed).
 */
#define N 2
#define ITEMS 3

byte at[ITEMS];                 /* item + 1 at each position, 0 if there is none */
byte late_position[N];
byte late_item[N];              /* item + 1 of a write that has not taken effect yet, 0 if there is none */
bool closed[N];

inline create(position, item) {
#ifdef NO_CREATE_IF_ABSENT
  assert(at[position] == 0 || at[position] == item + 1);
  at[position] = item + 1
#else
  if
  :: at[position] == 0 -> at[position] = item + 1
  :: else
  fi
#endif
  ;
  assert(at[0] == 0 || (at[0] != at[1] && at[0] != at[2]));
  assert(at[1] == 0 || at[1] != at[2])
}

active [N] proctype instance() {
  byte position = 0, item;
  bool seen[ITEMS];
  do
  :: position == ITEMS -> break
  :: atomic { position < ITEMS && at[position] != 0 ->  /* reads the next segment */
       seen[at[position] - 1] = true;
       position++ }
  :: position < ITEMS ->
       /* an item has finished and is not listed as far as this instance has read */
       if
       :: !seen[0] -> item = 0
       :: !seen[1] -> item = 1
       :: !seen[2] -> item = 2
       fi;
       if
       :: atomic { at[position] == 0 -> create(position, item); seen[item] = true; position++ }
       :: atomic { at[position] != 0 ->                 /* conflict */
#ifdef NO_READ
            position++
#endif
            skip }
       :: atomic { create(position, item) }             /* the answer is lost after the effect */
       :: atomic {                                      /* the call is lost before it */
#ifdef OWN_COUNT
            seen[item] = true; position++
#endif
            skip }
       :: atomic { late_item[_pid] == 0 -> late_item[_pid] = item + 1; late_position[_pid] = position }
       fi
  od;
  assert(seen[0] && seen[1] && seen[2]);
  closed[_pid] = true
}

/* The store applies a write at any time after its sender stopped waiting for the answer. */
active proctype store() {
end:
  do
  :: atomic { late_item[0] != 0 -> create(late_position[0], late_item[0] - 1); late_item[0] = 0 }
  :: atomic { late_item[1] != 0 -> create(late_position[1], late_item[1] - 1); late_item[1] = 0 }
  :: closed[0] && closed[1] && late_item[0] == 0 && late_item[1] == 0 ->
       assert(at[0] != 0 && at[1] != 0 && at[2] != 0);
       break
  od
}
