/* Changes of the configuration: operators race one another through a table
 * whose calls and replies are lost or late, and an instance follows.
 *
 * Operator 0 revokes a key, the others replace the manifest; each change has
 * the operator's number plus one as its change id. A commit names the version
 * that it was made from and takes effect only while the head is that version.
 * A commit that got no reply may take effect at any later time.
 *
 * Checked: a change takes effect at most once; one reported as refused
 * never took and never takes effect; one reported as accepted stays in the
 * audit trail; a revoked key stays revoked; the instance never applies an
 * earlier version.
 *
 * Each MUT_ define is an error that the check must find. */

#define OPERATORS 3
#define ATTEMPTS 2
#define VERSIONS 8

#define ABSENT 0

mtype = { Pending, Accepted, Refused, Unknown };

byte Head = 0;
/* Change id by version, and whether the key is revoked in that version. */
byte Audit[VERSIONS];
bool Revoked[VERSIONS];
byte Effects[OPERATORS];
mtype Told[OPERATORS] = Pending;

/* A commit in transit that no operator waits for any more. */
bool Late[OPERATORS];
byte LateBase[OPERATORS];
bool LateRevokes[OPERATORS];

bool Done;

inline applyCommit(Id, Base, Revokes) {
  Done = false;
  if
#ifdef MUT_HEAD_WITHOUT_CONDITION
  :: true ->
#else
  :: Head == Base && Audit[Base + 1] == ABSENT ->
#endif
     assert(Told[Id] != Refused);
     assert(Effects[Id] == 0);
     Effects[Id]++;
     assert(!Revoked[Head] || Revokes);
     Head = Base + 1;
     Audit[Head] = Id + 1;
     Revoked[Head] = Revokes;
     Done = true
  :: else
  fi
}

inline tell(Id, Outcome) {
  Told[Id] = Outcome;
  assert(Outcome != Refused || Effects[Id] == 0);
  assert(Outcome != Accepted || Effects[Id] == 1)
}

proctype Operator(byte Id) {
  byte Base;
  bool Revokes;
  byte Seen;
  byte Attempt = 0;
  bool MayHaveTakenEffect = false;

readHead:
  atomic {
    Base = Head;
    Revokes = Revoked[Base] || Id == 0
  }

  do
  :: Attempt == ATTEMPTS ->
     atomic { tell(Id, Unknown) };
     break
  :: else ->
     Attempt++;
     if
     /* The commit reaches the table and the reply comes back. */
     :: atomic {
          applyCommit(Id, Base, Revokes);
          if
          :: Done -> tell(Id, Accepted); break
          :: !Done && !MayHaveTakenEffect -> tell(Id, Refused); break
          :: else
          fi
        }
     /* The reply is lost after the commit reached the table. */
     :: atomic {
          applyCommit(Id, Base, Revokes);
          MayHaveTakenEffect = true
        }
     /* No reply comes; the commit is lost or reaches the table later. */
     :: atomic {
          Late[Id] = true;
          LateBase[Id] = Base;
          LateRevokes[Id] = Revokes;
          MayHaveTakenEffect = true
        }
     fi;
#ifdef MUT_LOST_REPLY_IS_REFUSAL
     atomic { tell(Id, Refused) };
     break;
#endif
#ifdef MUT_REBASE_AFTER_LOST_REPLY
     goto readHead;
#endif
     /* The audit trail shows who made the next version. */
#ifdef MUT_RESOLVE_BY_HEAD
     atomic { Seen = (Head > Base -> Audit[Head] : ABSENT) };
#else
     atomic { Seen = Audit[Base + 1] };
#endif
     if
     :: Seen == Id + 1 -> atomic { tell(Id, Accepted) }; break
     :: Seen != Id + 1 && Seen != ABSENT -> atomic { tell(Id, Refused) }; break
     :: Seen == ABSENT
     fi
  od
}

inline deliverLate(Id) {
  Late[Id] = false;
  if
  :: applyCommit(Id, LateBase[Id], LateRevokes[Id])
  :: skip
  fi
}

#define ALL_TOLD \
  (Told[0] != Pending && Told[1] != Pending && Told[2] != Pending)

/* Late commits reach the table, in any order, or are lost for good. */
proctype Network() {
  do
  :: atomic { Late[0] -> deliverLate(0) }
  :: atomic { Late[1] -> deliverLate(1) }
  :: atomic { Late[2] -> deliverLate(2) }
  :: ALL_TOLD && !Late[0] && !Late[1] && !Late[2] -> break
  od
}

#ifdef MUT_APPLY_ANY_VERSION
#define IS_APPLICABLE(Version) ((Version) > 0)
#else
#define IS_APPLICABLE(Version) ((Version) > Applied)
#endif

inline apply(Version) {
  assert(Version >= Applied);
  assert(!Revoked[Applied] || Revoked[Version]);
  Applied = Version
}

/* Versions come from polls and peers, late and out of order. */
proctype Instance() {
  byte Applied = 0;
  byte News = 0;
  byte OldNews = 0;
  do
  :: atomic { News != Head -> OldNews = News; News = Head }
  :: atomic { IS_APPLICABLE(News) && News != Applied -> apply(News) }
  :: atomic { IS_APPLICABLE(OldNews) && OldNews != Applied -> apply(OldNews) }
  :: Applied == Head && ALL_TOLD -> break
  od
}

init {
  atomic {
    run Operator(0);
    run Operator(1);
    run Operator(2);
    run Network();
    run Instance()
  }
}
