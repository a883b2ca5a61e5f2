/* The replica of one table of two rows on an instance that does not read the
 * store (Core/Fleet/SharedTable).
 *
 * The store's rows change one after the other; each change has a version. A
 * reader knows every change up to its version. It forwards each change, which
 * may arrive late, out of order, several times or never, and so may its
 * statuses: the version up to which it knows all and its content, which stands
 * for the digest. The replica takes single changes, statuses, and fetches from
 * the reader: the changes after its own version, or the whole table as it was
 * at an earlier time.
 *
 * The assertions: no change is undone by an older one, and what the replica
 * holds is not older than the version up to which it says it knows all.
 *
 * Each MUT_ macro removes one rule; an assertion must then fail. */

#define CHANGES 4
#define ROWS 2
/* Content of a row that is not there. */
#define ABSENT 0

/* The change of version v: which row, and its content from then on. */
byte changedRow[CHANGES + 1];
byte changedTo[CHANGES + 1];
/* The table as it was at each version. */
byte history[(CHANGES + 1) * ROWS];

#define at(v, r) history[(v) * ROWS + (r)]

/* The reader's version. */
byte store = 0;

/* The replica: content, the version of the change that each row has, removals
 * included, and the version up to which it knows all. */
byte content[ROWS];
byte version[ROWS];
byte known = 0;

#ifdef MUT_NO_REMOVALS
#define knownVersion(r) (content[r] == ABSENT -> 0 : version[r])
#else
#define knownVersion(r) version[r]
#endif

#ifdef MUT_FORGET_KNOWN
#define outdated(r, v) ((v) <= knownVersion(r))
#else
#define outdated(r, v) ((v) <= known || (v) <= knownVersion(r))
#endif

#ifdef MUT_ANY_STATUS
#define agrees(v) true
#else
#define agrees(v) (content[0] == at(v, 0) && content[1] == at(v, 1))
#endif

inline checkNotOlder() {
  assert(version[0] > known || content[0] == at(known, 0));
  assert(version[1] > known || content[1] == at(known, 1));
}

inline take(r, v, c) {
  assert((v) > version[r]);
  version[r] = v;
  content[r] = c;
}

/* The store, read by the reader. */
active proctype changes() {
  byte row;
  byte to;
  do
  :: store < CHANGES ->
     select(row : 0 .. 1);
     select(to : 0 .. 2);
     atomic {
       changedRow[store + 1] = row;
       changedTo[store + 1] = to;
       at(store + 1, 0) = at(store, 0);
       at(store + 1, 1) = at(store, 1);
       at(store + 1, row) = to;
       store = store + 1;
     }
  :: else -> break
  od
}

active proctype replica() {
  byte v;
  byte r;
  do
  /* A forwarded change arrives. */
  :: atomic {
       store > 0 ->
       select(v : 1 .. CHANGES);
       if
       :: v <= store && !outdated(changedRow[v], v) ->
          take(changedRow[v], v, changedTo[v])
       :: else -> skip
       fi;
       checkNotOlder()
     }
  /* A status arrives. */
  :: atomic {
       store > 0 ->
       select(v : 1 .. CHANGES);
       if
       :: v <= store && v > known && agrees(v) -> known = v
       :: else -> skip
       fi;
       checkNotOlder()
     }
  /* The changes after its own version are fetched. */
  :: atomic {
       store > known ->
       v = known + 1;
       do
       :: v <= store ->
          if
          :: !outdated(changedRow[v], v) ->
             take(changedRow[v], v, changedTo[v])
          :: else -> skip
          fi;
          v = v + 1
       :: else -> break
       od;
       known = store;
       checkNotOlder()
     }
  /* The table as it was at version v is fetched. */
  :: atomic {
       store > known ->
       select(v : 1 .. CHANGES);
       if
       :: v <= store && v >= known ->
          r = 0;
          do
          :: r < ROWS ->
             if
#ifdef MUT_SNAPSHOT_REPLACES_ALL
             :: true ->
#else
             :: version[r] <= v ->
#endif
                content[r] = at(v, r);
                assert(version[r] <= v);
                version[r] = v
             :: else -> skip
             fi;
             r = r + 1
          :: else -> break
          od;
          known = v
       :: else -> skip
       fi;
       checkNotOlder()
     }
  od
}
