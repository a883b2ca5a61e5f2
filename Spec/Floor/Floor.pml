/* Ejections of one service's two targets, of which the floor keeps one.
 *
 * Instances A and B contend for the floor lease in the platform's table; its
 * holder decides which target is ejected and publishes that for a term.
 * Instance C applies the decisions that it receives until the term has ended,
 * counted from the stamp of its own that the decision echoes.
 *
 * A decision may be delivered late, out of order, several times or never, and
 * so may C's stamps. Every step may be left out for any time, which covers
 * pauses, one-way cuts and an outage of the table. A's wall clock is slow and
 * B's is right, as far apart as the margins of both sides allow.
 *
 * The assertion: no two targets are out of use at once over all instances.
 *
 * Each MUT_ macro removes one rule; the assertion must then fail. */

#define LEASE 3
#define TERM 2
#define SKEW 3
#define END 7
#define DECISIONS 2

#ifdef MUT_NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif

#define MIN(x, y) ((x) < (y) -> (x) : (y))

byte clock = 1;

/* The table's row: who holds the lease, until when by that one's wall clock. */
byte rowHolder = 2;
byte rowUntil = 0;

/* Per contender: the clock as read before its write, zero if none is under
 * way; until when it may decide; until when each decision may be in force. */
byte readAt[2];
byte heldUntil[2];
byte inForce[4];

/* C's newest stamp on its way, and the one that each contender has. */
byte stamp = 0;
byte echo[2];

/* Decisions on their way to C. */
byte count = 0;
byte sentTarget[DECISIONS];
byte sentTerm[DECISIONS];
byte sentEcho[DECISIONS];

/* The decisions that C applies. */
byte obeyed = 0;
byte obeyedUntil = 0;

/* Whether i may take the row, by its wall clock at time t. */
#define rowFree(i, t)                                                          \
  (rowHolder == (i) || rowUntil + MARGIN < (t) + SKEW * (i))

/* Whether i's last decision for the target other than t has ended. */
#ifdef MUT_FREE_UNPUBLISHED
#define otherEnded(i, t) true
#else
#define otherEnded(i, t) (inForce[2 * (i) + 1 - (t)] <= clock)
#endif

#define outOfUse(t)                                                            \
  (inForce[t] > clock || inForce[2 + (t)] > clock ||                           \
   (obeyed == (t) && obeyedUntil > clock))

#define FORGET(x)                                                              \
  if                                                                           \
  :: x <= clock -> x = 0                                                       \
  :: else -> skip                                                              \
  fi
#define FORGET_STAMP(x)                                                        \
  if                                                                           \
  :: x + TERM <= clock -> x = 0                                                \
  :: else -> skip                                                              \
  fi

/* Sets what no longer matters to zero, so that fewer states differ. */
inline forgetPast() {
  FORGET(heldUntil[0]);
  FORGET(heldUntil[1]);
  FORGET(inForce[0]);
  FORGET(inForce[1]);
  FORGET(inForce[2]);
  FORGET(inForce[3]);
  FORGET(obeyedUntil);
#ifndef MUT_TERM_FROM_RECEIPT
  FORGET_STAMP(stamp);
  FORGET_STAMP(echo[0]);
  FORGET_STAMP(echo[1]);
  FORGET_STAMP(sentEcho[0]);
  FORGET_STAMP(sentEcho[1]);
#endif
  if
  :: obeyedUntil == 0 -> obeyed = 0
  :: else -> skip
  fi
}

inline check() { assert(!(outOfUse(0) && outOfUse(1))) }

inline startLease(i) {
  (readAt[i] == 0 && rowFree(i, clock)) -> readAt[i] = clock
}

/* The compare-and-set holds if the row is still free or this one's. */
inline commitLease(i) {
  (readAt[i] != 0) ->
  if
  :: rowFree(i, readAt[i]) ->
     rowHolder = i;
     rowUntil = readAt[i] + SKEW * (i) + LEASE;
#ifdef MUT_LEASE_FROM_REPLY
     heldUntil[i] = clock + LEASE - MARGIN
#else
     heldUntil[i] = readAt[i] + LEASE - MARGIN
#endif
  :: else -> skip
  fi;
  readAt[i] = 0
}

inline decide(i, t) {
  (heldUntil[i] > clock && count < DECISIONS && otherEnded(i, t)) ->
#ifdef MUT_TERM_BEYOND_LEASE
  sentTerm[count] = TERM;
#else
  sentTerm[count] = MIN(TERM, heldUntil[i] - clock);
#endif
  inForce[2 * (i) + (t)] = clock + sentTerm[count];
  sentTarget[count] = t;
  sentEcho[count] = echo[i];
  count++;
  check()
}

inline deliver(m) {
  (count > m && sentEcho[m] != 0) ->
  obeyed = sentTarget[m];
#ifdef MUT_TERM_FROM_RECEIPT
  obeyedUntil = clock + sentTerm[m];
#else
  obeyedUntil = sentEcho[m] + sentTerm[m];
#endif
  check()
}

active proctype fleet() {
  do
  :: atomic { clock < END -> clock++; forgetPast(); check() }
  :: atomic { startLease(0) }
  :: atomic { startLease(1) }
  :: atomic { commitLease(0) }
  :: atomic { commitLease(1) }
  :: atomic { stamp = clock }
  :: atomic { stamp != echo[0] -> echo[0] = stamp }
  :: atomic { stamp != echo[1] -> echo[1] = stamp }
  :: atomic { decide(0, 0) }
  :: atomic { decide(0, 1) }
  :: atomic { decide(1, 0) }
  :: atomic { decide(1, 1) }
  :: atomic { deliver(0) }
  :: atomic { deliver(1) }
  od
}
