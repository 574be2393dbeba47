/*
 * One slot of one backend instance, two holders, two owners in succession.
 *
 * A holder sends a report; the owner's grant answers that report, and its
 * validity is counted from the moment the report was sent. The owner may be
 * paused between checking its lease and sending the grant. Every use ends at
 * most WAIT after it began, because the deadline travels with the request.
 * A new owner reads back the holders that it can reach, and keeps a slot that
 * none of them reports out of use until the worst case has passed.
 */

#define TTL 2                 /* validity of a grant */
#define WAIT 1                /* longest agreed wait */
#define LEASE 2               /* the first owner's lease ends here */
#define LAST 9

byte now = 0;
byte valid_until[2];          /* the holder's own reckoning */
byte token_seen[2];
bool in_use[2];
byte use_end[2];

/* Time cannot pass the end of a use: the backend server stops at the deadline. */
#define MAY_TICK (now < LAST && (!in_use[0] || now < use_end[0]) && (!in_use[1] || now < use_end[1]))

proctype Clock() {
    do
    :: atomic { MAY_TICK -> now++ }
    :: now == LAST -> break
    od
}

/* Takes the slot when its grant is valid at the moment of use. */
proctype Holder(byte me) {
    byte uses = 0;
    do
    :: uses == 2 && !in_use[me] -> break
#ifdef NO_CHECK_AT_USE
    :: atomic { uses < 2 && valid_until[me] > 0 && !in_use[me] ->
#else
    :: atomic { uses < 2 && now < valid_until[me] && !in_use[me] ->
#endif
        uses++;
        in_use[me] = true;
        use_end[me] = now + WAIT;
        assert(!in_use[1 - me]) }
    :: atomic { in_use[me] -> in_use[me] = false }
    :: now == LAST && !in_use[me] -> break
    od
}

/* A grant arrives at a holder, perhaps late and from a former owner. */
inline receive(holder, by, sent_at) {
    atomic {
        if
        :: by >= token_seen[holder] ->
            token_seen[holder] = by;
#ifdef COUNT_FROM_RECEIPT
            valid_until[holder] = now + TTL
#else
            if
            :: sent_at + TTL > valid_until[holder] -> valid_until[holder] = sent_at + TTL
            :: else -> skip
            fi
#endif
        :: else -> skip
        fi
    }
}

/* Grants to holder 0 under token 1 while its lease is valid. */
proctype FirstOwner() {
    byte report;
    byte grants = 0;
    do
    :: grants == 2 -> break
    :: else -> grants++;
        report = now;         /* the holder sent its report at this time */
        if
        :: now < LEASE ->
            skip;             /* a pause may come here */
            receive(0, 1, report)
        :: else -> break
        fi
    od
}

/* Takes over when the lease has ended, and gives the slot to holder 1. */
proctype SecondOwner() {
    byte free_at;
    bool held;
    now >= LEASE;
    if
    :: /* Holder 0 answers: it reports the slot, or that it has none. */
        atomic {
            token_seen[0] = 2;
            held = (now < valid_until[0] || in_use[0]);
            if
            :: held -> valid_until[0] = 0
            :: else -> skip
            fi
        }
#ifndef RELEASE_IN_USE
        /* Released at the end of the use, never before. */
        !in_use[0]
#endif
    :: /* Holder 0 cannot be reached. */
#ifdef NO_WAIT_OUT
        skip
#else
        free_at = LEASE + TTL + WAIT;
        now >= free_at
#endif
    fi;
    receive(1, 2, now)
}

init { atomic { run Clock(); run Holder(0); run Holder(1); run FirstOwner(); run SecondOwner() } }
