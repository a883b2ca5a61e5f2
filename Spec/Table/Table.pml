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
 * With RESTORED (Restored.pml) the store comes back once from an older copy: a
 * new era begins, in which the versions after the copy's are given out again.
 * What was sent before still arrives; all that is sent names its era.
 *
 * The assertions: no change is undone by an older one, what the replica holds is
 * not older than the version up to which it says it knows all, and no row is of
 * another era.
 *
 * Each MUT_ macro removes one rule; an assertion must then fail. */

#ifdef RESTORED
#define CHANGES 3
#define ERAS 2
#else
#define CHANGES 4
#define ERAS 1
#endif
#define ROWS 2
/* Content of a row that is not there. */
#define ABSENT 0

#define position(e, v) ((e) * (CHANGES + 1) + (v))

/* The change of version v in era e: which row, and its content from then on. */
byte changedRow[ERAS * (CHANGES + 1)];
byte changedTo[ERAS * (CHANGES + 1)];
/* The table as it was at each version. */
byte history[ERAS * (CHANGES + 1) * ROWS];

#define at(e, v, r) history[position(e, v) * ROWS + (r)]

/* The reader's era, and the last version of each era. */
byte era = 0;
byte last[ERAS];

/* The replica: content, the version of the change that each row has, removals
 * included, and the era and version up to which it knows all. */
byte content[ROWS];
byte version[ROWS];
byte knownEra = 0;
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
#define agrees(e, v) true
#else
#define agrees(e, v) (content[0] == at(e, v, 0) && content[1] == at(e, v, 1))
#endif

#ifdef MUT_ANY_ERA
#define sameEra(e) true
#else
#define sameEra(e) ((e) == knownEra)
#endif

#define rowIsRight(r) \
  ((version[r] > known && \
    content[r] == changedTo[position(knownEra, version[r])]) || \
   (version[r] <= known && content[r] == at(knownEra, known, r)))

/* Ends a step of the replica; the variables of a step are no state. */
inline check() {
  assert(rowIsRight(0));
  assert(rowIsRight(1));
  e = 0;
  v = 0;
  r = 0
}

inline take(e, r, v) {
  assert((v) > version[r]);
  version[r] = v;
  content[r] = changedTo[position(e, v)]
}

/* The store, read by the reader. */
active proctype changes() {
  byte row;
  byte to;
  byte copy;
  do
  :: last[era] < CHANGES ->
     select(row : 0 .. 1);
     select(to : 0 .. 2);
     atomic {
       changedRow[position(era, last[era] + 1)] = row;
       changedTo[position(era, last[era] + 1)] = to;
       at(era, last[era] + 1, 0) = at(era, last[era], 0);
       at(era, last[era] + 1, 1) = at(era, last[era], 1);
       at(era, last[era] + 1, row) = to;
       last[era] = last[era] + 1;
       row = 0;
       to = 0
     }
#ifdef RESTORED
  :: era == 0 && last[0] > 0 ->
     atomic {
       select(copy : 0 .. CHANGES);
       if
       :: copy < last[0] ->
          row = 0;
          do
          :: row <= copy ->
             changedRow[position(1, row)] = changedRow[position(0, row)];
             changedTo[position(1, row)] = changedTo[position(0, row)];
             at(1, row, 0) = at(0, row, 0);
             at(1, row, 1) = at(0, row, 1);
             row = row + 1
          :: else -> break
          od;
          last[1] = copy;
          era = 1
       :: else -> skip
       fi;
       row = 0;
       copy = 0
     }
#endif
  :: last[era] == CHANGES -> break
  od
}

active proctype replica() {
  byte e;
  byte v;
  byte r;
  do
  /* A forwarded change arrives. */
  :: atomic {
       select(e : 0 .. ERAS - 1);
       select(v : 1 .. CHANGES);
       if
       :: e <= era && v <= last[e] && sameEra(e) &&
          !outdated(changedRow[position(e, v)], v) ->
          take(e, changedRow[position(e, v)], v)
       :: else -> skip
       fi;
       check()
     }
  /* A status arrives. */
  :: atomic {
       select(e : 0 .. ERAS - 1);
       select(v : 1 .. CHANGES);
       if
       :: e <= era && v <= last[e] && sameEra(e) && v > known &&
          agrees(e, v) -> known = v
       :: else -> skip
       fi;
       check()
     }
  /* The changes after its own version are fetched. */
  :: atomic {
#ifdef MUT_CHANGES_ACROSS_ERAS
       last[era] > known ->
       knownEra = era;
#else
       era == knownEra && last[era] > known ->
#endif
       v = known + 1;
       do
       :: v <= last[era] ->
          if
          :: !outdated(changedRow[position(era, v)], v) ->
             take(era, changedRow[position(era, v)], v)
          :: else -> skip
          fi;
          v = v + 1
       :: else -> break
       od;
       known = last[era];
       check()
     }
  /* The table as it was at version v of era e is fetched. */
  :: atomic {
       select(e : 0 .. ERAS - 1);
       select(v : 0 .. CHANGES);
       if
       :: e <= era && v <= last[e] &&
#ifdef MUT_LOWER_VERSIONS_ARE_OLDER
          v >= known && v > 0 ->
#else
          (e > knownEra || (e == knownEra && v >= known && v > 0)) ->
#endif
          r = 0;
          do
          :: r < ROWS ->
             if
#ifdef MUT_SNAPSHOT_REPLACES_ALL
             :: true ->
                content[r] = at(e, v, r);
                assert(e > knownEra || version[r] <= v);
                version[r] = v
#else
#ifndef MUT_LOWER_VERSIONS_ARE_OLDER
             :: e > knownEra ->
                content[r] = at(e, v, r);
                version[r] = v
#endif
             :: e == knownEra && version[r] <= v ->
                content[r] = at(e, v, r);
                version[r] = v
#endif
             :: else -> skip
             fi;
             r = r + 1
          :: else -> break
          od;
          knownEra = e;
          known = v
       :: else -> skip
       fi;
       check()
     }
  od
}
