/* One order of one caller: claimed in the table, sent to a target, repeated at
 * other instances.
 *
 * The caller sends the order with an idempotency key to instance 0 and repeats
 * it at instance 1 at any time: after a response, after giving up, or after a
 * crash of the instance; and once more at instance 2 when instance 1 has
 * responded or crashed. Each instance claims the key, makes attempts at the two
 * targets and ends the claim.
 *
 * The table may lose a reply after the commit took effect, lose the call, or
 * apply the commit late. An instance may crash before every step. A link to a
 * target may be cut before, during and after the request's bytes; bytes that
 * were written may be run at any later time, also when the instance is gone or
 * the caller was refused. A target runs what it gets at most once, or refuses
 * it with its own not-run response.
 *
 * Properties: the order runs at most once; a call that is reported as "not
 * run" has not run and never will; an order that is reported as "completed" has
 * run.
 *
 * Each MUT_ macro removes one rule; an assertion must then fail. */

#define INSTANCES 3
#define TARGETS 2
#define NONE 255

mtype = { Absent, Claimed, Completed, Unknown };
mtype = { Pending, NotRun, Ran, Doubt, Refused, Crashed };

/* The claim row: state, and the instance whose claim id it carries. */
mtype row = Absent;
byte owner = NONE;

/* A commit under way whose reply is lost: it takes effect late or never. */
bool late[INSTANCES];

/* Bytes of instance i's request that lie at target t. */
bool queued[6];
#define slot(i, t) ((i) * TARGETS + (t))

byte runs = 0;
bool ranFor[INSTANCES];        /* the call through this instance has run */
bool toldNotRun[INSTANCES];
mtype told[INSTANCES];

/* Any process of the table that applies a late commit. The condition is
 * checked when it takes effect. */
active proctype LateCommits()
{
end:
    do
    :: atomic { late[0] -> late[0] = false;
        if
        :: row == Absent -> row = Claimed; owner = 0
        :: else -> skip
        fi }
    :: atomic { late[1] -> late[1] = false;
        if
        :: row == Absent -> row = Claimed; owner = 1
        :: else -> skip
        fi }
    :: atomic { late[2] -> late[2] = false;
        if
        :: row == Absent -> row = Claimed; owner = 2
        :: else -> skip
        fi }
    od
}

inline execute(i, t)
{
    atomic {
        queued[slot(i, t)] ->
        queued[slot(i, t)] = false;
        runs++;
        ranFor[i] = true;
        assert(runs <= 1);
        assert(!toldNotRun[i]);
    }
}

/* A target runs what lies at it whenever it likes, or never. */
active proctype Targets()
{
end:
    do
    :: execute(0, 0)
    :: execute(0, 1)
    :: execute(1, 0)
    :: execute(1, 1)
    :: execute(2, 0)
    :: execute(2, 1)
    od
}

inline tell(i, what)
{
    atomic {
        told[i] = what;
        if
        :: what == NotRun ->
            toldNotRun[i] = true;
            /* Neither has it run nor can it: its bytes lie nowhere. */
            assert(!ranFor[i]);
            assert(!queued[slot(i, 0)] && !queued[slot(i, 1)])
        :: else -> skip
        fi
    }
}

proctype Instance(byte i)
{
    mtype outcome = Pending;   /* of all attempts so far */
    byte t = 0;
    byte rounds = 0;
    bool granted = false;
    mtype seen;
    byte seenOwner;

claim:
    if
    :: goto crash
    :: atomic {                               /* commit with its reply */
        if
#ifndef MUT_CLAIM_WITHOUT_CONDITION
        :: row == Absent -> row = Claimed; owner = i; granted = true
        :: row != Absent -> skip
#else
        :: true -> row = Claimed; owner = i; granted = true
#endif
        fi }
    :: atomic {                               /* reply lost after the effect */
        if
        :: row == Absent -> row = Claimed; owner = i
        :: else -> skip
        fi;
#ifdef MUT_LOST_REPLY_IS_SUCCESS
        granted = true
#endif
       }
    :: atomic { late[i] = true;               /* reply lost, effect later */
#ifdef MUT_LOST_REPLY_IS_SUCCESS
        granted = true
#endif
       }
    :: tell(i, NotRun); goto abandon          /* the table refused it */
    fi;
    if
    :: granted -> goto send
    :: else -> skip
    fi;

resolve:
    /* Reads the row; the read may fail as well. */
    if
    :: goto crash
    :: tell(i, NotRun); goto abandon
    :: atomic {
        seen = row; seenOwner = owner;
        if
        :: seen != Absent && seenOwner == i -> granted = true
        :: else -> skip
        fi }
    fi;
    if
    :: granted -> goto send
    :: !granted && seen == Absent ->
        if
        :: rounds < 1 -> rounds++; goto claim
        :: tell(i, NotRun); goto abandon
        fi
#ifdef MUT_TAKEOVER_OF_OLD_CLAIM
    /* The claimant must be done by now, so the claim is taken from it. */
    :: !granted && seen == Claimed -> atomic { owner = i; granted = true };
        goto send
#endif
    :: !granted && seen == Completed ->
        atomic { assert(runs == 1); tell(i, Refused) }; goto abandon
    :: !granted && (seen == Claimed || seen == Unknown) ->
        tell(i, Refused); goto abandon
    fi;

send:
    /* One attempt at target t. */
    if
    :: goto crash
    :: outcome = NotRun                       /* no byte was written */
    :: atomic { queued[slot(i, t)] = true };  /* all bytes are written */
        if
        :: goto crash
        :: atomic { queued[slot(i, t)] -> queued[slot(i, t)] = false;
            outcome = NotRun }                /* the target's own refusal */
        :: atomic { ranFor[i] -> outcome = Ran }
#ifdef MUT_RESET_MEANS_NOT_RUN
        :: outcome = NotRun                   /* reset, cut or no response */
#else
        :: outcome = Doubt
#endif
        fi
    fi;
    if
    :: outcome == NotRun && t == 0 -> t = 1; goto send
#ifdef MUT_RETRY_AFTER_DOUBT
    :: outcome == Doubt && t == 0 -> t = 1; goto send
#endif
    :: else -> skip
    fi;

finish:
    if
    :: outcome == NotRun -> tell(i, NotRun)
    :: outcome == Ran -> tell(i, Ran)
    :: outcome == Doubt -> tell(i, Doubt)
    fi;
    if
    :: goto crash
    :: true
    fi;
#ifdef MUT_RELEASE_DOUBT
    if
    :: outcome == Doubt -> outcome = NotRun
    :: else -> skip
    fi;
#endif
    goto ending;

abandon:
    /* Refused before sending: an own row that still appears is removed. */
    outcome = NotRun;

ending:
    /* Reads the row, then writes on its version; nothing is written if it has
     * changed meanwhile. The write may be lost. */
    if
    :: goto crash
    :: atomic { seen = row; seenOwner = owner }
    fi;
#ifndef MUT_END_OF_OTHERS_CLAIM
    if
    :: seen == Absent || seenOwner != i -> goto done
    :: else -> skip
    fi;
#endif
    if
    :: goto crash
    :: goto done                              /* the write is lost */
    :: atomic {
        if
#ifndef MUT_END_OF_OTHERS_CLAIM
        :: row == seen && owner == seenOwner ->
#else
        :: true ->
#endif
            if
            :: outcome == NotRun -> row = Absent; owner = NONE
            :: outcome == Ran -> row = Completed
            :: outcome == Doubt -> row = Unknown
            fi
        :: else -> skip
        fi }
    fi;
    goto done;

crash:
    atomic {
        if
        :: told[i] == Pending -> told[i] = Crashed
        :: else -> skip
        fi
    };
done:
    skip
}

init
{
    atomic {
        told[0] = Pending;
        told[1] = Pending;
        told[2] = Pending;
        run Instance(0);
        /* The repeat may come at any time, also without a response. */
        run Instance(1)
    };
    (told[1] != Pending) -> run Instance(2)
}
