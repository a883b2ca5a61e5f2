/* Shares, loans, returns and takeover of one workspace's rights.
 *
 * Instance A holds the only share and lends from it, C borrows, B takes the
 * share over once A's lease has ended. One unit of the clock earns one token.
 *
 * The network keeps every message for ever and delivers it any number of times
 * or never, which covers loss, delay, duplication, reordering and one-way cuts,
 * and also a borrower that crashes, since its return may never arrive.
 * A paused process takes no step while the clock runs on; a table outage is a
 * table action that is not taken. The check of a term and the spending are one
 * step: a pause between them is bounded by the request's deadline and is not
 * part of this model.
 *
 * The monitor is one central bucket: a spending that it would refuse breaks
 * burst + rate * window for some window.
 *
 * Each MUT_ macro removes one rule; the assertion must then fail. */

#define BURST 2
#define LEASE 3
#define LOAN 3
#define SKEW 2
#define END 6
#define REQUESTS 2
#define LOANS 2

#define NONE 255

byte clock = 0;
byte monitor = BURST;

/* Errors of the wall clocks: as far apart as they may be, in the direction in
 * which B takes over early. */
#define errorA 0
#define errorB SKEW

/* The table: who holds the share, and when the lease row expires by A's wall
 * clock. */
bool heldByA = true;
bool heldByB = false;
byte expires = LEASE;
bool freeAtOnce = false;

/* A */
bool upA = true;
bool usesA = true;        /* A believes that it holds the share */
byte endA = LEASE;        /* of its lease, by its wall clock */
byte usableFromA = 0;
byte capacityA = BURST;
byte tokensA = BURST;
byte rateA = 1;

/* B */
byte tokensB = 0;

/* A's record of loans, lost when it crashes. */
byte loans = 0;
bool lent[LOANS];
byte lentEnd[LOANS];

/* Grant messages: sent once lentTo is set. */
byte grantOf[LOANS] = NONE;   /* request */
byte grantTerm[LOANS];
byte grantRate[LOANS];

/* C: its requests and the loans that it has taken in. */
bool asked[REQUESTS];
byte askedAt[REQUESTS];
byte acceptedLoan[REQUESTS] = NONE;
bool has[LOANS];
byte hasEnd[LOANS];
byte hasTokens[LOANS];

/* Return messages. */
bool returned[LOANS];
byte returnedTokens[LOANS];

byte i;

inline spendOne() {
  assert(monitor > 0);
  monitor--;
}

#ifdef MUT_SPEND_WITHOUT_CHECK
#define LEASE_RUNS true
#else
#define LEASE_RUNS (clock + errorA < endA)
#endif

/* What an expired loan gives back. */
#ifdef MUT_LAPSE_RETURNS_TOKENS
#define LAPSED_TOKENS 1
#else
#define LAPSED_TOKENS 0
#endif

/* Gives rate and capacity of a loan back to A. */
inline endLoan(L, Tokens) {
  lent[L] = false;
  lentEnd[L] = 0;
  capacityA++;
  rateA = rateA + grantRate[L];
  tokensA = tokensA + Tokens
}

inline passTime() {
  clock++;
  if
  :: monitor < BURST -> monitor++
  :: else
  fi;
  if
  :: upA && usesA && clock > usableFromA && tokensA < capacityA ->
       tokensA = tokensA + rateA
  :: else
  fi;
  if
  :: heldByB && tokensB < BURST -> tokensB++
  :: else
  fi;
  i = 0;
  do
  :: i < LOANS ->
       if
       :: has[i] && clock <= hasEnd[i] && hasTokens[i] < 1 ->
            hasTokens[i] = grantRate[i]
       :: else
       fi;
       if
       :: upA && lent[i] && clock >= lentEnd[i] -> endLoan(i, LAPSED_TOKENS)
       :: else
       fi;
       i++
  :: else -> break
  od;
  i = 0
}

inline lend(R, Rate) {
  lent[loans] = true;
  grantOf[loans] = R;
  grantRate[loans] = Rate;
#ifdef MUT_LOAN_OUTLIVES_LEASE
  grantTerm[loans] = LOAN;
#else
  grantTerm[loans] = (endA - clock - errorA < LOAN -> endA - clock - errorA : LOAN);
#endif
  lentEnd[loans] = clock + grantTerm[loans];
  tokensA--;
  capacityA--;
  rateA = rateA - Rate;
  loans++
}

inline takeIn(L) {
  acceptedLoan[grantOf[L]] = L;
  has[L] = true;
#ifdef MUT_TERM_FROM_ARRIVAL
  hasEnd[L] = clock + grantTerm[L];
#else
  hasEnd[L] = askedAt[grantOf[L]] + grantTerm[L];
#endif
  hasTokens[L] = 1;
  /* Values that are not read again would only multiply the states. */
#ifndef MUT_DUPLICATE_GRANT
  askedAt[grantOf[L]] = 0;
  grantTerm[L] = 0
#endif
}

inline giveBack(L, Tokens) {
  if
  :: !returned[L] -> returned[L] = true; returnedTokens[L] = Tokens
  :: else
  fi
}

/* Forgets all that A's memory holds. */
inline forgetA() {
  tokensA = 0;
  capacityA = BURST;
  rateA = 1;
  i = 0;
  do
  :: i < LOANS -> lent[i] = false; lentEnd[i] = 0; i++
  :: else -> break
  od;
  i = 0
}

/* When A's last loan ends, by its wall clock; zero without loans. */
inline lastEnd() {
  expires = 0;
  i = 0;
  do
  :: i < LOANS ->
       if
       :: lent[i] && lentEnd[i] + errorA > expires -> expires = lentEnd[i] + errorA
       :: else
       fi;
       i++
  :: else -> break
  od;
  i = 0
}

#define REQUEST_ACTIONS(R) \
  :: atomic { !asked[R] && (R == 0 || asked[0]) -> asked[R] = true; askedAt[R] = clock } \
  :: atomic { asked[R] && upA && usesA && clock >= usableFromA && LEASE_RUNS && \
              clock + errorA < endA && tokensA > 0 && loans < LOANS && \
              (loans < 1 || !lent[0] || grantOf[0] != R) && \
              (loans < 2 || !lent[1] || grantOf[1] != R) -> \
       if \
       :: lend(R, 0) \
       :: rateA > 0 -> lend(R, 1) \
       fi }

#ifdef MUT_DUPLICATE_GRANT
#define NOT_YET(L) true
#else
#define NOT_YET(L) (acceptedLoan[grantOf[L]] == NONE)
#endif

#ifdef MUT_DUPLICATE_RETURN
#define RETURN_COUNTS(L) (tokensA < capacityA && returnedTokens[L] > 0)
#else
#define RETURN_COUNTS(L) false
#endif

#define LOAN_ACTIONS(L) \
  /* A grant arrives in time, or for a request that has another loan. */ \
  :: atomic { grantOf[L] != NONE && NOT_YET(L) -> \
       takeIn(L) } \
  :: atomic { grantOf[L] != NONE && acceptedLoan[grantOf[L]] != NONE && \
              acceptedLoan[grantOf[L]] != L && !has[L] -> giveBack(L, 1) } \
  :: atomic { has[L] && clock < hasEnd[L] && hasTokens[L] > 0 -> \
       hasTokens[L]--; spendOne() } \
  :: atomic { has[L] -> has[L] = false; giveBack(L, hasTokens[L]); \
       hasTokens[L] = 0; hasEnd[L] = 0 } \
  :: atomic { upA && returned[L] && lent[L] -> endLoan(L, returnedTokens[L]) } \
  :: atomic { upA && returned[L] && !lent[L] && RETURN_COUNTS(L) -> tokensA++ }

active proctype Fleet() {
  do
  :: atomic { clock < END -> passTime() }
  :: atomic { upA && usesA && clock >= usableFromA && LEASE_RUNS && tokensA > 0 ->
       tokensA--; spendOne() }
  :: atomic { heldByB && tokensB > 0 -> tokensB--; spendOne() }

  REQUEST_ACTIONS(0)
  REQUEST_ACTIONS(1)
  LOAN_ACTIONS(0)
  LOAN_ACTIONS(1)

  /* A renews its lease row; the reply may be lost. */
#ifdef MUT_TAKEOVER_LEAVES_LEASE
  :: atomic { upA && usesA ->
#else
  :: atomic { upA && usesA && heldByA ->
#endif
       expires = clock + errorA + LEASE;
       if
       :: endA = expires
       :: skip
       fi }

  /* A reads that its lease row was removed. */
  :: atomic { upA && usesA && !heldByA -> usesA = false; tokensA = 0; endA = 0; expires = 0 }

  :: atomic { upA -> upA = false; usesA = false; endA = 0; forgetA() }

  /* A process on the same machine proves that its predecessor is dead. */
  :: atomic { !upA && heldByA && !freeAtOnce ->
       upA = true;
       usesA = true;
       expires = clock + errorA + LEASE;
       endA = expires;
#ifdef MUT_RESUME_AT_ONCE
       usableFromA = clock
#else
       usableFromA = clock + LOAN
#endif
     }

  /* A graceful shutdown. */
  :: atomic { upA && usesA && heldByA && clock >= usableFromA ->
       usesA = false;
       upA = false;
       endA = 0;
       lastEnd();
#ifdef MUT_RELEASE_BEFORE_LOANS_END
       freeAtOnce = true;
#else
       freeAtOnce = (expires == 0);
#endif
       forgetA() }

  /* B takes the share over. */
#ifdef MUT_NO_SKEW
  :: atomic { heldByA && (freeAtOnce || clock + errorB >= expires) ->
#else
  :: atomic { heldByA && (freeAtOnce || clock + errorB >= expires + SKEW) ->
#endif
       heldByA = false;
       heldByB = true;
       freeAtOnce = false;
#ifdef MUT_TAKEOVER_STARTS_FULL
       tokensB = BURST
#else
       tokensB = 0
#endif
     }
  od
}
