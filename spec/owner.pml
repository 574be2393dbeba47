/*
 * One owner by lease, with pauses, and a receiver that checks fencing tokens.
 *
 * Two candidates acquire a key that is bound to a lease. An owner checks its
 * lease and then acts; it may be paused in between. The receiver keeps the
 * highest token seen. The store's own writes carry the token in their
 * compare-and-swap.
 */

#define TTL 2
#define LAST 9

byte now = 0;
byte token = 0;               /* revision of the owner's key */
byte lease_end = 0;           /* by the store's clock */
byte highest = 0;             /* highest token at the receiver */
byte applied = 0;             /* token of the last applied command */

proctype Clock() {
    do
    :: atomic { now < LAST -> now++ }
    :: now == LAST -> break
    od
}

proctype Candidate(byte me) {
    byte mine;
    byte until;
    byte asked;
    byte tries = 0;
    byte acts;
    do
    :: tries == 2 -> break
    :: else -> tries++;
        asked = now;
        if
        :: atomic { now >= lease_end && now < LAST ->
            token++;
            mine = token;
            lease_end = now + TTL }
#ifdef COUNT_FROM_ANSWER
            until = now + TTL;
#else
            until = asked + TTL;
#endif
            acts = 0;
            do
            :: acts == 2 -> break
            :: else -> acts++;
                if
                :: now < until ->
                    /* The lease was valid here; a pause may follow. */
                    atomic {
#ifndef NO_FENCING
                        if
                        :: mine >= highest ->
                            highest = mine;
                            assert(mine >= applied);
                            applied = mine
                        :: else -> skip
                        fi
#else
                        assert(mine >= applied);
                        applied = mine
#endif
                    }
                :: else -> break
                fi
            od;
#ifdef COUNT_FROM_ANSWER
            /* The holder believes for longer than the store grants. */
            assert(until <= lease_end || token == mine)
#else
            assert(until <= lease_end || token != mine)
#endif
        :: else -> skip
        fi
    od
}

/* A holder that trusts its lease while another owner exists. */
init { atomic { run Clock(); run Candidate(1); run Candidate(2) } }
